/* test-guard-evacuation.c -- a guard whose failure domain is evacuated, over the loopback interface

   The test plays two entries, each of which knows the operator's log up to a place of its own, and
   a worker that rejects a start. */

#include "http-client.h"
#include "run-guard.h"
#include "scripted-server.h"
#include "suite.h"

#include <stdio.h>

#define ENTRIES 2
#define PASSES 20000 /* only ends a broken run */

typedef struct
{
  MdLinks *links;
  MdLink *link;         /* to the guard; NULL: not connected yet */
  uint64_t incarnation; /* of the entry */
  bool evacuated;       /* what it says */
  uint64_t version;     /* as of this place */
  uint32_t state;       /* of the worker in the last report */
  unsigned rejected;    /* ends REJECTED received */
  unsigned ended;       /* other ends received */
  unsigned started;     /* starts received */
  uint64_t orders;      /* sent so far */
} StandIn;

static MdRunGuard guard;
static StandIn entries[ENTRIES];
static ScriptedServer worker;
static atomic_int starts; /* received by the worker */

static void
on_up (void *user MD_UNUSED, MdLink *link MD_UNUSED)
{
}

static void
on_down (void *user MD_UNUSED, MdLink *link MD_UNUSED, const MdError *error MD_UNUSED)
{
}

static void
send_welcome (const StandIn *entry)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunWelcome welcome = MD__RUN_WELCOME__INIT;
  char name[16];

  snprintf (name, sizeof name, "entry-%d", (int)entry->incarnation);
  welcome.name = name;
  welcome.incarnation = entry->incarnation;
  welcome.evacuated = entry->evacuated;
  welcome.evacuation_version = entry->version;
  frame.msg_case = MD__FRAME__MSG_RUN_WELCOME;
  frame.run_welcome = &welcome;
  md_link_send (entry->link, &frame);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  StandIn *entry = user;
  const Md__RunReport *report = frame->run_report;

  entry->link = link;
  if (frame->msg_case == MD__FRAME__MSG_RUN_HELLO)
    send_welcome (entry);
  if (frame->msg_case != MD__FRAME__MSG_RUN_REPORT)
    return;
  entry->state = report->state;
  entry->started += (unsigned)report->n_started;
  for (size_t i = 0; i < report->n_ends; i++)
    if (report->ends[i]->how == MD_RUN_REJECTED)
      entry->rejected++;
    else
      entry->ended++;
}

static const MdLinkHandler entry_handler = { on_up, on_frame, on_down };

/* Sends a message with this number of orders, each for half of the worker. */
static void
send_orders (StandIn *entry, unsigned n)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;
  Md__RunOrder list[8];
  Md__RunOrder *pointers[8];
  ProtobufCBinaryData spec = { .len = 1, .data = (uint8_t *)"x" };

  for (unsigned i = 0; i < n; i++)
    {
      md__run_order__init (&list[i]);
      list[i].id = ++entry->orders;
      list[i].task = "a1.0.0.0";
      list[i].run = 1;
      list[i].cpu = 4000;
      list[i].work_us = 100 * MD_MS;
      list[i].start_within_us = MD_SECOND;
      pointers[i] = &list[i];
    }
  orders.guard = guard.incarnation;
  orders.echo_us = guard.now;
  orders.n_specs = 1;
  orders.specs = &spec;
  orders.n_orders = n;
  orders.orders = pointers;
  orders.evacuated = entry->evacuated;
  orders.evacuation_version = entry->version;
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  ck_assert_int_eq (md_link_send (entry->link, &frame), MD_OK);
}

static void
say (StandIn *entry, bool evacuated, uint64_t version)
{
  entry->evacuated = evacuated;
  entry->version = version;
  send_orders (entry, 0);
}

static void
poll_all (void)
{
  md_links_poll (guard.daemon.links, md_now () + MD_MS);
  guard.now = md_now ();
  for (MdGuardPeer *peer = guard.peers; peer != NULL; peer = peer->next)
    peer->echo = guard.now; /* the leases of the entries do not run out, however slow the test is */
  md_http_poll (guard.http);
  md_guard_worker_poll (&guard);
  md_guard_orders_poll (&guard);
  md_links_poll (guard.daemon.links, md_now ());
  for (int i = 0; i < ENTRIES; i++)
    md_links_poll (entries[i].links, md_now ());
}

/* Polls until the guard knows the log up to this place. */
static void
wait_for_version (uint64_t version)
{
  for (int i = 0; i < PASSES && guard.evacuation.version < version; i++)
    poll_all ();
  ck_assert_uint_eq (guard.evacuation.version, version);
}

static void
wait_for_rejected (const StandIn *entry, unsigned n)
{
  for (int i = 0; i < PASSES && entry->rejected < n; i++)
    poll_all ();
  ck_assert_uint_eq (entry->rejected, n);
}

static void
wait_for_state (const StandIn *entry, MdWorkerState state)
{
  for (int i = 0; i < PASSES && entry->state != (uint32_t)state; i++)
    poll_all ();
  ck_assert_uint_eq (entry->state, state);
}

#define NO_ROOM "{\"clock_ms\":5,\"reason\":\"room\"}"

/* Starts are left without an answer, or rejected for lack of room if user is set. */
static const char *
respond (void *user, int number MD_UNUSED, const char *request)
{
  static char response[256];

  if (strstr (request, "/v1/hold") != NULL)
    return scripted_silence;
  atomic_fetch_add (&starts, 1);
  if (user == NULL)
    return scripted_silence;
  snprintf (response, sizeof response, "HTTP/1.1 409 Conflict\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (NO_ROOM), NO_ROOM);
  return response;
}

static void
start_guard (void *rejects)
{
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  md_tuning_default (&tuning);
  md_http_init ();
  scripted_server_start (&worker, respond, rejects);
  guard.now = md_now ();
  guard.incarnation = 7;
  guard.daemon.settings.worker_lease_max = MD_SECOND;
  guard.daemon.settings.full_reports = ENTRIES;
  md_str_copy (guard.daemon.settings.name, sizeof guard.daemon.settings.name, MD_STR ("guard-1"));
  md_str_copy (guard.daemon.settings.worker_address, MD_ADDRESS_BYTES, md_str (worker.address));
  md_leases_set (&guard.daemon.leases, 60 * MD_SECOND, 50 * MD_MS);
  guard.daemon.links = md_links_new (&tuning, &md_run_guard_handler, &guard);
  guard.http = md_http_new (guard.daemon.links, 4);
  guard.stop_http = md_http_new (guard.daemon.links, 1);
  guard.hold_in_progress = true; /* none is due */
  guard.worker.has_report = true;
  guard.worker.report.state = MD_WORKER_READY;
  guard.worker.clean = true;
  guard.worker.reachable = true;
  /* Without holds, only these keep the worker and its runs. */
  guard.worker.last_response_at = guard.worker.lease_until = guard.now + 3600 * MD_SECOND;
  guard.worker.clock_known = true;
  md_runqueue_set_capacity (&guard.queue, (MdResources){ 8000, 8000, 0 });
  md_guard_update_accepting (&guard);
  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i].incarnation = (uint64_t)i + 1;
      entries[i].links = md_links_new (&tuning, &entry_handler, &entries[i]);
      ck_assert_int_eq (md_links_listen (entries[i].links, MD_STR ("127.0.0.1:0"), address, &error),
                        MD_OK);
      md_guard_add_peer (&guard, md_str (address), false);
    }
  for (int i = 0; i < ENTRIES; i++)
    wait_for_state (&entries[i], entries[i].evacuated ? MD_WORKER_DRAINING : MD_WORKER_READY);
}

static void
teardown (void)
{
  /* A call in progress is freed by its response or time-out. */
  for (int i = 0; i < PASSES && guard.start_calls > 0; i++)
    {
      md_links_poll (guard.daemon.links, md_now () + MD_MS);
      md_http_poll (guard.http);
    }
  for (int i = 0; i < ENTRIES; i++)
    md_links_free (entries[i].links);
  md_guard_free_runs (&guard);
  md_guard_free_peers (&guard);
  md_http_free (guard.http);
  md_http_free (guard.stop_http);
  md_links_free (guard.daemon.links);
  scripted_server_stop (&worker);
}

/* Guards against runs that wait in an evacuated domain until there is room for them, and against
   started ones that end with it. */
START_TEST (waiting_runs_are_handed_back)
{
  start_guard (NULL);
  send_orders (&entries[0], 5);
  for (int i = 0; i < PASSES && (entries[0].started < 2 || guard.queue.waiting.n < 3); i++)
    poll_all ();
  ck_assert_uint_eq (guard.queue.running.n, 2);
  ck_assert_uint_eq (guard.queue.waiting.n, 3);
  say (&entries[1], true, 4);
  wait_for_rejected (&entries[0], 3);
  wait_for_state (&entries[0], MD_WORKER_DRAINING);
  ck_assert_uint_eq (guard.queue.running.n, 2);
  ck_assert_uint_eq (entries[0].ended, 0);
}
END_TEST

/* Guards against one late entry that has a run started in an evacuated domain. */
START_TEST (orders_of_a_late_entry_are_refused)
{
  start_guard (NULL);
  say (&entries[0], true, 4);
  wait_for_version (4);
  entries[1].version = 3; /* not evacuated */
  send_orders (&entries[1], 2);
  wait_for_rejected (&entries[1], 2);
  send_orders (&entries[1], 1);
  wait_for_rejected (&entries[1], 3);
  ck_assert_uint_eq (guard.evacuation.version, 4);
  ck_assert (guard.evacuation.evacuated);
  ck_assert_uint_eq (entries[1].started, 0);
  ck_assert_int_eq (atomic_load (&starts), 0);
}
END_TEST

/* Guards against a guard that comes back from a restart or a partition and takes an order before it
   knows of the evacuation: the first message of an entry says so. */
START_TEST (first_message_says_so)
{
  entries[0].evacuated = true;
  entries[0].version = 4;
  entries[1].evacuated = true;
  entries[1].version = 3;
  start_guard (NULL);
  ck_assert (!guard.queue.accepting);
  ck_assert_uint_eq (guard.evacuation.version, 4);
  send_orders (&entries[1], 1);
  wait_for_rejected (&entries[1], 1);
  ck_assert_int_eq (atomic_load (&starts), 0);
}
END_TEST

/* Guards against an order that starts because its message is the first one to say so. */
START_TEST (message_with_the_evacuation_starts_nothing)
{
  start_guard (NULL);
  entries[0].evacuated = true;
  entries[0].version = 4;
  send_orders (&entries[0], 3);
  wait_for_rejected (&entries[0], 3);
  ck_assert_uint_eq (guard.queue.running.n, 0);
  ck_assert_int_eq (atomic_load (&starts), 0);
}
END_TEST

/* Guards against a domain that stays out of use after the operator has put it back, or is put back
   by an entry that knows less. */
START_TEST (taken_back_by_a_newer_version_only)
{
  start_guard (NULL);
  say (&entries[0], true, 4);
  wait_for_version (4);
  say (&entries[1], false, 4);
  say (&entries[1], false, 0);
  for (int i = 0; i < 50; i++)
    poll_all ();
  ck_assert (!guard.queue.accepting);
  say (&entries[1], false, 5);
  wait_for_version (5);
  ck_assert (guard.queue.accepting);
  wait_for_state (&entries[0], MD_WORKER_READY);
  say (&entries[0], true, 4); /* has not read the change yet */
  send_orders (&entries[0], 1);
  for (int i = 0; i < PASSES && entries[0].started == 0; i++)
    poll_all ();
  ck_assert_uint_eq (entries[0].started, 1);
}
END_TEST

/* Has the domain evacuated between a start and its answer. Returns whether there was an answer: on
   a busy machine the call can time out, and a hold would have to tell what became of the run. */
static bool
evacuate_during_start (uint64_t version)
{
  send_orders (&entries[0], 1);
  for (int i = 0; i < PASSES && guard.queue.running.n == 0; i++)
    poll_all ();
  ck_assert_uint_eq (guard.queue.running.n, 1);
  md_guard_hear_evacuation (&guard, guard.peers, true, version);
  for (int i = 0; i < PASSES && guard.start_calls > 0; i++)
    poll_all ();
  ck_assert_uint_eq (guard.start_calls, 0);
  if (guard.queue.running.n == 0)
    return true;
  md_guard_end_run (&guard, (MdGuardRun *)guard.queue.running.first, MD_RUN_LEASE_EXPIRED, "");
  md_guard_hear_evacuation (&guard, guard.peers, false, version + 1);
  return false;
}

/* Guards against a run that waits at a closed queue after the worker has rejected its start:
   nothing would start it, and its entry takes it for started. */
START_TEST (rejected_start_does_not_wait)
{
  uint64_t version = 4;

  start_guard (&guard);
  while (!evacuate_during_start (version))
    version += 2;
  ck_assert_uint_eq (guard.queue.waiting.n, 0);
  wait_for_rejected (&entries[0], 1);
}
END_TEST

/* Guards against a worker that is shown as usable, or as draining, when it is neither. */
START_TEST (absent_worker_stays_absent)
{
  start_guard (NULL);
  say (&entries[0], true, 4);
  wait_for_state (&entries[1], MD_WORKER_DRAINING);
  guard.worker.report.state = MD_WORKER_ABSENT;
  guard.state_version++;
  wait_for_state (&entries[1], MD_WORKER_ABSENT);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("guard-evacuation");

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, waiting_runs_are_handed_back);
  tcase_add_test (tc, orders_of_a_late_entry_are_refused);
  tcase_add_test (tc, first_message_says_so);
  tcase_add_test (tc, message_with_the_evacuation_starts_nothing);
  tcase_add_test (tc, taken_back_by_a_newer_version_only);
  tcase_add_test (tc, rejected_start_does_not_wait);
  tcase_add_test (tc, absent_worker_stays_absent);
  return run_suite ("guard-evacuation", tc);
}
