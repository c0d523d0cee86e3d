/* port.h -- free TCP ports for tests */

#ifndef MD_TEST_PORT_H
#define MD_TEST_PORT_H

/* hold_port: bind a socket to a free port of 127.0.0.1. Returns the port and sets fd to the
   socket, which the caller closes when it needs the port; returns 0 on failure. The port lies below
   the range from which the kernel takes the ports of outgoing connections: one of those may
   otherwise be in use by the time the caller listens. */
unsigned hold_port (int *fd);

#endif
