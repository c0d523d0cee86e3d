/* warmup.h -- gradual return of a worker whose failure domain was evacuated */

#ifndef MD_WARMUP_H
#define MD_WARMUP_H

#include "md-base.h"

#define MD_WARMUP_STEPS 8 /* the share grows by one over this; the first one is given at once */

/* Start from { 0 }: no warm-up. */
typedef struct
{
  bool active;       /* less than the whole capacity is offered */
  double progress;   /* 0 to 1, as of updated_at */
  MdTime updated_at; /* valid if active */
} MdWarmup;

/* md_warmup_begin: begin with the smallest share. */
void md_warmup_begin (MdWarmup *warmup, MdTime now);

/* md_warmup_advance: bring the share up to the present. The worker is slow after its own start
   until cold_until, which may change between two calls. Returns the share in steps, 1 to
   MD_WARMUP_STEPS; the warm-up is over with the last one. */
uint32_t md_warmup_advance (MdWarmup *warmup, MdTime cold_until, MdTime now);

/* md_warmup_due: time from now until the share, as of the last md_warmup_advance, has this many
   steps. 0 if it has. */
MdTime md_warmup_due (const MdWarmup *warmup, MdTime cold_until, uint32_t steps);

#endif
