/* priority.c -- order and admission of queues of different importance

   Load pattern: a peak of 1.5 times the capacity over three queues. Without priorities the queue
   with the widest jobs loses most, however important it is: its jobs have many tasks, little
   slack, and are late as soon as one task is.

   At a guard the runs of a more important queue start first. Strict order alone would stop the
   others for as long as the peak lasts, so that a run counts as of the first class once it has
   been overtaken for MD_MAX_OVERTAKEN. */

#include "priority.h"

uint8_t
md_priority_class (const MdRun *run, MdTime now)
{
  bool waited = run->overtaken_at > 0 && now >= run->overtaken_at + MD_MAX_OVERTAKEN;

  return waited ? 0 : run->priority;
}

bool
md_priority_goes_before (const MdRun *a, const MdRun *b, MdTime now)
{
  bool a_late = a->start_by < now;
  bool b_late = b->start_by < now;

  if (a_late != b_late)
    return b_late;
  return md_priority_class (a, now) < md_priority_class (b, now);
}

void
md_priority_note_overtaken (MdRunList *waiting, const MdRun *chosen, MdTime now)
{
  for (MdRun *run = waiting->first; run != NULL && run != chosen; run = run->next)
    if (run->overtaken_at == 0 && chosen->priority < run->priority)
      run->overtaken_at = now;
}
