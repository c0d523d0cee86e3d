/* patience.h -- how long a caller has waited before its request arrived */

#ifndef MD_PATIENCE_H
#define MD_PATIENCE_H

#include "md-base.h"

#define MD_PATIENCE_FIRST 16u /* samples from which the usual time is estimated first */

/* How long the callers of a queue state that they wait for an answer. Zeros: no request yet. */
typedef struct
{
  MdTime first[MD_PATIENCE_FIRST]; /* samples, until there are enough of them */
  uint32_t n;                      /* samples so far */
  double usual;                    /* upper quartile, microseconds */
  double spread;                   /* mean excess of the samples above it, microseconds */
} MdPatience;

/* md_patience_age: how long the caller of a job had waited when the job arrived, 0 if that is not
   known, not unusual in the queue, or less than three objectives of the job; adds the job to what
   is usual for its queue. response_timeout: how long the caller still waits, 0 if it does not state
   that; the job then has no age and adds nothing. objective: time from the arrival to the goal.
   least: the usual time is at least this until there are many samples, 0 unknown. */
MdTime md_patience_age (MdPatience *patience, MdTime response_timeout, MdTime objective,
                        MdTime least);

#endif
