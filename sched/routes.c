/* routes.c -- routing of requests to queues by host and path prefix

   The table is sorted by length of prefix, longest first, so that the first match is the
   longest. A linear search is enough: a configuration has a few hundred routes at most. */

#include "routes.h"

#include <strings.h>

void
md_routes_free (MdRoutes *routes)
{
  if (routes == NULL)
    return;
  free (routes->routes);
  free (routes);
}

static int
compare_routes (const void *a, const void *b)
{
  const MdRoute *x = a;
  const MdRoute *y = b;

  if (x->prefix_len != y->prefix_len)
    return x->prefix_len > y->prefix_len ? -1 : 1;
  return strcmp (x->prefix, y->prefix);
}

void
md_routes_sort (MdRoutes *routes)
{
  for (size_t i = 0; i < routes->n; i++)
    routes->routes[i].prefix_len = strlen (routes->routes[i].prefix);
  if (routes->n > 0)
    qsort (routes->routes, routes->n, sizeof routes->routes[0], compare_routes);
}

static MdStr
strip_port (MdStr host)
{
  for (size_t i = 0; i < host.len; i++)
    if (host.data[i] == ':')
      return md_str_n (host.data, i);
  return host;
}

const MdRoute *
md_routes_find (const MdRoutes *routes, MdStr host, MdStr path)
{
  host = strip_port (host);
  for (size_t i = 0; i < routes->n; i++)
    {
      const MdRoute *route = &routes->routes[i];

      if (route->prefix_len <= path.len && memcmp (route->prefix, path.data, route->prefix_len) == 0
          && strlen (route->host) == host.len
          && strncasecmp (route->host, host.data, host.len) == 0)
        return route;
    }
  return NULL;
}
