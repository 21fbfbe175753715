#include "soak/fault_player.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <random>
#include <utility>

namespace goldcrest {
namespace {

// One-way delays of data on slow connections.
constexpr Micros kMeshDelay = 120 * kMillisecond;
constexpr Micros kWorkerDelay = 60 * kMillisecond;
constexpr Micros kCallerDelay = 150 * kMillisecond;
// In a series of pauses, a process is paused and running for these times.
constexpr Micros kPausedTime = 400 * kMillisecond;
constexpr Micros kRunningTime = 150 * kMillisecond;
// Time between the restarts of two daemons in a rolling restart.
constexpr Micros kRollingRestartGap = 700 * kMillisecond;
// Time between two configuration changes of a series.
constexpr Micros kChangeGap = 60 * kMillisecond;
// A worker's clock jumps by this, forwards or backwards.
constexpr Micros kClockStep = 3 * kSecond;
// Delays of each sync of a slow disk.
constexpr std::array<Micros, 4> kSyncDelays = {
    100 * kMillisecond, 800 * kMillisecond, 1500 * kMillisecond,
    2500 * kMillisecond};

// Time between two stops of a stop series.
constexpr Micros kMinStopGap = 50 * kMillisecond;
constexpr Micros kMaxStopGap = 800 * kMillisecond;
// Largest time between the stop of a daemon and a further signal.
constexpr Micros kMaxSignalDelay = 4 * kSecond;
constexpr size_t kMinStopped = 2;
// One in this many stop series includes a control daemon.
constexpr uint64_t kControlStopShare = 3;

// Holds all data of a connection, in both directions.
constexpr RelayState kCutBothWays = {true, true, 0};

}  // namespace

FaultPlayer::FaultPlayer(std::vector<PlannedFault> plan,
                         SoakDeployment& deployment,
                         SoakWorkers& workers,
                         SoakCallers& callers)
    : plan_(std::move(plan)),
      deployment_(deployment),
      workers_(workers),
      callers_(callers) {}

void FaultPlayer::ScheduleAction(Micros delay, ScheduledAction action) {
  scheduled_actions_.emplace(since_start_ + delay, std::move(action));
}

void FaultPlayer::Advance(Micros since_start, Micros now) {
  since_start_ = since_start;
  while (next_fault_index_ < plan_.size() &&
         plan_[next_fault_index_].starts_at <= since_start) {
    Begin(plan_[next_fault_index_++], now);
  }
  while (!scheduled_actions_.empty() &&
         scheduled_actions_.begin()->first <= since_start) {
    const ScheduledAction action =
        std::move(scheduled_actions_.begin()->second);
    scheduled_actions_.erase(scheduled_actions_.begin());
    action(now);
  }
}

void FaultPlayer::EndAll(Micros now) {
  while (!scheduled_actions_.empty()) {
    const ScheduledAction action =
        std::move(scheduled_actions_.begin()->second);
    scheduled_actions_.erase(scheduled_actions_.begin());
    action(now);
  }
  for (SoakDaemon& daemon : deployment_.daemons()) {
    deployment_.Resume(daemon, now);
    if (daemon.process == 0) {
      deployment_.Start(daemon, false);
    }
  }
}

void FaultPlayer::Begin(const PlannedFault& fault, Micros now) {
  switch (fault.fault) {
    case SoakFault::kCutDomain:
    case SoakFault::kCutOneWay:
    case SoakFault::kSlowMesh:
    case SoakFault::kResetMesh:
      BeginMeshFault(fault);
      return;
    case SoakFault::kSilenceWorker:
    case SoakFault::kLoseAnswers:
    case SoakFault::kSlowWorker:
    case SoakFault::kCrashWorker:
    case SoakFault::kFailingWorker:
    case SoakFault::kHangingWorker:
    case SoakFault::kStepClock:
      BeginWorkerFault(fault, now);
      return;
    case SoakFault::kResetCallers:
    case SoakFault::kSlowCallers:
    case SoakFault::kChangeSeries:
      BeginCallerFault(fault);
      return;
    default:
      BeginDaemonFault(fault, now);
  }
}

SoakDaemon& FaultPlayer::TargetDaemon(const PlannedFault& fault) {
  auto& daemons = deployment_.daemons();
  return daemons[fault.target % daemons.size()];
}

SoakDaemon& FaultPlayer::TargetControlDaemon(const PlannedFault& fault) {
  const auto controls = deployment_.controls();
  return *controls[fault.target % controls.size()];
}

SoakDaemon& FaultPlayer::TargetEntryDaemon(const PlannedFault& fault) {
  const auto entries = deployment_.entries();
  return *entries[fault.target % entries.size()];
}

void FaultPlayer::KillFor(SoakDaemon& daemon, Micros duration) {
  deployment_.Kill(daemon);
  ScheduleAction(duration,
                 [this, &daemon](Micros) { deployment_.Start(daemon, false); });
}

void FaultPlayer::ApplyLinkFaultFor(LinkFault fault, Micros duration) {
  const int id = deployment_.AddLinkFault(std::move(fault));
  ScheduleAction(duration,
                 [this, id](Micros) { deployment_.RemoveLinkFault(id); });
}

void FaultPlayer::BeginDaemonFault(const PlannedFault& fault, Micros now) {
  SoakDaemon& daemon = TargetDaemon(fault);
  switch (fault.fault) {
    case SoakFault::kKill:
      KillFor(daemon, fault.fault_duration);
      return;
    case SoakFault::kPause:
      deployment_.Pause(daemon, now);
      ScheduleAction(fault.fault_duration, [this, &daemon](Micros end) {
        deployment_.Resume(daemon, end);
      });
      return;
    case SoakFault::kPauseSeries:
      for (Micros at = 0; at < fault.fault_duration;
           at += kPausedTime + kRunningTime) {
        ScheduleAction(at, [this, &daemon](Micros then) {
          deployment_.Pause(daemon, then);
        });
        ScheduleAction(at + kPausedTime, [this, &daemon](Micros then) {
          deployment_.Resume(daemon, then);
        });
      }
      return;
    case SoakFault::kRestart:
      deployment_.Drain(daemon, now);
      return;
    case SoakFault::kRollingRestart: {
      Micros at = 0;
      for (SoakDaemon& other : deployment_.daemons()) {
        if (other.domain == daemon.domain) {
          ScheduleAction(at, [this, &other](Micros then) {
            deployment_.Drain(other, then);
          });
          at += kRollingRestartGap;
        }
      }
      return;
    }
    case SoakFault::kKillAllControl:
      for (SoakDaemon* control : deployment_.controls()) {
        KillFor(*control, fault.fault_duration);
      }
      return;
    case SoakFault::kStopSeries:
      BeginStopSeries(fault);
      return;
    case SoakFault::kSlowDisk:
      BeginSlowDisk(fault);
      return;
    case SoakFault::kLoseDisk: {
      SoakDaemon& control = TargetControlDaemon(fault);
      KillFor(control, fault.fault_duration);
      deployment_.EmptyDisk(control);
      return;
    }
    case SoakFault::kRefuseWrites: {
      SoakDaemon& control = TargetControlDaemon(fault);
      deployment_.RefuseWrites(control, true);
      ScheduleAction(fault.fault_duration, [this, &control](Micros) {
        deployment_.RefuseWrites(control, false);
      });
      return;
    }
    default:
      return;
  }
}

void FaultPlayer::BeginSlowDisk(const PlannedFault& fault) {
  std::mt19937_64 random(fault.target);
  const Micros delay = kSyncDelays[random() % kSyncDelays.size()];
  const bool all = random() % 2 == 0;
  for (SoakDaemon* control : deployment_.controls()) {
    if (all || control == &TargetControlDaemon(fault)) {
      deployment_.SetSyncDelay(*control, delay);
      ScheduleAction(fault.fault_duration, [this, control](Micros) {
        deployment_.SetSyncDelay(*control, 0);
      });
    }
  }
}

void FaultPlayer::BeginStopSeries(const PlannedFault& fault) {
  std::mt19937_64 random(fault.target);
  std::vector<SoakDaemon*> stopped = deployment_.entries();
  std::shuffle(stopped.begin(), stopped.end(), random);
  // At least one entry daemon is not stopped, if there is more than one.
  const size_t choices =
      std::max(stopped.size(), kMinStopped + 1) - kMinStopped;
  stopped.resize(std::min(stopped.size(), kMinStopped + random() % choices));
  if (random() % kControlStopShare == 0) {
    stopped.push_back(&TargetControlDaemon(fault));
  }
  constexpr Micros kGapRange = kMaxStopGap - kMinStopGap;
  Micros at = 0;
  for (SoakDaemon* daemon : stopped) {
    ScheduleAction(
        at, [this, daemon](Micros then) { deployment_.Drain(*daemon, then); });
    const int signal = std::array{0, SIGTERM, SIGHUP}[random() % 3];
    if (signal != 0) {
      ScheduleAction(at + static_cast<Micros>(random() % kMaxSignalDelay),
                     [this, daemon, signal](Micros) {
                       deployment_.SignalDraining(*daemon, signal);
                     });
    }
    at += kMinStopGap + static_cast<Micros>(random() % kGapRange);
  }
}

void FaultPlayer::BeginMeshFault(const PlannedFault& fault) {
  const SoakDaemon& daemon = TargetDaemon(fault);
  std::set<std::string> domain_ips;
  std::set<std::string> other_domain_ips;
  for (const SoakDaemon& other : deployment_.daemons()) {
    (other.domain == daemon.domain ? domain_ips : other_domain_ips)
        .insert(other.ip);
  }
  std::set<std::string> other_ips = domain_ips;
  other_ips.insert(other_domain_ips.begin(), other_domain_ips.end());
  other_ips.erase(daemon.ip);
  switch (fault.fault) {
    case SoakFault::kCutDomain:
      ApplyLinkFaultFor({0, domain_ips, other_domain_ips, kCutBothWays},
                        fault.fault_duration);
      ApplyLinkFaultFor({0, other_domain_ips, domain_ips, kCutBothWays},
                        fault.fault_duration);
      return;
    case SoakFault::kCutOneWay:
      ApplyLinkFaultFor({0, {daemon.ip}, other_ips, {true, false, 0}},
                        fault.fault_duration);
      ApplyLinkFaultFor({0, other_ips, {daemon.ip}, {false, true, 0}},
                        fault.fault_duration);
      return;
    case SoakFault::kSlowMesh:
      ApplyLinkFaultFor({0, {daemon.ip}, other_ips, {false, false, kMeshDelay}},
                        fault.fault_duration);
      ApplyLinkFaultFor({0, other_ips, {daemon.ip}, {false, false, kMeshDelay}},
                        fault.fault_duration);
      return;
    default:
      deployment_.ResetConnections({daemon.ip});
  }
}

void FaultPlayer::BeginWorkerFault(const PlannedFault& fault, Micros now) {
  const size_t index = fault.target % workers_.size();
  const std::string& listen = deployment_.workers()[index].listen_address;
  const std::string ip = listen.substr(0, listen.find(':'));
  FakeWorker& worker = workers_.model().all[index];
  switch (fault.fault) {
    case SoakFault::kSilenceWorker:
      ApplyLinkFaultFor({0, {}, {ip}, kCutBothWays}, fault.fault_duration);
      return;
    case SoakFault::kLoseAnswers:
      ApplyLinkFaultFor({0, {}, {ip}, {false, true, 0}}, fault.fault_duration);
      return;
    case SoakFault::kSlowWorker:
      ApplyLinkFaultFor({0, {}, {ip}, {false, false, kWorkerDelay}},
                        fault.fault_duration);
      return;
    case SoakFault::kCrashWorker:
      workers_.Crash(index, now);
      return;
    case SoakFault::kFailingWorker:
      worker.fails_all = true;
      ScheduleAction(fault.fault_duration,
                     [&worker](Micros) { worker.fails_all = false; });
      return;
    case SoakFault::kHangingWorker:
      worker.hangs = true;
      ScheduleAction(fault.fault_duration,
                     [&worker](Micros) { worker.hangs = false; });
      return;
    default:
      worker.clock_offset += fault.target % 2 == 0 ? kClockStep : -kClockStep;
  }
}

void FaultPlayer::BeginCallerFault(const PlannedFault& fault) {
  const SoakDaemon& entry = TargetEntryDaemon(fault);
  switch (fault.fault) {
    case SoakFault::kResetCallers:
      deployment_.ResetConnections({entry.ip});
      return;
    case SoakFault::kSlowCallers:
      ApplyLinkFaultFor(
          {0, {"127.0.0.1"}, {entry.ip}, {false, false, kCallerDelay}},
          fault.fault_duration);
      return;
    default:
      for (Micros at = 0; at < fault.fault_duration; at += kChangeGap) {
        ScheduleAction(at, [this](Micros) { callers_.ChangeConfiguration(); });
      }
  }
}

}  // namespace goldcrest
