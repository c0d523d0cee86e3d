/* targets-text.c -- traces and logs that commands read */

#include "model.h"
#include "targets.h"

#define SEED 1
/* Of a workload that is simulated; larger ones take seconds. */
#define MAX_JOBS 64
#define MAX_JOB_TASKS 1000
#define MAX_LENGTH (60 * MD_SECOND)

static void
check_exit (int code)
{
  FUZZ_CHECK (code == MD_EXIT_OK || code == MD_EXIT_FAILED);
  fuzz_result (code == MD_EXIT_OK ? MD_OK : MD_E_INVALID);
}

void
fuzz_replay (MdStr input)
{
  const char *arguments[] = { "replay", fuzz_text_file (input), NULL };

  check_exit (md_replay_main (2, arguments));
}

/* The first line is the ID of a job or request, or the name of a queue after "queue ". */
void
fuzz_explain (MdStr input)
{
  const char *end = input.len > 0 ? memchr (input.data, '\n', input.len) : NULL;
  size_t len = end != NULL ? (size_t)(end - input.data) : 0;
  char word[64];
  bool queue = len > 6 && memcmp (input.data, "queue ", 6) == 0;
  const char *path;

  if (len == 0)
    return;
  md_str_copy (word, sizeof word, md_str_n (input.data, len));
  if (word[0] == '-' || word[0] == '\0' || (queue && (word[6] == '-' || word[6] == '\0')))
    return; /* options */
  path = fuzz_text_file (md_str_n (end + 1, input.len - len - 1));
  if (queue)
    {
      const char *arguments[] = { "explain", "--queue", word + 6, path, NULL };

      check_exit (md_explain_main (4, arguments));
    }
  else
    {
      const char *arguments[] = { "explain", word, path, NULL };

      check_exit (md_explain_main (3, arguments));
    }
}

static bool
is_small (const MdModelWorkload *workload)
{
  if (workload->n_jobs > MAX_JOBS || workload->length > MAX_LENGTH)
    return false;
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    if (workload->jobs[i].n_tasks > MAX_JOB_TASKS)
      return false;
  return true;
}

void
fuzz_simulate (MdStr input)
{
  MD_AUTO_WORKLOAD workload = { 0 };
  MdError error = { 0 };
  int rc = md_model_read_workload (&workload, input, SEED, &error);

  FUZZ_CHECK (rc == MD_OK || error.detail[0] != '\0');
  fuzz_result (rc);
  if (rc != MD_OK || !is_small (&workload))
    return;
  for (unsigned p = 0; p < MD_MODEL_POLICIES; p++)
    {
      MD_AUTO_RESULT result = { 0 };
      MD_AUTO_BUF plot = { 0 };

      rc = md_model_simulate (&workload, (MdModelPolicy)p, &result, &error);
      fuzz_result (rc);
      if (rc != MD_OK)
        return;
      fuzz_decoded (&result.worth, sizeof result.worth);
      FUZZ_CHECK (result.worth >= 0 && result.worth <= 1.000001);
      md_model_plot (&plot, &result, 1);
      fuzz_result (plot.failed ? MD_E_MEMORY : MD_OK);
    }
}
