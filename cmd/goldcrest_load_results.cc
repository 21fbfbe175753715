#include "cmd/goldcrest_load_results.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "goldcrest/json_reader.h"
#include "report/svg_plot.h"

namespace goldcrest {
namespace {

// Returns the total true duration of the tasks, in milliseconds.
double WorkMs(const TraceLine& line) {
  double total = 0;
  for (const TraceTask& task : line.tasks) {
    total += static_cast<double>(task.true_ms);
  }
  return total;
}

// Returns the ideal response time, in milliseconds.
double IdealMs(const TraceLine& line, const IdealOptions& options) {
  double longest = 0;
  for (const TraceTask& task : line.tasks) {
    longest = std::max(longest, static_cast<double>(task.true_ms));
  }
  return options.round_trip_ms +
         std::max(longest, WorkMs(line) / options.domain_slots);
}

// Counts a submission that has no answer or a status other than 200.
void CountRefusal(const SentSubmission& sent, LoadResults& results) {
  if (!sent.code_name.empty()) {
    ++results.refusals[sent.code_name];
  }
  if (!sent.answered) {
    ++results.unanswered;
  } else if (sent.status == 429) {
    ++results.refused;
  } else if (sent.status == 503) {
    ++results.unknown;
  } else {
    ++results.failed;
  }
}

// Returns the value of the counter goldcrest_NAME, or 0 if there is none.
double Counter(const LoadResults& results, const std::string& name) {
  const auto found = results.counters.find("goldcrest_" + name);
  return found == results.counters.end() ? 0 : found->second;
}

// A cause of wasted messages and their number. A start order and its answer
// count as two messages, and so do a lookup and its answer. A late answer or a
// resent request counts as one.
struct Waste {
  std::string cause;
  double messages = 0;
};

std::vector<Waste> ListWaste(const LoadResults& results) {
  return {
      {"refused_starts", 2 * Counter(results, "refused_starts_total")},
      {"lost_hedges", 2 * Counter(results, "hedges_lost_total")},
      {"late_answers", Counter(results, "late_answers_total")},
      {"lookups", 2 * Counter(results, "lookups_total")},
      {"claim_resends", Counter(results, "claim_resends_total")},
      {"forward_resends", Counter(results, "forward_resends_total")},
  };
}

// Returns the number of messages between callers, daemons and workers, without
// the control messages between daemons.
double AllMessages(const LoadResults& results) {
  return 2 * Counter(results, "starts_total") +
         2 * Counter(results, "stops_total") +
         2 * Counter(results, "lookups_total") + 2 * results.submitted +
         Counter(results, "peer_messages_total") -
         Counter(results, "control_messages_total");
}

// A group of jobs shown as one line in the plot.
struct PlotGroup {
  const char* group;
  const char* name;
  const char* color;
};

constexpr PlotGroup kPlotGroups[] = {
    {"single", "jobs with one task", "#1f4e79"},
    {"many", "jobs with many tasks", "#a3541c"},
};

}  // namespace

LoadResults MakeResults(const std::vector<SentSubmission>& sent,
                        const IdealOptions& options,
                        double length_ms) {
  LoadResults results;
  double work_ms = 0;
  for (const SentSubmission& submission : sent) {
    ++results.submitted;
    results.tasks += static_cast<double>(submission.line->tasks.size());
    if (!submission.answered || submission.status != 200) {
      CountRefusal(submission, results);
      continue;
    }
    ++results.complete;
    const char* group = submission.line->tasks.size() == 1 ? "single" : "many";
    const double ratio =
        submission.response_ms / IdealMs(*submission.line, options);
    results.ratios[group].push_back(ratio);
    results.ratios[submission.line->kind].push_back(ratio);
    const double answered_at =
        static_cast<double>(submission.line->at_ms) + submission.response_ms;
    work_ms += answered_at <= length_ms ? WorkMs(*submission.line) : 0;
  }
  if (length_ms > 0) {
    results.goodput = work_ms / (length_ms * options.all_slots);
  }
  return results;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(std::ceil(q * static_cast<double>(values.size())));
  return values[std::min(values.size() - 1, rank == 0 ? 0 : rank - 1)];
}

std::string ResultsText(const LoadResults& results) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  out << "submissions " << results.submitted << ": complete "
      << results.complete << ", failed " << results.failed << ", refused "
      << results.refused << ", unknown or unavailable " << results.unknown
      << ", no answer " << results.unanswered << "\n";
  out << "minutes with refusals " << results.refused_minutes.size()
      << ", goodput " << 100 * results.goodput << "% of all slots\n";
  for (const auto& [name, count] : results.refusals) {
    out << "  answered " << name << ": " << count << "\n";
  }
  out << "response ratio     count     p50     p99   p99.9\n";
  for (const auto& [name, ratios] : results.ratios) {
    out << "  " << std::left << std::setw(14) << name << std::right
        << std::setw(8) << ratios.size() << std::setw(8)
        << Quantile(ratios, 0.5) << std::setw(8) << Quantile(ratios, 0.99)
        << std::setw(8) << Quantile(ratios, 0.999) << "\n";
  }
  const double all = AllMessages(results);
  double wasted = 0;
  for (const Waste& waste : ListWaste(results)) {
    wasted += waste.messages;
    if (waste.messages > 0) {
      out << "  wasted by " << waste.cause << ": " << waste.messages << "\n";
    }
  }
  out << "messages " << all << ", per task " << all / results.tasks
      << ", wasted " << 100 * wasted / all << "%\n";
  return out.str();
}

std::string ResultsJson(const LoadResults& results) {
  std::ostringstream out;
  out << "{\"submitted\":" << results.submitted
      << ",\"complete\":" << results.complete
      << ",\"failed\":" << results.failed << ",\"refused\":" << results.refused
      << ",\"unknown\":" << results.unknown
      << ",\"lost\":" << results.unanswered
      << ",\"refused_minutes\":" << results.refused_minutes.size()
      << ",\"goodput\":" << results.goodput << ",\"ratios\":{";
  bool first = true;
  for (const auto& [name, ratios] : results.ratios) {
    out << (first ? "" : ",") << JsonQuote(name)
        << ":{\"count\":" << ratios.size()
        << ",\"p50\":" << Quantile(ratios, 0.5)
        << ",\"p99\":" << Quantile(ratios, 0.99)
        << ",\"p999\":" << Quantile(ratios, 0.999) << "}";
    first = false;
  }
  double wasted = 0;
  out << "},\"wasted\":{";
  first = true;
  for (const Waste& waste : ListWaste(results)) {
    out << (first ? "" : ",") << JsonQuote(waste.cause) << ":"
        << waste.messages;
    wasted += waste.messages;
    first = false;
  }
  const double all = AllMessages(results);
  out << "},\"messages\":" << all
      << ",\"messages_per_task\":" << all / results.tasks
      << ",\"wasted_share\":" << wasted / all << "}\n";
  return out.str();
}

std::string ResultsSvg(const LoadResults& results) {
  constexpr double kMaxRatio = 3;
  constexpr int kSteps = 200;
  Plot plot;
  plot.x_title = "share of jobs with a response ratio below";
  plot.x.ticks = {
      {0, "0"}, {0.25, "0.25"}, {0.5, "0.5"}, {0.75, "0.75"}, {1, "1"}};
  plot.y.low = 1;
  plot.y.high = kMaxRatio;
  plot.y.ticks = {{1, "1"}, {1.5, "1.5"}, {2, "2"}, {2.5, "2.5"}, {3, "3"}};
  for (const PlotGroup& group : kPlotGroups) {
    const auto found = results.ratios.find(group.group);
    if (found == results.ratios.end()) {
      continue;
    }
    PlotLine line = {group.name, group.color, {}};
    for (int i = 0; i <= kSteps; ++i) {
      const double share = static_cast<double>(i) / kSteps;
      line.points.push_back({share, Quantile(found->second, share)});
    }
    plot.lines.push_back(line);
  }
  return PlotSvg(plot);
}

std::string SubmissionsText(const std::vector<SentSubmission>& sent,
                            const IdealOptions& options) {
  std::ostringstream out;
  out << "at_ms\tkind\thome\ttasks\tideal_ms\tresponse_ms\tratio\tstatus\t"
         "code\n"
      << std::fixed << std::setprecision(2);
  for (const SentSubmission& submission : sent) {
    const double ideal_ms = IdealMs(*submission.line, options);
    out << submission.line->at_ms << "\t" << submission.line->kind << "\t"
        << submission.line->home << "\t" << submission.line->tasks.size()
        << "\t" << ideal_ms << "\t" << submission.response_ms << "\t"
        << submission.response_ms / ideal_ms << "\t" << submission.status
        << "\t" << submission.code_name << "\n";
  }
  return out.str();
}

}  // namespace goldcrest
