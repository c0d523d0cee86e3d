/* routes.h -- routing table of an entry: from host and path of a request to its queue */

#ifndef MD_ROUTES_H
#define MD_ROUTES_H

#include "advice.h"

/* A queue of jobs and the requests that belong to it. The response-time goal of a job is
   its work times slack_factor plus target_latency.

   A route from md_route_new does not change. Its owners are the table and the jobs and requests
   of the queue, which may outlive the table; any thread may add or remove one, and the last one
   frees it. The texts are of any length, terminated, and stored with the route. */
typedef struct
{
  MdStr name;            /* of the queue */
  MdStr label;           /* name for the log, quoted and of bounded length */
  MdStr host;            /* of the request, without port */
  MdStr prefix;          /* of the request's path */
  MdStr pool;            /* upstreams that run its tasks */
  MdTime timeout;        /* of a request, 0: not stated */
  MdTime target_latency; /* constant part of the goal */
  double slack_factor;   /* part of the goal in proportion to the work */
  uint32_t max_attempts; /* failed runs of a task that fail its job */
  uint8_t priority;      /* 0 comes first, see priority.h */
  MdAdvisor advisor;     /* must allow the workers of each step */
} MdRoute;

/* md_route_new: a copy of a route and its texts, with one owner. NULL when memory is short. */
MdRoute *md_route_new (const MdRoute *fields);

/* md_route_ref: add an owner to a route from md_route_new. Returns the route. */
MdRoute *md_route_ref (MdRoute *route);

/* md_route_unref: remove an owner. NULL is allowed. */
void md_route_unref (MdRoute *route);

/* Removes the owner stored at address and sets it to NULL; for MD_AUTO_ROUTE. */
static inline void
md_route_clear (MdRoute **route)
{
  md_route_unref (*route);
  *route = NULL;
}

/* Declares an owner of a route, which is removed at the end of its scope. */
#define MD_AUTO_ROUTE __attribute__ ((cleanup (md_route_clear))) MdRoute

/* md_route_is_same_queue: whether both have the host and the prefix of one queue. They may be of
   different versions of the configuration. */
bool md_route_is_same_queue (const MdRoute *a, const MdRoute *b);

/* An immutable routing table. Each change publishes a new one through RCU. */
typedef struct
{
  uint64_t version; /* of the configuration */
  MdRoute **routes; /* n elements, longest prefix first; the table is one of their owners */
  size_t n;
  size_t n_ignored;      /* routes of the configuration that could not be read */
  size_t max_body_bytes; /* of a request; 0 not stated */
} MdRoutes;

/* md_routes_free: free the table and remove it from the owners of its routes. NULL is allowed. */
void md_routes_free (MdRoutes *routes);

/* md_routes_sort: sort the routes, as md_routes_find requires. */
void md_routes_sort (MdRoutes *routes);

/* md_routes_find: the route with this host and the longest prefix of path, NULL if there is
   none. A port in host is ignored; the case of host too. The result is valid as long as
   the table, or until a new owner removes itself. */
MdRoute *md_routes_find (const MdRoutes *routes, MdStr host, MdStr path);

#endif
