/* test-basics.c -- strings, keys, submission ids and the logger's quoting */

#include "md-private.h"
#include "suite.h"

/* Guards against two submissions sharing a key because parts run together. */
START_TEST (test_key_separates_parts)
{
  MdKey a = md_key (MD_STR ("ab"), MD_STR ("c"), MD_STR ("x"));
  MdKey b = md_key (MD_STR ("a"), MD_STR ("bc"), MD_STR ("x"));

  ck_assert (!md_key_equal (a, b));
}
END_TEST

/* Guards against a wrong first submission time, which would let a successor
   treat a resubmission as new. */
START_TEST (test_uuid7_time)
{
  char id[37];
  int64_t before = md_wall_ms ();
  int64_t ms;

  md_uuid7 (id);
  ms = md_uuid7_time (md_str (id));
  ck_assert (ms >= before && ms <= md_wall_ms ());
  ck_assert_int_eq (md_uuid7_time (MD_STR ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")), 1645557742000);
  ck_assert_int_eq (md_uuid7_time (MD_STR ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")), 0);
  ck_assert_int_eq (md_uuid7_time (MD_STR ("order-17")), 0);
}
END_TEST

/* Guards against accepting a token that is only a prefix of the right one. */
START_TEST (test_secret_compare)
{
  ck_assert (md_str_equal_secret (MD_STR ("secret"), MD_STR ("secret")));
  ck_assert (!md_str_equal_secret (MD_STR ("secre"), MD_STR ("secret")));
  ck_assert (!md_str_equal_secret (MD_STR ("secretsecret"), MD_STR ("secret")));
  ck_assert (!md_str_equal_secret (MD_STR (""), MD_STR ("secret")));
  ck_assert (!md_str_equal_secret (MD_STR ("secret"), MD_STR ("")));
}
END_TEST

/* Guards against a value from outside forging further pairs in a log line. */
START_TEST (test_log_quote)
{
  char out[32];

  ck_assert_str_eq (md_log_quote (MD_STR ("plain"), out, sizeof out), "plain");
  ck_assert_str_eq (md_log_quote (MD_STR ("a b=c\n\""), out, sizeof out), "\"a b=c??\"");
  ck_assert_str_eq (md_log_quote (MD_STR (""), out, sizeof out), "\"\"");
}
END_TEST

START_TEST (test_buffer)
{
  MD_AUTO_BUF buf = { 0 };

  md_buf_append (&buf, MD_STR ("hello "));
  md_buf_printf (&buf, "%d", 42);
  md_buf_consume (&buf, 6);
  ck_assert_str_eq (buf.data, "42");
  ck_assert (!buf.failed);
}
END_TEST

/* Guards against an empty text without an address: libraries end the process (libyaml) or drop
   the text (jansson) when they are given one, and memcpy has no defined behaviour. */
START_TEST (test_empty_text_has_an_address)
{
  MD_AUTO_BUF buf = { 0 };

  ck_assert_ptr_nonnull (md_str (NULL).data);
  ck_assert_ptr_nonnull (md_str_n (NULL, 0).data);
  ck_assert_ptr_nonnull (md_buf_str (&buf).data);
  ck_assert_uint_eq (md_str (NULL).len, 0);
  ck_assert_uint_eq (md_buf_str (&buf).len, 0);
  ck_assert_str_eq (md_buf_str (&buf).data, "");
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("basics");

  tcase_add_test (tc, test_key_separates_parts);
  tcase_add_test (tc, test_uuid7_time);
  tcase_add_test (tc, test_secret_compare);
  tcase_add_test (tc, test_log_quote);
  tcase_add_test (tc, test_buffer);
  tcase_add_test (tc, test_empty_text_has_an_address);
  return run_suite ("basics", tc);
}
