/* entry-placement.c -- admission of jobs and placement of their tasks at an entry

   Supplies the scheduling functions of sched/ with the jobs and workers known to this
   entry and carries out their decisions. */

#include "run-entry.h"
#include "startup.h"

#define NETWORK_MARGIN (8 * MD_MS)               /* part of the goal: round trip to the caller */
#define DEFAULT_RESPONSE_TIMEOUT (2 * MD_SECOND) /* for callers that do not state one */
#define RETRY_SAFETY_FACTOR 1.25                 /* run times vary by a factor of about exp (0.4) */
/* Of the time to the goal. A multiple of the longest run, so that a job of such runs still has
   slack; the limit, which is a multiple of the goal, fits into MdTime. */
#define MAX_OBJECTIVE (1000 * MD_MAX_SPAN)
#define UNKNOWN_AGE (-1 * MD_MS)        /* in log lines */
#define ADMISSION_PATIENCE (20 * MD_MS) /* a round trip to guards in other failure domains */

/* ------------------------------------------------------------------ */
/* Coverage                                                           */

/* Number of workers on which runs can be placed. */
static uint32_t
count_full (const MdRunEntry *entry)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < entry->workers.n; i++)
    n += entry->workers.workers[i]->connected && !entry->workers.workers[i]->sparse;
  return n;
}

static uint32_t
count_followed (const MdRunEntry *entry)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < entry->workers.n; i++)
    n += ((const MdEntryGuard *)entry->workers.workers[i])->follow_until > entry->now;
  return n;
}

/* Asks up to MD_WIDEN_STEP further guards, whose workers could run the step, for full reports.
   Returns their number. rack_only: only guards on the rack of the step's data. */
static uint32_t
widen_coverage (MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                const MdTaskRequirements *need, bool rack_only)
{
  uint32_t followed = count_followed (entry);
  uint32_t max = entry->daemon.settings.max_followed;
  uint32_t n = 0;
  char rack[MD_NAME_BYTES];

  while (n < MD_WIDEN_STEP && followed + n < max)
    {
      MdWorker *worker = md_coverage_widen (&entry->workers, need, rack_only);

      if (worker == NULL)
        break;
      md_entry_follow (entry, worker);
      n++;
    }
  if (n > 0)
    md_log (MD_LOG_INFO, "coverage-widened",
            "job=%s request=%s step=%u guards=%u followed=%u max=%u rack=%s", job->id,
            job->request_id, step, n, followed + n, max,
            rack_only ? md_log_quote (need->affinity, rack, sizeof rack) : "any");
  return n;
}

/* ------------------------------------------------------------------ */
/* Placement                                                          */

double
md_entry_expected_work (const MdEntryJob *job, uint32_t step)
{
  return md_estimate_work (&job->stats->correction, job->runjob.spec.steps[step].declared_time);
}

void
md_entry_requirements (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                       MdTaskRequirements *need)
{
  const MdRunStep *spec = &job->runjob.spec.steps[step];

  need->pool = job->route->pool;
  need->required_label = spec->required_label;
  need->affinity = spec->affinity;
  need->resources = spec->resources;
  need->work = md_entry_expected_work (job, step);
  need->goal = job->goal - entry->now;
  need->limit = job->limit - entry->now;
  need->max_per_worker = spec->max_per_worker;
  need->excluded = NULL;
  need->alone = false;
  need->at_once = false;
}

/* Counts the tasks of a step on each worker, for the limit per worker. Returns an array with an
   entry for each worker, or NULL if there is no limit or no memory. */
static uint32_t *
count_per_worker (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step)
{
  uint32_t *per_worker_count;

  if (job->runjob.spec.steps[step].max_per_worker == 0)
    return NULL;
  per_worker_count = calloc (entry->workers.n + 1, sizeof *per_worker_count);
  for (uint32_t k = 0; per_worker_count != NULL && k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      const MdEntryOrder *order = job->runjob.tasks[step][k].order;

      if (order != NULL)
        md_place_count (&entry->workers, per_worker_count, &order->guard->worker);
    }
  return per_worker_count;
}

/* Value of near in the log. */
static const char *
near_name (const MdEntryNear *near)
{
  if (!near->preferred)
    return "none";
  return near->near ? "yes" : "no";
}

/* Orders a run of a task from the guard of the worker chosen by placement. */
static void
order_task (MdRunEntry *entry, MdEntryJob *job, uint32_t step, uint32_t index,
            const MdTaskRequirements *need, const MdPlacement *placement, const MdEntryNear *near)
{
  MdRunTask *task = &job->runjob.tasks[step][index];
  MdEntryOrder *order = calloc (1, sizeof *order);
  const char *permit = NULL;

  if (job->advice != NULL)
    permit = md_advice_permit (&job->advice[step], placement->worker->lifetime, entry->now);
  if (order == NULL || !md_str_set (&order->permit, md_str (permit)))
    {
      free (order);
      return; /* retried at the next tick */
    }
  order->guard = (MdEntryGuard *)placement->worker;
  order->job = job;
  order->step = step;
  order->task = index;
  order->run_number = ++task->run_number + job->run_number_offset;
  order->need = need->resources;
  order->alone = need->alone;
  order->at_once = need->at_once;
  order->priority = md_entry_order_priority (job);
  order->declared_run = job->runjob.spec.steps[step].declared_time;
  order->placed_at = entry->now;
  order->expected_wait = placement->wait;
  order->work = need->work;
  order->expected_run = placement->run_time;
  order->start_within = job->goal - entry->now - placement->run_time;
  md_runjob_record_order (&job->runjob, step, index, order);
  placement->worker->outstanding++;
  md_worker_reserve (placement->worker, md_place_reservation (placement->worker, need),
                     placement->run_time);
  md_entry_near_begin (entry, order, need, near);
  md_entry_send_order (entry, order);
  md_log (MD_LOG_INFO, "run-placed",
          "job=%s step=%u task=%u run=%u guard=%s wait_ms=%lld run_ms=%lld slack_ms=%lld "
          "report_age_ms=%lld near=%s near_wait_ms=%lld",
          job->id, step, index, order->run_number, order->guard->name,
          (long long)(order->expected_wait / MD_MS), (long long)(order->expected_run / MD_MS),
          (long long)(order->start_within / MD_MS),
          (long long)((entry->now - placement->worker->reported_at) / MD_MS), near_name (near),
          (long long)(near->wait / MD_MS));
}

/* Returns the time until the goal, less a margin for a further attempt. The goal grows with the
   work, which is known only roughly, but not with the time that earlier attempts took, so a
   further attempt needs a margin. */
static MdTime
time_to_goal (const MdRunEntry *entry, const MdEntryJob *job, const MdRunTask *task)
{
  MdTime left = job->goal - entry->now;

  return task->run_number > 0 ? (MdTime)((double)left / RETRY_SAFETY_FACTOR) : left;
}

/* Whether all tasks of a gang can start now. A gang is ordered as a whole or not at all, because
   tasks that start early would hold their capacity while they wait for the others. */
static bool
gang_fits (MdRunEntry *entry, const MdTaskRequirements *need, uint32_t count,
           const uint32_t *per_worker_count)
{
  size_t bytes = (entry->workers.n + 1) * sizeof *per_worker_count;
  md_autofree uint32_t *counts = per_worker_count != NULL ? malloc (bytes) : NULL;
  MdTime finish = 0;

  if (per_worker_count != NULL && counts == NULL)
    return false; /* retried at the next tick */
  if (per_worker_count != NULL)
    memcpy (counts, per_worker_count, bytes);
  return md_place_try (&entry->workers, need, count, counts, entry->saved_resources, &finish,
                       entry->now);
}

MdStr
md_entry_choose_rack (MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
                      const MdTaskRequirements *need)
{
  const MdRunStep *spec = &job->runjob.spec.steps[step];
  MdStr rack;

  if (!spec->same_rack || spec->affinity.len > 0)
    return spec->affinity;
  if (md_entry_group_rack (job, step, &rack))
    return rack;
  return md_place_rack (&entry->workers, need, spec->n_tasks, entry->saved_resources, entry->now);
}

/* Orders the ready tasks of a step. Tasks that no worker can run now stay ready. */
static void
place_step (MdRunEntry *entry, MdEntryJob *job, uint32_t step)
{
  MdTaskRequirements need;
  md_autofree uint32_t *per_worker_count = count_per_worker (entry, job, step);

  if (md_entry_group_is_moving (job, step))
    return;
  md_entry_requirements (entry, job, step, &need);
  if (!md_entry_apply_advice (entry, job, step, &need))
    return;
  need.at_once = job->runjob.spec.steps[step].gang;
  need.affinity = md_entry_choose_rack (entry, job, step, &need);
  if (job->runjob.spec.steps[step].gang
      && !gang_fits (entry, &need, job->runjob.spec.steps[step].n_tasks, per_worker_count))
    return;
  for (uint32_t k = 0; k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      MdRunTask *task = &job->runjob.tasks[step][k];
      MdPlacement placement;
      MdEntryNear near;

      if (task->state != MD_TASK_READY)
        continue;
      need.goal = time_to_goal (entry, job, task);
      need.alone = task->crashes > 0 && !job->runjob.spec.steps[step].gang;
      placement = md_entry_place_task (entry, job, step, k, &need, per_worker_count, &near);
      if (placement.worker == NULL && need.alone)
        continue; /* until a worker is idle */
      if (placement.worker == NULL)
        {
          widen_coverage (entry, job, step, &need, false);
          return;
        }
      if (need.affinity.len > 0 && !md_traits_have (placement.worker->traits, need.affinity))
        widen_coverage (entry, job, step, &need, true);
      md_place_count (&entry->workers, per_worker_count, placement.worker);
      order_task (entry, job, step, k, &need, &placement, &near);
    }
}

void
md_entry_place_ready (MdRunEntry *entry, MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps && job->runjob.ready > 0; i++)
    place_step (entry, job, i);
}

/* ------------------------------------------------------------------ */
/* Admission                                                          */

/* Adds a step to the forecast of a job. Returns false if a task fits on no worker. The
   reservations of its tasks stay. */
static bool
forecast_step (MdRunEntry *entry, const MdEntryJob *job, uint32_t step, MdForecast *forecast)
{
  MdTaskRequirements need;
  MdTime backlog;

  md_entry_requirements (entry, job, step, &need);
  backlog = md_place_backlog (&entry->workers, &need, entry->now);
  forecast->wait = backlog > forecast->wait ? backlog : forecast->wait;
  return md_place_all (&entry->workers, &need, job->runjob.spec.steps[step].n_tasks, NULL,
                       &forecast->finish, entry->now);
}

/* Predicts the backlog and the end of a job by a trial placement of its ready steps. Later
   steps are included with the rest of the critical path, without waits. Returns false if a
   ready task fits on no worker. */
static bool
forecast_job (MdRunEntry *entry, const MdEntryJob *job, MdForecast *forecast)
{
  double first = 0;
  bool possible = true;

  forecast->goal = job->goal - entry->now;
  forecast->limit = job->limit - entry->now;
  md_workers_save (&entry->workers, entry->saved_resources);
  for (uint32_t i = 0; possible && i < job->runjob.spec.n_steps; i++)
    if (job->runjob.tasks[i][0].state == MD_TASK_READY)
      {
        possible = forecast_step (entry, job, i, forecast);
        if (md_entry_expected_work (job, i) > first)
          first = md_entry_expected_work (job, i);
      }
  md_workers_restore (&entry->workers, entry->saved_resources);
  if (job->critical_path > first)
    forecast->finish += md_span (job->critical_path - first);
  forecast->finish += md_entry_advice_wait (entry, job);
  return possible;
}

/* Whether each step fits on some worker, busy or not, and each gang on all of them together.
   Otherwise the job could never end. */
static bool
is_possible (const MdRunEntry *entry, const MdEntryJob *job)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    {
      const MdRunStep *step = &job->runjob.spec.steps[i];
      MdTaskRequirements need;

      md_entry_requirements (entry, job, i, &need);
      if (!md_place_possible (&entry->workers, &need, step->gang ? step->n_tasks : 1))
        return false;
    }
  return true;
}

/* Returns the time from the arrival of a job within which its answer has its full worth, without
   the way back to the caller. */
static MdTime
objective_of (const MdRoute *route, double critical_path)
{
  return md_span_to (route->slack_factor * critical_path, MAX_OBJECTIVE) + route->target_latency;
}

void
md_entry_predict_times (const MdRunEntry *entry, const MdCallerRequest *request,
                        MdBacklogJob *times)
{
  const MdCorrection *correction = &entry->correction;
  const MdRunJob job = { .spec = request->spec };
  double of_step[MD_MAX_STEPS];
  double path = 0;
  MdTime objective;

  for (uint32_t i = 0; i < entry->n_stats; i++)
    if (md_str_equal (md_str (entry->stats[i]->name), request->route->name))
      correction = &entry->stats[i]->correction;
  for (uint32_t i = 0; i < job.spec.n_steps && i < MD_MAX_STEPS; i++)
    of_step[i] = md_estimate_work (correction, job.spec.steps[i].declared_time);
  if (job.spec.n_steps <= MD_MAX_STEPS)
    path = md_runjob_critical_path (&job, of_step);
  objective = objective_of (request->route, path);
  times->work = md_span (path);
  times->slack = objective - NETWORK_MARGIN - times->work;
  times->limit = MD_LIMIT_GOAL_MULTIPLE * objective - NETWORK_MARGIN;
}

/* Returns the demand ratio of the job's queue, see md_demand_ratio. */
static double
demand_ratio (const MdRunEntry *entry, const MdEntryJob *job)
{
  const MdDemand *demands[MD_MAX_QUEUES];

  for (uint32_t i = 0; i < entry->n_stats; i++)
    demands[i] = &entry->stats[i]->demand;
  return md_demand_ratio (demands, entry->n_stats, &job->stats->demand, entry->now);
}

MdEntryPlaceable
md_entry_forecast (MdRunEntry *entry, const MdEntryJob *job, MdForecast *forecast)
{
  *forecast = (MdForecast){ .demand = demand_ratio (entry, job),
                            .lag = md_lag_shortage (&entry->load.lag, entry->now) };
  if (!is_possible (entry, job))
    return MD_PLACEABLE_NEVER;
  return forecast_job (entry, job, forecast) ? MD_PLACEABLE_NOW : MD_PLACEABLE_LATER;
}

void
md_entry_set_times (MdEntryJob *job, const MdCallerRequest *caller_request)
{
  double work[MD_MAX_STEPS];
  MdTime timeout = caller_request->response_timeout > 0 ? caller_request->response_timeout
                                                        : DEFAULT_RESPONSE_TIMEOUT;
  MdTime objective;

  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    work[i] = md_entry_expected_work (job, i)
              + (double)md_advice_call_time (&job->route->advisor, MD_ADVICE_MAX_WORKERS);
  job->critical_path = md_runjob_critical_path (&job->runjob, work);
  objective = objective_of (job->route, job->critical_path);
  job->arrived = caller_request->arrived;
  job->age = md_patience_age (&job->stats->patience, caller_request->response_timeout,
                              objective - NETWORK_MARGIN, job->route->timeout);
  job->goal = caller_request->arrived - job->age + objective - NETWORK_MARGIN;
  /* How long it has passed makes no difference, and callers may state any time. */
  if (job->goal < caller_request->arrived - MD_SECOND)
    job->goal = caller_request->arrived - MD_SECOND;
  job->limit = caller_request->arrived + MD_LIMIT_GOAL_MULTIPLE * objective - NETWORK_MARGIN;
  job->deadline = caller_request->arrived + timeout;
  /* The caller of an aged job waits for an answer that is late. */
  if (job->limit > job->deadline || job->age > 0)
    job->limit = job->deadline;
  md_count (MD_M_JOBS_AGED, job->age > 0);
}

MdTime
md_entry_due (const MdEntryJob *job)
{
  return job->age > 0 ? job->limit : job->goal;
}

double
md_entry_total_work (const MdEntryJob *job)
{
  double work = 0;

  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    work += md_entry_expected_work (job, i) * job->runjob.spec.steps[i].n_tasks
            * job->runjob.spec.steps[i].resources.cpu;
  return work / 1000.0;
}

void
md_entry_add_demand (const MdRunEntry *entry, MdEntryJob *job)
{
  md_demand_add (&job->stats->demand, md_entry_total_work (job), entry->now);
}

/* Logs the forecast of a job. md_model_read_workload parses these lines. */
static void
log_forecast (const MdRunEntry *entry, const MdEntryJob *job, const char *event,
              const MdForecast *forecast)
{
  const MdRunSpec *spec = &job->runjob.spec;
  const MdPressure *pressure = md_entry_pressure (entry, job->route->pool);
  MdTime pressure_age
      = pressure != NULL && pressure->known_at > 0 ? entry->now - pressure->known_at : UNKNOWN_AGE;

  md_log (MD_LOG_INFO, event,
          "job=%s request=%s queue=%s forecast_ms=%lld wait_ms=%lld goal_ms=%lld demand=%.2f "
          "wait_bound_ms=%lld patience_ms=%lld steps=%u tasks=%llu cpu=%u memory_mb=%u "
          "declared_ms=%lld slack_percent=%.0f target_ms=%lld workers_full=%u queued_ms=%lld "
          "lag_ms=%lld priority=%u floor=%d pressure_permille=%u pressure_age_ms=%lld "
          "age_ms=%lld",
          job->id, job->request_id, job->route->label.data, (long long)(forecast->finish / MD_MS),
          (long long)(forecast->wait / MD_MS), (long long)(forecast->goal / MD_MS),
          forecast->demand, (long long)(md_admit_bound (forecast) / MD_MS),
          (long long)((job->deadline - job->arrived) / MD_MS), spec->n_steps,
          (unsigned long long)md_run_spec_tasks (spec), spec->steps[0].resources.cpu,
          spec->steps[0].resources.memory_mb, (long long)(spec->steps[0].declared_time / MD_MS),
          job->route->slack_factor * 100, (long long)(job->route->target_latency / MD_MS),
          count_full (entry), (long long)((entry->now - job->arrived) / MD_MS),
          (long long)(forecast->lag / MD_MS), job->route->priority, job->floor,
          pressure != NULL ? pressure->permille : 0, (long long)(pressure_age / MD_MS),
          (long long)(job->age / MD_MS));
}

/* Asks further guards for full reports on behalf of the job's ready steps; returns whether there
   were any. */
static bool
widen_for_job (MdRunEntry *entry, const MdEntryJob *job)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    if (job->runjob.tasks[i][0].state == MD_TASK_READY)
      {
        MdTaskRequirements need;

        md_entry_requirements (entry, job, i, &need);
        n += widen_coverage (entry, job, i, &need, false);
      }
  return n > 0;
}

/* Whether a job that would be rejected waits for the reports of further guards instead. */
static bool
defer_admission (MdRunEntry *entry, MdEntryJob *job)
{
  if (job->admit_until > 0)
    return entry->now < job->admit_until;
  if (!widen_for_job (entry, job))
    return false;
  md_count (MD_M_ADMISSIONS_DEFERRED, 1);
  job->admit_until = entry->now + ADMISSION_PATIENCE;
  return true;
}

/* Whether a job that finds no usable worker waits for one, because the guards of a process that has
   just started are still connecting. */
static bool
wait_for_worker (MdRunEntry *entry, MdEntryJob *job)
{
  MdTime age = md_entry_start_age (&entry->start, entry->now);
  MdTime wait;

  if (entry->leaving)
    return false;
  if (job->awaits_worker)
    return entry->now < job->admit_until;
  wait = md_startup_worker_wait (age, job->goal - entry->now);
  if (wait == 0)
    return false;
  job->awaits_worker = true;
  job->admit_until = entry->now + wait;
  md_count (MD_M_START_WAITS, 1);
  md_log (MD_LOG_INFO, "start-waits",
          "job=%s request=%s queue=%s for=worker process_age_ms=%lld goal_ms=%lld limit_ms=%lld "
          "workers=%u",
          job->id, job->request_id, job->route->label.data, (long long)(age / MD_MS),
          (long long)((job->goal - entry->now) / MD_MS), (long long)(wait / MD_MS),
          entry->workers.n);
  return true;
}

static void
reject_job (MdRunEntry *entry, MdEntryJob *job, const MdForecast *forecast, const char *reason)
{
  MdTime retry_after = md_admit_retry_after (forecast, md_random ());

  log_forecast (entry, job, "job-rejected", forecast);
  md_entry_finish_job (entry, job, 429, NULL, reason, retry_after);
}

/* Decides on a job that the entry has time for. */
static void
admit_job (MdRunEntry *entry, MdEntryJob *job, MdForecast *forecast)
{
  bool possible = is_possible (entry, job);
  bool placeable = possible && forecast_job (entry, job, forecast);

  /* It does not wait any longer, not even for a shorter backlog. */
  if (placeable && job->awaits_worker)
    job->admit_until = 0;
  md_entry_set_bound (entry, job, forecast);
  if (placeable && md_admit_run (forecast) != MD_ADMIT_REJECT)
    {
      job->admit_until = 0;
      md_entry_note_admitted (entry, job);
      log_forecast (entry, job, "job-admitted", forecast);
      md_entry_place_ready (entry, job);
    }
  /* An entry that is late has no time for further reports, and an aged job is not worth them. */
  else if (possible && job->age == 0 && md_admit_lag (forecast) == 0
           && defer_admission (entry, job))
    return; /* called again by the next tick */
  else if (placeable)
    reject_job (entry, job, forecast, job->age > 0 ? "aged" : "overload");
  else if (!wait_for_worker (entry, job))
    md_entry_finish_job (entry, job, 503, NULL, "no-upstream",
                         md_startup_retry_after (md_entry_start_age (&entry->start, entry->now),
                                                 MD_RETRY_AFTER_NO_WORKER, md_random ()));
}

void
md_entry_admit (MdRunEntry *entry, MdEntryJob *job)
{
  MdForecast forecast = { .demand = demand_ratio (entry, job),
                          .lag = md_lag_shortage (&entry->load.lag, entry->now),
                          .age = job->age };

  if (md_admit_is_too_late (&forecast))
    {
      md_count (MD_M_LATE_REJECTIONS, 1);
      reject_job (entry, job, &forecast, "entry-late");
    }
  else
    admit_job (entry, job, &forecast);
}
