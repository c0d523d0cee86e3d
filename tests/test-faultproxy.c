/* test-faultproxy.c -- the fault proxy injects the fault it was asked for

   A proxy that passes everything on would make every test of a fault succeed, so
   that each fault is checked here against real connections. */

#define _GNU_SOURCE /* MSG_DONTWAIT */

#include "faultproxy.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static pid_t proxy;
static int target;     /* listener behind the proxy */
static int route_port; /* of route "r" */
static int control;    /* connection for commands */
static int client;     /* first connection, caller's side */
static int server;     /* first connection, target's side */

static int
connect_port (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
exec_proxy (int out, const char *seed, int port)
{
  char path[512];
  char route[64];
  ssize_t n = readlink ("/proc/self/exe", path, sizeof path - 32);

  path[n > 0 ? n : 0] = '\0';
  md_str_copy (strrchr (path, '/') + 1, 16, MD_STR ("faultproxy"));
  snprintf (route, sizeof route, "r=127.0.0.1:%d", port);
  dup2 (out, 1);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execl (path, path, "--seed", seed, route, (char *)NULL);
  _exit (127);
}

static void
start_proxy (const char *seed)
{
  int pipes[2];
  int port;
  FILE *out;

  ck_assert_int_eq (pipe (pipes), 0);
  target = proxy_listen (&port);
  proxy = fork ();
  if (proxy == 0)
    exec_proxy (pipes[1], seed, port);
  close (pipes[1]);
  out = fdopen (pipes[0], "r");
  ck_assert_int_eq (fscanf (out, "route r listening 127.0.0.1:%d", &route_port), 1);
  ck_assert_int_eq (fscanf (out, " control listening 127.0.0.1:%d", &port), 1);
  control = connect_port (port);
}

static void
connect_pair (int *near, int *far)
{
  *near = connect_port (route_port);
  while ((*far = accept (target, NULL, NULL)) < 0)
    usleep (1000);
}

static void
set_up (void)
{
  start_proxy ("7");
  connect_pair (&client, &server);
}

static void
tear_down (void)
{
  kill (proxy, SIGTERM);
  waitpid (proxy, NULL, 0);
}

static void
run_command (const char *line, const char *expected)
{
  char answer[128];
  ssize_t n;

  dprintf (control, "%s\n", line);
  n = recv (control, answer, sizeof answer - 1, 0);
  ck_assert (n > 0);
  answer[n] = '\0';
  ck_assert_str_eq (answer, expected);
}

static void
put (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

static void
expect (int fd, const char *text)
{
  char got[256] = { 0 };

  ck_assert_int_eq (recv (fd, got, strlen (text), MSG_WAITALL), strlen (text));
  ck_assert_str_eq (got, text);
}

/* Gives the proxy time for a mistake: bytes pass the other way, then a pause. */
static void
expect_nothing (int fd, int other_near, int other_far)
{
  char byte;

  for (int i = 0; i < 20 && other_near >= 0; i++)
    {
      put (other_near, "x");
      expect (other_far, "x");
    }
  usleep (20000);
  ck_assert_int_eq (recv (fd, &byte, 1, MSG_DONTWAIT), -1);
  ck_assert_int_eq (errno, EAGAIN);
}

/* Sends n frames of one byte at once, so that no frame waits for the next. */
static void
put_frames (int fd, int n)
{
  char frames[26][5];

  for (int i = 0; i < n; i++)
    memcpy (frames[i], (char[5]){ 0, 0, 0, 1, (char)('a' + i) }, 5);
  ck_assert_int_eq (send (fd, frames, (size_t)n * 5, 0), n * 5);
}

/* Reads frames of one byte until the end of the stream. */
static void
read_frames (int fd, char *out)
{
  char frame[5];

  while (recv (fd, frame, sizeof frame, MSG_WAITALL) == sizeof frame)
    *out++ = frame[4];
  *out = '\0';
}

/* Guards against a proxy that alters or loses bytes or ends without a fault. */
START_TEST (test_pass)
{
  put (client, "question");
  expect (server, "question");
  shutdown (client, SHUT_WR);
  put (server, "answer");
  expect (client, "answer");
  ck_assert_int_eq (recv (server, &(char){ 0 }, 1, 0), 0);
  run_command ("list", "connection r#1 up=8 down=6 silent=0\nok\n");
  run_command ("cut nowhere up", "error no such route or connection\n");
  run_command ("cut r sideways", "error direction must be up, down or both\n");
}
END_TEST

/* Guards against a delay that is not applied, or applied to other connections. */
START_TEST (test_delay)
{
  MdTime start = md_now ();
  int near, far;

  run_command ("delay r up 100", "ok\n");
  put (client, "late");
  expect (server, "late");
  ck_assert (md_now () - start >= 100 * MD_MS);
  run_command ("heal r", "ok\n");
  connect_pair (&near, &far);
  run_command ("delay r#1 up 3600000", "ok\n");
  put (client, "an hour late");
  put (near, "soon");
  expect (far, "soon");
  expect_nothing (server, near, far);
}
END_TEST

/* Guards against a cut that lets bytes through, cuts the other direction, or
   loses bytes that a partition would deliver late. */
START_TEST (test_cut)
{
  run_command ("cut r up", "ok\n");
  put (client, "held");
  expect_nothing (server, server, client);
  run_command ("heal r", "ok\n");
  expect (server, "held");
}
END_TEST

/* Guards against a silent connection that closes, comes back after a heal, or
   makes new connections silent. */
START_TEST (test_silence)
{
  int near, far;

  run_command ("silence r", "ok\n");
  connect_pair (&near, &far);
  put (client, "gone");
  put (server, "gone");
  expect_nothing (server, near, far);
  expect_nothing (client, far, near);
  run_command ("heal r", "ok\n");
  expect_nothing (server, near, far);
}
END_TEST

/* Guards against a truncation at another byte or of a second connection. */
START_TEST (test_truncate)
{
  char got[16];
  int near, far;

  run_command ("truncate r up 5", "ok\n");
  put (client, "truncated");
  ck_assert_int_eq (recv (server, got, sizeof got, MSG_WAITALL), 5);
  connect_pair (&near, &far);
  put (near, "whole message");
  expect (far, "whole message");
}
END_TEST

/* Guards against a request that is cut short instead of left without a response, and against a
   fault on a connection that libcurl would not use again. */
START_TEST (test_unanswered)
{
  char got[16];
  int near, far;

  run_command ("unanswered r 1", "ok\n");
  put (client, "first");
  expect (server, "first");
  put (server, "answer");
  expect (client, "answer");
  put (client, "second");
  expect (server, "second");
  ck_assert_int_eq (recv (client, got, sizeof got, 0), 0);
  connect_pair (&near, &far);
  put (near, "first");
  expect (far, "first");
  put (far, "answer");
  expect (near, "answer");
  put (near, "second");
  expect (far, "second");
  put (far, "answer");
  expect (near, "answer");
}
END_TEST

/* Guards against frames that are not duplicated or reordered as a whole. */
START_TEST (test_frames)
{
  char got[64];

  run_command ("duplicate r up 100", "ok\n");
  run_command ("reorder r down 100", "ok\n");
  put_frames (client, 3);
  put_frames (server, 5);
  shutdown (client, SHUT_WR);
  shutdown (server, SHUT_WR);
  read_frames (server, got);
  ck_assert_str_eq (got, "aabbcc");
  read_frames (client, got);
  ck_assert_str_eq (got, "badce");
}
END_TEST

/* Guards against runs that cannot be repeated: the same seed gives the same
   faults, another seed others. */
START_TEST (test_seed)
{
  static const char *const seeds[] = { "7", "7", "8" };
  char got[3][64];

  for (int i = 0; i < 3; i++)
    {
      start_proxy (seeds[i]);
      connect_pair (&client, &server);
      run_command ("duplicate r up 50", "ok\n");
      put_frames (client, 26);
      shutdown (client, SHUT_WR);
      read_frames (server, got[i]);
      ck_assert (strlen (got[i]) > 26 && strlen (got[i]) < 52);
      tear_down ();
    }
  ck_assert_str_eq (got[0], got[1]);
  ck_assert_str_ne (got[0], got[2]);
}
END_TEST

/* Guards against a proxy that takes in without bound what it cannot deliver. */
START_TEST (test_bounded)
{
  static char bytes[65536];
  size_t taken = 0;

  run_command ("cut r up", "ok\n");
  for (int idle = 0; idle < 20 && taken < (64u << 20);)
    {
      ssize_t n = send (client, bytes, sizeof bytes, MSG_DONTWAIT);

      idle = n > 0 ? 0 : idle + 1;
      taken += n > 0 ? (size_t)n : 0;
      if (n <= 0)
        usleep (5000);
    }
  ck_assert_uint_lt (taken, 64u << 20);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("faultproxy");
  TCase *tc = tcase_create ("faults");
  TCase *seeds = tcase_create ("seeds");
  SRunner *runner = srunner_create (suite);
  int failed;

  suite_add_tcase (suite, tc);
  tcase_add_checked_fixture (tc, set_up, tear_down);
  tcase_add_test (tc, test_pass);
  tcase_add_test (tc, test_delay);
  tcase_add_test (tc, test_cut);
  tcase_add_test (tc, test_silence);
  tcase_add_test (tc, test_truncate);
  tcase_add_test (tc, test_unanswered);
  tcase_add_test (tc, test_frames);
  tcase_add_test (tc, test_bounded);
  suite_add_tcase (suite, seeds);
  tcase_add_test (seeds, test_seed);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? 0 : 1;
}
