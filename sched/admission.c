/* admission.c -- admission control for jobs

   Overload comes in bursts of 1.2 to 1.9 times the capacity of the workers, from jobs of
   several queues that have little slack. A job that cannot meet its goal is worth little to
   its caller and would make other jobs late as well. It is rejected on arrival, when none of
   its tasks has run and the caller still has time to retry.

   In addition the backlog is bounded, because a backlog as long as the slack of the queue
   with the most slack would cause all jobs of the others to be rejected. A short backlog
   keeps all workers busy as well as a long one does. The wait for a preferred worker, while
   others are free, does not count as backlog. The bound is lower for a queue that requests
   more than its share, so that it is limited first and the queues that request less are
   hardly affected. With priorities it is lower for a queue that others are more important than,
   see priority.c. A job that is late without waiting, because no fast worker is free,
   delays no other job and is admitted.

   A job whose caller had waited for long when it arrived has missed its goal. An answer may still
   be of some use, so that it is admitted where nothing waits, whatever the bound of its queue.

   An entry that is short of processor time is a queue like the workers: what it admits waits for
   it to read the ends of the runs, and makes all of its other jobs late. Its lag is bounded in the
   same way as the backlog. */

#include "run-sched.h"

#include <math.h>

/* For a queue with an equal share. A third of it keeps a hundred slots busy with tasks of about
   50 to 900 ms. */
#define WAIT_BOUND (70 * MD_MS)
#define MAX_WAIT_BOUND (120 * MD_MS)  /* for a queue that requests little */
#define DEMAND_EXPONENT 2.0           /* the bound falls with this power of md_demand_ratio */
#define NEGLIGIBLE_WAIT (6 * MD_MS)   /* reports are a few milliseconds old */
#define NEGLIGIBLE_LAG (20 * MD_MS)   /* two ticks; small entries are as late without a shortage */
#define MIN_RETRY_AFTER (200 * MD_MS) /* a backlog takes this long to clear */
#define MAX_RETRY_AFTER (5 * MD_SECOND)

MdTime
md_admit_wait_bound (double demand)
{
  double bound = (double)WAIT_BOUND / pow (fmax (demand, 0.1), DEMAND_EXPONENT);

  bound = fmin (bound, (double)MAX_WAIT_BOUND);
  return (MdTime)fmax (bound, (double)NEGLIGIBLE_WAIT);
}

MdTime
md_admit_bound (const MdForecast *forecast)
{
  return forecast->bound > 0 ? forecast->bound : md_admit_wait_bound (forecast->demand);
}

MdTime
md_admit_lag (const MdForecast *forecast)
{
  return forecast->lag > NEGLIGIBLE_LAG ? forecast->lag : 0;
}

bool
md_admit_rejects_all (MdTime lag)
{
  return lag > MAX_WAIT_BOUND;
}

bool
md_admit_is_too_late (const MdForecast *forecast)
{
  return md_admit_lag (forecast) > md_admit_wait_bound (forecast->demand);
}

MdRunAdmission
md_admit_run (const MdForecast *forecast)
{
  MdTime lag = md_admit_lag (forecast);
  bool idle = forecast->wait <= NEGLIGIBLE_WAIT && lag == 0;

  if (forecast->age > 0)
    return idle && forecast->finish <= forecast->limit ? MD_ADMIT_LATE : MD_ADMIT_REJECT;
  if (md_admit_is_too_late (forecast) || forecast->wait > md_admit_bound (forecast))
    return MD_ADMIT_REJECT;
  if (forecast->finish + lag <= forecast->goal)
    return MD_ADMIT_NOW;
  if (!idle || forecast->finish > forecast->limit)
    return MD_ADMIT_REJECT;
  return MD_ADMIT_LATE;
}

MdTime
md_admit_retry_after (const MdForecast *forecast, uint64_t random)
{
  MdTime delay = MIN_RETRY_AFTER;

  if (delay < forecast->wait)
    delay = forecast->wait;
  if (delay < forecast->lag)
    delay = forecast->lag;
  /* The wait is unlimited while no worker is of use. */
  if (delay > MAX_RETRY_AFTER)
    delay = MAX_RETRY_AFTER;
  delay += (MdTime)(random % (uint64_t)delay);
  return delay < MAX_RETRY_AFTER ? delay : MAX_RETRY_AFTER;
}
