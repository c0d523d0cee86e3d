/* runjob.c -- state of the tasks and steps of a job

   A step becomes ready when the steps that it depends on are done. A task whose run ended
   without DONE becomes ready again: always if nothing ran or the worker failed, and until it
   has failed max_attempts times if the task itself failed. The runs of a gang count as one:
   its tasks become ready again together, when the last of them has ended.

   Load pattern: a task that crashes each worker that starts it, and each crash takes the runs of
   others with it. Who is to blame is not known after one crash, only who was there. A task is
   blamed for a second crash if nothing else ran on that worker, and for a third in any case. */

#include "run-sched.h"

#include <stdlib.h>
#include <string.h>

#define MIN_CRASHES 2 /* of workers under a task until it is given up */
#define MAX_CRASHES 3 /* the task is given up even if others ran on the workers */

void
md_run_spec_clear (MdRunSpec *spec)
{
  free (spec->spec);
  free (spec->steps);
  free (spec->labels);
  memset (spec, 0, sizeof *spec);
}

uint64_t
md_run_spec_tasks (const MdRunSpec *spec)
{
  uint64_t n = 0;

  for (uint32_t i = 0; i < spec->n_steps; i++)
    n += spec->steps[i].n_tasks;
  return n;
}

/* Sets the tasks of blocked steps to READY if the steps that they depend on are done. */
static void
unblock_steps (MdRunJob *job)
{
  for (uint32_t i = 0; i < job->spec.n_steps; i++)
    {
      const MdRunStep *step = &job->spec.steps[i];

      if (job->tasks[i][0].state != MD_TASK_BLOCKED || (step->depends_on & ~job->done_steps) != 0)
        continue;
      for (uint32_t k = 0; k < step->n_tasks; k++)
        job->tasks[i][k].state = MD_TASK_READY;
      job->ready += step->n_tasks;
    }
}

static int
validate_spec (const MdRunSpec *spec, MdError *error)
{
  if (spec->n_steps == 0 || spec->n_steps > MD_MAX_STEPS)
    return md_error_set (error, MD_E_INVALID, "job", "", "1 to %d steps are possible",
                         MD_MAX_STEPS);
  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      const MdRunStep *step = &spec->steps[i];

      if (step->n_tasks == 0 || step->n_tasks > MD_MAX_STEP_TASKS)
        return md_error_set (error, MD_E_INVALID, "job", "", "step %u: 1 to %d tasks are possible",
                             i, MD_MAX_STEP_TASKS);
      if (i < 63 && (step->depends_on >> i) != 0)
        return md_error_set (error, MD_E_INVALID, "job", "",
                             "step %u depends on a step that is not before it", i);
      if (step->long_running || spec->repeat_count > 0)
        return md_error_set (error, MD_E_INVALID, "job", "",
                             "step %u: long-running and repeated steps are not supported", i);
    }
  if (md_run_spec_tasks (spec) > MD_MAX_JOB_TASKS)
    return md_error_set (error, MD_E_INVALID, "job", "", "at most %d tasks are possible",
                         MD_MAX_JOB_TASKS);
  return MD_OK;
}

int
md_runjob_init (MdRunJob *job, MdRunSpec *spec, uint32_t max_attempts, MdError *error)
{
  int rc;

  memset (job, 0, sizeof *job);
  job->spec = *spec;
  memset (spec, 0, sizeof *spec);
  job->max_attempts = max_attempts > 0 ? max_attempts : 1;
  rc = validate_spec (&job->spec, error);
  if (rc != MD_OK)
    return rc;
  job->tasks = calloc (job->spec.n_steps, sizeof *job->tasks);
  job->remaining = calloc (job->spec.n_steps, sizeof *job->remaining);
  job->gangs = calloc (job->spec.n_steps, sizeof *job->gangs);
  if (job->tasks == NULL || job->remaining == NULL || job->gangs == NULL)
    return md_error_set (error, MD_E_MEMORY, "job", "", "out of memory");
  for (uint32_t i = 0; i < job->spec.n_steps; i++)
    {
      job->remaining[i] = job->spec.steps[i].n_tasks;
      job->tasks[i] = calloc (job->remaining[i], sizeof **job->tasks);
      if (job->tasks[i] == NULL)
        return md_error_set (error, MD_E_MEMORY, "job", "", "out of memory");
    }
  unblock_steps (job);
  return MD_OK;
}

void
md_runjob_clear (MdRunJob *job)
{
  for (uint32_t i = 0; job->tasks != NULL && i < job->spec.n_steps; i++)
    {
      for (uint32_t k = 0; job->tasks[i] != NULL && k < job->spec.steps[i].n_tasks; k++)
        free (job->tasks[i][k].checkpoint);
      free (job->tasks[i]);
    }
  free (job->tasks);
  free (job->remaining);
  free (job->gangs);
  md_run_spec_clear (&job->spec);
}

double
md_runjob_critical_path (const MdRunJob *job, const double *work)
{
  double end[MD_MAX_STEPS] = { 0 };
  double longest = 0;

  for (uint32_t i = 0; i < job->spec.n_steps; i++)
    {
      for (uint32_t k = 0; k < i; k++)
        if ((job->spec.steps[i].depends_on >> k & 1) && end[k] > end[i])
          end[i] = end[k];
      end[i] += work[i];
      if (end[i] > longest)
        longest = end[i];
    }
  return longest;
}

static void
finish_step (MdRunJob *job, uint32_t step)
{
  job->done_steps |= UINT64_C (1) << step;
  for (uint32_t i = 0; i < job->spec.n_steps; i++)
    if (!(job->done_steps >> i & 1))
      {
        unblock_steps (job);
        return;
      }
  job->state = MD_RUNJOB_COMPLETED;
}

static void
finish_task (MdRunJob *job, uint32_t step, MdRunTask *task)
{
  task->state = MD_TASK_ENDED;
  if (--job->remaining[step] == 0)
    finish_step (job, step);
}

static void
set_step_state (MdRunJob *job, uint32_t step, MdRunTaskState state)
{
  for (uint32_t k = 0; k < job->spec.steps[step].n_tasks; k++)
    job->tasks[step][k].state = state;
}

/* Called when the last run of a gang has ended: the gang is done, has failed or is READY again.
   Tasks that were never ordered are READY already and must not be counted twice. */
static void
end_gang_run (MdRunJob *job, uint32_t step)
{
  MdRunGang *gang = &job->gangs[step];
  uint32_t ready = 0;

  for (uint32_t k = 0; k < job->spec.steps[step].n_tasks; k++)
    ready += job->tasks[step][k].state == MD_TASK_READY;
  job->ready -= ready;
  if (gang->done)
    {
      set_step_state (job, step, MD_TASK_ENDED);
      job->remaining[step] = 0;
      finish_step (job, step);
      return;
    }
  gang->failures += gang->failed;
  if (gang->failed && gang->failures >= job->max_attempts)
    {
      set_step_state (job, step, MD_TASK_ENDED);
      job->state = MD_RUNJOB_FAILED;
      return;
    }
  gang->broken = gang->failed = false;
  set_step_state (job, step, MD_TASK_READY);
  job->ready += job->spec.steps[step].n_tasks;
}

/* Counts a crash of the worker under a task; returns whether the task is to blame. */
static bool
record_crash (MdRunJob *job, MdRunTask *task, MdRunResult result)
{
  task->crashes++;
  if (task->crashes < MAX_CRASHES
      && !(task->crashes >= MIN_CRASHES && result == MD_RUN_CRASHED_ALONE))
    return false;
  task->state = MD_TASK_ENDED;
  job->state = MD_RUNJOB_CRASHING;
  return true;
}

static void
record_gang_member_end (MdRunJob *job, uint32_t step, MdRunTask *task, MdRunResult result)
{
  MdRunGang *gang = &job->gangs[step];

  task->state = MD_TASK_AWAITING_GANG;
  gang->done |= result == MD_RUN_DONE;
  gang->broken |= result != MD_RUN_DONE;
  gang->failed |= result == MD_RUN_FAILED;
  task->failures += result == MD_RUN_FAILED;
  task->rejections += result == MD_RUN_REJECTED || result == MD_RUN_STALE;
  if (gang->ordered == 0)
    end_gang_run (job, step);
}

void
md_runjob_record_order (MdRunJob *job, uint32_t step, uint32_t index, void *order)
{
  MdRunTask *task = &job->tasks[step][index];

  task->state = MD_TASK_ORDERED;
  task->order = order;
  job->ready--;
  job->ordered++;
  job->gangs[step].ordered++;
}

bool
md_runjob_gang_broken (const MdRunJob *job, uint32_t step)
{
  return job->spec.steps[step].gang && job->gangs[step].broken && !job->gangs[step].done;
}

void
md_runjob_record_end (MdRunJob *job, uint32_t step, uint32_t index, MdRunResult result)
{
  MdRunTask *task = &job->tasks[step][index];

  if (task->state != MD_TASK_ORDERED)
    return;
  job->ordered--;
  job->gangs[step].ordered--;
  task->order = NULL;
  if (md_run_is_crash (result) && record_crash (job, task, result))
    return;
  if (job->spec.steps[step].gang)
    {
      record_gang_member_end (job, step, task, result);
      return;
    }
  switch (result)
    {
    case MD_RUN_DONE:
      finish_task (job, step, task);
      return;
    case MD_RUN_FAILED:
      if (++task->failures >= job->max_attempts)
        {
          task->state = MD_TASK_ENDED;
          job->state = MD_RUNJOB_FAILED;
          return;
        }
      break;
    case MD_RUN_REJECTED:
    case MD_RUN_STALE:
      task->rejections++;
      break;
    default:
      break;
    }
  task->state = MD_TASK_READY;
  job->ready++;
}

bool
md_runjob_is_suspect (const MdRunJob *job)
{
  for (uint32_t i = 0; i < job->spec.n_steps; i++)
    for (uint32_t k = 0; k < job->spec.steps[i].n_tasks; k++)
      if (job->tasks[i][k].crashes >= MIN_CRASHES && job->tasks[i][k].state != MD_TASK_ENDED)
        return true;
  return false;
}
