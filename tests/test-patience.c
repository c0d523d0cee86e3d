/* test-patience.c -- callers that have waited before, and what their jobs cost the others */

#include "patience.h"
#include "run-sched.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define OBJECTIVE (200 * MD_MS)
#define TIMEOUT (2 * MD_SECOND)

/* ------------------------------------------------------------------ */
/* Age                                                                */

static MdPatience
usual_after (int jobs)
{
  MdPatience usual = { 0 };

  for (int i = 0; i < jobs; i++)
    md_patience_age (&usual, TIMEOUT, OBJECTIVE, 0);
  return usual;
}

/* Guards against a queue whose first callers are taken for old ones because they differ, and
   against an age that errors of the estimates explain. */
START_TEST (age_needs_samples_and_a_large_difference)
{
  MdPatience usual = usual_after (15);

  ck_assert_int_eq (md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, 0), 0);
  usual = usual_after (16);
  ck_assert_int_eq (md_patience_age (&usual, TIMEOUT, OBJECTIVE, 0), 0);
  ck_assert_int_eq (md_patience_age (&usual, TIMEOUT - 590 * MD_MS, OBJECTIVE, 0), 0);
  usual = usual_after (16);
  ck_assert_int_eq (md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, 0), MD_SECOND);
}
END_TEST

/* Guards against an age of a request whose caller says nothing of its patience, or waits longer
   than usual. */
START_TEST (caller_without_a_timeout_has_no_age)
{
  MdPatience usual = usual_after (16);
  double known = usual.usual;

  ck_assert_int_eq (md_patience_age (&usual, 0, OBJECTIVE, 0), 0);
  ck_assert_double_eq (usual.usual, known);
  ck_assert_uint_eq (usual.n, 16);
  ck_assert_int_eq (md_patience_age (&usual, 10 * TIMEOUT, OBJECTIVE, 0), 0);
}
END_TEST

/* Guards against jobs that are taken for old ones because their declared times differ by a factor. */
START_TEST (wrong_estimates_make_no_age)
{
  MdPatience usual = { 0 };

  for (int i = 0; i < 1000; i++)
    ck_assert_int_eq (md_patience_age (&usual, TIMEOUT, OBJECTIVE * (1 + i * 7 % 40) / 10, 0), 0);
}
END_TEST

/* Guards against a wave of old requests that becomes usual before it has passed. */
START_TEST (wave_does_not_become_usual)
{
  MdPatience usual = usual_after (16);
  int aged = 0;

  for (int i = 0; i < 130; i++)
    {
      aged += md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, 0) > 0;
      if (i % 13 < 10)
        ck_assert_int_eq (md_patience_age (&usual, TIMEOUT, OBJECTIVE, 0), 0);
    }
  ck_assert_int_eq (aged, 130);
}
END_TEST

/* Guards against an entry that has just started and takes old requests for usual ones because all
   of its first ones are old. */
START_TEST (time_out_of_the_queue_is_usual_at_first)
{
  MdPatience usual = { 0 };

  for (int i = 0; i < 60; i++)
    ck_assert_int_gt (md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, TIMEOUT), 0);
  usual = (MdPatience){ 0 };
  for (int i = 0; i < 100; i++)
    md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, TIMEOUT);
  ck_assert_int_eq (md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, TIMEOUT), 0);
}
END_TEST

/* Guards against jobs that count as old because their callers state more for longer jobs: times of
   jobs whose run times are log-normal. */
START_TEST (times_that_follow_the_work_make_no_age)
{
  MdPatience usual = { 0 };
  uint32_t random = 1;
  int aged = 0;

  for (int i = 0; i < 10000; i++)
    {
      double normal = -6; /* the sum of twelve uniform numbers has a variance of 1 */
      MdTime objective;

      for (int k = 0; k < 12; k++)
        {
          random = random * 1103515245u + 12345u;
          normal += (random >> 8) / 16777216.0;
        }
      objective = (MdTime)(1.6 * 170e3 * exp (0.4 * normal)) + 60 * MD_MS;
      aged += md_patience_age (&usual, 1500 * MD_MS + 3 * objective, objective, 1500 * MD_MS) > 0;
    }
  ck_assert_int_lt (aged, 100); /* one in a hundred */
}
END_TEST

/* Guards against a queue whose callers state less from now on and count as old for good. */
START_TEST (callers_that_change_become_usual)
{
  MdPatience usual = usual_after (1000);
  int aged = 0;

  for (int i = 0; i < 1000; i++)
    aged += md_patience_age (&usual, TIMEOUT - MD_SECOND, OBJECTIVE, 0) > 0;
  ck_assert_int_gt (aged, 0);
  ck_assert_int_lt (aged, 100);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Admission                                                          */

/* Guards against an aged job that takes capacity for which others wait, whatever goal it has, and
   against one that is rejected
   although workers are idle and its caller waits. */
START_TEST (aged_job_is_admitted_where_nothing_waits)
{
  MdForecast forecast = {
    .finish = 60 * MD_MS, .goal = 500 * MD_MS, .limit = 800 * MD_MS, .demand = 0.1, .age = MD_SECOND
  };

  ck_assert_int_eq (md_admit_run (&forecast), MD_ADMIT_LATE);
  forecast.wait = 10 * MD_MS;
  ck_assert_int_eq (md_admit_run (&forecast), MD_ADMIT_REJECT);
  forecast.wait = 0;
  forecast.lag = 30 * MD_MS;
  ck_assert_int_eq (md_admit_run (&forecast), MD_ADMIT_REJECT);
  forecast.lag = 0;
  forecast.limit = 50 * MD_MS;
  ck_assert_int_eq (md_admit_run (&forecast), MD_ADMIT_REJECT);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Return of a site                                                   */

/* Jobs of one task of 55 ms on average; 9 workers of 8 slots serve 1,300 a second. */
#define WORKERS 9
#define SLOTS 8
#define MEDIAN (51.0 * MD_MS)
#define SIGMA 0.4 /* of the run times and of the declared times */
#define NEW_RATE 1000
#define OLD_RATE 1300
#define OLD_BEGIN (1 * MD_SECOND)
#define OLD_END (1800 * MD_MS)
#define END (3 * MD_SECOND) /* of the arrivals */
#define STEP MD_MS
#define MAX_JOBS 8000

typedef struct
{
  MdRun run;
  MdTime arrived;
  MdTime useful_until; /* the goal as its caller sees it */
  MdTime ends;         /* 0: not started */
  double actual;       /* run time */
  bool old;
  bool counted; /* arrived during the return */
} SimJob;

typedef struct
{
  MdRunQueue queues[WORKERS];
  MdPatience usual;
  MdDemand demand;
  SimJob jobs[MAX_JOBS];
  int n;
  uint32_t random;
  bool uses_age;
  int in_time[2]; /* of new and old ones */
  int arrived[2];
  int started[2];
} Simulation;

static double
uniform (Simulation *sim)
{
  sim->random = sim->random * 1664525u + 1013904223u;
  return ((double)(sim->random >> 8) + 0.5) / (1 << 24);
}

static double
log_normal (Simulation *sim)
{
  double a = uniform (sim);
  double b = uniform (sim);

  return exp (SIGMA * sqrt (-2 * log (a)) * cos (2 * M_PI * b));
}

static int
best_queue (const Simulation *sim, MdTime now, MdTime *wait)
{
  int best = 0;

  *wait = INT64_MAX;
  for (int i = 0; i < WORKERS; i++)
    {
      MdTime here = md_runqueue_expected_wait (&sim->queues[i], now);

      if (here < *wait || (here == *wait && sim->queues[i].free.cpu > sim->queues[best].free.cpu))
        {
          *wait = here;
          best = i;
        }
    }
  return best;
}

static void
arrive (Simulation *sim, bool old, MdTime now)
{
  SimJob *job = &sim->jobs[sim->n];
  double declared = MEDIAN * log_normal (sim);
  double actual = MEDIAN * log_normal (sim);
  MdTime objective = (MdTime)(1.6 * declared) + 52 * MD_MS;
  MdTime waited = old ? (MdTime)((0.5 + 0.7 * uniform (sim)) * (double)MD_SECOND) : 0;
  MdTime age = sim->uses_age ? md_patience_age (&sim->usual, TIMEOUT - waited, objective, 0) : 0;
  MdForecast forecast = { .demand = 1, .age = age };
  MdTime limit = age > 0 ? TIMEOUT - waited : MD_LIMIT_GOAL_MULTIPLE * objective;
  bool counted = now >= OLD_BEGIN && now < OLD_END;
  int chosen = best_queue (sim, now, &forecast.wait);

  sim->arrived[old] += counted;
  forecast.finish = forecast.wait + (MdTime)declared;
  forecast.goal = objective - age;
  forecast.limit = limit < TIMEOUT - waited ? limit : TIMEOUT - waited;
  if (md_admit_run (&forecast) == MD_ADMIT_REJECT)
    return;
  ck_assert_int_lt (++sim->n, MAX_JOBS);
  *job = (SimJob){ .arrived = now,
                   .useful_until = now - waited + objective,
                   .actual = actual,
                   .counted = counted,
                   .old = old };
  job->run = (MdRun){ .resources = { 1, 0, 0 },
                      .work = declared,
                      .start_by = now + forecast.goal - (MdTime)declared,
                      .data = job };
  md_runqueue_add (&sim->queues[chosen], &job->run, now);
}

static void
run_queue (Simulation *sim, MdRunQueue *queue, MdTime now)
{
  for (MdRun *run = queue->running.first, *next; run != NULL; run = next)
    {
      SimJob *job = run->data;

      next = run->next;
      if (job->ends > now)
        continue;
      md_runqueue_remove (queue, run, now);
      sim->in_time[job->old] += job->counted && now <= job->useful_until;
    }
  for (MdRun *run; (run = md_runqueue_next (queue, now)) != NULL;)
    {
      SimJob *job = run->data;

      run->state = MD_RUN_RUNNING;
      run->started_at = now;
      job->ends = now + (MdTime)job->actual;
      sim->started[job->old] += job->counted;
    }
}

/* Number of requests in a step; they come in pairs and more, as those of many callers do. */
static int
arrivals (Simulation *sim, int rate)
{
  double n = 2.0 * rate * (double)STEP / (double)MD_SECOND;

  if (uniform (sim) < 0.5)
    return 0;
  return (int)n + (uniform (sim) < n - floor (n));
}

static void
simulate (Simulation *sim, bool uses_age)
{
  *sim = (Simulation){ .random = 7, .uses_age = uses_age };
  for (int i = 0; i < WORKERS; i++)
    {
      sim->queues[i].accepting = true;
      md_runqueue_set_capacity (&sim->queues[i], (MdResources){ SLOTS, 0, 0 });
    }
  for (MdTime now = STEP; now < END + MD_SECOND; now += STEP)
    {
      for (int n = now < END ? arrivals (sim, NEW_RATE) : 0; n > 0; n--)
        arrive (sim, false, now);
      for (int n = now >= OLD_BEGIN && now < OLD_END ? arrivals (sim, OLD_RATE) : 0; n > 0; n--)
        arrive (sim, true, now);
      for (int i = 0; i < WORKERS; i++)
        run_queue (sim, &sim->queues[i], now);
    }
}

/* Guards against new requests that are rejected or late because those of an outage, which have
   missed their goals, take the capacity: of new ones 96% were in time on a usual day, in the second
   after the return of a site less than half. */
START_TEST (new_requests_are_in_time_after_a_return)
{
  Simulation *with = malloc (sizeof *with);
  Simulation *without = malloc (sizeof *without);

  ck_assert (with != NULL && without != NULL);
  simulate (without, false);
  simulate (with, true);
  printf ("without age: new %d of %d in time, old %d of %d in time, %d started\n",
          without->in_time[0], without->arrived[0], without->in_time[1], without->arrived[1],
          without->started[1]);
  printf ("with age: new %d of %d in time, old %d of %d in time, %d started\n", with->in_time[0],
          with->arrived[0], with->in_time[1], with->arrived[1], with->started[1]);
  ck_assert_int_ge (with->in_time[0] * 100, with->arrived[0] * 90);
  ck_assert_int_ge (with->in_time[0] - without->in_time[0], with->arrived[0] / 20);
  free (with);
  free (without);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("patience");

  tcase_add_test (tc, age_needs_samples_and_a_large_difference);
  tcase_add_test (tc, caller_without_a_timeout_has_no_age);
  tcase_add_test (tc, wrong_estimates_make_no_age);
  tcase_add_test (tc, wave_does_not_become_usual);
  tcase_add_test (tc, time_out_of_the_queue_is_usual_at_first);
  tcase_add_test (tc, times_that_follow_the_work_make_no_age);
  tcase_add_test (tc, callers_that_change_become_usual);
  tcase_add_test (tc, aged_job_is_admitted_where_nothing_waits);
  tcase_add_test (tc, new_requests_are_in_time_after_a_return);
  return run_suite ("patience", tc);
}
