/* test-evacuation.c -- the set of evacuated failure domains, as read from the log and as told to
   guards

   Offsets stand for time: each test delivers records in an order that slow, repeated or interrupted
   calls to the store produce. */

#include "evacuation.h"
#include "platform.h"
#include "suite.h"

#include <stdio.h>

static MdEvacuationLog records;

static void
setup (void)
{
  memset (&records, 0, sizeof records);
}

static bool
has (const char *domain)
{
  return md_evacuated_has (&records.known, domain);
}

static void
evacuate (const char *domain, uint64_t offset)
{
  ck_assert (md_evacuation_record (&records, md_str (domain), true, offset));
}

static void
put_back (const char *domain, uint64_t offset)
{
  ck_assert (md_evacuation_record (&records, md_str (domain), false, offset));
}

/* Guards against an entry that takes jobs while it knows only a part of the set. */
START_TEST (set_is_known_with_the_last_page)
{
  md_evacuation_begin_pages (&records);
  evacuate ("zone-a", 3);
  ck_assert_uint_eq (records.known.version, 0);
  ck_assert (!has ("zone-a"));
  evacuate ("zone-b", 7);
  ck_assert (md_evacuation_read_up_to (&records, 9));
  ck_assert_uint_eq (records.known.version, 9);
  ck_assert (has ("zone-a") && has ("zone-b") && !has ("zone-c"));
}
END_TEST

/* Guards against a domain that is put back into use between the first page and the last, and
   against one that stays evacuated although its record is gone from the store. */
START_TEST (former_set_applies_until_the_last_page)
{
  md_evacuation_begin_pages (&records);
  evacuate ("zone-a", 3);
  evacuate ("zone-b", 4);
  md_evacuation_read_up_to (&records, 5);
  md_evacuation_begin_pages (&records);
  evacuate ("zone-c", 8);
  ck_assert (has ("zone-a") && has ("zone-b") && !has ("zone-c"));
  md_evacuation_begin_pages (&records); /* a page has failed and is read again */
  evacuate ("zone-b", 4);
  ck_assert (md_evacuation_read_up_to (&records, 9));
  ck_assert (!has ("zone-a") && has ("zone-b") && has ("zone-c"));
}
END_TEST

/* Guards against a set that goes back in time with the pages of a store that is behind. */
START_TEST (pages_of_an_earlier_time_change_nothing)
{
  md_evacuation_begin_pages (&records);
  md_evacuation_read_up_to (&records, 5);
  evacuate ("zone-a", 5);
  md_evacuation_read_up_to (&records, 6);
  md_evacuation_begin_pages (&records);
  ck_assert (!md_evacuation_read_up_to (&records, 5));
  ck_assert (has ("zone-a"));
  ck_assert_uint_eq (records.known.version, 6);
  /* The log is then read from the earlier end on. */
  evacuate ("zone-a", 5);
  put_back ("zone-a", 6);
  ck_assert (!has ("zone-a"));
  ck_assert_uint_eq (records.known.version, 7);
}
END_TEST

/* Guards against an older record that is read after a page with a newer one of the same domain:
   pages are no snapshot, and the log is read again from their lowest end on. */
START_TEST (older_record_after_a_page_changes_nothing)
{
  md_evacuation_begin_pages (&records);
  evacuate ("zone-a", 12);
  md_evacuation_read_up_to (&records, 10);
  put_back ("zone-a", 11);
  ck_assert (has ("zone-a"));
  evacuate ("zone-a", 12);
  ck_assert (has ("zone-a"));
  put_back ("zone-a", 13);
  ck_assert (!has ("zone-a"));
}
END_TEST

/* Guards against a change that is applied twice or in the wrong order when a response was cut short
   and its first records are read again. */
START_TEST (records_that_are_read_again_change_nothing)
{
  md_evacuation_begin_pages (&records);
  md_evacuation_read_up_to (&records, 1);
  evacuate ("zone-a", 1);
  put_back ("zone-a", 2);
  evacuate ("zone-b", 3);
  evacuate ("zone-a", 1);
  ck_assert (!has ("zone-a") && has ("zone-b"));
  put_back ("zone-b", 4);
  evacuate ("zone-b", 3);
  ck_assert (!has ("zone-b"));
  ck_assert_uint_eq (records.known.version, 5);
}
END_TEST

/* Guards against an operator's mistake that fills the memory, and against one that pushes out the
   domains that are evacuated already. */
START_TEST (domains_are_bounded)
{
  char name[2 * MD_NAME_BYTES];

  md_evacuation_begin_pages (&records);
  md_evacuation_read_up_to (&records, 1);
  for (unsigned i = 0; i < MD_MAX_EVACUATED; i++)
    {
      snprintf (name, sizeof name, "zone-%u", i);
      evacuate (name, 1 + i);
    }
  ck_assert (!md_evacuation_record (&records, MD_STR ("one-more"), true, 100));
  ck_assert (!has ("one-more") && has ("zone-0") && has ("zone-63"));
  put_back ("zone-5", 101);
  evacuate ("one-more", 102);
  ck_assert (has ("one-more") && !has ("zone-5"));
  put_back ("zone-6", 103);
  memset (name, 'x', sizeof name);
  ck_assert (!md_evacuation_record (&records, md_str_n (name, MD_NAME_BYTES), true, 104));
  ck_assert (md_evacuation_record (&records, md_str_n (name, MD_NAME_BYTES - 1), true, 105));
  ck_assert (!md_evacuation_record (&records, MD_STR (""), true, 106));
}
END_TEST

/* Guards against an entry that is late and puts a domain back into use, or evacuates one that is in
   use again; and against entries that do not know, or are of an earlier build. */
START_TEST (guard_follows_the_highest_version)
{
  MdEvacuationNotice notice = { 0 };

  ck_assert (!md_evacuation_adopt (&notice, false, 0));
  ck_assert (!md_evacuation_adopt (&notice, true, 0));
  ck_assert (!notice.evacuated);
  ck_assert (md_evacuation_adopt (&notice, true, 8));
  ck_assert (!md_evacuation_adopt (&notice, false, 7));
  ck_assert (!md_evacuation_adopt (&notice, false, 8));
  ck_assert (!md_evacuation_adopt (&notice, false, 0));
  ck_assert (notice.evacuated);
  ck_assert (!md_evacuation_adopt (&notice, true, 9));
  ck_assert (md_evacuation_adopt (&notice, false, 10));
  ck_assert (!md_evacuation_adopt (&notice, true, 9));
  ck_assert (!notice.evacuated);
}
END_TEST

static bool
parse (const char *key, const char *value, MdStr *domain, bool *evacuated)
{
  MdKeyedRecord record = { .key = md_str (key), .value = md_str (value), .offset = 1 };

  return md_platform_parse_evacuation (&record, domain, evacuated);
}

/* Guards against a zone that goes on working because an operator's tool writes another value than
   the empty object. */
START_TEST (any_value_evacuates)
{
  static const char *const values[]
      = { "{}", "{\"reason\":\"heat\"}", "[]", "true", "null", "{", " " };
  MdStr domain;
  bool evacuated;

  for (size_t i = 0; i < MD_ARRAY_SIZE (values); i++)
    {
      ck_assert (parse ("evacuate/zone-a", values[i], &domain, &evacuated));
      ck_assert (evacuated);
      ck_assert (md_str_equal (domain, MD_STR ("zone-a")));
    }
  ck_assert (parse ("evacuate/zone-a", "", &domain, &evacuated));
  ck_assert (!evacuated);
  ck_assert (!parse ("evacuate", "{}", &domain, &evacuated));
  ck_assert (!parse ("config", "{}", &domain, &evacuated));
  ck_assert (!parse ("xevacuate/zone-a", "{}", &domain, &evacuated));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("evacuation");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, set_is_known_with_the_last_page);
  tcase_add_test (tc, former_set_applies_until_the_last_page);
  tcase_add_test (tc, pages_of_an_earlier_time_change_nothing);
  tcase_add_test (tc, older_record_after_a_page_changes_nothing);
  tcase_add_test (tc, records_that_are_read_again_change_nothing);
  tcase_add_test (tc, domains_are_bounded);
  tcase_add_test (tc, guard_follows_the_highest_version);
  tcase_add_test (tc, any_value_evacuates);
  return run_suite ("evacuation", tc);
}
