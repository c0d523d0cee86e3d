/* entry-handover.c -- requests that this entry hands over to another one

   A request is handed over before its body is parsed, which is most of what the handover saves
   beside the placement: the taker parses it and answers, and this entry passes the answer on. Only
   one handover of a job is open at a time; further requests of the job are attached to it.

   When the link to the taker is lost, the job may have run, so that its callers get
   MD_STATUS_GIVEN_UP. A request that was not sent, or that the taker refused, goes back to its
   thread, which submits it to this entry. */

#include "run-entry.h"

#include <stdio.h>

/* What a JobHandover asks for. */
typedef enum
{
  OP_RUN,
  OP_STATE,
  OP_CANCEL,
} Operation;

struct MdOpenHandover
{
  MdOpenHandover *next_job;  /* in the bucket of by_job; OP_RUN only */
  MdOpenHandover *next_id;   /* in the bucket of by_id */
  MdOpenHandover *next;      /* in the list of the peer */
  MdOpenHandover *previous;  /* in the list of the peer */
  uint64_t id;               /* unique in this process */
  Operation op;              /* what was asked for */
  MdEntryPeer *peer;         /* the taker */
  MdCallerRequest *requests; /* that wait for the answer */
  MdRoute *route;            /* queue, owned */
  char job[MD_JOB_ID_BYTES]; /* job ID */
  char request_id[64];       /* of the first request */
  MdTime sent_at;            /* when it was handed over */
};

/* ------------------------------------------------------------------ */
/* Tables                                                             */

static MdOpenHandover **
job_bucket (MdRunEntry *entry, const char *job)
{
  return &entry->handover.by_job[md_entry_hash_id (job) % MD_HANDOVER_BUCKETS];
}

static MdOpenHandover *
find_by_job (MdRunEntry *entry, const char *job, const MdRoute *route)
{
  for (MdOpenHandover *open = *job_bucket (entry, job); open != NULL; open = open->next_job)
    if (strcmp (open->job, job) == 0 && md_route_is_same_queue (open->route, route))
      return open;
  return NULL;
}

static MdOpenHandover *
find_by_id (const MdRunEntry *entry, const MdEntryPeer *peer, uint64_t id)
{
  for (MdOpenHandover *open = entry->handover.by_id[id % MD_HANDOVER_BUCKETS]; open != NULL;
       open = open->next_id)
    if (open->id == id && open->peer == peer)
      return open;
  return NULL;
}

static void
link_open (MdRunEntry *entry, MdOpenHandover *open)
{
  MdOpenHandover **ids = &entry->handover.by_id[open->id % MD_HANDOVER_BUCKETS];

  open->next_id = *ids;
  *ids = open;
  if (open->op == OP_RUN)
    {
      MdOpenHandover **jobs = job_bucket (entry, open->job);

      open->next_job = *jobs;
      *jobs = open;
    }
  open->next = open->peer->open;
  if (open->next != NULL)
    open->next->previous = open;
  open->peer->open = open;
}

static void
unlink_open (MdRunEntry *entry, MdOpenHandover *open)
{
  MdOpenHandover **place = &entry->handover.by_id[open->id % MD_HANDOVER_BUCKETS];

  while (*place != open)
    place = &(*place)->next_id;
  *place = open->next_id;
  if (open->op == OP_RUN)
    {
      place = job_bucket (entry, open->job);
      while (*place != open)
        place = &(*place)->next_job;
      *place = open->next_job;
    }
  if (open->previous != NULL)
    open->previous->next = open->next;
  else
    open->peer->open = open->next;
  if (open->next != NULL)
    open->next->previous = open->previous;
}

static void
free_open (MdOpenHandover *open)
{
  md_route_unref (open->route);
  free (open);
}

/* ------------------------------------------------------------------ */
/* Answers                                                            */

static void
attach (MdOpenHandover *open, MdCallerRequest *caller_request)
{
  caller_request->handover = open;
  caller_request->next = open->requests;
  open->requests = caller_request;
}

/* Gives a request back to its thread, which submits it to this entry. */
static void
decline (MdCallerRequest *caller_request)
{
  caller_request->handover = NULL;
  caller_request->declined = true;
  md_entry_answer_request (caller_request, 0, NULL, 0);
}

/* What an end has to tell the callers. */
typedef struct
{
  int status;         /* HTTP status */
  MdStr body;         /* of the response */
  MdTime retry_after; /* 0: none */
} Answer;

/* The callers are looked at first: after a pause of this process they may have left and repeated
   the job elsewhere. */
static void
answer_all (MdOpenHandover *open, const Answer *answer)
{
  while (open->requests != NULL)
    {
      MdCallerRequest *caller_request = open->requests;
      bool left = caller_request->kind == MD_CALLER_REQUEST_SUBMIT
                  && md_entry_has_caller_left (caller_request);

      open->requests = caller_request->next;
      caller_request->handover = NULL;
      md_run_spec_clear (&caller_request->spec);
      if (left)
        md_count (MD_M_CALLERS_LEFT, 1);
      else
        md_buf_append (&caller_request->body, answer->body);
      md_entry_answer_request (caller_request, left ? 0 : answer->status, NULL,
                               answer->retry_after);
    }
}

static MdFinalState
final_state (const char *state)
{
  if (strcmp (state, MD_PLATFORM_COMPLETED) == 0)
    return MD_FINAL_COMPLETED;
  if (strcmp (state, MD_PLATFORM_FAILED) == 0)
    return MD_FINAL_FAILED;
  if (strcmp (state, MD_PLATFORM_CANCELLED) == 0)
    return MD_FINAL_CANCELLED;
  return MD_FINAL_GIVEN_UP;
}

/* The taker has written the line of an answered job, with the same ids. */
static void
log_end (const MdRunEntry *entry, const MdOpenHandover *open, int status, const char *outcome)
{
  MdLogLevel level = status != 0 && status != MD_STATUS_GIVEN_UP ? MD_LOG_DEBUG : MD_LOG_INFO;

  md_log (level, "handover-ended",
          "job=%s request=%s queue=%s peer=%s op=%d status=%d outcome=%s elapsed_ms=%lld",
          open->job, open->request_id, open->route->label.data, open->peer->name, (int)open->op,
          status, outcome, (long long)((entry->now - open->sent_at) / MD_MS));
}

/* Ends a handover of which the outcome is not known: it may have run. */
static void
give_up (MdRunEntry *entry, MdOpenHandover *open, const char *reason)
{
  Answer answer = { .status = MD_STATUS_GIVEN_UP, .body = MD_STR ("") };

  log_end (entry, open, MD_STATUS_GIVEN_UP, reason);
  md_count (MD_M_HANDOVERS_LOST, 1);
  unlink_open (entry, open);
  if (open->op == OP_RUN)
    {
      md_count (MD_M_GIVEN_UP, 1);
      md_entry_record_end (entry, open->job, open->route, MD_FINAL_GIVEN_UP);
    }
  answer_all (open, &answer);
  free_open (open);
}

void
md_entry_handover_lost (MdRunEntry *entry, MdEntryPeer *peer, const char *reason MD_UNUSED)
{
  while (peer->open != NULL)
    give_up (entry, peer->open, "peer-lost");
}

void
md_entry_handover_fail_all (MdRunEntry *entry)
{
  for (MdEntryPeer *peer = entry->handover.peers; peer != NULL; peer = peer->next)
    while (peer->open != NULL)
      give_up (entry, peer->open, "leaving");
}

/* The taker has not begun the request and will not. */
static void
serve_here (MdRunEntry *entry, MdOpenHandover *open)
{
  log_end (entry, open, 0, "refused");
  md_count (MD_M_HANDOVERS_REFUSED, 1);
  unlink_open (entry, open);
  while (open->requests != NULL)
    {
      MdCallerRequest *caller_request = open->requests;

      open->requests = caller_request->next;
      caller_request->handover = NULL;
      if (caller_request->kind != MD_CALLER_REQUEST_SUBMIT)
        md_entry_answer_unknown (caller_request);
      else if (caller_request->offered)
        decline (caller_request);
      else
        {
          /* A further request of the job, which is parsed already. */
          caller_request->next = NULL;
          caller_request->counted = true;
          md_entry_handle_request (entry, caller_request);
        }
    }
  free_open (open);
}

void
md_entry_handover_ended (MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandoverEnd *end)
{
  MdOpenHandover *open = find_by_id (entry, peer, end->id);
  Answer answer = { .status = (int)end->status,
                    .body = md_str_n ((const char *)end->body.data, end->body.len),
                    .retry_after = (MdTime)end->retry_after_us };

  if (open == NULL)
    return; /* its callers have left */
  if (end->status == 0)
    {
      serve_here (entry, open);
      return;
    }
  if (md_entry_is_rejection (answer.status)
      && md_entry_may_have_run (entry, open->job, open->route))
    /* Nothing of this attempt has run, but perhaps of an earlier one here. */
    answer = (Answer){ .status = MD_STATUS_GIVEN_UP, .body = MD_STR ("") };
  log_end (entry, open, answer.status, end->state[0] != '\0' ? "answered" : "no-state");
  unlink_open (entry, open);
  if (open->op == OP_RUN && (end->state[0] != '\0' || !md_entry_is_rejection (answer.status)))
    md_entry_record_end (entry, open->job, open->route, final_state (end->state));
  answer_all (open, &answer);
  free_open (open);
}

/* ------------------------------------------------------------------ */
/* Handing over                                                       */

/* Sends the request of a caller to a peer. On failure nothing of it has left this process. */
static bool
send_request (MdRunEntry *entry, MdEntryPeer *peer, MdCallerRequest *caller_request, Operation op)
{
  MdOpenHandover *open = calloc (1, sizeof *open);
  MD_AUTO_BUF path = { 0 };
  Md__Frame frame = MD__FRAME__INIT;
  Md__JobHandover handover = MD__JOB_HANDOVER__INIT;
  MdTime age = entry->now > caller_request->arrived ? entry->now - caller_request->arrived : 0;

  md_buf_append (&path, caller_request->route->prefix);
  md_buf_append (&path, md_str (caller_request->id));
  if (open == NULL || path.failed)
    {
      free (open);
      return false;
    }
  handover.id = open->id = ++entry->handover.last_id;
  handover.op = op;
  handover.job = caller_request->id;
  handover.host = (char *)caller_request->route->host.data;
  handover.path = path.data;
  handover.request_id = caller_request->request_id;
  if (op == OP_RUN)
    {
      handover.age_us = (uint64_t)age;
      /* A caller that waits no longer is told apart from one that states nothing. */
      if (caller_request->response_timeout > 0)
        handover.patience_us = caller_request->response_timeout > age
                                   ? (uint64_t)(caller_request->response_timeout - age)
                                   : 1;
      handover.body.data = (uint8_t *)caller_request->raw.data;
      handover.body.len = caller_request->raw.len;
    }
  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER;
  frame.job_handover = &handover;
  if (md_link_send (peer->link, &frame) != MD_OK)
    {
      free (open);
      return false;
    }
  open->op = op;
  open->peer = peer;
  open->route = md_route_ref (caller_request->route);
  open->sent_at = entry->now;
  md_str_copy (open->job, sizeof open->job, md_str (caller_request->id));
  md_str_copy (open->request_id, sizeof open->request_id, md_str (caller_request->request_id));
  attach (open, caller_request);
  link_open (entry, open);
  peer->load.sent++;
  return true;
}

/* Chooses the peer for a request; NULL: none. */
static MdEntryPeer *
choose_peer (MdRunEntry *entry, const MdCallerRequest *caller_request)
{
  MdPeerLoad loads[MD_MAX_PEERS];
  MdEntryPeer *peers[MD_MAX_PEERS];
  MdHandoverRequest request
      = { .pressure = &entry->load.pressure, .overloaded = atomic_load (&entry->load.overloaded) };
  MdHandover result;
  size_t n = 0;

  for (MdEntryPeer *peer = entry->handover.peers; peer != NULL && n < MD_MAX_PEERS;
       peer = peer->next)
    if (peer->known && md_link_is_up (peer->link))
      {
        loads[n] = peer->load;
        peers[n++] = peer;
      }
  result = md_handover_decide (&request, loads, n, md_random (), entry->now);
  md_log (MD_LOG_INFO, "handover",
          "job=%s request=%s queue=%s outcome=%s peer=%s near=%d peers=%zu free_millicores=%d "
          "load_age_ms=%lld lag_ms=%lld use_permille=%d",
          caller_request->id, caller_request->request_id, caller_request->route->label.data,
          result.kind == MD_HANDOVER_TO ? "handed-over" : "kept",
          result.kind == MD_HANDOVER_TO ? peers[result.peer]->name : "-",
          result.kind == MD_HANDOVER_TO && peers[result.peer]->load.near, result.usable,
          (int)result.free, (long long)(result.age / MD_MS),
          (long long)(md_lag_now (&entry->load.lag, entry->now) / MD_MS),
          request.pressure->use_known ? (int)(request.pressure->use * 1000) : -1);
  return result.kind == MD_HANDOVER_TO ? peers[result.peer] : NULL;
}

bool
md_entry_hand_over (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdOpenHandover *open;
  MdEntryPeer *peer;

  if (caller_request->taken != NULL)
    return false;
  open = find_by_job (entry, caller_request->id, caller_request->route);
  if (open != NULL)
    {
      attach (open, caller_request);
      return true;
    }
  if (!caller_request->offered || caller_request->known_only)
    return false;
  peer = choose_peer (entry, caller_request);
  if (peer == NULL || !send_request (entry, peer, caller_request, OP_RUN))
    decline (caller_request);
  else
    md_count (MD_M_HANDOVERS, 1);
  return true;
}

bool
md_entry_is_handed_over (MdRunEntry *entry, const char *job, const MdRoute *route)
{
  return find_by_job (entry, job, route) != NULL;
}

bool
md_entry_forward_query (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  const MdOpenHandover *open = find_by_job (entry, caller_request->id, caller_request->route);

  return open != NULL && caller_request->taken == NULL
         && send_request (entry, open->peer, caller_request,
                          caller_request->kind == MD_CALLER_REQUEST_CANCEL ? OP_CANCEL : OP_STATE);
}

void
md_entry_handover_detach (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdOpenHandover *open = caller_request->handover;
  MdCallerRequest **place = &open->requests;
  Md__Frame frame = MD__FRAME__INIT;
  Md__JobHandoverCancel cancel = MD__JOB_HANDOVER_CANCEL__INIT;

  while (*place != caller_request)
    place = &(*place)->next;
  *place = caller_request->next;
  caller_request->handover = NULL;
  md_run_spec_clear (&caller_request->spec);
  md_entry_answer_request (caller_request, 0, NULL, 0);
  if (open->requests != NULL)
    return;
  cancel.id = open->id;
  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_CANCEL;
  frame.job_handover_cancel = &cancel;
  md_link_send (open->peer->link, &frame);
  log_end (entry, open, 0, "caller-left");
  md_count (MD_M_CALLERS_LEFT, 1);
  md_entry_record_end (entry, open->job, open->route, MD_FINAL_GIVEN_UP);
  unlink_open (entry, open);
  free_open (open);
}
