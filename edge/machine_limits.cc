#include "edge/machine_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace goldcrest {
namespace {

// Of the kernel for each connection. It holds up to twice what is set.
constexpr size_t kReceiveBufferBytes = 16 * 1024;
constexpr size_t kSendBufferBytes = 8 * 1024;
constexpr size_t kBytesPerConnection =
    2 * (kReceiveBufferBytes + kSendBufferBytes) + kFreeBytesPerConnection;
// Descriptors for libraries, logs and the files of the program.
constexpr size_t kReservedDescriptors = 200;
constexpr size_t kMegabyte = 1024 * 1024;
// Of the record of a worker, with the longest texts that a report may have.
constexpr size_t kBytesPerWorker = 4 * 1024;

// Returns the descriptors that the process may open now.
size_t OpenableDescriptors() {
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMinDescriptors;
  }
  return std::clamp<size_t>(limit.rlim_cur, kMinDescriptors, kMaxDescriptors);
}

}  // namespace

HttpShare ShareForHttp(const MachineLimits& machine) {
  const size_t descriptors =
      machine.descriptors -
      std::min(machine.descriptors / 2, kReservedDescriptors);
  HttpShare share;
  share.connections = std::min(machine.memory_bytes / 2 / kBytesPerConnection,
                               descriptors * 2 / 3);
  share.buffer_bytes = machine.memory_bytes / 4;
  return share;
}

size_t ShareForWorkers(const MachineLimits& machine) {
  return machine.memory_bytes / 8 / kBytesPerWorker;
}

HttpServerOptions BoundedServerOptions(const char* name,
                                       size_t connections,
                                       size_t max_body_bytes,
                                       BufferBudget& budget) {
  HttpServerOptions options;
  options.name = name;
  options.max_connections = connections;
  // One request leaves room for another one.
  options.limits.max_body_bytes = std::min(max_body_bytes, budget.limit() / 2);
  options.receive_buffer_bytes = kReceiveBufferBytes;
  options.send_buffer_bytes = kSendBufferBytes;
  options.budget = &budget;
  return options;
}

MachineLimits ReadMachineLimits(const ProgramInfo& program,
                                uint64_t memory_mb,
                                uint64_t max_descriptors) {
  if (memory_mb < kMinMemoryMb || memory_mb > kMaxMemoryMb) {
    FailUsage(program, "--memory_mb: not in 32 to 1048576");
  }
  if (max_descriptors != 0 && (max_descriptors < kMinDescriptors ||
                               max_descriptors > kMaxDescriptors)) {
    FailUsage(program, "--max_descriptors: not 0 and not in 256 to 1048576");
  }
  MachineLimits limits;
  limits.memory_bytes = memory_mb * kMegabyte;
  limits.descriptors =
      max_descriptors == 0 ? OpenableDescriptors() : max_descriptors;
  return limits;
}

}  // namespace goldcrest
