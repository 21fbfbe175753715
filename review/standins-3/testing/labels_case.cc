// Case 11: a worker restarts under its id and is of another kind, while the
// control daemon that orders it is frozen. Are tasks that need the old kind
// started on it?
//
//   labels_case RECORD FOLDER
//
// With TROUBLE=0 in the environment nothing is frozen and nothing restarts.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.

#include <signal.h>

#include <algorithm>
#include <iostream>

#include "stand_ins.h"

namespace review {
namespace {

constexpr int64_t kFreezeMs = 3600;
constexpr int64_t kCrashAfterMs = 2200;  // from the beginning of the freeze
constexpr int64_t kDownMs = 700;
constexpr int64_t kWatchMs = 5000;  // from the end of the freeze
constexpr int64_t kJobPeriodMs = 40;
constexpr int kWorkersPerZone = 3;

// What the clients have sent and received, and what the workers have started.
class Case {
 public:
  explicit Case(Record& record) : record_(record) {}

  // Sends one job of two tasks that need the label "a".
  void SendJob(const std::string& front) {
    const std::string id = RandomHex(16);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      required_label_[id] = "a";
    }
    const std::string body =
        R"({"spec":"27000 60","best_effort":true,"steps":[{"count":2,)"
        R"("cpu":27000,"mem_mb":64,"estimate_ms":60,"requirements":"a"}]})";
    const Reply reply = Call(
        front, "POST", kPrefix + id,
        {{"Host", kHost}, {"Goldcrestplank-Deadline-Ms", "1500"}}, body, 1500);
    record_.Line("job " + id + " requirements a sent to " + front + " answer " +
                 std::to_string(reply.status) + " " + reply.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++sent_;
    served_ += reply.status == 200 ? 1 : 0;
  }

  void OnStart(Worker& worker, const Start& start) {
    const std::string job = start.task.substr(0, start.task.find('.'));
    const std::vector<std::string> labels = worker.labels();
    const int64_t acknowledged_at = worker.acknowledged_at();
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto required = required_label_.find(job);
    const bool lacks_label = required != required_label_.end() &&
                             std::find(labels.begin(), labels.end(),
                                       required->second) == labels.end();
    std::string line = "start " + start.task + " run " +
                       std::to_string(start.run) + " on " +
                       worker.options().id + " kind " + labels[0];
    if (lacks_label) {
      // Only what follows the confirmation of the worker's report is counted.
      const bool reported = acknowledged_at != 0;
      broken_ += reported ? 1 : 0;
      line += reported ? " ROUTE broken: without the label, " +
                             std::to_string(NowMs() - acknowledged_at) +
                             " ms after its report was confirmed"
                       : " without the label, its report is not confirmed yet";
    }
    record_.Line(line);
  }

  int sent() const { return sent_; }
  int served() const { return served_; }
  int broken() const { return broken_; }

 private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::string> required_label_;  // by job id
  int sent_ = 0;
  int served_ = 0;
  int broken_ = 0;
};

int Run(const std::string& record_path, const std::string& folder) {
  const bool trouble = !IsWithoutTrouble();
  Record record(record_path);
  Case review_case(record);
  const std::vector<std::string> zones = {"austin", "waco", "san-marcos"};
  Deployment deployment(folder, zones);
  if (!deployment.StartAll()) {
    std::cerr << "the programs could not be started\n";
    return 2;
  }
  const auto workers = MakeWorkers(deployment, zones, kWorkersPerZone, record,
                                   [&](Worker& worker, const Start& start) {
                                     review_case.OnStart(worker, start);
                                   });
  for (const auto& worker : workers) {
    worker->Boot();
  }
  if (!deployment.Configure(Configuration(1), 15'000) ||
      !deployment.AwaitReady(15'000)) {
    std::cerr << "the deployment does not get ready\n";
    return 2;
  }
  SleepMs(4000);
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (const Daemon& entry : deployment.entries()) {
    const std::string front = deployment.FrontAddress(entry);
    clients.emplace_back([&, front] {
      std::vector<std::thread> jobs;
      while (!stop) {
        jobs.emplace_back([&, front] { review_case.SendJob(front); });
        SleepMs(kJobPeriodMs);
      }
      for (std::thread& job : jobs) {
        job.join();
      }
    });
  }
  SleepMs(2000);
  const Daemon& frozen = deployment.controls()[2];
  Worker& restarted = *workers[2 * kWorkersPerZone];
  if (trouble) {
    record.Line("freeze " + frozen.name);
    Deployment::Signal(frozen, SIGSTOP);
    SleepMs(kCrashAfterMs);
    restarted.Crash();
    SleepMs(kDownMs);
    std::vector<std::string> labels = restarted.labels();
    labels[0] = "b";
    restarted.SetLabels(labels);
    restarted.Boot();
    SleepMs(kFreezeMs - kCrashAfterMs - kDownMs);
    record.Line("wake " + frozen.name);
    Deployment::Signal(frozen, SIGCONT);
  } else {
    SleepMs(kFreezeMs);
  }
  SleepMs(kWatchMs);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& worker : workers) {
    worker->Crash();
  }
  deployment.KillAll();
  const std::string result =
      "jobs " + std::to_string(review_case.sent()) + ", served " +
      std::to_string(review_case.served()) +
      ", starts that broke ROUTE: " + std::to_string(review_case.broken());
  record.Line(result);
  std::cout << result << "\n";
  if (review_case.served() == 0) {
    return 2;
  }
  return review_case.broken() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "usage: labels_case RECORD FOLDER\n";
    return 2;
  }
  return review::Run(argv[1], argv[2]);
}
