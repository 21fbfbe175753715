#ifndef EDGE_TESTING_PROCESS_USAGE_H_
#define EDGE_TESTING_PROCESS_USAGE_H_

// What a running process holds, read from the proc file system.

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace goldcrest {

struct ProcessUsage {
  size_t resident_bytes = 0;
  size_t peak_resident_bytes = 0;  // since its start
  // In the kernel's buffers of its connections: arrived and not read, or
  // written and not acknowledged.
  size_t socket_bytes = 0;
  size_t descriptors = 0;
};

// Returns the usage of a process. `ips` are the loopback addresses of its
// connections. All is 0 if the process has ended.
ProcessUsage ReadProcessUsage(pid_t process,
                              const std::vector<std::string>& ips);

}  // namespace goldcrest

#endif  // EDGE_TESTING_PROCESS_USAGE_H_
