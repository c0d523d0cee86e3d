/* config-check.h -- rules for resources that the configuration modules share */

#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "md-base.h"

#include <jansson.h>

#define MD_SPEC_MAX_BYTES (64u * 1024) /* bytes of one spec as JSON text */
#define MD_CHANGE_ID_MAX_BYTES 64      /* bytes of a change id */
#define MD_ACTOR_MAX_BYTES 63          /* bytes of an actor's name */
#define MD_POOL_MAX_SHARDS 64          /* shards of one pool */

/* md_name_valid: matches [a-z0-9][a-z0-9-]{0,62}. */
bool md_name_valid (MdStr name);

/* md_config_check_json: md_config_check for a parsed spec. */
int md_config_check_json (MdStr resource_kind, MdStr name, const json_t *spec, MdError *error);

/* md_config_check_successor: whether a spec may replace another one of the same
   resource, given as JSON text. */
int md_config_check_successor (MdStr resource_kind, MdStr before, const json_t *after,
                               MdError *error);

/* md_spec_pool, md_spec_customer: the values of a valid spec. */
void md_spec_pool (MdStr spec, MdPoolConfig *view);
void md_spec_customer (MdStr spec, MdCustomerPolicy *policy);

#endif
