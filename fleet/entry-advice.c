/* entry-advice.c -- calls of an entry to the advisory service

   Only one call is made at a time. The service handles the calls of a VM one after the
   other, so sending the next one early would gain nothing. Held back here, the next call
   can be made for the job that is most urgent by then. */

#include "run-entry.h"

#define RESPONSE_MARGIN (150 * MD_MS)     /* added to the call time that the queue states */
#define DEFAULT_PERMIT_VALIDITY MD_SECOND /* if neither the queue nor the response states it */
#define CALL_RETRY_DELAY (50 * MD_MS)     /* after a failed or rejected call */

struct MdEntryAdviceCall
{
  MdRunEntry *entry;                         /* borrowed */
  MdEntryJob *job;                           /* borrowed; NULL: the job has ended */
  uint32_t step;                             /* index in the job */
  uint32_t n;                                /* workers named in the call */
  uint32_t n_allowed;                        /* workers allowed by the response */
  uint64_t lifetimes[MD_ADVICE_MAX_WORKERS]; /* of each worker, see MdWorker */
  MdTraits *workers[MD_ADVICE_MAX_WORKERS];  /* of each worker; an owner */
  bool is_allowed[MD_ADVICE_MAX_WORKERS];    /* by worker, set by the response */
  MdTime validity;                           /* validity period of the permits */
};

typedef struct MdEntryAdviceCall Call;

/* ------------------------------------------------------------------ */
/* Responses                                                          */

static void
free_call (Call **call)
{
  for (uint32_t i = 0; i < (*call)->n; i++)
    md_traits_unref ((*call)->workers[i]);
  free (*call);
}

/* Declares a call that is freed at the end of its scope. */
#define MD_AUTO_ADVICE_CALL __attribute__ ((cleanup (free_call))) Call

/* Stores the permit of worker i of the call; an empty permit denies the worker. */
static void
store_permit (Call *call, uint32_t i, MdStr permit)
{
  if (md_advice_set (&call->job->advice[call->step], call->lifetimes[i], permit, call->validity,
                     call->entry->now)
      != MD_OK)
    md_log (MD_LOG_ERROR, "advice-lost", "job=%s step=%u reason=\"out of memory\"", call->job->id,
            call->step);
}

static void
on_allowed (void *user, MdStr worker, MdStr permit)
{
  Call *call = user;

  for (uint32_t i = 0; i < call->n; i++)
    if (md_str_equal (md_traits_name (call->workers[i]), worker))
      {
        call->n_allowed += !call->is_allowed[i];
        call->is_allowed[i] = true;
        store_permit (call, i, permit);
        return;
      }
}

/* Applies a response. Workers that were named in the call and are not allowed by the response
   are denied. A malformed response denies no worker. */
static int
apply_response (Call *call, MdStr body, MdError *error)
{
  int rc = md_platform_parse_advise_response (body, on_allowed, call, &call->validity, error);

  for (uint32_t i = 0; rc == MD_OK && i < call->n; i++)
    if (!call->is_allowed[i])
      store_permit (call, i, MD_STR (""));
  return rc;
}

/* Logs a failed call. It is repeated when the job is placed again. */
static void
record_failure (Call *call, const MdHttpAsyncResponse *response, const char *event,
                const char *reason)
{
  MdRunEntry *entry = call->entry;

  md_count (MD_M_ADVICE_FAILED, 1);
  entry->next_advice_at = entry->now + CALL_RETRY_DELAY;
  md_log (MD_LOG_WARN, event, "job=%s step=%u workers=%u status=%d reason=\"%s\"",
          call->job != NULL ? call->job->id : "-", call->step, call->n, response->status, reason);
}

static void
on_response (void *user, const MdHttpAsyncResponse *response)
{
  MD_AUTO_ADVICE_CALL *call = user;
  MdRunEntry *entry = call->entry;
  MdEntryJob *job = call->job;
  MdError error = response->error;

  entry->advice_call = NULL;
  entry->now = md_now ();
  md_count (MD_M_ADVICE_CALLS, 1);
  if (response->status != 200)
    {
      record_failure (call, response, "advice-failed", error.detail);
      return;
    }
  if (job == NULL)
    return;
  if (apply_response (call, response->body, &error) != MD_OK)
    {
      record_failure (call, response, "advice-ignored", error.detail);
      return;
    }
  job->stats->allowed_share
      = md_advice_update_share (job->stats->allowed_share, call->n, call->n_allowed);
  md_log (MD_LOG_INFO, "advice", "job=%s request=%s step=%u workers=%u allowed=%u elapsed_ms=%lld",
          job->id, job->request_id, call->step, call->n, call->n_allowed,
          (long long)(response->elapsed / MD_MS));
  md_entry_place_ready (entry, job);
}

/* ------------------------------------------------------------------ */
/* Calls                                                              */

/* Returns how many workers a call for the step should name. */
static uint32_t
workers_to_ask (const MdEntryJob *job, uint32_t step)
{
  return md_advice_call_size (job->runjob.spec.steps[step].n_tasks, job->stats->allowed_share);
}

/* Returns the first step that has a ready task and no worker known to be allowed, -1 if there
   is none. */
static int
find_step_to_ask (MdRunEntry *entry, const MdEntryJob *job, MdTaskRequirements *need)
{
  for (uint32_t i = 0; i < job->runjob.spec.n_steps; i++)
    for (uint32_t k = 0; k < job->runjob.spec.steps[i].n_tasks; k++)
      if (job->runjob.tasks[i][k].state == MD_TASK_READY)
        {
          md_entry_requirements (entry, job, i, need);
          if (md_advice_exclude (&job->advice[i], &entry->workers, need, entry->excluded,
                                 entry->now)
              == 0)
            return (int)i;
          break;
        }
  return -1;
}

/* Rejects a job of which a step is denied on every worker. A job that has orders or has started
   is kept, because an allowed worker may still register. */
static void
reject_denied (MdRunEntry *entry, MdEntryJob *job, uint32_t step)
{
  if (job->runjob.started || job->runjob.ordered > 0)
    return;
  md_log (MD_LOG_INFO, "advice-denied", "job=%s request=%s step=%u workers=%u", job->id,
          job->request_id, step, job->advice[step].n);
  md_entry_finish_job (entry, job, 503, NULL, "not-allowed", MD_RETRY_AFTER_NO_WORKER);
}

static void
send_call (MdRunEntry *entry, MdEntryJob *job, uint32_t step, MdWorker *const *workers, uint32_t n)
{
  MD_AUTO_CALL request = { 0 };
  char name[MD_RUN_NAME_BYTES];
  MdStr names[MD_ADVICE_MAX_WORKERS];
  MdTime timeout = md_advice_call_time (&job->route->advisor, n) + RESPONSE_MARGIN;
  Call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return; /* retried when the job is placed again */
  *call = (Call){ .entry = entry, .job = job, .step = step, .n = n };
  call->validity = job->route->advisor.permit_validity > 0 ? job->route->advisor.permit_validity
                                                           : DEFAULT_PERMIT_VALIDITY;
  for (uint32_t i = 0; i < n; i++)
    {
      call->lifetimes[i] = workers[i]->lifetime;
      call->workers[i] = md_traits_ref (workers[i]->traits);
      names[i] = md_traits_name (call->workers[i]);
    }
  md_platform_step_name (name, md_str (job->id), 0, step);
  md_platform_advise (&request, md_str (name), names, n);
  if (md_daemon_call (entry->advisor, entry->daemon.settings.advisor_address, &request, timeout,
                      on_response, call)
      != MD_OK)
    {
      free_call (&call);
      return;
    }
  entry->advice_call = call;
}

/* Makes the call that the job needs, or rejects the job if no worker is left to ask about. */
static void
ask_for_job (MdRunEntry *entry, MdEntryJob *job)
{
  MdWorker *chosen[MD_ADVICE_MAX_WORKERS];
  MdTaskRequirements need;
  int step = find_step_to_ask (entry, job, &need);
  uint32_t n;

  job->needs_advice = false;
  if (step < 0)
    return;
  need.excluded = NULL;
  n = md_advice_choose (&job->advice[step], &entry->workers, &need,
                        workers_to_ask (job, (uint32_t)step), entry->excluded, chosen, entry->now);
  if (n > 0)
    send_call (entry, job, (uint32_t)step, chosen, n);
  else
    reject_denied (entry, job, (uint32_t)step);
}

/* Returns the job with the earliest goal that needs a call, NULL if there is none. */
static MdEntryJob *
most_urgent (const MdRunEntry *entry)
{
  MdEntryJob *best = NULL;

  for (MdEntryJob *job = entry->jobs; job != NULL; job = job->next)
    if (job->needs_advice && (best == NULL || md_entry_due (job) < md_entry_due (best)))
      best = job;
  return best;
}

MdTime
md_entry_advice_poll (MdRunEntry *entry)
{
  MdEntryJob *job;

  if (entry->advisor == NULL || entry->advice_call != NULL)
    return INT64_MAX;
  if (entry->now < entry->next_advice_at)
    return entry->next_advice_at;
  while (entry->advice_call == NULL && (job = most_urgent (entry)) != NULL)
    ask_for_job (entry, job);
  return INT64_MAX;
}

/* ------------------------------------------------------------------ */
/* Placement                                                          */

bool
md_entry_apply_advice (MdRunEntry *entry, MdEntryJob *job, uint32_t step, MdTaskRequirements *need)
{
  if (job->advice == NULL)
    return true;
  need->excluded = entry->excluded;
  if (md_advice_exclude (&job->advice[step], &entry->workers, need, entry->excluded, entry->now)
      > 0)
    return true;
  job->needs_advice = entry->advice_call == NULL || entry->advice_call->job != job;
  return false;
}

MdTime
md_entry_advice_wait (const MdRunEntry *entry, const MdEntryJob *job)
{
  MdTime wait = 0;

  if (job->advice == NULL)
    return 0;
  if (entry->advice_call != NULL)
    wait += md_advice_call_time (&job->route->advisor, entry->advice_call->n);
  for (const MdEntryJob *other = entry->jobs; other != NULL; other = other->next)
    if (other != job && other->needs_advice && md_entry_due (other) < md_entry_due (job))
      wait += md_advice_call_time (&other->route->advisor, workers_to_ask (other, 0));
  return wait;
}

void
md_entry_free_advice (MdRunEntry *entry, MdEntryJob *job)
{
  if (entry->advice_call != NULL && entry->advice_call->job == job)
    entry->advice_call->job = NULL;
  for (uint32_t i = 0; job->advice != NULL && i < job->runjob.spec.n_steps; i++)
    md_advice_clear (&job->advice[i]);
  free (job->advice);
}
