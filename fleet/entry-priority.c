/* entry-priority.c -- priorities of queues at an entry

   Supplies sched/priority.c with the queues and with the pressure that guards report, for each pool
   on its own. */

#include "run-entry.h"

void
md_entry_note_queue (MdEntryJob *job)
{
  md_route_unref (job->stats->route);
  job->stats->route = md_route_ref (job->route);
}

static MdPressure *
find_pressure (MdPressure *pressures, uint32_t n, MdStr pool)
{
  for (uint32_t i = 0; i < n; i++)
    if (md_str_equal (pressures[i].pool, pool))
      return &pressures[i];
  return NULL;
}

/* Returns the pressure on a pool, which is added on first use; NULL if there are too many. */
static MdPressure *
get_pressure (MdRunEntry *entry, MdStr pool)
{
  MdPressure *pressure = find_pressure (entry->pressures, entry->n_pressures, pool);
  char *copy;

  if (pressure != NULL || entry->n_pressures == MD_MAX_POOLS)
    return pressure;
  copy = md_str_dup (pool);
  if (copy == NULL)
    return NULL;
  pressure = &entry->pressures[entry->n_pressures++];
  pressure->pool = md_str_n (copy, pool.len);
  return pressure;
}

const MdPressure *
md_entry_pressure (const MdRunEntry *entry, MdStr pool)
{
  return find_pressure ((MdPressure *)entry->pressures, entry->n_pressures, pool);
}

void
md_entry_set_bound (MdRunEntry *entry, MdEntryJob *job, MdForecast *forecast)
{
  MdPressure *pressure = get_pressure (entry, job->route->pool);
  MdQueueLoad loads[MD_MAX_QUEUES];
  MdPriorityBound bound;
  uint32_t own = 0;
  uint32_t n = 0;

  job->floor = false;
  if (pressure == NULL)
    return;
  md_pressure_update (pressure, &entry->workers, entry->now);
  for (uint32_t i = 0; i < entry->n_stats; i++)
    {
      const MdQueueStats *stats = entry->stats[i];

      if (stats->route == NULL || !md_str_equal (stats->route->pool, job->route->pool))
        continue;
      if (stats == job->stats)
        own = n;
      loads[n++] = (MdQueueLoad){ &stats->demand, &stats->admitted, stats->route->priority };
    }
  bound = md_priority_bound (loads, n, own, forecast->demand,
                             md_pressure_now (pressure, entry->now), entry->now);
  forecast->bound = bound.wait_bound;
  job->floor = bound.floor;
}

void
md_entry_note_admitted (const MdRunEntry *entry, MdEntryJob *job)
{
  md_admitted_add (&job->stats->admitted, md_entry_total_work (job), entry->now);
}

/* The configuration may have changed since the job arrived. */
uint8_t
md_entry_order_priority (const MdEntryJob *job)
{
  return job->floor ? 0 : job->stats->route->priority;
}

void
md_entry_update_pressure_gauge (MdRunEntry *entry)
{
  double highest = 0;

  for (uint32_t i = 0; i < entry->n_pressures; i++)
    {
      double pressure;

      md_pressure_update (&entry->pressures[i], &entry->workers, entry->now);
      pressure = md_pressure_now (&entry->pressures[i], entry->now);
      highest = pressure > highest ? pressure : highest;
    }
  md_gauge (MD_M_PRESSURE, (int64_t)(highest * MD_FULL_PRESSURE));
}
