/* lag.c -- how late an entry is, and how many reports it can read

   Load pattern: an entry of a tenth of a core with callers for all of it. Each of its 45 guards
   reports up to 62 changes a second, most of them of other entries' runs, and the entry spends a
   third of its processor share on reading them. When a neighbour is away and its callers come as
   well, there is too little left, and everything is late: requests, starts, the heartbeats
   that keep its runs alive.

   Reports that are some tens of milliseconds older make placement slightly worse; an entry that
   is late makes it useless. An entry that is late therefore asks its guards for reports of changes
   less often, and for more again when it is in time. Starts and ends of its own runs are
   reported at once, as before.

   The lag is the largest recent sample, which decays fast: after a pause of the process there is
   one large sample, and the entry has caught up after the next pass. Jobs are rejected only while
   there is a shortage: the entry has been late for a second. When all entries start at the same
   time, their guards and callers connect within half a second, and the jobs that come meanwhile can
   still be served. A shortage has ended when the entry was in time for a second, so that it is not
   discovered anew with each job that is admitted. */

#include "run-sched.h"

#include <math.h>

#define HALF_LIFE (100 * MD_MS)
#define MAX_SAMPLE (500 * MD_MS)  /* a longer pause says no more */
#define SHORTAGE_LAG (50 * MD_MS) /* half of a heartbeat */
#define SHORTAGE_TIME (1 * MD_SECOND)
#define LATE (8 * MD_MS) /* most of the interval between two ticks */
#define IN_TIME (4 * MD_MS)
#define MIN_INTERVAL (16 * MD_MS)  /* about a guard's own interval */
#define MAX_INTERVAL (100 * MD_MS) /* a heartbeat, which comes without a change */
#define GROWTH 1.25
#define DECREASE (4 * MD_MS)

MdTime
md_lag_now (const MdLag *lag, MdTime now)
{
  if (lag->value <= 0 || now <= lag->updated_at)
    return lag->value;
  return (MdTime)((double)lag->value * exp2 (-(double)(now - lag->updated_at) / (double)HALF_LIFE));
}

static void
update_shortage (MdLag *lag, MdTime now)
{
  if (lag->value <= SHORTAGE_LAG)
    {
      lag->late_since = 0;
      if (lag->shortage && now >= lag->late_at + SHORTAGE_TIME)
        lag->shortage = false;
      return;
    }
  if (lag->late_since == 0)
    lag->late_since = now;
  lag->late_at = now;
  if (now >= lag->late_since + SHORTAGE_TIME)
    lag->shortage = true;
}

void
md_lag_add (MdLag *lag, MdTime sample, MdTime now)
{
  MdTime value = md_lag_now (lag, now);

  if (sample > MAX_SAMPLE)
    sample = MAX_SAMPLE;
  lag->value = sample > value ? sample : value;
  lag->updated_at = now;
  update_shortage (lag, now);
}

MdTime
md_lag_shortage (const MdLag *lag, MdTime now)
{
  return lag->shortage ? md_lag_now (lag, now) : 0;
}

MdTime
md_lag_report_interval (MdTime current, MdTime lag)
{
  if (lag > LATE)
    {
      MdTime next = current > 0 ? (MdTime)((double)current * GROWTH) : MIN_INTERVAL;

      return next < MAX_INTERVAL ? next : MAX_INTERVAL;
    }
  if (lag > IN_TIME || current <= 0)
    return current;
  return current - DECREASE >= MIN_INTERVAL ? current - DECREASE : 0;
}
