#include "pool/choose_worker.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace goldcrest {
namespace {

// Less is better.
auto Rank(const WorkerOffer& offer, const Need& need) {
  return std::make_tuple(!offer.near_data, offer.suspect, offer.factor,
                         offer.free.accelerators - need.accelerators,
                         offer.free.cpu_millis - need.cpu_millis);
}

// Starts the group's tasks, each at the earliest free place; returns the end
// of the last one.
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

bool Fits(const Need& need, const Need& free) {
  return need.cpu_millis <= free.cpu_millis &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

std::optional<size_t> ChooseWorker(const std::vector<WorkerOffer>& offers,
                                   const Need& need) {
  std::optional<size_t> best;
  for (size_t i = 0; i < offers.size(); ++i) {
    if (!Fits(need, offers[i].free)) {
      continue;
    }
    if (!best || Rank(offers[i], need) < Rank(offers[*best], need)) {
      best = i;
    }
  }
  return best;
}

Micros ExpectedEnd(std::vector<Micros> slot_free,
                   const std::vector<TaskGroup>& ahead,
                   const TaskGroup& job) {
  if (slot_free.empty()) {
    return kNever;
  }
  std::make_heap(slot_free.begin(), slot_free.end(), std::greater<>());
  for (const TaskGroup& group : ahead) {
    StartGroup(slot_free, group);
  }
  return StartGroup(slot_free, job);
}

}  // namespace goldcrest
