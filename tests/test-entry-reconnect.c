/* test-entry-reconnect.c -- what an entry repeats when the connection of a peer is replaced

   The test plays the peers, over the loopback interface. */

#include "entry-private.h"
#include "suite.h"

#define PASSES 20000 /* only ends a broken run */
#define GUARD 21
#define OWNER 22

static MdEntry entry;
static Shard *shard;
static MdLinks *dialler;
static char address[MD_ADDRESS_BYTES];
static int ups;
static int forwards;
static size_t queried;

static void
on_up (void *user MD_UNUSED, MdLink *dialled MD_UNUSED)
{
  ups++;
}

static void
on_frame (void *user MD_UNUSED, MdLink *dialled MD_UNUSED, const Md__Frame *frame)
{
  if (frame->msg_case == MD__FRAME__MSG_FORWARD)
    forwards++;
  else if (frame->msg_case == MD__FRAME__MSG_QUERY)
    queried += frame->query->n_tasks;
}

static void
on_down (void *user MD_UNUSED, MdLink *dialled MD_UNUSED, const MdError *error MD_UNUSED)
{
}

static const MdLinkHandler dialler_handler = { on_up, on_frame, on_down };

static void
poll_both (void)
{
  md_links_poll (entry.links, md_now () + MD_MS);
  md_links_poll (dialler, md_now () + MD_MS);
}

static MdLink *
dial (void)
{
  MdLink *link = md_links_dial (dialler, md_str (address), NULL);
  int before = ups;

  for (int i = 0; i < PASSES && ups == before; i++)
    poll_both ();
  ck_assert_int_eq (ups, before + 1);
  return link;
}

static void
setup (void)
{
  MdError error = { 0 };

  md_tuning_default (&entry.settings.tuning);
  entry.incarnation = 1;
  entry.members = md_members_new (&entry.settings.tuning);
  entry.links = md_links_new (&entry.settings.tuning, &md_entry_link_handler, &entry);
  dialler = md_links_new (&entry.settings.tuning, &dialler_handler, NULL);
  ck_assert_int_eq (md_links_listen (entry.links, MD_STR ("127.0.0.1:0"), address, &error), MD_OK);
  shard = calloc (1, sizeof *shard);
  ck_assert_ptr_nonnull (shard);
  md_str_copy (shard->name, sizeof shard->name, MD_STR ("relogio-calc/0"));
  md_str_copy (shard->pool, sizeof shard->pool, MD_STR ("relogio-calc"));
  shard->shards = 1;
  shard->n_registered = 1;
  shard->core = md_shard_new (&entry.settings.tuning, entry.incarnation);
  shard->dispatch = md_dispatch_new (&entry.settings.tuning);
  entry.shards = shard;
}

static void
teardown (void)
{
  md_links_free (dialler);
  md_links_free (entry.links);
  md_jobs_drop (&entry, shard, 0);
  md_dispatch_free (shard->dispatch);
  md_shard_free (shard->core);
  free (shard);
  for (Peer *peer = entry.peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      md_peers_clear_batches (peer);
      free (peer->owned);
      free (peer->owned_state);
      free (peer);
    }
  md_members_free (entry.members);
}

static void
send_hello (MdLink *link, MdRole role, uint64_t incarnation)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Hello hello = MD__HELLO__INIT;

  hello.protocol = MD_PROTOCOL;
  hello.role = role;
  hello.name = role == MD_ROLE_GUARD ? "guard-1" : "entry-1";
  hello.incarnation = incarnation;
  hello.pool = "relogio-calc";
  hello.slots = 4;
  frame.msg_case = MD__FRAME__MSG_HELLO;
  frame.hello = &hello;
  md_link_send (link, &frame);
}

static void
send_ownership (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Heartbeat beat = MD__HEARTBEAT__INIT;
  Md__OwnedShard owned = MD__OWNED_SHARD__INIT;
  Md__OwnedShard *list = &owned;

  owned.shard = shard->name;
  owned.state = MD_SHARD_SERVING;
  beat.n_owned = 1;
  beat.owned = &list;
  frame.msg_case = MD__FRAME__MSG_HEARTBEAT;
  frame.heartbeat = &beat;
  md_link_send (link, &frame);
}

static void
forward_job (MdResultFuture *future)
{
  MdSubmission *sub = md_submission_new (0);

  sub->key = (MdKey){ 7, 70 };
  md_str_copy (sub->pool, sizeof sub->pool, MD_STR ("relogio-calc"));
  sub->deadline = md_now () + 60 * MD_SECOND;
  atomic_fetch_add (&future->refs, 1);
  md_forward_route (&entry, MD_OP_SUBMIT, sub, md_waiter_local (future), md_now ());
  md_submission_unref (sub);
}

/* Guards against a job that waits until its deadline because it was forwarded over a connection
   that the owner had given up and replaced before this entry noticed. */
START_TEST (forward_is_repeated_on_a_new_connection)
{
  MdResultFuture *future = md_result_future_new ();
  MdLink *link = dial ();

  send_hello (link, MD_ROLE_ENTRY, OWNER);
  send_ownership (link);
  for (int i = 0; i < PASSES && (entry.peers == NULL || entry.peers->n_owned == 0); i++)
    poll_both ();
  forward_job (future);
  for (int i = 0; i < PASSES && forwards == 0; i++)
    poll_both ();
  ck_assert_int_eq (forwards, 1);

  link = dial ();
  send_hello (link, MD_ROLE_ENTRY, OWNER);
  send_ownership (link);
  for (int i = 0; i < 100 && forwards == 1; i++)
    {
      poll_both ();
      md_forward_tick (&entry, md_now ());
    }
  ck_assert_int_eq (forwards, 2);
  for (int i = 0; i < 20; i++) /* and no more than once for each connection */
    {
      md_forward_tick (&entry, md_now ());
      poll_both ();
    }
  ck_assert_int_eq (forwards, 2);
  md_waiters_free (entry.pending->waiters);
  md_submission_unref (entry.pending->sub);
  free (entry.pending);
  md_result_future_unref (future);
}
END_TEST

static void
send_forward (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Forward forward = MD__FORWARD__INIT;
  Md__ForwardTask task = MD__FORWARD_TASK__INIT;
  Md__ForwardTask *list = &task;
  Md__Key key = MD__KEY__INIT;

  task.method = "GET";
  task.path = "/compute";
  key.hi = 7;
  forward.request = 9;
  forward.shard = shard->name;
  forward.key = &key;
  forward.fingerprint = &key;
  forward.time_left_us = 60 * 1000000;
  forward.n_tasks = 1;
  forward.tasks = &list;
  frame.msg_case = MD__FRAME__MSG_FORWARD;
  frame.forward = &forward;
  md_link_send (link, &frame);
}

/* Guards against a submission that two entries pass to and fro while each takes the other for the
   owner: every pass keeps a copy of its body. */
START_TEST (forward_is_not_sent_back)
{
  MdLink *link = dial ();

  send_hello (link, MD_ROLE_ENTRY, OWNER);
  send_ownership (link);
  send_forward (link);
  for (int i = 0; i < PASSES && entry.pending == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (entry.pending);
  for (int i = 0; i < 20; i++)
    {
      md_forward_tick (&entry, md_now ());
      poll_both ();
    }
  ck_assert_int_eq (forwards, 0);
  md_waiters_free (entry.pending->waiters);
  md_submission_unref (entry.pending->sub);
  free (entry.pending);
}
END_TEST

/* A guard that the entry has attached. */
static void
attach_guard (void)
{
  send_hello (dial (), MD_ROLE_GUARD, GUARD);
  for (int i = 0; i < PASSES && entry.peers == NULL; i++)
    poll_both ();
  ck_assert_ptr_nonnull (entry.peers);
  ck_assert_ptr_eq (entry.peers->shard, shard);
  md_shards_guard_attached (&entry, entry.peers, md_now ());
}

/* A record of the guard about the last task of a job. */
static void
take_record (uint32_t n_tasks, MdRecordState state)
{
  Md__Records records = MD__RECORDS__INIT;
  Md__TaskRecord record = MD__TASK_RECORD__INIT;
  Md__TaskRecord *list = &record;
  Md__Key key = MD__KEY__INIT;
  Md__Key fingerprint = MD__KEY__INIT;

  key.hi = 7;
  fingerprint.hi = 8;
  record.key = &key;
  record.fingerprint = &fingerprint;
  record.task = n_tasks - 1;
  record.n_tasks = n_tasks;
  record.state = state;
  records.n_records = 1;
  records.records = &list;
  md_jobs_records (&entry, entry.peers, &records, md_now ());
}

/* Guards against a task that is awaited until its job's deadline although its guard has refused
   it: tasks that a new owner knew from records only were not asked about again. */
START_TEST (recovered_task_is_queried_on_a_new_connection)
{
  attach_guard ();
  take_record (2, MD_RECORD_RUNNING);
  send_hello (dial (), MD_ROLE_GUARD, GUARD);
  for (int i = 0; i < 100 && queried == 0; i++)
    poll_both ();
  ck_assert_uint_eq (queried, 1);
}
END_TEST

/* Guards against a read beyond the answers of a job, whose guard's record states more tasks. */
START_TEST (record_beyond_the_tasks_of_a_job_is_ignored)
{
  attach_guard ();
  take_record (1, MD_RECORD_RUNNING);
  take_record (100000, MD_RECORD_OK);
  ck_assert_uint_eq (md_jobs_find (shard, (MdKey){ 7, 0 })->n_tasks, 1);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-reconnect");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, forward_is_repeated_on_a_new_connection);
  tcase_add_test (tc, forward_is_not_sent_back);
  tcase_add_test (tc, recovered_task_is_queried_on_a_new_connection);
  tcase_add_test (tc, record_beyond_the_tasks_of_a_job_is_ignored);
  return run_suite ("entry-reconnect", tc);
}
