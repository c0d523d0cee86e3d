/* test-dispatch.c -- promises of the dispatch core under random events, checked
   against a model of what the guards and callers saw */

#include "md-private.h"
#include "suite.h"

#include <stdio.h>
#include <unistd.h>

#define JOBS 400
#define MOST_TASKS 12
#define GUARDS 6
#define SLOTS 3

typedef struct
{
  bool sent;         /* at a guard now */
  uint64_t guard;    /* where */
  uint64_t refused;  /* last guard that refused it */
  bool ran;          /* some attempt started or may have started */
  bool ok;           /* answered well */
  uint32_t attempts; /* so far */
  MdTaskResult last; /* of the last attempt */
} Task;

typedef struct
{
  uint32_t n;
  bool submitted;
  bool single;    /* repeatable single request */
  bool finished;  /* a FINISH was seen */
  bool cancelled; /* by its caller */
  MdTime deadline;
  Task tasks[MOST_TASKS];
} Job;

typedef struct
{
  uint64_t id; /* 0 down */
  bool paused;
  bool leaving;
  uint32_t busy;
} Guard;

typedef struct
{
  MdDispatch *core;
  uint64_t random;
  MdTime now;
  Job jobs[JOBS + 1]; /* by key, from 1 */
  Guard guards[GUARDS];
  uint64_t next_guard;
  uint32_t submitted;
  uint32_t starts;
  MdBuf trace;
  MdBuf log; /* starts as replay prints them */
} Model;

static uint32_t
draw (Model *m, uint32_t n)
{
  m->random = m->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(m->random >> 33) % n;
}

static MdKey
key_of (uint32_t job)
{
  return (MdKey){ 0, job };
}

static Guard *
guard_of (Model *m, uint64_t id)
{
  for (int i = 0; i < GUARDS; i++)
    if (m->guards[i].id == id)
      return &m->guards[i];
  return NULL;
}

static void
check_start (Model *m, const MdDispatchDecision *d)
{
  Job *job = &m->jobs[d->key.lo];
  Task *task = &job->tasks[d->u.start.task];
  Guard *guard = guard_of (m, d->u.start.guard);

  ck_assert (job->submitted && !job->finished && !job->cancelled);
  ck_assert (m->now < job->deadline);
  ck_assert (!task->sent && !task->ok);
  if (task->attempts > 0 && task->last != MD_TASK_NOT_RUN)
    ck_assert (job->single && (task->last == MD_TASK_BROKEN || task->last == MD_TASK_UNKNOWN));
  ck_assert_uint_ne (task->refused, d->u.start.guard);
  ck_assert_ptr_nonnull (guard);
  ck_assert (!guard->paused && !guard->leaving);
  ck_assert_uint_lt (guard->busy, SLOTS);
  guard->busy++;
  task->sent = true;
  task->guard = d->u.start.guard;
  task->attempts++;
  m->starts++;
  md_buf_printf (&m->log, "t=%lld decision=start key=%llx task=%u guard=%llu ", (long long)m->now,
                 (unsigned long long)d->key.lo, d->u.start.task,
                 (unsigned long long)d->u.start.guard);
}

static void
check_finish (const Model *m, const MdDispatchDecision *d, Job *job)
{
  bool ran = false;

  (void)m;
  ck_assert (!job->finished);
  job->finished = true;
  for (uint32_t i = 0; i < job->n; i++)
    {
      ran = ran || job->tasks[i].ran || job->tasks[i].sent;
      if (d->u.finish.end == MD_JOB_DONE)
        ck_assert (job->tasks[i].ok);
    }
  if (d->u.finish.end != MD_JOB_DONE && d->u.finish.outcome == MD_OUTCOME_NOT_RUN)
    ck_assert (!ran);
}

static void
drain (Model *m)
{
  MdDispatchDecision d;

  md_trace_drain (&m->trace, m->now);
  while (md_dispatch_next (m->core, m->now, &d))
    switch (d.kind)
      {
      case MD_DISPATCH_START:
        check_start (m, &d);
        break;
      case MD_DISPATCH_FINISH:
        check_finish (m, &d, &m->jobs[d.key.lo]);
        break;
      case MD_DISPATCH_CANCEL:
        ck_assert (m->jobs[d.key.lo].finished || m->jobs[d.key.lo].n > 0);
        break;
      default:
        break;
      }
}

static void
submit (Model *m, uint32_t number)
{
  MdTaskSpec tasks[MOST_TASKS] = { 0 };
  Job *job = &m->jobs[number];
  MdAdmission admission;
  MdJobSpec spec = { .key = key_of (number), .fingerprint = key_of (number) };

  if (!job->submitted)
    {
      job->n = 1 + draw (m, MOST_TASKS);
      job->single = job->n == 1;
      job->deadline = m->now + (MdTime)(1 + draw (m, 40)) * 100 * MD_MS;
    }
  for (uint32_t i = 0; i < job->n; i++)
    tasks[i].declared = 50 * MD_MS * (1 + i % 3);
  spec.customer = draw (m, 2) ? MD_STR ("one") : MD_STR ("two");
  spec.tasks = tasks;
  spec.n_tasks = job->n;
  spec.deadline = job->deadline;
  spec.single_request = spec.repeatable = job->single;
  md_trace_submit (&m->trace, &spec, m->now, 0);
  md_dispatch_submit (m->core, &spec, m->now, 0, &admission);
  if (admission.kind == MD_ADMIT_QUEUED)
    {
      ck_assert (!job->cancelled);
      for (uint32_t i = 0; i < job->n; i++)
        ck_assert_uint_eq (job->tasks[i].attempts, 0);
      job->submitted = true;
      job->finished = false;
    }
  if (admission.kind == MD_ADMIT_ATTACHED)
    ck_assert (!job->finished);
}

static void
end_attempt (Model *m, Task *task, MdTaskResult result)
{
  Guard *guard = guard_of (m, task->guard);

  task->sent = false;
  task->last = result;
  if (result == MD_TASK_NOT_RUN)
    task->refused = task->guard;
  else
    task->ran = true;
  if (guard != NULL)
    guard->busy--;
}

static void
answer (Model *m, uint32_t number, uint32_t index)
{
  static const MdTaskResult bad[]
      = { MD_TASK_FAILED, MD_TASK_BROKEN, MD_TASK_NOT_RUN, MD_TASK_NOT_RUN, MD_TASK_UNKNOWN };
  Job *job = &m->jobs[number];
  Task *task = &job->tasks[index];
  MdTaskResult result = draw (m, 10) ? MD_TASK_OK : bad[draw (m, MD_ARRAY_SIZE (bad))];
  uint64_t guard = task->guard;
  bool open = !job->finished;
  bool kept;

  end_attempt (m, task, result);
  md_trace_answer (&m->trace, guard, key_of (number), index, result, MD_REASON_NONE, 50 * MD_MS,
                   m->now);
  kept = md_dispatch_answer (m->core, guard, key_of (number), index, result, MD_REASON_NONE,
                             50 * MD_MS, m->now);
  ck_assert (kept == (open && result != MD_TASK_NOT_RUN));
  task->ok = kept && result == MD_TASK_OK;
  /* A second copy of the same answer changes nothing. */
  md_trace_answer (&m->trace, guard, key_of (number), index, result, MD_REASON_NONE, 50 * MD_MS,
                   m->now);
  ck_assert (!md_dispatch_answer (m->core, guard, key_of (number), index, result, MD_REASON_NONE,
                                  50 * MD_MS, m->now));
  drain (m);
}

/* Answers the first outstanding attempt from a random place on. */
static void
answer_some (Model *m)
{
  uint32_t first = draw (m, JOBS);

  for (uint32_t k = 0; k < JOBS; k++)
    {
      uint32_t number = 1 + (first + k) % JOBS;

      for (uint32_t i = 0; i < m->jobs[number].n; i++)
        if (m->jobs[number].tasks[i].sent)
          {
            answer (m, number, i);
            return;
          }
    }
}

static void
guard_up (Model *m, Guard *guard)
{
  MdGuardInfo info = { .id = ++m->next_guard, .name = MD_STR ("g"), .slots = SLOTS };

  *guard = (Guard){ .id = info.id };
  md_trace_guard_up (&m->trace, &info, m->now);
  ck_assert_int_eq (md_dispatch_guard_up (m->core, &info, m->now), MD_OK);
}

static void
guard_lost (Model *m, Guard *guard)
{
  uint64_t id = guard->id;

  for (uint32_t j = 1; j <= JOBS; j++)
    for (uint32_t i = 0; i < m->jobs[j].n; i++)
      if (m->jobs[j].tasks[i].sent && m->jobs[j].tasks[i].guard == id)
        end_attempt (m, &m->jobs[j].tasks[i], MD_TASK_UNKNOWN);
  guard->id = 0;
  md_trace_guard_lost (&m->trace, id, m->now);
  md_dispatch_guard_lost (m->core, id, m->now);
}

static void
change_guard (Model *m)
{
  Guard *guard = &m->guards[draw (m, GUARDS)];

  if (guard->id == 0)
    guard_up (m, guard);
  else
    switch (draw (m, 4))
      {
      case 0:
        guard_lost (m, guard);
        break;
      case 1:
        guard->leaving = true;
        md_trace_guard_leaving (&m->trace, guard->id, m->now);
        md_dispatch_guard_leaving (m->core, guard->id, m->now);
        break;
      default:
        guard->paused = !guard->paused;
        md_trace_guard_pause (&m->trace, guard->id, guard->paused, m->now);
        md_dispatch_guard_pause (m->core, guard->id, guard->paused, m->now);
      }
}

static void
random_event (Model *m)
{
  uint32_t number = 1 + draw (m, m->submitted > 0 ? m->submitted : 1);
  uint32_t kind = draw (m, 100);

  m->now += draw (m, 10) * MD_MS;
  if (kind < 10 && m->submitted < JOBS)
    submit (m, ++m->submitted);
  else if (kind < 14)
    submit (m, number < m->submitted ? number : m->submitted);
  else if (kind < 16 && m->jobs[number].submitted)
    {
      md_trace_cancel (&m->trace, key_of (number), m->now);
      md_dispatch_cancel (m->core, key_of (number), m->now);
      m->jobs[number].cancelled = m->jobs[number].cancelled || !m->jobs[number].finished;
    }
  else if (kind < 18)
    change_guard (m);
  else if (kind < 20)
    {
      md_trace_tick (&m->trace, m->now);
      md_dispatch_tick (m->core, m->now);
    }
  else
    answer_some (m);
  drain (m);
}

static void
run_model (Model *m, uint64_t seed)
{
  MdTuning tuning;

  memset (m, 0, sizeof *m);
  m->random = seed;
  md_tuning_default (&tuning);
  m->core = md_dispatch_new (&tuning);
  md_trace_begin (&m->trace);
  for (int i = 0; i < GUARDS; i++)
    guard_up (m, &m->guards[i]);
  md_trace_serve (&m->trace, 0, 0);
  md_dispatch_serve (m->core, 0, 0);
  for (int i = 0; i < 6000; i++)
    random_event (m);
}

static void
end_model (Model *m)
{
  MdDispatchStats stats;

  /* With every deadline past all jobs must have ended. */
  m->now += 10 * MD_SECOND;
  md_dispatch_tick (m->core, m->now);
  drain (m);
  for (uint32_t j = 1; j <= JOBS; j++)
    ck_assert (!m->jobs[j].submitted || m->jobs[j].finished);
  /* With every guard gone nothing is busy, and after the horizon nothing known. */
  for (int i = 0; i < GUARDS; i++)
    if (m->guards[i].id != 0)
      guard_lost (m, &m->guards[i]);
  m->now += 1000 * MD_SECOND;
  md_dispatch_tick (m->core, m->now);
  drain (m);
  md_dispatch_stats (m->core, &stats);
  ck_assert_uint_eq (stats.busy + stats.jobs + stats.waiting_tasks, 0);
  ck_assert_uint_gt (m->starts, 500);
  md_dispatch_free (m->core);
  md_buf_clear (&m->trace);
  md_buf_clear (&m->log);
}

/* Guards against every broken promise the model checks: a task started twice or
   after its job ended, an incomplete job called done, a false not_run, a start on
   a guard that may not get one, a slot that is never freed. */
START_TEST (test_promises)
{
  Model *m = malloc (sizeof *m);

  run_model (m, (uint64_t)_i + 1);
  end_model (m);
  free (m);
}
END_TEST

/* Reads back what replay printed and compares the starts with those of the run. */
static void
compare_starts (FILE *out, const MdBuf *log)
{
  char line[512];
  const char *expected = log->data;

  rewind (out);
  while (fgets (line, sizeof line, out) != NULL)
    {
      char *end = strstr (line, "attempt=");

      if (strstr (line, "decision=start") == NULL || end == NULL)
        continue;
      *end = '\0';
      ck_assert (strncmp (expected, line, strlen (line)) == 0);
      expected += strlen (line);
    }
  ck_assert_str_eq (expected, "");
}

/* Guards against a trace that leaves out an input, or a decision that depends on
   anything but the inputs. */
START_TEST (test_replay_repeats)
{
  Model *m = malloc (sizeof *m);
  char path[] = "/tmp/md-trace-XXXXXX";
  const char *args[] = { "replay", path, NULL };
  int fd = mkstemp (path);
  FILE *out = tmpfile ();
  int saved = dup (STDOUT_FILENO);

  run_model (m, 99);
  ck_assert_int_eq (write (fd, m->trace.data, m->trace.len), (ssize_t)m->trace.len);
  fflush (stdout);
  dup2 (fileno (out), STDOUT_FILENO);
  ck_assert_int_eq (md_replay_main (2, args), MD_EXIT_OK);
  fflush (stdout);
  dup2 (saved, STDOUT_FILENO);
  compare_starts (out, &m->log);
  fclose (out);
  close (fd);
  close (saved);
  unlink (path);
  end_model (m);
  free (m);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("dispatch");

  tcase_add_loop_test (tc, test_promises, 0, 12);
  tcase_add_test (tc, test_replay_repeats);
  return run_suite ("dispatch", tc);
}
