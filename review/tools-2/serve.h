/* serve.h -- a small HTTP server for the stand-ins of review 2: a thread for each connection */

#ifndef SERVE_H
#define SERVE_H

#include <arpa/inet.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

typedef struct
{
  int fd;
  char method[8];
  char path[256];   /* without the query */
  char query[512];  /* empty: none */
  const char *head; /* the lines of the header, each ended by \r\n */
  const char *body;
  size_t body_len;
} Request;

int64_t milliseconds (clockid_t clock);
struct sockaddr_in parse_address (const char *text);
bool send_all (int fd, const char *text, size_t len);

/* The value of a header, ended by \r; NULL when there is none. */
const char *find_header (const char *head, const char *name);

/* Copies a parameter of the query; returns whether there is one. */
bool find_parameter (const Request *request, const char *name, char *out, size_t size);

bool respond (const Request *request, int status, const char *type, const char *body, size_t len);

/* Listens and serves in threads of its own. The handler returns false to close the connection. */
int serve (const char *address, bool (*handler) (const Request *request));

#endif
