/* guard.c -- life cycle of a guard

   One engine thread owns the ledger, the links and all tables. Executors, the
   store's readers, the registrar and the signal thread reach it through lock-free
   queues and md_links_wake only.

   Each pass takes in events and results, sends what is due and polls the links.
   Answers that become ready within one pass, or within coalesce_us, leave in one
   frame.

   A guard leaves in steps: it refuses new starts and tells all entries, finishes
   what it accepted, waits until the answers were released or received by their
   owner, appends its leaving record and ends. drain_timeout bounds the wait. */

#include "host-limits.h"
#include "md-guard.h"
#include "process.h"

#include <civetweb.h>
#include <errno.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define TICK (100 * MD_MS)          /* deadlines of requests, ledger; longest wait in a poll */
#define PAUSE (500 * MD_MS)         /* a pass that takes longer was a pause */
#define REMOVE_WAIT (5 * MD_SECOND) /* longest wait for the leaving record */
#define FLUSH_PASSES 3              /* polls that write the last frames */

/* ------------------------------------------------------------------ */
/* Command line                                                       */

typedef struct
{
  char *config;   /* path of the settings */
  char **entries; /* addresses given on the command line, NULL-terminated */
} Options;

static void
clear_options (Options *options)
{
  free (options->config);
  for (char **entry = options->entries; entry != NULL && *entry != NULL; entry++)
    free (*entry);
  free (options->entries);
}

static int
parse_options (int argc, const char **argv, Options *options)
{
  struct poptOption table[]
      = { { "config", 'c', POPT_ARG_STRING, &options->config, 0, "settings of the guard", "FILE" },
          { "entry", 0, POPT_ARG_ARGV | POPT_ARGFLAG_DOC_HIDDEN, &options->entries, 0,
            "dial this entry as well", "IP:PORT" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift guard", argc, argv, table, 0);
  int rc = poptGetNextOpt (context);

  if (rc < -1)
    md_log (MD_LOG_ERROR, "start", "step=options peer= detail=\"%s: %s\"",
            poptBadOption (context, POPT_BADOPTION_NOALIAS), poptStrerror (rc));
  else if (poptPeekArg (context) != NULL || options->config == NULL)
    {
      md_log (MD_LOG_ERROR, "start", "step=options peer= detail=\"not --config FILE\"");
      rc = 0;
    }
  if (rc != -1)
    fputs ("usage: mulberrydrift guard --config FILE\n", stderr);
  poptFreeContext (context);
  return rc == -1 ? MD_OK : MD_E_INVALID;
}

static int
load_settings (MdGuard *guard, const char *path)
{
  MD_AUTO_BUF faults = { 0 };
  int rc = md_settings_wait (&guard->settings, path, NULL, NULL, &faults);

  if (faults.len > 0)
    fputs (faults.data, stderr);
  if (rc != MD_OK || (!guard->settings.is_entry && guard->settings.log_address[0] != '\0'))
    return rc;
  md_log (MD_LOG_ERROR, "start", "step=settings peer= detail=\"%s: not the settings of a guard\"",
          path);
  return MD_E_INVALID;
}

/* ------------------------------------------------------------------ */
/* Events of other threads                                            */

static void
wake (void *user)
{
  md_links_wake (user);
}

static void
on_store_event (void *user, const MdStoreEvent *source)
{
  MdGuard *guard = user;
  MdEvent *event = calloc (1, sizeof *event);

  if (event == NULL)
    abort (); /* an entry that is never dialled would go unnoticed */
  event->kind = MD_EVENT_STORE;
  event->what = source->kind;
  event->offset = source->offset;
  event->incarnation = source->info.incarnation;
  event->role = source->info.role;
  md_str_copy (event->name, sizeof event->name, source->info.name);
  md_str_copy (event->address, sizeof event->address, source->info.address);
  md_inbox_push (&guard->inbox, &event->node);
  md_links_wake (guard->links);
}

static void
apply_configuration (MdGuard *guard)
{
  const MdConfigView *view;
  const MdPoolConfig *pool;

  urcu_memb_read_lock ();
  view = md_store_view (guard->store);
  pool = view != NULL ? md_view_pool (view, md_str (guard->settings.pool)) : NULL;
  if (view != NULL)
    guard->config_offset = view->version;
  guard->coalesce = pool != NULL ? (MdTime)pool->coalesce_us : 0;
  urcu_memb_read_unlock ();
  md_gauge (MD_M_CONFIG_OFFSET, (int64_t)guard->config_offset);
}

static void start_leaving (MdGuard *guard, const char *reason);

static void
handle_store_event (MdGuard *guard, const MdEvent *event)
{
  switch (event->what)
    {
    case MD_STORE_CONFIG:
      apply_configuration (guard);
      return;
    case MD_STORE_REGISTER:
      if (event->role == MD_ROLE_ENTRY)
        md_guard_add_entry (guard, md_str (event->address), md_str (event->name),
                            event->incarnation);
      break;
    case MD_STORE_REMOVE:
      md_guard_remove_entry (guard, event->incarnation);
      if (event->incarnation == guard->incarnation && !guard->removing)
        start_leaving (guard, "removed");
      break;
    }
  if (event->offset > guard->known_offset)
    guard->known_offset = event->offset;
}

static void
handle_event (MdGuard *guard, const MdEvent *event)
{
  switch (event->kind)
    {
    case MD_EVENT_STORE:
      handle_store_event (guard, event);
      break;
    case MD_EVENT_REGISTERED:
      guard->registered_offset = event->offset;
      md_log (MD_LOG_INFO, "registered", "incarnation=%llx offset=%llu",
              (unsigned long long)guard->incarnation, (unsigned long long)event->offset);
      break;
    case MD_EVENT_REMOVED:
      guard->removed = true;
      guard->finished = true;
      break;
    }
}

static void
take_events (MdGuard *guard)
{
  MdInboxNode *node = md_inbox_take (&guard->inbox);

  while (node != NULL)
    {
      MdInboxNode *next = node->next;

      handle_event (guard, (MdEvent *)node);
      free (node);
      node = next;
    }
}

/* ------------------------------------------------------------------ */
/* Leaving                                                            */

static void
start_leaving (MdGuard *guard, const char *reason)
{
  if (guard->leaving)
    return;
  guard->leaving = true;
  md_process_set_step (MD_STEP_LEAVING);
  guard->leave_until = guard->now + guard->settings.drain_timeout;
  md_ledger_leave (guard->ledger, guard->now);
  md_guard_announce_leaving (guard);
  md_log (MD_LOG_INFO, "leaving", "reason=%s running=%zu waiting=%zu answers=%zu", reason,
          guard->busy, guard->waiting.count, guard->answers.count);
}

static void
continue_leaving (MdGuard *guard)
{
  bool drained = md_guard_drained (guard);

  if (guard->removing)
    {
      guard->finished = guard->finished || guard->now >= guard->leave_until;
      return;
    }
  if (!drained && guard->now < guard->leave_until)
    return;
  md_log (drained ? MD_LOG_INFO : MD_LOG_WARN, "drained", "complete=%d running=%zu answers=%zu",
          drained, guard->busy, guard->answers.count);
  guard->removing = true;
  guard->leave_until = guard->now + REMOVE_WAIT;
  md_registrar_leave (guard->registrar);
}

/* ------------------------------------------------------------------ */
/* Main loop                                                          */

/* A pass takes milliseconds. After a longer one the process was paused, and the
   owner's heartbeats may wait in a socket behind an Attach of another entry. The
   pause must not count as the owner's silence. */
void
md_guard_set_now (MdGuard *guard)
{
  MdTime before = guard->now;

  guard->now = md_now ();
  if (before != 0 && guard->now - before > PAUSE)
    md_ledger_record_contact (guard->ledger, md_ledger_owner (guard->ledger), guard->now);
}

static void
tick (MdGuard *guard)
{
  if (guard->now < guard->next_tick)
    return;
  guard->next_tick = guard->now + TICK;
  md_upstream_expire (guard->upstream, guard->now);
  md_ledger_tick (guard->ledger, guard->now);
}

static MdTime
poll_until (const MdGuard *guard, MdTime heartbeat)
{
  MdTime until = heartbeat < guard->next_tick ? heartbeat : guard->next_tick;

  if (guard->flush_at != 0 && guard->flush_at > guard->now && guard->flush_at < until)
    until = guard->flush_at;
  return until;
}

static void
run_pass (MdGuard *guard)
{
  MdTime heartbeat;

  md_guard_set_now (guard);
  take_events (guard);
  md_guard_results (guard);
  tick (guard);
  md_guard_send_answers (guard);
  heartbeat = md_guard_heartbeats (guard);
  if (guard->leaving)
    continue_leaving (guard);
  md_links_poll (guard->links, poll_until (guard, heartbeat));
}

static void
run_loop (MdGuard *guard, const atomic_bool *stop)
{
  while (!guard->finished)
    {
      if (atomic_load (stop))
        start_leaving (guard, "signal");
      run_pass (guard);
    }
  for (int i = 0; i < FLUSH_PASSES; i++)
    md_links_poll (guard->links, 0);
}

/* ------------------------------------------------------------------ */
/* Signals                                                            */

typedef struct
{
  sigset_t set;     /* signals that end the process */
  atomic_bool stop; /* one has arrived */
  MdLinks *links;   /* to wake the engine thread */
  pthread_t thread; /* waits for them */
} Signals;

static void *
await_signal (void *data)
{
  Signals *signals = data;
  siginfo_t info;

  while (sigwaitinfo (&signals->set, &info) < 0)
    ;
  md_process_note_signal (&info);
  atomic_store (&signals->stop, true);
  md_links_wake (signals->links);
  return NULL;
}

/* Blocks the signals in this thread and those it creates, so that only the signal
   thread takes them. Runs before any other thread exists. */
static int
start_signals (Signals *signals, MdLinks *links, MdError *error)
{
  int rc;

  signals->links = links;
  atomic_init (&signals->stop, false);
  sigemptyset (&signals->set);
  sigaddset (&signals->set, SIGTERM);
  sigaddset (&signals->set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals->set, NULL);
  rc = md_thread_create (&signals->thread, NULL, await_signal, signals);
  if (rc != 0) /* a guard that cannot be stopped in order must not start */
    return md_error_set (error, MD_E_IO, "signal-thread", NULL, "%s", strerror (rc));
  return MD_OK;
}

/* ------------------------------------------------------------------ */
/* Set-up                                                             */

static MdMemberInfo
own_info (const MdGuard *guard)
{
  const MdSettings *s = &guard->settings;

  return (MdMemberInfo){ .role = MD_ROLE_GUARD,
                         .name = md_str (s->name),
                         .incarnation = guard->incarnation,
                         .address = MD_STR (""),
                         .region = md_str (s->region),
                         .failure_domain = md_str (s->failure_domain),
                         .pool = md_str (s->pool),
                         .cores = s->cores,
                         .memory_mb = s->memory_mb,
                         .accelerators = s->accelerators,
                         .slots = guard->slots,
                         .connections = s->connections };
}

static int
start_parts (MdGuard *guard, MdError *error)
{
  MdMemberInfo info = own_info (guard);

  guard->ledger = md_ledger_new (guard->tuning, guard->incarnation);
  guard->upstream = md_upstream_new (md_str (guard->settings.upstream_address), guard->slots, wake,
                                     guard->links, error);
  if (guard->ledger == NULL || guard->upstream == NULL)
    return md_error_set (error, MD_E_MEMORY, "start", NULL, "out of memory");
  guard->store = md_store_new (&guard->settings, on_store_event, guard);
  if (guard->store == NULL)
    return md_error_set (error, MD_E_IO, "store", NULL, "%s", strerror (errno));
  guard->registrar
      = md_registrar_new (guard->store, &info, guard->tuning, &guard->inbox, guard->links);
  if (guard->registrar == NULL)
    return md_error_set (error, MD_E_IO, "registrar", NULL, "%s", strerror (errno));
  return MD_OK;
}

static void
add_known_entries (MdGuard *guard, char **entries)
{
  const char *balancer = guard->settings.balancer_address;

  for (char **entry = entries; entry != NULL && *entry != NULL; entry++)
    md_guard_add_entry (guard, md_str (*entry), MD_STR (""), 0);
  if (*balancer != '\0' && guard->peers == NULL)
    {
      MdPeer *peer = md_guard_add_entry (guard, md_str (balancer), MD_STR (""), 0);

      if (peer != NULL)
        peer->temporary = true;
    }
}

static void
log_counters (void)
{
  long long started = atomic_load (&md_metrics[MD_M_STARTS]);
  long long refused = atomic_load (&md_metrics[MD_M_STARTS_REFUSED]);
  long long duplicate = atomic_load (&md_metrics[MD_M_STARTS_DUPLICATE]);
  long long answers = atomic_load (&md_metrics[MD_M_ANSWERS]);
  long long frames = atomic_load (&md_metrics[MD_M_FRAMES_SENT]);
  long long bytes = atomic_load (&md_metrics[MD_M_BYTES_SENT]);

  md_log (MD_LOG_INFO, "stopped",
          "starts=%lld refused=%lld duplicate=%lld answers=%lld frames_sent=%lld bytes_sent=%lld",
          started, refused, duplicate, answers, frames, bytes);
}

static int
run_guard (MdGuard *guard, char **entries)
{
  static Signals signals; /* its thread runs until the process ends */
  MdError error = { 0 };
  int rc;

  guard->links = md_links_new (guard->tuning, &md_guard_handler, guard);
  if (guard->links == NULL)
    {
      md_log (MD_LOG_ERROR, "start", "step=links peer= detail=\"%s\"", strerror (errno));
      return MD_EXIT_FAILED;
    }
  urcu_memb_register_thread ();
  rc = start_signals (&signals, guard->links, &error);
  if (rc == MD_OK)
    rc = start_parts (guard, &error);
  if (rc == MD_OK)
    {
      add_known_entries (guard, entries);
      md_log (MD_LOG_INFO, "started", "incarnation=%llx pool=%s slots=%u upstream=%s",
              (unsigned long long)guard->incarnation, guard->settings.pool, guard->slots,
              guard->settings.upstream_address);
      md_process_set_step (MD_STEP_RUNNING);
      run_loop (guard, &signals.stop);
      log_counters ();
    }
  else
    md_log (MD_LOG_ERROR, "start", "step=%s peer=%s detail=\"%s\"", error.step, error.peer,
            error.detail);
  return rc == MD_OK ? MD_EXIT_OK : MD_EXIT_FAILED;
}

/* The threads of the guard run until the process ends, so that nothing that they use may be on this
   stack or freed. */
int
md_guard_main (int argc, const char **argv)
{
  static MdGuard guard;
  Options options = { 0 };
  int rc = MD_EXIT_USAGE;

  md_limit_arenas ();
  if (parse_options (argc, argv, &options) == MD_OK)
    {
      rc = MD_EXIT_FAILED;
      md_process_set_step (MD_STEP_SETTINGS);
      if (load_settings (&guard, options.config) == MD_OK)
        {
          md_log_open (STDERR_FILENO, guard.settings.name, guard.settings.log_level);
          md_process_set_step (MD_STEP_COMPONENTS);
          md_host_limits_open (&guard.settings);
          mg_init_library (0);
          guard.tuning = &guard.settings.tuning;
          guard.incarnation = md_new_incarnation ();
          guard.slots = guard.settings.slots;
          if (guard.slots > guard.settings.connections)
            guard.slots = guard.settings.connections;
          rc = run_guard (&guard, options.entries);
        }
    }
  clear_options (&options);
  return rc;
}
