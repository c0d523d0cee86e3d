/* front-probes.c -- readiness probes, and what operators ask an entry over HTTP

   The servers of front.c call these handlers in threads of their own, so that they answer while all
   threads for callers are busy. */

#include "run-entry.h"

#include <civetweb.h>

static int
handle_metrics (struct mg_connection *conn, MdRunEntry *entry)
{
  MD_AUTO_BUF text = { 0 };

  md_entry_write_metrics (entry, &text);
  mg_printf (conn,
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             text.len);
  mg_write (conn, text.data, text.len);
  return 200;
}

int
md_front_probe (struct mg_connection *conn, void *user)
{
  MdRunEntry *entry = user;
  bool ready = atomic_load (&entry->ready);

  if (strcmp (mg_get_request_info (conn)->local_uri, MD_METRICS_PATH) == 0)
    return handle_metrics (conn, entry);
  mg_printf (conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
             ready ? "200 OK" : "503 Service Unavailable");
  return ready ? 200 : 503;
}

/* Only the server for metrics tells where jobs would go. */
int
md_front_operator (struct mg_connection *conn, void *user)
{
  MdRunEntry *entry = user;

  if (strcmp (mg_get_request_info (conn)->local_uri, MD_WHERE_PATH) == 0)
    return md_front_where (conn, entry);
  return md_front_probe (conn, user);
}
