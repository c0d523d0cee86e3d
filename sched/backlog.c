/* backlog.c -- order in which an entry handles the jobs that wait for its engine

   Load pattern: for a second, an entry of a tenth of a core gets twice the jobs that it has processor
   time for: machines return, or the callers of another failure domain move to it. In order of
   arrival, each job waits as long as the backlog is, and once that exceeds the slack of a kind of job,
   all jobs of the kind miss their goals although the entry is busy all the time. The newest job still has all of its
   slack. It is handled first while the oldest waits for longer than jobs with tight goals can
   afford; the older ones are handled in what time is left, and rejected at once when their answer would
   come too late to be of use. In total as many jobs are handled as before, and more of them in time. The method is
   known as adaptive LIFO (Maurer, "Fail at Scale", ACM Queue 13(8), 2015). */

#include "backlog.h"

/* Slack of the jobs with the tightest goals: 1.6 times the work and 60 ms, less a round trip and the
   start of their runs. Two ticks of the engine are half of it. */
#define NEWEST_FIRST_AFTER (40 * MD_MS)

bool
md_backlog_newest_first (MdTime oldest_wait)
{
  return oldest_wait > NEWEST_FIRST_AFTER;
}

bool
md_backlog_is_expired (MdTime waited, MdTime limit, MdTime work)
{
  return md_backlog_newest_first (waited) && waited + work > limit;
}
