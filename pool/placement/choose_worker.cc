#include "pool/placement/choose_worker.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace goldcrest {
namespace {

// Sort key of the candidates; the smallest is the best.
auto Rank(const WorkerOffer& offer, const Resources& required) {
  return std::make_tuple(!offer.near_data, offer.suspect, offer.run_time_factor,
                         offer.free.accelerators - required.accelerators,
                         offer.free.cpu_millis - required.cpu_millis);
}

// Assigns each task of the group to the slot that becomes free first, and
// returns the end of the last task. `heap` is a min-heap of the times at which
// the slots become free.
Micros StartGroup(std::vector<Micros>& heap, const TaskGroup& group) {
  Micros last = 0;
  for (size_t i = 0; i < group.tasks; ++i) {
    std::pop_heap(heap.begin(), heap.end(), std::greater<>());
    heap.back() += group.run_time;
    last = std::max(last, heap.back());
    std::push_heap(heap.begin(), heap.end(), std::greater<>());
  }
  return last;
}

}  // namespace

bool Fits(const Resources& required, const Resources& free) {
  return required.cpu_millis <= free.cpu_millis &&
         required.memory_mb <= free.memory_mb &&
         required.accelerators <= free.accelerators;
}

std::optional<size_t> ChooseWorker(const std::vector<WorkerOffer>& offers,
                                   const Resources& required) {
  std::optional<size_t> best;
  for (size_t i = 0; i < offers.size(); ++i) {
    if (!Fits(required, offers[i].free)) {
      continue;
    }
    if (!best || Rank(offers[i], required) < Rank(offers[*best], required)) {
      best = i;
    }
  }
  return best;
}

Micros ExpectedEnd(std::vector<Micros> slot_free_at,
                   const std::vector<TaskGroup>& ahead,
                   const TaskGroup& job) {
  if (slot_free_at.empty()) {
    return kNever;
  }
  std::make_heap(slot_free_at.begin(), slot_free_at.end(), std::greater<>());
  for (const TaskGroup& group : ahead) {
    StartGroup(slot_free_at, group);
  }
  return StartGroup(slot_free_at, job);
}

}  // namespace goldcrest
