/* shard-quorum.c -- which guards stand behind an owner

   Holding. Attach replies arrive one after the other, and a guard that replied
   early may have been fenced by somebody else before the last one replies. Two
   entries that take guards from each other could then both count two thirds. So
   a quorum counts only at an instant at which all its guards were held together:
   every one of them was attached before the instant and acknowledged a heartbeat
   that was sent after it. A guard counts as evidence only after such an instant
   (confirmed). This orders all owners of a shard by their instants, and an owner
   that has been succeeded can never collect evidence again: it is fenced at more
   than a third of the guards, hence never holds a quorum, hence confirms no
   other guard.

   Views. The set of registered guards changes with the log, and an owner, a
   successor and the guards may have read the log up to different offsets. Two
   quorums of different sets need not meet. Hence several views can be active,
   and every rule must hold in each of them:
   - an owner takes up newer views one at a time. It carries the offset of the
     next one in heartbeats and retires the oldest after more than a third of it
     has acknowledged that offset. Consecutive views differ in one guard, so a
     third of the one and a quorum of the next cannot pass each other unnoticed;
   - a successor needs a fence quorum in each view from the lowest offset that the
     guards it counts have reported to the newest, and must have read the log up
     to the highest;
   - only an owner carries an offset. That of an entry which is still acquiring
     would hide the offset of the incumbent.

   A guard that is missing from the newest view was replaced, removed or has left.
   Its process ends before the record + guard_lease + clock_error (the assumption
   that the cut time makes as well). After that it counts as held for a quorum of
   an older view, and never as evidence; otherwise the restart of most guards
   would leave the shard without an owner for ever. */

#include "shard-private.h"

/* Clocks of two nodes may differ in rate by at most 1 in this number. */
#define CLOCK_RATE_DIVISOR 100

MdShardGuard *
md_shard_find_guard (const MdShard *shard, uint64_t id)
{
  for (size_t i = 0; i < shard->n_guards; i++)
    if (shard->guards[i].id == id)
      return &shard->guards[i];
  return NULL;
}

static int
compare_ids (const void *a, const void *b)
{
  const uint64_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

bool
md_shard_view_has (const MdShardView *view, uint64_t guard)
{
  return view->n > 0 && bsearch (&guard, view->guards, view->n, sizeof guard, compare_ids) != NULL;
}

const MdShardView *
md_shard_newest_view (const MdShard *shard)
{
  return shard->n_views ? &shard->views[shard->n_views - 1] : NULL;
}

size_t
md_shard_fence_quorum (size_t n)
{
  return (2 * n + 2) / 3;
}

size_t
md_shard_evidence_quorum (size_t n)
{
  return n / 3 + 1;
}

/* An inactive view is dropped when there are many, which costs a later successor
   only that an older offset stands for it. */
static void
drop_inactive_view (MdShard *shard)
{
  for (size_t i = 0; i + 1 < shard->n_views; i++)
    if (!shard->views[i].active)
      {
        free (shard->views[i].guards);
        shard->n_views--;
        memmove (&shard->views[i], &shard->views[i + 1],
                 (shard->n_views - i) * sizeof (MdShardView));
        return;
      }
}

static bool
reserve_view (MdShard *shard)
{
  MdShardView *views;

  if (shard->views != NULL && shard->n_views >= MD_SHARD_MAX_VIEWS)
    drop_inactive_view (shard);
  views = realloc (shard->views, (shard->n_views + 1) * sizeof (MdShardView));
  if (views == NULL)
    return false;
  shard->views = views;
  return true;
}

bool
md_shard_add_view (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  uint64_t *copy = calloc (n + 1, sizeof (uint64_t));

  if (copy == NULL)
    return false;
  if (n > 0)
    {
      memcpy (copy, guards, n * sizeof (uint64_t));
      qsort (copy, n, sizeof (uint64_t), compare_ids);
    }
  if (newest && newest->n == n
      && (n == 0 || memcmp (newest->guards, copy, n * sizeof (uint64_t)) == 0))
    {
      free (copy);
      return true;
    }
  if (!reserve_view (shard))
    {
      free (copy);
      return false;
    }
  shard->views[shard->n_views++] = (MdShardView){
    .offset = offset,
    .guards = copy,
    .n = n,
  };
  return true;
}

/* ------------------------------------------------------------------ */
/* Holding a quorum                                                   */

static int
compare_times_descending (const void *a, const void *b)
{
  const MdTime *x = a, *y = b;

  return (*x < *y) - (*x > *y);
}

static bool
gone (const MdShard *shard, uint64_t id, MdTime now)
{
  const MdShardGuard *guard = md_shard_find_guard (shard, id);

  return guard != NULL && guard->unregistered_at != MD_SHARD_NEVER
         && now - guard->unregistered_at >= shard->tuning.guard_lease + shard->tuning.clock_error;
}

/* Guards of a view that have to be held besides those that are gone. */
static size_t
guards_needed (const MdShard *shard, const MdShardView *view, MdTime now)
{
  size_t quorum = md_shard_fence_quorum (view->n);
  size_t n_gone = 0;

  for (size_t i = 0; i < view->n; i++)
    n_gone += gone (shard, view->guards[i], now);
  return quorum > n_gone ? quorum - n_gone : 0;
}

/* The k-th largest acknowledged time among the attached guards of a view that
   know at least an offset. */
static MdTime
kth_latest_ack (const MdShard *shard, const MdShardView *view, size_t k, uint64_t least_offset,
                bool confirmed_only)
{
  size_t n = 0;

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      const MdShardGuard *guard = &shard->guards[i];

      if (guard->attached && guard->known_offset >= least_offset
          && (guard->confirmed || !confirmed_only) && md_shard_view_has (view, guard->id))
        shard->scratch_times[n++] = guard->acked_sent_at;
    }
  if (k == 0 || n < k)
    return MD_SHARD_NEVER;
  qsort (shard->scratch_times, n, sizeof (MdTime), compare_times_descending);
  return shard->scratch_times[k - 1];
}

static size_t
count_held_at (const MdShard *shard, const MdShardView *view, MdTime instant, uint64_t least_offset)
{
  size_t n = 0;

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      const MdShardGuard *guard = &shard->guards[i];

      if (guard->attached && guard->known_offset >= least_offset && guard->attached_at <= instant
          && guard->acked_sent_at >= instant && md_shard_view_has (view, guard->id))
        n++;
    }
  return n;
}

/* An instant at which a quorum of every active view was held, MD_SHARD_NEVER if
   there is none. */
static MdTime
quorum_instant (const MdShard *shard, uint64_t least_offset, MdTime now)
{
  MdTime instant = INT64_MAX;

  for (size_t i = 0; i < shard->n_views; i++)
    {
      const MdShardView *view = &shard->views[i];
      size_t needed = view->active ? guards_needed (shard, view, now) : 0;
      MdTime ack;

      if (needed == 0)
        continue;
      ack = kth_latest_ack (shard, view, needed, least_offset, false);
      instant = ack < instant ? ack : instant;
    }
  if (instant == INT64_MAX || instant == MD_SHARD_NEVER)
    return MD_SHARD_NEVER;
  for (size_t i = 0; i < shard->n_views; i++)
    if (shard->views[i].active
        && count_held_at (shard, &shard->views[i], instant, least_offset)
               < guards_needed (shard, &shard->views[i], now))
      return MD_SHARD_NEVER;
  return instant;
}

void
md_shard_confirm_guards (MdShard *shard, MdTime now)
{
  MdTime instant = quorum_instant (shard, 0, now);

  if (instant == MD_SHARD_NEVER)
    return;
  for (size_t i = 0; i < shard->n_guards; i++)
    if (shard->guards[i].attached && shard->guards[i].attached_at <= instant)
      shard->guards[i].confirmed = true;
}

MdTime
md_shard_evidence_time (MdShard *shard)
{
  MdTime evidence = INT64_MAX;
  bool any = false;

  for (size_t i = 0; i < shard->n_views; i++)
    {
      const MdShardView *view = &shard->views[i];
      MdTime ack;

      if (!view->active)
        continue;
      any = true;
      ack = kth_latest_ack (shard, view, md_shard_evidence_quorum (view->n), 0, true);
      evidence = ack < evidence ? ack : evidence;
    }
  return any ? evidence : MD_SHARD_NEVER;
}

MdTime
md_shard_serve_duration (const MdShard *shard)
{
  return shard->tuning.fence_after - shard->tuning.fence_after / CLOCK_RATE_DIVISOR;
}

/* Some guards have fenced this owner, and the others suffice to acquire the shard
   anew. Giving the incarnation up brings back all guards at the cost of a round
   trip; what ran at the fenced ones would have no answer otherwise. */
bool
md_shard_needs_new_incarnation (const MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  size_t fenced = 0, held = 0;

  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find_guard (shard, newest->guards[i]);

      fenced += guard && guard->fenced;
      held += guard && guard->attached && guard->acked_sent_at != MD_SHARD_NEVER
              && guard->acked_sent_at + md_shard_serve_duration (shard) > now;
    }
  return fenced > 0 && held >= md_shard_fence_quorum (newest->n);
}

/* Guards of the newest view that were refused because they hear this holder. */
static size_t
count_guards_of_holder (const MdShard *shard, uint64_t holder)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  size_t n = 0;

  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find_guard (shard, newest->guards[i]);

      n += guard && guard->link_up && guard->holder_alive && guard->holder == holder;
    }
  return n;
}

/* The guards that can be reached and do not hear another holder are no quorum, and
   one such holder is older or has a quorum by itself. Two entries that acquire at
   the same time would otherwise block each other, and a candidate would keep a
   guard from a younger owner for ever. A holder that has just died looks the same
   for up to fence_after, and its guards are asked again that long after the last
   success; hence the wait. */
bool
md_shard_must_yield (const MdShard *shard, MdTime now, uint64_t *holder)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  size_t available = 0, attached = 0;

  *holder = 0;
  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find_guard (shard, newest->guards[i]);

      if (guard == NULL || !guard->link_up)
        continue;
      attached += guard->attached;
      available += !guard->holder_alive;
      if (guard->holder_alive
          && (guard->holder < shard->incarnation
              || count_guards_of_holder (shard, guard->holder)
                     >= md_shard_fence_quorum (newest->n)))
        *holder = guard->holder;
    }
  return attached > 0 && *holder != 0 && now - shard->last_attach_at > 2 * shard->tuning.fence_after
         && available < md_shard_fence_quorum (newest->n);
}

/* ------------------------------------------------------------------ */
/* Choosing the views of a successor                                  */

/* The view of an offset; the oldest one kept stands for those before it. */
static MdShardView *
view_at (const MdShard *shard, uint64_t offset)
{
  size_t i = shard->n_views - 1;

  while (i > 0 && shard->views[i].offset > offset)
    i--;
  return &shard->views[i];
}

static void
clear_active (MdShard *shard)
{
  for (size_t i = 0; i < shard->n_views; i++)
    shard->views[i].active = false;
}

static bool
counts (const MdShardGuard *guard, uint64_t least_offset)
{
  return guard->attached && guard->known_offset >= least_offset;
}

/* Activates the views from the lowest offset that was reported by the guards that
   know at least least_offset to the newest. */
static void
activate_reported (MdShard *shard, uint64_t least_offset)
{
  MdShardView *lowest = &shard->views[shard->n_views - 1];

  clear_active (shard);
  for (size_t i = 0; i < shard->n_guards; i++)
    {
      const MdShardGuard *guard = &shard->guards[i];
      MdShardView *view = view_at (shard, guard->known_offset);

      if (counts (guard, least_offset) && guard->known_offset > 0 && view < lowest)
        lowest = view;
    }
  for (MdShardView *view = lowest; view < shard->views + shard->n_views; view++)
    view->active = true;
}

static bool
all_recovered (const MdShard *shard, uint64_t least_offset)
{
  for (size_t i = 0; i < shard->n_guards; i++)
    if (counts (&shard->guards[i], least_offset) && !shard->guards[i].recovered)
      return false;
  return true;
}

/* The smallest offset above the given one that an attached guard reported. */
static bool
next_offset (const MdShard *shard, uint64_t *offset)
{
  uint64_t next = UINT64_MAX;

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      const MdShardGuard *guard = &shard->guards[i];

      if (guard->attached && guard->known_offset > *offset && guard->known_offset < next)
        next = guard->known_offset;
    }
  if (next == UINT64_MAX)
    return false;
  *offset = next;
  return true;
}

/* Tries all attached guards first, then leaves out those that know only older
   offsets: a guard that was cut off for long reports a view whose guards may be
   gone, and must not keep the shard without an owner. */
bool
md_shard_choose_views (MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  uint64_t least_offset = 0;

  if (newest == NULL || newest->n == 0)
    return false;
  for (size_t i = 0; i < shard->n_guards; i++)
    if (shard->guards[i].attached && shard->guards[i].known_offset > shard->read_offset)
      return false;
  do
    {
      activate_reported (shard, least_offset);
      if (all_recovered (shard, least_offset)
          && quorum_instant (shard, least_offset, now) != MD_SHARD_NEVER)
        return true;
    }
  while (next_offset (shard, &least_offset));
  clear_active (shard);
  return false;
}

/* ------------------------------------------------------------------ */
/* Views of an owner                                                  */

static bool
acknowledged (const MdShard *shard, const MdShardView *view, uint64_t offset)
{
  size_t n = 0;

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      const MdShardGuard *guard = &shard->guards[i];

      if (guard->confirmed && guard->attached && guard->acked_offset >= offset
          && md_shard_view_has (view, guard->id))
        n++;
    }
  return n >= md_shard_evidence_quorum (view->n);
}

/* Index of the oldest active view; n_views when there is none. */
static size_t
oldest_active (const MdShard *shard)
{
  size_t i = 0;

  while (i < shard->n_views && !shard->views[i].active)
    i++;
  return i;
}

uint64_t
md_shard_carried_offset (const MdShard *shard)
{
  size_t i = oldest_active (shard);

  if (i + 1 < shard->n_views && shard->views[i + 1].active)
    i++;
  return i < shard->n_views ? shard->views[i].offset : 0;
}

void
md_shard_advance_views (MdShard *shard)
{
  size_t i = oldest_active (shard);

  if (i + 1 >= shard->n_views)
    return;
  shard->views[i + 1].active = true;
  if (acknowledged (shard, &shard->views[i], shard->views[i + 1].offset))
    shard->views[i].active = false;
}

bool
md_shard_in_active_views (const MdShard *shard, uint64_t guard)
{
  for (size_t i = 0; i < shard->n_views; i++)
    if (shard->views[i].active && !md_shard_view_has (&shard->views[i], guard))
      return false;
  return true;
}
