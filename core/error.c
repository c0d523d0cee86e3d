/* error.c -- errors with the step and the peer at which they arose

   The first failure is the cause; failures reported by callers further up are
   consequences of it. md_error_set therefore keeps an error that is already set. */

#include "md-base.h"

#include <stdio.h>

int
md_error_set (MdError *error, int code, const char *step, const char *peer, const char *format, ...)
{
  va_list args;

  if (error == NULL || error->code != MD_OK)
    return code;
  error->code = code;
  md_str_copy (error->step, sizeof error->step, md_str (step));
  md_str_copy (error->peer, sizeof error->peer, md_str (peer));
  va_start (args, format);
  vsnprintf (error->detail, sizeof error->detail, format, args);
  va_end (args);
  return code;
}
