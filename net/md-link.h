/* md-link.h -- what link.c and link-io.c share

   Nothing outside these two files includes this header. */

#ifndef MD_LINK_H
#define MD_LINK_H

#include "md-private.h"

#define MD_LINK_NEVER INT64_MAX

typedef enum
{
  MD_LINK_WAITING,    /* dialled: next attempt at due */
  MD_LINK_CONNECTING, /* dialled: connect in progress until due */
  MD_LINK_UP,         /* connected */
  MD_LINK_ENDED,      /* on the list of ended links */
} MdLinkState;

struct MdLink
{
  bool is_watch;               /* false; tells a link from an MdWatch in an event */
  MdLinks *links;              /* owner */
  MdLink *next;                /* all links */
  MdLink *previous;            /* all links */
  MdLink *next_flush;          /* links with queued output */
  MdLink *next_ended;          /* links whose end is not reported yet */
  MdLinkState state;           /* see above */
  int fd;                      /* socket, -1 none */
  bool dialled;                /* we connect, otherwise accepted */
  bool closed;                 /* md_link_close was called */
  bool up_reported;            /* on_up was called, on_down is due */
  bool flush_pending;          /* on the list of links with queued output */
  bool blocked;                /* the socket is full; epoll tells when to go on */
  bool control;                /* count output as control traffic */
  unsigned attempts;           /* dials since a frame arrived */
  MdTime due;                  /* next dial, or end of the connect time-out */
  MdTime last_read;            /* when bytes arrived last */
  MdTime max_silence;          /* longest silence allowed, 0 any */
  MdBuf in;                    /* received, not decoded */
  MdBuf out;                   /* queued */
  size_t out_start;            /* bytes of out that are written */
  void *data;                  /* the handler's */
  MdError error;               /* why it ended */
  char peer[MD_ADDRESS_BYTES]; /* remote address */
};

struct MdLinks
{
  MdTuning tuning;          /* reconnect delays */
  MdLinkHandler handler;    /* callbacks */
  void *user;               /* first argument of the callbacks */
  int epoll_fd;             /* descriptor */
  int wake_fd;              /* eventfd */
  int listen_fd;            /* descriptor, -1 none */
  atomic_bool wake_pending; /* a wake is pending */
  MdLink *links;            /* all */
  MdLink *flush_list;       /* with queued output */
  MdLink *ended;            /* end not reported */
  size_t accepted;          /* accepted links */
  MdTime accept_resume_at;  /* listener is paused until then, 0 active */
  MdTime connect_timeout;   /* a dial is given up after this */
  MdTime next_check;        /* no deadline is earlier than this */
};

/* link-io.c */

/* md_link_watch: epoll_ctl; false when it fails. */
bool md_link_watch (MdLinks *links, int operation, int fd, uint32_t events, void *data);
void md_link_end (MdLink *link, int code, const char *reason);
void md_link_read (MdLink *link);     /* read and handle what has arrived */
void md_link_write (MdLink *link);    /* write queued output until the socket is full */
void md_links_flush (MdLinks *links); /* write the output queued since the last pass */

/* link.c */

/* md_links_schedule_check: have deadlines checked no later than this. */
void md_links_schedule_check (MdLinks *links, MdTime when);

#endif
