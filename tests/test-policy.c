/* test-policy.c -- shares, quotas, ageing, limits, retry budget, ejection and
   estimates, each on its own */

#include "dispatch-private.h"
#include "suite.h"

#include <math.h>

#define MAX_TASKS 400

typedef struct
{
  MdDispatch *core;
  MdTuning tuning;
  MdTime now;
  uint64_t jobs;
} Pool;

static Pool
pool_new (uint32_t guards, uint32_t slots)
{
  Pool pool = { 0 };

  md_tuning_default (&pool.tuning);
  pool.core = md_dispatch_new (&pool.tuning);
  for (uint32_t i = 1; i <= guards; i++)
    {
      char name[2] = { (char)('a' + i), '\0' };
      MdGuardInfo info = { .id = i, .name = md_str (name), .slots = slots };

      md_dispatch_guard_up (pool.core, &info, 0);
    }
  md_dispatch_serve (pool.core, 0, 0);
  return pool;
}

static uint64_t
submit (Pool *pool, const char *customer, uint32_t n, MdTime declared)
{
  MdTaskSpec tasks[MAX_TASKS] = { 0 };
  MdAdmission admission;
  MdJobSpec spec = { .key = { 0, ++pool->jobs }, .tasks = tasks, .n_tasks = n };

  for (uint32_t i = 0; i < n; i++)
    tasks[i].declared = declared;
  spec.customer = md_str (customer);
  spec.deadline = pool->now + 600 * MD_SECOND;
  md_dispatch_submit (pool->core, &spec, pool->now, 0, &admission);
  ck_assert_int_eq (admission.kind, MD_ADMIT_QUEUED);
  return pool->jobs;
}

/* Takes out decisions and stores the starts; returns their number. */
static uint32_t
starts (Pool *pool, MdDispatchDecision *out, uint32_t max)
{
  MdDispatchDecision d;
  uint32_t n = 0;

  while (md_dispatch_next (pool->core, pool->now, &d))
    if (d.kind == MD_DISPATCH_START && n < max)
      out[n++] = d;
  return n;
}

/* Runs started tasks for one round of the given length; returns the starts. */
static uint32_t
run_round (Pool *pool, MdDispatchDecision *out, uint32_t max, MdTime run)
{
  uint32_t n = starts (pool, out, max);

  pool->now += run;
  for (uint32_t i = 0; i < n; i++)
    md_dispatch_answer (pool->core, out[i].u.start.guard, out[i].key, out[i].u.start.task,
                        MD_TASK_OK, MD_REASON_NONE, run, pool->now);
  return n;
}

/* Guards against a customer with much work taking more than its share. */
START_TEST (test_weights)
{
  Pool pool = pool_new (2, 4);
  MdDispatchDecision out[16];
  uint64_t gold;
  uint32_t counts[2] = { 0, 0 };

  md_dispatch_set_customer (pool.core, MD_STR ("gold"), &(MdCustomerPolicy){ .weight = 3 });
  submit (&pool, "silver", MAX_TASKS, 100 * MD_MS);
  gold = submit (&pool, "gold", MAX_TASKS, 100 * MD_MS);
  for (int round = 0; round < 25; round++)
    {
      uint32_t n = run_round (&pool, out, 16, 100 * MD_MS);

      for (uint32_t i = 0; i < n; i++)
        counts[out[i].key.lo == gold]++;
    }
  ck_assert_uint_eq (counts[0] + counts[1], 200);
  ck_assert_uint_ge (counts[1], 148);
  ck_assert_uint_le (counts[1], 152);
  md_dispatch_free (pool.core);
}
END_TEST

/* Guards against a customer that was idle being paid back for it. */
START_TEST (test_idle_gains_nothing)
{
  Pool pool = pool_new (1, 4);
  MdDispatchDecision out[8];
  uint32_t late = 0;
  uint64_t job;

  submit (&pool, "busy", MAX_TASKS, 100 * MD_MS);
  for (int round = 0; round < 40; round++)
    run_round (&pool, out, 8, 100 * MD_MS);
  job = submit (&pool, "late", MAX_TASKS, 100 * MD_MS);
  for (int round = 0; round < 10; round++)
    {
      uint32_t n = run_round (&pool, out, 8, 100 * MD_MS);

      for (uint32_t i = 0; i < n; i++)
        late += out[i].key.lo == job;
    }
  ck_assert_uint_ge (late, 18);
  ck_assert_uint_le (late, 22);
  md_dispatch_free (pool.core);
}
END_TEST

/* Guards against a slot quota that does not hold while other slots are free. */
START_TEST (test_slot_quota)
{
  Pool pool = pool_new (2, 4);
  MdDispatchDecision out[16];
  uint32_t total = 0;

  md_dispatch_set_customer (pool.core, MD_STR ("a"),
                            &(MdCustomerPolicy){ .weight = 1, .slot_quota = 2 });
  submit (&pool, "a", MAX_TASKS, 100 * MD_MS);
  for (int round = 0; round < 20; round++)
    {
      uint32_t n = run_round (&pool, out, 16, 100 * MD_MS);

      ck_assert_uint_le (n, 2);
      total += n;
    }
  ck_assert_uint_ge (total, 36);
  md_dispatch_free (pool.core);
}
END_TEST

/* Guards against a large job that never starts because small ones keep coming. */
START_TEST (test_ageing)
{
  Pool pool = pool_new (1, 1);
  MdDispatchDecision out[4];
  uint64_t large = submit (&pool, "a", 10, 100 * MD_MS);
  uint32_t waited = 0;

  submit (&pool, "a", 1, 100 * MD_MS);
  for (; waited < 100; waited++)
    {
      submit (&pool, "a", 1, 100 * MD_MS);
      submit (&pool, "a", 1, 100 * MD_MS);
      if (run_round (&pool, out, 4, 100 * MD_MS) == 1 && waited > 0 && out[0].key.lo == large)
        break;
    }
  ck_assert_uint_gt (waited, 10); /* small jobs do go first for a while */
  ck_assert_uint_le (waited, 40); /* max_slowdown times its ideal of a second */
  md_dispatch_free (pool.core);
}
END_TEST

/* Guards against retries that multiply the load during a failure. */
START_TEST (test_retry_budget)
{
  MdRetryBudget budget;
  MdTuning tuning;
  uint32_t taken = 0;

  md_tuning_default (&tuning);
  md_retry_init (&budget, &tuning);
  while (md_retry_withdraw (&budget))
    taken++;
  ck_assert_uint_eq (taken, (uint32_t)tuning.retry_burst);
  taken = 0;
  for (int i = 0; i < 1000; i++)
    {
      md_retry_deposit (&budget);
      taken += md_retry_withdraw (&budget);
    }
  ck_assert_uint_ge (taken, 99);
  ck_assert_uint_le (taken, 100);
}
END_TEST

static uint32_t
fail_guards (Pool *pool, uint32_t bad, uint32_t rounds, MdTaskResult result)
{
  MdDispatchDecision out[64];
  MdDispatchStats stats;

  for (uint32_t r = 0; r < rounds; r++)
    {
      uint32_t n;

      for (int i = 0; i < 24; i++)
        submit (pool, "a", 1, 100 * MD_MS);
      n = starts (pool, out, 64);
      pool->now += 10 * MD_MS;
      for (uint32_t i = 0; i < n; i++)
        md_dispatch_answer (pool->core, out[i].u.start.guard, out[i].key, out[i].u.start.task,
                            out[i].u.start.guard <= bad ? result : MD_TASK_OK, MD_REASON_NONE,
                            10 * MD_MS, pool->now);
    }
  md_dispatch_stats (pool->core, &stats);
  return stats.ejected;
}

/* Guards against a black hole staying in use, and against ejecting more than a
   third of the guards or any guard when all fail alike. */
START_TEST (test_ejection)
{
  Pool one = pool_new (6, 4);
  Pool many = pool_new (6, 4);
  Pool all = pool_new (6, 4);

  fail_guards (&one, 0, 3, MD_TASK_OK);
  ck_assert_uint_eq (fail_guards (&one, 1, 8, MD_TASK_FAILED), 1);
  fail_guards (&many, 0, 3, MD_TASK_OK);
  ck_assert_uint_eq (fail_guards (&many, 3, 8, MD_TASK_BROKEN), 2);
  ck_assert_uint_eq (fail_guards (&all, 6, 8, MD_TASK_BROKEN), 0);
  md_dispatch_free (one.core);
  md_dispatch_free (many.core);
  md_dispatch_free (all.core);
}
END_TEST

/* Guards against trial tasks that come too often, and a guard that never comes
   back or comes back at full strength. */
START_TEST (test_probation)
{
  MdTuning tuning;
  MdHealth health;
  MdTime now = 0;

  md_tuning_default (&tuning);
  md_health_init (&health, 8);
  md_health_record_failure (&health, true, &tuning, now);
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 8);
  md_health_record_failure (&health, true, &tuning, now);
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 1); /* suspect */
  md_health_eject (&health, &tuning, now);
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 0);
  for (MdTime wait = tuning.probation_min; wait < tuning.probation_max; wait *= 2)
    {
      ck_assert_uint_eq (md_health_concurrency (&health, 8, now + wait - 1), 0);
      now += wait;
      ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 1);
      md_health_record_failure (&health, true, &tuning, now);
    }
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now + tuning.probation_max - 1), 0);
  now += tuning.probation_max;
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 1);
  ck_assert_int_eq (md_health_record_success (&health, 8, 0, &tuning, now), MD_HEALTH_UNCHANGED);
  ck_assert_int_eq (md_health_record_success (&health, 8, 0, &tuning, now), MD_HEALTH_UNCHANGED);
  ck_assert_int_eq (md_health_record_success (&health, 8, 0, &tuning, now), MD_HEALTH_READMIT);
  md_health_readmit (&health, 8);
  ck_assert_uint_eq (md_health_concurrency (&health, 8, now), 4);
}
END_TEST

/* Guards against a worker that gets slower the more it runs being kept full. */
START_TEST (test_adaptive_limit)
{
  MdTuning tuning;
  MdHealth health;

  md_tuning_default (&tuning);
  md_health_init (&health, 8);
  for (int i = 0; i < 60; i++)
    md_health_record_success (&health, 8, log (4.0), &tuning, i);
  ck_assert_uint_lt (md_health_concurrency (&health, 8, 60), 8);
  for (int i = 0; i < 100; i++)
    md_health_record_success (&health, 8, 0, &tuning, 60 + i);
  ck_assert_uint_eq (md_health_concurrency (&health, 8, 160), 8);
}
END_TEST

/* Guards against one badly declared customer or the speed of a guard being taken
   for the other. */
START_TEST (test_estimates)
{
  MdTuning tuning;
  MdSpeed speeds[3] = { 0 };
  MdCorrection low = { 0 };
  MdCorrection typical = { 0 };
  double slow;

  md_tuning_default (&tuning);
  for (int i = 0; i < 600; i++)
    {
      MdTime work = (100 + 100 * (i % 7)) * MD_MS; /* declared five times too low */

      md_estimate_learn (&speeds[i % 3], &low, &typical, work / 5, i % 3 ? work : work * 4,
                         &tuning);
    }
  slow = md_estimate_speed (&speeds[0]);
  ck_assert_double_eq_tol (md_estimate_speed (&speeds[1]) / slow, 4, 0.2);
  ck_assert_double_eq_tol (md_estimate_work (&low, 40 * MD_MS) / md_estimate_speed (&speeds[2]),
                           200 * MD_MS, 20 * MD_MS);
}
END_TEST

/* Guards against taking in work that will miss its deadline, and against refusing
   a short job because of work that is due much later. */
START_TEST (test_demand)
{
  MdDeadlineDemand *demand = calloc (1, sizeof *demand);
  MdTime now = 5000 * MD_SECOND;

  demand->work[md_demand_bucket (now + 100 * MD_SECOND, now)] = 40e6;
  ck_assert_int_eq (md_demand_excess (demand, now + 10 * MD_SECOND, now, 4e6, 1), 0);
  ck_assert_int_gt (md_demand_excess (demand, now + 10 * MD_SECOND, now, 6e6, 1), 0);
  ck_assert_int_gt (md_demand_excess (demand, now + 100 * MD_SECOND, now, 20e6, 1), 0);
  ck_assert_int_gt (md_demand_excess (demand, now + 50 * MD_SECOND, now, 20e6, 1), 0);
  ck_assert_int_eq (md_demand_excess (demand, now + 50 * MD_SECOND, now, 5e6, 1), 0);
  free (demand);
}
END_TEST

/* Guards against a cancellation that costs more than one message per guard and
   than time in proportion to its tasks. */
START_TEST (test_cancel_once_per_guard)
{
  Pool pool = pool_new (10, 8);
  MdDispatchDecision out[80];
  MdDispatchDecision d;
  uint32_t cancels = 0;
  uint64_t job = submit (&pool, "a", MAX_TASKS, 100 * MD_MS);

  ck_assert_uint_eq (starts (&pool, out, 80), 80);
  ck_assert_int_eq (md_dispatch_cancel (pool.core, (MdKey){ 0, job }, pool.now), MD_OK);
  while (md_dispatch_next (pool.core, pool.now, &d))
    {
      ck_assert_int_ne (d.kind, MD_DISPATCH_START);
      cancels += d.kind == MD_DISPATCH_CANCEL;
    }
  ck_assert_uint_eq (cancels, 10);
  md_dispatch_free (pool.core);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("policy");

  tcase_add_test (tc, test_weights);
  tcase_add_test (tc, test_idle_gains_nothing);
  tcase_add_test (tc, test_slot_quota);
  tcase_add_test (tc, test_ageing);
  tcase_add_test (tc, test_retry_budget);
  tcase_add_test (tc, test_ejection);
  tcase_add_test (tc, test_probation);
  tcase_add_test (tc, test_adaptive_limit);
  tcase_add_test (tc, test_estimates);
  tcase_add_test (tc, test_demand);
  tcase_add_test (tc, test_cancel_once_per_guard);
  return run_suite ("policy", tc);
}
