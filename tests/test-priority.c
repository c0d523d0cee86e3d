/* test-priority.c -- priorities and floors when capacity is short, without a network

   Guards against the failure seen on a day with too little capacity: the queue of the first
   priority, whose jobs are the widest and shortest, was late or failed 543 times of 6,572, and the
   one of the last priority three times of 1,298, because no part read the priority. */

#include "fixture.h"
#include "model.h"
#include "platform.h"
#include "run-entry.h"
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
      ck_assert_uint_eq (routes->routes[0]->priority, cases[i].priority);
      md_routes_free (routes);
    }
}
END_TEST

/* ------------------------------------------------------------------ */
/* Pressure                                                            */

/* Guards against a pressure that counts runs instead of core time, or exceeds its range. */
START_TEST (pressure_is_the_core_time_that_waits)
{
  MdRunQueue queue = queue_of (10);
  MdRun runs[40];
  double frees = 10.0 * CPU * (double)md_admit_wait_bound (1);

  ck_assert_uint_eq (md_pressure_of_queue (&queue, MD_MS), 0);
  for (unsigned i = 0; i < 10; i++)
    {
      runs[i] = run_of (0, MD_SECOND);
      md_runqueue_add (&queue, &runs[i], MD_MS);
      ck_assert_ptr_nonnull (md_runqueue_next (&queue, MD_MS));
    }
  ck_assert_uint_eq (md_pressure_of_queue (&queue, MD_MS), 0);
  runs[10] = run_of (0, MD_SECOND);
  md_runqueue_add (&queue, &runs[10], MD_MS);
  ck_assert_uint_eq (md_pressure_of_queue (&queue, MD_MS),
                     (uint32_t)(1000 * CPU * 100.0 * MD_MS / frees));
  for (unsigned i = 11; i < MD_ARRAY_SIZE (runs); i++)
    {
      runs[i] = run_of (0, MD_SECOND);
      md_runqueue_add (&queue, &runs[i], MD_MS);
    }
  ck_assert_uint_eq (md_pressure_of_queue (&queue, MD_MS), MD_FULL_PRESSURE);
}
END_TEST

/* Guards against a figure that stays in force when guards go silent: jobs would be rejected for a
   shortage that has passed. */
START_TEST (pressure_gets_old)
{
  MdWorker a
      = { .state = MD_WORKER_READY, .connected = true, .traits = test_traits ("calc", NULL, NULL) };
  MdWorker b = a;
  MdWorker sparse = a;
  MdWorker other = a;
  MdWorker *list[] = { &a, &b, &sparse, &other };
  MdWorkers workers = { .workers = list, .n = MD_ARRAY_SIZE (list) };
  MdPressure pressure = { .pool = MD_STR ("calc") };
  MdTime now = 10 * MD_SECOND;

  md_pressure_update (&pressure, &workers, now);
  ck_assert_double_eq (md_pressure_now (&pressure, now), 0); /* nobody has reported */
  a.pressure = 1000;
  b.pressure = 500;
  a.pressure_at = b.pressure_at = now;
  sparse.sparse = true;
  sparse.pressure_at = other.pressure_at = now;
  other.traits = test_traits ("other", NULL, NULL);
  now += 20 * MD_MS;
  md_pressure_update (&pressure, &workers, now);
  ck_assert_uint_eq (pressure.permille, 750);
  ck_assert_double_eq_tol (md_pressure_now (&pressure, now), 0.75 * 0.98, 1e-9);
  /* One guard goes silent: its report leaves the mean after 600 ms. */
  a.pressure_at += 500 * MD_MS;
  now += 590 * MD_MS;
  md_pressure_update (&pressure, &workers, now);
  ck_assert_uint_eq (pressure.permille, 1000);
  /* The other one as well: the mean stays and counts less, until it is a second old. */
  now = a.pressure_at + 900 * MD_MS;
  md_pressure_update (&pressure, &workers, now);
  ck_assert_double_eq_tol (md_pressure_now (&pressure, now), 0.1, 1e-9);
  ck_assert_double_eq (md_pressure_now (&pressure, a.pressure_at + MD_SECOND), 0);
  ck_assert_double_eq (md_pressure_now (&pressure, a.pressure_at + 5 * MD_SECOND), 0);
}
END_TEST

/* Guards against a report that was held up and passes for a new one. */
START_TEST (late_report_is_old)
{
  MdStampClock clock = { 0 };
  MdTime shift = 5 * MD_SECOND; /* between the clocks */
  MdTime now = 100 * MD_SECOND;

  for (int i = 0; i < 100; i++, now += 10 * MD_MS)
    ck_assert_int_le (md_stamp_age (&clock, now - shift - (i % 3) * MD_MS, now), 3 * MD_MS);
  ck_assert_int_ge (md_stamp_age (&clock, now - shift - 400 * MD_MS, now), 399 * MD_MS);
  now += 10 * MD_MS;
  ck_assert_int_le (md_stamp_age (&clock, now - shift, now), MD_MS);
  /* The guard was suspended: its clock is behind from now on, which is forgotten in the end. */
  shift += 300 * MD_MS;
  ck_assert_int_ge (md_stamp_age (&clock, now - shift, now), 299 * MD_MS);
  for (int i = 0; i < 20; i++, now += MD_SECOND)
    md_stamp_age (&clock, now - shift, now);
  ck_assert_int_le (md_stamp_age (&clock, now - shift, now), MD_MS);
}
END_TEST

/* Guards against a report that arrives twice, or after a newer one, and replaces the newer figure
   or makes an old one new. */
START_TEST (only_the_newest_stamp_counts)
{
  MdRunEntry entry = { .now = 100 * MD_SECOND };
  MdEntryGuard guard = { .entry = &entry };
  Md__RunReport report = MD__RUN_REPORT__INIT;
  MdTuning tuning;
  MdLinkHandler handler = { 0 };

  md_tuning_default (&tuning);
  entry.daemon.links = md_links_new (&tuning, &handler, &entry);
  guard.link = md_links_dial (entry.daemon.links, MD_STR ("127.200.0.1:9"), &guard);
  report.stamp_us = 50 * MD_SECOND;
  report.pressure_permille = 400;
  md_entry_report (&entry, &guard, &report);
  ck_assert_uint_eq (guard.worker.pressure, 400);
  ck_assert_int_eq (guard.worker.pressure_at, entry.now);
  entry.now += 100 * MD_MS; /* the same again */
  md_entry_report (&entry, &guard, &report);
  ck_assert_int_eq (guard.worker.pressure_at, entry.now - 100 * MD_MS);
  report.stamp_us -= 10 * MD_MS; /* an earlier one */
  report.pressure_permille = 900;
  md_entry_report (&entry, &guard, &report);
  ck_assert_uint_eq (guard.worker.pressure, 400);
  report.stamp_us = 50 * MD_SECOND + 40 * MD_MS; /* a newer one, 60 ms late */
  report.pressure_permille = UINT32_MAX;
  md_entry_report (&entry, &guard, &report);
  ck_assert_uint_eq (guard.worker.pressure, MD_FULL_PRESSURE);
  ck_assert_int_ge (entry.now - guard.worker.pressure_at, 58 * MD_MS);
  md_links_free (entry.daemon.links);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Bounds of admission                                                 */

#define NOW (100 * MD_SECOND)

typedef struct
{
  MdDemand demands[4];
  MdAdmitted admitted[4];
  MdQueueLoad loads[4];
} Pool;

/* Four queues; the first two have the first priority. All have asked for and got the same. */
static void
pool_init (Pool *pool)
{
  static const uint8_t priorities[] = { 0, 0, 1, 3 };

  *pool = (Pool){ 0 };
  for (unsigned i = 0; i < MD_ARRAY_SIZE (priorities); i++)
    {
      md_demand_add (&pool->demands[i], 1e6, NOW);
      md_admitted_add (&pool->admitted[i], 1e6, NOW);
      pool->loads[i]
          = (MdQueueLoad){ &pool->demands[i], &pool->admitted[i], .priority = priorities[i] };
    }
}

static MdTime
bound_of (const Pool *pool, uint32_t own, double pressure)
{
  return md_priority_bound (pool->loads, 4, own, 1, pressure, NOW).wait_bound;
}

/* Guards against a bound that changes without pressure, or for the first priority, or that does not
   fall with the demand of more important queues. */
START_TEST (bound_falls_with_the_priority)
{
  Pool pool;
  MdTime usual = md_admit_wait_bound (1);

  pool_init (&pool);
  for (uint32_t i = 0; i < 4; i++)
    ck_assert_int_eq (bound_of (&pool, i, 0), usual);
  ck_assert_int_eq (bound_of (&pool, 0, 1), usual);
  ck_assert_int_eq (bound_of (&pool, 1, 1), usual);
  ck_assert_int_lt (bound_of (&pool, 2, 1), usual / 2);
  ck_assert_int_gt (bound_of (&pool, 2, 0.1), bound_of (&pool, 2, 1));
  ck_assert_int_lt (bound_of (&pool, 3, 1), bound_of (&pool, 2, 1));
  /* More important queues that ask for little take little from the others. */
  pool.demands[0].work = pool.demands[1].work = 1e4;
  ck_assert_int_gt (bound_of (&pool, 2, 1), usual * 9 / 10);
}
END_TEST

/* Guards against a queue of a low priority that gets nothing while the peak lasts, and against a
   floor that counts jobs instead of slot time. */
START_TEST (queue_below_its_floor_counts_as_first)
{
  Pool pool;

  pool_init (&pool);
  ck_assert (!md_priority_bound (pool.loads, 4, 3, 1, 1, NOW).floor);
  pool.admitted[3] = (MdAdmitted){ 0 };
  md_admitted_add (&pool.admitted[3], 0.1e6, NOW); /* of 3.1e6, a quarter of which is 0.78e6 */
  ck_assert (md_priority_bound (pool.loads, 4, 3, 1, 1, NOW).floor);
  ck_assert_int_eq (bound_of (&pool, 3, 1), md_admit_wait_bound (1));
  md_admitted_add (&pool.admitted[3], 0.15e6, NOW);
  ck_assert (!md_priority_bound (pool.loads, 4, 3, 1, 1, NOW).floor);
  /* What was admitted more than 2 s ago is forgotten. */
  ck_assert_double_eq_tol (md_admitted_sum (&pool.admitted[3], NOW + 1700 * MD_MS), 0.25e6, 1);
  ck_assert_double_eq (md_admitted_sum (&pool.admitted[3], NOW + 2 * MD_SECOND), 0);
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
        uint32_t draws = 1 + (uint32_t)expected;

        for (uint32_t k = 0; k < draws; k++)
          if (md_model_uniform (&random) < expected / draws)
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

/* Guards against a queue of the first priority that is late or rejected because of the others, and
   against priorities that waste capacity. */
START_TEST (first_priority_is_served_at_the_peak)
{
  static const double loads[] = { 0.8, 1.0, 1.2, 1.5, 2.0 };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (loads); i++)
    {
      Peak without = { .load = loads[i], .shares = EQUAL_SHARES };
      Peak with = { .load = loads[i], .shares = EQUAL_SHARES, .priorities = { 0, 1, 2 } };
      Figures before[QUEUES];
      Figures after[QUEUES];
      double all_before = 0;
      double all_after = 0;

      printf ("load %.1f\n", loads[i]);
      play ("without priorities", &without, before);
      play ("with priorities", &with, after);
      for (uint32_t q = 0; q < QUEUES; q++)
        {
          all_before += share_in_goal (&before[q]) / QUEUES;
          all_after += share_in_goal (&after[q]) / QUEUES;
        }
      printf ("mean in time %.3f without, %.3f with\n", all_before, all_after);
      ck_assert_double_ge (share_in_goal (&after[0]), share_in_goal (&before[0]));
    }
}
END_TEST

/* Guards against a queue of the last priority that starves, for as long as a peak of the first
   priority alone exceeds the capacity. */
START_TEST (floor_is_kept)
{
  Peak peak = { .load = 2.6, .shares = { 0.5, 0.25, 0.25 }, .priorities = { 0, 1, 2 } };
  Figures figures[QUEUES];
  double admitted = 0;

  play ("first priority 1.3", &peak, figures);
  for (uint32_t q = 0; q < QUEUES; q++)
    admitted += figures[q].slot_time;
  for (uint32_t q = 0; q < QUEUES; q++)
    printf ("queue %u: %.3f of the admitted slot time\n", q, figures[q].slot_time / admitted);
  ck_assert_double_gt (figures[0].slot_time, admitted / 2);
  for (uint32_t q = 1; q < QUEUES; q++)
    ck_assert_double_ge (figures[q].slot_time, admitted * 0.9 * 0.25 / QUEUES);
}
END_TEST

/* Guards against a worker that turns slow and delays the first priority with what waits there. */
START_TEST (slow_worker_delays_the_last_priority)
{
  Peak without = { .load = 1.3, .shares = EQUAL_SHARES, .slow_worker = true };
  Peak with = without;
  Figures before[QUEUES];
  Figures after[QUEUES];

  with.priorities[1] = 1;
  with.priorities[2] = 2;
  play ("slow worker, without", &without, before);
  play ("slow worker, with", &with, after);
  ck_assert_double_gt (share_in_goal (&after[0]), share_in_goal (&before[0]) + 0.2);
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
  tcase_add_test (tc, floor_is_kept);
  tcase_add_test (tc, slow_worker_delays_the_last_priority);
  tcase_add_test (tc, equal_priorities_are_identical);
  tcase_add_test (tc, pressure_is_the_core_time_that_waits);
  tcase_add_test (tc, pressure_gets_old);
  tcase_add_test (tc, late_report_is_old);
  tcase_add_test (tc, only_the_newest_stamp_counts);
  tcase_add_test (tc, bound_falls_with_the_priority);
  tcase_add_test (tc, queue_below_its_floor_counts_as_first);
  return run_suite ("priority", tc);
}
