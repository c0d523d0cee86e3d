/* test-http-async.c -- how often the non-blocking HTTP client sends a request

   The server answers the first request of each connection and breaks the connection when it has
   read the second one, so that it has received a request to which the client gets no response. */

#include "http-async.h"

#include "scripted-server.h"
#include "suite.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define PASSES 20000             /* only ends a broken run */
#define IDLE_TIME (1500 * MD_MS) /* longer than the second after which connections are distrusted */
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

static ScriptedServer server;
static MdLinks *links;
static MdHttp *http;
static const char *broken; /* response to the second request: NULL resets, "" closes */
static MdTime timeout;     /* of a call */
static int done;           /* calls that have ended */
static int status;         /* of the last of them */
static int code;           /* of its error */
static bool refused;       /* whether it was refused */
static bool ending;        /* the server listens no more after the second request */

static const char *
respond_once (void *user MD_UNUSED, int number, const char *request MD_UNUSED)
{
  if (number > 0 && ending)
    shutdown (server.listener, SHUT_RDWR);
  return number == 0 ? RESPONSE : broken;
}

static void
on_up (void *user MD_UNUSED, MdLink *link MD_UNUSED)
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

static const MdLinkHandler no_links = { on_up, on_frame, on_down };

static void
setup (void)
{
  MdTuning tuning;

  md_tuning_default (&tuning);
  links = md_links_new (&tuning, &no_links, NULL);
  http = md_http_new (links, 4);
  timeout = 5 * MD_SECOND;
  ending = false;
  scripted_server_start (&server, respond_once, NULL);
}

static void
teardown (void)
{
  md_http_free (http);
  md_links_free (links);
}

static void
on_done (void *user MD_UNUSED, const MdHttpAsyncResponse *response)
{
  done++;
  status = response->status;
  code = response->error.code;
  refused = response->refused;
}

/* Makes calls at the same time and waits for their ends. */
static void
make_calls (int n, const char *method, bool idempotent)
{
  int end = done + n;
  MdHttpCall call = { .method = method,
                      .address = server.address,
                      .target = "/v1/order",
                      .body = MD_STR ("{}"),
                      .timeout = timeout,
                      .idempotent = idempotent };

  for (int i = 0; i < n; i++)
    ck_assert_int_eq (md_http_start (http, &call, on_done, NULL), MD_OK);
  for (int i = 0; i < PASSES && done < end; i++)
    {
      md_links_poll (links, md_now () + MD_MS);
      md_http_poll (http);
    }
  ck_assert_int_eq (done, end);
}

static void
make_call (const char *method, bool idempotent)
{
  make_calls (1, method, idempotent);
}

/* Guards against a run that starts twice: libcurl sends a request again when a reused connection
   breaks before the response, although the server has received it. */
START_TEST (call_is_sent_once)
{
  broken = _i == 0 ? NULL : "";
  make_call ("POST", false);
  ck_assert_int_eq (status, 200);
  make_call ("POST", false);
  ck_assert_int_eq (status, 0);
  ck_assert_int_eq (code, MD_E_IO);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 2);
}
END_TEST

/* Guards against a handle that is reused after a call and still counts that call's request. */
START_TEST (next_call_is_sent)
{
  make_call ("POST", false);
  make_call ("POST", false);
  make_call ("POST", false);
  ck_assert_int_eq (status, 200);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 3);
}
END_TEST

/* Guards against a read or a hold that fails whenever the peer has closed an idle connection. */
START_TEST (idempotent_call_is_sent_again)
{
  make_call ("GET", true);
  make_call ("GET", true);
  ck_assert_int_eq (status, 200);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 3);
}
END_TEST

/* Guards against a request that is taken for one that was never sent: it was sent, the server
   ended, and libcurl found nobody listening when it tried again (issue 29). */
START_TEST (broken_call_is_not_refused)
{
  ending = true;
  broken = NULL;
  make_call ("POST", _i == 0);
  ck_assert_int_eq (status, 200);
  make_call ("POST", _i == 0);
  ck_assert_int_eq (status, 0);
  ck_assert (!refused);
  make_call ("POST", _i == 0);
  ck_assert_int_eq (status, 0);
  ck_assert (refused);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 2);
}
END_TEST

/* Guards against a caller of md_http_poll that waits for the next event although the end of a call
   has made another one due, for ever if nothing else wakes it. */
START_TEST (end_of_a_call_asks_for_another_pass)
{
  MdHttpCall call = { .method = "GET",
                      .address = server.address,
                      .target = "/v1/order",
                      .timeout = timeout,
                      .idempotent = true };
  MdTime due = 0;
  int before = done;

  broken = RESPONSE;
  ck_assert_int_eq (md_http_start (http, &call, on_done, NULL), MD_OK);
  for (int i = 0; i < PASSES && done == before; i++)
    {
      md_links_poll (links, md_now () + MD_MS);
      due = md_http_poll (http);
    }
  ck_assert_int_eq (done, before + 1);
  ck_assert_int_le (due, md_now ());
  ck_assert_int_gt (md_http_poll (http), md_now ());
  scripted_server_stop (&server);
}
END_TEST

/* Guards against a configuration that is late because each pooled connection to the store has gone
   silent and the calls wait for a time-out on one after the other. */
START_TEST (one_timeout_is_enough_for_silent_connections)
{
  broken = scripted_silence;
  make_calls (2, "GET", true);
  timeout = IDLE_TIME;
  make_call ("GET", true);
  ck_assert_int_eq (code, MD_E_TIMEOUT);
  make_call ("GET", true);
  ck_assert_int_eq (status, 200);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.n, 3);
}
END_TEST

static const char *
respond_with_large_body (void *user, int number MD_UNUSED, const char *request MD_UNUSED)
{
  return user;
}

/* Guards against a peer whose responses take more memory than the process may use. */
START_TEST (response_beyond_the_limit_ends_the_call)
{
  static const size_t sizes[] = { 4u << 20, (4u << 20) + 1 };

  scripted_server_stop (&server);
  for (size_t i = 0; i < MD_ARRAY_SIZE (sizes); i++)
    {
      MD_AUTO_BUF response = { 0 };

      md_buf_printf (&response, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", sizes[i]);
      ck_assert (md_buf_reserve (&response, sizes[i]));
      memset (response.data + response.len, 'x', sizes[i]);
      response.data[response.len + sizes[i]] = '\0';
      scripted_server_start (&server, respond_with_large_body, response.data);
      make_call ("GET", true);
      ck_assert_int_eq (status, i == 0 ? 200 : 0);
      scripted_server_stop (&server); /* it reads the response until then */
    }
}
END_TEST

#define MANY_DESCRIPTORS 9000

/* Guards against a process that has several thousand connections and can call neither its worker nor
   the store any more: the client supported 4,096 descriptors, and calls ended with their timeouts. */
START_TEST (call_works_with_a_high_descriptor)
{
  struct rlimit files;
  int fd = open ("/dev/null", O_RDONLY);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &files), 0);
  ck_assert_uint_gt (files.rlim_max, MANY_DESCRIPTORS + 16); /* what the test needs of the host */
  files.rlim_cur = files.rlim_max;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &files), 0);
  while (fd < MANY_DESCRIPTORS)
    {
      fd = dup (fd);
      ck_assert_int_ge (fd, 0);
    }
  make_call ("POST", false);
  ck_assert_int_eq (status, 200);
  scripted_server_stop (&server);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("http-async");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, call_is_sent_once, 0, 2);
  tcase_add_test (tc, next_call_is_sent);
  tcase_add_loop_test (tc, broken_call_is_not_refused, 0, 2);
  tcase_add_test (tc, idempotent_call_is_sent_again);
  tcase_add_test (tc, end_of_a_call_asks_for_another_pass);
  tcase_add_test (tc, one_timeout_is_enough_for_silent_connections);
  tcase_add_test (tc, response_beyond_the_limit_ends_the_call);
  tcase_add_test (tc, call_works_with_a_high_descriptor);
  return run_suite ("http-async", tc);
}
