/* test-recovery-model.c -- jobs under random takeovers, lost messages and replaced connections

   The dispatch core of an owner and the ledgers of its guards are real; the test carries the
   messages between them, loses those of a connection that breaks, and replaces the owner. It keeps
   count of what began at a worker and of what callers were told. */

#include "md-private.h"
#include "suite.h"

#include <stdio.h>

#define GUARDS 3
#define SLOTS 2
#define JOBS 120
#define TASKS 4
#define QUEUE 512
#define EVENTS 4000
#define CUSTOMER "alentejo"
#define PATIENCE (600 * MD_SECOND)
#define WALL_MS 1700000000000

typedef enum
{
  MESSAGE_START,
  MESSAGE_ANSWER,
  MESSAGE_QUERY,
  MESSAGE_CANCEL,
} Kind;

typedef struct
{
  Kind kind;
  uint32_t job;
  uint32_t task;
  uint64_t owner;      /* that sent it */
  MdTime nonce;        /* start */
  MdTaskResult result; /* answer */
  MdReason reason;     /* answer */
} Message;

typedef struct
{
  Message list[QUEUE]; /* n messages, the oldest first */
  uint32_t n;
} Queue;

typedef struct
{
  uint32_t job;
  uint32_t task;
  MdTaskResult result;
  uint64_t sent_to;    /* owner that has it, 0 none */
  uint64_t connection; /* on which it was sent */
} Retained;

typedef struct
{
  MdLedger *ledger;
  uint64_t id;
  bool up;             /* its connection to the owner */
  uint64_t connection; /* number of it */
  bool recovered;      /* the owner has its records */
  Queue to_guard;      /* on the connection */
  Queue to_owner;      /* on the connection */
  Queue late;          /* starts of former owners that are still on their way */
  Message waiting[64]; /* accepted starts without a slot */
  uint32_t n_waiting;
  Message running[SLOTS];
  uint32_t n_running;
  Retained retained[JOBS * TASKS];
  uint32_t n_retained;
} Guard;

typedef struct
{
  bool submitted;    /* at this owner */
  bool ever;         /* at some owner */
  bool finished;     /* the caller was told */
  bool told_not_run; /* and it was "not run" */
  uint32_t n;
  int64_t submitted_ms;
  uint32_t began[TASKS];
  uint64_t sent_to[TASKS]; /* guard that this owner waits for */
  bool body[TASKS];        /* this owner has the answer */
} Job;

typedef struct
{
  uint64_t random;
  MdTime now;
  uint64_t owner;
  uint64_t fences[64];
  size_t n_fences;
  MdDispatch *core;
  bool cut;
  Guard guards[GUARDS];
  Job jobs[JOBS];
  uint32_t submitted;
  MdTuning tuning;
} Model;

static uint32_t
draw (Model *m, uint32_t n)
{
  m->random = m->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(m->random >> 33) % n;
}

static int64_t
wall_ms (const Model *m)
{
  return WALL_MS + m->now / MD_MS;
}

static MdKey
key_of (uint32_t job)
{
  return (MdKey){ 1, job };
}

static MdKey
fingerprint_of (uint32_t job)
{
  return (MdKey){ 2, job };
}

static void
push (Queue *queue, Message message)
{
  ck_assert_uint_lt (queue->n, QUEUE);
  queue->list[queue->n++] = message;
}

static Message
pop (Queue *queue)
{
  Message message = queue->list[0];

  memmove (queue->list, queue->list + 1, --queue->n * sizeof *queue->list);
  return message;
}

static Guard *
guard_of (Model *m, uint64_t id)
{
  for (uint32_t i = 0; i < GUARDS; i++)
    if (m->guards[i].id == id)
      return &m->guards[i];
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Guard                                                              */

/* A refusal is sent once; the owner asks again after a connection was replaced. */
static void
reply (Guard *g, uint32_t job, uint32_t task, MdTaskResult result, MdReason reason)
{
  if (g->up)
    push (&g->to_owner, (Message){ MESSAGE_ANSWER, job, task, 0, 0, result, reason });
}

static void
send_retained (Model *m, Guard *g)
{
  for (uint32_t i = 0; i < g->n_retained && g->up; i++)
    {
      Retained *r = &g->retained[i];

      if (md_ledger_owner (g->ledger) != m->owner
          || (r->sent_to == m->owner && r->connection == g->connection))
        continue;
      reply (g, r->job, r->task, r->result, MD_REASON_NONE);
      r->sent_to = m->owner;
      r->connection = g->connection;
    }
}

static void
fill_slots (Model *m, Guard *g)
{
  while (g->n_running < SLOTS && g->n_waiting > 0)
    {
      Message start = g->waiting[0];
      MdReason reason;

      memmove (g->waiting, g->waiting + 1, --g->n_waiting * sizeof *g->waiting);
      reason = md_ledger_begin (g->ledger, key_of (start.job), start.task, m->now);
      if (reason != MD_REASON_NONE)
        {
          reply (g, start.job, start.task, MD_TASK_NOT_RUN, reason);
          continue;
        }
      ck_assert_uint_eq (m->jobs[start.job].began[start.task]++, 0);
      g->running[g->n_running++] = start;
    }
}

static void
reply_state (Model *m, Guard *g, const Message *q, MdRecordState state)
{
  if (state == MD_RECORD_RUNNING)
    return;
  if (state == MD_RECORD_REFUSED)
    {
      reply (g, q->job, q->task, MD_TASK_NOT_RUN, MD_REASON_REFUSED_BEFORE);
      return;
    }
  for (uint32_t i = 0; i < g->n_retained; i++)
    if (g->retained[i].job == q->job && g->retained[i].task == q->task)
      g->retained[i].sent_to = 0;
  send_retained (m, g);
}

static void
take_start (Model *m, Guard *g, const Message *start)
{
  MdStartRequest request = { .key = key_of (start->job),
                             .fingerprint = fingerprint_of (start->job),
                             .task = start->task,
                             .n_tasks = m->jobs[start->job].n,
                             .owner = start->owner,
                             .guard = g->id,
                             .nonce = start->nonce };
  MdStartResult result = { 0 };

  md_ledger_start (g->ledger, &request, m->now, &result);
  if (result.kind == MD_START_RUN)
    {
      g->waiting[g->n_waiting++] = *start;
      fill_slots (m, g);
    }
  else if (start->owner != m->owner)
    return; /* the reply goes to the connection that brought the start */
  else if (result.kind == MD_START_REFUSED)
    reply (g, start->job, start->task, MD_TASK_NOT_RUN, result.reason);
  else
    reply_state (m, g, start, result.state);
}

static void
take_cancel (Model *m, Guard *g, uint32_t job)
{
  MdCancelResult result;
  uint32_t kept = 0;

  md_ledger_cancel (g->ledger, key_of (job), m->now, &result);
  for (uint32_t i = 0; i < g->n_waiting; i++)
    if (g->waiting[i].job != job)
      g->waiting[kept++] = g->waiting[i];
    else
      reply (g, job, g->waiting[i].task, MD_TASK_NOT_RUN, MD_REASON_CANCELLED);
  g->n_waiting = kept;
}

static void
take_order (Model *m, Guard *g)
{
  Message order = pop (&g->to_guard);

  if (md_ledger_owner (g->ledger) != m->owner)
    return;
  switch (order.kind)
    {
    case MESSAGE_START:
      take_start (m, g, &order);
      break;
    case MESSAGE_QUERY:
      reply_state (m, g, &order,
                   md_ledger_query (g->ledger, key_of (order.job), fingerprint_of (order.job),
                                    order.task, m->jobs[order.job].n, m->now));
      break;
    case MESSAGE_CANCEL:
      take_cancel (m, g, order.job);
      break;
    case MESSAGE_ANSWER:
      break;
    }
}

/* A worker ends a task: well, badly, without an answer, or it was never sent to the upstream. */
static void
end_task (Model *m, Guard *g)
{
  static const MdTaskResult results[] = { MD_TASK_FAILED, MD_TASK_BROKEN };
  static const MdRecordState states[] = { MD_RECORD_FAILED, MD_RECORD_BROKEN };
  uint32_t i = draw (m, g->n_running);
  Message task = g->running[i];
  uint32_t end = draw (m, 40);

  g->running[i] = g->running[--g->n_running];
  if (end < 2)
    {
      md_ledger_finish (g->ledger, key_of (task.job), task.task, states[end], 100, m->now);
      g->retained[g->n_retained++] = (Retained){ task.job, task.task, results[end], 0, 0 };
      send_retained (m, g);
    }
  else if (end < 6)
    {
      m->jobs[task.job].began[task.task]--;
      md_ledger_finish (g->ledger, key_of (task.job), task.task, MD_RECORD_REFUSED, 0, m->now);
      reply (g, task.job, task.task, MD_TASK_NOT_RUN, MD_REASON_UPSTREAM_ERROR);
    }
  else
    {
      md_ledger_finish (g->ledger, key_of (task.job), task.task, MD_RECORD_OK, 100, m->now);
      g->retained[g->n_retained++] = (Retained){ task.job, task.task, MD_TASK_OK, 0, 0 };
      send_retained (m, g);
    }
  fill_slots (m, g);
}

/* ------------------------------------------------------------------ */
/* Owner                                                              */

static void
check_told (Model *m, uint32_t job, MdOutcome outcome)
{
  Job *j = &m->jobs[job];

  j->finished = true;
  j->told_not_run = outcome == MD_OUTCOME_NOT_RUN;
  for (uint32_t i = 0; j->told_not_run && i < j->n; i++)
    ck_assert_uint_eq (j->began[i], 0);
}

static void
do_start (Model *m, const MdDispatchDecision *d)
{
  uint32_t job = (uint32_t)d->key.lo;
  Guard *g = guard_of (m, d->u.start.guard);

  ck_assert (m->jobs[job].submitted);
  ck_assert (!m->jobs[job].told_not_run);
  if (!g->up)
    {
      md_dispatch_answer (m->core, g->id, d->key, d->u.start.task, MD_TASK_NOT_RUN,
                          MD_REASON_NO_UPSTREAM, 0, m->now);
      return;
    }
  m->jobs[job].sent_to[d->u.start.task] = g->id;
  push (&g->to_guard, (Message){ MESSAGE_START, job, d->u.start.task, m->owner, m->now, MD_TASK_OK,
                                 MD_REASON_NONE });
}

static void
do_finish (Model *m, const MdDispatchDecision *d)
{
  uint32_t job = (uint32_t)d->key.lo;
  Job *j = &m->jobs[job];

  if (!j->submitted)
    return; /* nobody waits for it at this owner */
  if (d->u.finish.end == MD_JOB_DONE)
    for (uint32_t i = 0; i < j->n; i++)
      ck_assert_uint_eq (j->began[i], 1);
  ck_assert_int_ne (d->u.finish.reason, MD_REASON_DEADLINE);
  check_told (m, job, d->u.finish.end == MD_JOB_DONE ? MD_OUTCOME_RAN : d->u.finish.outcome);
}

static void
decide (Model *m)
{
  MdDispatchDecision d;

  while (md_dispatch_next (m->core, m->now, &d))
    if (d.kind == MD_DISPATCH_START)
      do_start (m, &d);
    else if (d.kind == MD_DISPATCH_FINISH)
      do_finish (m, &d);
    else if (d.kind == MD_DISPATCH_CANCEL && guard_of (m, d.u.cancel.guard)->up)
      push (&guard_of (m, d.u.cancel.guard)->to_guard,
            (Message){ .kind = MESSAGE_CANCEL, .job = (uint32_t)d.key.lo });
    else if (d.kind == MD_DISPATCH_RELEASE && guard_of (m, d.u.release.guard)->up)
      md_ledger_release (guard_of (m, d.u.release.guard)->ledger, d.key, m->now);
}

static void
submit (Model *m, uint32_t job)
{
  MdTaskSpec tasks[TASKS] = { { .declared = 10 * MD_MS },
                              { .declared = 20 * MD_MS },
                              { .declared = 10 * MD_MS },
                              { .declared = 5 * MD_MS } };
  Job *j = &m->jobs[job];
  MdJobSpec spec = { .key = key_of (job),
                     .fingerprint = fingerprint_of (job),
                     .customer = MD_STR (CUSTOMER),
                     .tasks = tasks,
                     .n_tasks = j->n,
                     .deadline = m->now + PATIENCE,
                     .submitted_ms = j->submitted_ms };
  MdAdmission admission;

  j->told_not_run = false;
  md_dispatch_submit (m->core, &spec, m->now, wall_ms (m), &admission);
  j->submitted = admission.kind == MD_ADMIT_QUEUED || admission.kind == MD_ADMIT_ATTACHED;
  j->finished = false;
  if (admission.kind == MD_ADMIT_REPLAY)
    check_told (m, job, admission.done ? MD_OUTCOME_RAN : admission.outcome);
  else if (admission.kind == MD_ADMIT_REFUSED)
    check_told (m, job, admission.outcome);
  decide (m);
}

static void
submit_new (Model *m)
{
  Job *j = &m->jobs[m->submitted];

  if (m->submitted == JOBS)
    return;
  j->n = 1 + draw (m, TASKS);
  j->submitted_ms = wall_ms (m);
  j->ever = true;
  submit (m, m->submitted++);
}

static void
take_answer (Model *m, Guard *g)
{
  Message a = pop (&g->to_owner);
  Job *j = &m->jobs[a.job];

  if (md_dispatch_answer (m->core, g->id, key_of (a.job), a.task, a.result, a.reason, 0, m->now))
    j->body[a.task] = a.result == MD_TASK_OK;
  decide (m);
}

static void
recover_record (Model *m, const MdRecord *found)
{
  MdRecord record = *found;
  Job *j = &m->jobs[record.key.lo];

  if (record.state == MD_RECORD_OK && !j->body[record.task])
    record.state = MD_RECORD_RUNNING; /* until its answer has arrived */
  md_dispatch_recover (m->core, &record, NULL, NULL, m->now);
  if (record.state == MD_RECORD_RUNNING && j->sent_to[record.task] == 0)
    j->sent_to[record.task] = record.guard;
}

static void
attach (Model *m, Guard *g)
{
  MdAttachResult result;
  MdRecord records[16];
  size_t cursor = 0;
  size_t n;
  MdGuardInfo info = { .id = g->id, .name = MD_STR ("guard"), .slots = SLOTS };

  md_ledger_attach (g->ledger, m->owner, m->fences, m->n_fences, m->now, &result);
  ck_assert (result.attached);
  md_dispatch_guard_up (m->core, &info, m->now);
  while ((n = md_ledger_records (g->ledger, &cursor, records, 16)) > 0)
    for (size_t i = 0; i < n; i++)
      recover_record (m, &records[i]);
  g->recovered = true;
  send_retained (m, g);
  decide (m);
}

/* Once all records are known, nothing is unproven any more. */
static void
end_cut (Model *m)
{
  for (uint32_t i = 0; i < GUARDS; i++)
    if (!m->guards[i].recovered)
      return;
  if (m->cut)
    md_dispatch_serve (m->core, 0, m->now);
  m->cut = false;
}

static void
query (Model *m, Guard *g)
{
  for (uint32_t i = 0; i < m->submitted; i++)
    for (uint32_t t = 0; t < m->jobs[i].n; t++)
      if (m->jobs[i].sent_to[t] == g->id && !m->jobs[i].body[t])
        push (&g->to_guard, (Message){ .kind = MESSAGE_QUERY, .job = i, .task = t });
}

/* ------------------------------------------------------------------ */
/* Faults                                                             */

static void
break_link (Model *m, Guard *g)
{
  g->up = false;
  g->to_guard.n = 0;
  g->to_owner.n = 0;
  md_dispatch_guard_pause (m->core, g->id, true, m->now);
}

static void
restore_link (Model *m, Guard *g)
{
  g->up = true;
  g->connection++;
  if (g->recovered)
    {
      query (m, g);
      send_retained (m, g);
    }
  else
    attach (m, g);
  md_ledger_echo (g->ledger, m->owner, m->now, m->now);
  md_dispatch_guard_pause (m->core, g->id, false, m->now);
  end_cut (m);
  decide (m);
}

/* Starts of an owner that has died may still arrive; a guard that its successor has not reached
   accepts them until its lease ends. */
static void
take_late_start (Model *m, Guard *g)
{
  Message start = pop (&g->late);

  if (start.kind == MESSAGE_START)
    take_start (m, g, &start);
}

static void
keep_late (Guard *g)
{
  for (uint32_t i = 0; i < g->to_guard.n && g->late.n < QUEUE; i++)
    push (&g->late, g->to_guard.list[i]);
}

/* The owner gives the attempts at a silent guard up; the same process comes back later. */
static void
give_up (Model *m, Guard *g)
{
  md_dispatch_guard_lost (m->core, g->id, m->now);
  g->recovered = false;
  for (uint32_t i = 0; i < m->submitted; i++)
    for (uint32_t t = 0; t < m->jobs[i].n; t++)
      if (m->jobs[i].sent_to[t] == g->id)
        m->jobs[i].sent_to[t] = 0;
}

/* The owner dies; two of the guards, at least, hear its successor. Time passes until the former
   owner's silence counts; its leases end before the cut. */
static void
take_over (Model *m)
{
  uint32_t missing = draw (m, GUARDS + 1);

  m->fences[m->n_fences++] = m->owner;
  md_dispatch_free (m->core);
  m->core = md_dispatch_new (&m->tuning);
  m->owner++;
  for (uint32_t i = 0; i < m->submitted; i++)
    {
      m->jobs[i].submitted = false;
      memset (m->jobs[i].sent_to, 0, sizeof m->jobs[i].sent_to);
      memset (m->jobs[i].body, 0, sizeof m->jobs[i].body);
    }
  m->now += m->tuning.fence_after;
  for (uint32_t i = 0; i < GUARDS; i++)
    {
      keep_late (&m->guards[i]);
      break_link (m, &m->guards[i]);
      m->guards[i].recovered = false;
    }
  m->cut = missing < GUARDS;
  for (uint32_t i = 0; i < GUARDS; i++)
    if (i != missing)
      restore_link (m, &m->guards[i]);
  md_dispatch_serve (m->core,
                     m->cut ? wall_ms (m) + (m->tuning.guard_lease + m->tuning.clock_error) / MD_MS
                            : 0,
                     m->now);
  decide (m);
}

static void
random_event (Model *m)
{
  Guard *g = &m->guards[draw (m, GUARDS)];
  uint32_t event = draw (m, 100);

  m->now += draw (m, 3) * MD_MS;
  if (g->up && md_ledger_owner (g->ledger) == m->owner)
    {
      md_ledger_record_contact (g->ledger, m->owner, m->now);
      md_ledger_echo (g->ledger, m->owner, m->now, m->now);
    }
  if (event < 8)
    submit_new (m);
  else if (event < 12 && m->submitted > 0)
    submit (m, draw (m, m->submitted));
  else if (event < 15 && g->up)
    break_link (m, g);
  else if (event < 22 && !g->up)
    restore_link (m, g);
  else if (event < 23 && !g->up && g->recovered && draw (m, 4) == 0)
    give_up (m, g);
  else if (event < 24 && m->submitted > 0)
    md_dispatch_cancel (m->core, key_of (draw (m, m->submitted)), m->now);
  else if (event < 25 && draw (m, 6) == 0)
    take_over (m);
  else if (event < 28 && g->late.n > 0)
    take_late_start (m, g);
  else if (event < 50 && g->to_guard.n > 0)
    take_order (m, g);
  else if (event < 75 && g->to_owner.n > 0)
    take_answer (m, g);
  else if (g->n_running > 0)
    end_task (m, g);
  decide (m);
}

/* Without further faults, with callers that ask again. */
static void
settle (Model *m)
{
  for (uint32_t i = 0; i < GUARDS; i++)
    if (!m->guards[i].up)
      restore_link (m, &m->guards[i]);
  for (uint32_t i = 0; i < m->submitted; i++)
    if (!m->jobs[i].finished && !m->jobs[i].submitted)
      submit (m, i);
  for (int i = 0; i < 20000; i++)
    {
      Guard *g = &m->guards[i % GUARDS];

      m->now += MD_MS;
      md_ledger_record_contact (g->ledger, m->owner, m->now);
      md_ledger_echo (g->ledger, m->owner, m->now, m->now);
      if (g->to_guard.n > 0)
        take_order (m, g);
      if (g->to_owner.n > 0)
        take_answer (m, g);
      if (g->n_running > 0)
        end_task (m, g);
      md_dispatch_tick (m->core, m->now);
      decide (m);
    }
}

/* Guards against a task that begins twice, a start without its submission, a false "not run", an
   incomplete job called done, and a job that waits for an answer that nobody will send. */
START_TEST (test_takeovers_and_lost_messages)
{
  Model *m = calloc (1, sizeof *m);

  ck_assert_ptr_nonnull (m);
  md_tuning_default (&m->tuning);
  m->random = (uint64_t)_i + 1;
  m->now = 1000 * MD_SECOND;
  m->owner = 100;
  m->core = md_dispatch_new (&m->tuning);
  for (uint32_t i = 0; i < GUARDS; i++)
    {
      m->guards[i].id = 11 + i;
      m->guards[i].ledger = md_ledger_new (&m->tuning, m->guards[i].id);
      restore_link (m, &m->guards[i]);
    }
  md_dispatch_serve (m->core, 0, m->now);
  for (int i = 0; i < EVENTS; i++)
    {
      random_event (m);
      if (i == EVENTS / 2)
        take_over (m);
    }
  settle (m);
  for (uint32_t i = 0; i < m->submitted; i++)
    ck_assert_msg (m->jobs[i].finished, "job %u of seed %d has no answer", i, _i + 1);
  md_dispatch_free (m->core);
  for (uint32_t i = 0; i < GUARDS; i++)
    md_ledger_free (m->guards[i].ledger);
  free (m);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("recovery-model");

  tcase_add_loop_test (tc, test_takeovers_and_lost_messages, 0, 80);
  return run_suite ("recovery-model", tc);
}
