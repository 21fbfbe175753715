#ifndef POOL_POOL_STEP_H_
#define POOL_POOL_STEP_H_

// The only entry point to the decision code of a control daemon.
//
//   PoolBoard board = MakePoolBoard(...);
//   PoolStep(board, event, now, actions);   // once for each event
//
// Each step first detects whether the process was paused, then handles the
// event, runs work that is due, and places waiting tasks on workers.

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

// An operator has submitted a new configuration.
struct RoutingChangeRequested {
  ReplyToken token = kNoToken;
  wire::Routing routing;
};

// An operator has requested the current configuration.
struct RoutingRequested {
  ReplyToken token = kNoToken;
};

// The write requested by PersistRegister `sequence` has finished; `ok` is false
// if it failed.
struct RegisterStored {
  uint64_t sequence = 0;
  bool ok = false;
};

// SIGTERM was received: the daemon is to shut down gracefully.
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
  bool first_start = false;
  uint64_t random_seed = 0;
};

// Returns the board of a control daemon that starts now.
PoolBoard MakePoolBoard(const PoolStartParams& start,
                        StepTime now,
                        PoolActions& actions);

// Runs work that is due for workers and jobs. Shared by control daemons and
// entry daemons; called when time advances.
void RunDuePoolWork(PoolBoard& board, Micros now, PoolActions& actions);

// Detects a pause of the process since the last step. After a pause, ends all
// jobs and reconciles all sessions. Returns true if there was a pause.
bool HandleProcessPause(PoolBoard& board, Micros now, PoolActions& actions);

// Handles `event` and appends the resulting actions to `actions`.
void PoolStep(PoolBoard& board,
              const PoolEvent& event,
              StepTime now,
              PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_POOL_STEP_H_
