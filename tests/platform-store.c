/* platform-store.c -- stand-in for the users' platform's store

   Keyed topics with one partition, in memory: append, read with a wait, newest record
   of each key. POST /control?mode=M: normal, silent (no answer), busy (503), slow (200
   ms more an answer), lost (appends are done and not answered), late (the same, done two
   seconds later), forget (the oldest
   records go, so that reads of them are answered 410).

   It is the advisory service as well: POST /v1/advise allows the one worker that
   /control?allow=ID has named, with the permit "WORKER/STEP/000..."; ID "nonsense": its answers
   cannot be read. */

#include "http-client.h"
#include "http-server.h"
#include "json-text.h"
#include "md-private.h"
#include "server.h"

#include <openssl/evp.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define MAX_TOPICS 16
#define MAX_RECORDS 65536
#define BODY_MAX (4u << 20) /* bytes of a request */

typedef enum
{
  MODE_NORMAL,
  MODE_SILENT,
  MODE_BUSY,
  MODE_SLOW,
  MODE_LOST,
  MODE_LATE,
} Mode;

typedef struct
{
  char name[64];
  MdBuf records[MAX_RECORDS]; /* key length, key, value */
  size_t end;                 /* offset after the last */
  size_t first;               /* lowest offset kept for reads */
} Topic;

static Topic *topics[MAX_TOPICS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static atomic_int mode;
#define PERMIT_DIGITS 300 /* zeros at the end of a permit */

static char allowed[512]; /* worker; under the lock */
static atomic_bool stopping;

static Topic *
topic_of (const char *name)
{
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      if (topics[i] == NULL)
        {
          topics[i] = calloc (1, sizeof **topics);
          if (topics[i] == NULL)
            abort ();
          snprintf (topics[i]->name, sizeof topics[i]->name, "%s", name);
        }
      if (strcmp (topics[i]->name, name) == 0)
        return topics[i];
    }
  abort ();
}

static int
respond (struct mg_connection *conn, int status, MdStr body)
{
  mg_printf (conn, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n\r\n", status,
             mg_get_response_code_text (conn, status), body.len);
  mg_write (conn, body.data, body.len);
  return status;
}

static int64_t
variable (const struct mg_request_info *info, const char *name, char *text, size_t size)
{
  const char *query = info->query_string ? info->query_string : "";

  text[0] = '\0';
  mg_get_var (query, strlen (query), name, text, size);
  return strtoll (text, NULL, 10);
}

static void
put_number (MdBuf *out, uint64_t value, unsigned bytes)
{
  for (unsigned i = bytes; i-- > 0;)
    {
      char byte = (char)(value >> (8 * i));

      md_buf_append (out, md_str_n (&byte, 1));
    }
}

static int
append (struct mg_connection *conn, Topic *topic)
{
  MD_AUTO_BUF body = { 0 };
  MD_AUTO_BUF out = { 0 };
  struct timespec delay = { 2, 0 };
  bool late = atomic_load (&mode) == MODE_LATE;
  size_t at = 0;

  if (md_http_read_body (conn, BODY_MAX, &body) != 0)
    return respond (conn, 400, MD_STR ("{}"));
  if (late)
    nanosleep (&delay, NULL);
  pthread_mutex_lock (&lock);
  md_buf_printf (&out, "{\"offset\":%zu", topic->end);
  while (at + 4 <= body.len && topic->end < MAX_RECORDS)
    {
      const unsigned char *p = (unsigned char *)body.data + at;
      size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];

      if (len > body.len - at - 4)
        break;
      md_buf_append (&topic->records[topic->end++], md_str_n (p + 4, len));
      at += 4 + len;
    }
  md_buf_printf (&out, ",\"end_offset\":%zu}", topic->end);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  if (late || atomic_load (&mode) == MODE_LOST)
    {
      mg_disable_connection_keep_alive (conn);
      return 200; /* done, and the connection ends without an answer */
    }
  return respond (conn, 200, md_buf_str (&out));
}

static int
read_records (struct mg_connection *conn, Topic *topic, size_t from, int64_t wait, size_t max)
{
  MD_AUTO_BUF out = { 0 };
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait / 1000;
  until.tv_nsec += wait % 1000 * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_mutex_lock (&lock);
  while (from >= topic->end && wait > 0 && !atomic_load (&stopping))
    if (pthread_cond_timedwait (&changed, &lock, &until) != 0)
      break;
  if (from < topic->first)
    {
      pthread_mutex_unlock (&lock);
      return respond (conn, 410, MD_STR ("{}"));
    }
  put_number (&out, topic->end, 8);
  put_number (&out, topic->first, 8);
  for (size_t i = from; i < topic->end && (i == from || out.len + topic->records[i].len <= max);
       i++)
    {
      put_number (&out, topic->records[i].len, 4);
      md_buf_append (&out, md_buf_str (&topic->records[i]));
    }
  pthread_mutex_unlock (&lock);
  return respond (conn, 200, md_buf_str (&out));
}

static bool
is_newest (const Topic *topic, size_t i)
{
  size_t len = 1 + (unsigned char)topic->records[i].data[0];

  for (size_t k = i + 1; k < topic->end; k++)
    if (topic->records[k].len >= len
        && memcmp (topic->records[k].data, topic->records[i].data, len) == 0)
      return false;
  return true;
}

static int
newest (struct mg_connection *conn, Topic *topic)
{
  MD_AUTO_BUF out = { 0 };
  const char *comma = "";

  pthread_mutex_lock (&lock);
  md_buf_append (&out, MD_STR ("{\"items\":["));
  for (size_t i = 0; i < topic->end; i++)
    {
      const MdBuf *record = &topic->records[i];
      size_t key = (unsigned char)record->data[0];
      size_t len = record->len - 1 - key;
      md_autofree char *text = NULL;

      if (!is_newest (topic, i))
        continue;
      text = calloc (1, len * 4 / 3 + 8);
      EVP_EncodeBlock ((unsigned char *)text, (unsigned char *)record->data + 1 + key, (int)len);
      md_buf_printf (&out, "%s{\"key\":\"%.*s\",\"value\":\"%s\",\"offset\":%zu}", comma, (int)key,
                     record->data + 1, text, i);
      comma = ",";
    }
  md_buf_printf (&out, "],\"has_more\":false,\"end_offset\":%zu}", topic->end);
  pthread_mutex_unlock (&lock);
  return respond (conn, 200, md_buf_str (&out));
}

/* True when the request is answered by the mode. */
static bool
misbehave (struct mg_connection *conn)
{
  struct timespec pause = { 0, 200000000 };

  switch (atomic_load (&mode))
    {
    case MODE_SILENT:
      while (atomic_load (&mode) == MODE_SILENT && !atomic_load (&stopping))
        nanosleep (&pause, NULL);
      mg_disable_connection_keep_alive (conn);
      return true;
    case MODE_BUSY:
      respond (conn, 503, MD_STR ("{}"));
      return true;
    case MODE_SLOW:
      nanosleep (&pause, NULL);
      return false;
    default:
      return false;
    }
}

static int
advise (struct mg_connection *conn)
{
  MD_AUTO_BUF body = { 0 };
  MD_AUTO_BUF out = { 0 };
  json_t *root;
  const json_t *workers;

  if (md_http_read_body (conn, BODY_MAX, &body) != 0)
    return respond (conn, 400, MD_STR ("{}"));
  root = md_json_load (md_buf_str (&body), 0, NULL);
  workers = json_object_get (root, "workers");
  if (strcmp (allowed, "nonsense") == 0)
    {
      json_decref (root);
      return respond (conn, 200, MD_STR ("nonsense"));
    }
  md_buf_append (&out, MD_STR ("{\"allowed\":["));
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < json_array_size (workers); i++)
    if (strcmp (json_string_value (json_array_get (workers, i)), allowed) == 0)
      md_buf_printf (&out, "[\"%s\",\"%s/%s/%0*d\"]", allowed, allowed,
                     json_string_value (json_object_get (root, "step")), PERMIT_DIGITS, 0);
  pthread_mutex_unlock (&lock);
  md_buf_append (&out, MD_STR ("],\"valid_ms\":3000}"));
  json_decref (root);
  return respond (conn, 200, md_buf_str (&out));
}

static int
handle (struct mg_connection *conn, void *data MD_UNUSED)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  char text[64];
  int64_t from = variable (info, "from", text, sizeof text);
  int64_t wait = variable (info, "wait_ms", text, sizeof text);
  int64_t max_kb = variable (info, "max_kb", text, sizeof text);
  Topic *topic;

  if (misbehave (conn))
    return 200;
  if (strcmp (info->local_uri, "/v1/advise") == 0)
    return advise (conn);
  variable (info, "topic", text, sizeof text);
  pthread_mutex_lock (&lock);
  topic = topic_of (text);
  pthread_mutex_unlock (&lock);
  if (strcmp (info->local_uri, "/v1/log-append") == 0)
    return append (conn, topic);
  if (strcmp (info->local_uri, "/v1/log-read") == 0)
    return read_records (conn, topic, (size_t)from, wait, (size_t)max_kb * 1024);
  if (strcmp (info->local_uri, "/v1/log-newest") == 0)
    return newest (conn, topic);
  return respond (conn, 404, MD_STR ("{}"));
}

static int
handle_control (struct mg_connection *conn, void *data MD_UNUSED)
{
  static const char *const names[] = { "normal", "silent", "busy", "slow", "lost", "late" };
  char text[512];

  pthread_mutex_lock (&lock);
  variable (mg_get_request_info (conn), "allow", text, sizeof text);
  if (text[0] != '\0')
    snprintf (allowed, sizeof allowed, "%s", text);
  pthread_mutex_unlock (&lock);
  variable (mg_get_request_info (conn), "mode", text, sizeof text);
  if (strcmp (text, "forget") == 0)
    {
      pthread_mutex_lock (&lock);
      for (int i = 0; i < MAX_TOPICS && topics[i] != NULL; i++)
        topics[i]->first = topics[i]->end;
      pthread_mutex_unlock (&lock);
    }
  for (size_t i = 0; i < MD_ARRAY_SIZE (names); i++)
    if (strcmp (text, names[i]) == 0)
      atomic_store (&mode, (int)i);
  return respond (conn, 200, MD_STR ("{}"));
}

static void
on_signal (int number MD_UNUSED)
{
  atomic_store (&stopping, true);
}

int
main (int argc, const char **argv)
{
  char *listen = NULL;
  struct poptOption table[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0, "address", NULL },
                                POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext (argv[0], argc, argv, table, 0);
  struct mg_context *server;

  if (poptGetNextOpt (context) != -1 || listen == NULL)
    {
      poptPrintUsage (context, stderr, 0);
      return 2;
    }
  poptFreeContext (context);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  md_http_init ();
  server = start_server (listen, "64", handle, handle_control);
  if (server == NULL)
    return 1;
  while (!atomic_load (&stopping))
    {
      struct timespec pause = { 0, 100000000 };

      nanosleep (&pause, NULL);
    }
  pthread_cond_broadcast (&changed);
  mg_stop (server);
  return 0;
}
