/* test-platform.c -- the adapter: names, formats and calls of the users' platform

   Guards against members that are missing or of another type, against answers that are
   cut off, and against a crash on any bytes that another writer may have left. */

#include "platform.h"
#include "suite.h"

#include <stdio.h>

#define MUTATIONS 20000

typedef struct
{
  unsigned n;
  char keys[4][32];
  char values[4][64];
  uint64_t offsets[4];
} Records;

static void
keep_record (void *user, const MdKeyedRecord *record)
{
  Records *records = user;

  if (records->n == 4)
    return;
  md_str_copy (records->keys[records->n], 32, record->key);
  md_str_copy (records->values[records->n], 64, record->value);
  records->offsets[records->n++] = record->offset;
}

static const char job_text[]
    = "{\"spec\":\"ab\",\"best_effort\":true,\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
      "\"estimated_ms\":900,\"affinity\":\"r1-3\",\"requirements\":\"a\"},{\"count\":20,\"cpu\":"
      "2000,"
      "\"gpu\":1,\"depends_on\":[0],\"checkpointing\":true,\"anti_affinity\":2}]}";

START_TEST (job_is_decoded)
{
  MdRunSpec spec;

  ck_assert_int_eq (md_platform_parse_job (md_str (job_text), &spec, NULL), MD_OK);
  ck_assert_uint_eq (spec.n_steps, 2);
  ck_assert (spec.best_effort);
  ck_assert_str_eq (spec.spec, "ab");
  ck_assert_uint_eq (spec.steps[0].n_tasks, 4);
  ck_assert_uint_eq (spec.steps[0].resources.cpu, 500);
  ck_assert_int_eq (spec.steps[0].declared_time, 900 * MD_MS);
  ck_assert_str_eq (spec.steps[0].affinity.data, "r1-3");
  ck_assert_str_eq (spec.steps[0].required_label.data, "a");
  ck_assert_uint_eq (spec.steps[1].depends_on, 1);
  ck_assert_uint_eq (spec.steps[1].resources.accelerators, 1);
  ck_assert_uint_eq (spec.steps[1].max_per_worker, 2);
  ck_assert (spec.steps[1].checkpointing);
  md_run_spec_clear (&spec);
}
END_TEST

START_TEST (job_without_steps_is_refused)
{
  MdError error = { 0 };
  MdRunSpec spec;

  ck_assert_int_eq (md_platform_parse_job (MD_STR ("{\"spec\":\"a\"}"), &spec, &error),
                    MD_E_INVALID);
  ck_assert_int_eq (md_platform_parse_job (MD_STR ("[]"), &spec, NULL), MD_E_INVALID);
  ck_assert_int_eq (md_platform_parse_job (MD_STR (""), &spec, NULL), MD_E_INVALID);
  ck_assert_str_ne (error.detail, "");
}
END_TEST

/* Guards against a task on a worker without the label that it requires, and a step that starts
   before those that it depends on: what did not fit was dropped, and the job accepted without it.
   */
START_TEST (requirements_that_do_not_fit_are_refused)
{
  static const char *const members[]
      = { "\"requirements\":[\"a\"]", "\"requirements\":7",  "\"depends_on\":[\"0\"]",
          "\"depends_on\":[-1]",      "\"depends_on\":[64]", "\"depends_on\":0" };
  MdRunSpec spec;

  for (size_t i = 0; i < MD_ARRAY_SIZE (members); i++)
    {
      char text[256];

      snprintf (text, sizeof text, "{\"spec\":\"a\",\"steps\":[{\"count\":1},{\"count\":1,%s}]}",
                members[i]);
      ck_assert_int_eq (md_platform_parse_job (md_str (text), &spec, NULL), MD_E_INVALID);
    }
  ck_assert_int_eq (
      md_platform_parse_job (MD_STR ("{\"spec\":\"a\",\"steps\":[{\"count\":1},{\"count\":1,"
                                     "\"depends_on\":[0],\"requirements\":\"\"}]}"),
                             &spec, NULL),
      MD_OK);
  md_run_spec_clear (&spec);
}
END_TEST

static const char worker_text[]
    = "{\"service\":\"calc\",\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
      "\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":482113,\"sequence\":4,\"born\":1700}";

START_TEST (worker_is_decoded)
{
  MdWorkerReport report;

  ck_assert_int_eq (md_platform_parse_worker_report (md_str (worker_text), MD_STR ("i-1"), &report,
                                                     NULL),
                    MD_OK);
  ck_assert_int_eq (report.state, MD_WORKER_READY);
  ck_assert_uint_eq (report.capacity.cpu, 16000);
  ck_assert (md_traits_have (report.traits, MD_STR ("r1-3")));
  ck_assert_int_eq (report.born_ms, 1700);
  ck_assert_int_eq (report.clock_ms, 482113);
  md_worker_report_clear (&report);
}
END_TEST

/* Every later report would seem older. */
static const char late_report[]
    = "{\"service\":\"calc\",\"state\":\"ready\",\"capacity\":{\"cpu\":1},"
      "\"born\":1700,\"sequence\":9223372036854775807}";

/* Another writer's report names no worker to use. */
START_TEST (strange_workers_are_refused)
{
  static const char *const texts[]
      = { "{}",
          "7",
          "{\"service\":\"calc\",\"state\":\"resting\",\"born\":1700,\"capacity\":{\"cpu\":1}}",
          "{\"service\":7,\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":\"large\"}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":-4}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1e30}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1,\"mem_"
          "mb\":-1}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1,\"mem_"
          "mb\":4294967296}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1,\"gpu\":"
          "\"all\"}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700,\"capacity\":{\"cpu\":1},"
          "\"sequence\":-1}",
          late_report,
          "{\"service\":\"calc\",\"state\":\"ready\",\"capacity\":{\"cpu\":1}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1700.5,\"capacity\":{\"cpu\":1}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":\"1700\",\"capacity\":{\"cpu\":1}}",
          "{\"service\":\"calc\",\"state\":\"ready\",\"born\":-1,\"capacity\":{\"cpu\":1}}",
          "\xff\xfe" };
  MdWorkerReport report;

  for (size_t i = 0; i < MD_ARRAY_SIZE (texts); i++)
    ck_assert_int_eq (md_platform_parse_worker_report (md_str (texts[i]), MD_STR ("i-1"), &report,
                                                       NULL),
                      MD_E_INVALID);
}
END_TEST

static const char hold_text[]
    = "{\"clock_ms\":482113,\"born\":99,\"running\":[[\"5c.0.1.17\",2,\"00bb\",100,41],[1,2],7],"
      "\"finished\":[[58,\"5c.0.1.9\",1,\"done\",\"\"],[59,\"5c.0.1.8\",3,\"vanished\",\"\"],"
      "[60,\"5c.0.1.7\",1,\"lapsed\",\"cafe\"]]}";

START_TEST (held_runs_are_decoded)
{
  MdHoldResponse held;

  ck_assert_int_eq (md_platform_parse_hold_response (md_str (hold_text), &held, NULL), MD_OK);
  ck_assert_int_eq (held.clock_ms, 482113);
  ck_assert_int_eq (held.born_ms, 99);
  ck_assert_uint_eq (held.n_runs, 1);
  ck_assert_str_eq (held.runs[0].task, "5c.0.1.17");
  ck_assert_uint_eq (held.n_ends, 2);
  ck_assert_int_eq (held.ends[0].result, MD_RUN_DONE);
  ck_assert_int_eq (held.ends[1].result, MD_RUN_LEASE_EXPIRED);
  ck_assert_str_eq (held.ends[1].checkpoint, "cafe");
  md_hold_response_clear (&held);
  ck_assert_int_eq (md_platform_parse_hold_response (MD_STR ("{\"running\":[]}"), &held, NULL),
                    MD_E_INVALID);
  /* A response that does not say which lifetime it comes from must not end runs. */
  ck_assert_int_eq (md_platform_parse_hold_response (MD_STR ("{\"running\":[],\"finished\":[]}"),
                                                     &held, NULL),
                    MD_E_INVALID);
  ck_assert_int_eq (md_platform_parse_hold_response (
                        MD_STR ("{\"born\":\"99\",\"running\":[],\"finished\":[]}"), &held, NULL),
                    MD_E_INVALID);
}
END_TEST

START_TEST (orders_are_written_as_agreed)
{
  MD_AUTO_CALL call = { 0 };
  MD_AUTO_CALL hold = { 0 };
  MdPlatformStart start = { .task = MD_STR ("5c.0.1.17"),
                            .run_number = 2,
                            .spec = MD_STR ("x\"y"),
                            .lease_deadline_ms = 486000,
                            .token = 7 };

  md_platform_start (&call, MD_STR ("i-1"), &start);
  ck_assert_str_eq (call.target.data, "/v1/run-start");
  ck_assert_str_eq (call.body.data, "{\"task\":\"5c.0.1.17\",\"run\":2,\"spec\":\"x\\\"y\","
                                    "\"deadline_ms\":486000,\"fencing_token\":7}");
  ck_assert_ptr_nonnull (strstr (call.headers.data, "X-Mulberrydrift-Expect-Instance: i-1\r\n"));
  md_platform_hold (&hold, MD_STR (""), 486000, 7, 57, 100 * MD_MS);
  ck_assert_str_eq (hold.body.data, "{\"deadline_ms\":486000,\"fencing_token\":7,\"acked\":57,"
                                    "\"wait_ms\":100}");
}
END_TEST

START_TEST (rejections_are_told_apart)
{
  int64_t clock_ms;

  ck_assert_int_eq (md_platform_parse_start_response (200, MD_STR ("{\"clock_ms\":5}"), &clock_ms),
                    MD_ORDER_STARTED);
  ck_assert_int_eq (clock_ms, 5);
  ck_assert_int_eq (md_platform_parse_start_response (409, MD_STR ("{\"reason\":\"fence\"}"),
                                                      &clock_ms),
                    MD_ORDER_FENCED);
  ck_assert_int_eq (md_platform_parse_start_response (409, MD_STR ("{\"reason\":\"old\"}"),
                                                      &clock_ms),
                    MD_ORDER_STALE);
  ck_assert_int_eq (md_platform_parse_start_response (421, MD_STR (""), &clock_ms),
                    MD_ORDER_WRONG_LIFETIME);
  ck_assert_int_eq (md_platform_parse_start_response (503, MD_STR (""), &clock_ms),
                    MD_ORDER_REFUSED);
  ck_assert_int_eq (clock_ms, -1);
}
END_TEST

static const char read_text[] = "\0\0\0\0\0\0\0\5\0\0\0\0\0\0\0\0"
                                "\0\0\0\6\2abxyz"
                                "\0\0\0\1\0"
                                "\0\0\0\2\1k";

START_TEST (records_are_decoded)
{
  MdStr body = md_str_n (read_text, sizeof read_text - 1);
  Records records = { 0 };
  uint64_t next = 0;
  uint64_t end = 0;

  ck_assert_int_eq (md_platform_parse_read_response (body, 2, keep_record, &records, &next, &end,
                                                     NULL),
                    MD_OK);
  ck_assert_uint_eq (next, 5);
  ck_assert_uint_eq (end, 5);
  ck_assert_uint_eq (records.n, 2); /* the second has no key */
  ck_assert_str_eq (records.keys[0], "ab");
  ck_assert_str_eq (records.values[0], "xyz");
  ck_assert_uint_eq (records.offsets[1], 4);
  ck_assert_str_eq (records.values[1], "");
  body.len--;
  ck_assert_int_eq (md_platform_parse_read_response (body, 2, keep_record, &records, &next, &end,
                                                     NULL),
                    MD_E_INVALID);
}
END_TEST

static const char newest_text[] = "{\"items\":[{\"key\":\"config\",\"value\":\"eHl6\",\"offset\":4}"
                                  ",{\"key\":\"x\",\"value\":\"!\"},"
                                  "{\"value\":\"eHl6\"}],\"has_more\":true,\"end_offset\":6}";

START_TEST (newest_records_are_decoded)
{
  Records records = { 0 };
  uint64_t next = 0;
  bool more = false;

  ck_assert_int_eq (md_platform_parse_newest_response (md_str (newest_text), keep_record, &records,
                                                       &next, &more, NULL),
                    MD_OK);
  ck_assert_uint_eq (records.n, 1);
  ck_assert_str_eq (records.values[0], "xyz");
  ck_assert_uint_eq (next, 6);
  ck_assert (more);
}
END_TEST

/* Guards against one odd entry that ends the reading of a whole list (issue 29). */
START_TEST (odd_entries_leave_the_others)
{
  static const char *const odd[] = { "{\"key\":\"x\",\"value\":99999999999999999999999}",
                                     "{\"key\":\"x\",\"offset\":1e999}",
                                     "{\"key\":\"a\\u0000b\",\"value\":7}",
                                     "{\"key\":\"\xff\xfe\",\"value\":7}",
                                     "{\"key\":\"\1\",\"value\":7}",
                                     "{\"key\":\"\xed\xa0\x80\",\"value\":7}",
                                     "{\"key\":\"\xe0\x80\x80\",\"value\":7}",
                                     "{\"key\":\"\xf4\x90\x80\x80\",\"value\":7}",
                                     "{\"key\":\"\\ud83d\",\"value\":7}",
                                     "{\"key\":\"\\udc00\\ud83d\\ude00\",\"value\":7}",
                                     "{\"key\":\"\\q\",\"value\":7}",
                                     "DEEP",
                                     "[]",
                                     "null" };
  char deep[8192] = "";

  memset (deep, '[', 3000);
  memset (deep + 3000, ']', 3000);
  for (size_t i = 0; i < MD_ARRAY_SIZE (odd); i++)
    {
      MD_AUTO_BUF text = { 0 };
      Records records = { 0 };
      uint64_t next = 0;
      bool more = true;

      md_buf_printf (&text,
                     "{\"items\":[%s,{\"key\":\"config\",\"value\":\"eHl6\",\"offset\":4}],"
                     "\"has_more\":false,\"end_offset\":6}",
                     strcmp (odd[i], "DEEP") == 0 ? deep : odd[i]);
      ck_assert_int_eq (md_platform_parse_newest_response (md_buf_str (&text), keep_record,
                                                           &records, &next, &more, NULL),
                        MD_OK);
      ck_assert_uint_eq (records.n, 1);
      ck_assert_str_eq (records.keys[0], "config");
      ck_assert_uint_eq (next, 6);
    }
}
END_TEST

/* Guards against a worker that counts as unreachable because its list is too long: a guard orders
   up to 16,384 runs, and 500 ends are listed. */
START_TEST (longest_list_is_decoded)
{
  enum
  {
    RUNS = 16384,
    ENDS = 500
  };
  MD_AUTO_BUF text = { 0 };
  MdHoldResponse held;

  md_buf_append (&text, MD_STR ("{\"clock_ms\":482113,\"born\":99,\"running\":["));
  for (int i = 0; i < RUNS; i++)
    md_buf_printf (&text, "%s[\"0123456789abcdef.0.63.%d\",1,\"\",100,1.5]", i > 0 ? "," : "", i);
  md_buf_append (&text, MD_STR ("],\"finished\":["));
  for (int i = 1; i <= ENDS; i++)
    md_buf_printf (&text, "%s[%d,\"0123456789abcdef.0.1.%d\",1,\"done\",\"\"]", i > 1 ? "," : "", i,
                   i);
  md_buf_append (&text, MD_STR ("]}"));
  ck_assert_int_eq (md_platform_parse_hold_response (md_buf_str (&text), &held, NULL), MD_OK);
  ck_assert_uint_eq (held.n_runs, RUNS);
  ck_assert_uint_eq (held.n_ends, ENDS);
  md_hold_response_clear (&held);
}
END_TEST

/* Guards against the same in the lists of a worker, and against a number that is cut to 32 bits and
   then names another run. */
START_TEST (odd_rows_leave_the_others)
{
  static const char text[]
      = "{\"clock_ms\":482113,\"born\":99,\"running\":[[\"5c.0.1.17\",99999999999999999999],"
        "[\"5c.0.1.17\",4294967298],[\"5c.0.1.17\",-1],[\"5c.0.1.17\",2]],"
        "\"finished\":[[-1,\"5c.0.1.9\",1,\"done\",\"\"],[58,\"5c.0.1.9\",4294967297,\"done\",\"\"]"
        ","
        "[59,\"5c.0.1.8\",3,\"done\",\"\"]]}";
  MdHoldResponse held;

  ck_assert_int_eq (md_platform_parse_hold_response (md_str (text), &held, NULL), MD_OK);
  ck_assert_uint_eq (held.n_runs, 1);
  ck_assert_uint_eq (held.runs[0].run_number, 2);
  ck_assert_uint_eq (held.n_ends, 1);
  ck_assert_uint_eq (held.ends[0].number, 59);
  md_hold_response_clear (&held);
}
END_TEST

/* Guards against a key that changes the meaning of the query. */
START_TEST (key_is_escaped_in_the_query)
{
  MD_AUTO_CALL call = { 0 };

  md_platform_newest (&call, "keyed.op", MD_STR ("a b&part=1#\xff"));
  ck_assert_str_eq (call.target.data,
                    "/v1/log-newest?topic=keyed.op&part=0&depends_on=a%20b%26part%3D1%23%FF");
}
END_TEST

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\",\"path_prefix\":\"/p/\","
      "\"service\":\"calc\",\"timeout_ms\":1500,\"target_latency_ms\":60,\"slack_factor\":1.6,"
      "\"priority\":1,\"max_attempts\":2},{\"name\":\"b\",\"host\":\"h.example\",\"path_prefix\":"
      "\"/p/q/\",\"service\":\"calc\",\"advisor\":{\"decision_ms\":3}},{\"host\":7}],"
      "\"limits\":{\"max_body_bytes\":262144}}";

/* Guards against a limit that is none: a negative number became the largest size, and every body
   was read. */
START_TEST (body_limit_out_of_range_is_not_used)
{
  static const struct
  {
    const char *limit;
    size_t bytes;
  } cases[] = { { "-1", 0 },
                { "-9223372036854775808", 0 },
                { "0", 0 },
                { "\"1\"", 0 },
                { "8388608", 8388608 },
                { "8388609", 8388608 },
                { "1e15", 8388608 },
                { "9223372036854775807", 8388608 } };

  for (size_t i = 0; i < MD_ARRAY_SIZE (cases); i++)
    {
      MD_AUTO_BUF text = { 0 };
      MdRoutes *routes;

      md_buf_printf (&text, "{\"version\":1,\"routes\":[],\"limits\":{\"max_body_bytes\":%s}}",
                     cases[i].limit);
      routes = md_platform_parse_config (md_buf_str (&text), NULL);
      ck_assert_ptr_nonnull (routes);
      ck_assert_uint_eq (routes->max_body_bytes, cases[i].bytes);
      md_routes_free (routes);
    }
}
END_TEST

START_TEST (longest_prefix_wins)
{
  MdRoutes *routes = md_platform_parse_config (md_str (config_text), NULL);
  const MdRoute *route;

  ck_assert_ptr_nonnull (routes);
  ck_assert_uint_eq (routes->n, 2);
  ck_assert_uint_eq (routes->max_body_bytes, 262144);
  route = md_routes_find (routes, MD_STR ("H.example:80"), MD_STR ("/p/0a"));
  ck_assert_str_eq (route->name.data, "a");
  ck_assert_int_eq (route->target_latency, 60 * MD_MS);
  ck_assert_str_eq (md_routes_find (routes, MD_STR ("h.example"), MD_STR ("/p/q/0a"))->name.data,
                    "b");
  ck_assert (md_routes_find (routes, MD_STR ("h.example"), MD_STR ("/p/q/0a"))->advisor.present);
  ck_assert_ptr_null (md_routes_find (routes, MD_STR ("g.example"), MD_STR ("/p/0a")));
  ck_assert_ptr_null (md_routes_find (routes, MD_STR ("h.example"), MD_STR ("/p")));
  md_routes_free (routes);
  ck_assert_ptr_null (md_platform_parse_config (MD_STR ("{\"routes\":[]}"), NULL));
}
END_TEST

START_TEST (memory_of_a_worker_is_kept_whole)
{
  MdWorkerRecord memory = { .log_speed = -0.5, .samples = 9 };
  MdWorkerRecord back;
  MD_AUTO_BUF text = { 0 };

  ck_assert_int_eq (md_platform_parse_worker_report (md_str (worker_text), MD_STR ("i-1"),
                                                     &memory.report, NULL),
                    MD_OK);
  md_platform_write_worker_record (&text, &memory);
  ck_assert_int_eq (md_platform_parse_worker_record (md_buf_str (&text), &back, NULL), MD_OK);
  ck_assert_str_eq (back.report.traits->name.data, "i-1");
  ck_assert_double_eq (back.log_speed, -0.5);
  ck_assert_uint_eq (back.samples, 9);
  ck_assert_int_eq (back.report.born_ms, 1700);
  ck_assert (md_traits_have (back.report.traits, MD_STR ("r1-3")));
  md_worker_report_clear (&memory.report);
  md_worker_report_clear (&back.report);
}
END_TEST

static void
read_all (MdStr text)
{
  Records records = { 0 };
  MdWorkerReport report;
  MdWorkerRecord memory;
  char address[MD_ADDRESS_BYTES];
  uint64_t next;
  uint64_t end;
  int64_t clock_ms;
  MdHoldResponse held = { 0 };
  MdRunSpec spec;
  bool more;

  md_platform_parse_job (text, &spec, NULL);
  md_run_spec_clear (&spec);
  md_platform_parse_worker_report (text, MD_STR ("i-1"), &report, NULL);
  md_worker_report_clear (&report);
  if (md_platform_parse_worker_record (text, &memory, NULL) == MD_OK)
    md_worker_report_clear (&memory.report);
  md_platform_parse_hold_response (text, &held, NULL);
  md_hold_response_clear (&held);
  md_platform_parse_start_response (409, text, &clock_ms);
  md_platform_parse_read_response (text, 0, keep_record, &records, &next, &end, NULL);
  md_platform_parse_newest_response (text, keep_record, &records, &next, &more, NULL);
  md_routes_free (md_platform_parse_config (text, NULL));
  md_platform_parse_entry (text, address, NULL);
}

/* A fixed seed; the address sanitizer's build is the judge. */
START_TEST (any_bytes_are_survived)
{
  const MdStr texts[] = { MD_STR (job_text),    MD_STR (worker_text),
                          MD_STR (hold_text),   { read_text, sizeof read_text - 1 },
                          MD_STR (newest_text), MD_STR (config_text) };
  uint64_t random = 88172645463325252u;
  char copy[1024];

  for (int i = 0; i < MUTATIONS; i++)
    {
      MdStr text = texts[i % MD_ARRAY_SIZE (texts)];

      text.len = strlen (text.data) > 0 && text.len > sizeof copy ? sizeof copy : text.len;
      memcpy (copy, text.data, text.len);
      for (int k = 0; k < 3; k++)
        {
          random ^= random << 13;
          random ^= random >> 7;
          random ^= random << 17;
          copy[random % text.len] = (char)(random >> 32);
        }
      if (random & 1)
        text.len = random / 2 % text.len;
      read_all (md_str_n (copy, text.len));
    }
}
END_TEST

/* Guards against a job of one caller that ends the process for all: numbers that do not fit into
   microseconds overflowed, and a negative run time has no logarithm. */
START_TEST (numbers_out_of_range_are_limited)
{
  static const char *const numbers[]
      = { "9223372036854775807", "-9223372036854775808", "-1", "1e300" };
  MdRunSpec spec;

  for (unsigned i = 0; i < MD_ARRAY_SIZE (numbers); i++)
    {
      MD_AUTO_BUF body = { 0 };

      md_buf_printf (&body,
                     "{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":%s,\"cpu\":%s,"
                     "\"estimated_ms\":%s}]}",
                     numbers[i], numbers[i], numbers[i]);
      ck_assert_int_eq (md_platform_parse_job (md_buf_str (&body), &spec, NULL), MD_OK);
      ck_assert_int_ge (spec.steps[0].declared_time, 0);
      ck_assert_int_le (spec.steps[0].declared_time, MD_JSON_MAX_DURATION);
      md_run_spec_clear (&spec);
    }
}
END_TEST

/* Guards against the same from a worker: its clock is scaled to microseconds. */
START_TEST (clock_out_of_range_is_not_used)
{
  int64_t clock_ms;

  md_platform_parse_start_response (200, MD_STR ("{\"clock_ms\":9223372036854775807}"), &clock_ms);
  ck_assert_int_eq (clock_ms, -1);
  md_platform_parse_start_response (200, MD_STR ("{\"clock_ms\":-7}"), &clock_ms);
  ck_assert_int_eq (clock_ms, -1);
  md_platform_parse_start_response (200, MD_STR ("{\"clock_ms\":482113}"), &clock_ms);
  ck_assert_int_eq (clock_ms, 482113);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("platform");

  tcase_add_test (tc, job_is_decoded);
  tcase_add_test (tc, job_without_steps_is_refused);
  tcase_add_test (tc, requirements_that_do_not_fit_are_refused);
  tcase_add_test (tc, worker_is_decoded);
  tcase_add_test (tc, strange_workers_are_refused);
  tcase_add_test (tc, held_runs_are_decoded);
  tcase_add_test (tc, orders_are_written_as_agreed);
  tcase_add_test (tc, rejections_are_told_apart);
  tcase_add_test (tc, records_are_decoded);
  tcase_add_test (tc, newest_records_are_decoded);
  tcase_add_test (tc, odd_entries_leave_the_others);
  tcase_add_test (tc, odd_rows_leave_the_others);
  tcase_add_test (tc, key_is_escaped_in_the_query);
  tcase_add_test (tc, longest_list_is_decoded);
  tcase_add_test (tc, body_limit_out_of_range_is_not_used);
  tcase_add_test (tc, longest_prefix_wins);
  tcase_add_test (tc, memory_of_a_worker_is_kept_whole);
  tcase_add_test (tc, any_bytes_are_survived);
  tcase_add_test (tc, numbers_out_of_range_are_limited);
  tcase_add_test (tc, clock_out_of_range_is_not_used);
  return run_suite ("platform", tc);
}
