#include "report/svg_plot.h"

#include <algorithm>
#include <sstream>

#include "edge/html.h"

namespace goldcrest {
namespace {

// Sizes in pixels.
constexpr int kLeftMargin = 46;
constexpr int kRightMargin = 16;
constexpr int kTopMargin = 30;
constexpr int kBottomMargin = 42;
constexpr int kLegendSpacing = 170;
constexpr int kStripHeight = 46;
constexpr int kStripBarHeight = 20;
// Minimum drawn width of a span, in pixels, so that short spans stay visible.
constexpr double kMinSpanWidth = 2;

// The area of the image in which values are drawn, in pixels.
struct Frame {
  double left;
  double right;
  double top;
  double bottom;
};

// Returns the position of `value` along the axis, from 0 at its low end to 1 at
// its high end.
double AxisPosition(const PlotAxis& axis, double value) {
  const double span = axis.high - axis.low;
  const double position = span > 0 ? (value - axis.low) / span : 0;
  return std::clamp(position, 0.0, 1.0);
}

double XOf(const Frame& frame, const PlotAxis& axis, double value) {
  return frame.left + AxisPosition(axis, value) * (frame.right - frame.left);
}

double YOf(const Frame& frame, const PlotAxis& axis, double value) {
  return frame.bottom - AxisPosition(axis, value) * (frame.bottom - frame.top);
}

void OpenSvg(std::ostream& svg, int width, int height) {
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << height << "\" viewBox=\"0 0 " << width << " "
      << height
      << "\" font-family=\"sans-serif\" font-size=\"12\" fill=\"#3b4a59\">"
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>";
}

void DrawText(std::ostream& svg,
              double x,
              double y,
              const std::string& anchor,
              const std::string& text) {
  svg << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\">" << HtmlEscape(text) << "</text>";
}

void DrawLine(std::ostream& svg,
              const PlotPoint& from,
              const PlotPoint& to,
              const std::string& style) {
  svg << "<line x1=\"" << from.x << "\" y1=\"" << from.y << "\" x2=\"" << to.x
      << "\" y2=\"" << to.y << "\" " << style << "/>";
}

void DrawGrid(std::ostream& svg, const Frame& frame, const Plot& plot) {
  const std::string grid = "stroke=\"#dde4ea\"";
  for (const PlotTick& tick : plot.y.ticks) {
    const double y = YOf(frame, plot.y, tick.at);
    DrawLine(svg, {frame.left, y}, {frame.right, y}, grid);
    DrawText(svg, frame.left - 6, y + 4, "end", tick.label);
  }
  for (const PlotTick& tick : plot.x.ticks) {
    const double x = XOf(frame, plot.x, tick.at);
    DrawLine(svg, {x, frame.top}, {x, frame.bottom}, grid);
    DrawText(svg, x, frame.bottom + 16, "middle", tick.label);
  }
  DrawText(svg, (frame.left + frame.right) / 2, frame.bottom + 34, "middle",
           plot.x_title);
}

void DrawLevels(std::ostream& svg, const Frame& frame, const Plot& plot) {
  for (const PlotTick& level : plot.levels) {
    if (level.at > plot.y.high) {
      continue;
    }
    const double y = YOf(frame, plot.y, level.at);
    DrawLine(svg, {frame.left, y}, {frame.right, y},
             "stroke=\"#a3231c\" stroke-dasharray=\"5 4\"");
    DrawText(svg, frame.right - 4, y - 4, "end", level.label);
  }
}

void DrawLines(std::ostream& svg, const Frame& frame, const Plot& plot) {
  double legend = frame.left;
  for (const PlotLine& line : plot.lines) {
    svg << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << line.color
        << "\" points=\"";
    for (const PlotPoint& point : line.points) {
      svg << XOf(frame, plot.x, point.x) << "," << YOf(frame, plot.y, point.y)
          << " ";
    }
    svg << "\"/>";
    DrawLine(svg, {legend, 14}, {legend + 18, 14},
             "stroke-width=\"3\" stroke=\"" + line.color + "\"");
    DrawText(svg, legend + 24, 18, "start", line.name);
    legend += kLegendSpacing;
  }
}

}  // namespace

std::string PlotSvg(const Plot& plot) {
  const Frame frame = {kLeftMargin, plot.width - kRightMargin * 1.0, kTopMargin,
                       plot.height - kBottomMargin * 1.0};
  std::ostringstream svg;
  OpenSvg(svg, plot.width, plot.height);
  DrawGrid(svg, frame, plot);
  DrawLevels(svg, frame, plot);
  DrawLines(svg, frame, plot);
  svg << "</svg>\n";
  return svg.str();
}

std::string StripSvg(const Strip& strip) {
  const Frame frame = {kLeftMargin, strip.width - kRightMargin * 1.0, 4,
                       4 + kStripBarHeight};
  std::ostringstream svg;
  OpenSvg(svg, strip.width, kStripHeight);
  svg << "<rect x=\"" << frame.left << "\" y=\"" << frame.top << "\" width=\""
      << frame.right - frame.left << "\" height=\"" << kStripBarHeight
      << "\" fill=\"#e6f0ea\"/>";
  for (const StripSpan& span : strip.spans) {
    const double from = XOf(frame, strip.x, span.from);
    const double to = XOf(frame, strip.x, span.to);
    svg << "<rect x=\"" << from << "\" y=\"" << frame.top << "\" width=\""
        << std::max(to - from, kMinSpanWidth) << "\" height=\""
        << kStripBarHeight << "\" fill=\"" << strip.color << "\"/>";
  }
  for (const PlotTick& tick : strip.x.ticks) {
    DrawText(svg, XOf(frame, strip.x, tick.at), frame.bottom + 16, "middle",
             tick.label);
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace goldcrest
