/* process.c -- life of a daemon process: its first line, its threads and its end

   The first line is written before the settings are read, so that a process that fails to start
   leaves a trace. All daemons end in md_process_end, which frees nothing: threads of the HTTP
   servers and of libraries cannot be stopped within the time that a supervisor grants, and memory
   or library state must not be released while they run. */

#include "process.h"

#include <errno.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/utsname.h>
#include <unistd.h>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

#define STAT_START_TIME 19 /* spaces between the command and field 22 of /proc/self/stat */

static _Atomic MdTime begun_at;     /* when md_process_begin was called */
static _Atomic MdProcessStep step;  /* last step reached */
static atomic_int stop_signal;      /* 0: none has been received */
static atomic_int stop_sender;      /* process that sent it, 0: the kernel */
static atomic_uint stop_sender_uid; /* user of that process */

void
md_process_set_step (MdProcessStep next)
{
  atomic_store (&step, next);
}

const char *
md_process_step_name (void)
{
  static const char *const names[]
      = { "begin", "settings", "components", "running", "leaving", "ending" };

  return names[atomic_load (&step)];
}

MdTime
md_process_uptime (void)
{
  return md_now () - atomic_load (&begun_at);
}

void
md_process_note_signal (const siginfo_t *info)
{
  int none = 0;

  if (!atomic_compare_exchange_strong (&stop_signal, &none, info->si_signo))
    return;
  if (info->si_code > 0)
    return;
  atomic_store (&stop_sender, (int)info->si_pid);
  atomic_store (&stop_sender_uid, (unsigned)info->si_uid);
}

/* Time from the start of the process, which the kernel counts in clock ticks, until now. It goes
   into loading the shared libraries. -1: unknown. */
static long long
loading_ms (MdTime now)
{
  MD_AUTO_BUF text = { 0 };
  FILE *file = fopen ("/proc/self/stat", "re");
  const char *at;
  long long ticks;

  if (file == NULL)
    return -1;
  if (!md_stream_read (file, 4096, &text) || text.len == 0)
    {
      fclose (file);
      return -1;
    }
  fclose (file);
  at = strrchr (text.data, ')');
  for (int i = 0; at != NULL && i <= STAT_START_TIME; i++)
    at = strchr (at + 1, ' ');
  if (at == NULL)
    return -1;
  ticks = strtoll (at, NULL, 10);
  return now / MD_MS - ticks * 1000 / sysconf (_SC_CLK_TCK);
}

/* A limit of the process; -1: unlimited or unknown. */
static long long
limit_of (int resource)
{
  struct rlimit limit;

  if (getrlimit ((unsigned)resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return -1;
  return (long long)limit.rlim_cur;
}

void
md_process_begin (const char *command, int log_fd, bool sighup_ignored)
{
  MdTime now = md_now ();
  struct utsname system = { 0 };

  atomic_store (&begun_at, now);
  md_log_open (log_fd, command, MD_LOG_INFO);
  md_fatal_signals_catch ();
  md_fatal_signals_prepare_thread ();
  uname (&system);
  md_log (MD_LOG_INFO, "process-begin",
          "pid=%d version=%s loading_ms=%lld sighup=%s kernel=%s descriptors=%lld threads=%lld "
          "stack_bytes=%lld",
          (int)getpid (), MD_VERSION, loading_ms (now), sighup_ignored ? "ignored" : "default",
          system.release, limit_of (RLIMIT_NOFILE), limit_of (RLIMIT_NPROC),
          limit_of (RLIMIT_STACK));
}

static const char *
end_reason (int status)
{
  if (status != MD_EXIT_OK)
    return atomic_load (&step) < MD_STEP_RUNNING ? "start-failed" : "failed";
  return atomic_load (&stop_signal) != 0 ? "signal" : "done";
}

void
md_process_end (int status)
{
  const char *reason = end_reason (status);
  const char *last_step = md_process_step_name ();
  struct rusage usage = { 0 };

  getrusage (RUSAGE_SELF, &usage);
  md_process_set_step (MD_STEP_ENDING);
  md_log_end (status == MD_EXIT_OK ? MD_LOG_INFO : MD_LOG_ERROR, "process-end",
              "pid=%d status=%d reason=%s step=%s signal=%d sender_pid=%d sender_uid=%u "
              "uptime_ms=%lld peak_kb=%ld",
              (int)getpid (), status, reason, last_step, atomic_load (&stop_signal),
              atomic_load (&stop_sender), atomic_load (&stop_sender_uid),
              (long long)(md_process_uptime () / MD_MS), usage.ru_maxrss);
#ifdef __SANITIZE_ADDRESS__
  /* The sanitizer's own check is an exit handler. */
  __lsan_do_leak_check ();
#endif
  _exit (status);
}

/* ------------------------------------------------------------------ */
/* Threads                                                            */

typedef struct
{
  void *(*run) (void *);
  void *data; /* argument of run */
} ThreadStart;

static void *
run_thread (void *data)
{
  ThreadStart start = *(ThreadStart *)data;

  free (data);
  md_fatal_signals_prepare_thread ();
  return start.run (start.data);
}

int
md_thread_create (pthread_t *thread, const pthread_attr_t *attributes, void *(*run) (void *),
                  void *data)
{
  ThreadStart *start = malloc (sizeof *start);
  int rc;

  if (start == NULL)
    return ENOMEM;
  *start = (ThreadStart){ run, data };
  rc = pthread_create (thread, attributes, run_thread, start);
  if (rc != 0)
    free (start);
  return rc;
}
