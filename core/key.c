/* key.c -- submission keys and their assignment to shards

   Keys are 128-bit xxHash (XXH3) values, so that customers, pools and submission
   ids of any length take the same space in tables and messages. The length of each
   part is hashed before its bytes, so that ("ab", "c") and ("a", "bc") differ. Keys
   and guard names are assigned to shards by their 64-bit xxHash modulo the number
   of shards. */

#include "md-base.h"

#include <xxhash.h>

static void
hash_part (XXH3_state_t *state, MdStr part)
{
  uint64_t len = part.len;

  XXH3_128bits_update (state, &len, sizeof len);
  XXH3_128bits_update (state, part.data, part.len);
}

MdKey
md_key (MdStr customer, MdStr pool, MdStr submission_id)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  if (state == NULL)
    abort (); /* a few hundred bytes; no request can be processed without a key */
  XXH3_128bits_reset (state);
  hash_part (state, customer);
  hash_part (state, pool);
  hash_part (state, submission_id);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  return (MdKey){ hash.high64, hash.low64 };
}

uint32_t
md_shard_of_key (MdKey key, uint32_t shards)
{
  return shards > 1 ? (uint32_t)(XXH64 (&key, sizeof key, 0) % shards) : 0;
}

uint32_t
md_shard_of_guard (MdStr name, uint32_t shards)
{
  return shards > 1 ? (uint32_t)(XXH64 (name.data, name.len, 0) % shards) : 0;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

int64_t
md_uuid7_time (MdStr id)
{
  int64_t ms = 0;

  if (id.len != 36 || id.data[14] != '7')
    return 0;
  for (size_t i = 0; i < 36; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      int digit = hex_digit (id.data[i]);

      if (dash != (id.data[i] == '-') || (!dash && digit < 0))
        return 0;
      if (i < 13 && !dash)
        ms = ms * 16 + digit;
    }
  return ms;
}
