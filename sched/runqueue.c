/* runqueue.c -- runs that wait for room at one worker

   Load pattern: several entries send runs for the same worker on equal terms, in
   jobs that miss their goal as soon as one task starts late, and at peaks more than
   the worker has room for. The queue stands at the guard, where a freed room is
   known first: the next run starts without a message.

   The run that must start soonest goes first. A run that can no longer start in
   time goes behind all that can, because starting it early gains its job nothing
   and costs another its goal. Room too small for the first run may go to a smaller
   one behind it. */

#include "run-sched.h"

#include <string.h>

#define MAX_PROJECTED 256              /* runs looked at when a wait is projected */
#define STALL_FACTOR 3.0               /* overdue: multiple of the expected run time */
#define STALL_MARGIN (300 * MD_MS)     /* overdue: at least this much longer */
#define STALL_RUNS 2                   /* overdue runs that make a worker stalled */
#define TYPICAL_GAIN 0.1               /* weight of a new need in the average */
#define DEFAULT_EXPECTED (200 * MD_MS) /* run time of a run with no estimate */

/* Slack of the urgency groups: most runs of jobs of tens of milliseconds must start
   within the first, those of a few hundred within the second. */
static const MdTime urgency_bounds[MD_URGENCIES - 1] = { 100 * MD_MS, 300 * MD_MS };

static const char *const how_names[MD_RUN_HOWS]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone", "rejected", "stale" };

const char *
md_run_how_name (MdRunHow how)
{
  return (unsigned)how < MD_RUN_HOWS ? how_names[how] : "unknown";
}

unsigned
md_urgency (MdTime start_within)
{
  unsigned group = 0;

  while (group < MD_URGENCIES - 1 && start_within > urgency_bounds[group])
    group++;
  return group;
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

/* What runs keeps its room, so a worker that shrank has none until enough ends. */
static void
recount (MdRunQueue *queue)
{
  queue->free = queue->capacity;
  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    md_room_take (&queue->free, run->need);
}

void
md_runqueue_set_room (MdRunQueue *queue, MdRoom capacity)
{
  queue->capacity = capacity;
  recount (queue);
}

static void
link_waiting (MdRunQueue *queue, MdRun *run)
{
  MdRun *place = queue->waiting.first;

  run->state = MD_RUN_WAITING;
  while (place != NULL && place->start_by <= run->start_by)
    place = place->next;
  insert_before (&queue->waiting, place, run);
}

void
md_runqueue_add (MdRunQueue *queue, MdRun *run)
{
  double cpu = run->need.cpu;

  if (queue->typical_cpu == 0)
    queue->typical_cpu = run->need.cpu;
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
    if (md_room_fits (queue->free, run->need))
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
  MdRun *run = queue->open ? choose (queue, now) : NULL;

  if (run == NULL)
    return NULL;
  unlink_run (&queue->waiting, run);
  run->state = MD_RUN_STARTING;
  run->started_at = now;
  insert_before (&queue->running, NULL, run);
  md_room_take (&queue->free, run->need);
  return run;
}

void
md_runqueue_return (MdRunQueue *queue, MdRun *run)
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

/* When the room for cpu is free, taking in all ends up to then. */
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

/* The time a run has taken says more than its estimate once it is overdue: it is
   then expected to take as long again as half of what it took. */
static MdTime
expected_end (const MdRun *run, MdTime now)
{
  MdTime expected = run->expected > 0 ? run->expected : DEFAULT_EXPECTED;
  MdTime taken = now - run->started_at;

  return taken < expected ? run->started_at + expected : now + taken / 2;
}

MdTime
md_runqueue_wait (const MdRunQueue *queue, unsigned urgency, MdTime now)
{
  MdTime bound = urgency < MD_URGENCIES - 1 ? now + urgency_bounds[urgency] : INT64_MAX;
  Projection p = { .free = queue->free.cpu };
  MdTime start = now;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    project_end (&p, expected_end (run, now), run->need.cpu);
  for (const MdRun *run = queue->waiting.first; run != NULL && run->start_by <= bound;
       run = run->next)
    {
      if (run->start_by < now && urgency < MD_URGENCIES - 1)
        continue;
      start = project_start (&p, start, run->need.cpu);
      p.free = md_room_less (p.free, run->need.cpu);
      project_end (&p, start + (run->expected > 0 ? run->expected : DEFAULT_EXPECTED),
                   run->need.cpu);
    }
  return project_start (&p, start, queue->typical_cpu) - now;
}

MdTime
md_runqueue_next_end (const MdRunQueue *queue, MdTime now)
{
  MdTime soonest = 0;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      MdTime left = expected_end (run, now) - now;

      if (soonest == 0 || left < soonest)
        soonest = left;
    }
  return soonest;
}

bool
md_runqueue_stalled (const MdRunQueue *queue, MdTime now)
{
  uint32_t overdue = 0;

  for (const MdRun *run = queue->running.first; run != NULL; run = run->next)
    {
      MdTime expected = run->expected > 0 ? run->expected : DEFAULT_EXPECTED;
      MdTime limit = run->started_at + (MdTime)(STALL_FACTOR * (double)expected);

      if (now > limit && now > run->started_at + expected + STALL_MARGIN
          && queue->last_end < run->started_at + expected)
        overdue++;
    }
  return overdue >= STALL_RUNS;
}
