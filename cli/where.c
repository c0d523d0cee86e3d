/* where.c -- asks an entry where a job would go now, and why

   Nothing is sent to a worker and nothing is reserved; the answer holds for the moment in which it
   is given. */

#include "http-client.h"
#include "json-text.h"

#include <popt.h>
#include <stdio.h>

#define DEFAULT_TIMEOUT_MS 5000
#define MAX_JOB_BYTES (256u << 10) /* as the entry accepts */
#define MAX_ANSWER_BYTES (16u << 20)

typedef struct
{
  char *server;    /* metrics_address of an entry */
  char *path;      /* to which the job would be sent */
  char *host;      /* the same */
  int patience_ms; /* how long its caller would wait; 0 not stated */
  int timeout_ms;  /* for the answer */
  int json;        /* print the answer as it is */
} Options;

static int
read_job (const char *path, MdBuf *out)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "rb");
  char chunk[16384];
  size_t n;
  bool failed;
  json_t *root;

  if (file == NULL)
    {
      fprintf (stderr, "mulberrydrift: %s: cannot be read\n", path);
      return MD_E_IO;
    }
  while (out->len <= MAX_JOB_BYTES && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    md_buf_append (out, md_str_n (chunk, n));
  failed = ferror (file) != 0;
  if (file != stdin)
    fclose (file);
  if (failed || out->len > MAX_JOB_BYTES)
    {
      fprintf (stderr, "mulberrydrift: %s: %s\n", path,
               failed ? "cannot be read" : "longer than 256 KiB");
      return MD_E_IO;
    }
  root = md_json_load (md_buf_str (out), 0, NULL);
  if (!json_is_object (root))
    {
      json_decref (root);
      fprintf (stderr, "mulberrydrift: %s: not a JSON object\n", path);
      return MD_E_INVALID;
    }
  json_decref (root);
  return MD_OK;
}

/* Appends a value of a query; other characters than those of names and paths are escaped. */
static void
append_value (MdBuf *out, const char *text)
{
  static const char plain[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/:";

  for (; *text != '\0'; text++)
    if (strchr (plain, *text) != NULL)
      md_buf_append (out, md_str_n (text, 1));
    else
      md_buf_printf (out, "%%%02X", (unsigned char)*text);
}

static long long
number (const json_t *object, const char *key)
{
  return (long long)json_integer_value (json_object_get (object, key));
}

static const char *
text (const json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));

  return value != NULL ? value : "-";
}

static void
print_step (const json_t *step)
{
  const json_t *workers = json_object_get (step, "workers");
  const json_t *placements = json_object_get (step, "placements");

  printf ("step %lld: %lld tasks, %s\n", number (step, "step"), number (step, "tasks"),
          text (step, "state"));
  if (workers == NULL)
    return;
  printf ("  expected run time %lld ms, preferred rack %s\n", number (step, "expected_ms"),
          text (step, "preferred_rack")[0] != '\0' ? text (step, "preferred_rack") : "none");
  printf ("  workers considered %lld, without full reports %lld\n",
          number (step, "workers_considered"), number (step, "workers_sparse"));
  printf ("    %-24s %-12s %8s %8s %8s %6s %8s\n", "guard", "rack", "wait_ms", "run_ms", "cost_ms",
          "fit", "age_ms");
  for (size_t i = 0; i < json_array_size (workers); i++)
    {
      const json_t *worker = json_array_get (workers, i);

      printf ("    %-24s %-12s %8lld %8lld %8lld %6s %8lld\n", text (worker, "guard"),
              text (worker, "rack"), number (worker, "wait_ms"), number (worker, "run_ms"),
              number (worker, "cost_ms"), text (worker, "fit"), number (worker, "report_age_ms"));
    }
  for (size_t i = 0; i < json_array_size (placements); i++)
    {
      const json_t *task = json_array_get (placements, i);

      printf ("  task %lld -> %s wait_ms=%lld run_ms=%lld near=%s near_wait_ms=%lld "
              "report_age_ms=%lld\n",
              number (task, "task"), text (task, "guard"), number (task, "wait_ms"),
              number (task, "run_ms"), text (task, "near"), number (task, "near_wait_ms"),
              number (task, "report_age_ms"));
    }
  if (number (step, "placed") < number (step, "tried"))
    printf ("  %lld tasks of %lld find no worker now\n",
            number (step, "tried") - number (step, "placed"), number (step, "tried"));
  else if (number (step, "tried") < number (step, "tasks"))
    printf ("  only %lld tasks were tried\n", number (step, "tried"));
}

static void
print_answer (const json_t *root)
{
  const json_t *route = json_object_get (root, "route");
  const json_t *admission = json_object_get (root, "admission");
  const json_t *configuration = json_object_get (root, "configuration");
  const json_t *steps = json_object_get (root, "steps");

  printf ("queue %s (host %s, prefix %s), pool %s\n", text (route, "queue"), text (route, "host"),
          text (route, "prefix"), text (route, "pool"));
  printf ("configuration version %lld, read %lld ms ago\n", number (configuration, "version"),
          number (configuration, "age_ms"));
  if (json_is_true (json_object_get (route, "asks_advisor")))
    puts ("the queue asks an advisory service, which was not asked: workers may be excluded");
  printf ("admission: %s, %s\n", text (admission, "decision"), text (admission, "reason"));
  printf ("  forecast_ms=%lld goal_ms=%lld limit_ms=%lld backlog_ms=%lld wait_bound_ms=%lld "
          "demand=%.2f lag_ms=%lld\n",
          number (admission, "forecast_ms"), number (admission, "goal_ms"),
          number (admission, "limit_ms"), number (admission, "backlog_ms"),
          number (admission, "wait_bound_ms"),
          json_number_value (json_object_get (admission, "demand")), number (admission, "lag_ms"));
  for (size_t i = 0; i < json_array_size (steps); i++)
    print_step (json_array_get (steps, i));
}

static int
print_response (const Options *options, const MdHttpResponse *response)
{
  json_t *root = md_json_load (md_buf_str (&response->body), 0, NULL);
  int code = MD_EXIT_FAILED;

  if (response->status != 200 && json_is_string (json_object_get (root, "error")))
    fprintf (stderr, "mulberrydrift: %s: %s\n", options->server, text (root, "error"));
  else if (response->status != 200 || !json_is_object (json_object_get (root, "admission")))
    fprintf (stderr,
             "mulberrydrift: %s: status %d without an answer; is this the metrics_address "
             "of a run-entry?\n",
             options->server, response->status);
  else
    {
      if (options->json)
        printf ("%.*s\n", (int)response->body.len, response->body.data);
      else
        print_answer (root);
      code = strcmp (text (json_object_get (root, "admission"), "decision"), "reject") == 0
                 ? MD_EXIT_REFUSED
                 : MD_EXIT_OK;
    }
  json_decref (root);
  return code;
}

static int
ask (const Options *options, const char *file)
{
  MD_AUTO_BUF body = { 0 };
  MD_AUTO_BUF path = { 0 };
  MdHttpResponse response = { 0 };
  MdError error = { 0 };
  int code;

  if (read_job (file, &body) != MD_OK)
    return MD_EXIT_FAILED;
  md_buf_append (&path, MD_STR ("/where?path="));
  append_value (&path, options->path);
  md_buf_append (&path, MD_STR ("&host="));
  append_value (&path, options->host);
  md_buf_printf (&path, "&timeout_ms=%d", options->patience_ms);
  if (md_http_call (&(MdHttpRequest){ .address = options->server,
                                      .method = "POST",
                                      .path = path.data,
                                      .body = md_buf_str (&body),
                                      .timeout = options->timeout_ms * MD_MS,
                                      .max_bytes = MAX_ANSWER_BYTES },
                    &response, &error)
      != MD_OK)
    {
      fprintf (stderr, "mulberrydrift: %s %s: %s\n", error.step, error.peer, error.detail);
      code = MD_EXIT_FAILED;
    }
  else
    code = print_response (options, &response);
  md_http_response_clear (&response);
  return code;
}

/* Reads the options; of one that is given twice, the last counts. Returns the code of popt for the
   end of the options, or an error. */
static int
read_options (poptContext context, Options *o)
{
  int code;

  while ((code = poptGetNextOpt (context)) > 0)
    {
      char **field = code == 's' ? &o->server : code == 'p' ? &o->path : &o->host;

      free (*field);
      *field = poptGetOptArg (context);
    }
  return code;
}

int
md_where_main (int argc, const char **argv)
{
  Options o = { .timeout_ms = DEFAULT_TIMEOUT_MS };
  struct poptOption table[] = {
    { "server", 's', POPT_ARG_STRING, NULL, 's', "metrics_address of a run-entry", "IP:PORT" },
    { "path", 'p', POPT_ARG_STRING, NULL, 'p', "path to which the job would be sent", "PATH" },
    { "host", 'H', POPT_ARG_STRING, NULL, 'H', "host to which the job would be sent", "HOST" },
    { "patience", 0, POPT_ARG_INT, &o.patience_ms, 0, "how long its caller would wait",
      "MILLISECONDS" },
    { "timeout", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.timeout_ms, 0,
      "longest wait for the answer", "MILLISECONDS" },
    { "json", 'j', POPT_ARG_NONE, &o.json, 0, "print the answer as JSON", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext ("mulberrydrift where", argc, argv, table, 0);
  const char *file;
  int code;

  poptSetOtherOptionHelp (context, "[OPTION...] FILE|-");
  code = read_options (context, &o);
  file = poptGetArg (context);
  if (code < -1 || file == NULL || poptPeekArg (context) != NULL || o.server == NULL
      || o.path == NULL || o.host == NULL || o.timeout_ms <= 0 || o.patience_ms < 0)
    {
      poptPrintUsage (context, stderr, 0);
      code = MD_EXIT_USAGE;
    }
  else
    code = ask (&o, file);
  poptFreeContext (context);
  free (o.server);
  free (o.path);
  free (o.host);
  return code;
}
