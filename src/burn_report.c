#include "burn_report.h"

#include <string.h>
#include <time.h>

static const char *const window_names[BURN_WINDOW_COUNT]
    = { "5m", "30m", "1h", "6h", "3d" };

static json_t *
objective_json (const burn_t *burn, const char *service,
                const doc_objective_t *objective, burn_kind_t kind,
                int64_t wall_ms)
{
  burn_status_t status;
  burn_status (burn, service, objective, kind, wall_ms, &status);
  json_t *rates = json_object ();
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    json_object_set_new (rates, window_names[i],
                         json_real (status.burn_rates[i]));
  double hourly_rates[BURN_REPORT_HOURS];
  burn_hourly_rates (burn, service, objective, kind, wall_ms, hourly_rates,
                     BURN_REPORT_HOURS);
  json_t *hours = json_array ();
  for (unsigned i = 0; i < BURN_REPORT_HOURS; i++)
    json_array_append_new (hours, hourly_rates[i] < 0
                                      ? json_null ()
                                      : json_real (hourly_rates[i]));
  return json_pack ("{s:s,s:s,s:f,s:I,s:I,s:f,s:s,s:o,s:o}", "service",
                    service, "kind", burn_kind_name (kind), "target",
                    status.target, "total", (json_int_t)status.total, "bad",
                    (json_int_t)status.bad, "budget_left", status.budget_left,
                    "level", burn_level_name (status.level), "rates", rates,
                    "hours", hours);
}

json_t *
burn_report_json (const burn_t *burn, doc_t *doc, int64_t wall_ms,
                  bool complete)
{
  json_t *list = json_array ();
  for (size_t i = 0; doc != NULL && i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      if (doc_section_type (section) != DOC_OBJECTIVE)
        continue;
      const char *service = doc_section_name (section);
      doc_objective_t objective;
      doc_objective (doc, service, &objective);
      for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
        json_array_append_new (list,
                               objective_json (burn, service, &objective,
                                               (burn_kind_t)kind, wall_ms));
    }
  return json_pack ("{s:I,s:b,s:o}", "as_of", (json_int_t)(wall_ms / 1000),
                    "complete", complete, "objectives", list);
}

static double
real_of (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text != NULL ? text : "";
}

static void
append_time (const json_t *report, GString *out)
{
  time_t as_of = json_integer_value (json_object_get (report, "as_of"));
  struct tm utc;
  char text[32];
  gmtime_r (&as_of, &utc);
  strftime (text, sizeof text, "%Y-%m-%d %H:%M UTC", &utc);
  g_string_append (out, text);
}

static void
text_row (const json_t *row, GString *out)
{
  g_string_append_printf (
      out, "%-20s %-12s %8.3f%% %10lld %8lld %6.1f%%",
      text_of (row, "service"), text_of (row, "kind"),
      100 * real_of (row, "target"),
      (long long)json_integer_value (json_object_get (row, "total")),
      (long long)json_integer_value (json_object_get (row, "bad")),
      100 * real_of (row, "budget_left"));
  const json_t *rates = json_object_get (row, "rates");
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    g_string_append_printf (out, " %6.1f", real_of (rates, window_names[i]));
  g_string_append_printf (out, "  %s\n", text_of (row, "level"));
}

/* Returns the character for an hour's burn rate; the thresholds are the rates
   of the alarm rules.  */
static char
plot_character (const json_t *rate)
{
  if (!json_is_number (rate))
    return ' ';
  double value = json_number_value (rate);
  return value <= 0                              ? '.'
         : value < burn_alarm_rules[2].burn_rate ? ':'
         : value < burn_alarm_rules[1].burn_rate ? '+'
         : value < burn_alarm_rules[0].burn_rate ? '#'
                                                 : '@';
}

void
burn_report_text (const json_t *report, GString *out)
{
  const json_t *list = json_object_get (report, "objectives");
  size_t index;
  json_t *row;
  g_string_append (out, "Error budgets as of ");
  append_time (report, out);
  g_string_append_c (out, '\n');
  if (!json_is_true (json_object_get (report, "complete")))
    g_string_append (out, "The table service does not answer: only the counts "
                          "of one entry are shown.\n");
  if (json_array_size (list) == 0)
    {
      g_string_append (out, "The document has no [objective NAME] section.\n");
      return;
    }
  g_string_append_printf (out, "\n%-20s %-12s %9s %10s %8s %7s", "service",
                          "objective", "target", "requests", "bad", "left");
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    g_string_append_printf (out, " %6s", window_names[i]);
  g_string_append (out, "  level\n");
  json_array_foreach (list, index, row) text_row (row, out);
  g_string_append_printf (
      out,
      "\nBurn rate of the last %d hours, one character an hour:\n"
      "' ' no requests  . 0  : <%g  + <%g  # <%g  @ above\n\n",
      BURN_REPORT_HOURS, burn_alarm_rules[2].burn_rate,
      burn_alarm_rules[1].burn_rate, burn_alarm_rules[0].burn_rate);
  json_array_foreach (list, index, row)
  {
    g_string_append_printf (out, "%-20s %-12s |", text_of (row, "service"),
                            text_of (row, "kind"));
    size_t hour;
    json_t *rate;
    json_array_foreach (json_object_get (row, "hours"), hour, rate)
        g_string_append_c (out, plot_character (rate));
    g_string_append (out, "|\n");
  }
}

#define BAR_WIDTH_PX 6
#define PLOT_HEIGHT_PX 48
/* The top of the plot, a little above the highest rate of an alarm rule.  */
#define PLOT_MAX_BURN_RATE 16.0

static void
html_plot (const json_t *row, GString *out)
{
  g_string_append_printf (
      out,
      "<svg width=\"%d\" height=\"%d\" role=\"img\"><title>burn rate of "
      "the last %d hours</title>",
      BAR_WIDTH_PX * BURN_REPORT_HOURS, PLOT_HEIGHT_PX, BURN_REPORT_HOURS);
  size_t hour;
  json_t *rate;
  json_array_foreach (json_object_get (row, "hours"), hour, rate)
  {
    double value = json_number_value (rate);
    int height = (int)(MIN (value, PLOT_MAX_BURN_RATE) * PLOT_HEIGHT_PX
                       / PLOT_MAX_BURN_RATE);
    const char *colour = value >= burn_alarm_rules[0].burn_rate   ? "#b00020"
                         : value >= burn_alarm_rules[1].burn_rate ? "#e07000"
                         : value >= burn_alarm_rules[2].burn_rate ? "#c0a000"
                                                                  : "#4a7";
    if (json_is_number (rate))
      g_string_append_printf (
          out,
          "<rect x=\"%zu\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\">"
          "<title>%zu h ago: %.2f</title></rect>",
          hour * BAR_WIDTH_PX, PLOT_HEIGHT_PX - MAX (height, 1),
          BAR_WIDTH_PX - 1, MAX (height, 1), colour,
          BURN_REPORT_HOURS - 1 - hour, value);
  }
  /* The line marks a burn rate of 1.  */
  int line_y = PLOT_HEIGHT_PX - (int)(PLOT_HEIGHT_PX / PLOT_MAX_BURN_RATE);
  g_string_append_printf (out,
                          "<line x1=\"0\" x2=\"%d\" y1=\"%d\" y2=\"%d\" "
                          "stroke=\"#888\" stroke-dasharray=\"4\"/></svg>",
                          BAR_WIDTH_PX * BURN_REPORT_HOURS, line_y, line_y);
}

static void
html_row (const json_t *row, GString *out)
{
  const char *level = text_of (row, "level");
  double left = 100 * real_of (row, "budget_left");
  char *service = g_markup_escape_text (text_of (row, "service"), -1);
  g_string_append_printf (
      out,
      "<tr class=\"%s\"><td>%s</td><td>%s</td><td>%.3f%%</td><td>%lld</td>"
      "<td>%lld</td><td><meter min=\"0\" max=\"100\" low=\"10\" high=\"50\" "
      "optimum=\"100\" value=\"%.1f\"></meter> %.1f%%</td>",
      level, service, text_of (row, "kind"), 100 * real_of (row, "target"),
      (long long)json_integer_value (json_object_get (row, "total")),
      (long long)json_integer_value (json_object_get (row, "bad")),
      MAX (left, 0), left);
  g_free (service);
  const json_t *rates = json_object_get (row, "rates");
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    g_string_append_printf (out, "<td>%.1f</td>",
                            real_of (rates, window_names[i]));
  g_string_append_printf (out, "<td><b>%s</b></td><td>", level);
  html_plot (row, out);
  g_string_append (out, "</td></tr>\n");
}

void
burn_report_html (const json_t *report, GString *out)
{
  g_string_append (
      out,
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Error budgets</title>\n<style>body{font:15px sans-serif;margin:"
      "2em}table{border-collapse:collapse}td,th{padding:.3em .7em;text-align:"
      "right;border-bottom:1px solid #ccc}td:first-child,th:first-child,"
      "td:nth-child(2){text-align:left}tr.page{background:#fde0e0}tr.ticket{"
      "background:#fdf3d0}</style></head>\n<body><h1>Error budgets</h1>\n"
      "<p>As of ");
  append_time (report, out);
  g_string_append (out, ".");
  if (!json_is_true (json_object_get (report, "complete")))
    g_string_append (out, " <b>The table service does not answer: only the "
                          "counts of one entry are shown.</b>");
  g_string_append (
      out, " Burn rate 1 uses the budget up in exactly its window; the dashed "
           "line marks it. <b>page</b>: look now. <b>ticket</b>: look in "
           "working hours.</p>\n<table><tr><th>service</th><th>objective</th>"
           "<th>target</th><th>requests</th><th>bad</th><th>budget left</th>");
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    g_string_append_printf (out, "<th>%s</th>", window_names[i]);
  g_string_append_printf (out, "<th>level</th><th>last %d hours</th></tr>\n",
                          BURN_REPORT_HOURS);
  size_t index;
  json_t *row;
  json_array_foreach (json_object_get (report, "objectives"), index, row)
      html_row (row, out);
  g_string_append (out, "</table></body></html>\n");
}
