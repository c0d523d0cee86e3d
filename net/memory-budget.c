/* memory-budget.c -- a bound on the memory that threads use at the same time */

#include "memory-budget.h"

#include <time.h>

#define SMALL_BODY (16u << 10) /* bytes; each thread of a server may hold one */

void
md_memory_budget_init (MdMemoryBudget *budget, size_t limit)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&budget->returned, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_mutex_init (&budget->lock, NULL);
  budget->limit = limit;
  budget->used = 0;
}

void
md_memory_budget_destroy (MdMemoryBudget *budget)
{
  pthread_cond_destroy (&budget->returned);
  pthread_mutex_destroy (&budget->lock);
}

static bool
is_available (const MdMemoryBudget *budget, size_t bytes)
{
  return bytes == 0 || budget->used == 0
         || (budget->used <= budget->limit && bytes <= budget->limit - budget->used);
}

static struct timespec
monotonic_after (MdTime wait)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += wait / MD_SECOND;
  until.tv_nsec += wait % MD_SECOND * (1000000000 / MD_SECOND);
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  return until;
}

bool
md_memory_budget_take (MdMemoryBudget *budget, size_t bytes, MdTime wait)
{
  struct timespec until = monotonic_after (wait);
  bool timed_out = wait <= 0;
  bool taken;

  pthread_mutex_lock (&budget->lock);
  while (!is_available (budget, bytes) && !timed_out)
    timed_out = pthread_cond_timedwait (&budget->returned, &budget->lock, &until) != 0;
  taken = is_available (budget, bytes);
  if (taken)
    budget->used += bytes;
  pthread_mutex_unlock (&budget->lock);
  return taken;
}

void
md_memory_budget_return (MdMemoryBudget *budget, size_t bytes)
{
  pthread_mutex_lock (&budget->lock);
  budget->used -= bytes;
  pthread_cond_broadcast (&budget->returned);
  pthread_mutex_unlock (&budget->lock);
}

bool
md_memory_budget_take_body (MdMemoryBudget *budget, long long announced, size_t max_body,
                            size_t *counted)
{
  size_t size = announced >= 0 && (size_t)announced < max_body ? (size_t)announced : max_body;

  *counted = size > SMALL_BODY ? size : 0;
  if (md_memory_budget_take (budget, *counted, 0))
    return true;
  *counted = 0;
  return false;
}
