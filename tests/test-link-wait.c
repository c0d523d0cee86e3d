/* test-link-wait.c -- waiting for events where the host answers the wait with an error

   The system calls of the event loop are replaced by functions of this file, which answer with an
   error or pass the call on. Guards against an event loop that spins and serves nobody on a kernel
   without epoll_pwait2 or under a filter of system calls, and against errors of the wait without a
   log line. */

#define _GNU_SOURCE /* syscall */

#include "md-private.h"
#include "suite.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#define PASSES 20

static int pwait2_errno;     /* answer of epoll_pwait2; 0: none */
static int wait_errno;       /* answer of epoll_wait; 0: none */
static int n_pwait2, n_wait; /* calls */
static int wait_ms;          /* time-out of the last epoll_wait */

int
epoll_pwait2 (int fd, struct epoll_event *events, int max, const struct timespec *timeout,
              const sigset_t *mask)
{
  n_pwait2++;
  if (pwait2_errno == 0)
    return (int)syscall (SYS_epoll_pwait2, fd, events, max, timeout, mask, 8);
  errno = pwait2_errno;
  return -1;
}

int
epoll_wait (int fd, struct epoll_event *events, int max, int timeout)
{
  n_wait++;
  wait_ms = timeout;
  if (wait_errno == 0)
    return epoll_pwait (fd, events, max, timeout, NULL);
  errno = wait_errno;
  return -1;
}

static void
on_link (void *user MD_UNUSED, MdLink *link MD_UNUSED)
{
}

static void
on_frame (void *user MD_UNUSED, MdLink *link MD_UNUSED, const Md__Frame *frame MD_UNUSED)
{
}

static void
on_down (void *user MD_UNUSED, MdLink *link MD_UNUSED, const MdError *error MD_UNUSED)
{
}

static MdLinks *
open_links (void)
{
  static const MdLinkHandler handler = { on_link, on_frame, on_down };
  MdTuning tuning;
  MdLinks *links;

  md_tuning_default (&tuning);
  links = md_links_new (&tuning, &handler, NULL);
  ck_assert_ptr_nonnull (links);
  return links;
}

/* Polls some times and returns how long that took; *lines: log lines with the event meanwhile. */
static MdTime
poll_often (MdLinks *links, MdTime wait, const char *event, int *lines)
{
  char text[65536];
  ssize_t len;
  int fds[2];
  MdTime begun;

  ck_assert_int_eq (pipe (fds), 0);
  md_log_open (fds[1], "test", MD_LOG_DEBUG);
  begun = md_now ();
  for (int i = 0; i < PASSES; i++)
    md_links_poll (links, md_now () + wait);
  begun = md_now () - begun;
  md_log_open (-1, "", MD_LOG_INFO);
  close (fds[1]);
  len = read (fds[0], text, sizeof text - 1);
  text[len > 0 ? len : 0] = '\0';
  close (fds[0]);
  *lines = 0;
  for (const char *at = text; (at = strstr (at, event)) != NULL; at++)
    ++*lines;
  return begun;
}

/* The loop sleeps until the time it was given, and still sees events. */
static void
check_fallback (int error)
{
  MdLinks *links = open_links ();
  int lines;
  MdTime took;

  pwait2_errno = error;
  took = poll_often (links, 3 * MD_MS / 2, "event=event-wait", &lines);
  ck_assert_int_ge (took, PASSES * 3 * MD_MS / 2);
  ck_assert_int_eq (lines, 1);
  ck_assert_int_eq (n_pwait2, 1);
  ck_assert_int_eq (n_wait, PASSES);
  ck_assert_int_eq (wait_ms, 2);
  md_links_poll (links, md_now () - MD_SECOND);
  ck_assert_int_eq (wait_ms, 0);
  md_links_wake (links);
  md_links_poll (links, md_now () + 1000 * MD_SECOND);
  md_links_free (links);
}

START_TEST (test_no_such_call)
{
  check_fallback (ENOSYS);
}
END_TEST

START_TEST (test_forbidden_call)
{
  check_fallback (EPERM);
}
END_TEST

/* Neither call works: the loop goes on at a pace that leaves the processor to others. */
START_TEST (test_unexpected_error)
{
  MdLinks *links = open_links ();
  int lines;
  MdTime took;

  pwait2_errno = wait_errno = EINVAL;
  took = poll_often (links, MD_SECOND, "event=event-wait-failed", &lines);
  ck_assert_int_ge (took, PASSES * 10 * MD_MS);
  ck_assert_int_ge (lines, 1);
  ck_assert_int_le (lines, 1 + (int)(took / MD_SECOND));
  md_links_free (links);
}
END_TEST

/* A signal ends a wait and is no error. */
START_TEST (test_interrupted)
{
  MdLinks *links = open_links ();
  int lines;

  pwait2_errno = EINTR;
  poll_often (links, MD_SECOND, "event=event-wait", &lines);
  ck_assert_int_eq (lines, 0);
  ck_assert_int_eq (n_wait, 0);
  ck_assert_int_eq (n_pwait2, PASSES);
  md_links_free (links);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("link-wait");

  tcase_add_test (tc, test_no_such_call);
  tcase_add_test (tc, test_forbidden_call);
  tcase_add_test (tc, test_unexpected_error);
  tcase_add_test (tc, test_interrupted);
  return run_suite ("link-wait", tc);
}
