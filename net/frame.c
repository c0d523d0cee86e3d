/* frame.c -- frames on a byte stream

   A frame is a 4-byte big-endian length followed by one packed Frame message.
   The length is checked before anything is unpacked. A small frame can decode to
   a much larger structure (an empty sub-message takes two bytes on the wire and
   about a hundred in memory), so the memory of one decoded frame is bounded as
   well. */

#include "md-private.h"

#include "wire.pb-c.h"

#define LENGTH_BYTES 4

/* Four times the largest frame: tasks with bodies decode to little more than
   their size on the wire, and the smallest useful records to about four times. */
#define DECODED_MAX ((size_t)4 * MD_FRAME_MAX_BYTES)

static void
put_length (char *out, size_t len)
{
  out[0] = (char)(len >> 24);
  out[1] = (char)(len >> 16);
  out[2] = (char)(len >> 8);
  out[3] = (char)len;
}

static size_t
get_length (const char *in)
{
  const unsigned char *p = (const unsigned char *)in;

  return (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
}

int
md_frame_encode (const Md__Frame *frame, MdBuf *out)
{
  size_t len = md__frame__get_packed_size (frame);

  if (len > MD_FRAME_MAX_BYTES)
    return MD_E_LIMIT;
  if (!md_buf_reserve (out, LENGTH_BYTES + len))
    return MD_E_MEMORY;
  put_length (out->data + out->len, len);
  md__frame__pack (frame, (uint8_t *)out->data + out->len + LENGTH_BYTES);
  out->len += LENGTH_BYTES + len;
  out->data[out->len] = '\0';
  return MD_OK;
}

/* The memory comes from malloc, so that md__frame__free_unpacked with a NULL
   allocator releases it. */
static void *
bounded_alloc (void *data, size_t size)
{
  size_t *left = data;

  if (size > *left)
    return NULL;
  *left -= size;
  return malloc (size);
}

static void
bounded_free (void *data MD_UNUSED, void *memory)
{
  free (memory);
}

static Md__Frame *
unpack_bounded (const char *bytes, size_t len)
{
  size_t left = DECODED_MAX;
  ProtobufCAllocator allocator = { bounded_alloc, bounded_free, &left };

  return md__frame__unpack (&allocator, len, (const uint8_t *)bytes);
}

int
md_frame_decode (MdStr bytes, Md__Frame **frame, size_t *used)
{
  size_t len;

  if (bytes.len < LENGTH_BYTES)
    return MD_E_NOT_FOUND;
  len = get_length (bytes.data);
  if (len > MD_FRAME_MAX_BYTES)
    return MD_E_INVALID;
  if (bytes.len - LENGTH_BYTES < len)
    return MD_E_NOT_FOUND;
  *frame = unpack_bounded (bytes.data + LENGTH_BYTES, len);
  if (*frame == NULL)
    return MD_E_INVALID;
  *used = LENGTH_BYTES + len;
  return MD_OK;
}
