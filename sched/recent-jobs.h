/* recent-jobs.h -- which jobs may have run here, for threads that do not keep them */

#ifndef MD_RECENT_JOBS_H
#define MD_RECENT_JOBS_H

#include "md-base.h"

#include <stdatomic.h>

#define MD_RECENT_JOB_SLOTS (1u << 18) /* 1 MB */

/* Bounded table; zeroed, it is empty. One thread adds jobs, any number of others look them up at the
   same time without a lock. */
typedef struct
{
  _Atomic uint32_t seconds[MD_RECENT_JOB_SLOTS]; /* time of the last end in whole seconds, plus one;
                                                    0: none */
} MdRecentJobs;

/* md_recent_jobs_add: record that a job which may have run has ended. hash: of its ID, uniformly
   distributed. now: not negative, at most 136 years. To be called before the end is told to
   anybody. */
void md_recent_jobs_add (MdRecentJobs *jobs, uint64_t hash, MdTime now);
/* md_recent_jobs_find: false if no job with this hash has been added in the last
   MD_ENDED_JOB_RETENTION. True otherwise, and also for some jobs that were never added. Can be
   called from any thread. */
bool md_recent_jobs_find (const MdRecentJobs *jobs, uint64_t hash, MdTime now);

#endif
