/* priority.h -- order and admission of queues of different importance

   A queue has a priority from 0, which comes first, to MD_LAST_PRIORITY. It has an effect only
   while capacity is short: among the runs that wait at a guard (runqueue.c), and on the backlog
   that a job is admitted with at an entry. Queues with equal priorities are treated alike.
   Nothing here does I/O, reads a clock or keeps global state. */

#ifndef MD_PRIORITY_H
#define MD_PRIORITY_H

#include "run-sched.h"

#define MD_LAST_PRIORITY 255

/* A run that more important ones have overtaken for so long counts as of the first priority. */
#define MD_MAX_OVERTAKEN (150 * MD_MS)

/* md_priority_limit: a priority that another process stated, limited to MD_LAST_PRIORITY. */
static inline uint8_t
md_priority_limit (uint32_t priority)
{
  return priority < MD_LAST_PRIORITY ? (uint8_t)priority : MD_LAST_PRIORITY;
}

/* md_priority_class: the priority by which a waiting run is ordered now. */
uint8_t md_priority_class (const MdRun *run, MdTime now);

/* md_priority_goes_before: whether a starts before b although it sorts behind it: a can start in
   time and b can not, or both or neither can and a has the more important class. */
bool md_priority_goes_before (const MdRun *a, const MdRun *b, MdTime now);

/* md_priority_note_overtaken: record for the runs that are listed before chosen, and are less
   important, that chosen overtakes them now. */
void md_priority_note_overtaken (MdRunList *waiting, const MdRun *chosen, MdTime now);

/* ------------------------------------------------------------------ */
/* Pressure (pressure.c)                                               */

#define MD_FULL_PRESSURE 1000 /* permille */

/* md_pressure_of_queue: core time of the runs that wait at a worker against what the worker frees
   within md_admit_wait_bound (1), permille, at most MD_FULL_PRESSURE. */
uint32_t md_pressure_of_queue (const MdRunQueue *queue, MdTime now);

/* Difference between the clocks of a guard and of an entry, to tell the age of a report that
   arrived late. Zero-initialized for a new process of the guard. */
typedef struct
{
  MdTime offset;     /* least time from a stamp, by the guard's clock, to its receipt */
  MdTime checked_at; /* 0: no stamp yet */
} MdStampClock;

/* md_stamp_age: how much longer than usual the report with this stamp took to arrive. */
MdTime md_stamp_age (MdStampClock *clock, MdTime stamp, MdTime now);

/* An entry's figure of the pressure on the workers of a pool. */
typedef struct
{
  MdStr pool;         /* owned, terminated */
  uint32_t permille;  /* mean over workers with full reports */
  MdTime known_at;    /* when the newest report in the mean was made, 0: none */
  MdTime computed_at; /* 0: never */
} MdPressure;

/* md_pressure_update: compute the mean from reports that are not older than 600 ms. Without such
   reports the former mean stays. To be called before each use; it looks at the workers at most
   once in 10 ms. */
void md_pressure_update (MdPressure *pressure, const MdWorkers *workers, MdTime now);

/* md_pressure_now: the pressure, 0 to 1. It counts less the older it is, and not at all after 1 s.
 */
double md_pressure_now (const MdPressure *pressure, MdTime now);

/* ------------------------------------------------------------------ */
/* Admission                                                           */

#define MD_ADMITTED_SPANS 8
#define MD_ADMITTED_SPAN (250 * MD_MS) /* together 2 s */

/* Slot time of the jobs of a queue that were admitted in the last 2 s. */
typedef struct
{
  double work[MD_ADMITTED_SPANS]; /* core microseconds, by time over MD_ADMITTED_SPAN, modulo */
  int64_t newest;                 /* time over MD_ADMITTED_SPAN of the newest element */
} MdAdmitted;

/* md_admitted_add: add the work of an admitted job, core microseconds. */
void md_admitted_add (MdAdmitted *admitted, double work, MdTime now);

/* md_admitted_sum: the work of the jobs that were admitted in the last 2 s. */
double md_admitted_sum (const MdAdmitted *admitted, MdTime now);

/* A queue of a pool, as admission sees it. */
typedef struct
{
  const MdDemand *demand;
  const MdAdmitted *admitted;
  uint8_t priority;
} MdQueueLoad;

typedef struct
{
  MdTime wait_bound; /* longest wait with which a job of the queue is admitted */
  bool floor;        /* the queue has less than its floor and counts as of the first priority */
} MdPriorityBound;

/* md_priority_bound: decide on the backlog that a job of queue own, of the n queues of a pool, is
   admitted with under this pressure, 0 to 1. demand is md_demand_ratio of the queue; without
   pressure, or if all priorities are equal, the result is md_admit_wait_bound (demand). */
MdPriorityBound md_priority_bound (const MdQueueLoad *queues, uint32_t n, uint32_t own,
                                   double demand, double pressure, MdTime now);

#endif
