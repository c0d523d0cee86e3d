/* test-corpus.c -- the inputs of the fuzzer's targets, once each

   tests/fuzz/corpus/NAME holds real messages, and every input that has once broken a rule of the
   target NAME. "make fuzz" searches for more of them. Runs in the root of the tree. */

#include "fuzz/targets.h"
#include "suite.h"

#include <dirent.h>
#include <errno.h>

#define CORPUS "tests/fuzz/corpus"
#define INPUT_MAX (64u << 10) /* bytes of a committed input */

static void
run_file (const FuzzTarget *target, const char *folder, const char *name)
{
  MD_AUTO_BUF input = { 0 };
  char path[512];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s", folder, name);
  file = fopen (path, "re");
  ck_assert_msg (file != NULL, "%s: %s", path, strerror (errno));
  ck_assert (md_stream_read (file, INPUT_MAX, &input));
  fclose (file);
  ck_assert_msg (input.len <= INPUT_MAX, "%s is too long", path);
  fprintf (stderr, "%s\n", path); /* the last one is at fault if the process ends */
  target->run (md_buf_str (&input));
}

/* Guards against a decoder that an input has once crashed, made read or write out of bounds, leak,
   or accept what its users cannot handle. */
START_TEST (test_target)
{
  const FuzzTarget *target = &fuzz_targets[_i];
  unsigned files = 0;
  char folder[256];
  DIR *dir;

  snprintf (folder, sizeof folder, "%s/%s", CORPUS, target->name);
  dir = opendir (folder);
  ck_assert_msg (dir != NULL, "%s: %s", folder, strerror (errno));
  fuzz_silence ();
  for (const struct dirent *file; (file = readdir (dir)) != NULL;)
    if (file->d_name[0] != '.')
      {
        run_file (target, folder, file->d_name);
        files++;
      }
  closedir (dir);
  ck_assert_uint_gt (files, 0);
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
