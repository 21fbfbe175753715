#include "goldcrest/submission.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "goldcrest/digest.h"

namespace goldcrest {
namespace {

constexpr TextRange kNameRange = {1, kMaxNameBytes};
constexpr IntegerRange kRunMsRange = {0, kMaxDeadlineMs};
constexpr IntegerRange kMemoryRange = {0, 16 * 1024 * 1024};
constexpr IntegerRange kAcceleratorRange = {0, 1024};
constexpr IntegerRange kWallRange = {0, 253402300799999};  // end of year 9999
constexpr size_t kMaxCancelIds = 20000;

void CheckName(ObjectReader& reader,
               const std::string& name,
               const std::string& value) {
  if (!value.empty() && !IsValidName(value)) {
    reader.Fail(name, ResultCode::kOutOfRange,
                "expected letters, digits, '.', '_', ':' or '-'");
  }
}

std::string ReadName(ObjectReader& reader, const std::string& name) {
  std::string value = reader.Text(name, kNameRange);
  CheckName(reader, name, value);
  return value;
}

void ReadTask(const Poco::Dynamic::Var& value,
              const std::string& path,
              FieldErrors& errors,
              wire::Task& task) {
  ObjectReader reader(value, path, errors);
  task.set_run_ms(static_cast<uint64_t>(reader.Integer("run_ms", kRunMsRange)));
  task.set_payload(reader.Text("payload", {0, kMaxPayloadBytes}, ""));
  task.set_memory_mb(
      static_cast<uint32_t>(reader.Integer("memory_mb", kMemoryRange, 0)));
  task.set_accelerators(static_cast<uint32_t>(
      reader.Integer("accelerators", kAcceleratorRange, 0)));
  reader.Finish();
}

void AppendAnswers(const wire::JobResult& result, std::string& json) {
  json += ",\"answers\":[";
  for (int i = 0; i < result.outputs_size(); ++i) {
    json += i == 0 ? "" : ",";
    json += "{\"index\":" + std::to_string(i) +
            ",\"output\":" + JsonQuote(result.outputs(i)) + "}";
  }
  json += "]";
}

}  // namespace

bool IsValidName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == ':' || c == '-';
  });
}

tl::expected<wire::Submission, FieldError> ParseSubmission(
    const std::string& body) {
  const auto json = ParseJson(body);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  wire::Submission submission;
  submission.set_submission_id(ReadName(reader, "submission_id"));
  submission.set_caller(ReadName(reader, "caller"));
  submission.set_team(ReadName(reader, "team"));
  submission.set_kind(ReadName(reader, "kind"));
  if (reader.Has("home")) {
    submission.set_home(ReadName(reader, "home"));
  }
  submission.set_submitted_at_ms(
      reader.Integer("submitted_at_ms", kWallRange, 0));
  submission.set_deadline_ms(
      reader.Integer("deadline_ms", {1, kMaxDeadlineMs}, 0));
  const Poco::JSON::Array::Ptr tasks =
      reader.Array("tasks", kMaxTasksPerSubmission);
  for (size_t i = 0; i < tasks->size(); ++i) {
    ReadTask(tasks->get(static_cast<unsigned>(i)),
             "tasks[" + std::to_string(i) + "]", errors,
             *submission.add_tasks());
  }
  reader.Finish();
  if (errors.empty() && submission.tasks_size() == 0) {
    reader.Fail("tasks", ResultCode::kOutOfRange, "expected at least one task");
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors.front());
  }
  submission.set_digest(SubmissionDigest(submission));
  return submission;
}

std::string SubmissionDigest(const wire::Submission& submission) {
  wire::Submission content = submission;
  content.clear_submitted_at_ms();
  content.clear_digest();
  return Sha256Hex(content.SerializeAsString());
}

tl::expected<std::vector<std::string>, FieldError> ParseCancelBody(
    const std::string& body) {
  const auto json = ParseJson(body);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  const Poco::JSON::Array::Ptr array =
      reader.Array("submission_ids", kMaxCancelIds);
  std::vector<std::string> ids;
  for (size_t i = 0; i < array->size(); ++i) {
    const Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
    if (!value.isString() || !IsValidName(value.extract<std::string>())) {
      reader.Fail("submission_ids[" + std::to_string(i) + "]",
                  ResultCode::kOutOfRange, "expected a submission id");
      break;
    }
    ids.push_back(value.extract<std::string>());
  }
  reader.Finish();
  if (!errors.empty()) {
    return tl::make_unexpected(errors.front());
  }
  return ids;
}

wire::JobResult MakeResult(Outcome outcome, Ran ran, ResultCode code) {
  wire::JobResult result;
  result.set_outcome(static_cast<uint32_t>(outcome));
  result.set_ran(static_cast<uint32_t>(ran));
  result.set_code(static_cast<uint32_t>(code));
  result.set_message(std::string(RowOf(code).meaning));
  return result;
}

wire::JobResult MakeUnknown(ResultCode code) {
  wire::JobResult result = MakeResult(Outcome::kUnknown, Ran::kUnknown, code);
  result.set_retry_after_ms(kMinRetryAfterMs);
  return result;
}

std::string ResultJson(const std::string& id, const wire::JobResult& result) {
  const Outcome outcome = OutcomeOf(result);
  std::string json = "{\"submission_id\":" + JsonQuote(id) + ",\"outcome\":\"" +
                     std::string(ToString(outcome)) + "\"";
  if (outcome == Outcome::kComplete) {
    AppendAnswers(result, json);
  } else if (outcome != Outcome::kPending) {
    const ResultCode code = CodeOf(result);
    json += ",\"ran\":\"" + std::string(ToString(RanOf(result))) + "\"";
    json += ",\"code\":" + std::to_string(static_cast<int>(code));
    json += ",\"name\":\"" + std::string(RowOf(code).name) + "\"";
    json += ",\"message\":" + JsonQuote(result.message());
    if (outcome == Outcome::kRefused || outcome == Outcome::kUnknown) {
      json += ",\"retry_after_ms\":" + std::to_string(result.retry_after_ms());
    }
  }
  return json + "}";
}

int ResultStatus(const wire::JobResult& result) {
  switch (OutcomeOf(result)) {
    case Outcome::kPending:
      return 202;
    case Outcome::kComplete:
      return 200;
    default:
      return RowOf(CodeOf(result)).http_status;
  }
}

std::string ErrorJson(const FieldError& error) {
  return "{\"code\":" + std::to_string(static_cast<int>(error.code)) +
         ",\"name\":\"" + std::string(RowOf(error.code).name) +
         "\",\"message\":" + JsonQuote(error.message) +
         ",\"field\":" + JsonQuote(error.field) + "}";
}

}  // namespace goldcrest
