/* store-resources.c -- declared resources as JSON for the operator server

   Each function copies its result to a buffer under the store's lock, so that no
   request holds the lock while it writes to its client. */

#include "store-private.h"

#include <jansson.h>

void
md_buf_json_string (MdBuf *out, MdStr s)
{
  json_t *value = json_stringn (s.data ? s.data : "", s.len);
  md_autofree char *text = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;

  md_buf_append (out, text ? md_str (text) : MD_STR ("\"\""));
  json_decref (value);
}

/* Writes the members of the object and its closing brace. */
static void
write_resource_members (const MdChange *change, MdBuf *out)
{
  md_buf_append (out, MD_STR ("\"kind\":"));
  md_buf_json_string (out, change->resource_kind);
  md_buf_append (out, MD_STR (",\"name\":"));
  md_buf_json_string (out, change->name);
  md_buf_printf (out, ",\"version\":%llu,\"time_ms\":%lld,\"actor\":",
                 (unsigned long long)change->version, (long long)change->time_ms);
  md_buf_json_string (out, change->actor);
  if (change->kind == MD_CHANGE_PUT)
    {
      md_buf_append (out, MD_STR (",\"spec\":"));
      md_buf_append (out, change->spec);
    }
  md_buf_append (out, MD_STR ("}"));
}

static void
write_resource (const MdChange *change, MdBuf *out)
{
  md_buf_append (out, MD_STR ("{"));
  write_resource_members (change, out);
}

static void
write_change (const MdChange *change, MdBuf *out)
{
  md_buf_append (out, change->kind == MD_CHANGE_PUT ? MD_STR ("{\"type\":\"put\",")
                                                    : MD_STR ("{\"type\":\"delete\","));
  write_resource_members (change, out);
}

int
md_store_get (MdStore *store, MdStr kind, MdStr name, MdBuf *out, uint64_t *version)
{
  MdChange change;
  int rc;

  pthread_mutex_lock (&store->lock);
  rc = store->ready ? md_config_get (store->config, kind, name, &change) : MD_E_LIMIT;
  if (rc == MD_OK)
    {
      write_resource (&change, out);
      *version = change.version;
    }
  pthread_mutex_unlock (&store->lock);
  return rc;
}

int
md_store_list (MdStore *store, MdStr kind, MdBuf *out, uint64_t *version)
{
  size_t n = 0;
  bool ready;

  pthread_mutex_lock (&store->lock);
  ready = store->ready;
  for (size_t i = 0; i < md_config_count (store->config); i++)
    {
      MdChange change;

      md_config_at (store->config, i, &change);
      if (!md_str_equal (change.resource_kind, kind))
        continue;
      if (n++ > 0)
        md_buf_append (out, MD_STR (","));
      write_resource (&change, out);
    }
  /* A change at offset o has version o + 1, so the next offset is the version up to
     which the list is complete. */
  *version = md_config_next_offset (store->config);
  pthread_mutex_unlock (&store->lock);
  return ready ? MD_OK : MD_E_LIMIT;
}

/* Finds the next change of the kind and skips others; called with lock held. */
static int
find_change (MdStore *store, MdStr kind, uint64_t *version, MdChange *change)
{
  int rc;

  if (!store->ready)
    return MD_E_LIMIT;
  while ((rc = md_config_change_after (store->config, *version, change)) == MD_OK)
    {
      *version = change->version;
      if (md_str_equal (change->resource_kind, kind))
        return MD_OK;
    }
  return rc;
}

int
md_store_next (MdStore *store, MdStr kind, uint64_t *version, MdTime wait, MdBuf *out)
{
  MdTime until = md_now () + wait;
  MdChange change;
  int rc;

  pthread_mutex_lock (&store->lock);
  while ((rc = find_change (store, kind, version, &change)) == MD_E_NOT_FOUND && !store->stopping
         && md_cond_wait_until (&store->changed, &store->lock, until))
    ;
  if (rc == MD_OK)
    write_change (&change, out);
  pthread_mutex_unlock (&store->lock);
  return rc;
}
