/* test-store.c -- the store against a small fake of the log in this process

   The fake speaks the log's protocol and can lose an answer, report an older end
   or keep only later records. Every wait is for a state, without a bound of its
   own; the check framework ends a test that hangs. */

#include "http-client.h"
#include "md-control.h"
#include "suite.h"

#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define RECORDS_MAX 64

typedef struct
{
  pthread_mutex_t lock;       /* guards the rest */
  char *records[RECORDS_MAX]; /* of stream "config", from offset 0 */
  unsigned n;                 /* records */
  unsigned first;             /* oldest kept */
  unsigned appends;           /* requests received */
  bool lose;                  /* close instead of answering appends */
  bool drop;                  /* the same, and do not store the record */
  unsigned hidden;            /* records left out at the end of reads */
  unsigned reads;             /* reads of "config" answered */
} Fake;

static Fake fake = { .lock = PTHREAD_MUTEX_INITIALIZER };
static struct mg_context *server;
static MdSettings settings;

#define EMPTY_SNAPSHOT "{\"type\":\"snapshot\",\"next\":1,\"ids\":[],\"resources\":[]}"

static int
answer (struct mg_connection *conn, int status, const MdBuf *body)
{
  MD_AUTO_BUF out = { 0 };

  md_buf_printf (&out, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", status, body->len,
                 body->data);
  mg_write (conn, out.data, out.len);
  return status;
}

static int
fake_append (struct mg_connection *conn)
{
  MD_AUTO_BUF body = { 0 };
  char chunk[1024];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    md_buf_append (&body, md_str_n (chunk, (size_t)n));
  fake.appends++;
  /* The body is {"data":RECORD}. */
  if (!fake.drop)
    fake.records[fake.n++] = md_str_dup (md_str_n (body.data + 8, body.len - 9));
  if (fake.lose || fake.drop)
    {
      mg_disable_connection_keep_alive (conn);
      return 444;
    }
  body.len = 0;
  md_buf_printf (&body, "{\"offset\":%u}", fake.n - 1);
  return answer (conn, 200, &body);
}

static int
fake_read (struct mg_connection *conn, const char *query)
{
  MD_AUTO_BUF body = { 0 };
  char value[16] = "0";
  unsigned from;
  unsigned end = fake.n - fake.hidden;

  mg_get_var (query, strlen (query), "from", value, sizeof value);
  from = (unsigned)atoi (value);
  fake.reads++;
  if (from < fake.first)
    {
      md_buf_printf (&body, "{\"first\":%u}", fake.first);
      return answer (conn, 410, &body);
    }
  md_buf_printf (&body, "{\"first\":%u,\"next\":%u,\"records\":[", fake.first, end);
  for (unsigned i = from; i < end; i++)
    md_buf_printf (&body, "%s{\"offset\":%u,\"time_ms\":1,\"data\":%s}", i > from ? "," : "", i,
                   fake.records[i]);
  md_buf_append (&body, MD_STR ("]}"));
  return answer (conn, 200, &body);
}

static int
on_request (struct mg_connection *conn, void *data MD_UNUSED)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  MD_AUTO_BUF empty = { 0 };
  int status;

  if (strcmp (info->local_uri, "/v1/streams/config/records") != 0)
    {
      md_buf_append (&empty, MD_STR ("{\"first\":0,\"next\":0,\"records\":[]}"));
      usleep (20000);
      return answer (conn, 200, &empty);
    }
  pthread_mutex_lock (&fake.lock);
  if (strcmp (info->request_method, "POST") == 0)
    status = fake_append (conn);
  else
    status = fake_read (conn, info->query_string);
  pthread_mutex_unlock (&fake.lock);
  usleep (2000);
  return status;
}

static void
on_event (void *user, const MdStoreEvent *event)
{
  unsigned *counts = user;

  counts[event->kind]++;
}

static void
set_up (void)
{
  const char *options[]
      = { "listening_ports", "127.0.0.1:0", "num_threads", "8", "enable_keep_alive", "yes", NULL };
  struct mg_server_port port;

  signal (SIGPIPE, SIG_IGN);
  md_http_init ();
  server = mg_start (NULL, NULL, options);
  ck_assert_ptr_nonnull (server);
  mg_set_request_handler (server, "/**", on_request, NULL);
  ck_assert_int_eq (mg_get_server_ports (server, 1, &port), 1);
  md_tuning_default (&settings.tuning);
  settings.is_entry = true;
  snprintf (settings.log_address, sizeof settings.log_address, "127.0.0.1:%d", port.port);
}

static void
tear_down (void)
{
  mg_stop (server);
}

static void
set_fake (bool lose, bool drop, unsigned hidden)
{
  pthread_mutex_lock (&fake.lock);
  fake.lose = lose;
  fake.drop = drop;
  fake.hidden = hidden;
  pthread_mutex_unlock (&fake.lock);
}

static unsigned
reads_so_far (void)
{
  unsigned n;

  pthread_mutex_lock (&fake.lock);
  n = fake.reads;
  pthread_mutex_unlock (&fake.lock);
  return n;
}

static int
put_pool (MdStore *store, const char *name, uint64_t expected, const char *spec, uint64_t *version,
          MdError *error)
{
  return md_store_change (store, MD_CHANGE_PUT, MD_STR ("pool"), md_str (name), expected,
                          md_str (spec), MD_STR ("ann"), version, error);
}

static uint64_t
view_version (MdStore *store)
{
  const MdConfigView *view;
  uint64_t version;

  urcu_memb_read_lock ();
  view = md_store_view (store);
  version = view ? view->version : 0;
  urcu_memb_read_unlock ();
  return version;
}

/* Guards against a change that is reported before it is in force here, and
   against a view with wrong values. */
START_TEST (test_change_and_view)
{
  unsigned counts[3] = { 0 };
  MdStore *store = md_store_new (&settings, on_event, counts);
  const MdPoolConfig *pool;
  uint64_t version = 0;

  urcu_memb_register_thread ();
  ck_assert_int_eq (put_pool (store, "p", 0, "{\"shards\":4,\"coalesce_us\":9}", &version, NULL),
                    MD_OK);
  ck_assert_uint_eq (version, 1);
  while (view_version (store) < 1)
    usleep (1000);
  urcu_memb_read_lock ();
  pool = md_view_pool (md_store_view (store), MD_STR ("p"));
  ck_assert_ptr_nonnull (pool);
  ck_assert_uint_eq (pool->shards, 4);
  ck_assert_uint_eq (pool->coalesce_us, 9);
  ck_assert (pool->fair_share);
  ck_assert_ptr_null (md_view_pool (md_store_view (store), MD_STR ("q")));
  urcu_memb_read_unlock ();
  ck_assert_int_eq (put_pool (store, "p", 9, "{\"shards\":4}", &version, NULL), MD_E_CONFLICT);
  ck_assert_uint_eq (version, 1);
  ck_assert_int_eq (put_pool (store, "p", 0, "{}", &version, NULL), MD_E_CONFLICT);
  ck_assert_uint_eq (version, 1);
  urcu_memb_unregister_thread ();
  md_store_free (store);
  ck_assert_uint_ge (counts[MD_STORE_CONFIG], 1);
}
END_TEST

/* Guards against a second append of a change whose answer was lost. */
START_TEST (test_lost_answer)
{
  unsigned counts[3] = { 0 };
  MdStore *store = md_store_new (&settings, on_event, counts);
  uint64_t version = 0;

  set_fake (true, false, 0);
  ck_assert_int_eq (put_pool (store, "p", 0, "{}", &version, NULL), MD_OK);
  ck_assert_uint_eq (version, 1);
  ck_assert_uint_eq (fake.appends, 1);
  md_store_free (store);
}
END_TEST

/* Guards against a change called refused although its record may still appear,
   and against one called possible although nothing was sent. */
START_TEST (test_unknown_and_unsent)
{
  unsigned counts[3] = { 0 };
  MdStore *store = md_store_new (&settings, on_event, counts);
  MdSettings closed = settings;
  uint64_t version = 0;
  MdError error = { 0 };

  set_fake (false, true, 0);
  ck_assert_int_eq (put_pool (store, "p", 0, "{}", &version, &error), MD_E_TIMEOUT);
  ck_assert_msg (strstr (error.detail, "may still appear") != NULL, "%s", error.detail);
  ck_assert_uint_eq (fake.appends, 1);
  md_store_free (store);

  md_str_copy (closed.log_address, sizeof closed.log_address, MD_STR ("127.0.0.1:1"));
  store = md_store_new (&closed, on_event, counts);
  memset (&error, 0, sizeof error);
  ck_assert_int_eq (put_pool (store, "p", 0, "{}", &version, &error), MD_E_IO);
  ck_assert_msg (strstr (error.detail, "not been read yet") != NULL, "%s", error.detail);
  md_store_load_snapshot (store, 0, MD_STR (EMPTY_SNAPSHOT), NULL);
  memset (&error, 0, sizeof error);
  ck_assert_int_eq (put_pool (store, "p", 0, "{}", &version, &error), MD_E_IO);
  ck_assert_msg (strstr (error.detail, "nothing was appended") != NULL, "%s", error.detail);
  md_store_free (store);
}
END_TEST

/* Guards against going back when a copy of the log that lags answers. */
START_TEST (test_older_end)
{
  unsigned counts[3] = { 0 };
  MdStore *store = md_store_new (&settings, on_event, counts);
  MD_AUTO_BUF out = { 0 };
  uint64_t version = 0;
  unsigned reads;

  put_pool (store, "p", 0, "{}", &version, NULL);
  put_pool (store, "p", 1, "{\"max_queue\":5}", &version, NULL);
  set_fake (false, false, 2);
  for (reads = reads_so_far (); reads_so_far () < reads + 3;)
    usleep (1000);
  ck_assert_int_eq (md_store_get (store, MD_STR ("pool"), MD_STR ("p"), &out, &version), MD_OK);
  ck_assert_uint_eq (version, 2);
  set_fake (false, false, 0);
  ck_assert_int_eq (put_pool (store, "q", 0, "{}", &version, NULL), MD_OK);
  ck_assert_uint_eq (version, 3);
  md_store_free (store);
}
END_TEST

/* Guards against an entry that starts without the records that have expired. */
START_TEST (test_expired)
{
  unsigned counts[3] = { 0 };
  MdStore *store;
  MD_AUTO_BUF out = { 0 };
  uint64_t version = 0;

  fake.records[0] = fake.records[1] = fake.records[2] = strdup ("{}");
  fake.records[3] = strdup ("{\"type\":\"snapshot\",\"next\":2,\"ids\":[],\"resources\":[{\"kind\":"
                            "\"pool\",\"name\":\"p\",\"version\":1,\"time_ms\":1,\"actor\":\"a\","
                            "\"spec\":{}}]}");
  fake.n = 4;
  fake.first = 2;
  store = md_store_new (&settings, on_event, counts);
  ck_assert_int_eq (put_pool (store, "p", 1, "{\"max_queue\":7}", &version, NULL), MD_OK);
  ck_assert_uint_eq (version, 5);
  ck_assert_int_eq (md_store_get (store, MD_STR ("pool"), MD_STR ("p"), &out, &version), MD_OK);
  ck_assert (strstr (out.data, "\"max_queue\":7") != NULL);
  md_store_free (store);
}
END_TEST

static const char members[] = "{\"type\":\"snapshot\",\"next\":9,\"records\":["
                              "{\"offset\":2,\"time_ms\":5,\"data\":{\"type\":\"register\","
                              "\"role\":\"guard\",\"name\":\"g\","
                              "\"incarnation\":\"0000000000000007\",\"pool\":\"p\",\"slots\":8}},"
                              "{\"offset\":4,\"time_ms\":6,\"data\":{\"type\":\"register\","
                              "\"role\":\"guard\",\"name\":\"g\","
                              "\"incarnation\":\"0000000000000009\",\"pool\":\"p\",\"slots\":8}},"
                              "{\"offset\":5,\"time_ms\":7,\"data\":{\"type\":\"remove\","
                              "\"incarnation\":\"0000000000000009\"}}]}";

/* Guards against an entry that starts during an outage without configuration, and
   against one that does not learn of guards lost before its snapshot. */
START_TEST (test_peer_snapshots)
{
  unsigned counts[3] = { 0 };
  MdSettings closed = settings;
  MdStore *store;
  md_autofree char *text = NULL;
  size_t len;
  uint64_t offset;
  const char *config = "{\"type\":\"snapshot\",\"next\":6,\"ids\":[],\"resources\":[{\"kind\":"
                       "\"customer\",\"name\":\"c\",\"version\":5,\"time_ms\":1,\"actor\":\"a\","
                       "\"spec\":{\"weight\":3}}]}";

  md_str_copy (closed.log_address, sizeof closed.log_address, MD_STR ("127.0.0.1:1"));
  store = md_store_new (&closed, on_event, counts);
  ck_assert_ptr_null (md_store_view (store));
  ck_assert_int_eq (md_store_snapshot (store, 0, &text, &len, &offset), MD_E_NOT_FOUND);
  ck_assert_int_eq (md_store_load_snapshot (store, 0, md_str (config), NULL), MD_OK);
  ck_assert (md_view_customer (md_store_view (store), MD_STR ("c"))->policy.weight == 3);
  ck_assert_int_eq (md_store_load_snapshot (store, 1, md_str (members), NULL), MD_OK);
  ck_assert_uint_eq (counts[MD_STORE_REGISTER], 2);
  ck_assert_uint_eq (counts[MD_STORE_REMOVE], 1);
  ck_assert_int_eq (md_store_snapshot (store, 1, &text, &len, &offset), MD_OK);
  ck_assert_uint_eq (offset, 9);
  /* The same state again, and an older one, change nothing. */
  ck_assert_int_eq (md_store_load_snapshot (store, 1, md_str_n (text, len), NULL), MD_OK);
  ck_assert_int_eq (
      md_store_load_snapshot (store, 1,
                              MD_STR ("{\"type\":\"snapshot\",\"next\":3,\"records\":[]}"), NULL),
      MD_E_TOO_OLD);
  ck_assert_uint_eq (counts[MD_STORE_REGISTER], 2);
  md_store_free (store);

  /* What this entry passes on is as complete as what it got. */
  store = md_store_new (&closed, on_event, counts);
  ck_assert_int_eq (md_store_load_snapshot (store, 1, md_str_n (text, len), NULL), MD_OK);
  ck_assert_uint_eq (counts[MD_STORE_REGISTER], 4);
  ck_assert_uint_eq (counts[MD_STORE_REMOVE], 2);
  md_store_free (store);
}
END_TEST

/* Guards against observed changes of one customer that another one can read, and
   against a watch that misses changes silently. */
START_TEST (test_observed)
{
  MdObserved *observed = md_observed_new (4);
  MD_AUTO_BUF out = { 0 };
  uint64_t version = 0;
  uint64_t start;

  md_observed_list (observed, MD_STR ("job"), MD_STR (""), &out, &start);
  md_observed_put (observed, "job", MD_STR ("j1"), MD_STR ("c1"), MD_STR ("{}"));
  md_observed_put (observed, "job", MD_STR ("j2"), MD_STR ("c2"), MD_STR ("{}"));
  md_observed_list (observed, MD_STR ("job"), MD_STR ("c1"), &out, &version);
  ck_assert (strstr (out.data, "j1") != NULL && strstr (out.data, "j2") == NULL);
  ck_assert_int_eq (md_observed_get (observed, MD_STR ("job"), MD_STR ("j2"), MD_STR ("c1"), &out,
                                     &version),
                    MD_E_NOT_FOUND);
  version = start;
  out.len = 0;
  ck_assert_int_eq (md_observed_next (observed, MD_STR ("job"), MD_STR ("c2"), &version, 0, &out),
                    MD_OK);
  ck_assert (strstr (out.data, "j2") != NULL);
  ck_assert_uint_eq (version, start + 2);
  for (unsigned i = 0; i < 5; i++)
    md_observed_put (observed, "job", MD_STR ("j1"), MD_STR ("c1"), MD_STR ("{}"));
  ck_assert_int_eq (md_observed_next (observed, MD_STR ("job"), MD_STR (""), &start, 0, &out),
                    MD_E_TOO_OLD);
  version += 100;
  ck_assert_int_eq (md_observed_next (observed, MD_STR ("job"), MD_STR (""), &version, 0, &out),
                    MD_E_TOO_OLD);
  md_observed_free (observed);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("store");

  tcase_add_checked_fixture (tc, set_up, tear_down);
  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, test_change_and_view);
  tcase_add_test (tc, test_lost_answer);
  tcase_add_test (tc, test_unknown_and_unsent);
  tcase_add_test (tc, test_older_end);
  tcase_add_test (tc, test_expired);
  tcase_add_test (tc, test_peer_snapshots);
  tcase_add_test (tc, test_observed);
  return run_suite ("store", tc);
}
