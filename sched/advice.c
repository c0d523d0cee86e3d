/* advice.c -- which workers may run a step, where only an advisory service knows

   Load pattern: the service takes a fixed time for a call and a further one for each
   worker named, and handles one call at a time for each caller. A long list delays the
   job and all that wait behind it; a short one may not hold a worker that is allowed, and
   a second call costs the fixed time again.

   So a call names about as many workers as the step is likely to need by the share that
   was allowed so far, those on which a task would end first. What is denied stays denied
   for the step; a worker that is allowed is asked about again only when its permit runs
   out. */

#include "advice.h"

#include <math.h>

#define CHOICE_MIN 4u               /* below, a call costs little more than its fixed time */
#define SHARE_GAIN 0.2              /* of the last call in the learned share */
#define SHARE_MIN 0.05              /* a policy that allows fewer needs full calls anyway */
#define PERMIT_MARGIN (300 * MD_MS) /* a run waits no longer at its guard than this, as a rule */

void
md_advice_clear (MdAdvice *advice)
{
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
  row->use_until = now + valid - margin;
  md_str_copy (row->permit, sizeof row->permit, permit);
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

/* Excludes what needs no call: what is denied, what has a valid permit, and, when some worker
   is known to be allowed, what is not known. */
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
choose_open (const MdWorkers *workers, const MdTaskRequirements *need, uint32_t wanted,
             bool *excluded, MdWorker **chosen, MdTime now)
{
  MdTaskRequirements open = *need;
  uint32_t n = 0;

  open.excluded = excluded;
  while (n < wanted)
    {
      MdPlacement placement = md_place (workers, &open, NULL, NULL, now);

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
  double likely = ceil ((double)count / fmax (share, SHARE_MIN));
  uint32_t wanted = likely < MD_ADVICE_MAX_WORKERS ? (uint32_t)likely : MD_ADVICE_MAX_WORKERS;

  return wanted > CHOICE_MIN ? wanted : CHOICE_MIN;
}

uint32_t
md_advice_choose (const MdAdvice *advice, const MdWorkers *workers, const MdTaskRequirements *need,
                  uint32_t wanted, bool *excluded, MdWorker **chosen, MdTime now)
{
  uint32_t n;

  exclude_known (advice, workers, true, excluded, now);
  n = choose_open (workers, need, wanted, excluded, chosen, now);
  if (n > 0)
    return n;
  exclude_known (advice, workers, false, excluded, now);
  return choose_open (workers, need, wanted, excluded, chosen, now);
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
