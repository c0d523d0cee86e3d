/* config-check.c -- validation of resource specs

   Every entry validates each record with these rules when it applies it and skips a
   record that breaks them. The result must therefore depend only on the record and
   the state, never on settings of the node or on the time. A table lists the fields
   of each resource kind; a field that is not in the table is rejected by name, so
   that a misspelt field causes an error instead of a default. */

#include "config-check.h"
#include "json-text.h"

#include <math.h>
#include <stdio.h>

#define U32_MAX 4294967295.0

typedef enum
{
  FIELD_UINT, /* integer from min to max */
  FIELD_REAL, /* number from min to max */
  FIELD_BOOL, /* true or false */
} FieldType;

typedef struct
{
  const char *name; /* key in the spec */
  FieldType type;
  double min;           /* smallest valid value; unused for FIELD_BOOL */
  double max;           /* largest valid value; unused for FIELD_BOOL */
  double default_value; /* of an absent field */
} Field;

/* Indices of pool_fields. */
enum
{
  POOL_SHARDS,
  POOL_SLOTS_PER_GUARD,
  POOL_COALESCE_US,
  POOL_MAX_QUEUE,
  POOL_DEFAULT_DEADLINE_MS,
  POOL_FAIR_SHARE,
};

static const Field pool_fields[] = {
  [POOL_SHARDS] = { "shards", FIELD_UINT, 1, MD_POOL_MAX_SHARDS, 1 },
  [POOL_SLOTS_PER_GUARD] = { "slots_per_guard", FIELD_UINT, 0, 4096, 0 },
  /* 10 ms is the length of a short task; a longer delay would be a mistake. */
  [POOL_COALESCE_US] = { "coalesce_us", FIELD_UINT, 0, 10000, 0 },
  [POOL_MAX_QUEUE] = { "max_queue", FIELD_UINT, 0, 10000000, 0 },
  [POOL_DEFAULT_DEADLINE_MS] = { "default_deadline_ms", FIELD_UINT, 1, 3600000, 60000 },
  [POOL_FAIR_SHARE] = { "fair_share", FIELD_BOOL, 0, 1, 1 },
};

/* Indices of customer_fields. */
enum
{
  CUSTOMER_WEIGHT,
  CUSTOMER_SLOT_QUOTA,
  CUSTOMER_QUEUE_QUOTA,
};

static const Field customer_fields[] = {
  [CUSTOMER_WEIGHT] = { "weight", FIELD_REAL, 0.001, 1000, 1 },
  [CUSTOMER_SLOT_QUOTA] = { "slot_quota", FIELD_REAL, 0, 1000000, 0 },
  [CUSTOMER_QUEUE_QUOTA] = { "queue_quota", FIELD_UINT, 0, U32_MAX, 0 },
};

static bool
is_name_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool
md_name_valid (MdStr name)
{
  if (name.len == 0 || name.len > 63 || !is_name_char (name.data[0]))
    return false;
  for (size_t i = 1; i < name.len; i++)
    {
      if (!is_name_char (name.data[i]) && name.data[i] != '-')
        return false;
    }
  return true;
}

static int
invalid_spec (MdError *error, const char *detail)
{
  return md_error_set (error, MD_E_INVALID, "check", NULL, "%s", detail);
}

static const Field *
find_field (const Field *fields, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    {
      if (strcmp (fields[i].name, name) == 0)
        return &fields[i];
    }
  return NULL;
}

static const char *
type_text (FieldType type)
{
  switch (type)
    {
    case FIELD_UINT:
      return "an integer";
    case FIELD_REAL:
      return "a number";
    case FIELD_BOOL:
      return "true or false";
    }
  return "valid";
}

static bool
type_matches (FieldType type, const json_t *value)
{
  switch (type)
    {
    case FIELD_UINT:
      return json_is_integer (value);
    case FIELD_REAL:
      return json_is_number (value);
    case FIELD_BOOL:
      return json_is_boolean (value);
    }
  return false;
}

static int
check_value (const Field *field, const json_t *value, MdError *error)
{
  double number;

  if (!type_matches (field->type, value))
    return md_error_set (error, MD_E_INVALID, "check", NULL, "field \"%s\" must be %s", field->name,
                         type_text (field->type));
  if (field->type == FIELD_BOOL)
    return MD_OK;
  number = json_number_value (value);
  if (!isfinite (number) || number < field->min || number > field->max)
    return md_error_set (error, MD_E_INVALID, "check", NULL, "field \"%s\" must be from %g to %.0f",
                         field->name, field->min, field->max);
  return MD_OK;
}

static int
check_fields (const Field *fields, size_t n, const json_t *spec, MdError *error)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)spec, key, value)
  {
    const Field *field = find_field (fields, n, key);

    if (field == NULL)
      return md_error_set (error, MD_E_INVALID, "check", NULL, "unknown field \"%.64s\"", key);
    if (check_value (field, value, error) != MD_OK)
      return MD_E_INVALID;
  }
  return MD_OK;
}

int
md_config_check_json (MdStr resource_kind, MdStr name, const json_t *spec, MdError *error)
{
  if (!md_name_valid (name))
    return invalid_spec (error, "field \"name\" must match [a-z0-9][a-z0-9-]{0,62}");
  if (!json_is_object (spec))
    return invalid_spec (error, "field \"spec\" must be an object");
  if (md_str_equal (resource_kind, MD_STR ("pool")))
    return check_fields (pool_fields, MD_ARRAY_SIZE (pool_fields), spec, error);
  if (md_str_equal (resource_kind, MD_STR ("customer")))
    return check_fields (customer_fields, MD_ARRAY_SIZE (customer_fields), spec, error);
  if (md_str_equal (resource_kind, MD_STR ("configuration")))
    return MD_OK;
  return invalid_spec (error, "field \"kind\" must be pool, customer or configuration");
}

int
md_config_check (MdStr resource_kind, MdStr name, MdStr spec, MdError *error)
{
  json_error_t json_error;
  json_t *root;
  int rc;

  if (spec.len > MD_SPEC_MAX_BYTES)
    return invalid_spec (error, "field \"spec\" is longer than 65536 bytes");
  root = md_json_load_embedded (spec, JSON_REJECT_DUPLICATES, &json_error);
  if (root == NULL)
    return md_error_set (error, MD_E_INVALID, "check", NULL, "field \"spec\": %.140s",
                         json_error.text);
  rc = md_config_check_json (resource_kind, name, root, error);
  json_decref (root);
  return rc;
}

/* Reads a field of a valid spec; an absent one has its default value. */
static double
field_value (const Field *field, const json_t *spec)
{
  const json_t *value = json_object_get (spec, field->name);

  if (value == NULL)
    return field->default_value;
  if (field->type == FIELD_BOOL)
    return json_is_true (value) ? 1 : 0;
  return json_number_value (value);
}

static uint32_t
pool_uint (int field, const json_t *spec)
{
  return (uint32_t)field_value (&pool_fields[field], spec);
}

void
md_spec_pool (MdStr spec, MdPoolConfig *config)
{
  json_t *root = md_json_load (spec, 0, NULL);

  config->shards = pool_uint (POOL_SHARDS, root);
  config->slots_per_guard = pool_uint (POOL_SLOTS_PER_GUARD, root);
  config->coalesce_us = pool_uint (POOL_COALESCE_US, root);
  config->max_queue = pool_uint (POOL_MAX_QUEUE, root);
  config->default_deadline_ms = pool_uint (POOL_DEFAULT_DEADLINE_MS, root);
  config->fair_share = pool_uint (POOL_FAIR_SHARE, root) != 0;
  json_decref (root);
}

void
md_spec_customer (MdStr spec, MdCustomerPolicy *policy)
{
  json_t *root = md_json_load (spec, 0, NULL);

  policy->weight = field_value (&customer_fields[CUSTOMER_WEIGHT], root);
  policy->slot_quota = field_value (&customer_fields[CUSTOMER_SLOT_QUOTA], root);
  policy->queue_quota = (uint32_t)field_value (&customer_fields[CUSTOMER_QUEUE_QUOTA], root);
  json_decref (root);
}

/* The number of shards determines the shard of each submission and guard. After a
   change, resubmissions would go to another shard than the finished submissions. */
int
md_config_check_successor (MdStr resource_kind, MdStr before, const json_t *after, MdError *error)
{
  MdPoolConfig old;

  if (!md_str_equal (resource_kind, MD_STR ("pool")))
    return MD_OK;
  md_spec_pool (before, &old);
  if (old.shards == pool_uint (POOL_SHARDS, after))
    return MD_OK;
  return md_error_set (error, MD_E_INVALID, "check", NULL,
                       "field \"shards\" cannot change after creation (is %u)", old.shards);
}
