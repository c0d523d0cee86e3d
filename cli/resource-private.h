/* resource-private.h -- the parts of the operators' client share these */

#ifndef RESOURCE_PRIVATE_H
#define RESOURCE_PRIVATE_H

#include "md-private.h"

#include <jansson.h>

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
