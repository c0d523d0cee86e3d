/* corpus-util.c -- the committed inputs of the fuzzer's targets */

#include "corpus.h"
#include "suite.h"

#include <dirent.h>
#include <errno.h>

static void
read_input (const char *path, size_t max_bytes, MdBuf *input)
{
  FILE *file = fopen (path, "re");

  ck_assert_msg (file != NULL, "%s: %s", path, strerror (errno));
  ck_assert (md_stream_read (file, max_bytes, input));
  fclose (file);
}

unsigned
corpus_each (const FuzzTarget *target, size_t max_bytes,
             void (*run) (const FuzzTarget *target, const char *path, MdStr input))
{
  unsigned files = 0;
  char folder[256];
  DIR *dir;

  snprintf (folder, sizeof folder, "tests/fuzz/corpus/%s", target->name);
  dir = opendir (folder);
  ck_assert_msg (dir != NULL, "%s: %s", folder, strerror (errno));
  for (const struct dirent *file; (file = readdir (dir)) != NULL;)
    {
      MD_AUTO_BUF input = { 0 };
      char path[512];

      if (file->d_name[0] == '.')
        continue;
      snprintf (path, sizeof path, "%s/%s", folder, file->d_name);
      read_input (path, max_bytes, &input);
      run (target, path, md_buf_str (&input));
      files++;
    }
  closedir (dir);
  return files;
}
