/* routes.h -- the operator's configuration as an entry uses it */

#ifndef MD_ROUTES_H
#define MD_ROUTES_H

#include "advice.h"

#define MD_HOST_BYTES 128   /* host name, with terminator */
#define MD_PREFIX_BYTES 128 /* path prefix, with terminator */

/* A queue of jobs. */
typedef struct
{
  char name[MD_NAME_BYTES];     /* of the queue */
  char host[MD_HOST_BYTES];     /* of the request */
  char prefix[MD_PREFIX_BYTES]; /* of its path */
  size_t prefix_len;            /* bytes of prefix */
  char pool[MD_NAME_BYTES];     /* upstreams that run its tasks */
  MdTime target_latency;        /* response-time goal beyond the work */
  double slack_factor;          /* response-time goal, as a multiple of the work */
  uint32_t max_attempts;        /* failed runs of a task that fail its job */
  MdAdvisor advisor;            /* has to allow the workers of each step */
} MdRoute;

/* An immutable table, published through RCU at each change. */
typedef struct
{
  uint64_t version;      /* of the configuration */
  MdRoute *routes;       /* n entries, longest prefix first, owned */
  size_t n;              /* routes */
  size_t max_body_bytes; /* of a request; 0 not stated */
} MdRoutes;

void md_routes_free (MdRoutes *routes);

/* md_routes_sort: bring the table into the order that lookups rely on. */
void md_routes_sort (MdRoutes *routes);

/* md_routes_find: the route with this host and the longest prefix of path; NULL
   when there is none. A port in host is ignored. */
const MdRoute *md_routes_find (const MdRoutes *routes, MdStr host, MdStr path);

#endif
