/* entry-jobs.c -- jobs of the shards that this entry owns

   The dispatch core decides; this file keeps what it does not hold: bodies,
   answers and who waits. A job's answers are collected in task order and become
   an immutable result when the core says that the job has ended. */

#include "entry-private.h"

#include <stdio.h>

static size_t
bucket (MdKey key)
{
  return key.lo % JOB_BUCKETS;
}

Job *
md_jobs_find (Shard *shard, MdKey key)
{
  for (Job *job = shard->jobs[bucket (key)]; job != NULL; job = job->next)
    if (md_key_equal (job->key, key))
      return job;
  return NULL;
}

static Job *
add_job (Shard *shard, MdKey key, uint32_t n_tasks)
{
  Job *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->key = key;
  job->n_tasks = n_tasks;
  job->answers = calloc (n_tasks, sizeof *job->answers);
  job->sent_to = calloc (n_tasks, sizeof *job->sent_to);
  if (job->answers == NULL || job->sent_to == NULL)
    {
      free (job->answers);
      free (job->sent_to);
      free (job);
      return NULL;
    }
  job->next = shard->jobs[bucket (key)];
  shard->jobs[bucket (key)] = job;
  return job;
}

static void
free_job (Job *job)
{
  md_waiters_free (job->waiters);
  md_submission_unref (job->sub);
  md_answers_free (job->answers, job->n_tasks);
  free (job->sent_to);
  md_result_unref (job->result);
  free (job);
}

static void
remove_job (Shard *shard, Job *job)
{
  Job **place = &shard->jobs[bucket (job->key)];

  while (*place != job)
    place = &(*place)->next;
  *place = job->next;
  free_job (job);
}

static void
add_waiter (Job *job, Waiter *waiter)
{
  waiter->next = job->waiters;
  job->waiters = waiter;
}

static void
observe_job (MdEntry *entry, const Job *job, MdState state)
{
  MD_AUTO_BUF out = { 0 };
  MD_AUTO_BUF name = { 0 };

  if (job->sub == NULL || job->sub->single_request)
    return;
  md_buf_printf (&name, "%s.%s", job->sub->pool, job->sub->id);
  md_buf_printf (&out, "{\"phase\":\"%s\",\"pool\":\"%s\",\"tasks\":%u,\"done\":%u}",
                 md_state_name (state), job->sub->pool, job->n_tasks, job->done_tasks);
  md_observed_put (entry->observed, "job", md_buf_str (&name), md_str (job->sub->customer),
                   md_buf_str (&out));
}

/* ------------------------------------------------------------------ */
/* Submitting                                                         */

static MdResult *
running_result (const Job *job)
{
  MdResult *result = md_result_new (MD_STATE_RUNNING, MD_REASON_NONE, MD_OUTCOME_UNKNOWN);

  result->n_tasks = job->n_tasks;
  result->done_tasks = job->done_tasks;
  return result;
}

static void
complete_one (MdEntry *entry, Waiter *waiter, MdResult *result)
{
  waiter->next = NULL;
  md_waiters_complete (entry, waiter, result);
  md_result_unref (result);
}

static void
wait_or_report (MdEntry *entry, Job *job, const MdSubmission *sub, Waiter *waiter)
{
  if (sub->wait)
    add_waiter (job, waiter);
  else
    complete_one (entry, waiter, running_result (job));
}

static void
refuse (MdEntry *entry, const MdSubmission *sub, Waiter *waiter, const MdAdmission *admission)
{
  MdResult *result = md_result_new (MD_STATE_REFUSED, admission->reason, admission->outcome);
  char key[33];

  md_key_text (sub->key, key);
  md_count (MD_M_REFUSED, 1);
  md_log (MD_LOG_INFO, "refuse", "job=%s customer=%s pool=%s reason=%s outcome=%s", key,
          sub->customer, sub->pool, md_reason_name (admission->reason),
          md_outcome_name (admission->outcome));
  result->retry_after = admission->retry_after;
  complete_one (entry, waiter, result);
}

static void
fill_spec (MdJobSpec *spec, MdTaskSpec *tasks, const MdSubmission *sub, Job *job)
{
  memset (spec, 0, sizeof *spec);
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    tasks[i] = sub->tasks[i].spec;
  spec->key = sub->key;
  spec->fingerprint = sub->fingerprint;
  spec->customer = md_str (sub->customer);
  spec->tasks = tasks;
  spec->n_tasks = sub->n_tasks;
  spec->deadline = sub->deadline;
  spec->submitted_ms = sub->submitted_ms;
  spec->single_request = sub->single_request;
  spec->repeatable = sub->repeatable;
  spec->cookie = job;
}

static void
replay (MdEntry *entry, Job *job, const MdAdmission *admission, Waiter *waiter)
{
  MdState state = admission->reason == MD_REASON_CANCELLED ? MD_STATE_CANCELLED : MD_STATE_FAILED;

  if (job != NULL && job->result != NULL && job->result->reason == admission->reason)
    complete_one (entry, waiter, md_result_ref (job->result));
  else
    complete_one (entry, waiter, md_result_new (state, admission->reason, admission->outcome));
}

static void
submit (MdEntry *entry, Shard *shard, MdSubmission *sub, Waiter *waiter, MdTime now)
{
  Job *known = md_jobs_find (shard, sub->key);
  Job *job = known != NULL ? known : add_job (shard, sub->key, sub->n_tasks);
  md_autofree MdTaskSpec *tasks = calloc (sub->n_tasks, sizeof *tasks);
  MdAdmission admission
      = { .kind = MD_ADMIT_REFUSED, .reason = MD_REASON_OVERLOAD, .outcome = MD_OUTCOME_UNKNOWN };
  MdJobSpec spec;

  if (job != NULL && tasks != NULL)
    {
      fill_spec (&spec, tasks, sub, job);
      md_dispatch_submit (shard->dispatch, &spec, now, md_wall_ms (), &admission);
    }
  switch (admission.kind)
    {
    case MD_ADMIT_QUEUED:
    case MD_ADMIT_ATTACHED:
      if (job->sub == NULL)
        {
          job->sub = md_submission_ref (sub);
          job->fingerprint = sub->fingerprint;
          observe_job (entry, job, MD_STATE_RUNNING);
        }
      wait_or_report (entry, job, sub, waiter);
      break;
    case MD_ADMIT_REPLAY:
      replay (entry, job, &admission, waiter);
      break;
    case MD_ADMIT_REFUSED:
      /* The ownership is in doubt; whoever owns the shard next decides. */
      if (admission.reason == MD_REASON_NOT_OWNER)
        md_forward_defer (entry, MD_OP_SUBMIT, sub, waiter);
      else
        refuse (entry, sub, waiter, &admission);
      if (known == NULL && job != NULL)
        remove_job (shard, job);
      break;
    }
}

static void
get (MdEntry *entry, Shard *shard, const MdSubmission *sub, Waiter *waiter)
{
  Job *job = md_jobs_find (shard, sub->key);

  if (job == NULL)
    complete_one (entry, waiter,
                  md_result_new (MD_STATE_NOT_FOUND, MD_REASON_NONE, MD_OUTCOME_UNKNOWN));
  else if (job->result != NULL)
    complete_one (entry, waiter, md_result_ref (job->result));
  else
    wait_or_report (entry, job, sub, waiter);
}

void
md_jobs_submit (MdEntry *entry, Shard *shard, MdOp op, MdSubmission *sub, Waiter *waiter,
                MdTime now)
{
  switch (op)
    {
    case MD_OP_SUBMIT:
      submit (entry, shard, sub, waiter, now);
      break;
    case MD_OP_GET:
      get (entry, shard, sub, waiter);
      break;
    case MD_OP_CANCEL:
      md_dispatch_cancel (shard->dispatch, sub->key, now);
      md_jobs_decide (entry, shard, now);
      get (entry, shard, sub, waiter);
      break;
    }
  md_jobs_decide (entry, shard, now);
}

/* ------------------------------------------------------------------ */
/* Answers and records                                                */

static MdKey
key_of (const Md__Key *wire)
{
  return wire ? (MdKey){ wire->hi, wire->lo } : (MdKey){ 0, 0 };
}

/* A retried request may have an answer of an earlier attempt, which is replaced. */
static void
keep_answer (Job *job, const Md__Answer *wire)
{
  MdTaskAnswer *answer = &job->answers[wire->task];

  if (answer->present)
    {
      md_answer_clear (answer);
      job->done_tasks--;
    }
  if (md_answer_from_wire (answer, wire) == MD_OK)
    job->done_tasks++;
}

/* A guard that was restarted refuses a start meant for its earlier process, which
   may have had a copy of it. */
static MdTaskResult
result_from_wire (const Md__Answer *wire)
{
  if (wire->result == MD_TASK_NOT_RUN
      && (wire->reason == MD_REASON_WRONG_INCARNATION || wire->reason == MD_REASON_EXPIRED))
    return MD_TASK_UNKNOWN;
  return (MdTaskResult)wire->result;
}

static void
take_answer (Peer *peer, const Md__Answer *wire, MdTime now)
{
  MdKey key = key_of (wire->key);
  Shard *shard = peer->shard;
  Job *job = md_jobs_find (shard, key);
  bool first = md_dispatch_answer (shard->dispatch, peer->incarnation, key, wire->task,
                                   result_from_wire (wire), (MdReason)wire->reason,
                                   (MdTime)wire->run_us, now);

  md_count (MD_M_ANSWERS, 1);
  if (!first || job == NULL || wire->task >= job->n_tasks)
    {
      if (wire->result != MD_TASK_NOT_RUN)
        md_count (MD_M_ANSWERS_DROPPED, 1);
      return;
    }
  if (wire->result == MD_TASK_OK || wire->result == MD_TASK_FAILED)
    keep_answer (job, wire);
  else
    job->sent_to[wire->task] = 0;
}

void
md_jobs_answers (MdEntry *entry, Peer *peer, const Md__Answers *answers, MdTime now)
{
  if (peer->shard == NULL)
    return;
  for (size_t i = 0; i < answers->n_answers; i++)
    take_answer (peer, answers->answers[i], now);
  md_jobs_decide (entry, peer->shard, now);
}

static void *
make_cookie (void *user, const MdRecord *record)
{
  Shard *shard = user;
  Job *job = md_jobs_find (shard, record->key);

  return job != NULL ? job : add_job (shard, record->key, record->n_tasks);
}

/* A running task is asked about again when the connection of its guard is replaced: its refusal may
   be lost with the former one. */
static void
note_record (Job *job, const MdRecord *record)
{
  if (job == NULL)
    return;
  if (job->sub == NULL)
    job->fingerprint = record->fingerprint;
  if (record->state == MD_RECORD_RUNNING && job->sent_to[record->task] == 0)
    job->sent_to[record->task] = record->guard;
}

void
md_jobs_records (MdEntry *entry, Peer *peer, const Md__Records *records, MdTime now)
{
  Shard *shard = peer->shard;

  if (shard == NULL)
    return;
  for (size_t i = 0; i < records->n_records; i++)
    {
      const Md__TaskRecord *wire = records->records[i];
      Job *job;
      MdRecord record = { .key = key_of (wire->key),
                          .fingerprint = key_of (wire->fingerprint),
                          .task = wire->task,
                          .n_tasks = wire->n_tasks,
                          .state = (MdRecordState)wire->state,
                          .guard = peer->incarnation };

      if (record.n_tasks == 0 || record.task >= record.n_tasks)
        continue;
      /* A guard sends its retained answers after its records. Until the body is
         here, the task counts as running, so that no job ends without it. */
      job = md_jobs_find (shard, record.key);
      if (job != NULL && record.task >= job->n_tasks)
        continue; /* of another number of tasks than the job */
      if (record.state == MD_RECORD_OK
          && (job == NULL || (job->result == NULL && !job->answers[record.task].present)))
        record.state = MD_RECORD_RUNNING;
      job = md_dispatch_recover (shard->dispatch, &record, make_cookie, shard, now);
      note_record (job, &record);
    }
  /* The next heartbeat asks for the acknowledgement that the takeover waits for. */
  if (records->last)
    peer->next_heartbeat = 0;
  if (records->last)
    md_shard_records_end (shard->core, peer->incarnation, now);
  md_shards_run (entry, shard, now);
}

/* Asks a guard for all attempts that it has not answered, after its connection
   was replaced. */
void
md_jobs_query (Peer *peer)
{
  Md__Query query = MD__QUERY__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  Md__TaskRecord **list = NULL;
  size_t cap = 0;
  size_t n = 0;

  for (size_t b = 0; b < JOB_BUCKETS; b++)
    for (Job *job = peer->shard->jobs[b]; job != NULL; job = job->next)
      for (uint32_t i = 0; i < job->n_tasks; i++)
        {
          Md__TaskRecord *record;

          if (job->sent_to[i] != peer->incarnation || job->answers[i].present)
            continue;
          if (n == cap)
            {
              Md__TaskRecord **grown = realloc (list, (cap * 2 + 16) * sizeof *grown);
              if (grown == NULL)
                break;
              list = grown;
              cap = cap * 2 + 16;
            }
          record = malloc (sizeof *record + 2 * sizeof (Md__Key));
          if (record == NULL)
            break;
          md__task_record__init (record);
          record->key = (Md__Key *)(record + 1);
          record->fingerprint = record->key + 1;
          md__key__init (record->key);
          md__key__init (record->fingerprint);
          record->key->hi = job->key.hi;
          record->key->lo = job->key.lo;
          record->fingerprint->hi = job->fingerprint.hi;
          record->fingerprint->lo = job->fingerprint.lo;
          record->task = i;
          record->n_tasks = job->n_tasks;
          list[n++] = record;
        }
  query.n_tasks = n;
  query.tasks = list;
  frame.msg_case = MD__FRAME__MSG_QUERY;
  frame.query = &query;
  if (n > 0)
    {
      md_link_send (peer->link, &frame);
      md_log (MD_LOG_INFO, "query", "upstream=%s attempts=%zu", peer->name, n);
    }
  for (size_t i = 0; i < n; i++)
    free (list[i]);
  free (list);
}

/* ------------------------------------------------------------------ */
/* Decisions of the dispatch core                                     */

/* A start borrows its texts from the submission, which the job keeps alive until
   the batch has left in the same pass or, with coalescing, a little later. */
static Md__Start *
make_start (const Job *job, uint32_t index, MdTime time_left)
{
  const MdTaskBody *task = &job->sub->tasks[index];
  size_t n = task->n_headers;
  size_t size = sizeof (Md__Start) + 2 * sizeof (Md__Key)
                + n * (sizeof (Md__Header) + sizeof (Md__Header *));
  Md__Start *start = malloc (size);
  Md__Key *keys;
  Md__Header *headers;
  Md__Header **list;

  if (start == NULL)
    return NULL;
  keys = (Md__Key *)(start + 1);
  headers = (Md__Header *)(keys + 2);
  list = (Md__Header **)(headers + n);
  md__start__init (start);
  md__key__init (&keys[0]);
  md__key__init (&keys[1]);
  keys[0].hi = job->key.hi;
  keys[0].lo = job->key.lo;
  keys[1].hi = job->sub->fingerprint.hi;
  keys[1].lo = job->sub->fingerprint.lo;
  start->key = &keys[0];
  start->fingerprint = &keys[1];
  start->task = index;
  start->n_tasks = job->n_tasks;
  start->method = task->method;
  start->path = task->path;
  for (size_t i = 0; i < n; i++)
    {
      md__header__init (&headers[i]);
      headers[i].name = task->headers[i].name;
      headers[i].value = task->headers[i].value;
      list[i] = &headers[i];
    }
  start->n_headers = n;
  start->headers = list;
  start->body.data = (uint8_t *)task->body;
  start->body.len = task->body_len;
  start->time_left_us = time_left > 0 ? (uint64_t)time_left : 0;
  start->customer = job->sub->customer;
  return start;
}

static bool
grow_starts (Peer *peer)
{
  size_t cap = peer->cap_starts ? peer->cap_starts * 2 : 16;
  Md__Start **grown;

  if (peer->n_starts < peer->cap_starts)
    return true;
  grown = realloc (peer->starts, cap * sizeof *grown);
  if (grown == NULL)
    return false;
  peer->starts = grown;
  peer->cap_starts = cap;
  return true;
}

static void
log_placement (const Job *job, const Peer *peer, const MdDispatchDecision *d)
{
  char key[33];

  if (!md_log_enabled (MD_LOG_INFO))
    return;
  md_key_text (job->key, key);
  md_log (MD_LOG_INFO, "place",
          "job=%s task=%u customer=%s zone=%s upstream=%s reason=%s alternatives=%u attempt=%u",
          key, d->u.start.task, job->sub->customer, peer->domain, peer->name,
          md_reason_name (d->u.start.reason), d->u.start.alternatives, d->u.start.attempt);
}

static void
do_start (MdEntry *entry, Shard *shard, const MdDispatchDecision *d, MdTime now)
{
  Peer *peer = md_peers_find (entry, d->u.start.guard);
  Job *job = d->cookie;
  Md__Start *start = NULL;

  if (peer != NULL && peer->link != NULL && md_link_is_up (peer->link) && grow_starts (peer))
    start = make_start (job, d->u.start.task, d->u.start.time_left);
  if (start == NULL)
    {
      /* Nothing was sent, so the attempt provably did not start. */
      md_dispatch_answer (shard->dispatch, d->u.start.guard, d->key, d->u.start.task,
                          MD_TASK_NOT_RUN, MD_REASON_NO_UPSTREAM, 0, now);
      return;
    }
  if (peer->n_starts == 0)
    peer->flush_at = now + shard->coalesce_us;
  peer->starts[peer->n_starts++] = start;
  job->sent_to[d->u.start.task] = peer->incarnation;
  md_count (MD_M_STARTS, 1);
  if (d->u.start.attempt > 1)
    md_count (MD_M_RETRIES, 1);
  log_placement (job, peer, d);
}

static MdResult *
result_of (MdEntry *entry, Job *job, const MdDispatchDecision *d)
{
  static const MdState states[] = { MD_STATE_DONE, MD_STATE_FAILED, MD_STATE_CANCELLED };
  MdResult *result
      = md_result_new (states[d->u.finish.end], d->u.finish.reason, d->u.finish.outcome);
  Peer *peer = md_peers_find (entry, d->u.finish.guard);
  bool single = job->sub != NULL && job->sub->single_request;

  result->task = d->u.finish.task;
  result->n_tasks = job->n_tasks;
  result->done_tasks = job->done_tasks;
  if (peer != NULL)
    md_str_copy (result->peer, sizeof result->peer, md_str (peer->name));
  /* A single request passes the upstream's own failure on. */
  if (d->u.finish.end == MD_JOB_DONE && job->done_tasks != job->n_tasks)
    {
      /* Bodies are missing: a failure, never a partial answer. */
      result->state = MD_STATE_FAILED;
      result->reason = MD_REASON_ANSWER_GONE;
      result->outcome = MD_OUTCOME_RAN;
      return result;
    }
  if (d->u.finish.end == MD_JOB_DONE || (single && job->done_tasks == 1))
    {
      result->answers = job->answers;
      result->n_answers = job->n_tasks;
      job->answers = calloc (job->n_tasks, sizeof *job->answers);
    }
  return result;
}

static void
do_finish (MdEntry *entry, const MdDispatchDecision *d)
{
  Job *job = d->cookie;
  Waiter *waiters = job->waiters;
  char key[33];

  md_result_unref (job->result);
  job->result = result_of (entry, job, d);
  job->waiters = NULL;
  md_count (d->u.finish.end == MD_JOB_DONE ? MD_M_JOBS_DONE : MD_M_JOBS_FAILED, 1);
  md_key_text (job->key, key);
  md_log (MD_LOG_INFO, "finish",
          "job=%s customer=%s state=%s reason=%s outcome=%s tasks=%u done=%u", key,
          job->sub ? job->sub->customer : "", md_state_name (job->result->state),
          md_reason_name (d->u.finish.reason), md_outcome_name (d->u.finish.outcome), job->n_tasks,
          job->done_tasks);
  observe_job (entry, job, job->result->state);
  md_waiters_complete (entry, waiters, job->result);
}

static void
add_key (MdKey **keys, size_t *n, MdKey key)
{
  /* Grows in steps of 64, so that a wave of cancellations costs few copies. */
  if (*n % 64 == 0)
    {
      MdKey *grown = realloc (*keys, (*n + 64) * sizeof *grown);
      if (grown == NULL)
        return;
      *keys = grown;
    }
  (*keys)[(*n)++] = key;
}

/* Takes starts of a cancelled job out of a batch that has not left yet; they
   provably did not start. */
static void
drop_batched (Shard *shard, Peer *peer, MdKey key, MdTime now)
{
  size_t kept = 0;

  for (size_t i = 0; i < peer->n_starts; i++)
    {
      Md__Start *start = peer->starts[i];
      if (start->key->hi != key.hi || start->key->lo != key.lo)
        {
          peer->starts[kept++] = start;
          continue;
        }
      md_dispatch_answer (shard->dispatch, peer->incarnation, key, start->task, MD_TASK_NOT_RUN,
                          MD_REASON_CANCELLED, 0, now);
      free (start);
    }
  peer->n_starts = kept;
}

static void
do_cancel (MdEntry *entry, Shard *shard, const MdDispatchDecision *d, MdTime now)
{
  Peer *peer = md_peers_find (entry, d->u.cancel.guard);
  MdKey key = d->key;

  if (peer == NULL)
    return;
  drop_batched (shard, peer, key, now);
  add_key (&peer->cancels, &peer->n_cancels, key);
  md_count (MD_M_CANCELS, 1);
}

static void
do_release (MdEntry *entry, const MdDispatchDecision *d)
{
  Peer *peer = md_peers_find (entry, d->u.release.guard);

  if (peer != NULL)
    add_key (&peer->releases, &peer->n_releases, d->key);
}

static void
do_forget (MdEntry *entry, Shard *shard, const MdDispatchDecision *d)
{
  Job *job = d->cookie;
  MD_AUTO_BUF name = { 0 };

  if (job == NULL)
    return;
  if (job->sub != NULL && !job->sub->single_request)
    {
      md_buf_printf (&name, "%s.%s", job->sub->pool, job->sub->id);
      md_observed_delete (entry->observed, "job", md_buf_str (&name));
    }
  remove_job (shard, job);
}

static void
log_health (MdEntry *entry, const MdDispatchDecision *d)
{
  Peer *peer = md_peers_find (entry, d->u.health.guard);

  md_log (MD_LOG_WARN, "health", "upstream=%s usable=%d probation=%d", peer ? peer->name : "",
          d->u.health.usable, d->u.health.probation);
}

void
md_jobs_decide (MdEntry *entry, Shard *shard, MdTime now)
{
  MdDispatchDecision d;

  while (md_dispatch_next (shard->dispatch, now, &d))
    switch (d.kind)
      {
      case MD_DISPATCH_START:
        do_start (entry, shard, &d, now);
        break;
      case MD_DISPATCH_FINISH:
        do_finish (entry, &d);
        break;
      case MD_DISPATCH_CANCEL:
        do_cancel (entry, shard, &d, now);
        break;
      case MD_DISPATCH_RELEASE:
        do_release (entry, &d);
        break;
      case MD_DISPATCH_FORGET:
        do_forget (entry, shard, &d);
        break;
      case MD_DISPATCH_REPORT:
        md_reports_add (entry, &d);
        break;
      case MD_DISPATCH_HEALTH:
        log_health (entry, &d);
        break;
      }
}

void
md_jobs_drop (MdEntry *entry, Shard *shard, MdTime now)
{
  for (size_t b = 0; b < JOB_BUCKETS; b++)
    while (shard->jobs[b] != NULL)
      {
        Job *job = shard->jobs[b];
        shard->jobs[b] = job->next;
        if (job->result == NULL && job->sub != NULL && now > 0)
          {
            Waiter *waiters = job->waiters;
            job->waiters = NULL;
            md_forward_route (entry, MD_OP_SUBMIT, job->sub, waiters, now);
          }
        free_job (job);
      }
}
