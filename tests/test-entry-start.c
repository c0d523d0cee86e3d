/* test-entry-start.c -- requests and jobs that wait for an entry that has just started; tests step
   its engine */

#include "fixture.h"
#include "front.h"
#include "suite.h"

#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* With a goal of four seconds, so that a slow machine does not miss it. */
#define SLOW_JOB                                                                                   \
  "{\"best_effort\":true,\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"       \
  "\"estimated_ms\":1000}]}"

static MdEntryGuard guard; /* the only one; its worker has room for any job of these tests */
static MdWorker *workers[] = { &guard.worker };
static MdSavedResources saved[1];
static bool excluded[1];

/* ------------------------------------------------------------------ */
/* Entry                                                              */

/* Gives the entry an engine, which these tests run step by step, and a worker that has not
   reported. */
static void
add_engine (void)
{
  front_entry.now = md_now ();
  front_entry.next_order_id = 1;
  front_entry.jobs = NULL;
  front_entry.leaving = false;
  md_leases_set (&front_entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard = (MdEntryGuard){ .worker = { .speed = 1,
                                      .state = MD_WORKER_READY,
                                      .capacity = { 16000, 32768, 0 },
                                      .free = { 16000, 32768, 0 } } };
  guard.worker.traits = test_traits ("calc", NULL, NULL);
  front_entry.workers = (MdWorkers){ .workers = workers, .n = 1, .remote_factor = 1.5 };
  front_entry.saved_resources = saved;
  front_entry.excluded = excluded;
}

static void
setup (void)
{
  front_setup_starting ();
  add_engine ();
}

/* What update_ready and the passes of the engine do. */
static void
run_engine (void)
{
  md_links_poll (front_entry.daemon.links, md_now () + 5 * MD_MS);
  front_entry.now = md_now ();
  if (md_config_reader_loaded (front_entry.config) || front_entry.leaving)
    md_entry_start_end (&front_entry.start);
  md_entry_handle_requests (&front_entry, MD_SECOND);
  md_entry_jobs_tick (&front_entry);
}

static void
run_engine_for (MdTime time)
{
  MdTime end = md_now () + time;

  while (md_now () < end)
    run_engine ();
}

static bool
has_answer (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Runs the engine until the caller has a response; returns its status. */
static int
wait_for_status (int fd)
{
  char response[1024] = "";
  MdTime end = md_now () + 60 * MD_SECOND;

  while (!has_answer (fd) && md_now () < end)
    run_engine ();
  ck_assert_int_gt (read (fd, response, sizeof response - 1), 0);
  return atoi (response + strlen ("HTTP/1.1 "));
}

/* Waits until so many requests or jobs have begun to wait. */
static void
wait_for_waits (int64_t before, int n)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  while (atomic_load (&md_metrics[MD_M_START_WAITS]) < before + n && md_now () < end)
    run_engine ();
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_START_WAITS]), before + n);
}

static void
connect_worker (void)
{
  guard.worker.connected = true;
  guard.worker.reported_at = front_entry.now;
}

/* Puts the job's run into the state in which its caller is answered 200. */
static void
complete_run (void)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  while (guard.orders == NULL && md_now () < end)
    run_engine ();
  ck_assert_ptr_nonnull (guard.orders);
  guard.orders->sent = true;
  guard.unsent = NULL;
  md_entry_order_started (&front_entry, guard.orders);
  md_entry_order_ended (&front_entry, guard.orders, MD_RUN_DONE, 30 * MD_MS, "");
}

static void
let_store_answer (void)
{
  atomic_store (&front_config_held, false);
}

static int
post (void)
{
  int fd = front_connect ();

  front_post_body (fd, ID, SLOW_JOB);
  return fd;
}

/* Guards against 503 for a request that arrives 50 ms before the configuration. */
START_TEST (request_is_served_with_a_late_configuration)
{
  int fd = post ();

  connect_worker ();
  run_engine_for (50 * MD_MS);
  ck_assert (!has_answer (fd));
  let_store_answer ();
  complete_run ();
  ck_assert_int_eq (wait_for_status (fd), 200);
  close (fd);
}
END_TEST

/* Guards against a caller that is never answered because the store does not answer. */
START_TEST (wait_for_the_configuration_ends)
{
  MdTime begin = md_now ();
  int fd = post ();

  ck_assert_int_eq (wait_for_status (fd), 503);
  ck_assert_int_ge (md_now () - begin, 900 * MD_MS);
  close (fd);
}
END_TEST

/* Guards against an entry that lets requests wait although it is leaving. */
START_TEST (leaving_ends_the_wait_for_the_configuration)
{
  int first = post ();
  int second;

  run_engine_for (50 * MD_MS);
  ck_assert (!has_answer (first));
  front_entry.leaving = true;
  ck_assert_int_eq (wait_for_status (first), 503);
  ck_assert (front_entry.start.ended);
  ck_assert_int_eq (md_entry_start_wait (&front_entry.start, -1, md_now () + 60 * MD_SECOND),
                    MD_START_ENDED);
  second = post ();
  ck_assert_int_eq (wait_for_status (second), 503);
  close (first);
  close (second);
}
END_TEST

/* Guards against a wait that goes on after the start has ended or after the caller has left, and
   against one that the former hides the latter in: an entry that was suspended finds both. */
START_TEST (wait_ends_with_the_start_or_the_caller)
{
  MdEntryStart start;
  MdTime far = md_now () + 60 * MD_SECOND;
  int pair[2];

  md_entry_start_begin (&start, md_now ());
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
  ck_assert_int_eq (md_entry_start_wait (&start, pair[0], md_now () + 20 * MD_MS),
                    MD_START_TIMED_OUT);
  md_entry_start_end (&start);
  md_entry_start_end (&start);
  ck_assert_int_eq (md_entry_start_wait (&start, pair[0], far), MD_START_ENDED);
  ck_assert_int_eq (md_entry_start_wait (&start, pair[0], 0), MD_START_ENDED);
  close (pair[1]);
  ck_assert_int_eq (md_entry_start_wait (&start, pair[0], far), MD_START_CALLER_LEFT);
  close (pair[0]);
}
END_TEST

/* Guards against a run for a caller that left while its request waited, and may have repeated it. */
START_TEST (request_whose_caller_leaves_is_not_served)
{
  int64_t left = atomic_load (&md_metrics[MD_M_CALLERS_LEFT]);
  int fd = post ();

  connect_worker ();
  run_engine_for (50 * MD_MS);
  front_reset (fd);
  while (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]) == left)
    run_engine ();
  let_store_answer ();
  while (!md_config_reader_loaded (front_entry.config))
    run_engine ();
  run_engine_for (50 * MD_MS);
  ck_assert_ptr_null (front_entry.jobs);
  ck_assert_ptr_null (guard.orders);
}
END_TEST

/* Guards against probes and queries of callers that wait although no job is at stake. */
START_TEST (request_without_a_job_does_not_wait)
{
  const char *requests[] = { "GET /calc/", "GET /calc/" ID, "POST /calc/" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (requests); i++)
    {
      int64_t waits = atomic_load (&md_metrics[MD_M_START_WAITS]);
      char request[256];
      int fd = front_connect ();
      int len = snprintf (request, sizeof request,
                          "%s HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 0\r\n\r\n",
                          requests[i]);

      ck_assert_int_eq (write (fd, request, (size_t)len), len);
      ck_assert_int_eq (wait_for_status (fd), 503);
      ck_assert_int_eq (atomic_load (&md_metrics[MD_M_START_WAITS]), waits);
      close (fd);
    }
}
END_TEST

/* Guards against 503 for a job that is admitted just before the first guard is heard. */
START_TEST (job_is_served_with_a_late_worker)
{
  int64_t waits = atomic_load (&md_metrics[MD_M_START_WAITS]);
  int fd;

  let_store_answer ();
  while (!md_config_reader_loaded (front_entry.config))
    run_engine ();
  fd = post ();
  wait_for_waits (waits, 1);
  ck_assert (!has_answer (fd));
  ck_assert_ptr_null (guard.orders);
  connect_worker ();
  complete_run ();
  ck_assert_int_eq (wait_for_status (fd), 200);
  close (fd);
}
END_TEST

/* Guards against a run that is placed when the worker comes, for a caller that has left meanwhile
   and may have repeated the job at another entry. */
START_TEST (job_whose_caller_leaves_gets_no_late_worker)
{
  int64_t waits = atomic_load (&md_metrics[MD_M_START_WAITS]);
  int fd;

  let_store_answer ();
  while (!md_config_reader_loaded (front_entry.config))
    run_engine ();
  fd = post ();
  wait_for_waits (waits, 1);
  front_reset (fd);
  connect_worker ();
  /* The engine does not read the thread's report before the tick, as after a suspension. */
  front_entry.now = md_now () + 20 * MD_MS;
  md_entry_jobs_tick (&front_entry);
  ck_assert_ptr_null (front_entry.jobs);
  ck_assert_ptr_null (guard.orders);
  run_engine_for (50 * MD_MS);
}
END_TEST

/* Guards against a job that waits for a worker for ever, and against one that waits at an entry
   that is leaving. */
START_TEST (wait_for_a_worker_ends)
{
  int64_t waits = atomic_load (&md_metrics[MD_M_START_WAITS]);
  MdTime begin;
  int fd;

  let_store_answer ();
  while (!md_config_reader_loaded (front_entry.config))
    run_engine ();
  begin = md_now ();
  fd = post ();
  ck_assert_int_eq (wait_for_status (fd), 503);
  ck_assert_int_ge (md_now () - begin, 400 * MD_MS);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_START_WAITS]), waits + 1);
  close (fd);
  front_entry.leaving = true;
  fd = post ();
  ck_assert_int_eq (wait_for_status (fd), 503);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_START_WAITS]), waits + 1);
  close (fd);
}
END_TEST

/* Guards against an entry that has run for long and makes jobs wait for a worker that does not
   come. */
START_TEST (old_process_does_not_wait_for_a_worker)
{
  int64_t waits = atomic_load (&md_metrics[MD_M_START_WAITS]);
  int fd;

  let_store_answer ();
  while (!md_config_reader_loaded (front_entry.config))
    run_engine ();
  front_entry.start.began = md_now () - 3 * MD_SECOND;
  fd = post ();
  ck_assert_int_eq (wait_for_status (fd), 503);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_START_WAITS]), waits);
  close (fd);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-start");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer, and the stop of the servers */
  tcase_add_checked_fixture (tc, setup, front_teardown);
  tcase_add_test (tc, request_is_served_with_a_late_configuration);
  tcase_add_test (tc, wait_for_the_configuration_ends);
  tcase_add_test (tc, leaving_ends_the_wait_for_the_configuration);
  tcase_add_test (tc, wait_ends_with_the_start_or_the_caller);
  tcase_add_test (tc, request_whose_caller_leaves_is_not_served);
  tcase_add_test (tc, request_without_a_job_does_not_wait);
  tcase_add_test (tc, job_is_served_with_a_late_worker);
  tcase_add_test (tc, job_whose_caller_leaves_gets_no_late_worker);
  tcase_add_test (tc, wait_for_a_worker_ends);
  tcase_add_test (tc, old_process_does_not_wait_for_a_worker);
  return run_suite ("entry-start", tc);
}
