/* keyed.c -- reader of the newest record of each key of a topic

   The reader fetches the newest records page by page and then follows the topic with
   long-polling reads. It fetches the newest records again when the store no longer has the
   requested offset, and when it is behind by more than one response: of a key that changes
   often, superseded records would have to be read one after the other. The long-polling time
   is short, so that a connection that has become silent is detected. */

#include "daemon.h"

#include <stdio.h>

#define RESPONSE_MARGIN (1200 * MD_MS) /* added to the long-polling time for a slow store */
#define RETRY_DELAY_MIN (50 * MD_MS)   /* after the first failure */
#define RETRY_DELAY_MAX (400 * MD_MS)  /* well below the time allowed for a new configuration */

typedef enum
{
  KEYED_NEWEST, /* read the newest record of each key, page by page */
  KEYED_FOLLOW, /* long-poll for records from next_offset on */
} KeyedState;

struct MdKeyedReader
{
  MdHttp *http;                   /* borrowed */
  char address[MD_ADDRESS_BYTES]; /* of the store */
  const char *topic;              /* borrowed */
  MdTime wait;                    /* long-polling time of a read */
  MdKeyedRecordHandler on_record; /* receives each record */
  void *user;                     /* first argument of on_record */
  KeyedState state;               /* kind of the next call */
  bool busy;                      /* a call is in progress */
  MdTime due;                     /* when to make the next call */
  MdTime delay;                   /* before the next call after a failure, doubled each time */
  uint64_t next_offset;           /* first offset not yet delivered; 0 before the first page */
  uint64_t read_offset;           /* FOLLOW: offset requested by the call in progress */
  char after_key[256];            /* NEWEST: last key received, empty: start with the first page */
  MdTime sent_at;                 /* start of the call in progress */
  MdTime pages_since;             /* NEWEST: start of the call for the first page; 0: no page yet */
  MdTime confirmed_at;            /* all records of that time have been delivered; 0: never */
  bool reachable;                 /* no call has failed since the last success */
  MdTime lost_at;                 /* when the first call of a series of failures ended */
  unsigned failures;              /* calls of that series */
};

MdKeyedReader *
md_keyed_reader_new (MdHttp *http, const char *address, const char *topic, MdTime wait,
                     MdKeyedRecordHandler on_record, void *user)
{
  MdKeyedReader *keyed = calloc (1, sizeof *keyed);

  if (keyed == NULL)
    return NULL;
  keyed->http = http;
  md_str_copy (keyed->address, sizeof keyed->address, md_str (address));
  keyed->topic = topic;
  keyed->wait = wait;
  keyed->on_record = on_record;
  keyed->user = user;
  keyed->delay = RETRY_DELAY_MIN;
  keyed->reachable = true;
  return keyed;
}

void
md_keyed_reader_free (MdKeyedReader *keyed)
{
  free (keyed);
}

bool
md_keyed_reader_loaded (const MdKeyedReader *keyed)
{
  return keyed->state == KEYED_FOLLOW;
}

uint64_t
md_keyed_reader_next_offset (const MdKeyedReader *keyed)
{
  return keyed->next_offset;
}

MdTime
md_keyed_reader_confirmed_at (const MdKeyedReader *keyed)
{
  return keyed->confirmed_at;
}

static void
record_failure (MdKeyedReader *keyed, const MdHttpAsyncResponse *response, const MdError *error)
{
  MdTime now = md_now ();

  md_count (MD_M_LOG_ERRORS, 1);
  keyed->due = now + keyed->delay;
  keyed->delay = keyed->delay * 2 < RETRY_DELAY_MAX ? keyed->delay * 2 : RETRY_DELAY_MAX;
  keyed->failures++;
  if (!keyed->reachable)
    return;
  keyed->reachable = false;
  keyed->lost_at = now;
  md_log (MD_LOG_WARN, "store-lost", "topic=%s status=%d reason=\"%s\" elapsed_ms=%lld",
          keyed->topic, response->status,
          response->status == 0 ? response->error.detail : error->detail,
          (long long)(response->elapsed / MD_MS));
}

static void
record_success (MdKeyedReader *keyed)
{
  MdTime now = md_now ();

  keyed->due = now;
  keyed->delay = RETRY_DELAY_MIN;
  if (keyed->reachable)
    return;
  keyed->reachable = true;
  md_log (MD_LOG_INFO, "store-back", "topic=%s away_ms=%lld failures=%u", keyed->topic,
          (long long)((now - keyed->lost_at) / MD_MS), keyed->failures);
  keyed->failures = 0;
}

/* Delivers a record of a page and keeps its key as the start of the next page. */
static void
on_newest_record (void *user, const MdKeyedRecord *record)
{
  MdKeyedReader *keyed = user;

  md_str_copy (keyed->after_key, sizeof keyed->after_key, record->key);
  keyed->on_record (keyed->user, record);
}

static void
on_newest_response (MdKeyedReader *keyed, const MdHttpAsyncResponse *response)
{
  MdError error = { 0 };
  uint64_t next = 0;
  bool more = false;

  if (response->status != 200)
    md_error_set (&error, MD_E_IO, "newest", keyed->address, "refused");
  else
    md_platform_parse_newest_response (response->body, on_newest_record, keyed, &next, &more,
                                       &error);
  if (error.code != MD_OK)
    {
      record_failure (keyed, response, &error);
      return;
    }
  /* Pages are not a snapshot. Following starts at the lowest end offset of all pages, so that
     records appended while paging are read again. */
  if (keyed->next_offset == 0 || next < keyed->next_offset)
    keyed->next_offset = next;
  if (keyed->pages_since == 0)
    keyed->pages_since = keyed->sent_at;
  if (!more)
    {
      keyed->state = KEYED_FOLLOW;
      keyed->after_key[0] = '\0';
      keyed->confirmed_at = keyed->pages_since;
      keyed->pages_since = 0;
    }
  record_success (keyed);
}

static void
start_over (MdKeyedReader *keyed)
{
  keyed->state = KEYED_NEWEST;
  keyed->next_offset = 0;
}

static void
on_read_response (MdKeyedReader *keyed, const MdHttpAsyncResponse *response)
{
  MdError error = { 0 };
  uint64_t end = 0;

  if (response->status == MD_PLATFORM_STATUS_TOO_OLD)
    {
      start_over (keyed);
      keyed->due = md_now ();
      return;
    }
  if (response->status != 200)
    md_error_set (&error, MD_E_IO, "read", keyed->address, "refused");
  else
    md_platform_parse_read_response (response->body, keyed->read_offset, keyed->on_record,
                                     keyed->user, &keyed->next_offset, &end, &error);
  if (error.code != MD_OK)
    {
      record_failure (keyed, response, &error);
      return;
    }
  if (keyed->next_offset >= end)
    keyed->confirmed_at = keyed->sent_at;
  else
    start_over (keyed);
  record_success (keyed);
}

static void
on_response (void *user, const MdHttpAsyncResponse *response)
{
  MdKeyedReader *keyed = user;

  keyed->busy = false;
  md_observe (MD_H_STORE_CALL, response->elapsed);
  switch (keyed->state)
    {
    case KEYED_NEWEST:
      on_newest_response (keyed, response);
      break;
    case KEYED_FOLLOW:
      on_read_response (keyed, response);
      break;
    }
}

MdTime
md_keyed_reader_poll (MdKeyedReader *keyed, MdTime now)
{
  MD_AUTO_CALL call = { 0 };
  MdTime timeout = RESPONSE_MARGIN;

  if (keyed->busy)
    return INT64_MAX;
  if (now < keyed->due)
    return keyed->due;
  switch (keyed->state)
    {
    case KEYED_NEWEST:
      md_platform_newest (&call, keyed->topic, md_str (keyed->after_key));
      break;
    case KEYED_FOLLOW:
      md_platform_read (&call, keyed->topic, keyed->next_offset, keyed->wait);
      keyed->read_offset = keyed->next_offset;
      timeout += keyed->wait;
      break;
    }
  md_count (MD_M_LOG_READS, 1);
  keyed->sent_at = md_now ();
  keyed->busy
      = md_daemon_call (keyed->http, keyed->address, &call, timeout, on_response, keyed) == MD_OK;
  keyed->due = now + RETRY_DELAY_MAX;
  return keyed->busy ? INT64_MAX : keyed->due;
}
