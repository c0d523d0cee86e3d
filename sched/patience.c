/* patience.c -- how long a caller has waited before its request arrived

   Load pattern: all machines have been without power for a second. What callers have sent
   meanwhile, and what they repeat because its answer was lost, arrives together with the new
   requests, at twice the usual rate. Most of it has missed its goal before it arrives. If its goal
   is counted from its arrival, it takes the room of the new requests, and these are late as well.

   A request does not say when it was sent first, but it states how long its caller still waits,
   which for a repeated one is less than usual in its queue. What is usual is learned for each
   queue: the upper quartile of the stated times, followed by a step of a fixed part for each
   sample, and the mean excess of the samples above it. Times that depend on the size of the job
   have a long tail upwards and a short one downwards, so that a time that is shorter than the upper
   quartile by a few times the upper spread is unusual. The upper quartile, rather than the median,
   also tells the usual time when more than half of the samples are of repeated requests. After a
   restart the first samples may all be of such; until there are many, the time-out of the queue's
   route is taken for the usual time if that is longer. */

#include "patience.h"
#include "run-sched.h"

#include <math.h>

#define QUANTILE 0.75
#define STEP 0.01           /* of the usual time, for each sample; more for the first ones */
#define SETTLED 64u         /* samples after which the estimate stands by itself */
#define SPREAD_GAIN 0.05    /* weight of a sample in the spread */
#define MIN_SPREAD 0.05     /* of the usual time */
#define UNUSUAL_SPREADS 3.0 /* shorter by this many spreads is unusual */
#define MIN_AGE_OBJECTIVES                                                                         \
  3 /* an answer that is later is worth nothing; less may still be in time */

static void
sort_times (MdTime *times, uint32_t n)
{
  for (uint32_t i = 1; i < n; i++)
    for (uint32_t k = i; k > 0 && times[k - 1] > times[k]; k--)
      {
        MdTime larger = times[k - 1];

        times[k - 1] = times[k];
        times[k] = larger;
      }
}

static void
start_estimate (MdPatience *patience)
{
  uint32_t quartile = (uint32_t)(QUANTILE * MD_PATIENCE_FIRST);
  double excess = 0;

  sort_times (patience->first, MD_PATIENCE_FIRST);
  patience->usual = (double)patience->first[quartile];
  for (uint32_t i = quartile; i < MD_PATIENCE_FIRST; i++)
    excess += (double)patience->first[i] - patience->usual;
  patience->spread = excess / (MD_PATIENCE_FIRST - quartile);
}

static void
add_sample (MdPatience *patience, MdTime stated)
{
  double time = (double)stated;
  double step;

  if (patience->n < UINT32_MAX)
    patience->n++;
  if (patience->n <= MD_PATIENCE_FIRST)
    {
      patience->first[patience->n - 1] = stated;
      if (patience->n == MD_PATIENCE_FIRST)
        start_estimate (patience);
      return;
    }
  step = fmax (STEP, 1.0 / patience->n) * patience->usual;
  if (time > patience->usual)
    {
      patience->spread += SPREAD_GAIN * (time - patience->usual - patience->spread);
      patience->usual += step * QUANTILE;
    }
  else if (time < patience->usual)
    patience->usual -= step * (1 - QUANTILE);
}

MdTime
md_patience_age (MdPatience *patience, MdTime response_timeout, MdTime objective, MdTime least)
{
  double usual = patience->n < SETTLED ? fmax (patience->usual, (double)least) : patience->usual;
  double spread = fmax (patience->spread, MIN_SPREAD * usual);
  double age = usual - (double)response_timeout;

  if (response_timeout <= 0)
    return 0;
  add_sample (patience, response_timeout);
  return age > UNUSUAL_SPREADS * spread && age > MIN_AGE_OBJECTIVES * (double)objective
             ? md_span (age)
             : 0;
}
