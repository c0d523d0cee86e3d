/* suite-util.c -- running the tests of one file */

#include "suite.h"

#include <stdlib.h>

int
run_suite (const char *name, TCase *tc)
{
  Suite *suite = suite_create (name);
  SRunner *runner;
  int failed;

  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
