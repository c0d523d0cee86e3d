/* suite.h -- running the tests of one file */

#ifndef MD_TEST_SUITE_H
#define MD_TEST_SUITE_H

#include <check.h>

/* run_suite: run the tests of a case and print the result; the exit status of main. */
int run_suite (const char *name, TCase *tc);

#endif
