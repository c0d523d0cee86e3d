/* check-routes.c -- checks a configuration of the operator before it is put into the store

   Reads the file as an entry reads the record. Lines about routes that an entry would ignore go to
   standard error, as in its log. */

#include "log-line.h"
#include "platform.h"
#include "process.h"

#include <stdio.h>
#include <unistd.h>

int
md_check_routes_main (int argc, const char **argv)
{
  MD_AUTO_BUF text = { 0 };
  MdError error = { 0 };
  MdRoutes *routes;
  bool complete;

  if (argc != 2 || argv[1][0] == '-')
    {
      fputs ("usage: mulberrydrift check-routes FILE\n", stderr);
      return MD_EXIT_USAGE;
    }
  md_log_open (STDERR_FILENO, argv[0], MD_LOG_WARN);
  if (md_line_read_files (&text, (const char *[]){ argv[1], NULL }, &error) != MD_OK
      || (routes = md_platform_parse_config (md_buf_str (&text), &error)) == NULL)
    {
      printf ("%s: %s\n", argv[1], error.detail);
      return MD_EXIT_FAILED;
    }
  printf ("version %llu: %zu routes, %zu ignored\n", (unsigned long long)routes->version, routes->n,
          routes->n_ignored);
  complete = routes->n_ignored == 0;
  md_routes_free (routes);
  return complete ? MD_EXIT_OK : MD_EXIT_FAILED;
}
