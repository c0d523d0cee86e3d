/* place.c -- the choice of the next task and of its guard

   A task stays in the queue until a slot is free and is bound to a guard only
   then, so the choice rests on what is known at the last moment. Among the
   guards with a free slot the one that should finish the task first is taken.

   When only slow guards are free, a task may end sooner if it waits for a faster
   one: the slots of fast guards free up every few milliseconds. The best job then
   leaves the slow slot to the job that is last in line. With a long queue that
   job accepts almost any slot, so no capacity is lost under load; with a short
   one the slow slot stays empty.

   The guards are scanned one by one. A shard has at most a few dozen guards
   (the heartbeat budget ends at 68), and a scan of as many entries costs less
   than keeping them ordered while speeds, limits and holds change. */

#include "dispatch-private.h"

#include <math.h>

/* Guards whose learned speeds differ by less count as equal. */
#define FASTER 1.2

/* The estimated time on a slow guard counts this much: a task that is longer than
   declared costs its job the difference several times. Of 0.8 to 3, 2 gave the
   lowest responses (make bench-policy). */
#define SLOW_RISK 2.0

/* A job of up to so many tasks is small enough for a trial; after TRIAL_MAX_WAIT
   any job is. */
#define TRIAL_TASKS 4
#define TRIAL_MAX_WAIT (30 * MD_SECOND)

/* Customers asked in vain whether they take a slow slot. */
#define MOST_DECLINED 8

/* Over quota for longer is no burst. */
#define QUOTA_BURST_TIME (30 * MD_SECOND)

typedef struct
{
  MdActiveJob *work;
  MdTask *task;           /* first or last of the job's waiting tasks */
  bool last;              /* the last, that is, the shortest */
  MdDispatchGuard *guard; /* free guard that finishes it first */
  uint32_t alternatives;  /* free guards */
} Choice;

/* ------------------------------------------------------------------ */
/* Choice                                                             */

static bool
is_usable (const MdDispatchGuard *guard, MdTime now)
{
  return !guard->paused && !guard->leaving && now >= guard->backoff_until;
}

static bool
is_free (const MdDispatch *d, const MdDispatchGuard *guard, MdTime now)
{
  return is_usable (guard, now)
         && guard->busy < md_health_concurrency (&guard->health, md_guard_slots (d, guard), now);
}

static bool
refused_by (const MdTask *task, uint64_t guard)
{
  const MdActiveJob *work = task->active;

  if (!task->refused)
    return false;
  for (uint32_t i = 0; i < work->n_refusals; i++)
    if (work->refusals[i].guard == guard && work->refusals[i].task == md_task_index (task))
      return true;
  return false;
}

/* A customer that has been held back by its quota for long, that is, offers more
   than its quota rather than a burst, while others run tasks too. */
static bool
is_over (const MdDispatch *d, const MdCustomer *customer, MdTime now)
{
  return customer->over_quota_since > 0 && now - customer->over_quota_since > QUOTA_BURST_TIME
         && d->running_tasks > customer->running_tasks;
}

/* A failed trial fails its whole job, so small jobs are tried first; after a while
   any job is, or a pool of large jobs would never get the guard back. */
static bool
suits_trial (const MdDispatchGuard *guard, const MdActiveJob *work, MdTime now)
{
  return !guard->health.ejected || work->n_tasks <= TRIAL_TASKS
         || now >= guard->health.next_trial_at + TRIAL_MAX_WAIT;
}

static double
expected_time (const MdDispatchGuard *guard, const MdTask *task)
{
  return task->size / guard->relative_speed + 2.0 * (double)guard->delay;
}

/* The free guard that finishes the task first; NULL when there is none. A
   customer that keeps offering more than its quota gets the slowest one instead:
   its throughput is bounded anyway, and its overload must not take the fast
   slots from customers that stay within theirs. */
static MdDispatchGuard *
choose_guard (const MdDispatch *d, const MdTask *task, MdTime now, uint32_t *alternatives)
{
  MdDispatchGuard *best = NULL;
  double best_time = 0;
  const MdCustomer *customer = task->active->customer;
  double sign = customer != NULL && is_over (d, customer, now) ? -1.0 : 1.0;

  *alternatives = 0;
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      MdDispatchGuard *guard = d->guards[i];
      double t;

      if (!is_free (d, guard, now)
          || !md_worker_resources_fit (&task->active->need, &guard->resources)
          || refused_by (task, guard->id) || !suits_trial (guard, task->active, now))
        continue;
      ++*alternatives;
      t = sign * expected_time (guard, task);
      if (best == NULL || t < best_time || (!(t > best_time) && guard->busy < best->busy))
        {
          best = guard;
          best_time = t;
        }
    }
  return best;
}

static bool
any_free (const MdDispatch *d, MdTime now)
{
  for (uint32_t i = 0; i < d->n_guards; i++)
    if (is_free (d, d->guards[i], now))
      return true;
  return false;
}

/* ------------------------------------------------------------------ */
/* Starts                                                             */

static void
start (MdDispatch *d, MdTask *task, MdDispatchGuard *guard, uint32_t alternatives, MdTime now,
       MdDispatchDecision *out)
{
  MdActiveJob *work = task->active;

  task->attempts++;
  task->sent_at = now;
  if (guard->busy == 0)
    guard->last_answer_at = now;
  md_task_sent (d, task, guard);
  work->job->ever_sent = true;
  d->starts++;
  if (task->attempts == 1)
    md_retry_deposit (&d->retry_budget);

  memset (out, 0, sizeof *out);
  out->kind = MD_DISPATCH_START;
  out->key = work->job->key;
  out->cookie = work->job->cookie;
  out->u.start.guard = guard->id;
  out->u.start.task = md_task_index (task);
  out->u.start.attempt = task->attempts;
  out->u.start.reason = guard->health.ejected ? MD_REASON_PROBATION : MD_REASON_FASTEST_FREE;
  if (task->retry)
    {
      out->u.start.reason = MD_REASON_RETRY;
      d->retries++;
    }
  task->retry = false;
  out->u.start.alternatives = alternatives;
  out->u.start.time_left = work->deadline - now;
}

/* Whether some guard could still take a task that others refused. */
static bool
has_candidate (const MdDispatch *d, const MdTask *task)
{
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      const MdDispatchGuard *guard = d->guards[i];

      if (!guard->leaving && md_worker_resources_fit (&task->active->need, &guard->resources)
          && !refused_by (task, guard->id))
        return true;
    }
  return d->n_guards == 0; /* wait for a guard to come back */
}

/* Tasks that were started before go first: their jobs are running. */
static bool
place_again (MdDispatch *d, MdTime now, MdDispatchDecision *out)
{
  MdTask *task = d->requeued;

  while (task != NULL)
    {
      MdTask *next = task->next;
      uint32_t alternatives;
      MdDispatchGuard *guard = choose_guard (d, task, now, &alternatives);

      if (guard != NULL)
        {
          md_requeued_remove (d, task);
          task->charge = 0;
          start (d, task, guard, alternatives, now, out);
          return true;
        }
      if (!has_candidate (d, task))
        {
          md_job_fail (d, task->active->job, MD_REASON_NO_UPSTREAM, md_task_index (task), 0, now);
          return false; /* other tasks of the job may have left the list too */
        }
      task = next;
    }
  return false;
}

/* Work per microsecond of all usable guards that are faster than one, whether or
   not they are busy now, and the highest speed among them. */
static double
faster_rate (const MdDispatch *d, const MdWorkerResources *need, const MdDispatchGuard *guard,
             MdTime now, double *fastest)
{
  double limit = guard->relative_speed * FASTER;
  double rate = 0;

  *fastest = 0;
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      const MdDispatchGuard *other = d->guards[i];
      double speed = other->relative_speed;

      if (speed < limit || !is_usable (other, now) || other->health.ejected
          || md_guard_stalled (other, now) || !md_worker_resources_fit (need, &other->resources))
        continue;
      rate += speed * md_health_concurrency (&other->health, md_guard_slots (d, other), now);
      *fastest = fmax (*fastest, speed);
    }
  return rate;
}

/* Whether a task ends sooner on a free guard than on a faster one that becomes
   free later. The faster guards do the work ahead first and then a task of the
   given size, the longest of the job, which the task must not outlast. */
static bool
worth_starting (const MdDispatch *d, const Choice *choice, double ahead, double size, MdTime now)
{
  double fastest;
  double rate = faster_rate (d, &choice->work->need, choice->guard, now, &fastest);

  if (rate <= 0 || is_over (d, choice->work->customer, now))
    return true;
  return SLOW_RISK * choice->task->size / choice->guard->relative_speed
         <= ahead / rate + size / fastest;
}

static bool
consider (const MdDispatch *d, MdActiveJob *work, bool last, double ahead, MdTime now,
          Choice *choice)
{
  const MdTask *longest = &work->tasks[work->order[work->next_order]];

  choice->work = work;
  choice->last = last;
  choice->task = &work->tasks[work->order[last ? work->n_order - 1 : work->next_order]];
  choice->guard = choose_guard (d, choice->task, now, &choice->alternatives);
  return choice->guard != NULL && worth_starting (d, choice, ahead, longest->size, now);
}

/* The choice within a lane: the longest task of the best job; if that should wait
   for a faster guard, its shortest one; if that should wait too, the shortest one
   of the job that is last in line and would wait for all others. */
static bool
choose_in_lane (const MdDispatch *d, const MdSubqueue *lane, MdTime now, Choice *choice)
{
  MdActiveJob *best = md_queue_best (lane, now);
  MdActiveJob *oldest = md_heap_top (&lane->by_urgency);

  if (best == NULL)
    return false;
  if (consider (d, best, false, best->waiting_work, now, choice))
    return true;
  if (choice->guard == NULL)
    return false;
  if (consider (d, best, true, best->waiting_work, now, choice))
    return true;
  return consider (d, oldest, true, fmax (d->fair_queue.ready_work, oldest->customer->waiting_work),
                   now, choice);
}

/* Returns false with *declined set when a guard is free, but the customer's jobs
   had better wait for a faster one. */
static bool
choose (const MdDispatch *d, const MdCustomer *customer, MdTime now, Choice *out, bool *declined)
{
  bool found = false;

  *declined = false;
  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    {
      Choice choice = { 0 };

      if (!choose_in_lane (d, &customer->subqueues[i], now, &choice))
        {
          *declined = *declined || choice.guard != NULL;
          continue;
        }
      if (found && out->work->waiting_work <= choice.work->waiting_work)
        continue;
      *out = choice;
      found = true;
    }
  return found;
}

/* The quota bounds the slots at any time, not only on average: bursts beyond it,
   allowed up to twice the quota, raised the p99 of a customer beside an
   overloading one from 1.06 to 1.51 times its p99 alone. The bucket on top of it
   serves quotas that are not whole. */
static bool
quota_allows (MdDispatch *d, MdCustomer *customer, MdTime now)
{
  double quota = customer->policy.slot_quota;
  MdTime ready;

  if (quota <= 0)
    return true;
  if (customer->running_tasks >= ceil (quota))
    {
      md_queue_block (&d->fair_queue, customer, INT64_MAX, now); /* until one of its tasks ends */
      return false;
    }
  ready = md_token_bucket_ready (&customer->quota_bucket, quota, now);
  if (ready > now)
    md_queue_block (&d->fair_queue, customer, ready, now);
  return ready <= now;
}

static bool
place_for (MdDispatch *d, MdCustomer *customer, MdTime now, MdDispatchDecision *out, bool *declined)
{
  Choice choice;
  double time;

  if (!choose (d, customer, now, &choice, declined))
    return false;
  time = expected_time (choice.guard, choice.task);
  md_queue_start_task (&d->fair_queue, choice.work, choice.last, time);
  choice.task->charge = time;
  d->waiting_tasks--;
  start (d, choice.task, choice.guard, choice.alternatives, now, out);
  return true;
}

bool
md_place_next (MdDispatch *d, MdTime now, MdDispatchDecision *out)
{
  MdCustomer *skipped = NULL; /* chain of customers for whose jobs no guard is free */
  bool placed = false;
  uint32_t n_declined = 0;

  if (!d->serving || d->suspended || d->waiting_tasks == 0 || !any_free (d, now))
    return false;
  if (place_again (d, now, out))
    return true;
  md_queue_unblock_due (&d->fair_queue, now);
  while (!placed && n_declined < MOST_DECLINED)
    {
      MdCustomer *customer = md_heap_top (&d->fair_queue.ready);
      bool declined;

      if (customer == NULL)
        break;
      if (!quota_allows (d, customer, now))
        continue;
      placed = place_for (d, customer, now, out, &declined);
      if (placed)
        break;
      n_declined += declined;
      md_heap_remove (&d->fair_queue.ready, customer);
      customer->next_skipped = skipped;
      skipped = customer;
    }
  for (; skipped != NULL; skipped = skipped->next_skipped)
    md_heap_push (&d->fair_queue.ready, skipped);
  return placed;
}
