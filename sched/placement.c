/* placement.c -- the worker on which a task ends first

   Load pattern: workers differ in speed and size, which nobody declares; some are
   slow for seconds, some fail whatever they start. Several entries choose from
   reports that are a message old. Each entry reckons with what it has sent itself
   since the last report; what others have sent shows in the next report, and a run
   that met others on its way waits in that guard's queue.

   The expected end is the reported wait plus the run time at the learned speed. At a
   peak a slow worker that is free is better than a wait for a fast one as long as it
   meets the goal: the fast ones are then left to tasks that need them. The same holds
   for the last free slots of a fast worker, as long tasks meet their goals nowhere
   else. If all
   entries ranked workers alike, they would all send to the same one between two
   reports; a small bias that is unlike for each pair of entry and worker keeps them
   apart, so that each first fills workers of its own. A worker that failed runs of
   several jobs in a row, whoever ordered them, is tried again with one run at a time. */

#include "run-sched.h"

#include <string.h>

#define FAILURES_TO_AVOID 3       /* consecutive, of different jobs */
#define AVOID_MIN (500 * MD_MS)   /* first pause of such a worker */
#define AVOID_MAX (4 * MD_SECOND) /* longest pause */
/* Estimates of run times scatter by a factor of about exp (0.4). A goal grows with the
   work as the run time does, so little margin is enough to prefer a free worker to a
   wait. Between free workers a fifth is better: 1.05 alone left nearly twice as many jobs late on
   seven recorded days, 1.3 and 1.45 gained no more. A limit does not grow: 2 is seldom
   exceeded. */
#define GOAL_SAFETY 1.05
#define GOAL_MARGIN 1.2
#define LIMIT_SAFETY 2.0
/* A worker that is busier than this is left to tasks that need it, if there are others:
   at a busy share of 0.47 half its speed elsewhere is as good. */
#define BUSY_FREE 0.3
#define BUSY_WEIGHT 6.0
#define STALL_PENALTY (2 * MD_SECOND) /* added to the wait at a stalled worker */
#define REPORT_AGE_MAX (600 * MD_MS)  /* an older report says little about capacity */

bool
md_labels_have (const MdLabels *labels, const char *label)
{
  for (unsigned i = 0; i < labels->n; i++)
    if (strcmp (labels->label[i], label) == 0)
      return true;
  return false;
}

const char *
md_labels_rack (const MdLabels *labels)
{
  return labels->n > MD_LABEL_RACK ? labels->label[MD_LABEL_RACK] : "";
}

bool
md_worker_can_run (const MdWorker *worker, const MdTaskRequirements *need)
{
  return worker->state == MD_WORKER_READY && worker->connected
         && strcmp (worker->pool, need->pool) == 0
         && md_resources_fit (worker->capacity, need->resources)
         && (need->required_label[0] == '\0'
             || md_labels_have (&worker->labels, need->required_label));
}

/* One run at a time probes a worker that failed. */
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

  if (need->affinity[0] != '\0' && !md_labels_have (&worker->labels, need->affinity))
    run *= workers->remote_factor;
  placement.run_time = (MdTime)run;
  if (!md_resources_fit (worker->free, need->resources))
    {
      placement.wait = worker->wait;
      if (placement.wait < worker->next_end)
        placement.wait = worker->next_end;
    }
  if (worker->stalled || now - worker->reported_at > REPORT_AGE_MAX)
    placement.wait += STALL_PENALTY;
  return placement;
}

/* The caller leaves little more time than the goal: a run that takes longer than
   estimated is worth nothing. */
static bool
is_limited (const MdTaskRequirements *need)
{
  return (double)need->limit < LIMIT_SAFETY * (double)need->goal;
}

/* Smaller is better. A long task waits for a fast worker rather than to start at once
   on one that ends it in time only if the estimate holds. */
static double
rank (const MdPlacement *placement, const MdTaskRequirements *need, bool meets)
{
  const MdWorker *worker = placement->worker;
  double busy
      = worker->capacity.cpu > 0 ? 1.0 - (double)worker->free.cpu / worker->capacity.cpu : 1;
  double run = (double)placement->run_time;

  if (meets && busy > BUSY_FREE)
    run *= 1 + BUSY_WEIGHT * (busy - BUSY_FREE);
  if (!meets && is_limited (need))
    run *= LIMIT_SAFETY;
  return (double)(placement->wait + worker->bias) + run;
}

typedef enum
{
  FIT_WAITS, /* waits, or misses the goal */
  FIT_TIGHT, /* starts at once and meets the goal if the estimate holds */
  FIT_SAFE,  /* the same with a margin */
} Fit;

/* Goals grow with the work, as run times do; limits do not. */
static Fit
fit_of (const MdPlacement *placement, const MdTaskRequirements *need)
{
  double run = (double)placement->run_time;

  if (placement->wait > 0 || run * GOAL_SAFETY > (double)need->goal
      || run * LIMIT_SAFETY > (double)need->limit)
    return FIT_WAITS;
  return run * GOAL_MARGIN > (double)need->goal ? FIT_TIGHT : FIT_SAFE;
}

static bool
is_better (const MdPlacement *a, const MdPlacement *b, const MdTaskRequirements *need)
{
  Fit fit = fit_of (a, need);

  if (b->worker == NULL)
    return true;
  if (fit != fit_of (b, need))
    return fit > fit_of (b, need);
  return rank (a, need, fit != FIT_WAITS) < rank (b, need, fit != FIT_WAITS);
}

MdPlacement
md_place (const MdWorkers *workers, const MdTaskRequirements *need, const uint32_t *taken,
          const MdWorker *avoid, MdTime now)
{
  MdPlacement best = { 0 };
  MdPlacement fallback = { 0 };

  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdWorker *worker = workers->workers[i];
      MdPlacement placement;
      MdPlacement *kept;

      if (!md_worker_can_run (worker, need) || (need->excluded != NULL && need->excluded[i]))
        continue;
      if (need->max_per_worker > 0 && taken != NULL && taken[i] >= need->max_per_worker)
        continue;
      kept = worker == avoid || is_avoided (worker, now) ? &fallback : &best;
      placement = place_on (workers, worker, need, now);
      if (is_better (&placement, kept, need))
        *kept = placement;
    }
  return best.worker != NULL ? best : fallback;
}

MdTime
md_place_backlog (const MdWorkers *workers, const MdTaskRequirements *need, MdTime now)
{
  MdTime shortest = INT64_MAX;

  for (uint32_t i = 0; i < workers->n && shortest > 0; i++)
    {
      MdWorker *worker = workers->workers[i];

      if (md_worker_can_run (worker, need) && !is_avoided (worker, now)
          && (need->excluded == NULL || !need->excluded[i]))
        {
          MdTime wait = place_on (workers, worker, need, now).wait;

          shortest = wait < shortest ? wait : shortest;
        }
    }
  return shortest;
}

/* Without capacity the run takes its share of the worker's time, and the next waits so
   much longer. */
void
md_worker_reserve (MdWorker *worker, MdResources need, MdTime run)
{
  MdTime share = worker->capacity.cpu > 0 ? run * need.cpu / worker->capacity.cpu : run;
  bool fits = md_resources_fit (worker->free, need);

  md_resources_subtract (&worker->free, need);
  if (fits)
    {
      if (worker->next_end == 0 || run < worker->next_end)
        worker->next_end = run;
      return;
    }
  worker->wait += share;
}

void
md_place_count (const MdWorkers *workers, uint32_t *taken, const MdWorker *worker)
{
  for (uint32_t i = 0; taken != NULL && i < workers->n; i++)
    taken[i] += workers->workers[i] == worker;
}

bool
md_place_all (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
              uint32_t *taken, MdTime *finish, MdTime now)
{
  for (uint32_t k = 0; k < count; k++)
    {
      MdPlacement placement = md_place (workers, need, taken, NULL, now);

      if (placement.worker == NULL)
        return false;
      if (placement.wait + placement.run_time > *finish)
        *finish = placement.wait + placement.run_time;
      md_place_count (workers, taken, placement.worker);
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
              uint32_t *taken, MdSavedResources *saved, MdTime *finish, MdTime now)
{
  bool placed;

  md_workers_save (workers, saved);
  placed = md_place_all (workers, need, count, taken, finish, now);
  md_workers_restore (workers, saved);
  return placed;
}

/* One of the first i workers that could run it has the same rack. */
static bool
is_rack_before (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t i,
                const char *rack)
{
  for (uint32_t k = 0; k < i; k++)
    if (md_worker_can_run (workers->workers[k], need)
        && strcmp (md_labels_rack (&workers->workers[k]->labels), rack) == 0)
      return true;
  return false;
}

const char *
md_place_rack (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
               MdSavedResources *saved, MdTime now)
{
  MdTaskRequirements trial = *need;
  const char *best = "";
  MdTime soonest = INT64_MAX;

  for (uint32_t i = 0; i < workers->n; i++)
    {
      const char *rack = md_labels_rack (&workers->workers[i]->labels);
      MdTime finish = 0;

      if (rack[0] == '\0' || !md_worker_can_run (workers->workers[i], need)
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

bool
md_place_possible (const MdWorkers *workers, const MdTaskRequirements *need)
{
  for (uint32_t i = 0; i < workers->n; i++)
    if (md_worker_can_run (workers->workers[i], need))
      return true;
  return false;
}

void
md_worker_set_failures (MdWorker *worker, uint32_t failures, MdTime now)
{
  MdTime pause = AVOID_MIN;

  if (failures > worker->failures && failures >= FAILURES_TO_AVOID)
    {
      for (uint32_t i = FAILURES_TO_AVOID; i < failures && pause < AVOID_MAX; i++)
        pause *= 2;
      worker->avoid_until = now + pause;
    }
  worker->failures = failures;
}
