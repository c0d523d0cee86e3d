/* client.c -- one request of a client

   Usage: client IP:PORT METHOD PATH HOST TIMEOUT_MS [BODY]. Prints the status, 0 without a response
   in time, and the body of the response. */

#include "http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
main (int argc, char **argv)
{
  char headers[256];
  char *answer;
  const char *body = argc > 6 ? argv[6] : "";
  int status;

  if (argc < 6)
    return 2;
  snprintf (headers, sizeof headers,
            "Host: %s\r\nContent-Type: application/json\r\nX-Mulberrydrift-Deadline-Ms: %s\r\n",
            argv[4], argv[5]);
  status = call (argv[1], argv[2], argv[3], headers, body, strlen (body), atoi (argv[5]), &answer);
  printf ("%d %s\n", status, answer != NULL ? answer : "");
  free (answer);
  return 0;
}
