/* test-recent-jobs.c -- which jobs may have run at an entry, as its HTTP threads see it */

#include "ended-jobs.h"
#include "recent-jobs.h"
#include "suite.h"

#include <pthread.h>

#define NOW (1000 * MD_SECOND + 999 * MD_MS)
#define READERS 4
#define JOBS 20000u /* that the writer adds while the readers look them up */

static MdRecentJobs jobs;
static atomic_uint added; /* number of jobs that have been announced, by the writer */

static void
setup (void)
{
  memset (&jobs, 0, sizeof jobs);
  atomic_store (&added, 0);
}

/* Spreads the jobs over the table as a hash does. */
static uint64_t
hash_of (uint64_t job)
{
  uint64_t hash = (job + 1) * UINT64_C (0x9e3779b97f4a7c15);

  hash = (hash ^ (hash >> 31)) * UINT64_C (0xbf58476d1ce4e5b9);
  return hash ^ (hash >> 29);
}

/* Guards against "not run" for a job that has run. */
START_TEST (job_is_found_for_the_retention)
{
  md_recent_jobs_add (&jobs, 7, NOW);
  for (MdTime age = 0; age < MD_ENDED_JOB_RETENTION; age += 100 * MD_MS)
    ck_assert (md_recent_jobs_find (&jobs, 7, NOW + age));
  ck_assert (md_recent_jobs_find (&jobs, 7, NOW + MD_ENDED_JOB_RETENTION - 1));
}
END_TEST

/* Guards against the same for the first second of the clock, whose number is 0. */
START_TEST (job_of_the_first_second_is_found)
{
  md_recent_jobs_add (&jobs, 7, 0);
  ck_assert (md_recent_jobs_find (&jobs, 7, 0));
  ck_assert (md_recent_jobs_find (&jobs, 7, MD_ENDED_JOB_RETENTION - 1));
}
END_TEST

/* Guards against the same when the reader was held up after it had read its clock. */
START_TEST (later_end_is_found_by_an_earlier_clock)
{
  md_recent_jobs_add (&jobs, 7, NOW);
  ck_assert (md_recent_jobs_find (&jobs, 7, NOW - 1));
  ck_assert (md_recent_jobs_find (&jobs, 7, NOW - 600 * MD_SECOND));
}
END_TEST

/* Guards against an entry that passes on each request although it is late. */
START_TEST (other_jobs_are_not_found)
{
  ck_assert (!md_recent_jobs_find (&jobs, 7, NOW));
  md_recent_jobs_add (&jobs, 7, NOW);
  ck_assert (!md_recent_jobs_find (&jobs, 8, NOW));
  /* The start of a second stands for all of it. */
  ck_assert (!md_recent_jobs_find (&jobs, 7, NOW + MD_ENDED_JOB_RETENTION + MD_SECOND));
}
END_TEST

/* Guards against an end that hides a later one of the same slot, or is lost to it too early. */
START_TEST (jobs_of_one_slot_last_until_the_latest_is_over)
{
  const uint64_t first = 7;
  const uint64_t second = 7 + (uint64_t)MD_RECENT_JOB_SLOTS;

  md_recent_jobs_add (&jobs, first, NOW);
  md_recent_jobs_add (&jobs, second, NOW + 60 * MD_SECOND);
  ck_assert (md_recent_jobs_find (&jobs, first, NOW + MD_ENDED_JOB_RETENTION - 1));
  ck_assert (
      md_recent_jobs_find (&jobs, second, NOW + 60 * MD_SECOND + MD_ENDED_JOB_RETENTION - 1));
  ck_assert (!md_recent_jobs_find (&jobs, second, NOW + 61 * MD_SECOND + MD_ENDED_JOB_RETENTION));
}
END_TEST

static unsigned
count_found (uint64_t first, unsigned n, MdTime now)
{
  unsigned found = 0;

  for (unsigned i = 0; i < n; i++)
    found += md_recent_jobs_find (&jobs, hash_of (first + i), now);
  return found;
}

/* Guards against a table that forgets jobs when there are many, and against one that finds most of
   those that were never added at the rates it is made for. */
START_TEST (full_table_forgets_nothing)
{
  const unsigned usual = 12000; /* in two minutes at a hundred a second */
  const unsigned many = 4 * MD_RECENT_JOB_SLOTS;
  MdTime now = NOW;

  for (unsigned i = 0; i < usual; i++)
    md_recent_jobs_add (&jobs, hash_of (i), now);
  ck_assert_uint_eq (count_found (0, usual, now), usual);
  ck_assert_uint_lt (count_found (many, usual, now), usual / 20);
  for (unsigned i = usual; i < many; i++)
    md_recent_jobs_add (&jobs, hash_of (i), now);
  now += MD_ENDED_JOB_RETENTION - 1;
  ck_assert_uint_eq (count_found (0, many, now), many);
  ck_assert_uint_gt (count_found (many, usual, now), usual * 9 / 10);
  now += MD_SECOND + 1;
  ck_assert_uint_eq (count_found (0, many, now), 0);
}
END_TEST

static void *
read_jobs (void *user MD_UNUSED)
{
  unsigned *missed = calloc (1, sizeof *missed);
  unsigned known;

  do
    {
      known = atomic_load (&added);
      for (unsigned back = 1; back <= known && back <= 64; back++)
        *missed += !md_recent_jobs_find (&jobs, hash_of (known - back), NOW);
    }
  while (known < JOBS);
  return missed;
}

/* Guards against a reader that has learnt of an end elsewhere and does not find it here. */
START_TEST (readers_find_what_has_been_announced)
{
  pthread_t readers[READERS];

  for (int i = 0; i < READERS; i++)
    ck_assert_int_eq (pthread_create (&readers[i], NULL, read_jobs, NULL), 0);
  for (unsigned i = 0; i < JOBS; i++)
    {
      md_recent_jobs_add (&jobs, hash_of (i), NOW);
      atomic_store (&added, i + 1);
    }
  for (int i = 0; i < READERS; i++)
    {
      void *missed;

      ck_assert_int_eq (pthread_join (readers[i], &missed), 0);
      ck_assert_uint_eq (*(unsigned *)missed, 0);
      free (missed);
    }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("recent-jobs");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, job_is_found_for_the_retention);
  tcase_add_test (tc, job_of_the_first_second_is_found);
  tcase_add_test (tc, later_end_is_found_by_an_earlier_clock);
  tcase_add_test (tc, other_jobs_are_not_found);
  tcase_add_test (tc, jobs_of_one_slot_last_until_the_latest_is_over);
  tcase_add_test (tc, full_table_forgets_nothing);
  tcase_add_test (tc, readers_find_what_has_been_announced);
  return run_suite ("recent-jobs", tc);
}
