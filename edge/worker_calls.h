#ifndef EDGE_WORKER_CALLS_H_
#define EDGE_WORKER_CALLS_H_

// The HTTP protocol for backend servers: encodes the actions of the decision
// code as requests and decodes the responses to its events.

#include <string>

#include "edge/http_client.h"
#include "goldcrest/action.h"
#include "goldcrest/event.h"

namespace goldcrest {

// Returns the request that starts a task.
HttpCall EncodeStartCall(const StartTask& start);

// Returns the request that stops a task.
HttpCall EncodeStopCall(const StopTask& stop);

// Returns the request that looks a task up.
HttpCall EncodeLookupCall(const LookupTask& lookup);

// Decodes the response to a start. A successful response that names another
// task or none proves nothing and is decoded as TaskOutcome::kUnanswered.
TaskAnswer DecodeStartResponse(const StartTask& start,
                               CallEnd end,
                               const HttpResponse& response);

// Decodes the response to a lookup: the state of the task on the worker.
TaskAnswer DecodeLookupResponse(const LookupTask& lookup,
                                CallEnd end,
                                const HttpResponse& response);

}  // namespace goldcrest

#endif  // EDGE_WORKER_CALLS_H_
