#include "soak/processes.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <system_error>

namespace goldcrest {

Processes::~Processes() {
  for (const pid_t process : running_) {
    ::kill(process, SIGKILL);
  }
  for (const pid_t process : running_) {
    ::waitpid(process, nullptr, 0);
  }
}

pid_t Processes::Start(const std::vector<std::string>& arguments,
                       const std::string& log_path) {
  std::vector<std::string> copies = arguments;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (std::string& argument : copies) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // POCO's sockets stay open in started programs. A connection that the relays
  // close would then stay open for both sides until the program ends.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t process = 0;
  const int error = ::posix_spawn(&process, pointers[0], &actions, nullptr,
                                  pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(),
                            "cannot start " + arguments.front());
  }
  running_.push_back(process);
  return process;
}

void Processes::Signal(pid_t process, int signal) {
  if (std::find(running_.begin(), running_.end(), process) != running_.end()) {
    ::kill(process, signal);
  }
}

std::vector<ProcessEnd> Processes::Reap() {
  std::vector<ProcessEnd> ends;
  for (const pid_t process : running_) {
    int status = 0;
    if (::waitpid(process, &status, WNOHANG) != process) {
      continue;
    }
    ProcessEnd end;
    end.process = process;
    end.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 0;
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    ends.push_back(end);
  }
  for (const ProcessEnd& end : ends) {
    std::erase(running_, end.process);
  }
  return ends;
}

}  // namespace goldcrest
