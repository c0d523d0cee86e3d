/* frame.c -- encodes and decodes the frames of a byte stream

   A frame is a 4-byte big-endian length followed by one packed Frame message of
   Protocol Buffers. The length is checked before the message is unpacked. A small
   frame can decode to a much larger structure (an empty sub-message takes two bytes on
   the wire and about a hundred in memory), so the memory of a decoded frame is limited
   as well. */

#include "md-private.h"

#include "wire.pb-c.h"

#define LENGTH_BYTES 4 /* of the length prefix */

/* Four times the largest frame: tasks with bodies decode to little more than their size
   on the wire, and the smallest useful records to about four times their size. */
#define MAX_DECODED_BYTES ((size_t)4 * MD_FRAME_MAX_BYTES)

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

typedef struct
{
  size_t left;        /* bytes that the frame may still take */
  bool out_of_memory; /* the process has none; the peer is not at fault */
} Bound;

/* Allocates with malloc, so that md__frame__free_unpacked with a NULL allocator can free
   the frame. data is the Bound. */
static void *
bounded_alloc (void *data, size_t size)
{
  Bound *bound = data;
  void *memory;

  if (size > bound->left)
    return NULL;
  bound->left -= size;
  memory = malloc (size);
  bound->out_of_memory |= memory == NULL;
  return memory;
}

static void
bounded_free (void *data MD_UNUSED, void *memory)
{
  free (memory);
}

static int
unpack_bounded (const char *bytes, size_t len, Md__Frame **frame)
{
  Bound bound = { .left = MAX_DECODED_BYTES };
  ProtobufCAllocator allocator = { bounded_alloc, bounded_free, &bound };

  *frame = md__frame__unpack (&allocator, len, (const uint8_t *)bytes);
  if (*frame != NULL)
    return MD_OK;
  return bound.out_of_memory ? MD_E_MEMORY : MD_E_INVALID;
}

int
md_frame_decode (MdStr bytes, Md__Frame **frame, size_t *used)
{
  size_t len;
  int rc;

  if (bytes.len < LENGTH_BYTES)
    return MD_E_NOT_FOUND;
  len = get_length (bytes.data);
  if (len > MD_FRAME_MAX_BYTES)
    return MD_E_INVALID;
  if (bytes.len - LENGTH_BYTES < len)
    return MD_E_NOT_FOUND;
  rc = unpack_bounded (bytes.data + LENGTH_BYTES, len, frame);
  if (rc != MD_OK)
    return rc;
  *used = LENGTH_BYTES + len;
  return MD_OK;
}
