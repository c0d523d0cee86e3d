/* entry-backlog.c -- requests that wait for the engine of an entry

   The backlog is a list with the oldest request first. Jobs are taken from it in the order of
   sched/backlog.c. All other requests, and jobs that are offered to other entries, cost little and
   are taken first, except that none overtakes the job that it refers to. The list is as long as
   there are threads of callers at most. */

#include "run-entry.h"

static MdCallerRequest *
request_of (MdInboxNode *node)
{
  return (MdCallerRequest *)node;
}

void
md_entry_backlog_fill (MdRunEntry *entry)
{
  MdInboxNode **end = &entry->backlog;

  while (*end != NULL)
    end = &(*end)->next;
  *end = md_inbox_take (&entry->inbox);
}

static MdCallerRequest *
unlink_request (MdInboxNode **link)
{
  MdInboxNode *node = *link;

  *link = node->next;
  return request_of (node);
}

/* Whether the request has to be handled after the job. */
static bool
refers_to (const MdCallerRequest *request, const MdCallerRequest *job)
{
  switch (request->kind)
    {
    case MD_CALLER_REQUEST_ABANDON:
      return request->abandoned == job;
    case MD_CALLER_REQUEST_STATE:
    case MD_CALLER_REQUEST_CANCEL:
      return strcmp (request->id, job->id) == 0;
    case MD_CALLER_REQUEST_SUBMIT:
    case MD_CALLER_REQUEST_PENDING:
    case MD_CALLER_REQUEST_WHERE:
      break;
    }
  return false;
}

static bool
is_job (const MdCallerRequest *request)
{
  return request->kind == MD_CALLER_REQUEST_SUBMIT && !request->offered;
}

/* The link to the first request that is no job, or to an earlier job that it refers to; NULL if all
   are jobs. */
static MdInboxNode **
find_query (MdRunEntry *entry)
{
  MdInboxNode **query = &entry->backlog;

  while (*query != NULL && is_job (request_of (*query)))
    query = &(*query)->next;
  if (*query == NULL)
    return NULL;
  for (MdInboxNode **link = &entry->backlog; link != query; link = &(*link)->next)
    if (refers_to (request_of (*query), request_of (*link)))
      return link;
  return query;
}

/* Predicts the times of a job when it is looked at first. */
static const MdBacklogJob *
times_of (const MdRunEntry *entry, MdCallerRequest *request)
{
  if (request->backlog.limit == 0)
    md_entry_predict_times (entry, request, &request->backlog);
  request->backlog.waited = entry->now - request->arrived;
  return &request->backlog;
}

MdCallerRequest *
md_entry_backlog_next (MdRunEntry *entry)
{
  MdInboxNode **best = find_query (entry);

  if (entry->backlog == NULL)
    return NULL;
  if (best != NULL)
    return unlink_request (best);
  best = &entry->backlog;
  if (md_backlog_is_long (entry->now - request_of (*best)->arrived))
    for (MdInboxNode **link = &(*best)->next; *link != NULL; link = &(*link)->next)
      if (md_backlog_goes_before (times_of (entry, request_of (*link)),
                                  times_of (entry, request_of (*best))))
        best = link;
  return unlink_request (best);
}

/* Whether the answer to a job that waits would be of no use. A job that is active, has ended or may
   have run has another answer. */
static bool
is_expired (const MdRunEntry *entry, MdCallerRequest *request)
{
  return is_job (request) && md_backlog_is_long (entry->now - request->arrived)
         && md_backlog_is_expired (times_of (entry, request)) && !request->known_only
         && md_entry_find_job (entry, request->id, request->route) == NULL
         && !md_entry_may_have_run (entry, request->id, request->route);
}

static void
reject_expired (MdRunEntry *entry, MdCallerRequest *request)
{
  MdForecast forecast = { .lag = entry->now - request->arrived };
  MdTime retry_after = md_admit_retry_after (&forecast, md_random ());

  md_log (MD_LOG_INFO, "job-answered",
          "job=%s request=%s queue=%s status=429 outcome=not_run reason=entry-late elapsed_ms=%lld "
          "retry_after_ms=%lld",
          request->id, request->request_id, request->route->label.data,
          (long long)(forecast.lag / MD_MS), (long long)(retry_after / MD_MS));
  md_count (MD_M_JOBS, 1);
  md_count (MD_M_REFUSED, 1);
  md_count (MD_M_LATE_REJECTIONS, 1);
  md_entry_reject_request (entry, request, 429, retry_after);
}

void
md_entry_backlog_reject_expired (MdRunEntry *entry)
{
  for (MdInboxNode **link = &entry->backlog; *link != NULL;)
    if (is_expired (entry, request_of (*link)))
      reject_expired (entry, unlink_request (link));
    else
      link = &(*link)->next;
}
