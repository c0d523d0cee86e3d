/* estimate.c -- learned speeds of guards and corrections of declared times

   The run time of each answer is compared with the time expected from the declared
   time, the customer's correction and the guard's speed. The difference is attributed
   partly to the guard and partly to the customer. All averages are averages of
   logarithms, because errors of declared times are factors: a task declared ten
   times too long must not weigh more than one declared ten times too short.

   The correction is a regression line, not only a factor. When declared times vary
   more than the actual ones, a very long declared time is mostly error, and a slope
   below 1 shrinks it towards the customer's average. Without this the few worst
   declared times would decide the order of jobs.

   Speeds and corrections are relative to each other, since run times depend only on
   their product. A new customer therefore starts with the correction of the whole
   pool, and its first answers have little weight for the speed of the guards.

   The weight of a sample is 1 / (n + 2) at first and decreases to a constant. The two
   weights never exceed 1 together; otherwise the corrections would overshoot and
   oscillate. A second, faster average of the speed replaces the slow one when they
   differ by more than noise explains. A worker that becomes slow is thus recognized
   within about 20 answers, while noise does not change the order of steady ones. */

#include "dispatch-private.h"

#include <math.h>

#define DEFAULT_WORK_US (300.0 * 1000.0) /* used without any sample; most tasks take 50 ms to 1 s */
#define RECENT_GAIN 5.0 /* weight of a sample in the recent average over that in the slow one */

/* The recent average of the speed replaces the slow one beyond this difference: a
   factor of 2.5, about 4 standard deviations of the recent average at a log-normal
   error of sigma 1. */
#define SPEED_CHANGE_LOG 0.9

#define CUSTOMER_SAMPLES 5.0 /* samples at which the guard gets half of its full weight */
#define PRIOR_VARIANCE 0.01  /* of logarithms; declared times within 10% count as equal */
#define PRIOR_SAMPLES 2.0    /* weight of the initial slope 1 */
#define MAX_ABS_LOG 7.0      /* bounds learned speeds to a factor of about 1,000 */

static double
clamp_log (double value)
{
  return fmax (-MAX_ABS_LOG, fmin (MAX_ABS_LOG, value));
}

static double
gain (uint32_t samples, double min_gain)
{
  return fmax (min_gain, 1.0 / (samples + 2.0));
}

/* Slope of the regression line. It stays near 1, which means that declared times are
   trusted, while there are few samples or all declared times are nearly equal. */
static double
line_slope (const MdCorrection *correction)
{
  double prior = PRIOR_VARIANCE + PRIOR_SAMPLES / (correction->samples + 1.0);
  double slope = (correction->covariance + prior) / (correction->log_declared_var + prior);

  return fmax (0.0, fmin (1.5, slope));
}

/* Returns the expected logarithm of the work. */
static double
log_work (const MdCorrection *correction, MdTime declared)
{
  double x = log ((double)declared);

  if (correction->samples == 0)
    return x + correction->prior_log_ratio;
  return correction->mean_log_work + line_slope (correction) * (x - correction->mean_log_declared);
}

double
md_estimate_work (const MdCorrection *correction, MdTime declared)
{
  double spread;

  if (declared <= 0)
    return correction->undeclared_samples > 0 ? exp (correction->mean_log_undeclared_work)
                                              : DEFAULT_WORK_US * exp (correction->prior_log_ratio);
  /* The mean of a log-normal variable is larger than its median. Sums of estimates
     need the mean. */
  spread = correction->log_work_var - line_slope (correction) * correction->covariance;
  return exp (log_work (correction, declared) + fmax (0.0, fmin (1.0, spread)) / 2.0);
}

double
md_estimate_speed (const MdSpeed *speed)
{
  return exp (speed->log_speed);
}

static void
learn_speed (MdSpeed *speed, double difference, double trust, const MdTuning *tuning)
{
  double slow = trust * gain (speed->samples, tuning->speed_gain);
  double fast = trust * fmin (0.5, fmax (slow, RECENT_GAIN * tuning->speed_gain));
  double sample = speed->log_speed - difference;

  speed->log_recent_speed += fast * (sample - speed->log_recent_speed);
  speed->log_speed += slow * (sample - speed->log_speed);
  speed->samples++;
  if (fabs (speed->log_recent_speed - speed->log_speed) > SPEED_CHANGE_LOG)
    speed->log_speed = speed->log_recent_speed;
  speed->log_speed = clamp_log (speed->log_speed);
}

static void
learn_line (MdCorrection *correction, double x, double y, const MdTuning *tuning)
{
  double g = gain (correction->samples, tuning->correction_gain);
  double dx;
  double dy;

  if (correction->samples++ == 0)
    {
      correction->mean_log_declared = x;
      correction->mean_log_work = x + correction->prior_log_ratio;
    }
  dx = x - correction->mean_log_declared;
  dy = y - correction->mean_log_work;
  correction->mean_log_declared += g * dx;
  correction->mean_log_work += g * dy;
  correction->log_declared_var = (1 - g) * (correction->log_declared_var + g * dx * dx);
  correction->log_work_var = (1 - g) * (correction->log_work_var + g * dy * dy);
  correction->covariance = (1 - g) * (correction->covariance + g * dx * dy);
}

void
md_estimate_set_prior (MdCorrection *correction, const MdCorrection *pool_correction)
{
  if (correction->samples == 0)
    correction->prior_log_ratio
        = pool_correction->mean_log_work - pool_correction->mean_log_declared;
}

/* Updates the average work of tasks without a declared time. Such tasks do not affect
   the speed of a guard, since their work is unknown. */
static void
learn_undeclared (MdCorrection *correction, double work, const MdTuning *tuning)
{
  correction->mean_log_undeclared_work
      += gain (correction->undeclared_samples, tuning->correction_gain)
         * (work - correction->mean_log_undeclared_work);
  correction->undeclared_samples++;
}

void
md_estimate_learn_work (MdCorrection *correction, MdCorrection *pool_correction, MdTime declared,
                        double work, const MdTuning *tuning)
{
  double y = log (work > 1 ? work : 1);

  if (declared <= 0)
    {
      learn_undeclared (correction, y, tuning);
      return;
    }
  learn_line (correction, log ((double)declared), y, tuning);
  learn_line (pool_correction, log ((double)declared), y, tuning);
}

double
md_estimate_learn (MdSpeed *speed, MdCorrection *correction, MdCorrection *pool_correction,
                   MdTime declared, MdTime run, const MdTuning *tuning)
{
  double work = log ((double)(run > 0 ? run : 1)) + speed->log_speed;
  double difference;
  double trust;

  if (declared <= 0)
    {
      learn_undeclared (correction, work, tuning);
      return 0;
    }
  difference = work - log_work (correction, declared);
  trust = correction->samples / (correction->samples + CUSTOMER_SAMPLES);
  learn_line (correction, log ((double)declared), work, tuning);
  learn_line (pool_correction, log ((double)declared), work, tuning);
  learn_speed (speed, difference, trust, tuning);
  return difference;
}
