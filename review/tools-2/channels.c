/* channels.c -- two channels of clients that the platform forwards to an entry, for case 8 of review 2

   channels NODE SOURCE PATH FILE RESET_MS IDLE_MS

   The platform forwards each channel from its own address and takes the lowest port that is free there:
   SOURCE, in both cases. On the first channel a client sends POST PATH with the file as its body. With
   RESET_MS 0 it waits for the answer, which is printed. Otherwise the channel is reset after RESET_MS,
   and 100 ms later the platform forwards a second one, on which a client sends GET for the queue after
   another IDLE_MS. Each step is printed with the milliseconds since 1970. */

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MAX_BODY 65536
#define ANSWER_TIMEOUT_S 30

static void
say (const char *what, const char *more)
{
  struct timeval now;

  gettimeofday (&now, NULL);
  printf ("%lld %s%s\n", (long long)now.tv_sec * 1000 + now.tv_usec / 1000, what, more);
  fflush (stdout);
}

static void
sleep_ms (int ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&ts, NULL);
}

static struct sockaddr_in
parse (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32] = "";
  int port = 0;

  sscanf (text, "%31[^:]:%d", ip, &port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

static int
open_channel (const char *node, const char *source)
{
  struct sockaddr_in to = parse (node);
  struct sockaddr_in from = parse (source);
  struct timeval timeout = { ANSWER_TIMEOUT_S, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (bind (fd, (struct sockaddr *)&from, sizeof from) == 0
      && connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  perror ("channel");
  exit (2);
}

static void
send_text (int fd, const char *text, size_t len)
{
  if (send (fd, text, len, MSG_NOSIGNAL) != (ssize_t)len)
    exit (2);
}

/* The start line and the body of a short answer. */
static void
print_answer (int fd, const char *what)
{
  char text[4096];
  size_t got = 0;
  ssize_t n;
  const char *body = NULL;

  while (got < sizeof text - 1 && (body == NULL || strchr (body, '}') == NULL)
         && (n = recv (fd, text + got, sizeof text - 1 - got, 0)) > 0)
    {
      got += (size_t)n;
      text[got] = '\0';
      body = strstr (text, "\r\n\r\n");
    }
  if (body == NULL)
    {
      say (what, "none");
      return;
    }
  memmove (text, text + strlen ("HTTP/1.1 "), 4);
  memmove (text + 4, body + 4, strlen (body + 4) + 1);
  say (what, text);
}

int
main (int argc, char **argv)
{
  static char body[MAX_BODY];
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  char head[512];
  size_t len;
  FILE *in;
  int fd;

  if (argc != 7 || (in = fopen (argv[4], "rb")) == NULL)
    return 2;
  len = fread (body, 1, sizeof body, in);
  fclose (in);
  fd = open_channel (argv[1], argv[2]);
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
            "X-Mulberrydrift-Deadline-Ms: 20000\r\nContent-Length: %zu\r\n\r\n",
            argv[3], len);
  send_text (fd, head, strlen (head));
  send_text (fd, body, len);
  say ("sent on the first channel: POST ", argv[3]);
  if (atoi (argv[5]) == 0)
    {
      print_answer (fd, "answered on the first channel: ");
      return 0;
    }
  sleep_ms (atoi (argv[5]));
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
  say ("the first channel is reset", "");
  sleep_ms (100);
  fd = open_channel (argv[1], argv[2]);
  say ("the second channel is open, from the same port: ", argv[2]);
  sleep_ms (atoi (argv[6]));
  snprintf (head, sizeof head, "GET /calc/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
  send_text (fd, head, strlen (head));
  print_answer (fd, "sent on the second channel: GET /calc/; answered: ");
  close (fd);
  return 0;
}
