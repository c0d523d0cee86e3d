/* placement.c -- the worker on which a task ends first

   Load pattern: workers differ in speed and size, which nobody declares; some are
   slow for seconds, some fail whatever they start. Several entries choose from
   reports that are a message old. Each entry reckons with what it has sent itself
   since the last report; what others have sent shows up as a wait in the guard's
   next report, and the run waits in that guard's queue meanwhile.

   The expected end is the reported wait for the urgency of the task plus its run
   time at the learned speed. A worker that failed runs of several jobs in a row is
   tried again with one run at a time. */

#include "run-sched.h"

#include <string.h>

#define FAILURES_TO_AVOID 3           /* consecutive, of different jobs */
#define AVOID_MIN (500 * MD_MS)       /* first pause of such a worker */
#define AVOID_MAX (4 * MD_SECOND)     /* longest pause */
#define STALL_PENALTY (2 * MD_SECOND) /* added to the wait at a stalled worker */
#define REPORT_AGE_MAX (600 * MD_MS)  /* an older report says little about room */

bool
md_labels_have (const MdLabels *labels, const char *label)
{
  for (unsigned i = 0; i < labels->n; i++)
    if (strcmp (labels->label[i], label) == 0)
      return true;
  return false;
}

static bool
can_run (const MdWorker *worker, const MdTaskNeed *need)
{
  return worker->state == MD_WORKER_READY && worker->connected
         && strcmp (worker->service, need->service) == 0
         && md_room_fits (worker->capacity, need->need)
         && (need->requirement[0] == '\0' || md_labels_have (&worker->labels, need->requirement));
}

/* One run at a time probes a worker that failed. */
static bool
is_avoided (const MdWorker *worker, MdTime now)
{
  return worker->failures >= FAILURES_TO_AVOID
         && (now < worker->avoid_until || worker->outstanding > 0);
}

static MdPlacement
place_on (const MdWorkers *workers, MdWorker *worker, const MdTaskNeed *need, MdTime now)
{
  double run = need->work / md_estimate_speed (&worker->speed);
  MdPlacement placement = { .worker = worker };

  if (need->affinity[0] != '\0' && !md_labels_have (&worker->labels, need->affinity))
    run *= workers->remote_factor;
  placement.run = (MdTime)run;
  if (!md_room_fits (worker->free, need->need))
    {
      placement.wait = worker->wait[md_urgency (need->start_within)];
      if (placement.wait < worker->next_end)
        placement.wait = worker->next_end;
    }
  placement.wait += worker->delay;
  if (worker->stalled || now - worker->reported_at > REPORT_AGE_MAX)
    placement.wait += STALL_PENALTY;
  return placement;
}

MdPlacement
md_place (const MdWorkers *workers, const MdTaskNeed *need, const uint32_t *taken,
          const MdWorker *avoid, MdTime now)
{
  MdPlacement best = { 0 };
  MdPlacement fallback = { 0 };

  for (uint32_t i = 0; i < workers->n; i++)
    {
      MdWorker *worker = workers->workers[i];
      MdPlacement placement;
      MdPlacement *kept = worker == avoid || is_avoided (worker, now) ? &fallback : &best;

      if (!can_run (worker, need))
        continue;
      if (need->per_worker > 0 && taken != NULL && taken[i] >= need->per_worker)
        continue;
      placement = place_on (workers, worker, need, now);
      if (kept->worker == NULL || placement.wait + placement.run < kept->wait + kept->run)
        *kept = placement;
    }
  return best.worker != NULL ? best : fallback;
}

/* Without room the run takes its share of the worker's time, and the next waits so
   much longer. */
void
md_worker_reserve (MdWorker *worker, MdRoom need, MdTime run, unsigned urgency)
{
  MdTime share = worker->capacity.cpu > 0 ? run * need.cpu / worker->capacity.cpu : run;
  bool fits = md_room_fits (worker->free, need);

  md_room_take (&worker->free, need);
  if (fits)
    {
      if (worker->next_end == 0 || run < worker->next_end)
        worker->next_end = run;
      return;
    }
  for (unsigned i = urgency; i < MD_URGENCIES; i++)
    worker->wait[i] += share;
}

bool
md_place_possible (const MdWorkers *workers, const MdTaskNeed *need)
{
  for (uint32_t i = 0; i < workers->n; i++)
    if (can_run (workers->workers[i], need))
      return true;
  return false;
}

void
md_worker_ended (MdWorker *worker, MdRunHow how, uint64_t job, MdTime now)
{
  MdTime pause = AVOID_MIN;

  if (worker->outstanding > 0)
    worker->outstanding--;
  if (how == MD_RUN_DONE)
    worker->failures = 0;
  /* A job that can never be done fails everywhere and says nothing. */
  if (how != MD_RUN_FAILED || job == worker->last_failed_job)
    return;
  worker->last_failed_job = job;
  worker->failures++;
  for (uint32_t i = FAILURES_TO_AVOID; i < worker->failures && pause < AVOID_MAX; i++)
    pause *= 2;
  worker->avoid_until = now + pause;
}
