/* test-long-texts.c -- texts of any length in configurations, reports of workers and jobs

   Guards against texts that are dropped or cut short for their length: a queue would be answered
   with 404, or by another queue, and a worker would not be used, or used for what it cannot run. */

#include "platform.h"
#include "suite.h"

#include <ctype.h>
#include <stdio.h>

/* Appends text with a letter after it until it is len bytes long. */
static MdBuf
text_of (const char *text, char letter, size_t len)
{
  MdBuf out = { 0 };

  md_buf_append (&out, md_str (text));
  while (out.len < len)
    md_buf_append (&out, md_str_n (&letter, 1));
  ck_assert (!out.failed);
  return out;
}

static void
append_route (MdBuf *out, const char *name, const char *host, const char *prefix,
              const char *service)
{
  md_buf_printf (out,
                 "%s{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"service\":\"%s\","
                 "\"priority\":1}",
                 out->len > 0 ? "," : "", name, host, prefix, service);
}

static MdRoutes *
parse (const MdBuf *list)
{
  MD_AUTO_BUF text = { 0 };
  MdRoutes *routes;

  md_buf_printf (&text, "{\"version\":3,\"routes\":[%s]}", list->data);
  routes = md_platform_parse_config (md_buf_str (&text), NULL);
  ck_assert_ptr_nonnull (routes);
  return routes;
}

/* Guards against a queue that is left out because one of its texts is long. */
START_TEST (texts_of_any_length_are_kept)
{
  static const size_t lengths[] = { 8, 63, 64, 127, 128, 130, 253, 256, 512, 8000 };
  size_t len = lengths[_i];
  MD_AUTO_BUF name = text_of ("queue", 'n', len);
  MD_AUTO_BUF host = text_of ("h", 'h', len);
  MD_AUTO_BUF prefix = text_of ("/p", 'p', len);
  MD_AUTO_BUF service = text_of ("calc", 's', len);
  MD_AUTO_BUF path = { 0 };
  MD_AUTO_BUF list = { 0 };
  MdRoutes *routes;
  const MdRoute *route;

  append_route (&list, name.data, host.data, prefix.data, service.data);
  routes = parse (&list);
  ck_assert_uint_eq (routes->n, 1);
  ck_assert_uint_eq (routes->n_ignored, 0);
  md_buf_printf (&path, "%s/0a", prefix.data);
  route = md_routes_find (routes, md_buf_str (&host), md_buf_str (&path));
  ck_assert_ptr_nonnull (route);
  ck_assert_str_eq (route->name.data, name.data);
  ck_assert_str_eq (route->host.data, host.data);
  ck_assert_str_eq (route->prefix.data, prefix.data);
  ck_assert_str_eq (route->pool.data, service.data);
  ck_assert_uint_lt (route->label.len, MD_NAME_BYTES);
  ck_assert_uint_eq (route->pool.len, len);
  md_routes_free (routes);
}
END_TEST

/* Guards against long texts that count as equal because they differ in their last bytes only. */
START_TEST (texts_that_differ_at_the_end_stay_apart)
{
  static const char *const ends[] = { "1", "2", "12" };
  MD_AUTO_BUF text = text_of ("t", 't', 600);
  MD_AUTO_BUF list = { 0 };
  MdRoutes *routes;

  for (size_t i = 0; i < MD_ARRAY_SIZE (ends); i++)
    for (size_t k = 0; k < MD_ARRAY_SIZE (ends); k++)
      {
        MD_AUTO_BUF host = { 0 };
        MD_AUTO_BUF prefix = { 0 };
        MD_AUTO_BUF name = { 0 };

        md_buf_printf (&host, "%s%s", text.data, ends[i]);
        md_buf_printf (&prefix, "/%s%s/", text.data, ends[k]);
        md_buf_printf (&name, "%s%s-%s", text.data, ends[i], ends[k]);
        append_route (&list, name.data, host.data, prefix.data, name.data);
      }
  routes = parse (&list);
  ck_assert_uint_eq (routes->n, 9);
  for (size_t i = 0; i < routes->n; i++)
    {
      const MdRoute *route = routes->routes[i];

      ck_assert_ptr_eq (md_routes_find (routes, route->host, route->prefix), route);
      for (size_t k = 0; k < i; k++)
        {
          ck_assert (!md_str_equal (route->pool, routes->routes[k]->pool));
          ck_assert (!md_str_equal (route->label, routes->routes[k]->label));
          ck_assert (!md_route_is_same_queue (route, routes->routes[k]));
        }
    }
  md_routes_free (routes);
}
END_TEST

/* Guards against queues without a name that count as one. */
START_TEST (queue_without_a_name_has_that_of_its_prefix)
{
  MD_AUTO_BUF list = { 0 };
  MdRoutes *routes;

  md_buf_append (&list, MD_STR ("{\"host\":\"h\",\"path_prefix\":\"/p/\",\"service\":\"s\"},"
                                "{\"host\":\"h\",\"path_prefix\":\"/q/\",\"service\":\"s\"}"));
  routes = parse (&list);
  ck_assert_uint_eq (routes->n, 2);
  ck_assert (!md_str_equal (routes->routes[0]->name, routes->routes[1]->name));
  md_routes_free (routes);
}
END_TEST

/* Guards against a route that cannot be read and that no figure tells of. */
START_TEST (route_that_cannot_be_read_is_counted)
{
  MD_AUTO_BUF list = { 0 };
  MdRoutes *routes;

  append_route (&list, "a", "h", "/a/", "s");
  append_route (&list, "b", "", "/b/", "s");
  append_route (&list, "c", "h", "", "s");
  append_route (&list, "d", "h", "/d/", "");
  md_buf_append (&list, MD_STR (",7,{\"host\":3,\"path_prefix\":\"/e/\",\"service\":\"s\"}"));
  routes = parse (&list);
  ck_assert_uint_eq (routes->n, 1);
  ck_assert_uint_eq (routes->n_ignored, 5);
  md_routes_free (routes);
}
END_TEST

/* The route for a request, by looking at all of them. */
static const MdRoute *
find_by_all (const MdRoutes *routes, MdStr host, MdStr path)
{
  const MdRoute *best = NULL;

  for (size_t i = 0; i < routes->n; i++)
    {
      const MdRoute *route = routes->routes[i];

      if (md_str_equal (route->host, host) && route->prefix.len <= path.len
          && memcmp (route->prefix.data, path.data, route->prefix.len) == 0
          && (best == NULL || route->prefix.len > best->prefix.len))
        best = route;
    }
  return best;
}

/* Guards against a search that misses a route or finds a shorter prefix. The prefixes are of few
   letters, so that many begin alike; hosts are found in either case and with a port. */
START_TEST (longest_prefix_of_the_host_is_found)
{
  static const char *const hosts[] = { "a", "b", "long.example" };
  MD_AUTO_BUF list = { 0 };
  MdRoutes *routes;

  srand (1);
  for (int i = 0; i < 200; i++)
    {
      char prefix[12] = "/";
      size_t len = 1 + (size_t)(rand () % 8);

      for (size_t k = 1; k <= len; k++)
        prefix[k] = "xy/"[rand () % 3];
      append_route (&list, "q", hosts[rand () % 3], prefix, "s");
    }
  routes = parse (&list);
  for (int i = 0; i < 20000; i++)
    {
      const char *host = hosts[rand () % 3];
      size_t len = (size_t)(rand () % 11);
      char path[12] = "";
      char asked[32];
      const MdRoute *expected;
      const MdRoute *found;

      for (size_t k = 0; k < len; k++)
        path[k] = k == 0 ? '/' : "xy/z"[rand () % 4];
      snprintf (asked, sizeof asked, "%s%s", host, rand () % 2 ? ":80" : "");
      asked[0] = (char)(rand () % 2 ? toupper (asked[0]) : asked[0]);
      expected = find_by_all (routes, md_str (host), md_str (path));
      found = md_routes_find (routes, md_str (asked), md_str (path));
      ck_assert_int_eq (found == NULL, expected == NULL);
      /* Two routes may have the same host and prefix. */
      if (found != NULL)
        ck_assert (md_route_is_same_queue (found, expected));
    }
  md_routes_free (routes);
}
END_TEST

/* Guards against a route that is freed with its table while a job has it. */
START_TEST (route_outlives_its_table)
{
  MD_AUTO_BUF list = { 0 };
  MD_AUTO_ROUTE *route = NULL;
  MdRoutes *routes;

  append_route (&list, "a", "h", "/a/", "s");
  routes = parse (&list);
  route = md_route_ref (md_routes_find (routes, MD_STR ("h"), MD_STR ("/a/1")));
  md_routes_free (routes);
  ck_assert_str_eq (route->name.data, "a");
  ck_assert_str_eq (route->pool.data, "s");
}
END_TEST

/* Guards against a worker that is left out, or lacks a label, for long or many texts. */
START_TEST (worker_has_all_its_labels)
{
  static const size_t lengths[] = { 1, 31, 32, 63, 64, 600 };
  size_t len = lengths[_i];
  MD_AUTO_BUF service = text_of ("s", 's', len);
  MD_AUTO_BUF body = { 0 };
  MdWorkerRecord record = { 0 };
  MdWorkerRecord back;
  MD_AUTO_BUF stored = { 0 };

  md_buf_printf (&body,
                 "{\"service\":\"%s\",\"state\":\"ready\",\"capacity\":{\"cpu\":1},\"born\":1,"
                 "\"labels\":[\"kind\",\"rack\"",
                 service.data);
  for (int i = 2; i < 20; i++)
    {
      MD_AUTO_BUF label = text_of ("l", 'l', len);

      md_buf_printf (&body, ",\"%s%d\"", label.data, i);
    }
  md_buf_append (&body, MD_STR ("]}"));
  ck_assert_int_eq (md_platform_parse_worker_report (md_buf_str (&body), MD_STR ("i-1"),
                                                     &record.report, NULL),
                    MD_OK);
  ck_assert (md_str_equal (record.report.traits->pool, md_buf_str (&service)));
  ck_assert_uint_eq (record.report.traits->n_labels, 20);
  ck_assert_str_eq (md_traits_rack (record.report.traits).data, "rack");
  ck_assert_uint_ge (record.report.traits->labels[19].len, len);
  ck_assert (!md_str_equal (record.report.traits->labels[18], record.report.traits->labels[19]));
  md_platform_write_worker_record (&stored, &record);
  ck_assert_int_eq (md_platform_parse_worker_record (md_buf_str (&stored), &back, NULL), MD_OK);
  ck_assert (md_traits_equal (back.report.traits, record.report.traits));
  md_worker_report_clear (&record.report);
  md_worker_report_clear (&back.report);
}
END_TEST

/* Guards against a rack that counts as the kind because a label before it cannot be read. */
START_TEST (label_of_another_type_keeps_its_place)
{
  MdWorkerReport report;

  ck_assert_int_eq (
      md_platform_parse_worker_report (
          MD_STR ("{\"service\":\"s\",\"state\":\"ready\",\"capacity\":{\"cpu\":1},\"born\":1,"
                  "\"labels\":[7,\"rack\"]}"),
          MD_STR ("i-1"), &report, NULL),
      MD_OK);
  ck_assert_str_eq (md_traits_rack (report.traits).data, "rack");
  md_worker_report_clear (&report);
}
END_TEST

/* Guards against a job that is refused, or runs on a worker without its label, because the label or
   the rack of its data is long. */
START_TEST (job_has_its_labels)
{
  MD_AUTO_BUF label = text_of ("l", 'l', 600);
  MD_AUTO_BUF rack = text_of ("r", 'r', 600);
  MD_AUTO_BUF body = { 0 };
  MdRunSpec spec;
  MdStr labels[2];
  MdTraits *traits;
  MdTraits *others;

  md_buf_printf (&body,
                 "{\"spec\":\"a\",\"steps\":[{\"count\":1,\"requirements\":\"%s1\","
                 "\"affinity\":\"%s1\"},{\"count\":1}]}",
                 label.data, rack.data);
  ck_assert_int_eq (md_platform_parse_job (md_buf_str (&body), &spec, NULL), MD_OK);
  ck_assert_uint_eq (spec.steps[0].required_label.len, 601);
  ck_assert_uint_eq (spec.steps[0].affinity.len, 601);
  ck_assert_uint_eq (spec.steps[1].required_label.len, 0);
  md_buf_append (&label, MD_STR ("2"));
  labels[0] = md_buf_str (&label);
  labels[1] = spec.steps[0].affinity;
  others = md_traits_new (MD_STR ("i-1"), MD_STR ("s"), labels, 2);
  labels[0] = spec.steps[0].required_label;
  traits = md_traits_new (MD_STR ("i-1"), MD_STR ("s"), labels, 2);
  ck_assert (md_traits_have (traits, spec.steps[0].required_label));
  ck_assert (!md_traits_have (others, spec.steps[0].required_label));
  ck_assert (!md_traits_equal (traits, others));
  ck_assert (md_str_equal (md_traits_rack (others), spec.steps[0].affinity));
  md_traits_unref (traits);
  md_traits_unref (others);
  md_run_spec_clear (&spec);
}
END_TEST

/* Guards against a run that begins anew, or a worker that counts as denied, because the checkpoint
   or the permit is long. */
START_TEST (checkpoints_and_permits_are_kept)
{
  MD_AUTO_BUF text = text_of ("c", 'c', 600);
  MD_AUTO_BUF body = { 0 };
  MdHoldResponse held;
  MdAdvice advice = { 0 };

  md_buf_printf (&body,
                 "{\"born\":1,\"running\":[],\"finished\":[[1,\"5c.0.0.0\",1,\"failed\",\"%s1\"],"
                 "[2,\"5c.0.0.1\",1,\"failed\",\"%s2\"],[3,\"5c.0.0.2\",1,\"failed\",\"\"]]}",
                 text.data, text.data);
  ck_assert_int_eq (md_platform_parse_hold_response (md_buf_str (&body), &held, NULL), MD_OK);
  ck_assert_uint_eq (held.n_ends, 3);
  ck_assert_uint_eq (strlen (held.ends[0].checkpoint), 601);
  ck_assert_str_ne (held.ends[0].checkpoint, held.ends[1].checkpoint);
  ck_assert_ptr_null (held.ends[2].checkpoint);
  md_hold_response_clear (&held);

  ck_assert_int_eq (md_advice_set (&advice, 7, md_buf_str (&text), MD_SECOND, 1), MD_OK);
  ck_assert_str_eq (md_advice_permit (&advice, 7, 2), text.data);
  ck_assert_int_eq (md_advice_set (&advice, 7, MD_STR (""), MD_SECOND, 1), MD_OK);
  ck_assert_ptr_null (md_advice_permit (&advice, 7, 2));
  md_advice_clear (&advice);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("routes");

  tcase_add_loop_test (tc, texts_of_any_length_are_kept, 0, 10);
  tcase_add_test (tc, texts_that_differ_at_the_end_stay_apart);
  tcase_add_test (tc, queue_without_a_name_has_that_of_its_prefix);
  tcase_add_test (tc, route_that_cannot_be_read_is_counted);
  tcase_add_test (tc, longest_prefix_of_the_host_is_found);
  tcase_add_test (tc, route_outlives_its_table);
  tcase_add_loop_test (tc, worker_has_all_its_labels, 0, 6);
  tcase_add_test (tc, label_of_another_type_keeps_its_place);
  tcase_add_test (tc, job_has_its_labels);
  tcase_add_test (tc, checkpoints_and_permits_are_kept);
  return run_suite ("long-texts", tc);
}
