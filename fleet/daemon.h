/* daemon.h -- what the daemons on the users' platform share */

#ifndef MD_DAEMON_H
#define MD_DAEMON_H

#include "http-async.h"
#include "leases.h"
#include "platform.h"

#include <sys/stat.h>

#define MD_METRICS_PATH "/metrics" /* on the metrics address of the settings */

/* Connections to the store: one for a read that waits, one for the rest. */
#define MD_STORE_CONNECTIONS 2L

/* ------------------------------------------------------------------ */
/* Start-up and signals (daemon.c)                                    */

typedef struct
{
  MdSettings settings;   /* from the file */
  MdLeases leases;       /* by the settings at the start */
  char *path;            /* of the file, owned */
  struct stat file_stat; /* as it was read last */
  MdTime file_check_due; /* next look at the file */
  MdLinks *links;        /* the engine's poll */
  MdHttp *store;         /* calls to the platform's store */
} MdDaemon;

/* md_daemon_open: parse "--config FILE", read the settings and open the log. Returns
   an exit code; MD_EXIT_OK to go on. */
int md_daemon_open (MdDaemon *daemon, int argc, const char **argv);
void md_daemon_close (MdDaemon *daemon);

/* md_daemon_reload: read the settings file again when SIGHUP has arrived or the file has
   changed. True when settings were taken over; a file with faults changes nothing. */
bool md_daemon_reload (MdDaemon *daemon, MdTime now);

static inline MdTime
md_time_min (MdTime a, MdTime b)
{
  return a < b ? a : b;
}

/* md_daemon_call: make a call that platform/ has written; see md_http_start. */
int md_daemon_call (MdHttp *http, const char *address, const MdPlatformCall *call, MdTime timeout,
                    MdHttpDone done, void *user);

/* md_daemon_catch_signals: SIGTERM and SIGINT stop the daemon, SIGHUP makes it read its
   settings again.
   md_daemon_is_stopping: SIGTERM or SIGINT has arrived; the poll of links wakes then. */
void md_daemon_catch_signals (MdLinks *links);
bool md_daemon_is_stopping (void);

/* ------------------------------------------------------------------ */
/* Keyed records of the store (keyed.c)                               */

/* Follows the newest record of each key of a topic. */
typedef struct MdKeyedReader MdKeyedReader;

/* md_keyed_reader_new: on_record is called from md_http_poll, in the order of offsets, and
   again for every key after records have been lost. */
MdKeyedReader *md_keyed_reader_new (MdHttp *http, const char *address, const char *topic,
                                    MdTime wait, MdKeyedRecordHandler on_record, void *user);
void md_keyed_reader_free (MdKeyedReader *keyed);
/* md_keyed_reader_poll: make calls that are due; returns when to call again. */
MdTime md_keyed_reader_poll (MdKeyedReader *keyed, MdTime now);
/* md_keyed_reader_loaded: the newest record of every key has been delivered. */
bool md_keyed_reader_loaded (const MdKeyedReader *keyed);

/* ------------------------------------------------------------------ */
/* Addresses of entries (directory.c)                                 */

#define MD_MAX_ENTRIES 512 /* entries known at a time; 180 on 675 VMs at the present share */

typedef struct
{
  char address[MD_MAX_ENTRIES][MD_ADDRESS_BYTES];
  MdTime last_seen[MD_MAX_ENTRIES]; /* when somebody named the address last */
  unsigned n;                       /* addresses */
} MdDirectory;

/* md_directory_add: true when the address was not known; the oldest one is dropped when
   the directory is full. */
bool md_directory_add (MdDirectory *directory, MdStr address, MdTime now);
void md_directory_remove (MdDirectory *directory, MdStr address);
/* md_directory_expire: addresses that nobody has named since. */
void md_directory_expire (MdDirectory *directory, MdTime since);
/* md_directory_add_seeds: the machines named in the settings, at the internal port. */
void md_directory_add_seeds (MdDirectory *directory, const MdSettings *settings, MdTime now);

#endif
