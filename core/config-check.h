/* config-check.h -- validation rules for resources, shared by the configuration modules */

#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "md-base.h"

#include <jansson.h>

#define MD_SPEC_MAX_BYTES (64u * 1024) /* one spec as JSON text */
#define MD_CHANGE_ID_MAX_BYTES 64      /* without terminator */
#define MD_ACTOR_MAX_BYTES 63          /* without terminator */
#define MD_POOL_MAX_SHARDS 64

/* md_name_valid: returns whether name matches [a-z0-9][a-z0-9-]{0,62}. */
bool md_name_valid (MdStr name);

/* md_config_check_json: like md_config_check, for a parsed spec; NULL is invalid.
   Returns MD_OK or MD_E_INVALID. */
int md_config_check_json (MdStr resource_kind, MdStr name, const json_t *spec, MdError *error);

/* md_config_check_successor: checks whether the spec after may replace the spec
   before (JSON text) of the same resource; both must be valid. Returns MD_OK or
   MD_E_INVALID. */
int md_config_check_successor (MdStr resource_kind, MdStr before, const json_t *after,
                               MdError *error);

/* md_spec_pool, md_spec_customer: read a valid spec (JSON text). Absent fields get
   their defaults; md_spec_pool leaves config->name unset. */
void md_spec_pool (MdStr spec, MdPoolConfig *config);
void md_spec_customer (MdStr spec, MdCustomerPolicy *policy);

#endif
