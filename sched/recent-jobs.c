/* recent-jobs.c -- which jobs may have run here, for threads that do not keep them

   A request that is rejected before it reaches the engine may be the repeat of a job that has run,
   of which "not run" would be false. The ends of jobs are known to the engine, and the threads that
   reject have no time to wait for it. They read this table.

   Each slot has the time of the last end of any job whose hash selects it. Nothing is ever removed
   or displaced, so that an end cannot be forgotten early however many others there are. Two jobs of
   one slot are not told apart, so that a job may be found that has not run: it is passed on to the
   engine, or its outcome is called unknown. With a hundred jobs a second that happens to one in
   twenty-two (12,000 of 262,144 slots in use), with a thousand to one in three.

   Times that are ahead of the reader's are recent: the reader may have been held up since it read
   its clock. */

#include "recent-jobs.h"
#include "ended-jobs.h"

void
md_recent_jobs_add (MdRecentJobs *jobs, uint64_t hash, MdTime now)
{
  atomic_store_explicit (&jobs->seconds[hash % MD_RECENT_JOB_SLOTS],
                         (uint32_t)(now / MD_SECOND) + 1, memory_order_release);
}

bool
md_recent_jobs_find (const MdRecentJobs *jobs, uint64_t hash, MdTime now)
{
  uint32_t second
      = atomic_load_explicit (&jobs->seconds[hash % MD_RECENT_JOB_SLOTS], memory_order_acquire);

  /* The slot has the start of the second in which the job ended. */
  return second != 0 && now < (MdTime)second * MD_SECOND + MD_ENDED_JOB_RETENTION;
}
