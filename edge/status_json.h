#ifndef EDGE_STATUS_JSON_H_
#define EDGE_STATUS_JSON_H_

// The response body of GET /v1/status, for operators and goldcrestctl.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the status of the daemon, its peers and its leased workers as one
// JSON object.
std::string StatusJson(const Blackboard& bb, StepTime now);

}  // namespace goldcrest

#endif  // EDGE_STATUS_JSON_H_
