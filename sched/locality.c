/* locality.c -- how long a wait for a near place pays

   Load patterns: - A quiet pool, and a near worker that is full for the next milliseconds: a far
   worker is free at once, and the run there takes remote_factor times as long. The sum of wait and
   run time decides. - A peak: the longer run elsewhere takes core time from jobs that wait. It is
   added to the cost of the far place, so that a longer wait pays. - A hot rack: the data that many
   jobs read is on one rack, and the others are free. Each further task in its queue delays those
   that come after it. That delay is added to the cost of waiting. - A wait that turns out longer
   than predicted, because a run ahead is one of the few that take several times their estimate. The
   wait ends at a time T, when a far place can still meet the goal. - A rack that is lost, or whose
   reports stop: there is no near place.

   A wait may be longer than predicted by the factor by which run times vary, as it consists of the
   rest of the run times ahead. A task waits at the near worker's guard, where it starts without a
   further message when its turn comes; it is taken back from there when it is decided otherwise. */

#include "locality.h"

#define WAIT_UNCERTAINTY 1.5 /* run times vary by a factor of about exp (0.4) */
#define GOAL_MARGIN 1.05     /* on run times against the goal, as in placement.c */
#define LIMIT_MARGIN 2.0     /* on run times against the limit, as in placement.c */
/* Busy share of a pool from which core time costs others. A worker of 16 cores has ten slots of 1.5
   cores; with seven of them busy on average, one worker in ten is full. */
#define PRESSURE_THRESHOLD 0.7
/* Tasks delayed by one that waits for a hot rack, per task that waits there now: those that come
   until its queue is empty. See the figures in docs/design/locality.md. */
#define HOT_WEIGHT 12.0
#define QUEUE_CHANGE 0.25            /* of the queue: a change that is decided on */
#define MIN_QUEUE_CHANGE (5 * MD_MS) /* reports are a few milliseconds old */
#define MAX_REPORT_AGE (600 * MD_MS) /* as in placement.c */

double
md_locality_pressure (uint64_t capacity_cpu, uint64_t free_cpu)
{
  double busy;

  if (capacity_cpu == 0 || free_cpu == 0)
    return 1;
  if (free_cpu >= capacity_cpu)
    return 0;
  busy = 1 - (double)free_cpu / (double)capacity_cpu;
  return busy <= PRESSURE_THRESHOLD ? 0 : (busy - PRESSURE_THRESHOLD) / (1 - PRESSURE_THRESHOLD);
}

double
md_locality_hotness (uint32_t rack_waiting, uint64_t rack_cpu, uint32_t waiting, uint64_t cpu,
                     uint32_t need_cpu)
{
  double excess;

  if (rack_cpu == 0 || cpu == 0)
    return 0;
  excess = (double)rack_waiting / (double)rack_cpu - (double)waiting / (double)cpu;
  return excess > 0 ? excess * need_cpu : 0;
}

static bool
meets_goal (const MdLocalityPlace *place, const MdLocalityInput *in)
{
  double wait = (double)place->wait * WAIT_UNCERTAINTY;
  double run = (double)place->run_time;

  return wait + run * GOAL_MARGIN <= (double)in->goal
         && wait + run * LIMIT_MARGIN <= (double)in->limit;
}

/* The time from now until which a far place, whose wait does not grow, can still meet the goal. */
static double
time_for_far (const MdLocalityInput *in)
{
  double wait = (double)in->far.wait * WAIT_UNCERTAINTY;
  double run = (double)in->far.run_time;
  double by_goal = (double)in->goal - wait - run * GOAL_MARGIN;
  double by_limit = (double)in->limit - wait - run * LIMIT_MARGIN;

  return by_goal < by_limit ? by_goal : by_limit;
}

/* Run time that the near place saves; negative if its worker is much slower. */
static double
saved_time (const MdLocalityInput *in)
{
  return (double)in->far.run_time - (double)in->near.run_time;
}

/* What the far place costs this task and others, less the run time of the near place: the longest
   wait near that is not worse. */
static double
wait_that_pays (const MdLocalityInput *in)
{
  double saved = saved_time (in);
  double others = in->pressure * saved * (1 + (double)in->group);
  double queue = in->near.wait > 0 ? HOT_WEIGHT * in->hotness * (double)in->near.run_time : 0;

  return (double)in->far.wait + saved + others - queue + (double)in->gain;
}

static MdLocalityDecision
near (const MdLocalityInput *in)
{
  return (MdLocalityDecision){ .choice = MD_LOCALITY_NEAR, .saved = md_span (saved_time (in)) };
}

MdLocalityDecision
md_locality_decide (const MdLocalityInput *in)
{
  MdLocalityDecision far = { .choice = MD_LOCALITY_FAR };
  double pays, until;
  bool near_meets, far_meets;

  if (!in->near.exists)
    return far;
  if (!in->far.exists)
    return (MdLocalityDecision){ .choice = MD_LOCALITY_NEAR };
  near_meets = meets_goal (&in->near, in);
  far_meets = meets_goal (&in->far, in);
  if (near_meets != far_meets)
    return near_meets ? near (in) : far;
  pays = wait_that_pays (in);
  /* One task of a group elsewhere would make the others slow that have their rack already. */
  if (in->group > 0 && near_meets)
    pays = (double)in->goal;
  if ((double)in->near.wait > pays)
    return far;
  if (in->near.wait == 0 || !far_meets)
    return near (in);
  /* Beyond its prediction the wait is no longer the one that was decided on. */
  until = (double)in->near.wait * WAIT_UNCERTAINTY;
  until = until < pays ? until : pays;
  until = until < time_for_far (in) ? until : time_for_far (in);
  return (MdLocalityDecision){ .choice = MD_LOCALITY_WAIT,
                               .wait_for = until > 1 ? md_span (until) : 1,
                               .saved = md_span (saved_time (in)) };
}

bool
md_locality_queue_changed (MdTime queue_then, MdTime queue_now)
{
  MdTime change = queue_now > queue_then ? queue_now - queue_then : queue_then - queue_now;

  return change >= MIN_QUEUE_CHANGE && (double)change >= QUEUE_CHANGE * (double)queue_then;
}

/* What others added behind the run does not delay it; growth cannot be told from that and counts in
   full. A run that should have started waits for one that takes longer than predicted; how much
   longer is not known, and with the tail of run times it is at least as likely to be as long again. */
MdTime
md_locality_remaining (MdTime expected, MdTime elapsed, MdTime queue_then, MdTime queue_now)
{
  MdTime rest = expected - elapsed;

  if (rest <= 0)
    return queue_now > -rest ? queue_now : -rest;
  if (queue_now > queue_then - elapsed)
    rest += queue_now - (queue_then > elapsed ? queue_then - elapsed : 0);
  return rest < queue_now ? rest : queue_now;
}

bool
md_locality_is_recent (MdTime report_age)
{
  return report_age <= MAX_REPORT_AGE;
}
