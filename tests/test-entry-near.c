/* test-entry-near.c -- waits of tasks for workers near their data or their group

   The entry has two guards on each of two racks, without links. A task runs 100 ms near and 150 ms
   far. */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <stdio.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define N_GUARDS 4
#define MAX_JOBS 24
#define CPU 1600

static MdRunEntry entry;
static MdEntryGuard guards[N_GUARDS];
static MdWorker *workers[N_GUARDS];
static MdSavedResources saved[N_GUARDS];
static bool excluded[N_GUARDS];
static MdCallerRequest requests[MAX_JOBS];
static int caller[2]; /* the entry's and the caller's end of a connection */
static int event;
static MdRunStep step; /* of the jobs that are submitted */

static void
init_guard (int i)
{
  MdEntryGuard *guard = &guards[i];

  *guard = (MdEntryGuard){ .worker = { .speed = 1,
                                       .connected = true,
                                       .state = MD_WORKER_READY,
                                       .capacity = { 16000, 32768, 0 },
                                       .free = { 16000, 32768, 0 },
                                       .reported_at = NOW } };
  snprintf (guard->name, sizeof guard->name, "guard-%d", i);
  guard->worker.traits = test_traits ("calc", "kind", i < 2 ? "rack-a" : "rack-b");
  workers[i] = &guard->worker;
}

static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  event = eventfd (0, EFD_NONBLOCK);
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  for (int i = 0; i < N_GUARDS; i++)
    init_guard (i);
  entry.workers = (MdWorkers){ .workers = workers, .n = N_GUARDS, .remote_factor = 1.5 };
  entry.excluded = excluded;
  step = (MdRunStep){ .n_tasks = 1,
                      .resources = { CPU, 64, 0 },
                      .declared_time = 100 * MD_MS,
                      .affinity = MD_STR ("rack-a") };
}

static void
teardown (void)
{
  md_entry_fail_all (&entry);
  for (int i = 0; i < N_GUARDS; i++)
    {
      while (guards[i].orders != NULL)
        md_entry_order_ended (&entry, guards[i].orders, MD_RUN_REJECTED, 0, "");
      ck_assert_uint_eq (guards[i].worker.near_waiting, 0);
      free (guards[i].cancels.ids);
      free (guards[i].withdraws.ids);
    }
  for (int i = 0; i < MAX_JOBS; i++)
    md_buf_clear (&requests[i].body);
  close (event);
  close (caller[0]);
  close (caller[1]);
}

/* Submits job i with the step. The goal is 272 ms from now for a run of 100 ms. */
static MdEntryJob *
submit_job (int i)
{
  MdCallerRequest *request = &requests[i];

  *request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                                .arrived = entry.now,
                                .event = event,
                                .socket = caller[0],
                                .response_timeout = 60 * MD_SECOND };
  request->id[0] = (char)('a' + i);
  request->spec.steps = malloc (sizeof step);
  ck_assert_ptr_nonnull (request->spec.steps);
  request->spec.steps[0] = step;
  request->spec.n_steps = 1;
  request->spec.best_effort = true;
  request->route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 1.6, .target_latency = 120 * MD_MS });
  md_inbox_push (&entry.inbox, &request->node);
  md_entry_handle_requests (&entry, MD_SECOND);
  return entry.jobs;
}

/* All slots of a worker are taken, the first for this long. */
static void
fill (int i, MdTime wait)
{
  MdWorker *worker = &guards[i].worker;

  worker->free = (MdResources){ 0, 32768, 0 };
  worker->wait = worker->next_end = wait;
}

/* Reports of all guards but those up to silent arrive; the orders have been sent. */
static void
pass_time (MdTime time, int silent)
{
  entry.now += time;
  for (int i = 0; i < N_GUARDS; i++)
    {
      if (i >= silent)
        guards[i].worker.reported_at = entry.now;
      guards[i].unsent = NULL;
      for (MdEntryOrder *order = guards[i].orders; order != NULL; order = order->next)
        order->sent = true;
    }
  entry.next_tick = 0;
  md_entry_jobs_tick (&entry);
}

static MdEntryOrder *
order_of (const MdEntryJob *job, uint32_t task)
{
  ck_assert_ptr_nonnull (job);
  return job->runjob.tasks[0][task].order;
}

static bool
is_near (const MdEntryOrder *order)
{
  ck_assert_ptr_nonnull (order);
  return order->guard < &guards[2];
}

static uint32_t
near_waiting (void)
{
  return guards[0].worker.near_waiting + guards[1].worker.near_waiting
         + guards[2].worker.near_waiting + guards[3].worker.near_waiting;
}

/* Load pattern: a quiet pool, where the rack of the data is full for some milliseconds. Guards
   against a run that takes 50 ms longer to save a wait of 20 ms. */
START_TEST (short_wait_for_the_rack_is_taken)
{
  MdEntryOrder *order;
  int64_t before = atomic_load (&md_metrics[MD_M_NEAR_STARTED]);

  fill (0, 20 * MD_MS);
  fill (1, 30 * MD_MS);
  order = order_of (submit_job (0), 0);
  ck_assert_ptr_eq (order->guard, &guards[0]);
  ck_assert_int_eq (order->near_until, NOW + 30 * MD_MS);
  ck_assert_uint_eq (near_waiting (), 1);
  pass_time (10 * MD_MS, 0);
  ck_assert (!order->withdrawn);
  md_entry_order_started (&entry, order);
  ck_assert_uint_eq (near_waiting (), 0);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_NEAR_STARTED]), before + 1);
  pass_time (200 * MD_MS, 0);
  ck_assert (!order->withdrawn);
}
END_TEST

/* Guards against a change of what was placed before for tasks without a preferred rack, and where a
   far run takes no longer. */
START_TEST (tasks_without_a_preferred_rack_are_placed_as_before)
{
  MdTaskRequirements need;
  MdEntryNear near;
  uint64_t random = 1;

  for (int round = 0; round < 2000; round++)
    {
      MdEntryJob *job;
      MdPlacement expected, placed;

      for (int i = 0; i < N_GUARDS; i++)
        {
          MdWorker *worker = &guards[i].worker;

          random = random * 6364136223846793005u + 1442695040888963407u;
          worker->free.cpu = (uint32_t)(random >> 40) % 16000;
          worker->wait = worker->next_end = (MdTime)(random >> 33) % (80 * MD_MS);
          worker->speed = 0.5 + (double)(random >> 50) / 16384;
          if (random >> 61 == 0)
            worker->wait = worker->next_end = 0;
        }
      entry.workers.remote_factor = round % 2 ? 1 : 1.5;
      step.affinity = MD_STR ("");
      if (round % 2)
        step.affinity = MD_STR ("rack-a");
      job = submit_job (0);
      if (job == NULL)
        {
          md_buf_clear (&requests[0].body);
          continue;
        }
      md_entry_requirements (&entry, job, 0, &need);
      expected = md_place (&entry.workers, &need, NULL, NULL, entry.now);
      placed = md_entry_place_task (&entry, job, 0, 0, &need, NULL, &near);
      ck_assert_ptr_eq (placed.worker, expected.worker);
      ck_assert_int_eq (placed.wait, expected.wait);
      ck_assert_int_eq (placed.run_time, expected.run_time);
      ck_assert (!near.preferred && near.wait == 0);
      ck_assert_int_eq (order_of (job, 0)->near_until, 0);
      md_entry_finish_job (&entry, job, 503, NULL, "test", 0);
      md_buf_clear (&requests[0].body);
      for (int i = 0; i < N_GUARDS; i++)
        {
          guards[i].unsent = NULL;
          while (guards[i].orders != NULL)
            md_entry_order_ended (&entry, guards[i].orders, MD_RUN_REJECTED, 0, "");
        }
    }
}
END_TEST

/* Failure: a run ahead takes several times its estimate. Guards against a task that waits for it
   until its goal is missed, and against one that goes to and fro. */
START_TEST (wait_that_grows_is_given_up)
{
  MdEntryJob *job;
  MdEntryOrder *order;
  int64_t before = atomic_load (&md_metrics[MD_M_NEAR_GIVEN_UP]);

  fill (0, 20 * MD_MS);
  fill (1, 30 * MD_MS);
  job = submit_job (0);
  order = order_of (job, 0);
  fill (0, 300 * MD_MS);
  fill (1, 300 * MD_MS);
  pass_time (20 * MD_MS, 0);
  ck_assert (order->withdrawn);
  ck_assert_uint_eq (near_waiting (), 0);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_NEAR_GIVEN_UP]), before + 1);
  /* Nothing is placed before the guard has confirmed it. */
  ck_assert_ptr_eq (order_of (job, 0), order);
  fill (0, 20 * MD_MS);
  md_entry_order_ended (&entry, order, MD_RUN_REJECTED, 0, "");
  ck_assert (!is_near (order_of (job, 0)));
  ck_assert_int_eq (order_of (job, 0)->near_until, 0);
}
END_TEST

/* Failure: the queue ahead looks short all the time, and does not move. Guards against a task that
   believes each report until a far place cannot meet the goal any more. */
START_TEST (wait_that_does_not_end_is_given_up)
{
  MdEntryOrder *order;

  fill (0, 20 * MD_MS);
  fill (1, 30 * MD_MS);
  order = order_of (submit_job (0), 0);
  guards[0].worker.wait = order->near_queue; /* of a further run */
  for (int i = 0; i < 5; i++)
    {
      pass_time (10 * MD_MS, 0);
      ck_assert (!order->withdrawn);
    }
  for (int i = 0; i < 5; i++)
    pass_time (10 * MD_MS, 0);
  ck_assert (order->withdrawn);
  ck_assert_int_ge (entry.jobs->goal - entry.now, 150 * MD_MS);
}
END_TEST

/* Guards against a run that started before its withdrawal arrived and is ordered a second time. */
START_TEST (started_run_stays)
{
  MdEntryJob *job;
  MdEntryOrder *order;

  fill (0, 20 * MD_MS);
  fill (1, 20 * MD_MS);
  job = submit_job (0);
  order = order_of (job, 0);
  fill (0, 300 * MD_MS);
  pass_time (20 * MD_MS, 0);
  ck_assert (order->withdrawn);
  md_entry_order_started (&entry, order);
  pass_time (20 * MD_MS, 0);
  ck_assert_ptr_eq (order_of (job, 0), order);
  ck_assert (!order->cancelled);
}
END_TEST

/* Failure: the reports of the rack stop. Guards against a wait for a worker of which nothing is
   known, and against an entry short of processor time that takes back all runs because it has read
   no report of any guard. */
START_TEST (reports_that_stop_end_the_wait)
{
  MdEntryJob *job;
  MdEntryOrder *order;

  step.declared_time = 1000 * MD_MS;
  fill (0, 60 * MD_MS);
  fill (1, 60 * MD_MS);
  job = submit_job (0);
  order = order_of (job, 0);
  ck_assert (is_near (order));
  ck_assert_int_gt (order->near_until, 0);
  pass_time (590 * MD_MS, 2);
  ck_assert (!order->withdrawn);
  pass_time (20 * MD_MS, 2);
  ck_assert (order->withdrawn);
  ck_assert (job->runjob.tasks[0][0].near_given_up);
}
END_TEST

START_TEST (unread_reports_take_nothing_back)
{
  MdEntryOrder *order;

  step.declared_time = 1000 * MD_MS;
  fill (0, 60 * MD_MS);
  fill (1, 60 * MD_MS);
  order = order_of (submit_job (0), 0);
  pass_time (610 * MD_MS, N_GUARDS);
  ck_assert (!order->withdrawn);
  ck_assert_uint_eq (near_waiting (), 0);
}
END_TEST

/* Load pattern: a rack that many jobs want, beside a free one. Guards against a queue there that
   each task makes longer for the next. */
START_TEST (hot_rack_is_left_to_those_that_wait)
{
  int near = 0;

  fill (0, 10 * MD_MS);
  fill (1, 10 * MD_MS);
  for (int i = 0; i < 16; i++)
    near += is_near (order_of (submit_job (i), 0));
  ck_assert_int_gt (near, 0);
  ck_assert_int_lt (near, 8);
  ck_assert_uint_eq (near_waiting (), (uint32_t)near);
  ck_assert_uint_eq (guards[2].worker.near_waiting + guards[3].worker.near_waiting, 0);
}
END_TEST

/* Guards against a counter that is not kept when the job of a waiting run ends. */
START_TEST (waits_of_ended_jobs_are_not_counted)
{
  MdEntryJob *job;

  fill (0, 20 * MD_MS);
  fill (1, 20 * MD_MS);
  job = submit_job (0);
  ck_assert_uint_eq (near_waiting (), 1);
  md_entry_finish_job (&entry, job, 503, NULL, "test", 0);
  guards[0].unsent = guards[1].unsent = NULL;
  for (int i = 0; i < 2; i++)
    while (guards[i].orders != NULL)
      md_entry_order_ended (&entry, guards[i].orders, MD_RUN_REJECTED, 0, "");
  ck_assert_uint_eq (near_waiting (), 0);
}
END_TEST

/* A group of four tasks that waits on the rack of guards 0 and 1. */
static MdEntryJob *
submit_group (void)
{
  MdEntryJob *job;

  step.n_tasks = 4;
  step.same_rack = true;
  step.affinity = MD_STR ("");
  fill (0, 15 * MD_MS);
  fill (1, 15 * MD_MS);
  fill (2, 60 * MD_MS);
  fill (3, 60 * MD_MS);
  job = submit_job (0);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (is_near (order_of (job, k)));
  ck_assert_uint_gt (near_waiting (), 0);
  return job;
}

/* Guards against a group that is spread over racks because one of its tasks is placed elsewhere,
   and against one that waits on although another rack is free. */
START_TEST (group_moves_together)
{
  MdEntryJob *job = submit_group ();
  MdEntryOrder *orders[4];

  for (uint32_t k = 0; k < 4; k++)
    orders[k] = order_of (job, k);
  for (int i = 0; i < 2; i++)
    fill (i, 200 * MD_MS);
  guards[2].worker.free.cpu = guards[3].worker.free.cpu = 16000;
  pass_time (20 * MD_MS, 0);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (orders[k]->withdrawn && orders[k]->group_moves);
  /* None is placed before all have been taken back. */
  for (uint32_t k = 0; k < 3; k++)
    md_entry_order_ended (&entry, orders[k], MD_RUN_REJECTED, 0, "");
  ck_assert_uint_eq (job->runjob.ordered, 1);
  md_entry_order_ended (&entry, orders[3], MD_RUN_REJECTED, 0, "");
  ck_assert_uint_eq (job->runjob.ordered, 4);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (!is_near (order_of (job, k)));
  ck_assert_uint_eq (near_waiting (), 0);
}
END_TEST

START_TEST (group_that_has_begun_stays)
{
  MdEntryJob *job = submit_group ();

  pass_time (MD_MS, 0);
  md_entry_order_started (&entry, order_of (job, 0));
  for (int i = 0; i < 2; i++)
    fill (i, 200 * MD_MS);
  guards[2].worker.free.cpu = guards[3].worker.free.cpu = 16000;
  pass_time (20 * MD_MS, 0);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (!order_of (job, k)->withdrawn);
}
END_TEST

/* Failure: a task of the group starts before the withdrawal arrives. Guards against a group on two
   racks. */
START_TEST (group_follows_a_task_that_has_started)
{
  MdEntryJob *job = submit_group ();
  MdEntryOrder *orders[4];

  for (uint32_t k = 0; k < 4; k++)
    orders[k] = order_of (job, k);
  for (int i = 0; i < 2; i++)
    fill (i, 200 * MD_MS);
  guards[2].worker.free.cpu = guards[3].worker.free.cpu = 16000;
  pass_time (20 * MD_MS, 0);
  md_entry_order_started (&entry, orders[0]);
  for (int i = 0; i < 2; i++)
    fill (i, 5 * MD_MS);
  for (uint32_t k = 1; k < 4; k++)
    md_entry_order_ended (&entry, orders[k], MD_RUN_REJECTED, 0, "");
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (is_near (order_of (job, k)));
}
END_TEST

/* Failure: the rack is lost while a group waits there. Guards against a wait that nothing ends. */
START_TEST (group_leaves_a_lost_rack)
{
  MdEntryJob *job = submit_group ();

  pass_time (MD_MS, 0);
  guards[0].worker.connected = guards[1].worker.connected = false;
  guards[2].worker.free.cpu = guards[3].worker.free.cpu = 16000;
  pass_time (20 * MD_MS, 0);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (order_of (job, k)->withdrawn);
  ck_assert_uint_eq (near_waiting (), 0);
  for (int i = 0; i < 2; i++)
    while (guards[i].orders != NULL)
      md_entry_order_ended (&entry, guards[i].orders, MD_RUN_LEASE_EXPIRED, 0, "");
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (!is_near (order_of (job, k)));
}
END_TEST

/* Guards against a gang of which a task waits behind the others. */
START_TEST (gang_does_not_wait_for_the_rack)
{
  MdEntryJob *job;

  step.gang = true;
  step.n_tasks = 12;
  guards[0].worker.free.cpu = 16000;
  fill (1, 10 * MD_MS);
  job = submit_job (0);
  ck_assert_uint_eq (job->runjob.ordered, 12);
  ck_assert_uint_eq (near_waiting (), 0);
  for (uint32_t k = 0; k < 12; k++)
    {
      ck_assert (order_of (job, k)->at_once);
      ck_assert_int_eq (order_of (job, k)->expected_wait, 0);
    }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-near");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, short_wait_for_the_rack_is_taken);
  tcase_add_test (tc, tasks_without_a_preferred_rack_are_placed_as_before);
  tcase_add_test (tc, wait_that_grows_is_given_up);
  tcase_add_test (tc, wait_that_does_not_end_is_given_up);
  tcase_add_test (tc, started_run_stays);
  tcase_add_test (tc, reports_that_stop_end_the_wait);
  tcase_add_test (tc, unread_reports_take_nothing_back);
  tcase_add_test (tc, hot_rack_is_left_to_those_that_wait);
  tcase_add_test (tc, waits_of_ended_jobs_are_not_counted);
  tcase_add_test (tc, group_moves_together);
  tcase_add_test (tc, group_that_has_begun_stays);
  tcase_add_test (tc, group_follows_a_task_that_has_started);
  tcase_add_test (tc, group_leaves_a_lost_rack);
  tcase_add_test (tc, gang_does_not_wait_for_the_rack);
  return run_suite ("entry-near", tc);
}
