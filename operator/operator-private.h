/* operator-private.h -- the parts of the operator server share these */

#ifndef OPERATOR_PRIVATE_H
#define OPERATOR_PRIVATE_H

#include "md-control.h"

#include <civetweb.h>

struct MdOperator
{
  struct mg_context *ctx;     /* HTTP server */
  const MdSettings *settings; /* tokens */
  MdStore *store;             /* declared resources */
  MdObserved *observed;       /* read-only resources */
  unsigned max_watches;       /* bound on watches */
  unsigned max_changes;       /* bound on changes in progress */
  _Atomic unsigned watches;   /* open watches */
  _Atomic unsigned changes;   /* changes in progress */
  _Atomic bool stopping;      /* watches end */
};

/* One request to /v1/resources. */
typedef struct
{
  MdOperator *server;                 /* receiver */
  struct mg_connection *conn;         /* client */
  const struct mg_request_info *info; /* method, headers */
  const MdToken *token;               /* who asks */
  MdStr kind;                         /* resource kind */
  MdStr name;                         /* resource name, empty for the kind itself */
  bool declared;                      /* kind can be written */
} OpRequest;

/* operator_respond: a whole answer. headers is empty or lines that end in CRLF.
   Returns the status. */
int operator_respond (struct mg_connection *conn, int status, const char *type, const char *headers,
                      MdStr body);

/* operator_problem: an RFC 9457 problem. members is empty or further members, each
   with a comma in front. */
int operator_problem (struct mg_connection *conn, int status, const char *headers,
                      const char *members, const char *detail);

/* operator_not_ready: the answer while no configuration has been read. */
int operator_not_ready (struct mg_connection *conn);

/* operator_acquire, operator_release: count of a bounded use of server threads. */
bool operator_acquire (_Atomic unsigned *count, unsigned max);
void operator_release (_Atomic unsigned *count);

int operator_resources (struct mg_connection *conn, void *data);
int operator_watch (OpRequest *request, const char *version_text);

/* operator_authenticate: the token of a request, NULL after an answer was sent. */
const MdToken *operator_authenticate (MdOperator *server, struct mg_connection *conn, int *status);

/* operator_customer_filter: limits reads to the resources of this customer; empty for
   operators. */
static inline MdStr
operator_customer_filter (const OpRequest *request)
{
  return request->token->is_operator ? MD_STR ("") : md_str (request->token->name);
}

#endif
