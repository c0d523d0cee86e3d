/* shard-private.h -- state of a shard, shared by shard.c and shard-quorum.c */

#ifndef MD_SHARD_PRIVATE_H
#define MD_SHARD_PRIVATE_H

#include "md-base.h"

enum
{
  MD_SHARD_MAX_NONCES = 16, /* nonces kept per guard; they span one guard lease */
  MD_SHARD_MAX_VIEWS = 64,  /* sets of registered guards kept */
};

/* No such time; earlier than every other. */
#define MD_SHARD_NEVER INT64_MIN

/* The guards registered at a log offset. */
typedef struct
{
  uint64_t offset;  /* of the registration that made this set */
  uint64_t *guards; /* incarnations in ascending order, owned */
  size_t n;         /* guards */
  bool active;      /* counts for the quorum and the lease */
} MdShardView;

typedef struct
{
  MdTime nonce;    /* on the guard's clock */
  MdTime received; /* on ours */
} MdShardNonce;

typedef struct
{
  uint64_t id;            /* incarnation */
  bool link_up;           /* connected */
  bool attached;          /* accepts our starts, as far as we know */
  bool recovered;         /* its records are known here */
  bool confirmed;         /* counts as evidence; see shard-quorum.c */
  bool fenced;            /* has fenced our incarnation */
  bool use_emitted;       /* USE was emitted */
  bool holder_alive;      /* hears another holder */
  uint64_t holder;        /* that holder */
  MdTime attached_at;     /* when the reply to the attach arrived */
  MdTime retry_at;        /* no attach before this time */
  MdTime retry_delay;     /* back-off, 0 none yet */
  MdTime unregistered_at; /* first missing from the newest view, MD_SHARD_NEVER when in it */
  MdTime acked_sent_at;   /* latest acknowledged heartbeat, time sent */
  uint64_t acked_offset;  /* highest offset it has acknowledged */
  uint64_t known_offset;  /* offset it reported when attached, 0 none */
  MdShardNonce nonces[MD_SHARD_MAX_NONCES]; /* oldest first */
  size_t n_nonces;                          /* in use */
  MdTime echoed_nonce;                      /* latest nonce returned */
} MdShardGuard;

typedef struct
{
  uint64_t guard;  /* incarnation */
  int64_t lost_ms; /* by the log's clock */
} MdShardLoss;

struct MdShard
{
  MdTuning tuning;           /* times */
  uint64_t incarnation;      /* our incarnation */
  uint64_t next_incarnation; /* for the next acquire */
  bool incarnation_used;     /* self may hold guards from an earlier ownership */
  MdShardState state;        /* as reported */
  MdTime last_attach_at;     /* ACQUIRING: when the latest guard was attached */
  MdTime reachable_since;    /* SUSPENDED: a quorum of the newest view is linked since */
  MdShardView *views;        /* by offset; the last one is the newest */
  size_t n_views;            /* in use */
  uint64_t read_offset;      /* log read up to here */
  MdShardGuard *guards;      /* linked or registered */
  size_t n_guards;           /* in use */
  size_t cap_guards;         /* allocated */
  MdShardLoss *losses;       /* guards lost within the horizon */
  size_t n_losses;           /* in use */
  uint64_t *fences;          /* incarnations to fence */
  size_t n_fences;           /* in use */
  int64_t cut_ms;            /* latest cut */
  int64_t loss_cut_ms;       /* of the losses known at the takeover */
  uint64_t *missing_guards;  /* guards without records at the takeover, owned */
  size_t n_missing_guards;   /* in use */
  bool cut_by_takeover;      /* a guard was not reached; the cut counts from SERVE */
  bool pending_drop;         /* DROP is pending */
  bool pending_suspend;      /* SUSPEND is pending */
  bool pending_serve;        /* SERVE is pending */
  bool first_serve;          /* and is the first of this ownership */
  bool drop_fenced;          /* for DROP */
  uint64_t drop_holder;      /* for DROP */
  MdTime *scratch_times;     /* room for one time per guard */
};

/* Views (shard-quorum.c) */
MdShardGuard *md_shard_find_guard (const MdShard *shard, uint64_t id);
bool md_shard_view_has (const MdShardView *view, uint64_t guard);
const MdShardView *md_shard_newest_view (const MdShard *shard);
bool md_shard_add_view (MdShard *shard, const uint64_t *guards, size_t n, uint64_t offset);
size_t md_shard_fence_quorum (size_t n);    /* fence quorum */
size_t md_shard_evidence_quorum (size_t n); /* evidence of the incumbent */

/* md_shard_choose_views: a set of attached guards that supports serving; marks the
   views that have to count as active and returns true when it is complete. */
bool md_shard_choose_views (MdShard *shard, MdTime now);
/* md_shard_confirm_guards: confirm guards that were attached before an instant at which
   a fence quorum was held. */
void md_shard_confirm_guards (MdShard *shard, MdTime now);
/* md_shard_serve_duration: how long an owner serves after E. */
MdTime md_shard_serve_duration (const MdShard *shard);
/* md_shard_needs_new_incarnation: an owner that some guards have fenced gains by a new incarnation. */
bool md_shard_needs_new_incarnation (const MdShard *shard, MdTime now);
/* md_shard_must_yield: a candidate has to yield to *holder. */
bool md_shard_must_yield (const MdShard *shard, MdTime now, uint64_t *holder);
/* md_shard_evidence_time: E of the guard lease, MD_SHARD_NEVER without evidence. */
MdTime md_shard_evidence_time (MdShard *shard);
/* md_shard_carried_offset: the offset an owner carries in heartbeats. */
uint64_t md_shard_carried_offset (const MdShard *shard);
/* md_shard_advance_views: take up the next view and retire the oldest. */
void md_shard_advance_views (MdShard *shard);
/* md_shard_in_active_views: the guard is in every active view. */
bool md_shard_in_active_views (const MdShard *shard, uint64_t guard);

#endif
