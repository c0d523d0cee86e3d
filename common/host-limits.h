/* host-limits.h -- what the host lets this process use

   Limits are read once, at the start. A host that offers too little for the settings is reported by
   a warning, and the process makes do with what there is. */

#ifndef MD_HOST_LIMITS_H
#define MD_HOST_LIMITS_H

#include "md-private.h"

#define MD_NO_LIMIT (-1) /* there is none, or it cannot be read */

typedef struct
{
  long long descriptors;  /* open files of the process */
  long long threads;      /* of the user or the control group, other processes included */
  long long memory_bytes; /* of the control group or the address space */
} MdHostLimits;

/* How an HTTP server for callers is to be started. */
typedef struct
{
  unsigned threads; /* that serve connections */
  unsigned waiting; /* accepted connections that wait for a thread, at most */
} MdHostShare;

/* md_host_limits_open: raise the limit of descriptors as far as allowed, read the limits, log them
   (host-limits), and warn if they do not suffice for the settings. Call it once, when the log is
   open. */
void md_host_limits_open (const MdSettings *settings);

/* md_host_limits_read: read the present limits. */
void md_host_limits_read (MdHostLimits *limits);

/* md_host_processor_share: cores that the control group may use, 0 if that is not limited or cannot
   be read. */
double md_host_processor_share (void);

/* md_host_parse_cpu_max: the same from the text of cpu.max: quota and period in microseconds. */
double md_host_parse_cpu_max (const char *text);

/* md_host_share: as many of the wanted threads as the descriptors suffice for. */
MdHostShare md_host_share (const MdHostLimits *limits, unsigned wanted);

/* md_host_own_share: the same with the limits of this process. */
MdHostShare md_host_own_share (unsigned wanted);

/* md_host_thread_count: threads of this process, 0 if unknown. */
unsigned md_host_thread_count (void);

/* md_host_check_threads: how many threads a server runs that was asked for this many, counted by
   the threads of the process before and after. Warns when some are missing. */
unsigned md_host_check_threads (unsigned before, unsigned asked, const char *address);

#endif
