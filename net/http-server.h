/* http-server.h -- parts of HTTP that CivetWeb leaves out */

#ifndef MD_HTTP_SERVER_H
#define MD_HTTP_SERVER_H

#include "md-private.h"

#include <civetweb.h>
#include <sys/socket.h>

/* md_http_read: append the body of a request or an answer of a stated length, negative when
   none is stated. MD_E_LIMIT longer than max bytes, MD_E_MEMORY, MD_E_IO it broke off. */
int md_http_read (struct mg_connection *conn, long long stated, size_t max, MdBuf *body);

/* md_http_read_body: append the body of a request, which must have a stated length or be
   chunked and must arrive whole. Returns 0, or the status of a refusal: 413 when it is
   longer than max bytes, 400 when it broke off. What is left of a refused body must not
   be taken for a request. */
int md_http_read_body (struct mg_connection *conn, size_t max, MdBuf *body);

/* md_socket_find: the lowest descriptor from first to below end that is connected to this
   address; -1 when there is none. CivetWeb does not give its sockets away. */
int md_socket_find (const void *peer, socklen_t len, int first, int end);

/* md_header_is_hop_by_hop: a header field that belongs to one connection. */
bool md_header_is_hop_by_hop (const char *name);

#endif
