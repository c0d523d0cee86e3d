/* entry-start.c -- the start of an entry, for which requests wait

   An eventfd that stays readable wakes every thread that waits, and poll watches the socket of the
   caller beside it. A condition variable could not do the latter, and a caller that leaves would
   occupy its thread until the end of the wait. */

#define _GNU_SOURCE /* POLLRDHUP */

#include "entry-start.h"
#include "md-private.h"
#include "run-sched.h"

#include <errno.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

void
md_entry_start_begin (MdEntryStart *start, MdTime now)
{
  *start = (MdEntryStart){ .began = now, .event = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK) };
  if (start->event < 0)
    md_log (MD_LOG_WARN, "eventfd", "reason=\"%s\"", strerror (errno));
}

void
md_entry_start_end (MdEntryStart *start)
{
  uint64_t one = 1;

  if (start->began == 0 || start->ended)
    return;
  start->ended = true;
  if (start->event >= 0 && write (start->event, &one, sizeof one) < 0)
    md_log (MD_LOG_ERROR, "eventfd", "reason=\"%s\"", strerror (errno));
}

MdTime
md_entry_start_age (const MdEntryStart *start, MdTime now)
{
  return start->began > 0 ? now - start->began : MD_MAX_SPAN;
}

MdStartOutcome
md_entry_start_wait (const MdEntryStart *start, int socket, MdTime until)
{
  struct pollfd fds[2]
      = { { .fd = start->event, .events = POLLIN }, { .fd = socket, .events = POLLRDHUP } };

  if (start->began == 0 || start->event < 0)
    return MD_START_TIMED_OUT;
  for (;;)
    {
      MdTime left = until - md_now ();
      int n = poll (fds, 2, left > 0 ? (int)((left + MD_MS - 1) / MD_MS) : 0);

      /* After a suspension of the process several of them hold; a caller that left comes first. */
      if (n > 0 && fds[1].revents != 0)
        return MD_START_CALLER_LEFT;
      if (n > 0 && fds[0].revents != 0)
        return MD_START_ENDED;
      if (n == 0 && left <= 0)
        return MD_START_TIMED_OUT;
      if (n < 0 && errno != EINTR)
        {
          md_log (MD_LOG_ERROR, "poll", "reason=\"%s\"", strerror (errno));
          return MD_START_TIMED_OUT;
        }
    }
}

const char *
md_entry_start_outcome_name (MdStartOutcome outcome)
{
  switch (outcome)
    {
    case MD_START_ENDED:
      return "ended";
    case MD_START_TIMED_OUT:
      return "timed-out";
    case MD_START_CALLER_LEFT:
      return "caller-left";
    }
  return "unknown";
}
