/* freeport.c -- prints N free TCP ports of 127.0.0.1

   All sockets are held until all ports are known, so that the ports differ. */

#include "port.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  int n = argc > 1 ? atoi (argv[1]) : 1;

  for (int i = 0; i < n; i++)
    {
      int fd;
      unsigned port = hold_port (&fd);

      if (port == 0)
        return 1;
      printf ("%u\n", port);
    }
  return 0;
}
