/* http.h -- the part of HTTP/1.1 that the stand-ins need */

#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stddef.h>
#include <stdint.h>

/* A request that has been read; its strings live until the next one of the connection. */
typedef struct
{
  char method[8];
  char path[256];
  char query[512];
  char instance[80]; /* X-Mulberrydrift-Expect-Instance; empty: not stated */
  const char *body;
  size_t len; /* bytes of the body */
} Request;

/* Serves one request; writes the response with respond. */
typedef void (*Handler) (int fd, const Request *request);

/* serve: listen on "ip:port" and serve each connection in a thread. Returns only on failure. */
void serve (const char *address, Handler handler);
void respond (int fd, int status, const char *type, const void *body, size_t len);
/* query_value: copy a value of the query, empty if there is none. */
void query_value (const Request *request, const char *name, char *out, size_t size);
/* call: send a request to "ip:port" and read the response. Returns the status, 0 without a response
   within the time. The body is terminated and must be freed; headers may be "". */
int call (const char *address, const char *method, const char *path, const char *headers,
          const void *body, size_t len, int timeout_ms, char **answer);
int64_t steady_ms (void);
int64_t unix_ms (void);

#endif
