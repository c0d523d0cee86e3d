/* ledger-records.c -- tables and queues of a ledger

   Records and jobs are in hash tables with chaining. A record is also in the
   list of its job, so that cancel and release touch only that job's tasks, in a
   queue ordered by expiry, so that a tick touches only what expires, and in a
   slot array, so that a reader can continue where it stopped while records come
   and go. */

#include "ledger-private.h"

/* ------------------------------------------------------------------ */
/* Hash tables                                                        */

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  return x;
}

static uint64_t
job_hash (MdKey key)
{
  return mix (key.hi ^ key.lo);
}

static uint64_t
record_hash (MdKey key, uint32_t task)
{
  return mix (key.hi ^ key.lo ^ ((uint64_t)task + 1) * 0x9e3779b97f4a7c15ULL);
}

/* Doubles the table when it is full. A failed allocation leaves longer chains,
   which is slower and still correct, unless there is no table yet. */
static bool
table_reserve (MdLedgerTable *table)
{
  size_t n = table->n_buckets ? table->n_buckets * 2 : 64;
  MdLedgerNode **buckets;

  if (table->count < table->n_buckets)
    return true;
  buckets = calloc (n, sizeof (MdLedgerNode *));
  if (buckets == NULL)
    return table->n_buckets > 0;
  for (size_t i = 0; i < table->n_buckets; i++)
    for (MdLedgerNode *node = table->buckets[i], *next; node; node = next)
      {
        next = node->next;
        node->next = buckets[node->hash & (n - 1)];
        buckets[node->hash & (n - 1)] = node;
      }
  free (table->buckets);
  table->buckets = buckets;
  table->n_buckets = n;
  return true;
}

static MdLedgerNode *
table_chain (const MdLedgerTable *table, uint64_t hash)
{
  return table->n_buckets ? table->buckets[hash & (table->n_buckets - 1)] : NULL;
}

static void
table_insert (MdLedgerTable *table, MdLedgerNode *node, uint64_t hash)
{
  MdLedgerNode **bucket = &table->buckets[hash & (table->n_buckets - 1)];

  node->hash = hash;
  node->next = *bucket;
  *bucket = node;
  table->count++;
}

static void
table_remove (MdLedgerTable *table, MdLedgerNode *node)
{
  MdLedgerNode **place = &table->buckets[node->hash & (table->n_buckets - 1)];

  while (*place != node)
    place = &(*place)->next;
  *place = node->next;
  table->count--;
}

MdLedgerJob *
md_ledger_find_job (const MdLedger *ledger, MdKey key)
{
  uint64_t hash = job_hash (key);

  for (MdLedgerNode *node = table_chain (&ledger->jobs, hash); node; node = node->next)
    if (node->hash == hash && md_key_equal (((MdLedgerJob *)node)->key, key))
      return (MdLedgerJob *)node;
  return NULL;
}

MdLedgerRecord *
md_ledger_find_record (const MdLedger *ledger, MdKey key, uint32_t task)
{
  uint64_t hash = record_hash (key, task);

  for (MdLedgerNode *node = table_chain (&ledger->records, hash); node; node = node->next)
    {
      MdLedgerRecord *record = (MdLedgerRecord *)node;

      if (node->hash == hash && record->task == task && md_key_equal (record->key, key))
        return record;
    }
  return NULL;
}

/* ------------------------------------------------------------------ */
/* Fences                                                             */

bool
md_ledger_fenced (const MdLedger *ledger, uint64_t entry)
{
  size_t mask = ledger->fences_cap - 1;

  if (entry == 0 || ledger->n_fences == 0)
    return false;
  for (size_t i = mix (entry) & mask; ledger->fences[i]; i = (i + 1) & mask)
    if (ledger->fences[i] == entry)
      return true;
  return false;
}

static void
insert_fence (uint64_t *fences, size_t cap, uint64_t entry)
{
  size_t i = mix (entry) & (cap - 1);

  while (fences[i])
    i = (i + 1) & (cap - 1);
  fences[i] = entry;
}

/* Makes room for n more fences, so that an attach either takes all of them or
   none. */
bool
md_ledger_reserve_fences (MdLedger *ledger, size_t n)
{
  size_t cap = ledger->fences_cap ? ledger->fences_cap : 16;
  uint64_t *fences;

  while (cap < 2 * (ledger->n_fences + n + 1))
    cap *= 2;
  if (cap == ledger->fences_cap)
    return true;
  fences = calloc (cap, sizeof *fences);
  if (fences == NULL)
    return false;
  for (size_t i = 0; i < ledger->fences_cap; i++)
    if (ledger->fences[i])
      insert_fence (fences, cap, ledger->fences[i]);
  free (ledger->fences);
  ledger->fences = fences;
  ledger->fences_cap = cap;
  return true;
}

void
md_ledger_add_fence (MdLedger *ledger, uint64_t entry)
{
  if (entry == 0 || md_ledger_fenced (ledger, entry))
    return;
  insert_fence (ledger->fences, ledger->fences_cap, entry);
  ledger->n_fences++;
}

/* ------------------------------------------------------------------ */
/* Records                                                            */

void
md_ledger_free_nodes (MdLedgerTable *table)
{
  for (size_t i = 0; i < table->n_buckets; i++)
    for (MdLedgerNode *node = table->buckets[i], *next; node; node = next)
      {
        next = node->next;
        free (node);
      }
  free (table->buckets);
}

MdTime
md_ledger_retention (const MdLedger *ledger)
{
  return ledger->tuning.horizon + ledger->tuning.clock_error;
}

void
md_ledger_free_job_if_empty (MdLedger *ledger, MdLedgerJob *job)
{
  if (job->records || job->cancelled)
    return;
  table_remove (&ledger->jobs, &job->node);
  free (job);
}

MdLedgerJob *
md_ledger_get_job (MdLedger *ledger, MdKey key)
{
  MdLedgerJob *job = md_ledger_find_job (ledger, key);

  if (job)
    return job;
  if (!table_reserve (&ledger->jobs))
    return NULL;
  job = calloc (1, sizeof *job);
  if (job == NULL)
    return NULL;
  job->key = key;
  table_insert (&ledger->jobs, &job->node, job_hash (key));
  return job;
}

/* The free stack grows with the slot array, so that freeing a slot cannot fail. */
static bool
reserve_slot (MdLedger *ledger)
{
  size_t cap = ledger->cap_slots ? ledger->cap_slots * 2 : 64;
  MdLedgerRecord **slots;
  size_t *free_slots;

  if (ledger->n_free_slots > 0 || ledger->n_slots < ledger->cap_slots)
    return true;
  slots = realloc (ledger->slots, cap * sizeof (MdLedgerRecord *));
  if (slots == NULL)
    return false;
  ledger->slots = slots;
  free_slots = realloc (ledger->free_slots, cap * sizeof *free_slots);
  if (free_slots == NULL)
    return false;
  ledger->free_slots = free_slots;
  ledger->cap_slots = cap;
  return true;
}

bool
md_ledger_has_capacity (const MdLedger *ledger)
{
  return ledger->records.count + ledger->n_cancels < ledger->tuning.ledger_records;
}

static void
link_record (MdLedger *ledger, MdLedgerRecord *record, MdLedgerJob *job)
{
  record->job = job;
  record->job_next = job->records;
  if (job->records)
    job->records->job_prev = record;
  job->records = record;
  record->slot
      = ledger->n_free_slots ? ledger->free_slots[--ledger->n_free_slots] : ledger->n_slots++;
  ledger->slots[record->slot] = record;
  table_insert (&ledger->records, &record->node, record_hash (record->key, record->task));
}

/* A new running record; NULL when the bound is reached or memory runs out. */
MdLedgerRecord *
md_ledger_add_record (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                      uint32_t n_tasks)
{
  MdLedgerRecord *record;
  MdLedgerJob *job;

  if (!md_ledger_has_capacity (ledger) || !reserve_slot (ledger)
      || !table_reserve (&ledger->records))
    return NULL;
  record = calloc (1, sizeof *record);
  if (record == NULL)
    return NULL;
  job = md_ledger_get_job (ledger, key);
  if (job == NULL)
    {
      free (record);
      return NULL;
    }
  record->key = key;
  record->fingerprint = fingerprint;
  record->task = task;
  record->n_tasks = n_tasks;
  record->state = MD_RECORD_RUNNING;
  link_record (ledger, record, job);
  return record;
}

static void
expiry_remove (MdLedger *ledger, MdLedgerRecord *record)
{
  if (!record->in_expiry_queue)
    return;
  if (record->expiry_prev)
    record->expiry_prev->expiry_next = record->expiry_next;
  else
    ledger->expiry_first = record->expiry_next;
  if (record->expiry_next)
    record->expiry_next->expiry_prev = record->expiry_prev;
  else
    ledger->expiry_last = record->expiry_prev;
  record->in_expiry_queue = false;
}

/* Starts the clock of a record that has ended. Time never runs backwards, so
   appending keeps the queue in order. */
void
md_ledger_expiry_append (MdLedger *ledger, MdLedgerRecord *record, MdTime now)
{
  expiry_remove (ledger, record);
  record->expires = now + md_ledger_retention (ledger);
  record->expiry_next = NULL;
  record->expiry_prev = ledger->expiry_last;
  if (ledger->expiry_last)
    ledger->expiry_last->expiry_next = record;
  else
    ledger->expiry_first = record;
  ledger->expiry_last = record;
  record->in_expiry_queue = true;
}

static void
drop_answer (MdLedger *ledger, MdLedgerRecord *record)
{
  ledger->answer_bytes -= record->answer_bytes;
  record->answer_bytes = 0;
  record->drop_next = NULL;
  if (ledger->drop_last)
    ledger->drop_last->drop_next = record;
  else
    ledger->drop_first = record;
  ledger->drop_last = record;
  record->in_drop_queue = true;
}

static void
unlink_record (MdLedger *ledger, MdLedgerRecord *record)
{
  MdLedgerJob *job = record->job;

  if (record->job_prev)
    record->job_prev->job_next = record->job_next;
  else
    job->records = record->job_next;
  if (record->job_next)
    record->job_next->job_prev = record->job_prev;
  ledger->slots[record->slot] = NULL;
  ledger->free_slots[ledger->n_free_slots++] = record->slot;
  table_remove (&ledger->records, &record->node);
  md_ledger_free_job_if_empty (ledger, job);
}

bool
md_ledger_has_answer (const MdLedgerRecord *record)
{
  return record->state == MD_RECORD_OK || record->state == MD_RECORD_FAILED
         || record->state == MD_RECORD_BROKEN;
}

void
md_ledger_remove_record (MdLedger *ledger, MdLedgerRecord *record)
{
  expiry_remove (ledger, record);
  if (record->state == MD_RECORD_RELEASED)
    ledger->n_tombstones--;
  if (md_ledger_has_answer (record))
    drop_answer (ledger, record);
  unlink_record (ledger, record);
  if (record->in_drop_queue)
    record->removed = true;
  else
    free (record);
}

void
md_ledger_release_body (MdLedger *ledger, MdLedgerRecord *record)
{
  ledger->body_bytes -= record->body_bytes;
  record->body_bytes = 0;
}

void
md_ledger_refuse_record (MdLedger *ledger, MdLedgerRecord *record, MdReason reason, MdTime now)
{
  md_ledger_release_body (ledger, record);
  record->state = MD_RECORD_REFUSED;
  record->reason = reason;
  md_ledger_expiry_append (ledger, record, now);
}

/* Remembers that a task was refused, or refuses everything sent so far when
   there is no room for that. */
void
md_ledger_record_refusal (MdLedger *ledger, MdKey key, MdKey fingerprint, uint32_t task,
                          uint32_t n_tasks, MdReason reason, MdTime now)
{
  MdLedgerRecord *record = md_ledger_add_record (ledger, key, fingerprint, task, n_tasks);

  if (record)
    md_ledger_refuse_record (ledger, record, reason, now);
  else
    ledger->nonce_floor = now;
}

void
md_ledger_release_record (MdLedger *ledger, MdLedgerRecord *record)
{
  drop_answer (ledger, record);
  record->state = MD_RECORD_RELEASED;
  ledger->n_tombstones++;
}
