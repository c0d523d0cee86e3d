/* run-sched.h -- scheduling of runs: queues, placement and admission

   A run is one start of a task on a worker. An entry decides whether to admit a job
   (admission.c, demand.c), tracks its tasks (runjob.c) and chooses a worker for each
   (placement.c). The guard beside a worker queues the runs that wait for capacity and
   starts them (runqueue.c). Nothing here does I/O, reads a clock or keeps global state.
   All times are MdTime in microseconds. */

#ifndef MD_RUN_SCHED_H
#define MD_RUN_SCHED_H

#include "estimate.h"
#include "md-base.h"
#include "traits.h"

/* ------------------------------------------------------------------ */
/* Resources of a worker                                              */

typedef struct
{
  uint32_t cpu;          /* thousandths of a core */
  uint32_t memory_mb;    /* MiB */
  uint32_t accelerators; /* whole devices */
} MdResources;

/* Longest time that decisions are made with, microseconds. The sum of a hundred thousand of them
   fits into MdTime. */
#define MD_MAX_SPAN (366 * 24 * 3600 * MD_SECOND)

/* md_span_to: a time that was computed from numbers of callers, guards or workers, limited to 0 and
   max. 0 for NaN. */
static inline MdTime
md_span_to (double us, MdTime max)
{
  if (!(us > 0))
    return 0;
  return us < (double)max ? (MdTime)us : max;
}

/* md_span: the same, limited to MD_MAX_SPAN. */
static inline MdTime
md_span (double us)
{
  return md_span_to (us, MD_MAX_SPAN);
}

static inline bool
md_resources_fit (MdResources available, MdResources needed)
{
  return available.cpu >= needed.cpu && available.memory_mb >= needed.memory_mb
         && available.accelerators >= needed.accelerators;
}

static inline void
md_resources_add (MdResources *total, MdResources added)
{
  total->cpu += added.cpu;
  total->memory_mb += added.memory_mb;
  total->accelerators += added.accelerators;
}

static inline uint32_t
md_saturating_sub (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

/* md_resources_subtract: subtract each resource on its own, saturating at zero. */
static inline void
md_resources_subtract (MdResources *total, MdResources used)
{
  total->cpu = md_saturating_sub (total->cpu, used.cpu);
  total->memory_mb = md_saturating_sub (total->memory_mb, used.memory_mb);
  total->accelerators = md_saturating_sub (total->accelerators, used.accelerators);
}

/* ------------------------------------------------------------------ */
/* Worker states and results of runs, as guards report them to entries */

typedef enum
{
  MD_WORKER_ABSENT,   /* not reported yet, or down */
  MD_WORKER_READY,    /* accepts runs */
  MD_WORKER_DRAINING, /* accepts no new runs, finishes those it has */
} MdWorkerState;

typedef enum
{
  MD_RUN_DONE,            /* the task is complete */
  MD_RUN_FAILED,          /* through a fault of the task or of the worker */
  MD_RUN_STOPPED,         /* on request of the entry */
  MD_RUN_LEASE_EXPIRED,   /* the worker's lease expired, or the worker has left */
  MD_RUN_GANG_BROKEN,     /* another run of its gang ended without DONE */
  MD_RUN_GANG_INCOMPLETE, /* the other runs of its gang did not arrive at the guards */
  MD_RUN_REJECTED,        /* not started by this guard, and never will be */
  MD_RUN_STALE,           /* rejected: the worker has seen a higher run number of the task */
  MD_RUN_CRASHED,         /* the worker ended without notice while it and others ran there */
  MD_RUN_CRASHED_ALONE,   /* the same, and nothing else ran there */
  MD_RUN_RESULT_COUNT
} MdRunResult;

static inline bool
md_run_is_crash (MdRunResult result)
{
  return result == MD_RUN_CRASHED || result == MD_RUN_CRASHED_ALONE;
}

/* md_run_result_name: the name of the result in log lines, "unknown" for other values. */
const char *md_run_result_name (MdRunResult result);

/* ------------------------------------------------------------------ */
/* Runs at a guard (runqueue.c)                                       */

typedef enum
{
  MD_RUN_WAITING,  /* waits for capacity */
  MD_RUN_STARTING, /* sent to the worker, not confirmed yet */
  MD_RUN_RUNNING,  /* confirmed by the worker */
} MdRunState;

typedef struct MdRun MdRun;

struct MdRun
{
  MdRun *next;           /* in the list of its state */
  MdRun *previous;       /* in the list of its state */
  MdRunState state;      /* tells which list links it */
  uint64_t entry;        /* incarnation of the entry that ordered it */
  uint64_t id;           /* of the order, unique for an incarnation of the entry */
  uint64_t job;          /* hash of the job's name */
  MdResources resources; /* reserved in STARTING and RUNNING */
  double work;           /* expected run time at speed 1, microseconds; 0 unknown */
  MdTime start_by;       /* if it starts later, its job misses the goal */
  MdTime sort_key;       /* orders the waiting runs: start_by, at most a fixed time after arrival */
  MdTime started_at;     /* when it left the queue; valid in STARTING and RUNNING */
  MdTime overtaken_at;   /* a more important run first overtook it then, 0: none has */
  uint8_t priority;      /* of its queue, 0 comes first; see priority.h */
  bool alone;            /* nothing else may run at the worker meanwhile */
  bool at_once;          /* it is to be rejected rather than wait */
  void *data;            /* of the caller, not used here */
};

typedef struct
{
  MdRun *first; /* oldest, or with the lowest sort_key */
  MdRun *last;  /* newest, or with the highest sort_key */
  uint32_t n;   /* runs */
} MdRunList;

typedef struct
{
  MdRunList waiting;        /* ascending by sort_key */
  MdRunList running;        /* STARTING and RUNNING, ascending by started_at */
  MdResources capacity;     /* of the worker, 0 until reported */
  MdResources free;         /* capacity less the resources of STARTING and RUNNING runs */
  bool accepting;           /* the worker accepts runs; set by the caller */
  MdTime last_end;          /* when a run last ended */
  uint32_t typical_cpu;     /* moving average of the runs' need, thousandths of a core; 0 unknown */
  MdSpeed speed;            /* of the worker, estimated from the runs of all entries */
  MdTime speed_updated_at;  /* when speed was last updated */
  uint32_t failures;        /* consecutive FAILED results, of different jobs */
  uint64_t last_failed_job; /* hash of the job that failed last; valid if failures > 0 */

  uint32_t withheld;     /* thousandths of a core that are not given to runs; less of free */
  MdTime withheld_until; /* by then all of it is given; valid if withheld > 0 */
} MdRunQueue;

/* md_runqueue_set_capacity: set the worker's capacity when it is reported first or changes.
   Runs that have started keep their resources even if the new capacity is smaller. */
void md_runqueue_set_capacity (MdRunQueue *queue, MdResources capacity);

/* md_runqueue_withhold: keep this much of the processor time from runs, 0 for none; it is given to
   them in steps, the last of which is due at until. Started runs keep what they have. */
void md_runqueue_withhold (MdRunQueue *queue, uint32_t cpu, MdTime until);

/* md_runqueue_add: add a run in the state WAITING. The queue links the run and the caller
   owns it: it must be removed with md_runqueue_remove before it is freed. */
void md_runqueue_add (MdRunQueue *queue, MdRun *run, MdTime now);

/* md_runqueue_update_speed: update the speed estimate with a run that is DONE and took time.
   Without an estimate of the run's work it has no effect. */
void md_runqueue_update_speed (MdRunQueue *queue, const MdRun *run, MdTime time, MdTime now);

/* md_runqueue_record_end: record the result of a run at the worker, to count consecutive
   failures. job is the hash of the job's name. */
void md_runqueue_record_end (MdRunQueue *queue, MdRunResult result, uint64_t job);

/* md_runqueue_speed: the current speed of the worker relative to declared times. It is the
   estimate from past runs, reduced in proportion to the delay of overdue runs. */
double md_runqueue_speed (const MdRunQueue *queue, MdTime now);

/* md_runqueue_next: choose the run to start now, set it to STARTING and reserve its
   resources. Returns NULL if no run fits or the worker accepts none. */
MdRun *md_runqueue_next (MdRunQueue *queue, MdTime now);

/* md_runqueue_adopt: set a WAITING run that turns out to have been started to STARTING and reserve
   its resources, even if they are not free. */
void md_runqueue_adopt (MdRunQueue *queue, MdRun *run, MdTime now);

/* md_runqueue_requeue: set a STARTING run that was not started back to WAITING and free its
   resources. */
void md_runqueue_requeue (MdRunQueue *queue, MdRun *run);

/* md_runqueue_remove: unlink a run in any state and free its resources. */
void md_runqueue_remove (MdRunQueue *queue, MdRun *run, MdTime now);

/* md_runqueue_expected_wait: how long a new run of typical_cpu would wait behind all waiting
   runs, projected from the expected ends of the runs before it. */
MdTime md_runqueue_expected_wait (const MdRunQueue *queue, MdTime now);

/* md_runqueue_next_end: time until the next expected end of a run, or until more of what is
   withheld is given; 0 if neither is due. */
MdTime md_runqueue_next_end (const MdRunQueue *queue, MdTime now);

/* md_runqueue_stalled: whether runs of several jobs are overdue and no run has ended since
   they should have. */
bool md_runqueue_stalled (const MdRunQueue *queue, MdTime now);

/* ------------------------------------------------------------------ */
/* An entry's view of the workers, and placement (placement.c)         */

typedef struct
{
  uint64_t guard;        /* incarnation of its guard */
  uint64_t lifetime;     /* identifies the life of the worker process, 0 not reported */
  MdWorkerState state;   /* as reported */
  MdResources capacity;  /* as reported */
  MdResources free;      /* as reported, less what was ordered since then */
  MdTime wait;           /* of a typical run; as reported, plus what was ordered since then */
  MdTime next_end;       /* time until the next expected end of a run, as reported */
  MdTime bias;           /* added to its expected ends; differs between entries, see placement.c */
  MdTime reported_at;    /* when the fields above were reported */
  bool connected;        /* messages of its guard arrive */
  bool evacuated;        /* no run may be started in its failure domain */
  bool sparse;           /* its guard does not report each change, so that its load is not known */
  bool follow_requested; /* its guard was asked to report each change and has not done so yet */
  bool stalled;          /* as reported */
  MdTime avoid_until;    /* after repeated failures: not used before then if avoidable */
  uint32_t failures;     /* consecutive, as reported, see MdRunQueue */
  uint32_t pressure;     /* as reported, permille, see priority.h */
  MdTime pressure_at;    /* when that was reported, see md_stamp_age; 0: never */
  uint32_t outstanding;  /* runs ordered by this entry that have not ended */
  uint32_t near_waiting; /* of these, those that wait here because it is near, see locality.h */
  MdTraits *traits;      /* pool, kind and rack; one of their owners */
  double speed;          /* as reported, relative to declared times */
} MdWorker;

typedef struct
{
  MdWorker **workers;   /* n pointers, owned by the caller */
  uint32_t n;           /* workers */
  double remote_factor; /* factor on the run time of a task that runs away from its data */
} MdWorkers;

/* Requirements of the tasks of a step. */
typedef struct
{
  MdStr pool;              /* the workers must belong to it */
  MdStr required_label;    /* label that the worker must have, empty none */
  MdStr affinity;          /* label of the rack that holds its data, empty none */
  MdResources resources;   /* of one task */
  double work;             /* of one task: run time at speed 1, microseconds */
  MdTime goal;             /* a task that ends within this time from now meets the job's goal */
  MdTime limit;            /* a task that ends after this time from now is worth nothing */
  uint32_t max_per_worker; /* most tasks of the step on one worker, 0 unlimited */
  const bool *excluded;    /* for each worker: it must not run the step; NULL none */
  bool alone;              /* nothing else may run at the worker meanwhile */
  bool at_once;            /* it must not wait: the worker has room for it now */
} MdTaskRequirements;

typedef struct
{
  MdWorker *worker; /* NULL: no worker can run it */
  MdTime wait;      /* expected time until the start */
  MdTime run_time;  /* expected, on this worker */
} MdPlacement;

/* md_place_reservation: what a task takes of the worker's capacity. */
static inline MdResources
md_place_reservation (const MdWorker *worker, const MdTaskRequirements *need)
{
  return need->alone ? worker->capacity : need->resources;
}

/* md_place: choose a worker for a task, among those without sparse reports. Workers that can start
   it at once and meet the goal come first, of these the faster and less busy one; otherwise the
   worker on which the task is expected to end first. counts[i] is the number of tasks of the step
   on worker i, for max_per_worker; NULL if there is no such limit. The worker avoid, if not NULL,
   is used only if there is no other. A task that is to run alone is placed on an idle worker, while
   another one is idle. The result's worker is NULL if none can run the task. */
MdPlacement md_place (const MdWorkers *workers, const MdTaskRequirements *need,
                      const uint32_t *counts, const MdWorker *avoid, MdTime now);

/* md_place_at: the place on this worker, busy or not. */
MdPlacement md_place_at (const MdWorkers *workers, MdWorker *worker, const MdTaskRequirements *need,
                         MdTime now);

/* The best places for a task on the rack of its data and elsewhere, with sums over the workers that
   could run it and have full reports. */
typedef struct
{
  MdPlacement near;      /* its worker is NULL if there is none */
  MdPlacement far;       /* its worker is NULL if there is none */
  uint64_t capacity_cpu; /* of all, thousandths of a core */
  uint64_t free_cpu;     /* of all */
  uint64_t near_cpu;     /* capacity on the rack */
  uint32_t near_waiting; /* sum of near_waiting on the rack */
  uint32_t waiting;      /* sum of near_waiting of all */
} MdNearFar;

/* md_place_near_far: choose the best worker of each kind as md_place does, in one pass. Workers
   that are avoided count as none. need has an affinity and is neither alone nor at_once. */
MdNearFar md_place_near_far (const MdWorkers *workers, const MdTaskRequirements *need,
                             const uint32_t *counts, const MdWorker *avoid, MdTime now);

/* How md_place ranks a place: by fit, then by cost. */
typedef struct
{
  int fit; /* 0: waits or misses the goal, 1: starts at once and meets it if the estimate is right,
                  2: with a margin */
  double cost; /* microseconds, smaller is better */
} MdPlaceRank;

/* md_place_rank: the rank of a place for a task. */
MdPlaceRank md_place_rank (const MdPlacement *placement, const MdTaskRequirements *need);

/* md_place_backlog: the shortest wait for such a task at any worker that can run it and is not
   avoided for its failures, INT64_MAX if there is none. */
MdTime md_place_backlog (const MdWorkers *workers, const MdTaskRequirements *need, MdTime now);

/* md_run_is_overdue: whether a run that was placed at placed_at, with this expected wait, still
   waits longer than predicted. known_at: when its guard was last known not to have started it. */
bool md_run_is_overdue (MdTime placed_at, MdTime expected_wait, MdTime known_at);

/* md_worker_reserve: account for a run that was ordered after the worker's last report, by
   its resources and its expected run time. */
void md_worker_reserve (MdWorker *worker, MdResources resources, MdTime run_time);

/* md_place_count: count one more task of the step on its worker; counts may be NULL. */
void md_place_count (const MdWorkers *workers, uint32_t *counts, const MdWorker *worker);

/* md_place_all: place count tasks of a step one after the other, reserve their resources,
   and raise *finish to the last expected end if that is later. counts is as for md_place
   and is updated. Returns false if a task has no worker; the reservations that were made
   until then remain. */
bool md_place_all (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                   uint32_t *counts, MdTime *finish, MdTime now);

/* An answer is worth nothing after this many times the response-time goal of its job. */
#define MD_LIMIT_GOAL_MULTIPLE 3

/* The fields of a worker that reservations change. */
typedef struct
{
  MdResources free;
  MdTime wait;
  MdTime next_end;
} MdSavedResources;

/* md_workers_save, md_workers_restore: save the reservations of all workers and restore
   them after a trial placement. saved has one element for each worker. */
void md_workers_save (const MdWorkers *workers, MdSavedResources *saved);
void md_workers_restore (const MdWorkers *workers, const MdSavedResources *saved);

/* md_place_try: like md_place_all, but the reservations are undone. saved is scratch
   space as for md_workers_save. */
bool md_place_try (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                   uint32_t *counts, MdSavedResources *saved, MdTime *finish, MdTime now);

/* md_worker_can_run: whether the worker accepts runs, is connected, not evacuated and has the pool,
   the capacity and the label that the task requires, busy or not. */
bool md_worker_can_run (const MdWorker *worker, const MdTaskRequirements *need);

/* md_place_rack: the rack on which count tasks of a step would end first if a task takes
   remote_factor times as long elsewhere; an empty text if no worker that can run them
   has a rack label. saved is scratch space as for md_workers_save. */
MdStr md_place_rack (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count,
                     MdSavedResources *saved, MdTime now);

/* md_place_possible: whether the workers for which md_worker_can_run holds have room for count
   tasks at a time, if nothing else runs there. */
bool md_place_possible (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t count);

/* md_worker_set_failures: store the number of consecutive failures that the guard reports.
   From a threshold on, each increase sets avoid_until, with exponential backoff. */
void md_worker_set_failures (MdWorker *worker, uint32_t failures, MdTime now);

/* ------------------------------------------------------------------ */
/* Full and sparse reports (coverage.c)                                */

#define MD_FULL_REPORTS 7              /* default: entries to which a guard reports each change */
#define MD_MAX_FOLLOWED 64             /* default: further guards that an entry asks at a time */
#define MD_WIDEN_STEP 8                /* guards that are asked at once */
#define MD_FOLLOW_TIME (2 * MD_SECOND) /* for which a guard then reports each change */

/* md_coverage_weight: how strongly a guard prefers an entry, by their names. */
uint64_t md_coverage_weight (MdStr guard, MdStr entry);

/* md_coverage_choose: set chosen[i] for the count entries, of n, to which a guard reports each
   change of its load: those with the highest weights. */
void md_coverage_choose (const uint64_t *weights, uint32_t n, uint32_t count, bool *chosen);

/* md_coverage_widen: the worker that could run the task, has sparse reports and is the next from
   which to request full ones; rack_only: only on the rack of the task's data. NULL if there is
   none. */
MdWorker *md_coverage_widen (const MdWorkers *workers, const MdTaskRequirements *need,
                             bool rack_only);

/* ------------------------------------------------------------------ */
/* Shares of queues in the demand (demand.c)                          */

#define MD_MAX_QUEUES 1024 /* queues whose demand is recorded separately */

/* Work requested by the jobs of a queue, with exponential decay. */
typedef struct
{
  double work; /* core microseconds, as of updated_at */
  MdTime updated_at;
} MdDemand;

/* md_demand_add: add the work of a job, in core microseconds. */
void md_demand_add (MdDemand *demand, double work, MdTime now);

/* md_demand_now: the work at present, core microseconds. */
double md_demand_now (const MdDemand *demand, MdTime now);

/* md_demand_ratio: the share of one queue in the demand of all n queues, as a multiple of
   an equal share; 1 if it is the only active one. */
double md_demand_ratio (const MdDemand *const *demands, uint32_t n, const MdDemand *one,
                        MdTime now);

/* ------------------------------------------------------------------ */
/* How late an entry is (lag.c)                                       */

/* The lag of an engine: how much later than due it does something. */
typedef struct
{
  MdTime value;      /* at updated_at */
  MdTime updated_at; /* time of the last sample */
  MdTime late_since; /* it has been late without a break since then, 0: it is not */
  MdTime late_at;    /* when it was late last; valid with shortage */
  bool shortage;     /* it is late because it has too little processor time */
} MdLag;

/* md_lag_add: add a sample. Can be called for each timer that the engine handles. */
void md_lag_add (MdLag *lag, MdTime sample, MdTime now);
/* md_lag_now: the lag at present. */
MdTime md_lag_now (const MdLag *lag, MdTime now);
/* md_lag_shortage: the lag at present if it lasts, which only fewer jobs can change; 0 if the
   engine is late for a moment only, after a pause or a start. */
MdTime md_lag_shortage (const MdLag *lag, MdTime now);
/* md_lag_report_interval: the shortest time between two reports of changes that an entry with this
   lag asks of its guards, 0 for none. current: what it asks at present. To be called once per
   MD_LAG_STEP. */
#define MD_LAG_STEP (100 * MD_MS)
MdTime md_lag_report_interval (MdTime current, MdTime lag);

/* ------------------------------------------------------------------ */
/* Admission (admission.c)                                            */

typedef struct
{
  MdTime wait;   /* backlog: the shortest wait at any worker that can run it */
  MdTime finish; /* predicted end, from now */
  MdTime goal;   /* response-time goal, from now */
  MdTime limit;  /* a later answer is worth nothing, from now */
  double demand; /* demand of its queue, see md_demand_ratio */
  MdTime lag;    /* how late the entry itself is, md_lag_shortage */
  MdTime bound;  /* longest wait to admit it with, 0: md_admit_wait_bound (demand) */
  MdTime age;    /* how long its caller had waited when it arrived, md_patience_age */
} MdForecast;

typedef enum
{
  MD_ADMIT_NOW,  /* place it; it is expected to meet its goal */
  MD_ADMIT_LATE, /* place it although it is expected to be late: it delays no other job */
  MD_ADMIT_REJECT,
} MdRunAdmission;

/* md_admit_lag: the lag of the entry as far as it counts; 0 for what is usual at small entries. */
MdTime md_admit_lag (const MdForecast *forecast);
/* md_admit_rejects_all: whether an entry with this lag rejects the jobs of every queue. */
bool md_admit_rejects_all (MdTime lag);
/* md_admit_is_too_late: whether the entry is so late that the job is rejected whatever the workers
   have free. Only demand and lag of the forecast are used. */
bool md_admit_is_too_late (const MdForecast *forecast);
/* md_admit_run: decide on a job when it arrives. */
MdRunAdmission md_admit_run (const MdForecast *forecast);

/* md_admit_wait_bound: the longest wait with which a job is admitted, if its queue has this
   md_demand_ratio. */
MdTime md_admit_wait_bound (double demand);

/* md_admit_bound: the longest wait with which the job of this forecast is admitted. */
MdTime md_admit_bound (const MdForecast *forecast);

/* md_admit_retry_after: the delay after which the caller should retry a rejected job. random
   spreads the retries over the time that the backlog takes to clear. */
MdTime md_admit_retry_after (const MdForecast *forecast, uint64_t random);

/* ------------------------------------------------------------------ */
/* Jobs of tasks at an entry (runjob.c)                               */

#define MD_MAX_STEPS 64        /* of a job */
#define MD_MAX_STEP_TASKS 4096 /* of a step */
#define MD_MAX_JOB_TASKS 8192  /* of a job; the largest planned for has 890 */
#define MD_RUN_NAME_BYTES 64   /* name of a task on the platform, with the null byte */

typedef struct
{
  uint32_t n_tasks;
  MdResources resources;   /* of each task */
  MdTime declared_time;    /* run time of a task as stated by the caller */
  uint64_t depends_on;     /* bit i: depends on step i, which must be done first */
  bool checkpointing;      /* the tasks save their progress */
  bool gang;               /* the tasks only work when all run at the same time */
  bool same_rack;          /* the tasks are slower when spread over racks */
  bool speculative;        /* copies of a task may run at the same time */
  bool long_running;       /* the tasks run until cancelled */
  uint32_t max_per_worker; /* most tasks on one worker, 0 unlimited */
  MdStr required_label;    /* label that a worker must have, empty none; terminated */
  MdStr affinity;          /* rack that holds the data, empty none; terminated */
} MdRunStep;

/* A job as submitted; platform/ decodes it from the wire. */
typedef struct
{
  char *spec;       /* what the tasks run; owned, null-terminated */
  size_t spec_len;  /* bytes of spec without the null byte */
  MdRunStep *steps; /* n_steps elements, owned */
  char *labels;     /* the labels of all steps, owned; NULL: they are not owned */
  uint32_t n_steps;
  uint32_t repeat_count; /* further runs of the whole job, 0 none */
  bool best_effort;      /* need not be stored; answered after it has ended */
} MdRunSpec;

/* md_run_spec_clear: free what the spec owns and zero it. */
void md_run_spec_clear (MdRunSpec *spec);

/* md_run_spec_tasks: number of tasks of all steps. */
uint64_t md_run_spec_tasks (const MdRunSpec *spec);

typedef enum
{
  MD_TASK_BLOCKED,       /* a step that it depends on is not done */
  MD_TASK_READY,         /* to be placed */
  MD_TASK_ORDERED,       /* its run is at a guard, waiting or started */
  MD_TASK_AWAITING_GANG, /* its run has ended, another one of its gang has not */
  MD_TASK_ENDED,         /* done, or given up because the job has failed */
} MdRunTaskState;

typedef struct
{
  MdRunTaskState state;
  uint32_t run_number;   /* number of the last run that was ordered, ascending from 1 */
  uint32_t failures;     /* runs that FAILED */
  uint32_t crashes;      /* runs whose worker crashed */
  uint32_t rejections;   /* runs that were REJECTED or STALE */
  MdWorker *last_worker; /* on which a run last failed or was rejected, NULL none */
  bool near_given_up;    /* a wait for a near place was given up; set by the caller */
  void *order;           /* of the caller; valid in ORDERED */
  char *checkpoint;      /* the next run resumes from it, owned; NULL: none */
} MdRunTask;

/* State of a step whose tasks only work when all run at the same time. They are ordered
   together, with one run number, and end together. If one run is DONE, all tasks are. */
typedef struct
{
  uint32_t ordered;  /* number of tasks ORDERED */
  uint32_t failures; /* runs of the gang in which a task FAILED */
  bool done;         /* a task of the current run is DONE */
  bool broken;       /* a task of the current run has ended otherwise */
  bool failed;       /* a task of the current run FAILED; counted when all have ended */
} MdRunGang;

typedef enum
{
  MD_RUNJOB_ACTIVE,    /* has tasks that have not ended */
  MD_RUNJOB_COMPLETED, /* every task is done */
  MD_RUNJOB_FAILED,    /* a task has failed max_attempts times */
  MD_RUNJOB_CRASHING,  /* a task crashes the workers that run it */
} MdRunJobState;

typedef struct
{
  MdRunSpec spec;        /* owned */
  MdRunTask **tasks;     /* array of n_tasks for each step, owned */
  uint32_t *remaining;   /* for each step: tasks not ENDED, owned */
  MdRunGang *gangs;      /* for each step; ordered is kept for all, the rest for gangs, owned */
  uint64_t done_steps;   /* bit i: all tasks of step i are done */
  uint32_t ready;        /* number of tasks READY */
  uint32_t ordered;      /* number of tasks ORDERED */
  uint32_t max_attempts; /* FAILED runs of one task that fail the job, at least 1 */
  MdRunJobState state;
  bool started; /* a task has started on a worker; set by the caller */
} MdRunJob;

/* md_runjob_init: initialize a job. Takes ownership of the contents of spec, also on failure,
   and zeroes spec. The caller calls md_runjob_clear in any case. Fails with MD_E_INVALID
   if this release does not support the job, or with MD_E_MEMORY. */
int md_runjob_init (MdRunJob *job, MdRunSpec *spec, uint32_t max_attempts, MdError *error);

/* md_runjob_clear: free what the job owns. */
void md_runjob_clear (MdRunJob *job);

/* md_runjob_critical_path: the length of the critical path through the steps, in
   microseconds. work[i] is the run time of a task of step i. */
double md_runjob_critical_path (const MdRunJob *job, const double *work);

/* md_runjob_record_order: set a READY task to ORDERED. order is stored for the caller. */
void md_runjob_record_order (MdRunJob *job, uint32_t step, uint32_t task, void *order);

/* md_runjob_gang_broken: whether the step is a gang of which a task has ended other than
   DONE, and none DONE. The caller then ends the other runs; when all have ended, the tasks
   are READY again. */
bool md_runjob_gang_broken (const MdRunJob *job, uint32_t step);

/* md_runjob_record_end: record the result of an ORDERED task's run; no effect in another
   state. After DONE the task has ended, and steps that depended only on done steps become
   READY. After FAILED it is READY again unless it has failed max_attempts times, which
   fails the job. After any other result it is READY again, unless it is to blame for crashes of
   workers, which ends the job as CRASHING. In a gang, this is decided once all its runs have
   ended; the blame for a crash at once. */
void md_runjob_record_end (MdRunJob *job, uint32_t step, uint32_t task, MdRunResult result);

/* md_runjob_is_suspect: whether two workers or more have crashed under a task that has not ended.
   */
bool md_runjob_is_suspect (const MdRunJob *job);

#endif
