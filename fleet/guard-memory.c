/* guard-memory.c -- the guard's record of its worker in the platform's store

   A new guard process would wait up to a heartbeat for a report of its worker, and would know
   nothing of the worker's speed. After a power failure, most rejected jobs are rejected in that
   time. The process therefore restores the worker's description and learned speed from the
   record of the previous process, provided that the worker's response to a hold states the same
   time of birth. A report of the worker itself takes precedence. Without the record the guard
   waits for the report; nothing else is lost. */

#include "run-guard.h"

#include <math.h>

#define WRITE_INTERVAL (5 * MD_SECOND)    /* shortest between two writes of the speed */
#define WRITE_RETRY_DELAY (1 * MD_SECOND) /* after a failed write */
#define WRITE_TIMEOUT (1500 * MD_MS)      /* the store may be slow */
#define MIN_LOG_SPEED_CHANGE 0.15         /* of the natural logarithm; less is not written */

static void
on_worker_record (void *user, const MdKeyedRecord *record)
{
  MdRunGuard *guard = user;
  MdError error = { 0 };
  MdWorkerRecord parsed;

  if (guard->worker_record.superseded
      || !md_str_equal (record->key, md_str (guard->daemon.settings.name)))
    return;
  if (md_platform_parse_worker_record (record->value, &parsed, &error) != MD_OK)
    {
      md_log (MD_LOG_WARN, "record-ignored", "topic=%s reason=\"%s\"", MD_TOPIC_WORKERS,
              error.detail);
      return;
    }
  md_worker_report_clear (&guard->worker_record.previous.report);
  guard->worker_record.previous = parsed;
  guard->worker_record.has_previous = true;
}

/* Restores the worker's state from the previous record, if that describes the lifetime that
   answered the last hold. */
static void
restore_worker (MdRunGuard *guard)
{
  const MdWorkerRecord *previous = &guard->worker_record.previous;
  MdWorkerEvent event = { .report = previous->report };

  if (!guard->worker_record.has_previous || guard->worker.has_report
      || guard->worker.report.born_ms < 0
      || previous->report.born_ms != guard->worker.report.born_ms)
    return;
  md_log (MD_LOG_INFO, "worker-remembered", "worker=%s born_ms=%lld log_speed=%.2f samples=%u",
          md_traits_name (previous->report.traits).data, (long long)previous->report.born_ms,
          previous->log_speed, previous->samples);
  md_guard_worker_event (guard, &event);
  guard->queue.speed.log_speed = previous->log_speed;
  guard->queue.speed.samples = previous->samples;
  guard->queue.speed_updated_at = guard->now;
}

static void
on_written (void *user, const MdHttpAsyncResponse *response)
{
  MdRunGuard *guard = user;

  guard->worker_record.write_in_progress = false;
  if (response->status == 200)
    return;
  guard->worker_record.write_due = md_now () + WRITE_RETRY_DELAY;
  guard->worker_record.write_failed = true;
  md_log (MD_LOG_WARN, "memory-not-written", "status=%d reason=\"%s\"", response->status,
          response->error.detail);
}

/* Whether the record is of another lifetime, state or capacity than the worker has. */
static bool
is_outdated (const MdWorkerRecord *written, const MdGuardWorker *worker)
{
  const MdResources *capacity = &worker->report.capacity;

  return !md_str_equal (md_traits_name (worker->report.traits),
                        md_traits_name (written->report.traits))
         || worker->report.born_ms != written->report.born_ms
         || worker->report.state != written->report.state
         || memcmp (capacity, &written->report.capacity, sizeof *capacity) != 0;
}

/* Whether a write is possible and due. A change of the lifetime, the state or the capacity is
   written at once: a guard that is restarted must not use a worker that was leaving, nor start more
   than fits on one that has shrunk. */
static bool
should_write (MdRunGuard *guard)
{
  const MdGuardWorker *worker = &guard->worker;
  const MdWorkerRecord *written = &guard->worker_record.written;

  if (!worker->has_report || guard->worker_record.write_in_progress)
    return false;
  if (!guard->worker_record.write_failed && is_outdated (written, worker))
    return true;
  if (guard->now < guard->worker_record.write_due)
    return false;
  return guard->worker_record.write_failed
         || fabs (guard->queue.speed.log_speed - written->log_speed) > MIN_LOG_SPEED_CHANGE;
}

static void
write_record (MdRunGuard *guard)
{
  MdWorkerRecord *record = &guard->worker_record.written;
  MD_AUTO_CALL call = { 0 };
  MD_AUTO_BUF value = { 0 };

  md_worker_report_copy (&record->report, &guard->worker.report);
  record->log_speed = guard->queue.speed.log_speed;
  record->samples = guard->queue.speed.samples;
  md_platform_write_worker_record (&value, record);
  md_platform_put (&call, MD_TOPIC_WORKERS, md_str (guard->daemon.settings.name),
                   md_buf_str (&value));
  md_count (MD_M_LOG_APPENDS, 1);
  guard->worker_record.write_in_progress
      = md_daemon_call (guard->daemon.store, guard->daemon.settings.store_address, &call,
                        WRITE_TIMEOUT, on_written, guard)
        == MD_OK;
  guard->worker_record.write_failed = !guard->worker_record.write_in_progress;
  guard->worker_record.write_due = guard->now + WRITE_INTERVAL;
}

int
md_guard_worker_record_init (MdRunGuard *guard)
{
  guard->worker_record.reader
      = md_keyed_reader_new (guard->daemon.store, guard->daemon.settings.store_address,
                             MD_TOPIC_WORKERS, 0, on_worker_record, guard);
  return guard->worker_record.reader != NULL ? MD_OK : MD_E_MEMORY;
}

MdTime
md_guard_worker_record_poll (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;

  if (guard->worker.has_report)
    guard->worker_record.superseded = true;
  if (!guard->worker_record.superseded)
    restore_worker (guard);
  if (!guard->worker_record.superseded && !md_keyed_reader_loaded (guard->worker_record.reader))
    due = md_keyed_reader_poll (guard->worker_record.reader, guard->now);
  if (should_write (guard))
    write_record (guard);
  return due;
}
