/* guard-registry.c -- the guards of a shard: registration and removal

   A guard that is removed ends the attempts that it had; what was learned of its worker is kept for
   the next process there. */

#include "dispatch-private.h"

static MdRemovedGuard *
find_removed (MdDispatch *d, MdStr name)
{
  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    if (md_str_equal (md_str (d->removed_guards[i].name), name))
      return &d->removed_guards[i];
  return NULL;
}

/* A restarted guard process runs on the same worker, so it inherits the learned speed,
   which adapts quickly if it has changed. */
static void
remember_removed (MdDispatch *d, MdDispatchGuard *guard, MdTime now)
{
  MdRemovedGuard *removed = find_removed (d, md_str (guard->name));

  if (removed == NULL)
    {
      d->removed_guards = md_array_reserve (d->removed_guards, &d->cap_removed_guards,
                                            d->n_removed_guards + 1, sizeof *d->removed_guards);
      removed = &d->removed_guards[d->n_removed_guards++];
      removed->name = guard->name;
      guard->name = NULL;
    }
  removed->resources = guard->resources;
  removed->speed = guard->speed;
  removed->lost_at = now;
}

static void
expire_removed (MdDispatch *d, MdTime now)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    if (d->removed_guards[i].lost_at + d->tuning.removal_delay > now)
      d->removed_guards[kept++] = d->removed_guards[i];
    else
      free (d->removed_guards[i].name);
  d->n_removed_guards = kept;
}

static void
apply_guard_info (MdDispatchGuard *guard, const MdGuardInfo *info)
{
  guard->slots = info->slots;
  guard->delay = info->delay;
  guard->resources = (MdWorkerResources){ info->cores, info->memory_mb, info->accelerators };
  guard->paused = false; /* leaving is kept: a process never revokes it */
}

static MdDispatchGuard *
guard_new (MdDispatch *d, const MdGuardInfo *info, MdTime now)
{
  MdDispatchGuard *guard = calloc (1, sizeof *guard);
  const MdRemovedGuard *removed;

  if (guard == NULL || (guard->name = md_str_dup (info->name)) == NULL)
    {
      free (guard);
      return NULL;
    }
  guard->id = info->id;
  expire_removed (d, now);
  removed = find_removed (d, info->name);
  if (removed != NULL)
    guard->speed = removed->speed;
  guard->relative_speed = md_estimate_speed (&guard->speed);
  md_health_init (&guard->health, info->slots);
  return guard;
}

int
md_dispatch_guard_up (MdDispatch *d, const MdGuardInfo *info, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, info->id);

  if (info->id == 0 || info->slots == 0)
    return MD_E_INVALID;
  if (guard == NULL)
    {
      guard = guard_new (d, info, now);
      if (guard == NULL)
        return MD_E_MEMORY;
      d->guards = md_array_reserve (d->guards, &d->cap_guards, d->n_guards + 1,
                                    sizeof (MdDispatchGuard *));
      d->guards[d->n_guards++] = guard;
    }
  apply_guard_info (guard, info);
  md_guards_update_capacity (d);
  return MD_OK;
}

void
md_dispatch_guard_pause (MdDispatch *d, uint64_t id, bool paused, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);

  (void)now;
  if (guard != NULL)
    guard->paused = paused;
}

void
md_dispatch_guard_leaving (MdDispatch *d, uint64_t id, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);

  (void)now;
  if (guard == NULL)
    return;
  guard->leaving = true;
  md_guards_update_capacity (d);
}

/* With fewer guards fewer of them may be ejected; the one ejected longest ago is
   readmitted first. */
static void
enforce_max_ejected (MdDispatch *d)
{
  while (d->n_ejected > md_health_max_ejected (d->n_guards, &d->tuning))
    {
      MdDispatchGuard *oldest = NULL;

      for (uint32_t i = 0; i < d->n_guards; i++)
        {
          MdDispatchGuard *guard = d->guards[i];

          if (guard->health.ejected
              && (oldest == NULL || guard->health.ejected_at < oldest->health.ejected_at))
            oldest = guard;
        }
      if (oldest == NULL)
        return;
      md_guard_readmit (d, oldest);
    }
}

void
md_dispatch_guard_lost (MdDispatch *d, uint64_t id, MdTime now)
{
  MdDispatchGuard *guard = md_guard_find (d, id);
  uint32_t i = 0;

  if (guard == NULL)
    return;
  guard->lost = true;
  while (guard->tasks != NULL)
    md_task_record_result (d, guard->tasks, MD_TASK_UNKNOWN, MD_REASON_GUARD_LOST, 0, now);
  while (d->guards[i] != guard)
    i++;
  d->guards[i] = d->guards[--d->n_guards];
  if (guard->health.ejected)
    d->n_ejected--;
  remember_removed (d, guard, now);
  free (guard->name);
  free (guard);
  enforce_max_ejected (d);
  md_guards_update_capacity (d);
}
