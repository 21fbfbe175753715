// The graceful stop of an entry daemon: which jobs it still takes, and what it
// tells the callers of those that it took.

#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "pool/entry/entry.h"

namespace goldcrest {
namespace {

constexpr char kControl[] = "10.0.0.2:7720";
constexpr Micros kTick = 25 * kMillisecond;
// The platform kills a process this long after its request to stop.
constexpr Micros kGrace = 6 * kSecond;

// An entry daemon with one queue and one reachable control daemon that never
// ends a job.
class StoppingEntry {
 public:
  explicit StoppingEntry(Micros grace = kGrace)
      : board_(MakeEntryBoard(EntryOptions(), MeshOptions())) {
    board_.options.stop_grace = grace;
    wire::Queue& queue = *board_.routing.add_queues();
    queue.set_host("bells.example");
    queue.set_path_prefix("/knells/");
    queue.set_timeout_ms(1500);
    board_.routing.set_version(1);
    MeshMember& control = board_.pool.mesh.members[kControl];
    control.address = kControl;
    control.last_heartbeat.set_control(true);
    control.last_heartbeat.mutable_load()->set_workers(1);
  }

  // Advances to the time `until` by ticks.
  void RunUntil(Micros until) {
    while (now_ < until && !board_.drained) {
      now_ += kTick;
      MeshMember& control = board_.pool.mesh.members.at(kControl);
      control.last_received_at = now_;
      control.last_heartbeat_at = now_;
      Step(EntryTimeAdvanced());
    }
  }

  void RequestStop() { Step(EntryDrainRequested()); }

  // Runs for `before`, requests the stop and runs for `after`.
  void StopAndRun(Micros before, Micros after) {
    RunUntil(now_ + before);
    RequestStop();
    RunUntil(now_ + after);
  }

  // Submits a job of one task. Its control daemon requests the permission to
  // start it at once if `starts`.
  void Submit(ReplyToken token, int64_t run_ms, bool starts) {
    CallerJob job;
    job.token = token;
    job.queue = "bells.example:/knells/";
    job.job_id = std::to_string(token);
    job.caller_timeout_ms = 7000;
    job.steps.emplace_back().set_tasks(1);
    job.steps.back().set_estimate_ms(static_cast<uint32_t>(run_ms));
    sent_order_ = 0;
    Step(job);
    if (starts && sent_order_ != 0) {
      AskToStart(sent_order_, job.job_id);
    }
  }

  // The control daemon requests the permission to start a job. Returns whether
  // it is given.
  bool AskToStart(uint64_t order, const std::string& job_id) {
    EntryMessageReceived ask;
    ask.message.set_from(kControl);
    ask.message.mutable_job_ask()->set_order(order);
    ask.message.mutable_job_ask()->set_job_id(job_id);
    permitted_ = false;
    Step(ask);
    return permitted_;
  }

  // The control daemon refuses the job that was sent last.
  void RefuseLast() {
    EntryMessageReceived event;
    event.message.set_from(kControl);
    event.message.mutable_job_end()->set_order(sent_order_);
    event.message.mutable_job_end()->set_fate(wire::JOB_REFUSED);
    event.message.mutable_job_end()->set_retry_after_ms(4000);
    Step(event);
  }

  bool stopped() const { return board_.drained; }
  Micros now() const { return now_; }
  const std::map<ReplyToken, wire::JobFate>& fates() const { return fates_; }
  int64_t retry_after_ms(ReplyToken token) const {
    return retry_after_ms_.at(token);
  }
  // Order number and budget of the job that was sent last; 0: none was sent.
  uint64_t sent_order() const { return sent_order_; }
  uint32_t sent_budget_ms() const { return sent_budget_ms_; }
  int cancels() const { return cancels_; }

 private:
  void Step(const EntryEvent& event) {
    PoolActions actions;
    EntryStep(board_, event, {now_, 0}, actions);
    for (const PoolAction& action : actions) {
      if (const auto* reply = std::get_if<ReplyJob>(&action)) {
        fates_[reply->token] = reply->fate;
        retry_after_ms_[reply->token] = reply->retry_after_ms;
      } else if (const auto* send = std::get_if<SendMessage>(&action)) {
        Record(send->message);
      }
    }
  }

  void Record(const wire::PoolMessage& message) {
    if (message.has_job_order()) {
      sent_order_ = message.job_order().order();
      sent_budget_ms_ = message.job_order().budget_ms();
    }
    cancels_ += message.has_job_cancel() ? 1 : 0;
    permitted_ = permitted_ || message.has_job_go();
  }

  EntryBoard board_;
  Micros now_ = kSecond;
  uint64_t sent_order_ = 0;
  uint32_t sent_budget_ms_ = 0;
  int cancels_ = 0;
  bool permitted_ = false;
  std::map<ReplyToken, wire::JobFate> fates_;
  std::map<ReplyToken, int64_t> retry_after_ms_;
};

// Guards against a job that is taken late in a graceful stop and gets no
// answer.
TEST_CASE(
    "EntryStep: every job taken during a graceful stop is answered before the "
    "process ends") {
  for (const bool starts : {true, false}) {
    StoppingEntry entry;
    entry.RunUntil(11 * kSecond);
    const Micros stop_requested_at = entry.now();
    entry.RequestStop();
    ReplyToken token = 1;
    while (!entry.stopped() && entry.now() < stop_requested_at + kGrace) {
      entry.Submit(token++, 900, starts);
      entry.RunUntil(entry.now() + 100 * kMillisecond);
    }
    CHECK(entry.stopped());
    CHECK(entry.now() < stop_requested_at + kGrace);
    for (ReplyToken sent = 1; sent < token; ++sent) {
      INFO("job " << sent);
      CHECK(entry.fates().contains(sent));
    }
  }
}

TEST_CASE("EntryStep: a stopping daemon takes only what ends before the stop") {
  StoppingEntry entry;
  entry.RunUntil(2 * kSecond);
  entry.Submit(9, 3000, true);  // keeps the daemon from stopping earlier
  entry.StopAndRun(0, 3 * kSecond);
  entry.Submit(1, 900, false);
  CHECK(entry.sent_order() != 0);
  // 2.5 s are left until all is answered; the caller would wait for 7 s.
  CHECK(entry.sent_budget_ms() <= 2500);
  CHECK(entry.sent_budget_ms() > 2000);
  entry.Submit(2, 2000, false);
  CHECK(entry.sent_order() == 0);
  CHECK(entry.fates().at(2) == wire::JOB_REFUSED);
  CHECK_FALSE(entry.fates().contains(1));
}

TEST_CASE(
    "EntryStep: a caller that a stopping daemon refuses returns at once, when "
    "the load balancer has noticed the stop") {
  StoppingEntry entry;
  entry.RunUntil(2 * kSecond);
  entry.Submit(9, 5000, true);  // keeps the daemon from stopping earlier
  entry.StopAndRun(0, kSecond);
  entry.Submit(1, 4000, false);
  CHECK(entry.retry_after_ms(1) == EntryOptions().retry_after_ms);
  entry.RunUntil(entry.now() + 2 * kSecond);
  entry.Submit(2, 4000, false);
  CHECK(entry.retry_after_ms(2) == 0);
  // Its control daemon has no room for it in the time that is left.
  entry.Submit(3, 900, false);
  CHECK(entry.sent_order() != 0);
  entry.RefuseLast();
  CHECK(entry.fates().at(3) == wire::JOB_REFUSED);
  CHECK(entry.retry_after_ms(3) == 0);
}

TEST_CASE(
    "EntryStep: a job that can no longer start before the stop is refused at "
    "once") {
  StoppingEntry entry;
  entry.RunUntil(2 * kSecond);
  entry.Submit(1, 900, false);
  const uint64_t order = entry.sent_order();
  entry.StopAndRun(0, 3 * kSecond);
  CHECK(entry.fates().empty());
  entry.RunUntil(entry.now() + kSecond);
  CHECK(entry.fates().at(1) == wire::JOB_REFUSED);
  CHECK(entry.cancels() == 1);
  CHECK_FALSE(entry.AskToStart(order, "1"));
}

TEST_CASE("EntryStep: the end of a stop keeps to a short grace period") {
  for (const Micros grace : {500 * kMillisecond, kSecond, 3 * kSecond}) {
    StoppingEntry entry(grace);
    entry.RunUntil(2 * kSecond);
    entry.Submit(1, 100, true);
    const Micros requested_at = entry.now();
    entry.StopAndRun(0, grace);
    CHECK(entry.stopped());
    CHECK(entry.now() <= requested_at + grace * 7 / 8);
    CHECK(entry.fates().at(1) == wire::JOB_UNKNOWN);
  }
}

}  // namespace
}  // namespace goldcrest
