/* run-entry.h -- what the files of the entry daemon share

   front.c is the HTTP server for callers, run-entry.c the life cycle, entry-jobs.c the
   jobs, entry-placement.c where their tasks go, entry-guards.c the links to guards. All
   but front.c run in the engine thread. */

#ifndef MD_RUN_ENTRY_H
#define MD_RUN_ENTRY_H

#include "advice.h"
#include "daemon.h"
#include "inbox.h"

#include "wire.pb-c.h"

/* ------------------------------------------------------------------ */
/* Requests of callers on their way to the engine and back              */

#define MD_JOB_ID_BYTES 64 /* name of a job as its caller chose it, with terminator */

typedef enum
{
  MD_CALLER_REQUEST_SUBMIT,  /* run a job */
  MD_CALLER_REQUEST_ABANDON, /* the caller of another request has left, see abandoned */
  MD_CALLER_REQUEST_PENDING, /* count the jobs of a queue that have not started */
  MD_CALLER_REQUEST_STATE,   /* state of a job */
  MD_CALLER_REQUEST_CANCEL,  /* end a job */
} MdCallerRequestKind;

typedef struct MdCallerRequest MdCallerRequest;
typedef struct MdEntryJob MdEntryJob;

/* Owned by the thread that posted it, which keeps it until it is answered and, when it
   has posted an ABANDON request for it, until the engine has seen that one as well. ABANDON
   requests belong to the engine. */
struct MdCallerRequest
{
  MdInboxNode node;            /* in the inbox */
  MdCallerRequestKind kind;    /* see above */
  MdCallerRequest *abandoned;  /* ABANDON: the request that is not waited for any more */
  char id[MD_JOB_ID_BYTES];    /* SUBMIT, STATE, CANCEL: name of the job */
  char request_id[64];         /* SUBMIT: the caller's name for the request */
  MdRoute route;               /* queue */
  MdRunSpec spec;              /* SUBMIT: the job; taken over by the engine */
  MdTime arrived;              /* when the request had been read */
  MdTime response_timeout;     /* how long the caller waits for the response, 0 not stated */
  MdCallerRequest *next;       /* engine: further requests of the same job */
  MdEntryJob *job;             /* engine: its job, NULL answered */
  int event;                   /* descriptor that is written when it is answered */
  int status;                  /* answer: HTTP status */
  MdTime retry_after;          /* answer: 0 none */
  MdBuf body;                  /* answer */
  atomic_bool answered;        /* the above is valid */
  atomic_bool abandon_handled; /* the engine has seen the ABANDON request; it may be freed */
};

/* ------------------------------------------------------------------ */
/* Guards                                                             */

typedef struct MdEntryOrder MdEntryOrder;

typedef struct
{
  uint64_t *ids; /* n entries, owned */
  uint32_t n;    /* entries */
  uint32_t cap;  /* allocated */
} MdIdList;

typedef struct
{
  MdWorker worker;          /* first: as placement sees it */
  char name[MD_NAME_BYTES]; /* of the guard */
  char worker_id[64];       /* of the worker */
  MdLink *link;             /* NULL not connected */
  uint64_t connection;      /* number of the link among those of its process */
  MdTime stamp;             /* latest stamp of its reports */
  MdTime stamp_at;          /* when that arrived here */
  MdTime echoed_at;         /* stamp_at of the stamp that was echoed last */
  MdTime lost_at;           /* when the link was lost */
  uint64_t ends_seen;       /* highest end received */
  uint64_t *hello_orders;   /* orders named in its hello, until its first report */
  size_t n_hello_orders;    /* of them */
  bool awaiting_report;     /* hello received, first report not yet */
  MdEntryOrder *orders;     /* without an end */
  MdEntryOrder *unsent;     /* to go with the next message, in reverse */
  MdIdList cancels;         /* to go with the next message */
  MdIdList withdraws;       /* to go with the next message */
  MdTime sent_at;           /* last message */
} MdEntryGuard;

/* A run ordered and not ended. */
struct MdEntryOrder
{
  MdEntryOrder *next;           /* at the guard */
  MdEntryOrder *previous;       /* at the guard */
  MdEntryOrder *next_unsent;    /* next to be sent */
  uint64_t id;                  /* unique in this process */
  MdEntryGuard *guard;          /* where */
  MdEntryJob *job;              /* whose; NULL: nobody waits for it any more */
  uint32_t step;                /* of the job */
  uint32_t task;                /* of the step */
  uint32_t run_number;          /* number of the start */
  MdResources need;             /* reserved at the worker */
  MdTime declared_run;          /* run time that the caller stated */
  MdTime placed_at;             /* when it was ordered */
  MdTime expected_wait;         /* expected then */
  double work;                  /* run time expected at speed 1 */
  MdTime expected_run;          /* run time expected there */
  MdTime start_within;          /* slack then */
  char permit[MD_PERMIT_BYTES]; /* of the advisory service, empty none */
  bool sent;                    /* on its way */
  bool started;                 /* the guard has handed it to the worker */
  bool withdrawn;               /* the guard was asked to give it back */
  bool cancelled;               /* the guard was asked to end it */
};

/* ------------------------------------------------------------------ */
/* Jobs                                                               */

/* How jobs were answered. */
typedef enum
{
  MD_JOB_OUTCOME_IN_GOAL,     /* completed within the response-time goal */
  MD_JOB_OUTCOME_LATE,        /* completed later */
  MD_JOB_OUTCOME_FAILED,      /* a task failed too often */
  MD_JOB_OUTCOME_REJECTED,    /* nothing has run */
  MD_JOB_OUTCOME_GIVEN_UP,    /* something may have run */
  MD_JOB_OUTCOME_CALLER_LEFT, /* the caller left, or cancelled the job */
  MD_JOB_OUTCOME_COUNT
} MdJobOutcome;

/* What is learned about the jobs of a queue. */
typedef struct
{
  char name[MD_NAME_BYTES];                     /* of the queue */
  MdCorrection correction;                      /* of declared run times */
  MdDemand demand;                              /* of its jobs */
  double allowed_share;                         /* of workers, by its advisor; learned */
  _Atomic int64_t counts[MD_JOB_OUTCOME_COUNT]; /* by answer, also read by other threads */
} MdQueueStats;

struct MdEntryJob
{
  MdEntryJob *next;           /* all jobs */
  MdEntryJob *previous;       /* all jobs */
  MdEntryJob *bucket_next;    /* same bucket */
  char id[MD_JOB_ID_BYTES];   /* name */
  char request_id[64];        /* the caller's name for the request */
  MdRoute route;              /* queue */
  MdQueueStats *stats;        /* of the queue */
  MdRunJob runjob;            /* tasks */
  MdAdvice *advice;           /* per step; NULL: the queue has no advisor */
  bool needs_advice;          /* a step waits for a call to the advisor */
  MdCallerRequest *requests;  /* callers that wait */
  MdTime arrived;             /* first request */
  MdTime goal;                /* answered later, it is late */
  MdTime limit;               /* answered later, it is worth nothing */
  MdTime deadline;            /* given up then */
  MdTime started_at;          /* first start reported, 0 none */
  uint32_t run_number_offset; /* added to run numbers, after a worker had seen higher ones */
  bool giving_up;             /* to be rejected once all orders are back */
};

#define MD_JOB_BUCKETS 4096u /* of the table of jobs */

typedef struct
{
  MdDaemon daemon;                       /* settings, links, store */
  uint64_t incarnation;                  /* of this process */
  MdKeyedReader *config_reader;          /* the operator's records */
  MdDirectory directory;                 /* entries known */
  MdInbox inbox;                         /* requests */
  MdRoutes *routes;                      /* RCU: configuration in force, NULL none yet */
  struct MdFront *front;                 /* HTTP for callers */
  MdWorkers workers;                     /* of all guards */
  uint32_t allocated_workers;            /* allocated */
  MdSavedResources *saved_resources;     /* cap_workers entries, for trials of placements */
  MdEntryJob *jobs;                      /* all */
  MdEntryJob *buckets[MD_JOB_BUCKETS];   /* by id */
  uint32_t n_jobs;                       /* all */
  uint64_t next_order_id;                /* id of the next one */
  MdQueueStats *stats[MD_MAX_QUEUES];    /* n_stats entries */
  _Atomic uint32_t n_stats;              /* queues seen */
  MdCorrection correction;               /* of all queues together */
  MdHttp *advisor;                       /* calls to the advisory service, NULL none */
  struct MdEntryAdviceCall *advice_call; /* call under way, NULL none */
  MdTime next_advice_at;                 /* no call before, after one failed */
  bool *excluded;                        /* cap_workers entries, for placements by advice */
  MdTime now;                            /* at the start of the pass */
  MdTime next_tick;                      /* next look at waiting runs */
  MdTime register_due;                   /* next attempt to write our address */
  bool registering;                      /* such an attempt is under way */
  bool registered;                       /* our address is in the store */
  MdTime gauges_due;                     /* next update of the gauges */
  bool leaving;                          /* SIGTERM has arrived */
  MdTime reject_after;                   /* the balancer may still send until then */
  MdTime drain_deadline;                 /* end of the drain */
  atomic_bool ready;                     /* for the balancer */
  atomic_int active_requests;            /* of callers that have no response yet */
  atomic_bool closed;                    /* nothing is taken in any more */
} MdRunEntry;

/* Body of a response that says that nothing has run. */
#define MD_BODY_NOT_RUN "{\"outcome\":\"not_run\"}"

/* front.c */
typedef struct MdFront MdFront;
MdFront *md_front_start (MdRunEntry *entry, MdError *error);
void md_front_stop (MdFront *front);
/* md_front_disable_keep_alive: responses close their connections from now on. */
void md_front_disable_keep_alive (MdFront *front);

#define MD_RETRY_AFTER_NO_WORKER (1 * MD_SECOND) /* Retry-After while no upstream is usable */

/* entry-placement.c */
/* md_entry_expected_work: run time of a task of the step at speed 1, microseconds. */
double md_entry_expected_work (const MdEntryJob *job, uint32_t step);
/* md_entry_requirements: what a task of the step asks of a worker now. */
void md_entry_requirements (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                            MdTaskRequirements *need);
/* md_entry_set_times: goal, limit and deadline of a new job; returns its longest chain of
   work and calls for advice, microseconds. */
double md_entry_set_times (MdEntryJob *job, const MdCallerRequest *caller_request);
/* md_entry_admit: place the job or reject it. */
void md_entry_admit (MdRunEntry *entry, MdEntryJob *job, double chain);
/* md_entry_place_ready: order what is ready; what no worker can take stays ready. */
void md_entry_place_ready (MdRunEntry *entry, MdEntryJob *job);

/* entry-advice.c */
#define MD_INITIAL_ALLOWED_SHARE 0.5 /* of workers, until an advisor has said more */
/* md_entry_apply_advice: exclude the workers that may not run the step; false when none may yet, in
   which case the advisor is asked. */
bool md_entry_apply_advice (MdRunEntry *entry, MdEntryJob *job, uint32_t step,
                            MdTaskRequirements *need);
/* md_entry_advice_wait: until the calls for more urgent jobs are answered. */
MdTime md_entry_advice_wait (const MdRunEntry *entry, const MdEntryJob *job);
/* md_entry_advice_poll: make the next call; returns when to call again. */
MdTime md_entry_advice_poll (MdRunEntry *entry);
/* md_entry_free_advice: the job ends. */
void md_entry_free_advice (MdRunEntry *entry, MdEntryJob *job);

/* entry-jobs.c */
/* md_entry_finish_job: answer the callers, end what is left of the job, and free it. */
void md_entry_finish_job (MdRunEntry *entry, MdEntryJob *job, int status, const char *state,
                          const char *reason, MdTime retry_after);
void md_entry_handle_request (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_reject_request: answer a request that no engine will look at. */
void md_entry_reject_request (MdCallerRequest *caller_request);
/* md_entry_order_started, md_entry_order_ended: what a guard reports. Ended frees the
   order. */
void md_entry_order_started (MdRunEntry *entry, MdEntryOrder *order);
void md_entry_order_ended (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run,
                           const char *checkpoint);
/* md_entry_clear_worker: jobs must not refer to it any more. */
void md_entry_clear_worker (MdRunEntry *entry, const MdWorker *worker);
/* md_entry_jobs_tick: deadlines, runs that wait too long, tasks without a worker. */
void md_entry_jobs_tick (MdRunEntry *entry);
/* md_entry_fail_all: answer every job, at the end of the process. */
void md_entry_fail_all (MdRunEntry *entry);

/* entry-metrics.c */
void md_entry_write_metrics (MdRunEntry *entry, MdBuf *out);

/* entry-guards.c */
extern const MdLinkHandler md_run_entry_handler;
/* md_entry_send_order, md_entry_cancel, md_entry_withdraw: with the next message. */
void md_entry_send_order (MdRunEntry *entry, MdEntryOrder *order);
void md_entry_cancel (MdEntryOrder *order);
void md_entry_withdraw (MdEntryOrder *order);
/* md_entry_guards_poll: messages that are due, and guards that are lost for good;
   returns when to call again. */
MdTime md_entry_guards_poll (MdRunEntry *entry);
void md_entry_free_guards (MdRunEntry *entry);

#endif
