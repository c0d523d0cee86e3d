/* test-entry-late.c -- decisions of an entry that is short of processor time

   The entry has two guards and a job, without links. Its engine is late: reports wait in the
   sockets, unread, while its clock goes on. */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define LAG (390 * MD_MS) /* of the engine, as seen on a day of the grown sites */
#define RUN_TIME (900 * MD_MS)

static MdRunEntry entry;
static MdEntryGuard guards[2];
static MdWorker *workers[2];
static MdSavedResources saved[2];
static bool excluded[2];
static MdCallerRequest request;
static int caller[2];   /* the entry's and the caller's end of a connection; -1: closed */
static MdRunTask *task; /* of the job */

/* Frees what the last request was answered with. */
static void
teardown (void)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (caller); i++)
    if (caller[i] >= 0)
      close (caller[i]);
  md_buf_clear (&request.body);
}

static void
init_guard (MdEntryGuard *guard, const char *name, double speed)
{
  *guard = (MdEntryGuard){ .worker = { .speed = speed,
                                       .connected = true,
                                       .state = MD_WORKER_READY,
                                       .capacity = { 16000, 32768, 0 },
                                       .free = { 16000, 32768, 0 },
                                       .reported_at = NOW } };
  md_str_copy (guard->name, sizeof guard->name, md_str (name));
  guard->worker.traits = test_traits ("calc", NULL, NULL);
}

static void
post_job (MdTime arrived)
{
  MdRunStep *step = calloc (1, sizeof *step);

  step->n_tasks = 1;
  step->resources = (MdResources){ 1600, 64, 0 };
  step->declared_time = RUN_TIME;
  request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                               .arrived = arrived,
                               .event = eventfd (0, EFD_NONBLOCK),
                               .socket = caller[0] };
  md_str_copy (request.id, sizeof request.id, MD_STR ("1"));
  request.spec.steps = step;
  request.spec.n_steps = 1;
  request.spec.best_effort = true;
  request.response_timeout = 60 * MD_SECOND;
  request.route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 4, .target_latency = 60 * MD_MS });
  md_inbox_push (&entry.inbox, &request.node);
}

static void
submit_job (MdTime arrived)
{
  post_job (arrived);
  md_entry_handle_requests (&entry, MD_SECOND);
}

static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  init_guard (&guards[0], "guard-1", 2);
  init_guard (&guards[1], "guard-2", 1);
  workers[0] = &guards[0].worker;
  workers[1] = &guards[1].worker;
  entry.workers = (MdWorkers){ .workers = workers, .n = 2, .remote_factor = 1.5 };
  entry.excluded = excluded;
}

/* The order that the job was placed with, as if its guard had received it. */
static MdEntryOrder *
sent_order (void)
{
  MdEntryOrder *order = guards[0].orders;

  ck_assert_ptr_nonnull (order);
  ck_assert_ptr_null (guards[1].orders);
  order->sent = true;
  guards[0].unsent = NULL;
  task = &entry.jobs->runjob.tasks[0][0];
  ck_assert_ptr_eq (task->order, order);
  return order;
}

/* Guards against an entry that moves runs whose start it has not read yet: each of them costs a
   search among all workers, and the withdrawal a message, when there is least time for it. */
START_TEST (unread_reports_move_no_runs)
{
  MdEntryOrder *order;

  submit_job (entry.now);
  order = sent_order ();
  entry.now += LAG;
  guards[1].worker.speed = 8;
  md_entry_jobs_tick (&entry);
  ck_assert (!order->withdrawn);
  guards[0].worker.reported_at = guards[1].worker.reported_at = entry.now;
  entry.now += 20 * MD_MS;
  md_entry_jobs_tick (&entry);
  ck_assert (order->withdrawn);
}
END_TEST

/* Guards against the same for runs at a worker that was stalled when last heard of. */
START_TEST (unread_reports_abandon_no_runs)
{
  MdEntryOrder *order;

  submit_job (entry.now);
  order = sent_order ();
  order->started = true;
  guards[0].worker.stalled = true;
  guards[0].worker.reported_at = NOW + order->expected_run / 2;
  entry.now += 2 * order->expected_run + LAG;
  ck_assert_int_lt (entry.now + order->expected_run / 2, entry.jobs->limit);
  md_entry_jobs_tick (&entry);
  ck_assert (!order->cancelled);
  guards[0].worker.reported_at = entry.now;
  entry.now += 20 * MD_MS;
  md_entry_jobs_tick (&entry);
  ck_assert (order->cancelled);
}
END_TEST

/* Lets the engine be late by LAG for so long that it is a shortage of processor time. */
static MdTime
run_short (MdEntryLoad *load, MdTime now)
{
  MdTime end = now + 1500 * MD_MS;

  for (; now < end; now += 10 * MD_MS)
    md_entry_load_pass (load, now - LAG, now);
  return now;
}

/* Guards against an entry that admits jobs which it has no time for: they are answered late or
   never, and so are those that it has (issue 26). */
START_TEST (late_entry_admits_nothing)
{
  entry.now = run_short (&entry.load, entry.now);
  submit_job (entry.now);
  ck_assert_int_eq (request.status, 429);
  ck_assert_int_gt (request.retry_after, 0);
  ck_assert_ptr_null (entry.jobs);
  ck_assert_ptr_null (guards[0].orders);
  md_buf_clear (&request.body);
  /* It has caught up. */
  entry.now += 2 * MD_SECOND;
  guards[0].worker.reported_at = guards[1].worker.reported_at = entry.now;
  submit_job (entry.now);
  ck_assert_ptr_nonnull (guards[0].orders);
}
END_TEST

/* Guards against an entry that rejects jobs for longer than it is late, or because it was paused. */
START_TEST (overload_ends_with_the_lag)
{
  MdEntryLoad load = { 0 };
  MdTime now = NOW;
  MdTime end;

  md_entry_load_pass (&load, now - 4 * MD_SECOND, now);
  ck_assert (!load.overloaded);
  now = run_short (&load, now);
  ck_assert (load.overloaded);
  for (end = now + LAG; now < end; now += 10 * MD_MS)
    md_entry_load_pass (&load, now, now);
  ck_assert (!load.overloaded);
}
END_TEST

/* Guards against jobs that are lost because the entry was late for a moment, as after a start. */
START_TEST (late_for_a_moment_admits)
{
  md_entry_load_pass (&entry.load, entry.now - LAG, entry.now);
  submit_job (entry.now);
  ck_assert_ptr_nonnull (guards[0].orders);
}
END_TEST

/* Guards against the same when only requests wait: the engine handles some in each pass and is in
   time with everything else. */
START_TEST (request_that_waited_is_rejected)
{
  MdTime end = entry.now + 1500 * MD_MS;

  for (; entry.now < end; entry.now += 10 * MD_MS)
    md_entry_load_request (&entry.load, LAG, entry.now);
  submit_job (entry.now - LAG);
  ck_assert_int_eq (request.status, 429);
  ck_assert_ptr_null (entry.jobs);
}
END_TEST

/* Guards against a pass of the engine that handles requests for as long as there are any, while
   guards do not hear the entry. */
START_TEST (requests_are_handled_in_several_passes)
{
  MdCallerRequest queries[3];

  for (int i = 0; i < 3; i++)
    {
      queries[i] = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_STATE,
                                      .event = eventfd (0, EFD_NONBLOCK) };
      md_inbox_push (&entry.inbox, &queries[i].node);
    }
  ck_assert (!md_entry_handle_requests (&entry, 0));
  ck_assert (queries[0].answered && !queries[1].answered);
  ck_assert (!md_entry_handle_requests (&entry, 0));
  ck_assert (queries[1].answered && !queries[2].answered);
  ck_assert (md_entry_handle_requests (&entry, 0));
  ck_assert (queries[2].answered);
  ck_assert (md_entry_handle_requests (&entry, 0));
  for (int i = 0; i < 3; i++)
    md_buf_clear (&queries[i].body);
}
END_TEST

/* Guards against two runs of a task at once: a caller of which nothing is known counted as present
   (review 1). */
START_TEST (request_without_a_caller_is_dropped)
{
  close (caller[1]);
  caller[1] = -1;
  submit_job (NOW);
  ck_assert_uint_eq (entry.n_jobs, 0);
  ck_assert_int_eq (request.status, 0);
  close (caller[0]);
  caller[0] = -1;
  submit_job (NOW);
  ck_assert_uint_eq (entry.n_jobs, 0);
  ck_assert_int_eq (request.status, 0);
}
END_TEST

/* Guards against "not run" for a job of which a part has run: it was given up at its deadline, and
   its caller repeats it. */
START_TEST (late_entry_denies_no_job_that_was_given_up)
{
  MdEntryOrder *order;

  submit_job (entry.now);
  order = sent_order ();
  md_entry_order_started (&entry, order);
  entry.now += 60 * MD_SECOND;
  md_entry_jobs_tick (&entry);
  ck_assert_int_eq (request.status, 504);
  entry.now = run_short (&entry.load, entry.now);
  submit_job (entry.now);
  ck_assert_int_eq (request.status, 504);
  ck_assert_uint_eq (request.body.len, 0);
  /* Its caller repeats it for two minutes at most. */
  entry.now = run_short (&entry.load, entry.now + MD_ENDED_JOB_RETENTION);
  submit_job (entry.now);
  ck_assert_int_eq (request.status, 429);
}
END_TEST

static void
abandon_job (void)
{
  MdCallerRequest *abandon = calloc (1, sizeof *abandon);

  abandon->kind = MD_CALLER_REQUEST_ABANDON;
  abandon->abandoned = &request;
  md_inbox_push (&entry.inbox, &abandon->node);
  md_entry_handle_requests (&entry, MD_SECOND);
  ck_assert_uint_eq (entry.n_jobs, 0);
}

/* Guards against the same for a job whose caller left after its orders were sent. No worker is
   usable when it is repeated, or the entry ends. */
START_TEST (job_of_a_caller_that_left_is_not_denied)
{
  submit_job (entry.now);
  sent_order ();
  abandon_job ();
  guards[0].worker.connected = guards[1].worker.connected = false;
  submit_job (entry.now);
  ck_assert_int_eq (request.status, 504);
  ck_assert_uint_eq (request.body.len, 0);
  post_job (entry.now);
  md_entry_reject_requests (&entry);
  ck_assert_int_eq (request.status, 504);
  ck_assert_uint_eq (request.body.len, 0);
}
END_TEST

/* Guards against an entry that calls the outcome of jobs unknown of which nothing has run: their
   callers could repeat them elsewhere at once. */
START_TEST (job_that_no_guard_started_is_rejected)
{
  guards[1].worker.connected = false;
  submit_job (entry.now);
  guards[0].worker.connected = false;
  md_entry_order_ended (&entry, sent_order (), MD_RUN_REJECTED, 0, "");
  entry.now += 60 * MD_SECOND;
  md_entry_jobs_tick (&entry);
  ck_assert_int_eq (request.status, 503);
  md_buf_clear (&request.body);
  submit_job (entry.now);
  ck_assert_int_eq (request.status, 503);
}
END_TEST

static void
close_caller (void)
{
  close (caller[1]);
  caller[1] = -1;
}

/* Guards against a task that runs twice: an entry that was suspended read the end of a lost run
   before the thread of the caller reported that it had left, and placed the task again beside the
   repeat of the job at another entry (run-wake). */
START_TEST (lost_run_of_a_caller_that_left_is_not_placed_again)
{
  MdEntryOrder *order;

  submit_job (entry.now);
  order = sent_order ();
  close_caller ();
  md_entry_order_ended (&entry, order, MD_RUN_STOPPED, 0, "");
  ck_assert_ptr_null (entry.jobs);
  ck_assert_ptr_null (guards[0].orders);
  ck_assert_ptr_null (guards[1].orders);
  ck_assert (atomic_load (&request.answered));
  ck_assert_int_eq (request.status, 0);
}
END_TEST

/* Guards against the same for a task that no worker could take before the pause. */
START_TEST (ready_task_of_a_caller_that_left_is_not_placed)
{
  MdEntryOrder *order;

  submit_job (entry.now);
  order = sent_order ();
  guards[0].worker.connected = guards[1].worker.connected = false;
  md_entry_order_ended (&entry, order, MD_RUN_REJECTED, 0, "");
  ck_assert_ptr_nonnull (entry.jobs);
  guards[0].worker.connected = guards[1].worker.connected = true;
  close_caller ();
  entry.now += 20 * MD_MS;
  md_entry_jobs_tick (&entry);
  ck_assert_ptr_null (entry.jobs);
  ck_assert_ptr_null (guards[0].orders);
  ck_assert_ptr_null (guards[1].orders);
}
END_TEST

/* Guards against the same for orders that were queued when the process was suspended: they would be
   sent with the echo of a report that was read after the pause, so that their guard starts them. */
START_TEST (order_that_was_queued_during_a_pause_needs_a_caller)
{
  submit_job (entry.now);
  entry.now += 1400 * MD_MS;
  md_entry_check_unsent (&entry, &guards[0]);
  ck_assert_ptr_nonnull (entry.jobs);
  close_caller ();
  md_entry_check_unsent (&entry, &guards[0]);
  ck_assert_ptr_null (entry.jobs);
  ck_assert_ptr_nonnull (guards[0].unsent);
  ck_assert (guards[0].unsent->cancelled);
  ck_assert_ptr_null (guards[0].unsent->job);
}
END_TEST

static void
push_request (MdCallerRequest *pushed, MdCallerRequestKind kind, const char *id, MdTime arrived)
{
  *pushed = (MdCallerRequest){ .kind = kind, .arrived = arrived };
  pushed->route = test_route ((MdRoute){ .target_latency = 60 * MD_MS });
  md_str_copy (pushed->id, sizeof pushed->id, md_str (id));
  md_inbox_push (&entry.inbox, &pushed->node);
}

/* Guards against an entry that handles its backlog in order of arrival when it is too long: no job
   is in time then. These jobs have no work, and slack of 52 ms. Requests that refer to a job come
   after it in any order. */
START_TEST (jobs_in_time_go_first_in_a_long_backlog)
{
  MdCallerRequest jobs[3];
  MdCallerRequest cancel;
  MdCallerRequest pending;
  MdCallerRequest abandon;

  push_request (&jobs[0], MD_CALLER_REQUEST_SUBMIT, "a0", entry.now - 100 * MD_MS);
  push_request (&jobs[1], MD_CALLER_REQUEST_SUBMIT, "a1", entry.now - 50 * MD_MS);
  push_request (&jobs[2], MD_CALLER_REQUEST_SUBMIT, "a2", entry.now);
  push_request (&cancel, MD_CALLER_REQUEST_CANCEL, "a1", entry.now);
  push_request (&pending, MD_CALLER_REQUEST_PENDING, "", entry.now);
  push_request (&abandon, MD_CALLER_REQUEST_ABANDON, "", entry.now);
  abandon.abandoned = &jobs[0];
  md_entry_backlog_fill (&entry);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[1]);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &cancel);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &pending);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[0]);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &abandon);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[2]);
  ck_assert_ptr_null (md_entry_backlog_next (&entry));
  push_request (&jobs[0], MD_CALLER_REQUEST_SUBMIT, "a", entry.now - 60 * MD_MS);
  push_request (&jobs[1], MD_CALLER_REQUEST_SUBMIT, "a", entry.now - 20 * MD_MS);
  push_request (&jobs[2], MD_CALLER_REQUEST_SUBMIT, "a", entry.now - 10 * MD_MS);
  md_entry_backlog_fill (&entry);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[1]);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[2]);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[0]);
  for (int i = 0; i < 2; i++)
    push_request (&jobs[i], MD_CALLER_REQUEST_SUBMIT, "a", entry.now - (20 - 5 * i) * MD_MS);
  md_entry_backlog_fill (&entry);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[0]);
  ck_assert_ptr_eq (md_entry_backlog_next (&entry), &jobs[1]);
}
END_TEST

/* Guards against a job that is kept although its answer is of no use any more, and against "not
   run" of one that may have run. */
START_TEST (expired_job_is_rejected_at_once)
{
  MdTime limit = 3 * (4 * RUN_TIME + 60 * MD_MS);

  post_job (entry.now - limit / 2);
  md_entry_backlog_fill (&entry);
  md_entry_backlog_reject_expired (&entry);
  ck_assert_ptr_nonnull (entry.backlog);
  entry.now += limit / 2;
  md_entry_backlog_reject_expired (&entry);
  ck_assert_ptr_null (entry.backlog);
  ck_assert_int_eq (request.status, 429);
  ck_assert_int_gt (request.retry_after, 0);
  md_buf_clear (&request.body);
  guards[0].worker.reported_at = guards[1].worker.reported_at = entry.now;
  submit_job (entry.now);
  md_entry_order_started (&entry, sent_order ());
  entry.now += 60 * MD_SECOND;
  md_entry_jobs_tick (&entry);
  ck_assert_int_eq (request.status, 504);
  post_job (entry.now - 2 * limit);
  md_entry_backlog_fill (&entry);
  md_entry_backlog_reject_expired (&entry);
  ck_assert_ptr_nonnull (entry.backlog);
  md_entry_handle_requests (&entry, MD_SECOND);
  ck_assert_int_eq (request.status, 504);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-late");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, unread_reports_move_no_runs);
  tcase_add_test (tc, unread_reports_abandon_no_runs);
  tcase_add_test (tc, late_entry_admits_nothing);
  tcase_add_test (tc, overload_ends_with_the_lag);
  tcase_add_test (tc, late_for_a_moment_admits);
  tcase_add_test (tc, request_that_waited_is_rejected);
  tcase_add_test (tc, requests_are_handled_in_several_passes);
  tcase_add_test (tc, request_without_a_caller_is_dropped);
  tcase_add_test (tc, late_entry_denies_no_job_that_was_given_up);
  tcase_add_test (tc, job_of_a_caller_that_left_is_not_denied);
  tcase_add_test (tc, job_that_no_guard_started_is_rejected);
  tcase_add_test (tc, jobs_in_time_go_first_in_a_long_backlog);
  tcase_add_test (tc, expired_job_is_rejected_at_once);
  tcase_add_test (tc, lost_run_of_a_caller_that_left_is_not_placed_again);
  tcase_add_test (tc, ready_task_of_a_caller_that_left_is_not_placed);
  tcase_add_test (tc, order_that_was_queued_during_a_pause_needs_a_caller);
  return run_suite ("entry-late", tc);
}
