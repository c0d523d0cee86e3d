/* backlog.h -- order in which an entry handles the jobs that wait for its engine */

#ifndef MD_BACKLOG_H
#define MD_BACKLOG_H

#include "md-base.h"

/* md_backlog_newest_first: whether the newest job is handled next, rather than the oldest, when the
   oldest has waited for this long, in microseconds. */
bool md_backlog_newest_first (MdTime oldest_wait);

/* md_backlog_is_expired: whether a job that has waited for this long is rejected without a forecast. limit:
   time from its arrival after which its answer is of no use, work: expected run time of its
   longest chain of tasks; all in microseconds. */
bool md_backlog_is_expired (MdTime waited, MdTime limit, MdTime work);

#endif
