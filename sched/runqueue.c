/* runqueue.c -- queue of the runs that wait for capacity at one worker

   Several entries send runs to the same worker with equal priority, at peaks more than it
   has capacity for, and a job misses its goal as soon as one of its tasks starts late. The
   guard keeps the queue because it is the first to know of freed capacity and can start
   the next run without a message.

   The order is earliest start_by first, but runs that arrive more than MAX_SLACK later never
   overtake: entries admit jobs by the wait that this queue reports, and a run that others keep
   overtaking would wait longer than that. A run that can no longer start in time goes behind all
   that can, because an early start would not save its own goal and would cost another job its goal.
   Among those that can still start in time, and among the others, the more important priority comes
   first; see priority.c. Capacity that is too small for the first run may go to a smaller one
   behind it. */

#include "priority.h"

#include <math.h>
#include <string.h>

#define MAX_PROJECTED_ENDS 256           /* held at the same time in a projection */
#define STALL_FACTOR 2.0                 /* stall: elapsed over expected time is above this */
#define STALL_MARGIN (100 * MD_MS)       /* stall: and at least this much longer */
#define STALL_RUNS 3                     /* stall: number of such runs */
#define MAX_SLACK (40 * MD_MS)           /* how long later runs can overtake a run */
#define MIN_SPEED_GAIN 0.05              /* lowest weight of a run in the speed estimate */
#define SPEED_DECAY_TIME (2 * MD_SECOND) /* time constant while idle */
#define MAX_SAMPLES_AFTER_IDLE 4         /* so that new runs count more after idle time */
#define MAX_LOG_DIFFERENCE 0.7           /* limit for a run's log speed minus the estimate */
#define OVERDUE_FACTOR 1.5               /* of the expected time; its log-normal sigma is 0.4 */
#define MIN_SPEED 0.05                   /* bound of the speed estimate */
#define MAX_SPEED 20.0                   /* bound of the speed estimate */
#define TYPICAL_CPU_GAIN 0.1             /* weight of a new run in typical_cpu */
#define DEFAULT_RUN_TIME (200 * MD_MS)   /* of a run without an estimate */
#define RELEASE_STEPS 4                  /* in which withheld capacity is projected to be given */

static const char *const run_result_names[MD_RUN_RESULT_COUNT]
    = { "done",  "failed",   "stopped", "lapsed",  "broken",
        "alone", "rejected", "stale",   "crashed", "crashed-alone" };

const char *
md_run_result_name (MdRunResult result)
{
  return (unsigned)result < MD_RUN_RESULT_COUNT ? run_result_names[result] : "unknown";
}

/* ------------------------------------------------------------------ */
/* Lists                                                              */

static void
insert_before (MdRunList *list, MdRun *place, MdRun *run)
{
  run->next = place;
  run->previous = place != NULL ? place->previous : list->last;
  if (run->previous != NULL)
    run->previous->next = run;
  else
    list->first = run;
  if (place != NULL)
    place->previous = run;
  else
    list->last = run;
  list->n++;
}

static void
unlink_run (MdRunList *list, MdRun *run)
{
  if (run->previous != NULL)
    run->previous->next = run->next;
  else
    list->first = run->next;
  if (run->next != NULL)
    run->next->previous = run->previous;
  else
    list->last = run->previous;
  run->next = run->previous = NULL;
  list->n--;
}

/* ------------------------------------------------------------------ */
/* Queue                                                              */

/* What a run takes of the worker's capacity. */
static MdResources
reserved (const MdRunQueue *queue, const MdRun *run)
{
  return run->alone ? queue->capacity : run->resources;
}

/* Started runs keep their resources, so a worker whose capacity was reduced has nothing free
   until enough of them have ended. */
static void
recompute_free (MdRunQueue *queue)
{
  queue->free = queue->capacity;
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    md_resources_subtract (&queue->free, reserved (queue, run));
  queue->free.cpu = md_saturating_sub (queue->free.cpu, queue->withheld);
}

void
md_runqueue_withhold (MdRunQueue *queue, uint32_t cpu, MdTime until)
{
  queue->withheld = cpu;
  queue->withheld_until = until;
  recompute_free (queue);
}

void
md_runqueue_set_capacity (MdRunQueue *queue, MdResources capacity)
{
  queue->capacity = capacity;
  recompute_free (queue);
}

static void
link_waiting (MdRunQueue *queue, MdRun *run)
{
  MdRun *place = queue->waiting.first;

  run->state = MD_RUN_WAITING;
  while (place != NULL && place->sort_key <= run->sort_key)
    place = place->next;
  insert_before (&queue->waiting, place, run);
}

void
md_runqueue_add (MdRunQueue *queue, MdRun *run, MdTime now)
{
  double cpu = run->resources.cpu;

  run->sort_key = run->start_by < now + MAX_SLACK ? run->start_by : now + MAX_SLACK;
  if (queue->typical_cpu == 0)
    queue->typical_cpu = run->resources.cpu;
  else
    queue->typical_cpu
        = (uint32_t)(queue->typical_cpu + TYPICAL_CPU_GAIN * (cpu - queue->typical_cpu));
  link_waiting (queue, run);
}

/* Returns the first run that fits, of the most important class among those that can still start in
   time, otherwise of the most important class. Late runs are at the front of the list, as
   sort_key <= start_by. */
static MdRun *
choose_waiting (const MdRunQueue *queue, MdTime now)
{
  MdRun *best = NULL;

  for (MdRun *run = queue->waiting.first; run != NULL; run = run->next)
    if (md_resources_fit (queue->free, run->resources) && (!run->alone || queue->running.n == 0))
      {
        if (best == NULL || md_priority_goes_before (run, best, now))
          best = run;
        if (best->start_by >= now && md_priority_class (best, now) == 0)
          break; /* nothing goes before it */
      }
  return best;
}

void
md_runqueue_adopt (MdRunQueue *queue, MdRun *run, MdTime now)
{
  unlink_run (&queue->waiting, run);
  run->state = MD_RUN_STARTING;
  run->started_at = now;
  insert_before (&queue->running, NULL, run);
  md_resources_subtract (&queue->free, reserved (queue, run));
}

MdRun *
md_runqueue_next (MdRunQueue *queue, MdTime now)
{
  MdRun *run = queue->accepting ? choose_waiting (queue, now) : NULL;

  if (run == NULL)
    return NULL;
  md_priority_note_overtaken (&queue->waiting, run, now);
  md_runqueue_adopt (queue, run, now);
  return run;
}

void
md_runqueue_requeue (MdRunQueue *queue, MdRun *run)
{
  unlink_run (&queue->running, run);
  recompute_free (queue);
  link_waiting (queue, run);
}

void
md_runqueue_remove (MdRunQueue *queue, MdRun *run, MdTime now)
{
  if (run->state == MD_RUN_WAITING)
    {
      unlink_run (&queue->waiting, run);
      return;
    }
  unlink_run (&queue->running, run);
  recompute_free (queue);
  queue->last_end = now;
}

/* The estimate decays towards speed 1 while the worker is idle, so that a worker that was
   slow for some time is used again. */
static double
decayed_log_speed (const MdRunQueue *queue, MdTime now)
{
  MdTime idle = queue->running.n > 0 ? 0 : now - queue->speed_updated_at;

  if (queue->speed.samples == 0)
    return 0;
  if (idle < 0)
    idle = 0;
  return queue->speed.log_speed * exp (-(double)idle / (double)SPEED_DECAY_TIME);
}

/* Callers pass only runs that are DONE: the time of a failed or stopped run is no measure of
   the speed. A run that took much longer than the others may have hung for a reason of its
   own, so its difference is limited. */
void
md_runqueue_update_speed (MdRunQueue *queue, const MdRun *run, MdTime time, MdTime now)
{
  MdSpeed *speed = &queue->speed;
  double known = decayed_log_speed (queue, now);
  double difference;

  if (run->work <= 0 || time <= 0)
    return;
  if (now - queue->speed_updated_at > SPEED_DECAY_TIME && speed->samples > MAX_SAMPLES_AFTER_IDLE)
    speed->samples = MAX_SAMPLES_AFTER_IDLE;
  difference = log (run->work / (double)time) - known;
  difference = fmax (-MAX_LOG_DIFFERENCE, fmin (MAX_LOG_DIFFERENCE, difference));
  speed->log_speed = known + fmax (MIN_SPEED_GAIN, 1.0 / (speed->samples + 1.5)) * difference;
  speed->log_speed = fmax (log (MIN_SPEED), fmin (log (MAX_SPEED), speed->log_speed));
  speed->samples++;
  queue->speed_updated_at = now;
}

/* Repeated failures of one job count once: a job that can never succeed fails on every worker,
   which says nothing about this one. */
void
md_runqueue_record_end (MdRunQueue *queue, MdRunResult result, uint64_t job)
{
  if (result == MD_RUN_DONE)
    queue->failures = 0;
  if (result != MD_RUN_FAILED || (queue->failures > 0 && job == queue->last_failed_job))
    return;
  queue->last_failed_job = job;
  queue->failures++;
}

double
md_runqueue_speed (const MdRunQueue *queue, MdTime now)
{
  double speed = exp (decayed_log_speed (queue, now));
  double progress = 0;

  if (queue->running.n == 0)
    return speed;
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      double expected = run->work > 0 ? run->work / speed : (double)DEFAULT_RUN_TIME;
      double elapsed = (double)(now - run->started_at);

      progress += elapsed > OVERDUE_FACTOR * expected ? OVERDUE_FACTOR * expected / elapsed : 1;
    }
  return speed * progress / queue->running.n;
}

/* ------------------------------------------------------------------ */
/* Projection                                                         */

typedef struct
{
  MdTime at;
  uint32_t cpu; /* freed by it, thousandths of a core */
} ProjectedEnd;

typedef struct
{
  ProjectedEnd ends[MAX_PROJECTED_ENDS]; /* n elements, ascending by at */
  uint32_t n;
  uint32_t free; /* thousandths of a core */
} Projection;

static void
project_end (Projection *p, MdTime at, uint32_t cpu)
{
  uint32_t i = p->n;

  if (p->n == MAX_PROJECTED_ENDS)
    return;
  while (i > 0 && p->ends[i - 1].at > at)
    {
      p->ends[i] = p->ends[i - 1];
      i--;
    }
  p->ends[i] = (ProjectedEnd){ at, cpu };
  p->n++;
}

/* Returns when cpu is free, not before from, and removes the ends up to then. */
static MdTime
project_start (Projection *p, MdTime from, uint32_t cpu)
{
  uint32_t used = 0;
  MdTime at = from;

  while (p->free < cpu && used < p->n)
    {
      at = p->ends[used].at;
      p->free += p->ends[used++].cpu;
    }
  p->n -= used;
  memmove (p->ends, p->ends + used, p->n * sizeof p->ends[0]);
  return at > from ? at : from;
}

static MdTime
expected_time (const MdRun *run, double speed)
{
  return run->work > 0 ? md_span (run->work / speed) : DEFAULT_RUN_TIME;
}

/* Once a run is overdue, its elapsed time predicts more than its estimate: it is then expected
   to take another half of the elapsed time. */
static MdTime
expected_end (const MdRun *run, double speed, MdTime now)
{
  MdTime expected = expected_time (run, speed);
  MdTime elapsed = now - run->started_at;

  return elapsed < expected ? run->started_at + expected : now + elapsed / 2;
}

/* Time until a step of what is withheld is given, at least 1. */
static MdTime
release_time (const MdRunQueue *queue, uint32_t step, MdTime now)
{
  MdTime left = queue->withheld_until - now;

  return left > RELEASE_STEPS ? left * step / RELEASE_STEPS : 1;
}

/* Without these, a run that does not fit would seem to start at once at a worker where nothing runs
   that could end. */
static void
project_releases (Projection *p, const MdRunQueue *queue, MdTime now)
{
  for (uint32_t step = 1; queue->withheld > 0 && step <= RELEASE_STEPS; step++)
    project_end (p, now + release_time (queue, step, now), queue->withheld / RELEASE_STEPS);
}

MdTime
md_runqueue_expected_wait (const MdRunQueue *queue, MdTime now)
{
  Projection p = { .free = queue->free.cpu };
  double speed = md_runqueue_speed (queue, now);
  MdTime start = now;

  project_releases (&p, queue, now);
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    project_end (&p, expected_end (run, speed, now), reserved (queue, run).cpu);
  for (const MdRun *run = queue->waiting.first; run != NULL; run = run->next)
    {
      uint32_t cpu = reserved (queue, run).cpu;

      start = project_start (&p, start, cpu);
      p.free = md_saturating_sub (p.free, cpu);
      project_end (&p, start + expected_time (run, speed), cpu);
    }
  return project_start (&p, start, queue->typical_cpu) - now;
}

MdTime
md_runqueue_next_end (const MdRunQueue *queue, MdTime now)
{
  double speed = md_runqueue_speed (queue, now);
  MdTime soonest = queue->withheld > 0 ? release_time (queue, 1, now) : 0;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      MdTime left = expected_end (run, speed, now) - now;

      if (soonest == 0 || left < soonest)
        soonest = left;
    }
  return soonest;
}

bool
md_runqueue_stalled (const MdRunQueue *queue, MdTime now)
{
  double speed = exp (decayed_log_speed (queue, now));
  const MdRun *first = NULL;
  bool other_job = false;
  uint32_t overdue = 0;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      MdTime expected = expected_time (run, speed);
      MdTime limit = run->started_at + (MdTime)(STALL_FACTOR * (double)expected);

      if (now <= limit || now <= run->started_at + expected + STALL_MARGIN
          || queue->last_end >= run->started_at + expected)
        continue;
      overdue++;
      other_job |= first != NULL && run->job != first->job;
      first = run;
    }
  /* If all are of one job, its estimate may be wrong rather than the worker slow. */
  return overdue >= STALL_RUNS && other_job;
}
