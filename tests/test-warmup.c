/* test-warmup.c -- gradual return of workers whose failure domain was evacuated

   The clock is the test's own. */

#include "platform.h"
#include "run-guard.h"
#include "suite.h"

#define NOW (1000 * MD_SECOND)
#define CPU 16000u /* of the worker, thousandths of a core */
#define NEED 1500u /* of a run */

/* Time from the begin until the share has all steps, in steps of a millisecond. */
static MdTime
time_until_warm (MdTime cold)
{
  MdWarmup warmup = { 0 };
  uint32_t former = 1;
  MdTime elapsed = 0;

  md_warmup_begin (&warmup, NOW);
  ck_assert_uint_eq (md_warmup_advance (&warmup, NOW + cold, NOW), 1);
  while (warmup.active && elapsed < 60 * MD_SECOND)
    {
      uint32_t steps;

      elapsed += MD_MS;
      steps = md_warmup_advance (&warmup, NOW + cold, NOW + elapsed);
      ck_assert_uint_ge (steps, former);
      ck_assert_uint_le (steps, former + 1);
      former = steps;
    }
  return elapsed;
}

/* Guards against workers that get a second's load at once when their domain is put back into use,
   and against ones that stay out of use because they are cold for long. */
START_TEST (share_grows_in_a_second_or_longer_while_cold)
{
  ck_assert_int_eq (time_until_warm (0), MD_SECOND);
  ck_assert_int_eq (time_until_warm (-5 * MD_SECOND), MD_SECOND);
  /* 400 ms while cold count as 100. */
  ck_assert_int_eq (time_until_warm (400 * MD_MS), 1300 * MD_MS);
  ck_assert_int_eq (time_until_warm (60 * MD_SECOND), 4 * MD_SECOND);
}
END_TEST

/* Guards against a poll that is due too early, which would turn in a loop, or too late. */
START_TEST (next_step_is_due_when_it_comes)
{
  static const MdTime cold[] = { 0, 10 * MD_MS, 400 * MD_MS, 2 * MD_SECOND, 60 * MD_SECOND };

  for (size_t i = 0; i < MD_ARRAY_SIZE (cold); i++)
    {
      MdWarmup warmup = { 0 };
      MdTime now = NOW;
      uint32_t steps = 1;

      md_warmup_begin (&warmup, now);
      while (warmup.active)
        {
          MdTime due = md_warmup_due (&warmup, NOW + cold[i], steps + 1);

          ck_assert_int_gt (due, 0);
          ck_assert_uint_eq (md_warmup_advance (&warmup, NOW + cold[i], now + due - 10), steps);
          now += due;
          ck_assert_uint_eq (md_warmup_advance (&warmup, NOW + cold[i], now), ++steps);
        }
      ck_assert_uint_eq (steps, MD_WARMUP_STEPS);
    }
}
END_TEST

static MdRunQueue
idle_queue (void)
{
  MdRunQueue queue = { .accepting = true };

  md_runqueue_set_capacity (&queue, (MdResources){ CPU, 32768, 4 });
  queue.typical_cpu = NEED;
  return queue;
}

/* Guards against an idle worker that seems to start a run at once which does not fit into its
   share: nothing runs there whose end could be waited for. */
START_TEST (wait_for_the_share_is_reported)
{
  MdRunQueue queue = idle_queue ();

  md_runqueue_withhold (&queue, CPU - NEED / 2, NOW + 800 * MD_MS);
  ck_assert_uint_eq (queue.free.cpu, NEED / 2);
  ck_assert_uint_eq (queue.free.memory_mb, 32768);
  ck_assert_uint_eq (queue.free.accelerators, 4);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, NOW), 200 * MD_MS);
  /* A larger run than the usual one, too. */
  md_runqueue_withhold (&queue, CPU - NEED, NOW + 800 * MD_MS);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, NOW), 0);
  ck_assert_int_gt (md_runqueue_next_end (&queue, NOW), 0);
  md_runqueue_withhold (&queue, 0, 0);
  ck_assert_uint_eq (queue.free.cpu, CPU);
  ck_assert_int_eq (md_runqueue_expected_wait (&queue, NOW), 0);
  ck_assert_int_eq (md_runqueue_next_end (&queue, NOW), 0);
}
END_TEST

/* Guards against capacity that is given twice when a run ends meanwhile, and against started runs
   that are counted against the share of later ones. */
START_TEST (started_runs_keep_their_room)
{
  MdRunQueue queue = idle_queue ();
  MdRun runs[4] = { { 0 } };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (runs); i++)
    {
      runs[i].resources.cpu = 4000;
      md_runqueue_add (&queue, &runs[i], NOW);
    }
  ck_assert_ptr_nonnull (md_runqueue_next (&queue, NOW));
  ck_assert_ptr_nonnull (md_runqueue_next (&queue, NOW));
  md_runqueue_withhold (&queue, 10000, NOW + MD_SECOND);
  ck_assert_uint_eq (queue.free.cpu, 0);
  md_runqueue_remove (&queue, &runs[0], NOW);
  ck_assert_uint_eq (queue.free.cpu, 2000);
  ck_assert_ptr_null (md_runqueue_next (&queue, NOW));
  md_runqueue_withhold (&queue, 8000, NOW + MD_SECOND);
  ck_assert_ptr_nonnull (md_runqueue_next (&queue, NOW));
  ck_assert_uint_eq (queue.free.cpu, 0);
}
END_TEST

static MdRunGuard guard;

static void
start_guard (void)
{
  memset (&guard, 0, sizeof guard);
  guard.now = NOW;
  guard.worker.has_report = true;
  guard.worker.clean = true;
  guard.worker.reachable = true;
  guard.worker.clock_known = true;
  guard.worker.report.state = MD_WORKER_READY;
  md_runqueue_set_capacity (&guard.queue, (MdResources){ CPU, 32768, 0 });
  guard.queue.typical_cpu = NEED;
  md_guard_update_accepting (&guard);
}

static void
hear (bool evacuated, uint64_t version)
{
  MdGuardPeer peer = { .name = "entry-1" };

  md_guard_hear_evacuation (&guard, &peer, evacuated, version);
}

static uint32_t
free_after (MdTime time)
{
  guard.now = NOW + time;
  md_guard_warmup_poll (&guard);
  return guard.queue.free.cpu;
}

/* Guards against a worker that is used in part after an ordinary start or pause, and in full at
   once after an evacuation. */
START_TEST (only_an_evacuation_is_followed_by_a_warmup)
{
  start_guard ();
  ck_assert (guard.queue.accepting);
  ck_assert_uint_eq (guard.queue.free.cpu, CPU);
  guard.worker.reachable = false;
  md_guard_update_accepting (&guard);
  guard.worker.reachable = true;
  md_guard_update_accepting (&guard);
  ck_assert_uint_eq (guard.queue.free.cpu, CPU);
  hear (true, 1);
  ck_assert (!guard.queue.accepting);
  hear (false, 2);
  ck_assert (guard.queue.accepting);
  ck_assert_uint_eq (guard.queue.free.cpu, CPU / 8);
  ck_assert_uint_eq (free_after (500 * MD_MS), CPU / 8 * 4);
  ck_assert_uint_eq (free_after (990 * MD_MS), CPU / 8 * 7);
  ck_assert_uint_eq (free_after (MD_SECOND), CPU);
  ck_assert (!guard.warmup.active);
}
END_TEST

/* Guards against a warm-up that is over before the worker is back, and against one that is lost
   with a pause of the worker. */
START_TEST (warmup_begins_when_the_worker_is_usable)
{
  start_guard ();
  hear (true, 1);
  guard.worker.reachable = false;
  hear (false, 2);
  ck_assert (!guard.queue.accepting);
  guard.now = NOW + 10 * MD_SECOND;
  guard.worker.reachable = true;
  md_guard_update_accepting (&guard);
  ck_assert_uint_eq (guard.queue.free.cpu, CPU / 8);
  ck_assert_uint_eq (free_after (10500 * MD_MS), CPU / 8 * 4);
  guard.worker.reachable = false;
  md_guard_update_accepting (&guard);
  guard.worker.reachable = true;
  md_guard_update_accepting (&guard);
  ck_assert_uint_eq (guard.queue.free.cpu, CPU / 8 * 4);
  ck_assert_uint_eq (free_after (11 * MD_SECOND), CPU);
}
END_TEST

/* Guards against a cold worker that is used like a warm one, and against a worker that starts
   nothing for a second because its usual run is larger than the first share. */
START_TEST (cold_worker_takes_longer_and_one_run_always_fits)
{
  start_guard ();
  guard.worker.cold_until = NOW + 2 * MD_SECOND;
  guard.queue.typical_cpu = 5000;
  hear (true, 1);
  hear (false, 2);
  ck_assert_uint_eq (guard.queue.free.cpu, 5000);
  ck_assert_uint_eq (free_after (MD_SECOND), 5000);
  ck_assert_uint_eq (free_after (2 * MD_SECOND), CPU / 8 * 4);
  ck_assert_uint_eq (free_after (2500 * MD_MS), CPU);
}
END_TEST

/* Guards against a report whose coldness is not understood, or that is refused because of it. */
START_TEST (coldness_is_read)
{
  static const struct
  {
    const char *field;
    MdTime cold;
  } cases[] = { { "", 0 },
                { ",\"cold_remaining_ms\":1500", 1500 * MD_MS },
                { ",\"cold_remaining_ms\":-1", 0 },
                { ",\"cold_remaining_ms\":\"long\"", 0 } };

  for (size_t i = 0; i < MD_ARRAY_SIZE (cases); i++)
    {
      MD_AUTO_BUF body = { 0 };
      MdWorkerReport report;
      MdError error = { 0 };

      md_buf_printf (&body,
                     "{\"service\":\"calc\",\"state\":\"ready\",\"born\":1,\"sequence\":2,"
                     "\"capacity\":{\"cpu\":16000,\"mem_mb\":64}%s}",
                     cases[i].field);
      ck_assert_int_eq (md_platform_parse_worker_report (md_buf_str (&body), MD_STR ("i-1"),
                                                         &report, &error),
                        MD_OK);
      ck_assert_int_eq (report.cold, cases[i].cold);
      md_worker_report_clear (&report);
    }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("warmup");

  tcase_add_test (tc, share_grows_in_a_second_or_longer_while_cold);
  tcase_add_test (tc, next_step_is_due_when_it_comes);
  tcase_add_test (tc, wait_for_the_share_is_reported);
  tcase_add_test (tc, started_runs_keep_their_room);
  tcase_add_test (tc, only_an_evacuation_is_followed_by_a_warmup);
  tcase_add_test (tc, warmup_begins_when_the_worker_is_usable);
  tcase_add_test (tc, cold_worker_takes_longer_and_one_run_always_fits);
  tcase_add_test (tc, coldness_is_read);
  return run_suite ("warmup", tc);
}
