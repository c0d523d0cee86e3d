/* slow.c -- runs a process slower, as a machine that is short of processor time would

   Usage: slow PID RUN_MS STOP_MS FOR_MS. The process runs for RUN_MS and is stopped for STOP_MS in
   turn, for FOR_MS in all; then it runs on. */

#define _GNU_SOURCE

#include <signal.h>
#include <stdlib.h>
#include <time.h>

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static void
pause_ms (int ms)
{
  struct timespec step = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&step, NULL);
}

int
main (int argc, char **argv)
{
  long long end;

  if (argc != 5 || atoi (argv[1]) <= 1)
    return 2;
  end = now_ms () + atoi (argv[4]);
  while (now_ms () + atoi (argv[3]) < end)
    {
      kill (atoi (argv[1]), SIGSTOP);
      pause_ms (atoi (argv[3]));
      kill (atoi (argv[1]), SIGCONT);
      pause_ms (atoi (argv[2]));
    }
  return 0;
}
