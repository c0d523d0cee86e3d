/* test-entry-tasks.c -- jobs of extreme size at an entry

   The entry has two guards without links. The jobs follow the protocol, but declare far more tasks
   than any that was planned for, or tasks that need nothing. */

#include "fixture.h"
#include "run-entry.h"
#include "suite.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW (1000 * MD_SECOND)
#define MAX_JOBS 24

static MdRunEntry entry;
static MdEntryGuard guards[2];
static MdWorker *workers[2];
static MdSavedResources saved[2];
static bool excluded[2];
static MdCallerRequest requests[MAX_JOBS];
static int caller[2]; /* the entry's and the caller's end of a connection */
static int event;
static MdTime declared_time; /* of the tasks that are submitted */
static uint32_t cpu;         /* of each task */

static void
init_guard (MdEntryGuard *guard, const char *name)
{
  *guard = (MdEntryGuard){ .worker = { .speed = 1,
                                       .connected = true,
                                       .state = MD_WORKER_READY,
                                       .capacity = { 16000, 32768, 0 },
                                       .free = { 16000, 32768, 0 },
                                       .reported_at = NOW } };
  md_str_copy (guard->name, sizeof guard->name, md_str (name));
  guard->worker.traits = test_traits ("calc", NULL, NULL);
}

static void
setup (void)
{
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM, 0, caller), 0);
  event = eventfd (0, EFD_NONBLOCK);
  declared_time = 100 * MD_MS;
  cpu = 0;
  entry = (MdRunEntry){ .now = NOW, .next_order_id = 1, .saved_resources = saved };
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  md_tuning_default (&entry.daemon.settings.tuning);
  for (int i = 0; i < 2; i++)
    {
      init_guard (&guards[i], i == 0 ? "guard-1" : "guard-2");
      workers[i] = &guards[i].worker;
    }
  entry.workers = (MdWorkers){ .workers = workers, .n = 2, .remote_factor = 1.5 };
  entry.excluded = excluded;
}

static void
teardown (void)
{
  md_entry_fail_all (&entry);
  for (int i = 0; i < 2; i++)
    while (guards[i].orders != NULL)
      md_entry_order_ended (&entry, guards[i].orders, MD_RUN_REJECTED, 0, "");
  for (int i = 0; i < 2; i++)
    {
      free (guards[i].cancels.ids);
      free (guards[i].withdraws.ids);
    }
  for (int i = 0; i < MAX_JOBS; i++)
    md_buf_clear (&requests[i].body);
  close (event);
  close (caller[0]);
  close (caller[1]);
}

/* Submits job i, with tasks that declare no resources. */
static void
submit_job (int i, uint32_t steps, uint32_t tasks)
{
  MdCallerRequest *request = &requests[i];

  *request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT,
                                .arrived = entry.now,
                                .event = event,
                                .socket = caller[0],
                                .response_timeout = 60 * MD_SECOND };
  request->id[0] = (char)('a' + i);
  request->spec.steps = calloc (steps, sizeof *request->spec.steps);
  request->spec.n_steps = steps;
  request->spec.best_effort = true;
  for (uint32_t k = 0; k < steps; k++)
    {
      request->spec.steps[k].n_tasks = tasks;
      request->spec.steps[k].declared_time = declared_time;
      request->spec.steps[k].resources.cpu = cpu;
    }
  request->route = test_route (
      (MdRoute){ .name = MD_STR ("queue"), .slack_factor = 4, .target_latency = 60 * MD_MS });
  md_inbox_push (&entry.inbox, &request->node);
  md_entry_handle_requests (&entry, MD_SECOND);
}

/* Guards against an entry that is killed for its memory: 64 steps of 4,096 tasks in a body of 4 KB
   took 170 MB. */
START_TEST (job_of_too_many_tasks_is_rejected)
{
  submit_job (0, MD_MAX_STEPS, MD_MAX_STEP_TASKS);
  ck_assert (requests[0].answered);
  ck_assert_int_eq (requests[0].status, 503);
  ck_assert_uint_eq (entry.n_jobs, 0);
  submit_job (1, 2, MD_MAX_STEP_TASKS);
  ck_assert (!requests[1].answered);
}
END_TEST

/* Guards against the same by many such jobs at once, and against a count that is not kept when
   they end. */
START_TEST (tasks_of_all_jobs_are_bounded)
{
  for (int i = 0; i < MAX_JOBS; i++)
    submit_job (i, 1, MD_MAX_STEP_TASKS);
  ck_assert_uint_eq (entry.n_jobs, 16);
  ck_assert_uint_eq (entry.n_tasks, 65536);
  ck_assert_int_eq (requests[MAX_JOBS - 1].status, 429);
  md_entry_fail_all (&entry);
  ck_assert_uint_eq (entry.n_tasks, 0);
}
END_TEST

/* Guards against a job that is rejected because its run time is out of range: the goal was limited
   to the time of one run, which left no slack. */
START_TEST (job_of_the_longest_run_time_is_admitted)
{
  declared_time = MD_JSON_MAX_DURATION;
  cpu = 1000;
  for (int i = 0; i < 2; i++)
    {
      guards[i].worker.free.cpu = 0;
      guards[i].worker.wait = 60 * MD_MS; /* less than any bound */
    }
  submit_job (0, 1, 1);
  ck_assert (!requests[0].answered);
  ck_assert_uint_eq (entry.jobs->runjob.ordered, 1);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-tasks");

  tcase_set_timeout (tc, 120); /* for the sanitizers */
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, job_of_too_many_tasks_is_rejected);
  tcase_add_test (tc, tasks_of_all_jobs_are_bounded);
  tcase_add_test (tc, job_of_the_longest_run_time_is_admitted);
  return run_suite ("entry-tasks", tc);
}
