/* inbox.h -- lock-free queue from any thread to the engine thread */

#ifndef MD_INBOX_H
#define MD_INBOX_H

#include <stdatomic.h>
#include <stddef.h>

typedef struct MdInboxNode MdInboxNode;

struct MdInboxNode
{
  MdInboxNode *next; /* older node in the inbox, newer one after md_inbox_take */
};

typedef struct
{
  _Atomic (MdInboxNode *) newest; /* pushed last */
} MdInbox;

static inline void
md_inbox_push (MdInbox *inbox, MdInboxNode *node)
{
  node->next = atomic_load_explicit (&inbox->newest, memory_order_relaxed);
  while (!atomic_compare_exchange_weak (&inbox->newest, &node->next, node))
    ;
}

/* md_inbox_take: all nodes, oldest first. */
static inline MdInboxNode *
md_inbox_take (MdInbox *inbox)
{
  MdInboxNode *node = atomic_exchange (&inbox->newest, NULL);
  MdInboxNode *oldest = NULL;

  while (node != NULL)
    {
      MdInboxNode *next = node->next;

      node->next = oldest;
      oldest = node;
      node = next;
    }
  return oldest;
}

#endif
