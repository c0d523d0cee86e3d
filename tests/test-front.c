/* test-front.c -- HTTP front end of an entry, over the loopback interface; tests step its engine */

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

#define JOB                                                                                        \
  "{\"best_effort\":true,\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"       \
  "\"estimated_ms\":30}]}"
#define ROUTE(prefix)                                                                              \
  "{\"name\":\"q\",\"host\":\"jobs.example\",\"path_prefix\":\"" prefix "\",\"timeout_ms\":1500,"  \
  "\"target_latency_ms\":60,\"priority\":1,\"service\":\"calc\",\"max_attempts\":2,"               \
  "\"slack_factor\":4}"
#define CONFIG(version, routes)                                                                    \
  "{\"version\":" #version ",\"routes\":[" routes "],\"services\":[],"                             \
  "\"limits\":{\"max_body_bytes\":7340032}}"
#define LARGE_BODY 7340032 /* bytes; the memory for bodies is enough for three */
#define GONE "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
#define ID "00000000000000a1"

static MdRunEntry entry;
static MdEntryGuard guard; /* the only one; its worker has room for any job of these tests */
static MdWorker *workers[] = { &guard.worker };
static MdSavedResources saved[1];
static bool excluded[1];
static ScriptedServer store;
static atomic_bool config_changed; /* the store has a second version and dropped the first */

/* Sets address to a port of the loopback interface that is free. */
static void
choose_address (char address[MD_ADDRESS_BYTES])
{
  int fd;
  unsigned port = hold_port (&fd);

  ck_assert_uint_gt (port, 0);
  close (fd);
  snprintf (address, MD_ADDRESS_BYTES, "127.0.0.1:%u", port);
}

static const char *
respond_newest (const char *config)
{
  static char response[4096];
  unsigned char value[2048];
  char body[3072];

  EVP_EncodeBlock (value, (const unsigned char *)config, (int)strlen (config));
  snprintf (body, sizeof body,
            "{\"items\":[{\"key\":\"config\",\"value\":\"%s\",\"offset\":0}],\"has_more\":false,"
            "\"end_offset\":1}",
            (const char *)value);
  snprintf (response, sizeof response, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  return response;
}

/* Reads of later records have no answer, so that each ends by its time-out. */
static const char *
respond_store (void *user MD_UNUSED, int number MD_UNUSED, const char *request)
{
  if (strstr (request, "/v1/log-newest") == NULL)
    return atomic_load (&config_changed) ? GONE : scripted_silence;
  if (atomic_load (&config_changed))
    return respond_newest (CONFIG (2, ROUTE ("/calc/") "," ROUTE ("/added/")));
  return respond_newest (CONFIG (1, ROUTE ("/calc/")));
}

static void
ignore_change (void *user MD_UNUSED)
{
}

static int
connect_caller (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int port = atoi (strchr (entry.daemon.settings.caller_address, ':') + 1);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_port = htons ((uint16_t)port);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  return fd;
}

static void
post_body (int fd, const char *id, const char *body)
{
  char request[1024];
  int len = snprintf (request, sizeof request,
                      "POST /calc/%s HTTP/1.1\r\nHost: jobs.example\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                      id, strlen (body), body);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
}

static void
post_job (int fd)
{
  post_body (fd, ID, JOB);
}

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
  int fd = connect_caller ();
  int len = snprintf (
      request, sizeof request,
      "PUT %s00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n\r\n", queue);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
  ck_assert_int_gt (read (fd, response, sizeof response - 1), 0);
  close (fd);
  return atoi (response + strlen ("HTTP/1.1 "));
}

static void
setup (void)
{
  MdSettings *settings = &entry.daemon.settings;
  MdError error = { 0 };
  MdLinkHandler handler = { 0 };

  md_tuning_default (&settings->tuning);
  md_http_init ();
  urcu_memb_register_thread ();
  entry.daemon.links = md_links_new (&settings->tuning, &handler, &entry);
  settings->caller_threads = 8;
  settings->config_apply = 60 * MD_SECOND;
  choose_address (settings->caller_address);
  choose_address (settings->ready_address);
  atomic_store (&config_changed, false);
  scripted_server_start (&store, respond_store, NULL);
  md_str_copy (settings->store_address, MD_ADDRESS_BYTES, md_str (store.address));
  entry.config = md_config_reader_start (settings, ignore_change, NULL, &error);
  ck_assert_ptr_nonnull (entry.config);
  while (!md_config_reader_loaded (entry.config))
    usleep (1000);
  entry.front = md_front_start (&entry, &error);
  ck_assert_ptr_nonnull (entry.front);
}

static void
teardown (void)
{
  md_front_stop (entry.front);
  md_links_free (entry.daemon.links);
  md_config_reader_stop (entry.config);
  scripted_server_stop (&store);
  urcu_memb_unregister_thread ();
}

/* Gives the entry an engine, which these tests run step by step, and a worker. */
static void
add_engine (void)
{
  entry.now = md_now ();
  entry.next_order_id = 1;
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.worker = (MdWorker){ .speed = 1,
                             .connected = true,
                             .state = MD_WORKER_READY,
                             .capacity = { 16000, 32768, 0 },
                             .free = { 16000, 32768, 0 },
                             .reported_at = entry.now };
  md_str_copy (guard.worker.pool, sizeof guard.worker.pool, MD_STR ("calc"));
  entry.workers = (MdWorkers){ .workers = workers, .n = 1, .remote_factor = 1.5 };
  entry.saved_resources = saved;
  entry.excluded = excluded;
}

static void
run_engine (void)
{
  md_links_poll (entry.daemon.links, md_now () + 10 * MD_MS);
  entry.now = md_now ();
  md_entry_handle_requests (&entry, MD_SECOND);
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

  post_body (fd, id, JOB);
  while (guard.orders == NULL && md_now () < end)
    run_engine ();
  ck_assert_ptr_nonnull (guard.orders);
  guard.orders->sent = true;
  md_entry_order_started (&entry, guard.orders);
  return guard.orders;
}

/* Has a job run and its caller answered. */
static void
complete_job (void)
{
  char response[1024];
  int fd = connect_caller ();

  md_entry_order_ended (&entry, start_job (fd, ID), MD_RUN_DONE, 30 * MD_MS, "");
  wait_for_caller (fd, response);
  ck_assert_int_eq (status_of (response), 200);
  ck_assert_ptr_nonnull (strstr (response, MD_PLATFORM_COMPLETED));
  close (fd);
}

/* Number of requests in the inbox, which keeps them. */
static int
count_requests (void)
{
  int found = 0;

  md_links_poll (entry.daemon.links, md_now () + 10 * MD_MS);
  for (MdInboxNode *node = atomic_load (&entry.inbox.newest); node != NULL; node = node->next)
    found++;
  return found;
}

static void
wait_for_requests (int n)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  int found = 0;

  while (found < n && md_now () < end)
    found = count_requests ();
  ck_assert_int_eq (found, n);
}

/* Closes the connection with a reset. */
static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (fd);
}

/* Guards against an entry whose engine, late as it is, has to reject each job itself: it did
   nothing else any more, and its callers had left when it came to them (issue 26). */
START_TEST (overloaded_entry_rejects_before_the_engine)
{
  int fd = connect_caller ();

  atomic_store (&entry.load.overloaded, true);
  post_job (fd);
  ck_assert_int_eq (read_rejection (fd), 429);
  ck_assert_ptr_null (md_inbox_take (&entry.inbox));
  /* The next job on the connection, after the entry has caught up. */
  atomic_store (&entry.load.overloaded, false);
  post_job (fd);
  wait_for_requests (1);
  md_entry_reject_requests (&entry);
  ck_assert_int_eq (read_rejection (fd), 503);
  close (fd);
}
END_TEST

/* Guards against a caller that is told "not run" of a job whose first attempt runs: it had no
   answer to that and repeats the job at the same entry, which is overloaded by now. */
START_TEST (repeated_job_reaches_the_engine)
{
  int first = connect_caller ();
  int second = connect_caller ();

  post_job (first);
  wait_for_requests (1);
  atomic_store (&entry.load.overloaded, true);
  post_job (second);
  wait_for_requests (2);
  md_entry_reject_requests (&entry);
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
      callers[i] = connect_caller ();
      post_job (callers[i]);
    }
  wait_for_requests (MD_ARRAY_SIZE (callers));
  repeated = connect_caller ();
  post_job (repeated);
  reset_connection (repeated);
  md_entry_reject_requests (&entry);
  while (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]) == left && count_requests () == 0
         && md_now () < end)
    ;
  ck_assert_int_eq (count_requests (), 0);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]), left + 1);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLER_CONNECTIONS]),
                    accepted + (int)MD_ARRAY_SIZE (callers) + 1);
  for (size_t i = 0; i < MD_ARRAY_SIZE (callers); i++)
    close (callers[i]);
}
END_TEST

/* Guards against a configuration that is in force late because the engine is: callers got 404 for a
   queue that had been added seconds before (issue 29). The engine of these tests never runs. */
START_TEST (configuration_does_not_wait_for_the_engine)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  int status;

  ck_assert_int_eq (put_job ("/added/"), 404);
  atomic_store (&config_changed, true);
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

  entry.daemon.settings.config_apply = 500 * MD_MS;
  do
    status = put_job ("/added/");
  while (status == 404 && md_now () < end);
  ck_assert_int_eq (status, 503);
  ck_assert_int_gt (md_config_reader_age (entry.config), entry.daemon.settings.config_apply);
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
  int small = connect_caller ();
  int repeated = connect_caller ();

  for (int i = 0; i < 4; i++)
    {
      callers[i] = connect_caller ();
      announce_large_body (callers[i], ids[i]);
    }
  refused = wait_for_response (callers, 4);
  ck_assert_int_eq (read_rejection (callers[refused]), 503);
  announce_large_body (repeated, ids[(refused + 1) % 4]);
  ck_assert_int_eq (read_status (repeated), 504);
  post_job (small);
  wait_for_requests (1);
  md_entry_reject_requests (&entry);
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
  int first = connect_caller ();
  int second = connect_caller ();
  char request[1024];
  int len = snprintf (request, sizeof request,
                      "POST /calc/00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                      strlen (JOB), JOB);

  ck_assert_int_eq (write (first, request, (size_t)len - 5), len - 5);
  for (int i = 0; i < 20000 && atomic_load (&entry.active_requests) == 0; i++)
    usleep (1000);
  post_job (second);
  wait_for_requests (1);
  atomic_store (&entry.load.overloaded, true);
  ck_assert_int_eq (write (first, request + len - 5, 5), 5);
  wait_for_requests (2);
  md_entry_reject_requests (&entry);
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
      callers[i] = connect_caller ();
      post_large_job (callers[i], ids[i]);
      wait_for_requests (i + 1);
    }
  md_entry_reject_requests (&entry);
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
  int repeated = connect_caller ();
  int other = connect_caller ();

  add_engine ();
  complete_job ();
  atomic_store (&entry.load.overloaded, true);
  post_job (repeated);
  wait_for_caller (repeated, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  ck_assert_ptr_nonnull (strstr (response, MD_PLATFORM_COMPLETED));
  /* The engine of this test is in time. */
  atomic_store (&entry.load.overloaded, true);
  post_body (other, "00000000000000a2", JOB);
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
  int left = connect_caller ();
  int repeated = connect_caller ();

  add_engine ();
  start_job (left, ID);
  close (left);
  while (entry.n_jobs > 0 && md_now () < end)
    run_engine ();
  atomic_store (&entry.load.overloaded, true);
  post_job (repeated);
  for (end = md_now () + 60 * MD_SECOND; entry.n_jobs == 0 && md_now () < end;)
    {
      struct pollfd poll_fd = { .fd = repeated, .events = POLLIN };

      run_engine ();
      if (poll (&poll_fd, 1, 0) == 0)
        continue;
      wait_for_caller (repeated, response);
      ck_abort_msg ("%s", response);
    }
  ck_assert_uint_eq (entry.n_jobs, 1);
  md_entry_fail_all (&entry);
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
  int repeated = connect_caller ();

  add_engine ();
  complete_job ();
  for (int i = 0; i < 4; i++)
    {
      callers[i] = connect_caller ();
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
  int ended = connect_caller ();
  int first = connect_caller ();
  int second = connect_caller ();
  int left = connect_caller ();
  int again = connect_caller ();
  MdEntryOrder *order;

  add_engine ();
  complete_job ();
  start_job (left, "00000000000000a2");
  close (left);
  while (entry.n_jobs > 0 && md_now () < end)
    run_engine ();
  md_entry_order_ended (&entry, guard.orders, MD_RUN_STOPPED, 0, "");
  order = start_job (first, "00000000000000a3");
  atomic_store (&entry.closed, true);
  post_job (ended);
  wait_for_caller (ended, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  post_body (again, "00000000000000a2", JOB);
  wait_for_caller (again, response);
  ck_assert_msg (status_of (response) == 504, "%s", response);
  post_body (second, "00000000000000a3", JOB);
  while (entry.jobs->requests->next == NULL && md_now () < end)
    run_engine ();
  md_entry_order_ended (&entry, order, MD_RUN_DONE, 30 * MD_MS, "");
  wait_for_caller (first, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  wait_for_caller (second, response);
  ck_assert_msg (status_of (response) == 200, "%s", response);
  close (first);
  first = connect_caller ();
  post_body (first, "00000000000000a4", JOB);
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
  int fd = connect_caller ();
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
        int fd = connect_caller ();
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
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, overloaded_entry_rejects_before_the_engine);
  tcase_add_test (tc, repeated_job_reaches_the_engine);
  tcase_add_test (tc, request_of_a_reset_connection_is_dropped);
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
