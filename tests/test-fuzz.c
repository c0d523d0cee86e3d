/* test-fuzz.c -- parsers of input from outside, with mutated documents

   Valid documents are changed at random places with a fixed seed, so that every
   run sees the same inputs. The sanitizer variants find what the parsers do wrong
   in memory; the checks here find answers that contradict each other. */

#include "store-private.h"

#include "config-check.h"
#include "entry-private.h"
#include "suite.h"

#include <ctype.h>
#include <stdio.h>

#define ROUNDS 4000 /* documents per parser */
#define TIME_MS 1700000000000

static uint64_t random_state;

static uint64_t
draw (uint64_t below)
{
  uint64_t z = random_state += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return (z ^ (z >> 31)) % below;
}

/* Pieces that parsers treat specially. */
static const char *const tokens[] = {
  "\"",
  "\\n",
  "\n",
  "{",
  "}",
  "[",
  "]",
  ":",
  ": ",
  ",",
  "- ",
  "&a ",
  "*a",
  "<<",
  "!!int ",
  "|",
  "null",
  "true",
  "-1",
  "0",
  "1e999",
  "99999999999999999999",
  "0x10",
  ".nan",
  "\\u0000",
  "\xff",
  "\xef\xbb\xbf",
  "# ",
  "---\n",
  "...",
  "\t",
  "'",
  "\"a\\nb\"",
  "%",
  "\"\\ud800\"",
};

static void
replace (MdBuf *text, size_t at, size_t removed, MdStr put)
{
  MdBuf out = { 0 };

  md_buf_append (&out, md_str_n (text->data, at));
  md_buf_append (&out, put);
  md_buf_append (&out, md_str_n (text->data + at + removed, text->len - at - removed));
  md_buf_clear (text);
  *text = out;
}

/* One change: other byte, token, cut piece, repeated piece, or cut end. */
static void
mutate_once (MdBuf *text)
{
  size_t at = draw (text->len + 1);
  size_t rest = text->len - at;
  size_t n = draw (rest < 16 ? rest + 1 : 16);
  char byte = (char)draw (256);

  switch (draw (8))
    {
    case 0:
      replace (text, at, rest > 0, md_str_n (&byte, 1));
      break;
    case 1:
    case 2:
    case 3:
      replace (text, at, draw (2) ? n : 0, md_str (tokens[draw (MD_ARRAY_SIZE (tokens))]));
      break;
    case 4:
    case 5:
      replace (text, at, n, MD_STR (""));
      break;
    case 6:
      replace (text, draw (text->len + 1), 0, md_str_n (text->data + at, n));
      break;
    default:
      if (draw (8) == 0)
        replace (text, at, rest, MD_STR (""));
    }
}

/* A copy of a valid document with up to three changes. */
static void
mutate (MdBuf *out, const char *document)
{
  uint64_t n = draw (4);

  md_buf_clear (out);
  md_buf_append (out, md_str (document));
  for (uint64_t i = 0; i < n; i++)
    mutate_once (out);
}

/* Every line of a fault list has the form "f.yaml:LINE: reason", printable. */
static void
check_faults (const MdBuf *faults)
{
  const char *line = faults->data;

  ck_assert (faults->len > 0 && faults->data[faults->len - 1] == '\n');
  while (*line != '\0')
    {
      const char *end = strchr (line, '\n');
      int used = 0;
      unsigned number;

      ck_assert_msg (sscanf (line, "f.yaml:%u: %n", &number, &used) == 1 && used > 0 && number > 0,
                     "fault list: %s", faults->data);
      for (const char *c = line; c < end; c++)
        ck_assert_msg (!iscntrl ((unsigned char)*c), "fault list: %s", faults->data);
      line = end + 1;
    }
}

static const char *const settings_documents[] = {
  "role: guard\nname: g1\nregion: r\nfailure_domain: r-a\nlog_address: 127.0.0.1:9000\n"
  "upstream_address: 127.0.0.1:8000\npool: p\nslots: 4\ndrain_timeout_ms: 1500\n"
  "tuning:\n  horizon_ms: 60000\n  retry_deposit: 0.2\n",
  "role: entry\nname: e1\nregion: r\nfailure_domain: r-a\nlog_address: 127.0.0.1:9000\n"
  "internal_address: 127.0.0.1:7000\ncaller_address: 127.0.0.1:8080\n"
  "operator_address: 127.0.0.1:8081\ntokens:\n- operator: ann\n  token: secret-a\n"
  "- {customer: c1, token: secret-b}\nlog_level: debug\n",
};

/* Guards against settings that crash the parser, are accepted out of bounds, or
   whose faults are not one line each. */
START_TEST (test_settings)
{
  unsigned accepted = 0;

  random_state = 1;
  for (int i = 0; i < ROUNDS; i++)
    {
      MD_AUTO_BUF text = { 0 };
      MD_AUTO_BUF faults = { 0 };
      MdSettings s;
      int rc;

      mutate (&text, settings_documents[i % 2]);
      rc = md_settings_parse (&s, "f.yaml", md_buf_str (&text), &faults);
      if (rc == MD_OK)
        {
          accepted++;
          ck_assert_uint_eq (faults.len, 0);
          ck_assert (s.name[0] != '\0' && s.slots > 0 && s.tuning.horizon > 0);
        }
      else
        check_faults (&faults);
      md_settings_clear (&s);
    }
  ck_assert (accepted > ROUNDS / 10 && accepted < ROUNDS);
}
END_TEST

static const char *const change_documents[] = {
  "{\"type\":\"put\",\"id\":\"id-%d\",\"kind\":\"customer\",\"name\":\"c1\",\"expected\":%d,"
  "\"actor\":\"ann\",\"spec\":{\"weight\":2.5,\"slot_quota\":12,\"queue_quota\":50}}",
  "{\"type\":\"put\",\"id\":\"id-%d\",\"kind\":\"pool\",\"name\":\"p1\",\"expected\":%d,"
  "\"actor\":\"bob\",\"spec\":{\"shards\":2,\"coalesce_us\":200,\"max_queue\":1000}}",
  "{\"type\":\"delete\",\"id\":\"id-%d\",\"kind\":\"customer\",\"name\":\"c1\",\"expected\":%d,"
  "\"actor\":\"ann\"}",
};

static const char *const change_kinds[] = { "customer", "pool", "customer" };
static const char *const change_names[] = { "c1", "p1", "c1" };

static void
make_change (const MdConfig *config, int i, char *out, size_t size)
{
  MdChange current = { 0 };
  int which = (int)draw (3);

  md_config_get (config, md_str (change_kinds[which]), md_str (change_names[which]), &current);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  snprintf (out, size, change_documents[which], i, (int)current.version);
#pragma GCC diagnostic pop
}

/* Guards against change records that crash an entry, or on which two entries
   disagree: one that applied every record and one that loaded a snapshot. */
START_TEST (test_changes)
{
  MdTuning tuning;
  MdConfig *config;
  MdConfig *copy;
  unsigned effective = 0;

  md_tuning_default (&tuning);
  tuning.watch_changes = 16; /* memory of each object; not what is tested */
  config = md_config_new (&tuning);
  copy = md_config_new (&tuning);
  random_state = 2;
  for (int i = 0; i < ROUNDS; i++)
    {
      MD_AUTO_BUF text = { 0 };
      md_autofree char *snapshot = NULL;
      md_autofree char *again = NULL;
      char record[512];
      size_t len, len_again;
      MdApplyResult apply;

      make_change (config, i, record, sizeof record);
      mutate (&text, record);
      apply = md_config_apply (config, (uint64_t)i, TIME_MS, md_buf_str (&text));
      ck_assert_int_eq (md_config_apply (copy, (uint64_t)i, TIME_MS, md_buf_str (&text)), apply);
      effective += apply == MD_APPLY_EFFECTIVE;
      if (i % 50 != 0)
        continue;
      md_config_free (copy);
      copy = md_config_new (&tuning);
      ck_assert_int_eq (md_config_snapshot (config, &snapshot, &len), MD_OK);
      ck_assert_int_eq (md_config_load (copy, md_str_n (snapshot, len), NULL), MD_OK);
      ck_assert_int_eq (md_config_snapshot (copy, &again, &len_again), MD_OK);
      ck_assert_str_eq (snapshot, again);
    }
  ck_assert (effective > ROUNDS / 20 && effective < ROUNDS);
  md_config_free (config);
  md_config_free (copy);
}
END_TEST

/* Guards against snapshots from a peer that are half applied: one that is refused
   leaves the state as it was, one that is taken gives a state that can be passed
   on. */
START_TEST (test_snapshots)
{
  MdTuning tuning;
  MdConfig *source;
  md_autofree char *snapshot = NULL;
  size_t len;
  unsigned taken = 0;

  md_tuning_default (&tuning);
  tuning.watch_changes = 16; /* memory of each object; not what is tested */
  source = md_config_new (&tuning);
  random_state = 3;
  for (int i = 0; i < 20; i++)
    {
      char record[512];

      make_change (source, i, record, sizeof record);
      md_config_apply (source, (uint64_t)i, TIME_MS, md_str (record));
    }
  ck_assert_int_eq (md_config_snapshot (source, &snapshot, &len), MD_OK);
  for (int i = 0; i < ROUNDS / 4; i++)
    {
      MD_AUTO_BUF text = { 0 };
      md_autofree char *again = NULL;
      MdConfig *config = md_config_new (&tuning);
      MdError error = { 0 };
      size_t len_again;

      mutate (&text, snapshot);
      if (md_config_load (config, md_buf_str (&text), &error) == MD_OK)
        {
          taken++;
          ck_assert_int_eq (md_config_snapshot (config, &again, &len_again), MD_OK);
        }
      else
        {
          ck_assert_uint_eq (md_config_count (config), 0);
          ck_assert_uint_eq (md_config_next_offset (config), 0);
        }
      md_config_free (config);
    }
  ck_assert (taken > 0 && taken < ROUNDS / 4);
  md_config_free (source);
}
END_TEST

static const char *const member_documents[] = {
  "{\"type\":\"register\",\"role\":\"guard\",\"name\":\"g%d\",\"incarnation\":\"%016x\","
  "\"address\":\"\",\"region\":\"r\",\"failure_domain\":\"r-a\",\"pool\":\"p\",\"cores\":4,"
  "\"memory_mb\":1024,\"accelerators\":0,\"slots\":8,\"connections\":64}",
  "{\"type\":\"leave\",\"x\":%d,\"incarnation\":\"%016x\"}",
  "{\"type\":\"remove\",\"x\":%d,\"incarnation\":\"%016x\"}",
};

/* Guards against registration records that crash an entry or put a member into
   the table that breaks its rules. */
START_TEST (test_registrations)
{
  MemberLog log = { 0 };
  MemberEvents events = { 0 };
  MdTuning tuning;
  MdMembers *members;
  unsigned effective = 0;

  md_tuning_default (&tuning);
  tuning.watch_changes = 16; /* memory of each object; not what is tested */
  members = md_members_new (&tuning);
  random_state = 4;
  for (int i = 0; i < ROUNDS; i++)
    {
      MD_AUTO_BUF text = { 0 };
      char record[512];

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
      snprintf (record, sizeof record, member_documents[draw (3)], (int)draw (20),
                (unsigned)draw (60) + 1);
#pragma GCC diagnostic pop
      mutate (&text, record);
      effective += member_log_apply (&log, (uint64_t)i, TIME_MS, md_buf_str (&text), &events)
                   == MD_APPLY_EFFECTIVE;
      for (size_t j = 0; j < events.n; j++)
        {
          const MdStoreEvent *event = &events.items[j].event;
          int rc = event->kind == MD_STORE_REGISTER
                       ? md_members_register (members, &event->info, event->offset + 1, TIME_MS, 1)
                       : md_members_remove (members, event->info.incarnation, event->left,
                                            event->offset + 1, TIME_MS, 1);

          ck_assert_int_eq (rc, MD_OK);
        }
      member_events_clear (&events);
    }
  ck_assert (effective > ROUNDS / 100 && effective < ROUNDS);
  for (size_t i = 0; i < md_members_count (members); i++)
    {
      const MdMember *member = md_members_at (members, i);

      ck_assert (md_name_valid (member->info.name));
      ck_assert_ptr_eq (md_members_find_name (members, member->info.role, member->info.name),
                        member);
    }
  md_members_free (members);
  member_log_clear (&log);
}
END_TEST

static void
encode_sample (MdBuf *out)
{
  Md__Key key = { .base = PROTOBUF_C_MESSAGE_INIT (&md__key__descriptor), .hi = 1, .lo = 2 };
  Md__Header header = MD__HEADER__INIT;
  Md__Header *headers = &header;
  Md__Start start = MD__START__INIT;
  Md__Start *list[] = { &start, &start };
  Md__Starts starts = MD__STARTS__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  header.name = "content-type";
  header.value = "text/plain";
  start.key = start.fingerprint = &key;
  start.method = "POST";
  start.path = "/work";
  start.n_headers = 1;
  start.headers = &headers;
  start.body = (ProtobufCBinaryData){ 4, (uint8_t *)"body" };
  starts.n_starts = MD_ARRAY_SIZE (list);
  starts.starts = list;
  frame.msg_case = MD__FRAME__MSG_STARTS;
  frame.starts = &starts;
  ck_assert_int_eq (md_frame_encode (&frame, out), MD_OK);
}

/* Guards against frames from a peer that crash a process, are read past their
   end, or come out of the decoder as something that cannot be sent on. */
START_TEST (test_frames)
{
  MD_AUTO_BUF sample = { 0 };
  unsigned decoded = 0;

  encode_sample (&sample);
  random_state = 5;
  for (int i = 0; i < ROUNDS; i++)
    {
      MD_AUTO_BUF bytes = { 0 };
      MD_AUTO_BUF again = { 0 };
      Md__Frame *frame = NULL;
      size_t used = 0;
      int rc;

      md_buf_append (&bytes, md_buf_str (&sample));
      for (uint64_t n = draw (4); n > 0; n--)
        mutate_once (&bytes);
      rc = md_frame_decode (md_buf_str (&bytes), &frame, &used);
      ck_assert (rc == MD_OK || rc == MD_E_NOT_FOUND || rc == MD_E_INVALID);
      if (rc != MD_OK)
        continue;
      decoded++;
      ck_assert_uint_le (used, bytes.len);
      ck_assert_int_eq (md_frame_encode (frame, &again), MD_OK);
      md__frame__free_unpacked (frame, NULL);
    }
  ck_assert (decoded > ROUNDS / 20 && decoded < ROUNDS);
}
END_TEST

static const char *const job_documents[] = {
  "{\"pool\":\"p1\",\"deadline_ms\":5000,\"submitted_at_ms\":1700000000000,\"wait\":true,"
  "\"tasks\":[{\"path\":\"/a?b=c\",\"method\":\"PUT\",\"body\":{\"x\":[1,2]},"
  "\"declared_ms\":120,\"cores\":2,\"memory_mb\":100,\"accelerators\":1},"
  "{\"path\":\"/d\",\"body\":\"text\"}]}",
  "{\"pool\":\"p1\",\"tasks\":[{\"method\":\"GET\"}]}", /* not valid: no path */
};

/* What the daemon relies on in a job that was accepted. */
static void
check_job (const MdSubmission *sub)
{
  ck_assert (sub->pool[0] != '\0' && strlen (sub->pool) < MD_NAME_BYTES);
  ck_assert (sub->n_tasks >= 1 && sub->n_tasks <= 3);
  ck_assert (sub->deadline >= 0 && sub->submitted_ms >= 0);
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    {
      const MdTaskBody *task = &sub->tasks[i];

      ck_assert (task->path != NULL && task->path[0] == '/'
                 && strpbrk (task->path, " \r\n") == NULL);
      ck_assert (task->method != NULL && strspn (task->method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") > 0);
      ck_assert (task->body != NULL || task->body_len == 0);
      ck_assert (task->spec.declared >= 0);
    }
}

/* Guards against jobs from callers that crash an entry, are taken with a task
   that cannot be sent, or are refused without a reason. */
START_TEST (test_jobs)
{
  unsigned accepted = 0;

  random_state = 6;
  for (int i = 0; i < ROUNDS; i++)
    {
      MD_AUTO_BUF text = { 0 };
      MdError error = { 0 };
      MdSubmission *sub;

      mutate (&text, job_documents[i % 2]);
      sub = md_job_parse (md_buf_str (&text), 3, &error);
      ck_assert_int_eq (error.code, sub ? MD_OK : MD_E_INVALID);
      ck_assert ((sub == NULL) == (error.detail[0] != '\0'));
      if (sub == NULL)
        continue;
      accepted++;
      check_job (sub);
      md_submission_finalize (sub);
      md_submission_unref (sub);
    }
  ck_assert (accepted > ROUNDS / 10 && accepted < ROUNDS);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("fuzz");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_test (tc, test_settings);
  tcase_add_test (tc, test_changes);
  tcase_add_test (tc, test_snapshots);
  tcase_add_test (tc, test_registrations);
  tcase_add_test (tc, test_frames);
  tcase_add_test (tc, test_jobs);
  return run_suite ("fuzz", tc);
}
