/* test-leases.c -- leases for callers with different response timeouts

   Guards against a job that is repeated while the run of its first attempt goes on: two
   runs of a task at once. */

#include "leases.h"
#include "suite.h"

/* Longest time that a run goes on after the last message of its entry: the guard notices
   at the end of the entry's lease and orders the stop; if the guard is lost as well, the
   worker's lease has to run out by a clock that is 2% slow. */
static MdTime
worst_case (const MdLeases *leases, MdTime stop)
{
  return (leases->entry + leases->worker) * 102 / 100 + stop;
}

START_TEST (usual_callers_get_the_usual_leases)
{
  MdLeases leases;

  ck_assert_int_eq (md_leases_set (&leases, 1300 * MD_MS, 50 * MD_MS), MD_OK);
  ck_assert_int_eq (leases.entry, 500 * MD_MS);
  ck_assert_int_eq (leases.worker, 650 * MD_MS);
  ck_assert_int_eq (leases.heartbeat_interval, 100 * MD_MS);
  ck_assert_int_eq (leases.ended_after, 1223 * MD_MS);
  ck_assert_int_eq (md_leases_set (&leases, 60 * MD_SECOND, 50 * MD_MS), MD_OK);
  ck_assert_int_eq (leases.entry, 500 * MD_MS);
}
END_TEST

START_TEST (lost_run_has_ended_before_the_job_is_repeated)
{
  for (MdTime resend = 500 * MD_MS; resend <= 3 * MD_SECOND; resend += 50 * MD_MS)
    for (MdTime stop = 10 * MD_MS; stop <= 1000 * MD_MS; stop += 70 * MD_MS)
      {
        MdLeases leases;

        if (md_leases_set (&leases, resend, stop) != MD_OK)
          continue;
        ck_assert_int_lt (worst_case (&leases, stop), resend);
        ck_assert_int_ge (leases.ended_after + 1, worst_case (&leases, stop));
        ck_assert_int_ge (leases.heartbeat_interval, 30 * MD_MS);
      }
}
END_TEST

/* Guards against a lease that is granted to the neighbours of a run that had to end: it would outlive
   ended_after. */
START_TEST (lease_is_not_granted_beyond_the_limit)
{
  MdLeases leases;
  MdTime limit;

  md_leases_set (&leases, 1300 * MD_MS, 50 * MD_MS);
  ck_assert_int_eq (md_leases_grant (&leases, 10 * MD_MS, INT64_MAX), 660 * MD_MS);
  limit = md_leases_limit (&leases, 0);
  ck_assert_int_eq (md_leases_grant (&leases, 0, limit), 650 * MD_MS);
  ck_assert_int_eq (md_leases_grant (&leases, 400 * MD_MS, limit), 650 * MD_MS);
  ck_assert_int_le (md_leases_grant (&leases, 700 * MD_MS, limit), 700 * MD_MS);
}
END_TEST

/* Load pattern: an entry that is late by 0.3 to 0.7 s, see docs/incidents. Guards against guards
   that all close their links to it and dial again, which made it later still. */
START_TEST (late_entry_keeps_its_links)
{
  MdLeases leases;

  md_leases_set (&leases, 1300 * MD_MS, 50 * MD_MS);
  /* It is heard by idle guards every other heartbeat. */
  ck_assert_int_gt (leases.entry_silence, 700 * MD_MS + 2 * leases.heartbeat_interval);
}
END_TEST

START_TEST (impatient_callers_are_reported)
{
  MdLeases leases;

  ck_assert_int_eq (md_leases_set (&leases, 300 * MD_MS, 50 * MD_MS), MD_E_LIMIT);
  ck_assert_int_eq (leases.entry, 150 * MD_MS);
  ck_assert_int_eq (md_leases_set (&leases, 1300 * MD_MS, 1200 * MD_MS), MD_E_LIMIT);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("leases");

  tcase_add_test (tc, usual_callers_get_the_usual_leases);
  tcase_add_test (tc, lost_run_has_ended_before_the_job_is_repeated);
  tcase_add_test (tc, lease_is_not_granted_beyond_the_limit);
  tcase_add_test (tc, late_entry_keeps_its_links);
  tcase_add_test (tc, impatient_callers_are_reported);
  return run_suite ("leases", tc);
}
