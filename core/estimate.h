/* estimate.h -- learned speeds of guards and corrections of declared times (estimate.c) */

#ifndef MD_ESTIMATE_H
#define MD_ESTIMATE_H

#include "mulberrydrift.h"

/* Learned speed of a guard, natural logarithm, relative to declared times. */
typedef struct
{
  double log_speed;        /* long-term average */
  double log_recent_speed; /* average with a larger weight on new samples */
  uint32_t samples;        /* answers seen */
} MdSpeed;

/* Learned relation of one customer's declared times to true work: a line through
   the natural logarithms of both, from weighted moments. */
typedef struct
{
  double mean_log_declared;        /* average logarithm of declared times */
  double mean_log_work;            /* average logarithm of true work */
  double log_declared_var;         /* variance of the former */
  double log_work_var;             /* variance of the latter */
  double covariance;               /* of both */
  uint32_t samples;                /* answers of tasks with a declared time */
  double prior_log_ratio;          /* logarithm of work over declared time before any sample */
  double mean_log_undeclared_work; /* average logarithm of work of tasks without one */
  uint32_t undeclared_samples;     /* answers in plain_work */
} MdCorrection;

/* md_estimate_work: run time at speed 1, microseconds. */
double md_estimate_work (const MdCorrection *correction, MdTime declared);
double md_estimate_speed (const MdSpeed *speed);
/* md_estimate_set_prior: a customer without samples starts with the correction that
   is typical of the pool. */
void md_estimate_set_prior (MdCorrection *correction, const MdCorrection *typical);
/* md_estimate_learn: an answer took run at the upstream. Returns the logarithm of
   the actual over the expected run time, 0 when nothing was expected. */
double md_estimate_learn (MdSpeed *speed, MdCorrection *correction, MdCorrection *typical,
                          MdTime declared, MdTime run, const MdTuning *tuning);
/* md_estimate_learn_work: the same where the speed is learned elsewhere; work is the
   run time at speed 1, microseconds. */
void md_estimate_learn_work (MdCorrection *correction, MdCorrection *typical, MdTime declared,
                             double work, const MdTuning *tuning);

#endif
