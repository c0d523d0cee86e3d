/* jobload.c -- callers that submit best-effort jobs to entries on the users' platform

   Each thread sends one job after the other and repeats it at another entry when it
   got no answer, as the platform's callers do. A share of the callers leave before the
   answer. The result of each job is a line "ID OUTCOME STATUS MS": completed, failed,
   rejected (every attempt was answered 429 or 503), unknown, left. */

#include "http-client.h"
#include "md-private.h"

#include <civetweb.h>
#include <fcntl.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define RESEND_MS 1300           /* after an attempt without an answer */
#define RESPONSE_TIMEOUT_MS 2000 /* for an answer */
#define MAX_SERVERS 16

static struct
{
  char *servers;
  char *host;
  char *prefix;
  char *results;
  int threads;
  int jobs;
  int tasks;
  int ms;
  int cpu;
  int attempts;
  int leave; /* percent */
  int pause; /* milliseconds between jobs of a thread */
  int seed;
  char *server[MAX_SERVERS];
  int n_servers;
  int results_fd;
} load = { .host = "jobs.example",
           .prefix = "/calc/",
           .threads = 4,
           .jobs = 20,
           .tasks = 4,
           .ms = 60,
           .cpu = 1000,
           .attempts = 3,
           .seed = 1,
           .results_fd = -1 };

typedef struct
{
  uint64_t random;
  int number;
  struct mg_connection *conn;
  int server;
  int counts[5];
} Caller;

enum
{
  COMPLETED,
  FAILED,
  REJECTED,
  UNKNOWN,
  LEFT,
};

static const char *const outcomes[] = { "completed", "failed", "rejected", "unknown", "left" };

static uint64_t
next_random (Caller *caller)
{
  caller->random ^= caller->random << 13;
  caller->random ^= caller->random >> 7;
  caller->random ^= caller->random << 17;
  return caller->random;
}

static void
pause_ms (int ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&time, NULL);
}

static void
disconnect (Caller *caller)
{
  if (caller->conn != NULL)
    mg_close_connection (caller->conn);
  caller->conn = NULL;
}

static bool
ensure_connected (Caller *caller)
{
  char host[MD_ADDRESS_BYTES];
  char reason[128];
  int port;

  if (caller->conn != NULL)
    return true;
  if (md_address_split (md_str (load.server[caller->server]), host, &port) != MD_OK)
    return false;
  caller->conn = mg_connect_client (host, port, 0, reason, sizeof reason);
  return caller->conn != NULL;
}

/* Status of the answer, 0 for none, -1 for no connection; *completed as the body says. */
static int
exchange (Caller *caller, const char *id, const char *body, int timeout, bool *completed)
{
  MD_AUTO_BUF request = { 0 };
  MD_AUTO_BUF answer = { 0 };
  const struct mg_response_info *info;
  char chunk[1024];
  int status;
  int n;

  if (!ensure_connected (caller))
    return -1;
  md_buf_printf (&request,
                 "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                 "X-Mulberrydrift-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
                 load.prefix, id, load.host, RESPONSE_TIMEOUT_MS, strlen (body), body);
  if (mg_write (caller->conn, request.data, request.len) != (int)request.len
      || mg_get_response (caller->conn, chunk, sizeof chunk, timeout) < 0)
    return 0;
  info = mg_get_response_info (caller->conn);
  status = info->status_code;
  while ((n = mg_read (caller->conn, chunk, sizeof chunk)) > 0)
    md_buf_append (&answer, md_str_n (chunk, (size_t)n));
  if (n < 0 || (info->content_length >= 0 && answer.len != (size_t)info->content_length))
    return 0;
  *completed = answer.len > 0 && strstr (answer.data, "completed") != NULL;
  for (int i = 0; i < info->num_headers; i++)
    if (strcasecmp (info->http_headers[i].name, "Connection") == 0
        && strcasecmp (info->http_headers[i].value, "close") == 0)
      {
        disconnect (caller); /* frees info */
        break;
      }
  return status;
}

static int
run_job (Caller *caller, const char *id, const char *body, bool leaves, int *status)
{
  bool only_rejected = true;

  for (int attempt = 0; attempt < load.attempts; attempt++)
    {
      bool completed = false;

      *status
          = exchange (caller, id, body, leaves ? 1 + load.ms / 3 : RESPONSE_TIMEOUT_MS, &completed);
      if (*status == 200)
        return completed ? COMPLETED : FAILED;
      if (*status == 429 || *status == 503)
        return only_rejected ? REJECTED : UNKNOWN;
      only_rejected = false;
      disconnect (caller);
      caller->server = (caller->server + 1) % load.n_servers;
      if (leaves)
        return LEFT;
      if (*status > 0 && *status != 502 && *status != 504)
        return UNKNOWN;
      pause_ms (RESEND_MS);
    }
  return UNKNOWN;
}

static void
run_one (Caller *caller, int n)
{
  int count = 1 + (int)(next_random (caller) % (uint64_t)load.tasks);
  int ms = load.ms / 2 + (int)(next_random (caller) % (uint64_t)load.ms);
  bool leaves = (int)(next_random (caller) % 100) < load.leave;
  MdTime start = md_now ();
  char id[32];
  char body[512];
  char line[128];
  int outcome;
  int status = 0;
  int len;

  snprintf (id, sizeof id, "%08x%04x%04x", load.seed, caller->number, n);
  snprintf (body, sizeof body,
            "{\"best_effort\":true,\"spec\":\"ms=%d cpu=%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
            "\"mem_mb\":64,\"estimated_ms\":%d}]}",
            ms, load.cpu, count, load.cpu, ms);
  outcome = run_job (caller, id, body, leaves, &status);
  caller->counts[outcome]++;
  len = snprintf (line, sizeof line, "%s %s %d %lld\n", id, outcomes[outcome], status,
                  (long long)((md_now () - start) / MD_MS));
  if (load.results_fd >= 0 && write (load.results_fd, line, (size_t)len) != len)
    fprintf (stderr, "results: not written\n");
}

static void *
run_caller (void *data)
{
  Caller *caller = data;

  for (int n = 0; n < load.jobs; n++)
    {
      run_one (caller, n);
      if (load.pause > 0)
        pause_ms ((int)(next_random (caller) % (uint64_t)(2 * load.pause)));
    }
  disconnect (caller);
  return NULL;
}

static void
split_servers (void)
{
  for (char *at = strtok (load.servers, ","); at != NULL && load.n_servers < MAX_SERVERS;
       at = strtok (NULL, ","))
    load.server[load.n_servers++] = at;
}

int
main (int argc, const char **argv)
{
  struct poptOption table[]
      = { { "servers", 0, POPT_ARG_STRING, &load.servers, 0, "ip:port,...", NULL },
          { "host", 0, POPT_ARG_STRING, &load.host, 0, "of the queue", NULL },
          { "prefix", 0, POPT_ARG_STRING, &load.prefix, 0, "of the queue", NULL },
          { "results", 0, POPT_ARG_STRING, &load.results, 0, "file", NULL },
          { "threads", 0, POPT_ARG_INT, &load.threads, 0, "callers", NULL },
          { "jobs", 0, POPT_ARG_INT, &load.jobs, 0, "of each caller", NULL },
          { "tasks", 0, POPT_ARG_INT, &load.tasks, 0, "most in a job", NULL },
          { "ms", 0, POPT_ARG_INT, &load.ms, 0, "mean run time", NULL },
          { "cpu", 0, POPT_ARG_INT, &load.cpu, 0, "thousandths of a core", NULL },
          { "attempts", 0, POPT_ARG_INT, &load.attempts, 0, "of each job", NULL },
          { "leave", 0, POPT_ARG_INT, &load.leave, 0, "percent that leave early", NULL },
          { "pause", 0, POPT_ARG_INT, &load.pause, 0, "mean between jobs, ms", NULL },
          { "seed", 0, POPT_ARG_INT, &load.seed, 0, "of sizes and pauses", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext (argv[0], argc, argv, table, 0);
  int counts[5] = { 0 };
  Caller *callers;
  pthread_t *threads;

  if (poptGetNextOpt (context) != -1 || load.servers == NULL)
    {
      poptPrintUsage (context, stderr, 0);
      return 2;
    }
  poptFreeContext (context);
  signal (SIGPIPE, SIG_IGN);
  md_http_init ();
  split_servers ();
  if (load.results != NULL)
    load.results_fd = open (load.results, O_WRONLY | O_APPEND | O_CREAT, 0600);
  callers = calloc ((size_t)load.threads, sizeof *callers);
  threads = calloc ((size_t)load.threads, sizeof *threads);
  for (int i = 0; i < load.threads; i++)
    {
      callers[i].number = i;
      callers[i].server = i % load.n_servers;
      callers[i].random = (uint64_t)load.seed * 0x9e3779b97f4a7c15u + (uint64_t)i + 1;
      if (pthread_create (&threads[i], NULL, run_caller, &callers[i]) != 0)
        return 1;
    }
  for (int i = 0; i < load.threads; i++)
    {
      pthread_join (threads[i], NULL);
      for (int k = 0; k < 5; k++)
        counts[k] += callers[i].counts[k];
    }
  for (int k = 0; k < 5; k++)
    printf ("%s%s=%d", k > 0 ? " " : "", outcomes[k], counts[k]);
  printf ("\n");
  free (callers);
  free (threads);
  return 0;
}
