/* test-entry-evacuation.c -- evacuated failure domains at an entry

   The entry has a fast guard in zone-a and a slow one in zone-b, without links; another test plays
   a guard over the loopback interface. */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <stdio.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define PASSES 20000 /* only ends a broken run */
#define TASKS 4      /* of a job */

static MdRunEntry entry;
static MdEntryGuard guards[2];
static MdWorker *workers[2];
static MdSavedResources saved[2];
static bool excluded[2];
static MdCallerRequest request;
static int caller[2]; /* the entry's and the caller's end of a connection */

static void
init_guard (MdEntryGuard *guard, const char *name, const char *domain, double speed)
{
  *guard = (MdEntryGuard){ .entry = &entry,
                           .worker = { .speed = speed,
                                       .connected = true,
                                       .state = MD_WORKER_READY,
                                       .capacity = { 16000, 32768, 0 },
                                       .free = { 16000, 32768, 0 },
                                       .reported_at = NOW } };
  md_str_copy (guard->name, sizeof guard->name, md_str (name));
  md_str_copy (guard->failure_domain, sizeof guard->failure_domain, md_str (domain));
  guard->worker.traits = test_traits ("calc", NULL, NULL);
}

static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  init_guard (&guards[0], "guard-1", "zone-a", 2);
  init_guard (&guards[1], "guard-2", "zone-b", 1);
  workers[0] = &guards[0].worker;
  workers[1] = &guards[1].worker;
  entry.workers = (MdWorkers){ .workers = workers, .n = 2, .remote_factor = 1.5 };
  entry.excluded = excluded;
}

static void
teardown (void)
{
  close (caller[0]);
  close (caller[1]);
  md_buf_clear (&request.body);
}

static void
submit_job (bool gang)
{
  MdRunStep *step = calloc (1, sizeof *step);

  step->n_tasks = TASKS;
  step->resources = (MdResources){ 1600, 64, 0 };
  step->declared_time = 100 * MD_MS;
  step->gang = gang;
  request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                               .arrived = entry.now,
                               .event = eventfd (0, EFD_NONBLOCK),
                               .socket = caller[0] };
  md_str_copy (request.id, sizeof request.id, MD_STR ("1"));
  request.spec.steps = step;
  request.spec.n_steps = 1;
  request.spec.best_effort = true;
  request.response_timeout = 60 * MD_SECOND;
  request.route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 4, .target_latency = 60 * MD_MS });
  md_inbox_push (&entry.inbox, &request.node);
  md_entry_handle_requests (&entry, MD_SECOND);
}

/* Applies a set of these domains, by commas. */
static void
apply (uint64_t version, const char *domains)
{
  MdEvacuationLog records = { 0 };
  char text[64];
  char *rest = text;
  const char *name;

  md_str_copy (text, sizeof text, md_str (domains));
  md_evacuation_begin_pages (&records);
  while ((name = strsep (&rest, ",")) != NULL)
    if (name[0] != '\0')
      md_evacuation_record (&records, md_str (name), true, version - 1);
  md_evacuation_read_up_to (&records, version);
  md_entry_apply_evacuated (&entry, &records.known, 0);
}

static unsigned
count_orders (const MdEntryGuard *guard)
{
  unsigned n = 0;

  for (const MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    n += !order->withdrawn && !order->cancelled;
  return n;
}

static unsigned
count_withdrawn (const MdEntryGuard *guard)
{
  unsigned n = 0;

  for (const MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    n += order->withdrawn;
  return n;
}

/* As if the guard had received all orders. */
static void
mark_sent (MdEntryGuard *guard)
{
  for (MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    order->sent = true;
  guard->unsent = NULL;
}

/* Guards against tasks, and gangs, that are placed in an evacuated domain because its workers are
   the better ones. */
START_TEST (nothing_is_placed_there)
{
  apply (5, "zone-a,elsewhere");
  submit_job (_i == 1);
  ck_assert_uint_eq (count_orders (&guards[0]), 0);
  ck_assert_uint_eq (count_orders (&guards[1]), TASKS);
}
END_TEST

/* Guards against orders that wait in an evacuated domain, and against started ones that are ended
   with it. */
START_TEST (orders_that_have_not_started_are_withdrawn)
{
  submit_job (false);
  ck_assert_uint_eq (count_orders (&guards[0]), TASKS);
  mark_sent (&guards[0]);
  guards[0].orders->started = true;
  guards[0].sent_at = entry.now;
  entry.guards_due = entry.now + MD_SECOND;
  apply (5, "zone-a");
  ck_assert_uint_eq (count_orders (&guards[0]), 1);
  ck_assert_uint_eq (count_withdrawn (&guards[0]), TASKS - 1);
  ck_assert_uint_eq (guards[0].withdraws.n, TASKS - 1);
  ck_assert (!guards[0].orders->withdrawn && !guards[0].orders->cancelled);
  /* Its guard is told in this pass, and no other one. */
  ck_assert_int_eq (guards[0].sent_at, 0);
  ck_assert_int_eq (entry.guards_due, 0);
  free (guards[0].withdraws.ids);
}
END_TEST

/* Guards against an order that is sent after the evacuation because it was queued before. */
START_TEST (orders_that_were_not_sent_are_placed_elsewhere)
{
  submit_job (false);
  apply (5, "zone-a");
  ck_assert_uint_eq (count_orders (&guards[0]), 0);
  ck_assert_uint_eq (count_withdrawn (&guards[0]), 0);
  entry.workers.n = 1; /* what a guard without a link has not been sent is placed again at once */
  md_entry_guards_poll (&entry);
  entry.workers.n = 2;
  ck_assert_ptr_null (guards[0].orders);
  entry.now += 20 * MD_MS;
  md_entry_jobs_tick (&entry);
  ck_assert_uint_eq (count_orders (&guards[1]), TASKS);
  free (guards[0].cancels.ids);
}
END_TEST

/* Guards against a caller that waits for its deadline while no worker may be used, and against an
   entry that does not come back when the first domain does. */
START_TEST (all_domains_evacuated_is_told_at_once)
{
  apply (5, "zone-b,zone-a");
  submit_job (false);
  ck_assert (atomic_load (&request.answered));
  ck_assert_int_eq (request.status, 503);
  ck_assert_int_gt (request.retry_after, 0);
  md_buf_clear (&request.body);
  apply (6, "zone-a");
  submit_job (false);
  ck_assert_uint_eq (count_orders (&guards[1]), TASKS);
}
END_TEST

/* Guards against two domains of which the second takes back the first. */
START_TEST (domains_are_independent)
{
  apply (5, "zone-a");
  apply (6, "zone-a,zone-b");
  ck_assert (guards[0].worker.evacuated && guards[1].worker.evacuated);
  apply (7, "zone-b");
  ck_assert (!guards[0].worker.evacuated && guards[1].worker.evacuated);
  apply (8, "");
  ck_assert (!guards[0].worker.evacuated && !guards[1].worker.evacuated);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Messages                                                           */

typedef struct
{
  MdLink *link;
  bool welcomed;
  bool evacuated;    /* in the last message */
  uint64_t version;  /* the same */
  unsigned messages; /* of orders */
} StandIn;

static void
on_guard_up (void *user, MdLink *link)
{
  StandIn *guard = user;

  guard->link = link;
}

static void
on_guard_down (void *user MD_UNUSED, MdLink *link MD_UNUSED, const MdError *error MD_UNUSED)
{
}

static void
on_guard_frame (void *user, MdLink *link MD_UNUSED, const Md__Frame *frame)
{
  StandIn *guard = user;

  if (frame->msg_case == MD__FRAME__MSG_RUN_WELCOME)
    {
      guard->welcomed = true;
      guard->evacuated = frame->run_welcome->evacuated;
      guard->version = frame->run_welcome->evacuation_version;
    }
  if (frame->msg_case == MD__FRAME__MSG_RUN_ORDERS)
    {
      guard->messages++;
      guard->evacuated = frame->run_orders->evacuated;
      guard->version = frame->run_orders->evacuation_version;
    }
}

static void
say_hello (const StandIn *guard)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;

  hello.name = "guard-1";
  hello.failure_domain = "zone-a";
  hello.incarnation = 7;
  hello.connection = 1;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (guard->link, &frame);
  report.stamp_us = 1;
  report.state = MD_WORKER_READY;
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  md_link_send (guard->link, &frame);
}

/* Guards against a guard that hears of an evacuation with the next heartbeat only, or that takes an
   order after a restart before it knows. */
START_TEST (guard_is_told_with_the_welcome_and_at_once)
{
  static const MdLinkHandler handler = { on_guard_up, on_guard_frame, on_guard_down };
  StandIn guard = { 0 };
  MdLinks *links;
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];
  unsigned messages;

  md_tuning_default (&tuning);
  entry.workers = (MdWorkers){ 0 };
  entry.saved_resources = NULL;
  entry.excluded = NULL;
  entry.incarnation = 1;
  apply (5, "zone-a");
  entry.daemon.links = md_links_new (&tuning, &md_run_entry_handler, &entry);
  links = md_links_new (&tuning, &handler, &guard);
  ck_assert_int_eq (md_links_listen (entry.daemon.links, MD_STR ("127.0.0.1:0"), address, &error),
                    MD_OK);
  md_links_dial (links, md_str (address), NULL);
  for (int i = 0; i < PASSES && !guard.welcomed; i++)
    {
      bool up = guard.link != NULL;

      md_links_poll (entry.daemon.links, md_now () + MD_MS);
      md_links_poll (links, md_now () + MD_MS);
      if (!up && guard.link != NULL)
        say_hello (&guard);
    }
  ck_assert (guard.evacuated);
  ck_assert_uint_eq (guard.version, 5);
  ck_assert (entry.workers.workers[0]->evacuated);
  for (int i = 0; i < PASSES && ((MdEntryGuard *)entry.workers.workers[0])->awaiting_report; i++)
    md_links_poll (entry.daemon.links, md_now () + MD_MS);
  entry.now = md_now ();
  md_entry_guards_poll (&entry); /* the next heartbeat is due in 100 ms */
  apply (6, "");
  md_entry_guards_poll (&entry);
  messages = guard.messages;
  for (int i = 0; i < PASSES && guard.version < 6; i++)
    {
      md_links_poll (entry.daemon.links, md_now ());
      md_links_poll (links, md_now () + MD_MS);
    }
  ck_assert_uint_eq (guard.version, 6);
  ck_assert (!guard.evacuated);
  ck_assert_uint_gt (guard.messages, messages);
  md_links_free (links);
  md_links_free (entry.daemon.links);
  md_entry_free_guards (&entry);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-evacuation");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, nothing_is_placed_there, 0, 2);
  tcase_add_test (tc, orders_that_have_not_started_are_withdrawn);
  tcase_add_test (tc, orders_that_were_not_sent_are_placed_elsewhere);
  tcase_add_test (tc, all_domains_evacuated_is_told_at_once);
  tcase_add_test (tc, domains_are_independent);
  tcase_add_test (tc, guard_is_told_with_the_welcome_and_at_once);
  return run_suite ("entry-evacuation", tc);
}
