/* guard-lifetime.c -- lifetimes of the worker, and its reports

   A lifetime is one process of the worker. It is known by the birth that the worker states in its
   answers to holds. Reports describe the worker and say whether it is ready; they never end runs.
   One that does not fit the present lifetime is kept, and judged again when the worker has
   answered a hold that was sent after it arrived (sched/lifetime.c). */

#include "lifetime.h"
#include "run-guard.h"

/* ------------------------------------------------------------------ */
/* Reports                                                            */

static void
handle_deregistration (MdRunGuard *guard)
{
  md_log (MD_LOG_INFO, "worker-left", "worker=%s", md_guard_worker_name (&guard->worker));
  guard->worker.report.state = MD_WORKER_ABSENT;
  guard->state_version++;
  md_guard_update_accepting (guard);
}

static bool
is_same_description (const MdWorkerReport *a, const MdWorkerReport *b)
{
  return a->state == b->state && memcmp (&a->capacity, &b->capacity, sizeof a->capacity) == 0
         && md_traits_equal (a->traits, b->traits);
}

size_t
md_guard_count_labels (const MdGuardWorker *worker)
{
  return worker->report.traits != NULL ? worker->report.traits->n_labels : 0;
}

void
md_guard_describe_worker (const MdGuardWorker *worker, Md__WorkerInfo *info, char **labels)
{
  const MdWorkerReport *report = &worker->report;

  md__worker_info__init (info);
  info->id = (char *)md_guard_worker_name (worker);
  info->born_ms = report->born_ms;
  info->cpu = report->capacity.cpu;
  info->memory_mb = report->capacity.memory_mb;
  info->accelerators = report->capacity.accelerators;
  info->service = (char *)md_traits_pool (report->traits).data;
  info->n_labels = md_guard_count_labels (worker);
  for (size_t i = 0; i < info->n_labels; i++)
    labels[i] = (char *)report->traits->labels[i].data;
  info->labels = labels;
}

/* Adopts the capacity of a new or changed description and has it reported to all entries. */
static void
update_description (MdRunGuard *guard, const MdWorkerReport *report)
{
  md_runqueue_set_capacity (&guard->queue, report->capacity);
  for (MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    peer->worker_reported = false;
  guard->state_version++;
}

static void
follow_report (MdRunGuard *guard, const MdWorkerReport *report)
{
  MdGuardWorker *worker = &guard->worker;

  if (!worker->has_report || worker->report.state != report->state)
    md_log (MD_LOG_INFO, "worker-state",
            "worker=%s born_ms=%lld state=%d sequence=%llu cpu=%u memory_mb=%u",
            md_traits_name (report->traits).data, (long long)report->born_ms, (int)report->state,
            (unsigned long long)report->sequence, report->capacity.cpu, report->capacity.memory_mb);
  if (!worker->has_report || !is_same_description (&worker->report, report))
    update_description (guard, report);
  md_worker_report_copy (&worker->report, report);
  worker->cold_until = guard->now + report->cold;
  worker->has_report = true;
  md_guard_update_accepting (guard);
}

static MdReportVerdict
judge_report (const MdRunGuard *guard, const MdWorkerReport *report)
{
  const MdGuardWorker *worker = &guard->worker;
  MdLifetime present
      = { .id = md_traits_name (worker->report.traits),
          .born_ms = worker->report.born_ms,
          .pool = worker->has_report ? md_traits_pool (worker->report.traits) : MD_STR (""),
          .sequence = worker->report.sequence,
          .sent_ms = worker->report.clock_ms,
          .clock_ms = worker->clock_known ? (guard->now + worker->clock_offset) / MD_MS : -1 };
  MdReportOrigin origin = { .id = md_traits_name (report->traits),
                            .born_ms = report->born_ms,
                            .pool = md_traits_pool (report->traits),
                            .sequence = report->sequence,
                            .sent_ms = report->clock_ms };

  return md_lifetime_judge (&present, &origin);
}

static void
ignore_report (const MdRunGuard *guard, const MdWorkerReport *report)
{
  md_log (MD_LOG_WARN, "worker-report-ignored",
          "worker=%s born_ms=%lld sequence=%llu present=%s present_born_ms=%lld "
          "reason=\"not of the worker that answers the holds\"",
          md_traits_name (report->traits).data, (long long)report->born_ms,
          (unsigned long long)report->sequence, md_guard_worker_name (&guard->worker),
          (long long)guard->worker.report.born_ms);
  md_count (MD_M_REPORTS_IGNORED, 1);
}

void
md_guard_worker_event (MdRunGuard *guard, const MdWorkerEvent *event)
{
  MdGuardWorker *worker = &guard->worker;

  if (event->deregistered)
    {
      if (md_str_equal (md_traits_name (event->report.traits),
                        md_traits_name (worker->report.traits)))
        handle_deregistration (guard);
      return;
    }
  switch (judge_report (guard, &event->report))
    {
    case MD_REPORT_NEWEST:
      follow_report (guard, &event->report);
      break;
    case MD_REPORT_OLD:
      break;
    case MD_REPORT_UNPROVEN:
      worker->has_unproven = true;
      worker->unproven_at = guard->now;
      md_worker_report_copy (&worker->unproven, &event->report);
      if (!guard->hold_in_progress)
        guard->hold_due = guard->now;
      break;
    case MD_REPORT_FOREIGN:
      ignore_report (guard, &event->report);
      break;
    }
}

/* ------------------------------------------------------------------ */
/* Lifetimes                                                          */

void
md_guard_begin_lifetime (MdRunGuard *guard, int64_t born_ms)
{
  MdGuardWorker *worker = &guard->worker;

  md_log (guard->queue.running.n > 0 ? MD_LOG_WARN : MD_LOG_INFO, "worker-lifetime",
          "worker= born_ms=%lld former=%s former_born_ms=%lld runs=%u", (long long)born_ms,
          md_guard_worker_name (worker), (long long)worker->report.born_ms, guard->queue.running.n);
  md_worker_report_clear (&worker->report);
  worker->report = (MdWorkerReport){ .born_ms = born_ms, .clock_ms = -1 };
  worker->has_report = false;
  worker->clean = false;
  worker->clock_known = false;
  worker->acked_end = 0;
  guard->hold_due = guard->now;
  guard->state_version++;
  md_guard_update_accepting (guard);
}

void
md_guard_settle_report (MdRunGuard *guard)
{
  MdGuardWorker *worker = &guard->worker;
  MdReportVerdict verdict;

  if (!worker->has_unproven)
    return;
  verdict = judge_report (guard, &worker->unproven);
  /* The hold may have been answered before the report was sent. */
  if (verdict == MD_REPORT_UNPROVEN && guard->hold_sent < worker->unproven_at)
    return;
  worker->has_unproven = false;
  if (verdict == MD_REPORT_NEWEST)
    follow_report (guard, &worker->unproven);
  else if (verdict != MD_REPORT_OLD)
    ignore_report (guard, &worker->unproven);
}
