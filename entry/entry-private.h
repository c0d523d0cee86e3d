/* entry-private.h -- what the files of the entry daemon share

   Threads: HTTP threads make submissions and wait on futures; the engine thread
   owns everything in MdEntry that is not marked otherwise. Submissions, results
   and futures are counted references that cross the threads; a submission and a
   result do not change once they are shared. */

#ifndef ENTRY_PRIVATE_H
#define ENTRY_PRIVATE_H

#include "md-private.h"
#include "wire.pb-c.h"

#include <pthread.h>
#include <urcu/wfcqueue.h>

/* ------------------------------------------------------------------ */
/* Submissions, results and futures (submission.c)                    */

typedef struct
{
  char *name;  /* header name, owned */
  char *value; /* header value, owned */
} MdHeader;

typedef struct
{
  char *method;      /* HTTP method, owned */
  char *path;        /* path and query, owned */
  MdHeader *headers; /* passed to the upstream, owned */
  size_t n_headers;  /* headers */
  char *body;        /* owned, may be NULL */
  size_t body_len;   /* bytes */
  MdTaskSpec spec;   /* declared needs */
} MdTaskBody;

typedef struct
{
  _Atomic int refs;             /* references */
  MdKey key;                    /* customer, pool and id */
  MdKey fingerprint;            /* of all that is to run */
  char customer[MD_NAME_BYTES]; /* customer */
  char pool[MD_NAME_BYTES];     /* pool */
  char id[MD_TOKEN_BYTES];      /* submission id */
  int64_t submitted_ms;         /* first submission, 0 unknown */
  MdTime deadline;              /* absolute */
  bool single_request;          /* a single request, not a job */
  bool repeatable;              /* may be retried after an unknown outcome */
  bool anonymous;               /* id was made here: nobody can have sent it before */
  bool wait;                    /* the caller waits for the end */
  MdTaskBody *tasks;            /* owned */
  uint32_t n_tasks;             /* tasks */
} MdSubmission;

MdSubmission *md_submission_new (uint32_t n_tasks);
MdSubmission *md_submission_ref (MdSubmission *sub);
void md_submission_unref (MdSubmission *sub);
/* md_submission_finalize: compute key and fingerprint once all fields are set. */
void md_submission_finalize (MdSubmission *sub);
int md_task_add_header (MdTaskBody *task, MdStr name, MdStr value);

typedef struct
{
  bool present;        /* an answer has arrived */
  MdTaskResult result; /* how the attempt ended */
  uint32_t status;     /* HTTP status */
  MdHeader *headers;   /* owned */
  size_t n_headers;    /* headers */
  char *body;          /* owned */
  size_t body_len;     /* bytes */
} MdTaskAnswer;

typedef enum
{
  MD_STATE_REFUSED,   /* not admitted; see reason and outcome */
  MD_STATE_RUNNING,   /* admitted, not finished */
  MD_STATE_DONE,      /* every task answered */
  MD_STATE_FAILED,    /* see reason and outcome */
  MD_STATE_CANCELLED, /* cancelled */
  MD_STATE_NOT_FOUND, /* no such job is known */
} MdState;

const char *md_state_name (MdState state);

typedef struct
{
  _Atomic int refs;         /* references */
  MdState state;            /* of the job */
  MdReason reason;          /* when refused or failed */
  MdOutcome outcome;        /* when refused or failed */
  MdTime retry_after;       /* 0 when a retry would not help */
  uint32_t task;            /* task that decided a failure */
  char peer[MD_NAME_BYTES]; /* upstream or entry that decided it */
  uint32_t done_tasks;      /* tasks answered so far */
  uint32_t n_tasks;         /* tasks of the job */
  MdTaskAnswer *answers;    /* n_answers entries in task order, owned */
  uint32_t n_answers;       /* 0 unless done, or a failed single request */
} MdResult;

MdResult *md_result_new (MdState state, MdReason reason, MdOutcome outcome);
MdResult *md_result_ref (MdResult *result);
void md_result_unref (MdResult *result);
void md_answer_clear (MdTaskAnswer *answer);
void md_answers_free (MdTaskAnswer *answers, uint32_t n);
int md_answer_from_wire (MdTaskAnswer *answer, const Md__Answer *wire);

typedef struct
{
  _Atomic int refs;       /* references */
  pthread_mutex_t lock;   /* guards result */
  pthread_cond_t changed; /* result was set; uses CLOCK_MONOTONIC */
  MdResult *result;       /* NULL until it is known */
} MdResultFuture;

MdResultFuture *md_result_future_new (void);
void md_result_future_unref (MdResultFuture *future);
/* md_result_future_complete: the first result counts; takes no reference. */
void md_result_future_complete (MdResultFuture *future, MdResult *result);
/* md_result_future_wait: wait at most this long; a new reference, or NULL. */
MdResult *md_result_future_wait (MdResultFuture *future, MdTime timeout);

/* ------------------------------------------------------------------ */
/* Engine                                                             */

typedef struct MdEntry MdEntry;

typedef enum
{
  MD_OP_SUBMIT, /* admit, attach or replay */
  MD_OP_GET,    /* state or answer of a known job */
  MD_OP_CANCEL, /* cancel a known job */
} MdOp;

/* md_entry_post: hand a submission to the engine; thread-safe. The future gets
   the result. For GET and CANCEL only customer, pool and key are used. */
MdResultFuture *md_entry_post (MdEntry *entry, MdOp op, MdSubmission *sub);
MdStore *md_entry_store (MdEntry *entry);
const MdSettings *md_entry_settings (MdEntry *entry);
bool md_entry_leaving (MdEntry *entry); /* thread-safe */

/* Who waits for a submission: a caller here or a forwarding entry. */
typedef enum
{
  WAITER_LOCAL,
  WAITER_REMOTE,
} WaiterKind;

typedef struct Waiter
{
  struct Waiter *next; /* list */
  WaiterKind kind;     /* selects the member of the union */
  union
  {
    MdResultFuture *future; /* LOCAL: owned reference */
    struct
    {
      uint64_t entry;   /* node incarnation of the forwarding entry */
      uint64_t request; /* its request number */
    } remote;           /* REMOTE */
  } u;
} Waiter;

/* A submission that this entry owns, or knows from the records of guards. */
typedef struct Job
{
  struct Job *next;      /* hash chain */
  MdKey key;             /* submission */
  MdKey fingerprint;     /* submission */
  MdSubmission *sub;     /* NULL when known from records only */
  Waiter *waiters;       /* to be answered at the end */
  MdTaskAnswer *answers; /* n_tasks entries */
  uint64_t *sent_to;     /* n_tasks guard incarnations, 0 not sent */
  uint32_t n_tasks;      /* tasks */
  uint32_t done_tasks;   /* answers present */
  MdResult *result;      /* set at the end */
} Job;

#define JOB_BUCKETS 4096

typedef struct Shard
{
  struct Shard *next;           /* all shards of this entry's view */
  char name[MD_NAME_BYTES + 8]; /* pool "/" index */
  char pool[MD_NAME_BYTES];     /* pool */
  uint32_t index;               /* shard of the pool */
  uint32_t shards;              /* shards of the pool */
  uint32_t coalesce_us;         /* pool setting */
  MdPoolPolicy policy;          /* pool setting */
  bool fair_share;              /* pool setting */
  MdShard *core;                /* ownership */
  MdDispatch *dispatch;         /* queue */
  uint64_t self;                /* incarnation under which it is owned */
  bool wanted;                  /* acquire was called and not given up */
  size_t n_registered;          /* guards registered in the log */
  MdTime retry_at;              /* do not acquire before */
  Job *jobs[JOB_BUCKETS];       /* by key */
} Shard;

/* A process at the other end of a link. */
typedef struct Peer
{
  struct Peer *next;                /* all peers */
  MdLink *link;                     /* NULL while disconnected */
  MdRole role;                      /* entry or guard */
  char name[MD_NAME_BYTES];         /* node name */
  char domain[MD_NAME_BYTES];       /* failure domain */
  char pool[MD_NAME_BYTES];         /* guards */
  uint64_t incarnation;             /* of the process, 0 before Hello or Welcome */
  uint32_t slots;                   /* guards */
  uint32_t cores;                   /* guards */
  uint32_t memory_mb;               /* guards */
  uint32_t accelerators;            /* guards */
  Shard *shard;                     /* guards: shard it belongs to, NULL unknown pool */
  bool attached;                    /* guards: attached to us */
  bool placed;                      /* guards: known to the dispatch core */
  bool usable;                      /* guards: may be placed on */
  bool leaving;                     /* announced that it leaves */
  uint64_t connection;              /* number of the connection, grows with each new one */
  MdTime down_since;                /* when the link was lost, 0 when up */
  MdTime next_heartbeat;            /* when to send the next one */
  MdTime peer_sent;                 /* latest sent_us received */
  uint64_t peer_offset;             /* members_offset it carried */
  MdTime nonce;                     /* guards: latest nonce */
  MdTime clock_lead;                /* guards: most that a nonce was ahead of our clock */
  bool clock_known;                 /* guards: clock_lead is set */
  MdTime echo;                      /* guards: nonce to return */
  uint64_t config_offset;           /* configuration in force there */
  bool heartbeat_received;          /* a heartbeat has arrived on this link */
  Md__Start **starts;               /* batch of starts for this guard */
  size_t n_starts;                  /* in the batch */
  size_t cap_starts;                /* allocated */
  MdTime flush_at;                  /* when the batch must leave */
  MdKey *cancels;                   /* batch of cancels */
  size_t n_cancels;                 /* in the batch */
  MdKey *releases;                  /* batch of releases */
  size_t n_releases;                /* in the batch */
  char (*owned)[MD_NAME_BYTES + 8]; /* entries: shards it announces */
  uint32_t *owned_state;            /* entries: their MdShardState */
  size_t n_owned;                   /* entries: number announced */
} Peer;

/* A submission forwarded to, or waiting for, the owner of its shard. */
typedef struct Pending
{
  struct Pending *next; /* list */
  uint64_t request;     /* number on the wire */
  MdOp op;              /* what is asked */
  MdSubmission *sub;    /* owned reference */
  Waiter *waiters;      /* to be answered */
  uint64_t sent_to;     /* node incarnation of the owner, 0 not sent */
  uint64_t sent_on;     /* connection of the owner, see Peer */
  bool ever_sent;       /* was sent to some owner */
} Pending;

typedef enum
{
  EVENT_POST,       /* from an HTTP thread */
  EVENT_STORE,      /* from a log reader thread */
  EVENT_REGISTERED, /* registration finished */
} EventKind;

typedef struct Event
{
  struct cds_wfcq_node node; /* queue */
  struct Event *held;        /* next one that waits for the configuration */
  EventKind kind;            /* selects the member of the union */
  union
  {
    struct
    {
      MdOp op;                /* what is asked */
      MdSubmission *sub;      /* owned reference */
      MdResultFuture *future; /* owned reference */
    } post;
    MdStoreEvent store; /* strings owned by text */
    uint64_t offset;    /* REGISTERED */
  } u;
  char text[6][MD_NAME_BYTES]; /* STORE: name, address, region, domain, pool */
} Event;

struct MdEntry
{
  MdSettings settings;                   /* read-only after start */
  uint64_t incarnation;                  /* of this process */
  MdLinks *links;                        /* all connections */
  MdStore *store;                        /* thread-safe */
  MdObserved *observed;                  /* thread-safe */
  MdOperator *operator_http;             /* thread-safe */
  struct MdCallers *callers;             /* thread-safe */
  MdMembers *members;                    /* membership table */
  Shard *shards;                         /* all known shards */
  Peer *peers;                           /* all known processes */
  Pending *pending;                      /* forwarded or waiting */
  uint64_t next_request;                 /* number of the next forward */
  uint64_t registered;                   /* offset of our registration, 0 not yet */
  bool members_ready;                    /* the members stream was read */
  bool seeding;                          /* asking a peer for snapshots */
  bool pools_known;                      /* a configuration has been read */
  Event *held;                           /* member records that wait for it */
  Event *held_tail;                      /* last of them */
  MdTime ticked;                         /* last tick of the cores */
  MdTime started;                        /* when the engine started */
  MdTime leave_started;                  /* 0 unless leaving */
  bool handed_over;                      /* shards were released for a successor */
  struct Reports *reports;               /* late and lost requests by customer */
  char bound_internal[MD_ADDRESS_BYTES]; /* address in use */
  _Atomic bool stopping;                 /* set by signals; any thread */
  _Atomic bool leaving;                  /* read by HTTP threads */
  struct cds_wfcq_head queue_head;       /* events, any thread */
  struct cds_wfcq_tail queue_tail;       /* events, any thread */
};

/* entry.c */
/* md_entry_refresh: judge the ownerships again when the last tick is long ago. */
void md_entry_refresh (MdEntry *entry, MdTime now);

/* entry-peers.c: links, heartbeats, membership */
extern const MdLinkHandler md_entry_link_handler;
void md_peers_store_event (MdEntry *entry, const MdStoreEvent *event, MdTime now);
void md_peers_tick (MdEntry *entry, MdTime now);
Peer *md_peers_find (MdEntry *entry, uint64_t incarnation);
/* md_peers_shard_owner: the entry that announces a shard, NULL when none. */
Peer *md_peers_shard_owner (MdEntry *entry, const char *shard, bool serving_only);
bool md_peers_other_entry_live (MdEntry *entry);
void md_peers_send_leaving (MdEntry *entry);
#define MD_PROTOCOL 1    /* version of the messages between processes */
#define MD_MAX_OWNED 256 /* shards that one heartbeat may announce */

/* entry-send.c: messages to peers */
void md_peers_send_hello (MdEntry *entry, MdLink *link);
void md_peers_send_welcome (MdEntry *entry, Peer *peer);
void md_peers_send_heartbeat (MdEntry *entry, Peer *peer, MdTime now);
void md_peers_send_heartbeats (MdEntry *entry, MdTime now);
void md_peers_send_leave (Peer *peer, uint64_t incarnation);
void md_peers_clear_batches (Peer *peer);
void md_peers_flush (MdEntry *entry, MdTime now);
/* Ask an entry behind the balancer for snapshots while the log is down. */
void md_peers_start_seed (MdEntry *entry);
void md_peers_stop_seed (MdEntry *entry);
bool md_peers_resolved (MdEntry *entry, MdTime now);

/* entry-shards.c: ownership and the decisions of the cores */
Shard *md_shards_find (MdEntry *entry, const char *pool, uint32_t index);
void md_shards_configure (MdEntry *entry, MdTime now);
void md_shards_set_guards (MdEntry *entry, MdTime now);
void md_shards_tick (MdEntry *entry, MdTime now);
void md_shards_run (MdEntry *entry, Shard *shard, MdTime now);
void md_shards_release_all (MdEntry *entry, MdTime now);
/* md_shards_guard_attached: make the guard known to the dispatch core, before its
   records arrive; nothing is placed on it yet. */
void md_shards_guard_attached (MdEntry *entry, Peer *peer, MdTime now);
void md_shards_guard_link (MdEntry *entry, Peer *peer, bool up, MdTime now);
void md_shards_guard_lost (MdEntry *entry, Peer *peer, MdTime now);
uint32_t md_shards_unfinished (MdEntry *entry);

/* entry-jobs.c: jobs of owned shards */
Job *md_jobs_find (Shard *shard, MdKey key);
void md_jobs_submit (MdEntry *entry, Shard *shard, MdOp op, MdSubmission *sub, Waiter *waiter,
                     MdTime now);
void md_jobs_answers (MdEntry *entry, Peer *peer, const Md__Answers *answers, MdTime now);
void md_jobs_records (MdEntry *entry, Peer *peer, const Md__Records *records, MdTime now);
void md_jobs_decide (MdEntry *entry, Shard *shard, MdTime now);
/* md_jobs_drop: give up all jobs of a shard; those with a body are routed to the
   new owner. */
void md_jobs_drop (MdEntry *entry, Shard *shard, MdTime now);
void md_jobs_query (Peer *peer);

/* entry-reports.c: late and lost requests */
void md_reports_add (MdEntry *entry, const MdDispatchDecision *d);

/* entry-forward.c: routing to owners */
void md_forward_route (MdEntry *entry, MdOp op, MdSubmission *sub, Waiter *waiters, MdTime now);
/* md_forward_defer: keep a submission until its shard has an owner again. */
void md_forward_defer (MdEntry *entry, MdOp op, MdSubmission *sub, Waiter *waiters);
void md_forward_tick (MdEntry *entry, MdTime now);
void md_forward_request (MdEntry *entry, Peer *peer, const Md__Forward *wire, MdTime now);
void md_forward_reply (MdEntry *entry, const Md__ForwardReply *wire);

/* Waiters (entry-forward.c) */
Waiter *md_waiter_local (MdResultFuture *future);
Waiter *md_waiter_remote (uint64_t entry, uint64_t request);
void md_waiters_complete (MdEntry *entry, Waiter *waiters, MdResult *result);
void md_waiters_free (Waiter *waiters);

/* callers.c */
typedef struct MdCallers MdCallers;
MdCallers *md_callers_start (MdEntry *entry, MdError *error);
int md_callers_in_progress (MdCallers *callers);

/* caller-json.c: bodies of the callers' API */

/* md_job_memory: bytes that md_job_parse takes at most; 0 when it refuses the text without parsing
   it. */
size_t md_job_memory (MdStr text);
/* md_job_parse: a job from JSON text; error->detail names the field. max_tasks is
   the configured cap. */
MdSubmission *md_job_parse (MdStr text, uint32_t max_tasks, MdError *error);
/* md_job_write: a result as JSON text. */
void md_job_write (MdBuf *out, MdStr id, const MdResult *result);
void md_problem_write (MdBuf *out, int status, MdReason reason, MdOutcome outcome,
                       const char *detail, uint32_t task, const char *peer);
/* md_reason_status: HTTP status for a refusal or failure. */
int md_reason_status (MdReason reason);

#endif
