/* http-client.c -- one HTTP request of a command-line client

   A connection per call: these clients make one or a few calls and end. */

#include "http-client.h"

#include <civetweb.h>
#include <stdio.h>

static int
read_body (struct mg_connection *conn, MdHttpResponse *response, MdError *error, const char *peer)
{
  const struct mg_response_info *info = mg_get_response_info (conn);
  char chunk[16384];
  int n;

  response->status = info->status_code;
  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    md_buf_append (&response->body, md_str_n (chunk, (size_t)n));
  if (n < 0 || (info->content_length >= 0 && response->body.len < (size_t)info->content_length))
    return md_error_set (error, MD_E_IO, "receive", peer, "the answer was cut off");
  return MD_OK;
}

int
md_http_call (const MdHttpRequest *request, MdHttpResponse *response, MdError *error)
{
  char host[MD_ADDRESS_BYTES];
  char reason[200] = "";
  struct mg_connection *conn;
  MD_AUTO_BUF out = { 0 };
  int port;
  int result;

  memset (response, 0, sizeof *response);
  if (md_address_split (md_str (request->address), host, &port) != MD_OK)
    return md_error_set (error, MD_E_INVALID, "connect", request->address, "not an ip:port");
  conn = mg_connect_client (host, port, 0, reason, sizeof reason);
  if (conn == NULL)
    return md_error_set (error, MD_E_IO, "connect", request->address, "%s", reason);
  md_buf_printf (&out,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
                 "Content-Length: %zu\r\nConnection: close\r\n%s\r\n",
                 request->method, request->path, request->address,
                 request->token ? request->token : "", request->body.len,
                 request->headers ? request->headers : "");
  md_buf_append (&out, request->body);
  mg_write (conn, out.data, out.len);
  if (mg_get_response (conn, reason, sizeof reason, (int)(request->timeout / MD_MS)) < 0)
    result = md_error_set (error, MD_E_IO, "receive", request->address, "%s", reason);
  else
    result = read_body (conn, response, error, request->address);
  mg_close_connection (conn);
  return result;
}

void
md_http_response_clear (MdHttpResponse *response)
{
  md_buf_clear (&response->body);
}
