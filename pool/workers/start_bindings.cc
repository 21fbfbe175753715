#include "pool/workers/start_bindings.h"

#include <algorithm>

namespace goldcrest {

void BindTask(PoolBoard& board,
              const TaskName& task,
              const std::string& worker,
              Micros until,
              PoolActions& actions) {
  if (board.start_bindings.size() >= kMaxStartBindings &&
      !board.start_bindings.contains(task)) {
    ++board.counters.bindings_dropped;
    LogPoolEvent(actions, LogLevel::kWarning, "start_binding_dropped",
                 {{"job", task.job_id}, {"task", ToString(task)}});
    return;
  }
  ++board.counters.starts_bound;
  StartBinding& binding = board.start_bindings[task];
  binding.worker = worker;
  binding.until = std::max(binding.until, until);
}

void UnbindTask(PoolBoard& board, const TaskName& task) {
  board.start_bindings.erase(task);
}

void UnbindWorker(PoolBoard& board, const std::string& worker) {
  const size_t ended = std::erase_if(
      board.start_bindings,
      [&](const auto& entry) { return entry.second.worker == worker; });
  board.placement_due = board.placement_due || ended > 0;
}

const StartBinding* FindBinding(const PoolBoard& board, const TaskName& task) {
  const auto found = board.start_bindings.find(task);
  return found == board.start_bindings.end() ? nullptr : &found->second;
}

bool IsBoundTo(const PoolBoard& board,
               const TaskName& task,
               const std::string& worker) {
  const StartBinding* binding = FindBinding(board, task);
  return binding != nullptr && binding->worker == worker;
}

bool MayStartOn(const PoolBoard& board,
                const TaskName& task,
                const PoolWorker& worker) {
  const StartBinding* binding = FindBinding(board, task);
  return binding == nullptr || binding->worker == worker.status.id();
}

bool HasBoundWaitingTask(const PoolBoard& board, const std::string& worker) {
  const bool has_binding = std::any_of(
      board.start_bindings.begin(), board.start_bindings.end(),
      [&](const auto& entry) { return entry.second.worker == worker; });
  return has_binding &&
         std::any_of(
             board.waiting.begin(), board.waiting.end(),
             [&](const auto& entry) {
               const auto& [key, waiting] = entry;
               return IsBoundTo(
                   board, {waiting.job->order.job_id(), 0, key.step, key.index},
                   worker);
             });
}

void BindingsTick(PoolBoard& board, Micros now) {
  std::erase_if(board.start_bindings,
                [&](const auto& entry) { return now > entry.second.until; });
}

}  // namespace goldcrest
