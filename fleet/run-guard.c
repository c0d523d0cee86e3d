/* run-guard.c -- the guard daemon: life cycle and event loop

   One guard runs beside each worker of the users' platform. It accepts runs from all entries
   on equal terms, queues them until the worker has capacity (runqueue.c), starts them, extends
   the worker's lease and reports runs and state to the entries. It keeps no runs across a
   restart: a new process first stops whatever an earlier one has left at the worker, and only
   then connects to entries. */

#include "run-guard.h"
#include "http-client.h"
#include "listen.h"
#include "process.h"

#include <civetweb.h>
#include <errno.h>

#define WORKER_CONNECTIONS 6L             /* one for the hold, the others for starts */
#define ENTRIES_READ_WAIT (5 * MD_SECOND) /* long poll of the entries topic */
#define LEAVE_MARGIN (1 * MD_SECOND)      /* exit this long before the platform kills the process */
#define RECONNECT_MAX (200 * MD_MS)       /* a restarted entry is back within a second or two */
/* The first SYN to an entry without power is lost, and the kernel repeats it only after a
   second; a new connection attempt reaches the restarted entry sooner. */
#define CONNECT_TIMEOUT (200 * MD_MS)
/* A connection can go silent for good while a new one works. Two and a half heartbeats; entries
   that are only late are given entry_silence. */
#define ACK_TIMEOUT (250 * MD_MS)

static void
on_entry_record (void *user, const MdKeyedRecord *record)
{
  MdRunGuard *guard = user;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  if (record->value.len == 0)
    return;
  if (md_platform_parse_entry (record->value, address, &error) == MD_OK)
    md_guard_add_peer (guard, md_str (address), false);
  else
    md_log (MD_LOG_WARN, "record-ignored", "topic=%s reason=\"%s\"", MD_TOPIC_ENTRIES,
            error.detail);
}

static void
process_events (MdRunGuard *guard)
{
  for (MdInboxNode *node = md_inbox_take (&guard->inbox), *next; node != NULL; node = next)
    {
      next = node->next;
      md_guard_worker_event (guard, (MdWorkerEvent *)node);
      md_worker_report_clear (&((MdWorkerEvent *)node)->report);
      free (node);
    }
}

/* Dials the seed addresses of the settings. The first call is made only when the worker is
   free of runs of earlier processes, so that a hello to an entry implies that none of them
   still runs. */
static void
add_seeds (MdRunGuard *guard)
{
  MdDirectory seeds = { 0 };

  md_directory_add_seeds (&seeds, &guard->daemon.settings, guard->now);
  for (unsigned i = 0; i < seeds.n; i++)
    md_guard_add_peer (guard, md_str (seeds.address[i]), false);
}

static void
begin_leaving (MdRunGuard *guard)
{
  MdTime grace = guard->daemon.settings.drain_timeout - LEAVE_MARGIN;

  if (guard->leaving || !md_daemon_is_stopping ())
    return;
  guard->leaving = true;
  guard->leave_until = guard->now + (grace > 0 ? grace : 0);
  guard->queue.accepting = false;
  guard->state_version++;
  md_guard_reject_waiting (guard);
  md_process_set_step (MD_STEP_LEAVING);
  md_log (MD_LOG_INFO, "leaving", "runs=%u", guard->queue.running.n);
}

static bool
has_unacked_ends (const MdRunGuard *guard)
{
  for (const MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    if (peer->connected && peer->ends != NULL)
      return true;
  return false;
}

static bool
has_left (const MdRunGuard *guard)
{
  if (!guard->leaving)
    return false;
  return guard->now >= guard->leave_until
         || (guard->queue.running.n == 0 && !has_unacked_ends (guard));
}

static void
run_loop (MdRunGuard *guard)
{
  bool seeds_added = false;

  while (!has_left (guard))
    {
      MdTime due;

      guard->now = md_now ();
      begin_leaving (guard);
      process_events (guard);
      due = md_guard_worker_poll (guard);
      due = md_time_min (due, md_guard_worker_record_poll (guard));
      if (!seeds_added && guard->worker.clean)
        {
          seeds_added = true;
          add_seeds (guard);
        }
      if (md_daemon_reload (&guard->daemon, guard->now) && seeds_added)
        add_seeds (guard);
      due = md_time_min (due, guard->daemon.file.check_due);
      if (seeds_added)
        due = md_time_min (due, md_keyed_reader_poll (guard->entries, guard->now));
      due = md_time_min (due, md_guard_orders_poll (guard));
      due = md_time_min (due, md_metrics_server_poll (&guard->metrics, guard->now));
      if (guard->leaving)
        due = md_time_min (due, guard->leave_until);
      due = md_time_min (due, md_http_poll (guard->http));
      due = md_time_min (due, md_http_poll (guard->stop_http));
      due = md_time_min (due, md_http_poll (guard->daemon.store));
      md_observe (MD_H_LOOP, md_now () - guard->now);
      md_links_poll (guard->daemon.links, due);
      guard->now = md_now ();
      md_http_poll (guard->http);
      md_http_poll (guard->stop_http);
      md_http_poll (guard->daemon.store);
    }
}

static int
open_ports (void *user, MdError *error)
{
  MdRunGuard *guard = user;

  guard->registrar = md_registrar_server_start (&guard->daemon.settings, &guard->inbox,
                                                guard->daemon.links, error);
  return guard->registrar != NULL ? MD_OK : MD_E_IO;
}

static int
wait_for_ports (MdRunGuard *guard, MdError *error)
{
  const MdSettings *settings = &guard->daemon.settings;
  MdListen listen = { .ports = { { "listen-registration", settings->register_address } },
                      .n_ports = 1,
                      .timeout = md_listen_timeout (settings),
                      .is_stopping = md_daemon_is_stopping,
                      .open = open_ports,
                      .user = guard };
  int rc = md_listen (&listen, error);

  if (rc != MD_OK)
    return rc;
  guard->metrics = (MdMetricsServer){ .address = settings->metrics_address,
                                      .start = md_registrar_start_metrics,
                                      .user = guard->registrar };
  return MD_OK;
}

static int
start_components (MdRunGuard *guard, MdError *error)
{
  const MdSettings *settings = &guard->daemon.settings;

  guard->http = md_http_new (guard->daemon.links, WORKER_CONNECTIONS);
  guard->stop_http = md_http_new (guard->daemon.links, MD_GUARD_STOP_CONNECTIONS);
  guard->daemon.store = md_http_new (guard->daemon.links, MD_STORE_CONNECTIONS);
  guard->entries
      = md_keyed_reader_new (guard->daemon.store, settings->store_address, MD_TOPIC_ENTRIES,
                             ENTRIES_READ_WAIT, on_entry_record, guard);
  if (guard->http == NULL || guard->stop_http == NULL || guard->daemon.store == NULL
      || guard->entries == NULL || md_guard_worker_record_init (guard) != MD_OK)
    return md_error_set (error, MD_E_MEMORY, "start", "", "out of memory");
  return wait_for_ports (guard, error);
}

static int
run_guard (MdRunGuard *guard)
{
  MdTuning tuning = guard->daemon.settings.tuning;
  MdError error = { 0 };
  int rc;

  tuning.reconnect_max = RECONNECT_MAX;
  guard->daemon.links = md_links_new (&tuning, &md_run_guard_handler, guard);
  if (guard->daemon.links == NULL)
    {
      md_log (MD_LOG_ERROR, "start", "step=links peer= detail=\"%s\"", strerror (errno));
      return MD_EXIT_FAILED;
    }
  md_links_set_connect_timeout (guard->daemon.links, CONNECT_TIMEOUT);
  md_links_set_ack_timeout (guard->daemon.links, ACK_TIMEOUT);
  md_daemon_catch_signals (guard->daemon.links);
  rc = start_components (guard, &error);
  if (rc == MD_OK)
    {
      md_log (MD_LOG_INFO, "started", "incarnation=%llx worker_address=%s",
              (unsigned long long)guard->incarnation, guard->daemon.settings.worker_address);
      md_process_set_step (MD_STEP_RUNNING);
      run_loop (guard);
      md_log (MD_LOG_INFO, "stopped", "runs=%u", guard->queue.running.n);
    }
  else if (md_daemon_is_stopping ())
    md_log (MD_LOG_INFO, "stopped", "step=%s reason=\"before the ports were open\"", error.step);
  else
    md_log (MD_LOG_ERROR, "start", "step=%s peer=%s detail=\"%s\"", error.step, error.peer,
            error.detail);
  return rc == MD_OK || md_daemon_is_stopping () ? MD_EXIT_OK : MD_EXIT_FAILED;
}

/* The threads of the HTTP server run until the process ends, so that nothing that they use may be
   on this stack or freed. */
int
md_run_guard_main (int argc, const char **argv)
{
  static MdRunGuard guard;
  int rc;

  md_limit_arenas ();
  rc = md_daemon_open (&guard.daemon, argc, argv);
  if (rc != MD_EXIT_OK)
    return rc;
  md_http_init ();
  guard.incarnation = md_new_incarnation ();
  guard.now = md_now ();
  guard.worker.report.born_ms = -1;
  /* Wall-clock time exceeds the tokens of earlier processes unless the clock was set back. */
  guard.worker.token = (uint64_t)md_wall_ms ();
  return run_guard (&guard);
}
