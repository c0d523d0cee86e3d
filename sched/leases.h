/* leases.h -- how long runs outlive the loss of an entry or a guard */

#ifndef MD_LEASES_H
#define MD_LEASES_H

#include "md-base.h"

/* A worker's clock may be 2% slow. */
#define MD_WORKER_CLOCK_RATE (102.0 / 100.0)

/* Entries and guards must agree on these. */
typedef struct
{
  MdTime entry;  /* a guard ends the runs of an entry when the latest of its reports that
                        the entry has echoed is older than this */
  MdTime worker; /* a guard extends the lease of all runs at its worker to this long ahead */
  MdTime
      heartbeat_interval; /* longest time between two messages of an entry to a guard that has runs
                        of it, and between two reports of a guard to an entry */
  MdTime ended_after;     /* a run at a guard that is not heard any more has ended when this has
                        passed since the entry received the last report that it echoed */
} MdLeases;

/* md_leases_set: the longest leases, up to the usual ones, with which a lost run has ended
   before its caller repeats the job after resend_after; stop_timeout is the time that a
   stop takes at a worker. MD_E_LIMIT: resend_after is too short for any, the shortest are
   set. */
int md_leases_set (MdLeases *leases, MdTime resend_after, MdTime stop_timeout);

#endif
