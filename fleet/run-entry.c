/* run-entry.c -- an entry on the users' platform

   It takes jobs from callers, places their tasks on guards and answers. It shares
   nothing with other entries but the guards: there is no owner, so the loss of an
   entry costs its own callers a repeated request and nobody else anything. The
   operator's configuration comes from the platform's store. */

#include "run-entry.h"
#include "http-client.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

/* A read waits so long, so that a silent connection is noticed before a configuration is
   overdue. */
#define CONFIG_WAIT (800 * MD_MS)
#define REGISTER_TIMEOUT (1500 * MD_MS)
#define REGISTER_RETRY (500 * MD_MS)
/* The balancer takes two probes, a second apart, to send no new connections; requests
   that come later than this on connections of before are rejected. */
#define LEAVE_AFTER (3000 * MD_MS)
#define FINISH_TIME (300 * MD_MS)  /* for the last responses */
#define LEAVE_MARGIN (900 * MD_MS) /* before the platform kills the process */

/* ------------------------------------------------------------------ */
/* Configuration                                                      */

static void
on_config_record (void *user, const MdKeyedRecord *record)
{
  MdRunEntry *entry = user;
  MdError error = { 0 };
  MdRoutes *routes;
  MdRoutes *former = entry->routes;

  if (!md_str_equal (record->key, MD_STR (MD_KEY_CONFIG)) || record->value.len == 0)
    return;
  routes = md_platform_parse_config (record->value, &error);
  if (routes == NULL)
    {
      md_log (MD_LOG_ERROR, "config-ignored", "offset=%llu reason=\"%s\"",
              (unsigned long long)record->offset, error.detail);
      return;
    }
  /* Versions grow; an older one is the past of the topic. */
  if (former != NULL && routes->version <= former->version)
    {
      md_routes_free (routes);
      return;
    }
  md_log (MD_LOG_INFO, "config-applied", "version=%llu former=%llu routes=%zu offset=%llu",
          (unsigned long long)routes->version,
          (unsigned long long)(former != NULL ? former->version : 0), routes->n,
          (unsigned long long)record->offset);
  md_gauge (MD_M_CONFIG_VERSION, (int64_t)routes->version);
  rcu_assign_pointer (entry->routes, routes);
  urcu_memb_synchronize_rcu ();
  md_routes_free (former);
}

/* ------------------------------------------------------------------ */
/* Registration                                                       */

static void
on_registered (void *user, const MdHttpAsyncResponse *answer)
{
  MdRunEntry *entry = user;

  entry->registering = false;
  entry->registered = answer->status == 200;
  entry->register_due = md_now () + REGISTER_RETRY;
  if (entry->registered)
    md_log (MD_LOG_INFO, "registered", "address=%s", entry->daemon.settings.internal_address);
  else
    md_log (MD_LOG_WARN, "register-failed", "status=%d reason=\"%s\"", answer->status,
            answer->error.detail);
}

/* Where guards reach this entry. */
static const char *
own_address (const MdSettings *settings)
{
  return settings->advertised_address[0] != '\0' ? settings->advertised_address
                                                 : settings->internal_address;
}

/* The record has a key, so that a repeated append changes nothing. */
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
  entry->register_due = entry->now + REGISTER_RETRY;
  return entry->register_due;
}

/* What is not read from the settings at each use. */
static void
take_settings (MdRunEntry *entry)
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
    if (entry->workers.workers[i]->connected && entry->workers.workers[i]->state == MD_WORKER_READY)
      return true;
  return false;
}

/* Once per heartbeat is often enough for gauges. */
static void
update_gauges (MdRunEntry *entry)
{
  int64_t ready = 0;
  int64_t avoided = 0;

  if (entry->now < entry->gauges_due)
    return;
  entry->gauges_due = entry->now + entry->daemon.leases.heartbeat_interval;
  for (uint32_t i = 0; i < entry->workers.n; i++)
    {
      const MdWorker *worker = entry->workers.workers[i];

      ready += worker->connected && worker->state == MD_WORKER_READY;
      avoided += worker->stalled || entry->now < worker->avoid_until;
    }
  md_gauge (MD_M_WORKERS_READY, ready);
  md_gauge (MD_M_WORKERS_AVOIDED, avoided);
  md_gauge (MD_M_JOBS_ACTIVE, entry->n_jobs);
}

static void
update_ready (MdRunEntry *entry)
{
  bool ready = entry->routes != NULL && has_upstream (entry) && !entry->leaving;

  if (ready == atomic_load (&entry->ready))
    return;
  atomic_store (&entry->ready, ready);
  md_log (MD_LOG_INFO, "readiness", "ready=%d configured=%d upstream=%d leaving=%d", ready,
          entry->routes != NULL, has_upstream (entry), entry->leaving);
}

static void
begin_leaving (MdRunEntry *entry)
{
  MdTime grace = entry->daemon.settings.drain_timeout - LEAVE_MARGIN;

  if (entry->leaving || !md_daemon_is_stopping ())
    return;
  entry->leaving = true;
  entry->reject_after = entry->now + LEAVE_AFTER;
  entry->drain_deadline = entry->now + (grace > 0 ? grace : 0);
  md_front_disable_keep_alive (entry->front);
  md_log (MD_LOG_INFO, "leaving", "jobs=%u", entry->n_jobs);
}

/* What comes after the balancer knows is rejected, so that what was taken in before has
   the rest of the grace time to end. */
static bool
has_left (MdRunEntry *entry)
{
  if (!entry->leaving)
    return false;
  if (entry->now >= entry->reject_after)
    atomic_store (&entry->closed, true);
  return entry->now >= entry->drain_deadline
         || (entry->now >= entry->reject_after && entry->n_jobs == 0
             && atomic_load (&entry->active_requests) == 0);
}

static void
take_caller_requests (MdRunEntry *entry)
{
  for (MdInboxNode *node = md_inbox_take (&entry->inbox), *next; node != NULL; node = next)
    {
      next = node->next;
      md_entry_handle_request (entry, (MdCallerRequest *)node);
    }
}

static MdTime
poll_advisor (MdRunEntry *entry)
{
  MdTime due = md_http_poll (entry->advisor);

  due = md_time_min (due, md_entry_advice_poll (entry));
  /* A call that was just made has work of its own to do. */
  return md_time_min (due, md_http_poll (entry->advisor));
}

static void
run_loop (MdRunEntry *entry)
{
  while (!has_left (entry))
    {
      MdTime due;

      entry->now = md_now ();
      begin_leaving (entry);
      if (md_daemon_reload (&entry->daemon, entry->now))
        take_settings (entry);
      take_caller_requests (entry);
      md_entry_jobs_tick (entry);
      update_ready (entry);
      update_gauges (entry);
      due = md_entry_guards_poll (entry);
      if (entry->leaving && entry->now < entry->reject_after)
        due = md_time_min (due, entry->reject_after);
      due = md_time_min (due, md_keyed_reader_poll (entry->config_reader, entry->now));
      due = md_time_min (due, poll_registration (entry));
      due = md_time_min (due, md_http_poll (entry->daemon.store));
      if (entry->advisor != NULL)
        due = md_time_min (due, poll_advisor (entry));
      if (entry->n_jobs > 0)
        due = md_time_min (due, entry->next_tick);
      md_observe (MD_H_LOOP, md_now () - entry->now);
      md_links_poll (entry->daemon.links, due);
      entry->now = md_now ();
      md_http_poll (entry->daemon.store);
    }
}

/* Answers everybody who still waits or comes, and waits until that is written. */
static void
finish_callers (MdRunEntry *entry)
{
  MdTime until = md_now () + FINISH_TIME;

  atomic_store (&entry->closed, true);
  md_entry_fail_all (entry);
  while (atomic_load (&entry->active_requests) > 0 && md_now () < until)
    {
      struct timespec pause = { 0, 5 * 1000 * 1000 };

      for (MdInboxNode *node = md_inbox_take (&entry->inbox), *next; node != NULL; node = next)
        {
          next = node->next;
          md_entry_reject_request ((MdCallerRequest *)node);
        }
      nanosleep (&pause, NULL);
    }
  if (atomic_load (&entry->active_requests) > 0)
    md_log (MD_LOG_WARN, "callers-left-behind", "requests=%d",
            atomic_load (&entry->active_requests));
}

static int
start_parts (MdRunEntry *entry, MdError *error)
{
  const MdSettings *settings = &entry->daemon.settings;
  char bound[MD_ADDRESS_BYTES];
  int rc = md_links_listen (entry->daemon.links, md_str (settings->internal_address), bound, error);

  if (rc != MD_OK)
    return rc;
  md_directory_add (&entry->directory, md_str (own_address (settings)), entry->now);
  take_settings (entry);
  entry->daemon.store = md_http_new (entry->daemon.links, MD_STORE_CONNECTIONS);
  if (settings->advisor_address[0] != '\0')
    entry->advisor = md_http_new (entry->daemon.links, 1);
  entry->config_reader
      = md_keyed_reader_new (entry->daemon.store, settings->store_address, MD_TOPIC_OPERATOR,
                             CONFIG_WAIT, on_config_record, entry);
  if (entry->daemon.store == NULL || entry->config_reader == NULL
      || (settings->advisor_address[0] != '\0' && entry->advisor == NULL))
    return md_error_set (error, MD_E_MEMORY, "start", "", "out of memory");
  entry->front = md_front_start (entry, error);
  return entry->front != NULL ? MD_OK : MD_E_IO;
}

static int
run_entry (MdRunEntry *entry)
{
  MdError error = { 0 };
  int rc;

  entry->daemon.links = md_links_new (&entry->daemon.settings.tuning, &md_run_entry_handler, entry);
  if (entry->daemon.links == NULL)
    return MD_EXIT_FAILED;
  md_daemon_catch_signals (entry->daemon.links);
  urcu_memb_register_thread ();
  rc = start_parts (entry, &error);
  if (rc == MD_OK)
    {
      md_log (MD_LOG_INFO, "started", "incarnation=%llx caller_address=%s",
              (unsigned long long)entry->incarnation, entry->daemon.settings.caller_address);
      run_loop (entry);
      finish_callers (entry);
      md_log (MD_LOG_INFO, "stopped", "jobs_done=%lld jobs_failed=%lld refused=%lld",
              (long long)atomic_load (&md_metrics[MD_M_JOBS_DONE]),
              (long long)atomic_load (&md_metrics[MD_M_JOBS_FAILED]),
              (long long)atomic_load (&md_metrics[MD_M_REFUSED]));
    }
  else
    md_log (MD_LOG_ERROR, "start", "step=%s peer=%s detail=\"%s\"", error.step, error.peer,
            error.detail);
  if (rc == MD_OK)
    {
      /* Threads that hold idle connections take seconds to end. */
      md_log_stop_writer ();
      _exit (MD_EXIT_OK);
    }
  md_front_stop (entry->front);
  md_keyed_reader_free (entry->config_reader);
  urcu_memb_unregister_thread ();
  return rc == MD_OK ? MD_EXIT_OK : MD_EXIT_FAILED;
}

int
md_run_entry_main (int argc, const char **argv)
{
  static MdRunEntry entry;
  int rc = md_daemon_open (&entry.daemon, argc, argv);

  if (rc != MD_EXIT_OK)
    return rc;
  md_http_init ();
  entry.incarnation = md_new_incarnation ();
  entry.now = md_now ();
  entry.next_order_id = 1;
  rc = run_entry (&entry);
  md_entry_free_guards (&entry);
  md_routes_free (entry.routes);
  for (uint32_t i = 0; i < entry.n_stats; i++)
    free (entry.stats[i]);
  md_daemon_close (&entry.daemon);
  return rc;
}
