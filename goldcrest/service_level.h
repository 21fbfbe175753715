#ifndef GOLDCREST_SERVICE_LEVEL_H_
#define GOLDCREST_SERVICE_LEVEL_H_

// Counters of service levels. There is one series for each kind and failure
// domain, and in each series the answers are counted by result. The daemon
// counts them, its metrics export them, and the burn-rate report reads them
// back.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

// One minute in milliseconds, by the wall clock.
inline constexpr int64_t kMinuteMs = 60'000;

// Identifies one series of service levels.
struct SeriesKey {
  std::string kind;
  std::string failure_domain;

  friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
};

// How one submission counts towards the latency objective of its kind.
enum class AnswerResult : uint32_t {
  kGood = 0,     // complete, within the target time
  kSlow = 1,     // complete, after the target time
  kFailed = 2,   // failed as a whole
  kRefused = 3,  // not run
  kUnknown = 4,  // not known whether it ran
};

inline constexpr std::array<std::string_view, 5> kAnswerResultNames = {
    "good", "slow", "failed", "refused", "unknown"};

// Returns the name of `result` in metrics and reports.
constexpr std::string_view ToString(AnswerResult result) {
  return kAnswerResultNames[static_cast<size_t>(result)];
}

// Returns the result called `name`, or nullopt if there is none.
constexpr std::optional<AnswerResult> AnswerResultFromName(
    std::string_view name) {
  for (size_t i = 0; i < kAnswerResultNames.size(); ++i) {
    if (kAnswerResultNames[i] == name) {
      return static_cast<AnswerResult>(i);
    }
  }
  return std::nullopt;
}

// Numbers of answers by result.
struct AnswerCounts {
  std::array<uint64_t, kAnswerResultNames.size()> by_result = {};

  uint64_t& operator[](AnswerResult result) {
    return by_result[static_cast<size_t>(result)];
  }
  uint64_t operator[](AnswerResult result) const {
    return by_result[static_cast<size_t>(result)];
  }

  uint64_t total() const {
    return std::accumulate(by_result.begin(), by_result.end(), uint64_t{0});
  }

  // Answers that consume the error budget: all but the good ones.
  uint64_t bad() const { return total() - (*this)[AnswerResult::kGood]; }
};

}  // namespace goldcrest

#endif  // GOLDCREST_SERVICE_LEVEL_H_
