#include "cell_internal.h"

/* NAME
     cell_lease - leases that workers are given, and when they have ended

   A lease ends at a time of the worker's clock, so an order that is carried
   out late does not extend it, except in a new life of the worker.  The owner
   bounds the end of each lease in its own time, on the slowest clock that a
   worker may have.  The bound depends on when the ownership was last
   confirmed, so that the next owner knows it too (tenure.h).  */

/* A lease that would end sooner is not given.  */
#define SHORTEST_LEASE_MS 500
/* An order that was sent before a worker's restart may be carried out after
   it until then; its lease is then as long as the worker accepts.  */
#define LATE_ORDER_MS 10000
/* An ownership that was confirmed this recently is in no doubt: commits are
   200 ms apart.  */
#define UNCONFIRMED_AFTER_MS 1000
/* Shortened leases of an owner in doubt: if it finds itself replaced, the next
   owner waits only for these.  Four polls.  */
#define UNCONFIRMED_LEASE_MS 4500

static int64_t
on_slowest_clock_ms (int64_t lease_ms)
{
  return (int64_t)((double)lease_ms / (1.0 - CLOCK_MAX_SLOW_SHARE));
}

/* When a lease given to WORKER now ends, in the owner's time; 0: none may be
   given.  */
static int64_t
next_lease_end_ms (const cell_t *cell, const cell_worker_t *worker)
{
  int64_t confirmed_ms = cell->ownership_confirmed_ms;
  int64_t lease_ms = MIN (TENURE_LEASE_MS,
                          on_slowest_clock_ms (cell->options.max_lease_ms));
  /* Until the confirmed commit was sent, other nodes could read that this
     owner had not reached WORKER yet.  */
  if (cell->leases_stopped || worker->sampled_ms == 0 || confirmed_ms == 0
      || confirmed_ms <= worker->reached_ms)
    return 0;
  if (cell->now_ms - confirmed_ms > UNCONFIRMED_AFTER_MS)
    lease_ms = MIN (lease_ms, UNCONFIRMED_LEASE_MS);
  int64_t end_ms
      = MIN (cell->now_ms + lease_ms, confirmed_ms + TENURE_BOUND_MS);
  return end_ms < cell->now_ms + SHORTEST_LEASE_MS ? 0 : end_ms;
}

bool
cell_may_give_lease (const cell_t *cell, const cell_worker_t *worker)
{
  return next_lease_end_ms (cell, worker) > 0;
}

int64_t
cell_give_lease (cell_t *cell, cell_worker_t *worker)
{
  int64_t end_ms = next_lease_end_ms (cell, worker);
  if (end_ms == 0)
    return 0;
  worker->lease_end_ms = MAX (worker->lease_end_ms, end_ms);
  cell->last_lease_end_ms = MAX (cell->last_lease_end_ms, end_ms);
  return worker->sampled_clock_ms
         + (int64_t)((double)(end_ms - worker->sampled_ms)
                     * (1.0 - CLOCK_MAX_SLOW_SHARE));
}

/* By when every lease of WORKER given by earlier owners has ended.  */
static int64_t
inherited_end_ms (const cell_t *cell, const cell_worker_t *worker)
{
  return worker->unreached_before
             ? MIN (cell->unreached_end_ms, cell->inherited_end_ms)
             : cell->inherited_end_ms;
}

void
cell_worker_reached (cell_t *cell, cell_worker_t *worker)
{
  /* An order sent before the restart of the worker may have extended the lease
     just now; without a restart only an earlier owner's may have.  */
  int64_t end_ms
      = cell->now_ms + on_slowest_clock_ms (cell->options.max_lease_ms);
  if (worker->late_renewal_until_ms == 0)
    end_ms = MIN (end_ms, inherited_end_ms (cell, worker));
  worker->lease_end_ms = MAX (worker->lease_end_ms, end_ms);
  worker->reached_ms = cell->now_ms;
}

void
cell_expect_late_orders (cell_t *cell, cell_worker_t *worker)
{
  worker->late_renewal_until_ms = cell->now_ms + LATE_ORDER_MS;
}

/* Returns the time by which every lease that WORKER may have been given has
   ended, and sets *CAUSE to what that time is due to.  */
static int64_t
leases_end_ms (const cell_t *cell, const cell_worker_t *worker,
               const char **cause)
{
  int64_t end_ms;
  if (worker->has_fencing_token)
    {
      *cause = "lease";
      end_ms = worker->lease_end_ms + TENURE_MARGIN_MS;
    }
  else if (worker->late_renewal_until_ms > 0)
    {
      *cause = "late_order";
      end_ms = MAX (inherited_end_ms (cell, worker),
                    worker->late_renewal_until_ms
                        + on_slowest_clock_ms (cell->options.max_lease_ms)
                        + TENURE_MARGIN_MS);
    }
  else
    {
      *cause = "former_owner";
      end_ms = inherited_end_ms (cell, worker);
    }
  return end_ms;
}

/* Time since AT_MS; -1 if that is 0, which means never.  */
static int64_t
elapsed_ms (const cell_t *cell, int64_t at_ms)
{
  return at_ms == 0 ? -1 : cell->now_ms - at_ms;
}

bool
cell_leases_have_ended (cell_t *cell, cell_worker_t *worker)
{
  const char *cause;
  int64_t end_ms = leases_end_ms (cell, worker, &cause);
  if (cell->now_ms > end_ms)
    {
      cell_log (cell, "lease_expired", worker->id,
                "tasks=%u cause=%s answered_ago_ms=%lld silent_ms=%lld",
                worker->tasks->len, cause,
                (long long)elapsed_ms (cell, worker->sampled_ms),
                (long long)elapsed_ms (cell, worker->silent_ms));
      return true;
    }
  if (worker->awaited_until_ms != end_ms)
    {
      worker->awaited_until_ms = end_ms;
      cell_log (cell, "runs_await_lease", worker->id,
                "tasks=%u cause=%s left_ms=%lld", worker->tasks->len, cause,
                (long long)(end_ms - cell->now_ms));
    }
  return false;
}

bool
cell_renewal_is_urgent (const cell_t *cell, const cell_worker_t *worker)
{
  return cell->ownership_confirmed_ms <= worker->reached_ms
         || cell->now_ms - cell->ownership_confirmed_ms
                > TENURE_BOUND_MS - TENURE_URGENT_MS;
}

void
cell_stop_leases (cell_t *cell)
{
  cell->leases_stopped = true;
}

void
cell_inherit (cell_t *cell, int64_t leases_end_ms)
{
  cell->inherited_end_ms = MIN (cell->inherited_end_ms, leases_end_ms);
}

int64_t
cell_last_lease_end_ms (const cell_t *cell)
{
  return cell->last_lease_end_ms == 0
             ? 0
             : cell->last_lease_end_ms + TENURE_MARGIN_MS;
}

int64_t
cell_leases_end_ms (const cell_t *cell)
{
  return MAX (cell_last_lease_end_ms (cell), cell->inherited_end_ms);
}

int64_t
cell_each_unreached (const cell_t *cell,
                     void (*each) (void *context, const char *worker),
                     void *context)
{
  int64_t end_ms = 0;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const cell_worker_t *worker = cell->worker_list->pdata[i];
      if (worker->reached_ms != 0 || worker->tasks->len == 0)
        continue;
      end_ms = MAX (end_ms, inherited_end_ms (cell, worker));
      each (context, worker->id);
    }
  return end_ms;
}
