/* test-lifetime.c -- which reports of a worker a guard follows */

#include "lifetime.h"
#include "suite.h"

#define BORN 1700
#define CLOCK 60000 /* of the worker */

/* A worker whose report with sequence 4 was followed, and that sends the next one. */
static MdLifetime present;
static MdReportOrigin report;

static void
setup (void)
{
  present = (MdLifetime){ .id = MD_STR ("i-1"),
                          .born_ms = BORN,
                          .pool = MD_STR ("calc"),
                          .sequence = 4,
                          .sent_ms = CLOCK - 1500,
                          .clock_ms = CLOCK };
  report = (MdReportOrigin){
    .id = MD_STR ("i-1"), .born_ms = BORN, .pool = MD_STR ("calc"), .sequence = 5, .sent_ms = CLOCK
  };
}

static void
check_verdict (MdReportVerdict expected)
{
  ck_assert_int_eq (md_lifetime_judge (&present, &report), expected);
}

START_TEST (next_report_is_followed)
{
  check_verdict (MD_REPORT_NEWEST);
}
END_TEST

/* The worker has answered a hold, but has sent no report since its start. */
START_TEST (first_report_is_followed)
{
  present.id = MD_STR ("");
  present.pool = MD_STR ("");
  present.sequence = 0;
  present.sent_ms = -1;
  check_verdict (MD_REPORT_NEWEST);
}
END_TEST

/* Guards against the state of a worker before it said that it leaves. */
START_TEST (delayed_report_is_old)
{
  report.sequence = 3;
  report.sent_ms = CLOCK - 3000;
  check_verdict (MD_REPORT_OLD);
  report.sequence = 4;
  report.sent_ms = present.sent_ms;
  check_verdict (MD_REPORT_OLD);
}
END_TEST

START_TEST (sequence_decides_while_no_clock_is_known)
{
  present.sent_ms = report.sent_ms = -1;
  check_verdict (MD_REPORT_NEWEST);
  report.sequence = 4;
  check_verdict (MD_REPORT_OLD);
}
END_TEST

/* Guards against two runs of a task at once, see test-guard-worker. */
START_TEST (another_birth_is_unproven)
{
  static const int64_t births[] = { -1, 0, BORN - 1, BORN + 1, INT64_MAX };

  for (size_t i = 0; i < MD_ARRAY_SIZE (births); i++)
    {
      report.born_ms = births[i];
      check_verdict (MD_REPORT_UNPROVEN);
    }
}
END_TEST

START_TEST (nothing_is_proven_before_the_first_hold)
{
  present.born_ms = -1;
  check_verdict (MD_REPORT_UNPROVEN);
  report.born_ms = -1;
  check_verdict (MD_REPORT_UNPROVEN);
}
END_TEST

/* Guards against a worker that changes its name or its pool within a lifetime. */
START_TEST (another_name_or_pool_is_foreign)
{
  report.id = MD_STR ("i-2");
  check_verdict (MD_REPORT_FOREIGN);
  report.id = MD_STR ("i-1");
  report.pool = MD_STR ("elsewhere");
  check_verdict (MD_REPORT_FOREIGN);
}
END_TEST

/* Guards against a report that makes all later ones look old. */
START_TEST (report_from_the_future_is_unproven)
{
  report.sent_ms = CLOCK + 3600 * 1000;
  check_verdict (MD_REPORT_UNPROVEN);
  report.sent_ms = INT64_MAX;
  check_verdict (MD_REPORT_UNPROVEN);
  present.clock_ms = -1;
  check_verdict (MD_REPORT_NEWEST);
}
END_TEST

START_TEST (high_sequence_without_a_clock_is_old)
{
  report.sequence = UINT64_MAX;
  report.sent_ms = -1;
  check_verdict (MD_REPORT_OLD);
}
END_TEST

/* The worker's clock is known from an answer that was read late. */
START_TEST (clock_ahead_by_less_than_the_tolerance_is_followed)
{
  report.sent_ms = CLOCK + 900;
  check_verdict (MD_REPORT_NEWEST);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("lifetime");

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, next_report_is_followed);
  tcase_add_test (tc, first_report_is_followed);
  tcase_add_test (tc, delayed_report_is_old);
  tcase_add_test (tc, sequence_decides_while_no_clock_is_known);
  tcase_add_test (tc, another_birth_is_unproven);
  tcase_add_test (tc, nothing_is_proven_before_the_first_hold);
  tcase_add_test (tc, another_name_or_pool_is_foreign);
  tcase_add_test (tc, report_from_the_future_is_unproven);
  tcase_add_test (tc, high_sequence_without_a_clock_is_old);
  tcase_add_test (tc, clock_ahead_by_less_than_the_tolerance_is_followed);
  return run_suite ("lifetime", tc);
}
