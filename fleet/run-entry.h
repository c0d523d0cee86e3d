/* run-entry.h -- types and functions shared by the files of the entry daemon

   front.c is the HTTP server for callers, run-entry.c the main loop, entry-start.c the start,
   entry-backlog.c orders the requests, entry-requests.c handles them, entry-jobs.c keeps the jobs,
   entry-placement.c admits them and places their tasks, entry-near.c lets tasks wait for near
   places, entry-advice.c calls the advisory service, entry-guards.c has the links of guards and
   sends their orders, entry-reports.c reads their reports, and entry-evacuation.c applies
   evacuations of failure domains. All of them run in the engine thread, except front.c and
   entry-metrics.c, which run in the threads of the HTTP server, and entry-start.c, whose functions
   say where they run. config-reader.c has a thread of its own. Times are microseconds on the
   monotonic clock (MdTime) unless stated otherwise. */

#ifndef MD_RUN_ENTRY_H
#define MD_RUN_ENTRY_H

#include "advice.h"
#include "backlog.h"
#include "config-reader.h"
#include "ended-jobs.h"
#include "entry-handover.h"
#include "entry-start.h"
#include "inbox.h"
#include "locality.h"
#include "patience.h"
#include "priority.h"
#include "recent-jobs.h"

#include "wire.pb-c.h"

/* ------------------------------------------------------------------ */
/* Requests passed from the HTTP threads to the engine thread           */

#define MD_JOB_ID_BYTES 64 /* job ID chosen by the caller, with terminator */

typedef enum
{
  MD_CALLER_REQUEST_SUBMIT,  /* run a job */
  MD_CALLER_REQUEST_ABANDON, /* the caller of another request has disconnected */
  MD_CALLER_REQUEST_PENDING, /* count the jobs of a queue that have not started */
  MD_CALLER_REQUEST_STATE,   /* report the state of a job */
  MD_CALLER_REQUEST_CANCEL,  /* cancel a job */
  MD_CALLER_REQUEST_WHERE,   /* tell where a job would go, without starting it */
} MdCallerRequestKind;

typedef struct MdEntryJob MdEntryJob;

/* A request is owned by the HTTP thread that posts it. The thread must keep it until
   answered is set and, if it has posted an ABANDON request for it, until abandon_handled
   is set as well. ABANDON requests are allocated by the thread and freed by the engine. */
struct MdCallerRequest
{
  MdInboxNode node;            /* links the request in the inbox */
  MdCallerRequestKind kind;    /* selects the fields that are valid */
  MdCallerRequest *abandoned;  /* ABANDON: the request whose caller disconnected */
  char id[MD_JOB_ID_BYTES];    /* SUBMIT, STATE, CANCEL: job ID */
  char request_id[64];         /* SUBMIT: Request-Id header, quoted for the log */
  MdRoute *route;              /* queue; borrowed, but owned by a request of another entry */
  MdRunSpec spec;              /* SUBMIT: the job; the engine takes ownership */
  MdTime arrived;              /* when the request header had been read */
  MdTime response_timeout;     /* how long the caller waits for the response, 0: not stated */
  MdCallerRequest *next;       /* engine only: next request for the same job */
  MdEntryJob *job;             /* engine only: job of the request, NULL once answered */
  bool known_only;             /* SUBMIT: not begun, only answered if known here */
  bool offered;                /* SUBMIT: not parsed yet; handed over or declined */
  bool declined;               /* SUBMIT, offered: response: it was not handed over */
  bool counted;                /* SUBMIT: an offer of it was declined before */
  MdStr raw;                   /* SUBMIT, offered: the body as received, borrowed */
  MdOpenHandover *handover;    /* engine only: the request was handed over, NULL: it was not */
  MdTakenRequest *taken;       /* engine only: request of another entry, which frees it, or NULL */
  int event;                   /* eventfd, borrowed; written when the request is answered */
  int socket;                  /* SUBMIT: the caller's, borrowed */
  int status;                  /* response: HTTP status, 0: the caller has disconnected */
  MdTime retry_after;          /* response: Retry-After, 0: none */
  MdBuf body;                  /* response; freed by the thread that posted the request */
  MdBacklogJob backlog;        /* SUBMIT: of the engine, while it waits in the backlog */
  atomic_bool answered;        /* set by the engine; the response is valid */
  atomic_bool abandon_handled; /* set by the engine; the ABANDON request is handled */
};

/* ------------------------------------------------------------------ */
/* Guards                                                             */

typedef struct MdEntryOrder MdEntryOrder;

typedef struct
{
  uint64_t *ids; /* n entries, owned */
  uint32_t n;    /* entries in use */
  uint32_t cap;  /* entries allocated */
} MdIdList;

typedef struct
{
  MdWorker worker;          /* state for placement; first, so that a pointer to it can be cast */
  MdRunEntry *entry;        /* that the guard is connected to, borrowed */
  char name[MD_NAME_BYTES]; /* of the guard; stays the same when the guard restarts */
  MdLink *link;             /* NULL: not connected */
  uint64_t connection;      /* counter of the guard's connections, from its hello */
  MdTime stamp;             /* highest stamp in its reports, guard's clock; 0: none */
  MdTime stamp_at;          /* when that stamp was received */
  MdTime echoed_at;         /* stamp_at of the stamp that was echoed last */
  MdTime lost_at;           /* when the link was lost last, 0: never */
  uint64_t ends_seen;       /* highest run end received; acknowledged to the guard */
  uint64_t *hello_orders;   /* orders listed in its last hello, owned; unused after a report */
  size_t n_hello_orders;    /* 0 if the hello refers to a former process of the entry */
  bool awaiting_report;     /* a hello has been received and no report since */
  bool welcomed;            /* has named this process of the entry, so it received a welcome */
  MdStampClock stamps;      /* tells how late its reports arrive */
  MdEntryOrder *orders;     /* all orders that have not ended, owned */
  MdEntryOrder *unsent;     /* orders for the next message, newest first */
  MdIdList cancels;         /* orders to cancel with the next message */
  MdIdList withdraws;       /* orders to withdraw with the next message */
  MdTime sent_at;           /* when the last message was sent */
  MdTime follow_until;      /* it was asked to report each change until then; 0: never */

  char failure_domain[MD_NAME_BYTES]; /* from its hello */
} MdEntryGuard;

/* A run that a guard was ordered to start and that has not ended. */
struct MdEntryOrder
{
  MdEntryOrder *next;        /* in the list of the guard */
  MdEntryOrder *previous;    /* in the list of the guard */
  MdEntryOrder *next_unsent; /* in the list of unsent orders of the guard */
  uint64_t id;               /* unique in this process, increasing */
  MdEntryGuard *guard;       /* guard that the order is for */
  MdEntryJob *job;           /* NULL: the job has been answered */
  uint32_t step;             /* index in the job */
  uint32_t task;             /* index in the step */
  uint32_t run_number;       /* start number, with the offset of the job */
  MdResources need;          /* resources reserved at the worker */
  MdTime declared_run;       /* run time declared by the caller */
  MdTime placed_at;          /* when the task was placed */
  MdTime expected_wait;      /* wait at the worker that was predicted at placement */
  double work;               /* predicted run time at speed 1, microseconds */
  MdTime expected_run;       /* run time on this worker that was predicted at placement */
  MdTime start_within;       /* slack at placement: a start after this time misses the goal */
  char *permit;              /* from the advisory service, owned; NULL: none */
  uint8_t priority;          /* by which the guard orders it among those that wait */
  bool alone;                /* nothing else may run at the worker meanwhile */
  bool at_once;              /* the guard is to reject it rather than let it wait */
  bool sent;                 /* has been sent to the guard */
  bool started;              /* the guard has reported the start */
  bool withdrawn;            /* the guard was asked to end it unless it has started */
  bool cancelled;            /* the guard was asked to end it, started or not */
  bool group_moves;          /* withdrawn with all of its group, for another rack */
  MdTime near_until;         /* it waits for a near place, which is decided again at this time;
                                   0: it does not */
  MdTime near_first_queue;   /* near_until: wait of a new run there when it was placed */
  MdTime near_queue;         /* near_until: the same at the last decision */
  MdTime near_saved;         /* near_until: run time that the near place saves */
};

/* ------------------------------------------------------------------ */
/* Jobs                                                               */

/* Outcome of a job, for metrics. */
typedef enum
{
  MD_JOB_OUTCOME_IN_GOAL,     /* completed within the response-time goal */
  MD_JOB_OUTCOME_LATE,        /* completed after the goal */
  MD_JOB_OUTCOME_FAILED,      /* a task has used up its attempts */
  MD_JOB_OUTCOME_REJECTED,    /* nothing has run */
  MD_JOB_OUTCOME_GIVEN_UP,    /* part of the job may have run */
  MD_JOB_OUTCOME_CALLER_LEFT, /* the caller disconnected or cancelled the job */
  MD_JOB_OUTCOME_COUNT
} MdJobOutcome;

/* Statistics of the jobs of a queue. */
typedef struct
{
  char *name;              /* of the queue, owned */
  MdCorrection correction; /* learned correction of declared run times */
  MdDemand demand;         /* decayed work of its jobs */
  MdPatience patience;     /* how long its callers usually wait */
  double allowed_share;    /* learned share of workers that the advisor allows */
  MdAdmitted admitted;     /* work of its admitted jobs */
  MdRoute *route;          /* as configured when the last job of the queue arrived; owned */
  _Atomic int64_t counts[MD_JOB_OUTCOME_COUNT]; /* jobs by outcome; read by other threads */
} MdQueueStats;

/* md_entry_free_order: free an order that is in no list. */
void md_entry_free_order (MdEntryOrder *order);

/* md_entry_free_queues: free the statistics of all queues and pools. There are no jobs left. */
void md_entry_free_queues (MdRunEntry *entry);

struct MdEntryJob
{
  MdEntryJob *next;           /* in the list of all jobs */
  MdEntryJob *previous;       /* in the list of all jobs */
  MdEntryJob *bucket_next;    /* in the same hash bucket */
  char id[MD_JOB_ID_BYTES];   /* chosen by the caller */
  char request_id[64];        /* Request-Id header of the first request */
  MdRoute *route;             /* queue, as when the job was submitted; owned */
  MdQueueStats *stats;        /* of the queue, borrowed */
  MdRunJob runjob;            /* steps and tasks */
  MdAdvice *advice;           /* one entry per step, owned; NULL: the queue has no advisor */
  bool needs_advice;          /* a step waits for a call to the advisory service */
  MdCallerRequest *requests;  /* waiting requests for this job */
  MdTime arrived;             /* when the first request arrived */
  MdTime age;                 /* how long the caller had waited before, md_patience_age */
  MdTime goal;                /* an answer after it is late; past for an aged job */
  MdTime limit;               /* an answer after this time is of no use to the caller */
  MdTime deadline;            /* the job is given up at this time */
  MdTime started_at;          /* when the first start was reported, 0: none */
  uint32_t run_number_offset; /* added to run numbers after a worker rejected one as stale */
  bool giving_up;             /* all orders are being withdrawn; rejected if none has started */
  bool floor;                 /* admitted as of the first priority, see md_priority_bound */
  double critical_path;       /* predicted work of the longest chain of steps, microseconds */
  MdTime admit_until;         /* Admission waits for full reports or a worker until this time at the
                                 latest; 0: it does not. */
  bool awaits_worker;         /* admission waits or has waited for a worker of a new process */
};

#define MD_JOB_BUCKETS 4096u
#define MD_MAX_POOLS 64 /* pools; without its pressure, a pool is served as if it had none */

/* ------------------------------------------------------------------ */
/* Load                                                               */

/* Totals since the start of the process. */
typedef struct
{
  int64_t jobs;        /* received */
  int64_t connections; /* of callers, accepted */
  int64_t frames;      /* received from guards */
  MdTime processor;    /* processor time of all threads */
  MdTime engine;       /* processor time of the engine thread */
} MdEntryLoadCounts;

/* How late the entry is, and what it did since the last line of the log about that. */
typedef struct
{
  MdEntryLoadCounts logged; /* totals at the last line */
  MdTime logged_at;         /* when it was written */
  MdTime log_due;           /* when the next one is due, 0: before the first pass */
  int64_t passes;           /* of the engine since then */
  MdTime max_wait;          /* longest time from the arrival of a job to its handling */
  MdTime max_lag;           /* most that the engine was behind the time of its next pass */
  MdLag lag;                /* of the engine, at present */
  MdShortage pressure;      /* whether requests are handed over */
  atomic_bool overloaded;   /* jobs are rejected before they reach the engine */
} MdEntryLoad;

/* Evacuated failure domains, as the engine has applied them. */
typedef struct
{
  MdEvacuated set;
  MdTime unknown_due; /* domains without a guard are logged at this time, 0: not any more */
} MdEntryEvacuation;

struct MdRunEntry
{
  MdDaemon daemon;                       /* settings, links, connections to the store */
  uint64_t incarnation;                  /* random, identifies this process */
  MdEntryStart start;                    /* until the first configuration is known */
  MdConfigReader *config;                /* follows the operator's configuration, owned */
  MdEntryEvacuation evacuation;          /* from config */
  MdDirectory directory;                 /* addresses of entries */
  MdInbox inbox;                         /* requests of callers */
  MdInboxNode *backlog;                  /* taken from the inbox, not handled yet, oldest first */
  struct MdFront *front;                 /* HTTP front end, owned */
  MdMetricsServer metrics;               /* its server for metrics */
  MdWorkers workers;                     /* workers of all known guards */
  uint32_t allocated_workers;            /* capacity of workers, saved_resources and excluded */
  MdSavedResources *saved_resources;     /* scratch for trial placements */
  MdEntryJob *jobs;                      /* all active jobs */
  MdEntryJob *buckets[MD_JOB_BUCKETS];   /* hash table of active jobs by ID */
  uint32_t n_jobs;                       /* active jobs */
  uint64_t n_tasks;                      /* of the active jobs */
  MdEndedJobs ended_jobs;                /* of jobs that were answered with their final state */
  MdRecentJobs recent_jobs;              /* that may have run; other threads read it */
  uint64_t next_order_id;                /* starts at 1 */
  MdQueueStats *stats[MD_MAX_QUEUES];    /* n_stats entries, owned; never removed */
  _Atomic uint32_t n_stats;              /* other threads read it */
  MdPressure pressures[MD_MAX_POOLS];    /* n_pressures elements, of pools with queues */
  uint32_t n_pressures;                  /* pools whose pressure is known */
  MdCorrection correction;               /* of all queues together; prior for new queues */
  MdHttp *advisor;                       /* calls to the advisory service, NULL: not configured */
  struct MdEntryAdviceCall *advice_call; /* call in progress, NULL: none */
  MdTime next_advice_at;                 /* no call before this time; set after a failure */
  bool *excluded;                        /* scratch: workers excluded from a step */
  MdTime now;                            /* time at the start of the current pass or event */
  MdTime next_tick;                      /* next check of deadlines and waiting runs */
  MdTime register_due;                   /* next attempt to write the address to the store */
  bool registering;                      /* a write is in progress */
  bool registered;                       /* the address is in the store */
  MdEntryLoad load;                      /* whether the engine keeps up */
  MdTime report_interval;                /* asked of guards, 0: their own */
  MdTime report_interval_due;            /* next adjustment of report_interval */
  MdTime guards_due;                     /* a guard needs a message or a check at this time; 0: at
                                            the next pass */
  MdTime gauges_due;                     /* next update of the gauges */
  MdEntryHandover handover;              /* requests handed over to other entries, and theirs */
  bool leaving;                          /* SIGTERM or SIGINT has been received */
  MdTime reject_after;                   /* leaving: new requests are rejected from this time on */
  MdTime drain_deadline;                 /* leaving: jobs that are left are failed at this time */
  atomic_bool ready;                     /* readiness probes get 200, otherwise 503 */
  atomic_int active_requests;            /* HTTP requests in progress */
  atomic_bool closed;                    /* new requests are rejected */
};

/* Response body for a job of which nothing has run. */
#define MD_BODY_NOT_RUN "{\"outcome\":\"not_run\"}"
#define MD_STATUS_GIVEN_UP 504 /* HTTP status: part of the job may have run */

/* front.c */
/* md_entry_unsupported_reason: why a job cannot be accepted, NULL if it can. */
const char *md_entry_unsupported_reason (const MdRunEntry *entry, const MdRoute *route,
                                         const MdRunSpec *spec);
typedef struct MdFront MdFront;
/* md_front_start: start the HTTP servers for callers and probes on the addresses in the settings.
   entry must outlive the front end. Returns NULL on failure. */
MdFront *md_front_start (MdRunEntry *entry, MdError *error);
/* md_front_start_metrics: MdMetricsServer.start, user is the MdFront. */
struct mg_context *md_front_start_metrics (void *user, const char *address, MdError *error);
struct mg_connection;
/* md_front_probe, md_front_operator: request handlers of CivetWeb for readiness probes and metrics,
   and for the server of the metrics address; user is the MdRunEntry. */
int md_front_probe (struct mg_connection *conn, void *user);
int md_front_operator (struct mg_connection *conn, void *user);
/* md_front_stop: stop the servers and free the front end; does nothing for NULL. */
void md_front_stop (MdFront *front);
/* md_front_disable_keep_alive: close each connection after its next response. */
void md_front_disable_keep_alive (MdFront *front);

#define MD_RETRY_AFTER_NO_WORKER (1 * MD_SECOND) /* Retry-After while no upstream is usable */

/* entry-placement.c */
/* md_entry_expected_work: predicted run time of a task of the step on a worker of speed 1,
   in microseconds. */
double md_entry_expected_work (const MdEntryJob *job, uint32_t step);
/* md_entry_total_work: predicted work of all tasks of a job in core microseconds. */
double md_entry_total_work (const MdEntryJob *job);
/* md_entry_requirements: fill in what a task of the step requires of a worker at the present
   time. The strings in need are borrowed from the job. */
void md_entry_requirements (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                            MdTaskRequirements *need);
/* md_entry_set_times: set arrived, age, goal, limit, deadline and critical_path of a new job. */
void md_entry_set_times (MdEntryJob *job, const MdCallerRequest *caller_request);
/* md_entry_predict_times: predict the slack, the limit and the work of a request that has no job
   yet. */
void md_entry_predict_times (const MdRunEntry *entry, const MdCallerRequest *request,
                             MdBacklogJob *times);
/* md_entry_due: until when an answer to the job is of use in the first place: its goal, or the
   limit of an aged job, whose goal had passed when it arrived. */
MdTime md_entry_due (const MdEntryJob *job);
/* md_entry_add_demand: add the work of a new job to the demand of its queue. */
void md_entry_add_demand (const MdRunEntry *entry, MdEntryJob *job);
/* md_entry_admit: place the ready tasks of a new job, or reject the job and free it. A job that
   the guards with full reports cannot serve in time stays, with admit_until set, while further
   guards are asked for them; call this again for it. */
void md_entry_admit (MdRunEntry *entry, MdEntryJob *job);
/* md_entry_choose_rack: the rack preferred for the tasks of a step: the rack of its data, or for a
   step that is slower when spread over racks, the rack of a task that has been ordered already, or
   else the rack where all tasks would end first. Empty if there is no preference. */
MdStr md_entry_choose_rack (MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                            const MdTaskRequirements *need);
typedef enum
{
  MD_PLACEABLE_NEVER, /* a task fits on no worker, or a gang not on all of them */
  MD_PLACEABLE_LATER, /* not on workers with full reports */
  MD_PLACEABLE_NOW,
} MdEntryPlaceable;
/* md_entry_forecast: whether the ready tasks of a job can be placed, and if so the forecast of the
   job by a trial placement, of which nothing stays. */
MdEntryPlaceable md_entry_forecast (MdRunEntry *entry, const MdEntryJob *job, MdForecast *forecast);
/* md_entry_place_ready: place the ready tasks of the job. Tasks that no worker can run now
   stay ready. */
void md_entry_place_ready (MdRunEntry *entry, MdEntryJob *job);

/* entry-near.c */
/* What was decided on a near place for a task; all zero for a task without a preferred rack. */
typedef struct
{
  bool preferred; /* the task has a preferred rack */
  bool near;      /* it runs there */
  MdTime wait;    /* it waits there until it is decided again after this time, 0: it does not */
  MdTime saved;   /* run time that it saves */
} MdEntryNear;
/* md_entry_group_rack: set *rack to the rack of the tasks of a step that have been ordered, empty
   if their worker has none. False if none has been ordered. */
bool md_entry_group_rack (const MdEntryJob *job, uint32_t step, MdStr *rack);
/* md_entry_group_is_moving: whether runs of the step are being taken back to go to another rack
   together. None of its tasks is to be placed meanwhile. */
bool md_entry_group_is_moving (const MdEntryJob *job, uint32_t step);
/* md_entry_place_task: choose a worker for a task: as md_place, or for a task with a preferred rack
   by md_locality_decide. */
MdPlacement md_entry_place_task (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                                 uint32_t index, const MdTaskRequirements *need,
                                 const uint32_t *counts, MdEntryNear *near);
/* md_entry_near_begin: record that a run waits for a near place, after it was reserved there. */
void md_entry_near_begin (const MdRunEntry *entry, MdEntryOrder *order,
                          const MdTaskRequirements *need, const MdEntryNear *near);
/* md_entry_near_end: record that the wait has ended with the start there, or otherwise. Does
   nothing for a run that does not wait for a near place. */
void md_entry_near_end (const MdRunEntry *entry, MdEntryOrder *order, bool started);
/* md_entry_near_check: decide again on a run that waits for a near place, if that is due, and
   withdraw it if another place is better. */
void md_entry_near_check (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order);
/* entry-priority.c */
/* md_entry_note_queue: record the pool and the priority that a new job states for its queue. */
void md_entry_note_queue (MdEntryJob *job);
/* md_entry_set_bound: set the longest wait that a job is admitted with, in its forecast, and
   whether it counts as of the first priority. */
void md_entry_set_bound (MdRunEntry *entry, MdEntryJob *job, MdForecast *forecast);
/* md_entry_note_admitted: add an admitted job to the work that its queue got. */
void md_entry_note_admitted (const MdRunEntry *entry, MdEntryJob *job);
/* md_entry_order_priority: the priority of an order that is placed now. */
uint8_t md_entry_order_priority (const MdEntryJob *job);
/* md_entry_pressure: the pressure on a pool, NULL if it is not known. */
const MdPressure *md_entry_pressure (const MdRunEntry *entry, MdStr pool);
/* md_entry_update_pressure_gauge: set the gauge of the highest pressure on a pool. */
void md_entry_update_pressure_gauge (MdRunEntry *entry);

/* entry-where.c */
/* md_entry_where: answer a WHERE request by a trial placement of which nothing stays. Takes the
   spec of the request. */
void md_entry_where (MdRunEntry *entry, MdCallerRequest *caller_request);

/* front-where.c */
#define MD_WHERE_PATH "/where"
struct mg_connection;
/* md_front_where: serve a request on MD_WHERE_PATH: the body is a job, and the query has the path
   it would be sent to, its host and timeout_ms. Returns the status for CivetWeb. */
int md_front_where (struct mg_connection *conn, MdRunEntry *entry);

/* entry-advice.c */
#define MD_INITIAL_ALLOWED_SHARE 0.5 /* share of allowed workers before the first response */
/* md_entry_apply_advice: set need->excluded to the workers that may not run the step. Returns
   false when no worker is known to be allowed; the job is then scheduled for a call to the
   advisory service. For a queue without an advisor it returns true and changes nothing. */
bool md_entry_apply_advice (MdRunEntry *entry, MdEntryJob *job, uint32_t step,
                            MdTaskRequirements *need);
/* md_entry_advice_wait: expected time until the call in progress and those for more urgent
   jobs have ended. */
MdTime md_entry_advice_wait (const MdRunEntry *entry, const MdEntryJob *job);
/* md_entry_advice_poll: start the next call if one is due. Returns when it must be called
   again. */
MdTime md_entry_advice_poll (MdRunEntry *entry);
/* md_entry_free_advice: free the advice of a job that ends and detach the call in progress
   from it. */
void md_entry_free_advice (MdRunEntry *entry, MdEntryJob *job);

/* entry-backlog.c */
/* md_entry_backlog_fill: move the requests from the inbox to the backlog. */
void md_entry_backlog_fill (MdRunEntry *entry);
/* md_entry_backlog_next: take the request that is to be handled next out of the backlog; NULL if it
   is empty. */
MdCallerRequest *md_entry_backlog_next (MdRunEntry *entry);
/* md_entry_backlog_reject_expired: reject the jobs in the backlog whose answers would come too late
   to be of use. */
void md_entry_backlog_reject_expired (MdRunEntry *entry);

/* entry-requests.c */
/* md_entry_is_rejection: whether an HTTP status says that nothing of the job has run or will run.
   */
bool md_entry_is_rejection (int status);
/* md_entry_answer_request: answer a request. status and state are as for md_entry_finish_job. The
   request belongs to its thread again afterwards. */
void md_entry_answer_request (MdCallerRequest *caller_request, int status, const char *state,
                              MdTime retry_after);
/* md_entry_handle_request: handle a request of any kind. */
void md_entry_handle_request (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_detach_caller: answer a request whose caller has disconnected, if it has no answer yet,
   and cancel its job when it was the last one. */
void md_entry_detach_caller (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_answer_unknown: answer that a job is not known. */
void md_entry_answer_unknown (MdCallerRequest *caller_request);
/* md_entry_reject_request: answer a request whose job is not active with 429 or 503, or with
   MD_STATUS_GIVEN_UP if an earlier attempt may have run. */
void md_entry_reject_request (const MdRunEntry *entry, MdCallerRequest *caller_request, int status,
                              MdTime retry_after);
/* md_entry_handle_requests: handle requests from the inbox, in the order of entry-backlog.c, for
   about this time; at least one. Returns false if some are left. */
bool md_entry_handle_requests (MdRunEntry *entry, MdTime budget);
/* md_entry_has_caller_left: whether the caller of a SUBMIT has closed its connection, or it was
   reset. Can be called from any thread. */
bool md_entry_has_caller_left (const MdCallerRequest *caller_request);
/* md_entry_has_caller: whether at least one caller of an active job is still there. Looks at the
   sockets, so that it also tells of callers whose threads have not reported that they left. */
bool md_entry_has_caller (const MdEntryJob *job);
/* md_entry_record_dropped: log and count a request whose caller has left before anything of it was
   ordered. Can be called from any thread. */
void md_entry_record_dropped (const MdCallerRequest *caller_request, MdTime now);
/* md_entry_reject_requests: reject all requests in the inbox, as md_entry_reject_request does,
   without handling them. */
void md_entry_reject_requests (MdRunEntry *entry);

/* entry-jobs.c */
/* md_entry_is_job_id: whether a text can be the ID of a job. Can be called from any thread. */
bool md_entry_is_job_id (const char *id);
/* md_entry_hash_id: hash of a job's ID, for tables. Can be called from any thread. */
uint64_t md_entry_hash_id (const char *id);
/* md_entry_find_job: the active job with this ID and queue, NULL if there is none. */
MdEntryJob *md_entry_find_job (const MdRunEntry *entry, const char *id, const MdRoute *route);
/* md_entry_find_end: state in which the job with this ID and queue has ended here, NULL if that is
   not known. */
const char *md_entry_find_end (const MdRunEntry *entry, const char *id, const MdRoute *route);
/* md_entry_record_end: remember how a job ended, of which a part may have run. */
void md_entry_record_end (MdRunEntry *entry, const char *id, const MdRoute *route,
                          MdFinalState end);
/* md_entry_may_have_run: whether a job with this ID and queue that is not active may have run here
   within the time in which its caller may repeat it. */
bool md_entry_may_have_run (const MdRunEntry *entry, const char *id, const MdRoute *route);
/* md_entry_start_job: begin the job of a request, or answer the request if that is not possible. */
void md_entry_start_job (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_finish_job: answer all waiting requests, cancel the runs that are left, and free the
   job. status is the HTTP status, 0 if no caller is left; a rejection becomes MD_STATUS_GIVEN_UP if
   an earlier attempt may have run. state is the state of the job for
   the response body, or NULL. reason is for the log. */
void md_entry_finish_job (MdRunEntry *entry, MdEntryJob *job, int status, const char *state,
                          const char *reason, MdTime retry_after);
/* md_entry_order_started, md_entry_order_ended: record that a run has started or ended.
   md_entry_order_ended frees the order and may finish the job. run is the time at the worker,
   0 if unknown. checkpoint is empty if none was saved. */
void md_entry_order_started (MdRunEntry *entry, MdEntryOrder *order);
void md_entry_order_ended (MdRunEntry *entry, MdEntryOrder *order, MdRunResult result, MdTime run,
                           const char *checkpoint);
/* md_entry_check_unsent: finish the jobs without a caller of which an order to this guard has been
   queued for longer than the entry's lease: the process was suspended meanwhile, and the job may
   have been repeated. Their orders are marked as cancelled. */
void md_entry_check_unsent (MdRunEntry *entry, MdEntryGuard *guard);
/* md_entry_clear_worker: remove the references of all jobs to a worker that is to be freed. */
void md_entry_clear_worker (MdRunEntry *entry, const MdWorker *worker);
/* md_entry_jobs_tick: check deadlines, move runs that wait too long, and place tasks that are
   still ready. Does nothing before next_tick. */
void md_entry_jobs_tick (MdRunEntry *entry);
/* md_entry_fail_all: answer and free every job when the process ends. */
void md_entry_fail_all (MdRunEntry *entry);

/* entry-load.c */
/* md_entry_load_pass: record a pass of the engine that was due at the given time, and log the
   load when that is due. To be called by the engine thread. */
void md_entry_load_pass (MdEntryLoad *load, MdTime due, MdTime now);
/* md_entry_load_request: record the time from the arrival of a job to its handling. */
void md_entry_load_request (MdEntryLoad *load, MdTime wait, MdTime now);

/* entry-metrics.c */
/* md_entry_write_metrics: append all metrics in the Prometheus text format. Can be called from
   any thread. */
void md_entry_write_metrics (MdRunEntry *entry, MdBuf *out);

#define MD_MIN_MOVE_GAIN (15 * MD_MS) /* a run is not moved to end less than this much sooner */
/* md_entry_known_at: until when the state of an order is known: the latest report of its guard. A
   guard that is not connected has not reported that the run has started or ended. */
MdTime md_entry_known_at (const MdRunEntry *entry, const MdEntryOrder *order);

/* entry-guards.c */
/* md_entry_follow: ask the guard of a worker with sparse reports for a report of each change. */
void md_entry_follow (MdRunEntry *entry, MdWorker *worker);
extern const MdLinkHandler md_run_entry_handler;
/* md_entry_send_order, md_entry_cancel, md_entry_withdraw: queue an order, or its cancellation
   or withdrawal, for the next message to the guard. md_entry_send_order assigns the ID. A
   cancelled run is ended whether it has started or not; a withdrawn one only if it has not. */
void md_entry_send_order (MdRunEntry *entry, MdEntryOrder *order);
void md_entry_cancel (MdEntryOrder *order);
void md_entry_withdraw (MdEntryOrder *order);
/* md_entry_repeat_end: queue the cancellation or withdrawal of an order again, if there was one. */
void md_entry_repeat_end (MdEntryOrder *order);
/* md_entry_guards_poll: send messages that are due, end the orders of lost guards, and remove
   guards that have been away for too long. Returns when it must be called again. */
MdTime md_entry_guards_poll (MdRunEntry *entry);
/* md_entry_free_guards: free all guards with their orders, without ending the orders. */
void md_entry_free_guards (MdRunEntry *entry);

/* entry-evacuation.c */
/* md_entry_evacuation_poll: apply a newer set of evacuated domains. To be called in each pass
   before jobs are placed and messages sent. */
void md_entry_evacuation_poll (MdRunEntry *entry);
/* md_entry_apply_evacuated: apply this set, which was last known to be the newest this long ago:
   take back what has not started in a domain that is evacuated now, and have the guards of each
   domain that changes told with the next message. Does nothing if the version is the present one.
   */
void md_entry_apply_evacuated (MdRunEntry *entry, const MdEvacuated *set, MdTime age);
/* md_entry_set_domain: record the failure domain that a guard has stated in its hello. */
void md_entry_set_domain (MdRunEntry *entry, MdEntryGuard *guard, const char *domain);

/* entry-reports.c */
#define MD_GUARD_SILENCE (350 * MD_MS) /* a guard reports with each heartbeat, 100 ms or less */
/* md_entry_report: take over a report of a guard, and end or confirm the orders that it names. */
void md_entry_report (MdRunEntry *entry, MdEntryGuard *guard, const Md__RunReport *report);

#endif
