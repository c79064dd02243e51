#include "load.h"

#include "error.h"
#include "rank.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Spread of drawn widths and durations: standard deviation of their
   logarithms.  */
#define DRAW_SIGMA 0.55
/* Estimates differ from durations by up to this share.  */
#define ESTIMATE_ERROR 0.2
#define MAX_WORDS 16u

static void
kind_clear (void *data)
{
  g_free (((load_kind_t *)data)->name);
}

static void
pattern_clear (void *data)
{
  g_array_unref (((load_pattern_t *)data)->accelerators);
}

void
load_free (load_t *load)
{
  if (load == NULL)
    return;
  g_array_unref (load->kinds);
  g_array_unref (load->jobs);
  g_array_unref (load->patterns);
  g_free (load);
}

/* The words of a line that are left to be read.  */
typedef struct
{
  char **words;
  uint32_t at, count;
  bool bad;
} words_t;

static const char *
next_word (words_t *words)
{
  if (words->at < words->count)
    return words->words[words->at++];
  words->bad = true;
  return "";
}

static double
next_real (words_t *words, double min, double max)
{
  const char *word = next_word (words);
  char *end;
  double value = g_ascii_strtod (word, &end);
  if (end == word || *end != '\0' || !(value >= min && value <= max))
    {
      words->bad = true;
      return min;
    }
  return value;
}

static int64_t
next_integer (words_t *words, int64_t min, int64_t max)
{
  const char *word = next_word (words);
  char *end;
  int64_t value = g_ascii_strtoll (word, &end, 10);
  if (end == word || *end != '\0' || value < min || value > max)
    {
      words->bad = true;
      return min;
    }
  return value;
}

static resource_t
next_resource (words_t *words)
{
  resource_t resource = { 0 };
  resource.cpu_millis = next_integer (words, 0, WORK_MAX_SIZE);
  resource.memory_mib = next_integer (words, 0, WORK_MAX_SIZE);
  resource.accelerators = next_integer (words, 0, WORK_MAX_SIZE);
  return resource;
}

/* The index of the kind that is named next.  */
static uint32_t
next_kind (words_t *words, const load_t *load)
{
  const char *name = next_word (words);
  for (guint i = 0; i < load->kinds->len; i++)
    if (strcmp (g_array_index (load->kinds, load_kind_t, i).name, name) == 0)
      return i;
  words->bad = true;
  return 0;
}

static void
parse_workers (load_t *load, words_t *words)
{
  load->workers = (uint32_t)next_integer (words, 1, 10000);
  load->capacity = next_resource (words);
}

static void
parse_kind (load_t *load, words_t *words)
{
  load_kind_t kind = { .name = g_strdup (next_word (words)) };
  kind.priority = (uint32_t)next_integer (words, 0, 1000);
  kind.stretch = next_real (words, 0.0, 1000.0);
  kind.target_ms = next_integer (words, 0, 1000000);
  kind.advice_ms = next_real (words, 0.0, 100000.0);
  kind.advice_each_ms = next_real (words, 0.0, 100000.0);
  kind.allowed_share = next_real (words, 0.0, 1.0);
  kind.gang = next_integer (words, 0, 1) == 1;
  words->bad = words->bad || load->kinds->len >= LOAD_MAX_KINDS;
  g_array_append_val (load->kinds, kind);
}

static void
parse_job (load_t *load, words_t *words)
{
  load_job_t job = { .at_ms = next_integer (words, 0, 1000000000) };
  job.kind = next_kind (words, load);
  job.tasks = (uint32_t)next_integer (words, 1, WORK_MAX_STEP_TASKS);
  job.need = next_resource (words);
  job.task_ms = next_integer (words, 1, 1000000000);
  job.estimate_ms = next_integer (words, 1, 1000000000);
  if (load->jobs->len > 0
      && g_array_index (load->jobs, load_job_t, load->jobs->len - 1).at_ms
             > job.at_ms)
    words->bad = true;
  words->bad = words->bad || load->jobs->len >= LOAD_MAX_JOBS;
  g_array_append_val (load->jobs, job);
}

/* Returns the numbers of a list with commas: int64_t (g_array_unref).  */
static GArray *
next_list (words_t *words)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (int64_t));
  char **list = g_strsplit (next_word (words), ",", 0);
  words_t items = { list, 0, g_strv_length (list), false };
  do
    {
      int64_t number = next_integer (&items, 0, 1000000);
      g_array_append_val (numbers, number);
    }
  while (items.at < items.count);
  words->bad = words->bad || items.bad;
  g_strfreev (list);
  return numbers;
}

static void
parse_pattern (load_t *load, words_t *words)
{
  guint at = load->patterns->len;
  g_array_set_size (load->patterns, at + 1);
  load_pattern_t *pattern
      = &g_array_index (load->patterns, load_pattern_t, at);
  pattern->kind = next_kind (words, load);
  pattern->per_s = next_real (words, 0.0, 10000.0);
  pattern->tasks = next_real (words, 1.0, WORK_MAX_STEP_TASKS);
  pattern->tasks_max = (uint32_t)next_integer (words, 1, WORK_MAX_STEP_TASKS);
  pattern->cpu_millis = next_integer (words, 0, WORK_MAX_SIZE);
  pattern->memory_mib = next_integer (words, 0, WORK_MAX_SIZE);
  pattern->accelerators = next_list (words);
  pattern->task_ms = next_real (words, 1.0, 1e9);
  pattern->task_ms_max = next_integer (words, 1, 1000000000);
}

static const struct
{
  const char *name;
  void (*parse) (load_t *load, words_t *words);
} entries[] = {
  { "workers", parse_workers },
  { "kind", parse_kind },
  { "job", parse_job },
  { "pattern", parse_pattern },
};

/* Returns whether LINE could be read.  */
static bool
parse_line (load_t *load, char *line)
{
  char *comment = strchr (line, '#');
  char *words[MAX_WORDS];
  words_t rest = { words, 0, 0, false };
  bool known = false;
  if (comment != NULL)
    *comment = '\0';
  char *save = NULL;
  for (char *word = strtok_r (line, " \t\r", &save); word != NULL;
       word = strtok_r (NULL, " \t\r", &save))
    {
      if (rest.count >= MAX_WORDS)
        return false;
      words[rest.count++] = word;
    }
  if (rest.count == 0)
    return true;
  const char *name = next_word (&rest);
  for (size_t i = 0; i < G_N_ELEMENTS (entries) && !known; i++)
    {
      known = strcmp (entries[i].name, name) == 0;
      if (known)
        entries[i].parse (load, &rest);
    }
  return known && !rest.bad && rest.at == rest.count;
}

load_t *
load_parse (const char *text, GError **error)
{
  load_t *load = g_new0 (load_t, 1);
  load->kinds = g_array_new (FALSE, FALSE, sizeof (load_kind_t));
  load->jobs = g_array_new (FALSE, FALSE, sizeof (load_job_t));
  load->patterns = g_array_new (FALSE, FALSE, sizeof (load_pattern_t));
  g_array_set_clear_func (load->kinds, kind_clear);
  g_array_set_clear_func (load->patterns, pattern_clear);
  char **lines = g_strsplit (text, "\n", 0);
  bool ok = true;
  for (uint32_t i = 0; ok && lines[i] != NULL; i++)
    {
      ok = parse_line (load, lines[i]);
      if (!ok)
        g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                     "line %u of the load: expected workers, kind, job or "
                     "pattern with its fields",
                     i + 1);
    }
  if (ok && load->workers == 0)
    {
      ok = false;
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "the load has no line \"workers\"");
    }
  g_strfreev (lines);
  if (ok)
    return load;
  load_free (load);
  return NULL;
}

/* Normally distributed, mean 0, standard deviation 1.  */
static double
draw_normal (GRand *random)
{
  double radius = sqrt (-2.0 * log (1.0 - g_rand_double (random)));
  return radius * cos (2.0 * G_PI * g_rand_double (random));
}

/* Around MEAN, with a long tail.  */
static double
draw_around (GRand *random, double mean)
{
  return mean
         * exp (DRAW_SIGMA * draw_normal (random)
                - DRAW_SIGMA * DRAW_SIGMA / 2.0);
}

static load_job_t
draw_job (const load_pattern_t *pattern, GRand *random, int64_t at_ms)
{
  double tasks = round (draw_around (random, pattern->tasks));
  double task_ms = draw_around (random, pattern->task_ms);
  gint32 choice
      = g_rand_int_range (random, 0, (gint32)pattern->accelerators->len);
  double error = g_rand_double_range (random, -ESTIMATE_ERROR, ESTIMATE_ERROR);
  load_job_t job = { .at_ms = at_ms, .kind = pattern->kind };
  job.tasks = (uint32_t)CLAMP (tasks, 1.0, (double)pattern->tasks_max);
  job.need.cpu_millis = pattern->cpu_millis;
  job.need.memory_mib = pattern->memory_mib;
  job.need.accelerators
      = g_array_index (pattern->accelerators, int64_t, choice);
  job.task_ms = (int64_t)CLAMP (task_ms, 1.0, (double)pattern->task_ms_max);
  job.estimate_ms = MAX ((int64_t)((double)job.task_ms * (1.0 + error)), 1);
  return job;
}

static gint
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const load_job_t *left = a;
  const load_job_t *right = b;
  if (left->at_ms != right->at_ms)
    return left->at_ms < right->at_ms ? -1 : 1;
  return left->kind < right->kind ? -1 : left->kind > right->kind;
}

void
load_draw (load_t *load, uint32_t seed, int64_t for_ms, double rate)
{
  GRand *random = g_rand_new_with_seed (seed);
  for (guint i = 0; i < load->patterns->len; i++)
    {
      const load_pattern_t *pattern
          = &g_array_index (load->patterns, load_pattern_t, i);
      double at_ms = 0.0;
      double per_s = pattern->per_s * rate;
      while (per_s > 0.0 && load->jobs->len < LOAD_MAX_JOBS)
        {
          at_ms -= log (1.0 - g_rand_double (random)) * MS_PER_S / per_s;
          if (at_ms >= (double)for_ms)
            break;
          load_job_t job = draw_job (pattern, random, (int64_t)at_ms);
          g_array_append_val (load->jobs, job);
        }
    }
  g_array_sort (load->jobs, compare_arrivals);
  g_rand_free (random);
}

const load_kind_t *
load_kind_of (const load_t *load, const load_job_t *job)
{
  return &g_array_index (load->kinds, load_kind_t, job->kind);
}

int64_t
load_objective_ms (const load_t *load, const load_job_t *job)
{
  const load_kind_t *kind = load_kind_of (load, job);
  double advice_ms
      = kind->advice_ms + kind->advice_each_ms * RANK_ADVICE_WORKERS;
  return rank_objective_ms (kind->stretch, job->task_ms + (int64_t)advice_ms,
                            kind->target_ms);
}

double
load_core_seconds (const load_job_t *job)
{
  return resource_cores (job->need) * job->tasks * (double)job->task_ms
         / MS_PER_S;
}

typedef struct
{
  uint32_t job, priority;
  double core_seconds;
} sized_t;

static gint
compare_sized (gconstpointer a, gconstpointer b)
{
  const sized_t *left = a;
  const sized_t *right = b;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->core_seconds != right->core_seconds)
    return left->core_seconds > right->core_seconds ? -1 : 1;
  return left->job < right->job ? -1 : 1;
}

GArray *
load_by_work (const load_t *load)
{
  GArray *sorted = g_array_new (FALSE, FALSE, sizeof (sized_t));
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, i);
      sized_t sized
          = { i, load_kind_of (load, job)->priority, load_core_seconds (job) };
      g_array_append_val (sorted, sized);
    }
  g_array_sort (sorted, compare_sized);
  for (guint i = 0; i < sorted->len; i++)
    g_array_append_val (indexes, g_array_index (sorted, sized_t, i).job);
  g_array_unref (sorted);
  return indexes;
}

void
load_sizes (const load_t *load, load_size_t *sizes)
{
  GArray *sorted = load_by_work (load);
  uint32_t counts[LOAD_MAX_KINDS] = { 0 };
  uint32_t seen[LOAD_MAX_KINDS] = { 0 };
  for (guint i = 0; i < load->jobs->len; i++)
    counts[g_array_index (load->jobs, load_job_t, i).kind]++;
  for (guint i = 0; i < sorted->len; i++)
    {
      uint32_t job = g_array_index (sorted, uint32_t, i);
      uint32_t kind = g_array_index (load->jobs, load_job_t, job).kind;
      uint32_t at = seen[kind]++;
      sizes[job] = LOAD_OTHERS;
      if (at < counts[kind] / 10)
        sizes[job] = LOAD_LARGEST_TENTH;
      else if (at < counts[kind] / 10 + counts[kind] / 5)
        sizes[job] = LOAD_NEXT_FIFTH;
    }
  g_array_unref (sorted);
}

void
load_results (const load_t *load, const int64_t *ended_ms,
              load_result_t results[][LOAD_SIZES])
{
  load_size_t *sizes = g_new0 (load_size_t, load->jobs->len + 1);
  load_sizes (load, sizes);
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, i);
      load_result_t *result = &results[job->kind][sizes[i]];
      int64_t objective_ms = load_objective_ms (load, job);
      int64_t took_ms = ended_ms[i] - job->at_ms;
      result->jobs++;
      if (ended_ms[i] == 0)
        continue;
      result->in_time += took_ms <= objective_ms;
      result->late += took_ms > objective_ms
                      && took_ms <= RANK_LATE_MAX_OBJECTIVES * objective_ms;
    }
  g_free (sizes);
}
