/* replay.c -- "mulberrydrift replay TRACE": feeds recorded events to the dispatch
   core and prints its decisions, one key=value line each

   The core reads no clock and draws no random numbers, so the same trace always
   gives the same lines. Traces are recorded by trace.c or written by hand. In a
   hand-written trace decisions are taken out after every event; "task" may be a
   range (0-11) and "guard=*" stands for the guard on which the task was started. */

#include "md-private.h"

#include <errno.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>

#define MAX_FIELDS 16
/* Of times and other numbers, so that sums and products cannot overflow: 31 years in microseconds. */
#define MAX_NUMBER INT64_C (1000000000000000)
#define LAST_TASK 100000u

typedef struct
{
  char *name;  /* within the line */
  char *value; /* within the line */
} Field;

/* Where a task was started last. */
typedef struct
{
  MdKey key;
  uint32_t task;
  uint64_t guard;
} Started;

typedef struct
{
  MdDispatch *core;
  MdTuning tuning;
  const char *path; /* of the trace */
  unsigned line;    /* number of the current line */
  MdTime now;       /* of the current event */
  char *event;      /* name */
  Field fields[MAX_FIELDS];
  size_t n_fields;
  bool explicit_drain; /* decisions are taken out at "drain" only */
  bool failed;         /* a fault was reported */
  Started *started;
  size_t n_started;
  size_t cap_started;
} Replay;

static void
fault (Replay *replay, const char *what, const char *value)
{
  if (!replay->failed)
    fprintf (stderr, "%s:%u: %s \"%s\"\n", replay->path, replay->line, what, value);
  replay->failed = true;
}

/* ------------------------------------------------------------------ */
/* Fields                                                             */

static const char *
text (Replay *replay, const char *name, const char *other)
{
  for (size_t i = 0; i < replay->n_fields; i++)
    if (strcmp (replay->fields[i].name, name) == 0)
      return replay->fields[i].value;
  if (other == NULL)
    {
      fault (replay, "missing field", name);
      return "";
    }
  return other;
}

static int64_t
number (Replay *replay, const char *name, int64_t other)
{
  const char *value = text (replay, name, "");
  char *rest;
  int64_t n;

  if (*value == '\0')
    return other;
  errno = 0;
  n = strtoll (value, &rest, 10);
  if (*rest != '\0' || errno != 0 || n > MAX_NUMBER || n < -MAX_NUMBER)
    fault (replay, "not a number", value);
  return replay->failed ? other : n;
}

static uint64_t
identifier (Replay *replay, const char *name)
{
  const char *value = text (replay, name, NULL);
  char *rest;
  uint64_t n;

  errno = 0;
  n = strtoull (value, &rest, 10);
  if (*rest != '\0' || *value == '\0' || errno != 0)
    fault (replay, "not an identifier", value);
  return n;
}

static double
real (Replay *replay, const char *name, double other)
{
  const char *value = text (replay, name, "");
  char *rest;
  double x;

  if (*value == '\0')
    return other;
  x = strtod (value, &rest);
  if (*rest != '\0')
    fault (replay, "not a number", value);
  return x;
}

/* Up to 32 hexadecimal digits; fewer stand for the low digits. */
static MdKey
key_field (Replay *replay, const char *name, const char *other)
{
  const char *value = text (replay, name, other);
  size_t len = strlen (value);
  MdKey key = { 0, 0 };

  if (len == 0 || len > 32 || strspn (value, "0123456789abcdef") != len)
    fault (replay, "not a key", value);
  for (size_t i = 0; i < len && !replay->failed; i++)
    {
      unsigned digit
          = value[i] <= '9' ? (unsigned)(value[i] - '0') : (unsigned)(value[i] - 'a' + 10);

      key.hi = (key.hi << 4) | (key.lo >> 60);
      key.lo = (key.lo << 4) | digit;
    }
  return key;
}

static int
choice (Replay *replay, const char *name, const char *const *names)
{
  const char *value = text (replay, name, NULL);

  for (int i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], value) == 0)
      return i;
  fault (replay, "unknown value", value);
  return 0;
}

static MdReason
reason_field (Replay *replay)
{
  const char *value = text (replay, "reason", "none");

  for (int i = 0; i < MD_REASON_COUNT; i++)
    if (strcmp (md_reason_name ((MdReason)i), value) == 0)
      return (MdReason)i;
  fault (replay, "unknown reason", value);
  return MD_REASON_NONE;
}

static void
task_range (Replay *replay, uint32_t *first, uint32_t *last)
{
  const char *value = text (replay, "task", "0");
  char *rest;

  *first = *last = (uint32_t)strtoul (value, &rest, 10);
  if (*rest == '-')
    *last = (uint32_t)strtoul (rest + 1, &rest, 10);
  if (*rest != '\0' || *last < *first || *last > LAST_TASK)
    fault (replay, "not a task or range of tasks", value);
}

/* ------------------------------------------------------------------ */
/* Decisions                                                          */

static void
print_key (MdKey key)
{
  if (key.hi != 0)
    printf (" key=%" PRIx64 "%016" PRIx64, key.hi, key.lo);
  else
    printf (" key=%" PRIx64, key.lo);
}

static void
remember_start (Replay *replay, const MdDispatchDecision *decision)
{
  if (replay->n_started == replay->cap_started)
    {
      replay->cap_started = replay->cap_started ? replay->cap_started * 2 : 256;
      replay->started = realloc (replay->started, replay->cap_started * sizeof (Started));
      if (replay->started == NULL)
        abort ();
    }
  replay->started[replay->n_started++]
      = (Started){ decision->key, decision->u.start.task, decision->u.start.guard };
}

static uint64_t
guard_of (const Replay *replay, MdKey key, uint32_t task)
{
  for (size_t i = replay->n_started; i-- > 0;)
    if (md_key_equal (replay->started[i].key, key) && replay->started[i].task == task)
      return replay->started[i].guard;
  return 0;
}

static const char *
end_name (MdJobEnd end)
{
  switch (end)
    {
    case MD_JOB_DONE:
      return "done";
    case MD_JOB_FAILED:
      return "failed";
    default:
      return "cancelled";
    }
}

static void
print_finish (const MdDispatchDecision *d)
{
  printf (" end=%s", end_name (d->u.finish.end));
  if (d->u.finish.end != MD_JOB_DONE)
    printf (" reason=%s outcome=%s task=%u guard=%" PRIu64, md_reason_name (d->u.finish.reason),
            md_outcome_name (d->u.finish.outcome), d->u.finish.task, d->u.finish.guard);
}

static void
print_start (const MdDispatchDecision *d)
{
  printf (" task=%u guard=%" PRIu64 " attempt=%u reason=%s alternatives=%u time_left=%" PRId64,
          d->u.start.task, d->u.start.guard, d->u.start.attempt, md_reason_name (d->u.start.reason),
          d->u.start.alternatives, d->u.start.time_left);
}

static void
print_report (const MdDispatchDecision *d)
{
  printf (" customer=%.*s kind=%s task=%u guard=%" PRIu64 " reason=%s lateness=%" PRId64,
          (int)d->u.report.customer.len, d->u.report.customer.data,
          d->u.report.lost ? "lost" : "late", d->u.report.task, d->u.report.guard,
          md_reason_name (d->u.report.reason), d->u.report.lateness);
}

static void
print_decision (const Replay *replay, const MdDispatchDecision *d)
{
  static const char *const names[]
      = { "start", "finish", "cancel", "release", "forget", "report", "health" };

  printf ("t=%" PRId64 " decision=%s", replay->now, names[d->kind]);
  if (d->kind != MD_DISPATCH_HEALTH)
    print_key (d->key);
  switch (d->kind)
    {
    case MD_DISPATCH_START:
      print_start (d);
      break;
    case MD_DISPATCH_FINISH:
      print_finish (d);
      break;
    case MD_DISPATCH_CANCEL:
      printf (" guard=%" PRIu64, d->u.cancel.guard);
      break;
    case MD_DISPATCH_RELEASE:
      printf (" guard=%" PRIu64, d->u.release.guard);
      break;
    case MD_DISPATCH_REPORT:
      print_report (d);
      break;
    case MD_DISPATCH_HEALTH:
      printf (" guard=%" PRIu64 " usable=%d probation=%d", d->u.health.guard, d->u.health.usable,
              d->u.health.probation);
      break;
    case MD_DISPATCH_FORGET:
      break;
    }
  putchar ('\n');
}

static void
drain (Replay *replay)
{
  MdDispatchDecision decision;

  while (md_dispatch_next (replay->core, replay->now, &decision))
    {
      if (decision.kind == MD_DISPATCH_START)
        remember_start (replay, &decision);
      print_decision (replay, &decision);
    }
}

/* ------------------------------------------------------------------ */
/* Events                                                             */

/* DECLARED[xCOUNT][:CORES:MEMORY_MB:ACCELERATORS], separated by commas. */
static MdTaskSpec *
parse_tasks (Replay *replay, uint32_t *n_tasks)
{
  const char *value = text (replay, "tasks", NULL);
  const char *p = value;
  MdTaskSpec *tasks = NULL;
  uint32_t n = 0;

  while (*p != '\0' && !replay->failed)
    {
      MdTaskSpec task = { 0 };
      long long declared = 0;
      unsigned count = 1;
      int used = 0;
      int more = 0;

      if (sscanf (p, "%lld%n", &declared, &used) != 1)
        break;
      p += used;
      if (sscanf (p, "x%u%n", &count, &more) == 1)
        p += more;
      if (sscanf (p, ":%u:%u:%u%n", &task.cores, &task.memory_mb, &task.accelerators, &more) == 3)
        p += more;
      if (*p == ',')
        p++;
      if (count == 0 || count > LAST_TASK || n + count > LAST_TASK)
        break;
      task.declared = declared;
      tasks = realloc (tasks, (n + count) * sizeof *tasks);
      if (tasks == NULL)
        abort ();
      while (count-- > 0)
        tasks[n++] = task;
    }
  if (*p != '\0' || n == 0)
    fault (replay, "not a list of tasks", value);
  *n_tasks = n;
  return tasks;
}

static void
print_admission (const Replay *replay, MdKey key, const MdAdmission *admission)
{
  static const char *const names[] = { "queued", "attached", "replay", "refused" };

  printf ("t=%" PRId64 " admission=%s", replay->now, names[admission->kind]);
  print_key (key);
  if (admission->kind == MD_ADMIT_REPLAY)
    printf (" done=%d", admission->done);
  if (admission->kind == MD_ADMIT_REFUSED
      || (admission->kind == MD_ADMIT_REPLAY && !admission->done))
    printf (" reason=%s outcome=%s retry_after=%" PRId64, md_reason_name (admission->reason),
            md_outcome_name (admission->outcome), admission->retry_after);
  putchar ('\n');
}

static void
on_submit (Replay *replay)
{
  MdJobSpec spec = { 0 };
  MdAdmission admission;
  md_autofree MdTaskSpec *tasks = parse_tasks (replay, &spec.n_tasks);

  spec.tasks = tasks;
  spec.key = key_field (replay, "key", NULL);
  spec.fingerprint = key_field (replay, "fingerprint", text (replay, "key", NULL));
  spec.customer = md_str (text (replay, "customer", "default"));
  spec.deadline = number (replay, "deadline", replay->now + 60 * MD_SECOND);
  spec.submitted_ms = number (replay, "submitted_ms", 0);
  spec.single_request = number (replay, "single", 0) != 0;
  spec.repeatable = number (replay, "repeatable", 0) != 0;
  if (replay->failed)
    return;
  md_dispatch_submit (replay->core, &spec, replay->now, number (replay, "wall_ms", 0), &admission);
  print_admission (replay, spec.key, &admission);
}

static void
on_answer (Replay *replay)
{
  MdKey key = key_field (replay, "key", NULL);
  bool any = strcmp (text (replay, "guard", "*"), "*") == 0;
  uint64_t guard = any ? 0 : identifier (replay, "guard");
  MdTaskResult result = (MdTaskResult)choice (replay, "result", md_trace_results);
  MdReason reason = reason_field (replay);
  MdTime run = number (replay, "run", 0);
  uint32_t first;
  uint32_t last;

  task_range (replay, &first, &last);
  for (uint32_t task = first; task <= last && !replay->failed; task++)
    {
      uint64_t from = any ? guard_of (replay, key, task) : guard;
      bool kept
          = md_dispatch_answer (replay->core, from, key, task, result, reason, run, replay->now);

      printf ("t=%" PRId64 " answer=%s", replay->now, kept ? "kept" : "dropped");
      print_key (key);
      printf (" task=%u guard=%" PRIu64 "\n", task, from);
      if (!replay->explicit_drain)
        drain (replay);
    }
}

static void
on_cancel (Replay *replay)
{
  MdKey key = key_field (replay, "key", NULL);
  int code = md_dispatch_cancel (replay->core, key, replay->now);

  printf ("t=%" PRId64 " cancel=%s", replay->now, code == MD_OK ? "ok" : "not-found");
  print_key (key);
  putchar ('\n');
}

static void
on_recover (Replay *replay)
{
  MdRecord record = { 0 };
  uint32_t first;
  uint32_t last;

  record.key = key_field (replay, "key", NULL);
  record.fingerprint = key_field (replay, "fingerprint", text (replay, "key", NULL));
  record.n_tasks = (uint32_t)number (replay, "n_tasks", 1);
  record.state = (MdRecordState)choice (replay, "state", md_trace_states);
  record.guard = identifier (replay, "guard");
  task_range (replay, &first, &last);
  for (record.task = first; record.task <= last && !replay->failed; record.task++)
    md_dispatch_recover (replay->core, &record, NULL, NULL, replay->now);
}

static void
on_guard_up (Replay *replay)
{
  MdGuardInfo info = { 0 };

  info.id = identifier (replay, "guard");
  info.name = md_str (text (replay, "name", text (replay, "guard", NULL)));
  info.slots = (uint32_t)number (replay, "slots", 8);
  info.cores = (uint32_t)number (replay, "cores", 64);
  info.memory_mb = (uint32_t)number (replay, "memory_mb", 262144);
  info.accelerators = (uint32_t)number (replay, "accelerators", 0);
  info.delay = number (replay, "delay", 0);
  if (!replay->failed && md_dispatch_guard_up (replay->core, &info, replay->now) != MD_OK)
    fault (replay, "not a guard", text (replay, "guard", NULL));
}

static void
on_guard_pause (Replay *replay)
{
  md_dispatch_guard_pause (replay->core, identifier (replay, "guard"),
                           number (replay, "paused", 1) != 0, replay->now);
}

static void
on_guard_leaving (Replay *replay)
{
  md_dispatch_guard_leaving (replay->core, identifier (replay, "guard"), replay->now);
}

static void
on_guard_lost (Replay *replay)
{
  md_dispatch_guard_lost (replay->core, identifier (replay, "guard"), replay->now);
}

static void
on_serve (Replay *replay)
{
  md_dispatch_serve (replay->core, number (replay, "cut_ms", 0), replay->now);
}

static void
on_suspend (Replay *replay)
{
  md_dispatch_suspend (replay->core, replay->now);
}

static void
on_tick (Replay *replay)
{
  md_dispatch_tick (replay->core, replay->now);
}

static void
on_pool (Replay *replay)
{
  MdPoolPolicy policy = { 0 };

  policy.max_queue = (uint32_t)number (replay, "max_queue", 0);
  policy.guard_slots = (uint32_t)number (replay, "guard_slots", 0);
  policy.unshared = number (replay, "unshared", 0) != 0;
  md_dispatch_set_pool (replay->core, &policy);
}

static void
on_customer (Replay *replay)
{
  MdCustomerPolicy policy = { 0 };

  policy.weight = real (replay, "weight", 1);
  policy.slot_quota = real (replay, "slot_quota", 0);
  policy.queue_quota = (uint32_t)number (replay, "queue_quota", 0);
  md_dispatch_set_customer (replay->core, md_str (text (replay, "name", NULL)), &policy);
}

static void
on_dump (Replay *replay)
{
  char state[16384];

  md_dispatch_dump (replay->core, state, sizeof state);
  fputs (state, stdout);
}

static void
on_mode (Replay *replay)
{
  replay->explicit_drain = strcmp (text (replay, "drain", "auto"), "explicit") == 0;
}

static void
on_drain (Replay *replay)
{
  drain (replay);
}

static const struct
{
  const char *name;
  void (*run) (Replay *replay);
} events[] = {
  { "answer", on_answer },
  { "cancel", on_cancel },
  { "customer", on_customer },
  { "drain", on_drain },
  { "dump", on_dump },
  { "guard_leaving", on_guard_leaving },
  { "guard_lost", on_guard_lost },
  { "guard_pause", on_guard_pause },
  { "guard_up", on_guard_up },
  { "mode", on_mode },
  { "pool", on_pool },
  { "recover", on_recover },
  { "serve", on_serve },
  { "submit", on_submit },
  { "suspend", on_suspend },
  { "tick", on_tick },
};

/* ------------------------------------------------------------------ */
/* Lines                                                              */

static void
split (Replay *replay, char *line)
{
  char *save = NULL;
  char *rest;
  char *word = strtok_r (line, " \t\r\n", &save);

  replay->n_fields = 0;
  replay->event = NULL;
  if (word == NULL || *word == '#')
    return;
  replay->now = strtoll (word, &rest, 10);
  replay->event = strtok_r (NULL, " \t\r\n", &save);
  if (*rest != '\0' || replay->event == NULL || replay->now > MAX_NUMBER || replay->now < 0)
    {
      fault (replay, "not a time and an event", word);
      return;
    }
  while ((word = strtok_r (NULL, " \t\r\n", &save)) != NULL)
    {
      char *equals = strchr (word, '=');

      if (equals == NULL || replay->n_fields == MAX_FIELDS)
        {
          fault (replay, "not a field", word);
          return;
        }
      *equals = '\0';
      replay->fields[replay->n_fields++] = (Field){ word, equals + 1 };
    }
}

static void
run_event (Replay *replay)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (events); i++)
    if (strcmp (events[i].name, replay->event) == 0)
      {
        events[i].run (replay);
        if (!replay->explicit_drain && !replay->failed)
          drain (replay);
        return;
      }
  fault (replay, "unknown event", replay->event);
}

static void
replay_file (Replay *replay, FILE *file)
{
  md_autofree char *line = NULL;
  size_t size = 0;

  while (!replay->failed && getline (&line, &size, file) >= 0)
    {
      replay->line++;
      split (replay, line);
      if (replay->event != NULL && !replay->failed)
        run_event (replay);
    }
}

static int
replay_path (const char *path)
{
  Replay replay = { .path = path };
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");

  if (file == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return MD_EXIT_FAILED;
    }
  md_tuning_default (&replay.tuning);
  replay.core = md_dispatch_new (&replay.tuning);
  if (replay.core == NULL)
    abort ();
  replay_file (&replay, file);
  md_dispatch_free (replay.core);
  free (replay.started);
  if (file != stdin)
    fclose (file);
  return replay.failed ? MD_EXIT_FAILED : MD_EXIT_OK;
}

int
md_replay_main (int argc, const char **argv)
{
  struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift replay", argc, argv, options, 0);
  const char *path;
  int code;

  poptSetOtherOptionHelp (context, "[OPTION...] TRACE");
  code = poptGetNextOpt (context);
  path = poptGetArg (context);
  if (code < -1 || path == NULL || poptPeekArg (context) != NULL)
    {
      poptPrintUsage (context, stderr, 0);
      poptFreeContext (context);
      return MD_EXIT_USAGE;
    }
  code = replay_path (path);
  poptFreeContext (context);
  return code;
}
