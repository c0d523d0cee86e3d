/* shard.c -- ownership of one shard by an entry

   To acquire a shard, a follower attaches the guards of the shard with the
   incarnations to fence, recovers their records and serves once it holds a fence
   quorum (shard-quorum.c). An owner continues while its evidence is younger than
   fence_after: the evidence time E is the time of the (floor(|V|/3)+1)-th latest
   heartbeat that confirmed guards of the view V acknowledged. Each of these guards
   refuses to fence the owner until E + fence_after, and every other quorum contains
   one of them, so no other entry can own the shard while this one is in state
   SERVING. Therefore an owner can say "not run" about a submission that it has
   never sent to a guard.

   Guards accept starts until the nonce that the owner returns plus guard_lease. The
   owner returns only nonces that it received no later than E. A successor gets its
   quorum no earlier than E, so the leases of guards which it could not reach end
   before its takeover plus guard_lease, on which the cut time is based.

   An incarnation owns a shard at most once. After it has given up the shard, its
   starts may still be in transit, and a guard could not distinguish them from those
   of a second ownership. Release and DROP therefore use up the incarnation. */

#include "shard-private.h"

MdShard *
md_shard_new (const MdTuning *tuning, uint64_t incarnation)
{
  MdShard *shard = calloc (1, sizeof *shard);

  if (shard == NULL)
    return NULL;
  shard->tuning = *tuning;
  shard->incarnation = incarnation;
  shard->next_incarnation = incarnation;
  return shard;
}

void
md_shard_free (MdShard *shard)
{
  if (shard == NULL)
    return;
  for (size_t i = 0; i < shard->n_views; i++)
    free (shard->views[i].guards);
  free (shard->views);
  free (shard->guards);
  free (shard->losses);
  free (shard->missing_guards);
  free (shard->fences);
  free (shard->scratch_times);
  free (shard);
}

/* ------------------------------------------------------------------ */
/* Guards                                                             */

static bool
in_any_view (const MdShard *shard, uint64_t guard)
{
  for (size_t i = 0; i < shard->n_views; i++)
    if (md_shard_view_has (&shard->views[i], guard))
      return true;
  return false;
}

static MdShardGuard *
add_guard (MdShard *shard, uint64_t id)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);
  size_t cap = shard->cap_guards ? shard->cap_guards * 2 : 16;
  MdShardGuard *guards;
  MdTime *times;

  if (guard)
    return guard;
  if (shard->n_guards == shard->cap_guards)
    {
      times = realloc (shard->scratch_times, cap * sizeof *times);
      if (times == NULL)
        return NULL;
      shard->scratch_times = times;
      guards = realloc (shard->guards, cap * sizeof *guards);
      if (guards == NULL)
        return NULL;
      shard->guards = guards;
      shard->cap_guards = cap;
    }
  guard = &shard->guards[shard->n_guards++];
  *guard = (MdShardGuard){ .id = id,
                           .acked_sent_at = MD_SHARD_NEVER,
                           .unregistered_at = MD_SHARD_NEVER };
  return guard;
}

/* Removes guards that are neither linked nor registered. */
static void
prune_guards (MdShard *shard)
{
  for (size_t i = 0; i < shard->n_guards;)
    if (shard->guards[i].link_up || in_any_view (shard, shard->guards[i].id))
      i++;
    else
      shard->guards[i] = shard->guards[--shard->n_guards];
}

static void
update_unregistered (MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      if (md_shard_view_has (newest, guard->id))
        guard->unregistered_at = MD_SHARD_NEVER;
      else if (guard->unregistered_at == MD_SHARD_NEVER)
        guard->unregistered_at = now;
    }
}

/* Resets the state that belongs to one ownership; the link and its nonces stay. */
static void
reset_guard (MdShardGuard *guard)
{
  guard->attached = false;
  guard->recovered = false;
  guard->confirmed = false;
  guard->fenced = false;
  guard->use_emitted = false;
  guard->holder_alive = false;
  guard->retry_at = 0;
  guard->retry_delay = 0;
  guard->acked_sent_at = MD_SHARD_NEVER;
  guard->acked_offset = 0;
  guard->known_offset = 0;
  guard->echoed_nonce = 0;
}

static bool
is_owner (const MdShard *shard)
{
  return shard->state == MD_SHARD_SERVING || shard->state == MD_SHARD_SUSPENDED;
}

/* ------------------------------------------------------------------ */
/* State changes                                                      */

static void
become_follower (MdShard *shard)
{
  shard->state = MD_SHARD_FOLLOWER;
  shard->incarnation_used = true;
  shard->pending_serve = false;
  shard->pending_suspend = false;
  shard->n_fences = 0;
  for (size_t i = 0; i < shard->n_views; i++)
    shard->views[i].active = false;
}

static void
drop_ownership (MdShard *shard, bool fenced, uint64_t holder)
{
  become_follower (shard);
  shard->pending_drop = true;
  shard->drop_fenced = fenced;
  shard->drop_holder = holder;
}

static void
suspend_serving (MdShard *shard, MdTime now)
{
  shard->state = MD_SHARD_SUSPENDED;
  shard->reachable_since = now;
  shard->pending_suspend = !shard->pending_serve;
  shard->pending_serve = false;
}

static bool
is_recovered (const MdShard *shard, uint64_t id)
{
  const MdShardGuard *guard = md_shard_find_guard (shard, id);

  return guard != NULL && guard->attached && guard->recovered;
}

/* Stores the guards whose records were not received before the takeover. */
static void
collect_missing_guards (MdShard *shard)
{
  shard->n_missing_guards = 0;
  for (size_t i = 0; i < shard->n_views; i++)
    for (size_t j = 0; shard->views[i].active && j < shard->views[i].n; j++)
      {
        uint64_t *grown;

        if (is_recovered (shard, shard->views[i].guards[j]))
          continue;
        grown = realloc (shard->missing_guards, (shard->n_missing_guards + 1) * sizeof *grown);
        if (grown == NULL)
          abort (); /* without the entry, a task could start twice */
        shard->missing_guards = grown;
        shard->missing_guards[shard->n_missing_guards++] = shard->views[i].guards[j];
      }
}

/* Serving without the records of a guard requires a cut time, so the owner waits
   for guards that may still be connecting, for instance to an entry that has just
   started. The wait ends after fence_after without another attach. */
static bool
should_wait_for_records (const MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);

  if (now - shard->last_attach_at >= shard->tuning.fence_after)
    return false;
  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find_guard (shard, newest->guards[i]);

      if (guard == NULL || (!guard->fenced && !guard->recovered))
        return true;
    }
  return false;
}

/* Ends the cut of the takeover once all guards that were missing have sent their
   records; only losses remain then. The new process of a missing guard does not
   count, because what the former process ran is lost. */
static void
end_takeover_cut (MdShard *shard)
{
  if (!shard->cut_by_takeover || shard->first_serve)
    return;
  for (size_t i = 0; i < shard->n_missing_guards; i++)
    if (!is_recovered (shard, shard->missing_guards[i]))
      return;
  shard->cut_by_takeover = false;
  shard->cut_ms = shard->loss_cut_ms;
  shard->pending_serve = true;
}

static void
become_owner (MdShard *shard)
{
  shard->state = MD_SHARD_SERVING;
  shard->cut_ms = 0;
  collect_missing_guards (shard);
  shard->cut_by_takeover = shard->n_missing_guards > 0;
  shard->pending_serve = true;
  shard->first_serve = true;
}

/* Returns whether a suspended owner must acquire the shard again: a quorum of the
   newest view has been linked for longer than guard_lease, so the older active
   views can no longer be satisfied, for instance because most guards were
   restarted. */
static bool
must_reacquire (MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  size_t n = 0;

  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find_guard (shard, newest->guards[i]);

      n += guard && guard->link_up && !guard->fenced;
    }
  if (newest->n == 0 || n < md_shard_fence_quorum (newest->n))
    shard->reachable_since = now;
  return now - shard->reachable_since > shard->tuning.guard_lease;
}

static void
update_owner (MdShard *shard, MdTime now)
{
  MdTime evidence;
  bool evidence_valid;

  md_shard_confirm_guards (shard, now);
  evidence = md_shard_evidence_time (shard);
  evidence_valid = evidence != MD_SHARD_NEVER && evidence + md_shard_serve_duration (shard) > now;
  if (shard->state == MD_SHARD_SERVING && !evidence_valid)
    suspend_serving (shard, now);
  else if (shard->state == MD_SHARD_SUSPENDED && evidence_valid)
    {
      shard->state = MD_SHARD_SERVING;
      shard->pending_serve = !shard->pending_suspend;
      shard->pending_suspend = false;
    }
  else if (shard->state == MD_SHARD_SUSPENDED && must_reacquire (shard, now))
    drop_ownership (shard, false, 0);
  if (is_owner (shard) && md_shard_needs_new_incarnation (shard, now))
    drop_ownership (shard, true, shard->drop_holder);
  /* Not while suspended: the guards that decide on resuming are those of the time
     at which the quorum was lost. */
  if (shard->state == MD_SHARD_SERVING)
    {
      md_shard_advance_views (shard);
      end_takeover_cut (shard);
    }
}

static void
update (MdShard *shard, MdTime now)
{
  uint64_t holder;

  /* Without guards there is no evidence to serve on. */
  if (shard->state == MD_SHARD_ACQUIRING && shard->n_views > 0
      && md_shard_newest_view (shard)->n > 0)
    {
      if (md_shard_choose_views (shard, now) && !should_wait_for_records (shard, now))
        become_owner (shard);
      else if (md_shard_must_yield (shard, now, &holder))
        drop_ownership (shard, false, holder);
    }
  if (is_owner (shard))
    update_owner (shard, now);
}

/* ------------------------------------------------------------------ */
/* Inputs                                                             */

void
md_shard_set_guards (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset, MdTime now)
{
  if (offset < shard->read_offset || (shard->n_views > 0 && offset == shard->read_offset))
    return;
  if (!md_shard_add_view (shard, guards, n, offset))
    return; /* the caller passes the set again with the next record */
  shard->read_offset = offset;
  for (size_t i = 0; i < n; i++)
    add_guard (shard, guards[i]);
  update_unregistered (shard, now);
  prune_guards (shard);
  update (shard, now);
}

/* How long a loss is kept; older submissions are refused anyway. */
static int64_t
loss_retention_ms (const MdShard *shard)
{
  return (shard->tuning.horizon + shard->tuning.guard_lease + 2 * shard->tuning.clock_error)
         / MD_MS;
}

static void
prune_losses (MdShard *shard, int64_t wall_ms)
{
  for (size_t i = 0; i < shard->n_losses;)
    if (wall_ms - shard->losses[i].lost_ms <= loss_retention_ms (shard))
      i++;
    else
      shard->losses[i] = shard->losses[--shard->n_losses];
}

void
md_shard_guard_lost (MdShard *shard, uint64_t guard, int64_t lost_ms, int64_t wall_ms, MdTime now)
{
  MdShardLoss *losses;

  prune_losses (shard, wall_ms);
  losses = realloc (shard->losses, (shard->n_losses + 1) * sizeof *losses);
  if (losses == NULL)
    abort (); /* without the entry, a task could start twice */
  shard->losses = losses;
  shard->losses[shard->n_losses++] = (MdShardLoss){ guard, lost_ms };
  update (shard, now);
}

static void
add_fence (MdShard *shard, uint64_t entry)
{
  uint64_t *fences;

  if (entry == 0 || entry == shard->incarnation)
    return;
  for (size_t i = 0; i < shard->n_fences; i++)
    if (shard->fences[i] == entry)
      return;
  fences = realloc (shard->fences, (shard->n_fences + 1) * sizeof *fences);
  if (fences == NULL)
    return; /* the guard refuses the attach, which is then repeated */
  shard->fences = fences;
  shard->fences[shard->n_fences++] = entry;
}

void
md_shard_acquire (MdShard *shard, const uint64_t *fences, size_t n, MdTime now)
{
  if (shard->state == MD_SHARD_FOLLOWER)
    {
      if (shard->incarnation_used && shard->next_incarnation == shard->incarnation)
        return;
      shard->incarnation = shard->next_incarnation;
      shard->incarnation_used = false;
      shard->state = MD_SHARD_ACQUIRING;
      shard->last_attach_at = now;
      for (size_t i = 0; i < shard->n_guards; i++)
        reset_guard (&shard->guards[i]);
    }
  for (size_t i = 0; i < n; i++)
    add_fence (shard, fences[i]);
  update (shard, now);
}

void
md_shard_release (MdShard *shard, MdTime now)
{
  (void)now;
  if (shard->state == MD_SHARD_FOLLOWER)
    return;
  become_follower (shard);
}

void
md_shard_set_incarnation (MdShard *shard, uint64_t incarnation)
{
  shard->next_incarnation = incarnation;
}

/* A guard whose records have not been received completely is attached again on the
   next connection. */
void
md_shard_set_link (MdShard *shard, uint64_t id, bool up, MdTime now)
{
  MdShardGuard *guard = add_guard (shard, id);

  if (guard == NULL)
    return;
  guard->link_up = up;
  guard->retry_at = 0;
  if (!guard->recovered)
    {
      guard->attached = false;
      guard->confirmed = false;
    }
  prune_guards (shard);
  update (shard, now);
}

/* A former owner to which one guard has lost contact soon counts as silent at the
   others as well, so their attaches are repeated soon. */
static void
retry_attaches_soon (MdShard *shard, MdTime now)
{
  MdTime retry_at = now + shard->tuning.fence_after;

  shard->last_attach_at = now;
  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      guard->retry_delay = 0;
      if (!guard->attached && guard->retry_at > retry_at)
        guard->retry_at = retry_at;
    }
}

static void
handle_attached (MdShard *shard, MdShardGuard *guard, uint64_t known_offset, MdTime now)
{
  if (guard->attached)
    return;
  guard->attached = true;
  guard->attached_at = now;
  guard->holder_alive = false;
  retry_attaches_soon (shard, now);
  if (known_offset > guard->known_offset)
    guard->known_offset = known_offset;
  update (shard, now);
}

/* An owner that is fenced by too many guards cannot collect evidence any more. */
static void
handle_fenced (MdShard *shard, MdShardGuard *guard, uint64_t holder, MdTime now)
{
  const MdShardView *newest = md_shard_newest_view (shard);
  size_t not_fenced = 0;

  guard->fenced = true;
  guard->attached = false;
  guard->confirmed = false;
  shard->drop_holder = holder;
  for (size_t i = 0; newest && i < newest->n; i++)
    {
      const MdShardGuard *other = md_shard_find_guard (shard, newest->guards[i]);

      not_fenced += other && !other->fenced;
    }
  if (shard->state == MD_SHARD_ACQUIRING || newest == NULL
      || not_fenced < md_shard_evidence_quorum (newest->n))
    drop_ownership (shard, true, holder);
  else
    update (shard, now);
}

static void
handle_refusal (MdShard *shard, MdShardGuard *guard, const MdAttachResult *result, MdTime now)
{
  MdTime delay = guard->retry_delay ? guard->retry_delay * 2 : shard->tuning.fence_after;

  if (guard->attached)
    return; /* reply to an earlier attach */
  guard->holder_alive = result->holder_alive;
  guard->holder = result->holder;
  if (result->holder_alive)
    {
      guard->retry_delay
          = delay < shard->tuning.reconnect_max ? delay : shard->tuning.reconnect_max;
      guard->retry_at = now + guard->retry_delay;
    }
  else
    {
      add_fence (shard, result->holder);
      guard->retry_at = result->holder ? now : now + shard->tuning.fence_after;
    }
  update (shard, now);
}

/* The guard was attached to another entry in the meantime, which has given it up since. */
static void
handle_detached (MdShard *shard, MdShardGuard *guard, MdTime now)
{
  if (!guard->attached)
    return;
  guard->attached = guard->confirmed = false;
  guard->retry_at = now;
  update (shard, now);
}

void
md_shard_guard_given_up (MdShard *shard, uint64_t id, MdTime now)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);

  if (guard == NULL)
    return;
  guard->attached = guard->confirmed = false;
  guard->recovered = guard->use_emitted = false;
  guard->retry_at = now;
  update (shard, now);
}

void
md_shard_attach_reply (MdShard *shard, uint64_t id, const MdAttachResult *result,
                       uint64_t known_offset, MdTime now)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);

  if (guard == NULL || shard->state == MD_SHARD_FOLLOWER || guard->fenced)
    return;
  if (result->attached)
    handle_attached (shard, guard, known_offset, now);
  else if (result->reason == MD_REASON_FENCED)
    handle_fenced (shard, guard, result->holder, now);
  else if (result->reason == MD_REASON_DETACHED)
    handle_detached (shard, guard, now);
  else
    handle_refusal (shard, guard, result, now);
}

void
md_shard_records_end (MdShard *shard, uint64_t id, MdTime now)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);

  if (guard == NULL || !guard->attached)
    return;
  guard->recovered = true;
  update (shard, now);
}

/* Nonces at short intervals are skipped, so that the stored ones span a lease
   whatever the heartbeat interval. */
void
md_shard_record_nonce (MdShard *shard, uint64_t id, MdTime nonce, MdTime now)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);
  MdTime gap = shard->tuning.guard_lease / MD_SHARD_MAX_NONCES;

  if (guard == NULL)
    return;
  if (guard->n_nonces > 0 && now - guard->nonces[guard->n_nonces - 1].received < gap)
    return;
  if (guard->n_nonces == MD_SHARD_MAX_NONCES)
    {
      guard->n_nonces--;
      memmove (guard->nonces, guard->nonces + 1, guard->n_nonces * sizeof *guard->nonces);
    }
  guard->nonces[guard->n_nonces++] = (MdShardNonce){ nonce, now };
}

/* Only attached guards count: a guard that is held by a successor but has not
   fenced this incarnation would still acknowledge. */
void
md_shard_record_ack (MdShard *shard, uint64_t id, MdTime sent_at, uint64_t offset, MdTime now)
{
  MdShardGuard *guard = md_shard_find_guard (shard, id);

  if (guard == NULL || !guard->attached)
    return;
  if (sent_at > guard->acked_sent_at && sent_at <= now)
    guard->acked_sent_at = sent_at;
  if (offset > guard->acked_offset)
    guard->acked_offset = offset;
  update (shard, now);
}

MdTime
md_shard_tick (MdShard *shard, MdTime now, int64_t wall_ms)
{
  MdTime next = now + shard->tuning.fence_after;
  MdTime evidence;

  prune_losses (shard, wall_ms);
  update (shard, now);
  for (size_t i = 0; shard->state != MD_SHARD_FOLLOWER && i < shard->n_guards; i++)
    if (!shard->guards[i].attached && shard->guards[i].link_up && shard->guards[i].retry_at > now
        && shard->guards[i].retry_at < next)
      next = shard->guards[i].retry_at;
  if (shard->state != MD_SHARD_SERVING)
    return next;
  evidence = md_shard_evidence_time (shard);
  return evidence + md_shard_serve_duration (shard) < next
             ? evidence + md_shard_serve_duration (shard)
             : next;
}

/* ------------------------------------------------------------------ */
/* Decisions                                                          */

/* A lost or unreachable guard may accept starts for up to guard_lease after the
   loss or the takeover. */
static int64_t
cut_margin_ms (const MdShard *shard)
{
  return (shard->tuning.guard_lease + shard->tuning.clock_error) / MD_MS;
}

static int64_t
cut_of_losses (const MdShard *shard)
{
  int64_t cut = 0;

  for (size_t i = 0; i < shard->n_losses; i++)
    if (shard->losses[i].lost_ms + cut_margin_ms (shard) > cut)
      cut = shard->losses[i].lost_ms + cut_margin_ms (shard);
  return cut;
}

static int64_t
cut_of_takeover (const MdShard *shard, int64_t wall_ms)
{
  int64_t cut = shard->cut_by_takeover ? wall_ms + cut_margin_ms (shard) : 0;

  return cut > shard->loss_cut_ms ? cut : shard->loss_cut_ms;
}

static bool
next_transition (MdShard *shard, int64_t wall_ms, MdShardDecision *decision)
{
  if (shard->pending_drop)
    {
      shard->pending_drop = false;
      decision->kind = MD_SHARD_DROP;
      decision->holder = shard->drop_holder;
      decision->fenced = shard->drop_fenced;
      return true;
    }
  if (shard->pending_suspend)
    {
      shard->pending_suspend = false;
      decision->kind = MD_SHARD_SUSPEND;
      return true;
    }
  if (!shard->pending_serve)
    return false;
  if (shard->first_serve)
    {
      shard->loss_cut_ms = cut_of_losses (shard);
      shard->cut_ms = cut_of_takeover (shard, wall_ms);
    }
  shard->pending_serve = false;
  shard->first_serve = false;
  decision->kind = MD_SHARD_SERVE;
  decision->cut_ms = shard->cut_ms;
  return true;
}

/* An attach without a reply is repeated after fence_after. */
static bool
next_attach (MdShard *shard, MdTime now, MdShardDecision *decision)
{
  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      if (!guard->link_up || guard->attached || guard->fenced || guard->retry_at > now
          || !in_any_view (shard, guard->id))
        continue;
      guard->retry_at = now + shard->tuning.fence_after;
      decision->kind = MD_SHARD_ATTACH;
      decision->guard = guard->id;
      decision->fences = shard->fences;
      decision->n_fences = shard->n_fences;
      return true;
    }
  return false;
}

static bool
next_use (MdShard *shard, MdShardDecision *decision)
{
  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      if (guard->use_emitted || !guard->recovered || !guard->confirmed
          || !md_shard_in_active_views (shard, guard->id))
        continue;
      guard->use_emitted = true;
      decision->kind = MD_SHARD_USE;
      decision->guard = guard->id;
      return true;
    }
  return false;
}

/* Returns the largest nonce that was received no later than the evidence time, 0 if none. */
static MdTime
covered_nonce (const MdShardGuard *guard, MdTime evidence)
{
  MdTime nonce = 0;

  for (size_t i = 0; i < guard->n_nonces; i++)
    if (guard->nonces[i].received <= evidence && guard->nonces[i].nonce > nonce)
      nonce = guard->nonces[i].nonce;
  return nonce;
}

static bool
next_echo (MdShard *shard, MdShardDecision *decision)
{
  MdTime evidence = md_shard_evidence_time (shard);

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];
      MdTime nonce = covered_nonce (guard, evidence);

      if (!guard->link_up || !guard->confirmed || nonce <= guard->echoed_nonce)
        continue;
      guard->echoed_nonce = nonce;
      decision->kind = MD_SHARD_ECHO;
      decision->guard = guard->id;
      decision->nonce = nonce;
      return true;
    }
  return false;
}

bool
md_shard_next (MdShard *shard, MdTime now, int64_t wall_ms, MdShardDecision *decision)
{
  *decision = (MdShardDecision){ 0 };
  update (shard, now);
  if (next_transition (shard, wall_ms, decision))
    return true;
  if (shard->state != MD_SHARD_FOLLOWER && next_attach (shard, now, decision))
    return true;
  if (shard->state != MD_SHARD_SERVING)
    return false;
  return next_use (shard, decision) || next_echo (shard, decision);
}

MdShardState
md_shard_state (const MdShard *shard)
{
  return shard->state;
}

/* Only an owner carries an offset; see shard-quorum.c. */
uint64_t
md_shard_offset (const MdShard *shard)
{
  return is_owner (shard) ? md_shard_carried_offset (shard) : 0;
}
