/* mulberrydrift-shard.h -- an entry's ownership of one shard

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_SHARD_H
#define MULBERRYDRIFT_SHARD_H

#include "mulberrydrift-ledger.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* ------------------------------------------------------------------ */
  /* Shard: an entry's ownership of one shard (shard.c)                 */

  typedef struct MdShard MdShard;

  typedef enum
  {
    MD_SHARD_FOLLOWER,  /* not the owner and not acquiring */
    MD_SHARD_ACQUIRING, /* attaching guards and receiving their records */
    MD_SHARD_SERVING,   /* owner with valid evidence of its quorum */
    MD_SHARD_SUSPENDED, /* owner that has lost contact with its quorum */
  } MdShardState;

  typedef enum
  {
    MD_SHARD_ATTACH,  /* send Attach with the fences to the guard */
    MD_SHARD_ECHO,    /* return the nonce to the guard */
    MD_SHARD_USE,     /* the guard is in every active view: place tasks on it */
    MD_SHARD_SERVE,   /* start serving; cut_ms as in md_dispatch_serve */
    MD_SHARD_SUSPEND, /* stop placing tasks */
    MD_SHARD_DROP,    /* fenced, or yields to another holder: give up the incarnation */
  } MdShardKind;

  typedef struct
  {
    MdShardKind kind;
    uint64_t guard;         /* ATTACH, ECHO, USE: incarnation */
    MdTime nonce;           /* ECHO */
    const uint64_t *fences; /* ATTACH: n_fences incarnations */
    size_t n_fences;        /* ATTACH */
    int64_t cut_ms;         /* SERVE */
    uint64_t holder;        /* DROP: incarnation that holds the guards, 0 unknown */
    bool fenced;            /* DROP: the own incarnation is fenced */
  } MdShardDecision;

  /* md_shard_new: a follower with the incarnation for its first acquire. */
  MdShard *md_shard_new (const MdTuning *tuning, uint64_t incarnation);
  void md_shard_free (MdShard *shard);

  /* md_shard_set_guards: sets the registered guards (current incarnations) at a log
   offset. Must be called for each membership record of the shard, in order,
   including the old records that a starting entry reads, because consecutive sets
   must differ in one guard only. */
  void md_shard_set_guards (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset,
                            MdTime now);

  /* md_shard_guard_lost: a registered guard was replaced or removed without leaving,
   at lost_ms by the clock of the log. The loss is kept for the horizon. */
  void md_shard_guard_lost (MdShard *shard, uint64_t guard, int64_t lost_ms, int64_t wall_ms,
                            MdTime now);

  /* md_shard_guard_given_up: the owner has given up its attempts at a guard that was silent. If the
   same process comes back, it is attached again for its records, then a USE decision follows. */
  void md_shard_guard_given_up (MdShard *shard, uint64_t guard, MdTime now);

  /* md_shard_acquire: starts to acquire the shard, fencing n incarnations: former
   owners that are considered dead or are leaving. While the entry acquires or owns
   the shard, it only adds fences. */
  void md_shard_acquire (MdShard *shard, const uint64_t *fences, size_t n, MdTime now);

  /* md_shard_release: gives up the shard; used when the entry leaves. Must be called
   before Leaving is sent, because other entries may fence this one as soon as they
   receive it. */
  void md_shard_release (MdShard *shard, MdTime now);

  /* md_shard_set_incarnation: sets the incarnation for the next acquire. An
   incarnation owns a shard at most once: after a release or DROP, md_shard_acquire
   does nothing until a new one is set. After DROP the daemon announces the old one
   as leaving to the guards. */
  void md_shard_set_incarnation (MdShard *shard, uint64_t incarnation);

  /* md_shard_set_link: the connection to a guard was established or lost. */
  void md_shard_set_link (MdShard *shard, uint64_t guard, bool up, MdTime now);

  /* md_shard_attach_reply: the result of an attach at a guard. known_offset is the
   highest registration offset that the guard has received. */
  void md_shard_attach_reply (MdShard *shard, uint64_t guard, const MdAttachResult *result,
                              uint64_t known_offset, MdTime now);

  /* md_shard_records_end: all records of a guard have been received. */
  void md_shard_records_end (MdShard *shard, uint64_t guard, MdTime now);

  /* md_shard_record_nonce: a heartbeat of the guard carried its clock. A guard sends
   one right after it accepts an attach, because starts need a nonce issued after
   that. */
  void md_shard_record_nonce (MdShard *shard, uint64_t guard, MdTime nonce, MdTime now);

  /* md_shard_record_ack: a guard that has not fenced this entry acknowledged the
   heartbeat that was sent at sent_at and carried a registration offset. If the
   heartbeat of a guard says that this entry is fenced, the caller passes
   MD_REASON_FENCED to md_shard_attach_reply instead. A guard that refuses the frames
   of an owner because it is no longer attached answers with MD_REASON_DETACHED; the
   owner then attaches it again. */
  void md_shard_record_ack (MdShard *shard, uint64_t guard, MdTime sent_at, uint64_t offset,
                            MdTime now);

  /* md_shard_tick: handles timeouts; wall_ms is the current wall clock, for the cut.
   Returns the time of the next call. */
  MdTime md_shard_tick (MdShard *shard, MdTime now, int64_t wall_ms);

  /* md_shard_next: the next decision; wall_ms is the current wall clock. */
  bool md_shard_next (MdShard *shard, MdTime now, int64_t wall_ms, MdShardDecision *decision);
  MdShardState md_shard_state (const MdShard *shard);
  /* md_shard_offset: the registration offset to carry in heartbeats, 0 unless this
   entry owns the shard. Guards accept an offset only in heartbeats of the entry to
   which they are attached, and report the highest one in AttachReply. */
  uint64_t md_shard_offset (const MdShard *shard);

#ifdef __cplusplus
}
#endif

#endif
