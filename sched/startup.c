/* startup.c -- what waits for an entry that has just started

   Load pattern: all machines lose power and return within half a second. An entry reads its
   configuration and hears its first guard about 50 ms after its start, but callers that were
   waiting for a connection arrive before that: 100 requests of a day were answered 503 within 50
   ms, and their callers came again a second later, together with the next ones. Such a request is
   worth more when it waits. An entry that has run for a while has no such excuse: there a lack of
   workers or of a configuration lasts, and is told at once. */

#include "startup.h"

#define CONFIG_PHASE                                                                               \
  (5 * MD_SECOND) /* a process that has no configuration by then gets none soon */
#define CONFIG_WAIT (1 * MD_SECOND)
#define ANSWER_MARGIN (8 * MD_MS)    /* for the answer to reach the caller while it still waits */
#define WORKER_PHASE (2 * MD_SECOND) /* guards of a returning site connect within a second */
#define WORKER_WAIT (500 * MD_MS)

static MdTime
shorter (MdTime a, MdTime b)
{
  return a < b ? a : b;
}

MdTime
md_startup_config_wait (MdTime process_age, MdTime waited, MdTime patience)
{
  MdTime left = shorter (CONFIG_WAIT - waited, CONFIG_PHASE - process_age);

  if (patience > 0)
    left = shorter (left, patience - ANSWER_MARGIN - waited);
  return left > 0 ? left : 0;
}

MdTime
md_startup_worker_wait (MdTime process_age, MdTime to_goal)
{
  MdTime wait = shorter (WORKER_WAIT, to_goal / 2);

  return process_age < WORKER_PHASE && wait > 0 ? wait : 0;
}

/* The header has whole seconds, rounded up: half of the callers get a second more. */
MdTime
md_startup_retry_after (MdTime process_age, MdTime usual, uint64_t random)
{
  if (process_age >= CONFIG_PHASE || usual <= 0)
    return usual;
  return usual / 2 + (MdTime)(random % (uint64_t)usual);
}
