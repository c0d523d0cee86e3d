/* test-corpus.c -- the inputs of the fuzzer's targets, once each

   tests/fuzz/corpus/NAME holds real messages, and every input that has once broken a rule of the
   target NAME. "make fuzz" searches for more of them. Runs in the root of the tree. */

#include "corpus.h"
#include "suite.h"

#define INPUT_MAX (64u << 10) /* bytes of a committed input */

static void
run_input (const FuzzTarget *target, const char *path, MdStr input)
{
  ck_assert_msg (input.len <= INPUT_MAX, "%s is too long", path);
  fprintf (stderr, "%s\n", path); /* the last one is at fault if the process ends */
  target->run (input);
}

/* Guards against a decoder that an input has once crashed, made read or write out of bounds, leak,
   or accept what its users cannot handle. */
START_TEST (test_target)
{
  fuzz_silence ();
  ck_assert_uint_gt (corpus_each (&fuzz_targets[_i], INPUT_MAX, run_input), 0);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("corpus");
  int n = 0;

  while (fuzz_targets[n].name != NULL)
    n++;
  tcase_set_timeout (tc, 120);
  tcase_add_loop_test (tc, test_target, 0, n);
  return run_suite ("corpus", tc);
}
