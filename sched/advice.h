/* advice.h -- which workers may run a step, where only an advisory service knows */

#ifndef MD_ADVICE_H
#define MD_ADVICE_H

#include "run-sched.h"

#define MD_PERMIT_BYTES 128       /* proof that a step may run on a worker, with terminator */
#define MD_ADVICE_MAX_WORKERS 30u /* workers in one call; goals are set with a call for so many */

/* How the advisory service of a queue works. */
typedef struct
{
  bool present;           /* the queue has one */
  MdTime call_time;       /* time of a call */
  MdTime time_per_worker; /* further time for each worker named in it */
  MdTime permit_validity; /* a permit can be used for so long, 0 not stated */
} MdAdvisor;

/* What the service has said about one lifetime of a worker. */
typedef struct
{
  uint64_t lifetime;            /* see MdWorker */
  bool allowed;                 /* does not change */
  MdTime use_until;             /* a later start may come after the permit has run out */
  char permit[MD_PERMIT_BYTES]; /* goes with each start of the step there */
} MdAdviceRow;

/* What it has said about one step. Zero-initialized nothing is known. */
typedef struct
{
  MdAdviceRow *rows; /* n entries, owned */
  uint32_t n;        /* lifetimes known */
  uint32_t cap;      /* allocated */
} MdAdvice;

void md_advice_clear (MdAdvice *advice);

/* md_advice_set: what the service says about a lifetime: a permit that is valid for a
   time from now on; empty: denied. MD_E_MEMORY. */
int md_advice_set (MdAdvice *advice, uint64_t lifetime, MdStr permit, MdTime valid, MdTime now);

/* md_advice_expire: the permit was not accepted; ask again. */
void md_advice_expire (MdAdvice *advice, uint64_t lifetime);

/* md_advice_permit: for a start on this lifetime that may wait for a while; NULL when
   there is none. */
const char *md_advice_permit (const MdAdvice *advice, uint64_t lifetime, MdTime now);

/* md_advice_exclude: fill in excluded, an entry for each worker; returns how many of those that
   could run the step are not excluded. */
uint32_t md_advice_exclude (const MdAdvice *advice, const MdWorkers *workers,
                            const MdTaskRequirements *need, bool *excluded, MdTime now);

/* md_advice_call_size: how many workers a call for so many tasks names; share: of workers that
   are allowed as a rule. */
uint32_t md_advice_call_size (uint32_t count, double share);

/* md_advice_choose: the workers to ask about, at most wanted, best first. excluded is
   overwritten, an entry for each worker. Returns their number; 0: the service has denied
   every worker that could run the step. */
uint32_t md_advice_choose (const MdAdvice *advice, const MdWorkers *workers,
                           const MdTaskRequirements *need, uint32_t wanted, bool *excluded,
                           MdWorker **chosen, MdTime now);

/* md_advice_update_share: the share after a call. */
double md_advice_update_share (double share, uint32_t asked, uint32_t allowed);

/* md_advice_call_time: how long a call about n workers takes. */
MdTime md_advice_call_time (const MdAdvisor *advisor, uint32_t n);

#endif
