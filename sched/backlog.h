/* backlog.h -- order in which an entry handles the jobs that wait for its engine */

#ifndef MD_BACKLOG_H
#define MD_BACKLOG_H

#include "md-base.h"

/* A job that waits; microseconds since its arrival. */
typedef struct
{
  MdTime waited; /* until now */
  MdTime slack;  /* it can start after this time and still be in time, if its estimate is right */
  MdTime limit;  /* its answer is of no use after this time */
  MdTime work;   /* expected run time of its longest chain of tasks */
} MdBacklogJob;

/* md_backlog_is_long: whether jobs are not handled in the order of arrival when the oldest has
   waited for this long. */
bool md_backlog_is_long (MdTime oldest_wait);

/* md_backlog_goes_before: whether a is handled before b in a long backlog. */
bool md_backlog_goes_before (const MdBacklogJob *a, const MdBacklogJob *b);

/* md_backlog_is_expired: whether a job is rejected without a forecast. */
bool md_backlog_is_expired (const MdBacklogJob *job);

#endif
