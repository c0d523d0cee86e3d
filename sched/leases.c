/* leases.c -- lease times: how long runs continue after the loss of an entry or a guard

   A caller that gets no answer repeats its job at another entry. The lost run must have ended
   by then: first the entry's lease at the guard expires, then the worker's lease, which the
   worker measures with a clock that may be slow, then the worker stops the run. Longer leases
   survive longer pauses and more lost messages, so they are as long as the repetition of the
   job allows, up to defaults that cover the pauses worth surviving. */

#include "leases.h"

#define ENTRY_LEASE (500 * MD_MS)  /* default: five heartbeats */
#define WORKER_LEASE (650 * MD_MS) /* default: four holds that wait 140 ms, and one in transit */
#define HEARTBEATS_PER_LEASE 5     /* of an entry */
/* An entry that is late by its lease has lost its runs. If its links were closed as well, it would
   have to accept all of its guards again when it has least time for that. */
#define SILENCE_LEASES 2
#define RESEND_MARGIN (50 * MD_MS) /* for processes that are scheduled late */
#define MIN_SCALE 0.3 /* of the defaults; below, a heartbeat would be due every 30 ms */

static MdTime
time_until_gone (const MdLeases *leases, MdTime stop_timeout)
{
  return (MdTime)((double)(leases->entry + leases->worker) * MD_WORKER_CLOCK_RATE) + stop_timeout;
}

int
md_leases_set (MdLeases *leases, MdTime resend_after, MdTime stop_timeout)
{
  double available = (double)(resend_after - RESEND_MARGIN - stop_timeout) / MD_WORKER_CLOCK_RATE;
  double scale = available / (double)(ENTRY_LEASE + WORKER_LEASE);
  int rc = scale < MIN_SCALE ? MD_E_LIMIT : MD_OK;

  if (scale > 1)
    scale = 1;
  if (scale < MIN_SCALE)
    scale = MIN_SCALE;
  leases->entry = (MdTime)((double)ENTRY_LEASE * scale);
  leases->worker = (MdTime)((double)WORKER_LEASE * scale);
  leases->heartbeat_interval = leases->entry / HEARTBEATS_PER_LEASE;
  leases->entry_silence = leases->entry * SILENCE_LEASES;
  leases->ended_after = time_until_gone (leases, stop_timeout);
  return rc;
}

MdTime
md_leases_limit (const MdLeases *leases, MdTime had_to_end_at)
{
  return had_to_end_at + leases->worker;
}

/* Load pattern: an entry of a job of some hundred tasks is lost, and its worker has runs of other
   entries. Stops that are merely late leave those the rest of their lease. */
MdTime
md_leases_grant (const MdLeases *leases, MdTime now, MdTime limit)
{
  return now + leases->worker < limit ? now + leases->worker : limit;
}
