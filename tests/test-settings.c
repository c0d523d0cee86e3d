/* test-settings.c -- settings files: faults are found, named and located */

#include "md-private.h"
#include "suite.h"

#define GUARD_HEAD                                                                                 \
  "role: guard\nname: g1\nregion: r\nfailure_domain: r-a\nlog_address: 127.0.0.1:9000\n"           \
  "upstream_address: 127.0.0.1:8000\npool: p\n"

static int
parse (MdSettings *settings, const char *text, MdBuf *faults)
{
  return md_settings_parse (settings, "f.yaml", md_str (text), faults);
}

/* Guards against settings that are read into the wrong field or unit. */
START_TEST (test_values)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (parse (&s,
                           GUARD_HEAD
                           "slots: 4\ndrain_timeout_ms: 1500\ntuning:\n  horizon_ms: 60000\n",
                           &faults),
                    MD_OK);
  ck_assert_uint_eq (s.slots, 4);
  ck_assert_int_eq (s.drain_timeout, 1500 * MD_MS);
  ck_assert_int_eq (s.tuning.horizon, 60 * MD_SECOND);
  ck_assert_str_eq (s.upstream_address, "127.0.0.1:8000");
  ck_assert (!s.is_entry);
  md_settings_clear (&s);
}
END_TEST

static const struct
{
  const char *tail;  /* after GUARD_HEAD */
  const char *fault; /* expected message */
} bad_files[] = {
  { "slots: 0\n", "f.yaml:8: slots: must be between 1 and 1024\n" },
  { "slots: many\n", "f.yaml:8: slots: not a number\n" },
  { "slots: 1.5\n", "f.yaml:8: slots: must be a whole number\n" },
  { "slots: 1\nslots: 2\n", "f.yaml:9: slots: given twice\n" },
  { "caller_threads: 4\n", "f.yaml:8: caller_threads: not a setting of this role\n" },
  { "colour: red\n", "f.yaml:8: colour: unknown setting\n" },
  { "tuning:\n  colour: red\n", "f.yaml:9: tuning.colour: unknown setting\n" },
  { "tuning:\n  guard_lease_ms: 1000\n",
    "f.yaml:1: tuning: guard_lease_ms must be at least twice heartbeat_max_ms\n" },
  { "tuning:\n  heartbeat_idle_ms: 500\n",
    "f.yaml:1: tuning: heartbeat_idle_ms must be at least heartbeat_max_ms\n" },
  { "tokens:\n- operator: ann\n", "f.yaml:9: tokens: needs operator or customer, and token\n" },
  { "balancer_address: example.org:80\n", "f.yaml:8: balancer_address: must be ip:port\n" },
  { "log_level: loud\n", "f.yaml:8: log_level: must be debug, info, warn or error\n" },
  { "a: [1\n", "f.yaml:9: did not find expected ',' or ']'\n" },
};

/* Guards against a fault that is accepted silently or reported without its
   place. */
START_TEST (test_faults)
{
  MD_AUTO_BUF text = { 0 };
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  md_buf_printf (&text, "%s%s", GUARD_HEAD, bad_files[_i].tail);
  ck_assert_int_eq (parse (&s, text.data, &faults), MD_E_INVALID);
  ck_assert_str_eq (faults.data, bad_files[_i].fault);
  md_settings_clear (&s);
}
END_TEST

/* Guards against a start that fails because a template had no value to fill in for an optional
   setting: the default applies, as if the setting were missing. */
START_TEST (test_optional_without_value)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (parse (&s,
                           GUARD_HEAD "slots:\nbalancer_address: \"\"\nlog_level:\n"
                                      "drain_timeout_ms:\ntokens:\ntuning:\n",
                           &faults),
                    MD_OK);
  ck_assert_uint_eq (s.slots, 8);
  ck_assert_str_eq (s.balancer_address, "");
  ck_assert_int_eq (s.log_level, MD_LOG_INFO);
  ck_assert_int_eq (s.drain_timeout, 30 * MD_SECOND);
  md_settings_clear (&s);
  ck_assert_int_eq (parse (&s, GUARD_HEAD "tuning:\n  horizon_ms:\n", &faults), MD_OK);
  md_settings_clear (&s);
}
END_TEST

/* Guards against a required setting without a value that is taken for its default. */
START_TEST (test_required_without_value)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (parse (&s,
                           "role: guard\nname:\nregion: r\nfailure_domain: r-a\n"
                           "log_address:\nupstream_address: 127.0.0.1:8000\npool: p\n",
                           &faults),
                    MD_E_INVALID);
  ck_assert_str_eq (faults.data, "f.yaml:2: name: must be a text of 1 to 63 bytes\n"
                                 "f.yaml:5: log_address: must be a text of 1 to 63 bytes\n");
  md_settings_clear (&s);
}
END_TEST

/* Guards against an end of the process by an empty file, as it is while a file is rewritten in
   place: libyaml aborts on a text without an address. */
START_TEST (test_empty_text)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (md_settings_parse (&s, "f.yaml", (MdStr){ NULL, 0 }, &faults), MD_E_INVALID);
  ck_assert_str_eq (faults.data, "f.yaml:1: the file must be a mapping of settings\n");
  md_settings_clear (&s);
}
END_TEST

/* Guards against the same when the file is loaded. */
START_TEST (test_empty_file)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (md_settings_load (&s, "/dev/null", &faults), MD_E_INVALID);
  ck_assert_ptr_nonnull (faults.data);
  md_settings_clear (&s);
}
END_TEST

/* Guards against a missing required setting. */
START_TEST (test_missing)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (parse (&s, "role: guard\nname: g1\n", &faults), MD_E_INVALID);
  ck_assert_ptr_nonnull (strstr (faults.data, "pool: missing"));
  ck_assert_ptr_nonnull (strstr (faults.data, "log_address: missing"));
  md_settings_clear (&s);
}
END_TEST

/* Guards against a customer's token that opens another customer's resources. */
START_TEST (test_tokens)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings s;

  ck_assert_int_eq (parse (&s,
                           GUARD_HEAD "tokens:\n- operator: ann\n  token: t1\n"
                                      "- customer: chalk\n  token: t2\n",
                           &faults),
                    MD_OK);
  ck_assert_str_eq (md_settings_find_token (&s, MD_STR ("t1"))->name, "ann");
  ck_assert (!md_settings_find_token (&s, MD_STR ("t2"))->is_operator);
  ck_assert_ptr_null (md_settings_find_token (&s, MD_STR ("t")));
  ck_assert_ptr_null (md_settings_find_token (&s, MD_STR ("")));
  md_settings_clear (&s);
}
END_TEST

#define RUN_GUARD_HEAD                                                                             \
  "role: run-guard\nname: g1\nregion: r\nfailure_domain: r-a\nstore_address: 127.0.0.1:9000\n"     \
  "entry_port: 7000\nworker_address: 127.0.0.1:8000\nregister_address: 127.0.0.1:8001\n"

/* Guards against a changed file that has no effect, and against an address that changes
   under a process that listens on the former one. */
START_TEST (test_update)
{
  MD_AUTO_BUF faults = { 0 };
  MD_AUTO_BUF applied = { 0 };
  MD_AUTO_BUF deferred = { 0 };
  MdSettings s;
  MdSettings fresh;

  ck_assert_int_eq (parse (&s, RUN_GUARD_HEAD "grace_s: 6\n", &faults), MD_OK);
  ck_assert_int_eq (parse (&fresh, RUN_GUARD_HEAD "grace_s: 6\n", &faults), MD_OK);
  md_settings_update (&s, &fresh, &applied, &deferred);
  ck_assert_uint_eq (applied.len + deferred.len, 0);
  md_settings_clear (&fresh);
  ck_assert_int_eq (parse (&fresh,
                           RUN_GUARD_HEAD "grace_s: 4\nlog_level: error\nseeds: 127.0.0.2:1\n"
                                          "metrics_address: 127.0.0.1:9464\n",
                           &faults),
                    MD_OK);
  md_settings_update (&s, &fresh, &applied, &deferred);
  ck_assert_str_eq (applied.data, "grace_s,log_level,seeds");
  ck_assert_str_eq (deferred.data, "metrics_address");
  ck_assert_int_eq (s.drain_timeout, 4 * MD_SECOND);
  ck_assert_int_eq (s.log_level, MD_LOG_ERROR);
  ck_assert_str_eq (s.seeds, "127.0.0.2:1");
  ck_assert_str_eq (s.metrics_address, "");
  md_settings_clear (&fresh);
  md_settings_clear (&s);
}
END_TEST

#define RUN_ENTRY_HEAD                                                                             \
  "role: run-entry\nname: e1\nregion: r\nfailure_domain: r-a\nstore_address: 127.0.0.1:9000\n"     \
  "internal_address: 127.0.0.1:7000\nentry_port: 7000\ncaller_address: 127.0.0.1:8000\n"           \
  "ready_address: 127.0.0.1:8001\n"

/* Guards against handovers that a setting does not turn off, or that need one to be on, and against
   a change of the setting that is not named as waiting for a restart. */
START_TEST (test_handover)
{
  MD_AUTO_BUF faults = { 0 };
  MD_AUTO_BUF applied = { 0 };
  MD_AUTO_BUF deferred = { 0 };
  MdSettings s;
  MdSettings fresh;

  ck_assert_int_eq (parse (&s, RUN_ENTRY_HEAD "handover:\ncpu_share:\n", &faults), MD_OK);
  ck_assert (s.handover);
  ck_assert_double_eq (s.cpu_share, 0);
  ck_assert_int_eq (parse (&fresh, RUN_ENTRY_HEAD "handover: off\ncpu_share: 0.12\n", &faults),
                    MD_OK);
  ck_assert (!fresh.handover);
  ck_assert_double_eq (fresh.cpu_share, 0.12);
  md_settings_update (&s, &fresh, &applied, &deferred);
  ck_assert_uint_eq (applied.len, 0);
  ck_assert_str_eq (deferred.data, "handover,cpu_share");
  md_settings_clear (&fresh);
  ck_assert_int_eq (parse (&fresh, RUN_ENTRY_HEAD "handover: maybe\n", &faults), MD_E_INVALID);
  ck_assert_str_eq (faults.data, "f.yaml:10: handover: must be on or off\n");
  md_settings_clear (&fresh);
  md_settings_clear (&s);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("settings");

  tcase_add_test (tc, test_values);
  tcase_add_loop_test (tc, test_faults, 0, MD_ARRAY_SIZE (bad_files));
  tcase_add_test (tc, test_optional_without_value);
  tcase_add_test (tc, test_required_without_value);
  tcase_add_test (tc, test_empty_text);
  tcase_add_test (tc, test_empty_file);
  tcase_add_test (tc, test_missing);
  tcase_add_test (tc, test_tokens);
  tcase_add_test (tc, test_update);
  tcase_add_test (tc, test_handover);
  return run_suite ("settings", tc);
}
