/* test-load.c -- the decisions of sched/ under the worst load, without I/O

   A small model: several entries take jobs of three queues for eleven workers of unlike
   speed and size, with reports that are 4 to 8 ms old and estimates that are off by a
   log-normal factor of sigma 0.4. Each load pattern is played three times with the same
   jobs: by the decisions as the daemons use them; by one entry that sees every worker at
   once, with the same estimates; and by a baseline (the emptier of two random workers,
   no admission). The target of the project: at least 0.95 of the worth of the one entry,
   and more than the baseline.

   Guards against a policy that loses its gain when the backlog is seen in parts. */

#include "run-sched.h"

#include <check.h>
#include <math.h>
#include <stdio.h>

#define WORKERS 11
#define MAX_ENTRIES 4
#define QUEUES 3
#define STEP (1 * MD_MS) /* of the model's clock */
#define HOP (2 * MD_MS)  /* one way between entry and guard */
#define REPORT_EVERY (4 * MD_MS)
#define LENGTH (14 * MD_SECOND) /* arrivals; runs end later */
#define MAX_JOBS 4096
#define MAX_TASKS 32

typedef enum
{
  POLICY_DAEMONS,
  POLICY_BASELINE,
} Policy;

typedef struct
{
  const char *name;
  Policy policy;
  unsigned entries;
  MdTime hop;   /* age of what an entry sees */
  double burst; /* factor on all arrivals from second 4 to 8 */
  int burst_of; /* queue that the burst is of, -1 all */
  double slow;  /* two workers take so many times as long from second 5 to 12 */
} Play;

typedef struct
{
  double rate;   /* jobs a second */
  double tasks;  /* mean */
  MdTime work;   /* mean, at speed 1 */
  unsigned most; /* tasks */
} Queue;

/* Two thirds busy on the fleet below; each queue is worth the same in all. */
static const Queue queues[QUEUES]
    = { { 34, 8, 60 * MD_MS, 32 }, { 6, 4, 900 * MD_MS, 16 }, { 100, 2, 200 * MD_MS, 8 } };

typedef struct
{
  MdTime arrived;
  MdTime goal;  /* true */
  MdTime limit; /* true */
  unsigned entry;
  unsigned queue;
  unsigned left; /* tasks */
} Job;

typedef struct Task Task;

struct Task
{
  MdRun run; /* first */
  Task *next;
  Job *job;
  unsigned worker;
  unsigned entry;
  MdTime sent;
  MdTime work; /* true, at speed 1 */
  MdTime ends; /* 0 not started */
};

typedef struct
{
  MdRunQueue queue;
  double speed;
  Task *coming;
} Guard;

typedef struct
{
  MdWorker worker[WORKERS];
  MdWorker *list[WORKERS];
  MdWorkers all;
  MdDemand demand[QUEUES];
} Entry;

static struct
{
  const Play *play;
  MdTime now;
  uint64_t random; /* of the jobs, which are the same in every play */
  uint64_t choice; /* of the baseline's placements */
  Guard guards[WORKERS];
  Entry entries[MAX_ENTRIES];
  Job jobs[MAX_JOBS];
  unsigned n_jobs;
  double worth;
  double owed;
} m;

static uint64_t
next_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

static double
uniform (void)
{
  return (double)(next_random (&m.random) >> 11) / 9007199254740992.0;
}

static double
log_normal (double sigma)
{
  return exp (sigma * sqrt (-2 * log (uniform () + 1e-12)) * cos (6.283185307179586 * uniform ()));
}

/* ------------------------------------------------------------------ */
/* Fleet                                                              */

static void
set_up (const Play *play)
{
  static const double speeds[] = { 1.43, 1.43, 0.59 };
  static const double sizes[] = { 1, 1, 1.5 };

  memset (&m, 0, sizeof m);
  m.play = play;
  m.random = 88172645463325252u;
  m.choice = 88172645463325252u;
  for (unsigned i = 0; i < WORKERS; i++)
    {
      MdRoom room = { (uint32_t)(64000 * sizes[i / 3 % 3]), 262144, 0 };

      m.guards[i].speed = speeds[i % 3];
      m.guards[i].queue.open = true;
      md_runqueue_set_room (&m.guards[i].queue, room);
      for (unsigned e = 0; e < play->entries; e++)
        {
          MdWorker *worker = &m.entries[e].worker[i];

          worker->state = MD_WORKER_READY;
          worker->connected = true;
          worker->capacity = worker->free = room;
          worker->speed = 1;
          worker->bias = (MdTime)((i * 7 + e * 5) % 11) * MD_MS;
          md_str_copy (worker->service, sizeof worker->service, MD_STR ("calc"));
          m.entries[e].list[i] = worker;
          m.entries[e].all = (MdWorkers){ m.entries[e].list, WORKERS, 1.5 };
        }
    }
}

static double
speed_now (unsigned i)
{
  bool slow = i < 2 && m.now >= 5 * MD_SECOND && m.now < 12 * MD_SECOND;

  return m.guards[i].speed / (slow ? m.play->slow : 1);
}

static void
start_tasks (unsigned i)
{
  Guard *guard = &m.guards[i];

  for (MdRun *run; (run = md_runqueue_next (&guard->queue, m.now)) != NULL;)
    ((Task *)run)->ends = m.now + (MdTime)((double)((Task *)run)->work / speed_now (i));
}

static void
end_task (Task *task)
{
  Guard *guard = &m.guards[task->worker];
  Job *job = task->job;
  MdTime answered = m.now + m.play->hop;

  md_runqueue_learn (&guard->queue, &task->run, m.now - task->run.started_at, m.now);
  md_runqueue_remove (&guard->queue, &task->run, m.now);
  if (--job->left == 0 && answered <= job->limit)
    m.worth += (answered <= job->goal ? 1.0 : 0.2) / queues[job->queue].rate;
  free (task);
}

static void
run_guard (unsigned i)
{
  Guard *guard = &m.guards[i];

  for (Task **place = &guard->coming; *place != NULL;)
    {
      Task *task = *place;

      if (task->sent + m.play->hop > m.now)
        {
          place = &task->next;
          continue;
        }
      *place = task->next;
      md_runqueue_add (&guard->queue, &task->run, m.now);
    }
  for (MdRun *run = guard->queue.running.first, *next; run != NULL; run = next)
    {
      next = run->next;
      if (((Task *)run)->ends <= m.now)
        end_task ((Task *)run);
    }
  start_tasks (i);
}

/* What a guard reports, less what is on its way to it. */
static void
report (unsigned i, unsigned e)
{
  Guard *guard = &m.guards[i];
  MdWorker *worker = &m.entries[e].worker[i];

  worker->free = guard->queue.free;
  worker->wait = md_runqueue_wait (&guard->queue, m.now);
  worker->next_end = md_runqueue_next_end (&guard->queue, m.now);
  worker->speed = md_runqueue_speed (&guard->queue, m.now);
  worker->stalled = md_runqueue_stalled (&guard->queue, m.now);
  worker->reported_at = m.now;
  for (const Task *task = guard->coming; task != NULL; task = task->next)
    if (task->entry == e)
      md_worker_reserve (worker, task->run.need, (MdTime)(task->run.work / worker->speed));
}

/* ------------------------------------------------------------------ */
/* Entries                                                            */

static void
send_task (Job *job, const MdTaskNeed *need, MdTime work, MdWorker *worker, MdTime slack)
{
  Task *task = calloc (1, sizeof *task);
  unsigned i = (unsigned)(worker - m.entries[job->entry].worker);

  ck_assert_ptr_nonnull (task);
  task->run.need = need->need;
  task->run.work = need->work;
  task->run.start_by = m.now + slack;
  task->job = job;
  task->worker = i;
  task->entry = job->entry;
  task->sent = m.now;
  task->work = work;
  task->next = m.guards[i].coming;
  m.guards[i].coming = task;
}

static bool
admit (Entry *entry, const MdTaskNeed *need, unsigned count, unsigned queue)
{
  MdWorker saved[WORKERS];
  const MdDemand *demands[QUEUES] = { &entry->demand[0], &entry->demand[1], &entry->demand[2] };
  MdForecast forecast = { .goal = need->goal, .limit = need->limit };

  md_demand_add (&entry->demand[queue], need->work * count, m.now);
  forecast.demand = md_demand_ratio (demands, QUEUES, &entry->demand[queue], m.now);
  forecast.wait = md_place_backlog (&entry->all, need, m.now);
  memcpy (saved, entry->worker, sizeof saved);
  for (unsigned k = 0; k < count; k++)
    {
      MdPlacement p = md_place (&entry->all, need, NULL, NULL, m.now);

      if (p.wait + p.run > forecast.finish)
        forecast.finish = p.wait + p.run;
      md_worker_reserve (p.worker, need->need, p.run);
    }
  memcpy (entry->worker, saved, sizeof saved);
  return md_admit_run (&forecast) != MD_ADMIT_NEVER;
}

static MdPlacement
place_at_random (Entry *entry, const MdTaskNeed *need)
{
  MdWorker *a = &entry->worker[next_random (&m.choice) % WORKERS];
  MdWorker *b = &entry->worker[next_random (&m.choice) % WORKERS];
  MdWorker *worker = a->free.cpu >= b->free.cpu ? a : b;

  return (MdPlacement){ worker, 0, (MdTime)(need->work / worker->speed) };
}

static void
arrive (unsigned q)
{
  const Queue *queue = &queues[q];
  unsigned count = (unsigned)fmin (queue->most, fmax (1, queue->tasks * log_normal (0.4)));
  MdTime work = (MdTime)((double)queue->work * fmin (4, log_normal (0.4)));
  double estimate = (double)work * log_normal (0.4);
  unsigned e = (unsigned)(uniform () * MAX_ENTRIES) % m.play->entries;
  Entry *entry = &m.entries[e];
  Job *job = &m.jobs[m.n_jobs++];
  MdTime works[MAX_TASKS];
  MdTaskNeed need
      = { .service = "calc", .requirement = "", .affinity = "", .need = { 6200, 64, 0 } };

  ck_assert_uint_lt (m.n_jobs, MAX_JOBS);
  /* Half of the error is known to be error, as the entry learns from its queue. */
  need.work = sqrt (estimate * (double)queue->work);
  need.goal = (MdTime)(1.6 * need.work) + 60 * MD_MS;
  need.limit = 3 * need.goal < 1500 * MD_MS ? 3 * need.goal : 1500 * MD_MS;
  *job = (Job){ .arrived = m.now, .entry = e, .queue = q, .left = count };
  job->goal = m.now + (MdTime)(1.6 * (double)work) + 60 * MD_MS;
  job->limit = m.now + (MdTime)(4.8 * (double)work) + 180 * MD_MS;
  if (job->limit > m.now + 1500 * MD_MS)
    job->limit = m.now + 1500 * MD_MS;
  m.owed += 1 / queue->rate;
  for (unsigned k = 0; k < count; k++)
    works[k] = (MdTime)((double)work * log_normal (0.15));
  if (m.play->policy == POLICY_DAEMONS && !admit (entry, &need, count, q))
    return;
  for (unsigned k = 0; k < count; k++)
    {
      MdPlacement p = m.play->policy == POLICY_DAEMONS
                          ? md_place (&entry->all, &need, NULL, NULL, m.now)
                          : place_at_random (entry, &need);

      md_worker_reserve (p.worker, need.need, p.run);
      send_task (job, &need, works[k], p.worker,
                 m.play->policy == POLICY_DAEMONS ? need.goal - p.run : MD_SECOND);
    }
}

static double
rate_now (unsigned q)
{
  bool burst = m.now >= 4 * MD_SECOND && m.now < 8 * MD_SECOND
               && (m.play->burst_of < 0 || (unsigned)m.play->burst_of == q);

  return m.now < LENGTH ? queues[q].rate * (burst ? m.play->burst : 1) : 0;
}

/* Share of the worth that was owed. */
static double
play (const Play *how)
{
  set_up (how);
  for (m.now = 0; m.now < LENGTH + 4 * MD_SECOND; m.now += STEP)
    {
      for (unsigned i = 0; i < WORKERS; i++)
        run_guard (i);
      for (unsigned i = 0; i < WORKERS; i++)
        for (unsigned e = 0; e < how->entries; e++)
          if (how->hop == 0 || m.now / STEP % (REPORT_EVERY / STEP) == (i + e) % 4)
            report (i, e);
      /* At most one arrival of a queue a step: the rates are far below that. */
      for (unsigned q = 0; q < QUEUES; q++)
        if (uniform () < rate_now (q) * (double)STEP / (double)MD_SECOND)
          arrive (q);
    }
  printf ("%-28s worth %.3f of %u jobs\n", how->name, m.worth / m.owed, m.n_jobs);
  return m.worth / m.owed;
}

static void
compare (const char *name, double burst, int burst_of, double slow)
{
  char names[3][64];
  Play daemons = { names[0], POLICY_DAEMONS, MAX_ENTRIES, HOP, burst, burst_of, slow };
  Play single = { names[1], POLICY_DAEMONS, 1, 0, burst, burst_of, slow };
  Play baseline = { names[2], POLICY_BASELINE, MAX_ENTRIES, HOP, burst, burst_of, slow };
  double ours;

  snprintf (names[0], sizeof names[0], "%s, four entries", name);
  snprintf (names[1], sizeof names[1], "%s, one entry", name);
  snprintf (names[2], sizeof names[2], "%s, baseline", name);
  ours = play (&daemons);
  ck_assert_double_ge (ours, 0.95 * play (&single));
  ck_assert_double_gt (ours, play (&baseline));
}

START_TEST (calm_load)
{
  compare ("calm", 1, -1, 1);
}
END_TEST

START_TEST (burst_of_all_queues)
{
  compare ("burst of 1.3", 1.3, -1, 1);
}
END_TEST

START_TEST (burst_beyond_the_workers)
{
  compare ("burst of 1.9", 1.9, -1, 1);
}
END_TEST

START_TEST (burst_of_long_tasks)
{
  compare ("burst of long tasks", 1.9, 1, 1);
}
END_TEST

START_TEST (slow_workers)
{
  compare ("two slow workers", 1.2, -1, 6.5);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tc = tcase_create ("load");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 240);
  tcase_add_test (tc, calm_load);
  tcase_add_test (tc, burst_of_all_queues);
  tcase_add_test (tc, burst_beyond_the_workers);
  tcase_add_test (tc, burst_of_long_tasks);
  tcase_add_test (tc, slow_workers);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
