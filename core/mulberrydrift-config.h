/* mulberrydrift-config.h -- declared resources by log offset

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_CONFIG_H
#define MULBERRYDRIFT_CONFIG_H

#include "mulberrydrift-dispatch.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* ------------------------------------------------------------------ */
  /* Configuration: declared resources by log offset (config.c)         */

  typedef struct MdConfig MdConfig;

  typedef enum
  {
    MD_CHANGE_PUT,    /* created or replaced */
    MD_CHANGE_DELETE, /* deleted */
  } MdChangeKind;

  typedef struct
  {
    MdChangeKind kind;
    MdStr resource_kind; /* "pool", "customer" or "configuration" */
    MdStr name;          /* of the resource */
    uint64_t version;    /* after the change; for deletes, the version of the delete */
    MdStr spec;          /* JSON text, empty for deletes */
    MdStr actor;         /* who made the change */
    int64_t time_ms;     /* of the change, by the clock of the log */
  } MdChange;

  typedef enum
  {
    MD_APPLY_EFFECTIVE, /* changed the state */
    MD_APPLY_LOST_RACE, /* the expected version was not the current one */
    MD_APPLY_DUPLICATE, /* the change id was applied before */
    MD_APPLY_STALE,     /* the offset is below the next one to apply */
    MD_APPLY_INVALID,   /* not a valid record; every node skips it */
    MD_APPLY_SNAPSHOT,  /* a valid snapshot record; it replaces the state only after a gap */
  } MdApplyResult;

  MdConfig *md_config_new (const MdTuning *tuning);
  void md_config_free (MdConfig *config);

  /* md_config_apply: applies the record at a log offset; time_ms is the time of the
   record by the clock of the log. Offsets must be passed in order; a gap is allowed
   only before a snapshot record. */
  MdApplyResult md_config_apply (MdConfig *config, uint64_t offset, int64_t time_ms, MdStr record);

  /* md_config_next_offset: the offset of the next record to read, 0 at the start. */
  uint64_t md_config_next_offset (const MdConfig *config);

  /* md_config_get: the current state of a resource, as a put. Returns MD_OK or
   MD_E_NOT_FOUND. Strings are owned by the object and valid until the next
   md_config_apply. */
  int md_config_get (const MdConfig *config, MdStr resource_kind, MdStr name, MdChange *out);
  /* md_config_count, md_config_at: all resources by kind and name; index must be below
   the count. Strings as with md_config_get. */
  size_t md_config_count (const MdConfig *config);
  void md_config_at (const MdConfig *config, size_t index, MdChange *out);

  /* md_config_change_result: the result of the change with this id, and the version of
   the resource after it. Returns MD_E_NOT_FOUND when no record with this id has been
   applied, or the id is no longer kept. */
  int md_config_change_result (const MdConfig *config, MdStr change_id, MdApplyResult *result,
                               uint64_t *version);

  /* md_config_change_after: the first change with a version above the given one.
   Returns MD_E_NOT_FOUND when there is none, and MD_E_TOO_OLD when changes above
   that version are no longer in the watch log. */
  int md_config_change_after (const MdConfig *config, uint64_t version, MdChange *out);

  /* md_config_snapshot: stores the state as a snapshot record (JSON text) in *out,
   which the caller frees with free. Returns MD_OK or MD_E_MEMORY. */
  int md_config_snapshot (const MdConfig *config, char **out, size_t *len);

  /* md_config_load: replaces the state by the snapshot record of a peer. Returns
   MD_E_TOO_OLD when the snapshot is older than the state, which is then kept, or
   MD_E_INVALID or MD_E_MEMORY. */
  int md_config_load (MdConfig *config, MdStr snapshot, MdError *error);

  /* md_config_record: stores a change record (JSON text) in *out, which the caller
   frees with free. spec is JSON text, empty for deletes. Returns MD_OK or
   MD_E_INVALID. */
  int md_config_record (MdChangeKind kind, MdStr change_id, MdStr resource_kind, MdStr name,
                        uint64_t expected, MdStr spec, MdStr actor, char **out, size_t *len);

  /* md_config_check: validates a spec before it is appended to the log. On
   MD_E_INVALID, error->detail names the field. */
  int md_config_check (MdStr resource_kind, MdStr name, MdStr spec, MdError *error);

#ifdef __cplusplus
}
#endif

#endif
