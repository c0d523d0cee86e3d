/* submit.c -- the callers' client: submit a job, fetch or cancel one

   The submission id is a fresh UUIDv7 unless one is given, and is printed before
   the job is sent, so that a caller whose connection breaks can submit the same
   job again under the same id. */

#include "http-client.h"
#include "json-text.h"

#include <popt.h>
#include <stdio.h>

#define DEFAULT_TIMEOUT_MS 60000

typedef struct
{
  char *server;   /* ip:port of an entry */
  char *token;    /* bearer token of the customer */
  char *id;       /* submission id */
  char *pool;     /* for get and cancel */
  int get;        /* fetch the answer of a known job */
  int cancel;     /* cancel a known job */
  int timeout_ms; /* for the answer */
} Options;

static int
exit_code (int status, MdStr body)
{
  json_t *root;
  const char *outcome;
  int code = MD_EXIT_FAILED;

  if (status >= 200 && status < 300)
    return MD_EXIT_OK;
  root = md_json_load (body, 0, NULL);
  outcome = json_string_value (json_object_get (root, "outcome"));
  if (outcome != NULL && strcmp (outcome, "not_run") == 0)
    code = MD_EXIT_REFUSED;
  else if (outcome != NULL && strcmp (outcome, "unknown") == 0)
    code = MD_EXIT_UNKNOWN;
  json_decref (root);
  return code;
}

static int
call (const Options *options, const char *method, const char *path, const char *headers, MdStr body)
{
  MdHttpRequest request = { .address = options->server,
                            .method = method,
                            .path = path,
                            .token = options->token,
                            .headers = headers,
                            .body = body,
                            .timeout = options->timeout_ms * MD_MS };
  MdHttpResponse response = { 0 };
  MdError error = { 0 };
  int code;

  if (md_http_call (&request, &response, &error) != MD_OK)
    {
      fprintf (stderr, "mulberrydrift: %s %s: %s\n", error.step, error.peer, error.detail);
      md_http_response_clear (&response);
      return MD_EXIT_UNKNOWN;
    }
  code = exit_code (response.status, md_buf_str (&response.body));
  fwrite (response.body.data, 1, response.body.len, code == MD_EXIT_OK ? stdout : stderr);
  md_http_response_clear (&response);
  return code;
}

static int
read_input (const char *path, MdBuf *out)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "rb");
  char chunk[16384];
  size_t n;

  if (file == NULL)
    {
      fprintf (stderr, "mulberrydrift: %s: cannot be read\n", path);
      return MD_E_IO;
    }
  while ((n = fread (chunk, 1, sizeof chunk, file)) > 0)
    md_buf_append (out, md_str_n (chunk, n));
  if (file != stdin)
    fclose (file);
  return MD_OK;
}

static int
submit_file (const Options *options, const char *path)
{
  MD_AUTO_BUF body = { 0 };
  MD_AUTO_BUF headers = { 0 };
  char made[37];
  const char *id = options->id;

  if (read_input (path, &body) != MD_OK)
    return MD_EXIT_FAILED;
  if (id == NULL)
    {
      md_uuid7 (made);
      id = made;
    }
  fprintf (stderr, "id %s\n", id);
  md_buf_printf (&headers, "Idempotency-Key: %s\r\n", id);
  return call (options, "POST", "/v1/jobs", headers.data, md_buf_str (&body));
}

static int
known_job (const Options *options)
{
  MD_AUTO_BUF path = { 0 };

  if (options->id == NULL || options->pool == NULL)
    {
      fputs ("mulberrydrift: --get and --cancel need --id and --pool\n", stderr);
      return MD_EXIT_USAGE;
    }
  md_buf_printf (&path, "/v1/jobs/%s?pool=%s&wait_ms=%d", options->id, options->pool,
                 options->get ? options->timeout_ms : 0);
  return call (options, options->get ? "GET" : "DELETE", path.data, NULL, MD_STR (""));
}

int
md_submit_main (int argc, const char **argv)
{
  Options o = { .timeout_ms = DEFAULT_TIMEOUT_MS };
  struct poptOption table[]
      = { { "server", 's', POPT_ARG_STRING, &o.server, 0, "an entry", "IP:PORT" },
          { "token", 't', POPT_ARG_STRING, &o.token, 0, "customer's token (or MULBERRYDRIFT_TOKEN)",
            "TOKEN" },
          { "id", 'i', POPT_ARG_STRING, &o.id, 0, "submission id", "ID" },
          { "pool", 'p', POPT_ARG_STRING, &o.pool, 0, "pool, for --get and --cancel", "POOL" },
          { "get", 'g', POPT_ARG_NONE, &o.get, 0, "fetch the answer of a job", NULL },
          { "cancel", 'c', POPT_ARG_NONE, &o.cancel, 0, "cancel a job", NULL },
          { "timeout", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.timeout_ms, 0,
            "longest wait for the answer", "MILLISECONDS" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift submit", argc, argv, table, 0);
  const char *token = getenv ("MULBERRYDRIFT_TOKEN");
  const char *path;
  int code;

  poptSetOtherOptionHelp (context, "[OPTION...] FILE|-");
  code = poptGetNextOpt (context);
  path = poptGetArg (context);
  if (o.token == NULL && token != NULL)
    o.token = strdup (token);
  if (code < -1 || o.server == NULL || o.token == NULL || (path == NULL) != (o.get || o.cancel))
    {
      poptPrintUsage (context, stderr, 0);
      code = MD_EXIT_USAGE;
    }
  else
    code = path != NULL ? submit_file (&o, path) : known_job (&o);
  poptFreeContext (context);
  free (o.server);
  free (o.token);
  free (o.id);
  free (o.pool);
  return code;
}
