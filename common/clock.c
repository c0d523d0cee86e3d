/* clock.c -- clocks, random numbers and identifiers

   The monotonic clock is CLOCK_BOOTTIME, because a lease must also expire while the
   machine is suspended. */

#include "md-private.h"

#include <errno.h>
#include <stdio.h>
#include <sys/random.h>
#include <time.h>

MdTime
md_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (MdTime)ts.tv_sec * MD_SECOND + ts.tv_nsec / 1000;
}

int64_t
md_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* For hosts that refuse getrandom, as a filter of system calls may. */
static bool
read_random_device (uint64_t *value)
{
  FILE *file = fopen ("/dev/urandom", "rbe");
  bool ok = file != NULL && fread (value, sizeof *value, 1, file) == 1;

  if (file != NULL)
    fclose (file);
  return ok;
}

uint64_t
md_random (void)
{
  uint64_t value = 0;

  ssize_t n;

  do
    n = getrandom (&value, sizeof value, 0);
  while (n < 0 && errno == EINTR);
  if (n != (ssize_t)sizeof value && !read_random_device (&value))
    abort (); /* incarnations could collide without random numbers */
  return value;
}

uint64_t
md_new_incarnation (void)
{
  return ((uint64_t)md_wall_ms () << 20) | (md_random () & 0xfffff);
}

void
md_uuid7 (char out[37])
{
  uint64_t ms = (uint64_t)md_wall_ms ();
  uint64_t a = md_random ();
  uint64_t b = md_random ();

  /* RFC 9562, section 5.7: 48 bits of time in ms, version 7, variant 10 (binary). */
  snprintf (out, 37, "%08x-%04x-7%03x-%04x-%012llx", (unsigned)(ms >> 16), (unsigned)(ms & 0xffff),
            (unsigned)(a & 0xfff), (unsigned)(0x8000 | (b >> 50)),
            (unsigned long long)(b & 0xffffffffffffULL));
}
