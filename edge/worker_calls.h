#ifndef EDGE_WORKER_CALLS_H_
#define EDGE_WORKER_CALLS_H_

// The protocol towards backend servers: requests as the decisions ask for
// them, and responses as the decisions understand them.

#include <string>

#include "edge/http_client.h"
#include "goldcrest/action.h"
#include "goldcrest/event.h"

namespace goldcrest {

// Returns the request that starts a task.
HttpCall StartCall(const StartTask& start);

// Returns the request that stops a task.
HttpCall StopCall(const StopTask& stop);

// Returns the request that looks a task up.
HttpCall LookupCall(const LookupTask& lookup);

// Returns how a start ended. A response that names another task, or none,
// proves nothing and counts as lost.
TaskAnswer ReadStartResponse(const StartTask& start,
                             CallEnd end,
                             const HttpResponse& response);

// Returns what a worker knows of a task.
TaskAnswer ReadLookupResponse(const LookupTask& lookup,
                              CallEnd end,
                              const HttpResponse& response);

}  // namespace goldcrest

#endif  // EDGE_WORKER_CALLS_H_
