// Open-loop load and trace replay against running daemons.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include <gflags/gflags.h>

#include "cmd/goldcrest_load_results.h"
#include "cmd/goldcrest_load_trace.h"
#include "edge/http_client.h"
#include "edge/settings.h"
#include "goldcrest/json_reader.h"
#include "goldcrest/service_level.h"

DEFINE_string(entry, "127.0.0.1:8080", "Entry VMs, as IP:PORT,...");
DEFINE_string(trace, "", "Trace to replay. Empty: make one.");
DEFINE_string(save_trace, "", "File to write the trace to.");
DEFINE_string(deployment, "nadamani", "Made trace: nadamani or lonestar.");
DEFINE_int32(duration_s, 20, "Made trace: length, in seconds.");
DEFINE_int32(slots,
             64,
             "Slots of all workers, the same in each failure domain of "
             "--homes; gives the ideal and the load.");
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
DEFINE_string(submissions,
              "",
              "File to write one line for each submission to.");
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

IdealOptions Ideal() {
  const auto domains = std::max<size_t>(1, SplitList(FLAGS_homes).size());
  IdealOptions options;
  options.round_trip_ms = FLAGS_round_trip_ms;
  options.all_slots = FLAGS_slots;
  options.domain_slots = std::max(1, FLAGS_slots / static_cast<int>(domains));
  return options;
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
    const double length_ms =
        trace_.empty() ? 0 : static_cast<double>(trace_.back().at_ms);
    results_ = MakeResults(sent_, Ideal(), length_ms);
    results_.refused_minutes = refused_minutes_;
    for (const auto& [name, value] : Scrape()) {
      const auto earlier = before.find(name);
      results_.counters[name] =
          value - (earlier == before.end() ? 0 : earlier->second);
    }
  }

  const Results& results() const { return results_; }
  const std::vector<Sent>& sent() const { return sent_; }

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
                     NoteRefusal(answered, response);
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

  void NoteRefusal(Sent& sent, const HttpResponse& response) {
    if (response.status == 429 || response.status == 503) {
      refused_minutes_.insert(ReadClock().wall_ms / kMinuteMs);
    }
    const auto json = ParseJson(response.body);
    if (!json || json->type() != typeid(Poco::JSON::Object::Ptr)) {
      return;
    }
    const auto object = json->extract<Poco::JSON::Object::Ptr>();
    sent.code_name = object->optValue<std::string>("name", "");
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
  std::set<int64_t> refused_minutes_;
  Results results_;
  size_t next_entry_ = 0;
  int outstanding_ = 0;
};

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
  std::cout << ResultsText(load.results());
  WriteIfNamed(FLAGS_json, ResultsJson(load.results()));
  WriteIfNamed(FLAGS_svg, ResultsSvg(load.results()));
  WriteIfNamed(FLAGS_submissions, SubmissionsText(load.sent(), Ideal()));
  return load.results().lost == 0 ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunLoad(argc, argv);
}
