/* log-line.h -- parser of the log lines that log.c writes

   All strings returned point into the text that was passed in. */

#ifndef MD_LOG_LINE_H
#define MD_LOG_LINE_H

#include "md-private.h"

/* md_line_read_files: append the contents of the files, a list ended by NULL, to out; those of
   standard input when files is NULL or empty. Reading stops at 1 GiB. Returns MD_OK, or
   MD_E_IO with the name of the file in error. */
int md_line_read_files (MdBuf *out, const char **files, MdError *error);

/* md_line_next: remove the first line from rest. A prefix that a log collector has added before
   "time=" is skipped. Returns false at the end of the text. */
bool md_line_next (MdStr *rest, MdStr *line);

/* md_line_value: the value of a key, without its quotes; empty when the key is missing. */
MdStr md_line_value (MdStr line, const char *key);

/* md_line_number: the value of a key as a decimal number; 0 when it is missing or not a number. */
int64_t md_line_number (MdStr line, const char *key);

/* md_line_has_event: whether the line reports this event. */
bool md_line_has_event (MdStr line, const char *event);

/* md_line_time: set *ms to the time of the line, in milliseconds since 1970. Returns false when
   it has none. */
bool md_line_time (MdStr line, int64_t *ms);

#endif
