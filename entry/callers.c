/* callers.c -- HTTP for callers: jobs and single requests

   A CivetWeb thread carries a connection; it parses and checks the request,
   posts it to the engine and waits for the result. CivetWeb holds one thread per
   open connection, idle ones included, so two bounds keep threads free: past
   three quarters of the threads answers close their connection, and past all but
   a reserve requests are refused at once instead of queueing unseen. */

#include "entry-private.h"
#include "host-limits.h"
#include "http-server.h"
#include "memory-budget.h"
#include "process.h"

#include <civetweb.h>
#include <stdio.h>
#include <urcu/urcu-memb.h>

#define RESERVED_THREADS 4 /* kept free to refuse and for health checks */
#define DEFAULT_DEADLINE (30 * MD_SECOND)
#define READ_TIMEOUT_MS "10000" /* slow senders lose their thread after this */
#define KEEP_ALIVE_MS "5000"    /* idle connections give their thread back */
#define GRACE (2 * MD_SECOND)   /* past the deadline before a wait gives up */

#define BODY_MEMORY (64u << 20)    /* bytes, of larger bodies; an entry may use 256 MB in all */
#define PARSE_MEMORY (64u << 20)   /* bytes, of jobs that are being parsed */
#define PARSE_WAIT (1 * MD_SECOND) /* for others to be parsed, which takes milliseconds */

struct MdCallers
{
  MdEntry *entry;              /* engine */
  struct mg_context *server;   /* CivetWeb */
  _Atomic int in_progress;     /* requests being handled */
  _Atomic int connections;     /* open connections */
  atomic_int threads;          /* CivetWeb threads */
  MdMemoryBudget body_memory;  /* of bodies that are being read or parsed */
  MdMemoryBudget parse_memory; /* of jobs that are being parsed */
};

/* One request on its way through the handlers. */
typedef struct
{
  MdCallers *callers;                 /* server */
  struct mg_connection *conn;         /* connection */
  const struct mg_request_info *info; /* parsed head */
  const MdToken *token;               /* who asks */
  MdBuf body;                         /* request body */
  size_t counted;                     /* bytes taken of the memory for bodies */
} Call;

static MdStr
header_of (const Call *call, const char *name)
{
  return md_str (mg_get_header (call->conn, name));
}

static bool
must_close (const Call *call)
{
  int open = atomic_load (&call->callers->connections);

  return open * 4 > atomic_load (&call->callers->threads) * 3
         || md_entry_leaving (call->callers->entry);
}

/* Head and body leave in one write: two would be two packets, and the second may
   wait for the acknowledgement of the first. */
static int
send_response (Call *call, int status, const char *type, const char *extra, MdStr body)
{
  MD_AUTO_BUF out = { 0 };

  if (must_close (call))
    mg_disable_connection_keep_alive (call->conn);
  md_buf_printf (&out,
                 "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%sConnection: %s\r\n"
                 "\r\n",
                 status, mg_get_response_code_text (call->conn, status), type, body.len, extra,
                 must_close (call) ? "close" : "keep-alive");
  md_buf_append (&out, body);
  if (!out.failed)
    mg_write (call->conn, out.data, out.len);
  return status;
}

static int
send_problem (Call *call, int status, MdReason reason, MdOutcome outcome, const char *detail,
              MdTime retry_after)
{
  MD_AUTO_BUF body = { 0 };
  char extra[64] = "";

  if (retry_after > 0)
    snprintf (extra, sizeof extra, "Retry-After: %lld\r\n",
              (long long)((retry_after + MD_SECOND - 1) / MD_SECOND));
  md_problem_write (&body, status, reason, outcome, detail, 0, "");
  return send_response (call, status, "application/problem+json", extra, md_buf_str (&body));
}

/* A request that was not understood has not run. */
static int
send_bad_request (Call *call, int status, const char *detail)
{
  MD_AUTO_BUF body = { 0 };

  md_buf_printf (&body, "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,",
                 mg_get_response_code_text (call->conn, status), status);
  md_buf_append (&body, MD_STR ("\"outcome\":\"not_run\",\"detail\":\""));
  for (const char *c = detail; *c != '\0'; c++)
    if (*c == '"' || *c == '\\')
      md_buf_printf (&body, "\\%c", *c);
    else if ((unsigned char)*c >= ' ')
      md_buf_append (&body, md_str_n (c, 1));
  md_buf_append (&body, MD_STR ("\"}\n"));
  /* The rest of a body that was not read must not be taken for a request. */
  mg_disable_connection_keep_alive (call->conn);
  return send_response (call, status, "application/problem+json", "", md_buf_str (&body));
}

static bool
authenticate (Call *call)
{
  MdStr value = header_of (call, "Authorization");
  MdStr prefix = MD_STR ("Bearer ");

  if (value.len <= prefix.len || strncasecmp (value.data, prefix.data, prefix.len) != 0)
    return false;
  value.data += prefix.len;
  value.len -= prefix.len;
  call->token = md_settings_find_token (md_entry_settings (call->callers->entry), value);
  return call->token != NULL && !call->token->is_operator;
}

/* Looks the pool up in the view of the configuration. Returns MD_REASON_NONE and
   its default deadline when it exists. */
static MdReason
check_pool (Call *call, const char *pool, MdTime *deadline)
{
  MdReason reason = MD_REASON_NONE;
  const MdPoolConfig *found;
  const MdConfigView *view;

  urcu_memb_read_lock ();
  view = md_store_view (md_entry_store (call->callers->entry));
  found = view ? md_view_pool (view, md_str (pool)) : NULL;
  if (view == NULL)
    reason = MD_REASON_NO_CONFIG;
  else if (found == NULL)
    reason = MD_REASON_NO_POOL;
  else
    *deadline = found->default_deadline_ms ? found->default_deadline_ms * MD_MS : DEFAULT_DEADLINE;
  urcu_memb_read_unlock ();
  return reason;
}

static int
send_result_problem (Call *call, const MdResult *result)
{
  MD_AUTO_BUF body = { 0 };
  int status = md_reason_status (result->reason);
  char extra[64] = "";

  if (result->state == MD_STATE_NOT_FOUND)
    status = 404;
  if (result->retry_after > 0)
    snprintf (extra, sizeof extra, "Retry-After: %lld\r\n",
              (long long)((result->retry_after + MD_SECOND - 1) / MD_SECOND));
  md_problem_write (&body, status, result->reason, result->outcome, md_state_name (result->state),
                    result->task, result->peer);
  return send_response (call, status, "application/problem+json", extra, md_buf_str (&body));
}

static int
send_job (Call *call, const char *id, const char *pool, const MdResult *result)
{
  MD_AUTO_BUF body = { 0 };
  char extra[256] = "";
  int status = 200;

  if (result->state == MD_STATE_RUNNING)
    {
      status = 202;
      snprintf (extra, sizeof extra, "Location: /v1/jobs/%s?pool=%s\r\n", id, pool);
    }
  else if (result->state != MD_STATE_DONE)
    return send_result_problem (call, result);
  md_job_write (&body, md_str (id), result);
  return send_response (call, status, "application/json", extra, md_buf_str (&body));
}

/* Credentials are the entry's, not the upstream's. */
static bool
is_kept_here (const char *name)
{
  return md_header_is_hop_by_hop (name) || strcasecmp (name, "Authorization") == 0;
}

static int
send_passed_through (Call *call, const MdResult *result)
{
  const MdTaskAnswer *answer = &result->answers[0];
  MD_AUTO_BUF extra = { 0 };
  const char *type = "application/octet-stream";

  for (size_t i = 0; i < answer->n_headers; i++)
    {
      if (strcasecmp (answer->headers[i].name, "Content-Type") == 0)
        type = answer->headers[i].value;
      else if (!is_kept_here (answer->headers[i].name))
        md_buf_printf (&extra, "%s: %s\r\n", answer->headers[i].name, answer->headers[i].value);
    }
  return send_response (call, (int)answer->status, type, extra.data ? extra.data : "",
                        md_str_n (answer->body, answer->body_len));
}

/* The engine answers every submission by its deadline; a wait that runs out all
   the same must not claim anything about execution. */
static MdResult *
wait_result (Call *call, MdOp op, MdSubmission *sub, MdTime timeout)
{
  MdResultFuture *future = md_entry_post (call->callers->entry, op, sub);
  MdResult *result;

  if (future == NULL)
    return md_result_new (MD_STATE_REFUSED, MD_REASON_OVERLOAD,
                          sub->anonymous ? MD_OUTCOME_NOT_RUN : MD_OUTCOME_UNKNOWN);
  result = md_result_future_wait (future, timeout);
  md_result_future_unref (future);
  if (result == NULL)
    result = md_result_new (MD_STATE_FAILED, MD_REASON_DEADLINE, MD_OUTCOME_UNKNOWN);
  return result;
}

static int
check_id (Call *call, MdSubmission *sub)
{
  MdStr id = header_of (call, "Idempotency-Key");

  /* The draft standard writes the key as a quoted string. */
  if (id.len >= 2 && id.data[0] == '"' && id.data[id.len - 1] == '"')
    id = md_str_n (id.data + 1, id.len - 2);
  if (id.len >= sizeof sub->id)
    return send_bad_request (call, 400, "Idempotency-Key: too long");
  for (size_t i = 0; i < id.len; i++)
    if ((unsigned char)id.data[i] <= ' ' || id.data[i] == '/' || id.data[i] == '?'
        || id.data[i] == '"' || id.data[i] == '\\' || id.data[i] == '%'
        || (unsigned char)id.data[i] >= 0x7f)
      return send_bad_request (call, 400, "Idempotency-Key: has a character that is not allowed");
  if (id.len > 0)
    md_str_copy (sub->id, sizeof sub->id, id);
  else
    {
      char made[37];
      md_uuid7 (made);
      md_str_copy (sub->id, sizeof sub->id, md_str (made));
      sub->anonymous = true;
    }
  md_str_copy (sub->customer, sizeof sub->customer, md_str (call->token->name));
  return 0;
}

/* Refuses work that the threads could not carry. Only a request without a
   submission id is proven not to have run: one with an id may be a resubmission
   of work that runs elsewhere. */
static int
refuse_overload (Call *call, const char *detail)
{
  MdOutcome outcome
      = header_of (call, "Idempotency-Key").len > 0 ? MD_OUTCOME_UNKNOWN : MD_OUTCOME_NOT_RUN;

  mg_disable_connection_keep_alive (call->conn);
  md_count (MD_M_REFUSED, 1);
  return send_problem (call, 503, MD_REASON_OVERLOAD, outcome, detail, MD_SECOND);
}

/* Takes memory for the body; false when others use it. */
static bool
acquire_body (Call *call, size_t max_body)
{
  return md_memory_budget_take_body (&call->callers->body_memory, call->info->content_length,
                                     max_body, &call->counted);
}

/* Frees the body, which is not kept while the caller waits for the result. */
static void
release_body (Call *call)
{
  md_buf_clear (&call->body);
  md_memory_budget_return (&call->callers->body_memory, call->counted);
  call->counted = 0;
}

/* Parses the job in the body within the memory for that and releases the body. Returns 0, or the
   status of the refusal that was sent. */
static int
parse_job (Call *call, MdSubmission **sub)
{
  const MdSettings *settings = md_entry_settings (call->callers->entry);
  MdMemoryBudget *budget = &call->callers->parse_memory;
  size_t memory = md_job_memory (md_buf_str (&call->body));
  MdError error = { 0 };

  if (!md_memory_budget_take (budget, memory, PARSE_WAIT))
    return refuse_overload (call, "jobs of other callers use the memory");
  *sub = md_job_parse (md_buf_str (&call->body), settings->tuning.max_tasks, &error);
  md_memory_budget_return (budget, memory);
  release_body (call);
  if (error.code == MD_E_MEMORY)
    return refuse_overload (call, "no memory is left");
  return *sub != NULL ? 0 : send_bad_request (call, 400, error.detail);
}

/* Reads the submission id and looks the pool up. Returns 0, or the status of the
   refusal that was sent. Under a caller's own id the submission may have run
   through an entry that knows more than this one. */
static int
admit (Call *call, MdSubmission *sub, MdTime *deadline)
{
  int status = check_id (call, sub);
  MdReason reason;

  if (status != 0)
    return status;
  reason = check_pool (call, sub->pool, deadline);
  if (reason == MD_REASON_NONE)
    return 0;
  return send_problem (call, md_reason_status (reason), reason,
                       sub->anonymous ? MD_OUTCOME_NOT_RUN : MD_OUTCOME_UNKNOWN, sub->pool,
                       reason == MD_REASON_NO_CONFIG ? MD_SECOND : 0);
}

static int
submit_job (Call *call)
{
  MdTime deadline = DEFAULT_DEADLINE;
  MdSubmission *sub = NULL;
  MdResult *result;
  int status;

  md_count (MD_M_JOBS, 1);
  status = parse_job (call, &sub);
  if (sub == NULL)
    return status;
  status = admit (call, sub, &deadline);
  if (status != 0)
    {
      md_submission_unref (sub);
      return status;
    }
  if (sub->deadline > 0)
    deadline = sub->deadline;
  sub->deadline = md_now () + deadline;
  md_submission_finalize (sub);
  result = wait_result (call, MD_OP_SUBMIT, sub, deadline + GRACE);
  status = send_job (call, sub->id, sub->pool, result);
  md_result_unref (result);
  md_submission_unref (sub);
  return status;
}

static MdTime
query_ms (const Call *call, const char *name, MdTime most)
{
  const char *query = call->info->query_string;
  char text[16];
  long value;

  if (query == NULL || mg_get_var (query, strlen (query), name, text, sizeof text) <= 0)
    return 0;
  value = strtol (text, NULL, 10);
  if (value <= 0)
    return 0;
  return value * MD_MS < most ? value * MD_MS : most;
}

/* GET and DELETE of /v1/jobs/ID?pool=POOL. */
static int
known_job (Call *call, MdOp op, const char *id)
{
  const char *query = call->info->query_string ? call->info->query_string : "";
  MdTime wait = query_ms (call, "wait_ms", 60 * MD_SECOND);
  MdTime deadline;
  MdSubmission *sub = md_submission_new (0);
  MdResult *result;
  MdReason reason;
  int status;

  if (sub == NULL)
    return send_problem (call, 503, MD_REASON_OVERLOAD, MD_OUTCOME_UNKNOWN, "", MD_SECOND);
  if (mg_get_var (query, strlen (query), "pool", sub->pool, sizeof sub->pool) <= 0)
    {
      md_submission_unref (sub);
      return send_bad_request (call, 400, "query parameter pool: missing");
    }
  reason = check_pool (call, sub->pool, &deadline);
  if (reason != MD_REASON_NONE)
    {
      status = send_problem (call, md_reason_status (reason), reason, MD_OUTCOME_UNKNOWN, sub->pool,
                             0);
      md_submission_unref (sub);
      return status;
    }
  md_str_copy (sub->id, sizeof sub->id, md_str (id));
  md_str_copy (sub->customer, sizeof sub->customer, md_str (call->token->name));
  sub->wait = wait > 0;
  sub->deadline = md_now () + wait + GRACE;
  md_submission_finalize (sub);
  result = wait_result (call, op, sub, wait + GRACE);
  if (op == MD_OP_GET && wait > 0 && result->reason == MD_REASON_DEADLINE
      && result->outcome == MD_OUTCOME_UNKNOWN && result->n_tasks == 0)
    result->state = MD_STATE_RUNNING;
  status = send_job (call, sub->id, sub->pool, result);
  md_result_unref (result);
  md_submission_unref (sub);
  return status;
}

static int
jobs_handler (Call *call)
{
  const char *method = call->info->request_method;
  const char *rest = call->info->local_uri + strlen ("/v1/jobs");

  if (rest[0] == '\0' && strcmp (method, "POST") == 0)
    return submit_job (call);
  if (rest[0] == '/' && rest[1] != '\0' && strlen (rest + 1) < MD_TOKEN_BYTES)
    {
      if (strcmp (method, "GET") == 0)
        return known_job (call, MD_OP_GET, rest + 1);
      if (strcmp (method, "DELETE") == 0)
        return known_job (call, MD_OP_CANCEL, rest + 1);
    }
  return send_bad_request (call, 405, "use POST /v1/jobs, GET or DELETE /v1/jobs/ID");
}

/* Methods without an explicit mark follow RFC 9110: idempotent methods may be
   repeated. */
static bool
is_repeatable (const Call *call)
{
  static const char *const idempotent[] = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };
  MdStr mark = header_of (call, "Mulberrydrift-Unrepeatable");

  if (mark.len > 0)
    return mark.len == 5 && strncasecmp (mark.data, "false", 5) == 0;
  for (size_t i = 0; i < MD_ARRAY_SIZE (idempotent); i++)
    if (strcmp (call->info->request_method, idempotent[i]) == 0)
      return true;
  return false;
}

static int
copy_headers (const Call *call, MdTaskBody *task)
{
  for (int i = 0; i < call->info->num_headers; i++)
    {
      const struct mg_header *header = &call->info->http_headers[i];
      if (is_kept_here (header->name)
          || strncasecmp (header->name, "Mulberrydrift-", strlen ("Mulberrydrift-")) == 0)
        continue;
      if (md_task_add_header (task, md_str (header->name), md_str (header->value)) != MD_OK)
        return MD_E_MEMORY;
    }
  return MD_OK;
}

static MdTime
header_deadline (const Call *call)
{
  MdStr text = header_of (call, "Mulberrydrift-Deadline-Ms");
  long value = text.len > 0 ? strtol (text.data, NULL, 10) : 0;

  return value > 0 && value <= 3600000 ? value * MD_MS : 0;
}

static MdSubmission *
make_request (Call *call, const char *path)
{
  const char *query = call->info->query_string;
  MdSubmission *sub = md_submission_new (1);
  MD_AUTO_BUF target = { 0 };
  MdTaskBody *task;

  if (sub == NULL)
    return NULL;
  task = &sub->tasks[0];
  md_buf_printf (&target, "%s%s%s", path[0] ? path : "/", query ? "?" : "", query ? query : "");
  task->method = md_str_dup (md_str (call->info->request_method));
  task->path = md_str_dup (md_buf_str (&target));
  task->body_len = call->body.len;
  task->body = md_str_dup (md_buf_str (&call->body));
  sub->single_request = true;
  sub->wait = true;
  sub->repeatable = is_repeatable (call);
  if (copy_headers (call, task) != MD_OK || task->path == NULL || task->body == NULL)
    {
      md_submission_unref (sub);
      return NULL;
    }
  return sub;
}

static int
send_request_result (Call *call, const MdResult *result)
{
  if (result->n_answers == 1 && result->answers[0].present && result->answers[0].status >= 100)
    return send_passed_through (call, result);
  return send_result_problem (call, result);
}

/* ANY /v1/pools/POOL/requests/PATH: passed to an upstream of the pool. */
static int
request_handler (Call *call)
{
  const char *pool = call->info->local_uri + strlen ("/v1/pools/");
  const char *slash = strchr (pool, '/');
  MdTime deadline = DEFAULT_DEADLINE;
  MdSubmission *sub;
  MdResult *result;
  int status;

  md_count (MD_M_REQUESTS, 1);
  if (slash == NULL || slash - pool >= MD_NAME_BYTES || strncmp (slash, "/requests", 9) != 0
      || (slash[9] != '/' && slash[9] != '\0'))
    return send_bad_request (call, 404, "use /v1/pools/POOL/requests/PATH");
  sub = make_request (call, slash + 9);
  release_body (call);
  if (sub == NULL)
    return refuse_overload (call, "no memory");
  md_str_copy (sub->pool, sizeof sub->pool, md_str_n (pool, (size_t)(slash - pool)));
  status = admit (call, sub, &deadline);
  if (status != 0)
    {
      md_submission_unref (sub);
      return status;
    }
  if (header_deadline (call) > 0)
    deadline = header_deadline (call);
  sub->deadline = md_now () + deadline;
  md_submission_finalize (sub);
  result = wait_result (call, MD_OP_SUBMIT, sub, deadline + GRACE);
  status = send_request_result (call, result);
  md_result_unref (result);
  md_submission_unref (sub);
  return status;
}

static int
guarded (struct mg_connection *conn, MdCallers *callers, int (*handler) (Call *call))
{
  const MdSettings *settings = md_entry_settings (callers->entry);
  Call call = { .callers = callers, .conn = conn, .info = mg_get_request_info (conn) };
  int busy = atomic_fetch_add (&callers->in_progress, 1) + 1;
  int status;

  md_gauge (MD_M_CALLERS, busy);
  if (busy > atomic_load (&callers->threads) - RESERVED_THREADS)
    status = refuse_overload (&call, "no free thread");
  else if (!authenticate (&call))
    status = send_bad_request (&call, 401, "a customer's bearer token is needed");
  else if (!acquire_body (&call, settings->max_body_bytes))
    {
      status = refuse_overload (&call, "bodies of other callers use the memory");
      /* Closing a connection with unread data resets it, and the caller may lose the response. */
      md_http_skip_body (conn, settings->max_body_bytes);
    }
  else
    {
      status = md_http_read_body (conn, settings->max_body_bytes, &call.body);
      if (status != 0)
        status = send_bad_request (&call, status,
                                   status == 413 ? "the body is too large"
                                                 : "the body was cut off or malformed");
      else
        status = handler (&call);
    }
  release_body (&call);
  atomic_fetch_sub (&callers->in_progress, 1);
  return status;
}

static int
on_jobs (struct mg_connection *conn, void *data)
{
  return guarded (conn, data, jobs_handler);
}

static int
on_request (struct mg_connection *conn, void *data)
{
  return guarded (conn, data, request_handler);
}

static int
on_health (struct mg_connection *conn, void *data)
{
  MdCallers *callers = data;
  Call call = { .callers = callers, .conn = conn, .info = mg_get_request_info (conn) };
  bool ready;

  urcu_memb_read_lock ();
  ready = md_store_view (md_entry_store (callers->entry)) != NULL;
  urcu_memb_read_unlock ();
  if (md_entry_leaving (callers->entry))
    return send_response (&call, 503, "text/plain", "", MD_STR ("leaving\n"));
  if (!ready)
    return send_response (&call, 503, "text/plain", "", MD_STR ("no configuration\n"));
  return send_response (&call, 200, "text/plain", "", MD_STR ("ok\n"));
}

static int
on_other (struct mg_connection *conn, void *data)
{
  Call call = { .callers = data, .conn = conn, .info = mg_get_request_info (conn) };

  return send_bad_request (&call, 404, "no such path");
}

/* RCU needs every reading thread registered. */
static void *
init_thread (const struct mg_context *ctx MD_UNUSED, int type MD_UNUSED)
{
  md_fatal_signals_prepare_thread ();
  urcu_memb_register_thread ();
  return NULL;
}

static void
exit_thread (const struct mg_context *ctx MD_UNUSED, int type MD_UNUSED, void *data MD_UNUSED)
{
  urcu_memb_unregister_thread ();
}

static MdCallers *
callers_of (const struct mg_connection *conn)
{
  return mg_get_user_data (mg_get_context (conn));
}

static int
init_connection (const struct mg_connection *conn, void **data)
{
  *data = NULL;
  atomic_fetch_add (&callers_of (conn)->connections, 1);
  return 0;
}

static void
connection_closed (const struct mg_connection *conn)
{
  atomic_fetch_sub (&callers_of (conn)->connections, 1);
}

static int
log_message (const struct mg_connection *conn MD_UNUSED, const char *message)
{
  char quoted[200];

  md_log (MD_LOG_DEBUG, "http", "message=%s",
          md_log_quote (md_str (message), quoted, sizeof quoted));
  return 1;
}

static void
free_callers (MdCallers *callers)
{
  md_memory_budget_destroy (&callers->body_memory);
  md_memory_budget_destroy (&callers->parse_memory);
  free (callers);
}

MdCallers *
md_callers_start (MdEntry *entry, MdError *error)
{
  const MdSettings *settings = md_entry_settings (entry);
  MdCallers *callers = calloc (1, sizeof *callers);
  struct mg_callbacks callbacks = { .init_thread = init_thread,
                                    .exit_thread = exit_thread,
                                    .http_error = md_http_error,
                                    .init_connection = init_connection,
                                    .connection_closed = connection_closed,
                                    .log_message = log_message };
  MdHostShare share = md_host_own_share (settings->caller_threads);
  unsigned before = md_host_thread_count ();
  char threads[16];
  const char *options[] = { "listening_ports",
                            settings->caller_address,
                            "num_threads",
                            threads,
                            "access_control_allow_origin",
                            "",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            KEEP_ALIVE_MS,
                            "request_timeout_ms",
                            READ_TIMEOUT_MS,
                            "tcp_nodelay",
                            "1",
                            NULL };

  if (callers == NULL)
    {
      md_error_set (error, MD_E_MEMORY, "listen-callers", settings->caller_address,
                    "out of memory");
      return NULL;
    }
  callers->entry = entry;
  atomic_init (&callers->threads, (int)share.threads);
  md_memory_budget_init (&callers->body_memory, BODY_MEMORY);
  md_memory_budget_init (&callers->parse_memory, PARSE_MEMORY);
  snprintf (threads, sizeof threads, "%u", share.threads);
  callers->server = mg_start (&callbacks, callers, options);
  if (callers->server == NULL)
    {
      md_error_set (error, MD_E_IO, "listen-callers", settings->caller_address,
                    "the HTTP server cannot start");
      free_callers (callers);
      return NULL;
    }
  atomic_store (&callers->threads,
                (int)md_host_check_threads (before, share.threads, settings->caller_address));
  mg_set_request_handler (callers->server, "/v1/jobs", on_jobs, callers);
  mg_set_request_handler (callers->server, "/v1/pools/", on_request, callers);
  mg_set_request_handler (callers->server, "/healthz", on_health, callers);
  mg_set_request_handler (callers->server, "/", on_other, callers);
  return callers;
}

int
md_callers_in_progress (MdCallers *callers)
{
  return callers ? atomic_load (&callers->in_progress) : 0;
}
