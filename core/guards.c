/* guards.c -- the guards of a shard: capacity, and the attribution of failures

   The result of an attempt says something about the guard and about the customer.
   This file decides to which of the two a failure is attributed; health.c implements
   the consequences for the guard. */

#include "dispatch-private.h"

#include <math.h>

#define REFUSAL_BACKOFF_MIN (50 * MD_MS)    /* after a refusal, then doubled */
#define REFUSAL_BACKOFF_MAX (2 * MD_SECOND) /* a guard gets a missing lease within this time */
#define STALL_TIMEOUT (2 * MD_SECOND) /* no task waits for a guard that is silent for longer */
#define CAPACITY_UPDATE_ANSWERS 64    /* answers between two updates of the capacity */
#define FAILED_ON_SEVERAL_GUARDS UINT64_MAX /* value of MdJob.failed_guard */

MdDispatchGuard *
md_guard_find (const MdDispatch *d, uint64_t id)
{
  for (uint32_t i = 0; i < d->n_guards; i++)
    if (d->guards[i]->id == id)
      return d->guards[i];
  return NULL;
}

bool
md_worker_resources_fit (const MdWorkerResources *need, const MdWorkerResources *has)
{
  return need->cores <= has->cores && need->memory_mb <= has->memory_mb
         && need->accelerators <= has->accelerators;
}

uint32_t
md_guard_slots (const MdDispatch *d, const MdDispatchGuard *guard)
{
  uint32_t cap = d->pool.guard_slots;

  return cap > 0 && cap < guard->slots ? cap : guard->slots;
}

void
md_guards_update_capacity (MdDispatch *d)
{
  d->capacity = 0;
  d->fastest_speed = 0;
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      const MdDispatchGuard *guard = d->guards[i];
      double speed = guard->relative_speed;

      if (guard->leaving || guard->health.ejected)
        continue;
      d->capacity += speed * md_guard_slots (d, guard);
      d->fastest_speed = fmax (d->fastest_speed, speed);
    }
  d->answers_until_update = CAPACITY_UPDATE_ANSWERS;
}

/* ------------------------------------------------------------------ */
/* Results of attempts                                                */

static void
push_health_decision (MdDispatch *d, const MdDispatchGuard *guard)
{
  MdDispatchDecision *out = md_decision_push (d, MD_DISPATCH_HEALTH, NULL);

  out->u.health.guard = guard->id;
  out->u.health.usable = !guard->health.ejected;
  out->u.health.probation = guard->health.ejected;
}

void
md_guard_readmit (MdDispatch *d, MdDispatchGuard *guard)
{
  md_health_readmit (&guard->health, guard->slots);
  d->n_ejected--;
  push_health_decision (d, guard);
  md_guards_update_capacity (d);
}

static void
eject (MdDispatch *d, MdDispatchGuard *guard, MdTime now)
{
  if (d->n_ejected >= md_health_max_ejected (d->n_guards, &d->tuning))
    return;
  md_health_eject (&guard->health, &d->tuning, now);
  d->n_ejected++;
  push_health_decision (d, guard);
  md_guards_update_capacity (d);
}

/* The health of an ejected guard depends on its trial tasks only, not on the tasks that
   were still running when it was ejected. */
static bool
counts_for_health (const MdDispatchGuard *guard, const MdTask *task)
{
  return !guard->health.ejected || task->sent_at > guard->health.ejected_at;
}

void
md_guard_record_success (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, MdTime run,
                         MdTime now)
{
  MdCustomer *customer = task->active->customer;
  double log_slowdown = 0;

  md_answer_counts_add (&d->answer_counts, true, now);
  guard->backoff = 0;
  if (customer != NULL)
    {
      md_answer_counts_add (&customer->answer_counts, true, now);
      if (run > 0)
        log_slowdown = md_estimate_learn (&guard->speed, &customer->correction, &d->pool_correction,
                                          task->declared, run, &d->tuning);
      guard->relative_speed = md_estimate_speed (&guard->speed);
    }
  if (run > 0 && (d->shortest_run == 0 || run < d->shortest_run))
    d->shortest_run = run;
  if (counts_for_health (guard, task)
      && md_health_record_success (&guard->health, guard->slots, log_slowdown, &d->tuning, now)
             == MD_HEALTH_READMIT)
    md_guard_readmit (d, guard);
  if (--d->answers_until_update == 0)
    md_guards_update_capacity (d);
}

/* Returns whether a complete answer that reports a failure is attributed to the task
   rather than the guard. It is attributed to the guard only if tasks of this customer
   succeed elsewhere and the job has not failed at another guard too. */
static bool
is_task_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task)
{
  MdJob *job = task->active->job;
  const MdCustomer *customer = task->active->customer;
  const MdAnswerCounts *counts;

  if (job->failed_guard != 0 && job->failed_guard != guard->id)
    {
      MdDispatchGuard *first = md_guard_find (d, job->failed_guard);

      if (first != NULL)
        md_health_undo_failure (&first->health);
      job->failed_guard = FAILED_ON_SEVERAL_GUARDS;
      return true;
    }
  if (customer == NULL)
    return true;
  counts = &customer->answer_counts;
  return counts->failures - guard->health.consecutive_failures >= counts->successes;
}

void
md_guard_record_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, bool infrastructure,
                         MdTime now)
{
  bool task_failure = !infrastructure && is_task_failure (d, guard, task);
  bool elsewhere;

  md_answer_counts_add (&d->answer_counts, false, now);
  if (task->active->customer != NULL)
    md_answer_counts_add (&task->active->customer->answer_counts, false, now);
  if (!counts_for_health (guard, task))
    return;
  if (task_failure)
    {
      md_answer_counts_add (&guard->health.answer_counts, false, now);
      if (guard->health.ejected)
        guard->health.next_trial_at = now + guard->health.trial_interval;
      return;
    }
  elsewhere
      = md_answer_counts_good_elsewhere (&d->answer_counts, &guard->health.answer_counts, now);
  if (md_health_record_failure (&guard->health, elsewhere, &d->tuning, now) == MD_HEALTH_EJECT)
    eject (d, guard, now);
}

void
md_guard_record_refusal (MdDispatch *d, MdDispatchGuard *guard, MdReason reason, MdTime now)
{
  (void)d;
  if (reason == MD_REASON_LEAVING)
    guard->leaving = true;
  if (reason == MD_REASON_CANCELLED || reason == MD_REASON_REFUSED_BEFORE)
    return; /* concerns the task, not the guard */
  if (guard->backoff_until > now)
    return; /* this start was sent before the first refusal arrived */
  guard->backoff = guard->backoff * 2;
  if (guard->backoff < REFUSAL_BACKOFF_MIN)
    guard->backoff = REFUSAL_BACKOFF_MIN;
  if (guard->backoff > REFUSAL_BACKOFF_MAX)
    guard->backoff = REFUSAL_BACKOFF_MAX;
  guard->backoff_until = now + guard->backoff;
}

/* ------------------------------------------------------------------ */
/* Waiting for guards                                                 */

static MdTime
stalls_at (const MdDispatchGuard *guard)
{
  return guard->busy > 0 ? guard->last_answer_at + STALL_TIMEOUT : INT64_MAX;
}

bool
md_guard_stalled (const MdDispatchGuard *guard, MdTime now)
{
  return now >= stalls_at (guard);
}

MdTime
md_guards_next_wake (const MdDispatch *d, MdTime now)
{
  MdTime wake = INT64_MAX;

  if (d->waiting_tasks == 0)
    return wake;
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      const MdDispatchGuard *guard = d->guards[i];
      MdTime t = guard->health.ejected ? guard->health.next_trial_at : guard->backoff_until;

      if (t > now && t < wake)
        wake = t;
      t = stalls_at (guard);
      if (t > now && t < wake)
        wake = t;
    }
  return wake;
}
