/* resource-private.h -- the parts of the operators' client share these */

#ifndef RESOURCE_PRIVATE_H
#define RESOURCE_PRIVATE_H

#include "md-private.h"

#include <jansson.h>

/* ------------------------------------------------------------------ */
/* HTTP (resource-http.c)                                              */

typedef struct
{
  char address[MD_ADDRESS_BYTES]; /* operator address of any entry */
  const char *token;              /* bearer token */
} ResourceServer;

typedef struct
{
  int status;       /* HTTP status, 0 when there was no answer */
  bool sent;        /* the request may have reached the server */
  uint64_t version; /* ETag, 0 none */
  MdBuf body;       /* of the answer */
} ResourceAnswer;

/* resource_request: one exchange. condition is empty or a header line that ends in
   CRLF. Returns MD_OK when an answer was read, whatever its status. */
int resource_request (const ResourceServer *server, const char *method, const char *path,
                      const char *condition, MdStr body, ResourceAnswer *answer, MdError *error);

/* resource_stream: GET whose body is read line by line; on_line returns false to
   stop. The body of an answer other than 200 is kept in answer. */
int resource_stream (const ResourceServer *server, const char *path,
                     bool (*on_line) (void *user, MdStr line), void *user, ResourceAnswer *answer,
                     MdError *error);

/* ------------------------------------------------------------------ */
/* YAML (resource-yaml.c)                                              */

typedef struct
{
  char kind[MD_NAME_BYTES]; /* resource kind */
  char name[MD_NAME_BYTES]; /* resource name */
  json_t *spec;             /* owned */
  bool has_version;         /* version is given */
  uint64_t version;         /* expected version, 0 must not exist */
} ResourceDocument;

/* resource_load: read the documents of a file. Faults are written to faults as
   "file:line: reason" lines. The caller frees *documents with
   resource_documents_free. */
int resource_load (const char *path, ResourceDocument **documents, size_t *n, MdBuf *faults);
void resource_documents_free (ResourceDocument *documents, size_t n);

#endif
