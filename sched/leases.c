/* leases.c -- how long runs outlive the loss of an entry or a guard

   A caller that gets no answer repeats its job at another entry. The run that was lost must
   have ended by then: the entry's lease at the guard runs out, then the worker's lease,
   which the worker measures with a clock that may be slow, then the stop. Longer leases
   survive longer pauses and losses of messages, so they are as long as the repeated job
   allows and no longer than pauses that are worth surviving. */

#include "leases.h"

#define ENTRY_LEASE (500 * MD_MS)  /* five heartbeats */
#define WORKER_LEASE (650 * MD_MS) /* four holds that wait 140 ms, and one on its way */
#define HEARTBEATS 5               /* in an entry's lease */
#define RESEND_MARGIN (50 * MD_MS) /* of processes that wake late */
#define SCALE_MIN 0.3              /* below, a heartbeat would be due every 30 ms */

static MdTime
time_until_gone (const MdLeases *leases, MdTime stop_timeout)
{
  return (MdTime)((double)(leases->entry + leases->worker) * MD_WORKER_CLOCK_RATE) + stop_timeout;
}

int
md_leases_set (MdLeases *leases, MdTime resend_after, MdTime stop_timeout)
{
  double room = (double)(resend_after - RESEND_MARGIN - stop_timeout) / MD_WORKER_CLOCK_RATE;
  double scale = room / (double)(ENTRY_LEASE + WORKER_LEASE);
  int rc = scale < SCALE_MIN ? MD_E_LIMIT : MD_OK;

  if (scale > 1)
    scale = 1;
  if (scale < SCALE_MIN)
    scale = SCALE_MIN;
  leases->entry = (MdTime)((double)ENTRY_LEASE * scale);
  leases->worker = (MdTime)((double)WORKER_LEASE * scale);
  leases->heartbeat_interval = leases->entry / HEARTBEATS;
  leases->ended_after = time_until_gone (leases, stop_timeout);
  return rc;
}
