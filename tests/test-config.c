/* test-config.c -- declared resources by log offset */

#include "config-check.h"
#include "suite.h"

#include <stdio.h>

#define TIME_MS 1700000000000

static MdTuning tuning;

static MdConfig *
new_config (void)
{
  md_tuning_default (&tuning);
  tuning.watch_changes = 8;
  return md_config_new (&tuning);
}

static MdApplyResult
apply_text (MdConfig *config, const char *text)
{
  return md_config_apply (config, md_config_next_offset (config), TIME_MS, md_str (text));
}

static MdApplyResult
put (MdConfig *config, const char *id, const char *name, unsigned expected, const char *spec)
{
  MD_AUTO_BUF text = { 0 };

  md_buf_printf (&text,
                 "{\"type\":\"put\",\"id\":\"%s\",\"kind\":\"customer\",\"name\":\"%s\","
                 "\"expected\":%u,\"actor\":\"ann\",\"spec\":%s}",
                 id, name, expected, spec);
  return apply_text (config, text.data);
}

static MdApplyResult delete (MdConfig *config, const char *id, const char *name, unsigned expected)
{
  MD_AUTO_BUF text = { 0 };

  md_buf_printf (&text,
                 "{\"type\":\"delete\",\"id\":\"%s\",\"kind\":\"customer\",\"name\":\"%s\","
                 "\"expected\":%u,\"actor\":\"bob\"}",
                 id, name, expected);
  return apply_text (config, text.data);
}

static uint64_t
version_of (const MdConfig *config, const char *name)
{
  MdChange change;

  if (md_config_get (config, MD_STR ("customer"), md_str (name), &change) != MD_OK)
    return 0;
  return change.version;
}

/* Guards against a second winner of a race, and against versions that differ
   from the log's order. */
START_TEST (test_expected_version)
{
  MdConfig *config = new_config ();
  MdApplyResult apply;
  uint64_t version;

  ck_assert_int_eq (put (config, "i0", "c", 0, "{}"), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (put (config, "i1", "c", 0, "{}"), MD_APPLY_LOST_RACE);
  ck_assert_int_eq (put (config, "i2", "c", 1, "{\"weight\":2}"), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (put (config, "i3", "c", 1, "{\"weight\":3}"), MD_APPLY_LOST_RACE);
  ck_assert_int_eq (delete (config, "i4", "c", 1), MD_APPLY_LOST_RACE);
  ck_assert_uint_eq (version_of (config, "c"), 3);
  ck_assert_int_eq (delete (config, "i5", "c", 3), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (delete (config, "i6", "c", 0), MD_APPLY_LOST_RACE);
  ck_assert_int_eq (md_config_change_result (config, MD_STR ("i3"), &apply, &version), MD_OK);
  ck_assert_int_eq (apply, MD_APPLY_LOST_RACE);
  ck_assert_uint_eq (version, 3);
  ck_assert_int_eq (md_config_change_result (config, MD_STR ("none"), &apply, &version),
                    MD_E_NOT_FOUND);
  md_config_free (config);
}
END_TEST

/* Guards against an append that the network repeated: a create must not take
   effect a second time after the resource was deleted. */
START_TEST (test_duplicate_id)
{
  MdConfig *config = new_config ();

  ck_assert_int_eq (put (config, "a", "c", 0, "{}"), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (delete (config, "b", "c", 1), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (put (config, "a", "c", 0, "{}"), MD_APPLY_DUPLICATE);
  ck_assert_uint_eq (version_of (config, "c"), 0);
  md_config_free (config);
}
END_TEST

/* Guards against a state that goes back when old records are read again. */
START_TEST (test_stale_offset)
{
  MdConfig *config = new_config ();

  put (config, "a", "c", 0, "{}");
  put (config, "b", "c", 1, "{\"weight\":2}");
  ck_assert_int_eq (md_config_apply (config, 0, TIME_MS, MD_STR ("{}")), MD_APPLY_STALE);
  ck_assert_uint_eq (md_config_next_offset (config), 2);
  ck_assert_uint_eq (version_of (config, "c"), 2);
  md_config_free (config);
}
END_TEST

static const char *const invalid_records[] = {
  "",
  "[]",
  "7",
  "{",
  "{\"type\":\"put\"}",
  "{\"type\":\"register\",\"id\":\"x\"}",
  /* unknown member, duplicate member, unknown kind, bad name, bad spec, bad version */
  "{\"type\":\"put\",\"id\":\"x1\",\"kind\":\"pool\",\"name\":\"p\",\"expected\":0,\"actor\":\"a\","
  "\"spec\":{},\"more\":1}",
  "{\"type\":\"put\",\"id\":\"x2\",\"id\":\"x3\",\"kind\":\"pool\",\"name\":\"p\",\"expected\":0,"
  "\"actor\":\"a\",\"spec\":{}}",
  "{\"type\":\"put\",\"id\":\"x4\",\"kind\":\"job\",\"name\":\"p\",\"expected\":0,\"actor\":\"a\","
  "\"spec\":{}}",
  "{\"type\":\"put\",\"id\":\"x5\",\"kind\":\"pool\",\"name\":\"P\",\"expected\":0,\"actor\":\"a\","
  "\"spec\":{}}",
  "{\"type\":\"put\",\"id\":\"x6\",\"kind\":\"pool\",\"name\":\"p\",\"expected\":0,\"actor\":\"a\","
  "\"spec\":{\"shards\":0}}",
  "{\"type\":\"put\",\"id\":\"x7\",\"kind\":\"pool\",\"name\":\"p\",\"expected\":-1,\"actor\":"
  "\"a\","
  "\"spec\":{}}",
  "{\"type\":\"delete\",\"id\":\"x8\",\"kind\":\"pool\",\"name\":\"p\",\"expected\":0,"
  "\"actor\":\"a\",\"spec\":{}}",
  "{\"type\":\"snapshot\",\"next\":99,\"resources\":[],\"ids\":[]}",
};

/* Guards against a malformed record that stops an entry or takes effect. */
START_TEST (test_invalid_records)
{
  MdConfig *config = new_config ();

  for (size_t i = 0; i < MD_ARRAY_SIZE (invalid_records); i++)
    {
      ck_assert_msg (apply_text (config, invalid_records[i]) == MD_APPLY_INVALID, "%s",
                     invalid_records[i]);
      ck_assert_uint_eq (md_config_next_offset (config), i + 1);
    }
  ck_assert_uint_eq (md_config_count (config), 0);
  md_config_free (config);
}
END_TEST

static const struct
{
  const char *kind; /* resource kind */
  const char *spec; /* JSON text */
  const char *word; /* in the error, NULL when valid */
} specs[] = {
  { "pool", "{}", NULL },
  { "pool", "{\"shards\":64,\"fair_share\":false,\"coalesce_us\":0}", NULL },
  { "pool", "{\"shards\":65}", "shards" },
  { "pool", "{\"shards\":2.0}", "shards" },
  { "pool", "{\"shard\":2}", "\"shard\"" },
  { "pool", "{\"fair_share\":1}", "fair_share" },
  { "pool", "{\"default_deadline_ms\":0}", "default_deadline_ms" },
  { "pool", "{\"max_queue\":1,\"max_queue\":2}", "duplicate" },
  { "pool", "[]", "spec" },
  { "customer", "{\"weight\":0.5,\"slot_quota\":3,\"queue_quota\":10}", NULL },
  { "customer", "{\"weight\":0}", "weight" },
  { "customer", "{\"queue_quota\":-1}", "queue_quota" },
  { "configuration", "{\"anything\":{\"nested\":[1,null]}}", NULL },
  { "configuration", "3", "spec" },
  { "job", "{}", "kind" },
};

/* Guards against a misspelt or out-of-range field that is taken for a default. */
START_TEST (test_specs)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (specs); i++)
    {
      MdError error = { 0 };
      int rc
          = md_config_check (md_str (specs[i].kind), MD_STR ("n"), md_str (specs[i].spec), &error);

      ck_assert_msg ((rc == MD_OK) == (specs[i].word == NULL), "%s: %s", specs[i].spec,
                     error.detail);
      if (specs[i].word != NULL)
        ck_assert_msg (strstr (error.detail, specs[i].word) != NULL, "%s", error.detail);
    }
  ck_assert (md_name_valid (MD_STR ("0-a")));
  ck_assert (!md_name_valid (MD_STR ("-a")));
  ck_assert (!md_name_valid (MD_STR ("")));
  ck_assert (!md_name_valid (MD_STR ("a23456789012345678901234567890123456789012345678901234567890"
                                     "1234")));
}
END_TEST

/* Guards against a change of the number of shards, which would send a
   resubmission to another shard than the first submission. */
START_TEST (test_shards_fixed)
{
  MdConfig *config = new_config ();
  const char *create = "{\"type\":\"put\",\"id\":\"a\",\"kind\":\"pool\",\"name\":\"p\","
                       "\"expected\":0,\"actor\":\"a\",\"spec\":{\"shards\":2}}";
  const char *change = "{\"type\":\"put\",\"id\":\"b\",\"kind\":\"pool\",\"name\":\"p\","
                       "\"expected\":1,\"actor\":\"a\",\"spec\":{\"shards\":3}}";
  const char *other = "{\"type\":\"put\",\"id\":\"c\",\"kind\":\"pool\",\"name\":\"p\","
                      "\"expected\":1,\"actor\":\"a\",\"spec\":{\"shards\":2,\"max_queue\":5}}";

  ck_assert_int_eq (apply_text (config, create), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (apply_text (config, change), MD_APPLY_INVALID);
  ck_assert_int_eq (apply_text (config, other), MD_APPLY_EFFECTIVE);
  md_config_free (config);
}
END_TEST

static uint32_t
next_random (uint32_t *state)
{
  *state = *state * 1664525u + 1013904223u;
  return *state >> 16;
}

/* One record of a random history with races, duplicates and deletes. */
static void
random_record (uint32_t *seed, const MdConfig *config, MdBuf *out)
{
  char name[8];
  unsigned expected;

  snprintf (name, sizeof name, "c%u", next_random (seed) % 5);
  expected = next_random (seed) % 3 == 0 ? 0 : (unsigned)version_of (config, name);
  if (next_random (seed) % 4 == 0)
    md_buf_printf (out,
                   "{\"type\":\"delete\",\"id\":\"i%u\",\"kind\":\"customer\",\"name\":\"%s\","
                   "\"expected\":%u,\"actor\":\"a\"}",
                   next_random (seed) % 600, name, expected);
  else
    md_buf_printf (out,
                   "{\"type\":\"put\",\"id\":\"i%u\",\"kind\":\"customer\",\"name\":\"%s\","
                   "\"expected\":%u,\"actor\":\"a\",\"spec\":{\"weight\":%u}}",
                   next_random (seed) % 600, name, expected, 1 + next_random (seed) % 9);
}

static char *
snapshot_of (const MdConfig *config)
{
  char *text;
  size_t len;

  ck_assert_int_eq (md_config_snapshot (config, &text, &len), MD_OK);
  return text;
}

/* Guards against an entry that started from a snapshot and then decides
   differently from one that read everything, for example about a duplicate. */
START_TEST (test_snapshot_equals_history)
{
  MdConfig *all = new_config ();
  MdConfig *late = new_config ();
  md_autofree char *a = NULL;
  md_autofree char *b = NULL;
  uint32_t seed = 7;

  for (uint64_t offset = 0; offset < 1000; offset++)
    {
      MD_AUTO_BUF record = { 0 };
      MdApplyResult apply;

      random_record (&seed, all, &record);
      apply = md_config_apply (all, offset, TIME_MS, md_buf_str (&record));
      if (offset >= 400)
        ck_assert_int_eq (md_config_apply (late, offset, TIME_MS, md_buf_str (&record)), apply);
      if (offset == 399)
        {
          md_autofree char *text = snapshot_of (all);
          ck_assert_int_eq (md_config_load (late, md_str (text), NULL), MD_OK);
        }
    }
  a = snapshot_of (all);
  b = snapshot_of (late);
  ck_assert_str_eq (a, b);
  md_config_free (all);
  md_config_free (late);
}
END_TEST

/* Guards against state built on top of missing records, and against records
   between a snapshot's state and its place in the log that are left out. */
START_TEST (test_gap_needs_snapshot)
{
  MdConfig *config = new_config ();
  const char *snapshot = "{\"type\":\"snapshot\",\"next\":7,\"ids\":[],\"resources\":[{\"kind\":"
                         "\"customer\",\"name\":\"c\",\"version\":5,\"time_ms\":1,\"actor\":\"a\","
                         "\"spec\":{}}]}";
  const char *record = "{\"type\":\"put\",\"id\":\"x\",\"kind\":\"customer\",\"name\":\"d\","
                       "\"expected\":0,\"actor\":\"a\",\"spec\":{}}";

  ck_assert_int_eq (md_config_apply (config, 6, TIME_MS, md_str (record)), MD_APPLY_INVALID);
  ck_assert_uint_eq (md_config_next_offset (config), 0);
  ck_assert_int_eq (md_config_apply (config, 9, TIME_MS, md_str (snapshot)), MD_APPLY_SNAPSHOT);
  ck_assert_uint_eq (md_config_next_offset (config), 7);
  ck_assert_uint_eq (version_of (config, "c"), 5);
  ck_assert_int_eq (md_config_apply (config, 7, TIME_MS, md_str (record)), MD_APPLY_EFFECTIVE);
  ck_assert_int_eq (md_config_apply (config, 8, TIME_MS, MD_STR ("{}")), MD_APPLY_INVALID);
  /* In its turn the snapshot changes nothing. */
  ck_assert_int_eq (md_config_apply (config, 9, TIME_MS, md_str (snapshot)), MD_APPLY_SNAPSHOT);
  ck_assert_uint_eq (version_of (config, "d"), 8);
  md_config_free (config);
}
END_TEST

/* Guards against a peer's older or damaged snapshot that replaces newer state. */
START_TEST (test_load_never_goes_back)
{
  MdConfig *config = new_config ();
  md_autofree char *old = NULL;
  const char *damaged = "{\"type\":\"snapshot\",\"next\":50,\"ids\":[],\"resources\":[{}]}";

  put (config, "a", "c", 0, "{}");
  old = snapshot_of (config);
  put (config, "b", "c", 1, "{\"weight\":2}");
  ck_assert_int_eq (md_config_load (config, md_str (old), NULL), MD_E_TOO_OLD);
  ck_assert_int_eq (md_config_load (config, md_str (damaged), NULL), MD_E_INVALID);
  ck_assert_uint_eq (version_of (config, "c"), 2);
  ck_assert_uint_eq (md_config_next_offset (config), 2);
  md_config_free (config);
}
END_TEST

/* Guards against a watch that misses or repeats a change when it resumes. */
START_TEST (test_watch_log)
{
  MdConfig *config = new_config ();
  uint64_t version = 0;
  char id[8];
  MdChange change;

  for (unsigned i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "i%u", i);
      put (config, id, "c", i, "{}");
    }
  ck_assert_int_eq (md_config_change_after (config, 1, &change), MD_E_TOO_OLD);
  for (version = 2; version < 10; version = change.version)
    {
      ck_assert_int_eq (md_config_change_after (config, version, &change), MD_OK);
      ck_assert_uint_eq (change.version, version + 1);
    }
  ck_assert_int_eq (md_config_change_after (config, 10, &change), MD_E_NOT_FOUND);
  delete (config, "d", "c", 10);
  ck_assert_int_eq (md_config_change_after (config, 10, &change), MD_OK);
  ck_assert_int_eq (change.kind, MD_CHANGE_DELETE);
  ck_assert_uint_eq (change.spec.len, 0);
  md_config_free (config);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("config");

  tcase_add_test (tc, test_expected_version);
  tcase_add_test (tc, test_duplicate_id);
  tcase_add_test (tc, test_stale_offset);
  tcase_add_test (tc, test_invalid_records);
  tcase_add_test (tc, test_specs);
  tcase_add_test (tc, test_shards_fixed);
  tcase_add_test (tc, test_snapshot_equals_history);
  tcase_add_test (tc, test_gap_needs_snapshot);
  tcase_add_test (tc, test_load_never_goes_back);
  tcase_add_test (tc, test_watch_log);
  return run_suite ("config", tc);
}
