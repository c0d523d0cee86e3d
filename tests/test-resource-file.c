/* test-resource-file.c -- files of declared resources that "apply" reads */

#include "resource-private.h"
#include "suite.h"

#include <unistd.h>

/* Reads the text as a file. Returns the faults, which the caller clears, and the number of documents;
   the spec of the first one is written to spec. */
static MdBuf
load (const char *text, size_t len, size_t *n, char spec[128])
{
  char path[] = "/tmp/md-resource-XXXXXX";
  int fd = mkstemp (path);
  ResourceDocument *documents;
  MdBuf faults = { 0 };
  int rc;

  ck_assert (fd >= 0 && write (fd, text, len) == (ssize_t)len);
  close (fd);
  rc = resource_load (path, &documents, n, &faults);
  unlink (path);
  ck_assert_int_eq (rc, faults.len > 0 ? MD_E_INVALID : MD_OK);
  spec[0] = '\0';
  if (rc == MD_OK && *n > 0)
    {
      md_autofree char *dump = json_dumps (documents[0].spec, JSON_COMPACT);

      md_str_copy (spec, 128, md_str (dump));
    }
  resource_documents_free (documents, *n);
  return faults;
}

/* A text, and what its faults contain; NULL: it is accepted. */
static const struct
{
  MdStr text;
  const char *fault;
} files[] = {
  { MD_STR ("kind: pool\nname: p\nspec: {max_queue: 5}\n"), NULL },
  /* Not taken for the resource whose name has the first 63 bytes. */
  { MD_STR ("kind: pool\n"
            "name: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n"
            "spec: {max_queue: 5}\n"),
    "more than 63 bytes" },
  /* Not left out, which would set the default. */
  { MD_STR ("kind: customer\nname: c\nspec: {weight: 1e999}\n"), "out of range" },
  { MD_STR ("kind: customer\nname: c\nspec:\n- 1\n- 1e999\n"), "out of range" },
  /* Not shortened to the name in front of it. */
  { MD_STR ("kind: pool\nname: \"p\\0q\"\nspec: {}\n"), "null character" },
  { MD_STR ("kind: pool\nname: p\nspec: {\"max_queue\\0x\": 5}\n"), "null character" },
  /* Does not reach the terminal. */
  { MD_STR ("kind: pool\n\"na\\e[2Jme\": p\nspec: {}\n"), "unknown field na?[2Jme" },
  { MD_STR ("kind: pool\nname: p\nspec: {\"a\\nb\": 5}\n"), "a?b" },
};

/* Guards against a document that is applied with another name or spec than it has, and against
   faults of more than one line. */
START_TEST (test_file)
{
  char spec[128];
  size_t n = 0;
  MdBuf faults = load (files[_i].text.data, files[_i].text.len, &n, spec);

  if (files[_i].fault == NULL)
    {
      ck_assert_uint_eq (n, 1);
      ck_assert_str_eq (spec, "{\"max_queue\":5}");
    }
  else
    {
      ck_assert_ptr_nonnull (faults.data);
      ck_assert_ptr_nonnull (strstr (faults.data, files[_i].fault));
      ck_assert_ptr_null (strpbrk (faults.data, "\x1b\r\t"));
    }
  md_buf_clear (&faults);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("resource-file");

  tcase_add_loop_test (tc, test_file, 0, MD_ARRAY_SIZE (files));
  return run_suite ("resource-file", tc);
}
