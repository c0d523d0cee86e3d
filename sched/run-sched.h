/* run-sched.h -- decisions about runs: where they wait, where they are placed, when
   a job is rejected

   A run is one start of a task at a worker. The entry places the tasks of a job on
   guards (placement.c, runjob.c); the guard beside a worker orders the runs that
   wait for capacity and starts them (runqueue.c). Nothing here does I/O, reads a clock
   or keeps global state; times are MdTime in microseconds. */

#ifndef MD_RUN_SCHED_H
#define MD_RUN_SCHED_H

#include "estimate.h"
#include "md-base.h"

/* ------------------------------------------------------------------ */
/* Room of a worker                                                   */

typedef struct
{
  uint32_t cpu;          /* thousandths of a core */
  uint32_t memory_mb;    /* MiB */
  uint32_t accelerators; /* whole devices */
} MdResources;

static inline bool
md_resources_fit (MdResources has, MdResources need)
{
  return has.cpu >= need.cpu && has.memory_mb >= need.memory_mb
         && has.accelerators >= need.accelerators;
}

static inline void
md_resources_add (MdResources *room, MdResources more)
{
  room->cpu += more.cpu;
  room->memory_mb += more.memory_mb;
  room->accelerators += more.accelerators;
}

static inline uint32_t
md_saturating_sub (uint32_t has, uint32_t taken)
{
  return has > taken ? has - taken : 0;
}

/* md_resources_subtract: what does not fit is taken to the last bit, never below zero. */
static inline void
md_resources_subtract (MdResources *room, MdResources taken)
{
  room->cpu = md_saturating_sub (room->cpu, taken.cpu);
  room->memory_mb = md_saturating_sub (room->memory_mb, taken.memory_mb);
  room->accelerators = md_saturating_sub (room->accelerators, taken.accelerators);
}

/* ------------------------------------------------------------------ */
/* Worker states and ends of runs, as guards tell them to entries      */

typedef enum
{
  MD_WORKER_ABSENT,   /* not heard of, or down */
  MD_WORKER_READY,    /* takes runs */
  MD_WORKER_DRAINING, /* finishes what it has */
} MdWorkerState;

typedef enum
{
  MD_RUN_DONE,            /* complete */
  MD_RUN_FAILED,          /* through its own fault or the worker's */
  MD_RUN_STOPPED,         /* after an order */
  MD_RUN_LEASE_EXPIRED,   /* the worker's lease ran out, or the worker is gone */
  MD_RUN_GANG_BROKEN,     /* another member of its gang ended */
  MD_RUN_GANG_INCOMPLETE, /* the other members of its gang did not come */
  MD_RUN_REJECTED,        /* did not start here and never will */
  MD_RUN_STALE,           /* rejected: the worker has seen a higher run of the task */
  MD_RUN_RESULT_COUNT
} MdRunResult;

const char *md_run_result_name (MdRunResult result);

/* ------------------------------------------------------------------ */
/* Runs at a guard (runqueue.c)                                       */

typedef enum
{
  MD_RUN_WAITING,  /* for capacity */
  MD_RUN_STARTING, /* handed out, the worker has not confirmed */
  MD_RUN_RUNNING,  /* at the worker */
} MdRunState;

typedef struct MdRun MdRun;

struct MdRun
{
  MdRun *next;           /* in the list of its state */
  MdRun *previous;       /* in the list of its state */
  MdRunState state;      /* which list */
  uint64_t entry;        /* incarnation of the entry that ordered it */
  uint64_t id;           /* of the order */
  uint64_t job;          /* hash of the name of its job */
  MdResources resources; /* reserved from STARTING on */
  double work;           /* run time expected at speed 1, microseconds; 0 unknown */
  MdTime start_by;       /* a later start misses the goal of its job */
  MdTime sort_key;       /* place in the queue: start_by, but soon enough for any run */
  MdTime started_at;     /* STARTING, RUNNING: since when */
  void *data;            /* the caller's */
};

typedef struct
{
  MdRun *first; /* oldest or most urgent */
  MdRun *last;  /* newest or least urgent */
  uint32_t n;   /* runs */
} MdRunList;

typedef struct
{
  MdRunList waiting;        /* by order_by, soonest first */
  MdRunList running;        /* STARTING and RUNNING, in order of start */
  MdResources capacity;     /* of the worker */
  MdResources free;         /* not taken */
  bool accepting;           /* the worker takes runs */
  MdTime last_end;          /* when a run ended last */
  uint32_t typical_cpu;     /* average need, thousandths of a core; 0 unknown */
  MdSpeed speed;            /* of the worker, learned from all entries' runs */
  MdTime speed_updated_at;  /* of the last run that it was learned from */
  uint32_t failures;        /* consecutive ends FAILED of different jobs */
  uint64_t last_failed_job; /* the job of the last one */
} MdRunQueue;

/* md_runqueue_set_capacity: the worker's capacity, first heard of or changed. */
void md_runqueue_set_capacity (MdRunQueue *queue, MdResources capacity);

/* md_runqueue_add: a WAITING run; the queue links it and the caller owns it. */
void md_runqueue_add (MdRunQueue *queue, MdRun *run, MdTime now);

/* md_runqueue_update_speed: the run is done and took this long. */
void md_runqueue_update_speed (MdRunQueue *queue, const MdRun *run, MdTime time, MdTime now);

/* md_runqueue_record_end: a run of this job, told by a hash of its name, has ended at the
   worker; counts failures in a row. */
void md_runqueue_record_end (MdRunQueue *queue, MdRunResult result, uint64_t job);

/* md_runqueue_speed: of the worker at present, relative to declared times: the learned
   one, less what runs that are overdue take away from it. */
double md_runqueue_speed (const MdRunQueue *queue, MdTime now);

/* md_runqueue_next: the run to start now, taken over into STARTING with its capacity;
   NULL when none fits or the worker takes none. */
MdRun *md_runqueue_next (MdRunQueue *queue, MdTime now);

/* md_runqueue_requeue: a STARTING run waits again, as the start did not happen. */
void md_runqueue_requeue (MdRunQueue *queue, MdRun *run);

/* md_runqueue_remove: unlink a run in any state and free its capacity. */
void md_runqueue_remove (MdRunQueue *queue, MdRun *run, MdTime now);

/* md_runqueue_expected_wait: how long a new run of typical need would wait behind all others,
   from the expected ends of what runs. */
MdTime md_runqueue_expected_wait (const MdRunQueue *queue, MdTime now);

/* md_runqueue_next_end: until the next run is expected to end, 0 when none runs. */
MdTime md_runqueue_next_end (const MdRunQueue *queue, MdTime now);

/* md_runqueue_stalled: several runs are overdue and nothing has ended meanwhile. */
bool md_runqueue_stalled (const MdRunQueue *queue, MdTime now);

/* ------------------------------------------------------------------ */
/* Workers as an entry sees them, and placement (placement.c)          */

#define MD_MAX_LABELS 8
#define MD_LABEL_BYTES 32

typedef struct
{
  char label[MD_MAX_LABELS][MD_LABEL_BYTES]; /* terminated */
  unsigned n;                                /* labels */
} MdLabels;

bool md_labels_have (const MdLabels *labels, const char *label);

/* A worker names its kind first and its rack second. */
#define MD_LABEL_RACK 1

/* md_labels_rack: empty when it names none. */
const char *md_labels_rack (const MdLabels *labels);

typedef struct
{
  uint64_t guard;           /* incarnation of its guard */
  uint64_t lifetime;        /* tells lives of workers apart, 0 not reported */
  MdWorkerState state;      /* as reported */
  MdResources capacity;     /* as reported */
  MdResources free;         /* as reported, less what was ordered since */
  MdTime wait;              /* as reported, plus what was ordered since */
  MdTime next_end;          /* until the next run is expected to end, as reported */
  MdTime bias;              /* added to its expected end, unlike for each entry, see placement.c */
  MdTime reported_at;       /* age of the above */
  bool connected;           /* its guard is heard */
  bool stalled;             /* as reported */
  MdTime avoid_until;       /* no runs before, but for a trial */
  uint32_t failures;        /* as reported, see MdRunQueue */
  uint32_t outstanding;     /* orders without an end */
  char pool[MD_NAME_BYTES]; /* pool it belongs to */
  MdLabels labels;          /* kind and rack */
  double speed;             /* as reported, relative to declared times */
} MdWorker;

typedef struct
{
  MdWorker **workers;   /* n entries, owned by the caller */
  uint32_t n;           /* workers */
  double remote_factor; /* run time away from the data, as a factor */
} MdWorkers;

/* What a task asks of a worker. */
typedef struct
{
  const char *pool;           /* pool */
  const char *required_label; /* label it must have, empty none */
  const char *affinity;       /* label of the rack of its data, empty none */
  MdResources resources;      /* of one task */
  double work;                /* run time at speed 1, microseconds */
  MdTime goal;                /* an end within this time meets the goal of the job */
  MdTime limit;               /* an end after this time is worth nothing */
  uint32_t max_per_worker;    /* most tasks of the step on one worker, 0 any */
  const bool *excluded;       /* by worker: must not run the step; NULL none */
} MdTaskRequirements;

typedef struct
{
  MdWorker *worker; /* NULL: none can run it */
  MdTime wait;      /* until it starts there */
  MdTime run_time;  /* expected run time there */
} MdPlacement;

/* md_place: a worker that can start the task at once and meet the goal, the faster and
   the emptier the better; otherwise the worker on which the task ends first. taken[i] counts tasks of the
   step on worker i, for per_worker; NULL when that does not matter. avoid, if not
   NULL, is used only when there is no other. */
MdPlacement md_place (const MdWorkers *workers, const MdTaskRequirements *need,
                      const uint32_t *taken, const MdWorker *avoid, MdTime now);

/* md_place_backlog: the shortest wait for such a task at any worker that could run it. */
MdTime md_place_backlog (const MdWorkers *workers, const MdTaskRequirements *need, MdTime now);

/* md_worker_reserve: reckon with an order that the last report does not know of. */
void md_worker_reserve (MdWorker *worker, MdResources need, MdTime run);

/* md_place_count: count a task of the step on its worker; taken may be NULL. */
void md_place_count (const MdWorkers *workers, uint32_t *taken, const MdWorker *worker);

/* md_place_all: place tasks of a step one after the other, with their reservations, and
   raise *finish to the last expected end. taken as for md_place, counted up. False when
   a task has no worker; the reservations made until then stay. */
bool md_place_all (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                   uint32_t *taken, MdTime *finish, MdTime now);

/* An answer is worth nothing after this many times the response-time goal of its job. */
#define MD_LIMIT_GOAL_MULTIPLE 3

/* What reservations change. */
typedef struct
{
  MdResources free;
  MdTime wait;
  MdTime next_end;
} MdSavedResources;

/* md_workers_save, md_workers_restore: undo the reservations of a trial; saved has an
   entry for each worker. */
void md_workers_save (const MdWorkers *workers, MdSavedResources *saved);
void md_workers_restore (const MdWorkers *workers, const MdSavedResources *saved);

/* md_place_try: md_place_all without a trace of it; saved as for md_workers_save. */
bool md_place_try (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                   uint32_t *taken, MdSavedResources *saved, MdTime *finish, MdTime now);

/* md_worker_can_run: busy or not, it has the capacity and the labels. */
bool md_worker_can_run (const MdWorker *worker, const MdTaskRequirements *need);

/* md_place_rack: the rack on which count tasks of a step would end first, if a task takes
   remote_factor times as long elsewhere; empty when no worker that can run them names one.
   saved as for md_workers_save. */
const char *md_place_rack (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                           MdSavedResources *saved, MdTime now);

/* md_place_possible: some worker, busy or not, has the capacity and the labels. */
bool md_place_possible (const MdWorkers *workers, const MdTaskRequirements *need);

/* md_worker_set_failures: its guard reports so many failures in a row. */
void md_worker_set_failures (MdWorker *worker, uint32_t failures, MdTime now);

/* ------------------------------------------------------------------ */
/* Shares of queues in the demand (demand.c)                          */

#define MD_MAX_QUEUES 1024 /* queues that are told apart */

/* Work that the jobs of a queue ask for, decayed. */
typedef struct
{
  double work;       /* core microseconds */
  MdTime updated_at; /* of the figure */
} MdDemand;

void md_demand_add (MdDemand *demand, double work, MdTime now);

/* md_demand_ratio: the share of one queue in the demand of all, as a multiple of an
   equal share; 1 when it is the only one. */
double md_demand_ratio (const MdDemand *const *demands, uint32_t n, const MdDemand *one,
                        MdTime now);

/* ------------------------------------------------------------------ */
/* Admission (admission.c)                                            */

typedef struct
{
  MdTime wait;   /* shortest at any worker that could run it: the backlog */
  MdTime finish; /* predicted, from now */
  MdTime goal;   /* from now */
  MdTime limit;  /* the answer is worth nothing after this, from now */
  double demand; /* share of its queue in the demand, see md_demand_ratio */
} MdForecast;

typedef enum
{
  MD_ADMIT_NOW,    /* place it */
  MD_ADMIT_LATE,   /* place it although it will be late: it delays nobody */
  MD_ADMIT_REJECT, /* reject */
} MdRunAdmission;

MdRunAdmission md_admit_run (const MdForecast *forecast);

/* md_admit_wait_bound: longest wait with which a job of such a queue is taken in. */
MdTime md_admit_wait_bound (double demand);

/* md_admit_retry_after: when a rejected job should come back; random spreads the
   callers over the time that the backlog takes to clear. */
MdTime md_admit_retry_after (const MdForecast *forecast, uint64_t random);

/* ------------------------------------------------------------------ */
/* Jobs of tasks at an entry (runjob.c)                               */

#define MD_MAX_STEPS 64         /* steps of a job */
#define MD_MAX_STEP_TASKS 4096  /* tasks of a step */
#define MD_RUN_NAME_BYTES 64    /* name of a task on the platform, with terminator */
#define MD_CHECKPOINT_BYTES 128 /* a saved state, with terminator */

typedef struct
{
  uint32_t n_tasks;                    /* tasks */
  MdResources resources;               /* each */
  MdTime declared_time;                /* declared run time of a task */
  uint64_t depends_on;                 /* bit i: step i must be done first */
  bool checkpointing;                  /* saves its progress */
  bool gang;                           /* tasks work only together */
  bool same_rack;                      /* slower when spread over racks */
  bool speculative;                    /* copies may run side by side */
  bool long_running;                   /* runs until cancelled */
  uint32_t max_per_worker;             /* most tasks on one worker, 0 any */
  char required_label[MD_LABEL_BYTES]; /* label a worker must have, empty none */
  char affinity[MD_LABEL_BYTES];       /* rack of the data, empty none */
} MdRunStep;

/* A job as submitted; decoded from the wire by platform/. */
typedef struct
{
  char *spec;            /* what the tasks run, owned, terminated */
  size_t spec_len;       /* bytes of spec */
  MdRunStep *steps;      /* n_steps entries, owned */
  uint32_t n_steps;      /* steps */
  uint32_t repeat_count; /* occurrences beyond a single run, 0 none */
  bool best_effort;      /* need not be stored; answered when it has ended */
} MdRunSpec;

void md_run_spec_clear (MdRunSpec *spec);

typedef enum
{
  MD_TASK_BLOCKED,       /* earlier steps are not done */
  MD_TASK_READY,         /* to be placed */
  MD_TASK_ORDERED,       /* at a guard, perhaps waiting */
  MD_TASK_AWAITING_GANG, /* its run has ended, those of the others of its gang have not */
  MD_TASK_ENDED,         /* done */
} MdRunTaskState;

typedef struct
{
  MdRunTaskState state;                 /* see above */
  uint32_t run_number;                  /* number of the last start ordered */
  uint32_t failures;                    /* ends FAILED */
  uint32_t rejections;                  /* ends REJECTED since it was last placed with success */
  MdWorker *last_worker;                /* where it failed or was rejected last, NULL nowhere */
  void *order;                          /* ORDERED: the caller's */
  char checkpoint[MD_CHECKPOINT_BYTES]; /* to resume from, empty none */
} MdRunTask;

/* The tasks of a step that work only together: they are ordered together, with one run
   number, and end together. The end DONE of one stands for all. */
typedef struct
{
  uint32_t ordered;  /* tasks ORDERED */
  uint32_t failures; /* runs of the gang in which a task ended FAILED */
  bool done;         /* one of the present run has ended DONE */
  bool broken;       /* one of the present run has ended otherwise */
  bool failed;       /* FAILED, to be counted when the last has ended */
} MdRunGang;

typedef enum
{
  MD_RUNJOB_ACTIVE,    /* not ended */
  MD_RUNJOB_COMPLETED, /* every task is done */
  MD_RUNJOB_FAILED,    /* a task used up its attempts */
} MdRunJobState;

typedef struct
{
  MdRunSpec spec;        /* owned */
  MdRunTask **tasks;     /* per step, owned */
  uint32_t *remaining;   /* per step: tasks not ENDED */
  MdRunGang *gangs;      /* per step, used where the step is a gang, owned */
  uint64_t done_steps;   /* bit i: step i is done */
  uint32_t ready;        /* tasks READY */
  uint32_t ordered;      /* tasks ORDERED */
  uint32_t max_attempts; /* ends FAILED that fail the job */
  MdRunJobState state;   /* see above */
  bool started;          /* some task has started at a worker */
} MdRunJob;

/* md_runjob_init: takes the spec over, also on failure. MD_E_INVALID for a job
   that this release cannot carry out, MD_E_MEMORY. */
int md_runjob_init (MdRunJob *job, MdRunSpec *spec, uint32_t max_attempts, MdError *error);
void md_runjob_clear (MdRunJob *job);

/* md_runjob_critical_path: the longest chain of work over the steps, microseconds; work[i]
   is the run time of a task of step i. */
double md_runjob_critical_path (const MdRunJob *job, const double *work);

/* md_runjob_record_order: a READY task has been ordered. */
void md_runjob_record_order (MdRunJob *job, uint32_t step, uint32_t task, void *order);

/* md_runjob_gang_broken: the step is a gang of which a run has ended other than DONE; what is
   left of it has to be ended, then all are READY again. */
bool md_runjob_gang_broken (const MdRunJob *job, uint32_t step);

/* md_runjob_record_end: a run of the task has ended. REJECTED, STOPPED, LEASE_EXPIRED and GANG_BROKEN
   make it READY again; FAILED does so up to max_attempts. Further steps become
   READY when their predecessors are done. */
void md_runjob_record_end (MdRunJob *job, uint32_t step, uint32_t task, MdRunResult result);

#endif
