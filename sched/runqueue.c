/* runqueue.c -- runs that wait for capacity at one worker

   Load pattern: several entries send runs for the same worker on equal terms, in
   jobs that miss their goal as soon as one task starts late, and at peaks more than
   the worker has capacity for. The queue stands at the guard, where a freed capacity is
   known first: the next run starts without a message.

   The run that must start soonest goes first, but none is overtaken by runs that
   arrive more than ORDER_MAX later: entries take jobs in by the wait that this queue
   reports, and a run that others keep overtaking would wait longer than that. A run
   that can no longer start in time goes behind all that can, because starting it early
   gains its job nothing and costs another its goal. Room too small for the first run
   may go to a smaller one behind it. */

#include "run-sched.h"

#include <math.h>
#include <string.h>

#define MAX_PROJECTED 256              /* runs looked at when a wait is projected */
#define STALL_FACTOR 2.0               /* overdue: multiple of the expected run time */
#define STALL_MARGIN (100 * MD_MS)     /* overdue: at least this much longer */
#define STALL_RUNS 3                   /* overdue runs that make a worker stalled */
#define ORDER_MAX (40 * MD_MS)         /* most that slack moves a run back */
#define SPEED_GAIN 0.05                /* least weight of a run in the learned speed */
#define SPEED_MEMORY (2 * MD_SECOND)   /* an idle worker's speed is forgotten in about this */
#define SAMPLES_KEPT 4                 /* weight of what was learned before an idle time */
#define SURPRISE_MAX 0.7               /* of a logarithm: most that one run may differ */
#define OVERDUE_FACTOR 1.5             /* of the expected time: run times scatter by 0.4 */
#define SPEED_MIN 0.05                 /* bounds of the learned speed */
#define SPEED_MAX 20.0                 /* the same */
#define TYPICAL_GAIN 0.1               /* weight of a new need in the average */
#define DEFAULT_EXPECTED (200 * MD_MS) /* run time of a run with no estimate */

static const char *const run_result_names[MD_RUN_RESULT_COUNT]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone", "rejected", "stale" };

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

/* What runs keeps its capacity, so a worker that shrank has none until enough ends. */
static void
recount (MdRunQueue *queue)
{
  queue->free = queue->capacity;
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    md_resources_subtract (&queue->free, run->resources);
}

void
md_runqueue_set_capacity (MdRunQueue *queue, MdResources capacity)
{
  queue->capacity = capacity;
  recount (queue);
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

  run->sort_key = run->start_by < now + ORDER_MAX ? run->start_by : now + ORDER_MAX;
  if (queue->typical_cpu == 0)
    queue->typical_cpu = run->resources.cpu;
  else
    queue->typical_cpu = (uint32_t)(queue->typical_cpu + TYPICAL_GAIN * (cpu - queue->typical_cpu));
  link_waiting (queue, run);
}

/* The first that fits among those that can start in time, then among the others.
   Overdue runs stand at the front of the list, which is ordered by start_by. */
static MdRun *
choose (const MdRunQueue *queue, MdTime now)
{
  MdRun *late = NULL;

  for (MdRun *run = queue->waiting.first; run != NULL; run = run->next)
    if (md_resources_fit (queue->free, run->resources))
      {
        if (run->start_by >= now)
          return run;
        if (late == NULL)
          late = run;
      }
  return late;
}

MdRun *
md_runqueue_next (MdRunQueue *queue, MdTime now)
{
  MdRun *run = queue->accepting ? choose (queue, now) : NULL;

  if (run == NULL)
    return NULL;
  unlink_run (&queue->waiting, run);
  run->state = MD_RUN_STARTING;
  run->started_at = now;
  insert_before (&queue->running, NULL, run);
  md_resources_subtract (&queue->free, run->resources);
  return run;
}

void
md_runqueue_requeue (MdRunQueue *queue, MdRun *run)
{
  unlink_run (&queue->running, run);
  recount (queue);
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
  recount (queue);
  queue->last_end = now;
}

/* What was learned loses its weight while a worker is idle, so that one that was slow
   for a while is tried again. */
static double
remembered_log_speed (const MdRunQueue *queue, MdTime now)
{
  MdTime idle = queue->running.n > 0 ? 0 : now - queue->speed_updated_at;

  if (queue->speed.samples == 0)
    return 0;
  if (idle < 0)
    idle = 0;
  return queue->speed.log_speed * exp (-(double)idle / (double)SPEED_MEMORY);
}

/* A run that failed or was stopped says nothing about the speed. One that took much
   longer than any other may have stood still on its own. */
void
md_runqueue_update_speed (MdRunQueue *queue, const MdRun *run, MdTime time, MdTime now)
{
  MdSpeed *speed = &queue->speed;
  double known = remembered_log_speed (queue, now);
  double difference;

  if (run->work <= 0 || time <= 0)
    return;
  if (now - queue->speed_updated_at > SPEED_MEMORY && speed->samples > SAMPLES_KEPT)
    speed->samples = SAMPLES_KEPT;
  difference = log (run->work / (double)time) - known;
  difference = fmax (-SURPRISE_MAX, fmin (SURPRISE_MAX, difference));
  speed->log_speed = known + fmax (SPEED_GAIN, 1.0 / (speed->samples + 1.5)) * difference;
  speed->log_speed = fmax (log (SPEED_MIN), fmin (log (SPEED_MAX), speed->log_speed));
  speed->samples++;
  queue->speed_updated_at = now;
}

/* A job that can never be done fails everywhere and says nothing. */
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
  double speed = exp (remembered_log_speed (queue, now));
  double progress = 0;

  if (queue->running.n == 0)
    return speed;
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      double expected = run->work > 0 ? run->work / speed : (double)DEFAULT_EXPECTED;
      double taken = (double)(now - run->started_at);

      progress += taken > OVERDUE_FACTOR * expected ? OVERDUE_FACTOR * expected / taken : 1;
    }
  return speed * progress / queue->running.n;
}

/* ------------------------------------------------------------------ */
/* Projection                                                         */

typedef struct
{
  MdTime at;    /* when it ends */
  uint32_t cpu; /* what it frees */
} ProjectedEnd;

typedef struct
{
  ProjectedEnd ends[MAX_PROJECTED]; /* soonest first */
  uint32_t n;                       /* entries */
  uint32_t free;                    /* thousandths of a core */
} Projection;

static void
project_end (Projection *p, MdTime at, uint32_t cpu)
{
  uint32_t i = p->n;

  if (p->n == MAX_PROJECTED)
    return;
  while (i > 0 && p->ends[i - 1].at > at)
    {
      p->ends[i] = p->ends[i - 1];
      i--;
    }
  p->ends[i] = (ProjectedEnd){ at, cpu };
  p->n++;
}

/* When the capacity for cpu is free, taking in all ends up to then. */
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
  return run->work > 0 ? (MdTime)(run->work / speed) : DEFAULT_EXPECTED;
}

/* The time a run has taken says more than its estimate once it is overdue: it is
   then expected to take as long again as half of what it took. */
static MdTime
expected_end (const MdRun *run, double speed, MdTime now)
{
  MdTime expected = expected_time (run, speed);
  MdTime taken = now - run->started_at;

  return taken < expected ? run->started_at + expected : now + taken / 2;
}

MdTime
md_runqueue_expected_wait (const MdRunQueue *queue, MdTime now)
{
  Projection p = { .free = queue->free.cpu };
  double speed = md_runqueue_speed (queue, now);
  MdTime start = now;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    project_end (&p, expected_end (run, speed, now), run->resources.cpu);
  for (const MdRun *run = queue->waiting.first; run != NULL; run = run->next)
    {
      start = project_start (&p, start, run->resources.cpu);
      p.free = md_saturating_sub (p.free, run->resources.cpu);
      project_end (&p, start + expected_time (run, speed), run->resources.cpu);
    }
  return project_start (&p, start, queue->typical_cpu) - now;
}

MdTime
md_runqueue_next_end (const MdRunQueue *queue, MdTime now)
{
  double speed = md_runqueue_speed (queue, now);
  MdTime soonest = 0;

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
  double speed = exp (remembered_log_speed (queue, now));
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
  /* One job whose estimate is far off says nothing about the worker. */
  return overdue >= STALL_RUNS && other_job;
}
