/* test-members.c -- heartbeat budget, reconnect delays, failure detector */

#include "md-private.h"

#include <check.h>
#include <stdio.h>

static MdTuning tuning;

static void
set_up (void)
{
  md_tuning_default (&tuning);
}

/* A fixed sequence of 64-bit random numbers (splitmix64). */
static uint64_t
next_random (uint64_t *state)
{
  uint64_t z = *state += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/* Guards against heartbeats that outgrow the byte budget with the number of
   peers, and against intervals so long that a lease runs out. */
START_TEST (test_heartbeat_interval)
{
  ck_assert_int_eq (md_heartbeat_interval (&tuning, 0), 500 * MD_MS);
  ck_assert_int_eq (md_heartbeat_interval (&tuning, 10), 500 * MD_MS);
  ck_assert_int_eq (md_heartbeat_interval (&tuning, 50), 750 * MD_MS);
  ck_assert_int_eq (md_heartbeat_interval (&tuning, 68), MD_SECOND);
  ck_assert_int_eq (md_heartbeat_interval (&tuning, 680), MD_SECOND);
}
END_TEST

/* Guards against a storm of connections when an entry comes back: 680 peers that
   failed equally often must not dial at the same time. */
START_TEST (test_reconnect_spread)
{
  enum
  {
    PEERS = 680,
    BUCKETS = 50, /* of 100 ms, between 50 ms and 5.05 s */
  };
  unsigned counts[BUCKETS] = { 0 };
  uint64_t state = 1;

  for (int i = 0; i < PEERS; i++)
    {
      MdTime delay = md_reconnect_delay (&tuning, 8, next_random (&state));

      ck_assert (delay >= tuning.reconnect_min && delay <= tuning.reconnect_max);
      counts[(delay - tuning.reconnect_min) / (100 * MD_MS)]++;
    }
  for (int i = 0; i < BUCKETS; i++)
    ck_assert_uint_le (counts[i], 3 * PEERS / BUCKETS);
}
END_TEST

/* Guards against delays that never grow, overflow, or reach zero. */
START_TEST (test_reconnect_range)
{
  ck_assert_int_eq (md_reconnect_delay (&tuning, 0, 0), 50 * MD_MS);
  ck_assert (md_reconnect_delay (&tuning, 0, UINT64_MAX) > 99 * MD_MS);
  ck_assert (md_reconnect_delay (&tuning, 1, UINT64_MAX) > 199 * MD_MS);
  ck_assert (md_reconnect_delay (&tuning, 1000000, UINT64_MAX) > 4999 * MD_MS);
  ck_assert (md_reconnect_delay (&tuning, 1000000, UINT64_MAX) <= 5 * MD_SECOND);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Failure detector                                                   */

enum
{
  ENTRIES = 20,  /* every 35th member */
  MEMBERS = 700, /* with 680 guards */
  DOMAINS = 7,   /* members 0..99 in the first, and so on */
};

static MdMembers *members;
static MdTime now;                /* of the fake clock */
static uint64_t offset;           /* of the last record */
static int64_t log_ms;            /* the log's clock */
static bool silent[MEMBERS];      /* member sends nothing */
static unsigned lost;             /* LOST decisions */
static int64_t last_lost_ms;      /* of the last one */
static unsigned entered[8];       /* STATE decisions by state entered */
static uint64_t current[MEMBERS]; /* incarnation of each member */

static MdMemberInfo
make_info (MdRole role, const char *name, uint64_t incarnation)
{
  return (MdMemberInfo){ .role = role, .name = md_str (name), .incarnation = incarnation };
}

static int
add (MdRole role, const char *name, uint64_t incarnation)
{
  MdMemberInfo info = make_info (role, name, incarnation);

  return md_members_register (members, &info, ++offset, log_ms, now);
}

static void
drain (void)
{
  MdMembersDecision decision;

  while (md_members_next (members, &decision))
    if (decision.kind == MD_MEMBERS_LOST)
      {
        lost++;
        last_lost_ms = decision.lost_ms;
      }
    else
      entered[decision.after]++;
}

static void
forget_decisions (void)
{
  drain ();
  lost = 0;
  memset (entered, 0, sizeof entered);
}

static MdMemberState
state_of (uint64_t incarnation)
{
  const MdMember *member = md_members_find (members, incarnation);

  return member ? member->state : MD_MEMBER_GONE;
}

static void
set_up_members (void)
{
  set_up ();
  now = 1000 * MD_SECOND;
  log_ms = 1700000000000;
  members = md_members_new (&tuning);
}

static void
tear_down_members (void)
{
  md_members_free (members);
}

static void
register_member (int i, uint64_t incarnation)
{
  char name[16];

  snprintf (name, sizeof name, "node-%d", i);
  current[i] = incarnation;
  ck_assert_int_eq (add (i % 35 ? MD_ROLE_GUARD : MD_ROLE_ENTRY, name, incarnation), MD_OK);
  md_members_set_interval (members, incarnation, MD_SECOND, now);
}

/* Lets time pass; member i sends a heartbeat in step i % 10 of each second. */
static void
run (MdTime duration)
{
  for (MdTime end = now + duration; now < end; now += 100 * MD_MS)
    {
      for (int i = (int)(now / (100 * MD_MS) % 10); i < MEMBERS; i += 10)
        if (!silent[i])
          md_members_record_contact (members, current[i], now);
      md_members_tick (members, now);
      drain ();
    }
}

static void
silence_range (int first, int last, bool value)
{
  for (int i = first; i <= last; i++)
    silent[i] = value;
}

static void
set_up_fleet (void)
{
  set_up_members ();
  memset (silent, 0, sizeof silent);
  for (int i = 0; i < MEMBERS; i++)
    register_member (i, 1000 + (uint64_t)i);
  run (2 * MD_SECOND);
  forget_decisions ();
}

static unsigned
count_state (MdMemberState state)
{
  unsigned n = 0;

  for (size_t i = 0; i < md_members_count (members); i++)
    n += md_members_at (members, i)->state == state;
  return n;
}

/* Advances without hearing anybody, in steps short enough not to be a pause. */
static void
wait (MdTime duration)
{
  MdTime end = now + duration;

  while (now < end)
    {
      now = now + 250 * MD_MS < end ? now + 250 * MD_MS : end;
      md_members_tick (members, now);
    }
}

/* Guards against declaring a member dead before others could speak for it, and
   against never declaring it dead. */
START_TEST (test_silence)
{
  add (MD_ROLE_ENTRY, "e1", 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_JOINING);
  md_members_record_contact (members, 1, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LIVE);
  wait (3 * MD_SECOND - 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LIVE);
  wait (tuning.heartbeat_min / 10 + 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_SUSPECT);
  wait (MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against a registered process that never comes up and stays joining. */
START_TEST (test_never_heard)
{
  add (MD_ROLE_ENTRY, "e1", 1);
  wait (8 * MD_SECOND - 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_JOINING);
  wait (2 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against a member that is told to send rarely being suspected between
   two heartbeats, and one that sends often being noticed too late. */
START_TEST (test_expected_interval)
{
  add (MD_ROLE_GUARD, "g1", 1);
  add (MD_ROLE_GUARD, "g2", 2);
  md_members_record_contact (members, 1, now);
  md_members_record_contact (members, 2, now);
  md_members_set_interval (members, 2, 500 * MD_MS, now);
  wait (14 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LIVE);
  ck_assert_int_eq (state_of (2), MD_MEMBER_DEAD);
  wait (20 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against taking a broken link for a dead process: what another process
   heard within fence_after lives; older evidence proves nothing. */
START_TEST (test_heard_by_others)
{
  add (MD_ROLE_ENTRY, "e1", 1);
  add (MD_ROLE_ENTRY, "e2", 2);
  md_members_record_contact (members, 1, now);
  md_members_record_contact (members, 2, now);
  wait (5 * MD_SECOND);
  md_members_record_peer_contact (members, 1, tuning.fence_after - 1, now);
  md_members_record_peer_contact (members, 2, tuning.fence_after, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_UNREACHABLE);
  ck_assert_int_eq (state_of (2), MD_MEMBER_DEAD);
  md_members_record_peer_contact (members, 1, 0, now);
  wait (tuning.fence_after - 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_UNREACHABLE);
  wait (tuning.heartbeat_min / 10 + 1);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against treating a paused process like a restarted one: it comes back
   with its incarnation, and nothing is lost. */
START_TEST (test_paused_member)
{
  add (MD_ROLE_GUARD, "g1", 1);
  md_members_record_contact (members, 1, now);
  wait (60 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
  md_members_record_contact (members, 1, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LIVE);
  drain ();
  ck_assert_uint_eq (lost, 0);
}
END_TEST

/* Guards against an entry that was paused itself and takes all others for dead
   when it wakes; those that were dead before stay dead. */
START_TEST (test_own_pause)
{
  add (MD_ROLE_ENTRY, "e1", 1);
  add (MD_ROLE_ENTRY, "e2", 2);
  md_members_record_contact (members, 1, now);
  md_members_record_contact (members, 2, now);
  wait (3 * MD_SECOND);
  md_members_record_contact (members, 1, now);
  wait (MD_SECOND);
  now += 60 * MD_SECOND;
  md_members_tick (members, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LIVE);
  ck_assert_int_eq (state_of (2), MD_MEMBER_DEAD);
  wait (5 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against new work for a member that leaves, and against an announcement
   that a later heartbeat takes back. */
START_TEST (test_leaving)
{
  add (MD_ROLE_GUARD, "g1", 1);
  md_members_set_leaving (members, 1, now);
  md_members_record_contact (members, 1, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LEAVING);
  wait (21 * MD_SECOND);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
  md_members_record_contact (members, 1, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_LEAVING);
  ck_assert_int_eq (md_members_remove (members, 1, true, ++offset, log_ms, now), MD_OK);
  ck_assert_int_eq (state_of (1), MD_MEMBER_GONE);
  drain ();
  ck_assert_uint_eq (lost, 0);
  ck_assert_uint_eq (md_members_count (members), 0);
  ck_assert_ptr_null (md_members_find_name (members, MD_ROLE_GUARD, MD_STR ("g1")));
}
END_TEST

/* Guards against a restarted guard whose lost records go unnoticed, whether it
   is replaced or removed, and against loss reported for an entry. */
START_TEST (test_lost)
{
  add (MD_ROLE_GUARD, "g1", 1);
  md_members_set_leaving (members, 1, now);
  log_ms += 5000;
  add (MD_ROLE_GUARD, "g1", 2);
  drain ();
  ck_assert_uint_eq (lost, 1);
  ck_assert_int_eq (last_lost_ms, log_ms);
  md_members_remove (members, 2, false, ++offset, log_ms, now);
  drain ();
  ck_assert_uint_eq (lost, 2);
  add (MD_ROLE_GUARD, "g1", 3);
  add (MD_ROLE_ENTRY, "g1", 4);
  add (MD_ROLE_ENTRY, "g1", 5);
  drain ();
  ck_assert_uint_eq (lost, 2);
  ck_assert_int_eq (state_of (3), MD_MEMBER_JOINING);
  ck_assert_int_eq (state_of (4), MD_MEMBER_DEAD);
}
END_TEST

/* Guards against a heartbeat that was on its way when its sender was replaced. */
START_TEST (test_replaced_stays_dead)
{
  add (MD_ROLE_GUARD, "g1", 1);
  add (MD_ROLE_GUARD, "g1", 2);
  md_members_record_contact (members, 1, now);
  md_members_record_peer_contact (members, 1, 0, now);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
  ck_assert_uint_eq (md_members_count (members), 1);
  ck_assert_uint_eq (md_members_find_name (members, MD_ROLE_GUARD, MD_STR ("g1"))->info.incarnation,
                     2);
}
END_TEST

/* Guards against records that are applied twice or out of order, and against a
   repeated append of a replaced process that throws out its successor. */
START_TEST (test_old_records)
{
  MdMemberInfo info = make_info (MD_ROLE_GUARD, "g1", 1);

  add (MD_ROLE_GUARD, "g1", 1);
  add (MD_ROLE_GUARD, "g1", 2);
  drain ();
  ck_assert_int_eq (md_members_remove (members, 2, false, offset - 1, log_ms, now), MD_OK);
  info.incarnation = 3;
  ck_assert_int_eq (md_members_register (members, &info, offset - 1, log_ms, now), MD_OK);
  add (MD_ROLE_GUARD, "g1", 1);
  ck_assert_int_eq (state_of (2), MD_MEMBER_JOINING);
  ck_assert_ptr_null (md_members_find (members, 3));
  ck_assert_uint_eq (md_members_offset (members), 3);
  info.incarnation = 0;
  ck_assert_int_eq (md_members_register (members, &info, 9, log_ms, now), MD_E_INVALID);
  ck_assert_int_eq (md_members_remove (members, 77, false, 10, log_ms, now), MD_E_NOT_FOUND);
  ck_assert_uint_eq (md_members_offset (members), 10);
}
END_TEST

/* Guards against members that stay in the list because a snapshot ended several
   of them at one offset. */
START_TEST (test_removals_of_snapshot)
{
  add (MD_ROLE_GUARD, "g1", 1);
  add (MD_ROLE_GUARD, "g2", 2);
  ck_assert_int_eq (md_members_remove (members, 1, false, 9, log_ms, now), MD_OK);
  ck_assert_int_eq (md_members_remove (members, 2, false, 9, log_ms, now), MD_OK);
  ck_assert_uint_eq (md_members_count (members), 0);
  drain ();
  ck_assert_uint_eq (lost, 2);
}
END_TEST

/* Guards against a process without a record that replaces a registered one, and
   against its staying in the list for ever. */
START_TEST (test_unregistered)
{
  MdMemberInfo info = make_info (MD_ROLE_ENTRY, "e1", 2);

  add (MD_ROLE_ENTRY, "e1", 1);
  ck_assert_int_eq (md_members_register (members, &info, 0, 0, now), MD_OK);
  md_members_record_contact (members, 2, now);
  ck_assert_int_eq (state_of (2), MD_MEMBER_LIVE);
  ck_assert_uint_eq (md_members_find_name (members, MD_ROLE_ENTRY, MD_STR ("e1"))->info.incarnation,
                     1);
  add (MD_ROLE_ENTRY, "e1", 2);
  ck_assert_int_eq (state_of (1), MD_MEMBER_DEAD);
  ck_assert_int_eq (state_of (2), MD_MEMBER_LIVE);
  info.incarnation = 3;
  md_members_register (members, &info, 0, 0, now);
  drain ();
  wait (tuning.reconnect_max + 5 * MD_SECOND);
  drain ();
  wait (tuning.removal_delay);
  ck_assert_ptr_null (md_members_find (members, 3));
  ck_assert_uint_eq (md_members_count (members), 1);
}
END_TEST

/* Guards against replacements that leak members or miss a loss: a day's 130
   replacements, spread over the day, among 700 members. */
START_TEST (test_replacements)
{
  for (int i = 0; i < 130; i++)
    {
      log_ms += 660 * 1000;
      register_member (1 + i * 5, 5000 + (uint64_t)i);
      run (2 * MD_SECOND);
      ck_assert_uint_eq (entered[MD_MEMBER_DEAD], (unsigned)i + 1);
    }
  /* None of the replaced members 1, 6, ..., 646 is an entry. */
  ck_assert_uint_eq (lost, 130);
  ck_assert_uint_eq (md_members_count (members), MEMBERS);
  ck_assert_uint_eq (count_state (MD_MEMBER_LIVE), MEMBERS);
  ck_assert_ptr_null (md_members_find (members, 1001));
}
END_TEST

/* Guards against losses that spread to members that still send, or that change
   the list: a rack of three workers, then a failure domain of 100 members. */
START_TEST (test_rack_and_domain)
{
  silence_range (36, 38, true);
  run (4200 * MD_MS);
  ck_assert_uint_eq (count_state (MD_MEMBER_DEAD), 3);
  ck_assert_uint_eq (count_state (MD_MEMBER_LIVE), MEMBERS - 3);
  silence_range (MEMBERS / DOMAINS, 2 * MEMBERS / DOMAINS - 1, true);
  run (4200 * MD_MS + MD_SECOND);
  ck_assert_uint_eq (count_state (MD_MEMBER_DEAD), 103);
  ck_assert_uint_eq (count_state (MD_MEMBER_LIVE), MEMBERS - 103);
  ck_assert_uint_eq (md_members_count (members), MEMBERS);
  ck_assert_uint_eq (lost, 0);
}
END_TEST

/* Guards against a disconnection of two regions that loses registrations, moves
   ownership back to nobody, or is reported over and over. */
START_TEST (test_region_hour)
{
  uint64_t owner = md_members_owner (members, MD_STR ("festdesk/0"));

  silence_range (300, MEMBERS - 1, true);
  run (3600 * MD_SECOND);
  ck_assert_uint_eq (count_state (MD_MEMBER_DEAD), 400);
  ck_assert_uint_eq (entered[MD_MEMBER_DEAD], 400);
  ck_assert_uint_ne (md_members_owner (members, MD_STR ("festdesk/0")), 0);
  silence_range (300, MEMBERS - 1, false);
  run (2 * MD_SECOND);
  ck_assert_uint_eq (count_state (MD_MEMBER_LIVE), MEMBERS);
  ck_assert_uint_eq (entered[MD_MEMBER_LIVE], 400);
  ck_assert_uint_eq (lost, 0);
  ck_assert_uint_eq (md_members_owner (members, MD_STR ("festdesk/0")), owner);
}
END_TEST

/* Guards against a flapping member that fills the list of decisions of a slow
   reader, or counts as lost. */
START_TEST (test_flapping)
{
  MdMembersDecision decision;

  for (int i = 0; i < 1000; i++)
    {
      wait (5 * MD_SECOND);
      md_members_record_contact (members, current[36], now);
    }
  wait (5 * MD_SECOND);
  for (int i = 0; i < MEMBERS; i++)
    {
      ck_assert (md_members_next (members, &decision));
      ck_assert_int_eq (decision.kind, MD_MEMBERS_STATE);
      ck_assert_int_eq (decision.before, MD_MEMBER_LIVE);
      ck_assert_int_eq (decision.after, MD_MEMBER_DEAD);
    }
  ck_assert (!md_members_next (members, &decision));
}
END_TEST

/* Guards against a loss of one entry that moves the shards of others, against a
   dead owner, and against a shard that moves because its owner restarted. */
START_TEST (test_owner)
{
  enum
  {
    SHARDS = 200,
  };
  uint64_t before[SHARDS];
  uint64_t victim = current[35];
  unsigned moved = 0;

  for (int i = 0; i < SHARDS; i++)
    before[i] = md_members_owner (members, md_str_n (&i, sizeof i));
  silent[35] = true;
  run (4200 * MD_MS);
  for (int i = 0; i < SHARDS; i++)
    {
      uint64_t after = md_members_owner (members, md_str_n (&i, sizeof i));

      ck_assert (after != victim && after != 0);
      ck_assert ((after != before[i]) == (before[i] == victim));
      moved += after != before[i];
    }
  ck_assert (moved > 0 && moved < 5 * SHARDS / ENTRIES);
  silent[35] = false;
  register_member (35, 9000);
  run (2 * MD_SECOND);
  for (int i = 0; i < SHARDS; i++)
    ck_assert_uint_eq (md_members_owner (members, md_str_n (&i, sizeof i)),
                       before[i] == victim ? 9000 : before[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("members");
  TCase *pacing = tcase_create ("pacing");
  TCase *detector = tcase_create ("detector");
  TCase *fleet = tcase_create ("fleet");
  SRunner *runner = srunner_create (suite);
  int failed;

  suite_add_tcase (suite, pacing);
  tcase_add_checked_fixture (pacing, set_up, NULL);
  tcase_add_test (pacing, test_heartbeat_interval);
  tcase_add_test (pacing, test_reconnect_spread);
  tcase_add_test (pacing, test_reconnect_range);
  suite_add_tcase (suite, detector);
  tcase_add_checked_fixture (detector, set_up_members, tear_down_members);
  tcase_add_test (detector, test_silence);
  tcase_add_test (detector, test_never_heard);
  tcase_add_test (detector, test_expected_interval);
  tcase_add_test (detector, test_heard_by_others);
  tcase_add_test (detector, test_paused_member);
  tcase_add_test (detector, test_own_pause);
  tcase_add_test (detector, test_leaving);
  tcase_add_test (detector, test_lost);
  tcase_add_test (detector, test_replaced_stays_dead);
  tcase_add_test (detector, test_old_records);
  tcase_add_test (detector, test_removals_of_snapshot);
  tcase_add_test (detector, test_unregistered);
  suite_add_tcase (suite, fleet);
  tcase_add_checked_fixture (fleet, set_up_fleet, tear_down_members);
  tcase_add_test (fleet, test_replacements);
  tcase_add_test (fleet, test_rack_and_domain);
  tcase_add_test (fleet, test_region_hour);
  tcase_add_test (fleet, test_flapping);
  tcase_add_test (fleet, test_owner);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? 0 : 1;
}
