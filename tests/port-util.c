/* port-util.c -- free TCP ports for tests

   The list of drawn ports is a text file with one line for each port: its number, the process that
   it was drawn for, and when that process started, because its id may belong to another one later.
   Whoever draws a port locks the file, drops the lines of processes that have ended and adds one. */

#include "port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#define LIST_FILE "/tmp/mulberrydrift-test-ports" /* not below TMPDIR: all runs share it */

#define FIRST_PORT 10000  /* lower ones belong to services and stand in settings of tests */
#define MOST_PORTS 20000  /* to draw from */
#define FEWEST_PORTS 1000 /* some runs beside one another need that many */
#define LAST_PORT 65535
#define MAX_DRAWS 10000 /* then there is no free port */

#define START_TIME_FIELD 20 /* of /proc/PID/stat, counted from the end of the command's name */
#define LINE_BYTES 64       /* of the list */

typedef struct
{
  unsigned port;
  pid_t owner;
  unsigned long long started; /* start time of the owner in clock ticks since boot */
} DrawnPort;

typedef struct
{
  int fd;           /* of the locked file */
  DrawnPort *ports; /* n elements, on the heap */
  size_t n;
} PortList;

/* ------------------------------------------------------------------ */
/* Owners                                                             */

/* Returns 0 when there is no such process. */
static unsigned long long
start_time (pid_t pid)
{
  char path[64];
  char text[1024] = { 0 };
  const char *at;
  int fd;
  ssize_t len;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  fd = open (path, O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return 0;
  len = read (fd, text, sizeof text - 1);
  close (fd);
  at = len > 0 ? strrchr (text, ')') : NULL;
  for (int i = 0; at != NULL && i < START_TIME_FIELD; i++)
    at = strchr (at + 1, ' ');
  return at != NULL ? strtoull (at, NULL, 10) : 0;
}

/* ------------------------------------------------------------------ */
/* List                                                               */

/* Another user may have created the file, so that it is opened without O_CREAT first. */
static int
open_list_file (void)
{
  int fd = open (LIST_FILE, O_RDWR | O_CLOEXEC | O_NOFOLLOW);

  if (fd >= 0)
    return fd;
  fd = open (LIST_FILE, O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0666);
  if (fd >= 0)
    fchmod (fd, 0666);
  return fd;
}

static void
close_list (PortList *list)
{
  free (list->ports);
  close (list->fd); /* unlocks it */
}

/* Reads the lines of the file, except those of owners that have ended. */
static void
parse_list (PortList *list, char *text)
{
  DrawnPort last = { 0 }; /* lines of one owner mostly follow one another */
  char *rest = NULL;

  for (char *line = strtok_r (text, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    {
      DrawnPort drawn;
      int owner;

      if (sscanf (line, "%u %d %llu", &drawn.port, &owner, &drawn.started) != 3)
        continue;
      drawn.owner = owner;
      if (drawn.owner != last.owner || drawn.started != last.started)
        {
          if (start_time (drawn.owner) != drawn.started)
            continue;
          last = drawn;
        }
      list->ports[list->n++] = drawn;
    }
}

/* Locks the file and reads the ports of processes that still run. */
static bool
open_list (PortList *list)
{
  struct stat file;
  char *text;
  ssize_t len = -1;

  *list = (PortList){ .fd = open_list_file () };
  if (list->fd < 0)
    return false;
  if (flock (list->fd, LOCK_EX) != 0 || fstat (list->fd, &file) != 0)
    {
      close_list (list);
      return false;
    }
  text = malloc ((size_t)file.st_size + 1);
  list->ports = calloc ((size_t)file.st_size + 1, sizeof *list->ports);
  if (text != NULL && list->ports != NULL)
    len = pread (list->fd, text, (size_t)file.st_size, 0);
  if (len >= 0)
    {
      text[len] = '\0';
      parse_list (list, text);
    }
  free (text);
  if (len < 0)
    close_list (list);
  return len >= 0;
}

static bool
write_list (const PortList *list, const DrawnPort *added)
{
  char *text = malloc ((list->n + 1) * LINE_BYTES);
  size_t len = 0;
  bool done;

  if (text == NULL)
    return false;
  for (size_t i = 0; i <= list->n; i++)
    {
      const DrawnPort *drawn = i < list->n ? &list->ports[i] : added;

      len += (size_t)snprintf (text + len, LINE_BYTES, "%u %d %llu\n", drawn->port,
                               (int)drawn->owner, drawn->started);
    }
  done = pwrite (list->fd, text, len, 0) == (ssize_t)len && ftruncate (list->fd, (off_t)len) == 0;
  free (text);
  return done;
}

static bool
list_has (const PortList *list, unsigned port)
{
  for (size_t i = 0; i < list->n; i++)
    if (list->ports[i].port == port)
      return true;
  return false;
}

bool
port_is_drawn (unsigned port)
{
  PortList list;
  bool found;

  if (!open_list (&list))
    return false;
  found = list_has (&list, port);
  close_list (&list);
  return found;
}

/* ------------------------------------------------------------------ */
/* Draws                                                              */

PortRange
choose_port_range (unsigned first_outgoing, unsigned last_outgoing)
{
  PortRange below = { FIRST_PORT, 0 };
  PortRange above = { last_outgoing + 1, 0 };

  if (above.first < FIRST_PORT)
    above.first = FIRST_PORT;
  if (first_outgoing > FIRST_PORT)
    below.n = first_outgoing - FIRST_PORT;
  if (above.first <= LAST_PORT)
    above.n = LAST_PORT - above.first + 1;
  if (above.n > below.n)
    below = above;
  if (below.n > MOST_PORTS)
    below.n = MOST_PORTS;
  if (below.n < FEWEST_PORTS)
    below.n = 0;
  return below;
}

static PortRange
port_range (void)
{
  FILE *file = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "re");
  unsigned first = 0;
  unsigned last = 0;
  int n = 0;

  if (file != NULL)
    {
      n = fscanf (file, "%u %u", &first, &last);
      fclose (file);
    }
  if (n != 2)
    return (PortRange){ 0 };
  return choose_port_range (first, last);
}

/* Returns a socket that is bound to the port on this address, or -1. Without SO_REUSEADDR, so that a
   port with connections that have just ended is not free. */
static int
bind_port (in_addr_t address, unsigned port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  addr.sin_addr.s_addr = htonl (address);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

int
try_port (unsigned port)
{
  int any = bind_port (INADDR_ANY, port);

  if (any < 0)
    return -1;
  close (any);
  return bind_port (INADDR_LOOPBACK, port);
}

/* Returns 0 on failure. */
static unsigned
draw_port (const PortList *list, int *fd)
{
  PortRange range = port_range ();

  if (range.n == 0)
    {
      fputs ("no range of ports without those of outgoing connections\n", stderr);
      return 0;
    }
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      unsigned draw;

      if (getrandom (&draw, sizeof draw, 0) != sizeof draw)
        return 0;
      draw = range.first + draw % range.n;
      *fd = list_has (list, draw) ? -1 : try_port (draw);
      if (*fd >= 0)
        return draw;
    }
  return 0;
}

unsigned
hold_port_for (pid_t owner, int *fd)
{
  DrawnPort drawn = { .owner = owner, .started = start_time (owner) };
  PortList list;

  if (drawn.started == 0 || !open_list (&list))
    {
      fprintf (stderr, "process %d runs no more, or " LIST_FILE " cannot be used\n", (int)owner);
      return 0;
    }
  drawn.port = draw_port (&list, fd);
  if (drawn.port != 0 && !write_list (&list, &drawn))
    {
      close (*fd);
      drawn.port = 0;
    }
  close_list (&list);
  return drawn.port;
}

unsigned
hold_port (int *fd)
{
  return hold_port_for (getpid (), fd);
}
