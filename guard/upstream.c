/* upstream.c -- executor threads, each with one connection to the upstream

   An executor takes one request at a time and keeps its connection alive between
   requests. The HTTP client is CivetWeb's.

   No request is sent twice. A connection that the upstream closed while it was
   idle is found by looking at the socket before the first byte is written, and
   only then a new one is made. Once a byte may have left, every failure is a
   broken attempt, even when the upstream most likely never saw it.

   CivetWeb's client does not give its socket away, but the socket is needed to
   look for a close by the upstream, to cut off a request at its deadline (the
   time-out of mg_get_response does not cover the body) and to tell an orderly end
   of a body without length from a reset. No other thread of a guard connects to
   the upstream's address, so the socket is the one with that remote address that
   no executor has yet; making connections is serialized for this. */

#define _GNU_SOURCE /* strcasestr */

#include "http-server.h"
#include "md-guard.h"
#include "process.h"

#include <civetweb.h>
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_DESCRIPTOR 65536         /* highest descriptor looked at */
#define READ_STEP ((size_t)32 << 10) /* bytes asked for in one read */
#define EXECUTOR_STACK (512u << 10)  /* bytes; CivetWeb formats errors on the stack */

typedef struct
{
  MdUpstream *upstream;       /* owner */
  pthread_t thread;           /* runs the requests */
  struct mg_connection *conn; /* NULL none */
  pthread_mutex_t lock;       /* for the fields below */
  int fd;                     /* socket of conn, -1 none */
  MdTime deadline;            /* of the request in progress, 0 none */
  bool expired;               /* the request was cut off */
  bool closing;               /* no request may be sent any more */
} Executor;

struct MdUpstream
{
  char address[MD_ADDRESS_BYTES]; /* ip:port */
  char host[MD_ADDRESS_BYTES];    /* ip */
  int port;                       /* port */
  struct sockaddr_storage peer;   /* the same, for comparison */
  socklen_t peer_len;             /* bytes of peer in use */
  void (*wake) (void *user);      /* after a result was queued */
  void *user;                     /* argument of wake */
  pthread_mutex_t connect_lock;   /* one connect at a time */
  pthread_mutex_t lock;           /* for the fields below */
  pthread_cond_t filled;          /* queue is not empty, or stopping */
  MdAttemptQueue queue;           /* requests no executor has taken */
  bool stopping;                  /* executors shall end */
  MdInbox results;                /* finished attempts */
  size_t n_executors;             /* threads running */
  Executor *executors;            /* n_executors entries */
};

/* ------------------------------------------------------------------ */
/* Tasks                                                              */

void
md_attempt_free (MdAttempt *task)
{
  if (task == NULL)
    return;
  md_buf_clear (&task->request);
  if (task->answer != NULL)
    md__answer__free_unpacked (task->answer, NULL);
  free (task);
}

void
md_attempt_queue_push (MdAttemptQueue *queue, MdAttempt *task)
{
  task->next = NULL;
  if (queue->tail != NULL)
    queue->tail->next = task;
  else
    queue->head = task;
  queue->tail = task;
  queue->count++;
  queue->bytes += task->request.len;
}

MdAttempt *
md_attempt_queue_pop (MdAttemptQueue *queue)
{
  MdAttempt *task = queue->head;

  if (task == NULL)
    return NULL;
  queue->head = task->next;
  if (queue->head == NULL)
    queue->tail = NULL;
  queue->count--;
  queue->bytes -= task->request.len;
  return task;
}

/* ------------------------------------------------------------------ */
/* Connection                                                         */

static void
set_socket (Executor *ex, int fd)
{
  pthread_mutex_lock (&ex->lock);
  ex->fd = fd;
  pthread_mutex_unlock (&ex->lock);
}

static void
disconnect (Executor *ex)
{
  if (ex->conn == NULL)
    return;
  set_socket (ex, -1); /* before the descriptor can be used for something else */
  mg_close_connection (ex->conn);
  ex->conn = NULL;
}

static bool
is_claimed (MdUpstream *up, int fd)
{
  bool claimed = false;

  for (size_t i = 0; i < up->n_executors && !claimed; i++)
    {
      Executor *ex = &up->executors[i];

      pthread_mutex_lock (&ex->lock);
      claimed = ex->fd == fd;
      pthread_mutex_unlock (&ex->lock);
    }
  return claimed;
}

/* Descriptors are given out lowest first, so the search ends after about as many
   steps as the process has descriptors. */
static int
find_socket (MdUpstream *up)
{
  int fd = md_socket_find (&up->peer, up->peer_len, 0, MAX_DESCRIPTOR);

  while (fd >= 0 && is_claimed (up, fd))
    fd = md_socket_find (&up->peer, up->peer_len, fd + 1, MAX_DESCRIPTOR);
  return fd;
}

static int
connect_locked (Executor *ex, MdError *error)
{
  MdUpstream *up = ex->upstream;
  char reason[128] = "";
  int on = 1;
  int fd;

  ex->conn = mg_connect_client (up->host, up->port, 0, reason, sizeof reason);
  if (ex->conn == NULL)
    return md_error_set (error, MD_E_IO, "connect", up->address, "%s", reason);
  fd = find_socket (up);
  if (fd < 0)
    {
      disconnect (ex);
      return md_error_set (error, MD_E_IO, "connect", up->address, "closed at once");
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  set_socket (ex, fd);
  return MD_OK;
}

static bool
is_closed_by_upstream (const Executor *ex)
{
  char byte;
  ssize_t n = recv (ex->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  /* Bytes nobody asked for make the connection as useless as its end. */
  return !(n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

static int
ensure_connected (Executor *ex, MdError *error)
{
  MdUpstream *up = ex->upstream;
  int rc;

  if (ex->conn != NULL && is_closed_by_upstream (ex))
    disconnect (ex);
  if (ex->conn != NULL)
    return MD_OK;
  pthread_mutex_lock (&up->connect_lock);
  rc = connect_locked (ex, error);
  pthread_mutex_unlock (&up->connect_lock);
  return rc;
}

/* True when the upstream ended the connection in order. After a reset the state
   is TCP_CLOSE. */
static bool
ended_in_order (const Executor *ex)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (ex->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return false;
  return info.tcpi_state == TCP_CLOSE_WAIT;
}

/* ------------------------------------------------------------------ */
/* Response                                                           */

static const char *
find_header (const struct mg_response_info *info, const char *name)
{
  for (int i = 0; i < info->num_headers; i++)
    if (strcasecmp (info->http_headers[i].name, name) == 0)
      return info->http_headers[i].value;
  return NULL;
}

static Md__Header *
new_header (const struct mg_header *source)
{
  Md__Header *header = malloc (sizeof *header);

  if (header == NULL)
    return NULL;
  md__header__init (header);
  header->name = md_str_dup (md_str (source->name));
  header->value = md_str_dup (md_str (source->value));
  if (header->name != NULL && header->value != NULL)
    return header;
  free (header->name);
  free (header->value);
  free (header);
  return NULL;
}

static bool
copy_headers (Md__Answer *answer, const struct mg_response_info *info)
{
  answer->headers = calloc ((size_t)info->num_headers + 1, sizeof (Md__Header *));
  if (answer->headers == NULL)
    return false;
  for (int i = 0; i < info->num_headers; i++)
    {
      Md__Header *header;

      if (md_header_is_hop_by_hop (info->http_headers[i].name))
        continue;
      header = new_header (&info->http_headers[i]);
      if (header == NULL)
        return false;
      answer->headers[answer->n_headers++] = header;
    }
  return true;
}

static bool
has_no_body (const MdAttempt *task, int status)
{
  return task->head_only || status == 204 || status == 304;
}

/* A body without length ends with the connection. */
static bool
ends_with_connection (const struct mg_response_info *info)
{
  return info->content_length < 0 && find_header (info, "Transfer-Encoding") == NULL;
}

static int
read_body (Executor *ex, const struct mg_response_info *info, MdBuf *body, MdError *error)
{
  const char *peer = ex->upstream->address;
  int n;

  do
    {
      if (!md_buf_reserve (body, READ_STEP))
        return md_error_set (error, MD_E_MEMORY, "read", peer, "out of memory");
      n = mg_read (ex->conn, body->data + body->len, READ_STEP);
      if (n > 0)
        body->len += (size_t)n;
      if (body->len > MD_RESPONSE_MAX)
        return md_error_set (error, MD_E_LIMIT, "read", peer, "the response is over %u bytes",
                             MD_RESPONSE_MAX);
    }
  while (n > 0);
  if (n < 0 && !(ends_with_connection (info) && ended_in_order (ex)))
    return md_error_set (error, MD_E_IO, "read", peer, "the response broke off");
  if (info->content_length >= 0 && (long long)body->len != info->content_length)
    return md_error_set (error, MD_E_IO, "read", peer, "the response broke off");
  return MD_OK;
}

static bool
may_keep (const MdAttempt *task, const struct mg_response_info *info)
{
  const char *connection = find_header (info, "Connection");

  /* These may announce a body that is not sent; the client would wait for it. */
  if (task->head_only || info->status_code == 304)
    return false;
  if (ends_with_connection (info) && info->status_code != 204)
    return false;
  if (connection != NULL)
    return strcasestr (connection, "close") == NULL;
  return strcmp (info->http_version, "1.0") != 0;
}

static int
read_answer (Executor *ex, MdAttempt *task, const struct mg_response_info *info)
{
  MD_AUTO_BUF body = { 0 };
  Md__Answer *answer = md_answer_new (task->key, task->task, MD_TASK_OK, MD_REASON_NONE);

  if (answer == NULL)
    return md_error_set (&task->error, MD_E_MEMORY, "read", NULL, "out of memory");
  task->answer = answer;
  answer->status = (uint32_t)info->status_code;
  if (!copy_headers (answer, info))
    return md_error_set (&task->error, MD_E_MEMORY, "read", NULL, "out of memory");
  if (has_no_body (task, info->status_code))
    return MD_OK;
  if (read_body (ex, info, &body, &task->error) != MD_OK)
    return task->error.code;
  answer->body.data = (uint8_t *)body.data;
  answer->body.len = body.len;
  body = (MdBuf){ 0 };
  return MD_OK;
}

static const struct mg_response_info *
await_head (Executor *ex, MdAttempt *task)
{
  const struct mg_response_info *info;
  char reason[128] = "";

  /* Interim responses (1xx) come before the one that counts. */
  do
    {
      MdTime left = task->deadline - md_now ();
      int ms = left < 0 ? 0 : (int)(left / MD_MS) + 1;

      if (mg_get_response (ex->conn, reason, sizeof reason, ms) < 0)
        {
          md_error_set (&task->error, MD_E_IO, "response", ex->upstream->address, "%s", reason);
          return NULL;
        }
      info = mg_get_response_info (ex->conn);
    }
  while (info != NULL && info->status_code >= 100 && info->status_code < 200);
  return info;
}

/* ------------------------------------------------------------------ */
/* Request                                                            */

/* Returns false when the executor is closing; nothing may be sent then. */
static bool
begin_request (Executor *ex, MdTime deadline)
{
  bool closing;

  pthread_mutex_lock (&ex->lock);
  closing = ex->closing;
  ex->deadline = deadline;
  ex->expired = false;
  pthread_mutex_unlock (&ex->lock);
  return !closing;
}

/* Returns false when the request was cut off at its deadline. */
static bool
end_request (Executor *ex)
{
  bool expired;

  pthread_mutex_lock (&ex->lock);
  ex->deadline = 0;
  expired = ex->expired;
  pthread_mutex_unlock (&ex->lock);
  return !expired;
}

static MdAttemptEnd
exchange (Executor *ex, MdAttempt *task)
{
  const struct mg_response_info *info;
  int n = mg_write (ex->conn, task->request.data, task->request.len);
  bool keep;

  if (n < 0 || (size_t)n != task->request.len)
    {
      md_error_set (&task->error, MD_E_IO, "write", ex->upstream->address, "write failed");
      return MD_END_BROKEN;
    }
  info = await_head (ex, task);
  if (info == NULL || read_answer (ex, task, info) != MD_OK)
    return MD_END_BROKEN;
  keep = may_keep (task, info);
  if (!keep)
    disconnect (ex);
  return MD_END_COMPLETE;
}

static void
exchange_until_deadline (Executor *ex, MdAttempt *task)
{
  MdTime begun = md_now ();

  task->end = MD_END_NOT_SENT;
  if (!begin_request (ex, task->deadline))
    return;
  task->end = exchange (ex, task);
  task->run = md_now () - begun;
  if (!end_request (ex))
    {
      /* The end of the connection was ours, so the body may be incomplete. */
      task->end = MD_END_BROKEN;
      task->error = (MdError){ 0 };
      md_error_set (&task->error, MD_E_TIMEOUT, "response", ex->upstream->address,
                    "no complete response before the deadline");
    }
  if (task->end == MD_END_COMPLETE)
    return;
  disconnect (ex);
  if (task->answer != NULL)
    md__answer__free_unpacked (task->answer, NULL);
  task->answer = NULL;
}

/* Connecting comes before the check of the time, because it can take long. A
   process that is paused between this check and the write sends a request that
   the ledger has recorded as started, so nobody was told otherwise. */
static void
run_task (Executor *ex, MdAttempt *task)
{
  task->error = (MdError){ 0 };
  if (ensure_connected (ex, &task->error) != MD_OK)
    task->end = MD_END_NOT_SENT;
  else if (md_now () - task->handed_at > MD_HANDOVER_MAX)
    task->end = MD_END_STALE;
  else
    exchange_until_deadline (ex, task);
}

/* ------------------------------------------------------------------ */
/* Threads                                                            */

static MdAttempt *
next_task (MdUpstream *up)
{
  MdAttempt *task = NULL;

  pthread_mutex_lock (&up->lock);
  while (!up->stopping && up->queue.head == NULL)
    pthread_cond_wait (&up->filled, &up->lock);
  if (!up->stopping)
    task = md_attempt_queue_pop (&up->queue);
  pthread_mutex_unlock (&up->lock);
  return task;
}

static void *
execute (void *data)
{
  Executor *ex = data;
  MdUpstream *up = ex->upstream;
  MdAttempt *task;

  while ((task = next_task (up)) != NULL)
    {
      run_task (ex, task);
      md_inbox_push (&up->results, &task->node);
      up->wake (up->user);
    }
  disconnect (ex);
  return NULL;
}

void
md_upstream_submit (MdUpstream *upstream, MdAttempt *task)
{
  pthread_mutex_lock (&upstream->lock);
  md_attempt_queue_push (&upstream->queue, task);
  pthread_cond_signal (&upstream->filled);
  pthread_mutex_unlock (&upstream->lock);
}

MdAttempt *
md_upstream_take (MdUpstream *upstream)
{
  MdInboxNode *node = md_inbox_take (&upstream->results);
  MdAttempt *first = NULL;
  MdAttempt **place = &first;

  for (; node != NULL; node = node->next)
    {
      MdAttempt *task = (MdAttempt *)node; /* node is its first member */

      *place = task;
      place = &task->next;
    }
  *place = NULL;
  return first;
}

static void
cut_off (Executor *ex, MdTime now, bool closing)
{
  pthread_mutex_lock (&ex->lock);
  if (closing)
    ex->closing = true;
  if (ex->fd >= 0 && ex->deadline != 0 && now >= ex->deadline)
    {
      ex->expired = true;
      ex->deadline = 0;
      shutdown (ex->fd, SHUT_RDWR);
    }
  pthread_mutex_unlock (&ex->lock);
}

void
md_upstream_expire (MdUpstream *upstream, MdTime now)
{
  for (size_t i = 0; i < upstream->n_executors; i++)
    cut_off (&upstream->executors[i], now, false);
}

/* ------------------------------------------------------------------ */
/* Set-up                                                             */

static int
parse_upstream (MdUpstream *up)
{
  struct addrinfo hints
      = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV, .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  char service[12];

  if (md_address_split (md_str (up->address), up->host, &up->port) != MD_OK)
    return MD_E_INVALID;
  snprintf (service, sizeof service, "%d", up->port);
  if (getaddrinfo (up->host, service, &hints, &found) != 0)
    return MD_E_INVALID;
  memcpy (&up->peer, found->ai_addr, found->ai_addrlen);
  up->peer_len = found->ai_addrlen;
  freeaddrinfo (found);
  return MD_OK;
}

static int
start_executors (MdUpstream *up, size_t n, MdError *error)
{
  pthread_attr_t attributes;
  int rc = 0;

  up->executors = calloc (n, sizeof *up->executors);
  if (up->executors == NULL)
    return md_error_set (error, MD_E_MEMORY, "executors", NULL, "out of memory");
  for (size_t i = 0; i < n; i++)
    {
      up->executors[i].upstream = up;
      up->executors[i].fd = -1;
      pthread_mutex_init (&up->executors[i].lock, NULL);
    }
  up->n_executors = n;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, EXECUTOR_STACK);
  for (size_t i = 0; i < n && rc == 0; i++)
    rc = md_thread_create (&up->executors[i].thread, &attributes, execute, &up->executors[i]);
  pthread_attr_destroy (&attributes);
  if (rc != 0)
    return md_error_set (error, MD_E_IO, "executors", NULL, "%s", strerror (rc));
  return MD_OK;
}

MdUpstream *
md_upstream_new (MdStr address, size_t n, void (*wake) (void *user), void *user, MdError *error)
{
  MdUpstream *up = calloc (1, sizeof *up);

  if (up == NULL)
    return NULL;
  md_str_copy (up->address, sizeof up->address, address);
  up->wake = wake;
  up->user = user;
  pthread_mutex_init (&up->connect_lock, NULL);
  pthread_mutex_init (&up->lock, NULL);
  pthread_cond_init (&up->filled, NULL);
  if (parse_upstream (up) != MD_OK)
    md_error_set (error, MD_E_INVALID, "upstream", up->address, "not an address");
  else if (start_executors (up, n, error) == MD_OK)
    return up;
  md_upstream_free (up);
  return NULL;
}

static void
free_results (MdUpstream *up)
{
  MdAttempt *task = md_upstream_take (up);

  while (task != NULL)
    {
      MdAttempt *next = task->next;

      md_attempt_free (task);
      task = next;
    }
  while ((task = md_attempt_queue_pop (&up->queue)) != NULL)
    md_attempt_free (task);
}

void
md_upstream_free (MdUpstream *upstream)
{
  if (upstream == NULL)
    return;
  pthread_mutex_lock (&upstream->lock);
  upstream->stopping = true;
  pthread_cond_broadcast (&upstream->filled);
  pthread_mutex_unlock (&upstream->lock);
  for (size_t i = 0; i < upstream->n_executors; i++)
    cut_off (&upstream->executors[i], INT64_MAX, true);
  for (size_t i = 0; i < upstream->n_executors; i++)
    {
      if (upstream->executors[i].thread != 0)
        pthread_join (upstream->executors[i].thread, NULL);
      pthread_mutex_destroy (&upstream->executors[i].lock);
    }
  free_results (upstream);
  pthread_cond_destroy (&upstream->filled);
  pthread_mutex_destroy (&upstream->lock);
  pthread_mutex_destroy (&upstream->connect_lock);
  free (upstream->executors);
  free (upstream);
}
