#ifndef GOLDCREST_SUBMISSION_H_
#define GOLDCREST_SUBMISSION_H_

// Submissions of callers: parsing of the JSON bodies and formatting of the
// answers.
//
// ParseSubmission() is strict: an unknown field, a wrong type or a value out of
// range is an error with its JSON path, and the submission is rejected. The
// digest covers the whole content apart from submitted_at_ms, so that a
// resubmission is recognised and the reuse of an id for other content is
// refused.

#include <string>

#include <tl/expected.hpp>

#include "goldcrest/json_reader.h"
#include "goldcrest/outcome.h"
#include "goldcrest/result_code.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

inline constexpr size_t kMaxTasksPerSubmission = 1024;
inline constexpr size_t kMaxNameBytes = 128;
inline constexpr size_t kMaxPayloadBytes = 65536;
inline constexpr int64_t kMaxDeadlineMs = 10 * 60 * 1000;

// Parses the body of POST /v1/jobs. Returns the first error found, if any.
tl::expected<wire::Submission, FieldError> ParseSubmission(
    const std::string& body);

// Returns the digest of everything in `submission` except submitted_at_ms.
std::string SubmissionDigest(const wire::Submission& submission);

// Parses the body of POST /v1/jobs:cancel and returns the submission ids.
// Returns the first error found, if any.
tl::expected<std::vector<std::string>, FieldError> ParseCancelBody(
    const std::string& body);

// Returns a result with the given outcome and without task outputs. Its message
// is the text of `code` in the table of result codes.
wire::JobResult MakeResult(Outcome outcome, Ran ran, ResultCode code);

// The shortest retry delay that an answer names to a caller.
inline constexpr int64_t kMinRetryAfterMs = 200;

// Returns a result with the outcome "unknown" and the retry delay
// kMinRetryAfterMs.
wire::JobResult MakeUnknown(ResultCode code);

// Convert the numeric fields of a JobResult to their enums.
inline Outcome OutcomeOf(const wire::JobResult& result) {
  return static_cast<Outcome>(result.outcome());
}
inline Ran RanOf(const wire::JobResult& result) {
  return static_cast<Ran>(result.ran());
}
inline ResultCode CodeOf(const wire::JobResult& result) {
  return ResultCodeFromNumber(static_cast<int>(result.code()));
}

// Returns the JSON body of the answer that reports `result` for the submission
// `id`.
std::string ResultJson(const std::string& id, const wire::JobResult& result);

// Returns the HTTP status of the answer that reports `result`.
int ResultStatus(const wire::JobResult& result);

// Returns the JSON body of a request error.
std::string ErrorJson(const FieldError& error);

// Returns true if `name` is valid as an id or a name: 1 to kMaxNameBytes
// letters, digits, '.', '_', ':' or '-'.
bool IsValidName(const std::string& name);

}  // namespace goldcrest

#endif  // GOLDCREST_SUBMISSION_H_
