/* entry-guards.c -- links from guards: connections, and the orders that are sent

   Guards connect to the entry. A guard is identified by its name. A new incarnation means
   that the runs of its previous process have ended. While a guard is disconnected, its
   runs may continue until both leases have expired (MdLeases). They are ordered elsewhere
   only after that, or when the guard reconnects and reports their ends. */

#include "run-entry.h"

#include <stdio.h>
#include <xxhash.h>

#define MAX_BIAS (12 * MD_MS) /* small compared with run times, longer than the age of a report */
/* Guards keep their names when they restart, which takes seconds. One that has been away for
   this long has been replaced. */
#define GUARD_RETENTION (600 * MD_SECOND)
/* At the size planned in two years, guards connect several times an hour and list the running
   entries. With 35 entries replaced a day, nine dead addresses remain. */
#define MAX_ADDRESS_AGE (6 * 3600 * MD_SECOND)
/* Six times the workers planned for. A guard that has gone keeps its name for GUARD_RETENTION. */
#define MAX_GUARDS 4096
#define MAX_HELLO_ORDERS 131072    /* in a hello; twice the tasks that are active at a time */
#define IDLE_INTERVAL_HEARTBEATS 2 /* between messages to a guard without runs of this entry */
/* Specifications in one message, unless one alone is larger. A frame has at most
   MD_FRAME_MAX_BYTES, and the specification of a job at most 8 MB. */
#define MAX_SPEC_BYTES ((size_t)4 << 20)
#define MAX_TEXT_BYTES ((size_t)4 << 20) /* of permits and checkpoints */
#define MAX_ORDERS_PER_MESSAGE 8192      /* of at most 250 bytes without all these texts */
/* Output of a link beyond which orders wait for the guard to read. Far below the limits of a link
   and of all links, at which the connection is closed and orders that were sent are lost. */
#define MAX_QUEUED_ORDERS ((size_t)4 << 20)
#define QUEUE_RETRY_DELAY (10 * MD_MS) /* until orders that wait for that are looked at again */
/* Messages that are due within this time are sent with those that are due now. */
#define SEND_AHEAD (10 * MD_MS)

/* ------------------------------------------------------------------ */
/* Guards                                                             */

static MdEntryGuard *
guard_at (const MdRunEntry *entry, uint32_t i)
{
  return (MdEntryGuard *)entry->workers.workers[i];
}

static MdEntryGuard *
find_guard (const MdRunEntry *entry, const char *name)
{
  for (uint32_t i = 0; i < entry->workers.n; i++)
    if (strcmp (guard_at (entry, i)->name, name) == 0)
      return guard_at (entry, i);
  return NULL;
}

/* Returns a bias below MAX_BIAS that is fixed for each pair of entry and guard. */
static MdTime
placement_bias (const char *entry, const char *guard)
{
  uint64_t hash = XXH64 (guard, strlen (guard), XXH64 (entry, strlen (entry), 0));

  return (MdTime)(hash % (uint64_t)MAX_BIAS);
}

/* Ensures space for one more worker in the arrays that have an entry for each. Returns false
   when out of memory. */
static bool
grow_worker_arrays (MdRunEntry *entry)
{
  uint32_t cap = entry->allocated_workers > 0 ? entry->allocated_workers * 2 : 16;
  MdWorker **workers;
  MdSavedResources *saved;
  bool *excluded;

  if (entry->workers.n < entry->allocated_workers)
    return true;
  workers = realloc (entry->workers.workers, cap * sizeof (MdWorker *));
  if (workers == NULL)
    return false;
  entry->workers.workers = workers;
  saved = realloc (entry->saved_resources, cap * sizeof *saved);
  if (saved == NULL)
    return false;
  entry->saved_resources = saved;
  excluded = realloc (entry->excluded, cap * sizeof *excluded);
  if (excluded == NULL)
    return false;
  entry->excluded = excluded;
  entry->allocated_workers = cap;
  return true;
}

static MdEntryGuard *
new_guard (MdRunEntry *entry, const char *name)
{
  MdEntryGuard *guard;

  if (entry->workers.n >= MAX_GUARDS || !grow_worker_arrays (entry))
    return NULL;
  guard = calloc (1, sizeof *guard);
  if (guard == NULL)
    return NULL;
  md_str_copy (guard->name, sizeof guard->name, md_str (name));
  guard->entry = entry;
  guard->worker.speed = 1;
  guard->worker.bias = placement_bias (entry->daemon.settings.name, name);
  entry->workers.workers[entry->workers.n++] = &guard->worker;
  return guard;
}

static void
free_guard (MdEntryGuard *guard)
{
  free (guard->hello_orders);
  free (guard->cancels.ids);
  free (guard->withdraws.ids);
  md_traits_unref (guard->worker.traits);
  free (guard);
}

void
md_entry_free_guards (MdRunEntry *entry)
{
  for (uint32_t i = 0; i < entry->workers.n; i++)
    {
      MdEntryGuard *guard = guard_at (entry, i);

      for (MdEntryOrder *order = guard->orders, *next; order != NULL; order = next)
        {
          next = order->next;
          md_entry_free_order (order);
        }
      free_guard (guard);
    }
  free (entry->workers.workers);
  free (entry->saved_resources);
  free (entry->excluded);
}

/* Ends all orders of a guard with the given result, and discards what is to be sent. */
static void
end_all_orders (MdRunEntry *entry, MdEntryGuard *guard, MdRunResult result)
{
  guard->unsent = NULL;
  guard->cancels.n = 0;
  guard->withdraws.n = 0;
  while (guard->orders != NULL)
    md_entry_order_ended (entry, guard->orders, result, 0, "");
}

/* ------------------------------------------------------------------ */
/* Orders                                                             */

/* Has the next pass look at the guards, because this one needs a message or a check. */
static void
mark_due (MdEntryGuard *guard)
{
  if (guard->entry != NULL)
    guard->entry->guards_due = 0;
}

static void
append_id (MdIdList *list, uint64_t id)
{
  if (list->n == list->cap)
    {
      uint32_t cap = list->cap > 0 ? list->cap * 2 : 16;
      uint64_t *ids = realloc (list->ids, cap * sizeof *ids);

      if (ids == NULL)
        {
          md_log (MD_LOG_ERROR, "cancel-lost", "order=%llu reason=\"out of memory\"",
                  (unsigned long long)id);
          return;
        }
      list->ids = ids;
      list->cap = cap;
    }
  list->ids[list->n++] = id;
}

void
md_entry_send_order (MdRunEntry *entry, MdEntryOrder *order)
{
  MdEntryGuard *guard = order->guard;

  order->id = entry->next_order_id++;
  order->next = guard->orders;
  if (guard->orders != NULL)
    guard->orders->previous = order;
  guard->orders = order;
  order->next_unsent = guard->unsent;
  guard->unsent = order;
  mark_due (guard);
}

void
md_entry_cancel (MdEntryOrder *order)
{
  if (order->cancelled)
    return;
  order->cancelled = true;
  append_id (&order->guard->cancels, order->id);
  mark_due (order->guard);
}

void
md_entry_withdraw (MdEntryOrder *order)
{
  if (order->cancelled || order->withdrawn)
    return;
  order->withdrawn = true;
  append_id (&order->guard->withdraws, order->id);
  mark_due (order->guard);
}

/* A cancellation or withdrawal may have been lost with the connection. */
void
md_entry_repeat_end (MdEntryOrder *order)
{
  if (order->cancelled)
    append_id (&order->guard->cancels, order->id);
  if (order->withdrawn)
    append_id (&order->guard->withdraws, order->id);
}

/* Returns the index of the specification in the message, which is added if it is not yet
   there. */
static uint32_t
spec_index (Md__RunOrders *orders, const MdRunSpec *spec)
{
  for (size_t i = 0; i < orders->n_specs; i++)
    if (orders->specs[i].data == (uint8_t *)spec->spec)
      return (uint32_t)i;
  orders->specs[orders->n_specs].data = (uint8_t *)spec->spec;
  orders->specs[orders->n_specs].len = spec->spec_len;
  return (uint32_t)orders->n_specs++;
}

/* Task name in a message; must stay valid until the message is packed. */
typedef struct
{
  char text[MD_RUN_NAME_BYTES];
} TaskName;

static void
fill_order (Md__RunOrders *orders, Md__RunOrder *out, TaskName *name, MdEntryOrder *order,
            MdTime now)
{
  const MdEntryJob *job = order->job;
  const MdRunTask *task = &job->runjob.tasks[order->step][order->task];

  md_platform_task_name (name->text, md_str (job->id), 0, order->step, order->task);
  md__run_order__init (out);
  out->id = order->id;
  out->task = name->text;
  out->run = order->run_number;
  out->spec = spec_index (orders, &job->runjob.spec);
  out->cpu = order->need.cpu;
  out->memory_mb = order->need.memory_mb;
  out->accelerators = order->need.accelerators;
  out->work_us = (uint64_t)md_span (order->work);
  out->start_within_us = order->start_within - (now - order->placed_at);
  out->permit = order->permit != NULL ? order->permit : "";
  out->alone = order->alone;
  out->at_once = order->at_once;
  out->priority = order->priority;
  out->checkpoint = task->checkpoint != NULL ? task->checkpoint : "";
}

/* Ends the unsent orders that were cancelled or whose job has ended. The guard has never
   received them. */
static void
drop_cancelled_orders (MdRunEntry *entry, MdEntryGuard *guard)
{
  for (MdEntryOrder **pos = &guard->unsent; *pos != NULL;)
    {
      MdEntryOrder *order = *pos;

      if (order->job != NULL && !order->cancelled)
        {
          pos = &order->next_unsent;
          continue;
        }
      *pos = order->next_unsent;
      md_entry_order_ended (entry, order, MD_RUN_REJECTED, 0, "");
    }
}

void
md_entry_follow (MdRunEntry *entry, MdWorker *worker)
{
  MdEntryGuard *guard = (MdEntryGuard *)worker;

  worker->follow_requested = true;
  guard->follow_until = entry->now + MD_FOLLOW_TIME;
  guard->sent_at = 0; /* the next message is due */
  mark_due (guard);
  md_count (MD_M_GUARDS_FOLLOWED, 1);
}

/* Returns the longest time between two messages to a guard. A guard without runs has no lease
   to extend, but it closes the link after five heartbeats of silence. */
static MdTime
message_interval (const MdRunEntry *entry, const MdEntryGuard *guard)
{
  if (guard->worker.sparse && guard->orders == NULL)
    return MD_SPARSE_INTERVAL;
  return entry->daemon.leases.heartbeat_interval
         * (guard->orders != NULL ? 1 : IDLE_INTERVAL_HEARTBEATS);
}

/* Bytes of the permit and the checkpoint of an order. */
static size_t
text_bytes (const MdEntryOrder *order)
{
  const MdRunTask *task = &order->job->runjob.tasks[order->step][order->task];

  return (order->permit != NULL ? strlen (order->permit) : 0)
         + (task->checkpoint != NULL ? strlen (task->checkpoint) : 0);
}

/* Whether an order fits into a message with the specifications and orders that it has already.
   texts: bytes of their permits and checkpoints, and of the order's. */
static bool
fits (const Md__RunOrders *orders, const MdRunSpec *spec, size_t texts)
{
  size_t bytes = spec->spec_len;

  if (orders->n_orders == 0)
    return true;
  if (orders->n_orders == MAX_ORDERS_PER_MESSAGE || texts > MAX_TEXT_BYTES)
    return false;
  for (size_t i = 0; i < orders->n_specs; i++)
    if (orders->specs[i].data == (uint8_t *)spec->spec)
      return true;
    else
      bytes += orders->specs[i].len;
  return bytes <= MAX_SPEC_BYTES;
}

/* Sends one message with the first of the n orders, as many as fit, and sets *sent to their number.
   On failure nothing has reached the guard, and *sent is the number of orders that did not fit into
   a frame. */
static int
send_part (MdRunEntry *entry, MdEntryGuard *guard, MdEntryOrder **unsent, uint32_t n,
           uint32_t *sent)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunOrders orders = MD__RUN_ORDERS__INIT;
  md_autofree Md__RunOrder *list = calloc (n + 1, sizeof *list);
  md_autofree Md__RunOrder **pointers = calloc (n + 1, sizeof *pointers);
  md_autofree TaskName *names = calloc (n + 1, sizeof *names);
  md_autofree ProtobufCBinaryData *specs = calloc (n + 1, sizeof *specs);
  size_t texts = 0;
  uint32_t part = 0;
  int rc;

  *sent = 0;
  if (list == NULL || pointers == NULL || names == NULL || specs == NULL)
    return MD_E_MEMORY; /* retried with the next message */
  orders.guard = guard->worker.guard;
  orders.echo_us = guard->stamp;
  orders.ends_seen = guard->ends_seen;
  orders.orders = pointers;
  orders.specs = specs;
  orders.cancels = guard->cancels.ids;
  orders.n_cancels = guard->cancels.n;
  orders.withdraws = guard->withdraws.ids;
  orders.n_withdraws = guard->withdraws.n;
  if (guard->orders != NULL)
    orders.follow_us = MD_FOLLOW_TIME;
  else if (guard->follow_until > entry->now)
    orders.follow_us = (uint64_t)(guard->follow_until - entry->now);
  orders.report_interval_us = (uint64_t)entry->report_interval;
  orders.evacuated = guard->worker.evacuated;
  orders.evacuation_version = entry->evacuation.set.version;
  for (; part < n; part++)
    {
      texts += text_bytes (unsent[part]);
      if (!fits (&orders, &unsent[part]->job->runjob.spec, texts))
        break;
      fill_order (&orders, &list[part], &names[part], unsent[part], entry->now);
      pointers[orders.n_orders++] = &list[part];
    }
  frame.msg_case = MD__FRAME__MSG_RUN_ORDERS;
  frame.run_orders = &orders;
  *sent = part;
  rc = md_link_send (guard->link, &frame);
  if (rc != MD_OK)
    return rc;
  for (uint32_t i = 0; i < part; i++)
    unsent[i]->sent = true;
  md_count (MD_M_STARTS, (int64_t)orders.n_orders);
  guard->cancels.n = 0;
  guard->withdraws.n = 0;
  guard->sent_at = entry->now;
  guard->echoed_at = guard->stamp_at;
  return MD_OK;
}

/* Takes the unsent orders out of their list. Returns them with the oldest first, as the ids in
   messages must increase; NULL without memory. */
static MdEntryOrder **
take_unsent (MdEntryGuard *guard, uint32_t *n)
{
  MdEntryOrder **orders;
  uint32_t i = 0;

  for (const MdEntryOrder *order = guard->unsent; order != NULL; order = order->next_unsent)
    i++;
  *n = i;
  orders = calloc (i + 1, sizeof (MdEntryOrder *));
  if (orders == NULL)
    return NULL;
  for (MdEntryOrder *order = guard->unsent; order != NULL; order = order->next_unsent)
    orders[--i] = order;
  guard->unsent = NULL;
  return orders;
}

/* Sends a message, or several when there is more to order than fits into one. An order that was
   not sent stays unsent: it is sent later, or placed elsewhere when the connection has ended.
   Returns whether the guard has to be looked at again soon. */
static bool
send_message (MdRunEntry *entry, MdEntryGuard *guard)
{
  md_autofree MdEntryOrder **orders = NULL;
  uint32_t n;
  uint32_t sent = 0;
  uint32_t refused = 0; /* orders that do not fit into a frame */
  bool reads = md_link_queued (guard->link) < MAX_QUEUED_ORDERS;
  int rc;

  md_entry_check_unsent (entry, guard);
  drop_cancelled_orders (entry, guard);
  if (!reads && entry->now < guard->sent_at + message_interval (entry, guard))
    return true;
  orders = take_unsent (guard, &n);
  if (orders == NULL)
    return true;
  do
    {
      uint32_t part;

      rc = send_part (entry, guard, orders + sent, reads ? n - sent : 0, &part);
      if (rc == MD_OK)
        sent += part;
      else if (rc == MD_E_LIMIT && md_link_is_up (guard->link))
        refused = part;
    }
  while (rc == MD_OK && reads && sent < n && md_link_queued (guard->link) < MAX_QUEUED_ORDERS);
  for (uint32_t i = sent + refused; i < n; i++)
    {
      orders[i]->next_unsent = guard->unsent;
      guard->unsent = orders[i];
    }
  for (uint32_t i = sent; i < sent + refused; i++)
    {
      md_log (MD_LOG_ERROR, "order-too-long", "guard=%s order=%llu", guard->name,
              (unsigned long long)orders[i]->id);
      md_entry_order_ended (entry, orders[i], MD_RUN_REJECTED, 0, "");
    }
  return guard->unsent != NULL;
}

/* ------------------------------------------------------------------ */
/* Connections                                                        */

static void
send_welcome (MdRunEntry *entry, const MdEntryGuard *guard)
{
  Md__Frame frame = MD__FRAME__INIT;
  Md__RunWelcome welcome = MD__RUN_WELCOME__INIT;
  char *entries[MD_MAX_ENTRIES];

  md_directory_expire (&entry->directory, entry->now - MAX_ADDRESS_AGE);
  welcome.name = entry->daemon.settings.name;
  welcome.incarnation = entry->incarnation;
  welcome.sparse_reports = true;
  welcome.report_interval_us = (uint64_t)entry->report_interval;
  welcome.evacuated = guard->worker.evacuated;
  welcome.evacuation_version = entry->evacuation.set.version;
  for (unsigned i = 0; i < entry->directory.n; i++)
    entries[i] = entry->directory.address[i];
  welcome.entries = entries;
  welcome.n_entries = entry->directory.n;
  frame.msg_case = MD__FRAME__MSG_RUN_WELCOME;
  frame.run_welcome = &welcome;
  md_link_send (guard->link, &frame);
}

/* Ends the orders of the previous process of a guard and resets its state. */
static void
start_incarnation (MdRunEntry *entry, MdEntryGuard *guard, uint64_t incarnation)
{
  /* Nothing may be placed on this guard while its orders are ended and placed again. */
  guard->worker.connected = false;
  end_all_orders (entry, guard, MD_RUN_LEASE_EXPIRED);
  guard->worker.guard = incarnation;
  guard->worker.state = MD_WORKER_ABSENT;
  guard->worker.outstanding = 0;
  guard->stamp = 0;
  guard->stamps = (MdStampClock){ 0 };
  guard->ends_seen = 0;
  guard->welcomed = false;
}

/* Whether a hello was delayed on a connection that the guard has replaced since. It does not
   list the orders that were sent over the present connection. */
static bool
is_outdated_hello (const MdEntryGuard *guard, const Md__RunHello *hello)
{
  return guard != NULL && guard->worker.guard == hello->incarnation
         && hello->connection < guard->connection;
}

static bool
has_sent_orders (const MdEntryGuard *guard)
{
  for (const MdEntryOrder *order = guard->orders; order != NULL; order = order->next)
    if (order->sent)
      return true;
  return false;
}

/* Whether a guard that knew this process no longer names it: it dials a second address of the
   entry, or has dropped the address and learned it again. The hello then lists no orders,
   although the guard may still have some. */
static bool
is_hello_without_entry (const MdRunEntry *entry, const MdEntryGuard *guard,
                        const Md__RunHello *hello)
{
  return guard != NULL && guard->worker.guard == hello->incarnation && guard->welcomed
         && hello->entry != entry->incarnation && has_sent_orders (guard);
}

/* Whether the connection was used by a guard of another name. When it ends, only one guard is told
   that its link is gone. */
static bool
is_hello_of_another (const MdLink *link, const MdEntryGuard *guard)
{
  return md_link_data (link) != NULL && md_link_data (link) != guard;
}

/* How many of the orders in the hello are compared with those that have been sent. */
static size_t
orders_to_keep (const MdRunEntry *entry, const MdEntryGuard *guard, const Md__RunHello *hello)
{
  bool refers = hello->entry == entry->incarnation && guard != NULL && guard->orders != NULL;

  return refers ? hello->n_alive : 0;
}

static void
on_hello (MdRunEntry *entry, MdLink *link, const Md__RunHello *hello)
{
  MdEntryGuard *guard = find_guard (entry, hello->name);
  uint64_t *hello_orders;
  size_t n_orders;
  char name[MD_NAME_BYTES];

  if (is_hello_of_another (link, guard))
    {
      md_log (MD_LOG_WARN, "hello-refused", "guard=%s peer=%s reason=\"second name\"",
              md_log_quote (md_str (hello->name), name, sizeof name), md_link_peer (link));
      md_link_disconnect (link);
      return;
    }
  if (is_outdated_hello (guard, hello))
    {
      md_log (MD_LOG_INFO, "hello-outdated", "guard=%s connection=%llu present=%llu", guard->name,
              (unsigned long long)hello->connection, (unsigned long long)guard->connection);
      md_link_disconnect (link);
      return;
    }
  if (is_hello_without_entry (entry, guard, hello))
    {
      /* Accepted once the orders have ended or their leases have expired. */
      md_log (MD_LOG_WARN, "hello-without-entry", "guard=%s orders=%u entry=%llx", guard->name,
              guard->worker.outstanding, (unsigned long long)hello->entry);
      md_link_disconnect (link);
      return;
    }
  if (guard == NULL)
    guard = new_guard (entry, hello->name);
  n_orders = orders_to_keep (entry, guard, hello);
  hello_orders = calloc (n_orders + 1, sizeof *hello_orders);
  if (guard == NULL || hello_orders == NULL || n_orders > MAX_HELLO_ORDERS)
    {
      /* Without the list, running orders would be treated as lost. */
      md_log (MD_LOG_ERROR, "guard-refused",
              "guard=%s orders=%zu guards=%u reason=\"out of memory or over a limit\"",
              md_log_quote (md_str (hello->name), name, sizeof name), n_orders, entry->workers.n);
      free (hello_orders);
      md_link_disconnect (link);
      return;
    }
  if (guard->link != NULL && guard->link != link)
    {
      md_link_set_data (guard->link, NULL);
      md_link_disconnect (guard->link);
    }
  if (guard->worker.guard != hello->incarnation)
    start_incarnation (entry, guard, hello->incarnation);
  guard->connection = hello->connection;
  free (guard->hello_orders);
  guard->hello_orders = hello_orders;
  guard->n_hello_orders = n_orders;
  if (n_orders > 0)
    memcpy (hello_orders, hello->alive, n_orders * sizeof *hello_orders);
  guard->awaiting_report = true;
  guard->welcomed |= hello->entry == entry->incarnation;
  guard->link = link;
  guard->worker.connected = true;
  guard->worker.sparse = false;
  guard->worker.follow_requested = false;
  md_link_set_data (link, guard);
  md_link_set_max_silence (link, MD_GUARD_SILENCE);
  for (size_t i = 0; i < hello->n_entries; i++)
    md_directory_add (&entry->directory, md_str (hello->entries[i]), entry->now);
  md_entry_set_domain (entry, guard, hello->failure_domain);
  send_welcome (entry, guard);
  md_log (MD_LOG_INFO, "guard-up", "guard=%s incarnation=%llx orders=%u alive=%zu away_ms=%lld",
          guard->name, (unsigned long long)hello->incarnation, guard->worker.outstanding,
          hello->n_alive,
          (long long)(guard->lost_at > 0 ? (entry->now - guard->lost_at) / MD_MS : 0));
}

static void
on_up (void *user, MdLink *link)
{
  /* A guard sends the first message; a peer that was dialled gets one. */
  md_entry_peer_up (user, link);
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  MdRunEntry *entry = user;
  MdEntryGuard *guard = md_link_data (link);

  entry->now = md_now ();
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_RUN_HELLO:
      on_hello (entry, link, frame->run_hello);
      break;
    case MD__FRAME__MSG_RUN_REPORT:
      if (guard != NULL)
        md_entry_report (entry, guard, frame->run_report);
      break;
    default:
      if (md_entry_peer_frame (entry, link, frame))
        break;
      md_log (MD_LOG_WARN, "frame-ignored", "peer=%s kind=%d", md_link_peer (link),
              (int)frame->msg_case);
      break;
    }
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  MdRunEntry *entry = user;
  MdEntryGuard *guard = md_link_data (link);

  entry->now = md_now ();
  md_entry_peer_down (entry, link, error);
  if (guard == NULL)
    return;
  guard->link = NULL;
  guard->worker.connected = false;
  guard->lost_at = entry->now;
  mark_due (guard);
  md_log (MD_LOG_WARN, "guard-down", "guard=%s orders=%u reason=\"%s\"", guard->name,
          guard->worker.outstanding, error->detail);
}

const MdLinkHandler md_run_entry_handler
    = { .on_up = on_up, .on_frame = on_frame, .on_down = on_down };

/* ------------------------------------------------------------------ */
/* Poll                                                               */

/* Ends the orders of a disconnected guard: unsent ones at once, because they have not reached
   it, and the others when their leases have expired, because they may still run. Returns when
   it must be called again. */
static MdTime
poll_disconnected (MdRunEntry *entry, MdEntryGuard *guard)
{
  MdTime ended_at = guard->echoed_at + entry->daemon.leases.ended_after;

  for (MdEntryOrder *order; (order = guard->unsent) != NULL;)
    {
      guard->unsent = order->next_unsent;
      md_entry_order_ended (entry, order, MD_RUN_REJECTED, 0, "");
    }
  if (guard->orders == NULL)
    return INT64_MAX;
  if (entry->now < ended_at)
    return ended_at;
  md_log (MD_LOG_WARN, "guard-lost", "guard=%s orders=%u silent_ms=%lld", guard->name,
          guard->worker.outstanding, (long long)((entry->now - guard->stamp_at) / MD_MS));
  end_all_orders (entry, guard, MD_RUN_LEASE_EXPIRED);
  return INT64_MAX;
}

/* Whether a guard has been away for so long that it has been replaced. */
static bool
is_expired (const MdRunEntry *entry, const MdEntryGuard *guard)
{
  return guard->link == NULL && guard->orders == NULL
         && entry->now >= guard->lost_at + GUARD_RETENTION;
}

/* Removes the guard at index i. The last guard moves to its index. */
static void
remove_guard (MdRunEntry *entry, uint32_t i)
{
  MdEntryGuard *guard = guard_at (entry, i);

  md_log (MD_LOG_INFO, "guard-forgotten", "guard=%s away_ms=%lld", guard->name,
          (long long)((entry->now - guard->lost_at) / MD_MS));
  md_entry_clear_worker (entry, &guard->worker);
  entry->workers.workers[i] = entry->workers.workers[--entry->workers.n];
  free_guard (guard);
}

/* Adjusts how often guards report changes to how late the entry is. They hear of it with the next
   message. */
static void
adjust_report_interval (MdRunEntry *entry)
{
  if (entry->now < entry->report_interval_due)
    return;
  entry->report_interval_due = entry->now + MD_LAG_STEP;
  entry->report_interval
      = md_lag_report_interval (entry->report_interval, md_lag_now (&entry->load.lag, entry->now));
  md_gauge (MD_M_REPORT_INTERVAL, entry->report_interval / MD_MS);
}

/* Sends the messages that are due and checks all guards. Returns when that is due again. */
static MdTime
check_guards (MdRunEntry *entry)
{
  MdTime due = entry->now + entry->daemon.leases.heartbeat_interval;

  for (uint32_t i = 0; i < entry->workers.n;)
    {
      MdEntryGuard *guard = guard_at (entry, i);
      MdTime next = guard->sent_at + message_interval (entry, guard);

      if (is_expired (entry, guard))
        {
          remove_guard (entry, i);
          continue;
        }
      i++;
      if (guard->link == NULL)
        next = poll_disconnected (entry, guard);
      else if (!guard->awaiting_report
               && (guard->unsent != NULL || guard->cancels.n > 0 || guard->withdraws.n > 0
                   || entry->now + SEND_AHEAD >= next))
        {
          bool again = send_message (entry, guard);

          next = entry->now + (again ? QUEUE_RETRY_DELAY : message_interval (entry, guard));
        }
      due = next < due && next > entry->now ? next : due;
    }
  return due;
}

/* Load pattern: 240 guards and more than a thousand passes a second, few of which have anything for
   a guard. */
MdTime
md_entry_guards_poll (MdRunEntry *entry)
{
  MdTime due;

  adjust_report_interval (entry);
  if (entry->now < entry->guards_due)
    return entry->guards_due;
  /* Ends of lost runs may queue orders for guards that have been checked already. */
  entry->guards_due = INT64_MAX;
  due = check_guards (entry);
  entry->guards_due = md_time_min (entry->guards_due, due);
  return entry->guards_due > entry->now ? entry->guards_due : entry->now;
}
