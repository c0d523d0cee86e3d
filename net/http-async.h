/* http-async.h -- non-blocking HTTP client for the engine thread of a daemon */

#ifndef HTTP_ASYNC_H
#define HTTP_ASYNC_H

#include "md-private.h"

/* A set of calls that share connections. Their sockets are polled by an MdLinks, so all
   functions must be called on its engine thread. */
typedef struct MdHttp MdHttp;

typedef struct
{
  const char *method;
  const char *address; /* ip:port */
  const char *target;  /* path and query */
  const char *headers; /* additional header lines, each ended by CRLF; NULL: none */
  MdStr body;          /* copied; empty: none */
  MdTime timeout;      /* from the start of the call to the end of the response */
  bool idempotent;     /* may be sent again when a reused connection breaks before a response */
} MdHttpCall;

typedef struct
{
  int status;     /* HTTP status, 0 without a complete response */
  MdStr body;     /* of the response; valid during the callback */
  MdTime elapsed; /* since md_http_start */
  MdError error;  /* set when status is 0; after MD_E_TIMEOUT and MD_E_IO it is unknown
                     whether the server has processed the call, unless it was refused */
  bool refused;   /* nobody listens at the address: the request was not sent */
} MdHttpAsyncResponse;

typedef void (*MdHttpDone) (void *user, const MdHttpAsyncResponse *response);

/* md_http_new: create a set with at most max_connections to one address; further calls wait
   for a connection. links must outlive it. NULL when out of memory. */
MdHttp *md_http_new (MdLinks *links, long max_connections);
/* md_http_free: abort all calls without invoking their callbacks. */
void md_http_free (MdHttp *http);

/* md_http_start: start a call. done is called exactly once from md_http_poll, also on failure.
   Unless the call is idempotent, its request is sent at most once: when the connection breaks
   after that, the call ends with MD_E_IO. Returns MD_OK, or MD_E_MEMORY when the call was not
   started and done will not be called. */
int md_http_start (MdHttp *http, const MdHttpCall *call, MdHttpDone done, void *user);

/* md_http_poll: invoke the callbacks of calls that have ended. Must be called after every
   md_links_poll. Returns the time at which it must be called again at the latest: at once when a
   call has ended, because that may have made another one due. */
MdTime md_http_poll (MdHttp *http);

#endif
