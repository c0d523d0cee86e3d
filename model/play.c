/* play.c -- a workload played with a policy

   Load pattern: whatever the workload holds. Entries see reports that are a message old and
   reckon with what they have sent themselves; runs wait in the queue of their guard;
   a worker that goes down loses its runs, which are ordered again once its lease and
   the entry's have surely ended. Moves of waiting runs and runs that are given up at
   stalled workers are left out, and so are callers that come back after a rejection. */

#include "leases.h"
#include "model.h"

#include <math.h>

#define STEP (1 * MD_MS)            /* of the model's clock */
#define HOP (2 * MD_MS)             /* one way between entry and guard */
#define REPORT_EVERY 4              /* steps between reports of a guard to an entry */
#define DRAIN (4 * MD_SECOND)       /* after the last arrival, for runs to end */
#define RESEND_AFTER (1300 * MD_MS) /* the usual time after which callers repeat a job */
#define STOP_TIMEOUT (50 * MD_MS)   /* of a worker */
#define LATE_SHARE 0.2              /* worth of a late answer, by the users' rules */
#define BASE_SHARE 0.3              /* of a job's worth that does not depend on its work */
#define BASELINE_SLACK MD_SECOND    /* the same for all runs: order of arrival */
#define REMOTE_FACTOR 1.5           /* not used: no job of a workload has a place */

typedef struct PlayTask PlayTask;

struct PlayTask
{
  MdRun run; /* first */
  PlayTask *next;
  uint32_t job;
  uint32_t index; /* of the job */
  uint32_t worker;
  uint32_t entry;
  MdTime sent; /* or when it is ordered again */
  MdTime ends;
};

typedef struct
{
  MdRunQueue queue;
  double speed; /* true, 0 down */
  PlayTask *coming;
} PlayGuard;

typedef struct
{
  MdWorker *workers; /* as seen, one for each guard */
  MdWorker **list;
  MdWorkers all;
  MdDemand *demands;
  const MdDemand **demand_list;
} PlayEntry;

typedef struct
{
  uint32_t left;   /* tasks without an end */
  MdTime answered; /* end of the last one with the way back, 0 none yet */
  bool rejected;
} PlayJob;

typedef struct
{
  const MdModelWorkload *workload;
  MdModelPolicy policy;
  MdModelResult *result;
  MdTime hop;
  MdTime now;
  MdModelRandom random; /* of the baseline */
  PlayGuard *guards;
  PlayEntry *entries;
  uint32_t n_entries;
  PlayJob *jobs;
  PlayTask *again; /* lost, waiting to be ordered again */
  uint32_t next_job;
  uint32_t next_change;
  MdLeases leases;
  MdSavedResources *saved_resources; /* of one entry's workers, for a forecast */
} Play;

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
  free (result->worth_by_second);
  free (result->owed_by_second);
  memset (result, 0, sizeof *result);
}

/* ------------------------------------------------------------------ */
/* Worth                                                              */

/* The longest task decides a job. */
static MdTime
critical_path_of (const MdModelJob *job)
{
  MdTime longest = 0;

  for (uint32_t k = 0; k < job->n_tasks; k++)
    longest = job->work[k] > longest ? job->work[k] : longest;
  return longest;
}

static MdTime
objective_of (const MdModelWorkload *workload, const MdModelJob *job)
{
  const MdModelQueue *queue = &workload->queues[job->queue];

  return (MdTime)(queue->slack_factor * (double)critical_path_of (job)) + queue->target_latency;
}

static MdTime
limit_of (const MdModelWorkload *workload, const MdModelJob *job)
{
  MdTime limit = MD_LIMIT_GOAL_MULTIPLE * objective_of (workload, job);

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

/* All jobs of a queue together are worth 1. */
static double *
worths_of (const MdModelWorkload *workload)
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

          worths[i] = BASE_SHARE / jobs[q];
          if (work[q] > 0)
            worths[i] += (1 - BASE_SHARE) * work_of (&workload->jobs[i]) / work[q];
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

/* What a job's answer was worth; response: from its arrival, 0 none. */
static double
judge (const MdModelWorkload *workload, const MdModelJob *job, MdTime response,
       MdModelResult *result)
{
  if (response == 0 || response > limit_of (workload, job))
    {
      result->unanswered++;
      return 0;
    }
  if (response <= objective_of (workload, job))
    {
      result->in_goal++;
      return 1;
    }
  result->late++;
  return LATE_SHARE;
}

static int
sum_up (const MdModelWorkload *workload, const PlayJob *jobs, MdModelResult *result)
{
  md_autofree double *worths = worths_of (workload);
  md_autofree double *ratios = calloc (workload->n_jobs + 1, sizeof *ratios);
  double owed = 0;
  double earned = 0;
  uint32_t n = 0;

  result->seconds = (uint32_t)(workload->length / MD_SECOND) + 1;
  if (result->seconds > MD_MODEL_MAX_SECONDS)
    result->seconds = MD_MODEL_MAX_SECONDS;
  result->worth_by_second = calloc (result->seconds, sizeof *result->worth_by_second);
  result->owed_by_second = calloc (result->seconds, sizeof *result->owed_by_second);
  if (worths == NULL || ratios == NULL || result->worth_by_second == NULL
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
        result->rejected++;
      else
        worth = worths[i] * judge (workload, job, response, result);
      if (response > 0)
        ratios[n++] = (double)response / (double)objective_of (workload, job);
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
list_again (Play *play, PlayTask *task)
{
  task->sent = play->now + play->leases.ended_after;
  task->next = play->again;
  play->again = task;
}

/* Takes a run out of the guard; NULL when it has none. */
static PlayTask *
take_run (Play *play, PlayGuard *guard)
{
  MdRun *run = guard->queue.running.first != NULL ? guard->queue.running.first
                                                  : guard->queue.waiting.first;

  if (run != NULL)
    md_runqueue_remove (&guard->queue, run, play->now);
  return (PlayTask *)run;
}

/* What runs or waits is lost. */
static void
fall_down (Play *play, PlayGuard *guard)
{
  for (PlayTask *task; (task = take_run (play, guard)) != NULL;)
    {
      play->result->wasted += task->ends > 0;
      list_again (play, task);
    }
}

static void
change_workers (Play *play)
{
  const MdModelWorkload *workload = play->workload;

  while (play->next_change < workload->n_changes
         && workload->changes[play->next_change].at <= play->now)
    {
      const MdModelChange *change = &workload->changes[play->next_change++];
      PlayGuard *guard = &play->guards[change->worker];

      if (change->speed <= 0 && guard->speed > 0)
        fall_down (play, guard);
      guard->speed = change->speed;
    }
}

static void
start_runs (Play *play, PlayGuard *guard)
{
  for (MdRun *run; guard->speed > 0 && (run = md_runqueue_next (&guard->queue, play->now)) != NULL;)
    {
      PlayTask *task = (PlayTask *)run;
      const MdModelJob *job = &play->workload->jobs[task->job];

      play->result->starts++;
      play->result->wasted += play->now > job->arrival + limit_of (play->workload, job);
      task->ends = play->now + (MdTime)((double)job->work[task->index] / guard->speed);
    }
}

static void
end_run (Play *play, PlayGuard *guard, PlayTask *task)
{
  PlayJob *job = &play->jobs[task->job];

  md_runqueue_update_speed (&guard->queue, &task->run, play->now - task->run.started_at, play->now);
  md_runqueue_remove (&guard->queue, &task->run, play->now);
  play->result->messages++;
  if (--job->left == 0)
    job->answered = play->now + play->hop;
  free (task);
}

static void
run_guard (Play *play, PlayGuard *guard)
{
  for (PlayTask **place = &guard->coming; *place != NULL;)
    {
      PlayTask *task = *place;

      if (task->sent + play->hop > play->now)
        {
          place = &task->next;
          continue;
        }
      *place = task->next;
      task->ends = 0;
      if (guard->speed > 0)
        md_runqueue_add (&guard->queue, &task->run, play->now);
      else
        list_again (play, task);
    }
  for (MdRun *run = guard->queue.running.first, *next; run != NULL; run = next)
    {
      next = run->next;
      if (((PlayTask *)run)->ends <= play->now)
        end_run (play, guard, (PlayTask *)run);
    }
  start_runs (play, guard);
}

/* What a guard reports, less what is on its way to it. */
static void
report (Play *play, uint32_t i, uint32_t e)
{
  PlayGuard *guard = &play->guards[i];
  MdWorker *worker = &play->entries[e].workers[i];

  worker->connected = guard->speed > 0;
  worker->free = guard->queue.free;
  worker->wait = md_runqueue_expected_wait (&guard->queue, play->now);
  worker->next_end = md_runqueue_next_end (&guard->queue, play->now);
  worker->speed = md_runqueue_speed (&guard->queue, play->now);
  worker->stalled = md_runqueue_stalled (&guard->queue, play->now);
  worker->reported_at = play->now;
  for (const PlayTask *task = guard->coming; task != NULL; task = task->next)
    if (task->entry == e)
      md_worker_reserve (worker, task->run.resources, (MdTime)(task->run.work / worker->speed));
}

static void
report_all (Play *play)
{
  for (uint32_t i = 0; i < play->workload->n_workers; i++)
    for (uint32_t e = 0; e < play->n_entries; e++)
      if (play->hop == 0 || play->now / STEP % REPORT_EVERY == (i + e) % REPORT_EVERY)
        report (play, i, e);
}

/* ------------------------------------------------------------------ */
/* Entries                                                            */

static MdPlacement
place_at_random (Play *play, PlayEntry *entry, const MdTaskRequirements *need)
{
  uint32_t n = play->workload->n_workers;
  MdWorker *a = &entry->workers[(uint32_t)(md_model_uniform (&play->random) * n) % n];
  MdWorker *b = &entry->workers[(uint32_t)(md_model_uniform (&play->random) * n) % n];
  MdWorker *worker = a->free.cpu >= b->free.cpu ? a : b;

  return (MdPlacement){ worker, 0, (MdTime)(need->work / worker->speed) };
}

/* Half of the error of an estimate is known to be error, as an entry learns it from the
   queue. */
static MdTaskRequirements
need_of (const Play *play, const MdModelJob *job)
{
  const MdModelQueue *queue = &play->workload->queues[job->queue];
  MdTaskRequirements need
      = { .pool = "", .required_label = "", .affinity = "", .resources = job->resources };
  MdTime past = play->now - job->arrival;

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
send_task (Play *play, uint32_t job, uint32_t index, uint32_t e, const MdTaskRequirements *need,
           PlayTask *task)
{
  PlayEntry *entry = &play->entries[e];
  MdPlacement place = play->policy == MD_MODEL_BASELINE
                          ? place_at_random (play, entry, need)
                          : md_place (&entry->all, need, NULL, NULL, play->now);
  uint32_t i;

  if (place.worker == NULL)
    return false;
  i = (uint32_t)(place.worker - entry->workers);
  md_worker_reserve (place.worker, need->resources, place.run_time);
  memset (task, 0, sizeof *task);
  task->run.resources = need->resources;
  task->run.work = need->work;
  task->run.job = job;
  task->run.start_by
      = play->now
        + (play->policy == MD_MODEL_BASELINE ? BASELINE_SLACK : need->goal - place.run_time);
  task->job = job;
  task->index = index;
  task->worker = i;
  task->entry = e;
  task->sent = play->now;
  task->next = play->guards[i].coming;
  play->guards[i].coming = task;
  play->result->messages++;
  return true;
}

static bool
admit (Play *play, PlayEntry *entry, const MdModelJob *job, const MdTaskRequirements *need)
{
  MdDemand *demand = &entry->demands[job->queue];
  MdForecast forecast = { .goal = need->goal, .limit = need->limit };

  md_demand_add (demand, need->work * job->n_tasks * job->resources.cpu / 1000.0, play->now);
  forecast.demand
      = md_demand_ratio (entry->demand_list, play->workload->n_queues, demand, play->now);
  forecast.wait = md_place_backlog (&entry->all, need, play->now);
  return md_place_try (&entry->all, need, job->n_tasks, NULL, play->saved_resources,
                       &forecast.finish, play->now)
         && md_admit_run (&forecast) != MD_ADMIT_REJECT;
}

static int
arrive (Play *play, uint32_t index)
{
  const MdModelJob *job = &play->workload->jobs[index];
  uint32_t e = job->entry % play->n_entries;
  MdTaskRequirements need = need_of (play, job);

  if (play->policy != MD_MODEL_BASELINE && !admit (play, &play->entries[e], job, &need))
    {
      play->jobs[index].rejected = true;
      return MD_OK;
    }
  play->jobs[index].left = job->n_tasks;
  for (uint32_t k = 0; k < job->n_tasks; k++)
    {
      PlayTask *task = calloc (1, sizeof *task);

      if (task == NULL)
        return MD_E_MEMORY;
      if (!send_task (play, index, k, e, &need, task))
        {
          task->job = index;
          task->index = k;
          task->entry = e;
          list_again (play, task);
        }
    }
  return MD_OK;
}

/* Runs that were lost are ordered again while their job is worth anything. */
static void
order_again (Play *play)
{
  for (PlayTask **place = &play->again; *place != NULL;)
    {
      PlayTask *task = *place;
      const MdModelJob *job = &play->workload->jobs[task->job];
      MdTaskRequirements need = need_of (play, job);

      if (task->sent > play->now)
        {
          place = &task->next;
          continue;
        }
      *place = task->next;
      if (play->now > job->arrival + limit_of (play->workload, job)
          || !send_task (play, task->job, task->index, task->entry, &need, task))
        free (task);
    }
}

/* ------------------------------------------------------------------ */
/* Simulation                                                               */

static void
free_list (PlayTask *task)
{
  while (task != NULL)
    {
      PlayTask *next = task->next;

      free (task);
      task = next;
    }
}

static void
play_clear (Play *play)
{
  for (uint32_t i = 0; play->guards != NULL && i < play->workload->n_workers; i++)
    {
      for (PlayTask *task; (task = take_run (play, &play->guards[i])) != NULL;)
        free (task);
      free_list (play->guards[i].coming);
    }
  free_list (play->again);
  for (uint32_t e = 0; play->entries != NULL && e < play->n_entries; e++)
    {
      free (play->entries[e].workers);
      free (play->entries[e].list);
      free (play->entries[e].demands);
      free (play->entries[e].demand_list);
    }
  free (play->guards);
  free (play->entries);
  free (play->jobs);
  free (play->saved_resources);
}

static int
set_up_entry (Play *play, uint32_t e)
{
  const MdModelWorkload *workload = play->workload;
  PlayEntry *entry = &play->entries[e];

  entry->workers = calloc (workload->n_workers, sizeof *entry->workers);
  entry->list = calloc (workload->n_workers, sizeof *entry->list);
  entry->demands = calloc (workload->n_queues, sizeof *entry->demands);
  entry->demand_list = calloc (workload->n_queues, sizeof *entry->demand_list);
  if (entry->workers == NULL || entry->list == NULL || entry->demands == NULL
      || entry->demand_list == NULL)
    return MD_E_MEMORY;
  entry->all = (MdWorkers){ entry->list, workload->n_workers, REMOTE_FACTOR };
  for (uint32_t q = 0; q < workload->n_queues; q++)
    entry->demand_list[q] = &entry->demands[q];
  for (uint32_t i = 0; i < workload->n_workers; i++)
    {
      MdWorker *worker = &entry->workers[i];

      worker->state = MD_WORKER_READY;
      worker->capacity = worker->free = workload->capacities[i];
      worker->speed = 1;
      worker->bias = (MdTime)((i * 7 + e * 5) % 11) * MD_MS;
      entry->list[i] = worker;
    }
  return MD_OK;
}

static int
set_up (Play *play)
{
  const MdModelWorkload *workload = play->workload;
  int rc = MD_OK;

  md_leases_set (&play->leases, RESEND_AFTER, STOP_TIMEOUT);
  play->random = md_model_random (1);
  play->n_entries = play->policy == MD_MODEL_ONE_QUEUE ? 1 : workload->n_entries;
  play->hop = play->policy == MD_MODEL_ONE_QUEUE ? 0 : HOP;
  play->guards = calloc (workload->n_workers, sizeof *play->guards);
  play->entries = calloc (play->n_entries, sizeof *play->entries);
  play->jobs = calloc (workload->n_jobs, sizeof *play->jobs);
  play->saved_resources = calloc (workload->n_workers, sizeof *play->saved_resources);
  if (play->guards == NULL || play->entries == NULL || play->jobs == NULL
      || play->saved_resources == NULL)
    return MD_E_MEMORY;
  for (uint32_t i = 0; i < workload->n_workers; i++)
    {
      play->guards[i].queue.accepting = true;
      md_runqueue_set_capacity (&play->guards[i].queue, workload->capacities[i]);
    }
  for (uint32_t e = 0; e < play->n_entries && rc == MD_OK; e++)
    rc = set_up_entry (play, e);
  return rc;
}

static int
run_day (Play *play)
{
  const MdModelWorkload *workload = play->workload;
  int rc = MD_OK;

  for (play->now = 0; rc == MD_OK && play->now < workload->length + DRAIN; play->now += STEP)
    {
      change_workers (play);
      for (uint32_t i = 0; i < workload->n_workers; i++)
        run_guard (play, &play->guards[i]);
      report_all (play);
      order_again (play);
      while (rc == MD_OK && play->next_job < workload->n_jobs
             && workload->jobs[play->next_job].arrival <= play->now)
        rc = arrive (play, play->next_job++);
    }
  return rc;
}

int
md_model_simulate (const MdModelWorkload *workload, MdModelPolicy policy, MdModelResult *result,
                   MdError *error)
{
  Play play = { .workload = workload, .policy = policy, .result = result };
  int rc = MD_OK;

  memset (result, 0, sizeof *result);
  result->policy = policy;
  if (policy == MD_MODEL_RECORDED && !workload->recorded)
    return md_error_set (error, MD_E_INVALID, "model", "", "a made day has no recorded answers");
  if (policy != MD_MODEL_RECORDED)
    {
      rc = set_up (&play);
      if (rc == MD_OK)
        rc = run_day (&play);
    }
  if (rc == MD_OK)
    rc = sum_up (workload, play.jobs, result);
  play_clear (&play);
  if (rc != MD_OK)
    return md_error_set (error, rc, "model", "", "out of memory");
  return MD_OK;
}
