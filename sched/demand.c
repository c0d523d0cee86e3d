/* demand.c -- each queue's share of the demand

   When the queues of several customers are busy at the same time, one with most of the work
   would use up the capacity of the others. A queue whose share is above an equal one is
   limited first, see admission.c. Demand is the requested work with exponential decay. */

#include "run-sched.h"

#include <math.h>

#define HALF_LIFE (2 * MD_SECOND) /* shows a burst within a second and outlasts short pauses */

double
md_demand_now (const MdDemand *demand, MdTime now)
{
  if (demand->work <= 0)
    return 0;
  return demand->work * exp2 (-(double)(now - demand->updated_at) / (double)HALF_LIFE);
}

void
md_demand_add (MdDemand *demand, double work, MdTime now)
{
  demand->work = md_demand_now (demand, now) + work;
  demand->updated_at = now;
}

double
md_demand_ratio (const MdDemand *const *demands, uint32_t n, const MdDemand *one, MdTime now)
{
  double own = md_demand_now (one, now);
  double total = 0;
  double sum_of_squares = 0;

  for (uint32_t i = 0; i < n; i++)
    total += md_demand_now (demands[i], now);
  if (total <= 0)
    return 1;
  /* The sum of squared shares is the inverse of the effective number of active queues, so that
     idle queues do not raise the ratio of the others. */
  for (uint32_t i = 0; i < n; i++)
    {
      double share = md_demand_now (demands[i], now) / total;

      sum_of_squares += share * share;
    }
  return own / total / sum_of_squares;
}
