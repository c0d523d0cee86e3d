/* front.h -- an entry's HTTP front end for tests, over the loopback interface */

#ifndef MD_TEST_FRONT_H
#define MD_TEST_FRONT_H

#include "run-entry.h"

#define JOB                                                                                        \
  "{\"best_effort\":true,\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"       \
  "\"estimated_ms\":30}]}"
#define ID "00000000000000a1" /* of the job that front_post_job posts */

extern MdRunEntry front_entry;           /* its engine does not run by itself */
extern atomic_bool front_config_changed; /* the store has a second version and dropped the first */
extern atomic_bool front_config_held;    /* the store does not answer while this is set */

/* front_setup, front_teardown: fixture; starts and stops the front end, with eight threads for
   callers and a configuration with the queue /calc/. */
void front_setup (void);
/* front_setup_starting: the same for an entry that starts; its configuration is held. */
void front_setup_starting (void);
void front_teardown (void);

/* front_connect: a connection of a caller; its socket. */
int front_connect (void);
/* front_post_body, front_post_job: send a request for a job, without waiting for the response. */
void front_post_body (int fd, const char *id, const char *body);
void front_post_job (int fd);
/* front_reset: close the connection with a reset. */
void front_reset (int fd);

/* front_count_requests: number of requests in the engine's inbox, which keeps them. */
int front_count_requests (void);
/* front_wait_for_requests: wait until there are as many. */
void front_wait_for_requests (int n);

#endif
