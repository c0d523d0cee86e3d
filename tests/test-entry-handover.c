/* test-entry-handover.c -- an entry that hands requests over and takes those of others

   The entry has an HTTP front end and an engine, which the tests run step by step. The test plays
   the other entry, over a link that the entry dials. */

#include "fixture.h"
#include "front.h"
#include "suite.h"

#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT (10 * MD_SECOND) /* only ends a broken run */
#define DONE "{\"state\":\"completed\"}"
#define MAX_FRAMES 8
/* Long enough that a slow machine does not make it late, and the entry rejects it. */
#define LONG_JOB                                                                                   \
  "{\"best_effort\":true,\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"       \
  "\"estimated_ms\":3000}]}"

static const MdRoute calc_route = { .host = MD_STR ("jobs.example"), .prefix = MD_STR ("/calc/") };
static MdEntryGuard guard; /* without a link: nothing that is ordered starts */
static MdWorker *workers[] = { &guard.worker };
static MdSavedResources saved[1];
static bool excluded[1];

/* The other entry. */
static MdLinks *other;
static MdLink *other_link;                   /* of the entry, NULL: not connected */
static bool pressed;                         /* the entry is short of processor time */
static bool mute;                            /* the other entry sends nothing */
static MdTime load_due;                      /* its next report */
static Md__JobHandover received[MAX_FRAMES]; /* numbers only */
static char bodies[MAX_FRAMES][256];
static char paths[MAX_FRAMES][64];
static int n_received;
static uint64_t cancelled;       /* the last JobHandoverCancel, 0: none */
static Md__JobHandoverEnd ended; /* numbers of the last one */
static char ended_state[32];
static int n_ended;

static void
send_other_hello (void)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__PeerHello hello = MD__PEER_HELLO__INIT;

  hello.name = "entry-2";
  hello.incarnation = 22;
  hello.failure_domain = "lusitania-a";
  hello.share = 500;
  frame.msg_case = MD__FRAME__MSG_PEER_HELLO;
  frame.peer_hello = &hello;
  md_link_send (other_link, &frame);
}

static void
send_other_load (void)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__PeerLoad load = MD__PEER_LOAD__INIT;

  load.takes = true;
  load.use_permille = 100;
  frame.msg_case = MD__FRAME__MSG_PEER_LOAD;
  frame.peer_load = &load;
  md_link_send (other_link, &frame);
}

static void
on_up (void *user MD_UNUSED, MdLink *up)
{
  other_link = up;
}

static void
on_frame (void *user MD_UNUSED, MdLink *from MD_UNUSED, const Md__Frame *frame)
{
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_PEER_HELLO:
      ck_assert_str_eq (frame->peer_hello->name, "entry-1");
      send_other_hello ();
      break;
    case MD__FRAME__MSG_JOB_HANDOVER:
      ck_assert_int_lt (n_received, MAX_FRAMES);
      snprintf (bodies[n_received], sizeof bodies[0], "%.*s", (int)frame->job_handover->body.len,
                frame->job_handover->body.len > 0 ? (const char *)frame->job_handover->body.data
                                                  : "");
      snprintf (paths[n_received], sizeof paths[0], "%s", frame->job_handover->path);
      received[n_received++] = *frame->job_handover;
      break;
    case MD__FRAME__MSG_JOB_HANDOVER_CANCEL:
      cancelled = frame->job_handover_cancel->id;
      break;
    case MD__FRAME__MSG_JOB_HANDOVER_END:
      ended = *frame->job_handover_end;
      snprintf (ended_state, sizeof ended_state, "%s", frame->job_handover_end->state);
      n_ended++;
      break;
    default:
      break;
    }
}

static void
on_down (void *user MD_UNUSED, MdLink *down, const MdError *error MD_UNUSED)
{
  if (down == other_link)
    other_link = NULL;
}

static const MdLinkHandler other_handler = { on_up, on_frame, on_down };

/* One pass of both entries. */
static void
step (void)
{
  md_links_poll (front_entry.daemon.links, md_now () + MD_MS);
  front_entry.now = md_now ();
  if (pressed)
    {
      front_entry.load.pressure.active = true;
      front_entry.load.pressure.busy_at = front_entry.now;
      md_lag_add (&front_entry.load.lag, 30 * MD_MS, front_entry.now);
    }
  md_entry_handle_requests (&front_entry, MD_SECOND);
  md_entry_peers_poll (&front_entry);
  md_links_poll (other, md_now () + MD_MS);
  if (other_link != NULL && !mute && md_now () >= load_due)
    {
      send_other_load ();
      load_due = md_now () + MD_HANDOVER_LOAD_INTERVAL;
    }
}

/* Runs both entries until a number is as large. */
static void
step_until (const int *number, int value)
{
  for (MdTime end = md_now () + WAIT; *number < value && md_now () < end;)
    step ();
  ck_assert_int_ge (*number, value);
}

static void
step_for (MdTime time)
{
  for (MdTime end = md_now () + time; md_now () < end;)
    step ();
}

static void
step_until_jobs (uint32_t n)
{
  for (MdTime end = md_now () + WAIT; front_entry.n_jobs != n && md_now () < end;)
    step ();
  ck_assert_uint_eq (front_entry.n_jobs, n);
}

/* Until the entry offers its requests, or is connected and would not. */
static void
connect_peers (void)
{
  pressed = true;
  for (MdTime end = md_now () + WAIT;
       atomic_load (&front_entry.handover.offer) < 1000 && md_now () < end;)
    step ();
  ck_assert_int_eq (atomic_load (&front_entry.handover.offer), 1000);
}

/* The entry has time for requests of others. */
static void
relieve (void)
{
  pressed = false;
  front_entry.load.pressure = (MdShortage){ 0 };
}

static void
setup (void)
{
  MdSettings *settings = &front_entry.daemon.settings;
  MdError error = { 0 };
  char address[MD_ADDRESS_BYTES];

  front_setup ();
  md_links_free (front_entry.daemon.links);
  front_entry.daemon.links = md_links_new (&settings->tuning, &md_run_entry_handler, &front_entry);
  front_entry.now = md_now ();
  front_entry.next_order_id = 1;
  front_entry.incarnation = 11;
  atomic_store (&front_entry.ready, true);
  md_leases_set (&front_entry.daemon.leases, 1300 * MD_MS, 50 * MD_MS);
  settings->handover = true;
  md_str_copy (settings->name, sizeof settings->name, MD_STR ("entry-1"));
  md_str_copy (settings->failure_domain, sizeof settings->failure_domain, MD_STR ("lusitania-a"));
  guard.worker = (MdWorker){ .speed = 1,
                             .connected = true,
                             .state = MD_WORKER_READY,
                             .capacity = { 16000, 32768, 0 },
                             .free = { 16000, 32768, 0 },
                             .reported_at = front_entry.now };
  guard.worker.traits = test_traits ("calc", NULL, NULL);
  front_entry.workers = (MdWorkers){ .workers = workers, .n = 1, .remote_factor = 1.5 };
  front_entry.saved_resources = saved;
  front_entry.excluded = excluded;
  other = md_links_new (&settings->tuning, &other_handler, NULL);
  ck_assert_int_eq (md_links_listen (other, MD_STR ("127.0.0.1:0"), address, &error), MD_OK);
  md_directory_add (&front_entry.directory, md_str (address), front_entry.now);
}

static void
teardown (void)
{
  md_entry_handover_fail_all (&front_entry);
  md_entry_fail_all (&front_entry);
  /* The threads of the front end wait for the engine. */
  for (MdTime end = md_now () + WAIT;
       atomic_load (&front_entry.active_requests) > 0 && md_now () < end; usleep (1000))
    md_entry_reject_requests (&front_entry);
  md_links_free (other);
  front_teardown ();
  md_entry_free_peers (&front_entry);
}

/* Runs both entries until the caller has a response; returns its status. */
static int
read_status (int fd, char response[1024])
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  MdTime end = md_now () + WAIT;
  ssize_t n;

  while (poll (&poll_fd, 1, 0) == 0 && md_now () < end)
    step ();
  ck_assert_int_ne (poll_fd.revents, 0);
  n = read (fd, response, 1023);
  response[n > 0 ? n : 0] = '\0';
  return n > 0 ? atoi (response + strlen ("HTTP/1.1 ")) : 0;
}

static void
send_end (uint64_t id, uint32_t status, char *state)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__JobHandoverEnd end = MD__JOB_HANDOVER_END__INIT;

  end.id = id;
  end.status = status;
  end.state = state;
  if (status == 200)
    {
      end.body.data = (uint8_t *)DONE;
      end.body.len = strlen (DONE);
    }
  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_END;
  frame.job_handover_end = &end;
  md_link_send (other_link, &frame);
}

/* A job that was handed over; the socket of its caller. */
static int
hand_over_job (void)
{
  int fd = front_connect ();

  front_post_body (fd, ID, LONG_JOB);
  step_until (&n_received, 1);
  ck_assert_uint_eq (front_entry.n_jobs, 0);
  return fd;
}

/* ------------------------------------------------------------------ */
/* Hander                                                             */

/* Guards against a request that arrives changed at the taker, and against an answer that does not
   arrive at the caller or is not known any more when the caller repeats the job. */
START_TEST (handed_over_and_answered)
{
  char response[1024];
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  ck_assert_str_eq (bodies[0], LONG_JOB);
  ck_assert_str_eq (paths[0], "/calc/" ID);
  ck_assert_uint_eq (received[0].op, 0);
  send_end (received[0].id, 200, MD_PLATFORM_COMPLETED);
  ck_assert_int_eq (read_status (fd, response), 200);
  ck_assert_ptr_nonnull (strstr (response, DONE));
  close (fd);
  fd = front_connect ();
  front_post_body (fd, ID, LONG_JOB);
  ck_assert_int_eq (read_status (fd, response), 200);
  ck_assert_int_eq (n_received, 1);
  close (fd);
}
END_TEST

/* Guards against a job that is lost, or handed over again, when the taker has no time for it
   either. */
START_TEST (refused_request_is_served_here)
{
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  send_end (received[0].id, 0, "");
  step_until_jobs (1);
  step_for (50 * MD_MS);
  ck_assert_int_eq (n_received, 1);
  ck_assert_uint_eq (front_entry.n_jobs, 1);
  close (fd);
}
END_TEST

/* Guards against a caller that waits until its time is over when the taker dies, and against an
   answer that says that nothing has run. */
START_TEST (lost_taker_is_answered_unknown)
{
  char response[1024];
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  md_link_disconnect (other_link);
  ck_assert_int_eq (read_status (fd, response), 504);
  ck_assert_uint_eq (front_entry.n_jobs, 0);
  ck_assert (md_recent_jobs_find (&front_entry.recent_jobs, md_entry_hash_id (ID), md_now ()));
  close (fd);
}
END_TEST

/* Guards against the same when the taker is frozen and its kernel keeps the connection. */
START_TEST (silent_taker_is_lost)
{
  char response[1024];
  MdTime begin;
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  mute = true;
  begin = md_now ();
  ck_assert_int_eq (read_status (fd, response), 504);
  ck_assert_int_ge (md_now () - begin, MD_PEER_SILENCE - MD_HANDOVER_LOAD_INTERVAL - 50 * MD_MS);
  ck_assert_int_lt (md_now () - begin, MD_SECOND);
  close (fd);
}
END_TEST

/* Guards against a job that goes on at the taker, in parallel with its repetition, after its caller
   has left the hander. */
START_TEST (caller_that_leaves_cancels)
{
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  close (fd);
  for (MdTime end = md_now () + WAIT; cancelled == 0 && md_now () < end;)
    step ();
  ck_assert_uint_eq (cancelled, received[0].id);
  /* An end that has crossed the cancel. */
  send_end (received[0].id, 200, MD_PLATFORM_COMPLETED);
  step_for (50 * MD_MS);
}
END_TEST

/* Guards against an entry that, after a pause, answers a caller that has left meanwhile, and counts
   it as served: the end of the job is read before the thread has reported that. */
START_TEST (end_from_before_a_pause)
{
  int64_t left = atomic_load (&md_metrics[MD_M_CALLERS_LEFT]);
  int fd;

  connect_peers ();
  fd = hand_over_job ();
  send_end (received[0].id, 200, MD_PLATFORM_COMPLETED);
  md_links_poll (other, md_now ());
  front_reset (fd);
  usleep (20000);
  step_for (50 * MD_MS);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_CALLERS_LEFT]), left + 1);
  ck_assert_uint_eq (cancelled, 0);
}
END_TEST

/* Guards against a job that runs twice because its caller repeats it while it is handed over. */
START_TEST (repeat_is_attached)
{
  char response[1024];
  int fds[2];

  connect_peers ();
  fds[0] = hand_over_job ();
  fds[1] = front_connect ();
  front_post_body (fds[1], ID, LONG_JOB);
  step_for (100 * MD_MS);
  relieve ();
  front_entry.handover.offer = 0;
  step_for (100 * MD_MS);
  ck_assert_int_eq (n_received, 1);
  ck_assert_uint_eq (front_entry.n_jobs, 0);
  /* One caller is left. */
  close (fds[0]);
  step_for (100 * MD_MS);
  ck_assert_uint_eq (cancelled, 0);
  send_end (received[0].id, 200, MD_PLATFORM_COMPLETED);
  ck_assert_int_eq (read_status (fds[1], response), 200);
  close (fds[1]);
}
END_TEST

/* Guards against the same with a repeat that was parsed, because the entry has time again, and
   against one that is lost when the taker refuses the first. */
START_TEST (repeat_is_served_after_refusal)
{
  int fds[2];

  connect_peers ();
  fds[0] = hand_over_job ();
  relieve ();
  atomic_store (&front_entry.handover.offer, 0);
  fds[1] = front_connect ();
  front_post_body (fds[1], ID, LONG_JOB);
  step_for (100 * MD_MS);
  ck_assert_uint_eq (front_entry.n_jobs, 0);
  send_end (received[0].id, 0, "");
  step_until_jobs (1);
  for (MdTime end = md_now () + WAIT; front_entry.jobs->requests->next == NULL && md_now () < end;)
    step ();
  ck_assert_ptr_nonnull (front_entry.jobs->requests->next);
  ck_assert_uint_eq (front_entry.n_jobs, 1);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

static void
send_query (int fd, const char *method)
{
  char request[256];
  int len = snprintf (request, sizeof request, "%s /calc/%s HTTP/1.1\r\nHost: jobs.example\r\n\r\n",
                      method, ID);

  ck_assert_int_eq (write (fd, request, (size_t)len), len);
}

/* Guards against a caller that is told that its job is unknown, and cannot cancel it, while it runs
   at the taker. */
START_TEST (queries_are_passed_on)
{
  char response[1024];
  int fds[3];

  connect_peers ();
  fds[0] = hand_over_job ();
  fds[1] = front_connect ();
  send_query (fds[1], "GET");
  step_until (&n_received, 2);
  ck_assert_uint_eq (received[1].op, 1);
  send_end (received[1].id, 200, "");
  ck_assert_int_eq (read_status (fds[1], response), 200);
  fds[2] = front_connect ();
  send_query (fds[2], "DELETE");
  step_until (&n_received, 3);
  ck_assert_uint_eq (received[2].op, 2);
  send_end (received[0].id, 200, MD_PLATFORM_CANCELLED);
  send_end (received[2].id, 200, MD_PLATFORM_CANCELLED);
  ck_assert_int_eq (read_status (fds[2], response), 200);
  ck_assert_int_eq (read_status (fds[0], response), 200);
  ck_assert_str_eq (md_entry_find_end (&front_entry, ID, &calc_route), MD_PLATFORM_CANCELLED);
  for (int i = 0; i < 3; i++)
    close (fds[i]);
}
END_TEST

/* Guards against "nothing has run" when a taker rejects a job of which an earlier attempt may have
   run. */
START_TEST (rejection_after_lost_attempt_is_unknown)
{
  char response[1024];
  int fd;

  connect_peers ();
  md_entry_record_end (&front_entry, ID, &calc_route, MD_FINAL_GIVEN_UP);
  fd = hand_over_job ();
  send_end (received[0].id, 429, "");
  ck_assert_int_eq (read_status (fd, response), 504);
  close (fd);
}
END_TEST

/* Guards against requests that leave an entry which has time for them, or has no peer. */
START_TEST (without_pressure_nothing_is_handed_over)
{
  int fd = front_connect ();

  front_post_body (fd, ID, LONG_JOB);
  step_until_jobs (1);
  ck_assert_uint_eq (front_entry.handover.n_peers, 0);
  ck_assert_int_eq (n_received, 0);
  close (fd);
}
END_TEST

/* ------------------------------------------------------------------ */
/* Taker                                                              */

static void
send_job (uint64_t id, MdTime age, MdTime patience)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__JobHandover handover = MD__JOB_HANDOVER__INIT;

  handover.id = id;
  handover.job = ID;
  handover.host = "jobs.example";
  handover.path = "/calc/" ID;
  handover.request_id = "r-1";
  handover.age_us = (uint64_t)age;
  handover.patience_us = (uint64_t)patience;
  handover.body.data = (uint8_t *)LONG_JOB;
  handover.body.len = strlen (LONG_JOB);
  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER;
  frame.job_handover = &handover;
  md_link_send (other_link, &frame);
}

static void
take_job (void)
{
  connect_peers ();
  relieve ();
  send_job (7, 40 * MD_MS, 20 * MD_SECOND);
  step_until_jobs (1);
}

/* Guards against a job whose goal and deadline begin anew with the handover, and against an answer
   that the hander does not get. */
START_TEST (taken_job_is_answered)
{
  MdEntryJob *job;

  take_job ();
  job = front_entry.jobs;
  ck_assert_int_eq (job->deadline - job->arrived, 20040 * MD_MS);
  ck_assert_int_ge (front_entry.now - job->arrived, 40 * MD_MS);
  ck_assert_int_eq (front_entry.load.max_wait, 0);
  md_entry_finish_job (&front_entry, job, 200, MD_PLATFORM_COMPLETED, "done", 0);
  step_until (&n_ended, 1);
  ck_assert_uint_eq (ended.id, 7);
  ck_assert_uint_eq (ended.status, 200);
  ck_assert_str_eq (ended_state, MD_PLATFORM_COMPLETED);
}
END_TEST

/* Guards against two entries short of processor time that pass a request back and forth. */
START_TEST (entry_under_pressure_refuses)
{
  connect_peers ();
  send_job (7, 0, 0);
  step_until (&n_ended, 1);
  ck_assert_uint_eq (ended.id, 7);
  ck_assert_uint_eq (ended.status, 0);
  ck_assert_int_eq (n_received, 0);
  ck_assert_uint_eq (front_entry.n_jobs, 0);
}
END_TEST

/* Guards against a taken job that goes on after its caller has left the hander. */
START_TEST (cancel_ends_taken_job)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__JobHandoverCancel cancel = MD__JOB_HANDOVER_CANCEL__INIT;

  take_job ();
  cancel.id = 7;
  frame.msg_case = MD__FRAME__MSG_JOB_HANDOVER_CANCEL;
  frame.job_handover_cancel = &cancel;
  md_link_send (other_link, &frame);
  step_until_jobs (0);
}
END_TEST

/* Guards against the same when the hander dies, and against tasks that are placed before the loss
   of the link is read. */
START_TEST (lost_hander_ends_taken_job)
{
  take_job ();
  ck_assert (md_entry_has_caller (front_entry.jobs));
  md_link_disconnect (other_link);
  md_links_poll (other, md_now ());
  usleep (20000);
  ck_assert (!md_entry_has_caller (front_entry.jobs));
  step_until_jobs (0);
}
END_TEST

/* Guards against the same when the hander is frozen. */
START_TEST (silent_hander_ends_taken_job)
{
  MdTime begin;

  take_job ();
  mute = true;
  begin = md_now ();
  step_until_jobs (0);
  ck_assert_int_lt (md_now () - begin, MD_SECOND);
}
END_TEST

/* Guards against an entry that takes the silence of its own suspension for that of the hander. */
START_TEST (own_pause_is_no_silence)
{
  take_job ();
  for (int i = 0; i < 6; i++)
    {
      /* The entry is suspended; the hander goes on. */
      md_links_poll (other, md_now ());
      send_other_load ();
      md_links_poll (other, md_now ());
      usleep (100000);
    }
  ck_assert (md_entry_has_caller (front_entry.jobs));
  step_for (50 * MD_MS);
  ck_assert_uint_eq (front_entry.n_jobs, 1);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("entry-handover");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 120); /* for the thread sanitizer */
  tcase_add_test (tc, handed_over_and_answered);
  tcase_add_test (tc, refused_request_is_served_here);
  tcase_add_test (tc, lost_taker_is_answered_unknown);
  tcase_add_test (tc, silent_taker_is_lost);
  tcase_add_test (tc, caller_that_leaves_cancels);
  tcase_add_test (tc, end_from_before_a_pause);
  tcase_add_test (tc, repeat_is_attached);
  tcase_add_test (tc, repeat_is_served_after_refusal);
  tcase_add_test (tc, queries_are_passed_on);
  tcase_add_test (tc, rejection_after_lost_attempt_is_unknown);
  tcase_add_test (tc, without_pressure_nothing_is_handed_over);
  tcase_add_test (tc, taken_job_is_answered);
  tcase_add_test (tc, entry_under_pressure_refuses);
  tcase_add_test (tc, cancel_ends_taken_job);
  tcase_add_test (tc, lost_hander_ends_taken_job);
  tcase_add_test (tc, silent_hander_ends_taken_job);
  tcase_add_test (tc, own_pause_is_no_silence);
  return run_suite ("entry-handover", tc);
}
