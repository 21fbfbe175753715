#ifndef GOLDCREST_TESTING_FAKE_WORLD_H_
#define GOLDCREST_TESTING_FAKE_WORLD_H_

// Fakes at the interfaces of the decisions: a network, clocks, disks, workers
// and callers, all driven by one seed.
//
// A FakeWorld holds several blackboards and steps them through time. It loses,
// delays, repeats and reorders messages, cuts links in one or both directions,
// restarts VMs with and without their disks, and crashes workers. Its witness
// is the list of starts that workers really made; its checks compare answers
// and refusals with that list. Everything found wrong is a line in `faults`.

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

// How a world is built.
struct WorldOptions {
  uint64_t seed = 1;
  // VMs in each failure domain.
  std::vector<int> vms_per_domain = {2, 2};
  int workers_per_domain = 2;
  int slots = 2;
  // Which VMs have a disk: every `disk_every`th; 0 means none.
  int disk_every = 3;
  // Chance that a message between VMs is lost or delivered twice.
  double loss = 0;
  double duplication = 0;
  Micros min_delay = 200;
  Micros max_delay = 2 * kMillisecond;
  // Greatest error of a VM's wall clock, in milliseconds.
  int64_t clock_skew_ms = 200;
  Tuning tuning;
  Configuration configuration;
};

// One start that a worker made.
struct WitnessedStart {
  std::string submission_id;
  uint32_t index = 0;
  Micros at = 0;
  std::string worker;
  uint64_t lease_epoch = 0;
};

// One answer that a caller got.
struct WitnessedAnswer {
  Micros at = 0;
  std::string vm;
  int status = 0;
  wire::JobResult result;
};

// One submission, all its copies and their answers.
struct CallerRecord {
  wire::Submission submission;
  bool idempotent = false;
  int sent = 0;
  int outstanding = 0;
  Micros last_sent_at = 0;
  Micros expires_at = 0;
  std::vector<WitnessedAnswer> answers;
  // Set while a refusal is the last word: nothing may start any more.
  bool refused = false;
};

// One change of configuration that was answered with 200.
struct AcceptedChange {
  uint64_t version = 0;
  std::string digest;
  Micros at = 0;
};

class FakeWorld {
 public:
  explicit FakeWorld(WorldOptions options);
  ~FakeWorld();

  // Runs until `time`.
  void RunUntil(Micros time);
  void RunFor(Micros duration) { RunUntil(now_ + duration); }
  Micros now() const { return now_; }

  // Callers. A copy that gets no answer is left outstanding.
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

  // Faults.
  void CrashVm(const std::string& vm);
  void StartVm(const std::string& vm, bool keep_disk);
  void Drain(const std::string& vm);
  void Cut(const std::string& from, const std::string& to);
  void CutVm(const std::string& vm);
  void CutDomain(const std::string& domain);
  void HealCuts();
  void CrashWorker(const std::string& worker);
  void LeaveWorker(const std::string& worker);
  // Brings a worker that left back, as a new incarnation.
  void ReturnWorker(const std::string& worker);
  // Says whether `vm` is the only one that is up with its memory whole.
  bool IsLastWhole(const std::string& vm) const;
  void SetLoss(double loss);

  // State.
  bool IsUp(const std::string& vm) const;
  Blackboard& Board(const std::string& vm);
  // The board of some VM that is up; there must be one.
  Blackboard& AnyBoard();
  std::vector<std::string> Vms() const;
  std::vector<std::string> VmsOf(const std::string& domain) const;
  std::vector<std::string> Workers() const;
  std::vector<std::string> Domains() const;
  const std::map<std::string, CallerRecord>& callers() const {
    return callers_;
  }
  const std::vector<WitnessedStart>& starts() const { return starts_; }
  const std::vector<AcceptedChange>& accepted_changes() const {
    return accepted_changes_;
  }
  int StartsOf(const std::string& id, uint32_t index) const;
  const wire::JobResult* LastAnswer(const std::string& id) const;
  // Says whether any copy of a submission got a final answer.
  bool HasFinalAnswer(const std::string& id) const;
  std::mt19937_64& random() { return random_; }

  // Says whether a majority of the claim voters of `domain` remember all that
  // they voted. Without one, a submission that does not say when it was first
  // made cannot be decided before the retention window has passed.
  bool CanDecide(const std::string& domain);

  // Records what is still wrong when everything has healed and settled.
  void CheckSettled();

  // What callers, operators and faults did, in order.
  std::vector<TraceStep> recording;

  std::vector<std::string> faults;
  uint64_t messages_sent = 0;
  uint64_t messages_lost = 0;

  // The output that a task must have.
  static std::string ExpectedOutput(const std::string& id, uint32_t index);

 private:
  struct Vm;
  struct Worker;
  struct Scheduled;
  struct Later;

  void Record(TraceVerb verb, const std::string& target);
  void Record(TraceStep step);
  void BootVm(const std::string& name, bool keep_disk);
  void EndVm(const std::string& name);
  void EndWorker(const std::string& name);
  void CutLink(const std::string& from, const std::string& to);
  void At(Micros time, std::function<void()> action);
  Micros Delay();
  bool Chance(double probability);
  Now ClockOf(const Vm& vm) const;
  void StepVm(Vm& vm, const Event& event);
  void Perform(Vm& vm, const Actions& actions);
  void PerformOne(Vm& vm, const ReplyResult& action);
  void PerformOne(Vm& vm, const ReplyJson& action);
  void PerformOne(Vm& vm, const StartTask& action);
  void PerformOne(Vm& vm, const StopTask& action);
  void PerformOne(Vm& vm, const LookupTask& action);
  void PerformOne(Vm& vm, const SendPeer& action);
  void PerformOne(Vm& vm, const AppendJournal& action);
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
  void CheckStart(const WitnessedStart& start);
  void CheckAnswer(CallerRecord& record, const WitnessedAnswer& answer);
  void CheckVersions(Vm& vm);
  uint64_t VersionHeldBy(const Vm& vm) const;
  void CheckHolders(const AcceptedChange& change);
  void ForgetLostChanges();
  Worker* WorkerAt(const std::string& address);

  WorldOptions options_;
  std::mt19937_64 random_;
  Micros now_ = kSecond;
  uint64_t next_sequence_ = 1;
  std::unique_ptr<Later> later_;
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, CallerRecord> callers_;
  std::map<ReplyToken, std::function<void(const Action&)>> waiting_;
  ReplyToken next_token_ = 1;
  std::vector<WitnessedStart> starts_;
  std::map<std::string, int> starts_by_task_;
  // The highest claim ballot under which a start of each submission was sent.
  std::map<std::string, uint64_t> ballots_;
  std::vector<AcceptedChange> accepted_changes_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_FAKE_WORLD_H_
