/* test-host-limits.c -- limits of the host and what a daemon makes of them

   Guards against a server for callers that accepts more connections than the process has
   descriptors for, so that its accept loop spins and callers wait, and against limits that nobody
   is told about. */

#include "host-limits.h"
#include "suite.h"

#include <pthread.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

/* Connections that are served, wait or have just been accepted fit, whatever the limit. */
START_TEST (test_share)
{
  static const long long descriptors[] = { 16, 64, 100, 300, 1024, 4096, 20000, 1048576 };
  static const unsigned wanted[] = { 8, 64, 160, 256, 4096 };

  for (size_t i = 0; i < MD_ARRAY_SIZE (descriptors); i++)
    for (size_t k = 0; k < MD_ARRAY_SIZE (wanted); k++)
      {
        MdHostLimits limits = { descriptors[i], MD_NO_LIMIT, MD_NO_LIMIT };
        MdHostShare share = md_host_share (&limits, wanted[k]);

        ck_assert_uint_ge (share.threads, 1);
        ck_assert_uint_le (share.threads, wanted[k]);
        ck_assert_uint_ge (share.waiting, 1);
        ck_assert_int_le (2 * share.threads + share.waiting + 1, descriptors[i] * 3 / 4 + 1);
      }
}
END_TEST

START_TEST (test_share_of_usual_limits)
{
  MdHostLimits limits = { 1024, MD_NO_LIMIT, MD_NO_LIMIT };

  ck_assert_uint_eq (md_host_share (&limits, 160).threads, 160);
  ck_assert_uint_eq (md_host_share (&limits, 160).waiting, 352);
  limits.descriptors = 300;
  ck_assert_uint_eq (md_host_share (&limits, 160).threads, 75);
  limits.descriptors = MD_NO_LIMIT;
  ck_assert_uint_eq (md_host_share (&limits, 4096).threads, 4096);
  ck_assert_uint_eq (md_host_share (&limits, 4096).waiting, 512);
}
END_TEST

/* Opens the limits with a log in a pipe, and copies what was logged to text. */
static void
open_logged (const MdSettings *settings, char *text, size_t size)
{
  int fds[2];
  ssize_t len;

  ck_assert_int_eq (pipe (fds), 0);
  md_log_open (fds[1], "test", MD_LOG_INFO);
  md_host_limits_open (settings);
  md_log_open (-1, "", MD_LOG_INFO);
  close (fds[1]);
  len = read (fds[0], text, size - 1);
  text[len > 0 ? len : 0] = '\0';
  close (fds[0]);
}

START_TEST (test_descriptors_are_raised)
{
  static MdSettings settings = { .caller_address = "127.0.0.1:1", .caller_threads = 160 };
  struct rlimit limit = { .rlim_cur = 200, .rlim_max = 900 };
  MdHostLimits limits;
  char text[4096];

  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  open_logged (&settings, text, sizeof text);
  md_host_limits_read (&limits);
  ck_assert_int_eq (limits.descriptors, 900);
  ck_assert_ptr_nonnull (strstr (text, "event=host-limits descriptors=900 descriptors_before=200"));
  ck_assert_ptr_null (strstr (text, "descriptors-short"));
}
END_TEST

START_TEST (test_short_descriptors_are_reported)
{
  static MdSettings settings = { .caller_address = "127.0.0.1:1", .caller_threads = 160 };
  struct rlimit limit = { .rlim_cur = 300, .rlim_max = 300 };
  char text[4096];

  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  open_logged (&settings, text, sizeof text);
  ck_assert_ptr_nonnull (
      strstr (text, "event=descriptors-short descriptors=300 caller_threads=160 possible=75"));
  settings.caller_address[0] = '\0'; /* a guard serves no callers */
  open_logged (&settings, text, sizeof text);
  ck_assert_ptr_null (strstr (text, "descriptors-short"));
}
END_TEST

static void *
wait_for_end (void *mutex)
{
  pthread_mutex_lock (mutex);
  pthread_mutex_unlock (mutex);
  return NULL;
}

START_TEST (test_missing_threads)
{
  pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
  pthread_t threads[5];
  unsigned before = 0;

  pthread_mutex_lock (&mutex);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_eq (pthread_create (&threads[i], NULL, wait_for_end, &mutex), 0);
      if (i == 0) /* a sanitizer's thread has started with the first one */
        before = md_host_thread_count ();
    }
  ck_assert_uint_ge (before, 2);
  ck_assert_uint_eq (md_host_check_threads (before, 3, "a"), 3);
  ck_assert_uint_eq (md_host_check_threads (before, 8, "a"), 3);
  ck_assert_uint_eq (md_host_check_threads (0, 8, "a"), 8); /* unknown */
  pthread_mutex_unlock (&mutex);
  for (int i = 0; i < 5; i++)
    pthread_join (threads[i], NULL);
}
END_TEST

/* Guards against an entry that takes its share for unlimited, or an unlimited one for nothing. */
START_TEST (test_processor_share)
{
  ck_assert_double_eq_tol (md_host_parse_cpu_max ("12000 100000\n"), 0.12, 1e-9);
  ck_assert_double_eq_tol (md_host_parse_cpu_max ("200000 100000\n"), 2, 1e-9);
  ck_assert_double_eq (md_host_parse_cpu_max ("max 100000\n"), 0);
  ck_assert_double_eq (md_host_parse_cpu_max (""), 0);
  ck_assert_double_eq (md_host_parse_cpu_max ("12000\n"), 0);
  ck_assert_double_eq (md_host_parse_cpu_max ("-1 100000\n"), 0);
  ck_assert_double_eq (md_host_parse_cpu_max ("12000 0\n"), 0);
  ck_assert_double_ge (md_host_processor_share (), 0);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("host-limits");

  tcase_add_test (tc, test_share);
  tcase_add_test (tc, test_share_of_usual_limits);
  tcase_add_test (tc, test_descriptors_are_raised);
  tcase_add_test (tc, test_short_descriptors_are_reported);
  tcase_add_test (tc, test_missing_threads);
  tcase_add_test (tc, test_processor_share);
  return run_suite ("host-limits", tc);
}
