/* caller-sockets.c -- finds the descriptor of a caller's socket without looking at all of them

   Load pattern: an entry that is short of processor time has many connections, closes each one
   with its response, and accepts a new one for each request. A search over all descriptors,
   links of guards included, then costs more processor time than the job itself.

   A new socket gets the lowest descriptor that is free. Links of guards are there before callers
   come, so the search starts at the lowest descriptor that a caller ever had and skips those of
   open connections. */

#include "caller-sockets.h"

#include <sys/socket.h>

static bool
is_connected_to (int fd, const struct sockaddr_in *peer)
{
  struct sockaddr_in found = { 0 };
  socklen_t len = sizeof found;

  return getpeername (fd, (struct sockaddr *)&found, &len) == 0 && found.sin_family == AF_INET
         && found.sin_port == peer->sin_port && found.sin_addr.s_addr == peer->sin_addr.s_addr;
}

static int
find_between (MdCallerSockets *sockets, const struct sockaddr_in *peer, int begin, int end)
{
  for (int fd = begin; fd < end; fd++)
    if (!atomic_load (&sockets->known[fd]) && is_connected_to (fd, peer))
      return fd;
  return -1;
}

int
md_caller_sockets_find (MdCallerSockets *sockets, const struct sockaddr_in *peer)
{
  int first = atomic_load (&sockets->first);
  int begin = first > 0 ? first - 1 : 0;
  int fd = find_between (sockets, peer, begin, MD_MAX_CALLER_DESCRIPTOR);

  if (fd < 0)
    fd = find_between (sockets, peer, 0, begin);
  if (fd < 0)
    return -1;
  atomic_store (&sockets->known[fd], true);
  while ((first == 0 || fd + 1 < first)
         && !atomic_compare_exchange_weak (&sockets->first, &first, fd + 1))
    ;
  return fd;
}

void
md_caller_sockets_release (MdCallerSockets *sockets, int fd)
{
  atomic_store (&sockets->known[fd], false);
}
