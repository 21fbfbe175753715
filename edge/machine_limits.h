#ifndef EDGE_MACHINE_LIMITS_H_
#define EDGE_MACHINE_LIMITS_H_

// How the HTTP servers of a process share what its machine gives it.
//
// Half of the memory is for the kernel's buffers of connections, which bounds
// their number; a quarter is for the buffers of the process (buffer_budget.h);
// the last quarter is for its own state. A third of the descriptors is for
// connections that the process opens itself. At the least machine that is
// supported, some hundred connections with ordinary requests are served at a
// time, and a request of the largest size.

#include <cstddef>
#include <cstdint>

#include "edge/http_server.h"
#include "edge/settings.h"

namespace goldcrest {

// What a process may use.
struct MachineLimits {
  size_t memory_bytes = 256 * 1024 * 1024;
  size_t descriptors = 4096;
};

// Bounds of the flags for them.
inline constexpr size_t kMinMemoryMb = 32;
inline constexpr size_t kMaxMemoryMb = 1024 * 1024;
inline constexpr size_t kMinDescriptors = 256;
inline constexpr size_t kMaxDescriptors = 1024 * 1024;

// The parts of all HTTP servers of a process together.
struct HttpShare {
  size_t connections = 0;
  size_t buffer_bytes = 0;
};

HttpShare ShareForHttp(const MachineLimits& machine);

// Returns how many workers a daemon of the machine may know: they take an
// eighth of the memory at most.
size_t ShareForWorkers(const MachineLimits& machine);

// The most connections of a server that only the platform calls: of the load
// balancer's probes, or of metrics.
inline constexpr size_t kPlatformConnections = 16;

// Returns the options of a server with `connections` of the share, for requests
// of at most `max_body_bytes`.
HttpServerOptions BoundedServerOptions(const char* name,
                                       size_t connections,
                                       size_t max_body_bytes,
                                       BufferBudget& budget);

// Returns the limits from the flags --memory_mb and --max_descriptors of a
// program, where 0 descriptors stand for the limit of the process. Ends the
// program with kExitUsage if a flag is out of bounds.
MachineLimits ReadMachineLimits(const ProgramInfo& program,
                                uint64_t memory_mb,
                                uint64_t max_descriptors);

}  // namespace goldcrest

#endif  // EDGE_MACHINE_LIMITS_H_
