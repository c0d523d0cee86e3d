/* route-util.c -- routes for requests of tests */

#include "route.h"

#include <check.h>

#define MAX_TEST_ROUTES 256

static MdRoute *kept[MAX_TEST_ROUTES];
static size_t n_kept;

MdRoute *
test_route (MdRoute fields)
{
  MdRoute *route;

  if (fields.pool.len == 0)
    fields.pool = MD_STR ("calc");
  if (fields.max_attempts == 0)
    fields.max_attempts = 2;
  fields.label = fields.name;
  route = md_route_new (&fields);
  ck_assert_ptr_nonnull (route);
  md_route_unref (kept[n_kept % MAX_TEST_ROUTES]);
  kept[n_kept++ % MAX_TEST_ROUTES] = route;
  return route;
}
