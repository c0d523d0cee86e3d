/* test-connection-socket.c -- the socket of the connection that a server's thread serves

   Guards against a socket that belongs to another connection: one from the same port, one that has a
   lower descriptor, one that this thread served before. Guards as well against a search whose cost
   grows with the number of open descriptors: an entry that had to accept a connection for each request
   used up its processor time by it. */

#define _GNU_SOURCE /* syscall */

#include "connection-socket.h"
#include "md-private.h"
#include "port.h"
#include "server.h"
#include "suite.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define GUARDS 80  /* links that are open before the first caller comes */
#define CALLERS 24 /* idle connections, each with a thread */
#define THREADS "32"

static atomic_int calls; /* of getpeername */
static struct mg_context *server;
static int port;

/* Takes the place of the function of the C library. */
int
getpeername (int fd, struct sockaddr *address, socklen_t *len)
{
  calls++;
  return (int)syscall (SYS_getpeername, fd, address, len);
}

/* Port of the peer of a descriptor, 0 if it has none. */
static int
peer_port (int fd)
{
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof peer;

  return syscall (SYS_getpeername, fd, &peer, &len) == 0 ? ntohs (peer.sin_port) : 0;
}

/* Answers with the descriptor, the port of its peer, and the port that CivetWeb knows. */
static int
handle (struct mg_connection *conn, void *user MD_UNUSED)
{
  int fd = md_connection_socket ();
  char body[64];
  int len = snprintf (body, sizeof body, "%d %d %d", fd, peer_port (fd),
                      mg_get_request_info (conn)->remote_port);

  mg_printf (conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len, body);
  return 200;
}

static void
setup (void)
{
  char address[MD_ADDRESS_BYTES];
  int fd;

  port = (int)hold_port (&fd);
  close (fd);
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  server = start_server (address, THREADS, handle, handle);
  ck_assert_ptr_nonnull (server);
  calls = 0;
}

static void
teardown (void)
{
  mg_stop (server);
}

/* Connects with a descriptor above those that the server accepts. */
static int
connect_caller (void)
{
  struct sockaddr_in to = { AF_INET, htons ((in_port_t)port), { htonl (INADDR_LOOPBACK) }, { 0 } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int far;

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  far = fcntl (fd, F_DUPFD, 700);
  ck_assert_int_ge (far, 700);
  close (fd);
  return far;
}

/* Sends a request; returns the descriptor that its thread was told, after a check that it is that of
   the connection. */
static int
ask (int caller)
{
  const char request[] = "GET /v1/x HTTP/1.1\r\nHost: x\r\n\r\n";
  char response[512] = "";
  struct sockaddr_in own = { 0 };
  socklen_t len = sizeof own;
  size_t n = 0;
  int fd;
  int peer;
  int remote;

  ck_assert_int_eq (write (caller, request, sizeof request - 1), (int)sizeof request - 1);
  while (strstr (response, "\r\n\r\n") == NULL || response[n - 1] == '\n')
    {
      ssize_t got = read (caller, response + n, sizeof response - 1 - n);

      ck_assert_int_gt (got, 0);
      n += (size_t)got;
    }
  ck_assert_int_eq (sscanf (strstr (response, "\r\n\r\n"), "%d %d %d", &fd, &peer, &remote), 3);
  ck_assert_int_eq (getsockname (caller, (struct sockaddr *)&own, &len), 0);
  ck_assert_int_eq (peer, ntohs (own.sin_port));
  ck_assert_int_eq (remote, ntohs (own.sin_port));
  return fd;
}

START_TEST (finds_each_caller)
{
  int a = connect_caller ();
  int b = connect_caller ();
  int fd = ask (b);

  ck_assert_int_ne (ask (a), fd);
  ck_assert_int_eq (ask (b), fd); /* the next request of the connection */
  close (b);
  close (a);
}
END_TEST

/* A descriptor below those of all callers so far is found as well. */
START_TEST (finds_a_lower_descriptor)
{
  int reserved[2] = { dup (0), dup (0) };
  int high = connect_caller ();
  int fd = ask (high);

  close (reserved[0]);
  close (reserved[1]);
  ck_assert_int_lt (ask (connect_caller ()), fd);
}
END_TEST

/* One connection for each request beside idle ones and links of guards: no descriptor is looked at. */
START_TEST (churn_looks_at_no_descriptors)
{
  for (int i = 0; i < GUARDS; i++)
    ck_assert_int_ge (dup (0), 0);
  for (int i = 0; i < CALLERS; i++)
    ask (connect_caller ());
  calls = 0;
  for (int i = 0; i < 50; i++)
    {
      int caller = connect_caller ();

      ask (caller);
      close (caller);
    }
  ck_assert_int_eq (calls, 0);
}
END_TEST

/* A thread that has served another connection is told nothing before it has read from the next one. */
START_TEST (begins_without_a_socket)
{
  int pair[2];
  char byte;

  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
  ck_assert_int_eq (write (pair[0], "x", 1), 1);
  ck_assert_int_eq (recv (pair[1], &byte, 1, 0), 1);
  ck_assert_int_eq (md_connection_socket (), pair[1]);
  md_connection_socket_begin ();
  ck_assert_int_eq (md_connection_socket (), -1);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("connection-socket");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, finds_each_caller);
  tcase_add_test (tc, finds_a_lower_descriptor);
  tcase_add_test (tc, churn_looks_at_no_descriptors);
  tcase_add_test (tc, begins_without_a_socket);
  return run_suite ("connection-socket", tc);
}
