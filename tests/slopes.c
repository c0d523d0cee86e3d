/* slopes.c -- processor time and memory of each library object by its size

   Sizes grow by steps, so that tests/slopes.sh can tell a constant cost per item
   from one that grows with the size. Inputs are fixed; only the times vary. */

#include "slopes.h"

#include "store-private.h"

#define T0 (1000 * MD_SECOND)
#define WALL_MS 1700000000000
#define JOB_TASKS 12 /* median of the design's job sizes */

static MdTuning tuning;

/* ------------------------------------------------------------------ */
/* Members                                                            */

static MdMemberInfo
member_info (size_t i, char *name, size_t size)
{
  snprintf (name, size, "lusitania-worker-%04zu", i);
  return (MdMemberInfo){
    .role = i % 35 ? MD_ROLE_GUARD : MD_ROLE_ENTRY,
    .name = md_str (name),
    .incarnation = 1000 + i,
    .address = MD_STR ("10.20.30.40:7000"),
    .region = MD_STR ("lusitania"),
    .failure_domain = MD_STR ("lusitania-a"),
    .pool = MD_STR ("relogio-calc"),
    .cores = 64,
    .memory_mb = 262144,
    .slots = 8,
    .connections = 64,
  };
}

static MdMembers *
make_members (size_t n)
{
  MdMembers *members = md_members_new (&tuning);

  for (size_t i = 0; i < n; i++)
    {
      char name[48];
      MdMemberInfo info = member_info (i, name, sizeof name);

      md_members_register (members, &info, i + 1, WALL_MS, T0);
      md_members_set_interval (members, info.incarnation, MD_SECOND, T0);
    }
  return members;
}

static void
drain_members (MdMembers *members)
{
  MdMembersDecision decision;

  while (md_members_next (members, &decision))
    ;
}

/* Each member is heard once a second, in ten groups, and the table is ticked ten
   times a second. Members from first_silent on are not heard. */
static MdTime
live_seconds (MdMembers *members, size_t n, size_t first_silent, MdTime now, int seconds)
{
  for (int step = 0; step < seconds * 10; step++, now += 100 * MD_MS)
    {
      for (size_t i = (size_t)step % 10; i < n && i < first_silent; i += 10)
        md_members_record_contact (members, 1000 + i, now);
      md_members_tick (members, now);
      drain_members (members);
    }
  return now;
}

static void
measure_members (size_t n)
{
  enum
  {
    SECONDS = 2000,
    OWNERS = 20000,
  };
  Mark start = mark ();
  MdMembers *members = make_members (n);
  MdTime now;
  uint64_t sum = 0;

  report_time ("members", "register", n, start, (double)n);
  report_heap ("members", "memory", n, start, (double)n);
  now = live_seconds (members, n, n, T0, 5);
  start = mark ();
  for (int i = 0; i < SECONDS; i++)
    for (size_t j = 0; j < n; j++)
      md_members_record_contact (members, 1000 + j, now);
  report_time ("members", "heartbeat", n, start, (double)n * SECONDS);
  start = mark ();
  for (int i = 0; i < SECONDS; i++)
    for (size_t j = 0; j < n; j++)
      md_members_record_peer_contact (members, 1000 + j, MD_SECOND, now + i);
  report_time ("members", "heard-by", n, start, (double)n * SECONDS);
  start = mark ();
  now = live_seconds (members, n, n, now, SECONDS);
  report_time ("members", "second-of-heartbeats", n, start, SECONDS);
  start = mark ();
  for (int i = 0; i < OWNERS; i++)
    sum += md_members_owner (members, md_str_n (&i, sizeof i));
  require (sum > 0, "owner");
  report_time ("members", "owner-choice", n, start, OWNERS);
  start = mark ();
  live_seconds (members, n, n - n / 7, now, 10);
  report_time ("members", "second-of-domain-loss", n, start, 10);
  md_members_free (members);
}

/* ------------------------------------------------------------------ */
/* Dispatch                                                           */

typedef struct
{
  uint64_t guard;
  MdKey key;
  uint32_t task;
} Flight;

typedef struct
{
  MdDispatch *dispatch;
  MdTime now;
  Flight *flights; /* ring of cap places */
  size_t first;    /* oldest */
  size_t n;        /* under way */
  size_t cap;      /* places */
  size_t starts;   /* decided */
  size_t finished; /* jobs */
} Queue;

static void
make_queue (Queue *queue, size_t guards)
{
  *queue = (Queue){ .dispatch = md_dispatch_new (&tuning), .now = T0, .cap = guards * 8 };
  queue->flights = calloc (queue->cap, sizeof *queue->flights);
  md_dispatch_serve (queue->dispatch, 0, T0);
  for (size_t i = 0; i < guards; i++)
    {
      char name[48];
      MdGuardInfo info = { .id = 1 + i, .slots = 8, .cores = 64, .memory_mb = 262144 };

      snprintf (name, sizeof name, "worker-%04zu", i);
      info.name = md_str (name);
      info.failure_domain = MD_STR ("lusitania-a");
      md_dispatch_guard_up (queue->dispatch, &info, T0);
    }
}

static void
free_queue (Queue *queue)
{
  md_dispatch_free (queue->dispatch);
  free (queue->flights);
}

static void
submit_jobs (Queue *queue, size_t jobs, size_t customers, size_t tasks, uint64_t first)
{
  for (size_t i = 0; i < jobs; i++)
    {
      MdTaskSpec specs[JOB_TASKS];
      char name[48];
      MdJobSpec spec = { .tasks = specs, .n_tasks = (uint32_t)tasks };
      MdAdmission admission;

      snprintf (name, sizeof name, "customer-%03zu", i % customers);
      spec.customer = md_str (name);
      spec.key = md_key (spec.customer, MD_STR ("p"), md_str_n (&(uint64_t){ first + i }, 8));
      spec.fingerprint = spec.key;
      spec.deadline = queue->now + 36000 * MD_SECOND;
      for (size_t j = 0; j < tasks; j++)
        specs[j] = (MdTaskSpec){ .declared = (MdTime)(50 + (i * 37 + j * 101) % 950) * MD_MS };
      md_dispatch_submit (queue->dispatch, &spec, queue->now, WALL_MS, &admission);
      require (admission.kind == MD_ADMIT_QUEUED, "submission refused");
    }
}

/* Takes all decisions; starts go to the ring of tasks under way. */
static void
take_decisions (Queue *queue)
{
  MdDispatchDecision decision;

  while (md_dispatch_next (queue->dispatch, queue->now, &decision))
    switch (decision.kind)
      {
      case MD_DISPATCH_START:
        require (queue->n < queue->cap, "more starts than slots");
        queue->flights[(queue->first + queue->n++) % queue->cap]
            = (Flight){ decision.u.start.guard, decision.key, decision.u.start.task };
        queue->starts++;
        break;
      case MD_DISPATCH_FINISH:
        require (decision.u.finish.end == MD_JOB_DONE, "job failed");
        queue->finished++;
        break;
      default:
        break;
      }
}

static void
run_all (Queue *queue)
{
  take_decisions (queue);
  while (queue->n > 0)
    {
      Flight flight = queue->flights[queue->first];

      queue->first = (queue->first + 1) % queue->cap;
      queue->n--;
      queue->now += MD_MS;
      md_dispatch_answer (queue->dispatch, flight.guard, flight.key, flight.task, MD_TASK_OK,
                          MD_REASON_NONE, 500 * MD_MS, queue->now);
      take_decisions (queue);
    }
}

/* Cost by waiting tasks: enter that many, then run them all. */
static void
measure_backlog (size_t waiting)
{
  size_t jobs = waiting / JOB_TASKS;
  double tasks = (double)(jobs * JOB_TASKS);
  Queue queue;
  Mark start, empty;

  make_queue (&queue, 10);
  empty = start = mark ();
  submit_jobs (&queue, jobs, 1, JOB_TASKS, 0);
  report_time ("dispatch", "submit-by-backlog", waiting, start, tasks);
  report_heap ("dispatch", "memory-by-backlog", waiting, start, tasks);
  start = mark ();
  run_all (&queue);
  require (queue.finished == jobs, "unfinished jobs");
  report_time ("dispatch", "run-by-backlog", waiting, start, tasks);
  queue.now += tuning.answer_retention + MD_SECOND;
  md_dispatch_tick (queue.dispatch, queue.now);
  take_decisions (&queue);
  report_heap ("dispatch", "memory-per-ended-job", waiting, empty, (double)jobs);
  free_queue (&queue);
}

/* Cost by guards and by customers with 9,600 waiting tasks. */
static void
measure_guards (size_t guards)
{
  Queue queue;
  Mark start = mark ();

  make_queue (&queue, guards);
  report_heap ("dispatch", "memory-per-guard", guards, start, (double)guards);
  submit_jobs (&queue, 800, 1, JOB_TASKS, 0);
  start = mark ();
  run_all (&queue);
  report_time ("dispatch", "run-by-guards", guards, start, 800 * JOB_TASKS);
  free_queue (&queue);
}

static void
measure_customers (size_t customers)
{
  Queue queue;
  Mark start;

  make_queue (&queue, 10);
  submit_jobs (&queue, 920, customers, JOB_TASKS, 0);
  start = mark ();
  run_all (&queue);
  report_time ("dispatch", "run-by-customers", customers, start, 920 * JOB_TASKS);
  free_queue (&queue);
}

/* Cost of one task in a nearly empty queue beside many remembered submissions. */
static void
measure_remembered (size_t jobs)
{
  Queue queue;
  Mark start;

  make_queue (&queue, 10);
  for (size_t done = 0; done < jobs; done += 1000)
    {
      submit_jobs (&queue, 1000, 1, 1, done);
      run_all (&queue);
    }
  start = mark ();
  submit_jobs (&queue, 1000, 1, 1, jobs);
  run_all (&queue);
  report_time ("dispatch", "task-by-remembered", jobs, start, 1000);
  free_queue (&queue);
}

static void *
no_cookie (void *user MD_UNUSED, const MdRecord *record MD_UNUSED)
{
  return NULL;
}

/* Records of finished tasks that a new owner takes over from its guards. */
static void
measure_recovery (size_t n)
{
  MdDispatch *dispatch = md_dispatch_new (&tuning);
  Mark start = mark ();

  for (size_t i = 0; i < n; i++)
    {
      uint64_t job = i / JOB_TASKS + 1;
      MdRecord record = {
        .key = { job * 0x9e3779b97f4a7c15u, job },
        .task = (uint32_t)(i % JOB_TASKS),
        .n_tasks = JOB_TASKS,
        .state = MD_RECORD_RELEASED,
        .guard = 1 + i % 68,
      };

      md_dispatch_recover (dispatch, &record, no_cookie, NULL, T0);
    }
  report_time ("dispatch", "recover-record", n, start, (double)n);
  report_heap ("dispatch", "memory-recovered", n, start, (double)n);
  md_dispatch_free (dispatch);
}

/* ------------------------------------------------------------------ */
/* Ledger                                                             */

static void
start_tasks (MdLedger *ledger, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      uint64_t job = i / JOB_TASKS + 1;
      MdStartRequest request = {
        .key = { job * 0x9e3779b97f4a7c15u, job },
        .task = (uint32_t)(i % JOB_TASKS),
        .n_tasks = JOB_TASKS,
        .owner = 100,
        .guard = 7,
        .nonce = T0,
        .body_bytes = 200,
      };
      MdStartResult verdict;

      md_ledger_start (ledger, &request, T0, &verdict);
      require (verdict.kind == MD_START_RUN, "start refused");
      require (md_ledger_begin (ledger, request.key, request.task, T0) == MD_REASON_NONE, "begin");
      md_ledger_finish (ledger, request.key, request.task, MD_RECORD_OK, 300, T0);
    }
}

static void
measure_ledger (size_t n)
{
  static MdRecord records[256];
  MdLedger *ledger = md_ledger_new (&tuning, 7);
  MdAttachResult verdict;
  size_t cursor = 0;
  size_t kept = 0;
  size_t copied;
  MdKey key;
  uint32_t task;
  Mark empty = mark ();
  Mark start = empty;

  md_ledger_attach (ledger, 100, NULL, 0, T0, &verdict);
  md_ledger_echo (ledger, 100, T0, T0);
  start_tasks (ledger, n);
  report_time ("ledger", "start-to-finish", n, start, (double)n);
  report_heap ("ledger", "memory-per-record", n, start, (double)n);
  start = mark ();
  while (md_ledger_records (ledger, &cursor, records, MD_ARRAY_SIZE (records)) > 0)
    ;
  report_time ("ledger", "copy-record", n, start, (double)n);
  start = mark ();
  for (uint64_t job = 1; job <= n / JOB_TASKS; job++)
    md_ledger_release (ledger, (MdKey){ job * 0x9e3779b97f4a7c15u, job }, T0);
  while (md_ledger_next_dropped (ledger, &key, &task))
    ;
  report_time ("ledger", "release", n, start, (double)n);
  report_heap ("ledger", "memory-released", n, empty, (double)n);
  for (cursor = 0; (copied = md_ledger_records (ledger, &cursor, records, 256)) > 0;)
    kept += copied;
  report ("ledger", "records-after-release", n, (double)kept / (double)n, "records");
  start = mark ();
  for (int i = 0; i < 1000; i++)
    md_ledger_tick (ledger, T0 + i * 500 * MD_MS);
  report_time ("ledger", "tick", n, start, 1000);
  md_ledger_free (ledger);
}

/* ------------------------------------------------------------------ */
/* Shard                                                              */

static void
take_shard_decisions (MdShard *shard, MdTime now)
{
  MdAttachResult attached = { .attached = true };
  MdShardDecision decision;

  while (md_shard_next (shard, now, WALL_MS, &decision))
    if (decision.kind == MD_SHARD_ATTACH)
      {
        md_shard_attach_reply (shard, decision.guard, &attached, 1, now);
        md_shard_records_end (shard, decision.guard, now);
      }
}

/* An owner that exchanges a heartbeat with each of its guards every second. */
static MdTime
shard_seconds (MdShard *shard, size_t n, MdTime now, int seconds)
{
  for (int step = 0; step < seconds * 10; step++, now += 100 * MD_MS)
    {
      for (size_t i = (size_t)step % 10; i < n; i += 10)
        {
          md_shard_record_nonce (shard, 1000 + i, now, now);
          md_shard_record_ack (shard, 1000 + i, now, 1, now);
          take_shard_decisions (shard, now);
        }
      md_shard_tick (shard, now, WALL_MS);
      take_shard_decisions (shard, now);
    }
  return now;
}

static void
measure_shard (size_t n)
{
  enum
  {
    SECONDS = 4,
  };
  uint64_t *guards = calloc (n + 1, sizeof *guards);
  MdShard *shard = md_shard_new (&tuning, 100);
  MdTime now;
  Mark start = mark ();

  for (size_t i = 0; i < n; i++)
    guards[i] = 1000 + i;
  md_shard_set_guards (shard, guards, n, 1, T0);
  for (size_t i = 0; i < n; i++)
    md_shard_set_link (shard, guards[i], true, T0);
  md_shard_acquire (shard, NULL, 0, T0);
  now = shard_seconds (shard, n, T0, 2);
  require (md_shard_state (shard) == MD_SHARD_SERVING, "shard not serving");
  report_heap ("shard", "memory-per-guard", n, start, (double)n);
  start = mark ();
  shard_seconds (shard, n, now, SECONDS);
  require (md_shard_state (shard) == MD_SHARD_SERVING, "shard lost");
  report_time ("shard", "heartbeat", n, start, (double)n * SECONDS);
  md_shard_free (shard);
  free (guards);
}

/* ------------------------------------------------------------------ */
/* Configuration                                                      */

static void
apply_change (MdConfig *config, size_t i, uint64_t version, const char *name)
{
  static const char spec[] = "{\"weight\":2.5,\"slot_quota\":12,\"queue_quota\":5000}";
  uint64_t offset = md_config_next_offset (config);
  char id[40];
  md_autofree char *text = NULL;
  size_t len;

  snprintf (id, sizeof id, "change-%08zu", i);
  require (md_config_record (MD_CHANGE_PUT, md_str (id), MD_STR ("customer"), md_str (name),
                             version, MD_STR (spec), MD_STR ("operator"), &text, &len)
               == MD_OK,
           "record");
  require (md_config_apply (config, offset, WALL_MS, md_str_n (text, len)) == MD_APPLY_EFFECTIVE,
           "change without effect");
}

static void
measure_config (size_t n)
{
  MdConfig *config = md_config_new (&tuning);
  MdConfig *copy = md_config_new (&tuning);
  md_autofree char *snapshot = NULL;
  size_t len;
  char name[48];
  Mark start = mark ();

  require (n > 0, "no resources");
  for (size_t i = 0; i < n; i++)
    {
      snprintf (name, sizeof name, "team-%06zu", i);
      apply_change (config, i, 0, name);
    }
  report_time ("config", "create", n, start, (double)n);
  report_heap ("config", "memory-per-resource", n, start, (double)n);
  start = mark ();
  for (size_t i = 0; i < 1000; i++)
    {
      MdChange change;

      snprintf (name, sizeof name, "team-%06zu", i % n);
      md_config_get (config, MD_STR ("customer"), md_str (name), &change);
      apply_change (config, n + i, change.version, name);
    }
  report_time ("config", "change", n, start, 1000);
  start = mark ();
  require (md_config_snapshot (config, &snapshot, &len) == MD_OK, "snapshot");
  report_time ("config", "snapshot", n, start, (double)n);
  report ("config", "snapshot-size", n, (double)len / (double)n, "bytes");
  start = mark ();
  require (md_config_load (copy, md_str_n (snapshot, len), NULL) == MD_OK, "load");
  report_time ("config", "load", n, start, (double)n);
  md_config_free (copy);
  md_config_free (config);
}

/* Registrations: the last tenth of n records is timed, with all others applied. */
static void
measure_registrations (size_t n)
{
  MemberLog log = { 0 };
  MemberEvents events = { 0 };
  md_autofree char *removal = member_record_removal (1, true);
  md_autofree char *snapshot = NULL;
  size_t timed = n / 10;
  size_t bytes = 0;
  size_t len;
  Mark start = mark ();

  for (size_t i = 0; i < n; i++)
    {
      char name[48];
      MdMemberInfo info = member_info (i, name, sizeof name);
      md_autofree char *text = member_record_register (&info);

      if (i == n - timed)
        start = mark ();
      bytes += strlen (text);
      require (member_log_apply (&log, i, WALL_MS, md_str (text), &events) == MD_APPLY_EFFECTIVE,
               "registration without effect");
      member_events_clear (&events);
    }
  report_time ("registry", "apply", n, start, (double)timed);
  report ("registry", "record-size", n, (double)bytes / (double)n, "bytes");
  require (member_log_snapshot (&log, &snapshot, &len) == MD_OK, "snapshot");
  report ("registry", "removal-size", n, (double)strlen (removal), "bytes");
  report ("registry", "snapshot-size", n, (double)len / (double)n, "bytes");
  member_log_clear (&log);
}

int
main (void)
{
  md_tuning_default (&tuning);
  EACH (measure_members, 50, 200, 700, 2800);
  EACH (measure_backlog, 1200, 12000, 96000);
  EACH (measure_guards, 10, 68, 227, 680);
  EACH (measure_customers, 1, 23, 230, 920);
  EACH (measure_remembered, 1000, 10000, 100000, 1000000);
  EACH (measure_recovery, 1200, 12000, 120000);
  EACH (measure_ledger, 1200, 12000, 120000);
  EACH (measure_shard, 10, 68, 227, 680);
  EACH (measure_config, 100, 1000, 10000);
  EACH (measure_registrations, 50, 200, 700, 2800);
  return 0;
}
