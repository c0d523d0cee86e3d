/* shard-private.h -- state of a shard, shared by shard.c and shard-quorum.c */

#ifndef MD_SHARD_PRIVATE_H
#define MD_SHARD_PRIVATE_H

#include "md-base.h"

enum
{
  MD_SHARD_MAX_NONCES = 16, /* kept per guard, spread over one guard lease */
  MD_SHARD_MAX_VIEWS = 64,  /* kept; inactive ones are dropped beyond */
};

/* No such time; compares as earlier than every time. */
#define MD_SHARD_NEVER INT64_MIN

/* A view: the set of guards registered at a log offset. */
typedef struct
{
  uint64_t offset;  /* of the record that changed the set */
  uint64_t *guards; /* incarnations in ascending order, owned */
  size_t n;
  bool active; /* the quorum and the lease have to hold in this view */
} MdShardView;

/* A nonce is the time of a heartbeat on the clock of the guard that sent it. */
typedef struct
{
  MdTime nonce;    /* on the guard's clock */
  MdTime received; /* on the local clock */
} MdShardNonce;

typedef struct
{
  uint64_t id;            /* incarnation */
  bool link_up;           /* a connection to the guard exists */
  bool attached;          /* accepted the last attach and has not reported otherwise since */
  bool recovered;         /* all its records have been received */
  bool confirmed;         /* counts as evidence; see shard-quorum.c */
  bool fenced;            /* has fenced the incarnation of this entry */
  bool use_emitted;       /* a USE decision was returned in this ownership */
  bool holder_alive;      /* refused the last attach because another holder is alive */
  uint64_t holder;        /* holder named by the last refusal */
  MdTime attached_at;     /* when the reply to the attach was received */
  MdTime retry_at;        /* no attach before this time */
  MdTime retry_delay;     /* exponential back-off, 0 before the first */
  MdTime unregistered_at; /* when it left the newest view, MD_SHARD_NEVER if in it */
  MdTime acked_sent_at;   /* when the latest acknowledged heartbeat was sent */
  uint64_t acked_offset;  /* highest registration offset it has acknowledged */
  uint64_t known_offset;  /* registration offset it reported when attached, 0 none */
  MdShardNonce nonces[MD_SHARD_MAX_NONCES]; /* oldest first */
  size_t n_nonces;
  MdTime echoed_nonce; /* latest nonce returned to the guard, 0 none */
} MdShardGuard;

typedef struct
{
  uint64_t guard;  /* incarnation */
  int64_t lost_ms; /* wall clock of the log */
} MdShardLoss;

struct MdShard
{
  MdTuning tuning;
  uint64_t incarnation;      /* of this entry in the present or last ownership */
  uint64_t next_incarnation; /* for the next acquire */
  bool incarnation_used;     /* the incarnation has owned or acquired the shard before */
  MdShardState state;
  MdTime last_attach_at;  /* ACQUIRING: when the latest guard was attached, or the start */
  MdTime reachable_since; /* SUSPENDED: since when a quorum of the newest view is linked */
  MdShardView *views;     /* in order of offset, the newest last */
  size_t n_views;
  uint64_t read_offset; /* up to which the log has been read */
  MdShardGuard *guards; /* linked or registered, in no fixed order */
  size_t n_guards;
  size_t cap_guards;   /* also of scratch_times */
  MdShardLoss *losses; /* guards lost within the horizon */
  size_t n_losses;
  uint64_t *fences; /* incarnations to fence by an attach */
  size_t n_fences;
  int64_t cut_ms;           /* latest cut time, 0 none; see md_dispatch_serve */
  int64_t loss_cut_ms;      /* cut time that follows from the losses known at the takeover */
  uint64_t *missing_guards; /* guards whose records were not received before the takeover */
  size_t n_missing_guards;
  bool cut_by_takeover; /* records were missing; the cut counts from SERVE */
  bool pending_drop;
  bool pending_suspend;
  bool pending_serve;
  bool first_serve;      /* the pending SERVE is the first of this ownership */
  bool drop_fenced;      /* for the pending DROP */
  uint64_t drop_holder;  /* for the pending DROP */
  MdTime *scratch_times; /* one time per guard */
};

/* Views (shard-quorum.c) */
MdShardGuard *md_shard_find_guard (const MdShard *shard, uint64_t id);
bool md_shard_view_has (const MdShardView *view, uint64_t guard);
/* md_shard_newest_view: NULL before the first view. */
const MdShardView *md_shard_newest_view (const MdShard *shard);
/* md_shard_add_view: appends a view unless its guards are those of the newest one.
   Returns false when out of memory. */
bool md_shard_add_view (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset);
size_t md_shard_fence_quorum (size_t n);    /* two thirds of n guards, rounded up */
size_t md_shard_evidence_quorum (size_t n); /* the smallest number above a third of n guards */

/* md_shard_choose_views: looks for a set of attached guards that supports serving.
   Returns whether there is one, and activates the views in which it must hold. */
bool md_shard_choose_views (MdShard *shard, MdTime now);
/* md_shard_confirm_guards: confirms the guards that were attached before an instant
   at which a fence quorum was held. */
void md_shard_confirm_guards (MdShard *shard, MdTime now);
/* md_shard_serve_duration: how long an owner may serve after its evidence time;
   slightly less than fence_after, to allow for differences of clock rates. */
MdTime md_shard_serve_duration (const MdShard *shard);
/* md_shard_needs_new_incarnation: whether an owner that some guards have fenced can
   regain them with a new incarnation. */
bool md_shard_needs_new_incarnation (const MdShard *shard, MdTime now);
/* md_shard_must_yield: whether a candidate has to yield to another holder of
   guards, which is stored in *holder. */
bool md_shard_must_yield (const MdShard *shard, MdTime now, uint64_t *holder);
/* md_shard_evidence_time: the evidence time E (see shard.c) over all active views,
   MD_SHARD_NEVER without evidence. */
MdTime md_shard_evidence_time (MdShard *shard);
/* md_shard_carried_offset: the registration offset that an owner carries in heartbeats. */
uint64_t md_shard_carried_offset (const MdShard *shard);
/* md_shard_advance_views: activates the next view, and deactivates the oldest one
   once more than a third of its guards have acknowledged the offset of the next. */
void md_shard_advance_views (MdShard *shard);
/* md_shard_in_active_views: whether a guard is in every active view. */
bool md_shard_in_active_views (const MdShard *shard, uint64_t guard);

#endif
