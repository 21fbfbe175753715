#include "goldcrest/baseline.h"

#include <algorithm>
#include <vector>

namespace goldcrest {
namespace {

std::vector<const Worker*> CandidateWorkers(const Blackboard& bb,
                                            TaskShape shape,
                                            StepTime now) {
  std::vector<const Worker*> candidates;
  for (const auto& [key, worker] : bb.workers.workers) {
    if (!worker->leaving && !worker->released && !worker->borrowed() &&
        worker->lease_until > now.mono && worker->slots > 0 &&
        worker->memory_mb >= shape.memory_mb &&
        worker->accelerators >= shape.accelerators) {
      candidates.push_back(worker.get());
    }
  }
  return candidates;
}

}  // namespace

std::string PickBaselineWorker(Blackboard& bb, TaskShape shape, StepTime now) {
  const std::vector<const Worker*> candidates =
      CandidateWorkers(bb, shape, now);
  if (candidates.empty()) {
    return "";
  }
  if (bb.tuning.placement == PlacementPolicy::kRandom) {
    std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
    return candidates[pick(bb.random)]->name;
  }
  if (bb.tuning.placement == PlacementPolicy::kRoundRobin) {
    return candidates[bb.workers.round_robin_next++ % candidates.size()]->name;
  }
  const auto least = std::min_element(candidates.begin(), candidates.end(),
                                      [](const Worker* a, const Worker* b) {
                                        return a->reported_running * b->slots <
                                               b->reported_running * a->slots;
                                      });
  return (*least)->name;
}

}  // namespace goldcrest
