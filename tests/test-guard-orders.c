/* test-guard-orders.c -- which reports a guard sends to which entries, over the loopback interface

   The test plays three entries; the guard reports each change to one of them only. */

#include "run-guard.h"
#include "suite.h"

#include <stdio.h>

#define ENTRIES 3
#define PASSES 20000 /* only ends a broken run */

typedef struct
{
  MdLinks *links;
  MdLink *link;    /* to the guard; NULL: not connected yet */
  int reports;     /* received */
  bool sparse;     /* the last of them */
  bool old;        /* of a build without sparse reports */
  uint64_t number; /* incarnation */
  int ends;        /* in its reports */
  int checkpoints; /* of these ends */
} StandIn;

static MdRunGuard guard;
static StandIn entries[ENTRIES];

static void
on_up (void *user MD_UNUSED, MdLink *link MD_UNUSED)
{
}

static void
on_down (void *user MD_UNUSED, MdLink *link MD_UNUSED, const MdError *error MD_UNUSED)
{
}

static void
send_welcome (StandIn *entry)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunWelcome welcome = MD__RUN_WELCOME__INIT;
  char name[16];

  snprintf (name, sizeof name, "entry-%d", (int)entry->number);
  welcome.name = name;
  welcome.incarnation = entry->number;
  welcome.sparse_reports = !entry->old;
  frame.msg_case = MD__FRAME__MSG_RUN_WELCOME;
  frame.run_welcome = &welcome;
  md_link_send (entry->link, &frame);
}

/* Sends a message without orders that asks for full reports for this time, and for reports of
   changes at most once in this interval. */
static void
send_message (StandIn *entry, MdTime follow, MdTime report_interval)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;

  orders.guard = guard.incarnation;
  orders.follow_us = (uint64_t)follow;
  orders.report_interval_us = (uint64_t)report_interval;
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  md_link_send (entry->link, &frame);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  StandIn *entry = user;

  entry->link = link;
  if (frame->msg_case == MD__FRAME__MSG_RUN_HELLO)
    send_welcome (entry);
  if (frame->msg_case != MD__FRAME__MSG_RUN_REPORT)
    return;
  entry->reports++;
  entry->sparse = frame->run_report->interval_us > 0;
  for (size_t i = 0; i < frame->run_report->n_ends; i++)
    {
      entry->ends++;
      entry->checkpoints += frame->run_report->ends[i]->checkpoint[0] != '\0';
    }
}

static const MdLinkHandler entry_handler = { on_up, on_frame, on_down };

static void
poll_all (void)
{
  md_links_poll (guard.daemon.links, md_now () + MD_MS);
  guard.now = md_now ();
  md_guard_orders_poll (&guard);
  md_links_poll (guard.daemon.links, md_now ());
  for (int i = 0; i < ENTRIES; i++)
    md_links_poll (entries[i].links, md_now ());
}

static int
count_sparse (void)
{
  int n = 0;

  for (int i = 0; i < ENTRIES; i++)
    n += entries[i].sparse;
  return n;
}

static void
connect_guard (void)
{
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  md_tuning_default (&tuning);
  guard.now = md_now ();
  guard.incarnation = 7;
  guard.daemon.settings.full_reports = 1;
  md_str_copy (guard.daemon.settings.name, sizeof guard.daemon.settings.name, MD_STR ("guard-1"));
  md_leases_set (&guard.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.daemon.links = md_links_new (&tuning, &md_run_guard_handler, &guard);
  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i].number = (uint64_t)i + 1;
      entries[i].links = md_links_new (&tuning, &entry_handler, &entries[i]);
      ck_assert_int_eq (md_links_listen (entries[i].links, MD_STR ("127.0.0.1:0"), address, &error),
                        MD_OK);
      md_guard_add_peer (&guard, md_str (address), false);
    }
}

static void
teardown (void)
{
  for (int i = 0; i < ENTRIES; i++)
    md_links_free (entries[i].links);
  md_guard_free_peers (&guard);
  md_links_free (guard.daemon.links);
}

static StandIn *
first_sparse_entry (void)
{
  for (int i = 0; i < ENTRIES; i++)
    if (entries[i].sparse)
      return &entries[i];
  return NULL;
}

/* Load pattern: many entries and guards, see sched/coverage.c. Guards against a report of each
   change to every entry, and against none to the one that was chosen. */
START_TEST (one_entry_gets_each_change)
{
  int before[ENTRIES];

  connect_guard ();
  for (int i = 0; i < PASSES && count_sparse () < ENTRIES - 1; i++)
    poll_all ();
  ck_assert_int_eq (count_sparse (), ENTRIES - 1);
  for (int i = 0; i < ENTRIES; i++)
    before[i] = entries[i].reports;
  for (int change = 0; change < 10; change++)
    {
      /* As if so much time had passed since the last report. */
      for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
        peer->reported_at = md_now () - 50 * MD_MS;
      guard.state_version++;
      for (int i = 0; i < 4; i++)
        poll_all ();
    }
  for (int i = 0; i < ENTRIES; i++)
    if (entries[i].sparse)
      ck_assert_int_eq (entries[i].reports, before[i]);
    else
      ck_assert_int_ge (entries[i].reports, before[i] + 10);
}
END_TEST

/* Whether the entry gets a report of a change, this long after the last report. Uses no time of its
   own, so that it does not depend on how fast it runs. */
static bool
reports_change (const StandIn *entry, MdTime since_report)
{
  bool reported = false;

  guard.now = md_now ();
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    peer->reported_at = guard.now - since_report;
  guard.state_version++;
  md_guard_orders_poll (&guard);
  for (const MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    reported |= peer->incarnation == entry->number && peer->reported_at == guard.now;
  return reported;
}

/* Load pattern: many entries, most messages of which have no orders. Guards against a look at every
   entry in each pass of the engine, and against a change that waits until an entry is due. */
START_TEST (entries_are_looked_at_when_due)
{
  connect_guard ();
  for (int i = 0; i < PASSES && count_sparse () < ENTRIES - 1; i++)
    poll_all ();
  guard.now = md_now ();
  md_guard_orders_poll (&guard);
  ck_assert_int_gt (guard.entries_due, guard.now);
  /* Nothing is due, whatever the state of the entries says. */
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    peer->reported_at = 0;
  md_guard_orders_poll (&guard);
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    ck_assert_int_eq (peer->reported_at, 0);
  guard.state_version++;
  md_guard_orders_poll (&guard);
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    ck_assert_int_eq (peer->reported_at, guard.now);
}
END_TEST

/* Load pattern: an entry that is late and asks for fewer reports, see sched/lag.c. Guards against
   a guard that reports each change to it nevertheless, and against fewer reports to the others. */
START_TEST (late_entry_gets_fewer_reports)
{
  const MdTime heartbeat = 100 * MD_MS;
  StandIn *entry = &entries[0];

  connect_guard ();
  guard.daemon.settings.full_reports = ENTRIES;
  for (int i = 0; i < PASSES && (entry->link == NULL || entry->reports < 2); i++)
    poll_all ();
  ck_assert (reports_change (entry, heartbeat / 2));
  send_message (entry, 0, 10 * heartbeat);
  for (int i = 0;
       i < PASSES && guard.peers->report_interval == 0 && guard.peers->next->report_interval == 0
       && guard.peers->next->next->report_interval == 0;
       i++)
    poll_all ();
  ck_assert (!reports_change (entry, heartbeat / 2));
  ck_assert (reports_change (entry, heartbeat));
  ck_assert (reports_change (&entries[1], heartbeat / 2));
}
END_TEST

/* Guards against an entry whose request for full reports has no effect, or one that lasts. */
START_TEST (entry_gets_full_reports_for_a_while)
{
  StandIn *entry;

  connect_guard ();
  for (int i = 0; i < PASSES && count_sparse () < ENTRIES - 1; i++)
    poll_all ();
  entry = first_sparse_entry ();
  ck_assert_ptr_nonnull (entry);
  send_message (entry, 200 * MD_MS, 0);
  for (int i = 0; i < PASSES && entry->sparse; i++)
    poll_all ();
  ck_assert (!entry->sparse);
  for (int i = 0; i < PASSES && !entry->sparse; i++)
    poll_all ();
  ck_assert (entry->sparse);
}
END_TEST

/* Guards against an entry of an earlier build that closes the connection: it expects a report with
   each heartbeat. */
START_TEST (old_entries_get_full_reports)
{
  for (int i = 0; i < ENTRIES; i++)
    entries[i].old = true;
  connect_guard ();
  for (int i = 0; i < PASSES; i++)
    {
      int few = 0;

      poll_all ();
      for (int k = 0; k < ENTRIES; k++)
        few += entries[k].reports < 5;
      if (few == 0)
        break;
    }
  for (int i = 0; i < ENTRIES; i++)
    ck_assert_int_ge (entries[i].reports, 5);
  ck_assert_int_eq (count_sparse (), 0);
}
END_TEST

/* Whether the guard has read a request of this entry for full reports. */
static bool
is_followed (const StandIn *entry)
{
  for (const MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    if (peer->incarnation == entry->number)
      return peer->followed_until > 0;
  return false;
}

/* Guards against undefined behaviour at an empty specification, which protobuf-c decodes to a text
   without an address; the address sanitizer variant ends the process at it. */
START_TEST (empty_specification_is_read)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;
  ProtobufCBinaryData spec = { .len = 0, .data = NULL };
  StandIn *entry = &entries[0];

  connect_guard ();
  for (int i = 0; i < PASSES && (entry->link == NULL || entry->reports < 1); i++)
    poll_all ();
  orders.guard = guard.incarnation;
  orders.follow_us = MD_SECOND;
  orders.n_specs = 1;
  orders.specs = &spec;
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  md_link_send (entry->link, &frame);
  for (int i = 0; i < PASSES && !is_followed (entry); i++)
    poll_all ();
  ck_assert (is_followed (entry));
}
END_TEST

/* Guards against a guard that is killed for its memory, or has no descriptor left for its worker,
   after one message of an entry that names very many addresses: each was dialled. */
START_TEST (addresses_in_a_message_are_bounded)
{
  enum
  {
    ADDRESSES = 4 * MD_MAX_ENTRIES
  };
  static char text[ADDRESSES][MD_ADDRESS_BYTES];
  static char *names[ADDRESSES];
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunWelcome welcome = MD__RUN_WELCOME__INIT;
  unsigned n = 0;

  connect_guard ();
  for (int i = 0; i < PASSES && entries[0].reports == 0; i++)
    poll_all ();
  for (int i = 0; i < ADDRESSES; i++)
    {
      /* Nobody listens on these. */
      snprintf (text[i], MD_ADDRESS_BYTES, "127.200.%d.%d:9", i / 250, 1 + i % 250);
      names[i] = text[i];
    }
  welcome.name = "entry-1";
  welcome.incarnation = 1;
  welcome.entries = names;
  welcome.n_entries = ADDRESSES;
  frame.msg_case = MD__FRAME__MSG_RUN_WELCOME;
  frame.run_welcome = &welcome;
  md_link_send (entries[0].link, &frame);
  for (int i = 0; i < PASSES && guard.directory.n < MD_MAX_ENTRIES; i++)
    poll_all ();
  for (const MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    n++;
  ck_assert_uint_eq (n, MD_MAX_ENTRIES);
}
END_TEST

/* Lets 31 s pass for an entry at this address: nothing was heard of it meanwhile. */
static void
age_entry (MdStr address)
{
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    if (md_str_equal (md_str (peer->address), address))
      peer->last_contact -= 31 * MD_SECOND;
  for (unsigned i = 0; i < guard.directory.n; i++)
    if (md_str_equal (md_str (guard.directory.address[i]), address))
      guard.directory.last_seen[i] -= 31 * MD_SECOND;
}

/* Guards against a guard that never connects to an entry which starts again, at the same address,
   30 s after its former process ended: the store's record named the address while it was still
   known, and right after that it was dropped. */
START_TEST (announced_entry_is_dialled_on)
{
  MdStr address = MD_STR ("127.200.0.1:9"); /* nobody listens there */

  connect_guard ();
  md_guard_add_peer (&guard, address, false);
  age_entry (address);
  guard.entries_due = 0;
  poll_all ();
  ck_assert_uint_eq (guard.n_peers, ENTRIES); /* dropped */
  md_guard_add_peer (&guard, address, false);
  age_entry (address);
  md_guard_add_peer (&guard, address, false); /* announced again */
  guard.entries_due = 0;
  poll_all ();
  ck_assert_uint_eq (guard.n_peers, ENTRIES + 1);
}
END_TEST

#define MANY_ORDERS 20000

/* Sends orders with these IDs in one message, and cancels them in it. */
static void
send_orders (StandIn *entry, uint64_t first, size_t n, bool cancelled)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;
  Md__RunOrder *list = calloc (n, sizeof *list);
  Md__RunOrder **pointers = calloc (n, sizeof *pointers);
  uint64_t *ids = calloc (n, sizeof *ids);
  ProtobufCBinaryData spec = { 4, (uint8_t *)"ms=1" };

  for (size_t i = 0; i < n; i++)
    {
      md__run_order__init (&list[i]);
      list[i].id = ids[i] = first + i;
      list[i].task = "a1.0.0.0";
      pointers[i] = &list[i];
    }
  orders.guard = guard.incarnation;
  orders.echo_us = md_now ();
  orders.specs = &spec;
  orders.n_specs = 1;
  orders.orders = pointers;
  orders.n_orders = n;
  orders.cancels = ids;
  orders.n_cancels = cancelled ? n : 0;
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  md_link_send (entry->link, &frame);
  free (list);
  free (pointers);
  free (ids);
}

/* Guards against a guard that is busy for longer than its leases after one message
   with very many orders. */
START_TEST (orders_in_a_message_are_bounded)
{
  MdGuardPeer *peer;
  uint64_t connections;

  connect_guard ();
  for (int i = 0; i < PASSES && entries[0].reports < 2; i++)
    poll_all ();
  for (peer = guard.peers; peer != NULL && peer->incarnation != 1; peer = peer->next)
    ;
  ck_assert_ptr_nonnull (peer);
  guard.queue.accepting = true;
  connections = guard.connections;
  send_orders (&entries[0], 1, MANY_ORDERS, true);
  for (int i = 0; i < PASSES && guard.connections == connections; i++)
    poll_all ();
  ck_assert_uint_gt (guard.connections, connections); /* dialled again */
  ck_assert_uint_eq (guard.queue.waiting.n, 0);
  ck_assert_uint_eq (guard.ends, 0);
}
END_TEST

/* Guards against the same by an entry that never acknowledges an end. */
START_TEST (ends_of_an_entry_are_bounded)
{
  MdGuardPeer *peer;
  uint64_t sent = 0;

  connect_guard ();
  for (int i = 0; i < PASSES && entries[0].reports < 2; i++)
    poll_all ();
  for (peer = guard.peers; peer != NULL && peer->incarnation != 1; peer = peer->next)
    ;
  ck_assert_ptr_nonnull (peer);
  while (sent < 70000)
    {
      send_orders (&entries[0], sent + 1, 1000,
                   true); /* not accepted, so that each one ends at once */
      sent += 1000;
      for (int i = 0; i < PASSES && peer->last_order < sent; i++)
        poll_all ();
    }
  ck_assert_uint_eq (peer->n_ends, 65536);
}
END_TEST

#define LONG_ENDS 6
#define LONG_CHECKPOINT_BYTES ((size_t)3 << 20)

/* Guards against a guard that cannot tell the ends of its runs, on any connection, because their
   checkpoints together are longer than a frame. */
START_TEST (ends_with_long_checkpoints_are_told)
{
  MD_AUTO_BUF checkpoint = { 0 };
  uint64_t connections;

  ck_assert (md_buf_reserve (&checkpoint, LONG_CHECKPOINT_BYTES));
  memset (checkpoint.data, 'c', LONG_CHECKPOINT_BYTES);
  checkpoint.data[LONG_CHECKPOINT_BYTES] = '\0';
  connect_guard ();
  for (int i = 0; i < PASSES && entries[0].reports < 2; i++)
    poll_all ();
  guard.queue.accepting = true;
  connections = guard.connections;
  send_orders (&entries[0], 1, LONG_ENDS, false);
  for (int i = 0; i < PASSES && guard.queue.waiting.n < LONG_ENDS; i++)
    poll_all ();
  for (uint64_t id = 1; id <= LONG_ENDS; id++)
    {
      MdGuardRun *run = md_guard_find_order (&guard, 1, id);

      ck_assert_ptr_nonnull (run);
      md_guard_end_run (&guard, run, MD_RUN_FAILED, checkpoint.data);
    }
  for (int i = 0; i < PASSES && entries[0].ends < LONG_ENDS; i++)
    poll_all ();
  ck_assert_int_eq (entries[0].ends, LONG_ENDS);
  ck_assert_int_ge (entries[0].checkpoints, 1);
  ck_assert_int_lt (entries[0].checkpoints, LONG_ENDS);
  ck_assert_uint_eq (guard.connections, connections);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("guard-orders");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, one_entry_gets_each_change);
  tcase_add_test (tc, entries_are_looked_at_when_due);
  tcase_add_test (tc, late_entry_gets_fewer_reports);
  tcase_add_test (tc, entry_gets_full_reports_for_a_while);
  tcase_add_test (tc, old_entries_get_full_reports);
  tcase_add_test (tc, empty_specification_is_read);
  tcase_add_test (tc, addresses_in_a_message_are_bounded);
  tcase_add_test (tc, announced_entry_is_dialled_on);
  tcase_add_test (tc, orders_in_a_message_are_bounded);
  tcase_add_test (tc, ends_of_an_entry_are_bounded);
  tcase_add_test (tc, ends_with_long_checkpoints_are_told);
  return run_suite ("guard-orders", tc);
}
