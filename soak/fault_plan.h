#ifndef SOAK_FAULT_PLAN_H_
#define SOAK_FAULT_PLAN_H_

// The plan of the faults of one soak, generated from a seed.
//
// Faults may overlap and may follow each other in quick succession. Faults that
// the deployment is not required to survive are not planned: at most one disk
// is emptied in a soak. All faults end by the end of the plan.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

// The kinds of faults that a soak injects.
enum class SoakFault : uint8_t {
  kKill,            // a daemon is killed and started again
  kPause,           // a daemon's process is paused once
  kPauseSeries,     // a daemon's process is paused repeatedly
  kRestart,         // a daemon is drained and started again
  kRollingRestart,  // a failure domain's daemons are restarted in turn
  kKillAllControl,  // all control daemons are killed and started again
  kLoseDisk,        // a control daemon is killed and its disk is emptied
  kRefuseWrites,    // all writes to a control daemon's disk fail
  kCutDomain,       // a failure domain is partitioned from the others
  kCutOneWay,       // a daemon's messages are held; it still receives
  kSlowMesh,        // messages to and from a daemon are delayed
  kResetMesh,       // all connections of a daemon are reset
  kSilenceWorker,   // a worker is unreachable; its connections stay open
  kLoseAnswers,     // a worker executes orders, but its answers are held
  kSlowWorker,      // orders to a worker and its answers are delayed
  kCrashWorker,     // a worker restarts and loses its state
  kFailingWorker,   // all attempts on a worker fail
  kHangingWorker,   // no attempt on a worker ends
  kStepClock,       // a worker's clock jumps
  kResetCallers,    // all connections of an entry daemon are reset
  kSlowCallers,     // data between callers and an entry daemon is delayed
  kChangeSeries,    // two operators change the configuration repeatedly
  kStopSeries,      // several daemons are drained, with overlapping drains
  kSlowDisk,        // syncs of the disks of one or all control daemons are slow
};

// Names of the faults in printed plans, indexed by SoakFault.
inline constexpr std::array<std::string_view, 24> kSoakFaultNames = {
    "kill",           "pause",           "pause_series",
    "restart",        "rolling_restart", "kill_all_control",
    "lose_disk",      "refuse_writes",   "cut_domain",
    "cut_one_way",    "slow_mesh",       "reset_mesh",
    "silence_worker", "lose_answers",    "slow_worker",
    "crash_worker",   "failing_worker",  "hanging_worker",
    "step_clock",     "reset_callers",   "slow_callers",
    "change_series",  "stop_series",     "slow_disk"};

inline std::string_view ToString(SoakFault fault) {
  return kSoakFaultNames[static_cast<size_t>(fault)];
}

// One fault of a plan: its kind, time, duration and target.
struct PlannedFault {
  SoakFault fault = SoakFault::kKill;
  Micros starts_at = 0;       // start of the fault, since the start of the plan
  Micros fault_duration = 0;  // duration
  uint64_t target = 0;  // target index, modulo the number of possible targets
};

struct FaultPlanOptions {
  uint64_t seed = 1;
  Micros duration = 20 * kSecond;  // all faults end within this time
  // Mean time between the starts of two faults that are not in a series.
  Micros mean_gap = 1200 * kMillisecond;
  // Upper limit of the random part of a fault's duration.
  Micros max_fault_duration = 6 * kSecond;
  // Half of the faults are stop series. Without it there are none, and plans
  // are those of the time before this kind of fault.
  bool stop_series = false;
  // A quarter of the faults are slow disks, and the disks are slow at the
  // start. As with stop_series, plans without it do not change.
  bool slow_disks = false;
};

// Returns the faults of the plan, ordered by start time. Equal options give
// equal plans.
std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options);

// Formats a fault for printed plans as start time, name, target and duration,
// for example "12.300 s kill 4, 2.000 s".
std::string ToString(const PlannedFault& fault);

}  // namespace goldcrest

#endif  // SOAK_FAULT_PLAN_H_
