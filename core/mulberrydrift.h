/* mulberrydrift.h -- coordination parts of the mulberrydrift dispatcher

   This header is the manual of libmulberrydrift.a. The library decides; it does
   no I/O, starts no thread, reads no clock and keeps no global state. The caller
   passes in time, random numbers and messages and takes out decisions.

   Conventions

   - MdTime is a monotonic time in microseconds. Wall-clock times are
     milliseconds since the epoch and carry the suffix _ms.
   - Functions that can fail return MD_OK (0) or a negative MD_E_ code. Functions
     that take an MdError * fill it in on failure; NULL is allowed.
   - An MdStr borrows its bytes; the callee copies what it keeps.
   - Objects are not thread-safe. The caller serializes all calls on one object.
   - Every object is made by md_X_new and released by md_X_free, which accepts
     NULL. md_X_new returns NULL only when memory runs out.
   - md_X_next yields one pending decision at a time and returns false when there
     is none. Pointers inside a decision are valid until the next call on the
     object.
*/

#ifndef MULBERRYDRIFT_H
#define MULBERRYDRIFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define MD_VERSION "0.2.0"

  /* ------------------------------------------------------------------ */
  /* Basic types                                                        */

  typedef int64_t MdTime; /* monotonic time or duration, microseconds */

#define MD_MS ((MdTime)1000)        /* microseconds in a millisecond */
#define MD_SECOND ((MdTime)1000000) /* microseconds in a second */

  /* A borrowed, length-counted string; not terminated. */
  typedef struct
  {
    const char *data; /* bytes, may be NULL when len is 0 */
    size_t len;       /* bytes */
  } MdStr;

  /* Identifies a submission: xxh128 of customer, pool and submission id. */
  typedef struct
  {
    uint64_t hi; /* high 64 bits */
    uint64_t lo; /* low 64 bits */
  } MdKey;

  /* Return codes. */
  enum
  {
    MD_OK = 0,
    MD_E_INVALID = -1,   /* an argument or input breaks the documented rules */
    MD_E_NOT_FOUND = -2, /* no such object */
    MD_E_EXISTS = -3,    /* object exists already */
    MD_E_CONFLICT = -4,  /* expected version differs from the current one */
    MD_E_TOO_OLD = -5,   /* asked for a version that is no longer kept */
    MD_E_LIMIT = -6,     /* a stated bound is reached */
    MD_E_MEMORY = -7,    /* out of memory */
    MD_E_IO = -8,        /* a system call or a peer failed */
    MD_E_TIMEOUT = -9,   /* no answer within the given time */
    MD_E_DENIED = -10,   /* wrong or missing credentials */
  };

  /* Where an error arose, passed down by the caller and filled in once. */
  typedef struct
  {
    int code;         /* MD_E_ code, MD_OK when unset */
    char step[32];    /* step of the request path, e.g. "forward" */
    char peer[64];    /* peer name or address, empty when local */
    char detail[192]; /* one sentence for a person */
  } MdError;

  /* What is known about execution when something is refused or fails. */
  typedef enum
  {
    MD_OUTCOME_NOT_RUN, /* proven: no task started, and none will */
    MD_OUTCOME_RAN,     /* a task ran; its answer failed or is gone */
    MD_OUTCOME_UNKNOWN, /* a task may have started */
  } MdOutcome;

  /* Reasons for refusals, failures and placements; md_reason_name gives the
   machine-readable form used in problem details and logs. */
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
    MD_REASON_KEY_REUSED,  /* same id with another body */
    MD_REASON_EXPIRED,     /* first submitted before the horizon */
    MD_REASON_UNPROVEN,    /* may have started where records were lost */
    MD_REASON_NOT_OWNER,   /* this entry does not own the shard */
    MD_REASON_LEAVING,     /* the node is leaving */
    MD_REASON_OVERLOAD,    /* no capacity to take the request in */
    MD_REASON_NO_CONFIG,   /* no configuration has been read yet */
    /* refusals of a start by a guard */
    MD_REASON_NOT_ATTACHED,      /* the sender is not the attached owner */
    MD_REASON_DETACHED,          /* the sender believes to be attached and is not */
    MD_REASON_FENCED,            /* the sender's incarnation is fenced */
    MD_REASON_LEASE_EXPIRED,     /* no fresh echo from the owner */
    MD_REASON_WRONG_INCARNATION, /* meant for an earlier process of the guard */
    MD_REASON_TOO_OLD,           /* the start was delayed for too long */
    MD_REASON_REFUSED_BEFORE,    /* this task was refused before */
    MD_REASON_CANCELLED,         /* cancelled before it started */
    MD_REASON_FULL,              /* slots or bytes at the guard are used up */
    /* ends of a job */
    MD_REASON_TASK_FAILED,    /* the upstream answered with a failure */
    MD_REASON_GUARD_LOST,     /* the guard was lost while the task ran */
    MD_REASON_ANSWER_GONE,    /* ran before; the answer is no longer kept */
    MD_REASON_UPSTREAM_ERROR, /* the upstream broke off or timed out */
    /* placements */
    MD_REASON_FASTEST_FREE, /* fastest free slot */
    MD_REASON_PROBATION,    /* trial task on an ejected upstream */
    MD_REASON_RETRY,        /* repeatable request placed again */
    MD_REASON_COUNT
  } MdReason;

  const char *md_reason_name (MdReason reason);
  const char *md_outcome_name (MdOutcome outcome);

  /* ------------------------------------------------------------------ */
  /* Tunables                                                           */

  /* All constants of the policies in one table. md_tuning_default fills in the
   documented defaults; see tuning.c for the reason behind each. */
  typedef struct
  {
    MdTime heartbeat_min;       /* shortest heartbeat interval */
    MdTime heartbeat_max;       /* longest heartbeat interval */
    MdTime heartbeat_idle;      /* interval of a guard towards entries that are not its owner */
    uint32_t heartbeat_budget;  /* bytes per second for heartbeats of one node */
    uint32_t heartbeat_bytes;   /* bytes of one heartbeat with its headers */
    uint32_t missed_heartbeats; /* heartbeats missed before a peer is suspect */
    MdTime fence_after;         /* silence before a guard lets its holder be fenced */
    MdTime guard_lease;         /* a guard accepts starts this long after a nonce */
    MdTime start_max_age;       /* oldest guard nonce a start may carry */
    MdTime horizon;             /* how long a submission key is remembered */
    MdTime answer_retention;    /* how long a finished answer is replayed */
    MdTime clock_error;         /* allowed wall-clock error of callers and entries */
    MdTime removal_delay;       /* silence before an owner removes a guard */
    MdTime reconnect_min;       /* shortest reconnect delay */
    MdTime reconnect_max;       /* longest reconnect delay */
    double retry_deposit;       /* retry tokens earned per first attempt */
    double retry_burst;         /* most retry tokens held */
    double max_slowdown;        /* ageing bound, multiples of a job's own ideal */
    double speed_gain;          /* weight of a new sample in a learned speed */
    double correction_gain;     /* weight of a new sample in a learned correction */
    double eject_max_share;     /* largest share of guards ejected at once */
    uint32_t eject_failures;    /* consecutive failures that eject a guard */
    MdTime probation_min;       /* first wait before a trial task */
    MdTime probation_max;       /* longest wait before a trial task */
    uint32_t max_tasks;         /* most tasks in one job */
    uint32_t max_queued_tasks;  /* most waiting tasks in one shard */
    uint64_t ledger_bytes;      /* most answer bytes a guard retains */
    uint32_t ledger_records;    /* most records and tombstones at a guard */
    uint32_t watch_changes;     /* changes kept for watches to resume from */
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
    MdTime deadline;         /* absolute; the job fails when it passes */
    int64_t submitted_ms;    /* wall clock of the first submission, 0 unknown */
    bool single_request;     /* a single request, not a job */
    bool repeatable;         /* may be tried again after an unknown outcome */
    void *cookie;            /* returned in decisions */
  } MdJobSpec;

  typedef enum
  {
    MD_ADMIT_QUEUED,   /* new; decisions follow */
    MD_ADMIT_ATTACHED, /* known and unfinished; a FINISH decision follows */
    MD_ADMIT_REPLAY,   /* finished; the first submission's cookie has the answers */
    MD_ADMIT_REFUSED,  /* see reason and outcome */
  } MdAdmitKind;

  typedef struct
  {
    MdAdmitKind kind;   /* what happened */
    MdReason reason;    /* for refusals and for replays of failed jobs */
    MdOutcome outcome;  /* for refusals and for replays of failed jobs */
    MdTime retry_after; /* when to submit again, 0 when it would not help */
    bool done;          /* for replays: the job is complete */
    void *cookie;       /* for attached and replayed: cookie of the known job */
  } MdAdmission;

  typedef struct
  {
    uint64_t id;           /* incarnation of the guard */
    MdStr name;            /* upstream name */
    MdStr failure_domain;  /* of the worker */
    uint32_t slots;        /* tasks at a time */
    uint32_t cores;        /* of the worker */
    uint32_t memory_mb;    /* of the worker, MiB */
    uint32_t accelerators; /* of the worker */
    MdTime delay;          /* one-way delay from this entry, 0 unknown */
  } MdGuardInfo;

  /* How an attempt ended. */
  typedef enum
  {
    MD_TASK_OK,      /* complete answer, success */
    MD_TASK_FAILED,  /* complete answer, the task's own failure */
    MD_TASK_BROKEN,  /* started; the upstream broke off or timed out */
    MD_TASK_NOT_RUN, /* provably not started, never will be */
    MD_TASK_UNKNOWN, /* may have started */
  } MdTaskResult;

  /* State of a task as a guard's record gives it to a new owner. */
  typedef enum
  {
    MD_RECORD_RUNNING,  /* accepted; an answer follows */
    MD_RECORD_OK,       /* finished, answer retained */
    MD_RECORD_FAILED,   /* finished, failed */
    MD_RECORD_BROKEN,   /* started, outcome broken */
    MD_RECORD_REFUSED,  /* never started, never will */
    MD_RECORD_RELEASED, /* finished, answer released earlier */
  } MdRecordState;

  typedef struct
  {
    MdKey key;           /* submission */
    MdKey fingerprint;   /* of the submission */
    uint32_t task;       /* index of the task */
    uint32_t n_tasks;    /* tasks of the submission */
    MdRecordState state; /* what the guard knows */
    uint64_t guard;      /* incarnation of the guard */
  } MdRecord;

  typedef enum
  {
    MD_JOB_DONE,      /* every task has an answer */
    MD_JOB_FAILED,    /* see reason and outcome */
    MD_JOB_CANCELLED, /* cancelled by its caller */
  } MdJobEnd;

  typedef enum
  {
    MD_DISPATCH_START,   /* send this task to this guard */
    MD_DISPATCH_FINISH,  /* answer the callers of this job */
    MD_DISPATCH_CANCEL,  /* tell this guard to cancel this job */
    MD_DISPATCH_RELEASE, /* tell this guard that answers of this job may go */
    MD_DISPATCH_FORGET,  /* free the cookie; the core no longer refers to it */
    MD_DISPATCH_REPORT,  /* late or lost request, for the customer's report */
    MD_DISPATCH_HEALTH,  /* a guard was ejected, put on trial or readmitted */
  } MdDispatchKind;

  typedef struct
  {
    MdDispatchKind kind; /* selects the member of the union */
    MdKey key;           /* job, where there is one */
    void *cookie;        /* of the job, where there is one */
    union
    {
      struct
      {
        uint64_t guard;        /* chosen guard */
        uint32_t task;         /* index */
        uint32_t attempt;      /* 1 for the first */
        MdReason reason;       /* why this guard */
        uint32_t alternatives; /* guards with a free slot that were considered */
        MdTime time_left;      /* until the job's deadline */
      } start;
      struct
      {
        MdJobEnd end;      /* how it ended */
        MdReason reason;   /* when not done */
        MdOutcome outcome; /* when not done */
        uint32_t task;     /* task that decided a failure */
        uint64_t guard;    /* guard that decided a failure, 0 none */
      } finish;
      struct
      {
        uint64_t guard; /* guard that holds tasks of the job */
      } cancel;
      struct
      {
        uint64_t guard; /* guard that holds answers of the job */
      } release;
      struct
      {
        MdStr customer;  /* whose report */
        bool lost;       /* lost, otherwise late */
        uint32_t task;   /* index */
        uint64_t guard;  /* 0 none */
        MdReason reason; /* why */
        MdTime lateness; /* past the deadline, 0 when lost */
      } report;
      struct
      {
        uint64_t guard; /* which */
        bool usable;    /* after the change */
        bool probation; /* one trial task at a time */
      } health;
    } u;
  } MdDispatchDecision;

  typedef struct
  {
    uint32_t max_queue;   /* waiting tasks, 0 the tuning's bound */
    uint32_t guard_slots; /* cap on slots per guard, 0 none */
    bool unshared;        /* no fair sharing between customers */
  } MdPoolPolicy;

  typedef struct
  {
    double weight;        /* share of slots relative to others, 1 default */
    double slot_quota;    /* slots at a time on average, 0 unlimited */
    uint32_t queue_quota; /* waiting tasks, 0 unlimited */
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

  /* md_dispatch_new: a queue with no guards. The object refuses every submission
   with MD_REASON_NOT_OWNER until md_dispatch_serve. */
  MdDispatch *md_dispatch_new (const MdTuning *tuning);
  void md_dispatch_free (MdDispatch *dispatch);

  /* md_dispatch_serve: recovery is complete; start serving. cut_ms is the wall
   clock before which a submission may have started where records were lost,
   0 when nothing was lost. It is called again with an earlier cut once guards
   that were missing have handed over their records. */
  void md_dispatch_serve (MdDispatch *dispatch, int64_t cut_ms, MdTime now);

  /* md_dispatch_suspend: stop placing; queued work stays. */
  void md_dispatch_suspend (MdDispatch *dispatch, MdTime now);

  void md_dispatch_set_pool (MdDispatch *dispatch, const MdPoolPolicy *policy);
  void md_dispatch_set_customer (MdDispatch *dispatch, MdStr customer,
                                 const MdCustomerPolicy *policy);

  /* md_dispatch_submit: admit, attach, replay or refuse a submission. The cookie
   of the spec is taken over only when the result is MD_ADMIT_QUEUED. wall_ms is
   the current wall clock. */
  void md_dispatch_submit (MdDispatch *dispatch, const MdJobSpec *spec, MdTime now, int64_t wall_ms,
                           MdAdmission *admission);

  /* md_dispatch_recover: enter a record that a guard returned when it was
   attached. Returns the cookie of the job; make_cookie is called for a job that
   is not known yet. A later submission with this key merges with the records. */
  void *md_dispatch_recover (MdDispatch *dispatch, const MdRecord *record,
                             void *(*make_cookie) (void *user, const MdRecord *record), void *user,
                             MdTime now);

  /* md_dispatch_cancel: cancel a job. Returns MD_OK or MD_E_NOT_FOUND. */
  int md_dispatch_cancel (MdDispatch *dispatch, MdKey key, MdTime now);

  int md_dispatch_guard_up (MdDispatch *dispatch, const MdGuardInfo *info, MdTime now);

  /* md_dispatch_guard_pause: the link is down; place nothing, keep attempts. */
  void md_dispatch_guard_pause (MdDispatch *dispatch, uint64_t guard, bool paused, MdTime now);

  /* md_dispatch_guard_leaving: place nothing, await what runs. */
  void md_dispatch_guard_leaving (MdDispatch *dispatch, uint64_t guard, MdTime now);

  /* md_dispatch_guard_lost: the guard is gone; its attempts are unknown. */
  void md_dispatch_guard_lost (MdDispatch *dispatch, uint64_t guard, MdTime now);

  /* md_dispatch_answer: result of an attempt. run is the time at the upstream.
   Returns true when this is the first answer of the task, so that the caller
   keeps the body, and false for a late or duplicate answer, which is dropped. */
  bool md_dispatch_answer (MdDispatch *dispatch, uint64_t guard, MdKey key, uint32_t task,
                           MdTaskResult result, MdReason reason, MdTime run, MdTime now);

  /* md_dispatch_next: the next decision. Call until it returns false after every
   input. */
  bool md_dispatch_next (MdDispatch *dispatch, MdTime now, MdDispatchDecision *decision);

  /* md_dispatch_tick: deadlines, retention, probation. Returns the time at which
   it wants to be called again. */
  MdTime md_dispatch_tick (MdDispatch *dispatch, MdTime now);

  void md_dispatch_stats (const MdDispatch *dispatch, MdDispatchStats *stats);

  /* md_dispatch_dump: write the state in a canonical text form to out, at most
   size bytes; returns the length. For replays and tests. */
  size_t md_dispatch_dump (const MdDispatch *dispatch, char *out, size_t size);

  /* ------------------------------------------------------------------ */
  /* Ledger: the memory of a guard (ledger.c)                           */

  typedef struct MdLedger MdLedger;

  typedef struct
  {
    bool attached;     /* the sender is now the owner */
    MdReason reason;   /* MD_REASON_FENCED or MD_REASON_NOT_ATTACHED when refused */
    uint64_t holder;   /* owner after the call */
    bool holder_alive; /* refused because the holder was heard recently */
  } MdAttachResult;

  typedef enum
  {
    MD_START_RUN,       /* send it to the upstream once a slot is free */
    MD_START_DUPLICATE, /* known; state says how far it is */
    MD_START_REFUSED,   /* never runs; see reason */
  } MdStartKind;

  typedef struct
  {
    MdKey key;           /* submission */
    MdKey fingerprint;   /* of the submission */
    uint32_t task;       /* index */
    uint32_t n_tasks;    /* tasks of the submission */
    uint64_t owner;      /* sender's incarnation */
    uint64_t guard;      /* incarnation it is meant for */
    MdTime nonce;        /* latest nonce of this guard the sender has seen */
    uint64_t body_bytes; /* request body */
  } MdStartRequest;

  typedef struct
  {
    MdStartKind kind;
    MdReason reason;     /* when refused */
    MdRecordState state; /* when duplicate */
  } MdStartResult;

  typedef struct
  {
    uint32_t not_run; /* tasks that now never start */
    uint32_t running; /* tasks already at the upstream */
    uint32_t done;    /* tasks finished before */
  } MdCancelResult;

  /* md_ledger_new: an empty ledger. All MdTime values are on the guard's own
   clock, which must count time during suspend (CLOCK_BOOTTIME). */
  MdLedger *md_ledger_new (const MdTuning *tuning, uint64_t incarnation);
  void md_ledger_free (MdLedger *ledger);

  /* md_ledger_attach: entry asks to be the owner and to fence n incarnations.
   Refused while a holder that is not leaving was heard within fence_after. */
  void md_ledger_attach (MdLedger *ledger, uint64_t entry, const uint64_t *fences, size_t n,
                         MdTime now, MdAttachResult *result);

  void md_ledger_record_contact (MdLedger *ledger, uint64_t entry, MdTime now);
  void md_ledger_entry_leaving (MdLedger *ledger, uint64_t entry, MdTime now);

  /* md_ledger_echo: the owner returned one of our nonces as covered by its
   quorum; starts are accepted until nonce + guard_lease. */
  void md_ledger_echo (MdLedger *ledger, uint64_t entry, MdTime nonce, MdTime now);

  bool md_ledger_fenced (const MdLedger *ledger, uint64_t entry);
  uint64_t md_ledger_owner (const MdLedger *ledger);

  /* md_ledger_start: result on a start. A refusal proves that the task never runs
   here, except MD_REASON_WRONG_INCARNATION (an earlier process of the guard may
   have run it) and MD_REASON_EXPIRED (its record may be gone), which prove
   nothing. */
  void md_ledger_start (MdLedger *ledger, const MdStartRequest *request, MdTime now,
                        MdStartResult *result);

  /* md_ledger_begin: the last check before the upstream. Returns MD_REASON_NONE
   and marks the task started, or the reason for which it never starts. The
   refusal is to be answered to the present owner, which has recovered the task
   as running if the owner has changed. */
  MdReason md_ledger_begin (MdLedger *ledger, MdKey key, uint32_t task, MdTime now);

  /* md_ledger_finish: the upstream answered or broke off; answer_bytes are
   retained until released. MD_RECORD_REFUSED: it provably never got the task. */
  void md_ledger_finish (MdLedger *ledger, MdKey key, uint32_t task, MdRecordState state,
                         uint64_t answer_bytes, MdTime now);

  void md_ledger_cancel (MdLedger *ledger, MdKey key, MdTime now, MdCancelResult *result);
  void md_ledger_release (MdLedger *ledger, MdKey key, MdTime now);

  /* md_ledger_query: state of a task for its owner. An unknown task is recorded
   as refused, so that a start still on its way never runs. */
  MdRecordState md_ledger_query (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                                 uint32_t n_tasks, MdTime now);

  /* md_ledger_leave: refuse new starts; accepted ones run. */
  void md_ledger_leave (MdLedger *ledger, MdTime now);

  /* md_ledger_records: copy up to max records from position *cursor (0 first);
   returns the number copied, 0 at the end. */
  size_t md_ledger_records (const MdLedger *ledger, size_t *cursor, MdRecord *out, size_t max);

  /* md_ledger_next_dropped: an answer that may be freed now. */
  bool md_ledger_next_dropped (MdLedger *ledger, MdKey *key, uint32_t *task);

  void md_ledger_tick (MdLedger *ledger, MdTime now);

  typedef struct
  {
    uint32_t records;      /* records with state */
    uint32_t tombstones;   /* released, remembered until the horizon */
    uint32_t fences;       /* fenced incarnations */
    uint64_t answer_bytes; /* retained */
    MdTime lease_until;    /* end of the lease */
  } MdLedgerStats;

  void md_ledger_stats (const MdLedger *ledger, MdLedgerStats *stats);

  /* ------------------------------------------------------------------ */
  /* Shard: an entry's ownership of one shard (shard.c)                 */

  typedef struct MdShard MdShard;

  typedef enum
  {
    MD_SHARD_FOLLOWER,  /* somebody else owns it, or nobody */
    MD_SHARD_ACQUIRING, /* attaching guards and reading their records */
    MD_SHARD_SERVING,   /* owner with a fence quorum behind it */
    MD_SHARD_SUSPENDED, /* owner that has lost contact with its quorum */
  } MdShardState;

  typedef enum
  {
    MD_SHARD_ATTACH,  /* send Attach with the fences to this guard */
    MD_SHARD_ECHO,    /* return this nonce to this guard */
    MD_SHARD_USE,     /* guard is registered everywhere it must be: place on it */
    MD_SHARD_SERVE,   /* start serving; cut_ms as in md_dispatch_serve */
    MD_SHARD_SUSPEND, /* stop placing */
    MD_SHARD_DROP,    /* fenced or overruled: give up, draw a new incarnation */
  } MdShardKind;

  typedef struct
  {
    MdShardKind kind;
    uint64_t guard;         /* ATTACH, ECHO, USE */
    MdTime nonce;           /* ECHO */
    const uint64_t *fences; /* ATTACH: n_fences incarnations */
    size_t n_fences;        /* ATTACH */
    int64_t cut_ms;         /* SERVE */
    uint64_t holder;        /* DROP: who holds the guards, 0 unknown */
    bool fenced;            /* DROP: our incarnation is fenced */
  } MdShardDecision;

  MdShard *md_shard_new (const MdTuning *tuning, uint64_t self);
  void md_shard_free (MdShard *shard);

  /* md_shard_set_guards: the registered guards (current incarnations) at a log
   offset. To be called for each membership record of the shard, in order, also
   while a starting entry reads old records: consecutive sets differ in one
   guard. */
  void md_shard_set_guards (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset,
                            MdTime now);

  /* md_shard_guard_lost: a registration was replaced or removed without leaving,
   at lost_ms by the log's clock; kept for the horizon. */
  void md_shard_guard_lost (MdShard *shard, uint64_t guard, int64_t lost_ms, int64_t wall_ms,
                            MdTime now);

  /* md_shard_acquire: become the owner, fencing these incarnations (former
   owners that are thought dead or leaving; may be empty). */
  void md_shard_acquire (MdShard *shard, const uint64_t *fences, size_t n, MdTime now);

  /* md_shard_release: stop owning or acquiring; used when the entry leaves. To be
   called before Leaving is sent, which lets others fence at once. */
  void md_shard_release (MdShard *shard, MdTime now);

  /* md_shard_set_incarnation: the incarnation to use from the next acquire on. An
   incarnation owns a shard at most once: after a release or DROP, acquire does
   nothing until a new one is set. After DROP the daemon announces the old one as
   leaving at the guards. */
  void md_shard_set_incarnation (MdShard *shard, uint64_t self);

  void md_shard_set_link (MdShard *shard, uint64_t guard, bool up, MdTime now);

  /* md_shard_attach_reply: result of a guard; known_offset is the highest
   registration offset it has seen. */
  void md_shard_attach_reply (MdShard *shard, uint64_t guard, const MdAttachResult *result,
                              uint64_t known_offset, MdTime now);

  /* md_shard_records_end: all records of this guard have been recovered. */
  void md_shard_records_end (MdShard *shard, uint64_t guard, MdTime now);

  /* md_shard_record_nonce: a heartbeat of the guard carried its clock. A guard sends one
   right after it accepts an attach, since starts need a nonce issued later. */
  void md_shard_record_nonce (MdShard *shard, uint64_t guard, MdTime nonce, MdTime now);

  /* md_shard_record_ack: the guard, not having fenced us, acknowledged a heartbeat we
   sent at sent_at, carrying registration offset. A heartbeat that says that we
   are fenced is passed to md_shard_attach_reply with MD_REASON_FENCED. A guard that
   refuses the frames of an owner because it is not attached any more answers with
   MD_REASON_DETACHED; the owner attaches it again. */
  void md_shard_record_ack (MdShard *shard, uint64_t guard, MdTime sent_at, uint64_t offset,
                            MdTime now);

  /* md_shard_tick: time-outs; wall_ms is used for the cut. Returns when to call
   again. */
  MdTime md_shard_tick (MdShard *shard, MdTime now, int64_t wall_ms);

  bool md_shard_next (MdShard *shard, MdTime now, int64_t wall_ms, MdShardDecision *decision);
  MdShardState md_shard_state (const MdShard *shard);
  /* md_shard_offset: registration offset to carry in heartbeats, 0 unless we own
   the shard. Guards take an offset only from heartbeats of the entry they are
   attached to, and report the highest in AttachReply. */
  uint64_t md_shard_offset (const MdShard *shard);

  /* ------------------------------------------------------------------ */
  /* Members: who exists and who lives (members.c)                      */

  typedef struct MdMembers MdMembers;

  typedef enum
  {
    MD_ROLE_ENTRY,
    MD_ROLE_GUARD,
  } MdRole;

  typedef enum
  {
    MD_MEMBER_JOINING,     /* registered, not heard yet */
    MD_MEMBER_LIVE,        /* heard within the interval */
    MD_MEMBER_SUSPECT,     /* heartbeats missed */
    MD_MEMBER_UNREACHABLE, /* silent here, heard by others */
    MD_MEMBER_DEAD,        /* silent everywhere, or replaced */
    MD_MEMBER_LEAVING,     /* announced that it leaves */
    MD_MEMBER_GONE,        /* left or removed */
  } MdMemberState;

  typedef struct
  {
    MdRole role;           /* entry or guard */
    MdStr name;            /* stable name from the settings */
    uint64_t incarnation;  /* of this process */
    MdStr address;         /* ip:port for internal connections; empty for guards */
    MdStr region;          /* region */
    MdStr failure_domain;  /* failure domain */
    MdStr pool;            /* guards: pool it serves */
    uint32_t cores;        /* guards: of the worker */
    uint32_t memory_mb;    /* guards: of the worker, MiB */
    uint32_t accelerators; /* guards: of the worker */
    uint32_t slots;        /* guards: tasks at a time */
    uint32_t connections;  /* guards: connections to the upstream */
  } MdMemberInfo;

  typedef struct
  {
    MdMemberInfo info;   /* strings belong to the table */
    MdMemberState state; /* as seen here */
    uint64_t offset;     /* of the registration, 0 unregistered */
    MdTime last_contact; /* last time anything arrived, 0 never */
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
    uint64_t incarnation; /* which */
    MdMemberState before; /* STATE */
    MdMemberState after;  /* STATE */
    int64_t lost_ms;      /* LOST: by the log's clock */
  } MdMembersDecision;

  MdMembers *md_members_new (const MdTuning *tuning);
  void md_members_free (MdMembers *members);

  /* md_members_register: a registration record from the log at an offset. An
   earlier incarnation with the same role and name is replaced. Records at or
   below the highest offset applied are ignored. Offsets of records start at 1;
   offset 0 enters a member that is known from its Hello only, which replaces
   nothing. */
  int md_members_register (MdMembers *members, const MdMemberInfo *info, uint64_t offset,
                           int64_t time_ms, MdTime now);
  /* md_members_remove: a leaving (left true) or removal record. Records below the
   highest offset applied are ignored; several removals may share an offset,
   because a snapshot can end several members at once. */
  int md_members_remove (MdMembers *members, uint64_t incarnation, bool left, uint64_t offset,
                         int64_t time_ms, MdTime now);
  /* md_members_set_interval: the member was asked to send heartbeats at this interval.
   The default is heartbeat_max for entries and heartbeat_idle for guards; the
   owner of a guard sets the interval that it gave in Welcome. */
  void md_members_set_interval (MdMembers *members, uint64_t incarnation, MdTime interval,
                                MdTime now);
  void md_members_record_contact (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_record_peer_contact: a third party says it heard the member age ago. */
  void md_members_record_peer_contact (MdMembers *members, uint64_t incarnation, MdTime age,
                                       MdTime now);
  void md_members_set_leaving (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_tick: judge silences. Returns when to call again; a call that is
   late by more than heartbeat_min counts as a pause of this process, and the
   silence of the others is then measured from its end. */
  MdTime md_members_tick (MdMembers *members, MdTime now);
  /* md_members_next: changes of one member between two calls are merged. A new
   member is reported as a change from MD_MEMBER_GONE. */
  bool md_members_next (MdMembers *members, MdMembersDecision *decision);
  const MdMember *md_members_find (const MdMembers *members, uint64_t incarnation);
  const MdMember *md_members_find_name (const MdMembers *members, MdRole role, MdStr name);
  /* md_members_count, md_members_at: members that were neither replaced nor
   removed, in no fixed order. Replaced and removed ones are still found by
   incarnation for the horizon. */
  size_t md_members_count (const MdMembers *members);
  const MdMember *md_members_at (const MdMembers *members, size_t index);
  uint64_t md_members_offset (const MdMembers *members);

  /* md_members_owner: the live entry with the highest rendezvous hash for a shard
   name, 0 when no entry is live. */
  uint64_t md_members_owner (const MdMembers *members, MdStr shard);

  /* md_heartbeat_interval: interval at which a node with this many peers sends
   heartbeats within its byte budget. */
  MdTime md_heartbeat_interval (const MdTuning *tuning, size_t peers);

  /* md_reconnect_delay: delay before connection attempt number attempt (0 first),
   full jitter; random is uniform over 64 bits. */
  MdTime md_reconnect_delay (const MdTuning *tuning, unsigned attempt, uint64_t random);

  /* md_key: key of a submission. */
  MdKey md_key (MdStr customer, MdStr pool, MdStr submission_id);
  /* md_shard_of: shard index of a key or a guard name. */
  uint32_t md_shard_of_key (MdKey key, uint32_t shards);
  uint32_t md_shard_of_guard (MdStr name, uint32_t shards);
  /* md_uuid7_time: wall clock in a UUIDv7 submission id, 0 for other ids. */
  int64_t md_uuid7_time (MdStr id);

  /* ------------------------------------------------------------------ */
  /* Retry budget (retry.c)                                             */

  typedef struct
  {
    double tokens;  /* retries that may be made now */
    double deposit; /* earned per first attempt */
    double burst;   /* most tokens held */
  } MdRetryBudget;

  void md_retry_init (MdRetryBudget *budget, const MdTuning *tuning);
  void md_retry_deposit (MdRetryBudget *budget);
  /* md_retry_withdraw: true when a retry may be made; takes one token. */
  bool md_retry_withdraw (MdRetryBudget *budget);

  /* ------------------------------------------------------------------ */
  /* Configuration by log offset (config.c)                             */

  typedef struct MdConfig MdConfig;

  typedef enum
  {
    MD_CHANGE_PUT,    /* created or replaced */
    MD_CHANGE_DELETE, /* deleted */
  } MdChangeKind;

  typedef struct
  {
    MdChangeKind kind;
    MdStr resource_kind; /* "pool", "configuration", "customer" */
    MdStr name;          /* resource name */
    uint64_t version;    /* after the change; for deletes, of the delete */
    MdStr spec;          /* JSON text, empty for deletes */
    MdStr actor;         /* who made the change */
    int64_t time_ms;     /* by the log's clock */
  } MdChange;

  typedef enum
  {
    MD_APPLY_EFFECTIVE, /* changed the state */
    MD_APPLY_LOST_RACE, /* expected version was not the current one */
    MD_APPLY_DUPLICATE, /* change id seen before */
    MD_APPLY_STALE,     /* offset at or below the one applied */
    MD_APPLY_INVALID,   /* not a valid record; skipped by every node alike */
    MD_APPLY_SNAPSHOT,  /* a snapshot record; ignored by nodes that are ahead */
  } MdApplyResult;

  MdConfig *md_config_new (const MdTuning *tuning);
  void md_config_free (MdConfig *config);

  /* md_config_apply: apply the record at a log offset. Offsets must be passed in
   order; gaps are allowed only when the first record is a snapshot. */
  MdApplyResult md_config_apply (MdConfig *config, uint64_t offset, int64_t time_ms, MdStr record);

  /* md_config_next_offset: the offset to read next, 0 at the start. */
  uint64_t md_config_next_offset (const MdConfig *config);

  /* md_config_get: MD_OK or MD_E_NOT_FOUND; strings belong to the object and are
   valid until the next apply. */
  int md_config_get (const MdConfig *config, MdStr resource_kind, MdStr name, MdChange *out);
  size_t md_config_count (const MdConfig *config);
  void md_config_at (const MdConfig *config, size_t index, MdChange *out);

  /* md_config_change_result: what became of a change id; MD_E_NOT_FOUND when its record
   has not been applied (yet). version is the current one after the change. */
  int md_config_change_result (const MdConfig *config, MdStr change_id, MdApplyResult *apply,
                               uint64_t *version);

  /* md_config_change_after: the first change with a version above the given one;
   MD_E_NOT_FOUND when there is none, MD_E_TOO_OLD when changes above it have
   been dropped from the watch log. */
  int md_config_change_after (const MdConfig *config, uint64_t version, MdChange *out);

  /* md_config_snapshot: the state as a snapshot record (JSON text). The caller
   frees *out with free. */
  int md_config_snapshot (const MdConfig *config, char **out, size_t *len);

  /* md_config_load: take a peer's snapshot record; MD_E_TOO_OLD when it is behind
   the state, which is then kept. */
  int md_config_load (MdConfig *config, MdStr snapshot, MdError *error);

  /* md_config_record: JSON text of a change record. spec is JSON text, empty for
   deletes. The caller frees *out with free. */
  int md_config_record (MdChangeKind kind, MdStr change_id, MdStr resource_kind, MdStr name,
                        uint64_t expected, MdStr spec, MdStr actor, char **out, size_t *len);

  /* md_config_check: validate a spec before it is appended; error->detail names
   the field. */
  int md_config_check (MdStr resource_kind, MdStr name, MdStr spec, MdError *error);

#ifdef __cplusplus
}
#endif

#endif
