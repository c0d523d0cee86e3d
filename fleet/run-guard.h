/* run-guard.h -- what the files of the guard daemon share

   run-guard.c is the life cycle, guard-orders.c the links to entries and their
   orders, guard-worker.c the calls to the worker, guard-memory.c the record of the worker in the
   store, guard-registrar.c the server to which
   the worker reports. All but the latter run in the engine thread. */

#ifndef MD_RUN_GUARD_H
#define MD_RUN_GUARD_H

#include "advice.h"
#include "daemon.h"
#include "inbox.h"

#include "wire.pb-c.h"

/* ------------------------------------------------------------------ */
/* Runs                                                               */

/* The text that the runs of a job share; counted references. */
typedef struct
{
  unsigned references;
  size_t len;
  char text[];
} MdRunText;

typedef struct MdGuardPeer MdGuardPeer;

typedef struct
{
  MdRun queued;                         /* first: place in the queue */
  MdTime received_at;                   /* when it was ordered */
  char task[MD_RUN_NAME_BYTES];         /* name at the worker */
  uint32_t run_number;                  /* number of the start */
  MdRunText *spec;                      /* what it runs */
  char checkpoint[MD_CHECKPOINT_BYTES]; /* to resume from, empty none */
  char permit[MD_PERMIT_BYTES];         /* of the advisory service, empty none */
  bool confirmed;                       /* the worker has it */
  MdTime confirmed_at;                  /* since when */
  bool start_in_progress;               /* a start is under way */
  uint64_t fenced_by;                   /* an unanswered start is void once the worker has seen this
                          token; 0 none */
  bool cancelled;                       /* to be stopped */
  MdTime stop_due;                      /* when to order the stop (again) */
  unsigned rejected_starts;             /* starts that the worker rejected */
  unsigned missing_holds;               /* holds in a row that did not list it */
} MdGuardRun;

/* ------------------------------------------------------------------ */
/* Entries                                                            */

typedef struct MdGuardEnd MdGuardEnd;

/* An end that its entry has not confirmed. */
struct MdGuardEnd
{
  MdGuardEnd *next;                     /* newer */
  uint64_t number;                      /* counts the ends for the entry */
  uint64_t order_id;                    /* of the order */
  MdRunResult result;                   /* how */
  MdTime duration;                      /* time at the worker */
  char checkpoint[MD_CHECKPOINT_BYTES]; /* saved */
  bool sent;                            /* on the present connection */
};

struct MdGuardPeer
{
  MdGuardPeer *next;              /* all */
  MdLink *link;                   /* dialled */
  char address[MD_ADDRESS_BYTES]; /* of the link */
  char name[MD_NAME_BYTES];       /* from its welcome */
  uint64_t incarnation;           /* from its welcome, 0 never heard */
  bool connected;                 /* connected */
  bool indirect;                  /* known from another entry only */
  MdTime last_contact;            /* last frame, or when it was added */
  MdTime echo;                    /* latest stamp that it returned */
  uint64_t last_order;            /* highest order received */
  uint64_t next_end;              /* number of the next end */
  MdGuardEnd *ends;               /* oldest first */
  MdGuardEnd *last_end;           /* newest */
  uint64_t started[256];          /* orders started and not reported yet */
  unsigned n_started;             /* of them */
  bool urgent;                    /* an end or a start is to be reported */
  uint64_t reported_version;      /* change count of the state it was told */
  bool worker_reported;           /* the worker's description as well */
  MdTime reported_at;             /* last report */
};

/* ------------------------------------------------------------------ */
/* Guard                                                              */

/* What the worker's reports and answers say. */
typedef struct
{
  char id[MD_WORKER_ID_BYTES]; /* its name, empty not heard of */
  MdWorkerReport report;       /* last report of this lifetime */
  bool has_report;             /* a report of this lifetime has arrived */
  bool clean;                  /* runs of an earlier guard are gone */
  bool clock_known;            /* clock_offset holds */
  MdTime clock_offset;         /* worker's clock less ours */
  uint64_t acked_end;          /* highest end taken note of */
  uint64_t token;              /* fencing token in use */
  uint64_t acked_token;        /* highest token that the worker has answered to */
  MdTime lease_until;          /* our clock: what runs has ended after this */
  MdTime last_response_at;     /* last answer to a hold */
  bool reachable;              /* holds are answered */
} MdGuardWorker;

/* The record of the worker in the store. */
typedef struct
{
  MdKeyedReader *reader;   /* of the record of a former process */
  MdWorkerRecord previous; /* that record */
  bool has_previous;       /* found holds */
  bool superseded;         /* the worker is known: the record is not needed any more */
  MdWorkerRecord written;  /* last record written */
  bool write_in_progress;  /* a call is under way */
  bool write_failed;       /* the last one failed */
  MdTime write_due;        /* no record before */
} MdGuardWorkerRecord;

typedef struct MdRegistrarServer MdRegistrarServer;

typedef struct
{
  MdDaemon daemon;                   /* settings, links, store */
  uint64_t incarnation;              /* of this process */
  MdHttp *http;                      /* calls to the worker */
  MdRegistrarServer *registrar;      /* to which the worker reports */
  MdKeyedReader *entries;            /* entries in the store */
  MdGuardWorkerRecord worker_record; /* of the worker */
  MdDirectory directory;             /* entries known */
  MdInbox inbox;                     /* events of the server's threads */
  MdRunQueue queue;                  /* runs here */
  MdGuardWorker worker;              /* the worker */
  MdGuardPeer *peers;                /* entries */
  uint64_t connections;              /* to entries that came up so far */
  MdTime now;                        /* at the start of the pass */
  uint64_t state_version;            /* counts changes of the state that is reported */
  bool hold_in_progress;             /* a hold is under way */
  MdTime hold_due;                   /* when to make the next one */
  MdTime hold_sent;                  /* when the one under way was made */
  uint64_t hold_token;               /* token it carries */
  bool last_hold_failed;             /* the last hold was not answered */
  MdTime lossy_until;                /* orders are lost now and then */
  MdTime start_after;                /* no starts before, after a rejection for want of capacity */
  bool leaving;                      /* SIGTERM has arrived */
  MdTime leave_until;                /* end of the drain */
} MdRunGuard;

/* What the registration server tells the engine. */
typedef struct
{
  MdInboxNode node;            /* in the inbox */
  char id[MD_WORKER_ID_BYTES]; /* name of the worker */
  bool deregistered;           /* it has left */
  MdWorkerReport report;       /* otherwise */
} MdWorkerEvent;

/* guard-memory.c */
int md_guard_worker_record_init (MdRunGuard *guard);
void md_guard_worker_record_clear (MdRunGuard *guard);
/* md_guard_worker_record_poll: take over or write the record; returns when to call again. */
MdTime md_guard_worker_record_poll (MdRunGuard *guard);

/* guard-registrar.c */
MdRegistrarServer *md_registrar_server_start (const MdSettings *settings, MdInbox *inbox,
                                              MdLinks *links, MdError *error);
void md_registrar_server_stop (MdRegistrarServer *server);

/* guard-worker.c */
/* md_guard_worker_event: a report of the worker. */
void md_guard_worker_event (MdRunGuard *guard, const MdWorkerEvent *event);
/* md_guard_worker_poll: hold, starts and stops that are due; returns when to call
   again. */
MdTime md_guard_worker_poll (MdRunGuard *guard);
/* md_guard_accepts_runs: the worker takes runs. */
bool md_guard_accepts_runs (const MdRunGuard *guard);

/* guard-orders.c */
extern const MdLinkHandler md_run_guard_handler;
/* md_guard_add_peer: dial an entry, unless the address is known. indirect: another entry
   named it, as against the settings and the store. */
void md_guard_add_peer (MdRunGuard *guard, MdStr address, bool indirect);
void md_guard_free_peers (MdRunGuard *guard);
/* md_guard_find_order: the run of an order that waits or runs here; NULL when there is none. */
MdGuardRun *md_guard_find_order (MdRunGuard *guard, uint64_t entry, uint64_t id);
/* md_guard_end_run: tell the entry and forget the run. */
void md_guard_end_run (MdRunGuard *guard, MdGuardRun *run, MdRunResult result,
                       const char *checkpoint);
/* md_guard_cancel_run: end it now if it has not been handed to the worker, otherwise
   have it stopped. */
void md_guard_cancel_run (MdRunGuard *guard, MdGuardRun *run);
/* md_guard_record_start: the run was handed to the worker. */
void md_guard_record_start (MdRunGuard *guard, const MdGuardRun *run);
/* md_guard_reject_waiting: hand back what has not been started. */
void md_guard_reject_waiting (MdRunGuard *guard);
/* md_guard_check_leases: end the runs of entries that have not been heard for too long. */
void md_guard_check_leases (MdRunGuard *guard);
/* md_guard_free_runs: forget every run without a word, at the end of the process. */
void md_guard_free_runs (MdRunGuard *guard);
/* md_guard_orders_poll: reports and leases that are due; returns when to call again. */
MdTime md_guard_orders_poll (MdRunGuard *guard);

#endif
