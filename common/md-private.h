/* md-private.h -- internal interfaces shared by the modules of the programs

   Declares the logger, metrics, clocks, settings, links between processes, the
   platform log client, the configuration store and the sub-commands. The library
   folders core/ and sched/ do not include this header. */

#ifndef MD_PRIVATE_H
#define MD_PRIVATE_H

#include "md-base.h"

#include <stdatomic.h>
#include <stdio.h>
#include <sys/types.h>
#include <time.h>

/* ------------------------------------------------------------------ */
/* Files (stream.c)                                                   */

/* md_stream_read: read a stream to its end and append the data to out. Reading stops
   once out is longer than max bytes, which the caller checks. Returns false on a read
   error or when out of memory. */
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

/* md_log_open: write log lines to descriptor fd, each with one system call. node is
   copied and appears in every line; lines below the level lowest are not written. */
void md_log_open (int fd, const char *node, MdLogLevel lowest);
bool md_log_enabled (MdLogLevel level);
/* md_log_set_level: change the lowest level written. Thread-safe. */
void md_log_set_level (MdLogLevel lowest);

/* md_log_start_writer: write log lines from a background thread, so that md_log does not
   block on a slow reader of the log. Lines are dropped when the buffer fills up or the
   rate limit is exceeded. Without memory or a thread, md_log keeps writing directly.
   md_log_stop_writer: write the buffered lines, end the thread and write directly again. */
void md_log_start_writer (void);
void md_log_stop_writer (void);

/* md_log_end: write the buffered lines and then this one, as the last line of the process, whatever
   its level. Lines that other threads log later are discarded. Takes at most half a second, however
   slowly the output is read; lines that are not written by then are counted in a log-dropped line
   before the last one. */
void md_log_end (MdLogLevel level, const char *event, const char *format, ...) MD_PRINTF (3, 4);

/* For a handler of fatal signals; all three are async-signal-safe. md_log_descriptor: the
   descriptor of md_log_open. md_log_node: the node in every line. md_log_wait_written: wait until
   the background thread has written all buffered lines, at most timeout_ms. */
int md_log_descriptor (void);
const char *md_log_node (void);
void md_log_wait_written (int timeout_ms);

/* md_log: write one line of key=value pairs. event is a fixed word; format yields
   "key=value" pairs separated by spaces. Untrusted values must be escaped with md_log_quote. */
void md_log (MdLogLevel level, const char *event, const char *format, ...) MD_PRINTF (3, 4);

/* md_log_quote: copy a value to out in a form that is safe in a log line. Values that are
   empty or contain spaces, quotes, '=', control or non-ASCII characters are quoted; in
   quoted values, quotes, control and non-ASCII characters become '?'. The result is
   truncated to size bytes with the terminator. Returns out. */
const char *md_log_quote (MdStr value, char *out, size_t size);

/* ------------------------------------------------------------------ */
/* Metrics (metrics.c)                                               */

typedef enum
{
  MD_COUNTER, /* never decreases */
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

/* Histograms of durations with fixed bucket bounds. */
typedef enum
{
#define MD_HISTOGRAM(id, name, label, help) id,
#include "histograms.def"
#undef MD_HISTOGRAM
  MD_HISTOGRAM_COUNT
} MdHistogram;

/* md_observe: count one duration in a histogram. Thread-safe. */
void md_observe (MdHistogram histogram, MdTime time);

/* md_metrics_write: append all metrics in the Prometheus text exposition format. */
void md_metrics_write (MdBuf *out);
/* md_metrics_update_process: refresh the gauges of resident memory and open descriptors from
   /proc; a gauge is -1 when its value cannot be read. */
void md_metrics_update_process (void);

/* ------------------------------------------------------------------ */
/* Allocator (allocator.c)                                            */

/* md_limit_arenas: bound the arenas of the allocator, unless the environment sets MALLOC_ARENA_MAX.
   To be called before other threads are started. */
void md_limit_arenas (void);

/* ------------------------------------------------------------------ */
/* Time and random numbers (clock.c)                                  */

MdTime md_now (void);      /* CLOCK_BOOTTIME, microseconds */
int64_t md_wall_ms (void); /* CLOCK_REALTIME, since 1970 */
uint64_t md_random (void); /* getrandom; aborts on failure */

/* md_new_incarnation: an identifier of a process start: the wall-clock time in milliseconds
   in the upper bits and 20 random bits below. */
uint64_t md_new_incarnation (void);

/* md_uuid7: write a new UUIDv7 (RFC 9562) as text of 36 characters with terminator. */
void md_uuid7 (char out[37]);

/* ------------------------------------------------------------------ */
/* Settings of a process (settings.c)                                 */

#define MD_ADDRESS_BYTES 64 /* "ip:port" with terminator */
#define MD_TOKEN_BYTES 128  /* bearer token with terminator */
#define MD_LIST_BYTES 512   /* list of addresses with terminator */

typedef struct
{
  bool is_operator;           /* false: customer */
  char name[MD_NAME_BYTES];   /* operator name recorded with changes, or customer */
  char token[MD_TOKEN_BYTES]; /* secret */
} MdToken;

typedef struct
{
  char name[MD_NAME_BYTES]; /* node name, unchanged by a restart */
  char region[MD_NAME_BYTES];
  char failure_domain[MD_NAME_BYTES];
  char log_address[MD_ADDRESS_BYTES];        /* platform log service */
  char internal_address[MD_ADDRESS_BYTES];   /* entry: listens for links of other processes */
  char advertised_address[MD_ADDRESS_BYTES]; /* entry: internal_address as peers
                                              reach it; empty: the same */
  char caller_address[MD_ADDRESS_BYTES];     /* entry: HTTP server for callers */
  char operator_address[MD_ADDRESS_BYTES];   /* entry: HTTP server for operators */
  char balancer_address[MD_ADDRESS_BYTES];   /* internal address of any entry, used
                                              while the log is unavailable; empty: none */
  char upstream_address[MD_ADDRESS_BYTES];   /* guard: the upstream's HTTP server */
  char pool[MD_NAME_BYTES];                  /* guard: pool served */
  uint32_t slots;                            /* guard: concurrent tasks */
  uint32_t connections;                      /* guard: connections to the upstream */
  uint32_t cores;                            /* guard: of the worker */
  uint32_t memory_mb;                        /* guard: of the worker, MiB */
  uint32_t accelerators;                     /* guard: of the worker */
  uint32_t caller_threads;                   /* entry: HTTP threads for callers */
  uint32_t full_reports;     /* guard: entries that get a report of each change of its load */
  uint32_t max_followed;     /* entry: further guards that are asked for these at a time */
  uint32_t operator_threads; /* entry: HTTP threads for operators */
  uint64_t max_body_bytes;   /* entry: largest request body */
  MdTime drain_timeout;      /* limit of a graceful shutdown */
  MdLogLevel log_level;      /* lowest level written */
  bool is_entry;             /* false: guard */
  char store_address[MD_ADDRESS_BYTES];    /* runs: the platform's store */
  char advisor_address[MD_ADDRESS_BYTES];  /* run-entry: advisory service; empty: none */
  char ready_address[MD_ADDRESS_BYTES];    /* run-entry: HTTP server for the balancer's probes */
  char metrics_address[MD_ADDRESS_BYTES];  /* runs: HTTP server for metrics; empty: none */
  char seeds[MD_LIST_BYTES];               /* runs: comma-separated ip:port of entries; only
                                                the IP addresses are used */
  char worker_address[MD_ADDRESS_BYTES];   /* run-guard: where the worker accepts orders */
  char register_address[MD_ADDRESS_BYTES]; /* run-guard: where the worker sends its reports */
  uint32_t entry_port;                     /* runs: internal port, the same at all entries */
  MdTime worker_lease_max;                 /* run-guard: upper bound of a worker lease */
  MdTime resend_after;                     /* runs: time after which callers resend a lost job */
  MdTime stop_timeout;                     /* runs: time that a worker needs to stop a run */
  MdTime config_apply;                     /* run-entry: a confirmed configuration has to be in
                                                force within this time */
  double remote_factor;                    /* run-entry: factor on the run time of a worker
                                                away from the data */
  bool handover;                           /* run-entry: hand requests over to other entries, and
                                                take theirs */
  double cpu_share;                        /* run-entry: processor share in cores, 0: as the host
                                                says */
  bool end_marked;                         /* the text ended with the end marker "..." */
  bool incomplete;                         /* after an error: the file may be cut short, empty,
                                                missing or being written */
  bool unreadable;                         /* after an error: the file could not be read */
  MdToken *tokens;                         /* n_tokens elements, owned */
  size_t n_tokens;
  MdTuning tuning; /* defaults with the overrides of "tuning:" */
} MdSettings;

/* md_settings_load: read and validate a YAML file. Every error found is appended to faults as
   a line "file:line: reason". Returns MD_OK, MD_E_INVALID or MD_E_MEMORY. The caller releases
   settings with md_settings_clear in every case. */
int md_settings_load (MdSettings *settings, const char *path, MdBuf *faults);
/* md_settings_parse: the same for text in memory; path is used in messages only. */
int md_settings_parse (MdSettings *settings, const char *path, MdStr text, MdBuf *faults);
void md_settings_clear (MdSettings *settings);

/* State of a file, as far as it tells that the content has changed. */
typedef struct
{
  bool exists;
  dev_t device;
  ino_t inode;
  off_t size;               /* bytes */
  struct timespec modified; /* last change of the content */
} MdFileState;

/* The settings file of a running process (settings-file.c); zero-initialized. */
typedef struct
{
  MdFileState loaded; /* when it was last read */
  MdFileState seen;   /* at the last look */
  MdTime seen_at;     /* since when it is known to be in that state; 0: not seen */
  MdTime check_due;   /* next look */
  bool requested;     /* it is to be read even if it has not changed */
  bool missing;       /* it has been reported as missing */
} MdSettingsFile;

/* md_settings_wait: load the settings of a daemon that starts. A file that is missing, empty, cut
   short or being written is loaded again for up to 10 s; other errors are final once the file has
   not changed for 300 ms. is_stopping, which may be NULL, ends the wait. file, which may be NULL,
   receives the state of the file. Writes to stderr what it waits for. Returns what md_settings_load
   returns, and MD_E_TIMEOUT after is_stopping. */
int md_settings_wait (MdSettings *settings, const char *path, MdSettingsFile *file,
                      bool (*is_stopping) (void), MdBuf *faults);

/* md_settings_file_changed: whether a running process has to load its file now: it has changed, or
   that was requested (SIGHUP), and it has not changed for 300 ms. Looks at the file at
   file->check_due, and at once when requested. Returns the reason, "signal" or "file"; NULL: no. */
const char *md_settings_file_changed (MdSettingsFile *file, const char *path, bool requested,
                                      MdTime now);

/* md_settings_update: copy the changed settings that a run-entry or run-guard can reload
   without a restart from fresh to settings. Appends the names of the copied settings to
   applied and those of other changed settings, which need a restart, to deferred; both
   lists are separated by commas. */
void md_settings_update (MdSettings *settings, const MdSettings *fresh, MdBuf *applied,
                         MdBuf *deferred);

/* md_settings_find_token: the entry of a bearer token; NULL when it is unknown. Compares
   with every token in constant time. The result is owned by settings. */
const MdToken *md_settings_find_token (const MdSettings *settings, MdStr presented);

/* md_address_split: split "ip:port" (IPv4, port 0 to 65535) into host and port. Returns MD_OK
   or MD_E_INVALID. */
int md_address_split (MdStr address, char host[MD_ADDRESS_BYTES], int *port);

/* ------------------------------------------------------------------ */
/* Links between processes (frame.c, link.c, link-io.c)               */

typedef struct Md__Frame Md__Frame; /* wire.pb-c.h */

#define MD_FRAME_MAX_BYTES (16u << 20) /* largest frame, without its length prefix */

/* md_frame_encode: append the length prefix and the packed frame to out. MD_E_LIMIT: the frame
   is longer than MD_FRAME_MAX_BYTES. MD_E_MEMORY: out of memory. */
int md_frame_encode (const Md__Frame *frame, MdBuf *out);

/* md_frame_decode: decode the first frame in bytes. Returns MD_OK and sets *frame and the number of
   bytes *used; MD_E_NOT_FOUND when the frame is incomplete; MD_E_INVALID when it is malformed or
   over the size limit; MD_E_MEMORY when memory is short. The caller frees *frame with
   md__frame__free_unpacked. */
int md_frame_decode (MdStr bytes, Md__Frame **frame, size_t *used);

typedef struct MdLinks MdLinks; /* the links of one engine thread */
typedef struct MdLink MdLink;   /* one peer, with its connection */

typedef struct
{
  /* A connection was established, by dialling or accepting. The dialling side sends Hello. */
  void (*on_up) (void *user, MdLink *link);
  /* A frame was received. It is valid during the call. */
  void (*on_frame) (void *user, MdLink *link, const Md__Frame *frame);
  /* The connection ended. An accepted link is freed after this call; a dialled one
     reconnects unless md_link_close was called, and is freed in that case. */
  void (*on_down) (void *user, MdLink *link, const MdError *error);
} MdLinkHandler;

/* md_links_new: all functions except md_links_wake must be called on the engine thread. The
   handler is called from md_links_poll only; every on_up is followed by one on_down. A new
   connection is closed when nothing arrives for 5 s, until md_link_set_max_silence changes the
   limit. NULL when out of memory or descriptors. md_links_free closes and frees all links
   without calling the handler. */
MdLinks *md_links_new (const MdTuning *tuning, const MdLinkHandler *handler, void *user);
void md_links_free (MdLinks *links);

/* md_links_listen: accept connections on "ip:port"; port 0 selects a free port. The bound
   address is written to bound. Errors: MD_E_EXISTS when already listening, MD_E_INVALID
   address, MD_E_IO. */
int md_links_listen (MdLinks *links, MdStr address, char bound[MD_ADDRESS_BYTES], MdError *error);

/* md_links_dial: maintain a connection to an address; a lost connection is dialled again after
   a jittered delay. data is returned by md_link_data. NULL when out of memory. */
MdLink *md_links_dial (MdLinks *links, MdStr address, void *data);

/* md_links_set_connect_timeout: set the time-out of later connection attempts; 2 s by default. */
void md_links_set_connect_timeout (MdLinks *links, MdTime timeout);

/* md_links_set_ack_timeout: give up later dialled connections when data that was sent is not
   acknowledged for this long, and dial again. Acknowledgements come from the peer's kernel, also
   while its process is late or paused: without them the connection is dead, or the way to the peer
   is. A connection that follows one of less than ten seconds which ended so waits twice as long,
   at most four times the timeout, as the way may be congested. 0, the default: never. */
void md_links_set_ack_timeout (MdLinks *links, MdTime timeout);

/* md_links_poll: write queued frames, wait for I/O until the given time or a call of
   md_links_wake, read, and call the handler. */
void md_links_poll (MdLinks *links, MdTime until);
void md_links_wake (MdLinks *links); /* thread-safe */

/* A descriptor of another library that is polled together with the links. The owner sets fd
   to -1, on_event and user before the first md_links_watch, and keeps the structure
   allocated until md_links_free. */
typedef struct
{
  bool is_watch;                                          /* set by md_links_watch */
  int fd;                                                 /* -1: not watched */
  void (*on_event) (void *user, int fd, uint32_t events); /* events: EPOLL flags */
  void *user;                                             /* first argument of on_event */
} MdWatch;

/* md_links_watch: call on_event from md_links_poll on the EPOLL events of fd; a later call
   with the same fd replaces the events. Returns MD_OK or MD_E_IO. */
int md_links_watch (MdLinks *links, MdWatch *watch, int fd, uint32_t events);
void md_links_unwatch (MdLinks *links, MdWatch *watch);

/* md_link_send: queue a frame. MD_E_IO: not connected. MD_E_LIMIT: the frame is longer than
   MD_FRAME_MAX_BYTES and the link stays up, or the queue has reached its limit because the
   peer reads too slowly, and the connection is closed; nothing of the frame has been sent then. The
   connections with the most output are also closed when all of them together exceed a limit. */
int md_link_send (MdLink *link, const Md__Frame *frame);
/* md_link_queued: bytes that are queued and not yet written; lets a bulk sender stay below
   the limit of the queue. */
size_t md_link_queued (const MdLink *link);
void md_link_disconnect (MdLink *link); /* close; a dialled link reconnects */
void md_link_close (MdLink *link);      /* close without reconnecting */
bool md_link_is_up (const MdLink *link);
bool md_link_is_dialled (const MdLink *link);
void *md_link_data (const MdLink *link);
void md_link_set_data (MdLink *link, void *data);
const char *md_link_peer (const MdLink *link); /* remote "ip:port" */
int md_link_socket (const MdLink *link);       /* for poll only; -1: not connected */
MdTime md_link_heard_at (const MdLink *link);  /* when data was last received */

/* md_link_set_max_silence: close the connection when nothing arrives for this long; 0 disables
   the check. Applies until the connection ends. */
void md_link_set_max_silence (MdLink *link, MdTime silence);

/* md_link_count_control: whether all frames sent from now on are counted as control traffic in
   the metrics, in addition to those that are control messages by type. */
void md_link_count_control (MdLink *link, bool control);

/* ------------------------------------------------------------------ */
/* Platform log client (logclient.c)                                  */

typedef struct
{
  uint64_t offset; /* position in the stream */
  int64_t time_ms; /* append time by the log's clock, since 1970 */
  MdStr data;      /* JSON text, valid during on_record */
} MdLogRecord;

/* md_log_append: append one record and set *offset to its offset. Blocks for at most timeout.
   Thread-safe. After MD_E_TIMEOUT or MD_E_IO it is unknown whether the record was
   appended. */
int md_log_append (MdStr address, MdStr stream, MdStr json, MdTime timeout, uint64_t *offset,
                   MdError *error);

/* md_log_read: read up to max records from an offset, waiting for the first one for at most
   wait, and call on_record for each. *next is set to the offset to read next. MD_E_TOO_OLD:
   the log no longer holds the offset; *first is the oldest one that it holds. */
int md_log_read (MdStr address, MdStr stream, uint64_t from, uint32_t max, MdTime wait,
                 void (*on_record) (void *user, const MdLogRecord *record), void *user,
                 uint64_t *first, uint64_t *next, MdError *error);

/* ------------------------------------------------------------------ */
/* Store: configuration and registrations, read from the log (store.c) */

typedef struct MdStore MdStore;

typedef struct
{
  char name[MD_NAME_BYTES]; /* customer */
  MdCustomerPolicy policy;
} MdCustomerConfig;

/* An immutable view of the configuration, replaced through RCU at each change. */
typedef struct
{
  uint64_t version;          /* next configuration offset to read */
  const MdPoolConfig *pools; /* n_pools elements, sorted by name */
  size_t n_pools;
  const MdCustomerConfig *customers; /* n_customers elements, sorted by name */
  size_t n_customers;
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
  uint64_t offset;   /* of the record; CONFIG: version of the view */
  int64_t time_ms;   /* append time by the log's clock */
  MdMemberInfo info; /* CONFIG: unset; REMOVE: incarnation only */
  bool left;         /* REMOVE: the member left, otherwise it was removed */
} MdStoreEvent;

/* md_store_new: start one reader thread for each stream ("config", "members"). on_event is
   called on these threads, in the order of the offsets of a stream. Returns NULL with errno when a
   thread cannot be created or memory is short. */
MdStore *md_store_new (const MdSettings *settings,
                       void (*on_event) (void *user, const MdStoreEvent *event), void *user);
void md_store_free (MdStore *store);

/* md_store_view: the current view; NULL before any configuration was read. The calling thread
   must be registered with RCU and hold the read lock while it uses the view. */
const MdConfigView *md_store_view (MdStore *store);
const MdPoolConfig *md_view_pool (const MdConfigView *view, MdStr name);
const MdCustomerConfig *md_view_customer (const MdConfigView *view, MdStr name);

/* md_store_age_ms: milliseconds since the end of the configuration stream was last reached;
   -1: never. */
int64_t md_store_age_ms (MdStore *store);

/* md_store_register, md_store_remove_member: append a registration or a removal. Both block
   and are retried by the caller. When the response of the log is lost, the outcome is
   determined by reading the stream. MD_E_CONFLICT: the incarnation has been replaced or
   removed and must no longer be used. */
int md_store_register (MdStore *store, const MdMemberInfo *info, uint64_t *offset, MdError *error);
int md_store_remove_member (MdStore *store, uint64_t incarnation, bool left, MdError *error);

/* md_store_change: put or delete a resource. Blocks until the change is in the log and applied
   locally, or fails. MD_E_CONFLICT: expected is not the current version, which is written to
   *version. MD_E_IO, MD_E_TIMEOUT: not confirmed; error says whether the record may still
   appear. */
int md_store_change (MdStore *store, MdChangeKind kind, MdStr resource_kind, MdStr name,
                     uint64_t expected, MdStr spec, MdStr actor, uint64_t *version, MdError *error);

/* md_store_snapshot, md_store_load_snapshot: exchange the state of a stream (0 configuration,
   1 members) with peers while the log is unavailable. The caller frees *out. */
int md_store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset);
int md_store_load_snapshot (MdStore *store, int stream, MdStr snapshot, MdError *error);

/* ------------------------------------------------------------------ */
/* Observed resources of this entry (observed.c)                      */

typedef struct MdObserved MdObserved;

/* A thread-safe table of read-only resources (job, upstream, entry, report) for lists and
   watches on the operator address. Every change has a version; versions are only valid
   within one entry process. */
/* md_observed_new: keeps the last keep_changes changes of each kind for watches to resume from. */
MdObserved *md_observed_new (uint32_t keep_changes);
void md_observed_free (MdObserved *observed);
/* md_observed_put: create or replace a resource. status is JSON text. customer is empty for
   resources that are visible to operators only. */
void md_observed_put (MdObserved *observed, const char *kind, MdStr name, MdStr customer,
                      MdStr status);
void md_observed_delete (MdObserved *observed, const char *kind, MdStr name);

/* ------------------------------------------------------------------ */
/* HTTP server for operators (operator.c)                             */

typedef struct MdOperator MdOperator;

MdOperator *md_operator_start (const MdSettings *settings, MdStore *store, MdObserved *observed,
                               MdError *error);
/* md_operator_end_watches: end all watches in order and wait for it, at most timeout. */
void md_operator_end_watches (MdOperator *server, MdTime timeout);
/* md_operator_stop: stop the server and free it; waits seconds for idle connections, so that a
   daemon does not call it. */
void md_operator_stop (MdOperator *server);

/* ------------------------------------------------------------------ */
/* Traces of the dispatch core (trace.c, replay.c)                    */

/* Names in traces, indexed by MdTaskResult and MdRecordState, ended by NULL. */
extern const char *const md_trace_results[];
extern const char *const md_trace_states[];

/* Each function appends one line for an input of the dispatch core. md_trace_begin writes
   the first line of a trace. md_trace_drain records that the caller begins to fetch
   decisions, because the core chooses task starts at that point. */
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
int md_run_entry_main (int argc, const char **argv); /* entry on the users' platform */
int md_run_guard_main (int argc, const char **argv); /* guard on the users' platform */
int md_check_config_main (int argc, const char **argv);
int md_check_routes_main (int argc, const char **argv); /* reads a configuration of the operator */
int md_submit_main (int argc, const char **argv);       /* HTTP client for callers */
int md_resource_main (int argc, const char **argv);     /* get, apply, delete, watch, status */
int md_replay_main (int argc, const char **argv);
int md_explain_main (int argc, const char **argv);  /* finds the cause of a job's outcome in logs */
int md_where_main (int argc, const char **argv);    /* tells where a job would go now */
int md_simulate_main (int argc, const char **argv); /* simulates a workload with each policy */

/* Exit codes of the sub-commands. */
enum
{
  MD_EXIT_OK = 0,
  MD_EXIT_FAILED = 1,  /* the operation failed; the reason is on stderr */
  MD_EXIT_USAGE = 2,   /* invalid command line */
  MD_EXIT_REFUSED = 3, /* refused before anything ran */
  MD_EXIT_UNKNOWN = 4, /* outcome unknown */
};

#endif
