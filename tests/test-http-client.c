/* test-http-client.c -- what the blocking HTTP client says about a request that failed

   A server thread takes connections on a free port of the loopback interface. Each test
   states how many requests it answers on one connection before it closes the connection. */

#include "http-client.h"

#include "scripted-server.h"
#include "suite.h"

#define ANSWER "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 4\r\n\r\na\nb\n"

static ScriptedServer server;
static int answers_per_connection;
static MdHttpRequest request;
static MdHttpResponse response;

static const char *
respond (void *user MD_UNUSED, int number, const char *text MD_UNUSED)
{
  return number < answers_per_connection ? ANSWER : "";
}

static void
begin (int answers)
{
  answers_per_connection = answers;
  scripted_server_start (&server, respond, NULL);
  request = (MdHttpRequest){
    .address = server.address, .method = "GET", .path = "/", .timeout = 5 * MD_SECOND
  };
}

static void
teardown (void)
{
  md_http_response_clear (&response);
}

/* Guards against a record that is appended twice: a request whose connection breaks after
   it was sent must not be repeated, and must not be reported as never sent. */
START_TEST (broken_call_is_not_repeated)
{
  MdError error = { 0 };

  begin (0);
  ck_assert_int_eq (md_http_call (&request, &response, &error), MD_E_IO);
  ck_assert (response.sent);
  ck_assert_int_eq (response.status, 0);
  ck_assert_str_eq (error.step, "answer");
  ck_assert_str_eq (error.peer, server.address);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 1);
}
END_TEST

/* Guards against an outcome reported as unknown where nothing was sent. */
START_TEST (unreachable_server_got_nothing)
{
  MdError error = { 0 };

  begin (0);
  scripted_server_stop (&server);
  ck_assert_int_eq (md_http_call (&request, &response, &error), MD_E_NOT_FOUND);
  ck_assert (!response.sent);
  ck_assert_int_eq (error.code, MD_E_NOT_FOUND);
}
END_TEST

/* Guards against a reader that waits out its back-off each time the service closes an
   idle connection, and against two answers in one body. */
START_TEST (kept_connection_is_replaced_once)
{
  MdHttpConnection connection = { 0 };

  begin (1);
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (md_http_call_on (&connection, &request, &response, NULL), MD_OK);
      ck_assert_int_eq (response.status, 200);
      ck_assert_uint_eq (response.body.len, 4);
    }
  md_http_disconnect (&connection);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 5);
}
END_TEST

/* Guards against a second try on a server that is gone for good. */
START_TEST (new_connection_is_not_replaced)
{
  MdHttpConnection connection = { 0 };

  begin (0);
  ck_assert_int_eq (md_http_call_on (&connection, &request, &response, NULL), MD_E_IO);
  scripted_server_stop (&server);
  ck_assert_int_eq (server.requests, 1);
}
END_TEST

START_TEST (answer_has_a_bound)
{
  begin (1);
  request.max_bytes = 3;
  ck_assert_int_eq (md_http_call (&request, &response, NULL), MD_E_LIMIT);
  scripted_server_stop (&server);
}
END_TEST

static bool
count_line (void *user, MdStr line)
{
  int *lines = user;

  ck_assert_uint_eq (line.len, 1);
  return ++*lines < 1;
}

/* Guards against a watch that goes on after its reader has ended it. */
START_TEST (lines_end_when_the_reader_stops)
{
  int lines = 0;

  begin (1);
  request.on_line = count_line;
  request.user = &lines;
  ck_assert_int_eq (md_http_call (&request, &response, NULL), MD_OK);
  ck_assert_int_eq (lines, 1);
  ck_assert_uint_eq (response.version, 7);
  ck_assert_uint_eq (response.body.len, 0);
  scripted_server_stop (&server);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("http-client");

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, broken_call_is_not_repeated);
  tcase_add_test (tc, unreachable_server_got_nothing);
  tcase_add_test (tc, kept_connection_is_replaced_once);
  tcase_add_test (tc, new_connection_is_not_replaced);
  tcase_add_test (tc, answer_has_a_bound);
  tcase_add_test (tc, lines_end_when_the_reader_stops);
  return run_suite ("http-client", tc);
}
