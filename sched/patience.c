/* patience.c -- how long the caller of a request has waited before it arrived

   Load pattern: all machines of a site lose power for a second. The kernels of the callers repeat the
   connection attempts of the outage after a second, and these requests arrive together with the new
   ones: for 0.8 s there are 2.3 times as many as usual. Most of the repeated ones have missed their goal
   before they arrive, and an answer to them is worth a fifth or nothing. When their goals are counted
   from their arrival, they take the capacity that the new ones need, and these become late as well.

   A caller states how long it still waits. Beyond three objectives, when an answer becomes useless, it
   waits for a time that is the same for all jobs of a queue, and one that has waited already states
   less. The usual surplus is tracked as an upper envelope: raised fast, because most requests are
   new, and lowered slowly, because a wave of old ones lasts for some hundred jobs.

   Objectives follow estimates that are wrong by a factor of about exp (0.4). With equal response
   timeouts, such an error appears as an age of up to three objectives, but never of more. */

#include "patience.h"
#include "run-sched.h"

#define PATIENCE_MIN_SAMPLES 16u /* less than a tenth of a second of a busy queue */
#define RAISE_GAIN 0.2           /* ten new requests bring the envelope to nine tenths */
#define LOWER_GAIN 0.01      /* callers that state less from now on are new ones after 200 jobs */
#define MIN_AGE_OBJECTIVES 3 /* errors of the estimates make up as much */

static void
add_sample (MdPatience *usual, double surplus)
{
  double difference = surplus - usual->surplus;

  if (usual->samples == 0)
    usual->surplus = surplus;
  else
    usual->surplus += (difference > 0 ? RAISE_GAIN : LOWER_GAIN) * difference;
  if (usual->samples < PATIENCE_MIN_SAMPLES)
    usual->samples++;
}

MdTime
md_patience_age (MdPatience *usual, MdTime response_timeout, MdTime objective)
{
  double surplus = (double)response_timeout - MD_LIMIT_GOAL_MULTIPLE * (double)objective;
  double age = usual->surplus - surplus;
  bool known = usual->samples >= PATIENCE_MIN_SAMPLES;

  if (response_timeout <= 0)
    return 0;
  add_sample (usual, surplus);
  return known && age > MIN_AGE_OBJECTIVES * (double)objective ? md_span (age) : 0;
}
