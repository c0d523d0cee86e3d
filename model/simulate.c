/* simulate.c -- "mulberrydrift simulate [LOG...]": simulates a workload with each policy

   With logs the workload is the recorded one; without, it is made from a seed and a pattern.
   Prints one key=value line for the workload and one for each policy. */

#include "model.h"

#include "log-line.h"

#include <popt.h>
#include <stdio.h>

typedef struct
{
  int seed;
  int seeds;
  double burst;
  int burst_of;
  double slow;
  char *svg;
} Options;

static void
print_workload (const MdModelWorkload *workload, uint64_t seed)
{
  uint64_t tasks = 0;
  uint32_t repeated = 0;

  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      tasks += workload->jobs[i].n_tasks;
      repeated += workload->jobs[i].repeats;
    }
  printf ("day=%s seed=%llu jobs=%u tasks=%llu queues=%u workers=%u entries=%u length_ms=%lld "
          "repeated=%u drawn_tasks=%u log_lines_missing=%llu\n",
          workload->recorded ? "recorded" : "made", (unsigned long long)seed, workload->n_jobs,
          (unsigned long long)tasks, workload->n_queues, workload->n_workers, workload->n_entries,
          (long long)(workload->length / MD_MS), repeated, workload->unknown_tasks,
          (unsigned long long)workload->missing_lines);
}

static void
print_result (const MdModelWorkload *workload, const MdModelResult *result)
{
  printf ("policy=%s worth=%.3f in_goal=%u late=%u rejected=%u unanswered=%u response_p50=%.2f "
          "response_p99=%.2f",
          md_model_policy_name (result->policy), result->worth, result->in_goal, result->late,
          result->rejected, result->unanswered, result->response_p50, result->response_p99);
  if (result->policy != MD_MODEL_RECORDED)
    printf (" starts=%llu wasted=%llu messages_per_job=%.2f", (unsigned long long)result->starts,
            (unsigned long long)result->wasted, (double)result->messages / workload->n_jobs);
  putchar ('\n');
}

static int
write_plot (const char *path, const MdModelResult *results, uint32_t n, MdError *error)
{
  MD_AUTO_BUF out = { 0 };
  FILE *file = fopen (path, "w");
  bool good;

  if (file == NULL)
    return md_error_set (error, MD_E_IO, "plot", "", "%s cannot be written", path);
  md_model_plot (&out, results, n);
  good = !out.failed && fwrite (out.data, 1, out.len, file) == out.len;
  good = fclose (file) == 0 && good;
  if (!good)
    return md_error_set (error, MD_E_IO, "plot", "", "%s cannot be written", path);
  return MD_OK;
}

static int
simulate_workload (const MdModelWorkload *workload, const Options *options, MdError *error)
{
  MdModelResult results[MD_MODEL_POLICIES] = { 0 };
  uint32_t n = 0;
  int rc = MD_OK;

  for (unsigned p = 0; rc == MD_OK && p < MD_MODEL_POLICIES; p++)
    {
      if (p == MD_MODEL_RECORDED && !workload->recorded)
        continue;
      rc = md_model_simulate (workload, (MdModelPolicy)p, &results[n], error);
      if (rc == MD_OK)
        print_result (workload, &results[n++]);
    }
  if (rc == MD_OK && options->svg != NULL)
    rc = write_plot (options->svg, results, n, error);
  for (uint32_t i = 0; i < MD_MODEL_POLICIES; i++)
    md_model_result_clear (&results[i]);
  return rc;
}

static int
simulate_logs (const char **files, const Options *options, MdError *error)
{
  MD_AUTO_BUF logs = { 0 };
  MD_AUTO_WORKLOAD workload = { 0 };
  int rc = md_line_read_files (&logs, files, error);

  if (rc == MD_OK)
    rc = md_model_read_workload (&workload, md_buf_str (&logs), (uint64_t)options->seed, error);
  if (rc != MD_OK)
    return rc;
  print_workload (&workload, (uint64_t)options->seed);
  return simulate_workload (&workload, options, error);
}

static int
simulate_pattern (const Options *options, MdError *error)
{
  int rc = MD_OK;

  for (int i = 0; rc == MD_OK && i < options->seeds; i++)
    {
      MD_AUTO_WORKLOAD workload = { 0 };
      MdModelPattern pattern = { .seed = (uint64_t)options->seed + (uint64_t)i,
                                 .burst_factor = options->burst,
                                 .burst_queue = options->burst_of,
                                 .slow_factor = options->slow };

      rc = md_model_generate_workload (&workload, &pattern, error);
      if (rc != MD_OK)
        return rc;
      print_workload (&workload, pattern.seed);
      rc = simulate_workload (&workload, options, error);
    }
  return rc;
}

int
md_simulate_main (int argc, const char **argv)
{
  Options options = { .seed = 1, .seeds = 1, .burst = 1, .burst_of = -1, .slow = 1 };
  struct poptOption table[]
      = { { "seed", 's', POPT_ARG_INT, &options.seed, 0, "first seed (1)", "N" },
          { "seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "days to make, one a seed (1)", "N" },
          { "burst", 'b', POPT_ARG_DOUBLE, &options.burst, 0,
            "made day: factor on arrivals from second 4 to 8 (1)", "X" },
          { "burst-queue", 'q', POPT_ARG_INT, &options.burst_of, 0,
            "made day: queue of the burst, 0 short, 1 long, 2 middle (-1: all)", "N" },
          { "slow", 'w', POPT_ARG_DOUBLE, &options.slow, 0,
            "made day: factor on the times of two workers from second 5 to 12 (1)", "X" },
          { "svg", 'o', POPT_ARG_STRING, &options.svg, 0, "write a plot of the last day", "FILE" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift simulate", argc, argv, table, 0);
  MdError error = { 0 };
  const char **files;
  int rc;

  poptSetOtherOptionHelp (context, "[LOG...]  (\"-\": standard input; none: a made day)");
  rc = poptGetNextOpt (context);
  files = poptGetArgs (context);
  if (rc < -1 || options.seed < 0 || options.seeds < 1 || options.burst <= 0 || options.slow < 1)
    {
      poptPrintUsage (context, stderr, 0);
      poptFreeContext (context);
      return MD_EXIT_USAGE;
    }
  if (files == NULL || *files == NULL)
    rc = simulate_pattern (&options, &error);
  else
    rc = simulate_logs (strcmp (*files, "-") == 0 ? NULL : files, &options, &error);
  if (rc != MD_OK)
    fprintf (stderr, "simulate: %s\n", error.detail);
  free (options.svg);
  poptFreeContext (context);
  return rc == MD_OK ? MD_EXIT_OK : MD_EXIT_FAILED;
}
