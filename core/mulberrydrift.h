/* mulberrydrift.h -- public interface of libmulberrydrift.a, one header for each part

   The library contains the coordination logic of the mulberrydrift dispatcher. It
   does no I/O, starts no thread, reads no clock and keeps no global state. The
   caller passes in time, random numbers and messages, and retrieves decisions to
   carry out.

   Conventions

   - MdTime is a monotonic time in microseconds. Wall-clock times are in
     milliseconds since the epoch and have the suffix _ms.
   - Functions that can fail return MD_OK (0) or a negative MD_E_ code. Functions
     that take an MdError * fill it in on failure; NULL is allowed.
   - An MdStr borrows its bytes; the callee copies what it keeps.
   - Objects are not thread-safe. The caller serializes all calls on one object.
   - Every object is created by md_X_new and freed by md_X_free, which accepts NULL.
     md_X_new returns NULL only when memory runs out.
   - md_X_next returns one pending decision at a time, and false when there is none.
     Pointers inside a decision are valid until the next call on the object. */

#ifndef MULBERRYDRIFT_H
#define MULBERRYDRIFT_H

#define MD_VERSION "0.8.1"

#include "mulberrydrift-config.h"
#include "mulberrydrift-dispatch.h"
#include "mulberrydrift-ledger.h"
#include "mulberrydrift-members.h"
#include "mulberrydrift-shard.h"
#include "mulberrydrift-types.h"

#endif
