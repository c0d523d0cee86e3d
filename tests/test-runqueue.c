/* test-runqueue.c -- the queue of runs at a guard

   Guards against: room given twice, runs overtaken without bound, hopeless runs
   started before hopeful ones, projected waits that are wrong, and a speed that one
   odd run spoils or that is never forgotten. */

#include "run-sched.h"
#include "suite.h"

#define CPU 6000u /* thousandths of a core that a run takes */

static MdRunQueue
queue_with_capacity (uint32_t runs)
{
  MdRunQueue queue = { .accepting = true };

  md_runqueue_set_capacity (&queue, (MdResources){ runs * CPU, 1024, 0 });
  return queue;
}

static MdRun
run_with_slack (uint64_t id, MdTime work, MdTime start_by)
{
  return (
      MdRun){ .id = id, .resources = { CPU, 64, 0 }, .work = (double)work, .start_by = start_by };
}

START_TEST (room_is_given_once)
{
  MdRunQueue queue = queue_with_capacity (2);
  MdRun runs[3];

  for (unsigned i = 0; i < 3; i++)
    {
      runs[i] = run_with_slack (i, 100 * MD_MS, 50 * MD_MS);
      md_runqueue_add (&queue, &runs[i], 0);
    }
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &runs[0]);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &runs[1]);
  ck_assert_ptr_null (md_runqueue_next (&queue, 0));
  md_runqueue_remove (&queue, &runs[0], 100 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 100 * MD_MS), &runs[2]);
  ck_assert_uint_eq (queue.free.cpu, 0);
}
END_TEST

/* Guards against runs of others at a worker that a suspect run may crash, and against a reduced capacity
   that is given out because a run that is alone has ended. */
START_TEST (nothing_runs_beside_a_run_that_is_alone)
{
  MdRunQueue queue = queue_with_capacity (3);
  MdRun other = run_with_slack (1, 100 * MD_MS, 50 * MD_MS);
  MdRun alone = run_with_slack (2, 100 * MD_MS, 40 * MD_MS);
  MdRun next = run_with_slack (3, 100 * MD_MS, 60 * MD_MS);

  alone.alone = true;
  md_runqueue_add (&queue, &other, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &other);
  md_runqueue_add (&queue, &alone, 0);
  ck_assert_ptr_null (md_runqueue_next (&queue, 0));
  md_runqueue_remove (&queue, &other, 10 * MD_MS);
  md_runqueue_add (&queue, &next, 10 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 10 * MD_MS), &alone);
  ck_assert_uint_eq (queue.free.cpu, 0);
  ck_assert_ptr_null (md_runqueue_next (&queue, 10 * MD_MS));
  ck_assert_int_ge (md_runqueue_expected_wait (&queue, 10 * MD_MS), 100 * MD_MS);
  md_runqueue_set_capacity (&queue, (MdResources){ 2 * CPU, 1024, 0 });
  md_runqueue_remove (&queue, &alone, 20 * MD_MS);
  ck_assert_uint_eq (queue.free.cpu, 2 * CPU);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 20 * MD_MS), &next);
}
END_TEST

START_TEST (closed_queue_starts_nothing)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun run = run_with_slack (1, 100 * MD_MS, 50 * MD_MS);

  md_runqueue_add (&queue, &run, 0);
  queue.accepting = false;
  ck_assert_ptr_null (md_runqueue_next (&queue, 0));
  ck_assert_uint_eq (queue.waiting.n, 1);
}
END_TEST

START_TEST (urgent_run_goes_first)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun patient = run_with_slack (1, 900 * MD_MS, 600 * MD_MS);
  MdRun urgent = run_with_slack (2, 60 * MD_MS, 20 * MD_MS);

  md_runqueue_add (&queue, &patient, 0);
  md_runqueue_add (&queue, &urgent, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &urgent);
}
END_TEST

/* With an order by slack alone, a stream of short tasks keeps a long one waiting for
   its whole slack, longer than the wait that its entry was told. */
START_TEST (patient_run_is_not_overtaken_for_long)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun patient = run_with_slack (1, 900 * MD_MS, 600 * MD_MS);
  MdRun later = run_with_slack (2, 60 * MD_MS, 100 * MD_MS);

  md_runqueue_add (&queue, &patient, 0);
  later.start_by += 60 * MD_MS;
  md_runqueue_add (&queue, &later, 60 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 60 * MD_MS), &patient);
}
END_TEST

START_TEST (overdue_run_goes_behind)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun overdue = run_with_slack (1, 60 * MD_MS, 10 * MD_MS);
  MdRun hopeful = run_with_slack (2, 60 * MD_MS, 90 * MD_MS);

  md_runqueue_add (&queue, &overdue, 0);
  md_runqueue_add (&queue, &hopeful, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 20 * MD_MS), &hopeful);
  md_runqueue_remove (&queue, &hopeful, 80 * MD_MS);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 80 * MD_MS), &overdue);
}
END_TEST

START_TEST (smaller_run_takes_room_that_is_left)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun large = run_with_slack (1, 60 * MD_MS, 10 * MD_MS);
  MdRun small = run_with_slack (2, 60 * MD_MS, 20 * MD_MS);

  large.resources.cpu = 2 * CPU;
  md_runqueue_add (&queue, &large, 0);
  md_runqueue_add (&queue, &small, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &small);
}
END_TEST

START_TEST (returned_run_frees_its_room)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun run = run_with_slack (1, 60 * MD_MS, 10 * MD_MS);

  md_runqueue_add (&queue, &run, 0);
  ck_assert_ptr_eq (md_runqueue_next (&queue, 0), &run);
  md_runqueue_requeue (&queue, &run);
  ck_assert_uint_eq (queue.free.cpu, CPU);
  ck_assert_int_eq (run.state, MD_RUN_WAITING);
}
END_TEST

START_TEST (wait_follows_from_expected_ends)
{
  MdRunQueue queue = queue_with_capacity (2);
  MdRun runs[3];

  for (unsigned i = 0; i < 3; i++)
    runs[i] = run_with_slack (i, (100 + 50 * i) * MD_MS, 1000 * MD_MS);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, 0), 0);
  md_runqueue_add (&queue, &runs[0], 0);
  md_runqueue_next (&queue, 0);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, 0), 0);
  md_runqueue_add (&queue, &runs[1], 0);
  md_runqueue_next (&queue, 0);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, 0), 100 * MD_MS);
  ck_assert_int_eq (md_runqueue_next_end (&queue, 40 * MD_MS), 60 * MD_MS);
  /* The third takes the room that is free after 100 ms; a fourth waits for 150. */
  md_runqueue_add (&queue, &runs[2], 0);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, 0), 150 * MD_MS);
}
END_TEST

/* A worker turned 6.5 times slower must show it within a few dozen runs, and while its
   runs are overdue, but one run that stood still must not. */
START_TEST (speed_follows_a_slow_worker)
{
  MdRunQueue queue = queue_with_capacity (4);
  MdRun run = run_with_slack (1, 100 * MD_MS, 0);
  MdTime now = 0;

  for (int i = 0; i < 50; i++)
    md_runqueue_update_speed (&queue, &run, 70 * MD_MS, now += 10 * MD_MS);
  ck_assert_double_gt (md_runqueue_speed (&queue, now), 1.35);
  md_runqueue_update_speed (&queue, &run, 5 * MD_SECOND, now);
  ck_assert_double_gt (md_runqueue_speed (&queue, now), 1.25);
  for (int i = 0; i < 60; i++)
    md_runqueue_update_speed (&queue, &run, 455 * MD_MS, now += 10 * MD_MS);
  ck_assert_double_lt (md_runqueue_speed (&queue, now), 0.35);
}
END_TEST

START_TEST (overdue_runs_lower_the_speed)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun run = run_with_slack (1, 100 * MD_MS, 1000 * MD_MS);

  md_runqueue_add (&queue, &run, 0);
  md_runqueue_next (&queue, 0);
  ck_assert_double_eq_tol (md_runqueue_speed (&queue, 100 * MD_MS), 1.0, 1e-9);
  ck_assert_double_lt (md_runqueue_speed (&queue, 600 * MD_MS), 0.3);
}
END_TEST

/* An idle worker that was slow is never tried again if its speed is kept for good. */
START_TEST (speed_of_an_idle_worker_is_forgotten)
{
  MdRunQueue queue = queue_with_capacity (1);
  MdRun run = run_with_slack (1, 100 * MD_MS, 0);

  for (int i = 0; i < 50; i++)
    md_runqueue_update_speed (&queue, &run, 650 * MD_MS, i * 10 * MD_MS);
  ck_assert_double_lt (md_runqueue_speed (&queue, 500 * MD_MS), 0.3);
  ck_assert_double_gt (md_runqueue_speed (&queue, 10 * MD_SECOND), 0.9);
}
END_TEST

START_TEST (hanging_runs_show_a_stalled_worker)
{
  MdRunQueue queue = queue_with_capacity (4);
  MdRun runs[3];

  for (unsigned i = 0; i < 3; i++)
    {
      runs[i] = run_with_slack (i, 100 * MD_MS, 1000 * MD_MS);
      runs[i].job = i;
      md_runqueue_add (&queue, &runs[i], 0);
      md_runqueue_next (&queue, 0);
    }
  ck_assert (!md_runqueue_stalled (&queue, 150 * MD_MS));
  ck_assert (md_runqueue_stalled (&queue, 300 * MD_MS));
  /* An end since they became overdue shows that the worker goes on. */
  md_runqueue_remove (&queue, &runs[0], 250 * MD_MS);
  ck_assert (!md_runqueue_stalled (&queue, 300 * MD_MS));
}
END_TEST

/* Failure: all tasks of one job take ten times their estimate. That says nothing about
   the worker, and a job that is moved for it never ends. */
START_TEST (one_underestimated_job_stalls_nobody)
{
  MdRunQueue queue = queue_with_capacity (4);
  MdRun runs[4];

  for (unsigned i = 0; i < 4; i++)
    {
      runs[i] = run_with_slack (i, 30 * MD_MS, 1000 * MD_MS);
      runs[i].job = 7;
      md_runqueue_add (&queue, &runs[i], 0);
      md_runqueue_next (&queue, 0);
    }
  ck_assert (!md_runqueue_stalled (&queue, 400 * MD_MS));
}
END_TEST

/* Failure: a job that can never be done fails on every worker, one after the other; it
   must not condemn them, while failures of different jobs do. */
START_TEST (failures_of_different_jobs_count)
{
  MdRunQueue queue = queue_with_capacity (1);

  for (int i = 0; i < 8; i++)
    md_runqueue_record_end (&queue, MD_RUN_FAILED, 7);
  ck_assert_uint_eq (queue.failures, 1);
  md_runqueue_record_end (&queue, MD_RUN_FAILED, 8);
  md_runqueue_record_end (&queue, MD_RUN_REJECTED, 9);
  md_runqueue_record_end (&queue, MD_RUN_FAILED, 9);
  ck_assert_uint_eq (queue.failures, 3);
  md_runqueue_record_end (&queue, MD_RUN_DONE, 9);
  ck_assert_uint_eq (queue.failures, 0);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("runqueue");

  tcase_add_test (tc, room_is_given_once);
  tcase_add_test (tc, nothing_runs_beside_a_run_that_is_alone);
  tcase_add_test (tc, closed_queue_starts_nothing);
  tcase_add_test (tc, urgent_run_goes_first);
  tcase_add_test (tc, patient_run_is_not_overtaken_for_long);
  tcase_add_test (tc, overdue_run_goes_behind);
  tcase_add_test (tc, smaller_run_takes_room_that_is_left);
  tcase_add_test (tc, returned_run_frees_its_room);
  tcase_add_test (tc, wait_follows_from_expected_ends);
  tcase_add_test (tc, speed_follows_a_slow_worker);
  tcase_add_test (tc, overdue_runs_lower_the_speed);
  tcase_add_test (tc, speed_of_an_idle_worker_is_forgotten);
  tcase_add_test (tc, failures_of_different_jobs_count);
  tcase_add_test (tc, one_underestimated_job_stalls_nobody);
  tcase_add_test (tc, hanging_runs_show_a_stalled_worker);
  return run_suite ("runqueue", tc);
}
