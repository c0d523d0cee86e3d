/* server.h -- HTTP server of a stand-in */

#ifndef MD_TEST_SERVER_H
#define MD_TEST_SERVER_H

#include <civetweb.h>

/* start_server: serve "/v1/" and "/control" at an address; NULL when it cannot listen. */
struct mg_context *start_server (const char *address, const char *threads,
                                 mg_request_handler handle, mg_request_handler control);

#endif
