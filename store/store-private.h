/* store-private.h -- the parts of the store share these */

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
  uint64_t offset;          /* of the record */
  int64_t time_ms;          /* by the log's clock */
  char *text;               /* the record as JSON text, owned */
  MemberKind kind;          /* what it does */
  MdRole role;              /* registrations */
  char name[MD_NAME_BYTES]; /* registrations */
  uint64_t incarnation;     /* which process */
  bool ended;               /* replaced or removed later, or not a registration */
} MemberRecord;

/* The records of the stream that still matter, in offset order. */
typedef struct
{
  uint64_t next_offset;  /* offset to read next */
  MemberRecord *records; /* owned */
  size_t n_records;      /* in use */
  size_t cap_records;    /* allocated */
  size_t n_ended;        /* of these, ended */
} MemberLog;

/* Events that result from applying records, in offset order. They are delivered
   after the lock is released. */
typedef struct
{
  MdStoreEvent event;  /* strings belong to root */
  struct json_t *root; /* record, owned; NULL for removals */
} MemberEvent;

typedef struct
{
  MemberEvent *items; /* owned */
  size_t n;           /* in use */
  size_t cap;         /* allocated */
} MemberEvents;

void member_events_clear (MemberEvents *events);
void member_log_clear (MemberLog *log);

/* member_log_apply: apply the record at an offset and append its effects to
   events. The rule for gaps and snapshots is that of md_config_apply. */
MdApply member_log_apply (MemberLog *log, uint64_t offset, int64_t time_ms, MdStr text,
                          MemberEvents *events);
int member_log_load (MemberLog *log, MdStr snapshot, MemberEvents *events, MdError *error);

/* member_record_register, member_record_removal: JSON text of a record; freed
   with free; NULL when out of memory. */
char *member_record_register (const MdMemberInfo *info);
char *member_record_removal (uint64_t incarnation, bool left);
int member_log_snapshot (const MemberLog *log, char **out, size_t *len);
const MemberRecord *member_log_find (const MemberLog *log, uint64_t incarnation, MemberKind kind);

/* ------------------------------------------------------------------ */
/* The store                                                           */

typedef struct
{
  MdStore *store;         /* back pointer */
  int index;              /* STREAM_ */
  MdStr name;             /* of the stream */
  uint64_t oldest_offset; /* oldest offset the log keeps, as last told */
  uint64_t replay_offset; /* oldest record a new entry needs */
  int64_t replay_time_ms; /* time of that record, 0 unknown */
  bool scanning;          /* next is no longer kept: look for a snapshot */
  uint64_t scan_offset;   /* scanning: offset to read */
  MdTime caught_up_at;    /* when the end was last seen, 0 never */
  MdTime snapshot_at;     /* when to write a snapshot, 0 not planned */
  MdTime poll_wait;       /* of one read */
  unsigned failures;      /* consecutive failed reads */
  bool skip_backoff;      /* somebody waits for this stream: end the back-off */
} StoreStream;

struct MdStore
{
  char address[MD_ADDRESS_BYTES]; /* platform log */
  bool is_entry;                  /* writes snapshots, reads at short intervals */
  MdTuning tuning;                /* constants */
  void (*on_event) (void *user, const MdStoreEvent *event);
  void *user;                        /* for on_event */
  pthread_mutex_t event_lock;        /* held while records are applied and told;
                                           taken before lock */
  pthread_mutex_t lock;              /* guards everything below */
  pthread_cond_t changed;            /* records applied, end seen, stopping */
  int refs;                          /* threads and the owner */
  bool stopping;                     /* md_store_free was called */
  MdConfig *config;                  /* declared resources */
  MemberLog members;                 /* registrations */
  StoreStream streams[STREAM_COUNT]; /* by STREAM_ */
  bool ready;                        /* a view may be published */
  uint64_t published_version;        /* version of the view */
  _Atomic (MdConfigView *) view;     /* read under RCU */
};

/* store_publish: rebuild the view and tell on_event; takes both locks. */
void store_publish (MdStore *store);
/* store_deliver: pass events to on_event; called with event_lock. */
void store_deliver (MdStore *store, MemberEvents *events);
uint64_t store_next_offset (MdStore *store, int stream); /* with lock */
/* store_unref: drop one user; the last one frees the store. */
void store_unref (MdStore *store);

int store_reader_start (StoreStream *stream);

/* store_await: wait with lock until done says so or the time comes; ends the
   back-off of the reader once. */
bool store_await (MdStore *store, int stream, bool (*done) (MdStore *store, void *user), void *user,
                  MdTime until);

/* store_snapshot: the snapshot record of a stream; takes lock. */
int store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset);

#endif
