/* test-entry-guards.c -- connections of guards at an entry, over the loopback interface

   The test plays a guard that has two connections: it gave the first one up while a
   network fault held back what it had sent there, and dialled anew. */

#include "run-entry.h"
#include "suite.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PASSES 20000 /* only ends a broken run */
#define INCARNATION 77
#define FORMER 4711 /* incarnation of the entry before its restart */

static MdRunEntry entry;
static MdLinks *guard;
static MdLink *connections[2]; /* of the guard, in the order in which they were dialled */
static int ups;
static int downs[2];
static uint64_t follow_us; /* in the last message to the guard */
static uint64_t ordered;   /* orders in all messages to the guard */
static uint64_t last_id;   /* of the last of them */

static void
on_up (void *user MD_UNUSED, MdLink *link MD_UNUSED)
{
  ups++;
}

static void
on_frame (void *user MD_UNUSED, MdLink *link MD_UNUSED, const Md__Frame *frame)
{
  if (frame->msg_case != MD__FRAME__MSG_RUN_ORDERS)
    return;
  follow_us = frame->run_orders->follow_us;
  for (size_t i = 0; i < frame->run_orders->n_orders; i++)
    {
      ck_assert_uint_gt (frame->run_orders->orders[i]->id, last_id);
      last_id = frame->run_orders->orders[i]->id;
      ordered++;
    }
}

static void
on_down (void *user MD_UNUSED, MdLink *link, const MdError *error MD_UNUSED)
{
  downs[link == connections[1]]++;
}

static const MdLinkHandler guard_handler = { on_up, on_frame, on_down };

static void
poll_both (void)
{
  md_links_poll (entry.daemon.links, md_now () + MD_MS);
  md_links_poll (guard, md_now () + MD_MS);
}

static void
setup (void)
{
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  md_tuning_default (&tuning);
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  entry.daemon.links = md_links_new (&tuning, &md_run_entry_handler, &entry);
  guard = md_links_new (&tuning, &guard_handler, NULL);
  ck_assert_int_eq (md_links_listen (entry.daemon.links, MD_STR ("127.0.0.1:0"), address, &error),
                    MD_OK);
  for (int i = 0; i < 2; i++)
    connections[i] = md_links_dial (guard, md_str (address), NULL);
  for (int i = 0; i < PASSES && ups < 2; i++)
    poll_both ();
  ck_assert_int_eq (ups, 2);
}

static void
teardown (void)
{
  md_links_free (guard);
  md_links_free (entry.daemon.links);
  md_entry_free_guards (&entry);
}

static void
send_hello_to (int connection, uint64_t entry_incarnation)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;

  hello.name = "guard-1";
  hello.failure_domain = "lusitania-a";
  hello.incarnation = INCARNATION;
  hello.connection = (uint64_t)connection + 1;
  hello.entry = entry_incarnation;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (connections[connection], &frame);
}

static void
send_hello (int connection)
{
  send_hello_to (connection, 0);
}

static const MdEntryGuard *
known_guard (void)
{
  return entry.workers.n > 0 ? (const MdEntryGuard *)entry.workers.workers[0] : NULL;
}

/* Guards against a task that runs twice: the hello of a connection that the guard gave up
   arrives after that of the present one and does not name the orders that were sent
   there, which would then be taken for lost and ordered again (soak seed 302). */
START_TEST (late_hello_is_refused)
{
  MdLink *present;

  send_hello (1);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (known_guard ());
  present = known_guard ()->link;
  send_hello (0);
  for (int i = 0; i < PASSES && downs[0] + downs[1] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[0], 1);
  ck_assert_int_eq (downs[1], 0);
  ck_assert_ptr_eq (known_guard ()->link, present);
  ck_assert (known_guard ()->worker.connected);
}
END_TEST

/* Guards against a guard that is shut out after its connection was replaced in order. */
START_TEST (later_hello_replaces)
{
  send_hello (0);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  send_hello (1);
  for (int i = 0; i < PASSES && downs[0] + downs[1] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[0], 1);
  ck_assert_int_eq (downs[1], 0);
  ck_assert (known_guard ()->worker.connected);
}
END_TEST

static void
send_hello_of (int connection, char *name)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;

  hello.name = name;
  hello.incarnation = INCARNATION;
  hello.connection = 1;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (connections[connection], &frame);
}

/* Guards against an entry that crashes after a connection was used under two names: when it
   ended, the guard named first kept the freed link and was sent the next heartbeat there. */
START_TEST (connection_belongs_to_one_guard)
{
  send_hello_of (0, "guard-1");
  send_hello_of (0, "guard-2");
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  md_link_close (connections[0]);
  for (int i = 0; i < PASSES && known_guard ()->lost_at == 0; i++)
    poll_both ();
  for (uint32_t i = 0; i < entry.workers.n; i++)
    ck_assert_ptr_null (((const MdEntryGuard *)entry.workers.workers[i])->link);
  entry.now = md_now () + MD_SECOND;
  entry.guards_due = 0;
  md_entry_guards_poll (&entry);
}
END_TEST

/* Guards against an entry that runs for weeks and still looks at every worker that was
   replaced meanwhile, and against one that forgets a worker which is away for a moment. */
START_TEST (replaced_worker_is_forgotten)
{
  send_hello (0);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (known_guard ());
  md_link_close (connections[0]);
  for (int i = 0; i < PASSES && known_guard ()->link != NULL; i++)
    poll_both ();
  ck_assert_ptr_null (known_guard ()->link);
  entry.now = known_guard ()->lost_at + 540 * MD_SECOND;
  md_entry_guards_poll (&entry);
  ck_assert_uint_eq (entry.workers.n, 1);
  entry.now += 60 * MD_SECOND;
  md_entry_guards_poll (&entry);
  ck_assert_uint_eq (entry.workers.n, 0);
}
END_TEST

/* Guards against entries without a single guard: of 80 on 300 VMs, guards knew 64, and a
   fifth of the jobs was rejected while workers were free. */
START_TEST (directory_holds_every_entry)
{
  MdDirectory directory = { 0 };
  char address[MD_ADDRESS_BYTES];
  const int entries = 180; /* on 675 VMs, as many as on 300 */

  for (int i = 0; i < entries; i++)
    {
      snprintf (address, sizeof address, "127.0.0.1:%d", 1000 + i);
      md_directory_add (&directory, md_str (address), i);
    }
  ck_assert_uint_eq (directory.n, (unsigned)entries);
  ck_assert_str_eq (directory.address[0], "127.0.0.1:1000");
}
END_TEST

/* Guards against new entries that nobody hears of after so many have come and gone. */
START_TEST (directory_keeps_the_newest)
{
  MdDirectory directory = { 0 };
  char address[MD_ADDRESS_BYTES];

  for (int i = 0; i <= MD_MAX_ENTRIES; i++)
    {
      snprintf (address, sizeof address, "127.0.0.1:%d", 1000 + i);
      ck_assert (md_directory_add (&directory, md_str (address), i));
    }
  ck_assert_uint_eq (directory.n, MD_MAX_ENTRIES);
  ck_assert_str_eq (directory.address[0], "127.0.0.1:1001");
  ck_assert (!md_directory_add (&directory, md_str (address), MD_MAX_ENTRIES));
  md_directory_remove (&directory, MD_STR ("127.0.0.1:1001"));
  ck_assert_str_eq (directory.address[0], "127.0.0.1:1002");
  ck_assert_uint_eq (directory.n, MD_MAX_ENTRIES - 1);
}
END_TEST

/* Guards against dials of entries that were replaced long ago. */
START_TEST (address_that_nobody_names_is_dropped)
{
  MdDirectory directory = { 0 };

  md_directory_add (&directory, MD_STR ("127.0.0.1:1"), 10);
  md_directory_add (&directory, MD_STR ("127.0.0.1:2"), 10);
  md_directory_add (&directory, MD_STR ("127.0.0.1:3"), 20);
  ck_assert (!md_directory_add (&directory, MD_STR ("127.0.0.1:1"), 30));
  md_directory_expire (&directory, 20);
  ck_assert_uint_eq (directory.n, 2);
  ck_assert_str_eq (directory.address[0], "127.0.0.1:1");
  ck_assert_str_eq (directory.address[1], "127.0.0.1:3");
}
END_TEST

/* A guard that has not had the welcome of this process yet: what it has refers to a
   former process of the entry, whose orders had the same numbers. */
static void
send_state_of_former (void)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;
  Md__RunEnd end = MD__RUN_END__INIT;
  Md__RunEnd *ends[] = { &end };
  uint64_t alive[] = { 1 };

  hello.name = "guard-1";
  hello.incarnation = INCARNATION;
  hello.connection = 1;
  hello.entry = FORMER;
  hello.alive = alive;
  hello.n_alive = 1;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (connections[0], &frame);
  end.number = 57;
  end.id = 1;
  report.entry = FORMER;
  report.ends = ends;
  report.n_ends = 1;
  report.stamp_us = 1;
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  md_link_send (connections[0], &frame);
}

/* Guards against a rejection that says "not run" of a job that ran: the entry confirmed
   ends up to the highest number of its former process, the guard dropped new ones that had
   not arrived yet, and the orders were settled as lost (soak seed 1021). Guards as well
   against an order that is taken for one of the former process with the same number. */
START_TEST (state_of_a_former_process_is_ignored)
{
  entry.incarnation = FORMER + 1;
  send_state_of_former ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || known_guard ()->stamp == 0); i++)
    poll_both ();
  ck_assert_ptr_nonnull (known_guard ());
  ck_assert_int_eq (known_guard ()->stamp, 1);
  ck_assert_uint_eq (known_guard ()->n_hello_orders, 0);
  ck_assert_uint_eq (known_guard ()->ends_seen, 0);
}
END_TEST

/* Load pattern: 80 entries and 220 guards, of whose pairs one in fourteen has a run at a
   time. Guards against a message to each guard ten times a second for nothing, and against
   a run whose lease ends because its entry is as slow as that. */
START_TEST (idle_guard_hears_less)
{
  MdEntryGuard *known;
  MdEntryOrder order = { 0 };
  MdTime sent;

  entry.incarnation = FORMER + 1;
  send_state_of_former ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || known_guard ()->awaiting_report); i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  entry.now = md_now ();
  known->sent_at = sent = entry.now;
  entry.now = sent + 100 * MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, sent);
  entry.now = sent + 200 * MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, entry.now);
  known->orders = &order;
  entry.now += 100 * MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, entry.now);
  known->orders = NULL;
}
END_TEST

/* Guards against a task that runs twice: a guard dials a second address of the entry, or one that
   it dropped and learned again. Its hello then names no process of the entry and lists no orders,
   so that those sent before were taken for lost and ordered elsewhere. */
START_TEST (hello_without_entry_does_not_end_orders)
{
  MdEntryGuard *known;
  MdEntryOrder order = { .id = 1, .sent = true };

  entry.incarnation = FORMER;
  send_hello_to (0, FORMER);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  order.guard = known;
  known->orders = &order;
  send_hello_to (1, 0);
  for (int i = 0; i < PASSES && downs[0] + downs[1] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[0], 0);
  ck_assert_int_eq (downs[1], 1);
  ck_assert_ptr_eq (known->orders, &order);
  known->orders = NULL;
}
END_TEST

/* Guards against a guard that is shut out after its first connection broke before it had read the
   welcome: the orders sent there did not reach it. */
START_TEST (hello_without_welcome_replaces)
{
  MdEntryGuard *known;
  MdEntryOrder order = { .id = 1, .sent = true };

  entry.incarnation = FORMER;
  send_hello_to (0, 0);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  order.guard = known;
  known->orders = &order;
  send_hello_to (1, 0);
  for (int i = 0; i < PASSES && downs[0] + downs[1] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[0], 1);
  ck_assert_int_eq (downs[1], 0);
  known->orders = NULL;
}
END_TEST

static void
send_sparse_report (void)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;

  report.stamp_us = 1;
  report.interval_us = MD_SPARSE_INTERVAL;
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  md_link_send (connections[0], &frame);
}

/* Guards against an entry that may ask no further guards because those with its runs use up the
   number that it may ask. */
START_TEST (guard_with_runs_does_not_count_as_asked)
{
  MdEntryGuard *known;
  MdEntryOrder order = { .sent = true };

  send_hello (0);
  send_sparse_report ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || known_guard ()->awaiting_report); i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  known->orders = &order;
  entry.now = md_now () + MD_SECOND;
  md_entry_guards_poll (&entry);
  for (int i = 0; i < PASSES && follow_us == 0; i++)
    poll_both ();
  ck_assert_uint_gt (follow_us, 0);
  ck_assert_int_eq (known->follow_until, 0);
  known->orders = NULL;
}
END_TEST

/* Guards against an entry that gives up a guard with sparse reports as silent, one that sends it
   messages for nothing, and a request for full reports that waits for the next message. */
START_TEST (sparse_guard_hears_little_until_it_is_followed)
{
  MdEntryGuard *known;
  MdTime sent;

  send_hello (0);
  send_sparse_report ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || !known_guard ()->worker.sparse); i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  ck_assert (known->worker.sparse);
  entry.now = sent = md_now ();
  known->sent_at = sent;
  entry.now = sent + 900 * MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, sent);
  md_entry_follow (&entry, &known->worker);
  md_entry_guards_poll (&entry);
  for (int i = 0; i < PASSES && follow_us == 0; i++)
    poll_both ();
  ck_assert_uint_gt (follow_us, 0);
  ck_assert (known->worker.follow_requested);
  for (int i = 0; i < PASSES && md_now () < sent + 500 * MD_MS; i++)
    poll_both ();
  ck_assert_ptr_nonnull (known->link);
}
END_TEST

/* Guards against a cancellation that waits for the next heartbeat, and against a look at every
   guard in each pass of the engine. */
START_TEST (guards_are_looked_at_when_due)
{
  MdEntryGuard *known;
  MdEntryOrder order = { .sent = true };
  MdTime sent;

  send_hello (0);
  send_sparse_report ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || known_guard ()->awaiting_report); i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  entry.now = sent = md_now ();
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, sent);
  ck_assert_int_gt (entry.guards_due, entry.now);
  /* Nothing is due, whatever the guard's state says. */
  known->sent_at = 0;
  entry.now += MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, 0);
  order.guard = known;
  md_entry_cancel (&order);
  entry.now += MD_MS;
  md_entry_guards_poll (&entry);
  ck_assert_int_eq (known->sent_at, entry.now);
  ck_assert_uint_eq (known->cancels.n, 0);
}
END_TEST

#define MANY_ORDERS 140000 /* more than an entry has sent */

static void
send_orders_hello (char *name, MdLink *link, size_t n_alive)
{
  static uint64_t alive[MANY_ORDERS];
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;

  hello.name = name;
  hello.incarnation = INCARNATION;
  hello.connection = 1;
  hello.entry = entry.incarnation;
  hello.alive = alive;
  hello.n_alive = n_alive;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (link, &frame);
}

/* Guards against an entry that is killed for its memory: it kept the orders that each hello
   listed, of any number, also for a guard that has none. */
START_TEST (orders_in_a_hello_are_bounded)
{
  MdEntryOrder order = { .sent = true };

  entry.incarnation = FORMER + 1;
  send_orders_hello ("guard-1", connections[0], MANY_ORDERS);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (known_guard ()->link);
  ck_assert_uint_eq (known_guard ()->n_hello_orders, 0);
  ((MdEntryGuard *)entry.workers.workers[0])->orders = &order;
  send_orders_hello ("guard-1", connections[0], MANY_ORDERS);
  for (int i = 0; i < PASSES && downs[0] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[0], 1);
  ck_assert_uint_eq (known_guard ()->n_hello_orders, 0);
  ((MdEntryGuard *)entry.workers.workers[0])->orders = NULL;
}
END_TEST

static void
poll_at_once (void)
{
  md_links_poll (guard, 0);
  md_links_poll (entry.daemon.links, 0);
}

/* Guards against the same by connections that each state another name. */
START_TEST (names_of_guards_are_bounded)
{
  char name[MD_NAME_BYTES];

  send_orders_hello ("guard-1", connections[0], 0);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  /* As many as that, without their connections. */
  while (entry.workers.n < 4096)
    {
      uint32_t n = entry.workers.n;
      MdLink *link = md_links_dial (guard, md_str (md_link_peer (connections[0])), NULL);

      snprintf (name, sizeof name, "guard-%u", n + 1);
      for (int i = 0; i < PASSES && !md_link_is_up (link); i++)
        poll_at_once ();
      send_orders_hello (name, link, 0);
      for (int i = 0; i < PASSES && entry.workers.n == n; i++)
        poll_at_once ();
      ck_assert_uint_eq (entry.workers.n, n + 1);
      md_link_close (link);
    }
  send_orders_hello ("one-too-many", connections[1], 0);
  for (int i = 0; i < PASSES && downs[1] == 0; i++)
    poll_both ();
  ck_assert_int_eq (downs[1], 1);
  ck_assert_uint_eq (entry.workers.n, 4096);
}
END_TEST

/* Guards against an entry that crashes: a guard reported the end of an order that had not been sent
   to it yet. The order was freed and stayed in the list of those to send. */
START_TEST (end_of_an_unsent_order_is_ignored)
{
  MdEntryOrder *order = calloc (1, sizeof *order);
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;
  Md__RunEnd end = MD__RUN_END__INIT;
  Md__RunEnd *ends[] = { &end };
  uint64_t started[1];

  entry.incarnation = FORMER + 1;
  send_hello (0);
  for (int i = 0; i < PASSES && known_guard () == NULL; i++)
    poll_both ();
  order->guard = (MdEntryGuard *)entry.workers.workers[0];
  md_entry_send_order (&entry, order);
  report.stamp_us = 1;
  report.entry = entry.incarnation;
  end.number = 1;
  end.id = started[0] = order->id;
  report.started = started;
  report.n_started = 1;
  report.ends = ends;
  report.n_ends = 1;
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  md_link_send (connections[0], &frame);
  for (int i = 0; i < PASSES && known_guard ()->stamp == 0; i++)
    poll_both ();
  ck_assert_ptr_eq (known_guard ()->unsent, order);
  ck_assert_ptr_eq (known_guard ()->orders, order);
  ck_assert (!order->started);
  entry.now = md_now () + MD_SECOND;
  md_entry_guards_poll (&entry); /* its job is gone, so that it ends */
  ck_assert_ptr_null (known_guard ()->orders);
}
END_TEST

#define LARGE_JOBS 24
#define LARGE_SPEC_BYTES ((size_t)3 << 20)

/* Guards against orders that count as sent although they never left: jobs with large bodies that
   were placed on one guard in the same pass made a message of more than a frame, or more output
   than a link has, and their tasks waited for ends that could not come. The second time the texts
   are permits, the third time checkpoints: orders were rejected for the length of all together. */
START_TEST (large_orders_are_all_sent)
{
  static MdEntryJob jobs[LARGE_JOBS];
  static MdRunTask tasks[LARGE_JOBS];
  static MdRunTask *steps[LARGE_JOBS];
  MdCallerRequest caller = { .kind = MD_CALLER_REQUEST_SUBMIT };
  int sockets[2]; /* of the caller, which stays */
  MdEntryGuard *known;
  char *spec = malloc (LARGE_JOBS * LARGE_SPEC_BYTES);

  ck_assert_ptr_nonnull (spec);
  memset (spec, 's', LARGE_JOBS * LARGE_SPEC_BYTES);
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, sockets), 0);
  caller.socket = sockets[0];
  send_hello (0);
  send_sparse_report ();
  for (int i = 0; i < PASSES && (known_guard () == NULL || known_guard ()->awaiting_report); i++)
    poll_both ();
  known = (MdEntryGuard *)entry.workers.workers[0];
  md_link_set_max_silence (known->link, 0); /* the stand-in sends nothing from now on */
  entry.next_order_id = 1;
  for (int i = 0; i < LARGE_JOBS; i++)
    {
      MdEntryOrder *order = calloc (1, sizeof *order);

      if (_i == 0)
        {
          jobs[i].runjob.spec.spec = spec + (size_t)i * LARGE_SPEC_BYTES;
          jobs[i].runjob.spec.spec_len = LARGE_SPEC_BYTES;
        }
      else
        ck_assert (md_str_set (_i == 1 ? &order->permit : &tasks[i].checkpoint,
                               md_str_n (spec, LARGE_SPEC_BYTES)));
      steps[i] = &tasks[i];
      jobs[i].runjob.tasks = &steps[i];
      jobs[i].requests = &caller;
      order->guard = known;
      order->job = &jobs[i];
      order->placed_at = entry.now;
      md_entry_send_order (&entry, order);
    }
  for (int i = 0; i < PASSES && ordered < LARGE_JOBS; i++)
    {
      entry.now = md_now ();
      md_entry_guards_poll (&entry);
      poll_both ();
      if (known->link == NULL)
        break;
    }
  ck_assert_uint_eq (ordered, LARGE_JOBS);
  ck_assert_ptr_null (known->unsent);
  close (sockets[0]);
  close (sockets[1]);
  free (spec);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-guards");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, late_hello_is_refused);
  tcase_add_test (tc, later_hello_replaces);
  tcase_add_test (tc, connection_belongs_to_one_guard);
  tcase_add_test (tc, orders_in_a_hello_are_bounded);
  tcase_add_test (tc, names_of_guards_are_bounded);
  tcase_add_test (tc, end_of_an_unsent_order_is_ignored);
  tcase_add_loop_test (tc, large_orders_are_all_sent, 0, 3);
  tcase_add_test (tc, hello_without_entry_does_not_end_orders);
  tcase_add_test (tc, hello_without_welcome_replaces);
  tcase_add_test (tc, replaced_worker_is_forgotten);
  tcase_add_test (tc, directory_holds_every_entry);
  tcase_add_test (tc, directory_keeps_the_newest);
  tcase_add_test (tc, address_that_nobody_names_is_dropped);
  tcase_add_test (tc, state_of_a_former_process_is_ignored);
  tcase_add_test (tc, idle_guard_hears_less);
  tcase_add_test (tc, guard_with_runs_does_not_count_as_asked);
  tcase_add_test (tc, guards_are_looked_at_when_due);
  tcase_add_test (tc, sparse_guard_hears_little_until_it_is_followed);
  return run_suite ("entry-guards", tc);
}
