/* fixture.h -- routes and traits of workers for tests */

#ifndef MD_TEST_FIXTURE_H
#define MD_TEST_FIXTURE_H

#include "routes.h"

/* A route with these fields. Without them, its tasks run on the pool "calc" and may fail twice. It
   is valid until 1,024 further routes have been asked for. */
MdRoute *test_route (MdRoute fields);

/* Traits with these labels; NULL: without the label. The caller is an owner, but need not remove
   itself. test_traits: of the worker "i-1". */
MdTraits *test_worker (const char *name, const char *pool, const char *kind, const char *rack);
MdTraits *test_traits (const char *pool, const char *kind, const char *rack);

#endif
