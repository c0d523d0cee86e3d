/* evacuation.h -- failure domains in which no run may be started

   Operators evacuate a failure domain with a record in a log, and put it back into use with a
   further one. Entries read the log and keep the set of evacuated domains (MdEvacuationLog). Guards
   do not read it: each is told about its own domain by all entries (MdEvacuationNotice). */

#ifndef MD_EVACUATION_H
#define MD_EVACUATION_H

#include "md-base.h"

/* Domains that are evacuated at a time. The largest installation planned for has twelve. */
#define MD_MAX_EVACUATED 64

typedef struct
{
  char name[MD_NAME_BYTES];
  uint64_t offset; /* of the newest record that evacuated it */
} MdEvacuatedDomain;

/* The set as of a place in the log. */
typedef struct
{
  uint64_t version; /* all records with lower offsets are taken into account; 0: none */
  uint32_t n;       /* domains */
  MdEvacuatedDomain domains[MD_MAX_EVACUATED];
} MdEvacuated;

/* md_evacuated_has: whether the domain is in the set. */
bool md_evacuated_has (const MdEvacuated *set, const char *domain);

/* ------------------------------------------------------------------ */
/* Entries: from the log to the set                                   */

/* The log is read in one of two ways: the newest record of each domain, page by page, or each new
   record in the order of the log. Until the last page has arrived, the former set applies. */
typedef struct
{
  MdEvacuated known; /* applies now; version 0 before the first last page */
  MdEvacuated pages; /* from the pages so far; valid if paging */
  bool paging;       /* pages are being read */
} MdEvacuationLog;

/* md_evacuation_begin_pages: the newest records are read from the first page on. */
void md_evacuation_begin_pages (MdEvacuationLog *log);

/* md_evacuation_record: take a record into account that was read from a page, or from the log in
   order. evacuated: the record evacuates the domain, otherwise it puts it back into use. A record
   that is older than what is known of the domain changes nothing. Returns false if the domain is
   not kept, because MD_MAX_EVACUATED are or its name is empty or too long. */
bool md_evacuation_record (MdEvacuationLog *log, MdStr domain, bool evacuated, uint64_t offset);

/* md_evacuation_read_up_to: the last page has arrived, or the log has been read in order, and all
   records below end are taken into account. Returns false if the pages are of an earlier time than
   what is known, which then stays. */
bool md_evacuation_read_up_to (MdEvacuationLog *log, uint64_t end);

/* ------------------------------------------------------------------ */
/* Guards: what entries say about one domain                          */

typedef struct
{
  bool evacuated;   /* no run may be started */
  uint64_t version; /* of the newest set that an entry has told about; 0: none */
} MdEvacuationNotice;

/* md_evacuation_adopt: take over what an entry says, if its version is higher than that of all
   before. version 0: the entry does not know, or is of a build that knows no evacuation. Returns
   whether evacuated has changed. */
bool md_evacuation_adopt (MdEvacuationNotice *notice, bool evacuated, uint64_t version);

#endif
