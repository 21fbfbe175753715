#include "pool/testing/run_history.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string_view>

#include "pool/testing/fake_pool.h"

namespace goldcrest {
namespace {

constexpr Micros kTroublePhase = 8 * kSecond;
constexpr Micros kQuietPhase = 9 * kSecond;
// After a job of unknown outcome, its caller sends it again.
constexpr Micros kResendDelay = 1300 * kMillisecond;
constexpr int kMaxResends = 2;
// A caller is answered this long after its timeout at the latest.
constexpr Micros kAnswerSlack = 500 * kMillisecond;
// Bounds of the rules.
constexpr Micros kCancelTime = 3 * kSecond;
constexpr Micros kStopTime = 50 * kMillisecond;
constexpr Micros kDrainTime = 2 * kSecond;
// Time in which a change is confirmed (bounds.recovery_s), and after which an
// operator sends it to the next control daemon.
constexpr Micros kConfirmTime = 12 * kSecond;
constexpr Micros kOperatorTimeout = kSecond;
constexpr uint64_t kLastVersion = 100;
// Longest write of slow disks; the shortest is kSlowWrite.
constexpr Micros kSlowestWrite = 2500 * kMillisecond;
constexpr int kMaxAttempts = 3;
constexpr int kCrashesToGiveUp = 2;

enum class Trouble : uint8_t {
  // Troubles of a worker's processes and of what they hear and say.
  kLateOrders,
  kLateReports,
  kWorkerCut,
  kWorkerCrash,
  kWorkerRestarts,
  // Troubles of the links between daemons.
  kOneWayCut,
  kChannelResets,
  kEntryCut,
  // Others.
  kLostAnswers,
  kDoubledOrders,
  kClosedCalls,
  kWorkerLeaves,
  kOtherWriter,
  kControlPaused,
  kControlKilled,
  kLinkCut,
  kCancel,
};

constexpr std::array<std::string_view, 17> kTroubleNames = {
    "late_orders",     "late_reports",   "worker_cut",     "worker_crash",
    "worker_restarts", "one_way_cut",    "channel_resets", "entry_cut",
    "lost_answers",    "doubled_orders", "closed_calls",   "worker_leaves",
    "other_writer",    "control_paused", "control_killed", "link_cut",
    "cancel"};
// The first and the last of a group of troubles.
struct TroubleRange {
  Trouble first;
  Trouble last;
};
constexpr TroubleRange kProcessTroubles = {Trouble::kLateOrders,
                                           Trouble::kWorkerRestarts};
constexpr TroubleRange kDaemonLinkTroubles = {Trouble::kOneWayCut,
                                              Trouble::kEntryCut};
constexpr TroubleRange kAllTroubles = {Trouble::kLateOrders, Trouble::kCancel};

FakePoolOptions OptionsOf(uint64_t seed, bool print_log) {
  FakePoolOptions options;
  options.domains = {"a", "b"};
  options.workers_per_domain = 3;
  options.seed = seed;
  options.print_log = print_log;
  options.features.placement_lookahead = true;
  options.features.overload_control = true;
  options.features.queue_floor_percent = 30;
  options.features.standby_after = 250 * kMillisecond;
  options.features.run_times_by_worker = true;
  return options;
}

// A job that was cancelled, and the answer to that.
struct Cancelled {
  int job = 0;
  FakeCancelAnswer answer;
};

class History {
 public:
  History(uint64_t seed, bool print_log)
      : pool_(OptionsOf(seed, print_log)),
        random_(seed * 7919 + 1),
        disk_random_(seed * 104'729 + 1) {}

  HistoryResult Play() {
    for (FakeWorker& worker : pool_.workers()) {
      worker.clock_rate = Chance(0.5) ? 0.98 : 1.0;
      worker.first_report_after =
          Chance(0.3) ? 0 : Between(0, 1500) * kMillisecond;
    }
    pool_.Run(2 * kSecond);
    ChangeResult change = ChangeResult::kUnknown;
    pool_.ChangeConfiguration(0, 5, &change);
    pool_.Run(kSecond);
    const Micros gap = Between(30, 300) * kMillisecond;
    DrawTroubles();
    DrawSlowDisks();
    const Micros quiet_at = pool_.now() + kTroublePhase;
    Micros submit_at = pool_.now();
    while (pool_.now() < quiet_at) {
      if (pool_.now() >= submit_at) {
        Submit();
        submit_at = pool_.now() + gap;
      }
      Step();
    }
    EndAllTroubles();
    const Micros end = pool_.now() + kQuietPhase;
    while (pool_.now() < end) {
      Step();
    }
    CheckConfiguration();
    Check();
    return result_;
  }

 private:
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  size_t AnyEntry() {
    return static_cast<size_t>(
        Between(0, static_cast<int64_t>(pool_.entries().size()) - 1));
  }
  size_t AnyWorker() {
    const auto worker = static_cast<size_t>(
        Between(0, static_cast<int64_t>(pool_.workers().size()) - 1));
    return Chance(share_of_first_worker_) ? 0 : worker;
  }
  size_t AnyControl() {
    return static_cast<size_t>(
        Between(0, static_cast<int64_t>(pool_.controls().size()) - 1));
  }

  TroubleRange DrawRange() {
    constexpr std::array<TroubleRange, 4> kRanges = {
        kProcessTroubles, kDaemonLinkTroubles, kAllTroubles, kAllTroubles};
    return kRanges[static_cast<size_t>(Between(0, 3))];
  }

  // Draws a few kinds of troubles, and the troubles of these kinds, so that
  // they meet each other.
  void DrawTroubles() {
    share_of_first_worker_ = Chance(0.5) ? 0.5 : 1;
    const TroubleRange range = DrawRange();
    std::vector<Trouble> kinds;
    for (int64_t i = Between(1, 5); i > 0; --i) {
      kinds.push_back(
          static_cast<Trouble>(Between(static_cast<int64_t>(range.first),
                                       static_cast<int64_t>(range.last))));
    }
    for (int64_t i = Between(1, 8); i > 0; --i) {
      const auto kind = static_cast<size_t>(
          Between(0, static_cast<int64_t>(kinds.size()) - 1));
      begins_.emplace(pool_.now() + Between(0, kTroublePhase * 2 / 3),
                      kinds[kind]);
    }
  }

  void Submit() {
    constexpr std::array<int64_t, 5> kRunMs = {60, 300, 900, 3000, 6000};
    FakeJob job;
    job.tasks = static_cast<int>(Between(1, 3));
    job.run_ms = kRunMs[static_cast<size_t>(Between(0, 4))];
    job.estimate_ms = Chance(0.5) ? job.run_ms : job.run_ms / 2;
    job.timeout_ms = Chance(0.4) ? 1500 : Between(2000, 6000);
    job.queue = static_cast<size_t>(Between(0, 2));
    job.cpu_millis = 4000;
    const int sent = pool_.Submit(AnyEntry(), job);
    jobs_.push_back(sent);
    timeout_[sent] = job.timeout_ms * kMillisecond;
    answer_due_[sent] = pool_.now() + timeout_[sent] + kAnswerSlack;
  }

  // Runs a short time, begins and ends what is due, and sends jobs again.
  void Step() {
    pool_.Run(10 * kMillisecond);
    while (!begins_.empty() && begins_.begin()->first <= pool_.now()) {
      const Trouble trouble = begins_.begin()->second;
      begins_.erase(begins_.begin());
      result_.troubles.emplace_back(
          kTroubleNames[static_cast<size_t>(trouble)]);
      Begin(trouble);
    }
    while (!ends_.empty() && ends_.begin()->first <= pool_.now()) {
      const std::function<void()> end = ends_.begin()->second;
      ends_.erase(ends_.begin());
      end();
    }
    for (const int job : jobs_) {
      const FakeAnswer& answer = pool_.answers().at(job);
      const bool unknown = answer.fate == wire::JOB_UNKNOWN ||
                           answer.fate == wire::JOB_TIMED_OUT;
      if (unknown && pool_.now() - answer.answered_at >= kResendDelay &&
          resends_[job] < kMaxResends && !IsCancelled(job)) {
        ++resends_[job];
        pool_.Resubmit(job, AnyEntry());
        answer_due_[job] = pool_.now() + timeout_[job] + kAnswerSlack;
      }
    }
  }

  bool IsCancelled(int job) const {
    return std::any_of(
        cancelled_.begin(), cancelled_.end(),
        [&](const Cancelled& cancelled) { return cancelled.job == job; });
  }

  // In one history of four, the disks become slow in the course of it and stay
  // so. Drawn apart, so that the other histories are what they were without.
  void DrawSlowDisks() {
    if (disk_random_() % 4 != 0) {
      return;
    }
    result_.troubles.emplace_back("slow_disks");
    std::uniform_int_distribution<Micros> write_time(kSlowWrite, kSlowestWrite);
    std::uniform_int_distribution<Micros> delay(0, kTroublePhase);
    for (FakeControl& control : pool_.controls()) {
      EndAfter(delay(disk_random_),
               [&control, write_time = write_time(disk_random_)] {
                 control.disk_write_time = write_time;
               });
    }
  }

  void EndAfter(Micros duration, std::function<void()> end) {
    ends_.emplace(pool_.now() + duration, std::move(end));
  }

  void EndAllTroubles() {
    for (const auto& [when, end] : ends_) {
      end();
    }
    ends_.clear();
    begins_.clear();
  }

  // Sets a share of a worker's calls or reports for some time.
  void TroubleShare(double FakeWorker::*share, size_t worker, Micros duration) {
    FakeWorker& troubled = pool_.workers()[worker];
    troubled.*share =
        Chance(0.3) ? 1 : 0.1 * static_cast<double>(Between(1, 9));
    EndAfter(duration, [&troubled, share] { troubled.*share = 0; });
  }

  void Begin(Trouble trouble);
  void CutEntry(size_t entry, Micros duration);
  void CutOneWay(const std::string& from, const std::string& to, Micros start);
  void ResetChannels(const std::string& from, Micros duration);
  void BeginDaemonLinkTrouble(Trouble trouble);
  void BeginLateOrders(size_t worker, Micros duration);
  void RestartSeveralTimes(size_t worker);
  void CancelAnyJob();
  void Check();
  void CheckConfiguration();
  void CheckCancelled(const Cancelled& cancelled);
  void CheckFailed(int job);

  FakePool pool_;
  std::mt19937_64 random_;
  std::mt19937_64 disk_random_;
  // Share of the troubles of workers that meet the first one, and thus each
  // other.
  double share_of_first_worker_ = 0;
  std::multimap<Micros, Trouble> begins_;
  std::multimap<Micros, std::function<void()>> ends_;
  std::vector<int> jobs_;
  std::map<int, int> resends_;  // by job
  std::map<int, Micros> timeout_;
  std::map<int, Micros> answer_due_;
  std::deque<Cancelled> cancelled_;
  HistoryResult result_;
};

void History::CutEntry(size_t entry, Micros duration) {
  const std::string& address = pool_.entries()[entry].address;
  for (const FakeControl& control : pool_.controls()) {
    pool_.DropMessages(address, control.address);
    pool_.DropMessages(control.address, address);
  }
  EndAfter(duration, [this] { pool_.EndPartitions(); });
}

// Cuts what one daemon sends to another after `start`, for 0.3 to 1 s. What is
// sent meanwhile arrives afterwards, or is lost.
void History::CutOneWay(const std::string& from,
                        const std::string& to,
                        Micros start) {
  const Micros duration = Between(300, 1000) * kMillisecond;
  const bool is_lost = Chance(0.3);
  EndAfter(start, [this, from, to, is_lost] {
    if (is_lost) {
      pool_.DropMessages(from, to);
    } else {
      pool_.HoldUpMessages(from, to);
    }
  });
  EndAfter(start + duration,
           [this, from, to] { pool_.RestoreMessages(from, to); });
}

// Resets the channels that a daemon has opened to the others, again and again.
void History::ResetChannels(const std::string& from, Micros duration) {
  for (Micros at = 0; at < duration; at += Between(100, 600) * kMillisecond) {
    const Micros reconnect_time = Between(20, 200) * kMillisecond;
    EndAfter(at, [this, from, reconnect_time] {
      for (const FakeControl& control : pool_.controls()) {
        pool_.ResetChannel(from, control.address, reconnect_time);
      }
      for (const FakeEntry& entry : pool_.entries()) {
        pool_.ResetChannel(from, entry.address, reconnect_time);
      }
    });
  }
}

void History::BeginDaemonLinkTrouble(Trouble trouble) {
  const std::string entry = pool_.entries()[AnyEntry()].address;
  const std::string control = pool_.controls()[AnyControl()].address;
  const bool by_entry = Chance(0.5);
  const Micros duration = Between(300, 5000) * kMillisecond;
  if (trouble == Trouble::kChannelResets) {
    ResetChannels(by_entry ? entry : control, duration);
    return;
  }
  CutOneWay(by_entry ? entry : control, by_entry ? control : entry, 0);
  if (Chance(0.4)) {
    CutOneWay(by_entry ? control : entry, by_entry ? entry : control,
              Between(0, 1500) * kMillisecond);
  }
}

// Orders to the worker, or to all workers, are late.
void History::BeginLateOrders(size_t worker, Micros duration) {
  const Micros longest = Between(200, 12'000) * kMillisecond;
  const bool all = Chance(0.5);
  for (size_t i = 0; i < pool_.workers().size(); ++i) {
    if (all || i == worker) {
      pool_.workers()[i].shortest_delay = 50 * kMillisecond;
      pool_.workers()[i].longest_delay = longest;
      TroubleShare(&FakeWorker::late_order_share, i, duration);
    }
  }
}

// The worker crashes two to four times, and is back under its id each time.
void History::RestartSeveralTimes(size_t worker) {
  Micros crash_after = 0;
  for (int64_t i = Between(2, 4); i > 0; --i) {
    const Micros outage = Between(20, 2000) * kMillisecond;
    EndAfter(crash_after,
             [this, worker, outage] { pool_.CrashWorker(worker, outage); });
    crash_after += outage + Between(10, 1500) * kMillisecond;
  }
}

void History::CancelAnyJob() {
  if (jobs_.empty()) {
    return;
  }
  const auto last = static_cast<int64_t>(jobs_.size()) - 1;
  Cancelled& cancelled = cancelled_.emplace_back();
  cancelled.job = jobs_[static_cast<size_t>(
      Between(std::max<int64_t>(last - 10, 0), last))];
  pool_.Cancel(cancelled.job, AnyEntry(), &cancelled.answer);
}

void History::Begin(Trouble trouble) {
  const size_t worker = AnyWorker();
  const Micros duration = Between(300, 5000) * kMillisecond;
  FakeWorker& troubled = pool_.workers()[worker];
  switch (trouble) {
    case Trouble::kLateOrders:
      BeginLateOrders(worker, duration);
      break;
    case Trouble::kLostAnswers:
      TroubleShare(&FakeWorker::lost_answer_share, worker, duration);
      break;
    case Trouble::kDoubledOrders:
      TroubleShare(&FakeWorker::duplicate_share, worker, duration);
      break;
    case Trouble::kClosedCalls:
      for (size_t i = 0; i < pool_.workers().size(); i += 2) {
        TroubleShare(&FakeWorker::closed_share, i, duration / 4);
      }
      break;
    case Trouble::kWorkerCut:
      troubled.reachable = false;
      EndAfter(duration, [&troubled] { troubled.reachable = true; });
      break;
    case Trouble::kWorkerCrash:
      pool_.CrashWorker(worker, Between(20, 1500) * kMillisecond);
      break;
    case Trouble::kWorkerRestarts:
      RestartSeveralTimes(worker);
      if (Chance(0.5)) {
        RestartSeveralTimes(AnyWorker());
      }
      break;
    case Trouble::kWorkerLeaves:
      pool_.LeaveWorker(worker, Between(500, 2500) * kMillisecond,
                        Chance(0.5) ? 0 : duration,
                        Between(100, 2000) * kMillisecond);
      break;
    case Trouble::kLateReports:
      TroubleShare(&FakeWorker::lost_report_share, worker, duration);
      break;
    case Trouble::kOtherWriter:
      pool_.ReportOfOtherWriter(worker, AnyControl());
      break;
    case Trouble::kControlPaused: {
      FakeControl& control = pool_.controls()[AnyControl()];
      control.paused = true;
      EndAfter(duration, [&control] { control.paused = false; });
      break;
    }
    case Trouble::kControlKilled: {
      const size_t control = AnyControl();
      pool_.KillControl(control);
      EndAfter(duration, [this, control] {
        if (!pool_.controls()[control].running) {
          pool_.StartControl(control);
        }
      });
      break;
    }
    case Trouble::kOneWayCut:
    case Trouble::kChannelResets:
      BeginDaemonLinkTrouble(trouble);
      break;
    case Trouble::kEntryCut:
      CutEntry(AnyEntry(), duration);
      break;
    case Trouble::kLinkCut:
      pool_.DropMessages(pool_.controls()[AnyControl()].address,
                         troubled.status.failure_domain());
      EndAfter(duration, [this] { pool_.EndPartitions(); });
      break;
    case Trouble::kCancel:
      for (int i = 0; i < 8; ++i) {
        EndAfter(Between(0, 3000) * kMillisecond, [this] { CancelAnyJob(); });
      }
      break;
  }
}

void History::CheckCancelled(const Cancelled& cancelled) {
  const wire::JobFate fate = cancelled.answer.fate.value_or(wire::JOB_UNKNOWN);
  const bool confirmed =
      fate == wire::JOB_CANCELLED || fate == wire::JOB_FATE_UNSPECIFIED;
  if (!confirmed) {
    return;
  }
  const std::string id = "job" + std::to_string(cancelled.job);
  const Micros since = cancelled.answer.answered_at + kCancelTime;
  for (const auto& [name, record] : pool_.tasks()) {
    if (name.job_id != id) {
      continue;
    }
    if (record.last_start > since ||
        record.last_run_until > since + kStopTime) {
      result_.violations.push_back("UNASKED: " + ToString(name) +
                                   " runs after its job was cancelled");
    }
  }
}

void History::CheckFailed(int job) {
  const std::string id = "job" + std::to_string(job);
  bool has_cause = false;
  for (const auto& [name, record] : pool_.tasks()) {
    has_cause =
        has_cause || (name.job_id == id && (record.failures >= kMaxAttempts ||
                                            record.lost >= kCrashesToGiveUp));
  }
  if (!has_cause) {
    result_.violations.push_back("LOST: " + id +
                                 " is shown as failed without a cause");
  }
}

// An operator sends a change to one control daemon after another until it is
// confirmed.
void History::CheckConfiguration() {
  const Micros until = pool_.now() + kConfirmTime;
  std::deque<ChangeResult> answers;
  for (size_t i = 0; pool_.now() < until; ++i) {
    ChangeResult& answer = answers.emplace_back(ChangeResult::kUnknown);
    pool_.ChangeConfiguration(i % pool_.controls().size(), kLastVersion,
                              &answer);
    pool_.Run(kOperatorTimeout);
    if (answer == ChangeResult::kDurable) {
      return;
    }
  }
  result_.violations.emplace_back("CONFIG: no change is confirmed afterwards");
}

void History::Check() {
  for (const std::string& violation : pool_.violations()) {
    // A job that is sent again may run again after its end.
    if (!violation.starts_with("started after")) {
      result_.violations.push_back("TWICE: " + violation);
    }
  }
  for (const Cancelled& cancelled : cancelled_) {
    CheckCancelled(cancelled);
  }
  for (const auto& [job, answer] : pool_.answers()) {
    if (answer.fate == wire::JOB_FAILED) {
      CheckFailed(job);
    }
    if (answer.fate == wire::JOB_FATE_UNSPECIFIED &&
        pool_.now() > answer_due_.at(job)) {
      result_.violations.push_back("LOST: job" + std::to_string(job) +
                                   " has no answer");
    }
  }
  const bool calm_daemons = std::none_of(
      result_.troubles.begin(), result_.troubles.end(),
      [](const std::string& name) {
        return name.starts_with("control") || name.ends_with("_cut");
      });
  for (const FakeWorker& worker : pool_.workers()) {
    if (calm_daemons && worker.latest_start_draining > kDrainTime) {
      result_.violations.push_back("DRAIN: " + worker.status.id() +
                                   " gets a task while it drains");
    }
  }
  for (const auto& [name, record] : pool_.tasks()) {
    result_.runs += record.starts;
  }
}

}  // namespace

HistoryResult PlayHistory(uint64_t seed, bool print_log) {
  return History(seed, print_log).Play();
}

}  // namespace goldcrest
