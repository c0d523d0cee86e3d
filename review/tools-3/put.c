/* put.c -- the operator: writes a record of keyed.op to the store

   Usage: put STORE KEY VALUE. Exits with 0 once the store has confirmed it. */

#include "http.h"

#include <stdlib.h>
#include <string.h>

int
main (int argc, char **argv)
{
  size_t key;
  size_t value;
  size_t len;
  unsigned char *record;
  char *answer;
  int status;

  if (argc != 4)
    return 2;
  key = strlen (argv[2]);
  value = strlen (argv[3]);
  len = 1 + key + value;
  record = malloc (len + 4);
  for (int i = 0; i < 4; i++)
    record[i] = (unsigned char)(len >> (24 - 8 * i));
  record[4] = (unsigned char)key;
  memcpy (record + 5, argv[2], key);
  memcpy (record + 5 + key, argv[3], value);
  status = call (argv[1], "POST", "/v1/log-append?topic=keyed.op&part=0", "Host: store\r\n", record,
                 len + 4, 2000, &answer);
  free (answer);
  free (record);
  return status == 200 ? 0 : 1;
}
