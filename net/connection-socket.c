/* connection-socket.c -- the socket of the connection that a thread of CivetWeb serves

   The program's recv stands before that of the C library in the order in which symbols of shared
   libraries are resolved, so that CivetWeb calls it. It passes the call on to the next one in that
   order, which may be a sanitizer's: the thread sanitizer learns from recv, and not from recvfrom,
   that what was written before a message was sent is ordered before its reader. */

#define _GNU_SOURCE /* RTLD_NEXT */

#include "connection-socket.h"

#include <dlfcn.h>
#include <stddef.h>
#include <sys/socket.h>

typedef ssize_t RecvFunction (int fd, void *data, size_t size, int flags);

static RecvFunction *next_recv;         /* set before main */
static __thread int thread_socket = -1; /* last descriptor read from; -1: none yet */

__attribute__ ((constructor)) static void
find_next_recv (void)
{
  next_recv = (RecvFunction *)dlsym (RTLD_NEXT, "recv");
}

ssize_t
recv (int fd, void *data, size_t size, int flags)
{
  thread_socket = fd;
  if (next_recv == NULL) /* a library's constructor reads */
    return recvfrom (fd, data, size, flags, NULL, NULL);
  return next_recv (fd, data, size, flags);
}

void
md_connection_socket_begin (void)
{
  thread_socket = -1;
}

int
md_connection_socket (void)
{
  return thread_socket;
}
