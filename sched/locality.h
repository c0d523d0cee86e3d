/* locality.h -- how long a wait for a near place pays

   A near place is a worker on the rack of a task's data, or on the rack of its group. Elsewhere the
   task takes remote_factor times as long. Like the rest of sched/, nothing here does I/O, reads a
   clock or keeps global state. See docs/design/locality.md. */

#ifndef MD_LOCALITY_H
#define MD_LOCALITY_H

#include "run-sched.h"

/* The best place of a kind, as md_place_near_far finds it. */
typedef struct
{
  bool exists;     /* a worker can run the task, and its reports are recent */
  MdTime wait;     /* expected time until the start */
  MdTime run_time; /* expected, on this worker */
} MdLocalityPlace;

typedef struct
{
  MdLocalityPlace near; /* best place on the preferred rack */
  MdLocalityPlace far;  /* best place elsewhere */
  MdTime goal;          /* a task that ends within this time from now meets the job's goal */
  MdTime limit;         /* a task that ends after this time from now is worth nothing */
  double pressure;      /* of the pool, see md_locality_pressure */
  double hotness;       /* of the rack, see md_locality_hotness */
  uint32_t group;       /* further tasks that would take longer if this one runs far */
  MdTime gain;          /* far must be better by this much; for a wait that has begun */
} MdLocalityInput;

typedef enum
{
  MD_LOCALITY_FAR,  /* run far */
  MD_LOCALITY_NEAR, /* run near: at once, or because only that place meets the goal or ends sooner */
  MD_LOCALITY_WAIT, /* queue near, and decide again after wait_for */
} MdLocalityChoice;

typedef struct
{
  MdLocalityChoice choice;
  MdTime wait_for; /* WAIT: from now; at least 1. 0 for the other choices */
  MdTime saved;    /* run time that the near place saves, 0 for FAR */
} MdLocalityDecision;

/* md_locality_pressure: what a unit of core time costs others in a pool with these sums over its
   workers: 0 while slots are free nearly everywhere, 1 when nothing is free. */
double md_locality_pressure (uint64_t capacity_cpu, uint64_t free_cpu);

/* md_locality_hotness: how many more tasks wait for near places on a rack than on an average one,
   as a multiple of its slots; 0 if not more. waiting and cpu: of the whole pool. need_cpu: of a
   task. */
double md_locality_hotness (uint32_t rack_waiting, uint64_t rack_cpu, uint32_t waiting,
                            uint64_t cpu, uint32_t need_cpu);

/* md_locality_decide: where a task with a preferred rack runs, and how long it waits for that. */
MdLocalityDecision md_locality_decide (const MdLocalityInput *in);

/* md_locality_queue_changed: whether the queue of a near place has grown or shrunk so much since
   the last decision that it is to be decided again. Both are waits of a new run there. */
bool md_locality_queue_changed (MdTime queue_then, MdTime queue_now);

/* md_locality_remaining: how much longer a run is expected to wait at its worker. expected: the
   wait that was predicted elapsed ago, when a new run would have waited queue_then; queue_now: how
   long one would wait now. A run that is overdue is expected to wait at least as long again. */
MdTime md_locality_remaining (MdTime expected, MdTime elapsed, MdTime queue_then, MdTime queue_now);

/* md_locality_is_recent: whether reports of this age tell where capacity is free. */
bool md_locality_is_recent (MdTime report_age);

#endif
