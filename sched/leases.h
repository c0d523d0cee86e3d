/* leases.h -- lease times: how long runs continue after the loss of an entry or a guard */

#ifndef MD_LEASES_H
#define MD_LEASES_H

#include "md-base.h"

/* A worker's clock may be 2% slow, so that a lease lasts up to this factor longer. */
#define MD_WORKER_CLOCK_RATE (102.0 / 100.0)

/* Longest time between two sparse reports of a guard to an entry, and between the messages of the
   entry to it. None of the entry's runs is at such a guard, so that no lease depends on them. */
#define MD_SPARSE_INTERVAL MD_SECOND
#define MD_SPARSE_SILENCE (7 * MD_SPARSE_INTERVAL / 2) /* then the connection is given up */

/* Durations. Entries and guards must use the same ones. */
typedef struct
{
  /* A guard ends the runs of an entry when the last of its reports that the entry has
     echoed is older than this. */
  MdTime entry;
  /* A guard extends the lease of all runs at its worker to this time from now. */
  MdTime worker;
  /* Longest time between two messages of an entry to a guard that has runs of it, and
     between two reports of a guard to an entry. */
  MdTime heartbeat_interval;
  /* A guard closes the link to an entry that it has not heard for this long. No lease depends on
     it. */
  MdTime entry_silence;
  /* A run at a lost guard has certainly ended when this time has passed since the entry
     received the last report that it echoed. */
  MdTime ended_after;
} MdLeases;

/* md_leases_set: set the longest leases, up to a default, with which a lost run has ended
   before its caller repeats the job after resend_after. stop_timeout is the time that
   stopping a run takes at a worker. If resend_after is too short, returns MD_E_LIMIT and
   sets the shortest leases. */
int md_leases_set (MdLeases *leases, MdTime resend_after, MdTime stop_timeout);

/* Whoever lets a run end without waiting for its end counts on this: a run that has to end at a time
   T is gone at T + worker, by a clock that may be MD_WORKER_CLOCK_RATE slow, whether its stop is
   slow, lost or refused, and whether the guard's process is still the same. One lease covers all
   runs of a worker, so that it is not extended beyond that time until the run has ended. */

/* md_leases_limit: the end of the last lease that may be granted to a worker while a run that had to
   end at that time, or before, is still there. */
MdTime md_leases_limit (const MdLeases *leases, MdTime had_to_end_at);

/* md_leases_grant: the end of the lease to grant now, with the limits of all runs of the worker:
   the earliest of them, INT64_MAX if there is none. None may be granted if it is not after now. */
MdTime md_leases_grant (const MdLeases *leases, MdTime now, MdTime limit);

#endif
