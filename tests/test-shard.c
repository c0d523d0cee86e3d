/* test-shard.c -- ownership of a shard: quorum, evidence, views, cut time

   Each guard has a real ledger. A guard that is up answers attaches and sends and
   acknowledges heartbeats; one that is cut does nothing for that entry. */

#include "md-private.h"
#include "suite.h"

#define MAX_GUARDS 8
#define T0 (1000 * MD_SECOND)
#define WALL0 1700000000000
#define ALL 0xff

typedef struct
{
  MdShard *shard;            /* under test */
  uint64_t self;             /* incarnation */
  unsigned links;            /* bit per guard: messages pass */
  unsigned used;             /* guards named in USE */
  unsigned attaches;         /* ATTACH decisions so far */
  unsigned serves, suspends; /* decisions so far */
  unsigned drops;            /* decisions so far */
  MdShardDecision last;      /* latest SERVE or DROP */
} Entry;

static MdTuning tuning;
static MdLedger *ledgers[MAX_GUARDS];
static uint64_t known[MAX_GUARDS]; /* offset each guard has heard from an owner */
static unsigned withheld;          /* guards whose records do not arrive completely */
static Entry entries[2];
static MdTime now;

static uint64_t
guard_id (unsigned i)
{
  return 10 + i;
}

static int64_t
wall (void)
{
  return WALL0 + (now - T0) / MD_MS;
}

static bool
linked (const Entry *e, unsigned i)
{
  return e->links >> i & 1;
}

static void
send_attach (Entry *e, const MdShardDecision *d)
{
  unsigned i = (unsigned)(d->guard - guard_id (0));
  MdAttachResult verdict;

  e->attaches++;
  if (!linked (e, i))
    return;
  md_ledger_attach (ledgers[i], e->self, d->fences, d->n_fences, now, &verdict);
  md_shard_attach_reply (e->shard, d->guard, &verdict, known[i], now);
  if (verdict.attached && !(withheld >> i & 1))
    md_shard_records_end (e->shard, d->guard, now);
}

/* What the daemon does after DROP, so that others need not wait for silence. */
static void
announce_leaving (const Entry *e)
{
  for (unsigned i = 0; i < MAX_GUARDS; i++)
    if (linked (e, i))
      md_ledger_entry_leaving (ledgers[i], e->self, now);
}

static void
pump (Entry *e)
{
  MdShardDecision d;

  md_shard_tick (e->shard, now, wall ());
  while (md_shard_next (e->shard, now, wall (), &d))
    switch (d.kind)
      {
      case MD_SHARD_ATTACH:
        send_attach (e, &d);
        break;
      case MD_SHARD_ECHO:
        if (linked (e, (unsigned)(d.guard - guard_id (0))))
          md_ledger_echo (ledgers[d.guard - guard_id (0)], e->self, d.nonce, now);
        break;
      case MD_SHARD_USE:
        e->used |= 1u << (d.guard - guard_id (0));
        break;
      case MD_SHARD_SERVE:
        e->serves++;
        e->last = d;
        break;
      case MD_SHARD_SUSPEND:
        e->suspends++;
        break;
      case MD_SHARD_DROP:
        e->drops++;
        e->last = d;
        announce_leaving (e);
        break;
      }
}

/* One heartbeat in each direction on every link that is up. */
static void
beat (Entry *e)
{
  for (unsigned i = 0; i < MAX_GUARDS; i++)
    {
      uint64_t offset = md_shard_offset (e->shard);
      MdAttachResult fenced
          = { .reason = MD_REASON_FENCED, .holder = md_ledger_owner (ledgers[i]) };

      if (!linked (e, i))
        continue;
      md_shard_record_nonce (e->shard, guard_id (i), now, now);
      md_ledger_record_contact (ledgers[i], e->self, now);
      if (md_ledger_fenced (ledgers[i], e->self))
        {
          md_shard_attach_reply (e->shard, guard_id (i), &fenced, 0, now);
          continue;
        }
      if (md_ledger_owner (ledgers[i]) == e->self && offset > known[i])
        known[i] = offset;
      md_shard_record_ack (e->shard, guard_id (i), now, offset, now);
    }
}

/* Lets time pass with a heartbeat every 500 ms. */
static void
pass (MdTime time)
{
  for (MdTime end = now + time; now < end;)
    {
      now += 500 * MD_MS;
      for (unsigned j = 0; j < 2; j++)
        {
          beat (&entries[j]);
          pump (&entries[j]);
        }
    }
}

/* Registers guards from to to - 1 at both entries. */
static void
register_guards (Entry *e, unsigned from, unsigned to, uint64_t offset)
{
  uint64_t ids[MAX_GUARDS];

  for (unsigned i = from; i < to; i++)
    ids[i - from] = guard_id (i);
  md_shard_set_guards (e->shard, ids, to - from, offset, now);
}

static void
cut_links (Entry *e, unsigned links)
{
  for (unsigned i = 0; i < MAX_GUARDS; i++)
    if ((e->links ^ links) >> i & 1)
      md_shard_set_link (e->shard, guard_id (i), links >> i & 1, now);
  e->links = links;
}

static void
setup (void)
{
  md_tuning_default (&tuning);
  now = T0;
  withheld = 0;
  for (unsigned i = 0; i < MAX_GUARDS; i++)
    {
      ledgers[i] = md_ledger_new (&tuning, guard_id (i));
      known[i] = 0;
    }
  for (unsigned j = 0; j < 2; j++)
    {
      entries[j] = (Entry){ .self = 100 * (j + 1) };
      entries[j].shard = md_shard_new (&tuning, entries[j].self);
      register_guards (&entries[j], 0, 3, 5);
    }
}

static void
teardown (void)
{
  for (unsigned i = 0; i < MAX_GUARDS; i++)
    md_ledger_free (ledgers[i]);
  for (unsigned j = 0; j < 2; j++)
    md_shard_free (entries[j].shard);
}

static void
acquire (Entry *e, uint64_t fence)
{
  md_shard_acquire (e->shard, &fence, fence ? 1 : 0, now);
  pump (e);
}

/* A takeover waits up to fence_after for guards that have not answered. */
static void
pass_until_serving (Entry *e)
{
  MdTime limit = now + tuning.fence_after + 2 * MD_SECOND;

  while (md_shard_state (e->shard) != MD_SHARD_SERVING && now < limit)
    pass (MD_SECOND / 2);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SERVING);
}

static void
serve (Entry *e, unsigned links, uint64_t fence)
{
  cut_links (e, links);
  acquire (e, fence);
  pass_until_serving (e);
}

static int64_t
margin_ms (void)
{
  return (tuning.guard_lease + tuning.clock_error) / MD_MS;
}

/* Guards against serving with fewer than two thirds of the guards, and against a
   missing cut when a guard was not reached. */
START_TEST (test_quorum_and_cut)
{
  Entry *e = &entries[0];

  cut_links (e, 1);
  acquire (e, 0);
  pass (5 * MD_SECOND);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_ACQUIRING);
  cut_links (e, 3);
  pass (MD_SECOND / 2);
  ck_assert_uint_eq (e->serves, 0);
  pass_until_serving (e);
  ck_assert_uint_eq (e->serves, 1);
  ck_assert_int_eq (e->last.cut_ms, wall () + margin_ms ());
  ck_assert_uint_eq (e->used, 3);
  cut_links (e, 7);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->used, 7);
  /* The last guard has handed over its records: the cut is lifted. */
  ck_assert_uint_eq (e->serves, 2);
  ck_assert_int_eq (e->last.cut_ms, 0);
}
END_TEST

/* Guards against a cut where every record was recovered, against a lost guard that
   leaves none, and against an earlier cut that hides a later one. */
START_TEST (test_cut_of_lost_guards)
{
  Entry *e = &entries[0];

  md_shard_guard_lost (e->shard, 77, WALL0 - 9000, WALL0, now);
  md_shard_guard_lost (e->shard, 78, WALL0 - 20000, WALL0, now);
  md_shard_guard_lost (e->shard, 79, WALL0 - 3600000, WALL0, now);
  serve (e, ALL, 0);
  ck_assert_int_eq (e->last.cut_ms, WALL0 - 9000 + margin_ms ());
}
END_TEST

START_TEST (test_no_cut)
{
  serve (&entries[0], ALL, 0);
  ck_assert_int_eq (entries[0].last.cut_ms, 0);
}
END_TEST

/* Guards against serving with a set of guards that is older than the one which the
   former owner used. */
START_TEST (test_reads_log_first)
{
  Entry *e = &entries[0];

  known[1] = 9;
  cut_links (e, ALL);
  acquire (e, 0);
  pass (2 * MD_SECOND);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_ACQUIRING);
  register_guards (e, 0, 3, 9);
  pump (e);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SERVING);
}
END_TEST

/* Guards against a successor that takes a live owner's guards, and against one
   that asks again without back-off. */
START_TEST (test_incumbent_wins)
{
  Entry *e = &entries[1];

  serve (&entries[0], ALL, 0);
  cut_links (e, ALL);
  acquire (e, entries[0].self);
  ck_assert_uint_eq (e->attaches, 3);
  pass (20 * MD_SECOND);
  ck_assert_uint_eq (e->serves, 0);
  ck_assert_uint_le (e->attaches, 24);
  ck_assert_uint_eq (entries[0].suspends + entries[0].drops, 0);
}
END_TEST

/* Guards against two owners after a pause: the paused one is fenced, learns it,
   and does not come back with the same incarnation; and against a lease at a guard
   that the successor did not reach which outlives takeover + guard_lease. */
START_TEST (test_takeover)
{
  MdLedgerStats stats;
  MdTime taken;

  serve (&entries[0], ALL, 0);
  pass (2 * MD_SECOND);
  cut_links (&entries[0], 4);
  cut_links (&entries[1], 3);
  acquire (&entries[1], entries[0].self);
  while (entries[1].serves == 0 && now < T0 + 20 * MD_SECOND)
    pass (MD_SECOND / 2);
  taken = now;
  ck_assert_int_eq (entries[1].last.cut_ms, wall () + margin_ms ());
  ck_assert_int_eq (md_shard_state (entries[0].shard), MD_SHARD_SUSPENDED);
  pass (5 * MD_SECOND);
  md_ledger_stats (ledgers[2], &stats);
  ck_assert_int_lt (stats.lease_until, taken + tuning.guard_lease);
  cut_links (&entries[0], ALL);
  pass (MD_SECOND / 2);
  ck_assert_uint_eq (entries[0].drops, 1);
  ck_assert (entries[0].last.fenced && entries[0].last.holder == entries[1].self);
  acquire (&entries[0], 0);
  ck_assert_int_eq (md_shard_state (entries[0].shard), MD_SHARD_FOLLOWER);
  entries[0].self = 150;
  md_shard_set_incarnation (entries[0].shard, 150);
  acquire (&entries[0], 0);
  ck_assert_int_eq (md_shard_state (entries[0].shard), MD_SHARD_ACQUIRING);
  ck_assert_uint_eq (entries[1].suspends + entries[1].drops, 0);
}
END_TEST

/* Guards against an owner that goes on without evidence for longer than guards
   refuse to fence it, and one that does not resume. */
START_TEST (test_suspend_and_resume)
{
  Entry *e = &entries[0];

  register_guards (e, 0, 6, 6);
  serve (e, 0xf, 0);
  cut_links (e, 7);
  pass (5 * MD_SECOND);
  ck_assert_uint_eq (e->suspends, 0);
  cut_links (e, 3);
  pass (MD_SECOND);
  ck_assert_uint_eq (e->suspends, 0);
  pass (MD_SECOND / 2);
  ck_assert_uint_eq (e->suspends, 1);
  pass (20 * MD_SECOND);
  ck_assert_uint_eq (e->drops, 0);
  cut_links (e, 7);
  pass (MD_SECOND / 2);
  ck_assert_uint_eq (e->serves, 2);
  ck_assert_int_lt (e->last.cut_ms, wall ());
}
END_TEST

/* Guards against resuming on the word of guards that registered after contact was
   lost, while the old ones may have a new owner. */
START_TEST (test_resume_needs_old_view)
{
  Entry *e = &entries[0];

  serve (e, 7, 0);
  cut_links (e, 0);
  pass (2 * MD_SECOND);
  register_guards (e, 0, 8, 20);
  cut_links (e, 0x18);
  pass (10 * MD_SECOND);
  ck_assert_uint_eq (e->serves, 1);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SUSPENDED);
}
END_TEST

/* Guards against giving up the old set of guards while suspended, on the word of
   guards that were never heard at the same time. */
START_TEST (test_suspended_keeps_view)
{
  Entry *e = &entries[0];

  serve (e, 7, 0);
  cut_links (e, 0);
  pass (2 * MD_SECOND);
  register_guards (e, 0, 8, 20);
  md_shard_record_ack (e->shard, guard_id (0), now, 20, now);
  pass (2 * MD_SECOND);
  md_shard_record_ack (e->shard, guard_id (1), now, 20, now);
  pass (2 * MD_SECOND);
  cut_links (e, 0xfc);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->serves, 1);
}
END_TEST

/* Guards against serving, or placing on a guard, before its records are known, and
   against a recovery that broke off and is not repeated. */
START_TEST (test_records_first)
{
  Entry *e = &entries[0];

  withheld = 2;
  cut_links (e, 3);
  acquire (e, 0);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->serves, 0);
  cut_links (e, 1);
  withheld = 4;
  cut_links (e, 3);
  pass_until_serving (e);
  ck_assert_uint_eq (e->serves, 1);
  cut_links (e, 7);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->used, 3);
}
END_TEST

/* Guards against nonces that are returned without evidence for them. */
START_TEST (test_no_echo_without_evidence)
{
  Entry *e = &entries[0];
  MdLedgerStats before, after;

  serve (e, 7, 0);
  pass (MD_SECOND);
  md_ledger_stats (ledgers[0], &before);
  cut_links (e, 1);
  pass (MD_SECOND);
  md_ledger_stats (ledgers[0], &after);
  ck_assert_int_eq (before.lease_until, now - MD_SECOND + tuning.guard_lease);
  ck_assert_int_le (after.lease_until, before.lease_until);
}
END_TEST

/* Guards against a quorum that was never held at one instant: a heartbeat that was
   sent before the last attach does not show that the first guard is still held. */
START_TEST (test_quorum_at_one_instant)
{
  MdAttachResult attached = { .attached = true };
  MdShard *shard = entries[0].shard;
  MdTime late;

  cut_links (&entries[0], 3);
  md_shard_acquire (shard, NULL, 0, now);
  for (unsigned i = 0; i < 2; i++)
    {
      md_shard_attach_reply (shard, guard_id (i), &attached, 0, now + 10 * i);
      md_shard_records_end (shard, guard_id (i), now + 10 * i);
    }
  md_shard_record_ack (shard, guard_id (0), now + 5, 0, now + 30);
  md_shard_record_ack (shard, guard_id (1), now + 20, 0, now + 30);
  /* Late enough that the third guard is no longer waited for. */
  late = now + tuning.fence_after + 20;
  md_shard_tick (shard, late, wall ());
  ck_assert_int_eq (md_shard_state (shard), MD_SHARD_ACQUIRING);
  md_shard_record_ack (shard, guard_id (0), late, 0, late + 1);
  md_shard_record_ack (shard, guard_id (1), late, 0, late + 1);
  ck_assert_int_eq (md_shard_state (shard), MD_SHARD_SERVING);
}
END_TEST

/* Guards against evidence from a guard that is held by somebody else, or that was
   taken after the owner had lost its quorum. */
START_TEST (test_evidence_needs_held_guards)
{
  Entry *e = &entries[0];
  MdAttachResult attached = { .attached = true };

  register_guards (e, 0, 4, 6);
  serve (e, 7, 0);
  for (unsigned i = 0; i < 6; i++)
    {
      now += MD_SECOND / 2;
      md_shard_record_ack (e->shard, guard_id (0), now, 6, now);
      md_shard_record_ack (e->shard, guard_id (3), now, 6, now);
      md_shard_tick (e->shard, now, wall ());
    }
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SUSPENDED);
  md_shard_attach_reply (e->shard, guard_id (3), &attached, 0, now);
  md_shard_records_end (e->shard, guard_id (3), now);
  md_shard_record_ack (e->shard, guard_id (0), now + 1, 6, now + 1);
  md_shard_record_ack (e->shard, guard_id (3), now + 1, 6, now + 1);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SUSPENDED);
}
END_TEST

/* Guards against a new guard that is used, or an old set that is given up, before
   a successor is bound to learn of the change; and against several changes at
   once. */
START_TEST (test_joint_adoption)
{
  Entry *e = &entries[0];

  serve (e, 0xf, 0);
  known[3] = 0;
  register_guards (e, 0, 4, 7);
  register_guards (e, 0, 5, 8);
  pump (e);
  ck_assert_uint_eq (md_shard_offset (e->shard), 7);
  md_shard_record_ack (e->shard, guard_id (0), now, 7, now);
  md_shard_record_ack (e->shard, guard_id (3), now, 7, now);
  pump (e);
  ck_assert_uint_eq (md_shard_offset (e->shard), 7);
  ck_assert_uint_eq (e->used, 7);
  md_shard_record_ack (e->shard, guard_id (1), now, 7, now);
  pump (e);
  ck_assert_uint_eq (md_shard_offset (e->shard), 8);
  cut_links (e, 0x1f);
  pass (3 * MD_SECOND);
  ck_assert_uint_eq (e->used, 0x1f);
}
END_TEST

/* Guards against a successor that counts only the newest set of guards although
   the former owner may rely on an older one, and against an entry that hides this
   by announcing offsets while it acquires. */
START_TEST (test_successor_needs_old_view)
{
  Entry *e = &entries[1];

  for (unsigned i = 0; i < 3; i++)
    known[i] = 5;
  register_guards (e, 0, 8, 20);
  cut_links (e, 0xf9);
  acquire (e, 0);
  pass (3 * MD_SECOND);
  ck_assert_uint_eq (md_shard_offset (e->shard), 0);
  ck_assert_uint_eq (e->serves, 0);
  cut_links (e, 0xfb);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->serves, 1);
  ck_assert_uint_ne (md_shard_offset (e->shard), 0);
}
END_TEST

/* Guards against a shard that stays without an owner because one guard, cut off
   for long, reports a set whose members are gone. */
START_TEST (test_straggler_does_not_block)
{
  uint64_t ids[] = { guard_id (0), guard_id (3), guard_id (4), guard_id (5), guard_id (6) };
  Entry *e = &entries[1];

  known[0] = 5;
  for (unsigned i = 3; i < 7; i++)
    known[i] = 20;
  md_shard_set_guards (e->shard, ids, 5, 20, now);
  cut_links (e, 0x79);
  acquire (e, 0);
  pass (MD_SECOND);
  ck_assert_uint_eq (e->serves, 1);
}
END_TEST

/* Guards against an owner that goes on asking a guard which another entry took and gave
   up meanwhile: the guard must be attached again. */
START_TEST (test_detached_guard_is_attached_again)
{
  MdAttachResult detached = { .reason = MD_REASON_DETACHED };
  Entry *e = &entries[0];
  unsigned attaches;

  serve (e, 7, 0);
  pass (MD_SECOND);
  attaches = e->attaches;
  md_shard_attach_reply (e->shard, guard_id (2), &detached, 0, now);
  pump (e);
  ck_assert_uint_eq (e->attaches, attaches + 1);
  pass (MD_SECOND);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SERVING);
  ck_assert_uint_eq (e->attaches, attaches + 1);
}
END_TEST

/* Guards against a guard that is not used again after it was silent for so long that its attempts
   were given up. */
START_TEST (test_given_up_guard_is_used_again)
{
  Entry *e = &entries[0];
  unsigned attaches;

  serve (e, 7, 0);
  pass (MD_SECOND);
  attaches = e->attaches;
  e->used = 0;
  cut_links (e, 3);
  md_shard_guard_given_up (e->shard, guard_id (2), now);
  pass (MD_SECOND);
  ck_assert_uint_eq (e->attaches, attaches);
  cut_links (e, 7);
  pass (MD_SECOND);
  ck_assert_uint_eq (e->attaches, attaches + 1);
  ck_assert_uint_eq (e->used, 4);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SERVING);
}
END_TEST

/* Guards against lifting the cut of a takeover when a guard that was missing was
   restarted: its new process is reached, but what the former one ran is lost. */
START_TEST (test_cut_outlives_restart)
{
  uint64_t ids[] = { guard_id (0), guard_id (1), guard_id (3) };
  Entry *e = &entries[0];

  serve (e, 3, 0);
  ck_assert_uint_eq (e->serves, 1);
  ck_assert_int_gt (e->last.cut_ms, 0);
  md_shard_set_guards (e->shard, ids, 3, 50, now);
  cut_links (e, 11);
  pass (20 * MD_SECOND);
  ck_assert_uint_eq (e->used & 8, 8);
  ck_assert_uint_eq (e->serves, 1);
}
END_TEST

/* Guards against a shard without an owner for ever after most guards restarted,
   and against counting their former processes before their leases have ended. */
START_TEST (test_most_guards_restart)
{
  Entry *e = &entries[0];
  uint64_t old;
  MdTime restart;

  register_guards (e, 0, 4, 6);
  serve (e, 0xf, 0);
  pass (MD_SECOND);
  restart = now;
  cut_links (e, 0x78);
  for (unsigned i = 1; i < 4; i++)
    register_guards (e, i, i + 4, 6 + i);
  while (e->drops == 0 && now < restart + 20 * MD_SECOND)
    pass (MD_SECOND / 2);
  ck_assert (!e->last.fenced);
  old = e->self;
  e->self = 150;
  md_shard_set_incarnation (e->shard, e->self);
  acquire (e, old);
  while (e->serves == 1 && now < restart + 30 * MD_SECOND)
    pass (MD_SECOND / 2);
  ck_assert_uint_eq (e->serves, 2);
  ck_assert_int_ge (now, restart + tuning.guard_lease + tuning.clock_error);
}
END_TEST

/* Guards against two entries that each hold some guards and wait for the other:
   the younger one gives up. */
START_TEST (test_two_acquire)
{
  cut_links (&entries[1], 2);
  acquire (&entries[1], 0);
  cut_links (&entries[0], 4);
  acquire (&entries[0], 0);
  cut_links (&entries[0], 6);
  cut_links (&entries[1], 6);
  pass (10 * MD_SECOND);
  ck_assert_uint_eq (entries[0].drops, 0);
  ck_assert_uint_eq (entries[0].serves, 1);
  ck_assert_uint_eq (entries[1].drops, 1);
  ck_assert_uint_eq (entries[1].serves, 0);
}
END_TEST

/* Guards against an older candidate that keeps a guard from an owner for ever: the
   owner was chosen anew while the candidate was cut off, so it is the younger one. */
START_TEST (test_candidate_yields_to_owner)
{
  serve (&entries[1], 6, 0);
  cut_links (&entries[0], 1);
  acquire (&entries[0], 0);
  pass (MD_SECOND);
  cut_links (&entries[0], 7);
  cut_links (&entries[1], 7);
  pass (20 * MD_SECOND);
  ck_assert_uint_eq (entries[0].drops, 1);
  ck_assert_uint_eq (entries[1].drops, 0);
  ck_assert_int_eq (md_shard_state (entries[1].shard), MD_SHARD_SERVING);
  ck_assert_uint_eq (entries[1].used, 7);
}
END_TEST

/* Guards against an owner that learns of a fence while it hears no other guard, and
   then serves without the fenced guard and what ran there for ever. */
START_TEST (test_fenced_owner_starts_anew)
{
  Entry *e = &entries[0];

  serve (e, 7, 0);
  pass (2 * MD_SECOND);
  cut_links (e, 0);
  pass (tuning.fence_after + MD_SECOND);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_SUSPENDED);
  cut_links (&entries[1], 4);
  acquire (&entries[1], e->self);
  pass (MD_SECOND);
  cut_links (e, 4);
  pass (MD_SECOND);
  ck_assert_uint_eq (e->drops, 0);
  cut_links (e, 7);
  pass (2 * MD_SECOND);
  ck_assert_uint_eq (e->drops, 1);
  ck_assert (e->last.fenced);
}
END_TEST

/* Guards against starts from an earlier ownership that a guard could not tell from
   those of a second one under the same incarnation. */
START_TEST (test_incarnation_is_spent)
{
  Entry *e = &entries[0];

  serve (e, ALL, 0);
  md_shard_release (e->shard, now);
  acquire (e, 0);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_FOLLOWER);
  md_shard_set_incarnation (e->shard, 101);
  acquire (e, 0);
  ck_assert_int_eq (md_shard_state (e->shard), MD_SHARD_ACQUIRING);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("shard");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_quorum_and_cut);
  tcase_add_test (tc, test_cut_of_lost_guards);
  tcase_add_test (tc, test_no_cut);
  tcase_add_test (tc, test_reads_log_first);
  tcase_add_test (tc, test_incumbent_wins);
  tcase_add_test (tc, test_takeover);
  tcase_add_test (tc, test_suspend_and_resume);
  tcase_add_test (tc, test_resume_needs_old_view);
  tcase_add_test (tc, test_suspended_keeps_view);
  tcase_add_test (tc, test_records_first);
  tcase_add_test (tc, test_no_echo_without_evidence);
  tcase_add_test (tc, test_quorum_at_one_instant);
  tcase_add_test (tc, test_evidence_needs_held_guards);
  tcase_add_test (tc, test_joint_adoption);
  tcase_add_test (tc, test_successor_needs_old_view);
  tcase_add_test (tc, test_straggler_does_not_block);
  tcase_add_test (tc, test_detached_guard_is_attached_again);
  tcase_add_test (tc, test_given_up_guard_is_used_again);
  tcase_add_test (tc, test_cut_outlives_restart);
  tcase_add_test (tc, test_most_guards_restart);
  tcase_add_test (tc, test_two_acquire);
  tcase_add_test (tc, test_candidate_yields_to_owner);
  tcase_add_test (tc, test_fenced_owner_starts_anew);
  tcase_add_test (tc, test_incarnation_is_spent);
  return run_suite ("shard", tc);
}
