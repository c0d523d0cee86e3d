/* recover.c -- recovery of jobs from the records of guards

   A new owner of a shard knows of a job only what the guards recorded: which tasks
   were accepted, where, and how they ended. The records alone decide a job when all
   its tasks have answers or one has failed. Otherwise the job waits for its
   submission, with which the records are merged: tasks without a record then start
   if they provably never started, and fail the job if they may have.

   Several guards may hold records of one task, because a refused task was placed
   again. The record that proves the most progress of an execution takes precedence. */

#include "dispatch-private.h"

/* Returns the precedence of a state; a record replaces the state of a task only if
   its own has a higher precedence. */
static int
execution_rank (MdTaskState state)
{
  switch (state)
    {
    case MD_TASK_STATE_DONE:
      return 4;
    case MD_TASK_STATE_SENT:
      return 3;
    case MD_TASK_STATE_FAILED:
    case MD_TASK_STATE_UNKNOWN:
      return 2;
    default:
      return 0; /* waiting, absent or refused: may still start on some guard */
    }
}

/* Adds a guard to those that keep answers of a job. */
static void
add_holder (MdActiveJob *work, uint64_t guard)
{
  for (uint32_t i = 0; i < work->n_holders; i++)
    if (work->holders[i] == guard)
      return;
  work->holders = md_array_reserve (work->holders, &work->cap_holders, work->n_holders + 1,
                                    sizeof *work->holders);
  work->holders[work->n_holders++] = guard;
}

static void
apply_running (MdDispatch *d, MdTask *task, const MdRecord *record, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, record->guard);

  if (execution_rank (task->state) >= execution_rank (MD_TASK_STATE_SENT))
    return;
  if (guard == NULL)
    {
      /* No answer can arrive from a lost guard, and the task must not start again. */
      task->state = MD_TASK_STATE_UNKNOWN;
      task->active->any_unknown = true;
      task->active->job->reason = MD_REASON_GUARD_LOST;
      return;
    }
  task->sent_at = now;
  guard->last_answer_at = now;
  task->attempts++;
  md_task_sent (d, task, guard);
}

static void
apply_finished (MdDispatch *d, MdTask *task, const MdRecord *record, MdTaskState state, MdTime now)
{
  MdActiveJob *work = task->active;

  /* If the connection to the upstream broke, the upstream may or may not have
     received the request. */
  if (record->state == MD_RECORD_BROKEN)
    work->any_unknown = true;
  else
    work->any_ran = true;
  if (record->state != MD_RECORD_RELEASED)
    add_holder (work, record->guard);
  if (execution_rank (task->state) >= execution_rank (state))
    return;
  if (task->state == MD_TASK_STATE_SENT)
    md_task_detach (d, task, now);
  task->state = state;
  if (state == MD_TASK_STATE_DONE)
    work->n_unfinished--;
  else
    work->job->failed_guard = record->guard;
  if (record->state == MD_RECORD_RELEASED)
    work->job->reason = MD_REASON_ANSWER_GONE;
  else if (state == MD_TASK_STATE_FAILED && work->job->reason != MD_REASON_ANSWER_GONE)
    work->job->reason
        = record->state == MD_RECORD_BROKEN ? MD_REASON_UPSTREAM_ERROR : MD_REASON_TASK_FAILED;
}

/* The refusal itself may have been lost with a connection; the record is then the first to tell. */
static void
apply_refusal (MdDispatch *d, MdTask *task, const MdRecord *record, MdTime now)
{
  if (task->state == MD_TASK_STATE_SENT && task->guard->id == record->guard)
    md_task_record_result (d, task, MD_TASK_NOT_RUN, MD_REASON_REFUSED_BEFORE, 0, now);
  else
    md_task_record_refusal (task, record->guard);
}

/* Applies a record to an open job whose submission is not known yet. */
static void
apply_record (MdDispatch *d, MdJob *job, const MdRecord *record, MdTime now)
{
  MdTask *task;

  if (job->active == NULL)
    return;
  task = &job->active->tasks[record->task];
  switch (record->state)
    {
    case MD_RECORD_RUNNING:
      job->ever_sent = true;
      apply_running (d, task, record, now);
      break;
    case MD_RECORD_OK:
      job->ever_sent = true;
      apply_finished (d, task, record, MD_TASK_STATE_DONE, now);
      break;
    case MD_RECORD_FAILED:
    case MD_RECORD_BROKEN:
    case MD_RECORD_RELEASED:
      job->ever_sent = true;
      apply_finished (d, task, record, MD_TASK_STATE_FAILED, now);
      break;
    case MD_RECORD_REFUSED:
      job->ever_sent = true;
      apply_refusal (d, task, record, now);
      break;
    }
}

static MdTaskResult
task_result_of (MdRecordState state)
{
  switch (state)
    {
    case MD_RECORD_OK:
      return MD_TASK_OK;
    case MD_RECORD_REFUSED:
      return MD_TASK_NOT_RUN;
    case MD_RECORD_BROKEN:
      return MD_TASK_BROKEN;
    default:
      return MD_TASK_FAILED;
    }
}

/* Applies a record to a job that has ended. A running task keeps its slot and is
   cancelled; retained answers are released if those of the job were. */
static void
apply_to_ended_job (MdDispatch *d, MdJob *job, const MdRecord *record, MdTime now)
{
  if (job->active == NULL)
    return;
  if (record->state == MD_RECORD_RUNNING)
    {
      MdTask *task = &job->active->tasks[record->task];
      bool already_sent = task->state == MD_TASK_STATE_SENT;

      apply_running (d, task, record, now);
      if (!already_sent && task->state == MD_TASK_STATE_SENT)
        md_decision_push (d, MD_DISPATCH_CANCEL, job)->u.cancel.guard = record->guard;
    }
  else if (record->state != MD_RECORD_REFUSED && record->state != MD_RECORD_RELEASED)
    {
      add_holder (job->active, record->guard);
      if (job->released)
        md_decision_push (d, MD_DISPATCH_RELEASE, job)->u.release.guard = record->guard;
    }
}

/* Applies a record to an open job whose submission is known. A guard that is
   attached again repeats records of tasks that this owner has started. A record of
   a task that this owner has not started means that another owner has; the job
   fails, so that the task does not start twice. */
static void
check_repeated_record (MdDispatch *d, MdJob *job, const MdRecord *record, MdTime now)
{
  MdTask *task;

  if (job->active == NULL)
    return;
  task = &job->active->tasks[record->task];
  if (task->state == MD_TASK_STATE_WAITING && task->attempts == 0
      && record->state != MD_RECORD_REFUSED)
    {
      job->ever_sent = true;
      job->active->any_unknown = true;
      md_job_fail (d, job, MD_REASON_UNPROVEN, record->task, record->guard, now);
      apply_to_ended_job (d, job, record, now);
      return;
    }
  if (task->state != MD_TASK_STATE_SENT || task->guard->id != record->guard)
    return;
  if (record->state == MD_RECORD_RUNNING)
    return;
  md_task_record_result (d, task, task_result_of (record->state), MD_REASON_NONE, 0, now);
}

void
md_recover_end_job (MdDispatch *d, MdJob *job, MdTime now)
{
  const MdActiveJob *work = job->active;

  if (work == NULL)
    return;
  if (work->n_unfinished == 0)
    {
      md_job_end (d, job, MD_JOB_STATE_DONE, MD_REASON_NONE, MD_OUTCOME_RAN, 0, 0, now);
      return;
    }
  for (uint32_t i = 0; i < work->n_tasks; i++)
    if (work->tasks[i].state == MD_TASK_STATE_FAILED
        || work->tasks[i].state == MD_TASK_STATE_UNKNOWN)
      {
        md_job_fail (d, job, job->reason, i, job->failed_guard, now);
        return;
      }
}

void *
md_dispatch_recover (MdDispatch *d, const MdRecord *record,
                     void *(*make_cookie) (void *user, const MdRecord *record), void *user,
                     MdTime now)
{
  MdJob *job = md_job_find (d, record->key);

  if (record->n_tasks == 0 || record->n_tasks > d->tuning.max_tasks
      || record->task >= record->n_tasks)
    return job != NULL ? job->cookie : NULL;
  if (job == NULL)
    {
      void *cookie = make_cookie != NULL ? make_cookie (user, record) : NULL;

      job = md_job_new (d, record->key, record->fingerprint, record->n_tasks, cookie, now);
      if (job == NULL)
        abort (); /* without its record, a task could start twice */
    }
  if (job->active != NULL && record->task >= job->active->n_tasks)
    return job->cookie;
  if (job->state != MD_JOB_STATE_OPEN)
    apply_to_ended_job (d, job, record, now);
  else if (job->submitted)
    check_repeated_record (d, job, record, now);
  else
    {
      apply_record (d, job, record, now);
      if (d->serving)
        md_recover_end_job (d, job, now);
    }
  return job->cookie;
}

void
md_recover_merge (MdDispatch *d, MdJob *job, const MdJobSpec *spec, bool fresh, MdTime now)
{
  MdActiveJob *work = job->active;
  uint32_t missing = UINT32_MAX;

  md_job_apply_spec (d, job, spec, now);
  work->customer->running_tasks += work->n_sent;
  d->running_tasks += work->n_sent;
  for (uint32_t i = 0; i < work->n_tasks; i++)
    {
      MdTask *task = &work->tasks[i];

      if (task->state != MD_TASK_STATE_ABSENT)
        continue;
      /* A task that one guard refused may have been placed again on a guard whose
         records are lost; therefore only the cut decides, not the refusal. */
      if (fresh && task->refused)
        md_task_requeue (d, task);
      else if (fresh)
        task->state = MD_TASK_STATE_WAITING;
      else if (missing == UINT32_MAX)
        missing = i;
    }
  if (missing == UINT32_MAX)
    {
      md_job_enqueue (d, job);
      return;
    }
  work->tasks[missing].state = MD_TASK_STATE_UNKNOWN;
  work->any_unknown = true;
  md_job_fail (d, job, MD_REASON_UNPROVEN, missing, 0, now);
}
