/* run-guard.h -- internal declarations of the guard daemon

   run-guard.c holds the process life cycle and the event loop, guard-orders.c the links to entries
   and the orders received on them, guard-worker.c the calls to the worker, guard-lifetime.c the
   worker's reports and lifetimes, guard-memory.c the record of the worker in the store,
   guard-evacuation.c decides whether runs are accepted, guard-coverage.c which entries get all
   reports, and guard-registrar.c has the HTTP server to which the worker reports. The handlers of
   that server run in its own threads; everything else runs in the engine thread. */

#ifndef MD_RUN_GUARD_H
#define MD_RUN_GUARD_H

#include "advice.h"
#include "daemon.h"
#include "evacuation.h"
#include "inbox.h"
#include "warmup.h"

#include "wire.pb-c.h"

/* ------------------------------------------------------------------ */
/* Runs                                                               */

/* A run specification, shared by all runs ordered with it and freed with the last of them. */
typedef struct
{
  unsigned references; /* runs that share it, plus one while the orders are being added */
  size_t len;          /* bytes, without the terminator */
  char text[];         /* terminated */
} MdRunText;

typedef struct MdGuardPeer MdGuardPeer;

/* An order from an entry, from its arrival until its end. */
typedef struct
{
  MdRun queued;                 /* must be first: an MdRun in the queue is cast to this */
  MdTime received_at;           /* when the order arrived */
  char task[MD_RUN_NAME_BYTES]; /* name of the task at the worker */
  uint32_t run_number;          /* start count of the task, given by the entry */
  MdRunText *spec;              /* one reference */
  char *checkpoint;             /* checkpoint to resume from, owned; NULL: none */
  char *permit;                 /* permit of the advisory service, owned; NULL: none */
  bool confirmed;               /* the worker has acknowledged or listed the run */
  MdTime confirmed_at;          /* valid when confirmed */
  bool start_in_progress;       /* a start call awaits its response */
  uint64_t fenced_by;           /* An unanswered start can no longer take effect once the
                                           worker has answered a hold with this token or a higher
                                           one. 0: no such start. */
  bool cancelled;               /* the worker is to stop the run */
  MdTime had_to_end_at;         /* when its lease or its entry ended it; valid when
                                           cancelled */
  MdTime stop_due;              /* time of the next stop call; valid when cancelled */
  bool stop_in_progress;        /* a stop call awaits its response */
  bool outlived;                /* the worker started again while it was not known whether
                                           the start had been executed */
  unsigned rejected_starts;     /* start calls that the worker rejected */
  unsigned missing_holds;       /* consecutive hold responses without the run */
} MdGuardRun;

/* ------------------------------------------------------------------ */
/* Entries                                                            */

typedef struct MdGuardEnd MdGuardEnd;

/* The end of a run, kept until the entry has acknowledged it. */
struct MdGuardEnd
{
  MdGuardEnd *next;   /* the next newer one */
  uint64_t number;    /* increases with each end in the life of the guard */
  uint64_t order_id;  /* order of the run */
  MdRunResult result; /* how the run ended */
  MdTime duration;    /* time since the start; 0: never started */
  char *checkpoint;   /* checkpoint that the run saved, owned; NULL: none */
  bool sent;          /* on the present connection */
};

/* An entry and the link to it. */
struct MdGuardPeer
{
  MdGuardPeer *next;              /* in the list of all peers */
  MdLink *link;                   /* dialled by the guard; owned by the links */
  char address[MD_ADDRESS_BYTES]; /* the address that is dialled */
  char name[MD_NAME_BYTES];       /* from its welcome; empty: none received yet */
  uint64_t incarnation;           /* from its welcome; 0: none received yet */
  bool connected;                 /* the link is up */
  bool indirect;                  /* the address is known from another entry only */
  MdTime last_contact;            /* arrival of the last frame; at first, when it was added */
  MdTime echo;                    /* latest time stamp of a report that the entry has echoed */
  uint64_t last_order;            /* id of the last order received; 0: none */
  MdGuardEnd *ends;               /* unacknowledged ends, oldest first */
  MdGuardEnd *last_end;           /* the newest of them; NULL: none */
  unsigned n_ends;                /* number of them */
  uint64_t started[256];          /* ids of orders started since the last report */
  unsigned n_started;             /* used elements of started */
  bool urgent;                    /* report without delay: a run has started or ended */
  uint64_t reported_version;      /* state_version of the guard at the last report */
  MdTime report_interval;         /* shortest time between reports of changes that the entry asks
                                     for; 0: none */
  bool reads_sparse;              /* the entry accepts sparse reports, from its welcome */
  bool chosen;                    /* it is to receive a report of each change */
  MdTime followed_until;          /* it has asked for a report of each change until then */
  bool sparse;                    /* the last report was a sparse one */
  bool worker_reported;           /* the present worker description was sent on this connection */
  MdTime reported_at;             /* when the last report was sent */
};

/* ------------------------------------------------------------------ */
/* Guard                                                              */

/* State of the worker, from its reports and its responses to holds. A lifetime is one
   incarnation of the worker, identified by its name and its time of birth. */
typedef struct
{
  MdWorkerReport report;   /* the last report; valid when has_report, except for born_ms, which
                                  holds set and which is -1 before the first one was answered */
  bool has_report;         /* a report of this lifetime has arrived */
  bool clean;              /* no run of an earlier guard process is left in this lifetime */
  bool has_unknown;        /* the last hold listed runs that this process did not start, or
                                  that it has reported as ended */
  bool clock_known;        /* clock_offset is valid */
  MdTime clock_offset;     /* the worker's clock minus this process's */
  uint64_t acked_end;      /* highest number of an end processed in this lifetime */
  uint64_t token;          /* fencing token of the next call */
  uint64_t acked_token;    /* highest token of a hold that the worker has answered */
  MdTime lease_until;      /* guard's clock: every run has ended by then unless the lease is
                                  extended */
  MdTime lease_limit;      /* guard's clock: the lease must not be extended beyond it; INT64_MAX:
                                  no limit */
  bool lease_is_short;     /* the limit leaves too little time for starts */
  MdTime last_response_at; /* when a hold was last answered */
  bool reachable;          /* holds are being answered */
  bool refused;            /* the last hold found nobody listening */
  bool has_unproven;       /* a report awaits the response to a hold sent after unproven_at */
  MdTime unproven_at;      /* arrival of that report */
  MdWorkerReport unproven; /* that report */

  MdTime cold_until; /* the worker is slow after its start until then, by its last report */
} MdGuardWorker;

/* The record of the worker in the store. It is read once after the start of the process, and
   written when the worker's description, state or learned speed changes. */
typedef struct
{
  MdKeyedReader *reader;   /* reads the record of the previous process; owned */
  MdWorkerRecord previous; /* the record read; valid when has_previous */
  bool has_previous;       /* a record was read */
  bool superseded;         /* the worker has been described: previous is no longer used */
  MdWorkerRecord written;  /* the last record sent to the store */
  bool write_in_progress;  /* a write awaits its response */
  bool write_failed;       /* the last write failed and is to be repeated */
  MdTime write_due;        /* no write before this time */
} MdGuardWorkerRecord;

typedef struct MdRegistrarServer MdRegistrarServer;

typedef struct
{
  MdDaemon daemon;                   /* settings, links and store client */
  uint64_t incarnation;              /* identifies this process to entries */
  MdHttp *http;                      /* client for holds and starts at the worker */
  MdHttp *stop_http;                 /* client for stops, which may take long: holds and starts do
                                        not wait for their connections */
  MdRegistrarServer *registrar;      /* receives the worker's reports */
  MdMetricsServer metrics;           /* server on metrics_address */
  MdKeyedReader *entries;            /* reads the entries' addresses from the store */
  MdGuardWorkerRecord worker_record; /* the worker's record in the store */
  MdDirectory directory;             /* addresses of the entries found so far */
  MdInbox inbox;                     /* MdWorkerEvents from the registrar's threads */
  MdRunQueue queue;                  /* waiting and started runs; each is an MdGuardRun */
  MdGuardWorker worker;              /* the worker beside this guard */
  MdGuardPeer *peers;                /* entries, connected or not */
  unsigned n_peers;                  /* of them, at most MD_MAX_ENTRIES */
  uint64_t connections;              /* hellos sent so far; numbers the connections */
  uint64_t ends;                     /* ends so far. They are numbered across entries, so that an
                                        entry whose address was dropped and learned again does
                                        not acknowledge new ends by the numbers of former ones */
  MdTime now;                        /* time of the event being processed */
  uint64_t state_version;            /* incremented with each change of the reported state */
  uint64_t checked_version;          /* state_version when the entries were looked at last */
  MdTime entries_due;                /* an entry needs a report at this time if the state stays as
                                        it is; 0: at the next pass */
  uint32_t start_calls;              /* starts that await their responses */
  uint32_t stop_calls;               /* stops that await their responses */
  bool hold_in_progress;             /* a hold call awaits its response */
  MdTime hold_due;       /* when to send the next hold; valid when none is in progress */
  MdTime hold_sent;      /* when the last hold was sent */
  uint64_t hold_token;   /* fencing token of the last hold */
  MdTime lease_before;   /* worker.lease_until before the last hold */
  MdTime lease_after;    /* worker.lease_until after it, if the worker receives it */
  bool last_hold_failed; /* the last hold was not answered */
  MdTime lossy_until;    /* calls to the worker get lost; hold with short timeouts */
  MdTime start_after;    /* no starts before this time, after a rejection for lack of
                                        capacity */
  bool leaving;          /* SIGTERM was received: drain and exit */
  MdTime leave_until;    /* latest time of the exit; valid when leaving */

  MdEvacuationNotice evacuation; /* of the failure domain, as told by entries */
  bool warmup_due;               /* a warm-up begins when runs are accepted again */
  MdWarmup warmup;               /* after an evacuation */
} MdRunGuard;

/* Connections for stops. With those for holds and starts, and those that a former process has left
   open, a worker with 64 channels has one for each. */
#define MD_GUARD_STOP_CONNECTIONS 48L

/* A registration request of the worker, passed from the registrar's threads to the engine. */
typedef struct
{
  MdInboxNode node;      /* must be first: the inbox's nodes are cast to events */
  bool deregistered;     /* the worker has withdrawn its registration */
  MdWorkerReport report; /* of deregistered: only the name in its traits */
} MdWorkerEvent;

/* guard-memory.c */

/* md_guard_worker_record_init: create the reader of the record. MD_E_MEMORY. */
int md_guard_worker_record_init (MdRunGuard *guard);

/* md_guard_worker_record_poll: restore the worker's state from the record of the previous
   process, or write the record, if due. Returns the time of the next call. */
MdTime md_guard_worker_record_poll (MdRunGuard *guard);

/* guard-registrar.c */

/* md_registrar_server_start: listen for the worker's reports. They are pushed to inbox, and links
   is woken. NULL, with error set, when memory is short or the server cannot listen. */
MdRegistrarServer *md_registrar_server_start (const MdSettings *settings, MdInbox *inbox,
                                              MdLinks *links, MdError *error);

/* md_registrar_start_metrics: MdMetricsServer.start, user is the MdRegistrarServer. */
struct mg_context *md_registrar_start_metrics (void *user, const char *address, MdError *error);

/* guard-lifetime.c */

/* md_guard_count_labels: labels in the newest report of the worker. */
size_t md_guard_count_labels (const MdGuardWorker *worker);

/* md_guard_describe_worker: fill in the description of the worker for entries. The texts are
   borrowed from its newest report; labels has room for all of them. */
void md_guard_describe_worker (const MdGuardWorker *worker, Md__WorkerInfo *info, char **labels);

/* md_guard_worker_name: name of the worker; empty: no report of this lifetime yet. */
static inline const char *
md_guard_worker_name (const MdGuardWorker *worker)
{
  return md_traits_name (worker->report.traits).data;
}

/* md_guard_worker_event: process a report or the deregistration of the worker. */
void md_guard_worker_event (MdRunGuard *guard, const MdWorkerEvent *event);

/* md_guard_begin_lifetime: switch to the lifetime that states this birth in its response to a hold.
   The caller ends the runs of the former one. */
void md_guard_begin_lifetime (MdRunGuard *guard, int64_t born_ms);

/* md_guard_settle_report: follow or discard the unproven report, if a response to a hold sent
   after it has been received. */
void md_guard_settle_report (MdRunGuard *guard);

/* guard-worker.c */

/* md_guard_worker_poll: send the hold, stops and starts that are due, and check the timeouts of
   the worker. Returns the time of the next call. */
MdTime md_guard_worker_poll (MdRunGuard *guard);

/* guard-evacuation.c */

/* md_guard_accepts_runs: whether new runs can be started: the worker is ready, reachable and
   free of foreign runs, its clock is known, the guard is not leaving, and its failure domain is not
   evacuated. */
bool md_guard_accepts_runs (const MdRunGuard *guard);

/* md_guard_reported_state: the state of the worker and the guard together, for reports. */
MdWorkerState md_guard_reported_state (const MdRunGuard *guard);

/* md_guard_update_accepting: open or close the queue after a change of what md_guard_accepts_runs
   depends on; closing rejects waiting runs. */
void md_guard_update_accepting (MdRunGuard *guard);

/* md_guard_warmup_poll: give runs the share of the worker that is due after an evacuation. To be
   called before runs are started. Returns the time of the next call. */
MdTime md_guard_warmup_poll (MdRunGuard *guard);

/* md_guard_hear_evacuation: take over what a message of an entry says about the failure domain of
   this guard. To be called before the orders of the message are added. A domain that is evacuated
   now closes the queue; started runs go on. */
void md_guard_hear_evacuation (MdRunGuard *guard, const MdGuardPeer *peer, bool evacuated,
                               uint64_t version);

/* guard-coverage.c */

/* md_guard_choose_entries: choose the entries that receive a report of each change. To be called
   when an entry is reached or lost. */
void md_guard_choose_entries (MdRunGuard *guard);

/* guard-orders.c */

extern const MdLinkHandler md_run_guard_handler;

/* md_guard_add_peer: dial an entry, unless its address is known already or MD_MAX_ENTRIES are.
   indirect: the address was given by another entry, not by the settings or the store. */
void md_guard_add_peer (MdRunGuard *guard, MdStr address, bool indirect);

/* md_guard_free_peers: free all peers; their links are freed with the daemon's links. */
void md_guard_free_peers (MdRunGuard *guard);

/* md_guard_find_order: the waiting or started run of an order, by the incarnation of its entry
   and the order's id; NULL when there is none. */
MdGuardRun *md_guard_find_order (MdRunGuard *guard, uint64_t entry, uint64_t id);

/* md_guard_end_run: queue the end for the run's entry and free the run. checkpoint: what the run
   saved, empty for none. */
void md_guard_end_run (MdRunGuard *guard, MdGuardRun *run, MdRunResult result,
                       const char *checkpoint);

/* md_guard_cancel_run: end a waiting run as rejected and free it, or mark a started one to be
   stopped. */
void md_guard_cancel_run (MdRunGuard *guard, MdGuardRun *run);

/* md_guard_record_start: queue the order of a run that has just been sent to the worker for the
   next report to its entry. Beyond 256 orders in one report, further ones are left out. */
void md_guard_record_start (MdRunGuard *guard, const MdGuardRun *run);

/* md_guard_reject_waiting: end all waiting runs as rejected, so that their entries place them
   elsewhere. */
void md_guard_reject_waiting (MdRunGuard *guard);

/* md_guard_check_leases: cancel the runs of entries whose last echo is older than the entry's
   lease. */
void md_guard_check_leases (MdRunGuard *guard);

/* md_guard_free_runs: free all runs without reporting their ends, for tests. */
void md_guard_free_runs (MdRunGuard *guard);

/* md_guard_orders_poll: send the reports that are due and remove peers that stay silent. Returns
   the time of the next call. */
MdTime md_guard_orders_poll (MdRunGuard *guard);

#endif
