/* test-front.c -- HTTP front end of an entry, over the loopback interface, without its engine */

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

static MdRunEntry entry;
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
post_job (int fd)
{
  char request[1024];
  int len = snprintf (request, sizeof request,
                      "POST /calc/00000000000000a1 HTTP/1.1\r\nHost: jobs.example\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                      strlen (JOB), JOB);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
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

#define ODD_THREADS 6
#define ODD_ROUNDS 25

/* Sends requests that CivetWeb itself answers; returns how many of them got another status. */
/* Sends requests that CivetWeb itself answers, or would by default, and counts those that get another status. */
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
  return run_suite ("front", tc);
}
