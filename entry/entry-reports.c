/* entry-reports.c -- late and lost requests of each customer

   A report is an observed resource that only its customer and operators can read.
   Each customer has a ring of its own, so that one with many lost requests does
   not push out the reports of another. */

#include "entry-private.h"

#define REPORTS_KEPT 1000 /* per customer */

struct Reports
{
  struct Reports *next;         /* list */
  char customer[MD_NAME_BYTES]; /* whose */
  uint64_t count;               /* reports so far; the last one's number */
};

static struct Reports *
reports_of (MdEntry *entry, MdStr customer)
{
  struct Reports *r = entry->reports;

  while (r != NULL && !md_str_equal (md_str (r->customer), customer))
    r = r->next;
  if (r != NULL)
    return r;
  r = calloc (1, sizeof *r);
  if (r == NULL)
    return NULL;
  md_str_copy (r->customer, sizeof r->customer, customer);
  r->next = entry->reports;
  entry->reports = r;
  return r;
}

static void
write_name (const MdEntry *entry, const struct Reports *r, uint64_t number, MdBuf *out)
{
  md_buf_printf (out, "%s.%s.%010llu", r->customer, entry->settings.name,
                 (unsigned long long)number);
}

static void
drop_oldest (MdEntry *entry, const struct Reports *r)
{
  MD_AUTO_BUF name = { 0 };

  if (r->count <= REPORTS_KEPT)
    return;
  write_name (entry, r, r->count - REPORTS_KEPT, &name);
  md_observed_delete (entry->observed, "report", md_buf_str (&name));
}

void
md_reports_add (MdEntry *entry, const MdDispatchDecision *d)
{
  struct Reports *r = reports_of (entry, d->u.report.customer);
  const char *kind = d->u.report.lost ? "lost" : "late";
  const char *step = md_reason_name (d->u.report.reason);
  Peer *peer = md_peers_find (entry, d->u.report.guard);
  Job *job = d->cookie;
  MD_AUTO_BUF name = { 0 };
  MD_AUTO_BUF out = { 0 };
  char key[33];

  md_count (d->u.report.lost ? MD_M_LOST : MD_M_LATE, 1);
  if (r == NULL)
    return;
  r->count++;
  md_key_text (d->key, key);
  write_name (entry, r, r->count, &name);
  md_buf_printf (&out,
                 "{\"kind\":\"%s\",\"job\":\"%s\",\"id\":\"%s\",\"task\":%u,\"time_ms\":%lld,"
                 "\"step\":\"%s\",\"peer\":\"%s\",\"late_us\":%lld}",
                 kind, key, job && job->sub ? job->sub->id : "", d->u.report.task,
                 (long long)md_wall_ms (), step, peer ? peer->name : "",
                 (long long)d->u.report.lateness);
  md_observed_put (entry->observed, "report", md_buf_str (&name), md_str (r->customer),
                   md_buf_str (&out));
  drop_oldest (entry, r);
  md_log (MD_LOG_WARN, "report", "kind=%s job=%s customer=%s task=%u step=%s peer=%s", kind, key,
          r->customer, d->u.report.task, step, peer ? peer->name : "");
}
