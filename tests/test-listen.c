/* test-listen.c -- ports that are not free yet when a daemon starts */

#include "listen.h"
#include "port.h"
#include "suite.h"

#include <errno.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define ABSENT "192.0.2.1:7000" /* reserved for documentation, so no host has it */

static char address[MD_ADDRESS_BYTES]; /* held by fd, which listens */
static int held;
static int opens;    /* calls of open_ports */
static int failures; /* of which this many fail */
static int looks;    /* calls of is_stopping */

static void
setup (void)
{
  unsigned port = hold_port (&held);

  ck_assert_uint_gt (port, 0);
  ck_assert_int_eq (listen (held, 1), 0);
  snprintf (address, sizeof address, "127.0.0.1:%u", port);
}

static void
teardown (void)
{
  if (held >= 0)
    close (held);
}

static int
open_ports (void *user MD_UNUSED, MdError *error)
{
  if (++opens <= failures)
    return md_error_set (error, MD_E_IO, "listen-test", address, "taken meanwhile");
  return MD_OK;
}

static bool
never (void)
{
  looks++;
  return false;
}

/* Frees the port once the start has tried three times. */
static bool
release_port (void)
{
  if (++looks == 3)
    {
      close (held);
      held = -1;
    }
  return false;
}

static bool
stop_at_once (void)
{
  return true;
}

/* Guards against a failed start that does not tell why, and against a wait for what does not pass.
   */
START_TEST (test_reasons)
{
  MdPort port = { "listen-test", address };
  MdPort absent = { "listen-test", ABSENT };
  MdPort wrong = { "listen-test", "localhost" };
  MdError error = { 0 };
  MdError other = { 0 };
  int reason;

  ck_assert_int_eq (md_port_check (&port, &reason, &error), MD_E_IO);
  ck_assert_int_eq (reason, EADDRINUSE);
  ck_assert_str_eq (error.step, "listen-test");
  ck_assert_str_eq (error.peer, address);
  ck_assert_str_eq (error.detail, "Address already in use, errno 98");
  ck_assert_int_eq (md_port_check (&absent, &reason, NULL), MD_E_IO);
  ck_assert_int_eq (reason, EADDRNOTAVAIL);
  ck_assert_int_eq (md_port_check (&wrong, &reason, &other), MD_E_INVALID);
  close (held);
  held = -1;
  ck_assert_int_eq (md_port_check (&port, &reason, NULL), MD_OK);
}
END_TEST

/* Guards against a start that ends at a port which a former process gives up a moment later. */
START_TEST (test_port_becomes_free)
{
  MdListen start = { .ports = { { "listen-test", address } },
                     .n_ports = 1,
                     .timeout = 60 * MD_SECOND,
                     .is_stopping = release_port,
                     .open = open_ports };

  ck_assert_int_eq (md_listen (&start, NULL), MD_OK);
  ck_assert_int_eq (opens, 1);
  ck_assert_int_eq (looks, 3);
}
END_TEST

/* Guards against a port that is opened while another one that is needed is still held. */
START_TEST (test_all_or_none)
{
  MdListen start = { .ports = { { "listen-free", "127.0.0.1:0" }, { "listen-test", address } },
                     .n_ports = 2,
                     .is_stopping = never,
                     .open = open_ports };
  MdError error = { 0 };

  ck_assert_int_eq (md_listen (&start, &error), MD_E_IO);
  ck_assert_int_eq (opens, 0);
  ck_assert_str_eq (error.step, "listen-test");
  ck_assert_str_eq (error.detail, "Address already in use, errno 98");
}
END_TEST

/* Guards against an end of the start when the port is taken between the test and its opening. */
START_TEST (test_taken_meanwhile)
{
  MdListen start = { .ports = { { "listen-free", "127.0.0.1:0" } },
                     .n_ports = 1,
                     .timeout = 60 * MD_SECOND,
                     .is_stopping = never,
                     .open = open_ports };

  failures = 2;
  ck_assert_int_eq (md_listen (&start, NULL), MD_OK);
  ck_assert_int_eq (opens, 3);
}
END_TEST

/* Guards against a wait for a port that SIGTERM does not end. */
START_TEST (test_stopped)
{
  MdListen start = { .ports = { { "listen-test", address } },
                     .n_ports = 1,
                     .timeout = 3600 * MD_SECOND,
                     .is_stopping = stop_at_once,
                     .open = open_ports };

  ck_assert_int_eq (md_listen (&start, NULL), MD_E_TIMEOUT);
  ck_assert_int_eq (opens, 0);
}
END_TEST

/* Guards against a wait that is shorter than a former process needs to be gone. */
START_TEST (test_timeout)
{
  MdSettings settings = { .drain_timeout = 30 * MD_SECOND };

  ck_assert_int_gt (md_listen_timeout (&settings), settings.drain_timeout);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("listen");

  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_reasons);
  tcase_add_test (tc, test_port_becomes_free);
  tcase_add_test (tc, test_all_or_none);
  tcase_add_test (tc, test_taken_meanwhile);
  tcase_add_test (tc, test_stopped);
  tcase_add_test (tc, test_timeout);
  return run_suite ("listen", tc);
}
