/* main.c -- one target under libFuzzer, chosen by the name under which the program is called

   Built by "make fuzz" only, which makes a link of the name of each target. */

#include "targets.h"

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const FuzzTarget *target;

int
LLVMFuzzerInitialize (int *argc MD_UNUSED, char ***argv)
{
  const char *slash = strrchr ((*argv)[0], '/');

  target = fuzz_find (slash != NULL ? slash + 1 : (*argv)[0]);
  FUZZ_CHECK (target != NULL);
  fuzz_silence ();
  return 0;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  target->run (md_str_n (data, size));
  return 0;
}
