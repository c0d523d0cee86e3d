/* fixture-util.c -- routes and traits of workers for tests

   The last routes and all traits are kept, so that nothing counts as leaked. */

#include "fixture.h"

#include <check.h>

#define MAX_KEPT 1024

MdRoute *
test_route (MdRoute fields)
{
  static MdRoute *kept[MAX_KEPT];
  static size_t n;
  MdRoute *route;

  if (fields.pool.len == 0)
    fields.pool = MD_STR ("calc");
  if (fields.max_attempts == 0)
    fields.max_attempts = 2;
  fields.label = fields.name;
  route = md_route_new (&fields);
  ck_assert_ptr_nonnull (route);
  md_route_unref (kept[n % MAX_KEPT]);
  kept[n++ % MAX_KEPT] = route;
  return route;
}

MdTraits *
test_traits (const char *pool, const char *kind, const char *rack)
{
  return test_worker ("i-1", pool, kind, rack);
}

MdTraits *
test_worker (const char *name, const char *pool, const char *kind, const char *rack)
{
  static MdTraits *kept[MAX_KEPT];
  static size_t n;
  MdStr labels[] = { md_str (kind), md_str (rack) };
  MdTraits *traits
      = md_traits_new (md_str (name), md_str (pool), labels, rack != NULL ? 2 : kind != NULL);

  ck_assert_ptr_nonnull (traits);
  for (size_t i = 0; i < n; i++)
    if (md_traits_equal (kept[i], traits))
      {
        md_traits_unref (traits);
        return md_traits_ref (kept[i]);
      }
  ck_assert_uint_lt (n, MAX_KEPT);
  kept[n++] = traits;
  return md_traits_ref (traits);
}
