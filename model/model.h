/* model.h -- a workload of jobs, replayed through the decisions of sched/ without processes

   A workload is what came and what the workers were: recorded in logs (day-log.c) or made
   from a seed (day-made.c). A simulation runs the workload with a policy (play.c); plot.c draws
   results, simulate.c is the command. Nothing here does I/O but the plot and the
   command; times are MdTime in microseconds since the start of the workload. */

#ifndef MD_MODEL_H
#define MD_MODEL_H

#include "run-sched.h"

/* ------------------------------------------------------------------ */
/* Workloads                                                               */

typedef struct
{
  char name[MD_NAME_BYTES]; /* as configured */
  double slack_factor;      /* goal: so many times the run time of a task ... */
  MdTime target_latency;    /* ... and this more */
  double mean_work;         /* of a task, at speed 1, microseconds */
} MdModelQueue;

typedef struct
{
  MdTime arrival;          /* arrival */
  uint32_t queue;          /* index */
  uint32_t entry;          /* index of the entry that took it */
  uint32_t n_tasks;        /* tasks */
  MdResources resources;   /* of each */
  MdTime declared_time;    /* run time of a task as its caller states it */
  MdTime response_timeout; /* the caller leaves then, from arrival */
  MdTime *work;            /* true run times at speed 1, count entries, owned */
  MdTime response_time;    /* recorded: from arrival until the answer, 0 not recorded */
  bool completed;          /* recorded: the answer was a result */
  bool rejected;           /* recorded: nothing ran */
  uint32_t repeats;        /* recorded: times that the caller sent it again */
} MdModelJob;

/* A worker is like this from a time on. */
typedef struct
{
  MdTime at;       /* ascending in a workload */
  uint32_t worker; /* index */
  double speed;    /* relative to declared times; 0 it is down */
} MdModelChange;

typedef struct
{
  MdModelQueue *queues;    /* n_queues entries, owned */
  uint32_t n_queues;       /* queues */
  MdModelJob *jobs;        /* n_jobs entries by arrival, owned */
  uint32_t n_jobs;         /* jobs */
  MdResources *capacities; /* capacity of each worker, n_workers entries, owned */
  uint32_t n_workers;      /* workers */
  MdModelChange *changes;  /* n_changes entries, owned */
  uint32_t n_changes;      /* changes */
  uint32_t n_entries;      /* entries that took jobs */
  MdTime length;           /* until the last arrival */
  bool recorded;           /* from logs */
  uint64_t missing_lines;  /* log lines that were left out, by what the logs say */
  uint32_t unknown_tasks;  /* recorded tasks without a complete run: drawn from the seed */
} MdModelWorkload;

void md_model_workload_clear (MdModelWorkload *workload);
#define MD_AUTO_WORKLOAD __attribute__ ((cleanup (md_model_workload_clear))) MdModelWorkload

/* Random numbers that are the same for the same seed everywhere. */
typedef struct
{
  uint64_t state; /* not 0 */
} MdModelRandom;

MdModelRandom md_model_random (uint64_t seed);
double md_model_uniform (MdModelRandom *random); /* 0 to 1 */
double md_model_log_normal (MdModelRandom *random, double sigma);

/* A made workload: three queues on eleven workers of unlike speed and size, about two thirds
   busy, with estimates that are off by a log-normal factor of sigma 0.4. */
typedef struct
{
  uint64_t seed;       /* of arrivals, sizes and estimates */
  double burst_factor; /* factor on arrivals from second 4 to 8 */
  int burst_queue;     /* queue that the burst is of, -1 all */
  double slow_factor;  /* two workers take so many times as long from second 5 to 12 */
} MdModelPattern;

/* MD_E_MEMORY. */
int md_model_generate_workload (MdModelWorkload *workload, const MdModelPattern *pattern,
                                MdError *error);

/* md_model_read_workload: a workload from the logs of entries and guards. The seed draws what the
   logs do not tell. MD_E_INVALID when they hold no jobs or no workers, MD_E_MEMORY. */
int md_model_read_workload (MdModelWorkload *workload, MdStr logs, uint64_t seed, MdError *error);

/* ------------------------------------------------------------------ */
/* Simulations                                                              */

typedef enum
{
  MD_MODEL_ENTRIES,   /* the entries of the workload, with reports that are a message old */
  MD_MODEL_ONE_QUEUE, /* one entry that sees every worker at once */
  MD_MODEL_BASELINE,  /* the emptier of two random workers, in order of arrival, no rejection */
  MD_MODEL_RECORDED,  /* no simulation: the answers as recorded */
  MD_MODEL_POLICIES
} MdModelPolicy;

const char *md_model_policy_name (MdModelPolicy policy);

#define MD_MODEL_MAX_SECONDS 3600 /* of a workload */

typedef struct
{
  MdModelPolicy policy;    /* of the simulation */
  double worth;            /* share of the worth that was owed */
  uint32_t in_goal;        /* jobs complete within their goal */
  uint32_t late;           /* complete, worth less */
  uint32_t rejected;       /* nothing ran */
  uint32_t unanswered;     /* too late to be worth anything, or never */
  double response_p50;     /* response over objective of complete jobs */
  double response_p99;     /* the same */
  uint64_t starts;         /* of tasks */
  uint64_t wasted;         /* starts whose result nobody waited for, or that were lost */
  uint64_t messages;       /* orders and ends, a message each */
  uint32_t seconds;        /* entries of the next two */
  double *worth_by_second; /* per second of arrival, owned */
  double *owed_by_second;  /* the same */
} MdModelResult;

void md_model_result_clear (MdModelResult *result);
#define MD_AUTO_RESULT __attribute__ ((cleanup (md_model_result_clear))) MdModelResult

/* md_model_simulate: the same workload and policy always give the same result. MD_E_MEMORY, or
   MD_E_INVALID for RECORDED on a made workload. */
int md_model_simulate (const MdModelWorkload *workload, MdModelPolicy policy, MdModelResult *result,
                       MdError *error);

/* ------------------------------------------------------------------ */
/* Plot                                                               */

/* md_model_plot: share of the worth by second of arrival as an SVG picture, one line
   for each result. */
void md_model_plot (MdBuf *out, const MdModelResult *results, uint32_t n);

#endif
