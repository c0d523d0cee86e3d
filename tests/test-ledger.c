/* test-ledger.c -- verdicts and memory of a guard's ledger */

#include "md-private.h"
#include "suite.h"

#define GUARD 7u
#define OWNER 100u
#define SUCCESSOR 200u
#define T0 (1000 * MD_SECOND)

static MdTuning tuning;
static MdLedger *ledger;

static void
attach (uint64_t entry, uint64_t fence, MdTime now)
{
  MdAttachResult verdict;

  md_ledger_attach (ledger, entry, &fence, fence ? 1 : 0, now, &verdict);
  ck_assert (verdict.attached);
}

static void
setup (void)
{
  md_tuning_default (&tuning);
  ledger = md_ledger_new (&tuning, GUARD);
  attach (OWNER, 0, T0);
  md_ledger_echo (ledger, OWNER, T0, T0);
}

static void
teardown (void)
{
  md_ledger_free (ledger);
}

static MdStartRequest
request (uint64_t id, uint32_t task, MdTime nonce)
{
  return (MdStartRequest){
    .key = { id, id },
    .fingerprint = { 9, id },
    .task = task,
    .n_tasks = 4,
    .owner = OWNER,
    .guard = GUARD,
    .nonce = nonce,
  };
}

static MdStartResult
send (MdStartRequest start, MdTime now)
{
  MdStartResult verdict;

  md_ledger_start (ledger, &start, now, &verdict);
  return verdict;
}

static MdReason
refusal (MdStartRequest start, MdTime now)
{
  MdStartResult verdict = send (start, now);

  ck_assert_int_eq (verdict.kind, MD_START_REFUSED);
  return verdict.reason;
}

static void
run (uint64_t id, uint32_t task, MdTime now)
{
  ck_assert_int_eq (send (request (id, task, now), now).kind, MD_START_RUN);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ id, id }, task, now), MD_REASON_NONE);
}

static void
finish (uint64_t id, uint32_t task, uint64_t bytes, MdTime now)
{
  md_ledger_finish (ledger, (MdKey){ id, id }, task, MD_RECORD_OK, bytes, now);
}

/* Guards against a second start of a task when its message is duplicated, also
   after its answer has been released, and by a fenced sender, to whom a refusal
   would say that the task did not run. */
START_TEST (test_duplicate)
{
  MdStartResult verdict;

  run (1, 0, T0);
  verdict = send (request (1, 0, T0), T0 + 1);
  ck_assert_int_eq (verdict.kind, MD_START_DUPLICATE);
  ck_assert_int_eq (verdict.state, MD_RECORD_RUNNING);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 1, 1 }, 0, T0 + 1), MD_REASON_REFUSED_BEFORE);
  finish (1, 0, 10, T0 + 2);
  md_ledger_release (ledger, (MdKey){ 1, 1 }, T0 + 3);
  verdict = send (request (1, 0, T0), T0 + 4);
  ck_assert_int_eq (verdict.kind, MD_START_DUPLICATE);
  ck_assert_int_eq (verdict.state, MD_RECORD_RELEASED);
  attach (SUCCESSOR, OWNER, T0 + 2 * MD_SECOND);
  ck_assert_int_eq (send (request (1, 0, T0), T0 + 2 * MD_SECOND).kind, MD_START_DUPLICATE);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 1, 1 }, 0, T0 + 3), MD_REASON_REFUSED_BEFORE);
}
END_TEST

/* Guards against answering a submission with the task of another body that was
   sent under the same key. */
START_TEST (test_other_fingerprint)
{
  MdStartRequest start = request (1, 0, T0);

  run (1, 0, T0);
  start.fingerprint.lo = 99;
  ck_assert_int_eq (refusal (start, T0), MD_REASON_KEY_REUSED);
}
END_TEST

/* Guards against two owners at one guard: a successor that fences a live holder,
   a holder that is not in the fences, a fenced entry that attaches again, and a
   fence that is partly applied by a refused attach. */
START_TEST (test_attach_and_fence)
{
  uint64_t fences[] = { OWNER, 300 };
  MdAttachResult verdict;
  MdTime silent = T0 + tuning.fence_after;

  md_ledger_attach (ledger, SUCCESSOR, fences, 2, silent - 1, &verdict);
  ck_assert (!verdict.attached && verdict.holder_alive && verdict.holder == OWNER);
  ck_assert_int_eq (verdict.reason, MD_REASON_NOT_ATTACHED);
  ck_assert (!md_ledger_fenced (ledger, 300));
  md_ledger_record_contact (ledger, OWNER, T0 + 1);
  md_ledger_attach (ledger, SUCCESSOR, fences, 2, silent, &verdict);
  ck_assert (!verdict.attached);
  md_ledger_attach (ledger, SUCCESSOR, NULL, 0, silent + 1, &verdict);
  ck_assert (!verdict.attached && !verdict.holder_alive);
  md_ledger_attach (ledger, SUCCESSOR, fences, 2, silent + 1, &verdict);
  ck_assert (verdict.attached && verdict.holder == SUCCESSOR);
  ck_assert (md_ledger_fenced (ledger, OWNER) && md_ledger_fenced (ledger, 300));
  md_ledger_attach (ledger, OWNER, NULL, 0, silent + 10 * MD_SECOND, &verdict);
  ck_assert (!verdict.attached);
  ck_assert_int_eq (verdict.reason, MD_REASON_FENCED);
  ck_assert_int_eq (refusal (request (1, 0, silent + 2), silent + 3), MD_REASON_FENCED);
}
END_TEST

/* Guards against a graceful hand-over that waits for fence_after. */
START_TEST (test_leaving_owner)
{
  md_ledger_entry_leaving (ledger, OWNER, T0);
  attach (SUCCESSOR, OWNER, T0);
  ck_assert (md_ledger_owner (ledger) == SUCCESSOR);
}
END_TEST

/* Guards against starts under a lease that has run out, that belongs to the former
   owner, or that was extended by an entry that is not the owner. */
START_TEST (test_lease)
{
  MdTime end = T0 + tuning.guard_lease;
  MdStartRequest start = request (2, 0, end);

  ck_assert_int_eq (send (request (1, 0, T0), end - 1).kind, MD_START_RUN);
  md_ledger_echo (ledger, SUCCESSOR, end, end);
  md_ledger_echo (ledger, OWNER, end + 100 * MD_SECOND, end);
  ck_assert_int_eq (refusal (request (1, 1, end), end), MD_REASON_LEASE_EXPIRED);
  md_ledger_echo (ledger, OWNER, end, end);
  ck_assert_int_eq (send (request (1, 2, end), end).kind, MD_START_RUN);
  attach (SUCCESSOR, OWNER, end + 2);
  start.owner = SUCCESSOR;
  start.nonce = end + 2;
  ck_assert_int_eq (refusal (start, end + 3), MD_REASON_LEASE_EXPIRED);
}
END_TEST

/* Guards against a start that runs after it was reported as not run: refused for
   the lease, then sent again under a fresh lease; sent before the attach and
   repeated after it; queried while on its way. */
START_TEST (test_refused_for_ever)
{
  MdTime late = T0 + tuning.guard_lease;
  MdStartRequest early = request (3, 0, late + 1);

  ck_assert_int_eq (refusal (request (1, 0, T0), late), MD_REASON_LEASE_EXPIRED);
  md_ledger_echo (ledger, OWNER, late, late);
  ck_assert_int_eq (refusal (request (1, 0, late), late), MD_REASON_REFUSED_BEFORE);

  ck_assert_int_eq (md_ledger_query (ledger, (MdKey){ 2, 2 }, (MdKey){ 9, 2 }, 0, 4, late),
                    MD_RECORD_REFUSED);
  ck_assert_int_eq (refusal (request (2, 0, late), late), MD_REASON_REFUSED_BEFORE);

  early.owner = SUCCESSOR;
  ck_assert_int_eq (refusal (early, late + 2), MD_REASON_NOT_ATTACHED);
  attach (SUCCESSOR, OWNER, late + 3);
  md_ledger_echo (ledger, SUCCESSOR, late + 3, late + 3);
  ck_assert_int_eq (refusal (early, late + 4), MD_REASON_TOO_OLD);
  early.nonce = late + 3;
  ck_assert_int_eq (send (early, late + 4).kind, MD_START_RUN);
}
END_TEST

/* Guards against a start that was meant for an earlier process of the guard, whose
   records are gone, and against one that arrives long after it was sent. */
START_TEST (test_wrong_incarnation_and_age)
{
  MdStartRequest start = request (1, 0, T0);
  MdTime now = T0 + tuning.start_max_age + 1;

  start.guard = GUARD - 1;
  ck_assert_int_eq (refusal (start, T0), MD_REASON_WRONG_INCARNATION);
  md_ledger_echo (ledger, OWNER, now, now);
  ck_assert_int_eq (refusal (request (1, 1, T0), now), MD_REASON_TOO_OLD);
  ck_assert_int_eq (send (request (1, 1, T0 + 1), now).kind, MD_START_RUN);
  now = T0 + tuning.horizon;
  md_ledger_echo (ledger, OWNER, now, now);
  ck_assert_int_eq (refusal (request (1, 2, T0), now), MD_REASON_EXPIRED);
}
END_TEST

/* Guards against a task that waits at the guard and goes upstream although in the
   meantime its owner was fenced, the lease ran out, or the job was cancelled. */
START_TEST (test_recheck_before_upstream)
{
  MdTime late = T0 + tuning.guard_lease;
  MdCancelResult result;

  for (uint64_t id = 1; id <= 3; id++)
    ck_assert_int_eq (send (request (id, 0, T0), T0).kind, MD_START_RUN);
  md_ledger_cancel (ledger, (MdKey){ 1, 1 }, T0, &result);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 1, 1 }, 0, T0), MD_REASON_CANCELLED);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 2, 2 }, 0, late), MD_REASON_LEASE_EXPIRED);
  attach (SUCCESSOR, OWNER, late);
  md_ledger_echo (ledger, SUCCESSOR, late, late);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 3, 3 }, 0, late), MD_REASON_FENCED);
  ck_assert_int_eq (md_ledger_query (ledger, (MdKey){ 3, 3 }, (MdKey){ 9, 3 }, 0, 4, late),
                    MD_RECORD_REFUSED);
}
END_TEST

/* Guards against a cancellation that overtakes the start it cancels, and one that
   reports a running or finished task as not run. */
START_TEST (test_cancel)
{
  MdTime late = T0 + tuning.horizon + tuning.clock_error;
  MdCancelResult result;

  md_ledger_cancel (ledger, (MdKey){ 5, 5 }, T0, &result);
  ck_assert_uint_eq (result.not_run + result.running + result.done, 0);
  ck_assert_int_eq (refusal (request (5, 0, T0), T0), MD_REASON_CANCELLED);
  ck_assert_int_eq (send (request (1, 0, T0), T0).kind, MD_START_RUN);
  run (1, 1, T0);
  run (1, 2, T0);
  finish (1, 2, 5, T0);
  md_ledger_cancel (ledger, (MdKey){ 1, 1 }, T0, &result);
  ck_assert_uint_eq (result.not_run, 1);
  ck_assert_uint_eq (result.running, 1);
  ck_assert_uint_eq (result.done, 1);
  ck_assert_int_eq (refusal (request (1, 0, T0), T0), MD_REASON_CANCELLED);
  md_ledger_tick (ledger, late - 1);
  md_ledger_echo (ledger, OWNER, late - 1, late - 1);
  ck_assert_int_eq (refusal (request (5, 0, late - 1), late - 1), MD_REASON_CANCELLED);
  md_ledger_tick (ledger, late);
  ck_assert_int_eq (send (request (5, 0, late), late).kind, MD_START_RUN);
}
END_TEST

/* Guards against answers that are dropped before their release or the horizon, or
   kept for ever. */
START_TEST (test_release_and_horizon)
{
  MdTime end = T0 + tuning.horizon + tuning.clock_error;
  MdLedgerStats stats;
  uint32_t task;
  MdKey key;

  run (1, 0, T0);
  run (1, 1, T0);
  run (2, 0, T0);
  finish (1, 0, 100, T0);
  finish (2, 0, 50, T0);
  md_ledger_tick (ledger, end - 1);
  ck_assert (!md_ledger_next_dropped (ledger, &key, &task));
  md_ledger_release (ledger, (MdKey){ 1, 1 }, end - 1);
  finish (1, 1, 30, end - 1);
  md_ledger_stats (ledger, &stats);
  ck_assert_uint_eq (stats.answer_bytes, 50);
  ck_assert_uint_eq (stats.tombstones, 2);
  ck_assert (md_ledger_next_dropped (ledger, &key, &task) && key.lo == 1 && task == 0);
  md_ledger_tick (ledger, end);
  ck_assert (md_ledger_next_dropped (ledger, &key, &task) && key.lo == 1 && task == 1);
  ck_assert (md_ledger_next_dropped (ledger, &key, &task) && key.lo == 2 && task == 0);
  ck_assert (!md_ledger_next_dropped (ledger, &key, &task));
  md_ledger_stats (ledger, &stats);
  ck_assert_uint_eq (stats.answer_bytes, 0);
  ck_assert_uint_eq (stats.records, 0);
  ck_assert_uint_eq (stats.tombstones, 1);
}
END_TEST

/* Guards against a successor that does not see a record: one in any state, and one
   that follows a record which disappears while the list is read. */
START_TEST (test_records)
{
  MdTime end = T0 + tuning.horizon + tuning.clock_error;
  size_t cursor = 0, n = 0, got;
  MdRecord out[2];
  uint64_t seen = 0;

  run (0, 0, T0);
  finish (0, 0, 1, T0);
  for (uint64_t id = 1; id < 40; id++)
    run (id, 0, T0 + 1);
  finish (1, 0, 1, T0 + 2);
  md_ledger_release (ledger, (MdKey){ 1, 1 }, T0 + 3);
  while ((got = md_ledger_records (ledger, &cursor, out, 2)) > 0)
    {
      for (size_t i = 0; i < got; i++)
        {
          seen |= 1ull << out[i].key.lo;
          ck_assert_int_eq (out[i].state, out[i].key.lo == 0   ? MD_RECORD_OK
                                          : out[i].key.lo == 1 ? MD_RECORD_RELEASED
                                                               : MD_RECORD_RUNNING);
        }
      n += got;
      md_ledger_tick (ledger, end);
    }
  ck_assert_uint_eq (n, 40);
  ck_assert_uint_eq (seen, (1ull << 40) - 1);
}
END_TEST

/* Guards against memory without bound, and against a refusal that is forgotten
   because there is no room for its record: the same start must not run once there
   is room again, while a start sent later may. */
START_TEST (test_bounds)
{
  MdStartRequest large = request (1, 0, T0);
  MdTime end = T0 + tuning.horizon + tuning.clock_error;
  MdLedgerStats stats;
  MdCancelResult result;
  MdTuning small = tuning;

  large.body_bytes = tuning.ledger_bytes + 1;
  ck_assert_int_eq (refusal (large, T0), MD_REASON_FULL);
  large = request (1, 1, T0);
  large.body_bytes = tuning.ledger_bytes;
  ck_assert_int_eq (send (large, T0).kind, MD_START_RUN);
  ck_assert_int_eq (refusal (request (1, 2, T0), T0), MD_REASON_FULL);
  md_ledger_finish (ledger, (MdKey){ 1, 1 }, 1, MD_RECORD_OK, 1, T0);
  ck_assert_int_eq (send (request (1, 3, T0), T0).kind, MD_START_RUN);

  md_ledger_free (ledger);
  small.ledger_records = 2;
  ledger = md_ledger_new (&small, GUARD);
  attach (OWNER, 0, T0);
  md_ledger_echo (ledger, OWNER, T0, T0);
  run (1, 0, T0);
  finish (1, 0, 0, T0);
  md_ledger_cancel (ledger, (MdKey){ 2, 2 }, T0, &result);
  md_ledger_cancel (ledger, (MdKey){ 4, 4 }, T0 + 1, &result);
  ck_assert_int_eq (refusal (request (4, 0, T0 + 1), T0 + 2), MD_REASON_TOO_OLD);
  md_ledger_echo (ledger, OWNER, end - MD_SECOND, end - MD_SECOND);
  ck_assert_int_eq (refusal (request (3, 0, end - MD_SECOND), end - 1), MD_REASON_FULL);
  md_ledger_tick (ledger, end);
  md_ledger_stats (ledger, &stats);
  ck_assert_uint_eq (stats.records, 0);
  ck_assert_int_eq (refusal (request (3, 0, end - MD_SECOND), end), MD_REASON_TOO_OLD);
  ck_assert_int_eq (send (request (3, 0, end), end).kind, MD_START_RUN);
}
END_TEST

/* Guards against new work at a leaving guard and against interrupting what it has
   accepted. */
START_TEST (test_leaving_guard)
{
  ck_assert_int_eq (send (request (1, 0, T0), T0).kind, MD_START_RUN);
  md_ledger_leave (ledger, T0);
  ck_assert_int_eq (refusal (request (1, 1, T0), T0), MD_REASON_LEAVING);
  ck_assert_int_eq (md_ledger_begin (ledger, (MdKey){ 1, 1 }, 0, T0), MD_REASON_NONE);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("ledger");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_duplicate);
  tcase_add_test (tc, test_other_fingerprint);
  tcase_add_test (tc, test_attach_and_fence);
  tcase_add_test (tc, test_leaving_owner);
  tcase_add_test (tc, test_lease);
  tcase_add_test (tc, test_refused_for_ever);
  tcase_add_test (tc, test_wrong_incarnation_and_age);
  tcase_add_test (tc, test_recheck_before_upstream);
  tcase_add_test (tc, test_cancel);
  tcase_add_test (tc, test_release_and_horizon);
  tcase_add_test (tc, test_records);
  tcase_add_test (tc, test_bounds);
  tcase_add_test (tc, test_leaving_guard);
  return run_suite ("ledger", tc);
}
