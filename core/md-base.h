/* md-base.h -- what the coordination parts of the library share

   Clean-up attributes, strings, buffers and errors. Nothing here does I/O; the
   programs get it with md-private.h. */

#ifndef MD_BASE_H
#define MD_BASE_H

#include "mulberrydrift.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------------ */
/* Clean-up attributes                                                */

static inline void
md_free_pointer (void *address)
{
  void **p = address;
  free (*p);
  *p = NULL;
}

#define md_autofree __attribute__ ((cleanup (md_free_pointer)))

#define MD_UNUSED __attribute__ ((unused))
#define MD_PRINTF(f, a) __attribute__ ((format (printf, f, a)))
#define MD_ARRAY_SIZE(a) (sizeof (a) / sizeof ((a)[0]))

/* ------------------------------------------------------------------ */
/* Strings and buffers (str.c)                                        */

#define MD_STR(literal) ((MdStr){ (literal), sizeof (literal) - 1 })

static inline MdStr
md_str (const char *s)
{
  return (MdStr){ s, s ? strlen (s) : 0 };
}

static inline MdStr
md_str_n (const void *data, size_t len)
{
  return (MdStr){ data, len };
}

static inline bool
md_str_equal (MdStr a, MdStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Compares in a time that depends only on the length of a; for credentials. */
bool md_str_equal_secret (MdStr a, MdStr b);

/* md_str_dup: a terminated copy, freed with free; NULL when out of memory. */
char *md_str_dup (MdStr s);

/* md_str_cat_n: copy into a fixed field of size bytes, cut and terminated. */
void md_str_copy (char *field, size_t size, MdStr s);

/* An owned, growing buffer. Zero-initialized it is empty. After a failed
   allocation failed is set and further appends do nothing. */
typedef struct
{
  char *data;  /* always terminated when not NULL */
  size_t len;  /* bytes in use, without the terminator */
  size_t cap;  /* bytes allocated */
  bool failed; /* an allocation failed */
} MdBuf;

void md_buf_clear (MdBuf *buf); /* releases the memory */
#define MD_AUTO_BUF __attribute__ ((cleanup (md_buf_clear))) MdBuf

void md_buf_append (MdBuf *buf, MdStr s);
void md_buf_printf (MdBuf *buf, const char *format, ...) MD_PRINTF (2, 3);
/* md_buf_consume: drop n bytes from the front. */
void md_buf_consume (MdBuf *buf, size_t n);
bool md_buf_reserve (MdBuf *buf, size_t extra);

static inline MdStr
md_buf_str (const MdBuf *buf)
{
  return (MdStr){ buf->data, buf->len };
}

static inline bool
md_key_equal (MdKey a, MdKey b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

/* md_key_text: 32 hexadecimal digits and a terminator. */
void md_key_text (MdKey key, char out[33]);

/* ------------------------------------------------------------------ */
/* Errors (error.c)                                                   */

/* md_error_set: fill in an error that is not set yet; returns code. */
int md_error_set (MdError *error, int code, const char *step, const char *peer, const char *format,
                  ...) MD_PRINTF (5, 6);

/* ------------------------------------------------------------------ */
/* Configuration as read (config-check.c)                             */

#define MD_NAME_BYTES 64 /* names of nodes, pools, customers, with terminator */

typedef struct
{
  char name[MD_NAME_BYTES];     /* pool */
  uint32_t shards;              /* fixed at creation */
  uint32_t slots_per_guard;     /* cap, 0 none */
  uint32_t coalesce_us;         /* longest delay of a message for batching */
  uint32_t max_queue;           /* waiting tasks per shard, 0 default */
  uint32_t default_deadline_ms; /* for submissions without a deadline */
  bool fair_share;              /* share slots between customers */
} MdPoolConfig;

#endif
