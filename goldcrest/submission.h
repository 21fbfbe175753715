#ifndef GOLDCREST_SUBMISSION_H_
#define GOLDCREST_SUBMISSION_H_

// A caller's submission: reading its JSON body and writing its answers.
//
// ParseSubmission() is strict: an unknown field, a wrong type or a value out
// of range is an error with its JSON path, and nothing else is looked at. The
// digest covers the whole content apart from submitted_at_ms, so that a
// resubmission is recognised and a reused id is refused.

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

// Reads the body of POST /v1/jobs. The error is the first one found.
tl::expected<wire::Submission, FieldError> ParseSubmission(
    const std::string& body);

// Returns the digest of everything in `submission` but submitted_at_ms.
std::string SubmissionDigest(const wire::Submission& submission);

// Reads the body of POST /v1/jobs:cancel into submission ids.
tl::expected<std::vector<std::string>, FieldError> ParseCancelBody(
    const std::string& body);

// Returns an answer with the given outcome, without outputs.
wire::JobResult MakeResult(Outcome outcome, Ran ran, ResultCode code);

// The shortest time after which a caller is told to come back.
inline constexpr int64_t kMinRetryAfterMs = 200;

// Returns the answer "unknown", with the time after which to ask again.
wire::JobResult MakeUnknown(ResultCode code);

// Typed access to the numbers of a JobResult.
inline Outcome OutcomeOf(const wire::JobResult& result) {
  return static_cast<Outcome>(result.outcome());
}
inline Ran RanOf(const wire::JobResult& result) {
  return static_cast<Ran>(result.ran());
}
inline ResultCode CodeOf(const wire::JobResult& result) {
  return ResultCodeFromNumber(static_cast<int>(result.code()));
}

// Returns the JSON body that a caller of `id` gets for `result`.
std::string ResultJson(const std::string& id, const wire::JobResult& result);

// Returns the HTTP status that travels with `result`.
int ResultStatus(const wire::JobResult& result);

// Returns the JSON body of a request error.
std::string ErrorJson(const FieldError& error);

// Says whether `name` may be used as an id or a name: 1 to kMaxNameBytes
// letters, digits, '.', '_', ':' or '-'.
bool IsName(const std::string& name);

}  // namespace goldcrest

#endif  // GOLDCREST_SUBMISSION_H_
