/* test-coverage.c -- which guards report each change of their load to which entries */

#include "fixture.h"
#include "run-sched.h"
#include "suite.h"

#include <stdio.h>

#define ENTRIES 55
#define GUARDS 240
#define COUNT MD_FULL_REPORTS
#define NAME_BYTES 40

static bool chosen[GUARDS][ENTRIES];

/* Has each guard choose among the first n entries; skipped is left out, -1 none. */
static void
choose_all (uint32_t n, int skipped)
{
  for (uint32_t g = 0; g < GUARDS; g++)
    {
      uint64_t weights[ENTRIES];
      bool some[ENTRIES];
      uint32_t m = 0;
      char guard[NAME_BYTES];

      snprintf (guard, sizeof guard, "side-lusitania-%c-%u", 'a' + (int)(g % 6), g / 6 + 1);
      for (uint32_t e = 0; e < n; e++)
        {
          char entry[NAME_BYTES];

          snprintf (entry, sizeof entry, "edge-lusitania-%c-%u", 'a' + (int)(e % 6), e / 6 + 1);
          if ((int)e != skipped)
            weights[m++] = md_coverage_weight (md_str (guard), md_str (entry));
        }
      md_coverage_choose (weights, m, COUNT, some);
      m = 0;
      for (uint32_t e = 0; e < n; e++)
        chosen[g][e] = (int)e != skipped && some[m++];
    }
}

static uint32_t
entries_of (uint32_t guard)
{
  uint32_t n = 0;

  for (uint32_t e = 0; e < ENTRIES; e++)
    n += chosen[guard][e];
  return n;
}

/* Guards against a guard that is idle while others queue, because few entries place runs on it,
   and against an entry with full reports from too few guards for its jobs. */
START_TEST (coverage_is_even)
{
  choose_all (ENTRIES, -1);
  for (uint32_t g = 0; g < GUARDS; g++)
    ck_assert_uint_eq (entries_of (g), COUNT);
  for (uint32_t e = 0; e < ENTRIES; e++)
    {
      uint32_t n = 0;

      for (uint32_t g = 0; g < GUARDS; g++)
        n += chosen[g][e];
      /* An entry has 15 runs at a time, a worker room for 4 of them. */
      ck_assert_uint_ge (n, 16);
    }
}
END_TEST

/* Guards against reports that start and end everywhere when a single entry is replaced. */
START_TEST (loss_of_an_entry_moves_its_share)
{
  static bool before[GUARDS][ENTRIES];
  uint32_t moved = 0;
  uint32_t had = 0;

  choose_all (ENTRIES, -1);
  memcpy (before, chosen, sizeof before);
  choose_all (ENTRIES, 7);
  for (uint32_t g = 0; g < GUARDS; g++)
    {
      had += before[g][7];
      ck_assert_uint_eq (entries_of (g), COUNT);
      for (uint32_t e = 0; e < ENTRIES; e++)
        moved += e != 7 && chosen[g][e] != before[g][e];
    }
  ck_assert_uint_eq (moved, had);
}
END_TEST

/* Guards against a change for deployments whose entries all fit. */
START_TEST (few_entries_are_all_chosen)
{
  choose_all (COUNT, -1);
  for (uint32_t g = 0; g < GUARDS; g++)
    ck_assert_uint_eq (entries_of (g), COUNT);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Entry                                                              */

#define WORKERS 4

static MdWorker worker[WORKERS];
static MdWorker *pointers[WORKERS] = { &worker[0], &worker[1], &worker[2], &worker[3] };
static MdWorkers workers = { pointers, WORKERS, 2.0 };
static MdTaskRequirements need;

static void
setup (void)
{
  char rack[16];

  memset (worker, 0, sizeof worker);
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      worker[i].state = MD_WORKER_READY;
      worker[i].connected = true;
      worker[i].speed = 1;
      worker[i].bias = i * MD_MS;
      worker[i].capacity = worker[i].free = (MdResources){ 64000, 1024, 0 };
      snprintf (rack, sizeof rack, "r%u", i);
      worker[i].traits = test_traits ("", "", rack);
    }
  need = (MdTaskRequirements){
    .resources = { 1000, 64, 0 }, .work = 100.0 * MD_MS, .goal = MD_SECOND, .limit = 3 * MD_SECOND
  };
}

/* Guards against a run that waits at a busy worker, or whose lease has expired when it arrives:
   a sparse report is up to a second old. */
START_TEST (sparse_worker_gets_no_run)
{
  worker[0].sparse = true;
  worker[1].free.cpu = 0;
  worker[1].wait = 50 * MD_MS;
  worker[2].sparse = worker[3].sparse = true;
  ck_assert_ptr_eq (md_place (&workers, &need, NULL, NULL, 0).worker, &worker[1]);
  ck_assert_int_eq (md_place_backlog (&workers, &need, 0), 50 * MD_MS);
  worker[1].sparse = true;
  ck_assert_ptr_null (md_place (&workers, &need, NULL, NULL, 0).worker);
  ck_assert (md_place_possible (&workers, &need, 1));
}
END_TEST

/* Guards against tasks that run away from their data while guards on its rack go unasked, against
   a guard that is asked again before it could answer, and against one that cannot help. */
START_TEST (widening_asks_useful_guards_once)
{
  worker[0].sparse = worker[1].sparse = worker[3].sparse = true;
  worker[1].state = MD_WORKER_DRAINING;
  need.affinity = MD_STR ("r3");
  ck_assert_ptr_eq (md_coverage_widen (&workers, &need, false), &worker[3]);
  worker[3].follow_requested = true;
  ck_assert_ptr_null (md_coverage_widen (&workers, &need, true));
  ck_assert_ptr_eq (md_coverage_widen (&workers, &need, false), &worker[0]);
  worker[0].follow_requested = true;
  ck_assert_ptr_null (md_coverage_widen (&workers, &need, false));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("coverage");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, coverage_is_even);
  tcase_add_test (tc, loss_of_an_entry_moves_its_share);
  tcase_add_test (tc, few_entries_are_all_chosen);
  tcase_add_test (tc, sparse_worker_gets_no_run);
  tcase_add_test (tc, widening_asks_useful_guards_once);
  return run_suite ("coverage", tc);
}
