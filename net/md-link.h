/* md-link.h -- internals of links, private to link.c, link-io.c and link-wait.c */

#ifndef MD_LINK_H
#define MD_LINK_H

#include "md-private.h"

#define MD_LINK_NEVER INT64_MAX /* no deadline */

typedef enum
{
  MD_LINK_WAITING,    /* dialled: the next attempt starts at due */
  MD_LINK_CONNECTING, /* dialled: connect in progress, times out at due */
  MD_LINK_UP,         /* connected */
  MD_LINK_ENDED,      /* closed, on the list of ended links */
} MdLinkState;

struct MdLink
{
  bool is_watch;      /* first member, false: distinguishes a link from an
                                  MdWatch in an epoll event */
  MdLinks *links;     /* owner */
  MdLink *next;       /* in MdLinks.links */
  MdLink *previous;   /* in MdLinks.links */
  MdLink *next_flush; /* in MdLinks.flush_list */
  MdLink *next_ended; /* in MdLinks.ended */
  MdLinkState state;
  int fd;                      /* socket, -1 none; owned */
  bool dialled;                /* false: accepted */
  bool closed;                 /* md_link_close was called: do not reconnect */
  bool up_reported;            /* on_up was called and on_down was not */
  bool flush_pending;          /* on MdLinks.flush_list */
  bool blocked;                /* the send buffer is full; output waits for EPOLLOUT */
  bool control;                /* count all output as control traffic */
  unsigned attempts;           /* connection attempts since a frame was received */
  MdTime due;                  /* next attempt or connect time-out, by state */
  MdTime last_read;            /* when data was last received */
  MdTime max_silence;          /* closed when nothing is received for this long, 0 never */
  MdTime established_at;       /* when the present or last connection came up */
  MdTime ack_timeout;          /* of the next connection; 0: that of the links */
  MdBuf in;                    /* received data that is not decoded yet */
  MdBuf out;                   /* queued frames */
  size_t out_start;            /* bytes of out already written */
  size_t counted_in;           /* bytes of in that are part of MdLinks.input_bytes */
  size_t counted_out;          /* bytes of out that are part of MdLinks.output_bytes */
  void *data;                  /* of the handler, not owned */
  MdError error;               /* reason of the last end */
  char peer[MD_ADDRESS_BYTES]; /* remote "ip:port" */
};

struct MdLinks
{
  MdTuning tuning; /* for the reconnect delays */
  MdLinkHandler handler;
  void *user; /* first argument of the callbacks */
  int epoll_fd;
  int wake_fd;                 /* eventfd of md_links_wake */
  int listen_fd;               /* -1 none */
  atomic_bool wake_pending;    /* wake_fd was written and not read yet */
  MdLink *links;               /* all links, owned */
  MdLink *flush_list;          /* links with output to write before the next wait */
  MdLink *ended;               /* links whose end is not reported yet */
  size_t accepted;             /* number of accepted links */
  size_t input_bytes;          /* received data of all links that is not decoded yet */
  size_t output_bytes;         /* queued frames of all links, with written parts that are kept */
  MdTime accept_resume_at;     /* accepting is paused until then, 0 not paused */
  MdTime connect_timeout;      /* limit of one connection attempt */
  MdTime ack_timeout;          /* of dialled connections, see md_links_set_ack_timeout; 0: none */
  MdTime next_check;           /* not later than the earliest deadline */
  bool wait_in_ms;             /* the host does not offer epoll_pwait2 */
  MdTime wait_failure_log_due; /* next log line about a failed wait */
};

/* link-io.c */

/* md_link_watch: call epoll_ctl; false when it fails. */
bool md_link_watch (MdLinks *links, int operation, int fd, uint32_t events, void *data);

/* md_link_close_socket: remove the socket from the epoll set and close it; does nothing when there
   is none. */
void md_link_close_socket (MdLink *link);

/* md_link_end: close the connection and have the next poll report its end with this error. Has no
   effect on a link that has already ended. */
void md_link_end (MdLink *link, int code, const char *reason);

void md_link_read (MdLink *link);     /* read, and handle complete frames */
void md_link_write (MdLink *link);    /* write queued output until it would block */
void md_links_flush (MdLinks *links); /* write the output of all links in flush_list */

/* link-wait.c */

struct epoll_event;

/* md_link_wait: wait for events for this long, or less. Returns their number, or -1 when there are
   none because of a signal or an error; an error is logged, and the call takes some milliseconds.
   */
int md_link_wait (MdLinks *links, struct epoll_event *events, int max, MdTime wait);

/* link.c */

/* md_links_schedule_check: check the deadlines at the given time at the latest. */
void md_links_schedule_check (MdLinks *links, MdTime when);

#endif
