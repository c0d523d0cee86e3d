/* dispatch.c -- public functions of the dispatch core, which queues the submissions
   of one shard and assigns their tasks to guards

   The input functions change the state and append decisions to a ring buffer.
   md_dispatch_next removes them and, when the ring is empty, chooses one start at a
   time. A start is thus chosen only when the caller is about to send it, and the
   choice uses all input received before.

   Nothing here reads a clock or draws random numbers. The same inputs give the same
   decisions, which replays rely on. */

#include "dispatch-private.h"

#include <math.h>
#include <stdio.h>

#define ADMISSION_RETRY_DELAY (500 * MD_MS) /* about one heartbeat interval */

static bool
earlier_deadline_first (const void *a, const void *b)
{
  const MdActiveJob *x = a;
  const MdActiveJob *y = b;

  return x->deadline != y->deadline ? x->deadline < y->deadline : x->serial < y->serial;
}

MdDispatch *
md_dispatch_new (const MdTuning *tuning)
{
  MdDispatch *d = calloc (1, sizeof *d);

  if (d == NULL)
    return NULL;
  d->tuning = *tuning;
  d->answers_until_update = 1;
  md_heap_init (&d->by_deadline, offsetof (MdActiveJob, deadline_position), earlier_deadline_first);
  md_fair_queue_init (&d->fair_queue);
  md_retry_init (&d->retry_budget, tuning);
  return d;
}

void
md_dispatch_free (MdDispatch *d)
{
  if (d == NULL)
    return;
  md_job_table_clear (d);
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      free (d->guards[i]->name);
      free (d->guards[i]);
    }
  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    free (d->removed_guards[i].name);
  for (uint32_t i = 0; i < d->n_customers; i++)
    md_customer_free (d->customers[i]);
  free (d->guards);
  free (d->removed_guards);
  free (d->customers);
  free (d->decisions);
  md_heap_clear (&d->by_deadline);
  md_fair_queue_clear (&d->fair_queue);
  free (d);
}

void
md_dispatch_serve (MdDispatch *d, int64_t cut_ms, MdTime now)
{
  MdJob *next;

  d->serving = true;
  d->suspended = false;
  d->cut_ms = cut_ms;
  /* Records of one job come from several guards and are complete only now. */
  for (size_t i = 0; i < d->n_buckets; i++)
    for (MdJob *job = d->buckets[i]; job != NULL; job = next)
      {
        next = job->next_in_bucket;
        if (job->state == MD_JOB_STATE_OPEN && !job->submitted)
          md_recover_end_job (d, job, now);
      }
}

void
md_dispatch_suspend (MdDispatch *d, MdTime now)
{
  (void)now;
  d->suspended = true;
}

/* ------------------------------------------------------------------ */
/* Policies                                                           */

MdCustomer *
md_customer_get (MdDispatch *d, MdStr name)
{
  uint32_t low = 0;
  uint32_t high = d->n_customers;
  MdCustomer *customer;

  while (low < high)
    {
      uint32_t mid = (low + high) / 2;
      MdStr other = md_str (d->customers[mid]->name);
      size_t n = name.len < other.len ? name.len : other.len;
      int order = n > 0 ? memcmp (name.data, other.data, n) : 0;

      if (order == 0 && name.len == other.len)
        return d->customers[mid];
      if (order < 0 || (order == 0 && name.len < other.len))
        high = mid;
      else
        low = mid + 1;
    }
  customer = calloc (1, sizeof *customer);
  if (customer == NULL || (customer->name = md_str_dup (name)) == NULL)
    abort ();
  customer->demand = calloc (1, sizeof *customer->demand);
  if (customer->demand == NULL)
    abort ();
  customer->policy.weight = 1.0;
  d->customers = md_array_reserve (d->customers, &d->cap_customers, d->n_customers + 1,
                                   sizeof (MdCustomer *));
  memmove (d->customers + low + 1, d->customers + low,
           (d->n_customers - low) * sizeof (MdCustomer *));
  d->customers[low] = customer;
  d->n_customers++;
  return customer;
}

void
md_dispatch_set_customer (MdDispatch *d, MdStr name, const MdCustomerPolicy *policy)
{
  MdCustomer *customer = md_customer_get (d, name);
  double weight = policy->weight > 0 ? policy->weight : 1.0;

  if (customer->waiting_tasks > 0)
    d->fair_queue.total_weight += weight - customer->policy.weight;
  customer->policy = *policy;
  customer->policy.weight = weight;
  if (customer->blocked_position > 0)
    md_queue_unblock (&d->fair_queue, customer);
}

void
md_dispatch_set_pool (MdDispatch *d, const MdPoolPolicy *policy)
{
  d->pool = *policy;
  d->fair_queue.fair_sharing = !policy->unshared;
  for (uint32_t i = 0; i < d->n_customers; i++)
    md_queue_update_rank (&d->fair_queue, d->customers[i]);
  md_guards_update_capacity (d);
}

/* ------------------------------------------------------------------ */
/* Submission                                                         */

typedef struct
{
  double size;
  uint32_t task;
} SizedTask;

static int
longer_first (const void *a, const void *b)
{
  const SizedTask *x = a;
  const SizedTask *y = b;

  if (x->size > y->size || x->size < y->size)
    return x->size > y->size ? -1 : 1;
  return x->task < y->task ? -1 : 1;
}

static uint32_t
max_u32 (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static void
raise_need (MdWorkerResources *need, const MdTaskSpec *task)
{
  need->cores = max_u32 (need->cores, task->cores);
  need->memory_mb = max_u32 (need->memory_mb, task->memory_mb);
  need->accelerators = max_u32 (need->accelerators, task->accelerators);
}

/* Returns the work per microsecond that a customer gets while all other customers
   with waiting work use their shares. */
static double
customer_rate (const MdDispatch *d, const MdCustomer *customer)
{
  double weight = customer->policy.weight;
  double weights = d->fair_queue.total_weight + (customer->waiting_tasks > 0 ? 0 : weight);
  double rate
      = d->fair_queue.fair_sharing && weights > 0 ? d->capacity * weight / weights : d->capacity;

  if (customer->policy.slot_quota > 0)
    rate = fmin (rate, customer->policy.slot_quota * d->fastest_speed);
  return rate;
}

void
md_job_apply_spec (MdDispatch *d, MdJob *job, const MdJobSpec *spec, MdTime now)
{
  MdActiveJob *active = job->active;
  double total = 0;
  double longest = 0;
  double ideal = 0;
  double slowdown;
  MdTime half;

  active->customer = md_customer_get (d, spec->customer);
  active->deadline = spec->deadline;
  active->single_request = spec->single_request;
  active->repeatable = spec->repeatable;
  job->submitted = true;
  for (uint32_t i = 0; i < active->n_tasks; i++)
    {
      MdTask *task = &active->tasks[i];

      task->declared = spec->tasks[i].declared;
      task->size = md_estimate_work (&active->customer->correction, task->declared);
      total += task->size;
      longest = fmax (longest, task->size);
      raise_need (&active->need, &spec->tasks[i]);
    }
  md_heap_update (&d->by_deadline, active);
  if (d->capacity > 0)
    ideal = fmax (longest / d->fastest_speed,
                  (active->customer->waiting_work + total) / customer_rate (d, active->customer));
  /* The waiting work of a slow customer can exceed every time; see limits.c for the half. */
  slowdown = d->tuning.max_slowdown * ideal;
  half = (active->deadline - now) / 2;
  active->urgent_at = now + (slowdown < (double)half ? (MdTime)slowdown : half);
  active->demand_bucket = md_demand_bucket (active->deadline, now);
}

void
md_job_enqueue (MdDispatch *d, MdJob *job)
{
  MdActiveJob *active = job->active;
  md_autofree SizedTask *sized_tasks = calloc (active->n_tasks, sizeof *sized_tasks);
  uint32_t n = 0;

  if (sized_tasks == NULL)
    abort ();
  for (uint32_t i = 0; i < active->n_tasks; i++)
    if (active->tasks[i].state == MD_TASK_STATE_WAITING)
      {
        sized_tasks[n++] = (SizedTask){ active->tasks[i].size, i };
        active->waiting_work += active->tasks[i].size;
      }
  qsort (sized_tasks, n, sizeof *sized_tasks, longer_first);
  for (uint32_t i = 0; i < n; i++)
    active->order[i] = sized_tasks[i].task;
  active->n_order = n;
  d->waiting_tasks += n;
  if (n > 0)
    md_queue_add (&d->fair_queue, active);
}

static void
refuse (MdAdmission *admission, MdReason reason, MdOutcome outcome, MdTime retry_after)
{
  admission->kind = MD_ADMIT_REFUSED;
  admission->reason = reason;
  admission->outcome = outcome;
  admission->retry_after = retry_after;
}

static MdWorkerResources
job_need (const MdJobSpec *spec)
{
  MdWorkerResources need = { 0 };

  for (uint32_t i = 0; i < spec->n_tasks; i++)
    raise_need (&need, &spec->tasks[i]);
  return need;
}

/* A recently lost worker is included, since it is probably being replaced. */
static bool
fits_any_worker (const MdDispatch *d, const MdWorkerResources *need)
{
  for (uint32_t i = 0; i < d->n_guards; i++)
    if (md_worker_resources_fit (need, &d->guards[i]->resources))
      return true;
  for (uint32_t i = 0; i < d->n_removed_guards; i++)
    if (md_worker_resources_fit (need, &d->removed_guards[i].resources))
      return true;
  return false;
}

static double
estimate_job (const MdCustomer *customer, const MdJobSpec *spec)
{
  double total = 0;

  for (uint32_t i = 0; i < spec->n_tasks; i++)
    total += md_estimate_work (&customer->correction, spec->tasks[i].declared);
  return total;
}

static MdReason
check_limits (MdDispatch *d, const MdJobSpec *spec, MdTime now, MdTime *retry_after)
{
  MdCustomer *customer = md_customer_get (d, spec->customer);
  MdWorkerResources need = job_need (spec);
  MdAdmissionLoad load = { 0 };

  md_estimate_set_prior (&customer->correction, &d->pool_correction);

  *retry_after = 0;
  if (d->n_guards == 0 && d->n_removed_guards == 0)
    {
      *retry_after = ADMISSION_RETRY_DELAY;
      return MD_REASON_NO_UPSTREAM;
    }
  if (!fits_any_worker (d, &need))
    return MD_REASON_TOO_LARGE;
  load.new_tasks = spec->n_tasks;
  load.queued_tasks = d->waiting_tasks;
  load.max_queue = d->pool.max_queue > 0 ? d->pool.max_queue : d->tuning.max_queued_tasks;
  load.customer_tasks = customer->waiting_tasks;
  load.queue_quota = customer->policy.queue_quota;
  load.customer_work = customer->waiting_work;
  load.rate = customer_rate (d, customer);
  load.time_left = spec->deadline - now;
  load.shortest_run = d->shortest_run;
  if (customer->waiting_tasks > 0 && load.rate > 0)
    load.demand_excess = md_demand_excess (customer->demand, spec->deadline, now,
                                           estimate_job (customer, spec), load.rate);
  return md_limits_check (&load, retry_after);
}

/* Returns whether a submission without a record provably never started: there is no
   cut (see md_dispatch_serve), or it was first submitted after the cut. When the
   time of the first submission is unknown, the cut matters until the horizon has
   passed, because resubmissions are not allowed after that. A time in the future
   proves nothing. */
static bool
is_fresh (const MdDispatch *d, const MdJobSpec *spec, int64_t wall_ms)
{
  int64_t allowed = wall_ms + d->tuning.clock_error / MD_MS;

  if (d->cut_ms == 0 || wall_ms - d->cut_ms > (d->tuning.horizon + d->tuning.clock_error) / MD_MS)
    return true;
  return spec->submitted_ms > d->cut_ms && spec->submitted_ms <= allowed;
}

static bool
is_expired (const MdDispatch *d, const MdJobSpec *spec, int64_t wall_ms)
{
  return spec->submitted_ms > 0 && wall_ms - spec->submitted_ms > d->tuning.horizon / MD_MS;
}

static void
admit_new (MdDispatch *d, const MdJobSpec *spec, MdTime now, MdAdmission *admission)
{
  MdTime retry_after;
  MdReason reason = check_limits (d, spec, now, &retry_after);
  MdJob *job;

  if (reason != MD_REASON_NONE)
    {
      refuse (admission, reason, MD_OUTCOME_NOT_RUN, retry_after);
      return;
    }
  job = md_job_new (d, spec->key, spec->fingerprint, spec->n_tasks, spec->cookie, now);
  if (job == NULL)
    {
      refuse (admission, MD_REASON_OVERLOAD, MD_OUTCOME_NOT_RUN, ADMISSION_RETRY_DELAY);
      return;
    }
  for (uint32_t i = 0; i < spec->n_tasks; i++)
    job->active->tasks[i].state = MD_TASK_STATE_WAITING;
  md_job_apply_spec (d, job, spec, now);
  md_job_enqueue (d, job);
  admission->kind = MD_ADMIT_QUEUED;
}

static void
replay_result (const MdDispatch *d, const MdJob *job, MdTime now, MdAdmission *admission)
{
  admission->kind = MD_ADMIT_REPLAY;
  admission->cookie = job->cookie;
  admission->reason = job->reason;
  admission->outcome = job->outcome;
  if (job->state != MD_JOB_STATE_DONE)
    return;
  admission->done = !job->released && now < job->ended_at + d->tuning.answer_retention;
  if (!admission->done)
    admission->reason = MD_REASON_ANSWER_GONE;
}

/* A failed job of which no task was ever sent may run again. A cancelled job may not:
   a delayed copy of the submission must not start what its caller has cancelled. */
static bool
may_run_again (const MdDispatch *d, const MdJob *job)
{
  return d->serving && !d->suspended && job->state == MD_JOB_STATE_FAILED && !job->ever_sent
         && job->outcome == MD_OUTCOME_NOT_RUN;
}

static void
admit_known (MdDispatch *d, MdJob *job, const MdJobSpec *spec, MdTime now, int64_t wall_ms,
             MdAdmission *admission)
{
  if (!md_key_equal (job->fingerprint, spec->fingerprint))
    {
      refuse (admission, MD_REASON_KEY_REUSED, MD_OUTCOME_NOT_RUN, 0);
      return;
    }
  /* The records of a faulty guard. Tasks of the submission may have run. */
  if (job->n_tasks != spec->n_tasks)
    {
      refuse (admission, MD_REASON_UNPROVEN, MD_OUTCOME_UNKNOWN, 0);
      return;
    }
  if (job->state == MD_JOB_STATE_OPEN && !job->submitted)
    {
      if (!d->serving)
        {
          refuse (admission, MD_REASON_NOT_OWNER, MD_OUTCOME_UNKNOWN, ADMISSION_RETRY_DELAY);
          return;
        }
      md_recover_merge (d, job, spec, is_fresh (d, spec, wall_ms), now);
    }
  if (job->state == MD_JOB_STATE_OPEN)
    {
      admission->kind = MD_ADMIT_ATTACHED;
      admission->cookie = job->cookie;
      return;
    }
  if (may_run_again (d, job))
    {
      md_job_replace (d, job);
      admit_new (d, spec, now, admission);
      return;
    }
  replay_result (d, job, now, admission);
}

void
md_dispatch_submit (MdDispatch *d, const MdJobSpec *spec, MdTime now, int64_t wall_ms,
                    MdAdmission *admission)
{
  MdJob *job = md_job_find (d, spec->key);

  memset (admission, 0, sizeof *admission);
  if (spec->n_tasks == 0 || spec->n_tasks > d->tuning.max_tasks)
    refuse (admission, MD_REASON_TOO_LARGE, MD_OUTCOME_NOT_RUN, 0);
  else if (job != NULL)
    admit_known (d, job, spec, now, wall_ms, admission);
  else if (!d->serving || d->suspended)
    /* An earlier submission with this key may have run under another owner. */
    refuse (admission, MD_REASON_NOT_OWNER, MD_OUTCOME_UNKNOWN, ADMISSION_RETRY_DELAY);
  else if (is_expired (d, spec, wall_ms))
    refuse (admission, MD_REASON_EXPIRED, MD_OUTCOME_UNKNOWN, 0);
  else if (!is_fresh (d, spec, wall_ms))
    refuse (admission, MD_REASON_UNPROVEN, MD_OUTCOME_UNKNOWN, 0);
  else
    admit_new (d, spec, now, admission);
}

/* ------------------------------------------------------------------ */
/* Other inputs                                                       */

int
md_dispatch_cancel (MdDispatch *d, MdKey key, MdTime now)
{
  MdJob *job = md_job_find (d, key);

  if (job == NULL)
    return MD_E_NOT_FOUND;
  if (job->state == MD_JOB_STATE_OPEN)
    md_job_end (d, job, MD_JOB_STATE_CANCELLED, MD_REASON_CANCELLED, md_job_outcome (job), 0, 0,
                now);
  return MD_OK;
}

bool
md_dispatch_answer (MdDispatch *d, uint64_t guard, MdKey key, uint32_t task, MdTaskResult result,
                    MdReason reason, MdTime run, MdTime now)
{
  MdJob *job = md_job_find (d, key);
  MdTask *t;

  if (job == NULL || job->active == NULL || task >= job->active->n_tasks)
    return false;
  t = &job->active->tasks[task];
  if (t->state != MD_TASK_STATE_SENT || t->guard->id != guard)
    return false;
  return md_task_record_result (d, t, result, reason, run, now);
}

static void
expire_deadlines (MdDispatch *d, MdTime now)
{
  for (;;)
    {
      MdActiveJob *active = md_heap_top (&d->by_deadline);
      MdReason reason = MD_REASON_DEADLINE;

      if (active == NULL || active->deadline > now)
        return;
      if (!active->job->submitted)
        reason = MD_REASON_UNPROVEN; /* recovered, and never resubmitted */
      md_job_fail (d, active->job, reason, 0, 0, now);
    }
}

bool
md_dispatch_next (MdDispatch *d, MdTime now, MdDispatchDecision *decision)
{
  expire_deadlines (d, now); /* no task of a job past its deadline may start */
  if (d->n_decisions == 0 && md_place_next (d, now, decision))
    return true;
  if (d->n_decisions == 0)
    return false;
  *decision = d->decisions[d->first_decision];
  d->first_decision = (d->first_decision + 1) % d->cap_decisions;
  d->n_decisions--;
  return true;
}

static MdTime
min_time (MdTime a, MdTime b)
{
  return a < b ? a : b;
}

static MdTime
next_wake (const MdDispatch *d, MdTime now)
{
  const MdActiveJob *due = md_heap_top (&d->by_deadline);
  const MdCustomer *blocked = md_heap_top (&d->fair_queue.blocked);
  MdTime wake = md_guards_next_wake (d, now);

  if (due != NULL)
    wake = min_time (wake, due->deadline);
  if (blocked != NULL)
    wake = min_time (wake, blocked->blocked_until);
  if (d->unreleased != NULL)
    wake = min_time (wake, d->unreleased->ended_at + d->tuning.answer_retention);
  if (d->ended != NULL)
    wake = min_time (wake, d->ended->ended_at + d->tuning.horizon + d->tuning.clock_error);
  return wake > now ? wake : now + MD_MS;
}

MdTime
md_dispatch_tick (MdDispatch *d, MdTime now)
{
  expire_deadlines (d, now);
  md_job_expire (d, now);
  return next_wake (d, now);
}

/* ------------------------------------------------------------------ */
/* Observation                                                        */

void
md_dispatch_stats (const MdDispatch *d, MdDispatchStats *stats)
{
  memset (stats, 0, sizeof *stats);
  stats->guards = d->n_guards;
  stats->ejected = d->n_ejected;
  stats->jobs = d->open_jobs;
  stats->waiting_tasks = d->waiting_tasks;
  stats->starts = d->starts;
  stats->retries = d->retries;
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      stats->slots += d->guards[i]->slots;
      stats->busy += d->guards[i]->busy;
      stats->leaving += d->guards[i]->leaving;
    }
}

static void
dump_guards (const MdDispatch *d, MdBuf *buf)
{
  for (uint32_t i = 0; i < d->n_guards; i++)
    {
      const MdDispatchGuard *g = d->guards[i];

      md_buf_printf (buf, "guard=%s slots=%u busy=%u limit=%.2f speed=%.3f", g->name, g->slots,
                     g->busy, g->health.concurrency_limit, g->relative_speed);
      md_buf_printf (buf, " paused=%d leaving=%d ejected=%d\n", g->paused, g->leaving,
                     g->health.ejected);
    }
}

static void
dump_customers (const MdDispatch *d, MdBuf *buf)
{
  for (uint32_t i = 0; i < d->n_customers; i++)
    {
      const MdCustomer *c = d->customers[i];

      md_buf_printf (buf, "customer=%s waiting=%u running=%u correction=%.3f\n", c->name,
                     c->waiting_tasks, c->running_tasks,
                     exp (c->correction.mean_log_work - c->correction.mean_log_declared));
    }
}

size_t
md_dispatch_dump (const MdDispatch *d, char *out, size_t size)
{
  MD_AUTO_BUF buf = { 0 };

  md_buf_printf (&buf, "serving=%d suspended=%d cut_ms=%lld open=%u known=%zu waiting=%u\n",
                 d->serving, d->suspended, (long long)d->cut_ms, d->open_jobs, d->n_jobs,
                 d->waiting_tasks);
  dump_guards (d, &buf);
  dump_customers (d, &buf);
  md_str_copy (out, size, md_buf_str (&buf));
  return buf.len < size ? buf.len : size - 1;
}
