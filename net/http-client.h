/* http-client.h -- blocking HTTP client

   For the command line and for the threads that read and write the platform's log. An
   engine thread must use http-async.h instead. */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "md-private.h"

#include <jansson.h>

/* md_http_init: initialize CivetWeb. Must be called before any other function of CivetWeb; may
   be called repeatedly. Thread-safe. */
void md_http_init (void);

typedef struct
{
  const char *address; /* ip:port */
  const char *method;
  const char *path;    /* path and query */
  const char *token;   /* bearer token; NULL: none */
  const char *headers; /* additional header lines, each ended by CRLF; NULL: none */
  MdStr body;          /* JSON text; empty: none */
  MdTime timeout;      /* for the first byte of the response and for each pause in it */
  size_t max_bytes;    /* limit of the response body, 0 none */

  /* When set, the body of a response with status 200 is not stored but passed to on_line, line
     by line as it arrives. The exchange ends when on_line returns false. NULL: none. */
  bool (*on_line) (void *user, MdStr line);
  void *user; /* first argument of on_line */
} MdHttpRequest;

typedef struct
{
  int status;       /* HTTP status, 0 without a response */
  bool sent;        /* the request may have reached the server */
  uint64_t version; /* from the ETag header, 0 none */
  MdBuf body;       /* owned; see md_http_response_clear */
} MdHttpResponse;

/* A persistent connection for consecutive requests. Zero-initialized, it is closed. */
typedef struct
{
  struct mg_connection *conn;     /* NULL: closed */
  char address[MD_ADDRESS_BYTES]; /* peer of conn */
} MdHttpConnection;

/* md_http_call: send a request on a new connection and read the whole response. Returns MD_OK
   when a response with any status was received. Errors: MD_E_INVALID: the address is
   malformed. MD_E_NOT_FOUND: the connection failed and nothing was sent. The request may have
   been processed after MD_E_TIMEOUT (no response in time), MD_E_IO (the connection broke),
   MD_E_LIMIT (the response is longer than max_bytes) and MD_E_MEMORY. The caller
   zero-initializes response and clears it in every case. */
int md_http_call (const MdHttpRequest *request, MdHttpResponse *response, MdError *error);

/* md_http_call_on: the same on a persistent connection, which is opened when necessary. When a
   reused connection breaks, the request is sent once more on a new one, so it must be
   idempotent. */
int md_http_call_on (MdHttpConnection *connection, const MdHttpRequest *request,
                     MdHttpResponse *response, MdError *error);
void md_http_disconnect (MdHttpConnection *connection);

/* md_http_response_json: parse the body; NULL when it is not valid JSON. The caller releases the
   result with json_decref. */
json_t *md_http_response_json (const MdHttpResponse *response);

void md_http_response_clear (MdHttpResponse *response);

#endif
