#include "goldcrest/outlier.h"

#include <algorithm>

#include "goldcrest/worker_table.h"

namespace goldcrest {
namespace {

// Most doublings of the ejection time.
constexpr int kMaxDoublings = 6;

size_t CountEjected(const Blackboard& bb) {
  return static_cast<size_t>(
      std::count_if(bb.workers.workers.begin(), bb.workers.workers.end(),
                    [](const auto& entry) {
                      return entry.second->outlier.ejected_until != 0;
                    }));
}

// Returns true if one more worker may be ejected.
bool MayEject(const Blackboard& bb) {
  const auto workers = static_cast<double>(bb.workers.workers.size());
  const auto ejected = static_cast<double>(CountEjected(bb) + 1);
  return ejected <= workers * bb.tuning.max_ejected_share;
}

}  // namespace

void RecordWorkerResult(Blackboard& bb,
                        const std::string& key,
                        bool failed,
                        StepTime now,
                        Actions& actions) {
  Worker* worker = FindWorker(bb, key);
  if (worker == nullptr) {
    return;
  }
  OutlierState& state = worker->outlier;
  if (!failed) {
    state.failures_in_row = 0;
    if (state.probation) {
      state.probation = false;
      state.ejections = 0;
      ReindexWorker(bb, *worker);
    }
    return;
  }
  ++state.failures_in_row;
  const bool enough =
      state.probation || state.failures_in_row >= bb.tuning.outlier_failures;
  if (!enough || state.ejected_until != 0 || !MayEject(bb)) {
    return;
  }
  const int doublings = std::min(state.ejections, kMaxDoublings);
  const Micros length =
      std::min(bb.tuning.ejection << doublings, bb.tuning.max_ejection);
  ++state.ejections;
  state.ejected_until = now.mono + length;
  ++bb.counters.ejections;
  ReindexWorker(bb, *worker);
  Log(actions, LogLevel::kWarning, "worker_ejected",
      {{"worker", key},
       {"failures", std::to_string(state.failures_in_row)},
       {"for_ms", std::to_string(length / kMillisecond)}});
}

void EndEjections(Blackboard& bb, StepTime now) {
  for (auto& [key, worker] : bb.workers.workers) {
    OutlierState& state = worker->outlier;
    if (state.ejected_until != 0 && state.ejected_until <= now.mono) {
      state.ejected_until = 0;
      state.probation = true;
      ReindexWorker(bb, *worker);
    }
  }
}

}  // namespace goldcrest
