/* test-upstream.c -- executors of a guard against a scripted server

   The server answers each request by its path from one thread and counts the
   requests it has seen, which is what "never sent twice" is judged by. */

#include "md-guard.h"
#include "suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <sched.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  int listener;                   /* socket */
  char address[MD_ADDRESS_BYTES]; /* ip:port */
  pthread_t thread;               /* serves one connection after another */
  atomic_int requests;            /* seen */
  atomic_int connections;         /* accepted */
  atomic_int closed;              /* connections closed again */
} Server;

static Server server;
static MdUpstream *upstream;
static pthread_mutex_t wake_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t woken = PTHREAD_COND_INITIALIZER;
static int wakes;

static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
static const char chunked[]
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
static const char cut_chunked[]
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
static const char cut_length[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
static const char until_close[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";

/* Returns false when the connection shall be closed. */
static bool
answer (int fd, const char *request)
{
  const char *text = ok;
  bool keep = true;

  if (strstr (request, "/chunked") != NULL)
    text = chunked;
  if (strstr (request, "/none") != NULL)
    return false;
  if (strstr (request, "/cut-chunked") != NULL)
    text = cut_chunked;
  if (strstr (request, "/cut-length") != NULL)
    text = cut_length;
  if (strstr (request, "/until-close") != NULL)
    text = until_close;
  if (strstr (request, "/stall") != NULL)
    text = cut_length;
  if (text == cut_chunked || text == until_close || strstr (request, "/cut-length") != NULL
      || strstr (request, "/then-close") != NULL)
    keep = false;
  return send (fd, text, strlen (text), MSG_NOSIGNAL) > 0 && keep;
}

static void *
serve (void *data)
{
  int fd;

  (void)data;
  while ((fd = accept (server.listener, NULL, NULL)) >= 0)
    {
      char request[4096];
      ssize_t n;

      atomic_fetch_add (&server.connections, 1);
      while ((n = recv (fd, request, sizeof request - 1, 0)) > 0)
        {
          request[n] = '\0';
          atomic_fetch_add (&server.requests, 1);
          if (!answer (fd, request))
            break;
        }
      close (fd);
      atomic_fetch_add (&server.closed, 1);
    }
  return NULL;
}

static void
wake (void *user)
{
  (void)user;
  pthread_mutex_lock (&wake_lock);
  wakes++;
  pthread_cond_signal (&woken);
  pthread_mutex_unlock (&wake_lock);
}

static void
setup (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;

  atomic_store (&server.requests, 0);
  atomic_store (&server.connections, 0);
  atomic_store (&server.closed, 0);
  server.listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (server.listener, (struct sockaddr *)&sa, len), 0);
  ck_assert_int_eq (listen (server.listener, 8), 0);
  getsockname (server.listener, (struct sockaddr *)&sa, &len);
  snprintf (server.address, sizeof server.address, "127.0.0.1:%d", ntohs (sa.sin_port));
  ck_assert_int_eq (pthread_create (&server.thread, NULL, serve, NULL), 0);
  upstream = md_upstream_new (md_str (server.address), 1, wake, NULL, NULL);
  ck_assert_ptr_nonnull (upstream);
}

static void
teardown (void)
{
  md_upstream_free (upstream);
  shutdown (server.listener, SHUT_RDWR);
  pthread_join (server.thread, NULL);
  close (server.listener);
}

static MdAttempt *
new_task (const char *path, MdTime time_left, MdTime age)
{
  MdAttempt *task = calloc (1, sizeof *task);

  md_buf_printf (&task->request, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
  task->handed_at = md_now () - age;
  task->deadline = md_now () + time_left;
  return task;
}

static MdAttempt *
run_task (MdAttempt *task)
{
  int before = wakes;

  md_upstream_submit (upstream, task);
  pthread_mutex_lock (&wake_lock);
  while (wakes == before)
    {
      struct timespec until;

      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += 20000000;
      until.tv_sec += until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&woken, &wake_lock, &until);
      pthread_mutex_unlock (&wake_lock);
      md_upstream_expire (upstream, md_now ());
      pthread_mutex_lock (&wake_lock);
    }
  pthread_mutex_unlock (&wake_lock);
  ck_assert_ptr_eq (md_upstream_take (upstream), task);
  return task;
}

static void
expect_end (const char *path, MdTime time_left, MdAttemptEnd end)
{
  MdAttempt *task = run_task (new_task (path, time_left, 0));

  ck_assert_msg (task->end == end, "%s ended as %d: %s", path, task->end, task->error.detail);
  ck_assert ((task->answer != NULL) == (end == MD_END_COMPLETE));
  if (end == MD_END_COMPLETE)
    {
      ck_assert_uint_eq (task->answer->body.len, 5);
      ck_assert_int_eq (memcmp (task->answer->body.data, "hello", 5), 0);
    }
  md_attempt_free (task);
}

/* Guards against a connection per request, and against an answer that is given to
   the next request. */
START_TEST (test_keep_alive)
{
  for (int i = 0; i < 5; i++)
    expect_end (i % 2 ? "/chunked" : "/ok", 10 * MD_SECOND, MD_END_COMPLETE);
  ck_assert_int_eq (atomic_load (&server.requests), 5);
  ck_assert_int_eq (atomic_load (&server.connections), 1);
}
END_TEST

/* Guards against a request that is lost because the upstream closed the idle
   connection. */
START_TEST (test_idle_close)
{
  expect_end ("/then-close", 10 * MD_SECOND, MD_END_COMPLETE);
  while (atomic_load (&server.closed) == 0)
    sched_yield ();
  expect_end ("/ok", 10 * MD_SECOND, MD_END_COMPLETE);
  ck_assert_int_eq (atomic_load (&server.requests), 2);
  ck_assert_int_eq (atomic_load (&server.connections), 2);
}
END_TEST

/* Guards against a second try of a request that the upstream may have run, and
   against taking a part of an answer for the whole. */
START_TEST (test_broken_is_not_repeated)
{
  expect_end ("/none", 10 * MD_SECOND, MD_END_BROKEN);
  expect_end ("/cut-chunked", 10 * MD_SECOND, MD_END_BROKEN);
  expect_end ("/cut-length", 10 * MD_SECOND, MD_END_BROKEN);
  ck_assert_int_eq (atomic_load (&server.requests), 3);
  expect_end ("/until-close", 10 * MD_SECOND, MD_END_COMPLETE);
}
END_TEST

/* Guards against an upstream that stops in the middle of a body holding a slot for
   ever. */
START_TEST (test_stalled_body)
{
  expect_end ("/stall", 200 * MD_MS, MD_END_BROKEN);
  expect_end ("/ok", 10 * MD_SECOND, MD_END_COMPLETE);
}
END_TEST

/* Guards against a process that was paused after the ledger's check sending a
   request for which the check no longer holds. */
START_TEST (test_stale_hand_over)
{
  MdAttempt *task = run_task (new_task ("/ok", 10 * MD_SECOND, MD_HANDOVER_MAX + 1));

  ck_assert_int_eq (task->end, MD_END_STALE);
  ck_assert_int_eq (atomic_load (&server.requests), 0);
  md_attempt_free (task);
}
END_TEST

/* Guards against calling a request started that no upstream can have seen. */
START_TEST (test_no_upstream)
{
  shutdown (server.listener, SHUT_RDWR);
  expect_end ("/ok", 10 * MD_SECOND, MD_END_NOT_SENT);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("upstream");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_keep_alive);
  tcase_add_test (tc, test_idle_close);
  tcase_add_test (tc, test_broken_is_not_repeated);
  tcase_add_test (tc, test_stalled_body);
  tcase_add_test (tc, test_stale_hand_over);
  tcase_add_test (tc, test_no_upstream);
  return run_suite ("upstream", tc);
}
