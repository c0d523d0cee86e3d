/* worker.c -- stand-in for a worker of the users' platform, for the cases of review 2

   It registers at a guard every heartbeat, and takes starts, stops and holds as PROTOCOL.md says
   under "Running tasks". A run lasts as long as its spec says ("ms=1200"). A stop takes --stop-ms,
   at most stop_timeout_ms; it is answered, and its end listed, when the run has stopped. Each
   connection has a thread of its own, so that calls are served side by side.

   The journal has a line for each start and end of a run: "start TASK RUN MS ID" and
   "end TASK RUN HOW MS ID", with the wall clock in milliseconds. */

#include "serve.h"

#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define MAX_RUNS 4096     /* at a time */
#define MAX_ENDS 65536    /* not taken note of */
#define MAX_HIGHEST 65536 /* names of tasks that have ended */
#define MAX_LISTED 500    /* ends in one answer */
#define MAX_HOLD_MS 1000  /* longest lease, max_hold_ms */
#define HEARTBEAT_MS 1500

typedef struct
{
  char task[128];
  int64_t run;
  int64_t ends_ms;  /* when it is done */
  int64_t stops_ms; /* when a stop takes effect, 0: none */
  int cpu;
} Run;

typedef struct
{
  int64_t number;
  char task[128];
  int64_t run;
  const char *how;
} End;

typedef struct
{
  char task[128];
  int64_t run;
} Highest;

static const char *id = "i-1";
static const char *listen_at;
static const char *guard;
static const char *service = "calc";
static const char *kind = "a";
static int capacity = 16000;
static int stop_ms;
static int journal = -1;
static int64_t born_ms;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static Run runs[MAX_RUNS];
static int n_runs;
static int used_cpu;
static End ends[MAX_ENDS];
static int n_ends;
static int64_t last_end;
static Highest highest[MAX_HIGHEST];
static int n_highest;
static int64_t lease_ms;
static int64_t token;

static int64_t
now_ms (void)
{
  return milliseconds (CLOCK_MONOTONIC);
}

static void
note (const char *format, ...)
{
  char line[256];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (journal >= 0 && write (journal, line, (size_t)n) != n)
    fprintf (stderr, "journal: not written\n");
}

/* ------------------------------------------------------------------ */
/* Runs; the lock is held                                             */

static Run *
find_run (const char *task, int64_t run)
{
  for (int i = 0; i < n_runs; i++)
    if (strcmp (runs[i].task, task) == 0 && runs[i].run == run)
      return &runs[i];
  return NULL;
}

/* The highest run of a task that was stopped or has ended here. */
static int64_t *
highest_of (const char *task)
{
  for (int i = 0; i < n_highest; i++)
    if (strcmp (highest[i].task, task) == 0)
      return &highest[i].run;
  if (n_highest == MAX_HIGHEST)
    abort ();
  snprintf (highest[n_highest].task, sizeof highest->task, "%s", task);
  return &highest[n_highest++].run;
}

static void
end_run (Run *run, const char *how)
{
  int64_t *last = highest_of (run->task);

  note ("end %s %lld %s %lld %s\n", run->task, (long long)run->run, how,
        (long long)milliseconds (CLOCK_REALTIME), id);
  if (run->run > *last)
    *last = run->run;
  used_cpu -= run->cpu;
  if (n_ends == MAX_ENDS)
    abort ();
  ends[n_ends] = (End){ .number = ++last_end, .run = run->run, .how = how };
  memcpy (ends[n_ends++].task, run->task, sizeof run->task);
  *run = runs[--n_runs];
  pthread_cond_broadcast (&changed);
}

static void *
run_clock (void *data)
{
  (void)data;
  for (;;)
    {
      struct timespec step = { 0, 1000000 };

      nanosleep (&step, NULL);
      pthread_mutex_lock (&lock);
      for (int i = n_runs - 1; i >= 0; i--)
        if (now_ms () >= lease_ms)
          end_run (&runs[i], "lapsed");
        else if (runs[i].stops_ms > 0 && now_ms () >= runs[i].stops_ms)
          end_run (&runs[i], "stopped");
        else if (now_ms () >= runs[i].ends_ms)
          end_run (&runs[i], "done");
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static void
extend_lease (const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));

  if (until > now_ms () + MAX_HOLD_MS)
    until = now_ms () + MAX_HOLD_MS;
  if (until > lease_ms)
    lease_ms = until;
}

/* ------------------------------------------------------------------ */
/* Calls; the lock is held. They return the reason of a rejection.    */

static const char *
start (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  const char *ms = spec != NULL ? strstr (spec, "ms=") : NULL;
  const char *cpu = spec != NULL ? strstr (spec, "cpu=") : NULL;
  int64_t number = json_integer_value (json_object_get (body, "run"));
  Run run = { .run = number, .cpu = cpu != NULL ? atoi (cpu + 4) : 100 };

  if (task == NULL || ms == NULL || strlen (task) >= sizeof run.task)
    return "invalid";
  if (find_run (task, number) != NULL)
    return NULL;
  if (json_integer_value (json_object_get (body, "deadline_ms")) <= now_ms ())
    return "late";
  extend_lease (body);
  if (number <= *highest_of (task))
    return "old";
  if (n_runs == MAX_RUNS || used_cpu + run.cpu > capacity)
    return "room";
  snprintf (run.task, sizeof run.task, "%s", task);
  run.ends_ms = now_ms () + atoi (ms + 3);
  used_cpu += run.cpu;
  runs[n_runs++] = run;
  note ("start %s %lld %lld %s\n", task, (long long)number,
        (long long)milliseconds (CLOCK_REALTIME), id);
  return NULL;
}

static const char *
stop (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int64_t number = json_integer_value (json_object_get (body, "run"));
  int64_t *last;
  Run *run;

  if (task == NULL)
    return "invalid";
  last = highest_of (task);
  if (number > *last)
    *last = number;
  run = find_run (task, number);
  if (run != NULL && run->stops_ms == 0)
    run->stops_ms = now_ms () + (stop_ms > 0 ? stop_ms : 1);
  while (find_run (task, number) != NULL)
    pthread_cond_wait (&changed, &lock);
  return NULL;
}

static const char *
hold (const json_t *body, json_t *answer)
{
  int64_t acked = json_integer_value (json_object_get (body, "acked"));
  int64_t wait = json_integer_value (json_object_get (body, "wait_ms"));
  json_t *running = json_array ();
  json_t *finished = json_array ();
  struct timespec until;
  int kept = 0;

  extend_lease (body);
  for (int i = 0; i < n_ends; i++)
    if (ends[i].number > acked)
      ends[kept++] = ends[i];
  n_ends = kept;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += wait % 1000 * 1000000;
  until.tv_sec += wait / 1000 + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  while (n_ends == 0 && wait > 0 && pthread_cond_timedwait (&changed, &lock, &until) == 0)
    ;
  for (int i = 0; i < n_runs; i++)
    json_array_append_new (running, json_pack ("[s,I,s,i,i]", runs[i].task,
                                               (json_int_t)runs[i].run, "", 100, runs[i].cpu));
  for (int i = 0; i < n_ends && i < MAX_LISTED; i++)
    json_array_append_new (finished, json_pack ("[I,s,I,s,s]", (json_int_t)ends[i].number,
                                                ends[i].task, (json_int_t)ends[i].run, ends[i].how,
                                                ""));
  json_object_set_new (answer, "running", running);
  json_object_set_new (answer, "finished", finished);
  return NULL;
}

static const char *
carry_out (const char *path, const json_t *body, json_t *answer)
{
  int64_t sent = json_integer_value (json_object_get (body, "fencing_token"));

  if (sent < token)
    return "fence";
  token = sent;
  if (strcmp (path, "/v1/run-start") == 0)
    return start (body);
  if (strcmp (path, "/v1/run-stop") == 0)
    return stop (body);
  if (strcmp (path, "/v1/hold") == 0)
    return hold (body, answer);
  return "invalid";
}

/* ------------------------------------------------------------------ */
/* HTTP                                                               */

static bool
handle (const Request *request)
{
  const char *expected = find_header (request->head, "X-Mulberrydrift-Expect-Instance");
  json_t *body = json_loadb (request->body, request->body_len, 0, NULL);
  json_t *answer = json_object ();
  const char *reason = NULL;
  int status = 421;
  char *text;
  bool ok;

  if (expected == NULL
      || (strncmp (expected, id, strlen (id)) == 0 && expected[strlen (id)] == '\r'))
    {
      pthread_mutex_lock (&lock);
      reason = carry_out (request->path, body, answer);
      pthread_mutex_unlock (&lock);
      json_object_set_new (answer, "clock_ms", json_integer (now_ms ()));
      json_object_set_new (answer, "born", json_integer (born_ms));
      status = reason == NULL ? 200 : strcmp (reason, "invalid") == 0 ? 400 : 409;
    }
  if (reason != NULL)
    json_object_set_new (answer, "reason", json_string (reason));
  json_decref (body);
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  ok = respond (request, status, "application/json", text, strlen (text));
  free (text);
  return ok;
}

/* ------------------------------------------------------------------ */
/* Liveness reports                                                   */

/* Returns whether the guard has acknowledged it. */
static bool
report (int64_t sequence)
{
  struct sockaddr_in address = parse_address (guard);
  struct timeval timeout = { 1, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char body[640];
  char text[1024];
  char answer[64] = "";
  int status = 0;

  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"ready\",\"capacity\":{\"cpu\":%d,\"mem_mb\":32768,\"gpu\":0},"
            "\"labels\":[\"%s\",\"r1-1\"],\"clock_ms\":%lld,\"sequence\":%lld,\"born\":%lld}",
            service, listen_at, capacity, kind, (long long)now_ms (), (long long)sequence,
            (long long)born_ms);
  snprintf (text, sizeof text,
            "PUT /v1/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
            id, guard, strlen (body), body);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && send_all (fd, text, strlen (text)) && recv (fd, answer, sizeof answer - 1, 0) > 0)
    sscanf (answer, "HTTP/1.1 %d", &status);
  close (fd);
  return status / 100 == 2;
}

int
main (int argc, char **argv)
{
  pthread_condattr_t attributes;
  pthread_t thread;

  for (int i = 1; i + 1 < argc; i += 2)
    if (strcmp (argv[i], "--id") == 0)
      id = argv[i + 1];
    else if (strcmp (argv[i], "--listen") == 0)
      listen_at = argv[i + 1];
    else if (strcmp (argv[i], "--guard") == 0)
      guard = argv[i + 1];
    else if (strcmp (argv[i], "--cpu") == 0)
      capacity = atoi (argv[i + 1]);
    else if (strcmp (argv[i], "--kind") == 0)
      kind = argv[i + 1];
    else if (strcmp (argv[i], "--stop-ms") == 0)
      stop_ms = atoi (argv[i + 1]);
    else if (strcmp (argv[i], "--journal") == 0)
      journal = open (argv[i + 1], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  if (listen_at == NULL || guard == NULL)
    return 2;
  born_ms = milliseconds (CLOCK_REALTIME);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attributes);
  if (serve (listen_at, handle) != 0 || pthread_create (&thread, NULL, run_clock, NULL) != 0)
    return 1;
  for (int64_t sequence = 1;; sequence++)
    {
      int pause = report (sequence) ? HEARTBEAT_MS : 200;
      struct timespec wait = { pause / 1000, pause % 1000 * 1000000L };

      nanosleep (&wait, NULL);
    }
}
