#ifndef GOLDCREST_SERVICE_LEVEL_H_
#define GOLDCREST_SERVICE_LEVEL_H_

// What service levels are counted by: one series for each kind and failure
// domain, and in each series the answers by their result. The daemon counts
// them, its metrics carry them, and the burn report reads them back.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

// The length of a minute of the wall clock, in milliseconds.
inline constexpr int64_t kMinuteMs = 60'000;

// What one series of service levels is about.
struct SeriesKey {
  std::string kind;
  std::string failure_domain;

  friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
};

// How one submission counts towards its objective.
enum class AnswerResult : uint32_t {
  kGood = 0,     // complete, within the objective's target
  kSlow = 1,     // complete, later than the target
  kFailed = 2,   // failed as a whole
  kRefused = 3,  // not run
  kUnknown = 4,  // nobody can tell whether it ran
};

inline constexpr std::array<std::string_view, 5> kAnswerResultNames = {
    "good", "slow", "failed", "refused", "unknown"};

// Returns the name of `result` in metrics and reports.
constexpr std::string_view NameOf(AnswerResult result) {
  return kAnswerResultNames[static_cast<size_t>(result)];
}

// Returns the result called `name`, or nothing.
constexpr std::optional<AnswerResult> AnswerResultFromName(
    std::string_view name) {
  for (size_t i = 0; i < kAnswerResultNames.size(); ++i) {
    if (kAnswerResultNames[i] == name) {
      return static_cast<AnswerResult>(i);
    }
  }
  return std::nullopt;
}

// Answers by result.
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

  // Answers that spend the error budget: all but the good ones.
  uint64_t bad() const { return total() - (*this)[AnswerResult::kGood]; }
};

}  // namespace goldcrest

#endif  // GOLDCREST_SERVICE_LEVEL_H_
