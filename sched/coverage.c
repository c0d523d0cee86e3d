/* coverage.c -- which guards report each change of their load to which entries

   Load pattern: 55 entries and 240 guards, each of which starts 19 runs a second. If every guard
   reports every change to every entry, an entry reads 4,000 reports a second and places 80 runs,
   and the smallest entries spend half of their processor time on reports.

   Each guard therefore reports changes to a few entries only, and once a second to the others
   (sparse reports). An entry places runs by full reports alone. With 7 of 55 entries for each
   guard, an entry has full reports from about 30 guards, several times the capacity that its own
   jobs use, and fewer entries send to the same free worker between two reports.

   The choice is by rendezvous hashing (D. Thaler, C. Ravishankar, "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998) and made by the guard, so
   that every guard serves the same number of entries: none is idle while others queue, and when
   an entry comes or goes, each guard replaces at most one.

   An entry whose jobs need more, because its guards are busy or lack a label or a rack, asks
   further guards for full reports for a while. */

#include "run-sched.h"

#include <xxhash.h>

uint64_t
md_coverage_weight (MdStr guard, MdStr entry)
{
  return XXH64 (entry.data, entry.len, XXH64 (guard.data, guard.len, 0));
}

void
md_coverage_choose (const uint64_t *weights, uint32_t n, uint32_t count, bool *chosen)
{
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t heavier = 0;

      for (uint32_t k = 0; k < n; k++)
        heavier += weights[k] > weights[i];
      chosen[i] = heavier < count;
    }
}

/* Whether full reports of a are more useful to the task than those of b: the rack of its data
   comes first, then the order that differs between entries. */
static bool
is_more_useful (const MdWorker *a, const MdWorker *b, const MdTaskRequirements *need)
{
  bool local = md_traits_have (a->traits, need->affinity);

  if (need->affinity.len > 0 && local != md_traits_have (b->traits, need->affinity))
    return local;
  return a->bias < b->bias;
}

static bool
is_candidate (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t i, bool rack_only)
{
  const MdWorker *worker = workers->workers[i];

  return worker->sparse && !worker->follow_requested && md_worker_can_run (worker, need)
         && (need->excluded == NULL || !need->excluded[i])
         && (!rack_only || md_traits_have (worker->traits, need->affinity));
}

MdWorker *
md_coverage_widen (const MdWorkers *workers, const MdTaskRequirements *need, bool rack_only)
{
  MdWorker *best = NULL;

  for (uint32_t i = 0; i < workers->n; i++)
    if (is_candidate (workers, need, i, rack_only)
        && (best == NULL || is_more_useful (workers->workers[i], best, need)))
      best = workers->workers[i];
  return best;
}
