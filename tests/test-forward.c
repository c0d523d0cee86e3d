/* test-forward.c -- replies to forwarded submissions

   Guards against the end of an entry by a reply that it has no memory for. */

#include "entry-private.h"
#include "suite.h"

/* An allocation that is too large returns NULL, as in a build without a sanitizer. */
const char *__asan_default_options (void);
const char *__tsan_default_options (void);

const char *
__asan_default_options (void)
{
  return "allocator_may_return_null=1";
}

const char *
__tsan_default_options (void)
{
  return "allocator_may_return_null=1";
}

START_TEST (reply_without_memory_fails_the_job_only)
{
  Md__ForwardReply wire = MD__FORWARD_REPLY__INIT;
  MdEntry entry = { 0 };
  MdResultFuture *future = md_result_future_new ();
  Pending *pending = calloc (1, sizeof *pending);
  MdResult *result;

  ck_assert_ptr_nonnull (future);
  ck_assert_ptr_nonnull (pending);
  atomic_fetch_add (&future->refs, 1);
  pending->request = 7;
  pending->sub = md_submission_new (1);
  pending->waiters = md_waiter_local (future);
  entry.pending = pending;
  wire.request = 7;
  wire.state = MD_STATE_DONE;
  wire.outcome = MD_OUTCOME_RAN;
  wire.n_answers = SIZE_MAX / 2; /* no machine has memory for them */
  md_forward_reply (&entry, &wire);
  result = md_result_future_wait (future, 0);
  ck_assert_ptr_nonnull (result);
  ck_assert_int_eq (result->state, MD_STATE_FAILED);
  ck_assert_int_eq (result->outcome, MD_OUTCOME_UNKNOWN);
  ck_assert_uint_eq (result->n_answers, 0);
  ck_assert_ptr_null (entry.pending);
  md_result_unref (result);
  md_result_future_unref (future);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("forward");

  tcase_add_test (tc, reply_without_memory_fails_the_job_only);
  return run_suite ("forward", tc);
}
