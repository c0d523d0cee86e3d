/* evacuation.c -- which failure domains are evacuated, as of which place in the log

   Load pattern: a handful of records a day, read by all entries at slightly different times,
   through a store that may be slow, answer twice, or fail between two pages. 240 guards hear the
   result from up to 55 entries ten times a second, some of which are late. Records are therefore
   compared by their place in the log, never by the time of their arrival.

   Pages of newest records are not a snapshot: a later page may contain a record that was written
   after the end that the first page stated. That record is read again in order, after older ones of
   the same domain, which must not take effect in between. */

#include "evacuation.h"

#include <string.h>

static MdEvacuatedDomain *
find_domain (MdEvacuated *set, MdStr domain)
{
  for (uint32_t i = 0; i < set->n; i++)
    if (md_str_equal (md_str (set->domains[i].name), domain))
      return &set->domains[i];
  return NULL;
}

bool
md_evacuated_has (const MdEvacuated *set, const char *domain)
{
  for (uint32_t i = 0; i < set->n; i++)
    if (strcmp (set->domains[i].name, domain) == 0)
      return true;
  return false;
}

void
md_evacuation_begin_pages (MdEvacuationLog *log)
{
  if (log->paging)
    return;
  log->paging = true;
  log->pages = (MdEvacuated){ 0 };
}

static bool
add_domain (MdEvacuated *set, MdStr domain, uint64_t offset)
{
  MdEvacuatedDomain *added;

  if (domain.len == 0 || domain.len >= sizeof added->name || set->n == MD_MAX_EVACUATED)
    return false;
  added = &set->domains[set->n++];
  md_str_copy (added->name, sizeof added->name, domain);
  added->offset = offset;
  return true;
}

bool
md_evacuation_record (MdEvacuationLog *log, MdStr domain, bool evacuated, uint64_t offset)
{
  MdEvacuated *set = log->paging ? &log->pages : &log->known;
  MdEvacuatedDomain *found = find_domain (set, domain);
  bool kept = true;

  if (!log->paging && offset < log->known.version)
    return true;
  if (found != NULL && offset < found->offset)
    return true;
  if (evacuated && found != NULL)
    found->offset = offset;
  else if (evacuated)
    kept = add_domain (set, domain, offset);
  else if (found != NULL)
    *found = set->domains[--set->n];
  if (!log->paging)
    log->known.version = offset + 1;
  return kept;
}

bool
md_evacuation_read_up_to (MdEvacuationLog *log, uint64_t end)
{
  bool paging = log->paging;

  log->paging = false;
  if (paging && end < log->known.version)
    return false;
  if (paging)
    log->known = log->pages;
  if (end > log->known.version)
    log->known.version = end;
  return true;
}

bool
md_evacuation_adopt (MdEvacuationNotice *notice, bool evacuated, uint64_t version)
{
  bool changed = notice->evacuated != evacuated;

  if (version <= notice->version)
    return false;
  notice->version = version;
  notice->evacuated = evacuated;
  return changed;
}
