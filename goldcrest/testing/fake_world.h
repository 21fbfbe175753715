#ifndef GOLDCREST_TESTING_FAKE_WORLD_H_
#define GOLDCREST_TESTING_FAKE_WORLD_H_

// Simulates a whole deployment around the decision code: fakes of the network,
// clocks, disks, workers and callers, all driven by one seed.
//
// A FakeWorld holds one blackboard for each VM and steps them through simulated
// time. It loses, delays, duplicates and reorders messages, cuts links in one
// or both directions, restarts VMs with and without their disks, and crashes
// workers. It records every attempt that a fake worker actually started, and
// checks answers and refusals against that list. Each violation that it finds
// is a line in `violations`.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/step.h"
#include "goldcrest/testing/fault_trace.h"

namespace goldcrest {

// The size of a simulated deployment and the behaviour of its fakes.
struct WorldOptions {
  uint64_t seed = 1;
  // Number of VMs in each failure domain.
  std::vector<int> vms_per_domain = {2, 2};
  int workers_per_domain = 2;
  // Number of slots of each worker.
  int slots = 2;
  // Every `disk_every`th VM has a disk; 0 means that no VM has one.
  int disk_every = 3;
  // Probability that a message between VMs is lost or delivered twice.
  double loss = 0;
  double duplication = 0;
  // Bounds of the random delay of a message, in microseconds. A disk sync takes
  // twice such a delay or longer.
  Micros min_message_delay = 200;
  Micros max_message_delay = 2 * kMillisecond;
  // Duration of a disk sync, if it is not 0; records that are appended during
  // one are synced together by the next.
  Micros sync_time = 0;
  // Maximum error of a VM's wall clock in either direction, in milliseconds.
  int64_t clock_skew_ms = 200;
  Tuning tuning;
  Configuration configuration;
};

// One attempt that a fake worker started.
struct ObservedAttempt {
  std::string submission_id;
  uint32_t index = 0;
  Micros started_at = 0;
  std::string worker;
  uint64_t lease_epoch = 0;
};

// One answer that a caller received.
struct ObservedAnswer {
  Micros answered_at = 0;
  std::string vm;
  int status = 0;
  wire::JobResult result;
};

// One submission with the number of copies sent and the answers received.
struct SubmissionHistory {
  wire::Submission submission;
  bool idempotent = false;
  int copies_sent = 0;
  int copies_outstanding = 0;
  Micros last_sent_at = 0;
  Micros expires_at = 0;
  std::vector<ObservedAnswer> answers;
  // Whether the most recent answer is a refusal and no copy was sent since. If
  // this is set and `copies_outstanding` is 0, the start of one of its tasks is
  // a violation.
  bool refused = false;
};

// One configuration change that was answered with status 200.
struct AcceptedChange {
  uint64_t version = 0;
  std::string digest;
  Micros accepted_at = 0;
};

class FakeWorld {
 public:
  explicit FakeWorld(WorldOptions options);
  ~FakeWorld();

  // Advances the simulated time to `time` and runs all callbacks scheduled up
  // to then.
  void RunUntil(Micros time);
  void RunFor(Micros duration) { RunUntil(now_ + duration); }
  Micros now() const { return now_; }

  // Callers. A copy that receives no answer remains outstanding.
  void Submit(const std::string& vm, const wire::Submission& submission);
  wire::Submission MakeSubmission(const std::string& id,
                                  const std::string& kind,
                                  int tasks,
                                  uint64_t run_ms) const;
  void Cancel(const std::string& vm, const std::string& id);

  // Operators.
  void PutConfiguration(const std::string& vm,
                        uint64_t if_version,
                        const Configuration& configuration);

  // Faults. CrashVm() stops a VM at once; its disk keeps what was synced.
  // StartVm() restarts a stopped VM, with an empty disk unless `keep_disk`.
  void CrashVm(const std::string& vm);
  void StartVm(const std::string& vm, bool keep_disk);
  void Drain(const std::string& vm);
  // Cuts the link from one VM or worker to another, in this direction only.
  void Cut(const std::string& from, const std::string& to);
  // Cuts all links of a VM, to the other VMs and to workers, in both
  // directions.
  void CutVm(const std::string& vm);
  // Cuts all links between a failure domain and the others.
  void CutDomain(const std::string& domain);
  void HealCuts();
  // Ends a worker, which restarts 1 s later without its tasks and results.
  void CrashWorker(const std::string& worker);
  // Makes the worker announce to the VMs that it leaves.
  void AnnounceLeaving(const std::string& worker);
  // Restarts a worker that has left, as a new incarnation.
  void RestartLeftWorker(const std::string& worker);
  // Returns true if no VM other than `vm` is up with the full state of claims
  // and configuration. The product guarantees nothing if all VMs lose their
  // state at once, so tests don't stop `vm` then.
  bool IsLastWithFullState(const std::string& vm) const;
  void SetLoss(double loss);

  // State.
  bool IsUp(const std::string& vm) const;
  Blackboard& Board(const std::string& vm);
  // Returns the board of some VM that is up. At least one VM must be up.
  Blackboard& AnyBoard();
  std::vector<std::string> Vms() const;
  std::vector<std::string> VmsOf(const std::string& domain) const;
  std::vector<std::string> Workers() const;
  std::vector<std::string> Domains() const;
  const std::map<std::string, SubmissionHistory>& submissions() const {
    return submissions_;
  }
  const std::vector<ObservedAttempt>& attempts() const { return attempts_; }
  const std::vector<AcceptedChange>& accepted_changes() const {
    return accepted_changes_;
  }
  int CountAttempts(const std::string& id, uint32_t index) const;
  const wire::JobResult* LastAnswer(const std::string& id) const;
  // Returns true if any copy of a submission received a final answer.
  bool HasFinalAnswer(const std::string& id) const;
  std::mt19937_64& random() { return random_; }

  // Returns true if a majority of the claim voters of `domain` have full state
  // of its claims. Without such a majority, a submission without a submission
  // time cannot be decided before the retention window has passed.
  bool CanDecideClaims(const std::string& domain);

  // Checks the state after all faults are healed and all jobs have ended.
  // Records a violation for each VM that lacks the latest accepted
  // configuration, that still has queued tasks, that still counts slots or
  // tasks as in use, or that still has a job although CanDecideClaims() returns
  // true for the job's home domain.
  void CheckQuiescence();

  // The actions of callers and operators and the injected faults, in order.
  std::vector<TraceStep> recording;

  // Descriptions of everything that the checks found wrong.
  std::vector<std::string> violations;
  uint64_t messages_sent = 0;
  uint64_t messages_lost = 0;

  // Returns the output that a fake worker produces for a task.
  static std::string ExpectedOutput(const std::string& id, uint32_t index);

 private:
  struct Vm;
  struct Worker;
  struct ScheduledCallback;
  struct CallbackQueue;

  void RecordStep(TraceVerb verb, const std::string& target);
  void Record(TraceStep step);
  void BootVm(const std::string& name, bool keep_disk);
  void StopVm(const std::string& name);
  void RestartWorker(const std::string& name);
  void CutLink(const std::string& from, const std::string& to);
  // Schedules `callback` to run at the simulated time `time`.
  void ScheduleAt(Micros time, std::function<void()> callback);
  Micros RandomDelay();
  bool RandomChance(double probability);
  StepTime ClockOf(const Vm& vm) const;
  void StepVm(Vm& vm, const Event& event);
  void Perform(Vm& vm, const Actions& actions);
  void PerformOne(Vm& vm, const ReplyResult& action);
  void PerformOne(Vm& vm, const ReplyJson& action);
  void PerformOne(Vm& vm, const StartTask& action);
  void PerformOne(Vm& vm, const StopTask& action);
  void PerformOne(Vm& vm, const LookupTask& action);
  void PerformOne(Vm& vm, const SendPeer& action);
  void PerformOne(Vm& vm, const AppendJournal& action);
  // Returns when a record that is appended now is synced.
  Micros SyncedAt(Vm& vm);
  void PerformOne(Vm& vm, const LogEvent& action);
  void ScheduleTick(Vm& vm);
  bool IsCut(const std::string& from, const std::string& to) const;
  void DeliverTo(const std::string& vm, uint64_t incarnation, Event event);
  void Announce(Worker& worker);
  void OnLeaseReply(Worker& worker,
                    uint64_t incarnation,
                    const ReplyJson& reply);
  void ReceiveStart(Worker& worker,
                    const std::string& vm,
                    uint64_t vm_incarnation,
                    const StartTask& start);
  void AnswerVm(const Worker& worker,
                const std::string& vm,
                uint64_t vm_incarnation,
                TaskAnswer answer);
  void Trace(const std::string& line) const;
  void CheckAttempt(const ObservedAttempt& start);
  void CheckAnswer(SubmissionHistory& record, const ObservedAnswer& answer);
  // Records a violation if the version of the configuration in force on `vm`
  // has decreased.
  void CheckConfigurationVersion(Vm& vm);
  // Returns the highest configuration version that `vm` holds, in force or as a
  // vote; that on its disk if the VM is down.
  uint64_t ConfigurationVersionOf(const Vm& vm) const;
  // Records a violation if less than a majority of the configuration voters
  // hold `change`.
  void CheckHeldByMajority(const AcceptedChange& change);
  // Removes the accepted changes that no running VM and no disk holds any more.
  void RemoveUnrecoverableChanges();
  Worker* WorkerAt(const std::string& address);

  WorldOptions options_;
  std::mt19937_64 random_;
  Micros now_ = kSecond;
  uint64_t next_sequence_ = 1;
  std::unique_ptr<CallbackQueue> scheduled_callbacks_;
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, SubmissionHistory> submissions_;
  std::map<ReplyToken, std::function<void(const Action&)>> reply_handlers_;
  ReplyToken next_token_ = 1;
  std::vector<ObservedAttempt> attempts_;
  std::map<std::string, int> attempts_by_task_;
  // The highest claim ballot under which a start request for a task of each
  // submission was sent.
  std::map<std::string, uint64_t> highest_ballots_;
  std::vector<AcceptedChange> accepted_changes_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_FAKE_WORLD_H_
