/* operator-watch.c -- streams of changes for operators

   The only state of a watch is a position in a ring of recent changes; no change is
   queued for a client. A client that stops reading blocks one write until the server's
   timeout and is disconnected; one that reads too slowly falls behind the ring and
   receives an error with status 410. In both cases it occupies one thread for a bounded
   time and no memory.

   An idle watch sends a bookmark at regular intervals. The bookmark lets the client
   resume from a recent version, and writing it detects a closed connection. */

#include "operator-private.h"

#include <stdio.h>

#define POLL_INTERVAL (250 * MD_MS) /* longest delay until a stop is detected */
#define BOOKMARK_INTERVAL (5 * MD_SECOND)

typedef struct
{
  OpRequest *request;
  uint64_t version; /* of the last change sent or skipped */
  MdTime written;   /* time of the last write */
  bool chunked;     /* chunked transfer coding: the client uses HTTP/1.1 */
} Watch;

static int
next_change (Watch *watch, MdTime wait, MdBuf *line)
{
  const OpRequest *r = watch->request;

  if (r->declared)
    return md_store_next (r->server->store, r->kind, &watch->version, wait, line);
  return md_observed_next (r->server->observed, r->kind, operator_customer_filter (r),
                           &watch->version, wait, line);
}

static bool
write_line (Watch *watch, MdBuf *line)
{
  struct mg_connection *conn = watch->request->conn;
  int sent;

  md_buf_append (line, MD_STR ("\n"));
  if (line->failed)
    return false;
  if (watch->chunked)
    sent = mg_send_chunk (conn, line->data, (unsigned)line->len);
  else
    sent = mg_write (conn, line->data, line->len);
  watch->written = md_now ();
  return sent >= (int)line->len;
}

static bool
write_bookmark (Watch *watch)
{
  MD_AUTO_BUF line = { 0 };

  md_buf_printf (&line, "{\"type\":\"bookmark\",\"version\":%llu}",
                 (unsigned long long)watch->version);
  return write_line (watch, &line);
}

static void
write_too_old (Watch *watch)
{
  MD_AUTO_BUF line = { 0 };

  md_buf_printf (&line,
                 "{\"type\":\"error\",\"status\":410,\"version\":%llu,"
                 "\"detail\":\"changes after this version are no longer kept; list again\"}",
                 (unsigned long long)watch->version);
  write_line (watch, &line);
}

static void
write_headers (const Watch *watch)
{
  mg_printf (watch->request->conn,
             "HTTP/1.1 200 OK\r\nConnection: close\r\nCache-Control: no-store\r\n"
             "Content-Type: application/x-ndjson\r\n%s\r\n",
             watch->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

/* Writes the next change or a bookmark. Returns false when the watch ends. */
static bool
write_next (Watch *watch)
{
  MD_AUTO_BUF line = { 0 };

  switch (next_change (watch, POLL_INTERVAL, &line))
    {
    case MD_OK:
      return write_line (watch, &line);
    case MD_E_NOT_FOUND:
      return md_now () - watch->written < BOOKMARK_INTERVAL || write_bookmark (watch);
    case MD_E_TOO_OLD:
      write_too_old (watch);
      return false;
    default:
      return false;
    }
}

static int
run_watch (Watch *watch)
{
  MD_AUTO_BUF line = { 0 };
  struct mg_connection *conn = watch->request->conn;
  int rc = next_change (watch, 0, &line);
  bool open;

  if (rc == MD_E_LIMIT)
    return operator_not_ready (conn);
  if (rc == MD_E_TOO_OLD)
    return operator_problem (conn, 410, "", "",
                             "changes after this version are no longer kept; list again");
  write_headers (watch);
  open = line.len > 0 ? write_line (watch, &line) : write_bookmark (watch);
  while (open && !atomic_load (&watch->request->server->stopping))
    open = write_next (watch);
  if (watch->chunked)
    mg_send_chunk (conn, "", 0);
  return 200;
}

static bool
parse_version (const char *text, uint64_t *version)
{
  char *end;

  if (*text < '0' || *text > '9' || strlen (text) > 18)
    return false;
  *version = strtoull (text, &end, 10);
  return *end == '\0';
}

int
operator_watch (OpRequest *request, const char *version_text)
{
  MdOperator *server = request->server;
  const char *http = request->info->http_version;
  Watch watch = { .request = request };
  int status;

  watch.chunked = http != NULL && strcmp (http, "1.1") == 0;
  if (!parse_version (version_text, &watch.version))
    return operator_problem (request->conn, 400, "", "", "watch must be a version");
  if (!operator_acquire (&server->watches, server->max_watches))
    return operator_problem (request->conn, 503, "Retry-After: 5\r\n", "",
                             "the limit of open watches at this entry has been reached");
  status = run_watch (&watch);
  operator_release (&server->watches);
  return status;
}
