#include "load_play.h"

#include "cell_site.h"

#include <stdlib.h>
#include <string.h>

#define MAX_ATTEMPTS 4
#define TICKET_MS 2000
#define RACK_WORKERS 12u
#define MAX_RACK_BYTES 24u

typedef struct
{
  cell_site_t *site;
  int64_t begun_ms; /* time of the site when the load begins */
  int64_t *ended_ms;
  load_play_stats_t stats;
} play_t;

/* Jobs are numbered from 1.  */
static void
format_id (char id[WORK_ID_LENGTH + 1], uint32_t job)
{
  g_snprintf (id, WORK_ID_LENGTH + 1, "%016x", job + 1);
}

static void
on_log (void *context, const char *event, const char *subject)
{
  play_t *play = context;
  play->stats.starving += strcmp (event, "size_starves") == 0;
  if (strcmp (event, "job_completed") == 0 || strcmp (event, "job_late") == 0)
    play->ended_ms[strtoull (subject, NULL, 16) - 1]
        = cell_site_now_ms (play->site) - play->begun_ms;
}

bool
load_play_allows (const load_t *load, uint32_t job, uint32_t worker)
{
  char id[WORK_ID_LENGTH + 1];
  char step[WORK_NAME_BYTES];
  const load_job_t *at = &g_array_index (load->jobs, load_job_t, job);
  format_id (id, job);
  work_step_name_format (step, id, 0, 0);
  return cell_site_allows (step, worker,
                           load_kind_of (load, at)->allowed_share);
}

static queue_table_t *
make_queues (const load_t *load, double shares[LOAD_MAX_KINDS])
{
  queue_table_t *table = queue_table_new (1);
  for (guint i = 0; i < load->kinds->len; i++)
    {
      const load_kind_t *kind = &g_array_index (load->kinds, load_kind_t, i);
      queue_t *queue = queue_new ();
      queue->name = g_strdup (kind->name);
      queue->service = g_strdup ("service");
      queue->priority = kind->priority;
      queue->max_attempts = MAX_ATTEMPTS;
      queue->stretch = kind->stretch;
      queue->target_ms = kind->target_ms;
      queue->advised = kind->advice_ms > 0.0;
      queue->advice_ms = kind->advice_ms;
      queue->advice_each_ms = kind->advice_each_ms;
      queue->ticket_validity_ms = TICKET_MS;
      shares[i] = kind->allowed_share;
      g_ptr_array_add (table->queues, queue);
    }
  return table;
}

static void
submit (const play_t *play, const load_t *load, uint32_t at)
{
  const load_job_t *job = &g_array_index (load->jobs, load_job_t, at);
  const load_kind_t *kind = load_kind_of (load, job);
  char id[WORK_ID_LENGTH + 1];
  format_id (id, at);
  work_job_t *work = work_job_new (id, kind->name, 1);
  work->spec = g_strdup_printf ("%lld", (long long)job->task_ms);
  work->steps[0].count = job->tasks;
  work->steps[0].need = job->need;
  work->steps[0].estimate_ms = job->estimate_ms;
  work->steps[0].gang = kind->gang;
  cell_site_submit (play->site, work);
}

/* After a pass.  */
static void
note_kept_room (play_t *play, const load_t *load)
{
  cell_load_t kept;
  cell_take_load (cell_site_cell (play->site), &kept);
  resource_t room = { load->capacity.cpu_millis * load->workers, 0,
                      load->capacity.accelerators * load->workers };
  resource_t use = { kept.kept_cpu_millis, 0, kept.kept_accelerators };
  play->stats.most_kept_share
      = MAX (play->stats.most_kept_share, resource_dominant_share (use, room));
}

load_play_stats_t
load_play (const load_t *load, const load_play_options_t *options,
           int64_t *ended_ms)
{
  static const char *const labels[] = { NULL };
  play_t play = { .ended_ms = ended_ms };
  const cell_site_options_t site_options = { .seed = options->seed,
                                             .callers = options->callers,
                                             .uneven = options->uneven,
                                             .logged = on_log,
                                             .context = &play };
  double shares[LOAD_MAX_KINDS];
  cell_site_stats_t stats;
  queue_table_t *queues = make_queues (load, shares);
  play.site = cell_site_new (&site_options, queues, shares);
  queue_table_free (queues);
  for (uint32_t i = 0; i < load->workers; i++)
    {
      char rack[MAX_RACK_BYTES];
      g_snprintf (rack, sizeof rack, "r%u", i / RACK_WORKERS);
      cell_site_add_worker (play.site, load->capacity, 1.0, rack, labels);
    }
  for (guint i = 0; i < load->jobs->len; i++)
    ended_ms[i] = 0;
  cell_site_begin (play.site);
  play.begun_ms = cell_site_now_ms (play.site);
  int64_t left_ms = options->finish_ms;
  for (uint32_t next = 0; next < load->jobs->len || left_ms > 0;)
    {
      int64_t at_ms = cell_site_now_ms (play.site) - play.begun_ms;
      for (; next < load->jobs->len
             && g_array_index (load->jobs, load_job_t, next).at_ms <= at_ms;
           next++)
        submit (&play, load, next);
      left_ms -= next == load->jobs->len;
      if (cell_site_advance (play.site) >= 0)
        note_kept_room (&play, load);
    }
  cell_site_stats (play.site, &stats);
  cell_site_free (play.site);
  play.stats.advice_calls = stats.advice_calls;
  return play.stats;
}
