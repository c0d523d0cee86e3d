/* fuzzload.c -- malformed requests and random bytes for running daemons

   Each thread connects to one of the addresses after the other and sends a request that a broken or
   hostile client could send. A share of the connections is reset, closed without a read, or held
   open. The program judges nothing; whoever starts it looks at the daemons. */

#include "md-private.h"

#include <arpa/inet.h>
#include <popt.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define MAX_ADDRESSES 64
#define IO_TIMEOUT_MS 300 /* per read or write; most requests are answered sooner */

static struct
{
  char *callers; /* addresses that take jobs */
  char *reports; /* addresses that take reports of workers */
  char *others;  /* probes and metrics */
  char *frames;  /* internal ports */
  int threads;   /* that send */
  int requests;  /* of each thread */
  int nesting;   /* most levels of a nested body */
  int kilobytes; /* largest body */
  int seed;      /* of everything that is sent */
} load = { .threads = 2, .requests = 50, .nesting = 20000, .kilobytes = 900, .seed = 1 };

typedef enum
{
  CALLERS,
  REPORTS,
  OTHERS,
  FRAMES,
} Kind;

typedef struct
{
  Kind kind;
  struct sockaddr_in address;
} Target;

static Target targets[MAX_ADDRESSES];
static int n_targets;

typedef struct
{
  uint64_t random;
} Sender;

static const char job[] = "{\"best_effort\":true,\"spec\":\"ms=5 cpu=100\",\"steps\":[{\"count\":2,"
                          "\"cpu\":100,\"mem_mb\":16,\"estimated_ms\":5,\"gang\":false,"
                          "\"affinity\":\"x\",\"requirements\":\"\",\"depends_on\":[]},"
                          "{\"count\":1,\"cpu\":100,\"depends_on\":[0]}]}";
static const char report[]
    = "{\"service\":\"calc\",\"version\":\"v1\",\"state\":\"ready\",\"slots\":8,"
      "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0},"
      "\"labels\":[\"rack=r1\",\"kind=a\"],\"born\":17,\"sequence\":1,"
      "\"clock_ms\":5}";
static const char *const odd_values[] = {
  "null", "true",         "-1",          "1e308",  "9223372036854775808", "-9223372036854775808",
  "\"\"", "[]",           "{}",          "[[[]]]", "\"\\u0000\"",         "\"\\ud800\"",
  "0.5",  "[1,\"a\",{}]", "\"\xff\xfe\""
};

/* The next random number below n (splitmix64). */
static unsigned
draw (Sender *sender, unsigned n)
{
  uint64_t z = sender->random += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return (unsigned)((z ^ (z >> 31)) % n);
}

static void
repeat (MdBuf *out, const char *text, unsigned times)
{
  for (unsigned i = 0; i < times; i++)
    md_buf_append (out, md_str (text));
}

static void
write_nested (Sender *sender, MdBuf *out)
{
  static const char *const opening[] = { "[", "{\"a\":", "[{\"steps\":" };
  static const char *const before[] = { "", "{\"steps\":", "{\"state\":\"ready\",\"labels\":" };
  unsigned levels = 1 + draw (sender, (unsigned)load.nesting);

  md_buf_append (out, md_str (before[draw (sender, 3)]));
  repeat (out, opening[draw (sender, 3)], levels);
  if (draw (sender, 2) == 0)
    repeat (out, "]", levels);
}

/* Many small values, which take far more memory than text once they are parsed. */
static void
write_huge (Sender *sender, MdBuf *out)
{
  static const char *const element[]
      = { "[],", "{},", "{\"count\":1},", "1,", "aaaaaaaa", "\"\"," };
  unsigned type = draw (sender, 6);
  unsigned bytes = 1 + draw (sender, (unsigned)load.kilobytes << 10);

  md_buf_append (out, md_str (type == 4 ? "{\"spec\":\"" : "{\"steps\":["));
  repeat (out, element[type], bytes / (unsigned)strlen (element[type]));
  md_buf_append (out, md_str (type == 4 ? "\"}" : "0]}"));
}

/* Replaces one of the values by one of another type. */
static void
write_wrong_type (Sender *sender, MdBuf *out, const char *valid)
{
  const char *value = valid;

  for (unsigned skip = 1 + draw (sender, 12); skip > 0 && strchr (value, ':') != NULL; skip--)
    value = strchr (value, ':') + 1;
  md_buf_append (out, md_str_n (valid, (size_t)(value - valid)));
  md_buf_append (out, md_str (odd_values[draw (sender, MD_ARRAY_SIZE (odd_values))]));
  md_buf_append (out, md_str (value + strcspn (value, ",}")));
}

static void
write_random_bytes (Sender *sender, MdBuf *out, const char *valid, unsigned from)
{
  size_t len = strlen (valid);

  md_buf_append (out, md_str (valid));
  for (unsigned n = 1 + draw (sender, 8); n > 0 && out->len >= len; n--)
    out->data[draw (sender, (unsigned)len)] = (char)(from + draw (sender, 256 - from));
}

static void
write_body (Sender *sender, MdBuf *out, const char *valid)
{
  switch (draw (sender, 7))
    {
    case 0:
      write_nested (sender, out);
      break;
    case 1:
      write_huge (sender, out);
      break;
    case 2:
      md_buf_append (out, md_str_n (valid, draw (sender, (unsigned)strlen (valid))));
      break;
    case 3:
      write_wrong_type (sender, out, valid);
      break;
    case 4:
      write_random_bytes (sender, out, valid, 128);
      break;
    case 5:
      write_random_bytes (sender, out, valid, 0);
      break;
    default:
      md_buf_append (out, md_str (valid));
    }
}

static void
write_target (Sender *sender, MdBuf *out, Kind kind)
{
  static const char *const paths[] = { "/",
                                       "/v1/readyz",
                                       "/metrics",
                                       "/calc",
                                       "/calc/",
                                       "/v1/instances/",
                                       "//calc//1",
                                       "/calc/%00",
                                       "/calc/..%2f..",
                                       "/v1/instances/%ff%fe",
                                       "*",
                                       "/?a=%",
                                       "http://x/calc/1" };
  unsigned type = draw (sender, 8);

  if (type == 0)
    md_buf_append (out, md_str (paths[draw (sender, MD_ARRAY_SIZE (paths))]));
  else if (type == 1)
    {
      md_buf_append (out, md_str (kind == REPORTS ? "/v1/instances/" : "/calc/"));
      repeat (out, "a", draw (sender, 20000));
    }
  else if (kind == CALLERS)
    md_buf_printf (out, "/calc/f%015x", draw (sender, UINT32_MAX));
  else if (kind == REPORTS)
    md_buf_printf (out, "/v1/instances/x-%u", draw (sender, 100));
  else
    md_buf_append (out, md_str (draw (sender, 2) == 0 ? "/metrics" : "/v1/readyz"));
}

static void
write_length (Sender *sender, MdBuf *out, size_t len)
{
  static const char *const wrong[] = { "Content-Length: -1\r\n",
                                       "Content-Length: 99999999999999999999\r\n",
                                       "Content-Length: x\r\n",
                                       "Content-Length: 3\r\nContent-Length: 4\r\n",
                                       "Content-Length: 0\r\n",
                                       "Content-Length: 500\r\nTransfer-Encoding: chunked\r\n",
                                       "",
                                       "Transfer-Encoding: chunked\r\n",
                                       "Transfer-Encoding: x\r\n",
                                       "Content-Length: 2147483648\r\n" };
  unsigned type = draw (sender, 4 * MD_ARRAY_SIZE (wrong));

  if (type < MD_ARRAY_SIZE (wrong))
    md_buf_append (out, md_str (wrong[type]));
  else if (type < MD_ARRAY_SIZE (wrong) + 3)
    md_buf_printf (out, "Content-Length: %zu\r\n", len + 1 + draw (sender, 1000));
  else
    md_buf_printf (out, "Content-Length: %zu\r\n", len);
}

static void
write_request (Sender *sender, MdBuf *out, Kind kind)
{
  static const char *const methods[]
      = { "GET", "PUT", "DELETE", "HEAD", "OPTIONS", "TRACE", "\x80X", "PATCH" };
  const char *usual = kind == REPORTS ? "PUT" : "POST";
  MD_AUTO_BUF body = { 0 };

  write_body (sender, &body, kind == REPORTS ? report : job);
  md_buf_append (out,
                 md_str (draw (sender, 4) > 0 ? usual
                                              : methods[draw (sender, MD_ARRAY_SIZE (methods))]));
  md_buf_append (out, MD_STR (" "));
  write_target (sender, out, kind);
  md_buf_append (out, MD_STR (" HTTP/1.1\r\n"));
  if (draw (sender, 16) > 0)
    md_buf_append (out, MD_STR ("Host: jobs.example\r\n"));
  if (draw (sender, 16) == 0)
    repeat (out, "X-Header: \xff\r\n", draw (sender, 200));
  if (draw (sender, 16) == 0)
    md_buf_append (out, MD_STR ("X-Mulberrydrift-Deadline-Ms: -99999999999999999999\r\n"));
  write_length (sender, out, body.len);
  md_buf_append (out, MD_STR ("\r\n"));
  md_buf_append (out, md_buf_str (&body));
}

/* Random bytes; half of them behind a frame length that fits, is too large, or is never filled. */
static void
write_frame (Sender *sender, MdBuf *out)
{
  static const uint32_t lengths[] = { 0, 1, 16u << 20, (16u << 20) + 1, UINT32_MAX, 100000 };
  unsigned n = draw (sender, 3000);
  uint32_t length = htonl (draw (sender, 2) == 0 ? n : lengths[draw (sender, 6)]);

  if (draw (sender, 2) == 0)
    md_buf_append (out, md_str_n ((const char *)&length, sizeof length));
  for (unsigned i = 0; i < n; i++)
    {
      char byte
          = (char)draw (sender, i < 4 ? 32 : 256); /* field numbers of the protocol are small */

      md_buf_append (out, md_str_n (&byte, 1));
    }
}

static int
dial (const struct sockaddr_in *address)
{
  struct timeval timeout = { .tv_usec = IO_TIMEOUT_MS * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
send_all (int fd, const MdBuf *buf)
{
  for (size_t sent = 0; sent < buf->len;)
    {
      ssize_t n = send (fd, buf->data + sent, buf->len - sent, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      sent += (size_t)n;
    }
}

static void
send_one (Sender *sender)
{
  const Target *target = &targets[draw (sender, (unsigned)n_targets)];
  MD_AUTO_BUF request = { 0 };
  unsigned end = draw (sender, 8);
  char answer[4096];
  int fd;

  if (target->kind == FRAMES)
    write_frame (sender, &request);
  else
    write_request (sender, &request, target->kind);
  fd = dial (&target->address);
  if (fd < 0)
    return;
  send_all (fd, &request);
  if (end == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &(struct linger){ .l_onoff = 1 },
                sizeof (struct linger));
  else if (end > 1)
    while (recv (fd, answer, sizeof answer, 0) == (ssize_t)sizeof answer)
      ;
  close (fd);
}

static void *
run_sender (void *arg)
{
  Sender *sender = arg;

  for (int i = 0; i < load.requests; i++)
    send_one (sender);
  return NULL;
}

static void
add_targets (Kind kind, char *list)
{
  char *rest = NULL;

  for (char *word = list != NULL ? strtok_r (list, ",", &rest) : NULL;
       word != NULL && n_targets < MAX_ADDRESSES; word = strtok_r (NULL, ",", &rest))
    {
      Target *target = &targets[n_targets++];
      char *colon = strchr (word, ':');

      target->kind = kind;
      target->address.sin_family = AF_INET;
      if (colon != NULL)
        {
          *colon = '\0';
          target->address.sin_port = htons ((uint16_t)atoi (colon + 1));
        }
      inet_pton (AF_INET, word, &target->address.sin_addr);
    }
}

int
main (int argc, const char **argv)
{
  struct poptOption table[]
      = { { "callers", 0, POPT_ARG_STRING, &load.callers, 0, "ip:port,... that take jobs", NULL },
          { "reports", 0, POPT_ARG_STRING, &load.reports, 0, "ip:port,... that take reports",
            NULL },
          { "others", 0, POPT_ARG_STRING, &load.others, 0, "ip:port,... of probes, metrics", NULL },
          { "frames", 0, POPT_ARG_STRING, &load.frames, 0, "ip:port,... of links", NULL },
          { "threads", 0, POPT_ARG_INT, &load.threads, 0, "senders", NULL },
          { "requests", 0, POPT_ARG_INT, &load.requests, 0, "of each thread", NULL },
          { "nesting", 0, POPT_ARG_INT, &load.nesting, 0, "most levels of a body", NULL },
          { "kilobytes", 0, POPT_ARG_INT, &load.kilobytes, 0, "largest body", NULL },
          { "seed", 0, POPT_ARG_INT, &load.seed, 0, "of everything that is sent", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("fuzzload", argc, argv, table, 0);
  int rc = poptGetNextOpt (context);
  pthread_t threads[64];
  Sender senders[64];

  poptFreeContext (context);
  add_targets (CALLERS, load.callers);
  add_targets (REPORTS, load.reports);
  add_targets (OTHERS, load.others);
  add_targets (FRAMES, load.frames);
  if (rc != -1 || n_targets == 0 || load.threads < 1 || load.threads > 64)
    return 2;
  for (int i = 0; i < load.threads; i++)
    {
      senders[i] = (Sender){ .random = (uint64_t)load.seed * 1000 + (uint64_t)i };
      pthread_create (&threads[i], NULL, run_sender, &senders[i]);
    }
  for (int i = 0; i < load.threads; i++)
    pthread_join (threads[i], NULL);
  return 0;
}
