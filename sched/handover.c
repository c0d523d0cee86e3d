/* handover.c -- whether an entry serves a request itself or hands it over to another entry

   Load pattern: the balancer spreads callers evenly over the zones, but the entries of one zone
   have 0.12 of a core each and those of the others 0.5. At the peak of a wave the small entries are
   asked for more than their processor share, while the workers and the large entries have capacity.
   A job costs an entry about 1 ms of processor time, and handing it over costs a part of that.

   A process that was suspended has a few large samples of the lag within one pass. They do not
   count as pressure, because that takes samples that are too high over 200 ms without a gap of that
   length.

   Under pressure an entry hands over a share of its requests that grows with its use and its lag,
   so that it keeps as much as it can serve in time. With all or none it would alternate between
   both every second. */

#include "handover.h"

#define BEGIN_LAG (20 * MD_MS)
#define BEGIN_TIME (200 * MD_MS) /* that the lag is above BEGIN_LAG */
#define BEGIN_USE 0.85
#define END_FACTOR 0.5           /* of the lag and the use at which it begins */
#define END_TIME (1 * MD_SECOND) /* that both are below that */
#define USE_GAIN 0.3             /* weight of the newest interval of 100 ms */
#define MAX_REPORT_AGE MD_SECOND /* an older load does not count */
#define MAX_PEER_USE 750         /* below BEGIN_USE, so that a taker does not hand over itself */
#define UNKNOWN_SHARE 100        /* thousandths of a core; below that of the smallest entry */
#define JOB_SHARE 10             /* thousandths of a core: 1 ms per load interval */

static void
update (MdShortage *pressure, MdTime now)
{
  bool late = pressure->late_at > 0 && now < pressure->late_at + BEGIN_TIME
              && pressure->late_at >= pressure->late_since + BEGIN_TIME;

  if (pressure->use_known && pressure->use >= BEGIN_USE * END_FACTOR)
    pressure->busy_at = now;
  if (late || (pressure->use_known && pressure->use > BEGIN_USE))
    pressure->active = true;
  else if (pressure->active && now >= pressure->busy_at + END_TIME)
    pressure->active = false;
}

void
md_shortage_add_lag (MdShortage *pressure, MdTime sample, MdTime now)
{
  if (sample > BEGIN_LAG)
    {
      if (pressure->late_at == 0 || now >= pressure->late_at + BEGIN_TIME)
        pressure->late_since = now;
      pressure->late_at = now;
    }
  if ((double)sample >= (double)BEGIN_LAG * END_FACTOR)
    pressure->busy_at = now;
  update (pressure, now);
}

void
md_shortage_add_use (MdShortage *pressure, double use, MdTime now)
{
  pressure->use = pressure->use_known ? pressure->use + USE_GAIN * (use - pressure->use) : use;
  pressure->use_known = true;
  update (pressure, now);
}

/* 0 at the level at which pressure ends, 1 at that at which it begins. */
static double
position (double value, double begin)
{
  double end = begin * END_FACTOR;

  if (value <= end)
    return 0;
  return value < begin ? (value - end) / (begin - end) : 1;
}

double
md_shortage_offer (const MdShortage *pressure, MdTime lag)
{
  double by_lag = position ((double)lag, (double)BEGIN_LAG);
  double by_use = pressure->use_known ? position (pressure->use, BEGIN_USE) : 0;

  if (!pressure->active)
    return 0;
  return by_lag > by_use ? by_lag : by_use;
}

double
md_handover_peer_free (const MdPeerLoad *peer, MdTime now)
{
  uint32_t share = peer->share > 0 ? peer->share : UNKNOWN_SHARE;
  uint32_t use = peer->share > 0 ? peer->use : 0;
  double used = (double)share * use / 1000 + (double)peer->sent * JOB_SHARE;

  if (!peer->takes || peer->reported_at == 0 || now > peer->reported_at + MAX_REPORT_AGE
      || (double)peer->lag >= (double)BEGIN_LAG * END_FACTOR
      || used >= (double)share * MAX_PEER_USE / 1000)
    return 0;
  return share - used;
}

/* Sum of the free processor time of the peers, near or not; *usable is increased by their number. */
static double
sum_free (const MdPeerLoad *peers, size_t n, bool near, MdTime now, size_t *usable)
{
  double sum = 0;

  for (size_t i = 0; i < n; i++)
    {
      double spare = peers[i].near == near ? md_handover_peer_free (&peers[i], now) : 0;

      sum += spare;
      *usable += spare > 0;
    }
  return sum;
}

/* Index of the peer at a position between 0 and sum_free. */
static size_t
peer_at (const MdPeerLoad *peers, size_t n, bool near, MdTime now, double at)
{
  size_t last = 0;

  for (size_t i = 0; i < n; i++)
    {
      double spare = peers[i].near == near ? md_handover_peer_free (&peers[i], now) : 0;

      if (spare <= 0)
        continue;
      last = i;
      if (at < spare)
        break;
      at -= spare;
    }
  return last;
}

/* Two choices with probabilities in proportion to the free time; the one with more of it. */
static size_t
choose (const MdPeerLoad *peers, size_t n, bool near, MdTime now, double sum, uint64_t random)
{
  double first = (double)(uint32_t)random / 4294967296.0;
  double second = (double)(random >> 32) / 4294967296.0;
  size_t a = peer_at (peers, n, near, now, first * sum);
  size_t b = peer_at (peers, n, near, now, second * sum);

  return md_handover_peer_free (&peers[b], now) > md_handover_peer_free (&peers[a], now) ? b : a;
}

MdHandover
md_handover_decide (const MdHandoverRequest *request, const MdPeerLoad *peers, size_t n,
                    uint64_t random, MdTime now)
{
  MdHandover result = { .kind = request->overloaded ? MD_HANDOVER_REJECT : MD_HANDOVER_SERVE };
  double near;
  double far;

  if (request->handed_over || !request->pressure->active)
    return result;
  near = sum_free (peers, n, true, now, &result.usable);
  far = sum_free (peers, n, false, now, &result.usable);
  if (result.usable == 0)
    return result;
  result.kind = MD_HANDOVER_TO;
  result.peer = choose (peers, n, near > 0, now, near > 0 ? near : far, random);
  result.free = md_handover_peer_free (&peers[result.peer], now);
  result.age = now - peers[result.peer].reported_at;
  return result;
}
