/* test-backlog.c -- which job an entry handles next when it has too little processor time

   The replay has no network: an engine handles one job at a time, and jobs of three kinds arrive at
   random. */

#include "backlog.h"
#include "suite.h"

#include <stdio.h>

#define HANDLING (4 * MD_MS) /* processor time of a job on 0.12 of a core, with its runs' reports */
#define OVERLOAD (1 * MD_SECOND)
#define ARRIVALS 400u /* in that time; the engine handles 250 */
#define SLACK_FACTOR 1.6
#define TARGET (60 * MD_MS)
#define LIMIT_MULTIPLE 3

typedef struct
{
  MdTime arrived;
  MdTime work;
  bool handled;
} Job;

typedef enum
{
  ARRIVAL_ORDER,
  BACKLOG_ORDER,
} Order;

typedef struct
{
  uint32_t in_time;
  uint32_t late;
  uint32_t rejected;
  MdTime last_answer; /* wait of the job that was rejected latest after its arrival */
} Outcome;

static const MdTime kinds[] = { 51 * MD_MS, 170 * MD_MS, 170 * MD_MS, 170 * MD_MS, 760 * MD_MS };

static MdTime
objective (const Job *job)
{
  return (MdTime)(SLACK_FACTOR * (double)job->work) + TARGET;
}

static MdBacklogJob
times_of (const Job *job, MdTime now)
{
  return (MdBacklogJob){ .waited = now - job->arrived,
                         .slack = objective (job) - job->work,
                         .limit = LIMIT_MULTIPLE * objective (job),
                         .work = job->work };
}

/* The job to handle now among those that have arrived, NULL if there is none. */
static Job *
choose (Job *jobs, MdTime now, Order order)
{
  Job *oldest = NULL;
  Job *best = NULL;

  for (uint32_t i = 0; i < ARRIVALS && jobs[i].arrived <= now; i++)
    if (!jobs[i].handled)
      {
        MdBacklogJob times = times_of (&jobs[i], now);
        MdBacklogJob best_times = times_of (best == NULL ? &jobs[i] : best, now);

        oldest = oldest == NULL ? &jobs[i] : oldest;
        if (best == NULL || md_backlog_goes_before (&times, &best_times))
          best = &jobs[i];
      }
  if (oldest == NULL || order == ARRIVAL_ORDER)
    return oldest;
  return md_backlog_is_long (now - oldest->arrived) ? best : oldest;
}

static void
reject_expired (Job *jobs, MdTime now, Outcome *outcome)
{
  for (uint32_t i = 0; i < ARRIVALS && jobs[i].arrived <= now; i++)
    {
      MdBacklogJob times = times_of (&jobs[i], now);

      if (jobs[i].handled || !md_backlog_is_expired (&times))
        continue;
      jobs[i].handled = true;
      outcome->rejected++;
      if (times.waited > outcome->last_answer)
        outcome->last_answer = times.waited;
    }
}

static Outcome
play (Order order)
{
  Job jobs[ARRIVALS] = { 0 };
  Outcome outcome = { 0 };
  uint32_t seed = 1;

  for (uint32_t i = 0; i < ARRIVALS; i++)
    {
      seed = seed * 1103515245u + 12345u;
      jobs[i].arrived = (MdTime)i * OVERLOAD / ARRIVALS;
      jobs[i].work = kinds[(seed >> 16) % MD_ARRAY_SIZE (kinds)];
    }
  for (MdTime now = 0; now < 4 * OVERLOAD; now += HANDLING)
    {
      Job *job;
      MdTime waited;

      if (order == BACKLOG_ORDER)
        reject_expired (jobs, now, &outcome);
      job = choose (jobs, now, order);
      if (job == NULL)
        continue;
      job->handled = true;
      waited = now + HANDLING - job->arrived;
      if (waited + job->work <= objective (job))
        outcome.in_time++;
      else if (waited + job->work <= LIMIT_MULTIPLE * objective (job))
        outcome.late++;
      else
        outcome.rejected++;
    }
  return outcome;
}

/* Guards against an entry that is busy all the time and answers hardly a job in time: each waits
   for as long as the backlog is. */
START_TEST (overload_leaves_jobs_in_time)
{
  Outcome former = play (ARRIVAL_ORDER);
  Outcome present = play (BACKLOG_ORDER);
  uint32_t handled = (uint32_t)(OVERLOAD / HANDLING);

  ck_assert_uint_eq (former.in_time + former.late + former.rejected, ARRIVALS);
  ck_assert_uint_eq (present.in_time + present.late + present.rejected, ARRIVALS);
  /* Nearly all of the jobs for which there is time while the overload lasts. */
  ck_assert_uint_gt (present.in_time, handled * 9 / 10);
  ck_assert_uint_gt (present.in_time, former.in_time * 3 / 2);
  printf ("in time, late, rejected: %u %u %u in order of arrival, %u %u %u in the order of the "
          "backlog\n",
          former.in_time, former.late, former.rejected, present.in_time, present.late,
          present.rejected);
}
END_TEST

/* Guards against jobs that are kept until their callers leave although their answers are of no use. */
START_TEST (older_jobs_are_rejected_at_their_limit)
{
  Outcome present = play (BACKLOG_ORDER);

  ck_assert_int_le (present.last_answer,
                    LIMIT_MULTIPLE * ((MdTime)(SLACK_FACTOR * 760 * MD_MS) + TARGET));
  ck_assert (!md_backlog_is_expired (&(MdBacklogJob){ .waited = 10 * MD_MS, .limit = 5 * MD_MS }));
  ck_assert (md_backlog_is_expired (
      &(MdBacklogJob){ .waited = 300 * MD_MS, .limit = 320 * MD_MS, .work = 51 * MD_MS }));
}
END_TEST

/* Guards against a change of order while the entry keeps up. */
START_TEST (short_waits_keep_the_order_of_arrival)
{
  ck_assert (!md_backlog_is_long (0));
  ck_assert (!md_backlog_is_long (20 * MD_MS));
  ck_assert (md_backlog_is_long (100 * MD_MS));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("backlog");

  tcase_add_test (tc, overload_leaves_jobs_in_time);
  tcase_add_test (tc, older_jobs_are_rejected_at_their_limit);
  tcase_add_test (tc, short_waits_keep_the_order_of_arrival);
  return run_suite ("backlog", tc);
}
