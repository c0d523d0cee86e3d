/* faultproxy.c -- a TCP proxy for tests that injects faults

   Usage: faultproxy [--seed N] NAME=IP:PORT...

   Each route listens on a free port of 127.0.0.1 and forwards to its target. The
   proxy prints "route NAME listening IP:PORT" for each route and then "control
   listening IP:PORT". It reads commands, one a line, from connections to the
   control address and answers each line with "ok", "ok TEXT" or "error REASON".
   An answer means that the command is in force.

     route NAME IP:PORT            add a route; answers with its address
     target ROUTE IP:PORT          new connections go there
     delay WHERE DIR MS [JITTER]   hold every byte for MS plus up to JITTER ms
     cut ROUTE DIR                 bytes wait until heal, as in a partition
     silence WHERE                 present connections pass nothing for good but
                                   stay open; new ones work
     truncate ROUTE DIR N          pass N more bytes, then close that connection
     unanswered ROUTE N            pass the next N segments up on connections that were
                                   answered before, and close each of these after it
     duplicate ROUTE DIR PERCENT   send this share of the frames twice
     reorder ROUTE DIR PERCENT     send this share of the frames after the next one
     refuse ROUTE                  close new connections at once
     close WHERE                   close the present connections
     heal ROUTE                    end all faults but silence
     list                          connections, one a line, then "ok"
     quit

   ROUTE is a name or "*"; WHERE is a ROUTE or ROUTE#N for its connection number N
   (1 first), so that one connection can fall behind another. DIR is up (towards
   the target), down or both. A frame is a 4-byte big-endian length and as many
   bytes; streams that are not framed must not be duplicated or reordered.

   One thread and poll keep the order of events simple. Each flow draws from its
   own random sequence, made from the seed, the route, the connection number and
   the direction, so that frame faults depend neither on how connections
   interleave nor on how the bytes arrive. Jitter is drawn per segment and does
   depend on the latter. A flow that holds BUFFER_BYTES is not read until it
   drains. */

#define _GNU_SOURCE /* POLLRDHUP, accept4 */

#include "faultproxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* ------------------------------------------------------------------ */
/* Connections                                                        */

static bool
is_cut (const Route *route)
{
  return route->faults[UP].cut || route->faults[DOWN].cut;
}

/* Connects to the target. A handshake needs both directions, so that it waits
   while one is cut. */
static void
start_connect (Conn *conn)
{
  const Route *route = conn->route;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    proxy_die ("socket");
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  conn->fds[DOWN] = fd;
  if (connect (fd, (const struct sockaddr *)&route->target, sizeof route->target) < 0
      && errno != EINPROGRESS)
    conn->dead = true;
}

static void
finish_connect (Conn *conn)
{
  int error = 0;
  socklen_t len = sizeof error;

  getsockopt (conn->fds[DOWN], SOL_SOCKET, SO_ERROR, &error, &len);
  conn->connected = error == 0;
  conn->dead = error != 0;
}

static void
accept_conn (Proxy *proxy, Route *route)
{
  int one = 1;
  int fd = accept4 (route->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  Conn *conn;

  if (fd < 0)
    return;
  if (route->refuse || proxy->n_conns == MAX_CONNS)
    {
      close (fd);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  conn = proxy_allocate (sizeof *conn);
  conn->route = route;
  conn->number = ++route->n_conns;
  conn->fds[UP] = fd;
  conn->fds[DOWN] = -1;
  for (int dir = UP; dir <= DOWN; dir++)
    conn->flows[dir].random = XXH64 (route->name, strlen (route->name),
                                     proxy->seed * 4 + conn->number * 2ull + (unsigned)dir);
  proxy->conns[proxy->n_conns++] = conn;
}

static void
read_side (const Proxy *proxy, Conn *conn, int dir)
{
  static char bytes[READ_BYTES];
  const Faults *faults = &conn->route->faults[dir];
  Flow *flow = &conn->flows[dir];
  ssize_t n = recv (conn->fds[dir], bytes, sizeof bytes, 0);

  if (n > 0)
    flow_accept_bytes (flow, faults, bytes, (size_t)n, proxy->now);
  else if (n == 0)
    flow_accept_end (flow, faults, SEGMENT_END, proxy->now);
  else if (errno != EAGAIN && errno != EINTR)
    flow_accept_end (flow, faults, SEGMENT_RESET, proxy->now);
}

/* Bytes that may pass before the route closes the connection. */
static size_t
allowed (const Faults *faults, size_t len)
{
  return faults->truncate >= 0 && (size_t)faults->truncate < len ? (size_t)faults->truncate : len;
}

/* Sends part of a data segment; false when the receiver takes no more now. */
static bool
send_data (Conn *conn, int dir, Segment *segment)
{
  Faults *faults = &conn->route->faults[dir];
  size_t len = allowed (faults, segment->len - segment->sent);
  ssize_t n = send (conn->fds[1 - dir], segment->data + segment->sent, len, MSG_NOSIGNAL);

  if (n < 0)
    {
      conn->dead = errno != EAGAIN && errno != EINTR;
      return false;
    }
  segment->sent += (size_t)n;
  conn->flows[dir].passed += (uint64_t)n;
  if (faults->truncate >= 0 && (faults->truncate -= n) == 0)
    {
      faults->truncate = -1;
      conn->dead = true;
    }
  return (size_t)n == len && !conn->dead;
}

static bool
is_due (const Proxy *proxy, const Conn *conn, int dir)
{
  const Flow *flow = &conn->flows[dir];

  return conn->connected && !conn->silent && !conn->route->faults[dir].cut && flow->first != NULL
         && flow->first->due <= proxy->now;
}

/* Closes a connection that has passed a whole request, so that its response is lost. */
static void
lose_answer (Conn *conn, int dir)
{
  Faults *faults = &conn->route->faults[dir];

  if (faults->unanswered == 0 || conn->flows[1 - dir].passed == 0)
    return;
  faults->unanswered--;
  conn->dead = true;
}

static void
deliver (const Proxy *proxy, Conn *conn, int dir)
{
  Flow *flow = &conn->flows[dir];

  while (!conn->dead && is_due (proxy, conn, dir))
    {
      Segment *segment = flow->first;

      if (segment->kind == SEGMENT_DATA && !send_data (conn, dir, segment))
        return;
      if (segment->kind == SEGMENT_END)
        {
          shutdown (conn->fds[1 - dir], SHUT_WR);
          flow->closed = true;
        }
      if (segment->kind == SEGMENT_RESET)
        conn->dead = true;
      if (segment->kind == SEGMENT_DATA)
        lose_answer (conn, dir);
      flow->first = segment->next;
      flow->queued -= segment->len;
      free (segment);
    }
  if (conn->flows[UP].closed && conn->flows[DOWN].closed)
    conn->dead = true;
}

static void
free_conn (Conn *conn)
{
  for (int dir = UP; dir <= DOWN; dir++)
    {
      flow_clear (&conn->flows[dir]);
      if (conn->fds[dir] >= 0)
        close (conn->fds[dir]);
    }
  free (conn);
}

/* Timed work of a connection, whatever poll reported. */
static void
step_conn (const Proxy *proxy, Conn *conn)
{
  if (conn->fds[DOWN] < 0 && !conn->silent && !is_cut (conn->route))
    start_connect (conn);
  for (int dir = UP; dir <= DOWN && !conn->dead; dir++)
    {
      Flow *flow = &conn->flows[dir];

      if (flow->held != NULL && flow->held_until <= proxy->now)
        flow_release_held (flow, &conn->route->faults[dir], proxy->now);
      deliver (proxy, conn, dir);
    }
}

/* ------------------------------------------------------------------ */
/* Control connections                                                */

static void
run_line (Proxy *proxy, int fd, char *line)
{
  MD_AUTO_BUF answer = { 0 };

  proxy_run_line (proxy, line, &answer);
  if (send (fd, answer.data, answer.len, MSG_NOSIGNAL) < 0)
    return; /* the reader has gone; the command is in force all the same */
}

static void
read_control (Proxy *proxy, Control *control)
{
  char bytes[1024];
  ssize_t n = recv (control->fd, bytes, sizeof bytes, 0);
  char *newline;

  if (n <= 0 || control->in.len > sizeof bytes)
    {
      control->dead = true;
      return;
    }
  md_buf_append (&control->in, md_str_n (bytes, (size_t)n));
  while (control->in.len > 0 && (newline = memchr (control->in.data, '\n', control->in.len)))
    {
      *newline = '\0';
      run_line (proxy, control->fd, control->in.data);
      md_buf_consume (&control->in, (size_t)(newline - control->in.data) + 1);
    }
}

static void
accept_control (Proxy *proxy)
{
  int fd = accept4 (proxy->control_listener, NULL, NULL, SOCK_CLOEXEC);
  Control *control;

  if (fd < 0)
    return;
  if (proxy->n_controls == MAX_CONTROLS)
    {
      close (fd);
      return;
    }
  control = proxy_allocate (sizeof *control);
  control->fd = fd;
  proxy->controls[proxy->n_controls++] = control;
}

/* ------------------------------------------------------------------ */
/* Loop                                                               */

#define MAX_POLLS (MAX_ROUTES + 2 * MAX_CONNS + MAX_CONTROLS + 1)

/* What a connection waits for on one side; 0 nothing. */
static short
wanted (const Proxy *proxy, const Conn *conn, int side)
{
  const Flow *in = &conn->flows[side];
  short events = 0;

  if (conn->silent)
    return conn->left[side] ? 0 : POLLRDHUP;
  if (side == DOWN && !conn->connected)
    return POLLOUT;
  if (!in->ended && in->queued + in->partial.len < BUFFER_BYTES + FRAME_BYTES)
    events |= POLLIN;
  if (is_due (proxy, conn, 1 - side))
    events |= POLLOUT;
  return events;
}

static int
until (const Proxy *proxy, MdTime time)
{
  MdTime left = time - proxy->now;

  return left <= 0 ? 0 : (int)((left + MD_MS - 1) / MD_MS);
}

/* Milliseconds until the next segment is due; -1 when none waits. */
static int
poll_timeout (const Proxy *proxy)
{
  MdTime first = INT64_MAX;

  for (size_t i = 0; i < proxy->n_conns; i++)
    for (int dir = UP; dir <= DOWN; dir++)
      {
        const Flow *flow = &proxy->conns[i]->flows[dir];

        if (proxy->conns[i]->silent || proxy->conns[i]->route->faults[dir].cut)
          continue;
        if (flow->first != NULL && flow->first->due > proxy->now && flow->first->due < first)
          first = flow->first->due;
        if (flow->held != NULL && flow->held_until < first)
          first = flow->held_until;
      }
  return first == INT64_MAX ? -1 : until (proxy, first);
}

static size_t
fill_polls (const Proxy *proxy, struct pollfd *polls)
{
  size_t n = 0;

  polls[n++] = (struct pollfd){ proxy->control_listener, POLLIN, 0 };
  for (size_t i = 0; i < proxy->n_controls; i++)
    polls[n++] = (struct pollfd){ proxy->controls[i]->fd, POLLIN, 0 };
  for (size_t i = 0; i < proxy->n_routes; i++)
    polls[n++] = (struct pollfd){ proxy->routes[i]->listener, POLLIN, 0 };
  for (size_t i = 0; i < proxy->n_conns; i++)
    for (int side = UP; side <= DOWN; side++)
      {
        short events = wanted (proxy, proxy->conns[i], side);

        polls[n++] = (struct pollfd){ events ? proxy->conns[i]->fds[side] : -1, events, 0 };
      }
  return n;
}

static void
handle_conn (const Proxy *proxy, Conn *conn, const struct pollfd *polls)
{
  for (int side = UP; side <= DOWN && !conn->dead; side++)
    {
      short events = polls[side].revents;

      if (events == 0 || polls[side].fd < 0)
        continue;
      if (conn->silent)
        conn->left[side] = true;
      else if (side == DOWN && !conn->connected)
        finish_connect (conn);
      else if (events & (POLLIN | POLLHUP | POLLERR) && !conn->flows[side].ended)
        read_side (proxy, conn, side);
    }
  if (conn->silent && conn->left[UP] && (conn->left[DOWN] || conn->fds[DOWN] < 0))
    conn->dead = true;
}

static void
handle_events (Proxy *proxy, const struct pollfd *polls)
{
  size_t n_controls = proxy->n_controls;
  size_t n_routes = proxy->n_routes;
  size_t n_conns = proxy->n_conns;
  const struct pollfd *route_polls = polls + 1 + n_controls;
  const struct pollfd *conn_polls = route_polls + n_routes;

  /* Connections first: their polls were filled before any command changes what
     they wait for. */
  for (size_t i = 0; i < n_conns; i++)
    handle_conn (proxy, proxy->conns[i], conn_polls + 2 * i);
  for (size_t i = 0; i < n_controls; i++)
    if (polls[1 + i].revents)
      read_control (proxy, proxy->controls[i]);
  for (size_t i = 0; i < n_routes; i++)
    if (route_polls[i].revents)
      accept_conn (proxy, proxy->routes[i]);
  if (polls[0].revents)
    accept_control (proxy);
}

static void
sweep (Proxy *proxy)
{
  for (size_t i = proxy->n_conns; i-- > 0;)
    if (proxy->conns[i]->dead)
      {
        free_conn (proxy->conns[i]);
        proxy->conns[i] = proxy->conns[--proxy->n_conns];
      }
  for (size_t i = proxy->n_controls; i-- > 0;)
    if (proxy->controls[i]->dead)
      {
        close (proxy->controls[i]->fd);
        md_buf_clear (&proxy->controls[i]->in);
        free (proxy->controls[i]);
        proxy->controls[i] = proxy->controls[--proxy->n_controls];
      }
}

static void
run_loop (Proxy *proxy)
{
  static struct pollfd polls[MAX_POLLS];

  while (!proxy->quit)
    {
      size_t n;

      proxy->now = md_now ();
      for (size_t i = 0; i < proxy->n_conns; i++)
        step_conn (proxy, proxy->conns[i]);
      sweep (proxy);
      n = fill_polls (proxy, polls);
      if (poll (polls, n, poll_timeout (proxy)) < 0 && errno != EINTR)
        proxy_die ("poll");
      proxy->now = md_now ();
      handle_events (proxy, polls);
    }
}

static void
add_routes (Proxy *proxy, const char **args)
{
  for (; args != NULL && *args != NULL; args++)
    {
      char name[MD_NAME_BYTES];
      size_t len = strcspn (*args, "=");
      int port = 0;

      md_str_copy (name, sizeof name, md_str_n (*args, len));
      if ((*args)[len] == '=')
        port = proxy_add_route (proxy, name, *args + len + 1);
      if (port == 0)
        {
          fprintf (stderr, "faultproxy: %s: expected NAME=IP:PORT\n", *args);
          exit (2);
        }
      printf ("route %s listening 127.0.0.1:%d\n", name, port);
    }
}

int
main (int argc, const char **argv)
{
  static Proxy proxy;
  long seed = 1;
  int port;
  const struct poptOption options[] = {
    { "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of all random choices", "N" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext context = poptGetContext ("faultproxy", argc, argv, options, 0);

  if (poptGetNextOpt (context) < -1)
    {
      poptPrintUsage (context, stderr, 0);
      return 2;
    }
  proxy.seed = (uint64_t)seed;
  add_routes (&proxy, poptGetArgs (context));
  poptFreeContext (context);
  proxy.control_listener = proxy_listen (&port);
  printf ("control listening 127.0.0.1:%d\n", port);
  fflush (stdout);
  run_loop (&proxy);
  for (size_t i = 0; i < proxy.n_conns; i++)
    free_conn (proxy.conns[i]);
  return 0;
}
