/* test-entry-aged.c -- a job whose caller had waited before it arrived, at an entry with one guard
   and without links */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define RUN_TIME (100 * MD_MS)  /* the goal is 452 ms after the arrival */
#define TIMEOUT (4 * MD_SECOND) /* usual for the queue */

static MdRunEntry entry;
static MdEntryGuard guard;
static MdWorker *workers[] = { &guard.worker };
static MdSavedResources saved[2];
static bool excluded[2];
static MdCallerRequest request;
static int caller[2]; /* the entry's and the caller's end of a connection */

static void
submit_job (const char *id, MdTime response_timeout)
{
  MdRunStep *step = calloc (1, sizeof *step);

  step->n_tasks = 1;
  step->resources = (MdResources){ 1600, 64, 0 };
  step->declared_time = RUN_TIME;
  request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                               .arrived = entry.now,
                               .event = eventfd (0, EFD_NONBLOCK),
                               .socket = caller[0],
                               .response_timeout = response_timeout };
  md_str_copy (request.id, sizeof request.id, md_str (id));
  request.spec = (MdRunSpec){ .steps = step, .n_steps = 1, .best_effort = true };
  request.route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 4, .target_latency = 60 * MD_MS });
  md_inbox_push (&entry.inbox, &request.node);
  md_entry_handle_requests (&entry, MD_SECOND);
}

/* Sixteen jobs of callers that have not waited. */
static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  guard = (MdEntryGuard){ .worker = { .speed = 1,
                                      .connected = true,
                                      .state = MD_WORKER_READY,
                                      .capacity = { 16000, 32768, 0 },
                                      .free = { 16000, 32768, 0 },
                                      .reported_at = NOW } };
  guard.worker.traits = test_traits ("calc", NULL, NULL);
  entry.workers = (MdWorkers){ .workers = workers, .n = 1, .remote_factor = 1.5 };
  entry.excluded = excluded;
  for (int i = 0; i < 16; i++)
    {
      submit_job ("1", TIMEOUT);
      ck_assert_ptr_nonnull (entry.jobs);
      ck_assert_int_eq (entry.jobs->age, 0);
      md_entry_finish_job (&entry, entry.jobs, 0, NULL, "caller-left", 0);
      guard.unsent = NULL;
      md_entry_order_ended (&entry, guard.orders, MD_RUN_STOPPED, 0, "");
      guard.worker.free = guard.worker.capacity;
      md_buf_clear (&request.body);
    }
}

static void
teardown (void)
{
  close (caller[0]);
  close (caller[1]);
  md_buf_clear (&request.body);
}

/* Guards against an aged job that is placed before jobs that can be in time, and against one that
   is withdrawn at the next tick because its goal has passed although its caller waits. */
START_TEST (aged_job_runs_behind_the_others)
{
  MdEntryOrder *order;

  submit_job ("2", TIMEOUT - 2 * MD_SECOND);
  ck_assert_ptr_nonnull (entry.jobs);
  ck_assert_int_ge (entry.jobs->age, 1900 * MD_MS);
  ck_assert_int_lt (entry.jobs->goal, entry.jobs->arrived);
  ck_assert_int_eq (entry.jobs->limit, entry.jobs->deadline);
  ck_assert_int_eq (entry.jobs->deadline, entry.now + TIMEOUT - 2 * MD_SECOND);
  order = entry.jobs->runjob.tasks[0][0].order;
  ck_assert_ptr_nonnull (order);
  ck_assert_int_lt (order->start_within, 0);
  entry.now += 20 * MD_MS;
  guard.worker.reported_at = entry.now;
  md_entry_jobs_tick (&entry);
  ck_assert (!order->withdrawn);
  ck_assert (!entry.jobs->giving_up);
}
END_TEST

/* Guards against an aged job that takes capacity while others wait, and against one that waits for
   the reports of further guards instead of being rejected at once. */
START_TEST (aged_job_is_rejected_behind_others)
{
  int64_t aged = atomic_load (&md_metrics[MD_M_JOBS_AGED]);
  MdEntryGuard sparse = guard;
  MdWorker *both[] = { &guard.worker, &sparse.worker };

  sparse.worker.sparse = true;
  entry.workers = (MdWorkers){ .workers = both, .n = 2, .remote_factor = 1.5 };
  entry.daemon.settings.max_followed = 64;
  guard.worker.free.cpu = 0;
  guard.worker.wait = 20 * MD_MS;
  submit_job ("2", TIMEOUT - 2 * MD_SECOND);
  ck_assert_ptr_null (entry.jobs);
  ck_assert_int_eq (request.status, 429);
  ck_assert_int_ge (request.retry_after, 200 * MD_MS);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_JOBS_AGED]), aged + 1);
}
END_TEST

/* Guards against a caller that states no time and is taken for one that has waited. */
START_TEST (job_without_a_timeout_has_no_age)
{
  submit_job ("2", 0);
  ck_assert_ptr_nonnull (entry.jobs);
  ck_assert_int_eq (entry.jobs->age, 0);
  ck_assert_int_gt (entry.jobs->goal, entry.jobs->arrived);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-aged");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, aged_job_runs_behind_the_others);
  tcase_add_test (tc, aged_job_is_rejected_behind_others);
  tcase_add_test (tc, job_without_a_timeout_has_no_age);
  return run_suite ("entry-aged", tc);
}
