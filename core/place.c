/* place.c -- the choice of the next task and of its guard

   A task stays in the queue until a slot is free and is assigned to a guard only
   then (late binding), so the choice uses the latest information. Of the guards
   with a free slot, the one with the earliest expected completion is chosen.

   When only slow guards are free, a task may end sooner if it waits for a faster
   guard, because slots of fast guards become free every few milliseconds. The first
   job of the queue then leaves the slow slot to the job that would otherwise wait
   for all the others. With a long queue that job accepts almost any slot, so no
   capacity is lost under load. With a short queue the slow slot stays empty.

   The guards are scanned linearly. A shard has at most a few dozen guards (the
   heartbeat budget suffices for 68), and scanning them costs less than keeping them
   ordered while speeds, limits and backoffs change. */

#include "dispatch-private.h"

#include <math.h>

/* Guards whose learned speeds differ by a smaller factor count as equal. */
#define MIN_SPEED_RATIO 1.2

/* Factor on the estimated run time on a slow guard. A task that takes longer than
   declared delays its job by a multiple of the error there. */
#define SLOW_GUARD_PENALTY 2.0

/* A trial task is chosen from a job of at most this many tasks. Once a trial has
   been due for TRIAL_MAX_WAIT, any job may provide it. */
#define TRIAL_MAX_TASKS 4
#define TRIAL_MAX_WAIT (30 * MD_SECOND)

/* The search ends after this many customers whose jobs wait for a faster guard. */
#define MAX_DECLINED_CUSTOMERS 8

/* A customer that is over its quota for longer is overloading, not bursting. */
#define MAX_QUOTA_BURST_TIME (30 * MD_SECOND)

typedef struct
{
  MdActiveJob *active;
  MdTask *task;           /* first or last of the job's waiting tasks */
  bool last;              /* task is the last, which is the shortest */
  MdDispatchGuard *guard; /* free guard with the earliest completion, NULL none */
  uint32_t alternatives;  /* free guards that could run the task */
} Placement;

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
  const MdActiveJob *active = task->active;

  if (!task->refused)
    return false;
  for (uint32_t i = 0; i < active->n_refusals; i++)
    if (active->refusals[i].guard == guard && active->refusals[i].task == md_task_index (task))
      return true;
  return false;
}

/* Returns whether a customer has been limited by its quota for so long that its load
   is above the quota rather than a burst, while other customers run tasks too. */
static bool
exceeds_quota (const MdDispatch *d, const MdCustomer *customer, MdTime now)
{
  return customer->over_quota_since > 0 && now - customer->over_quota_since > MAX_QUOTA_BURST_TIME
         && d->running_tasks > customer->running_tasks;
}

/* A failed trial task fails its whole job, so small jobs are preferred. After
   TRIAL_MAX_WAIT any job is accepted; otherwise a pool of large jobs could never
   readmit the guard. */
static bool
suits_trial (const MdDispatchGuard *guard, const MdActiveJob *active, MdTime now)
{
  return !guard->health.ejected || active->n_tasks <= TRIAL_MAX_TASKS
         || now >= guard->health.next_trial_at + TRIAL_MAX_WAIT;
}

static double
expected_time (const MdDispatchGuard *guard, const MdTask *task)
{
  return task->size / guard->relative_speed + 2.0 * (double)guard->delay;
}

/* Returns the free guard with the earliest expected completion of the task, NULL
   when there is none. A customer whose load stays above its quota gets the slowest
   free guard instead: its throughput is bounded anyway, and its overload must not
   use the fast slots of customers that stay within their quotas. */
static MdDispatchGuard *
choose_guard (const MdDispatch *d, const MdTask *task, MdTime now, uint32_t *alternatives)
{
  MdDispatchGuard *best = NULL;
  double best_time = 0;
  const MdCustomer *customer = task->active->customer;
  double sign = customer != NULL && exceeds_quota (d, customer, now) ? -1.0 : 1.0;

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
start_task (MdDispatch *d, MdTask *task, MdDispatchGuard *guard, uint32_t alternatives, MdTime now,
            MdDispatchDecision *out)
{
  MdActiveJob *active = task->active;

  task->attempts++;
  task->sent_at = now;
  if (guard->busy == 0)
    guard->last_answer_at = now;
  md_task_sent (d, task, guard);
  active->job->ever_sent = true;
  d->starts++;
  if (task->attempts == 1)
    md_retry_deposit (&d->retry_budget);

  memset (out, 0, sizeof *out);
  out->kind = MD_DISPATCH_START;
  out->key = active->job->key;
  out->cookie = active->job->cookie;
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
  out->u.start.time_left = active->deadline - now;
}

/* Returns whether any guard could still run a task that others have refused. */
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
  return d->n_guards == 0; /* wait until a guard is attached again */
}

/* Tasks that were started before have priority, since their jobs are running. */
static bool
place_requeued (MdDispatch *d, MdTime now, MdDispatchDecision *out)
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
          start_task (d, task, guard, alternatives, now, out);
          return true;
        }
      if (!has_candidate (d, task))
        {
          md_job_fail (d, task->active->job, MD_REASON_NO_UPSTREAM, md_task_index (task), 0, now);
          return false; /* the job's other tasks, perhaps next, have left too */
        }
      task = next;
    }
  return false;
}

/* Returns the work per microsecond of all usable guards that are faster than the
   given one, whether or not they are busy now. *fastest is the highest speed of
   these guards, 0 when there are none. */
static double
faster_rate (const MdDispatch *d, const MdWorkerResources *need, const MdDispatchGuard *guard,
             MdTime now, double *fastest)
{
  double limit = guard->relative_speed * MIN_SPEED_RATIO;
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

/* Returns whether a task should start on the free guard now, because it ends no later
   there than if it waited for a faster guard. The faster guards are assumed to do
   the work ahead first and then a task of the given size. size is that of the
   longest task of the job, which the chosen task must not outlast. */
static bool
worth_starting (const MdDispatch *d, const Placement *placement, double ahead, double size,
                MdTime now)
{
  double fastest;
  double rate = faster_rate (d, &placement->active->need, placement->guard, now, &fastest);

  if (rate <= 0 || exceeds_quota (d, placement->active->customer, now))
    return true;
  return SLOW_GUARD_PENALTY * placement->task->size / placement->guard->relative_speed
         <= ahead / rate + size / fastest;
}

static bool
evaluate_task (const MdDispatch *d, MdActiveJob *active, bool last, double ahead, MdTime now,
               Placement *placement)
{
  const MdTask *longest = &active->tasks[active->order[active->next_order]];

  placement->active = active;
  placement->last = last;
  placement->task = &active->tasks[active->order[last ? active->n_order - 1 : active->next_order]];
  placement->guard = choose_guard (d, placement->task, now, &placement->alternatives);
  return placement->guard != NULL && worth_starting (d, placement, ahead, longest->size, now);
}

/* Chooses a task of a subqueue: the longest task of the best job; if that should wait
   for a faster guard, the shortest task of the same job; if that should wait too,
   the shortest task of the most urgent job, evaluated as if all other waiting work
   were done before it. */
static bool
choose_in_subqueue (const MdDispatch *d, const MdSubqueue *subqueue, MdTime now,
                    Placement *placement)
{
  MdActiveJob *best = md_queue_best (subqueue, now);
  MdActiveJob *most_urgent = md_heap_top (&subqueue->by_urgency);

  if (best == NULL)
    return false;
  if (evaluate_task (d, best, false, best->waiting_work, now, placement))
    return true;
  if (placement->guard == NULL)
    return false;
  if (evaluate_task (d, best, true, best->waiting_work, now, placement))
    return true;
  return evaluate_task (d, most_urgent, true,
                        fmax (d->fair_queue.ready_work, most_urgent->customer->waiting_work), now,
                        placement);
}

/* Chooses among the subqueues of a customer. Returns false with *declined set when a
   guard is free, but the customer's jobs should wait for a faster one. */
static bool
choose_for_customer (const MdDispatch *d, const MdCustomer *customer, MdTime now, Placement *out,
                     bool *declined)
{
  bool found = false;

  *declined = false;
  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    {
      Placement placement = { 0 };

      if (!choose_in_subqueue (d, &customer->subqueues[i], now, &placement))
        {
          *declined = *declined || placement.guard != NULL;
          continue;
        }
      if (found && out->active->waiting_work <= placement.active->waiting_work)
        continue;
      *out = placement;
      found = true;
    }
  return found;
}

/* The quota bounds the slots at any time, not only on average. Bursts of up to twice
   the quota would let one overloading customer raise the p99 of another from 1.06
   to 1.51 times its value when alone. The token bucket is needed as well for quotas
   that are not whole numbers. */
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
place_for_customer (MdDispatch *d, MdCustomer *customer, MdTime now, MdDispatchDecision *out,
                    bool *declined)
{
  Placement placement;
  double time;

  if (!choose_for_customer (d, customer, now, &placement, declined))
    return false;
  time = expected_time (placement.guard, placement.task);
  md_queue_start_task (&d->fair_queue, placement.active, placement.last, time);
  placement.task->charge = time;
  d->waiting_tasks--;
  start_task (d, placement.task, placement.guard, placement.alternatives, now, out);
  return true;
}

bool
md_place_next (MdDispatch *d, MdTime now, MdDispatchDecision *out)
{
  MdCustomer *skipped = NULL; /* list of customers without a start */
  bool placed = false;
  uint32_t n_declined = 0;

  if (!d->serving || d->suspended || d->waiting_tasks == 0 || !any_free (d, now))
    return false;
  if (place_requeued (d, now, out))
    return true;
  md_queue_unblock_due (&d->fair_queue, now);
  while (!placed && n_declined < MAX_DECLINED_CUSTOMERS)
    {
      MdCustomer *customer = md_heap_top (&d->fair_queue.ready);
      bool declined;

      if (customer == NULL)
        break;
      if (!quota_allows (d, customer, now))
        continue;
      placed = place_for_customer (d, customer, now, out, &declined);
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
