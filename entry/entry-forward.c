/* entry-forward.c -- routing of submissions to the owner of their shard

   A submission for a shard that this entry owns goes to its dispatch core; any
   other is forwarded, one hop. A forwarded submission keeps its body and its
   waiters here until the owner has answered, so that it can be sent again to a
   new owner when the old one is lost. Sending again is safe: the key makes the
   new owner merge it with what the guards know. */

#include "entry-private.h"

#include <stdio.h>

#define NO_OWNER_RETRY MD_SECOND /* Retry-After when no owner could be reached */

/* ------------------------------------------------------------------ */
/* Waiters                                                            */

Waiter *
md_waiter_local (MdResultFuture *future)
{
  Waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    abort (); /* a caller must get an answer */
  waiter->kind = WAITER_LOCAL;
  waiter->u.future = future;
  return waiter;
}

Waiter *
md_waiter_remote (uint64_t peer, uint64_t request)
{
  Waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    abort (); /* a caller must get an answer */
  waiter->kind = WAITER_REMOTE;
  waiter->u.remote.entry = peer;
  waiter->u.remote.request = request;
  return waiter;
}

void
md_waiters_free (Waiter *waiters)
{
  while (waiters != NULL)
    {
      Waiter *next = waiters->next;
      if (waiters->kind == WAITER_LOCAL)
        md_result_future_unref (waiters->u.future);
      free (waiters);
      waiters = next;
    }
}

typedef struct
{
  Md__Answer answer; /* message */
  Md__Key key;       /* its key */
} WireAnswer;

static void
fill_answer (WireAnswer *wire, const MdTaskAnswer *answer, uint32_t task)
{
  md__answer__init (&wire->answer);
  md__key__init (&wire->key);
  wire->answer.key = &wire->key;
  wire->answer.task = task;
  wire->answer.result = answer->result;
  wire->answer.status = answer->status;
  wire->answer.body.data = (uint8_t *)answer->body;
  wire->answer.body.len = answer->body_len;
}

/* Points wire headers at those of an answer; the array is freed by the caller. */
static Md__Header *
fill_headers (Md__Answer *wire, const MdTaskAnswer *answer)
{
  size_t n = answer->n_headers;
  Md__Header *headers = calloc (n ? n : 1, sizeof *headers + sizeof (Md__Header *));
  Md__Header **list = (Md__Header **)(headers + n);

  if (headers == NULL)
    return NULL;
  for (size_t i = 0; i < n; i++)
    {
      md__header__init (&headers[i]);
      headers[i].name = answer->headers[i].name;
      headers[i].value = answer->headers[i].value;
      list[i] = &headers[i];
    }
  wire->n_headers = n;
  wire->headers = list;
  return headers;
}

static void
fill_reply (Md__ForwardReply *reply, uint64_t request, const MdResult *result)
{
  reply->request = request;
  reply->state = result->state;
  reply->reason = result->reason;
  reply->outcome = result->outcome;
  reply->retry_after_us = (uint64_t)result->retry_after;
  reply->task = result->task;
  reply->peer = (char *)result->peer;
  reply->done_tasks = result->done_tasks;
  reply->n_tasks = result->n_tasks;
}

/* The answers of a job may be larger than a frame. The forwarder is told that they are lost, because
   it would wait for them until the deadline of the job. */
static void
send_failed_reply (Peer *peer, uint64_t request, const MdResult *result)
{
  Md__ForwardReply reply = MD__FORWARD_REPLY__INIT;
  Md__Frame frame = MD__FRAME__INIT;

  fill_reply (&reply, request, result);
  reply.state = MD_STATE_FAILED;
  reply.reason = MD_REASON_ANSWER_GONE;
  reply.outcome = MD_OUTCOME_RAN;
  frame.msg_case = MD__FRAME__MSG_FORWARD_REPLY;
  frame.forward_reply = &reply;
  md_log (MD_LOG_ERROR, "answer-lost", "step=forward-reply peer=%s reason=\"cannot be sent\"",
          peer->name);
  if (md_link_send (peer->link, &frame) != MD_OK)
    md_link_disconnect (peer->link); /* the forwarder sends the submission again */
}

static void
send_reply (Peer *peer, uint64_t request, const MdResult *result)
{
  Md__ForwardReply reply = MD__FORWARD_REPLY__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  uint32_t n = result->n_answers;
  WireAnswer *answers = calloc (n ? n : 1, sizeof *answers);
  Md__Answer **list = calloc (n ? n : 1, sizeof *list);
  Md__Header **headers = calloc (n ? n : 1, sizeof *headers);
  bool sent = false;

  fill_reply (&reply, request, result);
  for (uint32_t i = 0; answers && list && headers && i < n; i++)
    {
      fill_answer (&answers[i], &result->answers[i], i);
      headers[i] = fill_headers (&answers[i].answer, &result->answers[i]);
      list[i] = &answers[i].answer;
    }
  reply.n_answers = list ? n : 0;
  reply.answers = list;
  frame.msg_case = MD__FRAME__MSG_FORWARD_REPLY;
  frame.forward_reply = &reply;
  if (answers && list && headers)
    sent = md_link_send (peer->link, &frame) == MD_OK;
  if (!sent && md_link_is_up (peer->link))
    send_failed_reply (peer, request, result);
  for (uint32_t i = 0; headers && i < n; i++)
    free (headers[i]);
  free (headers);
  free (list);
  free (answers);
}

void
md_waiters_complete (MdEntry *entry, Waiter *waiters, MdResult *result)
{
  for (Waiter *w = waiters; w != NULL; w = w->next)
    {
      Peer *peer;

      if (w->kind == WAITER_LOCAL)
        {
          md_result_future_complete (w->u.future, result);
          continue;
        }
      peer = md_peers_find (entry, w->u.remote.entry);
      if (peer != NULL && peer->link != NULL && md_link_is_up (peer->link))
        send_reply (peer, w->u.remote.request, result);
    }
  md_waiters_free (waiters);
}

/* ------------------------------------------------------------------ */
/* Sending to the owner                                               */

typedef struct
{
  Md__ForwardTask task; /* message */
  Md__Header *headers;  /* its headers and the list of pointers to them */
} WireTask;

static int
fill_task (WireTask *wire, const MdTaskBody *task)
{
  size_t n = task->n_headers;
  Md__Header **list;

  md__forward_task__init (&wire->task);
  wire->task.method = task->method;
  wire->task.path = task->path;
  wire->task.body.data = (uint8_t *)task->body;
  wire->task.body.len = task->body_len;
  wire->task.declared_us = (uint64_t)task->spec.declared;
  wire->task.cores = task->spec.cores;
  wire->task.memory_mb = task->spec.memory_mb;
  wire->task.accelerators = task->spec.accelerators;
  wire->headers = calloc (n ? n : 1, sizeof (Md__Header) + sizeof (Md__Header *));
  if (wire->headers == NULL)
    return MD_E_MEMORY;
  list = (Md__Header **)(wire->headers + n);
  for (size_t i = 0; i < n; i++)
    {
      md__header__init (&wire->headers[i]);
      wire->headers[i].name = task->headers[i].name;
      wire->headers[i].value = task->headers[i].value;
      list[i] = &wire->headers[i];
    }
  wire->task.n_headers = n;
  wire->task.headers = list;
  return MD_OK;
}

static void
fill_forward (Md__Forward *forward, const Pending *pending, const char *shard, Md__Key *keys,
              MdTime now)
{
  const MdSubmission *sub = pending->sub;

  md__key__init (&keys[0]);
  md__key__init (&keys[1]);
  keys[0].hi = sub->key.hi;
  keys[0].lo = sub->key.lo;
  keys[1].hi = sub->fingerprint.hi;
  keys[1].lo = sub->fingerprint.lo;
  forward->request = pending->request;
  forward->shard = (char *)shard;
  forward->customer = (char *)sub->customer;
  forward->submission_id = (char *)sub->id;
  forward->key = &keys[0];
  forward->fingerprint = &keys[1];
  forward->time_left_us = sub->deadline > now ? (uint64_t)(sub->deadline - now) : 0;
  forward->submitted_ms = sub->submitted_ms;
  forward->single_request = sub->single_request;
  forward->repeatable = sub->repeatable;
  forward->wait = sub->wait;
  forward->op = pending->op;
}

static int
send_forward (Peer *peer, const Pending *pending, const char *shard, MdTime now)
{
  const MdSubmission *sub = pending->sub;
  uint32_t n = pending->op == MD_OP_SUBMIT ? sub->n_tasks : 0;
  WireTask *tasks = calloc (n ? n : 1, sizeof *tasks);
  Md__ForwardTask **list = calloc (n ? n : 1, sizeof *list);
  Md__Forward forward = MD__FORWARD__INIT;
  Md__Frame frame = MD__FRAME__INIT;
  Md__Key keys[2];
  int result = tasks && list ? MD_OK : MD_E_MEMORY;

  fill_forward (&forward, pending, shard, keys, now);
  for (uint32_t i = 0; result == MD_OK && i < n; i++)
    {
      result = fill_task (&tasks[i], &sub->tasks[i]);
      list[i] = &tasks[i].task;
    }
  forward.n_tasks = n;
  forward.tasks = list;
  frame.msg_case = MD__FRAME__MSG_FORWARD;
  frame.forward = &forward;
  if (result == MD_OK)
    result = md_link_send (peer->link, &frame);
  for (uint32_t i = 0; tasks && i < n; i++)
    free (tasks[i].headers);
  free (tasks);
  free (list);
  return result;
}

static uint32_t
shard_index (MdEntry *entry, const MdSubmission *sub, bool *known)
{
  Shard *first = md_shards_find (entry, sub->pool, 0);

  *known = first != NULL;
  return first ? md_shard_of_key (sub->key, first->shards) : 0;
}

static void
log_route (const Pending *pending, const char *shard, const char *to, const char *reason)
{
  char key[33];

  if (!md_log_enabled (MD_LOG_INFO))
    return;
  md_key_text (pending->sub->key, key);
  md_log (MD_LOG_INFO, "route", "job=%s customer=%s shard=%s to=%s reason=%s", key,
          pending->sub->customer, shard, to, reason);
}

/* Nothing is known about a submission that went out, or that came with an id a
   caller may have used elsewhere. */
static void
expire (MdEntry *entry, Pending *pending)
{
  bool proven = !pending->ever_sent && pending->sub->anonymous;
  MdResult *result = md_result_new (pending->ever_sent ? MD_STATE_FAILED : MD_STATE_REFUSED,
                                    pending->ever_sent ? MD_REASON_DEADLINE : MD_REASON_NO_UPSTREAM,
                                    proven ? MD_OUTCOME_NOT_RUN : MD_OUTCOME_UNKNOWN);

  result->retry_after = NO_OWNER_RETRY;
  md_waiters_complete (entry, pending->waiters, result);
  pending->waiters = NULL;
  md_result_unref (result);
}

/* Two entries that each take the other for the owner would pass a submission to and fro, with a copy
   of its body each time, until one of their heartbeats arrives. */
static bool
came_from (const Pending *pending, const Peer *owner)
{
  for (const Waiter *w = pending->waiters; w != NULL; w = w->next)
    if (w->kind == WAITER_REMOTE && w->u.remote.entry == owner->incarnation)
      return true;
  return false;
}

/* A submission that does not fit into a frame is refused at once; it cannot be sent later either. */
static void
refuse_too_large (MdEntry *entry, Pending *pending)
{
  bool proven = !pending->ever_sent && pending->sub->anonymous;
  MdResult *result = md_result_new (MD_STATE_REFUSED, MD_REASON_TOO_LARGE,
                                    proven ? MD_OUTCOME_NOT_RUN : MD_OUTCOME_UNKNOWN);

  md_waiters_complete (entry, pending->waiters, result);
  pending->waiters = NULL;
  md_result_unref (result);
}

/* Sends a pending submission to the owner. Returns true when it was taken over
   locally or refused and no longer has to be kept. */
static bool
try_route (MdEntry *entry, Pending *pending, MdTime now)
{
  bool known;
  uint32_t index = shard_index (entry, pending->sub, &known);
  Shard *shard = known ? md_shards_find (entry, pending->sub->pool, index) : NULL;
  MdShardState state = shard ? md_shard_state (shard->core) : MD_SHARD_FOLLOWER;
  Peer *owner;
  int rc;

  if (shard == NULL)
    return false;
  if (state == MD_SHARD_SERVING)
    {
      Waiter *waiters = pending->waiters;
      pending->waiters = NULL;
      log_route (pending, shard->name, entry->settings.name, "owner");
      while (waiters != NULL)
        {
          Waiter *next = waiters->next;
          waiters->next = NULL;
          md_jobs_submit (entry, shard, pending->op, pending->sub, waiters, now);
          waiters = next;
        }
      return true;
    }
  if (shard->n_registered == 0)
    {
      expire (entry, pending);
      return true;
    }
  owner = md_peers_shard_owner (entry, shard->name, true);
  if (owner == NULL || owner->leaving || owner->incarnation == pending->sent_to
      || came_from (pending, owner))
    return false;
  rc = send_forward (owner, pending, shard->name, now);
  if (rc == MD_E_LIMIT && md_link_is_up (owner->link))
    {
      refuse_too_large (entry, pending);
      return true;
    }
  if (rc == MD_OK)
    {
      pending->sent_to = owner->incarnation;
      pending->sent_on = owner->connection;
      pending->ever_sent = true;
      md_count (MD_M_FORWARDS, 1);
      log_route (pending, shard->name, owner->name, "forward");
    }
  return false;
}

static void
free_pending (Pending *pending)
{
  md_waiters_free (pending->waiters);
  md_submission_unref (pending->sub);
  free (pending);
}

static Pending *
new_pending (MdEntry *entry, MdOp op, MdSubmission *sub, Waiter *waiters)
{
  Pending *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    abort (); /* a caller must get an answer */
  pending->request = ++entry->next_request;
  pending->op = op;
  pending->sub = md_submission_ref (sub);
  pending->waiters = waiters;
  return pending;
}

void
md_forward_defer (MdEntry *entry, MdOp op, MdSubmission *sub, Waiter *waiters)
{
  Pending *pending = new_pending (entry, op, sub, waiters);

  pending->next = entry->pending;
  entry->pending = pending;
}

void
md_forward_route (MdEntry *entry, MdOp op, MdSubmission *sub, Waiter *waiters, MdTime now)
{
  Pending *pending = new_pending (entry, op, sub, waiters);

  if (try_route (entry, pending, now))
    {
      free_pending (pending);
      return;
    }
  pending->next = entry->pending;
  entry->pending = pending;
}

/* The request or its reply may be lost with the connection, also when a new one is up already. */
static bool
owner_is_lost (MdEntry *entry, const Pending *pending)
{
  Peer *peer = md_peers_find (entry, pending->sent_to);

  return peer == NULL || peer->leaving || peer->link == NULL || !md_link_is_up (peer->link)
         || peer->connection != pending->sent_on;
}

static bool
settle (MdEntry *entry, Pending *pending, MdTime now)
{
  /* The owner answers at the deadline; it gets a heartbeat's time for that. */
  MdTime limit
      = pending->sub->deadline + (pending->ever_sent ? entry->settings.tuning.heartbeat_max : 0);

  if (now >= limit)
    {
      expire (entry, pending);
      return true;
    }
  if (pending->sent_to != 0 && owner_is_lost (entry, pending))
    pending->sent_to = 0;
  return try_route (entry, pending, now);
}

void
md_forward_tick (MdEntry *entry, MdTime now)
{
  Pending *list = entry->pending;

  /* Routing may add entries, so the list is taken out while it is walked. */
  entry->pending = NULL;
  while (list != NULL)
    {
      Pending *pending = list;
      list = pending->next;
      if (settle (entry, pending, now))
        {
          free_pending (pending);
          continue;
        }
      pending->next = entry->pending;
      entry->pending = pending;
    }
}

/* ------------------------------------------------------------------ */
/* Receiving                                                          */

static int
copy_task (MdTaskBody *task, const Md__ForwardTask *wire)
{
  task->method = md_str_dup (md_str (wire->method));
  task->path = md_str_dup (md_str (wire->path));
  task->body_len = wire->body.len;
  task->body = md_str_dup (md_str_n (wire->body.data, wire->body.len));
  task->spec.declared = (MdTime)wire->declared_us;
  task->spec.cores = wire->cores;
  task->spec.memory_mb = wire->memory_mb;
  task->spec.accelerators = wire->accelerators;
  if (task->method == NULL || task->path == NULL || task->body == NULL)
    return MD_E_MEMORY;
  for (size_t i = 0; i < wire->n_headers; i++)
    if (md_task_add_header (task, md_str (wire->headers[i]->name), md_str (wire->headers[i]->value))
        != MD_OK)
      return MD_E_MEMORY;
  return MD_OK;
}

static MdSubmission *
copy_submission (const Md__Forward *wire, MdTime now)
{
  MdSubmission *sub = md_submission_new ((uint32_t)wire->n_tasks);
  const char *slash = strrchr (wire->shard, '/');

  if (sub == NULL || slash == NULL || wire->key == NULL || wire->fingerprint == NULL)
    {
      md_submission_unref (sub);
      return NULL;
    }
  sub->key = (MdKey){ wire->key->hi, wire->key->lo };
  sub->fingerprint = (MdKey){ wire->fingerprint->hi, wire->fingerprint->lo };
  md_str_copy (sub->customer, sizeof sub->customer, md_str (wire->customer));
  md_str_copy (sub->id, sizeof sub->id, md_str (wire->submission_id));
  md_str_copy (sub->pool, sizeof sub->pool, md_str_n (wire->shard, (size_t)(slash - wire->shard)));
  sub->deadline = now + (MdTime)wire->time_left_us;
  sub->submitted_ms = wire->submitted_ms;
  sub->single_request = wire->single_request;
  sub->repeatable = wire->repeatable;
  sub->wait = wire->wait;
  for (size_t i = 0; i < wire->n_tasks; i++)
    if (copy_task (&sub->tasks[i], wire->tasks[i]) != MD_OK)
      {
        md_submission_unref (sub);
        return NULL;
      }
  return sub;
}

void
md_forward_request (MdEntry *entry, Peer *peer, const Md__Forward *wire, MdTime now)
{
  Waiter *waiter = md_waiter_remote (peer->incarnation, wire->request);
  MdSubmission *sub = copy_submission (wire, now);

  md_entry_refresh (entry, now);
  if (sub == NULL || wire->op > MD_OP_CANCEL || (wire->op == MD_OP_SUBMIT && sub->n_tasks == 0))
    {
      md_waiters_free (waiter);
      md_submission_unref (sub);
      return;
    }
  md_forward_route (entry, (MdOp)wire->op, sub, waiter, now);
  md_submission_unref (sub);
}

static int
copy_answers (MdResult *result, const Md__ForwardReply *wire)
{
  result->answers = calloc (wire->n_answers ? wire->n_answers : 1, sizeof *result->answers);
  if (result->answers == NULL)
    return MD_E_MEMORY;
  result->n_answers = (uint32_t)wire->n_answers;
  for (size_t i = 0; i < wire->n_answers; i++)
    if (md_answer_from_wire (&result->answers[i], wire->answers[i]) != MD_OK)
      return MD_E_MEMORY;
  return MD_OK;
}

/* The size of a reply is chosen by the peer. Without memory for it, the caller is told that its job
   failed, and the process goes on. */
static void
fail_for_memory (MdResult *result)
{
  md_answers_free (result->answers, result->n_answers);
  result->answers = NULL;
  result->n_answers = 0;
  result->state = MD_STATE_FAILED;
  result->reason = MD_REASON_ANSWER_GONE;
  result->outcome = MD_OUTCOME_UNKNOWN;
  md_log (MD_LOG_ERROR, "answer-lost", "step=forward-reply peer=%s reason=\"out of memory\"",
          result->peer);
}

static MdResult *
copy_result (const Md__ForwardReply *wire)
{
  MdResult *result
      = md_result_new ((MdState)wire->state, (MdReason)wire->reason, (MdOutcome)wire->outcome);

  result->retry_after = (MdTime)wire->retry_after_us;
  result->task = wire->task;
  result->done_tasks = wire->done_tasks;
  result->n_tasks = wire->n_tasks;
  md_str_copy (result->peer, sizeof result->peer, md_str (wire->peer));
  if (copy_answers (result, wire) != MD_OK)
    fail_for_memory (result);
  return result;
}

void
md_forward_reply (MdEntry *entry, const Md__ForwardReply *wire)
{
  Pending **place = &entry->pending;
  Pending *pending;
  MdResult *result;

  while (*place != NULL && (*place)->request != wire->request)
    place = &(*place)->next;
  pending = *place;
  if (pending == NULL)
    return; /* the caller gave up, or another owner answered first */
  if (wire->state == MD_STATE_REFUSED
      && (wire->reason == MD_REASON_NOT_OWNER || wire->reason == MD_REASON_LEAVING))
    {
      pending->sent_to = 0; /* routed again at the next tick */
      return;
    }
  *place = pending->next;
  result = copy_result (wire);
  md_waiters_complete (entry, pending->waiters, result);
  pending->waiters = NULL;
  md_result_unref (result);
  free_pending (pending);
}
