/* slow.c -- runs a process slower, as a machine that is short of processor time would

   Usage: slow PID RUN_MS STOP_MS FOR_MS. The process runs for RUN_MS and is stopped for STOP_MS in
   turn, for FOR_MS in all; then it runs on. */

#define _GNU_SOURCE

#include <signal.h>
#include <stdlib.h>
#include <time.h>

static void
pause_ms (int ms)
{
  struct timespec step = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&step, NULL);
}

int
main (int argc, char **argv)
{
  if (argc != 5 || atoi (argv[1]) <= 1)
    return 2;
  for (int left = atoi (argv[4]); left > 0; left -= atoi (argv[2]) + atoi (argv[3]))
    {
      kill (atoi (argv[1]), SIGSTOP);
      pause_ms (atoi (argv[3]));
      kill (atoi (argv[1]), SIGCONT);
      pause_ms (atoi (argv[2]));
    }
  return 0;
}
