/* health.c -- adaptive concurrency, ejection and probation of guards

   A worker that fails everything is idle all the time and would attract all
   work. It is ejected after a number of consecutive failures, provided that the
   same kind of work succeeds elsewhere; failures that occur everywhere are the
   tasks' own. The share of ejected guards is bounded by the caller, because a
   general fault must not leave the pool without workers. An ejected guard gets
   single trial tasks after waits that double until some of them succeed.

   The concurrency limit follows the latency: it falls by a fixed factor when run
   times exceed the learned speed for a while, as they do on a worker that is
   overcommitted, and rises by one task per limit's worth of good answers. */

#include "dispatch-private.h"

#include <math.h>

#define ANSWER_COUNTS_HALF_LIFE_US (10.0 * 1000.0 * 1000.0) /* microseconds */
#define GOOD_PER_FAILED 2.0 /* at least, for work to count as good elsewhere */
#define TRIALS_TO_READMIT 3
#define SUSPECT_FAILURES 2 /* consecutive failures after which one task runs at a time */
#define EXCESS_GAIN 0.1    /* weight of an answer in the average excess */
#define EXCESS_LOG 0.9     /* factor 2.5, about 4 deviations at a log-normal error of sigma 1 */
#define LIMIT_CUT 0.75     /* factor of a reduction */
#define CUT_INTERVAL 20u   /* answers between reductions; the average needs as many to follow */

static void
decay (MdAnswerCounts *counts, MdTime now)
{
  double factor = exp2 (-(double)(now - counts->updated_at) / ANSWER_COUNTS_HALF_LIFE_US);

  counts->successes *= factor;
  counts->failures *= factor;
  counts->updated_at = now;
}

void
md_answer_counts_add (MdAnswerCounts *counts, bool good, MdTime now)
{
  decay (counts, now);
  if (good)
    counts->successes += 1;
  else
    counts->failures += 1;
}

bool
md_answer_counts_good_elsewhere (const MdAnswerCounts *all, const MdAnswerCounts *own, MdTime now)
{
  MdAnswerCounts a = *all;
  MdAnswerCounts b = *own;

  decay (&a, now);
  decay (&b, now);
  return a.successes - b.successes > GOOD_PER_FAILED * (a.failures - b.failures);
}

void
md_health_init (MdHealth *health, uint32_t slots)
{
  memset (health, 0, sizeof *health);
  health->concurrency_limit = slots;
}

static void
adapt_limit (MdHealth *health, uint32_t slots, double excess)
{
  health->log_slowdown += EXCESS_GAIN * (excess - health->log_slowdown);
  health->answers_since_reduction++;
  if (health->log_slowdown > EXCESS_LOG && health->answers_since_reduction >= CUT_INTERVAL)
    {
      health->concurrency_limit = fmax (1.0, health->concurrency_limit * LIMIT_CUT);
      health->answers_since_reduction = 0;
      return;
    }
  health->concurrency_limit
      = fmin (slots, health->concurrency_limit + 1.0 / health->concurrency_limit);
}

MdHealthChange
md_health_record_success (MdHealth *health, uint32_t slots, double excess, const MdTuning *tuning,
                          MdTime now)
{
  md_answer_counts_add (&health->answer_counts, true, now);
  health->consecutive_failures = 0;
  health->suspect = false;
  if (!health->ejected)
    {
      adapt_limit (health, slots, excess);
      return MD_HEALTH_UNCHANGED;
    }
  health->successful_trials++;
  health->trial_interval = tuning->probation_min;
  health->next_trial_at = now;
  return health->successful_trials >= TRIALS_TO_READMIT ? MD_HEALTH_READMIT : MD_HEALTH_UNCHANGED;
}

MdHealthChange
md_health_record_failure (MdHealth *health, bool good_elsewhere, const MdTuning *tuning, MdTime now)
{
  md_answer_counts_add (&health->answer_counts, false, now);
  if (health->ejected)
    {
      health->successful_trials = 0;
      health->trial_interval = health->trial_interval * 2 < tuning->probation_max
                                   ? health->trial_interval * 2
                                   : tuning->probation_max;
      health->next_trial_at = now + health->trial_interval;
      return MD_HEALTH_UNCHANGED;
    }
  health->consecutive_failures++;
  health->suspect = health->consecutive_failures >= SUSPECT_FAILURES && good_elsewhere;
  if (health->consecutive_failures >= tuning->eject_failures && good_elsewhere)
    return MD_HEALTH_EJECT;
  return MD_HEALTH_UNCHANGED;
}

void
md_health_undo_failure (MdHealth *health)
{
  if (health->consecutive_failures > 0)
    health->consecutive_failures--;
  health->suspect = health->suspect && health->consecutive_failures >= SUSPECT_FAILURES;
}

void
md_health_eject (MdHealth *health, const MdTuning *tuning, MdTime now)
{
  health->ejected = true;
  health->successful_trials = 0;
  health->trial_interval = tuning->probation_min;
  health->next_trial_at = now + health->trial_interval;
  health->ejected_at = now;
}

void
md_health_readmit (MdHealth *health, uint32_t slots)
{
  health->ejected = false;
  health->consecutive_failures = 0;
  health->suspect = false;
  health->log_slowdown = 0;
  health->concurrency_limit = fmax (1.0, slots / 2.0); /* grows back with good answers */
}

uint32_t
md_health_concurrency (const MdHealth *health, uint32_t slots, MdTime now)
{
  uint32_t limit = (uint32_t)health->concurrency_limit;

  if (health->ejected)
    return now >= health->next_trial_at ? 1 : 0;
  if (health->suspect)
    return 1;
  return limit < slots ? limit : slots;
}

uint32_t
md_health_max_ejected (uint32_t guards, const MdTuning *tuning)
{
  return (uint32_t)floor (guards * tuning->eject_max_share + 1e-9);
}
