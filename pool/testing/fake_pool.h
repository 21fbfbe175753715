#ifndef POOL_TESTING_FAKE_POOL_H_
#define POOL_TESTING_FAKE_POOL_H_

// A simulated deployment in one thread and in simulated time: the real decision
// code of entry and control daemons with a fake mesh, fake disks and fake
// workers.
//
// Workers check invariants: no two attempts of one task at the same time, and
// no start beyond a worker's capacity. Daemons can be killed, paused and
// partitioned, disks can lose their contents or fail writes, and workers can
// fail, hang, be partitioned, leave orders unanswered and execute them late.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool/entry/entry.h"
#include "pool/pool_step.h"
#include "pool/testing/fake_worker.h"

namespace goldcrest {

struct FakePoolOptions {
  std::vector<std::string> domains = {"a", "b", "c"};
  int controls_per_domain = 1;
  int entries_per_domain = 1;
  int workers_per_domain = 4;
  int64_t worker_cpu_millis = 16'000;
  uint64_t seed = 1;
  bool print_log = false;
  // Whether a worker without an assigned report address reports to the first
  // reachable control daemon, instead of to a random one.
  bool report_to_first_control = false;
  HeartbeatRates rates;
  PoolFeatures features;  // of all daemons
  // Standard deviation of the logarithm of (run time / estimate), and share of
  // the jobs whose tasks take seven times as long as that.
  double estimate_deviation = 0;
  double long_job_share = 0;
  Micros message_delay = kMillisecond;  // of each message
  double message_loss = 0;              // share of the messages between daemons
  Micros disk_write_time = 9 * kMillisecond;  // duration of a disk write
  int tolerated_losses = 1;                   // of control daemons
};

// Time from the request to stop a daemon until it is killed.
inline constexpr Micros kStopGrace = 6 * kSecond;

// A job that a test submits.
struct FakeJob {
  int tasks = 1;
  int64_t run_ms = 0;  // of each task, on a worker that is not slow
  int64_t timeout_ms = 0;
  int64_t estimate_ms = 0;  // the caller's estimate of run_ms
  // Index in kFakeQueues; it is also the priority of the queue.
  size_t queue = 0;
  int64_t cpu_millis = 6800;  // of each task
  // Index of the task that crashes the workers that start it; -1: none.
  int crashing_task = -1;
  std::string id = {};  // empty: "job" and its number
};

// The queues of the configuration that all daemons get.
inline constexpr std::array<const char*, 3> kFakeQueues = {"bells", "bells1",
                                                           "bells2"};

struct FakeControl {
  std::string address;
  std::string domain;
  PoolBoard board;
  wire::StoredRegister disk;
  Micros disk_write_time = 0;  // of the writes that begin from now on
  // The newest state that waits for the write in progress.
  std::optional<PersistRegister> queued_write;
  bool is_writing = false;
  bool running = true;
  bool paused = false;
  bool disk_write_fails = false;
  bool placement_scheduled = false;
  // Incremented by each start and kill, so that events of the previous process
  // are dropped.
  int incarnation = 0;
};

struct FakeEntry {
  std::string address;
  std::string domain;
  EntryBoard board;
  bool running = true;
  bool paused = false;
  bool placement_scheduled = false;
  int incarnation = 0;
};

struct FakeAnswer {
  wire::JobFate fate = wire::JOB_FATE_UNSPECIFIED;
  Micros submitted_at = 0;
  Micros answered_at = 0;
  int64_t run_ms = 0;  // of one task on a worker of normal speed
  int64_t retry_after_ms = 0;
};

// The answer to a request to cancel a job.
struct FakeCancelAnswer {
  std::optional<wire::JobFate> fate;  // none: not answered
  Micros answered_at = 0;
};

class FakePool {
 public:
  explicit FakePool(const FakePoolOptions& options);

  // Advances the simulated time and runs all events that are due.
  void Run(Micros duration);

  // Sends a job of `tasks` tasks to an entry daemon; returns its number.
  int Submit(size_t entry, int tasks, int64_t run_ms, int64_t timeout_ms);
  int Submit(size_t entry, const FakeJob& job);
  // Sends the same job again, as callers do after an unknown outcome.
  void Resubmit(int job, size_t entry);

  // Requests to cancel a job at an entry daemon; `answer` is set when the
  // daemon replies.
  void Cancel(int job, size_t entry, FakeCancelAnswer* answer);

  // Ends the process of a worker, which is back after `outage` under its id.
  void CrashWorker(size_t worker, Micros outage);
  // Another process takes the place of a worker at its address at once, under
  // the id `id`, which may be the same.
  void ReplaceWorker(size_t worker, const std::string& id);
  // The worker reports that it drains, sends its deregister call after `drain`
  // and ends; it is back after `outage`. The call arrives `delay` after it was
  // sent.
  void LeaveWorker(size_t worker, Micros drain, Micros delay, Micros outage);
  // Delivers a report to a control daemon that names the worker's id and
  // address, a service that is in no configuration, and a later start.
  void ReportOfOtherWriter(size_t worker, size_t control);

  // Sets the duration of the writes that all disks begin from now on.
  void SetDiskWriteTime(Micros duration);
  // Sends a configuration to a control daemon; `answer` is set when the daemon
  // replies.
  void ChangeConfiguration(size_t control,
                           uint64_t version,
                           ChangeResult* answer);

  // Requests the newest configuration from a control daemon. Returns the
  // version that it replies at once, or 0 if there is no such reply.
  uint64_t ReadConfiguration(size_t control);

  // Requests the newest configuration from a control daemon. `version` is set
  // when the daemon replies: to its version, or to 0 if it has not the newest.
  void RequestConfiguration(size_t control, std::optional<uint64_t>* version);

  void KillControl(size_t control);
  // `first_start`: as at the first start of the deployment (MakeAgreement()).
  void StartControl(size_t control, bool first_start = false);
  void WipeDisk(size_t control);
  void KillEntry(size_t entry);
  void StartEntry(size_t entry);
  // Begins a graceful stop. The process ends when it is drained and its last
  // messages are sent; it is killed kStopGrace after the request.
  void StopControl(size_t control);
  void StopEntry(size_t entry);
  // Drops all messages from the daemon at the address `from` to `to`, which is
  // the address of a daemon, or the name of a failure domain and means all
  // workers in it.
  void DropMessages(const std::string& from, const std::string& to);
  // Holds up the messages from the daemon at `from` to that at `to` until they
  // are delivered again, as a cut link does to the bytes of its connections.
  void HoldUpMessages(const std::string& from, const std::string& to);
  // Delivers messages from `from` to `to` again, first those that were held up.
  void RestoreMessages(const std::string& from, const std::string& to);
  // Resets the channel on which `from` sends to `to`: what it sends until the
  // channel is open again, after `reconnect_time`, is dropped.
  void ResetChannel(const std::string& from,
                    const std::string& to,
                    Micros reconnect_time);
  // Partitions a failure domain from all others.
  void CutDomain(const std::string& domain);
  // Ends all partitions: no messages are dropped any longer.
  void EndPartitions();

  std::deque<FakeControl>& controls() { return controls_; }
  std::deque<FakeEntry>& entries() { return entries_; }
  std::vector<FakeWorker>& workers() { return workers_.all; }
  const std::map<TaskName, TaskRecord>& tasks() const { return workers_.tasks; }
  const std::map<int, FakeAnswer>& answers() const { return answers_; }
  Micros now() const { return now_; }

  // Returns the id under which a job was submitted.
  std::string IdOf(int job) const;
  // The record of a task of a job with one step.
  TaskRecord RecordOf(int job, uint32_t index) const {
    const auto found = workers_.tasks.find({IdOf(job), 0, 0, index});
    return found == workers_.tasks.end() ? TaskRecord() : found->second;
  }
  // Descriptions of the invariants that were violated.
  const std::vector<std::string>& violations() const {
    return workers_.violations;
  }

  // Counts the workers that are ready at some running control or entry daemon.
  int ReadyWorkers() const;
  // Counts the jobs that were refused although a task of them has started.
  int CountRefusedAfterStart() const;
  // Counts the answers with this outcome.
  int CountAnswers(wire::JobFate fate) const;
  // Returns the newest configuration version of all running control daemons.
  uint64_t NewestVersion() const;
  // Number of configurations sent to entry daemons since the start.
  int routings_sent() const { return routings_sent_; }
  // Number of heartbeats between entry and control daemons of different failure
  // domains since the start.
  int cross_domain_heartbeats() const { return cross_domain_heartbeats_; }

  // Number of daemons that were killed at the end of a graceful stop.
  int killed_at_stop() const { return killed_at_stop_; }

  // Number of messages between daemons since the start that a single event
  // causes: all but those that are sent periodically, of heartbeats and the
  // agreement.
  uint64_t CountEventMessages() const;

  // Number of log lines with this event name.
  int CountLogged(const std::string& event) const;

 private:
  // Runs `what` at the time `when`.
  void Schedule(Micros when, std::function<void()> what);
  // The wall clock starts at an arbitrary time.
  StepTime Clock() const {
    return {now_, 1'700'000'000'000 + now_ / kMillisecond};
  }
  void StepControl(size_t index, const PoolEvent& event);
  // Places tasks once for all events of this moment, as the daemon's loop does.
  void PlaceAfterEvents(size_t index);
  void StepEntry(size_t index, const EntryEvent& event);
  void PlaceAfterEntryEvents(size_t index);
  void Perform(size_t index, bool is_control, PoolActions actions);
  // Begins to write the queued state, unless a write is in progress: as
  // RegisterFile does, the disk writes one state at a time, the newest.
  void WriteToDisk(size_t index);
  void EndWrite(size_t index, const PersistRegister& write);
  void Deliver(const std::string& from, SendMessage send, uint64_t incarnation);
  // Hands the message to its receiver, unless it is dropped or held up.
  void Receive(const std::string& from, const SendMessage& send);
  // The daemon that sent an order, and its incarnation.
  struct Sender {
    bool is_control = true;
    size_t index = 0;
    int incarnation = 0;
  };
  void SendToWorker(const Sender& sender, WorkerOrder order);
  void AnswerTo(const Sender& sender, const WorkerAnswer& answer);
  void AnswerAt(Micros when, const Sender& sender, const WorkerAnswer& answer);
  // Whether something happens that has this probability.
  bool Happens(double share);
  // Executes the order now, unless another worker has its address.
  WorkerAnswer Execute(const WorkerOrder& order);
  // Executes the order now and answers it, at once or when an attempt ends.
  void ExecuteAndAnswer(const Sender& sender, const WorkerOrder& order);
  void DeliverReport(const wire::WorkerNews& report);
  void TickWorkers();
  void TickWorker(FakeWorker& worker);
  void Report(FakeWorker& worker);
  // Makes the board of a daemon from its disk, if it has one, and schedules its
  // periodic events. Used for the first start and for restarts.
  void BootControl(size_t index, bool first_start);
  void BootEntry(size_t index);
  // Ends the process when it is drained, or at `kill_at`.
  void EndWhenDrained(const Sender& process, Micros kill_at);
  void SendJob(int job, size_t entry);

  FakePoolOptions options_;
  std::mt19937_64 random_;
  Micros now_ = kSecond;  // not 0, which means "never" in many fields
  uint64_t next_event_ = 0;
  std::map<std::pair<Micros, uint64_t>, std::function<void()>> queue_;
  std::deque<FakeControl> controls_;
  std::deque<FakeEntry> entries_;
  FakeWorkers workers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  // By sender and receiver: the messages that are held up.
  std::map<std::pair<std::string, std::string>, std::vector<SendMessage>>
      held_up_;
  // By sender and receiver: when a channel that was reset is open again.
  std::map<std::pair<std::string, std::string>, Micros> open_again_at_;
  std::map<int, FakeAnswer> answers_;
  std::map<int, FakeJob> jobs_;
  std::map<ReplyToken, int> job_of_token_;
  ReplyToken next_token_ = 1;
  std::map<ReplyToken, ChangeResult*> changes_;
  std::map<ReplyToken, std::optional<uint64_t>*> reads_;
  std::map<ReplyToken, FakeCancelAnswer*> cancels_;
  int routings_sent_ = 0;
  int cross_domain_heartbeats_ = 0;
  int killed_at_stop_ = 0;
  std::map<std::string, std::string> domain_of_address_;  // by address
  std::map<std::string, int> logged_;
  std::map<wire::PoolMessage::BodyCase, uint64_t> messages_;  // sent, by kind
};

}  // namespace goldcrest

#endif  // POOL_TESTING_FAKE_POOL_H_
