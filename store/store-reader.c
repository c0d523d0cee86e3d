/* store-reader.c -- reader thread of one stream, and snapshots in the log

   The thread reads from the offset after the last one applied and never from an
   earlier one: a response whose end is before that offset comes from a replica that
   lags and is dropped. Failed reads are repeated with exponential backoff and full
   jitter, so that the entries do not all reconnect to a recovering log at once.

   When the next offset has expired, the thread scans the retained records for a
   snapshot. It loads the first one that is ahead of its state and continues from the
   offset named in the snapshot.

   A snapshot is due when a new entry would need a record that is older than half of
   the retention time. All entries detect this at about the same time; each waits a
   random time and writes a snapshot only if none has been read by then. */

#include "process.h"
#include "store-private.h"

#include "json-text.h"

#include <pthread.h>
#include <stdio.h>
#include <unistd.h>

#define READ_RECORDS_MAX 256                     /* records per read */
#define SNAPSHOT_DELAY_MAX (3 * MD_SECOND)       /* longest random delay before a snapshot */
#define SNAPSHOT_DELAY_MAX_URGENT (300 * MD_MS)  /* if the log has no usable snapshot */
#define SNAPSHOT_APPEND_TIMEOUT (10 * MD_SECOND) /* of the append of a snapshot */
#define BACKOFF_MAX_ENTRY (2 * MD_SECOND)        /* less than for guards, as entries are few */

typedef struct
{
  StoreStream *stream;
  uint32_t records; /* records received in this response */
  bool gap;         /* an offset is missing or the store stops: drop the rest */
} Batch;

uint64_t
store_next_offset (MdStore *store, int stream)
{
  return stream == STREAM_CONFIG ? md_config_next_offset (store->config)
                                 : store->members.next_offset;
}

/* ------------------------------------------------------------------ */
/* Records                                                             */

/* Updates the position from which a new entry has to read the stream. */
static void
update_replay_offset (StoreStream *s, const MdLogRecord *record)
{
  json_t *root = md_json_load (record->data, 0, NULL);
  json_int_t next = json_integer_value (json_object_get (root, "next"));

  json_decref (root);
  pthread_mutex_lock (&s->store->lock);
  if ((uint64_t)next >= s->replay_offset)
    {
      s->replay_offset = (uint64_t)next;
      s->replay_time_ms = record->time_ms;
    }
  pthread_mutex_unlock (&s->store->lock);
}

static MdApplyResult
apply_record (StoreStream *s, const MdLogRecord *record)
{
  MdStore *store = s->store;
  MemberEvents events = { 0 };
  MdApplyResult apply;

  pthread_mutex_lock (&store->event_lock);
  pthread_mutex_lock (&store->lock);
  if (s->index == STREAM_MEMBERS)
    apply = member_log_apply (&store->members, record->offset, record->time_ms, record->data,
                              &events);
  else
    apply = md_config_apply (store->config, record->offset, record->time_ms, record->data);
  pthread_mutex_unlock (&store->lock);
  store_deliver (store, &events);
  pthread_mutex_unlock (&store->event_lock);
  return apply;
}

static void
log_invalid_record (const StoreStream *s, const MdLogRecord *record, MdApplyResult apply)
{
  if (apply != MD_APPLY_INVALID || s->scanning)
    return;
  md_log (MD_LOG_WARN, "record-skipped", "stream=%.*s offset=%llu reason=invalid", (int)s->name.len,
          s->name.data, (unsigned long long)record->offset);
}

static void
on_record (void *user, const MdLogRecord *record)
{
  Batch *batch = user;
  StoreStream *s = batch->stream;
  uint64_t next;
  MdApplyResult apply;

  batch->records++;
  pthread_mutex_lock (&s->store->lock);
  next = store_next_offset (s->store, s->index);
  if (s->store->stopping)
    batch->gap = true;
  if (next == 0 && s->replay_time_ms == 0)
    s->replay_time_ms = record->time_ms;
  pthread_mutex_unlock (&s->store->lock);
  if (record->offset > next && !s->scanning)
    batch->gap = true;
  if (batch->gap)
    return;
  apply = apply_record (s, record);
  log_invalid_record (s, record, apply);
  if (apply == MD_APPLY_SNAPSHOT)
    update_replay_offset (s, record);
}

/* ------------------------------------------------------------------ */
/* Snapshots                                                           */

/* Called with lock held. */
static bool
snapshot_due (const StoreStream *s)
{
  MdStore *store = s->store;
  uint64_t next = store_next_offset (store, s->index);
  int64_t half_ms = store->tuning.log_retention / MD_MS / 2;

  if (!store->is_entry || s->scanning || next == 0)
    return false;
  if (next - s->replay_offset >= store->tuning.snapshot_records)
    return true;
  if (s->replay_time_ms > 0 && md_wall_ms () - s->replay_time_ms > half_ms)
    return true;
  /* The log has started to expire records: the retained range shows its retention. */
  return s->oldest_offset > 0 && next - s->replay_offset > 1
         && s->replay_offset < s->oldest_offset + (next - s->oldest_offset) / 2;
}

static void
write_snapshot (StoreStream *s)
{
  MdStore *store = s->store;
  MdError error = { 0 };
  md_autofree char *text = NULL;
  size_t len;
  uint64_t next;
  uint64_t offset = 0;
  int rc;

  if (store_snapshot (store, s->index, &text, &len, &next) != MD_OK)
    return;
  rc = md_log_append (md_str (store->address), s->name, md_str_n (text, len),
                      SNAPSHOT_APPEND_TIMEOUT, &offset, &error);
  /* A second append would be harmless, but is left to the next time a snapshot is due:
     the reader thread will show whether the record is in the log. */
  md_log (rc == MD_OK ? MD_LOG_INFO : MD_LOG_WARN, "snapshot",
          "stream=%.*s next=%llu offset=%llu bytes=%zu result=%d", (int)s->name.len, s->name.data,
          (unsigned long long)next, (unsigned long long)offset, len, rc);
}

/* While the log has no usable snapshot no entry can start. The delay is then kept
   short and only avoids that several entries write at once. Called with lock held. */
static MdTime
snapshot_delay (const StoreStream *s)
{
  MdTime longest
      = s->replay_offset < s->oldest_offset ? SNAPSHOT_DELAY_MAX_URGENT : SNAPSHOT_DELAY_MAX;

  return (MdTime)(md_random () % (uint64_t)longest);
}

static void
snapshot_if_due (StoreStream *s)
{
  MdTime now = md_now ();
  bool write = false;

  pthread_mutex_lock (&s->store->lock);
  if (!snapshot_due (s))
    s->snapshot_at = 0;
  else if (s->snapshot_at == 0)
    s->snapshot_at = now + snapshot_delay (s);
  else if (now >= s->snapshot_at)
    write = true;
  if (write)
    s->snapshot_at = now + SNAPSHOT_APPEND_TIMEOUT + snapshot_delay (s);
  pthread_mutex_unlock (&s->store->lock);
  if (write)
    write_snapshot (s);
}

/* ------------------------------------------------------------------ */
/* Reading                                                             */

/* Returns the offset to read from. Scanning ends when the next offset is available in
   the log, after a snapshot was loaded. */
static uint64_t
read_position (StoreStream *s)
{
  uint64_t next;

  pthread_mutex_lock (&s->store->lock);
  next = store_next_offset (s->store, s->index);
  if (s->scanning && next >= s->oldest_offset)
    s->scanning = false;
  pthread_mutex_unlock (&s->store->lock);
  return s->scanning ? s->scan_offset : next;
}

static void
start_scan (StoreStream *s, uint64_t first)
{
  pthread_mutex_lock (&s->store->lock);
  md_log (MD_LOG_WARN, "records-expired", "stream=%.*s next=%llu first=%llu", (int)s->name.len,
          s->name.data, (unsigned long long)store_next_offset (s->store, s->index),
          (unsigned long long)first);
  s->oldest_offset = first;
  s->scanning = true;
  s->scan_offset = first;
  pthread_mutex_unlock (&s->store->lock);
}

static int
stale_response_error (const StoreStream *s, uint64_t from, uint64_t next, MdError *error)
{
  return md_error_set (error, MD_E_IO, "log-read", s->store->address,
                       "the log ends at %llu, before offset %llu, which has been read",
                       (unsigned long long)next, (unsigned long long)from);
}

static void
finish_batch (StoreStream *s, const Batch *batch, uint64_t first, uint64_t next)
{
  MdStore *store = s->store;
  bool at_end = batch->records < READ_RECORDS_MAX;
  bool publish;

  pthread_mutex_lock (&store->lock);
  s->oldest_offset = first;
  if (s->scanning)
    s->scan_offset = next;
  else if (at_end)
    s->caught_up_at = md_now ();
  if (s->index == STREAM_CONFIG && at_end && !s->scanning)
    store->ready = true;
  publish = s->index == STREAM_CONFIG && store->ready;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  if (publish)
    store_publish (store);
}

static bool
stopping (MdStore *store)
{
  bool stop;

  pthread_mutex_lock (&store->lock);
  stop = store->stopping;
  pthread_mutex_unlock (&store->lock);
  return stop;
}

static int
read_batch (StoreStream *s, MdError *error)
{
  MdStore *store = s->store;
  Batch batch = { .stream = s };
  uint64_t from = read_position (s);
  bool immediate = s->failures > 0 || (s->caught_up_at == 0 && !s->scanning);
  uint64_t first = 0;
  uint64_t next = 0;
  int rc;

  /* Reads return without a wait after a failure, to detect that the log is available
     again, and until the end has been reached, to become ready without delay. */
  rc = md_log_read (md_str (store->address), s->name, from, READ_RECORDS_MAX,
                    immediate ? 0 : s->poll_wait, on_record, &batch, &first, &next, error);
  if (rc == MD_E_TOO_OLD)
    {
      start_scan (s, first);
      return MD_OK;
    }
  if (rc != MD_OK)
    return rc;
  if (next < from)
    return stale_response_error (s, from, next, error);
  if (batch.gap && !stopping (store))
    return md_error_set (error, MD_E_IO, "log-read", store->address, "an offset is missing");
  finish_batch (s, &batch, first, next);
  return MD_OK;
}

static MdTime
backoff_delay (const StoreStream *s)
{
  const MdTuning *t = &s->store->tuning;
  unsigned doublings = s->failures < 16 ? s->failures : 16;
  MdTime longest = t->reconnect_min << doublings;

  if (longest > t->reconnect_max)
    longest = t->reconnect_max;
  if (s->store->is_entry && longest > BACKOFF_MAX_ENTRY)
    longest = BACKOFF_MAX_ENTRY;
  return (MdTime)(md_random () % (uint64_t)(longest + 1));
}

static void
wait_backoff (StoreStream *s, const MdError *error)
{
  MdStore *store = s->store;
  MdTime until = md_now () + backoff_delay (s);

  if (s->failures == 0)
    md_log (MD_LOG_WARN, "log-unreadable", "stream=%.*s step=%s peer=%s reason=\"%s\"",
            (int)s->name.len, s->name.data, error->step, error->peer, error->detail);
  s->failures++;
  pthread_mutex_lock (&store->lock);
  while (!store->stopping && !s->skip_backoff
         && md_cond_wait_until (&store->changed, &store->lock, until))
    ;
  s->skip_backoff = false;
  pthread_mutex_unlock (&store->lock);
}

static void
reset_failures (StoreStream *s)
{
  if (s->failures > 0)
    md_log (MD_LOG_INFO, "log-readable", "stream=%.*s failures=%u", (int)s->name.len, s->name.data,
            s->failures);
  s->failures = 0;
}

static void *
reader_main (void *data)
{
  StoreStream *s = data;
  MdStore *store = s->store;

  while (!stopping (store))
    {
      MdError error = { 0 };

      if (read_batch (s, &error) != MD_OK)
        {
          wait_backoff (s, &error);
          continue;
        }
      reset_failures (s);
      snapshot_if_due (s);
    }
  store_unref (store);
  return NULL;
}

int
store_reader_start (StoreStream *stream)
{
  pthread_t thread;
  int rc = md_thread_create (&thread, NULL, reader_main, stream);

  if (rc == 0)
    pthread_detach (thread);
  return rc;
}
