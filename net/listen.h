/* listen.h -- opening of the ports of a daemon at its start */

#ifndef MD_LISTEN_H
#define MD_LISTEN_H

#include "md-private.h"

#define MD_LISTEN_MAX_PORTS 4

typedef struct
{
  const char *step;    /* names the port in logs and errors */
  const char *address; /* ip:port */
} MdPort;

/* md_port_check: whether a server could listen on the port now. Binds a socket with the options of
   CivetWeb and closes it, because CivetWeb does not tell why it cannot listen. *reason receives the
   errno. Errors: MD_E_INVALID address, MD_E_DENIED: not permitted, MD_E_IO. */
int md_port_check (const MdPort *port, int *reason, MdError *error);

typedef struct
{
  MdPort ports[MD_LISTEN_MAX_PORTS]; /* n_ports elements, all of them needed */
  size_t n_ports;
  MdTime timeout;                           /* after which the last error is final */
  bool (*is_stopping) (void);               /* ends the wait; NULL: never */
  int (*open) (void *user, MdError *error); /* opens all ports, or none; MD_E_IO: try again */
  void *user;                               /* first argument of open */
} MdListen;

/* md_listen_timeout: how long a daemon with these settings waits for its ports. */
MdTime md_listen_timeout (const MdSettings *settings);

/* md_listen: call open when all ports are free, and again while that fails with MD_E_IO. Blocks.
   Each reason is logged once for each port. Returns what open or md_port_check returned last,
   MD_E_TIMEOUT after is_stopping. */
int md_listen (const MdListen *listen, MdError *error);

#endif
