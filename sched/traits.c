/* traits.c -- name, pool and labels of a worker

   One block of memory holds the owners, the labels and the texts. */

#include "traits.h"

#include <stddef.h>

typedef struct
{
  atomic_uint owners;
  MdTraits traits;
  MdStr labels[]; /* the texts follow */
} SharedTraits;

static SharedTraits *
shared_of (MdTraits *traits)
{
  return (SharedTraits *)((char *)traits - offsetof (SharedTraits, traits));
}

MdTraits *
md_traits_new (MdStr name, MdStr pool, const MdStr *labels, uint32_t n_labels)
{
  size_t size = sizeof (SharedTraits) + n_labels * sizeof (MdStr) + name.len + pool.len + 2;
  SharedTraits *shared;
  char *place;

  for (uint32_t i = 0; i < n_labels; i++)
    size += labels[i].len + 1;
  shared = malloc (size);
  if (shared == NULL)
    return NULL;
  place = (char *)(shared->labels + n_labels);
  atomic_init (&shared->owners, 1);
  shared->traits = (MdTraits){ .labels = shared->labels, .n_labels = n_labels };
  shared->traits.name = md_str_store (&place, name);
  shared->traits.pool = md_str_store (&place, pool);
  for (uint32_t i = 0; i < n_labels; i++)
    shared->labels[i] = md_str_store (&place, labels[i]);
  return &shared->traits;
}

MdTraits *
md_traits_ref (MdTraits *traits)
{
  if (traits != NULL)
    atomic_fetch_add_explicit (&shared_of (traits)->owners, 1, memory_order_relaxed);
  return traits;
}

void
md_traits_unref (MdTraits *traits)
{
  if (traits != NULL
      && atomic_fetch_sub_explicit (&shared_of (traits)->owners, 1, memory_order_acq_rel) == 1)
    free (shared_of (traits));
}

bool
md_traits_equal (const MdTraits *a, const MdTraits *b)
{
  if (a == b)
    return true;
  if (a == NULL || b == NULL || a->n_labels != b->n_labels || !md_str_equal (a->name, b->name)
      || !md_str_equal (a->pool, b->pool))
    return false;
  for (uint32_t i = 0; i < a->n_labels; i++)
    if (!md_str_equal (a->labels[i], b->labels[i]))
      return false;
  return true;
}

MdStr
md_traits_name (const MdTraits *traits)
{
  return traits != NULL ? traits->name : MD_STR ("");
}

MdStr
md_traits_pool (const MdTraits *traits)
{
  return traits != NULL ? traits->pool : MD_STR ("");
}

bool
md_traits_have (const MdTraits *traits, MdStr label)
{
  for (uint32_t i = 0; traits != NULL && i < traits->n_labels; i++)
    if (md_str_equal (traits->labels[i], label))
      return true;
  return false;
}

MdStr
md_traits_rack (const MdTraits *traits)
{
  return traits != NULL && traits->n_labels > MD_LABEL_RACK ? traits->labels[MD_LABEL_RACK]
                                                            : MD_STR ("");
}
