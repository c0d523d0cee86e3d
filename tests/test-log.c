/* test-log.c -- the logger of a daemon with a reader that does not read, and histograms

   Guards against requests that wait for whoever reads the log, against lines that are
   left out without a word, against warnings that are lost to routine lines, and against a
   writer that is stopped while other threads log. */

#include "md-private.h"
#include "suite.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define FLOOD 200000

static int
open_pipe (int fds[2])
{
  int rc = pipe (fds);

  ck_assert_int_eq (rc, 0);
  return fds[1];
}

static void
read_rest (int fd, MdBuf *out)
{
  char chunk[65536];
  ssize_t n;

  fcntl (fd, F_SETFL, O_NONBLOCK);
  while ((n = read (fd, chunk, sizeof chunk)) > 0)
    md_buf_append (out, md_str_n (chunk, (size_t)n));
}

/* The test's time limit fails it when a call waits for the reader. */
START_TEST (flood_does_not_wait_for_the_reader)
{
  int fds[2];

  md_log_open (open_pipe (fds), "node", MD_LOG_INFO);
  md_log_start_writer ();
  for (int i = 0; i < FLOOD; i++)
    md_log (MD_LOG_INFO, "flood", "i=%d", i);
  md_log_stop_writer ();
  md_log_open (-1, "", MD_LOG_INFO);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

static void *
drain (void *data)
{
  static char chunk[65536];
  MdBuf *out = ((void **)data)[1];
  ssize_t n;

  while ((n = read (*(int *)((void **)data)[0], chunk, sizeof chunk)) > 0)
    md_buf_append (out, md_str_n (chunk, (size_t)n));
  return NULL;
}

START_TEST (dropped_lines_are_counted_and_warnings_kept)
{
  MD_AUTO_BUF text = { 0 };
  pthread_t reader;
  int fds[2];
  void *data[2] = { &fds[0], &text };

  md_log_open (open_pipe (fds), "node", MD_LOG_INFO);
  ck_assert_int_eq (pthread_create (&reader, NULL, drain, data), 0);
  md_log_start_writer ();
  for (int i = 0; i < FLOOD; i++)
    md_log (MD_LOG_INFO, "routine", "i=%d", i);
  md_log (MD_LOG_WARN, "warning", "kept=1");
  usleep (300000); /* the writer reports what it left out after its batch */
  md_log_stop_writer ();
  md_log_open (-1, "", MD_LOG_INFO);
  close (fds[1]);
  pthread_join (reader, NULL);
  close (fds[0]);
  ck_assert_ptr_nonnull (strstr (text.data, "event=warning kept=1"));
  ck_assert_ptr_nonnull (strstr (text.data, "event=log-dropped lines="));
}
END_TEST

START_TEST (lines_come_out_whole_and_in_order)
{
  MD_AUTO_BUF text = { 0 };
  char *at;
  int fds[2];

  md_log_open (open_pipe (fds), "node", MD_LOG_INFO);
  md_log_start_writer ();
  for (int i = 0; i < 100; i++)
    md_log (MD_LOG_INFO, "line", "i=%d.", i);
  md_log_stop_writer ();
  md_log_open (-1, "", MD_LOG_INFO);
  read_rest (fds[0], &text);
  close (fds[0]);
  close (fds[1]);
  at = text.data;
  for (int i = 0; i < 100; i++)
    {
      char want[32];

      snprintf (want, sizeof want, "event=line i=%d.\n", i);
      at = strstr (at, want);
      ck_assert_ptr_nonnull (at);
    }
}
END_TEST

/* Guards against a line of a signal handler within a line of the writer: each packet of the
   socket is one write. */
START_TEST (each_write_has_whole_lines)
{
  char packet[65536];
  ssize_t n;
  int fds[2];
  int packets = 0;

  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_DGRAM, 0, fds), 0);
  md_log_open (fds[1], "node", MD_LOG_INFO);
  md_log_start_writer ();
  for (int i = 0; i < 200; i++)
    md_log (MD_LOG_INFO, "line", "i=%d text=%0*d", i, 1 + i % 97, 7);
  md_log_stop_writer ();
  md_log_open (-1, "", MD_LOG_INFO);
  while ((n = recv (fds[0], packet, sizeof packet, MSG_DONTWAIT)) > 0)
    {
      ck_assert_int_eq (packet[n - 1], '\n');
      packets++;
    }
  ck_assert_int_gt (packets, 3);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

#define STOP_THREADS 8
#define STOP_ROUNDS 300

static atomic_bool stop_logging;

static void *
log_until_stopped (void *data)
{
  while (!atomic_load (&stop_logging))
    md_log (MD_LOG_WARN, "busy", "text=%0100d", 7);
  return data;
}

/* Guards against the use of the buffer after md_log_stop_writer has freed it: at the end of an
   entry, the threads of its callers still log. */
START_TEST (writer_stops_while_threads_log)
{
  pthread_t threads[STOP_THREADS];
  int fd = open ("/dev/null", O_WRONLY);

  ck_assert_int_ge (fd, 0);
  md_log_open (fd, "node", MD_LOG_INFO);
  for (int i = 0; i < STOP_THREADS; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, log_until_stopped, NULL), 0);
  for (int i = 0; i < STOP_ROUNDS; i++)
    {
      md_log_start_writer ();
      md_log_stop_writer ();
    }
  atomic_store (&stop_logging, true);
  for (int i = 0; i < STOP_THREADS; i++)
    pthread_join (threads[i], NULL);
  md_log_open (-1, "", MD_LOG_INFO);
  close (fd);
}
END_TEST

#define STOP_LINES 40000

/* Numbered lines, more slowly than the buffer can be filled. */
static void *
log_numbers (void *data)
{
  for (int i = 0; i < STOP_LINES; i++)
    md_log (MD_LOG_WARN, "number", "i=%d.", i);
  return data;
}

/* Guards against lines that are buffered after the writer's last pass and never written. The
   reader drains the pipe, and no line is dropped as the buffer is large enough for a round. */
START_TEST (no_line_is_lost_when_the_writer_stops)
{
  MD_AUTO_BUF text = { 0 };
  const char *at;
  pthread_t reader;
  pthread_t thread;
  int fds[2];
  void *data[2] = { &fds[0], &text };
  long long next = 0;

  md_log_open (open_pipe (fds), "node", MD_LOG_INFO);
  ck_assert_int_eq (pthread_create (&reader, NULL, drain, data), 0);
  ck_assert_int_eq (pthread_create (&thread, NULL, log_numbers, NULL), 0);
  for (int i = 0; i < 20; i++)
    {
      md_log_start_writer ();
      usleep (500);
      md_log_stop_writer ();
    }
  pthread_join (thread, NULL);
  md_log_open (-1, "", MD_LOG_INFO);
  close (fds[1]);
  pthread_join (reader, NULL);
  close (fds[0]);
  md_buf_append (&text, md_str_n ("", 1));
  for (at = strstr (text.data, "event=number"); at != NULL; at = strstr (at + 1, "event=number"))
    next++;
  for (at = strstr (text.data, "event=log-dropped lines="); at != NULL;
       at = strstr (at + 1, "event=log-dropped lines="))
    next += strtoll (at + strlen ("event=log-dropped lines="), NULL, 10);
  ck_assert_int_eq (next, STOP_LINES);
}
END_TEST

START_TEST (histograms_are_cumulative)
{
  MD_AUTO_BUF text = { 0 };

  md_observe (MD_H_RUN, 3 * MD_MS);
  md_observe (MD_H_RUN, 30 * MD_MS);
  md_observe (MD_H_RUN, 30 * MD_SECOND);
  md_metrics_write (&text);
  ck_assert_ptr_nonnull (strstr (text.data, "mulberrydrift_run_seconds_bucket{le=\"0.002\"} 0\n"));
  ck_assert_ptr_nonnull (strstr (text.data, "mulberrydrift_run_seconds_bucket{le=\"0.005\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (text.data, "mulberrydrift_run_seconds_bucket{le=\"5\"} 2\n"));
  ck_assert_ptr_nonnull (strstr (text.data, "mulberrydrift_run_seconds_bucket{le=\"+Inf\"} 3\n"));
  ck_assert_ptr_nonnull (strstr (text.data, "mulberrydrift_run_seconds_count{} 3\n"));
  ck_assert_ptr_nonnull (strstr (text.data, "# TYPE mulberrydrift_run_seconds histogram\n"));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("log");

  tcase_add_test (tc, flood_does_not_wait_for_the_reader);
  tcase_add_test (tc, dropped_lines_are_counted_and_warnings_kept);
  tcase_add_test (tc, lines_come_out_whole_and_in_order);
  tcase_add_test (tc, each_write_has_whole_lines);
  tcase_add_test (tc, writer_stops_while_threads_log);
  tcase_add_test (tc, no_line_is_lost_when_the_writer_stops);
  tcase_add_test (tc, histograms_are_cumulative);
  return run_suite ("log", tc);
}
