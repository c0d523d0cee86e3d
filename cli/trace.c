/* trace.c -- recording of the inputs of the dispatch core

   Every input becomes one line "TIME EVENT key=value...", so that a run of a
   daemon can be replayed exactly with "mulberrydrift replay". Starts are chosen
   when decisions are taken out, so the moment of doing so is an input too and is
   recorded as "drain". Bodies are not recorded. */

#include "md-private.h"

#include <inttypes.h>

const char *const md_trace_results[] = {
  [MD_TASK_OK] = "ok",           [MD_TASK_FAILED] = "failed",   [MD_TASK_BROKEN] = "broken",
  [MD_TASK_NOT_RUN] = "not_run", [MD_TASK_UNKNOWN] = "unknown", NULL,
};

const char *const md_trace_states[] = {
  [MD_RECORD_RUNNING] = "running",
  [MD_RECORD_OK] = "ok",
  [MD_RECORD_FAILED] = "failed",
  [MD_RECORD_BROKEN] = "broken",
  [MD_RECORD_REFUSED] = "refused",
  [MD_RECORD_RELEASED] = "released",
  NULL,
};

static void
begin (MdBuf *out, MdTime now, const char *event)
{
  md_buf_printf (out, "%" PRId64 " %s", now, event);
}

static void
end (MdBuf *out)
{
  md_buf_append (out, MD_STR ("\n"));
}

static void
put_number (MdBuf *out, const char *name, int64_t value)
{
  md_buf_printf (out, " %s=%" PRId64, name, value);
}

static void
put_id (MdBuf *out, const char *name, uint64_t value)
{
  md_buf_printf (out, " %s=%" PRIu64, name, value);
}

static void
put_key (MdBuf *out, const char *name, MdKey key)
{
  char text[33];

  md_key_text (key, text);
  md_buf_printf (out, " %s=%s", name, text);
}

/* Separators within a name would split the line; they are replaced. */
static void
put_name (MdBuf *out, const char *name, MdStr value)
{
  md_buf_printf (out, " %s=", name);
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char)value.data[i];
      char kept = c <= ' ' || c == '=' || c == 0x7f ? '_' : (char)c;

      md_buf_append (out, md_str_n (&kept, 1));
    }
}

void
md_trace_begin (MdBuf *out)
{
  md_buf_append (out, MD_STR ("0 mode drain=explicit\n"));
}

void
md_trace_drain (MdBuf *out, MdTime now)
{
  begin (out, now, "drain");
  end (out);
}

void
md_trace_tick (MdBuf *out, MdTime now)
{
  begin (out, now, "tick");
  end (out);
}

static bool
same_task (const MdTaskSpec *a, const MdTaskSpec *b)
{
  return a->declared == b->declared && a->cores == b->cores && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

/* DECLARED[xCOUNT][:CORES:MEMORY_MB:ACCELERATORS], separated by commas. */
static void
put_tasks (MdBuf *out, const MdJobSpec *spec)
{
  md_buf_append (out, MD_STR (" tasks="));
  for (uint32_t i = 0; i < spec->n_tasks;)
    {
      const MdTaskSpec *task = &spec->tasks[i];
      uint32_t n = 1;

      while (i + n < spec->n_tasks && same_task (task, &spec->tasks[i + n]))
        n++;
      md_buf_printf (out, "%s%" PRId64, i > 0 ? "," : "", task->declared);
      if (n > 1)
        md_buf_printf (out, "x%u", n);
      if (task->cores > 0 || task->memory_mb > 0 || task->accelerators > 0)
        md_buf_printf (out, ":%u:%u:%u", task->cores, task->memory_mb, task->accelerators);
      i += n;
    }
}

void
md_trace_submit (MdBuf *out, const MdJobSpec *spec, MdTime now, int64_t wall_ms)
{
  begin (out, now, "submit");
  put_key (out, "key", spec->key);
  put_key (out, "fingerprint", spec->fingerprint);
  put_name (out, "customer", spec->customer);
  put_tasks (out, spec);
  put_number (out, "deadline", spec->deadline);
  put_number (out, "submitted_ms", spec->submitted_ms);
  put_number (out, "wall_ms", wall_ms);
  put_number (out, "single", spec->single_request);
  put_number (out, "repeatable", spec->repeatable);
  end (out);
}

void
md_trace_answer (MdBuf *out, uint64_t guard, MdKey key, uint32_t task, MdTaskResult result,
                 MdReason reason, MdTime run, MdTime now)
{
  begin (out, now, "answer");
  put_id (out, "guard", guard);
  put_key (out, "key", key);
  put_number (out, "task", task);
  put_name (out, "result", md_str (md_trace_results[result]));
  put_name (out, "reason", md_str (md_reason_name (reason)));
  put_number (out, "run", run);
  end (out);
}

void
md_trace_cancel (MdBuf *out, MdKey key, MdTime now)
{
  begin (out, now, "cancel");
  put_key (out, "key", key);
  end (out);
}

void
md_trace_recover (MdBuf *out, const MdRecord *record, MdTime now)
{
  begin (out, now, "recover");
  put_key (out, "key", record->key);
  put_key (out, "fingerprint", record->fingerprint);
  put_number (out, "task", record->task);
  put_number (out, "n_tasks", record->n_tasks);
  put_name (out, "state", md_str (md_trace_states[record->state]));
  put_id (out, "guard", record->guard);
  end (out);
}

void
md_trace_guard_up (MdBuf *out, const MdGuardInfo *info, MdTime now)
{
  begin (out, now, "guard_up");
  put_id (out, "guard", info->id);
  put_name (out, "name", info->name);
  put_number (out, "slots", info->slots);
  put_number (out, "cores", info->cores);
  put_number (out, "memory_mb", info->memory_mb);
  put_number (out, "accelerators", info->accelerators);
  put_number (out, "delay", info->delay);
  end (out);
}

void
md_trace_guard_pause (MdBuf *out, uint64_t guard, bool paused, MdTime now)
{
  begin (out, now, "guard_pause");
  put_id (out, "guard", guard);
  put_number (out, "paused", paused);
  end (out);
}

void
md_trace_guard_leaving (MdBuf *out, uint64_t guard, MdTime now)
{
  begin (out, now, "guard_leaving");
  put_id (out, "guard", guard);
  end (out);
}

void
md_trace_guard_lost (MdBuf *out, uint64_t guard, MdTime now)
{
  begin (out, now, "guard_lost");
  put_id (out, "guard", guard);
  end (out);
}

void
md_trace_serve (MdBuf *out, int64_t cut_ms, MdTime now)
{
  begin (out, now, "serve");
  put_number (out, "cut_ms", cut_ms);
  end (out);
}

void
md_trace_suspend (MdBuf *out, MdTime now)
{
  begin (out, now, "suspend");
  end (out);
}

void
md_trace_pool (MdBuf *out, const MdPoolPolicy *policy, MdTime now)
{
  begin (out, now, "pool");
  put_number (out, "max_queue", policy->max_queue);
  put_number (out, "guard_slots", policy->guard_slots);
  put_number (out, "unshared", policy->unshared);
  end (out);
}

void
md_trace_customer (MdBuf *out, MdStr customer, const MdCustomerPolicy *policy, MdTime now)
{
  begin (out, now, "customer");
  put_name (out, "name", customer);
  md_buf_printf (out, " weight=%.17g slot_quota=%.17g", policy->weight, policy->slot_quota);
  put_number (out, "queue_quota", policy->queue_quota);
  end (out);
}
