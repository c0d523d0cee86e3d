/* guard-worker.c -- the guard's calls to its worker

   One hold call is always in progress, as a long poll: it extends the lease of all runs at the
   worker, acknowledges the ends received so far, and returns with the next end or after a
   timeout. Starts and stops are calls of their own.

   A start call without a response may have been carried out, or may be carried out seconds
   later. The guard then raises its fencing token and sends holds with the new one: once the
   worker has answered such a hold, it rejects all older starts, and the list of runs in the
   response shows whether the start took effect. */

#include "run-guard.h"

#include <stdio.h>

/* How long the worker may wait for an end before it answers a hold, and the margin after which
   the call times out. Several holds fit into the worker's lease. */
#define HOLD_WAIT (100 * MD_MS)
#define HOLD_MARGIN (40 * MD_MS)
/* The same during LOSSY_PERIOD after an unanswered call, so that another lost hold delays
   ends by less than the slack of short tasks. */
#define HOLD_WAIT_LOSSY (20 * MD_MS)
#define HOLD_MARGIN_LOSSY (15 * MD_MS)
#define LOSSY_PERIOD (2 * MD_SECOND)
#define HOLD_RETRY_DELAY (20 * MD_MS)        /* after a failed hold */
#define HOLD_RETRY_UNREACHABLE (200 * MD_MS) /* the same while the worker is unreachable */
#define START_TIMEOUT (30 * MD_MS)           /* a worker responds within a millisecond or two */
#define STOP_MARGIN (50 * MD_MS)          /* for a stop, beyond the stop_timeout of the settings */
#define STOP_RETRY_DELAY (100 * MD_MS)    /* a stop is repeated until the run has ended */
#define CAPACITY_RETRY_DELAY (10 * MD_MS) /* after a rejection for lack of capacity */
/* Starts at a time. The client has five connections for them, and a call that waits for one costs
   about 25 KB of memory; a job may have thousands of tasks that need no capacity. */
#define MAX_START_CALLS 64
/* Stops at a time, each on a connection of its own, so that its time-out runs from when it is sent.
   A worker that takes 50 ms for each ends a thousand in a second. */
#define MAX_STOP_CALLS MD_GUARD_STOP_CONNECTIONS
/* No runs are started with a shorter lease: all of them would end with it if the limit of the lease
   were not lifted in time. */
#define MIN_START_LEASE (300 * MD_MS)
#define MAX_REJECTED_STARTS 4           /* then the run is returned to its entry */
#define MAX_MISSING_HOLDS 2             /* consecutive; then the run has ended */
#define UNREACHABLE_AFTER (600 * MD_MS) /* without a response to a hold */
#define TOKEN_STEP 1                    /* fences the starts sent so far */
/* The worker has seen a higher token, since the clock from which the first one was derived
   was set back. */
#define TOKEN_JUMP 1000000

/* A start or stop call in progress; freed by its response handler. */
typedef struct
{
  MdRunGuard *guard;
  uint32_t *calls;  /* calls of its kind in progress, in guard */
  uint64_t entry;   /* incarnation of the run's entry; 0: a run that this process did
                                      not start */
  uint64_t id;      /* order of the run; 0 likewise */
  uint64_t token;   /* fencing token of the call */
  MdTraits *worker; /* that it was sent to; an owner */
} OrderCall;

static MdGuardRun *
guard_run (MdRun *queued)
{
  return (MdGuardRun *)queued;
}

/* How the started runs ended with the worker's process. */
static MdRunResult
crash_result (const MdRunGuard *guard)
{
  if (guard->worker.report.state != MD_WORKER_READY)
    return MD_RUN_LEASE_EXPIRED; /* it had said that it leaves */
  return guard->queue.running.n == 1 ? MD_RUN_CRASHED_ALONE : MD_RUN_CRASHED;
}

static void
end_started_runs (MdRunGuard *guard, MdRunResult result)
{
  for (MdRun *run = guard->queue.running.first, *next; run != NULL; run = next)
    {
      next = run->next;
      md_guard_end_run (guard, guard_run (run), result, "");
    }
}

/* ------------------------------------------------------------------ */
/* Clock and token                                                    */

static void
update_clock_offset (MdRunGuard *guard, int64_t clock_ms)
{
  if (clock_ms < 0)
    return;
  guard->worker.clock_offset = clock_ms * MD_MS - guard->now;
  guard->worker.clock_known = true;
}

/* End of a lease that starts now, on the worker's clock; 0 while that clock is not known or no
   lease may be granted. */
static int64_t
lease_deadline_ms (const MdRunGuard *guard)
{
  MdTime until = md_leases_grant (&guard->daemon.leases, guard->now, guard->worker.lease_limit);

  until = md_time_min (until, guard->now + guard->daemon.settings.worker_lease_max);
  if (!guard->worker.clock_known || until <= guard->now)
    return 0;
  return (until + guard->worker.clock_offset) / MD_MS;
}

/* Records that a call with lease_deadline_ms is being sent. Allows for a slow clock of the worker
   and for the time until the call arrives. */
static void
extend_lease (MdRunGuard *guard)
{
  MdTime granted
      = md_leases_grant (&guard->daemon.leases, guard->now, guard->worker.lease_limit) - guard->now;
  MdTime until = guard->now + (MdTime)((double)granted * MD_WORKER_CLOCK_RATE) + START_TIMEOUT;

  if (until > guard->worker.lease_until)
    guard->worker.lease_until = until;
}

/* Raises the token that a call was sent with. */
static void
raise_token (MdRunGuard *guard, uint64_t sent, uint64_t step)
{
  /* Unless the response to another call has raised it already. */
  if (guard->worker.token == sent)
    guard->worker.token += step;
}

/* A call was not answered; further ones may get lost as well. */
static void
start_lossy_period (MdRunGuard *guard)
{
  guard->lossy_until = guard->now + LOSSY_PERIOD;
}

/* ------------------------------------------------------------------ */
/* Finding runs                                                       */

/* The run of a task name and run number that was sent to the worker, including one that waits
   again after a rejection; NULL when there is none. */
static MdGuardRun *
find_sent_run (MdRunGuard *guard, const char *task, uint32_t number)
{
  MdRunList *lists[] = { &guard->queue.running, &guard->queue.waiting };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (lists); i++)
    for (MdRun *queued = lists[i]->first; queued != NULL; queued = queued->next)
      {
        MdGuardRun *run = guard_run (queued);

        if (run->run_number == number && strcmp (run->task, task) == 0
            && (queued->state != MD_RUN_WAITING || run->rejected_starts > 0))
          return run;
      }
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Stops                                                              */

static void
free_order_call (OrderCall *call)
{
  if (call == NULL)
    return;
  (*call->calls)--;
  md_traits_unref (call->worker);
  free (call);
}

static void
clear_order_call (OrderCall **call)
{
  free_order_call (*call);
}

/* Declares a call that is freed at the end of its scope. */
#define MD_AUTO_ORDER_CALL __attribute__ ((cleanup (clear_order_call))) OrderCall

static void
on_stop_response (void *user, const MdHttpAsyncResponse *response)
{
  OrderCall *call = user;
  MdRunGuard *guard = call->guard;
  MdGuardRun *run = md_guard_find_order (guard, call->entry, call->id);

  guard->now = md_now ();
  if (run != NULL)
    run->stop_in_progress = false;
  if (response->status == 409)
    raise_token (guard, call->token, TOKEN_JUMP);
  if (response->status != 200)
    md_log (MD_LOG_WARN, "stop-unanswered", "status=%d reason=\"%s\"", response->status,
            response->error.detail);
  free_order_call (call);
}

/* NULL when memory is short; send_order handles that. */
static OrderCall *
new_order_call (MdRunGuard *guard, uint32_t *calls, uint64_t entry, uint64_t id)
{
  OrderCall *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  (*calls)++;
  call->guard = guard;
  call->calls = calls;
  call->entry = entry;
  call->id = id;
  call->token = guard->worker.token;
  call->worker = md_traits_ref (guard->worker.report.traits);
  return call;
}

/* Sends a start or stop. Takes ownership of call, which may be NULL; done is not called on
   failure. */
static int
send_order (MdRunGuard *guard, MdHttp *http, const MdPlatformCall *order, MdTime timeout,
            MdHttpDone done, OrderCall *call)
{
  int rc = MD_E_MEMORY;

  if (call != NULL)
    rc = md_daemon_call (http, guard->daemon.settings.worker_address, order, timeout, done, call);
  if (rc != MD_OK)
    {
      md_log (MD_LOG_ERROR, "order-not-sent", "target=%s reason=\"out of memory\"",
              order->target.data != NULL ? order->target.data : "");
      free_order_call (call);
    }
  return rc;
}

static bool
may_stop (const MdRunGuard *guard)
{
  return guard->stop_calls < MAX_STOP_CALLS;
}

/* entry, id: order of the run, 0 for a run that this process did not start. Returns MD_E_MEMORY
   when the stop was not sent; callers repeat stops until the run has ended. */
static int
send_stop (MdRunGuard *guard, MdStr task, uint32_t run_number, uint64_t entry, uint64_t id)
{
  MD_AUTO_CALL order = { 0 };

  md_platform_stop (&order, md_str (md_guard_worker_name (&guard->worker)), task, run_number,
                    guard->worker.token);
  return send_order (guard, guard->stop_http, &order,
                     guard->daemon.settings.stop_timeout + STOP_MARGIN, on_stop_response,
                     new_order_call (guard, &guard->stop_calls, entry, id));
}

/* ------------------------------------------------------------------ */
/* Holds                                                              */

static void
confirm_run (MdRunGuard *guard, MdGuardRun *run)
{
  run->confirmed = true;
  run->confirmed_at = guard->now;
  run->fenced_by = 0;
  run->missing_holds = 0;
  run->queued.state = MD_RUN_RUNNING;
}

/* Takes a run that waits again as started. The worker has both rejected and executed its start,
   so more than one copy of the call must have reached it. */
static void
adopt_run (MdRunGuard *guard, MdGuardRun *run)
{
  md_log (MD_LOG_WARN, "run-adopted", "task=%s run=%u reason=\"executed after a rejection\"",
          run->task, run->run_number);
  md_runqueue_adopt (&guard->queue, &run->queued, guard->now);
  confirm_run (guard, run);
  guard->state_version++;
}

/* Processes an end unless an earlier response contained it. */
static void
handle_end (MdRunGuard *guard, const MdHoldEnd *end)
{
  MdGuardRun *run;

  if (end->number <= guard->worker.acked_end)
    return;
  guard->worker.acked_end = end->number;
  run = find_sent_run (guard, end->task, end->run_number);
  if (run == NULL)
    return;
  if (run->queued.state == MD_RUN_WAITING)
    adopt_run (guard, run);
  md_guard_end_run (guard, run, end->result, end->checkpoint);
}

static bool
is_listed (const MdHoldResponse *response, const MdGuardRun *run)
{
  for (size_t i = 0; i < response->n_runs; i++)
    if (response->runs[i].run_number == run->run_number
        && strcmp (response->runs[i].task, run->task) == 0)
      return true;
  return false;
}

static bool
is_ended (const MdHoldResponse *response, const MdGuardRun *run)
{
  for (size_t i = 0; i < response->n_ends; i++)
    if (response->ends[i].run_number == run->run_number
        && strcmp (response->ends[i].task, run->task) == 0)
      return true;
  return false;
}

/* Whether a start may have been executed by the lifetime that sent the response, after it listed
   its runs, or may still be. */
static bool
may_start_later (const MdRunGuard *guard, const MdGuardRun *run)
{
  if (run->confirmed)
    return run->confirmed_at >= guard->hold_sent;
  return run->start_in_progress || guard->hold_token < run->fenced_by;
}

/* Ends the runs that ended with the former lifetime of the worker. A worker may start again under
   the name that it had, so that the new lifetime can have executed starts that were sent before its
   birth was known. */
static void
end_former_runs (MdRunGuard *guard, const MdHoldResponse *response, MdRunResult crashed)
{
  for (MdRun *queued = guard->queue.running.first, *next; queued != NULL; queued = next)
    {
      MdGuardRun *run = guard_run (queued);

      next = queued->next;
      if (is_listed (response, run) || is_ended (response, run))
        continue;
      if (may_start_later (guard, run))
        run->outlived = true;
      else
        md_guard_end_run (guard, run, crashed, "");
    }
}

/* Compares the runs that the worker lists with those started there. A listed run is confirmed. A
   fenced one that is not listed was never started, or by a former lifetime only. A confirmed one
   that is missing from MAX_MISSING_HOLDS holds in a row has ended. */
static void
reconcile (MdRunGuard *guard, const MdHoldResponse *response)
{
  for (MdRun *queued = guard->queue.running.first, *next; queued != NULL; queued = next)
    {
      MdGuardRun *run = guard_run (queued);

      next = queued->next;
      if (is_listed (response, run))
        {
          if (!run->confirmed)
            confirm_run (guard, run);
          run->missing_holds = 0;
        }
      else if (!run->confirmed && run->fenced_by != 0 && guard->hold_token >= run->fenced_by)
        md_guard_end_run (guard, run, run->outlived ? MD_RUN_CRASHED : MD_RUN_REJECTED, "");
      else if (run->confirmed && guard->hold_sent > run->confirmed_at
               && ++run->missing_holds >= MAX_MISSING_HOLDS)
        {
          md_log (MD_LOG_WARN, "run-missing", "task=%s run=%u", run->task, run->run_number);
          md_guard_end_run (guard, run, MD_RUN_LEASE_EXPIRED, "");
        }
    }
}

/* Adopts the runs that wait after a rejection although the worker lists them. */
static void
adopt_rejected_runs (MdRunGuard *guard, const MdHoldResponse *response)
{
  for (size_t i = 0; i < response->n_runs; i++)
    {
      MdGuardRun *run = find_sent_run (guard, response->runs[i].task, response->runs[i].run_number);

      if (run != NULL && run->queued.state == MD_RUN_WAITING)
        adopt_run (guard, run);
    }
}

/* Stops listed runs that this process did not start: they were left by an earlier one. */
static void
stop_unknown_runs (MdRunGuard *guard, const MdHoldResponse *response)
{
  size_t unknown = 0;

  for (size_t i = 0; i < response->n_runs; i++)
    if (find_sent_run (guard, response->runs[i].task, response->runs[i].run_number) == NULL)
      {
        unknown++;
        if (may_stop (guard))
          send_stop (guard, md_str (response->runs[i].task), response->runs[i].run_number, 0, 0);
      }
  guard->worker.has_unknown = unknown > 0;
  if (unknown == 0 && !guard->worker.clean)
    {
      guard->worker.clean = true;
      guard->state_version++;
    }
  if (unknown > 0)
    {
      md_log (MD_LOG_INFO, "runs-stopped",
              "worker=%s count=%zu reason=\"not ordered by this process\"",
              md_guard_worker_name (&guard->worker), unknown);
      guard->hold_due = guard->now + STOP_RETRY_DELAY / 2;
    }
}

static void
mark_reachable (MdRunGuard *guard)
{
  guard->worker.last_response_at = guard->now;
  if (guard->worker.reachable)
    return;
  guard->worker.reachable = true;
  guard->state_version++;
  md_log (MD_LOG_INFO, "worker-reached", "worker=%s", md_guard_worker_name (&guard->worker));
}

static void
handle_hold_response (MdRunGuard *guard, const MdHoldResponse *response)
{
  if (response->born_ms != guard->worker.report.born_ms)
    {
      MdRunResult crashed = crash_result (guard);

      md_guard_begin_lifetime (guard, response->born_ms);
      end_former_runs (guard, response, crashed);
    }
  update_clock_offset (guard, response->clock_ms);
  mark_reachable (guard);
  if (guard->hold_token > guard->worker.acked_token)
    guard->worker.acked_token = guard->hold_token;
  guard->hold_due = guard->now;
  for (size_t i = 0; i < response->n_ends; i++)
    handle_end (guard, &response->ends[i]);
  adopt_rejected_runs (guard, response);
  reconcile (guard, response);
  stop_unknown_runs (guard, response);
  md_guard_settle_report (guard);
  md_guard_update_accepting (guard);
}

/* A hold that was refused has not reached the worker, so that it extends no lease. */
static void
undo_extension (MdRunGuard *guard)
{
  if (guard->worker.lease_until == guard->lease_after)
    guard->worker.lease_until = guard->lease_before;
}

static void
mark_unreachable (MdRunGuard *guard)
{
  MdGuardWorker *worker = &guard->worker;

  worker->reachable = false;
  guard->state_version++;
  md_log (MD_LOG_WARN, "worker-unreachable", "worker=%s silent_ms=%lld refused=%d",
          md_guard_worker_name (worker),
          (long long)((guard->now - worker->last_response_at) / MD_MS), worker->refused);
  md_guard_update_accepting (guard);
}

/* Nobody listens at the worker's address: its process has ended, or it is cut off. Runs that wait
   here are better off at other workers. */
static void
handle_refusal (MdRunGuard *guard)
{
  guard->worker.refused = true;
  if (guard->worker.reachable)
    mark_unreachable (guard);
}

static void
on_hold_response (void *user, const MdHttpAsyncResponse *response)
{
  MdRunGuard *guard = user;
  MdError error = response->error;
  MdHoldResponse hold = { 0 };

  guard->hold_in_progress = false;
  guard->worker.refused = response->refused;
  guard->now = md_now ();
  if (response->refused)
    {
      undo_extension (guard);
      handle_refusal (guard);
    }
  guard->hold_due
      = guard->now + (guard->worker.reachable ? HOLD_RETRY_DELAY : HOLD_RETRY_UNREACHABLE);
  if (response->status == 200
      && md_platform_parse_hold_response (response->body, &hold, &error) == MD_OK)
    {
      handle_hold_response (guard, &hold);
      guard->last_hold_failed = false;
    }
  else
    {
      guard->last_hold_failed = true;
      md_count (MD_M_HOLDS_UNANSWERED, 1);
      if (guard->worker.reachable)
        start_lossy_period (guard);
      if (response->status == 409)
        raise_token (guard, guard->hold_token, TOKEN_JUMP);
      if (guard->worker.reachable)
        md_log (MD_LOG_WARN, "hold-failed", "worker=%s status=%d reason=\"%s\"",
                md_guard_worker_name (&guard->worker), response->status, error.detail);
    }
  md_hold_response_clear (&hold);
}

static void
send_hold (MdRunGuard *guard)
{
  bool lossy = guard->now < guard->lossy_until;
  MdTime wait = lossy ? HOLD_WAIT_LOSSY : HOLD_WAIT;
  MdTime margin = lossy ? HOLD_MARGIN_LOSSY : HOLD_MARGIN;
  MD_AUTO_CALL order = { 0 };

  if (!guard->worker.clean || guard->worker.acked_token != guard->worker.token
      || guard->worker.has_unproven)
    wait = 0; /* the response is needed at once, not with the next end */

  /* No worker name is given: any lifetime may answer the hold, and states its birth in the
     response. */
  md_platform_hold (&order, MD_STR (""), lease_deadline_ms (guard), guard->worker.token,
                    guard->worker.acked_end, wait);
  guard->hold_sent = guard->now;
  guard->hold_token = guard->worker.token;
  guard->hold_in_progress = md_daemon_call (guard->http, guard->daemon.settings.worker_address,
                                            &order, wait + margin, on_hold_response, guard)
                            == MD_OK;
  guard->hold_due = guard->now + HOLD_RETRY_DELAY;
  guard->lease_before = guard->worker.lease_until;
  if (lease_deadline_ms (guard) > 0)
    extend_lease (guard);
  guard->lease_after = guard->worker.lease_until;
}

/* ------------------------------------------------------------------ */
/* Starts                                                             */

/* Puts a run that the worker rejected back into the queue if a later start may succeed, otherwise
   ends it. A queue that has been closed meanwhile takes none back: nothing would start it. */
static void
reject_start (MdRunGuard *guard, MdGuardRun *run, MdOrderResult result)
{
  bool retry = result == MD_ORDER_FENCED || result == MD_ORDER_LEASE_EXPIRED
               || result == MD_ORDER_NO_CAPACITY;

  md_count (MD_M_STARTS_REFUSED, 1);
  md_log (MD_LOG_INFO, "start-rejected", "task=%s run=%u result=%d attempt=%u", run->task,
          run->run_number, (int)result, run->rejected_starts + 1);
  if (result == MD_ORDER_NO_CAPACITY)
    guard->start_after = guard->now + CAPACITY_RETRY_DELAY;
  if (retry && !run->cancelled && guard->queue.accepting
      && ++run->rejected_starts < MAX_REJECTED_STARTS)
    md_runqueue_requeue (&guard->queue, &run->queued);
  else
    md_guard_end_run (guard, run, result == MD_ORDER_STALE ? MD_RUN_STALE : MD_RUN_REJECTED, "");
}

/* A start call got no response. Whether it took effect is known only after a hold with a higher
   token has been answered. */
static void
fence_start (MdRunGuard *guard, MdGuardRun *run, const OrderCall *call, const MdError *error)
{
  start_lossy_period (guard);
  md_count (MD_M_STARTS_UNANSWERED, 1);
  raise_token (guard, call->token, TOKEN_STEP);
  run->fenced_by = call->token + 1;
  md_log (MD_LOG_WARN, "start-unanswered", "task=%s run=%u token=%llu reason=\"%s\"", run->task,
          run->run_number, (unsigned long long)call->token, error->detail);
}

static void
on_start_response (void *user, const MdHttpAsyncResponse *response)
{
  MD_AUTO_ORDER_CALL *call = user;
  MdRunGuard *guard = call->guard;
  MdGuardRun *run = md_guard_find_order (guard, call->entry, call->id);
  MdOrderResult result;
  int64_t clock_ms;

  guard->now = md_now ();
  if (run == NULL || !run->start_in_progress)
    return;
  run->start_in_progress = false;
  if (response->refused)
    {
      handle_refusal (guard);
      md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
      return;
    }
  if (response->status == 0)
    {
      fence_start (guard, run, call, &response->error);
      return;
    }
  result = md_platform_parse_start_response (response->status, response->body, &clock_ms);
  if (md_str_equal (md_traits_name (call->worker), md_traits_name (guard->worker.report.traits)))
    update_clock_offset (guard, clock_ms);
  if (result == MD_ORDER_FENCED)
    raise_token (guard, call->token, TOKEN_JUMP);
  if (result == MD_ORDER_STARTED)
    confirm_run (guard, run);
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
                            .lease_deadline_ms = lease_deadline_ms (guard),
                            .token = guard->worker.token,
                            .checkpoint = md_str (run->checkpoint),
                            .permit = md_str (run->permit) };

  md_platform_start (&order, md_str (md_guard_worker_name (&guard->worker)), &start);
  run->start_in_progress = true;
  run->confirmed = false;
  run->fenced_by = 0;
  extend_lease (guard);
  md_count (MD_M_STARTS, 1);
  md_guard_record_start (guard, run);
  if (send_order (guard, guard->http, &order, START_TIMEOUT, on_start_response,
                  new_order_call (guard, &guard->start_calls, run->queued.entry, run->queued.id))
      != MD_OK)
    md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
}

/* ------------------------------------------------------------------ */
/* Poll                                                               */

/* Sets until when the lease of the worker may be extended. Stops usually end the runs long before
   the limit matters. A former process may have left runs whose entries count on the last lease that
   it granted: until none is known to be there, the lease is not extended at all. */
static void
update_lease_limit (MdRunGuard *guard)
{
  bool is_free = guard->worker.clean && !guard->worker.has_unknown;
  MdTime limit = is_free ? INT64_MAX : 0;
  unsigned cancelled = 0;
  bool is_short;

  for (const MdRun *queued = guard->queue.running.first; queued != NULL; queued = queued->next)
    {
      const MdGuardRun *run = (const MdGuardRun *)queued;

      if (!run->cancelled)
        continue;
      cancelled++;
      limit = md_time_min (limit, md_leases_limit (&guard->daemon.leases, run->had_to_end_at));
    }
  is_short = limit < guard->now + MIN_START_LEASE;
  if (is_short && cancelled > 0 && !guard->worker.lease_is_short)
    {
      md_count (MD_M_LEASES_LIMITED, 1);
      md_log (MD_LOG_WARN, "lease-limited", "worker=%s left_ms=%lld cancelled=%u runs=%u stops=%u",
              md_guard_worker_name (&guard->worker),
              (long long)((limit > guard->now ? limit - guard->now : 0) / MD_MS), cancelled,
              guard->queue.running.n, guard->stop_calls);
    }
  guard->worker.lease_limit = limit;
  guard->worker.lease_is_short = is_short;
}

/* Sends the stops that are due; returns the time of the next one. */
static MdTime
poll_stops (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;

  for (MdRun *queued = guard->queue.running.first; queued != NULL; queued = queued->next)
    {
      MdGuardRun *run = guard_run (queued);

      if (!run->cancelled || run->start_in_progress || run->stop_in_progress)
        continue;
      if (guard->now >= run->stop_due && !may_stop (guard))
        continue; /* the response to another call wakes the engine */
      if (guard->now >= run->stop_due)
        {
          run->stop_due = guard->now + STOP_RETRY_DELAY;
          run->stop_in_progress = send_stop (guard, md_str (run->task), run->run_number,
                                             run->queued.entry, run->queued.id)
                                  == MD_OK;
        }
      if (run->stop_due < due)
        due = run->stop_due;
    }
  return due;
}

/* Checks whether the worker is reachable and whether its lease has expired, which ends all runs;
   returns the time of the next check. */
static MdTime
poll_timeouts (MdRunGuard *guard)
{
  MdGuardWorker *worker = &guard->worker;

  if (worker->reachable && guard->now >= worker->last_response_at + UNREACHABLE_AFTER)
    mark_unreachable (guard);
  if (guard->queue.running.n > 0 && guard->now >= worker->lease_until)
    {
      md_log (MD_LOG_WARN, "lease-lapsed", "worker=%s runs=%u refused=%d",
              md_guard_worker_name (worker), guard->queue.running.n, worker->refused);
      end_started_runs (guard, worker->refused ? crash_result (guard) : MD_RUN_LEASE_EXPIRED);
    }
  if (guard->queue.running.n > 0)
    return worker->lease_until;
  return worker->reachable ? worker->last_response_at + UNREACHABLE_AFTER : INT64_MAX;
}

static bool
may_start (const MdRunGuard *guard)
{
  return guard->start_calls < MAX_START_CALLS;
}

/* Rejects the runs that must not wait and could not be started. If members of gangs waited, the
   gangs of two entries could each hold the capacity that the other one waits for. Those that wait
   for the calls in progress may still start. */
static void
reject_delayed (MdRunGuard *guard)
{
  if (!may_start (guard))
    return;
  for (MdRun *run = guard->queue.waiting.first, *next; run != NULL; run = next)
    {
      next = run->next;
      if (run->at_once)
        md_guard_end_run (guard, guard_run (run), MD_RUN_REJECTED, "");
    }
}

MdTime
md_guard_worker_poll (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;
  MdTime next;

  /* Must precede the hold and the starts: this process may have been suspended since the last poll,
     and the leases of entries may have expired meanwhile. */
  md_guard_check_leases (guard);
  update_lease_limit (guard);
  if (!guard->hold_in_progress && guard->now >= guard->hold_due)
    send_hold (guard);
  if (!guard->hold_in_progress)
    due = guard->hold_due;
  next = poll_stops (guard);
  due = next < due ? next : due;
  next = poll_timeouts (guard);
  due = next < due ? next : due;
  due = md_time_min (due, md_guard_warmup_poll (guard));
  if (guard->now >= guard->start_after && !guard->worker.lease_is_short)
    for (MdRun *run;
         may_start (guard) && (run = md_runqueue_next (&guard->queue, guard->now)) != NULL;)
      send_start (guard, guard_run (run));
  else if (guard->now < guard->start_after && guard->start_after < due)
    due = guard->start_after;
  reject_delayed (guard);
  return due;
}
