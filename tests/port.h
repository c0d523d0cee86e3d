/* port.h -- free TCP ports for tests

   Test runs of one machine share a list of the ports that they have drawn: a port that was free when
   it was drawn may be taken by another run before its own has started the process that needs it. A
   port stays in the list until the process that it was drawn for has ended. */

#ifndef MD_TEST_PORT_H
#define MD_TEST_PORT_H

#include <stdbool.h>
#include <sys/types.h>

/* hold_port: draw a port that is free on all addresses and bind a socket to it on 127.0.0.1. Returns
   the port, which nobody else draws until this process has ended, and sets fd to the socket, which
   the caller closes when it needs the port; returns 0 on failure. The port lies outside the range
   from which the kernel takes the ports of outgoing connections: one of those may otherwise be in
   use by the time the caller listens. */
unsigned hold_port (int *fd);
/* hold_port_for: the same until the process owner has ended, such as the shell of a script. */
unsigned hold_port_for (pid_t owner, int *fd);

/* port_is_drawn: whether the port belongs to a process that still runs. */
bool port_is_drawn (unsigned port);

/* try_port: bind a socket to the port on 127.0.0.1. Returns it, or -1 when the port is in use on any
   address of this machine. */
int try_port (unsigned port);

typedef struct
{
  unsigned first; /* port */
  unsigned n;     /* ports */
} PortRange;

/* choose_port_range: where to draw ports while the kernel takes those of outgoing connections from
   first_outgoing to last_outgoing. n is 0 when too few are left. */
PortRange choose_port_range (unsigned first_outgoing, unsigned last_outgoing);

#endif
