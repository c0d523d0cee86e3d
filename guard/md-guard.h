/* md-guard.h -- what the files of the guard daemon share

   guard.c is the life cycle, guard-entries.c the links to entries, guard-tasks.c
   starts and answers, upstream.c the connections to the upstream. Everything but
   upstream.c runs in the engine thread. */

#ifndef MD_GUARD_H
#define MD_GUARD_H

#include "inbox.h"
#include "md-private.h"

#include "wire.pb-c.h"

/* ------------------------------------------------------------------ */
/* Upstream (upstream.c)                                              */

/* Bytes of a response body. The answer leaves in one frame, so the frame bound of
   16 MiB has to hold the head of the response as well. */
#define MD_RESPONSE_MAX (MD_FRAME_MAX_BYTES - (64u << 10))

/* A request whose hand-over is older than this is not sent before the ledger has
   been asked again. */
#define MD_HANDOVER_MAX (1 * MD_SECOND)

typedef enum
{
  MD_END_COMPLETE, /* answer has the complete response */
  MD_END_BROKEN,   /* bytes may have been sent; no complete response */
  MD_END_NOT_SENT, /* no byte was sent */
  MD_END_STALE,    /* no byte was sent: the hand-over is too old */
} MdAttemptEnd;

typedef struct MdAttempt MdAttempt;

/* One attempt. The engine thread owns it, except between md_upstream_submit and
   md_upstream_take. */
struct MdAttempt
{
  MdInboxNode node;   /* in the inbox of results */
  MdAttempt *next;    /* in a queue */
  MdKey key;          /* submission */
  uint32_t task;      /* index */
  bool head_only;     /* method HEAD: the response has no body */
  MdTime deadline;    /* absolute; the request is cut off then */
  MdTime handed_at;   /* when the engine handed it over */
  MdBuf request;      /* head and body as sent */
  MdAttemptEnd end;   /* how it ended */
  MdTime run;         /* time at the upstream */
  Md__Answer *answer; /* COMPLETE: status, headers and body */
  MdError error;      /* other ends */
};

void md_attempt_free (MdAttempt *task);

/* First in, first out; zero-initialized it is empty. */
typedef struct
{
  MdAttempt *head; /* oldest */
  MdAttempt *tail; /* newest */
  size_t count;    /* tasks */
  size_t bytes;    /* of their requests */
} MdAttemptQueue;

void md_attempt_queue_push (MdAttemptQueue *queue, MdAttempt *task);
MdAttempt *md_attempt_queue_pop (MdAttemptQueue *queue);

typedef struct MdUpstream MdUpstream;

/* md_upstream_new: n executor threads for the server at address. wake is called
   from them after a result was queued. */
MdUpstream *md_upstream_new (MdStr address, size_t n, void (*wake) (void *user), void *user,
                             MdError *error);
/* md_upstream_free: ends the threads; requests in progress are cut off. */
void md_upstream_free (MdUpstream *upstream);
void md_upstream_submit (MdUpstream *upstream, MdAttempt *task);
/* md_upstream_take: finished attempts as a list linked by next, oldest first. */
MdAttempt *md_upstream_take (MdUpstream *upstream);
/* md_upstream_expire: cut off the requests whose deadline has passed. */
void md_upstream_expire (MdUpstream *upstream, MdTime now);

/* ------------------------------------------------------------------ */
/* Guard                                                              */

typedef struct MdPeer MdPeer;

/* An entry. */
struct MdPeer
{
  MdPeer *next;                   /* all peers */
  MdLink *link;                   /* dialled */
  char address[MD_ADDRESS_BYTES]; /* of its links */
  char name[MD_NAME_BYTES];       /* from its Welcome or registration */
  uint64_t registration;          /* registered incarnation, 0 from the command line */
  uint64_t incarnation;           /* as it calls itself, 0 before its Welcome */
  MdTime interval;                /* heartbeat interval it asked for */
  MdTime next_heartbeat;          /* when to send the next */
  MdTime last_heartbeat_sent;     /* sent_us of its last heartbeat */
  uint64_t last_heartbeat_offset; /* members_offset of its last heartbeat */
  MdTime acked;                   /* our heartbeat that it received last */
  uint64_t connection;            /* counts the connections made */
  bool welcomed;                  /* its Welcome has arrived on this connection */
  bool temporary;                 /* the balancer's address: closed once entries are known */
};

typedef struct MdRetainedAnswer MdRetainedAnswer;

/* A finished attempt whose answer an owner has not released yet. */
struct MdRetainedAnswer
{
  MdRetainedAnswer *next;     /* by time of finish */
  MdRetainedAnswer *previous; /* by time of finish */
  MdRetainedAnswer *chain;    /* same bucket */
  MdKey key;                  /* submission */
  uint32_t task;              /* index */
  bool once;                  /* a refusal: freed when sent, the ledger remembers it */
  uint64_t sent_to;           /* entry it was sent to last, 0 none */
  MdTime sent_at;             /* when */
  uint64_t connection;        /* on which of its connections */
  Md__Answer *answer;         /* owned */
};

typedef struct
{
  MdRetainedAnswer **buckets; /* n_buckets chains, by key and task */
  size_t n_buckets;           /* a power of two */
  size_t count;               /* answers */
  MdRetainedAnswer *oldest;   /* list by time of finish */
  MdRetainedAnswer *newest;   /* list by time of finish */
  MdRetainedAnswer *cursor;   /* first that may have to be sent to the owner */
} MdAnswers;

typedef struct MdRegistrar MdRegistrar;

typedef enum
{
  MD_EVENT_STORE,      /* from the store */
  MD_EVENT_REGISTERED, /* the own registration stands in the log */
  MD_EVENT_REMOVED,    /* the own leaving record was appended or given up */
} MdEventKind;

/* What another thread tells the engine thread. */
typedef struct
{
  MdInboxNode node;               /* in the inbox */
  MdEventKind kind;               /* selects the fields in use */
  MdStoreEventKind what;          /* STORE */
  uint64_t offset;                /* STORE, REGISTERED: of the record */
  uint64_t incarnation;           /* STORE: of the member */
  MdRole role;                    /* STORE, REGISTER */
  char name[MD_NAME_BYTES];       /* STORE, REGISTER */
  char address[MD_ADDRESS_BYTES]; /* STORE, REGISTER */
} MdEvent;

/* guard-register.c: a thread that registers the guard and removes it again,
   because both block on the log. md_registrar_new returns NULL with errno. */
MdRegistrar *md_registrar_new (MdStore *store, const MdMemberInfo *info, const MdTuning *tuning,
                               MdInbox *inbox, MdLinks *links);
/* md_registrar_leave: append the leaving record; MD_EVENT_REMOVED follows. */
void md_registrar_leave (MdRegistrar *registrar);

typedef struct
{
  MdSettings settings;        /* from the file */
  const MdTuning *tuning;     /* part of settings */
  uint64_t incarnation;       /* of this process */
  uint32_t slots;             /* tasks at a time */
  MdLinks *links;             /* to entries */
  MdStore *store;             /* configuration and registrations */
  MdLedger *ledger;           /* decides on starts */
  MdUpstream *upstream;       /* executors */
  MdRegistrar *registrar;     /* registration in the log */
  MdInbox inbox;              /* events of other threads */
  MdTime now;                 /* at the start of the pass */
  MdTime next_tick;           /* next periodic work */
  MdPeer *peers;              /* entries */
  uint64_t known_offset;      /* highest registration offset seen anywhere */
  uint64_t registered_offset; /* own registration, 0 none */
  uint64_t config_offset;     /* configuration applied */
  MdAttemptQueue waiting;     /* accepted, no slot yet */
  size_t busy;                /* attempts at the upstream */
  MdAnswers answers;          /* retained */
  MdTime coalesce;            /* longest delay of an answer for batching */
  MdTime flush_at;            /* when new answers leave, 0 none wait */
  bool leaving;               /* no new starts */
  bool removing;              /* the leaving record is being appended */
  bool removed;               /* the registrar has ended */
  bool finished;              /* end the main loop */
  MdTime leave_until;         /* end of the drain */
} MdGuard;

/* guard.c */

/* md_guard_set_now: read the clock. */
void md_guard_set_now (MdGuard *guard);

/* guard-entries.c */
MdPeer *md_guard_add_entry (MdGuard *guard, MdStr address, MdStr name, uint64_t registration);
void md_guard_remove_entry (MdGuard *guard, uint64_t registration);
/* md_guard_owner: the attached entry when its link is up, otherwise NULL. */
MdPeer *md_guard_owner (MdGuard *guard);
/* md_guard_heartbeats: send what is due; returns when the next is due. */
MdTime md_guard_heartbeats (MdGuard *guard);
void md_guard_announce_leaving (MdGuard *guard);
extern const MdLinkHandler md_guard_handler;

/* guard-tasks.c */
void md_guard_starts (MdGuard *guard, MdPeer *peer, const Md__Starts *starts);
void md_guard_cancel (MdGuard *guard, MdPeer *peer, const Md__Cancel *cancel);
void md_guard_release (MdGuard *guard, const Md__Release *release);
void md_guard_query (MdGuard *guard, MdPeer *peer, const Md__Query *query);
/* md_guard_results: take in finished attempts and fill free slots. */
void md_guard_results (MdGuard *guard);
/* md_guard_send_answers: send to the owner what is due and not sent yet. */
void md_guard_send_answers (MdGuard *guard);
/* md_guard_resend: go through the retained answers from the oldest on; those that
   the owner has are passed over. */
void md_guard_resend (MdGuard *guard);
/* md_guard_drained: nothing runs and every answer was released or received. */
bool md_guard_drained (MdGuard *guard);

/* guard-answers.c */
MdRetainedAnswer *md_answers_find (const MdAnswers *answers, MdKey key, uint32_t task);
/* md_answers_add: takes the answer; NULL when out of memory, the answer is then
   freed. */
MdRetainedAnswer *md_answers_add (MdAnswers *answers, Md__Answer *answer, bool once);
void md_answers_remove (MdAnswers *answers, MdRetainedAnswer *retained);
void md_answers_clear (MdAnswers *answers);
/* md_answer_new: an answer without a body; NULL when out of memory. */
Md__Answer *md_answer_new (MdKey key, uint32_t task, MdTaskResult result, MdReason reason);
/* md_answer_size: memory it takes. */
size_t md_answer_size (const Md__Answer *answer);

#endif
