/* limits.c -- admission test of submissions, queue bounds and slot quotas

   A submission that would not be finished in time is refused immediately, with the
   delay after which another attempt makes sense. Work that is queued although it
   will miss its deadline would use slots that other work needs to meet its own
   deadline, and the useful throughput would fall under overload.

   For every deadline from that of the new submission on, the test compares the
   waiting work due by then with the work that can be done in half of the time left.
   Jobs are placed in the order of their size until half of their time has passed,
   then in the order of their deadlines, so half of the time is sufficient for
   everything that was admitted.

   The slot quota is a token bucket of slot time. A start is charged its estimated run
   time immediately, and the charge is corrected when the task ends. A customer with a
   negative balance waits until its quota has made up for it. */

#include "dispatch-private.h"

#include <math.h>

/* The work of waiting tasks is a sum that can exceed every time. */
#define MAX_EXCESS (366 * 24 * 3600 * MD_SECOND)
#define QUOTA_BURST_US (1.0 * 1000.0 * 1000.0) /* time for which unused quota accumulates */
#define ADMISSION_TIME_SHARE 0.5               /* of the time left, see above */
#define MIN_RETRY_AFTER (100 * MD_MS)          /* shorter delays only add messages */

MdTime
md_token_bucket_ready (MdTokenBucket *bucket, double slots, MdTime now)
{
  if (slots <= 0)
    return now;
  bucket->balance += slots * (double)(now - bucket->updated_at);
  bucket->balance = fmin (bucket->balance, slots * QUOTA_BURST_US);
  bucket->updated_at = now;
  if (bucket->balance >= 0)
    return now;
  return now + (MdTime)ceil (-bucket->balance / slots);
}

void
md_token_bucket_charge (MdTokenBucket *bucket, double slot_time)
{
  bucket->balance -= slot_time;
}

static MdTime
drain_time (double work, double rate)
{
  double t = rate > 0 ? work / rate : 0;

  return t > (double)MIN_RETRY_AFTER ? (MdTime)fmin (t, 600e6) : MIN_RETRY_AFTER;
}

uint32_t
md_demand_bucket (MdTime deadline, MdTime now)
{
  MdTime latest = now + (MD_DEMAND_BUCKETS - 2) * MD_DEMAND_BUCKET_WIDTH;
  MdTime at = deadline < latest ? deadline : latest;

  return (uint32_t)((uint64_t)(at / MD_DEMAND_BUCKET_WIDTH) % MD_DEMAND_BUCKETS);
}

MdTime
md_demand_excess (const MdDeadlineDemand *demand, MdTime deadline, MdTime now, double new_work,
                  double rate)
{
  uint32_t first = md_demand_bucket (now, now);
  uint32_t own = (md_demand_bucket (deadline, now) - first) % MD_DEMAND_BUCKETS;
  double due = new_work;
  double excess = 0;

  for (uint32_t i = 0; i < MD_DEMAND_BUCKETS - 1; i++)
    {
      double work = demand->work[(first + i) % MD_DEMAND_BUCKETS];
      MdTime end = (now / MD_DEMAND_BUCKET_WIDTH + i + 1) * MD_DEMAND_BUCKET_WIDTH;

      due += work;
      if (i < own || (i > own && work <= 0))
        continue;
      if (i == own)
        end = deadline;
      excess = fmax (excess, due / rate - ADMISSION_TIME_SHARE * (double)(end - now));
    }
  return (MdTime)fmin (excess, (double)MAX_EXCESS);
}

MdReason
md_limits_check (const MdAdmissionLoad *load, MdTime *retry_after)
{
  *retry_after = 0;
  if (load->time_left <= load->shortest_run)
    return MD_REASON_DEADLINE;
  if (load->new_tasks > load->max_queue)
    return MD_REASON_TOO_LARGE;
  if (load->queue_quota > 0 && load->new_tasks > load->queue_quota)
    return MD_REASON_QUOTA;
  *retry_after = drain_time (load->customer_work, load->rate);
  if (load->queue_quota > 0 && load->customer_tasks + load->new_tasks > load->queue_quota)
    return MD_REASON_QUOTA;
  if (load->queued_tasks + load->new_tasks > load->max_queue)
    return MD_REASON_QUEUE_FULL;
  if (load->demand_excess > 0)
    {
      *retry_after = load->demand_excess > MIN_RETRY_AFTER ? load->demand_excess : MIN_RETRY_AFTER;
      return MD_REASON_DEADLINE;
    }
  *retry_after = 0;
  return MD_REASON_NONE;
}
