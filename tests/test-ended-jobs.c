/* test-ended-jobs.c -- what an entry remembers of jobs that have ended */

#include "ended-jobs.h"
#include "suite.h"

#define NOW (1000 * MD_SECOND)

static MdEndedJobs ends;

static void
setup (void)
{
  memset (&ends, 0, sizeof ends);
}

/* A key in set 0. */
static MdJobKey
colliding_key (uint64_t i)
{
  return (MdJobKey){ .low = i * MD_ENDED_JOB_SETS, .high = i };
}

/* Guards against a cancelled job that a repeated request starts again (review 4). */
START_TEST (end_is_found)
{
  md_ended_jobs_add (&ends, colliding_key (1), MD_FINAL_CANCELLED, NOW);
  md_ended_jobs_add (&ends, colliding_key (2), MD_FINAL_COMPLETED, NOW);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (1), NOW), MD_FINAL_CANCELLED);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (2), NOW + 30 * MD_SECOND),
                    MD_FINAL_COMPLETED);
}
END_TEST

/* Guards against a job that is answered with the end of another one. */
START_TEST (other_jobs_are_unknown)
{
  MdJobKey key = colliding_key (1);

  ck_assert_int_eq (md_ended_jobs_find (&ends, key, NOW), MD_FINAL_UNKNOWN);
  md_ended_jobs_add (&ends, key, MD_FINAL_COMPLETED, NOW);
  key.high++;
  ck_assert_int_eq (md_ended_jobs_find (&ends, key, NOW), MD_FINAL_UNKNOWN);
}
END_TEST

/* Guards against an ID that can never be used again. */
START_TEST (end_is_forgotten_after_the_retention)
{
  md_ended_jobs_add (&ends, colliding_key (1), MD_FINAL_FAILED, NOW);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (1), NOW + MD_ENDED_JOB_RETENTION),
                    MD_FINAL_UNKNOWN);
}
END_TEST

START_TEST (later_end_replaces_an_earlier_one)
{
  md_ended_jobs_add (&ends, colliding_key (1), MD_FINAL_FAILED, NOW);
  md_ended_jobs_add (&ends, colliding_key (2), MD_FINAL_FAILED, NOW);
  md_ended_jobs_add (&ends, colliding_key (1), MD_FINAL_COMPLETED, NOW + 1);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (1), NOW + 1), MD_FINAL_COMPLETED);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (2), NOW + 1), MD_FINAL_FAILED);
}
END_TEST

START_TEST (oldest_of_a_full_set_is_forgotten)
{
  for (unsigned i = 1; i <= MD_ENDED_JOB_WAYS + 1; i++)
    md_ended_jobs_add (&ends, colliding_key (i), MD_FINAL_COMPLETED, NOW + i);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (1), NOW + 10), MD_FINAL_UNKNOWN);
  for (unsigned i = 2; i <= MD_ENDED_JOB_WAYS + 1; i++)
    ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (i), NOW + 10), MD_FINAL_COMPLETED);
}
END_TEST

/* Guards against "not run" for a job whose end was displaced by others, and against jobs that are
   taken for such a one for longer than it would have been kept, or in the two minutes after the
   clock's start. */
START_TEST (displaced_end_is_not_denied)
{
  MdTime over = NOW + 1 + MD_ENDED_JOB_RETENTION;
  MdJobKey other = { .low = 1, .high = 1 };

  ck_assert (!md_ended_jobs_may_have (&ends, colliding_key (1), 0));
  for (unsigned i = 1; i <= MD_ENDED_JOB_WAYS; i++)
    md_ended_jobs_add (&ends, colliding_key (i), MD_FINAL_GIVEN_UP, NOW + i);
  ck_assert (md_ended_jobs_may_have (&ends, colliding_key (1), NOW + 20));
  ck_assert (!md_ended_jobs_may_have (&ends, colliding_key (100), NOW + 20));
  md_ended_jobs_add (&ends, colliding_key (2), MD_FINAL_COMPLETED, NOW + 20);
  ck_assert (!md_ended_jobs_may_have (&ends, colliding_key (100), NOW + 20));
  md_ended_jobs_add (&ends, colliding_key (50), MD_FINAL_COMPLETED, NOW + 21);
  ck_assert_int_eq (md_ended_jobs_find (&ends, colliding_key (1), NOW + 21), MD_FINAL_UNKNOWN);
  ck_assert (md_ended_jobs_may_have (&ends, colliding_key (1), NOW + 21));
  ck_assert (md_ended_jobs_may_have (&ends, colliding_key (100), over - 1));
  ck_assert (!md_ended_jobs_may_have (&ends, colliding_key (1), over));
  ck_assert (!md_ended_jobs_may_have (&ends, other, NOW + 21));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("ended-jobs");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, end_is_found);
  tcase_add_test (tc, other_jobs_are_unknown);
  tcase_add_test (tc, end_is_forgotten_after_the_retention);
  tcase_add_test (tc, later_end_replaces_an_earlier_one);
  tcase_add_test (tc, oldest_of_a_full_set_is_forgotten);
  tcase_add_test (tc, displaced_end_is_not_denied);
  return run_suite ("ended-jobs", tc);
}
