/* guard-evacuation.c -- whether a guard accepts runs, and evacuations of its failure domain

   Entries tell whether the guard's failure domain is evacuated, and as of which place in the
   operator's log, with each welcome and each message of orders. The newest place counts, so that an
   entry that is late cannot put the domain back into use. A domain that is put back gets runs
   gradually (sched/warmup.c): the guard withholds a part of the worker, so that entries of all
   builds see the smaller one, and two of them cannot each fill it. */

#include "run-guard.h"

static bool
is_ready (const MdRunGuard *guard)
{
  const MdGuardWorker *worker = &guard->worker;

  return worker->has_report && worker->clean && worker->reachable && worker->clock_known
         && worker->report.state == MD_WORKER_READY && !guard->leaving;
}

bool
md_guard_accepts_runs (const MdRunGuard *guard)
{
  return is_ready (guard) && !guard->evacuation.evacuated;
}

MdWorkerState
md_guard_reported_state (const MdRunGuard *guard)
{
  if (md_guard_accepts_runs (guard))
    return MD_WORKER_READY;
  return is_ready (guard) || guard->worker.report.state == MD_WORKER_DRAINING ? MD_WORKER_DRAINING
                                                                              : MD_WORKER_ABSENT;
}

static void
begin_warmup (MdRunGuard *guard)
{
  MdTime cold = guard->worker.cold_until - guard->now;

  guard->warmup_due = false;
  md_warmup_begin (&guard->warmup, guard->now);
  md_guard_warmup_poll (guard);
  md_log (MD_LOG_INFO, "warmup", "worker=%s cold_ms=%lld length_ms=%lld free_cpu=%u cpu=%u",
          md_guard_worker_name (&guard->worker), (long long)(cold > 0 ? cold / MD_MS : 0),
          (long long)((guard->queue.withheld_until - guard->now) / MD_MS), guard->queue.free.cpu,
          guard->queue.capacity.cpu);
}

void
md_guard_update_accepting (MdRunGuard *guard)
{
  bool accepting = md_guard_accepts_runs (guard);

  if (accepting == guard->queue.accepting)
    return;
  guard->queue.accepting = accepting;
  guard->state_version++;
  if (!accepting)
    md_guard_reject_waiting (guard);
  else if (guard->warmup_due)
    begin_warmup (guard);
}

/* What runs do not get of the processor time at this step. One run of the usual size always fits. */
static uint32_t
withheld_cpu (const MdRunQueue *queue, uint32_t steps)
{
  uint32_t withheld = queue->capacity.cpu / MD_WARMUP_STEPS * (MD_WARMUP_STEPS - steps);
  uint32_t most = md_saturating_sub (queue->capacity.cpu, queue->typical_cpu);

  return withheld < most ? withheld : most;
}

MdTime
md_guard_warmup_poll (MdRunGuard *guard)
{
  MdTime cold_until = guard->worker.cold_until;
  uint32_t steps;
  uint32_t withheld;

  if (!guard->warmup.active)
    return INT64_MAX;
  steps = md_warmup_advance (&guard->warmup, cold_until, guard->now);
  withheld = withheld_cpu (&guard->queue, steps);
  if (withheld != guard->queue.withheld)
    {
      md_runqueue_withhold (&guard->queue, withheld,
                            guard->now
                                + md_warmup_due (&guard->warmup, cold_until, MD_WARMUP_STEPS));
      guard->state_version++;
    }
  if (!guard->warmup.active)
    {
      md_log (MD_LOG_INFO, "warmup-ended", "worker=%s", md_guard_worker_name (&guard->worker));
      return INT64_MAX;
    }
  return guard->now + md_warmup_due (&guard->warmup, cold_until, steps + 1);
}

void
md_guard_hear_evacuation (MdRunGuard *guard, const MdGuardPeer *peer, bool evacuated,
                          uint64_t version)
{
  uint64_t former = guard->evacuation.version;
  unsigned waiting = guard->queue.waiting.n;

  if (!md_evacuation_adopt (&guard->evacuation, evacuated, version))
    return;
  guard->warmup_due |= evacuated;
  md_guard_update_accepting (guard);
  guard->state_version++;
  md_gauge (MD_M_EVACUATED, evacuated);
  md_log (MD_LOG_INFO, "evacuation",
          "state=%s version=%llu former_version=%llu entry=%s domain=%s rejected=%u runs=%u",
          evacuated ? "evacuated" : "in-use", (unsigned long long)version,
          (unsigned long long)former, peer->name, guard->daemon.settings.failure_domain,
          waiting - guard->queue.waiting.n, guard->queue.running.n);
}
