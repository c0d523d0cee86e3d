/* server-util.c -- HTTP server of a stand-in */

#include "server.h"

#include <stddef.h>

struct mg_context *
start_server (const char *address, const char *threads, mg_request_handler handle,
              mg_request_handler control)
{
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            threads,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "30000",
                            "tcp_nodelay",
                            "1",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *server = mg_start (&callbacks, NULL, options);

  if (server == NULL)
    return NULL;
  mg_set_request_handler (server, "/v1/", handle, NULL);
  mg_set_request_handler (server, "/control", control, NULL);
  return server;
}
