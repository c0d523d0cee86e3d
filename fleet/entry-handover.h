/* entry-handover.h -- entries that hand requests over to one another

   entry-pressure.c measures whether this entry is short of processor time, entry-peers.c has the
   links to other entries, entry-handover.c hands requests over and passes their answers on (the
   hander), entry-taker.c serves those of other entries (the taker). All of them run in the engine
   thread, except md_entry_offers. The decisions are made by sched/handover.c; see
   docs/design/handover.md. */

#ifndef MD_ENTRY_HANDOVER_H
#define MD_ENTRY_HANDOVER_H

#include "daemon.h"
#include "handover.h"
#include "routes.h"

#include "wire.pb-c.h"

#include <stdatomic.h>

typedef struct MdRunEntry MdRunEntry;
typedef struct MdCallerRequest MdCallerRequest;
typedef struct MdOpenHandover MdOpenHandover; /* entry-handover.c */
typedef struct MdTakenRequest MdTakenRequest; /* entry-taker.c */
typedef struct MdEntryPeer MdEntryPeer;

/* Another entry that this one is connected to, or tries to be. */
struct MdEntryPeer
{
  MdEntryPeer *next;              /* in MdEntryHandover.peers */
  MdLink *link;                   /* borrowed */
  MdRunEntry *entry;              /* this entry, borrowed */
  bool dialled;                   /* by this entry */
  bool known;                     /* its hello has been received */
  char address[MD_ADDRESS_BYTES]; /* that was dialled, empty: none */
  char name[MD_NAME_BYTES];       /* from its hello */
  uint64_t incarnation;           /* from its hello */
  MdTime since;                   /* when it was dialled or became known */
  MdPeerLoad load;                /* as reported last */
  MdOpenHandover *open;           /* requests that were handed over to it */
  MdTakenRequest *taken;          /* requests that it handed over */
};

/* What is remembered of an address that was dialled. */
typedef struct
{
  uint64_t hash;   /* of the address, 0: not used */
  MdTime retry_at; /* not dialled before */
  bool tried;      /* it is known whether it is near */
  bool near;       /* the entry is in the own failure domain */
} MdPeerAddress;

#define MD_MAX_PEERS 64 /* with those that dialled this entry */
#define MD_HANDOVER_BUCKETS 256u

typedef struct
{
  MdEntryPeer *peers;                          /* owned */
  uint32_t n_peers;                            /* elements of peers */
  MdPeerAddress addresses[MD_MAX_ENTRIES];     /* by hash, see entry-peers.c */
  MdOpenHandover *by_job[MD_HANDOVER_BUCKETS]; /* requests handed over, by a hash of the job */
  MdOpenHandover *by_id[MD_HANDOVER_BUCKETS];  /* the same and queries, by their number */
  uint64_t last_id;                            /* number of the last handover */
  MdTime due;                                  /* next report to the peers */
  MdTime pressed_at; /* when the entry was last under pressure, 0: never */
  double share;      /* processor share in cores, 0: not known */
  MdTime processor;  /* processor time at the last sample */
  MdTime sampled_at; /* when that was, 0: never */
  atomic_int offer;  /* requests to offer to peers, per mille */
} MdEntryHandover;

/* entry-pressure.c */
/* md_entry_pressure_sample: take a sample of the processor use, and set which share of the requests
   is offered. To be called every MD_HANDOVER_LOAD_INTERVAL. */
void md_entry_pressure_sample (MdRunEntry *entry);
/* md_entry_offers: whether the next request is to be offered to the engine for a handover, before
   its body is parsed. Can be called from any thread. */
bool md_entry_offers (MdRunEntry *entry);

/* entry-peers.c */
#define MD_PEER_SILENCE (350 * MD_MS) /* then a link counts as lost */
/* md_entry_peer_up, md_entry_peer_frame, md_entry_peer_down: events of links. md_entry_peer_frame
   and md_entry_peer_down return false if the frame or the link is not one of a peer. */
void md_entry_peer_up (MdRunEntry *entry, MdLink *link);
bool md_entry_peer_frame (MdRunEntry *entry, MdLink *link, const Md__Frame *frame);
bool md_entry_peer_down (MdRunEntry *entry, MdLink *link, const MdError *error);
/* md_entry_peers_poll: tell the peers the load, and connect to entries while there is pressure.
   Returns when it must be called again. */
MdTime md_entry_peers_poll (MdRunEntry *entry);
/* md_entry_free_peers: forget all peers, without ending what was handed over. */
void md_entry_free_peers (MdRunEntry *entry);

/* entry-handover.c */
/* md_entry_hand_over: attach a SUBMIT to the handover of its job that is open, hand it over, or
   decline it if it was only offered. Returns false if it is to be served here. */
bool md_entry_hand_over (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_is_handed_over: whether a handover of the job is open. */
bool md_entry_is_handed_over (MdRunEntry *entry, const char *job, const MdRoute *route);
/* md_entry_forward_query: pass a STATE or CANCEL on if its job was handed over; false if not. */
bool md_entry_forward_query (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_handover_detach: answer a request with an open handover whose caller has left, and
   cancel the handover when that was the last one. */
void md_entry_handover_detach (MdRunEntry *entry, MdCallerRequest *caller_request);
/* md_entry_handover_ended: pass the answer of a taker on. */
void md_entry_handover_ended (MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandoverEnd *end);
/* md_entry_handover_lost: answer all that was handed over to a peer: it may have run. */
void md_entry_handover_lost (MdRunEntry *entry, MdEntryPeer *peer, const char *reason);
/* md_entry_handover_fail_all: the same for all peers, when the process ends. */
void md_entry_handover_fail_all (MdRunEntry *entry);

/* entry-taker.c */
/* md_entry_take: serve a request of another entry, or refuse it. */
void md_entry_take (MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandover *handover);
/* md_entry_take_cancel: the caller of a request has left its hander. */
void md_entry_take_cancel (MdRunEntry *entry, MdEntryPeer *peer, uint64_t id);
/* md_entry_taken_lost: the link of the hander is lost; its requests have no callers any more. */
void md_entry_taken_lost (MdRunEntry *entry, MdEntryPeer *peer);
/* md_entry_taken_answered: send the answer of a request to its hander and free it. state: as for
   md_entry_answer_request. */
void md_entry_taken_answered (MdCallerRequest *caller_request, const char *state);
/* md_entry_has_hander_left: whether the link of the hander has ended or is silent, looking at its
   socket. */
bool md_entry_has_hander_left (const MdTakenRequest *taken);

#endif
