/* store.c -- stand-in for the platform's store, for the cases of review 2

   Topics with one partition in memory: log-append, log-read with a wait, log-newest (PROTOCOL.md,
   "The platform's metadata store"). Nothing expires and nothing is refused. */

#define _GNU_SOURCE

#include "serve.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_TOPICS 16
#define MAX_RECORDS 4096

typedef struct
{
  unsigned char *bytes; /* length of the key, the key, the value */
  size_t len;
} Record;

typedef struct
{
  char name[64];
  Record records[MAX_RECORDS];
  size_t n;
} Topic;

static Topic topics[MAX_TOPICS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended;

static Topic *
topic_of (const Request *request)
{
  char name[64] = "";

  find_parameter (request, "topic", name, sizeof name);
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      if (topics[i].name[0] == '\0')
        strcpy (topics[i].name, name);
      if (strcmp (topics[i].name, name) == 0)
        return &topics[i];
    }
  abort ();
}

static size_t
number (const Request *request, const char *name)
{
  char text[32] = "0";

  find_parameter (request, name, text, sizeof text);
  return strtoul (text, NULL, 10);
}

static void
put_big_endian (unsigned char *out, uint64_t value, int n)
{
  for (int i = n - 1; i >= 0; i--, value >>= 8)
    out[i] = (unsigned char)value;
}

static bool
append (const Request *request)
{
  const unsigned char *p = (const unsigned char *)request->body;
  size_t left = request->body_len;
  char answer[96];
  size_t first;
  size_t end;
  Topic *topic;

  pthread_mutex_lock (&lock);
  topic = topic_of (request);
  first = topic->n;
  while (left >= 4 && topic->n < MAX_RECORDS)
    {
      size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
      Record *record = &topic->records[topic->n];

      if (len > left - 4)
        break;
      record->bytes = malloc (len + 1);
      record->len = len;
      memcpy (record->bytes, p + 4, len);
      topic->n++;
      p += 4 + len;
      left -= 4 + len;
    }
  end = topic->n;
  pthread_cond_broadcast (&appended);
  pthread_mutex_unlock (&lock);
  snprintf (answer, sizeof answer, "{\"offset\":%zu,\"end_offset\":%zu}", first, end);
  return respond (request, 200, "application/json", answer, strlen (answer));
}

static bool
read_log (const Request *request)
{
  size_t from = number (request, "from");
  int64_t until = milliseconds (CLOCK_MONOTONIC) + (int64_t)number (request, "wait_ms");
  struct timespec ts = { until / 1000, until % 1000 * 1000000 };
  size_t len = 16;
  unsigned char *out;
  Topic *topic;
  bool ok;

  pthread_mutex_lock (&lock);
  topic = topic_of (request);
  while (topic->n <= from && pthread_cond_timedwait (&appended, &lock, &ts) == 0)
    ;
  for (size_t i = from; i < topic->n; i++)
    len += 4 + topic->records[i].len;
  out = malloc (len);
  put_big_endian (out, topic->n, 8);
  put_big_endian (out + 8, 0, 8);
  len = 16;
  for (size_t i = from; i < topic->n; i++)
    {
      put_big_endian (out + len, topic->records[i].len, 4);
      memcpy (out + len + 4, topic->records[i].bytes, topic->records[i].len);
      len += 4 + topic->records[i].len;
    }
  pthread_mutex_unlock (&lock);
  ok = respond (request, 200, "application/octet-stream", (const char *)out, len);
  free (out);
  return ok;
}

static void
write_base64 (FILE *out, const unsigned char *bytes, size_t len)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned v = (unsigned)bytes[i] << 16 | (i + 1 < len ? (unsigned)bytes[i + 1] << 8 : 0)
                   | (i + 2 < len ? bytes[i + 2] : 0);

      fputc (digits[v >> 18], out);
      fputc (digits[v >> 12 & 63], out);
      fputc (i + 1 < len ? digits[v >> 6 & 63] : '=', out);
      fputc (i + 2 < len ? digits[v & 63] : '=', out);
    }
}

static bool
is_superseded (const Topic *topic, size_t i)
{
  const Record *record = &topic->records[i];

  for (size_t k = i + 1; k < topic->n; k++)
    if (memcmp (topic->records[k].bytes, record->bytes, 1 + (size_t)record->bytes[0]) == 0)
      return true;
  return false;
}

static bool
read_newest (const Request *request)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);
  const char *separator = "";
  Topic *topic;
  bool ok;

  pthread_mutex_lock (&lock);
  topic = topic_of (request);
  fprintf (out, "{\"items\":[");
  for (size_t i = 0; i < topic->n; i++)
    {
      const Record *record = &topic->records[i];
      size_t key = record->bytes[0];

      if (is_superseded (topic, i) || record->len <= 1 + key)
        continue;
      fprintf (out, "%s{\"key\":\"%.*s\",\"offset\":%zu,\"value\":\"", separator, (int)key,
               (const char *)record->bytes + 1, i);
      write_base64 (out, record->bytes + 1 + key, record->len - 1 - key);
      fprintf (out, "\"}");
      separator = ",";
    }
  fprintf (out, "],\"has_more\":false,\"end_offset\":%zu}", topic->n);
  pthread_mutex_unlock (&lock);
  fclose (out);
  ok = respond (request, 200, "application/json", text, len);
  free (text);
  return ok;
}

static bool
handle (const Request *request)
{
  if (strcmp (request->path, "/v1/log-append") == 0)
    return append (request);
  if (strcmp (request->path, "/v1/log-read") == 0)
    return read_log (request);
  if (strcmp (request->path, "/v1/log-newest") == 0)
    return read_newest (request);
  return respond (request, 404, "application/json", "{}", 2);
}

int
main (int argc, char **argv)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&appended, &attributes);
  if (argc != 2 || serve (argv[1], handle) != 0)
    return 1;
  for (;;)
    pause ();
}
