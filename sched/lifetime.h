/* lifetime.h -- which lifetime of a worker a report belongs to */

#ifndef MD_LIFETIME_H
#define MD_LIFETIME_H

#include "md-base.h"

/* The lifetime that answers a guard's calls. Strings are borrowed. */
typedef struct
{
  MdStr id;          /* name of the worker; empty: not known */
  int64_t born_ms;   /* time of birth, as its answers to holds state it; -1: none answered yet */
  MdStr pool;        /* pool in its newest report; empty: no report yet */
  uint64_t sequence; /* of that report */
  int64_t sent_ms;   /* worker's clock in that report; -1: not stated */
  int64_t clock_ms;  /* worker's clock now, from its answers; -1: not known */
} MdLifetime;

/* What a report says about its origin. Strings are borrowed. */
typedef struct
{
  MdStr id;          /* name of the worker that it describes */
  int64_t born_ms;   /* birth of that worker */
  MdStr pool;        /* of that worker */
  uint64_t sequence; /* grows with each report of a lifetime */
  int64_t sent_ms;   /* worker's clock when it was sent; -1: not stated */
} MdReportOrigin;

typedef enum
{
  MD_REPORT_NEWEST,   /* of this lifetime, newer than all before */
  MD_REPORT_OLD,      /* of this lifetime, delayed */
  MD_REPORT_UNPROVEN, /* of another lifetime, or of nobody: the next answer of the worker tells */
  MD_REPORT_FOREIGN,  /* not of this lifetime, though it states its birth */
} MdReportVerdict;

/* md_lifetime_judge: whether a report is to be followed. It changes nothing about runs. */
MdReportVerdict md_lifetime_judge (const MdLifetime *present, const MdReportOrigin *report);

#endif
