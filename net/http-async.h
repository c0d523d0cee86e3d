/* http-async.h -- HTTP calls of a daemon, made without blocking its engine thread */

#ifndef HTTP_ASYNC_H
#define HTTP_ASYNC_H

#include "md-private.h"

/* A set of calls that share connections, served by the poll of an MdLinks. All
   functions belong to the engine thread. */
typedef struct MdHttp MdHttp;

typedef struct
{
  const char *method;  /* HTTP method */
  const char *address; /* ip:port */
  const char *target;  /* path and query */
  const char *headers; /* further header lines, each ended by CRLF; NULL none */
  MdStr body;          /* copied; empty none */
  MdTime timeout;      /* from the start of the call to the end of the answer */
} MdHttpCall;

typedef struct
{
  int status;     /* HTTP status, 0 when no complete answer arrived */
  MdStr body;     /* of the answer */
  MdTime elapsed; /* since the call was made */
  MdError error;  /* when status is 0; MD_E_TIMEOUT and MD_E_IO leave it open whether
                     the call was carried out */
} MdHttpAsyncResponse;

typedef void (*MdHttpDone) (void *user, const MdHttpAsyncResponse *answer);

/* md_http_new: at most max_connections to one address; further calls wait. NULL
   when out of memory. */
MdHttp *md_http_new (MdLinks *links, long max_connections);
/* md_http_free: ends all calls without calling back. */
void md_http_free (MdHttp *http);

/* md_http_start: make a call; done is called once from md_http_poll, also on
   failure. A call on an idle connection that the peer has closed meanwhile is sent
   again on a new one, so it must be idempotent. MD_E_MEMORY: not made. */
int md_http_start (MdHttp *http, const MdHttpCall *call, MdHttpDone done, void *user);

/* md_http_poll: call back for calls that have ended; to be called after every
   md_links_poll. Returns when it must be called again at the latest. */
MdTime md_http_poll (MdHttp *http);

#endif
