/* http-client.h -- HTTP requests of a thread that may wait for the answer

   For the command line and for the threads that read and write the platform's log. An
   engine thread uses http-async.h instead. */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "md-private.h"

#include <jansson.h>

/* md_http_init: initialize the HTTP library, from any thread, any number of times.
   To be called before any other function of CivetWeb. */
void md_http_init (void);

typedef struct
{
  const char *address; /* ip:port */
  const char *method;  /* HTTP method */
  const char *path;    /* path and query */
  const char *token;   /* bearer token, NULL none */
  const char *headers; /* further header lines, each with CRLF, NULL none */
  MdStr body;          /* JSON text, empty none */
  MdTime timeout;      /* for the first byte of the answer and for each pause in it */
  size_t max_bytes;    /* of the answer's body, 0 no bound */

  /* With on_line, the lines of an answer with status 200 are passed on as they arrive and
     not kept; false ends the exchange. */
  bool (*on_line) (void *user, MdStr line);
  void *user; /* first argument of on_line */
} MdHttpRequest;

typedef struct
{
  int status;       /* HTTP status, 0 when there was no answer */
  bool sent;        /* the request may have reached the server */
  uint64_t version; /* ETag, 0 none */
  MdBuf body;       /* of the answer */
} MdHttpResponse;

/* A connection that serves one request after the other. Zero-initialized it is closed. */
typedef struct
{
  struct mg_connection *conn;     /* NULL when there is none */
  char address[MD_ADDRESS_BYTES]; /* peer of conn */
} MdHttpConnection;

/* md_http_call: send a request on a connection of its own and read the whole answer.
   Returns MD_OK when an answer of any status arrived. Errors: MD_E_INVALID address;
   MD_E_NOT_FOUND not connected, nothing was sent; MD_E_TIMEOUT no answer in time, MD_E_IO
   the connection broke, MD_E_LIMIT the answer is over max_bytes, MD_E_MEMORY: the request may
   have been carried out. The caller zero-initializes response and clears it in every case. */
int md_http_call (const MdHttpRequest *request, MdHttpResponse *response, MdError *error);

/* md_http_call_on: the same on a connection that is kept for the next request. A kept
   connection that breaks is replaced once, so the request must be harmless to repeat. */
int md_http_call_on (MdHttpConnection *connection, const MdHttpRequest *request,
                     MdHttpResponse *response, MdError *error);
void md_http_disconnect (MdHttpConnection *connection);

/* md_http_response_json: the body; NULL when it is not JSON. The caller releases it. */
json_t *md_http_response_json (const MdHttpResponse *response);

void md_http_response_clear (MdHttpResponse *response);

#endif
