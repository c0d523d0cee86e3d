/* daemon.h -- functions shared by run-entry and run-guard, the daemons on the users' platform */

#ifndef MD_DAEMON_H
#define MD_DAEMON_H

#include "http-async.h"
#include "leases.h"
#include "platform.h"

#define MD_METRICS_PATH "/metrics" /* served on metrics_address */

/* One connection for a long-polling read, one for all other calls. */
#define MD_STORE_CONNECTIONS 2L

/* ------------------------------------------------------------------ */
/* Startup and signals (daemon.c)                                     */

typedef struct
{
  MdSettings settings; /* in force */
  MdLeases leases;     /* derived from the settings at startup; not reloaded */
  char *path;          /* of the settings file, owned */
  MdSettingsFile file; /* state of the settings file */
  MdLinks *links;      /* event loop of the engine thread, owned */
  MdHttp *store;       /* calls to the platform's store, owned */
} MdDaemon;

/* md_daemon_open: parse "--config FILE", wait for usable settings (md_settings_wait) and open the
   log. Errors are printed to stderr. Returns MD_EXIT_OK, or the exit code of the process.
   daemon has to last as long as the process, which frees nothing of it, see process.h. */
int md_daemon_open (MdDaemon *daemon, int argc, const char **argv);

/* md_daemon_reload: read the settings file again after SIGHUP, or if it has changed, once it has
   not changed for 300 ms (md_settings_file_changed). Must be called by daemon->file.check_due.
   Returns true if a setting was changed; a file with errors is ignored. */
bool md_daemon_reload (MdDaemon *daemon, MdTime now);

static inline MdTime
md_time_min (MdTime a, MdTime b)
{
  return a < b ? a : b;
}

/* md_daemon_call: start an HTTP call that was built by a function of platform.h. call can be
   freed afterwards. Returns what md_http_start returns. */
int md_daemon_call (MdHttp *http, const char *address, const MdPlatformCall *call, MdTime timeout,
                    MdHttpDone done, void *user);

/* md_daemon_catch_signals: install handlers for SIGTERM and SIGINT, which stop the daemon, and
   for SIGHUP, which reloads the settings. Each signal wakes md_links_poll. */
void md_daemon_catch_signals (MdLinks *links);
/* md_daemon_is_stopping: whether SIGTERM or SIGINT has been received. */
bool md_daemon_is_stopping (void);

/* ------------------------------------------------------------------ */
/* Metrics (metrics-server.c)                                         */

struct mg_context; /* of CivetWeb */

/* Owner sets address, start and user; the rest is zero-initialized. */
typedef struct
{
  const char *address; /* metrics_address; empty: no server */
  /* Starts the server; NULL on failure. */
  struct mg_context *(*start) (void *user, const char *address, MdError *error);
  void *user;                /* first argument of start */
  struct mg_context *server; /* NULL: not started */
  MdTime due;                /* next attempt */
  int logged;                /* errno of the last failure, -1 without one, 0 none */
} MdMetricsServer;

/* md_metrics_server_poll: start the server if it has not been started, at most once a second. A
   failure is logged. Returns when it must be called again. */
MdTime md_metrics_server_poll (MdMetricsServer *server, MdTime now);

/* ------------------------------------------------------------------ */
/* Keyed records of the store (keyed.c)                               */

/* Reads the newest record of each key of a topic and follows later changes. */
typedef struct MdKeyedReader MdKeyedReader;

/* md_keyed_reader_new: create a reader; the first call is made by md_keyed_reader_poll. address
   is the store's. topic is borrowed. wait is the long-polling time of a read. on_record is
   called from md_http_poll; it receives the newest record of every key first, then new records
   in the order of offsets. When the store no longer has the next record, the newest record of
   every key is delivered again. Returns NULL when out of memory. */
MdKeyedReader *md_keyed_reader_new (MdHttp *http, const char *address, const char *topic,
                                    MdTime wait, MdKeyedRecordHandler on_record, void *user);
/* md_keyed_reader_free: free the reader. The MdHttp must not call back any more. */
void md_keyed_reader_free (MdKeyedReader *keyed);
/* md_keyed_reader_poll: start the next call if it is due. Returns when it must be called
   again. */
MdTime md_keyed_reader_poll (MdKeyedReader *keyed, MdTime now);
/* md_keyed_reader_loaded: whether the newest record of every key has been delivered. */
bool md_keyed_reader_loaded (const MdKeyedReader *keyed);
/* md_keyed_reader_next_offset: the lowest offset that has not been delivered, once the newest
   record of every key has been. */
uint64_t md_keyed_reader_next_offset (const MdKeyedReader *keyed);
/* md_keyed_reader_confirmed_at: the latest time of which all records are known to have been
   delivered: the start of the last call that found no further one. 0: never. */
MdTime md_keyed_reader_confirmed_at (const MdKeyedReader *keyed);

/* ------------------------------------------------------------------ */
/* Addresses of entries (directory.c)                                 */

#define MD_MAX_ENTRIES 512 /* 675 VMs have 180 entries at the present ratio */

typedef struct
{
  char address[MD_MAX_ENTRIES][MD_ADDRESS_BYTES]; /* least recently added first */
  MdTime last_seen[MD_MAX_ENTRIES];               /* when the address was added last */
  unsigned n;                                     /* addresses in use */
} MdDirectory;

/* md_directory_add: add an address ("ip:port") or update its last_seen. If the directory is
   full, the address added first is removed. Returns true if the address is new; an invalid
   address is ignored. */
bool md_directory_add (MdDirectory *directory, MdStr address, MdTime now);
/* md_directory_last_seen: when the address was added last, 0 if it is unknown. */
MdTime md_directory_last_seen (const MdDirectory *directory, MdStr address);
/* md_directory_remove: remove an address; does nothing if it is unknown. */
void md_directory_remove (MdDirectory *directory, MdStr address);
/* md_directory_expire: remove the addresses last seen before since. */
void md_directory_expire (MdDirectory *directory, MdTime since);
/* md_directory_add_seeds: add the IP addresses of the seeds in the settings, each with the
   internal port of all entries (entry_port). */
void md_directory_add_seeds (MdDirectory *directory, const MdSettings *settings, MdTime now);

#endif
