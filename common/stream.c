/* stream.c -- reads whole files and standard input into a buffer */

#include "md-private.h"

#include <stdio.h>

bool
md_stream_read (FILE *file, size_t max, MdBuf *out)
{
  char chunk[8192];
  size_t n;

  while (out->len <= max && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    md_buf_append (out, md_str_n (chunk, n));
  return !ferror (file) && !out->failed;
}
