/* fatal-signal.c -- one log line for a signal that ends the process

   The handler calls async-signal-safe functions only, formats the line by hand and writes it with
   write(2). Then it restores the former action and sends the same signal, with the same siginfo_t,
   to its own thread, so that the exit status and the core dump are those of a process without a
   handler. Lines that the log writer still holds are written first, because the request that
   caused the fault is often among the last of them. */

#define _GNU_SOURCE /* REG_RIP */

#include "process.h"

#include <poll.h>
#include <stdint.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#define LINE_BYTES 512
/* The handler's frames, beside what the kernel saves of the processor's state. */
#define HANDLER_STACK_BYTES (16u << 10)
#define WRITER_TIMEOUT_MS 250 /* several pauses of the log writer */
#define OUTPUT_TIMEOUT_MS 200 /* when the output is not read */
/* Other threads that fault meanwhile wait for the line at most this long; several times what it
   takes, as a busy machine runs the first thread late. */
#define REPORT_TIMEOUT (3 * MD_SECOND)
#define WAIT_STEP_MS 5
#define THREAD_NAME_BYTES 16 /* limit of the kernel, with terminator */

extern const char __executable_start; /* of the linker: start of the program in memory */
extern const char etext;              /* of the linker: end of its code */

static const struct
{
  int number;
  const char *name;
} fatal_signals[] = { { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },   { SIGFPE, "SIGFPE" },
                      { SIGILL, "SIGILL" },   { SIGABRT, "SIGABRT" }, { SIGSYS, "SIGSYS" } };

static struct sigaction former[MD_ARRAY_SIZE (fatal_signals)];
static atomic_int reporter;  /* thread that writes the line; 0: none */
static atomic_bool reported; /* the line has been written */

/* ------------------------------------------------------------------ */
/* Formatting                                                         */

typedef struct
{
  char bytes[LINE_BYTES];
  size_t len;
} Line;

static void
put_text (Line *line, const char *text)
{
  while (*text != '\0' && line->len < sizeof line->bytes - 1)
    line->bytes[line->len++] = *text++;
}

static void
put_digits (Line *line, uint64_t value, unsigned base, unsigned width)
{
  char digits[24];
  unsigned n = 0;

  do
    {
      digits[n++] = "0123456789abcdef"[value % base];
      value /= base;
    }
  while (value > 0 || n < width);
  while (n > 0 && line->len < sizeof line->bytes - 1)
    line->bytes[line->len++] = digits[--n];
}

static void
put_number (Line *line, const char *key, int64_t value)
{
  put_text (line, key);
  if (value < 0)
    put_text (line, "-");
  put_digits (line, value < 0 ? 0 - (uint64_t)value : (uint64_t)value, 10, 1);
}

static void
put_hex (Line *line, const char *key, uint64_t value)
{
  put_text (line, key);
  put_text (line, "0x");
  put_digits (line, value, 16, 1);
}

/* Date of a day since 1970-01-01 in the Gregorian calendar; gmtime is not async-signal-safe. */
static void
put_date (Line *line, int64_t days)
{
  int64_t shifted = days + 719468; /* days since 0000-03-01 */
  int64_t era = shifted / 146097;  /* 400 years */
  int64_t day = shifted % 146097;
  int64_t year = (day - day / 1460 + day / 36524 - day / 146096) / 365;
  int64_t of_year = day - (365 * year + year / 4 - year / 100);
  int64_t month = (5 * of_year + 2) / 153; /* 0 is March */

  put_digits (line, (uint64_t)(year + era * 400 + (month >= 10)), 10, 4);
  put_text (line, "-");
  put_digits (line, (uint64_t)(month < 10 ? month + 3 : month - 9), 10, 2);
  put_text (line, "-");
  put_digits (line, (uint64_t)(of_year - (153 * month + 2) / 5 + 1), 10, 2);
}

static void
put_time (Line *line)
{
  struct timespec now = { 0 };
  uint64_t second;

  clock_gettime (CLOCK_REALTIME, &now);
  second = (uint64_t)now.tv_sec % 86400;
  put_text (line, "time=");
  put_date (line, now.tv_sec / 86400);
  put_text (line, "T");
  put_digits (line, second / 3600, 10, 2);
  put_text (line, ":");
  put_digits (line, second / 60 % 60, 10, 2);
  put_text (line, ":");
  put_digits (line, second % 60, 10, 2);
  put_text (line, ".");
  put_digits (line, (uint64_t)now.tv_nsec / 1000000, 10, 3);
  put_text (line, "Z");
}

static void
put_thread_name (Line *line)
{
  char name[THREAD_NAME_BYTES] = { 0 };

  prctl (PR_GET_NAME, name);
  for (char *c = name; *c != '\0'; c++)
    if (*c <= ' ' || *c == '"' || *c == '=' || *c >= 0x7f)
      *c = '?';
  put_text (line, " thread=");
  put_text (line, name);
}

/* ------------------------------------------------------------------ */
/* Handler                                                            */

typedef struct
{
  uint64_t pc; /* program counter */
  uint64_t sp; /* stack pointer */
} Registers;

static Registers
registers_of (const void *context)
{
  const ucontext_t *state = context;

#if defined(__x86_64__)
  return (Registers){ (uint64_t)state->uc_mcontext.gregs[REG_RIP],
                      (uint64_t)state->uc_mcontext.gregs[REG_RSP] };
#elif defined(__aarch64__)
  return (Registers){ state->uc_mcontext.pc, state->uc_mcontext.sp };
#else
  (void)state;
  return (Registers){ 0 };
#endif
}

static void
put_registers (Line *line, const void *context)
{
  Registers registers = registers_of (context);
  uint64_t start = (uint64_t)(uintptr_t)&__executable_start;

  put_hex (line, " sp=", registers.sp);
  put_hex (line, " pc=", registers.pc);
  if (registers.pc >= start && registers.pc < (uint64_t)(uintptr_t)&etext)
    put_hex (line, " offset=", registers.pc - start);
  else
    put_text (line, " offset=-"); /* in a library */
}

/* The address belongs to a fault, the sender to a signal that a process sent. */
static void
put_cause (Line *line, const siginfo_t *info)
{
  put_number (line, " code=", info->si_code);
  if (info->si_code > 0)
    put_hex (line, " address=", (uint64_t)(uintptr_t)info->si_addr);
  else
    put_number (line, " sender_pid=", info->si_pid);
}

static void
write_line (const Line *line)
{
  struct pollfd output = { .fd = md_log_descriptor (), .events = POLLOUT };

  if (poll (&output, 1, OUTPUT_TIMEOUT_MS) == 1 && write (output.fd, line->bytes, line->len) < 0)
    return; /* there is no other place to report the error */
}

static void
report (size_t index, const siginfo_t *info, const void *context)
{
  Line line = { .len = 0 };

  put_time (&line);
  put_text (&line, " level=error node=");
  put_text (&line, md_log_node ());
  put_number (&line, " event=fatal-signal pid=", getpid ());
  put_number (&line, " signal=", fatal_signals[index].number);
  put_text (&line, " name=");
  put_text (&line, fatal_signals[index].name);
  put_cause (&line, info);
  put_registers (&line, context);
  put_number (&line, " tid=", syscall (SYS_gettid));
  put_thread_name (&line);
  put_text (&line, " step=");
  put_text (&line, md_process_step_name ());
  put_number (&line, " uptime_ms=", md_process_uptime () / MD_MS);
  line.bytes[line.len++] = '\n';
  md_log_wait_written (WRITER_TIMEOUT_MS);
  write_line (&line);
}

static void
wait_reported (void)
{
  MdTime deadline = md_now () + REPORT_TIMEOUT;

  while (!atomic_load (&reported) && md_now () < deadline)
    poll (NULL, 0, WAIT_STEP_MS);
}

static void
on_fatal_signal (int number, siginfo_t *info, void *context)
{
  int self = (int)syscall (SYS_gettid);
  int none = 0;
  size_t index = 0;

  while (fatal_signals[index].number != number)
    index++;
  if (atomic_compare_exchange_strong (&reporter, &none, self))
    {
      report (index, info, context);
      atomic_store (&reported, true);
    }
  else if (none != self) /* a fault in the handler itself does not wait */
    wait_reported ();
  sigaction (number, &former[index], NULL);
  /* Delivered when the handler returns. If it cannot be sent, a fault recurs by itself. */
  syscall (SYS_rt_tgsigqueueinfo, getpid (), self, number, info);
}

void
md_fatal_signals_catch (void)
{
  struct sigaction action
      = { .sa_sigaction = on_fatal_signal, .sa_flags = SA_SIGINFO | SA_ONSTACK };

  sigemptyset (&action.sa_mask);
  for (size_t i = 0; i < MD_ARRAY_SIZE (fatal_signals); i++)
    if (sigaction (fatal_signals[i].number, NULL, &former[i]) == 0
        && former[i].sa_handler != SIG_IGN)
      sigaction (fatal_signals[i].number, &action, NULL);
}

/* ------------------------------------------------------------------ */
/* Alternate stacks                                                   */

static pthread_key_t stack_key; /* base of the calling thread's alternate stack */
static pthread_once_t stack_key_once = PTHREAD_ONCE_INIT;
static bool stack_key_exists;

static size_t
stack_bytes (void)
{
  size_t page = (size_t)sysconf (_SC_PAGESIZE);
  size_t state = (size_t)sysconf (_SC_MINSIGSTKSZ); /* depends on the processor */

  return (state + HANDLER_STACK_BYTES + page - 1) / page * page;
}

static void
free_stack (void *base)
{
  stack_t none = { .ss_flags = SS_DISABLE };

  sigaltstack (&none, NULL);
  munmap (base, stack_bytes ());
}

static void
create_stack_key (void)
{
  stack_key_exists = pthread_key_create (&stack_key, free_stack) == 0;
}

void
md_fatal_signals_prepare_thread (void)
{
  stack_t present = { 0 };
  stack_t stack = { .ss_size = stack_bytes () };

  pthread_once (&stack_key_once, create_stack_key);
  /* A sanitizer's runtime installs stacks of its own. */
  if (!stack_key_exists || sigaltstack (NULL, &present) != 0 || !(present.ss_flags & SS_DISABLE))
    return;
  stack.ss_sp = mmap (NULL, stack.ss_size, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
  if (stack.ss_sp == MAP_FAILED)
    return;
  if (sigaltstack (&stack, NULL) != 0 || pthread_setspecific (stack_key, stack.ss_sp) != 0)
    munmap (stack.ss_sp, stack.ss_size);
}
