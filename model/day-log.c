/* day-log.c -- reads a workload from the logs of entries and guards

   Entries log the jobs (job-admitted, job-rejected) and their answers (job-answered),
   guards the workers (worker-state, worker-left, worker-unreachable, worker-reached) and
   the time of each run (run-end). A worker's speed is estimated from the times that its
   complete runs took, relative to the times that callers declared, as the mean over many
   jobs. In a second in which its runs differ much from this, the worker gets a speed of
   that second. The work of a task is the time of its run multiplied by the speed. A task
   without a complete run gets the mean work of the other tasks of its job, or a value drawn
   at random from the seed. */

#define _GNU_SOURCE /* memrchr */

#include "model.h"

#include "log-line.h"

#include <math.h>
#include <xxhash.h>

#define MAX_WORKERS 4096
#define MAX_LOGGED_ENTRIES 256
/* Of a workload; memory grows with its seconds and its workers. A damaged time stamp would make it
   centuries. */
#define MAX_LENGTH (48 * 3600 * MD_SECOND)
#define SPEED_WINDOW MD_SECOND   /* run times are averaged over it to detect changes of speed */
#define MIN_WINDOW_RUNS 5        /* with fewer runs the mean is too uncertain */
#define MIN_LOG_OFFSET 0.5       /* sigma of a run's logarithm is 0.4, of the mean of five 0.2 */
#define DECLARED_TIME_SIGMA 0.4  /* of the log-normal error of declared times */
#define DEFAULT_CPU 64000        /* of a worker whose first state is not logged */
#define DEFAULT_MEMORY_MB 262144 /* of a worker whose first state is not logged */

typedef struct
{
  uint64_t hash; /* of the job's name */
  uint32_t job;  /* index of the job + 1; 0: the slot is free */
} JobSlot;

/* A complete run. */
typedef struct
{
  MdTime at; /* when it ended */
  uint32_t job;
  uint32_t index; /* of the task in its job */
  uint32_t worker;
  MdTime run_time; /* from start to end */
} LoggedRun;

typedef struct
{
  MdTime at;
  uint32_t worker;
  bool up;
} LoggedState;

typedef struct
{
  MdModelWorkload *workload;
  MdStr logs;
  int64_t start_ms; /* arrival of the first job, wall clock */
  MdStr entries[MAX_LOGGED_ENTRIES];
  MdStr guards[MAX_WORKERS];
  JobSlot *slots; /* hash table of n_slots, a power of two; owned */
  size_t n_slots;
  size_t cap_jobs;
  LoggedRun *runs; /* owned */
  size_t n_runs;
  size_t cap_runs;
  LoggedState *states; /* owned */
  size_t n_states;
  size_t cap_states;
  double *log_speed; /* of each worker, natural logarithm; owned */
  double *log_bias;  /* of each queue, natural logarithm of work over declared time; owned */
  bool out_of_memory;
} LogReader;

static void
log_reader_clear (LogReader *reader)
{
  free (reader->slots);
  free (reader->runs);
  free (reader->states);
  free (reader->log_speed);
  free (reader->log_bias);
}

/* Returns list with space for one more element. Without memory, sets out_of_memory and returns
   list unchanged. */
static void *
grow_array (LogReader *reader, void *list, size_t n, size_t *cap, size_t size)
{
  void *grown;

  if (n < *cap)
    return list;
  grown = realloc (list, (*cap > 0 ? *cap * 2 : 256) * size);
  if (grown == NULL)
    {
      reader->out_of_memory = true;
      return list;
    }
  *cap = *cap > 0 ? *cap * 2 : 256;
  return grown;
}

/* ------------------------------------------------------------------ */
/* Names                                                              */

static uint64_t
hash_of (MdStr name)
{
  return XXH64 (name.data, name.len, 0);
}

static JobSlot *
find_slot (const LogReader *reader, uint64_t hash)
{
  size_t i = hash & (reader->n_slots - 1);

  while (reader->slots[i].job != 0 && reader->slots[i].hash != hash)
    i = (i + 1) & (reader->n_slots - 1);
  return &reader->slots[i];
}

static MdModelJob *
find_job (const LogReader *reader, MdStr name)
{
  const JobSlot *slot = find_slot (reader, hash_of (name));

  return slot->job != 0 ? &reader->workload->jobs[slot->job - 1] : NULL;
}

static uint32_t
index_of_name (MdStr *names, uint32_t *n, uint32_t max, MdStr name)
{
  for (uint32_t i = 0; i < *n; i++)
    if (md_str_equal (names[i], name))
      return i;
  if (*n == max)
    return max - 1;
  names[*n] = name;
  return (*n)++;
}

/* A duration in milliseconds; 0 when it is not a possible one. */
static MdTime
duration_of (MdStr line, const char *key)
{
  int64_t ms = md_line_number (line, key);

  return ms >= 0 && ms <= MAX_LENGTH / MD_MS ? ms * MD_MS : 0;
}

static uint32_t
find_or_add_queue (LogReader *reader, MdStr line)
{
  MdModelWorkload *workload = reader->workload;
  MdStr name = md_line_value (line, "queue");
  MdModelQueue *grown;

  for (uint32_t q = 0; q < workload->n_queues; q++)
    if (md_str_equal (md_str (workload->queues[q].name), name))
      return q;
  grown = realloc (workload->queues, (workload->n_queues + 1) * sizeof *grown);
  if (grown == NULL)
    {
      reader->out_of_memory = true;
      return 0;
    }
  workload->queues = grown;
  grown = &workload->queues[workload->n_queues];
  memset (grown, 0, sizeof *grown);
  md_str_copy (grown->name, sizeof grown->name, name);
  grown->slack_factor = (double)md_line_number (line, "slack_percent") / 100.0;
  grown->target_latency = duration_of (line, "target_ms");
  return workload->n_queues++;
}

/* ------------------------------------------------------------------ */
/* Lines                                                              */

static MdTime
time_of (const LogReader *reader, MdStr line)
{
  int64_t ms = 0;

  md_line_time (line, &ms);
  return (ms - reader->start_ms) * MD_MS;
}

static void
read_job (LogReader *reader, MdStr line)
{
  MdModelWorkload *workload = reader->workload;
  uint64_t hash = hash_of (md_line_value (line, "job"));
  JobSlot *slot = find_slot (reader, hash);
  MdModelJob *job;
  int64_t tasks = md_line_number (line, "tasks");

  if (slot->job != 0)
    {
      workload->jobs[slot->job - 1].repeats++;
      return;
    }
  if (tasks < 1 || tasks > MD_MAX_STEP_TASKS)
    return; /* logged by an older release */
  workload->jobs = grow_array (reader, workload->jobs, workload->n_jobs, &reader->cap_jobs,
                               sizeof *workload->jobs);
  if (reader->out_of_memory)
    return;
  job = &workload->jobs[workload->n_jobs];
  memset (job, 0, sizeof *job);
  job->queue = find_or_add_queue (reader, line);
  job->entry = index_of_name (reader->entries, &workload->n_entries, MAX_LOGGED_ENTRIES,
                              md_line_value (line, "node"));
  job->arrival = time_of (reader, line);
  job->n_tasks = (uint32_t)tasks;
  job->resources.cpu = (uint32_t)md_line_number (line, "cpu");
  job->resources.memory_mb = (uint32_t)md_line_number (line, "memory_mb");
  job->declared_time = duration_of (line, "declared_ms");
  job->response_timeout = duration_of (line, "patience_ms");
  job->work = calloc (job->n_tasks, sizeof *job->work);
  if (job->work == NULL || reader->out_of_memory)
    {
      free (job->work);
      reader->out_of_memory = true;
      return;
    }
  workload->n_jobs++;
  *slot = (JobSlot){ hash, workload->n_jobs };
}

static void
read_answer (LogReader *reader, MdStr line)
{
  MdModelJob *job = find_job (reader, md_line_value (line, "job"));
  MdTime now = time_of (reader, line);

  if (job == NULL || job->completed)
    return;
  job->completed = md_str_equal (md_line_value (line, "outcome"), MD_STR ("completed"));
  job->rejected = md_str_equal (md_line_value (line, "outcome"), MD_STR ("not_run"));
  job->response_time = now > job->arrival ? now - job->arrival : 1;
}

static uint32_t
find_or_add_worker (LogReader *reader, MdStr line)
{
  return index_of_name (reader->guards, &reader->workload->n_workers, MAX_WORKERS,
                        md_line_value (line, "node"));
}

static void
read_run (LogReader *reader, MdStr line)
{
  MdStr task = md_line_value (line, "task");
  const char *dot = task.len > 0 ? memchr (task.data, '.', task.len) : NULL;
  const char *last = dot != NULL ? memrchr (task.data, '.', task.len) : NULL;
  const MdModelJob *job;
  LoggedRun run = { .at = time_of (reader, line) };
  char index[16];

  if (dot == NULL || !md_str_equal (md_line_value (line, "how"), MD_STR ("done")))
    return;
  job = find_job (reader, md_str_n (task.data, (size_t)(dot - task.data)));
  if (job == NULL)
    return;
  md_str_copy (index, sizeof index, md_str_n (last + 1, task.len - (size_t)(last + 1 - task.data)));
  run.index = (uint32_t)strtoul (index, NULL, 10);
  run.job = (uint32_t)(job - reader->workload->jobs);
  run.worker = find_or_add_worker (reader, line);
  run.run_time = duration_of (line, "run_ms") + MD_MS / 2; /* the line has whole ms */
  if (run.index >= job->n_tasks)
    return;
  reader->runs
      = grow_array (reader, reader->runs, reader->n_runs, &reader->cap_runs, sizeof *reader->runs);
  if (!reader->out_of_memory)
    reader->runs[reader->n_runs++] = run;
}

static void
read_state (LogReader *reader, MdStr line, bool up)
{
  MdModelWorkload *workload = reader->workload;
  uint32_t worker = find_or_add_worker (reader, line);
  uint32_t cpu = (uint32_t)md_line_number (line, "cpu");

  reader->states = grow_array (reader, reader->states, reader->n_states, &reader->cap_states,
                               sizeof *reader->states);
  if (reader->out_of_memory)
    return;
  if (cpu > 0)
    workload->capacities[worker]
        = (MdResources){ cpu, (uint32_t)md_line_number (line, "memory_mb"), 0 };
  reader->states[reader->n_states++] = (LoggedState){ time_of (reader, line), worker, up };
}

static void
read_line (LogReader *reader, MdStr line)
{
  MdStr event = md_line_value (line, "event");

  if (md_str_equal (event, MD_STR ("run-end")))
    read_run (reader, line);
  else if (md_str_equal (event, MD_STR ("job-answered")))
    read_answer (reader, line);
  else if (md_str_equal (event, MD_STR ("worker-state")))
    read_state (reader, line, md_line_number (line, "state") == MD_WORKER_READY);
  else if (md_str_equal (event, MD_STR ("worker-reached")))
    read_state (reader, line, true);
  else if (md_str_equal (event, MD_STR ("worker-left"))
           || md_str_equal (event, MD_STR ("worker-unreachable")))
    read_state (reader, line, false);
  else if (md_str_equal (event, MD_STR ("log-dropped")))
    reader->workload->missing_lines += (uint64_t)md_line_number (line, "lines");
}

static bool
is_job (MdStr line)
{
  MdStr event = md_line_value (line, "event");

  return md_str_equal (event, MD_STR ("job-admitted"))
         || md_str_equal (event, MD_STR ("job-rejected"));
}

/* Reads the jobs in a first pass, because the runs and answers of a job may precede it if logs
   are concatenated. */
static void
read_lines (LogReader *reader)
{
  MdStr rest = reader->logs;
  MdStr line;
  int64_t ms;
  size_t n = 0;

  reader->start_ms = INT64_MAX;
  while (md_line_next (&rest, &line))
    if (is_job (line) && md_line_time (line, &ms))
      {
        n++;
        reader->start_ms = ms < reader->start_ms ? ms : reader->start_ms;
      }
  if (n == 0)
    return; /* there is no first job, which all times count from */
  for (reader->n_slots = 256; reader->n_slots < 2 * n; reader->n_slots *= 2)
    ;
  reader->slots = calloc (reader->n_slots, sizeof *reader->slots);
  reader->workload->capacities = calloc (MAX_WORKERS, sizeof *reader->workload->capacities);
  reader->out_of_memory = reader->slots == NULL || reader->workload->capacities == NULL;
  for (uint32_t i = 0; !reader->out_of_memory && i < MAX_WORKERS; i++)
    reader->workload->capacities[i] = (MdResources){ DEFAULT_CPU, DEFAULT_MEMORY_MB, 0 };
  for (rest = reader->logs; !reader->out_of_memory && md_line_next (&rest, &line);)
    if (is_job (line))
      read_job (reader, line);
  for (rest = reader->logs; !reader->out_of_memory && md_line_next (&rest, &line);)
    read_line (reader, line);
}

/* ------------------------------------------------------------------ */
/* Speeds                                                             */

static double
log_ratio_of (const LogReader *reader, const LoggedRun *run)
{
  const MdModelJob *job = &reader->workload->jobs[run->job];

  return log ((double)(run->run_time > 0 ? run->run_time : 1)
              / (double)(job->declared_time > 0 ? job->declared_time : MD_MS));
}

/* Separates the speeds of workers from the estimation errors of queues by iteration: each round
   sets both to the mean residuals under the previous values. */
static void
estimate_speeds (LogReader *reader)
{
  const MdModelWorkload *workload = reader->workload;
  md_autofree double *sum = calloc (workload->n_workers + workload->n_queues, sizeof *sum);
  md_autofree double *n = calloc (workload->n_workers + workload->n_queues, sizeof *n);

  reader->log_speed = calloc (workload->n_workers, sizeof *reader->log_speed);
  reader->log_bias = calloc (workload->n_queues, sizeof *reader->log_bias);
  if (sum == NULL || n == NULL || reader->log_speed == NULL || reader->log_bias == NULL)
    {
      reader->out_of_memory = true;
      return;
    }
  for (int round = 0; round < 8; round++)
    {
      memset (sum, 0, (workload->n_workers + workload->n_queues) * sizeof *sum);
      memset (n, 0, (workload->n_workers + workload->n_queues) * sizeof *n);
      for (size_t i = 0; i < reader->n_runs; i++)
        {
          const LoggedRun *run = &reader->runs[i];
          uint32_t q = workload->jobs[run->job].queue;
          double log_ratio = log_ratio_of (reader, run);

          sum[run->worker] += reader->log_bias[q] - log_ratio;
          n[run->worker]++;
          sum[workload->n_workers + q] += log_ratio + reader->log_speed[run->worker];
          n[workload->n_workers + q]++;
        }
      for (uint32_t i = 0; i < workload->n_workers; i++)
        reader->log_speed[i] = n[i] > 0 ? sum[i] / n[i] : 0;
      for (uint32_t q = 0; q < workload->n_queues; q++)
        reader->log_bias[q] = n[workload->n_workers + q] > 0
                                  ? sum[workload->n_workers + q] / n[workload->n_workers + q]
                                  : 0;
    }
}

static int
compare_changes (const void *a, const void *b)
{
  const MdModelChange *x = a;
  const MdModelChange *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return (x->worker > y->worker) - (x->worker < y->worker);
}

/* Returns by how much the logarithm of each worker's speed differs from its mean in each window,
   0 if it differs little or there are too few runs. */
static double *
window_offsets (const LogReader *reader, size_t windows)
{
  const MdModelWorkload *workload = reader->workload;
  double *offset = calloc (windows * workload->n_workers + 1, sizeof *offset);
  md_autofree uint32_t *n = calloc (windows * workload->n_workers + 1, sizeof *n);

  for (size_t i = 0; offset != NULL && n != NULL && i < reader->n_runs; i++)
    {
      const LoggedRun *run = &reader->runs[i];
      size_t place = (size_t)(run->at / SPEED_WINDOW) * workload->n_workers + run->worker;

      if (run->at < 0 || run->at / SPEED_WINDOW >= (MdTime)windows)
        continue;
      offset[place] += reader->log_bias[workload->jobs[run->job].queue] - log_ratio_of (reader, run)
                       - reader->log_speed[run->worker];
      n[place]++;
    }
  for (size_t i = 0; offset != NULL && n != NULL && i < windows * workload->n_workers; i++)
    {
      double mean = n[i] >= MIN_WINDOW_RUNS ? offset[i] / n[i] : 0;

      offset[i] = fabs (mean) > MIN_LOG_OFFSET ? mean : 0;
    }
  return offset;
}

static bool
is_up_at (const LogReader *reader, uint32_t worker, MdTime at)
{
  bool up = true;

  for (size_t i = 0; i < reader->n_states; i++)
    if (reader->states[i].worker == worker && reader->states[i].at <= at)
      up = reader->states[i].up;
  return up;
}

static void
add_change (MdModelWorkload *workload, MdTime at, uint32_t worker, double speed)
{
  workload->changes[workload->n_changes++] = (MdModelChange){ at, worker, speed };
}

static int
compare_states (const void *a, const void *b)
{
  const LoggedState *x = a;
  const LoggedState *y = b;

  return (x->at > y->at) - (x->at < y->at);
}

static void
make_changes (LogReader *reader, const double *offsets, size_t windows)
{
  MdModelWorkload *workload = reader->workload;

  qsort (reader->states, reader->n_states, sizeof *reader->states, compare_states);
  for (uint32_t i = 0; i < workload->n_workers; i++)
    {
      double last = 0;

      add_change (workload, 0, i, is_up_at (reader, i, 0) ? exp (reader->log_speed[i]) : 0);
      for (size_t w = 0; w < windows; w++)
        {
          double offset = offsets[w * workload->n_workers + i];

          if (offset != last && is_up_at (reader, i, (MdTime)w * SPEED_WINDOW))
            add_change (workload, (MdTime)w * SPEED_WINDOW, i, exp (reader->log_speed[i] + offset));
          last = offset;
        }
    }
  for (size_t k = 0; k < reader->n_states; k++)
    if (reader->states[k].at > 0)
      add_change (workload, reader->states[k].at, reader->states[k].worker,
                  reader->states[k].up ? exp (reader->log_speed[reader->states[k].worker]) : 0);
  qsort (workload->changes, workload->n_changes, sizeof *workload->changes, compare_changes);
}

/* ------------------------------------------------------------------ */
/* Work of tasks                                                      */

static void
set_recorded_work (LogReader *reader, const double *offsets, size_t windows)
{
  const MdModelWorkload *workload = reader->workload;

  for (size_t i = 0; i < reader->n_runs; i++)
    {
      const LoggedRun *run = &reader->runs[i];
      size_t w = run->at > 0 ? (size_t)(run->at / SPEED_WINDOW) : 0;
      double offset = w < windows ? offsets[w * workload->n_workers + run->worker] : 0;

      workload->jobs[run->job].work[run->index]
          = (MdTime)((double)run->run_time * exp (reader->log_speed[run->worker] + offset));
    }
}

static void
set_missing_work (LogReader *reader, MdModelJob *job, MdModelRandom *random)
{
  double known = 0;
  uint32_t n = 0;

  for (uint32_t k = 0; k < job->n_tasks; k++)
    {
      known += (double)job->work[k];
      n += job->work[k] > 0;
    }
  if (n == job->n_tasks)
    return;
  reader->workload->unknown_tasks += job->n_tasks - n;
  known = n > 0 ? known / n
                : (double)job->declared_time * exp (reader->log_bias[job->queue])
                      * md_model_log_normal (random, DECLARED_TIME_SIGMA);
  for (uint32_t k = 0; k < job->n_tasks; k++)
    if (job->work[k] == 0)
      job->work[k] = (MdTime)known + 1;
}

static void
set_mean_work (MdModelWorkload *workload)
{
  for (uint32_t q = 0; q < workload->n_queues; q++)
    {
      double sum = 0;
      double n = 0;

      for (uint32_t i = 0; i < workload->n_jobs; i++)
        for (uint32_t k = 0; workload->jobs[i].queue == q && k < workload->jobs[i].n_tasks; k++)
          {
            sum += (double)workload->jobs[i].work[k];
            n++;
          }
      workload->queues[q].mean_work = n > 0 ? sum / n : MD_MS;
    }
}

static int
compare_jobs (const void *a, const void *b)
{
  const MdModelJob *x = a;
  const MdModelJob *y = b;

  return (x->arrival > y->arrival) - (x->arrival < y->arrival);
}

/* Whether a job arrives too long after the first. */
static bool
has_far_times (const LogReader *reader)
{
  for (uint32_t i = 0; i < reader->workload->n_jobs; i++)
    if (reader->workload->jobs[i].arrival > MAX_LENGTH)
      return true;
  return false;
}

static void
complete_workload (LogReader *reader, uint64_t seed)
{
  MdModelWorkload *workload = reader->workload;
  MdModelRandom random = md_model_random (seed);
  size_t windows;
  md_autofree double *offsets = NULL;

  for (uint32_t i = 0; i < workload->n_jobs; i++)
    if (workload->jobs[i].arrival > workload->length)
      workload->length = workload->jobs[i].arrival;
  windows = (size_t)(workload->length / SPEED_WINDOW) + 2;
  estimate_speeds (reader);
  if (!reader->out_of_memory)
    offsets = window_offsets (reader, windows);
  workload->changes = calloc (workload->n_workers * (windows + 1) + reader->n_states + 1,
                              sizeof *workload->changes);
  if (offsets == NULL || workload->changes == NULL)
    {
      reader->out_of_memory = true;
      return;
    }
  set_recorded_work (reader, offsets, windows);
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    set_missing_work (reader, &workload->jobs[i], &random);
  set_mean_work (workload);
  make_changes (reader, offsets, windows);
  qsort (workload->jobs, workload->n_jobs, sizeof *workload->jobs, compare_jobs);
}

int
md_model_read_workload (MdModelWorkload *workload, MdStr logs, uint64_t seed, MdError *error)
{
  LogReader reader = { .workload = workload, .logs = logs };
  bool too_long;

  memset (workload, 0, sizeof *workload);
  workload->recorded = true;
  read_lines (&reader);
  too_long = has_far_times (&reader);
  if (!reader.out_of_memory && !too_long && workload->n_jobs > 0 && reader.n_states > 0)
    complete_workload (&reader, seed);
  log_reader_clear (&reader);
  if (reader.out_of_memory)
    return md_error_set (error, MD_E_MEMORY, "logs", "", "out of memory");
  if (too_long)
    return md_error_set (error, MD_E_INVALID, "logs", "", "the times are more than 48 h apart");
  if (workload->n_jobs == 0)
    return md_error_set (error, MD_E_INVALID, "logs", "", "no job is told of");
  if (reader.n_states == 0)
    return md_error_set (error, MD_E_INVALID, "logs", "", "the logs contain no worker state");
  return MD_OK;
}
