/* entry-start.h -- the start of an entry, for which requests wait

   The engine thread ends the start; threads of the HTTP server wait for its end. */

#ifndef MD_ENTRY_START_H
#define MD_ENTRY_START_H

#include "md-base.h"

/* Zeros: a process that does not start any more, so that nothing waits. */
typedef struct
{
  MdTime began; /* start of the process, 0: long ago */
  int event;    /* eventfd, readable from the end of the start on and never read; -1: none */
  bool ended;   /* engine only */
} MdEntryStart;

typedef enum
{
  MD_START_ENDED,       /* the first configuration is known, or the entry is leaving */
  MD_START_TIMED_OUT,   /* neither */
  MD_START_CALLER_LEFT, /* the caller has closed its connection */
} MdStartOutcome;

/* md_entry_start_begin: the process has begun at this time. Without a descriptor nothing waits. */
void md_entry_start_begin (MdEntryStart *start, MdTime now);

/* md_entry_start_end: release all threads that wait, and any that come later. To be called by the
   engine, as often as it likes. */
void md_entry_start_end (MdEntryStart *start);

/* md_entry_start_age: time since the begin of the process. Can be called from any thread. */
MdTime md_entry_start_age (const MdEntryStart *start, MdTime now);

/* md_entry_start_wait: wait for the end of the start while the caller at the socket is there, at
   most until the given time. Can be called from any thread. */
MdStartOutcome md_entry_start_wait (const MdEntryStart *start, int socket, MdTime until);

/* md_entry_start_outcome_name: for the log. */
const char *md_entry_start_outcome_name (MdStartOutcome outcome);

#endif
