/* queue.c -- order of customers, of jobs and of tasks

   Customers are ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996).
   Each customer has a start tag that advances by the slot time of its tasks divided
   by its weight, and the customer with the lowest tag starts next. A customer that
   was idle continues at the current virtual time, so that it gains nothing from
   having been idle.

   Within a customer the job with the least waiting work goes first, which gives
   the lowest mean response time. A job that has waited for a multiple of its ideal
   response time precedes all others, so that large jobs are not starved. Both orders
   are heaps whose keys do not depend on the current time, so no key has to be
   computed again while a job waits.

   Jobs that need different resources wait in separate subqueues, so that a job for
   which no suitable worker is free does not block the others. */

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
md_heap_init (MdHeap *heap, size_t position_offset, bool (*before) (const void *, const void *))
{
  memset (heap, 0, sizeof *heap);
  heap->position_offset = position_offset;
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
position_of (const MdHeap *heap, void *item)
{
  return (uint32_t *)(void *)((char *)item + heap->position_offset);
}

static void
heap_set (MdHeap *heap, uint32_t i, void *item)
{
  heap->items[i] = item;
  *position_of (heap, item) = i + 1;
}

static uint32_t
sift_up (MdHeap *heap, uint32_t i, void *item)
{
  while (i > 0)
    {
      uint32_t parent = (i - 1) / 2;

      if (!heap->before (item, heap->items[parent]))
        break;
      heap_set (heap, i, heap->items[parent]);
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
      heap_set (heap, i, heap->items[child]);
      i = child;
    }
  return i;
}

void
md_heap_push (MdHeap *heap, void *item)
{
  heap->items = md_array_reserve (heap->items, &heap->cap, heap->n + 1, sizeof *heap->items);
  heap->n++;
  heap_set (heap, sift_up (heap, heap->n - 1, item), item);
}

static void
restore_order (MdHeap *heap, uint32_t i, void *item)
{
  uint32_t up = sift_up (heap, i, item);

  heap_set (heap, up == i ? sift_down (heap, i, item) : up, item);
}

void
md_heap_update (MdHeap *heap, void *item)
{
  uint32_t position = *position_of (heap, item);

  if (position > 0)
    restore_order (heap, position - 1, item);
}

void
md_heap_remove (MdHeap *heap, void *item)
{
  uint32_t position = *position_of (heap, item);
  void *last;

  if (position == 0)
    return;
  *position_of (heap, item) = 0;
  last = heap->items[--heap->n];
  if (last != item)
    restore_order (heap, position - 1, last);
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
md_fair_queue_init (MdFairQueue *queue)
{
  memset (queue, 0, sizeof *queue);
  queue->fair_sharing = true;
  md_heap_init (&queue->ready, offsetof (MdCustomer, ready_position), lower_rank_first);
  md_heap_init (&queue->blocked, offsetof (MdCustomer, blocked_position), unblocked_first);
}

void
md_fair_queue_clear (MdFairQueue *queue)
{
  md_heap_clear (&queue->ready);
  md_heap_clear (&queue->blocked);
}

static bool
equal_need (const MdWorkerResources *a, const MdWorkerResources *b)
{
  return a->cores == b->cores && a->memory_mb == b->memory_mb && a->accelerators == b->accelerators;
}

static uint32_t
find_subqueue (MdCustomer *customer, const MdWorkerResources *need)
{
  MdSubqueue *subqueue;

  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    if (equal_need (&customer->subqueues[i].need, need))
      return i;
  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    if (customer->subqueues[i].by_size.n == 0)
      {
        customer->subqueues[i].need = *need;
        return i;
      }
  customer->subqueues = md_array_reserve (customer->subqueues, &customer->cap_subqueues,
                                          customer->n_subqueues + 1, sizeof *subqueue);
  subqueue = &customer->subqueues[customer->n_subqueues];
  subqueue->need = *need;
  md_heap_init (&subqueue->by_size, offsetof (MdActiveJob, size_position), smaller_first);
  md_heap_init (&subqueue->by_urgency, offsetof (MdActiveJob, urgent_position), urgent_first);
  return customer->n_subqueues++;
}

/* Key of a customer without fair sharing: the waiting work of its smallest job. */
static double
least_waiting_work (const MdCustomer *customer)
{
  double best = 1e300;

  for (uint32_t i = 0; i < customer->n_subqueues; i++)
    {
      const MdActiveJob *active = md_heap_top (&customer->subqueues[i].by_size);

      if (active != NULL && active->waiting_work < best)
        best = active->waiting_work;
    }
  return best;
}

void
md_queue_update_rank (MdFairQueue *queue, MdCustomer *customer)
{
  customer->rank = queue->fair_sharing ? customer->start_tag : least_waiting_work (customer);
  md_heap_update (&queue->ready, customer);
}

static void
activate_customer (MdFairQueue *queue, MdCustomer *customer)
{
  if (customer->start_tag < queue->virtual_time)
    customer->start_tag = queue->virtual_time;
  queue->total_weight += customer->policy.weight;
  md_queue_update_rank (queue, customer);
  md_heap_push (&queue->ready, customer);
}

static void
deactivate_customer (MdFairQueue *queue, MdCustomer *customer)
{
  md_heap_remove (&queue->ready, customer);
  md_heap_remove (&queue->blocked, customer);
  customer->over_quota_since = 0;
  queue->total_weight -= customer->policy.weight;
  if (queue->ready.n == 0)
    queue->ready_work = 0; /* clears rounding errors */
}

void
md_queue_add (MdFairQueue *queue, MdActiveJob *active)
{
  MdCustomer *customer = active->customer;
  bool idle = customer->waiting_tasks == 0;
  MdSubqueue *subqueue;

  active->subqueue = find_subqueue (customer, &active->need);
  subqueue = &customer->subqueues[active->subqueue];
  md_heap_push (&subqueue->by_size, active);
  md_heap_push (&subqueue->by_urgency, active);
  customer->waiting_tasks += active->n_order - active->next_order;
  customer->waiting_work += active->waiting_work;
  if (customer->over_quota_since == 0)
    queue->ready_work += active->waiting_work;
  customer->demand->work[active->demand_bucket] += active->waiting_work;
  if (idle)
    activate_customer (queue, customer);
  else
    md_queue_update_rank (queue, customer);
}

static void
remove_from_subqueue (MdActiveJob *active)
{
  MdSubqueue *subqueue = &active->customer->subqueues[active->subqueue];

  md_heap_remove (&subqueue->by_size, active);
  md_heap_remove (&subqueue->by_urgency, active);
}

static void
subtract_waiting (MdFairQueue *queue, MdActiveJob *active, uint32_t tasks, double size)
{
  MdCustomer *customer = active->customer;
  double *demand = &customer->demand->work[active->demand_bucket];

  *demand = *demand > size ? *demand - size : 0;
  customer->waiting_tasks -= tasks;
  customer->waiting_work -= size;
  if (customer->over_quota_since == 0)
    queue->ready_work = queue->ready_work > size ? queue->ready_work - size : 0;
  if (customer->waiting_tasks > 0)
    {
      md_queue_update_rank (queue, customer);
      return;
    }
  customer->waiting_work = 0; /* clears rounding errors */
  *demand = 0;
  deactivate_customer (queue, customer);
}

void
md_queue_remove (MdFairQueue *queue, MdActiveJob *active)
{
  uint32_t tasks = active->n_order - active->next_order;

  if (active->size_position == 0)
    return;
  remove_from_subqueue (active);
  active->next_order = active->n_order;
  subtract_waiting (queue, active, tasks, active->waiting_work);
  active->waiting_work = 0;
}

void
md_queue_charge (MdFairQueue *queue, MdCustomer *customer, double slot_time)
{
  double weight = customer->policy.weight;

  customer->start_tag += slot_time / weight;
  md_token_bucket_charge (&customer->quota_bucket, slot_time);
  md_queue_update_rank (queue, customer);
}

void
md_queue_start_task (MdFairQueue *queue, MdActiveJob *active, bool last, double slot_time)
{
  uint32_t position = last ? --active->n_order : active->next_order++;
  const MdTask *task = &active->tasks[active->order[position]];
  MdSubqueue *subqueue = &active->customer->subqueues[active->subqueue];

  if (queue->virtual_time < active->customer->start_tag)
    queue->virtual_time = active->customer->start_tag;
  active->waiting_work -= task->size;
  if (active->next_order == active->n_order)
    {
      remove_from_subqueue (active);
      active->waiting_work = 0;
    }
  else
    md_heap_update (&subqueue->by_size, active);
  md_queue_charge (queue, active->customer, slot_time);
  subtract_waiting (queue, active, 1, task->size);
}

MdActiveJob *
md_queue_best (const MdSubqueue *subqueue, MdTime now)
{
  MdActiveJob *urgent = md_heap_top (&subqueue->by_urgency);

  if (urgent != NULL && urgent->urgent_at <= now)
    return urgent;
  return md_heap_top (&subqueue->by_size);
}

void
md_queue_block (MdFairQueue *queue, MdCustomer *customer, MdTime until, MdTime now)
{
  if (customer->over_quota_since == 0)
    {
      customer->over_quota_since = now;
      queue->ready_work -= customer->waiting_work;
    }
  md_heap_remove (&queue->ready, customer);
  customer->blocked_until = until;
  md_heap_push (&queue->blocked, customer);
}

void
md_queue_unblock (MdFairQueue *queue, MdCustomer *customer)
{
  md_heap_remove (&queue->blocked, customer);
  md_heap_push (&queue->ready, customer);
}

void
md_queue_unblock_due (MdFairQueue *queue, MdTime now)
{
  for (;;)
    {
      MdCustomer *customer = md_heap_top (&queue->blocked);

      if (customer == NULL || customer->blocked_until > now)
        return;
      md_queue_unblock (queue, customer);
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
