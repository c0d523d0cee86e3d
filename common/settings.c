/* settings.c -- settings of a process, read from a YAML file

   Every setting is a row of a table with its name, type, bounds and the roles that
   use it. Parsing, validation and error messages are driven by the table, so that a
   new setting needs only a row. All errors of a file are reported, each with its
   line. */

#include "md-private.h"
#include "run-sched.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <yaml.h>

typedef enum
{
  SETTING_NAME,    /* text of 1 to MD_NAME_BYTES - 1 bytes */
  SETTING_ADDRESS, /* ip:port */
  SETTING_U32,     /* whole number */
  SETTING_U64,     /* whole number */
  SETTING_MS,      /* milliseconds in the file, MdTime in memory */
  SETTING_SECONDS, /* seconds in the file, with fractions, MdTime in memory */
  SETTING_LIST,    /* ip:port, separated by commas, at most MD_LIST_BYTES - 1 bytes */
  SETTING_DOUBLE,  /* number with fractions */
  SETTING_SWITCH,  /* on, off */
  SETTING_LEVEL,   /* debug, info, warn, error */
} SettingType;

/* Flags of a setting: the roles that use it, and its properties. */
enum
{
  FOR_ENTRY = 1,
  FOR_GUARD = 2,
  FOR_BOTH = 3,
  REQUIRED = 4, /* in the roles that use it */
  FOR_RUN_ENTRY = 8,
  FOR_RUN_GUARD = 16,
  FOR_RUNS = FOR_RUN_ENTRY | FOR_RUN_GUARD,
  FOR_ALL = FOR_BOTH | FOR_RUNS,
  RELOADABLE = 32, /* changed without a restart by a run-entry or run-guard */
};

typedef struct
{
  const char *name; /* key in the file */
  SettingType type; /* format in the file and in memory */
  size_t offset;    /* of the field in MdSettings or MdTuning */
  unsigned flags;   /* FOR_*, REQUIRED, RELOADABLE */
  double min;       /* of numbers, in the unit of the file */
  double max;       /* of numbers, in the unit of the file */
} Setting;

#define AT(field) offsetof (MdSettings, field)
static const Setting settings_table[] = {
  { "name", SETTING_NAME, AT (name), FOR_ALL | REQUIRED, 0, 0 },
  { "region", SETTING_NAME, AT (region), FOR_ALL | REQUIRED, 0, 0 },
  { "failure_domain", SETTING_NAME, AT (failure_domain), FOR_ALL | REQUIRED, 0, 0 },
  { "log_address", SETTING_ADDRESS, AT (log_address), FOR_BOTH | REQUIRED, 0, 0 },
  { "balancer_address", SETTING_ADDRESS, AT (balancer_address), FOR_BOTH, 0, 0 },
  { "internal_address", SETTING_ADDRESS, AT (internal_address),
    FOR_ENTRY | FOR_RUN_ENTRY | REQUIRED, 0, 0 },
  { "advertised_address", SETTING_ADDRESS, AT (advertised_address), FOR_ENTRY | FOR_RUN_ENTRY, 0,
    0 },
  { "caller_address", SETTING_ADDRESS, AT (caller_address), FOR_ENTRY | FOR_RUN_ENTRY | REQUIRED, 0,
    0 },
  { "operator_address", SETTING_ADDRESS, AT (operator_address), FOR_ENTRY | REQUIRED, 0, 0 },
  { "caller_threads", SETTING_U32, AT (caller_threads), FOR_ENTRY | FOR_RUN_ENTRY, 8, 4096 },
  { "operator_threads", SETTING_U32, AT (operator_threads), FOR_ENTRY, 2, 256 },
  { "max_body_bytes", SETTING_U64, AT (max_body_bytes), FOR_ENTRY | FOR_RUN_ENTRY, 1024, 8 << 20 },
  { "upstream_address", SETTING_ADDRESS, AT (upstream_address), FOR_GUARD | REQUIRED, 0, 0 },
  { "pool", SETTING_NAME, AT (pool), FOR_GUARD | REQUIRED, 0, 0 },
  { "slots", SETTING_U32, AT (slots), FOR_GUARD, 1, 1024 },
  { "connections", SETTING_U32, AT (connections), FOR_GUARD, 1, 1024 },
  { "cores", SETTING_U32, AT (cores), FOR_GUARD, 1, 4096 },
  { "memory_mb", SETTING_U32, AT (memory_mb), FOR_GUARD, 1, 1 << 26 },
  { "accelerators", SETTING_U32, AT (accelerators), FOR_GUARD, 0, 64 },
  { "grace_s", SETTING_SECONDS, AT (drain_timeout), FOR_RUNS | RELOADABLE, 0, 3600 },
  { "drain_timeout_ms", SETTING_MS, AT (drain_timeout), FOR_ALL | RELOADABLE, 0, 3600e3 },
  { "log_level", SETTING_LEVEL, AT (log_level), FOR_ALL | RELOADABLE, 0, 0 },
  { "store_address", SETTING_ADDRESS, AT (store_address), FOR_RUNS | REQUIRED, 0, 0 },
  { "advisor_address", SETTING_ADDRESS, AT (advisor_address), FOR_RUN_ENTRY, 0, 0 },
  { "ready_address", SETTING_ADDRESS, AT (ready_address), FOR_RUN_ENTRY | REQUIRED, 0, 0 },
  { "metrics_address", SETTING_ADDRESS, AT (metrics_address), FOR_RUNS, 0, 0 },
  { "seeds", SETTING_LIST, AT (seeds), FOR_RUNS | RELOADABLE, 0, 0 },
  { "entry_port", SETTING_U32, AT (entry_port), FOR_RUNS | REQUIRED, 1, 65535 },
  { "worker_address", SETTING_ADDRESS, AT (worker_address), FOR_RUN_GUARD | REQUIRED, 0, 0 },
  { "register_address", SETTING_ADDRESS, AT (register_address), FOR_RUN_GUARD | REQUIRED, 0, 0 },
  { "worker_lease_max_ms", SETTING_MS, AT (worker_lease_max), FOR_RUN_GUARD | RELOADABLE, 100,
    60e3 },
  { "resend_after_ms", SETTING_MS, AT (resend_after), FOR_RUNS, 100, 600e3 },
  { "stop_timeout_ms", SETTING_MS, AT (stop_timeout), FOR_RUNS, 0, 60e3 },
  { "full_reports", SETTING_U32, AT (full_reports), FOR_RUN_GUARD | RELOADABLE, 1, 512 },
  { "max_followed", SETTING_U32, AT (max_followed), FOR_RUN_ENTRY | RELOADABLE, 0, 4096 },
  { "config_apply_ms", SETTING_MS, AT (config_apply), FOR_RUN_ENTRY, 100, 600e3 },
  { "handover", SETTING_SWITCH, AT (handover), FOR_RUN_ENTRY, 0, 0 },
  { "cpu_share", SETTING_DOUBLE, AT (cpu_share), FOR_RUN_ENTRY, 0.001, 1024 },
  { "remote_factor", SETTING_DOUBLE, AT (remote_factor), FOR_RUN_ENTRY | RELOADABLE, 1, 100 },
};

static const MdStr end_marker_key = { "end_marker", sizeof "end_marker" - 1 };

#define TUNE(field) offsetof (MdTuning, field)
static const Setting tuning_table[] = {
  { "heartbeat_min_ms", SETTING_MS, TUNE (heartbeat_min), FOR_BOTH, 10, 60e3 },
  { "heartbeat_max_ms", SETTING_MS, TUNE (heartbeat_max), FOR_BOTH, 10, 60e3 },
  { "heartbeat_idle_ms", SETTING_MS, TUNE (heartbeat_idle), FOR_BOTH, 10, 600e3 },
  { "heartbeat_budget", SETTING_U32, TUNE (heartbeat_budget), FOR_BOTH, 100, 1e9 },
  { "missed_heartbeats", SETTING_U32, TUNE (missed_heartbeats), FOR_BOTH, 2, 100 },
  { "fence_after_ms", SETTING_MS, TUNE (fence_after), FOR_BOTH, 30, 600e3 },
  { "guard_lease_ms", SETTING_MS, TUNE (guard_lease), FOR_BOTH, 50, 600e3 },
  { "start_max_age_ms", SETTING_MS, TUNE (start_max_age), FOR_BOTH, 100, 600e3 },
  { "horizon_ms", SETTING_MS, TUNE (horizon), FOR_BOTH, 1000, 86400e3 },
  { "answer_retention_ms", SETTING_MS, TUNE (answer_retention), FOR_BOTH, 0, 3600e3 },
  { "clock_error_ms", SETTING_MS, TUNE (clock_error), FOR_BOTH, 0, 60e3 },
  { "removal_delay_ms", SETTING_MS, TUNE (removal_delay), FOR_BOTH, 1000, 86400e3 },
  { "reconnect_min_ms", SETTING_MS, TUNE (reconnect_min), FOR_BOTH, 1, 60e3 },
  { "reconnect_max_ms", SETTING_MS, TUNE (reconnect_max), FOR_BOTH, 1, 600e3 },
  { "max_slowdown", SETTING_DOUBLE, TUNE (max_slowdown), FOR_BOTH, 1, 1000 },
  { "max_tasks", SETTING_U32, TUNE (max_tasks), FOR_BOTH, 1, 100000 },
  { "max_queued_tasks", SETTING_U32, TUNE (max_queued_tasks), FOR_BOTH, 1, 1e8 },
  { "ledger_bytes", SETTING_U64, TUNE (ledger_bytes), FOR_BOTH, 1024, 1e12 },
  { "ledger_records", SETTING_U32, TUNE (ledger_records), FOR_BOTH, 16, 1e9 },
  { "watch_changes", SETTING_U32, TUNE (watch_changes), FOR_BOTH, 16, 1e7 },
  { "log_retention_ms", SETTING_MS, TUNE (log_retention), FOR_BOTH, 1000, 366 * 86400e3 },
  { "snapshot_records", SETTING_U32, TUNE (snapshot_records), FOR_BOTH, 2, 1e7 },
};

typedef struct
{
  yaml_document_t *doc; /* parsed file, owned by the caller */
  const char *path;     /* for messages */
  MdBuf *faults;        /* error messages, one per line */
  unsigned role;        /* the FOR_* flag of the role, 0 not read yet */
  bool failed;          /* an error was reported */
  bool incomplete;      /* the file may be the beginning of a longer one */
} Reader;

static void MD_PRINTF (3, 4)
    add_fault (Reader *reader, const yaml_node_t *node, const char *format, ...)
{
  char text[256];
  va_list args;
  unsigned long line = node != NULL ? node->start_mark.line + 1 : 1;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  /* A name from the file may contain line ends; keep the message on one line. */
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == 0x7f)
      *c = '?';
  md_buf_printf (reader->faults, "%s:%lu: %s\n", reader->path, line, text);
  reader->failed = true;
}

static bool
scalar_text (const yaml_node_t *node, MdStr *out)
{
  if (node == NULL || node->type != YAML_SCALAR_NODE)
    return false;
  *out = md_str_n (node->data.scalar.value, node->data.scalar.length);
  return true;
}

/* A template leaves a key without a value where the platform has none to fill in. */
static bool
has_no_value (const yaml_node_t *node)
{
  return node != NULL && node->type == YAML_SCALAR_NODE && node->data.scalar.length == 0;
}

int
md_address_split (MdStr address, char host[MD_ADDRESS_BYTES], int *port)
{
  char copy[MD_ADDRESS_BYTES];
  struct in_addr addr;
  char *colon;
  char *end;
  long value;

  if (address.len == 0 || address.len >= sizeof copy)
    return MD_E_INVALID;
  md_str_copy (copy, sizeof copy, address);
  colon = strrchr (copy, ':');
  if (colon == NULL || colon[1] == '\0')
    return MD_E_INVALID;
  *colon = '\0';
  value = strtol (colon + 1, &end, 10);
  if (*end != '\0' || value < 0 || value > 65535 || inet_pton (AF_INET, copy, &addr) != 1)
    return MD_E_INVALID;
  md_str_copy (host, MD_ADDRESS_BYTES, md_str (copy));
  *port = (int)value;
  return MD_OK;
}

static bool
parse_number (const char *text, double *value)
{
  char *end;

  errno = 0;
  *value = strtod (text, &end);
  return errno == 0 && end != text && *end == '\0' && *value == *value;
}

static void
store_number (const Setting *setting, void *dest, double value)
{
  switch (setting->type)
    {
    case SETTING_U32:
      *(uint32_t *)dest = (uint32_t)value;
      break;
    case SETTING_U64:
      *(uint64_t *)dest = (uint64_t)value;
      break;
    case SETTING_MS:
      *(MdTime *)dest = (MdTime)(value * (double)MD_MS);
      break;
    case SETTING_SECONDS:
      *(MdTime *)dest = (MdTime)(value * (double)MD_SECOND);
      break;
    case SETTING_DOUBLE:
      *(double *)dest = value;
      break;
    default:
      break;
    }
}

static void
read_number (Reader *reader, const Setting *setting, void *dest, const yaml_node_t *node,
             const char *text)
{
  double value;

  if (!parse_number (text, &value))
    add_fault (reader, node, "%s: not a number", setting->name);
  else if (value < setting->min || value > setting->max)
    add_fault (reader, node, "%s: must be between %.15g and %.15g", setting->name, setting->min,
               setting->max);
  else if (setting->type != SETTING_DOUBLE && setting->type != SETTING_SECONDS
           && value != (double)(int64_t)value)
    add_fault (reader, node, "%s: must be a whole number", setting->name);
  else
    store_number (setting, dest, value);
}

static void
read_level (Reader *reader, const Setting *setting, void *dest, const yaml_node_t *node,
            const char *text)
{
  static const char *const names[] = { "debug", "info", "warn", "error" };

  for (int i = 0; i < 4; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *(MdLogLevel *)dest = (MdLogLevel)i;
        return;
      }
  add_fault (reader, node, "%s: must be debug, info, warn or error", setting->name);
}

static void
read_switch (Reader *reader, const Setting *setting, void *dest, const yaml_node_t *node,
             const char *text)
{
  bool on = strcmp (text, "on") == 0;

  if (!on && strcmp (text, "off") != 0)
    add_fault (reader, node, "%s: must be on or off", setting->name);
  else
    *(bool *)dest = on;
}

static void
read_list (Reader *reader, const Setting *setting, void *dest, const yaml_node_t *node)
{
  char host[MD_ADDRESS_BYTES];
  MdStr value;
  int port;

  if (!scalar_text (node, &value) || value.len >= MD_LIST_BYTES)
    {
      add_fault (reader, node, "%s: must be a text of at most %d bytes", setting->name,
                 MD_LIST_BYTES - 1);
      return;
    }
  md_str_copy (dest, MD_LIST_BYTES, value);
  while (value.len > 0)
    {
      const char *comma = memchr (value.data, ',', value.len);
      size_t len = comma != NULL ? (size_t)(comma - value.data) : value.len;

      if (md_address_split (md_str_n (value.data, len), host, &port) != MD_OK)
        add_fault (reader, node, "%s: must be ip:port, separated by commas", setting->name);
      value = md_str_n (value.data + len, value.len - len);
      if (value.len > 0)
        value = md_str_n (value.data + 1, value.len - 1);
    }
}

static void
read_value (Reader *reader, const Setting *setting, void *base, const yaml_node_t *node)
{
  void *dest = (char *)base + setting->offset;
  char host[MD_ADDRESS_BYTES];
  char text[MD_NAME_BYTES];
  MdStr value;
  int port;

  if (!(setting->flags & REQUIRED) && has_no_value (node))
    return;
  if (setting->type == SETTING_LIST)
    {
      read_list (reader, setting, dest, node);
      return;
    }
  if (!scalar_text (node, &value) || value.len == 0 || value.len >= sizeof text)
    {
      add_fault (reader, node, "%s: must be a text of 1 to %d bytes", setting->name,
                 MD_NAME_BYTES - 1);
      return;
    }
  md_str_copy (text, sizeof text, value);
  switch (setting->type)
    {
    case SETTING_NAME:
      md_str_copy (dest, MD_NAME_BYTES, value);
      break;
    case SETTING_ADDRESS:
      if (md_address_split (value, host, &port) != MD_OK)
        add_fault (reader, node, "%s: must be ip:port", setting->name);
      else
        md_str_copy (dest, MD_ADDRESS_BYTES, value);
      break;
    case SETTING_LEVEL:
      read_level (reader, setting, dest, node, text);
      break;
    case SETTING_SWITCH:
      read_switch (reader, setting, dest, node, text);
      break;
    default:
      read_number (reader, setting, dest, node, text);
      break;
    }
}

static const Setting *
find_setting (const Setting *table, size_t n, MdStr name)
{
  for (size_t i = 0; i < n; i++)
    if (md_str_equal (md_str (table[i].name), name))
      return &table[i];
  return NULL;
}

static yaml_node_t *
get_node (Reader *reader, int index)
{
  return yaml_document_get_node (reader->doc, index);
}

/* Whether an earlier pair of a mapping has the same key. Such a key is an error, because
   YAML parsers differ in which of the two values they use. */
static bool
is_duplicate_key (Reader *reader, const yaml_node_t *map, const yaml_node_pair_t *pair, MdStr key)
{
  for (const yaml_node_pair_t *p = map->data.mapping.pairs.start; p < pair; p++)
    {
      MdStr other;
      if (scalar_text (get_node (reader, p->key), &other) && md_str_equal (other, key))
        return true;
    }
  return false;
}

static void
read_tuning (Reader *reader, MdTuning *tuning, const yaml_node_t *map)
{
  if (has_no_value (map))
    return;
  if (map->type != YAML_MAPPING_NODE)
    {
      add_fault (reader, map, "tuning: must be a mapping");
      return;
    }
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start; pair < map->data.mapping.pairs.top;
       pair++)
    {
      const yaml_node_t *key = get_node (reader, pair->key);
      const Setting *setting;
      MdStr name = MD_STR ("");

      scalar_text (key, &name);
      setting = find_setting (tuning_table, MD_ARRAY_SIZE (tuning_table), name);
      if (setting == NULL)
        add_fault (reader, key, "tuning.%.*s: unknown setting", (int)name.len, name.data);
      else if (is_duplicate_key (reader, map, pair, name))
        add_fault (reader, key, "tuning.%s: given twice", setting->name);
      else
        read_value (reader, setting, tuning, get_node (reader, pair->value));
    }
}

static void
read_token_field (Reader *reader, MdToken *token, MdStr key, const yaml_node_t *node)
{
  MdStr value = MD_STR ("");
  bool is_operator = md_str_equal (key, MD_STR ("operator"));

  if (!scalar_text (node, &value) || value.len == 0 || value.len >= MD_NAME_BYTES)
    add_fault (reader, node, "tokens: %.*s: must be a text of 1 to %d bytes", (int)key.len,
               key.data, MD_NAME_BYTES - 1);
  else if (is_operator || md_str_equal (key, MD_STR ("customer")))
    {
      token->is_operator = is_operator;
      md_str_copy (token->name, sizeof token->name, value);
    }
  else if (md_str_equal (key, MD_STR ("token")))
    md_str_copy (token->token, sizeof token->token, value);
  else
    add_fault (reader, node, "tokens: %.*s: unknown field", (int)key.len, key.data);
}

static void
read_tokens (Reader *reader, MdSettings *settings, const yaml_node_t *list)
{
  size_t n;

  if (has_no_value (list))
    return;
  if (list->type != YAML_SEQUENCE_NODE)
    {
      add_fault (reader, list, "tokens: must be a list");
      return;
    }
  n = (size_t)(list->data.sequence.items.top - list->data.sequence.items.start);
  settings->tokens = calloc (n ? n : 1, sizeof *settings->tokens);
  if (settings->tokens == NULL)
    {
      add_fault (reader, list, "tokens: out of memory");
      return;
    }
  for (size_t i = 0; i < n; i++)
    {
      const yaml_node_t *map = get_node (reader, list->data.sequence.items.start[i]);
      MdToken *token = &settings->tokens[settings->n_tokens++];

      if (map->type != YAML_MAPPING_NODE)
        {
          add_fault (reader, map, "tokens: each must be a mapping");
          continue;
        }
      for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
           pair < map->data.mapping.pairs.top; pair++)
        {
          MdStr key = MD_STR ("");
          scalar_text (get_node (reader, pair->key), &key);
          read_token_field (reader, token, key, get_node (reader, pair->value));
        }
      if (token->name[0] == '\0' || token->token[0] == '\0')
        add_fault (reader, map, "tokens: needs operator or customer, and token");
    }
}

static void
read_role (Reader *reader, MdSettings *settings, const yaml_node_t *root)
{
  for (yaml_node_pair_t *pair = root->data.mapping.pairs.start; pair < root->data.mapping.pairs.top;
       pair++)
    {
      MdStr key;
      MdStr value = MD_STR ("");
      const yaml_node_t *node = get_node (reader, pair->value);

      if (!scalar_text (get_node (reader, pair->key), &key) || !md_str_equal (key, MD_STR ("role")))
        continue;
      scalar_text (node, &value);
      if (md_str_equal (value, MD_STR ("entry")))
        reader->role = FOR_ENTRY;
      else if (md_str_equal (value, MD_STR ("guard")))
        reader->role = FOR_GUARD;
      else if (md_str_equal (value, MD_STR ("run-entry")))
        reader->role = FOR_RUN_ENTRY;
      else if (md_str_equal (value, MD_STR ("run-guard")))
        reader->role = FOR_RUN_GUARD;
      else
        add_fault (reader, node, "role: must be entry, guard, run-entry or run-guard");
    }
  if (reader->role == 0 && !reader->failed)
    {
      add_fault (reader, root, "role: missing");
      reader->incomplete = true;
    }
  settings->is_entry = reader->role == FOR_ENTRY || reader->role == FOR_RUN_ENTRY;
}

static void
read_pair (Reader *reader, MdSettings *settings, const yaml_node_t *root,
           const yaml_node_pair_t *pair, bool seen[])
{
  const yaml_node_t *key = get_node (reader, pair->key);
  const yaml_node_t *value = get_node (reader, pair->value);
  const Setting *setting;
  MdStr name = MD_STR ("");

  scalar_text (key, &name);
  if (is_duplicate_key (reader, root, pair, name))
    {
      add_fault (reader, key, "%.*s: given twice", (int)name.len, name.data);
      return;
    }
  if (md_str_equal (name, MD_STR ("role")) || md_str_equal (name, end_marker_key))
    return;
  if (md_str_equal (name, MD_STR ("tokens")))
    {
      read_tokens (reader, settings, value);
      return;
    }
  if (md_str_equal (name, MD_STR ("tuning")))
    {
      read_tuning (reader, &settings->tuning, value);
      return;
    }
  setting = find_setting (settings_table, MD_ARRAY_SIZE (settings_table), name);
  if (setting == NULL)
    add_fault (reader, key, "%.*s: unknown setting", (int)name.len, name.data);
  else if (!(setting->flags & reader->role))
    add_fault (reader, key, "%s: not a setting of this role", setting->name);
  else
    {
      seen[setting - settings_table] = true;
      read_value (reader, setting, settings, value);
    }
}

static void
check_required (Reader *reader, const yaml_node_t *root, const bool seen[])
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (settings_table); i++)
    {
      const Setting *setting = &settings_table[i];
      if ((setting->flags & REQUIRED) && (setting->flags & reader->role) && !seen[i])
        {
          add_fault (reader, root, "%s: missing", setting->name);
          reader->incomplete = true;
        }
    }
}

/* A file that begins with "end_marker: required" ends with "...", the end of a YAML document; one
   that does not is cut short. */
static void
check_end_marker (Reader *reader, const MdSettings *settings, const yaml_node_t *root)
{
  for (yaml_node_pair_t *pair = root->data.mapping.pairs.start; pair < root->data.mapping.pairs.top;
       pair++)
    {
      const yaml_node_t *node = get_node (reader, pair->value);
      MdStr key = MD_STR ("");
      MdStr value = MD_STR ("");

      if (!scalar_text (get_node (reader, pair->key), &key) || !md_str_equal (key, end_marker_key))
        continue;
      scalar_text (node, &value);
      if (!md_str_equal (value, MD_STR ("required")))
        add_fault (reader, node, "end_marker: must be required");
      else if (!settings->end_marked)
        add_fault (reader, node, "end_marker: the file does not end with a line \"...\"");
    }
}

static void
check_relations (Reader *reader, const MdSettings *settings, const yaml_node_t *root)
{
  const MdTuning *t = &settings->tuning;

  if (t->heartbeat_min > t->heartbeat_max)
    add_fault (reader, root, "tuning: heartbeat_min_ms must not exceed heartbeat_max_ms");
  if (t->heartbeat_idle < t->heartbeat_max)
    add_fault (reader, root, "tuning: heartbeat_idle_ms must be at least heartbeat_max_ms");
  if (t->guard_lease < 2 * t->heartbeat_max)
    add_fault (reader, root, "tuning: guard_lease_ms must be at least twice heartbeat_max_ms");
  if (t->fence_after < t->heartbeat_max)
    add_fault (reader, root, "tuning: fence_after_ms must be at least heartbeat_max_ms");
  if (t->horizon < t->start_max_age)
    add_fault (reader, root, "tuning: horizon_ms must be at least start_max_age_ms");
}

static void
read_root (Reader *reader, MdSettings *settings)
{
  const yaml_node_t *root = yaml_document_get_root_node (reader->doc);
  bool seen[MD_ARRAY_SIZE (settings_table)] = { false };

  if (root == NULL || root->type != YAML_MAPPING_NODE)
    {
      add_fault (reader, root, "the file must be a mapping of settings");
      reader->incomplete = true;
      return;
    }
  read_role (reader, settings, root);
  if (reader->failed)
    return;
  for (yaml_node_pair_t *pair = root->data.mapping.pairs.start; pair < root->data.mapping.pairs.top;
       pair++)
    read_pair (reader, settings, root, pair, seen);
  check_required (reader, root, seen);
  check_relations (reader, settings, root);
  check_end_marker (reader, settings, root);
}

static void
set_defaults (MdSettings *settings)
{
  memset (settings, 0, sizeof *settings);
  md_tuning_default (&settings->tuning);
  settings->slots = 8;
  settings->connections = 64;
  settings->cores = 1;
  settings->memory_mb = 1024;
  settings->caller_threads = 256;
  settings->full_reports = MD_FULL_REPORTS;
  settings->max_followed = MD_MAX_FOLLOWED;
  settings->operator_threads = 16;
  settings->max_body_bytes = 4u << 20;
  settings->drain_timeout = 30 * MD_SECOND;
  settings->worker_lease_max = 1 * MD_SECOND;
  settings->resend_after = 1300 * MD_MS;
  settings->stop_timeout = 50 * MD_MS;
  settings->config_apply = 2 * MD_SECOND;
  settings->remote_factor = 1.5;
  settings->handover = true;
  settings->log_level = MD_LOG_INFO;
}

/* Whether a text without the end of a YAML document may be the beginning of a longer one, whatever
   its faults are: a cut within a value looks like a wrong value. */
static bool
may_be_cut_short (MdStr text)
{
  static const char marked[] = "end_marker: required\n";
  size_t len = text.len < sizeof marked - 1 ? text.len : sizeof marked - 1;

  return memcmp (text.data, marked, len) == 0 || text.data[text.len - 1] != '\n';
}

int
md_settings_parse (MdSettings *settings, const char *path, MdStr text, MdBuf *faults)
{
  yaml_parser_t parser;
  yaml_document_t doc;
  Reader reader = { .doc = &doc, .path = path, .faults = faults };

  set_defaults (settings);
  text = md_str_n (text.data, text.len);
  if (!yaml_parser_initialize (&parser))
    return MD_E_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text.data, text.len);
  if (!yaml_parser_load (&parser, &doc))
    {
      settings->incomplete = true;
      md_buf_printf (faults, "%s:%lu: %s\n", path, (unsigned long)parser.problem_mark.line + 1,
                     parser.problem ? parser.problem : "not valid YAML");
      yaml_parser_delete (&parser);
      return MD_E_INVALID;
    }
  settings->end_marked = !doc.end_implicit;
  read_root (&reader, settings);
  settings->incomplete = reader.incomplete || (!settings->end_marked && may_be_cut_short (text));
  yaml_document_delete (&doc);
  yaml_parser_delete (&parser);
  return reader.failed ? MD_E_INVALID : MD_OK;
}

void
md_settings_clear (MdSettings *settings)
{
  free (settings->tokens);
  settings->tokens = NULL;
  settings->n_tokens = 0;
}

const MdToken *
md_settings_find_token (const MdSettings *settings, MdStr presented)
{
  const MdToken *found = NULL;

  for (size_t i = 0; i < settings->n_tokens; i++)
    if (md_str_equal_secret (presented, md_str (settings->tokens[i].token)))
      found = &settings->tokens[i];
  return found;
}

/* ------------------------------------------------------------------ */
/* Reloading                                                           */

/* Size of a value in memory, in bytes. */
static const size_t value_bytes[] = {
  [SETTING_NAME] = MD_NAME_BYTES,        [SETTING_ADDRESS] = MD_ADDRESS_BYTES,
  [SETTING_U32] = sizeof (uint32_t),     [SETTING_U64] = sizeof (uint64_t),
  [SETTING_MS] = sizeof (MdTime),        [SETTING_SECONDS] = sizeof (MdTime),
  [SETTING_LIST] = MD_LIST_BYTES,        [SETTING_DOUBLE] = sizeof (double),
  [SETTING_LEVEL] = sizeof (MdLogLevel), [SETTING_SWITCH] = sizeof (bool),
};

/* Bytes after the terminator of a text are ignored. */
static bool
same_value (SettingType type, const void *a, const void *b)
{
  if (type == SETTING_NAME || type == SETTING_ADDRESS || type == SETTING_LIST)
    return strcmp (a, b) == 0;
  return memcmp (a, b, value_bytes[type]) == 0;
}

void
md_settings_update (MdSettings *settings, const MdSettings *fresh, MdBuf *applied, MdBuf *deferred)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (settings_table); i++)
    {
      const Setting *setting = &settings_table[i];
      void *old = (char *)settings + setting->offset;
      const void *new = (const char *)fresh + setting->offset;
      MdBuf *names = setting->flags & RELOADABLE ? applied : deferred;

      if (same_value (setting->type, old, new))
        continue;
      md_buf_printf (names, "%s%s", names->len > 0 ? "," : "", setting->name);
      if (setting->flags & RELOADABLE)
        memcpy (old, new, value_bytes[setting->type]);
    }
}
