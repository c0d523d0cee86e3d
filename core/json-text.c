/* json-text.c -- parsing of JSON texts with bounds

   A scan of the text finds its depth and counts its values without recursion and without memory. It
   only has to know strings and their escapes: up to the first fault of the text it sees the same
   brackets as the parser, which does not read further.

   jansson 2.14 ignores the failure of an allocation while it collects the characters of a token: it
   then reads and writes beyond the token, returns a shortened one, or fails an assertion. Its
   allocations are therefore made here. Room for the tokens of a text is set aside before the text is
   parsed, and is given up when an allocation fails. If one fails after that, all further ones of the
   same text do, so that no value is made of a damaged token, and the text is refused. */

#include "json-text.h"

#include <stdio.h>

#define VALUE_BYTES 304 /* of an object with one member in an object, which takes the most */
#define TEXT_FACTOR                                                                                \
  3 /* a string that is being parsed: its token, the buffer of that, and its copy */

/* What the scan has found up to a position of the text. */
typedef struct
{
  size_t depth;     /* open arrays and objects */
  size_t max_depth; /* largest depth so far */
  size_t values;    /* at most; the elements of an empty array or object are counted as one */
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
      scan->values++;
      scan->depth++;
      if (scan->depth > scan->max_depth)
        scan->max_depth = scan->depth;
      break;
    case ']':
    case '}':
      scan->depth -= scan->depth > 0;
      break;
    case ',':
      scan->values++;
      break;
    default:
      break;
    }
}

static bool
is_within (const Scan *scan, MdJsonBounds bounds)
{
  return scan->max_depth <= bounds.depth && scan->values <= bounds.values;
}

/* Scans the text until it ends or exceeds the bounds. Returns the position after the last byte that
   was scanned. */
static size_t
scan_text (Scan *scan, MdStr text, MdJsonBounds bounds)
{
  size_t pos = 0;

  scan->values = 1;
  while (pos < text.len && is_within (scan, bounds))
    if (text.data[pos] == '"')
      pos = skip_string (text, pos);
    else
      count_character (scan, text.data[pos++]);
  return pos < text.len ? pos : text.len;
}

/* ------------------------------------------------------------------ */
/* Allocations of jansson                                             */

static _Thread_local struct
{
  bool parsing;           /* a text is being parsed */
  bool failed;            /* an allocation has failed meanwhile */
  void *reserve;          /* room for the tokens of the text; NULL: none, or given up */
  unsigned long failures; /* since the start of the thread */
} allocator;

static void *
allocate (size_t size)
{
  void *memory = allocator.parsing && allocator.failed ? NULL : malloc (size);

  if (memory == NULL && allocator.reserve != NULL)
    {
      free (allocator.reserve);
      allocator.reserve = NULL;
      memory = malloc (size);
    }
  if (memory != NULL)
    return memory;
  allocator.failed = true;
  allocator.failures++;
  return NULL;
}

static void
release (void *memory)
{
  free (memory);
}

/* Before main, as values that were made with another function could not be freed. */
__attribute__ ((constructor)) static void
set_allocator (void)
{
  json_set_alloc_funcs (allocate, release);
}

unsigned long
md_json_failures (void)
{
  return allocator.failures;
}

char *
md_json_text (const json_t *value, size_t flags, unsigned long failures)
{
  char *text = value != NULL ? json_dumps (value, flags) : NULL;

  if (allocator.failures == failures)
    return text;
  free (text);
  return NULL;
}

static json_t *
refuse_for_memory (json_error_t *error)
{
  if (error != NULL)
    {
      memset (error, 0, sizeof *error);
      snprintf (error->text, sizeof error->text - 1, "out of memory");
    }
  return NULL;
}

static json_t *
parse (MdStr text, size_t flags, json_error_t *error)
{
  json_t *root;

  allocator.reserve = malloc ((text.len + 1) * TEXT_FACTOR);
  if (allocator.reserve == NULL)
    {
      allocator.failures++;
      return refuse_for_memory (error);
    }
  allocator.parsing = true;
  allocator.failed = false;
  root = json_loadb (text.data != NULL ? text.data : "", text.len, flags, error);
  allocator.parsing = false;
  free (allocator.reserve);
  allocator.reserve = NULL;
  if (!allocator.failed)
    return root;
  json_decref (root);
  return refuse_for_memory (error);
}

/* ------------------------------------------------------------------ */
/* Bounds                                                             */

size_t
md_json_depth (MdStr text)
{
  Scan scan = { 0 };

  scan_text (&scan, text, (MdJsonBounds){ .depth = SIZE_MAX, .values = SIZE_MAX });
  return scan.max_depth;
}

size_t
md_json_memory (MdStr text, size_t *values)
{
  Scan scan = { 0 };

  scan_text (&scan, text, (MdJsonBounds){ .depth = SIZE_MAX, .values = SIZE_MAX });
  *values = scan.values;
  return scan.values * VALUE_BYTES + text.len * TEXT_FACTOR;
}

static int
count_lines (MdStr text)
{
  int lines = 1;

  for (size_t i = 0; i < text.len; i++)
    lines += text.data[i] == '\n';
  return lines;
}

json_t *
md_json_load_bounded (MdStr text, MdJsonBounds bounds, size_t flags, json_error_t *error)
{
  Scan scan = { 0 };
  size_t scanned = scan_text (&scan, text, bounds);

  if (is_within (&scan, bounds))
    return parse (text, flags, error);
  if (error != NULL)
    {
      memset (error, 0, sizeof *error);
      error->line = count_lines (md_str_n (text.data, scanned));
      error->position = (int)scanned;
      if (scan.max_depth > bounds.depth)
        snprintf (error->text, sizeof error->text - 1, "nested more than %zu levels deep",
                  bounds.depth);
      else
        snprintf (error->text, sizeof error->text - 1, "more than %zu values", bounds.values);
    }
  return NULL;
}

json_t *
md_json_load (MdStr text, size_t flags, json_error_t *error)
{
  MdJsonBounds bounds = { .depth = MD_JSON_MAX_DEPTH, .values = SIZE_MAX };

  return md_json_load_bounded (text, bounds, flags, error);
}

json_t *
md_json_load_embedded (MdStr text, size_t flags, json_error_t *error)
{
  MdJsonBounds bounds = { .depth = MD_JSON_EMBEDDED_DEPTH, .values = MD_JSON_MAX_VALUES };

  return md_json_load_bounded (text, bounds, flags, error);
}
