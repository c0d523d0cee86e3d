/* guard-evacuation.c -- whether a guard accepts runs, and evacuations of its failure domain

   Entries tell whether the guard's failure domain is evacuated, and as of which place in the
   operator's log, with each welcome and each message of orders. The newest place counts, so that an
   entry that is late cannot put the domain back into use. */

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
}

void
md_guard_hear_evacuation (MdRunGuard *guard, const MdGuardPeer *peer, bool evacuated,
                          uint64_t version)
{
  uint64_t former = guard->evacuation.version;
  unsigned waiting = guard->queue.waiting.n;

  if (!md_evacuation_adopt (&guard->evacuation, evacuated, version))
    return;
  md_guard_update_accepting (guard);
  guard->state_version++;
  md_gauge (MD_M_EVACUATED, evacuated);
  md_log (MD_LOG_INFO, "evacuation",
          "state=%s version=%llu former_version=%llu entry=%s domain=%s rejected=%u runs=%u",
          evacuated ? "evacuated" : "in-use", (unsigned long long)version,
          (unsigned long long)former, peer->name, guard->daemon.settings.failure_domain,
          waiting - guard->queue.waiting.n, guard->queue.running.n);
}
