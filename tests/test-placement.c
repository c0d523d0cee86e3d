/* test-placement.c -- placement, admission, shares of queues, steps of jobs

   Each test states the load pattern or the failure it guards against. */

#include "fixture.h"
#include "run-sched.h"
#include "suite.h"

#define N 4

typedef struct
{
  MdWorker worker[N];
  MdWorker *list[N];
  MdWorkers all;
} Fleet;

static void
fleet_init (Fleet *fleet)
{
  *fleet = (Fleet){ 0 };
  for (unsigned i = 0; i < N; i++)
    {
      MdWorker *worker = &fleet->worker[i];

      worker->state = MD_WORKER_READY;
      worker->connected = true;
      worker->capacity = worker->free = (MdResources){ 64000, 262144, 0 };
      worker->speed = 1;
      worker->traits = test_traits ("calc", i % 2 ? "r1" : "r0", NULL);
      fleet->list[i] = worker;
    }
  fleet->all = (MdWorkers){ .workers = fleet->list, .n = N, .remote_factor = 1.5 };
}

static MdTaskRequirements
need_of (MdTime work)
{
  return (MdTaskRequirements){ .pool = MD_STR ("calc"),
                               .resources = { 6200, 64, 0 },
                               .work = (double)work,
                               .goal = work * 16 / 10 + 60 * MD_MS,
                               .limit = 1500 * MD_MS };
}

START_TEST (only_workers_that_can_run_it_are_chosen)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  fleet.worker[0].state = MD_WORKER_DRAINING;
  fleet.worker[1].connected = false;
  fleet.worker[2].traits = test_traits ("other", "r0", NULL);
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[3]);
  need.required_label = MD_STR ("a100");
  ck_assert_ptr_null (md_place (&fleet.all, &need, NULL, NULL, 0).worker);
  ck_assert (!md_place_possible (&fleet.all, &need, 1));
}
END_TEST

START_TEST (data_is_near)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  need.affinity = MD_STR ("r1");
  fleet.worker[1].speed = 0.8;
  fleet.worker[3].state = MD_WORKER_DRAINING;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[1]);
}
END_TEST

START_TEST (bound_per_worker_holds)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);
  uint32_t taken[N] = { 1, 1, 0, 1 };

  fleet_init (&fleet);
  need.max_per_worker = 1;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, taken, NULL, 0).worker, &fleet.worker[2]);
  taken[2] = 1;
  ck_assert_ptr_null (md_place (&fleet.all, &need, taken, NULL, 0).worker);
}
END_TEST

/* Load pattern: a burst fills the fast workers. A task that meets its goal on a slow
   worker that is free must not queue for a fast one. */
START_TEST (free_slow_worker_before_a_wait)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (200 * MD_MS);

  fleet_init (&fleet);
  for (unsigned i = 0; i < N - 1; i++)
    {
      fleet.worker[i].speed = 1.4;
      fleet.worker[i].free.cpu = 0;
      fleet.worker[i].wait = 30 * MD_MS;
    }
  fleet.worker[N - 1].speed = 0.6;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[N - 1]);
  /* Where the slow one misses the goal, the wait is shorter. */
  fleet.worker[N - 1].speed = 0.4;
  ck_assert_ptr_ne (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[N - 1]);
}
END_TEST

/* Load pattern: tasks of 60 ms and 900 ms, few fast workers. Only these end the long
   ones in time, so short ones leave their last slots alone. */
START_TEST (last_rooms_of_a_fast_worker_are_kept)
{
  Fleet fleet;
  MdTaskRequirements brief = need_of (60 * MD_MS);
  MdTaskRequirements lengthy = need_of (900 * MD_MS);

  fleet_init (&fleet);
  for (unsigned i = 1; i < N; i++)
    fleet.worker[i].speed = 0.83;
  fleet.worker[0].speed = 1.8;
  fleet.worker[0].free.cpu = 13000;
  ck_assert_ptr_ne (md_place (&fleet.all, &brief, NULL, NULL, 0).worker, &fleet.worker[0]);
  ck_assert_ptr_eq (md_place (&fleet.all, &lengthy, NULL, NULL, 0).worker, &fleet.worker[0]);
}
END_TEST

/* Guards against tasks that are late because their estimate was a little short: a slow
   worker that takes nine tenths of the goal is left alone while a busy fast one has room. */
START_TEST (slow_worker_needs_a_margin)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  fleet.worker[0].speed = 1.4;
  fleet.worker[0].free.cpu = 20000;
  fleet.worker[1].speed = 0.5;
  fleet.worker[2].state = fleet.worker[3].state = MD_WORKER_DRAINING;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[0]);
  fleet.worker[1].speed = 0.6;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[1]);
}
END_TEST

START_TEST (reserved_room_counts)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);
  unsigned used[N] = { 0 };

  fleet_init (&fleet);
  for (unsigned k = 0; k < 40; k++)
    {
      MdPlacement placement = md_place (&fleet.all, &need, NULL, NULL, 0);

      ck_assert_int_eq (placement.wait, 0);
      used[placement.worker - fleet.worker]++;
      md_worker_reserve (placement.worker, need.resources, placement.run_time);
    }
  for (unsigned i = 0; i < N; i++)
    ck_assert_uint_eq (used[i], 10);
  ck_assert_int_gt (md_place (&fleet.all, &need, NULL, NULL, 0).wait, 0);
}
END_TEST

/* Failure: a worker fails whatever it starts, at once, and looks free for ever. */
START_TEST (failing_worker_is_tried_now_and_then)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  fleet.worker[0].speed = 3;
  for (uint32_t failures = 1; failures <= 3; failures++)
    md_worker_set_failures (&fleet.worker[0], failures, 0);
  ck_assert_ptr_ne (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[0]);
  for (unsigned i = 0; i < N; i++)
    fleet.worker[i].reported_at = MD_SECOND;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, MD_SECOND).worker, &fleet.worker[0]);
  fleet.worker[0].outstanding = 1;
  ck_assert_ptr_ne (md_place (&fleet.all, &need, NULL, NULL, MD_SECOND).worker, &fleet.worker[0]);
  md_worker_set_failures (&fleet.worker[0], 0, MD_SECOND);
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, MD_SECOND).worker, &fleet.worker[0]);
}
END_TEST

START_TEST (stalled_worker_is_left_alone)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  fleet.worker[0].speed = 3;
  fleet.worker[0].stalled = true;
  ck_assert_ptr_ne (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[0]);
}
END_TEST

START_TEST (busy_queue_yields_first)
{
  MdDemand demand[3] = { 0 };
  const MdDemand *list[3] = { &demand[0], &demand[1], &demand[2] };

  md_demand_add (&demand[0], 100, 0);
  md_demand_add (&demand[1], 140, 0);
  md_demand_add (&demand[2], 250, 0);
  ck_assert (md_admit_wait_bound (md_demand_ratio (list, 3, &demand[2], 0))
             < md_admit_wait_bound (md_demand_ratio (list, 3, &demand[1], 0)));
  ck_assert_double_eq_tol (md_demand_ratio (list, 1, &demand[0], 0), 1.0, 1e-9);
  /* A queue that has gone quiet is forgotten. */
  md_demand_add (&demand[0], 100, 60 * MD_SECOND);
  ck_assert_double_lt (md_demand_ratio (list, 3, &demand[2], 60 * MD_SECOND), 0.01);
}
END_TEST

/* Load pattern: a burst. What cannot meet its goal is turned away on arrival. */
START_TEST (late_job_is_rejected_only_behind_others)
{
  MdForecast fits = { .wait = 20 * MD_MS,
                      .finish = 100 * MD_MS,
                      .goal = 150 * MD_MS,
                      .limit = 450 * MD_MS,
                      .demand = 1 };
  MdForecast queued = fits;
  MdForecast slow = fits;

  ck_assert_int_eq (md_admit_run (&fits), MD_ADMIT_NOW);
  queued.finish = 200 * MD_MS;
  ck_assert_int_eq (md_admit_run (&queued), MD_ADMIT_REJECT);
  slow.wait = 0;
  slow.finish = 200 * MD_MS;
  ck_assert_int_eq (md_admit_run (&slow), MD_ADMIT_LATE);
  slow.finish = 500 * MD_MS;
  ck_assert_int_eq (md_admit_run (&slow), MD_ADMIT_REJECT);
}
END_TEST

/* Load pattern: an entry whose processor share is used up, beside workers that are free. Guards
   against an entry that admits what it cannot answer in time (issue 26), and against one that
   rejects jobs because it was paused for a moment. */
START_TEST (late_entry_rejects_at_once)
{
  MdForecast idle
      = { .finish = 100 * MD_MS, .goal = 150 * MD_MS, .limit = 450 * MD_MS, .demand = 1 };
  MdForecast late = idle;
  MdForecast modest;

  late.lag = 15 * MD_MS;
  ck_assert (!md_admit_is_too_late (&late));
  ck_assert_int_eq (md_admit_run (&late), MD_ADMIT_NOW);
  /* The answer would come after the goal. */
  late.lag = 60 * MD_MS;
  ck_assert (!md_admit_is_too_late (&late));
  ck_assert_int_eq (md_admit_run (&late), MD_ADMIT_REJECT);
  /* In time, but behind the jobs that are late already. */
  late.goal = 1000 * MD_MS;
  ck_assert_int_eq (md_admit_run (&late), MD_ADMIT_NOW);
  late.lag = 90 * MD_MS;
  ck_assert (md_admit_is_too_late (&late));
  ck_assert_int_eq (md_admit_run (&late), MD_ADMIT_REJECT);
  ck_assert_int_ge (md_admit_retry_after (&late, 0), late.lag);
  /* A queue that asks for less than its share is served longer. */
  modest = late;
  modest.demand = 0.5;
  ck_assert_int_eq (md_admit_run (&modest), MD_ADMIT_NOW);
}
END_TEST

START_TEST (retries_are_spread)
{
  MdForecast forecast = { .wait = 400 * MD_MS };
  MdTime first = md_admit_retry_after (&forecast, 0);
  MdTime last = md_admit_retry_after (&forecast, (uint64_t)(400 * MD_MS) - 1);
  MdForecast unlimited = { .wait = INT64_MAX };

  ck_assert_int_eq (first, 400 * MD_MS);
  ck_assert_int_gt (last, 790 * MD_MS);
  /* All workers are avoided; the sum overflowed, so that callers were told no time at all. */
  ck_assert_int_eq (md_admit_retry_after (&unlimited, UINT64_MAX), 5 * MD_SECOND);
}
END_TEST

/* Guards against a second crash that takes down the runs of others as well, and does not tell who
   is to blame (issue 29). */
START_TEST (suspect_runs_on_an_idle_worker)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  need.alone = true;
  for (unsigned i = 1; i < N; i++)
    if (i != 2)
      md_resources_subtract (&fleet.worker[i].free, need.resources);
  fleet.worker[0].speed = 0.5;
  ck_assert_ptr_eq (md_place (&fleet.all, &need, NULL, NULL, 0).worker, &fleet.worker[2]);
  md_worker_reserve (&fleet.worker[2], fleet.worker[2].capacity, 100 * MD_MS);
  /* The last idle worker is left to others. */
  ck_assert_ptr_null (md_place (&fleet.all, &need, NULL, NULL, 0).worker);
  need.alone = false;
  ck_assert_ptr_nonnull (md_place (&fleet.all, &need, NULL, NULL, 0).worker);
}
END_TEST

static void
job_init (MdRunJob *job, uint32_t attempts)
{
  MdRunSpec spec = { .n_steps = 3 };

  spec.spec = calloc (1, 1);
  spec.steps = calloc (3, sizeof *spec.steps);
  for (unsigned i = 0; i < 3; i++)
    spec.steps[i].n_tasks = 2;
  spec.steps[2].depends_on = 3;
  ck_assert_int_eq (md_runjob_init (job, &spec, attempts, NULL), MD_OK);
}

static void
end_task (MdRunJob *job, uint32_t step, uint32_t task, MdRunResult how)
{
  md_runjob_record_order (job, step, task, NULL);
  md_runjob_record_end (job, step, task, how);
}

static void
gang_init (MdRunJob *job)
{
  MdRunSpec spec = { .n_steps = 2 };

  spec.spec = calloc (1, 1);
  spec.steps = calloc (2, sizeof *spec.steps);
  spec.steps[0] = (MdRunStep){ .n_tasks = 3, .gang = true };
  spec.steps[1] = (MdRunStep){ .n_tasks = 1, .depends_on = 1 };
  ck_assert_int_eq (md_runjob_init (job, &spec, 2, NULL), MD_OK);
}

static void
order_gang (MdRunJob *job)
{
  ck_assert_uint_eq (job->ready, 3);
  for (uint32_t k = 0; k < 3; k++)
    md_runjob_record_order (job, 0, k, NULL);
}

/* Guards against a task that crashes one worker after another (issue 29). */
START_TEST (task_that_crashes_workers_is_given_up)
{
  MdRunJob job;

  job_init (&job, 1);
  end_task (&job, 0, 0, MD_RUN_CRASHED);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  ck_assert (!md_runjob_is_suspect (&job));
  end_task (&job, 0, 0, MD_RUN_CRASHED_ALONE);
  ck_assert_int_eq (job.state, MD_RUNJOB_CRASHING);
  md_runjob_clear (&job);

  gang_init (&job);
  for (uint32_t i = 0; i < 2; i++)
    {
      order_gang (&job);
      for (uint32_t k = 0; k < 3 && job.state == MD_RUNJOB_ACTIVE; k++)
        md_runjob_record_end (&job, 0, k, MD_RUN_CRASHED_ALONE);
    }
  ck_assert_int_eq (job.state, MD_RUNJOB_CRASHING);
  md_runjob_clear (&job);
}
END_TEST

/* Guards against a job that fails because a task shared two workers with one that crashed them, and
   against a task that is never blamed because it never ran alone. */
START_TEST (task_that_shared_crashed_workers_has_another_chance)
{
  MdRunJob job;

  job_init (&job, 1);
  end_task (&job, 0, 0, MD_RUN_CRASHED_ALONE);
  end_task (&job, 0, 0, MD_RUN_CRASHED);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  ck_assert (md_runjob_is_suspect (&job));
  ck_assert_int_eq (job.tasks[0][0].state, MD_TASK_READY);
  end_task (&job, 0, 1, MD_RUN_CRASHED);
  end_task (&job, 0, 0, MD_RUN_LEASE_EXPIRED);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  end_task (&job, 0, 0, MD_RUN_CRASHED);
  ck_assert_int_eq (job.state, MD_RUNJOB_CRASHING);
  md_runjob_clear (&job);
}
END_TEST

/* Guards against a member that is ordered again while the others of its gang still run
   (its run number would differ from theirs), and against a second count of one end. */
START_TEST (gang_goes_together)
{
  MdRunJob job;

  gang_init (&job);
  order_gang (&job);
  md_runjob_record_end (&job, 0, 1, MD_RUN_REJECTED);
  ck_assert (md_runjob_gang_broken (&job, 0));
  md_runjob_record_end (&job, 0, 0, MD_RUN_STOPPED);
  ck_assert_uint_eq (job.ready, 0);
  md_runjob_record_end (&job, 0, 2, MD_RUN_STOPPED);
  ck_assert (!md_runjob_gang_broken (&job, 0));
  order_gang (&job);
  for (uint32_t k = 0; k < 3; k++)
    {
      ck_assert_int_eq (job.tasks[1][0].state, MD_TASK_BLOCKED);
      md_runjob_record_end (&job, 0, k, MD_RUN_DONE);
    }
  ck_assert_uint_eq (job.ready, 1);
  ck_assert_uint_eq (job.ordered, 0);
  md_runjob_clear (&job);
}
END_TEST

/* Guards against a gang that can never be at work together: its members held all workers until they
   ended alone (review 5). */
START_TEST (gang_is_possible_if_all_have_room_together)
{
  Fleet fleet;
  MdTaskRequirements need = need_of (100 * MD_MS);

  fleet_init (&fleet);
  need.resources.cpu = 30000;
  ck_assert (md_place_possible (&fleet.all, &need, 2 * N));
  ck_assert (!md_place_possible (&fleet.all, &need, 2 * N + 1));
  need.max_per_worker = 1;
  ck_assert (md_place_possible (&fleet.all, &need, N));
  ck_assert (!md_place_possible (&fleet.all, &need, N + 1));
  need.max_per_worker = 0;
  fleet.worker[0].state = MD_WORKER_DRAINING;
  ck_assert (!md_place_possible (&fleet.all, &need, 2 * N));
  /* Busy workers count as well: they have room later. */
  fleet.worker[1].free = (MdResources){ 0 };
  ck_assert (md_place_possible (&fleet.all, &need, 2 * N - 2));
}
END_TEST

/* Guards against members that wait behind others of their gang, which wait for them. */
START_TEST (gang_is_placed_only_if_all_start_at_once)
{
  Fleet fleet;
  MdSavedResources saved[N];
  MdTaskRequirements need = need_of (100 * MD_MS);
  MdTime finish = 0;

  fleet_init (&fleet);
  need.resources.cpu = 60000;
  need.at_once = true;
  ck_assert (md_place_try (&fleet.all, &need, N, NULL, saved, &finish, 0));
  ck_assert (!md_place_try (&fleet.all, &need, N + 1, NULL, saved, &finish, 0));
  fleet.worker[0].free.cpu = 50000;
  ck_assert (!md_place_try (&fleet.all, &need, N, NULL, saved, &finish, 0));
  need.at_once = false;
  ck_assert (md_place_try (&fleet.all, &need, N, NULL, saved, &finish, 0));
}
END_TEST

/* Guards against a gang that is done twice because the end of one member was lost, and
   against one that fails oftener than its queue allows. */
START_TEST (gang_ends_as_one)
{
  MdRunJob job;

  gang_init (&job);
  order_gang (&job);
  md_runjob_record_end (&job, 0, 0, MD_RUN_DONE);
  md_runjob_record_end (&job, 0, 1, MD_RUN_LEASE_EXPIRED);
  ck_assert (!md_runjob_gang_broken (&job, 0));
  md_runjob_record_end (&job, 0, 2, MD_RUN_DONE);
  ck_assert_int_eq (job.tasks[1][0].state, MD_TASK_READY);
  md_runjob_clear (&job);
  gang_init (&job);
  for (unsigned attempt = 0; attempt < 2; attempt++)
    {
      ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
      order_gang (&job);
      md_runjob_record_end (&job, 0, 0, MD_RUN_FAILED);
      md_runjob_record_end (&job, 0, 1, MD_RUN_GANG_BROKEN);
      md_runjob_record_end (&job, 0, 2, MD_RUN_GANG_BROKEN);
    }
  ck_assert_int_eq (job.state, MD_RUNJOB_FAILED);
  md_runjob_clear (&job);
}
END_TEST

START_TEST (steps_wait_for_those_before)
{
  double work[3] = { 10, 30, 5 };
  MdRunJob job;

  job_init (&job, 3);
  ck_assert_uint_eq (job.ready, 4);
  ck_assert_double_eq (md_runjob_critical_path (&job, work), 35);
  for (uint32_t i = 0; i < 2; i++)
    for (uint32_t k = 0; k < 2; k++)
      {
        ck_assert_int_eq (job.tasks[2][0].state, MD_TASK_BLOCKED);
        end_task (&job, i, k, MD_RUN_DONE);
      }
  ck_assert_int_eq (job.tasks[2][0].state, MD_TASK_READY);
  end_task (&job, 2, 0, MD_RUN_DONE);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  end_task (&job, 2, 1, MD_RUN_DONE);
  ck_assert_int_eq (job.state, MD_RUNJOB_COMPLETED);
  md_runjob_clear (&job);
}
END_TEST

START_TEST (only_failures_use_up_attempts)
{
  MdRunJob job;

  job_init (&job, 2);
  for (int i = 0; i < 5; i++)
    end_task (&job, 0, 0, i % 2 ? MD_RUN_LEASE_EXPIRED : MD_RUN_REJECTED);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  end_task (&job, 0, 0, MD_RUN_FAILED);
  ck_assert_int_eq (job.state, MD_RUNJOB_ACTIVE);
  end_task (&job, 0, 0, MD_RUN_FAILED);
  ck_assert_int_eq (job.state, MD_RUNJOB_FAILED);
  md_runjob_clear (&job);
}
END_TEST

START_TEST (unsupported_jobs_are_told_apart)
{
  MdRunSpec spec = { .n_steps = 1, .repeat_count = 2 };
  MdError error = { 0 };
  MdRunJob job;

  spec.steps = calloc (1, sizeof *spec.steps);
  spec.steps[0].n_tasks = 1;
  ck_assert_int_eq (md_runjob_init (&job, &spec, 1, &error), MD_E_INVALID);
  ck_assert_str_ne (error.detail, "");
  md_runjob_clear (&job);
}
END_TEST

/* Guards against a job that stops its entry: 64 steps of 4,096 tasks took 165 MB and the engine for
   more than half a minute. */
START_TEST (job_with_too_many_tasks_is_refused)
{
  for (uint32_t steps = 2; steps <= 3; steps++)
    {
      MdRunSpec spec = { .n_steps = steps };
      MdError error = { 0 };
      MdRunJob job;

      spec.steps = calloc (steps, sizeof *spec.steps);
      for (uint32_t i = 0; i < steps; i++)
        spec.steps[i].n_tasks = i < 2 ? MD_MAX_STEP_TASKS : 1;
      ck_assert_int_eq (md_runjob_init (&job, &spec, 1, &error), steps == 2 ? MD_OK : MD_E_INVALID);
      ck_assert_str_eq (error.detail, steps == 2 ? "" : "at most 8192 tasks are possible");
      md_runjob_clear (&job);
    }
}
END_TEST

/* Load pattern: a step whose tasks slow each other down when they are spread, on racks of
   which the one with the fastest worker has no room for all. Guards against tasks that go
   one by one to the best worker of any rack. */
START_TEST (tasks_of_one_rack_stay_together)
{
  Fleet fleet;
  MdSavedResources saved[N];
  MdTaskRequirements need = need_of (900 * MD_MS);

  fleet_init (&fleet);
  for (unsigned i = 0; i < N; i++)
    {
      MdWorker *worker = &fleet.worker[i];

      worker->traits = test_traits ("calc", "a", i < 2 ? "r0" : "r1");
      worker->capacity = worker->free = (MdResources){ 12400, 262144, 0 }; /* two tasks */
    }
  fleet.worker[0].speed = 1.3;
  fleet.worker[1].free.cpu = 0;
  fleet.worker[1].wait = MD_SECOND;
  ck_assert_str_eq (md_place_rack (&fleet.all, &need, 2, saved, 0).data, "r0");
  ck_assert_str_eq (md_place_rack (&fleet.all, &need, 4, saved, 0).data, "r1");
  ck_assert_uint_eq (fleet.worker[2].free.cpu, 12400); /* a trial reserves nothing */
  fleet.worker[2].traits = fleet.worker[3].traits = test_traits ("calc", "a", NULL);
  need.pool = MD_STR ("other");
  ck_assert_str_eq (md_place_rack (&fleet.all, &need, 4, saved, 0).data, "");
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placement");

  tcase_add_test (tc, only_workers_that_can_run_it_are_chosen);
  tcase_add_test (tc, data_is_near);
  tcase_add_test (tc, bound_per_worker_holds);
  tcase_add_test (tc, free_slow_worker_before_a_wait);
  tcase_add_test (tc, last_rooms_of_a_fast_worker_are_kept);
  tcase_add_test (tc, slow_worker_needs_a_margin);
  tcase_add_test (tc, reserved_room_counts);
  tcase_add_test (tc, failing_worker_is_tried_now_and_then);
  tcase_add_test (tc, stalled_worker_is_left_alone);
  tcase_add_test (tc, busy_queue_yields_first);
  tcase_add_test (tc, late_job_is_rejected_only_behind_others);
  tcase_add_test (tc, late_entry_rejects_at_once);
  tcase_add_test (tc, retries_are_spread);
  tcase_add_test (tc, steps_wait_for_those_before);
  tcase_add_test (tc, only_failures_use_up_attempts);
  tcase_add_test (tc, suspect_runs_on_an_idle_worker);
  tcase_add_test (tc, task_that_crashes_workers_is_given_up);
  tcase_add_test (tc, task_that_shared_crashed_workers_has_another_chance);
  tcase_add_test (tc, gang_is_possible_if_all_have_room_together);
  tcase_add_test (tc, gang_is_placed_only_if_all_start_at_once);
  tcase_add_test (tc, gang_goes_together);
  tcase_add_test (tc, gang_ends_as_one);
  tcase_add_test (tc, unsupported_jobs_are_told_apart);
  tcase_add_test (tc, job_with_too_many_tasks_is_refused);
  tcase_add_test (tc, tasks_of_one_rack_stay_together);
  return run_suite ("placement", tc);
}
