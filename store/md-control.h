/* md-control.h -- interfaces between store, observed resources and the operator
   server that no other module uses */

#ifndef MD_CONTROL_H
#define MD_CONTROL_H

#include "md-private.h"

/* Both sources of resources, the store (declared) and the observed table, give
   out JSON text in the same three ways.

   get: one resource. MD_OK or MD_E_NOT_FOUND.
   list: all resources of a kind, separated by commas; *version is the one from
   which a watch continues the list.
   next: the first change of a kind after *version, as one JSON object without a
   line end; waits at most wait. Sets *version to the one to continue from.
   MD_OK, MD_E_NOT_FOUND (none in time) or MD_E_TOO_OLD.

   The store answers MD_E_LIMIT while no configuration has been read: what it has by
   then may be an earlier state.

   A customer that is not empty limits the result to its own resources. */

int md_store_get (MdStore *store, MdStr kind, MdStr name, MdBuf *out, uint64_t *version);
int md_store_list (MdStore *store, MdStr kind, MdBuf *out, uint64_t *version);
int md_store_next (MdStore *store, MdStr kind, uint64_t *version, MdTime wait, MdBuf *out);

bool md_observed_has_kind (MdStr kind);
int md_observed_get (MdObserved *observed, MdStr kind, MdStr name, MdStr customer, MdBuf *out,
                     uint64_t *version);
int md_observed_list (MdObserved *observed, MdStr kind, MdStr customer, MdBuf *out,
                      uint64_t *version);
int md_observed_next (MdObserved *observed, MdStr kind, MdStr customer, uint64_t *version,
                      MdTime wait, MdBuf *out);

/* md_buf_json_string: append a JSON string with its quotes. */
void md_buf_json_string (MdBuf *out, MdStr s);

/* md_cond_init, md_cond_wait_until: a condition variable on CLOCK_MONOTONIC and a
   wait until a time of md_now; false when that time has come. */
#include <pthread.h>
void md_cond_init (pthread_cond_t *cond);
bool md_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *lock, MdTime until);

#endif
