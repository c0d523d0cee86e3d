/* mulberrydrift-ledger.h -- record of task starts at a guard

   A part of mulberrydrift.h, which has the conventions. */

#ifndef MULBERRYDRIFT_LEDGER_H
#define MULBERRYDRIFT_LEDGER_H

#include "mulberrydrift-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* ------------------------------------------------------------------ */
  /* Ledger: record of task starts at a guard (ledger.c)                */

  /* State of a task in the record of a guard. */
  typedef enum
  {
    MD_RECORD_RUNNING,  /* accepted; an answer will follow */
    MD_RECORD_OK,       /* finished, answer retained */
    MD_RECORD_FAILED,   /* finished with a failure of the task */
    MD_RECORD_BROKEN,   /* started; the connection to the upstream broke or timed out */
    MD_RECORD_REFUSED,  /* never started, never will */
    MD_RECORD_RELEASED, /* finished; the answer has been released */
  } MdRecordState;

  typedef struct
  {
    MdKey key;         /* of the submission */
    MdKey fingerprint; /* of the submission */
    uint32_t task;     /* index in the submission */
    uint32_t n_tasks;  /* of the submission */
    MdRecordState state;
    uint64_t guard; /* incarnation of the guard */
  } MdRecord;

  typedef struct MdLedger MdLedger;

  typedef struct
  {
    bool attached;     /* the sender is the owner now */
    MdReason reason;   /* when refused: MD_REASON_FENCED or MD_REASON_NOT_ATTACHED */
    uint64_t holder;   /* incarnation of the owner after the call, 0 none */
    bool holder_alive; /* refused because the last contact of the holder is recent */
  } MdAttachResult;

  typedef enum
  {
    MD_START_RUN,       /* pass it to the upstream once a slot is free */
    MD_START_DUPLICATE, /* the task is known; see state */
    MD_START_REFUSED,   /* this start never runs; see reason */
  } MdStartKind;

  typedef struct
  {
    MdKey key;           /* of the submission */
    MdKey fingerprint;   /* of the submission */
    uint32_t task;       /* index */
    uint32_t n_tasks;    /* tasks of the submission */
    uint64_t owner;      /* incarnation of the sending entry */
    uint64_t guard;      /* incarnation of the guard that it is meant for */
    MdTime nonce;        /* latest nonce of this guard that the sender has received */
    uint64_t body_bytes; /* of the request body */
  } MdStartRequest;

  typedef struct
  {
    MdStartKind kind;
    MdReason reason;     /* when refused */
    MdRecordState state; /* when duplicate */
  } MdStartResult;

  typedef struct
  {
    uint32_t not_run; /* tasks that will never start */
    uint32_t running; /* tasks passed to the upstream, without an answer yet */
    uint32_t done;    /* tasks that have finished */
  } MdCancelResult;

  /* md_ledger_new: an empty ledger of the guard process with this incarnation. All
   MdTime values are on the clock of the guard, which must advance during system
   suspend (CLOCK_BOOTTIME). */
  MdLedger *md_ledger_new (const MdTuning *tuning, uint64_t incarnation);
  void md_ledger_free (MdLedger *ledger);

  /* md_ledger_attach: an entry requests to become the owner and to fence n
   incarnations. It is refused if it is fenced itself, if another owner is not among
   the fences, or if that owner is not leaving and had contact within fence_after. On
   success all fences are applied, on refusal none. */
  void md_ledger_attach (MdLedger *ledger, uint64_t entry, const uint64_t *fences, size_t n,
                         MdTime now, MdAttachResult *result);

  /* md_ledger_record_contact: a message from an entry was received. */
  void md_ledger_record_contact (MdLedger *ledger, uint64_t entry, MdTime now);
  /* md_ledger_entry_leaving: an entry announced that it leaves; if it is the owner, it
   may be replaced at once. */
  void md_ledger_entry_leaving (MdLedger *ledger, uint64_t entry, MdTime now);

  /* md_ledger_echo: the owner returned a nonce of this guard as covered by its quorum;
   starts are accepted until nonce + guard_lease. */
  void md_ledger_echo (MdLedger *ledger, uint64_t entry, MdTime nonce, MdTime now);

  /* md_ledger_fenced: whether an incarnation is fenced. md_ledger_owner: incarnation
   of the owner, 0 none. */
  bool md_ledger_fenced (const MdLedger *ledger, uint64_t entry);
  uint64_t md_ledger_owner (const MdLedger *ledger);

  /* md_ledger_start: decides on a start. A refusal proves that the task never runs at
   this guard, except with MD_REASON_WRONG_INCARNATION (an earlier process of the
   guard may have run it) and MD_REASON_EXPIRED (its record may have expired), which
   prove nothing. */
  void md_ledger_start (MdLedger *ledger, const MdStartRequest *request, MdTime now,
                        MdStartResult *result);

  /* md_ledger_begin: the last check before a task is sent to the upstream. Returns
   MD_REASON_NONE and marks the task as started, or returns the reason for which it
   never starts. The caller must send the refusal to the current owner, which has
   recovered the task as running if the owner has changed. */
  MdReason md_ledger_begin (MdLedger *ledger, MdKey key, uint32_t task, MdTime now);

  /* md_ledger_finish: the upstream has answered, or the connection to it broke.
   answer_bytes count as retained until the answer is released. MD_RECORD_REFUSED
   means that the upstream provably never received the task. */
  void md_ledger_finish (MdLedger *ledger, MdKey key, uint32_t task, MdRecordState state,
                         uint64_t answer_bytes, MdTime now);

  /* md_ledger_cancel: refuses all tasks of a job that have not started, and its later
   starts until the horizon; counts the tasks by their state. */
  void md_ledger_cancel (MdLedger *ledger, MdKey key, MdTime now, MdCancelResult *result);
  /* md_ledger_release: drops the retained answers of a job and those that arrive later. */
  void md_ledger_release (MdLedger *ledger, MdKey key, MdTime now);

  /* md_ledger_query: returns the state of a task to its owner. An unknown task is
   recorded as refused, so that a start that is still in transit never runs. */
  MdRecordState md_ledger_query (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                                 uint32_t n_tasks, MdTime now);

  /* md_ledger_leave: refuses new starts from now on; accepted tasks still run. */
  void md_ledger_leave (MdLedger *ledger, MdTime now);

  /* md_ledger_records: copies up to max records from position *cursor (0 first) and
   advances it. Returns the number copied, 0 at the end. */
  size_t md_ledger_records (const MdLedger *ledger, size_t *cursor, MdRecord *out, size_t max);

  /* md_ledger_next_dropped: returns the task of an answer that the caller has to free,
   false when there is none. */
  bool md_ledger_next_dropped (MdLedger *ledger, MdKey *key, uint32_t *task);

  /* md_ledger_tick: removes expired records and cancellations. */
  void md_ledger_tick (MdLedger *ledger, MdTime now);

  typedef struct
  {
    uint32_t records;      /* records without tombstones */
    uint32_t tombstones;   /* records whose answer was released, kept until the horizon */
    uint32_t fences;       /* fenced incarnations */
    uint64_t answer_bytes; /* retained */
    MdTime lease_until;    /* when the lease ends, 0 without one */
  } MdLedgerStats;

  void md_ledger_stats (const MdLedger *ledger, MdLedgerStats *stats);

#ifdef __cplusplus
}
#endif

#endif
