// goldcrest_load: generates open-loop load or replays a trace against running
// goldcrestd daemons. It cannot drive the entry daemons of a worker pool,
// which have another protocol for callers.

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

DEFINE_string(entry,
              "127.0.0.1:8080",
              "Addresses of the entry VMs, as IP:PORT,...");
DEFINE_string(trace, "", "Trace to replay. Empty: generate one.");
DEFINE_string(save_trace, "", "File to write the trace to.");
DEFINE_string(mix,
              "bells",
              "Generated trace: mix of job kinds, bells or orders.");
DEFINE_int32(duration_s, 20, "Generated trace: duration, in seconds.");
DEFINE_int32(slots,
             64,
             "Slots of all workers, equally divided among the failure domains "
             "of --homes. Determines the ideal time and, of a generated trace, "
             "the load.");
DEFINE_double(load, 0.7, "Generated trace: share of the slots in use.");
DEFINE_bool(rough,
            false,
            "Generated trace: wrong estimates, bursts, cancellations, "
            "resubmissions.");
DEFINE_string(homes, "", "Generated trace: failure domains, as NAME,...");
DEFINE_uint64(seed, 1, "Generated trace: seed.");
DEFINE_string(id_prefix,
              "",
              "Prefix of submission ids. Empty: derived from the clock.");
DEFINE_string(json, "", "File to write the results to, as JSON.");
DEFINE_string(svg, "", "File to write a plot of the response ratio to.");
DEFINE_string(submissions,
              "",
              "File to write one line for each submission to.");
DEFINE_int32(drain_s,
             30,
             "Timeout for answers after the last arrival, in seconds.");
DEFINE_double(
    round_trip_ms,
    1,
    "Network round trip of a caller, which is part of the ideal time, in "
    "milliseconds.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrest_load",
    "Sends the submissions of a trace to entry VMs at their scheduled times, "
    "whether or not earlier ones were answered. Reports response times "
    "relative to the ideal time, and the number of wasted messages "
    "according to the counters of the daemons.",
    "goldcrest_load [--name=value ...]",
    "goldcrest_load.cc",
};

// Of a submission. The program may end before, --drain_s after the last
// arrival.
constexpr Micros kCallTimeout = 180 * kSecond;
constexpr Micros kProgressPeriod = 5 * kSecond;

IdealOptions IdealFromFlags() {
  const auto domains = std::max<size_t>(1, SplitList(FLAGS_homes).size());
  IdealOptions options;
  options.round_trip_ms = FLAGS_round_trip_ms;
  options.all_slots = FLAGS_slots;
  options.domain_slots = std::max(1, FLAGS_slots / static_cast<int>(domains));
  return options;
}

// Returns the JSON body of a submission. Its payloads make a stand-in worker
// sleep for the true duration.
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

// Sends a trace to entry VMs in turn, on one thread, and records the answers.
class Load {
 public:
  Load(std::vector<std::string> entries, const Trace& trace)
      : entries_(std::move(entries)),
        trace_(trace),
        client_(loop_, HttpClientOptions()) {
    sent_.reserve(trace.size());
  }

  // Sends the whole trace and waits for the answers, at most --drain_s after
  // the last submission.
  void Run() {
    const std::map<std::string, double> initial_counters = Scrape();
    const Micros start = MonotonicMicros();
    size_t next = 0;
    Micros progress_at = start + kProgressPeriod;
    while (next < trace_.size()) {
      const Micros now = MonotonicMicros();
      const Micros scheduled_at = start + trace_[next].at_ms * kMillisecond;
      if (now >= scheduled_at) {
        SendLine(trace_[next++], scheduled_at);
        continue;
      }
      Wait(std::min(scheduled_at - now, 20 * kMillisecond));
      if (now > progress_at) {
        progress_at += kProgressPeriod;
        std::cerr << "goldcrest_load: " << next << " of " << trace_.size()
                  << " sent, " << outstanding_ << " unanswered\n";
      }
    }
    const Micros drain_deadline = MonotonicMicros() + FLAGS_drain_s * kSecond;
    while (outstanding_ > 0 && MonotonicMicros() < drain_deadline) {
      Wait(20 * kMillisecond);
    }
    const double length_ms =
        trace_.empty() ? 0 : static_cast<double>(trace_.back().at_ms);
    results_ = MakeResults(sent_, IdealFromFlags(), length_ms);
    results_.refused_minutes = refused_minutes_;
    for (const auto& [name, value] : Scrape()) {
      const auto initial = initial_counters.find(name);
      results_.counters[name] =
          value - (initial == initial_counters.end() ? 0 : initial->second);
    }
  }

  const LoadResults& results() const { return results_; }
  const std::vector<SentSubmission>& sent() const { return sent_; }

 private:
  void Wait(Micros time) {
    loop_.Poll(time);
    client_.CloseStale(MonotonicMicros());
  }

  const std::string& NextEntry() {
    return entries_[next_entry_++ % entries_.size()];
  }

  void SendLine(const TraceLine& line, Micros scheduled_at) {
    switch (line.action) {
      case TraceAction::kSubmit:
        Submit(line, scheduled_at);
        return;
      case TraceAction::kResubmit:
        if (static_cast<size_t>(line.count) <= sent_.size()) {
          Resubmit(sent_[sent_.size() - static_cast<size_t>(line.count)]);
        }
        return;
      case TraceAction::kCancel:
        Cancel(line.count);
        return;
    }
  }

  void Submit(const TraceLine& line, Micros scheduled_at) {
    SentSubmission sent;
    sent.line = &line;
    sent.id = FLAGS_id_prefix + "-" + std::to_string(sent_.size());
    sent.body = BodyOf(line, sent.id);
    sent.scheduled_at = scheduled_at;
    sent_.push_back(sent);
    const size_t index = sent_.size() - 1;
    ++outstanding_;
    client_.Call(CallFor(sent), [this, index](CallEnd end,
                                              const HttpResponse& response) {
      SentSubmission& answered = sent_[index];
      --outstanding_;
      answered.answered = end == CallEnd::kResponse;
      answered.status = response.status;
      // Measured from the scheduled time, so that delays of this
      // program count as response time.
      answered.response_ms =
          static_cast<double>(MonotonicMicros() - answered.scheduled_at) /
          static_cast<double>(kMillisecond);
      if (response.status != 200) {
        RecordError(answered, response);
      }
    });
  }

  HttpCall CallFor(const SentSubmission& sent) {
    HttpCall call;
    call.address = NextEntry();
    call.method = "POST";
    call.path = "/v1/jobs";
    call.body = sent.body;
    call.timeout = kCallTimeout;
    return call;
  }

  void Resubmit(const SentSubmission& sent) {
    client_.Call(CallFor(sent), [](CallEnd, const HttpResponse&) {});
  }

  // Cancels the `count` latest submissions.
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

  // Records the error name of a response, if it has one, and the current minute
  // if the daemon refused the submission.
  void RecordError(SentSubmission& sent, const HttpResponse& response) {
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

  // Returns the sum over all daemons of each metric without labels, gauges
  // included.
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
          const bool unlabelled = line[0] != '#' &&
                                  space != std::string::npos &&
                                  line.find('{') == std::string::npos;
          if (unlabelled) {
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
  std::vector<SentSubmission> sent_;
  std::set<int64_t> refused_minutes_;
  LoadResults results_;
  size_t next_entry_ = 0;
  int outstanding_ = 0;
};

// Writes `text` to `path`, unless `path` is empty.
void WriteIfRequested(const std::string& path, const std::string& text) {
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
  TraceOptions trace_options;
  trace_options.mix = FLAGS_mix;
  trace_options.duration_ms = static_cast<int64_t>(FLAGS_duration_s) * 1000;
  trace_options.slots = FLAGS_slots;
  trace_options.load = FLAGS_load;
  trace_options.rough = FLAGS_rough;
  trace_options.seed = FLAGS_seed;
  trace_options.homes = SplitList(FLAGS_homes);
  return GenerateTrace(trace_options);
}

void CheckSettings() {
  if (FLAGS_mix != "bells" && FLAGS_mix != "orders") {
    FailUsage(kProgram, "--mix must be bells or orders");
  }
  if (FLAGS_slots < 1 || FLAGS_duration_s < 1 || FLAGS_load <= 0) {
    FailUsage(kProgram,
              "--slots, --duration_s and --load must be greater than 0");
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
  WriteIfRequested(FLAGS_save_trace, WriteTrace(trace));
  Load load(entries, trace);
  load.Run();
  std::cout << ResultsText(load.results());
  WriteIfRequested(FLAGS_json, ResultsJson(load.results()));
  WriteIfRequested(FLAGS_svg, ResultsSvg(load.results()));
  WriteIfRequested(FLAGS_submissions,
                   SubmissionsText(load.sent(), IdealFromFlags()));
  return load.results().unanswered == 0 ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunLoad(argc, argv);
}
