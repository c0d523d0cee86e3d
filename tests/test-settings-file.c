/* test-settings-file.c -- settings files that are read while they are written, with a clock of the
   test's own */

#include "md-private.h"
#include "suite.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/stat.h>
#include <unistd.h>

#define GUARD                                                                                      \
  "role: run-guard\nname: g1\nregion: r\nfailure_domain: r-a\nstore_address: 127.0.0.1:9000\n"     \
  "entry_port: 7000\nworker_address: 127.0.0.1:8000\nregister_address: 127.0.0.1:8001\n"
#define MARKED "end_marker: required\n" GUARD "grace_s: 30\n...\n"
#define STEP (20 * MD_MS)     /* between two looks of the daemon */
#define LIMIT (2 * MD_SECOND) /* a change has to be in force within this time */

static char path[64];
static MdSettingsFile file;
static MdTime clock_now;
static int version; /* number of changes; makes each modification time differ */

/* Rewrites the file in place. */
static void
write_text (const char *text, size_t len)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  struct timespec times[2]
      = { { .tv_sec = 1000, .tv_nsec = ++version }, { .tv_sec = 1000, .tv_nsec = version } };

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, len), (ssize_t)len);
  ck_assert_int_eq (futimens (fd, times), 0);
  close (fd);
}

static void
setup (void)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;

  snprintf (path, sizeof path, "build/test-settings-file-%d.yaml", (int)getpid ());
  write_text (GUARD, strlen (GUARD));
  ck_assert_int_eq (md_settings_wait (&settings, path, &file, NULL, &faults), MD_OK);
  md_settings_clear (&settings);
  clock_now = 1000 * MD_SECOND;
}

static void
teardown (void)
{
  unlink (path);
}

/* Lets time pass; returns the reason for which the file is to be loaded, NULL: none. */
static const char *
pass_time (MdTime time)
{
  const char *reason = NULL;

  for (MdTime end = clock_now + time; clock_now < end && reason == NULL; clock_now += STEP)
    reason = md_settings_file_changed (&file, path, false, clock_now);
  return reason;
}

/* Guards against a state of the file that is only passing and is taken over: a file that is written
   byte by byte, with pauses, is loaded once it is whole, and in time. */
START_TEST (test_written_slowly)
{
  MdTime last;

  for (size_t len = 0; len <= strlen (GUARD); len += 7)
    {
      write_text (GUARD, len);
      ck_assert_ptr_null (pass_time (200 * MD_MS));
    }
  write_text (GUARD "grace_s: 3\n", strlen (GUARD "grace_s: 3\n"));
  last = clock_now;
  ck_assert_str_eq (pass_time (LIMIT), "file");
  ck_assert_int_lt (clock_now - last, LIMIT / 2);
  ck_assert_ptr_null (pass_time (10 * MD_SECOND));
}
END_TEST

/* Guards against a change that has no effect because the daemon looks at the file too rarely. */
START_TEST (test_looks_in_time)
{
  ck_assert_ptr_null (pass_time (5 * MD_SECOND));
  ck_assert_int_le (file.check_due - clock_now, LIMIT / 2);
  write_text (GUARD " ", strlen (GUARD) + 1);
  ck_assert_str_eq (pass_time (LIMIT), "file");
}
END_TEST

/* Guards against a SIGHUP without effect: the file is loaded even if it has not changed, and once.
   */
START_TEST (test_requested)
{
  const char *reason = md_settings_file_changed (&file, path, true, clock_now);

  if (reason == NULL)
    reason = pass_time (LIMIT / 2);
  ck_assert_ptr_nonnull (reason);
  ck_assert_str_eq (reason, "signal");
  ck_assert_ptr_null (pass_time (10 * MD_SECOND));
}
END_TEST

/* Guards against a SIGHUP that is forgotten because the file was missing or being written then. */
START_TEST (test_requested_early)
{
  unlink (path);
  ck_assert_ptr_null (md_settings_file_changed (&file, path, true, clock_now));
  ck_assert_ptr_null (pass_time (3 * MD_SECOND));
  write_text (GUARD, 20);
  ck_assert_ptr_null (md_settings_file_changed (&file, path, true, clock_now));
  write_text (GUARD, strlen (GUARD));
  ck_assert_str_eq (pass_time (LIMIT / 2), "signal");
  ck_assert_ptr_null (pass_time (10 * MD_SECOND));
}
END_TEST

/* Guards against a file with an end marker that is accepted although it is cut short, at any byte:
   its missing settings would have their defaults. Guards as well against a start that takes such a
   file for one with a wrong value, and ends instead of waiting for the rest. */
START_TEST (test_cut_anywhere)
{
  size_t whole = strlen (MARKED);

  for (size_t len = 0; len <= whole; len++)
    {
      MD_AUTO_BUF faults = { 0 };
      MdSettings settings;
      int rc = md_settings_parse (&settings, "f.yaml", md_str_n (MARKED, len), &faults);

      /* The line end behind the marker may be missing. */
      ck_assert_int_eq (rc, len < whole - 1 ? MD_E_INVALID : MD_OK);
      ck_assert (rc != MD_OK || settings.end_marked);
      ck_assert (rc == MD_OK || settings.incomplete);
      md_settings_clear (&settings);
    }
}
END_TEST

/* Guards against a start that ends at a file without an end marker that is cut within a line. */
START_TEST (test_cut_within_line)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;

  ck_assert_int_eq (md_settings_parse (&settings, "f.yaml", MD_STR ("role: gu"), &faults),
                    MD_E_INVALID);
  ck_assert (settings.incomplete);
  ck_assert_int_eq (md_settings_parse (&settings, "f.yaml", MD_STR ("role: gu\n"), &faults),
                    MD_E_INVALID);
  ck_assert (!settings.incomplete);
}
END_TEST

/* Guards against a file that ends with the marker although none is required. */
START_TEST (test_marker_is_optional)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;

  ck_assert_int_eq (md_settings_parse (&settings, "f.yaml", MD_STR (GUARD "...\n"), &faults),
                    MD_OK);
  md_settings_clear (&settings);
  ck_assert_int_eq (md_settings_parse (&settings, "f.yaml", MD_STR (GUARD "end_marker: no\n"),
                                       &faults),
                    MD_E_INVALID);
  ck_assert_str_eq (faults.data, "f.yaml:9: end_marker: must be required\n");
  md_settings_clear (&settings);
}
END_TEST

static void *
write_bytes (void *data MD_UNUSED)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  for (size_t i = 0; i < strlen (MARKED); i++)
    {
      usleep (2000);
      if (write (fd, &MARKED[i], 1) != 1)
        abort ();
    }
  close (fd);
  return NULL;
}

/* Guards against a start that ends, or takes over a part of the file, because the file is written
   byte by byte just then. */
START_TEST (test_start_while_written)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;
  pthread_t writer;

  unlink (path);
  pthread_create (&writer, NULL, write_bytes, NULL);
  ck_assert_int_eq (md_settings_wait (&settings, path, &file, NULL, &faults), MD_OK);
  ck_assert (settings.end_marked);
  ck_assert_int_eq (settings.drain_timeout, 30 * MD_SECOND);
  ck_assert_uint_eq (faults.len, 0);
  md_settings_clear (&settings);
  pthread_join (writer, NULL);
}
END_TEST

static bool
is_stopping (void)
{
  return true;
}

/* Guards against a start that cannot be stopped while it waits for its file. */
START_TEST (test_start_is_stopped)
{
  MD_AUTO_BUF faults = { 0 };
  MdSettings settings;

  unlink (path);
  ck_assert_int_eq (md_settings_wait (&settings, path, &file, is_stopping, &faults), MD_E_TIMEOUT);
  md_settings_clear (&settings);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("settings-file");

  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_written_slowly);
  tcase_add_test (tc, test_looks_in_time);
  tcase_add_test (tc, test_requested);
  tcase_add_test (tc, test_requested_early);
  tcase_add_test (tc, test_cut_anywhere);
  tcase_add_test (tc, test_cut_within_line);
  tcase_add_test (tc, test_marker_is_optional);
  tcase_add_test (tc, test_start_while_written);
  tcase_add_test (tc, test_start_is_stopped);
  return run_suite ("settings-file", tc);
}
