/* memory-budget.h -- a bound on the memory that threads use at the same time

   Threads take what they are about to use and return it afterwards. The bound is one of the sum, so
   that many small uses and a few large ones are possible. */

#ifndef MD_MEMORY_BUDGET_H
#define MD_MEMORY_BUDGET_H

#include "md-private.h"

#include <pthread.h>

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t returned; /* some memory was returned */
  size_t limit;            /* bytes */
  size_t used;             /* bytes taken; above the limit only for a single use */
} MdMemoryBudget;

void md_memory_budget_init (MdMemoryBudget *budget, size_t limit);
void md_memory_budget_destroy (MdMemoryBudget *budget);

/* md_memory_budget_take: wait for at most this time until the memory is available, and take it.
   Returns false when it is not. A use that is larger than the limit is possible while there is no
   other. */
bool md_memory_budget_take (MdMemoryBudget *budget, size_t bytes, MdTime wait);

/* md_memory_budget_take_body: take memory for the body of a request without a wait. announced is its
   length, negative when unknown; it has at most max_body bytes. Small bodies are not counted, so
   that they are read while callers send large ones. *counted receives what was taken, bytes; 0 when
   the function returns false because others use the memory. */
bool md_memory_budget_take_body (MdMemoryBudget *budget, long long announced, size_t max_body,
                                 size_t *counted);

/* md_memory_budget_return: return what has been taken. */
void md_memory_budget_return (MdMemoryBudget *budget, size_t bytes);

#endif
