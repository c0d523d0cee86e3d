/* test-alloc.c -- decoders and message handlers whose allocations fail

   Each input of tests/fuzz/corpus is decoded once for each allocation that its decoding makes, and
   that allocation fails: once alone, and once with all that follow it. The linker redirects the
   calls of malloc and its relatives here (--wrap), those for jansson and libprotobuf-c included. What
   libyaml, popt and libcurl allocate for themselves does not fail.

   Memory is counted here as well; where libprotobuf-c frees it, and this count would be wrong, the
   address sanitizer looks for leaks at the end of the process.

   A target may refuse the input, decode it as if nothing had failed, or abort; which aborts are
   necessary is for the source to state. Anything else is a fault: a crash, memory that is not freed,
   or an input that is accepted with another result. ALLOC_TARGET names one target, ALLOC_TRACE=1
   prints each step. Runs in the root of the tree. */

#include "corpus.h"
#include "suite.h"

#include <errno.h>
#include <setjmp.h>

#define INPUT_MAX 4096    /* longer inputs are left out, for time */
#define MAX_FAILURES 400  /* for one input; beyond, the failures are spread evenly */
#define TABLE_SIZE 65536u /* addresses of memory in use; a power of two */
#define REMOVED ((void *)1)

void *__real_malloc (size_t size);
void *__real_calloc (size_t n, size_t size);
void *__real_realloc (void *memory, size_t size);
char *__real_strdup (const char *text);
void __real_free (void *memory);
_Noreturn void __real_abort (void);
void *__wrap_malloc (size_t size);
void *__wrap_calloc (size_t n, size_t size);
void *__wrap_realloc (void *memory, size_t size);
char *__wrap_strdup (const char *text);
void __wrap_free (void *memory);
_Noreturn void __wrap_abort (void);
_Noreturn void __real_exit (int code);
_Noreturn void __wrap_exit (int code);

_Noreturn void __assert_fail (const char *assertion, const char *file, unsigned line,
                              const char *function);

/* Of the leak sanitizer, where there is one. */
extern void __lsan_disable (void) __attribute__ ((weak));
extern void __lsan_enable (void) __attribute__ ((weak));

/* ------------------------------------------------------------------ */
/* Allocator                                                          */

static struct
{
  bool active;             /* allocations are counted */
  bool and_later;          /* those after the failing one fail as well */
  uint64_t fail_at;        /* number of the allocation that fails; 0: none */
  uint64_t count;          /* allocations so far */
  bool failed;             /* one has failed */
  void *table[TABLE_SIZE]; /* memory in use, by address */
  size_t in_use;
  jmp_buf aborted;
} state;

static size_t
slot_of (const void *memory)
{
  return (size_t)(((uintptr_t)memory >> 4) * UINT64_C (0x9e3779b97f4a7c15) >> 48) % TABLE_SIZE;
}

static void
remember (void *memory)
{
  size_t i = slot_of (memory);

  if (memory == NULL || !state.active)
    return;
  FUZZ_CHECK (state.in_use < TABLE_SIZE / 2); /* check itself allocates through this function */
  while (state.table[i] != NULL && state.table[i] != REMOVED)
    i = (i + 1) % TABLE_SIZE;
  state.table[i] = memory;
  state.in_use++;
}

static void
forget (const void *memory)
{
  size_t i = slot_of (memory);

  if (memory == NULL || !state.active)
    return;
  while (state.table[i] != NULL && state.table[i] != memory)
    i = (i + 1) % TABLE_SIZE;
  if (state.table[i] == NULL)
    return; /* of a library, or older than the run */
  state.table[i] = REMOVED;
  state.in_use--;
}

static bool
fails (void)
{
  if (!state.active || fuzz_preparing)
    return false;
  state.count++;
  if (state.fail_at == 0 || state.count < state.fail_at
      || (state.count > state.fail_at && !state.and_later))
    return false;
  state.failed = true;
  errno = ENOMEM;
  return true;
}

void *
__wrap_malloc (size_t size)
{
  void *memory = fails () ? NULL : __real_malloc (size);

  remember (memory);
  return memory;
}

void *
__wrap_calloc (size_t n, size_t size)
{
  void *memory = fails () ? NULL : __real_calloc (n, size);

  remember (memory);
  return memory;
}

void *
__wrap_realloc (void *memory, size_t size)
{
  void *moved;

  if (fails ())
    return NULL;
  forget (memory);
  moved = __real_realloc (memory, size);
  remember (moved);
  return moved;
}

char *
__wrap_strdup (const char *text)
{
  char *copy = fails () ? NULL : __real_strdup (text);

  remember (copy);
  return copy;
}

void
__wrap_free (void *memory)
{
  forget (memory);
  __real_free (memory);
}

_Noreturn void
__wrap_abort (void)
{
  if (!state.failed)
    __real_abort ();
  longjmp (state.aborted, 1);
}

/* Commands end so. */
_Noreturn void
__wrap_exit (int code)
{
  if (!state.active)
    __real_exit (code);
  if (!state.failed || code == 0)
    __real_abort ();
  longjmp (state.aborted, 1);
}

/* jansson asserts that a token has been collected. Where not even the room set aside for tokens can be
   used, which is so when all later allocations fail, that ends the process; see core/json-text.c. */
_Noreturn void
__assert_fail (const char *assertion, const char *file, unsigned line, const char *function)
{
  fprintf (stderr, "%s:%u: %s: assertion: %s\n", file, line, function, assertion);
  if (!state.failed || !state.and_later || strcmp (file, "load.c") != 0)
    __real_abort ();
  longjmp (state.aborted, 1);
}

/* ------------------------------------------------------------------ */
/* Runs                                                               */

typedef enum
{
  RUN_DECODED,
  RUN_REFUSED,
  RUN_ABORTED,
} RunEnd;

typedef struct
{
  RunEnd end;
  uint64_t digest;      /* of what was decoded */
  uint64_t allocations; /* made */
  size_t leaked;        /* not freed */
} Run;

/* Targets with links depend on the time; what they decode is not compared. */
static bool
is_repeatable (const FuzzTarget *target)
{
  return strstr (target->name, "-frames") == NULL;
}

/* libprotobuf-c frees decoded frames by calls that the linker does not redirect. */
static bool
counts_memory (const FuzzTarget *target)
{
  return strstr (target->name, "frame") == NULL;
}

/* What the ended target has left behind. */
static void
free_all (void)
{
  for (size_t i = 0; i < TABLE_SIZE; i++)
    if (state.table[i] != NULL && state.table[i] != REMOVED)
      __real_free (state.table[i]);
}

static Run
run_once (const FuzzTarget *target, MdStr input, uint64_t fail_at, bool and_later)
{
  Run run = { RUN_ABORTED, 0, 0, 0 };

  memset (state.table, 0, sizeof state.table);
  state.in_use = 0;
  state.count = 0;
  state.failed = false;
  state.fail_at = fail_at;
  state.and_later = and_later;
  fuzz_outcome = (FuzzOutcome){ 0 };
  fuzz_preparing = false;
  if (counts_memory (target) && __lsan_disable != NULL)
    __lsan_disable ();
  if (setjmp (state.aborted) == 0)
    {
      state.active = true;
      target->run (input);
      run.end = fuzz_outcome.refused ? RUN_REFUSED : RUN_DECODED;
    }
  state.active = false;
  if (counts_memory (target) && __lsan_enable != NULL)
    __lsan_enable ();
  if (run.end == RUN_ABORTED)
    free_all ();
  run.digest = fuzz_outcome.digest;
  run.allocations = state.count;
  run.leaked = run.end == RUN_ABORTED || !counts_memory (target) ? 0 : state.in_use;
  return run;
}

static void
check_failure (const FuzzTarget *target, const char *path, const Run *whole, uint64_t n,
               bool and_later, MdStr input)
{
  Run run;

  if (getenv ("ALLOC_TRACE") != NULL)
    fprintf (stderr, "%s n=%llu%s\n", path, (unsigned long long)n, and_later ? "+" : "");
  run = run_once (target, input, n, and_later);
  ck_assert_msg (run.leaked == 0, "%s: %zu allocations are not freed after the failure of %llu%s",
                 path, run.leaked, (unsigned long long)n, and_later ? " and later" : "");
  if (run.end == RUN_DECODED && whole->end == RUN_DECODED && is_repeatable (target))
    ck_assert_msg (run.digest == whole->digest, "%s: another result after the failure of %llu%s",
                   path, (unsigned long long)n, and_later ? " and later" : "");
}

static void
run_input (const FuzzTarget *target, const char *path, MdStr input)
{
  Run whole;
  uint64_t step;

  if (input.len > INPUT_MAX)
    return;
  run_once (target, input, 0, false); /* what is allocated once for the process */
  whole = run_once (target, input, 0, false);
  ck_assert_msg (whole.leaked == 0, "%s: %zu allocations are not freed", path, whole.leaked);
  step = whole.allocations / MAX_FAILURES + 1;
  for (uint64_t n = 1; n <= whole.allocations; n += step)
    {
      check_failure (target, path, &whole, n, false, input);
      check_failure (target, path, &whole, n, true, input);
    }
}

/* Guards against a use of NULL, a leak, or a half-decoded message that is taken for a whole one,
   when memory runs out while a message is handled. */
START_TEST (test_target)
{
  const FuzzTarget *target = &fuzz_targets[_i];
  const char *only = getenv ("ALLOC_TARGET");

  if (only != NULL && strcmp (only, target->name) != 0)
    return;
  fuzz_silence ();
  corpus_each (target, INPUT_MAX, run_input);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("alloc");
  int n = 0;

  while (fuzz_targets[n].name != NULL)
    n++;
  tcase_set_timeout (tc, 240);
  tcase_add_loop_test (tc, test_target, 0, n);
  return run_suite ("alloc", tc);
}
