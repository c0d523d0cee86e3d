/* targets-platform.c -- jobs of callers and the messages of the platform

   What a parser accepts is checked for what its header promises, and records that can be written
   are written and read again. */

#include "platform.h"
#include "targets.h"

#include <math.h>

/* A refusal has a reason, so that the log can state it. */
static void
check_result (int rc, const MdError *error)
{
  FUZZ_CHECK (rc == MD_OK || rc == MD_E_INVALID || rc == MD_E_MEMORY);
  FUZZ_CHECK (rc == MD_OK || (error->code != MD_OK && error->detail[0] != '\0'));
  fuzz_result (rc);
}

static bool
is_duration (MdTime time)
{
  return time >= 0 && time <= MD_JSON_MAX_DURATION;
}

static void
check_terminated (const char *field, size_t size)
{
  FUZZ_CHECK (memchr (field, '\0', size) != NULL);
}

static void
decode_text (MdStr text)
{
  FUZZ_CHECK (text.data[text.len] == '\0');
  fuzz_decoded (text.data, text.len);
}

void
fuzz_caller (MdStr input)
{
  MdRunSpec spec;
  MdError error = { 0 };
  size_t memory = md_platform_job_memory (input);
  int rc = md_platform_parse_job (input, &spec, &error);

  check_result (rc, &error);
  if (rc != MD_OK)
    {
      FUZZ_CHECK (spec.spec == NULL && spec.steps == NULL);
      return;
    }
  FUZZ_CHECK (memory > 0);
  FUZZ_CHECK (spec.n_steps >= 1 && spec.n_steps <= MD_MAX_STEPS);
  FUZZ_CHECK (spec.spec[spec.spec_len] == '\0');
  for (uint32_t i = 0; i < spec.n_steps; i++)
    {
      FUZZ_CHECK (is_duration (spec.steps[i].declared_time));
      decode_text (spec.steps[i].affinity);
      decode_text (spec.steps[i].required_label);
      spec.steps[i].affinity = spec.steps[i].required_label = (MdStr){ 0 };
    }
  fuzz_decoded (spec.spec, spec.spec_len);
  fuzz_decoded (spec.steps, spec.n_steps * sizeof *spec.steps);
  md_run_spec_clear (&spec);
}

static void
check_report (const MdWorkerReport *report)
{
  MdWorkerReport numbers = *report;

  FUZZ_CHECK (md_traits_pool (report->traits).len > 0);
  FUZZ_CHECK (report->state == MD_WORKER_READY || report->state == MD_WORKER_DRAINING);
  decode_text (report->traits->pool);
  for (uint32_t i = 0; i < report->traits->n_labels; i++)
    decode_text (report->traits->labels[i]);
  FUZZ_CHECK (report->born_ms >= 0 && report->clock_ms >= -1);
  FUZZ_CHECK (report->sequence < UINT64_C (1) << 53);
  numbers.traits = NULL;
  fuzz_decoded (&numbers, sizeof numbers);
}

void
fuzz_worker_report (MdStr input)
{
  MdWorkerReport report;
  MdError error = { 0 };
  int rc = md_platform_parse_worker_report (input, MD_STR ("i-1"), &report, &error);

  check_result (rc, &error);
  if (rc == MD_OK)
    check_report (&report);
  md_worker_report_clear (&report);
}

/* A record that was read is written and read again without a change. */
void
fuzz_worker_record (MdStr input)
{
  MdWorkerRecord record;
  MdWorkerRecord again;
  MdError error = { 0 };
  MD_AUTO_BUF text = { 0 };
  int rc = md_platform_parse_worker_record (input, &record, &error);

  check_result (rc, &error);
  if (rc != MD_OK)
    return;
  check_report (&record.report);
  FUZZ_CHECK (fabs (record.log_speed) <= 3);
  record.report.sequence = 0;
  record.report.clock_ms = -1;
  md_platform_write_worker_record (&text, &record);
  fuzz_result (text.failed ? MD_E_MEMORY : MD_OK);
  if (text.failed)
    {
      md_worker_report_clear (&record.report);
      return;
    }
  fuzz_decoded (text.data, text.len);
  rc = md_platform_parse_worker_record (md_buf_str (&text), &again, &error);
  check_result (rc, &error);
  if (rc == MD_OK)
    FUZZ_CHECK (md_traits_equal (record.report.traits, again.report.traits)
                && record.samples == again.samples);
  md_worker_report_clear (&record.report);
  md_worker_report_clear (&again.report);
}

/* The first byte chooses the status of the response. */
void
fuzz_worker_start (MdStr input)
{
  static const int statuses[] = { 200, 409, 421, 500 };
  int64_t clock_ms = -2;
  int status = input.len > 0 ? statuses[(unsigned char)input.data[0] % 4] : 200;
  MdStr body = input.len > 0 ? md_str_n (input.data + 1, input.len - 1) : input;
  MdOrderResult result = md_platform_parse_start_response (status, body, &clock_ms);

  FUZZ_CHECK (result <= MD_ORDER_REFUSED && clock_ms >= -1);
  FUZZ_CHECK ((result == MD_ORDER_STARTED) == (status == 200));
  fuzz_result (result == MD_ORDER_REFUSED || clock_ms < 0 ? MD_E_INVALID : MD_OK);
  fuzz_decoded (&result, sizeof result);
  fuzz_decoded (&clock_ms, sizeof clock_ms);
}

void
fuzz_worker_hold (MdStr input)
{
  MdHoldResponse response;
  MdError error = { 0 };
  int rc = md_platform_parse_hold_response (input, &response, &error);

  check_result (rc, &error);
  if (rc != MD_OK)
    {
      FUZZ_CHECK (response.runs == NULL && response.ends == NULL);
      return;
    }
  FUZZ_CHECK (response.born_ms >= 0 && response.clock_ms >= -1);
  for (size_t i = 0; i < response.n_runs; i++)
    check_terminated (response.runs[i].task, sizeof response.runs[i].task);
  for (size_t i = 0; i < response.n_ends; i++)
    {
      FUZZ_CHECK (response.ends[i].number >= 1 && response.ends[i].number < UINT64_C (1) << 53);
      check_terminated (response.ends[i].task, sizeof response.ends[i].task);
      if (response.ends[i].checkpoint != NULL)
        fuzz_decoded_text (response.ends[i].checkpoint);
    }
  fuzz_decoded (response.runs, response.n_runs * sizeof *response.runs);
  for (size_t i = 0; i < response.n_ends; i++)
    {
      MdHoldEnd numbers = response.ends[i];

      numbers.checkpoint = NULL;
      fuzz_decoded (&numbers, sizeof numbers);
    }
  md_hold_response_clear (&response);
}

static void
on_allowed (void *user MD_UNUSED, MdStr worker, MdStr permit)
{
  FUZZ_CHECK (permit.len > 0);
  fuzz_decoded (worker.data, worker.len);
  fuzz_decoded (permit.data, permit.len);
}

void
fuzz_advice (MdStr input)
{
  MdTime valid_for = 0;
  MdError error = { 0 };
  int rc = md_platform_parse_advise_response (input, on_allowed, NULL, &valid_for, &error);

  check_result (rc, &error);
  FUZZ_CHECK (is_duration (valid_for));
}

static void
on_record (void *user MD_UNUSED, const MdKeyedRecord *record)
{
  FUZZ_CHECK (record->key.len > 0);
  fuzz_decoded (record->key.data, record->key.len);
  fuzz_decoded (record->value.data, record->value.len);
}

void
fuzz_store_newest (MdStr input)
{
  MdError error = { 0 };
  uint64_t next = 0;
  bool more = false;

  check_result (md_platform_parse_newest_response (input, on_record, NULL, &next, &more, &error),
                &error);
}

void
fuzz_store_read (MdStr input)
{
  MdError error = { 0 };
  uint64_t next = 0;
  uint64_t end = 0;

  check_result (md_platform_parse_read_response (input, 17, on_record, NULL, &next, &end, &error),
                &error);
}

void
fuzz_store_entry (MdStr input)
{
  char address[MD_ADDRESS_BYTES] = "";
  char again[MD_ADDRESS_BYTES] = "";
  MdError error = { 0 };
  MD_AUTO_BUF text = { 0 };
  int rc = md_platform_parse_entry (input, address, &error);

  check_result (rc, &error);
  if (rc != MD_OK)
    return;
  FUZZ_CHECK (address[0] != '\0');
  fuzz_decoded_text (address);
  md_platform_write_entry (&text, md_str (address));
  if (!text.failed && md_platform_parse_entry (md_buf_str (&text), again, &error) == MD_OK)
    FUZZ_CHECK (strcmp (address, again) == 0);
}

void
fuzz_routes (MdStr input)
{
  MdError error = { 0 };
  MdRoutes *routes = md_platform_parse_config (input, &error);

  FUZZ_CHECK ((routes == NULL) == (error.code != MD_OK));
  fuzz_result (error.code);
  for (size_t i = 0; routes != NULL && i < routes->n; i++)
    {
      const MdRoute *route = routes->routes[i];
      const MdRoute *found = md_routes_find (routes, route->host, route->prefix);

      fuzz_decoded (route->name.data, route->name.len);
      fuzz_decoded (route->label.data, route->label.len);
      fuzz_decoded (route->pool.data, route->pool.len);
      FUZZ_CHECK (found == NULL || md_str_equal (found->prefix, route->prefix));
      FUZZ_CHECK (isfinite (route->slack_factor) && is_duration (route->target_latency));
      FUZZ_CHECK (is_duration (route->advisor.call_time)
                  && is_duration (route->advisor.time_per_worker)
                  && is_duration (route->advisor.permit_validity));
    }
  md_routes_free (routes);
}
