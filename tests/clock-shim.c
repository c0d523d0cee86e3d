/* clock-shim.c -- steps of the time of day for one process

   Preloaded by soak.sh. The wall clock of the process is that of the machine plus the
   milliseconds that stand, as text, at the start of the file in CLOCK_OFFSET_FILE; the
   file is mapped, so a change takes effect at once. Other clocks keep their time. */

#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define FILE_BYTES 16

static const char *offset_text; /* mapped; NULL: no steps */

__attribute__ ((constructor)) static void
map_file (void)
{
  const char *path = getenv ("CLOCK_OFFSET_FILE");
  int fd = path != NULL ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  void *map = fd >= 0 ? mmap (NULL, FILE_BYTES, PROT_READ, MAP_SHARED, fd, 0) : MAP_FAILED;

  if (map != MAP_FAILED)
    offset_text = map;
  if (fd >= 0)
    close (fd);
}

static long
offset_ms (void)
{
  return offset_text != NULL ? strtol (offset_text, NULL, 10) : 0;
}

int
clock_gettime (clockid_t id, struct timespec *ts)
{
  int rc = (int)syscall (SYS_clock_gettime, id, ts);
  long ms = offset_ms ();

  if (rc != 0 || id != CLOCK_REALTIME || ms == 0)
    return rc;
  ts->tv_sec += ms / 1000;
  ts->tv_nsec += ms % 1000 * 1000000;
  if (ts->tv_nsec < 0)
    {
      ts->tv_nsec += 1000000000;
      ts->tv_sec--;
    }
  if (ts->tv_nsec >= 1000000000)
    {
      ts->tv_nsec -= 1000000000;
      ts->tv_sec++;
    }
  return 0;
}

time_t
time (time_t *out)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  if (out != NULL)
    *out = ts.tv_sec;
  return ts.tv_sec;
}

int
gettimeofday (struct timeval *restrict tv, void *restrict zone __attribute__ ((unused)))
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  tv->tv_sec = ts.tv_sec;
  tv->tv_usec = ts.tv_nsec / 1000;
  return 0;
}
