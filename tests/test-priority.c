/* test-priority.c -- priorities and floors when capacity is short, without a network

   Guards against the failure seen on a day with too little capacity: the queue of the first
   priority, whose jobs are the widest and shortest, was late or failed 543 times of 6,572, and the
   one of the last priority three times of 1,298, because no part read the priority. */

#include "model.h"
#include "platform.h"
#include "priority.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>

/* ------------------------------------------------------------------ */
/* Queue of a guard                                                    */

#define CPU 1500

static MdRun
run_of (uint8_t priority, MdTime start_by)
{
  return (MdRun){
    .resources = { CPU, 64, 0 }, .work = 100.0 * MD_MS, .start_by = start_by, .priority = priority
  };
}

static MdRunQueue
queue_of (uint32_t slots)
{
  MdRunQueue queue = { .accepting = true };

  md_runqueue_set_capacity (&queue, (MdResources){ slots * CPU, 64 * slots, 0 });
  return queue;
}

/* Guards against a guard that starts in order of arrival or of start_by alone. */
START_TEST (more_important_run_starts_first)
{
  MdRunQueue queue = queue_of (1);
  MdRun urgent = run_of (2, 10 * MD_MS);
  MdRun important = run_of (0, 300 * MD_MS);

  md_runqueue_add (&queue, &urgent, 0);
  md_runqueue_add (&queue, &important, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 1 * MD_MS), &important);
}
END_TEST

/* Guards against an important run that can no longer help its own job and makes another late. */
START_TEST (late_run_goes_behind_those_in_time)
{
  MdRunQueue queue = queue_of (1);
  MdRun late = run_of (0, 10 * MD_MS);
  MdRun in_time = run_of (2, 300 * MD_MS);
  MdRun other_late = run_of (1, 5 * MD_MS);

  md_runqueue_add (&queue, &late, 0);
  md_runqueue_add (&queue, &in_time, 0);
  md_runqueue_add (&queue, &other_late, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 20 * MD_MS), &in_time);
  md_runqueue_remove (&queue, &in_time, 120 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 120 * MD_MS), &late);
}
END_TEST

/* Guards against a run that more important ones keep overtaking for as long as they arrive. */
START_TEST (overtaken_run_starts_after_a_bound)
{
  MdRunQueue queue = queue_of (1);
  MdRun patient = run_of (2, 10 * MD_SECOND);
  MdRun others[40];
  MdTime now = 1 * MD_MS;

  md_runqueue_add (&queue, &patient, now);
  for (unsigned i = 0; i < MD_ARRAY_SIZE (others) && patient.state == MD_RUN_WAITING; i++)
    {
      MdRun *chosen;

      others[i] = run_of (0, now + 10 * MD_SECOND);
      md_runqueue_add (&queue, &others[i], now);
      chosen = md_runqueue_next (&queue, now);
      ck_assert_ptr_nonnull (chosen);
      now += 10 * MD_MS;
      md_runqueue_remove (&queue, chosen, now);
    }
  printf ("overtaken run started after %lld ms\n", (long long)(patient.started_at / MD_MS));
  ck_assert_int_ge (patient.started_at, MD_MAX_OVERTAKEN);
  ck_assert_int_le (patient.started_at, MD_MAX_OVERTAKEN + 20 * MD_MS);
}
END_TEST

/* Guards against a wait that counts from the arrival: a run that nothing overtook has no claim. */
START_TEST (waiting_alone_is_not_being_overtaken)
{
  MdRunQueue queue = queue_of (1);
  MdRun blocker = run_of (2, 0);
  MdRun patient = run_of (2, 10 * MD_SECOND);
  MdRun important = run_of (0, 10 * MD_SECOND);

  md_runqueue_add (&queue, &blocker, 1 * MD_MS);
  md_runqueue_next (&queue, 1 * MD_MS);
  md_runqueue_add (&queue, &patient, 1 * MD_MS);
  md_runqueue_add (&queue, &important, 400 * MD_MS);
  md_runqueue_remove (&queue, &blocker, 500 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 500 * MD_MS), &important);
  ck_assert_int_eq (patient.overtaken_at, 500 * MD_MS);
}
END_TEST

/* Guards against a change of the order among runs of one priority, whichever it is. */
START_TEST (equal_priorities_keep_their_order)
{
  for (unsigned priority = 0; priority <= MD_LAST_PRIORITY; priority += 85)
    {
      MdModelRandom random = md_model_random (7);
      MdRunQueue plain = queue_of (4);
      MdRunQueue classed = queue_of (4);
      MdRun a[200];
      MdRun b[200];

      for (unsigned i = 0; i < MD_ARRAY_SIZE (a); i++)
        {
          MdTime now = (MdTime)i * 5 * MD_MS;
          MdTime slack = (MdTime)((md_model_uniform (&random) - 0.3) * 200 * MD_MS);
          MdRun *first;

          a[i] = run_of (0, now + slack);
          b[i] = run_of ((uint8_t)priority, now + slack);
          a[i].resources.cpu = b[i].resources.cpu = CPU * (1 + i % 3);
          md_runqueue_add (&plain, &a[i], now);
          md_runqueue_add (&classed, &b[i], now);
          while ((first = md_runqueue_next (&plain, now)) != NULL)
            ck_assert_int_eq (md_runqueue_next (&classed, now) - b, first - a);
          ck_assert_ptr_null (md_runqueue_next (&classed, now));
          if (plain.running.n > 2)
            {
              md_runqueue_remove (&classed, &b[(plain.running.last - a)], now);
              md_runqueue_remove (&plain, plain.running.last, now);
            }
        }
      ck_assert_uint_gt (plain.waiting.n, 10);
      ck_assert_int_eq (plain.waiting.n, classed.waiting.n);
    }
}
END_TEST

/* ------------------------------------------------------------------ */
/* Configuration                                                       */

/* Guards against a priority that is not read, and against one out of range that wraps around to a
   more important one. */
START_TEST (priority_of_a_route)
{
  static const struct
  {
    const char *member;
    uint8_t priority;
  } cases[] = { { "", 0 },
                { ",\"priority\":0", 0 },
                { ",\"priority\":2", 2 },
                { ",\"priority\":255", 255 },
                { ",\"priority\":256", 0 },
                { ",\"priority\":-1", 0 },
                { ",\"priority\":9223372036854775807", 0 },
                { ",\"priority\":\"1\"", 0 },
                { ",\"priority\":1.5", 0 },
                { ",\"priority\":null", 0 } };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (cases); i++)
    {
      MD_AUTO_BUF text = { 0 };
      MdRoutes *routes;

      md_buf_printf (&text,
                     "{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/p/\","
                     "\"service\":\"calc\",\"name\":\"a\"%s}]}",
                     cases[i].member);
      routes = md_platform_parse_config (md_buf_str (&text), NULL);
      ck_assert_ptr_nonnull (routes);
      ck_assert_uint_eq (routes->n, 1);
      ck_assert_uint_eq (routes->routes[0].priority, cases[i].priority);
      md_routes_free (routes);
    }
}
END_TEST

/* ------------------------------------------------------------------ */
/* Replay of a peak                                                    */

#define QUEUES 3
#define WORKERS 12
#define ENTRIES 4
#define WORKER_CORES 16
#define LENGTH (10 * MD_SECOND)
#define PEAK_FROM (2 * MD_SECOND)
#define PEAK_TO (8 * MD_SECOND)
#define ESTIMATE_SIGMA 0.4
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7
#define CALM_LOAD 0.6
#define SEEDS 3

static const struct
{
  uint32_t n_tasks;
  MdTime work; /* median run time of a task */
} kinds[QUEUES] = { { 8, 51 * MD_MS }, { 2, 170 * MD_MS }, { 4, 760 * MD_MS } };

/* Load of the peak over the capacity, and its distribution over the queues. */
typedef struct
{
  double load;
  double shares[QUEUES];
  uint8_t priorities[QUEUES];
  bool slow_worker; /* a worker takes 6.5 times as long during the peak */
} Peak;

/* Figures of the jobs of a queue that arrived during the peak. */
typedef struct
{
  uint32_t jobs;
  uint32_t in_goal;
  uint32_t late; /* or failed */
  uint32_t rejected;
  double slot_time; /* of the admitted jobs, microseconds */
  double work;      /* of all jobs, microseconds */
} Figures;

static MdModelJob
job_of (MdModelRandom *random, uint32_t queue, MdTime arrival)
{
  MdModelJob job = { .arrival = arrival,
                     .queue = queue,
                     .entry = (uint32_t)(md_model_uniform (random) * ENTRIES),
                     .n_tasks = kinds[queue].n_tasks,
                     .resources = { CPU, 64, 0 },
                     .response_timeout = 5 * MD_SECOND };

  job.work = calloc (job.n_tasks, sizeof *job.work);
  ck_assert_ptr_nonnull (job.work);
  for (uint32_t k = 0; k < job.n_tasks; k++)
    {
      double work = (double)kinds[queue].work * md_model_log_normal (random, ESTIMATE_SIGMA);

      job.work[k] = (MdTime)(md_model_uniform (random) < TAIL_SHARE ? TAIL_FACTOR * work : work);
    }
  job.declared_time
      = (MdTime)((double)kinds[queue].work * md_model_log_normal (random, ESTIMATE_SIGMA));
  return job;
}

/* Jobs of one queue per microsecond for this share of the capacity. */
static double
rate_of (uint32_t queue, double share)
{
  double mean = (double)kinds[queue].work * exp (ESTIMATE_SIGMA * ESTIMATE_SIGMA / 2)
                * (1 + TAIL_SHARE * (TAIL_FACTOR - 1));
  double slots = WORKERS * WORKER_CORES * 1000.0 / CPU;

  return share * slots / (mean * kinds[queue].n_tasks);
}

static void
make_workload (MdModelWorkload *workload, const Peak *peak, uint64_t seed)
{
  static const char *const names[QUEUES] = { "wide", "middle", "long" };
  MdModelRandom random = md_model_random (seed);
  MdTime step = MD_MS;
  uint32_t room = 100000;

  workload->queues = calloc (QUEUES, sizeof *workload->queues);
  workload->jobs = calloc (room, sizeof *workload->jobs);
  workload->capacities = calloc (WORKERS, sizeof *workload->capacities);
  workload->changes = calloc (2 * WORKERS, sizeof *workload->changes);
  ck_assert (workload->queues != NULL && workload->jobs != NULL && workload->capacities != NULL
             && workload->changes != NULL);
  workload->n_queues = QUEUES;
  workload->n_workers = WORKERS;
  workload->n_entries = ENTRIES;
  workload->length = LENGTH;
  for (uint32_t q = 0; q < QUEUES; q++)
    {
      workload->queues[q] = (MdModelQueue){ .slack_factor = 1.6,
                                            .target_latency = 60 * MD_MS,
                                            .mean_work = (double)kinds[q].work,
                                            .priority = peak->priorities[q] };
      md_str_copy (workload->queues[q].name, MD_NAME_BYTES, md_str (names[q]));
    }
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      workload->capacities[i] = (MdResources){ WORKER_CORES * 1000, 65536, 0 };
      workload->changes[workload->n_changes++] = (MdModelChange){ .worker = i, .speed = 1 };
    }
  if (peak->slow_worker)
    {
      workload->changes[workload->n_changes++]
          = (MdModelChange){ .at = PEAK_FROM + MD_SECOND, .worker = 3, .speed = 1 / 6.5 };
      workload->changes[workload->n_changes++]
          = (MdModelChange){ .at = PEAK_TO, .worker = 3, .speed = 1 };
    }
  for (MdTime now = 0; now < LENGTH; now += step)
    for (uint32_t q = 0; q < QUEUES; q++)
      {
        double load = now >= PEAK_FROM && now < PEAK_TO ? peak->load : CALM_LOAD;
        double expected = rate_of (q, load * peak->shares[q]) * (double)step;

        for (; expected > 0; expected -= 1)
          if (md_model_uniform (&random) < expected)
            {
              ck_assert_uint_lt (workload->n_jobs, room);
              workload->jobs[workload->n_jobs++] = job_of (&random, q, now);
            }
      }
}

static void
add_figures (Figures *figures, const MdModelWorkload *workload, const MdModelResult *result)
{
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      const MdModelJob *job = &workload->jobs[i];
      Figures *own = &figures[job->queue];
      double work = 0;

      if (job->arrival < PEAK_FROM || job->arrival >= PEAK_TO)
        continue;
      for (uint32_t k = 0; k < job->n_tasks; k++)
        work += (double)job->work[k];
      own->jobs++;
      own->work += work;
      switch (result->answers[i])
        {
        case MD_MODEL_IN_GOAL:
          own->in_goal++;
          break;
        case MD_MODEL_REJECTED:
          own->rejected++;
          continue;
        case MD_MODEL_LATE:
        case MD_MODEL_UNANSWERED:
          own->late++;
          break;
        }
      own->slot_time += work;
    }
}

static double
share_in_goal (const Figures *figures)
{
  return (double)figures->in_goal / figures->jobs;
}

static double
share_late (const Figures *figures)
{
  return (double)figures->late / figures->jobs;
}

/* Plays a peak with several seeds and adds the figures up. */
static void
play (const char *title, const Peak *peak, Figures figures[QUEUES])
{
  memset (figures, 0, QUEUES * sizeof *figures);
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      MD_AUTO_WORKLOAD workload = { 0 };
      MD_AUTO_RESULT result = { 0 };
      MdError error = { 0 };

      make_workload (&workload, peak, seed);
      ck_assert_int_eq (md_model_simulate (&workload, MD_MODEL_ENTRIES, &result, &error), MD_OK);
      add_figures (figures, &workload, &result);
    }
  for (uint32_t q = 0; q < QUEUES; q++)
    printf ("%-28s queue %u priority %u: %5u jobs, in time %.3f, late %.3f, rejected %.3f, "
            "admitted slot time %.3f of its demand\n",
            title, q, peak->priorities[q], figures[q].jobs, share_in_goal (&figures[q]),
            share_late (&figures[q]), (double)figures[q].rejected / figures[q].jobs,
            figures[q].slot_time / figures[q].work);
}

#define EQUAL_SHARES                                                                               \
  {                                                                                                \
    1 / 3.0, 1 / 3.0, 1 / 3.0                                                                      \
  }

/* Guards against a queue of the first priority that is late because of the others. */
START_TEST (first_priority_is_served_at_the_peak)
{
  Peak without = { .load = 1.5, .shares = EQUAL_SHARES };
  Peak with = { .load = 1.5, .shares = EQUAL_SHARES, .priorities = { 0, 1, 2 } };
  Figures before[QUEUES];
  Figures after[QUEUES];

  play ("without priorities", &without, before);
  play ("with priorities", &with, after);
  ck_assert_double_gt (share_in_goal (&after[0]), share_in_goal (&before[0]));
}
END_TEST

/* Guards against priorities that change something for queues which all have the same one. */
START_TEST (equal_priorities_are_identical)
{
  Peak plain = { .load = 1.5, .shares = EQUAL_SHARES };
  Peak equal = { .load = 1.5, .shares = EQUAL_SHARES, .priorities = { 7, 7, 7 } };
  MD_AUTO_WORKLOAD a = { 0 };
  MD_AUTO_WORKLOAD b = { 0 };
  MD_AUTO_RESULT result_a = { 0 };
  MD_AUTO_RESULT result_b = { 0 };
  MdError error = { 0 };

  make_workload (&a, &plain, 1);
  make_workload (&b, &equal, 1);
  ck_assert_int_eq (md_model_simulate (&a, MD_MODEL_ENTRIES, &result_a, &error), MD_OK);
  ck_assert_int_eq (md_model_simulate (&b, MD_MODEL_ENTRIES, &result_b, &error), MD_OK);
  ck_assert_uint_eq (a.n_jobs, b.n_jobs);
  ck_assert_uint_gt (result_a.rejected, 100);
  ck_assert_int_eq (memcmp (result_a.answers, result_b.answers,
                            a.n_jobs * sizeof *result_a.answers),
                    0);
  ck_assert_uint_eq (result_a.starts, result_b.starts);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("priority");

  tcase_set_timeout (tc, 900); /* for the thread sanitizer beside load */
  tcase_add_test (tc, more_important_run_starts_first);
  tcase_add_test (tc, late_run_goes_behind_those_in_time);
  tcase_add_test (tc, overtaken_run_starts_after_a_bound);
  tcase_add_test (tc, waiting_alone_is_not_being_overtaken);
  tcase_add_test (tc, equal_priorities_keep_their_order);
  tcase_add_test (tc, priority_of_a_route);
  tcase_add_test (tc, first_priority_is_served_at_the_peak);
  tcase_add_test (tc, equal_priorities_are_identical);
  return run_suite ("priority", tc);
}
