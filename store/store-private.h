/* store-private.h -- declarations shared by the source files of the store */

#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

#include "md-control.h"

#define STREAM_CONFIG 0
#define STREAM_MEMBERS 1
#define STREAM_COUNT 2

/* ------------------------------------------------------------------ */
/* Registrations (store-members.c)                                     */

typedef enum
{
  MEMBER_REGISTER,
  MEMBER_LEAVE,
  MEMBER_REMOVE,
} MemberKind;

typedef struct
{
  uint64_t offset; /* in the stream */
  int64_t time_ms; /* wall clock of the log */
  char *text;      /* the record as JSON text, owned */
  MemberKind kind;
  MdRole role;              /* registrations only */
  char name[MD_NAME_BYTES]; /* registrations only */
  uint64_t incarnation;     /* identifies the member process */
  bool ended;               /* replaced or removed later, or not a registration */
} MemberRecord;

/* The current registrations and the most recent ended records, in offset order. */
typedef struct
{
  uint64_t next_offset;  /* of the next record to apply */
  MemberRecord *records; /* owned */
  size_t n_records;      /* in use */
  size_t cap_records;    /* allocated */
  size_t n_ended;        /* records of the n_records that have ended set */
} MemberLog;

/* Events that result from applying records, in offset order. They are passed to
   on_event after MdStore.lock has been released. */
typedef struct
{
  MdStoreEvent event;  /* its strings point into root */
  struct json_t *root; /* parsed record, referenced; NULL for removals */
} MemberEvent;

typedef struct
{
  MemberEvent *items; /* owned */
  size_t n;           /* in use */
  size_t cap;         /* allocated */
} MemberEvents;

/* member_events_clear, member_log_clear: free the contents and reset to empty. */
void member_events_clear (MemberEvents *events);
void member_log_clear (MemberLog *log);

/* member_log_apply: apply the record at an offset and append the resulting events.
   Gaps and snapshots are handled as by md_config_apply(). */
MdApplyResult member_log_apply (MemberLog *log, uint64_t offset, int64_t time_ms, MdStr text,
                                MemberEvents *events);
/* member_log_load: replace the contents of log by those of a snapshot record and
   append the events of what changed. MD_E_TOO_OLD: the snapshot is behind log.
   MD_E_INVALID: it is not a valid snapshot. MD_E_MEMORY: memory is short. log is unchanged on
   failure. */
int member_log_load (MemberLog *log, MdStr snapshot, MemberEvents *events, MdError *error);

/* member_record_register, member_record_removal: return the JSON text of a record,
   which the caller frees, or NULL when out of memory. */
char *member_record_register (const MdMemberInfo *info);
char *member_record_removal (uint64_t incarnation, bool left);
/* member_log_snapshot: write a snapshot record; the caller frees *out. Returns MD_OK
   or MD_E_MEMORY. */
int member_log_snapshot (const MemberLog *log, char **out, size_t *len);
/* member_log_find: the newest record of an incarnation that has the given kind, or
   NULL. Valid until the log changes. */
const MemberRecord *member_log_find (const MemberLog *log, uint64_t incarnation, MemberKind kind);

/* ------------------------------------------------------------------ */
/* The store                                                           */

typedef struct
{
  MdStore *store;         /* that this stream is part of */
  int index;              /* STREAM_CONFIG or STREAM_MEMBERS */
  MdStr name;             /* of the stream */
  uint64_t oldest_offset; /* oldest offset in the log, by the last response */
  uint64_t replay_offset; /* oldest record that a new entry must read */
  int64_t replay_time_ms; /* time of that record by the log; 0: unknown */
  bool scanning;          /* the next offset has expired; looking for a snapshot */
  uint64_t scan_offset;   /* offset to read while scanning */
  MdTime caught_up_at;    /* last read that reached the end of the stream; 0: never */
  MdTime snapshot_at;     /* when to write a snapshot; 0: none is due */
  MdTime poll_wait;       /* longest wait of one read for new records */
  unsigned failures;      /* consecutive failed reads; reader thread only */
  bool skip_backoff;      /* a caller waits for this stream: end the backoff now */
} StoreStream;

struct MdStore
{
  char address[MD_ADDRESS_BYTES]; /* of the platform's log */
  bool is_entry;                  /* writes snapshots and polls more often than a guard */
  MdTuning tuning;
  void (*on_event) (void *user, const MdStoreEvent *event);
  void *user;                        /* argument of on_event */
  pthread_mutex_t event_lock;        /* held while records are applied and on_event runs;
                                        acquired before lock */
  pthread_mutex_t lock;              /* guards everything below */
  pthread_cond_t changed;            /* records applied, skip_backoff, refs or stopping */
  int refs;                          /* one for each thread and one for the owner */
  bool stopping;                     /* md_store_free was called */
  MdConfig *config;                  /* declared resources */
  MemberLog members;                 /* registrations */
  StoreStream streams[STREAM_COUNT]; /* indexed by STREAM_CONFIG, STREAM_MEMBERS */
  bool ready;                    /* the configuration was read to the end or loaded from a peer */
  uint64_t published_version;    /* version of view */
  _Atomic (MdConfigView *) view; /* readers use RCU; NULL until ready */
};

/* store_publish: build a view of the current configuration, publish it and report it
   to on_event, unless that version is published already. Acquires both locks. */
void store_publish (MdStore *store);
/* store_deliver: pass events to on_event and clear them. Called with event_lock
   held. */
void store_deliver (MdStore *store, MemberEvents *events);
/* store_next_offset: offset of the next record to apply. Called with lock held. */
uint64_t store_next_offset (MdStore *store, int stream);
/* store_unref: release one reference; the last one frees the store. */
void store_unref (MdStore *store);

/* store_reader_start: start the detached reader thread of a stream. The caller has
   added the thread's reference to the store. Returns 0 or an error number. */
int store_reader_start (StoreStream *stream);

/* store_await: wait until done() returns true, the time until or the stop of the store.
   Called with lock held; ends a backoff of the stream's reader once. Returns the last
   result of done(). */
bool store_await (MdStore *store, int stream, bool (*done) (MdStore *store, void *user), void *user,
                  MdTime until);

/* store_snapshot: write the snapshot record of a stream and set *offset to the next
   offset after its state. Acquires lock; the caller frees *out. MD_E_NOT_FOUND: no
   record has been applied. */
int store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset);

#endif
