/* http-async.c -- non-blocking HTTP client based on libcurl's multi interface

   The client of CivetWeb blocks, and its connect times out only after ten seconds. The
   platform's store and the workers can be unresponsive for seconds, and the engine
   thread must not block on them. These calls therefore use libcurl, whose sockets are
   polled by the epoll set of the links.

   A libcurl handle is expensive to create, so the handles of ended calls are reused.

   A connection can go silent without an end, and others to the same peer at the same time: a
   device between them has lost its state, or the machine was suspended. After a time-out of a
   second or more, connections that have been idle since before it are therefore closed instead of
   reused. */

#include "http-async.h"

#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/epoll.h>

#define MIN_WATCHES 256                   /* first size of the table, by descriptor */
#define MAX_IDLE_CALLS 16                 /* handles kept for reuse */
#define MAX_RESPONSE_BYTES (4u << 20)     /* of a response; the store's have 1 MB in base64 */
#define MAX_IDLE_BYTES (64u << 10)        /* of a buffer that an idle call keeps */
#define MAX_CONNECT_TIMEOUT (400 * MD_MS) /* then a silent peer is dialled again */
#define MAX_IDLE_TIME (60 * MD_SECOND)    /* idle connections are reused for this long */
#define MIN_SILENCE (1 * MD_SECOND)       /* shorter time-outs are those of a slow peer */

typedef struct Call Call;

struct Call
{
  Call *next;                 /* in MdHttp.idle or MdHttp.active */
  Call *previous;             /* in MdHttp.active */
  MdHttp *http;               /* owner of the call */
  CURL *easy;                 /* owned */
  struct curl_slist *headers; /* of the request, owned */
  MdBuf request;              /* body to send */
  MdBuf response;             /* body received so far */
  MdHttpDone done;
  void *user;      /* first argument of done */
  bool sent;       /* the request was sent, at least in part */
  bool idempotent; /* it may be sent again */
  MdTime started;  /* time of md_http_start */
  char address[MD_ADDRESS_BYTES];
  char reason[CURL_ERROR_SIZE]; /* error message of libcurl, may be empty */
};

struct MdHttp
{
  MdLinks *links;    /* polls the sockets; not owned */
  CURLM *multi;      /* owned */
  Call *active;      /* calls in progress, owned */
  Call *idle;        /* ended calls for reuse, owned */
  unsigned n_idle;   /* at most MAX_IDLE_CALLS */
  MdTime due;        /* time-out of libcurl, INT64_MAX none */
  MdTime silent_at;  /* when a call last timed out after MIN_SILENCE, 0: never */
  MdWatch **watches; /* by descriptor, owned, each as well; NULL: never used */
  size_t n_watches;  /* allocated; grows with the highest descriptor */
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* ------------------------------------------------------------------ */
/* Sockets and timer of libcurl                                       */

static void
on_socket_event (void *user, int fd, uint32_t events)
{
  MdHttp *http = user;
  int flags = 0;
  int running;

  if (events & EPOLLIN)
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    flags |= CURL_CSELECT_ERR;
  curl_multi_socket_action (http->multi, fd, flags, &running);
}

/* The links of a process may use thousands of descriptors, so that the table has no fixed size. */
static bool
grow_watches (MdHttp *http, size_t fd)
{
  size_t n = http->n_watches > 0 ? http->n_watches : MIN_WATCHES;
  MdWatch **grown;

  if (fd < http->n_watches)
    return true;
  while (n <= fd)
    n *= 2;
  grown = realloc (http->watches, n * sizeof (MdWatch *));
  if (grown == NULL)
    return false;
  memset (grown + http->n_watches, 0, (n - http->n_watches) * sizeof (MdWatch *));
  http->watches = grown;
  http->n_watches = n;
  return true;
}

static MdWatch *
get_watch (MdHttp *http, curl_socket_t fd)
{
  MdWatch *watch;

  if (fd < 0 || !grow_watches (http, (size_t)fd))
    return NULL;
  if (http->watches[fd] != NULL)
    return http->watches[fd];
  watch = calloc (1, sizeof *watch);
  if (watch == NULL)
    return NULL;
  watch->fd = -1;
  watch->on_event = on_socket_event;
  watch->user = http;
  http->watches[fd] = watch;
  return watch;
}

static int
on_socket (CURL *easy MD_UNUSED, curl_socket_t fd, int what, void *user, void *data MD_UNUSED)
{
  MdHttp *http = user;
  MdWatch *watch = get_watch (http, fd);
  uint32_t events = 0;

  if (watch == NULL)
    {
      md_log (MD_LOG_ERROR, "http-watch", "fd=%d reason=\"out of memory\"", (int)fd);
      return -1;
    }
  if (what == CURL_POLL_REMOVE)
    {
      md_links_unwatch (http->links, watch);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    events |= EPOLLOUT;
  return md_links_watch (http->links, watch, fd, events) == MD_OK ? 0 : -1;
}

static int
on_timer (CURLM *multi MD_UNUSED, long timeout_ms, void *user)
{
  MdHttp *http = user;

  http->due = timeout_ms < 0 ? INT64_MAX : md_now () + timeout_ms * MD_MS;
  return 0;
}

/* ------------------------------------------------------------------ */
/* Life cycle                                                         */

MdHttp *
md_http_new (MdLinks *links, long max_connections)
{
  MdHttp *http = calloc (1, sizeof *http);

  if (http == NULL)
    return NULL;
  pthread_once (&curl_once, init_curl);
  http->links = links;
  http->due = INT64_MAX;
  http->multi = curl_multi_init ();
  if (http->multi == NULL)
    {
      free (http);
      return NULL;
    }
  curl_multi_setopt (http->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (http->multi, CURLMOPT_SOCKETDATA, http);
  curl_multi_setopt (http->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (http->multi, CURLMOPT_TIMERDATA, http);
  curl_multi_setopt (http->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_connections);
  /* By default libcurl closes idle connections when few calls are in progress. */
  curl_multi_setopt (http->multi, CURLMOPT_MAXCONNECTS, max_connections);
  return http;
}

static void
free_call (Call *call)
{
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  md_buf_clear (&call->request);
  md_buf_clear (&call->response);
  free (call);
}

void
md_http_free (MdHttp *http)
{
  if (http == NULL)
    return;
  for (Call *call = http->active, *next; call != NULL; call = next)
    {
      next = call->next;
      curl_multi_remove_handle (http->multi, call->easy);
      free_call (call);
    }
  for (Call *call = http->idle, *next; call != NULL; call = next)
    {
      next = call->next;
      free_call (call);
    }
  curl_multi_cleanup (http->multi);
  for (size_t fd = 0; fd < http->n_watches; fd++)
    {
      if (http->watches[fd] != NULL)
        md_links_unwatch (http->links, http->watches[fd]);
      free (http->watches[fd]);
    }
  free (http->watches);
  free (http);
}

/* ------------------------------------------------------------------ */
/* Calls                                                              */

static size_t
on_body (char *data, size_t size, size_t n, void *user)
{
  Call *call = user;

  md_buf_append (&call->response, md_str_n (data, size * n));
  if (call->response.failed || call->response.len > MAX_RESPONSE_BYTES)
    return 0;
  return size * n;
}

static Call *
new_call (MdHttp *http)
{
  Call *call = http->idle;

  if (call != NULL)
    {
      http->idle = call->next;
      http->n_idle--;
      return call;
    }
  call = calloc (1, sizeof *call);
  if (call == NULL)
    return NULL;
  call->http = http;
  call->easy = curl_easy_init ();
  if (call->easy != NULL)
    return call;
  free (call);
  return NULL;
}

static void
empty_buffer (MdBuf *buf)
{
  buf->len = 0;
  if (buf->cap > MAX_IDLE_BYTES)
    md_buf_clear (buf);
}

static void
recycle_call (Call *call)
{
  MdHttp *http = call->http;

  if (http->n_idle >= MAX_IDLE_CALLS)
    {
      free_call (call);
      return;
    }
  curl_easy_reset (call->easy);
  curl_slist_free_all (call->headers);
  call->headers = NULL;
  empty_buffer (&call->request);
  empty_buffer (&call->response);
  call->next = http->idle;
  http->idle = call;
  http->n_idle++;
}

static void
add_header (Call *call, const char *line)
{
  struct curl_slist *list = curl_slist_append (call->headers, line);

  if (list != NULL)
    call->headers = list;
}

static void
add_headers (Call *call, const char *lines)
{
  /* Disables 100-continue, which costs a round trip even for bodies of a few kilobytes. */
  add_header (call, "Expect:");
  while (lines != NULL && *lines != '\0')
    {
      const char *end = strstr (lines, "\r\n");
      MD_AUTO_BUF line = { 0 };

      if (end == NULL)
        return;
      md_buf_append (&line, md_str_n (lines, (size_t)(end - lines)));
      if (line.data != NULL)
        add_header (call, line.data);
      lines = end + 2;
    }
}

/* Called before libcurl sends the request, each time it does. libcurl sends a request again when
   a reused connection breaks before the first byte of the response, even though the server may
   have processed it. Only idempotent calls permit that. */
static int
on_send (void *user, char *peer_ip MD_UNUSED, char *local_ip MD_UNUSED, int peer_port MD_UNUSED,
         int local_port MD_UNUSED)
{
  Call *call = user;

  if (call->sent && !call->idempotent)
    {
      md_count (MD_M_HTTP_REPEATS_PREVENTED, 1);
      return CURL_PREREQFUNC_ABORT;
    }
  call->sent = true;
  return CURL_PREREQFUNC_OK;
}

/* How long a connection may have been idle to be reused. libcurl counts whole seconds. */
static long
max_idle_seconds (const MdHttp *http)
{
  MdTime idle = MAX_IDLE_TIME;

  if (http->silent_at > 0 && md_now () - http->silent_at < idle)
    idle = md_now () - http->silent_at;
  return (long)(idle / MD_SECOND);
}

static void
set_options (Call *call, const MdHttpCall *request)
{
  MD_AUTO_BUF url = { 0 };
  MdTime connect = request->timeout < MAX_CONNECT_TIMEOUT ? request->timeout : MAX_CONNECT_TIMEOUT;

  md_buf_printf (&url, "http://%s%s", request->address, request->target);
  add_headers (call, request->headers);
  curl_easy_setopt (call->easy, CURLOPT_URL, url.data);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (call->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_ERRORBUFFER, call->reason);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)(request->timeout / MD_MS));
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)(connect / MD_MS));
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, max_idle_seconds (call->http));
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  if (strcmp (request->method, "GET") == 0)
    return;
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE, (long)call->request.len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->request.data ? call->request.data : "");
}

static void
link_active (Call *call)
{
  call->previous = NULL;
  call->next = call->http->active;
  if (call->next != NULL)
    call->next->previous = call;
  call->http->active = call;
}

static void
unlink_active (Call *call)
{
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    call->http->active = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
}

int
md_http_start (MdHttp *http, const MdHttpCall *request, MdHttpDone done, void *user)
{
  Call *call = new_call (http);

  if (call == NULL)
    return MD_E_MEMORY;
  call->done = done;
  call->user = user;
  call->sent = false;
  call->idempotent = request->idempotent;
  call->started = md_now ();
  call->reason[0] = '\0';
  md_str_copy (call->address, sizeof call->address, md_str (request->address));
  md_buf_append (&call->request, request->body);
  set_options (call, request);
  if (curl_multi_add_handle (http->multi, call->easy) != CURLM_OK)
    {
      free_call (call);
      return MD_E_MEMORY;
    }
  link_active (call);
  return MD_OK;
}

/* A request that was sent over a reused connection can end so as well: the connection broke, and
   libcurl found nobody listening when it tried again. */
static bool
was_refused (const Call *call, CURLcode code)
{
  long number = 0;

  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &number);
  return code == CURLE_COULDNT_CONNECT && number == ECONNREFUSED && !call->sent;
}

static void
finish_call (Call *call, CURLcode code)
{
  MdHttpAsyncResponse response = { .elapsed = md_now () - call->started };
  long status = 0;

  if (code == CURLE_OK)
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      response.status = (int)status;
      response.body = md_buf_str (&call->response);
    }
  else
    md_error_set (&response.error, code == CURLE_OPERATION_TIMEDOUT ? MD_E_TIMEOUT : MD_E_IO,
                  "call", call->address, "%s",
                  call->reason[0] != '\0' ? call->reason : curl_easy_strerror (code));
  if (code == CURLE_OPERATION_TIMEDOUT && response.elapsed >= MIN_SILENCE)
    call->http->silent_at = md_now ();
  response.refused = was_refused (call, code);
  curl_multi_remove_handle (call->http->multi, call->easy);
  unlink_active (call);
  call->done (call->user, &response);
  recycle_call (call);
}

MdTime
md_http_poll (MdHttp *http)
{
  CURLMsg *message;
  bool ended = false;
  int remaining;
  int running;

  if (md_now () >= http->due)
    {
      http->due = INT64_MAX;
      curl_multi_socket_action (http->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  while ((message = curl_multi_info_read (http->multi, &remaining)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        CURLcode code = message->data.result;
        char *call = NULL;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
        finish_call ((Call *)call, code);
        ended = true;
      }
  return ended ? md_now () : http->due;
}
