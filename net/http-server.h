/* http-server.h -- HTTP helpers that CivetWeb does not provide */

#ifndef MD_HTTP_SERVER_H
#define MD_HTTP_SERVER_H

#include "md-private.h"

#include <civetweb.h>
#include <sys/socket.h>

/* md_http_read: read the body of a request or response and append it to body. content_length is
   negative when unknown. Errors: MD_E_LIMIT: longer than max bytes. MD_E_MEMORY. MD_E_IO: the
   body is incomplete. */
int md_http_read (struct mg_connection *conn, long long content_length, size_t max, MdBuf *body);

/* md_http_read_body: read the body of a request, which must have a Content-Length or be chunked,
   and append it to body. Returns 0, or the HTTP status of the error: 413 when the body is
   longer than max bytes, 400 when it is incomplete. After an error the caller must ensure
   that the rest of the body is not parsed as the next request. */
int md_http_read_body (struct mg_connection *conn, size_t max, MdBuf *body);

/* md_http_skip_body: read and drop the body of a request, of which at most max bytes are left.
   Returns false when it does not end within them; the rest must not be parsed as the next request.
   */
bool md_http_skip_body (struct mg_connection *conn, size_t max);

/* md_http_error: for mg_callbacks.http_error: send a short page for an error that CivetWeb detects,
   such as a malformed request, and close the connection. CivetWeb's own page has a Date, for which
   it calls gmtime, whose result all threads share. It does so as well for preflight requests (CORS),
   which the option access_control_allow_origin "" leaves to the handlers. */
int md_http_error (struct mg_connection *conn, int status, const char *message);

/* md_socket_find: the lowest descriptor in [first, end) that is connected to the address peer
   of len bytes; -1 when there is none. Needed because CivetWeb does not expose its sockets. */
int md_socket_find (const void *peer, socklen_t len, int first, int end);

/* md_header_is_hop_by_hop: whether a header field applies to one connection only and must not be
   forwarded (RFC 9110, section 7.6.1); includes Host, Content-Length and Expect. */
bool md_header_is_hop_by_hop (const char *name);

#endif
