/* caller-sockets.h -- descriptors of the sockets of callers

   CivetWeb does not expose the socket of a connection. Its descriptor is found by the address of
   the peer, with one system call for each descriptor that is looked at. */

#ifndef MD_CALLER_SOCKETS_H
#define MD_CALLER_SOCKETS_H

#include <netinet/in.h>
#include <stdatomic.h>
#include <stdbool.h>

#define MD_MAX_CALLER_DESCRIPTOR 8192 /* the search ends here */

typedef struct
{
  atomic_bool known[MD_MAX_CALLER_DESCRIPTOR]; /* belongs to a connection that has been found */
  atomic_int first;                            /* lowest descriptor found so far, plus one; 0:
                                                  none */
} MdCallerSockets;

/* md_caller_sockets_find: the descriptor that is connected to the peer, -1 if there is none: a
   connection that was reset has no peer. It is not considered again until it is released.
   Thread-safe. */
int md_caller_sockets_find (MdCallerSockets *sockets, const struct sockaddr_in *peer);
/* md_caller_sockets_release: the descriptor is about to be closed. Must be called before that,
   because the next connection may get the same one. Thread-safe. */
void md_caller_sockets_release (MdCallerSockets *sockets, int fd);

#endif
