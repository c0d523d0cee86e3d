/* entry-near.c -- waits of tasks for a worker near their data or their group

   Supplies md_locality_decide with the places that this entry knows and carries out its decisions.
   A task that waits is queued at the near worker's guard. It is taken back from there by a
   withdrawal, as other runs that move, and placed again when the guard has confirmed that it has
   not started; so it never runs twice. */

#include "run-entry.h"

#define MIN_RECHECK (20 * MD_MS) /* between two decisions that only the time causes */

/* ------------------------------------------------------------------ */
/* Groups                                                             */

/* Whether the tasks of the step are slower when spread over racks, and have no data elsewhere. */
static bool
is_group (const MdEntryJob *job, uint32_t step)
{
  const MdRunStep *spec = &job->runjob.spec.steps[step];

  return spec->same_rack && spec->affinity.len == 0;
}

bool
md_entry_group_rack (const MdEntryJob *job, uint32_t step, MdStr *rack)
{
  for (uint32_t k = 0; k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      const MdEntryOrder *order = job->runjob.tasks[step][k].order;

      if (order == NULL)
        continue;
      *rack = md_traits_rack (order->guard->worker.traits);
      return true;
    }
  return false;
}

/* A guard that is away does not confirm the withdrawal; the others do not wait for it. */
bool
md_entry_group_is_moving (const MdEntryJob *job, uint32_t step)
{
  for (uint32_t k = 0; is_group (job, step) && k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      const MdEntryOrder *order = job->runjob.tasks[step][k].order;

      if (order != NULL && order->group_moves && !order->started && order->guard->worker.connected)
        return true;
    }
  return false;
}

/* Whether all tasks of the step are ordered, none has started, and the group has not moved yet. */
static bool
can_move_group (const MdEntryJob *job, uint32_t step)
{
  for (uint32_t k = 0; k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      const MdRunTask *task = &job->runjob.tasks[step][k];
      const MdEntryOrder *order = task->order;

      if (order == NULL || order->started || !order->sent || order->withdrawn || order->cancelled
          || task->near_given_up)
        return false;
    }
  return true;
}

/* ------------------------------------------------------------------ */
/* Decisions                                                          */

/* Predicted work of the steps after this one on their longest chain. */
static double
rest_of_path (const MdEntryJob *job, uint32_t step)
{
  const MdRunSpec *spec = &job->runjob.spec;
  double rest[MD_MAX_STEPS] = { 0 };

  for (uint32_t i = spec->n_steps; i-- > step;)
    for (uint32_t k = i + 1; k < spec->n_steps; k++)
      if (spec->steps[k].depends_on >> i & 1)
        {
          double path = md_entry_expected_work (job, k) + rest[k];

          rest[i] = path > rest[i] ? path : rest[i];
        }
  return rest[step];
}

/* Whether the reports of a worker are recent. */
static bool
is_known (const MdRunEntry *entry, const MdWorker *worker)
{
  return md_locality_is_recent (entry->now - worker->reported_at);
}

static MdLocalityPlace
place_of (const MdRunEntry *entry, const MdPlacement *placement)
{
  if (placement->worker == NULL || !is_known (entry, placement->worker))
    return (MdLocalityPlace){ 0 };
  return (MdLocalityPlace){ true, placement->wait, placement->run_time };
}

static MdLocalityInput
input_of (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
          const MdTaskRequirements *need, const MdNearFar *places)
{
  MdTime rest = md_span (rest_of_path (job, step));
  MdLocalityInput in
      = { .near = place_of (entry, &places->near),
          .far = place_of (entry, &places->far),
          .goal = need->goal - rest,
          .limit = need->limit - rest,
          .pressure = md_locality_pressure (places->capacity_cpu, places->free_cpu) };

  in.hotness = md_locality_hotness (places->near_waiting, places->near_cpu, places->waiting,
                                    places->capacity_cpu, need->resources.cpu);
  if (is_group (job, step))
    in.group = job->runjob.spec.steps[step].n_tasks - 1;
  return in;
}

MdPlacement
md_entry_place_task (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step, uint32_t index,
                     const MdTaskRequirements *need, const uint32_t *counts, MdEntryNear *near)
{
  const MdRunTask *task = &job->runjob.tasks[step][index];
  MdPlacement placement = { 0 };

  *near = (MdEntryNear){ .preferred = need->affinity.len > 0 && entry->workers.remote_factor > 1 };
  if (near->preferred && !need->alone && !need->at_once
      && (!task->near_given_up || is_group (job, step)))
    {
      MdNearFar places
          = md_place_near_far (&entry->workers, need, counts, task->last_worker, entry->now);
      MdLocalityInput in = input_of (entry, job, step, need, &places);

      if (in.near.exists && in.far.exists)
        {
          MdLocalityDecision decision = md_locality_decide (&in);

          placement = decision.choice == MD_LOCALITY_FAR ? places.far : places.near;
          near->wait = decision.wait_for;
          /* Only the near place meets the goal, or ends sooner. Others may get free meanwhile. */
          if (decision.choice == MD_LOCALITY_NEAR && placement.wait > 0)
            near->wait = placement.wait > MIN_RECHECK ? placement.wait : MIN_RECHECK;
          near->saved = decision.saved;
        }
    }
  if (placement.worker == NULL)
    placement = md_place (&entry->workers, need, counts, task->last_worker, entry->now);
  near->near = near->preferred && placement.worker != NULL
               && md_traits_have (placement.worker->traits, need->affinity);
  return placement;
}

/* ------------------------------------------------------------------ */
/* Waits                                                              */

void
md_entry_near_begin (const MdRunEntry *entry, MdEntryOrder *order, const MdTaskRequirements *need,
                     const MdEntryNear *near)
{
  MdWorker *worker = &order->guard->worker;

  if (near->wait == 0)
    return;
  order->near_until = entry->now + near->wait;
  order->near_saved = near->saved;
  order->near_first_queue = md_place_at (&entry->workers, worker, need, entry->now).wait;
  order->near_queue = order->near_first_queue;
  worker->near_waiting++;
  md_count (MD_M_NEAR_WAITS, 1);
}

void
md_entry_near_end (const MdRunEntry *entry, MdEntryOrder *order, bool started)
{
  if (order->near_until == 0)
    return;
  order->near_until = 0;
  if (order->guard->worker.near_waiting > 0)
    order->guard->worker.near_waiting--;
  md_count (started ? MD_M_NEAR_STARTED : MD_M_NEAR_GIVEN_UP, 1);
  md_count (MD_M_NEAR_WAITED, (entry->now - order->placed_at) / MD_MS);
  if (started)
    md_count (MD_M_NEAR_SAVED, order->near_saved / MD_MS);
}

/* Takes a run back that is to be placed elsewhere. */
static void
take_back (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order, MdStr to, MdTime stay,
           MdTime there)
{
  char quoted[MD_NAME_BYTES];

  md_log (MD_LOG_INFO, "run-moved",
          "job=%s step=%u task=%u from=%s to=%s stay_ms=%lld there_ms=%lld waited_ms=%lld "
          "near=given-up report_age_ms=%lld",
          job->id, order->step, order->task, order->guard->name,
          md_log_quote (to, quoted, sizeof quoted), (long long)(stay / MD_MS),
          (long long)(there / MD_MS), (long long)((entry->now - order->placed_at) / MD_MS),
          (long long)((entry->now - order->guard->worker.reported_at) / MD_MS));
  md_count (MD_M_RUNS_MOVED, 1);
  job->runjob.tasks[order->step][order->task].near_given_up = true;
  md_entry_near_end (entry, order, false);
  md_entry_withdraw (order);
}

/* How much longer a run waits at its worker, where a new one would wait for queue. */
static MdTime
remaining (const MdRunEntry *entry, const MdEntryOrder *order, MdTime queue)
{
  if (order->near_until == 0)
    return queue < order->expected_wait ? queue : order->expected_wait;
  return md_locality_remaining (order->expected_wait,
                                md_entry_known_at (entry, order) - order->placed_at,
                                order->near_first_queue, queue);
}

/* When the last run of the group is expected to end if it stays, from now. */
static MdTime
end_of_group (const MdRunEntry *entry, const MdEntryJob *job, uint32_t step,
              const MdTaskRequirements *need)
{
  MdTime last = 0;

  for (uint32_t k = 0; k < job->runjob.spec.steps[step].n_tasks; k++)
    {
      const MdEntryOrder *order = job->runjob.tasks[step][k].order;
      MdWorker *worker = &order->guard->worker;
      MdTime wait
          = remaining (entry, order, md_place_at (&entry->workers, worker, need, entry->now).wait);

      if (!md_worker_can_run (worker, need) || !is_known (entry, worker))
        wait = entry->daemon.leases.ended_after;
      last = wait + order->expected_run > last ? wait + order->expected_run : last;
    }
  return last;
}

/* Takes the runs of a group back if all would end sooner on another rack. Returns whether it did. A
   group of which a task has started, or may have, stays. */
static bool
move_group (MdRunEntry *entry, MdEntryJob *job, uint32_t step, MdTaskRequirements *need)
{
  uint32_t n = job->runjob.spec.steps[step].n_tasks;
  MdStr rack;
  MdStr present;
  MdTime there = 0;
  MdTime stay;

  if (!can_move_group (job, step))
    return false;
  rack = md_place_rack (&entry->workers, need, n, entry->saved_resources, entry->now);
  if (rack.len == 0 || !md_entry_group_rack (job, step, &present) || md_str_equal (rack, present))
    return false;
  need->affinity = rack;
  stay = end_of_group (entry, job, step, need);
  if (!md_place_try (&entry->workers, need, n, NULL, entry->saved_resources, &there, entry->now)
      || there + MD_MIN_MOVE_GAIN >= stay)
    return false;
  for (uint32_t k = 0; k < n; k++)
    {
      MdEntryOrder *order = job->runjob.tasks[step][k].order;

      order->group_moves = true;
      take_back (entry, job, order, rack, stay, there);
    }
  return true;
}

/* Whether it is to be decided again: at the time that was set, when the queue has changed, or when
   nothing is known of it any more. An entry that reads reports late decides by their time. */
static bool
is_due (const MdRunEntry *entry, const MdEntryOrder *order, MdTime queue)
{
  const MdWorker *worker = &order->guard->worker;

  return md_entry_known_at (entry, order) >= order->near_until || !is_known (entry, worker)
         || md_locality_queue_changed (order->near_queue, queue);
}

/* The better of the far place and another near one for a run that waits at its worker; the worker
   is NULL if the run is to stay. Sets the time of the next decision after a wait that pays. */
static MdPlacement
find_better (const MdRunEntry *entry, const MdEntryJob *job, MdEntryOrder *order,
             const MdTaskRequirements *need, const MdPlacement *here)
{
  MdWorker *worker = &order->guard->worker;
  MdNearFar places = md_place_near_far (&entry->workers, need, NULL, worker, entry->now);
  MdPlacement other = places.near;
  MdLocalityInput in;
  MdLocalityDecision decision;

  if (other.worker != NULL && other.wait == 0
      && other.run_time + MD_MIN_MOVE_GAIN < here->wait + here->run_time
      && is_known (entry, other.worker))
    return other;
  places.near = *here;
  if (places.near_waiting > 0) /* the run itself */
    {
      places.near_waiting--;
      places.waiting--;
    }
  in = input_of (entry, job, order->step, need, &places);
  in.gain = MD_MIN_MOVE_GAIN;
  if (!in.far.exists)
    return (MdPlacement){ 0 };
  decision = md_locality_decide (&in);
  if (decision.choice == MD_LOCALITY_FAR)
    return places.far;
  if (decision.choice == MD_LOCALITY_WAIT)
    order->near_until = entry->now + decision.wait_for;
  return (MdPlacement){ 0 };
}

/* Ends the wait for a worker of which nothing is known, or that takes no runs: there is no near
   place. Without a far one, whose reports are recent, it is a run like others that are overdue. */
static void
give_up_lost (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order,
              const MdTaskRequirements *need)
{
  MdWorker *worker = &order->guard->worker;
  MdNearFar places = md_place_near_far (&entry->workers, need, NULL, worker, entry->now);
  MdTime there = places.far.wait + places.far.run_time;

  if (place_of (entry, &places.far).exists)
    take_back (entry, job, order, md_str (((MdEntryGuard *)places.far.worker)->name),
               entry->daemon.leases.ended_after, there);
  else
    md_entry_near_end (entry, order, false);
}

/* Decides again on a run whose worker can still run it. queue: the wait of a new run there. */
static void
decide_again (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order, MdTaskRequirements *need,
              MdTime queue)
{
  MdPlacement here
      = { &order->guard->worker, remaining (entry, order, queue), order->expected_run };
  MdPlacement other = { 0 };

  order->near_queue = queue;
  order->near_until = entry->now + (here.wait > MIN_RECHECK ? here.wait : MIN_RECHECK);
  if (is_group (job, order->step))
    {
      move_group (entry, job, order->step, need);
      return;
    }
  other = find_better (entry, job, order, need, &here);
  if (other.worker == NULL)
    return;
  md_worker_reserve (other.worker, md_place_reservation (other.worker, need), other.run_time);
  take_back (entry, job, order, md_str (((MdEntryGuard *)other.worker)->name),
             here.wait + here.run_time, other.wait + other.run_time);
}

void
md_entry_near_check (MdRunEntry *entry, MdEntryJob *job, MdEntryOrder *order)
{
  MdWorker *worker = &order->guard->worker;
  MdTaskRequirements need;
  MdTime queue;

  if (!order->sent || order->started || order->cancelled)
    return;
  md_entry_requirements (entry, job, order->step, &need);
  if (is_group (job, order->step))
    need.affinity = md_traits_rack (worker->traits);
  queue = md_place_at (&entry->workers, worker, &need, entry->now).wait;
  if (md_worker_can_run (worker, &need) && !is_due (entry, order, queue))
    return;
  if (!md_entry_apply_advice (entry, job, order->step, &need))
    return;
  if (md_worker_can_run (worker, &need) && is_known (entry, worker))
    decide_again (entry, job, order, &need, queue);
  else if (!is_group (job, order->step) || !move_group (entry, job, order->step, &need))
    give_up_lost (entry, job, order, &need);
}
