/* test-startup.c -- decisions on what waits for an entry that has just started */

#include "run-sched.h"
#include "startup.h"
#include "suite.h"

#define LONG_AGO MD_MAX_SPAN /* age of a process that has run for long */

/* Guards against requests that are answered 503 in the 50 ms before an entry has read its
   configuration, and against a wait beyond the one second, the time of the caller, or the first
   seconds. */
START_TEST (request_waits_for_the_first_configuration)
{
  ck_assert_int_eq (md_startup_config_wait (20 * MD_MS, 0, 0), MD_SECOND);
  ck_assert_int_eq (md_startup_config_wait (20 * MD_MS, 300 * MD_MS, 2 * MD_SECOND), 700 * MD_MS);
  ck_assert_int_eq (md_startup_config_wait (20 * MD_MS, 0, 300 * MD_MS), 292 * MD_MS);
  ck_assert_int_eq (md_startup_config_wait (20 * MD_MS, 400 * MD_MS, 300 * MD_MS), 0);
  ck_assert_int_eq (md_startup_config_wait (4900 * MD_MS, 0, 0), 100 * MD_MS);
  ck_assert_int_eq (md_startup_config_wait (5 * MD_SECOND, 0, 0), 0);
  ck_assert_int_eq (md_startup_config_wait (LONG_AGO, 0, 0), 0);
}
END_TEST

/* Guards against a job that waits for a worker so long that it cannot be in time, or at an entry
   that has had time to hear its guards. */
START_TEST (job_waits_for_the_first_worker)
{
  ck_assert_int_eq (md_startup_worker_wait (100 * MD_MS, 2 * MD_SECOND), 500 * MD_MS);
  ck_assert_int_eq (md_startup_worker_wait (100 * MD_MS, 200 * MD_MS), 100 * MD_MS);
  ck_assert_int_eq (md_startup_worker_wait (100 * MD_MS, -200 * MD_MS), 0);
  ck_assert_int_eq (md_startup_worker_wait (2 * MD_SECOND, 2 * MD_SECOND), 0);
  ck_assert_int_eq (md_startup_worker_wait (LONG_AGO, 2 * MD_SECOND), 0);
}
END_TEST

/* Guards against callers that all come again in the same second after a return. */
START_TEST (retries_after_a_start_are_spread)
{
  int later = 0;

  for (uint64_t i = 0; i < 1000; i++)
    later += md_startup_retry_after (MD_SECOND, MD_SECOND, i * 1000) > MD_SECOND;
  ck_assert_int_ge (later, 400);
  ck_assert_int_le (later, 600);
  ck_assert_int_eq (md_startup_retry_after (LONG_AGO, MD_SECOND, 7), MD_SECOND);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("startup");

  tcase_add_test (tc, request_waits_for_the_first_configuration);
  tcase_add_test (tc, job_waits_for_the_first_worker);
  tcase_add_test (tc, retries_after_a_start_are_spread);
  return run_suite ("startup", tc);
}
