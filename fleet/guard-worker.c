/* guard-worker.c -- the guard's calls to its worker

   A hold is always under way: it extends the lease of everything that runs, takes
   note of ends, and waits for the next end. Starts and stops are calls of their own.

   A start without an answer may have been carried out, or may be carried out seconds
   later. The guard then raises its fencing token and holds with it: once the worker
   has answered that hold, no older start can take effect, and its list of runs says
   whether this one did. */

#include "run-guard.h"

#include <stdio.h>

/* A hold waits so long for an end, and is given up HOLD_MARGIN later. Several fit into
   the worker's lease. */
#define HOLD_WAIT (100 * MD_MS)
#define HOLD_MARGIN (40 * MD_MS)
/* The same for LOSSY_TIME after an order was not answered: a further lost hold hides
   ends for a shorter time than the slack of short tasks. */
#define HOLD_WAIT_LOSSY (20 * MD_MS)
#define HOLD_MARGIN_LOSSY (15 * MD_MS)
#define LOSSY_TIME (2 * MD_SECOND)
#define HOLD_RETRY (20 * MD_MS)           /* after a hold failed */
#define HOLD_RETRY_AWAY (200 * MD_MS)     /* the same while the worker is not reached */
#define START_TIMEOUT (30 * MD_MS)        /* a start is answered in a millisecond or two */
#define STOP_TIMEOUT (60 * MD_MS)         /* the same for a stop */
#define STOP_RETRY (100 * MD_MS)          /* a stop is ordered again when no end follows */
#define CAPACITY_RETRY_DELAY (10 * MD_MS) /* after a rejection for want of capacity */
#define MAX_ATTEMPTS 4                    /* rejected starts before the run is handed back */
#define MAX_MISSING 2                     /* holds that do not list a run before it is gone */
#define UNREACHABLE_AFTER (600 * MD_MS)   /* holds without an answer */
#define TOKEN_STEP 1                      /* a raise of the token */
#define TOKEN_JUMP                                                                                 \
  1000000 /* after the worker has seen a higher one: the clock was
                                        set back since */

typedef struct
{
  MdRunGuard *guard;
  uint64_t entry;                  /* of the run */
  uint64_t id;                     /* of the run */
  uint64_t token;                  /* sent along */
  char worker[MD_WORKER_ID_BYTES]; /* lifetime it was meant for */
} OrderCall;

bool
md_guard_accepts_runs (const MdRunGuard *guard)
{
  const MdGuardWorker *worker = &guard->worker;

  return worker->has_report && worker->clean && worker->reachable && worker->clock_known
         && worker->report.state == MD_WORKER_READY && !guard->leaving;
}

static void
update_open (MdRunGuard *guard)
{
  bool open = md_guard_accepts_runs (guard);

  if (open == guard->queue.accepting)
    return;
  guard->queue.accepting = open;
  guard->state_version++;
  if (!open)
    md_guard_reject_waiting (guard);
}

/* ------------------------------------------------------------------ */
/* Lifetimes of the worker                                            */

static MdGuardRun *
run_of (MdRun *queued)
{
  return (MdGuardRun *)queued;
}

static void
end_all_handed_over (MdRunGuard *guard, MdRunResult result)
{
  for (MdRun *run = guard->queue.running.first, *next; run != NULL; run = next)
    {
      next = run->next;
      md_guard_end_run (guard, run_of (run), result, "");
    }
}

/* Nothing of the former lifetime runs any more. */
static void
begin_lifetime (MdRunGuard *guard, const char *id, int64_t born_ms)
{
  MdGuardWorker *worker = &guard->worker;

  md_log (MD_LOG_INFO, "worker-lifetime", "worker=%s born_ms=%lld former=%s former_born_ms=%lld",
          id, (long long)born_ms, worker->id, (long long)worker->report.born_ms);
  end_all_handed_over (guard, MD_RUN_LEASE_EXPIRED);
  md_str_copy (worker->id, sizeof worker->id, md_str (id));
  worker->report = (MdWorkerReport){ .born_ms = born_ms };
  worker->has_report = false;
  worker->clean = false;
  worker->clock_known = false;
  worker->acked_end = 0;
  guard->hold_due = guard->now;
  guard->state_version++;
  update_open (guard);
}

/* A worker that does not state its birth is told apart by its name alone. */
static bool
is_other_lifetime (const MdGuardWorker *worker, const char *id, int64_t born_ms)
{
  if (id != NULL && strcmp (worker->id, id) != 0)
    return true;
  return born_ms >= 0 && worker->report.born_ms >= 0 && born_ms != worker->report.born_ms;
}

static void
note_gone (MdRunGuard *guard)
{
  md_log (MD_LOG_INFO, "worker-left", "worker=%s", guard->worker.id);
  guard->worker.report.state = MD_WORKER_ABSENT;
  guard->state_version++;
  update_open (guard);
}

static bool
is_same_worker (const MdWorkerReport *a, const MdWorkerReport *b)
{
  return a->state == b->state && memcmp (&a->capacity, &b->capacity, sizeof a->capacity) == 0
         && memcmp (&a->labels, &b->labels, sizeof a->labels) == 0
         && strcmp (a->pool, b->pool) == 0;
}

static void
tell_worker (MdRunGuard *guard, const MdWorkerReport *report)
{
  md_runqueue_set_capacity (&guard->queue, report->capacity);
  for (MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    peer->worker_reported = false;
  guard->state_version++;
}

void
md_guard_worker_event (MdRunGuard *guard, const MdWorkerEvent *event)
{
  MdGuardWorker *worker = &guard->worker;
  bool other
      = is_other_lifetime (worker, event->id, event->deregistered ? -1 : event->report.born_ms);

  if (event->deregistered)
    {
      if (!other)
        note_gone (guard);
      return;
    }
  /* A report of a former lifetime that was held up. */
  if (other && event->report.born_ms >= 0 && event->report.born_ms < worker->report.born_ms)
    return;
  if (other)
    begin_lifetime (guard, event->id, event->report.born_ms);
  if (worker->has_report && event->report.sequence <= worker->report.sequence)
    return;
  if (!worker->has_report || worker->report.state != event->report.state)
    md_log (MD_LOG_INFO, "worker-state", "worker=%s state=%d sequence=%llu cpu=%u memory_mb=%u",
            event->id, (int)event->report.state, (unsigned long long)event->report.sequence,
            event->report.capacity.cpu, event->report.capacity.memory_mb);
  if (!worker->has_report || !is_same_worker (&worker->report, &event->report))
    tell_worker (guard, &event->report);
  worker->report = event->report;
  worker->has_report = true;
  update_open (guard);
}

/* ------------------------------------------------------------------ */
/* Clock and token                                                    */

static void
note_clock (MdRunGuard *guard, int64_t clock_ms)
{
  if (clock_ms < 0)
    return;
  guard->worker.clock_offset = clock_ms * MD_MS - guard->now;
  guard->worker.clock_known = true;
}

static int64_t
lease_ms (const MdRunGuard *guard)
{
  MdTime lease = guard->daemon.leases.worker;

  if (lease > guard->daemon.settings.worker_lease_max)
    lease = guard->daemon.settings.worker_lease_max;
  if (!guard->worker.clock_known)
    return 0;
  return (guard->now + guard->worker.clock_offset + lease) / MD_MS;
}

static void
extend_lease (MdRunGuard *guard)
{
  MdTime until = guard->now + (MdTime)((double)guard->daemon.leases.worker * MD_WORKER_CLOCK_RATE)
                 + START_TIMEOUT;

  if (until > guard->worker.lease_until)
    guard->worker.lease_until = until;
}

static void
raise_token (MdRunGuard *guard, uint64_t sent, uint64_t step)
{
  /* Another call may have raised it already. */
  if (guard->worker.token == sent)
    guard->worker.token += step;
}

/* An order was not answered; more may follow. */
static void
note_loss (MdRunGuard *guard)
{
  guard->lossy_until = guard->now + LOSSY_TIME;
}

/* ------------------------------------------------------------------ */
/* Finding runs                                                       */

static MdGuardRun *
find_task (MdRunGuard *guard, const char *task, uint32_t number)
{
  for (MdRun *run = guard->queue.running.first; run != NULL; run = run->next)
    if (run_of (run)->run_number == number && strcmp (run_of (run)->task, task) == 0)
      return run_of (run);
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Stops                                                              */

static void
on_stop_answer (void *user, const MdHttpAsyncResponse *answer)
{
  OrderCall *call = user;
  MdRunGuard *guard = call->guard;

  guard->now = md_now ();
  if (answer->status == 409)
    raise_token (guard, call->token, TOKEN_JUMP);
  if (answer->status != 200)
    md_log (MD_LOG_WARN, "stop-unanswered", "status=%d reason=\"%s\"", answer->status,
            answer->error.detail);
  free (call);
}

static OrderCall *
new_order_call (MdRunGuard *guard, uint64_t entry, uint64_t id)
{
  OrderCall *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->guard = guard;
  call->entry = entry;
  call->id = id;
  call->token = guard->worker.token;
  md_str_copy (call->worker, sizeof call->worker, md_str (guard->worker.id));
  return call;
}

static int
send_order (MdRunGuard *guard, const MdPlatformCall *order, MdTime timeout, MdHttpDone done,
            OrderCall *call)
{
  int rc = MD_E_MEMORY;

  if (call != NULL)
    rc = md_daemon_call (guard->http, guard->daemon.settings.worker_address, order, timeout, done,
                         call);
  if (rc != MD_OK)
    {
      md_log (MD_LOG_ERROR, "order-not-sent", "target=%s reason=\"out of memory\"",
              order->target.data != NULL ? order->target.data : "");
      free (call);
    }
  return rc;
}

static void
send_stop (MdRunGuard *guard, MdStr task, uint32_t run)
{
  MD_AUTO_CALL order = { 0 };

  md_platform_stop (&order, md_str (guard->worker.id), task, run, guard->worker.token);
  send_order (guard, &order, STOP_TIMEOUT, on_stop_answer, new_order_call (guard, 0, 0));
}

/* ------------------------------------------------------------------ */
/* Holds                                                              */

static void
resolve_end (MdRunGuard *guard, const MdHoldEnd *end)
{
  MdGuardRun *run;

  if (end->number <= guard->worker.acked_end)
    return;
  guard->worker.acked_end = end->number;
  run = find_task (guard, end->task, end->run_number);
  if (run != NULL)
    md_guard_end_run (guard, run, end->result, end->checkpoint);
}

static bool
is_listed (const MdHoldResponse *held, const MdGuardRun *run)
{
  for (size_t i = 0; i < held->n_runs; i++)
    if (held->runs[i].run_number == run->run_number && strcmp (held->runs[i].task, run->task) == 0)
      return true;
  return false;
}

static void
confirm (MdRunGuard *guard, MdGuardRun *run)
{
  run->confirmed = true;
  run->confirmed_at = guard->now;
  run->fenced_by = 0;
  run->missing_holds = 0;
  run->queued.state = MD_RUN_RUNNING;
}

/* Compares what the worker lists with what should run there. */
static void
reconcile (MdRunGuard *guard, const MdHoldResponse *held)
{
  for (MdRun *queued = guard->queue.running.first, *next; queued != NULL; queued = next)
    {
      MdGuardRun *run = run_of (queued);

      next = queued->next;
      if (is_listed (held, run))
        {
          if (!run->confirmed)
            confirm (guard, run);
          run->missing_holds = 0;
        }
      else if (!run->confirmed && run->fenced_by != 0 && guard->hold_token >= run->fenced_by)
        md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
      else if (run->confirmed && guard->hold_sent > run->confirmed_at
               && ++run->missing_holds >= MAX_MISSING)
        {
          md_log (MD_LOG_WARN, "run-missing", "task=%s run=%u", run->task, run->run_number);
          md_guard_end_run (guard, run, MD_RUN_LEASE_EXPIRED, "");
        }
    }
}

/* Stops what an earlier process of this guard has left. */
static void
clean_up (MdRunGuard *guard, const MdHoldResponse *held)
{
  size_t strange = 0;

  for (size_t i = 0; i < held->n_runs; i++)
    if (find_task (guard, held->runs[i].task, held->runs[i].run_number) == NULL)
      {
        strange++;
        send_stop (guard, md_str (held->runs[i].task), held->runs[i].run_number);
      }
  if (strange == 0 && !guard->worker.clean)
    {
      guard->worker.clean = true;
      guard->state_version++;
    }
  if (strange > 0)
    {
      md_log (MD_LOG_INFO, "runs-stopped", "worker=%s count=%zu reason=\"not ordered here\"",
              guard->worker.id, strange);
      guard->hold_due = guard->now + STOP_RETRY / 2;
    }
}

static void
note_reachable (MdRunGuard *guard)
{
  guard->worker.last_response_at = guard->now;
  if (guard->worker.reachable)
    return;
  guard->worker.reachable = true;
  guard->state_version++;
  md_log (MD_LOG_INFO, "worker-reached", "worker=%s", guard->worker.id);
}

static void
take_held (MdRunGuard *guard, const MdHoldResponse *held)
{
  if (is_other_lifetime (&guard->worker, NULL, held->born_ms))
    begin_lifetime (guard, guard->worker.id, held->born_ms);
  if (guard->worker.report.born_ms < 0)
    guard->worker.report.born_ms = held->born_ms;
  note_clock (guard, held->clock_ms);
  note_reachable (guard);
  if (guard->hold_token > guard->worker.acked_token)
    guard->worker.acked_token = guard->hold_token;
  guard->hold_due = guard->now;
  for (size_t i = 0; i < held->n_ends; i++)
    resolve_end (guard, &held->ends[i]);
  reconcile (guard, held);
  clean_up (guard, held);
  update_open (guard);
}

static void
on_hold_answer (void *user, const MdHttpAsyncResponse *answer)
{
  MdRunGuard *guard = user;
  MdError error = answer->error;
  MdHoldResponse held = { 0 };

  guard->hold_in_progress = false;
  guard->now = md_now ();
  guard->hold_due = guard->now + (guard->worker.reachable ? HOLD_RETRY : HOLD_RETRY_AWAY);
  if (answer->status == 200
      && md_platform_parse_hold_response (answer->body, &held, &error) == MD_OK)
    {
      take_held (guard, &held);
      guard->last_hold_failed = false;
    }
  else
    {
      guard->last_hold_failed = true;
      md_count (MD_M_HOLDS_UNANSWERED, 1);
      if (guard->worker.reachable)
        note_loss (guard);
      if (answer->status == 409)
        raise_token (guard, guard->hold_token, TOKEN_JUMP);
      if (guard->worker.reachable)
        md_log (MD_LOG_WARN, "hold-failed", "worker=%s status=%d reason=\"%s\"", guard->worker.id,
                answer->status, error.detail);
    }
  md_hold_response_clear (&held);
}

static void
send_hold (MdRunGuard *guard)
{
  bool lossy = guard->now < guard->lossy_until;
  MdTime wait = lossy ? HOLD_WAIT_LOSSY : HOLD_WAIT;
  MdTime margin = lossy ? HOLD_MARGIN_LOSSY : HOLD_MARGIN;
  MD_AUTO_CALL order = { 0 };

  if (!guard->worker.clean || guard->worker.acked_token != guard->worker.token)
    wait = 0; /* an answer is needed at once */

  /* The name is left out: a hold answers for whichever lifetime is there, and states
     its birth. */
  md_platform_hold (&order, MD_STR (""), lease_ms (guard), guard->worker.token,
                    guard->worker.acked_end, wait);
  guard->hold_sent = guard->now;
  guard->hold_token = guard->worker.token;
  guard->hold_in_progress = md_daemon_call (guard->http, guard->daemon.settings.worker_address,
                                            &order, wait + margin, on_hold_answer, guard)
                            == MD_OK;
  guard->hold_due = guard->now + HOLD_RETRY;
  if (lease_ms (guard) > 0)
    extend_lease (guard);
}

/* ------------------------------------------------------------------ */
/* Starts                                                             */

static void
reject_start (MdRunGuard *guard, MdGuardRun *run, MdOrderResult result)
{
  bool again = result == MD_ORDER_FENCED || result == MD_ORDER_LEASE_EXPIRED
               || result == MD_ORDER_NO_CAPACITY;

  md_count (MD_M_STARTS_REFUSED, 1);
  md_log (MD_LOG_INFO, "start-rejected", "task=%s run=%u result=%d attempt=%u", run->task,
          run->run_number, (int)result, run->rejected_starts + 1);
  if (result == MD_ORDER_NO_CAPACITY)
    guard->start_after = guard->now + CAPACITY_RETRY_DELAY;
  if (again && !run->cancelled && ++run->rejected_starts < MAX_ATTEMPTS)
    md_runqueue_requeue (&guard->queue, &run->queued);
  else
    md_guard_end_run (guard, run, result == MD_ORDER_STALE ? MD_RUN_STALE : MD_RUN_REJECTED, "");
}

/* Nothing is known about the start until a hold with a higher token is answered. */
static void
doubt_start (MdRunGuard *guard, MdGuardRun *run, const OrderCall *call, const MdError *error)
{
  note_loss (guard);
  md_count (MD_M_STARTS_UNANSWERED, 1);
  raise_token (guard, call->token, TOKEN_STEP);
  run->fenced_by = call->token + 1;
  md_log (MD_LOG_WARN, "start-unanswered", "task=%s run=%u token=%llu reason=\"%s\"", run->task,
          run->run_number, (unsigned long long)call->token, error->detail);
}

static void
on_start_answer (void *user, const MdHttpAsyncResponse *answer)
{
  md_autofree OrderCall *call = user;
  MdRunGuard *guard = call->guard;
  MdGuardRun *run = md_guard_find_order (guard, call->entry, call->id);
  MdOrderResult result;
  int64_t clock_ms;

  guard->now = md_now ();
  if (run == NULL || !run->start_in_progress)
    return;
  run->start_in_progress = false;
  if (answer->status == 0)
    {
      doubt_start (guard, run, call, &answer->error);
      return;
    }
  result = md_platform_parse_start_response (answer->status, answer->body, &clock_ms);
  if (strcmp (call->worker, guard->worker.id) == 0)
    note_clock (guard, clock_ms);
  if (result == MD_ORDER_FENCED)
    raise_token (guard, call->token, TOKEN_JUMP);
  if (result == MD_ORDER_STARTED)
    confirm (guard, run);
  else if (!run->confirmed)
    reject_start (guard, run, result);
}

static void
send_start (MdRunGuard *guard, MdGuardRun *run)
{
  MD_AUTO_CALL order = { 0 };
  MdPlatformStart start = { .task = md_str (run->task),
                            .run_number = run->run_number,
                            .spec = md_str_n (run->spec->text, run->spec->len),
                            .lease_deadline_ms = lease_ms (guard),
                            .token = guard->worker.token,
                            .checkpoint = md_str (run->checkpoint),
                            .permit = md_str (run->permit) };

  md_platform_start (&order, md_str (guard->worker.id), &start);
  run->start_in_progress = true;
  run->confirmed = false;
  run->fenced_by = 0;
  extend_lease (guard);
  md_count (MD_M_STARTS, 1);
  md_guard_record_start (guard, run);
  if (send_order (guard, &order, START_TIMEOUT, on_start_answer,
                  new_order_call (guard, run->queued.entry, run->queued.id))
      != MD_OK)
    md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
}

/* ------------------------------------------------------------------ */
/* Poll                                                               */

static MdTime
poll_stops (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;

  for (MdRun *queued = guard->queue.running.first; queued != NULL; queued = queued->next)
    {
      MdGuardRun *run = run_of (queued);

      if (!run->cancelled || run->start_in_progress)
        continue;
      if (guard->now >= run->stop_due)
        {
          run->stop_due = guard->now + STOP_RETRY;
          send_stop (guard, md_str (run->task), run->run_number);
        }
      if (run->stop_due < due)
        due = run->stop_due;
    }
  return due;
}

static MdTime
poll_reachable (MdRunGuard *guard)
{
  MdGuardWorker *worker = &guard->worker;

  if (worker->reachable && guard->now >= worker->last_response_at + UNREACHABLE_AFTER)
    {
      worker->reachable = false;
      guard->state_version++;
      md_log (MD_LOG_WARN, "worker-unreachable", "worker=%s silent_ms=%lld", worker->id,
              (long long)((guard->now - worker->last_response_at) / MD_MS));
      update_open (guard);
    }
  if (guard->queue.running.n > 0 && guard->now >= worker->lease_until)
    {
      md_log (MD_LOG_WARN, "lease-lapsed", "worker=%s runs=%u", worker->id, guard->queue.running.n);
      end_all_handed_over (guard, MD_RUN_LEASE_EXPIRED);
    }
  if (guard->queue.running.n > 0)
    return worker->lease_until;
  return worker->reachable ? worker->last_response_at + UNREACHABLE_AFTER : INT64_MAX;
}

MdTime
md_guard_worker_poll (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;
  MdTime next;

  if (!guard->hold_in_progress && guard->now >= guard->hold_due)
    send_hold (guard);
  if (!guard->hold_in_progress)
    due = guard->hold_due;
  next = poll_stops (guard);
  due = next < due ? next : due;
  next = poll_reachable (guard);
  due = next < due ? next : due;
  /* Before the starts: this process may have been frozen since the last pass. */
  md_guard_check_leases (guard);
  if (guard->now >= guard->start_after)
    for (MdRun *run; (run = md_runqueue_next (&guard->queue, guard->now)) != NULL;)
      send_start (guard, run_of (run));
  else if (guard->start_after < due)
    due = guard->start_after;
  return due;
}
