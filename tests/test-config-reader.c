/* test-config-reader.c -- what an entry knows of the operator's topic, with a scripted store

   The store answers with two pages of newest records. Reads of later records have no answer, or are
   answered 410, after which the reader fetches the pages again. */

#include "config-reader.h"
#include "http-client.h"
#include "scripted-server.h"
#include "suite.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#define CONFIG "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}"
#define GONE "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
#define BUSY "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"
#define END 10u           /* of the log, as of the pages */
#define LATER_END 15u     /* the same after it has moved on */
#define EVACUATED "e30="  /* value in base64: {} */
#define PUT_BACK ""       /* a record without a value may be among the newest */
#define WAIT (20 * MD_MS) /* for what must not happen; a call takes about a millisecond */

static ScriptedServer store;
static MdConfigReader *reader;
static atomic_bool withhold; /* the second page is answered 503 */
static atomic_bool moved;    /* the log has moved on, and its former part is not kept */
static atomic_int refused;   /* second pages that were answered 503 */
static atomic_int changes;

static const char *
page (const char *items, const char *more)
{
  static char response[2048];
  char body[1024];

  snprintf (body, sizeof body, "{\"items\":[%s],\"has_more\":%s,\"end_offset\":%u}", items, more,
            atomic_load (&moved) ? LATER_END : END);
  snprintf (response, sizeof response, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  return response;
}

/* zone-a is evacuated at first; later its record is gone, and zone-c is evacuated. */
static const char *
respond (void *user MD_UNUSED, int number MD_UNUSED, const char *request)
{
  unsigned char config[256];
  char items[512];

  if (strstr (request, "/v1/log-newest") == NULL)
    return atomic_load (&moved) && strstr (request, "from=10&") != NULL ? GONE : scripted_silence;
  if (strstr (request, "depends_on=") == NULL)
    {
      EVP_EncodeBlock (config, (const unsigned char *)CONFIG, (int)strlen (CONFIG));
      snprintf (items, sizeof items, "{\"key\":\"config\",\"value\":\"%s\",\"offset\":3}",
                (const char *)config);
      return page (items, "true");
    }
  if (atomic_load (&withhold))
    {
      atomic_fetch_add (&refused, 1);
      return BUSY;
    }
  if (atomic_load (&moved))
    return page ("{\"key\":\"evacuate/zone-c\",\"value\":\"" EVACUATED "\",\"offset\":12}",
                 "false");
  return page ("{\"key\":\"evacuate/zone-a\",\"value\":\"" EVACUATED "\",\"offset\":4},"
               "{\"key\":\"evacuate/zone-b\",\"value\":\"" PUT_BACK "\",\"offset\":5}",
               "false");
}

static void
on_change (void *user MD_UNUSED)
{
  atomic_fetch_add (&changes, 1);
}

static void
setup (void)
{
  MdSettings settings = { 0 };
  MdError error = { 0 };

  urcu_memb_register_thread ();
  md_http_init ();
  md_tuning_default (&settings.tuning);
  atomic_store (&withhold, true);
  scripted_server_start (&store, respond, NULL);
  md_str_copy (settings.store_address, MD_ADDRESS_BYTES, md_str (store.address));
  reader = md_config_reader_start (&settings, on_change, NULL, &error);
  ck_assert_ptr_nonnull (reader);
}

static void
teardown (void)
{
  md_config_reader_stop (reader);
  scripted_server_stop (&store);
  urcu_memb_unregister_thread ();
}

static bool
is_evacuated (const char *domain)
{
  const MdEvacuated *set;
  bool has;

  urcu_memb_read_lock ();
  set = md_config_reader_evacuated (reader);
  has = set != NULL && md_evacuated_has (set, domain);
  urcu_memb_read_unlock ();
  return has;
}

static uint64_t
known_version (void)
{
  const MdEvacuated *set;
  uint64_t version;

  urcu_memb_read_lock ();
  set = md_config_reader_evacuated (reader);
  version = set != NULL ? set->version : 0;
  urcu_memb_read_unlock ();
  return version;
}

static void
wait_for_version (uint64_t version)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  while (known_version () < version && md_now () < end)
    usleep (1000);
  ck_assert_uint_eq (known_version (), version);
}

static void
wait_for_refusals (int n)
{
  MdTime end = md_now () + 60 * MD_SECOND;

  while (atomic_load (&refused) < n && md_now () < end)
    usleep (1000);
  ck_assert_int_ge (atomic_load (&refused), n);
}

/* Guards against an entry that takes its first job when it has read the configuration, and learns
   from a later page that the workers it uses are evacuated. */
START_TEST (nothing_is_known_before_the_last_page)
{
  wait_for_refusals (2);
  usleep (WAIT);
  ck_assert (!md_config_reader_loaded (reader));
  urcu_memb_read_lock ();
  ck_assert_ptr_null (md_config_reader_routes (reader));
  urcu_memb_read_unlock ();
  atomic_store (&withhold, false);
  wait_for_version (END);
  ck_assert (md_config_reader_loaded (reader));
  ck_assert (is_evacuated ("zone-a"));
  ck_assert (!is_evacuated ("zone-b"));
  /* The engine is woken once it can take jobs. */
  ck_assert_int_ge (atomic_load (&changes), 2);
}
END_TEST

/* Guards against an evacuation that is forgotten while the store is away or has answered the first
   page only, and against one that outlasts its record. */
START_TEST (former_set_applies_until_the_last_page)
{
  int before;

  atomic_store (&withhold, false);
  wait_for_version (END);
  atomic_store (&withhold, true);
  before = atomic_load (&refused);
  atomic_store (&moved, true);
  wait_for_refusals (before + 2);
  ck_assert (is_evacuated ("zone-a"));
  ck_assert (md_config_reader_loaded (reader));
  atomic_store (&withhold, false);
  wait_for_version (LATER_END);
  ck_assert (!is_evacuated ("zone-a"));
  ck_assert (is_evacuated ("zone-c"));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("config-reader");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, nothing_is_known_before_the_last_page);
  tcase_add_test (tc, former_set_applies_until_the_last_page);
  return run_suite ("config-reader", tc);
}
