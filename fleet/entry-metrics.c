/* entry-metrics.c -- metrics of an entry, with job counters by queue

   A configuration may have hundreds of queues. To limit the number of time series, only the
   first MAX_QUEUE_LABELS queues that had a job have their own; the others are added up
   under the label "others". */

#include "run-entry.h"

#define MAX_QUEUE_LABELS 32

static const char *const outcome_names[MD_JOB_OUTCOME_COUNT]
    = { "in_goal", "late", "failed", "rejected", "given_up", "caller_left" };

/* Writes the name of a queue as the value of a label. */
static void
write_queue (MdBuf *out, const char *name)
{
  for (const char *p = name; *p != '\0'; p++)
    if (*p == '\n')
      md_buf_append (out, MD_STR ("\\n"));
    else
      md_buf_printf (out, *p == '"' || *p == '\\' ? "\\%c" : "%c", *p);
}

static void
write_rows (MdBuf *out, const char *queue, const int64_t counts[MD_JOB_OUTCOME_COUNT])
{
  for (int i = 0; i < MD_JOB_OUTCOME_COUNT; i++)
    {
      md_buf_append (out, MD_STR ("mulberrydrift_queue_jobs_total{queue=\""));
      write_queue (out, queue);
      md_buf_printf (out, "\",outcome=\"%s\"} %lld\n", outcome_names[i], (long long)counts[i]);
    }
}

void
md_entry_write_metrics (MdRunEntry *entry, MdBuf *out)
{
  uint32_t n = atomic_load (&entry->n_stats);
  int64_t others[MD_JOB_OUTCOME_COUNT] = { 0 };

  md_metrics_update_process ();
  md_gauge (MD_M_CONFIG_AGE, md_config_reader_age (entry->config) / MD_MS);
  md_metrics_write (out);
  md_buf_append (out, MD_STR ("# HELP mulberrydrift_queue_jobs_total Jobs by queue and answer.\n"
                              "# TYPE mulberrydrift_queue_jobs_total counter\n"));
  for (uint32_t q = 0; q < n; q++)
    {
      int64_t counts[MD_JOB_OUTCOME_COUNT];

      for (int i = 0; i < MD_JOB_OUTCOME_COUNT; i++)
        {
          counts[i] = atomic_load (&entry->stats[q]->counts[i]);
          if (q >= MAX_QUEUE_LABELS)
            others[i] += counts[i];
        }
      if (q < MAX_QUEUE_LABELS)
        write_rows (out, entry->stats[q]->name, counts);
    }
  if (n > MAX_QUEUE_LABELS)
    write_rows (out, "others", others);
}
