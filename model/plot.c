/* plot.c -- results of simulations as an SVG picture */

#include "model.h"

#define WIDTH 960   /* of the picture */
#define HEIGHT 320  /* the same */
#define MARGIN 40   /* for scales and names */
#define KEY_GAP 150 /* between two names of the key */

static const char *const colours[MD_MODEL_POLICIES]
    = { "#1f77b4", "#2ca02c", "#d62728", "#7f7f7f" };

static double
x_of (const MdModelResult *result, uint32_t second)
{
  double last = result->seconds > 1 ? result->seconds - 1 : 1;

  return MARGIN + second / last * (WIDTH - 2 * MARGIN);
}

static double
y_of (double share)
{
  return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN);
}

static void
draw_line (MdBuf *out, const MdModelResult *result)
{
  md_buf_printf (out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colours[result->policy]);
  for (uint32_t i = 0; i < result->seconds; i++)
    if (result->owed_by_second[i] > 0)
      md_buf_printf (out, "%.1f,%.1f ", x_of (result, i),
                     y_of (result->worth_by_second[i] / result->owed_by_second[i]));
  md_buf_append (out, MD_STR ("\"/>\n"));
}

void
md_model_plot (MdBuf *out, const MdModelResult *results, uint32_t n)
{
  md_buf_printf (out,
                 "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                 "font-family=\"sans-serif\" font-size=\"12\">\n"
                 "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                 WIDTH, HEIGHT);
  for (int tenth = 0; tenth <= 10; tenth += 2)
    md_buf_printf (out,
                   "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#dddddd\"/>\n"
                   "<text x=\"4\" y=\"%.1f\">%.1f</text>\n",
                   MARGIN, WIDTH - MARGIN, y_of (tenth / 10.0), y_of (tenth / 10.0),
                   y_of (tenth / 10.0) + 4, tenth / 10.0);
  for (uint32_t i = 0; i < n; i++)
    {
      draw_line (out, &results[i]);
      md_buf_printf (out, "<text x=\"%u\" y=\"20\" fill=\"%s\">%s %.3f</text>\n",
                     MARGIN + i * KEY_GAP, colours[results[i].policy],
                     md_model_policy_name (results[i].policy), results[i].worth);
    }
  md_buf_printf (out,
                 "<text x=\"%d\" y=\"%d\">second of arrival (0 to %u), share of the worth "
                 "owed</text>\n</svg>\n",
                 MARGIN, HEIGHT - 10, n > 0 && results[0].seconds > 0 ? results[0].seconds - 1 : 0);
}
