/* day-made.c -- workloads made from a seed, and what all workloads share */

#include "model.h"

#include <math.h>

#define WORKERS 11
#define ENTRIES 4
#define LENGTH (14 * MD_SECOND)    /* arrivals */
#define BURST_FROM (4 * MD_SECOND) /* of arrivals */
#define BURST_TO (8 * MD_SECOND)   /* of arrivals */
#define SLOW_FROM (5 * MD_SECOND)  /* of two workers */
#define SLOW_TO (12 * MD_SECOND)   /* of two workers */
#define SLOW_WORKERS 2
#define STEP (1 * MD_MS)                /* at most one job of a queue arrives in it */
#define ESTIMATE_SIGMA 0.4              /* by which estimates are off */
#define TASK_SIGMA 0.15                 /* by which tasks of a job differ */
#define RESPONSE_TIMEOUT (1500 * MD_MS) /* of callers */
#define TASK_RESOURCES                                                                             \
  {                                                                                                \
    6200, 64, 0                                                                                    \
  } /* a tenth of a worker */

typedef struct
{
  const char *name;
  double rate;   /* jobs a second */
  double tasks;  /* mean */
  MdTime work;   /* mean, at speed 1 */
  unsigned most; /* tasks */
} MadeQueue;

static const MadeQueue made_queues[] = {
  { "short", 34, 8, 60 * MD_MS, 32 },
  { "long", 6, 4, 900 * MD_MS, 16 },
  { "middle", 100, 2, 200 * MD_MS, 8 },
};

#define QUEUES MD_ARRAY_SIZE (made_queues)

void
md_model_workload_clear (MdModelWorkload *workload)
{
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    free (workload->jobs[i].work);
  free (workload->jobs);
  free (workload->queues);
  free (workload->capacities);
  free (workload->changes);
  memset (workload, 0, sizeof *workload);
}

/* splitmix64; a seed of 0 is as good as any. */
MdModelRandom
md_model_random (uint64_t seed)
{
  return (MdModelRandom){ seed };
}

double
md_model_uniform (MdModelRandom *random)
{
  uint64_t z = random->state += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  z ^= z >> 31;
  return (double)(z >> 11) / 9007199254740992.0;
}

double
md_model_log_normal (MdModelRandom *random, double sigma)
{
  double radius = sqrt (-2 * log (md_model_uniform (random) + 1e-12));

  return exp (sigma * radius * cos (2 * M_PI * md_model_uniform (random)));
}

static int
make_workers (MdModelWorkload *workload, const MdModelPattern *pattern)
{
  static const double speeds[] = { 1.43, 1.43, 0.59 };
  static const double sizes[] = { 1, 1, 1.5 };

  workload->capacities = calloc (WORKERS, sizeof *workload->capacities);
  workload->changes = calloc (WORKERS + 2 * SLOW_WORKERS, sizeof *workload->changes);
  if (workload->capacities == NULL || workload->changes == NULL)
    return MD_E_MEMORY;
  workload->n_workers = WORKERS;
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      workload->capacities[i] = (MdResources){ (uint32_t)(64000 * sizes[i / 3 % 3]), 262144, 0 };
      workload->changes[workload->n_changes++] = (MdModelChange){ 0, i, speeds[i % 3] };
    }
  for (uint32_t i = 0; i < SLOW_WORKERS && pattern->slow_factor > 1; i++)
    workload->changes[workload->n_changes++]
        = (MdModelChange){ SLOW_FROM, i, speeds[i % 3] / pattern->slow_factor };
  for (uint32_t i = 0; i < SLOW_WORKERS && pattern->slow_factor > 1; i++)
    workload->changes[workload->n_changes++] = (MdModelChange){ SLOW_TO, i, speeds[i % 3] };
  return MD_OK;
}

static int
make_queues (MdModelWorkload *workload)
{
  workload->queues = calloc (QUEUES, sizeof *workload->queues);
  if (workload->queues == NULL)
    return MD_E_MEMORY;
  workload->n_queues = QUEUES;
  for (uint32_t q = 0; q < QUEUES; q++)
    {
      md_str_copy (workload->queues[q].name, sizeof workload->queues[q].name,
                   md_str (made_queues[q].name));
      workload->queues[q].slack_factor = 1.6;
      workload->queues[q].target_latency = 60 * MD_MS;
      workload->queues[q].mean_work = (double)made_queues[q].work;
    }
  return MD_OK;
}

static int
make_job (MdModelWorkload *workload, uint32_t q, MdTime at, MdModelRandom *random)
{
  const MadeQueue *queue = &made_queues[q];
  double count = fmax (1, queue->tasks * md_model_log_normal (random, ESTIMATE_SIGMA));
  double work = (double)queue->work * fmin (4, md_model_log_normal (random, ESTIMATE_SIGMA));
  MdModelJob *grown = realloc (workload->jobs, (workload->n_jobs + 1) * sizeof *grown);
  MdModelJob *job;

  if (grown == NULL)
    return MD_E_MEMORY;
  workload->jobs = grown;
  job = &workload->jobs[workload->n_jobs];
  *job = (MdModelJob){
    .arrival = at, .queue = q, .resources = TASK_RESOURCES, .response_timeout = RESPONSE_TIMEOUT
  };
  job->n_tasks = (uint32_t)fmin (queue->most, count);
  job->declared_time = (MdTime)(work * md_model_log_normal (random, ESTIMATE_SIGMA));
  job->entry = (uint32_t)(md_model_uniform (random) * ENTRIES) % ENTRIES;
  job->work = calloc (job->n_tasks, sizeof *job->work);
  if (job->work == NULL)
    return MD_E_MEMORY;
  workload->n_jobs++;
  for (uint32_t k = 0; k < job->n_tasks; k++)
    job->work[k] = (MdTime)(work * md_model_log_normal (random, TASK_SIGMA));
  return MD_OK;
}

static double
rate_at (const MdModelPattern *pattern, uint32_t q, MdTime at)
{
  bool burst = at >= BURST_FROM && at < BURST_TO
               && (pattern->burst_queue < 0 || (uint32_t)pattern->burst_queue == q);

  return made_queues[q].rate * (burst ? pattern->burst_factor : 1);
}

int
md_model_generate_workload (MdModelWorkload *workload, const MdModelPattern *pattern,
                            MdError *error)
{
  MdModelRandom random = md_model_random (pattern->seed);
  int rc;

  memset (workload, 0, sizeof *workload);
  workload->n_entries = ENTRIES;
  workload->length = LENGTH;
  rc = make_workers (workload, pattern);
  if (rc == MD_OK)
    rc = make_queues (workload);
  for (MdTime at = 0; rc == MD_OK && at < LENGTH; at += STEP)
    for (uint32_t q = 0; rc == MD_OK && q < QUEUES; q++)
      if (md_model_uniform (&random) < rate_at (pattern, q, at) * (double)STEP / (double)MD_SECOND)
        rc = make_job (workload, q, at, &random);
  if (rc != MD_OK)
    return md_error_set (error, rc, "model", "", "out of memory");
  return MD_OK;
}
