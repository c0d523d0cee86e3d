/* names.c -- machine-readable names of reasons and outcomes */

#include "md-base.h"

static const char *const reason_names[MD_REASON_COUNT] = {
  [MD_REASON_NONE] = "none",
  [MD_REASON_NO_POOL] = "no-such-pool",
  [MD_REASON_NO_UPSTREAM] = "no-upstream",
  [MD_REASON_TOO_LARGE] = "too-large",
  [MD_REASON_DEADLINE] = "deadline",
  [MD_REASON_QUEUE_FULL] = "queue-full",
  [MD_REASON_QUOTA] = "quota",
  [MD_REASON_KEY_REUSED] = "idempotency-key-reused",
  [MD_REASON_EXPIRED] = "expired",
  [MD_REASON_UNPROVEN] = "unproven",
  [MD_REASON_NOT_OWNER] = "not-owner",
  [MD_REASON_LEAVING] = "leaving",
  [MD_REASON_OVERLOAD] = "overload",
  [MD_REASON_NO_CONFIG] = "no-configuration",
  [MD_REASON_NOT_ATTACHED] = "not-attached",
  [MD_REASON_DETACHED] = "detached",
  [MD_REASON_FENCED] = "fenced",
  [MD_REASON_LEASE_EXPIRED] = "lease-expired",
  [MD_REASON_WRONG_INCARNATION] = "wrong-incarnation",
  [MD_REASON_TOO_OLD] = "too-old",
  [MD_REASON_REFUSED_BEFORE] = "refused-before",
  [MD_REASON_CANCELLED] = "cancelled",
  [MD_REASON_FULL] = "full",
  [MD_REASON_TASK_FAILED] = "task-failed",
  [MD_REASON_GUARD_LOST] = "guard-lost",
  [MD_REASON_ANSWER_GONE] = "answer-gone",
  [MD_REASON_UPSTREAM_ERROR] = "upstream-error",
  [MD_REASON_FASTEST_FREE] = "fastest-free",
  [MD_REASON_PROBATION] = "probation",
  [MD_REASON_RETRY] = "retry",
};

static const char *const outcome_names[] = {
  [MD_OUTCOME_NOT_RUN] = "not_run",
  [MD_OUTCOME_RAN] = "ran",
  [MD_OUTCOME_UNKNOWN] = "unknown",
};

const char *
md_reason_name (MdReason reason)
{
  return (unsigned)reason < MD_REASON_COUNT ? reason_names[reason] : "invalid";
}

const char *
md_outcome_name (MdOutcome outcome)
{
  return (unsigned)outcome <= MD_OUTCOME_UNKNOWN ? outcome_names[outcome] : "invalid";
}
