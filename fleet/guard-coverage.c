/* guard-coverage.c -- which entries receive a report of each change; see sched/coverage.c */

#include "run-guard.h"

void
md_guard_choose_entries (MdRunGuard *guard)
{
  uint64_t weights[MD_MAX_ENTRIES] = { 0 };
  MdGuardPeer *peers[MD_MAX_ENTRIES];
  bool chosen[MD_MAX_ENTRIES];
  uint32_t full = 0;
  uint32_t n = 0;
  bool changed = false;

  for (MdGuardPeer *peer = guard->peers; peer != NULL && n < MD_MAX_ENTRIES; peer = peer->next)
    if (peer->connected && peer->incarnation != 0)
      {
        weights[n] = md_coverage_weight (md_str (guard->daemon.settings.name), md_str (peer->name));
        peers[n++] = peer;
      }
  md_coverage_choose (weights, n, guard->daemon.settings.full_reports, chosen);
  for (uint32_t i = 0; i < n; i++)
    {
      changed |= peers[i]->chosen != chosen[i];
      peers[i]->chosen = chosen[i];
      full += chosen[i];
    }
  if (changed)
    md_log (MD_LOG_INFO, "report-coverage", "entries=%u full=%u", n, full);
}
