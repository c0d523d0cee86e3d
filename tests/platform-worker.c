/* platform-worker.c -- stand-in for a worker of the users' platform

   It registers at a guard, takes starts, stops and holds, and keeps leases. A run
   lasts as long as its spec says ("ms=120", with " fail" to fail), divided by --speed. A
   spec with " deadly" ends the process, which is back half a second later. A spec with
   " advised" needs the permit "WORKER/STEP/000..." of the advisory service, " saves" fails with a
   checkpoint, and is done when it resumes from it; both texts are long.

   A stop takes --stop-ms and is answered when the run has stopped; by default it takes all the time
   that the platform allows. A hold is answered --hold-late-ms after its end or its wait.

   The journal is the judge of double runs: lines "start TASK RUN MS ID",
   "end TASK RUN HOW MS ID", "crash - 0 MS ID", "drain - 0 MS ID" and "undrain - 0 MS ID",
   with the wall clock, each appended with one write.

   POST /control?mode=M sets the behaviour of later orders: normal, lost (every tenth
   order gets no answer and is carried out up to two seconds later), fail (runs fail at
   once), hang (runs stand still), drain (the worker reports that it leaves), quiet (it
   reports nothing). */

#define _GNU_SOURCE /* close_range */

#include "http-client.h"
#include "http-server.h"
#include "json-text.h"
#include "md-private.h"
#include "server.h"

#include <fcntl.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RUNS 4096       /* at a time */
#define MAX_ENDS 16384      /* not taken note of */
#define MAX_LISTED 500      /* ends in an answer to a hold */
#define CHANNELS "64"       /* served side by side */
#define STEP_MS 2           /* between looks at runs and leases */
#define HOLD_MAX_MS 1000    /* longest lease */
#define BODY_MAX (1u << 20) /* bytes of an order */
#define LOST_EVERY 10       /* mode lost: every so many orders */

#define PERMIT_DIGITS 300 /* zeros at the end of a permit, as of platform-store */
#define CHECKPOINT_DIGITS 300

typedef enum
{
  MODE_NORMAL,
  MODE_LOST,
  MODE_FAIL,
  MODE_HANG,
  MODE_DRAIN,
  MODE_QUIET,
} Mode;

static const char *const mode_names[] = { "normal", "lost", "fail", "hang", "drain", "quiet" };

typedef struct
{
  char task[128];
  int run;
  int64_t ends_ms;  /* our clock; INT64_MAX: stands still */
  int64_t stops_ms; /* when a stop takes effect, 0: none */
  bool fails;
  bool saves; /* its end has a checkpoint */
  int cpu;
} Run;

typedef struct
{
  int64_t number;
  char task[128];
  int run;
  const char *how;
  bool saved; /* with a checkpoint */
} End;

typedef struct
{
  char task[128];
  int run;
} Highest;

static struct
{
  char *id;
  char *listen;
  char *guard;
  char *service;
  char *kind;
  char *journal;
  char **argv; /* of the process */
  double speed;
  int cpu;
  int stop_ms;      /* that a stop takes */
  int hold_late_ms; /* that the answer to a hold takes */
  int journal_fd;
  atomic_int mode;
  atomic_bool stopping;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  Run runs[MAX_RUNS];
  int n_runs;
  End ends[MAX_ENDS];
  int n_ends;
  int64_t next_end;
  int64_t lease_ms;
  int64_t token;
  int64_t born_ms;
  int used_cpu;
  Highest *highest;
  size_t n_highest;
  unsigned orders;
} w = { .id = "i-1",
        .service = "calc",
        .kind = "a",
        .speed = 1,
        .cpu = 24000,
        .stop_ms = 50,
        .journal_fd = -1,
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .changed = PTHREAD_COND_INITIALIZER };

static int64_t
clock_ms (void)
{
  return md_now () / MD_MS;
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
  if (w.journal_fd >= 0 && write (w.journal_fd, line, (size_t)n) != n)
    fprintf (stderr, "journal: not written\n");
}

/* Starts the program anew after a pause in which nobody listens. */
static void
crash (void)
{
  struct timespec pause = { 0, 500000000 };

  note ("crash - 0 %lld %s\n", (long long)md_wall_ms (), w.id);
  close_range (3, ~0U, 0);
  nanosleep (&pause, NULL);
  execv ("/proc/self/exe", w.argv);
  _exit (1);
}

/* ------------------------------------------------------------------ */
/* Runs; the lock is held                                             */

static int
find_run (const char *task, int run)
{
  for (int i = 0; i < w.n_runs; i++)
    if (strcmp (w.runs[i].task, task) == 0 && (run < 0 || w.runs[i].run == run))
      return i;
  return -1;
}

/* The highest run of a task that was stopped or has ended. */
static Highest *
highest_of (const char *task)
{
  Highest *grown;

  for (size_t i = 0; i < w.n_highest; i++)
    if (strcmp (w.highest[i].task, task) == 0)
      return &w.highest[i];
  grown = realloc (w.highest, (w.n_highest + 1) * sizeof *grown);
  if (grown == NULL)
    abort ();
  w.highest = grown;
  w.highest[w.n_highest] = (Highest){ .run = 0 };
  snprintf (w.highest[w.n_highest].task, sizeof w.highest->task, "%s", task);
  return &w.highest[w.n_highest++];
}

static void
end_run (int i, const char *how)
{
  Run run = w.runs[i];
  Highest *highest = highest_of (run.task);

  w.runs[i] = w.runs[--w.n_runs];
  w.used_cpu -= run.cpu;
  if (run.run > highest->run)
    highest->run = run.run;
  note ("end %s %d %s %lld %s\n", run.task, run.run, how, (long long)md_wall_ms (), w.id);
  if (w.n_ends < MAX_ENDS)
    {
      End *end = &w.ends[w.n_ends++];

      end->number = ++w.next_end;
      end->run = run.run;
      end->how = how;
      end->saved = run.saves;
      memcpy (end->task, run.task, sizeof end->task);
    }
  pthread_cond_broadcast (&w.changed);
}

static void
forget_ends (int64_t acked)
{
  int kept = 0;

  for (int i = 0; i < w.n_ends; i++)
    if (w.ends[i].number > acked)
      w.ends[kept++] = w.ends[i];
  w.n_ends = kept;
}

static void
extend_lease (const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));

  if (until > clock_ms () + HOLD_MAX_MS)
    until = clock_ms () + HOLD_MAX_MS;
  if (until > w.lease_ms)
    w.lease_ms = until;
}

static void *
run_clock (void *data MD_UNUSED)
{
  while (!atomic_load (&w.stopping))
    {
      struct timespec step = { 0, STEP_MS * 1000000 };

      nanosleep (&step, NULL);
      pthread_mutex_lock (&w.lock);
      for (int i = w.n_runs - 1; i >= 0; i--)
        if (w.runs[i].stops_ms > 0 && clock_ms () >= w.runs[i].stops_ms)
          end_run (i, "stopped");
        else if (clock_ms () >= w.runs[i].ends_ms)
          end_run (i, w.runs[i].fails ? "failed" : "done");
      while (clock_ms () >= w.lease_ms && w.n_runs > 0)
        end_run (0, "lapsed");
      pthread_mutex_unlock (&w.lock);
    }
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Orders; the lock is held                                           */

/* The name of a step is that of its tasks without the last number. */
static bool
is_permitted (const json_t *body, const char *task)
{
  const char *permit = json_string_value (json_object_get (body, "ticket"));
  MD_AUTO_BUF expected = { 0 };

  md_buf_printf (&expected, "%s/%.*s/%0*d", w.id, (int)(strrchr (task, '.') - task), task,
                 PERMIT_DIGITS, 0);
  return permit != NULL && strcmp (permit, expected.data) == 0;
}

static MdBuf
checkpoint_of (const char *task)
{
  MdBuf checkpoint = { 0 };

  md_buf_printf (&checkpoint, "%s/%0*d", task, CHECKPOINT_DIGITS, 0);
  return checkpoint;
}

/* Whether the order has the checkpoint of the task. */
static bool
resumes (const json_t *body, const char *task)
{
  const char *text = json_string_value (json_object_get (body, "checkpoint"));
  MD_AUTO_BUF checkpoint = checkpoint_of (task);

  return text != NULL && strcmp (text, checkpoint.data) == 0;
}

static const char *
start (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  int64_t token = json_integer_value (json_object_get (body, "fencing_token"));
  const char *ms = spec != NULL ? strstr (spec, "ms=") : NULL;
  const char *cpu = spec != NULL ? strstr (spec, "cpu=") : NULL;
  Run *slot = &w.runs[w.n_runs];

  if (task == NULL || ms == NULL || strlen (task) >= sizeof slot->task)
    return "invalid";
  if (token < w.token)
    return "fence";
  w.token = token;
  if (find_run (task, run) >= 0)
    return NULL;
  if (json_integer_value (json_object_get (body, "deadline_ms")) <= clock_ms ())
    return "late";
  extend_lease (body);
  if (run <= highest_of (task)->run)
    return "old";
  if (strstr (spec, " advised") != NULL && !is_permitted (body, task))
    return "ticket";
  slot->cpu = cpu != NULL ? atoi (cpu + 4) : 1000;
  if (w.n_runs == MAX_RUNS || w.used_cpu + slot->cpu > w.cpu)
    return "room";
  snprintf (slot->task, sizeof slot->task, "%s", task);
  slot->run = run;
  slot->stops_ms = 0;
  slot->saves = strstr (spec, " saves") != NULL && !resumes (body, task);
  slot->fails = slot->saves || strstr (spec, "fail") != NULL || atomic_load (&w.mode) == MODE_FAIL;
  slot->ends_ms = clock_ms () + (int64_t)(atof (ms + 3) / w.speed);
  if (atomic_load (&w.mode) == MODE_FAIL)
    slot->ends_ms = clock_ms ();
  if (atomic_load (&w.mode) == MODE_HANG)
    slot->ends_ms = INT64_MAX;
  w.used_cpu += slot->cpu;
  w.n_runs++;
  note ("start %s %d %lld %s\n", task, run, (long long)md_wall_ms (), w.id);
  if (strstr (spec, " deadly") != NULL)
    crash ();
  return NULL;
}

static const char *
stop (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  int64_t token = json_integer_value (json_object_get (body, "fencing_token"));
  Highest *highest;
  int i;

  if (task == NULL)
    return "invalid";
  if (token < w.token)
    return "fence";
  w.token = token;
  highest = highest_of (task);
  if (run > highest->run)
    highest->run = run;
  i = find_run (task, run);
  if (i >= 0 && w.runs[i].stops_ms == 0)
    w.runs[i].stops_ms = clock_ms () + w.stop_ms;
  while (find_run (task, run) >= 0 && !atomic_load (&w.stopping))
    pthread_cond_wait (&w.changed, &w.lock);
  return NULL;
}

static json_t *
list_runs (void)
{
  json_t *list = json_array ();

  for (int i = 0; i < w.n_runs; i++)
    json_array_append_new (list, json_pack ("[s,i,s,i,i]", w.runs[i].task, w.runs[i].run, "", 100,
                                            w.runs[i].cpu));
  return list;
}

static json_t *
list_ends (void)
{
  json_t *list = json_array ();

  for (int i = 0; i < w.n_ends && i < MAX_LISTED; i++)
    {
      MD_AUTO_BUF checkpoint = checkpoint_of (w.ends[i].task);

      json_array_append_new (list, json_pack ("[I,s,i,s,s]", (json_int_t)w.ends[i].number,
                                              w.ends[i].task, w.ends[i].run, w.ends[i].how,
                                              w.ends[i].saved ? checkpoint.data : ""));
    }
  return list;
}

static const char *
hold (const json_t *body, json_t *answer)
{
  int64_t token = json_integer_value (json_object_get (body, "fencing_token"));
  int64_t wait = json_integer_value (json_object_get (body, "wait_ms"));
  struct timespec until;

  if (token < w.token)
    return "fence";
  w.token = token;
  extend_lease (body);
  forget_ends (json_integer_value (json_object_get (body, "acked")));
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += wait * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  while (w.n_ends == 0 && wait > 0 && !atomic_load (&w.stopping))
    if (pthread_cond_timedwait (&w.changed, &w.lock, &until) != 0)
      break;
  json_object_set_new (answer, "running", list_runs ());
  json_object_set_new (answer, "finished", list_ends ());
  if (w.hold_late_ms > 0)
    {
      struct timespec late = { 0, w.hold_late_ms * 1000000L };

      pthread_mutex_unlock (&w.lock);
      nanosleep (&late, NULL);
      pthread_mutex_lock (&w.lock);
    }
  return NULL;
}

/* ------------------------------------------------------------------ */
/* HTTP                                                               */

static json_t *
read_json (struct mg_connection *conn)
{
  MD_AUTO_BUF body = { 0 };

  if (md_http_read_body (conn, BODY_MAX, &body) != 0)
    return NULL;
  return body.len > 0 ? md_json_load (md_buf_str (&body), 0, NULL) : json_object ();
}

static int
respond (struct mg_connection *conn, int status, json_t *answer)
{
  md_autofree char *text = json_dumps (answer, JSON_COMPACT);

  json_decref (answer);
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
             status, mg_get_response_code_text (conn, status), strlen (text), text);
  return status;
}

static const char *
carry_out (const char *path, const json_t *body, json_t *answer)
{
  if (strcmp (path, "/v1/run-start") == 0)
    return start (body);
  if (strcmp (path, "/v1/run-stop") == 0)
    return stop (body);
  if (strcmp (path, "/v1/hold") == 0)
    return hold (body, answer);
  return "invalid";
}

static int
handle_order (struct mg_connection *conn, void *data MD_UNUSED)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *expected = mg_get_header (conn, "X-Mulberrydrift-Expect-Instance");
  json_t *answer = json_object ();
  json_t *body = read_json (conn);
  const char *reason;
  bool lost;

  if (expected != NULL && strcmp (expected, w.id) != 0)
    {
      json_decref (body);
      return respond (conn, 421, answer);
    }
  pthread_mutex_lock (&w.lock);
  lost = atomic_load (&w.mode) == MODE_LOST && ++w.orders % LOST_EVERY == 0;
  if (lost)
    {
      struct timespec late = { w.orders / LOST_EVERY % 3, 200000000 };

      pthread_mutex_unlock (&w.lock);
      nanosleep (&late, NULL);
      pthread_mutex_lock (&w.lock);
    }
  reason = carry_out (info->local_uri, body, answer);
  json_object_set_new (answer, "clock_ms", json_integer (clock_ms ()));
  json_object_set_new (answer, "born", json_integer (w.born_ms));
  pthread_mutex_unlock (&w.lock);
  json_decref (body);
  if (lost)
    {
      json_decref (answer);
      mg_disable_connection_keep_alive (conn);
      return 200; /* the connection ends without an answer */
    }
  if (reason != NULL)
    json_object_set_new (answer, "reason", json_string (reason));
  return respond (conn, reason == NULL ? 200 : strcmp (reason, "invalid") == 0 ? 400 : 409, answer);
}

static int
handle_control (struct mg_connection *conn, void *data MD_UNUSED)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *query = info->query_string ? info->query_string : "";
  char mode[32] = "";

  mg_get_var (query, strlen (query), "mode", mode, sizeof mode);
  for (size_t i = 0; i < MD_ARRAY_SIZE (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      {
        if ((int)i == MODE_DRAIN || atomic_load (&w.mode) == MODE_DRAIN)
          note ("%s - 0 %lld %s\n", (int)i == MODE_DRAIN ? "drain" : "undrain",
                (long long)md_wall_ms (), w.id);
        atomic_store (&w.mode, (int)i);
        return respond (conn, 200, json_object ());
      }
  return respond (conn, 400, json_object ());
}

/* ------------------------------------------------------------------ */
/* Reports to the guard                                               */

static void
report (int64_t sequence)
{
  json_t *body
      = json_pack ("{s:s,s:s,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "service", w.service,
                   "state", atomic_load (&w.mode) == MODE_DRAIN ? "draining" : "ready", "address",
                   w.listen, "slots", 8, "capacity", "cpu", w.cpu, "mem_mb", 32768, "gpu", 0,
                   "labels", w.kind, "r1-1", "clock_ms", (json_int_t)clock_ms (), "sequence",
                   (json_int_t)sequence, "born", (json_int_t)w.born_ms);
  md_autofree char *text = json_dumps (body, JSON_COMPACT);
  MD_AUTO_BUF path = { 0 };
  MdHttpResponse response = { 0 };

  md_buf_printf (&path, "/v1/instances/%s", w.id);
  md_http_call (&(MdHttpRequest){ .address = w.guard,
                                  .method = "PUT",
                                  .path = path.data,
                                  .body = md_str (text),
                                  .timeout = MD_SECOND },
                &response, NULL);
  md_http_response_clear (&response);
  json_decref (body);
}

static void
on_signal (int number MD_UNUSED)
{
  atomic_store (&w.stopping, true);
}

int
main (int argc, const char **argv)
{
  struct poptOption table[]
      = { { "id", 0, POPT_ARG_STRING, &w.id, 0, "name", NULL },
          { "listen", 0, POPT_ARG_STRING, &w.listen, 0, "address for orders", NULL },
          { "guard", 0, POPT_ARG_STRING, &w.guard, 0, "where it registers", NULL },
          { "service", 0, POPT_ARG_STRING, &w.service, 0, "pool", NULL },
          { "kind", 0, POPT_ARG_STRING, &w.kind, 0, "its first label", NULL },
          { "journal", 0, POPT_ARG_STRING, &w.journal, 0, "file", NULL },
          { "speed", 0, POPT_ARG_DOUBLE, &w.speed, 0, "run times are divided by it", NULL },
          { "cpu", 0, POPT_ARG_INT, &w.cpu, 0, "thousandths of a core", NULL },
          { "stop-ms", 0, POPT_ARG_INT, &w.stop_ms, 0, "that a stop takes", NULL },
          { "hold-late-ms", 0, POPT_ARG_INT, &w.hold_late_ms, 0, "that an answer to a hold takes",
            NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext (argv[0], argc, argv, table, 0);
  struct mg_context *server;
  pthread_t clock_thread;

  w.argv = (char **)argv;
  if (poptGetNextOpt (context) != -1 || w.listen == NULL || w.guard == NULL)
    {
      poptPrintUsage (context, stderr, 0);
      return 2;
    }
  poptFreeContext (context);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  if (w.journal != NULL)
    w.journal_fd = open (w.journal, O_WRONLY | O_APPEND | O_CREAT, 0600);
  w.born_ms = md_wall_ms ();
  md_http_init ();
  server = start_server (w.listen, CHANNELS, handle_order, handle_control);
  if (server == NULL)
    return 1;
  if (pthread_create (&clock_thread, NULL, run_clock, NULL) != 0)
    return 1;
  for (int64_t sequence = 1; !atomic_load (&w.stopping); sequence++)
    {
      struct timespec pause = { 0, 200000000 };

      if (atomic_load (&w.mode) != MODE_QUIET)
        report (sequence);
      nanosleep (&pause, NULL);
    }
  pthread_cond_broadcast (&w.changed);
  pthread_join (clock_thread, NULL);
  mg_stop (server);
  return 0;
}
