/* md-control.h -- interfaces between the store, the observed resources and the
   operator server that no other module uses */

#ifndef MD_CONTROL_H
#define MD_CONTROL_H

#include "md-private.h"

/* The store (declared resources) and the observed table offer the same three
   operations. Each appends JSON text to out.

   get: appends one resource and sets *version to its version. Returns MD_OK or
   MD_E_NOT_FOUND.
   list: appends all resources of a kind, separated by commas. A watch from *version
   reports every change that the list does not contain.
   next: appends the first change of a kind after *version as one JSON object without
   a line end, waiting for it no longer than wait. Sets *version to the version to
   continue from. Returns MD_OK, MD_E_NOT_FOUND when there was no change in time, or
   MD_E_TOO_OLD when changes after *version are no longer kept.

   The store functions return MD_E_LIMIT until the configuration has been read
   completely, because they would report an earlier state.

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

/* md_buf_json_string: append s as a JSON string with its quotes. */
void md_buf_json_string (MdBuf *out, MdStr s);

/* md_cond_init: initialize a condition variable that uses CLOCK_MONOTONIC.
   md_cond_wait_until: wait for such a condition variable until a time of md_now().
   Returns false without waiting when that time has passed, true otherwise; a wakeup
   may be spurious. */
#include <pthread.h>
void md_cond_init (pthread_cond_t *cond);
bool md_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *lock, MdTime until);

#endif
