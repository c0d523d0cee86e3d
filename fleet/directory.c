/* directory.c -- list of the addresses of entries known to a process

   Addresses come from the seeds in the settings, from the store and from peers. A dead
   address costs an occasional connection attempt, until the guards that dial it remove
   it. When the list is full, the address added first is removed. It usually belongs to
   an entry that was replaced; that of a running entry is added again when the next guard
   that knows it connects. */

#include "daemon.h"

#include <stdio.h>

/* Returns the index of an address, -1 if it is unknown. */
static int
find_address (const MdDirectory *directory, MdStr address)
{
  for (unsigned i = 0; i < directory->n; i++)
    if (md_str_equal (md_str (directory->address[i]), address))
      return (int)i;
  return -1;
}

/* Removes an address and keeps the order of the others. */
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
  int known = find_address (directory, address);
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

MdTime
md_directory_last_seen (const MdDirectory *directory, MdStr address)
{
  int i = find_address (directory, address);

  return i >= 0 ? directory->last_seen[i] : 0;
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
  int i = find_address (directory, address);

  if (i >= 0)
    remove_at (directory, (unsigned)i);
}

void
md_directory_add_seeds (MdDirectory *directory, const MdSettings *settings, MdTime now)
{
  const char *seed = settings->seeds;

  while (*seed != '\0')
    {
      size_t len = strcspn (seed, ",");
      char address[MD_ADDRESS_BYTES + 8];
      char host[MD_ADDRESS_BYTES];
      int port;

      if (md_address_split (md_str_n (seed, len), host, &port) == MD_OK)
        {
          snprintf (address, sizeof address, "%s:%u", host, settings->entry_port);
          md_directory_add (directory, md_str (address), now);
        }
      seed += len;
      seed += strspn (seed, ",");
    }
}
