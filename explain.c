/* explain.c -- from the id of a job or request to what happened to it

   Reads log lines of any number of processes, picks those that touch one job, puts them
   in order of time and names the first cause that they show. Lines of a process about
   itself or a peer (a lost guard, an unreachable worker, a store that is away) that
   fall into the life of the job are listed beside them. Logs may have gaps; where lines
   were left out, the result says so. */

#define _GNU_SOURCE /* memmem */

#include "md-private.h"

#include <popt.h>
#include <stdio.h>
#include <time.h>

#define MAX_INPUT ((size_t)1 << 30) /* bytes of logs */
#define MEANWHILE_BEFORE 500        /* ms before the first line of the job */

typedef struct
{
  MdStr text;   /* from "time=" on, without the line end */
  int64_t ms;   /* since 1970 */
  bool own;     /* of the job, otherwise of a process */
  size_t order; /* in the input */
} Line;

typedef struct
{
  MdBuf input;       /* all logs */
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

/* Value of a key in a line of key=value pairs; empty when it is missing. */
static MdStr
value_of (MdStr line, const char *key)
{
  size_t len = strlen (key);

  for (size_t at = 0; at + len + 1 < line.len; at++)
    {
      const char *value = line.data + at + len + 1;
      size_t left = line.len - at - len - 1;
      char stop = ' ';

      if ((at > 0 && line.data[at - 1] != ' ') || memcmp (line.data + at, key, len) != 0
          || line.data[at + len] != '=')
        continue;
      if (left > 0 && *value == '"')
        {
          stop = '"';
          value++;
          left--;
        }
      for (size_t n = 0; n < left; n++)
        if (value[n] == stop)
          return md_str_n (value, n);
      return md_str_n (value, left);
    }
  return MD_STR ("");
}

static int64_t
number_of (MdStr line, const char *key)
{
  char text[32];

  md_str_copy (text, sizeof text, value_of (line, key));
  return strtoll (text, NULL, 10);
}

static bool
is_event (MdStr line, const char *event)
{
  return md_str_equal (value_of (line, "event"), md_str (event));
}

/* 2026-01-02T03:04:05.678Z */
static bool
read_time (MdStr line, int64_t *ms)
{
  MdStr value = value_of (line, "time");
  struct tm tm = { 0 };
  char text[32];
  int millis = 0;

  md_str_copy (text, sizeof text, value);
  if (sscanf (text, "%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday, &tm.tm_hour,
              &tm.tm_min, &tm.tm_sec, &millis)
      != 7)
    return false;
  tm.tm_year -= 1900;
  tm.tm_mon -= 1;
  *ms = (int64_t)timegm (&tm) * 1000 + millis;
  return true;
}

/* A task is named JOB.OCCURRENCE.STEP.INDEX. */
static bool
touches_job (MdStr line, const char *job)
{
  MdStr task = value_of (line, "task");
  size_t len = strlen (job);

  if (md_str_equal (value_of (line, "job"), md_str (job)))
    return true;
  return task.len > len && memcmp (task.data, job, len) == 0 && task.data[len] == '.';
}

/* What a process says about itself or a peer, when it explains a delay. */
static bool
is_circumstance (MdStr line)
{
  static const char *const events[]
      = { "guard-down",   "guard-lost",  "entry-lost",       "entry-silent", "worker-unreachable",
          "worker-left",  "hold-failed", "start-unanswered", "lease-lapsed", "store-lost",
          "worker-state", "leaving",     "stopped",          "started",      "config-applied",
          "log-dropped",  "readiness",   "upstream-state" };

  for (size_t i = 0; i < MD_ARRAY_SIZE (events); i++)
    if (is_event (line, events[i]))
      return true;
  return false;
}

static bool
next_line (MdStr *rest, MdStr *line)
{
  const char *end;
  const char *start;

  if (rest->len == 0)
    return false;
  end = memchr (rest->data, '\n', rest->len);
  *line = md_str_n (rest->data, end != NULL ? (size_t)(end - rest->data) : rest->len);
  *rest = md_str_n (rest->data + line->len, rest->len - line->len);
  if (rest->len > 0)
    *rest = md_str_n (rest->data + 1, rest->len - 1);
  /* A collector may have put something in front. */
  start = line->len > 0 ? memmem (line->data, line->len, "time=", 5) : NULL;
  if (start != NULL)
    *line = md_str_n (start, line->len - (size_t)(start - line->data));
  return true;
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
  MdStr rest = md_buf_str (&story->input);
  MdStr line;

  md_str_copy (story->job, sizeof story->job, md_str (id));
  while (next_line (&rest, &line))
    {
      MdStr job = value_of (line, "job");
      MdStr request = value_of (line, "request");

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
      MdStr name = value_of (line, keys[i]);

      if (name.len > 0 && story->n_nodes < MD_ARRAY_SIZE (story->nodes)
          && !is_known_node (story, name))
        story->nodes[story->n_nodes++] = name;
    }
}

static void
pick_lines (Story *story)
{
  MdStr rest = md_buf_str (&story->input);
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  MdStr line;
  int64_t ms;

  while (next_line (&rest, &line))
    if (touches_job (line, story->job) && read_time (line, &ms))
      {
        keep_line (story, line, ms, true);
        note_nodes (story, line);
        first = ms < first ? ms : first;
        last = ms > last ? ms : last;
      }
  rest = md_buf_str (&story->input);
  while (story->n > 0 && next_line (&rest, &line))
    if (is_circumstance (line) && !touches_job (line, story->job)
        && is_known_node (story, value_of (line, "node")) && read_time (line, &ms)
        && ms >= first - MEANWHILE_BEFORE && ms <= last)
      {
        keep_line (story, line, ms, false);
        story->gaps |= is_event (line, "log-dropped");
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

static const Line *
find_own (const Story *story, const char *event)
{
  for (size_t i = 0; i < story->n; i++)
    if (story->lines[i].own && is_event (story->lines[i].text, event))
      return &story->lines[i];
  return NULL;
}

static void
print_line (const Line *line, int64_t start)
{
  MdStr node = value_of (line->text, "node");
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
      if (is_event (story->lines[i].text, events[k]))
        return &story->lines[i];
  return NULL;
}

static void
print_rejection (const Story *story, const Line *answered)
{
  const Line *line = find_own (story, "job-rejected");
  int64_t wait = line != NULL ? number_of (line->text, "wait_ms") : 0;
  int64_t bound = line != NULL ? number_of (line->text, "wait_bound_ms") : 0;

  if (line == NULL)
    printf ("cause: rejected, %.*s\n", (int)value_of (answered->text, "reason").len,
            value_of (answered->text, "reason").data);
  else if (value_of (line->text, "reason").len > 0)
    printf ("cause: rejected, %.*s\n", (int)value_of (line->text, "reason").len,
            value_of (line->text, "reason").data);
  else if (wait > bound)
    printf ("cause: rejected on arrival, the backlog of %lld ms was over the bound of %lld ms for "
            "its queue\n",
            (long long)wait, (long long)bound);
  else
    printf ("cause: rejected on arrival, it would have ended after %lld ms, its goal was %lld ms\n",
            (long long)number_of (line->text, "forecast_ms"),
            (long long)number_of (line->text, "goal_ms"));
}

/* The line that placed the run which a guard says has ended; its task is named
   JOB.OCCURRENCE.STEP.INDEX. */
static const Line *
placement_of (const Story *story, const Line *end)
{
  MdStr task = value_of (end->text, "task");
  long long step = -1;
  long long index = -1;
  char name[128];

  md_str_copy (name, sizeof name, task);
  if (sscanf (name, "%*[^.].%*d.%lld.%lld", &step, &index) != 2)
    return NULL;
  for (size_t i = 0; i < story->n; i++)
    {
      MdStr text = story->lines[i].text;

      if (is_event (text, "run-placed") && number_of (text, "step") == step
          && number_of (text, "task") == index
          && number_of (text, "run") == number_of (end->text, "run"))
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
      const Line *from
          = line->own && is_event (line->text, "run-end") ? placement_of (story, line) : NULL;
      int64_t over
          = from != NULL ? number_of (line->text, "run_ms") - number_of (from->text, "run_ms") : 0;

      if (over > most)
        {
          most = over;
          slowest = line;
          placed = from;
        }
    }
  if (slowest != NULL)
    printf ("slowest: %.*s at %.*s, how=%.*s, %lld ms instead of %lld ms\n",
            (int)value_of (slowest->text, "task").len, value_of (slowest->text, "task").data,
            (int)value_of (slowest->text, "node").len, value_of (slowest->text, "node").data,
            (int)value_of (slowest->text, "how").len, value_of (slowest->text, "how").data,
            (long long)number_of (slowest->text, "run_ms"),
            (long long)number_of (placed->text, "run_ms"));
}

static void
print_delay (const Story *story, const Line *answered, const char *what)
{
  const Line *trouble = first_trouble (story);
  const Line *admitted = find_own (story, "job-admitted");

  if (trouble != NULL)
    {
      MdStr event = value_of (trouble->text, "event");
      MdStr how = value_of (trouble->text, "how");
      MdStr node = value_of (trouble->text, "node");
      MdStr guard = value_of (trouble->text, "guard");

      printf ("cause: %s, first %.*s%s%.*s at %.*s\n", what, (int)event.len, event.data,
              how.len > 0 ? " how=" : "", (int)how.len, how.data,
              (int)(guard.len > 0 ? guard.len : node.len), guard.len > 0 ? guard.data : node.data);
    }
  else if (admitted != NULL)
    printf ("cause: %s, its runs took longer than forecast: %lld ms instead of %lld ms\n", what,
            (long long)number_of (answered->text, "elapsed_ms"),
            (long long)number_of (admitted->text, "forecast_ms"));
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
  outcome = value_of (answered->text, "outcome");
  printf ("answer: status %lld, outcome %.*s, reason %.*s, after %lld ms (goal %lld ms)\n",
          (long long)number_of (answered->text, "status"), (int)outcome.len, outcome.data,
          (int)value_of (answered->text, "reason").len, value_of (answered->text, "reason").data,
          (long long)number_of (answered->text, "elapsed_ms"),
          (long long)number_of (answered->text, "goal_ms"));
  if (md_str_equal (outcome, MD_STR ("not_run")))
    print_rejection (story, answered);
  else if (md_str_equal (outcome, MD_STR ("failed")))
    print_delay (story, answered, "a task failed as often as its queue allows");
  else if (number_of (answered->text, "status") == 0)
    puts ("cause: the caller left before the answer");
  else if (number_of (answered->text, "status") != 200)
    print_delay (story, answered, "given up at its deadline");
  else if (number_of (answered->text, "elapsed_ms") > number_of (answered->text, "goal_ms"))
    print_delay (story, answered, "late");
  else
    puts ("cause: none needed, it was answered within its goal");
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
/* Command                                                            */

static bool
read_logs (MdBuf *out, FILE *file)
{
  char chunk[65536];
  size_t n;

  while ((n = fread (chunk, 1, sizeof chunk, file)) > 0 && out->len < MAX_INPUT)
    md_buf_append (out, md_str_n (chunk, n));
  return !ferror (file) && !out->failed;
}

static int
read_files (MdBuf *out, const char **files)
{
  if (files == NULL || *files == NULL)
    return read_logs (out, stdin) ? MD_EXIT_OK : MD_EXIT_FAILED;
  for (; *files != NULL; files++)
    {
      FILE *file = fopen (*files, "rb");
      bool good = file != NULL && read_logs (out, file);

      if (file != NULL)
        fclose (file);
      if (!good)
        {
          fprintf (stderr, "explain: %s cannot be read\n", *files);
          return MD_EXIT_FAILED;
        }
    }
  return MD_EXIT_OK;
}

int
md_explain_main (int argc, const char **argv)
{
  struct poptOption table[] = { POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext ("mulberrydrift explain", argc, argv, table, 0);
  Story story = { 0 };
  const char *id;
  int rc;

  poptSetOtherOptionHelp (context, "ID [LOG...]");
  rc = poptGetNextOpt (context);
  id = poptGetArg (context);
  if (rc < -1 || id == NULL)
    {
      poptPrintUsage (context, stderr, 0);
      poptFreeContext (context);
      return MD_EXIT_USAGE;
    }
  rc = read_files (&story.input, poptGetArgs (context));
  if (rc == MD_EXIT_OK)
    {
      find_names (&story, id);
      pick_lines (&story);
      rc = tell (&story);
    }
  free (story.lines);
  md_buf_clear (&story.input);
  poptFreeContext (context);
  return rc;
}
