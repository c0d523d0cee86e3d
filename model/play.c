/* play.c -- simulation of a workload with a policy

   The simulation advances in ticks and calls the decisions of sched/ as entries and guards
   do. Entries see reports that are a message old and account for the runs that they have
   ordered since then. Runs wait in the queue of their guard. A worker that goes down loses
   its runs, which are ordered again once its lease and the entry's have certainly expired.
   Not simulated: moving waiting runs to other guards, abandoning runs at stalled workers,
   and callers that retry after a rejection. */

#include "leases.h"
#include "model.h"
#include "priority.h"

#include <math.h>

#define TICK (1 * MD_MS)            /* of the simulated clock */
#define ONE_WAY_DELAY (2 * MD_MS)   /* between entry and guard */
#define REPORT_INTERVAL_TICKS 4     /* from a guard to an entry, unless the workload says so */
#define DRAIN_TIME (4 * MD_SECOND)  /* after the last arrival, so that runs can end */
#define RESEND_AFTER (1300 * MD_MS) /* default time after which callers repeat a job */
#define STOP_TIMEOUT (50 * MD_MS)   /* of a worker */
#define LATE_WORTH 0.2 /* share of the worth of an answer after the goal, by the users' rules */
#define FIXED_WORTH_SHARE 0.3    /* of the worth of a queue: the same for each of its jobs */
#define BASELINE_SLACK MD_SECOND /* the same for all runs, so that they start in order of arrival */
#define REMOTE_FACTOR 1.5        /* has no effect: no job of a workload has an affinity */

typedef struct SimTask SimTask;

struct SimTask
{
  MdRun run;     /* must be the first member: MdRun pointers are cast to SimTask */
  SimTask *next; /* in in_transit of a guard or in retries of the simulation */
  uint32_t job;
  uint32_t index; /* of the task in its job */
  uint32_t worker;
  uint32_t entry;
  MdTime ordered_at; /* when it was ordered; in retries: when it can be ordered again */
  MdTime ends_at;    /* 0 not started */
};

typedef struct
{
  MdRunQueue queue;
  double speed;        /* true speed, 0 down */
  SimTask *in_transit; /* ordered, not arrived yet; owned */
} SimGuard;

typedef struct
{
  MdWorker *workers;                /* its view of each worker, owned */
  MdWorker **pointers;              /* to each of workers, owned */
  bool *chosen;                     /* for each worker: its guard reports each change, owned */
  MdTime *followed_until;           /* for each worker: the same because it was asked to, owned */
  MdWorkers view;                   /* refers to pointers */
  MdDemand *demands;                /* of each queue, owned */
  const MdDemand **demand_pointers; /* to each of demands, owned */
  MdAdmitted *admitted;             /* of each queue, owned */
  MdQueueLoad *loads;               /* of each queue, refer to demands and admitted, owned */
  MdPressure pressure;
} SimEntry;

typedef struct
{
  uint32_t remaining; /* tasks that have not ended */
  MdTime answered;    /* when the entry learns of the last end, 0 not yet */
  bool rejected;
  bool floor; /* counts as of the first priority */
} SimJob;

typedef struct
{
  const MdModelWorkload *workload;
  MdModelPolicy policy;
  MdModelResult *result; /* counted up, not owned */
  MdTime one_way_delay;
  MdTime now;
  MdModelRandom random; /* of the baseline policy */
  SimGuard *guards;
  SimEntry *entries;
  uint32_t n_entries;
  SimJob *jobs;
  SimTask *retries; /* runs to be ordered again, owned */
  uint32_t next_job;
  uint32_t next_change;
  MdLeases leases;
  MdSavedResources *saved_resources; /* scratch space for a forecast, one for each worker */
} Simulation;

const char *
md_model_policy_name (MdModelPolicy policy)
{
  static const char *const names[MD_MODEL_POLICIES]
      = { "entries", "one-queue", "baseline", "recorded" };

  return names[policy];
}

void
md_model_result_clear (MdModelResult *result)
{
  free (result->answers);
  free (result->worth_by_second);
  free (result->owed_by_second);
  memset (result, 0, sizeof *result);
}

/* ------------------------------------------------------------------ */
/* Worth                                                              */

/* The run time of a job's longest task, at speed 1: the tasks of a workload's job are one step. */
static MdTime
critical_path_of (const MdModelJob *job)
{
  MdTime longest = 0;

  for (uint32_t k = 0; k < job->n_tasks; k++)
    longest = job->work[k] > longest ? job->work[k] : longest;
  return longest;
}

static MdTime
goal_of (const MdModelWorkload *workload, const MdModelJob *job)
{
  const MdModelQueue *queue = &workload->queues[job->queue];

  return (MdTime)(queue->slack_factor * (double)critical_path_of (job)) + queue->target_latency;
}

static MdTime
limit_of (const MdModelWorkload *workload, const MdModelJob *job)
{
  MdTime limit = MD_LIMIT_GOAL_MULTIPLE * goal_of (workload, job);

  return limit < job->response_timeout ? limit : job->response_timeout;
}

static double
work_of (const MdModelJob *job)
{
  double work = 0;

  for (uint32_t k = 0; k < job->n_tasks; k++)
    work += (double)job->work[k] * job->resources.cpu;
  return work;
}

/* Returns the worth of each job, NULL if out of memory. The jobs of each queue are worth 1 in
   total: FIXED_WORTH_SHARE in equal parts, the rest in proportion to their work. */
static double *
compute_worths (const MdModelWorkload *workload)
{
  double *worths = calloc (workload->n_jobs + 1, sizeof *worths);
  double *work = calloc (workload->n_queues + 1, sizeof *work);
  uint32_t *jobs = calloc (workload->n_queues + 1, sizeof *jobs);

  if (worths != NULL && work != NULL && jobs != NULL)
    {
      for (uint32_t i = 0; i < workload->n_jobs; i++)
        {
          work[workload->jobs[i].queue] += work_of (&workload->jobs[i]);
          jobs[workload->jobs[i].queue]++;
        }
      for (uint32_t i = 0; i < workload->n_jobs; i++)
        {
          uint32_t q = workload->jobs[i].queue;

          worths[i] = FIXED_WORTH_SHARE / jobs[q];
          if (work[q] > 0)
            worths[i] += (1 - FIXED_WORTH_SHARE) * work_of (&workload->jobs[i]) / work[q];
        }
    }
  else
    {
      free (worths);
      worths = NULL;
    }
  free (work);
  free (jobs);
  return worths;
}

static int
compare_doubles (const void *a, const void *b)
{
  const double *x = a;
  const double *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the worth of the answer to job i, 0 to 1, and counts it in result. response is the time
   from the job's arrival, 0 if there was no answer. */
static double
score_answer (const MdModelWorkload *workload, uint32_t i, MdTime response, MdModelResult *result)
{
  const MdModelJob *job = &workload->jobs[i];

  if (response == 0 || response > limit_of (workload, job))
    {
      result->unanswered++;
      return 0;
    }
  if (response <= goal_of (workload, job))
    {
      result->in_goal++;
      result->answers[i] = MD_MODEL_IN_GOAL;
      return 1;
    }
  result->late++;
  result->answers[i] = MD_MODEL_LATE;
  return LATE_WORTH;
}

static int
compute_result (const MdModelWorkload *workload, const SimJob *jobs, MdModelResult *result)
{
  md_autofree double *worths = compute_worths (workload);
  md_autofree double *ratios = calloc (workload->n_jobs + 1, sizeof *ratios);
  double owed = 0;
  double earned = 0;
  uint32_t n = 0;

  result->seconds = (uint32_t)(workload->length / MD_SECOND) + 1;
  if (result->seconds > MD_MODEL_MAX_SECONDS)
    result->seconds = MD_MODEL_MAX_SECONDS;
  result->answers = calloc (workload->n_jobs + 1, sizeof *result->answers);
  result->worth_by_second = calloc (result->seconds, sizeof *result->worth_by_second);
  result->owed_by_second = calloc (result->seconds, sizeof *result->owed_by_second);
  if (worths == NULL || ratios == NULL || result->answers == NULL || result->worth_by_second == NULL
      || result->owed_by_second == NULL)
    return MD_E_MEMORY;
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      const MdModelJob *job = &workload->jobs[i];
      MdTime response = jobs != NULL ? jobs[i].answered : job->completed ? job->response_time : 0;
      uint32_t second = (uint32_t)(job->arrival / MD_SECOND);
      double worth = 0;

      if (jobs != NULL && response > 0)
        response -= job->arrival;
      if (jobs != NULL ? jobs[i].rejected : job->rejected)
        {
          result->rejected++;
          result->answers[i] = MD_MODEL_REJECTED;
        }
      else
        worth = worths[i] * score_answer (workload, i, response, result);
      if (response > 0)
        ratios[n++] = (double)response / (double)goal_of (workload, job);
      owed += worths[i];
      earned += worth;
      if (second < result->seconds)
        {
          result->worth_by_second[second] += worth;
          result->owed_by_second[second] += worths[i];
        }
    }
  result->worth = owed > 0 ? earned / owed : 0;
  qsort (ratios, n, sizeof *ratios, compare_doubles);
  if (n > 0)
    {
      result->response_p50 = ratios[n / 2];
      result->response_p99 = ratios[(uint32_t)((double)n * 0.99)];
    }
  return MD_OK;
}

/* ------------------------------------------------------------------ */
/* Guards                                                             */

static void
schedule_retry (Simulation *sim, SimTask *task)
{
  task->ordered_at = sim->now + sim->leases.ended_after;
  task->next = sim->retries;
  sim->retries = task;
}

/* Removes a run from the guard's queue; NULL if it has none. */
static SimTask *
remove_first_run (Simulation *sim, SimGuard *guard)
{
  MdRun *run = guard->queue.running.first != NULL ? guard->queue.running.first
                                                  : guard->queue.waiting.first;

  if (run != NULL)
    md_runqueue_remove (&guard->queue, run, sim->now);
  return (SimTask *)run;
}

/* The worker goes down: all runs at the guard are lost. */
static void
lose_runs (Simulation *sim, SimGuard *guard)
{
  for (SimTask *task; (task = remove_first_run (sim, guard)) != NULL;)
    {
      sim->result->wasted += task->ends_at > 0;
      schedule_retry (sim, task);
    }
}

static void
apply_changes (Simulation *sim)
{
  const MdModelWorkload *workload = sim->workload;

  while (sim->next_change < workload->n_changes
         && workload->changes[sim->next_change].at <= sim->now)
    {
      const MdModelChange *change = &workload->changes[sim->next_change++];
      SimGuard *guard = &sim->guards[change->worker];

      if (change->speed <= 0 && guard->speed > 0)
        lose_runs (sim, guard);
      guard->speed = change->speed;
    }
}

static void
start_runs (Simulation *sim, SimGuard *guard)
{
  for (MdRun *run; guard->speed > 0 && (run = md_runqueue_next (&guard->queue, sim->now)) != NULL;)
    {
      SimTask *task = (SimTask *)run;
      const MdModelJob *job = &sim->workload->jobs[task->job];

      sim->result->starts++;
      sim->result->wasted += sim->now > job->arrival + limit_of (sim->workload, job);
      task->ends_at = sim->now + (MdTime)((double)job->work[task->index] / guard->speed);
    }
}

static void
end_run (Simulation *sim, SimGuard *guard, SimTask *task)
{
  SimJob *job = &sim->jobs[task->job];

  md_runqueue_update_speed (&guard->queue, &task->run, sim->now - task->run.started_at, sim->now);
  md_runqueue_remove (&guard->queue, &task->run, sim->now);
  sim->result->messages++;
  if (--job->remaining == 0)
    job->answered = sim->now + sim->one_way_delay;
  free (task);
}

static void
step_guard (Simulation *sim, SimGuard *guard)
{
  for (SimTask **place = &guard->in_transit; *place != NULL;)
    {
      SimTask *task = *place;

      if (task->ordered_at + sim->one_way_delay > sim->now)
        {
          place = &task->next;
          continue;
        }
      *place = task->next;
      task->ends_at = 0;
      if (guard->speed > 0)
        md_runqueue_add (&guard->queue, &task->run, sim->now);
      else
        schedule_retry (sim, task);
    }
  for (MdRun *run = guard->queue.running.first, *next; run != NULL; run = next)
    {
      next = run->next;
      if (((SimTask *)run)->ends_at <= sim->now)
        end_run (sim, guard, (SimTask *)run);
    }
  start_runs (sim, guard);
}

/* Whether the guard reports each change to the entry. */
static bool
is_full (const Simulation *sim, uint32_t i, uint32_t e)
{
  return sim->entries[e].chosen[i] || sim->entries[e].followed_until[i] > sim->now;
}

/* Updates an entry's view of a worker and reserves the entry's runs in transit there. */
static void
report_to_entry (Simulation *sim, uint32_t i, uint32_t e)
{
  SimGuard *guard = &sim->guards[i];
  MdWorker *worker = &sim->entries[e].workers[i];

  worker->connected = guard->speed > 0;
  worker->free = guard->queue.free;
  worker->wait = md_runqueue_expected_wait (&guard->queue, sim->now);
  worker->next_end = md_runqueue_next_end (&guard->queue, sim->now);
  worker->speed = md_runqueue_speed (&guard->queue, sim->now);
  worker->stalled = md_runqueue_stalled (&guard->queue, sim->now);
  worker->reported_at = worker->pressure_at = sim->now;
  worker->pressure = md_pressure_of_queue (&guard->queue, sim->now);
  worker->sparse = !is_full (sim, i, e);
  worker->follow_requested = false;
  for (const SimTask *task = guard->in_transit; task != NULL; task = task->next)
    if (task->entry == e)
      md_worker_reserve (worker, task->run.resources, (MdTime)(task->run.work / worker->speed));
}

static void
report_all (Simulation *sim)
{
  uint32_t interval = sim->workload->report_interval > 0
                          ? (uint32_t)(sim->workload->report_interval / TICK)
                          : REPORT_INTERVAL_TICKS;

  for (uint32_t i = 0; i < sim->workload->n_workers; i++)
    for (uint32_t e = 0; e < sim->n_entries; e++)
      if ((sim->one_way_delay == 0 || sim->now / TICK % interval == (i + e) % interval)
          && (is_full (sim, i, e) || !sim->entries[e].workers[i].sparse))
        report_to_entry (sim, i, e);
}

/* ------------------------------------------------------------------ */
/* Entries                                                            */

static MdPlacement
place_at_random (Simulation *sim, SimEntry *entry, const MdTaskRequirements *need)
{
  uint32_t n = sim->workload->n_workers;
  MdWorker *a = &entry->workers[(uint32_t)(md_model_uniform (&sim->random) * n) % n];
  MdWorker *b = &entry->workers[(uint32_t)(md_model_uniform (&sim->random) * n) % n];
  MdWorker *worker = a->free.cpu >= b->free.cpu ? a : b;

  return (MdPlacement){ worker, 0, (MdTime)(need->work / worker->speed) };
}

/* An entry learns to correct declared times from the runs of the queue. This is modelled by the
   geometric mean of the declared time and the queue's mean, which halves the logarithm. */
static MdTaskRequirements
need_of (const Simulation *sim, const MdModelJob *job)
{
  const MdModelQueue *queue = &sim->workload->queues[job->queue];
  MdTaskRequirements need = { .resources = job->resources };
  MdTime past = sim->now - job->arrival;

  need.work = sqrt ((double)job->declared_time * queue->mean_work);
  need.goal = (MdTime)(queue->slack_factor * need.work) + queue->target_latency;
  need.limit = MD_LIMIT_GOAL_MULTIPLE * need.goal < job->response_timeout
                   ? MD_LIMIT_GOAL_MULTIPLE * need.goal
                   : job->response_timeout;
  need.goal -= past;
  need.limit -= past;
  return need;
}

static bool
send_task (Simulation *sim, uint32_t job, uint32_t index, uint32_t e,
           const MdTaskRequirements *need, SimTask *task)
{
  SimEntry *entry = &sim->entries[e];
  MdPlacement place = sim->policy == MD_MODEL_BASELINE
                          ? place_at_random (sim, entry, need)
                          : md_place (&entry->view, need, NULL, NULL, sim->now);
  uint32_t i;

  if (place.worker == NULL)
    return false;
  i = (uint32_t)(place.worker - entry->workers);
  md_worker_reserve (place.worker, need->resources, place.run_time);
  memset (task, 0, sizeof *task);
  task->run.resources = need->resources;
  task->run.work = need->work;
  task->run.job = job;
  task->run.priority
      = sim->jobs[job].floor ? 0 : sim->workload->queues[sim->workload->jobs[job].queue].priority;
  task->run.start_by
      = sim->now
        + (sim->policy == MD_MODEL_BASELINE ? BASELINE_SLACK : need->goal - place.run_time);
  task->job = job;
  task->index = index;
  task->worker = i;
  task->entry = e;
  task->ordered_at = sim->now;
  task->next = sim->guards[i].in_transit;
  sim->guards[i].in_transit = task;
  sim->result->messages++;
  return true;
}

static bool
forecast_admits (Simulation *sim, SimEntry *entry, uint32_t index, const MdTaskRequirements *need)
{
  const MdModelJob *job = &sim->workload->jobs[index];
  MdForecast forecast = { .goal = need->goal, .limit = need->limit };
  MdPriorityBound bound;

  forecast.demand = md_demand_ratio (entry->demand_pointers, sim->workload->n_queues,
                                     &entry->demands[job->queue], sim->now);
  md_pressure_update (&entry->pressure, &entry->view, sim->now);
  bound = md_priority_bound (entry->loads, sim->workload->n_queues, job->queue, forecast.demand,
                             md_pressure_now (&entry->pressure, sim->now), sim->now);
  sim->jobs[index].floor = bound.floor;
  forecast.bound = bound.wait_bound;
  forecast.wait = md_place_backlog (&entry->view, need, sim->now);
  return md_place_try (&entry->view, need, job->n_tasks, NULL, sim->saved_resources,
                       &forecast.finish, sim->now)
         && md_admit_run (&forecast) != MD_ADMIT_REJECT;
}

/* Has further guards report each change to an entry; returns their number. Their first reports
   are taken as received at once. */
static uint32_t
widen (Simulation *sim, uint32_t e, const MdTaskRequirements *need)
{
  SimEntry *entry = &sim->entries[e];
  uint32_t followed = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < sim->workload->n_workers; i++)
    followed += entry->followed_until[i] > sim->now;
  while (n < MD_WIDEN_STEP && followed + n < MD_MAX_FOLLOWED)
    {
      MdWorker *worker = md_coverage_widen (&entry->view, need, false);

      if (worker == NULL)
        break;
      entry->followed_until[worker - entry->workers] = sim->now + MD_FOLLOW_TIME;
      report_to_entry (sim, (uint32_t)(worker - entry->workers), e);
      n++;
    }
  return n;
}

static bool
admit (Simulation *sim, uint32_t e, uint32_t index, const MdTaskRequirements *need)
{
  SimEntry *entry = &sim->entries[e];
  const MdModelJob *job = &sim->workload->jobs[index];
  double work = need->work * job->n_tasks * job->resources.cpu / 1000.0;

  md_demand_add (&entry->demands[job->queue], work, sim->now);
  if (!forecast_admits (sim, entry, index, need)
      && (widen (sim, e, need) == 0 || !forecast_admits (sim, entry, index, need)))
    return false;
  md_admitted_add (&entry->admitted[job->queue], work, sim->now);
  return true;
}

static int
submit_job (Simulation *sim, uint32_t index)
{
  const MdModelJob *job = &sim->workload->jobs[index];
  uint32_t e = job->entry % sim->n_entries;
  MdTaskRequirements need = need_of (sim, job);

  if (sim->policy != MD_MODEL_BASELINE && !admit (sim, e, index, &need))
    {
      sim->jobs[index].rejected = true;
      return MD_OK;
    }
  sim->jobs[index].remaining = job->n_tasks;
  for (uint32_t k = 0; k < job->n_tasks; k++)
    {
      SimTask *task = calloc (1, sizeof *task);

      if (task == NULL)
        return MD_E_MEMORY;
      if (!send_task (sim, index, k, e, &need, task))
        {
          task->job = index;
          task->index = k;
          task->entry = e;
          schedule_retry (sim, task);
        }
    }
  return MD_OK;
}

/* Orders runs that were lost or found no worker again, as long as an answer to their job is worth
   anything. */
static void
retry_runs (Simulation *sim)
{
  for (SimTask **place = &sim->retries; *place != NULL;)
    {
      SimTask *task = *place;
      const MdModelJob *job = &sim->workload->jobs[task->job];
      MdTaskRequirements need = need_of (sim, job);

      if (task->ordered_at > sim->now)
        {
          place = &task->next;
          continue;
        }
      *place = task->next;
      if (sim->now > job->arrival + limit_of (sim->workload, job)
          || !send_task (sim, task->job, task->index, task->entry, &need, task))
        free (task);
    }
}

/* ------------------------------------------------------------------ */
/* Simulation                                                         */

static void
free_list (SimTask *task)
{
  while (task != NULL)
    {
      SimTask *next = task->next;

      free (task);
      task = next;
    }
}

static void
simulation_clear (Simulation *sim)
{
  for (uint32_t i = 0; sim->guards != NULL && i < sim->workload->n_workers; i++)
    {
      for (SimTask *task; (task = remove_first_run (sim, &sim->guards[i])) != NULL;)
        free (task);
      free_list (sim->guards[i].in_transit);
    }
  free_list (sim->retries);
  for (uint32_t e = 0; sim->entries != NULL && e < sim->n_entries; e++)
    {
      free (sim->entries[e].workers);
      free (sim->entries[e].pointers);
      free (sim->entries[e].chosen);
      free (sim->entries[e].followed_until);
      free (sim->entries[e].demands);
      free (sim->entries[e].demand_pointers);
      free (sim->entries[e].admitted);
      free (sim->entries[e].loads);
    }
  free (sim->guards);
  free (sim->entries);
  free (sim->jobs);
  free (sim->saved_resources);
}

static int
init_entry (Simulation *sim, uint32_t e)
{
  const MdModelWorkload *workload = sim->workload;
  SimEntry *entry = &sim->entries[e];

  entry->workers = calloc (workload->n_workers, sizeof *entry->workers);
  entry->pointers = calloc (workload->n_workers, sizeof *entry->pointers);
  entry->chosen = calloc (workload->n_workers, sizeof *entry->chosen);
  entry->followed_until = calloc (workload->n_workers, sizeof *entry->followed_until);
  entry->demands = calloc (workload->n_queues, sizeof *entry->demands);
  entry->demand_pointers = calloc (workload->n_queues, sizeof *entry->demand_pointers);
  entry->admitted = calloc (workload->n_queues, sizeof *entry->admitted);
  entry->loads = calloc (workload->n_queues, sizeof *entry->loads);
  if (entry->workers == NULL || entry->pointers == NULL || entry->chosen == NULL
      || entry->followed_until == NULL || entry->demands == NULL || entry->demand_pointers == NULL
      || entry->admitted == NULL || entry->loads == NULL)
    return MD_E_MEMORY;
  entry->view = (MdWorkers){ entry->pointers, workload->n_workers, REMOTE_FACTOR };
  for (uint32_t q = 0; q < workload->n_queues; q++)
    {
      entry->demand_pointers[q] = &entry->demands[q];
      entry->loads[q]
          = (MdQueueLoad){ &entry->demands[q], &entry->admitted[q], workload->queues[q].priority };
    }
  for (uint32_t i = 0; i < workload->n_workers; i++)
    {
      MdWorker *worker = &entry->workers[i];

      worker->state = MD_WORKER_READY;
      worker->capacity = worker->free = workload->capacities[i];
      worker->speed = 1;
      worker->bias = (MdTime)((i * 7 + e * 5) % 11) * MD_MS;
      entry->pointers[i] = worker;
    }
  return MD_OK;
}

/* Has each guard choose the entries to which it reports each change. */
static int
choose_entries (Simulation *sim)
{
  uint32_t n = sim->n_entries;
  uint32_t count = sim->workload->full_reports > 0 ? sim->workload->full_reports : n;
  md_autofree uint64_t *weights = calloc (n, sizeof *weights);
  md_autofree bool *chosen = calloc (n, sizeof *chosen);

  if (weights == NULL || chosen == NULL)
    return MD_E_MEMORY;
  for (uint32_t i = 0; i < sim->workload->n_workers; i++)
    {
      for (uint32_t e = 0; e < n; e++)
        weights[e] = md_coverage_weight (md_str_n ((const char *)&i, sizeof i),
                                         md_str_n ((const char *)&e, sizeof e));
      md_coverage_choose (weights, n, count, chosen);
      for (uint32_t e = 0; e < n; e++)
        {
          sim->entries[e].chosen[i] = chosen[e];
          sim->entries[e].workers[i].sparse = !chosen[e];
        }
    }
  return MD_OK;
}

static int
init_simulation (Simulation *sim)
{
  const MdModelWorkload *workload = sim->workload;
  int rc = MD_OK;

  md_leases_set (&sim->leases, RESEND_AFTER, STOP_TIMEOUT);
  sim->random = md_model_random (1);
  sim->n_entries = sim->policy == MD_MODEL_ONE_QUEUE ? 1 : workload->n_entries;
  sim->one_way_delay = sim->policy == MD_MODEL_ONE_QUEUE ? 0 : ONE_WAY_DELAY;
  sim->guards = calloc (workload->n_workers, sizeof *sim->guards);
  sim->entries = calloc (sim->n_entries, sizeof *sim->entries);
  sim->jobs = calloc (workload->n_jobs, sizeof *sim->jobs);
  sim->saved_resources = calloc (workload->n_workers, sizeof *sim->saved_resources);
  if (sim->guards == NULL || sim->entries == NULL || sim->jobs == NULL
      || sim->saved_resources == NULL)
    return MD_E_MEMORY;
  for (uint32_t i = 0; i < workload->n_workers; i++)
    {
      sim->guards[i].queue.accepting = true;
      md_runqueue_set_capacity (&sim->guards[i].queue, workload->capacities[i]);
    }
  for (uint32_t e = 0; e < sim->n_entries && rc == MD_OK; e++)
    rc = init_entry (sim, e);
  return rc == MD_OK ? choose_entries (sim) : rc;
}

static int
run_simulation (Simulation *sim)
{
  const MdModelWorkload *workload = sim->workload;
  int rc = MD_OK;

  for (sim->now = 0; rc == MD_OK && sim->now < workload->length + DRAIN_TIME; sim->now += TICK)
    {
      apply_changes (sim);
      for (uint32_t i = 0; i < workload->n_workers; i++)
        step_guard (sim, &sim->guards[i]);
      report_all (sim);
      retry_runs (sim);
      while (rc == MD_OK && sim->next_job < workload->n_jobs
             && workload->jobs[sim->next_job].arrival <= sim->now)
        rc = submit_job (sim, sim->next_job++);
    }
  return rc;
}

int
md_model_simulate (const MdModelWorkload *workload, MdModelPolicy policy, MdModelResult *result,
                   MdError *error)
{
  Simulation sim = { .workload = workload, .policy = policy, .result = result };
  int rc = MD_OK;

  memset (result, 0, sizeof *result);
  result->policy = policy;
  if (policy == MD_MODEL_RECORDED && !workload->recorded)
    return md_error_set (error, MD_E_INVALID, "model", "",
                         "a generated workload has no recorded answers");
  if (policy != MD_MODEL_RECORDED)
    {
      rc = init_simulation (&sim);
      if (rc == MD_OK)
        rc = run_simulation (&sim);
    }
  if (rc == MD_OK)
    rc = compute_result (workload, sim.jobs, result);
  simulation_clear (&sim);
  if (rc != MD_OK)
    return md_error_set (error, rc, "model", "", "out of memory");
  return MD_OK;
}
