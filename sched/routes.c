/* routes.c -- routing of requests to queues by host and path prefix

   The table is sorted by length of prefix, longest first, and then by its bytes. A search is binary
   among the prefixes of one length, so that the first match is the longest. */

#include "routes.h"

#include <stddef.h>
#include <strings.h>

/* ------------------------------------------------------------------ */
/* Routes                                                             */

/* A route with its owners; its texts follow. */
typedef struct
{
  atomic_uint owners;
  MdRoute route;
} SharedRoute;

MdRoute *
md_route_new (const MdRoute *fields)
{
  size_t texts = fields->name.len + fields->label.len + fields->host.len + fields->prefix.len
                 + fields->pool.len + 5;
  SharedRoute *shared = malloc (sizeof *shared + texts);
  char *place;
  MdRoute *route;

  if (shared == NULL)
    return NULL;
  place = (char *)(shared + 1);
  atomic_init (&shared->owners, 1);
  route = &shared->route;
  *route = *fields;
  route->name = md_str_store (&place, fields->name);
  route->label = md_str_store (&place, fields->label);
  route->host = md_str_store (&place, fields->host);
  route->prefix = md_str_store (&place, fields->prefix);
  route->pool = md_str_store (&place, fields->pool);
  return route;
}

static SharedRoute *
shared_of (MdRoute *route)
{
  return (SharedRoute *)((char *)route - offsetof (SharedRoute, route));
}

MdRoute *
md_route_ref (MdRoute *route)
{
  atomic_fetch_add_explicit (&shared_of (route)->owners, 1, memory_order_relaxed);
  return route;
}

void
md_route_unref (MdRoute *route)
{
  if (route != NULL
      && atomic_fetch_sub_explicit (&shared_of (route)->owners, 1, memory_order_acq_rel) == 1)
    free (shared_of (route));
}

bool
md_route_is_same_queue (const MdRoute *a, const MdRoute *b)
{
  return a == b || (md_str_equal (a->prefix, b->prefix) && md_str_equal (a->host, b->host));
}

/* ------------------------------------------------------------------ */
/* Table                                                              */

void
md_routes_free (MdRoutes *routes)
{
  if (routes == NULL)
    return;
  for (size_t i = 0; i < routes->n; i++)
    md_route_unref (routes->routes[i]);
  free (routes->routes);
  free (routes);
}

/* Order of two prefixes in the table. */
static int
compare_prefixes (MdStr a, MdStr b)
{
  if (a.len != b.len)
    return a.len > b.len ? -1 : 1;
  return a.len > 0 ? memcmp (a.data, b.data, a.len) : 0;
}

static int
compare_routes (const void *a, const void *b)
{
  const MdRoute *const *x = a;
  const MdRoute *const *y = b;

  return compare_prefixes ((*x)->prefix, (*y)->prefix);
}

void
md_routes_sort (MdRoutes *routes)
{
  if (routes->n > 0)
    qsort (routes->routes, routes->n, sizeof (MdRoute *), compare_routes);
}

static MdStr
strip_port (MdStr host)
{
  for (size_t i = 0; i < host.len; i++)
    if (host.data[i] == ':')
      return md_str_n (host.data, i);
  return host;
}

/* The first route from first on whose prefix does not come before this one. */
static size_t
lower_bound (const MdRoutes *routes, size_t first, MdStr prefix)
{
  size_t end = routes->n;

  while (first < end)
    {
      size_t middle = first + (end - first) / 2;

      if (compare_prefixes (routes->routes[middle]->prefix, prefix) < 0)
        first = middle + 1;
      else
        end = middle;
    }
  return first;
}

static bool
has_host (const MdRoute *route, MdStr host)
{
  return route->host.len == host.len && strncasecmp (route->host.data, host.data, host.len) == 0;
}

MdRoute *
md_routes_find (const MdRoutes *routes, MdStr host, MdStr path)
{
  MdStr prefix = path;
  size_t i = 0;

  host = strip_port (host);
  while ((i = lower_bound (routes, i, prefix)) < routes->n)
    {
      MdRoute *route = routes->routes[i];

      if (route->prefix.len < prefix.len)
        prefix.len = route->prefix.len;
      else if (!md_str_equal (route->prefix, prefix))
        prefix.len--; /* no further prefix of this length */
      else if (has_host (route, host))
        return route;
      else
        i++;
    }
  return NULL;
}
