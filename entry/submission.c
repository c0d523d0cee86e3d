/* submission.c -- submissions, results and futures that cross threads

   They are counted references with atomic counters. A submission is immutable
   once finalized and a result once it is shared, so that readers need no lock; only
   the hand-over of a result through a future uses one. */

#include "entry-private.h"

#include <time.h>
#include <xxhash.h>

static void
free_headers (MdHeader *headers, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
  free (headers);
}

MdSubmission *
md_submission_new (uint32_t n_tasks)
{
  MdSubmission *sub = calloc (1, sizeof *sub);

  if (sub == NULL)
    return NULL;
  sub->refs = 1;
  sub->n_tasks = n_tasks;
  sub->tasks = calloc (n_tasks ? n_tasks : 1, sizeof *sub->tasks);
  if (sub->tasks == NULL)
    {
      free (sub);
      return NULL;
    }
  return sub;
}

MdSubmission *
md_submission_ref (MdSubmission *sub)
{
  atomic_fetch_add (&sub->refs, 1);
  return sub;
}

void
md_submission_unref (MdSubmission *sub)
{
  if (sub == NULL || atomic_fetch_sub (&sub->refs, 1) != 1)
    return;
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    {
      MdTaskBody *task = &sub->tasks[i];
      free (task->method);
      free (task->path);
      free (task->body);
      free_headers (task->headers, task->n_headers);
    }
  free (sub->tasks);
  free (sub);
}

int
md_task_add_header (MdTaskBody *task, MdStr name, MdStr value)
{
  MdHeader *grown = realloc (task->headers, (task->n_headers + 1) * sizeof *grown);

  if (grown == NULL)
    return MD_E_MEMORY;
  task->headers = grown;
  grown[task->n_headers].name = md_str_dup (name);
  grown[task->n_headers].value = md_str_dup (value);
  task->n_headers++;
  return MD_OK;
}

static void
hash_bytes (XXH3_state_t *state, const void *data, size_t len)
{
  uint64_t n = len;

  XXH3_128bits_update (state, &n, sizeof n);
  if (len > 0)
    XXH3_128bits_update (state, data, len);
}

static void
hash_text (XXH3_state_t *state, const char *text)
{
  hash_bytes (state, text, text ? strlen (text) : 0);
}

static void
hash_task (XXH3_state_t *state, const MdTaskBody *task)
{
  hash_text (state, task->method);
  hash_text (state, task->path);
  hash_bytes (state, task->body, task->body_len);
  hash_bytes (state, &task->spec.declared, sizeof task->spec.declared);
  hash_bytes (state, &task->spec.cores, sizeof task->spec.cores);
  hash_bytes (state, &task->spec.memory_mb, sizeof task->spec.memory_mb);
  hash_bytes (state, &task->spec.accelerators, sizeof task->spec.accelerators);
}

void
md_submission_finalize (MdSubmission *sub)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  if (state == NULL)
    abort (); /* a few hundred bytes; without a fingerprint nothing can go on */
  XXH3_128bits_reset (state);
  hash_text (state, sub->customer);
  hash_text (state, sub->pool);
  hash_bytes (state, &sub->single_request, sizeof sub->single_request);
  /* Headers are left out: a resubmission may carry another traceparent. */
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    hash_task (state, &sub->tasks[i]);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  sub->fingerprint = (MdKey){ hash.high64, hash.low64 };
  sub->key = md_key (md_str (sub->customer), md_str (sub->pool), md_str (sub->id));
  if (sub->submitted_ms == 0)
    sub->submitted_ms = md_uuid7_time (md_str (sub->id));
}

const char *
md_state_name (MdState state)
{
  static const char *const names[]
      = { "refused", "running", "done", "failed", "cancelled", "not-found" };

  return (unsigned)state < MD_ARRAY_SIZE (names) ? names[state] : "invalid";
}

MdResult *
md_result_new (MdState state, MdReason reason, MdOutcome outcome)
{
  MdResult *result = calloc (1, sizeof *result);

  if (result == NULL)
    abort (); /* a caller must get an answer; there is no smaller one */
  result->refs = 1;
  result->state = state;
  result->reason = reason;
  result->outcome = outcome;
  return result;
}

MdResult *
md_result_ref (MdResult *result)
{
  atomic_fetch_add (&result->refs, 1);
  return result;
}

void
md_answer_clear (MdTaskAnswer *answer)
{
  free_headers (answer->headers, answer->n_headers);
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}

void
md_answers_free (MdTaskAnswer *answers, uint32_t n)
{
  for (uint32_t i = 0; answers != NULL && i < n; i++)
    md_answer_clear (&answers[i]);
  free (answers);
}

void
md_result_unref (MdResult *result)
{
  if (result == NULL || atomic_fetch_sub (&result->refs, 1) != 1)
    return;
  md_answers_free (result->answers, result->n_answers);
  free (result);
}

int
md_answer_from_wire (MdTaskAnswer *answer, const Md__Answer *wire)
{
  answer->present = true;
  answer->result = (MdTaskResult)wire->result;
  answer->status = wire->status;
  answer->body_len = wire->body.len;
  answer->body = md_str_dup (md_str_n (wire->body.data, wire->body.len));
  answer->headers = calloc (wire->n_headers ? wire->n_headers : 1, sizeof *answer->headers);
  if (answer->body == NULL || answer->headers == NULL)
    return MD_E_MEMORY;
  for (size_t i = 0; i < wire->n_headers; i++)
    {
      answer->headers[i].name = md_str_dup (md_str (wire->headers[i]->name));
      answer->headers[i].value = md_str_dup (md_str (wire->headers[i]->value));
      answer->n_headers++;
      if (answer->headers[i].name == NULL || answer->headers[i].value == NULL)
        return MD_E_MEMORY;
    }
  return MD_OK;
}

MdResultFuture *
md_result_future_new (void)
{
  MdResultFuture *future = calloc (1, sizeof *future);
  pthread_condattr_t attr;

  if (future == NULL)
    return NULL;
  future->refs = 1;
  pthread_mutex_init (&future->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&future->changed, &attr);
  pthread_condattr_destroy (&attr);
  return future;
}

void
md_result_future_unref (MdResultFuture *future)
{
  if (future == NULL || atomic_fetch_sub (&future->refs, 1) != 1)
    return;
  md_result_unref (future->result);
  pthread_cond_destroy (&future->changed);
  pthread_mutex_destroy (&future->lock);
  free (future);
}

void
md_result_future_complete (MdResultFuture *future, MdResult *result)
{
  pthread_mutex_lock (&future->lock);
  if (future->result == NULL)
    future->result = md_result_ref (result);
  pthread_cond_signal (&future->changed);
  pthread_mutex_unlock (&future->lock);
}

MdResult *
md_result_future_wait (MdResultFuture *future, MdTime timeout)
{
  struct timespec until;
  MdResult *result;
  int err = 0;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += timeout / MD_SECOND;
  until.tv_nsec += (timeout % MD_SECOND) * 1000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&future->lock);
  while (future->result == NULL && err == 0)
    err = pthread_cond_timedwait (&future->changed, &future->lock, &until);
  result = future->result ? md_result_ref (future->result) : NULL;
  pthread_mutex_unlock (&future->lock);
  return result;
}
