/* targets.c -- the list of targets, and what they share */

#define _GNU_SOURCE /* memfd_create */

#include "targets.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>
#include <xxhash.h>

const FuzzTarget fuzz_targets[] = {
  { "frame", fuzz_frame },
  { "entry-frames", fuzz_entry_frames },
  { "guard-frames", fuzz_guard_frames },
  { "caller", fuzz_caller },
  { "job", fuzz_job },
  { "store-newest", fuzz_store_newest },
  { "store-read", fuzz_store_read },
  { "store-entry", fuzz_store_entry },
  { "routes", fuzz_routes },
  { "worker-report", fuzz_worker_report },
  { "worker-record", fuzz_worker_record },
  { "worker-start", fuzz_worker_start },
  { "worker-hold", fuzz_worker_hold },
  { "advice", fuzz_advice },
  { "settings", fuzz_settings },
  { "spec", fuzz_spec },
  { "resources", fuzz_resources },
  { "changes", fuzz_changes },
  { "snapshot", fuzz_snapshot },
  { "members", fuzz_members },
  { "members-snapshot", fuzz_members_snapshot },
  { "replay", fuzz_replay },
  { "explain", fuzz_explain },
  { "simulate", fuzz_simulate },
  { NULL, NULL },
};

FuzzOutcome fuzz_outcome;
bool fuzz_preparing;

void
fuzz_decoded (const void *data, size_t len)
{
  fuzz_outcome.digest = XXH64 (len > 0 ? data : "", len, fuzz_outcome.digest + 1);
}

void
fuzz_decoded_text (const char *text)
{
  fuzz_decoded (text, strlen (text));
}

void
fuzz_result (int rc)
{
  fuzz_outcome.refused |= rc != MD_OK;
}

const FuzzTarget *
fuzz_find (const char *name)
{
  for (const FuzzTarget *target = fuzz_targets; target->name != NULL; target++)
    if (strcmp (target->name, name) == 0)
      return target;
  return NULL;
}

_Noreturn void
fuzz_fail (const char *file, int line, const char *rule)
{
  fprintf (stderr, "%s:%d: broken: %s\n", file, line, rule);
  __builtin_trap ();
}

const char *
fuzz_text_file (MdStr input)
{
  static char path[64];
  static int fd = -1;

  if (fd < 0)
    {
      fd = memfd_create ("fuzz", MFD_CLOEXEC);
      snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
    }
  FUZZ_CHECK (ftruncate (fd, 0) == 0);
  FUZZ_CHECK (pwrite (fd, input.data, input.len, 0) == (ssize_t)input.len);
  return path;
}

void
fuzz_silence (void)
{
  int fd = open ("/dev/null", O_WRONLY | O_CLOEXEC);

  FUZZ_CHECK (fd >= 0 && dup2 (fd, STDOUT_FILENO) >= 0);
  close (fd);
}
