/* dispatch-private.h -- declarations shared by the files of the dispatch core

   dispatch.c contains the public functions, jobs.c the submission table and the
   life cycle of jobs and tasks, guards.c the table of guards, place.c the choice
   of the next task and its guard, and recover.c the recovery from records of an
   earlier owner. queue.c, estimate.c, health.c, limits.c and retry.c implement the
   policies. The policies do not depend on how a submission is processed and have
   unit tests of their own. */

#ifndef MD_DISPATCH_PRIVATE_H
#define MD_DISPATCH_PRIVATE_H

#include "estimate.h"
#include "md-base.h"

/* ------------------------------------------------------------------ */
/* Binary heap (queue.c)                                              */

/* A binary heap of pointers, which it does not own. Each item stores its own
   position (index + 1, 0 when it is not in the heap) at a fixed offset, so that it
   can be updated or removed in O(log n). */
typedef struct
{
  void **items;                                  /* n entries; the first is the minimum */
  uint32_t n;                                    /* entries in use */
  uint32_t cap;                                  /* entries allocated */
  size_t position_offset;                        /* bytes from an item to its uint32_t position */
  bool (*before) (const void *a, const void *b); /* strict order */
} MdHeap;

/* md_heap_init: makes an empty heap. position_offset is the offset of the uint32_t
   position in an item. */
void md_heap_init (MdHeap *heap, size_t position_offset,
                   bool (*before) (const void *, const void *));
/* md_heap_clear: frees the array of pointers, not the items. */
void md_heap_clear (MdHeap *heap);
void md_heap_push (MdHeap *heap, void *item);
/* md_heap_update: restores the order after the key of an item has changed; does
   nothing when the item is not in the heap. */
void md_heap_update (MdHeap *heap, void *item);
/* md_heap_remove: does nothing when the item is not in the heap. */
void md_heap_remove (MdHeap *heap, void *item);
/* md_heap_top: returns the first item without removing it, NULL when empty. */
void *md_heap_top (const MdHeap *heap);

/* md_array_reserve: returns the array enlarged to at least n items of size bytes
   and updates *cap. The capacity at least doubles. Aborts when memory runs out,
   because a dispatcher that cannot record a start must not continue. */
void *md_array_reserve (void *items, uint32_t *cap, uint32_t n, size_t size);

/* ------------------------------------------------------------------ */
/* Health (health.c)                                                  */

/* Exponentially decaying counts of answers; the half-life is
   ANSWER_COUNTS_HALF_LIFE_US. */
typedef struct
{
  double successes;
  double failures;
  MdTime updated_at; /* time up to which the decay has been applied */
} MdAnswerCounts;

typedef struct
{
  double concurrency_limit;         /* tasks at a time, between 1 and the slots */
  double log_slowdown;              /* average of ln (actual / expected run time) */
  uint32_t consecutive_failures;    /* 0 after a success; not counted while ejected */
  uint32_t successful_trials;       /* consecutive, since the ejection */
  uint32_t answers_since_reduction; /* answers since concurrency_limit was last reduced */
  MdAnswerCounts answer_counts;     /* answers of this guard */
  bool suspect;                     /* several failures in a row; runs one task at a time */
  bool ejected;                     /* receives only trial tasks */
  MdTime trial_interval;            /* delay before the next trial, doubled by a failed one */
  MdTime next_trial_at;             /* no trial task before this time */
  MdTime ejected_at;                /* valid while ejected */
} MdHealth;

typedef enum
{
  MD_HEALTH_UNCHANGED,
  MD_HEALTH_EJECT,  /* eject it, unless too many guards are ejected already */
  MD_HEALTH_READMIT /* enough trial tasks have succeeded */
} MdHealthChange;

void md_answer_counts_add (MdAnswerCounts *counts, bool good, MdTime now);
/* md_answer_counts_good_elsewhere: returns whether the answers in all that are not
   in own, the counts of one guard, contain more than twice as many successes as
   failures. */
bool md_answer_counts_good_elsewhere (const MdAnswerCounts *all, const MdAnswerCounts *own,
                                      MdTime now);

void md_health_init (MdHealth *health, uint32_t slots);
/* md_health_record_success: records a complete answer. log_slowdown is the natural
   logarithm of the actual over the expected run time. */
MdHealthChange md_health_record_success (MdHealth *health, uint32_t slots, double log_slowdown,
                                         const MdTuning *tuning, MdTime now);
/* md_health_record_failure: records a failure that is attributed to the guard.
   good_elsewhere is the result of md_answer_counts_good_elsewhere. */
MdHealthChange md_health_record_failure (MdHealth *health, bool good_elsewhere,
                                         const MdTuning *tuning, MdTime now);
/* md_health_undo_failure: takes back one counted failure that turned out to be the
   task's own. */
void md_health_undo_failure (MdHealth *health);
void md_health_eject (MdHealth *health, const MdTuning *tuning, MdTime now);
void md_health_readmit (MdHealth *health, uint32_t slots);
/* md_health_concurrency: returns the number of tasks that may run at a time now. */
uint32_t md_health_concurrency (const MdHealth *health, uint32_t slots, MdTime now);
/* md_health_max_ejected: returns how many of this many guards may be ejected at
   the same time. */
uint32_t md_health_max_ejected (uint32_t guards, const MdTuning *tuning);

/* ------------------------------------------------------------------ */
/* Limits (limits.c)                                                  */

/* Token bucket of a customer's slot quota. The tokens are microseconds of slot
   time. */
typedef struct
{
  double balance;    /* negative when more was charged than the quota has earned */
  MdTime updated_at; /* time up to which the quota has been credited */
} MdTokenBucket;

/* md_token_bucket_ready: credits the quota of slots slots up to now. Returns now
   when a task may start, otherwise the earliest time at which it may. A quota of
   0 is unlimited. */
MdTime md_token_bucket_ready (MdTokenBucket *bucket, double slots, MdTime now);
/* md_token_bucket_charge: slot_time is in microseconds; negative values are
   refunds. */
void md_token_bucket_charge (MdTokenBucket *bucket, double slot_time);

#define MD_DEMAND_BUCKETS 1024                 /* of a second each; longer than the horizon */
#define MD_DEMAND_BUCKET_WIDTH (1 * MD_SECOND) /* deadlines in one bucket count as equal */

/* Waiting work of a customer by deadline. */
typedef struct
{
  double work[MD_DEMAND_BUCKETS]; /* microseconds at speed 1; ring indexed by deadline */
} MdDeadlineDemand;

/* md_demand_bucket: returns the index in the ring for a deadline. Later
   deadlines than the ring covers are counted at its end. */
uint32_t md_demand_bucket (MdTime deadline, MdTime now);
/* md_demand_excess: tests whether new_work with this deadline fits in. For each
   deadline from the new one on, the time that the work due by then takes at rate
   is compared with the time that admission allows for it. Returns the largest
   excess in microseconds, 0 when the new work fits in. */
MdTime md_demand_excess (const MdDeadlineDemand *demand, MdTime deadline, MdTime now,
                         double new_work, double rate);

/* Input of the admission test of a submission. */
typedef struct
{
  uint32_t new_tasks;      /* tasks of the submission */
  uint32_t queued_tasks;   /* waiting tasks of the shard */
  uint32_t max_queue;      /* bound of queued_tasks */
  uint32_t customer_tasks; /* waiting tasks of the customer */
  uint32_t queue_quota;    /* bound of customer_tasks, 0 unlimited */
  double customer_work;    /* waiting work of the customer, microseconds at speed 1 */
  double rate;             /* work per microsecond that the customer can expect */
  MdTime demand_excess;    /* see md_demand_excess */
  MdTime time_left;        /* until the deadline */
  MdTime shortest_run;     /* shortest run time of any task so far, 0 none */
} MdAdmissionLoad;

/* md_limits_check: returns MD_REASON_NONE or the reason for which the submission
   is refused. *retry_after is the delay before another attempt makes sense, 0 when
   it would not help. */
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
  MD_TASK_STATE_SENT,    /* started at a guard, no answer yet */
  MD_TASK_STATE_DONE,    /* succeeded */
  MD_TASK_STATE_FAILED,  /* ran and failed, or its answer is no longer kept */
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
  MdActiveJob *active;    /* job of the task, which owns the task */
  MdDispatchGuard *guard; /* valid while SENT */
  MdTask *prev;           /* link in MdDispatchGuard.tasks or MdDispatch.requeued */
  MdTask *next;           /* likewise */
  double size;            /* estimated run time at speed 1, microseconds */
  double charge;          /* slot time charged at the start, microseconds */
  MdTime declared;        /* run time declared by the caller, 0 unknown */
  MdTime sent_at;         /* time of the last start decision */
  uint32_t attempts;      /* starts so far */
  MdTaskState state;
  bool requeued; /* in the list MdDispatch.requeued */
  bool retry;    /* the next start is a retry after an unknown outcome */
  bool refused;  /* at least one guard refused it, see MdActiveJob.refusals */
};

/* A refusal of a task by a guard. The guard records it and refuses the task again,
   so the task is not sent there a second time. */
typedef struct
{
  uint32_t task;  /* index in the job */
  uint64_t guard; /* incarnation */
} MdRefusal;

/* Resources of a worker, or the least that a task needs. */
typedef struct
{
  uint32_t cores;
  uint32_t memory_mb; /* MiB */
  uint32_t accelerators;
} MdWorkerResources;

/* The part of a job that is needed until its answers are released and none of its
   tasks is running. */
struct MdActiveJob
{
  MdJob *job;
  MdCustomer *customer;       /* NULL for a recovered job without its submission */
  MdTask *tasks;              /* n_tasks entries, owned */
  uint32_t *order;            /* indices of waiting tasks, longest first; owned */
  uint32_t n_tasks;           /* tasks of the job */
  uint32_t n_order;           /* end of the waiting entries of order */
  uint32_t next_order;        /* first waiting entry of order */
  uint32_t n_sent;            /* tasks in state SENT */
  uint32_t n_unfinished;      /* tasks that are not DONE */
  uint32_t subqueue;          /* index in MdCustomer.subqueues */
  uint32_t demand_bucket;     /* index in MdCustomer.demand */
  MdWorkerResources need;     /* for each resource the largest need of any task */
  double waiting_work;        /* estimated work of the waiting tasks, microseconds */
  MdTime arrival;             /* time of submission */
  MdTime urgent_at;           /* from this time on the job precedes those by size */
  MdTime deadline;            /* absolute */
  uint64_t serial;            /* order of submission, breaks ties */
  uint32_t size_position;     /* position in MdSubqueue.by_size */
  uint32_t urgent_position;   /* position in MdSubqueue.by_urgency */
  uint32_t deadline_position; /* position in MdDispatch.by_deadline */
  uint64_t *holders;          /* guards that retain answers, n_holders entries, owned */
  uint32_t n_holders;
  uint32_t cap_holders;
  MdRefusal *refusals; /* n_refusals entries, owned */
  uint32_t n_refusals;
  uint32_t cap_refusals;
  bool any_ran;        /* at least one task is known to have started */
  bool any_unknown;    /* an earlier attempt may have started */
  bool single_request; /* a single request, not a job */
  bool repeatable;     /* may be retried after an unknown outcome */
};

/* The part of a job that is kept until the horizon. It is small, because there can
   be millions of them. */
struct MdJob
{
  MdKey key;
  MdKey fingerprint;
  void *cookie;          /* of the daemon, which may free it after a FORGET decision */
  MdJob *next_in_bucket; /* hash chain */
  MdJob *next_ended;     /* list of ended jobs, oldest first */
  MdActiveJob *active;   /* owned; NULL once released and without running tasks */
  uint64_t failed_guard; /* guard whose answer failed the job, 0 none */
  MdTime ended_at;       /* start of retention and horizon */
  uint32_t n_tasks;      /* of the submission, or as the first record states */
  MdJobState state;
  MdReason reason;   /* valid when it did not end DONE */
  MdOutcome outcome; /* valid when it did not end DONE */
  bool ever_sent;    /* a START was decided for at least one task */
  bool submitted;    /* the submission is known, not only records */
  bool released;     /* the guards were notified that they may free its answers */
  bool replaced;     /* a resubmission replaced it; no longer in the table */
};

struct MdDispatchGuard
{
  uint64_t id;                 /* incarnation */
  char *name;                  /* owned */
  MdWorkerResources resources; /* of the worker */
  uint32_t slots;              /* offered by the guard, before MdPoolPolicy.guard_slots */
  MdTime delay;                /* one-way network delay, 0 unknown */
  MdTask *tasks;               /* list of the tasks SENT to this guard */
  uint32_t busy;               /* length of tasks */
  bool paused;                 /* the link is down */
  bool leaving;                /* gets no new tasks; never reset */
  bool lost;                   /* being removed */
  MdTime backoff_until;        /* no starts before this time, after a refusal */
  MdTime backoff;              /* length of the last such pause, doubles until a success */
  MdTime last_answer_at;       /* last answer, or start of the first task after being idle */
  uint64_t last_cancellation;  /* number of the last cancellation sent to this guard */
  MdSpeed speed;
  double relative_speed; /* learned speed as a factor, exp (speed.log_speed) */
  MdHealth health;
};

/* Waiting jobs of one customer that need the same resources. */
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
  MdSubqueue *subqueues; /* n_subqueues entries, owned */
  uint32_t n_subqueues;
  uint32_t cap_subqueues;
  uint32_t waiting_tasks;     /* in all subqueues */
  double waiting_work;        /* estimated work of these tasks, microseconds */
  MdDeadlineDemand *demand;   /* the same work by deadline, owned */
  MdTime over_quota_since;    /* first blocked by its slot quota, reset when no task waits, 0 not */
  uint32_t running_tasks;     /* tasks SENT */
  double start_tag;           /* virtual time of the next start, weighted slot time */
  double rank;                /* start_tag, or least waiting work without fair sharing */
  uint32_t ready_position;    /* position in MdFairQueue.ready */
  uint32_t blocked_position;  /* position in MdFairQueue.blocked */
  MdTime blocked_until;       /* valid while in MdFairQueue.blocked */
  MdCustomer *next_skipped;   /* list used while a start is chosen */
  MdTokenBucket quota_bucket; /* slot quota */
  MdCorrection correction;    /* of declared run times */
  MdAnswerCounts answer_counts; /* answers to this customer's tasks */
};

/* Start-time fair queue of customers. */
typedef struct
{
  MdHeap ready;        /* MdCustomer with waiting work, by rank */
  MdHeap blocked;      /* MdCustomer over their slot quota, by blocked_until */
  double virtual_time; /* highest start tag of any started task */
  double total_weight; /* of customers with waiting work */
  double ready_work;   /* waiting work of customers whose over_quota_since is 0, microseconds */
  bool fair_sharing;   /* false: order customers by their smallest job */
} MdFairQueue;

void md_fair_queue_init (MdFairQueue *queue);
void md_fair_queue_clear (MdFairQueue *queue);

/* md_queue_add: adds a job with waiting tasks to the queue of its customer. */
void md_queue_add (MdFairQueue *queue, MdActiveJob *active);
/* md_queue_remove: removes a job with all its waiting tasks; does nothing when it
   is not queued. */
void md_queue_remove (MdFairQueue *queue, MdActiveJob *active);
/* md_queue_start_task: removes the longest waiting task of a job, or the shortest
   one if last is set, and charges slot_time microseconds to the customer. */
void md_queue_start_task (MdFairQueue *queue, MdActiveJob *active, bool last, double slot_time);
/* md_queue_best: returns the first job of a subqueue, NULL when it is empty. */
MdActiveJob *md_queue_best (const MdSubqueue *subqueue, MdTime now);
/* md_queue_charge: adds slot_time microseconds to what the customer has used;
   negative values are refunds. */
void md_queue_charge (MdFairQueue *queue, MdCustomer *customer, double slot_time);
/* md_queue_unblock_due: unblocks the customers whose blocked_until has passed. */
void md_queue_unblock_due (MdFairQueue *queue, MdTime now);
void md_queue_unblock (MdFairQueue *queue, MdCustomer *customer);
/* md_queue_block: excludes a customer over its slot quota until this time;
   INT64_MAX means until one of its tasks ends. */
void md_queue_block (MdFairQueue *queue, MdCustomer *customer, MdTime until, MdTime now);
/* md_queue_update_rank: computes the rank again and restores the order. */
void md_queue_update_rank (MdFairQueue *queue, MdCustomer *customer);
void md_customer_free (MdCustomer *customer);

/* A removed guard. Its speed is used again if a guard of this name registers, and
   its resources count when a submission is tested for being too large. */
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
  int64_t cut_ms; /* wall clock, see md_dispatch_serve; 0 none */
  MdPoolPolicy pool;

  MdJob **buckets;            /* hash table of jobs by key, n_buckets chains */
  size_t n_buckets;           /* a power of two, or 0 */
  size_t n_jobs;              /* jobs in the table */
  MdJob *ended;               /* oldest ended job that is still remembered */
  MdJob *ended_tail;          /* latest ended job */
  MdJob *unreleased;          /* oldest ended job whose answers are retained */
  MdHeap by_deadline;         /* MdActiveJob of open jobs */
  uint32_t open_jobs;         /* unfinished jobs */
  uint64_t last_serial;       /* serial of the last submission */
  uint64_t last_cancellation; /* number of the last cancellation */

  MdDispatchGuard **guards; /* n_guards entries, owned */
  uint32_t n_guards;
  uint32_t cap_guards;
  uint32_t n_ejected;
  MdRemovedGuard *removed_guards; /* n_removed_guards entries, owned */
  uint32_t n_removed_guards;
  uint32_t cap_removed_guards;
  double capacity;               /* work per microsecond of all guards in use */
  double fastest_speed;          /* highest learned speed of these guards */
  uint32_t answers_until_update; /* answers until both are computed again */
  MdTime shortest_run;           /* shortest run time of any task so far, 0 none */

  MdCustomer **customers; /* n_customers entries sorted by name, owned */
  uint32_t n_customers;
  uint32_t cap_customers;
  MdFairQueue fair_queue;
  uint32_t waiting_tasks; /* of all customers, including requeued tasks */
  uint32_t running_tasks; /* tasks SENT of all customers */
  MdTask *requeued;       /* tasks to start again, oldest first */
  MdTask *requeued_tail;

  MdCorrection pool_correction; /* learned from the tasks of all customers */
  MdAnswerCounts answer_counts; /* answers of all guards */
  MdRetryBudget retry_budget;

  MdDispatchDecision *decisions; /* ring of pending decisions, owned */
  uint32_t first_decision;       /* index of the oldest */
  uint32_t n_decisions;
  uint32_t cap_decisions;
  uint64_t starts;  /* START decisions so far */
  uint64_t retries; /* of these, retries */
};

/* jobs.c */
/* md_job_find: returns the job with this key, NULL when there is none. */
MdJob *md_job_find (const MdDispatch *d, MdKey key);
/* md_job_new: adds an open job of n_tasks tasks to the table. Until the submission
   is known, its deadline is the horizon. Returns NULL when memory runs out. */
MdJob *md_job_new (MdDispatch *d, MdKey key, MdKey fingerprint, uint32_t n_tasks, void *cookie,
                   MdTime now);
/* md_job_outcome: returns what is known about the execution of an open job's
   tasks. */
MdOutcome md_job_outcome (const MdJob *job);
/* md_job_end: ends an open job, drops its waiting tasks, cancels its running ones
   and adds the FINISH decision. task and guard name what decided a failure, 0 none. */
void md_job_end (MdDispatch *d, MdJob *job, MdJobState state, MdReason reason, MdOutcome outcome,
                 uint32_t task, uint64_t guard, MdTime now);
/* md_job_fail: md_job_end with the state FAILED and the present outcome. */
void md_job_fail (MdDispatch *d, MdJob *job, MdReason reason, uint32_t task, uint64_t guard,
                  MdTime now);
/* md_job_replace: removes an ended job from the table, so that a resubmission with
   its key runs as a new job. Only for jobs of which no task was ever sent. */
void md_job_replace (MdDispatch *d, MdJob *job);
/* md_job_expire: releases answers after the retention and forgets jobs after the
   horizon. */
void md_job_expire (MdDispatch *d, MdTime now);
void md_job_table_clear (MdDispatch *d);
/* md_task_sent: sets the state to SENT and adds the task to the guard's list. */
void md_task_sent (MdDispatch *d, MdTask *task, MdDispatchGuard *guard);
/* md_task_detach: frees the slot of an attempt that has ended and charges its
   actual slot time to the customer. The caller sets the new state. */
void md_task_detach (MdDispatch *d, MdTask *task, MdTime now);
/* md_task_record_refusal: records that the guard refused the task and will never
   run it. */
void md_task_record_refusal (MdTask *task, uint64_t guard);

/* md_task_requeue: puts a task that did not start into the list that is placed before the queue.
   There a task that some guards have refused holds up no other, and fails its job at once when no
   guard is left. */
void md_task_requeue (MdDispatch *d, MdTask *task);
/* md_task_record_result: records the end of an attempt. Returns true when the
   answer is to be kept. */
bool md_task_record_result (MdDispatch *d, MdTask *task, MdTaskResult result, MdReason reason,
                            MdTime run, MdTime now);
/* md_requeued_remove: removes a task from the list of tasks to start again; does
   nothing when it is not in the list. */
void md_requeued_remove (MdDispatch *d, MdTask *task);

static inline uint32_t
md_task_index (const MdTask *task)
{
  return (uint32_t)(task - task->active->tasks);
}

/* decisions.c */
/* md_decision_push: appends a zeroed decision to the ring. job may be NULL. The
   pointer is valid until the next call. */
MdDispatchDecision *md_decision_push (MdDispatch *d, MdDispatchKind kind, const MdJob *job);

/* guards.c */
MdDispatchGuard *md_guard_find (const MdDispatch *d, uint64_t id);
/* md_guard_record_success: updates speed, correction and health after a complete
   answer. run is the run time in microseconds, 0 unknown. */
void md_guard_record_success (MdDispatch *d, MdDispatchGuard *guard, MdTask *task, MdTime run,
                              MdTime now);
/* md_guard_record_failure: updates health after a failed attempt. infrastructure
   is set when the upstream broke off or timed out, which is never attributed to
   the task. */
void md_guard_record_failure (MdDispatch *d, MdDispatchGuard *guard, MdTask *task,
                              bool infrastructure, MdTime now);
/* md_guard_record_refusal: starts a backoff of the guard, unless the reason concerns
   only the task. */
void md_guard_record_refusal (MdDispatch *d, MdDispatchGuard *guard, MdReason reason, MdTime now);
/* md_guard_readmit: ends the ejection of a guard. */
void md_guard_readmit (MdDispatch *d, MdDispatchGuard *guard);
/* md_guards_update_capacity: computes the capacity and the highest speed again. */
void md_guards_update_capacity (MdDispatch *d);
/* md_guard_stalled: returns whether the guard has tasks but has not answered for
   STALL_TIMEOUT, which is longer than its tasks should take. */
bool md_guard_stalled (const MdDispatchGuard *guard, MdTime now);
/* md_guard_slots: returns the slots of the guard, at most those the pool allows. */
uint32_t md_guard_slots (const MdDispatch *d, const MdDispatchGuard *guard);
/* md_guards_next_wake: returns the next time at which the passage of time alone may
   allow a start, INT64_MAX when there is none. */
MdTime md_guards_next_wake (const MdDispatch *d, MdTime now);
bool md_worker_resources_fit (const MdWorkerResources *need, const MdWorkerResources *has);
/* place.c */
/* md_place_next: chooses the next start. Returns false when no task can be placed. */
bool md_place_next (MdDispatch *d, MdTime now, MdDispatchDecision *out);

/* enqueue.c */
/* md_customer_get: returns the customer with this name, which is created if it does
   not exist. Aborts when memory runs out. */
MdCustomer *md_customer_get (MdDispatch *d, MdStr name);
/* md_job_apply_spec: copies customer, deadline and tasks of a submission into the
   job and estimates its work. */
void md_job_apply_spec (MdDispatch *d, MdJob *job, const MdJobSpec *spec, MdTime now);
/* md_job_enqueue: queues the tasks that are in state WAITING. */
void md_job_enqueue (MdDispatch *d, MdJob *job);
/* md_customer_rate: returns the work per microsecond that a customer gets while all other customers
   with waiting work use their shares. */
double md_customer_rate (const MdDispatch *d, const MdCustomer *customer);
/* md_worker_resources_raise: raises what a job needs to the needs of a task. */
void md_worker_resources_raise (MdWorkerResources *need, const MdTaskSpec *task);

/* recover.c */
/* md_recover_end_job: ends a recovered job if its records are sufficient to decide
   the result. */
void md_recover_end_job (MdDispatch *d, MdJob *job, MdTime now);
/* md_recover_merge: merges a submission with a job that is known from records only.
   fresh means that tasks without a record provably never started. */
void md_recover_merge (MdDispatch *d, MdJob *job, const MdJobSpec *spec, bool fresh, MdTime now);

#endif
