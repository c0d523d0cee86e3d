/* test-stop-model.c -- runs that have to end at a worker whose stops are slow, lost or refused

   Guards against two runs of one task at a time: an entry takes the runs of a guard that it has lost
   for ended after MdLeases.ended_after, and a caller repeats its job after a known time. The guard's
   code is real. The clock and the calls to the worker are the model's (--wrap in the Makefile), and
   so is the worker, which takes all the time that the platform allows it. */

#include "fixture.h"
#include "json-text.h"
#include "md-private.h"
#include "run-guard.h"
#include "suite.h"

#include <jansson.h>
#include <stdio.h>

#define STEP MD_MS                /* of the clock */
#define TRANSIT MD_MS             /* of a call, and of its response */
#define STOP_TIMEOUT (50 * MD_MS) /* longest stop */
#define RESEND (1300 * MD_MS)     /* after which a caller repeats its job */
#define MAX_CALLS 256             /* in progress */
#define MAX_TASKS 1024            /* of all entries */
#define STARTS_AT_A_TIME 10       /* more would time out, as each takes two steps */
#define MAX_LISTED 500            /* ends in a response */
#define WORKER_CHANNELS 64        /* calls at a time that the worker carries */
#define LONG_RUN (3600 * MD_SECOND)
#define LOST 1 /* incarnation of the entry that is lost */
#define LIVE 2 /* incarnation of its neighbour */

/* Takes the place of MdHttp. */
typedef struct
{
  unsigned connections; /* calls beyond them wait */
  unsigned busy;        /* calls that have a connection */
} Client;

typedef enum
{
  CALL_QUEUED,   /* waits for a connection */
  CALL_SENT,     /* on its way to the worker */
  CALL_ARRIVED,  /* the worker has it */
  CALL_ANSWERED, /* the response is on its way */
} CallState;

typedef struct
{
  bool used;
  CallState state;
  Client *client;
  char path[32];
  json_t *body;    /* of the request, owned */
  json_t *answer;  /* of the response, owned; NULL: none yet */
  int status;      /* of the response */
  MdTime due;      /* next change of the state; of CALL_ARRIVED: a hold that waits */
  MdTime gives_up; /* end of the caller's time-out */
  bool lost;       /* there will be no response */
  MdHttpDone done; /* NULL: the caller has given up */
  void *user;      /* first argument of done */
} Call;

typedef struct
{
  bool running;
  bool barred;     /* it was stopped: it does not start any more */
  MdTime stops_at; /* when a stop takes effect, 0: none */
  MdTime gone_at;  /* when its run ended, 0: not yet */
  bool lapsed;     /* it ended with the lease */
} Task;

/* How the worker treats orders. */
typedef struct
{
  MdTime stop;       /* that a stop takes */
  unsigned lost;     /* of a hundred stops, carried out or not and left without response */
  unsigned refused;  /* of a hundred stops, answered with 503 */
  MdTime hold_delay; /* of the response to a hold */
} Conduct;

static struct
{
  MdTime now;
  uint64_t random;
  Client clients[2];
  Call calls[MAX_CALLS];
  unsigned channels; /* most calls at the worker at a time */
  bool frozen;       /* the guard's process is suspended */
  Conduct conduct;
  Task tasks[MAX_TASKS];
  int ends[MAX_TASKS]; /* tasks by the number of their end, less one */
  int n_ends;
  int64_t acked;    /* ends up to it are forgotten */
  int64_t lease_ms; /* end of the lease, worker's clock */
  int64_t token;    /* highest seen */
} model;

static MdRunGuard guard;
static MdGuardPeer *peers[2]; /* of LOST and LIVE */
static bool heard[2];         /* the entry echoes the guard's reports */
static MdTime last_echo[2];   /* latest stamp that it has echoed */

/* ------------------------------------------------------------------ */
/* In the place of the clock and of the HTTP client                   */

MdTime __wrap_md_now (void);
int __wrap_md_http_start (MdHttp *http, const MdHttpCall *request, MdHttpDone done, void *user);

MdTime
__wrap_md_now (void)
{
  return model.now;
}

int
__wrap_md_http_start (MdHttp *http, const MdHttpCall *request, MdHttpDone done, void *user)
{
  for (int i = 0; i < MAX_CALLS; i++)
    if (!model.calls[i].used)
      {
        Call *call = &model.calls[i];

        *call = (Call){ .used = true,
                        .client = (Client *)http,
                        .body = json_loadb (request->body.data, request->body.len, 0, NULL),
                        .gives_up = model.now + request->timeout,
                        .done = done,
                        .user = user };
        md_str_copy (call->path, sizeof call->path, md_str (request->target));
        return MD_OK;
      }
  return MD_E_MEMORY;
}

static unsigned
percent (void)
{
  model.random = model.random * 6364136223846793005u + 1442695040888963407u;
  return (unsigned)(model.random >> 33) % 100;
}

/* ------------------------------------------------------------------ */
/* Worker                                                             */

/* The worker's clock is as slow as the pages of the platform allow. */
static int64_t
worker_clock (void)
{
  return (int64_t)((double)model.now / MD_WORKER_CLOCK_RATE) / MD_MS;
}

static void
end_task (int i, bool lapsed)
{
  Task *task = &model.tasks[i];

  task->running = false;
  task->barred = true;
  task->gone_at = model.now;
  task->lapsed = lapsed;
  model.ends[model.n_ends++] = i;
}

static int
task_of (const json_t *body)
{
  return atoi (strrchr (json_string_value (json_object_get (body, "task")), '.') + 1);
}

static int64_t
number_of (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
extend (const json_t *body)
{
  int64_t until = number_of (body, "deadline_ms");

  if (until > model.lease_ms)
    model.lease_ms = until;
}

static const char *
start (const json_t *body)
{
  Task *task = &model.tasks[task_of (body)];

  if (number_of (body, "deadline_ms") <= worker_clock ())
    return "late";
  extend (body);
  if (task->barred)
    return "old";
  task->running = true;
  return NULL;
}

static json_t *
list_tasks (bool running)
{
  json_t *list = json_array ();
  char name[MD_RUN_NAME_BYTES];

  for (int i = 0; running && i < MAX_TASKS; i++)
    if (model.tasks[i].running)
      {
        snprintf (name, sizeof name, "a1.0.0.%d", i);
        json_array_append_new (list, json_pack ("[s,i,s,i]", name, 1, "", 100));
      }
  for (int64_t n = model.acked; !running && n < model.n_ends && n < model.acked + MAX_LISTED; n++)
    {
      snprintf (name, sizeof name, "a1.0.0.%d", model.ends[n]);
      json_array_append_new (list,
                             json_pack ("[I,s,i,s,s]", (json_int_t)n + 1, name, 1,
                                        model.tasks[model.ends[n]].lapsed ? "lapsed" : "stopped",
                                        ""));
    }
  return list;
}

/* Carries a call out. Returns whether it is answered now; others are asked again at each step. */
static bool
serve (Call *call)
{
  const char *reason = NULL;
  Task *task;

  call->status = 200;
  if (number_of (call->body, "fencing_token") < model.token)
    reason = "fence";
  else if (strcmp (call->path, "/v1/run-start") == 0)
    reason = start (call->body);
  else if (strcmp (call->path, "/v1/run-stop") == 0)
    {
      task = &model.tasks[task_of (call->body)];
      task->barred = true;
      if (task->running && task->stops_at == 0)
        task->stops_at = model.now + model.conduct.stop;
      if (task->running)
        return false;
    }
  else
    {
      extend (call->body);
      model.acked = number_of (call->body, "acked");
      if (model.n_ends == model.acked && model.now < call->due)
        return false;
      call->answer
          = json_pack ("{s:o,s:o}", "running", list_tasks (true), "finished", list_tasks (false));
    }
  if (number_of (call->body, "fencing_token") > model.token)
    model.token = number_of (call->body, "fencing_token");
  if (call->answer == NULL)
    call->answer = json_object ();
  if (reason != NULL)
    {
      call->status = 409;
      json_object_set_new (call->answer, "reason", json_string (reason));
    }
  json_object_set_new (call->answer, "clock_ms", json_integer (worker_clock ()));
  json_object_set_new (call->answer, "born", json_integer (1700));
  return true;
}

/* ------------------------------------------------------------------ */
/* Calls                                                              */

static void
release_call (Call *call)
{
  if (call->state != CALL_QUEUED)
    call->client->busy--;
  json_decref (call->body);
  json_decref (call->answer);
  call->used = false;
}

static void
finish_call (Call *call, int status)
{
  md_autofree char *text = status != 0 ? json_dumps (call->answer, JSON_COMPACT) : NULL;
  MdHttpAsyncResponse response
      = { .status = status, .body = text != NULL ? md_str (text) : MD_STR ("") };

  if (status == 0)
    md_error_set (&response.error, MD_E_TIMEOUT, "call", "worker", "no response");
  if (call->done != NULL)
    call->done (call->user, &response);
  call->done = NULL;
}

static void
arrive (Call *call)
{
  bool is_stop = strcmp (call->path, "/v1/run-stop") == 0;

  call->state = CALL_ARRIVED;
  call->due = model.now + number_of (call->body, "wait_ms") * MD_MS;
  if (!is_stop)
    return;
  if (percent () < model.conduct.refused)
    {
      call->state = CALL_ANSWERED;
      call->status = 503;
      call->answer = json_object ();
      call->due = model.now + TRANSIT;
    }
  else if (percent () < model.conduct.lost)
    {
      call->lost = true;
      if (percent () < 50)
        call->path[0] = '\0'; /* it is not carried out */
    }
}

static void
advance_call (Call *call)
{
  if (call->state == CALL_QUEUED && call->client->busy < call->client->connections)
    {
      call->client->busy++;
      call->state = CALL_SENT;
      call->due = model.now + TRANSIT;
    }
  if (call->state == CALL_SENT && model.now >= call->due)
    arrive (call);
  if (call->state == CALL_ARRIVED && call->path[0] != '\0' && serve (call))
    {
      MdTime delay = strcmp (call->path, "/v1/hold") == 0 ? model.conduct.hold_delay : 0;

      call->state = CALL_ANSWERED;
      call->due = call->lost ? INT64_MAX : model.now + TRANSIT + delay;
    }
  if (model.frozen)
    return;
  if (call->state == CALL_ANSWERED && model.now >= call->due)
    {
      finish_call (call, call->status);
      release_call (call);
    }
  else if (model.now >= call->gives_up)
    {
      finish_call (call, 0);
      release_call (call);
    }
}

static void
advance_worker (void)
{
  bool lapses = worker_clock () >= model.lease_ms;

  for (int i = 0; i < MAX_TASKS; i++)
    if (model.tasks[i].running && lapses)
      end_task (i, true);
    else if (model.tasks[i].running && model.tasks[i].stops_at > 0
             && model.now >= model.tasks[i].stops_at)
      end_task (i, false);
}

/* ------------------------------------------------------------------ */
/* Guard                                                              */

static void
start_guard (void)
{
  guard = (MdRunGuard){ 0 };
  md_leases_set (&guard.daemon.leases, RESEND, STOP_TIMEOUT);
  guard.now = model.now;
  guard.daemon.settings.worker_lease_max = MD_SECOND;
  guard.daemon.settings.stop_timeout = STOP_TIMEOUT;
  guard.http = (MdHttp *)&model.clients[0];
  guard.stop_http = (MdHttp *)&model.clients[1];
  guard.worker.report.born_ms = -1;
  guard.worker.token = (uint64_t)(model.now / MD_MS);
  for (unsigned i = 0; i < MD_ARRAY_SIZE (peers); i++)
    {
      peers[i] = calloc (1, sizeof *peers[i]);
      peers[i]->incarnation = i == 0 ? LOST : LIVE;
      peers[i]->next = guard.peers;
      guard.peers = peers[i];
    }
}

/* The calls of the process that are on their way still reach the worker. */
static void
kill_guard (void)
{
  for (int i = 0; i < MAX_CALLS; i++)
    if (model.calls[i].used && model.calls[i].done != NULL)
      finish_call (&model.calls[i], 0);
  md_guard_free_runs (&guard);
  md_guard_free_peers (&guard);
}

static void
report_worker (void)
{
  MdWorkerEvent event = { .report = { .traits = test_traits ("calc", NULL, NULL),
                                      .capacity = { 64000, 64000, 0 },
                                      .state = MD_WORKER_READY,
                                      .sequence = 1,
                                      .clock_ms = worker_clock (),
                                      .born_ms = 1700 } };

  if (!guard.worker.has_report && guard.worker.clean)
    md_guard_worker_event (&guard, &event);
}

static void
step (void)
{
  model.now += STEP;
  advance_worker ();
  guard.now = model.now;
  if (!model.frozen)
    report_worker ();
  for (unsigned i = 0; i < MD_ARRAY_SIZE (peers); i++)
    if (heard[i] && !model.frozen && model.now % (100 * MD_MS) == 0)
      last_echo[i] = peers[i]->echo = model.now;
  for (int i = 0; i < MAX_CALLS; i++)
    if (model.calls[i].used)
      advance_call (&model.calls[i]);
  if (!model.frozen)
    md_guard_worker_poll (&guard);
  ck_assert_uint_le (model.clients[0].busy + model.clients[1].busy, WORKER_CHANNELS);
}

static void
pass (MdTime time)
{
  for (MdTime end = model.now + time; model.now < end;)
    step ();
}

/* ------------------------------------------------------------------ */
/* Scenario                                                           */

static int
count_running (int first, int end)
{
  int n = 0;

  for (int i = first; i < end; i++)
    n += model.tasks[i].running;
  return n;
}

static void
add_order (uint64_t entry, int task)
{
  MdGuardRun *run = calloc (1, sizeof *run);

  run->queued.entry = entry;
  run->queued.id = (uint64_t)task + 1;
  run->queued.resources = (MdResources){ 10, 10, 0 };
  run->queued.work = LONG_RUN;
  run->queued.start_by = model.now + MD_SECOND;
  run->spec = calloc (1, sizeof *run->spec + 1);
  run->spec->references = 1;
  run->run_number = 1;
  snprintf (run->task, sizeof run->task, "a1.0.0.%d", task);
  md_runqueue_add (&guard.queue, &run->queued, model.now);
}

/* Tasks up to lost are those of LOST, the others up to lost + live those of LIVE. All are at work
   when it returns. */
static void
begin (int lost, int live, Conduct conduct, uint64_t seed)
{
  memset (&model, 0, sizeof model);
  model.now = 1000 * MD_SECOND;
  model.random = seed;
  model.conduct = conduct;
  model.clients[0].connections = 6;
  model.clients[1].connections = MD_GUARD_STOP_CONNECTIONS;
  heard[0] = heard[1] = true;
  start_guard ();
  pass (300 * MD_MS);
  for (int i = 0; i < lost + live; i++)
    {
      add_order (i < lost ? LOST : LIVE, i);
      if (i % STARTS_AT_A_TIME == 0)
        pass (10 * MD_MS);
    }
  for (int i = 0; i < 2000 && count_running (0, lost + live) < lost + live; i++)
    step ();
  ck_assert_int_eq (count_running (0, lost + live), lost + live);
  pass (200 * MD_MS + (MdTime)percent () * MD_MS);
}

static void
finish (void)
{
  model.frozen = false;
  kill_guard ();
  for (int i = 0; i < MAX_CALLS; i++)
    if (model.calls[i].used)
      release_call (&model.calls[i]);
}

/* Lets the time pass until an entry takes these tasks for ended, which it has last heard at that
   time. */
static void
check_gone (int first, int end, MdTime heard_at)
{
  pass (heard_at + guard.daemon.leases.ended_after - model.now);
  ck_assert_int_eq (count_running (first, end), 0);
}

static void
check_neighbours (int first, int end)
{
  for (int i = first; i < end; i++)
    ck_assert_msg (model.tasks[i].running, "task %d ended %lld ms ago, lapsed=%d", i,
                   (long long)((model.now - model.tasks[i].gone_at) / MD_MS),
                   model.tasks[i].lapsed);
}

#define SEEDS 6

static const int sizes[] = { 1, 30, 200, 400, 890 }; /* runs of one entry */

/* Guards against review/6: a guard stopped a hundred runs a second and extended the lease of the
   others meanwhile, while the caller's repeated job started elsewhere. */
START_TEST (runs_of_a_silent_entry_are_gone_in_time)
{
  Conduct conduct = { .stop = (_i % 3) * 25 * MD_MS,
                      .lost = _i % 2 ? 60 : 0,
                      .refused = _i % 4 > 1 ? 50 : 0,
                      .hold_delay = _i % 5 == 4 ? 10 * MD_MS : 0 };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (sizes); i++)
    {
      begin (sizes[i], 20, conduct, (uint64_t)_i + 1);
      heard[0] = false;
      check_gone (0, sizes[i], last_echo[0]);
      finish ();
    }
}
END_TEST

/* Guards against a lease that is cut short by stops which take no longer than they may. */
START_TEST (neighbours_outlive_slow_stops)
{
  for (unsigned i = 0; i < 4; i++)
    {
      begin (sizes[i], 20, (Conduct){ .stop = STOP_TIMEOUT }, (uint64_t)_i + 1);
      heard[0] = false;
      pass (3 * MD_SECOND);
      ck_assert_int_eq (count_running (0, sizes[i]), 0);
      check_neighbours (sizes[i], sizes[i] + 20);
      finish ();
    }
}
END_TEST

/* Guards against a cancelled run, such as that of a caller who left, that goes on because its stops
   are lost: its caller repeats the job after RESEND. */
START_TEST (cancelled_runs_are_gone_in_time)
{
  MdTime cancelled;

  begin (200, 20, (Conduct){ .stop = STOP_TIMEOUT, .lost = _i % 2 ? 100 : 50 }, (uint64_t)_i + 1);
  cancelled = model.now;
  for (int i = 0; i < 200; i++)
    md_guard_cancel_run (&guard, md_guard_find_order (&guard, LOST, (uint64_t)i + 1));
  pass (cancelled + (MdTime)((double)guard.daemon.leases.worker * MD_WORKER_CLOCK_RATE)
        + STOP_TIMEOUT - model.now);
  ck_assert_int_eq (count_running (0, 200), 0);
  finish ();
}
END_TEST

/* Guards against review/7: a guard that was started again extended the lease of the runs of its former
   process while it stopped them, and their entry had started the tasks elsewhere. */
START_TEST (runs_of_a_former_guard_are_gone_in_time)
{
  Conduct conduct
      = { .stop = STOP_TIMEOUT, .lost = _i % 3 == 1 ? 100 : 0, .refused = _i % 3 == 2 ? 100 : 0 };
  MdTime heard_at;

  for (MdTime away = 0; away < MD_SECOND; away += 100 * MD_MS)
    {
      begin (200, 200, conduct, (uint64_t)_i + 1);
      heard_at = model.now;
      kill_guard ();
      model.frozen = true;
      pass (away);
      model.frozen = false;
      start_guard ();
      while (!guard.worker.clean)
        {
          step ();
          ck_assert_int_lt (model.now, heard_at + 2 * MD_SECOND);
        }
      /* It says hello now, which tells the entries that the runs have ended. */
      ck_assert_int_eq (count_running (0, 400), 0);
      check_gone (0, 400, heard_at);
      finish ();
    }
}
END_TEST

/* Guards against a lease that is extended for a run which has been reported as ended: its entry has
   started the task elsewhere. */
START_TEST (runs_that_were_given_up_are_gone_in_time)
{
  MdTime given_up;

  begin (1, 20, (Conduct){ .stop = STOP_TIMEOUT, .refused = 100 }, (uint64_t)_i + 1);
  given_up = model.now;
  md_guard_end_run (&guard, md_guard_find_order (&guard, LOST, 1), MD_RUN_REJECTED, "");
  pass (given_up + (MdTime)((double)guard.daemon.leases.worker * MD_WORKER_CLOCK_RATE)
        + STOP_TIMEOUT - model.now);
  ck_assert_int_eq (count_running (0, 1), 0);
  finish ();
}
END_TEST

/* Guards against a time that a guard counts from its wake-up although the lease of the entry ran out
   while it was suspended. */
START_TEST (runs_of_an_entry_lost_during_a_pause_are_gone)
{
  for (MdTime pause = 100 * MD_MS; pause < RESEND; pause += 100 * MD_MS)
    {
      begin (200, 20, (Conduct){ .stop = STOP_TIMEOUT, .lost = _i % 2 ? 100 : 0 },
             (uint64_t)_i + 1);
      heard[0] = false;
      model.frozen = true;
      pass (pause);
      model.frozen = false;
      check_gone (0, 200, last_echo[0]);
      finish ();
    }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("stop-model");

  tcase_add_loop_test (tc, runs_of_a_silent_entry_are_gone_in_time, 0, SEEDS * 2);
  tcase_add_loop_test (tc, neighbours_outlive_slow_stops, 0, SEEDS);
  tcase_add_loop_test (tc, cancelled_runs_are_gone_in_time, 0, SEEDS);
  tcase_add_loop_test (tc, runs_of_a_former_guard_are_gone_in_time, 0, SEEDS);
  tcase_add_loop_test (tc, runs_that_were_given_up_are_gone_in_time, 0, SEEDS);
  tcase_add_loop_test (tc, runs_of_an_entry_lost_during_a_pause_are_gone, 0, SEEDS);
  return run_suite ("stop-model", tc);
}
