/* retry.c -- retry budget

   Retries multiply the load exactly when the upstreams are in trouble. A token
   bucket bounds them to a fixed share of first attempts: each first attempt
   deposits a fraction of a token, each retry takes a whole one. The bucket
   starts full, so that a quiet pool can still retry. */

#include "dispatch-private.h"

void
md_retry_init (MdRetryBudget *budget, const MdTuning *tuning)
{
  budget->deposit = tuning->retry_deposit;
  budget->burst = tuning->retry_burst;
  budget->tokens = budget->burst;
}

void
md_retry_deposit (MdRetryBudget *budget)
{
  budget->tokens += budget->deposit;
  if (budget->tokens > budget->burst)
    budget->tokens = budget->burst;
}

bool
md_retry_withdraw (MdRetryBudget *budget)
{
  if (budget->tokens < 1.0)
    return false;
  budget->tokens -= 1.0;
  return true;
}
