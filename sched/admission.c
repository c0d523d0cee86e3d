/* admission.c -- whether a job is taken in

   Load pattern: bursts of 1.2 to 1.9 times what the workers can do, by jobs of several
   queues that have little slack. A job that cannot meet its goal is worth little to its
   caller, and its tasks would make others late as well, so it is rejected on arrival,
   when nothing of it has run and the caller still has time to come back.

   Beyond that the backlog is bounded, because one as long as the slack of the most
   patient queue would turn away all jobs of the others. A wait for some worker that a
   job prefers, while others are free, is no backlog. The bound is shorter for a
   queue that asks for more than its share: it is cut back first, and the queues that
   ask for less are hardly touched. A short backlog keeps all workers busy just as well
   as a long one. A job that is late without any wait, for want of fast workers, delays
   nobody and is taken in. */

#include "run-sched.h"

#include <math.h>

#define WAIT_BOUND                                                                                 \
  (70 * MD_MS)                       /* for a queue with an equal share: tasks of about 50 to
                                       900 ms on a hundred slots keep busy with a third of it */
#define WAIT_BOUND_MAX (120 * MD_MS) /* for a queue that asks for little */
#define DEMAND_EXPONENT 2.0          /* how strongly the bound depends on the share */
#define WAIT_CALM (6 * MD_MS)        /* reports are a few milliseconds old */
#define RETRY_MIN (200 * MD_MS)      /* shortest Retry-After: a backlog needs that to clear */
#define RETRY_MAX (5 * MD_SECOND)    /* longest Retry-After */

MdTime
md_admit_wait_bound (double demand)
{
  double bound = (double)WAIT_BOUND / pow (fmax (demand, 0.1), DEMAND_EXPONENT);

  bound = fmin (bound, (double)WAIT_BOUND_MAX);
  return (MdTime)fmax (bound, (double)WAIT_CALM);
}

MdRunAdmission
md_admit_run (const MdForecast *forecast)
{
  if (forecast->wait > md_admit_wait_bound (forecast->demand))
    return MD_ADMIT_REJECT;
  if (forecast->finish <= forecast->goal)
    return MD_ADMIT_NOW;
  if (forecast->wait > WAIT_CALM || forecast->finish > forecast->limit)
    return MD_ADMIT_REJECT;
  return MD_ADMIT_LATE;
}

MdTime
md_admit_retry_after (const MdForecast *forecast, uint64_t random)
{
  MdTime delay = forecast->wait > RETRY_MIN ? forecast->wait : RETRY_MIN;

  delay += (MdTime)(random % (uint64_t)delay);
  return delay < RETRY_MAX ? delay : RETRY_MAX;
}
