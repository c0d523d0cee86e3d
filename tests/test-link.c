/* test-link.c -- connections between processes, over the loopback interface

   Each test polls two link sets in turn from one thread. Waiting loops have a
   bound on passes only to end a broken run. */

#include "md-link.h"

#include "suite.h"
#include "wire.pb-c.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define PASSES 20000

typedef struct
{
  MdLinks *links; /* the set */
  MdLink *link;   /* last connection that came up, NULL when it ended */
  int ups;        /* on_up calls */
  int downs;      /* on_down calls */
  int frames;     /* frames received */
  int code;       /* of the last end */
} Side;

static void
on_up (void *user, MdLink *link)
{
  Side *s = user;

  s->link = link;
  s->ups++;
  md_link_set_max_silence (link, 0);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  Side *s = user;

  (void)link;
  ck_assert_int_ne (frame->msg_case, MD__FRAME__MSG__NOT_SET);
  s->frames++;
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  Side *s = user;

  if (s->link == link)
    s->link = NULL;
  s->downs++;
  s->code = error->code;
}

static const MdLinkHandler handler = { on_up, on_frame, on_down };

static void
open_side (Side *s)
{
  MdTuning tuning;

  md_tuning_default (&tuning);
  tuning.reconnect_max = 100 * MD_MS;
  s->links = md_links_new (&tuning, &handler, s);
  ck_assert_ptr_nonnull (s->links);
}

static void
poll_both (Side *a, Side *b)
{
  md_links_poll (a->links, md_now () + MD_MS);
  if (b != NULL)
    md_links_poll (b->links, md_now () + MD_MS);
}

static void
send_leaving (MdLink *link)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__Leaving leaving = MD__LEAVING__INIT;

  leaving.incarnation = 1;
  frame.msg_case = MD__FRAME__MSG_LEAVING;
  frame.leaving = &leaving;
  ck_assert_int_eq (md_link_send (link, &frame), MD_OK);
}

/* A listener of our own, to be a peer that does not behave. */
static int
open_plain_listener (char address[MD_ADDRESS_BYTES])
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&sa, len), 0);
  ck_assert_int_eq (listen (fd, 8), 0);
  getsockname (fd, (struct sockaddr *)&sa, &len);
  snprintf (address, MD_ADDRESS_BYTES, "127.0.0.1:%d", ntohs (sa.sin_port));
  return fd;
}

static MdLink *
connect_to_plain (Side *s, int *listener, int *peer)
{
  char address[MD_ADDRESS_BYTES];
  MdLink *link;

  open_side (s);
  *listener = open_plain_listener (address);
  link = md_links_dial (s->links, md_str (address), NULL);
  for (int i = 0; s->ups == 0 && i < PASSES; i++)
    poll_both (s, NULL);
  ck_assert_int_eq (s->ups, 1);
  *peer = accept (*listener, NULL, NULL);
  return link;
}

/* Guards against frames being lost or merged when many leave in one write, and
   against a connection that does not come back after either side dropped it. */
START_TEST (test_frames_and_reconnect)
{
  Side a = { 0 };
  Side b = { 0 };
  char bound[MD_ADDRESS_BYTES];

  open_side (&a);
  open_side (&b);
  ck_assert_int_eq (md_links_listen (a.links, MD_STR ("127.0.0.1:0"), bound, NULL), MD_OK);
  md_links_dial (b.links, md_str (bound), NULL);
  for (int round = 1; round <= 3; round++)
    {
      for (int i = 0; (a.ups < round || b.ups < round) && i < PASSES; i++)
        poll_both (&a, &b);
      ck_assert_ptr_nonnull (b.link);
      for (int i = 0; i < 100; i++)
        send_leaving (b.link);
      for (int i = 0; a.frames < 100 * round && i < PASSES; i++)
        poll_both (&a, &b);
      ck_assert_int_eq (a.frames, 100 * round);
      md_link_disconnect (round % 2 ? a.link : b.link);
      for (int i = 0; (a.downs < round || b.downs < round) && i < PASSES; i++)
        poll_both (&a, &b);
      ck_assert_int_eq (a.downs, round);
      ck_assert_int_eq (b.downs, round);
    }
  md_links_free (b.links);
  md_links_free (a.links);
}
END_TEST

/* Guards against a connection that stays in use although it went silent. */
START_TEST (test_silent_peer)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);
  int64_t before = md_metrics[MD_M_LINKS_ABANDONED];

  md_link_set_max_silence (link, 100 * MD_MS);
  for (int i = 0; s.downs == 0 && i < PASSES; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.downs, 1);
  ck_assert_int_eq (s.code, MD_E_TIMEOUT);
  ck_assert_int_eq (md_metrics[MD_M_LINKS_ABANDONED], before + 1);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* A frame of 4 MB, which the caller frees by its snapshot's data. */
static void
init_large_frame (Md__Frame *frame, Md__SnapshotReply *reply)
{
  reply->snapshot.len = 4u << 20;
  reply->snapshot.data = calloc (1, reply->snapshot.len);
  frame->msg_case = MD__FRAME__MSG_SNAPSHOT_REPLY;
  frame->snapshot_reply = reply;
}

/* Guards against a connection that stays in use for a second although nothing that is sent over it
   arrives, while a new one works (issue 35). The peer takes no data, as its buffer is full. */
START_TEST (test_unacknowledged_data)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);
  Md__Frame frame = MD__FRAME__INIT;
  Md__SnapshotReply reply = MD__SNAPSHOT_REPLY__INIT;

  md_links_set_ack_timeout (s.links, 200 * MD_MS);
  md_link_disconnect (link); /* the timeout holds from the next connection on */
  for (int i = 0; s.ups < 2 && i < PASSES; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.ups, 2);
  init_large_frame (&frame, &reply);
  for (int i = 0; i < 8; i++)
    md_link_send (link, &frame);
  for (int i = 0; s.ups < 3 && i < PASSES; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.ups, 3);
  ck_assert_int_eq (s.code, MD_E_TIMEOUT);
  free (reply.snapshot.data);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* Guards against a connection that is given up although the peer only has nothing to say. */
START_TEST (test_acknowledged_data)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);
  MdTime end;

  md_links_set_ack_timeout (s.links, 250 * MD_MS); /* as guards do */
  md_link_disconnect (link);
  for (int i = 0; s.ups < 2 && i < PASSES; i++)
    poll_both (&s, NULL);
  for (end = md_now () + MD_SECOND; md_now () < end;)
    {
      send_leaving (link); /* acknowledged by the kernel, and never read */
      poll_both (&s, NULL);
    }
  ck_assert_int_eq (s.ups, 2);
  ck_assert_int_eq (s.downs, 1);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* Guards against output for a peer that does not read growing without bound. */
START_TEST (test_slow_reader)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);
  Md__Frame frame = MD__FRAME__INIT;
  Md__SnapshotReply reply = MD__SNAPSHOT_REPLY__INIT;
  size_t queued = 0;
  int sent = 0;

  init_large_frame (&frame, &reply);
  while (md_link_send (link, &frame) == MD_OK)
    {
      if (md_link_queued (link) > queued)
        queued = md_link_queued (link);
      ck_assert_int_lt (++sent, 64);
      poll_both (&s, NULL);
    }
  ck_assert_uint_gt (queued, 32u << 20);
  ck_assert_uint_le (queued, 64u << 20);
  ck_assert (!md_link_is_up (link));
  ck_assert_int_eq (s.downs, 0); /* reported by the next poll only */
  poll_both (&s, NULL);
  ck_assert_int_eq (s.downs, 1);
  ck_assert_int_eq (s.code, MD_E_LIMIT);
  free (reply.snapshot.data);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* Guards against a frame being lost when it arrives byte by byte, and against
   accepting noise. */
START_TEST (test_partial_and_malformed)
{
  Side s = { 0 };
  int listener;
  int peer;
  MD_AUTO_BUF buf = { 0 };
  Md__Frame frame = MD__FRAME__INIT;
  Md__Leaving leaving = MD__LEAVING__INIT;

  connect_to_plain (&s, &listener, &peer);
  leaving.incarnation = 77;
  frame.msg_case = MD__FRAME__MSG_LEAVING;
  frame.leaving = &leaving;
  md_frame_encode (&frame, &buf);
  for (size_t i = 0; i < buf.len; i++)
    {
      ck_assert_int_eq (s.frames, 0);
      ck_assert_int_eq (send (peer, buf.data + i, 1, 0), 1);
      poll_both (&s, NULL);
    }
  for (int i = 0; s.frames == 0 && i < PASSES; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.frames, 1);
  ck_assert_int_eq (send (peer, "\xff\xff\xff\xff", 4, 0), 4);
  for (int i = 0; s.downs == 0 && i < PASSES; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.code, MD_E_INVALID);
  ck_assert_int_eq (atomic_load (&md_metrics[MD_M_FRAMES_MALFORMED]), 1);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* Guards against a use after free when a closed link still has queued output, and
   against a closed link that dials again. */
START_TEST (test_close_with_output)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);

  send_leaving (link);
  md_link_close (link);
  for (int i = 0; i < 300; i++)
    poll_both (&s, NULL);
  ck_assert_int_eq (s.ups, 1);
  ck_assert_int_eq (s.downs, 1);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

/* Guards against a crash: the socket of a link is closed while another thread is in a system call
   on its descriptor, so that the kernel keeps it. It stayed in the epoll set, and its next event
   was reported for a link that had been freed (review 3). A duplicate takes the place of that call.
   */
START_TEST (test_close_while_in_use)
{
  Side s = { 0 };
  int listener;
  int peer;
  MdLink *link = connect_to_plain (&s, &listener, &peer);
  struct epoll_event event = { .events = EPOLLIN };
  int fd = link->fd;
  int held = dup (fd);

  md_link_close (link);
  ck_assert_int_eq (dup2 (held, fd), fd);
  ck_assert_int_eq (epoll_ctl (s.links->epoll_fd, EPOLL_CTL_ADD, fd, &event), 0);
  close (fd);
  close (held);
  poll_both (&s, NULL);
  ck_assert_int_eq (s.downs, 1);
  close (peer);
  close (listener);
  md_links_free (s.links);
}
END_TEST

static void *
wake_links (void *data)
{
  md_links_wake (data);
  return NULL;
}

/* Guards against a wake that is lost, which would leave results waiting. */
START_TEST (test_wake)
{
  Side s = { 0 };

  open_side (&s);
  for (int i = 0; i < 200; i++)
    {
      pthread_t thread;

      ck_assert_int_eq (pthread_create (&thread, NULL, wake_links, s.links), 0);
      md_links_poll (s.links, md_now () + 100 * MD_SECOND);
      pthread_join (thread, NULL);
    }
  md_links_free (s.links);
}
END_TEST

#define STALLED_PEERS 8

static size_t
input_bytes (const MdLinks *links)
{
  size_t total = 0;

  for (const MdLink *link = links->links; link != NULL; link = link->next)
    total += link->in.len;
  return total;
}

/* Guards against a process that is killed for its memory because many peers send parts of large
   frames and finish none, and against one that then takes frames from nobody. */
START_TEST (test_unfinished_frames_are_bounded)
{
  Side a = { 0 };
  Side b = { 0 };
  MdError error = { 0 };
  Md__Frame frame = MD__FRAME__INIT;
  Md__Leaving leaving = MD__LEAVING__INIT;
  char address[MD_ADDRESS_BYTES];
  char host[MD_ADDRESS_BYTES];
  static char zeros[64 << 10];
  int peer[STALLED_PEERS];
  int port;
  MdLink *link;

  open_side (&a);
  open_side (&b);
  ck_assert_int_eq (md_links_listen (a.links, MD_STR ("127.0.0.1:0"), address, &error), MD_OK);
  ck_assert_int_eq (md_address_split (md_str (address), host, &port), MD_OK);
  for (int i = 0; i < STALLED_PEERS; i++)
    {
      struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

      inet_pton (AF_INET, host, &sa.sin_addr);
      peer[i] = socket (AF_INET, SOCK_STREAM, 0);
      ck_assert_int_eq (connect (peer[i], (struct sockaddr *)&sa, sizeof sa), 0);
      ck_assert_int_eq (send (peer[i], "\1\0\0\0", 4, 0), 4); /* a frame of 16 MB */
    }
  for (int round = 0; round < 15 * 16; round++) /* 15 MB each */
    {
      for (int i = 0; i < STALLED_PEERS; i++)
        (void)!send (peer[i], zeros, sizeof zeros, MSG_DONTWAIT | MSG_NOSIGNAL);
      for (int i = 0; i < 4; i++)
        md_links_poll (a.links, 0);
      ck_assert_uint_le (input_bytes (a.links), (32u << 20) + (1u << 20));
    }
  ck_assert_int_gt (a.downs, 0);
  ck_assert_int_eq (a.code, MD_E_LIMIT);
  link = md_links_dial (b.links, md_str (address), NULL);
  for (int i = 0; b.ups == 0 && i < PASSES; i++)
    poll_both (&a, &b);
  leaving.incarnation = 77;
  frame.msg_case = MD__FRAME__MSG_LEAVING;
  frame.leaving = &leaving;
  md_link_send (link, &frame);
  for (int i = 0; a.frames == 0 && i < PASSES; i++)
    poll_both (&a, &b);
  ck_assert_int_eq (a.frames, 1);
  for (int i = 0; i < STALLED_PEERS; i++)
    close (peer[i]);
  md_links_free (b.links);
  md_links_free (a.links);
}
END_TEST

#define SMALL_PEERS 2300
#define SMALL_PART 16000 /* bytes; together more than the bound of 32 MB */

/* A peer that connects to the set and never reads. */
static int
connect_plain (const char *address)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[MD_ADDRESS_BYTES];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int port;

  ck_assert_int_eq (md_address_split (md_str (address), host, &port), MD_OK);
  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &sa.sin_addr);
  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  return fd;
}

/* Guards against a process that is killed for its memory because thousands of connections each have
   a part of a frame that is too small to be looked at. */
START_TEST (test_small_unfinished_frames_are_bounded)
{
  struct rlimit files = { 2 * SMALL_PEERS + 64, 2 * SMALL_PEERS + 64 };
  struct rlimit former;
  Side a = { 0 };
  static int peer[SMALL_PEERS];
  static char part[SMALL_PART] = "\1";
  char address[MD_ADDRESS_BYTES];

  getrlimit (RLIMIT_NOFILE, &former);
  ck_assert_uint_ge (former.rlim_max, files.rlim_max); /* what the test needs of the host */
  files.rlim_max = former.rlim_max;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &files), 0);
  open_side (&a);
  ck_assert_int_eq (md_links_listen (a.links, MD_STR ("127.0.0.1:0"), address, NULL), MD_OK);
  for (int i = 0; i < SMALL_PEERS; i++)
    {
      peer[i] = connect_plain (address);
      ck_assert_int_eq (send (peer[i], part, sizeof part, MSG_NOSIGNAL), SMALL_PART);
      md_links_poll (a.links, 0);
      md_links_poll (a.links, 0);
    }
  for (int i = 0; i < 200; i++)
    md_links_poll (a.links, 0);
  ck_assert_int_eq (a.ups, SMALL_PEERS);
  ck_assert_uint_le (input_bytes (a.links), 32u << 20);
  ck_assert_uint_ge (input_bytes (a.links), (32u << 20) - 2 * SMALL_PART);
  ck_assert_int_gt (a.downs, 0);
  for (int i = 0; i < SMALL_PEERS; i++)
    close (peer[i]);
  md_links_free (a.links);
}
END_TEST

#define DEAF_PEERS 20
#define OUTPUT_FRAME ((size_t)1 << 20)

static size_t
output_bytes (const MdLinks *links)
{
  size_t total = 0;

  for (const MdLink *link = links->links; link != NULL; link = link->next)
    total += link->out.len;
  return total;
}

/* Guards against a process that is killed for its memory because many peers stop reading: each link
   had a limit, all of them together none. A peer that reads keeps its connection, and gets
   everything. */
START_TEST (test_output_of_all_links_is_bounded)
{
  Side a = { 0 };
  Side b = { 0 };
  char address[MD_ADDRESS_BYTES];
  int peer[DEAF_PEERS];
  MdLink *reader;
  int sent = 0;

  open_side (&a);
  open_side (&b);
  ck_assert_int_eq (md_links_listen (a.links, MD_STR ("127.0.0.1:0"), address, NULL), MD_OK);
  md_links_dial (b.links, md_str (address), NULL);
  for (int i = 0; (a.ups == 0 || b.ups == 0) && i < PASSES; i++)
    poll_both (&a, &b);
  reader = a.link;
  for (int i = 0; i < DEAF_PEERS; i++)
    {
      peer[i] = connect_plain (address);
      for (int k = 0; a.ups < i + 2 && k < PASSES; k++)
        poll_both (&a, &b);
    }
  for (int round = 0; round < 16; round++)
    {
      Md__Frame frame = MD__FRAME__INIT;
      Md__SnapshotReply reply = MD__SNAPSHOT_REPLY__INIT;

      init_large_frame (&frame, &reply);
      reply.snapshot.len = OUTPUT_FRAME;
      for (MdLink *link = a.links->links; link != NULL; link = link->next)
        {
          if (!md_link_is_up (link))
            continue;
          sent += link == reader && md_link_send (link, &frame) == MD_OK;
          if (link != reader)
            (void)!md_link_send (link, &frame);
          ck_assert_uint_le (output_bytes (a.links), 48u << 20);
        }
      free (reply.snapshot.data);
      for (int i = 0; b.frames < sent && i < PASSES; i++)
        poll_both (&a, &b);
    }
  ck_assert_int_eq (sent, 16);
  ck_assert_int_eq (b.frames, 16);
  ck_assert_int_eq (b.downs, 0);
  ck_assert_int_gt (a.downs, 0);
  ck_assert_int_eq (a.code, MD_E_LIMIT);
  for (int i = 0; i < DEAF_PEERS; i++)
    close (peer[i]);
  md_links_free (b.links);
  md_links_free (a.links);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("link");

  tcase_add_test (tc, test_frames_and_reconnect);
  tcase_add_test (tc, test_silent_peer);
  tcase_add_test (tc, test_unacknowledged_data);
  tcase_add_test (tc, test_acknowledged_data);
  tcase_add_test (tc, test_slow_reader);
  tcase_add_test (tc, test_partial_and_malformed);
  tcase_add_test (tc, test_close_with_output);
  tcase_add_test (tc, test_close_while_in_use);
  tcase_add_test (tc, test_wake);
  tcase_add_test (tc, test_unfinished_frames_are_bounded);
  tcase_add_test (tc, test_small_unfinished_frames_are_bounded);
  tcase_add_test (tc, test_output_of_all_links_is_bounded);
  return run_suite ("link", tc);
}
