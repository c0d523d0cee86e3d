/* early-signal.c -- sends a signal to processes shortly after their start

   usage: early-signal SIGNAL COUNT MAX_US COMMAND [ARGUMENT...]

   Starts COMMAND COUNT times. Once the kernel has replaced the process's image, it waits from 0 to
   MAX_US microseconds, more with each start, sends SIGNAL, and then SIGKILL. Prints how many
   processes were ended by SIGNAL and the longest delay among them. */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Returns the id of the process after its exec, -1 on failure. */
static pid_t
start_process (char **command)
{
  int fds[2];
  char byte;
  pid_t pid;

  if (pipe (fds) != 0)
    return -1;
  fcntl (fds[1], F_SETFD, FD_CLOEXEC);
  pid = fork ();
  if (pid == 0)
    {
      int null_fd = open ("/dev/null", O_WRONLY);

      dup2 (null_fd, STDOUT_FILENO);
      dup2 (null_fd, STDERR_FILENO);
      close (fds[0]);
      execv (command[0], command);
      _exit (127);
    }
  close (fds[1]);
  /* The kernel closes the other end in exec, before the loader runs. */
  while (read (fds[0], &byte, 1) < 0 && errno == EINTR)
    ;
  close (fds[0]);
  return pid;
}

static void
wait_us (long us)
{
  struct timespec pause = { us / 1000000, us % 1000000 * 1000 };

  if (us > 0)
    clock_nanosleep (CLOCK_MONOTONIC, 0, &pause, NULL);
}

int
main (int argc, char **argv)
{
  int number = argc > 4 ? atoi (argv[1]) : 0;
  int count = argc > 4 ? atoi (argv[2]) : 0;
  long max_us = argc > 4 ? strtol (argv[3], NULL, 10) : 0;
  long longest = -1;
  int ended = 0;

  if (number <= 0 || count <= 0)
    {
      fputs ("usage: early-signal SIGNAL COUNT MAX_US COMMAND [ARGUMENT...]\n", stderr);
      return 2;
    }
  for (int i = 0; i < count; i++)
    {
      long delay = max_us * i / count;
      pid_t pid = start_process (argv + 4);
      int status = 0;

      if (pid < 0)
        return 1;
      wait_us (delay);
      kill (pid, number);
      kill (pid, SIGKILL);
      if (waitpid (pid, &status, 0) != pid)
        return 1;
      if (!WIFSIGNALED (status) || WTERMSIG (status) != number)
        continue;
      ended++;
      longest = delay;
    }
  printf ("ended=%d of=%d longest_delay_us=%ld\n", ended, count, longest);
  return 0;
}
