/* targets-records.c -- frames, jobs of entry, settings, declared resources and members

   Records of a log are the lines of an input. A state that was built from them must survive being
   written as a snapshot and read again. */

#define _GNU_SOURCE /* memmem */

#include "config-check.h"
#include "entry-private.h"
#include "resource-private.h"
#include "store-private.h"
#include "targets.h"

#include "wire.pb-c.h"

#include <ctype.h>

#define TIME_MS 1700000000000
#define MAX_TASKS 890

/* ------------------------------------------------------------------ */
/* Frames                                                             */

static void
check_frame (const Md__Frame *frame)
{
  MD_AUTO_BUF bytes = { 0 };
  MD_AUTO_BUF again = { 0 };
  Md__Frame *copy = NULL;
  size_t used = 0;
  int rc = md_frame_encode (frame, &bytes);

  FUZZ_CHECK (rc == MD_OK || rc == MD_E_MEMORY || rc == MD_E_LIMIT);
  fuzz_result (rc);
  if (rc != MD_OK)
    return;
  fuzz_decoded (bytes.data, bytes.len);
  rc = md_frame_decode (md_buf_str (&bytes), &copy, &used);
  fuzz_result (rc);
  if (rc != MD_OK)
    return; /* memory, or the limit of a decoded frame */
  FUZZ_CHECK (used == bytes.len);
  if (md_frame_encode (copy, &again) == MD_OK)
    FUZZ_CHECK (md_str_equal (md_buf_str (&bytes), md_buf_str (&again)));
  md__frame__free_unpacked (copy, NULL);
}

static void
decode_stream (MdStr stream)
{
  Md__Frame *frame = NULL;
  size_t used = 0;

  int rc;

  while ((rc = md_frame_decode (stream, &frame, &used)) == MD_OK)
    {
      FUZZ_CHECK (used >= 4 && used <= stream.len);
      check_frame (frame);
      md__frame__free_unpacked (frame, NULL);
      stream = md_str_n (stream.data + used, stream.len - used);
    }
  fuzz_result (rc == MD_E_NOT_FOUND ? MD_OK : rc);
}

/* The input is read as a stream of frames, and as one frame without its length. */
void
fuzz_frame (MdStr input)
{
  MD_AUTO_BUF one = { 0 };
  const char prefix[4] = { (char)(input.len >> 24), (char)(input.len >> 16), (char)(input.len >> 8),
                           (char)input.len };

  decode_stream (input);
  md_buf_append (&one, md_str_n (prefix, sizeof prefix));
  md_buf_append (&one, input);
  fuzz_result (one.failed ? MD_E_MEMORY : MD_OK);
  if (!one.failed)
    decode_stream (md_buf_str (&one));
}

/* ------------------------------------------------------------------ */
/* Jobs of entry                                                      */

static void
check_task (const MdTaskBody *task)
{
  FUZZ_CHECK (task->path != NULL && task->path[0] == '/' && strpbrk (task->path, " \r\n") == NULL);
  FUZZ_CHECK (task->method != NULL && task->method[0] != '\0');
  FUZZ_CHECK (task->body != NULL || task->body_len == 0);
  FUZZ_CHECK (task->spec.declared >= 0);
}

void
fuzz_job (MdStr input)
{
  MdError error = { 0 };
  size_t memory = md_job_memory (input);
  MdSubmission *sub = md_job_parse (input, MAX_TASKS, &error);

  FUZZ_CHECK ((sub == NULL) == (error.code != MD_OK));
  fuzz_result (error.code);
  if (sub == NULL)
    {
      FUZZ_CHECK (error.detail[0] != '\0');
      return;
    }
  FUZZ_CHECK (memory > 0);
  FUZZ_CHECK (sub->n_tasks >= 1 && sub->n_tasks <= MAX_TASKS);
  FUZZ_CHECK (sub->deadline >= 0 && sub->submitted_ms >= 0);
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    check_task (&sub->tasks[i]);
  md_submission_finalize (sub);
  fuzz_decoded (&sub->fingerprint, sizeof sub->fingerprint);
  md_submission_unref (sub);
}

/* ------------------------------------------------------------------ */
/* Settings                                                           */

/* Every line of a fault list has the form "PATH:LINE: reason", printable. */
static void
check_faults (const MdBuf *faults, const char *path)
{
  size_t path_len = strlen (path);

  FUZZ_CHECK (faults->failed || faults->len > 0);
  if (faults->failed || faults->len == 0)
    return;
  FUZZ_CHECK (faults->data[faults->len - 1] == '\n');
  for (const char *line = faults->data, *end; *line != '\0'; line = end + 1)
    {
      end = strchr (line, '\n');
      FUZZ_CHECK (strncmp (line, path, path_len) == 0 && line[path_len] == ':'
                  && isdigit ((unsigned char)line[path_len + 1]));
      for (const char *c = line; c < end; c++)
        FUZZ_CHECK (!iscntrl ((unsigned char)*c));
    }
}

/* The input is two settings files, the second after the line "%%%": those at the start and those
   that a running process reads later. */
void
fuzz_settings (MdStr input)
{
  const char *mark = input.len > 4 ? memmem (input.data, input.len, "\n%%%\n", 5) : NULL;
  size_t len = mark != NULL ? (size_t)(mark - input.data) + 1 : input.len;
  size_t rest = mark != NULL ? len + 4 : 0;
  MdStr texts[] = { md_str_n (input.data, len), md_str_n (input.data + rest, input.len - rest) };
  MdSettings settings[2];
  int rc[2];

  for (int i = 0; i < 2; i++)
    {
      MD_AUTO_BUF faults = { 0 };

      rc[i] = md_settings_parse (&settings[i], "f.yaml", texts[i], &faults);
      FUZZ_CHECK (rc[i] == MD_OK || rc[i] == MD_E_INVALID || rc[i] == MD_E_MEMORY);
      fuzz_result (rc[i]);
      if (rc[i] == MD_OK)
        FUZZ_CHECK (faults.len == 0 && settings[i].name[0] != '\0'
                    && settings[i].tuning.horizon > 0);
      else if (rc[i] == MD_E_INVALID)
        check_faults (&faults, "f.yaml");
    }
  if (rc[0] == MD_OK && rc[1] == MD_OK)
    {
      MD_AUTO_BUF applied = { 0 };
      MD_AUTO_BUF deferred = { 0 };

      md_settings_update (&settings[0], &settings[1], &applied, &deferred);
      fuzz_result (applied.failed || deferred.failed ? MD_E_MEMORY : MD_OK);
      fuzz_decoded (applied.data, applied.len);
      fuzz_decoded (&settings[0].tuning, sizeof settings[0].tuning);
    }
  md_settings_clear (&settings[0]);
  md_settings_clear (&settings[1]);
}

/* ------------------------------------------------------------------ */
/* Declared resources                                                 */

void
fuzz_spec (MdStr input)
{
  static const char *const kinds[] = { "pool", "customer", "configuration" };
  MdPoolConfig pool;
  MdCustomerPolicy customer;

  for (size_t i = 0; i < MD_ARRAY_SIZE (kinds); i++)
    {
      MdError error = { 0 };
      int rc = md_config_check (md_str (kinds[i]), MD_STR ("a"), input, &error);

      FUZZ_CHECK (rc == MD_OK ? error.code == MD_OK : error.detail[0] != '\0');
      fuzz_result (rc);
      if (rc != MD_OK)
        continue;
      if (i == 0)
        {
          md_spec_pool (input, &pool);
          FUZZ_CHECK (pool.shards >= 1 && pool.shards <= MD_POOL_MAX_SHARDS);
          fuzz_decoded (&pool.max_queue, sizeof pool.max_queue);
        }
      else if (i == 1)
        {
          md_spec_customer (input, &customer);
          fuzz_decoded (&customer.weight, sizeof customer.weight);
        }
    }
}

void
fuzz_resources (MdStr input)
{
  const char *path = fuzz_text_file (input);
  ResourceDocument *documents = NULL;
  MD_AUTO_BUF faults = { 0 };
  size_t n = 0;
  int rc = resource_load (path, &documents, &n, &faults);

  fuzz_result (rc);
  if (rc != MD_OK)
    check_faults (&faults, path);
  for (size_t i = 0; rc == MD_OK && i < n; i++)
    {
      md_autofree char *spec = NULL;

      FUZZ_CHECK (documents[i].kind[0] != '\0' && documents[i].name[0] != '\0'
                  && json_is_object (documents[i].spec));
      fuzz_preparing = true;
      spec = json_dumps (documents[i].spec, JSON_COMPACT);
      fuzz_preparing = false;
      fuzz_decoded_text (spec);
    }
  resource_documents_free (documents, n);
}

static bool
next_line (MdStr *rest, MdStr *line)
{
  const char *end = rest->len > 0 ? memchr (rest->data, '\n', rest->len) : NULL;
  size_t n = end != NULL ? (size_t)(end - rest->data) : rest->len;

  if (rest->len == 0)
    return false;
  *line = md_str_n (rest->data, n);
  n += end != NULL;
  *rest = md_str_n (rest->data + n, rest->len - n);
  return true;
}

static MdConfig *
new_config (void)
{
  MdTuning tuning;

  md_tuning_default (&tuning);
  tuning.watch_changes = 16;
  return md_config_new (&tuning);
}

/* The state is written, read by another object, and written again. */
static void
check_config (const MdConfig *config)
{
  MdConfig *copy = new_config ();
  md_autofree char *text = NULL;
  md_autofree char *again = NULL;
  MdError error = { 0 };
  size_t len = 0;
  size_t len_again = 0;
  int rc;

  if (copy == NULL || md_config_next_offset (config) == 0
      || md_config_snapshot (config, &text, &len) != MD_OK)
    {
      fuzz_result (copy == NULL || md_config_next_offset (config) > 0 ? MD_E_MEMORY : MD_OK);
      md_config_free (copy);
      return;
    }
  fuzz_decoded_text (text);
  rc = md_config_load (copy, md_str_n (text, len), &error);
  fuzz_result (rc);
  fuzz_preparing = true;
  if (rc == MD_OK && md_config_snapshot (copy, &again, &len_again) == MD_OK)
    FUZZ_CHECK (strcmp (text, again) == 0);
  else
    FUZZ_CHECK (md_config_next_offset (copy) == 0 && md_config_count (copy) == 0);
  fuzz_preparing = false;
  md_config_free (copy);
}

void
fuzz_changes (MdStr input)
{
  MdConfig *config = new_config ();
  uint64_t offset = 0;
  MdStr line;

  fuzz_result (config != NULL ? MD_OK : MD_E_MEMORY);
  while (config != NULL && next_line (&input, &line))
    {
      md_config_apply (config, offset++, TIME_MS, line);
      FUZZ_CHECK (md_config_next_offset (config) == offset);
    }
  if (config != NULL)
    check_config (config);
  md_config_free (config);
}

void
fuzz_snapshot (MdStr input)
{
  MdConfig *config = new_config ();
  MdError error = { 0 };
  int rc;

  fuzz_result (config != NULL ? MD_OK : MD_E_MEMORY);
  if (config == NULL)
    return;
  rc = md_config_load (config, input, &error);
  fuzz_result (rc);
  if (rc == MD_OK)
    check_config (config);
  else
    FUZZ_CHECK (md_config_count (config) == 0 && md_config_next_offset (config) == 0);
  md_config_free (config);
}

/* ------------------------------------------------------------------ */
/* Members                                                            */

static void
check_members (const MemberLog *log)
{
  MemberLog copy = { 0 };
  MemberEvents events = { 0 };
  md_autofree char *text = NULL;
  md_autofree char *again = NULL;
  MdError error = { 0 };
  size_t len = 0;
  size_t len_again = 0;
  int rc;

  if (log->next_offset == 0)
    return;
  rc = member_log_snapshot (log, &text, &len);
  fuzz_result (rc);
  if (rc != MD_OK)
    return;
  fuzz_decoded_text (text);
  rc = member_log_load (&copy, md_str_n (text, len), &events, &error);
  fuzz_result (rc);
  fuzz_preparing = true;
  if (rc == MD_OK && member_log_snapshot (&copy, &again, &len_again) == MD_OK)
    FUZZ_CHECK (strcmp (text, again) == 0);
  else
    FUZZ_CHECK (copy.next_offset == 0 && copy.n_records == 0 && events.n == 0);
  fuzz_preparing = false;
  member_events_clear (&events);
  member_log_clear (&copy);
}

void
fuzz_members (MdStr input)
{
  MemberLog log = { 0 };
  MemberEvents events = { 0 };
  uint64_t offset = 0;
  MdStr line;

  while (next_line (&input, &line))
    {
      member_log_apply (&log, offset++, TIME_MS, line, &events);
      FUZZ_CHECK (log.next_offset == offset);
      for (size_t i = 0; i < events.n; i++)
        FUZZ_CHECK (events.items[i].event.info.incarnation != 0);
      member_events_clear (&events);
    }
  check_members (&log);
  member_log_clear (&log);
}

void
fuzz_members_snapshot (MdStr input)
{
  MemberLog log = { 0 };
  MemberEvents events = { 0 };
  MdError error = { 0 };
  int rc = member_log_load (&log, input, &events, &error);

  fuzz_result (rc);
  if (rc == MD_OK)
    check_members (&log);
  else
    FUZZ_CHECK (log.n_records == 0 && log.next_offset == 0 && events.n == 0);
  member_events_clear (&events);
  member_log_clear (&log);
}
