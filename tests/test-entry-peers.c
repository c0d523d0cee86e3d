/* test-entry-peers.c -- connections of guards and other entries at an entry, over the loopback
   interface

   The test plays the peer that dialled. */

#include "entry-private.h"
#include "suite.h"

#define PASSES 20000 /* only ends a broken run */

static MdEntry entry;
static MdLinks *dialler;
static MdLink *link;
static int ups;
static int downs;

static void
on_up (void *user MD_UNUSED, MdLink *dialled MD_UNUSED)
{
  ups++;
}

static void
on_frame (void *user MD_UNUSED, MdLink *dialled MD_UNUSED, const Md__Frame *frame MD_UNUSED)
{
}

static void
on_down (void *user MD_UNUSED, MdLink *dialled MD_UNUSED, const MdError *error MD_UNUSED)
{
  downs++;
}

static const MdLinkHandler dialler_handler = { on_up, on_frame, on_down };

static void
poll_both (void)
{
  md_links_poll (entry.links, md_now () + MD_MS);
  md_links_poll (dialler, md_now () + MD_MS);
}

static void
setup (void)
{
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  md_tuning_default (&entry.settings.tuning);
  entry.members = md_members_new (&entry.settings.tuning);
  entry.links = md_links_new (&entry.settings.tuning, &md_entry_link_handler, &entry);
  dialler = md_links_new (&entry.settings.tuning, &dialler_handler, NULL);
  ck_assert_int_eq (md_links_listen (entry.links, MD_STR ("127.0.0.1:0"), address, &error), MD_OK);
  link = md_links_dial (dialler, md_str (address), NULL);
  for (int i = 0; i < PASSES && ups == 0; i++)
    poll_both ();
  ck_assert_int_eq (ups, 1);
}

static void
teardown (void)
{
  md_links_free (dialler);
  md_links_free (entry.links);
  for (Peer *peer = entry.peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      md_peers_clear_batches (peer);
      free (peer);
    }
  md_members_free (entry.members);
}

static void
send_hello (char *name, uint32_t protocol)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Hello hello = MD__HELLO__INIT;

  hello.protocol = protocol;
  hello.role = MD_ROLE_ENTRY;
  hello.name = name;
  hello.incarnation = 7;
  frame.msg_case = MD__FRAME__MSG_HELLO;
  frame.hello = &hello;
  md_link_send (link, &frame);
}

/* Guards against an entry that crashes after a connection was used under two names: when it had
   ended, the peer named first kept the freed link. */
START_TEST (connection_belongs_to_one_peer)
{
  send_hello ("entry-1", MD_PROTOCOL);
  send_hello ("entry-2", MD_PROTOCOL);
  for (int i = 0; i < PASSES && entry.peers == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (entry.peers);
  md_link_disconnect (link);
  for (int i = 0; i < PASSES && downs == 0; i++)
    poll_both ();
  for (int i = 0; i < PASSES && entry.peers->link != NULL; i++)
    poll_both ();
  for (const Peer *peer = entry.peers; peer != NULL; peer = peer->next)
    ck_assert_ptr_null (peer->link);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-peers");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, connection_belongs_to_one_peer);
  return run_suite ("entry-peers", tc);
}
