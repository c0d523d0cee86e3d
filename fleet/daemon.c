/* daemon.c -- start-up and signals of the daemons on the users' platform */

#include "daemon.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

static MdLinks *signal_links;       /* woken by signals */
static atomic_bool signal_stopping; /* SIGTERM or SIGINT has arrived */

static int
parse_options (int argc, const char **argv, char **config)
{
  struct poptOption table[]
      = { { "config", 'c', POPT_ARG_STRING, config, 0, "settings file", "FILE" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift", argc, argv, table, 0);
  int rc = poptGetNextOpt (context);

  if (rc < -1)
    fprintf (stderr, "%s: %s\n", poptBadOption (context, 0), poptStrerror (rc));
  else if (*config == NULL)
    fprintf (stderr, "%s: --config FILE is required\n", argv[0]);
  poptFreeContext (context);
  return rc == -1 && *config != NULL ? MD_EXIT_OK : MD_EXIT_USAGE;
}

int
md_daemon_open (MdDaemon *daemon, int argc, const char **argv)
{
  MD_AUTO_BUF faults = { 0 };
  md_autofree char *config = NULL;
  int rc = parse_options (argc, argv, &config);

  if (rc != MD_EXIT_OK)
    return rc;
  if (md_settings_load (&daemon->settings, config, &faults) != MD_OK)
    {
      fputs (faults.data != NULL ? faults.data : "settings cannot be read\n", stderr);
      md_settings_clear (&daemon->settings);
      return MD_EXIT_FAILED;
    }
  md_log_open (STDOUT_FILENO, daemon->settings.name, daemon->settings.log_level);
  md_log_start_writer ();
  if (daemon->settings.resend_after < MD_RUN_GONE_AFTER)
    md_log (MD_LOG_WARN, "leases-too-long", "leases_ms=%lld resend_after_ms=%lld",
            (long long)(MD_RUN_GONE_AFTER / MD_MS),
            (long long)(daemon->settings.resend_after / MD_MS));
  return MD_EXIT_OK;
}

void
md_daemon_close (MdDaemon *daemon)
{
  md_http_free (daemon->store);
  md_links_free (daemon->links);
  md_settings_clear (&daemon->settings);
  md_log_stop_writer ();
}

int
md_daemon_call (MdHttp *http, const char *address, const MdPlatformCall *call, MdTime timeout,
                MdHttpDone done, void *user)
{
  MdHttpCall request = { .method = call->method,
                         .address = address,
                         .target = call->target.data,
                         .headers = call->headers.data,
                         .body = md_buf_str (&call->body),
                         .timeout = timeout };

  return md_http_start (http, &request, done, user);
}

static void
on_signal (int number MD_UNUSED)
{
  atomic_store (&signal_stopping, true);
  md_links_wake (signal_links);
}

void
md_daemon_catch_signals (MdLinks *links)
{
  struct sigaction action = { .sa_handler = on_signal, .sa_flags = SA_RESTART };

  signal_links = links;
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  /* Settings are read at the start only; a changed file takes effect at the next. */
  signal (SIGHUP, SIG_IGN);
}

bool
md_daemon_stopping (void)
{
  return atomic_load (&signal_stopping);
}
