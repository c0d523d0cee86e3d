/* port-util.c -- free TCP ports for tests */

#include "port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_PORT 10000
#define PORTS 20000     /* from FIRST_PORT on */
#define MAX_DRAWS 10000 /* then there is no free port */

unsigned
hold_port (int *fd)
{
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      struct sockaddr_in addr = { .sin_family = AF_INET };
      unsigned draw;

      *fd = socket (AF_INET, SOCK_STREAM, 0);
      if (*fd < 0 || getrandom (&draw, sizeof draw, 0) != sizeof draw)
        return 0;
      draw = FIRST_PORT + draw % PORTS;
      addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      addr.sin_port = htons ((uint16_t)draw);
      if (bind (*fd, (struct sockaddr *)&addr, sizeof addr) == 0)
        return draw;
      close (*fd);
    }
  return 0;
}
