/* test-memory-budget.c -- the bound on the memory that threads use at the same time

   Guards against a sum above the limit, against a use that waits for ever or never, and against a
   large use that is never possible. */

#include "memory-budget.h"
#include "suite.h"

#define LIMIT 100
#define THREADS 8
#define ROUNDS 2000

START_TEST (sum_stays_within_the_limit)
{
  MdMemoryBudget budget;

  md_memory_budget_init (&budget, LIMIT);
  ck_assert (md_memory_budget_take (&budget, 60, 0));
  ck_assert (!md_memory_budget_take (&budget, 41, 0));
  ck_assert (!md_memory_budget_take (&budget, 41, 20 * MD_MS));
  ck_assert (md_memory_budget_take (&budget, 40, 0));
  ck_assert (!md_memory_budget_take (&budget, 1, 0));
  ck_assert (md_memory_budget_take (&budget, 0, 0));
  md_memory_budget_return (&budget, 60);
  ck_assert (md_memory_budget_take (&budget, 60, 0));
  md_memory_budget_destroy (&budget);
}
END_TEST

START_TEST (large_use_is_possible_alone)
{
  MdMemoryBudget budget;

  md_memory_budget_init (&budget, LIMIT);
  ck_assert (md_memory_budget_take (&budget, 1, 0));
  ck_assert (!md_memory_budget_take (&budget, LIMIT + 1, 0));
  md_memory_budget_return (&budget, 1);
  ck_assert (md_memory_budget_take (&budget, LIMIT + 1, 0));
  ck_assert (!md_memory_budget_take (&budget, 1, 0));
  md_memory_budget_return (&budget, LIMIT + 1);
  ck_assert (md_memory_budget_take (&budget, LIMIT, 0));
  md_memory_budget_destroy (&budget);
}
END_TEST

typedef struct
{
  MdMemoryBudget budget;
  atomic_int used; /* bytes in use by all threads */
  atomic_int most; /* largest value of used */
} Shared;

static void *
use_memory (void *user)
{
  Shared *shared = user;

  for (int i = 0; i < ROUNDS; i++)
    {
      int bytes = 1 + i % 60;
      int used;
      int most;

      ck_assert (md_memory_budget_take (&shared->budget, (size_t)bytes, 60 * MD_SECOND));
      used = atomic_fetch_add (&shared->used, bytes) + bytes;
      most = atomic_load (&shared->most);
      while (used > most && !atomic_compare_exchange_weak (&shared->most, &most, used))
        ;
      atomic_fetch_sub (&shared->used, bytes);
      md_memory_budget_return (&shared->budget, (size_t)bytes);
    }
  return NULL;
}

START_TEST (threads_wait_for_memory)
{
  Shared shared = { .used = 0 };
  pthread_t threads[THREADS];

  md_memory_budget_init (&shared.budget, LIMIT);
  for (int i = 0; i < THREADS; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, use_memory, &shared), 0);
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  ck_assert_int_le (atomic_load (&shared.most), LIMIT);
  ck_assert_uint_eq (shared.budget.used, 0);
  md_memory_budget_destroy (&shared.budget);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("memory-budget");

  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_test (tc, sum_stays_within_the_limit);
  tcase_add_test (tc, large_use_is_possible_alone);
  tcase_add_test (tc, threads_wait_for_memory);
  return run_suite ("memory-budget", tc);
}
