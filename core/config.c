/* config.c -- declared resources, applied by log offset

   The state is a function of the log: every entry applies the same records in the
   same order by the same rules, so that entries agree without asking each other. A
   change names the version that it replaces (optimistic concurrency control); of
   several concurrent changes, the one with the lowest offset takes effect and the
   others have no effect on any entry.

   The network between this process and the log may repeat an append. The ids of the
   last MAX_CHANGE_IDS changes are therefore kept in log order, and a change with a
   known id is a duplicate. The number is a constant and the ids are part of a
   snapshot, because an entry that starts from a snapshot must recognize the same
   duplicates as one that has read the whole log. */

#include "config-check.h"
#include "json-text.h"

#include <stdio.h>
#include <xxhash.h>

/* 10 s of appends at full load (several hundred a second), or 4 days at the planned
   990 changes a day. */
#define MAX_CHANGE_IDS 4096

typedef struct
{
  char kind[16]; /* resource kind, e.g. "pool" */
  char name[MD_NAME_BYTES];
  uint64_t version;          /* offset of the last change + 1 */
  int64_t time_ms;           /* time of the last change, by the log's clock */
  char *spec;                /* JSON text, owned; NULL for a deleted resource */
  char actor[MD_NAME_BYTES]; /* who made the last change */
} Resource;

typedef struct
{
  char id[MD_CHANGE_ID_MAX_BYTES + 1];
  MdApplyResult result;
  uint64_t version; /* version of the resource after the change, 0 if it does not exist */
} SeenId;

typedef struct
{
  MdChangeKind kind;
  Resource after; /* state after the change, spec owned; for a delete, spec is NULL */
} LoggedChange;

struct MdConfig
{
  uint64_t next;       /* offset of the next record to apply */
  Resource *resources; /* sorted by kind and name */
  size_t n_resources;
  size_t cap_resources;
  SeenId *ids;           /* ring of MAX_CHANGE_IDS */
  uint64_t *id_hashes;   /* xxh64 of ids, separate for a compact search */
  uint64_t n_ids;        /* ids added so far, including overwritten ones */
  LoggedChange *changes; /* ring of max_changes, the watch log */
  uint32_t max_changes;
  uint64_t n_changes;       /* changes added so far, including overwritten ones */
  uint64_t dropped_version; /* highest version that is no longer in changes */
};

MdConfig *
md_config_new (const MdTuning *tuning)
{
  MdConfig *config = calloc (1, sizeof *config);

  if (config == NULL)
    return NULL;
  config->max_changes = tuning->watch_changes > 0 ? tuning->watch_changes : 1;
  config->ids = calloc (MAX_CHANGE_IDS, sizeof *config->ids);
  config->id_hashes = calloc (MAX_CHANGE_IDS, sizeof *config->id_hashes);
  config->changes = calloc (config->max_changes, sizeof *config->changes);
  if (config->ids == NULL || config->id_hashes == NULL || config->changes == NULL)
    {
      md_config_free (config);
      return NULL;
    }
  return config;
}

static void
clear_state (MdConfig *config)
{
  for (size_t i = 0; i < config->n_resources; i++)
    free (config->resources[i].spec);
  for (uint32_t i = 0; config->changes != NULL && i < config->max_changes; i++)
    {
      free (config->changes[i].after.spec);
      config->changes[i].after.spec = NULL;
    }
  config->n_resources = 0;
  config->n_changes = 0;
  config->n_ids = 0;
}

void
md_config_free (MdConfig *config)
{
  if (config == NULL)
    return;
  clear_state (config);
  free (config->resources);
  free (config->ids);
  free (config->id_hashes);
  free (config->changes);
  free (config);
}

uint64_t
md_config_next_offset (const MdConfig *config)
{
  return config->next;
}

/* ------------------------------------------------------------------ */
/* Table of resources                                                 */

static int
compare_field (const char *field, MdStr s)
{
  size_t len = strlen (field);
  size_t n = len < s.len ? len : s.len;
  int order = n > 0 ? memcmp (field, s.data, n) : 0;

  if (order != 0)
    return order;
  return len < s.len ? -1 : len > s.len;
}

/* Returns the index of a resource, or the index at which to insert it. */
static size_t
find_index (const MdConfig *config, MdStr kind, MdStr name, bool *found)
{
  size_t low = 0;
  size_t high = config->n_resources;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const Resource *r = &config->resources[middle];
      int order = compare_field (r->kind, kind);

      if (order == 0)
        order = compare_field (r->name, name);
      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = false;
  return low;
}

static const Resource *
find_resource (const MdConfig *config, MdStr kind, MdStr name)
{
  bool found;
  size_t position = find_index (config, kind, name, &found);

  return found ? &config->resources[position] : NULL;
}

/* Inserts a zeroed resource at a position; returns NULL when out of memory. */
static Resource *
insert_resource (MdConfig *config, size_t position)
{
  Resource *r;

  if (config->n_resources == config->cap_resources)
    {
      size_t cap = config->cap_resources ? config->cap_resources * 2 : 32;
      Resource *grown = realloc (config->resources, cap * sizeof *grown);

      if (grown == NULL)
        return NULL;
      config->resources = grown;
      config->cap_resources = cap;
    }
  r = &config->resources[position];
  memmove (r + 1, r, (config->n_resources - position) * sizeof *r);
  config->n_resources++;
  memset (r, 0, sizeof *r);
  return r;
}

static void
remove_resource (MdConfig *config, size_t position)
{
  Resource *r = &config->resources[position];

  free (r->spec);
  config->n_resources--;
  memmove (r, r + 1, (config->n_resources - position) * sizeof *r);
}

/* ------------------------------------------------------------------ */
/* Change ids                                                         */

static const SeenId *
find_id (const MdConfig *config, MdStr id)
{
  uint64_t hash = XXH64 (id.data, id.len, 0);
  uint64_t first = config->n_ids > MAX_CHANGE_IDS ? config->n_ids - MAX_CHANGE_IDS : 0;

  for (uint64_t i = config->n_ids; i > first; i--)
    {
      const SeenId *seen = &config->ids[(i - 1) % MAX_CHANGE_IDS];

      if (config->id_hashes[(i - 1) % MAX_CHANGE_IDS] == hash
          && md_str_equal (md_str (seen->id), id))
        return seen;
    }
  return NULL;
}

static void
add_change_id (MdConfig *config, MdStr id, MdApplyResult result, uint64_t version)
{
  uint64_t position = config->n_ids++ % MAX_CHANGE_IDS;
  SeenId *seen = &config->ids[position];

  config->id_hashes[position] = XXH64 (id.data, id.len, 0);
  md_str_copy (seen->id, sizeof seen->id, id);
  seen->result = result;
  seen->version = version;
}

int
md_config_change_result (const MdConfig *config, MdStr change_id, MdApplyResult *result,
                         uint64_t *version)
{
  const SeenId *seen = find_id (config, change_id);

  if (seen == NULL)
    return MD_E_NOT_FOUND;
  *result = seen->result;
  *version = seen->version;
  return MD_OK;
}

/* ------------------------------------------------------------------ */
/* Watch log                                                          */

static void
append_change (MdConfig *config, MdChangeKind kind, const Resource *after)
{
  LoggedChange *slot = &config->changes[config->n_changes % config->max_changes];

  if (config->n_changes >= config->max_changes)
    config->dropped_version = slot->after.version;
  free (slot->after.spec);
  slot->kind = kind;
  slot->after = *after;
  slot->after.spec = kind == MD_CHANGE_PUT ? strdup (after->spec) : NULL;
  config->n_changes++;
}

static void
fill_change (MdChangeKind kind, const Resource *r, MdChange *out)
{
  out->kind = kind;
  out->resource_kind = md_str (r->kind);
  out->name = md_str (r->name);
  out->version = r->version;
  out->spec = r->spec ? md_str (r->spec) : MD_STR ("");
  out->actor = md_str (r->actor);
  out->time_ms = r->time_ms;
}

int
md_config_change_after (const MdConfig *config, uint64_t version, MdChange *out)
{
  uint64_t low
      = config->n_changes > config->max_changes ? config->n_changes - config->max_changes : 0;
  uint64_t high = config->n_changes;

  if (version < config->dropped_version)
    return MD_E_TOO_OLD;
  while (low < high)
    {
      uint64_t middle = low + (high - low) / 2;

      if (config->changes[middle % config->max_changes].after.version <= version)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == config->n_changes)
    return MD_E_NOT_FOUND;
  fill_change (config->changes[low % config->max_changes].kind,
               &config->changes[low % config->max_changes].after, out);
  return MD_OK;
}

/* ------------------------------------------------------------------ */
/* Records                                                            */

/* A parsed change record. Strings and spec are borrowed from the JSON document. */
typedef struct
{
  MdStr id; /* change id, empty when unusable */
  MdChangeKind change;
  MdStr kind; /* resource kind */
  MdStr name; /* resource name */
  MdStr actor;
  uint64_t expected;  /* version that the change replaces, 0 to create the resource */
  const json_t *spec; /* NULL for deletes */
} Record;

static MdStr
string_member (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (!json_is_string (value))
    return (MdStr){ NULL, 0 };
  return md_str_n (json_string_value (value), json_string_length (value));
}

static bool
uint_member (const json_t *object, const char *key, uint64_t *out)
{
  const json_t *value = json_object_get (object, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

static bool
is_printable (MdStr s, size_t max)
{
  for (size_t i = 0; i < s.len; i++)
    {
      if ((unsigned char)s.data[i] <= ' ' || (unsigned char)s.data[i] >= 0x7f)
        return false;
    }
  return s.len > 0 && s.len <= max;
}

/* Parses a change record; returns false when a member is missing or malformed. The
   id is set as soon as it is known to be valid, so that an invalid change with a
   valid id is recognized when it is repeated. */
static bool
parse_record (const json_t *root, Record *record)
{
  MdStr type = string_member (root, "type");
  bool put = md_str_equal (type, MD_STR ("put"));

  memset (record, 0, sizeof *record);
  if (!put && !md_str_equal (type, MD_STR ("delete")))
    return false;
  if (!is_printable (string_member (root, "id"), MD_CHANGE_ID_MAX_BYTES))
    return false;
  record->id = string_member (root, "id");
  record->change = put ? MD_CHANGE_PUT : MD_CHANGE_DELETE;
  record->kind = string_member (root, "kind");
  record->name = string_member (root, "name");
  record->actor = string_member (root, "actor");
  record->spec = json_object_get (root, "spec");
  return uint_member (root, "expected", &record->expected)
         && is_printable (record->actor, MD_ACTOR_MAX_BYTES)
         && json_object_size (root) == (put ? 7u : 6u) && put == (record->spec != NULL);
}

static char *
dump_json (const json_t *value)
{
  return md_json_text (value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY, md_json_failures ());
}

static MdApplyResult
apply_put (MdConfig *config, uint64_t offset, int64_t time_ms, const Record *record)
{
  bool found;
  size_t position = find_index (config, record->kind, record->name, &found);
  Resource *r = found ? &config->resources[position] : NULL;
  char *spec;

  if (record->expected != (found ? r->version : 0))
    return MD_APPLY_LOST_RACE;
  if (found
      && md_config_check_successor (record->kind, md_str (r->spec), record->spec, NULL) != MD_OK)
    return MD_APPLY_INVALID;
  spec = dump_json (record->spec);
  if (spec == NULL)
    abort (); /* skipping a record would make this entry differ from the others */
  if (strlen (spec) > MD_SPEC_MAX_BYTES)
    {
      free (spec);
      return MD_APPLY_INVALID;
    }
  if (!found && (r = insert_resource (config, position)) == NULL)
    abort ();
  free (r->spec);
  r->spec = spec;
  r->version = offset + 1;
  r->time_ms = time_ms;
  md_str_copy (r->kind, sizeof r->kind, record->kind);
  md_str_copy (r->name, sizeof r->name, record->name);
  md_str_copy (r->actor, sizeof r->actor, record->actor);
  append_change (config, MD_CHANGE_PUT, r);
  return MD_APPLY_EFFECTIVE;
}

static MdApplyResult
apply_delete (MdConfig *config, uint64_t offset, int64_t time_ms, const Record *record)
{
  bool found;
  size_t position = find_index (config, record->kind, record->name, &found);
  Resource deleted;

  /* Version 0 stands for a resource that does not exist. */
  if (!found || record->expected != config->resources[position].version)
    return MD_APPLY_LOST_RACE;
  deleted = config->resources[position];
  deleted.spec = NULL;
  deleted.version = offset + 1;
  deleted.time_ms = time_ms;
  md_str_copy (deleted.actor, sizeof deleted.actor, record->actor);
  remove_resource (config, position);
  append_change (config, MD_CHANGE_DELETE, &deleted);
  return MD_APPLY_EFFECTIVE;
}

static MdApplyResult
apply_checked (MdConfig *config, uint64_t offset, int64_t time_ms, const Record *record)
{
  if (record->change == MD_CHANGE_DELETE)
    {
      if (md_config_check (record->kind, record->name, MD_STR ("{}"), NULL) != MD_OK)
        return MD_APPLY_INVALID;
      return apply_delete (config, offset, time_ms, record);
    }
  if (md_config_check_json (record->kind, record->name, record->spec, NULL) != MD_OK)
    return MD_APPLY_INVALID;
  return apply_put (config, offset, time_ms, record);
}

static MdApplyResult
apply_change (MdConfig *config, uint64_t offset, int64_t time_ms, const json_t *root)
{
  Record record;
  bool valid = parse_record (root, &record);
  MdApplyResult result = MD_APPLY_INVALID;
  const Resource *r;

  if (record.id.data == NULL)
    return MD_APPLY_INVALID;
  if (find_id (config, record.id) != NULL)
    return MD_APPLY_DUPLICATE;
  if (valid)
    result = apply_checked (config, offset, time_ms, &record);
  r = valid ? find_resource (config, record.kind, record.name) : NULL;
  if (result == MD_APPLY_EFFECTIVE)
    add_change_id (config, record.id, result, offset + 1);
  else
    add_change_id (config, record.id, result, r ? r->version : 0);
  return result;
}

/* ------------------------------------------------------------------ */
/* Snapshots                                                          */

static json_t *
resource_json (const Resource *r)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:s, s:o}", "kind", r->kind, "name", r->name, "version",
                    (json_int_t)r->version, "time_ms", (json_int_t)r->time_ms, "actor", r->actor,
                    "spec", md_json_load (md_str (r->spec), JSON_DECODE_ANY, NULL));
}

static json_t *
ids_json (const MdConfig *config)
{
  uint64_t first = config->n_ids > MAX_CHANGE_IDS ? config->n_ids - MAX_CHANGE_IDS : 0;
  json_t *ids = json_array ();

  for (uint64_t i = first; i < config->n_ids; i++)
    {
      const SeenId *seen = &config->ids[i % MAX_CHANGE_IDS];

      json_array_append_new (ids, json_pack ("[s, i, I]", seen->id, (int)seen->result,
                                             (json_int_t)seen->version));
    }
  return ids;
}

int
md_config_snapshot (const MdConfig *config, char **out, size_t *len)
{
  unsigned long failures = md_json_failures ();
  json_t *resources = json_array ();
  json_t *root;

  for (size_t i = 0; i < config->n_resources; i++)
    json_array_append_new (resources, resource_json (&config->resources[i]));
  root = json_pack ("{s:s, s:I, s:o, s:o}", "type", "snapshot", "next", (json_int_t)config->next,
                    "resources", resources, "ids", ids_json (config));
  /* An entry that reads a snapshot without a resource would differ from the others. */
  *out = md_json_text (root, JSON_COMPACT | JSON_SORT_KEYS, failures);
  json_decref (root);
  if (*out == NULL)
    return MD_E_MEMORY;
  *len = strlen (*out);
  return MD_OK;
}

/* Parses a resource of a snapshot into r, which owns its spec on success. */
static bool
parse_resource (const json_t *item, Resource *r)
{
  MdStr kind = string_member (item, "kind");
  MdStr name = string_member (item, "name");
  const json_t *spec = json_object_get (item, "spec");
  uint64_t time_ms;

  memset (r, 0, sizeof *r);
  if (md_config_check_json (kind, name, spec, NULL) != MD_OK
      || !uint_member (item, "version", &r->version) || !uint_member (item, "time_ms", &time_ms))
    return false;
  r->time_ms = (int64_t)time_ms;
  md_str_copy (r->kind, sizeof r->kind, kind);
  md_str_copy (r->name, sizeof r->name, name);
  md_str_copy (r->actor, sizeof r->actor, string_member (item, "actor"));
  r->spec = dump_json (spec);
  return r->spec != NULL;
}

static int
load_resources (MdConfig *config, const json_t *items)
{
  size_t index;
  json_t *item;

  json_array_foreach ((json_t *)items, index, item)
  {
    Resource r;
    bool found;
    size_t position;
    Resource *slot;

    if (!parse_resource (item, &r))
      return MD_E_INVALID;
    position = find_index (config, md_str (r.kind), md_str (r.name), &found);
    slot = found ? NULL : insert_resource (config, position);
    if (slot == NULL)
      {
        free (r.spec);
        return found ? MD_E_INVALID : MD_E_MEMORY;
      }
    *slot = r;
  }
  return json_is_array (items) ? MD_OK : MD_E_INVALID;
}

static bool
load_ids (MdConfig *config, const json_t *items)
{
  size_t index;
  json_t *item;

  json_array_foreach ((json_t *)items, index, item)
  {
    const char *id;
    int result;
    json_int_t version;

    if (json_unpack (item, "[s, i, I!]", &id, &result, &version) != 0 || result < 0
        || result > MD_APPLY_SNAPSHOT || !is_printable (md_str (id), MD_CHANGE_ID_MAX_BYTES))
      return false;
    add_change_id (config, md_str (id), (MdApplyResult)result, (uint64_t)version);
  }
  return json_is_array (items);
}

/* Replaces the state by a newer snapshot. The new state is built separately, so
   that a malformed snapshot leaves the current state unchanged. */
static int
load_snapshot (MdConfig *config, const json_t *root, MdError *error)
{
  MdTuning tuning = { .watch_changes = config->max_changes };
  unsigned long failures = md_json_failures ();
  MdConfig *loaded;
  MdConfig old;
  uint64_t next;
  int rc;

  if (!md_str_equal (string_member (root, "type"), MD_STR ("snapshot"))
      || !uint_member (root, "next", &next))
    return md_error_set (error, MD_E_INVALID, "snapshot", NULL, "not a snapshot record");
  if (next <= config->next)
    return next == config->next ? MD_OK
                                : md_error_set (error, MD_E_TOO_OLD, "snapshot", NULL,
                                                "snapshot is older than the current state");
  loaded = md_config_new (&tuning);
  if (loaded == NULL)
    return md_error_set (error, MD_E_MEMORY, "snapshot", NULL, "out of memory");
  rc = load_resources (loaded, json_object_get (root, "resources"));
  if (rc == MD_OK && !load_ids (loaded, json_object_get (root, "ids")))
    rc = MD_E_INVALID;
  if (md_json_failures () != failures)
    rc = MD_E_MEMORY;
  if (rc != MD_OK)
    {
      md_config_free (loaded);
      return md_error_set (error, rc, "snapshot", NULL,
                           rc == MD_E_MEMORY ? "out of memory" : "malformed snapshot record");
    }
  loaded->next = next;
  /* The snapshot does not contain the individual changes before it. */
  loaded->dropped_version = next;
  old = *config;
  *config = *loaded;
  *loaded = old;
  md_config_free (loaded);
  return MD_OK;
}

int
md_config_load (MdConfig *config, MdStr snapshot, MdError *error)
{
  unsigned long failures = md_json_failures ();
  json_error_t parse_error;
  json_t *root = md_json_load (snapshot, JSON_REJECT_DUPLICATES, &parse_error);
  int rc;

  if (root == NULL)
    return md_error_set (error, md_json_failures () != failures ? MD_E_MEMORY : MD_E_INVALID,
                         "snapshot", NULL, "%.150s", parse_error.text);
  rc = load_snapshot (config, root, error);
  json_decref (root);
  return rc;
}

/* ------------------------------------------------------------------ */
/* Apply                                                              */

/* A snapshot at the next offset changes nothing, because the state already includes
   it. A snapshot after a gap replaces the state. The next record to read is then
   the one at the offset stored in the snapshot, which may precede the snapshot in
   the log. */
static MdApplyResult
apply_snapshot (MdConfig *config, uint64_t offset, const json_t *root)
{
  uint64_t next;

  int rc;

  if (!uint_member (root, "next", &next) || next > offset)
    return MD_APPLY_INVALID;
  rc = offset > config->next ? load_snapshot (config, root, NULL) : MD_OK;
  if (rc == MD_E_MEMORY)
    abort (); /* the state would stay behind the log */
  return rc == MD_E_INVALID ? MD_APPLY_INVALID : MD_APPLY_SNAPSHOT;
}

MdApplyResult
md_config_apply (MdConfig *config, uint64_t offset, int64_t time_ms, MdStr record)
{
  unsigned long failures = md_json_failures ();
  bool in_turn = offset == config->next;
  MdApplyResult result = MD_APPLY_INVALID;
  json_t *root;

  if (offset < config->next)
    return MD_APPLY_STALE;
  root = md_json_load (record, JSON_REJECT_DUPLICATES, NULL);
  if (md_str_equal (string_member (root, "type"), MD_STR ("snapshot")))
    result = apply_snapshot (config, offset, root);
  else if (in_turn && md_json_depth (record) <= 1 + MD_JSON_EMBEDDED_DEPTH)
    result = apply_change (config, offset, time_ms, root);
  if (md_json_failures () != failures)
    abort (); /* the record may have been taken for an invalid one, which other entries apply */
  if (in_turn)
    config->next = offset + 1;
  json_decref (root);
  return result;
}

/* ------------------------------------------------------------------ */
/* Queries                                                            */

int
md_config_get (const MdConfig *config, MdStr resource_kind, MdStr name, MdChange *out)
{
  const Resource *r = find_resource (config, resource_kind, name);

  if (r == NULL)
    return MD_E_NOT_FOUND;
  fill_change (MD_CHANGE_PUT, r, out);
  return MD_OK;
}

size_t
md_config_count (const MdConfig *config)
{
  return config->n_resources;
}

void
md_config_at (const MdConfig *config, size_t index, MdChange *out)
{
  fill_change (MD_CHANGE_PUT, &config->resources[index], out);
}

int
md_config_record (MdChangeKind kind, MdStr change_id, MdStr resource_kind, MdStr name,
                  uint64_t expected, MdStr spec, MdStr actor, char **out, size_t *len)
{
  json_t *root
      = json_pack ("{s:s, s:s%, s:s%, s:s%, s:I, s:s%}", "type",
                   kind == MD_CHANGE_PUT ? "put" : "delete", "id", change_id.data, change_id.len,
                   "kind", resource_kind.data, resource_kind.len, "name", name.data, name.len,
                   "expected", (json_int_t)expected, "actor", actor.data, actor.len);
  json_t *value = NULL;

  if (root != NULL && kind == MD_CHANGE_PUT)
    {
      value = md_json_load (spec, JSON_REJECT_DUPLICATES, NULL);
      if (value == NULL || json_object_set_new (root, "spec", value) != 0)
        {
          json_decref (root);
          return MD_E_INVALID;
        }
    }
  *out = root ? dump_json (root) : NULL;
  json_decref (root);
  if (*out == NULL)
    return MD_E_INVALID;
  *len = strlen (*out);
  return MD_OK;
}
