/* log.c -- logger that writes one line of key=value pairs for each event

   A line is formatted on the stack and truncated to LINE_BYTES. A command writes it
   directly, with one system call. A daemon must not block on the reader of its output,
   so it copies its lines to a buffer of fixed size that a background thread writes out.
   When the buffer is three quarters full or more than LINES_PER_SECOND lines arrive in a
   second, lines below the level of a warning are dropped; the last quarter is reserved
   for warnings and errors. The number of dropped lines is logged.

   At the end of a process, everything that is left has one deadline: a time limit for each write
   would let a slow reader delay the end beyond the supervisor's kill. */

#define _GNU_SOURCE /* memrchr */

#include "process.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 2048
#define BUFFER_BYTES (256u << 10)   /* lines not yet taken by the writer */
#define LINES_PER_SECOND 4000u      /* ten lines for each job at the peak load of one entry */
#define BATCH_INTERVAL (50 * MD_MS) /* pause between writes, to write lines in batches */
#define WRITE_WAIT_MS 200           /* for the reader, before the writer looks at its state again */
/* At shutdown; together less than what the daemons leave between their loops and the supervisor's
   kill (900 ms, of which an entry gives 300 to its callers). */
#define FLUSH_TIMEOUT (300 * MD_MS)     /* for all buffered lines */
#define LAST_LINE_TIMEOUT (150 * MD_MS) /* then for the count of dropped lines and the last line */
#define WAIT_STEP_MS 5                  /* between checks of md_log_wait_written */

static struct
{
  int fd;            /* -1 closed: nothing is logged */
  char node[64];     /* in every line */
  atomic_int lowest; /* MdLogLevel, lowest level written */
} logger = { .fd = -1 };

/* The buffer and thread of md_log_start_writer. */
static struct
{
  pthread_mutex_t lock;    /* protects the fields up to dropped, but filled and thread */
  pthread_cond_t filled;   /* used became positive, or stopping was set */
  char *bytes;             /* BUFFER_BYTES, owned; NULL: no writer */
  size_t used;             /* bytes of buffered lines */
  bool stopping;           /* the thread writes what is buffered and ends */
  bool closed;             /* md_log_end was called: lines are discarded */
  pthread_t thread;        /* valid while bytes is not NULL */
  MdTime window_start;     /* start of the second in which lines are counted */
  unsigned window_lines;   /* lines below a warning in that second */
  uint64_t dropped;        /* lines since the last log-dropped line */
  atomic_size_t pending;   /* bytes that are buffered or being written */
  atomic_bool ended;       /* the thread has written its last line */
  _Atomic MdTime deadline; /* no write starts later; 0: none. Not under the lock, which threads
                              that log hold most of the time. */
} writer = { .lock = PTHREAD_MUTEX_INITIALIZER, .filled = PTHREAD_COND_INITIALIZER };

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void
md_log_open (int fd, const char *node, MdLogLevel lowest)
{
  logger.fd = fd;
  md_log_set_level (lowest);
  md_str_copy (logger.node, sizeof logger.node, md_str (node));
}

bool
md_log_enabled (MdLogLevel level)
{
  return logger.fd >= 0
         && (int)level >= atomic_load_explicit (&logger.lowest, memory_order_relaxed);
}

int
md_log_descriptor (void)
{
  return logger.fd;
}

const char *
md_log_node (void)
{
  return logger.node;
}

void
md_log_wait_written (int timeout_ms)
{
  MdTime deadline = md_now () + timeout_ms * MD_MS;

  while (atomic_load (&writer.pending) > 0 && md_now () < deadline)
    poll (NULL, 0, WAIT_STEP_MS);
}

void
md_log_set_level (MdLogLevel lowest)
{
  atomic_store_explicit (&logger.lowest, (int)lowest, memory_order_relaxed);
}

static size_t
format_prefix (char *line, MdLogLevel level, const char *event)
{
  struct timespec now;
  struct tm tm;
  char stamp[32];
  int n;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
  n = snprintf (line, LINE_BYTES, "time=%s.%03ldZ level=%s node=%s event=%s ", stamp,
                now.tv_nsec / 1000000, level_names[level], logger.node, event);
  return (size_t)n;
}

/* Decides whether a line is buffered, and counts it. The caller holds the lock. */
static bool
admit_line (MdLogLevel level, size_t len, MdTime now)
{
  size_t limit = level >= MD_LOG_WARN ? BUFFER_BYTES : BUFFER_BYTES / 4 * 3;

  if (now >= writer.window_start + MD_SECOND)
    {
      writer.window_start = now;
      writer.window_lines = 0;
    }
  if (writer.used + len > limit)
    return false;
  return level >= MD_LOG_WARN || writer.window_lines++ < LINES_PER_SECOND;
}

/* Returns false when the caller has to write the line, as there is no writer. A line that does not
   fit is dropped. The pointer is tested under the lock, because md_log_stop_writer takes the buffer
   away while threads log. */
static bool
buffer_line (MdLogLevel level, const char *line, size_t len)
{
  bool exists;
  bool closed;

  pthread_mutex_lock (&writer.lock);
  exists = writer.bytes != NULL;
  closed = writer.closed;
  if (exists && admit_line (level, len, md_now ()))
    {
      if (writer.used == 0)
        pthread_cond_signal (&writer.filled);
      memcpy (writer.bytes + writer.used, line, len);
      writer.used += len;
      atomic_fetch_add (&writer.pending, len);
    }
  else if (exists)
    writer.dropped++;
  pthread_mutex_unlock (&writer.lock);
  return exists || closed;
}

/* Formats a line of at most LINE_BYTES and returns its length; 0: not a valid format. */
static size_t
format_line (char *line, MdLogLevel level, const char *event, const char *format, va_list args)
{
  size_t len = format_prefix (line, level, event);
  int n = vsnprintf (line + len, LINE_BYTES - len - 1, format, args);

  if (n < 0)
    return 0;
  len += (size_t)n;
  if (len > LINE_BYTES - 2)
    len = LINE_BYTES - 2;
  line[len++] = '\n';
  return len;
}

void
md_log (MdLogLevel level, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  size_t len;
  va_list args;

  if (!md_log_enabled (level))
    return;
  va_start (args, format);
  len = format_line (line, level, event, format, args);
  va_end (args);
  if (len == 0 || buffer_line (level, line, len))
    return;
  if (write (logger.fd, line, len) < 0)
    return; /* a failed write must not stop the service */
}

/* ------------------------------------------------------------------ */
/* Background writer                                                  */

/* How long the next write may wait for the reader, ms; negative: it is given up. */
static int
write_wait (void)
{
  MdTime deadline = atomic_load (&writer.deadline);
  MdTime wait = WRITE_WAIT_MS * MD_MS;

  if (deadline != 0 && deadline - md_now () < wait)
    wait = deadline - md_now ();
  return wait < 0 ? -1 : (int)((wait + MD_MS - 1) / MD_MS);
}

/* The length of the whole lines in the first PIPE_BUF bytes, or PIPE_BUF when there is none. */
static size_t
whole_lines (const char *bytes, size_t n)
{
  const char *end;

  if (n <= PIPE_BUF)
    return n;
  end = memrchr (bytes, '\n', PIPE_BUF);
  return end != NULL ? (size_t)(end - bytes) + 1 : PIPE_BUF;
}

static uint64_t
count_lines (const char *bytes, size_t n)
{
  uint64_t lines = 0;

  for (size_t i = 0; i < n; i++)
    lines += bytes[i] == '\n';
  return lines;
}

/* Waits for a slow reader, but at shutdown only until the deadline. A pipe that polls as writable
   accepts PIPE_BUF bytes without blocking. Each call writes whole lines, so that a line of a signal
   handler does not get into another one. Returns the number of lines that were not written. */
static uint64_t
write_all (const char *bytes, size_t n)
{
  while (n > 0)
    {
      struct pollfd fd = { .fd = logger.fd, .events = POLLOUT };
      size_t len = whole_lines (bytes, n);
      int wait = write_wait ();
      ssize_t written;
      int ready;

      if (wait < 0)
        break;
      ready = poll (&fd, 1, wait);
      if (ready == 0 || (ready < 0 && errno == EINTR))
        continue;
      written = write (logger.fd, bytes, len);
      if (written < 0 && errno != EINTR && errno != EAGAIN)
        break; /* there is no other place to report the error */
      if (written > 0)
        {
          bytes += written;
          n -= (size_t)written;
        }
    }
  return count_lines (bytes, n);
}

/* Moves the buffered lines to out and returns their size. The caller holds the lock. */
static size_t
drain_buffer (char *out)
{
  size_t used = writer.used;

  memcpy (out, writer.bytes, used);
  writer.used = 0;
  return used;
}

/* Written like a batch: the buffer may be full or gone, and the output may not be read. Returns
   false when the line was not written. */
static bool
write_event (MdLogLevel level, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  size_t len;
  va_list args;

  va_start (args, format);
  len = format_line (line, level, event, format, args);
  va_end (args);
  return write_all (line, len) == 0;
}

static void
count_dropped (uint64_t lines)
{
  pthread_mutex_lock (&writer.lock);
  writer.dropped += lines;
  pthread_mutex_unlock (&writer.lock);
}

/* Lines that could not be reported are counted again for the next report. */
static void
report_dropped (void)
{
  uint64_t dropped;

  pthread_mutex_lock (&writer.lock);
  dropped = writer.dropped;
  writer.dropped = 0;
  pthread_mutex_unlock (&writer.lock);
  if (dropped > 0
      && !write_event (MD_LOG_WARN, "log-dropped", "lines=%llu reason=\"volume or slow reader\"",
                       (unsigned long long)dropped))
    count_dropped (dropped);
}

static void *
run_writer (void *data)
{
  char *batch = data;
  struct timespec pause = { 0, BATCH_INTERVAL * 1000 };
  bool stopping = false;

  while (!stopping)
    {
      uint64_t unwritten;
      size_t used;

      pthread_mutex_lock (&writer.lock);
      while (writer.used == 0 && !writer.stopping)
        pthread_cond_wait (&writer.filled, &writer.lock);
      stopping = writer.stopping;
      used = drain_buffer (batch);
      pthread_mutex_unlock (&writer.lock);
      unwritten = write_all (batch, used);
      if (unwritten > 0)
        count_dropped (unwritten);
      atomic_fetch_sub (&writer.pending, used);
      if (!stopping)
        {
          report_dropped ();
          nanosleep (&pause, NULL);
        }
    }
  free (batch);
  atomic_store (&writer.ended, true);
  return NULL;
}

void
md_log_start_writer (void)
{
  char *batch = malloc (BUFFER_BYTES);
  char *bytes = malloc (BUFFER_BYTES);

  atomic_store (&writer.ended, false);
  if (bytes != NULL && batch != NULL
      && md_thread_create (&writer.thread, NULL, run_writer, batch) == 0)
    {
      pthread_mutex_lock (&writer.lock);
      writer.bytes = bytes;
      pthread_mutex_unlock (&writer.lock);
      return;
    }
  free (bytes);
  free (batch);
}

static void
set_deadline (MdTime timeout)
{
  atomic_store (&writer.deadline, md_now () + timeout);
}

/* Whether the thread has ended by the deadline, or at most one wait after it. A write to a pipe that
   other processes fill as well can block for longer, although the pipe polled as writable. */
static bool
wait_ended (void)
{
  MdTime until = atomic_load (&writer.deadline) + WRITE_WAIT_MS * MD_MS;

  while (!atomic_load (&writer.ended) && md_now () < until)
    poll (NULL, 0, 1);
  return atomic_load (&writer.ended);
}

/* Ends the thread and writes what was buffered after its last pass. With closing set, lines of
   other threads are discarded from then on. Returns false when the thread does not end because its
   output is blocked; it then keeps its memory. */
static bool
stop_writer (bool closing)
{
  char *bytes;
  size_t used;

  set_deadline (FLUSH_TIMEOUT);
  pthread_mutex_lock (&writer.lock);
  bytes = writer.bytes;
  writer.stopping = bytes != NULL || closing;
  pthread_cond_signal (&writer.filled);
  pthread_mutex_unlock (&writer.lock);
  if (bytes != NULL && closing && !wait_ended ())
    return false;
  if (bytes != NULL)
    pthread_join (writer.thread, NULL);
  pthread_mutex_lock (&writer.lock);
  writer.bytes = NULL;
  writer.closed = closing;
  used = writer.used;
  writer.used = 0;
  pthread_mutex_unlock (&writer.lock);
  if (bytes != NULL)
    count_dropped (write_all (bytes, used));
  atomic_fetch_sub (&writer.pending, used);
  free (bytes);
  set_deadline (LAST_LINE_TIMEOUT);
  report_dropped ();
  return true;
}

void
md_log_stop_writer (void)
{
  stop_writer (false);
  pthread_mutex_lock (&writer.lock);
  writer.stopping = false;
  pthread_mutex_unlock (&writer.lock);
  atomic_store (&writer.deadline, 0);
}

void
md_log_end (MdLogLevel level, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;

  if (!stop_writer (true))
    return;
  va_start (args, format);
  write_all (line, format_line (line, level, event, format, args));
  va_end (args);
}

static bool
needs_quotes (MdStr value)
{
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char)value.data[i];
      if (c <= ' ' || c == '"' || c == '=' || c >= 0x7f)
        return true;
    }
  return value.len == 0;
}

const char *
md_log_quote (MdStr value, char *out, size_t size)
{
  size_t n = 0;

  if (!needs_quotes (value))
    {
      md_str_copy (out, size, value);
      return out;
    }
  out[n++] = '"';
  for (size_t i = 0; i < value.len && n < size - 2; i++)
    {
      unsigned char c = (unsigned char)value.data[i];
      out[n++] = c < ' ' || c == '"' || c >= 0x7f ? '?' : (char)c;
    }
  out[n++] = '"';
  out[n] = '\0';
  return out;
}
