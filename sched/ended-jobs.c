/* ended-jobs.c -- how recent jobs have ended

   A caller repeats the request for a job that it got no answer for, and now and then a repeat
   arrives seconds after the answer. It is the same job: one that was cancelled must not start
   again, and one that has ended need not run again. The entry that answered it remembers the end
   for as long as a repeat may come.

   A job that was given up is remembered as well. It may start again, but when it is rejected
   instead, "not run" would be false.

   The table has a fixed size of 65,536 jobs in 4,096 sets. At a hundred jobs a second, a set has
   three in two minutes. Of a full set, the oldest is forgotten first. Nothing is known then of the
   other jobs of this set until the forgotten one would have been over. */

#include "ended-jobs.h"

static bool
is_key (const MdEndedJob *slot, MdJobKey key)
{
  return slot->state != MD_FINAL_UNKNOWN && slot->key.low == key.low && slot->key.high == key.high;
}

void
md_ended_jobs_add (MdEndedJobs *jobs, MdJobKey key, MdFinalState state, MdTime now)
{
  MdEndedJobSet *set = &jobs->sets[key.low % MD_ENDED_JOB_SETS];
  MdEndedJob *chosen = &set->jobs[0];

  for (unsigned i = 0; i < MD_ENDED_JOB_WAYS; i++)
    {
      if (is_key (&set->jobs[i], key))
        {
          chosen = &set->jobs[i];
          break;
        }
      if (set->jobs[i].ended_at < chosen->ended_at)
        chosen = &set->jobs[i];
    }
  if (chosen->state != MD_FINAL_UNKNOWN && !is_key (chosen, key))
    set->forgotten_until = chosen->ended_at + MD_ENDED_JOB_RETENTION;
  *chosen = (MdEndedJob){ .key = key, .ended_at = now, .state = state };
}

MdFinalState
md_ended_jobs_find (const MdEndedJobs *jobs, MdJobKey key, MdTime now)
{
  const MdEndedJob *set = jobs->sets[key.low % MD_ENDED_JOB_SETS].jobs;

  for (unsigned i = 0; i < MD_ENDED_JOB_WAYS; i++)
    if (is_key (&set[i], key) && now < set[i].ended_at + MD_ENDED_JOB_RETENTION)
      return set[i].state;
  return MD_FINAL_UNKNOWN;
}

bool
md_ended_jobs_may_have (const MdEndedJobs *jobs, MdJobKey key, MdTime now)
{
  return md_ended_jobs_find (jobs, key, now) != MD_FINAL_UNKNOWN
         || now < jobs->sets[key.low % MD_ENDED_JOB_SETS].forgotten_until;
}
