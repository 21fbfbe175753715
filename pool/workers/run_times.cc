#include "pool/workers/run_times.h"

#include <algorithm>

#include "pool/workers/worker_profile.h"

namespace goldcrest {
namespace {

// Weight of a new attempt in the exponential averages of the run times.
constexpr double kNewSampleWeight = 0.05;
// Measured ratios are clamped to these bounds before they enter the averages.
constexpr double kMinRatio = 0.4;
constexpr double kMaxRatio = 2.5;

}  // namespace

double RunTimeFactor(const PoolBoard& board, const PoolWorker& worker) {
  if (board.options.features.run_times_by_worker) {
    return ProfileFactor(board, worker);
  }
  const auto found = board.run_times.kind_factor.find(KindOf(worker));
  return found == board.run_times.kind_factor.end() ? 1.0 : found->second;
}

Micros ExpectedRunTime(const PoolBoard& board,
                       const wire::JobOrder& order,
                       const wire::JobStep& step) {
  const auto found = board.run_times.queue_ratio.find(order.queue());
  const double ratio =
      found == board.run_times.queue_ratio.end() ? 1.0 : found->second;
  return static_cast<Micros>(ratio * step.estimate_ms() * kMillisecond);
}

void LearnRunTime(PoolBoard& board,
                  PoolJob& job,
                  uint32_t step,
                  PoolWorker& worker,
                  Micros took) {
  if (board.options.features.run_times_by_worker) {
    RecordRunTime(board, job, step, worker, took);
    return;
  }
  const Micros estimate =
      job.order.steps(static_cast<int>(step)).estimate_ms() * kMillisecond;
  if (estimate == 0) {
    return;
  }
  double& ratio =
      board.run_times.queue_ratio.try_emplace(job.order.queue(), 1.0)
          .first->second;
  double& factor = board.run_times.kind_factor.try_emplace(KindOf(worker), 1.0)
                       .first->second;
  const double measured =
      static_cast<double>(took) / static_cast<double>(estimate);
  const double queue_measured =
      std::clamp(measured / factor, kMinRatio, kMaxRatio);
  const double kind_measured =
      std::clamp(measured / ratio, kMinRatio, kMaxRatio);
  ratio += kNewSampleWeight * (queue_measured - ratio);
  factor += kNewSampleWeight * (kind_measured - factor);
}

}  // namespace goldcrest
