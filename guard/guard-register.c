/* guard-register.c -- registration of a guard in the log

   Registering and removing block on the log, which may be down for hours, so they
   run in a thread of their own. A registration is tried again, with jitter, until
   it stands in the log. A leaving record is tried for a few seconds only: without
   it the owner removes the guard after a longer silence. */

#include "md-guard.h"
#include "process.h"

#include <errno.h>
#include <pthread.h>
#include <time.h>

#define REMOVE_ATTEMPTS 5

struct MdRegistrar
{
  MdStore *store;       /* log */
  MdMemberInfo info;    /* strings belong to the settings */
  MdTuning tuning;      /* retry delays */
  MdInbox *inbox;       /* of the engine thread */
  MdLinks *links;       /* to wake the engine thread */
  pthread_t thread;     /* runs the calls */
  pthread_mutex_t lock; /* for the fields below */
  pthread_cond_t asked; /* leave was set */
  bool leave;           /* append the leaving record */
};

static void
tell (MdRegistrar *r, MdEventKind kind, uint64_t offset)
{
  MdEvent *event = calloc (1, sizeof *event);

  if (event == NULL)
    abort (); /* without this event the guard would never serve or never end */
  event->kind = kind;
  event->offset = offset;
  md_inbox_push (r->inbox, &event->node);
  md_links_wake (r->links);
}

/* Waits until asked to leave, at most delay; 0 waits without end. Returns
   true when asked. */
static bool
wait_asked (MdRegistrar *r, MdTime delay)
{
  struct timespec until;
  bool asked;
  int rc = 0;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += delay / MD_SECOND;
  until.tv_nsec += delay % MD_SECOND * 1000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&r->lock);
  while (!r->leave && rc == 0)
    rc = delay > 0 ? pthread_cond_timedwait (&r->asked, &r->lock, &until)
                   : pthread_cond_wait (&r->asked, &r->lock);
  asked = r->leave;
  pthread_mutex_unlock (&r->lock);
  return asked;
}

/* Returns false when the guard shall end before it was registered. */
static bool
register_guard (MdRegistrar *r)
{
  for (unsigned attempt = 0;; attempt++)
    {
      MdError error = { 0 };
      uint64_t offset = 0;

      if (md_store_register (r->store, &r->info, &offset, &error) == MD_OK)
        {
          tell (r, MD_EVENT_REGISTERED, offset);
          return true;
        }
      md_log (MD_LOG_WARN, "register", "attempt=%u step=%s peer=%s detail=\"%s\"", attempt + 1,
              error.step, error.peer, error.detail);
      if (wait_asked (r, md_reconnect_delay (&r->tuning, attempt, md_random ())))
        return false;
    }
}

static void
remove_guard (MdRegistrar *r)
{
  for (unsigned attempt = 0; attempt < REMOVE_ATTEMPTS; attempt++)
    {
      MdError error = { 0 };
      MdTime delay = md_reconnect_delay (&r->tuning, attempt, md_random ());
      struct timespec pause = { delay / MD_SECOND, delay % MD_SECOND * 1000 };

      if (md_store_remove_member (r->store, r->info.incarnation, true, &error) == MD_OK)
        return;
      md_log (MD_LOG_WARN, "leaving-record", "attempt=%u step=%s peer=%s detail=\"%s\"",
              attempt + 1, error.step, error.peer, error.detail);
      nanosleep (&pause, NULL);
    }
}

static void *
run (void *data)
{
  MdRegistrar *r = data;
  bool registered = register_guard (r);

  wait_asked (r, 0);
  if (registered)
    remove_guard (r);
  tell (r, MD_EVENT_REMOVED, 0);
  return NULL;
}

MdRegistrar *
md_registrar_new (MdStore *store, const MdMemberInfo *info, const MdTuning *tuning, MdInbox *inbox,
                  MdLinks *links)
{
  MdRegistrar *r = calloc (1, sizeof *r);
  int rc;

  if (r == NULL)
    return NULL;
  r->store = store;
  r->info = *info;
  r->tuning = *tuning;
  r->inbox = inbox;
  r->links = links;
  pthread_mutex_init (&r->lock, NULL);
  pthread_cond_init (&r->asked, NULL);
  rc = md_thread_create (&r->thread, NULL, run, r);
  if (rc == 0)
    return r;
  free (r);
  errno = rc;
  return NULL;
}

void
md_registrar_leave (MdRegistrar *registrar)
{
  pthread_mutex_lock (&registrar->lock);
  registrar->leave = true;
  pthread_cond_signal (&registrar->asked);
  pthread_mutex_unlock (&registrar->lock);
}
