/* md-base.h -- helpers shared by the coordination library

   Clean-up attributes, strings, growing buffers, errors and the parsed
   configuration of a pool. Nothing here does I/O; the helpers of the daemon that do
   are in md-private.h. */

#ifndef MD_BASE_H
#define MD_BASE_H

#include "mulberrydrift.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------------ */
/* Clean-up attributes                                                */

/* Frees the pointer stored at address and sets it to NULL; for md_autofree. */
static inline void
md_free_pointer (void *address)
{
  void **p = address;
  free (*p);
  *p = NULL;
}

/* Frees a pointer variable when it goes out of scope. */
#define md_autofree __attribute__ ((cleanup (md_free_pointer)))

#define MD_UNUSED __attribute__ ((unused))
/* Checks a printf format in argument f against the arguments from a on. */
#define MD_PRINTF(f, a) __attribute__ ((format (printf, f, a)))
#define MD_ARRAY_SIZE(a) (sizeof (a) / sizeof ((a)[0]))

/* ------------------------------------------------------------------ */
/* Strings and buffers (str.c)                                        */

/* An MdStr of a string literal. */
#define MD_STR(literal) ((MdStr){ (literal), sizeof (literal) - 1 })

/* An MdStr of len bytes. NULL, the data of buffers and decoded messages without a byte, gives an
   empty text with an address: libraries reject a NULL text or end the process. */
static inline MdStr
md_str_n (const void *data, size_t len)
{
  return data != NULL ? (MdStr){ data, len } : (MdStr){ "", 0 };
}

/* An MdStr of a terminated string; NULL gives an empty one. */
static inline MdStr
md_str (const char *s)
{
  return md_str_n (s, s ? strlen (s) : 0);
}

static inline bool
md_str_equal (MdStr a, MdStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* md_str_equal_secret: compares credentials. The time depends only on the length of
   a, so that it does not reveal how many bytes match. */
bool md_str_equal_secret (MdStr a, MdStr b);

/* md_str_dup: returns a terminated copy, which the caller frees with free, or NULL
   when out of memory. */
char *md_str_dup (MdStr s);

/* md_str_copy: copies s into a field of size bytes (at least 1), truncated if
   necessary and always terminated. */
void md_str_copy (char *field, size_t size, MdStr s);

/* md_str_set: replaces the owned, terminated text *field with a copy of s; NULL for an empty one.
   Returns false, with *field NULL, when memory runs out. */
bool md_str_set (char **field, MdStr s);

/* md_str_store: copies s and a terminator to *place, which has room for them, and advances *place
   behind it. Returns the copy. */
MdStr md_str_store (char **place, MdStr s);

/* A growing buffer that owns its memory. It is empty when zero-initialized. After a
   failed allocation, failed is set and further appends do nothing; the data so far
   stays valid. */
typedef struct
{
  char *data;  /* always terminated when not NULL */
  size_t len;  /* bytes in use, without the terminator */
  size_t cap;  /* bytes allocated */
  bool failed; /* a reservation or an append failed for lack of memory */
} MdBuf;

void md_buf_clear (MdBuf *buf); /* frees the data; buf is empty again */
#define MD_AUTO_BUF __attribute__ ((cleanup (md_buf_clear))) MdBuf

/* md_buf_append, md_buf_printf: append s or formatted text. Lack of memory sets failed. */
void md_buf_append (MdBuf *buf, MdStr s);
void md_buf_printf (MdBuf *buf, const char *format, ...) MD_PRINTF (2, 3);
/* md_buf_consume: removes the first n bytes; n must not exceed len. */
void md_buf_consume (MdBuf *buf, size_t n);
/* md_buf_reserve: makes room for extra bytes and a terminator behind the data.
   Returns false when the buffer has failed before or memory runs out. */
bool md_buf_reserve (MdBuf *buf, size_t extra);

/* The data of a buffer; borrowed until the buffer changes. */
static inline MdStr
md_buf_str (const MdBuf *buf)
{
  return md_str_n (buf->data, buf->len);
}

static inline bool
md_key_equal (MdKey a, MdKey b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

/* md_key_text: writes a key as 32 hexadecimal digits and a terminator. */
void md_key_text (MdKey key, char out[33]);

/* ------------------------------------------------------------------ */
/* Errors (error.c)                                                   */

/* md_error_set: fills in error with a code, the step and peer (NULL when local) and
   a formatted detail, unless error is NULL or already set. Returns code. */
int md_error_set (MdError *error, int code, const char *step, const char *peer, const char *format,
                  ...) MD_PRINTF (5, 6);

/* ------------------------------------------------------------------ */
/* Parsed configuration (config-check.c)                              */

#define MD_NAME_BYTES 64 /* node, pool and customer names, with terminator */

/* The settings of a pool, read from its spec. */
typedef struct
{
  char name[MD_NAME_BYTES];     /* pool */
  uint32_t shards;              /* number of shards; cannot change after creation */
  uint32_t slots_per_guard;     /* upper bound, 0 none */
  uint32_t coalesce_us;         /* longest delay of a message for batching, microseconds */
  uint32_t max_queue;           /* waiting tasks per shard, 0 for MdTuning.max_queued_tasks */
  uint32_t default_deadline_ms; /* for submissions without a deadline */
  bool fair_share;              /* share slots between customers by weight */
} MdPoolConfig;

#endif
