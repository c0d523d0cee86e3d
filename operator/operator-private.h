/* operator-private.h -- declarations shared by the source files of the operator server */

#ifndef OPERATOR_PRIVATE_H
#define OPERATOR_PRIVATE_H

#include "md-control.h"

#include <civetweb.h>

struct MdOperator
{
  struct mg_context *ctx;     /* CivetWeb server, owned */
  const MdSettings *settings; /* address, threads and tokens; not owned */
  MdStore *store;             /* declared resources, not owned */
  MdObserved *observed;       /* read-only resources, not owned */
  unsigned max_watches;       /* limit of watches */
  unsigned max_changes;       /* limit of changes */
  _Atomic unsigned watches;   /* open now */
  _Atomic unsigned changes;   /* in progress now */
  _Atomic bool stopping;      /* set by md_operator_end_watches; ends all watches */
};

/* One request to /v1/resources. */
typedef struct
{
  MdOperator *server;
  struct mg_connection *conn;         /* to the client */
  const struct mg_request_info *info; /* method, path and headers; owned by conn */
  const MdToken *token;               /* authenticated customer or operator */
  MdStr kind;                         /* resource kind */
  MdStr name;                         /* resource name, empty for the whole kind */
  bool declared;                      /* the kind is in the store and can be changed */
} OpRequest;

/* operator_respond: send a complete response. type is the Content-Type; headers is empty
   or header lines that each end in CRLF. Returns the status. */
int operator_respond (struct mg_connection *conn, int status, const char *type, const char *headers,
                      MdStr body);

/* operator_problem: send a problem response (RFC 9457). members is empty or further JSON
   members, each preceded by a comma. Returns the status. */
int operator_problem (struct mg_connection *conn, int status, const char *headers,
                      const char *members, const char *detail);

/* operator_not_ready: send the response 503 that applies until the configuration has been
   read. Returns the status. */
int operator_not_ready (struct mg_connection *conn);

/* operator_acquire: increment *count if it is below max, else return false. Limits the
   server threads that one kind of request occupies.
   operator_release: decrement *count after a successful operator_acquire(). */
bool operator_acquire (_Atomic unsigned *count, unsigned max);
void operator_release (_Atomic unsigned *count);

/* operator_resources: CivetWeb handler of /v1/resources; data is the MdOperator. */
int operator_resources (struct mg_connection *conn, void *data);
/* operator_watch: stream changes after a decimal version until the client disconnects,
   falls behind or the server stops. Occupies the calling thread. Returns the status. */
int operator_watch (OpRequest *request, const char *version_text);

/* operator_authenticate: return the token of a request. Without a valid token it sends a
   401 response, sets *status and returns NULL. */
const MdToken *operator_authenticate (MdOperator *server, struct mg_connection *conn, int *status);

/* operator_customer_filter: the customer whose resources the client may read; empty for
   operators, who may read all. */
static inline MdStr
operator_customer_filter (const OpRequest *request)
{
  return request->token->is_operator ? MD_STR ("") : md_str (request->token->name);
}

#endif
