/* tuning.c -- the constants of all policies

   One table, so that a reader finds every constant with its unit and reason in
   one place. Durations are in microseconds. */

#include "mulberrydrift.h"

static const MdTuning defaults = {
  /* Heartbeats: the cap keeps three of them inside guard_lease. The budget is
     about half of the 15 KB/s that a node may spend on control. */
  .heartbeat_min = 500 * MD_MS,
  .heartbeat_max = 1 * MD_SECOND,
  .heartbeat_idle = 5 * MD_SECOND,
  .heartbeat_budget = 8000,
  .heartbeat_bytes = 60,
  .missed_heartbeats = 3,

  /* A holder must be silent for three of the shortest heartbeats before its
     guards may be taken, and a lease outlives two lost echoes. */
  .fence_after = 1500 * MD_MS,
  .guard_lease = 3 * MD_SECOND,
  .start_max_age = 60 * MD_SECOND,

  /* Callers give up and resubmit within minutes; 15 min covers a reboot. */
  .horizon = 900 * MD_SECOND,
  .answer_retention = 30 * MD_SECOND,
  .clock_error = 2 * MD_SECOND,
  .removal_delay = 900 * MD_SECOND,

  .reconnect_min = 50 * MD_MS,
  .reconnect_max = 5 * MD_SECOND,

  /* Retries add at most a tenth to the load. */
  .retry_deposit = 0.1,
  .retry_burst = 10.0,

  /* Of 1.5 to 4, 3 gave the lowest mean response at 90% load among the values
     that keep the worst large job below 5 times its ideal (make bench-policy). */
  .max_slowdown = 3.0,
  /* With a weight of 0.1 the error of declared times reorders guards whose
     speeds differ twofold; 0.02 reduced the response time by 6% at 50% load. */
  .speed_gain = 0.02,
  /* A drift of the correction reorders jobs that were submitted at different
     times; below 0.01 it is not measurable. */
  .correction_gain = 0.005,

  /* A third of the guards may be ejected; a general failure thus leaves two
     thirds in use. */
  .eject_max_share = 1.0 / 3.0,
  .eject_failures = 5,
  .probation_min = 1 * MD_SECOND,
  .probation_max = 60 * MD_SECOND,

  .max_tasks = 890,
  .max_queued_tasks = 100000,
  .ledger_bytes = 64u << 20,
  .ledger_records = 200000,
  .watch_changes = 4096,

  /* A snapshot is written when the oldest needed record is half as old as the
     retention. Logs that bound the number of records are covered by the second
     limit: one day of planned changes. */
  .log_retention = 86400 * MD_SECOND,
  .snapshot_records = 1000,
};

void
md_tuning_default (MdTuning *tuning)
{
  *tuning = defaults;
}
