/* link.c -- the set of connections of one engine thread

   All sockets are non-blocking and belong to one level-triggered epoll set. The
   handler is called from md_links_poll only, and every on_up is followed by exactly
   one on_down.

   Deadlines (connect time-out, silence, next dial) are found by a scan of all links,
   which runs only when the earliest of them may have passed. With a few hundred links
   and deadlines of seconds this costs less than a heap, which would have to be updated
   at every read. */

#define _GNU_SOURCE /* accept4 */

#include "md-link.h"

#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_CONNECT_TIMEOUT (2 * MD_SECOND) /* of one connection attempt */
#define HANDSHAKE_TIMEOUT (5 * MD_SECOND)       /* initial max_silence of a connection */
#define ACCEPT_PAUSE (100 * MD_MS) /* after accept failed, e.g. without free descriptors */
#define MAX_ACCEPTED 8192          /* simultaneous accepted links; further ones are closed */
#define BACKLOG 512                /* argument of listen */
#define MAX_EVENTS 64              /* per epoll wait, and connections per accept loop */

/* ------------------------------------------------------------------ */
/* Construction                                                       */

MdLinks *
md_links_new (const MdTuning *tuning, const MdLinkHandler *handler, void *user)
{
  MdLinks *links = calloc (1, sizeof *links);

  if (links == NULL)
    return NULL;
  links->tuning = *tuning;
  links->handler = *handler;
  links->user = user;
  links->listen_fd = -1;
  links->next_check = MD_LINK_NEVER;
  links->connect_timeout = DEFAULT_CONNECT_TIMEOUT;
  links->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  links->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (links->epoll_fd < 0 || links->wake_fd < 0
      || !md_link_watch (links, EPOLL_CTL_ADD, links->wake_fd, EPOLLIN, &links->wake_fd))
    {
      md_links_free (links);
      return NULL;
    }
  return links;
}

static void
link_free (MdLink *link)
{
  MdLinks *links = link->links;

  if (link->previous != NULL)
    link->previous->next = link->next;
  else
    links->links = link->next;
  if (link->next != NULL)
    link->next->previous = link->previous;
  if (!link->dialled)
    links->accepted--;
  md_link_close_socket (link);
  md_buf_clear (&link->in);
  md_buf_clear (&link->out);
  free (link);
}

void
md_links_free (MdLinks *links)
{
  if (links == NULL)
    return;
  for (MdLink *link = links->links, *next; link != NULL; link = next)
    {
      next = link->next;
      link_free (link);
    }
  if (links->listen_fd >= 0)
    close (links->listen_fd);
  if (links->wake_fd >= 0)
    close (links->wake_fd);
  if (links->epoll_fd >= 0)
    close (links->epoll_fd);
  free (links);
}

static MdLink *
link_new (MdLinks *links, int fd, bool dialled)
{
  MdLink *link = calloc (1, sizeof *link);

  if (link == NULL)
    return NULL;
  link->links = links;
  link->fd = fd;
  link->dialled = dialled;
  link->next = links->links;
  if (links->links != NULL)
    links->links->previous = link;
  links->links = link;
  if (!dialled)
    links->accepted++;
  return link;
}

void
md_links_schedule_check (MdLinks *links, MdTime when)
{
  if (when < links->next_check)
    links->next_check = when;
}

static void
format_address (const struct sockaddr *sa, socklen_t len, char out[MD_ADDRESS_BYTES])
{
  char host[48] = "";
  char port[8] = "";

  getnameinfo (sa, len, host, sizeof host, port, sizeof port, NI_NUMERICHOST | NI_NUMERICSERV);
  snprintf (out, MD_ADDRESS_BYTES, strchr (host, ':') ? "[%s]:%s" : "%s:%s", host, port);
}

/* Parses a numeric address; there is no name resolution. */
static int
parse_address (MdStr address, struct sockaddr_storage *sa, socklen_t *len)
{
  struct addrinfo hints
      = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV, .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  char host[MD_ADDRESS_BYTES];
  char service[12];
  int port;

  if (md_address_split (address, host, &port) != MD_OK)
    return MD_E_INVALID;
  snprintf (service, sizeof service, "%d", port);
  if (getaddrinfo (host, service, &hints, &found) != 0)
    return MD_E_INVALID;
  memcpy (sa, found->ai_addr, found->ai_addrlen);
  *len = found->ai_addrlen;
  freeaddrinfo (found);
  return MD_OK;
}

static int
open_listener (const struct sockaddr_storage *sa, socklen_t len)
{
  int fd = socket (sa->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)sa, len) != 0 || listen (fd, BACKLOG) != 0)
    {
      int saved = errno;
      close (fd);
      errno = saved;
      return -1;
    }
  return fd;
}

int
md_links_listen (MdLinks *links, MdStr address, char bound[MD_ADDRESS_BYTES], MdError *error)
{
  struct sockaddr_storage sa;
  socklen_t len;
  char peer[MD_ADDRESS_BYTES];

  md_str_copy (peer, sizeof peer, address);
  if (links->listen_fd >= 0)
    return md_error_set (error, MD_E_EXISTS, "listen", peer, "already listening");
  if (parse_address (address, &sa, &len) != MD_OK)
    return md_error_set (error, MD_E_INVALID, "listen", peer, "not an address of the form ip:port");
  links->listen_fd = open_listener (&sa, len);
  if (links->listen_fd < 0)
    return md_error_set (error, MD_E_IO, "listen", peer, "%s", strerror (errno));
  if (!md_link_watch (links, EPOLL_CTL_ADD, links->listen_fd, EPOLLIN, &links->listen_fd))
    {
      md_error_set (error, MD_E_IO, "listen", peer, "%s", strerror (errno));
      close (links->listen_fd);
      links->listen_fd = -1;
      return MD_E_IO;
    }
  len = sizeof sa;
  getsockname (links->listen_fd, (struct sockaddr *)&sa, &len);
  format_address ((struct sockaddr *)&sa, len, bound);
  return MD_OK;
}

MdLink *
md_links_dial (MdLinks *links, MdStr address, void *data)
{
  MdLink *link = link_new (links, -1, true);

  if (link == NULL)
    return NULL;
  link->data = data;
  md_str_copy (link->peer, sizeof link->peer, address);
  link->state = MD_LINK_WAITING;
  link->due = md_now ();
  md_links_schedule_check (links, link->due);
  return link;
}

void
md_links_set_connect_timeout (MdLinks *links, MdTime timeout)
{
  links->connect_timeout = timeout;
}

void
md_links_set_ack_timeout (MdLinks *links, MdTime timeout)
{
  links->ack_timeout = timeout;
}

/* ------------------------------------------------------------------ */
/* Connecting                                                         */

static void
set_ack_timeout (MdLink *link)
{
  unsigned ms;

  if (!link->dialled || link->links->ack_timeout == 0)
    return;
  if (link->ack_timeout == 0)
    link->ack_timeout = link->links->ack_timeout;
  ms = (unsigned)(link->ack_timeout / MD_MS);
  setsockopt (link->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

static void
establish_link (MdLink *link)
{
  MdLinks *links = link->links;
  int on = 1;

  setsockopt (link->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  set_ack_timeout (link);
  link->state = MD_LINK_UP;
  link->established_at = md_now ();
  link->last_read = link->established_at;
  link->max_silence = HANDSHAKE_TIMEOUT;
  link->control = false;
  md_links_schedule_check (links, link->last_read + link->max_silence);
  link->up_reported = true;
  links->handler.on_up (links->user, link);
}

/* Connecting to an unused local port can yield a connection to itself, when the kernel
   chooses that port as the source port. */
static bool
is_self_connected (int fd)
{
  struct sockaddr_storage a = { 0 };
  struct sockaddr_storage b = { 0 };
  socklen_t a_len = sizeof a;
  socklen_t b_len = sizeof b;

  if (getsockname (fd, (struct sockaddr *)&a, &a_len) != 0
      || getpeername (fd, (struct sockaddr *)&b, &b_len) != 0)
    return false;
  return a_len == b_len && memcmp (&a, &b, a_len) == 0;
}

static void
finish_connect (MdLink *link)
{
  int failure = 0;
  socklen_t len = sizeof failure;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &failure, &len) != 0)
    failure = errno;
  if (failure != 0)
    md_link_end (link, MD_E_IO, strerror (failure));
  else if (is_self_connected (link->fd))
    md_link_end (link, MD_E_IO, "connected to itself");
  else if (!md_link_watch (link->links, EPOLL_CTL_MOD, link->fd, EPOLLIN, link))
    md_link_end (link, MD_E_IO, strerror (errno));
  else
    establish_link (link);
}

static void
dial (MdLink *link)
{
  struct sockaddr_storage sa;
  socklen_t len;

  link->state = MD_LINK_CONNECTING;
  link->due = md_now () + link->links->connect_timeout;
  md_links_schedule_check (link->links, link->due);
  if (parse_address (md_str (link->peer), &sa, &len) != MD_OK)
    {
      md_link_end (link, MD_E_INVALID, "not an address of the form ip:port");
      return;
    }
  link->fd = socket (sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link->fd < 0 || (connect (link->fd, (struct sockaddr *)&sa, len) != 0 && errno != EINPROGRESS)
      || !md_link_watch (link->links, EPOLL_CTL_ADD, link->fd, EPOLLOUT, link))
    md_link_end (link, MD_E_IO, strerror (errno));
}

static void
accept_one (MdLinks *links, int fd, const struct sockaddr_storage *sa, socklen_t len)
{
  MdLink *link = links->accepted < MAX_ACCEPTED ? link_new (links, fd, false) : NULL;

  if (link == NULL)
    {
      close (fd);
      return;
    }
  format_address ((const struct sockaddr *)sa, len, link->peer);
  if (md_link_watch (links, EPOLL_CTL_ADD, fd, EPOLLIN, link))
    establish_link (link);
  else
    md_link_end (link, MD_E_IO, strerror (errno));
}

static void
pause_accept (MdLinks *links)
{
  md_log (MD_LOG_WARN, "accept-failed", "reason=\"%s\"", strerror (errno));
  md_link_watch (links, EPOLL_CTL_MOD, links->listen_fd, 0, &links->listen_fd);
  links->accept_resume_at = md_now () + ACCEPT_PAUSE;
  md_links_schedule_check (links, links->accept_resume_at);
}

static void
accept_links (MdLinks *links)
{
  for (int i = 0; i < MAX_EVENTS; i++)
    {
      struct sockaddr_storage sa;
      socklen_t len = sizeof sa;
      int fd
          = accept4 (links->listen_fd, (struct sockaddr *)&sa, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd >= 0)
        accept_one (links, fd, &sa, len);
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        return;
      else if (errno != EINTR && errno != ECONNABORTED)
        {
          pause_accept (links);
          return;
        }
    }
}

/* ------------------------------------------------------------------ */
/* Deadlines                                                          */

/* Reads before the connection is closed: after a pause of this process, unread data in the
   socket shows that the peer was not silent. */
static void
check_silence (MdLink *link, MdTime now)
{
  if (now < link->last_read + link->max_silence)
    return;
  md_link_read (link);
  if (link->state != MD_LINK_UP || now < link->last_read + link->max_silence)
    return;
  md_count (MD_M_LINKS_ABANDONED, 1);
  md_link_end (link, MD_E_TIMEOUT, "nothing arrived for too long");
}

static void
check_link (MdLink *link, MdTime now)
{
  switch (link->state)
    {
    case MD_LINK_WAITING:
      if (now >= link->due)
        dial (link);
      break;
    case MD_LINK_CONNECTING:
      if (now >= link->due)
        md_link_end (link, MD_E_TIMEOUT, "connect timed out");
      break;
    case MD_LINK_UP:
      if (link->max_silence > 0)
        check_silence (link, now);
      break;
    case MD_LINK_ENDED:
      break;
    }
}

static MdTime
link_deadline (const MdLink *link)
{
  switch (link->state)
    {
    case MD_LINK_WAITING:
    case MD_LINK_CONNECTING:
      return link->due;
    case MD_LINK_UP:
      return link->max_silence > 0 ? link->last_read + link->max_silence : MD_LINK_NEVER;
    case MD_LINK_ENDED:
      break;
    }
  return MD_LINK_NEVER;
}

static void
check_deadlines (MdLinks *links)
{
  MdTime now = md_now ();

  if (now < links->next_check)
    return;
  links->next_check = MD_LINK_NEVER;
  if (links->accept_resume_at != 0 && now >= links->accept_resume_at)
    {
      links->accept_resume_at = 0;
      md_link_watch (links, EPOLL_CTL_MOD, links->listen_fd, EPOLLIN, &links->listen_fd);
    }
  if (links->accept_resume_at != 0)
    md_links_schedule_check (links, links->accept_resume_at);
  for (MdLink *link = links->links; link != NULL; link = link->next)
    {
      check_link (link, now);
      md_links_schedule_check (links, link_deadline (link));
    }
}

/* ------------------------------------------------------------------ */
/* Poll                                                               */

static void
schedule_dial (MdLink *link)
{
  MdTime delay = md_reconnect_delay (&link->links->tuning, link->attempts++, md_random ());

  link->state = MD_LINK_WAITING;
  link->due = md_now () + delay;
  md_links_schedule_check (link->links, link->due);
}

static void
report_end (MdLink *link)
{
  MdLinks *links = link->links;

  if (link->up_reported)
    {
      link->up_reported = false;
      links->handler.on_down (links->user, link, &link->error);
    }
  if (link->dialled && !link->closed)
    schedule_dial (link);
  else
    link_free (link);
}

static void
report_ended (MdLinks *links)
{
  while (links->ended != NULL)
    {
      MdLink *link = links->ended;

      links->ended = link->next_ended;
      report_end (link);
    }
}

int
md_links_watch (MdLinks *links, MdWatch *watch, int fd, uint32_t events)
{
  int operation = watch->fd == fd ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

  watch->is_watch = true;
  watch->fd = fd;
  return md_link_watch (links, operation, fd, events, watch) ? MD_OK : MD_E_IO;
}

void
md_links_unwatch (MdLinks *links, MdWatch *watch)
{
  if (watch->fd >= 0)
    md_link_watch (links, EPOLL_CTL_DEL, watch->fd, 0, watch);
  watch->fd = -1;
}

/* An earlier event of the same epoll wait may have removed the watch. */
static void
handle_watch (const MdWatch *watch, uint32_t events)
{
  if (watch->fd >= 0)
    watch->on_event (watch->user, watch->fd, events);
}

static void
handle_event (MdLinks *links, const struct epoll_event *event)
{
  MdLink *link = event->data.ptr;
  uint64_t count;

  if (event->data.ptr == &links->wake_fd)
    {
      /* Cleared before the caller drains its queues, so that a thread that queues
         something later sees the flag cleared and writes to the eventfd again. */
      if (read (links->wake_fd, &count, sizeof count) < 0 && errno != EAGAIN)
        md_log (MD_LOG_ERROR, "eventfd", "reason=\"%s\"", strerror (errno));
      atomic_exchange (&links->wake_pending, false);
      return;
    }
  if (event->data.ptr == &links->listen_fd)
    {
      accept_links (links);
      return;
    }
  if (link->is_watch)
    {
      handle_watch (event->data.ptr, event->events);
      return;
    }
  if (link->state == MD_LINK_CONNECTING)
    finish_connect (link);
  if (link->state == MD_LINK_UP && (event->events & EPOLLOUT) && link->blocked)
    md_link_write (link);
  if (link->state == MD_LINK_UP && (event->events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    md_link_read (link);
}

static void
wait_events (MdLinks *links, MdTime until)
{
  struct epoll_event events[MAX_EVENTS];
  MdTime now = md_now ();
  MdTime wait = (until < links->next_check ? until : links->next_check) - now;
  int n = md_link_wait (links, events, MAX_EVENTS, links->ended != NULL ? 0 : wait);

  for (int i = 0; i < n; i++)
    handle_event (links, &events[i]);
}

void
md_links_poll (MdLinks *links, MdTime until)
{
  report_ended (links);
  check_deadlines (links);
  md_links_flush (links);
  wait_events (links, until);
  check_deadlines (links);
  report_ended (links);
}

void
md_links_wake (MdLinks *links)
{
  uint64_t one = 1;

  if (atomic_exchange (&links->wake_pending, true))
    return;
  if (write (links->wake_fd, &one, sizeof one) < 0)
    return; /* the counter is saturated, so the poll wakes up anyway */
}
