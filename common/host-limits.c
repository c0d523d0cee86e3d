/* host-limits.c -- limits of descriptors, threads and memory

   Without descriptors a server for callers cannot accept connections, and CivetWeb tries again at
   once as long as one waits. The number of connections that it accepts is therefore bounded by what
   the limit leaves, so that further ones wait in the kernel. */

#include "host-limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#define PATH_BYTES 512           /* of files of a control group, with terminator */
#define MAX_WAITING 512u         /* connections that wait for a thread, with descriptors to spare */
#define DESCRIPTORS_PER_THREAD 2 /* a connection, and an eventfd for the answer of the engine */
#define OWN_THREADS 16           /* beside those for callers: engine, readers, probes, logger */

static long long
lower (long long a, long long b)
{
  if (a == MD_NO_LIMIT || b == MD_NO_LIMIT)
    return a == MD_NO_LIMIT ? b : a;
  return a < b ? a : b;
}

static long long
soft_limit (__rlimit_resource_t resource)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return MD_NO_LIMIT;
  return (long long)limit.rlim_cur;
}

/* A file that holds a number, or "max". Version 1 of control groups writes a number of pages near
   the largest integer for no limit. */
static long long
read_limit (const char *path)
{
  FILE *file = fopen (path, "r");
  long long value = MD_NO_LIMIT;

  if (file == NULL)
    return MD_NO_LIMIT;
  if (fscanf (file, "%lld", &value) != 1 || value <= 0 || value > INT64_MAX / 2)
    value = MD_NO_LIMIT;
  fclose (file);
  return value;
}

/* Finds the group of this process: of the controller in version 1, of all in version 2. */
static bool
find_group (const char *controller, char *group, size_t size)
{
  FILE *file = fopen ("/proc/self/cgroup", "r");
  char line[PATH_BYTES];
  bool found = false;

  while (file != NULL && !found && fgets (line, sizeof line, file) != NULL)
    {
      char *names = strchr (line, ':');
      char *path = names != NULL ? strchr (names + 1, ':') : NULL;

      if (path == NULL)
        continue;
      *path++ = '\0';
      path[strcspn (path, "\n")] = '\0';
      found = strcmp (names + 1, controller) == 0;
      if (found)
        md_str_copy (group, size, md_str (path));
    }
  if (file != NULL)
    fclose (file);
  return found;
}

/* The limit of the group, and that of the root that a container sees as its own. */
static long long
group_limit (const char *controller, const char *name)
{
  char group[PATH_BYTES] = "";
  char path[2 * PATH_BYTES];
  const char *separator = controller[0] != '\0' ? "/" : "";
  long long limit;

  if (!find_group (controller, group, sizeof group))
    return MD_NO_LIMIT;
  snprintf (path, sizeof path, "/sys/fs/cgroup%s%s/%s", separator, controller, name);
  limit = read_limit (path);
  snprintf (path, sizeof path, "/sys/fs/cgroup%s%s%s/%s", separator, controller, group, name);
  return lower (limit, read_limit (path));
}

double
md_host_parse_cpu_max (const char *text)
{
  char *end;
  double quota = strtod (text, &end);
  double period;

  if (end == text || *end != ' ')
    return 0; /* "max" */
  period = strtod (end, NULL);
  return quota > 0 && period > 0 ? quota / period : 0;
}

static double
read_cpu_max (const char *group)
{
  char path[2 * PATH_BYTES];
  char line[64];
  double share = 0;
  FILE *file;

  snprintf (path, sizeof path, "/sys/fs/cgroup%s/cpu.max", group);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fgets (line, sizeof line, file) != NULL)
    share = md_host_parse_cpu_max (line);
  fclose (file);
  return share;
}

/* Of version 1; it writes a quota of -1 for no limit, which read_limit takes for none. */
static double
read_cfs_quota (void)
{
  long long quota = group_limit ("cpu", "cpu.cfs_quota_us");
  long long period = group_limit ("cpu", "cpu.cfs_period_us");

  return quota > 0 && period > 0 ? (double)quota / (double)period : 0;
}

double
md_host_processor_share (void)
{
  char group[PATH_BYTES] = "";
  double root = read_cpu_max ("");
  double own = find_group ("", group, sizeof group) ? read_cpu_max (group) : 0;

  if (root <= 0 && own <= 0)
    return read_cfs_quota ();
  if (root <= 0 || own <= 0)
    return root > own ? root : own;
  return root < own ? root : own;
}

void
md_host_limits_read (MdHostLimits *limits)
{
  limits->descriptors = soft_limit (RLIMIT_NOFILE);
  limits->threads = lower (soft_limit (RLIMIT_NPROC), group_limit ("", "pids.max"));
  limits->threads = lower (limits->threads, group_limit ("pids", "pids.max"));
  limits->memory_bytes = lower (soft_limit (RLIMIT_AS), group_limit ("", "memory.max"));
  limits->memory_bytes
      = lower (limits->memory_bytes, group_limit ("memory", "memory.limit_in_bytes"));
}

MdHostShare
md_host_share (const MdHostLimits *limits, unsigned wanted)
{
  MdHostShare share = { .threads = wanted, .waiting = MAX_WAITING };
  long long free_descriptors;

  if (limits->descriptors == MD_NO_LIMIT)
    return share;
  /* Half of the descriptors for threads, half of the rest for connections that wait; what remains
     is for links, the store and the log. */
  if (limits->descriptors / 2 < (long long)wanted * DESCRIPTORS_PER_THREAD)
    share.threads = (unsigned)(limits->descriptors / 2 / DESCRIPTORS_PER_THREAD);
  if (share.threads == 0)
    share.threads = 1;
  free_descriptors = limits->descriptors - (long long)share.threads * DESCRIPTORS_PER_THREAD;
  if (free_descriptors / 2 < MAX_WAITING)
    share.waiting = free_descriptors > 2 ? (unsigned)(free_descriptors / 2) : 1;
  return share;
}

MdHostShare
md_host_own_share (unsigned wanted)
{
  MdHostLimits limits;

  md_host_limits_read (&limits);
  return md_host_share (&limits, wanted);
}

unsigned
md_host_thread_count (void)
{
  FILE *file = fopen ("/proc/self/status", "r");
  char line[256];
  unsigned long threads = 0;

  if (file == NULL)
    return 0;
  while (threads == 0 && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "Threads:", strlen ("Threads:")) == 0)
      threads = strtoul (line + strlen ("Threads:"), NULL, 10);
  fclose (file);
  return (unsigned)threads;
}

unsigned
md_host_check_threads (unsigned before, unsigned asked, const char *address)
{
  unsigned after = md_host_thread_count ();
  unsigned started;

  if (before == 0 || after <= before)
    return asked;
  started = after - before - 1; /* one accepts connections */
  if (started >= asked)
    return asked;
  md_log (MD_LOG_WARN, "threads-missing", "address=%s asked=%u started=%u", address, asked,
          started);
  return started > 0 ? started : 1;
}

/* Returns the former limit. */
static long long
raise_descriptors (void)
{
  struct rlimit limit;
  long long former = soft_limit (RLIMIT_NOFILE);

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  return former;
}

static void
warn_if_short (const MdHostLimits *limits, unsigned wanted)
{
  MdHostShare share = md_host_share (limits, wanted);

  if (share.threads < wanted)
    md_log (MD_LOG_WARN, "descriptors-short", "descriptors=%lld caller_threads=%u possible=%u",
            limits->descriptors, wanted, share.threads);
  if (limits->threads != MD_NO_LIMIT && limits->threads < (long long)wanted + OWN_THREADS)
    md_log (MD_LOG_WARN, "threads-short", "threads=%lld caller_threads=%u", limits->threads,
            wanted);
}

void
md_host_limits_open (const MdSettings *settings)
{
  long long former = raise_descriptors ();
  MdHostLimits limits;

  md_host_limits_read (&limits);
  md_log (MD_LOG_INFO, "host-limits",
          "descriptors=%lld descriptors_before=%lld threads=%lld memory_mb=%lld processors=%ld",
          limits.descriptors, former, limits.threads,
          limits.memory_bytes == MD_NO_LIMIT ? MD_NO_LIMIT : limits.memory_bytes >> 20,
          sysconf (_SC_NPROCESSORS_ONLN));
  if (settings->caller_address[0] != '\0')
    warn_if_short (&limits, settings->caller_threads);
}
