/* entry-evacuation.c -- evacuated failure domains at an entry

   The set is read by config-reader.c. The engine applies it between two passes: workers of an
   evacuated domain can run nothing (md_worker_can_run), so that placement, gangs, moves, forecasts
   and admission do without them, and their guards are told with the next message. Guards refuse
   starts by themselves as well: one entry that is late cannot start a run there. */

#include "run-entry.h"

#include <urcu/urcu-memb.h>

/* Until the guards of a domain have connected, after a start of the entry. */
#define UNKNOWN_DELAY (5 * MD_SECOND)

/* Takes back the orders that have not started. Those that were not sent are ended before the next
   message; the guard decides about the others, some of which may have started meanwhile. Returns
   their number. */
static unsigned
withdraw_orders (MdEntryGuard *guard)
{
  unsigned n = 0;

  for (MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    {
      if (order->started || order->cancelled || order->withdrawn)
        continue;
      if (order->sent)
        md_entry_withdraw (order);
      else
        md_entry_cancel (order);
      n++;
    }
  return n;
}

/* Applies the set to a guard. Returns the orders that were taken back. */
static unsigned
update_guard (MdRunEntry *entry, MdEntryGuard *guard)
{
  bool evacuated = md_evacuated_has (&entry->evacuation.set, guard->failure_domain);

  if (evacuated == guard->worker.evacuated)
    return 0;
  guard->worker.evacuated = evacuated;
  guard->sent_at = 0; /* the next message is due */
  entry->guards_due = 0;
  return evacuated ? withdraw_orders (guard) : 0;
}

void
md_entry_set_domain (MdRunEntry *entry, MdEntryGuard *guard, const char *domain)
{
  md_str_copy (guard->failure_domain, sizeof guard->failure_domain, md_str (domain));
  update_guard (entry, guard);
}

static unsigned
count_guards (const MdRunEntry *entry, const char *domain)
{
  unsigned n = 0;

  for (uint32_t i = 0; i < entry->workers.n; i++)
    n += strcmp (((const MdEntryGuard *)entry->workers.workers[i])->failure_domain, domain) == 0;
  return n;
}

static void
log_change (const MdRunEntry *entry, const char *domain, const char *state, MdTime age)
{
  char name[MD_NAME_BYTES];

  md_log (MD_LOG_INFO, "evacuation", "domain=%s state=%s version=%llu age_ms=%lld guards=%u",
          md_log_quote (md_str (domain), name, sizeof name), state,
          (unsigned long long)entry->evacuation.set.version, (long long)(age / MD_MS),
          count_guards (entry, domain));
}

/* Logs the domains that are in one of the sets only. */
static void
log_changes (const MdRunEntry *entry, const MdEvacuated *former, MdTime age)
{
  const MdEvacuated *set = &entry->evacuation.set;

  for (uint32_t i = 0; i < set->n; i++)
    if (!md_evacuated_has (former, set->domains[i].name))
      log_change (entry, set->domains[i].name, "evacuated", age);
  for (uint32_t i = 0; i < former->n; i++)
    if (!md_evacuated_has (set, former->domains[i].name))
      log_change (entry, former->domains[i].name, "in-use", age);
}

void
md_entry_apply_evacuated (MdRunEntry *entry, const MdEvacuated *set, MdTime age)
{
  MdEvacuated former = entry->evacuation.set;
  unsigned orders = 0;

  if (set->version == former.version)
    return;
  entry->evacuation.set = *set;
  entry->evacuation.unknown_due = entry->now + UNKNOWN_DELAY;
  md_gauge (MD_M_EVACUATED_DOMAINS, set->n);
  log_changes (entry, &former, age);
  for (uint32_t i = 0; i < entry->workers.n; i++)
    orders += update_guard (entry, (MdEntryGuard *)entry->workers.workers[i]);
  if (orders > 0)
    md_log (MD_LOG_INFO, "orders-withdrawn", "count=%u version=%llu reason=\"evacuation\"", orders,
            (unsigned long long)set->version);
}

/* The name of a domain may be misspelt: nothing is evacuated then. */
static void
log_unknown (MdRunEntry *entry)
{
  const MdEvacuated *set = &entry->evacuation.set;
  char name[MD_NAME_BYTES];

  entry->evacuation.unknown_due = 0;
  for (uint32_t i = 0; i < set->n; i++)
    if (count_guards (entry, set->domains[i].name) == 0)
      md_log (MD_LOG_WARN, "evacuation-without-effect",
              "domain=%s version=%llu guards=%u reason=\"no guard of this domain is known\"",
              md_log_quote (md_str (set->domains[i].name), name, sizeof name),
              (unsigned long long)set->version, entry->workers.n);
}

void
md_entry_evacuation_poll (MdRunEntry *entry)
{
  MdTime age = md_config_reader_age (entry->config);
  const MdEvacuated *set;

  urcu_memb_read_lock ();
  set = md_config_reader_evacuated (entry->config);
  if (set != NULL)
    md_entry_apply_evacuated (entry, set, age);
  urcu_memb_read_unlock ();
  if (entry->evacuation.unknown_due > 0 && entry->now >= entry->evacuation.unknown_due)
    log_unknown (entry);
}
