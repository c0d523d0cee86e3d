/* operator.c -- HTTP server on the operator address

   CivetWeb dedicates a thread to each connection until it closes. Connections are
   therefore not kept alive, and the two kinds of requests that occupy a thread for
   long, watches and changes that wait for the log, are limited so that their sum is
   below the number of threads. The state can thus be read while the log is down and
   all watches are in use. */

#include "http-client.h"
#include "operator-private.h"
#include "process.h"

#include <stdio.h>
#include <time.h>

#define REQUEST_TIMEOUT_MS "5000" /* for the rest of a request and for each stalled write */
#define RESERVED_THREADS 2        /* not used by watches or changes */

static void
format_date (char out[40])
{
  time_t now = time (NULL);
  struct tm tm;

  gmtime_r (&now, &tm);
  strftime (out, 40, "%a, %d %b %Y %H:%M:%S GMT", &tm);
}

int
operator_respond (struct mg_connection *conn, int status, const char *type, const char *headers,
                  MdStr body)
{
  const char *method = mg_get_request_info (conn)->request_method;
  MD_AUTO_BUF out = { 0 };
  char date[40];

  format_date (date);
  md_buf_printf (&out,
                 "HTTP/1.1 %d %s\r\nDate: %s\r\nConnection: close\r\nCache-Control: no-store\r\n"
                 "Content-Type: %s\r\nContent-Length: %zu\r\n%s\r\n",
                 status, mg_get_response_code_text (conn, status), date, type, body.len, headers);
  if (method == NULL || strcmp (method, "HEAD") != 0)
    md_buf_append (&out, body);
  if (out.failed || mg_write (conn, out.data, out.len) < 0)
    mg_disable_connection_keep_alive (conn);
  return status;
}

int
operator_problem (struct mg_connection *conn, int status, const char *headers, const char *members,
                  const char *detail)
{
  MD_AUTO_BUF body = { 0 };

  md_buf_printf (&body, "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,\"detail\":",
                 mg_get_response_code_text (conn, status), status);
  md_buf_json_string (&body, md_str (detail));
  md_buf_printf (&body, "%s}", members);
  return operator_respond (conn, status, "application/problem+json", headers, md_buf_str (&body));
}

int
operator_not_ready (struct mg_connection *conn)
{
  return operator_problem (conn, 503, "Retry-After: 5\r\n", ",\"outcome\":\"not_run\"",
                           "this entry has not read the configuration yet");
}

bool
operator_acquire (_Atomic unsigned *count, unsigned max)
{
  unsigned now = atomic_load (count);

  while (now < max)
    {
      if (atomic_compare_exchange_weak (count, &now, now + 1))
        return true;
    }
  return false;
}

void
operator_release (_Atomic unsigned *count)
{
  atomic_fetch_sub (count, 1);
}

const MdToken *
operator_authenticate (MdOperator *server, struct mg_connection *conn, int *status)
{
  const char *header = mg_get_header (conn, "Authorization");
  const MdToken *token = NULL;

  if (header != NULL && strncasecmp (header, "Bearer ", 7) == 0)
    token = md_settings_find_token (server->settings, md_str (header + 7));
  if (token == NULL)
    *status = operator_problem (conn, 401, "WWW-Authenticate: Bearer\r\n", "",
                                "a valid bearer token is needed");
  return token;
}

static int
handle_metrics (struct mg_connection *conn, void *data)
{
  MdOperator *server = data;
  const char *method = mg_get_request_info (conn)->request_method;
  MD_AUTO_BUF body = { 0 };
  int status = 0;
  const MdToken *token = operator_authenticate (server, conn, &status);

  if (token == NULL)
    return status;
  if (!token->is_operator)
    return operator_problem (conn, 403, "", "", "only operators may read metrics");
  if (strcmp (method, "GET") != 0 && strcmp (method, "HEAD") != 0)
    return operator_problem (conn, 405, "Allow: GET, HEAD\r\n", "", "metrics are read-only");
  md_gauge (MD_M_CONFIG_AGE, md_store_age_ms (server->store));
  md_metrics_write (&body);
  return operator_respond (conn, 200, "text/plain; version=0.0.4", "", md_buf_str (&body));
}

static int
handle_unknown_path (struct mg_connection *conn, void *data MD_UNUSED)
{
  return operator_problem (conn, 404, "", "", "no such path");
}

/* Responds to errors that CivetWeb detects, such as a malformed request line. */
static int
on_http_error (struct mg_connection *conn, int status, const char *message)
{
  operator_problem (conn, status, "", "", message ? message : "bad request");
  return 0;
}

/* Logs at debug level and returns 1, so that CivetWeb does not write the message. */
static int
log_civetweb_message (const struct mg_connection *conn MD_UNUSED, const char *message)
{
  char text[160];

  md_log (MD_LOG_DEBUG, "http", "message=%s", md_log_quote (md_str (message), text, sizeof text));
  return 1;
}

static void *
init_thread (const struct mg_context *ctx MD_UNUSED, int type MD_UNUSED)
{
  md_fatal_signals_prepare_thread ();
  return NULL;
}

static struct mg_context *
start_server (MdOperator *server, unsigned threads)
{
  char count[16];
  const char *options[] = { "listening_ports",
                            server->settings->operator_address,
                            "num_threads",
                            count,
                            "access_control_allow_origin",
                            "",
                            "enable_keep_alive",
                            "no",
                            "request_timeout_ms",
                            REQUEST_TIMEOUT_MS,
                            "tcp_nodelay",
                            "1",
                            "enable_directory_listing",
                            "no",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *ctx;

  snprintf (count, sizeof count, "%u", threads);
  callbacks.init_thread = init_thread;
  callbacks.http_error = on_http_error;
  callbacks.log_message = log_civetweb_message;
  md_http_init ();
  ctx = mg_start (&callbacks, server, options);
  if (ctx == NULL)
    return NULL;
  mg_set_request_handler (ctx, "/v1/resources/**", operator_resources, server);
  mg_set_request_handler (ctx, "/metrics$", handle_metrics, server);
  mg_set_request_handler (ctx, "/**", handle_unknown_path, server);
  return ctx;
}

MdOperator *
md_operator_start (const MdSettings *settings, MdStore *store, MdObserved *observed, MdError *error)
{
  MdOperator *server = calloc (1, sizeof *server);
  unsigned n = settings->operator_threads;
  struct mg_server_port ports[1];

  if (server == NULL)
    {
      md_error_set (error, MD_E_MEMORY, "listen-operators", settings->operator_address,
                    "out of memory");
      return NULL;
    }
  server->settings = settings;
  server->store = store;
  server->observed = observed;
  server->max_watches = n / 2 > 0 ? n / 2 : 1;
  server->max_changes = n / 4 > 0 ? n / 4 : 1;
  if (n < server->max_watches + server->max_changes + RESERVED_THREADS)
    n = server->max_watches + server->max_changes + RESERVED_THREADS;
  server->ctx = start_server (server, n);
  if (server->ctx == NULL)
    {
      md_error_set (error, MD_E_IO, "listen-operators", settings->operator_address,
                    "the HTTP server cannot start");
      free (server);
      return NULL;
    }
  if (mg_get_server_ports (server->ctx, 1, ports) == 1)
    md_log (MD_LOG_INFO, "operator-listening",
            "address=%s port=%d threads=%u watches=%u changes=%u", settings->operator_address,
            ports[0].port, n, server->max_watches, server->max_changes);
  return server;
}

void
md_operator_end_watches (MdOperator *server, MdTime timeout)
{
  MdTime deadline = md_now () + timeout;

  atomic_store (&server->stopping, true);
  while (atomic_load (&server->watches) > 0 && md_now () < deadline)
    {
      struct timespec pause = { 0, 5 * 1000 * 1000 };

      nanosleep (&pause, NULL);
    }
}

void
md_operator_stop (MdOperator *server)
{
  if (server == NULL)
    return;
  atomic_store (&server->stopping, true);
  mg_stop (server->ctx);
  free (server);
}
