/* test-advice.c -- which workers an advisory service is asked about

   Load pattern: jobs of a queue whose policy allows some of the workers; a call takes
   longer with each worker named, and calls are handled one at a time. */

#include "advice.h"
#include "fixture.h"
#include "suite.h"

#include <stdio.h>

#define N 40

typedef struct
{
  MdWorker worker[N];
  MdWorker *list[N];
  MdWorkers all;
  bool excluded[N];
  MdWorker *chosen[MD_ADVICE_MAX_WORKERS];
  MdAdvice advice;
  MdTaskRequirements need;
} Fleet;

static void
fleet_init (Fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  for (unsigned i = 0; i < N; i++)
    {
      MdWorker *worker = &fleet->worker[i];

      worker->state = MD_WORKER_READY;
      worker->connected = true;
      worker->lifetime = 100 + i;
      worker->capacity = worker->free = (MdResources){ 16000, 32768, 0 };
      worker->speed = 2.0 - i * 0.01; /* the first are the fastest */
      worker->traits = test_traits ("calc", NULL, NULL);
      fleet->list[i] = worker;
    }
  fleet->all = (MdWorkers){ .workers = fleet->list, .n = N, .remote_factor = 1.5 };
  fleet->need = (MdTaskRequirements){ .pool = MD_STR ("calc"),
                                      .resources = { 1600, 64, 0 },
                                      .work = 200.0 * MD_MS,
                                      .goal = 500 * MD_MS,
                                      .limit = 1500 * MD_MS };
}

static uint32_t
choose (Fleet *fleet, uint32_t wanted, MdTime now)
{
  return md_advice_choose (&fleet->advice, &fleet->all, &fleet->need, wanted, fleet->excluded,
                           fleet->chosen, now);
}

static uint32_t
usable (Fleet *fleet, MdTime now)
{
  return md_advice_exclude (&fleet->advice, &fleet->all, &fleet->need, fleet->excluded, now);
}

/* Guards against calls that name every worker, or so few that a second is needed. */
START_TEST (call_names_as_many_as_are_likely_needed)
{
  ck_assert_uint_eq (md_advice_call_size (4, 0.5), 8);
  ck_assert_uint_eq (md_advice_call_size (4, 1.0), 4);
  ck_assert_uint_eq (md_advice_call_size (1, 1.0), 4);
  ck_assert_uint_eq (md_advice_call_size (8, 0.1), MD_ADVICE_MAX_WORKERS);
  ck_assert_uint_eq (md_advice_call_size (890, 0.0), MD_ADVICE_MAX_WORKERS);
}
END_TEST

START_TEST (fastest_workers_are_asked_about_first)
{
  Fleet fleet;

  fleet_init (&fleet);
  fleet.worker[1].state = MD_WORKER_DRAINING;
  fleet.worker[2].lifetime = 0; /* has not said who it is */
  ck_assert_uint_eq (choose (&fleet, 4, 0), 4);
  ck_assert_ptr_eq (fleet.chosen[0], &fleet.worker[0]);
  ck_assert_ptr_eq (fleet.chosen[1], &fleet.worker[3]);
  ck_assert_ptr_eq (fleet.chosen[3], &fleet.worker[5]);
}
END_TEST

/* Guards against a start that the worker must reject, and against asking twice. */
START_TEST (only_permitted_workers_are_used)
{
  Fleet fleet;
  MdPlacement placement;

  fleet_init (&fleet);
  ck_assert_uint_eq (usable (&fleet, 0), 0);
  for (unsigned i = 0; i < 4; i++)
    ck_assert_int_eq (md_advice_set (&fleet.advice, 100 + i, i == 3 ? MD_STR ("p3") : MD_STR (""),
                                     3 * MD_SECOND, 0),
                      MD_OK);
  ck_assert_uint_eq (usable (&fleet, 0), 1);
  fleet.need.excluded = fleet.excluded;
  placement = md_place (&fleet.all, &fleet.need, NULL, NULL, 0);
  ck_assert_ptr_eq (placement.worker, &fleet.worker[3]);
  ck_assert_str_eq (md_advice_permit (&fleet.advice, 103, 0), "p3");
  ck_assert_ptr_null (md_advice_permit (&fleet.advice, 102, 0));
  fleet.need.excluded = NULL;
  ck_assert_uint_eq (choose (&fleet, 4, 0), 4);
  for (unsigned i = 0; i < 4; i++)
    ck_assert_uint_ge (fleet.chosen[i]->lifetime, 104);
  md_advice_clear (&fleet.advice);
}
END_TEST

/* Guards against a run that waits at its guard until its permit has run out, and against
   a call about workers whose answer is known. */
START_TEST (permit_is_renewed_before_others_are_asked_about)
{
  Fleet fleet;

  fleet_init (&fleet);
  md_advice_set (&fleet.advice, 100, MD_STR (""), 3 * MD_SECOND, 0);
  md_advice_set (&fleet.advice, 110, MD_STR ("p"), 3 * MD_SECOND, 0);
  ck_assert_uint_eq (usable (&fleet, 2600 * MD_MS), 1);
  ck_assert_uint_eq (usable (&fleet, 2800 * MD_MS), 0);
  ck_assert_uint_eq (choose (&fleet, 8, 2800 * MD_MS), 1);
  ck_assert_ptr_eq (fleet.chosen[0], &fleet.worker[10]);
  md_advice_set (&fleet.advice, 110, MD_STR ("q"), 3 * MD_SECOND, 2800 * MD_MS);
  ck_assert_uint_eq (usable (&fleet, 2800 * MD_MS), 1);
  md_advice_expire (&fleet.advice, 110); /* not accepted by the worker */
  ck_assert_uint_eq (usable (&fleet, 2800 * MD_MS), 0);
  md_advice_clear (&fleet.advice);
}
END_TEST

/* Guards against calls without end about permits that are shorter than the margin. */
START_TEST (short_permit_can_be_used)
{
  Fleet fleet;

  fleet_init (&fleet);
  md_advice_set (&fleet.advice, 100, MD_STR ("p"), 100 * MD_MS, 0);
  ck_assert_uint_eq (usable (&fleet, 50 * MD_MS), 1);
  ck_assert_uint_eq (usable (&fleet, 90 * MD_MS), 0);
  md_advice_clear (&fleet.advice);
}
END_TEST

/* Guards against a new life of a worker that is started with the permit of the former. */
START_TEST (permit_ends_with_the_life_of_its_worker)
{
  Fleet fleet;

  fleet_init (&fleet);
  md_advice_set (&fleet.advice, 105, MD_STR ("p"), 3 * MD_SECOND, 0);
  ck_assert_uint_eq (usable (&fleet, 0), 1);
  fleet.worker[5].lifetime = 900;
  ck_assert_uint_eq (usable (&fleet, 0), 0);
  md_advice_clear (&fleet.advice);
}
END_TEST

/* Guards against a job that waits for its deadline although every worker is denied. */
START_TEST (denied_everywhere_is_known)
{
  Fleet fleet;
  unsigned calls = 0;
  uint32_t n;

  fleet_init (&fleet);
  while ((n = choose (&fleet, MD_ADVICE_MAX_WORKERS, 0)) > 0)
    {
      calls++;
      for (uint32_t i = 0; i < n; i++)
        md_advice_set (&fleet.advice, fleet.chosen[i]->lifetime, MD_STR (""), MD_SECOND, 0);
    }
  ck_assert_uint_eq (calls, 2);
  ck_assert_uint_eq (fleet.advice.n, N);
  md_advice_clear (&fleet.advice);
}
END_TEST

/* A policy that allows a quarter of the workers: calls grow until one holds enough of them,
   and no job needs two calls any more. */
START_TEST (share_is_learned)
{
  double share = 0.5;
  unsigned second_calls = 0;

  for (unsigned job = 0; job < 200; job++)
    {
      Fleet fleet;
      uint32_t allowed = 0;
      unsigned calls = 0;

      fleet_init (&fleet);
      while (allowed == 0)
        {
          uint32_t n = choose (&fleet, md_advice_call_size (2, share), 0);

          calls++;
          for (uint32_t i = 0; i < n; i++)
            {
              uint64_t lifetime = fleet.chosen[i]->lifetime;
              bool may = (lifetime * 7 + job * 13) % 4 == 0;

              allowed += may;
              md_advice_set (&fleet.advice, lifetime, may ? MD_STR ("p") : MD_STR (""), MD_SECOND,
                             0);
            }
          share = md_advice_update_share (share, n, allowed);
        }
      second_calls += calls > 1;
      md_advice_clear (&fleet.advice);
    }
  ck_assert_double_gt (share, 0.15);
  ck_assert_double_lt (share, 0.35);
  ck_assert_uint_le (second_calls, 4);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("advice");

  tcase_add_test (tc, call_names_as_many_as_are_likely_needed);
  tcase_add_test (tc, fastest_workers_are_asked_about_first);
  tcase_add_test (tc, only_permitted_workers_are_used);
  tcase_add_test (tc, permit_is_renewed_before_others_are_asked_about);
  tcase_add_test (tc, short_permit_can_be_used);
  tcase_add_test (tc, permit_ends_with_the_life_of_its_worker);
  tcase_add_test (tc, denied_everywhere_is_known);
  tcase_add_test (tc, share_is_learned);
  return run_suite ("advice", tc);
}
