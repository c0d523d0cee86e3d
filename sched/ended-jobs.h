/* ended-jobs.h -- how recent jobs have ended */

#ifndef MD_ENDED_JOBS_H
#define MD_ENDED_JOBS_H

#include "md-base.h"

#define MD_ENDED_JOB_RETENTION (120 * MD_SECOND)
#define MD_ENDED_JOB_SETS 4096u
#define MD_ENDED_JOB_WAYS 16u /* jobs that share a set */

typedef enum
{
  MD_FINAL_UNKNOWN,
  MD_FINAL_COMPLETED,
  MD_FINAL_FAILED,
  MD_FINAL_CANCELLED,
  MD_FINAL_GIVEN_UP, /* no final state; a part may have run */
} MdFinalState;

/* Hash of a job's ID and queue, uniformly distributed. */
typedef struct
{
  uint64_t low;
  uint64_t high;
} MdJobKey;

typedef struct
{
  MdJobKey key;
  MdTime ended_at;
  MdFinalState state; /* UNKNOWN: not used */
} MdEndedJob;

typedef struct
{
  MdEndedJob jobs[MD_ENDED_JOB_WAYS];
  MdTime forgotten_until; /* jobs that were displaced would have been kept until then, 0: none */
} MdEndedJobSet;

/* Bounded table; zeroed, it is empty. */
typedef struct
{
  MdEndedJobSet sets[MD_ENDED_JOB_SETS];
} MdEndedJobs;

/* md_ended_jobs_add: record the end of a job. It takes the place of an earlier end of the same job,
   or else of the oldest one in its set. */
void md_ended_jobs_add (MdEndedJobs *jobs, MdJobKey key, MdFinalState state, MdTime now);
/* md_ended_jobs_find: how the job ended; UNKNOWN if it has not, or longer than
   MD_ENDED_JOB_RETENTION ago, or if too many others have ended since. */
MdFinalState md_ended_jobs_find (const MdEndedJobs *jobs, MdJobKey key, MdTime now);
/* md_ended_jobs_may_have: whether the job has ended in the last MD_ENDED_JOB_RETENTION, or may have
   and was displaced. */
bool md_ended_jobs_may_have (const MdEndedJobs *jobs, MdJobKey key, MdTime now);

#endif
