/* entry-peers.c -- links between entries, which they have only while one of them needs it

   An entry under pressure dials up to MAX_DIALLED others. Both sides begin with a hello and tell
   their load every 100 ms, so that a link that is silent for longer is lost. An entry of a former
   version does not answer the hello; its address is left alone for RETRY_UNKNOWN.

   The directory has addresses only. The failure domain of an entry is known from its hello, so that
   a far entry without open requests gives way to one of which the domain is not known yet. Which of
   equals is dialled is chosen by rendezvous hashing: the entries under pressure spread over the
   others, and each stays with its own. */

#include "run-entry.h"

#include <xxhash.h>

#define MAX_DIALLED 4
#define DIAL_TIMEOUT (1 * MD_SECOND)     /* until the hello of a dialled entry */
#define RETRY_LOST (1 * MD_SECOND)       /* an entry whose link was lost */
#define RETRY_FAILED (5 * MD_SECOND)     /* an address that gave no answer */
#define RETRY_UNKNOWN (30 * MD_SECOND)   /* an entry that does not answer the hello */
#define IDLE_TIME (10 * MD_SECOND)       /* without pressure until the links are closed */
#define EXPLORE_TIME (1 * MD_SECOND)     /* that a far entry is kept at least */
#define MAX_LAG_US ((uint64_t)MD_SECOND) /* larger ones are taken for this */

/* ------------------------------------------------------------------ */
/* Addresses                                                          */

static uint64_t
hash_address (const char *address)
{
  uint64_t hash = XXH64 (address, strlen (address), 0);

  return hash > 0 ? hash : 1;
}

/* Open addressing; an address that finds no place shares that of its hash. */
static MdPeerAddress *
address_state (MdRunEntry *entry, const char *address)
{
  uint64_t hash = hash_address (address);
  MdPeerAddress *state = NULL;

  for (unsigned i = 0; i < MD_MAX_ENTRIES; i++)
    {
      state = &entry->handover.addresses[(hash + i) % MD_MAX_ENTRIES];
      if (state->hash == 0 || state->hash == hash)
        break;
    }
  if (state->hash != hash)
    *state = (MdPeerAddress){ .hash = hash };
  return state;
}

static bool
is_own_address (const MdSettings *settings, const char *address)
{
  return strcmp (address, settings->internal_address) == 0
         || strcmp (address, settings->advertised_address) == 0;
}

static bool
is_dialled (const MdRunEntry *entry, const char *address)
{
  for (const MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    if (peer->dialled && strcmp (peer->address, address) == 0)
      return true;
  return false;
}

/* Near ones first, then those of which that is not known. */
static int
address_class (const MdPeerAddress *state)
{
  if (!state->tried)
    return 1;
  return state->near ? 2 : 0;
}

/* The address to be dialled next, NULL if there is none. Sets *best to its class. */
static const char *
next_address (MdRunEntry *entry, int *best)
{
  const MdSettings *settings = &entry->daemon.settings;
  uint64_t seed = XXH64 (settings->name, strlen (settings->name), 0);
  const char *found = NULL;
  uint64_t score = 0;

  *best = -1;
  for (unsigned i = 0; i < entry->directory.n; i++)
    {
      const char *address = entry->directory.address[i];
      const MdPeerAddress *state = address_state (entry, address);
      uint64_t own = XXH64 (address, strlen (address), seed);
      int class = address_class (state);

      if (class < *best || (class == *best && own <= score) || entry->now < state->retry_at
          || is_own_address (settings, address) || is_dialled (entry, address))
        continue;
      found = address;
      *best = class;
      score = own;
    }
  return found;
}

/* ------------------------------------------------------------------ */
/* Peers                                                              */

static MdEntryPeer *
find_peer (const MdRunEntry *entry, const MdLink *link)
{
  for (MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    if (peer->link == link)
      return peer;
  return NULL;
}

static MdEntryPeer *
new_peer (MdRunEntry *entry, MdLink *link)
{
  MdEntryPeer *peer = entry->handover.n_peers < MD_MAX_PEERS ? calloc (1, sizeof *peer) : NULL;

  if (peer == NULL)
    return NULL;
  peer->entry = entry;
  peer->link = link;
  peer->since = entry->now;
  peer->next = entry->handover.peers;
  entry->handover.peers = peer;
  entry->handover.n_peers++;
  return peer;
}

/* Ends what was handed over in either direction, and frees the peer. Its link is closed before. */
static void
remove_peer (MdRunEntry *entry, MdEntryPeer *peer, const char *reason)
{
  MdEntryPeer **place = &entry->handover.peers;

  while (*place != peer)
    place = &(*place)->next;
  *place = peer->next;
  entry->handover.n_peers--;
  if (peer->known)
    md_log (MD_LOG_INFO, "peer-down", "peer=%s reason=\"%s\"", peer->name, reason);
  md_entry_handover_lost (entry, peer, reason);
  md_entry_taken_lost (entry, peer);
  free (peer);
}

static void
close_peer (MdRunEntry *entry, MdEntryPeer *peer, const char *reason, MdTime retry)
{
  if (peer->dialled)
    address_state (entry, peer->address)->retry_at = entry->now + retry;
  md_link_close (peer->link);
  remove_peer (entry, peer, reason);
}

void
md_entry_free_peers (MdRunEntry *entry)
{
  for (MdEntryPeer *peer = entry->handover.peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      free (peer);
    }
  entry->handover.peers = NULL;
  entry->handover.n_peers = 0;
}

/* ------------------------------------------------------------------ */
/* Messages                                                           */

static void
send_hello (const MdRunEntry *entry, MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__PeerHello hello = MD__PEER_HELLO__INIT;

  hello.name = (char *)entry->daemon.settings.name;
  hello.incarnation = entry->incarnation;
  hello.failure_domain = (char *)entry->daemon.settings.failure_domain;
  hello.share = (uint32_t)(entry->handover.share * 1000);
  frame.msg_case = MD__FRAME__MSG_PEER_HELLO;
  frame.peer_hello = &hello;
  md_link_send (link, &frame);
}

static void
send_load (const MdRunEntry *entry, MdLink *link)
{
  const MdShortage *pressure = &entry->load.pressure;
  Md__Frame frame = MD__FRAME__INIT;
  Md__PeerLoad load = MD__PEER_LOAD__INIT;

  load.use_permille = pressure->use_known ? (uint32_t)(pressure->use * 1000) : 0;
  load.lag_us = (uint64_t)md_lag_now (&entry->load.lag, entry->now);
  load.jobs = entry->n_jobs;
  load.takes = !entry->leaving && !pressure->active && atomic_load (&entry->ready);
  frame.msg_case = MD__FRAME__MSG_PEER_LOAD;
  frame.peer_load = &load;
  md_link_send (link, &frame);
}

static void
on_hello (MdRunEntry *entry, MdLink *link, const Md__PeerHello *hello)
{
  MdEntryPeer *peer = find_peer (entry, link);

  if (peer == NULL && entry->daemon.settings.handover)
    peer = new_peer (entry, link);
  if (peer == NULL)
    {
      md_link_disconnect (link);
      return;
    }
  if (hello->incarnation == entry->incarnation || peer->known)
    {
      /* The own entry by another address, or a second hello. */
      close_peer (entry, peer, "hello refused", INT32_MAX);
      return;
    }
  peer->known = true;
  peer->since = entry->now;
  peer->incarnation = hello->incarnation;
  md_log_quote (md_str (hello->name), peer->name, sizeof peer->name);
  peer->load.near = strcmp (hello->failure_domain, entry->daemon.settings.failure_domain) == 0;
  peer->load.share = hello->share;
  md_link_set_max_silence (link, MD_PEER_SILENCE);
  if (peer->dialled)
    {
      MdPeerAddress *state = address_state (entry, peer->address);

      state->tried = true;
      state->near = peer->load.near;
    }
  else
    send_hello (entry, link);
  send_load (entry, link);
  md_log (MD_LOG_INFO, "peer-up", "peer=%s incarnation=%llx near=%d share_millicores=%u dialled=%d",
          peer->name, (unsigned long long)peer->incarnation, peer->load.near, peer->load.share,
          peer->dialled);
}

static void
on_load (const MdRunEntry *entry, MdEntryPeer *peer, const Md__PeerLoad *load)
{
  peer->load.takes = load->takes;
  peer->load.use = load->use_permille;
  peer->load.lag = (MdTime)(load->lag_us < MAX_LAG_US ? load->lag_us : MAX_LAG_US);
  peer->load.reported_at = entry->now;
  peer->load.sent = 0;
}

void
md_entry_peer_up (MdRunEntry *entry, MdLink *link)
{
  if (find_peer (entry, link) != NULL)
    send_hello (entry, link);
}

bool
md_entry_peer_frame (MdRunEntry *entry, MdLink *link, const Md__Frame *frame)
{
  MdEntryPeer *peer;

  if (frame->msg_case == MD__FRAME__MSG_PEER_HELLO)
    {
      on_hello (entry, link, frame->peer_hello);
      return true;
    }
  peer = find_peer (entry, link);
  if (peer == NULL || !peer->known)
    return false;
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_PEER_LOAD:
      on_load (entry, peer, frame->peer_load);
      return true;
    case MD__FRAME__MSG_JOB_HANDOVER:
      md_entry_take (entry, peer, frame->job_handover);
      return true;
    case MD__FRAME__MSG_JOB_HANDOVER_END:
      md_entry_handover_ended (entry, peer, frame->job_handover_end);
      return true;
    case MD__FRAME__MSG_JOB_HANDOVER_CANCEL:
      md_entry_take_cancel (entry, peer, frame->job_handover_cancel->id);
      return true;
    default:
      return false;
    }
}

bool
md_entry_peer_down (MdRunEntry *entry, MdLink *link, const MdError *error)
{
  MdEntryPeer *peer = find_peer (entry, link);

  if (peer == NULL)
    return false;
  close_peer (entry, peer, error->detail, peer->known ? RETRY_LOST : RETRY_UNKNOWN);
  return true;
}

/* ------------------------------------------------------------------ */
/* Poll                                                               */

static void
dial (MdRunEntry *entry, const char *address)
{
  MdLink *link = md_links_dial (entry->daemon.links, md_str (address), NULL);
  MdEntryPeer *peer = link != NULL ? new_peer (entry, link) : NULL;

  if (peer == NULL)
    {
      if (link != NULL)
        md_link_close (link);
      return;
    }
  peer->dialled = true;
  md_str_copy (peer->address, sizeof peer->address, md_str (address));
}

/* A far peer that can be closed for one that is perhaps near, NULL if there is none. */
static MdEntryPeer *
find_replaceable (const MdRunEntry *entry)
{
  for (MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    if (peer->dialled && peer->known && !peer->load.near && peer->open == NULL
        && peer->taken == NULL && entry->now >= peer->since + EXPLORE_TIME)
      return peer;
  return NULL;
}

static void
dial_further (MdRunEntry *entry)
{
  unsigned dialled = 0;
  int class;

  for (const MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    dialled += peer->dialled;
  for (; dialled < MAX_DIALLED; dialled++)
    {
      const char *address = next_address (entry, &class);

      if (address == NULL)
        return;
      dial (entry, address);
    }
  if (next_address (entry, &class) != NULL && class > 0)
    {
      MdEntryPeer *peer = find_replaceable (entry);

      if (peer != NULL)
        close_peer (entry, peer, "another entry may be nearer", 0);
    }
}

static void
close_unused (MdRunEntry *entry)
{
  bool idle = entry->now >= entry->handover.pressed_at + IDLE_TIME;

  for (MdEntryPeer *peer = entry->handover.peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      if (!peer->dialled)
        continue;
      if (!peer->known && entry->now >= peer->since + DIAL_TIMEOUT)
        close_peer (entry, peer, "no answer",
                    md_link_is_up (peer->link) ? RETRY_UNKNOWN : RETRY_FAILED);
      else if (idle && peer->open == NULL && peer->taken == NULL)
        close_peer (entry, peer, "not needed", 0);
    }
}

MdTime
md_entry_peers_poll (MdRunEntry *entry)
{
  MdEntryHandover *handover = &entry->handover;

  if (!entry->daemon.settings.handover)
    return INT64_MAX;
  if (entry->now < handover->due)
    return handover->due;
  handover->due = entry->now + MD_HANDOVER_LOAD_INTERVAL;
  md_entry_pressure_sample (entry);
  close_unused (entry);
  if (entry->load.pressure.active && !entry->leaving)
    dial_further (entry);
  for (const MdEntryPeer *peer = handover->peers; peer != NULL; peer = peer->next)
    if (peer->known)
      send_load (entry, peer->link);
  md_gauge (MD_M_PEERS, handover->n_peers);
  return handover->due;
}
