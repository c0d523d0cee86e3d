/* metrics.c -- metrics of the process and their text export

   Counters and gauges are atomics in one array indexed by MdMetric. They are updated
   with relaxed memory order, because no reader infers an order between two of them.
   They are listed in metrics.def, the histograms in histograms.def. */

#include "md-private.h"

#include <dirent.h>
#include <stdio.h>
#include <unistd.h>

_Atomic int64_t md_metrics[MD_METRIC_COUNT];

static const struct
{
  MdMetricType type;
  const char *name; /* exported name */
  const char *help; /* one sentence */
} metric_descriptions[MD_METRIC_COUNT] = {
#define MD_METRIC(id, type, name, help) [id] = { type, name, help },
#include "metrics.def"
#undef MD_METRIC
};

/* Inclusive upper bounds of the buckets, in microseconds; the last bucket has none. */
static const MdTime bucket_bounds[]
    = { 1 * MD_MS,   2 * MD_MS,   5 * MD_MS,   10 * MD_MS,    20 * MD_MS,    50 * MD_MS,
        100 * MD_MS, 200 * MD_MS, 500 * MD_MS, 1 * MD_SECOND, 2 * MD_SECOND, 5 * MD_SECOND };
#define BUCKETS (MD_ARRAY_SIZE (bucket_bounds) + 1)

static struct
{
  _Atomic int64_t buckets[BUCKETS]; /* not cumulative */
  _Atomic int64_t sum;              /* microseconds */
} histograms[MD_HISTOGRAM_COUNT];

static const struct
{
  const char *name;  /* exported name */
  const char *label; /* name="value"; empty: none */
  const char *help;  /* one sentence; empty: an earlier row of the name has it */
} histogram_descriptions[MD_HISTOGRAM_COUNT] = {
#define MD_HISTOGRAM(id, name, label, help) [id] = { name, label, help },
#include "histograms.def"
#undef MD_HISTOGRAM
};

void
md_observe (MdHistogram histogram, MdTime time)
{
  size_t i = 0;

  while (i < MD_ARRAY_SIZE (bucket_bounds) && time > bucket_bounds[i])
    i++;
  atomic_fetch_add_explicit (&histograms[histogram].buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histograms[histogram].sum, time, memory_order_relaxed);
}

static void
write_histogram (MdBuf *out, int h)
{
  const char *name = histogram_descriptions[h].name;
  const char *label = histogram_descriptions[h].label;
  const char *comma = *label != '\0' ? "," : "";
  long long count = 0;

  if (*histogram_descriptions[h].help != '\0')
    md_buf_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", name, histogram_descriptions[h].help,
                   name);
  for (size_t i = 0; i < BUCKETS; i++)
    {
      count += atomic_load_explicit (&histograms[h].buckets[i], memory_order_relaxed);
      if (i < MD_ARRAY_SIZE (bucket_bounds))
        md_buf_printf (out, "%s_bucket{%s%sle=\"%g\"} %lld\n", name, label, comma,
                       (double)bucket_bounds[i] / (double)MD_SECOND, count);
      else
        md_buf_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %lld\n", name, label, comma, count);
    }
  md_buf_printf (out, "%s_sum{%s} %g\n", name, label,
                 (double)atomic_load (&histograms[h].sum) / (double)MD_SECOND);
  md_buf_printf (out, "%s_count{%s} %lld\n", name, label, count);
}

/* Returns -1 when /proc is not available. */
static int64_t
count_descriptors (void)
{
  DIR *dir = opendir ("/proc/self/fd");
  int64_t n = 0;

  if (dir == NULL)
    return -1;
  while (readdir (dir) != NULL)
    n++;
  closedir (dir);
  return n - 3; /* ".", ".." and the directory itself */
}

void
md_metrics_update_process (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  long long pages = -1;

  if (file != NULL)
    {
      if (fscanf (file, "%*d %lld", &pages) != 1)
        pages = -1;
      fclose (file);
    }
  md_gauge (MD_M_MEMORY, pages >= 0 ? pages * sysconf (_SC_PAGESIZE) : -1);
  md_gauge (MD_M_DESCRIPTORS, count_descriptors ());
}

void
md_metrics_write (MdBuf *out)
{
  for (int i = 0; i < MD_METRIC_COUNT; i++)
    {
      long long value = atomic_load_explicit (&md_metrics[i], memory_order_relaxed);
      const char *type = metric_descriptions[i].type == MD_COUNTER ? "counter" : "gauge";

      md_buf_printf (out, "# HELP %s %s\n", metric_descriptions[i].name,
                     metric_descriptions[i].help);
      md_buf_printf (out, "# TYPE %s %s\n", metric_descriptions[i].name, type);
      md_buf_printf (out, "%s %lld\n", metric_descriptions[i].name, value);
    }
  for (int h = 0; h < MD_HISTOGRAM_COUNT; h++)
    write_histogram (out, h);
}
