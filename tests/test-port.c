/* test-port.c -- ports that test runs draw beside one another */

#include "port.h"
#include "suite.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define RUNS 8
#define PORTS_PER_RUN 100 /* so many that some coincide when they are drawn at random */

typedef struct
{
  unsigned ports[PORTS_PER_RUN];
  unsigned missing; /* ports that could not be drawn */
  unsigned busy;    /* ports that another run had when this one started to listen */
} Run;

static bool
listen_on (unsigned port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return bind (fd, (struct sockaddr *)&addr, sizeof addr) == 0 && listen (fd, 1) == 0;
}

static void
draw_ports (Run *run)
{
  for (int i = 0; i < PORTS_PER_RUN; i++)
    {
      int fd;

      run->ports[i] = hold_port (&fd);
      if (run->ports[i] == 0)
        run->missing++;
      else
        close (fd);
    }
}

/* A test run: draws its ports, and listens on them when it is told to. Its sockets stay open until
   it is killed. */
_Noreturn static void
play_run (Run *run, int drawn, int start, int done)
{
  char byte = 0;

  draw_ports (run);
  if (write (drawn, &byte, 1) != 1 || read (start, &byte, 1) != 1)
    _exit (1);
  for (int i = 0; i < PORTS_PER_RUN; i++)
    run->busy += !listen_on (run->ports[i]);
  if (write (done, &byte, 1) != 1)
    _exit (1);
  pause ();
  _exit (0);
}

/* Guards against runs that draw the same port, which is free until one of them listens on it. */
START_TEST (runs_draw_different_ports)
{
  Run *runs
      = mmap (NULL, RUNS * sizeof *runs, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  int drawn[2];
  int start[2];
  int done[2];
  pid_t pids[RUNS];
  char bytes[RUNS] = { 0 };
  unsigned busy = 0;

  ck_assert_ptr_ne (runs, MAP_FAILED);
  ck_assert (pipe (drawn) == 0 && pipe (start) == 0 && pipe (done) == 0);
  for (int i = 0; i < RUNS; i++)
    {
      pids[i] = fork ();
      if (pids[i] == 0)
        play_run (&runs[i], drawn[1], start[0], done[1]);
    }
  for (int i = 0; i < RUNS; i++)
    ck_assert_int_eq (read (drawn[0], bytes, 1), 1);
  ck_assert_int_eq (write (start[1], bytes, RUNS), RUNS);
  for (int i = 0; i < RUNS; i++)
    ck_assert_int_eq (read (done[0], bytes, 1), 1);
  for (int i = 0; i < RUNS; i++)
    {
      kill (pids[i], SIGKILL);
      waitpid (pids[i], NULL, 0);
      ck_assert_uint_eq (runs[i].missing, 0);
      busy += runs[i].busy;
    }
  ck_assert_uint_eq (busy, 0);
  munmap (runs, RUNS * sizeof *runs);
}
END_TEST

/* Guards against ports that stay unusable when a run is killed, and against a list that grows. */
START_TEST (ports_of_an_ended_run_are_free)
{
  int drawn[2];
  unsigned port = 0;
  pid_t pid;

  ck_assert_int_eq (pipe (drawn), 0);
  pid = fork ();
  if (pid == 0)
    {
      int fd;

      port = hold_port (&fd);
      close (fd);
      if (write (drawn[1], &port, sizeof port) != sizeof port)
        _exit (1);
      pause ();
    }
  ck_assert_int_eq (read (drawn[0], &port, sizeof port), sizeof port);
  ck_assert_uint_gt (port, 0);
  ck_assert (port_is_drawn (port));
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  ck_assert (!port_is_drawn (port));
}
END_TEST

/* A script's ports are drawn by a program that ends before the script uses them. */
START_TEST (ports_outlive_the_program_that_draws_them)
{
  int drawn[2];
  unsigned port = 0;
  pid_t pid;

  ck_assert_int_eq (pipe (drawn), 0);
  pid = fork ();
  if (pid == 0)
    {
      int fd;

      port = hold_port_for (getppid (), &fd);
      _exit (write (drawn[1], &port, sizeof port) != sizeof port);
    }
  ck_assert_int_eq (read (drawn[0], &port, sizeof port), sizeof port);
  waitpid (pid, NULL, 0);
  ck_assert_uint_gt (port, 0);
  ck_assert (port_is_drawn (port));
}
END_TEST

/* Guards against a port that is free on 127.0.0.1, while entries need it on other addresses. */
START_TEST (port_is_free_on_all_addresses)
{
  int fd;
  unsigned port = hold_port (&fd);
  struct sockaddr_in other = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int second = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_uint_gt (port, 0);
  close (fd);
  other.sin_addr.s_addr = htonl (INADDR_LOOPBACK + 10);
  ck_assert_int_eq (bind (second, (struct sockaddr *)&other, sizeof other), 0);
  ck_assert_int_eq (try_port (port), -1);
  close (second);
  fd = try_port (port);
  ck_assert_int_ge (fd, 0);
  close (fd);
}
END_TEST

/* Guards against ports that an outgoing connection may have when a process wants to listen. */
START_TEST (ports_differ_from_those_of_outgoing_connections)
{
  static const struct
  {
    unsigned first, last; /* of outgoing connections */
    PortRange expected;
  } cases[] = {
    { 32768, 60999, { 10000, 20000 } }, { 15000, 64000, { 10000, 5000 } },
    { 9000, 40000, { 40001, 20000 } },  { 12000, 50000, { 50001, 15535 } },
    { 1024, 5000, { 10000, 20000 } },   { 1024, 65535, { 0, 0 } },
    { 10500, 65000, { 0, 0 } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      PortRange range = choose_port_range (cases[i].first, cases[i].last);

      ck_assert_uint_eq (range.n, cases[i].expected.n);
      if (range.n > 0)
        ck_assert_uint_eq (range.first, cases[i].expected.first);
    }
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("port");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, runs_draw_different_ports);
  tcase_add_test (tc, ports_of_an_ended_run_are_free);
  tcase_add_test (tc, ports_outlive_the_program_that_draws_them);
  tcase_add_test (tc, port_is_free_on_all_addresses);
  tcase_add_test (tc, ports_differ_from_those_of_outgoing_connections);
  return run_suite ("port", tc);
}
