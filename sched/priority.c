/* priority.c -- order and admission of queues of different importance

   Load pattern: a peak of 1.5 times the capacity over three queues. Without priorities the queue
   with the widest jobs loses most, however important it is: its jobs have many tasks, little
   slack, and are late as soon as one task is.

   At a guard the runs of a more important queue start first. Strict order alone would stop the
   others for as long as the peak lasts, so that a run counts as of the first class once it has
   been overtaken for MD_MAX_OVERTAKEN.

   At an entry the backlog that a queue is admitted with falls with the pressure and with the share
   of the demand of more important queues. The backlog then settles where the capacity that these
   leave is used up, and is short for the most important queue. A queue competes for its bound with
   the queues of its own priority only: otherwise the most important queue would be limited first
   when it has most of the demand. A queue that got less than a quarter of an equal share of the
   admitted slot time is admitted as of the first priority. */

#include "priority.h"

#include <math.h>

#define FLOOR_SHARE 0.25 /* of an equal share of the admitted slot time */
/* The bound falls with this power of the share that more important queues leave. */
#define YIELD_EXPONENT 2.0
/* Pressure from which on the bound is that of the priorities alone. The bounds keep the backlog of
   most workers below this. */
#define FULL_EFFECT 0.5

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

/* ------------------------------------------------------------------ */
/* Admission                                                          */

void
md_admitted_add (MdAdmitted *admitted, double work, MdTime now)
{
  int64_t span = now / MD_ADMITTED_SPAN;

  if (span - admitted->newest >= MD_ADMITTED_SPANS)
    *admitted = (MdAdmitted){ .newest = span };
  while (admitted->newest < span)
    admitted->work[++admitted->newest % MD_ADMITTED_SPANS] = 0;
  admitted->work[admitted->newest % MD_ADMITTED_SPANS] += work;
}

double
md_admitted_sum (const MdAdmitted *admitted, MdTime now)
{
  int64_t oldest = now / MD_ADMITTED_SPAN - MD_ADMITTED_SPANS + 1;
  double sum = 0;

  for (int64_t span = admitted->newest - MD_ADMITTED_SPANS + 1; span <= admitted->newest; span++)
    if (span >= oldest && span >= 0)
      sum += admitted->work[span % MD_ADMITTED_SPANS];
  return sum;
}

/* Sums over the queues of a pool. */
typedef struct
{
  double demand;       /* of all queues */
  double above;        /* of the more important ones */
  double same;         /* of those of the same priority */
  double same_squares; /* sum of the squares of these */
  double admitted;     /* slot time */
  uint32_t active;     /* queues that asked for something in the last 2 s */
} Totals;

static Totals
add_up (const MdQueueLoad *queues, uint32_t n, uint8_t priority, MdTime now)
{
  Totals totals = { 0 };

  for (uint32_t i = 0; i < n; i++)
    {
      double demand = md_demand_now (queues[i].demand, now);

      totals.demand += demand;
      totals.above += queues[i].priority < priority ? demand : 0;
      if (queues[i].priority == priority)
        {
          totals.same += demand;
          totals.same_squares += demand * demand;
        }
      if (queues[i].demand->work > 0
          && now - queues[i].demand->updated_at < MD_ADMITTED_SPANS * MD_ADMITTED_SPAN)
        {
          totals.active++;
          totals.admitted += md_admitted_sum (queues[i].admitted, now);
        }
    }
  return totals;
}

static bool
all_equal (const MdQueueLoad *queues, uint32_t n)
{
  for (uint32_t i = 1; i < n; i++)
    if (queues[i].priority != queues[0].priority)
      return false;
  return true;
}

MdPriorityBound
md_priority_bound (const MdQueueLoad *queues, uint32_t n, uint32_t own, double demand,
                   double pressure, MdTime now)
{
  MdPriorityBound bound = { .wait_bound = md_admit_wait_bound (demand) };
  Totals totals;
  double ratio;
  double limit;

  if (pressure <= 0 || all_equal (queues, n))
    return bound;
  totals = add_up (queues, n, queues[own].priority, now);
  if (totals.same <= 0)
    return bound;
  bound.floor = totals.above > 0
                && md_admitted_sum (queues[own].admitted, now)
                       <= FLOOR_SHARE * totals.admitted / fmax (totals.active, 1);
  ratio = md_demand_now (queues[own].demand, now) * totals.same / totals.same_squares;
  limit = (double)md_admit_wait_bound (bound.floor ? 1 : ratio);
  if (!bound.floor)
    limit *= pow (1 - totals.above / totals.demand, YIELD_EXPONENT);
  bound.wait_bound
      += (MdTime)(fmin (pressure / FULL_EFFECT, 1) * (limit - (double)bound.wait_bound));
  return bound;
}
