#ifndef EDGE_CALLER_LIMITS_H_
#define EDGE_CALLER_LIMITS_H_

// The limits on callers' requests that hold under a configuration.
//
// Those that the configuration names hold as soon as it is in force, as far as
// the machine can bear them. Before the first configuration, and for a limit
// that it does not name, the defaults hold.

#include <cstddef>

#include "edge/http_message.h"
#include "goldcrest/time_units.h"
#include "proto/pool.pb.h"

namespace goldcrest {

inline constexpr size_t kDefaultMaxBodyBytes = 1024 * 1024;

struct CallerLimits {
  HttpLimits http;
  Micros header_timeout = 0;
  Micros idle_timeout = 0;
};

// Returns the limits of `routing` for an entry daemon whose buffers may hold
// `buffer_bytes`.
CallerLimits CallerLimitsOf(const wire::Routing& routing, size_t buffer_bytes);

}  // namespace goldcrest

#endif  // EDGE_CALLER_LIMITS_H_
