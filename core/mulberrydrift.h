/* mulberrydrift.h -- public interface of libmulberrydrift.a

   The library contains the coordination logic of the mulberrydrift dispatcher. It
   does no I/O, starts no thread, reads no clock and keeps no global state. The
   caller passes in time, random numbers and messages, and retrieves decisions to
   carry out.

   Conventions

   - MdTime is a monotonic time in microseconds. Wall-clock times are in
     milliseconds since the epoch and have the suffix _ms.
   - Functions that can fail return MD_OK (0) or a negative MD_E_ code. Functions
     that take an MdError * fill it in on failure; NULL is allowed.
   - An MdStr borrows its bytes; the callee copies what it keeps.
   - Objects are not thread-safe. The caller serializes all calls on one object.
   - Every object is created by md_X_new and freed by md_X_free, which accepts NULL.
     md_X_new returns NULL only when memory runs out.
   - md_X_next returns one pending decision at a time, and false when there is none.
     Pointers inside a decision are valid until the next call on the object. */

#ifndef MULBERRYDRIFT_H
#define MULBERRYDRIFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define MD_VERSION "0.7.0"

  /* ------------------------------------------------------------------ */
  /* Basic types                                                        */

  typedef int64_t MdTime; /* monotonic time or duration, microseconds */

#define MD_MS ((MdTime)1000)        /* microseconds in a millisecond */
#define MD_SECOND ((MdTime)1000000) /* microseconds in a second */

  /* A borrowed, length-counted string, which need not be terminated. */
  typedef struct
  {
    const char *data; /* may be NULL when len is 0 */
    size_t len;
  } MdStr;

  /* Identifies a submission: xxh128 of customer, pool and submission id. */
  typedef struct
  {
    uint64_t hi;
    uint64_t lo;
  } MdKey;

  /* Return codes. */
  enum
  {
    MD_OK = 0,
    MD_E_INVALID = -1,   /* an argument or input breaks the documented rules */
    MD_E_NOT_FOUND = -2, /* no such object */
    MD_E_EXISTS = -3,    /* the object exists already */
    MD_E_CONFLICT = -4,  /* expected version differs from the current one */
    MD_E_TOO_OLD = -5,   /* a version that is no longer kept */
    MD_E_LIMIT = -6,     /* a documented limit is reached */
    MD_E_MEMORY = -7,    /* out of memory */
    MD_E_IO = -8,        /* a system call or a peer failed */
    MD_E_TIMEOUT = -9,   /* no response within the given time */
    MD_E_DENIED = -10,   /* wrong or missing credentials */
  };

  /* Describes an error. The caller initializes it to zero; md_error_set fills it in once. */
  typedef struct
  {
    int code;         /* MD_E_ code, MD_OK when unset */
    char step[32];    /* step of the request path, e.g. "forward" */
    char peer[64];    /* name or address of the peer, empty when local */
    char detail[192]; /* human-readable description, one sentence */
  } MdError;

  /* Whether the work of a refused or failed submission was executed. */
  typedef enum
  {
    MD_OUTCOME_NOT_RUN, /* proven: no task started, and none will */
    MD_OUTCOME_RAN,     /* a task ran; its answer failed or is gone */
    MD_OUTCOME_UNKNOWN, /* a task may have started */
  } MdOutcome;

  /* Reasons for refusals, failures and placements. md_reason_name returns the
   machine-readable form that problem details and logs contain. */
  typedef enum
  {
    MD_REASON_NONE,
    /* refusals of a submission */
    MD_REASON_NO_POOL,     /* the pool is not declared */
    MD_REASON_NO_UPSTREAM, /* the pool has no usable upstream */
    MD_REASON_TOO_LARGE,   /* needs more than any worker has */
    MD_REASON_DEADLINE,    /* cannot meet its deadline */
    MD_REASON_QUEUE_FULL,  /* the shard's queue bound is reached */
    MD_REASON_QUOTA,       /* the customer's quota is used up */
    MD_REASON_KEY_REUSED,  /* same submission id with different content */
    MD_REASON_EXPIRED,     /* first submitted before the horizon */
    MD_REASON_UNPROVEN,    /* may have started where records were lost */
    MD_REASON_NOT_OWNER,   /* this entry does not own the shard */
    MD_REASON_LEAVING,     /* the node is leaving */
    MD_REASON_OVERLOAD,    /* no capacity to accept the request */
    MD_REASON_NO_CONFIG,   /* no configuration has been read yet */
    /* refusals of a start by a guard */
    MD_REASON_NOT_ATTACHED,      /* the sender is not the attached owner */
    MD_REASON_DETACHED,          /* the sender assumes that it is attached, but is not */
    MD_REASON_FENCED,            /* the sender's incarnation is fenced */
    MD_REASON_LEASE_EXPIRED,     /* no recent echo from the owner */
    MD_REASON_WRONG_INCARNATION, /* meant for an earlier process of the guard */
    MD_REASON_TOO_OLD,           /* the nonce of the start is too old */
    MD_REASON_REFUSED_BEFORE,    /* this task was refused before */
    MD_REASON_CANCELLED,         /* cancelled before it started */
    MD_REASON_FULL,              /* a limit of the guard on tasks, records or bytes is reached */
    /* ends of a job */
    MD_REASON_TASK_FAILED,    /* the upstream answered with a failure */
    MD_REASON_GUARD_LOST,     /* the guard was lost while the task ran */
    MD_REASON_ANSWER_GONE,    /* ran before; the answer is no longer kept */
    MD_REASON_UPSTREAM_ERROR, /* the connection to the upstream broke or timed out */
    /* placements */
    MD_REASON_FASTEST_FREE, /* fastest free slot */
    MD_REASON_PROBATION,    /* trial task on an ejected upstream */
    MD_REASON_RETRY,        /* repeatable request placed again */
    MD_REASON_COUNT
  } MdReason;

  /* md_reason_name, md_outcome_name: static strings; "invalid" for other values. */
  const char *md_reason_name (MdReason reason);
  const char *md_outcome_name (MdOutcome outcome);

  /* ------------------------------------------------------------------ */
  /* Tunables                                                           */

  /* Constants of all policies. md_tuning_default sets the documented defaults; tuning.c
   gives the reasons for them. */
  typedef struct
  {
    MdTime heartbeat_min;       /* shortest heartbeat interval */
    MdTime heartbeat_max;       /* longest heartbeat interval */
    MdTime heartbeat_idle;      /* interval of a guard towards entries that are not its owner */
    uint32_t heartbeat_budget;  /* bytes per second for heartbeats of one node */
    uint32_t heartbeat_bytes;   /* bytes of one heartbeat including its headers */
    uint32_t missed_heartbeats; /* heartbeats missed before a peer is suspect */
    MdTime fence_after;         /* silence of the owner before a guard lets it be fenced */
    MdTime guard_lease;         /* how long after issuing a nonce a guard accepts starts */
    MdTime start_max_age;       /* highest age of the guard nonce in a start */
    MdTime horizon;             /* how long a submission key is remembered */
    MdTime answer_retention;    /* how long answers of an ended job are retained for replay */
    MdTime clock_error;         /* allowed wall-clock error of callers and entries */
    MdTime removal_delay;       /* silence after which an owner removes a guard */
    MdTime reconnect_min;       /* shortest reconnect delay */
    MdTime reconnect_max;       /* longest reconnect delay */
    double retry_deposit;       /* retry tokens added for each first attempt */
    double retry_burst;         /* most retry tokens held */
    double max_slowdown;        /* wait before a job has priority, multiples of its ideal */
    double speed_gain;          /* lowest weight of a new sample in a learned speed */
    double correction_gain;     /* lowest weight of a new sample in a learned correction */
    double eject_max_share;     /* largest share of guards ejected at once */
    uint32_t eject_failures;    /* consecutive failures that eject a guard */
    MdTime probation_min;       /* shortest delay before a trial task */
    MdTime probation_max;       /* longest delay before a trial task */
    uint32_t max_tasks;         /* most tasks in one job */
    uint32_t max_queued_tasks;  /* most waiting tasks in one shard */
    uint64_t ledger_bytes;      /* most answer bytes a guard retains */
    uint32_t ledger_records;    /* most records and tombstones at a guard */
    uint32_t watch_changes;     /* configuration changes kept so that watches can resume */
    MdTime log_retention;       /* how long the platform's log keeps a record */
    uint32_t snapshot_records;  /* records after which a snapshot is written */
  } MdTuning;

  void md_tuning_default (MdTuning *tuning);

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

  /* State of a task in the record of a guard. */
  typedef enum
  {
    MD_RECORD_RUNNING,  /* accepted; an answer will follow */
    MD_RECORD_OK,       /* finished, answer retained */
    MD_RECORD_FAILED,   /* finished with a failure of the task */
    MD_RECORD_BROKEN,   /* started; the connection to the upstream broke or timed out */
    MD_RECORD_REFUSED,  /* never started, never will */
    MD_RECORD_RELEASED, /* finished; the answer has been released */
  } MdRecordState;

  typedef struct
  {
    MdKey key;         /* of the submission */
    MdKey fingerprint; /* of the submission */
    uint32_t task;     /* index in the submission */
    uint32_t n_tasks;  /* of the submission */
    MdRecordState state;
    uint64_t guard; /* incarnation of the guard */
  } MdRecord;

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
  /* Ledger: record of task starts at a guard (ledger.c)                */

  typedef struct MdLedger MdLedger;

  typedef struct
  {
    bool attached;     /* the sender is the owner now */
    MdReason reason;   /* when refused: MD_REASON_FENCED or MD_REASON_NOT_ATTACHED */
    uint64_t holder;   /* incarnation of the owner after the call, 0 none */
    bool holder_alive; /* refused because the last contact of the holder is recent */
  } MdAttachResult;

  typedef enum
  {
    MD_START_RUN,       /* pass it to the upstream once a slot is free */
    MD_START_DUPLICATE, /* the task is known; see state */
    MD_START_REFUSED,   /* this start never runs; see reason */
  } MdStartKind;

  typedef struct
  {
    MdKey key;           /* of the submission */
    MdKey fingerprint;   /* of the submission */
    uint32_t task;       /* index */
    uint32_t n_tasks;    /* tasks of the submission */
    uint64_t owner;      /* incarnation of the sending entry */
    uint64_t guard;      /* incarnation of the guard that it is meant for */
    MdTime nonce;        /* latest nonce of this guard that the sender has received */
    uint64_t body_bytes; /* of the request body */
  } MdStartRequest;

  typedef struct
  {
    MdStartKind kind;
    MdReason reason;     /* when refused */
    MdRecordState state; /* when duplicate */
  } MdStartResult;

  typedef struct
  {
    uint32_t not_run; /* tasks that will never start */
    uint32_t running; /* tasks passed to the upstream, without an answer yet */
    uint32_t done;    /* tasks that have finished */
  } MdCancelResult;

  /* md_ledger_new: an empty ledger of the guard process with this incarnation. All
   MdTime values are on the clock of the guard, which must advance during system
   suspend (CLOCK_BOOTTIME). */
  MdLedger *md_ledger_new (const MdTuning *tuning, uint64_t incarnation);
  void md_ledger_free (MdLedger *ledger);

  /* md_ledger_attach: an entry requests to become the owner and to fence n
   incarnations. It is refused if it is fenced itself, if another owner is not among
   the fences, or if that owner is not leaving and had contact within fence_after. On
   success all fences are applied, on refusal none. */
  void md_ledger_attach (MdLedger *ledger, uint64_t entry, const uint64_t *fences, size_t n,
                         MdTime now, MdAttachResult *result);

  /* md_ledger_record_contact: a message from an entry was received. */
  void md_ledger_record_contact (MdLedger *ledger, uint64_t entry, MdTime now);
  /* md_ledger_entry_leaving: an entry announced that it leaves; if it is the owner, it
   may be replaced at once. */
  void md_ledger_entry_leaving (MdLedger *ledger, uint64_t entry, MdTime now);

  /* md_ledger_echo: the owner returned a nonce of this guard as covered by its quorum;
   starts are accepted until nonce + guard_lease. */
  void md_ledger_echo (MdLedger *ledger, uint64_t entry, MdTime nonce, MdTime now);

  /* md_ledger_fenced: whether an incarnation is fenced. md_ledger_owner: incarnation
   of the owner, 0 none. */
  bool md_ledger_fenced (const MdLedger *ledger, uint64_t entry);
  uint64_t md_ledger_owner (const MdLedger *ledger);

  /* md_ledger_start: decides on a start. A refusal proves that the task never runs at
   this guard, except with MD_REASON_WRONG_INCARNATION (an earlier process of the
   guard may have run it) and MD_REASON_EXPIRED (its record may have expired), which
   prove nothing. */
  void md_ledger_start (MdLedger *ledger, const MdStartRequest *request, MdTime now,
                        MdStartResult *result);

  /* md_ledger_begin: the last check before a task is sent to the upstream. Returns
   MD_REASON_NONE and marks the task as started, or returns the reason for which it
   never starts. The caller must send the refusal to the current owner, which has
   recovered the task as running if the owner has changed. */
  MdReason md_ledger_begin (MdLedger *ledger, MdKey key, uint32_t task, MdTime now);

  /* md_ledger_finish: the upstream has answered, or the connection to it broke.
   answer_bytes count as retained until the answer is released. MD_RECORD_REFUSED
   means that the upstream provably never received the task. */
  void md_ledger_finish (MdLedger *ledger, MdKey key, uint32_t task, MdRecordState state,
                         uint64_t answer_bytes, MdTime now);

  /* md_ledger_cancel: refuses all tasks of a job that have not started, and its later
   starts until the horizon; counts the tasks by their state. */
  void md_ledger_cancel (MdLedger *ledger, MdKey key, MdTime now, MdCancelResult *result);
  /* md_ledger_release: drops the retained answers of a job and those that arrive later. */
  void md_ledger_release (MdLedger *ledger, MdKey key, MdTime now);

  /* md_ledger_query: returns the state of a task to its owner. An unknown task is
   recorded as refused, so that a start that is still in transit never runs. */
  MdRecordState md_ledger_query (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                                 uint32_t n_tasks, MdTime now);

  /* md_ledger_leave: refuses new starts from now on; accepted tasks still run. */
  void md_ledger_leave (MdLedger *ledger, MdTime now);

  /* md_ledger_records: copies up to max records from position *cursor (0 first) and
   advances it. Returns the number copied, 0 at the end. */
  size_t md_ledger_records (const MdLedger *ledger, size_t *cursor, MdRecord *out, size_t max);

  /* md_ledger_next_dropped: returns the task of an answer that the caller has to free,
   false when there is none. */
  bool md_ledger_next_dropped (MdLedger *ledger, MdKey *key, uint32_t *task);

  /* md_ledger_tick: removes expired records and cancellations. */
  void md_ledger_tick (MdLedger *ledger, MdTime now);

  typedef struct
  {
    uint32_t records;      /* records without tombstones */
    uint32_t tombstones;   /* records whose answer was released, kept until the horizon */
    uint32_t fences;       /* fenced incarnations */
    uint64_t answer_bytes; /* retained */
    MdTime lease_until;    /* when the lease ends, 0 without one */
  } MdLedgerStats;

  void md_ledger_stats (const MdLedger *ledger, MdLedgerStats *stats);

  /* ------------------------------------------------------------------ */
  /* Shard: an entry's ownership of one shard (shard.c)                 */

  typedef struct MdShard MdShard;

  typedef enum
  {
    MD_SHARD_FOLLOWER,  /* not the owner and not acquiring */
    MD_SHARD_ACQUIRING, /* attaching guards and receiving their records */
    MD_SHARD_SERVING,   /* owner with valid evidence of its quorum */
    MD_SHARD_SUSPENDED, /* owner that has lost contact with its quorum */
  } MdShardState;

  typedef enum
  {
    MD_SHARD_ATTACH,  /* send Attach with the fences to the guard */
    MD_SHARD_ECHO,    /* return the nonce to the guard */
    MD_SHARD_USE,     /* the guard is in every active view: place tasks on it */
    MD_SHARD_SERVE,   /* start serving; cut_ms as in md_dispatch_serve */
    MD_SHARD_SUSPEND, /* stop placing tasks */
    MD_SHARD_DROP,    /* fenced, or yields to another holder: give up the incarnation */
  } MdShardKind;

  typedef struct
  {
    MdShardKind kind;
    uint64_t guard;         /* ATTACH, ECHO, USE: incarnation */
    MdTime nonce;           /* ECHO */
    const uint64_t *fences; /* ATTACH: n_fences incarnations */
    size_t n_fences;        /* ATTACH */
    int64_t cut_ms;         /* SERVE */
    uint64_t holder;        /* DROP: incarnation that holds the guards, 0 unknown */
    bool fenced;            /* DROP: the own incarnation is fenced */
  } MdShardDecision;

  /* md_shard_new: a follower with the incarnation for its first acquire. */
  MdShard *md_shard_new (const MdTuning *tuning, uint64_t incarnation);
  void md_shard_free (MdShard *shard);

  /* md_shard_set_guards: sets the registered guards (current incarnations) at a log
   offset. Must be called for each membership record of the shard, in order,
   including the old records that a starting entry reads, because consecutive sets
   must differ in one guard only. */
  void md_shard_set_guards (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset,
                            MdTime now);

  /* md_shard_guard_lost: a registered guard was replaced or removed without leaving,
   at lost_ms by the clock of the log. The loss is kept for the horizon. */
  void md_shard_guard_lost (MdShard *shard, uint64_t guard, int64_t lost_ms, int64_t wall_ms,
                            MdTime now);

  /* md_shard_guard_given_up: the owner has given up its attempts at a guard that was silent. If the
   same process comes back, it is attached again for its records, then a USE decision follows. */
  void md_shard_guard_given_up (MdShard *shard, uint64_t guard, MdTime now);

  /* md_shard_acquire: starts to acquire the shard, fencing n incarnations: former
   owners that are considered dead or are leaving. While the entry acquires or owns
   the shard, it only adds fences. */
  void md_shard_acquire (MdShard *shard, const uint64_t *fences, size_t n, MdTime now);

  /* md_shard_release: gives up the shard; used when the entry leaves. Must be called
   before Leaving is sent, because other entries may fence this one as soon as they
   receive it. */
  void md_shard_release (MdShard *shard, MdTime now);

  /* md_shard_set_incarnation: sets the incarnation for the next acquire. An
   incarnation owns a shard at most once: after a release or DROP, md_shard_acquire
   does nothing until a new one is set. After DROP the daemon announces the old one
   as leaving to the guards. */
  void md_shard_set_incarnation (MdShard *shard, uint64_t incarnation);

  /* md_shard_set_link: the connection to a guard was established or lost. */
  void md_shard_set_link (MdShard *shard, uint64_t guard, bool up, MdTime now);

  /* md_shard_attach_reply: the result of an attach at a guard. known_offset is the
   highest registration offset that the guard has received. */
  void md_shard_attach_reply (MdShard *shard, uint64_t guard, const MdAttachResult *result,
                              uint64_t known_offset, MdTime now);

  /* md_shard_records_end: all records of a guard have been received. */
  void md_shard_records_end (MdShard *shard, uint64_t guard, MdTime now);

  /* md_shard_record_nonce: a heartbeat of the guard carried its clock. A guard sends
   one right after it accepts an attach, because starts need a nonce issued after
   that. */
  void md_shard_record_nonce (MdShard *shard, uint64_t guard, MdTime nonce, MdTime now);

  /* md_shard_record_ack: a guard that has not fenced this entry acknowledged the
   heartbeat that was sent at sent_at and carried a registration offset. If the
   heartbeat of a guard says that this entry is fenced, the caller passes
   MD_REASON_FENCED to md_shard_attach_reply instead. A guard that refuses the frames
   of an owner because it is no longer attached answers with MD_REASON_DETACHED; the
   owner then attaches it again. */
  void md_shard_record_ack (MdShard *shard, uint64_t guard, MdTime sent_at, uint64_t offset,
                            MdTime now);

  /* md_shard_tick: handles timeouts; wall_ms is the current wall clock, for the cut.
   Returns the time of the next call. */
  MdTime md_shard_tick (MdShard *shard, MdTime now, int64_t wall_ms);

  /* md_shard_next: the next decision; wall_ms is the current wall clock. */
  bool md_shard_next (MdShard *shard, MdTime now, int64_t wall_ms, MdShardDecision *decision);
  MdShardState md_shard_state (const MdShard *shard);
  /* md_shard_offset: the registration offset to carry in heartbeats, 0 unless this
   entry owns the shard. Guards accept an offset only in heartbeats of the entry to
   which they are attached, and report the highest one in AttachReply. */
  uint64_t md_shard_offset (const MdShard *shard);

  /* ------------------------------------------------------------------ */
  /* Members: membership and failure detection (members.c)              */

  typedef struct MdMembers MdMembers;

  typedef enum
  {
    MD_ROLE_ENTRY,
    MD_ROLE_GUARD,
  } MdRole;

  typedef enum
  {
    MD_MEMBER_JOINING,     /* registered, no contact yet */
    MD_MEMBER_LIVE,        /* contact within the allowed number of heartbeats */
    MD_MEMBER_SUSPECT,     /* too many heartbeats missed */
    MD_MEMBER_UNREACHABLE, /* too many heartbeats missed here, but in contact with others */
    MD_MEMBER_DEAD,        /* no contact with any process, or replaced */
    MD_MEMBER_LEAVING,     /* announced that it leaves */
    MD_MEMBER_GONE,        /* left or removed */
  } MdMemberState;

  typedef struct
  {
    MdRole role;
    MdStr name;           /* from the settings; the same after a restart */
    uint64_t incarnation; /* identifies the process, not 0 */
    MdStr address;        /* ip:port for internal connections; empty for guards */
    MdStr region;
    MdStr failure_domain;
    MdStr pool;            /* guards: the pool they serve */
    uint32_t cores;        /* guards: of the worker */
    uint32_t memory_mb;    /* guards: of the worker, MiB */
    uint32_t accelerators; /* guards: of the worker */
    uint32_t slots;        /* guards: tasks at a time */
    uint32_t connections;  /* guards: connections to the upstream */
  } MdMemberInfo;

  typedef struct
  {
    MdMemberInfo info;   /* strings are owned by MdMembers */
    MdMemberState state; /* as observed by this process */
    uint64_t offset;     /* of the registration record, 0 unregistered */
    MdTime last_contact; /* when the last message was received, 0 never */
    MdTime state_since;  /* when the state was entered */
  } MdMember;

  typedef enum
  {
    MD_MEMBERS_STATE, /* a member changed state */
    MD_MEMBERS_LOST,  /* a registered guard was replaced or removed without leaving */
  } MdMembersKind;

  typedef struct
  {
    MdMembersKind kind;
    uint64_t incarnation; /* of the member */
    MdMemberState before; /* STATE */
    MdMemberState after;  /* STATE */
    int64_t lost_ms;      /* LOST: time of the record, by the clock of the log */
  } MdMembersDecision;

  MdMembers *md_members_new (const MdTuning *tuning);
  void md_members_free (MdMembers *members);

  /* md_members_register: applies the registration record at a log offset. An earlier
   incarnation with the same role and name is replaced. Records at or below the
   highest offset applied are ignored. Offsets of records start at 1; offset 0 adds a
   member that is known only from its Hello, which replaces nothing. Returns MD_OK,
   MD_E_INVALID or MD_E_MEMORY; after MD_E_MEMORY the caller passes the record again. */
  int md_members_register (MdMembers *members, const MdMemberInfo *info, uint64_t offset,
                           int64_t time_ms, MdTime now);
  /* md_members_remove: applies a leaving record (left is true) or a removal record.
   Records below the highest offset applied are ignored; several removals may have
   the same offset, because a snapshot can end several members at once. Returns
   MD_OK, MD_E_INVALID for offset 0, or MD_E_NOT_FOUND. */
  int md_members_remove (MdMembers *members, uint64_t incarnation, bool left, uint64_t offset,
                         int64_t time_ms, MdTime now);
  /* md_members_set_interval: the member was asked to send heartbeats at this interval.
   The default is heartbeat_max for entries and heartbeat_idle for guards; the owner
   of a guard sets the interval that it sent in Welcome. */
  void md_members_set_interval (MdMembers *members, uint64_t incarnation, MdTime interval,
                                MdTime now);
  /* md_members_record_contact: a message from the member was received. */
  void md_members_record_contact (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_record_peer_contact: another process reports that it received a message
   from the member age ago. */
  void md_members_record_peer_contact (MdMembers *members, uint64_t incarnation, MdTime age,
                                       MdTime now);
  /* md_members_set_leaving: the member announced that it leaves. */
  void md_members_set_leaving (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_tick: checks the deadlines of all members. Returns the time of the next
   call. A call that is late by more than heartbeat_min counts as a pause of this
   process; silence of the others is then measured from its end. */
  MdTime md_members_tick (MdMembers *members, MdTime now);
  /* md_members_next: the next decision. Several changes of one member between two
   calls are merged. A new member is reported as a change from MD_MEMBER_GONE. */
  bool md_members_next (MdMembers *members, MdMembersDecision *decision);
  /* md_members_find, md_members_find_name: a member by incarnation, or the current one
   of a role and name; NULL when not found. */
  const MdMember *md_members_find (const MdMembers *members, uint64_t incarnation);
  const MdMember *md_members_find_name (const MdMembers *members, MdRole role, MdStr name);
  /* md_members_count, md_members_at: the members that were neither replaced nor
   removed, in no fixed order. Replaced and removed ones are still found by
   incarnation until the horizon. */
  size_t md_members_count (const MdMembers *members);
  const MdMember *md_members_at (const MdMembers *members, size_t index);
  /* md_members_offset: the offset of the last record applied, 0 none. */
  uint64_t md_members_offset (const MdMembers *members);

  /* md_members_owner: the incarnation of the live entry with the highest rendezvous
   hash for the name of a shard, 0 when no entry is live. */
  uint64_t md_members_owner (const MdMembers *members, MdStr shard);

  /* md_heartbeat_interval: the interval at which a node with this many peers sends
   heartbeats without exceeding its byte budget. */
  MdTime md_heartbeat_interval (const MdTuning *tuning, size_t peers);

  /* md_reconnect_delay: the delay before connection attempt number attempt (0 first):
   exponential back-off with full jitter above reconnect_min. random must be uniform
   over 64 bits. */
  MdTime md_reconnect_delay (const MdTuning *tuning, unsigned attempt, uint64_t random);

  /* md_key: the key of a submission. Aborts when memory runs out. */
  MdKey md_key (MdStr customer, MdStr pool, MdStr submission_id);
  /* md_shard_of_key, md_shard_of_guard: the index of the shard to which a key or a
   guard name belongs; 0 when shards is at most 1. */
  uint32_t md_shard_of_key (MdKey key, uint32_t shards);
  uint32_t md_shard_of_guard (MdStr name, uint32_t shards);
  /* md_uuid7_time: the wall clock of a UUIDv7 submission id (RFC 9562), in
   milliseconds since the epoch; 0 for other ids. */
  int64_t md_uuid7_time (MdStr id);

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

  /* ------------------------------------------------------------------ */
  /* Configuration: declared resources by log offset (config.c)         */

  typedef struct MdConfig MdConfig;

  typedef enum
  {
    MD_CHANGE_PUT,    /* created or replaced */
    MD_CHANGE_DELETE, /* deleted */
  } MdChangeKind;

  typedef struct
  {
    MdChangeKind kind;
    MdStr resource_kind; /* "pool", "customer" or "configuration" */
    MdStr name;          /* of the resource */
    uint64_t version;    /* after the change; for deletes, the version of the delete */
    MdStr spec;          /* JSON text, empty for deletes */
    MdStr actor;         /* who made the change */
    int64_t time_ms;     /* of the change, by the clock of the log */
  } MdChange;

  typedef enum
  {
    MD_APPLY_EFFECTIVE, /* changed the state */
    MD_APPLY_LOST_RACE, /* the expected version was not the current one */
    MD_APPLY_DUPLICATE, /* the change id was applied before */
    MD_APPLY_STALE,     /* the offset is below the next one to apply */
    MD_APPLY_INVALID,   /* not a valid record; every node skips it */
    MD_APPLY_SNAPSHOT,  /* a valid snapshot record; it replaces the state only after a gap */
  } MdApplyResult;

  MdConfig *md_config_new (const MdTuning *tuning);
  void md_config_free (MdConfig *config);

  /* md_config_apply: applies the record at a log offset; time_ms is the time of the
   record by the clock of the log. Offsets must be passed in order; a gap is allowed
   only before a snapshot record. */
  MdApplyResult md_config_apply (MdConfig *config, uint64_t offset, int64_t time_ms, MdStr record);

  /* md_config_next_offset: the offset of the next record to read, 0 at the start. */
  uint64_t md_config_next_offset (const MdConfig *config);

  /* md_config_get: the current state of a resource, as a put. Returns MD_OK or
   MD_E_NOT_FOUND. Strings are owned by the object and valid until the next
   md_config_apply. */
  int md_config_get (const MdConfig *config, MdStr resource_kind, MdStr name, MdChange *out);
  /* md_config_count, md_config_at: all resources by kind and name; index must be below
   the count. Strings as with md_config_get. */
  size_t md_config_count (const MdConfig *config);
  void md_config_at (const MdConfig *config, size_t index, MdChange *out);

  /* md_config_change_result: the result of the change with this id, and the version of
   the resource after it. Returns MD_E_NOT_FOUND when no record with this id has been
   applied, or the id is no longer kept. */
  int md_config_change_result (const MdConfig *config, MdStr change_id, MdApplyResult *result,
                               uint64_t *version);

  /* md_config_change_after: the first change with a version above the given one.
   Returns MD_E_NOT_FOUND when there is none, and MD_E_TOO_OLD when changes above
   that version are no longer in the watch log. */
  int md_config_change_after (const MdConfig *config, uint64_t version, MdChange *out);

  /* md_config_snapshot: stores the state as a snapshot record (JSON text) in *out,
   which the caller frees with free. Returns MD_OK or MD_E_MEMORY. */
  int md_config_snapshot (const MdConfig *config, char **out, size_t *len);

  /* md_config_load: replaces the state by the snapshot record of a peer. Returns
   MD_E_TOO_OLD when the snapshot is older than the state, which is then kept, or
   MD_E_INVALID or MD_E_MEMORY. */
  int md_config_load (MdConfig *config, MdStr snapshot, MdError *error);

  /* md_config_record: stores a change record (JSON text) in *out, which the caller
   frees with free. spec is JSON text, empty for deletes. Returns MD_OK or
   MD_E_INVALID. */
  int md_config_record (MdChangeKind kind, MdStr change_id, MdStr resource_kind, MdStr name,
                        uint64_t expected, MdStr spec, MdStr actor, char **out, size_t *len);

  /* md_config_check: validates a spec before it is appended to the log. On
   MD_E_INVALID, error->detail names the field. */
  int md_config_check (MdStr resource_kind, MdStr name, MdStr spec, MdError *error);

#ifdef __cplusplus
}
#endif

#endif
