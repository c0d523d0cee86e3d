/* front.c -- HTTP servers for callers, readiness probes and metrics

   Each connection is served by one CivetWeb thread. The thread reads and checks a
   request, posts it to the engine and waits until the engine answers or the caller
   disconnects. Probes and metrics have separate servers, so that they are served even
   when all threads for callers are busy, and an entry serves without its metrics. */

#define _GNU_SOURCE /* POLLRDHUP */

#include "connection-socket.h"
#include "host-limits.h"
#include "http-server.h"
#include "memory-budget.h"
#include "process.h"
#include "run-entry.h"
#include "startup.h"

#include <civetweb.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define RETRY_AFTER_NO_CONFIG (1 * MD_SECOND) /* Retry-After while the configuration is not known */
#define RETRY_AFTER_LATE (1 * MD_SECOND)      /* Retry-After while the entry is late */
#define DEFAULT_MAX_BODY (256u << 10)         /* bytes, if the configuration states no limit */

#define BODY_MEMORY (24u << 20)  /* bytes, of larger bodies; small entries may use 120 MB in all */
#define PARSE_MEMORY (16u << 20) /* bytes, of bodies that are being parsed */
#define PARSE_WAIT (1 * MD_SECOND)   /* for others to be parsed, which takes milliseconds */
#define RETRY_AFTER_MEMORY MD_SECOND /* Retry-After while memory is short */

#define SUBMISSION_SLOTS 4096u /* many more than there are threads */

struct MdFront
{
  MdRunEntry *entry;               /* the engine, borrowed */
  struct mg_context *callers;      /* server for callers */
  struct mg_context *probes;       /* server for readiness probes; metrics as well */
  atomic_bool keep_alive_disabled; /* each response closes its connection */
  atomic_bool stopping;            /* the engine answers no more requests */
  atomic_int connections;          /* open connections of all servers */
  atomic_int threads;              /* threads of the server for callers */
  MdMemoryBudget body_memory;      /* of bodies that are being read or parsed */
  MdMemoryBudget parse_memory;     /* of parsed bodies that are being decoded */
  /* Jobs that have been posted to the engine and not answered, by a hash of their IDs. */
  atomic_uint submissions[SUBMISSION_SLOTS];
};

/* HTTP request being handled by the current thread. */
typedef struct
{
  MdFront *front;                     /* borrowed */
  struct mg_connection *conn;         /* borrowed from CivetWeb */
  const struct mg_request_info *info; /* of conn, borrowed */
  MdTime arrived;                     /* when CivetWeb had read the header */
  bool has_job;                       /* the path names a job */
  bool counted;                       /* it is one of the submissions of that job */
  bool known_only;                    /* the engine may not begin the job */
  bool declined;                      /* the engine has not handed the job over */
  uint64_t job;                       /* hash of the job's ID */
} Request;

static __thread int thread_event = -1; /* eventfd that wakes this thread, -1: not created yet */

/* ------------------------------------------------------------------ */
/* Jobs that may have run                                             */

/* Posted or about to be, of the job of the request. */
static atomic_uint *
submissions_of (const Request *request)
{
  return &request->front->submissions[request->job % SUBMISSION_SLOTS];
}

/* Whether another request of the same job is being handled, or the job has ended here within the
   time in which its caller may repeat it. Such a request may have come while the body of this one
   was read, or while this one waited for memory. It is counted until its job is among the recent
   ones, so that these are looked at last. */
static bool
may_have_run (const Request *request)
{
  return request->has_job
         && (atomic_load (submissions_of (request)) > (request->counted ? 1 : 0)
             || md_recent_jobs_find (&request->front->entry->recent_jobs, request->job, md_now ()));
}

/* Sets the job to the last segment of the path. */
static void
set_job (Request *request, const char *path)
{
  const char *slash = strrchr (path, '/');
  const char *id = slash != NULL ? slash + 1 : path;

  request->has_job = md_entry_is_job_id (id);
  request->job = md_entry_hash_id (id);
}

/* ------------------------------------------------------------------ */
/* Responses                                                          */

/* An idle connection occupies a thread. When more than three quarters of the threads are in
   use, connections are closed after their response, so that new ones do not have to wait for
   a thread. */
static bool
should_close (const MdFront *front)
{
  return atomic_load (&front->keep_alive_disabled)
         || atomic_load (&front->connections) * 4 > atomic_load (&front->threads) * 3;
}

static int
respond (const Request *request, int status, MdStr body, MdTime retry_after)
{
  MD_AUTO_BUF out = { 0 };
  bool closing = should_close (request->front);
  char extra[64] = "";

  if (retry_after > 0)
    snprintf (extra, sizeof extra, "Retry-After: %lld\r\n",
              (long long)((retry_after + MD_SECOND - 1) / MD_SECOND));
  if (closing)
    mg_disable_connection_keep_alive (request->conn);
  md_buf_printf (&out,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
                 "%sConnection: %s\r\n\r\n",
                 status, mg_get_response_code_text (request->conn, status), body.len, extra,
                 closing ? "close" : "keep-alive");
  md_buf_append (&out, body);
  if (out.failed || mg_write (request->conn, out.data, out.len) < (int)out.len)
    {
      md_log (MD_LOG_WARN, "response-lost", "path=%s status=%d", request->info->local_uri, status);
      mg_disable_connection_keep_alive (request->conn);
    }
  return status;
}

/* Rejects a request that has not been posted to the engine, so nothing of it has run. An earlier
   request of its job may have; then "not run" would be false, and so would be a status that says
   it. fields: further ones for the log, with a space before each. */
static int
reject_with (const Request *request, int status, const char *reason, MdTime retry_after,
             const char *fields)
{
  bool unknown = may_have_run (request);
  char path[160];

  if (unknown && md_entry_is_rejection (status))
    {
      status = MD_STATUS_GIVEN_UP;
      retry_after = 0;
    }
  md_log (MD_LOG_INFO, "request-rejected", "path=%s status=%d outcome=%s reason=\"%s\"%s",
          md_log_quote (md_str (request->info->local_uri), path, sizeof path), status,
          unknown ? "unknown" : "not_run", reason, fields);
  return respond (request, status, unknown ? MD_STR ("{}") : MD_STR (MD_BODY_NOT_RUN), retry_after);
}

static int
reject (const Request *request, int status, const char *reason, MdTime retry_after)
{
  return reject_with (request, status, reason, retry_after, "");
}

/* ------------------------------------------------------------------ */
/* Waiting for the engine                                             */

static int
thread_eventfd (void)
{
  if (thread_event < 0)
    thread_event = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  return thread_event;
}

static void
post_request (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  md_inbox_push (&entry->inbox, &caller_request->node);
  md_links_wake (entry->daemon.links);
}

/* Posts an ABANDON request. Returns false when out of memory; the job then continues until
   it ends or reaches its deadline. */
static bool
report_caller_left (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdCallerRequest *abandon = calloc (1, sizeof *abandon);

  if (abandon == NULL)
    return false;
  abandon->kind = MD_CALLER_REQUEST_ABANDON;
  abandon->abandoned = caller_request;
  post_request (entry, abandon);
  return true;
}

/* Waits until the engine has answered and reports a disconnected caller to it. After such a
   report the engine may access the request until it has handled the ABANDON request as
   well, so this waits for both. A wakeup left over from the previous request of this thread
   is read and ignored. */
static void
wait_for_answer (const Request *request, MdCallerRequest *caller_request)
{
  struct pollfd fds[2] = { { .fd = caller_request->event, .events = POLLIN },
                           { .fd = caller_request->socket, .events = POLLRDHUP } };
  bool watching = caller_request->kind == MD_CALLER_REQUEST_SUBMIT;
  bool reported = false;
  uint64_t count;

  while (!atomic_load (&caller_request->answered)
         || (reported && !atomic_load (&caller_request->abandon_handled)))
    {
      int n = poll (fds, watching ? 2 : 1, -1);

      if (n < 0 && errno != EINTR)
        md_log (MD_LOG_ERROR, "poll", "reason=\"%s\"", strerror (errno));
      if (n > 0 && fds[0].revents != 0 && read (caller_request->event, &count, sizeof count) < 0
          && errno != EAGAIN)
        md_log (MD_LOG_ERROR, "eventfd", "reason=\"%s\"", strerror (errno));
      if (n > 0 && watching && fds[1].revents != 0)
        {
          watching = false;
          reported = report_caller_left (request->front->entry, caller_request);
        }
    }
}

/* ------------------------------------------------------------------ */
/* Requests                                                           */

/* What the configuration in force says of a request. */
typedef struct
{
  bool configured;         /* there is a configuration */
  uint64_t config_version; /* of it */
  MdTime config_age;       /* at most, see md_config_reader_age */
  size_t max_body;         /* limit of the request body, bytes */
  MdRoute *route;          /* owned by the caller; NULL: the request has none */
} Lookup;

static void
look_up (const Request *request, Lookup *lookup)
{
  const char *host = mg_get_header (request->conn, "Host");
  const MdRoutes *routes;

  lookup->config_age = md_config_reader_age (request->front->entry->config);
  lookup->max_body = DEFAULT_MAX_BODY;
  urcu_memb_read_lock ();
  routes = md_config_reader_routes (request->front->entry->config);
  lookup->configured = routes != NULL;
  if (routes != NULL)
    {
      lookup->route = md_routes_find (routes, md_str (host), md_str (request->info->local_uri));
      lookup->config_version = routes->version;
      if (routes->max_body_bytes > 0)
        lookup->max_body = routes->max_body_bytes;
    }
  if (lookup->route != NULL)
    md_route_ref (lookup->route);
  urcu_memb_read_unlock ();
}

static MdTime
process_age (const Request *request)
{
  return md_entry_start_age (&request->front->entry->start, md_now ());
}

/* Rejects a request that the configuration in force has no route for. Whether there is no such
   queue is not known while a newer configuration, with that queue, may have to be in force. */
static int
reject_unknown_route (const Request *request, const Lookup *lookup)
{
  bool outdated = lookup->config_age > request->front->entry->daemon.settings.config_apply;
  char fields[96];

  if (!md_http_skip_body (request->conn, lookup->max_body))
    mg_disable_connection_keep_alive (request->conn);
  if (!lookup->configured)
    return reject (request, 503, "no configuration has been read yet",
                   md_startup_retry_after (process_age (request), RETRY_AFTER_NO_CONFIG,
                                           md_random ()));
  snprintf (fields, sizeof fields, " version=%llu config_age_ms=%lld",
            (unsigned long long)lookup->config_version, (long long)(lookup->config_age / MD_MS));
  if (outdated)
    return reject_with (request, 503, "no such queue, and the configuration may be outdated",
                        RETRY_AFTER_NO_CONFIG, fields);
  return reject_with (request, 404, "no such queue", 0, fields);
}

/* Ends the handling of a request whose caller has disconnected, without a response. */
static int
abandon_response (const Request *request)
{
  mg_disable_connection_keep_alive (request->conn);
  return 499;
}

#define DECLINED 0 /* the engine did not hand the job over; there is no response yet */

/* Posts the request to the engine and writes the response. Returns the status for CivetWeb, or
   DECLINED for a job that was offered. */
static int
post_and_respond (const Request *request, MdCallerRequest *caller_request)
{
  int status;

  post_request (request->front->entry, caller_request);
  wait_for_answer (request, caller_request);
  status = caller_request->status;
  if (caller_request->declined)
    return DECLINED;
  if (status == 0)
    {
      md_buf_clear (&caller_request->body);
      return abandon_response (request);
    }
  respond (request, status, md_buf_str (&caller_request->body), caller_request->retry_after);
  md_buf_clear (&caller_request->body);
  return status;
}

static void
copy_header (const Request *request, const char *name, char *out, size_t size)
{
  const char *value = mg_get_header (request->conn, name);
  MdStr text = value != NULL ? md_str (value) : MD_STR ("-");

  md_log_quote (text, out, size);
}

/* Reads a number of milliseconds; 0 when it is not positive. */
static MdTime
read_timeout (const char *text)
{
  long ms = strtol (text, NULL, 10);

  if (ms <= 0)
    return 0;
  return ms < MD_JSON_MAX_DURATION / MD_MS ? ms * MD_MS : MD_JSON_MAX_DURATION;
}

/* Rejects a job that the engine would reject for being late. */
static int
reject_job (const Request *request, MdRoute *route, const char *id)
{
  char request_id[64];

  copy_header (request, MD_PLATFORM_REQUEST_HEADER, request_id, sizeof request_id);
  md_count (MD_M_JOBS, 1);
  md_count (MD_M_REFUSED, 1);
  md_count (MD_M_LATE_REJECTIONS, 1);
  md_log (MD_LOG_INFO, "job-answered",
          "job=%s request=%s queue=%s status=429 outcome=not_run reason=entry-late elapsed_ms=%lld "
          "retry_after_ms=%lld",
          id, request_id, route->label.data, (long long)((md_now () - request->arrived) / MD_MS),
          (long long)(RETRY_AFTER_LATE / MD_MS));
  return respond (request, 429, MD_STR (MD_BODY_NOT_RUN), RETRY_AFTER_LATE);
}

/* Fills in what the header of a job says. Returns false without an eventfd. */
static bool
prepare_job (const Request *request, MdRoute *route, const char *id,
             MdCallerRequest *caller_request)
{
  const char *timeout = mg_get_header (request->conn, MD_PLATFORM_DEADLINE_HEADER);

  *caller_request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                                       .arrived = request->arrived,
                                       .route = route,
                                       .known_only = request->known_only,
                                       .declined = false,
                                       .event = thread_eventfd (),
                                       .socket = md_connection_socket () };
  md_str_copy (caller_request->id, sizeof caller_request->id, md_str (id));
  copy_header (request, MD_PLATFORM_REQUEST_HEADER, caller_request->request_id,
               sizeof caller_request->request_id);
  if (timeout != NULL)
    caller_request->response_timeout = read_timeout (timeout);
  return caller_request->event >= 0;
}

/* Posts a job, which it owns from then on, to the engine and writes the response. */
static int
post_job (const Request *request, MdRoute *route, const char *id, MdRunSpec spec)
{
  MdCallerRequest caller_request;
  bool prepared = prepare_job (request, route, id, &caller_request);
  const char *unsupported = md_entry_unsupported_reason (request->front->entry, route, &spec);

  caller_request.spec = spec;
  caller_request.counted = request->declined;
  if (unsupported != NULL || !prepared)
    {
      md_run_spec_clear (&caller_request.spec);
      return unsupported != NULL ? reject (request, 503, unsupported, 0)
                                 : reject (request, 503, "cannot create an eventfd", MD_SECOND);
    }
  if (md_entry_has_caller_left (&caller_request))
    {
      md_entry_record_dropped (&caller_request, md_now ());
      md_run_spec_clear (&caller_request.spec);
      return abandon_response (request);
    }
  return post_and_respond (request, &caller_request);
}

/* Offers a job that is not parsed to the engine, which may hand it over to another entry. Returns
   DECLINED if it did not. */
static int
offer_job (const Request *request, MdRoute *route, const char *id, MdStr body)
{
  MdCallerRequest caller_request;

  if (!prepare_job (request, route, id, &caller_request))
    return DECLINED;
  caller_request.offered = true;
  caller_request.raw = body;
  return post_and_respond (request, &caller_request);
}

/* Whether the job is rejected without the engine. A repeated job may be running or have run for its
   first attempt; only the engine can tell, so that the answer "not run" is true. */
static bool
rejects_job (const Request *request)
{
  return atomic_load (&request->front->entry->load.overloaded) && !may_have_run (request);
}

/* Rejects a job because others use the memory for bodies. */
static int
refuse_for_memory (const Request *request, size_t max_body)
{
  int status;

  md_count (MD_M_MEMORY_REJECTIONS, 1);
  mg_disable_connection_keep_alive (request->conn);
  status = reject (request, 503, "bodies of other requests use the memory", RETRY_AFTER_MEMORY);
  /* Closing a connection with unread data resets it, and the caller may lose the response. */
  md_http_skip_body (request->conn, max_body);
  return status;
}

/* Body of a job. Its memory is returned before the engine is waited for. */
typedef struct
{
  MdBuf text;
  size_t counted; /* bytes taken of the memory for bodies */
} Body;

static void
release_body (MdFront *front, Body *body)
{
  md_buf_clear (&body->text);
  md_memory_budget_return (&front->body_memory, body->counted);
  body->counted = 0;
}

/* Takes memory for the body; false when others use it. */
static bool
acquire_body (const Request *request, Body *body, size_t max_body)
{
  return md_memory_budget_take_body (&request->front->body_memory, request->info->content_length,
                                     max_body, &body->counted);
}

/* Parses the body within the memory for that, and releases it. Returns MD_E_LIMIT when others use
   that memory. */
static int
parse_body (MdFront *front, Body *body, MdRunSpec *spec, MdError *error)
{
  size_t memory = md_platform_job_memory (md_buf_str (&body->text));
  int rc = MD_E_LIMIT;

  if (md_memory_budget_take (&front->parse_memory, memory, PARSE_WAIT))
    {
      rc = md_platform_parse_job (md_buf_str (&body->text), spec, error);
      md_memory_budget_return (&front->parse_memory, memory);
    }
  release_body (front, body);
  return rc;
}

/* Reads the body, for which memory has been taken, and submits the job in it. */
static int
submit_body (Request *request, MdRoute *route, const char *id, Body *body, size_t max_body)
{
  int status = md_http_read_body (request->conn, max_body, &body->text);
  MdError error = { 0 };
  MdRunSpec spec;

  if (status != 0)
    {
      /* The unread rest of the body must not be parsed as the next request. */
      mg_disable_connection_keep_alive (request->conn);
      return reject (request, status, "the request body is too large or incomplete", 0);
    }
  if (!request->known_only && md_entry_offers (request->front->entry))
    {
      status = offer_job (request, route, id, md_buf_str (&body->text));
      if (status != DECLINED)
        return status;
      request->declined = true;
    }
  if (rejects_job (request))
    return reject_job (request, route, id);
  switch (parse_body (request->front, body, &spec, &error))
    {
    case MD_OK:
      return post_job (request, route, id, spec);
    case MD_E_LIMIT:
      return refuse_for_memory (request, max_body);
    default:
      return reject (request, 400, error.detail, 0);
    }
}

static int
submit (Request *request, MdRoute *route, const char *id, size_t max_body)
{
  MdFront *front = request->front;
  atomic_uint *submissions = submissions_of (request);
  Body body = { 0 };
  int status;

  atomic_fetch_add (submissions, 1);
  request->counted = true;
  if (acquire_body (request, &body, max_body))
    status = submit_body (request, route, id, &body, max_body);
  else
    status = refuse_for_memory (request, max_body);
  release_body (front, &body);
  atomic_fetch_sub (submissions, 1);
  return status;
}

/* Handles a request without a body. id is the job ID, empty for PENDING. */
static int
query (const Request *request, MdCallerRequestKind kind, MdRoute *route, const char *id)
{
  MdCallerRequest caller_request = { .kind = kind, .route = route, .event = thread_eventfd () };

  md_str_copy (caller_request.id, sizeof caller_request.id, md_str (id));
  if (caller_request.event < 0)
    return reject (request, 503, "cannot create an eventfd", MD_SECOND);
  return post_and_respond (request, &caller_request);
}

static int
handle_routed (Request *request, MdRoute *route, size_t max_body)
{
  const char *method = request->info->request_method;
  const char *id = request->info->local_uri + route->prefix.len;

  if (*id == '\0' && strcmp (method, "GET") == 0)
    return query (request, MD_CALLER_REQUEST_PENDING, route, "");
  if (!md_entry_is_job_id (id))
    return reject (request, 404, "invalid job ID", 0);
  if (strcmp (method, "POST") == 0)
    return submit (request, route, id, max_body);
  if (strcmp (method, "GET") == 0)
    return query (request, MD_CALLER_REQUEST_STATE, route, id);
  if (strcmp (method, "DELETE") == 0)
    return query (request, MD_CALLER_REQUEST_CANCEL, route, id);
  return reject (request, 405, "unsupported method", 0);
}

/* Holds a job back until the first configuration is known. Its body stays unread meanwhile. Returns
   false if the caller has left. */
static bool
wait_for_start (Request *request)
{
  MdRunEntry *entry = request->front->entry;
  const char *timeout = mg_get_header (request->conn, MD_PLATFORM_DEADLINE_HEADER);
  MdTime patience = timeout != NULL ? read_timeout (timeout) : 0;
  MdTime begin = md_now ();
  MdTime age = process_age (request);
  MdTime wait = md_startup_config_wait (age, begin - request->arrived, patience);
  MdStartOutcome outcome;
  char request_id[64];

  set_job (request, request->info->local_uri);
  if (wait == 0 || md_config_reader_loaded (entry->config) || !request->has_job
      || strcmp (request->info->request_method, "POST") != 0)
    return true;
  outcome = md_entry_start_wait (&entry->start, md_connection_socket (), begin + wait);
  copy_header (request, MD_PLATFORM_REQUEST_HEADER, request_id, sizeof request_id);
  md_count (MD_M_START_WAITS, 1);
  md_log (MD_LOG_INFO, "start-waited",
          "request=%s for=configuration process_age_ms=%lld patience_ms=%lld limit_ms=%lld "
          "waited_ms=%lld outcome=%s",
          request_id, (long long)(age / MD_MS), (long long)(patience / MD_MS),
          (long long)(wait / MD_MS), (long long)((md_now () - begin) / MD_MS),
          md_entry_start_outcome_name (outcome));
  if (outcome == MD_START_CALLER_LEFT)
    md_count (MD_M_CALLERS_LEFT, 1);
  return outcome != MD_START_CALLER_LEFT;
}

/* An entry that is shutting down takes requests for jobs that it knows, because "not run" of them
   may be false. */
static int
handle_request (Request *request)
{
  Lookup lookup = { 0 };
  MD_AUTO_ROUTE *route = NULL;

  if (!wait_for_start (request))
    return abandon_response (request);
  request->known_only = atomic_load (&request->front->entry->closed);
  look_up (request, &lookup);
  route = lookup.route;
  set_job (request, request->info->local_uri + (route != NULL ? route->prefix.len : 0));
  if (request->known_only && !(route != NULL && may_have_run (request)))
    {
      mg_disable_connection_keep_alive (request->conn);
      return reject (request, 503, "the entry is shutting down", MD_SECOND);
    }
  if (route == NULL)
    return reject_unknown_route (request, &lookup);
  return handle_routed (request, route, lookup.max_body);
}

static int
handle_caller (struct mg_connection *conn, void *user)
{
  Request request
      = { .front = user, .conn = conn, .info = mg_get_request_info (conn), .arrived = md_now () };
  MdRunEntry *entry = request.front->entry;
  int status;

  atomic_fetch_add (&entry->active_requests, 1);
  status = handle_request (&request);
  atomic_fetch_sub (&entry->active_requests, 1);
  return status;
}

/* ------------------------------------------------------------------ */
/* Servers                                                            */

static void *
init_thread (const struct mg_context *context MD_UNUSED, int type MD_UNUSED)
{
  md_fatal_signals_prepare_thread ();
  urcu_memb_register_thread ();
  return NULL;
}

static void
exit_thread (const struct mg_context *context, int type MD_UNUSED, void *data MD_UNUSED)
{
  MdFront *front = mg_get_user_data (context);

  /* The engine writes to the eventfd of a thread until it has stopped the front end. */
  if (thread_event >= 0 && atomic_load (&front->stopping))
    close (thread_event);
  thread_event = -1;
  urcu_memb_unregister_thread ();
}

static MdFront *
connection_front (const struct mg_connection *conn)
{
  return mg_get_user_data (mg_get_context (conn));
}

static int
init_connection (const struct mg_connection *conn, void **data)
{
  *data = NULL;
  md_connection_socket_begin ();
  atomic_fetch_add (&connection_front (conn)->connections, 1);
  md_count (MD_M_CALLER_CONNECTIONS, 1);
  return 0;
}

static void
connection_closed (const struct mg_connection *conn)
{
  atomic_fetch_sub (&connection_front (conn)->connections, 1);
}

static struct mg_context *
start_server (MdFront *front, const char *step, const char *address, MdHostShare share,
              int (*handler) (struct mg_connection *, void *), void *user, MdError *error)
{
  char threads[16];
  char waiting[16];
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            threads,
                            "access_control_allow_origin",
                            "",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "60000",
                            "tcp_nodelay",
                            "1",
                            "max_request_size",
                            "32768",
                            "connection_queue",
                            waiting,
                            NULL };
  struct mg_callbacks callbacks = { .init_thread = init_thread,
                                    .exit_thread = exit_thread,
                                    .http_error = md_http_error,
                                    .init_connection = init_connection,
                                    .connection_closed = connection_closed };
  struct mg_context *server;

  snprintf (threads, sizeof threads, "%u", share.threads);
  snprintf (waiting, sizeof waiting, "%u", share.waiting);
  server = mg_start (&callbacks, front, options);

  if (server == NULL)
    md_error_set (error, MD_E_IO, step, address, "the HTTP server cannot start");
  else
    mg_set_request_handler (server, "/", handler, user);
  return server;
}

MdFront *
md_front_start (MdRunEntry *entry, MdError *error)
{
  const MdSettings *settings = &entry->daemon.settings;
  MdFront *front = calloc (1, sizeof *front);
  const MdHostShare probe_share = { .threads = 3, .waiting = 16 };
  MdHostShare share = md_host_own_share (settings->caller_threads);
  unsigned threads;

  if (front == NULL)
    return NULL;
  front->entry = entry;
  md_memory_budget_init (&front->body_memory, BODY_MEMORY);
  md_memory_budget_init (&front->parse_memory, PARSE_MEMORY);
  atomic_init (&front->threads, (int)share.threads);
  /* Before the server for callers, which takes all threads that the host still offers. */
  front->probes = start_server (front, "listen-readiness", settings->ready_address, probe_share,
                                md_front_probe, entry, error);
  threads = md_host_thread_count ();
  if (front->probes != NULL)
    front->callers = start_server (front, "listen-callers", settings->caller_address, share,
                                   handle_caller, front, error);
  if (front->callers != NULL)
    atomic_store (&front->threads,
                  (int)md_host_check_threads (threads, share.threads, settings->caller_address));
  if (front->callers != NULL)
    return front;
  md_front_stop (front);
  return NULL;
}

struct mg_context *
md_front_start_metrics (void *user, const char *address, MdError *error)
{
  const MdHostShare share = { .threads = 2, .waiting = 16 };

  MdFront *front = user;

  return start_server (front, "listen-metrics", address, share, md_front_operator, front->entry,
                       error);
}

void
md_front_disable_keep_alive (MdFront *front)
{
  atomic_store (&front->keep_alive_disabled, true);
}

void
md_front_stop (MdFront *front)
{
  if (front == NULL)
    return;
  atomic_store (&front->stopping, true);
  if (front->callers != NULL)
    mg_stop (front->callers);
  if (front->probes != NULL)
    mg_stop (front->probes);
  md_memory_budget_destroy (&front->body_memory);
  md_memory_budget_destroy (&front->parse_memory);
  free (front);
}
