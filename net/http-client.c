/* http-client.c -- blocking HTTP client based on CivetWeb

   A connection carries one exchange at a time. The result tells whether the request may
   have reached the server: the outcome of a change is unknown when its response is lost,
   and a record must not be appended twice. */

#include "http-client.h"
#include "http-server.h"
#include "json-text.h"

#include <pthread.h>
#include <stdio.h>
#include <strings.h>

/* CivetWeb rounds its waits, so a failure this close to the time-out counts as a time-out. */
#define TIMEOUT_SLACK (10 * MD_MS)

static pthread_once_t once = PTHREAD_ONCE_INIT;

static void
init_library (void)
{
  mg_init_library (0);
}

/* mg_init_library is not safe against a concurrent first call. */
void
md_http_init (void)
{
  pthread_once (&once, init_library);
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
      md_error_set (error, MD_E_INVALID, "connect", address, "not an ip:port address");
      return NULL;
    }
  md_http_init ();
  conn = mg_connect_client (host, port, 0, reason, sizeof reason);
  if (conn == NULL)
    md_error_set (error, MD_E_NOT_FOUND, "connect", address, "%s", reason);
  return conn;
}

static void
write_request (MdBuf *out, const MdHttpRequest *request, bool keep)
{
  md_buf_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n", request->method, request->path,
                 request->address);
  if (request->token != NULL)
    md_buf_printf (out, "Authorization: Bearer %s\r\n", request->token);
  if (request->body.len > 0)
    md_buf_printf (out, "Content-Type: application/json\r\n");
  if (request->body.len > 0 || strcmp (request->method, "GET") != 0)
    md_buf_printf (out, "Content-Length: %zu\r\n", request->body.len);
  md_buf_printf (out, "%s%s\r\n", keep ? "" : "Connection: close\r\n",
                 request->headers ? request->headers : "");
  md_buf_append (out, request->body);
}

/* ------------------------------------------------------------------ */
/* Response                                                            */

static int
read_head (struct mg_connection *conn, const MdHttpRequest *request, MdHttpResponse *response,
           MdError *error)
{
  char reason[128] = "";
  const struct mg_response_info *info;
  MdTime start = md_now ();

  if (mg_get_response (conn, reason, sizeof reason, (int)(request->timeout / MD_MS)) < 0)
    {
      bool timed_out = md_now () - start >= request->timeout - TIMEOUT_SLACK;

      return md_error_set (error, timed_out ? MD_E_TIMEOUT : MD_E_IO, "answer", request->address,
                           "%s", timed_out ? "no answer in time" : reason);
    }
  info = mg_get_response_info (conn);
  response->status = info->status_code;
  for (int i = 0; i < info->num_headers; i++)
    if (strcasecmp (info->http_headers[i].name, "ETag") == 0
        && info->http_headers[i].value[0] == '"')
      response->version = strtoull (info->http_headers[i].value + 1, NULL, 10);
  return MD_OK;
}

static int
read_body (struct mg_connection *conn, const MdHttpRequest *request, MdHttpResponse *response,
           MdError *error)
{
  size_t max = request->max_bytes > 0 ? request->max_bytes : SIZE_MAX;
  int rc = md_http_read (conn, mg_get_response_info (conn)->content_length, max, &response->body);

  switch (rc)
    {
    case MD_OK:
      return MD_OK;
    case MD_E_LIMIT:
      return md_error_set (error, rc, "answer", request->address, "the response is too long");
    case MD_E_MEMORY:
      return md_error_set (error, rc, "answer", request->address, "out of memory");
    default:
      return md_error_set (error, rc, "answer", request->address, "the response is incomplete");
    }
}

/* Passes the complete lines in the buffer to on_line; false when it ends the exchange. */
static bool
deliver_lines (MdBuf *buf, const MdHttpRequest *request)
{
  char *end;

  while (buf->len > 0 && (end = memchr (buf->data, '\n', buf->len)) != NULL)
    {
      size_t len = (size_t)(end - buf->data);

      if (!request->on_line (request->user, md_str_n (buf->data, len)))
        return false;
      md_buf_consume (buf, len + 1);
    }
  return true;
}

static void
read_lines (struct mg_connection *conn, const MdHttpRequest *request)
{
  MD_AUTO_BUF buf = { 0 };
  char byte;

  /* A larger read would block until its buffer is full. */
  while (mg_read (conn, &byte, 1) == 1)
    {
      md_buf_append (&buf, md_str_n (&byte, 1));
      if (byte == '\n' && !deliver_lines (&buf, request))
        return;
    }
}

/* ------------------------------------------------------------------ */
/* Exchange                                                            */

static int
exchange (struct mg_connection *conn, const MdHttpRequest *request, bool keep,
          MdHttpResponse *response, MdError *error)
{
  MD_AUTO_BUF out = { 0 };
  int rc;

  write_request (&out, request, keep);
  if (out.failed)
    return md_error_set (error, MD_E_MEMORY, "send", request->address, "out of memory");
  response->sent = true;
  if (mg_write (conn, out.data, out.len) != (int)out.len)
    return md_error_set (error, MD_E_IO, "send", request->address, "the connection broke");
  rc = read_head (conn, request, response, error);
  if (rc != MD_OK)
    return rc;
  if (request->on_line == NULL || response->status != 200)
    return read_body (conn, request, response, error);
  read_lines (conn, request);
  return MD_OK;
}

int
md_http_call (const MdHttpRequest *request, MdHttpResponse *response, MdError *error)
{
  MdError own = { 0 };
  struct mg_connection *conn = dial (request->address, error ? error : &own);
  int rc;

  if (conn == NULL)
    return error ? error->code : own.code;
  rc = exchange (conn, request, false, response, error);
  mg_close_connection (conn);
  return rc;
}

void
md_http_disconnect (MdHttpConnection *connection)
{
  if (connection->conn != NULL)
    mg_close_connection (connection->conn);
  connection->conn = NULL;
}

/* An MdError keeps the first error set, so each attempt starts with an empty one. */
static int
attempt (MdHttpConnection *connection, const MdHttpRequest *request, MdHttpResponse *response,
         MdError *error)
{
  int rc;

  *error = (MdError){ 0 };
  response->body.len = 0;
  if (connection->conn == NULL)
    connection->conn = dial (request->address, error);
  if (connection->conn == NULL)
    return error->code;
  rc = exchange (connection->conn, request, true, response, error);
  if (rc != MD_OK)
    md_http_disconnect (connection);
  return rc;
}

int
md_http_call_on (MdHttpConnection *connection, const MdHttpRequest *request,
                 MdHttpResponse *response, MdError *error)
{
  MdError last;
  bool kept;
  int rc;

  if (strcmp (connection->address, request->address) != 0)
    md_http_disconnect (connection);
  md_str_copy (connection->address, sizeof connection->address, md_str (request->address));
  kept = connection->conn != NULL;
  rc = attempt (connection, request, response, &last);
  if (rc == MD_E_IO && kept)
    rc = attempt (connection, request, response, &last);
  if (rc != MD_OK && error != NULL && error->code == MD_OK)
    *error = last;
  return rc;
}

json_t *
md_http_response_json (const MdHttpResponse *response)
{
  return md_json_load (md_buf_str (&response->body), 0, NULL);
}

void
md_http_response_clear (MdHttpResponse *response)
{
  md_buf_clear (&response->body);
}
