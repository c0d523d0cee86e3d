/* mulberrydrift-members.h -- membership and failure detection

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_MEMBERS_H
#define MULBERRYDRIFT_MEMBERS_H

#include "mulberrydrift-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* ------------------------------------------------------------------ */
  /* Members: membership and failure detection (members.c)              */

  typedef struct MdMembers MdMembers;

  typedef enum
  {
    MD_ROLE_ENTRY,
    MD_ROLE_GUARD,
  } MdRole;

  typedef enum
  {
    MD_MEMBER_JOINING,     /* registered, no contact yet */
    MD_MEMBER_LIVE,        /* contact within the allowed number of heartbeats */
    MD_MEMBER_SUSPECT,     /* too many heartbeats missed */
    MD_MEMBER_UNREACHABLE, /* too many heartbeats missed here, but in contact with others */
    MD_MEMBER_DEAD,        /* no contact with any process, or replaced */
    MD_MEMBER_LEAVING,     /* announced that it leaves */
    MD_MEMBER_GONE,        /* left or removed */
  } MdMemberState;

  typedef struct
  {
    MdRole role;
    MdStr name;           /* from the settings; the same after a restart */
    uint64_t incarnation; /* identifies the process, not 0 */
    MdStr address;        /* ip:port for internal connections; empty for guards */
    MdStr region;
    MdStr failure_domain;
    MdStr pool;            /* guards: the pool they serve */
    uint32_t cores;        /* guards: of the worker */
    uint32_t memory_mb;    /* guards: of the worker, MiB */
    uint32_t accelerators; /* guards: of the worker */
    uint32_t slots;        /* guards: tasks at a time */
    uint32_t connections;  /* guards: connections to the upstream */
  } MdMemberInfo;

  typedef struct
  {
    MdMemberInfo info;   /* strings are owned by MdMembers */
    MdMemberState state; /* as observed by this process */
    uint64_t offset;     /* of the registration record, 0 unregistered */
    MdTime last_contact; /* when the last message was received, 0 never */
    MdTime state_since;  /* when the state was entered */
  } MdMember;

  typedef enum
  {
    MD_MEMBERS_STATE, /* a member changed state */
    MD_MEMBERS_LOST,  /* a registered guard was replaced or removed without leaving */
  } MdMembersKind;

  typedef struct
  {
    MdMembersKind kind;
    uint64_t incarnation; /* of the member */
    MdMemberState before; /* STATE */
    MdMemberState after;  /* STATE */
    int64_t lost_ms;      /* LOST: time of the record, by the clock of the log */
  } MdMembersDecision;

  MdMembers *md_members_new (const MdTuning *tuning);
  void md_members_free (MdMembers *members);

  /* md_members_register: applies the registration record at a log offset. An earlier
   incarnation with the same role and name is replaced. Records at or below the
   highest offset applied are ignored. Offsets of records start at 1; offset 0 adds a
   member that is known only from its Hello, which replaces nothing. Returns MD_OK,
   MD_E_INVALID or MD_E_MEMORY; after MD_E_MEMORY the caller passes the record again. */
  int md_members_register (MdMembers *members, const MdMemberInfo *info, uint64_t offset,
                           int64_t time_ms, MdTime now);
  /* md_members_remove: applies a leaving record (left is true) or a removal record.
   Records below the highest offset applied are ignored; several removals may have
   the same offset, because a snapshot can end several members at once. Returns
   MD_OK, MD_E_INVALID for offset 0, or MD_E_NOT_FOUND. */
  int md_members_remove (MdMembers *members, uint64_t incarnation, bool left, uint64_t offset,
                         int64_t time_ms, MdTime now);
  /* md_members_set_interval: the member was asked to send heartbeats at this interval.
   The default is heartbeat_max for entries and heartbeat_idle for guards; the owner
   of a guard sets the interval that it sent in Welcome. */
  void md_members_set_interval (MdMembers *members, uint64_t incarnation, MdTime interval,
                                MdTime now);
  /* md_members_record_contact: a message from the member was received. */
  void md_members_record_contact (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_record_peer_contact: another process reports that it received a message
   from the member age ago. */
  void md_members_record_peer_contact (MdMembers *members, uint64_t incarnation, MdTime age,
                                       MdTime now);
  /* md_members_set_leaving: the member announced that it leaves. */
  void md_members_set_leaving (MdMembers *members, uint64_t incarnation, MdTime now);
  /* md_members_tick: checks the deadlines of all members. Returns the time of the next
   call. A call that is late by more than heartbeat_min counts as a pause of this
   process; silence of the others is then measured from its end. */
  MdTime md_members_tick (MdMembers *members, MdTime now);
  /* md_members_next: the next decision. Several changes of one member between two
   calls are merged. A new member is reported as a change from MD_MEMBER_GONE. */
  bool md_members_next (MdMembers *members, MdMembersDecision *decision);
  /* md_members_find, md_members_find_name: a member by incarnation, or the current one
   of a role and name; NULL when not found. */
  const MdMember *md_members_find (const MdMembers *members, uint64_t incarnation);
  const MdMember *md_members_find_name (const MdMembers *members, MdRole role, MdStr name);
  /* md_members_count, md_members_at: the members that were neither replaced nor
   removed, in no fixed order. Replaced and removed ones are still found by
   incarnation until the horizon. */
  size_t md_members_count (const MdMembers *members);
  const MdMember *md_members_at (const MdMembers *members, size_t index);
  /* md_members_offset: the offset of the last record applied, 0 none. */
  uint64_t md_members_offset (const MdMembers *members);

  /* md_members_owner: the incarnation of the live entry with the highest rendezvous
   hash for the name of a shard, 0 when no entry is live. */
  uint64_t md_members_owner (const MdMembers *members, MdStr shard);

  /* md_heartbeat_interval: the interval at which a node with this many peers sends
   heartbeats without exceeding its byte budget. */
  MdTime md_heartbeat_interval (const MdTuning *tuning, size_t peers);

  /* md_reconnect_delay: the delay before connection attempt number attempt (0 first):
   exponential back-off with full jitter above reconnect_min. random must be uniform
   over 64 bits. */
  MdTime md_reconnect_delay (const MdTuning *tuning, unsigned attempt, uint64_t random);

  /* md_key: the key of a submission. Aborts when memory runs out. */
  MdKey md_key (MdStr customer, MdStr pool, MdStr submission_id);
  /* md_shard_of_key, md_shard_of_guard: the index of the shard to which a key or a
   guard name belongs; 0 when shards is at most 1. */
  uint32_t md_shard_of_key (MdKey key, uint32_t shards);
  uint32_t md_shard_of_guard (MdStr name, uint32_t shards);
  /* md_uuid7_time: the wall clock of a UUIDv7 submission id (RFC 9562), in
   milliseconds since the epoch; 0 for other ids. */
  int64_t md_uuid7_time (MdStr id);

#ifdef __cplusplus
}
#endif

#endif
