#ifndef EDGE_STATUS_JSON_H_
#define EDGE_STATUS_JSON_H_

// GET /v1/status: what a daemon knows, for a person and for goldcrestctl.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the status of the daemon as one JSON object.
std::string StatusJson(const Blackboard& bb, Now now);

}  // namespace goldcrest

#endif  // EDGE_STATUS_JSON_H_
