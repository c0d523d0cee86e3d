/* entry-jobs.c -- life cycle of jobs at an entry, from admission to the answer

   Each entry handles the jobs that were submitted to it without consulting other entries.
   The scheduling decisions are made by the functions of sched/; this file supplies their
   input and carries them out. */

#include "run-entry.h"

#include <stdio.h>
#include <xxhash.h>

/* A run on a stalled worker is cancelled after this multiple of its expected run time. */
#define STALLED_FACTOR 2
#define TICK_INTERVAL (10 * MD_MS) /* between checks of deadlines and waiting runs */
#define MAX_REJECTIONS 8           /* of one task by guards; a job with more is given up */
#define STALE_RUN_NUMBER_STEP 1000 /* added to run numbers when a worker has seen higher ones */
/* Of all active jobs. A task takes about 700 bytes at the entry once it is ordered, and tasks that
   declare no resources are bounded by nothing else. 16,000 starts a second of tasks that take four
   seconds are fewer. */
#define MAX_ACTIVE_TASKS 65536

/* ------------------------------------------------------------------ */
/* Hash table and statistics                                          */

bool
md_entry_is_job_id (const char *id)
{
  size_t len = strlen (id);

  return len > 0 && len < MD_JOB_ID_BYTES && strspn (id, "0123456789abcdefABCDEF") == len;
}

uint64_t
md_entry_hash_id (const char *id)
{
  return XXH64 (id, strlen (id), 0);
}

static uint32_t
bucket_of (const char *id)
{
  return (uint32_t)(md_entry_hash_id (id) % MD_JOB_BUCKETS);
}

MdEntryJob *
md_entry_find_job (const MdRunEntry *entry, const char *id, const MdRoute *route)
{
  for (MdEntryJob *job = entry->buckets[bucket_of (id)]; job != NULL; job = job->bucket_next)
    if (strcmp (job->id, id) == 0 && md_route_is_same_queue (job->route, route))
      return job;
  return NULL;
}

static MdJobKey
job_key (const char *id, const MdRoute *route)
{
  uint64_t queue = XXH3_64bits (route->prefix.data, route->prefix.len);
  XXH128_hash_t hash;

  queue = XXH3_64bits_withSeed (route->host.data, route->host.len, queue);
  hash = XXH3_128bits_withSeed (id, strlen (id), queue);
  return (MdJobKey){ hash.low64, hash.high64 };
}

/* The threads that read the table of recent jobs use the present time, not that of the engine's
   pass. */
void
md_entry_record_end (MdRunEntry *entry, const char *id, const MdRoute *route, MdFinalState end)
{
  md_recent_jobs_add (&entry->recent_jobs, md_entry_hash_id (id), md_now ());
  md_ended_jobs_add (&entry->ended_jobs, job_key (id, route), end, entry->now);
}

/* Remembers a job that has a final state, or of which a part may have run. */
static void
record_end (MdRunEntry *entry, const MdEntryJob *job, const char *state)
{
  MdFinalState end = MD_FINAL_FAILED;

  if (state == NULL && !job->runjob.started && job->runjob.ordered == 0)
    return;
  if (state == NULL)
    end = MD_FINAL_GIVEN_UP;
  else if (strcmp (state, MD_PLATFORM_COMPLETED) == 0)
    end = MD_FINAL_COMPLETED;
  else if (strcmp (state, MD_PLATFORM_CANCELLED) == 0)
    end = MD_FINAL_CANCELLED;
  md_entry_record_end (entry, job->id, job->route, end);
}

const char *
md_entry_find_end (const MdRunEntry *entry, const char *id, const MdRoute *route)
{
  switch (md_ended_jobs_find (&entry->ended_jobs, job_key (id, route), entry->now))
    {
    case MD_FINAL_COMPLETED:
      return MD_PLATFORM_COMPLETED;
    case MD_FINAL_FAILED:
      return MD_PLATFORM_FAILED;
    case MD_FINAL_CANCELLED:
      return MD_PLATFORM_CANCELLED;
    case MD_FINAL_GIVEN_UP:
    case MD_FINAL_UNKNOWN:
      break;
    }
  return NULL;
}

bool
md_entry_may_have_run (const MdRunEntry *entry, const char *id, const MdRoute *route)
{
  return md_ended_jobs_may_have (&entry->ended_jobs, job_key (id, route), entry->now);
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
  entry->n_tasks += md_run_spec_tasks (&job->runjob.spec);
}

static void
unlink_job (MdRunEntry *entry, MdEntryJob *job)
{
  MdEntryJob **link = &entry->buckets[bucket_of (job->id)];

  while (*link != job)
    link = &(*link)->bucket_next;
  *link = job->bucket_next;
  if (job->previous != NULL)
    job->previous->next = job->next;
  else
    entry->jobs = job->next;
  if (job->next != NULL)
    job->next->previous = job->previous;
  entry->n_jobs--;
  entry->n_tasks -= md_run_spec_tasks (&job->runjob.spec);
}

void
md_entry_free_queues (MdRunEntry *entry)
{
  for (uint32_t i = 0; i < entry->n_stats; i++)
    {
      md_route_unref (entry->stats[i]->route);
      free (entry->stats[i]->name);
      free (entry->stats[i]);
    }
  entry->n_stats = 0;
  while (entry->n_pressures > 0)
    free ((char *)entry->pressures[--entry->n_pressures].pool.data);
}

/* Returns the statistics of a queue, created on first use. When the table is full or memory is
   short, the statistics of the first queue are shared. */
static MdQueueStats *
get_stats (MdRunEntry *entry, const MdRoute *route)
{
  MdQueueStats *stats;

  for (uint32_t i = 0; i < entry->n_stats; i++)
    if (md_str_equal (md_str (entry->stats[i]->name), route->name))
      return entry->stats[i];
  if (entry->n_stats == MD_MAX_QUEUES)
    return entry->stats[0];
  stats = calloc (1, sizeof *stats);
  if (stats != NULL)
    stats->name = md_str_dup (route->name);
  if (stats == NULL || stats->name == NULL)
    {
      free (stats);
      return entry->stats[0];
    }
  stats->allowed_share = MD_INITIAL_ALLOWED_SHARE;
  entry->stats[entry->n_stats++] = stats;
  return stats;
}

/* ------------------------------------------------------------------ */
/* Answers                                                            */

static const char *
outcome_name (int status, const char *state)
{
  if (state != NULL)
    return state;
  return md_entry_is_rejection (status) ? "not_run" : "unknown";
}

static void
log_answer (const MdRunEntry *entry, const MdEntryJob *job, int status, const char *state,
            const char *reason, MdTime retry_after)
{
  md_log (MD_LOG_INFO, "job-answered",
          "job=%s request=%s queue=%s status=%d outcome=%s reason=%s elapsed_ms=%lld "
          "goal_ms=%lld first_start_ms=%lld retry_after_ms=%lld",
          job->id, job->request_id, job->route->label.data, status, outcome_name (status, state),
          reason, (long long)((entry->now - job->arrived) / MD_MS),
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
  MdJobOutcome outcome = MD_JOB_OUTCOME_GIVEN_UP;

  if (state != NULL && strcmp (state, MD_PLATFORM_COMPLETED) == 0)
    {
      metric = MD_M_JOBS_DONE;
      histogram = MD_H_JOB_COMPLETED;
      outcome = late ? MD_JOB_OUTCOME_LATE : MD_JOB_OUTCOME_IN_GOAL;
      md_count (MD_M_LATE, late);
    }
  else if (status == 0 || (state != NULL && strcmp (state, MD_PLATFORM_CANCELLED) == 0))
    {
      metric = MD_M_CALLERS_LEFT;
      histogram = MD_H_JOB_LEFT;
      outcome = MD_JOB_OUTCOME_CALLER_LEFT;
    }
  else if (status == 200)
    {
      metric = MD_M_JOBS_FAILED;
      histogram = MD_H_JOB_FAILED;
      outcome = MD_JOB_OUTCOME_FAILED;
    }
  else if (md_entry_is_rejection (status))
    {
      metric = MD_M_REFUSED;
      histogram = MD_H_JOB_REJECTED;
      outcome = MD_JOB_OUTCOME_REJECTED;
    }
  md_count (metric, 1);
  md_observe (histogram, elapsed);
  atomic_fetch_add (&job->stats->counts[outcome], 1);
}

static void
free_job (MdRunEntry *entry, MdEntryJob *job)
{
  md_entry_free_advice (entry, job);
  md_runjob_clear (&job->runjob);
  md_route_unref (job->route);
  free (job);
}

/* Detaches the orders that are left from the job and cancels them at their guards. The orders
   are freed when the guards report their ends. */
static void
cancel_orders (MdEntryJob *job)
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
  if (md_entry_is_rejection (status) && md_entry_may_have_run (entry, job->id, job->route))
    {
      /* Nothing of this attempt has run, but perhaps of an earlier one. */
      status = MD_STATUS_GIVEN_UP;
      retry_after = 0;
    }
  log_answer (entry, job, status, state, reason, retry_after);
  count_answer (entry, job, status, state);
  /* Before the answers: a thread that has one no longer counts as handling the job. */
  record_end (entry, job, state);
  while (job->requests != NULL)
    {
      MdCallerRequest *caller_request = job->requests;

      job->requests = caller_request->next;
      md_entry_answer_request (caller_request, status, state, retry_after);
    }
  cancel_orders (job);
  unlink_job (entry, job);
  free_job (entry, job);
}

/* Rejects a job for which the entry has no memory to spare; it may have later. */
static void
reject_for_tasks (const MdRunEntry *entry, MdCallerRequest *caller_request)
{
  md_log (MD_LOG_WARN, "job-rejected", "job=%s queue=%s reason=\"too many tasks\" active=%llu",
          caller_request->id, caller_request->route->label.data,
          (unsigned long long)entry->n_tasks);
  md_count (MD_M_REFUSED, 1);
  md_entry_reject_request (entry, caller_request, 429, MD_RETRY_AFTER_NO_WORKER);
}

void
md_entry_start_job (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job;
  MdError error = { 0 };
  uint64_t tasks = md_run_spec_tasks (&caller_request->spec);

  /* A job that could never fit is left to the check of its specification. */
  if (tasks <= MD_MAX_JOB_TASKS && entry->n_tasks + tasks > MAX_ACTIVE_TASKS)
    {
      reject_for_tasks (entry, caller_request);
      return;
    }
  job = calloc (1, sizeof *job);
  if (job != NULL && caller_request->route->advisor.present)
    job->advice = calloc (caller_request->spec.n_steps, sizeof *job->advice);
  if (job == NULL || (caller_request->route->advisor.present && job->advice == NULL))
    {
      free (job);
      md_entry_reject_request (entry, caller_request, 503, MD_RETRY_AFTER_NO_WORKER);
      return;
    }
  job->stats = get_stats (entry, caller_request->route);
  if (job->stats == NULL)
    {
      free_job (entry, job);
      md_entry_reject_request (entry, caller_request, 503, MD_RETRY_AFTER_NO_WORKER);
      return;
    }
  if (md_runjob_init (&job->runjob, &caller_request->spec, caller_request->route->max_attempts,
                      &error)
      != MD_OK)
    {
      md_log (MD_LOG_WARN, "job-rejected", "job=%s queue=%s reason=\"%s\"", caller_request->id,
              caller_request->route->label.data, error.detail);
      free_job (entry, job);
      md_entry_reject_request (entry, caller_request, 503, 0);
      return;
    }
  md_str_copy (job->id, sizeof job->id, md_str (caller_request->id));
  md_str_copy (job->request_id, sizeof job->request_id, md_str (caller_request->request_id));
  job->route = md_route_ref (caller_request->route);
  md_entry_note_queue (job);
  md_estimate_set_prior (&job->stats->correction, &entry->correction);
  job->requests = caller_request;
  caller_request->job = job;
  link_job (entry, job);
  md_entry_set_times (job, caller_request);
  md_entry_add_demand (entry, job);
  md_entry_admit (entry, job);
}

/* ------------------------------------------------------------------ */
/* Starts and ends of runs                                            */

void
md_entry_order_started (MdRunEntry *entry, MdEntryOrder *order)
{
  order->started = true;
  md_entry_near_end (entry, order, true);
  if (order->job == NULL)
    return;
  order->job->runjob.started = true;
  if (order->job->started_at == 0)
    {
      order->job->started_at = entry->now;
      md_observe (MD_H_FIRST_START, entry->now - order->job->arrived);
    }
}

void
md_entry_free_order (MdEntryOrder *order)
{
  free (order->permit);
  free (order);
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
learn_run_time (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run)
{
  MdWorker *worker = &order->guard->worker;

  if (worker->outstanding > 0)
    worker->outstanding--;
  if (result == MD_RUN_DONE && order->job != NULL && run > 0)
    md_estimate_learn_work (&order->job->stats->correction, &entry->correction, order->declared_run,
                            (double)run * worker->speed, &entry->daemon.settings.tuning);
}

/* Answers a job that is being given up once none of its orders is left. It is rejected only if
   nothing of it has run. */
static void
finish_given_up (MdRunEntry *entry, MdEntryJob *job)
{
  if (job->runjob.ordered > 0)
    return;
  if (job->runjob.started)
    md_entry_finish_job (entry, job, MD_STATUS_GIVEN_UP, NULL, "given-up", 0);
  else
    md_entry_finish_job (entry, job, 429, NULL, "overload", MD_RETRY_AFTER_NO_WORKER / 2);
}

/* Whether the job still has a caller; otherwise finishes it. Asked before anything is placed that
   was not placed with the admission: a process that was suspended reads reports of guards before
   its threads tell it that callers have left, and these may have repeated the job at another entry.
   */
static bool
keep_for_callers (MdRunEntry *entry, MdEntryJob *job)
{
  if (md_entry_has_caller (job))
    return true;
  md_entry_finish_job (entry, job, 0, NULL, "caller-left", 0);
  return false;
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
    case MD_RUNJOB_CRASHING:
      md_entry_finish_job (entry, job, 200, MD_PLATFORM_FAILED, "task-crashes-workers", 0);
      break;
    case MD_RUNJOB_ACTIVE:
      if (job->giving_up)
        finish_given_up (entry, job);
      else if (job->runjob.ready > 0 && keep_for_callers (entry, job))
        md_entry_place_ready (entry, job);
      break;
    }
}

/* Cancels the other tasks of a gang, which cannot make progress without the one that ended. */
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

/* Stores the checkpoint of a run that has ended. All tasks of a gang resume from the same
   checkpoint, or all from the beginning. */
static void
save_checkpoint (MdEntryJob *job, const MdEntryOrder *order, const char *checkpoint)
{
  const MdRunStep *step = &job->runjob.spec.steps[order->step];
  uint32_t first = step->gang ? 0 : order->task;
  uint32_t end = step->gang ? step->n_tasks : order->task + 1;

  MdRunTask *tasks = job->runjob.tasks[order->step];
  bool stored = true;

  for (uint32_t k = first; k < end; k++)
    stored &= md_str_set (&tasks[k].checkpoint, md_str (checkpoint));
  for (uint32_t k = first; !stored && k < end; k++)
    md_str_set (&tasks[k].checkpoint, MD_STR (""));
  if (!stored)
    md_log (MD_LOG_ERROR, "checkpoint-lost", "job=%s step=%u task=%u reason=\"out of memory\"",
            job->id, order->step, order->task);
}

void
md_entry_order_ended (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run,
                      const char *checkpoint)
{
  MdEntryJob *job = order->job;
  MdRunTask *task;

  unlink_order (order);
  learn_run_time (entry, order, result, run);
  if (result == MD_RUN_LEASE_EXPIRED || md_run_is_crash (result))
    md_count (MD_M_RUNS_LOST, 1);
  if (job != NULL)
    {
      task = &job->runjob.tasks[order->step][order->task];
      if (result != MD_RUN_REJECTED && result != MD_RUN_STALE)
        md_entry_order_started (entry, order);
      if (checkpoint[0] != '\0')
        save_checkpoint (job, order, checkpoint);
      /* An invalid permit may be the reason; request a new one. */
      if (result == MD_RUN_REJECTED && job->advice != NULL)
        md_advice_expire (&job->advice[order->step], order->guard->worker.lifetime);
      if (result == MD_RUN_STALE)
        job->run_number_offset += STALE_RUN_NUMBER_STEP;
      task->last_worker = result == MD_RUN_DONE || order->withdrawn ? NULL : &order->guard->worker;
      md_runjob_record_end (&job->runjob, order->step, order->task, result);
      if (md_runjob_gang_broken (&job->runjob, order->step))
        end_gang (job, order->step);
      if (result != MD_RUN_DONE)
        md_log (MD_LOG_INFO, "run-ended",
                "job=%s request=%s step=%u task=%u run=%u guard=%s how=%s run_ms=%lld left_ms=%lld "
                "crashes=%u",
                job->id, job->request_id, order->step, order->task, order->run_number,
                order->guard->name, md_run_result_name (result), (long long)(run / MD_MS),
                (long long)((job->deadline - entry->now) / MD_MS), task->crashes);
    }
  md_entry_near_end (entry, order, false);
  md_entry_free_order (order);
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

void
md_entry_check_unsent (MdRunEntry *entry, MdEntryGuard *guard)
{
  for (const MdEntryOrder *order = guard->unsent; order != NULL; order = order->next_unsent)
    if (order->job != NULL && entry->now - order->placed_at > entry->daemon.leases.entry)
      keep_for_callers (entry, order->job);
}

/* ------------------------------------------------------------------ */
/* Periodic checks                                                    */

MdTime
md_entry_known_at (const MdRunEntry *entry, const MdEntryOrder *order)
{
  const MdWorker *worker = &order->guard->worker;

  return worker->connected ? worker->reported_at : entry->now;
}

static bool
is_overdue (const MdRunEntry *entry, const MdEntryOrder *order)
{
  return order != NULL && order->sent && !order->started && !order->withdrawn
         && md_run_is_overdue (order->placed_at, order->expected_wait,
                               md_entry_known_at (entry, order));
}

/* Withdraws an overdue run if another worker can start it at once and is expected to end it at
   least MD_MIN_MOVE_GAIN sooner. */
static void
move_if_better (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order)
{
  MdWorker *current = &order->guard->worker;
  MdPlacement other;
  MdTaskRequirements need;
  MdTime stay;

  md_entry_requirements (entry, job, order->step, &need);
  need.alone = order->alone;
  if (job->runjob.spec.steps[order->step].same_rack && need.affinity.len == 0
      && entry->workers.remote_factor > 1)
    need.affinity = md_traits_rack (current->traits); /* its group is there */
  if (!md_entry_apply_advice (entry, job, order->step, &need))
    return;
  other = md_place (&entry->workers, &need, NULL, current, entry->now);
  if (other.worker == NULL || other.worker == current)
    return;
  stay = (current->connected ? current->wait : entry->daemon.leases.ended_after)
         + order->expected_run;
  if (other.wait > 0 || other.run_time + MD_MIN_MOVE_GAIN >= stay)
    return;
  md_log (MD_LOG_INFO, "run-moved",
          "job=%s step=%u task=%u from=%s to=%s stay_ms=%lld there_ms=%lld waited_ms=%lld", job->id,
          order->step, order->task, order->guard->name, ((MdEntryGuard *)other.worker)->name,
          (long long)(stay / MD_MS), (long long)((other.wait + other.run_time) / MD_MS),
          (long long)((entry->now - order->placed_at) / MD_MS));
  md_count (MD_M_RUNS_MOVED, 1);
  md_worker_reserve (other.worker, md_place_reservation (other.worker, &need), other.run_time);
  md_entry_withdraw (order);
}

/* Cancels a run that is overdue at a stalled worker, so that it is placed elsewhere, as long
   as it can still end within the limit of the job. */
static void
abandon_if_stalled (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order)
{
  MdTime elapsed = md_entry_known_at (entry, order) - order->placed_at - order->expected_wait;

  /* Only a first attempt, because the cause may be a wrong estimate of the run time. */
  if (!order->started || order->cancelled || !order->guard->worker.stalled
      || job->runjob.tasks[order->step][order->task].run_number > 1
      || elapsed < STALLED_FACTOR * order->expected_run
      || entry->now + order->expected_run / 2 > job->limit)
    return;
  md_log (MD_LOG_INFO, "run-abandoned",
          "job=%s step=%u task=%u run=%u guard=%s taken_ms=%lld expected_ms=%lld", job->id,
          order->step, order->task, order->run_number, order->guard->name,
          (long long)(elapsed / MD_MS), (long long)(order->expected_run / MD_MS));
  md_entry_cancel (order);
}

static void
check_orders (MdRunEntry *entry, MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      {
        MdEntryOrder *order = job->runjob.tasks[i][k].order;

        /* Cancelling one task of a gang would end the runs of all. */
        if (job->runjob.spec.steps[i].gang)
          continue;
        if (order != NULL && order->near_until > 0 && !order->withdrawn)
          md_entry_near_check (entry, job, order);
        else if (is_overdue (entry, order))
          move_if_better (entry, job, order);
        else if (order != NULL)
          abandon_if_stalled (entry, job, order);
      }
}

/* Whether nothing has started and the goal would be missed even if the tasks took half of
   their predicted run time. Such a job is rejected at once instead of at its deadline. An aged job
   was admitted without a goal, for its limit. */
static bool
cannot_meet_goal (const MdRunEntry *entry, const MdEntryJob *job)
{
  double longest = 0;

  if (job->runjob.started || job->runjob.done_steps != 0)
    return false;
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    if (job->runjob.tasks[i][0].state != MD_TASK_BLOCKED
        && md_entry_expected_work (job, i) > longest)
      longest = md_entry_expected_work (job, i);
  return entry->now + md_span (longest / 2) > md_entry_due (job);
}

/* Withdraws all orders of a job, which is rejected if none of them has started. */
static void
give_up (MdRunEntry *entry, MdEntryJob *job)
{
  job->giving_up = true;
  md_log (MD_LOG_INFO, "job-given-up", "job=%s request=%s queue=%s waited_ms=%lld goal_ms=%lld",
          job->id, job->request_id, job->route->label.data,
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
    finish_given_up (entry, job);
}

static bool
is_rejected_too_often (const MdEntryJob *job)
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
      /* Its caller would repeat it, and another entry would begin to count from nothing. */
      if (md_runjob_is_suspect (&job->runjob))
        md_entry_finish_job (entry, job, 200, MD_PLATFORM_FAILED, "task-crashes-workers", 0);
      else if (job->runjob.started || job->runjob.ordered > 0)
        md_entry_finish_job (entry, job, MD_STATUS_GIVEN_UP, NULL, "deadline", 0);
      else
        md_entry_finish_job (entry, job, 503, NULL, "deadline", MD_RETRY_AFTER_NO_WORKER);
      return;
    }
  if (job->admit_until > 0)
    {
      if (keep_for_callers (entry, job))
        md_entry_admit (entry, job);
      return;
    }
  if (job->giving_up)
    {
      /* A run has started before it could be withdrawn; the job continues. */
      if (job->runjob.started)
        job->giving_up = false;
      return;
    }
  if (cannot_meet_goal (entry, job) || (!job->runjob.started && is_rejected_too_often (job)))
    {
      give_up (entry, job);
      return;
    }
  check_orders (entry, job);
  if (job->runjob.ready > 0 && keep_for_callers (entry, job))
    md_entry_place_ready (entry, job);
}

void
md_entry_jobs_tick (MdRunEntry *entry)
{
  if (entry->now < entry->next_tick)
    return;
  entry->next_tick = entry->now + TICK_INTERVAL;
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
        md_entry_finish_job (entry, job, MD_STATUS_GIVEN_UP, NULL, "leaving", 0);
      else
        md_entry_finish_job (entry, job, 503, NULL, "leaving", MD_RETRY_AFTER_NO_WORKER);
    }
}
