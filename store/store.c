/* store.c -- configuration and registrations of one process

   Reader threads apply the platform's log (store-reader.c). The part of the
   configuration that the request path needs is published as an immutable view that is
   replaced as a whole: readers access it under RCU without a lock and see a single
   version.

   A change is appended as a record with a new id. Its result is known when the reader
   thread has applied the record with that id in log order. When the response to the
   append is lost, the same wait shows whether the record is in the log. The record is
   never appended again, because the first one may still arrive. */

#include "store-private.h"

#include "config-check.h"
#include "json-text.h"

#include <errno.h>
#include <stdio.h>
#include <urcu/urcu-memb.h>

#define CHANGE_TIMEOUT (10 * MD_SECOND)      /* of the append and the wait for the record */
#define CONFIG_READY_TIMEOUT (3 * MD_SECOND) /* of the wait for the first read */
#define APPEND_TIMEOUT (5 * MD_SECOND)       /* of the response to an append */

/* Long polls. READ_MARGIN_MIN of the log client plus CONFIG_POLL_WAIT bound how long a
   silent connection delays a change: three seconds of the four that a change may take.
   Guards poll less often, because their number would load the log. */
#define CONFIG_POLL_WAIT (1 * MD_SECOND)
#define MEMBERS_POLL_WAIT (2 * MD_SECOND)
#define GUARD_POLL_WAIT (10 * MD_SECOND)

void
md_cond_init (pthread_cond_t *cond)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

bool
md_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *lock, MdTime until)
{
  MdTime left = until - md_now ();
  struct timespec ts;

  if (left <= 0)
    return false;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  ts.tv_sec += left / MD_SECOND;
  ts.tv_nsec += (left % MD_SECOND) * 1000;
  if (ts.tv_nsec >= 1000000000)
    {
      ts.tv_sec++;
      ts.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (cond, lock, &ts);
  return true;
}

/* ------------------------------------------------------------------ */
/* View                                                                */

static size_t
count_kind (const MdConfig *config, MdStr kind)
{
  size_t n = 0;

  for (size_t i = 0; i < md_config_count (config); i++)
    {
      MdChange change;

      md_config_at (config, i, &change);
      n += md_str_equal (change.resource_kind, kind) ? 1 : 0;
    }
  return n;
}

/* Allocates the view and its arrays as one block, which one free() releases. */
static MdConfigView *
alloc_view (size_t n_pools, size_t n_customers)
{
  size_t pools = n_pools * sizeof (MdPoolConfig);
  size_t customers = n_customers * sizeof (MdCustomerConfig);
  size_t pools_at = (sizeof (MdConfigView) + 15) / 16 * 16;
  size_t customers_at = (pools_at + pools + 15) / 16 * 16;
  char *block = calloc (1, customers_at + customers);
  MdConfigView *view = (MdConfigView *)block;

  if (block == NULL)
    abort ();
  view->pools = (MdPoolConfig *)(block + pools_at);
  view->customers = (MdCustomerConfig *)(block + customers_at);
  return view;
}

static void
fill_pool (MdConfigView *view, const MdChange *change)
{
  MdPoolConfig *pool = (MdPoolConfig *)&view->pools[view->n_pools++];

  md_str_copy (pool->name, sizeof pool->name, change->name);
  md_spec_pool (change->spec, pool);
}

static void
fill_customer (MdConfigView *view, const MdChange *change)
{
  MdCustomerConfig *customer = (MdCustomerConfig *)&view->customers[view->n_customers++];

  md_str_copy (customer->name, sizeof customer->name, change->name);
  md_spec_customer (change->spec, &customer->policy);
}

static MdConfigView *
build_view (const MdConfig *config)
{
  MdConfigView *view
      = alloc_view (count_kind (config, MD_STR ("pool")), count_kind (config, MD_STR ("customer")));

  view->version = md_config_next_offset (config);
  for (size_t i = 0; i < md_config_count (config); i++)
    {
      MdChange change;

      md_config_at (config, i, &change);
      if (md_str_equal (change.resource_kind, MD_STR ("pool")))
        fill_pool (view, &change);
      if (md_str_equal (change.resource_kind, MD_STR ("customer")))
        fill_customer (view, &change);
    }
  return view;
}

void
store_publish (MdStore *store)
{
  MdStoreEvent event = { .kind = MD_STORE_CONFIG };
  MdConfigView *view = NULL;
  MdConfigView *old;

  pthread_mutex_lock (&store->event_lock);
  pthread_mutex_lock (&store->lock);
  if (!store->stopping
      && (atomic_load (&store->view) == NULL
          || store->published_version < md_config_next_offset (store->config)))
    view = build_view (store->config);
  if (view != NULL)
    store->published_version = view->version;
  pthread_mutex_unlock (&store->lock);
  if (view != NULL)
    {
      old = atomic_exchange (&store->view, view);
      md_gauge (MD_M_CONFIG_OFFSET, (int64_t)view->version);
      event.offset = view->version;
      store->on_event (store->user, &event);
      urcu_memb_synchronize_rcu ();
      free (old);
    }
  pthread_mutex_unlock (&store->event_lock);
}

const MdConfigView *
md_store_view (MdStore *store)
{
  return atomic_load_explicit (&store->view, memory_order_acquire);
}

static int
compare_name (const char *name, MdStr s)
{
  size_t len = strlen (name);
  int order = memcmp (name, s.data, len < s.len ? len : s.len);

  return order != 0 ? order : (len > s.len) - (len < s.len);
}

/* Binary search; both arrays are sorted by name, as the resources of an MdConfig are. */
static const void *
find_by_name (const void *items, size_t n, size_t size, MdStr name)
{
  size_t low = 0;
  size_t high = n;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const char *item = (const char *)items + middle * size;
      int order = compare_name (item, name); /* the name is the first field */

      if (order == 0)
        return item;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

const MdPoolConfig *
md_view_pool (const MdConfigView *view, MdStr name)
{
  return find_by_name (view->pools, view->n_pools, sizeof *view->pools, name);
}

const MdCustomerConfig *
md_view_customer (const MdConfigView *view, MdStr name)
{
  return find_by_name (view->customers, view->n_customers, sizeof *view->customers, name);
}

/* ------------------------------------------------------------------ */
/* Start and stop                                                      */

void
store_deliver (MdStore *store, MemberEvents *events)
{
  for (size_t i = 0; i < events->n && !store->stopping; i++)
    store->on_event (store->user, &events->items[i].event);
  member_events_clear (events);
}

static void
free_store (MdStore *store)
{
  md_config_free (store->config);
  member_log_clear (&store->members);
  free (atomic_load (&store->view));
  pthread_mutex_destroy (&store->event_lock);
  pthread_mutex_destroy (&store->lock);
  pthread_cond_destroy (&store->changed);
  free (store);
}

void
store_unref (MdStore *store)
{
  bool last;

  pthread_mutex_lock (&store->lock);
  last = --store->refs == 0;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  if (last)
    free_store (store);
}

static void
init_stream (MdStore *store, int index, MdStr name, MdTime wait)
{
  StoreStream *s = &store->streams[index];

  s->store = store;
  s->index = index;
  s->name = name;
  s->poll_wait = wait;
}

/* Returns 0 or an error number. */
static int
start_readers (MdStore *store)
{
  for (int i = 0; i < STREAM_COUNT; i++)
    {
      int rc;

      pthread_mutex_lock (&store->lock);
      store->refs++;
      pthread_mutex_unlock (&store->lock);
      rc = store_reader_start (&store->streams[i]);
      if (rc == 0)
        continue;
      store_unref (store);
      return rc;
    }
  return 0;
}

MdStore *
md_store_new (const MdSettings *settings, void (*on_event) (void *user, const MdStoreEvent *event),
              void *user)
{
  MdStore *store = calloc (1, sizeof *store);
  int rc;

  if (store == NULL)
    return NULL;
  store->config = md_config_new (&settings->tuning);
  if (store->config == NULL)
    {
      free (store);
      return NULL;
    }
  md_str_copy (store->address, sizeof store->address, md_str (settings->log_address));
  store->is_entry = settings->is_entry;
  store->tuning = settings->tuning;
  store->on_event = on_event;
  store->user = user;
  store->refs = 1;
  pthread_mutex_init (&store->event_lock, NULL);
  pthread_mutex_init (&store->lock, NULL);
  md_cond_init (&store->changed);
  init_stream (store, STREAM_CONFIG, MD_STR ("config"),
               store->is_entry ? CONFIG_POLL_WAIT : GUARD_POLL_WAIT);
  init_stream (store, STREAM_MEMBERS, MD_STR ("members"),
               store->is_entry ? MEMBERS_POLL_WAIT : GUARD_POLL_WAIT);
  rc = start_readers (store);
  if (rc == 0)
    return store;
  md_store_free (store);
  errno = rc;
  return NULL;
}

/* A reader thread may be blocked in a read for as long as the log does not respond.
   This function waits for the threads 100 ms at most; the last one to release its
   reference frees the store. on_event is not called again once stopping has been set
   here under event_lock. */
void
md_store_free (MdStore *store)
{
  MdTime until = md_now () + 100 * MD_MS;

  if (store == NULL)
    return;
  pthread_mutex_lock (&store->event_lock);
  pthread_mutex_lock (&store->lock);
  store->stopping = true;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  pthread_mutex_unlock (&store->event_lock);
  pthread_mutex_lock (&store->lock);
  while (store->refs > 1 && md_cond_wait_until (&store->changed, &store->lock, until))
    ;
  pthread_mutex_unlock (&store->lock);
  store_unref (store);
}

int64_t
md_store_age_ms (MdStore *store)
{
  MdTime seen;

  pthread_mutex_lock (&store->lock);
  seen = store->streams[STREAM_CONFIG].caught_up_at;
  pthread_mutex_unlock (&store->lock);
  return seen > 0 ? (md_now () - seen) / MD_MS : -1;
}

/* ------------------------------------------------------------------ */
/* Changes                                                             */

bool
store_await (MdStore *store, int stream, bool (*done) (MdStore *store, void *user), void *user,
             MdTime until)
{
  if (done (store, user))
    return true;
  store->streams[stream].skip_backoff = true;
  pthread_cond_broadcast (&store->changed);
  while (!store->stopping && md_cond_wait_until (&store->changed, &store->lock, until))
    {
      if (done (store, user))
        return true;
    }
  return done (store, user);
}

static bool
is_ready (MdStore *store, void *user MD_UNUSED)
{
  return store->ready;
}

typedef struct
{
  MdStr id;            /* change id */
  bool appended;       /* the log confirmed the append */
  uint64_t offset;     /* of the record, if appended */
  MdApplyResult apply; /* its effect, if found */
  uint64_t version;    /* of the resource after the record, if found */
  bool found;          /* the record was applied here */
} ChangeWait;

static bool
change_resolved (MdStore *store, void *user)
{
  ChangeWait *wait = user;

  wait->found
      = md_config_change_result (store->config, wait->id, &wait->apply, &wait->version) == MD_OK;
  return wait->found || (wait->appended && md_config_next_offset (store->config) > wait->offset);
}

/* Rejects changes that cannot succeed before they are appended; called with lock held.
   Versions are never reused: an expected version up to the offset read here that is
   not the current one can never become current. */
static int
check_before_append (MdStore *store, MdChangeKind kind, MdStr resource_kind, MdStr name,
                     uint64_t expected, MdStr spec, uint64_t *version, MdError *error)
{
  MdChange current = { 0 };
  bool exists = md_config_get (store->config, resource_kind, name, &current) == MD_OK;
  json_t *root;
  int rc = MD_OK;

  *version = exists ? current.version : 0;
  if (expected != 0 && expected <= md_config_next_offset (store->config) && expected != *version)
    return md_error_set (error, MD_E_CONFLICT, "change", NULL, "the current version is %llu",
                         (unsigned long long)*version);
  if (kind == MD_CHANGE_DELETE && expected == 0)
    return md_error_set (error, MD_E_INVALID, "change", NULL, "a delete must name a version");
  if (kind == MD_CHANGE_DELETE || !exists || expected != *version)
    return MD_OK;
  root = md_json_load (spec, 0, NULL);
  rc = md_config_check_successor (resource_kind, current.spec, root, error);
  json_decref (root);
  return rc;
}

/* Returns an error only if the record is certainly not in the log. */
static int
append_change (MdStore *store, const char *text, size_t len, ChangeWait *wait, MdError *error)
{
  MdError append_error = { 0 };
  int rc = md_log_append (md_str (store->address), store->streams[STREAM_CONFIG].name,
                          md_str_n (text, len), APPEND_TIMEOUT, &wait->offset, &append_error);

  wait->appended = rc == MD_OK;
  if (rc == MD_E_NOT_FOUND)
    return md_error_set (error, MD_E_IO, "change", store->address,
                         "the log cannot be reached; nothing was appended (%s)",
                         append_error.detail);
  if (rc == MD_E_INVALID)
    return md_error_set (error, MD_E_IO, "change", store->address,
                         "the log rejected the record; nothing was appended (%s)",
                         append_error.detail);
  if (rc != MD_OK)
    md_log (MD_LOG_WARN, "append-unanswered", "change=%.*s reason=\"%s\"", (int)wait->id.len,
            wait->id.data, append_error.detail);
  return MD_OK;
}

static int
change_result (const ChangeWait *wait, const char *peer, uint64_t *version, MdError *error)
{
  if (!wait->found && wait->appended)
    return md_error_set (error, MD_E_TIMEOUT, "change", peer,
                         "appended at offset %llu but not read back in time; it will take effect "
                         "unless another change came first",
                         (unsigned long long)wait->offset);
  if (!wait->found)
    return md_error_set (error, MD_E_TIMEOUT, "change", peer,
                         "the log did not respond and the record has not been found; it may still "
                         "appear");
  *version = wait->version;
  if (wait->apply == MD_APPLY_EFFECTIVE)
    return MD_OK;
  if (wait->apply == MD_APPLY_LOST_RACE)
    return md_error_set (error, MD_E_CONFLICT, "change", NULL, "the current version is %llu",
                         (unsigned long long)wait->version);
  return md_error_set (error, MD_E_INVALID, "change", NULL,
                       "the record breaks a rule that depends on the current state");
}

int
md_store_change (MdStore *store, MdChangeKind kind, MdStr resource_kind, MdStr name,
                 uint64_t expected, MdStr spec, MdStr actor, uint64_t *version, MdError *error)
{
  MdTime until = md_now () + CHANGE_TIMEOUT;
  md_autofree char *text = NULL;
  char id[37];
  ChangeWait wait = { 0 };
  size_t len;
  int rc;

  rc = md_config_check (resource_kind, name, kind == MD_CHANGE_PUT ? spec : MD_STR ("{}"), error);
  if (rc != MD_OK)
    return rc;
  pthread_mutex_lock (&store->lock);
  if (store_await (store, STREAM_CONFIG, is_ready, NULL, md_now () + CONFIG_READY_TIMEOUT))
    rc = check_before_append (store, kind, resource_kind, name, expected, spec, version, error);
  else
    rc = md_error_set (error, MD_E_IO, "change", store->address,
                       "the configuration has not been read yet; nothing was appended");
  pthread_mutex_unlock (&store->lock);
  if (rc != MD_OK)
    return rc;
  md_uuid7 (id);
  wait.id = md_str (id);
  rc = md_config_record (kind, wait.id, resource_kind, name, expected, spec, actor, &text, &len);
  if (rc != MD_OK)
    return md_error_set (error, rc, "change", NULL, "the record cannot be written as JSON");
  rc = append_change (store, text, len, &wait, error);
  if (rc != MD_OK)
    return rc;
  pthread_mutex_lock (&store->lock);
  store_await (store, STREAM_CONFIG, change_resolved, &wait, until);
  pthread_mutex_unlock (&store->lock);
  return change_result (&wait, store->address, version, error);
}

/* ------------------------------------------------------------------ */
/* Registrations                                                       */

typedef struct
{
  uint64_t incarnation; /* of the member */
  MemberKind kind;      /* of the record to wait for */
  bool found;           /* the record was applied here */
  bool ended;           /* the registration has been replaced or removed since */
  uint64_t offset;      /* of the record; 0 until found */
} MemberWait;

static bool
member_record_applied (MdStore *store, void *user)
{
  MemberWait *wait = user;
  const MemberRecord *r = member_log_find (&store->members, wait->incarnation, wait->kind);
  const MemberRecord *registered
      = member_log_find (&store->members, wait->incarnation, MEMBER_REGISTER);

  /* A registration that has ended needs no removal record. */
  if (r == NULL && wait->kind != MEMBER_REGISTER && registered != NULL && registered->ended)
    r = registered;
  wait->found = r != NULL;
  wait->ended = registered != NULL && registered->ended;
  wait->offset = r != NULL ? r->offset : 0;
  return wait->found;
}

/* Appends a member record and waits until the reader thread has applied it. The
   caller may repeat a failed call: a record that has been applied meanwhile is found
   before anything is appended, and readers ignore duplicates. */
static int
append_member_record (MdStore *store, const char *text, MemberWait *wait, MdError *error)
{
  MdTime until = md_now () + CHANGE_TIMEOUT;
  uint64_t offset;
  bool known;
  int rc;

  if (text == NULL)
    return MD_E_MEMORY;
  pthread_mutex_lock (&store->lock);
  known = member_record_applied (store, wait);
  pthread_mutex_unlock (&store->lock);
  if (known)
    return MD_OK;
  rc = md_log_append (md_str (store->address), store->streams[STREAM_MEMBERS].name, md_str (text),
                      APPEND_TIMEOUT, &offset, error);
  if (rc == MD_E_NOT_FOUND || rc == MD_E_INVALID)
    return MD_E_IO;
  pthread_mutex_lock (&store->lock);
  known = store_await (store, STREAM_MEMBERS, member_record_applied, wait, until);
  pthread_mutex_unlock (&store->lock);
  if (known)
    return MD_OK;
  return md_error_set (error, MD_E_TIMEOUT, "register", store->address,
                       "the record was not read back in time");
}

int
md_store_register (MdStore *store, const MdMemberInfo *info, uint64_t *offset, MdError *error)
{
  MemberWait wait = { .incarnation = info->incarnation, .kind = MEMBER_REGISTER };
  md_autofree char *text = member_record_register (info);
  int rc = append_member_record (store, text, &wait, error);

  *offset = wait.offset;
  if (rc == MD_OK && wait.ended)
    return md_error_set (error, MD_E_CONFLICT, "register", store->address,
                         "this incarnation was replaced or removed; register a new one");
  return rc;
}

int
md_store_remove_member (MdStore *store, uint64_t incarnation, bool left, MdError *error)
{
  MemberWait wait = { .incarnation = incarnation, .kind = left ? MEMBER_LEAVE : MEMBER_REMOVE };
  md_autofree char *text = member_record_removal (incarnation, left);

  return append_member_record (store, text, &wait, error);
}

/* ------------------------------------------------------------------ */
/* Snapshots for the log and for peers                                 */

int
store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset)
{
  int rc;

  pthread_mutex_lock (&store->lock);
  *offset = store_next_offset (store, stream);
  if (*offset == 0)
    rc = MD_E_NOT_FOUND;
  else if (stream == STREAM_CONFIG)
    rc = md_config_snapshot (store->config, out, len);
  else
    rc = member_log_snapshot (&store->members, out, len);
  pthread_mutex_unlock (&store->lock);
  return rc;
}

int
md_store_snapshot (MdStore *store, int stream, char **out, size_t *len, uint64_t *offset)
{
  return store_snapshot (store, stream, out, len, offset);
}

int
md_store_load_snapshot (MdStore *store, int stream, MdStr snapshot, MdError *error)
{
  MemberEvents events = { 0 };
  bool publish;
  int rc;

  pthread_mutex_lock (&store->event_lock);
  pthread_mutex_lock (&store->lock);
  if (stream == STREAM_CONFIG)
    rc = md_config_load (store->config, snapshot, error);
  else
    rc = member_log_load (&store->members, snapshot, &events, error);
  if (rc == MD_OK && stream == STREAM_CONFIG)
    store->ready = true;
  publish = rc == MD_OK && stream == STREAM_CONFIG;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  store_deliver (store, &events);
  pthread_mutex_unlock (&store->event_lock);
  if (publish)
    store_publish (store);
  return rc;
}
