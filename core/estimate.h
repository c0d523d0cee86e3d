/* estimate.h -- learned speeds of guards and corrections of declared times (estimate.c) */

#ifndef MD_ESTIMATE_H
#define MD_ESTIMATE_H

#include "mulberrydrift.h"

/* Learned speed of a guard as natural logarithms, 0 (speed 1) before any sample. Speed
   is work per run time, where work is the run time at speed 1. */
typedef struct
{
  double log_speed;        /* long-term average, used for estimates */
  double log_recent_speed; /* average with a larger weight of new samples */
  uint32_t samples;        /* answers that the averages contain */
} MdSpeed;

/* Learned relation of one customer's declared run times to actual work: a linear
   regression of the natural logarithms of both (in microseconds), computed from
   exponentially weighted moments. */
typedef struct
{
  double mean_log_declared;        /* of the declared times */
  double mean_log_work;            /* of the actual work */
  double log_declared_var;         /* variance of ln (declared time) */
  double log_work_var;             /* variance of ln (work) */
  double covariance;               /* covariance of both */
  uint32_t samples;                /* answers of tasks with a declared time */
  double prior_log_ratio;          /* ln (work / declared time) assumed before any sample */
  double mean_log_undeclared_work; /* of tasks without a declared time */
  uint32_t undeclared_samples;     /* answers of tasks without a declared time */
} MdCorrection;

/* md_estimate_work: returns the expected run time at speed 1 in microseconds.
   declared is 0 when the caller declared no run time. */
double md_estimate_work (const MdCorrection *correction, MdTime declared);
/* md_estimate_speed: returns the speed as a factor. */
double md_estimate_speed (const MdSpeed *speed);
/* md_estimate_set_prior: initializes the correction of a customer without samples
   from the correction of the whole pool. */
void md_estimate_set_prior (MdCorrection *correction, const MdCorrection *pool_correction);
/* md_estimate_learn: updates speed and corrections with an answer that took run
   microseconds at the upstream. Returns the natural logarithm of the actual over the
   expected run time, 0 when the task had no declared run time. */
double md_estimate_learn (MdSpeed *speed, MdCorrection *correction, MdCorrection *pool_correction,
                          MdTime declared, MdTime run, const MdTuning *tuning);
/* md_estimate_learn_work: updates only the corrections, for callers that learn the
   speed themselves. work is the run time at speed 1 in microseconds. */
void md_estimate_learn_work (MdCorrection *correction, MdCorrection *pool_correction,
                             MdTime declared, double work, const MdTuning *tuning);

#endif
