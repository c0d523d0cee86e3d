/* metrics-server.c -- the HTTP server on metrics_address

   Nobody's job depends on it, so a port that is busy never ends the process or delays its start;
   the server is tried again while the process runs. */

#include "daemon.h"
#include "listen.h"

#include <civetweb.h>

#define RETRY_INTERVAL MD_SECOND

/* Logs each reason once. */
static void
note_failure (MdMetricsServer *server, int reason, const MdError *error)
{
  if (reason == server->logged)
    return;
  server->logged = reason;
  md_log (MD_LOG_WARN, "metrics-unavailable", "address=%s errno=%d reason=\"%s\"", server->address,
          reason > 0 ? reason : 0, error->detail);
}

MdTime
md_metrics_server_poll (MdMetricsServer *server, MdTime now)
{
  MdPort port = { "listen-metrics", server->address };
  MdError error = { 0 };
  int reason;

  if (server->server != NULL || server->address[0] == '\0')
    return INT64_MAX;
  if (now < server->due)
    return server->due;
  server->due = now + RETRY_INTERVAL;
  if (md_port_check (&port, &reason, &error) != MD_OK)
    {
      note_failure (server, reason, &error);
      return server->due;
    }
  server->server = server->start (server->user, server->address, &error);
  if (server->server == NULL)
    {
      note_failure (server, -1, &error);
      return server->due;
    }
  if (server->logged != 0)
    md_log (MD_LOG_INFO, "metrics-available", "address=%s", server->address);
  return INT64_MAX;
}
