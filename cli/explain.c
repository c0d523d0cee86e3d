/* explain.c -- from the id of a job or request to what happened to it

   Reads log lines of any number of processes, picks those that touch one job, puts them
   in order of time and names the first cause that they show. Lines of a process about
   itself or a peer (a lost guard, an unreachable worker, a store that is away) that
   fall into the life of the job are listed beside them. Logs may have gaps; where lines
   were left out, the result says so. */

#define _GNU_SOURCE /* memmem */

#include "log-line.h"

#include <popt.h>
#include <stdio.h>

#define MEANWHILE_BEFORE 500 /* ms before the first line of the job */

typedef struct
{
  MdStr text;   /* from "time=" on, without the line end */
  int64_t ms;   /* since 1970 */
  bool own;     /* of the job, otherwise of a process */
  size_t order; /* in the input */
} Line;

typedef struct
{
  MdStr logs;        /* all, borrowed */
  Line *lines;       /* n entries */
  size_t n;          /* lines picked */
  size_t cap;        /* allocated */
  char job[128];     /* name of the job */
  char request[128]; /* the caller's name for it */
  bool gaps;         /* lines were left out meanwhile */
  MdStr nodes[64];   /* processes that had to do with the job */
  size_t n_nodes;    /* of them */
} Story;

/* ------------------------------------------------------------------ */
/* Lines                                                              */

/* A task is named JOB.OCCURRENCE.STEP.INDEX. */
static bool
touches_job (MdStr line, const char *job)
{
  MdStr task = md_line_value (line, "task");
  size_t len = strlen (job);

  if (md_str_equal (md_line_value (line, "job"), md_str (job)))
    return true;
  return task.len > len && memcmp (task.data, job, len) == 0 && task.data[len] == '.';
}

/* What a process says about itself or a peer, when it explains a delay. */
static bool
is_circumstance (MdStr line)
{
  static const char *const events[]
      = { "guard-down",    "guard-lost",  "entry-lost",       "entry-silent", "worker-unreachable",
          "worker-left",   "hold-failed", "start-unanswered", "lease-lapsed", "store-lost",
          "worker-state",  "leaving",     "stopped",          "started",      "config-applied",
          "log-dropped",   "readiness",   "upstream-state",   "load",         "overloaded",
          "process-begin", "process-end", "fatal-signal" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (events); i++)
    if (md_line_has_event (line, events[i]))
      return true;
  return false;
}

static void
keep_line (Story *story, MdStr text, int64_t ms, bool own)
{
  if (story->n == story->cap)
    {
      size_t cap = story->cap > 0 ? story->cap * 2 : 64;
      Line *grown = realloc (story->lines, cap * sizeof *grown);

      if (grown == NULL)
        {
          fputs ("explain: out of memory\n", stderr);
          exit (MD_EXIT_FAILED);
        }
      story->lines = grown;
      story->cap = cap;
    }
  story->lines[story->n] = (Line){ text, ms, own, story->n };
  story->n++;
}

/* ------------------------------------------------------------------ */
/* Passes over the input                                              */

/* The id may name a job or a request; a line with both tells the other. */
static void
find_names (Story *story, const char *id)
{
  MdStr rest = story->logs;
  MdStr line;

  md_str_copy (story->job, sizeof story->job, md_str (id));
  while (md_line_next (&rest, &line))
    {
      MdStr job = md_line_value (line, "job");
      MdStr request = md_line_value (line, "request");

      if (job.len > 0 && request.len > 0
          && (md_str_equal (job, md_str (id)) || md_str_equal (request, md_str (id))))
        {
          md_str_copy (story->job, sizeof story->job, job);
          md_str_copy (story->request, sizeof story->request, request);
          return;
        }
    }
}

static bool
is_known_node (const Story *story, MdStr name)
{
  for (size_t i = 0; i < story->n_nodes; i++)
    if (md_str_equal (story->nodes[i], name))
      return true;
  return false;
}

static void
note_nodes (Story *story, MdStr line)
{
  static const char *const keys[] = { "node", "guard", "from", "to" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (keys); i++)
    {
      MdStr name = md_line_value (line, keys[i]);

      if (name.len > 0 && story->n_nodes < MD_ARRAY_SIZE (story->nodes)
          && !is_known_node (story, name))
        story->nodes[story->n_nodes++] = name;
    }
}

static void
pick_lines (Story *story)
{
  MdStr rest = story->logs;
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  MdStr line;
  int64_t ms;

  while (md_line_next (&rest, &line))
    if (touches_job (line, story->job) && md_line_time (line, &ms))
      {
        keep_line (story, line, ms, true);
        note_nodes (story, line);
        first = ms < first ? ms : first;
        last = ms > last ? ms : last;
      }
  rest = story->logs;
  while (story->n > 0 && md_line_next (&rest, &line))
    if (is_circumstance (line) && !touches_job (line, story->job)
        && is_known_node (story, md_line_value (line, "node")) && md_line_time (line, &ms)
        && ms >= first - MEANWHILE_BEFORE && ms <= last)
      {
        keep_line (story, line, ms, false);
        story->gaps |= md_line_has_event (line, "log-dropped");
      }
}

static int
by_time (const void *a, const void *b)
{
  const Line *x = a;
  const Line *y = b;

  if (x->ms != y->ms)
    return x->ms < y->ms ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

/* ------------------------------------------------------------------ */
/* Result                                                             */

typedef enum
{
  ANSWER_IN_TIME,
  ANSWER_REJECTED,
  ANSWER_FAILED,
  ANSWER_CALLER_LEFT,
  ANSWER_LOST,
  ANSWER_LATE,
} Answer;

/* What the line of a job's answer says. */
static Answer
answer_of (MdStr line)
{
  MdStr outcome = md_line_value (line, "outcome");

  if (md_str_equal (outcome, MD_STR ("not_run")))
    return ANSWER_REJECTED;
  if (md_str_equal (outcome, MD_STR ("failed")))
    return ANSWER_FAILED;
  if (md_line_number (line, "status") == 0)
    return ANSWER_CALLER_LEFT;
  if (md_line_number (line, "status") != 200)
    return ANSWER_LOST;
  return md_line_number (line, "elapsed_ms") > md_line_number (line, "goal_ms") ? ANSWER_LATE
                                                                                : ANSWER_IN_TIME;
}

static const Line *
find_own (const Story *story, const char *event)
{
  for (size_t i = 0; i < story->n; i++)
    if (story->lines[i].own && md_line_has_event (story->lines[i].text, event))
      return &story->lines[i];
  return NULL;
}

static void
print_line (const Line *line, int64_t start)
{
  MdStr node = md_line_value (line->text, "node");
  const char *event = memmem (line->text.data, line->text.len, "event=", 6);
  size_t len = event != NULL ? line->text.len - (size_t)(event - line->text.data) : 0;

  printf ("%+8lld ms %c %-20.*s %.*s\n", (long long)(line->ms - start), line->own ? ' ' : '|',
          (int)node.len, node.data, (int)(len > 6 ? len - 6 : 0), event != NULL ? event + 6 : "");
}

/* The first line that explains why the job did not run as forecast. */
static const Line *
first_trouble (const Story *story)
{
  static const char *const events[]
      = { "start-unanswered", "start-rejected", "run-missing", "run-ended", "run-moved" };

  for (size_t i = 0; i < story->n; i++)
    for (size_t k = 0; story->lines[i].own && k < MD_ARRAY_SIZE (events); k++)
      if (md_line_has_event (story->lines[i].text, events[k]))
        return &story->lines[i];
  return NULL;
}

static void
print_rejection (const Story *story, const Line *answered)
{
  const Line *line = find_own (story, "job-rejected");
  int64_t wait = line != NULL ? md_line_number (line->text, "wait_ms") : 0;
  int64_t bound = line != NULL ? md_line_number (line->text, "wait_bound_ms") : 0;
  int64_t lag = line != NULL ? md_line_number (line->text, "lag_ms") : 0;
  int64_t age = line != NULL ? md_line_number (line->text, "age_ms") : 0;

  if (line == NULL)
    printf ("cause: rejected, %.*s\n", (int)md_line_value (answered->text, "reason").len,
            md_line_value (answered->text, "reason").data);
  else if (md_line_value (line->text, "reason").len > 0)
    printf ("cause: rejected, %.*s\n", (int)md_line_value (line->text, "reason").len,
            md_line_value (line->text, "reason").data);
  else if (lag > bound)
    printf (
        "cause: rejected on arrival, the entry was %lld ms late, over the bound of %lld ms for its "
        "queue\n",
        (long long)lag, (long long)bound);
  else if (age > 0)
    printf (
        "cause: rejected on arrival, its caller had waited %lld ms before, so that its goal had "
        "passed, and %lld ms of work was waiting\n",
        (long long)age, (long long)wait);
  else if (wait > bound)
    printf ("cause: rejected on arrival, the backlog of %lld ms was over the bound of %lld ms for "
            "its queue\n",
            (long long)wait, (long long)bound);
  else
    printf ("cause: rejected on arrival, it would have ended after %lld ms, its goal was %lld ms\n",
            (long long)md_line_number (line->text, "forecast_ms"),
            (long long)md_line_number (line->text, "goal_ms"));
}

/* The line that placed the run which a guard says has ended; its task is named
   JOB.OCCURRENCE.STEP.INDEX. */
static const Line *
placement_of (const Story *story, const Line *end)
{
  MdStr task = md_line_value (end->text, "task");
  long long step = -1;
  long long index = -1;
  char name[128];

  md_str_copy (name, sizeof name, task);
  if (sscanf (name, "%*[^.].%*d.%lld.%lld", &step, &index) != 2)
    return NULL;
  for (size_t i = 0; i < story->n; i++)
    {
      MdStr text = story->lines[i].text;

      if (md_line_has_event (text, "run-placed") && md_line_number (text, "step") == step
          && md_line_number (text, "task") == index
          && md_line_number (text, "run") == md_line_number (end->text, "run"))
        return &story->lines[i];
    }
  return NULL;
}

/* The run that took longest beyond what was expected of it. */
static void
print_slowest (const Story *story)
{
  const Line *slowest = NULL;
  const Line *placed = NULL;
  int64_t most = 0;

  for (size_t i = 0; i < story->n; i++)
    {
      const Line *line = &story->lines[i];
      const Line *from = line->own && md_line_has_event (line->text, "run-end")
                             ? placement_of (story, line)
                             : NULL;
      int64_t over = from != NULL ? md_line_number (line->text, "run_ms")
                                        - md_line_number (from->text, "run_ms")
                                  : 0;

      if (over > most)
        {
          most = over;
          slowest = line;
          placed = from;
        }
    }
  if (slowest != NULL)
    printf ("slowest: %.*s at %.*s, how=%.*s, %lld ms instead of %lld ms\n",
            (int)md_line_value (slowest->text, "task").len,
            md_line_value (slowest->text, "task").data,
            (int)md_line_value (slowest->text, "node").len,
            md_line_value (slowest->text, "node").data,
            (int)md_line_value (slowest->text, "how").len,
            md_line_value (slowest->text, "how").data,
            (long long)md_line_number (slowest->text, "run_ms"),
            (long long)md_line_number (placed->text, "run_ms"));
}

static void
print_delay (const Story *story, const Line *answered, const char *what)
{
  const Line *trouble = first_trouble (story);
  const Line *admitted = find_own (story, "job-admitted");

  if (trouble != NULL)
    {
      MdStr event = md_line_value (trouble->text, "event");
      MdStr how = md_line_value (trouble->text, "how");
      MdStr node = md_line_value (trouble->text, "node");
      MdStr guard = md_line_value (trouble->text, "guard");

      printf ("cause: %s, first %.*s%s%.*s at %.*s\n", what, (int)event.len, event.data,
              how.len > 0 ? " how=" : "", (int)how.len, how.data,
              (int)(guard.len > 0 ? guard.len : node.len), guard.len > 0 ? guard.data : node.data);
    }
  else if (admitted != NULL && md_line_number (admitted->text, "age_ms") > 0)
    printf ("cause: %s, its caller had waited %lld ms before it arrived\n", what,
            (long long)md_line_number (admitted->text, "age_ms"));
  else if (admitted != NULL)
    printf ("cause: %s, its runs took longer than forecast: %lld ms instead of %lld ms\n", what,
            (long long)md_line_number (answered->text, "elapsed_ms"),
            (long long)md_line_number (admitted->text, "forecast_ms"));
  else
    printf ("cause: %s, the lines before the answer are missing\n", what);
  print_slowest (story);
}

static void
print_cause (const Story *story)
{
  const Line *answered = find_own (story, "job-answered");
  MdStr outcome;

  if (answered == NULL)
    {
      puts ("cause: no answer is logged; look for the end of the entry that took the job in");
      return;
    }
  outcome = md_line_value (answered->text, "outcome");
  printf ("answer: status %lld, outcome %.*s, reason %.*s, after %lld ms (goal %lld ms)\n",
          (long long)md_line_number (answered->text, "status"), (int)outcome.len, outcome.data,
          (int)md_line_value (answered->text, "reason").len,
          md_line_value (answered->text, "reason").data,
          (long long)md_line_number (answered->text, "elapsed_ms"),
          (long long)md_line_number (answered->text, "goal_ms"));
  switch (answer_of (answered->text))
    {
    case ANSWER_REJECTED:
      print_rejection (story, answered);
      break;
    case ANSWER_FAILED:
      print_delay (story, answered, "a task failed as often as its queue allows");
      break;
    case ANSWER_CALLER_LEFT:
      puts ("cause: the caller left before the answer");
      break;
    case ANSWER_LOST:
      print_delay (story, answered, "given up at its deadline");
      break;
    case ANSWER_LATE:
      print_delay (story, answered, "late");
      break;
    case ANSWER_IN_TIME:
      puts ("cause: none needed, it was answered within its goal");
      break;
    }
}

static int
tell (Story *story)
{
  if (story->n == 0)
    {
      fprintf (stderr, "explain: no line names %s\n", story->job);
      return MD_EXIT_FAILED;
    }
  qsort (story->lines, story->n, sizeof story->lines[0], by_time);
  printf ("job %s%s%s\n", story->job, story->request[0] != '\0' ? ", request " : "",
          story->request);
  for (size_t i = 0; i < story->n; i++)
    print_line (&story->lines[i], story->lines[0].ms);
  print_cause (story);
  if (story->gaps)
    puts ("note: lines were left out meanwhile (log-dropped); the story may have gaps");
  return MD_EXIT_OK;
}

/* ------------------------------------------------------------------ */
/* Lists                                                              */

/* The jobs of a queue that were not answered in time, in the order of the logs. */
static int
list_troubles (MdStr logs, const char *queue)
{
  static const char *const names[] = { [ANSWER_REJECTED] = "rejected",
                                       [ANSWER_FAILED] = "failed",
                                       [ANSWER_CALLER_LEFT] = "caller-left",
                                       [ANSWER_LOST] = "lost",
                                       [ANSWER_LATE] = "late" };
  MdStr line;
  unsigned answered = 0;
  unsigned in_time = 0;

  while (md_line_next (&logs, &line))
    {
      Answer answer;

      if (!md_line_has_event (line, "job-answered")
          || !md_str_equal (md_line_value (line, "queue"), md_str (queue)))
        continue;
      answered++;
      answer = answer_of (line);
      if (answer == ANSWER_IN_TIME)
        {
          in_time++;
          continue;
        }
      printf ("time=%.*s trouble=%s job=%.*s request=%.*s status=%lld reason=%.*s elapsed_ms=%lld "
              "goal_ms=%lld\n",
              (int)md_line_value (line, "time").len, md_line_value (line, "time").data,
              names[answer], (int)md_line_value (line, "job").len, md_line_value (line, "job").data,
              (int)md_line_value (line, "request").len, md_line_value (line, "request").data,
              (long long)md_line_number (line, "status"), (int)md_line_value (line, "reason").len,
              md_line_value (line, "reason").data, (long long)md_line_number (line, "elapsed_ms"),
              (long long)md_line_number (line, "goal_ms"));
    }
  printf ("queue=%s answered=%u in_time=%u\n", queue, answered, in_time);
  if (answered > 0)
    return MD_EXIT_OK;
  fprintf (stderr, "explain: no answer of queue %s is logged\n", queue);
  return MD_EXIT_FAILED;
}

/* ------------------------------------------------------------------ */
/* Command                                                            */

static int
tell_story (MdStr logs, const char *id)
{
  Story story = { .logs = logs };
  int rc;

  find_names (&story, id);
  pick_lines (&story);
  rc = tell (&story);
  free (story.lines);
  return rc;
}

int
md_explain_main (int argc, const char **argv)
{
  char *queue = NULL;
  struct poptOption table[]
      = { { "queue", 'q', POPT_ARG_STRING, &queue, 0,
            "list the jobs of a queue that were not answered in time", "NAME" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift explain", argc, argv, table, 0);
  MD_AUTO_BUF logs = { 0 };
  MdError error = { 0 };
  const char *id;
  int rc;

  poptSetOtherOptionHelp (context, "ID [LOG...] | --queue NAME [LOG...]");
  rc = poptGetNextOpt (context);
  id = queue == NULL ? poptGetArg (context) : NULL;
  if (rc < -1 || (id == NULL && queue == NULL))
    {
      poptPrintUsage (context, stderr, 0);
      rc = MD_EXIT_USAGE;
    }
  else if (md_line_read_files (&logs, poptGetArgs (context), &error) != MD_OK)
    {
      fprintf (stderr, "explain: %s\n", error.detail);
      rc = MD_EXIT_FAILED;
    }
  else
    rc = queue != NULL ? list_troubles (md_buf_str (&logs), queue)
                       : tell_story (md_buf_str (&logs), id);
  free (queue);
  poptFreeContext (context);
  return rc;
}
