#include "goldcrest/result_code.h"

#include <array>

namespace goldcrest {
namespace {

using enum ResultCode;

constexpr ResultCodeRow kRows[] = {
    {kOk, "ok", 200, "The request succeeded."},
    {kMalformedBody, "malformed_body", 400,
     "The body is not the JSON that the path expects."},
    {kUnknownField, "unknown_field", 400,
     "The body has a field that the path does not know."},
    {kMissingField, "missing_field", 400, "The body lacks a required field."},
    {kOutOfRange, "out_of_range", 400,
     "A field's value is out of its range or of another type."},
    {kBodyTooLarge, "body_too_large", 413,
     "The body is longer than the daemon accepts."},
    {kNotFound, "not_found", 404,
     "No such path, or no such submission is known."},
    {kMethodNotAllowed, "method_not_allowed", 405,
     "The path exists but not with this method."},
    {kReusedId, "reused_id", 409,
     "The submission id was used before with other content."},
    {kUnknownKind, "unknown_kind", 400,
     "The kind is not declared in the configuration in force."},
    {kUnknownTeam, "unknown_team", 400,
     "The team is not declared in the configuration in force."},
    {kUnknownDomain, "unknown_domain", 400,
     "The failure domain has no entry VM."},
    {kLengthRequired, "length_required", 411,
     "The body needs a Content-Length."},
    {kHeaderTooLarge, "header_too_large", 431,
     "The request header is longer than the daemon accepts."},
    {kRequestTimeout, "request_timeout", 408,
     "The request was not complete in time."},
    {kQueueFull, "queue_full", 429,
     "The queue is full; nothing of the submission ran."},
    {kDeadlineUnreachable, "deadline_unreachable", 429,
     "The expected wait passes the deadline; nothing ran."},
    {kTeamRate, "team_rate", 429,
     "The team's submission rate is used up; nothing ran."},
    {kNeverFits, "never_fits", 422,
     "No declared or announced worker could hold a task; nothing ran."},
    {kDraining, "draining", 503,
     "The VM is shutting down and accepted nothing; nothing ran."},
    {kNoWorkers, "no_workers", 503,
     "No worker serves the home failure domain; nothing ran."},
    {kNoConfiguration, "no_configuration", 503,
     "No configuration is in force yet; nothing was started now."},
    {kDeadlineExceeded, "deadline_exceeded", 504,
     "The deadline passed before every task had finished."},
    {kTaskFailed, "task_failed", 500, "A task failed and may not be repeated."},
    {kWorkerLost, "worker_lost", 500,
     "A worker was lost while it may have run a task that may not be "
     "repeated."},
    {kCancelled, "cancelled", 500, "The submission was cancelled."},
    {kAttemptsExhausted, "attempts_exhausted", 500,
     "A task failed on every attempt its kind allows."},
    {kAnswerDropped, "answer_dropped", 500,
     "The submission ran whole, but its answer is no longer kept."},
    {kNoQuorum, "no_quorum", 503,
     "No majority of claim voters answered; nothing was started now."},
    {kHomeUnreachable, "home_unreachable", 503,
     "No entry VM of the home failure domain answers; nothing was started "
     "now."},
    {kOwnerUnreachable, "owner_unreachable", 503,
     "The VM that owns the submission does not answer; nothing was started "
     "now."},
    {kVersionConflict, "version_conflict", 409,
     "Another configuration version is in force."},
    {kInvalidDocument, "invalid_document", 422,
     "The configuration document has errors."},
    {kConfigurationRefused, "configuration_refused", 503,
     "No majority of configuration voters; nothing changed."},
    {kConfigurationUnknown, "configuration_unknown", 504,
     "Not known yet whether the change was accepted; send the same again."},
    {kWorkerDomain, "worker_domain", 422,
     "The backend server's failure domain is not this VM's."},
    {kLeaseHolderUnreachable, "lease_holder_unreachable", 503,
     "The VM that holds the worker's lease did not answer."},
    {kStaleIncarnation, "stale_incarnation", 409,
     "A newer incarnation of this backend server is announced."},
    {kOverloaded, "overloaded", 503,
     "The daemon has no room for another request; nothing was started now."},
    {kInternal, "internal", 500,
     "An internal check failed; the request was ended safely."},
};

}  // namespace

std::span<const ResultCodeRow> ResultCodeTable() {
  return kRows;
}

const ResultCodeRow& RowOf(ResultCode code) {
  for (const ResultCodeRow& row : kRows) {
    if (row.code == code) {
      return row;
    }
  }
  return RowOf(kInternal);
}

ResultCode ResultCodeFromNumber(int number) {
  for (const ResultCodeRow& row : kRows) {
    if (static_cast<int>(row.code) == number) {
      return row.code;
    }
  }
  return kInternal;
}

}  // namespace goldcrest
