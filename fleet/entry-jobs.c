/* entry-jobs.c -- jobs at an entry: taken in or rejected, placed, answered

   Every entry places the jobs that it took in by itself. The decisions are those of
   sched/: this file feeds them and carries them out. */

#include "run-entry.h"

#include <stdio.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <xxhash.h>

#define OVERDUE_MARGIN (15 * MD_MS) /* a run that waits longer than expected is looked at */
#define STALLED_FACTOR 2            /* of the expected run time, at a stalled worker */
#define MOVE_GAIN (15 * MD_MS)      /* a run is moved to another guard for no less */
#define TICK (10 * MD_MS)           /* between looks at waiting runs */
#define MAX_REJECTIONS 8            /* of one task by guards, before its job is given up */
#define STALE_JUMP 1000             /* raise of run numbers after a worker had seen higher ones */
#define STATUS_GIVEN_UP 504         /* something of the job may have run */

/* ------------------------------------------------------------------ */
/* Table of jobs                                                      */

static uint32_t
bucket_of (const char *id)
{
  return (uint32_t)(XXH64 (id, strlen (id), 0) % MD_JOB_BUCKETS);
}

static MdEntryJob *
find_job (const MdRunEntry *entry, const char *id, const MdRoute *route)
{
  for (MdEntryJob *job = entry->buckets[bucket_of (id)]; job != NULL; job = job->bucket_next)
    if (strcmp (job->id, id) == 0 && strcmp (job->route.prefix, route->prefix) == 0
        && strcmp (job->route.host, route->host) == 0)
      return job;
  return NULL;
}

static void
link_job (MdRunEntry *entry, MdEntryJob *job)
{
  uint32_t bucket = bucket_of (job->id);

  job->bucket_next = entry->buckets[bucket];
  entry->buckets[bucket] = job;
  job->next = entry->jobs;
  if (entry->jobs != NULL)
    entry->jobs->previous = job;
  entry->jobs = job;
  entry->n_jobs++;
}

static void
unlink_job (MdRunEntry *entry, MdEntryJob *job)
{
  MdEntryJob **place = &entry->buckets[bucket_of (job->id)];

  while (*place != job)
    place = &(*place)->bucket_next;
  *place = job->bucket_next;
  if (job->previous != NULL)
    job->previous->next = job->next;
  else
    entry->jobs = job->next;
  if (job->next != NULL)
    job->next->previous = job->previous;
  entry->n_jobs--;
}

static MdQueueStats *
stats_of (MdRunEntry *entry, const char *name)
{
  MdQueueStats *grown;

  for (uint32_t i = 0; i < entry->n_stats; i++)
    if (strcmp (entry->stats[i]->name, name) == 0)
      return entry->stats[i];
  if (entry->n_stats == MD_MAX_QUEUES)
    return entry->stats[0];
  grown = calloc (1, sizeof *grown);
  if (grown == NULL)
    return entry->stats[0];
  md_str_copy (grown->name, sizeof grown->name, md_str (name));
  grown->allowed_share = MD_INITIAL_ALLOWED_SHARE;
  entry->stats[entry->n_stats++] = grown;
  return grown;
}

/* ------------------------------------------------------------------ */
/* Answers                                                            */

/* Nothing of the job has run or will. */
static bool
is_rejection (int status)
{
  return status == 429 || status == 503;
}

static void
wake_thread (int event)
{
  uint64_t one = 1;

  if (write (event, &one, sizeof one) < 0)
    md_log (MD_LOG_ERROR, "eventfd", "reason=\"the waiting thread was not woken\"");
}

static void
answer_caller_request (MdCallerRequest *caller_request, int status, const char *state,
                       MdTime retry_after)
{
  int event = caller_request->event;

  caller_request->job = NULL;
  caller_request->status = status;
  caller_request->retry_after = retry_after;
  if (state != NULL)
    md_platform_write_state (&caller_request->body, state);
  else if (is_rejection (status))
    md_buf_append (&caller_request->body, MD_STR (MD_BODY_NOT_RUN));
  /* The request belongs to its thread from here on. */
  atomic_store (&caller_request->answered, true);
  wake_thread (event);
}

static const char *
outcome_of (int status, const char *state)
{
  if (state != NULL)
    return state;
  return is_rejection (status) ? "not_run" : "unknown";
}

static void
log_answer (const MdRunEntry *entry, const MdEntryJob *job, int status, const char *state,
            const char *reason, MdTime retry_after)
{
  md_log (MD_LOG_INFO, "job-answered",
          "job=%s request=%s queue=%s status=%d outcome=%s reason=%s elapsed_ms=%lld "
          "goal_ms=%lld first_start_ms=%lld retry_after_ms=%lld",
          job->id, job->request_id, job->route.name, status, outcome_of (status, state), reason,
          (long long)((entry->now - job->arrived) / MD_MS),
          (long long)((job->goal - job->arrived) / MD_MS),
          (long long)(job->started_at > 0 ? (job->started_at - job->arrived) / MD_MS : -1),
          (long long)(retry_after / MD_MS));
}

static void
count_answer (const MdRunEntry *entry, MdEntryJob *job, int status, const char *state)
{
  MdTime elapsed = entry->now - job->arrived;
  bool late = entry->now > job->goal;
  MdMetric metric = MD_M_GIVEN_UP;
  MdHistogram histogram = MD_H_JOB_GIVEN_UP;
  MdJobOutcome count = MD_JOB_OUTCOME_GIVEN_UP;

  if (state != NULL && strcmp (state, MD_PLATFORM_COMPLETED) == 0)
    {
      metric = MD_M_JOBS_DONE;
      histogram = MD_H_JOB_COMPLETED;
      count = late ? MD_JOB_OUTCOME_LATE : MD_JOB_OUTCOME_IN_GOAL;
      md_count (MD_M_LATE, late);
    }
  else if (status == 0 || (state != NULL && strcmp (state, MD_PLATFORM_CANCELLED) == 0))
    {
      metric = MD_M_CALLERS_LEFT;
      histogram = MD_H_JOB_LEFT;
      count = MD_JOB_OUTCOME_CALLER_LEFT;
    }
  else if (status == 200)
    {
      metric = MD_M_JOBS_FAILED;
      histogram = MD_H_JOB_FAILED;
      count = MD_JOB_OUTCOME_FAILED;
    }
  else if (is_rejection (status))
    {
      metric = MD_M_REFUSED;
      histogram = MD_H_JOB_REJECTED;
      count = MD_JOB_OUTCOME_REJECTED;
    }
  md_count (metric, 1);
  md_observe (histogram, elapsed);
  atomic_fetch_add (&job->stats->counts[count], 1);
}

static void
free_job (MdRunEntry *entry, MdEntryJob *job)
{
  md_entry_free_advice (entry, job);
  md_runjob_clear (&job->runjob);
  free (job);
}

/* Runs that are left are ended at their guards; their orders outlive the job. */
static void
release_orders (MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      {
        MdEntryOrder *order = job->runjob.tasks[i][k].order;

        if (order == NULL)
          continue;
        order->job = NULL;
        if (order->sent)
          md_entry_cancel (order);
        else
          order->cancelled = true;
      }
}

void
md_entry_finish_job (MdRunEntry *entry, MdEntryJob *job, int status, const char *state,
                     const char *reason, MdTime retry_after)
{
  log_answer (entry, job, status, state, reason, retry_after);
  count_answer (entry, job, status, state);
  while (job->requests != NULL)
    {
      MdCallerRequest *caller_request = job->requests;

      job->requests = caller_request->next;
      answer_caller_request (caller_request, status, state, retry_after);
    }
  release_orders (job);
  unlink_job (entry, job);
  free_job (entry, job);
}

static void
submit (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = find_job (entry, caller_request->id, &caller_request->route);
  MdError error = { 0 };
  double chain;

  md_count (MD_M_JOBS, 1);
  if (job != NULL)
    {
      /* The same job again: its callers share the answer. */
      md_run_spec_clear (&caller_request->spec);
      caller_request->job = job;
      caller_request->next = job->requests;
      job->requests = caller_request;
      return;
    }
  job = calloc (1, sizeof *job);
  if (job != NULL && caller_request->route.advisor.present)
    job->advice = calloc (caller_request->spec.n_steps, sizeof *job->advice);
  if (job == NULL || (caller_request->route.advisor.present && job->advice == NULL))
    {
      free (job);
      md_entry_reject_request (caller_request);
      return;
    }
  if (md_runjob_init (&job->runjob, &caller_request->spec, caller_request->route.max_attempts,
                      &error)
      != MD_OK)
    {
      md_log (MD_LOG_WARN, "job-rejected", "job=%s queue=%s reason=\"%s\"", caller_request->id,
              caller_request->route.name, error.detail);
      free_job (entry, job);
      answer_caller_request (caller_request, 503, NULL, 0);
      return;
    }
  md_str_copy (job->id, sizeof job->id, md_str (caller_request->id));
  md_str_copy (job->request_id, sizeof job->request_id, md_str (caller_request->request_id));
  job->route = caller_request->route;
  job->stats = stats_of (entry, caller_request->route.name);
  md_estimate_set_prior (&job->stats->correction, &entry->correction);
  job->requests = caller_request;
  caller_request->job = job;
  link_job (entry, job);
  chain = md_entry_set_times (job, caller_request);
  md_entry_admit (entry, job, chain);
}

/* A caller that has left does not want the work any more. */
static void
forget_caller (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = caller_request->job;
  MdCallerRequest **place;

  if (job == NULL)
    return; /* answered meanwhile */
  for (place = &job->requests; *place != caller_request; place = &(*place)->next)
    ;
  *place = caller_request->next;
  answer_caller_request (caller_request, 0, NULL, 0);
  if (job->requests == NULL)
    md_entry_finish_job (entry, job, 0, NULL, "caller-left", 0);
}

/* The thread may free the request that the caller left as soon as it is seen. */
static void
release_gone (MdCallerRequest *gone)
{
  int event = gone->abandoned->event;

  atomic_store (&gone->abandoned->abandon_handled, true);
  wake_thread (event);
  free (gone);
}

static void
count_pending (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  uint64_t n = 0;

  for (const MdEntryJob *job = entry->jobs; job != NULL; job = job->next)
    n += job->started_at == 0 && strcmp (job->route.name, caller_request->route.name) == 0;
  md_platform_write_pending (&caller_request->body, n);
  answer_caller_request (caller_request, 200, NULL, 0);
}

/* A best-effort job is known only to the entry that took it in, and only until it has
   ended. */
static void
answer_unknown (MdCallerRequest *caller_request)
{
  md_buf_append (&caller_request->body, MD_STR ("{}"));
  answer_caller_request (caller_request, 410, NULL, 0);
}

static void
answer_state (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  const MdEntryJob *job = find_job (entry, caller_request->id, &caller_request->route);

  if (job == NULL)
    answer_unknown (caller_request);
  else
    answer_caller_request (caller_request, 200,
                           job->started_at > 0 ? MD_PLATFORM_IN_PROGRESS : MD_PLATFORM_QUEUED, 0);
}

static void
cancel_job (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = find_job (entry, caller_request->id, &caller_request->route);

  if (job == NULL)
    {
      answer_unknown (caller_request);
      return;
    }
  md_entry_finish_job (entry, job, 200, MD_PLATFORM_CANCELLED, "cancelled", 0);
  answer_caller_request (caller_request, 200, MD_PLATFORM_CANCELLED, 0);
}

void
md_entry_handle_request (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  switch (caller_request->kind)
    {
    case MD_CALLER_REQUEST_SUBMIT:
      submit (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_ABANDON:
      forget_caller (entry, caller_request->abandoned);
      release_gone (caller_request);
      break;
    case MD_CALLER_REQUEST_PENDING:
      count_pending (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_STATE:
      answer_state (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_CANCEL:
      cancel_job (entry, caller_request);
      break;
    }
}

void
md_entry_reject_request (MdCallerRequest *caller_request)
{
  if (caller_request->kind == MD_CALLER_REQUEST_ABANDON)
    {
      release_gone (caller_request);
      return;
    }
  md_run_spec_clear (&caller_request->spec);
  answer_caller_request (caller_request, 503, NULL, MD_RETRY_AFTER_NO_WORKER);
}

/* ------------------------------------------------------------------ */
/* Reports of guards                                                  */

void
md_entry_order_started (MdRunEntry *entry, MdEntryOrder *order)
{
  order->started = true;
  if (order->job == NULL)
    return;
  order->job->runjob.started = true;
  if (order->job->started_at == 0)
    {
      order->job->started_at = entry->now;
      md_observe (MD_H_FIRST_START, entry->now - order->job->arrived);
    }
}

static void
unlink_order (MdEntryOrder *order)
{
  MdEntryGuard *guard = order->guard;

  if (order->previous != NULL)
    order->previous->next = order->next;
  else
    guard->orders = order->next;
  if (order->next != NULL)
    order->next->previous = order->previous;
}

static void
learn (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run)
{
  MdWorker *worker = &order->guard->worker;

  if (worker->outstanding > 0)
    worker->outstanding--;
  if (result == MD_RUN_DONE && order->job != NULL && run > 0)
    md_estimate_learn_work (&order->job->stats->correction, &entry->correction, order->declared_run,
                            (double)run * worker->speed, &entry->daemon.settings.tuning);
}

/* A job that is being given up is rejected once nothing of it is out; when some of it
   has run after all, the answer must not say otherwise. */
static void
settle_given_up (MdRunEntry *entry, MdEntryJob *job)
{
  if (job->runjob.ordered > 0)
    return;
  if (job->runjob.started)
    md_entry_finish_job (entry, job, STATUS_GIVEN_UP, NULL, "given-up", 0);
  else
    md_entry_finish_job (entry, job, 429, NULL, "overload", MD_RETRY_AFTER_NO_WORKER / 2);
}

static void
advance_job (MdRunEntry *entry, MdEntryJob *job)
{
  switch (job->runjob.state)
    {
    case MD_RUNJOB_COMPLETED:
      md_entry_finish_job (entry, job, 200, MD_PLATFORM_COMPLETED, "done", 0);
      break;
    case MD_RUNJOB_FAILED:
      md_entry_finish_job (entry, job, 200, MD_PLATFORM_FAILED, "task-failed", 0);
      break;
    case MD_RUNJOB_ACTIVE:
      if (job->giving_up)
        settle_given_up (entry, job);
      else if (job->runjob.ready > 0)
        md_entry_place_ready (entry, job);
      break;
    }
}

/* The members of a gang that are left cannot do anything without the one that ended. */
static void
end_gang (MdEntryJob *job, uint32_t step)
{
  for (uint32_t k = 0; k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      MdEntryOrder *order = job->runjob.tasks[step][k].order;

      if (order != NULL)
        md_entry_cancel (order);
    }
}

/* All members of a gang resume from the same state. */
static void
keep_checkpoint (MdEntryJob *job, const MdEntryOrder *order, const char *checkpoint)
{
  const MdRunStep *step = &job->runjob.spec.steps[order->step];
  uint32_t first = step->gang ? 0 : order->task;
  uint32_t end = step->gang ? step->n_tasks : order->task + 1;

  for (uint32_t k = first; k < end; k++)
    md_str_copy (job->runjob.tasks[order->step][k].checkpoint, MD_CHECKPOINT_BYTES,
                 md_str (checkpoint));
}

void
md_entry_order_ended (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run,
                      const char *checkpoint)
{
  MdEntryJob *job = order->job;
  MdRunTask *task;

  unlink_order (order);
  learn (entry, order, result, run);
  if (result == MD_RUN_LEASE_EXPIRED)
    md_count (MD_M_RUNS_LOST, 1);
  if (job != NULL)
    {
      task = &job->runjob.tasks[order->step][order->task];
      if (result != MD_RUN_REJECTED && result != MD_RUN_STALE)
        md_entry_order_started (entry, order);
      if (checkpoint[0] != '\0')
        keep_checkpoint (job, order, checkpoint);
      /* The permit may be the reason. */
      if (result == MD_RUN_REJECTED && job->advice != NULL)
        md_advice_expire (&job->advice[order->step], order->guard->worker.lifetime);
      if (result == MD_RUN_STALE)
        job->run_number_offset += STALE_JUMP;
      task->last_worker = result == MD_RUN_DONE || order->withdrawn ? NULL : &order->guard->worker;
      md_runjob_record_end (&job->runjob, order->step, order->task, result);
      if (md_runjob_gang_broken (&job->runjob, order->step))
        end_gang (job, order->step);
      if (result != MD_RUN_DONE)
        md_log (MD_LOG_INFO, "run-ended",
                "job=%s request=%s step=%u task=%u run=%u guard=%s how=%s run_ms=%lld left_ms=%lld",
                job->id, job->request_id, order->step, order->task, order->run_number,
                order->guard->name, md_run_result_name (result), (long long)(run / MD_MS),
                (long long)((job->deadline - entry->now) / MD_MS));
    }
  free (order);
  if (job != NULL)
    advance_job (entry, job);
}

void
md_entry_clear_worker (MdRunEntry *entry, const MdWorker *worker)
{
  for (MdEntryJob *job = entry->jobs; job != NULL; job = job->next)
    for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
      for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
        if (job->runjob.tasks[i][k].last_worker == worker)
          job->runjob.tasks[i][k].last_worker = NULL;
}

/* ------------------------------------------------------------------ */
/* Tick                                                               */

static bool
is_overdue (const MdRunEntry *entry, const MdEntryOrder *order)
{
  return order != NULL && order->sent && !order->started && !order->withdrawn
         && entry->now > order->placed_at + order->expected_wait + OVERDUE_MARGIN;
}

/* Takes a run back that could start sooner elsewhere. */
static void
move_if_better (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order)
{
  MdWorker *here = &order->guard->worker;
  MdPlacement other;
  MdTaskRequirements need;
  MdTime stay;

  md_entry_requirements (entry, job, order->step, &need);
  if (!md_entry_apply_advice (entry, job, order->step, &need))
    return;
  other = md_place (&entry->workers, &need, NULL, here, entry->now);
  if (other.worker == NULL || other.worker == here)
    return;
  stay = (here->connected ? here->wait : entry->daemon.leases.ended_after) + order->expected_run;
  if (other.wait > 0 || other.run_time + MOVE_GAIN >= stay)
    return;
  md_log (MD_LOG_INFO, "run-moved",
          "job=%s step=%u task=%u from=%s to=%s stay_ms=%lld there_ms=%lld waited_ms=%lld", job->id,
          order->step, order->task, order->guard->name, ((MdEntryGuard *)other.worker)->name,
          (long long)(stay / MD_MS), (long long)((other.wait + other.run_time) / MD_MS),
          (long long)((entry->now - order->placed_at) / MD_MS));
  md_count (MD_M_RUNS_MOVED, 1);
  md_worker_reserve (other.worker, need.resources, other.run_time);
  md_entry_withdraw (order);
}

/* A run that is overdue at a worker whose runs stand still is ended there and ordered
   elsewhere, as long as the answer is still worth something. */
static void
abandon_if_stalled (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order)
{
  MdTime taken = entry->now - order->placed_at - order->expected_wait;

  /* Only a first attempt: its estimate may be to blame. */
  if (!order->started || order->cancelled || !order->guard->worker.stalled
      || job->runjob.tasks[order->step][order->task].run_number > 1
      || taken < STALLED_FACTOR * order->expected_run
      || entry->now + order->expected_run / 2 > job->limit)
    return;
  md_log (MD_LOG_INFO, "run-abandoned",
          "job=%s step=%u task=%u run=%u guard=%s taken_ms=%lld expected_ms=%lld", job->id,
          order->step, order->task, order->run_number, order->guard->name,
          (long long)(taken / MD_MS), (long long)(order->expected_run / MD_MS));
  md_entry_cancel (order);
}

static void
look_at_orders (MdRunEntry *entry, MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      {
        MdEntryOrder *order = job->runjob.tasks[i][k].order;

        /* One member of a gang that is taken away ends the runs of all. */
        if (job->runjob.spec.steps[i].gang)
          continue;
        if (is_overdue (entry, order))
          move_if_better (entry, job, order);
        else if (order != NULL)
          abandon_if_stalled (entry, job, order);
      }
}

/* Nothing has started and the goal cannot be met any more: the caller is told at once
   instead of at its deadline. */
static bool
is_hopeless (const MdRunEntry *entry, const MdEntryJob *job)
{
  double shortest = 0;

  if (job->runjob.started || job->runjob.done_steps != 0)
    return false;
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    if (job->runjob.tasks[i][0].state != MD_TASK_BLOCKED
        && md_entry_expected_work (job, i) > shortest)
      shortest = md_entry_expected_work (job, i);
  return entry->now + (MdTime)(shortest / 2) > job->goal;
}

static void
give_up (MdRunEntry *entry, MdEntryJob *job)
{
  job->giving_up = true;
  md_log (MD_LOG_INFO, "job-given-up", "job=%s request=%s queue=%s waited_ms=%lld goal_ms=%lld",
          job->id, job->request_id, job->route.name,
          (long long)((entry->now - job->arrived) / MD_MS),
          (long long)((job->goal - job->arrived) / MD_MS));
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      {
        MdEntryOrder *order = job->runjob.tasks[i][k].order;

        if (order != NULL)
          md_entry_withdraw (order);
      }
  if (job->runjob.ordered == 0)
    settle_given_up (entry, job);
}

static bool
is_rejected_everywhere (const MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      if (job->runjob.tasks[i][k].rejections > MAX_REJECTIONS)
        return true;
  return false;
}

static void
tick_job (MdRunEntry *entry, MdEntryJob *job)
{
  if (entry->now >= job->deadline)
    {
      if (job->runjob.started || job->runjob.ordered > 0)
        md_entry_finish_job (entry, job, STATUS_GIVEN_UP, NULL, "deadline", 0);
      else
        md_entry_finish_job (entry, job, 503, NULL, "deadline", MD_RETRY_AFTER_NO_WORKER);
      return;
    }
  if (job->giving_up)
    {
      /* A run had started after all: the job goes on. */
      if (job->runjob.started)
        job->giving_up = false;
      return;
    }
  if (is_hopeless (entry, job) || (!job->runjob.started && is_rejected_everywhere (job)))
    {
      give_up (entry, job);
      return;
    }
  look_at_orders (entry, job);
  if (job->runjob.ready > 0)
    md_entry_place_ready (entry, job);
}

void
md_entry_jobs_tick (MdRunEntry *entry)
{
  if (entry->now < entry->next_tick)
    return;
  entry->next_tick = entry->now + TICK;
  for (MdEntryJob *job = entry->jobs, *next; job != NULL; job = next)
    {
      next = job->next;
      tick_job (entry, job);
    }
}

void
md_entry_fail_all (MdRunEntry *entry)
{
  while (entry->jobs != NULL)
    {
      MdEntryJob *job = entry->jobs;

      if (job->runjob.ordered > 0 || job->runjob.started)
        md_entry_finish_job (entry, job, STATUS_GIVEN_UP, NULL, "leaving", 0);
      else
        md_entry_finish_job (entry, job, 503, NULL, "leaving", MD_RETRY_AFTER_NO_WORKER);
    }
}
