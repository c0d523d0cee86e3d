/* directory.c -- addresses of the entries that a process knows

   They come from the seeds in the settings, from the store and from peers. An address
   that answers nobody costs a dial now and then and is dropped after a while by the
   guards that dial it. The oldest one makes room when there are too many: entries are
   replaced, and one that lives is named again by the next guard that connects. */

#include "daemon.h"

#include <stdio.h>

static int
find (const MdDirectory *directory, MdStr address)
{
  for (unsigned i = 0; i < directory->n; i++)
    if (md_str_equal (md_str (directory->address[i]), address))
      return (int)i;
  return -1;
}

/* Keeps the order of age. */
static void
remove_at (MdDirectory *directory, unsigned i)
{
  directory->n--;
  memmove (directory->address[i], directory->address[i + 1],
           (directory->n - i) * sizeof directory->address[0]);
  memmove (&directory->last_seen[i], &directory->last_seen[i + 1],
           (directory->n - i) * sizeof directory->last_seen[0]);
}

bool
md_directory_add (MdDirectory *directory, MdStr address, MdTime now)
{
  char host[MD_ADDRESS_BYTES];
  int known = find (directory, address);
  int port;

  if (known >= 0)
    directory->last_seen[known] = now;
  if (known >= 0 || md_address_split (address, host, &port) != MD_OK)
    return false;
  if (directory->n == MD_MAX_ENTRIES)
    remove_at (directory, 0);
  directory->last_seen[directory->n] = now;
  md_str_copy (directory->address[directory->n++], MD_ADDRESS_BYTES, address);
  return true;
}

void
md_directory_expire (MdDirectory *directory, MdTime since)
{
  for (unsigned i = directory->n; i-- > 0;)
    if (directory->last_seen[i] < since)
      remove_at (directory, i);
}

void
md_directory_remove (MdDirectory *directory, MdStr address)
{
  int i = find (directory, address);

  if (i >= 0)
    remove_at (directory, (unsigned)i);
}

void
md_directory_add_seeds (MdDirectory *directory, const MdSettings *settings, MdTime now)
{
  const char *at = settings->seeds;

  while (*at != '\0')
    {
      size_t len = strcspn (at, ",");
      char address[MD_ADDRESS_BYTES + 8];
      char host[MD_ADDRESS_BYTES];
      int port;

      if (md_address_split (md_str_n (at, len), host, &port) == MD_OK)
        {
          snprintf (address, sizeof address, "%s:%u", host, settings->entry_port);
          md_directory_add (directory, md_str (address), now);
        }
      at += len;
      at += strspn (at, ",");
    }
}
