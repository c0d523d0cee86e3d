/* routes.h -- routing table of an entry: from host and path of a request to its queue */

#ifndef MD_ROUTES_H
#define MD_ROUTES_H

#include "advice.h"

#define MD_HOST_BYTES 128   /* host name, with the null byte */
#define MD_PREFIX_BYTES 128 /* path prefix, with the null byte */

/* A queue of jobs and the requests that belong to it. The response-time goal of a job is
   its work times slack_factor plus target_latency. */
typedef struct
{
  char name[MD_NAME_BYTES];     /* of the queue */
  char host[MD_HOST_BYTES];     /* of the request, without port */
  char prefix[MD_PREFIX_BYTES]; /* of the request's path */
  size_t prefix_len;            /* bytes of prefix, set by md_routes_sort */
  char pool[MD_NAME_BYTES];     /* upstreams that run its tasks */
  MdTime timeout;               /* of a request, 0: not stated */
  MdTime target_latency;        /* constant part of the goal */
  double slack_factor;          /* part of the goal in proportion to the work */
  uint32_t max_attempts;        /* failed runs of a task that fail its job */
  uint8_t priority;             /* 0 comes first, see priority.h */
  MdAdvisor advisor;            /* must allow the workers of each step */
} MdRoute;

/* An immutable routing table. Each change publishes a new one through RCU. */
typedef struct
{
  uint64_t version; /* of the configuration */
  MdRoute *routes;  /* n elements, longest prefix first, owned */
  size_t n;
  size_t max_body_bytes; /* of a request; 0 not stated */
} MdRoutes;

/* md_routes_free: free the table and its routes. NULL is allowed. */
void md_routes_free (MdRoutes *routes);

/* md_routes_sort: set prefix_len and sort the routes, as md_routes_find requires. */
void md_routes_sort (MdRoutes *routes);

/* md_routes_find: the route with this host and the longest prefix of path, NULL if there is
   none. A port in host is ignored; the case of host too. The result is valid as long as
   the table. */
const MdRoute *md_routes_find (const MdRoutes *routes, MdStr host, MdStr path);

#endif
