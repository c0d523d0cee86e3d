/* handover.h -- whether an entry serves a request itself or hands it over to another entry */

#ifndef MD_HANDOVER_H
#define MD_HANDOVER_H

#include "md-base.h"

#define MD_HANDOVER_LOAD_INTERVAL (100 * MD_MS) /* between two reports of an entry to its peers */

/* Whether an entry is short of processor time. All zero: it is not, and its use is unknown. */
typedef struct
{
  MdTime late_since; /* samples of the lag have been too high since then, 0: never */
  MdTime late_at;    /* time of the last of them, 0: none */
  MdTime busy_at;    /* when the lag or the use was last too high to end the pressure */
  bool use_known;    /* a use has been added */
  double use;        /* processor time used, relative to the share; smoothed */
  bool active;       /* requests may be handed over */
} MdShortage;

/* md_shortage_add_lag: add how late the engine did something. */
void md_shortage_add_lag (MdShortage *pressure, MdTime sample, MdTime now);
/* md_shortage_add_use: add the processor time that was used, relative to the share, over an
   interval of about MD_HANDOVER_LOAD_INTERVAL. */
void md_shortage_add_use (MdShortage *pressure, double use, MdTime now);
/* md_shortage_offer: which share of the requests to hand over, between 0 and 1. lag: the lag at
   present. */
double md_shortage_offer (const MdShortage *pressure, MdTime lag);

/* What an entry has reported about itself. */
typedef struct
{
  bool takes;         /* connected, and has reported that it takes requests */
  bool near;          /* in the failure domain of this entry */
  uint32_t share;     /* processor share in thousandths of a core, 0: unknown */
  uint32_t use;       /* of the share, in thousandths */
  MdTime lag;         /* of its engine */
  MdTime reported_at; /* when the report was received, 0: none */
  uint32_t sent;      /* requests handed over to it since then */
} MdPeerLoad;

/* What is known of a request and of the entry that it arrived at. */
typedef struct
{
  const MdShortage *pressure; /* of this entry */
  bool handed_over;           /* another entry has handed the request over to this one */
  bool overloaded;            /* this entry rejects all jobs, md_admit_rejects_all */
} MdHandoverRequest;

typedef enum
{
  MD_HANDOVER_SERVE,  /* serve it here */
  MD_HANDOVER_TO,     /* hand it over to the peer */
  MD_HANDOVER_REJECT, /* neither this entry nor a peer can serve it */
} MdHandoverKind;

typedef struct
{
  MdHandoverKind kind;
  size_t peer;   /* TO: index of the peer */
  double free;   /* TO: its free processor time, in thousandths of a core */
  MdTime age;    /* TO: of its report */
  size_t usable; /* peers that can take a request */
} MdHandover;

/* md_handover_peer_free: the processor time that a peer has for requests of others, in thousandths
   of a core; 0 if it takes none at present. */
double md_handover_peer_free (const MdPeerLoad *peer, MdTime now);

/* md_handover_decide: decide about a request that would be handed over according to
   md_shortage_offer. random: 64 random bits. */
MdHandover md_handover_decide (const MdHandoverRequest *request, const MdPeerLoad *peers, size_t n,
                               uint64_t random, MdTime now);

#endif
