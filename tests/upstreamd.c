/* upstreamd.c -- stand-in for an upstream

   Answers any request on any path. The query or the JSON body gives the run time
   and the shape of the answer: ms (run time at speed 1), status, bytes (size of
   the body). The run time is divided by --speed. When the query has j and n, they
   are returned as {"j":J,"n":N}, so that a caller can tell its own answers.

   The journal is the judge of double starts: one line "KEY TASK MS" per request
   that reached the handler, appended with one write before anything else.

   POST /control?mode=M sets the behaviour of all later requests: normal, fail
   (500 at once), hang (no answer until the mode changes), close (the connection is
   closed without an answer), slow (run times are multiplied by factor, default
   10). */

#include "json-text.h"
#include "md-private.h"

#include <civetweb.h>
#include <errno.h>
#include <fcntl.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define MAX_BODY ((size_t)16 << 20)
#define MAX_ANSWER ((size_t)64 << 20)
#define HANG_STEP_MS 20

typedef enum
{
  MODE_NORMAL,
  MODE_FAIL,
  MODE_HANG,
  MODE_CLOSE,
  MODE_SLOW,
} Mode;

static const char *const mode_names[] = { "normal", "fail", "hang", "close", "slow" };

typedef struct
{
  char *listen;          /* ip:port */
  char *journal;         /* path, NULL none */
  double speed;          /* run times are divided by it */
  int threads;           /* connections at a time */
  int keep_alive_ms;     /* idle connections are closed after this */
  int journal_fd;        /* -1 none */
  atomic_int mode;       /* Mode */
  _Atomic double factor; /* of mode slow */
  atomic_bool stopping;  /* ends hanging requests */
} Server;

typedef struct
{
  double ms;    /* run time at speed 1 */
  int status;   /* of the answer */
  size_t bytes; /* of the answer's body, 0 the default text */
} Plan;

static void
sleep_ms (double ms)
{
  struct timespec ts;

  if (ms <= 0)
    return;
  ts.tv_sec = (time_t)(ms / 1000);
  ts.tv_nsec = (long)((ms - (double)ts.tv_sec * 1000) * 1e6);
  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

static void
read_body (struct mg_connection *conn, MdBuf *body)
{
  char chunk[8192];
  int n;

  while (body->len < MAX_BODY && (n = mg_read (conn, chunk, sizeof chunk)) > 0)
    md_buf_append (body, md_str_n (chunk, (size_t)n));
}

static double
query_number (const char *query, const char *name, double fallback)
{
  char value[32];

  if (query == NULL || mg_get_var (query, strlen (query), name, value, sizeof value) <= 0)
    return fallback;
  return strtod (value, NULL);
}

static double
json_number (const json_t *object, const char *name, double fallback)
{
  const json_t *value = json_object_get (object, name);

  return json_is_number (value) ? json_number_value (value) : fallback;
}

static void
read_plan (const struct mg_request_info *info, const MdBuf *body, Plan *plan)
{
  json_t *object = body->len > 0 ? md_json_load (md_buf_str (body), 0, NULL) : NULL;
  double bytes;

  plan->ms = query_number (info->query_string, "ms", json_number (object, "ms", 0));
  plan->status
      = (int)query_number (info->query_string, "status", json_number (object, "status", 200));
  bytes = query_number (info->query_string, "bytes", json_number (object, "bytes", 0));
  plan->bytes = bytes < (double)MAX_ANSWER ? (size_t)bytes : MAX_ANSWER;
  json_decref (object);
}

static void
write_journal (const Server *server, struct mg_connection *conn)
{
  const char *key = mg_get_header (conn, "Mulberrydrift-Submission");
  const char *task = mg_get_header (conn, "Mulberrydrift-Task");
  char line[160];
  int n;

  if (server->journal_fd < 0)
    return;
  n = snprintf (line, sizeof line, "%s %s %lld\n", key ? key : "-", task ? task : "-",
                (long long)md_wall_ms ());
  if (write (server->journal_fd, line, (size_t)n) != n)
    abort (); /* a missing line would hide a double start */
}

/* Both values are written by tests and need no escapes. */
static bool
echo_query (struct mg_connection *conn, MdBuf *body)
{
  const char *query = mg_get_request_info (conn)->query_string;
  char job[64];
  char number[16];

  if (query == NULL || mg_get_var (query, strlen (query), "j", job, sizeof job) <= 0
      || mg_get_var (query, strlen (query), "n", number, sizeof number) <= 0)
    return false;
  md_buf_printf (body, "{\"j\":\"%s\",\"n\":%s}", job, number);
  return true;
}

static int
send_answer (struct mg_connection *conn, const char *method, const Plan *plan)
{
  MD_AUTO_BUF body = { 0 };
  bool json = false;

  if (plan->bytes == 0)
    json = echo_query (conn, &body);
  if (plan->bytes == 0 && !json)
    md_buf_append (&body, MD_STR ("ok\n"));
  else if (plan->bytes > 0 && md_buf_reserve (&body, plan->bytes))
    {
      memset (body.data, 'x', plan->bytes);
      body.len = plan->bytes;
    }
  mg_printf (conn,
             "HTTP/1.1 %d Stand-in\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "Connection: keep-alive\r\n\r\n",
             plan->status, json ? "application/json" : "text/plain", body.len);
  if (strcmp (method, "HEAD") != 0)
    mg_write (conn, body.data, body.len);
  return plan->status;
}

static void
hang (Server *server)
{
  while (atomic_load (&server->mode) == MODE_HANG && !atomic_load (&server->stopping))
    sleep_ms (HANG_STEP_MS);
}

static int
handle_request (struct mg_connection *conn, void *data)
{
  Server *server = data;
  const struct mg_request_info *info = mg_get_request_info (conn);
  MD_AUTO_BUF body = { 0 };
  Plan plan;

  read_body (conn, &body);
  write_journal (server, conn);
  read_plan (info, &body, &plan);
  switch ((Mode)atomic_load (&server->mode))
    {
    case MODE_CLOSE:
      mg_disable_connection_keep_alive (conn);
      return 500; /* nothing was written; the connection ends */
    case MODE_FAIL:
      plan.status = 500;
      return send_answer (conn, info->request_method, &plan);
    case MODE_HANG:
      hang (server);
      break;
    case MODE_SLOW:
      plan.ms *= atomic_load (&server->factor);
      break;
    case MODE_NORMAL:
      break;
    }
  sleep_ms (plan.ms / server->speed);
  return send_answer (conn, info->request_method, &plan);
}

static int
handle_control (struct mg_connection *conn, void *data)
{
  Server *server = data;
  const char *query = mg_get_request_info (conn)->query_string;
  Plan plan = { .status = 400 };
  char name[16] = "";

  if (query != NULL)
    mg_get_var (query, strlen (query), "mode", name, sizeof name);
  for (size_t i = 0; i < MD_ARRAY_SIZE (mode_names); i++)
    if (strcmp (name, mode_names[i]) == 0)
      {
        atomic_store (&server->factor, query_number (query, "factor", 10));
        atomic_store (&server->mode, (int)i);
        plan.status = 200;
      }
  return send_answer (conn, "POST", &plan);
}

static int
parse_options (int argc, const char **argv, Server *server)
{
  struct poptOption table[]
      = { { "listen", 'l', POPT_ARG_STRING, &server->listen, 0, "address", "IP:PORT" },
          { "journal", 'j', POPT_ARG_STRING, &server->journal, 0, "one line per start", "FILE" },
          { "speed", 's', POPT_ARG_DOUBLE, &server->speed, 0, "divides run times", "FACTOR" },
          { "threads", 't', POPT_ARG_INT, &server->threads, 0, "connections", "N" },
          { "keep-alive-ms", 0, POPT_ARG_INT, &server->keep_alive_ms, 0, "idle time", "MS" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("upstreamd", argc, argv, table, 0);
  int rc = poptGetNextOpt (context);

  if (rc < -1)
    fprintf (stderr, "upstreamd: %s\n", poptStrerror (rc));
  poptFreeContext (context);
  return rc == -1 && server->speed > 0 ? MD_OK : MD_E_INVALID;
}

static struct mg_context *
start_server (Server *server)
{
  char threads[16];
  char keep_alive[16];
  const char *options[] = { "listening_ports",
                            server->listen ? server->listen : "127.0.0.1:0",
                            "num_threads",
                            threads,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            keep_alive,
                            "tcp_nodelay",
                            "1",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *context;

  snprintf (threads, sizeof threads, "%d", server->threads);
  snprintf (keep_alive, sizeof keep_alive, "%d", server->keep_alive_ms);
  context = mg_start (&callbacks, server, options);
  if (context == NULL)
    return NULL;
  mg_set_request_handler (context, "/control", handle_control, server);
  mg_set_request_handler (context, "/", handle_request, server);
  return context;
}

static void
print_address (const struct mg_context *context, const Server *server)
{
  struct mg_server_port port = { 0 };
  char host[MD_ADDRESS_BYTES] = "127.0.0.1";
  int unused;

  mg_get_server_ports (context, 1, &port);
  if (server->listen != NULL)
    md_address_split (md_str (server->listen), host, &unused);
  printf ("listening %s:%d\n", host, port.port);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  Server server = { .speed = 1, .threads = 72, .keep_alive_ms = 30000, .journal_fd = -1 };
  struct mg_context *context;
  sigset_t set;
  int number;

  if (parse_options (argc, (const char **)argv, &server) != MD_OK)
    return MD_EXIT_USAGE;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (server.journal != NULL)
    server.journal_fd = open (server.journal, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mg_init_library (0);
  context = start_server (&server);
  if (context == NULL || (server.journal != NULL && server.journal_fd < 0))
    {
      fputs ("upstreamd: cannot start\n", stderr);
      return MD_EXIT_FAILED;
    }
  print_address (context, &server);
  sigwait (&set, &number);
  atomic_store (&server.stopping, true);
  mg_stop (context);
  mg_exit_library ();
  free (server.listen);
  free (server.journal);
  return MD_EXIT_OK;
}
