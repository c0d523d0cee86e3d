/* guards.c -- the guards of a shard: their coming and going, and what their
   answers say about them

   A result of an attempt is evidence about the guard and about the customer.
   Which of the two a failure is attributed to is decided here; the consequences
   for the guard are in health.c. */

#include "dispatch-private.h"

#include <math.h>

#define REFUSAL_HOLD_MIN (50 * MD_MS)    /* no starts after a refusal, doubling */
#define REFUSAL_HOLD_MAX (2 * MD_SECOND) /* a guard without a lease gets one by then */
#define STALL_TIME (2 * MD_SECOND)       /* nothing waits for a guard that is silent for longer */
#define REFRESH_ANSWERS 64               /* answers between sums of the capacity */
#define OWN_FAILURE UINT64_MAX           /* job->failed_at: failed at several guards */

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
  d->answers_until_update = REFRESH_ANSWERS;
}

/* ------------------------------------------------------------------ */
/* Evidence about guards                                              */

static void
decide_health (MdDispatch *d, const MdDispatchGuard *guard)
{
  MdDispatchDecision *out = md_decision_push (d, MD_DISPATCH_HEALTH, NULL);

  out->u.health.guard = guard->id;
  out->u.health.usable = !guard->health.ejected;
  out->u.health.probation = guard->health.ejected;
}

static void
readmit (MdDispatch *d, MdDispatchGuard *guard)
{
  md_health_readmit (&guard->health, guard->slots);
  d->n_ejected--;
  decide_health (d, guard);
  md_guards_update_capacity (d);
}

static void
eject (MdDispatch *d, MdDispatchGuard *guard, MdTime now)
{
  if (d->n_ejected >= md_health_max_ejected (d->n_guards, &d->tuning))
    return;
  md_health_eject (&guard->health, &d->tuning, now);
  d->n_ejected++;
  decide_health (d, guard);
  md_guards_update_capacity (d);
}

/* An ejected guard is judged by its trial tasks only, not by what it still ran
   when it was ejected. */
static bool
counts (const MdDispatchGuard *guard, const MdTask *task)
{
  return !guard->health.ejected || task->sent_at > guard->health.ejected_at;
}

void
md_guard_record_success (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, MdTime run,
                         MdTime now)
{
  MdCustomer *customer = task->active->customer;
  double excess = 0;

  md_answer_counts_add (&d->answer_counts, true, now);
  guard->backoff = 0;
  if (customer != NULL)
    {
      md_answer_counts_add (&customer->answer_counts, true, now);
      if (run > 0)
        excess = md_estimate_learn (&guard->speed, &customer->correction, &d->pool_correction,
                                    task->declared, run, &d->tuning);
      guard->relative_speed = md_estimate_speed (&guard->speed);
    }
  if (run > 0 && (d->shortest_run == 0 || run < d->shortest_run))
    d->shortest_run = run;
  if (counts (guard, task)
      && md_health_record_success (&guard->health, guard->slots, excess, &d->tuning, now)
             == MD_HEALTH_READMIT)
    readmit (d, guard);
  if (--d->answers_until_update == 0)
    md_guards_update_capacity (d);
}

/* A complete answer with a failure says something about the guard only if this
   customer's tasks succeed elsewhere and the job has not failed at another
   guard too. */
static bool
own_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task)
{
  MdJob *job = task->active->job;
  const MdCustomer *customer = task->active->customer;
  const MdAnswerCounts *seen;

  if (job->failed_guard != 0 && job->failed_guard != guard->id)
    {
      MdDispatchGuard *first = md_guard_find (d, job->failed_guard);

      if (first != NULL)
        md_health_undo_failure (&first->health);
      job->failed_guard = OWN_FAILURE;
      return true;
    }
  if (customer == NULL)
    return true;
  seen = &customer->answer_counts;
  return seen->failures - guard->health.consecutive_failures >= seen->successes;
}

void
md_guard_record_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, bool infrastructure,
                         MdTime now)
{
  bool own = !infrastructure && own_failure (d, guard, task);
  bool elsewhere;

  md_answer_counts_add (&d->answer_counts, false, now);
  if (task->active->customer != NULL)
    md_answer_counts_add (&task->active->customer->answer_counts, false, now);
  if (!counts (guard, task))
    return;
  if (own)
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
    return; /* says something about the task, not about the guard */
  if (guard->backoff_until > now)
    return; /* several starts were on their way at the first refusal */
  guard->backoff = guard->backoff * 2;
  if (guard->backoff < REFUSAL_HOLD_MIN)
    guard->backoff = REFUSAL_HOLD_MIN;
  if (guard->backoff > REFUSAL_HOLD_MAX)
    guard->backoff = REFUSAL_HOLD_MAX;
  guard->backoff_until = now + guard->backoff;
}

/* ------------------------------------------------------------------ */
/* Guards come and go                                                 */

static MdRemovedGuard *
find_past (MdDispatch *d, MdStr name)
{
  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    if (md_str_equal (md_str (d->removed_guards[i].name), name))
      return &d->removed_guards[i];
  return NULL;
}

/* Restarted processes of a guard run on the same worker; the learned speed is
   taken over and is relearned quickly if it has changed. */
static void
remember_past (MdDispatch *d, MdDispatchGuard *guard, MdTime now)
{
  MdRemovedGuard *past = find_past (d, md_str (guard->name));

  if (past == NULL)
    {
      d->removed_guards = md_array_reserve (d->removed_guards, &d->cap_removed_guards,
                                            d->n_removed_guards + 1, sizeof *d->removed_guards);
      past = &d->removed_guards[d->n_removed_guards++];
      past->name = guard->name;
      guard->name = NULL;
    }
  past->resources = guard->resources;
  past->speed = guard->speed;
  past->lost_at = now;
}

static void
expire_past (MdDispatch *d, MdTime now)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    if (d->removed_guards[i].lost_at + d->tuning.removal_delay > now)
      d->removed_guards[kept++] = d->removed_guards[i];
    else
      free (d->removed_guards[i].name);
  d->n_removed_guards = kept;
}

static void
describe (MdDispatchGuard *guard, const MdGuardInfo *info)
{
  guard->slots = info->slots;
  guard->delay = info->delay;
  guard->resources = (MdWorkerResources){ info->cores, info->memory_mb, info->accelerators };
  guard->paused = false; /* leaving stays: a process never takes that back */
}

static MdDispatchGuard *
guard_new (MdDispatch *d, const MdGuardInfo *info, MdTime now)
{
  MdDispatchGuard *guard = calloc (1, sizeof *guard);
  const MdRemovedGuard *past;

  if (guard == NULL || (guard->name = md_str_dup (info->name)) == NULL)
    {
      free (guard);
      return NULL;
    }
  guard->id = info->id;
  expire_past (d, now);
  past = find_past (d, info->name);
  if (past != NULL)
    guard->speed = past->speed;
  guard->relative_speed = md_estimate_speed (&guard->speed);
  md_health_init (&guard->health, info->slots);
  return guard;
}

int
md_dispatch_guard_up (MdDispatch *d, const MdGuardInfo *info, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, info->id);

  if (info->id == 0 || info->slots == 0)
    return MD_E_INVALID;
  if (guard == NULL)
    {
      guard = guard_new (d, info, now);
      if (guard == NULL)
        return MD_E_MEMORY;
      d->guards = md_array_reserve (d->guards, &d->cap_guards, d->n_guards + 1,
                                    sizeof (MdDispatchGuard *));
      d->guards[d->n_guards++] = guard;
    }
  describe (guard, info);
  md_guards_update_capacity (d);
  return MD_OK;
}

void
md_dispatch_guard_pause (MdDispatch *d, uint64_t id, bool paused, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);

  (void)now;
  if (guard != NULL)
    guard->paused = paused;
}

void
md_dispatch_guard_leaving (MdDispatch *d, uint64_t id, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);

  (void)now;
  if (guard == NULL)
    return;
  guard->leaving = true;
  md_guards_update_capacity (d);
}

/* With fewer guards fewer may be ejected; the longest ejected come back. */
static void
restore_floor (MdDispatch *d)
{
  while (d->n_ejected > md_health_max_ejected (d->n_guards, &d->tuning))
    {
      MdDispatchGuard *oldest = NULL;

      for (uint32_t i = 0; i < d->n_guards; i++)
        {
          MdDispatchGuard *guard = d->guards[i];

          if (guard->health.ejected
              && (oldest == NULL || guard->health.ejected_at < oldest->health.ejected_at))
            oldest = guard;
        }
      if (oldest == NULL)
        return;
      readmit (d, oldest);
    }
}

void
md_dispatch_guard_lost (MdDispatch *d, uint64_t id, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);
  uint32_t i = 0;

  if (guard == NULL)
    return;
  guard->lost = true;
  while (guard->tasks != NULL)
    md_task_record_result (d, guard->tasks, MD_TASK_UNKNOWN, MD_REASON_GUARD_LOST, 0, now);
  while (d->guards[i] != guard)
    i++;
  d->guards[i] = d->guards[--d->n_guards];
  if (guard->health.ejected)
    d->n_ejected--;
  remember_past (d, guard, now);
  free (guard->name);
  free (guard);
  restore_floor (d);
  md_guards_update_capacity (d);
}

static MdTime
stalls_at (const MdDispatchGuard *guard)
{
  return guard->busy > 0 ? guard->last_answer_at + STALL_TIME : INT64_MAX;
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
