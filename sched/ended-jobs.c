/* ended-jobs.c -- how recent jobs have ended

   A caller repeats the request for a job that it got no answer for, and now and then a repeat
   arrives seconds after the answer. It is the same job: one that was cancelled must not start
   again, and one that has ended need not run again. The entry that answered it remembers the end
   for as long as a repeat may come.

   The table has a fixed size. Sixteen thousand jobs are what an entry answers in two minutes at a
   hundred jobs a second; beyond that, the oldest are forgotten first. */

#include "ended-jobs.h"

static bool
is_key (const MdEndedJob *slot, MdJobKey key)
{
  return slot->state != MD_FINAL_UNKNOWN && slot->key.low == key.low && slot->key.high == key.high;
}

void
md_ended_jobs_add (MdEndedJobs *jobs, MdJobKey key, MdFinalState state, MdTime now)
{
  MdEndedJob *set = jobs->slots[key.low % MD_ENDED_JOB_SETS];
  MdEndedJob *chosen = &set[0];

  for (unsigned i = 0; i < MD_ENDED_JOB_WAYS; i++)
    {
      if (is_key (&set[i], key))
        {
          chosen = &set[i];
          break;
        }
      if (set[i].ended_at < chosen->ended_at)
        chosen = &set[i];
    }
  *chosen = (MdEndedJob){ .key = key, .ended_at = now, .state = state };
}

MdFinalState
md_ended_jobs_find (const MdEndedJobs *jobs, MdJobKey key, MdTime now)
{
  const MdEndedJob *set = jobs->slots[key.low % MD_ENDED_JOB_SETS];

  for (unsigned i = 0; i < MD_ENDED_JOB_WAYS; i++)
    if (is_key (&set[i], key) && now < set[i].ended_at + MD_ENDED_JOB_RETENTION)
      return set[i].state;
  return MD_FINAL_UNKNOWN;
}
