#include "goldcrest/result_code.h"

#include <array>

namespace goldcrest {
namespace {

using enum ResultCode;

constexpr ResultCodeRow kRows[] = {
    {kOk, 200, "ok", "The request succeeded."},
    {kMalformedBody, 400, "malformed_body",
     "The body is not the JSON that the path expects."},
    {kUnknownField, 400, "unknown_field",
     "The body has a field that the path does not know."},
    {kMissingField, 400, "missing_field", "The body lacks a required field."},
    {kOutOfRange, 400, "out_of_range",
     "A field's value is out of its range or of another type."},
    {kBodyTooLarge, 413, "body_too_large",
     "The body is longer than the daemon accepts."},
    {kNotFound, 404, "not_found",
     "No such path, or no such submission is known."},
    {kMethodNotAllowed, 405, "method_not_allowed",
     "The path exists but not with this method."},
    {kReusedId, 409, "reused_id",
     "The submission id was used before with other content."},
    {kUnknownKind, 400, "unknown_kind",
     "The kind is not declared in the configuration in force."},
    {kUnknownTeam, 400, "unknown_team",
     "The team is not declared in the configuration in force."},
    {kUnknownDomain, 400, "unknown_domain",
     "The failure domain has no entry VM."},
    {kLengthRequired, 411, "length_required",
     "The body needs a Content-Length."},
    {kHeaderTooLarge, 431, "header_too_large",
     "The request header is longer than the daemon accepts."},
    {kRequestTimeout, 408, "request_timeout",
     "The request was not complete in time."},
    {kQueueFull, 429, "queue_full",
     "The queue is full; nothing of the submission ran."},
    {kDeadlineUnreachable, 429, "deadline_unreachable",
     "The expected wait passes the deadline; nothing ran."},
    {kTeamRate, 429, "team_rate",
     "The team's submission rate is used up; nothing ran."},
    {kNeverFits, 422, "never_fits",
     "No declared or announced worker could hold a task; nothing ran."},
    {kDraining, 503, "draining",
     "The VM is shutting down and accepted nothing; nothing ran."},
    {kNoWorkers, 503, "no_workers",
     "No worker serves the home failure domain; nothing ran."},
    {kNoConfiguration, 503, "no_configuration",
     "No configuration is in force yet; nothing was started now."},
    {kDeadlineExceeded, 504, "deadline_exceeded",
     "The deadline passed before every task had finished."},
    {kTaskFailed, 500, "task_failed", "A task failed and may not be repeated."},
    {kWorkerLost, 500, "worker_lost",
     "A worker was lost while it may have run a task that may not be "
     "repeated."},
    {kCancelled, 500, "cancelled", "The submission was cancelled."},
    {kAttemptsExhausted, 500, "attempts_exhausted",
     "A task failed on every attempt its kind allows."},
    {kAnswerDropped, 500, "answer_dropped",
     "The submission ran whole, but its answer is no longer kept."},
    {kNoQuorum, 503, "no_quorum",
     "No majority of claim voters answered; nothing was started now."},
    {kHomeUnreachable, 503, "home_unreachable",
     "No entry VM of the home failure domain answers; nothing was started "
     "now."},
    {kOwnerUnreachable, 503, "owner_unreachable",
     "The VM that owns the submission does not answer; nothing was started "
     "now."},
    {kVersionConflict, 409, "version_conflict",
     "Another configuration version is in force."},
    {kInvalidDocument, 422, "invalid_document",
     "The configuration document has errors."},
    {kConfigurationRefused, 503, "configuration_refused",
     "No majority of configuration voters; nothing changed."},
    {kConfigurationUnknown, 504, "configuration_unknown",
     "Not known yet whether the change was accepted; send the same again."},
    {kWorkerDomain, 422, "worker_domain",
     "The backend server's failure domain is not this VM's."},
    {kLeaseHolderUnreachable, 503, "lease_holder_unreachable",
     "The VM that holds the worker's lease did not answer."},
    {kStaleIncarnation, 409, "stale_incarnation",
     "A newer incarnation of this backend server is announced."},
    {kOverloaded, 503, "overloaded",
     "The daemon has no room for another request; nothing was started now."},
    {kInternal, 500, "internal",
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
