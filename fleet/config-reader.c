/* config-reader.c -- the operator's configuration and evacuations, followed in a thread of its own

   Both are records of one topic and are read with the same calls. */

#include "config-reader.h"
#include "process.h"

#include <pthread.h>
#include <urcu/urcu-memb.h>

/* Long-polling time of a read; short enough to detect a silent connection before a new
   configuration is overdue. */
#define READ_WAIT (800 * MD_MS)

struct MdConfigReader
{
  MdLinks *links;                 /* event loop of the thread, without links; owned */
  MdHttp *http;                   /* calls to the store, owned */
  MdKeyedReader *records;         /* of the operator's topic, owned */
  _Atomic (MdRoutes *) routes;    /* RCU: configuration in force, owned; NULL: none yet */
  _Atomic MdTime confirmed_at;    /* all records of that time have been applied, 0: never */
  void (*on_change) (void *user); /* called after routes or evacuated has changed */
  void *user;                     /* argument of on_change */
  pthread_t thread;
  bool started;         /* the thread has been created */
  atomic_bool stopping; /* the thread is to end */

  /* RCU: evacuated domains, owned; NULL: not known yet */
  _Atomic (MdEvacuated *) evacuated;
  MdEvacuationLog evacuations; /* used by the thread only */
};

/* ------------------------------------------------------------------ */
/* Evacuations                                                        */

static void
apply_evacuation (MdConfigReader *reader, const MdKeyedRecord *record, MdStr domain, bool evacuated)
{
  char name[MD_NAME_BYTES];

  if (!md_evacuation_record (&reader->evacuations, domain, evacuated, record->offset))
    md_log (MD_LOG_ERROR, "evacuation-ignored",
            "domain=%s offset=%llu reason=\"too many domains, or no name of a domain\" max=%d",
            md_log_quote (domain, name, sizeof name), (unsigned long long)record->offset,
            MD_MAX_EVACUATED);
}

/* Publishes the set when it or its version has changed. Without memory it is tried again after the
   next call to the store. */
static void
publish_evacuated (MdConfigReader *reader)
{
  const MdEvacuated *known = &reader->evacuations.known;
  MdEvacuated *previous = atomic_load (&reader->evacuated);
  MdEvacuated *next;

  if (known->version == 0 || (previous != NULL && previous->version == known->version))
    return;
  next = malloc (sizeof *next);
  if (next == NULL)
    return;
  *next = *known;
  atomic_store_explicit (&reader->evacuated, next, memory_order_release);
  reader->on_change (reader->user);
  urcu_memb_synchronize_rcu ();
  free (previous);
}

/* Called after each event. Of a call to the store, all records have been delivered then. */
static void
follow_evacuations (MdConfigReader *reader)
{
  uint64_t end = md_keyed_reader_next_offset (reader->records);

  if (!md_keyed_reader_loaded (reader->records))
    md_evacuation_begin_pages (&reader->evacuations);
  else if (!md_evacuation_read_up_to (&reader->evacuations, end))
    md_log (MD_LOG_ERROR, "evacuations-outdated", "end=%llu version=%llu action=\"none\"",
            (unsigned long long)end, (unsigned long long)reader->evacuations.known.version);
  publish_evacuated (reader);
}

/* ------------------------------------------------------------------ */
/* Configuration                                                      */

static void
apply_config (MdConfigReader *reader, const MdKeyedRecord *record)
{
  MdError error = { 0 };
  MdRoutes *routes;
  MdRoutes *previous = atomic_load (&reader->routes);

  if (record->value.len == 0)
    return;
  routes = md_platform_parse_config (record->value, &error);
  if (routes == NULL)
    {
      md_log (MD_LOG_ERROR, "config-ignored", "offset=%llu reason=\"%s\"",
              (unsigned long long)record->offset, error.detail);
      md_count (MD_M_CONFIGS_IGNORED, 1);
      return;
    }
  /* Versions increase; an older one is an earlier record that was read again. */
  if (previous != NULL && routes->version <= previous->version)
    {
      md_routes_free (routes);
      return;
    }
  md_log (MD_LOG_INFO, "config-applied",
          "version=%llu former=%llu routes=%zu ignored_routes=%zu offset=%llu former_age_ms=%lld",
          (unsigned long long)routes->version,
          (unsigned long long)(previous != NULL ? previous->version : 0), routes->n,
          routes->n_ignored, (unsigned long long)record->offset,
          (long long)(md_config_reader_age (reader) / MD_MS));
  md_gauge (MD_M_CONFIG_VERSION, (int64_t)routes->version);
  md_gauge (MD_M_CONFIG_ROUTES, (int64_t)routes->n);
  md_gauge (MD_M_CONFIG_ROUTES_IGNORED, (int64_t)routes->n_ignored);
  atomic_store_explicit (&reader->routes, routes, memory_order_release);
  reader->on_change (reader->user);
  urcu_memb_synchronize_rcu ();
  md_routes_free (previous);
}

static void
on_record (void *user, const MdKeyedRecord *record)
{
  MdConfigReader *reader = user;
  MdStr domain;
  bool evacuated;

  if (md_str_equal (record->key, MD_STR (MD_KEY_CONFIG)))
    apply_config (reader, record);
  else if (md_platform_parse_evacuation (record, &domain, &evacuated))
    apply_evacuation (reader, record, domain, evacuated);
}

/* ------------------------------------------------------------------ */
/* Thread                                                             */

static void *
run (void *data)
{
  MdConfigReader *reader = data;

  urcu_memb_register_thread ();
  md_evacuation_begin_pages (&reader->evacuations);
  while (!atomic_load (&reader->stopping))
    {
      MdTime due = md_keyed_reader_poll (reader->records, md_now ());

      due = md_time_min (due, md_http_poll (reader->http));
      md_links_poll (reader->links, due);
      md_http_poll (reader->http);
      atomic_store (&reader->confirmed_at, md_keyed_reader_confirmed_at (reader->records));
      follow_evacuations (reader);
    }
  urcu_memb_unregister_thread ();
  return NULL;
}

static int
start (MdConfigReader *reader, const MdSettings *settings, MdError *error)
{
  static const MdLinkHandler no_links = { 0 };

  reader->links = md_links_new (&settings->tuning, &no_links, NULL);
  if (reader->links != NULL)
    reader->http = md_http_new (reader->links, MD_STORE_CONNECTIONS);
  if (reader->http != NULL)
    reader->records = md_keyed_reader_new (reader->http, settings->store_address, MD_TOPIC_OPERATOR,
                                           READ_WAIT, on_record, reader);
  if (reader->records == NULL)
    return md_error_set (error, MD_E_MEMORY, "config-reader", "", "out of memory");
  reader->started = md_thread_create (&reader->thread, NULL, run, reader) == 0;
  if (!reader->started)
    return md_error_set (error, MD_E_IO, "config-reader", "", "cannot create a thread");
  return MD_OK;
}

MdConfigReader *
md_config_reader_start (const MdSettings *settings, void (*on_change) (void *user), void *user,
                        MdError *error)
{
  MdConfigReader *reader = calloc (1, sizeof *reader);

  if (reader == NULL)
    {
      md_error_set (error, MD_E_MEMORY, "config-reader", "", "out of memory");
      return NULL;
    }
  reader->on_change = on_change;
  reader->user = user;
  if (start (reader, settings, error) == MD_OK)
    return reader;
  md_config_reader_stop (reader);
  return NULL;
}

void
md_config_reader_stop (MdConfigReader *reader)
{
  if (reader == NULL)
    return;
  atomic_store (&reader->stopping, true);
  if (reader->started)
    {
      md_links_wake (reader->links);
      pthread_join (reader->thread, NULL);
    }
  md_http_free (reader->http);
  md_keyed_reader_free (reader->records);
  md_links_free (reader->links);
  md_routes_free (atomic_load (&reader->routes));
  free (atomic_load (&reader->evacuated));
  free (reader);
}

const MdRoutes *
md_config_reader_routes (const MdConfigReader *reader)
{
  if (md_config_reader_evacuated (reader) == NULL)
    return NULL;
  return atomic_load_explicit (&reader->routes, memory_order_acquire);
}

const MdEvacuated *
md_config_reader_evacuated (const MdConfigReader *reader)
{
  return atomic_load_explicit (&reader->evacuated, memory_order_acquire);
}

bool
md_config_reader_loaded (const MdConfigReader *reader)
{
  return md_config_reader_routes (reader) != NULL;
}

MdTime
md_config_reader_age (const MdConfigReader *reader)
{
  MdTime confirmed_at = atomic_load (&reader->confirmed_at);

  return confirmed_at > 0 ? md_now () - confirmed_at : -MD_MS;
}
