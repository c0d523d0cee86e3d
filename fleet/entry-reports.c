/* entry-reports.c -- reports of guards: the state of their workers, starts and ends of runs */

#include "run-entry.h"

#include <math.h>
#include <xxhash.h>

/* The order with this ID. One that has not been sent is none of the guard's; to end it here would
   leave it in the list of orders to send. */
static MdEntryOrder *
find_order (const MdEntryGuard *guard, uint64_t id)
{
  for (MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    if (order->id == id)
      return order->sent ? order : NULL;
  return NULL;
}

/* Takes over the name, the pool and the labels. Without memory the worker belongs to no pool, so
   that nothing is placed there by what it was before; the guard describes it again on its next
   connection. */
static void
update_traits (MdEntryGuard *guard, const Md__WorkerInfo *info)
{
  md_autofree MdStr *labels = calloc (info->n_labels + 1, sizeof *labels);
  MdTraits *traits = NULL;

  for (size_t i = 0; labels != NULL && i < info->n_labels; i++)
    labels[i] = md_str (info->labels[i]);
  if (labels != NULL)
    traits = md_traits_new (md_str (info->id), md_str (info->service), labels,
                            (uint32_t)info->n_labels);
  if (traits == NULL)
    md_log (MD_LOG_ERROR, "worker-ignored", "guard=%s reason=\"out of memory\"", guard->name);
  md_traits_unref (guard->worker.traits);
  guard->worker.traits = traits;
}

static void
update_worker (MdEntryGuard *guard, const Md__WorkerInfo *info)
{
  MdWorker *worker = &guard->worker;

  update_traits (guard, info);
  worker->capacity = (MdResources){ info->cpu, info->memory_mb, info->accelerators };
  worker->lifetime = XXH64 (info->id, strlen (info->id), (uint64_t)info->born_ms);
  md_log (MD_LOG_INFO, "worker-seen", "guard=%s worker=%s born_ms=%lld cpu=%u memory_mb=%u",
          guard->name, info->id, (long long)info->born_ms, info->cpu, info->memory_mb);
}

/* Guards report speeds between these, see runqueue.c. */
#define MIN_REPORTED_SPEED 1e-3
#define MAX_REPORTED_SPEED 1e3

static double
reported_speed (double speed)
{
  return isnan (speed) || speed <= 0 ? 1
                                     : fmax (MIN_REPORTED_SPEED, fmin (MAX_REPORTED_SPEED, speed));
}

/* Updates the state of the worker. The resources of orders that the guard had not received
   when it sent the report are subtracted. */
static void
update_resources (MdRunEntry *entry, MdEntryGuard *guard, const Md__RunReport *report)
{
  MdWorker *worker = &guard->worker;

  worker->free
      = (MdResources){ report->free_cpu, report->free_memory_mb, report->free_accelerators };
  worker->next_end = md_span ((double)report->next_end_us);
  worker->wait = md_span ((double)report->wait_us);
  worker->speed = reported_speed (report->speed);
  for (const MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    if (report->entry != entry->incarnation || order->id > report->last_order)
      md_worker_reserve (worker, order->need, order->expected_run);
  worker->reported_at = entry->now;
  worker->stalled = report->stalled;
  md_worker_set_failures (worker, report->failures, entry->now);
  if ((uint32_t)worker->state != report->state)
    md_log (MD_LOG_INFO, "upstream-state", "guard=%s worker=%s state=%u former=%d", guard->name,
            md_traits_name (worker->traits).data, report->state, (int)worker->state);
  worker->state
      = report->state <= MD_WORKER_DRAINING ? (MdWorkerState)report->state : MD_WORKER_ABSENT;
}

static bool
is_in_hello (const MdEntryGuard *guard, uint64_t id)
{
  for (size_t i = 0; i < guard->n_hello_orders; i++)
    if (guard->hello_orders[i] == id)
      return true;
  return false;
}

/* Compares the orders sent with those that the guard listed in its hello, after the first
   report has delivered the ends. An order that is in neither has not reached the guard. */
static void
reconcile_orders (MdRunEntry *entry, MdEntryGuard *guard)
{
  guard->awaiting_report = false;
  entry->guards_due = 0;
  for (MdEntryOrder *order = guard->orders, *next; order != NULL; order = next)
    {
      next = order->next;
      if (order->sent && !is_in_hello (guard, order->id))
        md_entry_order_ended (entry, order, MD_RUN_REJECTED, 0, "");
      else if (order->sent)
        md_entry_repeat_end (order);
    }
}

static void
handle_progress (MdRunEntry *entry, MdEntryGuard *guard, const Md__RunReport *report)
{
  for (size_t i = 0; i < report->n_started; i++)
    {
      MdEntryOrder *order = find_order (guard, report->started[i]);

      if (order != NULL)
        md_entry_order_started (entry, order);
    }
  for (size_t i = 0; i < report->n_ends; i++)
    {
      const Md__RunEnd *end = report->ends[i];
      MdEntryOrder *order = find_order (guard, end->id);

      if (end->number > guard->ends_seen)
        guard->ends_seen = end->number;
      if (order != NULL)
        md_entry_order_ended (entry, order,
                              end->how < MD_RUN_RESULT_COUNT ? (MdRunResult)end->how
                                                             : MD_RUN_LEASE_EXPIRED,
                              md_span ((double)end->run_us), end->checkpoint);
    }
}

void
md_entry_report (MdRunEntry *entry, MdEntryGuard *guard, const Md__RunReport *report)
{
  if (report->stamp_us > guard->stamp)
    {
      guard->worker.pressure_at
          = entry->now - md_stamp_age (&guard->stamps, report->stamp_us, entry->now);
      guard->worker.pressure = report->pressure_permille < MD_FULL_PRESSURE
                                   ? report->pressure_permille
                                   : MD_FULL_PRESSURE;
      guard->stamp = report->stamp_us;
      guard->stamp_at = entry->now;
    }
  if (report->worker != NULL)
    update_worker (guard, report->worker);
  guard->worker.sparse = report->interval_us > 0;
  if (!guard->worker.sparse)
    guard->worker.follow_requested = false;
  md_link_set_max_silence (guard->link,
                           guard->worker.sparse ? MD_SPARSE_SILENCE : MD_GUARD_SILENCE);
  /* Until a guard receives the welcome of this process, its reports refer to a former process
     of this entry, whose orders and ends had the same numbers. */
  if (report->entry == entry->incarnation)
    {
      guard->welcomed = true;
      handle_progress (entry, guard, report);
    }
  update_resources (entry, guard, report);
  if (guard->awaiting_report)
    reconcile_orders (entry, guard);
}
