/* ledger.c -- the memory of a guard, the last step before an upstream

   A task start has effect at most once because one place decides it: the ledger
   of the guard it was sent to. Every accepted or refused task leaves a record
   that outlives the time in which a copy of its start could still be accepted.

   Permanence of a refusal. A refusal is reported as "not run", so no later copy
   of the same start may run. Each reason has its own guarantee:
   - fenced, wrong incarnation, leaving: the condition never ends;
   - too old: the nonce of the start only gets older;
   - not attached: starts must carry a nonce no older than the attach;
   - cancelled: the cancellation is kept until the horizon;
   - all others: the task is remembered as refused until the horizon.
   When the record bound leaves no room to remember a refusal, the ledger raises
   nonce_floor to the current time instead. Every start sent so far carries an
   older nonce and is refused as too old; starts that are sent after the next
   heartbeat pass. Memory stays bounded without giving up permanence.

   A start of a task that has run is answered as a duplicate whoever sends it,
   because a refusal would claim that it did not run.

   Records are kept clock_error longer than the horizon: an entry may accept a
   submission that is older than the horizon by that much. */

#include "ledger-private.h"

/* ------------------------------------------------------------------ */
/* Attach and lease                                                   */

MdLedger *
md_ledger_new (const MdTuning *tuning, uint64_t incarnation)
{
  MdLedger *ledger = calloc (1, sizeof *ledger);

  if (ledger == NULL)
    return NULL;
  ledger->tuning = *tuning;
  ledger->incarnation = incarnation;
  ledger->nonce_floor = -1;
  return ledger;
}

void
md_ledger_free (MdLedger *ledger)
{
  if (ledger == NULL)
    return;
  for (MdLedgerRecord *record = ledger->drop_first, *next; record; record = next)
    {
      next = record->drop_next;
      if (record->removed)
        free (record);
    }
  for (MdLedgerCancellation *mark = ledger->cancels_first, *next; mark; mark = next)
    {
      next = mark->next;
      free (mark);
    }
  md_ledger_free_nodes (&ledger->records);
  md_ledger_free_nodes (&ledger->jobs);
  free (ledger->slots);
  free (ledger->free_slots);
  free (ledger->fences);
  free (ledger);
}

static bool
owner_alive (const MdLedger *ledger, MdTime now)
{
  return ledger->owner != 0 && !ledger->owner_leaving
         && now - ledger->owner_last_contact < ledger->tuning.fence_after;
}

static bool
contains (const uint64_t *fences, size_t n, uint64_t entry)
{
  for (size_t i = 0; i < n; i++)
    if (fences[i] == entry)
      return true;
  return false;
}

static MdReason
attach_refusal (const MdLedger *ledger, uint64_t entry, const uint64_t *fences, size_t n,
                MdTime now)
{
  if (entry == 0 || md_ledger_fenced (ledger, entry) || contains (fences, n, entry))
    return MD_REASON_FENCED;
  if (ledger->owner == 0 || ledger->owner == entry)
    return MD_REASON_NONE;
  if (!contains (fences, n, ledger->owner) || owner_alive (ledger, now))
    return MD_REASON_NOT_ATTACHED;
  return MD_REASON_NONE;
}

/* The lease of the former owner ends with its fence; the new one has to earn its
   own by an echo. */
static void
set_owner (MdLedger *ledger, uint64_t entry, MdTime now)
{
  if (ledger->owner == entry)
    return;
  ledger->owner = entry;
  ledger->owner_leaving = false;
  ledger->attached_at = now;
  ledger->lease_until = 0;
}

void
md_ledger_attach (MdLedger *ledger, uint64_t entry, const uint64_t *fences, size_t n, MdTime now,
                  MdAttachResult *result)
{
  MdReason reason = attach_refusal (ledger, entry, fences, n, now);

  if (reason == MD_REASON_NONE && !md_ledger_reserve_fences (ledger, n))
    reason = MD_REASON_NOT_ATTACHED;
  if (reason == MD_REASON_NONE)
    {
      for (size_t i = 0; i < n; i++)
        md_ledger_add_fence (ledger, fences[i]);
      set_owner (ledger, entry, now);
      ledger->owner_last_contact = now;
    }
  *result = (MdAttachResult){
    .attached = reason == MD_REASON_NONE,
    .reason = reason,
    .holder = ledger->owner,
    .holder_alive = reason != MD_REASON_NONE && owner_alive (ledger, now),
  };
}

void
md_ledger_record_contact (MdLedger *ledger, uint64_t entry, MdTime now)
{
  if (entry != 0 && entry == ledger->owner)
    ledger->owner_last_contact = now;
}

void
md_ledger_entry_leaving (MdLedger *ledger, uint64_t entry, MdTime now)
{
  (void)now;
  if (entry != 0 && entry == ledger->owner)
    ledger->owner_leaving = true;
}

void
md_ledger_echo (MdLedger *ledger, uint64_t entry, MdTime nonce, MdTime now)
{
  MdTime until = nonce + ledger->tuning.guard_lease;

  if (entry == 0 || entry != ledger->owner || nonce > now)
    return;
  if (until > ledger->lease_until)
    ledger->lease_until = until;
}

uint64_t
md_ledger_owner (const MdLedger *ledger)
{
  return ledger->owner;
}

/* ------------------------------------------------------------------ */
/* Starts                                                             */

static void
known_start_result (const MdLedgerRecord *record, const MdStartRequest *request,
                    MdStartResult *result)
{
  if (!md_key_equal (record->fingerprint, request->fingerprint))
    *result = (MdStartResult){ .kind = MD_START_REFUSED, .reason = MD_REASON_KEY_REUSED };
  else if (record->state != MD_RECORD_REFUSED)
    *result = (MdStartResult){ .kind = MD_START_DUPLICATE, .state = record->state };
  else
    *result = (MdStartResult){
      .kind = MD_START_REFUSED,
      .reason = record->job->cancelled ? MD_REASON_CANCELLED : MD_REASON_REFUSED_BEFORE,
    };
}

/* Reasons that hold for this start for ever and need no record. A nonce older
   than the horizon may belong to a task whose record has expired, so that
   refusal has a reason of its own that proves nothing. */
static MdReason
permanent_refusal (const MdLedger *ledger, const MdStartRequest *request, MdTime now)
{
  MdTime age = now - request->nonce;

  if (request->guard != ledger->incarnation)
    return MD_REASON_WRONG_INCARNATION;
  if (age >= ledger->tuning.horizon)
    return MD_REASON_EXPIRED;
  if (age > ledger->tuning.start_max_age || request->nonce <= ledger->nonce_floor)
    return MD_REASON_TOO_OLD;
  if (md_ledger_fenced (ledger, request->owner))
    return MD_REASON_FENCED;
  if (request->owner == 0 || request->owner != ledger->owner)
    return MD_REASON_NOT_ATTACHED;
  if (request->nonce < ledger->attached_at)
    return MD_REASON_TOO_OLD;
  return ledger->leaving ? MD_REASON_LEAVING : MD_REASON_NONE;
}

static bool
bytes_exceeded (const MdLedger *ledger, uint64_t more)
{
  uint64_t used = ledger->answer_bytes + ledger->body_bytes;

  return used >= ledger->tuning.ledger_bytes || more > ledger->tuning.ledger_bytes - used;
}

/* Reasons that may pass; the refused task is remembered. A nonce from the future
   was never issued here. */
static MdReason
transient_refusal (const MdLedger *ledger, const MdStartRequest *request, MdTime now)
{
  if (request->nonce > now)
    return MD_REASON_TOO_OLD;
  if (now >= ledger->lease_until)
    return MD_REASON_LEASE_EXPIRED;
  if (bytes_exceeded (ledger, request->body_bytes))
    return MD_REASON_FULL;
  return MD_REASON_NONE;
}

static MdReason
check_new_start (MdLedger *ledger, const MdStartRequest *request, MdTime now)
{
  const MdLedgerJob *job = md_ledger_find_job (ledger, request->key);
  MdReason reason = permanent_refusal (ledger, request, now);
  MdLedgerRecord *record;

  if (reason != MD_REASON_NONE)
    return reason;
  if (job && job->cancelled)
    return MD_REASON_CANCELLED;
  reason = transient_refusal (ledger, request, now);
  if (reason == MD_REASON_NONE)
    {
      record = md_ledger_add_record (ledger, request->key, request->fingerprint, request->task,
                                     request->n_tasks);
      if (record)
        {
          record->owner = request->owner;
          record->body_bytes = request->body_bytes;
          ledger->body_bytes += request->body_bytes;
          return MD_REASON_NONE;
        }
      reason = MD_REASON_FULL;
    }
  md_ledger_record_refusal (ledger, request->key, request->fingerprint, request->task,
                            request->n_tasks, reason, now);
  return reason;
}

void
md_ledger_start (MdLedger *ledger, const MdStartRequest *request, MdTime now, MdStartResult *result)
{
  const MdLedgerRecord *record = md_ledger_find_record (ledger, request->key, request->task);
  MdReason reason;

  if (record)
    {
      known_start_result (record, request, result);
      return;
    }
  reason = check_new_start (ledger, request, now);
  *result = (MdStartResult){
    .kind = reason == MD_REASON_NONE ? MD_START_RUN : MD_START_REFUSED,
    .reason = reason,
  };
}

static MdReason
begin_refusal (const MdLedger *ledger, const MdLedgerRecord *record, MdTime now)
{
  if (record->job->cancelled)
    return MD_REASON_CANCELLED;
  if (md_ledger_fenced (ledger, record->owner))
    return MD_REASON_FENCED;
  if (record->owner != ledger->owner)
    return MD_REASON_NOT_ATTACHED;
  if (now >= ledger->lease_until)
    return MD_REASON_LEASE_EXPIRED;
  return MD_REASON_NONE;
}

MdReason
md_ledger_begin (MdLedger *ledger, MdKey key, uint32_t task, MdTime now)
{
  MdLedgerRecord *record = md_ledger_find_record (ledger, key, task);
  MdReason reason;

  if (record == NULL)
    return MD_REASON_REFUSED_BEFORE;
  if (record->state == MD_RECORD_REFUSED)
    return record->reason;
  if (record->state != MD_RECORD_RUNNING || record->started)
    return MD_REASON_REFUSED_BEFORE;
  reason = begin_refusal (ledger, record, now);
  if (reason == MD_REASON_NONE)
    record->started = true;
  else
    md_ledger_refuse_record (ledger, record, reason, now);
  return reason;
}

void
md_ledger_finish (MdLedger *ledger, MdKey key, uint32_t task, MdRecordState state,
                  uint64_t answer_bytes, MdTime now)
{
  MdLedgerRecord *record = md_ledger_find_record (ledger, key, task);

  if (record == NULL || record->state != MD_RECORD_RUNNING || state == MD_RECORD_RUNNING)
    return;
  if (state == MD_RECORD_REFUSED)
    {
      md_ledger_refuse_record (ledger, record, MD_REASON_UPSTREAM_ERROR, now);
      return;
    }
  md_ledger_release_body (ledger, record);
  record->started = true;
  record->state = state == MD_RECORD_RELEASED ? MD_RECORD_OK : state;
  record->answer_bytes = answer_bytes;
  ledger->answer_bytes += answer_bytes;
  if (record->job->released || state == MD_RECORD_RELEASED)
    md_ledger_release_record (ledger, record);
  md_ledger_expiry_append (ledger, record, now);
}

/* ------------------------------------------------------------------ */
/* Cancel, release, query                                             */

/* Without space for the record, starts that were sent so far are refused by their
   nonce; the owner that cancelled sends no others. */
static void
record_cancellation (MdLedger *ledger, MdKey key, MdTime now)
{
  MdLedgerJob *job = md_ledger_find_job (ledger, key);
  MdLedgerCancellation *mark;

  if (job && job->cancelled)
    return;
  mark = md_ledger_has_capacity (ledger) ? calloc (1, sizeof *mark) : NULL;
  if (mark && job == NULL)
    job = md_ledger_get_job (ledger, key);
  if (mark == NULL || job == NULL)
    {
      free (mark);
      ledger->nonce_floor = now;
      return;
    }
  job->cancelled = true;
  job->cancel_expires = now + md_ledger_retention (ledger);
  mark->job = job;
  if (ledger->cancels_last)
    ledger->cancels_last->next = mark;
  else
    ledger->cancels_first = mark;
  ledger->cancels_last = mark;
  ledger->n_cancels++;
}

void
md_ledger_cancel (MdLedger *ledger, MdKey key, MdTime now, MdCancelResult *result)
{
  MdLedgerJob *job;

  *result = (MdCancelResult){ 0 };
  record_cancellation (ledger, key, now);
  job = md_ledger_find_job (ledger, key);
  for (MdLedgerRecord *record = job ? job->records : NULL; record; record = record->job_next)
    {
      if (record->state == MD_RECORD_RUNNING && !record->started)
        md_ledger_refuse_record (ledger, record, MD_REASON_CANCELLED, now);
      if (record->state == MD_RECORD_REFUSED)
        result->not_run++;
      else if (record->state == MD_RECORD_RUNNING)
        result->running++;
      else
        result->done++;
    }
}

void
md_ledger_release (MdLedger *ledger, MdKey key, MdTime now)
{
  MdLedgerJob *job = md_ledger_find_job (ledger, key);

  (void)now;
  if (job == NULL)
    return;
  job->released = true;
  for (MdLedgerRecord *record = job->records; record; record = record->job_next)
    if (md_ledger_has_answer (record))
      md_ledger_release_record (ledger, record);
}

MdRecordState
md_ledger_query (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task, uint32_t n_tasks,
                 MdTime now)
{
  const MdLedgerRecord *record = md_ledger_find_record (ledger, key, task);

  if (record)
    return record->state;
  md_ledger_record_refusal (ledger, key, fingerprint, task, n_tasks, MD_REASON_REFUSED_BEFORE, now);
  return MD_RECORD_REFUSED;
}

/* ------------------------------------------------------------------ */
/* Leaving, iteration, time                                           */

void
md_ledger_leave (MdLedger *ledger, MdTime now)
{
  (void)now;
  ledger->leaving = true;
}

/* The cursor is a slot number, and a record keeps its slot for life. Records may
   therefore come and go between calls without others being missed. */
size_t
md_ledger_records (const MdLedger *ledger, size_t *cursor, MdRecord *out, size_t max)
{
  size_t n = 0;

  for (; *cursor < ledger->n_slots && n < max; (*cursor)++)
    {
      const MdLedgerRecord *record = ledger->slots[*cursor];

      if (record == NULL)
        continue;
      out[n++] = (MdRecord){
        .key = record->key,
        .fingerprint = record->fingerprint,
        .task = record->task,
        .n_tasks = record->n_tasks,
        .state = record->state,
        .guard = ledger->incarnation,
      };
    }
  return n;
}

bool
md_ledger_next_dropped (MdLedger *ledger, MdKey *key, uint32_t *task)
{
  MdLedgerRecord *record = ledger->drop_first;

  if (record == NULL)
    return false;
  ledger->drop_first = record->drop_next;
  if (ledger->drop_first == NULL)
    ledger->drop_last = NULL;
  *key = record->key;
  *task = record->task;
  record->in_drop_queue = false;
  if (record->removed)
    free (record);
  return true;
}

static void
expire_cancellation (MdLedger *ledger, MdLedgerCancellation *mark)
{
  MdLedgerJob *job = mark->job;

  ledger->cancels_first = mark->next;
  if (mark->next == NULL)
    ledger->cancels_last = NULL;
  ledger->n_cancels--;
  job->cancelled = false;
  free (mark);
  md_ledger_free_job_if_empty (ledger, job);
}

void
md_ledger_tick (MdLedger *ledger, MdTime now)
{
  while (ledger->expiry_first && ledger->expiry_first->expires <= now)
    md_ledger_remove_record (ledger, ledger->expiry_first);
  while (ledger->cancels_first && ledger->cancels_first->job->cancel_expires <= now)
    expire_cancellation (ledger, ledger->cancels_first);
}

void
md_ledger_stats (const MdLedger *ledger, MdLedgerStats *stats)
{
  *stats = (MdLedgerStats){
    .records = (uint32_t)(ledger->records.count - ledger->n_tombstones),
    .tombstones = (uint32_t)ledger->n_tombstones,
    .fences = (uint32_t)ledger->n_fences,
    .answer_bytes = ledger->answer_bytes,
    .lease_until = ledger->lease_until,
  };
}
