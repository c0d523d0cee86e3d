/* test-lag.c -- the lag of an entry and the reports that it asks for */

#include "run-sched.h"
#include "suite.h"

/* Guards against an entry that does without reports for seconds because it was paused once. */
START_TEST (pause_is_forgotten)
{
  MdLag lag = { 0 };

  md_lag_add (&lag, 4 * MD_SECOND, 10 * MD_SECOND);
  ck_assert_int_ge (md_lag_now (&lag, 10 * MD_SECOND), 100 * MD_MS);
  for (MdTime now = 10 * MD_SECOND; now < 11 * MD_SECOND; now += 10 * MD_MS)
    md_lag_add (&lag, 0, now);
  ck_assert_int_lt (md_lag_now (&lag, 11 * MD_SECOND), 4 * MD_MS);
}
END_TEST

/* Adds the same sample every 10 ms for this long. */
static MdTime
add_samples (MdLag *lag, MdTime sample, MdTime now, MdTime time)
{
  for (MdTime end = now + time; now < end; now += 10 * MD_MS)
    md_lag_add (lag, sample, now);
  return now;
}

/* Guards against jobs that are rejected in the first second after a start or a pause, which entries
   of 0.12 of a core can serve half a second later, and against a shortage that is discovered anew
   with each job. */
START_TEST (shortage_lasts)
{
  MdLag lag = { 0 };
  MdTime now = 10 * MD_SECOND;

  now = add_samples (&lag, 300 * MD_MS, now, 700 * MD_MS);
  ck_assert_int_eq (md_lag_shortage (&lag, now), 0);
  now = add_samples (&lag, MD_MS, now, 500 * MD_MS);
  ck_assert_int_eq (md_lag_shortage (&lag, now), 0);
  now = add_samples (&lag, 80 * MD_MS, now, 1100 * MD_MS);
  ck_assert_int_gt (md_lag_shortage (&lag, now), 70 * MD_MS);
  /* In time for a moment. */
  now = add_samples (&lag, MD_MS, now, 400 * MD_MS);
  ck_assert_int_lt (md_lag_shortage (&lag, now), 10 * MD_MS);
  now = add_samples (&lag, 80 * MD_MS, now, 20 * MD_MS);
  ck_assert_int_gt (md_lag_shortage (&lag, now), 70 * MD_MS);
  /* It has ended. */
  now = add_samples (&lag, MD_MS, now, 1300 * MD_MS);
  now = add_samples (&lag, 80 * MD_MS, now, 20 * MD_MS);
  ck_assert_int_eq (md_lag_shortage (&lag, now), 0);
}
END_TEST

START_TEST (entry_in_time_asks_for_nothing)
{
  MdTime interval = 0;

  for (int i = 0; i < 20; i++)
    interval = md_lag_report_interval (interval, 30 * MD_MS);
  ck_assert_int_eq (interval, 100 * MD_MS);
  ck_assert_int_eq (md_lag_report_interval (interval, 6 * MD_MS), interval);
  for (int i = 0; i < 25; i++)
    interval = md_lag_report_interval (interval, MD_MS);
  ck_assert_int_eq (interval, 0);
}
END_TEST

/* Processor time that an entry on 0.12 of a core needs for one job and for one report, as
   measured on a day of the grown sites. */
#define SHARE 0.12
#define JOB_COST 860.0 /* microseconds */
#define REPORT_COST 14.0
#define FULL_GUARDS 45
#define GUARD_INTERVAL (16 * MD_MS)

/* Plays five seconds of an entry with this many jobs a second; returns the lag at their end. */
static MdTime
play (double jobs_per_second, bool adapts)
{
  MdLag lag = { 0 };
  MdTime interval = 0;
  MdTime step = 10 * MD_MS;
  double backlog = 0; /* microseconds of processor time */

  for (MdTime now = 0; now < 5 * MD_SECOND; now += step)
    {
      double seconds = (double)step / (double)MD_SECOND;
      MdTime between = interval > GUARD_INTERVAL ? interval : GUARD_INTERVAL;
      double reports = FULL_GUARDS * (double)step / (double)between;

      backlog += jobs_per_second * seconds * JOB_COST + reports * REPORT_COST;
      backlog -= SHARE * (double)step;
      if (backlog < 0)
        backlog = 0;
      md_lag_add (&lag, (MdTime)(backlog / SHARE), now);
      if (adapts && now % MD_LAG_STEP == 0)
        interval = md_lag_report_interval (interval, md_lag_now (&lag, now));
    }
  return md_lag_now (&lag, 5 * MD_SECOND);
}

/* Load pattern: 80 to 120 jobs a second at an entry whose neighbour is away. Guards against reports
   that leave it no time for its jobs (issue 26). */
START_TEST (late_entry_has_time_for_jobs)
{
  ck_assert_int_ge (play (110, false), 400 * MD_MS);
  ck_assert_int_le (play (80, true), 10 * MD_MS);
  ck_assert_int_le (play (110, true), 20 * MD_MS);
  ck_assert_int_le (play (120, true), 20 * MD_MS);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("lag");

  tcase_add_test (tc, pause_is_forgotten);
  tcase_add_test (tc, shortage_lasts);
  tcase_add_test (tc, entry_in_time_asks_for_nothing);
  tcase_add_test (tc, late_entry_has_time_for_jobs);
  return run_suite ("lag", tc);
}
