/* logd.c -- stand-in of the platform's append-only log service, for tests

   Serves the protocol of design section 5 from memory, and misbehaves on request.
   Faults are set per stream by POST /control?stream=S&NAME=VALUE (all streams
   when stream is absent):

     down=no|refuse|close|hang   answer 503, close without an answer, or do not
                                 answer until the fault is lifted
     delay_ms=N                  wait before each answer
     lose=N                      close without an answer after each of the next N
                                 appends took effect
     duplicate=N                 store each of the next N appends twice
     older=N                     answer reads as if the last N records were absent
     retention=N                 keep the last N records (0: all)

   GET /control answers counters per stream. */

#include "http-client.h"
#include "json-text.h"
#include "md-private.h"

#include <civetweb.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#define STREAMS_MAX 8
#define BODY_MAX (32u * 1024 * 1024)

typedef enum
{
  DOWN_NO,
  DOWN_REFUSE,
  DOWN_CLOSE,
  DOWN_HANG,
} Down;

typedef struct
{
  int64_t time_ms; /* when it was appended */
  char *data;      /* JSON text, owned */
} Record;

typedef struct
{
  char name[64];      /* stream */
  Record *records;    /* kept records */
  size_t n_records;   /* kept */
  size_t cap_records; /* allocated */
  uint64_t first;     /* offset of the first one kept */
  uint64_t retention; /* records kept, 0 all */
  uint64_t appends;   /* requests that took effect */
  uint64_t reads;     /* requests */
  Down down;          /* fault */
  uint64_t delay_ms;  /* fault */
  uint64_t lose;      /* fault: answers still to lose */
  uint64_t duplicate; /* fault: appends still to store twice */
  uint64_t older;     /* fault: records hidden at the end */
} Stream;

typedef struct
{
  pthread_mutex_t lock;        /* guards everything below */
  pthread_cond_t changed;      /* record appended, fault changed, stopping */
  Stream streams[STREAMS_MAX]; /* by order of first use */
  size_t n_streams;            /* in use */
  bool stopping;               /* the process ends */
} Log;

static Stream *
get_stream (Log *log, const char *name, size_t len)
{
  for (size_t i = 0; i < log->n_streams; i++)
    {
      if (strlen (log->streams[i].name) == len && memcmp (log->streams[i].name, name, len) == 0)
        return &log->streams[i];
    }
  if (log->n_streams == STREAMS_MAX || len >= sizeof log->streams[0].name)
    return NULL;
  md_str_copy (log->streams[log->n_streams].name, sizeof log->streams[0].name,
               md_str_n (name, len));
  return &log->streams[log->n_streams++];
}

static void
drop_oldest (Stream *s)
{
  free (s->records[0].data);
  memmove (s->records, s->records + 1, (s->n_records - 1) * sizeof *s->records);
  s->n_records--;
  s->first++;
}

static uint64_t
end_of (const Stream *s)
{
  return s->first + s->n_records;
}

static uint64_t
store_record (Stream *s, const char *data)
{
  if (s->n_records == s->cap_records)
    {
      s->cap_records = s->cap_records ? s->cap_records * 2 : 64;
      s->records = realloc (s->records, s->cap_records * sizeof *s->records);
      if (s->records == NULL)
        abort ();
    }
  s->records[s->n_records++] = (Record){ md_wall_ms (), strdup (data) };
  while (s->retention > 0 && s->n_records > s->retention)
    drop_oldest (s);
  return end_of (s) - 1;
}

/* ------------------------------------------------------------------ */
/* Answers                                                             */

static int
answer_json (struct mg_connection *conn, int status, const MdBuf *body)
{
  MD_AUTO_BUF out = { 0 };

  md_buf_printf (&out,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                 status, mg_get_response_code_text (conn, status), body->len);
  md_buf_append (&out, md_buf_str (body));
  mg_write (conn, out.data, out.len);
  return status;
}

static int
answer_text (struct mg_connection *conn, int status, const char *text)
{
  MD_AUTO_BUF body = { 0 };

  md_buf_printf (&body, "{\"detail\":\"%s\"}", text);
  return answer_json (conn, status, &body);
}

static int
close_silently (struct mg_connection *conn)
{
  mg_disable_connection_keep_alive (conn);
  return 444;
}

/* Waits on the condition until a wall clock time; called with the lock. */
static void
wait_until (Log *log, int64_t wall_ms)
{
  struct timespec ts = { wall_ms / 1000, (wall_ms % 1000) * 1000000 };

  pthread_cond_timedwait (&log->changed, &log->lock, &ts);
}

/* Applies the faults "down" and "delay_ms"; called with the lock. Returns false
   when the request has been dealt with. */
static bool
pass_faults (Log *log, Stream *s, struct mg_connection *conn, int *status)
{
  int64_t until = md_wall_ms () + (int64_t)s->delay_ms;

  while (!log->stopping && md_wall_ms () < until)
    wait_until (log, until);
  while (!log->stopping && s->down == DOWN_HANG)
    wait_until (log, md_wall_ms () + 1000);
  if (s->down == DOWN_NO && !log->stopping)
    return true;
  *status = s->down == DOWN_REFUSE ? answer_text (conn, 503, "down") : close_silently (conn);
  return false;
}

static bool
read_body (struct mg_connection *conn, MdBuf *body)
{
  char chunk[8192];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      md_buf_append (body, md_str_n (chunk, (size_t)n));
      if (body->len > BODY_MAX)
        return false;
    }
  return n == 0;
}

/* ------------------------------------------------------------------ */
/* Records                                                             */

static int
append (Log *log, Stream *s, struct mg_connection *conn, const char *data)
{
  MD_AUTO_BUF answer = { 0 };
  uint64_t offset;
  int status = 0;

  if (!pass_faults (log, s, conn, &status))
    return status;
  offset = store_record (s, data);
  s->appends++;
  if (s->duplicate > 0)
    {
      s->duplicate--;
      store_record (s, data);
    }
  pthread_cond_broadcast (&log->changed);
  if (s->lose > 0)
    {
      s->lose--;
      return close_silently (conn);
    }
  md_buf_printf (&answer, "{\"offset\":%llu}", (unsigned long long)offset);
  return answer_json (conn, 200, &answer);
}

static int
handle_append (Log *log, Stream *s, struct mg_connection *conn)
{
  MD_AUTO_BUF body = { 0 };
  json_t *root;
  md_autofree char *data = NULL;
  int status;

  if (!read_body (conn, &body))
    return answer_text (conn, 413, "body too long");
  root = md_json_load (md_buf_str (&body), 0, NULL);
  if (json_object_get (root, "data") != NULL)
    data = json_dumps (json_object_get (root, "data"), JSON_COMPACT | JSON_ENCODE_ANY);
  json_decref (root);
  if (data == NULL)
    return answer_text (conn, 400, "no data");
  pthread_mutex_lock (&log->lock);
  status = append (log, s, conn, data);
  pthread_mutex_unlock (&log->lock);
  return status;
}

static uint64_t
parameter (const struct mg_request_info *info, const char *name, uint64_t fallback)
{
  char value[32];
  const char *query = info->query_string;

  if (query == NULL || mg_get_var (query, strlen (query), name, value, sizeof value) <= 0)
    return fallback;
  return strtoull (value, NULL, 10);
}

static uint64_t
visible_end (const Stream *s)
{
  uint64_t n = s->n_records > s->older ? s->n_records - s->older : 0;

  return s->first + n;
}

static void
write_records (const Stream *s, uint64_t from, uint64_t limit, MdBuf *out)
{
  uint64_t end = visible_end (s);
  uint64_t next = from < end ? from : end;

  md_buf_printf (out, "{\"first\":%llu,\"records\":[", (unsigned long long)s->first);
  for (; next < end && next - from < limit; next++)
    {
      const Record *r = &s->records[next - s->first];

      md_buf_printf (out, "%s{\"offset\":%llu,\"time_ms\":%lld,\"data\":%s}",
                     next > from ? "," : "", (unsigned long long)next, (long long)r->time_ms,
                     r->data);
    }
  md_buf_printf (out, "],\"next\":%llu}", (unsigned long long)next);
}

static int
handle_read (Log *log, Stream *s, struct mg_connection *conn)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  uint64_t from = parameter (info, "from", 0);
  uint64_t limit = parameter (info, "limit", 100);
  int64_t until = md_wall_ms () + (int64_t)parameter (info, "wait_ms", 0);
  MD_AUTO_BUF out = { 0 };
  int status = 200;

  pthread_mutex_lock (&log->lock);
  s->reads++;
  while (!log->stopping && s->down == DOWN_NO && from >= visible_end (s) && md_wall_ms () < until)
    wait_until (log, until);
  if (!pass_faults (log, s, conn, &status))
    {
      pthread_mutex_unlock (&log->lock);
      return status;
    }
  if (from < s->first)
    {
      md_buf_printf (&out, "{\"first\":%llu}", (unsigned long long)s->first);
      status = 410;
    }
  else
    write_records (s, from, limit, &out);
  pthread_mutex_unlock (&log->lock);
  return answer_json (conn, status, &out);
}

/* /v1/streams/S/records */
static int
handle_streams (struct mg_connection *conn, void *data)
{
  Log *log = data;
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *name = info->local_uri + strlen ("/v1/streams/");
  const char *end = strchr (name, '/');
  Stream *s;

  if (end == NULL || strcmp (end, "/records") != 0)
    return answer_text (conn, 404, "no such path");
  pthread_mutex_lock (&log->lock);
  s = get_stream (log, name, (size_t)(end - name));
  pthread_mutex_unlock (&log->lock);
  if (s == NULL)
    return answer_text (conn, 404, "no such stream");
  if (strcmp (info->request_method, "POST") == 0)
    return handle_append (log, s, conn);
  return handle_read (log, s, conn);
}

/* ------------------------------------------------------------------ */
/* Control                                                             */

static void
set_down (Stream *s, const char *query)
{
  static const char *const names[] = { "no", "refuse", "close", "hang" };
  char value[16];

  if (mg_get_var (query, strlen (query), "down", value, sizeof value) <= 0)
    return;
  for (size_t i = 0; i < MD_ARRAY_SIZE (names); i++)
    {
      if (strcmp (value, names[i]) == 0)
        s->down = (Down)i;
    }
}

static void
set_faults (Stream *s, const struct mg_request_info *info)
{
  set_down (s, info->query_string);
  s->delay_ms = parameter (info, "delay_ms", s->delay_ms);
  s->lose = parameter (info, "lose", s->lose);
  s->duplicate = parameter (info, "duplicate", s->duplicate);
  s->older = parameter (info, "older", s->older);
  s->retention = parameter (info, "retention", s->retention);
  while (s->retention > 0 && s->n_records > s->retention)
    drop_oldest (s);
}

static void
write_counters (Log *log, MdBuf *out)
{
  md_buf_append (out, MD_STR ("{"));
  for (size_t i = 0; i < log->n_streams; i++)
    {
      const Stream *s = &log->streams[i];

      md_buf_printf (out, "%s\"%s\":{\"first\":%llu,\"next\":%llu,\"appends\":%llu,\"reads\":%llu}",
                     i > 0 ? "," : "", s->name, (unsigned long long)s->first,
                     (unsigned long long)end_of (s), (unsigned long long)s->appends,
                     (unsigned long long)s->reads);
    }
  md_buf_append (out, MD_STR ("}"));
}

static int
handle_control (struct mg_connection *conn, void *data)
{
  Log *log = data;
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *query = info->query_string ? info->query_string : "";
  MD_AUTO_BUF out = { 0 };
  char name[64];

  pthread_mutex_lock (&log->lock);
  if (mg_get_var (query, strlen (query), "stream", name, sizeof name) > 0)
    get_stream (log, name, strlen (name));
  else
    name[0] = '\0';
  for (size_t i = 0; *query != '\0' && i < log->n_streams; i++)
    {
      if (name[0] == '\0' || strcmp (name, log->streams[i].name) == 0)
        set_faults (&log->streams[i], info);
    }
  pthread_cond_broadcast (&log->changed);
  write_counters (log, &out);
  pthread_mutex_unlock (&log->lock);
  return answer_json (conn, 200, &out);
}

/* ------------------------------------------------------------------ */

static struct mg_context *
start_server (Log *log, const char *listen)
{
  const char *options[] = { "listening_ports",
                            listen,
                            "num_threads",
                            "96",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "30000",
                            "tcp_nodelay",
                            "1",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *ctx;

  md_http_init ();
  ctx = mg_start (&callbacks, log, options);
  if (ctx == NULL)
    return NULL;
  mg_set_request_handler (ctx, "/v1/streams/**", handle_streams, log);
  mg_set_request_handler (ctx, "/control", handle_control, log);
  return ctx;
}

static void
free_log (Log *log)
{
  for (size_t i = 0; i < log->n_streams; i++)
    {
      for (size_t k = 0; k < log->streams[i].n_records; k++)
        free (log->streams[i].records[k].data);
      free (log->streams[i].records);
    }
}

int
main (int argc, const char **argv)
{
  static Log log = { .lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER };
  md_autofree char *address = NULL; /* popt allocates it */
  const char *listen;
  long retention = 0;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &address, 0, "address to listen on", "IP:PORT" },
    { "retention", 'r', POPT_ARG_LONG, &retention, 0, "records kept per stream", "N" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext pc = poptGetContext ("logd", argc, argv, options, 0);
  struct mg_server_port ports[1];
  struct mg_context *ctx;
  sigset_t signals;
  int sig;

  if (poptGetNextOpt (pc) < -1)
    return MD_EXIT_USAGE;
  poptFreeContext (pc);
  listen = address ? address : "127.0.0.1:0";
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  get_stream (&log, "config", 6)->retention = (uint64_t)retention;
  get_stream (&log, "members", 7)->retention = (uint64_t)retention;
  ctx = start_server (&log, listen);
  if (ctx == NULL || mg_get_server_ports (ctx, 1, ports) != 1)
    {
      fprintf (stderr, "logd: cannot listen on %s\n", listen);
      return MD_EXIT_FAILED;
    }
  printf ("listening %.*s:%d\n", (int)(strrchr (listen, ':') - listen), listen, ports[0].port);
  fflush (stdout);
  sigwait (&signals, &sig);
  pthread_mutex_lock (&log.lock);
  log.stopping = true;
  pthread_cond_broadcast (&log.changed);
  pthread_mutex_unlock (&log.lock);
  mg_stop (ctx);
  free_log (&log);
  return MD_EXIT_OK;
}
