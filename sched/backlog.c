/* backlog.c -- order in which an entry handles the jobs that wait for its engine

   Load pattern: for a second, an entry of a tenth of a core gets twice the jobs that it has
   processor time for: machines return, or the callers of another failure domain move to it. In
   order of arrival, each job waits as long as the backlog is, and once that exceeds the slack of a
   kind of job, all jobs of the kind miss their goals although the entry is busy all the time.

   While the oldest waits for longer than jobs with tight goals can afford, the job that is handled
   next is the one with the earliest deadline for its start, among those that can meet it. Jobs that
   have missed theirs are handled in what time is left, the newest first, and rejected at once when
   their answer would come too late to be of use. As run times are known only to a factor, a
   deadline is half of the slack: a job that starts at the end of its slack is late as often as not.
   For jobs that all take the same time to handle, the earliest feasible deadline first lets most of
   them be in time (Moore, "An n Job, One Machine Sequencing Algorithm", Management Science 15(1),
   1968). */

#include "backlog.h"

/* Half of the slack of the jobs with the tightest goals. */
#define LONG_WAIT (40 * MD_MS)
#define USABLE_SLACK 0.5

bool
md_backlog_is_long (MdTime oldest_wait)
{
  return oldest_wait > LONG_WAIT;
}

/* Time that is left until the job has to be handled. */
static MdTime
time_left (const MdBacklogJob *job)
{
  return (MdTime)(USABLE_SLACK * (double)job->slack) - job->waited;
}

bool
md_backlog_goes_before (const MdBacklogJob *a, const MdBacklogJob *b)
{
  MdTime a_left = time_left (a);
  MdTime b_left = time_left (b);

  if ((a_left >= 0) != (b_left >= 0))
    return a_left >= 0;
  return a_left >= 0 ? a_left < b_left : a_left > b_left;
}

bool
md_backlog_is_expired (const MdBacklogJob *job)
{
  return md_backlog_is_long (job->waited) && job->waited + job->work > job->limit;
}
