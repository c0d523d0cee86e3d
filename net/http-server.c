/* http-server.c -- parts of an HTTP server that CivetWeb leaves out */

#include "http-server.h"

#include <strings.h>

int
md_http_read_body (struct mg_connection *conn, size_t max, MdBuf *body)
{
  long long stated = mg_get_request_info (conn)->content_length;
  char chunk[8192];
  int n;

  if (stated > (long long)max)
    return 413;
  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      if (body->len + (size_t)n > max)
        return 413;
      md_buf_append (body, md_str_n (chunk, (size_t)n));
    }
  if (n < 0 || body->failed || (stated >= 0 && body->len != (size_t)stated))
    return 400;
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
md_header_is_hop (const char *name)
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
