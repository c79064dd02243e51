#include "freshness.h"

#include <glib.h>

void
freshness_init (freshness_t *freshness, int64_t limit_ms,
                int64_t heard_limit_ms)
{
  *freshness = (freshness_t){ .limit_ms = limit_ms,
                              .heard_limit_ms = heard_limit_ms };
}

void
freshness_replaced (freshness_t *freshness, uint64_t version)
{
  freshness->version = MAX (freshness->version, version);
}

void
freshness_confirmed (freshness_t *freshness, uint64_t version,
                     int64_t as_of_ms)
{
  if (version != freshness->version)
    return;
  freshness->confirmed_ms = MAX (freshness->confirmed_ms, as_of_ms);
  /* What was heard is wrong.  */
  if (freshness_is_behind (freshness) && as_of_ms > freshness->last_heard_ms)
    freshness->heard_version = version;
}

void
freshness_heard (freshness_t *freshness, uint64_t version, int64_t now_ms)
{
  if (version <= freshness->version)
    return;
  if (!freshness_is_behind (freshness))
    freshness->heard_ms = now_ms;
  freshness->heard_version = MAX (freshness->heard_version, version);
  freshness->last_heard_ms = now_ms;
}

int64_t
freshness_as_of_ms (int64_t sent_ms, int64_t wait_ms, int64_t now_ms,
                    bool changed)
{
  /* An answer without changes was given once the wait had ended, unless it is
     here before.  When in that time one with changes was given is not known.
   */
  return !changed && now_ms - sent_ms >= wait_ms ? sent_ms + wait_ms : sent_ms;
}

bool
freshness_is_behind (const freshness_t *freshness)
{
  return freshness->heard_version > freshness->version;
}

int64_t
freshness_age_ms (const freshness_t *freshness, int64_t now_ms)
{
  return freshness->version > 0 ? now_ms - freshness->confirmed_ms : INT64_MAX;
}

bool
freshness_is_current (const freshness_t *freshness, int64_t now_ms)
{
  if (freshness_is_behind (freshness)
      && now_ms - freshness->heard_ms > freshness->heard_limit_ms)
    return false;
  return freshness_age_ms (freshness, now_ms) <= freshness->limit_ms;
}
