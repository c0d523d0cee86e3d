/* test-locality.c -- how long a wait for a near place pays

   Each test states the load pattern or the failure it guards against. */

#include "locality.h"
#include "suite.h"

/* A task of 100 ms near and 150 ms far, with a goal of 220 ms. */
static MdLocalityInput
input (MdTime near_wait, MdTime far_wait)
{
  return (MdLocalityInput){ .near = { true, near_wait, 100 * MD_MS },
                            .far = { true, far_wait, 150 * MD_MS },
                            .goal = 220 * MD_MS,
                            .limit = 660 * MD_MS };
}

static MdLocalityChoice
choice (const MdLocalityInput *in)
{
  return md_locality_decide (in).choice;
}

/* Load pattern: a quiet pool. Guards against a task that runs 50 ms longer to save a wait of 20 ms,
   and against one that waits 60 ms to save 50 ms. */
START_TEST (quiet_pool_compares_wait_and_run_time)
{
  MdLocalityInput in = input (0, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  in = input (20 * MD_MS, 0);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  ck_assert_int_eq (md_locality_decide (&in).saved, 50 * MD_MS);
  in = input (60 * MD_MS, 0);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* All are busy: the difference of the waits counts. */
  in = input (60 * MD_MS, 30 * MD_MS);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
}
END_TEST

/* Load pattern: a peak. Guards against longer runs that take capacity from jobs that wait. */
START_TEST (pressure_makes_a_longer_wait_pay)
{
  MdLocalityInput in = input (70 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.pressure = 1;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  ck_assert_double_eq (md_locality_pressure (16000, 16000), 0);
  ck_assert_double_eq (md_locality_pressure (16000, 6000), 0);
  ck_assert_double_eq_tol (md_locality_pressure (16000, 2400), 0.5, 1e-9);
  ck_assert_double_eq (md_locality_pressure (16000, 0), 1);
  ck_assert_double_eq (md_locality_pressure (0, 0), 1);
  /* A worker reported more free than it has. */
  ck_assert_double_eq (md_locality_pressure (16000, 17000), 0);
}
END_TEST

/* Load pattern: a rack that many jobs want, beside free ones. Guards against a queue there that each
   further task makes longer for the next. */
START_TEST (hot_rack_costs_those_that_wait)
{
  MdLocalityInput in = input (30 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  in.waiting = 0.3;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* A free place there delays nobody. */
  in.near.wait = 0;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
}
END_TEST

/* Guards against a wait that costs the goal: the time until which it lasts leaves enough for the far
   place. */
START_TEST (goal_can_be_met_far_when_the_wait_ends)
{
  MdLocalityInput in = input (40 * MD_MS, 0);
  MdTime wait_for;

  in.pressure = 1;
  in.goal = 190 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  wait_for = md_locality_decide (&in).wait_for;
  ck_assert_int_gt (wait_for, 0);
  ck_assert_int_le (wait_for + in.far.run_time * 105 / 100, in.goal);
  for (MdTime goal = 0; goal < 500 * MD_MS; goal += MD_MS / 2)
    for (MdTime wait = 0; wait < 200 * MD_MS; wait += 10 * MD_MS)
      {
        MdLocalityDecision decision;

        in = input (wait, 10 * MD_MS);
        in.pressure = 1;
        in.goal = goal;
        decision = md_locality_decide (&in);
        if (decision.choice != MD_LOCALITY_WAIT)
          continue;
        ck_assert_int_ge (decision.wait_for, 1);
        ck_assert (decision.wait_for == 1
                   || decision.wait_for + in.far.wait + in.far.run_time <= goal);
        ck_assert_int_le (decision.wait_for, wait * 3 / 2);
      }
}
END_TEST

/* Guards against a goal that is missed for a near place, or for the core time of others. */
START_TEST (place_that_meets_the_goal_is_taken)
{
  MdLocalityInput in = input (60 * MD_MS, 0);

  in.pressure = 1;
  in.goal = 170 * MD_MS; /* 60 ms of wait may be 90 */
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in = input (30 * MD_MS, 0);
  in.goal = 155 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  ck_assert_int_eq (md_locality_decide (&in).wait_for, 0);
  /* Late in any case: the sooner end, without a time to decide again. */
  in.goal = 0;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  in.near.wait = 70 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* In time far, but worth nothing if the run takes twice its estimate. */
  in = input (45 * MD_MS, 0);
  in.near.run_time = 110 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.limit = 299 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
}
END_TEST

/* Failures: the rack is lost, or its reports stop. Guards against a task that waits for a worker of
   which nothing is known. */
START_TEST (lost_rack_is_no_near_place)
{
  MdLocalityInput in = input (10 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  in.near.exists = false;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  ck_assert (md_locality_is_recent (600 * MD_MS));
  ck_assert (!md_locality_is_recent (601 * MD_MS));
  /* Only the rack is left. */
  in = input (500 * MD_MS, 0);
  in.far.exists = false;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  ck_assert_int_eq (md_locality_decide (&in).saved, 0);
}
END_TEST

/* Guards against a group that one task makes slow as a whole. */
START_TEST (group_counts_all_its_tasks)
{
  MdLocalityInput in = input (70 * MD_MS, 0);

  in.pressure = 0.2;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.group = 7;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
}
END_TEST

/* Guards against a run that moves to and fro between places that are nearly equal. */
START_TEST (wait_that_has_begun_is_kept_for_small_gains)
{
  MdLocalityInput in = input (60 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.gain = 15 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
}
END_TEST

/* Guards against decisions that are not made when the queue changes, and against a decision with each
   report. */
START_TEST (queue_that_changes_by_a_quarter_is_looked_at)
{
  ck_assert (!md_locality_queue_changed (40 * MD_MS, 49 * MD_MS));
  ck_assert (md_locality_queue_changed (40 * MD_MS, 50 * MD_MS));
  ck_assert (!md_locality_queue_changed (40 * MD_MS, 31 * MD_MS));
  ck_assert (md_locality_queue_changed (40 * MD_MS, 30 * MD_MS));
  ck_assert (!md_locality_queue_changed (4 * MD_MS, 8 * MD_MS));
  ck_assert (!md_locality_queue_changed (0, 0));
}
END_TEST

/* Guards against a run at the head of the queue that is taken for the last, and against one behind
   a run of seven times its estimate that seems to start at any moment. */
START_TEST (remaining_wait_follows_the_queue)
{
  /* As predicted; others queue behind it at the rate at which it moves forward, or none do. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 50 * MD_MS, 40 * MD_MS),
                    30 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 50 * MD_MS, 20 * MD_MS),
                    20 * MD_MS);
  /* The queue has grown. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 40 * MD_MS, 80 * MD_MS),
                    80 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 60 * MD_MS, 70 * MD_MS),
                    50 * MD_MS);
  /* It should have started. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 50 * MD_MS, 50 * MD_MS, 200 * MD_MS),
                    200 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 40 * MD_MS, 50 * MD_MS, 0), 0);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 90 * MD_MS, 50 * MD_MS, 20 * MD_MS),
                    50 * MD_MS);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("locality");

  tcase_add_test (tc, quiet_pool_compares_wait_and_run_time);
  tcase_add_test (tc, pressure_makes_a_longer_wait_pay);
  tcase_add_test (tc, hot_rack_costs_those_that_wait);
  tcase_add_test (tc, goal_can_be_met_far_when_the_wait_ends);
  tcase_add_test (tc, place_that_meets_the_goal_is_taken);
  tcase_add_test (tc, lost_rack_is_no_near_place);
  tcase_add_test (tc, group_counts_all_its_tasks);
  tcase_add_test (tc, wait_that_has_begun_is_kept_for_small_gains);
  tcase_add_test (tc, queue_that_changes_by_a_quarter_is_looked_at);
  tcase_add_test (tc, remaining_wait_follows_the_queue);
  return run_suite ("locality", tc);
}
