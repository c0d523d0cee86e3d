/* traits.h -- name, pool and labels of a worker

   They do not change, and are shared by all that describe the worker: reports, records and the view
   that an entry has of it. Texts and their number are of any length. */

#ifndef MD_TRAITS_H
#define MD_TRAITS_H

#include "md-base.h"

/* Index of the rack; the first label is the kind of the worker. */
#define MD_LABEL_RACK 1

/* A worker of which nothing is known has a NULL pointer to its traits: no name, pool or labels. */
typedef struct
{
  MdStr name;    /* of the worker; terminated */
  MdStr pool;    /* it belongs to; terminated */
  MdStr *labels; /* n_labels elements, terminated */
  uint32_t n_labels;
} MdTraits;

/* md_traits_new: traits with copies of the texts, and one owner. NULL when memory is short. */
MdTraits *md_traits_new (MdStr name, MdStr pool, const MdStr *labels, uint32_t n_labels);

/* md_traits_ref: add an owner, of any thread, to the result of md_traits_new. Returns traits; NULL
   is allowed. */
MdTraits *md_traits_ref (MdTraits *traits);

/* md_traits_unref: remove an owner; the last one frees them. NULL is allowed. */
void md_traits_unref (MdTraits *traits);

/* md_traits_equal: whether the name, the pool and all labels are the same. */
bool md_traits_equal (const MdTraits *a, const MdTraits *b);

/* md_traits_name, md_traits_pool: an empty text if it is not known. */
MdStr md_traits_name (const MdTraits *traits);
MdStr md_traits_pool (const MdTraits *traits);

/* md_traits_have: whether label is one of the labels. */
bool md_traits_have (const MdTraits *traits, MdStr label);

/* md_traits_rack: the label of the rack, an empty text if there is none. */
MdStr md_traits_rack (const MdTraits *traits);

#endif
