#ifndef REPORT_SVG_PLOT_H_
#define REPORT_SVG_PLOT_H_

// Draws plots as SVG text, for pages and files that are shown without scripts.
//
// PlotSvg() draws lines over a grid with labelled ticks. StripSvg() draws spans
// along a single horizontal axis, such as time. Values outside the range of an
// axis are drawn at its edge. The text of titles and names is escaped.

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

// A line across the plot at the axis value `at`, with its label.
struct PlotTick {
  double at = 0;
  std::string label;
};

// The values at the two ends of an axis, and its grid lines.
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
  // Dashed horizontal lines, such as a rate that raises an alert. Levels above
  // the y axis are not drawn.
  std::vector<PlotTick> levels;
};

// A filled part of a strip, in values of its x axis.
struct StripSpan {
  double from = 0;
  double to = 0;
};

// A horizontal bar with filled spans.
struct Strip {
  int width = 640;  // pixels
  std::string color;
  PlotAxis x;
  std::vector<StripSpan> spans;
};

// Returns `plot` as one SVG element.
std::string PlotSvg(const Plot& plot);

// Returns `strip` as one SVG element.
std::string StripSvg(const Strip& strip);

}  // namespace goldcrest

#endif  // REPORT_SVG_PLOT_H_
