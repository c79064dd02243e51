#include "blame.h"

#include <string.h>

/* A task with this many crashes runs apart, although another run may always
   have been the more likely cause.  */
#define APART_AFTER_CRASHES 2u
/* A culprit that was suspected this often is given up.  */
#define MAX_SUSPECTED 2u
/* Losses this far apart may have a common cause: within a rack, whose workers
   lose power together but are found out one after the other, and anywhere.  */
#define COMMON_RACK_MS 300
#define COMMON_ANYWHERE_MS 50
/* Other workers that have to be lost: of losses whose time is known that well,
   and least number of others.  */
#define COMMON_PRECISE 2u
#define COMMON_IMPRECISE 3u

int64_t
blame_isolation_ms (const blame_history_t *history)
{
  if (history->crashes >= APART_AFTER_CRASHES)
    return BLAME_LONG_SETTLE_MS;
  return history->suspected > 0 ? BLAME_SETTLE_MS : 0;
}

/* Whether RUN had run well for so long that its start did no harm.  Only tasks
   without an end are cleared by that: others would never reach a limit.  */
static bool
is_cleared (const blame_run_t *run)
{
  return run->lasting && run->age_ms >= BLAME_LONG_SETTLE_MS;
}

static int64_t
age_of (const blame_run_t *run)
{
  return run->age_ms < 0 ? 0 : run->age_ms;
}

static bool
is_apart (const blame_run_t *run)
{
  return run->age_ms >= 0 && run->age_ms < blame_isolation_ms (&run->history);
}

/* Whether RUN may be to blame.  A run that was still apart goes before all
   others, then the youngest ones.  */
static bool
is_suspect (const blame_run_t *run, bool any_apart, int64_t youngest_ms)
{
  if (is_cleared (run))
    return false;
  return any_apart ? is_apart (run)
                   : age_of (run) <= youngest_ms + BLAME_SETTLE_MS;
}

void
blame_judge (const blame_run_t *runs, uint32_t count, bool common_cause,
             blame_verdict_t *verdicts)
{
  bool any_apart = false;
  bool one_job = true;
  bool certain = true;
  int64_t youngest_ms = INT64_MAX - BLAME_SETTLE_MS;
  const char *job = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (is_cleared (&runs[i]))
        continue;
      any_apart = any_apart || is_apart (&runs[i]);
      if (age_of (&runs[i]) < youngest_ms)
        youngest_ms = age_of (&runs[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (!is_suspect (&runs[i], any_apart, youngest_ms))
        continue;
      certain = certain && !runs[i].may_have_ended;
      one_job = one_job && (job == NULL || strcmp (job, runs[i].job) == 0);
      job = runs[i].job;
    }
  for (uint32_t i = 0; i < count; i++)
    if (is_cleared (&runs[i]))
      verdicts[i] = BLAME_NONE;
    else if (common_cause)
      verdicts[i] = BLAME_UNRELATED;
    else if (!is_suspect (&runs[i], any_apart, youngest_ms))
      verdicts[i] = BLAME_BYSTANDER;
    else
      verdicts[i]
          = any_apart && one_job && certain ? BLAME_CULPRIT : BLAME_SUSPECT;
}

blame_verdict_t
blame_judge_silent (const blame_run_t *run)
{
  return is_cleared (run) ? BLAME_NONE : BLAME_UNRELATED;
}

bool
blame_losses_exhausted (const blame_history_t *history)
{
  return history->losses >= BLAME_MAX_LOSSES;
}

bool
blame_add (blame_history_t *history, blame_verdict_t verdict)
{
  if (verdict == BLAME_NONE)
    {
      *history = (blame_history_t){ 0 };
      return false;
    }
  history->losses++;
  history->crashes += verdict >= BLAME_BYSTANDER;
  history->suspected += verdict >= BLAME_SUSPECT;
  return blame_losses_exhausted (history)
         || (verdict == BLAME_CULPRIT && history->suspected >= MAX_SUSPECTED);
}

/* Shortest time that may lie between two losses.  */
static int64_t
gap_ms (const blame_loss_t *left, const blame_loss_t *right)
{
  if (left->to_ms < right->from_ms)
    return right->from_ms - left->to_ms;
  return right->to_ms < left->from_ms ? left->from_ms - right->to_ms : 0;
}

/* Whether LOSSES[AT] is of a worker that was lost about when ONE was, not of
   one that an earlier entry names.  */
static bool
lost_with (const blame_loss_t *losses, uint32_t at, const blame_loss_t *one,
           int64_t within_ms)
{
  const blame_loss_t *other = &losses[at];
  if (other->worker == one->worker || (other->job == one->job && one->job != 0)
      || gap_ms (other, one) > within_ms)
    return false;
  for (uint32_t i = 0; i < at; i++)
    if (losses[i].worker == other->worker
        && gap_ms (&losses[i], one) <= within_ms)
      return false;
  return true;
}

static bool
is_precise (const blame_loss_t *loss)
{
  return loss->to_ms - loss->from_ms <= COMMON_ANYWHERE_MS;
}

/* Whether the rack of ONE was lost: some of it with ONE, and none is left.  */
static bool
rack_was_lost (const blame_loss_t *losses, uint32_t count,
               const blame_loss_t *one, const blame_others_t *others)
{
  uint32_t lost = 0;
  for (uint32_t i = 0; i < count; i++)
    lost += losses[i].rack == one->rack
            && lost_with (losses, i, one, COMMON_RACK_MS);
  for (uint32_t i = 0; lost > 0 && i < others->rack_count; i++)
    {
      uint32_t at = 0;
      while (at < count
             && (losses[at].worker != others->rack[i]
                 || gap_ms (&losses[at], one) > COMMON_RACK_MS))
        at++;
      if (at == count)
        return false;
    }
  return lost > 0;
}

bool
blame_common_cause (const blame_loss_t *losses, uint32_t count,
                    const blame_loss_t *one, const blame_others_t *others)
{
  uint32_t anywhere = 0;
  uint32_t enough = COMMON_PRECISE;
  if (!is_precise (one))
    enough = others->all_count / 4 > COMMON_IMPRECISE ? others->all_count / 4
                                                      : COMMON_IMPRECISE;
  for (uint32_t i = 0; i < count; i++)
    anywhere += (!is_precise (one) || is_precise (&losses[i]))
                && lost_with (losses, i, one, COMMON_ANYWHERE_MS);
  return anywhere >= enough || rack_was_lost (losses, count, one, others);
}
