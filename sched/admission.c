/* admission.c -- whether a job is taken in

   Load pattern: bursts of 1.2 to 1.9 times what the workers can do. A job that
   cannot meet its goal is worth little to its caller, and its tasks would make
   others late as well, so it is rejected on arrival, when nothing of it has run and
   the caller still has time to come back. A job that is late without a backlog, for
   want of fast workers, harms nobody and is taken in. */

#include "run-sched.h"

/* A forecast misses by about a tenth of the goal either way; a little optimism keeps
   room from idling after pessimistic forecasts. */
#define GOAL_TOLERANCE 1.05
#define RETRY_MIN (200 * MD_MS) /* shortest Retry-After: a backlog needs that to clear */
#define RETRY_MAX (5 * MD_SECOND)

MdAdmitRun
md_admit_run (const MdForecast *forecast)
{
  if ((double)forecast->finish <= GOAL_TOLERANCE * (double)forecast->goal)
    return MD_ADMIT_NOW;
  if (forecast->backlog || forecast->finish > forecast->limit)
    return MD_ADMIT_NEVER;
  return MD_ADMIT_LATE;
}

MdTime
md_admit_retry_after (const MdForecast *forecast, uint64_t random)
{
  MdTime excess = forecast->finish > forecast->goal ? forecast->finish - forecast->goal : 0;
  MdTime delay = excess > RETRY_MIN ? excess : RETRY_MIN;

  delay += (MdTime)(random % (uint64_t)delay);
  return delay < RETRY_MAX ? delay : RETRY_MAX;
}
