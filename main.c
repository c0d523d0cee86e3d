/* main.c -- command line: finds the sub-command and runs it

   Each sub-command parses its own options with popt and returns the exit code
   of the process. */

#include "process.h"

#include <errno.h>
#include <fcntl.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

typedef struct
{
  const char *name;                         /* first argument */
  int (*run) (int argc, const char **argv); /* argv[0] is the name */
  const char *help;                         /* one line */
} Command;

static const Command commands[] = {
  { "entry", md_entry_main, "serve callers and operators (--config FILE)" },
  { "guard", md_guard_main, "guard one upstream (--config FILE)" },
  { "run-entry", md_run_entry_main, "serve jobs on the users' platform (--config FILE)" },
  { "run-guard", md_run_guard_main, "guard one worker of the users' platform (--config FILE)" },
  { "check-config", md_check_config_main, "check a settings file" },
  { "check-routes", md_check_routes_main, "check a configuration of the operator" },
  { "submit", md_submit_main, "submit a job or fetch its answer" },
  { "get", md_resource_main, "list or show resources" },
  { "apply", md_resource_main, "create or replace resources from a YAML file" },
  { "delete", md_resource_main, "delete a resource" },
  { "watch", md_resource_main, "print changes of resources as they happen" },
  { "status", md_resource_main, "show pools, entries and upstreams" },
  { "explain", md_explain_main, "tell from logs what happened to a job or request" },
  { "where", md_where_main, "tell where a job would go now, without sending it" },
  { "simulate", md_simulate_main, "play a recorded or made day with each policy" },
  { "replay", md_replay_main, "feed a recorded trace to the dispatch core" },
};

static const struct
{
  const char *name; /* of the command */
  int log_fd;       /* descriptor of its log */
} daemons[] = { { "entry", STDERR_FILENO },
                { "guard", STDERR_FILENO },
                { "run-entry", STDOUT_FILENO },
                { "run-guard", STDOUT_FILENO } };

static void
print_help (FILE *out)
{
  fputs ("usage: mulberrydrift COMMAND [OPTION...]\n\ncommands:\n", out);
  for (size_t i = 0; i < MD_ARRAY_SIZE (commands); i++)
    fprintf (out, "  %-13s %s\n", commands[i].name, commands[i].help);
  fputs ("\n'mulberrydrift COMMAND --help' lists the options of a command.\n"
         "exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused and not run,\n"
         "4 outcome unknown\n",
         out);
}

int
md_check_config_main (int argc, const char **argv)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;
  int result;

  if (argc != 2 || argv[1][0] == '-')
    {
      fputs ("usage: mulberrydrift check-config FILE\n", stderr);
      return MD_EXIT_USAGE;
    }
  result = md_settings_load (&settings, argv[1], &faults);
  if (faults.len > 0)
    fputs (faults.data, stdout);
  md_settings_clear (&settings);
  return result == MD_OK ? MD_EXIT_OK : MD_EXIT_FAILED;
}

/* Descriptor of the log of a daemon; -1: another command, or only its help is wanted. */
static int
daemon_log_fd (int argc, char **argv)
{
  for (int i = 2; i < argc; i++)
    if (strcmp (argv[i], "--help") == 0 || strcmp (argv[i], "-?") == 0
        || strcmp (argv[i], "--usage") == 0)
      return -1;
  for (size_t i = 0; argc > 1 && i < MD_ARRAY_SIZE (daemons); i++)
    if (strcmp (argv[1], daemons[i].name) == 0)
      return daemons[i].log_fd;
  return -1;
}

/* ------------------------------------------------------------------ */
/* Before the libraries are initialized                               */

static bool sighup_was_ignored; /* when the process started */

/* A closed standard descriptor would be the number of the first socket, and lines meant for the
   terminal or the log would go to a peer. */
static void
open_standard_descriptors (void)
{
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
    if (fcntl (fd, F_GETFD) < 0 && errno == EBADF && open ("/dev/null", O_RDWR) < 0)
      return; /* it does not exist here either */
}

/* Signals that end a process by default and that a supervisor, a log rotation or the kernel may
   send to a daemon that has no use for them. SIGHUP: run-entry and run-guard reload their settings
   once they have a handler; an earlier one is not missed, as the file is checked for changes.
   SIGXFSZ: the log is a file at its size limit; the write fails instead. */
static void
ignore_stray_signals (void)
{
  static const int numbers[] = { SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGXFSZ };
  struct sigaction ignore = { .sa_handler = SIG_IGN };
  struct sigaction former = { 0 };

  sigaction (SIGHUP, NULL, &former);
  sighup_was_ignored = former.sa_handler == SIG_IGN;
  for (size_t i = 0; i < MD_ARRAY_SIZE (numbers); i++)
    sigaction (numbers[i], &ignore, NULL);
}

/* Called by the loader before the constructors of the libraries, which take milliseconds in which a
   SIGHUP would end the process. Calls the C library only. */
static void
prepare_process (int argc, char **argv, char **environment MD_UNUSED)
{
  open_standard_descriptors ();
  if (daemon_log_fd (argc, argv) >= 0)
    ignore_stray_signals ();
}

__attribute__ ((section (".preinit_array"), used)) static void (*const preinit) (int, char **,
                                                                                 char **)
    = prepare_process;

/* ------------------------------------------------------------------ */
/* Commands                                                           */

static int
run_command (const Command *command, int argc, char **argv)
{
  int log_fd = daemon_log_fd (argc, argv);
  int status;

  /* The log of run-entry and run-guard never waits for its reader, from the first line on. */
  if (log_fd == STDOUT_FILENO)
    md_log_start_writer ();
  if (log_fd >= 0)
    md_process_begin (command->name, log_fd, sighup_was_ignored);
  status = command->run (argc - 1, (const char **)argv + 1);
  if (log_fd >= 0)
    md_process_end (status);
  return status;
}

int
main (int argc, char **argv)
{
  /* A peer that closes a connection must not end the process. */
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    {
      print_help (stderr);
      return MD_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts ("mulberrydrift " MD_VERSION);
      return MD_EXIT_OK;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_help (stdout);
      return MD_EXIT_OK;
    }
  for (size_t i = 0; i < MD_ARRAY_SIZE (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return run_command (&commands[i], argc, argv);
  fprintf (stderr, "mulberrydrift: unknown command '%s'\n", argv[1]);
  return MD_EXIT_USAGE;
}
