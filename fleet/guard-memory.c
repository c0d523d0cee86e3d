/* guard-memory.c -- what a guard knows of its worker, kept in the platform's store

   A guard that starts anew waits up to a heartbeat for its worker's report, and knows
   nothing of its speed. After a power loss that is the time in which most jobs are
   rejected. The record of the former process is taken over when the worker's list of
   runs shows the same birth; the worker's own report, when it comes, goes first. Losing
   the record costs that wait and nothing else. */

#include "run-guard.h"

#include <math.h>

#define WRITE_INTERVAL (5 * MD_SECOND) /* shortest between records of the speed alone */
#define WRITE_RETRY (1 * MD_SECOND)    /* after a failure */
#define WRITE_TIMEOUT (1500 * MD_MS)   /* the store may be slow */
#define SPEED_CHANGE 0.15              /* of the logarithm, worth a record */

static void
on_record (void *user, const MdKeyedRecord *record)
{
  MdRunGuard *guard = user;
  MdError error = { 0 };
  MdWorkerRecord memory;

  if (guard->worker_record.superseded
      || !md_str_equal (record->key, md_str (guard->daemon.settings.name)))
    return;
  if (md_platform_parse_worker_record (record->value, &memory, &error) != MD_OK)
    {
      md_log (MD_LOG_WARN, "record-ignored", "topic=%s reason=\"%s\"", MD_TOPIC_WORKERS,
              error.detail);
      return;
    }
  guard->worker_record.previous = memory;
  guard->worker_record.has_previous = true;
}

/* The record speaks of the lifetime that answered the last hold. */
static void
adopt (MdRunGuard *guard)
{
  const MdWorkerRecord *found = &guard->worker_record.previous;
  MdWorkerEvent event = { .report = found->report };

  if (!guard->worker_record.has_previous || guard->worker.has_report
      || guard->worker.report.born_ms < 0 || found->report.born_ms != guard->worker.report.born_ms)
    return;
  md_log (MD_LOG_INFO, "worker-remembered", "worker=%s born_ms=%lld log_speed=%.2f samples=%u",
          found->id, (long long)found->report.born_ms, found->log_speed, found->samples);
  md_str_copy (event.id, sizeof event.id, md_str (found->id));
  /* The worker keeps its place among the clean: only its name was not known. */
  md_str_copy (guard->worker.id, sizeof guard->worker.id, md_str (found->id));
  md_guard_worker_event (guard, &event);
  guard->queue.speed.log_speed = found->log_speed;
  guard->queue.speed.samples = found->samples;
  guard->queue.speed_updated_at = guard->now;
}

static void
on_written (void *user, const MdHttpAsyncResponse *answer)
{
  MdRunGuard *guard = user;

  guard->worker_record.write_in_progress = false;
  if (answer->status == 200)
    return;
  guard->worker_record.write_due = md_now () + WRITE_RETRY;
  guard->worker_record.write_failed = true;
  md_log (MD_LOG_WARN, "memory-not-written", "status=%d reason=\"%s\"", answer->status,
          answer->error.detail);
}

static bool
is_worth_writing (MdRunGuard *guard)
{
  const MdGuardWorker *worker = &guard->worker;

  if (!worker->has_report || guard->worker_record.write_in_progress
      || guard->now < guard->worker_record.write_due)
    return false;
  if (guard->worker_record.write_failed || strcmp (worker->id, guard->worker_record.written.id) != 0
      || worker->report.born_ms != guard->worker_record.written.report.born_ms
      || worker->report.state != guard->worker_record.written.report.state)
    return true;
  return fabs (guard->queue.speed.log_speed - guard->worker_record.written.log_speed)
         > SPEED_CHANGE;
}

static void
write_record (MdRunGuard *guard)
{
  MdWorkerRecord *memory = &guard->worker_record.written;
  MD_AUTO_CALL call = { 0 };
  MD_AUTO_BUF value = { 0 };

  md_str_copy (memory->id, sizeof memory->id, md_str (guard->worker.id));
  memory->report = guard->worker.report;
  memory->log_speed = guard->queue.speed.log_speed;
  memory->samples = guard->queue.speed.samples;
  md_platform_write_worker_record (&value, memory);
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
                             MD_TOPIC_WORKERS, 0, on_record, guard);
  return guard->worker_record.reader != NULL ? MD_OK : MD_E_MEMORY;
}

void
md_guard_worker_record_clear (MdRunGuard *guard)
{
  md_keyed_reader_free (guard->worker_record.reader);
}

MdTime
md_guard_worker_record_poll (MdRunGuard *guard)
{
  MdTime due = INT64_MAX;

  if (guard->worker.has_report)
    guard->worker_record.superseded = true;
  if (!guard->worker_record.superseded)
    adopt (guard);
  if (!guard->worker_record.superseded && !md_keyed_reader_loaded (guard->worker_record.reader))
    due = md_keyed_reader_poll (guard->worker_record.reader, guard->now);
  if (is_worth_writing (guard))
    write_record (guard);
  return due;
}
