/* entry-load.c -- whether an entry has the processor time that its callers and guards need

   The processor share of a VM may be a tenth of a core. When it is used up, everything is
   late at once: requests are read late, starts and ends are seen late, and guards stop hearing
   the entry. None of that shows in the lines of a single job, so the entry writes what it did
   and how late it was in regular intervals. */

#include "run-entry.h"

#include <time.h>

#define LOAD_LOG_INTERVAL (5 * MD_SECOND)
#define MIN_LOG_INTERVAL (1 * MD_SECOND) /* between two lines, however late the engine is */
#define MAX_USUAL_LAG (50 * MD_MS)       /* more is logged at once; half of a heartbeat */

static MdTime
processor_time (clockid_t clock)
{
  struct timespec time;

  if (clock_gettime (clock, &time) != 0)
    return 0;
  return (MdTime)time.tv_sec * MD_SECOND + time.tv_nsec / 1000;
}

static int64_t
counter (MdMetric metric)
{
  return atomic_load_explicit (&md_metrics[metric], memory_order_relaxed);
}

static MdEntryLoadCounts
read_counts (void)
{
  return (MdEntryLoadCounts){ .jobs = counter (MD_M_JOBS),
                              .connections = counter (MD_M_CALLER_CONNECTIONS),
                              .frames = counter (MD_M_FRAMES_RECEIVED),
                              .processor = processor_time (CLOCK_PROCESS_CPUTIME_ID),
                              .engine = processor_time (CLOCK_THREAD_CPUTIME_ID) };
}

static void
log_load (MdEntryLoad *load, MdTime now)
{
  MdEntryLoadCounts counts = read_counts ();

  if (load->log_due > 0)
    md_log (MD_LOG_INFO, "load",
            "interval_ms=%lld jobs=%lld connections=%lld passes=%lld frames=%lld processor_ms=%lld "
            "engine_ms=%lld max_wait_ms=%lld max_lag_ms=%lld",
            (long long)((now - load->logged_at) / MD_MS),
            (long long)(counts.jobs - load->logged.jobs),
            (long long)(counts.connections - load->logged.connections), (long long)load->passes,
            (long long)(counts.frames - load->logged.frames),
            (long long)((counts.processor - load->logged.processor) / MD_MS),
            (long long)((counts.engine - load->logged.engine) / MD_MS),
            (long long)(load->max_wait / MD_MS), (long long)(load->max_lag / MD_MS));
  load->logged = counts;
  load->logged_at = now;
  load->passes = 0;
  load->max_wait = 0;
  load->max_lag = 0;
  load->log_due = now + LOAD_LOG_INTERVAL;
}

/* Rejecting a job costs the engine a wake-up and the log lines of a forecast. When it would reject
   every job, the threads that read the requests do that. */
static void
update_overloaded (MdEntryLoad *load, MdTime now)
{
  bool overloaded = md_admit_rejects_all (md_lag_shortage (&load->lag, now));

  if (overloaded == atomic_load (&load->overloaded))
    return;
  atomic_store (&load->overloaded, overloaded);
  md_log (MD_LOG_WARN, "overloaded", "overloaded=%d lag_ms=%lld", overloaded,
          (long long)(md_lag_now (&load->lag, now) / MD_MS));
}

void
md_entry_load_pass (MdEntryLoad *load, MdTime due, MdTime now)
{
  MdTime lag = now > due ? now - due : 0;

  load->passes++;
  md_lag_add (&load->lag, lag, now);
  md_shortage_add_lag (&load->pressure, lag, now);
  update_overloaded (load, now);
  if (lag > 0)
    md_observe (MD_H_ENGINE_LAG, lag);
  if (lag > load->max_lag)
    load->max_lag = lag;
  if (now >= load->log_due || (lag > MAX_USUAL_LAG && now >= load->logged_at + MIN_LOG_INTERVAL))
    log_load (load, now);
}

void
md_entry_load_request (MdEntryLoad *load, MdTime wait, MdTime now)
{
  md_lag_add (&load->lag, wait, now);
  md_shortage_add_lag (&load->pressure, wait, now);
  update_overloaded (load, now);
  md_observe (MD_H_REQUEST_WAIT, wait);
  if (wait > load->max_wait)
    load->max_wait = wait;
}
