/* entry-requests.c -- requests of callers, handled by the engine of an entry

   The threads of the HTTP server post requests to the engine and wait for their answers
   (front.c). Requests for a job that is active are attached to it; the others are answered at
   once, or begin a job (entry-jobs.c). */

#define _GNU_SOURCE /* POLLRDHUP */

#include "run-entry.h"

#include <errno.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* ------------------------------------------------------------------ */
/* Answers                                                            */

bool
md_entry_is_rejection (int status)
{
  return status == 429 || status == 503;
}

static void
wake_thread (int event)
{
  uint64_t one = 1;

  if (write (event, &one, sizeof one) < 0)
    md_log (MD_LOG_ERROR, "eventfd", "reason=\"cannot wake the HTTP thread\"");
}

void
md_entry_answer_request (MdCallerRequest *caller_request, int status, const char *state,
                         MdTime retry_after)
{
  int event = caller_request->event;

  caller_request->job = NULL;
  caller_request->status = status;
  caller_request->retry_after = retry_after;
  if (state != NULL)
    md_platform_write_state (&caller_request->body, state);
  else if (md_entry_is_rejection (status) && caller_request->body.len == 0)
    md_buf_append (&caller_request->body, MD_STR (MD_BODY_NOT_RUN));
  if (caller_request->taken != NULL)
    {
      md_entry_taken_answered (caller_request, state);
      return;
    }
  /* From here on the thread may free the request. */
  atomic_store (&caller_request->answered, true);
  wake_thread (event);
}

/* ------------------------------------------------------------------ */
/* Requests                                                           */

const char *
md_entry_unsupported_reason (const MdRunEntry *entry, const MdRoute *route, const MdRunSpec *spec)
{
  if (!spec->best_effort)
    return "only best-effort jobs are supported";
  if (route->advisor.present && entry->advisor == NULL)
    return "the queue requires an advisory service and none is configured";
  return NULL;
}

/* A caller of which that cannot be told counts as one that has left: it repeats the job, and
   nothing of it has run here. */
bool
md_entry_has_caller_left (const MdCallerRequest *caller_request)
{
  struct pollfd fd = { .fd = caller_request->socket, .events = POLLRDHUP };
  int n;

  if (caller_request->taken != NULL)
    return md_entry_has_hander_left (caller_request->taken);
  if (fd.fd < 0)
    return true; /* poll would skip it */
  do
    n = poll (&fd, 1, 0);
  while (n < 0 && errno == EINTR);
  return n != 0;
}

bool
md_entry_has_caller (const MdEntryJob *job)
{
  for (const MdCallerRequest *request = job->requests; request != NULL; request = request->next)
    if (!md_entry_has_caller_left (request))
      return true;
  return false;
}

void
md_entry_record_dropped (const MdCallerRequest *caller_request, MdTime now)
{
  md_log (MD_LOG_INFO, "request-dropped",
          "job=%s request=%s queue=%s outcome=not_run reason=\"the caller has left\" age_ms=%lld",
          caller_request->id, caller_request->request_id, caller_request->route->label.data,
          (long long)((now - caller_request->arrived) / MD_MS));
  md_count (MD_M_CALLERS_LEFT, 1);
}

/* Answers a request whose caller left before anything of it was ordered. */
static void
drop_request (const MdRunEntry *entry, MdCallerRequest *caller_request)
{
  md_entry_record_dropped (caller_request, entry->now);
  md_run_spec_clear (&caller_request->spec);
  md_entry_answer_request (caller_request, 0, NULL, 0);
}

void
md_entry_reject_request (const MdRunEntry *entry, MdCallerRequest *caller_request, int status,
                         MdTime retry_after)
{
  md_run_spec_clear (&caller_request->spec);
  if (md_entry_may_have_run (entry, caller_request->id, caller_request->route))
    md_entry_answer_request (caller_request, MD_STATUS_GIVEN_UP, NULL, 0);
  else
    md_entry_answer_request (caller_request, status, NULL, retry_after);
}

/* Answers the repeated request for a job that has ended; false if there is no such job. */
static bool
answer_ended (const MdRunEntry *entry, MdCallerRequest *caller_request)
{
  const char *state = md_entry_find_end (entry, caller_request->id, caller_request->route);

  if (state == NULL)
    return false;
  md_log (MD_LOG_INFO, "job-repeated", "job=%s request=%s queue=%s status=200 outcome=%s",
          caller_request->id, caller_request->request_id, caller_request->route->label.data, state);
  md_run_spec_clear (&caller_request->spec);
  md_entry_answer_request (caller_request, 200, state, 0);
  return true;
}

/* Answers a request that an entry which is shutting down took only because its job may have run.
   That may also be about to begin, for a request whose body is still being read. */
static void
answer_given_up (MdCallerRequest *caller_request)
{
  md_log (MD_LOG_INFO, "job-rejected", "job=%s queue=%s reason=\"the entry is shutting down\"",
          caller_request->id, caller_request->route->label.data);
  md_count (MD_M_GIVEN_UP, 1);
  md_run_spec_clear (&caller_request->spec);
  md_entry_answer_request (caller_request, MD_STATUS_GIVEN_UP, NULL, 0);
}

static void
submit (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = md_entry_find_job (entry, caller_request->id, caller_request->route);

  /* The time that a request spent elsewhere, or was parsed in, is no lag of this engine. */
  if (caller_request->taken == NULL && !caller_request->counted)
    {
      md_count (MD_M_JOBS, 1);
      md_entry_load_request (&entry->load, entry->now - caller_request->arrived, entry->now);
    }
  /* After a pause of this process, requests can be read from connections that were reset long
     ago. Their callers may have repeated the jobs at other entries. */
  if (md_entry_has_caller_left (caller_request))
    {
      drop_request (entry, caller_request);
      return;
    }
  if (job != NULL)
    {
      /* The job is active already; all its callers get the same answer. */
      md_run_spec_clear (&caller_request->spec);
      caller_request->job = job;
      caller_request->next = job->requests;
      job->requests = caller_request;
      return;
    }
  if (answer_ended (entry, caller_request))
    return;
  if (md_entry_hand_over (entry, caller_request))
    return;
  if (caller_request->known_only)
    answer_given_up (caller_request);
  else
    md_entry_start_job (entry, caller_request);
}

/* Removes a request whose caller has disconnected. The job is cancelled when its last caller
   is gone. */
void
md_entry_detach_caller (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = caller_request->job;
  MdCallerRequest **link;

  if (caller_request->handover != NULL)
    {
      md_entry_handover_detach (entry, caller_request);
      return;
    }
  if (job == NULL)
    return; /* already answered */
  for (link = &job->requests; *link != caller_request; link = &(*link)->next)
    ;
  *link = caller_request->next;
  md_entry_answer_request (caller_request, 0, NULL, 0);
  if (job->requests == NULL)
    md_entry_finish_job (entry, job, 0, NULL, "caller-left", 0);
}

/* Frees an ABANDON request and marks it as handled in the abandoned one, which its thread may
   free from then on. */
static void
acknowledge_abandon (MdCallerRequest *abandon)
{
  int event = abandon->abandoned->event;

  atomic_store (&abandon->abandoned->abandon_handled, true);
  wake_thread (event);
  free (abandon);
}

static void
count_pending (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  uint64_t n = 0;

  for (const MdEntryJob *job = entry->jobs; job != NULL; job = job->next)
    n += job->started_at == 0 && md_str_equal (job->route->name, caller_request->route->name);
  md_platform_write_pending (&caller_request->body, n);
  md_entry_answer_request (caller_request, 200, NULL, 0);
}

/* Answers that the job is unknown. A best-effort job is known only to the entry that accepted
   it, and only until it has ended. */
void
md_entry_answer_unknown (MdCallerRequest *caller_request)
{
  md_buf_append (&caller_request->body, MD_STR ("{}"));
  md_entry_answer_request (caller_request, 410, NULL, 0);
}

static void
answer_state (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  const MdEntryJob *job = md_entry_find_job (entry, caller_request->id, caller_request->route);

  if (job == NULL && md_entry_forward_query (entry, caller_request))
    return;
  if (job == NULL)
    md_entry_answer_unknown (caller_request);
  else
    md_entry_answer_request (caller_request, 200,
                             job->started_at > 0 ? MD_PLATFORM_IN_PROGRESS : MD_PLATFORM_QUEUED, 0);
}

static void
cancel_job (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  MdEntryJob *job = md_entry_find_job (entry, caller_request->id, caller_request->route);

  if (job == NULL && md_entry_forward_query (entry, caller_request))
    return;
  if (job == NULL)
    {
      md_entry_answer_unknown (caller_request);
      return;
    }
  md_entry_finish_job (entry, job, 200, MD_PLATFORM_CANCELLED, "cancelled", 0);
  md_entry_answer_request (caller_request, 200, MD_PLATFORM_CANCELLED, 0);
}

void
md_entry_handle_request (MdRunEntry *entry, MdCallerRequest *caller_request)
{
  switch (caller_request->kind)
    {
    case MD_CALLER_REQUEST_SUBMIT:
      submit (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_ABANDON:
      md_entry_detach_caller (entry, caller_request->abandoned);
      acknowledge_abandon (caller_request);
      break;
    case MD_CALLER_REQUEST_PENDING:
      count_pending (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_STATE:
      answer_state (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_CANCEL:
      cancel_job (entry, caller_request);
      break;
    case MD_CALLER_REQUEST_WHERE:
      md_entry_where (entry, caller_request);
      break;
    }
}

/* Load pattern: callers of a neighbour that is away come all at once. Guards hear the entry, and
   its reports are read, between two passes only; a pass that handled all requests took so long that
   guards ended its runs. */
bool
md_entry_handle_requests (MdRunEntry *entry, MdTime budget)
{
  MdTime end = md_now () + budget;
  MdCallerRequest *request;

  md_entry_backlog_fill (entry);
  md_entry_backlog_reject_expired (entry);
  while ((request = md_entry_backlog_next (entry)) != NULL)
    {
      md_entry_handle_request (entry, request);
      if (entry->backlog != NULL && md_now () >= end)
        return false;
    }
  return true;
}

static void
reject_all (const MdRunEntry *entry, MdInboxNode *list)
{
  for (MdInboxNode *node = list, *next; node != NULL; node = next)
    {
      MdCallerRequest *caller_request = (MdCallerRequest *)node;

      next = node->next;
      if (caller_request->kind == MD_CALLER_REQUEST_ABANDON)
        acknowledge_abandon (caller_request);
      else
        md_entry_reject_request (entry, caller_request, 503, MD_RETRY_AFTER_NO_WORKER);
    }
}

void
md_entry_reject_requests (MdRunEntry *entry)
{
  reject_all (entry, entry->backlog);
  entry->backlog = NULL;
  reject_all (entry, md_inbox_take (&entry->inbox));
}
