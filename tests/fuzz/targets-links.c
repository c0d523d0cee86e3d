/* targets-links.c -- frames from a guard at run-entry, and from an entry at run-guard

   An input is a list of frames, each after its length in two bytes (little-endian, at most the
   rest of the input). They are sent over a connection to a fresh entry, which has jobs, or to a
   fresh guard, which accepts runs. Its worker is never called. */

#define _GNU_SOURCE /* accept4 */

#include "run-entry.h"
#include "run-guard.h"
#include "targets.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PASSES 3 /* of the engine after each frame: accept, read, act */
#define JOBS 3

/* A loopback address that differs from input to input: ports of ended connections stay in use for a
   minute, and one address has too few for a minute of inputs. */
static uint32_t
next_host (void)
{
  static uint32_t number;

  number = (number + 1) & 0xffff;
  return INADDR_LOOPBACK + (number << 8);
}

static struct sockaddr_in
make_address (uint32_t host, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  address.sin_addr.s_addr = htonl (host);
  return address;
}

/* Sends what fits; the other side may have closed the connection. */
static void
send_bytes (int fd, MdStr bytes)
{
  if (send (fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    FUZZ_CHECK (errno == EPIPE || errno == ECONNRESET || errno == EAGAIN);
}

/* Reads what the other side has sent, so that its queue does not fill up. */
static void
skip_input (int fd)
{
  char bytes[16384];

  while (recv (fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0)
    ;
}

/* Closes with a reset, which leaves no port in TIME_WAIT. */
static void
reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Takes the next frame off the input and sends it with its length prefix. False at the end. */
static bool
send_next (int fd, MdStr *input)
{
  const unsigned char *p = (const unsigned char *)input->data;
  MD_AUTO_BUF frame = { 0 };
  size_t len;
  char prefix[4] = { 0 };

  if (input->len < 2)
    return false;
  len = (size_t)p[1] << 8 | p[0];
  if (len > input->len - 2)
    len = input->len - 2;
  fuzz_preparing = true;
  prefix[2] = (char)(len >> 8);
  prefix[3] = (char)len;
  md_buf_append (&frame, md_str_n (prefix, sizeof prefix));
  md_buf_append (&frame, md_str_n (input->data + 2, len));
  send_bytes (fd, md_buf_str (&frame));
  fuzz_preparing = false;
  *input = md_str_n (input->data + 2 + len, input->len - 2 - len);
  return true;
}

/* ------------------------------------------------------------------ */
/* Entry                                                              */

static MdRunEntry entry;
static MdCallerRequest requests[JOBS];
static MdRoute *route; /* of all requests */
static int caller[2];
static int event;

static void
submit (MdCallerRequest *request, int number)
{
  const MdRoute fields = { .name = MD_STR ("queue"),
                           .label = MD_STR ("queue"),
                           .pool = MD_STR ("calc"),
                           .slack_factor = 4,
                           .target_latency = MD_SECOND,
                           .max_attempts = 2 };

  fuzz_preparing = true;
  if (route == NULL)
    route = md_route_new (&fields);
  *request = (MdCallerRequest){ .kind = MD_CALLER_REQUEST_SUBMIT, .arrived = md_now () };
  request->event = event;
  request->socket = caller[0];
  request->id[0] = (char)('a' + number);
  request->route = route;
  request->spec.n_steps = 2;
  request->spec.steps = calloc (2, sizeof *request->spec.steps);
  request->spec.spec = md_str_dup (MD_STR ("ms=1"));
  request->spec.spec_len = 4;
  request->spec.best_effort = true;
  for (uint32_t i = 0; i < 2; i++)
    {
      request->spec.steps[i].n_tasks = 2;
      request->spec.steps[i].resources = (MdResources){ 1000, 100, 0 };
      request->spec.steps[i].declared_time = 10 * MD_MS;
      request->spec.steps[i].depends_on = i;
      request->spec.steps[i].checkpointing = number == 1;
    }
  md_inbox_push (&entry.inbox, &request->node);
  fuzz_preparing = false;
}

static int
start_entry (void)
{
  MdTuning tuning;
  MdError error = { 0 };
  uint32_t number = next_host ();
  struct sockaddr_in to = make_address (number, 0);
  char host[MD_ADDRESS_BYTES];
  char address[MD_ADDRESS_BYTES];
  int port;
  int fd;

  md_tuning_default (&tuning);
  FUZZ_CHECK (socketpair (AF_UNIX, SOCK_STREAM, 0, caller) == 0);
  event = eventfd (0, EFD_NONBLOCK);
  entry = (MdRunEntry){ .now = md_now (), .next_order_id = 1, .incarnation = 4711 };
  entry.daemon.settings.tuning = tuning;
  entry.daemon.settings.max_followed = 4;
  entry.workers.remote_factor = 1.5;
  md_leases_set (&entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  entry.daemon.links = md_links_new (&tuning, &md_run_entry_handler, &entry);
  snprintf (host, sizeof host, "%s:0", inet_ntoa (to.sin_addr));
  FUZZ_CHECK (md_links_listen (entry.daemon.links, md_str (host), address, &error) == MD_OK);
  FUZZ_CHECK (md_address_split (md_str (address), host, &port) == MD_OK);
  to = make_address (number, port);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  FUZZ_CHECK (fd >= 0 && connect (fd, (struct sockaddr *)&to, sizeof to) == 0);
  return fd;
}

static void
check_entry (void)
{
  for (uint32_t i = 0; i < entry.workers.n; i++)
    {
      const MdWorker *worker = entry.workers.workers[i];

      FUZZ_CHECK (worker->wait >= 0 && worker->next_end >= 0);
      FUZZ_CHECK (worker->speed > 0 && worker->speed < 1e6);
    }
}

static void
poll_entry (void)
{
  for (int i = 0; i < PASSES; i++)
    {
      md_links_poll (entry.daemon.links, 0);
      entry.now = md_now ();
      md_entry_handle_requests (&entry, MD_SECOND);
      md_entry_jobs_tick (&entry);
      md_entry_guards_poll (&entry);
    }
  check_entry ();
}

static void
stop_entry (int fd)
{
  reset (fd);
  md_entry_reject_requests (&entry);
  md_entry_fail_all (&entry);
  FUZZ_CHECK (entry.n_tasks == 0 && entry.n_jobs == 0);
  md_links_free (entry.daemon.links);
  md_entry_free_guards (&entry);
  md_entry_free_queues (&entry);
  for (int i = 0; i < JOBS; i++)
    {
      FUZZ_CHECK (atomic_load (&requests[i].answered));
      md_buf_clear (&requests[i].body);
    }
  close (event);
  close (caller[0]);
  close (caller[1]);
}

void
fuzz_entry_frames (MdStr input)
{
  int sent = 0;
  int fd;

  fuzz_preparing = true;
  fd = start_entry ();
  fuzz_preparing = false;
  while (send_next (fd, &input))
    {
      poll_entry ();
      skip_input (fd);
      if (++sent == 2) /* the guard has said hello and reported its worker */
        for (int i = 0; i < JOBS; i++)
          submit (&requests[i], i);
    }
  for (int i = 0; sent < 2 && i < JOBS; i++)
    submit (&requests[i], i);
  poll_entry ();
  stop_entry (fd);
}

/* ------------------------------------------------------------------ */
/* Guard                                                              */

static MdRunGuard guard;

/* As if the worker had answered a hold. */
static void
accept_runs (void)
{
  guard.worker.has_report = guard.worker.clean = guard.worker.clock_known = true;
  guard.worker.reachable = true;
  guard.worker.last_response_at = guard.now;
  guard.worker.report.state = MD_WORKER_READY;
  md_guard_update_accepting (&guard);
}

static void
start_guard (int listener)
{
  MdTuning tuning;
  char address[MD_ADDRESS_BYTES];
  struct sockaddr_in at = make_address (next_host (), 0);
  socklen_t size = sizeof at;

  FUZZ_CHECK (bind (listener, (struct sockaddr *)&at, size) == 0 && listen (listener, 4) == 0
              && getsockname (listener, (struct sockaddr *)&at, &size) == 0);
  snprintf (address, sizeof address, "%s:%d", inet_ntoa (at.sin_addr), ntohs (at.sin_port));
  md_tuning_default (&tuning);
  tuning.reconnect_min = tuning.reconnect_max = MD_SECOND;
  guard = (MdRunGuard){ .now = md_now (), .incarnation = 7 };
  guard.daemon.settings.worker_lease_max = MD_SECOND;
  guard.daemon.settings.full_reports = 2;
  md_str_copy (guard.daemon.settings.name, sizeof guard.daemon.settings.name, MD_STR ("guard-1"));
  md_leases_set (&guard.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  guard.daemon.links = md_links_new (&tuning, &md_run_guard_handler, &guard);
  guard.worker.report.born_ms = 1;
  guard.worker.report.capacity = (MdResources){ 64000, 64000, 4 };
  guard.worker.token = 1;
  md_guard_add_peer (&guard, md_str (address), false);
}

static void
poll_guard (void)
{
  for (int i = 0; i < PASSES; i++)
    {
      md_links_poll (guard.daemon.links, 0);
      guard.now = md_now ();
      md_guard_check_leases (&guard);
      md_guard_orders_poll (&guard);
    }
  FUZZ_CHECK (md_runqueue_expected_wait (&guard.queue, guard.now) >= 0);
  FUZZ_CHECK (md_runqueue_next_end (&guard.queue, guard.now) >= 0);
  FUZZ_CHECK (md_runqueue_speed (&guard.queue, guard.now) > 0);
}

void
fuzz_guard_frames (MdStr input)
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int fd = -1;

  FUZZ_CHECK (listener >= 0);
  fuzz_preparing = true;
  start_guard (listener);
  for (int i = 0; i < 1000 && fd < 0; i++)
    {
      md_links_poll (guard.daemon.links, md_now () + MD_MS);
      fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd < 0)
        FUZZ_CHECK (errno == EAGAIN || errno == EWOULDBLOCK);
    }
  FUZZ_CHECK (fd >= 0);
  fuzz_preparing = false;
  while (send_next (fd, &input))
    {
      accept_runs ();
      poll_guard ();
      skip_input (fd);
    }
  poll_guard ();
  reset (fd);
  close (listener);
  md_guard_free_runs (&guard);
  md_guard_free_peers (&guard);
  md_links_free (guard.daemon.links);
}
