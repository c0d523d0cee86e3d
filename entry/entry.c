/* entry.c -- the entry daemon: engine thread, start and graceful stop

   One engine thread owns the cores and the links. It waits for I/O, takes in
   events from the HTTP and log threads over a lock-free queue, runs the cores,
   and sends what they decided, all in one pass. This keeps the decisions in one
   order without locks on the path of a request. */

#include "entry-private.h"
#include "host-limits.h"
#include "listen.h"
#include "process.h"

#include <errno.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define TICK (20 * MD_MS)              /* between ticks of the cores */
#define STALE_TICK (100 * MD_MS)       /* a later tick means that we were paused */
#define REGISTER_RETRY (500 * MD_MS)   /* between attempts while the log is down */
#define SNAPSHOT_AFTER (2 * MD_SECOND) /* without a configuration, ask a peer */
#define IDLE_BEFORE_STOP (200 * MD_MS) /* without requests, before the server stops */

#define WATCH_END_TIMEOUT (500 * MD_MS) /* for the last chunks of open watches */

static MdEntry *signal_target; /* the process has one entry; never freed */

MdStore *
md_entry_store (MdEntry *entry)
{
  return entry->store;
}

const MdSettings *
md_entry_settings (MdEntry *entry)
{
  return &entry->settings;
}

bool
md_entry_leaving (MdEntry *entry)
{
  return atomic_load (&entry->leaving);
}

static void
post_event (MdEntry *entry, Event *event)
{
  cds_wfcq_node_init (&event->node);
  cds_wfcq_enqueue (&entry->queue_head, &entry->queue_tail, &event->node);
  md_links_wake (entry->links);
}

MdResultFuture *
md_entry_post (MdEntry *entry, MdOp op, MdSubmission *sub)
{
  Event *event = calloc (1, sizeof *event);
  MdResultFuture *future = md_result_future_new ();

  if (event == NULL || future == NULL)
    {
      free (event);
      md_result_future_unref (future);
      return NULL;
    }
  event->kind = EVENT_POST;
  event->u.post.op = op;
  event->u.post.sub = md_submission_ref (sub);
  atomic_fetch_add (&future->refs, 1);
  event->u.post.future = future;
  post_event (entry, event);
  return future;
}

/* Strings of a member record, kept in the event while it is queued. */
static void
keep_strings (Event *event)
{
  MdMemberInfo *info = &event->u.store.info;
  MdStr *strings[]
      = { &info->name, &info->address, &info->region, &info->failure_domain, &info->pool };

  for (size_t i = 0; i < MD_ARRAY_SIZE (strings); i++)
    {
      md_str_copy (event->text[i], sizeof event->text[i], *strings[i]);
      *strings[i] = md_str (event->text[i]);
    }
}

static void
on_store_event (void *user, const MdStoreEvent *store_event)
{
  MdEntry *entry = user;
  Event *event = calloc (1, sizeof *event);

  if (event == NULL)
    abort (); /* a skipped record would leave this entry with another state */
  event->kind = EVENT_STORE;
  event->u.store = *store_event;
  keep_strings (event);
  post_event (entry, event);
}

/* The ownership of a shard needs every set of guards and every loss in order, so
   member records wait until the pools are known. */
static bool
hold_event (MdEntry *entry, Event *event)
{
  if (event->u.store.kind == MD_STORE_CONFIG)
    {
      entry->pools_known = true;
      return false;
    }
  if (entry->pools_known)
    return false;
  event->held = NULL;
  if (entry->held_tail != NULL)
    entry->held_tail->held = event;
  else
    entry->held = event;
  entry->held_tail = event;
  return true;
}

static void
release_held (MdEntry *entry, MdTime now)
{
  Event *event = entry->held;

  entry->held = entry->held_tail = NULL;
  while (event != NULL)
    {
      Event *next = event->held;
      md_peers_store_event (entry, &event->u.store, now);
      free (event);
      event = next;
    }
}

static void
handle_event (MdEntry *entry, Event *event, MdTime now)
{
  switch (event->kind)
    {
    case EVENT_POST:
      md_entry_refresh (entry, now);
      md_forward_route (entry, event->u.post.op, event->u.post.sub,
                        md_waiter_local (event->u.post.future), now);
      md_submission_unref (event->u.post.sub);
      break;
    case EVENT_STORE:
      if (hold_event (entry, event))
        return;
      md_peers_store_event (entry, &event->u.store, now);
      if (event->u.store.kind == MD_STORE_CONFIG)
        release_held (entry, now);
      break;
    case EVENT_REGISTERED:
      entry->registered = event->u.offset;
      md_log (MD_LOG_INFO, "registered", "offset=%llu", (unsigned long long)event->u.offset);
      break;
    }
  free (event);
}

static void
drain_events (MdEntry *entry, MdTime now)
{
  struct cds_wfcq_node *node;

  while ((node = __cds_wfcq_dequeue_blocking (&entry->queue_head, &entry->queue_tail)) != NULL)
    handle_event (entry, caa_container_of (node, Event, node), now);
}

/* ------------------------------------------------------------------ */
/* Registration                                                       */

static void *
register_thread (void *user)
{
  MdEntry *entry = user;
  MdMemberInfo info = { .role = MD_ROLE_ENTRY,
                        .name = md_str (entry->settings.name),
                        .incarnation = entry->incarnation,
                        .address = md_str (entry->settings.advertised_address[0] != '\0'
                                               ? entry->settings.advertised_address
                                               : entry->bound_internal),
                        .region = md_str (entry->settings.region),
                        .failure_domain = md_str (entry->settings.failure_domain) };

  urcu_memb_register_thread ();
  while (!atomic_load (&entry->stopping))
    {
      MdError error = { 0 };
      uint64_t offset = 0;
      char quoted[200];

      if (md_store_register (entry->store, &info, &offset, &error) == MD_OK)
        {
          Event *event = calloc (1, sizeof *event);
          if (event == NULL)
            abort (); /* without it this entry would never serve */
          event->kind = EVENT_REGISTERED;
          event->u.offset = offset ? offset : 1;
          post_event (entry, event);
          break;
        }
      md_log (MD_LOG_WARN, "register-failed", "step=%s peer=%s reason=%s", error.step, error.peer,
              md_log_quote (md_str (error.detail), quoted, sizeof quoted));
      usleep ((useconds_t)(REGISTER_RETRY + (MdTime)(md_random () % REGISTER_RETRY)));
    }
  urcu_memb_unregister_thread ();
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Leaving                                                            */

/* Ownership goes to another entry first; what is unfinished here is then
   forwarded to it like any submission. Without another entry the work is
   finished here. */
static void
begin_leaving (MdEntry *entry, MdTime now)
{
  entry->leave_started = now;
  md_process_set_step (MD_STEP_LEAVING);
  atomic_store (&entry->leaving, true);
  md_log (MD_LOG_INFO, "leaving", "unfinished=%u", md_shards_unfinished (entry));
  if (!md_peers_other_entry_live (entry))
    return;
  md_peers_send_leaving (entry);
  entry->handed_over = true;
  md_shards_release_all (entry, now);
}

static bool
may_stop (MdEntry *entry, MdTime now)
{
  bool idle = md_callers_in_progress (entry->callers) == 0 && entry->pending == NULL
              && (entry->handed_over || md_shards_unfinished (entry) == 0);

  if (now - entry->leave_started > entry->settings.drain_timeout)
    {
      md_log (MD_LOG_WARN, "drain-timeout", "in_progress=%d",
              md_callers_in_progress (entry->callers));
      return true;
    }
  return idle && now - entry->leave_started > IDLE_BEFORE_STOP;
}

/* ------------------------------------------------------------------ */
/* Engine                                                             */

/* A new entry that cannot read the log takes the newest snapshot from a peer
   behind the balancer; until then it serves nothing. */
static void
ask_for_snapshot (MdEntry *entry, MdTime now)
{
  bool ready = md_store_view (entry->store) != NULL;

  if (entry->settings.balancer_address[0] == '\0')
    return;
  if (ready && entry->seeding)
    md_peers_stop_seed (entry);
  else if (!ready && !entry->seeding && now - entry->started > SNAPSHOT_AFTER)
    md_peers_start_seed (entry);
}

/* After a pause of this process its ownerships may be over. They are judged again
   before anything is admitted or refused. */
void
md_entry_refresh (MdEntry *entry, MdTime now)
{
  if (now - entry->ticked < STALE_TICK)
    return;
  entry->ticked = now;
  md_shards_tick (entry, now);
}

static void
tick (MdEntry *entry, MdTime now)
{
  entry->ticked = now;
  md_peers_tick (entry, now);
  md_shards_tick (entry, now);
  md_forward_tick (entry, now);
  ask_for_snapshot (entry, now);
  md_gauge (MD_M_CONFIG_AGE, md_store_age_ms (entry->store));
}

static void
run_engine (MdEntry *entry)
{
  MdTime next_tick = 0;

  for (;;)
    {
      MdTime now;

      md_peers_flush (entry, md_now ());
      md_links_poll (entry->links, next_tick);
      now = md_now ();
      drain_events (entry, now);
      if (now >= next_tick)
        {
          tick (entry, now);
          next_tick = now + TICK;
        }
      if (atomic_load (&entry->stopping) && entry->leave_started == 0)
        begin_leaving (entry, now);
      if (entry->leave_started > 0 && may_stop (entry, now))
        return;
    }
}

static void
on_signal (int signo MD_UNUSED, siginfo_t *info, void *context MD_UNUSED)
{
  md_process_note_signal (info);
  atomic_store (&signal_target->stopping, true);
  md_links_wake (signal_target->links);
}

static void
install_signals (MdEntry *entry)
{
  struct sigaction action = { .sa_sigaction = on_signal, .sa_flags = SA_SIGINFO };

  signal_target = entry;
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
}

/* Opens the ports for other processes, operators and callers. That for callers is the last: the
   threads of its server wait for the engine, which does not run yet, so that the server could not
   be stopped. The internal port stays open after an error. */
static int
open_ports (void *user, MdError *error)
{
  MdEntry *entry = user;

  if (entry->bound_internal[0] == '\0'
      && md_links_listen (entry->links, md_str (entry->settings.internal_address),
                          entry->bound_internal, error)
             != MD_OK)
    return MD_E_IO;
  entry->operator_http = md_operator_start (&entry->settings, entry->store, entry->observed, error);
  if (entry->operator_http == NULL)
    return MD_E_IO;
  entry->callers = md_callers_start (entry, error);
  if (entry->callers != NULL)
    return MD_OK;
  md_operator_stop (entry->operator_http);
  entry->operator_http = NULL;
  return MD_E_IO;
}

static bool
is_stopping (void)
{
  return atomic_load (&signal_target->stopping);
}

/* Signals are caught from here on, so that one that comes while ports are awaited ends the start in
   order. */
static int
start_entry (MdEntry *entry, MdError *error)
{
  MdSettings *settings = &entry->settings;
  MdListen listen = { .ports = { { "listen-internal", settings->internal_address },
                                 { "listen-operators", settings->operator_address },
                                 { "listen-callers", settings->caller_address } },
                      .n_ports = 3,
                      .timeout = md_listen_timeout (settings),
                      .is_stopping = is_stopping,
                      .open = open_ports,
                      .user = entry };

  entry->incarnation = md_new_incarnation ();
  entry->started = md_now ();
  cds_wfcq_init (&entry->queue_head, &entry->queue_tail);
  entry->links = md_links_new (&settings->tuning, &md_entry_link_handler, entry);
  if (entry->links == NULL)
    return md_error_set (error, MD_E_IO, "links", "", "%s", strerror (errno));
  install_signals (entry);
  entry->members = md_members_new (&settings->tuning);
  entry->observed = md_observed_new (settings->tuning.watch_changes);
  if (entry->members == NULL || entry->observed == NULL)
    return md_error_set (error, MD_E_MEMORY, "start", "", "out of memory");
  entry->store = md_store_new (settings, on_store_event, entry);
  if (entry->store == NULL)
    return md_error_set (error, MD_E_IO, "store", "", "%s", strerror (errno));
  return md_listen (&listen, error);
}

static void
leave_members (MdEntry *entry)
{
  MdError error = { 0 };

  if (entry->registered > 0)
    md_store_remove_member (entry->store, entry->incarnation, true, &error);
}

/* Detached: at the end of the process it may sit in a call to a silent log. */
static int
start_registrar (MdEntry *entry, MdError *error)
{
  pthread_t thread;
  int rc = md_thread_create (&thread, NULL, register_thread, entry);

  if (rc != 0)
    return md_error_set (error, MD_E_IO, "registrar", "", "%s", strerror (rc));
  pthread_detach (thread);
  return MD_OK;
}

/* Returns the exit code of a start that did not succeed. */
static int
end_start (MdEntry *entry, const MdError *error)
{
  if (atomic_load (&entry->stopping))
    {
      md_log (MD_LOG_INFO, "stopped", "step=%s reason=\"before the ports were open\"", error->step);
      return MD_EXIT_OK;
    }
  md_log (MD_LOG_ERROR, "start-failed", "step=%s peer=%s detail=\"%s\"", error->step, error->peer,
          error->detail);
  return MD_EXIT_FAILED;
}

static int
run_entry (MdEntry *entry)
{
  MdError error = { 0 };

  urcu_memb_register_thread ();
  if (start_entry (entry, &error) != MD_OK || start_registrar (entry, &error) != MD_OK)
    return end_start (entry, &error);
  md_log (MD_LOG_INFO, "started", "role=entry internal=%s callers=%s operators=%s",
          entry->bound_internal, entry->settings.caller_address, entry->settings.operator_address);
  md_process_set_step (MD_STEP_RUNNING);
  run_engine (entry);
  leave_members (entry);
  md_operator_end_watches (entry->operator_http, WATCH_END_TIMEOUT);
  md_log (MD_LOG_INFO, "stopped", "role=entry");
  return MD_EXIT_OK;
}

/* Stores the path of the settings, which the caller frees. */
static int
parse_options (int argc, const char **argv, char **config)
{
  struct poptOption options[]
      = { { "config", 'c', POPT_ARG_STRING, config, 0, "settings file", "FILE" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift entry", argc, argv, options, 0);
  int rc = poptGetNextOpt (context);

  if (rc < -1)
    md_log (MD_LOG_ERROR, "start", "step=options peer= detail=\"%s: %s\"",
            poptBadOption (context, POPT_BADOPTION_NOALIAS), poptStrerror (rc));
  else if (*config == NULL)
    md_log (MD_LOG_ERROR, "start", "step=options peer= detail=\"--config is missing\"");
  poptFreeContext (context);
  return rc == -1 && *config != NULL ? MD_OK : MD_E_INVALID;
}

static int
load_settings (MdEntry *entry, const char *path)
{
  MD_AUTO_BUF faults = { 0 };
  int rc = md_settings_wait (&entry->settings, path, NULL, NULL, &faults);

  if (faults.len > 0)
    fputs (faults.data, stderr);
  if (rc != MD_OK || (entry->settings.is_entry && entry->settings.log_address[0] != '\0'))
    return rc;
  md_log (MD_LOG_ERROR, "start", "step=settings peer= detail=\"%s: not the settings of an entry\"",
          path);
  return MD_E_INVALID;
}

int
md_entry_main (int argc, const char **argv)
{
  static MdEntry entry; /* its threads use it until the process ends */
  char *config = NULL;
  int rc;

  md_limit_arenas ();
  if (parse_options (argc, argv, &config) != MD_OK)
    {
      fputs ("usage: mulberrydrift entry --config FILE\n", stderr);
      free (config);
      return MD_EXIT_USAGE;
    }
  md_process_set_step (MD_STEP_SETTINGS);
  rc = load_settings (&entry, config);
  free (config);
  if (rc != MD_OK)
    return MD_EXIT_USAGE;
  md_process_set_step (MD_STEP_COMPONENTS);
  md_log_open (STDERR_FILENO, entry.settings.name, entry.settings.log_level);
  md_host_limits_open (&entry.settings);
  return run_entry (&entry);
}
