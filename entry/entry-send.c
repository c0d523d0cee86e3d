/* entry-send.c -- what an entry sends to its peers: greetings, heartbeats, batches

   Starts, cancels and releases that are decided in one pass of the engine leave in
   one frame per guard; with coalescing, starts wait a little longer for more. A
   heartbeat carries the evidence of the guard lease and, to entries, the shards
   that this one owns. */

#include "entry-private.h"

/* Starts in one frame, unless one alone is larger. Bodies have at most 8 MB, a frame
   MD_FRAME_MAX_BYTES. */
#define MAX_STARTS_BYTES ((size_t)4 << 20)

static void
free_starts (Peer *peer)
{
  for (size_t i = 0; i < peer->n_starts; i++)
    free (peer->starts[i]);
  peer->n_starts = 0;
}

void
md_peers_clear_batches (Peer *peer)
{
  free_starts (peer);
  peer->n_cancels = 0;
  peer->n_releases = 0;
}

void
md_peers_send_hello (MdEntry *entry, MdLink *link)
{
  Md__Hello hello = MD__HELLO__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  hello.protocol = MD_PROTOCOL;
  hello.role = MD_ROLE_ENTRY;
  hello.name = entry->settings.name;
  hello.incarnation = entry->incarnation;
  hello.address = entry->bound_internal;
  hello.region = entry->settings.region;
  hello.failure_domain = entry->settings.failure_domain;
  hello.pool = "";
  hello.registered_offset = entry->registered;
  frame.msg_case = MD__FRAME__MSG_HELLO;
  frame.hello = &hello;
  md_link_send (link, &frame);
}

static size_t
count_fast_peers (MdEntry *entry)
{
  size_t n = 0;

  for (Peer *p = entry->peers; p != NULL; p = p->next)
    if (p->link != NULL && (p->role == MD_ROLE_ENTRY || p->attached))
      n++;
  return n;
}

void
md_peers_send_welcome (MdEntry *entry, Peer *peer)
{
  Md__Welcome welcome = MD__WELCOME__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  welcome.protocol = MD_PROTOCOL;
  welcome.name = entry->settings.name;
  /* A guard knows its owner by the incarnation it attached with. */
  welcome.incarnation = peer->attached && peer->shard ? peer->shard->self : entry->incarnation;
  welcome.heartbeat_us = (uint64_t)md_heartbeat_interval (&entry->settings.tuning, 1);
  frame.msg_case = MD__FRAME__MSG_WELCOME;
  frame.welcome = &welcome;
  md_link_send (peer->link, &frame);
}

static size_t
collect_owned (MdEntry *entry, Md__OwnedShard *owned, Md__OwnedShard **list)
{
  size_t n = 0;

  for (Shard *s = entry->shards; s != NULL && n < MD_MAX_OWNED; s = s->next)
    {
      MdShardState state = md_shard_state (s->core);
      if (state == MD_SHARD_FOLLOWER || entry->handed_over)
        continue;
      md__owned_shard__init (&owned[n]);
      owned[n].shard = s->name;
      owned[n].state = state;
      list[n] = &owned[n];
      n++;
    }
  return n;
}

void
md_peers_send_heartbeat (MdEntry *entry, Peer *peer, MdTime now)
{
  Md__Heartbeat beat = MD__HEARTBEAT__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  Md__OwnedShard owned[MD_MAX_OWNED];
  Md__OwnedShard *list[MD_MAX_OWNED];

  beat.sent_us = now;
  beat.ack_us = peer->peer_sent;
  beat.ack_offset = peer->peer_offset;
  beat.echo_us = peer->attached ? peer->echo : 0;
  beat.members_offset
      = peer->shard ? md_shard_offset (peer->shard->core) : md_members_offset (entry->members);
  beat.config_offset = (uint64_t)atomic_load (&md_metrics[MD_M_CONFIG_OFFSET]);
  if (peer->role == MD_ROLE_ENTRY)
    {
      beat.n_owned = collect_owned (entry, owned, list);
      beat.owned = list;
    }
  frame.msg_case = MD__FRAME__MSG_HEARTBEAT;
  frame.heartbeat = &beat;
  md_link_count_control (peer->link, true);
  md_link_send (peer->link, &frame);
  md_link_count_control (peer->link, false);
}

void
md_peers_send_heartbeats (MdEntry *entry, MdTime now)
{
  MdTime fast = md_heartbeat_interval (&entry->settings.tuning, count_fast_peers (entry));

  for (Peer *p = entry->peers; p != NULL; p = p->next)
    {
      if (p->link == NULL || !md_link_is_up (p->link) || now < p->next_heartbeat)
        continue;
      md_peers_send_heartbeat (entry, p, now);
      p->next_heartbeat
          = now
            + (p->role == MD_ROLE_ENTRY || p->attached ? fast
                                                       : entry->settings.tuning.heartbeat_idle);
    }
}

void
md_peers_send_leave (Peer *peer, uint64_t incarnation)
{
  Md__Leaving leaving = MD__LEAVING__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  if (peer->link == NULL || !md_link_is_up (peer->link))
    return;
  leaving.incarnation = incarnation;
  frame.msg_case = MD__FRAME__MSG_LEAVING;
  frame.leaving = &leaving;
  md_link_send (peer->link, &frame);
}

void
md_peers_send_leaving (MdEntry *entry)
{
  /* Guards know an owner by the incarnation it attached with. */
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    md_peers_send_leave (p, p->shard && p->attached ? p->shard->self : entry->incarnation);
}

/* Number of the starts, from this one on, that go into one frame: at least one. */
static size_t
count_part (Md__Start **starts, size_t n)
{
  size_t bytes = 0;
  size_t count = 0;

  while (count < n)
    {
      bytes += md__start__get_packed_size (starts[count]);
      if (count > 0 && bytes > MAX_STARTS_BYTES)
        break;
      count++;
    }
  return count;
}

/* Starts that were not sent count as sent. They are settled by the query that follows a new
   connection, so that the present one is closed. */
static void
flush_starts (Peer *peer, MdTime now)
{
  if (peer->n_starts == 0 || now < peer->flush_at)
    return;
  for (size_t sent = 0, part; sent < peer->n_starts && md_link_is_up (peer->link); sent += part)
    {
      Md__Starts starts = MD__STARTS__INIT;
      Md__Frame frame = MD__FRAME__INIT;

      part = count_part (peer->starts + sent, peer->n_starts - sent);
      starts.owner = peer->shard->self;
      starts.guard = peer->incarnation;
      starts.nonce_us = peer->nonce;
      starts.n_starts = part;
      starts.starts = peer->starts + sent;
      frame.msg_case = MD__FRAME__MSG_STARTS;
      frame.starts = &starts;
      if (md_link_send (peer->link, &frame) != MD_OK)
        {
          md_log (MD_LOG_ERROR, "starts-not-sent", "upstream=%s starts=%zu", peer->name,
                  peer->n_starts - sent);
          md_link_disconnect (peer->link);
        }
    }
  free_starts (peer);
}

static void
flush_keys (Peer *peer, const MdKey *keys, size_t n, bool cancel)
{
  Md__Key *wire = calloc (n, sizeof *wire);
  Md__Key **list = calloc (n, sizeof *list);
  Md__Cancel cancels = MD__CANCEL__INIT;
  Md__Release releases = MD__RELEASE__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  for (size_t i = 0; wire != NULL && list != NULL && i < n; i++)
    {
      md__key__init (&wire[i]);
      wire[i].hi = keys[i].hi;
      wire[i].lo = keys[i].lo;
      list[i] = &wire[i];
    }
  cancels.n_keys = releases.n_keys = n;
  cancels.keys = releases.keys = list;
  frame.msg_case = cancel ? MD__FRAME__MSG_CANCEL : MD__FRAME__MSG_RELEASE;
  if (cancel)
    frame.cancel = &cancels;
  else
    frame.release = &releases;
  if (list != NULL && wire != NULL)
    md_link_send (peer->link, &frame);
  free (wire);
  free (list);
}

void
md_peers_flush (MdEntry *entry, MdTime now)
{
  for (Peer *p = entry->peers; p != NULL; p = p->next)
    {
      if (p->link == NULL || !md_link_is_up (p->link))
        continue;
      if (p->n_cancels > 0)
        flush_keys (p, p->cancels, p->n_cancels, true);
      p->n_cancels = 0;
      flush_starts (p, now);
      if (p->n_releases > 0)
        flush_keys (p, p->releases, p->n_releases, false);
      p->n_releases = 0;
    }
}
