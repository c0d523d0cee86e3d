/* demand.c -- shares of queues in the demand

   Load pattern: several customers' queues press at once, one of them with most of the
   work. Without a bound it would take the capacity of the others. A queue whose share is
   above an equal one yields first, see admission.c. */

#include "run-sched.h"

#include <math.h>

#define HALF_LIFE (2 * MD_SECOND) /* a burst shows within a second, a pause is not forgotten */

static double
decayed (const MdDemand *demand, MdTime now)
{
  if (demand->work <= 0)
    return 0;
  return demand->work * exp2 (-(double)(now - demand->updated_at) / (double)HALF_LIFE);
}

void
md_demand_add (MdDemand *demand, double work, MdTime now)
{
  demand->work = decayed (demand, now) + work;
  demand->updated_at = now;
}

double
md_demand_ratio (const MdDemand *const *demands, uint32_t n, const MdDemand *one, MdTime now)
{
  double mine = decayed (one, now);
  double total = 0;
  double active = 0;

  for (uint32_t i = 0; i < n; i++)
    total += decayed (demands[i], now);
  if (total <= 0)
    return 1;
  /* A queue counts as one as far as its share approaches an equal share among the
     busiest; idle queues do not raise the share of the others. */
  for (uint32_t i = 0; i < n; i++)
    {
      double share = decayed (demands[i], now) / total;

      active += share * share;
    }
  return mine / total / active;
}
