/* mulberrydrift-types.h -- basic types and tunables

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_TYPES_H
#define MULBERRYDRIFT_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

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

#ifdef __cplusplus
}
#endif

#endif
