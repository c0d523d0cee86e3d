/* front-util.c -- an entry's HTTP front end for tests, with a scripted store for its configuration */

#include "front.h"
#include "http-client.h"
#include "port.h"
#include "scripted-server.h"

#include <arpa/inet.h>
#include <check.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define ROUTE(prefix)                                                                              \
  "{\"name\":\"q\",\"host\":\"jobs.example\",\"path_prefix\":\"" prefix "\",\"timeout_ms\":1500,"  \
  "\"target_latency_ms\":60,\"priority\":1,\"service\":\"calc\",\"max_attempts\":2,"               \
  "\"slack_factor\":4}"
#define CONFIG(version, routes)                                                                    \
  "{\"version\":" #version ",\"routes\":[" routes "],\"services\":[],"                             \
  "\"limits\":{\"max_body_bytes\":7340032}}"
#define GONE "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"

MdRunEntry front_entry;
atomic_bool front_config_changed;
atomic_bool front_config_held;
static ScriptedServer store;

/* Sets address to a port of the loopback interface that is free. */
static void
choose_address (char address[MD_ADDRESS_BYTES])
{
  int fd;
  unsigned port = hold_port (&fd);

  ck_assert_uint_gt (port, 0);
  close (fd);
  snprintf (address, MD_ADDRESS_BYTES, "127.0.0.1:%u", port);
}

static const char *
respond_newest (const char *config)
{
  static char response[4096];
  unsigned char value[2048];
  char body[3072];

  EVP_EncodeBlock (value, (const unsigned char *)config, (int)strlen (config));
  snprintf (body, sizeof body,
            "{\"items\":[{\"key\":\"config\",\"value\":\"%s\",\"offset\":0}],\"has_more\":false,"
            "\"end_offset\":1}",
            (const char *)value);
  snprintf (response, sizeof response, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  return response;
}

/* Reads of later records have no answer, so that each ends by its time-out. */
static const char *
respond_store (void *user MD_UNUSED, int number MD_UNUSED, const char *request)
{
  while (atomic_load (&front_config_held))
    usleep (1000);
  if (strstr (request, "/v1/log-newest") == NULL)
    return atomic_load (&front_config_changed) ? GONE : scripted_silence;
  if (atomic_load (&front_config_changed))
    return respond_newest (CONFIG (2, ROUTE ("/calc/") "," ROUTE ("/added/")));
  return respond_newest (CONFIG (1, ROUTE ("/calc/")));
}

static void
ignore_change (void *user MD_UNUSED)
{
}

static void
set_up (bool held)
{
  MdSettings *settings = &front_entry.daemon.settings;
  MdError error = { 0 };
  MdLinkHandler handler = { 0 };

  md_tuning_default (&settings->tuning);
  md_http_init ();
  urcu_memb_register_thread ();
  front_entry.daemon.links = md_links_new (&settings->tuning, &handler, &front_entry);
  settings->caller_threads = 8;
  settings->config_apply = 60 * MD_SECOND;
  choose_address (settings->caller_address);
  choose_address (settings->ready_address);
  atomic_store (&front_config_changed, false);
  atomic_store (&front_config_held, held);
  scripted_server_start (&store, respond_store, NULL);
  md_str_copy (settings->store_address, MD_ADDRESS_BYTES, md_str (store.address));
  front_entry.config = md_config_reader_start (settings, ignore_change, NULL, &error);
  ck_assert_ptr_nonnull (front_entry.config);
  while (!held && !md_config_reader_loaded (front_entry.config))
    usleep (1000);
  front_entry.front = md_front_start (&front_entry, &error);
  ck_assert_ptr_nonnull (front_entry.front);
}

void
front_setup (void)
{
  set_up (false);
}

void
front_setup_starting (void)
{
  md_entry_start_begin (&front_entry.start, md_now ());
  set_up (true);
}

void
front_teardown (void)
{
  atomic_store (&front_config_held, false);
  md_front_stop (front_entry.front);
  md_links_free (front_entry.daemon.links);
  md_config_reader_stop (front_entry.config);
  scripted_server_stop (&store);
  urcu_memb_unregister_thread ();
}

int
front_connect (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int port = atoi (strchr (front_entry.daemon.settings.caller_address, ':') + 1);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_port = htons ((uint16_t)port);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  return fd;
}

void
front_post_body (int fd, const char *id, const char *body)
{
  char request[1024];
  int len = snprintf (request, sizeof request,
                      "POST /calc/%s HTTP/1.1\r\nHost: jobs.example\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                      id, strlen (body), body);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
}

void
front_post_job (int fd)
{
  front_post_body (fd, ID, JOB);
}

int
front_count_requests (void)
{
  int found = 0;

  md_links_poll (front_entry.daemon.links, md_now () + 10 * MD_MS);
  for (MdInboxNode *node = atomic_load (&front_entry.inbox.newest); node != NULL; node = node->next)
    found++;
  return found;
}

void
front_wait_for_requests (int n)
{
  MdTime end = md_now () + 60 * MD_SECOND;
  int found = 0;

  while (found < n && md_now () < end)
    found = front_count_requests ();
  ck_assert_int_eq (found, n);
}

void
front_reset (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (fd);
}
