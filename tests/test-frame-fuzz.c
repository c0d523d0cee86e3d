/* test-frame-fuzz.c -- frames that decode and whose fields are extreme, at an entry and at a guard

   Anything inside the network can send such frames. A generator with a fixed seed plays guards to
   an entry with jobs, and entries to a guard with a worker. The sanitizer builds are the judges;
   the checks here find numbers that leave their range. SEED and ROUNDS choose a longer run by hand.
   */

#include "fixture.h"
#include "run-entry.h"
#include "run-guard.h"
#include "scripted-server.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_ROUNDS 4000
/* Then both sides begin anew: after some extreme numbers, a guard or entry is refused for good. */
#define ROUNDS_OF_A_PROCESS 1000
#define CONNECTIONS 4
#define MAX_REQUESTS 64
#define MAX_LIST 4 /* elements of a repeated field */

static uint64_t random_state;
static long rounds;

static uint64_t
draw (uint64_t below)
{
  uint64_t z = random_state += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return (z ^ (z >> 31)) % below;
}

static bool
one_in (uint64_t n)
{
  return draw (n) == 0;
}

/* A number at the limit of some type, or near the present time. */
static uint64_t
draw_number (void)
{
  static const uint64_t numbers[]
      = { 0,    1,          2,         255,         INT32_MAX,  UINT32_MAX, INT64_MAX,    1u << 31,
          1000, UINT64_MAX, INT64_MIN, 100 * MD_MS, UINT16_MAX, 1ul << 53,  INT64_MAX - 1 };
  uint64_t pick = draw (MD_ARRAY_SIZE (numbers) + 2);

  if (pick == MD_ARRAY_SIZE (numbers))
    return (uint64_t)md_now ();
  if (pick == MD_ARRAY_SIZE (numbers) + 1)
    return draw (2 * MD_SECOND);
  return numbers[pick];
}

/* Small most of the time, so that the entry or guard gets further with it. */
static uint64_t
draw_amount (uint64_t usual)
{
  return one_in (4) ? draw_number () : draw (usual);
}

static double
draw_double (void)
{
  static const double numbers[]
      = { 0, -1, 1, 0.5, NAN, INFINITY, -INFINITY, 1e-9, 1e300, 1e-300, 1e19, 4.9e-324, 2, -1e300 };

  return numbers[draw (MD_ARRAY_SIZE (numbers))];
}

static char *
draw_text (const char *usual)
{
  static char longest[400];
  static char *const texts[] = { "", "\xff\xfe", "a\nb\"c\\", "\1", longest, "calc", "guard-1" };

  memset (longest, 'x', sizeof longest - 1);
  return one_in (16) ? texts[draw (MD_ARRAY_SIZE (texts))] : (char *)usual;
}

static void
send_other (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Hello hello = MD__HELLO__INIT;
  Md__Heartbeat heartbeat = MD__HEARTBEAT__INIT;
  Md__Starts starts = MD__STARTS__INIT;

  frame.msg_case = one_in (2) ? MD__FRAME__MSG_HELLO : MD__FRAME__MSG_HEARTBEAT;
  if (frame.msg_case == MD__FRAME__MSG_HELLO)
    frame.hello = &hello;
  else
    frame.heartbeat = &heartbeat;
  if (one_in (3))
    {
      frame.msg_case = MD__FRAME__MSG_STARTS;
      frame.starts = &starts;
    }
  md_link_send (link, &frame);
}

static void
read_environment (void)
{
  const char *seed = getenv ("SEED");
  const char *count = getenv ("ROUNDS");

  random_state = seed != NULL ? strtoull (seed, NULL, 10) : 1;
  rounds = count != NULL ? strtol (count, NULL, 10) : DEFAULT_ROUNDS;
}

static void
ignore_link (void *user MD_UNUSED, MdLink *link MD_UNUSED)
{
}

static void
ignore_frame (void *user MD_UNUSED, MdLink *link MD_UNUSED, const Md__Frame *frame MD_UNUSED)
{
}

static void
ignore_end (void *user MD_UNUSED, MdLink *link MD_UNUSED, const MdError *error MD_UNUSED)
{
}

/* ------------------------------------------------------------------ */
/* Entry                                                              */

static MdRunEntry entry;
static MdLinks *guards;
static MdLink *guard_links[CONNECTIONS];
static char entry_address[MD_ADDRESS_BYTES];
static MdCallerRequest *requests[MAX_REQUESTS]; /* NULL: not in use */
static int caller[2];
static int event;

static const MdLinkHandler guards_handler = { ignore_link, ignore_frame, ignore_end };

static void
send_run_hello (MdLink *link, uint64_t connection)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;
  static const char *const names[CONNECTIONS] = { "guard-1", "guard-2", "guard-3", "guard-4" };
  char *addresses[MAX_LIST];
  uint64_t alive[MAX_LIST];

  for (int i = 0; i < MAX_LIST; i++)
    {
      addresses[i] = draw_text ("127.200.0.1:9");
      alive[i] = draw_amount (entry.next_order_id + 1);
    }
  hello.name = draw_text (names[one_in (10) ? draw (CONNECTIONS) : connection]);
  hello.incarnation = one_in (8) ? draw (3) : 1;
  hello.connection = one_in (8) ? draw_number () : 7;
  hello.entry = one_in (8) ? draw_number () : entry.incarnation;
  hello.alive = alive;
  hello.n_alive = draw (MAX_LIST + 1);
  hello.entries = addresses;
  hello.n_entries = draw (MAX_LIST + 1);
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (link, &frame);
}

/* What another entry sends, in any order. */
static void
send_peer_frame (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__PeerHello hello = MD__PEER_HELLO__INIT;
  Md__PeerLoad load = MD__PEER_LOAD__INIT;
  Md__JobHandover handover = MD__JOB_HANDOVER__INIT;
  Md__JobHandoverEnd end = MD__JOB_HANDOVER_END__INIT;
  Md__JobHandoverCancel cancel = MD__JOB_HANDOVER_CANCEL__INIT;
  uint64_t id = draw_amount (entry.handover.last_id + 1);

  switch (draw (8))
    {
    case 0:
      hello.name = draw_text ("entry-2");
      hello.incarnation = one_in (8) ? entry.incarnation : draw_number ();
      hello.failure_domain = draw_text ("a");
      frame.msg_case = MD__FRAME__MSG_PEER_HELLO;
      frame.peer_hello = &hello;
      break;
    case 3:
      handover.id = id;
      handover.op = (uint32_t)draw_amount (4);
      handover.job = draw_text ("a");
      handover.host = draw_text ("h");
      handover.path = draw_text ("/p/a");
      handover.patience_us = draw_number ();
      frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER;
      frame.job_handover = &handover;
      break;
    case 4:
      cancel.id = id;
      frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_CANCEL;
      frame.job_handover_cancel = &cancel;
      break;
    default:
      end.id = id;
      end.status = one_in (4) ? (uint32_t)draw_number () : 200 * (uint32_t)draw (2);
      end.state = draw_text ("completed");
      frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_END;
      frame.job_handover_end = &end;
      break;
    }
  md_link_send (link, &frame);
  load.use_permille = (uint32_t)draw_amount (1000);
  load.takes = !one_in (8);
  frame.msg_case = MD__FRAME__MSG_PEER_LOAD;
  frame.peer_load = &load;
  md_link_send (link, &frame);
}

static void
fill_worker (Md__WorkerInfo *worker, char **labels)
{
  md__worker_info__init (worker);
  for (int i = 0; i < MAX_LIST; i++)
    labels[i] = draw_text (i == 1 ? "r1-1" : "a");
  worker->id = draw_text ("i-1");
  worker->service = draw_text ("calc");
  worker->born_ms = (int64_t)draw_amount (4);
  worker->cpu = one_in (8) ? (uint32_t)draw_number () : 64000;
  worker->memory_mb = one_in (8) ? (uint32_t)draw_number () : 64000;
  worker->accelerators = (uint32_t)draw_amount (4);
  worker->labels = labels;
  worker->n_labels = draw (MAX_LIST + 1);
}

static void
send_run_report (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;
  Md__WorkerInfo worker;
  Md__RunEnd end[MAX_LIST];
  Md__RunEnd *ends[MAX_LIST];
  char *labels[MAX_LIST];
  uint64_t started[MAX_LIST];

  for (int i = 0; i < MAX_LIST; i++)
    {
      started[i] = draw_amount (entry.next_order_id + 1);
      md__run_end__init (&end[i]);
      end[i].id = draw_amount (entry.next_order_id + 1);
      end[i].number = draw_amount (100);
      end[i].how = (uint32_t)draw_amount (12);
      end[i].run_us = draw_amount (MD_SECOND);
      end[i].checkpoint = draw_text ("");
      ends[i] = &end[i];
    }
  fill_worker (&worker, labels);
  report.worker = one_in (2) ? &worker : NULL;
  report.stamp_us = (int64_t)draw_amount (MD_SECOND);
  report.last_order = draw_amount (entry.next_order_id + 1);
  report.free_cpu = one_in (8) ? (uint32_t)draw_number () : 64000;
  report.free_memory_mb = one_in (8) ? (uint32_t)draw_number () : 64000;
  report.free_accelerators = (uint32_t)draw_amount (4);
  report.wait_us = one_in (8) ? draw_number () : 0;
  report.next_end_us = draw_amount (100 * MD_MS);
  report.failures = one_in (16) ? (uint32_t)draw_amount (5) : 0;
  report.speed = one_in (3) ? draw_double () : 1;
  report.stalled = one_in (16);
  report.state = one_in (16) ? (uint32_t)draw_number () : MD_WORKER_READY;
  report.interval_us = one_in (16) ? draw_number () : 0;
  report.entry = one_in (8) ? draw_number () : entry.incarnation;
  report.started = started;
  report.n_started = draw (MAX_LIST + 1);
  report.ends = ends;
  report.n_ends = draw (MAX_LIST + 1);
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  md_link_send (link, &frame);
}

static void
draw_step (MdRunStep *step)
{
  static const uint32_t counts[] = { 1, 1, 1, 2, 3, 8, 40 };

  step->n_tasks = one_in (100) ? (uint32_t)draw_number () : counts[draw (MD_ARRAY_SIZE (counts))];
  step->resources = (MdResources){ (uint32_t)draw_amount (2000), (uint32_t)draw_amount (1000),
                                   one_in (8) ? (uint32_t)draw_amount (2) : 0 };
  step->declared_time
      = one_in (4) ? (one_in (2) ? 0 : MD_JSON_MAX_DURATION) : (MdTime)draw (MD_SECOND);
  step->gang = one_in (6);
  step->same_rack = one_in (6);
  step->speculative = one_in (6);
  step->checkpointing = one_in (2);
  step->max_per_worker = one_in (4) ? (uint32_t)draw_amount (3) : 0;
  step->depends_on = one_in (4) ? draw (4) : 0;
  if (one_in (6))
    step->affinity = MD_STR ("r1-1");
  if (one_in (8))
    step->required_label = MD_STR ("a");
}

static void
fill_job (MdCallerRequest *request, MdRoute *fields)
{
  static const MdTime timeouts[]
      = { 0, 0, 0, 1, MD_MS, 20 * MD_MS, 100 * MD_MS, MD_SECOND, MD_JSON_MAX_DURATION };
  static const double slacks[] = { 0, -1, 1.6, 4, 4, 4, 4, 4, 4, 1e300, -1e300, 1e-300 };

  request->spec.n_steps = 1 + (uint32_t)draw (4);
  request->spec.steps = calloc (request->spec.n_steps, sizeof *request->spec.steps);
  request->spec.spec = md_str_dup (MD_STR ("ms=1"));
  request->spec.spec_len = 4;
  request->spec.best_effort = true;
  for (uint32_t i = 0; i < request->spec.n_steps; i++)
    draw_step (&request->spec.steps[i]);
  request->response_timeout = timeouts[draw (MD_ARRAY_SIZE (timeouts))];
  fields->slack_factor = slacks[draw (MD_ARRAY_SIZE (slacks))];
  fields->target_latency = one_in (3) ? MD_JSON_MAX_DURATION : 60 * MD_MS;
  fields->max_attempts = (uint32_t)draw_amount (3);
}

static void
collect_answers (void)
{
  uint64_t count;

  while (read (event, &count, sizeof count) > 0)
    ;
  for (int i = 0; i < MAX_REQUESTS; i++)
    if (requests[i] != NULL && atomic_load (&requests[i]->answered))
      {
        md_buf_clear (&requests[i]->body);
        md_route_unref (requests[i]->route);
        free (requests[i]);
        requests[i] = NULL;
      }
}

static void
post_request (void)
{
  static const MdCallerRequestKind kinds[]
      = { MD_CALLER_REQUEST_SUBMIT, MD_CALLER_REQUEST_SUBMIT, MD_CALLER_REQUEST_SUBMIT,
          MD_CALLER_REQUEST_STATE,  MD_CALLER_REQUEST_CANCEL, MD_CALLER_REQUEST_PENDING };
  MdCallerRequest **place = &requests[draw (MAX_REQUESTS)];
  MdCallerRequest *request;
  MdRoute fields = { .name = MD_STR ("queue"), .prefix = MD_STR ("/p/"), .pool = MD_STR ("calc") };

  if (*place != NULL)
    return;
  request = *place = calloc (1, sizeof *request);
  request->kind = kinds[draw (MD_ARRAY_SIZE (kinds))];
  request->arrived = md_now () - (one_in (30) ? 10 * MD_SECOND : 0);
  request->event = event;
  request->socket = caller[0];
  request->id[0] = (char)('a' + draw (12));
  request->offered = request->kind == MD_CALLER_REQUEST_SUBMIT && one_in (4);
  request->raw = MD_STR ("{}");
  if (request->kind == MD_CALLER_REQUEST_SUBMIT && !request->offered)
    fill_job (request, &fields);
  request->route = md_route_new (&fields);
  md_inbox_push (&entry.inbox, &request->node);
}

static void
poll_entry (void)
{
  md_links_poll (guards, 0);
  md_links_poll (entry.daemon.links, 0);
  entry.now = md_now ();
  md_entry_handle_requests (&entry, MD_SECOND);
  md_entry_jobs_tick (&entry);
  md_entry_guards_poll (&entry);
  collect_answers ();
}

static void
check_workers (void)
{
  for (uint32_t i = 0; i < entry.workers.n; i++)
    {
      const MdWorker *worker = entry.workers.workers[i];

      ck_assert_int_ge (worker->wait, 0);
      ck_assert_int_ge (worker->next_end, 0);
      ck_assert (worker->speed > 0 && worker->speed < 1e6);
    }
  for (const MdEntryJob *job = entry.jobs; job != NULL; job = job->next)
    {
      ck_assert_int_ge (job->goal, job->arrived - MD_SECOND);
      ck_assert_int_ge (job->deadline, job->arrived);
    }
}

static void
act_on_entry (void)
{
  uint64_t i = draw (CONNECTIONS);
  MdLink **link = &guard_links[i];

  if (!md_link_is_up (*link) || one_in (100))
    {
      md_link_close (*link);
      *link = md_links_dial (guards, md_str (entry_address), NULL);
      return;
    }
  switch (draw (12))
    {
    case 0:
    case 1:
      send_run_hello (*link, i);
      break;
    case 2:
      entry.load.pressure = (MdShortage){ .active = !one_in (4), .busy_at = md_now () };
      send_peer_frame (*link);
      break;
    case 3:
      send_other (*link);
      break;
    case 4:
    case 5:
    case 6:
      post_request ();
      break;
    default:
      send_run_report (*link);
      break;
    }
}

static void
start_entry (void)
{
  MdTuning tuning;
  MdError error = { 0 };

  md_tuning_default (&tuning);
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  event = eventfd (0, EFD_NONBLOCK);
  entry = (MdRunEntry){ .now = md_now (), .next_order_id = 1, .incarnation = 4711 };
  entry.daemon.settings.tuning = tuning;
  entry.daemon.settings.max_followed = 4;
  entry.daemon.settings.handover = true;
  entry.workers.remote_factor = 1.5;
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  entry.daemon.links = md_links_new (&tuning, &md_run_entry_handler, &entry);
  guards = md_links_new (&tuning, &guards_handler, NULL);
  ck_assert_int_eq (md_links_listen (entry.daemon.links, MD_STR ("127.0.0.1:0"), entry_address,
                                     &error),
                    MD_OK);
  for (int i = 0; i < CONNECTIONS; i++)
    guard_links[i] = md_links_dial (guards, md_str (entry_address), NULL);
}

static void
stop_entry (void)
{
  md_entry_reject_requests (&entry);
  md_entry_handover_fail_all (&entry);
  md_entry_fail_all (&entry);
  collect_answers ();
  ck_assert_uint_eq (entry.n_tasks, 0);
  md_links_free (guards);
  md_links_free (entry.daemon.links);
  md_entry_free_guards (&entry);
  md_entry_free_peers (&entry);
  md_entry_free_queues (&entry);
  close (event);
  close (caller[0]);
  close (caller[1]);
}

/* Guards against an entry that ends, or counts with numbers out of range, because of what a guard
   reports. */
START_TEST (entry_survives_frames)
{
  uint64_t orders = 0;

  read_environment ();
  for (long i = 0; i < rounds; i++)
    {
      if (i % ROUNDS_OF_A_PROCESS == 0)
        start_entry ();
      act_on_entry ();
      poll_entry ();
      check_workers ();
      if ((i + 1) % ROUNDS_OF_A_PROCESS == 0 || i + 1 == rounds)
        {
          orders += entry.next_order_id;
          stop_entry ();
        }
    }
  ck_assert_uint_gt (orders, (uint64_t)rounds / 50); /* jobs were placed */
}
END_TEST

/* ------------------------------------------------------------------ */
/* Guard                                                              */

static MdRunGuard guard;
static ScriptedServer worker;
static MdLinks *entries[CONNECTIONS];
static MdLink *entry_links[CONNECTIONS]; /* to the guard; NULL: not connected */

static void
on_guard_down (void *user, MdLink *link, const MdError *error MD_UNUSED)
{
  MdLink **present = user;

  if (*present == link)
    *present = NULL;
}

static void
on_guard_up (void *user, MdLink *link)
{
  *(MdLink **)user = link;
}

static const MdLinkHandler entries_handler = { on_guard_up, ignore_frame, on_guard_down };

/* Called by the server's thread, so that it draws no numbers. */
static const char *
respond (void *user MD_UNUSED, int number, const char *request)
{
  static const char *const starts[]
      = { "{\"clock_ms\":5}", "{\"reason\":\"room\"}", "{\"clock_ms\":9223372036854775807}",
          "{\"reason\":\"old\"}", "{\"reason\":\"fence\",\"clock_ms\":2305843009213693}" };
  static const char *const holds[]
      = { "{\"clock_ms\":5,\"born\":1,\"running\":[],\"finished\":[]}",
          "{\"clock_ms\":2305843009213693,\"born\":2,\"running\":[[\"00000000000000a1.0.0.0\",1]],"
          "\"finished\":[]}",
          "{\"clock_ms\":0,\"born\":1,\"running\":[],"
          "\"finished\":[[9007199254740993,\"00000000000000a1.0.0.0\",2,\"done\",\"\"]]}" };
  static __thread char response[512]; /* one for each connection */
  bool hold = strstr (request, "/v1/hold") != NULL;
  const char *body = hold ? holds[number / 40 % (int)MD_ARRAY_SIZE (holds)]
                          : starts[number % (int)MD_ARRAY_SIZE (starts)];

  snprintf (response, sizeof response, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s",
            strstr (body, "reason") != NULL ? "409 Conflict" : "200 OK", strlen (body), body);
  return response;
}

static void
send_run_welcome (MdLink *link, int i)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunWelcome welcome = MD__RUN_WELCOME__INIT;
  char *addresses[MAX_LIST];

  for (int k = 0; k < MAX_LIST; k++)
    addresses[k] = draw_text ("127.200.0.2:9");
  welcome.name = draw_text ("entry");
  welcome.incarnation = one_in (12) ? draw (3) : (uint64_t)i + 1;
  welcome.entries = addresses;
  welcome.n_entries = draw (MAX_LIST + 1);
  welcome.sparse_reports = one_in (3);
  welcome.report_interval_us = draw_amount (MD_SECOND);
  frame.msg_case = MD__FRAME__MSG_RUN_WELCOME;
  frame.run_welcome = &welcome;
  md_link_send (link, &frame);
}

static void
draw_order (Md__RunOrder *order)
{
  md__run_order__init (order);
  order->id = draw_amount (200);
  order->task = draw_text ("00000000000000a1.0.0.0");
  order->run = (uint32_t)draw_amount (4);
  order->spec = one_in (4) ? (uint32_t)draw_number () : 0;
  order->cpu = (uint32_t)draw_amount (2000);
  order->memory_mb = (uint32_t)draw_amount (100);
  order->accelerators = one_in (8) ? (uint32_t)draw_number () : 0;
  order->work_us = draw_amount (MD_SECOND);
  order->start_within_us = (int64_t)draw_amount (MD_SECOND);
  order->checkpoint = draw_text ("");
  order->permit = draw_text ("");
  order->alone = one_in (8);
  order->at_once = one_in (8);
}

static void
send_run_orders (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;
  Md__RunOrder order[MAX_LIST];
  Md__RunOrder *list[MAX_LIST];
  ProtobufCBinaryData specs[MAX_LIST];
  uint64_t cancels[MAX_LIST];
  uint64_t withdraws[MAX_LIST];

  for (int i = 0; i < MAX_LIST; i++)
    {
      draw_order (&order[i]);
      list[i] = &order[i];
      cancels[i] = draw_amount (200);
      withdraws[i] = draw_amount (200);
      specs[i] = (ProtobufCBinaryData){ one_in (4) ? 0 : 4, (uint8_t *)"ms=1" };
    }
  orders.guard = one_in (16) ? draw_number () : guard.incarnation;
  orders.echo_us = one_in (8) ? (int64_t)draw_number () : md_now ();
  orders.ends_seen = one_in (8) ? draw_number () : 0;
  orders.specs = specs;
  orders.n_specs = draw (MAX_LIST + 1);
  orders.orders = list;
  orders.n_orders = draw (MAX_LIST + 1);
  orders.cancels = cancels;
  orders.n_cancels = draw (MAX_LIST + 1);
  orders.withdraws = withdraws;
  orders.n_withdraws = draw (MAX_LIST + 1);
  orders.follow_us = draw_amount (MD_SECOND);
  orders.report_interval_us = draw_amount (MD_SECOND);
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  md_link_send (link, &frame);
}

static void
send_worker_report (void)
{
  MdWorkerEvent change = { .deregistered = one_in (40) };

  change.report.state = one_in (16) ? MD_WORKER_DRAINING : MD_WORKER_READY;
  change.report.capacity
      = (MdResources){ (uint32_t)draw_amount (64000), (uint32_t)draw_amount (64000),
                       (uint32_t)draw_amount (2) };
  change.report.born_ms = guard.worker.report.born_ms;
  change.report.clock_ms = -1;
  change.report.sequence = guard.worker.report.sequence + draw (2);
  change.report.traits = test_traits ("calc", NULL, NULL);
  md_guard_worker_event (&guard, &change);
}

/* As if the worker had answered a hold, whose latency would make most orders come too early. */
static void
accept_runs (void)
{
  guard.worker.has_report = guard.worker.clean = guard.worker.clock_known = true;
  guard.worker.reachable = true;
  guard.worker.last_response_at = guard.now;
  guard.worker.report.state = MD_WORKER_READY;
  md_guard_update_accepting (&guard);
}

static void
act_on_guard (void)
{
  int i = (int)draw (CONNECTIONS);
  MdLink *link = entry_links[i];

  if (!one_in (8))
    accept_runs ();
  if (link == NULL)
    return;
  if (one_in (100))
    {
      md_link_close (link);
      return;
    }
  switch (draw (16))
    {
    case 0:
    case 1:
    case 2:
      send_run_welcome (link, i);
      break;
    case 3:
      send_other (link);
      break;
    case 4:
    case 5:
      send_worker_report ();
      break;
    default:
      send_run_orders (link);
      break;
    }
}

static void
poll_guard (void)
{
  for (int i = 0; i < CONNECTIONS; i++)
    md_links_poll (entries[i], 0);
  md_links_poll (guard.daemon.links, md_now () + 100);
  md_http_poll (guard.http);
  md_http_poll (guard.stop_http);
  guard.now = md_now ();
  md_guard_worker_poll (&guard);
  md_guard_orders_poll (&guard);
}

static void
check_guard (void)
{
  ck_assert_int_ge (md_runqueue_expected_wait (&guard.queue, guard.now), 0);
  ck_assert_int_ge (md_runqueue_next_end (&guard.queue, guard.now), 0);
  ck_assert (md_runqueue_speed (&guard.queue, guard.now) > 0);
}

static void
start_guard (void)
{
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  guard = (MdRunGuard){ 0 };
  md_tuning_default (&tuning);
  tuning.reconnect_min = tuning.reconnect_max = MD_MS;
  guard.now = md_now ();
  guard.incarnation = 7;
  guard.daemon.settings.worker_lease_max = MD_SECOND;
  guard.daemon.settings.full_reports = 2;
  md_str_copy (guard.daemon.settings.name, sizeof guard.daemon.settings.name, MD_STR ("guard-1"));
  md_leases_set (&guard.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.daemon.links = md_links_new (&tuning, &md_run_guard_handler, &guard);
  guard.http = md_http_new (guard.daemon.links, 4);
  guard.stop_http = md_http_new (guard.daemon.links, MD_GUARD_STOP_CONNECTIONS);
  guard.worker.report.born_ms = -1;
  guard.worker.token = 1;
  scripted_server_start (&worker, respond, NULL);
  md_str_copy (guard.daemon.settings.worker_address, MD_ADDRESS_BYTES, md_str (worker.address));
  for (int i = 0; i < CONNECTIONS; i++)
    {
      entries[i] = md_links_new (&tuning, &entries_handler, &entry_links[i]);
      ck_assert_int_eq (md_links_listen (entries[i], MD_STR ("127.0.0.1:0"), address, &error),
                        MD_OK);
      md_guard_add_peer (&guard, md_str (address), false);
    }
}

static void
stop_guard (void)
{
  while (guard.start_calls + guard.stop_calls > 0 || guard.hold_in_progress)
    {
      md_links_poll (guard.daemon.links, md_now () + MD_MS);
      md_http_poll (guard.http);
      md_http_poll (guard.stop_http);
    }
  scripted_server_stop (&worker);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      md_links_free (entries[i]);
      entry_links[i] = NULL;
    }
  md_guard_free_runs (&guard);
  md_guard_free_peers (&guard);
  md_http_free (guard.http);
  md_http_free (guard.stop_http);
  md_links_free (guard.daemon.links);
}

/* Guards against the same at a guard because of what an entry orders. */
START_TEST (guard_survives_frames)
{
  uint64_t ends = 0;

  read_environment ();
  for (long i = 0; i < rounds; i++)
    {
      if (i % ROUNDS_OF_A_PROCESS == 0)
        start_guard ();
      act_on_guard ();
      poll_guard ();
      check_guard ();
      if ((i + 1) % ROUNDS_OF_A_PROCESS == 0 || i + 1 == rounds)
        {
          ends += guard.ends;
          stop_guard ();
        }
    }
  ck_assert_uint_gt (ends, (uint64_t)rounds / 50); /* orders were accepted */
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("frame-fuzz");

  tcase_set_timeout (tc, 0); /* ROUNDS may take long */
  tcase_add_test (tc, entry_survives_frames);
  tcase_add_test (tc, guard_survives_frames);
  return run_suite ("frame-fuzz", tc);
}
