/* ledger-private.h -- state of a ledger, shared by ledger.c and ledger-records.c */

#ifndef MD_LEDGER_PRIVATE_H
#define MD_LEDGER_PRIVATE_H

#include "md-base.h"

typedef struct MdLedgerNode MdLedgerNode;

/* Intrusive node of a hash table. */
struct MdLedgerNode
{
  MdLedgerNode *next; /* in the same bucket */
  uint64_t hash;
};

typedef struct
{
  MdLedgerNode **buckets; /* n_buckets chains; NULL before the first insertion */
  size_t n_buckets;       /* power of two */
  size_t count;           /* of nodes */
} MdLedgerTable;

typedef struct MdLedgerRecord MdLedgerRecord;

/* A job of which tasks or a cancellation are recorded. It is freed once it has neither. */
typedef struct
{
  MdLedgerNode node;       /* in the job table; must be first */
  MdKey key;               /* of the submission */
  MdLedgerRecord *records; /* tasks of this job at this guard, linked by job_next */
  bool cancelled;          /* later starts are refused */
  bool released;           /* answers that arrive later are dropped at once */
  MdTime cancel_expires;   /* end of the retention of the cancellation */
} MdLedgerJob;

/* Entry of the queue of cancellations, ordered by expiry. */
typedef struct MdLedgerCancellation
{
  MdLedgerJob *job;
  struct MdLedgerCancellation *next;
} MdLedgerCancellation;

struct MdLedgerRecord
{
  MdLedgerNode node;        /* in the record table; must be first */
  MdLedgerJob *job;         /* never NULL while the record is in the table */
  MdLedgerRecord *job_prev; /* in job->records */
  MdLedgerRecord *job_next;
  MdLedgerRecord *expiry_prev; /* in the expiry queue */
  MdLedgerRecord *expiry_next;
  MdLedgerRecord *drop_next; /* in the queue of answers to free */
  MdKey key;                 /* of the submission */
  MdKey fingerprint;         /* of the submission */
  uint64_t owner;            /* incarnation of the entry that sent the start */
  uint64_t answer_bytes;     /* retained answer, 0 without one */
  uint64_t body_bytes;       /* request body, held until the task ends */
  MdTime expires;            /* when the record is removed; unset while running */
  size_t slot;               /* index in MdLedger.slots, constant */
  uint32_t task;             /* index in the submission */
  uint32_t n_tasks;          /* of the submission */
  MdRecordState state;
  MdReason reason; /* of a refusal */
  bool started;    /* passed to the upstream */
  bool in_expiry_queue;
  bool in_drop_queue;
  bool removed; /* removed from the tables while in the drop queue, whose reader frees it */
};

struct MdLedger
{
  MdTuning tuning;
  uint64_t incarnation; /* of this guard */
  uint64_t owner;       /* incarnation of the attached entry, 0 none */
  bool owner_leaving;   /* the owner announced that it leaves */
  MdTime owner_last_contact;
  MdTime attached_at; /* older nonces were issued to an earlier owner */
  MdTime lease_until; /* starts are refused from this time on */
  MdTime nonce_floor; /* starts with a nonce up to this one are refused, -1 none */
  bool leaving;       /* new starts are refused */
  uint64_t *fences;   /* fenced incarnations, hash set with open addressing, 0 empty */
  size_t fences_cap;  /* power of two */
  size_t n_fences;
  MdLedgerTable jobs;     /* MdLedgerJob by key */
  MdLedgerTable records;  /* MdLedgerRecord by key and task */
  MdLedgerRecord **slots; /* all records in the table, NULL in free slots */
  size_t n_slots;         /* used so far, including freed ones */
  size_t cap_slots;
  size_t *free_slots; /* stack of free slot indices, cap_slots long */
  size_t n_free_slots;
  MdLedgerRecord *expiry_first; /* ended records, earliest expiry first */
  MdLedgerRecord *expiry_last;
  MdLedgerCancellation *cancels_first; /* earliest expiry first */
  MdLedgerCancellation *cancels_last;
  size_t n_cancels;
  MdLedgerRecord *drop_first; /* records whose answers the caller has to free */
  MdLedgerRecord *drop_last;
  size_t n_tombstones;   /* records in state RELEASED */
  uint64_t answer_bytes; /* retained answers */
  uint64_t body_bytes;   /* request bodies of accepted tasks */
};

/* Look-ups; NULL when not found. */
MdLedgerJob *md_ledger_find_job (const MdLedger *ledger, MdKey key);
MdLedgerRecord *md_ledger_find_record (const MdLedger *ledger, MdKey key, uint32_t task);
/* md_ledger_reserve_fences: makes room for n more fences, so that an attach applies
   all of its fences or none. Returns false when out of memory. */
bool md_ledger_reserve_fences (MdLedger *ledger, size_t n);
/* md_ledger_add_fence: adds a fence, for which room must be reserved; 0 and known
   ones are ignored. */
void md_ledger_add_fence (MdLedger *ledger, uint64_t entry);
/* md_ledger_free_nodes: frees the nodes and buckets of a table. */
void md_ledger_free_nodes (MdLedgerTable *table);
/* md_ledger_retention: how long an ended record or a cancellation is kept. */
MdTime md_ledger_retention (const MdLedger *ledger);
void md_ledger_free_job_if_empty (MdLedger *ledger, MdLedgerJob *job);
/* md_ledger_get_job: finds or adds a job; NULL when out of memory. */
MdLedgerJob *md_ledger_get_job (MdLedger *ledger, MdKey key);
/* md_ledger_has_capacity: whether one more record or cancellation is within ledger_records. */
bool md_ledger_has_capacity (const MdLedger *ledger);
/* md_ledger_add_record: adds a running record; NULL when the limit is reached or
   memory runs out. */
MdLedgerRecord *md_ledger_add_record (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                                      uint32_t n_tasks);
/* md_ledger_expiry_append: starts or restarts the retention of a record that has ended. */
void md_ledger_expiry_append (MdLedger *ledger, MdLedgerRecord *record, MdTime now);
/* md_ledger_has_answer: whether the answer is still retained. */
bool md_ledger_has_answer (const MdLedgerRecord *record);
/* md_ledger_remove_record: removes a record from all tables; it is freed now or, if
   its answer is to be dropped, by md_ledger_next_dropped. */
void md_ledger_remove_record (MdLedger *ledger, MdLedgerRecord *record);
/* md_ledger_release_body: the request body no longer counts towards ledger_bytes. */
void md_ledger_release_body (MdLedger *ledger, MdLedgerRecord *record);
/* md_ledger_refuse_record: marks a record as refused and starts its retention. */
void md_ledger_refuse_record (MdLedger *ledger, MdLedgerRecord *record, MdReason reason,
                              MdTime now);
/* md_ledger_record_refusal: records that a task was refused, or raises nonce_floor
   when there is no room for the record. */
void md_ledger_record_refusal (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                               uint32_t n_tasks, MdReason reason, MdTime now);
/* md_ledger_release_record: drops the answer of a record and keeps it as a tombstone. */
void md_ledger_release_record (MdLedger *ledger, MdLedgerRecord *record);

#endif
