/* ended-jobs.h -- how recent jobs have ended */

#ifndef MD_ENDED_JOBS_H
#define MD_ENDED_JOBS_H

#include "md-base.h"

#define MD_ENDED_JOB_RETENTION (120 * MD_SECOND)
#define MD_ENDED_JOB_SETS 4096u
#define MD_ENDED_JOB_WAYS 4u /* jobs that share a set */

typedef enum
{
  MD_FINAL_UNKNOWN,
  MD_FINAL_COMPLETED,
  MD_FINAL_FAILED,
  MD_FINAL_CANCELLED,
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

/* Bounded table; zeroed, it is empty. */
typedef struct
{
  MdEndedJob slots[MD_ENDED_JOB_SETS][MD_ENDED_JOB_WAYS];
} MdEndedJobs;

/* md_ended_jobs_add: record the end of a job. It takes the place of an earlier end of the same job,
   or else of the oldest one in its set. */
void md_ended_jobs_add (MdEndedJobs *jobs, MdJobKey key, MdFinalState state, MdTime now);
/* md_ended_jobs_find: how the job ended; UNKNOWN if it has not, or longer than
   MD_ENDED_JOB_RETENTION ago, or if too many others have ended since. */
MdFinalState md_ended_jobs_find (const MdEndedJobs *jobs, MdJobKey key, MdTime now);

#endif
