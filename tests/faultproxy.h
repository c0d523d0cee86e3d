/* faultproxy.h -- types and functions shared by the files of the fault proxy */

#ifndef FAULTPROXY_H
#define FAULTPROXY_H

#include "md-private.h"

#include <netinet/in.h>

#define MAX_ROUTES 1024
#define MAX_CONNS 2048
#define MAX_CONTROLS 16
#define MAX_WORDS 6
#define BUFFER_BYTES (1u << 20) /* held per flow before reading stops */
#define FRAME_BYTES (1u << 20)  /* larger frames pass without frame faults */
#define READ_BYTES 65536        /* one read */
#define HOLD_TIME MD_SECOND     /* a reordered frame waits this long for the next */

enum
{
  UP,   /* client to target; reads from the client */
  DOWN, /* target to client; reads from the target */
  BOTH, /* as a command argument only */
};

typedef enum
{
  SEGMENT_DATA,
  SEGMENT_END,   /* the sender closed its side */
  SEGMENT_RESET, /* the sender reset the connection */
} SegmentKind;

typedef struct Segment
{
  struct Segment *next; /* in the queue */
  SegmentKind kind;     /* what to do when it is due */
  MdTime due;           /* earliest delivery */
  size_t len;           /* bytes of data */
  size_t sent;          /* of these, delivered */
  char data[];          /* bytes */
} Segment;

typedef struct
{
  MdTime delay;        /* of each byte */
  MdTime jitter;       /* random addition, per segment */
  bool cut;            /* nothing is delivered */
  unsigned duplicate;  /* percent of frames */
  unsigned reorder;    /* percent of frames */
  int64_t truncate;    /* bytes until the connection is closed, -1 off */
  unsigned unanswered; /* segments after each of which its connection is closed */
} Faults;

typedef struct
{
  Segment *first;          /* queue, NULL when empty */
  Segment *last;           /* its end */
  size_t queued;           /* bytes in the queue and in partial */
  MdTime last_due;         /* due time of the newest segment; order is kept */
  MdTime delay;            /* of this connection, besides that of the route */
  bool ended;              /* the sender closed or reset */
  bool closed;             /* the end was delivered */
  uint64_t passed;         /* bytes delivered */
  uint64_t random;         /* state of the random sequence */
  unsigned char header[4]; /* of the current frame */
  unsigned n_header;       /* bytes of it seen */
  uint32_t body_left;      /* bytes of the current frame still to come */
  bool collect;            /* the current frame is held until complete */
  MdBuf partial;           /* bytes of it */
  Segment *held;           /* reordered frame that waits for the next */
  MdTime held_until;       /* it goes out then at the latest */
} Flow;

typedef struct
{
  char name[MD_NAME_BYTES];  /* route name */
  int listener;              /* descriptor */
  struct sockaddr_in target; /* for new connections */
  Faults faults[2];          /* by direction */
  bool refuse;               /* close new connections */
  unsigned n_conns;          /* connections so far */
} Route;

typedef struct
{
  Route *route;    /* it came in by */
  unsigned number; /* on this route, 1 first */
  int fds[2];      /* client, target; target -1 before the connect */
  Flow flows[2];   /* UP, DOWN */
  bool connected;  /* the target accepted */
  bool silent;     /* passes nothing any more */
  bool left[2];    /* silent: this side has closed */
  bool dead;       /* to be freed */
} Conn;

typedef struct
{
  int fd;    /* descriptor */
  MdBuf in;  /* unfinished line */
  bool dead; /* to be freed */
} Control;

typedef struct
{
  uint64_t seed;                   /* of all random sequences */
  Route *routes[MAX_ROUTES];       /* n_routes in use */
  size_t n_routes;                 /* routes */
  Conn *conns[MAX_CONNS];          /* n_conns in use */
  size_t n_conns;                  /* connections */
  Control *controls[MAX_CONTROLS]; /* n_controls in use */
  size_t n_controls;               /* control connections */
  int control_listener;            /* descriptor */
  bool quit;                       /* leave the loop */
  MdTime now;                      /* of this round */
} Proxy;

/* faultproxy-flow-util.c: bytes of one direction of a connection */

void proxy_die (const char *what) __attribute__ ((noreturn));
void *proxy_allocate (size_t bytes); /* zeroed; exits when memory runs out */

/* flow_accept_bytes, flow_accept_end: the sender sent bytes, closed or reset. */
void flow_accept_bytes (Flow *flow, const Faults *faults, const char *data, size_t len, MdTime now);
void flow_accept_end (Flow *flow, const Faults *faults, SegmentKind kind, MdTime now);
/* flow_release_held: send the reordered frame, if there is one. */
void flow_release_held (Flow *flow, const Faults *faults, MdTime now);
void flow_clear (Flow *flow);

/* faultproxy-command-util.c: commands */

/* proxy_run_line: run a command line and append the answer. Changes line. */
void proxy_run_line (Proxy *proxy, char *line, MdBuf *answer);

/* faultproxy-route-util.c: routes */

/* proxy_listen: a non-blocking listener on a free port. */
int proxy_listen (int *port);
/* proxy_add_route: returns the port, or 0 when the target is malformed. */
int proxy_add_route (Proxy *proxy, const char *name, const char *target);
bool proxy_parse_address (const char *text, struct sockaddr_in *address);

#endif
