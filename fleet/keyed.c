/* keyed.c -- follows the newest record of each key of a topic

   The newest records are fetched once; from there on a read waits for the next
   record. When the store no longer keeps what a read asks for, the newest records
   are fetched again. A read waits for a short time only, so that a connection that
   has gone silent is noticed. */

#include "daemon.h"

#include <stdio.h>

#define ANSWER_MARGIN (1200 * MD_MS) /* beyond the wait; the store may be slow */
#define RETRY_FIRST (50 * MD_MS)     /* after a failure */
#define RETRY_MOST (400 * MD_MS)     /* well below the time allowed for a new configuration */

typedef enum
{
  KEYED_NEWEST, /* fetch pages of the newest records */
  KEYED_FOLLOW, /* read on from next */
} KeyedState;

struct MdKeyedReader
{
  MdHttp *http;                   /* calls */
  char address[MD_ADDRESS_BYTES]; /* of the store */
  const char *topic;              /* followed */
  MdTime wait;                    /* of a read */
  MdKeyedRecordHandler on_record; /* callback */
  void *user;                     /* its argument */
  KeyedState state;               /* what the next call does */
  bool busy;                      /* a call is under way */
  MdTime due;                     /* of the next call */
  MdTime delay;                   /* after the next failure */
  uint64_t next_offset;           /* FOLLOW: offset to read */
  uint64_t read_offset;           /* FOLLOW: offset of the call under way */
  char after_key[256];            /* NEWEST: key to continue from */
  bool reachable;                 /* the last call was answered */
  MdTime lost_at;                 /* when it became unreachable */
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
  keyed->delay = RETRY_FIRST;
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

static void
note_failure (MdKeyedReader *keyed, const MdHttpAsyncResponse *answer, const MdError *error)
{
  MdTime now = md_now ();

  md_count (MD_M_LOG_ERRORS, 1);
  keyed->due = now + keyed->delay;
  keyed->delay = keyed->delay * 2 < RETRY_MOST ? keyed->delay * 2 : RETRY_MOST;
  if (!keyed->reachable)
    return;
  keyed->reachable = false;
  keyed->lost_at = now;
  md_log (MD_LOG_WARN, "store-lost", "topic=%s status=%d reason=\"%s\"", keyed->topic,
          answer->status, answer->status == 0 ? answer->error.detail : error->detail);
}

static void
note_success (MdKeyedReader *keyed)
{
  MdTime now = md_now ();

  keyed->due = now;
  keyed->delay = RETRY_FIRST;
  if (keyed->reachable)
    return;
  keyed->reachable = true;
  md_log (MD_LOG_INFO, "store-back", "topic=%s away_ms=%lld", keyed->topic,
          (long long)((now - keyed->lost_at) / MD_MS));
}

static void
keep_last_key (void *user, const MdKeyedRecord *record)
{
  MdKeyedReader *keyed = user;

  md_str_copy (keyed->after_key, sizeof keyed->after_key, record->key);
  keyed->on_record (keyed->user, record);
}

static void
on_newest (MdKeyedReader *keyed, const MdHttpAsyncResponse *answer)
{
  MdError error = { 0 };
  uint64_t next = 0;
  bool more = false;

  if (answer->status != 200)
    md_error_set (&error, MD_E_IO, "newest", keyed->address, "refused");
  else
    md_platform_parse_newest_response (answer->body, keep_last_key, keyed, &next, &more, &error);
  if (error.code != MD_OK)
    {
      note_failure (keyed, answer, &error);
      return;
    }
  /* Pages are no snapshot: what changes between them is read again from the end that
     the first page showed. */
  if (keyed->next_offset == 0 || next < keyed->next_offset)
    keyed->next_offset = next;
  if (!more)
    {
      keyed->state = KEYED_FOLLOW;
      keyed->after_key[0] = '\0';
    }
  note_success (keyed);
}

static void
on_read (MdKeyedReader *keyed, const MdHttpAsyncResponse *answer)
{
  MdError error = { 0 };

  if (answer->status == MD_PLATFORM_STATUS_TOO_OLD)
    {
      keyed->state = KEYED_NEWEST;
      keyed->next_offset = 0;
      keyed->due = md_now ();
      return;
    }
  if (answer->status != 200)
    md_error_set (&error, MD_E_IO, "read", keyed->address, "refused");
  else
    md_platform_parse_read_response (answer->body, keyed->read_offset, keyed->on_record,
                                     keyed->user, &keyed->next_offset, &error);
  if (error.code != MD_OK)
    note_failure (keyed, answer, &error);
  else
    note_success (keyed);
}

static void
on_answer (void *user, const MdHttpAsyncResponse *answer)
{
  MdKeyedReader *keyed = user;

  keyed->busy = false;
  md_observe (MD_H_STORE_CALL, answer->elapsed);
  switch (keyed->state)
    {
    case KEYED_NEWEST:
      on_newest (keyed, answer);
      break;
    case KEYED_FOLLOW:
      on_read (keyed, answer);
      break;
    }
}

MdTime
md_keyed_reader_poll (MdKeyedReader *keyed, MdTime now)
{
  MD_AUTO_CALL call = { 0 };
  MdTime timeout = ANSWER_MARGIN;

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
  keyed->busy
      = md_daemon_call (keyed->http, keyed->address, &call, timeout, on_answer, keyed) == MD_OK;
  keyed->due = now + RETRY_MOST;
  return keyed->busy ? INT64_MAX : keyed->due;
}
