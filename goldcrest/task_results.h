#ifndef GOLDCREST_TASK_RESULTS_H_
#define GOLDCREST_TASK_RESULTS_H_

// Reaction to the end of an attempt: the task is done, retried or looked up, or
// the job fails.
//
// An attempt that provably did not run is repeated for any kind. One that
// failed or may have run is repeated only for an idempotent kind, within the
// attempts that the kind allows and the retry budget. For a non-idempotent
// kind, an attempt that may have run is looked up at its worker: the job gets
// the answer of that attempt, or starts the task again only if the worker
// proves that it never saw the task and can no longer receive the earlier start
// request (its lease epoch has advanced).

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Handles the outcome of an attempt or of a lookup, as reported by the edge.
void OnTaskAnswer(Blackboard& bb,
                  const TaskAnswer& answer,
                  StepTime now,
                  Actions& actions);

// Handles the timers of retries, lookups and hedges; `key` is a task key.
void OnTaskRetryTimer(Blackboard& bb, const std::string& key);
void OnTaskLookupTimer(Blackboard& bb,
                       const std::string& key,
                       StepTime now,
                       Actions& actions);
void OnTaskHedgeTimer(Blackboard& bb,
                      const std::string& key,
                      StepTime now,
                      Actions& actions);

// Treats every unfinished attempt on the worker `worker_key` as unanswered.
void HandleUnansweredAttempts(Blackboard& bb,
                              const std::string& worker_key,
                              StepTime now,
                              Actions& actions);

// Starts the lookup of a task that may have run on its worker.
void StartTaskLookup(Blackboard& bb,
                     Job& job,
                     uint32_t index,
                     StepTime now,
                     Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_TASK_RESULTS_H_
