/* shard.c -- an entry's ownership of one shard

   A follower that acquires attaches the guards of the shard with the incarnations
   to fence, recovers their records and serves once a fence quorum stands behind
   it (shard-quorum.c). An owner goes on while its evidence is younger than
   fence_after: E is the time of the (floor(|V|/3)+1)-th latest heartbeat that
   confirmed guards acknowledged. Each of these guards refuses to fence the owner
   until E + fence_after, and every other quorum contains one of them, so in the
   state SERVING no other entry can own the shard. This is what allows an owner to
   say "not run" about a submission that it has never sent to a guard.

   Guards accept starts until the nonce that the owner returns plus guard_lease.
   The owner returns only nonces that it received no later than E. A successor
   gets its quorum no earlier than E, so the leases of guards which it could not
   reach end before its takeover plus guard_lease, the base of the cut time.

   An incarnation owns a shard at most once. Its starts may still be on their way
   after it gave up, and a guard could not tell them from those of its second
   ownership; hence release and DROP spend the incarnation. */

#include "shard-private.h"

MdShard *
md_shard_new (const MdTuning *tuning, uint64_t self)
{
  MdShard *shard = calloc (1, sizeof *shard);

  if (shard == NULL)
    return NULL;
  shard->tuning = *tuning;
  shard->self = self;
  shard->next_self = self;
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
  free (shard->missing);
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
  MdShardGuard *guard = md_shard_find (shard, id);
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
  *guard
      = (MdShardGuard){ .id = id, .acked_at = MD_SHARD_NEVER, .unregistered_at = MD_SHARD_NEVER };
  return guard;
}

/* Forgets guards that are neither linked nor registered. */
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
mark_gone (MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest (shard);

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      if (md_shard_view_has (newest, guard->id))
        guard->unregistered_at = MD_SHARD_NEVER;
      else if (guard->unregistered_at == MD_SHARD_NEVER)
        guard->unregistered_at = now;
    }
}

/* State of an ownership; the link and its nonces stay. */
static void
reset_guard (MdShardGuard *guard)
{
  guard->attached = false;
  guard->recovered = false;
  guard->confirmed = false;
  guard->fenced = false;
  guard->used = false;
  guard->refused_alive = false;
  guard->retry_at = 0;
  guard->retry_delay = 0;
  guard->acked_at = MD_SHARD_NEVER;
  guard->acked_offset = 0;
  guard->known_offset = 0;
  guard->echoed = 0;
}

static bool
owns (const MdShard *shard)
{
  return shard->state == MD_SHARD_SERVING || shard->state == MD_SHARD_SUSPENDED;
}

/* ------------------------------------------------------------------ */
/* State changes                                                      */

static void
leave_state (MdShard *shard)
{
  shard->state = MD_SHARD_FOLLOWER;
  shard->self_used = true;
  shard->out_serve = false;
  shard->out_suspend = false;
  shard->n_fences = 0;
  for (size_t i = 0; i < shard->n_views; i++)
    shard->views[i].active = false;
}

static void
drop (MdShard *shard, bool fenced, uint64_t holder)
{
  leave_state (shard);
  shard->out_drop = true;
  shard->drop_fenced = fenced;
  shard->drop_holder = holder;
}

static void
suspend (MdShard *shard, MdTime now)
{
  shard->state = MD_SHARD_SUSPENDED;
  shard->reachable_since = now;
  shard->out_suspend = !shard->out_serve;
  shard->out_serve = false;
}

static bool
is_recovered (const MdShard *shard, uint64_t id)
{
  const MdShardGuard *guard = md_shard_find (shard, id);

  return guard != NULL && guard->attached && guard->recovered;
}

/* The guards whose records are not known at the takeover. */
static void
note_missing (MdShard *shard)
{
  shard->n_missing = 0;
  for (size_t i = 0; i < shard->n_views; i++)
    for (size_t j = 0; shard->views[i].active && j < shard->views[i].n; j++)
      {
        uint64_t *grown;

        if (is_recovered (shard, shard->views[i].guards[j]))
          continue;
        grown = realloc (shard->missing, (shard->n_missing + 1) * sizeof *grown);
        if (grown == NULL)
          abort (); /* a forgotten guard could let a task start twice */
        shard->missing = grown;
        shard->missing[shard->n_missing++] = shard->views[i].guards[j];
      }
}

/* Serving without a guard's records costs a cut time, so each gets a moment: its
   connection to an entry that has just started may still be on its way. One that
   has not answered for fence_after is not waited for. */
static bool
worth_waiting (const MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest (shard);

  if (now - shard->progress_at >= shard->tuning.fence_after)
    return false;
  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find (shard, newest->guards[i]);

      if (guard == NULL || (!guard->fenced && !guard->recovered))
        return true;
    }
  return false;
}

/* Once the guards that were missing at the takeover have handed over their
   records, only losses still hide what ran. The new process of such a guard does
   not count: what its former process ran is lost. */
static void
lift_cut (MdShard *shard)
{
  if (!shard->cut_by_takeover || shard->out_new_serve)
    return;
  for (size_t i = 0; i < shard->n_missing; i++)
    if (!is_recovered (shard, shard->missing[i]))
      return;
  shard->cut_by_takeover = false;
  shard->cut_ms = shard->cut_losses_ms;
  shard->out_serve = true;
}

static void
become_owner (MdShard *shard)
{
  shard->state = MD_SHARD_SERVING;
  shard->cut_ms = 0;
  note_missing (shard);
  shard->cut_by_takeover = shard->n_missing > 0;
  shard->out_serve = true;
  shard->out_new_serve = true;
}

/* The newest guards could be acquired anew, and the older views can no longer be
   satisfied, for instance because most guards were restarted. */
static bool
stuck (MdShard *shard, MdTime now)
{
  const MdShardView *newest = md_shard_newest (shard);
  size_t n = 0;

  for (size_t i = 0; i < newest->n; i++)
    {
      const MdShardGuard *guard = md_shard_find (shard, newest->guards[i]);

      n += guard && guard->link_up && !guard->fenced;
    }
  if (newest->n == 0 || n < md_shard_quorum_of (newest->n))
    shard->reachable_since = now;
  return now - shard->reachable_since > shard->tuning.guard_lease;
}

static void
update_owner (MdShard *shard, MdTime now)
{
  MdTime evidence;
  bool fresh;

  md_shard_confirm (shard, now);
  evidence = md_shard_evidence (shard);
  fresh = evidence != MD_SHARD_NEVER && evidence + md_shard_serve_time (shard) > now;
  if (shard->state == MD_SHARD_SERVING && !fresh)
    suspend (shard, now);
  else if (shard->state == MD_SHARD_SUSPENDED && fresh)
    {
      shard->state = MD_SHARD_SERVING;
      shard->out_serve = !shard->out_suspend;
      shard->out_suspend = false;
    }
  else if (shard->state == MD_SHARD_SUSPENDED && stuck (shard, now))
    drop (shard, false, 0);
  if (owns (shard) && md_shard_needs_new_incarnation (shard, now))
    drop (shard, true, shard->drop_holder);
  /* Not while suspended: the guards that have to agree to going on are those of
     the time at which contact was lost. */
  if (shard->state == MD_SHARD_SERVING)
    {
      md_shard_advance_views (shard);
      lift_cut (shard);
    }
}

static void
update (MdShard *shard, MdTime now)
{
  uint64_t holder;

  /* Without guards there is no evidence to serve on; the first one starts it. */
  if (shard->state == MD_SHARD_ACQUIRING && shard->n_views > 0 && md_shard_newest (shard)->n > 0)
    {
      if (md_shard_choose (shard, now) && !worth_waiting (shard, now))
        become_owner (shard);
      else if (md_shard_overruled (shard, now, &holder))
        drop (shard, false, holder);
    }
  if (owns (shard))
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
  mark_gone (shard, now);
  prune_guards (shard);
  update (shard, now);
}

/* Time a loss has to be remembered: submissions of that age are refused anyway. */
static int64_t
loss_kept_ms (const MdShard *shard)
{
  return (shard->tuning.horizon + shard->tuning.guard_lease + 2 * shard->tuning.clock_error)
         / MD_MS;
}

static void
prune_losses (MdShard *shard, int64_t wall_ms)
{
  for (size_t i = 0; i < shard->n_losses;)
    if (wall_ms - shard->losses[i].lost_ms <= loss_kept_ms (shard))
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
    abort (); /* forgetting a loss could start a task twice */
  shard->losses = losses;
  shard->losses[shard->n_losses++] = (MdShardLoss){ guard, lost_ms };
  update (shard, now);
}

static void
add_fence (MdShard *shard, uint64_t entry)
{
  uint64_t *fences;

  if (entry == 0 || entry == shard->self)
    return;
  for (size_t i = 0; i < shard->n_fences; i++)
    if (shard->fences[i] == entry)
      return;
  fences = realloc (shard->fences, (shard->n_fences + 1) * sizeof *fences);
  if (fences == NULL)
    return; /* the guard refuses the attach again, and it is retried */
  shard->fences = fences;
  shard->fences[shard->n_fences++] = entry;
}

void
md_shard_acquire (MdShard *shard, const uint64_t *fences, size_t n, MdTime now)
{
  if (shard->state == MD_SHARD_FOLLOWER)
    {
      if (shard->self_used && shard->next_self == shard->self)
        return;
      shard->self = shard->next_self;
      shard->self_used = false;
      shard->state = MD_SHARD_ACQUIRING;
      shard->progress_at = now;
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
  leave_state (shard);
}

void
md_shard_set_self (MdShard *shard, uint64_t self)
{
  shard->next_self = self;
}

/* A guard whose records have not arrived completely is attached again on the next
   connection. */
void
md_shard_link (MdShard *shard, uint64_t id, bool up, MdTime now)
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

/* A former owner that one guard no longer hears is soon silent at the others. */
static void
ask_others_soon (MdShard *shard, MdTime now)
{
  MdTime soon = now + shard->tuning.fence_after;

  shard->progress_at = now;
  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];

      guard->retry_delay = 0;
      if (!guard->attached && guard->retry_at > soon)
        guard->retry_at = soon;
    }
}

static void
take_attached (MdShard *shard, MdShardGuard *guard, uint64_t known_offset, MdTime now)
{
  if (guard->attached)
    return;
  guard->attached = true;
  guard->attached_at = now;
  guard->refused_alive = false;
  ask_others_soon (shard, now);
  if (known_offset > guard->known_offset)
    guard->known_offset = known_offset;
  update (shard, now);
}

/* An owner that is fenced by too many guards has no evidence left. */
static void
take_fenced (MdShard *shard, MdShardGuard *guard, uint64_t holder, MdTime now)
{
  const MdShardView *newest = md_shard_newest (shard);
  size_t open = 0;

  guard->fenced = true;
  guard->attached = false;
  guard->confirmed = false;
  shard->drop_holder = holder;
  for (size_t i = 0; newest && i < newest->n; i++)
    {
      const MdShardGuard *other = md_shard_find (shard, newest->guards[i]);

      open += other && !other->fenced;
    }
  if (shard->state == MD_SHARD_ACQUIRING || newest == NULL
      || open < md_shard_evidence_of (newest->n))
    drop (shard, true, holder);
  else
    update (shard, now);
}

static void
take_refusal (MdShard *shard, MdShardGuard *guard, const MdAttachResult *result, MdTime now)
{
  MdTime delay = guard->retry_delay ? guard->retry_delay * 2 : shard->tuning.fence_after;

  if (guard->attached)
    return; /* an answer to an earlier attach */
  guard->refused_alive = result->holder_alive;
  guard->refused_by = result->holder;
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

/* The guard was taken meanwhile by an entry that has given up since. */
static void
take_detached (MdShard *shard, MdShardGuard *guard, MdTime now)
{
  if (!guard->attached)
    return;
  guard->attached = guard->confirmed = false;
  guard->retry_at = now;
  update (shard, now);
}

void
md_shard_attach_reply (MdShard *shard, uint64_t id, const MdAttachResult *result,
                       uint64_t known_offset, MdTime now)
{
  MdShardGuard *guard = md_shard_find (shard, id);

  if (guard == NULL || shard->state == MD_SHARD_FOLLOWER || guard->fenced)
    return;
  if (result->attached)
    take_attached (shard, guard, known_offset, now);
  else if (result->reason == MD_REASON_FENCED)
    take_fenced (shard, guard, result->holder, now);
  else if (result->reason == MD_REASON_DETACHED)
    take_detached (shard, guard, now);
  else
    take_refusal (shard, guard, result, now);
}

void
md_shard_records_end (MdShard *shard, uint64_t id, MdTime now)
{
  MdShardGuard *guard = md_shard_find (shard, id);

  if (guard == NULL || !guard->attached)
    return;
  guard->recovered = true;
  update (shard, now);
}

/* Nonces that follow closely are left out, so that the ones kept span a lease
   whatever the rate of heartbeats is. */
void
md_shard_nonce (MdShard *shard, uint64_t id, MdTime nonce, MdTime now)
{
  MdShardGuard *guard = md_shard_find (shard, id);
  MdTime gap = shard->tuning.guard_lease / MD_SHARD_NONCES;

  if (guard == NULL)
    return;
  if (guard->n_nonces > 0 && now - guard->nonces[guard->n_nonces - 1].received < gap)
    return;
  if (guard->n_nonces == MD_SHARD_NONCES)
    {
      guard->n_nonces--;
      memmove (guard->nonces, guard->nonces + 1, guard->n_nonces * sizeof *guard->nonces);
    }
  guard->nonces[guard->n_nonces++] = (MdShardNonce){ nonce, now };
}

/* Only a guard that is attached counts: one that is held by a successor without
   having fenced us would still acknowledge. */
void
md_shard_ack (MdShard *shard, uint64_t id, MdTime sent_at, uint64_t offset, MdTime now)
{
  MdShardGuard *guard = md_shard_find (shard, id);

  if (guard == NULL || !guard->attached)
    return;
  if (sent_at > guard->acked_at && sent_at <= now)
    guard->acked_at = sent_at;
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
  evidence = md_shard_evidence (shard);
  return evidence + md_shard_serve_time (shard) < next ? evidence + md_shard_serve_time (shard)
                                                       : next;
}

/* ------------------------------------------------------------------ */
/* Decisions                                                          */

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

  return cut > shard->cut_losses_ms ? cut : shard->cut_losses_ms;
}

static bool
next_state_change (MdShard *shard, int64_t wall_ms, MdShardDecision *decision)
{
  if (shard->out_drop)
    {
      shard->out_drop = false;
      decision->kind = MD_SHARD_DROP;
      decision->holder = shard->drop_holder;
      decision->fenced = shard->drop_fenced;
      return true;
    }
  if (shard->out_suspend)
    {
      shard->out_suspend = false;
      decision->kind = MD_SHARD_SUSPEND;
      return true;
    }
  if (!shard->out_serve)
    return false;
  if (shard->out_new_serve)
    {
      shard->cut_losses_ms = cut_of_losses (shard);
      shard->cut_ms = cut_of_takeover (shard, wall_ms);
    }
  shard->out_serve = false;
  shard->out_new_serve = false;
  decision->kind = MD_SHARD_SERVE;
  decision->cut_ms = shard->cut_ms;
  return true;
}

/* A request without an answer is repeated after fence_after. */
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

      if (guard->used || !guard->recovered || !guard->confirmed
          || !md_shard_in_active (shard, guard->id))
        continue;
      guard->used = true;
      decision->kind = MD_SHARD_USE;
      decision->guard = guard->id;
      return true;
    }
  return false;
}

/* The largest nonce received no later than E. */
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
  MdTime evidence = md_shard_evidence (shard);

  for (size_t i = 0; i < shard->n_guards; i++)
    {
      MdShardGuard *guard = &shard->guards[i];
      MdTime nonce = covered_nonce (guard, evidence);

      if (!guard->link_up || !guard->confirmed || nonce <= guard->echoed)
        continue;
      guard->echoed = nonce;
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
  if (next_state_change (shard, wall_ms, decision))
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
  return owns (shard) ? md_shard_carried_offset (shard) : 0;
}
