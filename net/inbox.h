/* inbox.h -- lock-free queue from any thread to the engine thread */

#ifndef MD_INBOX_H
#define MD_INBOX_H

#include <stdatomic.h>
#include <stddef.h>

typedef struct MdNode MdNode;

struct MdNode
{
  MdNode *next; /* older node in the inbox, newer one after md_inbox_take */
};

typedef struct
{
  _Atomic (MdNode *) newest; /* pushed last */
} MdInbox;

static inline void
md_inbox_push (MdInbox *inbox, MdNode *node)
{
  node->next = atomic_load_explicit (&inbox->newest, memory_order_relaxed);
  while (!atomic_compare_exchange_weak (&inbox->newest, &node->next, node))
    ;
}

/* md_inbox_take: all nodes, oldest first. */
static inline MdNode *
md_inbox_take (MdInbox *inbox)
{
  MdNode *node = atomic_exchange (&inbox->newest, NULL);
  MdNode *oldest = NULL;

  while (node != NULL)
    {
      MdNode *next = node->next;

      node->next = oldest;
      oldest = node;
      node = next;
    }
  return oldest;
}

#endif
