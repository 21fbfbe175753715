// A case: another writer sends one report for each worker, with a service that
// no configuration names. Are the workers still used?
//
//   foreign_report_case RECORD FOLDER
//
// With TROUBLE=0 in the environment the other writer sends nothing. Exit code:
// 1 if no request was served, 0 if some were, 2 if the case could not run.

#include <signal.h>

#include <iostream>

#include "stand_ins.h"

namespace review {
namespace {

constexpr int64_t kTrafficMs = 20'000;
constexpr int64_t kJobPeriodMs = 50;
constexpr int kWorkersPerZone = 3;

class Clients {
 public:
  explicit Clients(Record& record) : record_(record) {}

  void SendJob(const std::string& front) {
    const std::string id = RandomHex(16);
    const std::string body =
        R"({"spec":"27000 60","best_effort":true,"steps":[{"count":2,)"
        R"("cpu":27000,"mem_mb":64,"estimate_ms":60}]})";
    const Reply reply = Call(
        front, "POST", kPrefix + id,
        {{"Host", kHost}, {"Goldcrestplank-Deadline-Ms", "1500"}}, body, 1500);
    const bool served = reply.status == 200 &&
                        reply.body.find("completed") != std::string::npos;
    record_.Line("job " + id + " sent to " + front + " answer " +
                 std::to_string(reply.status) + " " + reply.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++sent_;
    served_ += served ? 1 : 0;
  }

  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  Record& record_;
  std::mutex mutex_;
  int sent_ = 0;
  int served_ = 0;
};

// Sends a report for the worker as another writer may: its service is named
// nowhere, and its sequence numbers are its own.
void SendForeignReport(const Deployment& deployment,
                       const Worker& worker,
                       Record& record) {
  const Worker::Options& options = worker.options();
  const std::string body =
      R"({"service":"another-service","address":")" + options.ip + ":" +
      std::to_string(options.port) + R"(","zone":")" + options.zone +
      R"(","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
      R"("capacity":{"cpu":64000,"mem_mb":131072,"gpu":0},"labels":["a"],)"
      R"("clock_ms":1000,"seq":1000000,"born":)" +
      std::to_string(worker.born_ms()) + "}";
  const std::string to =
      deployment.ControlAddress(deployment.controls().front());
  const Reply reply =
      Call(to, "POST", "/v1/Instances.Heartbeat/" + options.id, {}, body, 1000);
  record.Line("another writer: report for " + options.id +
              " with an unknown service, answer " +
              std::to_string(reply.status));
}

int Run(const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  const std::vector<std::string> zones = {"austin", "waco", "san-marcos"};
  Deployment deployment(folder, zones);
  if (!deployment.StartAll()) {
    std::cerr << "the programs could not be started\n";
    return 2;
  }
  std::atomic<int> starts = 0;
  const auto workers = MakeWorkers(
      deployment, zones, kWorkersPerZone, record,
      [&](Worker& worker, const Start& start) {
        ++starts;
        record.Line("start " + start.task + " on " + worker.options().id);
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
  if (!IsWithoutTrouble()) {
    for (const auto& worker : workers) {
      SendForeignReport(deployment, *worker, record);
    }
  }
  SleepMs(1000);
  Clients clients(record);
  std::vector<std::thread> jobs;
  const int64_t until = NowMs() + kTrafficMs;
  while (NowMs() < until) {
    for (const Daemon& entry : deployment.entries()) {
      jobs.emplace_back([&, front = deployment.FrontAddress(entry)] {
        clients.SendJob(front);
      });
    }
    SleepMs(kJobPeriodMs);
  }
  for (std::thread& job : jobs) {
    job.join();
  }
  for (const auto& worker : workers) {
    worker->Crash();
  }
  deployment.KillAll();
  const std::string result = "jobs " + std::to_string(clients.sent()) +
                             ", served " + std::to_string(clients.served()) +
                             ", starts " + std::to_string(starts);
  record.Line(result);
  std::cout << result << "\n";
  return clients.served() == 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "usage: foreign_report_case RECORD FOLDER\n";
    return 2;
  }
  return review::Run(argv[1], argv[2]);
}
