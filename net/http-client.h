/* http-client.h -- one HTTP request of a command-line client */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "md-private.h"

typedef struct
{
  const char *address; /* ip:port */
  const char *method;  /* HTTP method */
  const char *path;    /* path and query */
  const char *token;   /* bearer token, NULL none */
  const char *headers; /* further header lines, each with CRLF, NULL none */
  MdStr body;          /* request body */
  MdTime timeout;      /* for the answer */
} MdHttpRequest;

typedef struct
{
  int status; /* HTTP status */
  MdBuf body; /* answer body */
} MdHttpResponse;

/* md_http_call: send a request and read the whole answer. Returns MD_OK when an
   answer of any status arrived. After MD_E_IO the request may have been carried
   out or not. Clear the response with md_http_response_clear in every case. */
int md_http_call (const MdHttpRequest *request, MdHttpResponse *response, MdError *error);
void md_http_response_clear (MdHttpResponse *response);

#endif
