/* json-text.h -- parsing of JSON texts with bounds

   jansson parses, writes and frees nested values by recursion, up to 2,048 levels. A thread of the
   HTTP server has a stack of 100 KB, which 900 levels exceed. A parsed value takes up to eighty
   times as much memory as its text. Every JSON text that the program reads is therefore loaded
   here, where its nesting and the number of its values are checked before it is parsed. */

#ifndef MD_JSON_TEXT_H
#define MD_JSON_TEXT_H

#include "md-base.h"

#include <jansson.h>

/* Levels of arrays and objects in a text. Messages have 5; the bodies and specs of callers and
   operators may be any JSON. Writing a value of this depth takes less than half of the smallest
   stack. */
#define MD_JSON_MAX_DEPTH 128

/* Levels of a value that is embedded in other texts, such as a spec in a record in a snapshot in a
   response of the log. */
#define MD_JSON_EMBEDDED_DEPTH 64

/* Values of a text whose size follows from no other bound, and of an answer that is embedded. They
   take at most 80 MB; numbers, of which large bodies consist, an eighth of that. */
#define MD_JSON_MAX_VALUES (256u << 10)

/* What a text may contain. */
typedef struct
{
  size_t depth;  /* levels of arrays and objects */
  size_t values; /* elements of arrays, members of objects, and the outermost value */
} MdJsonBounds;

/* md_json_failures: how many allocations of jansson have failed in this thread. Functions that add to
   an array or object report that by results which are easily overlooked; whoever builds a value from
   several calls compares the number before and after. */
unsigned long md_json_failures (void);

/* md_json_text: the text of a value, as json_dumps writes it with these flags; the caller frees it
   with free. NULL without memory, when value is NULL, or when md_json_failures no longer returns
   failures, the number before the value was built. */
char *md_json_text (const json_t *value, size_t flags, unsigned long failures);

/* md_json_depth: the number of levels of arrays and objects that a parser may enter while it
   reads the text, whether or not the text is valid. */
size_t md_json_depth (MdStr text);

/* md_json_memory: bytes that parsing the text takes at most, the value included. Its number of
   values is stored in values. */
size_t md_json_memory (MdStr text, size_t *values);

/* md_json_load: parse a text, as json_loadb does with these flags; the caller releases the value.
   NULL with error set, which may be NULL, when the text is not valid or has more than
   MD_JSON_MAX_DEPTH levels, or when memory is short, which md_json_failures tells apart. An empty
   MdStr without data is not valid. */
json_t *md_json_load (MdStr text, size_t flags, json_error_t *error);

/* md_json_load_bounded: the same with other bounds. */
json_t *md_json_load_bounded (MdStr text, MdJsonBounds bounds, size_t flags, json_error_t *error);

/* md_json_load_embedded: the same with MD_JSON_EMBEDDED_DEPTH and MD_JSON_MAX_VALUES. */
json_t *md_json_load_embedded (MdStr text, size_t flags, json_error_t *error);

#endif
