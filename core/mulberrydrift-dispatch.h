/* mulberrydrift-dispatch.h -- queue, submission table and retry budget of one shard

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_DISPATCH_H
#define MULBERRYDRIFT_DISPATCH_H

#include "mulberrydrift-ledger.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* ------------------------------------------------------------------ */
  /* Dispatch: queue and submission table of one shard (dispatch.c)     */

  typedef struct MdDispatch MdDispatch;

  typedef struct
  {
    MdTime declared;       /* run time declared by the caller at speed 1, 0 unknown */
    uint32_t cores;        /* cores needed, 0 any */
    uint32_t memory_mb;    /* memory needed, MiB, 0 any */
    uint32_t accelerators; /* accelerators needed */
  } MdTaskSpec;

  typedef struct
  {
    MdKey key;               /* customer, pool and submission id */
    MdKey fingerprint;       /* xxh128 of everything that is to run */
    MdStr customer;          /* customer name */
    const MdTaskSpec *tasks; /* n_tasks entries */
    uint32_t n_tasks;        /* at least 1 */
    MdTime deadline;         /* absolute; an open job fails at this time */
    int64_t submitted_ms;    /* wall clock of the first submission, 0 unknown */
    bool single_request;     /* a single request, not a job */
    bool repeatable;         /* may be retried after an unknown outcome */
    void *cookie;            /* of the caller, returned in decisions */
  } MdJobSpec;

  typedef enum
  {
    MD_ADMIT_QUEUED,   /* new; decisions follow */
    MD_ADMIT_ATTACHED, /* known and unfinished; a FINISH decision follows */
    MD_ADMIT_REPLAY,   /* ended; the cookie of the first submission has the answers */
    MD_ADMIT_REFUSED,  /* see reason and outcome */
  } MdAdmitKind;

  typedef struct
  {
    MdAdmitKind kind;
    MdReason reason;    /* for refusals and for replays of failed jobs */
    MdOutcome outcome;  /* for refusals and for replays of failed jobs */
    MdTime retry_after; /* delay before submitting again, 0 when it would not help */
    bool done;          /* for replays: every task succeeded and the answers are still kept */
    void *cookie;       /* for attached and replayed submissions: cookie of the known job */
  } MdAdmission;

  typedef struct
  {
    uint64_t id;           /* incarnation of the guard */
    MdStr name;            /* upstream name */
    MdStr failure_domain;  /* failure domain of the worker */
    uint32_t slots;        /* tasks that it runs at a time */
    uint32_t cores;        /* of the worker */
    uint32_t memory_mb;    /* of the worker, MiB */
    uint32_t accelerators; /* of the worker */
    MdTime delay;          /* one-way network delay from this entry, 0 unknown */
  } MdGuardInfo;

  /* Result of an attempt to run a task. */
  typedef enum
  {
    MD_TASK_OK,      /* complete answer that reports success */
    MD_TASK_FAILED,  /* complete answer that reports a failure */
    MD_TASK_BROKEN,  /* started; the upstream broke off or timed out */
    MD_TASK_NOT_RUN, /* provably not started, and never will be */
    MD_TASK_UNKNOWN, /* may have started */
  } MdTaskResult;

  typedef enum
  {
    MD_JOB_DONE,      /* every task succeeded */
    MD_JOB_FAILED,    /* see reason and outcome */
    MD_JOB_CANCELLED, /* cancelled by its caller */
  } MdJobEnd;

  typedef enum
  {
    MD_DISPATCH_START,   /* send this task to this guard */
    MD_DISPATCH_FINISH,  /* send the result to the callers of this job */
    MD_DISPATCH_CANCEL,  /* send a cancellation of this job to this guard */
    MD_DISPATCH_RELEASE, /* notify this guard that it may free the answers of this job */
    MD_DISPATCH_FORGET,  /* free the cookie; the core no longer refers to it */
    MD_DISPATCH_REPORT,  /* a request was late or lost; for the customer's report */
    MD_DISPATCH_HEALTH,  /* a guard was ejected or readmitted */
  } MdDispatchKind;

  typedef struct
  {
    MdDispatchKind kind; /* selects the member of the union */
    MdKey key;           /* of the job, unset for HEALTH */
    void *cookie;        /* of the job, NULL for HEALTH */
    union
    {
      struct
      {
        uint64_t guard;        /* chosen guard */
        uint32_t task;         /* index in the job */
        uint32_t attempt;      /* 1 for the first */
        MdReason reason;       /* reason for the choice of the guard */
        uint32_t alternatives; /* guards with a free slot that could run the task */
        MdTime time_left;      /* until the job's deadline */
      } start;
      struct
      {
        MdJobEnd end;
        MdReason reason;   /* when not done */
        MdOutcome outcome; /* when not done */
        uint32_t task;     /* task that failed the job, 0 also when none did */
        uint64_t guard;    /* guard whose attempt failed the job, 0 none */
      } finish;
      struct
      {
        uint64_t guard; /* guard that runs tasks of the job */
      } cancel;
      struct
      {
        uint64_t guard; /* guard that retains answers of the job */
      } release;
      struct
      {
        MdStr customer;  /* customer that gets the report */
        bool lost;       /* true when lost, false when late */
        uint32_t task;   /* task that failed the job, 0 also when none did */
        uint64_t guard;  /* guard whose attempt failed the job, 0 none */
        MdReason reason; /* reason of the failure */
        MdTime lateness; /* time since the deadline, 0 when lost */
      } report;
      struct
      {
        uint64_t guard; /* guard whose state changed */
        bool usable;    /* false when it was ejected */
        bool probation; /* gets one trial task at a time */
      } health;
    } u;
  } MdDispatchDecision;

  typedef struct
  {
    uint32_t max_queue;   /* most waiting tasks, 0 for MdTuning.max_queued_tasks */
    uint32_t guard_slots; /* most slots used per guard, 0 unlimited */
    bool unshared;        /* true to disable fair sharing between customers */
  } MdPoolPolicy;

  typedef struct
  {
    double weight;        /* share of slots relative to other customers, default 1 */
    double slot_quota;    /* slots in use at a time, 0 unlimited; may be fractional */
    uint32_t queue_quota; /* most waiting tasks, 0 unlimited */
  } MdCustomerPolicy;

  typedef struct
  {
    uint32_t guards;        /* attached guards */
    uint32_t slots;         /* their slots */
    uint32_t busy;          /* slots in use */
    uint32_t ejected;       /* guards ejected */
    uint32_t leaving;       /* guards leaving */
    uint32_t jobs;          /* unfinished jobs */
    uint32_t waiting_tasks; /* queued tasks */
    uint64_t starts;        /* START decisions so far */
    uint64_t retries;       /* of these, retries */
  } MdDispatchStats;

  /* md_dispatch_new: creates a queue without guards. Until md_dispatch_serve is called,
   new submissions are refused with MD_REASON_NOT_OWNER. */
  MdDispatch *md_dispatch_new (const MdTuning *tuning);
  void md_dispatch_free (MdDispatch *dispatch);

  /* md_dispatch_serve: starts serving, after recovery is complete. cut_ms is the
   wall-clock time before which a submission may have started at a guard whose
   records were lost, 0 when no records were lost. The function is called again with
   an earlier cut when missing guards have returned their records. */
  void md_dispatch_serve (MdDispatch *dispatch, int64_t cut_ms, MdTime now);

  /* md_dispatch_suspend: stops placing tasks and accepting new submissions until the
   next md_dispatch_serve. Queued tasks are kept. */
  void md_dispatch_suspend (MdDispatch *dispatch, MdTime now);

  /* md_dispatch_set_pool, md_dispatch_set_customer: replace a policy. It is copied. A
   weight that is not positive counts as 1. */
  void md_dispatch_set_pool (MdDispatch *dispatch, const MdPoolPolicy *policy);
  void md_dispatch_set_customer (MdDispatch *dispatch, MdStr customer,
                                 const MdCustomerPolicy *policy);

  /* md_dispatch_submit: admits, attaches, replays or refuses a submission. The cookie
   of the spec is kept only when the result is MD_ADMIT_QUEUED, until the FORGET
   decision of the job. wall_ms is the current wall-clock time. */
  void md_dispatch_submit (MdDispatch *dispatch, const MdJobSpec *spec, MdTime now, int64_t wall_ms,
                           MdAdmission *admission);

  /* md_dispatch_recover: applies a record that a guard returned when it was attached.
   Returns the cookie of the job; make_cookie is called for a job that is not known
   yet. A later submission with the same key is merged with the records. */
  void *md_dispatch_recover (MdDispatch *dispatch, const MdRecord *record,
                             void *(*make_cookie) (void *user, const MdRecord *record), void *user,
                             MdTime now);

  /* md_dispatch_cancel: cancels a job. A job that has ended is not changed. Returns
   MD_OK, or MD_E_NOT_FOUND when the key is unknown. */
  int md_dispatch_cancel (MdDispatch *dispatch, MdKey key, MdTime now);

  /* md_dispatch_guard_up: adds a guard, or updates a known one and ends its pause.
   Returns MD_OK, MD_E_INVALID for an incarnation or slots of 0, or MD_E_MEMORY. */
  int md_dispatch_guard_up (MdDispatch *dispatch, const MdGuardInfo *info, MdTime now);

  /* md_dispatch_guard_pause: while paused, because its link is down, the guard gets no
   new tasks; its attempts are kept. */
  void md_dispatch_guard_pause (MdDispatch *dispatch, uint64_t guard, bool paused, MdTime now);

  /* md_dispatch_guard_leaving: the guard gets no new tasks; its running tasks are
   awaited. */
  void md_dispatch_guard_leaving (MdDispatch *dispatch, uint64_t guard, MdTime now);

  /* md_dispatch_guard_lost: removes a guard. The outcome of its attempts is unknown. */
  void md_dispatch_guard_lost (MdDispatch *dispatch, uint64_t guard, MdTime now);

  /* md_dispatch_answer: records the result of an attempt. run is the run time at the
   upstream, 0 unknown. Returns true when this is the first answer of the task, so
   that the caller keeps the body, and false for a late or duplicate answer or a task
   that did not run, whose body is dropped. */
  bool md_dispatch_answer (MdDispatch *dispatch, uint64_t guard, MdKey key, uint32_t task,
                           MdTaskResult result, MdReason reason, MdTime run, MdTime now);

  /* md_dispatch_next: stores the next decision. To be called after every input until it
   returns false. */
  bool md_dispatch_next (MdDispatch *dispatch, MdTime now, MdDispatchDecision *decision);

  /* md_dispatch_tick: processes deadlines and the ends of retention and horizon. Returns
   the time at which it is to be called again, which is also followed by
   md_dispatch_next, because a backoff or the delay before a trial may have ended. */
  MdTime md_dispatch_tick (MdDispatch *dispatch, MdTime now);

  void md_dispatch_stats (const MdDispatch *dispatch, MdDispatchStats *stats);

  /* md_dispatch_dump: writes the state in a canonical text form to out, at most size
   bytes including the terminating zero, and returns the length without it. For
   replays and tests. */
  size_t md_dispatch_dump (const MdDispatch *dispatch, char *out, size_t size);

  /* ------------------------------------------------------------------ */
  /* Retry budget (retry.c)                                             */

  typedef struct
  {
    double tokens;  /* retries that may be made now, may be fractional */
    double deposit; /* tokens added for each first attempt */
    double burst;   /* most tokens held */
  } MdRetryBudget;

  /* md_retry_init: the budget starts full. */
  void md_retry_init (MdRetryBudget *budget, const MdTuning *tuning);
  void md_retry_deposit (MdRetryBudget *budget);
  /* md_retry_withdraw: withdraws one token. Returns false, without a withdrawal, when
   no retry may be made. */
  bool md_retry_withdraw (MdRetryBudget *budget);

#ifdef __cplusplus
}
#endif

#endif
