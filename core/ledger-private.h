/* ledger-private.h -- state of a ledger, shared by ledger.c and ledger-records.c */

#ifndef MD_LEDGER_PRIVATE_H
#define MD_LEDGER_PRIVATE_H

#include "md-base.h"

typedef struct MdLedgerNode MdLedgerNode;

struct MdLedgerNode
{
  MdLedgerNode *next; /* in the bucket */
  uint64_t hash;      /* full hash */
};

typedef struct
{
  MdLedgerNode **buckets; /* n_buckets chains */
  size_t n_buckets;       /* power of two */
  size_t count;           /* nodes */
} MdLedgerTable;

typedef struct MdLedgerRecord MdLedgerRecord;

typedef struct
{
  MdLedgerNode node;       /* in the job table; must be first */
  MdKey key;               /* submission */
  MdLedgerRecord *records; /* tasks of this job at this guard */
  bool cancelled;          /* later starts are refused */
  bool released;           /* answers that still arrive are dropped at once */
  MdTime cancel_expires;   /* end of the cancellation's memory */
} MdLedgerJob;

/* A cancellation in the queue ordered by expiry. */
typedef struct MdLedgerCancellation
{
  MdLedgerJob *job;
  struct MdLedgerCancellation *next;
} MdLedgerCancellation;

struct MdLedgerRecord
{
  MdLedgerNode node;           /* in the record table; must be first */
  MdLedgerJob *job;            /* owner of the list below */
  MdLedgerRecord *job_prev;    /* in the job's list */
  MdLedgerRecord *job_next;    /* in the job's list */
  MdLedgerRecord *expiry_prev; /* in the expiry queue */
  MdLedgerRecord *expiry_next; /* in the expiry queue */
  MdLedgerRecord *drop_next;   /* in the queue of answers to free */
  MdKey key;                   /* submission */
  MdKey fingerprint;           /* of the submission */
  uint64_t owner;              /* incarnation that sent the start */
  uint64_t answer_bytes;       /* retained */
  uint64_t body_bytes;         /* request body held until the task ends */
  MdTime expires;              /* when it is forgotten; unused while running */
  size_t slot;                 /* index in the slot array */
  uint32_t task;               /* index of the task */
  uint32_t n_tasks;            /* tasks of the submission */
  MdRecordState state;         /* as reported */
  MdReason reason;             /* why it was refused */
  bool started;                /* handed to the upstream */
  bool in_expiry_queue;        /* in the expiry queue */
  bool in_drop_queue;          /* in the queue of answers to free */
  bool removed;                /* free it once it has left the drop queue */
};

struct MdLedger
{
  MdTuning tuning;                     /* bounds and times */
  uint64_t incarnation;                /* incarnation of this guard */
  uint64_t owner;                      /* attached entry, 0 none */
  bool owner_leaving;                  /* it announced that it leaves */
  MdTime owner_last_contact;           /* last time anything came from it */
  MdTime attached_at;                  /* older nonces belong to an earlier owner */
  MdTime lease_until;                  /* starts are accepted before this time */
  MdTime nonce_floor;                  /* starts with a nonce up to this one are refused, -1 none */
  bool leaving;                        /* refuse new starts */
  uint64_t *fences;                    /* open addressing, 0 empty */
  size_t fences_cap;                   /* power of two */
  size_t n_fences;                     /* fenced incarnations */
  MdLedgerTable jobs;                  /* Job by key */
  MdLedgerTable records;               /* Record by key and task */
  MdLedgerRecord **slots;              /* all records, NULL in free places */
  size_t n_slots;                      /* places in use so far */
  size_t cap_slots;                    /* places allocated */
  size_t *free_slots;                  /* stack of free places, cap_slots long */
  size_t n_free_slots;                 /* on the stack */
  MdLedgerRecord *expiry_first;        /* expires first */
  MdLedgerRecord *expiry_last;         /* expires last */
  MdLedgerCancellation *cancels_first; /* expires first */
  MdLedgerCancellation *cancels_last;  /* expires last */
  size_t n_cancels;                    /* cancellations remembered */
  MdLedgerRecord *drop_first;          /* answers to free */
  MdLedgerRecord *drop_last;           /* answers to free */
  size_t n_tombstones;                 /* records whose answer was released */
  uint64_t answer_bytes;               /* retained answers */
  uint64_t body_bytes;                 /* request bodies of accepted tasks */
};

MdLedgerJob *md_ledger_find_job (const MdLedger *ledger, MdKey key);
MdLedgerRecord *md_ledger_find_record (const MdLedger *ledger, MdKey key, uint32_t task);
bool md_ledger_reserve_fences (MdLedger *ledger, size_t n);
void md_ledger_add_fence (MdLedger *ledger, uint64_t entry);
void md_ledger_free_nodes (MdLedgerTable *table);
MdTime md_ledger_retention (const MdLedger *ledger);
void md_ledger_free_job_if_empty (MdLedger *ledger, MdLedgerJob *job);
MdLedgerJob *md_ledger_get_job (MdLedger *ledger, MdKey key);
bool md_ledger_has_capacity (const MdLedger *ledger);
MdLedgerRecord *md_ledger_add_record (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                                      uint32_t n_tasks);
void md_ledger_expiry_append (MdLedger *ledger, MdLedgerRecord *record, MdTime now);
bool md_ledger_has_answer (const MdLedgerRecord *record);
void md_ledger_remove_record (MdLedger *ledger, MdLedgerRecord *record);
void md_ledger_release_body (MdLedger *ledger, MdLedgerRecord *record);
void md_ledger_refuse_record (MdLedger *ledger, MdLedgerRecord *record, MdReason reason,
                              MdTime now);
void md_ledger_record_refusal (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                               uint32_t n_tasks, MdReason reason, MdTime now);
void md_ledger_release_record (MdLedger *ledger, MdLedgerRecord *record);

#endif
