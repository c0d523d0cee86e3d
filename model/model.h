/* model.h -- simulation of a workload of jobs with the decisions of sched/

   A workload holds the jobs that arrive and the speeds of the workers. It is read from logs
   (day-log.c) or generated from a seed (day-made.c). A simulation runs it with a policy in
   one process (play.c), plot.c draws the results, and simulate.c is the command. Only the
   command does I/O. Times are MdTime in microseconds, points in time since the start of the
   workload. */

#ifndef MD_MODEL_H
#define MD_MODEL_H

#include "run-sched.h"

/* ------------------------------------------------------------------ */
/* Workloads                                                          */

/* The response-time goal of a job is the run time of its longest task times slack_factor plus
   target_latency. */
typedef struct
{
  char name[MD_NAME_BYTES]; /* as configured */
  double slack_factor;      /* part of the goal in proportion to the run time */
  MdTime target_latency;    /* constant part of the goal */
  double mean_work;         /* mean run time of a task at speed 1, microseconds */
  uint8_t priority;         /* 0 comes first */
} MdModelQueue;

typedef struct
{
  MdTime arrival;
  uint32_t queue; /* index into queues */
  uint32_t entry; /* index of the entry that received it */
  uint32_t n_tasks;
  MdResources resources;   /* of each task */
  MdTime declared_time;    /* run time of a task as its caller states it */
  MdTime response_timeout; /* from arrival; the caller disconnects then */
  MdTime *work;            /* true run time of each task at speed 1, owned */
  MdTime response_time;    /* recorded: from arrival until the answer, 0 not recorded */
  bool completed;          /* recorded: the job was completed */
  bool rejected;           /* recorded: rejected, no task ran */
  uint32_t repeats;        /* recorded: how often the caller sent it again */
} MdModelJob;

/* Speed of a worker from a time on. */
typedef struct
{
  MdTime at;       /* ascending in a workload */
  uint32_t worker; /* index */
  double speed;    /* relative to declared times, 0 down */
} MdModelChange;

typedef struct
{
  MdModelQueue *queues; /* owned */
  uint32_t n_queues;
  MdModelJob *jobs; /* ascending by arrival, owned */
  uint32_t n_jobs;
  MdResources *capacities; /* of each worker, owned */
  uint32_t n_workers;
  MdModelChange *changes; /* ascending by at, owned */
  uint32_t n_changes;
  uint32_t n_entries;     /* that received jobs */
  MdTime report_interval; /* of a guard to an entry with full reports, 0 a few milliseconds */
  uint32_t full_reports;  /* entries to which a guard reports each change, 0 all */
  MdTime length;          /* time of the last arrival, or the end of generated arrivals */
  bool recorded;          /* read from logs */
  uint64_t missing_lines; /* dropped log lines, as counted in the logs */
  uint32_t unknown_tasks; /* recorded tasks without a complete run, whose work is estimated */
} MdModelWorkload;

/* md_model_workload_clear: free what the workload owns and zero it. */
void md_model_workload_clear (MdModelWorkload *workload);
#define MD_AUTO_WORKLOAD __attribute__ ((cleanup (md_model_workload_clear))) MdModelWorkload

/* Random number generator (splitmix64); the same seed gives the same numbers on every machine. */
typedef struct
{
  uint64_t state;
} MdModelRandom;

/* md_model_random: a generator with this seed; any value is allowed. */
MdModelRandom md_model_random (uint64_t seed);

/* md_model_uniform: uniformly distributed, 0 inclusive to 1 exclusive. */
double md_model_uniform (MdModelRandom *random);

/* md_model_log_normal: log-normally distributed with median 1. */
double md_model_log_normal (MdModelRandom *random, double sigma);

/* Parameters of a generated workload: three queues on workers that differ in speed and size,
   about two thirds busy, with estimates that are off by a log-normal factor of sigma 0.4. */
typedef struct
{
  uint64_t seed;       /* of arrivals, job sizes, run times and estimates */
  double burst_factor; /* factor on the arrival rate from second 4 to 8, 1 none */
  int burst_queue;     /* index of the queue with the burst, -1 all */
  double slow_factor;  /* factor on the run times of two workers from second 5 to 12, 1 none */
  uint32_t workers;    /* 0: 11; the arrival rate grows with them */
  uint32_t entries;    /* 0: 4 */
  uint32_t task_cpu;   /* of each task, thousandths of a core, 0: 6200; the rate falls with it */
  MdTime length;       /* of the arrivals, 0: 14 s */
  double hot_share;    /* additional share of the jobs that a sixth of the entries receives */
} MdModelPattern;

/* md_model_generate_workload: generate a workload, the same for the same pattern. Fails with
   MD_E_MEMORY. The caller clears the workload also after a failure. */
int md_model_generate_workload (MdModelWorkload *workload, const MdModelPattern *pattern,
                                MdError *error);

/* md_model_read_workload: read a workload from the logs of entries and guards, in any order.
   What the logs do not contain is drawn at random from the seed. Fails with MD_E_INVALID if
   they contain no jobs or no workers, or with MD_E_MEMORY. The caller clears the workload
   also after a failure. */
int md_model_read_workload (MdModelWorkload *workload, MdStr logs, uint64_t seed, MdError *error);

/* ------------------------------------------------------------------ */
/* Simulations                                                        */

typedef enum
{
  MD_MODEL_ENTRIES,   /* the entries of the workload, with reports that are a message old */
  MD_MODEL_ONE_QUEUE, /* one entry that knows the current state of every worker */
  MD_MODEL_BASELINE,  /* the less busy of two random workers, in order of arrival, no rejection */
  MD_MODEL_RECORDED,  /* no simulation, the answers as recorded */
  MD_MODEL_POLICIES
} MdModelPolicy;

/* md_model_policy_name: the name of the policy in results. */
const char *md_model_policy_name (MdModelPolicy policy);

#define MD_MODEL_MAX_SECONDS 3600 /* of a workload, in the figures by second */

/* The answer to a job. */
typedef enum
{
  MD_MODEL_UNANSWERED, /* answered too late to be worth anything, or never */
  MD_MODEL_IN_GOAL,    /* completed within its goal */
  MD_MODEL_LATE,       /* completed after the goal, for part of its worth */
  MD_MODEL_REJECTED,   /* no task ran */
} MdModelAnswer;

/* The jobs of each queue are worth 1 in total if all meet their goals. */
typedef struct
{
  MdModelPolicy policy;
  double worth;            /* worth of the answers, as a share of the worth of all jobs */
  uint32_t in_goal;        /* jobs completed within their goal */
  uint32_t late;           /* jobs completed after the goal, for part of their worth */
  uint32_t rejected;       /* jobs of which no task ran */
  uint32_t unanswered;     /* jobs answered too late to be worth anything, or never */
  double response_p50;     /* response time over goal of the completed jobs, median */
  double response_p99;     /* the same, 99th percentile */
  uint64_t starts;         /* runs started */
  uint64_t wasted;         /* runs started too late to be worth anything, or lost */
  uint64_t messages;       /* one for each order and each end of a run */
  MdModelAnswer *answers;  /* of each job, owned */
  uint32_t seconds;        /* elements of the next two */
  double *worth_by_second; /* worth of the answers by second of arrival, owned */
  double *owed_by_second;  /* worth of all jobs by second of arrival, owned */
} MdModelResult;

/* md_model_result_clear: free what the result owns and zero it. */
void md_model_result_clear (MdModelResult *result);
#define MD_AUTO_RESULT __attribute__ ((cleanup (md_model_result_clear))) MdModelResult

/* md_model_simulate: simulate a workload with a policy; the same ones always give the same
   result. Fails with MD_E_MEMORY, or with MD_E_INVALID for MD_MODEL_RECORDED and a generated
   workload. The caller clears the result also after a failure. */
int md_model_simulate (const MdModelWorkload *workload, MdModelPolicy policy, MdModelResult *result,
                       MdError *error);

/* ------------------------------------------------------------------ */
/* Plot                                                               */

/* md_model_plot: append an SVG image to out: worth of the answers as a share of the worth of all
   jobs, by second of arrival, with one line for each of n results. */
void md_model_plot (MdBuf *out, const MdModelResult *results, uint32_t n);

#endif
