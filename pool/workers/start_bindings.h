#ifndef POOL_WORKERS_START_BINDINGS_H_
#define POOL_WORKERS_START_BINDINGS_H_

// Binds tasks to the worker of a start that had no answer.
//
// A list under a higher token proves that the process which has sent it does
// not carry such a start out any more. The worker's next process has seen no
// token and may. So until no process carries the start out, its task is started
// on the same worker only: another start there comes under a higher token,
// after which the first one has no effect, or finds the task running. The
// capacity there was held for the task, so it is free at once as a rule.
//
// The binding belongs to the task, not to a job: it outlives the job's end, for
// the job's next sending, and is announced at once to the other daemons
// (open_run_news.h), which cannot order that worker.

#include <cstddef>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// Bound of the record, about 4 MB.
inline constexpr size_t kMaxStartBindings = 20'000;

// Binds the task to the worker until the given time.
void BindTask(PoolBoard& board,
              const TaskName& task,
              const std::string& worker,
              Micros until,
              PoolActions& actions);

// Ends the binding of a task that is done, if there is one.
void UnbindTask(PoolBoard& board, const TaskName& task);

// Ends the bindings to a worker that another one has replaced at its address:
// that one refuses all orders which are not for itself.
void UnbindWorker(PoolBoard& board, const std::string& worker);

// Returns the task's binding, or null.
const StartBinding* FindBinding(const PoolBoard& board, const TaskName& task);

// Returns whether the task is bound to the worker.
bool IsBoundTo(const PoolBoard& board,
               const TaskName& task,
               const std::string& worker);

// Returns true unless the task is bound to another worker.
bool MayStartOn(const PoolBoard& board,
                const TaskName& task,
                const PoolWorker& worker);

// Returns whether a task that waits to be started is bound to the worker, which
// is not handed over then.
bool HasBoundWaitingTask(const PoolBoard& board, const std::string& worker);

// Ends the bindings whose time has passed.
void BindingsTick(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_START_BINDINGS_H_
