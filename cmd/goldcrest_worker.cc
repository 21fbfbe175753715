// goldcrest_worker: stand-in backend servers for tests and measurements.

#include <algorithm>
#include <atomic>
#include <iostream>

#include <Poco/Net/NetException.h>
#include <gflags/gflags.h>

#include "edge/logging.h"
#include "edge/settings.h"
#include "edge/stand_in_worker.h"
#include "edge/stop_signals.h"

DEFINE_string(entry, "127.0.0.1:8080", "Entry VMs, as IP:PORT,...");
DEFINE_string(listen, "127.0.0.1:9000", "IP:PORT of the first worker.");
DEFINE_int32(count, 1, "Workers in this process, on consecutive ports.");
DEFINE_int32(slots, 8, "Slots of each worker.");
DEFINE_int64(memory_mb, 32768, "Memory of each worker, in megabytes.");
DEFINE_int64(accelerators, 0, "Accelerators of each worker.");
DEFINE_string(failure_domain, "local", "Failure domain of the workers.");
DEFINE_int32(rack_size, 6, "Workers in each rack.");
DEFINE_string(name_prefix, "", "Prefix of the workers' names. Empty: w.");
DEFINE_double(fail_rate, 0, "Share of tasks that fail, 0 to 1.");
DEFINE_int32(failing_workers, 0, "Number of workers that fail every task.");
DEFINE_double(straggle_rate, 0, "Share of tasks that take ten times as long.");
DEFINE_string(start_log,
              "",
              "File for one JSON line per start and end of a task attempt.");
DEFINE_string(log_level, "warning", "debug, info, warning or error.");
DEFINE_uint64(seed, 1, "Seed of the injected faults.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrest_worker",
    "Runs stand-in backend servers that announce themselves to entry VMs and "
    "sleep for the duration given in a task's payload.",
    "goldcrest_worker [--name=value ...]",
    "goldcrest_worker.cc",
};

// Maximum time that one poll waits for sockets and timers.
constexpr Micros kMaxWait = 100 * kMillisecond;

void CheckFraction(const std::string& flag, double value) {
  if (value < 0 || value > 1) {
    FailUsage(kProgram, "--" + flag + " must be 0 to 1");
  }
}

StandInOptions ReadOptions() {
  if (!IsAddress(FLAGS_listen)) {
    FailUsage(kProgram, "--listen: '" + FLAGS_listen + "' is not IP:PORT");
  }
  if (FLAGS_count < 1 || FLAGS_count > 4096 || FLAGS_slots < 1 ||
      FLAGS_rack_size < 1) {
    FailUsage(kProgram,
              "--count must be 1 to 4096, --slots and --rack_size at least 1");
  }
  CheckFraction("fail_rate", FLAGS_fail_rate);
  CheckFraction("straggle_rate", FLAGS_straggle_rate);
  StandInOptions options;
  options.entry_addresses = AddressesOrFail(kProgram, "entry", FLAGS_entry);
  if (options.entry_addresses.empty()) {
    FailUsage(kProgram, "--entry must contain at least one entry VM");
  }
  options.slots = FLAGS_slots;
  options.memory_mb = FLAGS_memory_mb;
  options.accelerators = FLAGS_accelerators;
  options.failure_domain = FLAGS_failure_domain;
  options.fail_rate = FLAGS_fail_rate;
  options.straggle_rate = FLAGS_straggle_rate;
  return options;
}

using Workers = std::vector<std::unique_ptr<StandInWorker>>;

Workers MakeWorkers(SocketLoop& loop, AttemptLog& log) {
  const Poco::Net::SocketAddress first(FLAGS_listen);
  const std::string prefix =
      FLAGS_name_prefix.empty() ? "w" : FLAGS_name_prefix;
  Workers workers;
  for (int i = 0; i < FLAGS_count; ++i) {
    StandInOptions options = ReadOptions();
    const int port = first.port() + i;
    options.address = first.host().toString() + ":" + std::to_string(port);
    options.name = prefix + std::to_string(port);
    options.rack = "rack" + std::to_string(i / FLAGS_rack_size);
    options.fail_rate = i < FLAGS_failing_workers ? 1 : options.fail_rate;
    options.seed = FLAGS_seed + static_cast<uint64_t>(i);
    workers.push_back(std::make_unique<StandInWorker>(loop, log, options));
  }
  return workers;
}

// Runs the workers until all of them have left after `leaving` is set.
void Serve(SocketLoop& loop, Workers& workers, std::atomic<bool>& leaving) {
  bool leave_requested = false;
  while (true) {
    const Micros now = MonotonicMicros();
    Micros next_wakeup = now + kMaxWait;
    for (auto& worker : workers) {
      if (leaving && !leave_requested) {
        worker->Leave();
      }
      next_wakeup = std::min(next_wakeup, worker->Advance(now));
    }
    leave_requested = leaving;
    const bool all_left =
        leave_requested &&
        std::all_of(workers.begin(), workers.end(),
                    [](const auto& worker) { return worker->has_left(); });
    if (all_left) {
      return;
    }
    loop.Poll(next_wakeup - MonotonicMicros());
  }
}

int RunWorkers(int argc, char** argv) {
  BlockStopSignals();
  const auto rest = ReadSettings(kProgram, argc, argv);
  if (!rest.empty()) {
    FailUsage(kProgram, "unexpected argument '" + rest.front() + "'");
  }
  ReadOptions();
  if (!StartLogging(FLAGS_log_level, {})) {
    FailUsage(kProgram, "--log_level: unknown level '" + FLAGS_log_level + "'");
  }
  AttemptLog log;
  if (!FLAGS_start_log.empty() && !log.Open(FLAGS_start_log)) {
    FailUsage(kProgram, "--start_log: cannot write '" + FLAGS_start_log + "'");
  }
  SocketLoop loop;
  std::atomic<bool> leaving{false};
  int exit_code = kExitOk;
  const StopSignalWatcher watcher([&] {
    leaving = true;
    loop.Wake();
  });
  try {
    Workers workers = MakeWorkers(loop, log);
    Serve(loop, workers, leaving);
  } catch (const Poco::Exception& error) {
    std::cerr << "goldcrest_worker: cannot listen: " << error.displayText()
              << "\n";
    exit_code = kExitFailure;
  }
  log.Close();
  return exit_code;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunWorkers(argc, argv);
}
