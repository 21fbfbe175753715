#include "report/burn_page.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "edge/html.h"
#include "report/burn_text.h"
#include "report/svg_plot.h"

namespace goldcrest {
namespace {

constexpr int kPlotWidth = 1180;  // pixels
constexpr int kPlotHeight = 230;  // pixels
constexpr int kTimeTicks = 6;
constexpr int kRateTicks = 4;
// The rate axis reaches at least this rate, and beyond the highest plotted rate
// by kRateAxisHeadroom.
constexpr double kMinRateAxis = 2;
constexpr double kRateAxisHeadroom = 1.15;
constexpr char kHourColor[] = "#1f4e79";
constexpr char kFiveMinuteColor[] = "#c07a1a";
constexpr char kRefusedColor[] = "#a3231c";

// The windows shown in the table of all series.
constexpr std::array<BurnWindow, 4> kTableWindows = {
    BurnWindow::kFiveMinutes, BurnWindow::kHour, BurnWindow::kSixHours,
    BurnWindow::kThreeDays};

std::string TimeLabel(int64_t wall_ms, int64_t span_ms) {
  const std::string name = FormatMinute(wall_ms);
  const bool within_a_day = span_ms <= 24 * 60 * kMinuteMs;
  return within_a_day ? name.substr(name.size() - 5) : name.substr(5);
}

PlotAxis TimeAxis(int64_t from_ms, int64_t to_ms) {
  PlotAxis axis;
  axis.low = static_cast<double>(from_ms);
  axis.high = static_cast<double>(std::max(to_ms, from_ms + 1));
  const int64_t span = to_ms - from_ms;
  std::string last;
  for (int i = 0; i <= kTimeTicks; ++i) {
    const int64_t at = from_ms + span * i / kTimeTicks;
    const std::string label = TimeLabel(at, span);
    if (label != last) {
      axis.ticks.push_back({static_cast<double>(at), label});
    }
    last = label;
  }
  return axis;
}

PlotAxis RateAxis(const SeriesBurn& series) {
  double high = kMinRateAxis;
  for (const BurnPoint& point : series.history) {
    high = std::max({high, point.five_minutes, point.hour});
  }
  PlotAxis axis;
  axis.high = high * kRateAxisHeadroom;
  for (int i = 0; i <= kRateTicks; ++i) {
    const double at = high * i / kRateTicks;
    axis.ticks.push_back({at, FormatRate(at)});
  }
  return axis;
}

std::string SeriesPlot(const SeriesBurn& series) {
  Plot plot;
  plot.width = kPlotWidth;
  plot.height = kPlotHeight;
  plot.x_title = "time, UTC";
  plot.x =
      TimeAxis(series.history.front().wall_ms, series.history.back().wall_ms);
  plot.y = RateAxis(series);
  plot.levels = {{1, "budget lasts exactly 30 days"}};
  for (const BurnRule& rule : kBurnRules) {
    if (rule.short_window == BurnWindow::kFiveMinutes) {
      plot.levels.push_back({rule.rate, "page"});
    }
  }
  PlotLine hour = {"burn rate over 1 h", kHourColor, {}};
  PlotLine five = {"over 5 min", kFiveMinuteColor, {}};
  for (const BurnPoint& point : series.history) {
    const auto at = static_cast<double>(point.wall_ms);
    hour.points.push_back({at, point.hour});
    five.points.push_back({at, point.five_minutes});
  }
  plot.lines = {five, hour};
  return PlotSvg(plot);
}

std::string MinuteStrip(const BurnReport& report,
                        const std::set<int64_t>& minutes) {
  Strip strip;
  strip.width = kPlotWidth;
  strip.color = kRefusedColor;
  strip.x = TimeAxis(report.from_wall_ms, report.to_wall_ms);
  for (const MinuteRange& range : MinuteRanges(minutes)) {
    strip.spans.push_back({static_cast<double>(range.first * kMinuteMs),
                           static_cast<double>((range.last + 1) * kMinuteMs)});
  }
  return StripSvg(strip);
}

std::string Tile(const std::string& value, const std::string& meaning) {
  return "<div class=tile><b>" + HtmlEscape(value) + "</b><span>" +
         HtmlEscape(meaning) + "</span></div>";
}

std::string AlertHtml(BurnAlert alert) {
  const std::string name(ToString(alert));
  return "<span class=\"alert " + name + "\">" +
         (alert == BurnAlert::kNone ? "within budget" : name) + "</span>";
}

AnswerCounts SumAnswers(const BurnReport& report) {
  AnswerCounts all;
  for (const SeriesBurn& series : report.series) {
    const AnswerCounts& counts = series.Window(BurnWindow::kThirtyDays).answers;
    for (size_t i = 0; i < all.by_result.size(); ++i) {
      all.by_result[i] += counts.by_result[i];
    }
  }
  return all;
}

std::string SummaryHtml(const BurnReport& report) {
  const AnswerCounts all = SumAnswers(report);
  return "<section><h2>Overall " + AlertHtml(MostSevereAlert(report)) +
         "</h2><div class=tiles>" +
         Tile(std::to_string(report.refused_minutes.size()),
              "minutes with refused requests") +
         Tile(std::to_string(all.total()), "answers, last 30 days") +
         Tile(std::to_string(all[AnswerResult::kSlow]),
              "later than the target") +
         Tile(std::to_string(all[AnswerResult::kFailed]), "failed") +
         Tile(std::to_string(all[AnswerResult::kRefused]), "refused") +
         Tile(std::to_string(all[AnswerResult::kUnknown]), "unknown outcome") +
         "</div></section>";
}

std::string CountCell(const std::string& text) {
  return "<td class=count>" + HtmlEscape(text) + "</td>";
}

std::string BudgetText(const SeriesBurn& series) {
  if (series.budget_left < 0) {
    return "spent " + FormatRate(1 - series.budget_left) + " times";
  }
  return FormatRate(100 * series.budget_left) + "%";
}

std::string TableRow(const SeriesBurn& series) {
  std::string html = "<tr><td>" + HtmlEscape(series.key.kind) + "</td><td>" +
                     HtmlEscape(series.key.failure_domain) + "</td><td>" +
                     AlertHtml(series.alert) + "</td>";
  if (series.objective) {
    html += CountCell(FormatRate(100 * series.objective->objective) + "% in " +
                      std::to_string(series.objective->target_ms) + " ms");
  } else {
    html += CountCell("not declared");
  }
  for (const BurnWindow window : kTableWindows) {
    html += CountCell(FormatRate(series.Window(window).rate));
  }
  html += CountCell(BudgetText(series));
  html += CountCell(std::to_string(series.refused_minutes.size()));
  return html + "</tr>";
}

std::string TableHtml(const BurnReport& report) {
  std::string html =
      "<section><h2>Kinds and failure domains</h2><p class=hint>Burn rate: "
      "the share of bad answers divided by the share that the objective "
      "allows. At 1, the budget lasts exactly 30 days. Bad answers are late, "
      "failed, refused or unknown ones.</p><table><tr><th>Kind</th><th>Failure "
      "domain</th><th>State</th><th class=count>Objective</th>";
  for (const BurnWindow window : kTableWindows) {
    html += "<th class=count>" +
            std::string(kBurnWindows[static_cast<size_t>(window)].name) +
            "</th>";
  }
  html +=
      "<th class=count>Budget left</th><th class=count>Refused "
      "minutes</th></tr>";
  for (const SeriesBurn& series : report.series) {
    html += TableRow(series);
  }
  return html + "</table></section>";
}

std::string DomainsHtml(const BurnReport& report) {
  std::string html =
      "<section><h2>Minutes with refused requests</h2><p class=hint>A minute "
      "of the wall clock counts once if any request was refused in it, or "
      "ended with an unknown outcome, at any VM. Times are UTC.</p>";
  for (const DomainRefusedMinutes& domain : report.domains) {
    html += "<p class=hint>" + HtmlEscape(domain.failure_domain) + ": " +
            std::to_string(domain.minutes.size()) + "</p>" +
            MinuteStrip(report, domain.minutes);
  }
  return html + "</section>";
}

// Plots the series that had bad answers in the last 30 days, and lists the
// names of the others.
std::string PlotsHtml(const BurnReport& report) {
  std::string html;
  std::string names_without_plot;
  for (const SeriesBurn& series : report.series) {
    const std::string name = HtmlEscape(SeriesName(series.key));
    if (series.Window(BurnWindow::kThirtyDays).answers.bad() == 0) {
      names_without_plot += (names_without_plot.empty() ? "" : ", ") + name;
      continue;
    }
    html += "<section><h2>" + name + " " + AlertHtml(series.alert) + "</h2>" +
            SeriesPlot(series) + "</section>";
  }
  if (!names_without_plot.empty()) {
    html += "<section><h2>No bad answers in 30 days</h2><p class=hint>" +
            names_without_plot + "</p></section>";
  }
  return html;
}

std::string VmsHtml(const BurnReport& report) {
  std::string html =
      "<section><h2>Entry VMs</h2><table><tr><th>VM</th><th>Failure "
      "domain</th><th>Up since</th><th>Latest snapshot</th></tr>";
  for (const VmLatestSnapshot& vm : report.vms) {
    html += "<tr><td>" + HtmlEscape(vm.vm) + "</td><td>" +
            HtmlEscape(vm.failure_domain) + "</td><td>" +
            FormatMinute(vm.started_wall_ms) + "</td><td>" +
            FormatMinute(vm.wall_ms) + "</td></tr>";
  }
  return html + "</table></section>";
}

}  // namespace

std::string BurnPage(const BurnReport& report) {
  if (report.vms.empty()) {
    return RenderHtmlPage(
        {"Service-level burn", "", "<section><h2>No snapshots</h2></section>"});
  }
  std::string body = SummaryHtml(report) + TableHtml(report);
  body += DomainsHtml(report);
  body += PlotsHtml(report);
  body += VmsHtml(report);
  return RenderHtmlPage({"Service-level burn",
                         "<span>" + FormatMinute(report.from_wall_ms) + " to " +
                             FormatMinute(report.to_wall_ms) +
                             " UTC</span><span>" +
                             std::to_string(report.vms.size()) + " VMs</span>",
                         body});
}

}  // namespace goldcrest
