/* guard-entries.c -- the links of a guard to all entries

   A guard dials every entry. It sends heartbeats at the full rate only to the
   entry that is attached to it, because only that one bases a lease on them; the
   others need to know no more than that the guard exists.

   Frames that change what the guard does for an owner (Cancel, Release, Query)
   count only when they come from the attached entry. An entry that was fenced
   without knowing it yet can thus neither drop answers nor refuse tasks that its
   successor relies on. */

#include "md-guard.h"

#include <stdio.h>

#define PROTOCOL 1
#define RECORDS_PER_FRAME 1000 /* about 60 bytes each */

/* ------------------------------------------------------------------ */
/* Table of entries                                                   */

static MdPeer *
find_address (MdGuard *guard, MdStr address)
{
  MdPeer *peer = guard->peers;

  while (peer != NULL && !md_str_equal (md_str (peer->address), address))
    peer = peer->next;
  return peer;
}

static MdPeer *
find_link (MdGuard *guard, const MdLink *link)
{
  MdPeer *peer = guard->peers;

  while (peer != NULL && peer->link != link)
    peer = peer->next;
  return peer;
}

MdPeer *
md_guard_owner (MdGuard *guard)
{
  uint64_t owner = md_ledger_owner (guard->ledger);

  if (owner == 0)
    return NULL;
  for (MdPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    if (peer->incarnation == owner && peer->welcomed && md_link_is_up (peer->link))
      return peer;
  return NULL;
}

static bool
is_owner (const MdGuard *guard, const MdPeer *peer)
{
  return peer->incarnation != 0 && md_ledger_owner (guard->ledger) == peer->incarnation;
}

static void
free_peer (MdGuard *guard, MdPeer *peer)
{
  MdPeer **place = &guard->peers;

  while (*place != peer)
    place = &(*place)->next;
  *place = peer->next;
  md_link_close (peer->link);
  free (peer);
}

/* An entry that restarted elsewhere keeps its name and changes its address. */
static void
remove_moved (MdGuard *guard, MdStr name, MdStr address)
{
  MdPeer *next;

  for (MdPeer *peer = guard->peers; peer != NULL; peer = next)
    {
      next = peer->next;
      if (peer->registration != 0 && md_str_equal (md_str (peer->name), name)
          && !md_str_equal (md_str (peer->address), address))
        free_peer (guard, peer);
    }
}

static void
remove_temporary (MdGuard *guard)
{
  MdPeer *next;

  for (MdPeer *peer = guard->peers; peer != NULL; peer = next)
    {
      next = peer->next;
      if (peer->temporary)
        free_peer (guard, peer);
    }
}

MdPeer *
md_guard_add_entry (MdGuard *guard, MdStr address, MdStr name, uint64_t registration)
{
  MdPeer *peer;

  if (registration != 0)
    {
      remove_moved (guard, name, address);
      remove_temporary (guard);
    }
  peer = find_address (guard, address);
  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return NULL;
      md_str_copy (peer->address, sizeof peer->address, address);
      peer->link = md_links_dial (guard->links, address, NULL);
      if (peer->link == NULL)
        {
          free (peer);
          return NULL;
        }
      peer->next = guard->peers;
      guard->peers = peer;
    }
  if (registration != 0)
    {
      md_str_copy (peer->name, sizeof peer->name, name);
      peer->registration = registration;
    }
  return peer;
}

void
md_guard_remove_entry (MdGuard *guard, uint64_t registration)
{
  for (MdPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    if (peer->registration == registration)
      {
        free_peer (guard, peer);
        return;
      }
}

/* ------------------------------------------------------------------ */
/* Heartbeats                                                         */

static MdTime
interval_of (const MdGuard *guard, const MdPeer *peer)
{
  return is_owner (guard, peer) ? peer->interval : guard->tuning->heartbeat_idle;
}

/* The owner's own interval grows with the number of its guards, up to
   heartbeat_max. */
static void
expect_heartbeats (const MdGuard *guard, const MdPeer *peer)
{
  MdTime interval
      = is_owner (guard, peer) ? guard->tuning->heartbeat_max : guard->tuning->heartbeat_idle;

  md_link_set_max_silence (peer->link, guard->tuning->missed_heartbeats * interval);
}

static void
send_heartbeat (MdGuard *guard, MdPeer *peer)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Heartbeat heartbeat = MD__HEARTBEAT__INIT;

  heartbeat.sent_us = guard->now;
  heartbeat.nonce_us = guard->now;
  heartbeat.ack_us = peer->last_heartbeat_sent;
  heartbeat.ack_offset = peer->last_heartbeat_offset;
  heartbeat.members_offset = guard->known_offset;
  heartbeat.config_offset = guard->config_offset;
  if (md_ledger_fenced (guard->ledger, peer->incarnation))
    heartbeat.fenced_by = md_ledger_owner (guard->ledger);
  frame.msg_case = MD__FRAME__MSG_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  md_link_send (peer->link, &frame);
  peer->next_heartbeat = guard->now + interval_of (guard, peer);
}

MdTime
md_guard_heartbeats (MdGuard *guard)
{
  MdTime next = guard->now + guard->tuning->heartbeat_idle;

  for (MdPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    {
      if (!peer->welcomed)
        continue;
      if (guard->now >= peer->next_heartbeat)
        send_heartbeat (guard, peer);
      if (peer->next_heartbeat < next)
        next = peer->next_heartbeat;
    }
  return next;
}

/* Only what the owner has taken up binds a successor; an entry that merely tries to
   attach must not raise it. */
static void
note_offset (MdGuard *guard, uint64_t offset)
{
  if (offset > guard->known_offset)
    guard->known_offset = offset;
}

static void
handle_heartbeat (MdGuard *guard, MdPeer *peer, const Md__Heartbeat *heartbeat)
{
  peer->last_heartbeat_sent = heartbeat->sent_us;
  peer->last_heartbeat_offset = heartbeat->members_offset;
  if (heartbeat->ack_us > peer->acked)
    peer->acked = heartbeat->ack_us;
  if (is_owner (guard, peer))
    note_offset (guard, heartbeat->members_offset);
  if (heartbeat->echo_us != 0)
    md_ledger_echo (guard->ledger, peer->incarnation, heartbeat->echo_us, guard->now);
}

/* ------------------------------------------------------------------ */
/* Hello and Welcome                                                  */

static void
send_hello (MdGuard *guard, MdPeer *peer)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Hello hello = MD__HELLO__INIT;
  MdSettings *settings = &guard->settings;

  hello.protocol = PROTOCOL;
  hello.role = MD_ROLE_GUARD;
  hello.name = settings->name;
  hello.incarnation = guard->incarnation;
  hello.region = settings->region;
  hello.failure_domain = settings->failure_domain;
  hello.pool = settings->pool;
  hello.cores = settings->cores;
  hello.memory_mb = settings->memory_mb;
  hello.accelerators = settings->accelerators;
  hello.slots = guard->slots;
  hello.connections = settings->connections;
  hello.registered_offset = guard->registered_offset;
  frame.msg_case = MD__FRAME__MSG_HELLO;
  frame.hello = &hello;
  md_link_send (peer->link, &frame);
}

static void
send_leaving (MdGuard *guard, MdPeer *peer)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Leaving leaving = MD__LEAVING__INIT;

  leaving.incarnation = guard->incarnation;
  frame.msg_case = MD__FRAME__MSG_LEAVING;
  frame.leaving = &leaving;
  md_link_send (peer->link, &frame);
}

void
md_guard_announce_leaving (MdGuard *guard)
{
  for (MdPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    if (peer->welcomed)
      send_leaving (guard, peer);
}

/* Asks for what the log would tell if it could be read. */
static void
request_snapshots (MdGuard *guard, MdPeer *peer)
{
  if (md_store_age_ms (guard->store) >= 0)
    return;
  for (uint32_t stream = 0; stream < 2; stream++)
    {
      Md__Frame frame = MD__FRAME__INIT;
      Md__SnapshotRequest request = MD__SNAPSHOT_REQUEST__INIT;

      request.stream = stream;
      frame.msg_case = MD__FRAME__MSG_SNAPSHOT_REQUEST;
      frame.snapshot_request = &request;
      md_link_send (peer->link, &frame);
    }
}

static void
handle_snapshot (MdGuard *guard, MdPeer *peer, const Md__SnapshotReply *reply)
{
  MdError error = { 0 };
  MdStr text = md_str_n ((const char *)reply->snapshot.data, reply->snapshot.len);

  if (md_store_load_snapshot (guard->store, (int)reply->stream, text, &error) != MD_OK)
    md_log (MD_LOG_WARN, "snapshot", "peer=%s stream=%u detail=\"%s\"", md_link_peer (peer->link),
            reply->stream, error.detail);
}

static void
set_incarnation (MdPeer *peer, uint64_t incarnation)
{
  if (peer->incarnation == incarnation)
    return;
  peer->incarnation = incarnation;
  peer->last_heartbeat_sent = 0;
  peer->last_heartbeat_offset = 0;
  peer->acked = 0;
}

static void
handle_welcome (MdGuard *guard, MdPeer *peer, const Md__Welcome *welcome)
{
  const MdTuning *tuning = guard->tuning;
  MdTime interval = (MdTime)welcome->heartbeat_us;

  if (welcome->protocol != PROTOCOL || welcome->incarnation == 0)
    {
      md_log (MD_LOG_WARN, "welcome", "peer=%s protocol=%u reason=unsupported",
              md_link_peer (peer->link), welcome->protocol);
      md_link_disconnect (peer->link);
      return;
    }
  if (interval < tuning->heartbeat_min)
    interval = tuning->heartbeat_min;
  if (interval > tuning->heartbeat_max)
    interval = tuning->heartbeat_max;
  set_incarnation (peer, welcome->incarnation);
  md_str_copy (peer->name, sizeof peer->name, md_str (welcome->name));
  peer->interval = interval;
  peer->welcomed = true;
  md_log (MD_LOG_INFO, "entry-up", "peer=%s name=%s incarnation=%llx owner=%d",
          md_link_peer (peer->link), peer->name, (unsigned long long)peer->incarnation,
          is_owner (guard, peer));
  expect_heartbeats (guard, peer);
  send_heartbeat (guard, peer);
  request_snapshots (guard, peer);
  if (guard->leaving)
    send_leaving (guard, peer);
  if (is_owner (guard, peer))
    md_guard_resend (guard);
}

/* ------------------------------------------------------------------ */
/* Attach                                                             */

static void
send_attach_reply (MdGuard *guard, MdPeer *peer, const MdAttachResult *result)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__AttachReply reply = MD__ATTACH_REPLY__INIT;

  reply.attached = result->attached;
  reply.reason = result->reason;
  reply.holder = result->holder;
  reply.holder_alive = result->holder_alive;
  reply.known_offset = guard->known_offset;
  frame.msg_case = MD__FRAME__MSG_ATTACH_REPLY;
  frame.attach_reply = &reply;
  md_link_send (peer->link, &frame);
}

typedef struct
{
  MdRecord records[RECORDS_PER_FRAME];     /* from the ledger */
  Md__Key keys[RECORDS_PER_FRAME];         /* of the records */
  Md__Key fingerprints[RECORDS_PER_FRAME]; /* of the records */
  Md__TaskRecord tasks[RECORDS_PER_FRAME]; /* the records on the wire */
  Md__TaskRecord *list[RECORDS_PER_FRAME]; /* pointers to them */
} RecordFrame;

static void
set_wire_key (Md__Key *wire, MdKey key)
{
  md__key__init (wire);
  wire->hi = key.hi;
  wire->lo = key.lo;
}

static void
set_wire_record (RecordFrame *buffer, size_t i)
{
  const MdRecord *record = &buffer->records[i];
  Md__TaskRecord *task = &buffer->tasks[i];

  set_wire_key (&buffer->keys[i], record->key);
  set_wire_key (&buffer->fingerprints[i], record->fingerprint);
  md__task_record__init (task);
  task->key = &buffer->keys[i];
  task->fingerprint = &buffer->fingerprints[i];
  task->task = record->task;
  task->n_tasks = record->n_tasks;
  task->state = record->state;
  buffer->list[i] = task;
}

static void
send_record_frame (MdPeer *peer, RecordFrame *buffer, size_t n)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Records records = MD__RECORDS__INIT;

  for (size_t i = 0; i < n; i++)
    set_wire_record (buffer, i);
  records.records = buffer->list;
  records.n_records = n;
  records.last = n == 0;
  frame.msg_case = MD__FRAME__MSG_RECORDS;
  frame.records = &records;
  md_link_send (peer->link, &frame);
}

/* All records: at most ledger_records (200,000) of about 60 bytes, so that they
   stay below the bound of a link's output. */
static void
send_records (MdGuard *guard, MdPeer *peer)
{
  RecordFrame *buffer = malloc (sizeof *buffer);
  size_t cursor = 0;
  size_t n;

  if (buffer == NULL)
    {
      md_link_disconnect (peer->link); /* the owner attaches again */
      return;
    }
  do
    {
      n = md_ledger_records (guard->ledger, &cursor, buffer->records, RECORDS_PER_FRAME);
      send_record_frame (peer, buffer, n);
    }
  while (n > 0);
  free (buffer);
}

static void
decide_attach (MdGuard *guard, const Md__Attach *attach, MdAttachResult *result)
{
  if (attach->guard == guard->incarnation)
    {
      md_ledger_attach (guard->ledger, attach->entry, attach->fences, attach->n_fences, guard->now,
                        result);
      return;
    }
  *result = (MdAttachResult){ .reason = MD_REASON_WRONG_INCARNATION,
                              .holder = md_ledger_owner (guard->ledger) };
}

static void
handle_attach (MdGuard *guard, MdPeer *peer, const Md__Attach *attach)
{
  MdAttachResult result = { 0 };

  set_incarnation (peer, attach->entry);
  decide_attach (guard, attach, &result);
  md_log (MD_LOG_INFO, "attach", "peer=%s entry=%llx fences=%zu attached=%d reason=%s holder=%llx",
          md_link_peer (peer->link), (unsigned long long)attach->entry, attach->n_fences,
          result.attached, md_reason_name (result.reason), (unsigned long long)result.holder);
  send_attach_reply (guard, peer, &result);
  if (!result.attached)
    return;
  md_count (MD_M_FENCES, (int64_t)attach->n_fences);
  send_records (guard, peer);
  md_guard_resend (guard);
  send_heartbeat (guard, peer); /* the lease starts with a fresh nonce */
  for (MdPeer *p = guard->peers; p != NULL; p = p->next)
    if (p->welcomed)
      expect_heartbeats (guard, p);
}

/* ------------------------------------------------------------------ */
/* Frames                                                             */

static void
handle_owner_frame (MdGuard *guard, MdPeer *peer, const Md__Frame *frame)
{
  if (!is_owner (guard, peer))
    {
      MdAttachResult result
          = { .reason = MD_REASON_DETACHED, .holder = md_ledger_owner (guard->ledger) };

      /* Silence would leave an owner asking for ever. */
      send_attach_reply (guard, peer, &result);
      md_log (MD_LOG_INFO, "ignored", "peer=%s frame=%d reason=%s", md_link_peer (peer->link),
              (int)frame->msg_case, md_reason_name (MD_REASON_NOT_ATTACHED));
      return;
    }
  if (frame->msg_case == MD__FRAME__MSG_CANCEL)
    md_guard_cancel (guard, peer, frame->cancel);
  else if (frame->msg_case == MD__FRAME__MSG_RELEASE)
    md_guard_release (guard, frame->release);
  else
    md_guard_query (guard, peer, frame->query);
}

static void
handle_frame (MdGuard *guard, MdPeer *peer, const Md__Frame *frame)
{
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_HEARTBEAT:
      handle_heartbeat (guard, peer, frame->heartbeat);
      break;
    case MD__FRAME__MSG_ATTACH:
      handle_attach (guard, peer, frame->attach);
      break;
    case MD__FRAME__MSG_STARTS:
      md_guard_starts (guard, peer, frame->starts);
      break;
    case MD__FRAME__MSG_CANCEL:
    case MD__FRAME__MSG_RELEASE:
    case MD__FRAME__MSG_QUERY:
      handle_owner_frame (guard, peer, frame);
      break;
    case MD__FRAME__MSG_LEAVING:
      md_ledger_entry_leaving (guard->ledger, frame->leaving->incarnation, guard->now);
      break;
    case MD__FRAME__MSG_SNAPSHOT_REPLY:
      handle_snapshot (guard, peer, frame->snapshot_reply);
      break;
    default:
      md_log (MD_LOG_DEBUG, "ignored", "peer=%s frame=%d reason=unexpected",
              md_link_peer (peer->link), (int)frame->msg_case);
      break;
    }
}

static void
on_up (void *user, MdLink *link)
{
  MdGuard *guard = user;
  MdPeer *peer = find_link (guard, link);

  if (peer == NULL)
    return;
  peer->connection++;
  peer->welcomed = false;
  send_hello (guard, peer);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  MdGuard *guard = user;
  MdPeer *peer = find_link (guard, link);

  if (peer == NULL)
    return;
  md_guard_set_now (guard);
  if (frame->msg_case == MD__FRAME__MSG_WELCOME)
    handle_welcome (guard, peer, frame->welcome);
  else if (peer->welcomed)
    handle_frame (guard, peer, frame);
  if (peer->incarnation != 0)
    md_ledger_record_contact (guard->ledger, peer->incarnation, guard->now);
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  MdPeer *peer = find_link (user, link);

  if (peer == NULL)
    return;
  md_log (MD_LOG_INFO, "entry-down", "peer=%s name=%s detail=\"%s\"", peer->address, peer->name,
          error->detail);
  peer->welcomed = false;
}

const MdLinkHandler md_guard_handler = { on_up, on_frame, on_down };
