/* patience.h -- how long the caller of a request has waited before it arrived

   Times are microseconds. */

#ifndef MD_PATIENCE_H
#define MD_PATIENCE_H

#include "md-base.h"

/* How long the callers of a queue usually wait for an answer beyond what makes it useless. Zeros: no
   request yet. */
typedef struct
{
  double surplus;   /* upper envelope of response timeout - MD_LIMIT_GOAL_MULTIPLE * objective */
  uint32_t samples; /* at most PATIENCE_MIN_SAMPLES are counted */
} MdPatience;

/* md_patience_age: how long the caller of a job had waited when the job arrived, 0 if that is not
   known or less than three objectives of the job; adds the job to what is usual for its queue.
   response_timeout: how long the caller still waits, 0 if it does not state that; the job then
   has no age and adds nothing. objective: time from the arrival to the goal. */
MdTime md_patience_age (MdPatience *usual, MdTime response_timeout, MdTime objective);

#endif
