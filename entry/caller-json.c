/* caller-json.c -- bodies of the callers' API: jobs in, results and problems out

   Input is checked field by field, so that a refusal can name the field at
   fault; unknown fields and repeated keys are refused, since a misspelt field
   that is ignored would change what runs. Output is written as text; an answer
   that is JSON is embedded as it is. */

#include "entry-private.h"
#include "json-text.h"

#include <math.h>
#include <stdio.h>

#define MAX_PATH_BYTES 2048     /* of a task's path and query */
#define MAX_DEADLINE_MS 3600000 /* an hour; tasks last seconds */
#define MAX_DECLARED_MS MAX_DEADLINE_MS

typedef struct
{
  MdError *error; /* filled in at the first fault */
  char place[64]; /* "tasks[3]." in front of field names */
} Reader;

static int MD_PRINTF (2, 3) fault (Reader *reader, const char *format, ...)
{
  char text[160];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return md_error_set (reader->error, MD_E_INVALID, "parse", "", "%s%s", reader->place, text);
}

static int
read_integer (Reader *reader, const char *name, const json_t *value, int64_t min, int64_t max,
              int64_t *out)
{
  if (!json_is_integer (value))
    return fault (reader, "%s: must be a whole number", name);
  if (json_integer_value (value) < min || json_integer_value (value) > max)
    return fault (reader, "%s: must be between %lld and %lld", name, (long long)min,
                  (long long)max);
  *out = json_integer_value (value);
  return MD_OK;
}

static int
read_string (Reader *reader, const char *name, const json_t *value, size_t max, MdStr *out)
{
  if (!json_is_string (value))
    return fault (reader, "%s: must be a string", name);
  *out = md_str_n (json_string_value (value), json_string_length (value));
  if (out->len == 0 || out->len > max)
    return fault (reader, "%s: must have 1 to %zu bytes", name, max);
  return MD_OK;
}

static bool
is_token_char (char c)
{
  return (c >= 'A' && c <= 'Z') || c == '-';
}

static int
read_method (Reader *reader, const json_t *value, MdTaskBody *task)
{
  MdStr text = { NULL, 0 };

  if (read_string (reader, "method", value, 16, &text) != MD_OK)
    return MD_E_INVALID;
  for (size_t i = 0; i < text.len; i++)
    if (!is_token_char (text.data[i]))
      return fault (reader, "method: must be an HTTP method in capitals");
  free (task->method);
  task->method = md_str_dup (text);
  return MD_OK;
}

static int
read_path (Reader *reader, const json_t *value, MdTaskBody *task)
{
  MdStr text = { NULL, 0 };

  if (read_string (reader, "path", value, MAX_PATH_BYTES, &text) != MD_OK)
    return MD_E_INVALID;
  if (text.data == NULL || text.data[0] != '/')
    return fault (reader, "path: must begin with /");
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.data[i] <= ' ' || text.data[i] == 0x7f)
      return fault (reader, "path: must not have spaces or control characters");
  free (task->path);
  task->path = md_str_dup (text);
  return MD_OK;
}

static int
read_body (MdTaskBody *task, const json_t *value)
{
  free (task->body);
  if (json_is_string (value))
    {
      task->body_len = json_string_length (value);
      task->body = md_str_dup (md_str_n (json_string_value (value), task->body_len));
      return task->body ? MD_OK : MD_E_MEMORY;
    }
  task->body = md_json_text (value, JSON_COMPACT | JSON_ENCODE_ANY, md_json_failures ());
  task->body_len = task->body ? strlen (task->body) : 0;
  if (task->body == NULL)
    return MD_E_MEMORY;
  return md_task_add_header (task, MD_STR ("Content-Type"), MD_STR ("application/json"));
}

static int
read_task_field (Reader *reader, MdTaskBody *task, const char *name, const json_t *value)
{
  int64_t number = 0;
  int result;

  if (strcmp (name, "path") == 0)
    return read_path (reader, value, task);
  if (strcmp (name, "method") == 0)
    return read_method (reader, value, task);
  if (strcmp (name, "body") == 0)
    return read_body (task, value);
  if (strcmp (name, "declared_ms") == 0)
    {
      result = read_integer (reader, name, value, 1, MAX_DECLARED_MS, &number);
      task->spec.declared = number * MD_MS;
      return result;
    }
  if (strcmp (name, "cores") == 0)
    {
      result = read_integer (reader, name, value, 0, 1 << 20, &number);
      task->spec.cores = (uint32_t)number;
      return result;
    }
  if (strcmp (name, "memory_mb") == 0)
    {
      result = read_integer (reader, name, value, 0, 1 << 30, &number);
      task->spec.memory_mb = (uint32_t)number;
      return result;
    }
  if (strcmp (name, "accelerators") == 0)
    {
      result = read_integer (reader, name, value, 0, 1024, &number);
      task->spec.accelerators = (uint32_t)number;
      return result;
    }
  return fault (reader, "%.64s: unknown field", name);
}

static int
read_task (Reader *reader, MdTaskBody *task, json_t *object, size_t index)
{
  const char *name;
  json_t *value;
  int result;

  snprintf (reader->place, sizeof reader->place, "tasks[%zu].", index);
  if (!json_is_object (object))
    return fault (reader, "must be an object");
  json_object_foreach (object, name, value)
  {
    result = read_task_field (reader, task, name, value);
    if (result != MD_OK)
      return result;
  }
  if (task->path == NULL)
    return fault (reader, "path: missing");
  if (task->method == NULL)
    task->method = md_str_dup (task->body ? MD_STR ("POST") : MD_STR ("GET"));
  reader->place[0] = '\0';
  return task->method != NULL ? MD_OK : MD_E_MEMORY;
}

static int
read_tasks (Reader *reader, MdSubmission *sub, json_t *list)
{
  for (uint32_t i = 0; i < sub->n_tasks; i++)
    {
      int result = read_task (reader, &sub->tasks[i], json_array_get (list, i), i);
      if (result != MD_OK)
        return result;
    }
  return MD_OK;
}

static int
read_job_field (Reader *reader, MdSubmission *sub, const char *name, json_t *value)
{
  int64_t number = 0;
  MdStr text = { NULL, 0 };
  int result;

  if (strcmp (name, "tasks") == 0)
    return read_tasks (reader, sub, value);
  if (strcmp (name, "pool") == 0)
    {
      result = read_string (reader, name, value, MD_NAME_BYTES - 1, &text);
      if (result == MD_OK)
        md_str_copy (sub->pool, sizeof sub->pool, text);
      return result;
    }
  if (strcmp (name, "deadline_ms") == 0)
    {
      result = read_integer (reader, name, value, 1, MAX_DEADLINE_MS, &number);
      sub->deadline = number * MD_MS;
      return result;
    }
  if (strcmp (name, "submitted_at_ms") == 0)
    {
      result = read_integer (reader, name, value, 1, INT64_MAX / 1000, &number);
      sub->submitted_ms = number;
      return result;
    }
  if (strcmp (name, "wait") == 0)
    {
      if (!json_is_boolean (value))
        return fault (reader, "wait: must be true or false");
      sub->wait = json_is_true (value);
      return MD_OK;
    }
  return fault (reader, "%.64s: unknown field", name);
}

static int
read_job (Reader *reader, MdSubmission *sub, json_t *root)
{
  const char *name;
  json_t *value;
  int result;

  sub->wait = true;
  json_object_foreach (root, name, value)
  {
    result = read_job_field (reader, sub, name, value);
    if (result != MD_OK)
      return result;
  }
  if (sub->pool[0] == '\0')
    return fault (reader, "pool: missing");
  return MD_OK;
}

static MdSubmission *
read_root (Reader *reader, json_t *root, uint32_t max_tasks)
{
  json_t *tasks = json_object_get (root, "tasks");
  MdSubmission *sub;

  if (!json_is_object (root))
    fault (reader, "the body must be an object");
  else if (!json_is_array (tasks))
    fault (reader, "tasks: must be a list");
  else if (json_array_size (tasks) == 0)
    fault (reader, "tasks: must have at least one task");
  else if (json_array_size (tasks) > max_tasks)
    fault (reader, "tasks: must have at most %u tasks", (unsigned)max_tasks);
  if (reader->error->code != MD_OK)
    return NULL;
  sub = md_submission_new ((uint32_t)json_array_size (tasks));
  if (sub != NULL && read_job (reader, sub, root) == MD_OK)
    return sub;
  md_submission_unref (sub);
  /* Without effect after a fault of the text. */
  md_error_set (reader->error, MD_E_MEMORY, "parse", "", "out of memory");
  return NULL;
}

size_t
md_job_memory (MdStr text)
{
  size_t values;
  size_t memory = md_json_memory (text, &values);

  return values <= MD_JSON_MAX_VALUES ? memory : 0;
}

MdSubmission *
md_job_parse (MdStr text, uint32_t max_tasks, MdError *error)
{
  Reader reader = { .error = error };
  MdJsonBounds bounds = { .depth = MD_JSON_MAX_DEPTH, .values = MD_JSON_MAX_VALUES };
  json_error_t json_error;
  MdSubmission *sub;
  json_t *root;

  root = md_json_load_bounded (text, bounds, JSON_REJECT_DUPLICATES, &json_error);
  if (root == NULL)
    {
      fault (&reader, "line %d: %.120s", json_error.line, json_error.text);
      return NULL;
    }
  sub = read_root (&reader, root, max_tasks);
  json_decref (root);
  return sub;
}

static void
write_string (MdBuf *out, MdStr text)
{
  json_t *value = json_stringn (text.data ? text.data : "", text.len);
  char *dump = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;

  md_buf_append (out, dump ? md_str (dump) : MD_STR ("null"));
  free (dump);
  json_decref (value);
}

static bool
is_json (const MdTaskAnswer *answer)
{
  json_t *value;

  for (size_t i = 0; i < answer->n_headers; i++)
    if (strcasecmp (answer->headers[i].name, "Content-Type") == 0
        && strncasecmp (answer->headers[i].value, "application/json", 16) == 0)
      {
        value = md_json_load_embedded (md_str_n (answer->body, answer->body_len), JSON_DECODE_ANY,
                                       NULL);
        json_decref (value);
        return value != NULL;
      }
  return false;
}

static void
write_base64 (MdBuf *out, const unsigned char *data, size_t len)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t group = (uint32_t)data[i] << 16;
      char text[4];

      if (i + 1 < len)
        group |= (uint32_t)data[i + 1] << 8;
      if (i + 2 < len)
        group |= data[i + 2];
      text[0] = digits[group >> 18];
      text[1] = digits[(group >> 12) & 63];
      text[2] = i + 1 < len ? digits[(group >> 6) & 63] : '=';
      text[3] = i + 2 < len ? digits[group & 63] : '=';
      md_buf_append (out, md_str_n (text, 4));
    }
}

/* A body is embedded as JSON when it is JSON within the bounds of an embedded text, as a string
   when it is UTF-8, and as base64 otherwise. */
static void
write_answer (MdBuf *out, const MdTaskAnswer *answer)
{
  MdStr body = { answer->body, answer->body_len };
  json_t *text;

  md_buf_printf (out, "{\"status\":%u,", (unsigned)answer->status);
  if (is_json (answer))
    {
      md_buf_append (out, MD_STR ("\"body\":"));
      md_buf_append (out, body);
      md_buf_append (out, MD_STR ("}"));
      return;
    }
  text = json_stringn (body.data ? body.data : "", body.len);
  if (text != NULL)
    {
      md_buf_append (out, MD_STR ("\"body\":"));
      write_string (out, body);
      md_buf_append (out, MD_STR ("}"));
    }
  else
    {
      md_buf_append (out, MD_STR ("\"body_base64\":\""));
      write_base64 (out, (const unsigned char *)body.data, body.len);
      md_buf_append (out, MD_STR ("\"}"));
    }
  json_decref (text);
}

void
md_job_write (MdBuf *out, MdStr id, const MdResult *result)
{
  md_buf_append (out, MD_STR ("{\"id\":"));
  write_string (out, id);
  md_buf_printf (out, ",\"state\":\"%s\",\"tasks\":%u,\"done\":%u", md_state_name (result->state),
                 (unsigned)result->n_tasks, (unsigned)result->done_tasks);
  if (result->state == MD_STATE_DONE)
    {
      md_buf_append (out, MD_STR (",\"answers\":["));
      for (uint32_t i = 0; i < result->n_answers; i++)
        {
          if (i > 0)
            md_buf_append (out, MD_STR (","));
          write_answer (out, &result->answers[i]);
        }
      md_buf_append (out, MD_STR ("]"));
    }
  md_buf_append (out, MD_STR ("}\n"));
}

int
md_reason_status (MdReason reason)
{
  switch (reason)
    {
    case MD_REASON_NO_POOL:
      return 404;
    case MD_REASON_TOO_LARGE:
    case MD_REASON_KEY_REUSED:
      return 422;
    case MD_REASON_QUEUE_FULL:
    case MD_REASON_QUOTA:
      return 429;
    case MD_REASON_EXPIRED:
    case MD_REASON_CANCELLED:
    case MD_REASON_ANSWER_GONE:
      return 409;
    case MD_REASON_DEADLINE:
      return 504;
    case MD_REASON_TASK_FAILED:
    case MD_REASON_GUARD_LOST:
    case MD_REASON_UPSTREAM_ERROR:
      return 502;
    default:
      return 503;
    }
}

void
md_problem_write (MdBuf *out, int status, MdReason reason, MdOutcome outcome, const char *detail,
                  uint32_t task, const char *peer)
{
  const char *name = md_reason_name (reason);

  md_buf_printf (out, "{\"type\":\"urn:mulberrydrift:%s\",\"title\":\"%s\",\"status\":%d,", name,
                 name, status);
  md_buf_printf (out, "\"outcome\":\"%s\"", md_outcome_name (outcome));
  if (detail != NULL && detail[0] != '\0')
    {
      md_buf_append (out, MD_STR (",\"detail\":"));
      write_string (out, md_str (detail));
    }
  if (peer != NULL && peer[0] != '\0')
    {
      md_buf_printf (out, ",\"task\":%u,\"peer\":", (unsigned)task);
      write_string (out, md_str (peer));
    }
  md_buf_append (out, MD_STR ("}\n"));
}
