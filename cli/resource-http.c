/* resource-http.c -- HTTP requests of the operators' client

   One connection per request: the server closes each anyway. The answer says
   whether the request may have reached the server, since a change whose answer is
   lost has an unknown outcome. */

#include "resource-private.h"

#include <civetweb.h>
#include <stdio.h>

/* The server answers a change within ten seconds and writes to a watch at least
   every five. */
#define ANSWER_TIMEOUT_MS 20000

static struct mg_connection *
dial (const ResourceServer *server, MdError *error)
{
  char host[MD_ADDRESS_BYTES];
  char reason[128] = "";
  struct mg_connection *conn;
  int port;

  if (md_address_split (md_str (server->address), host, &port) != MD_OK)
    {
      md_error_set (error, MD_E_INVALID, "connect", server->address, "not an ip:port address");
      return NULL;
    }
  md_http_init ();
  conn = mg_connect_client (host, port, 0, reason, sizeof reason);
  if (conn == NULL)
    md_error_set (error, MD_E_IO, "connect", server->address, "%s", reason);
  return conn;
}

static bool
send_request (struct mg_connection *conn, const ResourceServer *server, const char *method,
              const char *path, const char *condition, MdStr body)
{
  MD_AUTO_BUF out = { 0 };

  md_buf_printf (
      &out, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nConnection: close\r\n%s",
      method, path, server->address, server->token, condition);
  if (body.len > 0)
    md_buf_printf (&out, "Content-Type: application/json\r\nContent-Length: %zu\r\n", body.len);
  md_buf_append (&out, MD_STR ("\r\n"));
  md_buf_append (&out, body);
  return !out.failed && mg_write (conn, out.data, out.len) == (int)out.len;
}

static void
read_etag (const struct mg_response_info *info, ResourceAnswer *answer)
{
  for (int i = 0; i < info->num_headers; i++)
    {
      if (strcasecmp (info->http_headers[i].name, "ETag") == 0
          && info->http_headers[i].value[0] == '"')
        answer->version = strtoull (info->http_headers[i].value + 1, NULL, 10);
    }
}

static int
read_head (struct mg_connection *conn, const ResourceServer *server, ResourceAnswer *answer,
           MdError *error)
{
  char reason[128] = "";

  if (mg_get_response (conn, reason, sizeof reason, ANSWER_TIMEOUT_MS) < 0)
    return md_error_set (error, MD_E_IO, "answer", server->address, "%s", reason);
  answer->status = mg_get_response_info (conn)->status_code;
  read_etag (mg_get_response_info (conn), answer);
  return MD_OK;
}

static void
read_rest (struct mg_connection *conn, MdBuf *body)
{
  char chunk[8192];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    md_buf_append (body, md_str_n (chunk, (size_t)n));
}

int
resource_request (const ResourceServer *server, const char *method, const char *path,
                  const char *condition, MdStr body, ResourceAnswer *answer, MdError *error)
{
  struct mg_connection *conn = dial (server, error);
  int rc = MD_OK;

  if (conn == NULL)
    return MD_E_IO;
  answer->sent = true;
  if (!send_request (conn, server, method, path, condition, body))
    rc = md_error_set (error, MD_E_IO, "send", server->address, "the connection broke");
  if (rc == MD_OK)
    rc = read_head (conn, server, answer, error);
  if (rc == MD_OK)
    read_rest (conn, &answer->body);
  mg_close_connection (conn);
  return rc;
}

/* Passes on the whole lines in the buffer; false when the user stops. */
static bool
take_lines (MdBuf *buf, bool (*on_line) (void *user, MdStr line), void *user)
{
  char *end;

  while (buf->len > 0 && (end = memchr (buf->data, '\n', buf->len)) != NULL)
    {
      size_t len = (size_t)(end - buf->data);

      if (!on_line (user, md_str_n (buf->data, len)))
        return false;
      md_buf_consume (buf, len + 1);
    }
  return true;
}

static void
read_lines (struct mg_connection *conn, bool (*on_line) (void *user, MdStr line), void *user)
{
  MD_AUTO_BUF buf = { 0 };
  char byte;

  /* A larger read would wait until its buffer is full. */
  while (mg_read (conn, &byte, 1) == 1)
    {
      md_buf_append (&buf, md_str_n (&byte, 1));
      if (byte == '\n' && !take_lines (&buf, on_line, user))
        return;
    }
}

int
resource_stream (const ResourceServer *server, const char *path,
                 bool (*on_line) (void *user, MdStr line), void *user, ResourceAnswer *answer,
                 MdError *error)
{
  struct mg_connection *conn = dial (server, error);
  int rc = MD_OK;

  if (conn == NULL)
    return MD_E_IO;
  if (!send_request (conn, server, "GET", path, "", MD_STR ("")))
    rc = md_error_set (error, MD_E_IO, "send", server->address, "the connection broke");
  if (rc == MD_OK)
    rc = read_head (conn, server, answer, error);
  if (rc == MD_OK && answer->status == 200)
    read_lines (conn, on_line, user);
  else if (rc == MD_OK)
    read_rest (conn, &answer->body);
  mg_close_connection (conn);
  return rc;
}
