#ifndef GOLDCREST_TASK_RESULTS_H_
#define GOLDCREST_TASK_RESULTS_H_

// What follows from the end of a start: an answer, a retry, a lookup, the end
// of the job.
//
// A start that provably did not run is repeated for any kind. One that failed
// or may have run is repeated only for an idempotent kind, within the kind's
// attempts and the retry budget. For any other kind a start that may have run
// is looked up at its worker: the job gets that run's answer, or starts the
// task again only when the worker proves that it never saw the task and can no
// longer receive the old start (its lease epoch has moved on).

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Handles the end of a start or a lookup, as the edge reports it.
void OnTaskAnswer(Blackboard& bb,
                  const TaskAnswer& answer,
                  Now now,
                  Actions& actions);

// Handles the timers of retries, lookups and hedges; `key` is a task key.
void OnTaskRetryTimer(Blackboard& bb, const std::string& key);
void OnTaskLookupTimer(Blackboard& bb,
                       const std::string& key,
                       Now now,
                       Actions& actions);
void OnTaskHedgeTimer(Blackboard& bb,
                      const std::string& key,
                      Now now,
                      Actions& actions);

// Counts every start on the worker `worker_key` as lost.
void GiveUpStarts(Blackboard& bb,
                  const std::string& worker_key,
                  Now now,
                  Actions& actions);

// Starts to look a task up that may have run on its worker.
void CheckTask(Blackboard& bb,
               Job& job,
               uint32_t index,
               Now now,
               Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_TASK_RESULTS_H_
