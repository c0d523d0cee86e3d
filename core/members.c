/* members.c -- which processes exist, which are alive, and who owns a shard

   Existence comes from the log: the order of its records decides which process
   of a name is the current one, so that every entry reaches the same list, and
   a guard is lost only by a record. Liveness is a local opinion, taken from
   silence and from what others heard, and never changes the list.

   The state of a member is a function of three times: when it was last heard
   here, when another process last heard it, and now. Hearing a live member only
   stores a time. Deadlines are checked by a scan of all members that runs no
   earlier than the first deadline found by the scan before, which is a few times
   per heartbeat interval at most; a queue ordered by deadline would cost more on
   each heartbeat and save little.

   Decisions are not stored. A changed member stands in a list of changed members
   until its decision is taken, so that a member that changes often cannot make
   the list grow. */

#include "mulberrydrift.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NO_DEADLINE INT64_MAX /* a deadline that does not come */
#define ROLES 2               /* MD_ROLE_ENTRY, MD_ROLE_GUARD */

/* Scans are at least heartbeat_min / MAX_SCANS_PER_HEARTBEAT apart, so that many deadlines
   in a row do not cause a scan each. A state change is late by that much at most. */
#define MAX_SCANS_PER_HEARTBEAT 10

typedef struct Peer Peer;

struct Peer
{
  MdMember member;              /* first, so that both trees can point to member.info */
  uint64_t name_hash;           /* xxh64 of the name, for the rendezvous choice */
  MdTime heartbeat_interval;    /* at which it was asked to send heartbeats */
  MdTime silence_start;         /* start of the silence that counts against it */
  MdTime last_peer_contact;     /* when another process last heard it, 0 never */
  int64_t retired_ms;           /* when it was replaced or removed, by the log's clock */
  size_t index;                 /* place in the list of its role */
  MdMemberState reported_state; /* state in the last decision */
  bool retired;                 /* replaced or removed; no longer in the list */
  bool leaving;                 /* announced that it leaves */
  bool lost;                    /* a LOST decision is due */
  bool queued;                  /* in the list of changed members */
  Peer *next_changed;           /* in the list of changed members */
  Peer *next_retired;           /* in the list of retired members, oldest first */
  char strings[];               /* the strings of member.info, terminated */
};

typedef struct
{
  Peer **peers; /* n of cap places in use */
  size_t n;     /* current members of this role */
  size_t cap;   /* allocated places */
} PeerList;

typedef struct
{
  Peer *first; /* NULL when empty */
  Peer *last;  /* undefined when empty */
} PeerQueue;

struct MdMembers
{
  MdTuning tuning;       /* copy */
  void *by_incarnation;  /* tree of all peers, retired ones included */
  void *by_name;         /* tree of the current peer of each role and name */
  PeerList lists[ROLES]; /* current members by role */
  PeerQueue changed;     /* peers with a decision to take */
  PeerQueue retired;     /* peers kept until the horizon */
  uint64_t offset;       /* highest record applied */
  MdTime next_scan;      /* first deadline known */
  MdTime last_tick;      /* 0 before the first */
};

/* ------------------------------------------------------------------ */
/* Pacing                                                             */

MdTime
md_heartbeat_interval (const MdTuning *tuning, size_t peers)
{
  /* Each heartbeat is answered by one of the same size, hence the factor 2. */
  double bytes = (double)peers * tuning->heartbeat_bytes * 2.0;
  double wanted = bytes / tuning->heartbeat_budget * (double)MD_SECOND;

  if (wanted >= (double)tuning->heartbeat_max)
    return tuning->heartbeat_max;
  if (wanted <= (double)tuning->heartbeat_min)
    return tuning->heartbeat_min;
  return (MdTime)wanted;
}

/* Upper end of the range from which a delay is drawn. It doubles from twice the
   minimum, so that already the first attempts of many peers are spread. */
static MdTime
reconnect_range (const MdTuning *tuning, unsigned attempt)
{
  MdTime range = tuning->reconnect_min;

  for (unsigned i = 0; i <= attempt && range < tuning->reconnect_max; i++)
    range *= 2;
  return range < tuning->reconnect_max ? range : tuning->reconnect_max;
}

MdTime
md_reconnect_delay (const MdTuning *tuning, unsigned attempt, uint64_t random)
{
  MdTime span = reconnect_range (tuning, attempt) - tuning->reconnect_min;
  double fraction = (double)(random >> 11) * 0x1p-53; /* 53 bits, in [0, 1) */

  return tuning->reconnect_min + (MdTime)(fraction * (double)span);
}

/* ------------------------------------------------------------------ */
/* Table                                                              */

static int
compare_incarnations (const void *a, const void *b)
{
  uint64_t left = ((const MdMemberInfo *)a)->incarnation;
  uint64_t right = ((const MdMemberInfo *)b)->incarnation;

  return (left > right) - (left < right);
}

static int
compare_names (const void *a, const void *b)
{
  const MdMemberInfo *left = a;
  const MdMemberInfo *right = b;
  size_t len = left->name.len < right->name.len ? left->name.len : right->name.len;
  int order;

  if (left->role != right->role)
    return left->role < right->role ? -1 : 1;
  order = memcmp (left->name.data, right->name.data, len);
  if (order != 0)
    return order;
  return (left->name.len > right->name.len) - (left->name.len < right->name.len);
}

static Peer *
find_peer (const MdMembers *members, uint64_t incarnation)
{
  MdMemberInfo probe = { .incarnation = incarnation };
  Peer **node = tfind (&probe, &members->by_incarnation, compare_incarnations);

  return node ? *node : NULL;
}

/* The peer that a message or an announcement may concern: a current one. */
static Peer *
find_current (const MdMembers *members, uint64_t incarnation)
{
  Peer *peer = find_peer (members, incarnation);

  return peer && !peer->retired ? peer : NULL;
}

static char *
store_string (char *place, MdStr *s)
{
  if (s->len > 0)
    memcpy (place, s->data, s->len);
  place[s->len] = '\0';
  s->data = place;
  return place + s->len + 1;
}

static Peer *
new_peer (const MdMembers *members, const MdMemberInfo *info, MdTime now)
{
  size_t bytes = info->name.len + info->address.len + info->region.len + info->failure_domain.len
                 + info->pool.len + 5;
  Peer *peer = calloc (1, sizeof *peer + bytes);
  MdMemberInfo *copy;
  char *place;

  if (peer == NULL)
    return NULL;
  copy = &peer->member.info;
  *copy = *info;
  place = store_string (peer->strings, &copy->name);
  place = store_string (place, &copy->address);
  place = store_string (place, &copy->region);
  place = store_string (place, &copy->failure_domain);
  store_string (place, &copy->pool);
  peer->name_hash = XXH64 (copy->name.data, copy->name.len, 0);
  peer->member.state = MD_MEMBER_GONE;
  peer->reported_state = MD_MEMBER_GONE;
  peer->silence_start = now;
  peer->heartbeat_interval = info->role == MD_ROLE_GUARD ? members->tuning.heartbeat_idle
                                                         : members->tuning.heartbeat_max;
  return peer;
}

static bool
list_reserve (PeerList *list)
{
  size_t cap = list->cap ? list->cap * 2 : 16;
  Peer **peers;

  if (list->n < list->cap)
    return true;
  peers = realloc (list->peers, cap * sizeof (Peer *));
  if (peers == NULL)
    return false;
  list->peers = peers;
  list->cap = cap;
  return true;
}

static void
list_add (PeerList *list, Peer *peer)
{
  peer->index = list->n;
  list->peers[list->n++] = peer;
}

static void
list_remove (PeerList *list, const Peer *peer)
{
  Peer *last = list->peers[--list->n];

  list->peers[peer->index] = last;
  last->index = peer->index;
}

static void
unset_current_peer (MdMembers *members, const Peer *peer)
{
  Peer **node = tfind (peer, &members->by_name, compare_names);

  if (node != NULL && *node == peer)
    tdelete (peer, &members->by_name, compare_names);
}

/* Frees a peer that is in no list. */
static void
discard_peer (MdMembers *members, Peer *peer)
{
  unset_current_peer (members, peer);
  tdelete (peer, &members->by_incarnation, compare_incarnations);
  free (peer);
}

/* ------------------------------------------------------------------ */
/* Failure detector                                                   */

static void
queue_change (MdMembers *members, Peer *peer)
{
  PeerQueue *queue = &members->changed;

  if (peer->queued)
    return;
  peer->queued = true;
  peer->next_changed = NULL;
  if (queue->first == NULL)
    queue->first = peer;
  else
    queue->last->next_changed = peer;
  queue->last = peer;
}

static void
set_state (MdMembers *members, Peer *peer, MdMemberState state, MdTime now)
{
  if (peer->member.state == state)
    return;
  peer->member.state = state;
  peer->member.state_since = now;
  queue_change (members, peer);
}

static void
schedule_scan (MdMembers *members, MdTime time)
{
  if (time < members->next_scan)
    members->next_scan = time;
}

/* Silence that is still normal. A member that was never heard may first have to
   wait for its longest reconnect delay. */
static MdTime
suspect_timeout (const MdMembers *members, const Peer *peer)
{
  MdTime silence = peer->heartbeat_interval * members->tuning.missed_heartbeats;

  return peer->member.last_contact == 0 ? silence + members->tuning.reconnect_max : silence;
}

/* The state of a member now, and the time at which it changes by itself. Between
   the first missed deadline and death lies one more interval, in which others
   can report that they hear the member. */
static MdMemberState
judge (const MdMembers *members, const Peer *peer, MdTime now, MdTime *until)
{
  MdTime suspect_at = peer->silence_start + suspect_timeout (members, peer);
  MdTime dead_at = suspect_at + peer->heartbeat_interval;
  MdTime suspect_until
      = peer->last_peer_contact ? peer->last_peer_contact + members->tuning.fence_after : 0;

  if (now < suspect_at)
    {
      *until = suspect_at;
      if (peer->leaving)
        return MD_MEMBER_LEAVING;
      return peer->member.last_contact ? MD_MEMBER_LIVE : MD_MEMBER_JOINING;
    }
  if (now < suspect_until)
    {
      *until = suspect_until;
      return peer->leaving ? MD_MEMBER_LEAVING : MD_MEMBER_UNREACHABLE;
    }
  if (now < dead_at)
    {
      *until = dead_at;
      return peer->leaving ? MD_MEMBER_LEAVING : MD_MEMBER_SUSPECT;
    }
  *until = NO_DEADLINE;
  return MD_MEMBER_DEAD;
}

static void
update (MdMembers *members, Peer *peer, MdTime now)
{
  MdTime until;
  MdMemberState state = judge (members, peer, now, &until);

  set_state (members, peer, state, now);
  schedule_scan (members, until);
}

/* A member that is not in the log has no record that could remove it. Once it
   has been dead for removal_delay it is forgotten. */
static void
forget_unregistered (MdMembers *members, Peer *peer, MdTime now)
{
  MdTime at = peer->member.state_since + members->tuning.removal_delay;

  if (peer->member.offset != 0 || peer->member.state != MD_MEMBER_DEAD)
    return;
  if (now < at || peer->queued)
    {
      schedule_scan (members, at);
      return;
    }
  list_remove (&members->lists[peer->member.info.role], peer);
  discard_peer (members, peer);
}

static void
scan (MdMembers *members, MdTime now)
{
  MdTime earliest = now + members->tuning.heartbeat_min / MAX_SCANS_PER_HEARTBEAT;

  members->next_scan = NO_DEADLINE;
  for (int role = 0; role < ROLES; role++)
    for (size_t i = members->lists[role].n; i-- > 0;)
      {
        Peer *peer = members->lists[role].peers[i];

        update (members, peer, now);
        forget_unregistered (members, peer, now);
      }
  if (members->next_scan < earliest)
    members->next_scan = earliest;
}

/* After a pause of this process the silence says nothing about the others. Live
   members get a full period of grace; suspect ones get one more interval; dead
   ones stay dead until they are heard. */
static void
restart_silence (MdMembers *members, MdTime now)
{
  for (int role = 0; role < ROLES; role++)
    for (size_t i = 0; i < members->lists[role].n; i++)
      {
        Peer *peer = members->lists[role].peers[i];

        switch (peer->member.state)
          {
          case MD_MEMBER_JOINING:
          case MD_MEMBER_LIVE:
          case MD_MEMBER_LEAVING:
            peer->silence_start = now;
            break;
          case MD_MEMBER_SUSPECT:
          case MD_MEMBER_UNREACHABLE:
            peer->silence_start = now - suspect_timeout (members, peer);
            break;
          case MD_MEMBER_DEAD:
          case MD_MEMBER_GONE:
            break;
          }
      }
}

MdTime
md_members_tick (MdMembers *members, MdTime now)
{
  MdTime max_pause = 2 * members->tuning.heartbeat_min;
  MdTime next;

  if (members->last_tick != 0 && now - members->last_tick > max_pause)
    restart_silence (members, now);
  members->last_tick = now;
  if (now >= members->next_scan)
    scan (members, now);
  next = now + members->tuning.heartbeat_min;
  return members->next_scan < next ? members->next_scan : next;
}

void
md_members_set_interval (MdMembers *members, uint64_t incarnation, MdTime interval, MdTime now)
{
  Peer *peer = find_current (members, incarnation);

  if (peer == NULL || interval <= 0)
    return;
  peer->heartbeat_interval = interval;
  update (members, peer, now);
}

void
md_members_record_contact (MdMembers *members, uint64_t incarnation, MdTime now)
{
  Peer *peer = find_current (members, incarnation);

  if (peer == NULL || now < peer->member.last_contact)
    return;
  peer->member.last_contact = now;
  peer->silence_start = now;
  if (peer->member.state != MD_MEMBER_LIVE)
    update (members, peer, now);
}

void
md_members_record_peer_contact (MdMembers *members, uint64_t incarnation, MdTime age, MdTime now)
{
  Peer *peer = find_current (members, incarnation);
  MdTime heard_at = age > 0 ? now - age : now;

  if (peer == NULL || heard_at <= peer->last_peer_contact)
    return;
  peer->last_peer_contact = heard_at;
  update (members, peer, now);
}

void
md_members_set_leaving (MdMembers *members, uint64_t incarnation, MdTime now)
{
  Peer *peer = find_current (members, incarnation);

  if (peer == NULL)
    return;
  peer->leaving = true;
  update (members, peer, now);
}

/* ------------------------------------------------------------------ */
/* Records of the log                                                 */

/* Takes a peer off the list. It is kept until the horizon, so that a repeated or
   delayed record of it is recognized. */
static void
retire (MdMembers *members, Peer *peer, MdMemberState state, int64_t time_ms, MdTime now)
{
  PeerQueue *queue = &members->retired;

  unset_current_peer (members, peer);
  list_remove (&members->lists[peer->member.info.role], peer);
  peer->retired = true;
  peer->retired_ms = time_ms;
  if (queue->first == NULL)
    queue->first = peer;
  else
    queue->last->next_retired = peer;
  queue->last = peer;
  set_state (members, peer, state, now);
}

/* A guard that goes without a record of its leaving may have held records of
   tasks that ran. What it announced before does not matter: it may have been
   lost on its way out. */
static void
mark_guard_lost (MdMembers *members, Peer *peer)
{
  if (peer->member.info.role != MD_ROLE_GUARD)
    return;
  peer->lost = true;
  queue_change (members, peer);
}

/* The age of a retired peer is measured between records, so that every entry
   recognizes the same records as repeated. */
static void
purge_retired (MdMembers *members, int64_t time_ms)
{
  int64_t horizon_ms = members->tuning.horizon / MD_MS;
  Peer *peer;

  while ((peer = members->retired.first) != NULL && !peer->queued
         && time_ms - peer->retired_ms > horizon_ms)
    {
      members->retired.first = peer->next_retired;
      discard_peer (members, peer);
    }
}

/* Makes a peer the current one of its name, where the order of the log or, among
   unregistered peers, the order of the incarnations says so. */
static int
take_name (MdMembers *members, Peer *peer, int64_t time_ms, MdTime now)
{
  Peer **node = tsearch (peer, &members->by_name, compare_names);
  Peer *old;

  if (node == NULL)
    return MD_E_MEMORY;
  old = *node;
  if (old == peer)
    return MD_OK;
  if (peer->member.offset == 0)
    {
      if (old->member.offset == 0 && old->member.info.incarnation < peer->member.info.incarnation)
        *node = peer;
      return MD_OK;
    }
  *node = peer;
  if (old->member.offset != 0)
    {
      mark_guard_lost (members, old);
      retire (members, old, MD_MEMBER_DEAD, time_ms, now);
    }
  return MD_OK;
}

static int
add_peer (MdMembers *members, const MdMemberInfo *info, uint64_t offset, int64_t time_ms,
          MdTime now)
{
  PeerList *list = &members->lists[info->role];
  Peer *peer = new_peer (members, info, now);

  if (peer == NULL)
    return MD_E_MEMORY;
  peer->member.offset = offset;
  if (!list_reserve (list) || !tsearch (peer, &members->by_incarnation, compare_incarnations))
    {
      free (peer);
      return MD_E_MEMORY;
    }
  if (take_name (members, peer, time_ms, now) != MD_OK)
    {
      discard_peer (members, peer);
      return MD_E_MEMORY;
    }
  list_add (list, peer);
  update (members, peer, now);
  return MD_OK;
}

int
md_members_register (MdMembers *members, const MdMemberInfo *info, uint64_t offset, int64_t time_ms,
                     MdTime now)
{
  bool valid = info->incarnation != 0 && info->name.len > 0 && (unsigned)info->role < ROLES;
  Peer *peer;
  int rc = MD_OK;

  if (offset != 0 && offset <= members->offset)
    return MD_OK;
  if (offset != 0)
    purge_retired (members, time_ms);
  peer = valid ? find_peer (members, info->incarnation) : NULL;
  if (!valid)
    rc = MD_E_INVALID;
  else if (peer == NULL)
    rc = add_peer (members, info, offset, time_ms, now);
  else if (peer->member.offset == 0 && offset != 0)
    {
      peer->member.offset = offset;
      rc = take_name (members, peer, time_ms, now);
    }
  /* Every other node skips an invalid record, too; only a lack of memory lets
     the caller pass the record again. */
  if (offset != 0 && rc != MD_E_MEMORY)
    members->offset = offset;
  return rc;
}

int
md_members_remove (MdMembers *members, uint64_t incarnation, bool left, uint64_t offset,
                   int64_t time_ms, MdTime now)
{
  Peer *peer;

  if (offset == 0)
    return MD_E_INVALID;
  if (offset < members->offset)
    return MD_OK;
  members->offset = offset;
  purge_retired (members, time_ms);
  peer = find_current (members, incarnation);
  if (peer == NULL)
    return MD_E_NOT_FOUND;
  if (!left)
    mark_guard_lost (members, peer);
  retire (members, peer, MD_MEMBER_GONE, time_ms, now);
  return MD_OK;
}

/* ------------------------------------------------------------------ */
/* Decisions and look-ups                                             */

bool
md_members_next (MdMembers *members, MdMembersDecision *decision)
{
  Peer *peer;

  while ((peer = members->changed.first) != NULL)
    {
      memset (decision, 0, sizeof *decision);
      decision->incarnation = peer->member.info.incarnation;
      if (peer->lost)
        {
          peer->lost = false;
          decision->kind = MD_MEMBERS_LOST;
          decision->lost_ms = peer->retired_ms;
          return true;
        }
      peer->queued = false;
      members->changed.first = peer->next_changed;
      decision->kind = MD_MEMBERS_STATE;
      decision->before = peer->reported_state;
      decision->after = peer->member.state;
      peer->reported_state = peer->member.state;
      if (decision->before != decision->after)
        return true;
    }
  return false;
}

const MdMember *
md_members_find (const MdMembers *members, uint64_t incarnation)
{
  Peer *peer = find_peer (members, incarnation);

  return peer ? &peer->member : NULL;
}

const MdMember *
md_members_find_name (const MdMembers *members, MdRole role, MdStr name)
{
  MdMemberInfo probe = { .role = role, .name = name };
  Peer **node = name.len ? tfind (&probe, &members->by_name, compare_names) : NULL;

  return node ? &(*node)->member : NULL;
}

size_t
md_members_count (const MdMembers *members)
{
  size_t n = 0;

  for (int role = 0; role < ROLES; role++)
    n += members->lists[role].n;
  return n;
}

const MdMember *
md_members_at (const MdMembers *members, size_t index)
{
  for (int role = 0; role < ROLES; role++)
    {
      const PeerList *list = &members->lists[role];

      if (index < list->n)
        return &list->peers[index]->member;
      index -= list->n;
    }
  return NULL;
}

uint64_t
md_members_offset (const MdMembers *members)
{
  return members->offset;
}

uint64_t
md_members_owner (const MdMembers *members, MdStr shard)
{
  const PeerList *entries = &members->lists[MD_ROLE_ENTRY];
  uint64_t owner = 0;
  uint64_t highest = 0;

  for (size_t i = 0; i < entries->n; i++)
    {
      const Peer *peer = entries->peers[i];
      uint64_t incarnation = peer->member.info.incarnation;
      uint64_t weight;

      if (peer->member.state != MD_MEMBER_LIVE)
        continue;
      weight = XXH64 (shard.data, shard.len, peer->name_hash);
      if (owner == 0 || weight > highest || (weight == highest && incarnation > owner))
        {
          owner = incarnation;
          highest = weight;
        }
    }
  return owner;
}

MdMembers *
md_members_new (const MdTuning *tuning)
{
  MdMembers *members = calloc (1, sizeof *members);

  if (members == NULL)
    return NULL;
  members->tuning = *tuning;
  members->next_scan = NO_DEADLINE;
  return members;
}

void
md_members_free (MdMembers *members)
{
  if (members == NULL)
    return;
  for (int role = 0; role < ROLES; role++)
    {
      for (size_t i = 0; i < members->lists[role].n; i++)
        discard_peer (members, members->lists[role].peers[i]);
      free (members->lists[role].peers);
    }
  while (members->retired.first != NULL)
    {
      Peer *peer = members->retired.first;

      members->retired.first = peer->next_retired;
      discard_peer (members, peer);
    }
  free (members);
}
