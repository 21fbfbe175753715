#ifndef GOLDCREST_CONFIGURATION_H_
#define GOLDCREST_CONFIGURATION_H_

// The one document that operators declare, and its strict schema.
//
// ParseConfiguration() reads the JSON document and reports every error with
// its JSON path; ConfigurationJson() writes it back in one canonical order, so
// that equal documents have equal digests. The console, goldcrestctl and the
// daemon all use these two functions, so a document that one accepts is
// accepted by all.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrest/json_reader.h"

namespace goldcrest {

// The service-level objective of a kind: the share `objective` of submissions
// that has to be answered within `target_ms` milliseconds.
struct ServiceObjective {
  int64_t target_ms = 1000;
  double objective = 0.999;
};

// How one kind of submission may be treated.
struct KindPolicy {
  std::string name;
  // Whether a task may run again after a start that may have happened.
  bool idempotent = false;
  // The deadline of a submission that names none, in milliseconds.
  int64_t deadline_ms = 10000;
  // The most starts of one task that may have run.
  int64_t max_attempts = 3;
  // Whether a straggling task may be started a second time on an idle slot.
  // Only an idempotent kind may declare it.
  bool hedge = false;
  // 0 is the most urgent of 0 to kLeastPriority.
  int64_t priority = 4;
  ServiceObjective slo;
};

inline constexpr int64_t kLeastPriority = 9;

// The limits of one team, over the whole service.
struct TeamPolicy {
  std::string name;
  int64_t max_running_tasks = 1000;
  double max_submissions_per_s = 1000;
};

// Limits of every daemon.
struct LimitPolicy {
  // Tasks that one entry VM queues before it refuses more.
  int64_t max_queued_tasks = 20000;
  // How long answers and claims are kept, in seconds.
  int64_t retention_s = 600;
  // Bytes of answers that one entry VM keeps for resubmissions.
  int64_t answer_bytes = 16 * 1024 * 1024;
  // The greatest error of a wall clock, in milliseconds.
  int64_t clock_bound_ms = 500;
  // Retries, as a share of first starts.
  double retry_ratio = 0.1;
};

// The whole document.
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

inline constexpr size_t kMaxKinds = 256;
inline constexpr size_t kMaxTeams = 1024;
inline constexpr size_t kMaxDomains = 64;

// Reads a document; the error lists everything that is wrong with it.
tl::expected<Configuration, FieldErrors> ParseConfiguration(
    const std::string& text);

// Writes `configuration` as canonical JSON: fixed order, no spaces.
std::string ConfigurationJson(const Configuration& configuration);

// Returns the digest of the canonical form.
std::string ConfigurationDigest(const Configuration& configuration);

// Returns {"errors":[...]}, one entry for each error.
std::string ErrorsJson(const FieldErrors& errors);

// Returns the document that a new deployment starts with.
Configuration DefaultConfiguration();

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_H_
