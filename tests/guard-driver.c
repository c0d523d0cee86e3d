/* guard-driver.c -- plays entries towards a guard, from commands on stdin

   Each entry (A, B, ...) listens on its own address; the addresses are printed
   first. Heartbeats go out every 100 ms and return the guard's latest nonce while
   the entry is attached, unless it is muted. A command that waits gives up after
   30 s, which ends the program with status 1.

     wait E                     the guard's Hello on a new connection
     attach E [FENCED...]       attach, print the verdict and the records
     lease E                    the guard has received an echo
     start E KEY TASK PATH [MS [wrong]]
                                one start with MS left (default 10000), wrong: for
                                another guard incarnation
     answers E N                print N answers, sorted
     query E KEY TASK, cancel E KEY, release E KEY
     none E                     print surplus answers
     mute E, unmute E           send nothing; send again
     noecho E, drop E           heartbeats without echo; break the connection
     leaving E, gone E          Leaving has arrived; the guard has disconnected
     signal PID, control MODE, sleep MS */

#include "md-private.h"

#include "wire.pb-c.h"

#include <civetweb.h>
#include <signal.h>
#include <stdio.h>

#define MAX_ENTRIES 4
#define MAX_ANSWERS 256
#define GIVE_UP (30 * MD_SECOND)
#define INTERVAL (100 * MD_MS)

typedef struct
{
  char name[2];                   /* "A" */
  MdLinks *links;                 /* listener and the guard's connection */
  MdLink *link;                   /* NULL while the guard is not connected */
  uint64_t incarnation;           /* of this entry */
  uint64_t guard;                 /* of the guard, from its Hello */
  bool fresh;                     /* a Hello arrived that wait has not taken */
  bool attached;                  /* verdict of the last attach */
  bool muted;                     /* sends no heartbeats */
  bool no_echo;                   /* heartbeats carry no echo */
  bool leaving;                   /* Leaving has arrived */
  bool replied;                   /* AttachReply or CancelReply has arrived */
  bool last;                      /* the last Records frame has arrived */
  int records;                    /* records received */
  MdTime nonce;                   /* latest of the guard */
  MdTime heard_sent;              /* latest sent_us of the guard */
  MdTime echoed_at;               /* sent_us of the first heartbeat with an echo */
  MdTime acked;                   /* latest ack_us of the guard */
  MdTime next_heartbeat;          /* when to send the next */
  char answers[MAX_ANSWERS][128]; /* received, as text */
  int n_answers;                  /* received and not printed */
} Entry;

static Entry entries[MAX_ENTRIES];
static int n_entries;
static const char *upstream;

static const char *const result_names[] = { "ok", "failed", "broken", "not-run", "unknown" };
static const char *const state_names[]
    = { "running", "ok", "failed", "broken", "refused", "released" };

static void
send_msg (Entry *e, Md__Frame__MsgCase kind, void *message)
{
  Md__Frame frame = MD__FRAME__INIT;

  frame.msg_case = kind;
  frame.hello = message; /* all members of the union are pointers */
  if (e->link != NULL)
    md_link_send (e->link, &frame);
}

/* ------------------------------------------------------------------ */
/* Frames of the guard                                                */

static void
on_hello (Entry *e, const Md__Hello *hello)
{
  Md__Welcome welcome = MD__WELCOME__INIT;

  welcome.protocol = 1;
  welcome.name = e->name;
  welcome.incarnation = e->incarnation;
  if (e->muted)
    return;
  e->guard = hello->incarnation;
  e->fresh = true;
  send_msg (e, MD__FRAME__MSG_WELCOME, &welcome);
}

static void
on_answers (Entry *e, const Md__Answers *answers)
{
  char name = e->name[0];

  for (size_t i = 0; i < answers->n_answers && e->n_answers < MAX_ANSWERS; i++)
    {
      const Md__Answer *a = answers->answers[i];

      snprintf (e->answers[e->n_answers++], sizeof e->answers[0],
                "answer %c key=%llu task=%u result=%s reason=%s status=%u body=%zu", name,
                (unsigned long long)a->key->lo, a->task, result_names[a->result],
                md_reason_name (a->reason), a->status, a->body.len);
    }
}

static void
on_records (Entry *e, const Md__Records *records)
{
  for (size_t i = 0; i < records->n_records; i++)
    printf ("record %s key=%llu task=%u state=%s\n", e->name,
            (unsigned long long)records->records[i]->key->lo, records->records[i]->task,
            state_names[records->records[i]->state]);
  e->last = records->last;
}

static void
on_frame (void *user, MdLink *link, const Md__Frame *frame)
{
  Entry *e = user;

  (void)link;
  switch (frame->msg_case)
    {
    case MD__FRAME__MSG_HELLO:
      on_hello (e, frame->hello);
      break;
    case MD__FRAME__MSG_HEARTBEAT:
      e->nonce = frame->heartbeat->nonce_us;
      e->heard_sent = frame->heartbeat->sent_us;
      e->acked = frame->heartbeat->ack_us;
      break;
    case MD__FRAME__MSG_ATTACH_REPLY:
      e->attached = frame->attach_reply->attached;
      e->replied = true;
      printf ("attach %s attached=%d reason=%s holder_alive=%d\n", e->name, e->attached,
              md_reason_name (frame->attach_reply->reason), frame->attach_reply->holder_alive);
      break;
    case MD__FRAME__MSG_RECORDS:
      on_records (e, frame->records);
      break;
    case MD__FRAME__MSG_ANSWERS:
      on_answers (e, frame->answers);
      break;
    case MD__FRAME__MSG_CANCEL_REPLY:
      e->replied = true;
      printf ("cancelled %s key=%llu not_run=%u running=%u done=%u\n", e->name,
              (unsigned long long)frame->cancel_reply->key->lo, frame->cancel_reply->not_run,
              frame->cancel_reply->running, frame->cancel_reply->done);
      break;
    case MD__FRAME__MSG_LEAVING:
      e->leaving = true;
      break;
    default:
      break;
    }
}

static void
on_up (void *user, MdLink *link)
{
  Entry *e = user;

  e->link = link;
  md_link_set_max_silence (link, 0);
}

static void
on_down (void *user, MdLink *link, const MdError *error)
{
  Entry *e = user;

  (void)error;
  if (e->link == link)
    e->link = NULL;
}

/* ------------------------------------------------------------------ */
/* Passing time                                                       */

static void
send_heartbeat (Entry *e, MdTime now)
{
  Md__Heartbeat heartbeat = MD__HEARTBEAT__INIT;

  e->next_heartbeat = now + INTERVAL;
  if (e->link == NULL || e->muted || e->guard == 0)
    return;
  heartbeat.sent_us = now;
  heartbeat.ack_us = e->heard_sent;
  if (e->attached && !e->no_echo)
    heartbeat.echo_us = e->nonce;
  if (e->attached && e->echoed_at == 0)
    e->echoed_at = now;
  send_msg (e, MD__FRAME__MSG_HEARTBEAT, &heartbeat);
}

static void
pass (void)
{
  for (int i = 0; i < n_entries; i++)
    {
      MdTime now = md_now ();

      if (now >= entries[i].next_heartbeat)
        send_heartbeat (&entries[i], now);
      md_links_poll (entries[i].links, now + 2 * MD_MS);
    }
}

static bool
is_up (const Entry *e)
{
  return e->fresh;
}

static bool
has_reply (const Entry *e)
{
  return e->replied && (!e->attached || e->last);
}

static bool
has_lease (const Entry *e)
{
  return e->echoed_at != 0 && e->acked >= e->echoed_at;
}

static bool
is_leaving (const Entry *e)
{
  return e->leaving;
}

static bool
is_gone (const Entry *e)
{
  return e->link == NULL;
}

static void
await (Entry *e, bool (*done) (const Entry *), const char *what)
{
  MdTime until = md_now () + GIVE_UP;

  while (!done (e) && md_now () < until)
    pass ();
  if (done (e))
    return;
  printf ("gave up waiting for %s at %s\n", what, e->name);
  exit (1);
}

/* ------------------------------------------------------------------ */
/* Commands                                                           */

static void
attach (Entry *e, char *fenced)
{
  Md__Attach message = MD__ATTACH__INIT;
  uint64_t fences[MAX_ENTRIES];

  message.entry = e->incarnation;
  message.guard = e->guard;
  message.shard = (char *)"pool/0";
  message.fences = fences;
  for (; fenced != NULL; fenced = strtok (NULL, " "))
    fences[message.n_fences++] = entries[*fenced - 'A'].incarnation;
  e->replied = e->last = false;
  e->echoed_at = 0;
  send_msg (e, MD__FRAME__MSG_ATTACH, &message);
  await (e, has_reply, "attach");
}

static void
start (Entry *e, uint64_t key, uint32_t task, char *path, MdTime left, bool wrong)
{
  Md__Starts starts = MD__STARTS__INIT;
  Md__Start s = MD__START__INIT;
  Md__Start *list[] = { &s };
  Md__Key wire_key = MD__KEY__INIT;

  wire_key.lo = key;
  s.key = s.fingerprint = &wire_key;
  s.task = task;
  s.n_tasks = 16;
  s.method = (char *)"POST";
  s.path = path;
  s.time_left_us = (uint64_t)left;
  s.customer = (char *)"acme";
  starts.owner = e->incarnation;
  starts.guard = e->guard + (wrong ? 1 : 0);
  starts.nonce_us = e->nonce;
  starts.starts = list;
  starts.n_starts = 1;
  send_msg (e, MD__FRAME__MSG_STARTS, &starts);
}

static int
compare (const void *a, const void *b)
{
  return strcmp (a, b);
}

static void
print_answers (Entry *e, int wanted)
{
  MdTime until = md_now () + GIVE_UP;

  while (e->n_answers < wanted && md_now () < until)
    pass ();
  if (e->n_answers < wanted)
    {
      printf ("gave up with %d of %d answers at %s\n", e->n_answers, wanted, e->name);
      exit (1);
    }
  qsort (e->answers, (size_t)e->n_answers, sizeof e->answers[0], compare);
  for (int i = 0; i < e->n_answers; i++)
    puts (e->answers[i]);
  e->n_answers = 0;
}

static void
send_keys (Entry *e, const char *verb, uint64_t key)
{
  Md__Key wire_key = MD__KEY__INIT;
  Md__Key *keys[] = { &wire_key };
  Md__Cancel cancel = MD__CANCEL__INIT;
  Md__Release release = MD__RELEASE__INIT;

  wire_key.lo = key;
  cancel.keys = release.keys = keys;
  cancel.n_keys = release.n_keys = 1;
  e->replied = false;
  if (strcmp (verb, "release") == 0)
    {
      send_msg (e, MD__FRAME__MSG_RELEASE, &release);
      return;
    }
  send_msg (e, MD__FRAME__MSG_CANCEL, &cancel);
  await (e, has_reply, "cancel");
}

static void
send_query (Entry *e, uint64_t key, uint32_t task)
{
  Md__Query query = MD__QUERY__INIT;
  Md__TaskRecord record = MD__TASK_RECORD__INIT;
  Md__TaskRecord *list[] = { &record };
  Md__Key wire_key = MD__KEY__INIT;

  wire_key.lo = key;
  record.key = record.fingerprint = &wire_key;
  record.task = task;
  record.n_tasks = 16;
  query.tasks = list;
  query.n_tasks = 1;
  send_msg (e, MD__FRAME__MSG_QUERY, &query);
}

static void
control (const char *mode)
{
  char host[MD_ADDRESS_BYTES];
  char error[128] = "";
  int port = 0;
  struct mg_connection *conn;

  md_address_split (md_str (upstream), host, &port);
  conn = mg_download (host, port, 0, error, sizeof error,
                      "POST /control?mode=%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
                      mode);
  if (conn == NULL)
    {
      printf ("control failed: %s\n", error);
      exit (1);
    }
  mg_close_connection (conn);
}

static void
sleep_for (MdTime duration)
{
  MdTime until = md_now () + duration;

  while (md_now () < until)
    pass ();
}

static void
run_entry_command (const char *verb, Entry *e)
{
  char *first = strtok (NULL, " ");
  char *second = strtok (NULL, " ");
  uint64_t key = first != NULL ? strtoull (first, NULL, 10) : 0;
  uint32_t task = second != NULL ? (uint32_t)strtoul (second, NULL, 10) : 0;

  if (strcmp (verb, "wait") == 0)
    {
      await (e, is_up, "hello");
      e->fresh = false;
    }
  else if (strcmp (verb, "attach") == 0)
    attach (e, first);
  else if (strcmp (verb, "lease") == 0)
    await (e, has_lease, "lease");
  else if (strcmp (verb, "start") == 0)
    {
      char *path = strtok (NULL, " ");
      char *left = strtok (NULL, " ");

      start (e, key, task, path, left != NULL ? atoi (left) * MD_MS : 10 * MD_SECOND,
             strtok (NULL, " ") != NULL);
    }
  else if (strcmp (verb, "answers") == 0)
    print_answers (e, (int)key);
  else if (strcmp (verb, "none") == 0)
    print_answers (e, 0);
  else if (strcmp (verb, "query") == 0)
    send_query (e, key, task);
  else if (strcmp (verb, "cancel") == 0 || strcmp (verb, "release") == 0)
    send_keys (e, verb, key);
  else if (strcmp (verb, "mute") == 0)
    e->muted = true;
  else if (strcmp (verb, "unmute") == 0)
    e->muted = false;
  else if (strcmp (verb, "noecho") == 0)
    e->no_echo = true;
  else if (strcmp (verb, "drop") == 0)
    md_link_disconnect (e->link);
  else if (strcmp (verb, "leaving") == 0)
    await (e, is_leaving, "leaving");
  else if (strcmp (verb, "gone") == 0)
    await (e, is_gone, "disconnect");
  else
    printf ("unknown command %s\n", verb);
}

static void
run_command (char *line)
{
  char *verb = strtok (line, " ");
  char *name = strtok (NULL, " ");

  if (verb == NULL || *verb == '#' || name == NULL)
    return;
  printf ("> %s %s\n", verb, strcmp (verb, "signal") == 0 ? "guard" : name);
  if (strcmp (verb, "signal") == 0)
    kill (atoi (name), SIGTERM);
  else if (strcmp (verb, "control") == 0)
    control (name);
  else if (strcmp (verb, "sleep") == 0)
    sleep_for (atoi (name) * MD_MS);
  else
    run_entry_command (verb, &entries[*name - 'A']);
}

static int
open_entry (Entry *e, int index)
{
  static const MdLinkHandler handler = { on_up, on_frame, on_down };
  char bound[MD_ADDRESS_BYTES];
  MdTuning tuning;

  md_tuning_default (&tuning);
  e->name[0] = (char)('A' + index);
  e->incarnation = md_new_incarnation ();
  e->links = md_links_new (&tuning, &handler, e);
  if (md_links_listen (e->links, MD_STR ("127.0.0.1:0"), bound, NULL) != MD_OK)
    return 1;
  printf ("listening %s\n", bound);
  return 0;
}

int
main (int argc, char **argv)
{
  char line[256];

  if (argc != 3)
    {
      fputs ("usage: guard-driver N UPSTREAM < COMMANDS\n", stderr);
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  n_entries = atoi (argv[1]);
  upstream = argv[2];
  mg_init_library (0);
  for (int i = 0; i < n_entries; i++)
    if (open_entry (&entries[i], i) != 0)
      return 1;
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      run_command (line);
    }
  for (int i = 0; i < n_entries; i++)
    md_links_free (entries[i].links);
  mg_exit_library ();
  return 0;
}
