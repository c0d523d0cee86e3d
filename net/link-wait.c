/* link-wait.c -- the wait of the event loop

   epoll_pwait2 waits with a resolution of microseconds. Kernels before 5.11 do not have it, and a
   filter of system calls may forbid it; epoll_wait with whole milliseconds takes its place then. */

#define _GNU_SOURCE /* epoll_pwait2 */

#include "md-link.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>

#define MAX_WAIT (3600 * MD_SECOND) /* of one call; its milliseconds fit into an int */
#define FAILED_WAIT_MS 10           /* pause after a failed wait, so that the loop does not spin */
#define FAILURE_LOG_INTERVAL MD_SECOND /* between log lines about failed waits */

static int
wait_exact (MdLinks *links, struct epoll_event *events, int max, MdTime wait)
{
  struct timespec timeout = { .tv_sec = wait / MD_SECOND, .tv_nsec = wait % MD_SECOND * 1000 };

  return epoll_pwait2 (links->epoll_fd, events, max, &timeout, NULL);
}

/* Rounded up: rounded down, a wait of less than a millisecond would be none at all. */
static int
wait_milliseconds (MdLinks *links, struct epoll_event *events, int max, MdTime wait)
{
  return epoll_wait (links->epoll_fd, events, max, (int)((wait + MD_MS - 1) / MD_MS));
}

static void
pause_after_failure (MdLinks *links, int error)
{
  MdTime now = md_now ();

  if (now >= links->wait_failure_log_due)
    {
      links->wait_failure_log_due = now + FAILURE_LOG_INTERVAL;
      md_log (MD_LOG_ERROR, "event-wait-failed", "reason=\"%s\"", strerror (error));
    }
  poll (NULL, 0, FAILED_WAIT_MS);
}

int
md_link_wait (MdLinks *links, struct epoll_event *events, int max, MdTime wait)
{
  int n = -1;

  if (wait < 0)
    wait = 0;
  if (wait > MAX_WAIT)
    wait = MAX_WAIT;
  if (!links->wait_in_ms)
    n = wait_exact (links, events, max, wait);
  if (n < 0 && !links->wait_in_ms && errno != EINTR)
    {
      links->wait_in_ms = true;
      md_log (MD_LOG_WARN, "event-wait-in-ms", "call=epoll_pwait2 reason=\"%s\"", strerror (errno));
    }
  if (n < 0 && links->wait_in_ms)
    n = wait_milliseconds (links, events, max, wait);
  if (n < 0 && errno != EINTR)
    pause_after_failure (links, errno);
  return n;
}
