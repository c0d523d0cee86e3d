/* priority.h -- order and admission of queues of different importance

   A queue has a priority from 0, which comes first, to MD_LAST_PRIORITY. It has an effect only
   while capacity is short: among the runs that wait at a guard (runqueue.c), and on the backlog
   that a job is admitted with at an entry. Queues with equal priorities are treated alike.
   Nothing here does I/O, reads a clock or keeps global state. */

#ifndef MD_PRIORITY_H
#define MD_PRIORITY_H

#include "run-sched.h"

#define MD_LAST_PRIORITY 255

/* A run that more important ones have overtaken for so long counts as of the first priority. */
#define MD_MAX_OVERTAKEN (150 * MD_MS)

/* md_priority_limit: a priority that another process stated, limited to MD_LAST_PRIORITY. */
static inline uint8_t
md_priority_limit (uint32_t priority)
{
  return priority < MD_LAST_PRIORITY ? (uint8_t)priority : MD_LAST_PRIORITY;
}

/* md_priority_class: the priority by which a waiting run is ordered now. */
uint8_t md_priority_class (const MdRun *run, MdTime now);

/* md_priority_goes_before: whether a starts before b although it sorts behind it: a can start in
   time and b can not, or both or neither can and a has the more important class. */
bool md_priority_goes_before (const MdRun *a, const MdRun *b, MdTime now);

/* md_priority_note_overtaken: record for the runs that are listed before chosen, and are less
   important, that chosen overtakes them now. */
void md_priority_note_overtaken (MdRunList *waiting, const MdRun *chosen, MdTime now);

#endif
