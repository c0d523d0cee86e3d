/* store.c -- stand-in for the platform's store: keyed topics with one partition, in memory

   Usage: store IP:PORT. Serves log-append, log-read and log-newest as PROTOCOL.md has them. */

#define _GNU_SOURCE

#include "http.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_TOPICS 32
#define MAX_RECORDS 20000

typedef struct
{
  size_t len;
  unsigned char *bytes; /* key length, key, value */
} Record;

typedef struct
{
  char name[64];
  Record records[MAX_RECORDS];
  size_t n;
} Topic;

static Topic *topics[MAX_TOPICS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended = PTHREAD_COND_INITIALIZER;

static Topic *
get_topic (const char *name)
{
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      if (topics[i] == NULL)
        {
          topics[i] = calloc (1, sizeof (Topic));
          snprintf (topics[i]->name, sizeof topics[i]->name, "%s", name);
        }
      if (strcmp (topics[i]->name, name) == 0)
        return topics[i];
    }
  abort ();
}

static void
respond_json (int fd, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  respond (fd, status, "application/json", text, strlen (text));
  free (text);
}

static size_t
big_endian (const unsigned char *p)
{
  return (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
}

static void
append (int fd, const Request *request, Topic *topic)
{
  const unsigned char *p = (const unsigned char *)request->body;
  const unsigned char *end = p + request->len;
  size_t first = topic->n;

  while (end - p >= 4 && big_endian (p) <= (size_t)(end - p - 4) && topic->n < MAX_RECORDS)
    {
      Record *record = &topic->records[topic->n++];

      record->len = big_endian (p);
      record->bytes = malloc (record->len + 1);
      memcpy (record->bytes, p + 4, record->len);
      p += 4 + record->len;
    }
  pthread_cond_broadcast (&appended);
  respond_json (fd, 200,
                json_pack ("{s:I,s:I}", "offset", (json_int_t)first, "end_offset",
                           (json_int_t)topic->n));
}

static void
put_big_endian (unsigned char *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
}

static void
read_records (int fd, const Request *request, Topic *topic)
{
  char value[32];
  size_t from;
  size_t size = 16;
  struct timespec until;
  unsigned char *out;
  long wait;

  query_value (request, "from", value, sizeof value);
  from = strtoul (value, NULL, 10);
  query_value (request, "wait_ms", value, sizeof value);
  wait = atol (value);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait / 1000;
  until.tv_nsec += wait % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  while (topic->n <= from && wait > 0)
    if (pthread_cond_timedwait (&appended, &lock, &until) != 0)
      break;
  for (size_t i = from; i < topic->n; i++)
    size += 4 + topic->records[i].len;
  out = malloc (size);
  put_big_endian (out, topic->n, 8);
  put_big_endian (out + 8, 0, 8);
  size = 16;
  for (size_t i = from; i < topic->n; i++)
    {
      put_big_endian (out + size, topic->records[i].len, 4);
      memcpy (out + size + 4, topic->records[i].bytes, topic->records[i].len);
      size += 4 + topic->records[i].len;
    }
  pthread_mutex_unlock (&lock);
  respond (fd, 200, "application/octet-stream", out, size);
  pthread_mutex_lock (&lock);
  free (out);
}

static char *
base64 (const unsigned char *p, size_t n)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  char *out = malloc (n / 3 * 4 + 8);
  char *at = out;

  for (size_t i = 0; i < n; i += 3)
    {
      unsigned v = (unsigned)p[i] << 16 | (i + 1 < n ? (unsigned)p[i + 1] << 8 : 0)
                   | (i + 2 < n ? p[i + 2] : 0);

      *at++ = digits[v >> 18];
      *at++ = digits[v >> 12 & 63];
      *at++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
      *at++ = i + 2 < n ? digits[v & 63] : '=';
    }
  *at = '\0';
  return out;
}

/* Whether a later record has the same key. */
static int
is_superseded (const Topic *topic, size_t i)
{
  const Record *a = &topic->records[i];

  for (size_t k = i + 1; k < topic->n; k++)
    {
      const Record *b = &topic->records[k];

      if (a->bytes[0] == b->bytes[0] && memcmp (a->bytes + 1, b->bytes + 1, a->bytes[0]) == 0)
        return 1;
    }
  return 0;
}

/* All keys are on one page: the scripts write fewer than 500. */
static void
newest (int fd, const Request *request, Topic *topic)
{
  json_t *items = json_array ();
  char after[300];

  query_value (request, "depends_on", after, sizeof after);
  for (size_t i = 0; i < topic->n && after[0] == '\0'; i++)
    {
      const Record *record = &topic->records[i];
      size_t key = record->bytes[0];
      char *value;

      if (is_superseded (topic, i) || record->len == 1 + key)
        continue;
      value = base64 (record->bytes + 1 + key, record->len - 1 - key);
      json_array_append_new (items, json_pack ("{s:s%,s:s,s:I}", "key", record->bytes + 1, key,
                                               "value", value, "offset", (json_int_t)i));
      free (value);
    }
  respond_json (fd, 200, json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", 0, "end_offset",
                                    (json_int_t)topic->n));
}

static void
handle (int fd, const Request *request)
{
  char name[64];

  query_value (request, "topic", name, sizeof name);
  pthread_mutex_lock (&lock);
  if (strcmp (request->path, "/v1/log-append") == 0)
    append (fd, request, get_topic (name));
  else if (strcmp (request->path, "/v1/log-read") == 0)
    read_records (fd, request, get_topic (name));
  else if (strcmp (request->path, "/v1/log-newest") == 0)
    newest (fd, request, get_topic (name));
  else
    respond (fd, 404, "application/json", "{}", 2);
  pthread_mutex_unlock (&lock);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return 2;
  serve (argv[1], handle);
  return 2;
}
