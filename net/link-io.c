/* link-io.c -- input and output of one connection

   Frames queued between two polls are packed into one output buffer per link and
   written with one system call. One system call and one packet per frame would
   dominate the cost of a task start.

   A connection that ends is put on a list and reported by the next poll, because
   md_link_send and md_link_disconnect may be called while the caller iterates over
   tables that on_down modifies. */

#include "md-link.h"

#include "wire.pb-c.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_QUEUED_BYTES ((size_t)64 << 20) /* on one link; then the peer is too slow */
/* Queued frames of all connections; three of the largest. Together with MAX_INPUT_BYTES 80 of the
   120 MB that an entry may use. Sound peers read, so that little is queued for long. */
#define MAX_OUTPUT_BYTES ((size_t)48 << 20)
#define WRITE_THRESHOLD_BYTES ((size_t)1 << 20)   /* queued bytes written before the next poll */
#define READ_CHUNK_BYTES ((size_t)64 << 10)       /* requested by one recv */
#define READ_BUDGET_BYTES ((size_t)1 << 20)       /* read from one link per event, for fairness */
#define MAX_IDLE_BUFFER_BYTES ((size_t)128 << 10) /* larger buffers are freed when empty */
/* Unfinished frames on all connections, also small ones; two of the largest. A peer could open many
   connections and finish none. */
#define MAX_INPUT_BYTES ((size_t)32 << 20)
#define ACK_TIMEOUT_RESET (10 * MD_SECOND) /* a connection that lasted is not on a congested way */
#define MAX_ACK_TIMEOUTS 4                 /* times the acknowledgement timeout */

bool
md_link_watch (MdLinks *links, int operation, int fd, uint32_t events, void *data)
{
  struct epoll_event event = { .events = events, .data = { .ptr = data } };

  return epoll_ctl (links->epoll_fd, operation, fd, &event) == 0;
}

/* Called after each change of a buffer's length. */
static void
count_buffers (MdLink *link)
{
  MdLinks *links = link->links;

  links->input_bytes += link->in.len - link->counted_in;
  links->output_bytes += link->out.len - link->counted_out;
  link->counted_in = link->in.len;
  link->counted_out = link->out.len;
}

/* ------------------------------------------------------------------ */
/* End of a connection                                                */

static void
cancel_flush (MdLink *link)
{
  MdLink **place = &link->links->flush_list;

  if (!link->flush_pending)
    return;
  while (*place != link)
    place = &(*place)->next_flush;
  *place = link->next_flush;
  link->flush_pending = false;
}

void
md_link_close_socket (MdLink *link)
{
  if (link->fd < 0)
    return;
  /* close removes the socket from the epoll set only if no other thread is in a system call on the
     descriptor; otherwise its next event would be reported for a link that has been freed. */
  md_link_watch (link->links, EPOLL_CTL_DEL, link->fd, 0, NULL);
  close (link->fd);
  link->fd = -1;
}

void
md_link_end (MdLink *link, int code, const char *reason)
{
  MdLinks *links = link->links;

  if (link->state == MD_LINK_ENDED)
    return;
  cancel_flush (link);
  md_link_close_socket (link);
  link->state = MD_LINK_ENDED;
  link->blocked = false;
  link->out_start = 0;
  md_buf_clear (&link->in);
  md_buf_clear (&link->out);
  count_buffers (link);
  link->error = (MdError){ 0 };
  md_error_set (&link->error, code, "link", link->peer, "%s", reason);
  link->next_ended = links->ended;
  links->ended = link;
}

void
md_link_disconnect (MdLink *link)
{
  if (link->state == MD_LINK_CONNECTING || link->state == MD_LINK_UP)
    md_link_end (link, MD_E_IO, "disconnected locally");
}

void
md_link_close (MdLink *link)
{
  link->closed = true;
  md_link_end (link, MD_E_IO, "closed locally");
}

/* Ends a connection that the kernel has given up, because data was not acknowledged. */
static void
end_unacknowledged (MdLink *link)
{
  MdTime limit = link->links->ack_timeout;
  bool short_lived = md_now () < link->established_at + ACK_TIMEOUT_RESET;

  link->ack_timeout = short_lived ? 2 * link->ack_timeout : limit;
  if (link->ack_timeout > MAX_ACK_TIMEOUTS * limit)
    link->ack_timeout = MAX_ACK_TIMEOUTS * limit;
  md_count (MD_M_LINKS_ABANDONED, 1);
  md_link_end (link, MD_E_TIMEOUT, "sent data was not acknowledged");
}

/* Ends a connection after a failed system call. */
static void
end_with_errno (MdLink *link)
{
  if (errno == ETIMEDOUT)
    end_unacknowledged (link);
  else
    md_link_end (link, MD_E_IO, strerror (errno));
}

/* ------------------------------------------------------------------ */
/* Output                                                             */

static bool
is_control (const Md__Frame *frame)
{
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_HELLO:
    case MD__FRAME__MSG_WELCOME:
    case MD__FRAME__MSG_HEARTBEAT:
    case MD__FRAME__MSG_LEAVING:
    case MD__FRAME__MSG_SNAPSHOT_REQUEST:
    case MD__FRAME__MSG_SNAPSHOT_REPLY:
      return true;
    default:
      return false;
    }
}

static void
trim_output (MdLink *link)
{
  if (link->out_start < link->out.len)
    {
      if (link->out_start > link->out.len / 2)
        {
          md_buf_consume (&link->out, link->out_start);
          link->out_start = 0;
        }
      return;
    }
  link->out_start = 0;
  link->out.len = 0;
  if (link->out.cap > MAX_IDLE_BUFFER_BYTES)
    md_buf_clear (&link->out);
}

static void
set_blocked (MdLink *link, bool blocked)
{
  if (link->blocked == blocked)
    return;
  link->blocked = blocked;
  md_link_watch (link->links, EPOLL_CTL_MOD, link->fd, blocked ? EPOLLIN | EPOLLOUT : EPOLLIN,
                 link);
}

void
md_link_write (MdLink *link)
{
  while (link->out_start < link->out.len)
    {
      ssize_t n = send (link->fd, link->out.data + link->out_start, link->out.len - link->out_start,
                        MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          end_with_errno (link);
          return;
        }
      link->out_start += (size_t)n;
    }
  set_blocked (link, link->out_start < link->out.len);
  trim_output (link);
  count_buffers (link);
}

void
md_links_flush (MdLinks *links)
{
  while (links->flush_list != NULL)
    {
      MdLink *link = links->flush_list;

      links->flush_list = link->next_flush;
      link->flush_pending = false;
      if (!link->blocked)
        md_link_write (link);
    }
}

static void
schedule_flush (MdLink *link)
{
  if (link->flush_pending)
    return;
  link->flush_pending = true;
  link->next_flush = link->links->flush_list;
  link->links->flush_list = link;
}

size_t
md_link_queued (const MdLink *link)
{
  return link->out.len - link->out_start;
}

/* Ends the connections with the most queued output until all of them together are within the bound.
   What peers that read can take is written first. */
static void
limit_output (MdLinks *links)
{
  if (links->output_bytes <= MAX_OUTPUT_BYTES)
    return;
  md_links_flush (links);
  while (links->output_bytes > MAX_OUTPUT_BYTES)
    {
      MdLink *most = NULL;

      for (MdLink *link = links->links; link != NULL; link = link->next)
        if (most == NULL || link->out.len > most->out.len)
          most = link;
      if (most == NULL)
        return;
      md_count (MD_M_LINKS_ABANDONED, 1);
      md_log (MD_LOG_WARN, "output-limited", "step=send peer=%s bytes=%zu total=%zu", most->peer,
              md_link_queued (most), links->output_bytes);
      md_link_end (most, MD_E_LIMIT, "too much unread output");
    }
}

int
md_link_send (MdLink *link, const Md__Frame *frame)
{
  size_t before = link->out.len;
  int rc;

  if (link->state != MD_LINK_UP)
    return MD_E_IO;
  rc = md_frame_encode (frame, &link->out);
  if (rc == MD_E_LIMIT)
    {
      /* An error of the caller; the link stays up. */
      md_log (MD_LOG_ERROR, "frame-too-long", "step=send peer=%s kind=%d", link->peer,
              (int)frame->msg_case);
      return rc;
    }
  if (rc != MD_OK || md_link_queued (link) > MAX_QUEUED_BYTES)
    {
      md_count (MD_M_LINKS_ABANDONED, 1);
      md_link_end (link, MD_E_LIMIT, "the peer reads too slowly");
      return MD_E_LIMIT;
    }
  md_count (MD_M_FRAMES_SENT, 1);
  md_count (MD_M_BYTES_SENT, (int64_t)(link->out.len - before));
  if (link->control || is_control (frame))
    md_count (MD_M_CONTROL_SENT, (int64_t)(link->out.len - before));
  if (md_link_queued (link) > WRITE_THRESHOLD_BYTES && !link->blocked)
    md_link_write (link);
  else
    schedule_flush (link);
  count_buffers (link);
  limit_output (link->links);
  return link->state == MD_LINK_UP ? MD_OK : MD_E_LIMIT;
}

/* ------------------------------------------------------------------ */
/* Input                                                              */

static void
count_received (const Md__Frame *frame, size_t bytes)
{
  md_count (MD_M_FRAMES_RECEIVED, 1);
  md_count (MD_M_BYTES_RECEIVED, (int64_t)bytes);
  if (is_control (frame))
    md_count (MD_M_CONTROL_RECEIVED, (int64_t)bytes);
}

/* Ends the connection on which the next frame cannot be decoded. Handlers know only the peers that
   have introduced themselves, so that the line is written here. */
static void
refuse_frame (MdLink *link, int code, size_t bytes)
{
  const char *reason = code == MD_E_MEMORY ? "out of memory" : "malformed frame";

  if (code == MD_E_INVALID)
    md_count (MD_M_FRAMES_MALFORMED, 1);
  md_log (MD_LOG_WARN, "frame-refused", "step=decode peer=%s bytes=%zu reason=\"%s\"", link->peer,
          bytes, reason);
  md_link_end (link, code, reason);
}

static void
handle_frames (MdLink *link)
{
  MdLinks *links = link->links;
  size_t start = 0;

  while (link->state == MD_LINK_UP)
    {
      MdStr rest = { link->in.data + start, link->in.len - start };
      Md__Frame *frame;
      size_t used;
      int rc = md_frame_decode (rest, &frame, &used);

      if (rc == MD_E_NOT_FOUND)
        break;
      if (rc != MD_OK)
        {
          refuse_frame (link, rc, rest.len);
          return;
        }
      start += used;
      link->attempts = 0;
      count_received (frame, used);
      links->handler.on_frame (links->user, link, frame);
      md__frame__free_unpacked (frame, NULL);
    }
  if (link->state != MD_LINK_UP)
    return; /* md_link_end has freed the buffer */
  md_buf_consume (&link->in, start);
  if (link->in.len == 0 && link->in.cap > MAX_IDLE_BUFFER_BYTES)
    md_buf_clear (&link->in);
}

/* Returns the number of bytes read; 0 when no data is available or the connection ended. */
static size_t
read_once (MdLink *link)
{
  ssize_t n;

  if (!md_buf_reserve (&link->in, READ_CHUNK_BYTES))
    {
      md_link_end (link, MD_E_MEMORY, "out of memory");
      return 0;
    }
  do
    n = recv (link->fd, link->in.data + link->in.len, READ_CHUNK_BYTES, 0);
  while (n < 0 && errno == EINTR);
  if (n > 0)
    {
      link->in.len += (size_t)n;
      link->last_read = md_now ();
      return (size_t)n;
    }
  if (n == 0)
    md_link_end (link, MD_E_IO, "closed by the peer");
  else if (errno != EAGAIN && errno != EWOULDBLOCK)
    end_with_errno (link);
  return 0;
}

/* Ends the connections with the most unfinished input until all of them together are within the
   bound. */
static void
limit_input (MdLinks *links)
{
  while (links->input_bytes > MAX_INPUT_BYTES)
    {
      MdLink *most = NULL;

      for (MdLink *link = links->links; link != NULL; link = link->next)
        if (most == NULL || link->in.len > most->in.len)
          most = link;
      if (most == NULL)
        return;
      md_count (MD_M_LINKS_ABANDONED, 1);
      md_log (MD_LOG_WARN, "input-limited", "step=receive peer=%s bytes=%zu total=%zu", most->peer,
              most->in.len, links->input_bytes);
      md_link_end (most, MD_E_LIMIT, "too many unfinished frames");
    }
}

void
md_link_read (MdLink *link)
{
  size_t total = 0;

  while (link->state == MD_LINK_UP && total < READ_BUDGET_BYTES)
    {
      size_t n = read_once (link);

      total += n;
      if (n > 0)
        handle_frames (link);
      count_buffers (link);
      limit_input (link->links);
      if (n < READ_CHUNK_BYTES)
        return;
    }
}

/* ------------------------------------------------------------------ */
/* Accessors                                                          */

bool
md_link_is_up (const MdLink *link)
{
  return link->state == MD_LINK_UP;
}

bool
md_link_is_dialled (const MdLink *link)
{
  return link->dialled;
}

void *
md_link_data (const MdLink *link)
{
  return link->data;
}

void
md_link_set_data (MdLink *link, void *data)
{
  link->data = data;
}

const char *
md_link_peer (const MdLink *link)
{
  return link->peer;
}

int
md_link_socket (const MdLink *link)
{
  return link->state == MD_LINK_UP ? link->fd : -1;
}

MdTime
md_link_heard_at (const MdLink *link)
{
  return link->last_read;
}

void
md_link_set_max_silence (MdLink *link, MdTime silence)
{
  link->max_silence = silence;
  if (silence > 0)
    md_links_schedule_check (link->links, link->last_read + silence);
}

void
md_link_count_control (MdLink *link, bool control)
{
  link->control = control;
}
