/* test-priority-messages.c -- priorities and pressure between an entry and a guard

   An entry and a guard in one process, over the loopback interface; the guard starts nothing.
   Guards against a priority that is known at the entry and never reaches the queue of a guard, and
   a pressure that never reaches the entry. */

#include "fixture.h"
#include "run-entry.h"
#include "run-guard.h"
#include "suite.h"

#include <stdio.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PASSES 20000 /* only ends a broken run */
#define JOBS 12
#define CPU 1500

static MdRunEntry entry;
static MdRunGuard guard;
static MdCallerRequest requests[JOBS];
static unsigned n_requests;
static int caller[2]; /* the entry's and the caller's end of a connection */

static void
poll_all (void)
{
  md_links_poll (guard.daemon.links, md_now () + MD_MS);
  guard.now = md_now ();
  md_guard_orders_poll (&guard);
  md_links_poll (guard.daemon.links, md_now ());
  md_links_poll (entry.daemon.links, md_now ());
  entry.now = md_now ();
  md_entry_guards_poll (&entry);
  md_links_poll (entry.daemon.links, md_now ());
}

static MdEntryGuard *
known_guard (void)
{
  return entry.workers.n > 0 ? (MdEntryGuard *)entry.workers.workers[0] : NULL;
}

static void
setup (void)
{
  MdTuning tuning;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  md_tuning_default (&tuning);
  entry.now = guard.now = md_now ();
  entry.incarnation = 3;
  entry.next_order_id = 1;
  md_tuning_default (&entry.daemon.settings.tuning);
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  entry.daemon.links = md_links_new (&tuning, &md_run_entry_handler, &entry);
  ck_assert_int_eq (md_links_listen (entry.daemon.links, MD_STR ("127.0.0.1:0"), address, &error),
                    MD_OK);
  guard.incarnation = 7;
  guard.daemon.settings.full_reports = 7;
  md_str_copy (guard.daemon.settings.name, sizeof guard.daemon.settings.name, MD_STR ("guard-1"));
  md_leases_set (&guard.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.worker.has_report = guard.worker.clean = true;
  guard.worker.reachable = guard.worker.clock_known = true;
  guard.worker.report.state = MD_WORKER_READY;
  guard.worker.report.capacity = (MdResources){ 4 * CPU, 4096, 0 };
  guard.worker.report.traits = test_traits ("calc", NULL, NULL);
  md_runqueue_set_capacity (&guard.queue, guard.worker.report.capacity);
  guard.queue.accepting = true;
  guard.daemon.links = md_links_new (&tuning, &md_run_guard_handler, &guard);
  md_guard_add_peer (&guard, md_str (address), false);
  for (int i = 0; i < PASSES
                  && (known_guard () == NULL || known_guard ()->worker.state != MD_WORKER_READY
                      || !known_guard ()->welcomed);
       i++)
    poll_all ();
  ck_assert_ptr_nonnull (known_guard ());
  ck_assert (known_guard ()->welcomed);
}

static void
teardown (void)
{
  md_links_free (entry.daemon.links);
  md_guard_free_runs (&guard);
  md_guard_free_peers (&guard);
  md_links_free (guard.daemon.links);
  for (unsigned i = 0; i < n_requests; i++)
    {
      md_buf_clear (&requests[i].body);
      close (requests[i].event);
    }
  close (caller[0]);
  close (caller[1]);
}

/* Submits a job of one task to a queue of this priority and waits until the guard has the run,
   which is returned. Slack enough for any backlog. */
static const MdGuardRun *
submit (const char *queue, uint8_t priority)
{
  MdCallerRequest *request = &requests[n_requests++];
  MdRunStep *step = calloc (1, sizeof *step);
  uint32_t waiting = guard.queue.waiting.n;

  ck_assert_ptr_nonnull (step);
  step->n_tasks = 1;
  step->resources = (MdResources){ CPU, 64, 0 };
  step->declared_time = 60 * MD_MS;
  *request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                                .arrived = md_now (),
                                .event = eventfd (0, EFD_NONBLOCK),
                                .socket = caller[0],
                                .response_timeout = 60 * MD_SECOND };
  snprintf (request->id, sizeof request->id, "%016x", n_requests);
  request->spec.steps = step;
  request->spec.n_steps = 1;
  request->spec.best_effort = true;
  request->route = test_route ((MdRoute){ .name = md_str (queue),
                                          .slack_factor = 4,
                                          .target_latency = 5 * MD_SECOND,
                                          .priority = priority });
  md_inbox_push (&entry.inbox, &request->node);
  entry.now = md_now ();
  md_entry_handle_requests (&entry, MD_SECOND);
  ck_assert_int_eq (request->status, 0); /* admitted */
  for (int i = 0; i < PASSES && guard.queue.waiting.n == waiting; i++)
    poll_all ();
  ck_assert_uint_eq (guard.queue.waiting.n, waiting + 1);
  return md_guard_find_order (&guard, entry.incarnation, entry.next_order_id - 1);
}

/* Guards against orders that state no priority, or a former one after the configuration changed;
   runs that wait keep theirs. */
START_TEST (orders_carry_the_priority)
{
  const MdGuardRun *first = submit ("a", 2);
  const MdGuardRun *second = submit ("b", 0);
  const MdGuardRun *third;

  ck_assert_uint_eq (first->queued.priority, 2);
  ck_assert_uint_eq (second->queued.priority, 0);
  third = submit ("a", 1); /* the configuration has changed */
  ck_assert_uint_eq (third->queued.priority, 1);
  ck_assert_uint_eq (first->queued.priority, 2);
  /* Tasks of the first job that are ordered from now on. */
  for (const MdEntryJob *job = entry.jobs; job != NULL; job = job->next)
    ck_assert_uint_eq (md_entry_order_priority (job),
                       strcmp (job->route->name.data, "a") == 0 ? 1 : 0);
  ck_assert_ptr_nonnull (entry.jobs);
  /* A job that its floor admitted has to start, or it is late all the same. */
  entry.jobs->floor = true;
  ck_assert_uint_eq (md_entry_order_priority (entry.jobs), 0);
}
END_TEST

/* Guards against a pressure that is not reported, or not taken into the mean of the pool. */
START_TEST (pressure_reaches_the_entry)
{
  const MdPressure *pressure;

  ck_assert_uint_eq (known_guard ()->worker.pressure, 0);
  /* Nothing is started, so that the capacity counts as free and each job is admitted. */
  for (unsigned i = 0; i < 4; i++)
    submit ("a", 2);
  for (int i = 0; i < PASSES && known_guard ()->worker.pressure == 0; i++)
    poll_all ();
  ck_assert_uint_gt (known_guard ()->worker.pressure, 0);
  ck_assert_uint_le (known_guard ()->worker.pressure, MD_FULL_PRESSURE);
  entry.now += 20 * MD_MS;
  md_entry_update_pressure_gauge (&entry);
  pressure = md_entry_pressure (&entry, MD_STR ("calc"));
  ck_assert_ptr_nonnull (pressure);
  ck_assert_uint_eq (pressure->permille, known_guard ()->worker.pressure);
  ck_assert_ptr_null (md_entry_pressure (&entry, MD_STR ("other")));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("priority-messages");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, orders_carry_the_priority);
  tcase_add_test (tc, pressure_reaches_the_entry);
  return run_suite ("priority-messages", tc);
}
