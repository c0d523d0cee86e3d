/* tsan-rcu.c -- what a grace period of RCU means, for the thread sanitizer

   liburcu orders its readers with a system call of the writer, which the sanitizer does
   not know, and is not instrumented itself. Without this the release of an object after a
   grace period is now and then reported as a race with a reader that has left its critical
   section. The linker puts these functions in place of the library's in builds for the
   thread sanitizer only. A reader that is still inside at the release is reported as ever. */

#include <urcu/urcu-memb.h>

void __tsan_acquire (void *address);
void __tsan_release (void *address);
void __real_urcu_memb_read_unlock (void);
void __real_urcu_memb_synchronize_rcu (void);
void __wrap_urcu_memb_read_unlock (void);
void __wrap_urcu_memb_synchronize_rcu (void);

static char grace; /* its address stands for the end of critical sections */

void
__wrap_urcu_memb_read_unlock (void)
{
  __tsan_release (&grace);
  __real_urcu_memb_read_unlock ();
}

void
__wrap_urcu_memb_synchronize_rcu (void)
{
  __real_urcu_memb_synchronize_rcu ();
  __tsan_acquire (&grace);
}
