/* advice.c -- permission from an advisory service to run a step on a worker

   The service takes a fixed time for each call and additional time for each worker that the
   call names, and handles one call of each caller at a time. A long list delays the job and
   all jobs that wait for the next call. A short list may contain no worker that is allowed,
   and a second call costs the fixed time again.

   Therefore a call names about as many workers as the step is likely to need, given the share
   that was allowed so far, and chooses those on which a task would end first. A denial holds
   for the whole step. The service is asked again about an allowed worker only when its
   permit has expired. */

#include "advice.h"

#include <math.h>

#define MIN_CALL_SIZE 4u            /* below, the fixed time of the call dominates */
#define SHARE_GAIN 0.2              /* weight of a call in the share */
#define MIN_SHARE 0.05              /* below, calls have the full size anyway */
#define PERMIT_MARGIN (300 * MD_MS) /* runs usually wait less than this at a guard */

void
md_advice_clear (MdAdvice *advice)
{
  for (uint32_t i = 0; i < advice->n; i++)
    free (advice->rows[i].permit);
  free (advice->rows);
  *advice = (MdAdvice){ 0 };
}

static MdAdviceRow *
find_row (const MdAdvice *advice, uint64_t lifetime)
{
  for (uint32_t i = 0; i < advice->n; i++)
    if (advice->rows[i].lifetime == lifetime)
      return &advice->rows[i];
  return NULL;
}

static MdAdviceRow *
add_row (MdAdvice *advice)
{
  if (advice->n == advice->cap)
    {
      uint32_t cap = advice->cap > 0 ? advice->cap * 2 : MD_ADVICE_MAX_WORKERS;
      MdAdviceRow *rows = realloc (advice->rows, cap * sizeof *rows);

      if (rows == NULL)
        return NULL;
      advice->rows = rows;
      advice->cap = cap;
    }
  advice->rows[advice->n] = (MdAdviceRow){ 0 };
  return &advice->rows[advice->n++];
}

int
md_advice_set (MdAdvice *advice, uint64_t lifetime, MdStr permit, MdTime valid, MdTime now)
{
  MdTime margin = valid / 4 < PERMIT_MARGIN ? valid / 4 : PERMIT_MARGIN;
  MdAdviceRow *row = find_row (advice, lifetime);

  if (row == NULL)
    row = add_row (advice);
  if (row == NULL)
    return MD_E_MEMORY;
  row->lifetime = lifetime;
  row->allowed = permit.len > 0;
  row->use_until = 0;
  if (!md_str_set (&row->permit, permit))
    return MD_E_MEMORY;
  row->use_until = now + valid - margin;
  return MD_OK;
}

void
md_advice_expire (MdAdvice *advice, uint64_t lifetime)
{
  MdAdviceRow *row = find_row (advice, lifetime);

  if (row != NULL)
    row->use_until = 0;
}

static bool
is_valid (const MdAdviceRow *row, MdTime now)
{
  return row != NULL && row->allowed && now < row->use_until;
}

const char *
md_advice_permit (const MdAdvice *advice, uint64_t lifetime, MdTime now)
{
  const MdAdviceRow *row = find_row (advice, lifetime);

  return is_valid (row, now) ? row->permit : NULL;
}

uint32_t
md_advice_exclude (const MdAdvice *advice, const MdWorkers *workers, const MdTaskRequirements *need,
                   bool *excluded, MdTime now)
{
  uint32_t usable = 0;

  for (uint32_t i = 0; i < workers->n; i++)
    {
      const MdWorker *worker = workers->workers[i];

      excluded[i] = !is_valid (find_row (advice, worker->lifetime), now);
      usable += !excluded[i] && md_worker_can_run (worker, need);
    }
  return usable;
}

/* Excludes the workers that need no call: those without a reported lifetime, with a valid
   permit or a denial. only_allowed also excludes those without a decision, which leaves the
   allowed workers whose permit has expired. */
static void
exclude_known (const MdAdvice *advice, const MdWorkers *workers, bool only_allowed, bool *excluded,
               MdTime now)
{
  for (uint32_t i = 0; i < workers->n; i++)
    {
      const MdAdviceRow *row = find_row (advice, workers->workers[i]->lifetime);

      excluded[i] = workers->workers[i]->lifetime == 0 || is_valid (row, now)
                    || (row != NULL && !row->allowed) || (row == NULL && only_allowed);
    }
}

static uint32_t
choose_not_excluded (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t max,
                     bool *excluded, MdWorker **chosen, MdTime now)
{
  MdTaskRequirements candidates = *need;
  uint32_t n = 0;

  candidates.excluded = excluded;
  while (n < max)
    {
      MdPlacement placement = md_place (workers, &candidates, NULL, NULL, now);

      if (placement.worker == NULL)
        break;
      chosen[n++] = placement.worker;
      for (uint32_t i = 0; i < workers->n; i++)
        if (workers->workers[i] == placement.worker)
          excluded[i] = true;
    }
  return n;
}

uint32_t
md_advice_call_size (uint32_t count, double share)
{
  double likely = ceil ((double)count / fmax (share, MIN_SHARE));
  uint32_t size = likely < MD_ADVICE_MAX_WORKERS ? (uint32_t)likely : MD_ADVICE_MAX_WORKERS;

  return size > MIN_CALL_SIZE ? size : MIN_CALL_SIZE;
}

uint32_t
md_advice_choose (const MdAdvice *advice, const MdWorkers *workers, const MdTaskRequirements *need,
                  uint32_t max, bool *excluded, MdWorker **chosen, MdTime now)
{
  uint32_t n;

  exclude_known (advice, workers, true, excluded, now);
  n = choose_not_excluded (workers, need, max, excluded, chosen, now);
  if (n > 0)
    return n;
  exclude_known (advice, workers, false, excluded, now);
  return choose_not_excluded (workers, need, max, excluded, chosen, now);
}

double
md_advice_update_share (double share, uint32_t asked, uint32_t allowed)
{
  if (asked == 0)
    return share;
  return share + SHARE_GAIN * ((double)allowed / asked - share);
}

MdTime
md_advice_call_time (const MdAdvisor *advisor, uint32_t n)
{
  return advisor->call_time + advisor->time_per_worker * n;
}
