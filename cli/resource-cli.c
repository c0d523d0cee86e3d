/* resource-cli.c -- sub-commands get, apply, delete, watch and status

   A change always names the version it replaces. apply without a version reads
   the current one first, so of two operators who apply at the same time one is
   refused and sees it. A file is checked as a whole before the first document is
   sent. */

#include "http-client.h"
#include "json-text.h"
#include "resource-private.h"

#include <popt.h>
#include <stdio.h>
#include <unistd.h>

/* The server answers a change within ten seconds and writes to a watch at least
   every five. */
#define ANSWER_TIMEOUT (20 * MD_SECOND)

typedef struct
{
  const char *server; /* operator address of any entry */
  const char *token;  /* bearer token */
  bool json;          /* print JSON as received */
  const char **args;  /* after the options; NULL-terminated */
  size_t n_args;      /* of these */
  const char *since;  /* watch: version to resume from */
  uint64_t version;   /* delete: expected version, 0 the current one */
} Cli;

/* One exchange. condition: a header line that ends in CRLF, NULL none. */
static int
call (const Cli *cli, const char *method, const char *path, const char *condition, MdStr body,
      MdHttpResponse *answer, MdError *error)
{
  MdHttpRequest request = { .address = cli->server,
                            .method = method,
                            .path = path,
                            .token = cli->token,
                            .headers = condition,
                            .body = body,
                            .timeout = ANSWER_TIMEOUT };

  return md_http_call (&request, answer, error);
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "";
}

static uint64_t
number_of (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

/* ------------------------------------------------------------------ */
/* Outcomes                                                            */

static void
print_problem (const char *what, const MdHttpResponse *answer, const MdError *error)
{
  json_t *root = md_http_response_json (answer);
  const char *detail = text_of (root, "detail");

  if (answer->status == 0)
    fprintf (stderr, "%s: %s %s: %s\n", what, error->step, error->peer, error->detail);
  else
    fprintf (stderr, "%s: %d %s\n", what, answer->status, *detail ? detail : "(no reason given)");
  json_decref (root);
}

/* Exit code of a change: a lost answer leaves its outcome unknown. */
static int
change_exit (const MdHttpResponse *answer)
{
  if (answer->status >= 200 && answer->status < 300)
    return MD_EXIT_OK;
  if (answer->status == 504 || (answer->status == 0 && answer->sent))
    return MD_EXIT_UNKNOWN;
  return answer->status == 0 ? MD_EXIT_FAILED : MD_EXIT_REFUSED;
}

/* ------------------------------------------------------------------ */
/* get                                                                 */

static void
print_row (const json_t *item)
{
  const json_t *value = json_object_get (item, "spec");
  const char *who = text_of (item, "actor");
  md_autofree char *text = NULL;

  if (value == NULL)
    value = json_object_get (item, "status");
  if (*who == '\0')
    who = text_of (item, "customer");
  text = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS) : NULL;
  printf ("%-32s %12llu %-16s %s\n", text_of (item, "name"),
          (unsigned long long)number_of (item, "version"), *who ? who : "-", text ? text : "-");
}

static void
print_items (const Cli *cli, const MdHttpResponse *answer)
{
  json_t *root = md_http_response_json (answer);
  const json_t *items = json_object_get (root, "items");
  size_t index;
  json_t *item;

  if (cli->json)
    {
      printf ("%.*s\n", (int)answer->body.len, answer->body.data);
      json_decref (root);
      return;
    }
  printf ("%-32s %12s %-16s %s\n", "NAME", "VERSION", "BY", "CONTENT");
  if (items == NULL)
    print_row (root);
  json_array_foreach ((json_t *)items, index, item)
  {
    print_row (item);
  }
  json_decref (root);
}

static int
get_path (const Cli *cli, const char *kind, const char *name, MdHttpResponse *answer,
          MdError *error)
{
  char path[256];

  snprintf (path, sizeof path, "/v1/resources/%s%s%s", kind, name ? "/" : "", name ? name : "");
  return call (cli, "GET", path, NULL, MD_STR (""), answer, error);
}

static int
run_get (const Cli *cli)
{
  MdHttpResponse answer = { 0 };
  MdError error = { 0 };
  int status = MD_EXIT_OK;

  get_path (cli, cli->args[0], cli->n_args > 1 ? cli->args[1] : NULL, &answer, &error);
  if (answer.status == 200)
    print_items (cli, &answer);
  else
    {
      print_problem ("get", &answer, &error);
      status = MD_EXIT_FAILED;
    }
  md_buf_clear (&answer.body);
  return status;
}

/* ------------------------------------------------------------------ */
/* apply                                                               */

typedef enum
{
  CURRENT_ABSENT,
  CURRENT_SAME,
  CURRENT_DIFFERS,
  CURRENT_UNREADABLE,
} Current;

/* Reads the resource as it is, to find the version to replace. */
static Current
read_current (const Cli *cli, const ResourceDocument *document, uint64_t *version)
{
  MdHttpResponse answer = { 0 };
  MdError error = { 0 };
  Current current = CURRENT_UNREADABLE;
  json_t *root;

  get_path (cli, document->kind, document->name, &answer, &error);
  root = md_http_response_json (&answer);
  if (answer.status == 404)
    current = CURRENT_ABSENT;
  else if (answer.status == 200)
    current = json_equal (json_object_get (root, "spec"), document->spec) ? CURRENT_SAME
                                                                          : CURRENT_DIFFERS;
  else
    print_problem (document->name, &answer, &error);
  *version = number_of (root, "version");
  json_decref (root);
  md_buf_clear (&answer.body);
  return current;
}

static int
put_document (const Cli *cli, const ResourceDocument *document, uint64_t version)
{
  MdHttpResponse answer = { 0 };
  MdError error = { 0 };
  char path[256];
  char condition[64] = "If-None-Match: *\r\n";
  json_t *root = json_pack ("{s:O}", "spec", document->spec);
  md_autofree char *body = json_dumps (root, JSON_COMPACT);
  int status;

  if (version > 0)
    snprintf (condition, sizeof condition, "If-Match: \"%llu\"\r\n", (unsigned long long)version);
  snprintf (path, sizeof path, "/v1/resources/%s/%s", document->kind, document->name);
  call (cli, "PUT", path, condition, md_str (body), &answer, &error);
  status = change_exit (&answer);
  if (status == MD_EXIT_OK)
    printf ("%s/%s %s version=%llu\n", document->kind, document->name,
            version > 0 ? "replaced" : "created", (unsigned long long)answer.version);
  else
    print_problem (document->name, &answer, &error);
  json_decref (root);
  md_buf_clear (&answer.body);
  return status;
}

static int
apply_document (const Cli *cli, const ResourceDocument *document)
{
  uint64_t version = document->version;

  if (document->has_version)
    return put_document (cli, document, version);
  switch (read_current (cli, document, &version))
    {
    case CURRENT_ABSENT:
      return put_document (cli, document, 0);
    case CURRENT_DIFFERS:
      return put_document (cli, document, version);
    case CURRENT_SAME:
      printf ("%s/%s unchanged version=%llu\n", document->kind, document->name,
              (unsigned long long)version);
      return MD_EXIT_OK;
    default:
      return MD_EXIT_FAILED;
    }
}

static int
run_apply (const Cli *cli)
{
  MD_AUTO_BUF faults = { 0 };
  ResourceDocument *documents;
  size_t n;
  int status = MD_EXIT_OK;

  if (resource_load (cli->args[0], &documents, &n, &faults) != MD_OK)
    {
      fputs (faults.len > 0 ? faults.data : "out of memory\n", stderr);
      status = MD_EXIT_FAILED;
    }
  for (size_t i = 0; status == MD_EXIT_OK && i < n; i++)
    status = apply_document (cli, &documents[i]);
  resource_documents_free (documents, n);
  return status;
}

/* ------------------------------------------------------------------ */
/* delete                                                              */

static int
run_delete (const Cli *cli)
{
  ResourceDocument document = { 0 };
  MdHttpResponse answer = { 0 };
  MdError error = { 0 };
  uint64_t version = cli->version;
  char path[256];
  char condition[64];
  int status;

  md_str_copy (document.kind, sizeof document.kind, md_str (cli->args[0]));
  md_str_copy (document.name, sizeof document.name, md_str (cli->args[1]));
  if (version == 0)
    {
      Current current = read_current (cli, &document, &version);

      if (current == CURRENT_ABSENT)
        fprintf (stderr, "%s/%s does not exist\n", document.kind, document.name);
      if (current == CURRENT_ABSENT || current == CURRENT_UNREADABLE)
        return MD_EXIT_FAILED;
    }
  snprintf (path, sizeof path, "/v1/resources/%s/%s", document.kind, document.name);
  snprintf (condition, sizeof condition, "If-Match: \"%llu\"\r\n", (unsigned long long)version);
  call (cli, "DELETE", path, condition, MD_STR (""), &answer, &error);
  status = change_exit (&answer);
  if (status == MD_EXIT_OK)
    printf ("%s/%s deleted version=%llu\n", document.kind, document.name,
            (unsigned long long)answer.version);
  else
    print_problem (document.name, &answer, &error);
  md_buf_clear (&answer.body);
  return status;
}

/* ------------------------------------------------------------------ */
/* watch                                                               */

typedef struct
{
  const Cli *cli;   /* options */
  uint64_t version; /* to resume from */
  bool too_old;     /* the server has dropped changes */
} WatchState;

static void
print_change (const json_t *change)
{
  printf ("%-8s ", text_of (change, "type"));
  print_row (change);
}

static bool
on_line (void *user, MdStr line)
{
  WatchState *state = user;
  json_t *change = md_json_load (line, 0, NULL);
  const char *type = text_of (change, "type");

  if (json_object_get (change, "version") != NULL)
    state->version = number_of (change, "version");
  state->too_old = strcmp (type, "error") == 0;
  if (!state->too_old && strcmp (type, "bookmark") != 0)
    {
      if (state->cli->json)
        printf ("%.*s\n", (int)line.len, line.data);
      else
        print_change (change);
      fflush (stdout);
    }
  json_decref (change);
  return !state->too_old;
}

/* Without a version to resume from, the list is printed first. */
static int
start_watch (const Cli *cli, WatchState *state)
{
  MdHttpResponse answer = { 0 };
  MdError error = { 0 };
  json_t *root;
  int status = MD_EXIT_OK;

  if (cli->since != NULL)
    {
      state->version = strtoull (cli->since, NULL, 10);
      return MD_EXIT_OK;
    }
  get_path (cli, cli->args[0], NULL, &answer, &error);
  root = md_http_response_json (&answer);
  state->version = number_of (root, "version");
  if (answer.status == 200)
    print_items (cli, &answer);
  else
    {
      print_problem ("watch", &answer, &error);
      status = MD_EXIT_FAILED;
    }
  fflush (stdout);
  json_decref (root);
  md_buf_clear (&answer.body);
  return status;
}

static int
run_watch (const Cli *cli)
{
  WatchState state = { .cli = cli };
  int status = start_watch (cli, &state);

  while (status == MD_EXIT_OK && !state.too_old)
    {
      MdHttpRequest request;
      MdHttpResponse answer = { 0 };
      MdError error = { 0 };
      char path[256];

      snprintf (path, sizeof path, "/v1/resources/%s?watch=%llu", cli->args[0],
                (unsigned long long)state.version);
      request = (MdHttpRequest){ .address = cli->server,
                                 .method = "GET",
                                 .path = path,
                                 .token = cli->token,
                                 .timeout = ANSWER_TIMEOUT,
                                 .on_line = on_line,
                                 .user = &state };
      md_http_call (&request, &answer, &error);
      if (answer.status != 0 && answer.status != 200 && answer.status != 503)
        {
          print_problem ("watch", &answer, &error);
          status = MD_EXIT_FAILED;
        }
      md_buf_clear (&answer.body);
      if (status == MD_EXIT_OK && !state.too_old)
        usleep (200000 + (useconds_t)(md_random () % 800000));
    }
  if (state.too_old)
    fputs ("watch: changes were missed; start again without --since\n", stderr);
  return MD_EXIT_FAILED;
}

/* ------------------------------------------------------------------ */
/* status                                                              */

static int
run_status (const Cli *cli)
{
  static const char *const kinds[] = { "entry", "upstream", "pool" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (kinds); i++)
    {
      MdHttpResponse answer = { 0 };
      MdError error = { 0 };
      int http;

      get_path (cli, kinds[i], NULL, &answer, &error);
      http = answer.status;
      if (http != 200)
        print_problem ("status", &answer, &error);
      else if (!cli->json)
        printf ("%s%s:\n", i > 0 ? "\n" : "", kinds[i]);
      if (http == 200)
        print_items (cli, &answer);
      md_buf_clear (&answer.body);
      if (http != 200)
        return MD_EXIT_FAILED;
    }
  return MD_EXIT_OK;
}

/* ------------------------------------------------------------------ */
/* Command line                                                        */

typedef struct
{
  const char *name;            /* sub-command */
  const char *usage;           /* its arguments */
  size_t min_args;             /* fewest */
  size_t max_args;             /* most */
  int (*run) (const Cli *cli); /* returns the exit code */
} Command;

static const Command commands[] = {
  { "get", "KIND [NAME]", 1, 2, run_get },     { "apply", "FILE.yaml", 1, 1, run_apply },
  { "delete", "KIND NAME", 2, 2, run_delete }, { "watch", "KIND", 1, 1, run_watch },
  { "status", "", 0, 0, run_status },
};

static const Command *
find_command (const char *name)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (commands); i++)
    {
      if (strcmp (commands[i].name, name) == 0)
        return &commands[i];
    }
  return NULL;
}

/* A kind or name goes into a request path, so nothing else may pass. */
static bool
plain_argument (const char *text)
{
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:")
             == strlen (text)
         && strlen (text) < 128;
}

static bool
check_arguments (const Command *command, const Cli *cli)
{
  if (cli->n_args < command->min_args || cli->n_args > command->max_args)
    return false;
  if (cli->args == NULL)
    return true;
  for (size_t i = 0; command->run != run_apply && i < cli->n_args; i++)
    {
      if (!plain_argument (cli->args[i]))
        return false;
    }
  return true;
}

static int
run_command (const Command *command, poptContext pc, Cli *cli, const char *server,
             const char *output)
{
  cli->args = poptGetArgs (pc);
  while (cli->args != NULL && cli->args[cli->n_args] != NULL)
    cli->n_args++;
  if (!check_arguments (command, cli)
      || (strcmp (output, "json") != 0 && strcmp (output, "table") != 0))
    {
      poptPrintUsage (pc, stderr, 0);
      return MD_EXIT_USAGE;
    }
  if (server == NULL || cli->token == NULL)
    {
      fputs ("--server IP:PORT and a token (--token or MULBERRYDRIFT_TOKEN) are needed\n", stderr);
      return MD_EXIT_USAGE;
    }
  cli->server = server;
  cli->json = strcmp (output, "json") == 0;
  return command->run (cli);
}

int
md_resource_main (int argc, const char **argv)
{
  const Command *command = find_command (argv[0]);
  Cli cli = { 0 };
  md_autofree char *server = NULL; /* popt allocates the values of options */
  md_autofree char *token = NULL;
  md_autofree char *output = NULL;
  md_autofree char *since = NULL;
  long long version = 0;
  struct poptOption options[] = {
    { "server", 's', POPT_ARG_STRING, &server, 0, "operator address of an entry", "IP:PORT" },
    { "token", 't', POPT_ARG_STRING, &token, 0, "bearer token (or MULBERRYDRIFT_TOKEN)", "TOKEN" },
    { "output", 'o', POPT_ARG_STRING, &output, 0, "table or json", "FORMAT" },
    { "since", 0, POPT_ARG_STRING, &since, 0, "watch: version to resume from", "VERSION" },
    { "version", 0, POPT_ARG_LONGLONG, &version, 0, "delete: expected version", "VERSION" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext pc;
  int rc;
  int status = MD_EXIT_USAGE;

  if (command == NULL)
    return MD_EXIT_USAGE;
  pc = poptGetContext (argv[0], argc, argv, options, 0);
  poptSetOtherOptionHelp (pc, command->usage);
  rc = poptGetNextOpt (pc);
  cli.token = token ? token : getenv ("MULBERRYDRIFT_TOKEN");
  cli.version = (uint64_t)version;
  cli.since = since;
  if (rc < -1)
    fprintf (stderr, "%s: %s: %s\n", argv[0], poptBadOption (pc, 0), poptStrerror (rc));
  else
    status = run_command (command, pc, &cli, server, output ? output : "table");
  poptFreeContext (pc);
  return status;
}
