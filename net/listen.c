/* listen.c -- opening of the ports of a daemon at its start

   At a restart the former process may still hold the ports, and a machine that boots may not have
   its address yet. Both pass, so a start tries again for a while instead of ending. All ports are
   tested before the first is opened: nobody connects to a process that cannot serve yet. */

#include "listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RETRY_INTERVAL (100 * MD_MS)
/* A former process holds its ports for its grace period at most; the margin is for whoever ends it
   by force. */
#define FORMER_PROCESS_MARGIN (5 * MD_SECOND)

MdTime
md_listen_timeout (const MdSettings *settings)
{
  return settings->drain_timeout + FORMER_PROCESS_MARGIN;
}

/* Returns 0 or an errno. */
static int
try_bind (const struct sockaddr_in *sa)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  int reason = 0;

  if (fd < 0)
    return errno;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)sa, sizeof *sa) != 0)
    reason = errno;
  close (fd);
  return reason;
}

int
md_port_check (const MdPort *port, int *reason, MdError *error)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[MD_ADDRESS_BYTES];
  int number;

  *reason = 0;
  if (md_address_split (md_str (port->address), host, &number) != MD_OK
      || inet_pton (AF_INET, host, &sa.sin_addr) != 1)
    return md_error_set (error, MD_E_INVALID, port->step, port->address,
                         "not an address of the form ip:port");
  sa.sin_port = htons ((uint16_t)number);
  *reason = try_bind (&sa);
  if (*reason == 0)
    return MD_OK;
  return md_error_set (error, *reason == EACCES ? MD_E_DENIED : MD_E_IO, port->step, port->address,
                       "%s, errno %d", strerror (*reason), *reason);
}

/* Checks all ports and logs each reason once for each port. Returns the first error. */
static int
check_ports (const MdListen *listen, int logged[], MdError *error)
{
  int result = MD_OK;

  for (size_t i = 0; i < listen->n_ports; i++)
    {
      MdError found = { 0 };
      int reason;
      int rc = md_port_check (&listen->ports[i], &reason, &found);

      if (rc == MD_OK)
        continue;
      if (reason != 0 && reason != logged[i])
        md_log (MD_LOG_WARN, "listen-wait", "step=%s address=%s errno=%d reason=\"%s\"",
                listen->ports[i].step, listen->ports[i].address, reason, strerror (reason));
      logged[i] = reason;
      if (result == MD_OK)
        *error = found;
      result = result == MD_OK ? rc : result;
    }
  return result;
}

int
md_listen (const MdListen *listen, MdError *error)
{
  struct timespec pause = { 0, RETRY_INTERVAL * 1000 };
  MdTime deadline = md_now () + listen->timeout;
  int logged[MD_LISTEN_MAX_PORTS] = { 0 };

  for (;;)
    {
      MdError last = { 0 };
      int rc = check_ports (listen, logged, &last);

      if (rc == MD_OK)
        rc = listen->open (listen->user, &last);
      if (rc == MD_OK)
        return MD_OK;
      if (listen->is_stopping != NULL && listen->is_stopping ())
        return md_error_set (error, MD_E_TIMEOUT, last.step, last.peer, "stopped");
      if (rc != MD_E_IO || md_now () >= deadline)
        return md_error_set (error, rc, last.step, last.peer, "%s", last.detail);
      nanosleep (&pause, NULL);
    }
}
