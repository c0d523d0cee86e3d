/* http.c -- a server with a thread for each connection, and a client */

#define _GNU_SOURCE

#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_REQUEST (4 << 20)

typedef struct
{
  int fd;
  Handler handler;
} Connection;

int64_t
steady_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * INT64_C (1000) + t.tv_nsec / 1000000;
}

int64_t
unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return t.tv_sec * INT64_C (1000) + t.tv_nsec / 1000000;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[64] = "";
  int port = 0;

  if (sscanf (text, "%63[^:]:%d", host, &port) != 2
      || inet_pton (AF_INET, host, &address.sin_addr) != 1)
    {
      fprintf (stderr, "not an address: %s\n", text);
      exit (2);
    }
  address.sin_port = htons ((uint16_t)port);
  return address;
}

/* Reads until the buffer has a whole request; returns its size, 0 at the end of the connection. */
static size_t
read_message (int fd, char *buf, size_t *have, size_t *head)
{
  for (;;)
    {
      char *end;
      ssize_t n;

      buf[*have] = '\0';
      end = strstr (buf, "\r\n\r\n");
      if (end != NULL)
        {
          const char *length = strcasestr (buf, "\r\ncontent-length:");
          size_t body = length != NULL && length < end ? strtoul (length + 17, NULL, 10) : 0;

          *head = (size_t)(end - buf) + 4;
          if (*have >= *head + body)
            return *head + body;
        }
      if (*have == MAX_REQUEST)
        return 0;
      n = recv (fd, buf + *have, MAX_REQUEST - *have, 0);
      if (n <= 0)
        return 0;
      *have += (size_t)n;
    }
}

static void
parse_request (char *buf, size_t head, size_t size, Request *request)
{
  char target[768] = "";
  const char *instance;
  char *mark;

  memset (request, 0, sizeof *request);
  sscanf (buf, "%7s %767s", request->method, target);
  mark = strchr (target, '?');
  if (mark != NULL)
    {
      snprintf (request->query, sizeof request->query, "%s", mark + 1);
      *mark = '\0';
    }
  snprintf (request->path, sizeof request->path, "%.255s", target);
  instance = strcasestr (buf, "\r\nx-mulberrydrift-expect-instance:");
  if (instance != NULL && instance < buf + head)
    sscanf (instance + 34, " %79[^\r\n]", request->instance);
  request->body = buf + head;
  request->len = size - head;
}

static void *
serve_connection (void *data)
{
  Connection connection = *(Connection *)data;
  char *buf = malloc (MAX_REQUEST + 1);
  size_t have = 0;
  size_t head;
  size_t size;
  int on = 1;

  free (data);
  setsockopt (connection.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (buf != NULL && (size = read_message (connection.fd, buf, &have, &head)) > 0)
    {
      Request request;

      parse_request (buf, head, size, &request);
      connection.handler (connection.fd, &request);
      memmove (buf, buf + size, have - size);
      have -= size;
    }
  free (buf);
  close (connection.fd);
  return NULL;
}

void
serve (const char *address, Handler handler)
{
  struct sockaddr_in sa = parse_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  signal (SIGPIPE, SIG_IGN);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0 || listen (fd, 256) != 0)
    {
      fprintf (stderr, "cannot listen on %s: %s\n", address, strerror (errno));
      exit (2);
    }
  for (;;)
    {
      Connection *connection = malloc (sizeof *connection);
      pthread_t thread;

      connection->handler = handler;
      connection->fd = accept (fd, NULL, NULL);
      if (connection->fd < 0
          || pthread_create (&thread, NULL, serve_connection, connection) != 0)
        {
          free (connection);
          continue;
        }
      pthread_detach (thread);
    }
}

static void
send_all (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      bytes += n;
      len -= (size_t)n;
    }
}

void
respond (int fd, int status, const char *type, const void *body, size_t len)
{
  char *out = malloc (len + 256);
  int n = snprintf (out, 256,
                    "HTTP/1.1 %d Status\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", status,
                    type, len);

  memcpy (out + n, body, len);
  send_all (fd, out, (size_t)n + len);
  free (out);
}

void
query_value (const Request *request, const char *name, char *out, size_t size)
{
  const char *at = request->query;
  size_t len = strlen (name);

  out[0] = '\0';
  for (; at != NULL && *at != '\0'; at = strchr (at, '&') != NULL ? strchr (at, '&') + 1 : NULL)
    if (strncmp (at, name, len) == 0 && at[len] == '=')
      {
        snprintf (out, size, "%.*s", (int)strcspn (at + len + 1, "&"), at + len + 1);
        return;
      }
}

static int
dial (const char *address, int timeout_ms)
{
  struct sockaddr_in sa = parse_address (address);
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  close (fd);
  return -1;
}

int
call (const char *address, const char *method, const char *path, const char *headers,
      const void *body, size_t len, int timeout_ms, char **answer)
{
  int64_t until = steady_ms () + timeout_ms;
  int fd = dial (address, timeout_ms);
  char *buf = malloc (MAX_REQUEST + 1);
  char *out = malloc (len + 2048);
  size_t have = 0;
  size_t head = 0;
  int status = 0;
  int n = snprintf (out, 2048, "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n", method, path,
                    headers, len);

  *answer = NULL;
  if (len > 0)
    memcpy (out + n, body, len);
  if (fd >= 0)
    send_all (fd, out, (size_t)n + len);
  while (fd >= 0 && steady_ms () < until)
    {
      int left = (int)(until - steady_ms ()) + 1;
      struct timeval limit = { left / 1000, left % 1000 * 1000 };
      ssize_t got;
      char *end;

      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      got = recv (fd, buf + have, MAX_REQUEST - have, 0);
      if (got <= 0)
        break;
      have += (size_t)got;
      buf[have] = '\0';
      end = strstr (buf, "\r\n\r\n");
      if (end != NULL)
        {
          const char *length = strcasestr (buf, "\r\ncontent-length:");
          size_t size = length != NULL && length < end ? strtoul (length + 17, NULL, 10) : 0;

          head = (size_t)(end - buf) + 4;
          if (have < head + size)
            continue;
          status = atoi (buf + 9);
          *answer = strndup (buf + head, size);
          break;
        }
    }
  if (fd >= 0)
    close (fd);
  free (buf);
  free (out);
  return status;
}
