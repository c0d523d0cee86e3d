/* client.c -- stand-ins for clients, the operator and the platform's forwarder, for the review

   client post RECORD ADDRESS ID WAIT_MS BODY
       submits a job on a new channel and waits so long for the answer, which it prints: the
       status and the body, or "none" (no answer in time) or "broken" (the channel broke)
   client many RECORD ADDRESS ID COUNT GAP_MS WAIT_MS BODY
       so many clients, one every GAP_MS, each with a channel and a job of its own: ID and a number
   client call RECORD METHOD ADDRESS PATH [BODY]
       any other call; prints the status
   client config STORE VERSION PREFIX...
       writes the operator's configuration with these queues
   client forward LISTEN TARGET
       forwards channels; SIGUSR1 resets half of those that are open, on both sides

   RECORD gets a line when a request is sent and when its answer is there. */

#include "md-private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CHANNELS 256
#define HOST "jobs.example"

static int
connect_to (const char *address)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[MD_ADDRESS_BYTES];
  int port;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (md_address_split (md_str (address), host, &port) != MD_OK)
    return -1;
  inet_pton (AF_INET, host, &sa.sin_addr);
  sa.sin_port = htons ((uint16_t)port);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static void
note (const char *path, const char *format, ...)
{
  int fd = open (path, O_WRONLY | O_APPEND | O_CREAT, 0644);
  char line[640];
  va_list args;
  int n = snprintf (line, sizeof line, "%lld client ", (long long)md_wall_ms ());

  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, args);
  va_end (args);
  if ((size_t)n > sizeof line - 2)
    n = sizeof line - 2;
  line[n++] = '\n';
  if (write (fd, line, (size_t)n) != n)
    fprintf (stderr, "record: not written\n");
  close (fd);
}

/* Reads a whole response. Returns its status, 0 without one in time, -1 if the channel breaks. */
static int
read_response (int fd, MdTime until, MdBuf *in, char **body)
{
  for (;;)
    {
      struct pollfd pfd = { .fd = fd, .events = POLLIN };
      MdTime left = until - md_now ();
      char *end = in->data != NULL ? strstr (in->data, "\r\n\r\n") : NULL;
      char *length = in->data != NULL ? strcasestr (in->data, "\r\nContent-Length:") : NULL;
      char chunk[4096];
      ssize_t n;

      if (end != NULL && length != NULL
          && in->len >= (size_t)(end + 4 - in->data) + strtoul (length + 17, NULL, 10))
        {
          *body = end + 4;
          return atoi (in->data + 9);
        }
      if (left <= 0 || poll (&pfd, 1, (int)(left / MD_MS) + 1) == 0)
        return 0;
      n = recv (fd, chunk, sizeof chunk, 0);
      if (n <= 0)
        return -1;
      md_buf_append (in, md_str_n (chunk, (size_t)n));
    }
}

static int
call (const char *record, const char *method, const char *address, const char *path,
      const char *body, int wait_ms)
{
  MD_AUTO_BUF out = { 0 };
  MD_AUTO_BUF in = { 0 };
  char *answer = "";
  int fd = connect_to (address);
  int status = -1;

  md_buf_printf (&out,
                 "%s %s HTTP/1.1\r\nHost: " HOST "\r\nContent-Type: application/json\r\n"
                 "X-Mulberrydrift-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
                 method, path, wait_ms, strlen (body), body);
  note (record, "sends %s %s to %s: %s", method, path, address, body);
  if (fd >= 0 && send (fd, out.data, out.len, MSG_NOSIGNAL) == (ssize_t)out.len)
    status = read_response (fd, md_now () + wait_ms * MD_MS, &in, &answer);
  close (fd);
  if (status > 0)
    {
      note (record, "has for %s %s from %s: %d %s", method, path, address, status, answer);
      printf ("%d %s\n", status, answer);
      return 0;
    }
  note (record, "has for %s %s from %s: %s", method, path, address,
        status < 0 ? "the channel broke" : "no answer in time");
  puts (status < 0 ? "broken" : "none");
  return 0;
}

typedef struct
{
  char **args; /* RECORD ADDRESS ID COUNT GAP_MS WAIT_MS BODY */
  int number;
  pthread_t thread;
} Client;

static void *
run_client (void *data)
{
  Client *client = data;
  char path[160];

  snprintf (path, sizeof path, "/calc/%s%04x", client->args[2], (unsigned)client->number);
  call (client->args[0], "POST", client->args[1], path, client->args[6], atoi (client->args[5]));
  return NULL;
}

static int
call_many (char **args)
{
  int n = atoi (args[3]);
  Client *clients = calloc ((size_t)n + 1, sizeof *clients);
  struct timespec gap = { 0, atoi (args[4]) * 1000000L };

  if (clients == NULL)
    return 2;
  for (int i = 0; i < n; i++)
    {
      clients[i] = (Client){ .args = args, .number = i };
      if (pthread_create (&clients[i].thread, NULL, run_client, &clients[i]) != 0)
        return 2;
      nanosleep (&gap, NULL);
    }
  for (int i = 0; i < n; i++)
    pthread_join (clients[i].thread, NULL);
  return 0;
}

/* ------------------------------------------------------------------ */
/* Configuration                                                      */

static int
put_config (char **argv, int argc)
{
  MD_AUTO_BUF value = { 0 };
  MD_AUTO_BUF out = { 0 };
  MD_AUTO_BUF in = { 0 };
  char head[5];
  char *answer = "";
  size_t len;
  int fd = connect_to (argv[0]);

  md_buf_printf (&value, "{\"version\":%s,\"routes\":[", argv[1]);
  for (int i = 2; i < argc; i++)
    md_buf_printf (&value,
                   "%s{\"name\":\"q%d\",\"host\":\"" HOST "\",\"path_prefix\":\"%s\","
                   "\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":60,"
                   "\"priority\":1,\"service\":\"calc\",\"max_attempts\":3,\"slack_factor\":4}",
                   i > 2 ? "," : "", i, argv[i]);
  md_buf_printf (&value, "],\"services\":[{\"name\":\"calc\",\"enforces_capacity\":true,"
                         "\"standby\":false}],\"limits\":{\"max_body_bytes\":262144}}");
  len = value.len + 7;
  for (int i = 0; i < 4; i++)
    head[i] = (char)(len >> (24 - 8 * i));
  head[4] = 6;
  md_buf_printf (&out,
                 "POST /v1/log-append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: store\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 len + 4);
  md_buf_append (&out, md_str_n (head, sizeof head));
  md_buf_append (&out, MD_STR ("config"));
  md_buf_append (&out, md_buf_str (&value));
  if (fd < 0 || send (fd, out.data, out.len, MSG_NOSIGNAL) != (ssize_t)out.len)
    return 2;
  return read_response (fd, md_now () + 3 * MD_SECOND, &in, &answer) == 200 ? 0 : 2;
}

/* ------------------------------------------------------------------ */
/* Forwarder                                                          */

static volatile sig_atomic_t reset_wanted;

static void
on_reset (int number MD_UNUSED)
{
  reset_wanted = 1;
}

static void
close_pair (int pair[2], bool reset)
{
  struct linger now = { 1, 0 };

  for (int i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (pair[i], SOL_SOCKET, SO_LINGER, &now, sizeof now);
      close (pair[i]);
      pair[i] = -1;
    }
}

static bool
pass (int from, int to)
{
  char chunk[16384];
  ssize_t n = recv (from, chunk, sizeof chunk, 0);

  return n > 0 && send (to, chunk, (size_t)n, MSG_NOSIGNAL) == n;
}

static int
forward (const char *address, const char *target)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  struct sigaction action = { .sa_handler = on_reset };
  int pairs[MAX_CHANNELS][2];
  char host[MD_ADDRESS_BYTES];
  int port;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (md_address_split (md_str (address), host, &port) != MD_OK)
    return 2;
  inet_pton (AF_INET, host, &sa.sin_addr);
  sa.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0 || listen (fd, 64) != 0)
    return 2;
  sigaction (SIGUSR1, &action, NULL);
  memset (pairs, -1, sizeof pairs);
  for (;;)
    {
      struct pollfd fds[1 + 2 * MAX_CHANNELS];

      fds[0] = (struct pollfd){ .fd = fd, .events = POLLIN };
      for (int i = 0; i < 2 * MAX_CHANNELS; i++)
        fds[1 + i] = (struct pollfd){ .fd = pairs[i / 2][i % 2], .events = POLLIN };
      if (poll (fds, MD_ARRAY_SIZE (fds), 20) < 0 && errno != EINTR)
        return 2;
      for (int i = 0, open_pairs = 0; reset_wanted && i < MAX_CHANNELS; i++)
        if (pairs[i][0] >= 0 && open_pairs++ % 2 == 0)
          close_pair (pairs[i], true);
      if (reset_wanted)
        {
          reset_wanted = 0;
          continue;
        }
      for (int i = 0; i < 2 * MAX_CHANNELS; i++)
        if (fds[1 + i].fd >= 0 && fds[1 + i].revents != 0 && pairs[i / 2][0] >= 0
            && !pass (pairs[i / 2][i % 2], pairs[i / 2][1 - i % 2]))
          close_pair (pairs[i / 2], false);
      for (int i = 0; (fds[0].revents & POLLIN) && i < MAX_CHANNELS; i++)
        if (pairs[i][0] < 0)
          {
            pairs[i][0] = accept (fd, NULL, NULL);
            pairs[i][1] = connect_to (target);
            if (pairs[i][1] < 0)
              close_pair (pairs[i], true);
            break;
          }
    }
}

int
main (int argc, char **argv)
{
  char path[160];

  if (argc == 7 && strcmp (argv[1], "post") == 0)
    {
      snprintf (path, sizeof path, "/calc/%s", argv[4]);
      return call (argv[2], "POST", argv[3], path, argv[6], atoi (argv[5]));
    }
  if (argc == 9 && strcmp (argv[1], "many") == 0)
    return call_many (argv + 2);
  if ((argc == 6 || argc == 7) && strcmp (argv[1], "call") == 0)
    return call (argv[2], argv[3], argv[4], argv[5], argc == 7 ? argv[6] : "", 1000);
  if (argc >= 5 && strcmp (argv[1], "config") == 0)
    return put_config (argv + 2, argc - 2);
  if (argc == 4 && strcmp (argv[1], "forward") == 0)
    return forward (argv[2], argv[3]);
  fprintf (stderr, "usage: client post|call|config|forward ...\n");
  return 2;
}
