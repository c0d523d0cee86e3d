/* jobs.c -- the submission table and the life cycle of jobs and tasks

   A job is open until it ends, exactly once, as done, failed or cancelled. Its key
   and result stay in the hash table until the horizon, so that a resubmission finds
   them. Its tasks are freed as soon as the answers are released and no attempt is
   outstanding. Retention and horizon are constants, so ended jobs expire in the
   order in which they ended, and a list of them is sufficient.

   A task is started again only if its earlier attempt provably did not start, or as
   a retry of a repeatable single request. Attempts of an ended job keep their slots
   until they are answered, because the worker is still busy with them. */

#include "dispatch-private.h"

#define INITIAL_BUCKETS 1024

/* ------------------------------------------------------------------ */
/* Table                                                              */

static size_t
bucket_of (const MdDispatch *d, MdKey key)
{
  return (key.lo ^ key.hi) & (d->n_buckets - 1); /* keys are hashes already */
}

MdJob *
md_job_find (const MdDispatch *d, MdKey key)
{
  MdJob *job = d->n_buckets > 0 ? d->buckets[bucket_of (d, key)] : NULL;

  while (job != NULL && !md_key_equal (job->key, key))
    job = job->next_in_bucket;
  return job;
}

static void
table_grow (MdDispatch *d)
{
  size_t old_n = d->n_buckets;
  MdJob **old = d->buckets;

  if (d->n_jobs < old_n)
    return;
  d->n_buckets = old_n ? old_n * 2 : INITIAL_BUCKETS;
  d->buckets = calloc (d->n_buckets, sizeof (MdJob *));
  if (d->buckets == NULL)
    abort ();
  for (size_t i = 0; i < old_n; i++)
    for (MdJob *job = old[i]; job != NULL;)
      {
        MdJob *next = job->next_in_bucket;
        size_t to = bucket_of (d, job->key);

        job->next_in_bucket = d->buckets[to];
        d->buckets[to] = job;
        job = next;
      }
  free (old);
}

static void
table_add (MdDispatch *d, MdJob *job)
{
  size_t i;

  table_grow (d);
  i = bucket_of (d, job->key);
  job->next_in_bucket = d->buckets[i];
  d->buckets[i] = job;
  d->n_jobs++;
}

static void
table_remove (MdDispatch *d, MdJob *job)
{
  MdJob **link = &d->buckets[bucket_of (d, job->key)];

  while (*link != job)
    link = &(*link)->next_in_bucket;
  *link = job->next_in_bucket;
  d->n_jobs--;
}

static void
active_job_free (MdActiveJob *active)
{
  if (active == NULL)
    return;
  free (active->tasks);
  free (active->order);
  free (active->holders);
  free (active->refusals);
  free (active);
}

MdJob *
md_job_new (MdDispatch *d, MdKey key, MdKey fingerprint, uint32_t n_tasks, void *cookie, MdTime now)
{
  MdJob *job = calloc (1, sizeof *job);
  MdActiveJob *active = calloc (1, sizeof *active);
  MdTask *tasks = calloc (n_tasks, sizeof *tasks);
  uint32_t *order = calloc (n_tasks, sizeof *order);

  if (job == NULL || active == NULL || tasks == NULL || order == NULL)
    {
      free (job);
      free (active);
      free (tasks);
      free (order);
      return NULL;
    }
  *job = (MdJob){
    .key = key, .fingerprint = fingerprint, .cookie = cookie, .active = active, .n_tasks = n_tasks
  };
  *active = (MdActiveJob){ .job = job,
                           .tasks = tasks,
                           .order = order,
                           .n_tasks = n_tasks,
                           .n_unfinished = n_tasks,
                           .arrival = now,
                           .deadline = now + d->tuning.horizon,
                           .serial = ++d->last_serial };
  for (uint32_t i = 0; i < n_tasks; i++)
    tasks[i].active = active;
  table_add (d, job);
  md_heap_push (&d->by_deadline, active);
  d->open_jobs++;
  return job;
}

/* ------------------------------------------------------------------ */
/* End of a job                                                       */

/* Of a job that is known from records only, a guard that has not sent its records may have run a
   task. */
MdOutcome
md_job_outcome (const MdJob *job)
{
  const MdActiveJob *active = job->active;

  if (active->any_ran)
    return MD_OUTCOME_RAN;
  if (!job->submitted)
    return MD_OUTCOME_UNKNOWN;
  return active->any_unknown || active->n_sent > 0 ? MD_OUTCOME_UNKNOWN : MD_OUTCOME_NOT_RUN;
}

void
md_requeued_remove (MdDispatch *d, MdTask *task)
{
  if (!task->requeued)
    return;
  task->requeued = false;
  *(task->prev ? &task->prev->next : &d->requeued) = task->next;
  *(task->next ? &task->next->prev : &d->requeued_tail) = task->prev;
  task->prev = task->next = NULL;
  d->waiting_tasks--;
}

void
md_task_requeue (MdDispatch *d, MdTask *task)
{
  task->requeued = true;
  task->state = MD_TASK_STATE_WAITING;
  task->prev = d->requeued_tail;
  task->next = NULL;
  *(d->requeued_tail ? &d->requeued_tail->next : &d->requeued) = task;
  d->requeued_tail = task;
  d->waiting_tasks++;
}

static void
cancel_waiting (MdDispatch *d, MdActiveJob *active)
{
  d->waiting_tasks -= active->n_order - active->next_order;
  if (active->customer != NULL)
    md_queue_remove (&d->fair_queue, active);
  for (uint32_t i = 0; i < active->n_tasks; i++)
    {
      MdTask *task = &active->tasks[i];

      md_requeued_remove (d, task);
      if (task->state == MD_TASK_STATE_WAITING)
        task->state = MD_TASK_STATE_NOT_RUN;
    }
}

/* Sends one message to each guard, however many tasks of the job it runs. Guards to
   which it was sent are marked with the number of this cancellation. */
static void
cancel_sent (MdDispatch *d, MdJob *job)
{
  uint64_t cancellation = ++d->last_cancellation;

  if (job->active->n_sent == 0)
    return;
  for (uint32_t i = 0; i < job->active->n_tasks; i++)
    {
      const MdTask *task = &job->active->tasks[i];

      if (task->state != MD_TASK_STATE_SENT || task->guard->last_cancellation == cancellation
          || task->guard->lost)
        continue;
      task->guard->last_cancellation = cancellation;
      md_decision_push (d, MD_DISPATCH_CANCEL, job)->u.cancel.guard = task->guard->id;
    }
}

static void
report_failure (MdDispatch *d, const MdJob *job, uint32_t task, uint64_t guard, MdTime now)
{
  bool late = job->reason == MD_REASON_DEADLINE;
  MdDispatchDecision *out;

  if (job->state != MD_JOB_STATE_FAILED || job->active->customer == NULL)
    return;
  if (!late && job->outcome != MD_OUTCOME_UNKNOWN && job->reason != MD_REASON_ANSWER_GONE)
    return;
  out = md_decision_push (d, MD_DISPATCH_REPORT, job);
  out->u.report.customer = md_str (job->active->customer->name);
  out->u.report.lost = !late;
  out->u.report.task = task;
  out->u.report.guard = guard;
  out->u.report.reason = job->reason;
  out->u.report.lateness = late && now > job->active->deadline ? now - job->active->deadline : 0;
}

static MdJobEnd
job_end_kind (MdJobState state)
{
  switch (state)
    {
    case MD_JOB_STATE_DONE:
      return MD_JOB_DONE;
    case MD_JOB_STATE_CANCELLED:
      return MD_JOB_CANCELLED;
    default:
      return MD_JOB_FAILED;
    }
}

static void
append_ended (MdDispatch *d, MdJob *job, MdTime now)
{
  job->ended_at = now;
  job->next_ended = NULL;
  *(d->ended_tail ? &d->ended_tail->next_ended : &d->ended) = job;
  d->ended_tail = job;
}

void
md_job_end (MdDispatch *d, MdJob *job, MdJobState state, MdReason reason, MdOutcome outcome,
            uint32_t task, uint64_t guard, MdTime now)
{
  MdDispatchDecision *out;

  job->state = state;
  job->reason = reason;
  job->outcome = outcome;
  d->open_jobs--;
  md_heap_remove (&d->by_deadline, job->active);
  cancel_waiting (d, job->active);
  cancel_sent (d, job);

  out = md_decision_push (d, MD_DISPATCH_FINISH, job);
  out->u.finish.end = job_end_kind (state);
  out->u.finish.reason = reason;
  out->u.finish.outcome = outcome;
  out->u.finish.task = task;
  out->u.finish.guard = guard;
  report_failure (d, job, task, guard, now);

  append_ended (d, job, now);
  if (d->unreleased == NULL)
    d->unreleased = job;
}

void
md_job_fail (MdDispatch *d, MdJob *job, MdReason reason, uint32_t task, uint64_t guard, MdTime now)
{
  md_job_end (d, job, MD_JOB_STATE_FAILED, reason, md_job_outcome (job), task, guard, now);
}

/* ------------------------------------------------------------------ */
/* Retention and horizon                                              */

static void
free_active_job_if_unused (MdJob *job)
{
  if (!job->released || job->active == NULL || job->active->n_sent > 0)
    return;
  active_job_free (job->active);
  job->active = NULL;
}

static void
release_answers (MdDispatch *d, MdJob *job)
{
  job->released = true;
  for (uint32_t i = 0; i < job->active->n_holders; i++)
    if (md_guard_find (d, job->active->holders[i]) != NULL)
      md_decision_push (d, MD_DISPATCH_RELEASE, job)->u.release.guard = job->active->holders[i];
  free_active_job_if_unused (job);
}

static void
add_answer_holder (MdDispatch *d, MdJob *job, uint64_t guard)
{
  MdActiveJob *active = job->active;

  for (uint32_t i = 0; i < active->n_holders; i++)
    if (active->holders[i] == guard)
      return;
  active->holders = md_array_reserve (active->holders, &active->cap_holders, active->n_holders + 1,
                                      sizeof *active->holders);
  active->holders[active->n_holders++] = guard;
  if (job->released)
    md_decision_push (d, MD_DISPATCH_RELEASE, job)->u.release.guard = guard;
}

void
md_job_replace (MdDispatch *d, MdJob *job)
{
  table_remove (d, job);
  job->replaced = true;
  md_decision_push (d, MD_DISPATCH_FORGET, job);
  job->cookie = NULL;
}

static void
forget_job (MdDispatch *d, MdJob *job)
{
  if (!job->replaced)
    {
      md_decision_push (d, MD_DISPATCH_FORGET, job);
      table_remove (d, job);
    }
  active_job_free (job->active);
  free (job);
}

void
md_job_expire (MdDispatch *d, MdTime now)
{
  /* A caller whose clock is ahead may resubmit up to clock_error later. */
  MdTime horizon = d->tuning.horizon + d->tuning.clock_error;

  while (d->unreleased != NULL && d->unreleased->ended_at + d->tuning.answer_retention <= now)
    {
      MdJob *job = d->unreleased;

      d->unreleased = job->next_ended;
      release_answers (d, job);
    }
  while (d->ended != NULL && d->ended->ended_at + horizon <= now)
    {
      MdJob *job = d->ended;

      d->ended = job->next_ended;
      if (d->ended == NULL)
        d->ended_tail = NULL;
      if (job->active != NULL && job->active->n_sent > 0)
        append_ended (d, job, now); /* a task is still running; keep the job for another horizon */
      else
        forget_job (d, job);
    }
}

void
md_job_table_clear (MdDispatch *d)
{
  MdJob *next;

  for (size_t i = 0; i < d->n_buckets; i++)
    for (MdJob *job = d->buckets[i]; job != NULL; job = next)
      {
        next = job->next_in_bucket;
        if (job->state != MD_JOB_STATE_OPEN)
          continue; /* freed with the list of ended jobs */
        active_job_free (job->active);
        free (job);
      }
  for (MdJob *job = d->ended; job != NULL; job = next)
    {
      next = job->next_ended;
      active_job_free (job->active);
      free (job);
    }
  free (d->buckets);
}

/* ------------------------------------------------------------------ */
/* Attempts                                                           */

void
md_task_sent (MdDispatch *d, MdTask *task, MdDispatchGuard *guard)
{
  task->state = MD_TASK_STATE_SENT;
  task->guard = guard;
  task->prev = NULL;
  task->next = guard->tasks;
  if (task->next != NULL)
    task->next->prev = task;
  guard->tasks = task;
  guard->busy++;
  task->active->n_sent++;
  if (task->active->customer == NULL)
    return;
  task->active->customer->running_tasks++;
  d->running_tasks++;
}

void
md_task_detach (MdDispatch *d, MdTask *task, MdTime now)
{
  MdDispatchGuard *guard = task->guard;
  MdActiveJob *active = task->active;

  *(task->prev ? &task->prev->next : &guard->tasks) = task->next;
  if (task->next != NULL)
    task->next->prev = task->prev;
  task->prev = task->next = NULL;
  task->guard = NULL;
  guard->busy--;
  active->n_sent--;
  if (active->customer == NULL)
    return;
  active->customer->running_tasks--;
  d->running_tasks--;
  md_queue_charge (&d->fair_queue, active->customer, (double)(now - task->sent_at) - task->charge);
  if (active->customer->blocked_position > 0)
    {
      active->customer->blocked_until = now; /* its quota may allow a start again */
      md_heap_update (&d->fair_queue.blocked, active->customer);
    }
}

void
md_task_record_refusal (MdTask *task, uint64_t guard)
{
  MdActiveJob *active = task->active;

  active->refusals = md_array_reserve (active->refusals, &active->cap_refusals,
                                       active->n_refusals + 1, sizeof *active->refusals);
  active->refusals[active->n_refusals++] = (MdRefusal){ md_task_index (task), guard };
  task->refused = true;
}

/* Takes an attempt back that is known from a record only. Without the submission there is no request
   to send; whether the task may start elsewhere is decided when it arrives, as for a task without a
   record. */
static void
withdraw_recovered (MdTask *task)
{
  task->state = MD_TASK_STATE_ABSENT;
  task->attempts--;
}

static bool
may_retry (MdDispatch *d, const MdActiveJob *active)
{
  return active->single_request && active->repeatable && md_retry_withdraw (&d->retry_budget);
}

static void
attempt_failed (MdDispatch *d, MdTask *task, MdTaskResult result, MdReason reason, uint64_t guard,
                MdTime now)
{
  MdActiveJob *active = task->active;

  if (result == MD_TASK_UNKNOWN)
    active->any_unknown = true;
  if (result != MD_TASK_FAILED && may_retry (d, active))
    {
      task->retry = true;
      md_task_requeue (d, task);
      return;
    }
  task->state = result == MD_TASK_UNKNOWN ? MD_TASK_STATE_UNKNOWN : MD_TASK_STATE_FAILED;
  active->job->failed_guard = guard;
  md_job_fail (d, active->job, reason, md_task_index (task), guard, now);
}

static MdReason
failure_reason (MdTaskResult result, MdReason reason)
{
  if (reason != MD_REASON_NONE)
    return reason;
  switch (result)
    {
    case MD_TASK_FAILED:
      return MD_REASON_TASK_FAILED;
    case MD_TASK_UNKNOWN:
      return MD_REASON_GUARD_LOST;
    default:
      return MD_REASON_UPSTREAM_ERROR;
    }
}

static void
attempt_done (MdDispatch *d, MdTask *task, MdTime now)
{
  MdActiveJob *active = task->active;

  task->state = MD_TASK_STATE_DONE;
  if (--active->n_unfinished == 0)
    md_job_end (d, active->job, MD_JOB_STATE_DONE, MD_REASON_NONE, MD_OUTCOME_RAN, 0, 0, now);
}

/* Updates the statistics of the guard, also when the job has already ended. */
static void
learn_from_result (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, MdTaskResult result,
                   MdReason reason, MdTime run, MdTime now)
{
  switch (result)
    {
    case MD_TASK_OK:
      md_guard_record_success (d, guard, task, run, now);
      break;
    case MD_TASK_FAILED:
      md_guard_record_failure (d, guard, task, false, now);
      break;
    case MD_TASK_BROKEN:
      md_guard_record_failure (d, guard, task, true, now);
      break;
    case MD_TASK_NOT_RUN:
      md_guard_record_refusal (d, guard, reason, now);
      break;
    case MD_TASK_UNKNOWN:
      break; /* the link failed, not the worker */
    }
}

bool
md_task_record_result (MdDispatch *d, MdTask *task, MdTaskResult result, MdReason reason,
                       MdTime run, MdTime now)
{
  MdActiveJob *active = task->active;
  MdJob *job = active->job;
  MdDispatchGuard *guard = task->guard;
  uint64_t id = guard->id;

  md_task_detach (d, task, now);
  guard->last_answer_at = now;
  learn_from_result (d, guard, task, result, reason, run, now);
  /* An upstream that broke off may or may not have received the request. */
  if (result == MD_TASK_OK || result == MD_TASK_FAILED)
    active->any_ran = true;
  else if (result == MD_TASK_BROKEN)
    active->any_unknown = true;
  if (result == MD_TASK_OK || result == MD_TASK_FAILED || result == MD_TASK_BROKEN)
    add_answer_holder (d, job, id);
  if (job->state != MD_JOB_STATE_OPEN)
    {
      task->state = MD_TASK_STATE_FAILED;
      free_active_job_if_unused (job);
      return false;
    }
  switch (result)
    {
    case MD_TASK_OK:
      attempt_done (d, task, now);
      return true;
    case MD_TASK_NOT_RUN:
      md_task_record_refusal (task, id);
      if (job->submitted)
        md_task_requeue (d, task);
      else
        withdraw_recovered (task);
      return false;
    default:
      attempt_failed (d, task, result, failure_reason (result, reason), id, now);
      return true;
    }
}
