/* startup.h -- what waits for an entry that has just started

   Times are microseconds; ages are those of the process. */

#ifndef MD_STARTUP_H
#define MD_STARTUP_H

#include "md-base.h"

/* md_startup_config_wait: how much longer a request for a job waits for the first configuration, 0
   if it does not wait. process_age: of the entry. waited: since the request arrived. patience: how
   long after its arrival its caller waits for the answer, 0 if the caller does not state that. */
MdTime md_startup_config_wait (MdTime process_age, MdTime waited, MdTime patience);

/* md_startup_worker_wait: how long a job that has just found no usable worker waits for one, 0 if
   it does not wait. to_goal: time to the goal of the job, negative after it. */
MdTime md_startup_worker_wait (MdTime process_age, MdTime to_goal);

/* md_startup_retry_after: the delay after which a caller should repeat a request that could not be
   served, whose delay is usually the given one. random, which must be uniform, spreads the callers
   of an entry that has just started. */
MdTime md_startup_retry_after (MdTime process_age, MdTime usual, uint64_t random);

#endif
