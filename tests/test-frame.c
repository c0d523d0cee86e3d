/* test-frame.c -- encoding and decoding of frames */

#include "md-private.h"

#include "suite.h"
#include "wire.pb-c.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED 0x9e3779b97f4a7c15u

static void
encode_starts (MdBuf *out)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Starts starts = MD__STARTS__INIT;
  Md__Start start = MD__START__INIT;
  Md__Start *list[] = { &start };
  Md__Key key = MD__KEY__INIT;

  key.hi = 7;
  key.lo = 9;
  start.key = &key;
  start.path = (char *)"/calc";
  start.body.data = (uint8_t *)"body";
  start.body.len = 4;
  starts.owner = 42;
  starts.starts = list;
  starts.n_starts = 1;
  frame.msg_case = MD__FRAME__MSG_STARTS;
  frame.starts = &starts;
  ck_assert_int_eq (md_frame_encode (&frame, out), MD_OK);
}

/* Guards against a frame that is taken before all of it has arrived, and against
   bytes of the next frame being lost. */
START_TEST (test_partial)
{
  MD_AUTO_BUF buf = { 0 };
  Md__Frame *frame = NULL;
  size_t used = 0;
  size_t first;

  encode_starts (&buf);
  first = buf.len;
  encode_starts (&buf);
  for (size_t n = 0; n < first; n++)
    ck_assert_int_eq (md_frame_decode (md_str_n (buf.data, n), &frame, &used), MD_E_NOT_FOUND);
  ck_assert_int_eq (md_frame_decode (md_buf_str (&buf), &frame, &used), MD_OK);
  ck_assert_uint_eq (used, first);
  ck_assert_int_eq (frame->msg_case, MD__FRAME__MSG_STARTS);
  ck_assert_uint_eq (frame->starts->starts[0]->key->lo, 9);
  ck_assert_uint_eq (frame->starts->starts[0]->body.len, 4);
  md__frame__free_unpacked (frame, NULL);
}
END_TEST

/* Guards against memory for a length that no peer may send. */
START_TEST (test_length_bound)
{
  Md__Frame *frame = NULL;
  size_t used = 0;

  ck_assert_int_eq (md_frame_decode (md_str_n ("\x01\0\0\x01", 4), &frame, &used), MD_E_INVALID);
  ck_assert_int_eq (md_frame_decode (md_str_n ("\x01\0\0\0", 4), &frame, &used), MD_E_NOT_FOUND);
}
END_TEST

/* Guards against sending a frame that the receiver must refuse. */
START_TEST (test_encode_bound)
{
  MD_AUTO_BUF buf = { 0 };
  Md__Frame frame = MD__FRAME__INIT;
  Md__SnapshotReply reply = MD__SNAPSHOT_REPLY__INIT;

  reply.snapshot.len = MD_FRAME_MAX_BYTES;
  reply.snapshot.data = calloc (1, MD_FRAME_MAX_BYTES);
  frame.msg_case = MD__FRAME__MSG_SNAPSHOT_REPLY;
  frame.snapshot_reply = &reply;
  ck_assert_int_eq (md_frame_encode (&frame, &buf), MD_E_LIMIT);
  ck_assert_uint_eq (buf.len, 0);
  free (reply.snapshot.data);
}
END_TEST

/* Guards against a small frame that decodes to a large structure: 16 MiB of empty
   records would take more than 500 MiB. */
START_TEST (test_decoded_bound)
{
  const size_t n = (MD_FRAME_MAX_BYTES - 64) / 2;
  MD_AUTO_BUF buf = { 0 };
  Md__Frame *frame = NULL;
  size_t used = 0;
  size_t inner = n * 2;
  unsigned char varint[4];

  for (int i = 0; i < 4; i++)
    varint[i] = (unsigned char)((inner >> (7 * i) & 0x7f) | (i < 3 ? 0x80 : 0));
  md_buf_append (&buf, md_str_n ((char[]){ 0, (char)((inner + 5) >> 16), (char)((inner + 5) >> 8),
                                           (char)(inner + 5) },
                                 4));
  md_buf_append (&buf, md_str_n ("\x32", 1)); /* field 6, Records */
  md_buf_append (&buf, md_str_n ((char *)varint, 4));
  for (size_t i = 0; i < n; i++)
    md_buf_append (&buf, md_str_n ("\x0a\0", 2)); /* field 1, empty TaskRecord */
  ck_assert_int_eq (md_frame_decode (md_buf_str (&buf), &frame, &used), MD_E_INVALID);
}
END_TEST

static uint64_t
next_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

/* Guards against reads out of bounds and leaks on malformed input; the sanitizer
   variants judge. Half of the rounds damage a valid frame, half are noise. */
START_TEST (test_fuzz)
{
  uint64_t state = FUZZ_SEED;
  int decoded = 0;

  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      MD_AUTO_BUF buf = { 0 };
      Md__Frame *frame = NULL;
      size_t used = 0;

      encode_starts (&buf);
      for (uint64_t n = next_random (&state) % 4 + 1; n > 0; n--)
        buf.data[4 + next_random (&state) % (buf.len - 4)] = (char)next_random (&state);
      if (i % 2 != 0)
        for (size_t k = 4; k < buf.len; k++)
          buf.data[k] = (char)next_random (&state);
      if (md_frame_decode (md_buf_str (&buf), &frame, &used) != MD_OK)
        continue;
      ck_assert_uint_eq (used, buf.len);
      md__frame__free_unpacked (frame, NULL);
      decoded++;
    }
  ck_assert_int_gt (decoded, 0);
  ck_assert_int_lt (decoded, FUZZ_ROUNDS);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("frame");

  tcase_add_test (tc, test_partial);
  tcase_add_test (tc, test_length_bound);
  tcase_add_test (tc, test_encode_bound);
  tcase_add_test (tc, test_decoded_bound);
  tcase_add_test (tc, test_fuzz);
  return run_suite ("frame", tc);
}
