/* settings-file.c -- reads settings files that may be in the middle of being written

   A program that rewrites the file in place leaves it empty or cut short for a moment, and one
   that replaces it may leave none. A file cut short can be a valid smaller file, in which the
   missing settings have their defaults. A file is therefore read once it has not changed for
   SETTLE_TIME, or at once at a start if it ends with its end marker. */

#include "md-private.h"

#include <errno.h>
#include <stdio.h>
#include <sys/stat.h>
#include <time.h>

#define MAX_FILE_BYTES (1u << 20) /* settings files are a few kilobytes long */
/* Longer than the pauses of a writer that runs; with CHECK_INTERVAL, a change is in force within a
   second and so within the two seconds that a change may take. */
#define SETTLE_TIME (300 * MD_MS)
#define CHECK_INTERVAL (500 * MD_MS)
/* While a changed file settles, and between attempts of a start. */
#define RECHECK_INTERVAL (100 * MD_MS)
/* A platform that starts a process before it has written the file is expected to write it within
   this time; afterwards the exit status shows the fault to whoever restarts processes. */
#define START_TIMEOUT (10 * MD_SECOND)

/* ------------------------------------------------------------------ */
/* Reading                                                             */

static void
get_state (const struct stat *from, MdFileState *state)
{
  state->exists = true;
  state->device = from->st_dev;
  state->inode = from->st_ino;
  state->size = from->st_size;
  state->modified = from->st_mtim;
}

/* Returns 0 or an errno. */
static int
look_up_state (const char *path, MdFileState *state)
{
  struct stat found;

  *state = (MdFileState){ 0 };
  if (stat (path, &found) != 0)
    return errno;
  get_state (&found, state);
  return 0;
}

static bool
is_same_state (const MdFileState *a, const MdFileState *b)
{
  return a->exists == b->exists && a->device == b->device && a->inode == b->inode
         && a->size == b->size && a->modified.tv_sec == b->modified.tv_sec
         && a->modified.tv_nsec == b->modified.tv_nsec;
}

static int
read_open_file (FILE *file, MdBuf *out, MdBuf *reason)
{
  struct stat before;
  struct stat after;
  MdFileState states[2] = { 0 };

  if (fstat (fileno (file), &before) != 0 || !md_stream_read (file, MAX_FILE_BYTES, out)
      || fstat (fileno (file), &after) != 0)
    {
      md_buf_printf (reason, "cannot be read: %s",
                     out->failed ? "out of memory" : strerror (errno));
      return MD_E_IO;
    }
  if (out->len > MAX_FILE_BYTES)
    {
      md_buf_printf (reason, "longer than %u bytes", MAX_FILE_BYTES);
      return MD_E_INVALID;
    }
  get_state (&before, &states[0]);
  get_state (&after, &states[1]);
  if (is_same_state (&states[0], &states[1]))
    return MD_OK;
  md_buf_printf (reason, "changed while it was read");
  return MD_E_IO;
}

static int
read_file (const char *path, MdBuf *out, MdBuf *reason)
{
  FILE *file = fopen (path, "rbe");
  int rc;

  if (file == NULL)
    {
      md_buf_printf (reason, "cannot be read: %s", strerror (errno));
      return MD_E_IO;
    }
  rc = read_open_file (file, out, reason);
  fclose (file);
  return rc;
}

int
md_settings_load (MdSettings *settings, const char *path, MdBuf *faults)
{
  MD_AUTO_BUF text = { 0 };
  MD_AUTO_BUF reason = { 0 };
  int rc = read_file (path, &text, &reason);

  if (rc == MD_OK)
    return md_settings_parse (settings, path, md_buf_str (&text), faults);
  memset (settings, 0, sizeof *settings);
  settings->incomplete = rc == MD_E_IO;
  settings->unreadable = rc == MD_E_IO;
  md_buf_printf (faults, "%s:1: %s\n", path, md_buf_str (&reason).data);
  return MD_E_INVALID;
}

/* ------------------------------------------------------------------ */
/* Changes of the file of a running process                            */

/* Records the state found now. Returns whether the file has been in it for SETTLE_TIME. */
static bool
has_settled (MdSettingsFile *file, const MdFileState *state, MdTime now)
{
  if (file->seen_at == 0 || !is_same_state (&file->seen, state))
    {
      file->seen = *state;
      file->seen_at = now;
    }
  return now - file->seen_at >= SETTLE_TIME;
}

/* A missing file is logged once until it is back. */
static void
note_missing (MdSettingsFile *file, const char *path, int reason)
{
  if (!file->missing)
    md_log (MD_LOG_WARN, "settings-missing", "path=%s errno=%d reason=\"%s\"", path, reason,
            strerror (reason));
  file->missing = true;
}

const char *
md_settings_file_changed (MdSettingsFile *file, const char *path, bool requested, MdTime now)
{
  const char *reason;
  MdFileState state;
  int rc;

  file->requested |= requested;
  if (!requested && now < file->check_due)
    return NULL;
  file->check_due = now + CHECK_INTERVAL;
  rc = look_up_state (path, &state);
  if (rc != 0)
    {
      file->seen_at = 0;
      note_missing (file, path, rc);
      return NULL;
    }
  file->missing = false;
  if (!file->requested && is_same_state (&state, &file->loaded))
    return NULL;
  if (!has_settled (file, &state, now))
    {
      file->check_due = now + RECHECK_INTERVAL;
      return NULL;
    }
  reason = file->requested ? "signal" : "file";
  file->loaded = state;
  file->requested = false;
  return reason;
}

/* ------------------------------------------------------------------ */
/* Start                                                               */

/* Whether the file was changed last before SETTLE_TIME ago, by the wall clock. A clock that was
   set back makes the start wait for SETTLE_TIME. */
static bool
is_old (const MdFileState *state)
{
  struct timespec now;
  MdTime age;

  clock_gettime (CLOCK_REALTIME, &now);
  age = (MdTime)(now.tv_sec - state->modified.tv_sec) * MD_SECOND
        + (now.tv_nsec - state->modified.tv_nsec) / 1000;
  return state->exists && age >= SETTLE_TIME;
}

typedef struct
{
  const char *path;
  MdSettingsFile file; /* states seen during the wait */
  int reason;          /* errno of the last look, 0: the file exists */
  MdBuf logged;        /* reason that was written last */
} StartWait;

/* Prints each reason, the first error of the file, once; the log is opened with the settings. */
static void
report_wait (StartWait *wait, const MdFileState *state, MdStr faults)
{
  const char *end = memchr (faults.data, '\n', faults.len);
  char quoted[256];

  if (end != NULL)
    faults.len = (size_t)(end - faults.data);
  if (wait->logged.len > 0 && md_str_equal (md_buf_str (&wait->logged), faults))
    return;
  md_buf_clear (&wait->logged);
  md_buf_append (&wait->logged, faults);
  fprintf (stderr, "event=settings-wait path=%s size=%lld errno=%d reason=%s\n", wait->path,
           (long long)state->size, wait->reason,
           faults.len > 0 ? md_log_quote (faults, quoted, sizeof quoted) : "\"just changed\"");
}

/* Reads the file once. Returns whether the result is final. */
static bool
try_to_load (StartWait *wait, MdSettings *settings, MdBuf *faults, int *rc)
{
  MdFileState state;
  bool settled;

  md_settings_clear (settings);
  md_buf_clear (faults);
  wait->reason = look_up_state (wait->path, &state);
  *rc = md_settings_load (settings, wait->path, faults);
  settled = has_settled (&wait->file, &state, md_now ()) || is_old (&state);
  wait->file.loaded = state;
  if (*rc == MD_OK && (settled || settings->end_marked))
    return true;
  if (*rc != MD_OK && !settings->incomplete && (settled || settings->end_marked))
    return true;
  report_wait (wait, &state, md_buf_str (faults));
  return false;
}

int
md_settings_wait (MdSettings *settings, const char *path, MdSettingsFile *file,
                  bool (*is_stopping) (void), MdBuf *faults)
{
  struct timespec pause = { 0, RECHECK_INTERVAL * 1000 };
  MdTime deadline = md_now () + START_TIMEOUT;
  StartWait wait = { .path = path };
  int rc;

  memset (settings, 0, sizeof *settings);
  while (!try_to_load (&wait, settings, faults, &rc) && md_now () < deadline)
    {
      if (is_stopping != NULL && is_stopping ())
        {
          rc = MD_E_TIMEOUT;
          break;
        }
      nanosleep (&pause, NULL);
    }
  if (rc != MD_OK)
    fprintf (stderr, "event=start step=settings path=%s size=%lld errno=%d reason=\"%s\"\n", path,
             (long long)wait.file.loaded.size, wait.reason,
             rc == MD_E_TIMEOUT ? "stopped" : "no usable settings file");
  if (file != NULL)
    *file = (MdSettingsFile){ .loaded = wait.file.loaded };
  md_buf_clear (&wait.logged);
  return rc;
}
