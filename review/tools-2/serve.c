/* serve.c -- see serve.h */

#define _GNU_SOURCE

#include "serve.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_REQUEST ((size_t)4 << 20)

static bool (*handle) (const Request *request);

int64_t
milliseconds (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32] = "";
  int port = 0;

  sscanf (text, "%31[^:]:%d", ip, &port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

bool
send_all (int fd, const char *text, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, text, len, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      text += n;
      len -= (size_t)n;
    }
  return true;
}

const char *
find_header (const char *head, const char *name)
{
  size_t len = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, len) == 0 && line[len] == ':')
        return line + len + 1 + strspn (line + len + 1, " ");
    }
  return NULL;
}

bool
find_parameter (const Request *request, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);

  for (const char *p = request->query; *p != '\0'; p += *p == '&')
    {
      size_t n = strcspn (p, "&");

      if (n > len && strncmp (p, name, len) == 0 && p[len] == '=')
        {
          snprintf (out, size, "%.*s", (int)(n - len - 1), p + len + 1);
          return true;
        }
      p += n;
    }
  return false;
}

bool
respond (const Request *request, int status, const char *type, const char *body, size_t len)
{
  char head[160];

  snprintf (head, sizeof head, "HTTP/1.1 %d -\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
            status, type, len);
  return send_all (request->fd, head, strlen (head)) && send_all (request->fd, body, len);
}

/* Handles the first request of the buffer if it is whole; returns its length, 0 if it is not, -1 to
   close the connection. */
static ssize_t
handle_first (int fd, char *buf, size_t len)
{
  char *end = strstr (buf, "\r\n\r\n");
  Request request = { .fd = fd };
  const char *value;
  char target[768] = "";
  char *query;
  size_t head;

  if (end == NULL)
    return 0;
  head = (size_t)(end - buf) + 4;
  value = find_header (buf, "Content-Length");
  request.body_len = value != NULL ? strtoul (value, NULL, 10) : 0;
  if (len < head + request.body_len)
    return head + request.body_len > MAX_REQUEST ? -1 : 0;
  end[2] = '\0';
  sscanf (buf, "%7s %767s", request.method, target);
  query = strchr (target, '?');
  if (query != NULL)
    {
      *query = '\0';
      snprintf (request.query, sizeof request.query, "%.511s", query + 1);
    }
  snprintf (request.path, sizeof request.path, "%.255s", target);
  request.head = buf;
  request.body = buf + head;
  return handle (&request) ? (ssize_t)(head + request.body_len) : -1;
}

static void *
serve_connection (void *data)
{
  int fd = (int)(intptr_t)data;
  char *buf = malloc (MAX_REQUEST + 1);
  size_t len = 0;
  ssize_t used = 0;

  while (buf != NULL && used >= 0)
    {
      ssize_t n = recv (fd, buf + len, MAX_REQUEST - len, 0);

      if (n <= 0)
        break;
      len += (size_t)n;
      buf[len] = '\0';
      while (len > 0 && (used = handle_first (fd, buf, len)) > 0)
        {
          len -= (size_t)used;
          memmove (buf, buf + used, len + 1);
        }
    }
  close (fd);
  free (buf);
  return NULL;
}

static void *
accept_connections (void *data)
{
  int listener = (int)(intptr_t)data;
  int on = 1;

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)fd) == 0)
        pthread_detach (thread);
      else
        close (fd);
    }
  return NULL;
}

int
serve (const char *at, bool (*handler) (const Request *request))
{
  struct sockaddr_in address = parse_address (at);
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  pthread_t thread;

  signal (SIGPIPE, SIG_IGN);
  handle = handler;
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 256) != 0
      || pthread_create (&thread, NULL, accept_connections, (void *)(intptr_t)listener) != 0)
    {
      perror ("listen");
      return -1;
    }
  return 0;
}
