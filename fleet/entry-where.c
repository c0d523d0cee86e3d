/* entry-where.c -- where a job would go now, and why

   The engine makes a job of the request that is in none of its lists, forecasts it and places its
   ready tasks on trial. Reservations are undone, and nothing is logged, counted or learned, so that
   the next job is treated as if there had been no question. */

#include "run-entry.h"

#include <jansson.h>
#include <stdio.h>

#define MAX_TASKS 1024    /* of a job that is answered; a forecast takes milliseconds for as many */
#define MAX_TRIALS 64     /* tasks of a step that are placed on trial */
#define MAX_CANDIDATES 16 /* workers of a step that are named */

/* status is none of the rejections, to which md_entry_answer_request adds a body of its own. */
static void
answer (MdCallerRequest *request, int status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (6)) : NULL;

  if (text != NULL)
    md_buf_append (&request->body, md_str (text));
  free (text);
  json_decref (body);
  md_entry_answer_request (request, text != NULL ? status : 500, NULL, 0);
}

static void
answer_error (MdCallerRequest *request, int status, const char *reason)
{
  answer (request, status, json_pack ("{s:s}", "error", reason));
}

static json_int_t
ms_of (MdTime time)
{
  return (json_int_t)(time / MD_MS);
}

/* Statistics as the queue has them, which the trial must not change. */
static MdQueueStats *
copy_stats (const MdRunEntry *entry, MdRoute *route)
{
  MdQueueStats *copy = calloc (1, sizeof *copy);

  if (copy == NULL)
    return NULL;
  copy->route = route;
  for (uint32_t i = 0; i < entry->n_stats; i++)
    if (md_str_equal (md_str (entry->stats[i]->name), route->name))
      {
        copy->correction = entry->stats[i]->correction;
        copy->demand = entry->stats[i]->demand;
      }
  md_estimate_set_prior (&copy->correction, &entry->correction);
  return copy;
}

/* ------------------------------------------------------------------ */
/* Admission                                                          */

static const char *
decision_name (MdEntryPlaceable placeable, const MdForecast *forecast, const char **reason)
{
  switch (placeable)
    {
    case MD_PLACEABLE_NEVER:
      *reason = "a task fits on no worker of the pool";
      return "reject";
    case MD_PLACEABLE_LATER:
      *reason = "no worker with full reports can take a task";
      return "reject";
    case MD_PLACEABLE_NOW:
      break;
    }
  switch (md_admit_run (forecast))
    {
    case MD_ADMIT_NOW:
      *reason = "it is expected to meet its goal";
      return "admit";
    case MD_ADMIT_LATE:
      *reason = "it is expected to be late, and delays no other job";
      return "admit";
    case MD_ADMIT_REJECT:
      break;
    }
  if (md_admit_is_too_late (forecast))
    *reason = "the entry is short of processor time";
  else if (forecast->wait > md_admit_bound (forecast))
    *reason = "the backlog is longer than the bound of its queue";
  else
    *reason = "it would miss its goal behind other jobs, or its limit";
  return "reject";
}

static json_t *
describe_admission (MdEntryPlaceable placeable, const MdForecast *forecast)
{
  const char *reason;
  const char *decision = decision_name (placeable, forecast, &reason);

  return json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I, s:f, s:I, s:I}", "decision", decision, "reason",
                    reason, "backlog_ms",
                    placeable == MD_PLACEABLE_NOW ? ms_of (forecast->wait) : (json_int_t)-1,
                    "forecast_ms", ms_of (forecast->finish), "goal_ms", ms_of (forecast->goal),
                    "limit_ms", ms_of (forecast->limit), "demand", forecast->demand,
                    "wait_bound_ms", ms_of (md_admit_bound (forecast)), "lag_ms",
                    ms_of (forecast->lag));
}

/* ------------------------------------------------------------------ */
/* Workers                                                            */

typedef struct
{
  MdPlacement placement;
  MdPlaceRank rank;
} Candidate;

static bool
is_before (const Candidate *a, const Candidate *b)
{
  if (a->rank.fit != b->rank.fit)
    return a->rank.fit > b->rank.fit;
  return a->rank.cost < b->rank.cost;
}

/* Inserts a candidate into the best ones, which are sorted. */
static void
add_candidate (Candidate best[MAX_CANDIDATES], uint32_t *n, Candidate candidate)
{
  uint32_t i = *n < MAX_CANDIDATES ? (*n)++ : MAX_CANDIDATES - 1;

  if (i == MAX_CANDIDATES - 1 && best[i].placement.worker != NULL
      && !is_before (&candidate, &best[i]))
    return;
  for (; i > 0 && is_before (&candidate, &best[i - 1]); i--)
    best[i] = best[i - 1];
  best[i] = candidate;
}

/* The workers considered for the first task of a step, best first. */
static json_t *
describe_workers (const MdRunEntry *entry, const MdTaskRequirements *need, uint32_t *considered,
                  uint32_t *sparse)
{
  static const char *const fits[] = { "waits", "tight", "safe" };
  Candidate best[MAX_CANDIDATES] = { 0 };
  uint32_t n = 0;
  json_t *list = json_array ();

  for (uint32_t i = 0; i < entry->workers.n; i++)
    {
      MdWorker *worker = entry->workers.workers[i];
      Candidate candidate;

      if (!md_worker_can_run (worker, need))
        continue;
      *sparse += worker->sparse;
      if (worker->sparse)
        continue;
      (*considered)++;
      candidate.placement = md_place_at (&entry->workers, worker, need, entry->now);
      candidate.rank = md_place_rank (&candidate.placement, need);
      add_candidate (best, &n, candidate);
    }
  for (uint32_t i = 0; i < n; i++)
    {
      const MdWorker *worker = best[i].placement.worker;

      json_array_append_new (list, json_pack ("{s:s, s:s, s:I, s:I, s:I, s:s, s:I, s:I}", "guard",
                                              ((const MdEntryGuard *)worker)->name, "rack",
                                              md_traits_rack (worker->traits).data, "wait_ms",
                                              ms_of (best[i].placement.wait), "run_ms",
                                              ms_of (best[i].placement.run_time), "cost_ms",
                                              ms_of (md_span (best[i].rank.cost)), "fit",
                                              fits[best[i].rank.fit], "free_cpu",
                                              (json_int_t)worker->free.cpu, "report_age_ms",
                                              ms_of (entry->now - worker->reported_at)));
    }
  return list;
}

/* ------------------------------------------------------------------ */
/* Steps                                                              */

static const char *
near_text (const MdEntryNear *near)
{
  if (!near->preferred)
    return "none";
  return near->near ? "yes" : "no";
}

/* Places tasks of a step on trial; the reservations stay. Returns how many got a worker. */
static uint32_t
try_tasks (MdRunEntry *entry, const MdEntryJob *job, uint32_t step, const MdTaskRequirements *need,
           uint32_t tasks, json_t *list)
{
  md_autofree uint32_t *counts = calloc (entry->workers.n + 1, sizeof *counts);
  uint32_t n = 0;

  for (; counts != NULL && n < tasks; n++)
    {
      MdEntryNear near;
      MdPlacement placement = md_entry_place_task (entry, job, step, n, need, counts, &near);

      if (placement.worker == NULL)
        break;
      md_place_count (&entry->workers, counts, placement.worker);
      md_worker_reserve (placement.worker, need->resources, placement.run_time);
      json_array_append_new (list, json_pack ("{s:I, s:s, s:I, s:I, s:s, s:I, s:I}", "task",
                                              (json_int_t)n, "guard",
                                              ((MdEntryGuard *)placement.worker)->name, "wait_ms",
                                              ms_of (placement.wait), "run_ms",
                                              ms_of (placement.run_time), "near", near_text (&near),
                                              "near_wait_ms", ms_of (near.wait), "report_age_ms",
                                              ms_of (entry->now - placement.worker->reported_at)));
    }
  return n;
}

static json_t *
describe_step (MdRunEntry *entry, const MdEntryJob *job, uint32_t step)
{
  const MdRunStep *spec = &job->runjob.spec.steps[step];
  uint32_t tasks = spec->n_tasks < MAX_TRIALS ? spec->n_tasks : MAX_TRIALS;
  uint32_t considered = 0;
  uint32_t sparse = 0;
  uint32_t placed;
  MdTaskRequirements need;
  json_t *workers, *placements;

  if (job->runjob.tasks[step][0].state != MD_TASK_READY)
    return json_pack ("{s:I, s:I, s:s}", "step", (json_int_t)step, "tasks",
                      (json_int_t)spec->n_tasks, "state", "after other steps");
  md_entry_requirements (entry, job, step, &need);
  need.at_once = spec->gang;
  need.affinity = md_entry_choose_rack (entry, job, step, &need);
  workers = describe_workers (entry, &need, &considered, &sparse);
  placements = json_array ();
  placed = try_tasks (entry, job, step, &need, tasks, placements);
  return json_pack ("{s:I, s:I, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "step",
                    (json_int_t)step, "tasks", (json_int_t)spec->n_tasks, "state", "ready",
                    "preferred_rack", need.affinity.data, "expected_ms",
                    ms_of (md_span (need.work)), "tried", (json_int_t)tasks, "placed",
                    (json_int_t)placed, "workers_considered", (json_int_t)considered,
                    "workers_sparse", (json_int_t)sparse, "workers", workers, "placements",
                    placements);
}

static json_t *
describe_job (MdRunEntry *entry, const MdEntryJob *job, bool has_advisor, MdSavedResources *scratch)
{
  MdForecast forecast;
  MdEntryPlaceable placeable = md_entry_forecast (entry, job, &forecast);
  json_t *steps = json_array ();

  md_workers_save (&entry->workers, scratch);
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    json_array_append_new (steps, describe_step (entry, job, i));
  md_workers_restore (&entry->workers, scratch);
  return json_pack ("{s:{s:s, s:s, s:s, s:s, s:b}, s:o, s:{s:I, s:I}, s:f, s:o}", "route", "queue",
                    job->route->name.data, "host", job->route->host.data, "prefix",
                    job->route->prefix.data, "pool", job->route->pool.data, "asks_advisor",
                    has_advisor, "admission", describe_admission (placeable, &forecast),
                    "configuration", "version",
                    (json_int_t)atomic_load (&md_metrics[MD_M_CONFIG_VERSION]), "age_ms",
                    entry->config != NULL ? ms_of (md_config_reader_age (entry->config))
                                          : (json_int_t)-1,
                    "remote_factor", entry->workers.remote_factor, "steps", steps);
}

void
md_entry_where (MdRunEntry *entry, MdCallerRequest *request)
{
  md_autofree MdEntryJob *job = calloc (1, sizeof *job);
  MdRoute fields = *request->route;
  MD_AUTO_ROUTE *route = NULL;
  md_autofree MdQueueStats *stats = copy_stats (entry, request->route);
  md_autofree MdSavedResources *scratch = calloc (entry->workers.n + 1, sizeof *scratch);
  MdError error = { 0 };

  fields.advisor.present = false; /* it is not asked */
  route = md_route_new (&fields);
  if (job == NULL || route == NULL || stats == NULL || scratch == NULL
      || md_run_spec_tasks (&request->spec) > MAX_TASKS || !request->spec.best_effort
      || atomic_load (&entry->load.overloaded))
    {
      bool overloaded = atomic_load (&entry->load.overloaded);
      bool large = md_run_spec_tasks (&request->spec) > MAX_TASKS;
      bool stored = !request->spec.best_effort;

      md_run_spec_clear (&request->spec);
      if (overloaded)
        answer_error (request, 500, "the entry is short of processor time");
      else if (large)
        answer_error (request, 413, "the job has more tasks than are tried");
      else if (stored)
        answer_error (request, 422, "only best-effort jobs are supported");
      else
        answer_error (request, 500, "out of memory");
      return;
    }
  job->stats = stats;
  job->route = route;
  if (md_runjob_init (&job->runjob, &request->spec, job->route->max_attempts, &error) != MD_OK)
    answer_error (request, 422, error.detail);
  else
    {
      md_entry_set_times (job, request);
      answer (request, 200, describe_job (entry, job, request->route->advisor.present, scratch));
    }
  md_runjob_clear (&job->runjob);
}
