/* allocator.c -- the settings of the allocator

   glibc gives threads arenas of their own, up to eight for each core, and each arena keeps what its
   threads have freed. An entry has hundreds of threads, of which few allocate at a time, so that
   most of its memory would be free memory of arenas. */

#include "md-private.h"

#include <malloc.h>

#define MAX_ARENAS 4 /* threads that allocate at the same moment share them */

void
md_limit_arenas (void)
{
  if (getenv ("MALLOC_ARENA_MAX") == NULL)
    mallopt (M_ARENA_MAX, MAX_ARENAS);
}
