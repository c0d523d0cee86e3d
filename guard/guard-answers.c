/* guard-answers.c -- answers that a guard retains until they are released

   The ledger decides how long an answer is kept; this table holds the bytes. All
   answers stand in one list by time of finish, and a cursor marks the first that
   may have to be sent. New answers, answers for a new owner and answers that a
   replaced connection may have lost thus leave by the same walk over the list. */

#include "md-guard.h"

#include <xxhash.h>

#define FIRST_BUCKETS 256

static size_t
bucket_of (const MdAnswers *answers, MdKey key, uint32_t task)
{
  uint64_t fields[3] = { key.hi, key.lo, task };

  return XXH3_64bits (fields, sizeof fields) & (answers->n_buckets - 1);
}

MdRetainedAnswer *
md_answers_find (const MdAnswers *answers, MdKey key, uint32_t task)
{
  MdRetainedAnswer *r;

  if (answers->n_buckets == 0)
    return NULL;
  r = answers->buckets[bucket_of (answers, key, task)];
  while (r != NULL && !(md_key_equal (r->key, key) && r->task == task))
    r = r->chain;
  return r;
}

static bool
grow (MdAnswers *answers)
{
  size_t n = answers->n_buckets ? answers->n_buckets * 2 : FIRST_BUCKETS;
  MdRetainedAnswer **buckets = calloc (n, sizeof (MdRetainedAnswer *));

  if (buckets == NULL)
    return answers->n_buckets > 0; /* longer chains will do */
  free (answers->buckets);
  answers->buckets = buckets;
  answers->n_buckets = n;
  for (MdRetainedAnswer *r = answers->oldest; r != NULL; r = r->next)
    {
      MdRetainedAnswer **place = &buckets[bucket_of (answers, r->key, r->task)];

      r->chain = *place;
      *place = r;
    }
  return true;
}

static void
append (MdAnswers *answers, MdRetainedAnswer *r)
{
  MdRetainedAnswer **place = &answers->buckets[bucket_of (answers, r->key, r->task)];

  r->chain = *place;
  *place = r;
  r->previous = answers->newest;
  if (answers->newest != NULL)
    answers->newest->next = r;
  else
    answers->oldest = r;
  answers->newest = r;
  if (answers->cursor == NULL)
    answers->cursor = r;
  answers->count++;
}

MdRetainedAnswer *
md_answers_add (MdAnswers *answers, Md__Answer *answer, bool once)
{
  MdRetainedAnswer *r = NULL;

  if (answers->count < answers->n_buckets || grow (answers))
    r = calloc (1, sizeof *r);
  if (r == NULL)
    {
      md__answer__free_unpacked (answer, NULL);
      return NULL;
    }
  r->key = (MdKey){ answer->key->hi, answer->key->lo };
  r->task = answer->task;
  r->once = once;
  r->answer = answer;
  append (answers, r);
  return r;
}

void
md_answers_remove (MdAnswers *answers, MdRetainedAnswer *r)
{
  MdRetainedAnswer **place = &answers->buckets[bucket_of (answers, r->key, r->task)];

  while (*place != r)
    place = &(*place)->chain;
  *place = r->chain;
  if (r->previous != NULL)
    r->previous->next = r->next;
  else
    answers->oldest = r->next;
  if (r->next != NULL)
    r->next->previous = r->previous;
  else
    answers->newest = r->previous;
  if (answers->cursor == r)
    answers->cursor = r->next;
  answers->count--;
  md__answer__free_unpacked (r->answer, NULL);
  free (r);
}

void
md_answers_clear (MdAnswers *answers)
{
  for (MdRetainedAnswer *r = answers->oldest, *next; r != NULL; r = next)
    {
      next = r->next;
      md__answer__free_unpacked (r->answer, NULL);
      free (r);
    }
  free (answers->buckets);
  *answers = (MdAnswers){ 0 };
}

Md__Answer *
md_answer_new (MdKey key, uint32_t task, MdTaskResult result, MdReason reason)
{
  Md__Answer *answer = malloc (sizeof *answer);
  Md__Key *wire_key = malloc (sizeof *wire_key);

  if (answer == NULL || wire_key == NULL)
    {
      free (answer);
      free (wire_key);
      return NULL;
    }
  md__answer__init (answer);
  md__key__init (wire_key);
  wire_key->hi = key.hi;
  wire_key->lo = key.lo;
  answer->key = wire_key;
  answer->task = task;
  answer->result = result;
  answer->reason = reason;
  return answer;
}

size_t
md_answer_size (const Md__Answer *answer)
{
  size_t size = sizeof (MdRetainedAnswer) + sizeof *answer + sizeof *answer->key + answer->body.len;

  for (size_t i = 0; i < answer->n_headers; i++)
    size += sizeof (Md__Header) + strlen (answer->headers[i]->name)
            + strlen (answer->headers[i]->value);
  return size;
}
