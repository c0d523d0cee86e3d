/* operator-resources.c -- get, list and change resources over HTTP

   Every change states the version that it replaces (If-Match) or that the resource
   must not exist (If-None-Match: *, or POST). A change without either is rejected with
   428, so that no client overwrites a version that it has not read. The version is the
   log offset of the last change plus one and is the same at every entry. */

#include "operator-private.h"

#include "config-check.h"
#include "json-text.h"

#include <stdio.h>

#define BODY_BYTES_MAX (MD_SPEC_MAX_BYTES + 4096) /* longest spec plus the object around it */
#define BODY_TIMEOUT (10 * MD_SECOND)             /* to receive the whole body */

static bool
is_method (const OpRequest *r, const char *method)
{
  return strcmp (r->info->request_method, method) == 0;
}

/* ------------------------------------------------------------------ */
/* Reads                                                               */

static int
get_one (OpRequest *r)
{
  MD_AUTO_BUF body = { 0 };
  char etag[48];
  uint64_t version = 0;
  int rc;

  if (r->declared)
    rc = md_store_get (r->server->store, r->kind, r->name, &body, &version);
  else
    rc = md_observed_get (r->server->observed, r->kind, r->name, operator_customer_filter (r),
                          &body, &version);
  if (rc == MD_E_LIMIT)
    return operator_not_ready (r->conn);
  if (rc != MD_OK)
    return operator_problem (r->conn, 404, "", "", "no such resource");
  snprintf (etag, sizeof etag, "ETag: \"%llu\"\r\n", (unsigned long long)version);
  return operator_respond (r->conn, 200, "application/json", etag, md_buf_str (&body));
}

static int
get_list (OpRequest *r)
{
  MD_AUTO_BUF items = { 0 };
  MD_AUTO_BUF body = { 0 };
  uint64_t version = 0;
  int rc;

  if (r->declared)
    rc = md_store_list (r->server->store, r->kind, &items, &version);
  else
    rc = md_observed_list (r->server->observed, r->kind, operator_customer_filter (r), &items,
                           &version);
  if (rc == MD_E_LIMIT)
    return operator_not_ready (r->conn);
  md_buf_printf (&body, "{\"kind\":\"%.*s\",\"version\":%llu,\"items\":[", (int)r->kind.len,
                 r->kind.data, (unsigned long long)version);
  md_buf_append (&body, md_buf_str (&items));
  md_buf_append (&body, MD_STR ("]}"));
  if (body.failed || items.failed)
    return operator_problem (r->conn, 503, "", "", "out of memory");
  return operator_respond (r->conn, 200, "application/json", "", md_buf_str (&body));
}

static int
handle_get (OpRequest *r)
{
  const char *query = r->info->query_string;
  char version[32];

  if (r->name.len > 0)
    return get_one (r);
  if (query == NULL || !is_method (r, "GET"))
    return get_list (r);
  if (mg_get_var (query, strlen (query), "watch", version, sizeof version) < 0)
    return operator_problem (r->conn, 400, "", "", "the only query parameter is watch=VERSION");
  return operator_watch (r, version);
}

/* ------------------------------------------------------------------ */
/* Bodies                                                              */

typedef struct
{
  json_t *root;             /* parsed body, owned */
  char *spec;               /* member "spec" as JSON text, owned */
  char name[MD_NAME_BYTES]; /* from the path or, without one, from the body; empty if invalid */
} Body;

static void
clear_body (Body *body)
{
  json_decref (body->root);
  free (body->spec);
}

static int
respond_bad_request (OpRequest *r, const char *detail)
{
  return operator_problem (r->conn, 400, "", "", detail);
}

/* Returns 0, or the status of the error response that was sent. */
static int
read_body_bytes (OpRequest *r, MdBuf *bytes)
{
  MdTime until = md_now () + BODY_TIMEOUT;
  char chunk[4096];
  int n = 0;

  if (r->info->content_length > (long long)BODY_BYTES_MAX)
    return operator_problem (r->conn, 413, "", "", "the body is longer than 69632 bytes");
  while (md_now () < until && (n = mg_read (r->conn, chunk, sizeof chunk)) > 0)
    {
      md_buf_append (bytes, md_str_n (chunk, (size_t)n));
      if (bytes->len > BODY_BYTES_MAX)
        return operator_problem (r->conn, 413, "", "", "the body is longer than 69632 bytes");
    }
  if (n != 0)
    return operator_problem (r->conn, 408, "", "", "the body did not arrive in time");
  return 0;
}

static bool
member_matches (const json_t *root, const char *key, MdStr want)
{
  const json_t *value = json_object_get (root, key);

  if (value == NULL)
    return true;
  return json_is_string (value)
         && md_str_equal (md_str_n (json_string_value (value), json_string_length (value)), want);
}

static int
check_members (OpRequest *r, const Body *body)
{
  const char *key;
  json_t *value;
  char detail[160];

  json_object_foreach (body->root, key, value)
  {
    if (strcmp (key, "kind") == 0 || strcmp (key, "name") == 0 || strcmp (key, "spec") == 0)
      continue;
    snprintf (detail, sizeof detail, "unknown field \"%.64s\"", key);
    return respond_bad_request (r, detail);
  }
  if (!member_matches (body->root, "kind", r->kind))
    return respond_bad_request (r, "field \"kind\" differs from the path");
  if (r->name.len > 0 && !member_matches (body->root, "name", r->name))
    return respond_bad_request (r, "field \"name\" differs from the path");
  if (json_object_get (body->root, "spec") == NULL)
    return respond_bad_request (r, "field \"spec\" is missing");
  return 0;
}

static void
copy_name (const OpRequest *r, Body *body)
{
  const char *name = json_string_value (json_object_get (body->root, "name"));

  MdStr given = r->name.len > 0 ? r->name : md_str (name);

  /* md_str_copy() truncates, so only a valid name is copied. */
  if (md_name_valid (given))
    md_str_copy (body->name, sizeof body->name, given);
}

/* Reads and checks the body of a PUT or POST. Returns 0, or the status of the error
   response that was sent. */
static int
read_body (OpRequest *r, Body *body)
{
  MD_AUTO_BUF bytes = { 0 };
  json_error_t json_error;
  char detail[256];
  int status = read_body_bytes (r, &bytes);

  if (status != 0)
    return status;
  body->root = md_json_load (md_buf_str (&bytes), JSON_REJECT_DUPLICATES, &json_error);
  if (body->root == NULL)
    {
      snprintf (detail, sizeof detail, "the body is not valid JSON: line %d: %s", json_error.line,
                json_error.text);
      return respond_bad_request (r, detail);
    }
  if (!json_is_object (body->root))
    return respond_bad_request (r, "the body must be an object with the field \"spec\"");
  status = check_members (r, body);
  if (status != 0)
    return status;
  copy_name (r, body);
  if (body->name[0] == '\0')
    return respond_bad_request (r, "field \"name\" must match [a-z0-9][a-z0-9-]{0,62}");
  body->spec = json_dumps (json_object_get (body->root, "spec"), JSON_COMPACT | JSON_ENCODE_ANY);
  return body->spec != NULL ? 0 : respond_bad_request (r, "field \"spec\" cannot be read");
}

/* ------------------------------------------------------------------ */
/* Changes                                                             */

/* Parses a quoted version, as in the ETag header. */
static bool
parse_etag (const char *text, uint64_t *version)
{
  char *end;

  if (text[0] != '"' || text[1] < '1' || text[1] > '9')
    return false;
  *version = strtoull (text + 1, &end, 10);
  return strcmp (end, "\"") == 0;
}

/* Reads the precondition of a PUT or DELETE. Returns 0, or the status of the error
   response that was sent. */
static int
read_precondition (OpRequest *r, bool may_create, uint64_t *expected)
{
  const char *match = mg_get_header (r->conn, "If-Match");
  const char *none = mg_get_header (r->conn, "If-None-Match");

  if (match != NULL && none != NULL)
    return respond_bad_request (r, "If-Match and If-None-Match exclude each other");
  if (match == NULL && none == NULL)
    return operator_problem (r->conn, 428, "", "",
                             may_create ? "If-Match: \"version\" or If-None-Match: * is needed"
                                        : "If-Match: \"version\" is needed");
  *expected = 0;
  if (match != NULL)
    return parse_etag (match, expected)
               ? 0
               : respond_bad_request (r, "If-Match must be a quoted version");
  if (!may_create || strcmp (none, "*") != 0)
    return respond_bad_request (r, may_create ? "If-None-Match must be *"
                                              : "If-Match: \"version\" is needed");
  return 0;
}

typedef struct
{
  MdChangeKind kind;
  MdStr name;        /* of the resource */
  MdStr spec;        /* MD_CHANGE_PUT only */
  uint64_t expected; /* version to replace; 0: create */
  bool post;         /* POST, whose conflict status is 409 instead of 412 */
} Change;

static int
respond_conflict (OpRequest *r, const Change *change, uint64_t version, const char *detail)
{
  char etag[48] = "";
  char member[48];

  if (version > 0)
    snprintf (etag, sizeof etag, "ETag: \"%llu\"\r\n", (unsigned long long)version);
  snprintf (member, sizeof member, ",\"version\":%llu", (unsigned long long)version);
  return operator_problem (r->conn, change->post ? 409 : 412, etag, member, detail);
}

static int
respond_failure (OpRequest *r, const Change *change, int rc, uint64_t version, const char *detail)
{
  switch (rc)
    {
    case MD_E_CONFLICT:
      return respond_conflict (r, change, version, detail);
    case MD_E_INVALID:
      return respond_bad_request (r, detail);
    case MD_E_TIMEOUT:
      return operator_problem (r->conn, 504, "", ",\"outcome\":\"unknown\"", detail);
    default:
      return operator_problem (r->conn, 503, "Retry-After: 5\r\n", ",\"outcome\":\"not_run\"",
                               detail);
    }
}

static int
respond_change (OpRequest *r, const Change *change, uint64_t version)
{
  MD_AUTO_BUF body = { 0 };
  char headers[256];
  int used = snprintf (headers, sizeof headers, "ETag: \"%llu\"\r\n", (unsigned long long)version);

  md_buf_printf (&body, "{\"kind\":\"%.*s\",\"name\":\"%.*s\",\"version\":%llu}", (int)r->kind.len,
                 r->kind.data, (int)change->name.len, change->name.data,
                 (unsigned long long)version);
  if (change->kind == MD_CHANGE_DELETE || change->expected != 0)
    return operator_respond (r->conn, 200, "application/json", headers, md_buf_str (&body));
  snprintf (headers + used, sizeof headers - (size_t)used, "Location: /v1/resources/%.*s/%.*s\r\n",
            (int)r->kind.len, r->kind.data, (int)change->name.len, change->name.data);
  return operator_respond (r->conn, 201, "application/json", headers, md_buf_str (&body));
}

static void
log_change (const OpRequest *r, const Change *change, int rc, uint64_t version)
{
  char name[MD_NAME_BYTES + 2];

  md_log (MD_LOG_INFO, "change",
          "actor=%s method=%s kind=%.*s name=%s expected=%llu version=%llu result=%s",
          r->token->name, r->info->request_method, (int)r->kind.len, r->kind.data,
          md_log_quote (change->name, name, sizeof name), (unsigned long long)change->expected,
          (unsigned long long)version,
          rc == MD_OK           ? "accepted"
          : rc == MD_E_CONFLICT ? "lost-race"
          : rc == MD_E_TIMEOUT  ? "unknown"
                                : "refused");
}

static int
make_change (OpRequest *r, const Change *change)
{
  MdOperator *server = r->server;
  MdError error = { 0 };
  uint64_t version = 0;
  int rc;

  if (!operator_acquire (&server->changes, server->max_changes))
    return operator_problem (r->conn, 503, "Retry-After: 1\r\n", ",\"outcome\":\"not_run\"",
                             "too many changes are in progress at this entry");
  rc = md_store_change (server->store, change->kind, r->kind, change->name, change->expected,
                        change->spec, md_str (r->token->name), &version, &error);
  operator_release (&server->changes);
  log_change (r, change, rc, version);
  if (rc == MD_OK)
    return respond_change (r, change, version);
  return respond_failure (r, change, rc, version, error.detail);
}

/* Makes a change whose name and spec are read from the body. */
static int
change_from_body (OpRequest *r, Change change)
{
  Body body = { 0 };
  int status = read_body (r, &body);

  if (status == 0)
    {
      change.name = md_str (body.name);
      change.spec = md_str (body.spec);
      status = make_change (r, &change);
    }
  clear_body (&body);
  return status;
}

static int
handle_put (OpRequest *r)
{
  Change change = { .kind = MD_CHANGE_PUT };
  int status = read_precondition (r, true, &change.expected);

  return status != 0 ? status : change_from_body (r, change);
}

static int
handle_post (OpRequest *r)
{
  Change change = { .kind = MD_CHANGE_PUT, .post = true };

  return change_from_body (r, change);
}

static int
handle_delete (OpRequest *r)
{
  Change change = { .kind = MD_CHANGE_DELETE, .name = r->name };
  int status = read_precondition (r, false, &change.expected);

  return status != 0 ? status : make_change (r, &change);
}

/* ------------------------------------------------------------------ */
/* Dispatch                                                            */

static int
handle_method (OpRequest *r)
{
  if (is_method (r, "GET") || is_method (r, "HEAD"))
    return handle_get (r);
  if (!r->declared)
    return operator_problem (r->conn, 405, "Allow: GET, HEAD\r\n", "", "this kind is read-only");
  if (r->name.len == 0 && is_method (r, "POST"))
    return handle_post (r);
  if (r->name.len > 0 && is_method (r, "PUT"))
    return handle_put (r);
  if (r->name.len > 0 && is_method (r, "DELETE"))
    return handle_delete (r);
  return operator_problem (r->conn, 405,
                           r->name.len > 0 ? "Allow: GET, HEAD, PUT, DELETE\r\n"
                                           : "Allow: GET, HEAD, POST\r\n",
                           "", "this path does not support the method");
}

static bool
is_declared_kind (MdStr kind)
{
  return md_str_equal (kind, MD_STR ("pool")) || md_str_equal (kind, MD_STR ("customer"))
         || md_str_equal (kind, MD_STR ("configuration"));
}

/* Splits the path /v1/resources/KIND[/NAME]. Returns false when it has another form or
   the kind is unknown. */
static bool
split_path (OpRequest *r)
{
  const char *at = r->info->local_uri + strlen ("/v1/resources/");
  const char *slash = strchr (at, '/');

  r->kind = slash ? md_str_n (at, (size_t)(slash - at)) : md_str (at);
  r->name = slash ? md_str (slash + 1) : MD_STR ("");
  r->declared = is_declared_kind (r->kind);
  if (!r->declared && !md_observed_has_kind (r->kind))
    return false;
  return slash == NULL || (r->name.len > 0 && memchr (r->name.data, '/', r->name.len) == NULL);
}

/* A customer may only read its own jobs and reports. */
static bool
is_allowed (const OpRequest *r)
{
  if (r->token->is_operator)
    return true;
  return (is_method (r, "GET") || is_method (r, "HEAD"))
         && (md_str_equal (r->kind, MD_STR ("job")) || md_str_equal (r->kind, MD_STR ("report")));
}

int
operator_resources (struct mg_connection *conn, void *data)
{
  OpRequest r = { .server = data, .conn = conn, .info = mg_get_request_info (conn) };
  int status = 0;

  r.token = operator_authenticate (r.server, conn, &status);
  if (r.token == NULL)
    return status;
  if (!split_path (&r))
    return operator_problem (conn, 404, "", "", "no such kind of resource");
  if (!is_allowed (&r))
    return operator_problem (conn, 403, "", "", "this token may not do that");
  return handle_method (&r);
}
