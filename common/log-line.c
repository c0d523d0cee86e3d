/* log-line.c -- parser of the log lines that log.c writes

   Each lookup of a key scans the line from its start. */

#define _GNU_SOURCE /* memmem */

#include "log-line.h"

#include <errno.h>
#include <stdio.h>
#include <time.h>

#define MAX_INPUT ((size_t)1 << 30) /* bytes of all logs together */

MdStr
md_line_value (MdStr line, const char *key)
{
  size_t len = strlen (key);

  for (size_t pos = 0; pos + len + 1 < line.len; pos++)
    {
      const char *value = line.data + pos + len + 1;
      size_t left = line.len - pos - len - 1;
      char stop = ' ';

      if ((pos > 0 && line.data[pos - 1] != ' ') || memcmp (line.data + pos, key, len) != 0
          || line.data[pos + len] != '=')
        continue;
      if (left > 0 && *value == '"')
        {
          stop = '"';
          value++;
          left--;
        }
      for (size_t n = 0; n < left; n++)
        if (value[n] == stop)
          return md_str_n (value, n);
      return md_str_n (value, left);
    }
  return MD_STR ("");
}

int64_t
md_line_number (MdStr line, const char *key)
{
  char text[32];

  md_str_copy (text, sizeof text, md_line_value (line, key));
  return strtoll (text, NULL, 10);
}

bool
md_line_has_event (MdStr line, const char *event)
{
  return md_str_equal (md_line_value (line, "event"), md_str (event));
}

/* The format is 2026-01-02T03:04:05.678Z. */
bool
md_line_time (MdStr line, int64_t *ms)
{
  MdStr value = md_line_value (line, "time");
  struct tm tm = { 0 };
  char text[32];
  int millis = 0;

  md_str_copy (text, sizeof text, value);
  if (sscanf (text, "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday,
              &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &millis)
      != 7)
    return false;
  tm.tm_year -= 1900;
  tm.tm_mon -= 1;
  *ms = (int64_t)timegm (&tm) * 1000 + millis;
  return true;
}

bool
md_line_next (MdStr *rest, MdStr *line)
{
  const char *end;
  const char *start;

  if (rest->len == 0)
    return false;
  end = memchr (rest->data, '\n', rest->len);
  *line = md_str_n (rest->data, end != NULL ? (size_t)(end - rest->data) : rest->len);
  *rest = md_str_n (rest->data + line->len, rest->len - line->len);
  if (rest->len > 0)
    *rest = md_str_n (rest->data + 1, rest->len - 1);
  /* A log collector may have added a prefix. */
  start = line->len > 0 ? memmem (line->data, line->len, "time=", 5) : NULL;
  if (start != NULL)
    *line = md_str_n (start, line->len - (size_t)(start - line->data));
  return true;
}

int
md_line_read_files (MdBuf *out, const char **files, MdError *error)
{
  if (files == NULL || *files == NULL)
    return md_stream_read (stdin, MAX_INPUT, out)
               ? MD_OK
               : md_error_set (error, MD_E_IO, "logs", "", "standard input cannot be read");
  for (; *files != NULL; files++)
    {
      FILE *file = fopen (*files, "rb");
      bool ok = file != NULL && md_stream_read (file, MAX_INPUT, out);

      if (file != NULL)
        fclose (file);
      if (!ok)
        return md_error_set (error, MD_E_IO, "logs", "", "%s cannot be read", *files);
    }
  return MD_OK;
}
