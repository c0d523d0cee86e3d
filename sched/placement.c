/* placement.c -- choice of a worker for each task

   Workers differ in speed and size, and nobody declares the speed; some are slow for
   seconds, some fail every run. Several entries choose independently, from reports that
   are a message old. Each entry accounts for the runs that it has ordered itself since
   the last report. Those of other entries show in the next report, and a run that arrives
   together with theirs waits in the guard's queue.

   The expected end is the reported wait plus the run time at the estimated speed. At a peak, a slow
   worker that is free is better than waiting for a fast one, as long as it meets the goal: this
   leaves the fast ones to tasks that need them. The last free slots of a fast worker are likewise
   left to long tasks, which meet their goals nowhere else. If all entries ranked the workers alike,
   they would all send to the same one between two reports. A small bias that differs for each pair
   of entry and worker prevents this: each entry fills other workers first. A task under which a
   worker has crashed is placed on an idle worker only, where it runs alone: a second crash takes
   nothing else with it and tells whether the task is to blame. Another one has to be idle as well:
   near a peak, where it is not, the loss of the worker would cost others more than the task is
   worth. The members of a gang make progress only together, so that all of them are placed where
   there is room at once, or none: one that waits behind the others holds up all, and they it. A
   worker that failed runs of several jobs in a row, of any entry, is avoided for some time and then
   tried again with one run at a time. */

#include "run-sched.h"

#include <string.h>

#define FAILURES_TO_AVOID 3            /* consecutive, of different jobs */
#define MIN_AVOID_TIME (500 * MD_MS)   /* first; doubles with each further failure */
#define MAX_AVOID_TIME (4 * MD_SECOND) /* bound of the doubling */
/* Factors on expected run times. Estimates are off by a factor of about exp (0.4). A goal
   grows with the work, as the run time does, so a small margin is enough to prefer a free
   worker to waiting. The choice between free workers needs more: with 1.05 alone, nearly twice
   as many jobs are late. A limit does not grow with the work; run times seldom exceed twice
   the estimate. */
#define TIGHT_GOAL_MARGIN 1.05
#define SAFE_GOAL_MARGIN 1.2
#define LIMIT_MARGIN 2.0
/* A busier worker is left to tasks that need it, if there are others: at a busy share of
   0.47, its cost doubles, so that a free worker with half its speed is as good. */
#define BUSY_THRESHOLD 0.3
#define BUSY_WEIGHT 6.0
#define STALL_PENALTY (2 * MD_SECOND) /* added to the wait at a stalled worker */
#define MAX_REPORT_AGE (600 * MD_MS)  /* an older one says little about capacity */
#define MIN_IDLE_WORKERS 2 /* that a task needs to run alone, so that one is left to others */
#define OVERDUE_MARGIN (15 * MD_MS) /* a run that waits this much longer than predicted may move */

bool
md_worker_can_run (const MdWorker *worker, const MdTaskRequirements *need)
{
  return worker->state == MD_WORKER_READY && worker->connected && !worker->evacuated
         && md_str_equal (md_traits_pool (worker->traits), need->pool)
         && md_resources_fit (worker->capacity, need->resources)
         && (need->required_label.len == 0
             || md_traits_have (worker->traits, need->required_label));
}

/* After avoid_until, a worker that failed is probed with one run at a time. */
static bool
is_avoided (const MdWorker *worker, MdTime now)
{
  return worker->failures >= FAILURES_TO_AVOID
         && (now < worker->avoid_until || worker->outstanding > 0);
}

static MdPlacement
place_on (const MdWorkers *workers, MdWorker *worker, const MdTaskRequirements *need, MdTime now)
{
  double run = need->work / (worker->speed > 0 ? worker->speed : 1.0);
  MdPlacement placement = { .worker = worker };

  if (need->affinity.len > 0 && !md_traits_have (worker->traits, need->affinity))
    run *= workers->remote_factor;
  placement.run_time = md_span (run);
  if (!md_resources_fit (worker->free, need->resources))
    {
      placement.wait = worker->wait;
      if (placement.wait < worker->next_end)
        placement.wait = worker->next_end;
    }
  if (worker->stalled || now - worker->reported_at > MAX_REPORT_AGE)
    placement.wait += STALL_PENALTY;
  return placement;
}

/* The limit is not far above the goal: a run that takes much longer than estimated is worth
   nothing. */
static bool
has_tight_limit (const MdTaskRequirements *need)
{
  return (double)need->limit < LIMIT_MARGIN * (double)need->goal;
}

/* Smaller is better. A task with a tight limit waits for a fast worker rather than start at
   once on one that ends it in time only if the estimate is right. */
static double
cost (const MdPlacement *placement, const MdTaskRequirements *need, bool meets)
{
  const MdWorker *worker = placement->worker;
  double busy
      = worker->capacity.cpu > 0 ? 1.0 - (double)worker->free.cpu / worker->capacity.cpu : 1;
  double run = (double)placement->run_time;

  if (meets && busy > BUSY_THRESHOLD)
    run *= 1 + BUSY_WEIGHT * (busy - BUSY_THRESHOLD);
  if (!meets && has_tight_limit (need))
    run *= LIMIT_MARGIN;
  return (double)(placement->wait + worker->bias) + run;
}

typedef enum
{
  FIT_WAITS, /* waits, or misses the goal */
  FIT_TIGHT, /* starts at once and meets the goal if the estimate is right */
  FIT_SAFE,  /* starts at once and meets the goal with a margin */
} Fit;

/* The margins differ because goals grow with the work, as run times do, and limits do not. */
static Fit
fit_of (const MdPlacement *placement, const MdTaskRequirements *need)
{
  double run = (double)placement->run_time;

  if (placement->wait > 0 || run * TIGHT_GOAL_MARGIN > (double)need->goal
      || run * LIMIT_MARGIN > (double)need->limit)
    return FIT_WAITS;
  return run * SAFE_GOAL_MARGIN > (double)need->goal ? FIT_TIGHT : FIT_SAFE;
}

static bool
is_better (const MdPlacement *a, const MdPlacement *b, const MdTaskRequirements *need)
{
  Fit fit = fit_of (a, need);

  if (b->worker == NULL)
    return true;
  if (fit != fit_of (b, need))
    return fit > fit_of (b, need);
  return cost (a, need, fit != FIT_WAITS) < cost (b, need, fit != FIT_WAITS);
}

MdPlaceRank
md_place_rank (const MdPlacement *placement, const MdTaskRequirements *need)
{
  Fit fit = fit_of (placement, need);

  return (MdPlaceRank){ (int)fit, cost (placement, need, fit != FIT_WAITS) };
}

static bool
is_idle (const MdWorker *worker)
{
  return worker->wait == 0 && md_resources_fit (worker->free, worker->capacity);
}

MdPlacement
md_place (const MdWorkers *workers, const MdTaskRequirements *need, const uint32_t *counts,
          const MdWorker *avoid, MdTime now)
{
  MdPlacement best = { 0 };
  MdPlacement fallback = { 0 };
  uint32_t idle = 0;

  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdWorker *worker = workers->workers[i];
      MdPlacement placement;
      MdPlacement *current;

      if (worker->sparse || !md_worker_can_run (worker, need)
          || (need->excluded != NULL && need->excluded[i]))
        continue;
      if (need->alone && !is_idle (worker))
        continue;
      idle += need->alone;
      if (need->max_per_worker > 0 && counts != NULL && counts[i] >= need->max_per_worker)
        continue;
      current = worker == avoid || is_avoided (worker, now) ? &fallback : &best;
      placement = place_on (workers, worker, need, now);
      if (need->at_once
          && (placement.wait > 0 || !md_resources_fit (worker->free, need->resources)))
        continue;
      if (is_better (&placement, current, need))
        *current = placement;
    }
  if (need->alone && idle < MIN_IDLE_WORKERS)
    return (MdPlacement){ 0 };
  return best.worker != NULL ? best : fallback;
}

MdPlacement
md_place_at (const MdWorkers *workers, MdWorker *worker, const MdTaskRequirements *need, MdTime now)
{
  return place_on (workers, worker, need, now);
}

MdNearFar
md_place_near_far (const MdWorkers *workers, const MdTaskRequirements *need, const uint32_t *counts,
                   const MdWorker *avoid, MdTime now)
{
  MdNearFar best = { 0 };

  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdWorker *worker = workers->workers[i];
      MdPlacement placement;
      MdPlacement *current = &best.far;

      if (worker->sparse || !md_worker_can_run (worker, need)
          || (need->excluded != NULL && need->excluded[i]))
        continue;
      best.capacity_cpu += worker->capacity.cpu;
      best.free_cpu += worker->free.cpu;
      best.waiting += worker->near_waiting;
      if (md_traits_have (worker->traits, need->affinity))
        {
          current = &best.near;
          best.near_cpu += worker->capacity.cpu;
          best.near_waiting += worker->near_waiting;
        }
      if (worker == avoid || is_avoided (worker, now)
          || (need->max_per_worker > 0 && counts != NULL && counts[i] >= need->max_per_worker))
        continue;
      placement = place_on (workers, worker, need, now);
      if (is_better (&placement, current, need))
        *current = placement;
    }
  return best;
}

MdTime
md_place_backlog (const MdWorkers *workers, const MdTaskRequirements *need, MdTime now)
{
  MdTime shortest = INT64_MAX;

  for (uint32_t i = 0; i < workers->n && shortest > 0; i++)
    {
      MdWorker *worker = workers->workers[i];

      if (!worker->sparse && md_worker_can_run (worker, need) && !is_avoided (worker, now)
          && (need->excluded == NULL || !need->excluded[i]))
        {
          MdTime wait = place_on (workers, worker, need, now).wait;

          shortest = wait < shortest ? wait : shortest;
        }
    }
  return shortest;
}

/* Load pattern: an entry that is short of processor time reads reports hundreds of milliseconds
   late. By its own clock, nearly all of its runs then seem to wait, and looking for a better
   worker for each of them costs the time that reading the reports needs. */
bool
md_run_is_overdue (MdTime placed_at, MdTime expected_wait, MdTime known_at)
{
  return known_at > placed_at + expected_wait + OVERDUE_MARGIN;
}

/* Without free capacity, the run adds its share of the worker's time to the wait of the next. */
void
md_worker_reserve (MdWorker *worker, MdResources resources, MdTime run_time)
{
  double share = worker->capacity.cpu > 0 ? (double)run_time * resources.cpu / worker->capacity.cpu
                                          : (double)run_time;
  bool fits = md_resources_fit (worker->free, resources);

  md_resources_subtract (&worker->free, resources);
  if (fits)
    {
      if (worker->next_end == 0 || run_time < worker->next_end)
        worker->next_end = run_time;
      return;
    }
  worker->wait = md_span ((double)worker->wait + share);
}

void
md_place_count (const MdWorkers *workers, uint32_t *counts, const MdWorker *worker)
{
  for (uint32_t i = 0; counts != NULL && i < workers->n; i++)
    counts[i] += workers->workers[i] == worker;
}

bool
md_place_all (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
              uint32_t *counts, MdTime *finish, MdTime now)
{
  for (uint32_t k = 0; k < count; k++)
    {
      MdPlacement placement = md_place (workers, need, counts, NULL, now);

      if (placement.worker == NULL)
        return false;
      if (placement.wait + placement.run_time > *finish)
        *finish = placement.wait + placement.run_time;
      md_place_count (workers, counts, placement.worker);
      md_worker_reserve (placement.worker, need->resources, placement.run_time);
    }
  return true;
}

void
md_workers_save (const MdWorkers *workers, MdSavedResources *saved)
{
  for (uint32_t i = 0; i < workers->n; i++)
    {
      const MdWorker *worker = workers->workers[i];

      saved[i] = (MdSavedResources){ worker->free, worker->wait, worker->next_end };
    }
}

void
md_workers_restore (const MdWorkers *workers, const MdSavedResources *saved)
{
  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdWorker *worker = workers->workers[i];

      worker->free = saved[i].free;
      worker->wait = saved[i].wait;
      worker->next_end = saved[i].next_end;
    }
}

bool
md_place_try (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
              uint32_t *counts, MdSavedResources *saved, MdTime *finish, MdTime now)
{
  bool placed;

  md_workers_save (workers, saved);
  placed = md_place_all (workers, need, count, counts, finish, now);
  md_workers_restore (workers, saved);
  return placed;
}

/* Whether one of the first i workers can run the task and has the same rack. */
static bool
is_rack_before (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t i, MdStr rack)
{
  for (uint32_t k = 0; k < i; k++)
    if (md_worker_can_run (workers->workers[k], need)
        && md_str_equal (md_traits_rack (workers->workers[k]->traits), rack))
      return true;
  return false;
}

MdStr
md_place_rack (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
               MdSavedResources *saved, MdTime now)
{
  MdTaskRequirements trial = *need;
  MdStr best = MD_STR ("");
  MdTime soonest = INT64_MAX;

  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdStr rack = md_traits_rack (workers->workers[i]->traits);
      MdTime finish = 0;

      if (rack.len == 0 || !md_worker_can_run (workers->workers[i], need)
          || is_rack_before (workers, need, i, rack))
        continue;
      trial.affinity = rack;
      if (md_place_try (workers, &trial, count, NULL, saved, &finish, now) && finish < soonest)
        {
          best = rack;
          soonest = finish;
        }
    }
  return best;
}

/* How many tasks the worker has room for when it is idle; at most limit. */
static uint32_t
count_room (const MdWorker *worker, const MdTaskRequirements *need, uint32_t limit)
{
  MdResources left = worker->capacity;
  uint32_t n = 0;

  if (need->max_per_worker > 0 && need->max_per_worker < limit)
    limit = need->max_per_worker;
  for (; n < limit && md_resources_fit (left, need->resources); n++)
    md_resources_subtract (&left, need->resources);
  return n;
}

bool
md_place_possible (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count)
{
  uint32_t room = 0;

  for (uint32_t i = 0; i < workers->n && room < count; i++)
    if (md_worker_can_run (workers->workers[i], need))
      room += count_room (workers->workers[i], need, count - room);
  return room >= count;
}

void
md_worker_set_failures (MdWorker *worker, uint32_t failures, MdTime now)
{
  MdTime pause = MIN_AVOID_TIME;

  if (failures > worker->failures && failures >= FAILURES_TO_AVOID)
    {
      for (uint32_t i = FAILURES_TO_AVOID; i < failures && pause < MAX_AVOID_TIME; i++)
        pause *= 2;
      worker->avoid_until = now + pause;
    }
  worker->failures = failures;
}
