/* lifetime.c -- which lifetime of a worker a report belongs to

   Anybody who reaches the address at which a guard takes reports can send one: the worker, a
   former lifetime of it whose report was delayed, or another writer. Only the worker itself answers
   the guard's holds, and states its birth there. A report is therefore followed if it states the
   birth that the holds state; any other is unproven until the next hold has been answered.

   The sequence number of a report orders the reports of a lifetime only among themselves. One
   that is far too high would make all later ones look old, so that the worker's clock, which the
   holds state as well, decides where it is known.

   Load pattern: a report of another writer that reaches a guard whose worker has runs. Taken for a
   new lifetime of the worker, it ended them, and they were started elsewhere while they still ran. */

#include "lifetime.h"

/* The clock of the worker is known from the latest answer to a hold. One that was read late makes
   it look slow by as much. */
#define CLOCK_TOLERANCE_MS 1000

/* Whether the report was sent at a time that the worker's clock has not reached. */
static bool
is_from_future (const MdLifetime *present, const MdReportOrigin *report)
{
  return present->clock_ms >= 0 && report->sent_ms > present->clock_ms + CLOCK_TOLERANCE_MS;
}

static bool
is_newer (const MdLifetime *present, const MdReportOrigin *report)
{
  if (present->sent_ms >= 0 && report->sent_ms != present->sent_ms)
    return report->sent_ms > present->sent_ms;
  return report->sequence > present->sequence;
}

MdReportVerdict
md_lifetime_judge (const MdLifetime *present, const MdReportOrigin *report)
{
  bool reported = present->pool.len > 0;

  if (present->born_ms < 0 || report->born_ms != present->born_ms)
    return MD_REPORT_UNPROVEN;
  if (present->id.len > 0 && !md_str_equal (report->id, present->id))
    return MD_REPORT_FOREIGN;
  if (reported && !md_str_equal (report->pool, present->pool))
    return MD_REPORT_FOREIGN;
  if (is_from_future (present, report))
    return MD_REPORT_UNPROVEN;
  return !reported || is_newer (present, report) ? MD_REPORT_NEWEST : MD_REPORT_OLD;
}
