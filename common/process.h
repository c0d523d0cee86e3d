/* process.h -- life of a daemon process: its first line, threads, fatal signals and end

   A daemon calls md_process_begin first and md_process_end last; both write a log line. All of
   its threads have an alternate signal stack, so that a stack overflow is logged as well. */

#ifndef MD_PROCESS_H
#define MD_PROCESS_H

#include "md-private.h"

#include <pthread.h>
#include <signal.h>

/* Last step that the process reached; logged when it ends. */
typedef enum
{
  MD_STEP_BEGIN,      /* before the settings are read */
  MD_STEP_SETTINGS,   /* reads the settings */
  MD_STEP_COMPONENTS, /* starts threads and servers */
  MD_STEP_RUNNING,    /* serves */
  MD_STEP_LEAVING,    /* finishes what it accepted, after a stop signal */
  MD_STEP_ENDING,     /* writes its last lines */
} MdProcessStep;

/* md_process_begin: write the first log line to descriptor log_fd and catch fatal signals.
   sighup_ignored tells whether the process was started with SIGHUP ignored. Called once, before
   any thread is created. */
void md_process_begin (const char *command, int log_fd, bool sighup_ignored);

void md_process_set_step (MdProcessStep step); /* thread-safe */
/* md_process_step_name: the name of the last step. Async-signal-safe. */
const char *md_process_step_name (void);
/* md_process_uptime: time since md_process_begin. Async-signal-safe. */
MdTime md_process_uptime (void);

/* md_process_note_signal: remember the signal that stops the process and its sender for the last
   log line. Only the first call has an effect. Async-signal-safe. */
void md_process_note_signal (const siginfo_t *info);

/* md_process_end: write the last log line, flush the log and end the process with _exit. Nothing
   is freed and no exit handler runs, because other threads may still use the memory and the
   libraries that these would release. */
_Noreturn void md_process_end (int status);

/* md_thread_create: pthread_create for a thread with an alternate signal stack. Returns 0 or an
   error number. */
int md_thread_create (pthread_t *thread, const pthread_attr_t *attributes, void *(*run) (void *),
                      void *data);

/* ------------------------------------------------------------------ */
/* Fatal signals (fatal-signal.c)                                     */

/* md_fatal_signals_catch: on SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT and SIGSYS, write one log
   line and then do what would have been done without it. Signals that are ignored stay so. */
void md_fatal_signals_catch (void);
/* md_fatal_signals_prepare_thread: give the calling thread an alternate signal stack, which is
   freed when the thread ends. For threads that a library creates. A thread without one is logged
   too, unless its stack overflows. */
void md_fatal_signals_prepare_thread (void);

#endif
