/* run-entry.c -- main loop of the entry daemon on the users' platform

   An entry accepts jobs from callers, places their tasks on guards and returns the
   results. Entries share no state except through the guards, and no guard or queue is
   owned by an entry. The loss of an entry therefore affects only its own callers, who
   have to repeat their requests. The operator's configuration is read from the
   platform's store. */

#include "run-entry.h"
#include "http-client.h"
#include "listen.h"
#include "process.h"

#include <errno.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define REGISTER_TIMEOUT (1500 * MD_MS)
#define REGISTER_RETRY_DELAY (500 * MD_MS)
/* The balancer needs two failed probes, one second apart, to stop sending new connections.
   Requests that arrive after this delay on connections opened earlier are rejected. */
#define BALANCER_DELAY (3000 * MD_MS)
#define REQUEST_BUDGET (20 * MD_MS)          /* for requests of callers in one pass; two ticks */
#define RESPONSE_FLUSH_TIMEOUT (300 * MD_MS) /* time to write the last responses */
#define KILL_MARGIN (900 * MD_MS)            /* drain ends this long before the platform's kill */

/* ------------------------------------------------------------------ */
/* Registration                                                       */

static void
on_registered (void *user, const MdHttpAsyncResponse *response)
{
  MdRunEntry *entry = user;

  entry->registering = false;
  entry->registered = response->status == 200;
  entry->register_due = md_now () + REGISTER_RETRY_DELAY;
  if (entry->registered)
    md_log (MD_LOG_INFO, "registered", "address=%s", entry->daemon.settings.internal_address);
  else
    md_log (MD_LOG_WARN, "register-failed", "status=%d reason=\"%s\"", response->status,
            response->error.detail);
}

/* Address at which guards connect to this entry. */
static const char *
own_address (const MdSettings *settings)
{
  return settings->advertised_address[0] != '\0' ? settings->advertised_address
                                                 : settings->internal_address;
}

/* Writes the address of this entry to the store until that succeeds. The record has a key, so
   a repeated append is harmless. */
static MdTime
poll_registration (MdRunEntry *entry)
{
  const MdSettings *settings = &entry->daemon.settings;
  MD_AUTO_CALL call = { 0 };
  MD_AUTO_BUF value = { 0 };

  if (entry->registered || entry->registering)
    return INT64_MAX;
  if (entry->now < entry->register_due)
    return entry->register_due;
  md_platform_write_entry (&value, md_str (own_address (settings)));
  md_platform_put (&call, MD_TOPIC_ENTRIES, md_str (settings->name), md_buf_str (&value));
  md_count (MD_M_LOG_APPENDS, 1);
  entry->registering = md_daemon_call (entry->daemon.store, settings->store_address, &call,
                                       REGISTER_TIMEOUT, on_registered, entry)
                       == MD_OK;
  entry->register_due = entry->now + REGISTER_RETRY_DELAY;
  return entry->register_due;
}

/* Applies the settings that are not read at each use. */
static void
apply_settings (MdRunEntry *entry)
{
  entry->workers.remote_factor = entry->daemon.settings.remote_factor;
  md_directory_add_seeds (&entry->directory, &entry->daemon.settings, entry->now);
}

/* ------------------------------------------------------------------ */
/* Life cycle                                                         */

static bool
has_upstream (const MdRunEntry *entry)
{
  for (uint32_t i = 0; i < entry->workers.n; i++)
    if (entry->workers.workers[i]->connected && !entry->workers.workers[i]->evacuated
        && entry->workers.workers[i]->state == MD_WORKER_READY)
      return true;
  return false;
}

/* Updates the gauges once per heartbeat. */
static void
update_gauges (MdRunEntry *entry)
{
  int64_t ready = 0;
  int64_t avoided = 0;
  int64_t full = 0;

  if (entry->now < entry->gauges_due)
    return;
  entry->gauges_due = entry->now + entry->daemon.leases.heartbeat_interval;
  for (uint32_t i = 0; i < entry->workers.n; i++)
    {
      const MdWorker *worker = entry->workers.workers[i];

      ready += worker->connected && !worker->evacuated && worker->state == MD_WORKER_READY;
      avoided += worker->stalled || entry->now < worker->avoid_until;
      full += worker->connected && !worker->sparse;
    }
  md_gauge (MD_M_WORKERS_READY, ready);
  md_gauge (MD_M_WORKERS_AVOIDED, avoided);
  md_gauge (MD_M_WORKERS_FULL, full);
  md_gauge (MD_M_JOBS_ACTIVE, entry->n_jobs);
  md_entry_update_pressure_gauge (entry);
}

static void
update_ready (MdRunEntry *entry)
{
  bool configured = md_config_reader_loaded (entry->config);
  bool ready = configured && has_upstream (entry) && !entry->leaving;

  if (configured || entry->leaving)
    md_entry_start_end (&entry->start);
  if (ready == atomic_load (&entry->ready))
    return;
  atomic_store (&entry->ready, ready);
  md_log (MD_LOG_INFO, "readiness", "ready=%d configured=%d upstream=%d leaving=%d", ready,
          configured, has_upstream (entry), entry->leaving);
}

static void
start_leaving (MdRunEntry *entry)
{
  MdTime drain_time = entry->daemon.settings.drain_timeout - KILL_MARGIN;

  if (entry->leaving || !md_daemon_is_stopping ())
    return;
  entry->leaving = true;
  entry->reject_after = entry->now + BALANCER_DELAY;
  entry->drain_deadline = entry->now + (drain_time > 0 ? drain_time : 0);
  md_front_disable_keep_alive (entry->front);
  md_process_set_step (MD_STEP_LEAVING);
  md_log (MD_LOG_INFO, "leaving", "jobs=%u", entry->n_jobs);
}

/* Once the balancer has had time to notice, new requests are rejected, so that the accepted
   jobs have the rest of the drain time to end. */
static bool
is_finished (MdRunEntry *entry)
{
  if (!entry->leaving)
    return false;
  if (entry->now >= entry->reject_after)
    atomic_store (&entry->closed, true);
  return entry->now >= entry->drain_deadline
         || (entry->now >= entry->reject_after && entry->n_jobs == 0
             && atomic_load (&entry->active_requests) == 0);
}

static MdTime
poll_advisor (MdRunEntry *entry)
{
  MdTime due = md_http_poll (entry->advisor);

  due = md_time_min (due, md_entry_advice_poll (entry));
  /* A call that was just started has to be driven as well. */
  return md_time_min (due, md_http_poll (entry->advisor));
}

static void
run_loop (MdRunEntry *entry)
{
  while (!is_finished (entry))
    {
      MdTime due;
      bool handled;

      entry->now = md_now ();
      start_leaving (entry);
      if (md_daemon_reload (&entry->daemon, entry->now))
        apply_settings (entry);
      due = entry->daemon.file.check_due;
      md_entry_evacuation_poll (entry);
      handled = md_entry_handle_requests (entry, REQUEST_BUDGET);
      md_entry_jobs_tick (entry);
      update_ready (entry);
      update_gauges (entry);
      due = md_time_min (due, md_entry_guards_poll (entry));
      due = md_time_min (due, md_entry_peers_poll (entry));
      if (entry->leaving && entry->now < entry->reject_after)
        due = md_time_min (due, entry->reject_after);
      due = md_time_min (due, poll_registration (entry));
      due = md_time_min (due, md_metrics_server_poll (&entry->metrics, entry->now));
      due = md_time_min (due, md_http_poll (entry->daemon.store));
      if (entry->advisor != NULL)
        due = md_time_min (due, poll_advisor (entry));
      if (entry->n_jobs > 0)
        due = md_time_min (due, entry->next_tick);
      if (!handled || due < entry->now)
        due = entry->now;
      md_observe (MD_H_LOOP, md_now () - entry->now);
      md_links_poll (entry->daemon.links, due);
      entry->now = md_now ();
      md_entry_load_pass (&entry->load, due, entry->now);
      md_http_poll (entry->daemon.store);
    }
}

/* Answers all waiting and new requests and waits until the responses are written. */
static void
finish_callers (MdRunEntry *entry)
{
  MdTime deadline = md_now () + RESPONSE_FLUSH_TIMEOUT;

  atomic_store (&entry->closed, true);
  md_entry_handover_fail_all (entry);
  md_entry_fail_all (entry);
  while (atomic_load (&entry->active_requests) > 0 && md_now () < deadline)
    {
      struct timespec pause = { 0, 5 * 1000 * 1000 };

      md_entry_reject_requests (entry);
      nanosleep (&pause, NULL);
    }
  if (atomic_load (&entry->active_requests) > 0)
    md_log (MD_LOG_WARN, "callers-left-behind", "requests=%d",
            atomic_load (&entry->active_requests));
}

/* An entry becomes ready with its first configuration, and evacuations take effect at once. */
static void
wake_engine (void *user)
{
  const MdRunEntry *entry = user;

  md_links_wake (entry->daemon.links);
}

/* Opens the ports for guards, probes and callers. That for callers is the last: the threads of its
   server wait for the engine, which does not run yet, so that the server could not be stopped.
   A port that was opened before an error stays open. */
static int
open_ports (void *user, MdError *error)
{
  MdRunEntry *entry = user;
  char bound[MD_ADDRESS_BYTES];
  int rc;

  if (entry->config == NULL)
    entry->config = md_config_reader_start (&entry->daemon.settings, wake_engine, entry, error);
  if (entry->config == NULL)
    return MD_E_IO;
  rc = md_links_listen (entry->daemon.links, md_str (entry->daemon.settings.internal_address),
                        bound, error);
  if (rc != MD_OK && rc != MD_E_EXISTS)
    return rc;
  entry->front = md_front_start (entry, error);
  return entry->front != NULL ? MD_OK : MD_E_IO;
}

static int
wait_for_ports (MdRunEntry *entry, MdError *error)
{
  const MdSettings *settings = &entry->daemon.settings;
  MdListen listen = { .ports = { { "listen-internal", settings->internal_address },
                                 { "listen-callers", settings->caller_address },
                                 { "listen-readiness", settings->ready_address } },
                      .n_ports = 3,
                      .timeout = md_listen_timeout (settings),
                      .is_stopping = md_daemon_is_stopping,
                      .open = open_ports,
                      .user = entry };
  int rc = md_listen (&listen, error);

  if (rc != MD_OK)
    return rc;
  entry->metrics = (MdMetricsServer){ .address = settings->metrics_address,
                                      .start = md_front_start_metrics,
                                      .user = entry->front };
  return MD_OK;
}

static int
start_components (MdRunEntry *entry, MdError *error)
{
  const MdSettings *settings = &entry->daemon.settings;

  md_directory_add (&entry->directory, md_str (own_address (settings)), entry->now);
  apply_settings (entry);
  entry->daemon.store = md_http_new (entry->daemon.links, MD_STORE_CONNECTIONS);
  if (settings->advisor_address[0] != '\0')
    entry->advisor = md_http_new (entry->daemon.links, 1);
  if (entry->daemon.store == NULL
      || (settings->advisor_address[0] != '\0' && entry->advisor == NULL))
    return md_error_set (error, MD_E_MEMORY, "start", "", "out of memory");
  return wait_for_ports (entry, error);
}

static int
run_entry (MdRunEntry *entry)
{
  MdError error = { 0 };
  int rc;

  entry->daemon.links = md_links_new (&entry->daemon.settings.tuning, &md_run_entry_handler, entry);
  if (entry->daemon.links == NULL)
    {
      md_log (MD_LOG_ERROR, "start", "step=links peer= detail=\"%s\"", strerror (errno));
      return MD_EXIT_FAILED;
    }
  md_daemon_catch_signals (entry->daemon.links);
  urcu_memb_register_thread ();
  rc = start_components (entry, &error);
  if (rc == MD_OK)
    {
      md_log (MD_LOG_INFO, "started", "incarnation=%llx caller_address=%s",
              (unsigned long long)entry->incarnation, entry->daemon.settings.caller_address);
      md_process_set_step (MD_STEP_RUNNING);
      run_loop (entry);
      finish_callers (entry);
      md_log (MD_LOG_INFO, "stopped", "jobs_done=%lld jobs_failed=%lld refused=%lld",
              (long long)atomic_load (&md_metrics[MD_M_JOBS_DONE]),
              (long long)atomic_load (&md_metrics[MD_M_JOBS_FAILED]),
              (long long)atomic_load (&md_metrics[MD_M_REFUSED]));
    }
  else if (md_daemon_is_stopping ())
    md_log (MD_LOG_INFO, "stopped", "step=%s reason=\"before the ports were open\"", error.step);
  else
    md_log (MD_LOG_ERROR, "start", "step=%s peer=%s detail=\"%s\"", error.step, error.peer,
            error.detail);
  return rc == MD_OK || md_daemon_is_stopping () ? MD_EXIT_OK : MD_EXIT_FAILED;
}

/* The threads of the HTTP servers run until the process ends, so that nothing that they use may be
   on this stack or freed. */
int
md_run_entry_main (int argc, const char **argv)
{
  static MdRunEntry entry;
  int rc;

  md_limit_arenas ();
  rc = md_daemon_open (&entry.daemon, argc, argv);
  if (rc != MD_EXIT_OK)
    return rc;
  md_http_init ();
  entry.incarnation = md_new_incarnation ();
  entry.now = md_now ();
  entry.next_order_id = 1;
  md_entry_start_begin (&entry.start, entry.now);
  return run_entry (&entry);
}
