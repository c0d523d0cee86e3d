/* test-front.c -- HTTP front end of an entry, over the loopback interface; tests step its engine */

#define _GNU_SOURCE /* ppoll */

#include "fixture.h"
#include "front.h"
#include "http-client.h"
#include "port.h"
#include "run-entry.h"
#include "scripted-server.h"
#include "suite.h"

#include <arpa/inet.h>
#include <openssl/evp.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define LARGE_BODY 7340032 /* bytes; the memory for bodies is enough for three */

static MdEntryGuard guard; /* the only one; its worker has room for any job of these tests */
static MdWorker *workers[] = { &guard.worker };
static MdSavedResources saved[1];
static bool excluded[1];

/* Reads a response whose body is MD_BODY_NOT_RUN; returns its status. */
static int
read_rejection (int fd)
{
  char response[1024] = "";
  size_t len = 0;

  while (strstr (response, MD_BODY_NOT_RUN) == NULL)
    {
      ssize_t n = read (fd, response + len, sizeof response - 1 - len);

      ck_assert_int_gt (n, 0);
      len += (size_t)n;
      response[len] = '\0';
    }
  ck_assert_ptr_nonnull (strstr (response, "Retry-After: "));
  return atoi (response + strlen ("HTTP/1.1 "));
}

/* Returns the status of a request that an entry answers without its engine: 405 if it has the
   queue. */
static int
put_job (const char *queue)
{
  char request[256];
  char response[1024] = "";
  int fd = front_connect ();
  int len = snprintf (
      request, sizeof request,
      "PUT %s00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n\r\n", queue);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
  ck_assert_int_gt (read (fd, response, sizeof response - 1), 0);
  close (fd);
  return atoi (response + strlen ("HTTP/1.1 "));
}

/* Gives the entry an engine, which these tests run step by step, and a worker. */
static void
add_engine (void)
{
  front_entry.now = md_now ();
  front_entry.next_order_id = 1;
  md_leases_set (&front_entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.worker = (MdWorker){ .speed = 1,
                             .connected = true,
                             .state = MD_WORKER_READY,
                             .capacity = { 16000, 32768, 0 },
                             .free = { 16000, 32768, 0 },
                             .reported_at = front_entry.now };
  guard.worker.traits = test_traits ("calc", NULL, NULL);
  front_entry.workers = (MdWorkers){ .workers = workers, .n = 1, .remote_factor = 1.5 };
  front_entry.saved_resources = saved;
  front_entry.excluded = excluded;
}

static void
run_engine (void)
{
  md_links_poll (front_entry.daemon.links, md_now () + 10 * MD_MS);
  front_entry.now = md_now ();
  md_entry_handle_requests (&front_entry, MD_SECOND);
}

/* Runs the engine until the caller has a response, or the connection ends. response[0] is 0 then. */
static void
wait_for_caller (int fd, char response[1024])
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  MdTime end = md_now () + 60 * MD_SECOND;
  ssize_t n;

  while (poll (&poll_fd, 1, 0) == 0 && md_now () < end)
    run_engine ();
  ck_assert_int_ne (poll_fd.revents, 0);
  n = read (fd, response, 1023);
  response[n > 0 ? n : 0] = '\0';
}

static int
status_of (const char *response)
{
  return atoi (response + strlen ("HTTP/1.1 "));
}

/* Posts a job and runs the engine until the guard has the order of its task. */
static MdEntryOrder *
start_job (int fd, const char *id)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  front_post_body (fd, id, JOB);
  while (guard.orders == NULL && md_now () < end)
    run_engine ();
  ck_assert_ptr_nonnull (guard.orders);
  guard.orders->sent = true;
  md_entry_order_started (&front_entry, guard.orders);
  return guard.orders;
}

/* Has a job run and its caller answered. */
static void
complete_job (void)
{
  char response[1024];
  int fd = front_connect ();

  md_entry_order_ended (&front_entry, start_job (fd, ID), MD_RUN_DONE, 30 * MD_MS, "");
  wait_for_caller (fd, response);
  ck_assert_int_eq (status_of (response), 200);
  ck_assert_ptr_nonnull (strstr (response, MD_PLATFORM_COMPLETED));
  close (fd);
}

/* Guards against an entry whose engine, late as it is, has to reject each job itself: it did
   nothing else any more, and its callers had left when it came to them (issue 26). */
START_TEST (overloaded_entry_rejects_before_the_engine)
{
  int fd = front_connect ();

  atomic_store (&front_entry.load.overloaded, true);
  front_post_job (fd);
  ck_assert_int_eq (read_rejection (fd), 429);
  ck_assert_ptr_null (md_inbox_take (&front_entry.inbox));
  /* The next job on the connection, after the entry has caught up. */
  atomic_store (&front_entry.load.overloaded, false);
  front_post_job (fd);
  front_wait_for_requests (1);
  md_entry_reject_requests (&front_entry);
  ck_assert_int_eq (read_rejection (fd), 503);
  close (fd);
}
END_TEST

/* Guards against a caller that is told "not run" of a job whose first attempt runs: it had no
   answer to that and repeats the job at the same entry, which is overloaded by now. */
START_TEST (repeated_job_reaches_the_engine)
{
  int first = front_connect ();
  int second = front_connect ();

  front_post_job (first);
  front_wait_for_requests (1);
  atomic_store (&front_entry.load.overloaded, true);
  front_post_job (second);
  front_wait_for_requests (2);
  md_entry_reject_requests (&front_entry);
  ck_assert_int_eq (read_rejection (first), 503);
  ck_assert_int_eq (read_rejection (second), 503);
  close (first);
  close (second);
}
END_TEST

/* Guards against two runs of a task at once: after a pause of the entry, requests are read from
   connections that were reset meanwhile, and whose callers have repeated the jobs elsewhere. The
   socket of such a connection has no peer any more (review 1). */
START_TEST (request_of_a_reset_connection_is_dropped)
{
  int callers[8]; /* one for each thread, so that the next request is not read yet */
  int64_t left = atomic_load (&md_metrics[MD_M_CALLERS_LEFT]);
  int64_t accepted = atomic_load (&md_metrics[MD_M_CALLER_CONNECTIONS]);
  MdTime end = md_now () + 60 * MD_SECOND;
  int repeated;

  for (size_t i = 0; i < MD_ARRAY_SIZE (callers); i++)
    {
      callers[i] = front_connect ();
      front_post_job (callers[i]);
    }
  front_wait_for_requests (MD_ARRAY_SIZE (callers));
  repeated = front_connect ();
  front_post_job (repeated);
  front_reset (repeated);
  md_entry_reject_requests (&front_entry);
  while (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]) == left && front_count_requests () == 0
         && md_now () < end)
    ;
  ck_assert_int_eq (front_count_requests (), 0);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]), left + 1);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLER_CONNECTIONS]),
                    accepted + (int)MD_ARRAY_SIZE (callers) + 1);
  for (size_t i = 0; i < MD_ARRAY_SIZE (callers); i++)
    close (callers[i]);
}
END_TEST

/* While it is closed, threads of the server that wait for a connection stay there, as those of a
   suspended process do. */
static atomic_bool gate_closed;
static atomic_int held; /* threads at the gate */
static pthread_t main_thread;

static bool
is_connection (int fd)
{
  int listens = 1;
  socklen_t len = sizeof listens;

  return getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &len) == 0 && !listens;
}

/* Takes the place of poll of the C library, whose declaration says that it only writes to fds. */
int gated_poll (struct pollfd *fds, nfds_t n, int timeout) __asm__("poll");

int
gated_poll (struct pollfd *fds, nfds_t n, int timeout)
{
  struct timespec wait = { timeout / 1000, timeout % 1000 * 1000000L };

  if (n > 0 && atomic_load (&gate_closed) && !pthread_equal (pthread_self (), main_thread)
      && is_connection (fds[0].fd))
    {
      atomic_fetch_add (&held, 1);
      while (atomic_load (&gate_closed))
        usleep (1000);
      atomic_fetch_sub (&held, 1);
    }
  return ppoll (fds, n, timeout < 0 ? NULL : &wait, NULL);
}

static int
connect_from (in_port_t port)
{
  struct sockaddr_in from = { AF_INET, port, { htonl (INADDR_LOOPBACK) }, { 0 } };
  struct sockaddr_in to = from;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  to.sin_port
      = htons ((in_port_t)atoi (strchr (front_entry.daemon.settings.caller_address, ':') + 1));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&from, sizeof from), 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

static void
wait_until_held (int threads)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  while (atomic_load (&held) < threads && md_now () < end)
    usleep (1000);
  ck_assert_int_eq (atomic_load (&held), threads);
}

/* Guards against two runs of a task at once: an entry that was suspended took another connection
   from the port of a reset one for that of the caller, and started a job that the caller had repeated
   elsewhere (review 8). */
START_TEST (reset_connection_is_not_taken_for_a_later_one)
{
  int64_t left = atomic_load (&md_metrics[MD_M_CALLERS_LEFT]);
  MdTime end = md_now () + 60 * MD_SECOND;
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  int reset;
  int later;

  main_thread = pthread_self ();
  atomic_store (&gate_closed, true);
  reset = connect_from (0);
  ck_assert_int_eq (getsockname (reset, (struct sockaddr *)&from, &len), 0);
  front_post_job (reset);
  wait_until_held (1);
  front_reset (reset);
  later = connect_from (from.sin_port);
  wait_until_held (2);
  atomic_store (&gate_closed, false);
  while (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]) == left && front_count_requests () == 0
         && md_now () < end)
    ;
  ck_assert_int_eq (front_count_requests (), 0);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]), left + 1);
  /* The caller of the later one is there. */
  front_post_job (later);
  front_wait_for_requests (1);
  md_entry_reject_requests (&front_entry);
  ck_assert_int_eq (read_rejection (later), 503);
  close (later);
}
END_TEST

/* Guards against a configuration that is in force late because the engine is: callers got 404 for a
   queue that had been added seconds before (issue 29). The engine of these tests never runs. */
START_TEST (configuration_does_not_wait_for_the_engine)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  int status;

  ck_assert_int_eq (put_job ("/added/"), 404);
  atomic_store (&front_config_changed, true);
  do
    status = put_job ("/added/");
  while (status == 404 && md_now () < end);
  ck_assert_int_eq (status, 405);
}
END_TEST

/* Guards against an entry that says "no such queue" although it has not read the store for longer
   than a new configuration may take to be in force (issue 29). */
START_TEST (outdated_configuration_denies_no_queue)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  int status;

  front_entry.daemon.settings.config_apply = 500 * MD_MS;
  do
    status = put_job ("/added/");
  while (status == 404 && md_now () < end);
  ck_assert_int_eq (status, 503);
  ck_assert_int_gt (md_config_reader_age (front_entry.config),
                    front_entry.daemon.settings.config_apply);
  ck_assert_int_eq (put_job ("/calc/"), 405);
}
END_TEST

/* Sends the head of a job with a large body. */
static void
announce_large_body (int fd, const char *id)
{
  char request[256];
  int len = snprintf (request, sizeof request,
                      "POST /calc/%s HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n",
                      id, LARGE_BODY);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
}

/* Waits for a response and returns its status. */
static int
read_status (int fd)
{
  char response[1024] = "";

  ck_assert_int_gt (read (fd, response, sizeof response - 1), 0);
  return atoi (response + strlen ("HTTP/1.1 "));
}

/* Index of the first connection that has a response. */
static int
wait_for_response (const int *callers, int n)
{
  struct pollfd fds[8];

  for (int i = 0; i < n; i++)
    fds[i] = (struct pollfd){ .fd = callers[i], .events = POLLIN };
  ck_assert_int_gt (poll (fds, (nfds_t)n, 60000), 0);
  for (int i = 0; i < n; i++)
    if (fds[i].revents != 0)
      return i;
  return -1;
}

/* Guards against callers whose bodies take more memory than the entry may use, and against small
   jobs that are refused because of them. A job whose first attempt may be running must not be
   called "not run". */
START_TEST (bodies_beyond_the_memory_are_refused)
{
  static const char *const ids[]
      = { "00000000000000b0", "00000000000000b1", "00000000000000b2", "00000000000000b3" };
  int callers[4];
  int refused;
  int small = front_connect ();
  int repeated = front_connect ();

  for (int i = 0; i < 4; i++)
    {
      callers[i] = front_connect ();
      announce_large_body (callers[i], ids[i]);
    }
  refused = wait_for_response (callers, 4);
  ck_assert_int_eq (read_rejection (callers[refused]), 503);
  announce_large_body (repeated, ids[(refused + 1) % 4]);
  ck_assert_int_eq (read_status (repeated), 504);
  front_post_job (small);
  front_wait_for_requests (1);
  md_entry_reject_requests (&front_entry);
  ck_assert_int_eq (read_rejection (small), 503);
  for (int i = 0; i < 4; i++)
    close (callers[i]);
  close (repeated);
  close (small);
}
END_TEST

/* Guards against "not run" for a job that runs: the repeated request was posted to the engine while
   the body of the first one was on its way, and the entry became late. */
START_TEST (body_that_ends_after_the_repeated_request)
{
  int first = front_connect ();
  int second = front_connect ();
  char request[1024];
  int len = snprintf (request, sizeof request,
                      "POST /calc/00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                      strlen (JOB), JOB);

  ck_assert_int_eq (write (first, request, (size_t)len - 5), len - 5);
  for (int i = 0; i < 20000 && atomic_load (&front_entry.active_requests) == 0; i++)
    usleep (1000);
  front_post_job (second);
  front_wait_for_requests (1);
  atomic_store (&front_entry.load.overloaded, true);
  ck_assert_int_eq (write (first, request + len - 5, 5), 5);
  front_wait_for_requests (2);
  md_entry_reject_requests (&front_entry);
  ck_assert_int_eq (read_rejection (first), 503);
  ck_assert_int_eq (read_rejection (second), 503);
  close (first);
  close (second);
}
END_TEST

static void
post_large_job (int fd, const char *id)
{
  MD_AUTO_BUF body = { 0 };
  size_t sent = 0;

  md_buf_append (&body,
                 MD_STR ("{\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1}],\"x\":\""));
  while (body.len < LARGE_BODY - 2)
    md_buf_append (&body, MD_STR ("x"));
  md_buf_append (&body, MD_STR ("\"}"));
  announce_large_body (fd, id);
  while (sent < body.len)
    {
      ssize_t n = write (fd, body.data + sent, body.len - sent);

      ck_assert_int_gt (n, 0);
      sent += (size_t)n;
    }
}

/* Guards against bodies that are kept for as long as their jobs run. */
START_TEST (memory_of_a_body_is_free_while_its_job_runs)
{
  static const char *const ids[] = { "00000000000000c0", "00000000000000c1", "00000000000000c2",
                                     "00000000000000c3", "00000000000000c4", "00000000000000c5" };
  int callers[MD_ARRAY_SIZE (ids)];

  for (int i = 0; i < (int)MD_ARRAY_SIZE (ids); i++)
    {
      callers[i] = front_connect ();
      post_large_job (callers[i], ids[i]);
      front_wait_for_requests (i + 1);
    }
  md_entry_reject_requests (&front_entry);
  for (size_t i = 0; i < MD_ARRAY_SIZE (ids); i++)
    {
      ck_assert_int_eq (read_rejection (callers[i]), 503);
      close (callers[i]);
    }
}
END_TEST

/* Guards against "not run" for a job that has run: the answer to its first attempt was lost, and the
   entry is late when the repeated request comes. */
START_TEST (late_entry_knows_ended_jobs)
{
  char response[1024];
  int repeated = front_connect ();
  int other = front_connect ();

  add_engine ();
  complete_job ();
  atomic_store (&front_entry.load.overloaded, true);
  front_post_job (repeated);
  wait_for_caller (repeated, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  ck_assert_ptr_nonnull (strstr (response, MD_PLATFORM_COMPLETED));
  /* The engine of this test is in time. */
  atomic_store (&front_entry.load.overloaded, true);
  front_post_body (other, "00000000000000a2", JOB);
  ck_assert_int_eq (read_rejection (other), 429);
  close (repeated);
  close (other);
}
END_TEST

/* Guards against the same for a job that was given up when its caller left: part of it has run. */
START_TEST (late_entry_knows_jobs_of_callers_that_left)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  char response[1024];
  int left = front_connect ();
  int repeated = front_connect ();

  add_engine ();
  start_job (left, ID);
  close (left);
  while (front_entry.n_jobs > 0 && md_now () < end)
    run_engine ();
  atomic_store (&front_entry.load.overloaded, true);
  front_post_job (repeated);
  for (end = md_now () + 60 * MD_SECOND; front_entry.n_jobs == 0 && md_now () < end;)
    {
      struct pollfd poll_fd = { .fd = repeated, .events = POLLIN };

      run_engine ();
      if (poll (&poll_fd, 1, 0) == 0)
        continue;
      wait_for_caller (repeated, response);
      ck_abort_msg ("%s", response);
    }
  ck_assert_uint_eq (front_entry.n_jobs, 1);
  md_entry_fail_all (&front_entry);
  wait_for_caller (repeated, response);
  close (repeated);
}
END_TEST

/* Guards against the same while the memory for bodies is used by others. */
START_TEST (short_memory_denies_no_ended_job)
{
  static const char *const ids[]
      = { "00000000000000b0", "00000000000000b1", "00000000000000b2", "00000000000000b3" };
  char response[1024];
  int callers[4];
  int repeated = front_connect ();

  add_engine ();
  complete_job ();
  for (int i = 0; i < 4; i++)
    {
      callers[i] = front_connect ();
      announce_large_body (callers[i], ids[i]);
    }
  ck_assert_int_eq (read_rejection (callers[wait_for_response (callers, 4)]), 503);
  announce_large_body (repeated, ID);
  wait_for_caller (repeated, response);
  ck_assert_msg (status_of (response) == 504, "%s", response);
  ck_assert_ptr_null (strstr (response, MD_BODY_NOT_RUN));
  for (int i = 0; i < 4; i++)
    close (callers[i]);
  close (repeated);
}
END_TEST

/* Guards against "not run" for jobs that run or have run, and against the start of others, when an
   entry leaves and rejects new requests. */
START_TEST (leaving_entry_knows_its_jobs)
{
  char response[1024];
  MdTime end = md_now () + 60 * MD_SECOND;
  int ended = front_connect ();
  int first = front_connect ();
  int second = front_connect ();
  int left = front_connect ();
  int again = front_connect ();
  MdEntryOrder *order;

  add_engine ();
  complete_job ();
  start_job (left, "00000000000000a2");
  close (left);
  while (front_entry.n_jobs > 0 && md_now () < end)
    run_engine ();
  md_entry_order_ended (&front_entry, guard.orders, MD_RUN_STOPPED, 0, "");
  order = start_job (first, "00000000000000a3");
  atomic_store (&front_entry.closed, true);
  front_post_job (ended);
  wait_for_caller (ended, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  front_post_body (again, "00000000000000a2", JOB);
  wait_for_caller (again, response);
  ck_assert_msg (status_of (response) == 504, "%s", response);
  front_post_body (second, "00000000000000a3", JOB);
  while (front_entry.jobs->requests->next == NULL && md_now () < end)
    run_engine ();
  md_entry_order_ended (&front_entry, order, MD_RUN_DONE, 30 * MD_MS, "");
  wait_for_caller (first, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  wait_for_caller (second, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  close (first);
  first = front_connect ();
  front_post_body (first, "00000000000000a4", JOB);
  ck_assert_int_eq (read_rejection (first), 503);
  close (ended);
  close (first);
  close (second);
  close (again);
}
END_TEST

/* Status of the response to a request line with this body; denied: whether it says "not run". */
static int
exchange (const char *line, const char *body, bool *denied)
{
  char request[512];
  char response[1024];
  int fd = front_connect ();
  int len = snprintf (request, sizeof request,
                      "%s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      line, strlen (body), body);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
  wait_for_caller (fd, response);
  close (fd);
  *denied = strstr (response, MD_BODY_NOT_RUN) != NULL;
  return status_of (response);
}

/* Guards against "not run" for a job that has run in the other rejections: of a request that is not
   understood, not served, or not routed any more. */
START_TEST (no_rejection_denies_an_ended_job)
{
  static const struct
  {
    const char *known;
    const char *other;
    const char *body;
    int status;
    int known_status;
  } cases[] = {
    { "POST /calc/" ID, "POST /calc/00000000000000a2", "{", 400, 400 },
    { "POST /calc/" ID, "POST /calc/00000000000000a2", "{\"steps\":[{\"count\":1}]}", 503, 504 },
    { "PUT /calc/" ID, "PUT /calc/00000000000000a2", "", 405, 405 },
    { "POST /gone/" ID, "POST /gone/00000000000000a2", JOB, 404, 404 },
  };

  add_engine ();
  complete_job ();
  for (size_t i = 0; i < MD_ARRAY_SIZE (cases); i++)
    {
      bool denied;

      ck_assert_int_eq (exchange (cases[i].other, cases[i].body, &denied), cases[i].status);
      ck_assert (denied);
      ck_assert_int_eq (exchange (cases[i].known, cases[i].body, &denied), cases[i].known_status);
      ck_assert_msg (!denied, "%s: not run", cases[i].known);
    }
}
END_TEST

#define ODD_THREADS 6
#define ODD_ROUNDS 25

/* Sends requests that CivetWeb itself answers, or would by default, and counts those that get another
   status. */
static void *
send_odd_requests (void *data)
{
  static const struct
  {
    int status;
    const char *text;
  } odd[] = {
    { 400, "GET\r\n\r\n" },
    { 400, "nonsense\r\n\r\n" },
    { 505, "GET / HTTP/9.9.9\r\n\r\n" },
    { 411, "POST /calc/1 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: -4\r\n\r\n" },
    { 400, "POST /calc/1 HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: odd\r\n\r\n" },
    { 405, "OPTIONS /calc/1 HTTP/1.1\r\nHost: jobs.example\r\nOrigin: http://jobs.example\r\n"
           "Access-Control-Request-Method: POST\r\n\r\n" },
  };
  atomic_int *other = data;

  for (int round = 0; round < ODD_ROUNDS; round++)
    for (size_t i = 0; i < MD_ARRAY_SIZE (odd); i++)
      {
        char response[1024] = "";
        int fd = front_connect ();
        ssize_t sent = write (fd, odd[i].text, strlen (odd[i].text));
        ssize_t n = read (fd, response, sizeof response - 1);
        const char *status = strchr (response, ' ');

        if (sent < 0 || n <= 0 || status == NULL || atoi (status) != odd[i].status)
          atomic_fetch_add (other, 1);
        close (fd);
      }
  return NULL;
}

/* Guards against pages of CivetWeb with a Date: it calls gmtime, whose result all threads share,
   which the thread sanitizer reports. */
START_TEST (odd_requests_in_parallel)
{
  pthread_t threads[ODD_THREADS];
  atomic_int other = 0;

  for (int i = 0; i < ODD_THREADS; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, send_odd_requests, &other), 0);
  for (int i = 0; i < ODD_THREADS; i++)
    pthread_join (threads[i], NULL);
  ck_assert_int_eq (atomic_load (&other), 0);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("front");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_checked_fixture (tc, front_setup, front_teardown);
  tcase_add_test (tc, overloaded_entry_rejects_before_the_engine);
  tcase_add_test (tc, repeated_job_reaches_the_engine);
  tcase_add_test (tc, request_of_a_reset_connection_is_dropped);
  tcase_add_test (tc, reset_connection_is_not_taken_for_a_later_one);
  tcase_add_test (tc, odd_requests_in_parallel);
  tcase_add_test (tc, configuration_does_not_wait_for_the_engine);
  tcase_add_test (tc, outdated_configuration_denies_no_queue);
  tcase_add_test (tc, bodies_beyond_the_memory_are_refused);
  tcase_add_test (tc, body_that_ends_after_the_repeated_request);
  tcase_add_test (tc, memory_of_a_body_is_free_while_its_job_runs);
  tcase_add_test (tc, late_entry_knows_ended_jobs);
  tcase_add_test (tc, late_entry_knows_jobs_of_callers_that_left);
  tcase_add_test (tc, short_memory_denies_no_ended_job);
  tcase_add_test (tc, leaving_entry_knows_its_jobs);
  tcase_add_test (tc, no_rejection_denies_an_ended_job);
  return run_suite ("front", tc);
}
