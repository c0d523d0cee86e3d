/* entry-taker.c -- requests that other entries have handed over to this one

   The hander is the caller of such a request: it is answered over the link, and when the link is
   lost or silent, the job ends as if its caller had left. A request that this entry does not begin,
   for whatever reason, is refused; the hander serves it itself and answers what is wrong with it.
   */

#define _GNU_SOURCE /* POLLRDHUP */

#include "run-entry.h"

#include <errno.h>
#include <poll.h>
#include <urcu/urcu-memb.h>

/* Of one body while it is parsed, in the engine thread. Larger jobs are left to their handers,
   which have a budget for them. */
#define MAX_PARSE_MEMORY ((size_t)4 << 20)

struct MdTakenRequest
{
  MdCallerRequest request;  /* first, answered by the engine */
  MdEntryPeer *peer;        /* the hander */
  MdTakenRequest *next;     /* in the list of the peer */
  MdTakenRequest *previous; /* in the list of the peer */
  uint64_t id;              /* of the handover */
};

static void
send_end (MdEntryPeer *peer, Md__JobHandoverEnd *end)
{
  Md__Frame frame = MD__FRAME__INIT;

  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_END;
  frame.job_handover_end = end;
  /* Without a link the hander tells its callers that the job may have run. */
  md_link_send (peer->link, &frame);
}

static void
refuse (const MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandover *handover,
        const char *reason)
{
  Md__JobHandoverEnd end = MD__JOB_HANDOVER_END__INIT;
  char job[MD_JOB_ID_BYTES];

  end.id = handover->id;
  send_end (peer, &end);
  md_log (MD_LOG_INFO, "handover-refused", "job=%s peer=%s reason=\"%s\" lag_ms=%lld",
          md_log_quote (md_str (handover->job), job, sizeof job), peer->name, reason,
          (long long)(md_lag_now (&entry->load.lag, entry->now) / MD_MS));
}

/* ------------------------------------------------------------------ */
/* Answers                                                            */

static void
free_taken (MdTakenRequest *taken)
{
  if (taken->previous != NULL)
    taken->previous->next = taken->next;
  else
    taken->peer->taken = taken->next;
  if (taken->next != NULL)
    taken->next->previous = taken->previous;
  md_run_spec_clear (&taken->request.spec);
  md_route_unref (taken->request.route);
  md_buf_clear (&taken->request.body);
  free (taken);
}

void
md_entry_taken_answered (MdCallerRequest *caller_request, const char *state)
{
  MdTakenRequest *taken = caller_request->taken;
  Md__JobHandoverEnd end = MD__JOB_HANDOVER_END__INIT;

  end.id = taken->id;
  /* 0 would say that it was not taken. */
  end.status = caller_request->status > 0 ? (uint32_t)caller_request->status : MD_STATUS_GIVEN_UP;
  end.state = (char *)(state != NULL ? state : "");
  end.body.data = (uint8_t *)caller_request->body.data;
  end.body.len = caller_request->body.len;
  end.retry_after_us = (uint64_t)caller_request->retry_after;
  send_end (taken->peer, &end);
  free_taken (taken);
}

void
md_entry_take_cancel (MdRunEntry *entry, MdEntryPeer *peer, uint64_t id)
{
  for (MdTakenRequest *taken = peer->taken; taken != NULL; taken = taken->next)
    if (taken->id == id)
      {
        md_entry_detach_caller (entry, &taken->request);
        return;
      }
}

void
md_entry_taken_lost (MdRunEntry *entry, MdEntryPeer *peer)
{
  while (peer->taken != NULL)
    md_entry_detach_caller (entry, &peer->taken->request);
}

/* Unread data shows that the hander was not silent while this process was suspended. */
bool
md_entry_has_hander_left (const MdTakenRequest *taken)
{
  const MdLink *link = taken->peer->link;
  struct pollfd fd = { .fd = md_link_socket (link), .events = POLLIN | POLLRDHUP };
  int n;

  if (fd.fd < 0)
    return true;
  do
    n = poll (&fd, 1, 0);
  while (n < 0 && errno == EINTR);
  if (n < 0 || (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    return true;
  return n == 0 && md_now () > md_link_heard_at (link) + MD_PEER_SILENCE;
}

/* ------------------------------------------------------------------ */
/* Taking                                                             */

/* The queue of a request, NULL if there is none. The caller owns the result. */
static MdRoute *
find_route (const MdRunEntry *entry, const Md__JobHandover *handover)
{
  const MdRoutes *routes;
  MdRoute *found = NULL;

  if (entry->config == NULL)
    return NULL;
  urcu_memb_read_lock ();
  routes = md_config_reader_routes (entry->config);
  if (routes != NULL)
    found = md_routes_find (routes, md_str (handover->host), md_str (handover->path));
  if (found != NULL)
    md_route_ref (found);
  urcu_memb_read_unlock ();
  return found;
}

/* Why a job is not taken, NULL if it is. Parses it into spec. */
static const char *
refusal (MdRunEntry *entry, const Md__JobHandover *handover, const MdRoute *route, MdRunSpec *spec)
{
  MdStr body = md_str_n ((const char *)handover->body.data, handover->body.len);
  MdError error = { 0 };
  const char *unsupported;

  if (!entry->daemon.settings.handover || entry->leaving || atomic_load (&entry->closed))
    return "no handovers are taken";
  if (entry->load.pressure.active || atomic_load (&entry->load.overloaded))
    return "short of processor time";
  if (md_entry_is_handed_over (entry, handover->job, route))
    return "the job is handed over from here";
  if (md_platform_job_memory (body) > MAX_PARSE_MEMORY)
    return "the body is too large";
  if (md_platform_parse_job (body, spec, &error) != MD_OK)
    return "the body is not valid";
  unsupported = md_entry_unsupported_reason (entry, route, spec);
  if (unsupported != NULL)
    md_run_spec_clear (spec);
  return unsupported;
}

static MdTakenRequest *
new_taken (const MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandover *handover,
           MdRoute *route)
{
  MdTakenRequest *taken = calloc (1, sizeof *taken);
  MdTime age = handover->age_us < (uint64_t)MD_JSON_MAX_DURATION ? (MdTime)handover->age_us
                                                                 : MD_JSON_MAX_DURATION;
  MdTime patience = handover->patience_us < (uint64_t)MD_JSON_MAX_DURATION
                        ? (MdTime)handover->patience_us
                        : MD_JSON_MAX_DURATION;

  if (taken == NULL)
    return NULL;
  taken->id = handover->id;
  taken->peer = peer;
  taken->next = peer->taken;
  if (taken->next != NULL)
    taken->next->previous = taken;
  peer->taken = taken;
  taken->request = (MdCallerRequest){ .route = md_route_ref (route),
                                      .arrived = entry->now - age,
                                      .response_timeout = patience > 0 ? patience + age : 0,
                                      .event = -1,
                                      .socket = -1,
                                      .taken = taken };
  md_str_copy (taken->request.id, sizeof taken->request.id, md_str (handover->job));
  md_log_quote (md_str (handover->request_id), taken->request.request_id,
                sizeof taken->request.request_id);
  return taken;
}

void
md_entry_take (MdRunEntry *entry, MdEntryPeer *peer, const Md__JobHandover *handover)
{
  MdCallerRequestKind kind = handover->op == 0   ? MD_CALLER_REQUEST_SUBMIT
                             : handover->op == 1 ? MD_CALLER_REQUEST_STATE
                                                 : MD_CALLER_REQUEST_CANCEL;
  const char *reason = NULL;
  MD_AUTO_ROUTE *route = NULL;
  MdRunSpec spec = { 0 };
  MdTakenRequest *taken;

  if (handover->op > 2 || !md_entry_is_job_id (handover->job))
    reason = "not understood";
  else if ((route = find_route (entry, handover)) == NULL)
    reason = "no such queue";
  else if (kind == MD_CALLER_REQUEST_SUBMIT)
    reason = refusal (entry, handover, route, &spec);
  if (reason != NULL)
    {
      refuse (entry, peer, handover, reason);
      return;
    }
  taken = new_taken (entry, peer, handover, route);
  if (taken == NULL)
    {
      md_run_spec_clear (&spec);
      refuse (entry, peer, handover, "out of memory");
      return;
    }
  taken->request.kind = kind;
  taken->request.spec = spec;
  if (kind == MD_CALLER_REQUEST_SUBMIT)
    {
      md_count (MD_M_HANDOVERS_TAKEN, 1);
      md_log (MD_LOG_INFO, "handover-taken", "job=%s request=%s queue=%s peer=%s age_ms=%lld",
              taken->request.id, taken->request.request_id, route->label.data, peer->name,
              (long long)((entry->now - taken->request.arrived) / MD_MS));
    }
  md_entry_handle_request (entry, &taken->request);
}
