/* scripted-server.h -- HTTP server whose responses are chosen by a test

   The server listens on a free port of the loopback interface. It can break a connection after it
   has read a request, which leaves the client without a response. */

#ifndef MD_TEST_SCRIPTED_SERVER_H
#define MD_TEST_SCRIPTED_SERVER_H

#include "md-private.h"

#include <pthread.h>

#define SCRIPTED_MAX_CONNECTIONS 64 /* in the life of a server */

/* Chooses the response to a request by its number on its connection, from 0, and its text, head
   and body. Returns the whole response, "" to close the connection, NULL to reset it, or
   scripted_silence to leave the request without an answer on an open connection. Calls are
   serialized, but do not come from the thread of the test. */
extern const char scripted_silence[];
typedef const char *ScriptedRespond (void *user, int number, const char *request);

typedef struct
{
  int listener;                   /* socket */
  char address[MD_ADDRESS_BYTES]; /* of listener */
  ScriptedRespond *respond;
  void *user;           /* first argument of respond */
  _Atomic int requests; /* read so far */
  pthread_mutex_t lock; /* held while respond runs, and for connection */
  pthread_t acceptor;   /* thread that accepts connections */
  int n;                /* connections accepted; used by the acceptor, and after its end */
  int connection[SCRIPTED_MAX_CONNECTIONS];              /* their sockets, -1 when closed */
  pthread_t connection_thread[SCRIPTED_MAX_CONNECTIONS]; /* their threads */
} ScriptedServer;

/* scripted_server_start: listen and serve until scripted_server_stop. */
void scripted_server_start (ScriptedServer *server, ScriptedRespond *respond, void *user);

/* scripted_server_stop: close all connections and end the threads. */
void scripted_server_stop (ScriptedServer *server);

#endif
