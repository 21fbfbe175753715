#include "pool/admission/job_order_check.h"

#include <algorithm>

namespace goldcrest {

std::string ValidateJobOrder(const wire::JobOrder& order) {
  if (order.steps().empty()) {
    return "no_steps";
  }
  uint64_t tasks = 0;
  for (int i = 0; i < order.steps_size(); ++i) {
    const wire::JobStep& step = order.steps(i);
    const auto& after = step.after();
    const bool only_earlier = std::all_of(
        after.begin(), after.end(),
        [&](uint32_t earlier) { return earlier < static_cast<uint32_t>(i); });
    if (!only_earlier) {
      return "step_after_later_step";
    }
    if (step.tasks() == 0) {
      return "step_without_tasks";
    }
    tasks += step.tasks();
  }
  return tasks > kMaxTasksPerJob ? "too_many_tasks" : "";
}

}  // namespace goldcrest
