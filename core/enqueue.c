/* enqueue.c -- a submission enters the queue: its customer, its size and the order of its tasks

   Used for a new submission and for one that is merged with the records of guards. */

#include "dispatch-private.h"

#include <math.h>

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

void
md_worker_resources_raise (MdWorkerResources *need, const MdTaskSpec *task)
{
  need->cores = max_u32 (need->cores, task->cores);
  need->memory_mb = max_u32 (need->memory_mb, task->memory_mb);
  need->accelerators = max_u32 (need->accelerators, task->accelerators);
}

double
md_customer_rate (const MdDispatch *d, const MdCustomer *customer)
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
      md_worker_resources_raise (&active->need, &spec->tasks[i]);
    }
  md_heap_update (&d->by_deadline, active);
  if (d->capacity > 0)
    ideal = fmax (longest / d->fastest_speed, (active->customer->waiting_work + total)
                                                  / md_customer_rate (d, active->customer));
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
    if (active->tasks[i].state == MD_TASK_STATE_WAITING && !active->tasks[i].requeued)
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
