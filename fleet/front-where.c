/* front-where.c -- requests that ask where a job would go

   Served on metrics_address only, by the two threads of that server, so that they take no thread
   from callers. The engine answers from a trial placement. */

#include "http-server.h"
#include "run-entry.h"

#include <civetweb.h>
#include <errno.h>
#include <jansson.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define MAX_BODY (256u << 10)       /* bytes of the job */
#define MAX_PARSE_MEMORY (8u << 20) /* bytes that parsing the job may take */

static int
respond (struct mg_connection *conn, int status, MdStr body)
{
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
             "Connection: close\r\n\r\n",
             status, mg_get_response_code_text (conn, status), body.len);
  mg_write (conn, body.data, body.len);
  mg_disable_connection_keep_alive (conn);
  return status;
}

static int
respond_error (struct mg_connection *conn, int status, const char *reason)
{
  json_t *body = json_pack ("{s:s}", "error", reason);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;

  respond (conn, status, md_str (text != NULL ? text : "{}"));
  free (text);
  json_decref (body);
  return status;
}

/* A value of the query, which the caller frees; NULL if there is none, or memory is short. */
static char *
query_value (struct mg_connection *conn, const char *name)
{
  const char *query = mg_get_request_info (conn)->query_string;
  size_t len = query != NULL ? strlen (query) : 0;
  char *value = malloc (len + 1);

  if (value != NULL && (query == NULL || mg_get_var (query, len, name, value, len + 1) < 0))
    {
      free (value);
      value = NULL;
    }
  return value;
}

/* The queue that the query names, NULL if there is none. The caller owns the result. */
static MdRoute *
find_route (struct mg_connection *conn, const MdRunEntry *entry)
{
  md_autofree char *host = query_value (conn, "host");
  md_autofree char *path = query_value (conn, "path");
  const MdRoutes *routes;
  MdRoute *route = NULL;

  urcu_memb_read_lock ();
  routes = md_config_reader_routes (entry->config);
  if (routes != NULL)
    route = md_routes_find (routes, md_str (host), md_str (path));
  if (route != NULL)
    md_route_ref (route);
  urcu_memb_read_unlock ();
  return route;
}

static int
read_job (struct mg_connection *conn, MdRunSpec *spec, MdError *error)
{
  MD_AUTO_BUF body = { 0 };
  int status = md_http_read_body (conn, MAX_BODY, &body);

  if (status != 0)
    {
      md_error_set (error, MD_E_LIMIT, "job", "", "the job is longer than %u bytes or incomplete",
                    MAX_BODY);
      return status;
    }
  if (md_platform_job_memory (md_buf_str (&body)) > MAX_PARSE_MEMORY)
    {
      md_error_set (error, MD_E_LIMIT, "job", "", "the job is too large");
      return 413;
    }
  return md_platform_parse_job (md_buf_str (&body), spec, error) == MD_OK ? 0 : 400;
}

/* Has the engine answer. The eventfd is closed only after the engine's last access to it. */
static int
ask_engine (struct mg_connection *conn, MdRunEntry *entry, MdCallerRequest *request)
{
  uint64_t count;
  int status;

  request->event = eventfd (0, EFD_CLOEXEC);
  if (request->event < 0)
    {
      md_run_spec_clear (&request->spec);
      return respond_error (conn, 503, "cannot create an eventfd");
    }
  md_inbox_push (&entry->inbox, &request->node);
  md_links_wake (entry->daemon.links);
  while (read (request->event, &count, sizeof count) < 0 && errno == EINTR)
    ;
  close (request->event);
  status = request->status;
  respond (conn, status, md_buf_str (&request->body));
  md_buf_clear (&request->body);
  return status;
}

static int
handle (struct mg_connection *conn, MdRunEntry *entry)
{
  MdCallerRequest request = { .kind = MD_CALLER_REQUEST_WHERE, .arrived = md_now (), .socket = -1 };
  MD_AUTO_ROUTE *route = NULL;
  md_autofree char *timeout = NULL;
  MdError error = { 0 };
  long ms;
  int status;

  if (strcmp (mg_get_request_info (conn)->request_method, "POST") != 0)
    return respond_error (conn, 405, "POST the job");
  status = read_job (conn, &request.spec, &error);
  if (status != 0)
    return respond_error (conn, status, error.detail);
  if (!atomic_load (&entry->closed))
    request.route = route = find_route (conn, entry);
  if (route == NULL)
    {
      md_run_spec_clear (&request.spec);
      if (atomic_load (&entry->closed))
        return respond_error (conn, 503, "the entry is shutting down");
      if (!md_config_reader_loaded (entry->config))
        return respond_error (conn, 503, "no configuration has been read yet");
      return respond_error (conn, 404, "the configuration has no queue for this host and path");
    }
  timeout = query_value (conn, "timeout_ms");
  ms = timeout != NULL ? strtol (timeout, NULL, 10) : 0;
  if (ms > 0)
    request.response_timeout
        = ms < MD_JSON_MAX_DURATION / MD_MS ? ms * MD_MS : MD_JSON_MAX_DURATION;
  return ask_engine (conn, entry, &request);
}

int
md_front_where (struct mg_connection *conn, MdRunEntry *entry)
{
  int status;

  atomic_fetch_add (&entry->active_requests, 1);
  status = handle (conn, entry);
  atomic_fetch_sub (&entry->active_requests, 1);
  return status;
}
