/* guard-tasks.c -- starts, answers, cancels, releases and queries at a guard

   The ledger decides; this file carries out. A start that may run is turned into
   the bytes of its HTTP request at once and waits in a short queue until a slot
   is free. md_ledger_begin is asked right before the hand-over to an executor and
   records the task as started. From then on nobody is told that it did not run,
   unless the executor returns it unsent and the ledger records the refusal first.

   Refusals go back on the connection that brought the start. Everything else goes
   to the attached owner, through the list of retained answers. */

#include "http-server.h"
#include "md-guard.h"

#include <ctype.h>
#include <strings.h>

#define MAX_WAITING 1024                     /* accepted starts without a slot */
#define MAX_WAITING_BYTES ((size_t)64 << 20) /* bytes of their requests */
#define MAX_TIME_LEFT (3600 * MD_SECOND)     /* bound on a start's time to run */
#define BATCH_BYTES ((size_t)4 << 20)        /* answers in one frame */
#define BATCH_COUNT 512                      /* answers in one frame */
#define PACE_BYTES ((size_t)8 << 20)         /* queued output at which sending answers pauses */

static MdKey
key_of (const Md__Key *key)
{
  return key != NULL ? (MdKey){ key->hi, key->lo } : (MdKey){ 0, 0 };
}

/* ------------------------------------------------------------------ */
/* Replies on the connection that asked                               */

typedef struct
{
  MdPeer *peer;         /* receiver */
  Md__Answer **answers; /* n entries, owned */
  size_t n;             /* answers */
  size_t cap;           /* allocated entries */
} Replies;

static void
reply (Replies *replies, MdKey key, uint32_t task, MdTaskResult result, MdReason reason)
{
  Md__Answer *answer = md_answer_new (key, task, result, reason);

  if (replies->n == replies->cap)
    {
      size_t cap = replies->cap ? replies->cap * 2 : 16;
      Md__Answer **grown = realloc (replies->answers, cap * sizeof (Md__Answer *));

      if (grown != NULL)
        {
          replies->answers = grown;
          replies->cap = cap;
        }
    }
  if (answer != NULL && replies->n < replies->cap)
    replies->answers[replies->n++] = answer;
  else if (answer != NULL)
    md__answer__free_unpacked (answer, NULL); /* the owner asks again with a query */
}

static int
send_answers (MdLink *link, Md__Answer **list, size_t n)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Answers answers = MD__ANSWERS__INIT;
  int rc;

  if (n == 0)
    return MD_OK;
  answers.answers = list;
  answers.n_answers = n;
  frame.msg_case = MD__FRAME__MSG_ANSWERS;
  frame.answers = &answers;
  rc = md_link_send (link, &frame);
  if (rc == MD_OK)
    md_count (MD_M_ANSWERS, (int64_t)n);
  return rc;
}

/* Refusals that are lost are found by the query of the owner after a new connection. */
static void
send_replies (Replies *replies)
{
  if (send_answers (replies->peer->link, replies->answers, replies->n) != MD_OK)
    md_link_disconnect (replies->peer->link);
  for (size_t i = 0; i < replies->n; i++)
    md__answer__free_unpacked (replies->answers[i], NULL);
  free (replies->answers);
}

/* ------------------------------------------------------------------ */
/* Sending retained answers                                           */

static void
send_soon (MdGuard *guard, MdTime when)
{
  if (guard->flush_at == 0 || when < guard->flush_at)
    guard->flush_at = when;
}

static void
retain (MdGuard *guard, Md__Answer *answer, bool once)
{
  if (md_answers_add (&guard->answers, answer, once) == NULL)
    md_log (MD_LOG_ERROR, "answer-lost", "reason=out-of-memory");
  send_soon (guard, guard->now + guard->coalesce);
}

static void
refuse_later (MdGuard *guard, MdKey key, uint32_t task, MdReason reason)
{
  Md__Answer *answer = md_answer_new (key, task, MD_TASK_NOT_RUN, reason);

  if (answer != NULL)
    retain (guard, answer, true);
}

/* A heartbeat that was sent after the answer on the same connection and was
   acknowledged proves that the answer arrived. */
static bool
was_received (const MdRetainedAnswer *r, const MdPeer *owner)
{
  return r->sent_to == owner->incarnation && r->sent_at < owner->acked;
}

static bool
must_send (const MdRetainedAnswer *r, const MdPeer *owner)
{
  if (r->sent_to != owner->incarnation)
    return true;
  return r->connection != owner->connection && !was_received (r, owner);
}

static size_t
collect_batch (MdGuard *guard, const MdPeer *owner, MdRetainedAnswer **batch)
{
  MdAnswers *answers = &guard->answers;
  size_t bytes = 0;
  size_t n = 0;

  while (answers->cursor != NULL && n < BATCH_COUNT)
    {
      MdRetainedAnswer *r = answers->cursor;

      if (must_send (r, owner))
        {
          size_t size = md_answer_size (r->answer);

          if (n > 0 && bytes + size > BATCH_BYTES)
            break;
          bytes += size;
          batch[n++] = r;
        }
      answers->cursor = r->next;
    }
  return n;
}

static void
send_batch (MdGuard *guard, MdPeer *owner)
{
  MdRetainedAnswer *batch[BATCH_COUNT];
  Md__Answer *list[BATCH_COUNT];
  size_t n = collect_batch (guard, owner, batch);

  for (size_t i = 0; i < n; i++)
    list[i] = batch[i]->answer;
  if (send_answers (owner->link, list, n) != MD_OK)
    {
      md_link_disconnect (owner->link); /* all answers are sent again on the next connection */
      return;
    }
  for (size_t i = 0; i < n; i++)
    {
      batch[i]->sent_to = owner->incarnation;
      batch[i]->connection = owner->connection;
      batch[i]->sent_at = guard->now;
      if (batch[i]->once)
        md_answers_remove (&guard->answers, batch[i]);
    }
}

void
md_guard_send_answers (MdGuard *guard)
{
  MdPeer *owner = md_guard_owner (guard);

  if (owner == NULL || guard->flush_at == 0 || guard->now < guard->flush_at)
    return;
  while (guard->answers.cursor != NULL && md_link_is_up (owner->link)
         && md_link_queued (owner->link) < PACE_BYTES)
    send_batch (guard, owner);
  if (guard->answers.cursor == NULL)
    guard->flush_at = 0;
}

void
md_guard_resend (MdGuard *guard)
{
  guard->answers.cursor = guard->answers.oldest;
  send_soon (guard, guard->now);
}

/* ------------------------------------------------------------------ */
/* Requests                                                           */

static bool
is_token (const char *s)
{
  if (*s == '\0')
    return false;
  for (; *s != '\0'; s++)
    if (!isalnum ((unsigned char)*s) && strchr ("!#$%&'*+-.^_`|~", *s) == NULL)
      return false;
  return true;
}

static bool
is_path (const char *s)
{
  if (*s != '/')
    return false;
  for (; *s != '\0'; s++)
    if ((unsigned char)*s <= ' ' || *s == 0x7f)
      return false;
  return true;
}

static bool
is_field_value (const char *s)
{
  for (; *s != '\0'; s++)
    if (((unsigned char)*s < ' ' && *s != '\t') || *s == 0x7f)
      return false;
  return true;
}

/* Our own headers identify the attempt; a caller must not forge them. */
static bool
is_forwarded (const char *name)
{
  return !md_header_is_hop_by_hop (name) && strcasecmp (name, "Mulberrydrift-Submission") != 0
         && strcasecmp (name, "Mulberrydrift-Task") != 0;
}

static bool
write_headers (MdBuf *out, const Md__Start *start)
{
  for (size_t i = 0; i < start->n_headers; i++)
    {
      const Md__Header *header = start->headers[i];

      if (!is_token (header->name) || !is_field_value (header->value))
        return false;
      if (is_forwarded (header->name))
        md_buf_printf (out, "%s: %s\r\n", header->name, header->value);
    }
  return true;
}

/* Returns false when a part of the start cannot stand in an HTTP request. */
static bool
write_request (const MdGuard *guard, const Md__Start *start, MdBuf *out)
{
  const char *method = *start->method != '\0' ? start->method : "GET";
  char key[33];

  if (!is_token (method) || !is_path (start->path))
    return false;
  md_key_text (key_of (start->key), key);
  md_buf_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, start->path,
                 guard->settings.upstream_address);
  md_buf_printf (out, "Mulberrydrift-Submission: %s\r\nMulberrydrift-Task: %u\r\n", key,
                 start->task);
  if (!write_headers (out, start))
    return false;
  if (start->body.len > 0 || strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0)
    md_buf_printf (out, "Content-Length: %zu\r\n", start->body.len);
  md_buf_append (out, MD_STR ("\r\n"));
  md_buf_append (out, md_str_n ((const char *)start->body.data, start->body.len));
  return !out->failed;
}

static MdAttempt *
new_task (MdGuard *guard, const Md__Start *start)
{
  MdAttempt *task = calloc (1, sizeof *task);
  uint64_t left = start->time_left_us;

  if (task == NULL)
    return NULL;
  if (left > (uint64_t)MAX_TIME_LEFT)
    left = (uint64_t)MAX_TIME_LEFT;
  task->key = key_of (start->key);
  task->task = start->task;
  task->head_only = strcmp (start->method, "HEAD") == 0;
  task->deadline = guard->now + (MdTime)left;
  if (write_request (guard, start, &task->request))
    return task;
  md_attempt_free (task);
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Slots                                                              */

static void
update_gauges (const MdGuard *guard)
{
  md_gauge (MD_M_BUSY_SLOTS, (int64_t)guard->busy);
  md_gauge (MD_M_QUEUED_TASKS, (int64_t)guard->waiting.count);
}

/* The task is not at the upstream and never will be. */
static void
refuse_task (MdGuard *guard, MdAttempt *task, MdReason reason)
{
  char key[33];

  md_key_text (task->key, key);
  md_ledger_finish (guard->ledger, task->key, task->task, MD_RECORD_REFUSED, 0, guard->now);
  refuse_later (guard, task->key, task->task, reason);
  md_count (MD_M_STARTS_REFUSED, 1);
  md_log (MD_LOG_INFO, "not-started", "key=%s task=%u reason=%s detail=\"%s\"", key, task->task,
          md_reason_name (reason), task->error.detail);
  md_attempt_free (task);
}

/* The last check before the upstream. */
static void
hand_over (MdGuard *guard, MdAttempt *task)
{
  MdReason reason = MD_REASON_DEADLINE;

  if (guard->now < task->deadline)
    reason = md_ledger_begin (guard->ledger, task->key, task->task, guard->now);
  if (reason != MD_REASON_NONE)
    {
      refuse_task (guard, task, reason);
      return;
    }
  task->handed_at = guard->now;
  guard->busy++;
  md_count (MD_M_STARTS, 1);
  md_upstream_submit (guard->upstream, task);
}

static void
fill_slots (MdGuard *guard)
{
  while (guard->busy < guard->slots && guard->waiting.head != NULL)
    hand_over (guard, md_attempt_queue_pop (&guard->waiting));
  update_gauges (guard);
}

/* ------------------------------------------------------------------ */
/* Starts                                                             */

static void
log_start (const Md__Start *start, const char *result, MdReason reason)
{
  char key[33];
  char customer[MD_NAME_BYTES];

  if (!md_log_enabled (MD_LOG_INFO))
    return;
  md_key_text (key_of (start->key), key);
  md_log (MD_LOG_INFO, "start", "key=%s task=%u customer=%s verdict=%s reason=%s", key, start->task,
          md_log_quote (md_str (start->customer), customer, sizeof customer), result,
          md_reason_name (reason));
}

/* A start that cannot be written as a request can run nowhere. It is answered
   like a failure of the upstream, so that the owner does not try it elsewhere. */
static void
answer_malformed (MdGuard *guard, Replies *replies, const Md__Start *start)
{
  MdKey key = key_of (start->key);
  MdReason reason = md_ledger_begin (guard->ledger, key, start->task, guard->now);
  Md__Answer *answer;

  if (reason != MD_REASON_NONE)
    {
      reply (replies, key, start->task, MD_TASK_NOT_RUN, reason);
      return;
    }
  answer = md_answer_new (key, start->task, MD_TASK_FAILED, MD_REASON_TASK_FAILED);
  md_ledger_finish (guard->ledger, key, start->task, MD_RECORD_FAILED,
                    answer != NULL ? md_answer_size (answer) : 0, guard->now);
  if (answer == NULL)
    return;
  answer->status = 400;
  retain (guard, answer, false);
}

static void
accept_start (MdGuard *guard, Replies *replies, const Md__Start *start)
{
  MdKey key = key_of (start->key);
  MdAttempt *task;

  if (guard->waiting.count >= MAX_WAITING
      || guard->waiting.bytes + start->body.len > MAX_WAITING_BYTES)
    {
      md_ledger_finish (guard->ledger, key, start->task, MD_RECORD_REFUSED, 0, guard->now);
      reply (replies, key, start->task, MD_TASK_NOT_RUN, MD_REASON_FULL);
      md_count (MD_M_STARTS_REFUSED, 1);
      log_start (start, "refused", MD_REASON_FULL);
      return;
    }
  task = new_task (guard, start);
  if (task == NULL)
    {
      answer_malformed (guard, replies, start);
      log_start (start, "malformed", MD_REASON_TASK_FAILED);
      return;
    }
  log_start (start, "run", MD_REASON_NONE);
  md_attempt_queue_push (&guard->waiting, task);
}

/* Tells the owner how far a known task is. A running one is answered when it
   ends. */
static void
reply_state (MdGuard *guard, Replies *replies, MdKey key, uint32_t task, MdRecordState state)
{
  MdRetainedAnswer *r;

  switch (state)
    {
    case MD_RECORD_RUNNING:
      return;
    case MD_RECORD_REFUSED:
      reply (replies, key, task, MD_TASK_NOT_RUN, MD_REASON_REFUSED_BEFORE);
      return;
    case MD_RECORD_OK:
    case MD_RECORD_FAILED:
    case MD_RECORD_BROKEN:
    case MD_RECORD_RELEASED:
      r = md_answers_find (&guard->answers, key, task);
      if (r == NULL)
        {
          reply (replies, key, task, MD_TASK_BROKEN, MD_REASON_ANSWER_GONE);
          return;
        }
      r->sent_to = 0;
      md_guard_resend (guard);
      return;
    }
}

static void
decide_start (MdGuard *guard, Replies *replies, const Md__Starts *starts, const Md__Start *start)
{
  MdStartRequest request = { .key = key_of (start->key),
                             .fingerprint = key_of (start->fingerprint),
                             .task = start->task,
                             .n_tasks = start->n_tasks,
                             .owner = starts->owner,
                             .guard = starts->guard,
                             .nonce = starts->nonce_us,
                             .body_bytes = start->body.len };
  MdStartResult result = { 0 };

  md_ledger_start (guard->ledger, &request, guard->now, &result);
  switch (result.kind)
    {
    case MD_START_RUN:
      accept_start (guard, replies, start);
      break;
    case MD_START_DUPLICATE:
      md_count (MD_M_STARTS_DUPLICATE, 1);
      log_start (start, "duplicate", MD_REASON_NONE);
      reply_state (guard, replies, request.key, start->task, result.state);
      break;
    case MD_START_REFUSED:
      md_count (MD_M_STARTS_REFUSED, 1);
      log_start (start, "refused", result.reason);
      reply (replies, request.key, start->task, MD_TASK_NOT_RUN, result.reason);
      break;
    }
}

void
md_guard_starts (MdGuard *guard, MdPeer *peer, const Md__Starts *starts)
{
  Replies replies = { .peer = peer };

  for (size_t i = 0; i < starts->n_starts; i++)
    decide_start (guard, &replies, starts, starts->starts[i]);
  send_replies (&replies);
  fill_slots (guard);
}

/* ------------------------------------------------------------------ */
/* Results                                                            */

static void
free_dropped (MdGuard *guard)
{
  MdKey key;
  uint32_t task;

  while (md_ledger_next_dropped (guard->ledger, &key, &task))
    {
      MdRetainedAnswer *r = md_answers_find (&guard->answers, key, task);

      if (r != NULL)
        md_answers_remove (&guard->answers, r);
    }
}

static void
finish_task (MdGuard *guard, MdAttempt *task, Md__Answer *answer, MdRecordState state)
{
  answer->run_us = (uint64_t)task->run;
  md_ledger_finish (guard->ledger, task->key, task->task, state, md_answer_size (answer),
                    guard->now);
  retain (guard, answer, false);
}

static void
finish_complete (MdGuard *guard, MdAttempt *task)
{
  Md__Answer *answer = task->answer;
  bool failed = answer->status >= 400;

  task->answer = NULL;
  answer->result = failed ? MD_TASK_FAILED : MD_TASK_OK;
  answer->reason = failed ? MD_REASON_TASK_FAILED : MD_REASON_NONE;
  finish_task (guard, task, answer, failed ? MD_RECORD_FAILED : MD_RECORD_OK);
}

static void
finish_broken (MdGuard *guard, MdAttempt *task)
{
  Md__Answer *answer
      = md_answer_new (task->key, task->task, MD_TASK_BROKEN, MD_REASON_UPSTREAM_ERROR);
  char key[33];

  md_key_text (task->key, key);
  md_log (MD_LOG_WARN, "broken", "key=%s task=%u step=%s peer=%s detail=\"%s\"", key, task->task,
          task->error.step, task->error.peer, task->error.detail);
  if (answer != NULL)
    finish_task (guard, task, answer, MD_RECORD_BROKEN);
  else
    md_ledger_finish (guard->ledger, task->key, task->task, MD_RECORD_BROKEN, 0, guard->now);
}

static void
take_result (MdGuard *guard, MdAttempt *task)
{
  guard->busy--;
  switch (task->end)
    {
    case MD_END_COMPLETE:
      finish_complete (guard, task);
      break;
    case MD_END_BROKEN:
      finish_broken (guard, task);
      break;
    case MD_END_NOT_SENT:
      refuse_task (guard, task, MD_REASON_UPSTREAM_ERROR);
      return;
    case MD_END_STALE:
      /* The ledger lets no task begin twice, so this one is refused for good. */
      refuse_task (guard, task, MD_REASON_TOO_OLD);
      return;
    }
  md_attempt_free (task);
}

void
md_guard_results (MdGuard *guard)
{
  MdAttempt *task = md_upstream_take (guard->upstream);

  while (task != NULL)
    {
      MdAttempt *next = task->next;

      take_result (guard, task);
      task = next;
    }
  fill_slots (guard);
  free_dropped (guard);
}

/* ------------------------------------------------------------------ */
/* Cancels, releases, queries                                         */

/* Takes the waiting tasks of a job out of the queue. */
static void
drop_waiting (MdGuard *guard, Replies *replies, MdKey key)
{
  MdAttemptQueue kept = { 0 };
  MdAttempt *task;

  while ((task = md_attempt_queue_pop (&guard->waiting)) != NULL)
    {
      if (!md_key_equal (task->key, key))
        {
          md_attempt_queue_push (&kept, task);
          continue;
        }
      reply (replies, key, task->task, MD_TASK_NOT_RUN, MD_REASON_CANCELLED);
      md_attempt_free (task);
    }
  guard->waiting = kept;
}

static void
send_cancel_reply (const MdPeer *peer, MdKey key, const MdCancelResult *result)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__CancelReply cancel_reply = MD__CANCEL_REPLY__INIT;
  Md__Key wire_key = MD__KEY__INIT;

  wire_key.hi = key.hi;
  wire_key.lo = key.lo;
  cancel_reply.key = &wire_key;
  cancel_reply.not_run = result->not_run;
  cancel_reply.running = result->running;
  cancel_reply.done = result->done;
  frame.msg_case = MD__FRAME__MSG_CANCEL_REPLY;
  frame.cancel_reply = &cancel_reply;
  md_link_send (peer->link, &frame);
}

static void
cancel_job (MdGuard *guard, MdPeer *peer, MdKey key)
{
  Replies replies = { .peer = peer };
  MdCancelResult result = { 0 };
  char text[33];

  md_key_text (key, text);
  md_ledger_cancel (guard->ledger, key, guard->now, &result);
  drop_waiting (guard, &replies, key);
  send_replies (&replies);
  send_cancel_reply (peer, key, &result);
  md_count (MD_M_CANCELS, 1);
  md_log (MD_LOG_INFO, "cancel", "key=%s not_run=%u running=%u done=%u", text, result.not_run,
          result.running, result.done);
}

void
md_guard_cancel (MdGuard *guard, MdPeer *peer, const Md__Cancel *cancel)
{
  for (size_t i = 0; i < cancel->n_keys; i++)
    cancel_job (guard, peer, key_of (cancel->keys[i]));
  fill_slots (guard);
}

void
md_guard_release (MdGuard *guard, const Md__Release *release)
{
  for (size_t i = 0; i < release->n_keys; i++)
    md_ledger_release (guard->ledger, key_of (release->keys[i]), guard->now);
  free_dropped (guard);
}

void
md_guard_query (MdGuard *guard, MdPeer *peer, const Md__Query *query)
{
  Replies replies = { .peer = peer };

  for (size_t i = 0; i < query->n_tasks; i++)
    {
      const Md__TaskRecord *q = query->tasks[i];
      MdKey key = key_of (q->key);
      MdRecordState state = md_ledger_query (guard->ledger, key, key_of (q->fingerprint), q->task,
                                             q->n_tasks, guard->now);

      reply_state (guard, &replies, key, q->task, state);
    }
  send_replies (&replies);
}

/* ------------------------------------------------------------------ */
/* End                                                                */

bool
md_guard_drained (MdGuard *guard)
{
  MdPeer *owner = md_guard_owner (guard);

  if (guard->busy > 0 || guard->waiting.count > 0)
    return false;
  if (owner == NULL)
    return guard->answers.oldest == NULL;
  for (MdRetainedAnswer *r = guard->answers.oldest; r != NULL; r = r->next)
    if (!was_received (r, owner))
      return false;
  return true;
}
