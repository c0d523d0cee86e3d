/* limits.c -- quotas, queue bounds and early refusal

   A submission that would not be finished in time is refused at once, with the
   time after which another attempt makes sense. Work that is queued although it
   will miss its deadline would take slots from work that can still meet its own,
   so that the useful throughput would fall under overload.

   The test compares, for every deadline from that of the new submission on, the
   waiting work due by then with the work that can be done in half of the time
   left. Jobs are placed in the order of their size until half of their time is
   gone, then in the order of their deadlines; half of the time is therefore
   enough for everything that was admitted.

   The slot quota is a bucket of slot time. A start is charged its estimated time
   at once and corrected when it ends; a customer in debt waits until the debt is
   paid off at the rate of its quota. */

#include "dispatch-private.h"

#include <math.h>

#define QUOTA_BURST (1.0 * 1000.0 * 1000.0) /* microseconds of the quota that may be saved up */
#define ADMITTED_SHARE 0.5                  /* of the time left; see above */
#define LEAST_RETRY_AFTER (100 * MD_MS)     /* shorter pauses only add messages */

MdTime
md_token_bucket_ready (MdTokenBucket *bucket, double slots, MdTime now)
{
  if (slots <= 0)
    return now;
  bucket->balance += slots * (double)(now - bucket->updated_at);
  bucket->balance = fmin (bucket->balance, slots * QUOTA_BURST);
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

  return t > (double)LEAST_RETRY_AFTER ? (MdTime)fmin (t, 600e6) : LEAST_RETRY_AFTER;
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
      excess = fmax (excess, due / rate - ADMITTED_SHARE * (double)(end - now));
    }
  return (MdTime)excess;
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
      *retry_after
          = load->demand_excess > LEAST_RETRY_AFTER ? load->demand_excess : LEAST_RETRY_AFTER;
      return MD_REASON_DEADLINE;
    }
  *retry_after = 0;
  return MD_REASON_NONE;
}
