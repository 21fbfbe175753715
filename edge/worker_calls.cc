#include "edge/worker_calls.h"

#include <algorithm>
#include <optional>

#include "goldcrest/blackboard.h"
#include "goldcrest/json_reader.h"

namespace goldcrest {
namespace {

// Added to the task's deadline to get the timeout of a start request, so that
// the response can still arrive.
constexpr Micros kStartResponseGrace = 500 * kMillisecond;
constexpr Micros kStopTimeout = 2 * kSecond;
constexpr Micros kLookupTimeout = 600 * kMillisecond;

std::string TaskPath(const std::string& submission_id, uint32_t index) {
  return "/v1/tasks/" + TaskKey(submission_id, index);
}

// The fields of a worker's response that are used here.
struct TaskBody {
  std::string task_id;
  std::string state;
  std::string output;
  uint64_t lease_epoch = 0;
  uint64_t incarnation = 0;
};

// Returns the field, or an empty string if it is not a string.
std::string StringField(const Poco::JSON::Object& object,
                        const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  return value.isString() ? value.extract<std::string>() : "";
}

// Returns the field, or 0 if it is not an integer that fits into 64 bits. Never
// throws, since a worker's answer must not terminate the daemon.
uint64_t Uint64Field(const Poco::JSON::Object& object,
                     const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
    return 0;
  }
  try {
    return value.convert<uint64_t>();
  } catch (const Poco::Exception&) {
    return 0;
  }
}

// Parses a response body. Unknown fields are ignored here, unlike in requests
// to this daemon, since workers may be of a later version.
std::optional<TaskBody> ReadBody(const std::string& text) {
  const auto json = ParseJson(text);
  if (!json || json->type() != typeid(Poco::JSON::Object::Ptr)) {
    return std::nullopt;
  }
  const auto object = json->extract<Poco::JSON::Object::Ptr>();
  TaskBody body;
  body.task_id = StringField(*object, "task_id");
  body.state = StringField(*object, "state");
  body.output = StringField(*object, "output");
  body.lease_epoch = Uint64Field(*object, "lease_epoch");
  body.incarnation = Uint64Field(*object, "incarnation");
  return body;
}

// Maps the HTTP status of a response to a start request. A 200 counts as done
// only if its body is valid, which the caller checks.
TaskOutcome OutcomeOfStatus(int status) {
  switch (status) {
    case 200:
      return TaskOutcome::kDone;
    case 409:
      return TaskOutcome::kStaleEpoch;
    case 429:
      return TaskOutcome::kNoSlot;
    case 500:
      return TaskOutcome::kFailed;
    case 503:
      return TaskOutcome::kLeaving;
    default:
      return TaskOutcome::kUnanswered;
  }
}

// Maps the "state" field of a response to a lookup.
TaskOutcome OutcomeOfState(const std::string& state) {
  if (state == "done") {
    return TaskOutcome::kDone;
  }
  if (state == "running") {
    return TaskOutcome::kRunning;
  }
  if (state == "failed") {
    return TaskOutcome::kFailed;
  }
  return state == "never_seen" ? TaskOutcome::kNeverSeen
                               : TaskOutcome::kLookupFailed;
}

}  // namespace

HttpCall EncodeStartCall(const StartTask& start) {
  HttpCall call;
  call.address = start.address;
  call.method = "POST";
  call.path = "/v1/tasks";
  call.timeout = std::max<int64_t>(start.deadline_ms, 0) * kMillisecond +
                 kStartResponseGrace;
  call.body =
      "{\"task_id\":" + JsonQuote(TaskKey(start.submission_id, start.index)) +
      ",\"attempt\":" + std::to_string(start.attempt) +
      ",\"lease_epoch\":" + std::to_string(start.lease_epoch) +
      ",\"run_ms\":" + std::to_string(start.run_ms) +
      ",\"deadline_ms\":" + std::to_string(start.deadline_ms) +
      ",\"payload\":" + JsonQuote(start.payload) +
      ",\"idempotent\":" + (start.idempotent ? "true" : "false") + "}";
  return call;
}

HttpCall EncodeStopCall(const StopTask& stop) {
  HttpCall call;
  call.address = stop.address;
  call.method = "DELETE";
  call.path = TaskPath(stop.submission_id, stop.index);
  call.timeout = kStopTimeout;
  return call;
}

HttpCall EncodeLookupCall(const LookupTask& lookup) {
  HttpCall call;
  call.address = lookup.address;
  call.method = "GET";
  call.path = TaskPath(lookup.submission_id, lookup.index);
  call.timeout = kLookupTimeout;
  return call;
}

TaskAnswer DecodeStartResponse(const StartTask& start,
                               CallEnd end,
                               const HttpResponse& response) {
  TaskAnswer answer;
  answer.worker = start.worker;
  answer.submission_id = start.submission_id;
  answer.index = start.index;
  answer.attempt = start.attempt;
  if (end != CallEnd::kResponse) {
    answer.outcome =
        IsUnsent(end) ? TaskOutcome::kNotSent : TaskOutcome::kUnanswered;
    return answer;
  }
  answer.outcome = OutcomeOfStatus(response.status);
  if (answer.outcome != TaskOutcome::kDone) {
    return answer;
  }
  const auto body = ReadBody(response.body);
  if (!body || body->task_id != TaskKey(start.submission_id, start.index)) {
    answer.outcome = TaskOutcome::kUnanswered;
    return answer;
  }
  answer.output = body->output;
  return answer;
}

TaskAnswer DecodeLookupResponse(const LookupTask& lookup,
                                CallEnd end,
                                const HttpResponse& response) {
  TaskAnswer answer;
  answer.worker = lookup.worker;
  answer.submission_id = lookup.submission_id;
  answer.index = lookup.index;
  answer.attempt = lookup.attempt;
  answer.is_lookup = true;
  answer.outcome = TaskOutcome::kLookupFailed;
  const bool readable = end == CallEnd::kResponse &&
                        (response.status == 200 || response.status == 404);
  const auto body = readable ? ReadBody(response.body) : std::nullopt;
  if (!body) {
    return answer;
  }
  answer.outcome = OutcomeOfState(body->state);
  answer.output = body->output;
  answer.lease_epoch = body->lease_epoch;
  answer.worker_incarnation = body->incarnation;
  return answer;
}

}  // namespace goldcrest
