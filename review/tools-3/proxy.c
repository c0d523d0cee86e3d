/* proxy.c -- a TCP proxy that can cut a path

   Usage: proxy LISTEN TARGET. SIGUSR1 cuts the path: bytes wait, and no connection is made. SIGUSR2
   heals it. */

#define _GNU_SOURCE

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static atomic_int cut;

static void
on_signal (int number)
{
  atomic_store (&cut, number == SIGUSR1);
}

static void
wait_until_healed (void)
{
  struct timespec step = { 0, 2000000 };

  while (atomic_load (&cut))
    nanosleep (&step, NULL);
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[64] = "";
  int port = 0;

  if (sscanf (text, "%63[^:]:%d", host, &port) != 2
      || inet_pton (AF_INET, host, &address.sin_addr) != 1)
    exit (2);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

typedef struct
{
  int from;
  int to;
} Flow;

static void *
forward (void *data)
{
  Flow flow = *(Flow *)data;
  char buf[65536];
  ssize_t n;

  free (data);
  while ((n = recv (flow.from, buf, sizeof buf, 0)) != 0)
    {
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        break;
      wait_until_healed ();
      for (ssize_t sent = 0, k; sent < n; sent += k)
        {
          k = send (flow.to, buf + sent, (size_t)(n - sent), MSG_NOSIGNAL);
          if (k < 0 && errno == EINTR)
            k = 0;
          if (k < 0)
            goto end;
        }
    }
end:
  wait_until_healed ();
  shutdown (flow.to, SHUT_WR);
  shutdown (flow.from, SHUT_RD);
  return NULL;
}

static void
begin_flow (int from, int to)
{
  Flow *flow = malloc (sizeof *flow);
  pthread_t thread;

  *flow = (Flow){ from, to };
  if (pthread_create (&thread, NULL, forward, flow) == 0)
    pthread_detach (thread);
}

int
main (int argc, char **argv)
{
  struct sigaction action = { .sa_handler = on_signal, .sa_flags = SA_RESTART };
  struct sockaddr_in listen_at;
  struct sockaddr_in target;
  int on = 1;
  int fd;

  if (argc != 3)
    return 2;
  listen_at = parse_address (argv[1]);
  target = parse_address (argv[2]);
  sigaction (SIGUSR1, &action, NULL);
  sigaction (SIGUSR2, &action, NULL);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&listen_at, sizeof listen_at) != 0 || listen (fd, 64) != 0)
    return 2;
  for (;;)
    {
      int caller = accept (fd, NULL, NULL);
      int callee;

      if (caller < 0)
        continue;
      wait_until_healed ();
      callee = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect (callee, (struct sockaddr *)&target, sizeof target) != 0)
        {
          close (caller);
          close (callee);
          continue;
        }
      begin_flow (caller, callee);
      begin_flow (callee, caller);
    }
}
