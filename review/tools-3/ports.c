/* ports.c -- prints N TCP ports that are free on all loopback addresses: ports N

   They are below the range from which the kernel takes the ports of outgoing connections, so that
   none of these can take one while a stand-in is restarted. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FIRST 12000
#define RANGE 18000

int
main (int argc, char **argv)
{
  int n = argc > 1 ? atoi (argv[1]) : 1;
  unsigned at = (unsigned)getpid () * 7919u + (unsigned)time (NULL);

  /* The sockets stay open until all ports are known. */
  for (int tries = 0; n > 0 && tries < RANGE; tries++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      unsigned port = FIRST + at++ % RANGE;

      address.sin_port = htons ((unsigned short)port);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
        {
          close (fd);
          continue;
        }
      printf ("%u\n", port);
      n--;
    }
  return n > 0;
}
