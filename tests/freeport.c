/* freeport.c -- prints N free TCP ports of 127.0.0.1: freeport [N [OWNER]]

   Nobody else draws them until the process OWNER has ended; without it, the caller. All sockets are
   held until all ports are known. A script passes $$: in $(...) the caller may be a subshell, which
   ends at once. */

#include "port.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  int n = argc > 1 ? atoi (argv[1]) : 1;
  pid_t owner = argc > 2 ? atoi (argv[2]) : getppid ();

  for (int i = 0; i < n; i++)
    {
      int fd;
      unsigned port = hold_port_for (owner, &fd);

      if (port == 0)
        return 1;
      printf ("%u\n", port);
    }
  return 0;
}
