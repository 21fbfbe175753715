#include "soak/daemon_log.h"

#include <filesystem>
#include <fstream>
#include <system_error>

#include "report/explain.h"

namespace goldcrest {

std::uintmax_t LogSize(const std::string& path) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path, error);
  return error ? 0 : size;
}

bool HasLogged(const std::string& path,
               std::uintmax_t begin,
               std::string_view event) {
  std::ifstream file(path);
  file.seekg(static_cast<std::streamoff>(begin));
  std::string line;
  // A line at the end of the file may not be whole.
  while (std::getline(file, line) && !file.eof()) {
    LogRow row;
    if (ParseLogRow(line, row) && row.event == event) {
      return true;
    }
  }
  return false;
}

}  // namespace goldcrest
