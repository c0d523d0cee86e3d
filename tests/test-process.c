/* test-process.c -- lines that tell how a process ended

   Guards against processes that end without a trace: by a fatal signal, by an overflow of a
   thread's stack, or before their settings are read; and against an end that waits for a slow
   reader of the log. */

#define _GNU_SOURCE /* memmem */

#include "process.h"
#include "suite.h"

#include <sys/wait.h>
#include <unistd.h>

#define N_THREADS 8

typedef struct
{
  int status; /* of waitpid */
  MdBuf text; /* what the process logged */
} Ended;

static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGSYS };

/* Runs body in a process of its own that logs to a pipe. */
static Ended
run_process (void (*body) (int log_fd, int number), int number)
{
  Ended ended = { 0 };
  char chunk[65536];
  ssize_t n;
  int fds[2];
  pid_t pid;

  ck_assert_int_eq (pipe (fds), 0);
  pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      close (fds[0]);
      body (fds[1], number);
      _exit (0);
    }
  close (fds[1]);
  while ((n = read (fds[0], chunk, sizeof chunk)) > 0)
    md_buf_append (&ended.text, md_str_n (chunk, (size_t)n));
  close (fds[0]);
  ck_assert_int_eq (waitpid (pid, &ended.status, 0), pid);
  md_buf_append (&ended.text, MD_STR ("\n"));
  return ended;
}

static int
count (const char *text, const char *wanted)
{
  int n = 0;

  for (const char *at = strstr (text, wanted); at != NULL; at = strstr (at + 1, wanted))
    n++;
  return n;
}

/* Every line of the process begins like a log line and is ended by one newline. */
static void
assert_whole_lines (const char *text)
{
  const char *at = text;

  while (*at != '\0' && *at != '\n')
    {
      const char *end = strchr (at, '\n');

      ck_assert_msg (strncmp (at, "time=", 5) == 0, "not a log line: %.80s", at);
      ck_assert_ptr_null (memmem (at + 1, (size_t)(end - at), "time=", 5));
      at = end + 1;
    }
}

static void
send_without_handler (int log_fd MD_UNUSED, int number)
{
  kill (getpid (), number);
}

static void
send_with_handler (int log_fd, int number)
{
  md_process_begin ("test", log_fd, false);
  md_process_set_step (MD_STEP_RUNNING);
  kill (getpid (), number);
}

START_TEST (a_fatal_signal_leaves_one_line_and_the_same_status)
{
  Ended plain = run_process (send_without_handler, signals[_i]);
  Ended ended = run_process (send_with_handler, signals[_i]);
  char wanted[64];

  ck_assert_int_eq (ended.status, plain.status);
  ck_assert_int_eq (count (ended.text.data, "event=process-begin pid="), 1);
  ck_assert_int_eq (count (ended.text.data, "event=fatal-signal pid="), 1);
  snprintf (wanted, sizeof wanted, " level=error node=test event=fatal-signal");
  ck_assert_int_eq (count (ended.text.data, wanted), 1);
  snprintf (wanted, sizeof wanted, " signal=%d name=SIG", signals[_i]);
  ck_assert_int_eq (count (ended.text.data, wanted), 1);
  ck_assert_int_eq (count (ended.text.data, " step=running uptime_ms="), 1);
  assert_whole_lines (ended.text.data);
  md_buf_clear (&plain.text);
  md_buf_clear (&ended.text);
}
END_TEST

static volatile int recursion_limit = 1
                                      << 30; /* the compiler does not know that it is unreachable */

/* Uses up the stack. */
static int
recurse (int depth)
{
  volatile char frame[512];

  frame[depth % (int)sizeof frame] = (char)depth;
  if (depth >= recursion_limit)
    return 0;
  return recurse (depth + 1) + frame[depth % (int)sizeof frame];
}

static void *
overflow (void *data)
{
  return recurse (0) == 1 ? data : NULL;
}

/* As in the thread callback of a library. */
static void *
prepare_and_overflow (void *data)
{
  md_fatal_signals_prepare_thread ();
  return overflow (data);
}

static void
overflow_stack (int log_fd, int in_library)
{
  pthread_t thread;
  int rc;

  md_process_begin ("test", log_fd, false);
  rc = in_library ? pthread_create (&thread, NULL, prepare_and_overflow, NULL)
                  : md_thread_create (&thread, NULL, overflow, NULL);
  if (rc == 0)
    pthread_join (thread, NULL);
}

START_TEST (a_stack_overflow_of_a_thread_is_logged)
{
  Ended ended = run_process (overflow_stack, _i);

  ck_assert_int_ne (ended.status, 0);
  ck_assert_int_eq (count (ended.text.data, " name=SIGSEGV code="), 1);
  ck_assert_int_eq (count (ended.text.data, " address=0x"), 1);
  md_buf_clear (&ended.text);
}
END_TEST

static void *
log_lines (void *data)
{
  for (;;)
    {
      md_log (MD_LOG_WARN, "busy", "text=%0200d", 7);
      usleep (100);
    }
  return data;
}

static atomic_bool may_fault;

static void *
fault (void *data)
{
  while (!atomic_load (&may_fault))
    usleep (1000);
  kill (getpid (), SIGSEGV);
  return data;
}

/* Several threads receive fatal signals while others log. */
static void
fault_under_load (int log_fd, int number MD_UNUSED)
{
  pthread_t threads[N_THREADS];

  md_process_begin ("test", log_fd, false);
  md_log_start_writer ();
  md_log (MD_LOG_INFO, "last-request", "job=7");
  for (int i = 0; i < N_THREADS; i++)
    md_thread_create (&threads[i], NULL, log_lines, NULL);
  for (int i = 0; i < N_THREADS; i++)
    md_thread_create (&threads[i], NULL, fault, NULL);
  /* Not while a thread is created: the thread sanitizer's runtime holds a lock then, which it
     takes again in a signal handler. */
  usleep (20000);
  atomic_store (&may_fault, true);
  pause ();
}

START_TEST (lines_of_other_threads_stay_whole)
{
  Ended ended = run_process (fault_under_load, 0);

  ck_assert_int_ne (ended.status, 0);
  ck_assert_int_eq (count (ended.text.data, "event=fatal-signal"), 1);
  ck_assert_int_eq (count (ended.text.data, "event=last-request job=7\n"), 1);
  assert_whole_lines (ended.text.data);
  md_buf_clear (&ended.text);
}
END_TEST

/* The log writer pauses after a batch, so that the last line is still buffered at the fault. */
static void
fault_after_request (int log_fd, int number MD_UNUSED)
{
  md_process_begin ("test", log_fd, false);
  md_log_start_writer ();
  md_log (MD_LOG_INFO, "first-request", "job=6");
  usleep (10000);
  md_log (MD_LOG_INFO, "last-request", "job=7");
  kill (getpid (), SIGSEGV);
}

/* One of several processes is enough: on a busy machine the writer may come too late. */
START_TEST (lines_before_a_fault_are_written)
{
  int found = 0;

  for (int i = 0; i < 5 && found == 0; i++)
    {
      Ended ended = run_process (fault_after_request, 0);
      const char *at = strstr (ended.text.data, "event=last-request job=7\n");

      found = at != NULL && strstr (at, "event=fatal-signal") != NULL;
      md_buf_clear (&ended.text);
    }
  ck_assert_int_eq (found, 1);
}
END_TEST

static void
end_in_order (int log_fd, int status)
{
  md_process_begin ("test", log_fd, false);
  md_log_start_writer ();
  if (status == MD_EXIT_OK)
    md_process_set_step (MD_STEP_LEAVING);
  else
    md_process_set_step (MD_STEP_SETTINGS);
  md_process_end (status);
}

START_TEST (an_orderly_end_tells_status_and_reason)
{
  Ended done = run_process (end_in_order, MD_EXIT_OK);
  Ended failed = run_process (end_in_order, MD_EXIT_FAILED);

  ck_assert (WIFEXITED (done.status) && WEXITSTATUS (done.status) == MD_EXIT_OK);
  ck_assert (WIFEXITED (failed.status) && WEXITSTATUS (failed.status) == MD_EXIT_FAILED);
  ck_assert_int_eq (count (done.text.data, " status=0 reason=done step=leaving "), 1);
  ck_assert_int_eq (count (failed.text.data, " status=1 reason=start-failed step=settings "), 1);
  md_buf_clear (&done.text);
  md_buf_clear (&failed.text);
}
END_TEST

#define BACKLOG_LINES 5000
#define SLOW_READ_BYTES 8192
#define SLOW_READ_INTERVAL 50000 /* us */
#define MAX_SLOW_READS 25        /* the backlog of 512 KB takes 64 */

/* Fills the batch that is being written and the buffer behind it. */
static void
end_with_backlog (int log_fd)
{
  md_log_open (log_fd, "test", MD_LOG_INFO);
  md_log_start_writer ();
  for (int i = 0; i < BACKLOG_LINES; i++)
    {
      md_log (MD_LOG_WARN, "backlog", "i=%d text=%0150d", i, 7);
      if (i % (BACKLOG_LINES / 2) == 0)
        usleep (100000); /* the writer takes what is buffered */
    }
  md_process_end (MD_EXIT_OK);
}

static long long
count_reported (const char *text)
{
  static const char wanted[] = "event=log-dropped lines=";
  long long n = 0;

  for (const char *at = strstr (text, wanted); at != NULL; at = strstr (at + 1, wanted))
    n += strtoll (at + strlen (wanted), NULL, 10);
  return n;
}

/* Guards against a time limit for each write only: with a reader that takes a little now and then,
   a process took the backlog's time to end, longer than its supervisor waits. Lines that are left
   out have to be counted. */
START_TEST (an_end_does_not_wait_for_a_slow_reader)
{
  MD_AUTO_BUF text = { 0 };
  char chunk[SLOW_READ_BYTES];
  int reads = 0;
  int status;
  int fds[2];
  ssize_t n;
  pid_t pid;

  ck_assert_int_eq (pipe (fds), 0);
  pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      close (fds[0]);
      end_with_backlog (fds[1]);
    }
  close (fds[1]);
  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      usleep (SLOW_READ_INTERVAL);
      n = read (fds[0], chunk, sizeof chunk);
      if (n > 0)
        md_buf_append (&text, md_str_n (chunk, (size_t)n));
      reads++;
    }
  while ((n = read (fds[0], chunk, sizeof chunk)) > 0)
    md_buf_append (&text, md_str_n (chunk, (size_t)n));
  close (fds[0]);
  md_buf_append (&text, MD_STR ("\n"));
  ck_assert_int_eq (status, 0);
  ck_assert_msg (reads <= MAX_SLOW_READS, "the process ended after %d reads", reads);
  assert_whole_lines (text.data);
  ck_assert_int_eq (count (text.data, "event=process-end"), 1);
  ck_assert_int_eq (count (text.data, "event=backlog") + count_reported (text.data), BACKLOG_LINES);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("process");

  tcase_add_loop_test (tc, a_fatal_signal_leaves_one_line_and_the_same_status, 0,
                       MD_ARRAY_SIZE (signals));
  tcase_add_loop_test (tc, a_stack_overflow_of_a_thread_is_logged, 0, 2);
  tcase_add_test (tc, lines_of_other_threads_stay_whole);
  tcase_add_test (tc, lines_before_a_fault_are_written);
  tcase_add_test (tc, an_orderly_end_tells_status_and_reason);
  tcase_add_test (tc, an_end_does_not_wait_for_a_slow_reader);
  return run_suite ("process", tc);
}
