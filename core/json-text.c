/* json-text.c -- parsing of JSON texts with bounds

   A scan of the text finds its depth without recursion and without memory. It only has to
   know strings and their escapes: up to the first fault of the text it sees the same brackets as the
   parser, which does not read further. */

#include "json-text.h"

#include <stdio.h>

/* What the scan has found up to a position of the text. */
typedef struct
{
  size_t depth;     /* open arrays and objects */
  size_t max_depth; /* largest depth so far */
} Scan;

/* Returns the position after the string whose first quote is at pos. */
static size_t
skip_string (MdStr text, size_t pos)
{
  for (pos++; pos < text.len && text.data[pos] != '"'; pos++)
    if (text.data[pos] == '\\')
      pos++;
  return pos + 1;
}

static void
count_character (Scan *scan, char c)
{
  switch (c)
    {
    case '[':
    case '{':
      scan->depth++;
      if (scan->depth > scan->max_depth)
        scan->max_depth = scan->depth;
      break;
    case ']':
    case '}':
      scan->depth -= scan->depth > 0;
      break;
    default:
      break;
    }
}

/* Scans the text until it ends or has more than max_depth levels. Returns the position after the last
   byte that was scanned. */
static size_t
scan_text (Scan *scan, MdStr text, size_t max_depth)
{
  size_t pos = 0;

  while (pos < text.len && scan->max_depth <= max_depth)
    if (text.data[pos] == '"')
      pos = skip_string (text, pos);
    else
      count_character (scan, text.data[pos++]);
  return pos < text.len ? pos : text.len;
}

size_t
md_json_depth (MdStr text)
{
  Scan scan = { 0 };

  scan_text (&scan, text, SIZE_MAX);
  return scan.max_depth;
}

static int
count_lines (MdStr text)
{
  int lines = 1;

  for (size_t i = 0; i < text.len; i++)
    lines += text.data[i] == '\n';
  return lines;
}

static json_t *
load (MdStr text, size_t max_depth, size_t flags, json_error_t *error)
{
  Scan scan = { 0 };
  size_t scanned = scan_text (&scan, text, max_depth);

  if (scan.max_depth <= max_depth)
    return json_loadb (text.data != NULL ? text.data : "", text.len, flags, error);
  if (error != NULL)
    {
      memset (error, 0, sizeof *error);
      error->line = count_lines (md_str_n (text.data, scanned));
      error->position = (int)scanned;
      snprintf (error->text, sizeof error->text - 1, "nested more than %zu levels deep", max_depth);
    }
  return NULL;
}

json_t *
md_json_load (MdStr text, size_t flags, json_error_t *error)
{
  return load (text, MD_JSON_MAX_DEPTH, flags, error);
}

json_t *
md_json_load_embedded (MdStr text, size_t flags, json_error_t *error)
{
  return load (text, MD_JSON_EMBEDDED_DEPTH, flags, error);
}
