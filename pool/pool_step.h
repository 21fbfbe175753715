#ifndef POOL_POOL_STEP_H_
#define POOL_POOL_STEP_H_

// The entry points to the decision code of a control daemon; RunDuePoolWork()
// and HandleProcessPause() are shared with entry daemons.
//
//   PoolBoard board = MakePoolBoard(...);
//   HandlePoolEvent(board, event, now, actions);  // once for each event
//   PlaceTasks(board, now, actions);              // after the last of them
//
// HandlePoolEvent() detects a pause of the process and handles the event.
// Periodic work, and what follows from the silence of others, runs only in
// steps for PoolTimeAdvanced. PlaceTasks() places waiting tasks on workers: one
// plan for all events that arrived together, since a plan costs far more than
// an event does. PoolStep() is both, for one event.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// A message from another daemon was received.
struct PoolMessageReceived {
  wire::PoolMessage message;
};

// A worker's periodic status report was received.
struct WorkerReported {
  wire::WorkerNews report;
};

// A worker has announced that it shuts down.
struct WorkerLeft {
  std::string id;
};

// An operator has submitted a new configuration, which is a wire::Routing.
struct RoutingChangeRequested {
  ReplyToken token = kNoToken;
  wire::Routing routing;
};

// An operator has requested the current configuration.
struct RoutingRequested {
  ReplyToken token = kNoToken;
};

// The write of the agreement's persistent state (a wire::StoredRegister) that
// PersistRegister `sequence` requested has finished; `ok` is false if it
// failed.
struct RegisterStored {
  uint64_t sequence = 0;
  bool ok = false;
};

// SIGTERM was received: the daemon is to drain, that is, to finish its jobs,
// release its workers, and then exit.
struct PoolDrainRequested {};

// Sent periodically; runs work that is due.
struct PoolTimeAdvanced {};

using PoolEvent = std::variant<PoolMessageReceived,
                               WorkerReported,
                               WorkerLeft,
                               WorkerAnswer,
                               RoutingChangeRequested,
                               RoutingRequested,
                               RegisterStored,
                               PoolDrainRequested,
                               PoolTimeAdvanced>;

// Options and stored state from which a control daemon starts.
struct PoolStartParams {
  PoolOptions options;
  MeshOptions mesh;
  AgreementOptions agreement;
  wire::StoredRegister stored;
  // Whether this is the first start of the deployment, when no voters have been
  // chosen yet.
  bool first_start = false;
  uint64_t random_seed = 0;
};

// Returns the board of a control daemon that starts now.
PoolBoard MakePoolBoard(const PoolStartParams& start,
                        StepTime now,
                        PoolActions& actions);

// Reviews worker ownership, updates jobs (deadlines, start permissions, order
// of waiting tasks), moves stragglers, sends the lease renewals and
// reconciliation orders that are due, and updates the reported load. Shared by
// control daemons and entry daemons; called when time advances.
void RunDuePoolWork(PoolBoard& board, Micros now, PoolActions& actions);

// Detects a pause of the process of at least `pause_threshold` since the last
// step. After a pause, ends all jobs and reconciles all sessions. Returns true
// if there was a pause.
bool HandleProcessPause(PoolBoard& board, Micros now, PoolActions& actions);

// Handles `event`, without placing tasks, and appends the resulting actions to
// `actions`.
void HandlePoolEvent(PoolBoard& board,
                     const PoolEvent& event,
                     StepTime now,
                     PoolActions& actions);

// Places waiting tasks on workers if an event since the last call allows that.
void PlaceTasks(PoolBoard& board, StepTime now, PoolActions& actions);

// Handles `event` and places waiting tasks.
void PoolStep(PoolBoard& board,
              const PoolEvent& event,
              StepTime now,
              PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_POOL_STEP_H_
