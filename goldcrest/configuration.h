#ifndef GOLDCREST_CONFIGURATION_H_
#define GOLDCREST_CONFIGURATION_H_

// The configuration document that operators declare, and its strict schema.
//
// ParseConfiguration() reads the JSON document and reports every error with its
// JSON path. ConfigurationJson() writes it in a canonical order, so that equal
// documents have equal digests. The console, goldcrestctl and the daemon all
// use these two functions, so that a document that one of them accepts is
// accepted by all.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrest/json_reader.h"

namespace goldcrest {

// The service-level objective of a kind: the share `objective` of submissions
// must be answered within `target_ms` milliseconds.
struct ServiceObjective {
  int64_t target_ms = 1000;
  double objective = 0.999;
};

// How submissions of one kind are executed.
struct KindPolicy {
  std::string name;
  // Whether a task may be started again after an attempt that may have run.
  bool idempotent = false;
  // The deadline of a submission that specifies none, in milliseconds.
  int64_t deadline_ms = 10000;
  // The maximum number of attempts of one task that may have run.
  int64_t max_attempts = 3;
  // Whether a second attempt of a straggling task may be started on an idle
  // slot. Allowed for idempotent kinds only.
  bool hedge = false;
  // From 0, the most urgent, to kLowestPriority.
  int64_t priority = 4;
  ServiceObjective slo;
};

// The value of the least urgent priority.
inline constexpr int64_t kLowestPriority = 9;

// The limits of one team. They apply to the whole service.
struct TeamPolicy {
  std::string name;
  int64_t max_running_tasks = 1000;
  double max_submissions_per_s = 1000;
};

// Limits that apply to every daemon.
struct LimitPolicy {
  // The number of tasks that one entry VM queues; it refuses more.
  int64_t max_queued_tasks = 20000;
  // How long answers and claims are kept, in seconds.
  int64_t retention_s = 600;
  // Bytes of answers that one entry VM keeps for resubmissions.
  int64_t answer_bytes = 16 * 1024 * 1024;
  // The maximum error of a wall clock, in milliseconds.
  int64_t clock_bound_ms = 500;
  // Retries allowed, as a share of first attempts.
  double retry_ratio = 0.1;
};

// The whole document, parsed.
struct Configuration {
  std::string service;
  std::vector<KindPolicy> kinds;
  std::vector<TeamPolicy> teams;
  std::vector<std::string> failure_domains;
  LimitPolicy limits;

  // Returns the policy of the kind `name`, or null.
  const KindPolicy* FindKind(const std::string& name) const;

  // Returns the policy of the team `name`, or null.
  const TeamPolicy* FindTeam(const std::string& name) const;
};

// The maximum lengths of the lists in a document.
inline constexpr size_t kMaxKinds = 256;
inline constexpr size_t kMaxTeams = 1024;
inline constexpr size_t kMaxDomains = 64;

// Parses a document. On failure returns every error in it.
tl::expected<Configuration, FieldErrors> ParseConfiguration(
    const std::string& text);

// Returns `configuration` as canonical JSON: fixed order, no spaces.
std::string ConfigurationJson(const Configuration& configuration);

// Returns the SHA-256 of the canonical form, in hexadecimal digits.
std::string ConfigurationDigest(const Configuration& configuration);

// Returns a JSON object with the code and name of kInvalidDocument and an array
// "errors" with one entry for each error.
std::string ErrorsJson(const FieldErrors& errors);

// Returns the document that a new deployment starts with.
Configuration DefaultConfiguration();

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_H_
