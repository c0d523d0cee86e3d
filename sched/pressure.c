/* pressure.c -- how short the capacity of a pool is

   Load pattern: capacity is short for seconds, in some pools and not in others, and an entry sees
   only a part of the workers at present. A guard knows the core time of the runs that wait for its
   worker, whoever ordered them. An entry takes the mean of what guards report. A guard that goes
   silent, and reports that an entry reads late, say less and less about the present. */

#include "priority.h"

#include <string.h>

#define MAX_REPORT_AGE (600 * MD_MS) /* of a report in the mean */
#define MAX_AGE MD_SECOND            /* of the mean */
#define UPDATE_INTERVAL (10 * MD_MS)
#define DEFAULT_WORK (200.0 * MD_MS) /* of a run without an estimate, as in runqueue.c */
/* The offset may rise by this share of the time, so that a shift of a guard's clock by a pause of
   600 ms is forgotten after 30 s. Links of longer pauses break. */
#define OFFSET_RISE_DIVISOR 50

uint32_t
md_pressure_of_queue (const MdRunQueue *queue, MdTime now)
{
  double frees = (double)queue->capacity.cpu * (double)md_admit_wait_bound (1);
  double waits = 0;
  double speed;

  if (queue->waiting.n == 0)
    return 0;
  if (frees <= 0)
    return MD_FULL_PRESSURE;
  speed = md_runqueue_speed (queue, now);
  for (const MdRun *run = queue->waiting.first; run != NULL; run = run->next)
    waits += (run->alone ? queue->capacity.cpu : run->resources.cpu)
             * (run->work > 0 ? run->work : DEFAULT_WORK) / speed;
  return waits < frees ? (uint32_t)(MD_FULL_PRESSURE * waits / frees) : MD_FULL_PRESSURE;
}

MdTime
md_stamp_age (MdStampClock *clock, MdTime stamp, MdTime now)
{
  MdTime delay = now - stamp;

  if (clock->checked_at == 0)
    clock->offset = delay;
  else
    clock->offset += (now - clock->checked_at) / OFFSET_RISE_DIVISOR;
  clock->checked_at = now;
  if (clock->offset > delay)
    clock->offset = delay;
  return delay - clock->offset;
}

void
md_pressure_update (MdPressure *pressure, const MdWorkers *workers, MdTime now)
{
  uint64_t sum = 0;
  uint32_t n = 0;
  MdTime newest = 0;

  if (pressure->computed_at > 0 && now < pressure->computed_at + UPDATE_INTERVAL)
    return;
  pressure->computed_at = now;
  for (uint32_t i = 0; i < workers->n; i++)
    {
      const MdWorker *worker = workers->workers[i];

      if (!worker->connected || worker->sparse || worker->state != MD_WORKER_READY
          || worker->pressure_at == 0 || now - worker->pressure_at > MAX_REPORT_AGE
          || !md_str_equal (md_traits_pool (worker->traits), pressure->pool))
        continue;
      sum += worker->pressure;
      n++;
      newest = worker->pressure_at > newest ? worker->pressure_at : newest;
    }
  if (n == 0)
    return;
  pressure->permille = (uint32_t)(sum / n);
  pressure->known_at = newest;
}

double
md_pressure_now (const MdPressure *pressure, MdTime now)
{
  MdTime age = now - pressure->known_at;

  if (pressure->known_at == 0 || age >= MAX_AGE)
    return 0;
  return (double)pressure->permille / MD_FULL_PRESSURE
         * (1 - (double)(age > 0 ? age : 0) / (double)MAX_AGE);
}
