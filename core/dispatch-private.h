/* dispatch-private.h -- what the files of the dispatch core share

   dispatch.c holds the public functions, jobs.c the life of jobs and tasks,
   place.c the guards and the choice among them, recover.c the records of an
   earlier owner. queue.c, estimate.c, health.c, limits.c and retry.c are the
   policies; they know nothing of submissions and are tested alone. */

#ifndef MD_DISPATCH_PRIVATE_H
#define MD_DISPATCH_PRIVATE_H

#include "estimate.h"
#include "md-base.h"

/* ------------------------------------------------------------------ */
/* Binary heap (queue.c)                                              */

/* A heap of pointers. Each item holds its own position (index + 1, 0 absent) at
   a fixed offset, so that it can be moved or removed in O(log n). */
typedef struct
{
  void **items;                                  /* n entries */
  uint32_t n;                                    /* in use */
  uint32_t cap;                                  /* allocated */
  size_t position_offset;                        /* offset of the position in an item */
  bool (*before) (const void *a, const void *b); /* strict order */
} MdHeap;

void md_heap_init (MdHeap *heap, size_t place, bool (*before) (const void *, const void *));
void md_heap_clear (MdHeap *heap);
void md_heap_push (MdHeap *heap, void *item);
void md_heap_update (MdHeap *heap, void *item); /* after a change of its rank */
void md_heap_remove (MdHeap *heap, void *item); /* does nothing when absent */
void *md_heap_top (const MdHeap *heap);         /* NULL when empty */

/* md_array_reserve: memory for n items, at least doubled; aborts when memory runs out,
   because a dispatcher that cannot record a start must not go on. */
void *md_array_reserve (void *items, uint32_t *cap, uint32_t n, size_t size);

/* ------------------------------------------------------------------ */
/* Health (health.c)                                                  */

/* Counts of good and failed answers that lose half their weight in
   ANSWER_COUNTS_HALF_LIFE_US. */
typedef struct
{
  double successes;  /* decayed count */
  double failures;   /* decayed count */
  MdTime updated_at; /* time of the counts */
} MdAnswerCounts;

typedef struct
{
  double concurrency_limit;         /* adaptive concurrency, at most the slots */
  double log_slowdown;              /* average of the log of actual over expected run time */
  uint32_t consecutive_failures;    /* consecutive failures */
  uint32_t successful_trials;       /* consecutive good trial tasks */
  uint32_t answers_since_reduction; /* answers since the limit was last reduced */
  MdAnswerCounts answer_counts;     /* answers of this guard */
  bool suspect;                     /* failed several times in a row; one task at a time */
  bool ejected;                     /* no work but trial tasks */
  MdTime trial_interval;            /* current wait between trial tasks */
  MdTime next_trial_at;             /* earliest next trial task */
  MdTime ejected_at;                /* when */
} MdHealth;

typedef enum
{
  MD_HEALTH_UNCHANGED, /* no change */
  MD_HEALTH_EJECT,     /* ought to be ejected; the caller checks the floor */
  MD_HEALTH_READMIT    /* probation is over */
} MdHealthChange;

void md_answer_counts_add (MdAnswerCounts *counts, bool good, MdTime now);
/* md_answer_counts_good_elsewhere: most answers outside one guard are good. */
bool md_answer_counts_good_elsewhere (const MdAnswerCounts *all, const MdAnswerCounts *own,
                                      MdTime now);

void md_health_init (MdHealth *health, uint32_t slots);
/* md_health_record_success: a complete answer; excess is the log of the actual over the
   expected run time. */
MdHealthChange md_health_record_success (MdHealth *health, uint32_t slots, double excess,
                                         const MdTuning *tuning, MdTime now);
/* md_health_record_failure: a failure that is attributed to the guard. */
MdHealthChange md_health_record_failure (MdHealth *health, bool good_elsewhere,
                                         const MdTuning *tuning, MdTime now);
void md_health_undo_failure (MdHealth *health); /* a counted failure was the task's own */
void md_health_eject (MdHealth *health, const MdTuning *tuning, MdTime now);
void md_health_readmit (MdHealth *health, uint32_t slots);
/* md_health_concurrency: tasks that may run at a time now. */
uint32_t md_health_concurrency (const MdHealth *health, uint32_t slots, MdTime now);
uint32_t md_health_max_ejected (uint32_t guards, const MdTuning *tuning);

/* ------------------------------------------------------------------ */
/* Limits (limits.c)                                                  */

/* Slot-seconds that a customer may still use, microseconds. */
typedef struct
{
  double balance;    /* may be negative after tasks that ran longer than estimated */
  MdTime updated_at; /* time of the balance */
} MdTokenBucket;

/* md_token_bucket_ready: now when a task may start, otherwise the time to ask again. */
MdTime md_token_bucket_ready (MdTokenBucket *bucket, double slots, MdTime now);
void md_token_bucket_charge (MdTokenBucket *bucket, double slot_time);

#define MD_DEMAND_BUCKETS 1024                 /* of a second each; longer than the horizon */
#define MD_DEMAND_BUCKET_WIDTH (1 * MD_SECOND) /* deadlines in one bucket count as equal */

/* Waiting work by deadline. */
typedef struct
{
  double work[MD_DEMAND_BUCKETS]; /* microseconds at speed 1, ring by deadline */
} MdDeadlineDemand;

uint32_t md_demand_bucket (MdTime deadline, MdTime now);
/* md_demand_excess: how much longer the work that is due up to some time takes
   than it may, microseconds; 0 when new work with this deadline fits in. */
MdTime md_demand_excess (const MdDeadlineDemand *demand, MdTime deadline, MdTime now,
                         double new_work, double rate);

/* What a new submission is judged by. */
typedef struct
{
  uint32_t new_tasks;      /* of the submission */
  uint32_t queued_tasks;   /* waiting tasks of the shard */
  uint32_t max_queue;      /* bound of queued */
  uint32_t customer_tasks; /* waiting tasks of the customer */
  uint32_t queue_quota;    /* bound of customer_tasks, 0 none */
  double customer_work;    /* waiting work of the customer */
  double rate;             /* work per microsecond that the customer can expect */
  MdTime demand_excess;    /* of the work due, see md_demand_excess */
  MdTime time_left;        /* until the deadline */
  MdTime shortest_run;     /* shortest run time ever seen, 0 none */
} MdAdmissionLoad;

/* md_limits_check: MD_REASON_NONE or why the submission is refused; retry_after
   is 0 when submitting again would not help. */
MdReason md_limits_check (const MdAdmissionLoad *load, MdTime *retry_after);

/* ------------------------------------------------------------------ */
/* Submissions                                                        */

typedef struct MdJob MdJob;
typedef struct MdActiveJob MdActiveJob;
typedef struct MdTask MdTask;
typedef struct MdDispatchGuard MdDispatchGuard;
typedef struct MdCustomer MdCustomer;

typedef enum
{
  MD_TASK_STATE_ABSENT,  /* recovered job: no record of this task */
  MD_TASK_STATE_WAITING, /* in the queue */
  MD_TASK_STATE_SENT,    /* at a guard, not answered */
  MD_TASK_STATE_DONE,    /* answered well */
  MD_TASK_STATE_FAILED,  /* ran and failed, or its answer is gone */
  MD_TASK_STATE_NOT_RUN, /* provably not started */
  MD_TASK_STATE_UNKNOWN, /* may have started */
} MdTaskState;

typedef enum
{
  MD_JOB_STATE_OPEN, /* queued or running */
  MD_JOB_STATE_DONE,
  MD_JOB_STATE_FAILED,
  MD_JOB_STATE_CANCELLED,
} MdJobState;

struct MdTask
{
  MdActiveJob *active;    /* of the job */
  MdDispatchGuard *guard; /* while SENT */
  MdTask *prev;           /* in the list of the guard, or of tasks to place again */
  MdTask *next;           /* likewise */
  double size;            /* estimated run time at speed 1, microseconds */
  double charge;          /* slot time charged at the start, microseconds */
  MdTime declared;        /* run time declared by the caller, 0 unknown */
  MdTime sent_at;         /* start decision */
  uint32_t attempts;      /* starts so far */
  MdTaskState state;
  bool requeued; /* in the list of tasks to place again */
  bool retry;    /* the next start is a retry after an unknown outcome */
  bool refused;  /* some guard refused it; see MdActiveJob.refusals */
};

/* A guard that refused a task; it remembers the refusal and would refuse again. */
typedef struct
{
  uint32_t task;
  uint64_t guard;
} MdRefusal;

/* Resources that a task needs at least. */
typedef struct
{
  uint32_t cores;
  uint32_t memory_mb;
  uint32_t accelerators;
} MdWorkerResources;

/* The part of a job that is needed until its answers are released. */
struct MdActiveJob
{
  MdJob *job;
  MdCustomer *customer;       /* NULL for a recovered job without its submission */
  MdTask *tasks;              /* n_tasks entries */
  uint32_t *order;            /* waiting tasks, longest first */
  uint32_t n_tasks;           /* of the job */
  uint32_t n_order;           /* entries of order */
  uint32_t next_order;        /* first entry of order not started */
  uint32_t n_sent;            /* tasks in state SENT */
  uint32_t n_unfinished;      /* tasks not DONE */
  uint32_t subqueue;          /* index in the customer's lanes */
  uint32_t demand_bucket;     /* index in the customer's demand */
  MdWorkerResources need;     /* largest need of any task */
  double waiting_work;        /* estimated work in order[next_order..], microseconds */
  MdTime arrival;             /* submission */
  MdTime urgent_at;           /* from then on the job goes first */
  MdTime deadline;            /* absolute */
  uint64_t serial;            /* order of submission, breaks ties */
  uint32_t size_position;     /* position in the lane's heap by work */
  uint32_t urgent_position;   /* position in the lane's heap by urgent_at */
  uint32_t deadline_position; /* position in the heap of deadlines */
  uint64_t *holders;          /* guards that keep answers; n_holders entries */
  uint32_t n_holders;
  uint32_t cap_holders;
  MdRefusal *refusals; /* n_refusals entries */
  uint32_t n_refusals;
  uint32_t cap_refusals;
  bool any_ran;        /* a task is known to have started */
  bool any_unknown;    /* an earlier attempt may have started */
  bool single_request; /* a single request */
  bool repeatable;     /* may be retried */
};

/* The part of a job that is kept until the horizon; small, because there are
   millions of them. */
struct MdJob
{
  MdKey key;
  MdKey fingerprint;
  void *cookie;          /* of the daemon */
  MdJob *next_in_bucket; /* hash chain */
  MdJob *next_ended;     /* list of ended jobs, oldest first */
  MdActiveJob *active;   /* NULL once released and without running tasks */
  uint64_t failed_guard; /* guard whose answer failed the job, 0 none */
  MdTime ended_at;       /* when it ended */
  MdJobState state;
  MdReason reason;   /* when not done */
  MdOutcome outcome; /* when not done */
  bool ever_sent;    /* a START was decided for some task */
  bool submitted;    /* the submission is known, not only records */
  bool released;     /* answers were released at the guards */
  bool replaced;     /* a resubmission took its place; not in the table */
};

struct MdDispatchGuard
{
  uint64_t id;                 /* incarnation */
  char *name;                  /* owned */
  MdWorkerResources resources; /* of the worker */
  uint32_t slots;              /* offered by the guard */
  MdTime delay;                /* one-way */
  MdTask *tasks;               /* SENT here */
  uint32_t busy;               /* length of tasks */
  bool paused;                 /* the link is down */
  bool leaving;
  bool lost;                  /* being removed */
  MdTime backoff_until;       /* no starts before, after a refusal */
  MdTime backoff;             /* length of the last such pause */
  MdTime last_answer_at;      /* last answer, or start of the first task after being idle */
  uint64_t last_cancellation; /* last cancellation that reached this guard */
  MdSpeed speed;
  double relative_speed; /* learned speed, not as a logarithm */
  MdHealth health;
};

/* Jobs of one customer that need the same resources. */
typedef struct
{
  MdWorkerResources need;
  MdHeap by_size;    /* MdActiveJob, least waiting work first */
  MdHeap by_urgency; /* MdActiveJob, earliest urgent_at first */
} MdSubqueue;

struct MdCustomer
{
  char *name; /* owned */
  MdCustomerPolicy policy;
  MdSubqueue *subqueues;
  uint32_t n_subqueues;
  uint32_t cap_subqueues;
  uint32_t waiting_tasks;       /* in the lanes */
  double waiting_work;          /* estimated, microseconds */
  MdDeadlineDemand *demand;     /* the same by deadline */
  MdTime over_quota_since;      /* waits because of its slot quota since then, 0 does not */
  uint32_t running_tasks;       /* tasks SENT */
  double start_tag;             /* virtual time of the next start, weighted slot time */
  double rank;                  /* order among customers: tag, or best job without shares */
  uint32_t ready_position;      /* position in the heap of ready customers */
  uint32_t blocked_position;    /* position in the heap of customers over quota */
  MdTime blocked_until;         /* while blocked */
  MdCustomer *next_skipped;     /* while a start is chosen */
  MdTokenBucket quota_bucket;   /* slot quota */
  MdCorrection correction;      /* of declared times */
  MdAnswerCounts answer_counts; /* of this customer's answers */
};

typedef struct
{
  MdHeap ready;        /* MdCustomer with waiting work, by rank */
  MdHeap blocked;      /* MdCustomer over their slot quota, by blocked_until */
  double virtual_time; /* tag of the last start */
  double total_weight; /* of customers with waiting work */
  double ready_work;   /* waiting work of customers that their quota does not hold back */
  bool fair_sharing;   /* fair sharing is on */
} MdFairQueue;

void md_fair_queue_init (MdFairQueue *shares);
void md_fair_queue_clear (MdFairQueue *shares);

/* md_queue_add: enter a job with waiting tasks; md_queue_remove: take it out. */
void md_queue_add (MdFairQueue *shares, MdActiveJob *work);
void md_queue_remove (MdFairQueue *shares, MdActiveJob *work);
/* md_queue_start_task: the first (longest) or last task of a job is started. */
void md_queue_start_task (MdFairQueue *shares, MdActiveJob *work, bool last, double slot_time);
/* md_queue_best: the job of a lane that goes first. */
MdActiveJob *md_queue_best (const MdSubqueue *lane, MdTime now);
void md_queue_charge (MdFairQueue *shares, MdCustomer *customer, double slot_time);
/* md_queue_unblock_due: customers whose quota allows starts again. */
void md_queue_unblock_due (MdFairQueue *shares, MdTime now);
void md_queue_unblock (MdFairQueue *shares, MdCustomer *customer);
void md_queue_block (MdFairQueue *shares, MdCustomer *customer, MdTime until, MdTime now);
void md_queue_update_rank (MdFairQueue *shares, MdCustomer *customer);
void md_customer_free (MdCustomer *customer);

/* A guard that is gone; its speed and resources are remembered. */
typedef struct
{
  char *name; /* owned */
  MdWorkerResources resources;
  MdSpeed speed;
  MdTime lost_at;
} MdRemovedGuard;

struct MdDispatch
{
  MdTuning tuning;
  bool serving;
  bool suspended;
  int64_t cut_ms; /* wall clock, 0 none */
  MdPoolPolicy pool;

  MdJob **buckets; /* n_buckets, a power of two */
  size_t n_buckets;
  size_t n_jobs;              /* in the table */
  MdJob *ended;               /* oldest ended job still known */
  MdJob *ended_tail;          /* latest ended job */
  MdJob *unreleased;          /* oldest ended job whose answers are kept */
  MdHeap by_deadline;         /* MdActiveJob of open jobs by deadline */
  uint32_t open_jobs;         /* unfinished */
  uint64_t last_serial;       /* of the last submission */
  uint64_t last_cancellation; /* number of the last cancellation */

  MdDispatchGuard **guards;
  uint32_t n_guards;
  uint32_t cap_guards;
  uint32_t n_ejected;
  MdRemovedGuard *removed_guards;
  uint32_t n_removed_guards;
  uint32_t cap_removed_guards;
  double capacity;               /* work per microsecond of all guards in use */
  double fastest_speed;          /* highest learned speed */
  uint32_t answers_until_update; /* answers until capacity is computed again */
  MdTime shortest_run;           /* shortest run time seen, 0 none */

  MdCustomer **customers;
  uint32_t n_customers;
  uint32_t cap_customers;
  MdFairQueue fair_queue;
  uint32_t waiting_tasks;
  uint32_t running_tasks; /* tasks SENT of all customers */
  MdTask *requeued;       /* tasks to place again, oldest first */
  MdTask *requeued_tail;

  MdCorrection pool_correction; /* correction of all customers together */
  MdAnswerCounts answer_counts;
  MdRetryBudget retry_budget;

  MdDispatchDecision *decisions; /* ring of decisions not yet taken */
  uint32_t first_decision;
  uint32_t n_decisions;
  uint32_t cap_decisions;
  uint64_t starts;
  uint64_t retries;
};

/* jobs.c */
MdJob *md_job_find (const MdDispatch *d, MdKey key);
MdJob *md_job_new (MdDispatch *d, MdKey key, MdKey fingerprint, uint32_t n_tasks, void *cookie,
                   MdTime now);
MdOutcome md_job_outcome (const MdJob *job);
void md_job_end (MdDispatch *d, MdJob *job, MdJobState state, MdReason reason, MdOutcome outcome,
                 uint32_t task, uint64_t guard, MdTime now);
void md_job_fail (MdDispatch *d, MdJob *job, MdReason reason, uint32_t task, uint64_t guard,
                  MdTime now);
void md_job_replace (MdDispatch *d, MdJob *job);
void md_job_expire (MdDispatch *d, MdTime now);
void md_job_table_clear (MdDispatch *d);
MdDispatchDecision *md_decision_push (MdDispatch *d, MdDispatchKind kind, const MdJob *job);
void md_task_sent (MdDispatch *d, MdTask *task, MdDispatchGuard *guard);
void md_task_detach (MdDispatch *d, MdTask *task, MdTime now);
/* md_task_record_result: an attempt ended; true when the answer is to be kept. */
/* md_task_record_refusal: the guard refused the task and will never run it. */
void md_task_record_refusal (MdTask *task, uint64_t guard);
bool md_task_record_result (MdDispatch *d, MdTask *task, MdTaskResult result, MdReason reason,
                            MdTime run, MdTime now);
void md_requeued_remove (MdDispatch *d, MdTask *task);

static inline uint32_t
md_task_index (const MdTask *task)
{
  return (uint32_t)(task - task->active->tasks);
}

/* guards.c */
MdDispatchGuard *md_guard_find (const MdDispatch *d, uint64_t id);
void md_guard_record_success (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, MdTime run,
                              MdTime now);
void md_guard_record_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task,
                              bool infrastructure, MdTime now);
void md_guard_record_refusal (MdDispatch *d, MdDispatchGuard *guard, MdReason reason, MdTime now);
void md_guards_update_capacity (MdDispatch *d);
/* md_guard_stalled: busy, but silent for longer than its tasks should take. */
bool md_guard_stalled (const MdDispatchGuard *guard, MdTime now);
uint32_t md_guard_slots (const MdDispatch *d, const MdDispatchGuard *guard);
MdTime md_guards_next_wake (const MdDispatch *d, MdTime now);
bool md_worker_resources_fit (const MdWorkerResources *need, const MdWorkerResources *has);
/* place.c */
/* md_place_next: choose the next start; false when nothing can be placed. */
bool md_place_next (MdDispatch *d, MdTime now, MdDispatchDecision *out);

/* dispatch.c */
MdCustomer *md_customer_get (MdDispatch *d, MdStr name);
/* md_job_apply_spec: take over what the submission says of the tasks. */
void md_job_apply_spec (MdDispatch *d, MdJob *job, const MdJobSpec *spec, MdTime now);
/* md_job_enqueue: queue the tasks that are in state WAITING. */
void md_job_enqueue (MdDispatch *d, MdJob *job);

/* recover.c */
/* md_recover_end_job: end a recovered job that its records decide. */
void md_recover_end_job (MdDispatch *d, MdJob *job, MdTime now);
/* md_recover_merge: a submission arrived for a job known from records only;
   fresh: tasks without a record provably never started. */
void md_recover_merge (MdDispatch *d, MdJob *job, const MdJobSpec *spec, bool fresh, MdTime now);

#endif
