#ifndef REPORT_SVG_PLOT_H_
#define REPORT_SVG_PLOT_H_

// Line plots as SVG text, for pages and files that need no script to be seen.
//
// PlotSvg() draws lines over a grid of labelled ticks; StripSvg() draws spans
// on one line of time. Values outside the axes are drawn at their edge. The
// text of titles and names is escaped.

#include <string>
#include <vector>

namespace goldcrest {

struct PlotPoint {
  double x = 0;
  double y = 0;
};

struct PlotLine {
  std::string name;
  std::string color;  // "#rrggbb"
  std::vector<PlotPoint> points;
};

// A grid line at `at`, with its label beside the axis.
struct PlotTick {
  double at = 0;
  std::string label;
};

// The values at the two ends of an axis, and its grid.
struct PlotAxis {
  double low = 0;
  double high = 1;
  std::vector<PlotTick> ticks;
};

struct Plot {
  int width = 640;   // pixels
  int height = 360;  // pixels
  std::string x_title;
  PlotAxis x;
  PlotAxis y;
  std::vector<PlotLine> lines;
  // Dashed lines across the plot, such as a rate that raises an alert.
  std::vector<PlotTick> levels;
};

// A part of a strip that is filled.
struct StripSpan {
  double from = 0;
  double to = 0;
};

struct Strip {
  int width = 640;  // pixels
  std::string color;
  PlotAxis x;
  std::vector<StripSpan> spans;
};

std::string PlotSvg(const Plot& plot);

std::string StripSvg(const Strip& strip);

}  // namespace goldcrest

#endif  // REPORT_SVG_PLOT_H_
