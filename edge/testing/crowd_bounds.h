#ifndef EDGE_TESTING_CROWD_BOUNDS_H_
#define EDGE_TESTING_CROWD_BOUNDS_H_

// The machine of a process that a crowd of clients attacks, and the most that
// the process held.

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace goldcrest {

inline constexpr size_t kMachineMemoryMb = 64;
inline constexpr size_t kMachineDescriptors = 400;

// The most that a process held at any time.
struct PeakUsage {
  size_t memory_bytes = 0;  // resident, and in the buffers of connections
  size_t descriptors = 0;
};

// Raises `peak` to what the process holds now. `ips` are the loopback addresses
// of its connections.
void ObserveUsage(pid_t process,
                  const std::vector<std::string>& ips,
                  PeakUsage& peak);

// Fails the test unless the process stayed within its machine.
void CheckWithinMachine(const std::string& name, const PeakUsage& peak);

// Returns the flags that tell a program its machine.
std::vector<std::string> MachineFlags();

// Gives a process the descriptors of the machine.
void LimitDescriptors(pid_t process);

// Runs `turn` until `done` returns true, or for a time that no working system
// needs. Returns whether it is done.
bool RunUntilDone(const std::function<void()>& turn,
                  const std::function<bool()>& done);

}  // namespace goldcrest

#endif  // EDGE_TESTING_CROWD_BOUNDS_H_
