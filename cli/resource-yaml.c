/* resource-yaml.c -- resource documents of operators, read from YAML

   A document is turned into JSON by the core schema of YAML 1.2: a plain scalar
   is null, a boolean, a number or text; a quoted one is always text. Aliases are
   refused, because a small file could expand to a huge one. Every fault names the
   line. */

#include "resource-private.h"

#include "config-check.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <yaml.h>

#define FILE_MAX (4u << 20) /* bytes */
#define DEPTH_MAX 32        /* nesting */

typedef struct
{
  yaml_document_t *document; /* being read */
  const char *path;          /* for messages */
  MdBuf *faults;             /* "file:line: reason" lines */
  bool *used;                /* nodes converted already, to find aliases */
} Reader;

static void
add_fault (const Reader *reader, const yaml_node_t *node, const char *reason, const char *what)
{
  size_t start = reader->faults->len;

  md_buf_printf (reader->faults, "%s:%zu: %s%s%s\n", reader->path, node->start_mark.line + 1,
                 reason, *what ? " " : "", what);
  /* The text of a file must not control the operator's terminal, or look like a further line. */
  for (size_t i = start; i + 1 < reader->faults->len; i++)
    if (iscntrl ((unsigned char)reader->faults->data[i]))
      reader->faults->data[i] = '?';
}

/* The text of a scalar; empty, with a fault, when it contains a null character. */
static const char *
scalar_text (const Reader *reader, const yaml_node_t *node)
{
  const char *text = (const char *)node->data.scalar.value;

  if (strlen (text) == node->data.scalar.length)
    return text;
  add_fault (reader, node, "a text must not contain a null character", "");
  return "";
}

static bool
is_one_of (const char *text, const char *const *words)
{
  for (; *words != NULL; words++)
    {
      if (strcmp (text, *words) == 0)
        return true;
    }
  return false;
}

static json_t *
convert_plain (const char *text)
{
  static const char *const nulls[] = { "", "~", "null", "Null", "NULL", NULL };
  static const char *const trues[] = { "true", "True", "TRUE", NULL };
  static const char *const falses[] = { "false", "False", "FALSE", NULL };
  bool numeric = strspn (text, "+-0123456789.eE") == strlen (text) && strpbrk (text, "0123456789");
  char *end;
  long long whole;
  double real;

  if (is_one_of (text, nulls))
    return json_null ();
  if (is_one_of (text, trues))
    return json_true ();
  if (is_one_of (text, falses))
    return json_false ();
  if (!numeric)
    return json_string (text);
  errno = 0;
  whole = strtoll (text, &end, 10);
  if (*end == '\0' && errno == 0)
    return json_integer (whole);
  real = strtod (text, &end);
  return *end == '\0' ? json_real (real) : json_string (text);
}

static json_t *convert (Reader *reader, int index, int depth);

static json_t *
convert_sequence (Reader *reader, const yaml_node_t *node, int depth)
{
  json_t *array = json_array ();

  for (yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    if (json_array_append_new (array, convert (reader, *item, depth + 1)) != 0)
      add_fault (reader, node, "out of memory", "");
  return array;
}

static json_t *
convert_mapping (Reader *reader, const yaml_node_t *node, int depth)
{
  json_t *object = json_object ();

  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      const yaml_node_t *key = yaml_document_get_node (reader->document, pair->key);
      const char *name = key->type == YAML_SCALAR_NODE ? scalar_text (reader, key) : NULL;

      if (name == NULL)
        add_fault (reader, key, "a key must be a scalar", "");
      else if (json_object_get (object, name) != NULL)
        add_fault (reader, key, "duplicate key", name);
      else if (json_object_set_new (object, name, convert (reader, pair->value, depth + 1)) != 0)
        add_fault (reader, key, "out of memory", "");
    }
  return object;
}

static json_t *
convert (Reader *reader, int index, int depth)
{
  const yaml_node_t *node = yaml_document_get_node (reader->document, index);
  json_t *value;

  if (depth > DEPTH_MAX || reader->used[index])
    {
      add_fault (reader, node, depth > DEPTH_MAX ? "nested too deeply" : "aliases are not allowed",
                 "");
      return json_null ();
    }
  reader->used[index] = true;
  switch (node->type)
    {
    case YAML_SCALAR_NODE:
      value = node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE
                  ? convert_plain (scalar_text (reader, node))
                  : json_string (scalar_text (reader, node));
      if (value != NULL)
        return value;
      add_fault (reader, node, "the value is out of range, or memory is short", "");
      return json_null ();
    case YAML_SEQUENCE_NODE:
      return convert_sequence (reader, node, depth);
    case YAML_MAPPING_NODE:
      return convert_mapping (reader, node, depth);
    default:
      return json_null ();
    }
}

/* ------------------------------------------------------------------ */
/* Documents                                                           */

static void
check_keys (Reader *reader, const yaml_node_t *root)
{
  static const char *const keys[] = { "kind", "name", "spec", "version", NULL };

  for (yaml_node_pair_t *pair = root->data.mapping.pairs.start; pair < root->data.mapping.pairs.top;
       pair++)
    {
      const yaml_node_t *key = yaml_document_get_node (reader->document, pair->key);

      if (key->type == YAML_SCALAR_NODE && !is_one_of ((char *)key->data.scalar.value, keys))
        add_fault (reader, key, "unknown field", (char *)key->data.scalar.value);
    }
}

static void
take_text (const Reader *reader, const yaml_node_t *node, const json_t *root, const char *key,
           char field[MD_NAME_BYTES])
{
  const char *text = json_string_value (json_object_get (root, key));

  if (text != NULL && strlen (text) >= MD_NAME_BYTES)
    add_fault (reader, node, "a text of more than 63 bytes in the field", key);
  md_str_copy (field, MD_NAME_BYTES, md_str (text ? text : ""));
}

static void
fill_document (Reader *reader, const yaml_node_t *node, const json_t *root, ResourceDocument *out)
{
  const json_t *version = json_object_get (root, "version");
  MdError error = { 0 };
  md_autofree char *spec = NULL;

  take_text (reader, node, root, "kind", out->kind);
  take_text (reader, node, root, "name", out->name);
  out->spec = json_incref (json_object_get (root, "spec"));
  out->has_version = version != NULL;
  if (version != NULL && (!json_is_integer (version) || json_integer_value (version) < 0))
    add_fault (reader, node, "field \"version\" must be a whole number", "");
  else
    out->version = (uint64_t)json_integer_value (version);
  spec = out->spec ? json_dumps (out->spec, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  if (spec == NULL)
    add_fault (reader, node, "field \"spec\" is missing", "");
  else if (md_config_check (md_str (out->kind), md_str (out->name), md_str (spec), &error) != MD_OK)
    add_fault (reader, node, error.detail, "");
}

static void
read_document (Reader *reader, ResourceDocument *out)
{
  const yaml_node_t *root = yaml_document_get_root_node (reader->document);
  size_t nodes = (size_t)(reader->document->nodes.top - reader->document->nodes.start);
  json_t *value;

  if (root->type != YAML_MAPPING_NODE)
    {
      add_fault (reader, root, "a document must be a mapping with kind, name and spec", "");
      return;
    }
  reader->used = calloc (nodes + 1, sizeof *reader->used);
  if (reader->used == NULL)
    abort ();
  check_keys (reader, root);
  value = convert (reader, 1, 0);
  fill_document (reader, root, value, out);
  json_decref (value);
  free (reader->used);
}

static ResourceDocument *
add_document (ResourceDocument **documents, size_t *n)
{
  ResourceDocument *grown = realloc (*documents, (*n + 1) * sizeof *grown);

  if (grown == NULL)
    abort ();
  *documents = grown;
  memset (&grown[*n], 0, sizeof *grown);
  return &grown[(*n)++];
}

static void
read_all (yaml_parser_t *parser, const char *path, ResourceDocument **documents, size_t *n,
          MdBuf *faults)
{
  for (;;)
    {
      yaml_document_t document;
      Reader reader = { .document = &document, .path = path, .faults = faults };

      if (!yaml_parser_load (parser, &document))
        {
          md_buf_printf (faults, "%s:%zu: %s\n", path, parser->problem_mark.line + 1,
                         parser->problem ? parser->problem : "not YAML");
          return;
        }
      if (yaml_document_get_root_node (&document) == NULL)
        {
          yaml_document_delete (&document);
          return;
        }
      read_document (&reader, add_document (documents, n));
      yaml_document_delete (&document);
    }
}

static bool
read_file (const char *path, MdBuf *text)
{
  FILE *file = fopen (path, "re");
  bool good;

  if (file == NULL)
    return false;
  good = md_stream_read (file, FILE_MAX, text) && text->len <= FILE_MAX;
  fclose (file);
  return good;
}

int
resource_load (const char *path, ResourceDocument **documents, size_t *n, MdBuf *faults)
{
  MD_AUTO_BUF text = { 0 };
  yaml_parser_t parser;

  *documents = NULL;
  *n = 0;
  if (!read_file (path, &text))
    {
      md_buf_printf (faults, "%s:1: cannot be read or is longer than 4 MiB\n", path);
      return MD_E_INVALID;
    }
  if (!yaml_parser_initialize (&parser))
    abort ();
  yaml_parser_set_input_string (&parser, (const unsigned char *)md_buf_str (&text).data, text.len);
  read_all (&parser, path, documents, n, faults);
  yaml_parser_delete (&parser);
  if (faults->len == 0 && *n == 0)
    md_buf_printf (faults, "%s:1: no document\n", path);
  if (faults->failed)
    return MD_E_MEMORY;
  return faults->len > 0 ? MD_E_INVALID : MD_OK;
}

void
resource_documents_free (ResourceDocument *documents, size_t n)
{
  for (size_t i = 0; i < n; i++)
    json_decref (documents[i].spec);
  free (documents);
}
