/* worker.c -- stand-in for one life of a worker

   Usage: worker ID LISTEN REGISTER SERVICE KIND RACK CPU JOURNAL

   It registers at the guard at REGISTER and takes its calls at LISTEN, as PROTOCOL.md has them. A
   run lasts as long as its spec says ("ms=900 cpu=1600"). The script ends the process with a signal
   and starts another one under the same ID, with the same or another KIND: that is a new life, which
   holds and knows nothing of before. Its clock and its counts start anew.

   Each line of the journal is one write: unix ms, event, ID, KIND, and for a run its task and number,
   and for its end how it ended. */

#define _GNU_SOURCE

#include "http.h"

#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define MAX_RUNS 4096
#define MAX_ENDS 65536
#define MAX_LISTED 500
#define MAX_HOLD_MS 1000  /* longest lease */
#define STOP_MS 40        /* a stop takes at most stop_timeout_ms, 50 */
#define HEARTBEAT_MS 1500 /* between reports */
#define FIRST_CLOCK 1000  /* of the clock of a life */

typedef struct
{
  char task[96];
  int number;
  int cpu;
  int64_t ends_at;
  int64_t stops_at; /* 0: it is not being stopped */
} Run;

typedef struct
{
  int64_t number;
  char task[96];
  int run;
  const char *how;
} End;

typedef struct
{
  char task[96];
  int run;
} Highest;

static const char *id, *registry, *service, *kind, *rack;
static int capacity, used, journal;
static Run runs[MAX_RUNS];
static End ends[MAX_ENDS];
static Highest *highest;
static int n_runs, n_ends, n_highest;
static int64_t last_end, lease, token, born, begun;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static int64_t
clock_ms (void)
{
  return steady_ms () - begun + FIRST_CLOCK;
}

static void
note (const char *format, ...)
{
  char line[320];
  int n = snprintf (line, sizeof line, "%lld ", (long long)unix_ms ());
  va_list args;

  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n, format, args);
  va_end (args);
  line[n++] = '\n';
  if (write (journal, line, (size_t)n) != n)
    exit (2);
}

static int
find_run (const char *task, int number)
{
  for (int i = 0; i < n_runs; i++)
    if (runs[i].number == number && strcmp (runs[i].task, task) == 0)
      return i;
  return -1;
}

/* The highest run of a task that was stopped or has ended here. */
static Highest *
highest_of (const char *task)
{
  for (int i = 0; i < n_highest; i++)
    if (strcmp (highest[i].task, task) == 0)
      return &highest[i];
  highest = realloc (highest, (size_t)(n_highest + 1) * sizeof *highest);
  memset (&highest[n_highest], 0, sizeof *highest);
  snprintf (highest[n_highest].task, sizeof highest->task, "%s", task);
  return &highest[n_highest++];
}

static void
end_run (int i, const char *how)
{
  Run run = runs[i];
  Highest *seen = highest_of (run.task);
  End *end = &ends[n_ends++ % MAX_ENDS];

  runs[i] = runs[--n_runs];
  used -= run.cpu;
  if (run.number > seen->run)
    seen->run = run.number;
  *end = (End){ .number = ++last_end, .run = run.number, .how = how };
  memcpy (end->task, run.task, sizeof end->task);
  note ("end %s %s %s %d %s", id, kind, run.task, run.number, how);
  pthread_cond_broadcast (&changed);
}

static void *
watch_runs (void *data)
{
  for (;;)
    {
      struct timespec step = { 0, 2000000 };

      nanosleep (&step, NULL);
      pthread_mutex_lock (&lock);
      for (int i = n_runs - 1; i >= 0; i--)
        if (runs[i].stops_at > 0 && steady_ms () >= runs[i].stops_at)
          end_run (i, "stopped");
        else if (steady_ms () >= runs[i].ends_at)
          end_run (i, "done");
      while (n_runs > 0 && clock_ms () >= lease)
        end_run (0, "lapsed");
      pthread_mutex_unlock (&lock);
    }
  return data;
}

static int64_t
number_of (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
extend_lease (const json_t *body)
{
  int64_t until = number_of (body, "deadline_ms");

  if (until > clock_ms () + MAX_HOLD_MS)
    until = clock_ms () + MAX_HOLD_MS;
  if (until > lease)
    lease = until;
}

static int
spec_value (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);

  return at != NULL ? atoi (at + strlen (name)) : 0;
}

/* Returns the reason of a rejection, NULL if the run is there. */
static const char *
start (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int number = (int)number_of (body, "run");
  Run *run = &runs[n_runs];

  if (find_run (task, number) >= 0)
    return NULL;
  if (number_of (body, "deadline_ms") <= clock_ms ())
    return "late";
  extend_lease (body);
  if (number <= highest_of (task)->run)
    return "old";
  if (used + spec_value (spec, "cpu=") > capacity || n_runs == MAX_RUNS)
    return "room";
  *run = (Run){ .number = number,
                .cpu = spec_value (spec, "cpu="),
                .ends_at = steady_ms () + spec_value (spec, "ms=") };
  snprintf (run->task, sizeof run->task, "%s", task);
  used += run->cpu;
  n_runs++;
  note ("start %s %s %s %d", id, kind, task, number);
  return NULL;
}

static void
stop (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int number = (int)number_of (body, "run");
  Highest *seen = highest_of (task);
  int i = find_run (task, number);

  if (number > seen->run)
    seen->run = number;
  if (i >= 0 && runs[i].stops_at == 0)
    runs[i].stops_at = steady_ms () + STOP_MS;
  while (find_run (task, number) >= 0)
    pthread_cond_wait (&changed, &lock);
}

static void
hold (const json_t *body, json_t *answer)
{
  int64_t acked = number_of (body, "acked");
  int64_t until = steady_ms () + number_of (body, "wait_ms");
  json_t *running = json_array ();
  json_t *finished = json_array ();
  int kept = 0;

  extend_lease (body);
  for (int i = 0; i < n_ends; i++)
    if (ends[i].number > acked)
      ends[kept++] = ends[i];
  n_ends = kept;
  while (n_ends == 0 && steady_ms () < until)
    {
      struct timespec step;

      clock_gettime (CLOCK_REALTIME, &step);
      step.tv_nsec += 5000000;
      if (step.tv_nsec >= 1000000000)
        {
          step.tv_sec++;
          step.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&changed, &lock, &step);
    }
  for (int i = 0; i < n_runs; i++)
    json_array_append_new (running, json_pack ("[s,i,s,i,i]", runs[i].task, runs[i].number, "", 50,
                                               runs[i].cpu));
  for (int i = 0; i < n_ends && i < MAX_LISTED; i++)
    json_array_append_new (finished, json_pack ("[I,s,i,s,s]", (json_int_t)ends[i].number,
                                                ends[i].task, ends[i].run, ends[i].how, ""));
  json_object_set_new (answer, "running", running);
  json_object_set_new (answer, "finished", finished);
}

/* Returns the status. */
static int
carry_out (const Request *request, const json_t *body, json_t *answer)
{
  const char *reason = NULL;

  if (request->instance[0] != '\0' && strcmp (request->instance, id) != 0)
    return 421;
  if (number_of (body, "fencing_token") < token)
    reason = "fence";
  else
    {
      token = number_of (body, "fencing_token");
      if (strcmp (request->path, "/v1/run-start") == 0)
        reason = start (body);
      else if (strcmp (request->path, "/v1/run-stop") == 0)
        stop (body);
      else if (strcmp (request->path, "/v1/hold") == 0)
        hold (body, answer);
      else
        return 404;
    }
  if (reason != NULL)
    json_object_set_new (answer, "reason", json_string (reason));
  return reason != NULL ? 409 : 200;
}

static void
handle (int fd, const Request *request)
{
  json_t *body = json_loadb (request->body, request->len, 0, NULL);
  json_t *answer = json_object ();
  char *text;
  int status;

  pthread_mutex_lock (&lock);
  status = body != NULL ? carry_out (request, body, answer) : 400;
  json_object_set_new (answer, "clock_ms", json_integer (clock_ms ()));
  json_object_set_new (answer, "born", json_integer (born));
  pthread_mutex_unlock (&lock);
  text = json_dumps (answer, JSON_COMPACT);
  respond (fd, status, "application/json", text, strlen (text));
  free (text);
  json_decref (answer);
  json_decref (body);
}

static void *
report (void *listen)
{
  char path[128];

  snprintf (path, sizeof path, "/v1/instances/%s", id);
  for (int64_t sequence = 1;; sequence++)
    {
      struct timespec pause = { HEARTBEAT_MS / 1000, HEARTBEAT_MS % 1000 * 1000000 };
      json_t *body = json_pack (
          "{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "service", service,
          "address", (char *)listen, "zone", "zone-a", "version", "v1", "slots", 8, "state",
          "ready", "capacity", "cpu", capacity, "mem_mb", 32768, "gpu", 0, "labels", kind, rack,
          "clock_ms", (json_int_t)clock_ms (), "sequence", (json_int_t)sequence, "born",
          (json_int_t)born);
      char *text = json_dumps (body, JSON_COMPACT);
      char *answer;
      int status = call (registry, "PUT", path,
                         "Host: guard\r\nContent-Type: application/json\r\n", text, strlen (text),
                         1000, &answer);

      free (answer);
      free (text);
      json_decref (body);
      /* A report that was not acknowledged is sent again soon. */
      if (status != 200)
        pause = (struct timespec){ 0, 200000000 };
      nanosleep (&pause, NULL);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t thread;

  if (argc != 9)
    return 2;
  id = argv[1];
  registry = argv[3];
  service = argv[4];
  kind = argv[5];
  rack = argv[6];
  capacity = atoi (argv[7]);
  journal = open (argv[8], O_WRONLY | O_APPEND | O_CREAT, 0600);
  begun = steady_ms ();
  born = unix_ms ();
  note ("life %s %s %s", id, kind, service);
  if (pthread_create (&thread, NULL, watch_runs, NULL) != 0
      || pthread_create (&thread, NULL, report, argv[2]) != 0)
    return 2;
  serve (argv[2], handle);
  return 2;
}
