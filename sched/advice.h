/* advice.h -- permission from an advisory service to run a step on a worker */

#ifndef MD_ADVICE_H
#define MD_ADVICE_H

#include "run-sched.h"

#define MD_ADVICE_MAX_WORKERS 30u /* in one call; goals allow for the time of such a call */

/* The advisory service of a queue. */
typedef struct
{
  bool present;           /* whether the queue has one */
  MdTime call_time;       /* fixed time of a call */
  MdTime time_per_worker; /* additional time for each worker named in it */
  MdTime permit_validity; /* from its issue, 0 not stated */
} MdAdvisor;

/* The service's decision about one lifetime of a worker. */
typedef struct
{
  uint64_t lifetime; /* see MdWorker */
  bool allowed;      /* never changes */
  MdTime use_until;  /* a run ordered later may start after the permit has expired */
  char *permit;      /* sent with each start there, owned; NULL if denied */
} MdAdviceRow;

/* The service's decisions about one step. Zero-initialized, it holds none. */
typedef struct
{
  MdAdviceRow *rows; /* n elements, owned */
  uint32_t n;        /* lifetimes with a decision */
  uint32_t cap;      /* allocated rows */
} MdAdvice;

/* md_advice_clear: free the rows; no decision is known afterwards. */
void md_advice_clear (MdAdvice *advice);

/* md_advice_set: store the decision about a lifetime of a worker. permit is copied and is
   valid for the time valid from now; an empty one means denied. Fails with MD_E_MEMORY. */
int md_advice_set (MdAdvice *advice, uint64_t lifetime, MdStr permit, MdTime valid, MdTime now);

/* md_advice_expire: discard a permit that the worker did not accept, so that the service is
   asked again. */
void md_advice_expire (MdAdvice *advice, uint64_t lifetime);

/* md_advice_permit: the permit for a run ordered now, which may wait at its guard before it
   starts. Returns NULL if there is none; otherwise valid until advice changes. */
const char *md_advice_permit (const MdAdvice *advice, uint64_t lifetime, MdTime now);

/* md_advice_exclude: set excluded[i] for each worker i without a usable permit. Returns the
   number of other workers that can run the step. */
uint32_t md_advice_exclude (const MdAdvice *advice, const MdWorkers *workers,
                            const MdTaskRequirements *need, bool *excluded, MdTime now);

/* md_advice_call_size: how many workers a call for a step of count tasks should name. share
   is the fraction of workers that the service usually allows. */
uint32_t md_advice_call_size (uint32_t count, double share);

/* md_advice_choose: choose up to max workers to ask about, best first. chosen has space for
   max pointers; excluded is scratch space with one element for each worker. Returns the
   number of workers chosen; 0 if there is no worker to ask about, as the service has denied
   all that can run the step and have no usable permit. */
uint32_t md_advice_choose (const MdAdvice *advice, const MdWorkers *workers,
                           const MdTaskRequirements *need, uint32_t max, bool *excluded,
                           MdWorker **chosen, MdTime now);

/* md_advice_update_share: the new share for md_advice_call_size after a call that asked for
   asked workers, of which allowed were allowed. */
double md_advice_update_share (double share, uint32_t asked, uint32_t allowed);

/* md_advice_call_time: the expected time of a call that names n workers. */
MdTime md_advice_call_time (const MdAdvisor *advisor, uint32_t n);

#endif
