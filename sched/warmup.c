/* warmup.c -- gradual return of a worker whose failure domain was evacuated

   Load pattern: 60 workers come back at the same moment, empty, while the others are full. All
   entries see the free capacity within a report and send what waits there: more than a second's
   load in a few milliseconds, to workers whose caches are cold and whose speeds are not known. Runs
   that turn out slow hold the capacity of all. With a share that grows from an eighth to all within
   a second, entries see in each step how fast the runs of the former one ended.

   A worker that is still slow after its own start gets the further steps at a quarter of the rate,
   however long it stays so: after four seconds at most it is as if there had been no evacuation,
   and a run that needs the whole worker can start. */

#include "warmup.h"

#define WARMUP_TIME MD_SECOND /* from the first step to the last, of a worker that is not cold */
#define COLD_FACTOR 4         /* of this time, while it is cold */

/* Offsets a floating-point sum that is a little less than the step which it stands for. */
#define EPSILON 1e-9

static uint32_t
steps_of (const MdWarmup *warmup)
{
  return 1 + (uint32_t)((MD_WARMUP_STEPS - 1) * warmup->progress + EPSILON);
}

void
md_warmup_begin (MdWarmup *warmup, MdTime now)
{
  *warmup = (MdWarmup){ .active = true, .updated_at = now };
}

uint32_t
md_warmup_advance (MdWarmup *warmup, MdTime cold_until, MdTime now)
{
  MdTime elapsed = now - warmup->updated_at;
  MdTime cold = cold_until - warmup->updated_at;
  uint32_t steps;

  if (!warmup->active)
    return MD_WARMUP_STEPS;
  if (cold < 0)
    cold = 0;
  if (cold > elapsed)
    cold = elapsed;
  if (elapsed > 0)
    {
      warmup->progress
          += ((double)(elapsed - cold) + (double)cold / COLD_FACTOR) / (double)WARMUP_TIME;
      warmup->updated_at = now;
    }
  if (warmup->progress > 1)
    warmup->progress = 1;
  steps = steps_of (warmup);
  warmup->active = steps < MD_WARMUP_STEPS;
  return steps;
}

MdTime
md_warmup_due (const MdWarmup *warmup, MdTime cold_until, uint32_t steps)
{
  double target = (double)(steps - 1) / (MD_WARMUP_STEPS - 1);
  MdTime left = (MdTime)((target - warmup->progress) * (double)WARMUP_TIME) + 1;
  MdTime cold = cold_until > warmup->updated_at ? cold_until - warmup->updated_at : 0;

  if (!warmup->active || steps <= steps_of (warmup))
    return 0;
  /* Of what is left, the worker gains a quarter of the time for which it is cold. */
  return left * COLD_FACTOR <= cold ? left * COLD_FACTOR : left + cold - cold / COLD_FACTOR;
}
