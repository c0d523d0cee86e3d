/* test-recover.c -- jobs that a new owner knows from the records of guards only */

#include "md-private.h"
#include "suite.h"

#include <stdio.h>

#define T0 (1000 * MD_SECOND)
#define WALL_MS 1000000
#define FIRST_GUARD 11
#define SECOND_GUARD 12

static const MdKey job_key = { 7, 70 };
static const MdKey job_fingerprint = { 8, 80 };

static void
add_guard (MdDispatch *d, uint64_t id)
{
  MdGuardInfo info = { .id = id,
                       .name = id == FIRST_GUARD ? MD_STR ("guard-1") : MD_STR ("guard-2"),
                       .failure_domain = MD_STR ("lusitania-a"),
                       .slots = 4,
                       .cores = 16,
                       .memory_mb = 65536 };

  ck_assert_int_eq (md_dispatch_guard_up (d, &info, T0), MD_OK);
}

static void
recover (MdDispatch *d, uint64_t guard, uint32_t task, MdRecordState state)
{
  MdRecord record = { .key = job_key,
                      .fingerprint = job_fingerprint,
                      .task = task,
                      .n_tasks = 2,
                      .state = state,
                      .guard = guard };

  md_dispatch_recover (d, &record, NULL, NULL, T0);
}

/* A new owner with two guards, the first of which has accepted both tasks of a job. */
static MdDispatch *
new_owner (int64_t cut_ms)
{
  MdTuning tuning;
  MdDispatch *d;

  md_tuning_default (&tuning);
  d = md_dispatch_new (&tuning);
  add_guard (d, FIRST_GUARD);
  add_guard (d, SECOND_GUARD);
  recover (d, FIRST_GUARD, 0, MD_RECORD_RUNNING);
  recover (d, FIRST_GUARD, 1, MD_RECORD_RUNNING);
  md_dispatch_serve (d, cut_ms, T0);
  return d;
}

static MdAdmitKind
submit (MdDispatch *d, int64_t submitted_ms)
{
  MdTaskSpec tasks[2] = { { .declared = 10 * MD_MS }, { .declared = 10 * MD_MS } };
  MdJobSpec spec = { .key = job_key,
                     .fingerprint = job_fingerprint,
                     .customer = MD_STR ("alentejo"),
                     .tasks = tasks,
                     .n_tasks = 2,
                     .deadline = T0 + 20 * MD_SECOND,
                     .submitted_ms = submitted_ms };
  MdAdmission admission;

  md_dispatch_submit (d, &spec, T0, WALL_MS, &admission);
  return admission.kind;
}

/* Drains the decisions and counts the starts of task 0 at the second guard. A start
   elsewhere is an error: the first guard keeps the refusal. */
static uint32_t
starts_of_refused_task (MdDispatch *d, MdDispatchDecision *finish)
{
  MdDispatchDecision decision;
  uint32_t n = 0;

  while (md_dispatch_next (d, T0, &decision))
    if (decision.kind == MD_DISPATCH_START)
      {
        ck_assert_uint_eq (decision.u.start.task, 0);
        ck_assert_uint_eq (decision.u.start.guard, SECOND_GUARD);
        n++;
      }
    else if (decision.kind == MD_DISPATCH_FINISH)
      *finish = decision;
  return n;
}

static void
refuse_at_first_guard (MdDispatch *d)
{
  md_dispatch_answer (d, FIRST_GUARD, job_key, 0, MD_TASK_NOT_RUN, MD_REASON_NOT_ATTACHED, 0, T0);
}

/* Guards against a start decision for a job whose submission has not arrived: its request is not
   known, and the entry that carries the decision out ends by SIGSEGV. */
START_TEST (test_refused_task_waits_for_submission)
{
  MdDispatch *d = new_owner (0);
  MdDispatchDecision finish = { 0 };

  refuse_at_first_guard (d);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 0);
  ck_assert_int_eq (submit (d, WALL_MS - 10), MD_ADMIT_ATTACHED);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 1);
  md_dispatch_free (d);
}
END_TEST

/* Guards against a second start where the records of a guard are lost: the refused task may have
   been placed again there. */
START_TEST (test_refused_task_before_cut_is_unproven)
{
  MdDispatch *d = new_owner (WALL_MS - 5);
  MdDispatchDecision finish = { 0 };

  refuse_at_first_guard (d);
  submit (d, WALL_MS - 10);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 0);
  ck_assert_int_eq (finish.kind, MD_DISPATCH_FINISH);
  ck_assert_int_eq (finish.u.finish.reason, MD_REASON_UNPROVEN);
  md_dispatch_free (d);
}
END_TEST

/* Guards against a job that waits until its deadline for a task that its guard has refused, when
   the refusal was lost with a connection and the guard is attached again. */
START_TEST (test_repeated_records_tell_a_refusal)
{
  MdDispatch *d = new_owner (0);
  MdDispatchDecision finish = { 0 };

  recover (d, FIRST_GUARD, 0, MD_RECORD_REFUSED);
  recover (d, FIRST_GUARD, 1, MD_RECORD_RUNNING);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 0);
  ck_assert_int_eq (submit (d, WALL_MS - 10), MD_ADMIT_ATTACHED);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 1);
  md_dispatch_free (d);
}
END_TEST

/* Guards against a second start of a task that another owner has started meanwhile, after a
   refusal of the attempt that was known. */
START_TEST (test_start_of_another_owner_fails_the_job)
{
  MdDispatch *d = new_owner (0);
  MdDispatchDecision finish = { 0 };

  md_dispatch_guard_pause (d, SECOND_GUARD, true, T0);
  refuse_at_first_guard (d);
  submit (d, WALL_MS - 10);
  recover (d, SECOND_GUARD, 0, MD_RECORD_RUNNING);
  md_dispatch_guard_pause (d, SECOND_GUARD, false, T0);
  ck_assert_uint_eq (starts_of_refused_task (d, &finish), 0);
  ck_assert_int_eq (finish.u.finish.reason, MD_REASON_UNPROVEN);
  md_dispatch_free (d);
}
END_TEST

/* Guards against a pool that starts nothing although its workers are idle: a recovered task that
   every guard had refused stayed at the head of the queue until its deadline. */
START_TEST (test_task_refused_everywhere_holds_up_no_other)
{
  MdTaskSpec task = { .declared = 10 * MD_MS };
  MdJobSpec other = { .key = { 9, 90 },
                      .fingerprint = { 9, 91 },
                      .customer = MD_STR ("alentejo"),
                      .tasks = &task,
                      .n_tasks = 1,
                      .deadline = T0 + 20 * MD_SECOND,
                      .submitted_ms = WALL_MS };
  MdDispatch *d = new_owner (0);
  MdDispatchDecision decision;
  MdAdmission admission;
  bool started = false;
  bool failed = false;

  refuse_at_first_guard (d);
  recover (d, SECOND_GUARD, 0, MD_RECORD_REFUSED);
  submit (d, WALL_MS - 10);
  md_dispatch_submit (d, &other, T0, WALL_MS, &admission);
  while (md_dispatch_next (d, T0, &decision))
    {
      started = started || decision.kind == MD_DISPATCH_START;
      failed = failed
               || (decision.kind == MD_DISPATCH_FINISH
                   && decision.u.finish.reason == MD_REASON_NO_UPSTREAM);
    }
  ck_assert (started);
  ck_assert (failed);
  md_dispatch_free (d);
}
END_TEST

/* Guards against "not run" for a job of which a guard that has not sent its records may have run a
   task. */
START_TEST (test_cancelled_recovered_job_is_not_called_not_run)
{
  MdDispatch *d = new_owner (0);
  MdKey other = { 3, 30 };
  MdRecord refused = { .key = other,
                       .fingerprint = job_fingerprint,
                       .n_tasks = 2,
                       .state = MD_RECORD_REFUSED,
                       .guard = FIRST_GUARD };
  MdDispatchDecision decision;

  md_dispatch_recover (d, &refused, NULL, NULL, T0);
  ck_assert_int_eq (md_dispatch_cancel (d, other, T0), MD_OK);
  ck_assert (md_dispatch_next (d, T0, &decision));
  ck_assert_int_eq (decision.kind, MD_DISPATCH_FINISH);
  ck_assert_int_eq (decision.u.finish.outcome, MD_OUTCOME_UNKNOWN);
  md_dispatch_free (d);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("recover");

  tcase_add_test (tc, test_refused_task_waits_for_submission);
  tcase_add_test (tc, test_refused_task_before_cut_is_unproven);
  tcase_add_test (tc, test_repeated_records_tell_a_refusal);
  tcase_add_test (tc, test_start_of_another_owner_fails_the_job);
  tcase_add_test (tc, test_task_refused_everywhere_holds_up_no_other);
  tcase_add_test (tc, test_cancelled_recovered_job_is_not_called_not_run);
  return run_suite ("recover", tc);
}
