/* workers.c -- stand-ins for workers of the users' platform, written for the review

   One process serves any number of workers, so that it knows when all tasks of a gang are
   present. A worker registers at its guard at once and then with every heartbeat, takes starts,
   stops and holds, keeps leases on its own clock, and checks the fencing token and the lifetime
   that an order names. It enforces its capacity.

   Usage: workers RECORD HEARTBEAT_MS WORKER...
     WORKER: ID,LISTEN,GUARD,CPU   e.g. i-1,127.0.0.31:9000,127.0.0.31:9001,4000

   A run does what its spec says: "ms=1200 cpu=1000", "gang=2" for the members of a gang.

   RECORD gets a line for each start and end: "MS ID start TASK RUN", "MS ID end TASK RUN HOW",
   and for each report: "MS ID reported STATE STATUS". MS is Unix time. */

#include "http-client.h"
#include "http-server.h"
#include "md-private.h"

#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define MAX_WORKERS 12
#define MAX_RUNS 512
#define MAX_ENDS 4096
#define MAX_SEEN 8192
#define HOLD_MAX_MS 1000     /* max_hold_ms: longest lease */
#define GANG_TIMEOUT_MS 3000 /* gang_timeout_ms */
#define STOP_MS 20           /* a stop takes this long; stop_timeout_ms is 50 */
#define STEP_MS 2            /* between two looks at runs and leases */

typedef struct
{
  char task[128];
  int run;
  int cpu;
  int gang;            /* members; 0: none */
  int64_t ms;          /* of work */
  int64_t started_ms;  /* worker's clock */
  int64_t ends_ms;     /* worker's clock; INT64_MAX: waits for its gang */
  int64_t stopped_ms;  /* it ends as stopped then; INT64_MAX: not told to */
} Run;

typedef struct
{
  int64_t number;
  char task[128];
  int run;
  const char *how;
} End;

typedef struct
{
  char id[64];
  char listen[64];
  char guard[64];
  int cpu;
  int64_t born_ms;
  Run runs[MAX_RUNS];
  int n_runs;
  End ends[MAX_ENDS];
  int n_ends;
  int64_t next_end;
  int64_t lease_ms;
  int64_t token;
  int used_cpu;
  struct
  {
    char task[128];
    int run;
  } highest[MAX_SEEN]; /* run of a task that was stopped or has ended */
  int n_highest;
  bool draining;
  struct mg_context *server;
  pthread_t reporter;
} Worker;

static Worker workers[MAX_WORKERS];
static int n_workers;
static int heartbeat_ms;
static int record_fd = -1;
static atomic_bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static int64_t
clock_ms (const Worker *w)
{
  return md_wall_ms () - w->born_ms;
}

static void
note (const char *format, ...)
{
  char line[320];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (write (record_fd, line, (size_t)n) != n)
    fprintf (stderr, "record: not written\n");
}

static void
sleep_ms (int ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&pause, NULL);
}

/* ------------------------------------------------------------------ */
/* Runs; the lock is held                                             */

static int
find_run (const Worker *w, const char *task, int run)
{
  for (int i = 0; i < w->n_runs; i++)
    if (w->runs[i].run == run && strcmp (w->runs[i].task, task) == 0)
      return i;
  return -1;
}

static int *
highest_of (Worker *w, const char *task)
{
  for (int i = 0; i < w->n_highest; i++)
    if (strcmp (w->highest[i].task, task) == 0)
      return &w->highest[i].run;
  if (w->n_highest == MAX_SEEN)
    abort ();
  snprintf (w->highest[w->n_highest].task, sizeof w->highest->task, "%s", task);
  return &w->highest[w->n_highest++].run;
}

static void
end_run (Worker *w, int i, const char *how)
{
  Run run = w->runs[i];
  int *highest = highest_of (w, run.task);

  w->runs[i] = w->runs[--w->n_runs];
  w->used_cpu -= run.cpu;
  if (run.run > *highest)
    *highest = run.run;
  note ("%lld %s end %s %d %s\n", (long long)md_wall_ms (), w->id, run.task, run.run, how);
  if (w->n_ends == MAX_ENDS)
    abort ();
  w->ends[w->n_ends] = (End){ .number = ++w->next_end, .run = run.run, .how = how };
  memcpy (w->ends[w->n_ends++].task, run.task, sizeof run.task);
  pthread_cond_broadcast (&changed);
}

/* Whether two runs belong to the same run of a gang: the names differ in the last number only. */
static bool
same_gang (const Run *a, const Run *b)
{
  size_t len = (size_t)(strrchr (a->task, '.') - a->task);

  return a->run == b->run && strncmp (a->task, b->task, len + 1) == 0;
}

static int
count_members (const Run *run)
{
  int n = 0;

  for (int k = 0; k < n_workers; k++)
    for (int i = 0; i < workers[k].n_runs; i++)
      n += same_gang (run, &workers[k].runs[i]);
  return n;
}

/* Ends the other members of a gang's run. */
static void
end_members (const Run *run, const char *how)
{
  for (int k = 0; k < n_workers; k++)
    for (int i = workers[k].n_runs - 1; i >= 0; i--)
      if (same_gang (run, &workers[k].runs[i]))
        end_run (&workers[k], i, how);
}

static void
end_with_gang (Worker *w, int i, const char *how)
{
  Run run = w->runs[i];

  end_run (w, i, how);
  if (run.gang > 0)
    end_members (&run, strcmp (how, "done") == 0 ? "done" : "broken");
}

/* Lets a gang begin its work once all of its members are present. */
static void
begin_gang (const Run *run)
{
  if (run->gang == 0 || count_members (run) < run->gang)
    return;
  for (int k = 0; k < n_workers; k++)
    for (int i = 0; i < workers[k].n_runs; i++)
      if (same_gang (run, &workers[k].runs[i]))
        workers[k].runs[i].ends_ms = clock_ms (&workers[k]) + workers[k].runs[i].ms;
}

static void
check_runs (Worker *w)
{
  int64_t now = clock_ms (w);

  for (int i = 0; i < w->n_runs; i++)
    {
      Run *run = &w->runs[i];
      const char *how = NULL;

      if (now >= run->stopped_ms)
        how = "stopped";
      else if (now >= w->lease_ms)
        how = "lapsed";
      else if (now >= run->ends_ms)
        how = "done";
      else if (run->ends_ms == INT64_MAX && now >= run->started_ms + GANG_TIMEOUT_MS)
        how = "alone";
      if (how == NULL)
        continue;
      end_with_gang (w, i, how);
      i = -1; /* the list has changed */
    }
}

static void *
run_clock (void *data MD_UNUSED)
{
  while (!atomic_load (&stopping))
    {
      sleep_ms (STEP_MS);
      pthread_mutex_lock (&lock);
      for (int k = 0; k < n_workers; k++)
        check_runs (&workers[k]);
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Orders; the lock is held                                           */

static int64_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static int
spec_number (const char *spec, const char *name, int fallback)
{
  const char *found = strstr (spec, name);

  return found != NULL ? atoi (found + strlen (name)) : fallback;
}

static void
extend_lease (Worker *w, const json_t *body)
{
  int64_t until = number (body, "deadline_ms");

  if (until > clock_ms (w) + HOLD_MAX_MS)
    until = clock_ms (w) + HOLD_MAX_MS;
  if (until > w->lease_ms)
    w->lease_ms = until;
}

/* An order with a lower token does nothing. */
static bool
is_fenced (Worker *w, const json_t *body)
{
  if (number (body, "fencing_token") < w->token)
    return true;
  w->token = number (body, "fencing_token");
  return false;
}

static const char *
start (Worker *w, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int run = (int)number (body, "run");
  Run *slot = &w->runs[w->n_runs];

  if (task == NULL || spec == NULL || strlen (task) >= sizeof slot->task)
    return "invalid";
  if (is_fenced (w, body))
    return "fence";
  if (find_run (w, task, run) >= 0)
    return NULL;
  if (number (body, "deadline_ms") <= clock_ms (w))
    return "late";
  extend_lease (w, body);
  if (run <= *highest_of (w, task))
    return "old";
  *slot = (Run){ .run = run,
                 .cpu = spec_number (spec, "cpu=", 1000),
                 .gang = spec_number (spec, "gang=", 0),
                 .ms = spec_number (spec, "ms=", 100),
                 .started_ms = clock_ms (w),
                 .ends_ms = INT64_MAX,
                 .stopped_ms = INT64_MAX };
  if (w->n_runs == MAX_RUNS - 1 || w->used_cpu + slot->cpu > w->cpu)
    return "room";
  snprintf (slot->task, sizeof slot->task, "%s", task);
  if (slot->gang == 0)
    slot->ends_ms = clock_ms (w) + slot->ms;
  w->used_cpu += slot->cpu;
  w->n_runs++;
  note ("%lld %s start %s %d\n", (long long)md_wall_ms (), w->id, task, run);
  begin_gang (slot);
  return NULL;
}

static const char *
stop (Worker *w, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int run = (int)number (body, "run");
  int i;

  if (task == NULL)
    return "invalid";
  if (is_fenced (w, body))
    return "fence";
  i = find_run (w, task, run);
  if (i >= 0 && w->runs[i].stopped_ms == INT64_MAX)
    w->runs[i].stopped_ms = clock_ms (w) + STOP_MS;
  else if (i < 0 && run > *highest_of (w, task))
    *highest_of (w, task) = run;
  return NULL;
}

static json_t *
list_runs (const Worker *w)
{
  json_t *list = json_array ();

  for (int i = 0; i < w->n_runs; i++)
    json_array_append_new (list, json_pack ("[s,i,s,i,i]", w->runs[i].task, w->runs[i].run, "",
                                            w->runs[i].ends_ms == INT64_MAX ? 0 : 100,
                                            w->runs[i].cpu));
  return list;
}

static json_t *
list_ends (const Worker *w)
{
  json_t *list = json_array ();

  for (int i = 0; i < w->n_ends && i < 500; i++)
    json_array_append_new (list, json_pack ("[I,s,i,s,s]", (json_int_t)w->ends[i].number,
                                            w->ends[i].task, w->ends[i].run, w->ends[i].how, ""));
  return list;
}

static const char *
hold (Worker *w, const json_t *body, json_t *answer)
{
  int64_t until = md_wall_ms () + number (body, "wait_ms");
  struct timespec at = { until / 1000, until % 1000 * 1000000 };
  int kept = 0;

  if (is_fenced (w, body))
    return "fence";
  extend_lease (w, body);
  for (int i = 0; i < w->n_ends; i++)
    if (w->ends[i].number > number (body, "acked"))
      w->ends[kept++] = w->ends[i];
  w->n_ends = kept;
  while (w->n_ends == 0 && md_wall_ms () < until && !atomic_load (&stopping))
    if (pthread_cond_timedwait (&changed, &lock, &at) != 0)
      break;
  json_object_set_new (answer, "running", list_runs (w));
  json_object_set_new (answer, "finished", list_ends (w));
  return NULL;
}

/* ------------------------------------------------------------------ */
/* HTTP                                                               */

static int
respond (struct mg_connection *conn, int status, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);

  json_decref (answer);
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
             status, mg_get_response_code_text (conn, status), strlen (text), text);
  free (text);
  return status;
}

static int
handle_order (struct mg_connection *conn, void *data)
{
  Worker *w = data;
  const char *path = mg_get_request_info (conn)->local_uri;
  const char *expected = mg_get_header (conn, "X-Mulberrydrift-Expect-Instance");
  MD_AUTO_BUF text = { 0 };
  json_t *answer = json_object ();
  json_t *body;
  const char *reason = "invalid";

  if (md_http_read_body (conn, 1u << 20, &text) != 0)
    return respond (conn, 400, answer);
  if (expected != NULL && strcmp (expected, w->id) != 0)
    return respond (conn, 421, answer);
  body = json_loadb (text.data != NULL ? text.data : "", text.len, 0, NULL);
  pthread_mutex_lock (&lock);
  if (body != NULL && strcmp (path, "/v1/run-start") == 0)
    reason = start (w, body);
  else if (body != NULL && strcmp (path, "/v1/run-stop") == 0)
    reason = stop (w, body);
  else if (body != NULL && strcmp (path, "/v1/hold") == 0)
    reason = hold (w, body, answer);
  json_object_set_new (answer, "clock_ms", json_integer (clock_ms (w)));
  json_object_set_new (answer, "born", json_integer (w->born_ms));
  pthread_mutex_unlock (&lock);
  json_decref (body);
  if (reason == NULL)
    return respond (conn, 200, answer);
  json_object_set_new (answer, "reason", json_string (reason));
  return respond (conn, strcmp (reason, "invalid") == 0 ? 400 : 409, answer);
}

/* ------------------------------------------------------------------ */
/* Reports                                                            */

static void
report (Worker *w, int64_t sequence)
{
  const char *state = w->draining ? "draining" : "ready";
  json_t *body
      = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "service",
                   "calc", "address", w->listen, "zone", "zone-a", "version", "v1", "slots", 8,
                   "state", state, "cold_remaining_ms", 0, "capacity", "cpu", w->cpu, "mem_mb",
                   32768, "gpu", 0, "labels", "a", "r1-1", "clock_ms", (json_int_t)clock_ms (w),
                   "sequence", (json_int_t)sequence, "born", (json_int_t)w->born_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  MD_AUTO_BUF path = { 0 };
  MdHttpResponse response = { 0 };

  md_buf_printf (&path, "/v1/instances/%s", w->id);
  md_http_call (&(MdHttpRequest){ .address = w->guard,
                                  .method = "PUT",
                                  .path = path.data,
                                  .headers = "Content-Type: application/json\r\n",
                                  .body = md_str (text),
                                  .timeout = MD_SECOND },
                &response, NULL);
  note ("%lld %s reported %s %d\n", (long long)md_wall_ms (), w->id, state, response.status);
  md_http_response_clear (&response);
  free (text);
  json_decref (body);
}

static void *
run_reports (void *data)
{
  Worker *w = data;

  for (int64_t sequence = 1; !atomic_load (&stopping); sequence++)
    {
      report (w, sequence);
      for (int left = heartbeat_ms; left > 0 && !atomic_load (&stopping); left -= 20)
        sleep_ms (20);
    }
  return NULL;
}

static void
on_signal (int signal_number MD_UNUSED)
{
  atomic_store (&stopping, true);
}

static bool
open_worker (Worker *w, const char *text)
{
  const char *options[]
      = { "listening_ports", w->listen, "num_threads", "24", "enable_keep_alive", "yes",
          "keep_alive_timeout_ms", "30000", "tcp_nodelay", "1", NULL };
  struct mg_callbacks callbacks = { 0 };

  if (sscanf (text, "%63[^,],%63[^,],%63[^,],%d", w->id, w->listen, w->guard, &w->cpu) != 4)
    return false;
  w->born_ms = md_wall_ms ();
  w->server = mg_start (&callbacks, NULL, options);
  if (w->server == NULL)
    return false;
  mg_set_request_handler (w->server, "/v1/", handle_order, w);
  return true;
}

int
main (int argc, char **argv)
{
  pthread_t clock_thread;

  if (argc < 4 || argc > 3 + MAX_WORKERS)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  record_fd = open (argv[1], O_WRONLY | O_APPEND | O_CREAT, 0644);
  heartbeat_ms = atoi (argv[2]);
  md_http_init ();
  for (int k = 3; k < argc; k++, n_workers++)
    if (!open_worker (&workers[n_workers], argv[k]))
      return 2;
  pthread_create (&clock_thread, NULL, run_clock, NULL);
  for (int k = 0; k < n_workers; k++)
    pthread_create (&workers[k].reporter, NULL, run_reports, &workers[k]);
  while (!atomic_load (&stopping))
    sleep_ms (50);
  _exit (0);
}
