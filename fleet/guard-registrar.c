/* guard-registrar.c -- the HTTP server to which the worker reports

   The worker beside the guard sends a report of its state every second or two. The handler,
   which runs in a thread of CivetWeb, checks a report and queues it for the engine thread
   before it acknowledges it. Metrics have a server of their own (metrics-server.c) and are
   served here as well. */

#include "http-server.h"
#include "process.h"
#include "run-guard.h"

#include <civetweb.h>

#define JSON_TYPE "application/json"
#define REPORT_MAX_BYTES (64u << 10) /* of a report; the rest is not read */

struct MdRegistrarServer
{
  MdInbox *inbox;            /* inbox of the engine thread */
  MdLinks *links;            /* woken after each event */
  struct mg_context *server; /* listening CivetWeb server; owned */
};

static int
respond (struct mg_connection *conn, int status, const char *type, const char *body)
{
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "Connection: keep-alive\r\n\r\n%s",
             status, mg_get_response_code_text (conn, status), type, strlen (body), body);
  return status;
}

/* Moves the event to the inbox of the engine thread, which frees it. */
static void
queue_event (MdRegistrarServer *server, MdWorkerEvent *event)
{
  MdWorkerEvent *copy = malloc (sizeof *copy);

  if (copy == NULL)
    {
      md_log (MD_LOG_ERROR, "worker-report-lost", "worker=%s reason=\"out of memory\"",
              md_traits_name (event->report.traits).data);
      md_worker_report_clear (&event->report);
      return;
    }
  *copy = *event; /* with its owner of the traits */
  md_inbox_push (server->inbox, &copy->node);
  md_links_wake (server->links);
}

/* Handles a report (PUT) and a deregistration (DELETE) of a worker. */
static int
handle_registration (struct mg_connection *conn, void *user)
{
  MdRegistrarServer *server = user;
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *id = info->local_uri + strlen (MD_PLATFORM_WORKER_PREFIX);
  MdWorkerEvent event = { 0 };
  MdError error = { 0 };
  MD_AUTO_BUF body = { 0 };
  char chunk[4096];
  char quoted[MD_NAME_BYTES];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0 && body.len <= REPORT_MAX_BYTES)
    md_buf_append (&body, md_str_n (chunk, (size_t)n));
  if (strlen (info->local_uri) <= strlen (MD_PLATFORM_WORKER_PREFIX))
    return respond (conn, 404, JSON_TYPE, "{}");
  event.deregistered = strcmp (info->request_method, "DELETE") == 0;
  if (!event.deregistered && strcmp (info->request_method, "PUT") != 0)
    return respond (conn, 405, JSON_TYPE, "{}");
  if (!event.deregistered
      && md_platform_parse_worker_report (md_buf_str (&body), md_str (id), &event.report, &error)
             != MD_OK)
    {
      md_log (MD_LOG_WARN, "worker-report-ignored", "worker=%s reason=\"%s\"",
              md_log_quote (md_str (id), quoted, sizeof quoted), error.detail);
      md_count (MD_M_REPORTS_REFUSED, 1);
      return respond (conn, 400, JSON_TYPE, "{}");
    }
  if (event.deregistered)
    event.report.traits = md_traits_new (md_str (id), MD_STR (""), NULL, 0);
  if (event.report.traits == NULL)
    return respond (conn, 503, JSON_TYPE, "{}");
  queue_event (server, &event);
  return respond (conn, 200, JSON_TYPE, "{}");
}

static int
handle_metrics (struct mg_connection *conn, void *user MD_UNUSED)
{
  MD_AUTO_BUF text = { 0 };

  md_metrics_update_process ();
  md_metrics_write (&text);
  return respond (conn, 200, "text/plain; version=0.0.4", text.data != NULL ? text.data : "");
}

static void *
init_thread (const struct mg_context *ctx MD_UNUSED, int type MD_UNUSED)
{
  md_fatal_signals_prepare_thread ();
  return NULL;
}

static struct mg_context *
start_server (MdRegistrarServer *server, const char *step, const char *address, const char *threads,
              MdError *error)
{
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            threads,
                            "access_control_allow_origin",
                            "",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "30000",
                            "tcp_nodelay",
                            "1",
                            NULL };
  struct mg_callbacks callbacks = { .init_thread = init_thread, .http_error = md_http_error };
  struct mg_context *context = mg_start (&callbacks, server, options);

  if (context == NULL)
    md_error_set (error, MD_E_IO, step, address, "the HTTP server cannot start");
  else
    mg_set_request_handler (context, MD_METRICS_PATH, handle_metrics, server);
  return context;
}

MdRegistrarServer *
md_registrar_server_start (const MdSettings *settings, MdInbox *inbox, MdLinks *links,
                           MdError *error)
{
  MdRegistrarServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      md_error_set (error, MD_E_MEMORY, "start", "", "out of memory");
      return NULL;
    }
  server->inbox = inbox;
  server->links = links;
  server->server
      = start_server (server, "listen-registration", settings->register_address, "4", error);
  if (server->server == NULL)
    {
      free (server);
      return NULL;
    }
  mg_set_request_handler (server->server, MD_PLATFORM_WORKER_PREFIX "*", handle_registration,
                          server);
  return server;
}

struct mg_context *
md_registrar_start_metrics (void *user, const char *address, MdError *error)
{
  return start_server (user, "listen-metrics", address, "2", error);
}
