/* inbox.h -- lock-free queue from any number of threads to the engine thread

   A singly linked stack that producers push to with compare-and-swap. The consumer takes
   the whole stack at once and reverses it, so there is no ABA problem. */

#ifndef MD_INBOX_H
#define MD_INBOX_H

#include <stdatomic.h>
#include <stddef.h>

typedef struct MdInboxNode MdInboxNode;

struct MdInboxNode
{
  MdInboxNode *next; /* the next older node in the inbox; the next newer one in the
                        list of md_inbox_take */
};

typedef struct
{
  _Atomic (MdInboxNode *) newest; /* NULL: empty */
} MdInbox;

/* md_inbox_push: add a node, which belongs to the inbox until it is taken. Thread-safe. */
static inline void
md_inbox_push (MdInbox *inbox, MdInboxNode *node)
{
  node->next = atomic_load_explicit (&inbox->newest, memory_order_relaxed);
  while (!atomic_compare_exchange_weak (&inbox->newest, &node->next, node))
    ;
}

/* md_inbox_take: remove all nodes and return them as a list, oldest first; NULL when there are
   none. */
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
