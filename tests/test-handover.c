/* test-handover.c -- whether an entry hands requests over to another one, and to which */

#include "handover.h"
#include "run-sched.h"
#include "suite.h"

#include <stdio.h>

#define START (100 * MD_SECOND)

static uint64_t seed = 0x9e3779b97f4a7c15u;

static uint64_t
next_random (void)
{
  seed ^= seed << 13;
  seed ^= seed >> 7;
  seed ^= seed << 17;
  return seed;
}

/* Adds the same lag every 10 ms for this long. */
static MdTime
add_lag (MdShortage *pressure, MdTime sample, MdTime now, MdTime time)
{
  for (MdTime end = now + time; now < end; now += 10 * MD_MS)
    md_shortage_add_lag (pressure, sample, now);
  return now;
}

static MdTime
add_use (MdShortage *pressure, double use, MdTime now, MdTime time)
{
  for (MdTime end = now + time; now < end; now += MD_HANDOVER_LOAD_INTERVAL)
    md_shortage_add_use (pressure, use, now);
  return now;
}

/* Guards against an entry that hands its requests over after it was suspended once, or after a
   single slow pass, when it has processor time for them. */
START_TEST (pause_is_no_pressure)
{
  MdShortage pressure = { 0 };
  MdTime now = START;

  now = add_lag (&pressure, 4 * MD_SECOND, now, 150 * MD_MS);
  now = add_lag (&pressure, MD_MS, now, 300 * MD_MS);
  ck_assert (!pressure.active);
  now = add_lag (&pressure, 30 * MD_MS, now, 150 * MD_MS);
  add_lag (&pressure, 0, now, 10 * MD_SECOND);
  ck_assert (!pressure.active);
  ck_assert_double_eq (md_shortage_offer (&pressure, 100 * MD_MS), 0);
}
END_TEST

/* Guards against an entry that begins and ends to hand over with each request: its callers would be
   connected to other entries and cut off several times a second. */
START_TEST (lag_has_hysteresis)
{
  MdShortage pressure = { 0 };
  MdTime now = add_lag (&pressure, 21 * MD_MS, START, 200 * MD_MS);

  ck_assert (!pressure.active);
  now = add_lag (&pressure, 21 * MD_MS, now, 20 * MD_MS);
  ck_assert (pressure.active);
  now = add_lag (&pressure, 11 * MD_MS, now, 5 * MD_SECOND);
  ck_assert (pressure.active);
  now = add_lag (&pressure, 9 * MD_MS, now, 900 * MD_MS);
  ck_assert (pressure.active);
  now = add_lag (&pressure, 12 * MD_MS, now, 10 * MD_MS);
  now = add_lag (&pressure, 9 * MD_MS, now, 900 * MD_MS);
  ck_assert (pressure.active);
  add_lag (&pressure, 9 * MD_MS, now, 200 * MD_MS);
  ck_assert (!pressure.active);
}
END_TEST

/* Guards against the same with the processor use, and against an end while one of both is high. */
START_TEST (use_has_hysteresis)
{
  MdShortage pressure = { 0 };
  MdTime now = add_use (&pressure, 0.8, START, 5 * MD_SECOND);

  ck_assert (!pressure.active);
  now = add_use (&pressure, 1.1, now, 300 * MD_MS);
  ck_assert (pressure.active);
  now = add_use (&pressure, 0.5, now, 5 * MD_SECOND);
  ck_assert (pressure.active);
  now = add_use (&pressure, 0.3, now, 600 * MD_MS);
  now = add_lag (&pressure, 15 * MD_MS, now, 5 * MD_SECOND);
  ck_assert (pressure.active);
  now = add_lag (&pressure, MD_MS, now, 900 * MD_MS);
  ck_assert (pressure.active);
  add_lag (&pressure, MD_MS, now, 200 * MD_MS);
  ck_assert (!pressure.active);
}
END_TEST

/* Guards against an entry that hands over everything as soon as it is a little short. */
START_TEST (offer_grows_with_pressure)
{
  MdShortage pressure = { .active = true, .use_known = true, .use = 0.425 };

  ck_assert_double_eq (md_shortage_offer (&pressure, 0), 0);
  pressure.use = 0.6375;
  ck_assert_double_eq_tol (md_shortage_offer (&pressure, 0), 0.5, 1e-9);
  ck_assert_double_eq_tol (md_shortage_offer (&pressure, 19 * MD_MS), 0.9, 1e-9);
  pressure.use = 2;
  ck_assert_double_eq (md_shortage_offer (&pressure, 0), 1);
  pressure = (MdShortage){ .active = true };
  ck_assert_double_eq (md_shortage_offer (&pressure, 40 * MD_MS), 1);
}
END_TEST

static MdPeerLoad
peer (bool near, uint32_t share, uint32_t use, MdTime age)
{
  return (MdPeerLoad){
    .takes = true, .near = near, .share = share, .use = use, .reported_at = START - age
  };
}

static MdHandover
decide (const MdPeerLoad *peers, size_t n, bool handed_over, bool overloaded)
{
  MdShortage pressure = { .active = true };
  MdHandoverRequest request
      = { .pressure = &pressure, .handed_over = handed_over, .overloaded = overloaded };

  return md_handover_decide (&request, peers, n, next_random (), START);
}

/* Guards against requests that are handed to an entry which cannot serve them: one that is short of
   time itself, that has not reported for a second, that leaves, or that got many since its report. */
START_TEST (peers_without_time_are_not_chosen)
{
  MdPeerLoad peers[8] = { peer (true, 500, 760, 0), peer (true, 500, 100, MD_SECOND + 1),
                          peer (true, 500, 100, 0), peer (true, 500, 100, 0),
                          peer (true, 120, 0, 0),   { .takes = true, .near = true, .share = 500 },
                          peer (true, 0, 0, 0),     peer (true, 500, 1500, 0) };

  peers[2].lag = 10 * MD_MS;
  peers[3].takes = false;
  peers[4].sent = 9;
  peers[6].sent = 8;
  for (int i = 0; i < 100; i++)
    {
      ck_assert_int_eq (decide (peers, 8, false, false).kind, MD_HANDOVER_SERVE);
      ck_assert_int_eq (decide (peers, 8, false, true).kind, MD_HANDOVER_REJECT);
    }
  peers[1].reported_at = START - MD_SECOND;
  for (int i = 0; i < 100; i++)
    {
      MdHandover result = decide (peers, 8, false, true);

      ck_assert_int_eq (result.kind, MD_HANDOVER_TO);
      ck_assert_uint_eq (result.peer, 1);
      ck_assert_uint_eq (result.usable, 1);
      ck_assert_int_eq (result.age, MD_SECOND);
      ck_assert_double_eq_tol (result.free, 450, 1e-9);
    }
}
END_TEST

/* Guards against work that leaves the failure domain while an entry in it has time. */
START_TEST (own_domain_comes_first)
{
  MdPeerLoad peers[3]
      = { peer (false, 500, 0, 0), peer (true, 120, 500, 0), peer (false, 500, 0, 0) };

  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (decide (peers, 3, false, false).peer, 1);
  peers[1].use = 800;
  for (int i = 0; i < 100; i++)
    ck_assert_uint_ne (decide (peers, 3, false, false).peer, 1);
}
END_TEST

/* Guards against all entries that hand over choosing the same peer, and against a small peer that
   gets as much as a large one. */
START_TEST (choice_follows_free_time)
{
  MdPeerLoad peers[3]
      = { peer (false, 500, 0, 0), peer (false, 500, 0, 0), peer (false, 120, 0, 0) };
  int counts[3] = { 0 };

  for (int i = 0; i < 10000; i++)
    counts[decide (peers, 3, false, false).peer]++;
  ck_assert_int_gt (counts[0], 3000);
  ck_assert_int_gt (counts[1], 3000);
  ck_assert_int_gt (counts[2], 20);
  ck_assert_int_lt (counts[2], 600);
}
END_TEST

/* Guards against a request that two overloaded entries pass back and forth until its caller
   leaves. */
START_TEST (request_is_handed_over_once)
{
  MdPeerLoad idle = peer (true, 500, 0, 0);
  MdPeerLoad busy = peer (true, 500, 950, 0);

  ck_assert_int_eq (decide (&idle, 1, false, false).kind, MD_HANDOVER_TO);
  ck_assert_int_eq (decide (&idle, 1, true, false).kind, MD_HANDOVER_SERVE);
  ck_assert_int_eq (decide (&idle, 1, true, true).kind, MD_HANDOVER_REJECT);
  ck_assert_int_eq (decide (&busy, 1, false, false).kind, MD_HANDOVER_SERVE);
  ck_assert_int_eq (decide (&busy, 1, false, true).kind, MD_HANDOVER_REJECT);
  ck_assert_int_eq (decide (NULL, 0, false, false).kind, MD_HANDOVER_SERVE);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Replay of the peak load                                            */

/* Four failure domains with the same load each. Those of the first have 0.12 of a core. Each entry
   is a queue of processor time; a request is in time if it waits at most 50 ms. */
#define ENTRIES 12
#define PER_DOMAIN 3
#define STEP (10 * MD_MS)
#define DAY (34 * MD_SECOND) /* two waves */
#define JOBS_PER_SECOND 1000 /* of all domains, on average */
#define WAVE 0.55
#define JOB_COST 1000.0     /* microseconds of processor time */
#define HANDOVER_COST 300.0 /* at the hander */
#define HANDED_COST 1050.0  /* at the taker */
#define IN_TIME (50 * MD_MS)

typedef struct
{
  double share;    /* cores */
  double queue;    /* microseconds of processor time */
  double consumed; /* in the present load interval */
  MdShortage pressure;
  MdLag lag;
  MdPeerLoad load; /* as reported last */
} Entry;

typedef struct
{
  int64_t jobs[2]; /* in the domain of small entries, in the others */
  int64_t in_time[2];
  int64_t handed;
  int64_t handed_far; /* to another failure domain */
  double worst_use;   /* of a large entry in an interval */
} Day;

static Entry entries[ENTRIES];

static MdTime
queue_time (const Entry *entry)
{
  return (MdTime)(entry->queue / entry->share);
}

static void
serve (Day *day, int from, MdTime now, bool enabled)
{
  Entry *own = &entries[from];
  MdPeerLoad peers[ENTRIES];
  MdHandoverRequest request = { .pressure = &own->pressure };
  int domain = from / PER_DOMAIN;
  Entry *at = own;
  MdHandover result = { .kind = MD_HANDOVER_SERVE };

  for (int i = 0; i < ENTRIES; i++)
    {
      peers[i] = entries[i].load;
      peers[i].near = i / PER_DOMAIN == domain;
      peers[i].takes = i != from;
    }
  if (enabled
      && (double)(next_random () % 1000) / 1000
             < md_shortage_offer (&own->pressure, md_lag_now (&own->lag, now)))
    result = md_handover_decide (&request, peers, ENTRIES, next_random (), now);
  if (result.kind == MD_HANDOVER_TO)
    {
      at = &entries[result.peer];
      own->queue += HANDOVER_COST;
      at->queue += HANDED_COST;
      at->load.sent++;
      day->handed++;
      day->handed_far += (int)result.peer / PER_DOMAIN != domain;
    }
  else
    own->queue += JOB_COST;
  day->jobs[domain > 0]++;
  day->in_time[domain > 0]
      += queue_time (own) <= IN_TIME && (at == own || queue_time (at) <= IN_TIME);
}

/* Entries tell each other their loads. */
static void
report (Day *day, MdTime now)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      Entry *entry = &entries[i];
      double use = entry->consumed / ((double)MD_HANDOVER_LOAD_INTERVAL * entry->share);

      md_shortage_add_use (&entry->pressure, use, now);
      entry->consumed = 0;
      entry->load = (MdPeerLoad){ .share = (uint32_t)(entry->share * 1000),
                                  .use = (uint32_t)(entry->pressure.use * 1000),
                                  .lag = md_lag_now (&entry->lag, now),
                                  .reported_at = now };
      if (i >= PER_DOMAIN && entry->pressure.use > day->worst_use)
        day->worst_use = entry->pressure.use;
    }
}

static Day
replay (bool enabled)
{
  Day day = { 0 };
  double due = 0;

  for (int i = 0; i < ENTRIES; i++)
    entries[i] = (Entry){ .share = i < PER_DOMAIN ? 0.12 : 0.5 };
  for (MdTime now = START; now < START + DAY; now += STEP)
    {
      double phase = (double)((now - START) % (17 * MD_SECOND)) / (17.0 * (double)MD_SECOND);
      int jobs;
      double wave = 1 + WAVE * (phase < 0.5 ? 4 * phase - 1 : 3 - 4 * phase);

      due += JOBS_PER_SECOND * wave * (double)STEP / (double)MD_SECOND;
      jobs = (int)due;
      due -= jobs;
      for (int i = 0; i < jobs; i++)
        serve (&day, (int)(next_random () % ENTRIES), now, enabled);
      for (int i = 0; i < ENTRIES; i++)
        {
          double slice = (double)STEP * entries[i].share;
          double used = entries[i].queue < slice ? entries[i].queue : slice;

          md_lag_add (&entries[i].lag, queue_time (&entries[i]), now);
          md_shortage_add_lag (&entries[i].pressure, queue_time (&entries[i]), now);
          entries[i].queue -= used;
          entries[i].consumed += used;
        }
      if ((now - START) % MD_HANDOVER_LOAD_INTERVAL == 0)
        report (&day, now);
    }
  return day;
}

static double
share_in_time (const Day *day, int domain)
{
  return (double)day->in_time[domain] / (double)day->jobs[domain];
}

/* Guards against a domain of small entries that answers late at the peak of each wave while the
   large entries have time, and against large entries that get more than they can serve. */
START_TEST (peak_of_small_entries_is_shared)
{
  Day without = replay (false);
  Day with = replay (true);

  printf ("in time without: small %.4f large %.4f; with: small %.4f large %.4f; handed over %.4f "
          "(%.4f to other domains), worst use of a large entry %.3f\n",
          share_in_time (&without, 0), share_in_time (&without, 1), share_in_time (&with, 0),
          share_in_time (&with, 1), (double)with.handed / (double)(with.jobs[0] + with.jobs[1]),
          (double)with.handed_far / (double)(with.jobs[0] + with.jobs[1]), with.worst_use);
  ck_assert_double_lt (share_in_time (&without, 0), 0.9);
  ck_assert_double_gt (share_in_time (&with, 0), 0.99);
  ck_assert_double_gt (share_in_time (&with, 1), 0.999);
  ck_assert_double_lt (with.worst_use, 0.85);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("handover");

  tcase_add_test (tc, pause_is_no_pressure);
  tcase_add_test (tc, lag_has_hysteresis);
  tcase_add_test (tc, use_has_hysteresis);
  tcase_add_test (tc, offer_grows_with_pressure);
  tcase_add_test (tc, peers_without_time_are_not_chosen);
  tcase_add_test (tc, own_domain_comes_first);
  tcase_add_test (tc, choice_follows_free_time);
  tcase_add_test (tc, request_is_handed_over_once);
  tcase_add_test (tc, peak_of_small_entries_is_shared);
  return run_suite ("handover", tc);
}
