#include "cmd/goldcrest_load_trace.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

namespace goldcrest {
namespace {

// Number of fields on a line with a submission, and on other lines.
constexpr size_t kSubmitFields = 7;
constexpr size_t kActionFields = 3;
// Bursts: the arrival rate is multiplied by kBurstFactor for kBurstMs at the
// start of every kBurstPeriodMs, except at the start of the trace.
constexpr double kBurstFactor = 5;
constexpr int64_t kBurstMs = 500;
constexpr int64_t kBurstPeriodMs = 6000;

// One kind of submission in a generated trace.
struct KindParameters {
  const char* kind;
  const char* team;
  double share;  // of the submissions
  int min_tasks;
  int max_tasks;
  int64_t min_ms;
  int64_t max_ms;
};

constexpr KindParameters kBells[] = {
    {"knell", "peal", 0.5, 1, 1, 50, 400},
    {"alarm", "alarm", 0.1, 1, 1, 50, 150},
    {"peal", "peal", 0.37, 1, 6, 50, 600},
    {"batch", "batch", 0.03, 20, 230, 50, 300},
};

constexpr KindParameters kOrders[] = {
    {"stock-check", "counter", 0.6, 1, 1, 50, 200},
    {"warranty", "counter", 0.15, 1, 1, 100, 500},
    {"proof", "counter", 0.22, 1, 8, 100, 1000},
    {"batch", "batch", 0.03, 20, 230, 50, 300},
};

bool ReadInteger(const std::string& text, int64_t* value) {
  Poco::Int64 number = 0;
  if (!Poco::NumberParser::tryParse64(text, number) || number < 0) {
    return false;
  }
  *value = number;
  return true;
}

bool ReadTasks(const std::string& text, std::vector<TraceTask>& tasks) {
  const Poco::StringTokenizer parts(text, ",");
  for (const std::string& part : parts) {
    const size_t colon = part.find(':');
    TraceTask task;
    if (colon == std::string::npos ||
        !ReadInteger(part.substr(0, colon), &task.declared_ms) ||
        !ReadInteger(part.substr(colon + 1), &task.true_ms)) {
      return false;
    }
    tasks.push_back(task);
  }
  return !tasks.empty();
}

bool ReadLine(const std::string& text, TraceLine& line) {
  const Poco::StringTokenizer fields(text, "\t");
  if (fields.count() < kActionFields || !ReadInteger(fields[0], &line.at_ms)) {
    return false;
  }
  if (fields.count() == kActionFields) {
    line.action =
        fields[1] == "cancel" ? TraceAction::kCancel : TraceAction::kResubmit;
    return (fields[1] == "cancel" || fields[1] == "again") &&
           ReadInteger(fields[2], &line.count);
  }
  if (fields.count() != kSubmitFields ||
      !ReadInteger(fields[5], &line.deadline_ms)) {
    return false;
  }
  line.caller = fields[1];
  line.team = fields[2];
  line.kind = fields[3];
  line.home = fields[4] == "-" ? "" : fields[4];
  return ReadTasks(fields[6], line.tasks);
}

// Returns the mean work of a submission, in slot milliseconds.
double MeanWorkMs(const KindParameters* begin, const KindParameters* end) {
  double mean = 0;
  for (const KindParameters* kind = begin; kind != end; ++kind) {
    mean += kind->share * (kind->min_tasks + kind->max_tasks) / 2 *
            static_cast<double>(kind->min_ms + kind->max_ms) / 2;
  }
  return mean;
}

const KindParameters& PickKind(const KindParameters* begin,
                               const KindParameters* end,
                               std::mt19937_64& random) {
  std::uniform_real_distribution<double> chance(0, 1);
  double remaining = chance(random);
  for (const KindParameters* kind = begin; kind + 1 != end; ++kind) {
    remaining -= kind->share;
    if (remaining < 0) {
      return *kind;
    }
  }
  return *(end - 1);
}

TraceLine MakeLine(const TraceOptions& shape,
                   const KindParameters& kind,
                   int64_t at_ms,
                   std::mt19937_64& random) {
  TraceLine line;
  line.at_ms = at_ms;
  line.caller = "caller-" + std::to_string(random() % 500);
  line.team = kind.team;
  line.kind = kind.kind;
  if (!shape.homes.empty()) {
    line.home = shape.homes[random() % shape.homes.size()];
  }
  std::uniform_int_distribution<int> count(kind.min_tasks, kind.max_tasks);
  std::uniform_int_distribution<int64_t> run(kind.min_ms, kind.max_ms);
  // With `rough`, declared durations are wrong by a factor of up to 10 in
  // either direction, uniformly distributed on a logarithmic scale.
  std::uniform_real_distribution<double> error(-1, 1);
  const int tasks = count(random);
  for (int i = 0; i < tasks; ++i) {
    TraceTask task;
    task.true_ms = run(random);
    const double factor = shape.rough ? std::pow(10.0, error(random)) : 1;
    task.declared_ms = std::max<int64_t>(
        1, static_cast<int64_t>(static_cast<double>(task.true_ms) * factor));
    line.tasks.push_back(task);
  }
  return line;
}

// Adds cancellations of 20 submissions each, one per 5 s of the trace, and
// resubmissions, one per 500 ms, at random times.
void AddDisturbances(const TraceOptions& shape,
                     std::mt19937_64& random,
                     Trace& trace) {
  std::uniform_int_distribution<int64_t> when(0, shape.duration_ms);
  for (int64_t i = 0; i < shape.duration_ms / 5000; ++i) {
    trace.push_back(
        {when(random), TraceAction::kCancel, 20, "", "", "", "", 0, {}});
  }
  for (int64_t i = 0; i < shape.duration_ms / 500; ++i) {
    trace.push_back({when(random),
                     TraceAction::kResubmit,
                     static_cast<int64_t>(random() % 20 + 1),
                     "",
                     "",
                     "",
                     "",
                     0,
                     {}});
  }
}

}  // namespace

tl::expected<Trace, std::string> ReadTrace(const std::string& text) {
  Trace trace;
  std::istringstream stream(text);
  int number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    if (line.empty() || line[0] == '#') {
      continue;
    }
    TraceLine read;
    if (!ReadLine(line, read)) {
      return tl::make_unexpected("line " + std::to_string(number) +
                                 " is not a valid trace line");
    }
    trace.push_back(std::move(read));
  }
  std::stable_sort(
      trace.begin(), trace.end(),
      [](const TraceLine& a, const TraceLine& b) { return a.at_ms < b.at_ms; });
  return trace;
}

std::string WriteTrace(const Trace& trace) {
  std::string text =
      "# at_ms caller team kind home deadline_ms declared_ms:true_ms,...\n";
  for (const TraceLine& line : trace) {
    text += std::to_string(line.at_ms) + "\t";
    if (line.action != TraceAction::kSubmit) {
      text += line.action == TraceAction::kCancel ? "cancel\t" : "again\t";
      text += std::to_string(line.count) + "\n";
      continue;
    }
    text += line.caller + "\t" + line.team + "\t" + line.kind + "\t" +
            (line.home.empty() ? "-" : line.home) + "\t" +
            std::to_string(line.deadline_ms) + "\t";
    for (size_t i = 0; i < line.tasks.size(); ++i) {
      text += (i == 0 ? "" : ",") + std::to_string(line.tasks[i].declared_ms) +
              ":" + std::to_string(line.tasks[i].true_ms);
    }
    text += "\n";
  }
  return text;
}

Trace GenerateTrace(const TraceOptions& shape) {
  const bool orders = shape.mix == "orders";
  const KindParameters* begin =
      orders ? std::begin(kOrders) : std::begin(kBells);
  const KindParameters* end = orders ? std::end(kOrders) : std::end(kBells);
  std::mt19937_64 random(shape.seed);
  const double per_ms = shape.load * shape.slots / MeanWorkMs(begin, end);
  Trace trace;
  double at = 0;
  while (at < static_cast<double>(shape.duration_ms)) {
    const auto at_ms = static_cast<int64_t>(at);
    trace.push_back(
        MakeLine(shape, PickKind(begin, end, random), at_ms, random));
    const bool burst =
        shape.rough && at_ms % kBurstPeriodMs < kBurstMs && at_ms > kBurstMs;
    std::exponential_distribution<double> gap(burst ? per_ms * kBurstFactor
                                                    : per_ms);
    at += gap(random);
  }
  if (shape.rough) {
    AddDisturbances(shape, random, trace);
  }
  std::stable_sort(
      trace.begin(), trace.end(),
      [](const TraceLine& a, const TraceLine& b) { return a.at_ms < b.at_ms; });
  return trace;
}

}  // namespace goldcrest
