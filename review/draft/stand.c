/* stand.c -- stand-ins of the users' platform for the scripts of this review

     stand store  ADDRESS
     stand worker ADDRESS GUARD ID CPU STOP_MS JOURNAL
     stand call   ADDRESS METHOD PATH [BODY] [WAIT_MS]
     stand config ADDRESS FILE
     stand ports  N

   store: keyed topics with one partition, as PROTOCOL.md has them. worker: takes starts, stops and
   holds at ADDRESS and reports to GUARD every 1,500 ms. A run lasts as long as its spec says
   ("ms=700 cpu=300"). A stop takes STOP_MS and is answered when the run has ended. Each start and
   end is a line of JOURNAL: milliseconds since 1970, what, task, run, how, worker. call: one request
   of a client; prints the status and the body, or "none" when there is no answer. A body "@FILE" is
   read from the file. config: the operator writes op/config. ports: prints free ports. */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEADER_BYTES 8192
#define LEASE_MAX_MS 1000   /* max_hold_ms */
#define HEARTBEAT_MS 1500   /* heartbeat_ms */
#define RUNS 1024
#define ENDS 65536
#define RECORDS 65536
#define TOPICS 8

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;

static int64_t
clock_of (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&ts, NULL);
}

/* Waits until the monotonic time in ms; false when it has come. The lock is held. */
static bool
wait_until (int64_t ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

  return pthread_cond_timedwait (&changed, &lock, &ts) == 0;
}

/* ------------------------------------------------------------------ */
/* HTTP                                                               */

typedef struct
{
  char method[16], target[1024], expect[128];
  char *body;
  size_t len;
} Request;

typedef struct
{
  int status;
  char *body;
  size_t len;
} Answer;

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[64] = "";
  const char *colon = strchr (text, ':');

  snprintf (host, sizeof host, "%.*s", (int)(colon - text), text);
  inet_pton (AF_INET, host, &sa.sin_addr);
  sa.sin_port = htons ((uint16_t)atoi (colon + 1));
  return sa;
}

/* Reads a header and a body. Returns false when the connection ends before. */
static bool
read_message (int fd, char *head, char **body, size_t *len)
{
  size_t n = 0, length = 0, have;
  const char *field;
  char *end = NULL;

  while (end == NULL)
    {
      ssize_t got = n < HEADER_BYTES - 1 ? recv (fd, head + n, HEADER_BYTES - 1 - n, 0) : 0;

      if (got <= 0)
        return false;
      n += (size_t)got;
      head[n] = '\0';
      end = memmem (head, n, "\r\n\r\n", 4);
    }
  end += 4;
  field = strcasestr (head, "\r\ncontent-length:");
  if (field != NULL && field < end)
    length = strtoul (field + 17, NULL, 10);
  *body = calloc (1, length + 1);
  *len = length;
  have = n - (size_t)(end - head);
  memcpy (*body, end, have < length ? have : length);
  *end = '\0';
  while (have < length)
    {
      ssize_t got = recv (fd, *body + have, length - have, 0);

      if (got <= 0)
        return false;
      have += (size_t)got;
    }
  return true;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

static void (*handler) (const Request *request, Answer *answer);

static void *
serve_connection (void *data)
{
  int fd = (int)(intptr_t)data, on = 1;
  char head[HEADER_BYTES];
  bool open = true;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (open)
    {
      Request request = { .body = NULL };
      Answer answer = { .status = 200 };
      const char *expect;
      char line[128];
      int n;

      open = read_message (fd, head, &request.body, &request.len);
      if (open && sscanf (head, "%15s %1023s", request.method, request.target) == 2)
        {
          expect = strcasestr (head, "\r\nx-mulberrydrift-expect-instance:");
          if (expect != NULL)
            sscanf (strchr (expect, ':') + 1, " %127[^\r]", request.expect);
          handler (&request, &answer);
          n = snprintf (line, sizeof line, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n",
                        answer.status, answer.len);
          open = send_all (fd, line, (size_t)n) && send_all (fd, answer.body, answer.len);
        }
      free (request.body);
      free (answer.body);
    }
  close (fd);
  return NULL;
}

static void
serve (const char *address)
{
  struct sockaddr_in sa = parse_address (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0 || listen (fd, 128) != 0)
    {
      perror (address);
      exit (2);
    }
  for (;;)
    {
      int peer = accept (fd, NULL, NULL);
      pthread_t thread;

      if (peer >= 0 && pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)peer) == 0)
        pthread_detach (thread);
    }
}

/* One call; the status, 0 when there is no answer in time. */
static int
call (const char *address, const char *method, const char *path, const char *body, int64_t wait,
      char **answer)
{
  struct sockaddr_in sa = parse_address (address);
  struct timeval timeout = { wait / 1000, wait % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM, 0), status = 0;
  char head[HEADER_BYTES], *text = NULL;
  size_t len;
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
                    "X-Mulberrydrift-Deadline-Ms: %lld\r\nContent-Length: %zu\r\n\r\n",
                    method, path, (long long)wait, strlen (body));

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0 && send_all (fd, head, (size_t)n)
      && send_all (fd, body, strlen (body)) && read_message (fd, head, &text, &len))
    sscanf (head, "HTTP/1.1 %d", &status);
  close (fd);
  if (answer != NULL)
    *answer = text;
  else
    free (text);
  return status;
}

/* ------------------------------------------------------------------ */
/* Worker                                                             */

typedef struct
{
  char task[64];
  int run, cpu;
  int64_t ends; /* on the worker's clock */
  bool stopping;
} Run;

static struct
{
  const char *address, *guard, *id;
  int cpu, used;
  int64_t stop_ms;
  FILE *journal;
  int64_t born, began, token, lease;
  Run runs[RUNS];
  int n_runs;
  Run ends[ENDS]; /* cpu: index of how */
  int first_end, n_ends;
  Run past[ENDS]; /* stopped or ended */
  int n_past;
} w;

static const char *const hows[] = { "done", "stopped", "lapsed" };
enum { DONE, STOPPED, LAPSED };

static int64_t
worker_clock (void)
{
  return clock_of (CLOCK_MONOTONIC) - w.began;
}

static bool
get_text (const char *body, const char *name, char *out, size_t size)
{
  char key[32];
  const char *at;
  size_t n = 0;

  snprintf (key, sizeof key, "\"%s\":\"", name);
  at = strstr (body, key);
  out[0] = '\0';
  if (at == NULL)
    return false;
  for (at += strlen (key); *at != '"' && *at != '\0' && n + 1 < size; at++)
    out[n++] = *at;
  out[n] = '\0';
  return true;
}

static int64_t
get_number (const char *body, const char *name, int64_t fallback)
{
  char key[32];
  const char *at;

  snprintf (key, sizeof key, "\"%s\":", name);
  at = strstr (body, key);
  return at != NULL ? strtoll (at + strlen (key), NULL, 10) : fallback;
}

static void
note (const char *what, const Run *run, const char *how)
{
  fprintf (w.journal, "%lld %s %s %d %s %s\n", (long long)clock_of (CLOCK_REALTIME), what, run->task,
           run->run, how, w.id);
  fflush (w.journal);
}

static Run *
find_run (const char *task, int run)
{
  for (int i = 0; i < w.n_runs; i++)
    if (w.runs[i].run == run && strcmp (w.runs[i].task, task) == 0)
      return &w.runs[i];
  return NULL;
}

static void
remember (const char *task, int run)
{
  Run *past = &w.past[w.n_past++ % ENDS];

  snprintf (past->task, sizeof past->task, "%s", task);
  past->run = run;
}

static void
end_run (Run *run, int how)
{
  Run *end = &w.ends[w.n_ends++ % ENDS];

  remember (run->task, run->run);
  *end = *run;
  end->cpu = how;
  w.used -= run->cpu;
  note ("end", run, hows[how]);
  *run = w.runs[--w.n_runs];
  pthread_cond_broadcast (&changed);
}

static void *
run_clock (void *data)
{
  for (;;)
    {
      sleep_ms (2);
      pthread_mutex_lock (&lock);
      for (int i = w.n_runs - 1; i >= 0; i--)
        if (worker_clock () >= w.lease)
          end_run (&w.runs[i], LAPSED);
        else if (worker_clock () >= w.runs[i].ends)
          end_run (&w.runs[i], w.runs[i].stopping ? STOPPED : DONE);
      pthread_mutex_unlock (&lock);
    }
  return data;
}

static void
extend_lease (int64_t deadline)
{
  int64_t most = worker_clock () + LEASE_MAX_MS;

  if (deadline > most)
    deadline = most;
  if (deadline > w.lease)
    w.lease = deadline;
}

static const char *
start_run (const char *body, const char *task, int run)
{
  int64_t deadline = get_number (body, "deadline_ms", 0);
  char spec[4096];
  Run *slot = &w.runs[w.n_runs];
  const char *cpu;

  if (find_run (task, run) != NULL)
    return NULL;
  if (deadline <= worker_clock ())
    return "late";
  extend_lease (deadline);
  for (int i = 0; i < w.n_past && i < ENDS; i++)
    if (w.past[i].run >= run && strcmp (w.past[i].task, task) == 0)
      return "old";
  get_text (body, "spec", spec, sizeof spec);
  cpu = strstr (spec, "cpu=");
  slot->cpu = cpu != NULL ? atoi (cpu + 4) : 1000;
  if (w.n_runs == RUNS - 1 || w.used + slot->cpu > w.cpu)
    return "room";
  snprintf (slot->task, sizeof slot->task, "%s", task);
  slot->run = run;
  slot->stopping = false;
  slot->ends = worker_clock () + (strstr (spec, "ms=") ? atoi (strstr (spec, "ms=") + 3) : 100);
  w.used += slot->cpu;
  w.n_runs++;
  note ("start", slot, "-");
  return NULL;
}

/* A stop takes stop_ms and is answered when the run has ended. A run that is not there is remembered,
   so that it does not start later. */
static void
stop_run (const char *task, int run)
{
  Run *found = find_run (task, run);

  if (found == NULL)
    {
      remember (task, run);
      return;
    }
  if (!found->stopping)
    {
      found->stopping = true;
      found->ends = worker_clock () + w.stop_ms;
    }
  while (find_run (task, run) != NULL)
    pthread_cond_wait (&changed, &lock);
}

static void
list_runs (FILE *out)
{
  int listed = 0;

  fprintf (out, "\"running\":[");
  for (int i = 0; i < w.n_runs; i++)
    fprintf (out, "%s[\"%s\",%d,\"\",100,%d]", i > 0 ? "," : "", w.runs[i].task, w.runs[i].run,
             w.runs[i].cpu);
  fprintf (out, "],\"finished\":[");
  for (int i = w.first_end; i < w.n_ends && listed < 500; i++, listed++)
    fprintf (out, "%s[%d,\"%s\",%d,\"%s\",\"\"]", listed > 0 ? "," : "", i + 1, w.ends[i % ENDS].task,
             w.ends[i % ENDS].run, hows[w.ends[i % ENDS].cpu]);
  fprintf (out, "],");
}

static void
hold (const char *body, FILE *out)
{
  int64_t acked = get_number (body, "acked", 0);
  int64_t until = clock_of (CLOCK_MONOTONIC) + get_number (body, "wait_ms", 0);

  extend_lease (get_number (body, "deadline_ms", 0));
  if (acked > w.first_end && acked <= w.n_ends)
    w.first_end = (int)acked;
  while (w.first_end == w.n_ends && clock_of (CLOCK_MONOTONIC) < until && wait_until (until))
    ;
  list_runs (out);
}

static void
handle_order (const Request *request, Answer *answer)
{
  FILE *out = open_memstream (&answer->body, &answer->len);
  const char *reason = NULL;
  char task[64];
  int run = (int)get_number (request->body, "run", 0);
  int64_t token = get_number (request->body, "fencing_token", 0);

  get_text (request->body, "task", task, sizeof task);
  fprintf (out, "{");
  pthread_mutex_lock (&lock);
  if (request->expect[0] != '\0' && strcmp (request->expect, w.id) != 0)
    answer->status = 421;
  else if (token < w.token)
    reason = "fence";
  else
    {
      w.token = token;
      if (strcmp (request->target, "/v1/run-start") == 0)
        reason = start_run (request->body, task, run);
      else if (strcmp (request->target, "/v1/run-stop") == 0)
        stop_run (task, run);
      else if (strcmp (request->target, "/v1/hold") == 0)
        hold (request->body, out);
      else
        answer->status = 404;
    }
  if (reason != NULL)
    {
      answer->status = 409;
      fprintf (out, "\"reason\":\"%s\",", reason);
    }
  fprintf (out, "\"clock_ms\":%lld,\"born\":%lld}", (long long)worker_clock (), (long long)w.born);
  pthread_mutex_unlock (&lock);
  fclose (out);
}

static void *
report (void *data)
{
  for (int sequence = 1;; sequence++)
    {
      char path[128], body[1024];

      snprintf (path, sizeof path, "/v1/instances/%s", w.id);
      snprintf (body, sizeof body,
                "{\"service\":\"calc\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
                "\"mem_mb\":262144,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":%lld,"
                "\"sequence\":%d,\"born\":%lld}",
                w.address, w.cpu, (long long)worker_clock (), sequence, (long long)w.born);
      /* A process that is being started is tried again soon. */
      sleep_ms (call (w.guard, "PUT", path, body, 1000, NULL) == 200 ? HEARTBEAT_MS : 200);
    }
  return data;
}

static int
run_worker (char **args)
{
  pthread_t thread;

  w.address = args[0];
  w.guard = args[1];
  w.id = args[2];
  w.cpu = atoi (args[3]);
  w.stop_ms = atoi (args[4]);
  w.journal = fopen (args[5], "a");
  w.born = clock_of (CLOCK_REALTIME);
  w.began = clock_of (CLOCK_MONOTONIC) - 1000;
  handler = handle_order;
  if (w.journal == NULL || pthread_create (&thread, NULL, run_clock, NULL) != 0
      || pthread_create (&thread, NULL, report, NULL) != 0)
    return 2;
  serve (args[0]);
  return 0;
}

/* ------------------------------------------------------------------ */
/* Store                                                              */

typedef struct
{
  char name[64];
  struct { char *data; size_t len; } records[RECORDS]; /* length of the key, key, value */
  size_t end;
} Topic;

static Topic *topics[TOPICS];

static Topic *
find_topic (const char *target)
{
  char name[64] = "";
  const char *at = strstr (target, "topic=");
  int i = 0;

  if (at != NULL)
    sscanf (at + 6, "%63[^&]", name);
  while (i < TOPICS - 1 && topics[i] != NULL && strcmp (topics[i]->name, name) != 0)
    i++;
  if (topics[i] == NULL)
    {
      topics[i] = calloc (1, sizeof (Topic));
      snprintf (topics[i]->name, sizeof topics[i]->name, "%s", name);
    }
  return topics[i];
}

static long long
parameter (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at != NULL ? strtoll (at + strlen (name), NULL, 10) : 0;
}

static void
put_number (FILE *out, uint64_t value, int bytes)
{
  while (bytes-- > 0)
    fputc ((int)(value >> (8 * bytes) & 255), out);
}

static void
append (const Request *request, Topic *topic, FILE *out)
{
  size_t at = 0, first = topic->end;

  while (at + 4 <= request->len && topic->end < RECORDS)
    {
      const unsigned char *p = (const unsigned char *)request->body + at;
      size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];

      topic->records[topic->end].data = malloc (len);
      topic->records[topic->end].len = len;
      memcpy (topic->records[topic->end++].data, p + 4, len);
      at += 4 + len;
    }
  fprintf (out, "{\"offset\":%zu,\"end_offset\":%zu}", first, topic->end);
  pthread_cond_broadcast (&changed);
}

static void
read_records (const Request *request, Topic *topic, FILE *out)
{
  size_t from = (size_t)parameter (request->target, "from=");
  int64_t until = clock_of (CLOCK_MONOTONIC) + parameter (request->target, "wait_ms=");

  while (from >= topic->end && clock_of (CLOCK_MONOTONIC) < until && wait_until (until))
    ;
  put_number (out, topic->end, 8);
  put_number (out, 0, 8);
  for (; from < topic->end; from++)
    {
      put_number (out, topic->records[from].len, 4);
      fwrite (topic->records[from].data, 1, topic->records[from].len, out);
    }
}

static void
put_base64 (FILE *out, const unsigned char *p, size_t len)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned v = (unsigned)p[i] << 16 | (i + 1 < len ? p[i + 1] << 8 : 0) | (i + 2 < len ? p[i + 2] : 0);

      fputc (digits[v >> 18], out);
      fputc (digits[v >> 12 & 63], out);
      fputc (i + 1 < len ? digits[v >> 6 & 63] : '=', out);
      fputc (i + 2 < len ? digits[v & 63] : '=', out);
    }
}

static void
list_newest (const Topic *topic, FILE *out)
{
  const char *comma = "";

  fprintf (out, "{\"items\":[");
  for (size_t i = 0; i < topic->end; i++)
    {
      const char *data = topic->records[i].data;
      size_t key = 1 + (unsigned char)data[0], later = i + 1;

      while (later < topic->end
             && (topic->records[later].len < key || memcmp (topic->records[later].data, data, key) != 0))
        later++;
      if (later < topic->end)
        continue;
      fprintf (out, "%s{\"key\":\"%.*s\",\"offset\":%zu,\"value\":\"", comma, (int)key - 1, data + 1, i);
      put_base64 (out, (const unsigned char *)data + key, topic->records[i].len - key);
      fprintf (out, "\"}");
      comma = ",";
    }
  fprintf (out, "],\"has_more\":false,\"end_offset\":%zu}", topic->end);
}

static void
handle_store (const Request *request, Answer *answer)
{
  FILE *out = open_memstream (&answer->body, &answer->len);
  Topic *topic;

  pthread_mutex_lock (&lock);
  topic = find_topic (request->target);
  if (strncmp (request->target, "/v1/log-append?", 15) == 0)
    append (request, topic, out);
  else if (strncmp (request->target, "/v1/log-read?", 13) == 0)
    read_records (request, topic, out);
  else if (strncmp (request->target, "/v1/log-newest?", 15) == 0)
    list_newest (topic, out);
  else
    answer->status = 404;
  pthread_mutex_unlock (&lock);
  fclose (out);
}

/* ------------------------------------------------------------------ */

static char *
read_file (const char *name)
{
  FILE *file = fopen (name, "r");
  char *text = calloc (1, 1 << 20);

  if (file == NULL || fread (text, 1, (1 << 20) - 1, file) == 0)
    exit (2);
  fclose (file);
  return text;
}

static int
write_config (const char *address, const char *name)
{
  struct sockaddr_in sa = parse_address (address);
  char *text = read_file (name), head[HEADER_BYTES], *answer = NULL;
  size_t len = strlen (text) + 7, got;
  int fd = socket (AF_INET, SOCK_STREAM, 0), status = 0;
  unsigned char record[11] = { (unsigned char)(len >> 24), (unsigned char)(len >> 16),
                               (unsigned char)(len >> 8), (unsigned char)len, 6, 'c', 'o', 'n', 'f', 'i', 'g' };
  int n = snprintf (head, sizeof head,
                    "POST /v1/log-append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: store\r\n"
                    "Content-Length: %zu\r\n\r\n", len + 4);

  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0 && send_all (fd, head, (size_t)n)
      && send_all (fd, (char *)record, sizeof record) && send_all (fd, text, strlen (text))
      && read_message (fd, head, &answer, &got))
    sscanf (head, "HTTP/1.1 %d", &status);
  return status == 200 ? 0 : 1;
}

static int
print_ports (int n)
{
  for (int i = 0; i < n; i++)
    {
      struct sockaddr_in sa = { .sin_family = AF_INET };
      socklen_t len = sizeof sa;
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      /* Bound until the end of the process, so that all differ. */
      if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
          || getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
        return 2;
      printf ("%d ", ntohs (sa.sin_port));
    }
  printf ("\n");
  return 0;
}

static int
run_call (int argc, char **args)
{
  char *answer = NULL;
  char *body = argc > 3 && args[3][0] == '@' ? read_file (args[3] + 1) : argc > 3 ? args[3] : "";
  int status = call (args[0], args[1], args[2], body, argc > 4 ? atoll (args[4]) : 3000, &answer);

  if (status == 0)
    printf ("none\n");
  else
    printf ("%d %s\n", status, answer);
  return 0;
}

int
main (int argc, char **argv)
{
  pthread_condattr_t attributes;

  signal (SIGPIPE, SIG_IGN);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attributes);
  if (argc == 8 && strcmp (argv[1], "worker") == 0)
    return run_worker (argv + 2);
  if (argc == 3 && strcmp (argv[1], "store") == 0)
    {
      handler = handle_store;
      serve (argv[2]);
    }
  if (argc == 3 && strcmp (argv[1], "ports") == 0)
    return print_ports (atoi (argv[2]));
  if (argc == 4 && strcmp (argv[1], "config") == 0)
    return write_config (argv[2], argv[3]);
  if (argc >= 5 && strcmp (argv[1], "call") == 0)
    return run_call (argc - 2, argv + 2);
  fprintf (stderr, "usage: see the head of stand.c\n");
  return 2;
}
