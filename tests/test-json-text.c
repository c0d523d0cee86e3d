/* test-json-text.c -- nesting of JSON texts, and the number of their values

   Guards against an end of the process by a nested text: each reader of JSON is called on a thread
   with the stack of an HTTP thread, which jansson's recursion exceeds at about 900 levels. Guards
   against a text whose values take eighty times its size when they are parsed. */

#include "config-check.h"
#include "entry-private.h"
#include "http-client.h"
#include "json-text.h"
#include "json-util.h"
#include "suite.h"

#include <pthread.h>
#include <unistd.h>

#define HTTP_STACK (100u << 10) /* bytes, CivetWeb's default */

/* Reads a text with one of the readers and releases the result. Returns whether it was accepted. */
typedef bool (*ReadText) (MdStr text);

typedef struct
{
  ReadText read;
  MdStr text;
  bool accepted;
} Reading;

static void *
run_reading (void *user)
{
  Reading *reading = user;

  reading->accepted = reading->read (reading->text);
  return NULL;
}

/* A thread on arm64 has at least 128 KB. */
static size_t
http_stack (void)
{
  size_t smallest = (size_t)sysconf (_SC_THREAD_STACK_MIN);

  return smallest > HTTP_STACK ? smallest : HTTP_STACK;
}

/* Reads the text on a thread with a small stack. */
static bool
accepts (ReadText read, MdStr text)
{
  Reading reading = { .read = read, .text = text };
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  ck_assert_int_eq (pthread_attr_setstacksize (&attributes, http_stack ()), 0);
  ck_assert_int_eq (pthread_create (&thread, &attributes, run_reading, &reading), 0);
  pthread_join (thread, NULL);
  pthread_attr_destroy (&attributes);
  return reading.accepted;
}

/* Appends text so many times. */
static void
append_times (MdBuf *buf, size_t n, const char *text)
{
  for (size_t i = 0; i < n; i++)
    md_buf_append (buf, md_str (text));
}

/* Writes a value of so many levels between head and tail; unfinished: it is never closed. */
static void
write_nested (MdBuf *buf, const char *head, size_t levels, bool objects, const char *tail,
              bool unfinished)
{
  buf->len = 0;
  md_buf_append (buf, md_str (head));
  append_times (buf, levels, objects ? "{\"a\":" : "[");
  md_buf_append (buf, objects ? MD_STR ("1") : MD_STR (""));
  if (unfinished)
    return;
  append_times (buf, levels, objects ? "}" : "]");
  md_buf_append (buf, md_str (tail));
}

/* ------------------------------------------------------------------ */
/* Readers                                                            */

static bool
read_job (MdStr text)
{
  MdRunSpec spec;
  bool accepted = md_platform_parse_job (text, &spec, NULL) == MD_OK;

  if (accepted)
    md_run_spec_clear (&spec);
  return accepted;
}

static bool
read_worker_report (MdStr text)
{
  MdWorkerReport report;

  if (md_platform_parse_worker_report (text, MD_STR ("i-1"), &report, NULL) != MD_OK)
    return false;
  md_worker_report_clear (&report);
  return true;
}

static bool
read_worker_record (MdStr text)
{
  MdWorkerRecord record;

  if (md_platform_parse_worker_record (text, &record, NULL) != MD_OK)
    return false;
  md_worker_report_clear (&record.report);
  return true;
}

static bool
read_start_response (MdStr text)
{
  int64_t clock_ms;

  md_platform_parse_start_response (409, text, &clock_ms);
  return clock_ms >= 0;
}

static bool
read_hold_response (MdStr text)
{
  MdHoldResponse response = { 0 };
  bool accepted = md_platform_parse_hold_response (text, &response, NULL) == MD_OK;

  md_hold_response_clear (&response);
  return accepted;
}

static void
ignore_record (void *user MD_UNUSED, const MdKeyedRecord *record MD_UNUSED)
{
}

static bool
read_newest (MdStr text)
{
  uint64_t next;
  bool more;

  return md_platform_parse_newest_response (text, ignore_record, NULL, &next, &more, NULL) == MD_OK;
}

static bool
read_entry_record (MdStr text)
{
  char address[MD_ADDRESS_BYTES];

  return md_platform_parse_entry (text, address, NULL) == MD_OK;
}

static bool
read_routes (MdStr text)
{
  MdRoutes *routes = md_platform_parse_config (text, NULL);

  md_routes_free (routes);
  return routes != NULL;
}

static bool
read_caller_job (MdStr text)
{
  MdError error = { 0 };
  MdSubmission *sub = md_job_parse (text, 1000, &error);

  if (sub != NULL)
    md_submission_unref (sub);
  return sub != NULL;
}

/* Writes a job's result with an answer that claims to be JSON. */
static bool
write_json_answer (MdStr text)
{
  MD_AUTO_BUF out = { 0 };
  MdHeader header = { .name = (char *)"Content-Type", .value = (char *)"application/json" };
  MdTaskAnswer answer = { .status = 200,
                          .headers = &header,
                          .n_headers = 1,
                          .body = (void *)text.data,
                          .body_len = text.len };
  MdResult result = { .state = MD_STATE_DONE, .answers = &answer, .n_answers = 1 };

  md_job_write (&out, MD_STR ("id"), &result);
  return strstr (out.data, "\"body\":[") != NULL || strstr (out.data, "\"body\":{") != NULL;
}

static bool
read_response (MdStr text)
{
  MdHttpResponse response = { .body = { .data = (char *)text.data, .len = text.len } };
  json_t *root = md_http_response_json (&response);

  json_decref (root);
  return root != NULL;
}

static bool
check_spec (MdStr text)
{
  return md_config_check (MD_STR ("configuration"), MD_STR ("a"), text, NULL) == MD_OK;
}

static MdConfig *
new_config (void)
{
  MdTuning tuning;

  md_tuning_default (&tuning);
  return md_config_new (&tuning);
}

static bool
apply_record (MdStr text)
{
  MdConfig *config = new_config ();
  bool accepted = md_config_apply (config, 0, 0, text) == MD_APPLY_EFFECTIVE;

  md_config_free (config);
  return accepted;
}

static bool
load_snapshot (MdStr text)
{
  MdConfig *config = new_config ();
  bool accepted = md_config_load (config, text, NULL) == MD_OK;

  md_config_free (config);
  return accepted;
}

static const ReadText readers[]
    = { read_job,           read_worker_report, read_worker_record, read_start_response,
        read_hold_response, read_newest,        read_entry_record,  read_routes,
        read_caller_job,    write_json_answer,  read_response,      check_spec,
        apply_record,       load_snapshot };

START_TEST (nested_text_does_not_exhaust_the_stack)
{
  static const char *const heads[] = { "", "{\"steps\":", "{\"a\":[{}," };
  MD_AUTO_BUF text = { 0 };

  for (size_t i = 0; i < MD_ARRAY_SIZE (heads) * 4; i++)
    {
      write_nested (&text, heads[i / 4], 2000, i % 2 == 0, "}", i % 4 < 2);
      ck_assert (!accepts (readers[_i], md_buf_str (&text)));
    }
}
END_TEST

static bool
load_text (MdStr text)
{
  json_t *root = md_json_load (text, 0, NULL);
  char *copy = root != NULL ? json_dumps (root, JSON_SORT_KEYS) : NULL;
  bool accepted = copy != NULL;

  free (copy);
  json_decref (root);
  return accepted;
}

START_TEST (text_of_the_greatest_depth_is_read_and_written)
{
  MD_AUTO_BUF text = { 0 };

  for (int objects = 0; objects < 2; objects++)
    {
      write_nested (&text, "", MD_JSON_MAX_DEPTH, objects, "", false);
      ck_assert_uint_eq (md_json_depth (md_buf_str (&text)), MD_JSON_MAX_DEPTH);
      ck_assert (accepts (load_text, md_buf_str (&text)));
      write_nested (&text, "", MD_JSON_MAX_DEPTH + 1, objects, "", false);
      ck_assert (!accepts (load_text, md_buf_str (&text)));
    }
}
END_TEST

/* Guards against brackets of strings that are taken for levels, and against the reverse. */
START_TEST (brackets_of_strings_are_not_counted)
{
  static const struct
  {
    const char *text;
    size_t depth;
  } cases[] = { { "", 0 },
                { "1", 0 },
                { "[]", 1 },
                { "[[],[],{\"a\":[]}]", 3 },
                { "{\"[[\":\"{{[\"}", 1 },
                { "[\"\\\"[[[\"]", 1 },
                { "[\"\\\\\",[[]]]", 3 },
                { "[\"\\u0022[[\",{}]", 2 },
                { "[\"[[[", 1 },
                { "[\"\\", 1 },
                { "]]]}[", 1 } };

  for (size_t i = 0; i < MD_ARRAY_SIZE (cases); i++)
    ck_assert_uint_eq (md_json_depth (md_str (cases[i].text)), cases[i].depth);
  ck_assert_uint_eq (md_json_depth ((MdStr){ 0 }), 0);
  ck_assert_ptr_null (md_json_load ((MdStr){ 0 }, 0, NULL));
}
END_TEST

START_TEST (error_of_a_nested_text_names_limit_and_line)
{
  MD_AUTO_BUF text = { 0 };
  json_error_t error;

  write_nested (&text, "\n\n", 2000, false, "", false);
  ck_assert_ptr_null (md_json_load (md_buf_str (&text), 0, &error));
  ck_assert_str_eq (error.text, "nested more than 128 levels deep");
  ck_assert_int_eq (error.line, 3);
}
END_TEST

/* Guards against specs that are accepted and cannot be read back from a snapshot. */
START_TEST (deepest_spec_survives_a_snapshot)
{
  MD_AUTO_BUF record = { 0 };
  MD_AUTO_BUF spec = { 0 };
  MdConfig *config = new_config ();
  MdConfig *copy = new_config ();
  md_autofree char *snapshot = NULL;
  size_t len = 0;

  for (size_t levels = MD_JSON_EMBEDDED_DEPTH; levels <= MD_JSON_EMBEDDED_DEPTH + 1; levels++)
    {
      bool fits = levels == MD_JSON_EMBEDDED_DEPTH;

      write_nested (&spec, "", levels, true, "", false);
      ck_assert_int_eq (accepts (check_spec, md_buf_str (&spec)), fits);
      record.len = 0;
      md_buf_printf (
          &record,
          "{\"type\":\"put\",\"id\":\"c%zu\",\"kind\":\"configuration\",\"name\":\"a%zu\","
          "\"expected\":0,\"actor\":\"me\",\"spec\":%s}",
          levels, levels, spec.data);
      ck_assert_int_eq (md_config_apply (config, md_config_next_offset (config), 0,
                                         md_buf_str (&record)),
                        fits ? MD_APPLY_EFFECTIVE : MD_APPLY_INVALID);
    }
  ck_assert_int_eq (md_config_snapshot (config, &snapshot, &len), MD_OK);
  ck_assert_int_eq (md_config_load (copy, md_str_n (snapshot, len), NULL), MD_OK);
  ck_assert_uint_eq (md_config_count (copy), 1);
  md_config_free (copy);
  md_config_free (config);
}
END_TEST

/* Guards against a list that is lost as a whole for one element of another writer. */
START_TEST (list_with_a_nested_element_is_repaired)
{
  MD_AUTO_BUF text = { 0 };

  write_nested (&text, "{\"version\":1,\"routes\":[", 2000, true, "]}", false);
  ck_assert (accepts (read_routes, md_buf_str (&text)));
}
END_TEST

/* Guards against jobs that expand: the values of a body of 256 KB take up to 20 MB. */
START_TEST (job_with_too_many_values_is_refused_unparsed)
{
  static const char *const elements[] = { "[]", "{}", "1", "\"\"", "{\"a\":{}}" };
  MD_AUTO_BUF text = { 0 };
  MdError error = { 0 };
  MdRunSpec spec;

  md_buf_append (&text, MD_STR ("{\"spec\":\"x\",\"steps\":["));
  while (text.len < 256u << 10)
    md_buf_printf (&text, "%s,", elements[_i]);
  md_buf_append (&text, MD_STR ("1]}"));
  ck_assert_int_eq (md_platform_parse_job (md_buf_str (&text), &spec, &error), MD_E_INVALID);
  ck_assert_str_eq (error.detail, "not JSON: more than 8192 values");
}
END_TEST

/* Guards against a bound that refuses what callers may send: all steps, each with every member and
   every earlier step as predecessor, and a spec of 4,000 bytes. */
START_TEST (largest_job_is_accepted)
{
  MD_AUTO_BUF text = { 0 };
  MdRunSpec spec;

  md_buf_append (&text, MD_STR ("{\"best_effort\":true,\"repeat_count\":0,\"spec\":\""));
  append_times (&text, 4000, "x");
  md_buf_append (&text, MD_STR ("\",\"steps\":["));
  for (int i = 0; i < MD_MAX_STEPS; i++)
    {
      md_buf_printf (
          &text,
          "%s{\"count\":4096,\"cpu\":1000,\"mem_mb\":64,\"gpu\":0,\"estimated_ms\":30,"
          "\"checkpointing\":false,\"gang\":false,\"same_rack\":false,\"speculative\":false,"
          "\"long_running\":false,\"anti_affinity\":0,\"affinity\":\"r1\","
          "\"requirements\":\"a\",\"depends_on\":[",
          i > 0 ? "," : "");
      for (int k = 0; k < i; k++)
        md_buf_printf (&text, "%s%d", k > 0 ? "," : "", k);
      md_buf_append (&text, MD_STR ("]}"));
    }
  md_buf_append (&text, MD_STR ("]}"));
  ck_assert_int_eq (md_platform_parse_job (md_buf_str (&text), &spec, NULL), MD_OK);
  ck_assert_uint_eq (spec.n_steps, MD_MAX_STEPS);
  ck_assert_uint_eq (spec.steps[MD_MAX_STEPS - 1].depends_on, UINT64_MAX >> 1);
  md_run_spec_clear (&spec);
}
END_TEST

/* Guards against reports, lists, callers' jobs and upstreams' answers that expand. */
START_TEST (other_texts_with_too_many_values_are_refused)
{
  static const struct
  {
    ReadText read;
    const char *head;
    const char *element;
    const char *tail;
    size_t most;
  } cases[] = {
    { read_worker_report,
      "{\"state\":\"ready\",\"service\":\"a\",\"born\":1,\"capacity\":{\"cpu\":1},\"labels\":[",
      "1", "]}", 1000 },
    { read_routes, "{\"version\":1,\"routes\":[", "{}", "]}", MD_JSON_LIST_VALUES / 2 - 10 },
    { read_caller_job, "{\"pool\":\"p\",\"tasks\":[{\"path\":\"/\",\"body\":[", "1", "]}]}",
      MD_JSON_MAX_VALUES - 10 },
    { write_json_answer, "[", "1", "]", MD_JSON_MAX_VALUES - 10 }
  };
  MD_AUTO_BUF text = { 0 };

  for (size_t i = 0; i < MD_ARRAY_SIZE (cases); i++)
    for (int beyond = 0; beyond < 2; beyond++)
      {
        text.len = 0;
        md_buf_append (&text, md_str (cases[i].head));
        for (size_t k = 0; k < cases[i].most + (beyond ? 30 : 0); k++)
          md_buf_printf (&text, "%s%s", k > 0 ? "," : "", cases[i].element);
        md_buf_append (&text, md_str (cases[i].tail));
        ck_assert_int_eq (cases[i].read (md_buf_str (&text)), !beyond);
      }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("json-text");

  tcase_add_loop_test (tc, nested_text_does_not_exhaust_the_stack, 0, MD_ARRAY_SIZE (readers));
  tcase_add_test (tc, text_of_the_greatest_depth_is_read_and_written);
  tcase_add_test (tc, brackets_of_strings_are_not_counted);
  tcase_add_test (tc, error_of_a_nested_text_names_limit_and_line);
  tcase_add_test (tc, deepest_spec_survives_a_snapshot);
  tcase_add_test (tc, list_with_a_nested_element_is_repaired);
  tcase_add_loop_test (tc, job_with_too_many_values_is_refused_unparsed, 0, 5);
  tcase_add_test (tc, largest_job_is_accepted);
  tcase_add_test (tc, other_texts_with_too_many_values_are_refused);
  return run_suite ("json-text", tc);
}
