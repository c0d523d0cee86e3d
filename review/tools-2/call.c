/* call.c -- client of the cases of review 2

   call ports COUNT IP...   prints COUNT ports that are free on each of these loopback addresses
   call http ADDRESS METHOD PATH TIMEOUT_MS [FILE]
                            sends one request, with the file as its body, and prints the status and
                            the body of the response; status 0 and a reason when there is none.
                            X-Mulberrydrift-Deadline-Ms states the timeout. */

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MAX_BODY (1 << 20)
#define MAX_PORTS 64

static int
bind_port (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0 || inet_pton (AF_INET, ip, &address.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Below the range from which the kernel takes ports for outgoing connections. */
static int
ports (int count, int n_ips, char **ips)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  srand ((unsigned)ts.tv_nsec ^ (unsigned)getpid ());
  for (int found = 0, tries = 0; found < count && tries < 10000; tries++)
    {
      int port = 12000 + rand () % 18000;
      int fds[MAX_PORTS];
      int n = 0;

      while (n < n_ips && n < MAX_PORTS && (fds[n] = bind_port (ips[n], port)) >= 0)
        n++;
      if (n == n_ips)
        {
          printf ("%d\n", port);
          found++;
        }
      while (n > 0)
        close (fds[--n]);
    }
  return 0;
}

static int
fail (const char *reason)
{
  printf ("0 %s\n", reason);
  return 0;
}

static int
http (const char *at, const char *method, const char *path, int timeout_ms, const char *file)
{
  static char body[MAX_BODY];
  static char answer[MAX_BODY];
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32] = "";
  char head[512];
  size_t len = 0;
  size_t got = 0;
  int port = 0;
  int status = 0;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (file != NULL)
    {
      FILE *in = fopen (file, "rb");

      if (in == NULL)
        return 2;
      len = fread (body, 1, sizeof body, in);
      fclose (in);
    }
  sscanf (at, "%31[^:]:%d", ip, &port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    return fail ("not connected");
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
            "X-Mulberrydrift-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
            method, path, timeout_ms, len);
  if (send (fd, head, strlen (head), MSG_NOSIGNAL) < 0
      || (len > 0 && send (fd, body, len, MSG_NOSIGNAL) != (ssize_t)len))
    return fail ("not sent");
  for (;;)
    {
      ssize_t n = recv (fd, answer + got, sizeof answer - 1 - got, 0);
      char *end;
      char *value;

      if (n <= 0)
        return fail (n == 0 ? "channel closed" : "no answer");
      got += (size_t)n;
      answer[got] = '\0';
      end = strstr (answer, "\r\n\r\n");
      if (end == NULL)
        continue;
      value = strcasestr (answer, "\r\nContent-Length:");
      if (value == NULL || (size_t)(end - answer) + 4 + strtoul (value + 17, NULL, 10) > got)
        continue;
      sscanf (answer, "HTTP/1.1 %d", &status);
      printf ("%d %s\n", status, end + 4);
      return 0;
    }
}

int
main (int argc, char **argv)
{
  if (argc > 3 && strcmp (argv[1], "ports") == 0)
    return ports (atoi (argv[2]), argc - 3, argv + 3);
  if (argc > 5 && strcmp (argv[1], "http") == 0)
    return http (argv[2], argv[3], argv[4], atoi (argv[5]), argc > 6 ? argv[6] : NULL);
  return 2;
}
