/* entry-advice.c -- calls of an entry to the advisory service

   One call at a time: the service handles those of one machine in turn, so a call that
   waits there would only hide from this entry which job is the most urgent by now. */

#include "run-entry.h"

#define ANSWER_MARGIN (150 * MD_MS) /* of a call, beyond the time that its queue states */
#define VALID_DEFAULT MD_SECOND     /* of permits, where neither queue nor answer states it */
#define ASK_RETRY (50 * MD_MS)      /* after a call that failed or was turned away */

struct MdEntryAdviceCall
{
  MdRunEntry *entry;
  MdEntryJob *job;                                            /* NULL: it has ended meanwhile */
  uint32_t step;                                              /* of the job */
  uint32_t n;                                                 /* workers named */
  uint32_t n_allowed;                                         /* of them */
  uint64_t lifetimes[MD_ADVICE_MAX_WORKERS];                  /* of the workers */
  char worker_ids[MD_ADVICE_MAX_WORKERS][MD_WORKER_ID_BYTES]; /* their names */
  bool is_allowed[MD_ADVICE_MAX_WORKERS];                     /* they are allowed */
  MdTime validity;                                            /* of permits */
};

typedef struct MdEntryAdviceCall Call;

/* ------------------------------------------------------------------ */
/* Answers                                                            */

static void
keep (Call *call, uint32_t i, MdStr permit)
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
    if (md_str_equal (md_str (call->worker_ids[i]), worker))
      {
        call->n_allowed += !call->is_allowed[i];
        call->is_allowed[i] = true;
        keep (call, i, permit);
        return;
      }
}

/* What was named and is not among the allowed is denied. An answer that cannot be read says
   nothing about anybody. */
static int
take_answer (Call *call, MdStr body, MdError *error)
{
  int rc = md_platform_parse_advise_response (body, on_allowed, call, &call->validity, error);

  for (uint32_t i = 0; rc == MD_OK && i < call->n; i++)
    if (!call->is_allowed[i])
      keep (call, i, MD_STR (""));
  return rc;
}

/* The next look at the job asks again. */
static void
note_failure (Call *call, const MdHttpAsyncResponse *answer, const char *event, const char *reason)
{
  MdRunEntry *entry = call->entry;

  md_count (MD_M_ADVICE_FAILED, 1);
  entry->next_advice_at = entry->now + ASK_RETRY;
  md_log (MD_LOG_WARN, event, "job=%s step=%u workers=%u status=%d reason=\"%s\"",
          call->job != NULL ? call->job->id : "-", call->step, call->n, answer->status, reason);
}

static void
on_answer (void *user, const MdHttpAsyncResponse *answer)
{
  md_autofree Call *call = user;
  MdRunEntry *entry = call->entry;
  MdEntryJob *job = call->job;
  MdError error = answer->error;

  entry->advice_call = NULL;
  entry->now = md_now ();
  md_count (MD_M_ADVICE_CALLS, 1);
  if (answer->status != 200)
    {
      note_failure (call, answer, "advice-failed", error.detail);
      return;
    }
  if (job == NULL)
    return;
  if (take_answer (call, answer->body, &error) != MD_OK)
    {
      note_failure (call, answer, "advice-ignored", error.detail);
      return;
    }
  job->stats->allowed_share
      = md_advice_update_share (job->stats->allowed_share, call->n, call->n_allowed);
  md_log (MD_LOG_INFO, "advice", "job=%s request=%s step=%u workers=%u allowed=%u elapsed_ms=%lld",
          job->id, job->request_id, call->step, call->n, call->n_allowed,
          (long long)(answer->elapsed / MD_MS));
  md_entry_place_ready (entry, job);
}

/* ------------------------------------------------------------------ */
/* Calls                                                              */

static uint32_t
wanted (const MdEntryJob *job, uint32_t step)
{
  return md_advice_call_size (job->runjob.spec.steps[step].n_tasks, job->stats->allowed_share);
}

/* The first step with a task that is ready and no worker that may run it; -1 none. */
static int
step_to_ask (MdRunEntry *entry, const MdEntryJob *job, MdTaskRequirements *need)
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

/* Nothing that has started is given up for it: a worker that is allowed may come. */
static void
refuse_denied (MdRunEntry *entry, MdEntryJob *job, uint32_t step)
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
  MdTime timeout = md_advice_call_time (&job->route.advisor, n) + ANSWER_MARGIN;
  Call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return; /* tried again with the next pass */
  *call = (Call){ .entry = entry, .job = job, .step = step, .n = n };
  call->validity
      = job->route.advisor.permit_validity > 0 ? job->route.advisor.permit_validity : VALID_DEFAULT;
  for (uint32_t i = 0; i < n; i++)
    {
      call->lifetimes[i] = workers[i]->lifetime;
      md_str_copy (call->worker_ids[i], MD_WORKER_ID_BYTES,
                   md_str (((MdEntryGuard *)workers[i])->worker_id));
      names[i] = md_str (call->worker_ids[i]);
    }
  md_platform_step_name (name, md_str (job->id), 0, step);
  md_platform_advise (&request, md_str (name), names, n);
  if (md_daemon_call (entry->advisor, entry->daemon.settings.advisor_address, &request, timeout,
                      on_answer, call)
      != MD_OK)
    {
      free (call);
      return;
    }
  entry->advice_call = call;
}

static void
ask_for (MdRunEntry *entry, MdEntryJob *job)
{
  MdWorker *chosen[MD_ADVICE_MAX_WORKERS];
  MdTaskRequirements need;
  int step = step_to_ask (entry, job, &need);
  uint32_t n;

  job->needs_advice = false;
  if (step < 0)
    return;
  need.excluded = NULL;
  n = md_advice_choose (&job->advice[step], &entry->workers, &need, wanted (job, (uint32_t)step),
                        entry->excluded, chosen, entry->now);
  if (n > 0)
    send_call (entry, job, (uint32_t)step, chosen, n);
  else
    refuse_denied (entry, job, (uint32_t)step);
}

static MdEntryJob *
most_urgent (const MdRunEntry *entry)
{
  MdEntryJob *best = NULL;

  for (MdEntryJob *job = entry->jobs; job != NULL; job = job->next)
    if (job->needs_advice && (best == NULL || job->goal < best->goal))
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
    ask_for (entry, job);
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
    wait += md_advice_call_time (&job->route.advisor, entry->advice_call->n);
  for (const MdEntryJob *other = entry->jobs; other != NULL; other = other->next)
    if (other != job && other->needs_advice && other->goal < job->goal)
      wait += md_advice_call_time (&other->route.advisor, wanted (other, 0));
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
