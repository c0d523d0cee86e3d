/* test-entry-where.c -- questions where a job would go, answered by the engine of an entry

   The entry has two guards on different racks, without links. */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <jansson.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define N_GUARDS 2

static MdRunEntry entry;
static MdEntryGuard guards[N_GUARDS];
static MdWorker *workers[N_GUARDS];
static MdSavedResources saved[N_GUARDS];
static bool excluded[N_GUARDS];
static MdCallerRequest request;
static int caller[2]; /* the entry's and the caller's end of a connection */
static json_t *root;  /* of the last answer */

static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  for (int i = 0; i < N_GUARDS; i++)
    {
      MdWorker *worker = &guards[i].worker;

      guards[i] = (MdEntryGuard){ .worker = { .speed = 1,
                                              .connected = true,
                                              .state = MD_WORKER_READY,
                                              .capacity = { 16000, 32768, 0 },
                                              .free = { 16000, 32768, 0 },
                                              .reported_at = NOW - 3 * MD_MS } };
      md_str_copy (guards[i].name, MD_NAME_BYTES, i == 0 ? MD_STR ("guard-a") : MD_STR ("guard-b"));
      worker->traits = test_traits ("calc", "", i == 0 ? "rack-a" : "rack-b");
      workers[i] = worker;
    }
  entry.workers = (MdWorkers){ .workers = workers, .n = N_GUARDS, .remote_factor = 1.5 };
  entry.excluded = excluded;
  root = NULL;
}

static void
teardown (void)
{
  md_entry_fail_all (&entry);
  for (int i = 0; i < N_GUARDS; i++)
    while (guards[i].orders != NULL)
      md_entry_order_ended (&entry, guards[i].orders, MD_RUN_REJECTED, 0, "");
  md_buf_clear (&request.body);
  json_decref (root);
  close (request.event);
  close (caller[0]);
  close (caller[1]);
}

/* Posts a job of two steps and handles the request. */
static void
post (MdCallerRequestKind kind, uint32_t tasks)
{
  md_buf_clear (&request.body);
  request = (MdCallerRequest){ .kind = kind,
                               .id = "a",
                               .arrived = entry.now,
                               .event = eventfd (0, EFD_NONBLOCK),
                               .socket = caller[0],
                               .response_timeout = 60 * MD_SECOND };
  request.spec.steps = calloc (2, sizeof *request.spec.steps);
  request.spec.n_steps = 2;
  request.spec.best_effort = true;
  for (int i = 0; i < 2; i++)
    request.spec.steps[i] = (MdRunStep){ .n_tasks = i == 0 ? tasks : 1,
                                         .resources = { 1600, 64, 0 },
                                         .declared_time = 100 * MD_MS,
                                         .depends_on = i == 0 ? 0 : 1,
                                         .affinity = MD_STR ("rack-a") };
  request.route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 2, .target_latency = 100 * MD_MS });
  md_inbox_push (&entry.inbox, &request.node);
  md_entry_handle_requests (&entry, MD_SECOND);
}

static void
ask (uint32_t tasks)
{
  post (MD_CALLER_REQUEST_WHERE, tasks);
  ck_assert (request.answered);
  json_decref (root);
  root = json_loadb (request.body.data, request.body.len, 0, NULL);
  ck_assert_ptr_nonnull (root);
}

static const json_t *
placement (size_t task)
{
  const json_t *step = json_array_get (json_object_get (root, "steps"), 0);

  return json_array_get (json_object_get (step, "placements"), task);
}

static const char *
text (const json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));

  return value != NULL ? value : "";
}

/* Guards against a question that takes capacity, counts as a job, or is learned from. */
START_TEST (nothing_stays)
{
  MdWorker before[N_GUARDS] = { guards[0].worker, guards[1].worker };
  int64_t metrics[MD_METRIC_COUNT];

  for (int i = 0; i < MD_METRIC_COUNT; i++)
    metrics[i] = atomic_load (&md_metrics[i]);
  ask (30);
  ck_assert_int_eq (request.status, 200);
  for (int i = 0; i < N_GUARDS; i++)
    {
      ck_assert_uint_eq (before[i].free.cpu, guards[i].worker.free.cpu);
      ck_assert_uint_eq (before[i].free.memory_mb, guards[i].worker.free.memory_mb);
      ck_assert_int_eq (before[i].wait, guards[i].worker.wait);
      ck_assert_int_eq (before[i].next_end, guards[i].worker.next_end);
      ck_assert_uint_eq (before[i].near_waiting, guards[i].worker.near_waiting);
      ck_assert_uint_eq (before[i].outstanding, guards[i].worker.outstanding);
      ck_assert_ptr_null (guards[i].orders);
    }
  for (int i = 0; i < MD_METRIC_COUNT; i++)
    ck_assert_int_eq (metrics[i], atomic_load (&md_metrics[i]));
  ck_assert_ptr_null (entry.jobs);
  ck_assert_uint_eq (entry.n_stats, 0);
  ck_assert_uint_eq (entry.n_tasks, 0);
  ck_assert_uint_eq (entry.next_order_id, 1);
}
END_TEST

/* Guards against an answer that differs from where the job then goes. The near worker has room for
   two tasks; the third waits there. */
START_TEST (job_goes_where_it_was_said)
{
  guards[0].worker.free.cpu = 2 * 1600;
  guards[0].worker.wait = guards[0].worker.next_end = 10 * MD_MS;
  ask (3);
  ck_assert_str_eq (text (json_object_get (root, "admission"), "decision"), "admit");
  ck_assert_int_eq (json_integer_value (json_object_get (placement (2), "near_wait_ms")), 15);
  ck_assert_int_eq (json_integer_value (json_object_get (placement (2), "report_age_ms")), 3);
  close (request.event);
  post (MD_CALLER_REQUEST_SUBMIT, 3);
  ck_assert_ptr_nonnull (entry.jobs);
  for (uint32_t k = 0; k < 3; k++)
    {
      const MdEntryOrder *order = entry.jobs->runjob.tasks[0][k].order;

      ck_assert_ptr_nonnull (order);
      ck_assert_str_eq (order->guard->name, text (placement (k), "guard"));
      ck_assert_int_eq (order->near_until > 0 ? (order->near_until - NOW) / MD_MS : 0,
                        json_integer_value (json_object_get (placement (k), "near_wait_ms")));
    }
}
END_TEST

/* Guards against an engine that is held up by a question. */
START_TEST (large_jobs_and_a_late_entry_are_refused)
{
  ask (1023);
  ck_assert_int_eq (request.status, 200);
  ck_assert_ptr_nonnull (placement (10));
  ck_assert_ptr_null (placement (64));
  close (request.event);
  ask (1024);
  ck_assert_int_eq (request.status, 413);
  ck_assert_str_ne (text (root, "error"), "");
  close (request.event);
  atomic_store (&entry.load.overloaded, true);
  ask (1);
  ck_assert_int_eq (request.status, 500);
  ck_assert_str_eq (text (root, "error"), "the entry is short of processor time");
}
END_TEST

/* Guards against "admit" for a job that fits on no worker, and in a queue whose pool is empty. */
START_TEST (impossible_job_is_told)
{
  for (int i = 0; i < N_GUARDS; i++)
    guards[i].worker.capacity.cpu = 1000;
  ask (1);
  ck_assert_int_eq (request.status, 200);
  ck_assert_str_eq (text (json_object_get (root, "admission"), "decision"), "reject");
  ck_assert_ptr_null (placement (0));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-where");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, nothing_stays);
  tcase_add_test (tc, job_goes_where_it_was_said);
  tcase_add_test (tc, large_jobs_and_a_late_entry_are_refused);
  tcase_add_test (tc, impossible_job_is_told);
  return run_suite ("entry-where", tc);
}
