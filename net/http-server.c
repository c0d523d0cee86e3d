/* http-server.c -- HTTP helpers that CivetWeb does not provide */

#include "http-server.h"

#include <stdio.h>
#include <strings.h>

int
md_http_read (struct mg_connection *conn, long long content_length, size_t max, MdBuf *body)
{
  char chunk[8192];
  int n;

  if (content_length >= 0 && (unsigned long long)content_length > max)
    return MD_E_LIMIT;
  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      if (body->len + (size_t)n > max)
        return MD_E_LIMIT;
      md_buf_append (body, md_str_n (chunk, (size_t)n));
      if (body->failed)
        return MD_E_MEMORY;
    }
  return n < 0 || (content_length >= 0 && body->len != (size_t)content_length) ? MD_E_IO : MD_OK;
}

int
md_http_read_body (struct mg_connection *conn, size_t max, MdBuf *body)
{
  switch (md_http_read (conn, mg_get_request_info (conn)->content_length, max, body))
    {
    case MD_OK:
      return 0;
    case MD_E_LIMIT:
      return 413;
    default:
      return 400;
    }
}

bool
md_http_skip_body (struct mg_connection *conn, size_t max)
{
  char chunk[8192];
  size_t skipped = 0;
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      skipped += (size_t)n;
      if (skipped > max)
        return false;
    }
  return n == 0;
}

int
md_http_error (struct mg_connection *conn, int status, const char *message MD_UNUSED)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *text = mg_get_response_code_text (conn, status);
  bool has_body = status >= 200 && status != 204 && status != 304;
  char body[128];
  int len = snprintf (body, sizeof body, "Error %d: %s\n", status, text);

  if (info != NULL && info->request_method != NULL && strcmp (info->request_method, "HEAD") == 0)
    body[0] = '\0';
  mg_disable_connection_keep_alive (conn);
  if (has_body)
    mg_printf (conn,
               "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
               "Connection: close\r\n\r\n%s",
               status, text, len, body);
  else
    mg_printf (conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n\r\n", status, text);
  return 0;
}

int
md_socket_find (const void *peer, socklen_t len, int first, int end)
{
  for (int fd = first; fd < end; fd++)
    {
      struct sockaddr_storage sa = { 0 };
      socklen_t found = sizeof sa;

      if (getpeername (fd, (struct sockaddr *)&sa, &found) == 0 && found == len
          && memcmp (&sa, peer, len) == 0)
        return fd;
    }
  return -1;
}

bool
md_header_is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive",     "Proxy-Authenticate", "Proxy-Authorization",
          "TE",         "Trailer",        "Transfer-Encoding",  "Upgrade",
          "Host",       "Content-Length", "Proxy-Connection",   "Expect" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (names); i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}
