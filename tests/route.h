/* route.h -- routes for requests of tests */

#ifndef MD_TEST_ROUTE_H
#define MD_TEST_ROUTE_H

#include "routes.h"

/* test_route: a route with these fields. Without them, its tasks run on the pool "calc" and may fail
   twice. It is kept for as long as 256 further routes are not asked for. */
MdRoute *test_route (MdRoute fields);

#endif
