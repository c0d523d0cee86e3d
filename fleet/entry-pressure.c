/* entry-pressure.c -- whether an entry is short of processor time, for the handover of requests

   The lag comes from each pass of the engine (entry-load.c). The use is the processor time of all
   threads over intervals of 100 ms, relative to the share that the setting cpu_share or the control
   group of the host states. Without either, the lag alone decides. */

#include "host-limits.h"
#include "run-entry.h"

#include <time.h>

/* A longer interval is a pause of the process; its mean says nothing of the present. */
#define MAX_INTERVAL (3 * MD_HANDOVER_LOAD_INTERVAL)

static MdTime
processor_time (void)
{
  struct timespec time;

  if (clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time) != 0)
    return 0;
  return (MdTime)time.tv_sec * MD_SECOND + time.tv_nsec / 1000;
}

static double
own_share (const MdSettings *settings)
{
  return settings->cpu_share > 0 ? settings->cpu_share : md_host_processor_share ();
}

/* A process with a small share cannot run for most of the time. Where it seems to, the host does
   not account for its processor time, and the use is not known. A smaller time may well exceed a
   share that is set too low. */
#define MAX_USE 1.5
#define MOST_OF_THE_TIME 0.5

static bool
is_accounted (MdTime processor, MdTime interval, double share)
{
  return (double)processor <= MAX_USE * share * (double)interval
         || (double)processor <= MOST_OF_THE_TIME * (double)interval;
}

static void
sample_use (MdRunEntry *entry)
{
  MdEntryHandover *handover = &entry->handover;
  MdTime processor = processor_time ();
  MdTime interval = entry->now - handover->sampled_at;

  if (handover->sampled_at == 0)
    handover->share = own_share (&entry->daemon.settings);
  else if (handover->share > 0 && interval > 0 && interval <= MAX_INTERVAL
           && is_accounted (processor - handover->processor, interval, handover->share))
    md_shortage_add_use (&entry->load.pressure,
                         (double)(processor - handover->processor)
                             / ((double)interval * handover->share),
                         entry->now);
  handover->processor = processor;
  handover->sampled_at = entry->now;
}

static bool
has_taker (const MdRunEntry *entry)
{
  for (const MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    if (md_handover_peer_free (&peer->load, entry->now) > 0)
      return true;
  return false;
}

void
md_entry_pressure_sample (MdRunEntry *entry)
{
  MdEntryHandover *handover = &entry->handover;
  MdShortage *pressure = &entry->load.pressure;
  bool was_active = handover->pressed_at > 0 && handover->pressed_at == handover->sampled_at;
  MdTime lag = md_lag_now (&entry->load.lag, entry->now);
  double offer = 0;

  sample_use (entry);
  if (pressure->active)
    handover->pressed_at = entry->now;
  if (pressure->active && has_taker (entry))
    offer = md_shortage_offer (pressure, lag);
  atomic_store (&handover->offer, (int)(offer * 1000));
  md_gauge (MD_M_SHORTAGE, pressure->active);
  md_gauge (MD_M_HANDOVER_OFFER, (int64_t)(offer * 1000));
  if (pressure->active != was_active)
    md_log (MD_LOG_INFO, "pressure", "active=%d lag_ms=%lld use_permille=%d share_millicores=%d",
            pressure->active, (long long)(lag / MD_MS),
            pressure->use_known ? (int)(pressure->use * 1000) : -1, (int)(handover->share * 1000));
}

/* Spreads the offers evenly; the number of the request decides, so that no random number is needed
   for each. */
bool
md_entry_offers (MdRunEntry *entry)
{
  static atomic_uint requests;
  int offer = atomic_load_explicit (&entry->handover.offer, memory_order_relaxed);

  /* 619 has no factor in common with 1,000 and is near its golden section. */
  return offer > 0 && (int)(atomic_fetch_add (&requests, 619u) % 1000) < offer;
}
