/* connection-socket.c -- the socket of the connection that a thread of CivetWeb serves

   The program's recv stands before that of the C library in the order in which symbols of shared
   libraries are resolved, so that CivetWeb calls it. */

#include "connection-socket.h"

#include <stddef.h>
#include <sys/socket.h>

static __thread int thread_socket = -1; /* last descriptor read from; -1: none yet */

/* Replaces the function of the C library, which is recvfrom without an address. */
ssize_t
recv (int fd, void *data, size_t size, int flags)
{
  thread_socket = fd;
  return recvfrom (fd, data, size, flags, NULL, NULL);
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
