/* queue.c -- order of customers, of jobs and of tasks

   Customers come first: start-time fair queueing. Each customer has a virtual
   time that advances by the slot time of its tasks divided by its weight; the
   customer with the lowest one starts next. A customer that was idle starts at
   the current virtual time, so that it gains nothing from having been idle.

   Within a customer the job with the least waiting work goes first, which gives
   the lowest mean response time. A job that has waited for a multiple of its own
   ideal goes before all others, so that large jobs are not starved. Both orders
   are heaps with keys that do not depend on the current time; no key has to be
   computed again while a job waits.

   Jobs that need other resources wait in other lanes, so that a job for which
   no suitable worker is free does not hold up the rest. */

#include "dispatch-private.h"

void *
md_array_reserve (void *items, uint32_t *cap, uint32_t n, size_t size)
{
  uint32_t want = *cap ? *cap : 8;

  if (n <= *cap)
    return items;
  while (want < n)
    want *= 2;
  items = realloc (items, want * size);
  if (items == NULL)
    abort ();
  *cap = want;
  return items;
}

/* ------------------------------------------------------------------ */
/* Heap                                                               */

void
md_heap_init (MdHeap *heap, size_t place, bool (*before) (const void *, const void *))
{
  memset (heap, 0, sizeof *heap);
  heap->position_offset = place;
  heap->before = before;
}

void
md_heap_clear (MdHeap *heap)
{
  free (heap->items);
  heap->items = NULL;
  heap->n = heap->cap = 0;
}

static uint32_t *
position (const MdHeap *heap, void *item)
{
  return (uint32_t *)(void *)((char *)item + heap->position_offset);
}

static void
put (MdHeap *heap, uint32_t i, void *item)
{
  heap->items[i] = item;
  *position (heap, item) = i + 1;
}

static uint32_t
sift_up (MdHeap *heap, uint32_t i, void *item)
{
  while (i > 0)
    {
      uint32_t parent = (i - 1) / 2;

      if (!heap->before (item, heap->items[parent]))
        break;
      put (heap, i, heap->items[parent]);
      i = parent;
    }
  return i;
}

static uint32_t
sift_down (MdHeap *heap, uint32_t i, void *item)
{
  for (;;)
    {
      uint32_t child = 2 * i + 1;

      if (child >= heap->n)
        break;
      if (child + 1 < heap->n && heap->before (heap->items[child + 1], heap->items[child]))
        child++;
      if (!heap->before (heap->items[child], item))
        break;
      put (heap, i, heap->items[child]);
      i = child;
    }
  return i;
}

void
md_heap_push (MdHeap *heap, void *item)
{
  heap->items = md_array_reserve (heap->items, &heap->cap, heap->n + 1, sizeof *heap->items);
  heap->n++;
  put (heap, sift_up (heap, heap->n - 1, item), item);
}

static void
settle (MdHeap *heap, uint32_t i, void *item)
{
  uint32_t up = sift_up (heap, i, item);

  put (heap, up == i ? sift_down (heap, i, item) : up, item);
}

void
md_heap_update (MdHeap *heap, void *item)
{
  uint32_t place = *position (heap, item);

  if (place > 0)
    settle (heap, place - 1, item);
}

void
md_heap_remove (MdHeap *heap, void *item)
{
  uint32_t place = *position (heap, item);
  void *last;

  if (place == 0)
    return;
  *position (heap, item) = 0;
  last = heap->items[--heap->n];
  if (last != item)
    settle (heap, place - 1, last);
}

void *
md_heap_top (const MdHeap *heap)
{
  return heap->n > 0 ? heap->items[0] : NULL;
}

/* ------------------------------------------------------------------ */
/* Orders                                                             */

static bool
smaller_first (const void *a, const void *b)
{
  const MdActiveJob *x = a;
  const MdActiveJob *y = b;

  if (x->waiting_work < y->waiting_work || x->waiting_work > y->waiting_work)
    return x->waiting_work < y->waiting_work;
  return x->serial < y->serial;
}

static bool
urgent_first (const void *a, const void *b)
{
  const MdActiveJob *x = a;
  const MdActiveJob *y = b;

  return x->urgent_at != y->urgent_at ? x->urgent_at < y->urgent_at : x->serial < y->serial;
}

static bool
lower_rank_first (const void *a, const void *b)
{
  const MdCustomer *x = a;
  const MdCustomer *y = b;

  if (x->rank < y->rank || x->rank > y->rank)
    return x->rank < y->rank;
  return strcmp (x->name, y->name) < 0;
}

static bool
unblocked_first (const void *a, const void *b)
{
  const MdCustomer *x = a;
  const MdCustomer *y = b;

  if (x->blocked_until != y->blocked_until)
    return x->blocked_until < y->blocked_until;
  return strcmp (x->name, y->name) < 0;
}

void
md_fair_queue_init (MdFairQueue *shares)
{
  memset (shares, 0, sizeof *shares);
  shares->fair_sharing = true;
  md_heap_init (&shares->ready, offsetof (MdCustomer, ready_position), lower_rank_first);
  md_heap_init (&shares->blocked, offsetof (MdCustomer, blocked_position), unblocked_first);
}

void
md_fair_queue_clear (MdFairQueue *shares)
{
  md_heap_clear (&shares->ready);
  md_heap_clear (&shares->blocked);
}

static bool
same_need (const MdWorkerResources *a, const MdWorkerResources *b)
{
  return a->cores == b->cores && a->memory_mb == b->memory_mb && a->accelerators == b->accelerators;
}

static uint32_t
find_lane (MdCustomer *customer, const MdWorkerResources *need)
{
  MdSubqueue *lane;

  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    if (same_need (&customer->subqueues[i].need, need))
      return i;
  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    if (customer->subqueues[i].by_size.n == 0)
      {
        customer->subqueues[i].need = *need;
        return i;
      }
  customer->subqueues = md_array_reserve (customer->subqueues, &customer->cap_subqueues,
                                          customer->n_subqueues + 1, sizeof *lane);
  lane = &customer->subqueues[customer->n_subqueues];
  lane->need = *need;
  md_heap_init (&lane->by_size, offsetof (MdActiveJob, size_position), smaller_first);
  md_heap_init (&lane->by_urgency, offsetof (MdActiveJob, urgent_position), urgent_first);
  return customer->n_subqueues++;
}

/* Without shares the customer whose best job has the least work goes first. */
static double
best_size (const MdCustomer *customer)
{
  double best = 1e300;

  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    {
      const MdActiveJob *work = md_heap_top (&customer->subqueues[i].by_size);

      if (work != NULL && work->waiting_work < best)
        best = work->waiting_work;
    }
  return best;
}

void
md_queue_update_rank (MdFairQueue *shares, MdCustomer *customer)
{
  customer->rank = shares->fair_sharing ? customer->start_tag : best_size (customer);
  md_heap_update (&shares->ready, customer);
}

static void
customer_enters (MdFairQueue *shares, MdCustomer *customer)
{
  if (customer->start_tag < shares->virtual_time)
    customer->start_tag = shares->virtual_time;
  shares->total_weight += customer->policy.weight;
  md_queue_update_rank (shares, customer);
  md_heap_push (&shares->ready, customer);
}

static void
customer_leaves (MdFairQueue *shares, MdCustomer *customer)
{
  md_heap_remove (&shares->ready, customer);
  md_heap_remove (&shares->blocked, customer);
  customer->over_quota_since = 0;
  shares->total_weight -= customer->policy.weight;
  if (shares->ready.n == 0)
    shares->ready_work = 0; /* drops rounding errors */
}

void
md_queue_add (MdFairQueue *shares, MdActiveJob *work)
{
  MdCustomer *customer = work->customer;
  bool idle = customer->waiting_tasks == 0;
  MdSubqueue *lane;

  work->subqueue = find_lane (customer, &work->need);
  lane = &customer->subqueues[work->subqueue];
  md_heap_push (&lane->by_size, work);
  md_heap_push (&lane->by_urgency, work);
  customer->waiting_tasks += work->n_order - work->next_order;
  customer->waiting_work += work->waiting_work;
  if (customer->over_quota_since == 0)
    shares->ready_work += work->waiting_work;
  customer->demand->work[work->demand_bucket] += work->waiting_work;
  if (idle)
    customer_enters (shares, customer);
  else
    md_queue_update_rank (shares, customer);
}

static void
leave_lane (MdActiveJob *work)
{
  MdSubqueue *lane = &work->customer->subqueues[work->subqueue];

  md_heap_remove (&lane->by_size, work);
  md_heap_remove (&lane->by_urgency, work);
}

static void
forget_waiting (MdFairQueue *shares, MdActiveJob *work, uint32_t tasks, double size)
{
  MdCustomer *customer = work->customer;
  double *due = &customer->demand->work[work->demand_bucket];

  *due = *due > size ? *due - size : 0;
  customer->waiting_tasks -= tasks;
  customer->waiting_work -= size;
  if (customer->over_quota_since == 0)
    shares->ready_work = shares->ready_work > size ? shares->ready_work - size : 0;
  if (customer->waiting_tasks > 0)
    {
      md_queue_update_rank (shares, customer);
      return;
    }
  customer->waiting_work = 0; /* drops rounding errors */
  *due = 0;
  customer_leaves (shares, customer);
}

void
md_queue_remove (MdFairQueue *shares, MdActiveJob *work)
{
  uint32_t tasks = work->n_order - work->next_order;

  if (work->size_position == 0)
    return;
  leave_lane (work);
  work->next_order = work->n_order;
  forget_waiting (shares, work, tasks, work->waiting_work);
  work->waiting_work = 0;
}

void
md_queue_charge (MdFairQueue *shares, MdCustomer *customer, double slot_time)
{
  double weight = customer->policy.weight;

  customer->start_tag += slot_time / weight;
  md_token_bucket_charge (&customer->quota_bucket, slot_time);
  md_queue_update_rank (shares, customer);
}

void
md_queue_start_task (MdFairQueue *shares, MdActiveJob *work, bool last, double slot_time)
{
  uint32_t place = last ? --work->n_order : work->next_order++;
  const MdTask *task = &work->tasks[work->order[place]];
  MdSubqueue *lane = &work->customer->subqueues[work->subqueue];

  if (shares->virtual_time < work->customer->start_tag)
    shares->virtual_time = work->customer->start_tag;
  work->waiting_work -= task->size;
  if (work->next_order == work->n_order)
    {
      leave_lane (work);
      work->waiting_work = 0;
    }
  else
    md_heap_update (&lane->by_size, work);
  md_queue_charge (shares, work->customer, slot_time);
  forget_waiting (shares, work, 1, task->size);
}

MdActiveJob *
md_queue_best (const MdSubqueue *lane, MdTime now)
{
  MdActiveJob *urgent = md_heap_top (&lane->by_urgency);

  if (urgent != NULL && urgent->urgent_at <= now)
    return urgent;
  return md_heap_top (&lane->by_size);
}

void
md_queue_block (MdFairQueue *shares, MdCustomer *customer, MdTime until, MdTime now)
{
  if (customer->over_quota_since == 0)
    {
      customer->over_quota_since = now;
      shares->ready_work -= customer->waiting_work;
    }
  md_heap_remove (&shares->ready, customer);
  customer->blocked_until = until;
  md_heap_push (&shares->blocked, customer);
}

void
md_queue_unblock (MdFairQueue *shares, MdCustomer *customer)
{
  md_heap_remove (&shares->blocked, customer);
  md_heap_push (&shares->ready, customer);
}

void
md_queue_unblock_due (MdFairQueue *shares, MdTime now)
{
  for (;;)
    {
      MdCustomer *customer = md_heap_top (&shares->blocked);

      if (customer == NULL || customer->blocked_until > now)
        return;
      md_queue_unblock (shares, customer);
    }
}

void
md_customer_free (MdCustomer *customer)
{
  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    {
      md_heap_clear (&customer->subqueues[i].by_size);
      md_heap_clear (&customer->subqueues[i].by_urgency);
    }
  free (customer->subqueues);
  free (customer->demand);
  free (customer->name);
  free (customer);
}
