#include "edge/testing/crowd_bounds.h"

#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>

#include <catch2/catch.hpp>

#include "edge/socket_loop.h"
#include "edge/testing/process_usage.h"

namespace goldcrest {
namespace {

constexpr size_t kKilobyte = 1024;
// After this time a system that does not answer is taken for hanging.
constexpr Micros kPatience = 60 * kSecond;

}  // namespace

void ObserveUsage(pid_t process,
                  const std::vector<std::string>& ips,
                  PeakUsage& peak) {
  const ProcessUsage usage = ReadProcessUsage(process, ips);
  peak.memory_bytes =
      std::max({peak.memory_bytes, usage.resident_bytes + usage.socket_bytes,
                usage.peak_resident_bytes});
  peak.descriptors = std::max(peak.descriptors, usage.descriptors);
}

void CheckWithinMachine(const std::string& name, const PeakUsage& peak) {
  INFO(name);
  CHECK(peak.memory_bytes / kKilobyte <= kMachineMemoryMb * kKilobyte);
  CHECK(peak.descriptors < kMachineDescriptors);
}

std::vector<std::string> MachineFlags() {
  return {"--memory_mb=" + std::to_string(kMachineMemoryMb),
          "--max_descriptors=" + std::to_string(kMachineDescriptors)};
}

void LimitDescriptors(pid_t process) {
  const rlimit limit = {kMachineDescriptors, kMachineDescriptors};
  if (::prlimit(process, RLIMIT_NOFILE, &limit, nullptr) != 0) {
    throw std::runtime_error("cannot limit the descriptors of a process");
  }
}

bool RunUntilDone(const std::function<void()>& turn,
                  const std::function<bool()>& done) {
  const Micros until = MonotonicMicros() + kPatience;
  while (!done()) {
    if (MonotonicMicros() > until) {
      return false;
    }
    turn();
  }
  return true;
}

}  // namespace goldcrest
