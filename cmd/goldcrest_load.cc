// Open-loop load and trace replay against running daemons.

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

#include <gflags/gflags.h>

#include "cmd/goldcrest_load_trace.h"
#include "edge/http_client.h"
#include "edge/settings.h"
#include "goldcrest/json_reader.h"
#include "report/svg_plot.h"

DEFINE_string(entry, "127.0.0.1:8080", "Entry VMs, as IP:PORT,...");
DEFINE_string(trace, "", "Trace to replay. Empty: make one.");
DEFINE_string(save_trace, "", "File to write the trace to.");
DEFINE_string(deployment, "nadamani", "Made trace: nadamani or lonestar.");
DEFINE_int32(duration_s, 20, "Made trace: length, in seconds.");
DEFINE_int32(slots, 64, "Slots of all workers; gives the ideal and the load.");
DEFINE_double(load, 0.7, "Made trace: share of the slots in use.");
DEFINE_bool(rough,
            false,
            "Made trace: wrong estimates, bursts, cancellations, "
            "resubmissions.");
DEFINE_string(homes, "", "Made trace: failure domains, as NAME,...");
DEFINE_uint64(seed, 1, "Made trace: seed.");
DEFINE_string(id_prefix, "", "Start of submission ids. Empty: from the clock.");
DEFINE_string(json, "", "File to write the results to, as JSON.");
DEFINE_string(svg, "", "File to write a plot of the response ratio to.");
DEFINE_int32(drain_s, 30, "Longest wait for answers after the last arrival.");
DEFINE_double(round_trip_ms, 1, "Caller round trip in the ideal time.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrest_load",
    "Sends a trace of submissions to entry VMs at their times, whether or not "
    "earlier ones were answered, and reports the response time against the "
    "ideal and the messages that were wasted.",
    "goldcrest_load [--name=value ...]",
    "goldcrest_load.cc",
};

constexpr Micros kCallTimeout = 180 * kSecond;
constexpr Micros kProgressPeriod = 5 * kSecond;

// One submission and what became of it.
struct Sent {
  const TraceLine* line = nullptr;
  std::string id;
  std::string body;
  Micros due = 0;
  bool answered = false;
  int status = 0;
  double response_ms = 0;
};

struct Results {
  std::map<std::string, std::vector<double>> ratios;  // by class
  std::map<std::string, int> refusals;                // by code name
  std::map<std::string, double> counters;             // summed over daemons
  int submitted = 0;
  int complete = 0;
  int failed = 0;
  int refused = 0;
  int unknown = 0;
  int lost = 0;
  double tasks = 0;
};

double IdealMs(const TraceLine& line) {
  double longest = 0;
  double total = 0;
  for (const TraceTask& task : line.tasks) {
    longest = std::max(longest, static_cast<double>(task.true_ms));
    total += static_cast<double>(task.true_ms);
  }
  return FLAGS_round_trip_ms + std::max(longest, total / FLAGS_slots);
}

std::string BodyOf(const TraceLine& line, const std::string& id) {
  std::string json = "{\"submission_id\":" + JsonQuote(id) +
                     ",\"caller\":" + JsonQuote(line.caller) +
                     ",\"team\":" + JsonQuote(line.team) +
                     ",\"kind\":" + JsonQuote(line.kind);
  if (!line.home.empty()) {
    json += ",\"home\":" + JsonQuote(line.home);
  }
  if (line.deadline_ms > 0) {
    json += ",\"deadline_ms\":" + std::to_string(line.deadline_ms);
  }
  json += ",\"tasks\":[";
  for (size_t i = 0; i < line.tasks.size(); ++i) {
    json += i == 0 ? "" : ",";
    json += "{\"run_ms\":" + std::to_string(line.tasks[i].declared_ms) +
            ",\"payload\":\"sleep:" + std::to_string(line.tasks[i].true_ms) +
            "\"}";
  }
  return json + "]}";
}

class Load {
 public:
  Load(std::vector<std::string> entries, const Trace& trace)
      : entries_(std::move(entries)),
        trace_(trace),
        client_(loop_, HttpClientOptions()) {
    sent_.reserve(trace.size());
  }

  void Run() {
    const std::map<std::string, double> before = Scrape();
    const Micros start = MonotonicMicros();
    size_t next = 0;
    Micros progress_at = start + kProgressPeriod;
    while (next < trace_.size()) {
      const Micros now = MonotonicMicros();
      const Micros due = start + trace_[next].at_ms * kMillisecond;
      if (now >= due) {
        SendLine(trace_[next++], due);
        continue;
      }
      Wait(std::min(due - now, 20 * kMillisecond));
      if (now > progress_at) {
        progress_at += kProgressPeriod;
        std::cerr << "goldcrest_load: " << next << " of " << trace_.size()
                  << " sent, " << outstanding_ << " unanswered\n";
      }
    }
    const Micros give_up = MonotonicMicros() + FLAGS_drain_s * kSecond;
    while (outstanding_ > 0 && MonotonicMicros() < give_up) {
      Wait(20 * kMillisecond);
    }
    Collect();
    for (const auto& [name, value] : Scrape()) {
      const auto earlier = before.find(name);
      results_.counters[name] =
          value - (earlier == before.end() ? 0 : earlier->second);
    }
  }

  const Results& results() const { return results_; }

 private:
  void Wait(Micros time) {
    loop_.Poll(time);
    client_.CloseStale(MonotonicMicros());
  }

  const std::string& NextEntry() {
    return entries_[next_entry_++ % entries_.size()];
  }

  void SendLine(const TraceLine& line, Micros due) {
    switch (line.action) {
      case TraceAction::kSubmit:
        Submit(line, due);
        return;
      case TraceAction::kAgain:
        if (static_cast<size_t>(line.count) <= sent_.size()) {
          SendAgain(sent_[sent_.size() - static_cast<size_t>(line.count)]);
        }
        return;
      case TraceAction::kCancel:
        Cancel(line.count);
        return;
    }
  }

  void Submit(const TraceLine& line, Micros due) {
    Sent sent;
    sent.line = &line;
    sent.id = FLAGS_id_prefix + "-" + std::to_string(sent_.size());
    sent.body = BodyOf(line, sent.id);
    sent.due = due;
    sent_.push_back(sent);
    const size_t index = sent_.size() - 1;
    ++outstanding_;
    client_.Call(CallFor(sent),
                 [this, index](CallEnd end, const HttpResponse& response) {
                   Sent& answered = sent_[index];
                   --outstanding_;
                   answered.answered = end == CallEnd::kResponse;
                   answered.status = response.status;
                   // Counted from when it was due, so that a late sender is no
                   // excuse.
                   answered.response_ms =
                       static_cast<double>(MonotonicMicros() - answered.due) /
                       static_cast<double>(kMillisecond);
                   if (response.status != 200) {
                     NoteRefusal(response.body);
                   }
                 });
  }

  HttpCall CallFor(const Sent& sent) {
    HttpCall call;
    call.address = NextEntry();
    call.method = "POST";
    call.path = "/v1/jobs";
    call.body = sent.body;
    call.timeout = kCallTimeout;
    return call;
  }

  void SendAgain(const Sent& sent) {
    client_.Call(CallFor(sent), [](CallEnd, const HttpResponse&) {});
  }

  void Cancel(int64_t count) {
    std::string ids;
    const size_t first =
        sent_.size() - std::min(sent_.size(), static_cast<size_t>(count));
    for (size_t i = first; i < sent_.size(); ++i) {
      ids += (ids.empty() ? "" : ",") + JsonQuote(sent_[i].id);
    }
    HttpCall call;
    call.address = NextEntry();
    call.method = "POST";
    call.path = "/v1/jobs:cancel";
    call.body = "{\"submission_ids\":[" + ids + "]}";
    client_.Call(call, [](CallEnd, const HttpResponse&) {});
  }

  void NoteRefusal(const std::string& body) {
    const auto json = ParseJson(body);
    if (!json || json->type() != typeid(Poco::JSON::Object::Ptr)) {
      return;
    }
    const auto object = json->extract<Poco::JSON::Object::Ptr>();
    const Poco::Dynamic::Var name = object->get("name");
    if (name.isString()) {
      ++results_.refusals[name.extract<std::string>()];
    }
  }

  void Collect() {
    for (const Sent& sent : sent_) {
      ++results_.submitted;
      results_.tasks += static_cast<double>(sent.line->tasks.size());
      if (!sent.answered) {
        ++results_.lost;
      } else if (sent.status == 200) {
        ++results_.complete;
        const char* group = sent.line->tasks.size() == 1 ? "single" : "many";
        const double ratio = sent.response_ms / IdealMs(*sent.line);
        results_.ratios[group].push_back(ratio);
        results_.ratios[sent.line->kind].push_back(ratio);
      } else if (sent.status == 429) {
        ++results_.refused;
      } else if (sent.status == 503) {
        ++results_.unknown;
      } else {
        ++results_.failed;
      }
    }
  }

  // Sums the counters of all daemons.
  std::map<std::string, double> Scrape() {
    std::map<std::string, double> sums;
    size_t waiting = entries_.size();
    for (const std::string& entry : entries_) {
      HttpCall call;
      call.address = entry;
      call.method = "GET";
      call.path = "/metrics";
      client_.Call(call, [&](CallEnd, const HttpResponse& response) {
        --waiting;
        std::istringstream lines(response.body);
        for (std::string line; std::getline(lines, line);) {
          const size_t space = line.find(' ');
          const bool plain = line[0] != '#' && space != std::string::npos &&
                             line.find('{') == std::string::npos;
          if (plain) {
            sums[line.substr(0, space)] += std::atof(line.c_str() + space);
          }
        }
      });
    }
    while (waiting > 0) {
      Wait(10 * kMillisecond);
    }
    return sums;
  }

  std::vector<std::string> entries_;
  const Trace& trace_;
  SocketLoop loop_;
  HttpClient client_;
  std::vector<Sent> sent_;
  Results results_;
  size_t next_entry_ = 0;
  int outstanding_ = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(std::ceil(q * static_cast<double>(values.size())));
  return values[std::min(values.size() - 1, rank == 0 ? 0 : rank - 1)];
}

double Counter(const Results& results, const std::string& name) {
  const auto found = results.counters.find("goldcrest_" + name);
  return found == results.counters.end() ? 0 : found->second;
}

// One cause of wasted messages and how many it took: a start and its answer
// are two messages, and so is each request between VMs that had to be repeated.
struct Waste {
  std::string cause;
  double messages = 0;
};

std::vector<Waste> WasteOf(const Results& results) {
  return {
      {"refused_starts", 2 * Counter(results, "refused_starts_total")},
      {"lost_hedges", 2 * Counter(results, "hedges_lost_total")},
      {"late_answers", Counter(results, "late_answers_total")},
      {"lookups", 2 * Counter(results, "lookups_total")},
      {"claim_resends", Counter(results, "claim_resends_total")},
      {"forward_resends", Counter(results, "forward_resends_total")},
  };
}

double AllMessages(const Results& results) {
  return 2 * Counter(results, "starts_total") +
         2 * Counter(results, "stops_total") +
         2 * Counter(results, "lookups_total") + 2 * results.submitted +
         Counter(results, "peer_messages_total") -
         Counter(results, "control_messages_total");
}

void PrintText(std::ostream& out, const Results& results) {
  out << std::fixed << std::setprecision(3);
  out << "submissions " << results.submitted << ": complete "
      << results.complete << ", failed " << results.failed << ", refused "
      << results.refused << ", unknown or unavailable " << results.unknown
      << ", no answer " << results.lost << "\n";
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
  for (const Waste& waste : WasteOf(results)) {
    wasted += waste.messages;
    if (waste.messages > 0) {
      out << "  wasted by " << waste.cause << ": " << waste.messages << "\n";
    }
  }
  out << "messages " << all << ", per task " << all / results.tasks
      << ", wasted " << 100 * wasted / all << "%\n";
}

std::string ResultsJson(const Results& results) {
  std::ostringstream out;
  out << "{\"submitted\":" << results.submitted
      << ",\"complete\":" << results.complete
      << ",\"failed\":" << results.failed << ",\"refused\":" << results.refused
      << ",\"unknown\":" << results.unknown << ",\"lost\":" << results.lost
      << ",\"ratios\":{";
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
  for (const Waste& waste : WasteOf(results)) {
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

// One group of jobs in the plot.
struct PlotGroup {
  const char* group;
  const char* name;
  const char* color;
};

constexpr PlotGroup kPlotGroups[] = {
    {"single", "jobs with one task", "#1f4e79"},
    {"many", "jobs with many tasks", "#a3541c"},
};

// Plots the distribution of the ratio: quantile across, ratio up to 3.
std::string ResultsSvg(const Results& results) {
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

// Writes a file that was asked for; does nothing without a path.
void WriteIfNamed(const std::string& path, const std::string& text) {
  if (!path.empty()) {
    WriteFileOrFail(kProgram, path, text);
  }
}

Trace LoadTrace() {
  if (!FLAGS_trace.empty()) {
    const auto trace = ReadTrace(ReadFileOrFail(kProgram, FLAGS_trace));
    if (!trace) {
      FailUsage(kProgram, FLAGS_trace + ": " + trace.error());
    }
    return *trace;
  }
  TraceShape shape;
  shape.deployment = FLAGS_deployment;
  shape.duration_ms = static_cast<int64_t>(FLAGS_duration_s) * 1000;
  shape.slots = FLAGS_slots;
  shape.load = FLAGS_load;
  shape.rough = FLAGS_rough;
  shape.seed = FLAGS_seed;
  shape.homes = SplitList(FLAGS_homes);
  return MakeTrace(shape);
}

void CheckSettings() {
  if (FLAGS_deployment != "nadamani" && FLAGS_deployment != "lonestar") {
    FailUsage(kProgram, "--deployment must be nadamani or lonestar");
  }
  if (FLAGS_slots < 1 || FLAGS_duration_s < 1 || FLAGS_load <= 0) {
    FailUsage(kProgram, "--slots, --duration_s and --load must be above 0");
  }
}

int RunLoad(int argc, char** argv) {
  const auto rest = ReadSettings(kProgram, argc, argv);
  if (!rest.empty()) {
    FailUsage(kProgram, "unexpected argument '" + rest.front() + "'");
  }
  CheckSettings();
  const auto entries = AddressesOrFail(kProgram, "entry", FLAGS_entry);
  signal(SIGPIPE, SIG_IGN);
  if (FLAGS_id_prefix.empty()) {
    FLAGS_id_prefix = "load-" + std::to_string(ReadClock().wall_ms);
  }
  const Trace trace = LoadTrace();
  WriteIfNamed(FLAGS_save_trace, WriteTrace(trace));
  Load load(entries, trace);
  load.Run();
  PrintText(std::cout, load.results());
  WriteIfNamed(FLAGS_json, ResultsJson(load.results()));
  WriteIfNamed(FLAGS_svg, ResultsSvg(load.results()));
  return load.results().lost == 0 ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunLoad(argc, argv);
}
