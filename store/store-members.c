/* store-members.c -- registrations as read from the stream "members"

   The member log keeps the registration of every current member and the most recent
   ended records (replaced, left or removed). Ended records are kept because an entry
   that starts from a snapshot must know which guards were lost within the horizon and
   when; the cut time of a shard depends on it. A snapshot is the list of the kept
   records with their offsets, so that loading it has the same effect as reading them
   from the stream. */

#include "store-private.h"

#include "config-check.h"
#include "json-text.h"

#include <stdio.h>

/* Several days of records at 135 replaced VMs a day; the horizon is minutes. */
#define ENDED_RECORDS_MAX 1024

void
member_events_clear (MemberEvents *events)
{
  for (size_t i = 0; i < events->n; i++)
    json_decref (events->items[i].root);
  free (events->items);
  memset (events, 0, sizeof *events);
}

static void
add_event (MemberEvents *events, const MdStoreEvent *event, json_t *root)
{
  if (events->n == events->cap)
    {
      events->cap = events->cap ? events->cap * 2 : 8;
      events->items = realloc (events->items, events->cap * sizeof *events->items);
      if (events->items == NULL)
        abort (); /* without this event the entry would have wrong members */
    }
  events->items[events->n++] = (MemberEvent){ *event, json_incref (root) };
}

void
member_log_clear (MemberLog *log)
{
  for (size_t i = 0; i < log->n_records; i++)
    free (log->records[i].text);
  free (log->records);
  memset (log, 0, sizeof *log);
}

const MemberRecord *
member_log_find (const MemberLog *log, uint64_t incarnation, MemberKind kind)
{
  for (size_t i = log->n_records; i > 0; i--)
    {
      const MemberRecord *r = &log->records[i - 1];

      if (r->incarnation == incarnation && r->kind == kind)
        return r;
    }
  return NULL;
}

static void
mark_ended (MemberLog *log, MemberRecord *record)
{
  log->n_ended += record->ended ? 0 : 1;
  record->ended = true;
}

static void
drop_oldest_ended (MemberLog *log)
{
  size_t i = 0;

  while (!log->records[i].ended)
    i++;
  free (log->records[i].text);
  log->n_records--;
  log->n_ended--;
  memmove (&log->records[i], &log->records[i + 1], (log->n_records - i) * sizeof *log->records);
}

static void
add_record (MemberLog *log, const MemberRecord *record)
{
  if (log->n_records == log->cap_records)
    {
      log->cap_records = log->cap_records ? log->cap_records * 2 : 64;
      log->records = realloc (log->records, log->cap_records * sizeof *log->records);
      if (log->records == NULL)
        abort ();
    }
  log->records[log->n_records++] = *record;
  log->n_ended += record->ended ? 1 : 0;
  while (log->n_ended > ENDED_RECORDS_MAX)
    drop_oldest_ended (log);
}

/* ------------------------------------------------------------------ */
/* Records                                                             */

static MdStr
string_member (const json_t *root, const char *key)
{
  const json_t *value = json_object_get (root, key);

  return json_is_string (value) ? md_str_n (json_string_value (value), json_string_length (value))
                                : MD_STR ("");
}

static uint32_t
u32_member (const json_t *root, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (root, key));

  return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

/* Returns 0 when malformed. Incarnations are written as 16 hexadecimal digits, because
   JSON numbers do not carry all 64 bits in every implementation. */
static uint64_t
incarnation_member (const json_t *root)
{
  const char *text = json_string_value (json_object_get (root, "incarnation"));
  char *end;
  uint64_t value;

  if (text == NULL || strlen (text) != 16)
    return 0;
  value = strtoull (text, &end, 16);
  return *end == '\0' ? value : 0;
}

static bool
parse_kind (const json_t *root, MemberKind *kind)
{
  MdStr type = string_member (root, "type");

  if (md_str_equal (type, MD_STR ("register")))
    *kind = MEMBER_REGISTER;
  else if (md_str_equal (type, MD_STR ("leave")))
    *kind = MEMBER_LEAVE;
  else if (md_str_equal (type, MD_STR ("remove")))
    *kind = MEMBER_REMOVE;
  else
    return false;
  return true;
}

static void
parse_info (const json_t *root, MdMemberInfo *info)
{
  info->role = md_str_equal (string_member (root, "role"), MD_STR ("entry")) ? MD_ROLE_ENTRY
                                                                             : MD_ROLE_GUARD;
  info->name = string_member (root, "name");
  info->incarnation = incarnation_member (root);
  info->address = string_member (root, "address");
  info->region = string_member (root, "region");
  info->failure_domain = string_member (root, "failure_domain");
  info->pool = string_member (root, "pool");
  info->cores = u32_member (root, "cores");
  info->memory_mb = u32_member (root, "memory_mb");
  info->accelerators = u32_member (root, "accelerators");
  info->slots = u32_member (root, "slots");
  info->connections = u32_member (root, "connections");
}

static bool
info_valid (const json_t *root, const MdMemberInfo *info)
{
  MdStr role = string_member (root, "role");

  if (!md_name_valid (info->name))
    return false;
  if (md_str_equal (role, MD_STR ("entry")))
    return info->address.len > 0 && info->address.len < MD_ADDRESS_BYTES;
  return md_str_equal (role, MD_STR ("guard")) && md_name_valid (info->pool) && info->slots > 0;
}

char *
member_record_register (const MdMemberInfo *info)
{
  unsigned long failures = md_json_failures ();
  char incarnation[17];
  json_t *root;
  char *text;

  snprintf (incarnation, sizeof incarnation, "%016llx", (unsigned long long)info->incarnation);
#define STR(field) info->field.data ? info->field.data : "", info->field.len
  root = json_pack ("{s:s, s:s, s:s%, s:s, s:s%, s:s%, s:s%, s:s%, s:I, s:I, s:I, s:I, s:I}",
                    "type", "register", "role", info->role == MD_ROLE_ENTRY ? "entry" : "guard",
                    "name", STR (name), "incarnation", incarnation, "address", STR (address),
                    "region", STR (region), "failure_domain", STR (failure_domain), "pool",
                    STR (pool), "cores", (json_int_t)info->cores, "memory_mb",
                    (json_int_t)info->memory_mb, "accelerators", (json_int_t)info->accelerators,
                    "slots", (json_int_t)info->slots, "connections", (json_int_t)info->connections);
#undef STR
  text = md_json_text (root, JSON_COMPACT | JSON_SORT_KEYS, failures);
  json_decref (root);
  return text;
}

char *
member_record_removal (uint64_t incarnation, bool left)
{
  char text[96];

  snprintf (text, sizeof text, "{\"type\":\"%s\",\"incarnation\":\"%016llx\"}",
            left ? "leave" : "remove", (unsigned long long)incarnation);
  return strdup (text);
}

/* ------------------------------------------------------------------ */
/* Apply                                                               */

/* Marks the registration of the same role and name that a new one replaces. */
static void
end_replaced (MemberLog *log, MdRole role, MdStr name)
{
  for (size_t i = 0; i < log->n_records; i++)
    {
      MemberRecord *r = &log->records[i];

      if (!r->ended && r->role == role && md_str_equal (md_str (r->name), name))
        mark_ended (log, r);
    }
}

static MdApplyResult
apply_register (MemberLog *log, MemberRecord *record, json_t *root, MemberEvents *events)
{
  MdStoreEvent event = { .kind = MD_STORE_REGISTER, .offset = record->offset };

  parse_info (root, &event.info);
  if (!info_valid (root, &event.info))
    return MD_APPLY_INVALID;
  if (member_log_find (log, record->incarnation, MEMBER_REGISTER) != NULL)
    return MD_APPLY_DUPLICATE;
  event.time_ms = record->time_ms;
  end_replaced (log, event.info.role, event.info.name);
  record->role = event.info.role;
  md_str_copy (record->name, sizeof record->name, event.info.name);
  add_record (log, record);
  add_event (events, &event, root);
  return MD_APPLY_EFFECTIVE;
}

static MdApplyResult
apply_removal (MemberLog *log, MemberRecord *record, MemberEvents *events)
{
  MdStoreEvent event = { .kind = MD_STORE_REMOVE, .offset = record->offset };
  MemberRecord *r = (MemberRecord *)member_log_find (log, record->incarnation, MEMBER_REGISTER);

  if (r == NULL || r->ended)
    return MD_APPLY_DUPLICATE;
  mark_ended (log, r);
  record->ended = true;
  add_record (log, record);
  event.time_ms = record->time_ms;
  event.left = record->kind == MEMBER_LEAVE;
  event.info.incarnation = record->incarnation;
  add_event (events, &event, NULL);
  return MD_APPLY_EFFECTIVE;
}

static MdApplyResult
apply_change (MemberLog *log, uint64_t offset, int64_t time_ms, json_t *root, MemberEvents *events)
{
  MemberRecord record = { .offset = offset, .time_ms = time_ms };
  MdApplyResult apply;

  record.incarnation = incarnation_member (root);
  if (record.incarnation == 0 || !parse_kind (root, &record.kind))
    return MD_APPLY_INVALID;
  record.text = md_json_text (root, JSON_COMPACT | JSON_SORT_KEYS, md_json_failures ());
  if (record.text == NULL)
    abort ();
  if (record.kind == MEMBER_REGISTER)
    apply = apply_register (log, &record, root, events);
  else
    apply = apply_removal (log, &record, events);
  if (apply != MD_APPLY_EFFECTIVE)
    free (record.text);
  return apply;
}

/* ------------------------------------------------------------------ */
/* Snapshots                                                           */

int
member_log_snapshot (const MemberLog *log, char **out, size_t *len)
{
  unsigned long failures = md_json_failures ();
  json_t *records = json_array ();
  json_t *root;

  for (size_t i = 0; i < log->n_records; i++)
    {
      const MemberRecord *r = &log->records[i];

      json_array_append_new (records, json_pack ("{s:I, s:I, s:o}", "offset", (json_int_t)r->offset,
                                                 "time_ms", (json_int_t)r->time_ms, "data",
                                                 md_json_load (md_str (r->text), 0, NULL)));
    }
  root = json_pack ("{s:s, s:I, s:o}", "type", "snapshot", "next", (json_int_t)log->next_offset,
                    "records", records);
  /* An entry that reads a snapshot without a registration would count too few guards. */
  *out = md_json_text (root, JSON_COMPACT | JSON_SORT_KEYS, failures);
  json_decref (root);
  if (*out == NULL)
    return MD_E_MEMORY;
  *len = strlen (*out);
  return MD_OK;
}

/* Emits removals for current members whose registration the snapshot does not contain:
   their removal records are too old to be kept in it. */
static void
remove_unlisted (MemberLog *log, const MemberLog *listed, uint64_t next, MemberEvents *events)
{
  for (size_t i = 0; i < log->n_records; i++)
    {
      MemberRecord *r = &log->records[i];
      MdStoreEvent event = { .kind = MD_STORE_REMOVE, .offset = next - 1, .left = false };

      if (r->ended || member_log_find (listed, r->incarnation, MEMBER_REGISTER) != NULL)
        continue;
      event.info.incarnation = r->incarnation;
      event.time_ms = md_wall_ms ();
      add_event (events, &event, NULL);
    }
}

/* Adds the records of a snapshot to log. Those below the offset known, which have been
   applied before, emit no event. */
static bool
load_records (MemberLog *log, const json_t *items, uint64_t known, MemberEvents *events)
{
  MemberEvents ignored = { 0 };
  size_t index;
  json_t *item;
  bool valid = json_is_array (items);

  json_array_foreach ((json_t *)items, index, item)
  {
    json_int_t offset = json_integer_value (json_object_get (item, "offset"));
    json_int_t time_ms = json_integer_value (json_object_get (item, "time_ms"));
    MemberEvents *target = (uint64_t)offset >= known ? events : &ignored;

    if (apply_change (log, (uint64_t)offset, time_ms, json_object_get (item, "data"), target)
        == MD_APPLY_INVALID)
      valid = false;
  }
  member_events_clear (&ignored);
  return valid;
}

static int
load_snapshot (MemberLog *log, const json_t *root, MemberEvents *events, MdError *error)
{
  json_int_t next = json_integer_value (json_object_get (root, "next"));
  MemberLog loaded = { 0 };

  if (!md_str_equal (string_member (root, "type"), MD_STR ("snapshot")) || next <= 0)
    return md_error_set (error, MD_E_INVALID, "snapshot", NULL, "not a snapshot record");
  if ((uint64_t)next <= log->next_offset)
    return (uint64_t)next == log->next_offset
               ? MD_OK
               : md_error_set (error, MD_E_TOO_OLD, "snapshot", NULL, "behind the current state");
  if (!load_records (&loaded, json_object_get (root, "records"), log->next_offset, events))
    {
      member_events_clear (events);
      member_log_clear (&loaded);
      return md_error_set (error, MD_E_INVALID, "snapshot", NULL, "malformed snapshot record");
    }
  remove_unlisted (log, &loaded, (uint64_t)next, events);
  loaded.next_offset = (uint64_t)next;
  member_log_clear (log);
  *log = loaded;
  return MD_OK;
}

int
member_log_load (MemberLog *log, MdStr snapshot, MemberEvents *events, MdError *error)
{
  unsigned long failures = md_json_failures ();
  json_t *root = md_json_load (snapshot, JSON_REJECT_DUPLICATES, NULL);
  int rc = md_json_failures () == failures
               ? load_snapshot (log, root, events, error)
               : md_error_set (error, MD_E_MEMORY, "snapshot", NULL, "out of memory");

  json_decref (root);
  return rc;
}

static MdApplyResult
apply_snapshot (MemberLog *log, uint64_t offset, const json_t *root, MemberEvents *events)
{
  const json_t *next = json_object_get (root, "next");

  if (!json_is_integer (next) || json_integer_value (next) < 0
      || (uint64_t)json_integer_value (next) > offset)
    return MD_APPLY_INVALID;
  if (offset > log->next_offset && load_snapshot (log, root, events, NULL) == MD_E_INVALID)
    return MD_APPLY_INVALID;
  return MD_APPLY_SNAPSHOT;
}

MdApplyResult
member_log_apply (MemberLog *log, uint64_t offset, int64_t time_ms, MdStr text,
                  MemberEvents *events)
{
  unsigned long failures = md_json_failures ();
  bool in_sequence = offset == log->next_offset;
  MdApplyResult apply = MD_APPLY_INVALID;
  json_t *root;

  if (offset < log->next_offset)
    return MD_APPLY_STALE;
  root = md_json_load (text, JSON_REJECT_DUPLICATES, NULL);
  if (md_str_equal (string_member (root, "type"), MD_STR ("snapshot")))
    apply = apply_snapshot (log, offset, root, events);
  else if (in_sequence && md_json_depth (text) <= 1 + MD_JSON_EMBEDDED_DEPTH)
    apply = apply_change (log, offset, time_ms, root, events);
  if (md_json_failures () != failures)
    abort (); /* the record was not read, and other entries apply it */
  if (in_sequence)
    log->next_offset = offset + 1;
  json_decref (root);
  return apply;
}
