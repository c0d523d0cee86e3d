/* daemon.c -- startup, signals and reloading of settings for run-entry and run-guard */

#include "daemon.h"
#include "host-limits.h"
#include "process.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

static MdLinks *signal_links;       /* woken by the signal handler; never freed */
static atomic_bool signal_stopping; /* SIGTERM or SIGINT has been received */
static atomic_bool signal_reload;   /* SIGHUP has been received and not handled yet */

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
  int rc = parse_options (argc, argv, &daemon->path);

  if (rc != MD_EXIT_OK)
    return rc;
  md_process_set_step (MD_STEP_SETTINGS);
  rc = md_settings_wait (&daemon->settings, daemon->path, &daemon->file, NULL, &faults);
  if (rc != MD_OK)
    {
      fputs (md_buf_str (&faults).data, stderr);
      md_settings_clear (&daemon->settings);
      return MD_EXIT_FAILED;
    }
  md_log_open (STDOUT_FILENO, daemon->settings.name, daemon->settings.log_level);
  md_process_set_step (MD_STEP_COMPONENTS);
  md_host_limits_open (&daemon->settings);
  if (md_leases_set (&daemon->leases, daemon->settings.resend_after, daemon->settings.stop_timeout)
      != MD_OK)
    md_log (MD_LOG_WARN, "leases-too-long", "leases_ms=%lld resend_after_ms=%lld",
            (long long)(daemon->leases.ended_after / MD_MS),
            (long long)(daemon->settings.resend_after / MD_MS));
  return MD_EXIT_OK;
}

static bool
reload (MdDaemon *daemon, const char *trigger)
{
  MD_AUTO_BUF faults = { 0 };
  MD_AUTO_BUF applied = { 0 };
  MD_AUTO_BUF deferred = { 0 };
  MdSettings fresh = { 0 };
  char reason[256];

  if (md_settings_load (&fresh, daemon->path, &faults) != MD_OK)
    md_log (MD_LOG_ERROR, "settings-rejected", "trigger=%s reason=%s size=%lld", trigger,
            md_log_quote (md_buf_str (&faults), reason, sizeof reason),
            (long long)daemon->file.loaded.size);
  else
    {
      md_settings_update (&daemon->settings, &fresh, &applied, &deferred);
      md_log_set_level (daemon->settings.log_level);
      md_log (deferred.len > 0 ? MD_LOG_WARN : MD_LOG_INFO, "settings-read",
              "trigger=%s applied=%s deferred=%s size=%lld", trigger,
              applied.len > 0 ? applied.data : "-", deferred.len > 0 ? deferred.data : "-",
              (long long)daemon->file.loaded.size);
    }
  /* Descriptors or memory may be short for a moment; the change is not looked for again. */
  daemon->file.requested |= fresh.unreadable;
  md_settings_clear (&fresh);
  return applied.len > 0;
}

bool
md_daemon_reload (MdDaemon *daemon, MdTime now)
{
  bool requested = atomic_exchange (&signal_reload, false);
  const char *trigger = md_settings_file_changed (&daemon->file, daemon->path, requested, now);

  return trigger != NULL && reload (daemon, trigger);
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
                         .timeout = timeout,
                         .idempotent = call->idempotent };

  return md_http_start (http, &request, done, user);
}

static void
on_signal (int number, siginfo_t *info, void *context MD_UNUSED)
{
  if (number != SIGHUP)
    md_process_note_signal (info);
  atomic_store (number == SIGHUP ? &signal_reload : &signal_stopping, true);
  md_links_wake (signal_links);
}

void
md_daemon_catch_signals (MdLinks *links)
{
  struct sigaction action = { .sa_sigaction = on_signal, .sa_flags = SA_SIGINFO | SA_RESTART };

  signal_links = links;
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGHUP, &action, NULL);
}

bool
md_daemon_is_stopping (void)
{
  return atomic_load (&signal_stopping);
}
