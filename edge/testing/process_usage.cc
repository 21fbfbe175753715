#include "edge/testing/process_usage.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace goldcrest {
namespace {

constexpr size_t kKibibyte = 1024;
// State of a listening socket in /proc/net/tcp, whose queues count connections.
constexpr char kListening[] = "0A";

// Returns the number after "NAME:" in /proc/PID/status, in bytes.
size_t StatusBytes(const std::string& status, const std::string& name) {
  const size_t at = status.find(name + ":");
  if (at == std::string::npos) {
    return 0;
  }
  return std::stoul(status.substr(at + name.size() + 1)) * kKibibyte;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

size_t CountDescriptors(const std::string& folder) {
  std::error_code error;
  const std::filesystem::directory_iterator files(folder + "/fd", error);
  return error ? 0
               : static_cast<size_t>(std::distance(begin(files), end(files)));
}

// Returns an IPv4 address as it stands in /proc/net/tcp.
std::string HexAddress(const std::string& ip) {
  in_addr address = {};
  inet_pton(AF_INET, ip.c_str(), &address);
  std::array<char, 9> text = {};
  std::snprintf(text.data(), text.size(), "%08X", address.s_addr);
  return text.data();
}

// Returns the bytes in both queues of the connections at a local address.
size_t QueuedBytes(const std::string& ip) {
  const std::string local = HexAddress(ip) + ":";
  std::ifstream table("/proc/net/tcp");
  std::string line;
  size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string number;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;  // "sent:received", hexadecimal
    columns >> number >> from >> to >> state >> queues;
    if (!from.starts_with(local) || state == kListening) {
      continue;
    }
    const size_t colon = queues.find(':');
    bytes += std::stoul(queues.substr(0, colon), nullptr, 16) +
             std::stoul(queues.substr(colon + 1), nullptr, 16);
  }
  return bytes;
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t process,
                              const std::vector<std::string>& ips) {
  const std::string folder = "/proc/" + std::to_string(process);
  const std::string status = ReadFile(folder + "/status");
  ProcessUsage usage;
  usage.resident_bytes = StatusBytes(status, "VmRSS");
  usage.peak_resident_bytes = StatusBytes(status, "VmHWM");
  usage.descriptors = CountDescriptors(folder);
  for (const std::string& ip : ips) {
    usage.socket_bytes += QueuedBytes(ip);
  }
  return usage;
}

}  // namespace goldcrest
