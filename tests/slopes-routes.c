/* slopes-routes.c -- cost of a configuration by the number of its routes

   The texts have the lengths that the platform's configurations have. The memory is what a table
   keeps after it has been read. */

#include "slopes.h"

#include "platform.h"

#include <malloc.h>

enum
{
  ROUNDS = 5,
  REQUESTS = 20000,
};

static MdBuf
make_config (size_t n)
{
  MdBuf text = { 0 };

  md_buf_append (&text, MD_STR ("{\"version\":4,\"services\":[],\"limits\":{},\"routes\":["));
  for (size_t i = 0; i < n; i++)
    md_buf_printf (&text,
                   "%s{\"name\":\"queue-%zu\",\"host\":\"nony24.example\",\"path_prefix\":"
                   "\"/lohu%05zu/\",\"service\":\"huvo11a\",\"timeout_ms\":8000,\"priority\":1,"
                   "\"max_attempts\":3,\"slack_factor\":4,\"target_latency_ms\":60}",
                   i > 0 ? "," : "", i, i);
  md_buf_append (&text, MD_STR ("]}"));
  require (!text.failed, "configuration");
  return text;
}

static MdRoutes *
read_config (MdStr text)
{
  MdRoutes *routes = md_platform_parse_config (text, NULL);

  require (routes != NULL, "routes");
  return routes;
}

static void
measure_routes (size_t n)
{
  MD_AUTO_BUF text = make_config (n);
  MdRoutes *routes = read_config (md_buf_str (&text));
  size_t before;
  Mark start;

  md_routes_free (routes);
  malloc_trim (0);
  before = mallinfo2 ().uordblks;
  start = mark ();
  for (int i = 0; i < ROUNDS; i++)
    {
      routes = read_config (md_buf_str (&text));
      if (i < ROUNDS - 1)
        md_routes_free (routes);
    }
  report_time ("routes", "read", n, start, (double)n * ROUNDS);
  report ("routes", "memory", n, (double)(mallinfo2 ().uordblks - before) / (double)n, "bytes");
  start = mark ();
  for (int i = 0; i < REQUESTS; i++)
    {
      char path[48];

      snprintf (path, sizeof path, "/lohu%05zu/5c0e7a21d94b36f8", (size_t)i * 7919 % n);
      require (md_routes_find (routes, MD_STR ("nony24.example"), md_str (path)) != NULL, "route");
    }
  report_time ("routes", "find", n, start, REQUESTS);
  md_routes_free (routes);
}

int
main (void)
{
  EACH (measure_routes, 100, 1000, 10000);
  return 0;
}
