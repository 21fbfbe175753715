#include "goldcrest/testing/fault_trace.h"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <variant>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world.h"

namespace goldcrest {
namespace {

constexpr std::array<std::string_view, 16> kVerbNames = {
    "submit",        "cancel", "put",          "crash",
    "start",         "drain",  "cut",          "cut_vm",
    "cut_domain",    "heal",   "crash_worker", "leave_worker",
    "return_worker", "loss",   "world",        "expect"};

using FieldMember = std::variant<std::string TraceStep::*,
                                 int64_t TraceStep::*,
                                 double TraceStep::*>;

// The name of a field in the text form and the member that stores it.
struct TraceField {
  std::string_view name;
  FieldMember member;
};

const TraceField kFields[] = {
    {"target", &TraceStep::target},
    {"other", &TraceStep::other},
    {"id", &TraceStep::id},
    {"kind", &TraceStep::kind},
    {"home", &TraceStep::home},
    {"tasks", &TraceStep::tasks},
    {"run_ms", &TraceStep::run_ms},
    {"submitted_at_ms", &TraceStep::submitted_at_ms},
    {"version", &TraceStep::version},
    {"service", &TraceStep::service},
    {"team_limit", &TraceStep::team_limit},
    {"keep_disk", &TraceStep::keep_disk},
    {"loss", &TraceStep::loss},
    {"seed", &TraceStep::seed},
    {"shape", &TraceStep::shape},
    {"disk_every", &TraceStep::disk_every},
    {"duplication", &TraceStep::duplication},
    {"retention_s", &TraceStep::retention_s},
    {"outcome", &TraceStep::outcome},
    {"most_starts", &TraceStep::max_attempts_per_task},
};

// Parses a value into a member of a TraceStep. Returns false when the text is
// not of the member's type.
class FieldReader {
 public:
  FieldReader(TraceStep& step, const std::string& text)
      : step_(step), text_(text) {}

  bool operator()(std::string TraceStep::*member) const {
    step_.*member = text_;
    return true;
  }
  bool operator()(int64_t TraceStep::*member) const {
    Poco::Int64 value = 0;
    const bool valid = Poco::NumberParser::tryParse64(text_, value);
    step_.*member = value;
    return valid;
  }
  bool operator()(double TraceStep::*member) const {
    return Poco::NumberParser::tryParseFloat(text_, step_.*member);
  }

 private:
  TraceStep& step_;
  const std::string& text_;
};

bool ReadField(const std::string& word, TraceStep& step) {
  const size_t equals_position = word.find('=');
  if (equals_position == std::string::npos) {
    return false;
  }
  const std::string name = word.substr(0, equals_position);
  const std::string value = word.substr(equals_position + 1);
  for (const TraceField& field : kFields) {
    if (field.name == name) {
      return std::visit(FieldReader(step, value), field.member);
    }
  }
  return false;
}

bool ReadVerb(const std::string& name, TraceVerb& verb) {
  const auto found = std::find(kVerbNames.begin(), kVerbNames.end(), name);
  verb = static_cast<TraceVerb>(found - kVerbNames.begin());
  return found != kVerbNames.end();
}

bool ReadStep(const std::string& line, TraceStep& step) {
  const Poco::StringTokenizer words(line, " ",
                                    Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  Poco::Int64 at = 0;
  if (words.count() < 2 || !Poco::NumberParser::tryParse64(words[0], at) ||
      !ReadVerb(words[1], step.verb)) {
    return false;
  }
  step.at = at;
  return std::all_of(words.begin() + 2, words.end(),
                     [&](const auto& word) { return ReadField(word, step); });
}

template <typename T>
void WriteField(std::ostream& out,
                std::string_view name,
                const T& value,
                const T& default_value) {
  if (value != default_value) {
    out << ' ' << name << '=' << value;
  }
}

wire::Submission SubmissionOf(const TraceStep& step, const FakeWorld& world) {
  wire::Submission submission =
      world.MakeSubmission(step.id, step.kind, static_cast<int>(step.tasks),
                           static_cast<uint64_t>(step.run_ms));
  if (!step.home.empty()) {
    submission.set_home(step.home);
    submission.set_digest(SubmissionDigest(submission));
  }
  submission.set_submitted_at_ms(step.submitted_at_ms);
  return submission;
}

Configuration ConfigurationOf(const TraceStep& step, int64_t retention_s) {
  Configuration configuration = DefaultConfiguration();
  configuration.limits.retention_s = retention_s;
  configuration.service = step.service;
  configuration.teams.front().max_running_tasks = step.team_limit;
  return configuration;
}

void PerformStep(const TraceStep& step, int64_t retention_s, FakeWorld& world) {
  switch (step.verb) {
    case TraceVerb::kSubmit:
      return world.Submit(step.target, SubmissionOf(step, world));
    case TraceVerb::kCancel:
      return world.Cancel(step.target, step.id);
    case TraceVerb::kPut:
      return world.PutConfiguration(step.target,
                                    static_cast<uint64_t>(step.version),
                                    ConfigurationOf(step, retention_s));
    case TraceVerb::kCrash:
      return world.CrashVm(step.target);
    case TraceVerb::kStart:
      return world.StartVm(step.target, step.keep_disk != 0);
    case TraceVerb::kDrain:
      return world.Drain(step.target);
    case TraceVerb::kCut:
      return world.Cut(step.target, step.other);
    case TraceVerb::kCutVm:
      return world.CutVm(step.target);
    case TraceVerb::kCutDomain:
      return world.CutDomain(step.target);
    case TraceVerb::kHeal:
      return world.HealCuts();
    case TraceVerb::kCrashWorker:
      return world.CrashWorker(step.target);
    case TraceVerb::kLeaveWorker:
      return world.AnnounceLeaving(step.target);
    case TraceVerb::kReturnWorker:
      return world.RestartLeftWorker(step.target);
    case TraceVerb::kLoss:
      return world.SetLoss(step.loss);
    case TraceVerb::kWorld:
    case TraceVerb::kExpect:
      return;
  }
}

const TraceStep& WorldStep(const FaultTrace& trace) {
  static const TraceStep default_value;
  const auto found = std::find_if(
      trace.begin(), trace.end(),
      [](const TraceStep& step) { return step.verb == TraceVerb::kWorld; });
  return found == trace.end() ? default_value : *found;
}

// Returns a message if the expectation of `step` does not hold, else an empty
// string.
std::string FailedExpectation(const TraceStep& step, const FakeWorld& world) {
  const wire::JobResult* last = world.LastAnswer(step.id);
  const Outcome outcome =
      last == nullptr ? Outcome::kPending : OutcomeOf(*last);
  const bool holds = step.outcome == "any" ? world.HasFinalAnswer(step.id)
                                           : ToString(outcome) == step.outcome;
  if (!holds) {
    return step.id + " has the outcome " + std::string(ToString(outcome)) +
           ", expected " + step.outcome;
  }
  const auto& submission = world.submissions().at(step.id).submission;
  for (int index = 0; index < submission.tasks_size(); ++index) {
    const int starts =
        world.CountAttempts(step.id, static_cast<uint32_t>(index));
    if (starts > step.max_attempts_per_task) {
      return step.id + " had a task started " + std::to_string(starts) +
             " times";
    }
  }
  return "";
}

}  // namespace

tl::expected<FaultTrace, std::string> ReadFaultTrace(const std::string& text) {
  FaultTrace trace;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty() || line[0] == '#') {
      continue;
    }
    TraceStep step;
    if (!ReadStep(line, step)) {
      return tl::make_unexpected("line " + std::to_string(number) +
                                 " is not a valid trace step: " + line);
    }
    trace.push_back(std::move(step));
  }
  return trace;
}

std::string WriteTraceStep(const TraceStep& step) {
  static const TraceStep kDefaults;
  std::ostringstream out;
  out << step.at << ' ' << kVerbNames[static_cast<size_t>(step.verb)];
  for (const TraceField& field : kFields) {
    std::visit(
        [&](auto member) {
          WriteField(out, field.name, step.*member, kDefaults.*member);
        },
        field.member);
  }
  return out.str();
}

WorldOptions WorldOptionsOfTrace(const FaultTrace& trace) {
  const TraceStep& step = WorldStep(trace);
  WorldOptions options;
  options.seed = static_cast<uint64_t>(step.seed);
  options.vms_per_domain.clear();
  for (const std::string& vms : Poco::StringTokenizer(step.shape, ",")) {
    options.vms_per_domain.push_back(Poco::NumberParser::parse(vms));
  }
  options.disk_every = static_cast<int>(step.disk_every);
  options.loss = step.loss;
  options.duplication = step.duplication;
  options.configuration = DefaultConfiguration();
  options.configuration.limits.retention_s = step.retention_s;
  return options;
}

void ReplayFaultTrace(const FaultTrace& trace, Micros end, FakeWorld& world) {
  const int64_t retention_s = WorldStep(trace).retention_s;
  for (const TraceStep& step : trace) {
    if (step.verb != TraceVerb::kExpect && step.verb != TraceVerb::kWorld) {
      world.RunUntil(step.at);
      PerformStep(step, retention_s, world);
    }
  }
  world.RunUntil(end);
}

std::vector<std::string> FailedExpectations(const FaultTrace& trace,
                                            const FakeWorld& world) {
  std::vector<std::string> failed;
  for (const TraceStep& step : trace) {
    if (step.verb != TraceVerb::kExpect) {
      continue;
    }
    const std::string message = FailedExpectation(step, world);
    if (!message.empty()) {
      failed.push_back(message);
    }
  }
  return failed;
}

}  // namespace goldcrest
