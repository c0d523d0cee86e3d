/* test-locality.c -- how long a wait for a near place pays

   Each test states the load pattern or the failure it guards against. */

#include "fixture.h"
#include "locality.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* A task of 100 ms near and 150 ms far, with a goal of 220 ms. */
static MdLocalityInput
input (MdTime near_wait, MdTime far_wait)
{
  return (MdLocalityInput){ .near = { true, near_wait, 100 * MD_MS },
                            .far = { true, far_wait, 150 * MD_MS },
                            .goal = 220 * MD_MS,
                            .limit = 660 * MD_MS };
}

static MdLocalityChoice
choice (const MdLocalityInput *in)
{
  return md_locality_decide (in).choice;
}

/* Load pattern: a quiet pool. Guards against a task that runs 50 ms longer to save a wait of 20 ms,
   and against one that waits 60 ms to save 50 ms. */
START_TEST (quiet_pool_compares_wait_and_run_time)
{
  MdLocalityInput in = input (0, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  in = input (20 * MD_MS, 0);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  ck_assert_int_eq (md_locality_decide (&in).saved, 50 * MD_MS);
  in = input (60 * MD_MS, 0);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* All are busy: the difference of the waits counts. */
  in = input (60 * MD_MS, 30 * MD_MS);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
}
END_TEST

/* Load pattern: a peak. Guards against longer runs that take capacity from jobs that wait. */
START_TEST (pressure_makes_a_longer_wait_pay)
{
  MdLocalityInput in = input (70 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.pressure = 1;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  ck_assert_double_eq (md_locality_pressure (16000, 16000), 0);
  ck_assert_double_eq (md_locality_pressure (16000, 6000), 0);
  ck_assert_double_eq_tol (md_locality_pressure (16000, 2400), 0.5, 1e-9);
  ck_assert_double_eq (md_locality_pressure (16000, 0), 1);
  ck_assert_double_eq (md_locality_pressure (0, 0), 1);
  /* A worker reported more free than it has. */
  ck_assert_double_eq (md_locality_pressure (16000, 17000), 0);
}
END_TEST

/* Load pattern: a rack that many jobs want, beside free ones. Guards against a queue there that
   each further task makes longer for the next. */
START_TEST (hot_rack_costs_those_that_wait)
{
  MdLocalityInput in = input (30 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  /* 40 slots on each of four racks; three tasks wait for this one. */
  in.hotness = md_locality_hotness (3, 64000, 3, 256000, 1600);
  ck_assert_double_eq_tol (in.hotness, 3 * 0.75 / 40, 1e-9);
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* A free place there delays nobody. */
  in.near.wait = 0;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  /* As many wait everywhere, or fewer here. */
  ck_assert_double_eq (md_locality_hotness (3, 64000, 12, 256000, 1600), 0);
  ck_assert_double_eq (md_locality_hotness (2, 64000, 12, 256000, 1600), 0);
  ck_assert_double_eq (md_locality_hotness (0, 0, 0, 0, 1600), 0);
}
END_TEST

/* Guards against a wait that costs the goal: the time until which it lasts leaves enough for the
   far place. */
START_TEST (goal_can_be_met_far_when_the_wait_ends)
{
  MdLocalityInput in = input (40 * MD_MS, 0);
  MdTime wait_for;

  in.pressure = 1;
  in.goal = 190 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  wait_for = md_locality_decide (&in).wait_for;
  ck_assert_int_gt (wait_for, 0);
  ck_assert_int_le (wait_for + in.far.run_time * 105 / 100, in.goal);
  for (MdTime goal = 0; goal < 500 * MD_MS; goal += MD_MS / 2)
    for (MdTime wait = 0; wait < 200 * MD_MS; wait += 10 * MD_MS)
      {
        MdLocalityDecision decision;

        in = input (wait, 10 * MD_MS);
        in.pressure = 1;
        in.goal = goal;
        decision = md_locality_decide (&in);
        if (decision.choice != MD_LOCALITY_WAIT)
          continue;
        ck_assert_int_ge (decision.wait_for, 1);
        ck_assert (decision.wait_for == 1
                   || decision.wait_for + in.far.wait + in.far.run_time <= goal);
        ck_assert_int_le (decision.wait_for, wait * 3 / 2);
      }
}
END_TEST

/* Guards against a goal that is missed for a near place, or for the core time of others. */
START_TEST (place_that_meets_the_goal_is_taken)
{
  MdLocalityInput in = input (60 * MD_MS, 0);

  in.pressure = 1;
  in.goal = 170 * MD_MS; /* 60 ms of wait may be 90 */
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in = input (30 * MD_MS, 0);
  in.goal = 155 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  ck_assert_int_eq (md_locality_decide (&in).wait_for, 0);
  /* Late in any case: the sooner end, without a time to decide again. */
  in.goal = 0;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  in.near.wait = 70 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  /* In time far, but worth nothing if the run takes twice its estimate. */
  in = input (45 * MD_MS, 0);
  in.near.run_time = 110 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.limit = 299 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
}
END_TEST

/* Failures: the rack is lost, or its reports stop. Guards against a task that waits for a worker of
   which nothing is known. */
START_TEST (lost_rack_is_no_near_place)
{
  MdLocalityInput in = input (10 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  in.near.exists = false;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  ck_assert (md_locality_is_recent (600 * MD_MS));
  ck_assert (!md_locality_is_recent (601 * MD_MS));
  /* Only the rack is left. */
  in = input (500 * MD_MS, 0);
  in.far.exists = false;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_NEAR);
  ck_assert_int_eq (md_locality_decide (&in).saved, 0);
}
END_TEST

/* Guards against a group that one task makes slow as a whole. */
START_TEST (group_counts_all_its_tasks)
{
  MdLocalityInput in = input (70 * MD_MS, 0);

  in.pressure = 0.2;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.group = 7;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  in.hotness = 1;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
  /* The goal can only be met far: the rack has too few slots for the group. */
  in.goal = 170 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
}
END_TEST

/* Guards against a run that moves to and fro between places that are nearly equal. */
START_TEST (wait_that_has_begun_is_kept_for_small_gains)
{
  MdLocalityInput in = input (60 * MD_MS, 0);

  ck_assert_int_eq (choice (&in), MD_LOCALITY_FAR);
  in.gain = 15 * MD_MS;
  ck_assert_int_eq (choice (&in), MD_LOCALITY_WAIT);
}
END_TEST

/* Guards against decisions that are not made when the queue changes, and against a decision with
   each report. */
START_TEST (queue_that_changes_by_a_quarter_is_looked_at)
{
  ck_assert (!md_locality_queue_changed (40 * MD_MS, 49 * MD_MS));
  ck_assert (md_locality_queue_changed (40 * MD_MS, 50 * MD_MS));
  ck_assert (!md_locality_queue_changed (40 * MD_MS, 31 * MD_MS));
  ck_assert (md_locality_queue_changed (40 * MD_MS, 30 * MD_MS));
  ck_assert (!md_locality_queue_changed (4 * MD_MS, 8 * MD_MS));
  ck_assert (!md_locality_queue_changed (0, 0));
}
END_TEST

/* Guards against a run at the head of the queue that is taken for the last, and against one behind
   a run of seven times its estimate that seems to start at any moment. */
START_TEST (remaining_wait_follows_the_queue)
{
  /* As predicted; others queue behind it at the rate at which it moves forward, or none do. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 50 * MD_MS, 40 * MD_MS),
                    30 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 50 * MD_MS, 20 * MD_MS),
                    20 * MD_MS);
  /* The queue has grown. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 40 * MD_MS, 80 * MD_MS),
                    80 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 10 * MD_MS, 60 * MD_MS, 70 * MD_MS),
                    50 * MD_MS);
  /* It should have started. */
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 50 * MD_MS, 50 * MD_MS, 200 * MD_MS),
                    200 * MD_MS);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 40 * MD_MS, 50 * MD_MS, 0), 0);
  ck_assert_int_eq (md_locality_remaining (40 * MD_MS, 90 * MD_MS, 50 * MD_MS, 20 * MD_MS),
                    50 * MD_MS);
}
END_TEST

/* ------------------------------------------------------------------ */
/* A pool under load                                                  */

/* Four racks of four workers with the queues of their guards, and one entry that sees them at once.
   Each task prefers a rack and is a job of its own; kinds and run times are those of the sites. */

#define RACKS 4
#define POOL 16
#define PLAY_TIME (34 * MD_SECOND) /* two waves */
#define WAVE_TIME (17 * MD_SECOND)
#define PLAY_STEP MD_MS
#define MAX_LIVE 8192

typedef enum
{
  RULE_SOONEST_END, /* as before: a free place that meets the goal, else the sooner end */
  RULE_FIXED,       /* wait near for up to 20 ms */
  RULE_SAVED,       /* wait near for up to the run time that it saves */
  RULE_COST,        /* md_locality_decide, decided again every 10 ms where that is due */
} Rule;

typedef struct
{
  MdRun run;
  unsigned worker;
  unsigned rack;
  MdTime declared;
  double factor; /* true run time near over the declared one */
  MdTime goal;
  MdTime limit;
  MdTime placed_at;
  MdTime expected_wait;
  MdTime until; /* it waits for its rack until then, 0: it does not */
  MdTime queue;
  MdTime first_queue;
  bool moved;
  bool is_near;
} Task;

typedef struct
{
  Rule rule;
  double load;    /* mean, share of the capacity if all run near */
  double wave;    /* amplitude as a share of the mean */
  double hot;     /* share of tasks that prefer rack 0; the others are spread evenly */
  MdTime lost_at; /* rack 1 is lost at this time, with its runs; 0: never */
  uint64_t random;
  MdRunQueue queues[POOL];
  MdWorker workers[POOL];
  MdWorker *list[POOL];
  MdWorkers all;
  Task *tasks[MAX_LIVE];
  unsigned live;
  unsigned in_time;
  unsigned late;
  unsigned rejected;
  unsigned near;
  unsigned waits;
  unsigned given_up;
  MdTime core_time;
} Play;

static double
draw (Play *play)
{
  play->random = play->random * 6364136223846793005u + 1442695040888963407u;
  return (double)(play->random >> 11) * 0x1p-53;
}

static double
draw_normal (Play *play)
{
  return sqrt (-2 * log (1 - draw (play))) * cos (6.283185307179586 * draw (play));
}

/* The entry's view, as from reports that have just arrived. */
static void
look (Play *play, MdTime now)
{
  for (unsigned i = 0; i < POOL; i++)
    {
      MdWorker *worker = &play->workers[i];

      worker->free = play->queues[i].free;
      worker->wait = md_runqueue_expected_wait (&play->queues[i], now);
      worker->next_end = md_runqueue_next_end (&play->queues[i], now);
      worker->reported_at = worker->connected ? now : worker->reported_at;
    }
}

static MdTaskRequirements
need_of (const Task *task, MdTime now)
{
  static const char *const racks[RACKS] = { "rack-0", "rack-1", "rack-2", "rack-3" };

  return (MdTaskRequirements){ .pool = MD_STR ("calc"),
                               .affinity = md_str (racks[task->rack]),
                               .resources = { 1500, 64, 0 },
                               .work = (double)task->declared,
                               .goal = task->goal - now,
                               .limit = task->limit - now };
}

static MdLocalityInput
input_of (const MdNearFar *places, const MdTaskRequirements *need)
{
  return (MdLocalityInput){
    .near = { places->near.worker != NULL, places->near.wait, places->near.run_time },
    .far = { places->far.worker != NULL, places->far.wait, places->far.run_time },
    .goal = need->goal,
    .limit = need->limit,
    .pressure = md_locality_pressure (places->capacity_cpu, places->free_cpu),
    .hotness = md_locality_hotness (places->near_waiting, places->near_cpu, places->waiting,
                                    places->capacity_cpu, 1500),
  };
}

static void
send (Play *play, Task *task, const MdPlacement *placement, const MdTaskRequirements *need,
      MdTime wait_for, MdTime now)
{
  MdWorker *worker = placement->worker;

  task->worker = (unsigned)(worker - play->workers);
  task->is_near = task->worker / (POOL / RACKS) == task->rack;
  task->placed_at = now;
  task->expected_wait = placement->wait;
  task->run = (MdRun){ .id = task->run.id,
                       .job = task->run.id,
                       .resources = need->resources,
                       .work = need->work,
                       .start_by = task->goal - placement->run_time,
                       .data = task };
  md_runqueue_add (&play->queues[task->worker], &task->run, now);
  look (play, now);
  task->until = wait_for > 0 ? now + wait_for : 0;
  task->queue = task->first_queue = md_place_at (&play->all, worker, need, now).wait;
  worker->near_waiting += wait_for > 0;
  play->waits += wait_for > 0;
}

static void
place (Play *play, Task *task, MdTime now)
{
  MdTaskRequirements need = need_of (task, now);
  MdNearFar places = md_place_near_far (&play->all, &need, NULL, NULL, now);
  MdPlacement placement = md_place (&play->all, &need, NULL, NULL, now);
  MdTime wait_for = 0;

  if (places.near.worker != NULL && places.far.worker != NULL)
    {
      MdTime saved = places.far.run_time - places.near.run_time;
      MdLocalityInput in = input_of (&places, &need);
      MdLocalityDecision decision = md_locality_decide (&in);

      switch (play->rule)
        {
        case RULE_SOONEST_END:
          break;
        case RULE_FIXED:
        case RULE_SAVED:
          if (places.near.wait <= (play->rule == RULE_FIXED ? 20 * MD_MS : saved))
            placement = places.near;
          break;
        case RULE_COST:
          placement = decision.choice == MD_LOCALITY_FAR ? places.far : places.near;
          wait_for = decision.wait_for;
          break;
        }
    }
  send (play, task, &placement, &need, wait_for, now);
}

static void
end_wait (Play *play, Task *task)
{
  if (task->until == 0)
    return;
  task->until = 0;
  play->workers[task->worker].near_waiting--;
}

/* Decides again on a task that waits for its rack. */
static void
check (Play *play, Task *task, MdTime now)
{
  MdWorker *worker = &play->workers[task->worker];
  MdTaskRequirements need = need_of (task, now);
  MdTime queue = md_place_at (&play->all, worker, &need, now).wait;
  MdNearFar places;
  MdLocalityInput in;
  MdLocalityDecision decision;

  if (now < task->until && !md_locality_queue_changed (task->queue, queue))
    return;
  places = md_place_near_far (&play->all, &need, NULL, worker, now);
  if (places.far.worker == NULL)
    return;
  places.near.worker = worker;
  places.near.wait = md_locality_remaining (task->expected_wait, now - task->placed_at,
                                            task->first_queue, queue);
  places.near.run_time = task->declared;
  places.near_waiting--;
  places.waiting--;
  in = input_of (&places, &need);
  in.gain = 15 * MD_MS;
  decision = md_locality_decide (&in);
  task->queue = queue;
  task->until = now + (decision.wait_for > 0 ? decision.wait_for : 20 * MD_MS);
  if (decision.choice != MD_LOCALITY_FAR)
    return;
  play->given_up++;
  end_wait (play, task);
  md_runqueue_remove (&play->queues[task->worker], &task->run, now);
  send (play, task, &places.far, &need, 0, now);
}

static void
arrive (Play *play, MdTime now)
{
  static const MdTime kinds[14] = { 51, 51, 51, 51, 51, 51, 51, 51, 170, 170, 760, 760, 760, 760 };
  Task *task = calloc (1, sizeof *task);
  MdForecast forecast = { .demand = 1 };
  MdTaskRequirements need;
  MdPlacement placement;

  ck_assert_ptr_nonnull (task);
  ck_assert_uint_lt (play->live, MAX_LIVE);
  task->run.id = play->random;
  task->declared = kinds[(unsigned)(draw (play) * 14)] * MD_MS;
  task->factor = exp (0.4 * draw_normal (play)) * (draw (play) < 0.03 ? 7 : 1);
  task->rack = draw (play) < play->hot ? 0 : (unsigned)(draw (play) * RACKS);
  task->goal = now + task->declared * 16 / 10 + 52 * MD_MS;
  task->limit = now + 3 * (task->declared * 16 / 10 + 60 * MD_MS);
  need = need_of (task, now);
  placement = md_place (&play->all, &need, NULL, NULL, now);
  forecast.wait = md_place_backlog (&play->all, &need, now);
  forecast.finish = placement.wait + placement.run_time;
  forecast.goal = need.goal;
  forecast.limit = need.limit;
  if (placement.worker == NULL || md_admit_run (&forecast) == MD_ADMIT_REJECT)
    {
      play->rejected++;
      free (task);
      return;
    }
  play->tasks[play->live++] = task;
  place (play, task, now);
}

/* Lets a number of tasks arrive that is Poisson distributed. */
static void
arrive_many (Play *play, double expected, MdTime now)
{
  double p = draw (play);

  while (p > exp (-expected))
    {
      arrive (play, now);
      p *= draw (play);
    }
}

static void
end_task (Play *play, unsigned i, MdTime now)
{
  Task *task = play->tasks[i];

  md_runqueue_remove (&play->queues[task->worker], &task->run, now);
  end_wait (play, task);
  play->in_time += now <= task->goal;
  play->late += now > task->goal;
  play->near += task->is_near;
  play->tasks[i] = play->tasks[--play->live];
  free (task);
}

static void
run_tasks (Play *play, MdTime now)
{
  for (unsigned i = 0; i < play->live;)
    {
      Task *task = play->tasks[i];
      double time = (double)task->declared * task->factor * (task->is_near ? 1 : 1.5);

      if (task->run.state == MD_RUN_WAITING || now < task->run.started_at + (MdTime)time)
        {
          i++;
          continue;
        }
      play->core_time += (MdTime)(time * 1.5);
      end_task (play, i, now);
    }
  for (unsigned i = 0; i < POOL; i++)
    for (MdRun *run; (run = md_runqueue_next (&play->queues[i], now)) != NULL;)
      {
        run->state = MD_RUN_RUNNING;
        end_wait (play, run->data);
      }
}

static void
lose_rack (Play *play, MdTime now)
{
  for (unsigned i = 0; i < POOL; i++)
    if (i / (POOL / RACKS) == 1)
      play->workers[i].connected = false;
  for (unsigned i = 0; i < play->live;)
    if (play->tasks[i]->worker / (POOL / RACKS) == 1)
      {
        play->tasks[i]->goal = 0; /* counts as late */
        end_task (play, i, now);
      }
    else
      i++;
}

/* Plays the load with a rule; the share of tasks that ended in time. */
static double
run_play (Play *play)
{
  play->random = 1;
  for (unsigned i = 0; i < POOL; i++)
    {
      MdWorker *worker = &play->workers[i];
      char rack[16];

      *worker = (MdWorker){ .state = MD_WORKER_READY,
                            .connected = true,
                            .capacity = { 16000, 32768, 0 },
                            .bias = (MdTime)i * 100,
                            .speed = 1 };
      snprintf (rack, sizeof rack, "rack-%u", i / (POOL / RACKS));
      worker->traits = test_traits ("calc", "", rack);
      play->list[i] = worker;
      md_runqueue_set_capacity (&play->queues[i], worker->capacity);
      play->queues[i].accepting = true;
    }
  play->all = (MdWorkers){ .workers = play->list, .n = POOL, .remote_factor = 1.5 };
  for (MdTime now = MD_SECOND; now < MD_SECOND + PLAY_TIME; now += PLAY_STEP)
    {
      double phase = 6.283185307179586 * (double)now / (double)WAVE_TIME;
      /* 160 slots, and tasks that take 346 ms on average: 462 a second. */
      double expected = 0.462 * play->load * (1 + play->wave * sin (phase));

      if (play->lost_at > 0 && now == MD_SECOND + play->lost_at)
        lose_rack (play, now);
      run_tasks (play, now);
      look (play, now);
      arrive_many (play, expected, now);
      for (unsigned i = 0; now % (10 * MD_MS) == 0 && i < play->live; i++)
        if (play->tasks[i]->until > 0 && play->tasks[i]->run.state == MD_RUN_WAITING)
          check (play, play->tasks[i], now);
      run_tasks (play, now);
    }
  while (play->live > 0)
    free (play->tasks[--play->live]);
  return (double)play->in_time / (play->in_time + play->late + play->rejected);
}

static const char *const rule_names[] = { "soonest-end", "fixed-20ms", "saved-time", "cost" };

/* Plays a load with each rule, and prints the figures of docs/design/locality.md. */
static void
play_rules (const char *name, Play load, double in_time[4], Play *results)
{
  for (int rule = 0; rule < 4; rule++)
    {
      Play *play = &results[rule];

      *play = load;
      play->rule = (Rule)rule;
      in_time[rule] = run_play (play);
      printf ("load=%s rule=%s in_time=%.4f late=%u rejected=%u near=%.3f core_s=%.0f "
              "waits=%u given_up=%u\n",
              name, rule_names[rule], in_time[rule], play->late, play->rejected,
              (double)play->near / (play->in_time + play->late), (double)play->core_time / 1e6,
              play->waits, play->given_up);
      fflush (stdout);
    }
}

/* Load pattern: a quiet pool. Guards against a rule that costs something where there is room. */
START_TEST (quiet_pool_is_served_as_well)
{
  static Play results[4];
  double in_time[4];

  play_rules ("quiet", (Play){ .load = 0.4 }, in_time, results);
  ck_assert_double_ge (in_time[RULE_COST], in_time[RULE_SOONEST_END]);
}
END_TEST

/* Load pattern: waves whose peak is above the capacity. Guards against longer runs that take the
   core time of others. */
START_TEST (peak_load_is_served_better)
{
  static Play results[4];
  double in_time[4];

  play_rules ("peak", (Play){ .load = 0.8, .wave = 0.55 }, in_time, results);
  ck_assert_double_ge (in_time[RULE_COST], in_time[RULE_SOONEST_END] + 0.01);
}
END_TEST

/* Load pattern: a rack that many tasks want. Guards against a queue there beside free workers. */
START_TEST (hot_rack_is_relieved)
{
  static Play results[4];
  double in_time[4];

  play_rules ("hot", (Play){ .load = 0.6, .hot = 0.6 }, in_time, results);
  ck_assert_double_ge (in_time[RULE_COST], in_time[RULE_SOONEST_END]);
  ck_assert_double_ge (in_time[RULE_COST], in_time[RULE_SAVED] + 0.005);
}
END_TEST

/* Failure: a rack is lost at half load. Guards against tasks that wait for it. */
START_TEST (lost_rack_is_replaced)
{
  static Play results[4];
  double in_time[4];

  play_rules ("lost", (Play){ .load = 0.6, .lost_at = 10 * MD_SECOND }, in_time, results);
  ck_assert_double_ge (in_time[RULE_COST], in_time[RULE_SOONEST_END] + 0.01);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("locality");

  tcase_add_test (tc, quiet_pool_compares_wait_and_run_time);
  tcase_add_test (tc, pressure_makes_a_longer_wait_pay);
  tcase_add_test (tc, hot_rack_costs_those_that_wait);
  tcase_add_test (tc, goal_can_be_met_far_when_the_wait_ends);
  tcase_add_test (tc, place_that_meets_the_goal_is_taken);
  tcase_add_test (tc, lost_rack_is_no_near_place);
  tcase_add_test (tc, group_counts_all_its_tasks);
  tcase_add_test (tc, wait_that_has_begun_is_kept_for_small_gains);
  tcase_add_test (tc, queue_that_changes_by_a_quarter_is_looked_at);
  tcase_add_test (tc, remaining_wait_follows_the_queue);
  tcase_set_timeout (tc, 120); /* for the sanitizers */
  tcase_add_test (tc, quiet_pool_is_served_as_well);
  tcase_add_test (tc, peak_load_is_served_better);
  tcase_add_test (tc, hot_rack_is_relieved);
  tcase_add_test (tc, lost_rack_is_replaced);
  return run_suite ("locality", tc);
}
