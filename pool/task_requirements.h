#ifndef POOL_TASK_REQUIREMENTS_H_
#define POOL_TASK_REQUIREMENTS_H_

// What the tasks of a step require, and which workers satisfy it.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the resources of one task of the step.
Resources ResourcesOf(const wire::JobStep& step);

// Returns true if the worker has the label.
bool HasLabel(const PoolWorker& worker, const std::string& label);

// Returns true if starts may be sent to the worker.
bool AcceptsStarts(const PoolWorker& worker, Micros now);

// Returns true if the worker runs the order's service and has the label that
// the step requires.
bool Matches(const PoolWorker& worker,
             const wire::JobOrder& order,
             const wire::JobStep& step);

// Returns true if the worker could run a task of the step when idle, with the
// largest capacity that it has had: a capacity that has shrunk may grow again.
bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

// The same with its present capacity.
bool FitsWhenIdle(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

// Returns the workers that accept tasks now, sorted by id.
std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_TASK_REQUIREMENTS_H_
