/* logclient.c -- client of the platform's log service (HTTP/1.1 with JSON)

   Reads are harmless to repeat. Each reading thread keeps one connection and
   replaces it when a request on it fails.

   Appends are not: a connection that the service closed while it was idle fails
   in the same way as one that broke after the append took effect. Each append
   therefore uses a new connection, and only a failed connect is reported as
   "nothing was sent" (MD_E_NOT_FOUND). Every other failure leaves it open whether
   the record stands in the log, and nothing here sends it a second time.

   The time allowed for the answer to a read grows while the service is slow, so
   that a slow log is read slowly instead of never. */

#include "md-private.h"

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>

#define MARGIN_MIN (2 * MD_SECOND) /* time for an answer beyond the wait */
#define MARGIN_MAX                                                                                 \
  (5 * MD_SECOND)                      /* the same for a slow service; bounds how long a
                                          reader hangs on after an outage */
#define ANSWER_MAX (64u * 1024 * 1024) /* bytes of one answer */

typedef struct
{
  struct mg_connection *conn;     /* NULL when there is none */
  char address[MD_ADDRESS_BYTES]; /* peer of conn */
  MdTime margin;                  /* allowed beyond the wait of a read */
} LogConn;

typedef struct
{
  int status;  /* of the answer */
  MdBuf body;  /* of the answer */
  bool reused; /* the connection had served an earlier request */
} Answer;

static pthread_once_t http_once = PTHREAD_ONCE_INIT;
static pthread_once_t once = PTHREAD_ONCE_INIT;
static pthread_key_t conn_key; /* LogConn of the calling thread */

static void
free_conn (void *data)
{
  LogConn *lc = data;

  if (lc->conn != NULL)
    mg_close_connection (lc->conn);
  free (lc);
}

static void
init_http (void)
{
  mg_init_library (0);
}

/* The first call of mg_init_library is not safe against a second one. */
void
md_http_init (void)
{
  pthread_once (&http_once, init_http);
}

static void
init_once (void)
{
  md_http_init ();
  if (pthread_key_create (&conn_key, free_conn) != 0)
    abort ();
}

static LogConn *
thread_conn (void)
{
  LogConn *lc;

  pthread_once (&once, init_once);
  lc = pthread_getspecific (conn_key);
  if (lc != NULL)
    return lc;
  lc = calloc (1, sizeof *lc);
  if (lc == NULL || pthread_setspecific (conn_key, lc) != 0)
    abort ();
  lc->margin = MARGIN_MIN;
  return lc;
}

static void
drop_conn (LogConn *lc)
{
  if (lc->conn != NULL)
    mg_close_connection (lc->conn);
  lc->conn = NULL;
}

static struct mg_connection *
dial (const char *address, MdError *error)
{
  char host[MD_ADDRESS_BYTES];
  char reason[128] = "";
  struct mg_connection *conn;
  int port;

  if (md_address_split (md_str (address), host, &port) != MD_OK || port == 0)
    {
      md_error_set (error, MD_E_INVALID, "log-connect", address, "not an ip:port address");
      return NULL;
    }
  conn = mg_connect_client (host, port, 0, reason, sizeof reason);
  if (conn == NULL)
    md_error_set (error, MD_E_NOT_FOUND, "log-connect", address, "%s", reason);
  return conn;
}

/* ------------------------------------------------------------------ */
/* One exchange                                                        */

static int
read_body (struct mg_connection *conn, MdBuf *body)
{
  char chunk[8192];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      md_buf_append (body, md_str_n (chunk, (size_t)n));
      if (body->failed || body->len > ANSWER_MAX)
        return MD_E_LIMIT;
    }
  return n < 0 ? MD_E_IO : MD_OK;
}

static bool
body_complete (const struct mg_response_info *info, const MdBuf *body)
{
  return info->content_length < 0 || (uint64_t)info->content_length == body->len;
}

static int
receive (struct mg_connection *conn, MdTime timeout, Answer *answer, const char *peer,
         MdError *error)
{
  char reason[128] = "";
  const struct mg_response_info *info;
  MdTime start = md_now ();

  if (mg_get_response (conn, reason, sizeof reason, (int)(timeout / MD_MS)) < 0)
    {
      bool late = md_now () - start >= timeout - 10 * MD_MS;
      return md_error_set (error, late ? MD_E_TIMEOUT : MD_E_IO, "log-answer", peer, "%s",
                           late ? "no answer in time" : reason);
    }
  info = mg_get_response_info (conn);
  answer->status = info->status_code;
  if (read_body (conn, &answer->body) != MD_OK || !body_complete (info, &answer->body))
    return md_error_set (error, MD_E_IO, "log-answer", peer, "the answer broke off");
  return MD_OK;
}

static int
send_request (struct mg_connection *conn, const MdBuf *request, const char *peer, MdError *error)
{
  if (mg_write (conn, request->data, request->len) == (int)request->len)
    return MD_OK;
  return md_error_set (error, MD_E_IO, "log-send", peer, "the connection broke");
}

/* Status codes that mean the same for appends and reads. */
static int
check_status (const Answer *answer, const char *peer, MdError *error)
{
  if (answer->status == 200 || answer->status == 201)
    return MD_OK;
  return md_error_set (error,
                       answer->status >= 400 && answer->status < 500 ? MD_E_INVALID : MD_E_IO,
                       "log-answer", peer, "status %d", answer->status);
}

/* ------------------------------------------------------------------ */
/* Append                                                              */

static void
write_append (MdBuf *request, const char *address, MdStr stream, MdStr json)
{
  md_buf_printf (request,
                 "POST /v1/streams/%.*s/records HTTP/1.1\r\nHost: %s\r\n"
                 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
                 "Connection: close\r\n\r\n{\"data\":",
                 (int)stream.len, stream.data, address, json.len + 9);
  md_buf_append (request, json);
  md_buf_append (request, MD_STR ("}"));
}

static int
parse_offset (const Answer *answer, uint64_t *offset, const char *peer, MdError *error)
{
  json_t *root = json_loadb (answer->body.data ? answer->body.data : "", answer->body.len, 0, NULL);
  const json_t *value = json_object_get (root, "offset");
  int rc = MD_OK;

  if (json_is_integer (value) && json_integer_value (value) >= 0)
    *offset = (uint64_t)json_integer_value (value);
  else
    rc = md_error_set (error, MD_E_IO, "log-answer", peer, "the answer has no offset");
  json_decref (root);
  return rc;
}

int
md_log_append (MdStr address, MdStr stream, MdStr json, MdTime timeout, uint64_t *offset,
               MdError *error)
{
  char peer[MD_ADDRESS_BYTES];
  MD_AUTO_BUF request = { 0 };
  Answer answer = { 0 };
  struct mg_connection *conn;
  int rc;

  md_str_copy (peer, sizeof peer, address);
  thread_conn ();
  md_count (MD_M_LOG_APPENDS, 1);
  write_append (&request, peer, stream, json);
  if (request.failed)
    return md_error_set (error, MD_E_MEMORY, "log-send", peer, "out of memory");
  conn = dial (peer, error);
  if (conn == NULL)
    {
      md_count (MD_M_LOG_ERRORS, 1);
      return MD_E_NOT_FOUND;
    }
  rc = send_request (conn, &request, peer, error);
  if (rc == MD_OK)
    rc = receive (conn, timeout, &answer, peer, error);
  if (rc == MD_OK)
    rc = check_status (&answer, peer, error);
  if (rc == MD_OK)
    rc = parse_offset (&answer, offset, peer, error);
  if (rc != MD_OK)
    md_count (MD_M_LOG_ERRORS, 1);
  mg_close_connection (conn);
  md_buf_clear (&answer.body);
  return rc;
}

/* ------------------------------------------------------------------ */
/* Read                                                                */

static int
exchange_once (LogConn *lc, const MdBuf *request, MdTime timeout, Answer *answer, MdError *error)
{
  int rc;

  answer->reused = lc->conn != NULL;
  answer->body.len = 0;
  if (lc->conn == NULL)
    lc->conn = dial (lc->address, error);
  if (lc->conn == NULL)
    return MD_E_NOT_FOUND;
  rc = send_request (lc->conn, request, lc->address, error);
  if (rc == MD_OK)
    rc = receive (lc->conn, timeout, answer, lc->address, error);
  if (rc != MD_OK)
    drop_conn (lc);
  return rc;
}

/* A connection that broke while it was idle is replaced once at once; anything
   else is left to the caller's back-off. */
static int
exchange (LogConn *lc, const MdBuf *request, MdTime timeout, Answer *answer, MdError *error)
{
  MdError first = { 0 };
  int rc = exchange_once (lc, request, timeout, answer, &first);

  if (rc == MD_E_IO && answer->reused)
    return exchange_once (lc, request, timeout, answer, error);
  if (rc != MD_OK && error != NULL && error->code == MD_OK)
    *error = first;
  return rc;
}

static void
adapt_margin (LogConn *lc, int rc, MdTime elapsed, MdTime wait)
{
  MdTime want;

  if (rc == MD_E_TIMEOUT)
    {
      lc->margin = lc->margin * 2 < MARGIN_MAX ? lc->margin * 2 : MARGIN_MAX;
      return;
    }
  if (rc != MD_OK)
    return;
  want = elapsed > wait ? 2 * (elapsed - wait) : 0;
  lc->margin -= lc->margin / 8;
  if (lc->margin < want)
    lc->margin = want;
  if (lc->margin < MARGIN_MIN)
    lc->margin = MARGIN_MIN;
  if (lc->margin > MARGIN_MAX)
    lc->margin = MARGIN_MAX;
}

static bool
uint_member (const json_t *object, const char *key, uint64_t *out)
{
  const json_t *value = json_object_get (object, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

static void
deliver (const json_t *item, void (*on_record) (void *user, const MdLogRecord *record), void *user)
{
  MdLogRecord record = { 0 };
  uint64_t time_ms = 0;
  const json_t *data = json_object_get (item, "data");
  md_autofree char *text = data ? json_dumps (data, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

  if (text == NULL || !uint_member (item, "offset", &record.offset))
    return;
  uint_member (item, "time_ms", &time_ms);
  record.time_ms = (int64_t)time_ms;
  record.data = md_str (text);
  on_record (user, &record);
}

static int
parse_records (const json_t *root, void (*on_record) (void *user, const MdLogRecord *record),
               void *user, uint64_t *first, uint64_t *next, const char *peer, MdError *error)
{
  const json_t *records = json_object_get (root, "records");
  size_t index;
  json_t *item;

  if (!uint_member (root, "first", first) || !uint_member (root, "next", next)
      || !json_is_array (records))
    return md_error_set (error, MD_E_IO, "log-answer", peer, "malformed answer");
  json_array_foreach ((json_t *)records, index, item)
  {
    deliver (item, on_record, user);
  }
  return MD_OK;
}

int
md_log_read (MdStr address, MdStr stream, uint64_t from, uint32_t max, MdTime wait,
             void (*on_record) (void *user, const MdLogRecord *record), void *user, uint64_t *first,
             uint64_t *next, MdError *error)
{
  LogConn *lc = thread_conn ();
  MD_AUTO_BUF request = { 0 };
  Answer answer = { 0 };
  MdTime start = md_now ();
  json_t *root;
  int rc;

  if (!md_str_equal (md_str (lc->address), address))
    drop_conn (lc);
  md_str_copy (lc->address, sizeof lc->address, address);
  md_count (MD_M_LOG_READS, 1);
  md_buf_printf (&request,
                 "GET /v1/streams/%.*s/records?from=%llu&limit=%u&wait_ms=%lld HTTP/1.1\r\n"
                 "Host: %s\r\n\r\n",
                 (int)stream.len, stream.data, (unsigned long long)from, max,
                 (long long)(wait / MD_MS), lc->address);
  rc = exchange (lc, &request, wait + lc->margin, &answer, error);
  adapt_margin (lc, rc, md_now () - start, wait);
  root = rc == MD_OK
             ? json_loadb (answer.body.data ? answer.body.data : "", answer.body.len, 0, NULL)
             : NULL;
  if (rc == MD_OK && answer.status == 410)
    rc = uint_member (root, "first", first)
             ? MD_E_TOO_OLD
             : md_error_set (error, MD_E_IO, "log-answer", lc->address, "410 without \"first\"");
  else if (rc == MD_OK)
    rc = check_status (&answer, lc->address, error);
  if (rc == MD_OK)
    rc = parse_records (root, on_record, user, first, next, lc->address, error);
  if (rc != MD_OK && rc != MD_E_TOO_OLD)
    md_count (MD_M_LOG_ERRORS, 1);
  json_decref (root);
  md_buf_clear (&answer.body);
  return rc;
}
