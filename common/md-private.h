/* md-private.h -- what the modules of the programs share and others do not see

   Logger, counters, time, settings and the framing of messages. The folders core/
   and sched/ do not include it. */

#ifndef MD_PRIVATE_H
#define MD_PRIVATE_H

#include "md-base.h"

#include <stdatomic.h>
#include <stdio.h>

/* ------------------------------------------------------------------ */
/* Files (stream.c)                                                   */

/* md_stream_read: append the rest of a stream; stops once out is longer than max bytes.
   False on a read error, or out of memory. */
bool md_stream_read (FILE *file, size_t max, MdBuf *out);

/* ------------------------------------------------------------------ */
/* Logger (log.c)                                                     */

typedef enum
{
  MD_LOG_DEBUG,
  MD_LOG_INFO,
  MD_LOG_WARN,
  MD_LOG_ERROR,
} MdLogLevel;

/* md_log_open: node name and lowest level written; lines go to descriptor fd,
   one write per line. */
void md_log_open (int fd, const char *node, MdLogLevel lowest);
bool md_log_enabled (MdLogLevel level);
/* md_log_set_level: from any thread. */
void md_log_set_level (MdLogLevel lowest);

/* md_log_start_writer: from now on no caller of md_log waits for the reader of the
   log; a thread writes the lines, and lines are left out when they come too fast.
   md_log_stop_writer: write what is buffered and go back to writing at once. */
void md_log_start_writer (void);
void md_log_stop_writer (void);

/* md_log: one line of key=value pairs. event is a fixed word; the format gives
   "key=value" pairs separated by spaces. Values that come from outside go
   through md_log_quote. */
void md_log (MdLogLevel level, const char *event, const char *format, ...) MD_PRINTF (3, 4);

/* md_log_quote: value made safe for a log line: quoted when it has spaces or
   control characters, cut at size. Returns out. */
const char *md_log_quote (MdStr value, char *out, size_t size);

/* ------------------------------------------------------------------ */
/* Counters (metrics.c)                                               */

typedef enum
{
  MD_COUNTER, /* only grows */
  MD_GAUGE,   /* current value */
} MdMetricType;

typedef enum
{
#define MD_METRIC(id, type, name, help) id,
#include "metrics.def"
#undef MD_METRIC
  MD_METRIC_COUNT
} MdMetric;

extern _Atomic int64_t md_metrics[MD_METRIC_COUNT];

static inline void
md_count (MdMetric metric, int64_t n)
{
  atomic_fetch_add_explicit (&md_metrics[metric], n, memory_order_relaxed);
}

static inline void
md_gauge (MdMetric metric, int64_t value)
{
  atomic_store_explicit (&md_metrics[metric], value, memory_order_relaxed);
}

/* Times in fixed buckets. */
typedef enum
{
#define MD_HISTOGRAM(id, name, label, help) id,
#include "histograms.def"
#undef MD_HISTOGRAM
  MD_HISTOGRAM_COUNT
} MdHistogram;

void md_observe (MdHistogram histogram, MdTime time);

/* md_metrics_write: counters, gauges and histograms in the text exposition format. */
void md_metrics_write (MdBuf *out);
/* md_metrics_update_process: bring the gauges of memory and descriptors up to date. */
void md_metrics_update_process (void);

/* ------------------------------------------------------------------ */
/* Time and random numbers for the daemons (clock.c)                  */

MdTime md_now (void);      /* CLOCK_BOOTTIME */
int64_t md_wall_ms (void); /* CLOCK_REALTIME */
uint64_t md_random (void); /* from the kernel */
uint64_t md_new_incarnation (void);
/* md_uuid7: a new UUIDv7 as text, 36 characters and a terminator. */
void md_uuid7 (char out[37]);

/* ------------------------------------------------------------------ */
/* Settings of a process (settings.c)                                 */

#define MD_ADDRESS_BYTES 64 /* "ip:port" with terminator */
#define MD_TOKEN_BYTES 128  /* bearer tokens with terminator */
#define MD_LIST_BYTES 512   /* lists of addresses, with terminator */

typedef struct
{
  bool is_operator;           /* operator, otherwise customer */
  char name[MD_NAME_BYTES];   /* actor or customer */
  char token[MD_TOKEN_BYTES]; /* bearer token */
} MdToken;

typedef struct
{
  char name[MD_NAME_BYTES];                  /* node name, stable over restarts */
  char region[MD_NAME_BYTES];                /* region */
  char failure_domain[MD_NAME_BYTES];        /* failure domain */
  char log_address[MD_ADDRESS_BYTES];        /* platform log service */
  char internal_address[MD_ADDRESS_BYTES];   /* entry: links of other processes */
  char advertised_address[MD_ADDRESS_BYTES]; /* entry: where others reach
                                              internal_address; empty: the same */
  char caller_address[MD_ADDRESS_BYTES];     /* entry: HTTP for callers */
  char operator_address[MD_ADDRESS_BYTES];   /* entry: HTTP for operators */
  char balancer_address[MD_ADDRESS_BYTES];   /* internal address of any entry, used
                                              while the log is down; may be empty */
  char upstream_address[MD_ADDRESS_BYTES];   /* guard: the upstream's HTTP server */
  char pool[MD_NAME_BYTES];                  /* guard: pool served */
  uint32_t slots;                            /* guard: tasks at a time */
  uint32_t connections;                      /* guard: connections to the upstream */
  uint32_t cores;                            /* guard: of the worker */
  uint32_t memory_mb;                        /* guard: of the worker, MiB */
  uint32_t accelerators;                     /* guard: of the worker */
  uint32_t caller_threads;                   /* entry: HTTP threads for callers */
  uint32_t operator_threads;                 /* entry: HTTP threads for operators */
  uint64_t max_body_bytes;                   /* entry: largest request body */
  MdTime drain_timeout;                      /* longest graceful shutdown */
  MdLogLevel log_level;                      /* lowest level written */
  bool is_entry;                             /* entry, otherwise guard */
  char store_address[MD_ADDRESS_BYTES];      /* runs: the platform's store */
  char advisor_address[MD_ADDRESS_BYTES];    /* run-entry: advisory service, empty none */
  char ready_address[MD_ADDRESS_BYTES];      /* run-entry: the balancer's probes */
  char metrics_address[MD_ADDRESS_BYTES];    /* runs: counters, empty none */
  char seeds[MD_LIST_BYTES];                 /* runs: ip:port of entries, by commas; of
                                                each only the ip is used */
  char worker_address[MD_ADDRESS_BYTES];     /* run-guard: the worker takes orders here */
  char register_address[MD_ADDRESS_BYTES];   /* run-guard: the worker reports here */
  uint32_t entry_port;                       /* runs: internal port of all entries */
  MdTime worker_lease_max;                   /* run-guard: longest lease of a worker */
  MdTime resend_after;                       /* runs: callers repeat a lost job after this */
  MdTime stop_timeout;                       /* runs: a stop takes this long at a worker */
  double remote_factor;                      /* run-entry: run time away from the data */
  MdToken *tokens;                           /* n_tokens entries, owned */
  size_t n_tokens;                           /* tokens */
  MdTuning tuning;                           /* defaults, overridden by "tuning:" */
} MdSettings;

/* md_settings_load: read and check a YAML file. Faults are written to faults as
   "file:line: reason" lines; returns MD_OK or MD_E_INVALID. */
int md_settings_load (MdSettings *settings, const char *path, MdBuf *faults);
/* md_settings_parse: the same for text in memory; path is used in messages. */
int md_settings_parse (MdSettings *settings, const char *path, MdStr text, MdBuf *faults);
void md_settings_clear (MdSettings *settings);

/* md_settings_update: take over from fresh what a run-entry or run-guard can change while
   it runs. The names of these settings are appended to applied, those of others that
   differ to deferred, separated by commas. */
void md_settings_update (MdSettings *settings, const MdSettings *fresh, MdBuf *applied,
                         MdBuf *deferred);

/* md_settings_find_token: the token that matches, NULL when none does. Compares with
   every token in constant time. */
const MdToken *md_settings_find_token (const MdSettings *settings, MdStr presented);

/* md_address_split: "ip:port" into host and port; MD_E_INVALID otherwise. */
int md_address_split (MdStr address, char host[MD_ADDRESS_BYTES], int *port);

/* ------------------------------------------------------------------ */
/* Links between processes (frame.c, link.c)                          */

typedef struct Md__Frame Md__Frame; /* wire.pb-c.h */

#define MD_FRAME_MAX_BYTES (16u << 20) /* bytes of one frame, without its length */

/* md_frame_encode: append length and frame to out. */
int md_frame_encode (const Md__Frame *frame, MdBuf *out);

/* md_frame_decode: the next frame of a byte stream. Returns MD_OK and sets
   *frame and *used; MD_E_NOT_FOUND when more bytes are needed; MD_E_INVALID on a
   malformed frame or one over the bound. Free with md__frame__free_unpacked. */
int md_frame_decode (MdStr bytes, Md__Frame **frame, size_t *used);

typedef struct MdLinks MdLinks; /* all links of one engine thread */
typedef struct MdLink MdLink;   /* one peer connection */

typedef struct
{
  /* A connection is up: dialled or accepted. The dialling side sends Hello. */
  void (*on_up) (void *user, MdLink *link);
  void (*on_frame) (void *user, MdLink *link, const Md__Frame *frame);
  /* The connection is gone. An accepted link is freed after this call; a dialled
     one dials again until md_link_close. */
  void (*on_down) (void *user, MdLink *link, const MdError *error);
} MdLinkHandler;

/* All functions but md_links_wake belong to the engine thread. The handler is
   called from md_links_poll only; every on_up is followed by one on_down. A new
   connection may be silent for 5 s until md_link_set_max_silence says otherwise. */
MdLinks *md_links_new (const MdTuning *tuning, const MdLinkHandler *handler, void *user);
void md_links_free (MdLinks *links);

/* md_links_listen: accept connections on "ip:port"; port 0 takes a free one. The
   address in use is written to bound. */
int md_links_listen (MdLinks *links, MdStr address, char bound[MD_ADDRESS_BYTES], MdError *error);

/* md_links_dial: keep a connection to an address, with jittered reconnects. */
MdLink *md_links_dial (MdLinks *links, MdStr address, void *data);

/* md_links_set_connect_timeout: of later dials; 2 s by default. */
void md_links_set_connect_timeout (MdLinks *links, MdTime timeout);

/* md_links_poll: write what is queued, wait for I/O until the given time or a
   wake, read, and call the handler. */
void md_links_poll (MdLinks *links, MdTime until);
void md_links_wake (MdLinks *links); /* from any thread */

/* A descriptor of another library that is served by the same poll. The owner fills
   in on_event and user, and keeps the structure until md_links_free. */
typedef struct
{
  bool is_watch;                                          /* set by md_links_watch */
  int fd;                                                 /* -1: not watched */
  void (*on_event) (void *user, int fd, uint32_t events); /* EPOLL flags */
  void *user;                                             /* first argument of on_event */
} MdWatch;

/* md_links_watch: call on_event from md_links_poll on these EPOLL events of fd; a
   later call replaces them. */
int md_links_watch (MdLinks *links, MdWatch *watch, int fd, uint32_t events);
void md_links_unwatch (MdLinks *links, MdWatch *watch);

/* md_link_send: queue a frame. MD_E_LIMIT when the peer reads too slowly and the
   buffer bound is reached; the connection is then abandoned. */
int md_link_send (MdLink *link, const Md__Frame *frame);
/* md_link_queued: bytes that are queued and not written yet, so that a sender of
   much data can pace itself below the bound. */
size_t md_link_queued (const MdLink *link);
void md_link_disconnect (MdLink *link); /* abandon the connection */
void md_link_close (MdLink *link);      /* abandon it and do not dial again */
bool md_link_is_up (const MdLink *link);
bool md_link_is_dialled (const MdLink *link);
void *md_link_data (const MdLink *link);
void md_link_set_data (MdLink *link, void *data);
const char *md_link_peer (const MdLink *link); /* remote address, for logs */

/* md_link_set_max_silence: abandon the connection when nothing arrives for this long;
   0 turns the check off. */
void md_link_set_max_silence (MdLink *link, MdTime silence);

/* md_link_set_control: bytes of frames sent until the next call count as control
   traffic. */
void md_link_count_control (MdLink *link, bool control);

/* ------------------------------------------------------------------ */
/* Platform log client (logclient.c)                                  */

typedef struct
{
  uint64_t offset; /* of the record */
  int64_t time_ms; /* by the log's clock */
  MdStr data;      /* JSON text */
} MdLogRecord;

/* md_log_append: append one record and return its offset. Blocks at most timeout;
   thread-safe. MD_E_TIMEOUT and MD_E_IO mean that the record may stand in the log
   or not. */
int md_log_append (MdStr address, MdStr stream, MdStr json, MdTime timeout, uint64_t *offset,
                   MdError *error);

/* md_log_read: read up to max records from an offset, waiting at most wait for
   the first. Calls on_record for each; *next is the offset to read next, *end the
   end of the stream. MD_E_TOO_OLD: *first is the oldest offset kept. */
int md_log_read (MdStr address, MdStr stream, uint64_t from, uint32_t max, MdTime wait,
                 void (*on_record) (void *user, const MdLogRecord *record), void *user,
                 uint64_t *first, uint64_t *next, MdError *error);

/* ------------------------------------------------------------------ */
/* Store: configuration and registrations as read from the log (store.c) */

typedef struct MdStore MdStore;

typedef struct
{
  char name[MD_NAME_BYTES]; /* customer */
  MdCustomerPolicy policy;  /* limits */
} MdCustomerConfig;

/* An immutable view, published through RCU at each change. */
typedef struct
{
  uint64_t version;                  /* configuration offset applied */
  const MdPoolConfig *pools;         /* n_pools entries, by name */
  size_t n_pools;                    /* pools */
  const MdCustomerConfig *customers; /* n_customers entries, by name */
  size_t n_customers;                /* customers */
} MdConfigView;

typedef enum
{
  MD_STORE_CONFIG,   /* configuration changed; see md_store_view */
  MD_STORE_REGISTER, /* a member registered */
  MD_STORE_REMOVE,   /* a member left or was removed */
} MdStoreEventKind;

typedef struct
{
  MdStoreEventKind kind;
  uint64_t offset;   /* record offset */
  int64_t time_ms;   /* by the log's clock */
  MdMemberInfo info; /* REGISTER; REMOVE: incarnation only */
  bool left;         /* REMOVE: left by itself */
} MdStoreEvent;

/* md_store_new: starts a reader thread per stream ("config", "members").
   on_event is called from those threads, in offset order. */
MdStore *md_store_new (const MdSettings *settings,
                       void (*on_event) (void *user, const MdStoreEvent *event), void *user);
void md_store_free (MdStore *store);

/* md_store_view: the current view. The thread must be registered with RCU and
   hold the read lock while it uses the view. NULL before any configuration. */
const MdConfigView *md_store_view (MdStore *store);
const MdPoolConfig *md_view_pool (const MdConfigView *view, MdStr name);
const MdCustomerConfig *md_view_customer (const MdConfigView *view, MdStr name);

/* md_store_age_ms: since the end of the configuration stream was last seen;
   -1 never. */
int64_t md_store_age_ms (MdStore *store);

/* md_store_register, md_store_remove_member: block; retried by the caller. A lost
   answer is resolved by reading the stream. MD_E_CONFLICT: the incarnation was
   replaced or removed since and must not be used any more. */
int md_store_register (MdStore *store, const MdMemberInfo *info, uint64_t *offset, MdError *error);
int md_store_remove_member (MdStore *store, uint64_t incarnation, bool left, MdError *error);

/* md_store_change: put or delete a resource. Blocks until the change is known to
   stand in the log and applied here, or fails. MD_E_CONFLICT: lost race, *version
   is the current version. MD_E_IO, MD_E_TIMEOUT: not accepted; error says whether
   the record may still appear. */
int md_store_change (MdStore *store, MdChangeKind kind, MdStr resource_kind, MdStr name,
                     uint64_t expected, MdStr spec, MdStr actor, uint64_t *version, MdError *error);

/* md_store_snapshot, md_store_load_snapshot: exchange with peers while the log is
   down. The caller frees *out. */
int md_store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset);
int md_store_load_snapshot (MdStore *store, int stream, MdStr snapshot, MdError *error);

/* ------------------------------------------------------------------ */
/* Observed resources: what this entry sees (observed.c)              */

typedef struct MdObserved MdObserved;

/* A thread-safe table of read-only resources (job, upstream, entry, report) with
   a version per change, for lists and watches on the operator address. Versions
   count per entry process. */
MdObserved *md_observed_new (uint32_t keep_changes);
void md_observed_free (MdObserved *observed);
/* md_observed_put: create or replace; status is JSON text. customer may be empty
   for resources that only operators see. */
void md_observed_put (MdObserved *observed, const char *kind, MdStr name, MdStr customer,
                      MdStr status);
void md_observed_delete (MdObserved *observed, const char *kind, MdStr name);

/* ------------------------------------------------------------------ */
/* HTTP for operators (operator.c)                                    */

typedef struct MdOperator MdOperator;

MdOperator *md_operator_start (const MdSettings *settings, MdStore *store, MdObserved *observed,
                               MdError *error);
void md_operator_stop (MdOperator *server);

/* ------------------------------------------------------------------ */
/* Traces of the dispatch core (trace.c, replay.c)                    */

/* Names in traces, indexed by MdTaskResult and MdRecordState, ended by NULL. */
extern const char *const md_trace_results[];
extern const char *const md_trace_states[];

/* Each appends one line for an input of the dispatch core. md_trace_begin comes
   first in a trace; md_trace_drain is called whenever the caller starts to take
   decisions out, because starts are chosen then. */
void md_trace_begin (MdBuf *out);
void md_trace_drain (MdBuf *out, MdTime now);
void md_trace_tick (MdBuf *out, MdTime now);
void md_trace_submit (MdBuf *out, const MdJobSpec *spec, MdTime now, int64_t wall_ms);
void md_trace_answer (MdBuf *out, uint64_t guard, MdKey key, uint32_t task, MdTaskResult result,
                      MdReason reason, MdTime run, MdTime now);
void md_trace_cancel (MdBuf *out, MdKey key, MdTime now);
void md_trace_recover (MdBuf *out, const MdRecord *record, MdTime now);
void md_trace_guard_up (MdBuf *out, const MdGuardInfo *info, MdTime now);
void md_trace_guard_pause (MdBuf *out, uint64_t guard, bool paused, MdTime now);
void md_trace_guard_leaving (MdBuf *out, uint64_t guard, MdTime now);
void md_trace_guard_lost (MdBuf *out, uint64_t guard, MdTime now);
void md_trace_serve (MdBuf *out, int64_t cut_ms, MdTime now);
void md_trace_suspend (MdBuf *out, MdTime now);
void md_trace_pool (MdBuf *out, const MdPoolPolicy *policy, MdTime now);
void md_trace_customer (MdBuf *out, MdStr customer, const MdCustomerPolicy *policy, MdTime now);

/* ------------------------------------------------------------------ */
/* Sub-commands; each returns the exit code of the process            */

int md_entry_main (int argc, const char **argv);
int md_guard_main (int argc, const char **argv);
int md_run_entry_main (int argc, const char **argv); /* on the users' platform */
int md_run_guard_main (int argc, const char **argv); /* on the users' platform */
int md_check_config_main (int argc, const char **argv);
int md_submit_main (int argc, const char **argv);   /* callers' client */
int md_resource_main (int argc, const char **argv); /* get, apply, delete, watch, status */
int md_replay_main (int argc, const char **argv);
int md_explain_main (int argc, const char **argv);  /* from an id to the cause */
int md_simulate_main (int argc, const char **argv); /* a day without processes */

/* Exit codes. */
enum
{
  MD_EXIT_OK = 0,      /* done */
  MD_EXIT_FAILED = 1,  /* the operation failed; the reason is on stderr */
  MD_EXIT_USAGE = 2,   /* wrong command line */
  MD_EXIT_REFUSED = 3, /* refused: nothing ran */
  MD_EXIT_UNKNOWN = 4, /* outcome unknown */
};

#endif
