/* log-line.h -- reading log lines of key=value pairs, as log.c writes them */

#ifndef MD_LOG_LINE_H
#define MD_LOG_LINE_H

#include "md-private.h"

/* md_line_read_files: append the files, or standard input when there are none, up to 1 GiB.
   MD_E_IO with the file in error. */
int md_line_read_files (MdBuf *out, const char **files, MdError *error);

/* md_line_next: the next line of rest, from "time=" on when a collector has put something
   in front; false at the end. */
bool md_line_next (MdStr *rest, MdStr *line);

/* md_line_value: value of a key, without quotes; empty when it is missing. */
MdStr md_line_value (MdStr line, const char *key);

/* md_line_number: the same as a number, 0 when it is missing. */
int64_t md_line_number (MdStr line, const char *key);

/* md_line_has_event: the line tells this event. */
bool md_line_has_event (MdStr line, const char *event);

/* md_line_time: *ms since 1970; false when the line has no time. */
bool md_line_time (MdStr line, int64_t *ms);

#endif
