/* estimate.c -- learned speeds of guards and corrections of declared times

   An answer compares the time it took with the time expected from the declared
   time, the customer's correction and the guard's speed. Part of the difference
   is put down to the guard and part to the customer. All averages are of
   logarithms, because errors of declared times are factors: a task declared ten
   times too long must not weigh more than one declared ten times too short.

   The correction is a line, not only a factor. When declared times scatter more
   than the true ones, a very long declared time is mostly error; the slope below
   1 draws it towards the customer's average. Without this the few worst declared
   times decide the order of jobs.

   Speeds and corrections are relative to each other: only their product shows in
   run times. A new customer therefore starts with the correction that is typical
   of the pool, and its first answers say little about the guards.

   The weight of a sample is 1 / (n + 2) at first and falls to a constant. The
   two weights never exceed 1 together, otherwise the corrections would overshoot
   and oscillate. A second, faster average of the speed replaces the slow one
   when they differ by more than noise explains; a worker that becomes slow is
   recognized within about 20 answers, while a steady one is not reordered by
   noise. */

#include "dispatch-private.h"

#include <math.h>

#define DEFAULT_WORK (300.0 * 1000.0) /* microseconds; most tasks take 50 ms to 1 s */
#define RECENT_GAIN 5.0               /* recent average: multiple of the slow one's weight */
#define CHANGE_LOG                                                                                 \
  0.9                        /* factor 2.5, about 4 deviations of the recent average
                                         at a log-normal error of sigma 1 */
#define CUSTOMER_SAMPLES 5.0 /* answers after which half of a difference counts for the guard */
#define PRIOR_VARIANCE 0.01  /* of logarithms; declared times within 10% count as alike */
#define PRIOR_SAMPLES 2.0    /* weight of the slope 1 at first */
#define MOST_LOG 7.0         /* bound of learned factors, about 1,000 */

static double
bounded (double value)
{
  return fmax (-MOST_LOG, fmin (MOST_LOG, value));
}

static double
gain (uint32_t samples, double least)
{
  return fmax (least, 1.0 / (samples + 2.0));
}

/* Slope of the line. Few samples leave it near 1, that is, trust the declared
   times; so do declared times that are all alike. */
static double
slope_of (const MdCorrection *correction)
{
  double prior = PRIOR_VARIANCE + PRIOR_SAMPLES / (correction->samples + 1.0);
  double slope = (correction->covariance + prior) / (correction->log_declared_var + prior);

  return fmax (0.0, fmin (1.5, slope));
}

/* Expected logarithm of the work. */
static double
log_work (const MdCorrection *correction, MdTime declared)
{
  double x = log ((double)declared);

  if (correction->samples == 0)
    return x + correction->prior_log_ratio;
  return correction->mean_log_work + slope_of (correction) * (x - correction->mean_log_declared);
}

double
md_estimate_work (const MdCorrection *correction, MdTime declared)
{
  double spread;

  if (declared <= 0)
    return correction->undeclared_samples > 0 ? exp (correction->mean_log_undeclared_work)
                                              : DEFAULT_WORK * exp (correction->prior_log_ratio);
  /* The mean of a log-normal value lies above its median; sums of estimates
     need the mean. */
  spread = correction->log_work_var - slope_of (correction) * correction->covariance;
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
  if (fabs (speed->log_recent_speed - speed->log_speed) > CHANGE_LOG)
    speed->log_speed = speed->log_recent_speed;
  speed->log_speed = bounded (speed->log_speed);
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
md_estimate_set_prior (MdCorrection *correction, const MdCorrection *typical)
{
  if (correction->samples == 0)
    correction->prior_log_ratio = typical->mean_log_work - typical->mean_log_declared;
}

/* Says nothing about a speed, as the work of the task is unknown. */
static void
learn_plain (MdCorrection *correction, double work, const MdTuning *tuning)
{
  correction->mean_log_undeclared_work
      += gain (correction->undeclared_samples, tuning->correction_gain)
         * (work - correction->mean_log_undeclared_work);
  correction->undeclared_samples++;
}

void
md_estimate_learn_work (MdCorrection *correction, MdCorrection *typical, MdTime declared,
                        double work, const MdTuning *tuning)
{
  double y = log (work > 1 ? work : 1);

  if (declared <= 0)
    {
      learn_plain (correction, y, tuning);
      return;
    }
  learn_line (correction, log ((double)declared), y, tuning);
  learn_line (typical, log ((double)declared), y, tuning);
}

double
md_estimate_learn (MdSpeed *speed, MdCorrection *correction, MdCorrection *typical, MdTime declared,
                   MdTime run, const MdTuning *tuning)
{
  double work = log ((double)(run > 0 ? run : 1)) + speed->log_speed;
  double difference;
  double trust;

  if (declared <= 0)
    {
      learn_plain (correction, work, tuning);
      return 0;
    }
  difference = work - log_work (correction, declared);
  trust = correction->samples / (correction->samples + CUSTOMER_SAMPLES);
  learn_line (correction, log ((double)declared), work, tuning);
  learn_line (typical, log ((double)declared), work, tuning);
  learn_speed (speed, difference, trust, tuning);
  return difference;
}
