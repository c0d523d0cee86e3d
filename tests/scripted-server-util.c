/* scripted-server-util.c -- HTTP server whose responses are chosen by a test */

#define _GNU_SOURCE /* strcasestr */

#include "scripted-server.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 8192

const char scripted_silence[] = "silence";

typedef struct
{
  ScriptedServer *server;
  int i;  /* index in the server's arrays */
  int fd; /* socket */
} Connection;

static size_t
body_length (const char *head)
{
  const char *header = strcasestr (head, "\r\nContent-Length:");

  return header != NULL ? strtoul (header + strlen ("\r\nContent-Length:"), NULL, 10) : 0;
}

/* Reads a request with its body; false at the end of the connection. */
static bool
read_request (int fd, char request[REQUEST_BYTES])
{
  size_t len = 0;
  size_t end = 0; /* of the request; 0 while its head is incomplete */

  while (len < REQUEST_BYTES - 1 && recv (fd, request + len, 1, 0) == 1)
    {
      request[++len] = '\0';
      if (end == 0 && len >= 4 && memcmp (request + len - 4, "\r\n\r\n", 4) == 0)
        end = len + body_length (request);
      if (len == end)
        return true;
    }
  return false;
}

static const char *
choose_response (ScriptedServer *server, int number, const char *request)
{
  const char *response;

  pthread_mutex_lock (&server->lock);
  server->requests++;
  response = server->respond (server->user, number, request);
  pthread_mutex_unlock (&server->lock);
  return response;
}

/* reset: the client receives a reset instead of an orderly end of the connection. */
static void
close_connection (Connection *connection, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  pthread_mutex_lock (&connection->server->lock);
  connection->server->connection[connection->i] = -1;
  close (connection->fd);
  pthread_mutex_unlock (&connection->server->lock);
}

static void *
serve (void *data)
{
  md_autofree Connection *connection = data;
  char request[REQUEST_BYTES];
  const char *response = "";

  for (int number = 0; read_request (connection->fd, request); number++)
    {
      response = choose_response (connection->server, number, request);
      if (response == scripted_silence)
        continue;
      if (response == NULL || *response == '\0'
          || send (connection->fd, response, strlen (response), MSG_NOSIGNAL) < 0)
        break;
    }
  close_connection (connection, response == NULL);
  return NULL;
}

static void *
accept_connections (void *data)
{
  ScriptedServer *server = data;
  int fd;

  while (server->n < SCRIPTED_MAX_CONNECTIONS && (fd = accept (server->listener, NULL, NULL)) >= 0)
    {
      Connection *connection = malloc (sizeof *connection);

      *connection = (Connection){ .server = server, .i = server->n, .fd = fd };
      server->connection[server->n] = fd;
      pthread_create (&server->connection_thread[server->n++], NULL, serve, connection);
    }
  return NULL;
}

void
scripted_server_start (ScriptedServer *server, ScriptedRespond *respond, void *user)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t len = sizeof sa;

  memset (server, 0, sizeof *server);
  server->respond = respond;
  server->user = user;
  pthread_mutex_init (&server->lock, NULL);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (server->listener, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (server->listener, 16), 0);
  ck_assert_int_eq (getsockname (server->listener, (struct sockaddr *)&sa, &len), 0);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%d", ntohs (sa.sin_port));
  ck_assert_int_eq (pthread_create (&server->acceptor, NULL, accept_connections, server), 0);
}

void
scripted_server_stop (ScriptedServer *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->acceptor, NULL);
  for (int i = 0; i < server->n; i++)
    {
      pthread_mutex_lock (&server->lock);
      if (server->connection[i] >= 0)
        shutdown (server->connection[i], SHUT_RDWR);
      pthread_mutex_unlock (&server->lock);
      pthread_join (server->connection_thread[i], NULL);
    }
  close (server->listener);
}
