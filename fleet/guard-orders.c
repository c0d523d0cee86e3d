/* guard-orders.c -- links to entries: orders received, reports sent

   A guard dials every entry that it knows. On each new connection it first sends a hello with
   the orders that it still has and a report with all ends that the entry has not acknowledged,
   so that orders and ends lost with an earlier connection are settled at once.

   The runs of an entry depend on a lease: the entry echoes the time stamps of the guard's
   reports, and when the latest echo is too old, the guard ends the runs. An entry that is
   lost, frozen or cut off thus loses its runs before a caller repeats the job elsewhere. */

#include "priority.h"
#include "run-guard.h"

#include <xxhash.h>

#define DROP_SILENT_PEER_AFTER (30 * MD_SECOND) /* since its last frame or announcement */
#define REPORT_INTERVAL (4 * MD_MS)             /* shortest between reports that are not urgent */
/* Added for each connected entry, so that the guard's cost does not grow with the square of the
   number of entries. */
#define REPORT_INTERVAL_PER_PEER (1 * MD_MS)
#define MAX_REPORT_INTERVAL (32 * MD_MS) /* with many entries */
/* Waiting and started runs; twice the tasks of the largest job. The queue is searched for the place
   of each new run, so that without a bound one message keeps the guard busy for longer than its
   leases. */
#define MAX_RUNS 16384
/* Of the checkpoints in a report, so that it fits into a frame with MAX_ENDS ends. */
#define MAX_CHECKPOINT_BYTES ((size_t)8 << 20)
#define MAX_ENDS 65536 /* of an entry, not acknowledged; it acknowledges them with each message */

/* ------------------------------------------------------------------ */
/* Ends                                                               */

static MdGuardPeer *
find_peer (MdRunGuard *guard, uint64_t entry)
{
  for (MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    if (peer->incarnation == entry && entry != 0)
      return peer;
  return NULL;
}

static void
add_end (MdRunGuard *guard, MdGuardPeer *peer, const MdGuardRun *run, MdRunResult result,
         MdTime time, const char *checkpoint)
{
  MdGuardEnd *end = peer->n_ends < MAX_ENDS ? calloc (1, sizeof *end) : NULL;

  if (end == NULL || !md_str_set (&end->checkpoint, md_str (checkpoint)))
    {
      free (end);
      md_log (MD_LOG_ERROR, "end-lost", "task=%s ends=%u reason=\"out of memory or over a limit\"",
              run->task, peer->n_ends);
      return;
    }
  end->number = ++guard->ends;
  end->order_id = run->queued.id;
  end->result = result;
  end->duration = time;
  if (peer->last_end != NULL)
    peer->last_end->next = end;
  else
    peer->ends = end;
  peer->last_end = end;
  peer->n_ends++;
  peer->urgent = true;
}

/* Frees the ends up to this number, which the entry has acknowledged or no longer needs. */
static void
drop_ends (MdGuardPeer *peer, uint64_t up_to)
{
  while (peer->ends != NULL && peer->ends->number <= up_to)
    {
      MdGuardEnd *end = peer->ends;

      peer->ends = end->next;
      if (peer->ends == NULL)
        peer->last_end = NULL;
      peer->n_ends--;
      free (end->checkpoint);
      free (end);
    }
}

static void
release_text (MdRunText *text)
{
  if (text != NULL && --text->references == 0)
    free (text);
}

static void
free_run (MdGuardRun *run)
{
  release_text (run->spec);
  free (run->checkpoint);
  free (run->permit);
  free (run);
}

void
md_guard_end_run (MdRunGuard *guard, MdGuardRun *run, MdRunResult result, const char *checkpoint)
{
  MdGuardPeer *peer = find_peer (guard, run->queued.entry);
  MdTime time = run->queued.state == MD_RUN_WAITING ? 0 : guard->now - run->queued.started_at;

  if (peer != NULL)
    add_end (guard, peer, run, result, time, checkpoint);
  if (run->queued.state != MD_RUN_WAITING)
    md_observe (MD_H_RUN, time);
  md_runqueue_record_end (&guard->queue, result, run->queued.job);
  md_log (MD_LOG_INFO, "run-end", "task=%s run=%u how=%s run_ms=%lld entry=%s", run->task,
          run->run_number, md_run_result_name (result), (long long)(time / MD_MS),
          peer != NULL ? peer->name : "gone");
  /* After a failed hold the end was received late, so the run time is overestimated. */
  if (result == MD_RUN_DONE && run->checkpoint == NULL && !guard->last_hold_failed)
    md_runqueue_update_speed (&guard->queue, &run->queued, time, guard->now);
  md_runqueue_remove (&guard->queue, &run->queued, guard->now);
  guard->state_version++;
  free_run (run);
}

/* When the lease of an entry runs out unless it is extended. */
static MdTime
entry_lease_end (const MdRunGuard *guard, const MdGuardPeer *peer)
{
  return peer->echo + guard->daemon.leases.entry;
}

/* When a run that is cancelled now had to end: earlier if this process was suspended while the
   lease of the run's entry ran out. */
static MdTime
had_to_end_at (MdRunGuard *guard, uint64_t entry)
{
  const MdGuardPeer *peer = find_peer (guard, entry);

  return peer != NULL ? md_time_min (guard->now, entry_lease_end (guard, peer)) : guard->now;
}

void
md_guard_cancel_run (MdRunGuard *guard, MdGuardRun *run)
{
  if (run->queued.state == MD_RUN_WAITING)
    {
      md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
      return;
    }
  if (run->cancelled)
    return;
  run->cancelled = true;
  run->had_to_end_at = had_to_end_at (guard, run->queued.entry);
  run->stop_due = guard->now;
}

void
md_guard_record_start (MdRunGuard *guard, const MdGuardRun *run)
{
  MdGuardPeer *peer = find_peer (guard, run->queued.entry);

  guard->state_version++;
  md_observe (MD_H_QUEUE_WAIT, guard->now - run->received_at);
  if (peer == NULL || peer->n_started == MD_ARRAY_SIZE (peer->started))
    return;
  peer->started[peer->n_started++] = run->queued.id;
  peer->urgent = true;
}

void
md_guard_reject_waiting (MdRunGuard *guard)
{
  for (MdRun *run = guard->queue.waiting.first, *next; run != NULL; run = next)
    {
      next = run->next;
      md_guard_end_run (guard, (MdGuardRun *)run, MD_RUN_REJECTED, "");
    }
}

static void
cancel_entry_runs (MdRunGuard *guard, uint64_t entry)
{
  MdRunList *lists[] = { &guard->queue.waiting, &guard->queue.running };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (lists); i++)
    for (MdRun *run = lists[i]->first, *next; run != NULL; run = next)
      {
        next = run->next;
        if (run->entry == entry)
          md_guard_cancel_run (guard, (MdGuardRun *)run);
      }
}

void
md_guard_free_runs (MdRunGuard *guard)
{
  MdRunList *lists[] = { &guard->queue.waiting, &guard->queue.running };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (lists); i++)
    for (MdRun *run = lists[i]->first, *next; run != NULL; run = next)
      {
        next = run->next;
        free_run ((MdGuardRun *)run);
      }
}

/* ------------------------------------------------------------------ */
/* Coverage                                                           */

/* Whether the entry gets no report of each change at present. */
static bool
is_sparse (const MdRunGuard *guard, const MdGuardPeer *peer)
{
  return peer->reads_sparse && !peer->chosen && guard->now >= peer->followed_until;
}

/* ------------------------------------------------------------------ */
/* Reports                                                            */

static size_t
count_unsent_ends (const MdGuardPeer *peer)
{
  size_t n = 0;

  for (const MdGuardEnd *end = peer->ends; end != NULL; end = end->next)
    n += !end->sent;
  return n;
}

/* Adds all unsent ends of the peer to the report and marks them as sent. ends and pointers have
   room for them. A report must have all of them, because the entry takes an order that is neither
   alive nor ended for one that has not arrived. Checkpoints that would not fit into its frame are
   left out; their tasks begin anew. */
static void
fill_ends (MdGuardPeer *peer, Md__RunReport *report, Md__RunEnd *ends, Md__RunEnd **pointers)
{
  size_t checkpoints = 0; /* bytes */
  unsigned left_out = 0;

  for (MdGuardEnd *end = peer->ends; end != NULL; end = end->next)
    {
      Md__RunEnd *out = &ends[report->n_ends];
      size_t bytes = end->checkpoint != NULL ? strlen (end->checkpoint) : 0;

      if (end->sent)
        continue;
      md__run_end__init (out);
      out->number = end->number;
      out->id = end->order_id;
      out->how = end->result;
      out->run_us = (uint64_t)end->duration;
      if (bytes > 0 && checkpoints + bytes <= MAX_CHECKPOINT_BYTES)
        {
          out->checkpoint = end->checkpoint;
          checkpoints += bytes;
        }
      else
        left_out += bytes > 0;
      pointers[report->n_ends++] = out;
      end->sent = true;
    }
  report->ends = pointers;
  if (left_out > 0)
    md_log (MD_LOG_ERROR, "checkpoints-left-out",
            "entry=%s ends=%u reason=\"too long for a frame\"", peer->name, left_out);
}

static void
send_report (MdRunGuard *guard, MdGuardPeer *peer)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunReport report = MD__RUN_REPORT__INIT;
  Md__WorkerInfo info;
  size_t n = count_unsent_ends (peer);
  md_autofree Md__RunEnd *ends = calloc (n + 1, sizeof *ends);
  md_autofree Md__RunEnd **pointers = calloc (n + 1, sizeof *pointers);
  md_autofree char **labels = calloc (md_guard_count_labels (&guard->worker) + 1, sizeof *labels);

  if (ends == NULL || pointers == NULL || labels == NULL)
    return; /* retried by the next poll */
  report.stamp_us = guard->now;
  report.entry = peer->incarnation;
  report.last_order = peer->last_order;
  report.free_cpu = guard->queue.free.cpu;
  report.free_memory_mb = guard->queue.free.memory_mb;
  report.free_accelerators = guard->queue.free.accelerators;
  report.wait_us = (uint64_t)md_runqueue_expected_wait (&guard->queue, guard->now);
  report.speed = md_runqueue_speed (&guard->queue, guard->now);
  report.next_end_us = (uint64_t)md_runqueue_next_end (&guard->queue, guard->now);
  report.pressure_permille = md_pressure_of_queue (&guard->queue, guard->now);
  md_gauge (MD_M_PRESSURE, report.pressure_permille);
  report.started = peer->started;
  report.n_started = peer->n_started;
  report.failures = guard->queue.failures;
  report.stalled = md_runqueue_stalled (&guard->queue, guard->now);
  report.state = md_guard_reported_state (guard);
  if (!peer->worker_reported && guard->worker.has_report)
    {
      md_guard_describe_worker (&guard->worker, &info, labels);
      report.worker = &info;
    }
  fill_ends (peer, &report, ends, pointers);
  peer->sparse = is_sparse (guard, peer);
  if (peer->sparse)
    {
      report.interval_us = MD_SPARSE_INTERVAL;
      md_link_set_max_silence (peer->link, MD_SPARSE_SILENCE);
    }
  md_count (peer->sparse ? MD_M_REPORTS_SPARSE : MD_M_REPORTS_FULL, 1);
  frame.msg_case = MD__FRAME__MSG_RUN_REPORT;
  frame.run_report = &report;
  if (md_link_send (peer->link, &frame) != MD_OK)
    {
      md_link_disconnect (peer->link); /* all of it is sent again on the next connection */
      return;
    }
  peer->worker_reported |= guard->worker.has_report;
  peer->n_started = 0;
  peer->urgent = false;
  peer->reported_version = guard->state_version;
  peer->reported_at = guard->now;
}

/* ------------------------------------------------------------------ */
/* Connections                                                        */

/* Each peer is dialled and has a socket, so that the addresses in one message must not be as many
   as fit into it. Those of entries that are gone make room when their peers are dropped. */
void
md_guard_add_peer (MdRunGuard *guard, MdStr address, bool indirect)
{
  MdGuardPeer *peer;

  if (guard->n_peers >= MD_MAX_ENTRIES
      || !md_directory_add (&guard->directory, address, guard->now))
    return;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    {
      md_directory_remove (&guard->directory, address);
      return;
    }
  md_str_copy (peer->address, sizeof peer->address, address);
  peer->last_contact = guard->now;
  peer->indirect = indirect;
  peer->link = md_links_dial (guard->daemon.links, address, peer);
  peer->next = guard->peers;
  guard->peers = peer;
  guard->n_peers++;
  md_log (MD_LOG_INFO, "entry-found", "address=%s", peer->address);
}

static void
free_peer (MdGuardPeer *peer)
{
  drop_ends (peer, UINT64_MAX);
  free (peer);
}

void
md_guard_free_peers (MdRunGuard *guard)
{
  for (MdGuardPeer *peer = guard->peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      free_peer (peer);
    }
  guard->peers = NULL;
  guard->n_peers = 0;
}

/* Closes the link and frees the peer. keep_address: leave the address in the directory, so that
   it is not dialled again. */
static void
remove_peer (MdRunGuard *guard, MdGuardPeer *peer, bool keep_address)
{
  MdGuardPeer **place = &guard->peers;

  while (*place != peer)
    place = &(*place)->next;
  *place = peer->next;
  guard->n_peers--;
  if (!keep_address)
    md_directory_remove (&guard->directory, md_str (peer->address));
  md_link_set_data (peer->link, NULL);
  md_link_close (peer->link);
  free_peer (peer);
}

/* Writes the ids of the entry's orders, waiting and started, to out; returns their number. */
static size_t
list_orders (const MdRunGuard *guard, uint64_t entry, uint64_t *out)
{
  const MdRunList *lists[] = { &guard->queue.waiting, &guard->queue.running };
  size_t n = 0;

  for (unsigned i = 0; i < MD_ARRAY_SIZE (lists); i++)
    for (const MdRun *run = lists[i]->first; run != NULL; run = run->next)
      if (run->entry == entry)
        out[n++] = run->id;
  return n;
}

static void
send_hello (MdRunGuard *guard, MdGuardPeer *peer)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunHello hello = MD__RUN_HELLO__INIT;
  char *entries[MD_MAX_ENTRIES];
  size_t max = (size_t)guard->queue.waiting.n + guard->queue.running.n;
  md_autofree uint64_t *alive = calloc (max + 1, sizeof *alive);

  if (alive == NULL)
    {
      md_link_disconnect (peer->link);
      return;
    }
  hello.name = guard->daemon.settings.name;
  hello.incarnation = guard->incarnation;
  hello.connection = ++guard->connections;
  hello.entry = peer->incarnation;
  hello.failure_domain = guard->daemon.settings.failure_domain;
  hello.alive = alive;
  hello.n_alive = list_orders (guard, peer->incarnation, alive);
  /* An address that was learned from an entry and has never answered is not passed on, so
     that addresses of replaced entries disappear. */
  for (MdGuardPeer *other = guard->peers; other != NULL; other = other->next)
    if ((!other->indirect || other->incarnation != 0) && hello.n_entries < MD_MAX_ENTRIES)
      entries[hello.n_entries++] = other->address;
  hello.entries = entries;
  frame.msg_case = MD__FRAME__MSG_RUN_HELLO;
  frame.run_hello = &hello;
  md_link_send (peer->link, &frame);
}

static void
on_up (void *user, MdLink *link)
{
  MdRunGuard *guard = user;
  MdGuardPeer *peer = md_link_data (link);

  guard->now = md_now ();
  guard->entries_due = 0;
  peer->connected = true;
  peer->worker_reported = false;
  peer->n_started = 0;
  for (MdGuardEnd *end = peer->ends; end != NULL; end = end->next)
    end->sent = false;
  md_link_set_max_silence (link, guard->daemon.leases.entry_silence);
  send_hello (guard, peer);
  send_report (guard, peer);
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  MdRunGuard *guard = user;
  MdGuardPeer *peer = md_link_data (link);

  guard->now = md_now ();
  if (peer == NULL)
    return;
  if (peer->connected && peer->incarnation != 0)
    md_log (MD_LOG_WARN, "entry-lost", "entry=%s address=%s reason=\"%s\"", peer->name,
            peer->address, error->detail);
  guard->entries_due = 0;
  peer->connected = false;
  peer->report_interval = 0;
  peer->reads_sparse = false;
  md_guard_choose_entries (guard);
}

/* ------------------------------------------------------------------ */
/* Frames                                                             */

/* Whether another link to the same entry exists already: an entry that has two addresses is kept
   under the one that connected first. */
static bool
is_duplicate (const MdRunGuard *guard, const MdGuardPeer *peer, uint64_t incarnation)
{
  for (const MdGuardPeer *other = guard->peers; other != NULL; other = other->next)
    if (other != peer && other->connected && other->incarnation == incarnation)
      return true;
  return false;
}

/* A heartbeat is sent whether there is a change or not, so that a longer interval has no effect. */
static void
set_report_interval (const MdRunGuard *guard, MdGuardPeer *peer, uint64_t interval_us)
{
  MdTime heartbeat = guard->daemon.leases.heartbeat_interval;

  peer->report_interval = interval_us < (uint64_t)heartbeat ? (MdTime)interval_us : heartbeat;
}

static void
on_welcome (MdRunGuard *guard, MdGuardPeer *peer, const Md__RunWelcome *welcome)
{
  if (is_duplicate (guard, peer, welcome->incarnation))
    {
      md_log (MD_LOG_INFO, "entry-duplicate", "entry=%s address=%s", welcome->name, peer->address);
      remove_peer (guard, peer, true);
      return;
    }
  if (peer->incarnation != welcome->incarnation)
    {
      /* The entry was restarted; nobody waits for the runs of its former process. */
      if (peer->incarnation != 0)
        cancel_entry_runs (guard, peer->incarnation);
      drop_ends (peer, UINT64_MAX);
      peer->incarnation = welcome->incarnation;
      peer->last_order = 0;
    }
  md_str_copy (peer->name, sizeof peer->name, md_str (welcome->name));
  md_log (MD_LOG_INFO, "entry-reached", "entry=%s address=%s incarnation=%llx", peer->name,
          peer->address, (unsigned long long)peer->incarnation);
  peer->reads_sparse = welcome->sparse_reports;
  guard->entries_due = 0;
  md_guard_hear_evacuation (guard, peer, welcome->evacuated, welcome->evacuation_version);
  set_report_interval (guard, peer, welcome->report_interval_us);
  md_guard_choose_entries (guard);
  for (size_t i = 0; i < welcome->n_entries; i++)
    md_guard_add_peer (guard, md_str (welcome->entries[i]), true);
}

static MdRunText *
new_text (const ProtobufCBinaryData *bytes)
{
  MdRunText *text = malloc (sizeof *text + bytes->len + 1);

  if (text == NULL)
    return NULL;
  text->references = 1;
  text->len = bytes->len;
  md_str_copy (text->text, bytes->len + 1, md_str_n (bytes->data, bytes->len));
  return text;
}

/* A job may be late already. */
static MdTime
start_within (const Md__RunOrder *order)
{
  return order->start_within_us < 0 ? -md_span (-(double)order->start_within_us)
                                    : md_span ((double)order->start_within_us);
}

static void
add_order (MdRunGuard *guard, MdGuardPeer *peer, const Md__RunOrder *order, MdRunText *spec)
{
  MdGuardRun *run = calloc (1, sizeof *run);

  if (run == NULL || spec == NULL || !md_str_set (&run->checkpoint, md_str (order->checkpoint))
      || !md_str_set (&run->permit, md_str (order->permit)))
    {
      /* The next hello does not list the order as alive, which tells the entry that it is lost. */
      if (run != NULL)
        free_run (run);
      md_link_disconnect (peer->link);
      return;
    }
  run->received_at = guard->now;
  run->queued.entry = peer->incarnation;
  run->queued.id = order->id;
  run->queued.resources = (MdResources){ order->cpu, order->memory_mb, order->accelerators };
  run->queued.work = (double)order->work_us;
  run->queued.alone = order->alone;
  run->queued.at_once = order->at_once;
  run->queued.priority = md_priority_limit (order->priority);
  run->queued.start_by = guard->now + start_within (order);
  md_str_copy (run->task, sizeof run->task, md_str (order->task));
  run->run_number = order->run;
  run->queued.job = XXH64 (run->task, strcspn (run->task, "."), 0);
  run->spec = spec;
  spec->references++;
  md_runqueue_add (&guard->queue, &run->queued, guard->now);
  guard->state_version++;
  peer->last_order = order->id;
  /* The lease has expired: the entry may already consider the run lost. */
  if (!guard->queue.accepting || guard->now >= entry_lease_end (guard, peer))
    md_guard_end_run (guard, run, MD_RUN_REJECTED, "");
}

MdGuardRun *
md_guard_find_order (MdRunGuard *guard, uint64_t entry, uint64_t id)
{
  MdRunList *lists[] = { &guard->queue.waiting, &guard->queue.running };

  for (unsigned i = 0; i < MD_ARRAY_SIZE (lists); i++)
    for (MdRun *run = lists[i]->first; run != NULL; run = run->next)
      if (run->entry == entry && run->id == id)
        return (MdGuardRun *)run;
  return NULL;
}

/* Whether there is no room for all runs of a message. Its connection is ended then: the next hello
   lists none of them, which tells the entry that they will not run here. */
static bool
refuse_orders (const MdRunGuard *guard, const MdGuardPeer *peer, const Md__RunOrders *orders)
{
  uint32_t runs = guard->queue.waiting.n + guard->queue.running.n;

  if (orders->n_orders + runs <= MAX_RUNS)
    return false;
  md_log (MD_LOG_WARN, "orders-refused", "entry=%s orders=%zu runs=%u", peer->name,
          orders->n_orders, runs);
  md_link_disconnect (peer->link);
  return true;
}

static void
on_orders (MdRunGuard *guard, MdGuardPeer *peer, const Md__RunOrders *orders)
{
  md_autofree MdRunText **specs = calloc (orders->n_specs + 1, sizeof *specs);

  if (orders->guard != guard->incarnation || peer->incarnation == 0 || specs == NULL)
    {
      md_log (MD_LOG_WARN, "orders-ignored",
              "entry=%s count=%zu reason=\"addressed to another guard process\"", peer->name,
              orders->n_orders);
      return;
    }
  md_guard_hear_evacuation (guard, peer, orders->evacuated, orders->evacuation_version);
  if (refuse_orders (guard, peer, orders))
    return;
  if (orders->echo_us > peer->echo && orders->echo_us <= guard->now)
    peer->echo = orders->echo_us;
  if (orders->follow_us > 0)
    peer->followed_until
        = guard->now
          + (orders->follow_us < MD_FOLLOW_TIME ? (MdTime)orders->follow_us : MD_FOLLOW_TIME);
  if (is_sparse (guard, peer) != peer->sparse)
    guard->entries_due = 0;
  set_report_interval (guard, peer, orders->report_interval_us);
  drop_ends (peer, orders->ends_seen);
  for (size_t i = 0; i < orders->n_specs; i++)
    specs[i] = new_text (&orders->specs[i]);
  for (size_t i = 0; i < orders->n_orders; i++)
    if (orders->orders[i]->spec < orders->n_specs)
      add_order (guard, peer, orders->orders[i], specs[orders->orders[i]->spec]);
  for (size_t i = 0; i < orders->n_specs; i++)
    release_text (specs[i]);
  for (size_t i = 0; i < orders->n_cancels; i++)
    {
      MdGuardRun *run = md_guard_find_order (guard, peer->incarnation, orders->cancels[i]);

      if (run != NULL)
        md_guard_cancel_run (guard, run);
    }
  for (size_t i = 0; i < orders->n_withdraws; i++)
    {
      MdGuardRun *run = md_guard_find_order (guard, peer->incarnation, orders->withdraws[i]);

      if (run != NULL && run->queued.state == MD_RUN_WAITING)
        md_guard_cancel_run (guard, run);
    }
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  MdRunGuard *guard = user;
  MdGuardPeer *peer = md_link_data (link);

  if (peer == NULL)
    return; /* the peer was removed */
  guard->now = md_now ();
  peer->last_contact = guard->now;
  if (!is_sparse (guard, peer))
    md_link_set_max_silence (link, guard->daemon.leases.entry_silence);
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_RUN_WELCOME:
      on_welcome (guard, peer, frame->run_welcome);
      break;
    case MD__FRAME__MSG_RUN_ORDERS:
      on_orders (guard, peer, frame->run_orders);
      break;
    default:
      md_log (MD_LOG_WARN, "frame-ignored", "address=%s kind=%d", peer->address,
              (int)frame->msg_case);
      break;
    }
}

const MdLinkHandler md_run_guard_handler
    = { .on_up = on_up, .on_frame = on_frame, .on_down = on_down };

/* ------------------------------------------------------------------ */
/* Poll                                                               */

/* Whether the entry has runs here that are not cancelled. */
static bool
has_runs (const MdRunGuard *guard, uint64_t entry)
{
  const MdRunList *lists[] = { &guard->queue.waiting, &guard->queue.running };

  for (unsigned i = 0; entry != 0 && i < MD_ARRAY_SIZE (lists); i++)
    for (const MdRun *run = lists[i]->first; run != NULL; run = run->next)
      if (run->entry == entry && !((const MdGuardRun *)run)->cancelled)
        return true;
  return false;
}

static void
check_lease (MdRunGuard *guard, MdGuardPeer *peer)
{
  if (guard->now < entry_lease_end (guard, peer) || !has_runs (guard, peer->incarnation))
    return;
  md_log (MD_LOG_WARN, "entry-silent", "entry=%s echo_age_ms=%lld action=\"ending its runs\"",
          peer->name, (long long)((guard->now - peer->echo) / MD_MS));
  cancel_entry_runs (guard, peer->incarnation);
}

void
md_guard_check_leases (MdRunGuard *guard)
{
  if (guard->queue.waiting.n == 0 && guard->queue.running.n == 0)
    return;
  for (MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    check_lease (guard, peer);
}

static void
drop_silent_peers (MdRunGuard *guard)
{
  for (MdGuardPeer *peer = guard->peers, *next; peer != NULL; peer = next)
    {
      next = peer->next;
      if (peer->connected || guard->now < peer->last_contact + DROP_SILENT_PEER_AFTER
          || guard->now < md_directory_last_seen (&guard->directory, md_str (peer->address))
                              + DROP_SILENT_PEER_AFTER)
        continue;
      md_log (MD_LOG_INFO, "entry-dropped", "entry=%s address=%s", peer->name, peer->address);
      remove_peer (guard, peer, false);
    }
}

static unsigned
count_connected_peers (const MdRunGuard *guard)
{
  unsigned n = 0;

  for (const MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    n += peer->connected;
  return n;
}

/* Returns when the next report to an entry is due. change_interval: shortest time between two
   reports of changes. */
static MdTime
next_report (const MdRunGuard *guard, const MdGuardPeer *peer, MdTime change_interval)
{
  bool sparse = is_sparse (guard, peer);

  if (peer->urgent || sparse != peer->sparse)
    return guard->now;
  if (sparse)
    return peer->reported_at + MD_SPARSE_INTERVAL;
  if (change_interval < peer->report_interval)
    change_interval = peer->report_interval;
  return peer->reported_at
         + (peer->reported_version != guard->state_version
                ? change_interval
                : guard->daemon.leases.heartbeat_interval);
}

/* Sends the reports that are due. Returns when the next one is. */
static MdTime
send_reports (MdRunGuard *guard)
{
  MdTime interval
      = md_time_min (REPORT_INTERVAL + REPORT_INTERVAL_PER_PEER * count_connected_peers (guard),
                     MAX_REPORT_INTERVAL);
  MdTime due = guard->now + guard->daemon.leases.heartbeat_interval;

  for (MdGuardPeer *peer = guard->peers; peer != NULL; peer = peer->next)
    {
      MdTime next = next_report (guard, peer, interval);

      if (!peer->connected)
        continue;
      if (guard->now >= next)
        {
          send_report (guard, peer);
          next = guard->now + guard->daemon.leases.heartbeat_interval;
        }
      due = next < due ? next : due;
    }
  return due;
}

/* Load pattern: 55 entries, most messages of which have no orders. */
MdTime
md_guard_orders_poll (MdRunGuard *guard)
{
  if (guard->now < guard->entries_due && guard->checked_version == guard->state_version)
    return guard->entries_due;
  drop_silent_peers (guard);
  guard->checked_version = guard->state_version;
  guard->entries_due = send_reports (guard);
  return guard->entries_due;
}
