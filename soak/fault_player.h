#ifndef SOAK_FAULT_PLAYER_H_
#define SOAK_FAULT_PLAYER_H_

// Plays a fault plan on a running deployment: starts each fault at its planned
// time and ends it after its duration.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/soak_deployment.h"
#include "soak/soak_workers.h"

namespace goldcrest {

// Injects the faults of one plan. The deployment, workers and callers must
// outlive the player.
class FaultPlayer {
 public:
  FaultPlayer(std::vector<PlannedFault> plan,
              SoakDeployment& deployment,
              SoakWorkers& workers,
              SoakCallers& callers);

  // Starts and ends the faults that are due. `since_start` is the time since
  // the start of the plan.
  void Advance(Micros since_start, Micros now);

  // Ends all faults, resumes paused daemons and starts every daemon that is not
  // running.
  void EndAll(Micros now);

 private:
  // An action that runs at a planned time: the end of a fault, or a further
  // part of it.
  using ScheduledAction = std::function<void(Micros now)>;

  void Begin(const PlannedFault& fault, Micros now);
  void BeginDaemonFault(const PlannedFault& fault, Micros now);
  void BeginStopSeries(const PlannedFault& fault);
  void BeginSlowDisk(const PlannedFault& fault);
  void BeginMeshFault(const PlannedFault& fault);
  void BeginWorkerFault(const PlannedFault& fault, Micros now);
  void BeginCallerFault(const PlannedFault& fault);
  // Kills a daemon and starts it again after `duration`.
  void KillFor(SoakDaemon& daemon, Micros duration);
  // Applies a fault of connections for `duration`.
  void ApplyLinkFaultFor(LinkFault fault, Micros duration);
  // Schedules `action` to run `delay` after the current time of the plan.
  void ScheduleAction(Micros delay, ScheduledAction action);
  // These return the target of a fault: a daemon of any kind, a control daemon
  // or an entry daemon.
  SoakDaemon& TargetDaemon(const PlannedFault& fault);
  SoakDaemon& TargetControlDaemon(const PlannedFault& fault);
  SoakDaemon& TargetEntryDaemon(const PlannedFault& fault);

  std::vector<PlannedFault> plan_;
  size_t next_fault_index_ = 0;  // index in plan_ of the next fault to start
  SoakDeployment& deployment_;
  SoakWorkers& workers_;
  SoakCallers& callers_;
  Micros since_start_ = 0;  // the current time of the plan
  std::multimap<Micros, ScheduledAction>
      scheduled_actions_;  // by time since the start of the plan
};

}  // namespace goldcrest

#endif  // SOAK_FAULT_PLAYER_H_
