#ifndef GOLDCREST_RESULT_CODE_H_
#define GOLDCREST_RESULT_CODE_H_

// The numbered result codes that callers, operators and logs see.
//
// Each code has one row in a table: its number, its name, its HTTP status and
// one sentence that explains it. docs/RESULT_CODES.md prints the same table,
// and a test compares the two. Numbers are never reused.

#include <span>
#include <string_view>

namespace goldcrest {

// A result code. The hundreds digit groups the codes: 1xx requests, 2xx
// admission, 3xx execution, 4xx claims, 5xx configuration, 6xx workers, 9xx the
// daemon itself.
enum class ResultCode : int {
  kOk = 0,
  kMalformedBody = 100,
  kUnknownField = 101,
  kMissingField = 102,
  kOutOfRange = 103,
  kBodyTooLarge = 104,
  kNotFound = 105,
  kMethodNotAllowed = 106,
  kReusedId = 107,
  kUnknownKind = 108,
  kUnknownTeam = 109,
  kUnknownDomain = 110,
  kLengthRequired = 111,
  kHeaderTooLarge = 112,
  kRequestTimeout = 113,
  kQueueFull = 200,
  kDeadlineUnreachable = 201,
  kTeamRate = 202,
  kNeverFits = 203,
  kDraining = 204,
  kNoWorkers = 205,
  kNoConfiguration = 206,
  kDeadlineExceeded = 300,
  kTaskFailed = 301,
  kWorkerLost = 302,
  kCancelled = 303,
  kAttemptsExhausted = 304,
  kAnswerDropped = 305,
  kNoQuorum = 400,
  kHomeUnreachable = 401,
  kOwnerUnreachable = 402,
  kVersionConflict = 500,
  kInvalidDocument = 501,
  kConfigurationRefused = 502,
  kConfigurationUnknown = 503,
  kWorkerDomain = 600,
  kLeaseHolderUnreachable = 601,
  kStaleIncarnation = 602,
  kOverloaded = 900,
  kInternal = 901,
};

// One row of the table of result codes.
struct ResultCodeRow {
  ResultCode code;
  int http_status;
  std::string_view name;
  std::string_view meaning;
};

// Returns every row, ordered by number.
std::span<const ResultCodeRow> ResultCodeTable();

// Returns the row of `code`, or the row of kInternal if `code` has none.
const ResultCodeRow& RowOf(ResultCode code);

// Returns the code with the number `number`, or kInternal if there is none.
ResultCode ResultCodeFromNumber(int number);

}  // namespace goldcrest

#endif  // GOLDCREST_RESULT_CODE_H_
