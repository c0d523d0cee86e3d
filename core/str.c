/* str.c -- length-counted strings and growing buffers

   Buffers keep a terminator behind their data, so that the data can be passed to
   functions of the C library. A failed allocation sets a flag in the buffer instead
   of being returned, so that a sequence of appends needs only one check at its end. */

#include "md-base.h"

#include <stdio.h>

bool
md_str_equal_secret (MdStr a, MdStr b)
{
  unsigned char diff = a.len != b.len;

  for (size_t i = 0; i < a.len; i++)
    {
      char other = b.len > 0 ? b.data[i % b.len] : 0;
      diff |= (unsigned char)(a.data[i] ^ other);
    }
  return diff == 0;
}

char *
md_str_dup (MdStr s)
{
  char *copy = malloc (s.len + 1);

  if (copy == NULL)
    return NULL;
  if (s.len > 0)
    memcpy (copy, s.data, s.len);
  copy[s.len] = '\0';
  return copy;
}

void
md_str_copy (char *field, size_t size, MdStr s)
{
  size_t n = s.len < size - 1 ? s.len : size - 1;

  if (n > 0)
    memcpy (field, s.data, n);
  field[n] = '\0';
}

bool
md_str_set (char **field, MdStr s)
{
  char *copy = s.len > 0 ? md_str_dup (s) : NULL;

  free (*field);
  *field = copy;
  return copy != NULL || s.len == 0;
}

MdStr
md_str_store (char **place, MdStr s)
{
  MdStr copy = { *place, s.len };

  md_str_copy (*place, s.len + 1, s);
  *place += s.len + 1;
  return copy;
}

void
md_buf_clear (MdBuf *buf)
{
  free (buf->data);
  memset (buf, 0, sizeof *buf);
}

bool
md_buf_reserve (MdBuf *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  size_t cap = buf->cap ? buf->cap : 64;
  char *data;

  if (buf->failed)
    return false;
  if (need <= buf->cap)
    return true;
  while (cap < need)
    cap *= 2;
  data = realloc (buf->data, cap);
  if (data == NULL)
    {
      buf->failed = true;
      return false;
    }
  buf->data = data;
  buf->cap = cap;
  return true;
}

void
md_buf_append (MdBuf *buf, MdStr s)
{
  if (!md_buf_reserve (buf, s.len))
    return;
  if (s.len > 0)
    memcpy (buf->data + buf->len, s.data, s.len);
  buf->len += s.len;
  buf->data[buf->len] = '\0';
}

void
md_buf_printf (MdBuf *buf, const char *format, ...)
{
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (n < 0 || !md_buf_reserve (buf, (size_t)n))
    return;
  va_start (args, format);
  vsnprintf (buf->data + buf->len, (size_t)n + 1, format, args);
  va_end (args);
  buf->len += (size_t)n;
}

void
md_buf_consume (MdBuf *buf, size_t n)
{
  if (n == 0)
    return;
  memmove (buf->data, buf->data + n, buf->len - n);
  buf->len -= n;
  buf->data[buf->len] = '\0';
}

void
md_key_text (MdKey key, char out[33])
{
  snprintf (out, 33, "%016llx%016llx", (unsigned long long)key.hi, (unsigned long long)key.lo);
}
