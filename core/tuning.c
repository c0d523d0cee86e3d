/* tuning.c -- default values of the policy constants

   All constants with their reasons in one table. Durations are in microseconds; for
   other units see MdTuning. */

#include "mulberrydrift.h"

static const MdTuning defaults = {
  /* Three heartbeats at the longest interval fit into guard_lease. The budget is
     about half of the 15 KB/s that a node may use for control messages. */
  .heartbeat_min = 500 * MD_MS,
  .heartbeat_max = 1 * MD_SECOND,
  .heartbeat_idle = 5 * MD_SECOND,
  .heartbeat_budget = 8000,
  .heartbeat_bytes = 60,
  .missed_heartbeats = 3,

  /* An owner must be silent for three of the shortest heartbeat intervals before
     another entry may attach its guards. A lease is still valid after two lost
     echoes. */
  .fence_after = 1500 * MD_MS,
  .guard_lease = 3 * MD_SECOND,
  .start_max_age = 60 * MD_SECOND,

  /* Callers that give up resubmit within minutes; 15 minutes also cover a reboot. */
  .horizon = 900 * MD_SECOND,
  .answer_retention = 30 * MD_SECOND,
  .clock_error = 2 * MD_SECOND,
  .removal_delay = 900 * MD_SECOND,

  .reconnect_min = 50 * MD_MS,
  .reconnect_max = 5 * MD_SECOND,

  /* Retries add at most 10% to the load. */
  .retry_deposit = 0.1,
  .retry_burst = 10.0,

  /* At 90% load this keeps the worst large job below 5 times its ideal response time
     while the mean response time stays low. */
  .max_slowdown = 3.0,
  /* With a weight of 0.1, errors of declared times change the order of guards whose
     speeds differ by a factor of 2. The lower weight reduces response times by 6% at
     50% load. */
  .speed_gain = 0.02,
  /* A drifting correction changes the order of jobs that were submitted at different
     times; with a weight below 0.01 this has no measurable effect. */
  .correction_gain = 0.005,

  /* At least two thirds of the guards stay in use during a general failure. */
  .eject_max_share = 1.0 / 3.0,
  .eject_failures = 5,
  .probation_min = 1 * MD_SECOND,
  .probation_max = 60 * MD_SECOND,

  .max_tasks = 890,
  .max_queued_tasks = 100000,
  .ledger_bytes = 64u << 20,
  .ledger_records = 200000,
  .watch_changes = 4096,

  /* A snapshot is written when the age of the oldest record needed reaches half of
     the retention. For logs that bound the number of records, the second limit is
     one day of planned changes. */
  .log_retention = 86400 * MD_SECOND,
  .snapshot_records = 1000,
};

void
md_tuning_default (MdTuning *tuning)
{
  *tuning = defaults;
}
