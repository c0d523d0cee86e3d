/* logclient.c -- client of the platform's log service (HTTP/1.1 with JSON)

   Reads can be repeated safely. Each reading thread keeps one connection and
   replaces it when a request on it fails.

   Appends cannot: a connection that the service closed while it was idle fails in
   the same way as one that broke after the append took effect. Each append therefore
   uses a new connection, and only a failed connect is reported as "nothing was sent"
   (MD_E_NOT_FOUND). After any other failure the record may or may not be in the log,
   and this client does not send it again.

   The timeout of reads grows while the service is slow, so that reading a slow log
   makes progress instead of timing out each time. */

#include "http-client.h"
#include "json-text.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>

/* Time allowed for the response to a read beyond its wait. The maximum, for a slow
   service, also bounds how long a reader waits for a lost response after an outage. */
#define READ_MARGIN_MIN (2 * MD_SECOND)
#define READ_MARGIN_MAX (5 * MD_SECOND)
#define RESPONSE_BYTES_MAX (64u * 1024 * 1024)

typedef struct
{
  MdHttpConnection connection; /* to the log service, kept between reads */
  MdTime margin;               /* timeout of a read beyond its wait */
} Reader;

static pthread_once_t reader_key_once = PTHREAD_ONCE_INIT;
static pthread_key_t reader_key; /* thread-specific Reader */

static void
free_reader (void *data)
{
  Reader *reader = data;

  md_http_disconnect (&reader->connection);
  free (reader);
}

static void
create_reader_key (void)
{
  if (pthread_key_create (&reader_key, free_reader) != 0)
    abort ();
}

static Reader *
thread_reader (void)
{
  Reader *reader;

  pthread_once (&reader_key_once, create_reader_key);
  reader = pthread_getspecific (reader_key);
  if (reader != NULL)
    return reader;
  reader = calloc (1, sizeof *reader);
  if (reader == NULL || pthread_setspecific (reader_key, reader) != 0)
    abort ();
  reader->margin = READ_MARGIN_MIN;
  return reader;
}

/* Checks the status codes that appends and reads have in common. */
static int
check_status (const MdHttpResponse *response, const char *peer, MdError *error)
{
  if (response->status == 200 || response->status == 201)
    return MD_OK;
  return md_error_set (error,
                       response->status >= 400 && response->status < 500 ? MD_E_INVALID : MD_E_IO,
                       "answer", peer, "status %d", response->status);
}

/* ------------------------------------------------------------------ */
/* Append                                                              */

static int
parse_offset (const MdHttpResponse *response, uint64_t *offset, const char *peer, MdError *error)
{
  json_t *root = md_http_response_json (response);
  const json_t *value = json_object_get (root, "offset");
  int rc = MD_OK;

  if (json_is_integer (value) && json_integer_value (value) >= 0)
    *offset = (uint64_t)json_integer_value (value);
  else
    rc = md_error_set (error, MD_E_IO, "answer", peer, "the response has no offset");
  json_decref (root);
  return rc;
}

int
md_log_append (MdStr address, MdStr stream, MdStr json, MdTime timeout, uint64_t *offset,
               MdError *error)
{
  char peer[MD_ADDRESS_BYTES];
  MD_AUTO_BUF path = { 0 };
  MD_AUTO_BUF body = { 0 };
  MdHttpRequest request = { .address = peer, .method = "POST", .timeout = timeout };
  MdHttpResponse response = { 0 };
  int rc;

  md_str_copy (peer, sizeof peer, address);
  md_count (MD_M_LOG_APPENDS, 1);
  md_buf_printf (&path, "/v1/streams/%.*s/records", (int)stream.len, stream.data);
  md_buf_printf (&body, "{\"data\":%.*s}", (int)json.len, json.data);
  if (path.failed || body.failed)
    return md_error_set (error, MD_E_MEMORY, "send", peer, "out of memory");
  request.path = path.data;
  request.body = md_buf_str (&body);
  request.max_bytes = RESPONSE_BYTES_MAX;
  rc = md_http_call (&request, &response, error);
  if (rc == MD_OK)
    rc = check_status (&response, peer, error);
  if (rc == MD_OK)
    rc = parse_offset (&response, offset, peer, error);
  if (rc != MD_OK)
    md_count (MD_M_LOG_ERRORS, 1);
  md_http_response_clear (&response);
  return rc;
}

/* ------------------------------------------------------------------ */
/* Read                                                                */

/* Doubles the margin after a timeout. After a successful read it decays by 1/8, to no
   less than twice the time that the response took beyond its wait. */
static void
adapt_margin (Reader *reader, int rc, MdTime elapsed, MdTime wait)
{
  MdTime target;

  if (rc == MD_E_TIMEOUT)
    {
      reader->margin = reader->margin * 2 < READ_MARGIN_MAX ? reader->margin * 2 : READ_MARGIN_MAX;
      return;
    }
  if (rc != MD_OK)
    return;
  target = elapsed > wait ? 2 * (elapsed - wait) : 0;
  reader->margin -= reader->margin / 8;
  if (reader->margin < target)
    reader->margin = target;
  if (reader->margin < READ_MARGIN_MIN)
    reader->margin = READ_MARGIN_MIN;
  if (reader->margin > READ_MARGIN_MAX)
    reader->margin = READ_MARGIN_MAX;
}

static bool
parse_uint_member (const json_t *object, const char *key, uint64_t *out)
{
  const json_t *value = json_object_get (object, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

/* Malformed records are skipped. False when memory is short. */
static bool
deliver_record (const json_t *item, void (*on_record) (void *user, const MdLogRecord *record),
                void *user)
{
  MdLogRecord record = { 0 };
  uint64_t time_ms = 0;
  const json_t *data = json_object_get (item, "data");
  md_autofree char *text = md_json_text (data, JSON_COMPACT | JSON_ENCODE_ANY, md_json_failures ());

  if (text == NULL && data != NULL)
    return false;
  if (text == NULL || !parse_uint_member (item, "offset", &record.offset))
    return true;
  parse_uint_member (item, "time_ms", &time_ms);
  record.time_ms = (int64_t)time_ms;
  record.data = md_str (text);
  on_record (user, &record);
  return true;
}

static int
parse_records (const json_t *root, void (*on_record) (void *user, const MdLogRecord *record),
               void *user, uint64_t *first, uint64_t *next, const char *peer, MdError *error)
{
  const json_t *records = json_object_get (root, "records");
  size_t index;
  json_t *item;

  if (!parse_uint_member (root, "first", first) || !parse_uint_member (root, "next", next)
      || !json_is_array (records))
    return md_error_set (error, MD_E_IO, "answer", peer, "malformed response");
  json_array_foreach ((json_t *)records, index, item)
  {
    /* The reader goes on at this record; a skipped one would be missing in the state. */
    if (!deliver_record (item, on_record, user))
      return md_error_set (error, MD_E_MEMORY, "answer", peer, "out of memory");
  }
  return MD_OK;
}

int
md_log_read (MdStr address, MdStr stream, uint64_t from, uint32_t max, MdTime wait,
             void (*on_record) (void *user, const MdLogRecord *record), void *user, uint64_t *first,
             uint64_t *next, MdError *error)
{
  Reader *reader = thread_reader ();
  char peer[MD_ADDRESS_BYTES];
  MD_AUTO_BUF path = { 0 };
  MdHttpRequest request = { .address = peer, .method = "GET", .max_bytes = RESPONSE_BYTES_MAX };
  MdHttpResponse response = { 0 };
  MdTime start = md_now ();
  json_t *root;
  int rc;

  md_str_copy (peer, sizeof peer, address);
  md_count (MD_M_LOG_READS, 1);
  md_buf_printf (&path, "/v1/streams/%.*s/records?from=%llu&limit=%u&wait_ms=%lld", (int)stream.len,
                 stream.data, (unsigned long long)from, max, (long long)(wait / MD_MS));
  if (path.failed)
    return md_error_set (error, MD_E_MEMORY, "send", peer, "out of memory");
  request.path = path.data;
  request.timeout = wait + reader->margin;
  rc = md_http_call_on (&reader->connection, &request, &response, error);
  adapt_margin (reader, rc, md_now () - start, wait);
  root = rc == MD_OK ? md_http_response_json (&response) : NULL;
  if (rc == MD_OK && response.status == 410)
    rc = parse_uint_member (root, "first", first)
             ? MD_E_TOO_OLD
             : md_error_set (error, MD_E_IO, "answer", peer, "410 without \"first\"");
  else if (rc == MD_OK)
    rc = check_status (&response, peer, error);
  if (rc == MD_OK)
    rc = parse_records (root, on_record, user, first, next, peer, error);
  if (rc != MD_OK && rc != MD_E_TOO_OLD)
    md_count (MD_M_LOG_ERRORS, 1);
  json_decref (root);
  md_http_response_clear (&response);
  return rc;
}
