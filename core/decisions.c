/* decisions.c -- the ring buffer of decisions that the caller has yet to carry out */

#include "dispatch-private.h"

MdDispatchDecision *
md_decision_push (MdDispatch *d, MdDispatchKind kind, const MdJob *job)
{
  MdDispatchDecision *out;

  if (d->n_decisions == d->cap_decisions)
    {
      uint32_t old = d->cap_decisions;

      d->decisions = md_array_reserve (d->decisions, &d->cap_decisions, d->n_decisions + 1,
                                       sizeof *d->decisions);
      /* The ring wrapped at its old size; append the part at its beginning. */
      memcpy (d->decisions + old, d->decisions, d->first_decision * sizeof *d->decisions);
    }
  out = &d->decisions[(d->first_decision + d->n_decisions++) % d->cap_decisions];
  memset (out, 0, sizeof *out);
  out->kind = kind;
  if (job != NULL)
    {
      out->key = job->key;
      out->cookie = job->cookie;
    }
  return out;
}
