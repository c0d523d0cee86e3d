/* observed.c -- read-only resources of one entry process, with watches

   Each kind has its own hash table, version counter and ring of recent changes, so
   that the many changes of jobs do not evict those of upstreams from the ring. Table
   and ring share the objects, which are reference counted.

   Versions start at the process start time (milliseconds x 1000). A watch that resumes
   with a version of an earlier process is therefore below the ring and receives
   MD_E_TOO_OLD instead of silently missing changes. So does a watch with a version
   above the newest one, which comes from another entry. */

#include "md-control.h"

#include <xxhash.h>

#define BUCKETS_MIN 64          /* initial size of one table */
#define LIST_CHUNK_BUCKETS 1024 /* buckets listed before the lock is released */

typedef struct Object Object;
struct Object
{
  Object *next;     /* in the bucket */
  unsigned refs;    /* held by table and ring */
  uint64_t hash;    /* of name */
  uint64_t version; /* of the change that created this object */
  bool deleted;     /* records a deletion; in the ring only */
  MdStr name;       /* stored behind the object, as customer and status */
  MdStr customer;   /* empty: visible to operators only */
  MdStr status;     /* JSON text */
};

typedef struct
{
  const char *kind;
  pthread_mutex_t lock;   /* guards everything below */
  pthread_cond_t changed; /* a change was added; signaled only if there are waiters */
  unsigned waiters;       /* threads in md_observed_next */
  Object **buckets;       /* n_buckets chains */
  size_t n_buckets;       /* a power of two */
  size_t n_objects;       /* in the buckets */
  Object **ring;          /* ring_size objects, indexed by change number modulo ring_size */
  uint64_t n_changes;     /* since the start */
  uint64_t version;       /* of the newest change */
  uint64_t floor;         /* newest version that is no longer in the ring */
} Table;

static const char *const kinds[] = { "job", "upstream", "entry", "report", "shard" };
#define N_KINDS MD_ARRAY_SIZE (kinds)

struct MdObserved
{
  uint32_t ring_size; /* changes kept for each kind, at least 1 */
  Table tables[N_KINDS];
};

static void
object_unref (Object *object)
{
  if (object != NULL && --object->refs == 0)
    free (object);
}

static Object **
alloc_pointers (size_t n)
{
  return calloc (n, sizeof (void *));
}

static void
init_table (Table *table, const char *kind, uint32_t ring_size)
{
  table->kind = kind;
  pthread_mutex_init (&table->lock, NULL);
  md_cond_init (&table->changed);
  table->n_buckets = BUCKETS_MIN;
  table->buckets = alloc_pointers (table->n_buckets);
  table->ring = alloc_pointers (ring_size);
  table->version = (uint64_t)md_wall_ms () * 1000;
  table->floor = table->version;
  if (table->buckets == NULL || table->ring == NULL)
    abort ();
}

MdObserved *
md_observed_new (uint32_t keep_changes)
{
  MdObserved *observed = calloc (1, sizeof *observed);

  if (observed == NULL)
    return NULL;
  observed->ring_size = keep_changes > 0 ? keep_changes : 1;
  for (size_t i = 0; i < N_KINDS; i++)
    init_table (&observed->tables[i], kinds[i], observed->ring_size);
  return observed;
}

static void
clear_table (Table *table, uint32_t ring_size)
{
  for (uint32_t i = 0; i < ring_size; i++)
    object_unref (table->ring[i]);
  for (size_t i = 0; i < table->n_buckets; i++)
    {
      Object *next;

      for (Object *o = table->buckets[i]; o != NULL; o = next)
        {
          next = o->next;
          object_unref (o);
        }
    }
  free (table->ring);
  free (table->buckets);
  pthread_cond_destroy (&table->changed);
  pthread_mutex_destroy (&table->lock);
}

void
md_observed_free (MdObserved *observed)
{
  if (observed == NULL)
    return;
  for (size_t i = 0; i < N_KINDS; i++)
    clear_table (&observed->tables[i], observed->ring_size);
  free (observed);
}

static Table *
find_table (MdObserved *observed, MdStr kind)
{
  for (size_t i = 0; i < N_KINDS; i++)
    {
      if (md_str_equal (md_str (kinds[i]), kind))
        return &observed->tables[i];
    }
  return NULL;
}

bool
md_observed_has_kind (MdStr kind)
{
  for (size_t i = 0; i < N_KINDS; i++)
    {
      if (md_str_equal (md_str (kinds[i]), kind))
        return true;
    }
  return false;
}

/* ------------------------------------------------------------------ */
/* Changes                                                             */

/* Copies s to *at and advances *at. */
static MdStr
append_bytes (char **at, MdStr s)
{
  MdStr copy = { *at, s.len };

  if (s.len > 0)
    memcpy (*at, s.data, s.len);
  *at += s.len;
  return copy;
}

static Object *
new_object (MdStr name, MdStr customer, MdStr status)
{
  Object *object = calloc (1, sizeof *object + name.len + customer.len + status.len);
  char *at;

  if (object == NULL)
    return NULL;
  at = (char *)(object + 1);
  object->refs = 1;
  object->hash = XXH64 (name.data, name.len, 0);
  object->name = append_bytes (&at, name);
  object->customer = append_bytes (&at, customer);
  object->status = append_bytes (&at, status);
  return object;
}

/* Returns the link to the object of a name, or the end of its chain. */
static Object **
find_slot (Table *table, uint64_t hash, MdStr name)
{
  Object **slot = &table->buckets[hash & (table->n_buckets - 1)];

  while (*slot != NULL && ((*slot)->hash != hash || !md_str_equal ((*slot)->name, name)))
    slot = &(*slot)->next;
  return slot;
}

static void
grow_table (Table *table)
{
  size_t n = table->n_buckets * 2;
  Object **buckets;

  if (table->n_objects <= table->n_buckets)
    return;
  buckets = alloc_pointers (n);
  if (buckets == NULL)
    return; /* the table still works, with longer chains */
  for (size_t i = 0; i < table->n_buckets; i++)
    {
      Object *next;

      for (Object *o = table->buckets[i]; o != NULL; o = next)
        {
          next = o->next;
          o->next = buckets[o->hash & (n - 1)];
          buckets[o->hash & (n - 1)] = o;
        }
    }
  free (table->buckets);
  table->buckets = buckets;
  table->n_buckets = n;
}

/* Inserts the object with a reference of its own, replacing one of the same name. */
static void
insert_object (Table *table, Object *object)
{
  Object **slot = find_slot (table, object->hash, object->name);
  Object *old = *slot;

  object->refs++;
  object->next = old ? old->next : NULL;
  *slot = object;
  if (old == NULL)
    table->n_objects++;
  object_unref (old);
  grow_table (table);
}

/* Assigns the next version and moves the caller's reference to the ring. */
static void
record_change (MdObserved *observed, Table *table, Object *object)
{
  Object **place = &table->ring[table->n_changes++ % observed->ring_size];

  if (*place != NULL)
    table->floor = (*place)->version;
  object_unref (*place);
  *place = object;
  object->version = ++table->version;
  if (table->waiters > 0)
    pthread_cond_broadcast (&table->changed);
}

void
md_observed_put (MdObserved *observed, const char *kind, MdStr name, MdStr customer, MdStr status)
{
  Table *table = find_table (observed, md_str (kind));
  Object *object = new_object (name, customer, status);

  if (table == NULL || object == NULL)
    {
      object_unref (object);
      return;
    }
  pthread_mutex_lock (&table->lock);
  insert_object (table, object);
  record_change (observed, table, object);
  pthread_mutex_unlock (&table->lock);
}

void
md_observed_delete (MdObserved *observed, const char *kind, MdStr name)
{
  Table *table = find_table (observed, md_str (kind));
  Object **slot;
  Object *old;
  Object *deletion;

  if (table == NULL)
    return;
  pthread_mutex_lock (&table->lock);
  slot = find_slot (table, XXH64 (name.data, name.len, 0), name);
  old = *slot;
  deletion = old != NULL ? new_object (name, old->customer, MD_STR ("")) : NULL;
  if (old != NULL)
    {
      *slot = old->next;
      table->n_objects--;
      object_unref (old);
    }
  if (deletion != NULL)
    {
      deletion->deleted = true;
      record_change (observed, table, deletion);
    }
  pthread_mutex_unlock (&table->lock);
}

/* ------------------------------------------------------------------ */
/* Reads                                                               */

static bool
visible (const Object *object, MdStr customer)
{
  return customer.len == 0 || md_str_equal (object->customer, customer);
}

static void
write_object_members (const Table *table, const Object *o, MdBuf *out)
{
  md_buf_printf (out, "\"kind\":\"%s\",\"name\":", table->kind);
  md_buf_json_string (out, o->name);
  md_buf_printf (out, ",\"version\":%llu", (unsigned long long)o->version);
  if (o->customer.len > 0)
    {
      md_buf_append (out, MD_STR (",\"customer\":"));
      md_buf_json_string (out, o->customer);
    }
  if (!o->deleted)
    {
      md_buf_append (out, MD_STR (",\"status\":"));
      md_buf_append (out, o->status);
    }
  md_buf_append (out, MD_STR ("}"));
}

int
md_observed_get (MdObserved *observed, MdStr kind, MdStr name, MdStr customer, MdBuf *out,
                 uint64_t *version)
{
  Table *table = find_table (observed, kind);
  Object *o;
  int rc = MD_E_NOT_FOUND;

  if (table == NULL)
    return MD_E_NOT_FOUND;
  pthread_mutex_lock (&table->lock);
  o = *find_slot (table, XXH64 (name.data, name.len, 0), name);
  if (o != NULL && visible (o, customer))
    {
      md_buf_append (out, MD_STR ("{"));
      write_object_members (table, o, out);
      *version = o->version;
      rc = MD_OK;
    }
  pthread_mutex_unlock (&table->lock);
  return rc;
}

static void
list_bucket (const Table *table, size_t bucket, MdStr customer, MdBuf *out, size_t *n)
{
  for (const Object *o = table->buckets[bucket]; o != NULL; o = o->next)
    {
      if (!visible (o, customer))
        continue;
      md_buf_append (out, (*n)++ > 0 ? MD_STR (",{") : MD_STR ("{"));
      write_object_members (table, o, out);
    }
}

/* A long list is copied in parts, so that the engine thread never waits long for the
   lock. *version is the version at the start: a watch that continues from it repeats
   the changes made while the list was copied. If the table grows between two parts, the
   list is restarted. */
int
md_observed_list (MdObserved *observed, MdStr kind, MdStr customer, MdBuf *out, uint64_t *version)
{
  Table *table = find_table (observed, kind);
  size_t start = out->len;
  size_t buckets;
  size_t n = 0;

  if (table == NULL)
    return MD_E_NOT_FOUND;
  pthread_mutex_lock (&table->lock);
  *version = table->version;
  buckets = table->n_buckets;
  for (size_t i = 0; i < table->n_buckets; i++)
    {
      list_bucket (table, i, customer, out, &n);
      if (i % LIST_CHUNK_BUCKETS != LIST_CHUNK_BUCKETS - 1)
        continue;
      pthread_mutex_unlock (&table->lock);
      pthread_mutex_lock (&table->lock);
      if (buckets == table->n_buckets)
        continue;
      *version = table->version;
      buckets = table->n_buckets;
      out->len = start;
      n = 0;
      i = (size_t)-1;
    }
  pthread_mutex_unlock (&table->lock);
  return MD_OK;
}

/* Finds the first change after *version that is visible to the customer; called with
   lock held. */
static int
find_change (const MdObserved *observed, const Table *table, MdStr customer, uint64_t *version,
             const Object **found)
{
  if (*version < table->floor || *version > table->version)
    return MD_E_TOO_OLD;
  while (*version < table->version)
    {
      /* Versions in the ring are consecutive. */
      uint64_t distance = table->version - *version;
      const Object *o = table->ring[(table->n_changes - distance) % observed->ring_size];

      *version = o->version;
      if (visible (o, customer))
        {
          *found = o;
          return MD_OK;
        }
    }
  return MD_E_NOT_FOUND;
}

int
md_observed_next (MdObserved *observed, MdStr kind, MdStr customer, uint64_t *version, MdTime wait,
                  MdBuf *out)
{
  Table *table = find_table (observed, kind);
  MdTime until = md_now () + wait;
  const Object *o = NULL;
  int rc;

  if (table == NULL)
    return MD_E_NOT_FOUND;
  pthread_mutex_lock (&table->lock);
  table->waiters++;
  while ((rc = find_change (observed, table, customer, version, &o)) == MD_E_NOT_FOUND
         && md_cond_wait_until (&table->changed, &table->lock, until))
    ;
  table->waiters--;
  if (rc == MD_OK)
    {
      md_buf_append (out,
                     o->deleted ? MD_STR ("{\"type\":\"delete\",") : MD_STR ("{\"type\":\"put\","));
      write_object_members (table, o, out);
    }
  pthread_mutex_unlock (&table->lock);
  return rc;
}
