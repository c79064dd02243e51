#include "tenure.h"

#include <glib.h>

/* Versions without promises renew leases for 10 s after they learnt that a
   commit was confirmed, at most 1 s after its sending, and each for as long as
   workers accept, on clocks that are up to 2% slow.  */
#define FORMER_RENEWALS_MS 11000
#define FORMER_CLOCK_SPEED 0.98

/* When ROW was written, at the latest.  No later commit was stored, since the
   claim replaced just this row.  */
static int64_t
written_by_ms (const tenure_row_t *row, const tenure_view_t *view)
{
  return view->heard_ms == 0
             ? view->now_ms
             : MIN (view->now_ms, view->heard_ms + row->since_beat_ms);
}

int64_t
tenure_unreached_end_ms (const tenure_row_t *row, const tenure_view_t *view)
{
  return row->known ? written_by_ms (row, view) + row->unreached_ms
                    : tenure_leases_end_ms (row, view);
}

int64_t
tenure_leases_end_ms (const tenure_row_t *row, const tenure_view_t *view)
{
  if (!row->known)
    {
      int64_t lease_ms
          = (int64_t)((double)view->max_lease_ms / FORMER_CLOCK_SPEED)
            + TENURE_MARGIN_MS;
      return view->now_ms + lease_ms
             + (view->restarted || row->released ? 0 : FORMER_RENEWALS_MS);
    }
  int64_t own_end_ms
      = row->bound_ms == 0
            ? 0
            : written_by_ms (row, view) + row->bound_ms + TENURE_MARGIN_MS;
  if (view->restarted)
    own_end_ms
        = MIN (own_end_ms, view->now_ms + row->lease_ms + TENURE_MARGIN_MS);
  return MAX (own_end_ms, written_by_ms (row, view) + row->inherited_ms);
}
