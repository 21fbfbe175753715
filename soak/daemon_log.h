#ifndef SOAK_DAEMON_LOG_H_
#define SOAK_DAEMON_LOG_H_

// Reads what one process of a daemon has logged. The log file of a daemon has
// the lines of all its processes, one after the other.

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest {

// Returns the size of a log file in bytes, which is where the lines of the next
// process begin; 0 if there is no file.
std::uintmax_t LogSize(const std::string& path);

// Returns whether a whole line from the byte `begin` on has the event `event`.
bool HasLogged(const std::string& path,
               std::uintmax_t begin,
               std::string_view event);

}  // namespace goldcrest

#endif  // SOAK_DAEMON_LOG_H_
