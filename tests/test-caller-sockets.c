/* test-caller-sockets.c -- search for the sockets of callers, over the loopback interface

   Guards against a search whose cost grows with the number of open descriptors: an entry that
   had to accept a connection for each request used up its processor time by it. */

#define _GNU_SOURCE /* syscall */

#include "caller-sockets.h"
#include "suite.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define GUARDS 80   /* links that are open before the first caller comes */
#define CALLERS 120 /* idle connections */

static int calls; /* of getpeername */

/* Takes the place of the function of the C library. */
int
getpeername (int fd, struct sockaddr *address, socklen_t *len)
{
  calls++;
  return (int)syscall (SYS_getpeername, fd, address, len);
}

/* A connection whose far end is in the same process. */
typedef struct
{
  int accepted;
  int far;
  struct sockaddr_in peer;
} Connection;

static int listener;

static void
setup (void)
{
  struct sockaddr_in any = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };

  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert (bind (listener, (struct sockaddr *)&any, sizeof any) == 0);
  ck_assert (listen (listener, CALLERS) == 0);
  calls = 0;
}

static Connection
connect_caller (void)
{
  Connection connection = { .far = socket (AF_INET, SOCK_STREAM, 0) };
  struct sockaddr_in server;
  socklen_t len = sizeof server;

  ck_assert (getsockname (listener, (struct sockaddr *)&server, &len) == 0);
  ck_assert (connect (connection.far, (struct sockaddr *)&server, len) == 0);
  len = sizeof connection.peer;
  connection.accepted = accept (listener, (struct sockaddr *)&connection.peer, &len);
  ck_assert (connection.accepted >= 0);
  return connection;
}

/* Moves the far end out of the range in which the process accepts connections. */
static Connection
connect_remote_caller (void)
{
  Connection connection = connect_caller ();
  int far = fcntl (connection.far, F_DUPFD, 700);

  ck_assert (far >= 700);
  close (connection.far);
  connection.far = far;
  return connection;
}

START_TEST (finds_each_caller)
{
  static MdCallerSockets sockets;
  Connection a = connect_remote_caller ();
  Connection b = connect_remote_caller ();

  ck_assert_int_eq (md_caller_sockets_find (&sockets, &b.peer), b.accepted);
  ck_assert_int_eq (md_caller_sockets_find (&sockets, &a.peer), a.accepted);
  ck_assert_int_eq (md_caller_sockets_find (&sockets, &a.peer), -1);
  md_caller_sockets_release (&sockets, a.accepted);
  ck_assert_int_eq (md_caller_sockets_find (&sockets, &a.peer), a.accepted);
}
END_TEST

/* A descriptor below those of all callers so far is found as well. */
START_TEST (finds_a_lower_descriptor)
{
  static MdCallerSockets sockets;
  int reserved[2] = { dup (listener), dup (listener) };
  Connection high = connect_remote_caller ();
  Connection low;

  ck_assert_int_eq (md_caller_sockets_find (&sockets, &high.peer), high.accepted);
  close (reserved[0]);
  close (reserved[1]);
  low = connect_caller ();
  ck_assert_int_lt (low.accepted, high.accepted);
  ck_assert_int_eq (md_caller_sockets_find (&sockets, &low.peer), low.accepted);
}
END_TEST

/* One connection for each request beside idle ones and links of guards: a search looks at the
   descriptor of the connection and few others. */
START_TEST (churn_looks_at_few_descriptors)
{
  static MdCallerSockets sockets;
  int guards[GUARDS];

  for (int i = 0; i < GUARDS; i++)
    guards[i] = dup (listener);
  for (int i = 0; i < CALLERS; i++)
    {
      Connection idle = connect_remote_caller ();

      ck_assert_int_eq (md_caller_sockets_find (&sockets, &idle.peer), idle.accepted);
    }
  calls = 0;
  for (int i = 0; i < 50; i++)
    {
      Connection caller = connect_remote_caller ();

      ck_assert_int_eq (md_caller_sockets_find (&sockets, &caller.peer), caller.accepted);
      md_caller_sockets_release (&sockets, caller.accepted);
      close (caller.accepted);
      close (caller.far);
    }
  ck_assert_int_le (calls, 4 * 50);
  close (guards[0]);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("caller-sockets");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, finds_each_caller);
  tcase_add_test (tc, finds_a_lower_descriptor);
  tcase_add_test (tc, churn_looks_at_few_descriptors);
  return run_suite ("caller-sockets", tc);
}
