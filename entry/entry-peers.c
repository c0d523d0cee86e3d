/* entry-peers.c -- other processes: links, heartbeats and membership

   Entries and guards are learned from the members stream of the log; guards dial
   every entry, and of two entries the one with the smaller name dials. A peer is
   the pair of a link and an incarnation. Heartbeats carry the evidence of the
   guard lease in both directions, so they are built here from what the shards
   decided. */

#include "entry-private.h"

#include <stdio.h>

Peer *
md_peers_find (MdEntry *entry, uint64_t incarnation)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->incarnation == incarnation && incarnation != 0)
      return p;
  return NULL;
}

static Peer *
find_by_name (MdEntry *entry, MdRole role, const char *name)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->role == role && strcmp (p->name, name) == 0)
      return p;
  return NULL;
}

Peer *
md_peers_shard_owner (MdEntry *entry, const char *shard, bool serving_only)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    {
      if (p->role != MD_ROLE_ENTRY || p->link == NULL || !md_link_is_up (p->link))
        continue;
      for (size_t i = 0; i < p->n_owned; i++)
        if (strcmp (p->owned[i], shard) == 0
            && (!serving_only || p->owned_state[i] == MD_SHARD_SERVING))
          return p;
    }
  return NULL;
}

bool
md_peers_other_entry_live (MdEntry *entry)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->role == MD_ROLE_ENTRY && !p->leaving && p->link != NULL && p->heartbeat_received
        && md_link_is_up (p->link))
      return true;
  return false;
}

static bool
is_gone (MdMemberState state)
{
  return state == MD_MEMBER_DEAD || state == MD_MEMBER_GONE || state == MD_MEMBER_UNREACHABLE;
}

/* An entry may take a vacant shard only when it knows of each other entry that
   it is connected, so that its announcements are known, or gone. */
bool
md_peers_resolved (MdEntry *entry, MdTime now)
{
  const MdMember *self = md_members_find (entry->members, entry->incarnation);

  /* Our own registration read back means that all before it has been read. */
  if (self == NULL || self->offset == 0
      || now - entry->started < 2 * entry->settings.tuning.heartbeat_min)
    return false;
  for (size_t i = 0; i < md_members_count (entry->members); i++)
    {
      const MdMember *m = md_members_at (entry->members, i);
      Peer *p;

      if (m->info.role != MD_ROLE_ENTRY || m->info.incarnation == entry->incarnation
          || is_gone (m->state))
        continue;
      p = md_peers_find (entry, m->info.incarnation);
      if (p == NULL || !p->heartbeat_received)
        return false;
    }
  return true;
}

static void
free_peer (Peer *peer)
{
  md_peers_clear_batches (peer);
  free (peer->starts);
  free (peer->cancels);
  free (peer->releases);
  free (peer->owned);
  free (peer->owned_state);
  free (peer);
}

static void
unlink_peer (MdEntry *entry, Peer *peer)
{
  Peer **place = &entry->peers;

  while (*place != NULL && *place != peer)
    place = &(*place)->next;
  if (*place != NULL)
    *place = peer->next;
}

static Peer *
add_peer (MdEntry *entry, MdRole role, const char *name)
{
  Peer *peer = calloc (1, sizeof *peer);

  if (peer == NULL)
    return NULL;
  peer->role = role;
  md_str_copy (peer->name, sizeof peer->name, md_str (name));
  peer->next = entry->peers;
  entry->peers = peer;
  return peer;
}

/* ------------------------------------------------------------------ */
/* Snapshots from a peer                                              */

static void
request_snapshot (Peer *peer, uint32_t stream)
{
  Md__SnapshotRequest request = MD__SNAPSHOT_REQUEST__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  request.stream = stream;
  frame.msg_case = MD__FRAME__MSG_SNAPSHOT_REQUEST;
  frame.snapshot_request = &request;
  md_link_send (peer->link, &frame);
}

/* The peer behind the balancer is not known by name yet. */
static bool
is_seed (const Peer *peer)
{
  return peer->name[0] == '\0';
}

void
md_peers_start_seed (MdEntry *entry)
{
  Peer *peer = add_peer (entry, MD_ROLE_ENTRY, "");

  if (peer == NULL)
    return;
  peer->link = md_links_dial (entry->links, md_str (entry->settings.balancer_address), peer);
  entry->seeding = true;
  md_log (MD_LOG_WARN, "snapshot-wanted", "peer=%s", entry->settings.balancer_address);
}

void
md_peers_stop_seed (MdEntry *entry)
{
  Peer *peer = find_by_name (entry, MD_ROLE_ENTRY, "");

  entry->seeding = false;
  if (peer == NULL)
    return;
  md_link_set_data (peer->link, NULL);
  md_link_close (peer->link);
  unlink_peer (entry, peer);
  free_peer (peer);
}

/* ------------------------------------------------------------------ */
/* Receiving                                                          */

/* A peer under a known name with another incarnation is a new process. */
static void
replace_incarnation (MdEntry *entry, Peer *peer, uint64_t incarnation, MdTime now)
{
  if (peer->incarnation == incarnation)
    return;
  if (peer->incarnation != 0 && peer->role == MD_ROLE_GUARD)
    md_shards_guard_lost (entry, peer, now);
  md_peers_clear_batches (peer);
  peer->incarnation = incarnation;
  peer->heartbeat_received = false;
  peer->leaving = false;
  peer->attached = false;
  peer->peer_sent = 0;
  peer->peer_offset = 0;
  peer->nonce = 0;
  peer->clock_known = false;
  peer->echo = 0;
  peer->n_owned = 0;
}

static void
bind_link (Peer *peer, MdLink *link)
{
  if (peer->link != NULL && peer->link != link)
    {
      /* The older connection is gone or silent; frames still in it must not be
         taken for frames of the new one. */
      md_link_set_data (peer->link, NULL);
      md_link_close (peer->link);
    }
  peer->link = link;
  peer->connection++;
  peer->down_since = 0;
  peer->next_heartbeat = 0;
  md_link_set_data (link, peer);
}

/* A connection belongs to the peer that it was first used by, because only one is told when it
   ends. Dialled ones have theirs from the start. */
static bool
is_hello_acceptable (const MdLink *link, const Peer *peer, const Md__Hello *hello)
{
  if (hello->protocol != MD_PROTOCOL || hello->name[0] == '\0' || hello->incarnation == 0)
    return false;
  return md_link_data (link) == NULL || md_link_data (link) == peer;
}

static void
handle_hello (MdEntry *entry, MdLink *link, const Md__Hello *hello, MdTime now)
{
  MdRole role = hello->role == MD_ROLE_GUARD ? MD_ROLE_GUARD : MD_ROLE_ENTRY;
  Peer *peer = find_by_name (entry, role, hello->name);
  char quoted[MD_NAME_BYTES];

  if (!is_hello_acceptable (link, peer, hello))
    {
      md_log (MD_LOG_WARN, "hello-refused", "peer=%s name=%s", md_link_peer (link),
              md_log_quote (md_str (hello->name), quoted, sizeof quoted));
      md_link_disconnect (link); /* a dialled one stays that of its peer and is dialled again */
      return;
    }
  if (peer == NULL)
    peer = add_peer (entry, role, hello->name);
  if (peer == NULL)
    return;
  replace_incarnation (entry, peer, hello->incarnation, now);
  md_str_copy (peer->domain, sizeof peer->domain, md_str (hello->failure_domain));
  md_str_copy (peer->pool, sizeof peer->pool, md_str (hello->pool));
  peer->slots = hello->slots;
  peer->cores = hello->cores;
  peer->memory_mb = hello->memory_mb;
  peer->accelerators = hello->accelerators;
  bind_link (peer, link);
  md_log (MD_LOG_INFO, "peer-up", "peer=%s role=%s incarnation=%llx zone=%s",
          md_log_quote (md_str (peer->name), quoted, sizeof quoted),
          role == MD_ROLE_GUARD ? "guard" : "entry", (unsigned long long)peer->incarnation,
          peer->domain);
  if (role == MD_ROLE_ENTRY || peer->attached)
    md_link_set_max_silence (link, entry->settings.tuning.heartbeat_max
                                       * entry->settings.tuning.missed_heartbeats);
  md_peers_send_welcome (entry, peer);
  md_members_record_contact (entry->members, peer->incarnation, now);
  if (role == MD_ROLE_GUARD)
    md_shards_guard_link (entry, peer, true, now);
}

static void
handle_welcome (MdEntry *entry, Peer *peer, const Md__Welcome *welcome, MdTime now)
{
  if (is_seed (peer))
    {
      request_snapshot (peer, 0);
      request_snapshot (peer, 1);
      return;
    }
  replace_incarnation (entry, peer, welcome->incarnation, now);
  md_str_copy (peer->name, sizeof peer->name, md_str (welcome->name));
  peer->down_since = 0;
  peer->next_heartbeat = 0;
  md_members_record_contact (entry->members, peer->incarnation, now);
}

static void
store_owned (Peer *peer, const Md__Heartbeat *beat)
{
  size_t n = beat->n_owned < MD_MAX_OWNED ? beat->n_owned : MD_MAX_OWNED;

  if (peer->owned == NULL)
    {
      peer->owned = calloc (MD_MAX_OWNED, sizeof *peer->owned);
      peer->owned_state = calloc (MD_MAX_OWNED, sizeof *peer->owned_state);
    }
  if (peer->owned == NULL || peer->owned_state == NULL)
    return;
  for (size_t i = 0; i < n; i++)
    {
      md_str_copy (peer->owned[i], sizeof peer->owned[i], md_str (beat->owned[i]->shard));
      peer->owned_state[i] = beat->owned[i]->state;
    }
  peer->n_owned = n;
}

static void
handle_guard_heartbeat (MdEntry *entry, Peer *peer, const Md__Heartbeat *beat, MdTime now)
{
  MdAttachResult fenced = { .reason = MD_REASON_FENCED, .holder = beat->fenced_by };

  peer->nonce = beat->nonce_us;
  if (!peer->clock_known || beat->nonce_us - now > peer->clock_lead)
    peer->clock_lead = beat->nonce_us - now;
  peer->clock_known = true;
  if (peer->shard == NULL)
    return;
  if (beat->fenced_by != 0 && peer->attached)
    {
      md_shard_attach_reply (peer->shard->core, peer->incarnation, &fenced, beat->members_offset,
                             now);
      md_shards_run (entry, peer->shard, now);
      return;
    }
  if (!peer->attached)
    return;
  md_shard_record_nonce (peer->shard->core, peer->incarnation, beat->nonce_us, now);
  if (beat->ack_us > 0)
    md_shard_record_ack (peer->shard->core, peer->incarnation, beat->ack_us, beat->ack_offset, now);
  md_shards_run (entry, peer->shard, now);
}

static void
handle_heartbeat (MdEntry *entry, Peer *peer, const Md__Heartbeat *beat, MdTime now)
{
  peer->heartbeat_received = true;
  peer->peer_sent = beat->sent_us;
  peer->peer_offset = beat->members_offset;
  peer->config_offset = beat->config_offset;
  if (peer->role == MD_ROLE_GUARD)
    handle_guard_heartbeat (entry, peer, beat, now);
  else
    store_owned (peer, beat);
}

static void
handle_attach_reply (MdEntry *entry, Peer *peer, const Md__AttachReply *reply, MdTime now)
{
  MdAttachResult result = { .attached = reply->attached,
                            .reason = (MdReason)reply->reason,
                            .holder = reply->holder,
                            .holder_alive = reply->holder_alive };

  if (peer->shard == NULL)
    return;
  if (reply->attached && reply->holder == peer->shard->self && !peer->attached)
    {
      /* From now on the guard expects heartbeats at the full rate. */
      peer->attached = true;
      md_shards_guard_attached (entry, peer, now);
      md_members_set_interval (entry->members, peer->incarnation,
                               entry->settings.tuning.heartbeat_max, now);
      peer->next_heartbeat = 0;
      md_link_set_max_silence (peer->link, entry->settings.tuning.heartbeat_max
                                               * entry->settings.tuning.missed_heartbeats);
    }
  if (result.reason == MD_REASON_DETACHED && !reply->attached)
    peer->attached = false;
  md_log (MD_LOG_INFO, "attach-reply", "shard=%s upstream=%s attached=%d reason=%s alive=%d",
          peer->shard->name, peer->name, reply->attached, md_reason_name (result.reason),
          reply->holder_alive);
  md_shard_attach_reply (peer->shard->core, peer->incarnation, &result, reply->known_offset, now);
  md_shards_run (entry, peer->shard, now);
}

static void
handle_leaving (MdEntry *entry, Peer *peer, MdTime now)
{
  peer->leaving = true;
  md_members_set_leaving (entry->members, peer->incarnation, now);
  md_log (MD_LOG_INFO, "peer-leaving", "peer=%s", peer->name);
  if (peer->role == MD_ROLE_GUARD && peer->shard != NULL && peer->placed)
    {
      md_dispatch_guard_leaving (peer->shard->dispatch, peer->incarnation, now);
      md_shards_run (entry, peer->shard, now);
    }
  if (peer->role == MD_ROLE_ENTRY)
    peer->n_owned = 0;
}

static void
send_snapshot (MdEntry *entry, Peer *peer, const Md__SnapshotRequest *request)
{
  Md__SnapshotReply reply = MD__SNAPSHOT_REPLY__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  md_autofree char *text = NULL;
  size_t len = 0;

  if (md_store_snapshot (entry->store, (int)request->stream, &text, &len, &reply.offset) != MD_OK)
    return;
  reply.stream = request->stream;
  reply.snapshot.data = (uint8_t *)text;
  reply.snapshot.len = len;
  reply.age_ms = md_store_age_ms (entry->store);
  frame.msg_case = MD__FRAME__MSG_SNAPSHOT_REPLY;
  frame.snapshot_reply = &reply;
  md_link_send (peer->link, &frame);
}

static void
load_snapshot (MdEntry *entry, const Md__SnapshotReply *reply)
{
  MdError error = { 0 };
  MdStr text = md_str_n (reply->snapshot.data, reply->snapshot.len);
  int result = md_store_load_snapshot (entry->store, (int)reply->stream, text, &error);

  md_log (result == MD_OK ? MD_LOG_INFO : MD_LOG_WARN, "snapshot",
          "stream=%u age_ms=%lld result=%d", (unsigned)reply->stream, (long long)reply->age_ms,
          result);
}

static void
handle_peer_frame (MdEntry *entry, Peer *peer, const Md__Frame *frame, MdTime now)
{
  md_members_record_contact (entry->members, peer->incarnation, now);
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_WELCOME:
      handle_welcome (entry, peer, frame->welcome, now);
      break;
    case MD__FRAME__MSG_HEARTBEAT:
      handle_heartbeat (entry, peer, frame->heartbeat, now);
      break;
    case MD__FRAME__MSG_ATTACH_REPLY:
      handle_attach_reply (entry, peer, frame->attach_reply, now);
      break;
    case MD__FRAME__MSG_RECORDS:
      md_jobs_records (entry, peer, frame->records, now);
      break;
    case MD__FRAME__MSG_ANSWERS:
      md_jobs_answers (entry, peer, frame->answers, now);
      break;
    case MD__FRAME__MSG_FORWARD:
      md_forward_request (entry, peer, frame->forward, now);
      break;
    case MD__FRAME__MSG_FORWARD_REPLY:
      md_forward_reply (entry, frame->forward_reply);
      break;
    case MD__FRAME__MSG_LEAVING:
      handle_leaving (entry, peer, now);
      break;
    case MD__FRAME__MSG_SNAPSHOT_REQUEST:
      send_snapshot (entry, peer, frame->snapshot_request);
      break;
    case MD__FRAME__MSG_SNAPSHOT_REPLY:
      load_snapshot (entry, frame->snapshot_reply);
      break;
    default:
      break;
    }
}

static void
on_up (void *user, MdLink *link)
{
  MdEntry *entry = user;
  const MdTuning *t = &entry->settings.tuning;
  Peer *peer = md_link_data (link);

  /* Slow heartbeats bound the silence of a healthy guard of another owner;
     between entries the fast interval applies. */
  md_link_set_max_silence (link, peer != NULL ? t->heartbeat_max * t->missed_heartbeats
                                              : t->heartbeat_idle * t->missed_heartbeats);
  if (peer != NULL)
    peer->connection++;
  if (md_link_is_dialled (link))
    md_peers_send_hello (entry, link);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  MdEntry *entry = user;
  Peer *peer = md_link_data (link);
  MdTime now = md_now ();

  if (frame->msg_case == MD__FRAME__MSG_HELLO)
    handle_hello (entry, link, frame->hello, now);
  else if (peer != NULL)
    handle_peer_frame (entry, peer, frame, now);
  else
    md_link_close (link); /* the first frame must be a Hello */
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  MdEntry *entry = user;
  Peer *peer = md_link_data (link);
  MdTime now = md_now ();
  char quoted[200];

  if (peer == NULL)
    return;
  if (peer->down_since == 0 && peer->incarnation != 0)
    md_log (MD_LOG_WARN, "peer-down", "peer=%s step=%s reason=%s", peer->name, error->step,
            md_log_quote (md_str (error->detail), quoted, sizeof quoted));
  if (peer->down_since == 0)
    peer->down_since = now;
  peer->heartbeat_received = false;
  peer->n_owned = 0;
  md_peers_clear_batches (peer);
  if (!md_link_is_dialled (link))
    peer->link = NULL;
  if (peer->role == MD_ROLE_GUARD)
    md_shards_guard_link (entry, peer, false, now);
}

const MdLinkHandler md_entry_link_handler
    = { .on_up = on_up, .on_frame = on_frame, .on_down = on_down };

/* ------------------------------------------------------------------ */
/* Membership                                                         */

static void
dial_entry (MdEntry *entry, const MdMemberInfo *info)
{
  char name[MD_NAME_BYTES];
  Peer *peer;

  md_str_copy (name, sizeof name, info->name);
  if (strcmp (name, entry->settings.name) <= 0)
    return;
  peer = find_by_name (entry, MD_ROLE_ENTRY, name);
  if (peer == NULL)
    peer = add_peer (entry, MD_ROLE_ENTRY, name);
  if (peer == NULL)
    return;
  if (peer->link != NULL)
    {
      md_link_set_data (peer->link, NULL);
      md_link_close (peer->link);
    }
  peer->heartbeat_received = false;
  peer->link = md_links_dial (entry->links, info->address, peer);
}

/* The log counts from 0; the membership table keeps 0 for "not registered". */
static uint64_t
registration_offset (const MdStoreEvent *event)
{
  return event->offset + 1;
}

static void
handle_register (MdEntry *entry, const MdStoreEvent *event, MdTime now)
{
  if (md_members_register (entry->members, &event->info, registration_offset (event),
                           event->time_ms, now)
      != MD_OK)
    return;
  if (event->info.role == MD_ROLE_ENTRY && event->info.incarnation != entry->incarnation)
    dial_entry (entry, &event->info);
}

static void
handle_remove (MdEntry *entry, const MdStoreEvent *event, MdTime now)
{
  Peer *peer = md_peers_find (entry, event->info.incarnation);

  md_members_remove (entry->members, event->info.incarnation, event->left,
                     registration_offset (event), event->time_ms, now);
  if (peer == NULL)
    return;
  if (peer->role == MD_ROLE_GUARD)
    md_shards_guard_lost (entry, peer, now);
  if (peer->link != NULL)
    {
      md_link_set_data (peer->link, NULL);
      md_link_close (peer->link);
    }
  md_observed_delete (entry->observed, peer->role == MD_ROLE_GUARD ? "upstream" : "entry",
                      md_str (peer->name));
  unlink_peer (entry, peer);
  free_peer (peer);
}

void
md_peers_store_event (MdEntry *entry, const MdStoreEvent *event, MdTime now)
{
  switch (event->kind)
    {
    case MD_STORE_CONFIG:
      md_shards_configure (entry, now);
      break;
    case MD_STORE_REGISTER:
      handle_register (entry, event, now);
      md_shards_set_guards (entry, now);
      break;
    case MD_STORE_REMOVE:
      handle_remove (entry, event, now);
      md_shards_set_guards (entry, now);
      break;
    }
}

static const char *
state_name (MdMemberState state)
{
  static const char *const names[]
      = { "joining", "live", "suspect", "unreachable", "dead", "leaving", "gone" };

  return (unsigned)state < MD_ARRAY_SIZE (names) ? names[state] : "invalid";
}

static void
observe_member (MdEntry *entry, const MdMember *m)
{
  const MdMemberInfo *i = &m->info;
  bool guard = i->role == MD_ROLE_GUARD;
  Peer *peer = md_peers_find (entry, i->incarnation);
  MD_AUTO_BUF out = { 0 };

  md_buf_printf (&out, "{\"state\":\"%s\",\"incarnation\":\"%llx\",\"region\":\"%.*s\",",
                 state_name (m->state), (unsigned long long)i->incarnation, (int)i->region.len,
                 i->region.data);
  md_buf_printf (&out, "\"failure_domain\":\"%.*s\",\"config_offset\":%llu",
                 (int)i->failure_domain.len, i->failure_domain.data,
                 (unsigned long long)(peer ? peer->config_offset : 0));
  if (guard)
    md_buf_printf (&out,
                   ",\"pool\":\"%.*s\",\"slots\":%u,\"cores\":%u,\"memory_mb\":%u,"
                   "\"accelerators\":%u,\"attached\":%s",
                   (int)i->pool.len, i->pool.data, i->slots, i->cores, i->memory_mb,
                   i->accelerators, peer && peer->attached ? "true" : "false");
  else
    md_buf_printf (&out, ",\"address\":\"%.*s\"", (int)i->address.len, i->address.data);
  md_buf_append (&out, MD_STR ("}"));
  md_observed_put (entry->observed, guard ? "upstream" : "entry", i->name, MD_STR (""),
                   md_buf_str (&out));
}

static void
handle_lost (MdEntry *entry, const MdMembersDecision *d, MdTime now)
{
  for (Shard *s = entry->shards; s != NULL; s = s->next)
    md_shard_guard_lost (s->core, d->incarnation, d->lost_ms, md_wall_ms (), now);
}

static void
run_members (MdEntry *entry, MdTime now)
{
  MdMembersDecision d;

  while (md_members_next (entry->members, &d))
    {
      const MdMember *m = md_members_find (entry->members, d.incarnation);

      if (d.kind == MD_MEMBERS_LOST)
        {
          handle_lost (entry, &d, now);
          continue;
        }
      if (m == NULL)
        continue;
      md_log (MD_LOG_INFO, "member", "member=%.*s before=%s after=%s", (int)m->info.name.len,
              m->info.name.data, state_name (d.before), state_name (d.after));
      observe_member (entry, m);
    }
}

void
md_peers_tick (MdEntry *entry, MdTime now)
{
  md_members_record_contact (entry->members, entry->incarnation, now);
  md_members_tick (entry->members, now);
  run_members (entry, now);
  md_peers_send_heartbeats (entry, now);
}
