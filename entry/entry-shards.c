/* entry-shards.c -- shards of the configured pools and who owns them

   For every shard of every pool this entry keeps the ownership core and a
   dispatch core. The ownership core says which guards to attach and when to
   serve; this file turns that into messages and hands guards over to the
   dispatch core. A vacant shard is taken by the entry with the highest
   rendezvous hash; an incumbent keeps its shards. */

#include "entry-private.h"

#include <stdio.h>

#define LOST_AFTER (10 * MD_SECOND) /* silence after which attempts are given up */
#define RETRY_ACQUIRE (500 * MD_MS) /* between attempts while a holder lives */
#define MAX_GUARDS 4096             /* guards of one shard */

Shard *
md_shards_find (MdEntry *entry, const char *pool, uint32_t index)
{
  for (Shard *s = entry->shards; s != NULL; s = s->next)
    if (s->index == index && strcmp (s->pool, pool) == 0)
      return s;
  return NULL;
}

static void
apply_policies (Shard *shard, const MdConfigView *view)
{
  md_dispatch_set_pool (shard->dispatch, &shard->policy);
  for (size_t i = 0; i < view->n_customers; i++)
    {
      MdCustomerPolicy policy = view->customers[i].policy;

      /* Without fair sharing all customers weigh the same and nothing is capped
         but their queues. */
      if (!shard->fair_share)
        policy.weight = 1;
      md_dispatch_set_customer (shard->dispatch, md_str (view->customers[i].name), &policy);
    }
}

static int
make_cores (MdEntry *entry, Shard *shard)
{
  shard->self = md_new_incarnation ();
  shard->core = md_shard_new (&entry->settings.tuning, shard->self);
  shard->dispatch = md_dispatch_new (&entry->settings.tuning);
  return shard->core != NULL && shard->dispatch != NULL ? MD_OK : MD_E_MEMORY;
}

static void
free_shard (Shard *shard)
{
  md_shard_free (shard->core);
  md_dispatch_free (shard->dispatch);
  free (shard);
}

static Shard *
add_shard (MdEntry *entry, const MdPoolConfig *pool, uint32_t index)
{
  Shard *shard = calloc (1, sizeof *shard);

  if (shard == NULL)
    return NULL;
  shard->index = index;
  shard->shards = pool->shards ? pool->shards : 1;
  md_str_copy (shard->pool, sizeof shard->pool, md_str (pool->name));
  snprintf (shard->name, sizeof shard->name, "%.60s/%u", pool->name, index);
  if (make_cores (entry, shard) != MD_OK)
    {
      free_shard (shard);
      return NULL;
    }
  shard->next = entry->shards;
  entry->shards = shard;
  md_log (MD_LOG_INFO, "shard-added", "shard=%s", shard->name);
  return shard;
}

static void
configure_pool (MdEntry *entry, const MdConfigView *view, const MdPoolConfig *pool)
{
  uint32_t n = pool->shards ? pool->shards : 1;

  for (uint32_t i = 0; i < n; i++)
    {
      Shard *shard = md_shards_find (entry, pool->name, i);
      if (shard == NULL)
        shard = add_shard (entry, pool, i);
      if (shard == NULL)
        continue;
      shard->coalesce_us = pool->coalesce_us;
      shard->policy.max_queue = pool->max_queue;
      shard->policy.guard_slots = pool->slots_per_guard;
      shard->fair_share = pool->fair_share;
      apply_policies (shard, view);
    }
}

static Shard *
shard_of_guard (MdEntry *entry, const Peer *peer)
{
  for (Shard *s = entry->shards; s != NULL; s = s->next)
    if (strcmp (s->pool, peer->pool) == 0
        && s->index == md_shard_of_guard (md_str (peer->name), s->shards))
      return s;
  return NULL;
}

static void
bind_guards (MdEntry *entry, MdTime now)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    {
      if (p->role != MD_ROLE_GUARD || p->shard != NULL)
        continue;
      p->shard = shard_of_guard (entry, p);
      if (p->shard != NULL && p->link != NULL && md_link_is_up (p->link))
        md_shard_set_link (p->shard->core, p->incarnation, true, now);
    }
}

static bool
pool_exists (const MdConfigView *view, const Shard *shard)
{
  return md_view_pool (view, md_str (shard->pool)) != NULL;
}

/* A deleted pool gives its shards up; its unfinished jobs are refused when they
   are routed again. */
static void
remove_deleted (MdEntry *entry, const MdConfigView *view, MdTime now)
{
  Shard **place = &entry->shards;

  while (*place != NULL)
    {
      Shard *shard = *place;
      if (pool_exists (view, shard))
        {
          place = &shard->next;
          continue;
        }
      *place = shard->next;
      for (Peer *p = entry->peers; p != NULL; p = p->next)
        if (p->shard == shard)
          p->shard = NULL;
      md_jobs_drop (entry, shard, now);
      md_log (MD_LOG_INFO, "shard-removed", "shard=%s", shard->name);
      free_shard (shard);
    }
}

void
md_shards_configure (MdEntry *entry, MdTime now)
{
  const MdConfigView *view = md_store_view (entry->store);

  if (view == NULL)
    return;
  md_gauge (MD_M_CONFIG_OFFSET, (int64_t)view->version);
  for (size_t i = 0; i < view->n_pools; i++)
    configure_pool (entry, view, &view->pools[i]);
  remove_deleted (entry, view, now);
  bind_guards (entry, now);
  md_shards_set_guards (entry, now);
}

static bool
belongs (const Shard *shard, const MdMember *m)
{
  return m->info.role == MD_ROLE_GUARD && m->offset > 0 && m->state != MD_MEMBER_GONE
         && md_str_equal (m->info.pool, md_str (shard->pool))
         && md_shard_of_guard (m->info.name, shard->shards) == shard->index;
}

/* Guards acknowledge a new registration offset with their next heartbeat. */
static void
announce_offset (MdEntry *entry)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->attached)
      p->next_heartbeat = 0;
}

void
md_shards_set_guards (MdEntry *entry, MdTime now)
{
  uint64_t guards[MAX_GUARDS];

  for (Shard *s = entry->shards; s != NULL; s = s->next)
    {
      size_t n = 0;
      for (size_t i = 0; i < md_members_count (entry->members) && n < MAX_GUARDS; i++)
        {
          const MdMember *m = md_members_at (entry->members, i);
          if (belongs (s, m))
            guards[n++] = m->info.incarnation;
        }
      s->n_registered = n;
      md_shard_set_guards (s->core, guards, n, md_members_offset (entry->members), now);
    }
  announce_offset (entry);
}

/* ------------------------------------------------------------------ */
/* Guards                                                             */

static void
guard_info (const MdEntry *entry, const Peer *peer, MdGuardInfo *info)
{
  memset (info, 0, sizeof *info);
  info->id = peer->incarnation;
  info->name = md_str (peer->name);
  info->failure_domain = md_str (peer->domain);
  info->slots = peer->slots;
  info->cores = peer->cores;
  info->memory_mb = peer->memory_mb;
  info->accelerators = peer->accelerators;
  /* Another failure domain costs more than a millisecond each way; within one
     the delay is small against a task. */
  info->delay = strcmp (peer->domain, entry->settings.failure_domain) == 0 ? 0 : 1500;
}

static void
update_pause (Peer *peer, MdTime now)
{
  bool up = peer->link != NULL && md_link_is_up (peer->link);

  if (peer->placed)
    md_dispatch_guard_pause (peer->shard->dispatch, peer->incarnation,
                             !(up && peer->usable && peer->echo > 0), now);
}

void
md_shards_guard_attached (MdEntry *entry, Peer *peer, MdTime now)
{
  MdGuardInfo info;

  if (peer->placed)
    return;
  guard_info (entry, peer, &info);
  if (md_dispatch_guard_up (peer->shard->dispatch, &info, now) != MD_OK)
    return;
  peer->placed = true;
  update_pause (peer, now);
}

void
md_shards_guard_link (MdEntry *entry, Peer *peer, bool up, MdTime now)
{
  if (up && peer->shard == NULL)
    peer->shard = shard_of_guard (entry, peer);
  if (peer->shard == NULL)
    return;
  if (up && peer->placed)
    md_jobs_query (peer);
  md_shard_set_link (peer->shard->core, peer->incarnation, up, now);
  peer->echo = 0; /* the lease may have ended while the link was down */
  update_pause (peer, now);
  md_shards_run (entry, peer->shard, now);
}

void
md_shards_guard_lost (MdEntry *entry, Peer *peer, MdTime now)
{
  if (peer->shard == NULL || !peer->placed)
    return;
  peer->placed = false;
  peer->usable = false;
  md_log (MD_LOG_WARN, "guard-lost", "upstream=%s shard=%s", peer->name, peer->shard->name);
  md_dispatch_guard_lost (peer->shard->dispatch, peer->incarnation, now);
  md_shards_run (entry, peer->shard, now);
}

/* The same process may come back, after a pause for instance. */
static void
give_up_guard (MdEntry *entry, Peer *peer, MdTime now)
{
  peer->attached = false;
  md_shard_guard_given_up (peer->shard->core, peer->incarnation, now);
  md_shards_guard_lost (entry, peer, now);
}

static void
check_lost_guards (MdEntry *entry, MdTime now)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->role == MD_ROLE_GUARD && p->placed && p->down_since > 0
        && now - p->down_since > LOST_AFTER)
      give_up_guard (entry, p, now);
}

/* ------------------------------------------------------------------ */
/* Decisions of the ownership core                                    */

static void
send_attach (MdEntry *entry, Shard *shard, const MdShardDecision *d)
{
  Peer *peer = md_peers_find (entry, d->guard);
  Md__Attach attach = MD__ATTACH__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  uint64_t fences[64];
  size_t n = d->n_fences < 64 ? d->n_fences : 64;

  if (peer == NULL || peer->link == NULL || !md_link_is_up (peer->link))
    return;
  for (size_t i = 0; i < n; i++)
    fences[i] = d->fences[i];
  attach.entry = shard->self;
  attach.n_fences = n;
  attach.fences = fences;
  attach.members_offset = md_shard_offset (shard->core);
  attach.guard = d->guard;
  attach.shard = shard->name;
  frame.msg_case = MD__FRAME__MSG_ATTACH;
  frame.attach = &attach;
  md_link_send (peer->link, &frame);
  md_log (MD_LOG_INFO, "attach", "shard=%s upstream=%s fences=%zu", shard->name, peer->name, n);
}

static void
use_guard (MdEntry *entry, Shard *shard, uint64_t guard, MdTime now)
{
  Peer *peer = md_peers_find (entry, guard);

  if (peer == NULL || peer->shard != shard || peer->leaving)
    return;
  md_shards_guard_attached (entry, peer, now);
  peer->usable = true;
  update_pause (peer, now);
  md_log (MD_LOG_INFO, "guard-usable", "shard=%s upstream=%s zone=%s slots=%u", shard->name,
          peer->name, peer->domain, peer->slots);
}

static void
forget_guards (MdEntry *entry, Shard *shard)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->shard == shard)
      {
        /* The next owner need not wait for our silence. */
        if (p->attached)
          md_peers_send_leave (p, shard->self);
        p->placed = false;
        p->usable = false;
        p->attached = false;
        p->echo = 0;
      }
}

static void
apply_view (MdEntry *entry, Shard *shard)
{
  const MdConfigView *view = md_store_view (entry->store);

  if (view != NULL)
    apply_policies (shard, view);
}

/* Gives a shard up: the queue starts afresh, and jobs with a body go to whoever
   owns the shard now. The ownership core stays under a new incarnation, because it
   holds the former sets of guards and their losses. */
static void
reset_shard (MdEntry *entry, Shard *shard, MdTime now)
{
  forget_guards (entry, shard);
  shard->wanted = false;
  shard->retry_at = now + RETRY_ACQUIRE;
  md_jobs_drop (entry, shard, now);
  shard->self = md_new_incarnation ();
  md_shard_set_incarnation (shard->core, shard->self);
  md_dispatch_free (shard->dispatch);
  shard->dispatch = md_dispatch_new (&entry->settings.tuning);
  if (shard->dispatch == NULL)
    abort (); /* a shard without a queue cannot be routed to */
  apply_view (entry, shard);
}

static void
handle_drop (MdEntry *entry, Shard *shard, const MdShardDecision *d, MdTime now)
{
  md_log (MD_LOG_WARN, "shard-drop", "shard=%s fenced=%d holder=%llx", shard->name, d->fenced,
          (unsigned long long)d->holder);
  reset_shard (entry, shard, now);
}

static void
handle_serve (Shard *shard, const MdShardDecision *d, MdTime now)
{
  md_count (MD_M_TAKEOVERS, 1);
  md_log (MD_LOG_INFO, "shard-serve", "shard=%s cut_ms=%lld", shard->name, (long long)d->cut_ms);
  md_dispatch_serve (shard->dispatch, d->cut_ms, now);
}

/* The first echo starts the guard's lease. It leaves at once, and nothing is
   placed on the guard before: starts follow it on the same connection. */
static void
take_echo (MdEntry *entry, uint64_t guard, MdTime nonce, MdTime now)
{
  Peer *peer = md_peers_find (entry, guard);
  bool first;

  if (peer == NULL)
    return;
  first = peer->echo == 0;
  /* After a cut the first nonces to arrive are old ones that were held up. */
  if (first && now + peer->clock_lead - nonce > entry->settings.tuning.guard_lease / 2)
    return;
  peer->echo = nonce;
  if (!first || peer->link == NULL || !md_link_is_up (peer->link))
    return;
  md_peers_send_heartbeat (entry, peer, now);
  update_pause (peer, now);
}

/* Leases may have ended meanwhile: nothing is placed on a guard until its next
   echo. A start refused for its lease could never run at that guard again. */
static void
await_echoes (MdEntry *entry, Shard *shard, MdTime now)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->shard == shard)
      {
        p->echo = 0;
        update_pause (p, now);
      }
}

void
md_shards_run (MdEntry *entry, Shard *shard, MdTime now)
{
  MdShardDecision d;

  while (md_shard_next (shard->core, now, md_wall_ms (), &d))
    switch (d.kind)
      {
      case MD_SHARD_ATTACH:
        send_attach (entry, shard, &d);
        break;
      case MD_SHARD_ECHO:
        take_echo (entry, d.guard, d.nonce, now);
        break;
      case MD_SHARD_USE:
        use_guard (entry, shard, d.guard, now);
        break;
      case MD_SHARD_SERVE:
        handle_serve (shard, &d, now);
        break;
      case MD_SHARD_SUSPEND:
        md_log (MD_LOG_WARN, "shard-suspend", "shard=%s", shard->name);
        md_dispatch_suspend (shard->dispatch, now);
        await_echoes (entry, shard, now);
        break;
      case MD_SHARD_DROP:
        handle_drop (entry, shard, &d, now);
        return;
      }
  md_jobs_decide (entry, shard, now);
}

/* ------------------------------------------------------------------ */
/* Acquiring                                                          */

static void
consider (MdEntry *entry, Shard *shard, MdTime now)
{
  Peer *owner = md_peers_shard_owner (entry, shard->name, false);

  if (entry->handed_over || shard->wanted || now < shard->retry_at)
    return;
  if (owner != NULL || !md_peers_resolved (entry, now))
    return;
  if (md_members_owner (entry->members, md_str (shard->name)) != entry->incarnation)
    return;
  shard->wanted = true;
  md_log (MD_LOG_INFO, "shard-acquire", "shard=%s", shard->name);
  md_shard_acquire (shard->core, NULL, 0, now);
}

static void
observe_pool (MdEntry *entry, const Shard *shard)
{
  MD_AUTO_BUF out = { 0 };
  MdDispatchStats stats;

  if (md_shard_state (shard->core) == MD_SHARD_FOLLOWER)
    return;
  md_dispatch_stats (shard->dispatch, &stats);
  md_buf_printf (&out,
                 "{\"owner\":\"%s\",\"workers\":%u,\"slots\":%u,\"busy\":%u,\"ejected\":%u,"
                 "\"leaving\":%u,\"jobs\":%u,\"waiting_tasks\":%u}",
                 entry->settings.name, stats.guards, stats.slots, stats.busy, stats.ejected,
                 stats.leaving, stats.jobs, stats.waiting_tasks);
  md_observed_put (entry->observed, "shard", md_str (shard->name), MD_STR (""), md_buf_str (&out));
  md_gauge (MD_M_GUARDS, stats.guards);
  md_gauge (MD_M_BUSY_SLOTS, stats.busy);
  md_gauge (MD_M_QUEUED_TASKS, stats.waiting_tasks);
}

void
md_shards_tick (MdEntry *entry, MdTime now)
{
  static const MdTime observe_every = MD_SECOND;

  check_lost_guards (entry, now);
  for (Shard *s = entry->shards; s != NULL; s = s->next)
    {
      consider (entry, s, now);
      md_shard_tick (s->core, now, md_wall_ms ());
      md_dispatch_tick (s->dispatch, now);
      md_shards_run (entry, s, now);
      if (now / observe_every != (now - 20 * MD_MS) / observe_every)
        observe_pool (entry, s);
    }
}

void
md_shards_release_all (MdEntry *entry, MdTime now)
{
  for (Shard *s = entry->shards; s != NULL; s = s->next)
    {
      if (md_shard_state (s->core) == MD_SHARD_FOLLOWER)
        continue;
      md_log (MD_LOG_INFO, "shard-release", "shard=%s", s->name);
      md_shard_release (s->core, now);
      md_dispatch_suspend (s->dispatch, now);
      reset_shard (entry, s, now);
    }
}

uint32_t
md_shards_unfinished (MdEntry *entry)
{
  uint32_t n = 0;

  for (Shard *s = entry->shards; s != NULL; s = s->next)
    {
      MdDispatchStats stats;
      md_dispatch_stats (s->dispatch, &stats);
      n += stats.jobs;
    }
  return n;
}
