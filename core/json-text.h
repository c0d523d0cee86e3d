/* json-text.h -- parsing of JSON texts with bounds

   jansson parses, writes and frees nested values by recursion, up to 2,048 levels. A thread of the HTTP
   server has a stack of 100 KB, which 900 levels exceed. Every JSON text that the program reads is
   therefore loaded here, where its nesting is checked before anything recurses. */

#ifndef MD_JSON_TEXT_H
#define MD_JSON_TEXT_H

#include "md-base.h"

#include <jansson.h>

/* Levels of arrays and objects in a text. Messages have 5; the bodies and specs of callers and operators
   may be any JSON. Writing a value of this depth takes less than half of the smallest stack. */
#define MD_JSON_MAX_DEPTH 128

/* Levels of a value that is embedded in other texts, such as a spec in a record in a snapshot in a
   response of the log. */
#define MD_JSON_EMBEDDED_DEPTH 64

/* md_json_depth: the number of levels of arrays and objects that a parser may enter while it
   reads the text, whether or not the text is valid. */
size_t md_json_depth (MdStr text);

/* md_json_load: parse a text, as json_loadb does with these flags; the caller releases the value.
   NULL with error set, which may be NULL, when the text is not valid or has more than
   MD_JSON_MAX_DEPTH levels. An empty MdStr without data is not valid. */
json_t *md_json_load (MdStr text, size_t flags, json_error_t *error);

/* md_json_load_embedded: the same with MD_JSON_EMBEDDED_DEPTH. */
json_t *md_json_load_embedded (MdStr text, size_t flags, json_error_t *error);

#endif
