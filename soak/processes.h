#ifndef SOAK_PROCESSES_H_
#define SOAK_PROCESSES_H_

// Starts, signals and reaps the child processes of the soak.

#include <sys/types.h>

#include <string>
#include <vector>

namespace goldcrest {

// The exit status of a process.
struct ProcessEnd {
  pid_t process = 0;
  int exit_code = 0;  // 0 if a signal terminated the process
  int signal = 0;     // the signal that terminated the process; 0 if none did
};

// A set of child processes. Signals only processes that it started itself.
class Processes {
 public:
  Processes() = default;
  // Kills and reaps the processes that still run.
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts the program arguments[0] and returns its process id. The standard
  // output and standard error of the program are appended to the file
  // `log_path`; it inherits no other descriptor than the standard input. Throws
  // std::system_error on failure.
  pid_t Start(const std::vector<std::string>& arguments,
              const std::string& log_path);

  // Sends `signal` to a process; does nothing if the process was not started
  // here or has been reaped.
  void Signal(pid_t process, int signal);

  // Reaps and returns the processes that have ended since the last call.
  std::vector<ProcessEnd> Reap();

 private:
  std::vector<pid_t> running_;
};

}  // namespace goldcrest

#endif  // SOAK_PROCESSES_H_
