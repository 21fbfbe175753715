// Tests of the entry daemon's decision code alone, without other daemons.

#include <catch2/catch.hpp>

#include "pool/entry/daemon_choice.h"
#include "pool/entry/entry.h"
#include "pool/entry/pending_jobs.h"

namespace goldcrest {
namespace {

CallerJob MakeCallerJob() {
  CallerJob job;
  job.token = 7;
  job.queue = "bells.example:/bells/";
  job.job_id = "job";
  return job;
}

wire::JobFate OutcomeOfJobAt(EntryBoard& board, Micros now) {
  PoolActions actions;
  EntryStep(board, MakeCallerJob(), {now, 0}, actions);
  for (const PoolAction& action : actions) {
    if (const auto* reply = std::get_if<ReplyJob>(&action)) {
      return reply->fate;
    }
  }
  return wire::JOB_FATE_UNSPECIFIED;
}

TEST_CASE(
    "EntryStep: a draining daemon answers every request that it receives") {
  EntryBoard board = MakeEntryBoard(EntryOptions(), MeshOptions());
  wire::Queue& queue = *board.routing.add_queues();
  queue.set_host("bells.example");
  queue.set_path_prefix("/bells/");
  board.routing.set_version(1);
  PoolActions actions;
  EntryStep(board, EntryDrainRequested(), {kSecond, 0}, actions);
  CHECK(OutcomeOfJobAt(board, 2 * kSecond) == wire::JOB_REFUSED);
  // A recent request delays the end of the drain.
  EntryStep(board, EntryTimeAdvanced(), {2400 * kMillisecond, 0}, actions);
  CHECK_FALSE(board.drained);
  OutcomeOfJobAt(board, 3400 * kMillisecond);
  EntryStep(board, EntryTimeAdvanced(), {3600 * kMillisecond, 0}, actions);
  CHECK_FALSE(board.drained);
  EntryStep(board, EntryTimeAdvanced(), {4 * kSecond, 0}, actions);
  CHECK(board.drained);
  CHECK(OutcomeOfJobAt(board, 4100 * kMillisecond) == wire::JOB_REFUSED);
}

constexpr char kControl[] = "10.0.0.2:7720";

// Returns an entry daemon with one queue and one reachable control daemon.
EntryBoard BoardWithControl(Micros now, uint64_t incarnation = 0) {
  MeshOptions mesh;
  mesh.incarnation = incarnation;
  EntryBoard board = MakeEntryBoard(EntryOptions(), mesh);
  wire::Queue& queue = *board.routing.add_queues();
  queue.set_host("bells.example");
  queue.set_path_prefix("/bells/");
  queue.set_timeout_ms(1500);
  board.routing.set_version(1);
  MeshMember& control = board.pool.mesh.members[kControl];
  control.address = kControl;
  control.last_received_at = now;
  control.last_heartbeat_at = now;
  control.last_heartbeat.set_control(true);
  control.last_heartbeat.mutable_load()->set_workers(1);
  return board;
}

// What an entry daemon has sent to control daemons and answered to callers.
struct StepResult {
  uint64_t order = 0;  // order number of the job that was sent
  int cancels = 0;
  int permissions = 0;  // start permissions
  std::map<ReplyToken, wire::JobFate> outcomes;
};

StepResult Step(EntryBoard& board, const EntryEvent& event, Micros now) {
  PoolActions actions;
  EntryStep(board, event, {now, 0}, actions);
  StepResult result;
  for (const PoolAction& action : actions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      result.cancels += send->message.has_job_cancel() ? 1 : 0;
      result.permissions += send->message.has_job_go() ? 1 : 0;
      result.order = send->message.has_job_order()
                         ? send->message.job_order().order()
                         : result.order;
    } else if (const auto* reply = std::get_if<ReplyJob>(&action)) {
      result.outcomes[reply->token] = reply->fate;
    }
  }
  return result;
}

EntryMessageReceived MakeJobEnd(uint64_t order, wire::JobFate fate) {
  EntryMessageReceived event;
  event.message.set_from(kControl);
  event.message.mutable_job_end()->set_order(order);
  event.message.mutable_job_end()->set_fate(fate);
  return event;
}

// Guards against an outcome that is taken for that of another job: order
// numbers began with 1 in each process (issue 34).
TEST_CASE(
    "EntryStep: a restarted daemon ignores the outcome of an order of its "
    "earlier process") {
  EntryBoard earlier = BoardWithControl(kSecond, 1'700'000'000'000);
  const uint64_t order = Step(earlier, MakeCallerJob(), kSecond).order;
  EntryBoard board = BoardWithControl(kSecond, 1'700'000'000'400);
  Step(board, MakeCallerJob(), kSecond);
  const StepResult result =
      Step(board, MakeJobEnd(order, wire::JOB_COMPLETED), 1100 * kMillisecond);
  CHECK(result.outcomes.empty());
  CHECK(board.pending.size() == 1);
}

// Guards against a caller being answered "cancelled" before the control daemon
// has processed the cancellation: the job was started after that (soak seed
// 12).
TEST_CASE(
    "EntryStep: a cancellation is answered after the control daemon's "
    "outcome") {
  const CallerJob job = MakeCallerJob();
  const CancelRequested cancels = {8, "job", job.queue};
  for (const wire::JobFate fate : {wire::JOB_CANCELLED, wire::JOB_COMPLETED}) {
    EntryBoard board = BoardWithControl(kSecond);
    const uint64_t order = Step(board, job, kSecond).order;
    StepResult result = Step(board, cancels, kSecond);
    CHECK(result.cancels == 1);
    CHECK(result.outcomes.empty());
    // The message with the cancellation was lost.
    CHECK(Step(board, EntryTimeAdvanced(), 1100 * kMillisecond).cancels == 0);
    CHECK(Step(board, EntryTimeAdvanced(), 1250 * kMillisecond).cancels == 1);
    result = Step(board, MakeJobEnd(order, fate), 1300 * kMillisecond);
    CHECK(result.outcomes.at(7) == fate);
    CHECK(result.outcomes.at(8) == fate);
    CHECK(board.pending.empty());
  }
}

constexpr char kStandby[] = "10.0.0.3:7720";

// Returns an entry daemon that hears no control daemon, but a standby with
// workers; it is no standby itself.
EntryBoard BoardWithStandby(Micros now) {
  EntryOptions options;
  options.features.standby_after = 250 * kMillisecond;
  EntryBoard board = MakeEntryBoard(options, MeshOptions());
  wire::Queue& queue = *board.routing.add_queues();
  queue.set_host("bells.example");
  queue.set_path_prefix("/bells/");
  queue.set_timeout_ms(1500);
  board.routing.set_version(1);
  MeshMember& standby = board.pool.mesh.members[kStandby];
  standby.address = kStandby;
  standby.last_received_at = now;
  standby.last_heartbeat_at = now;
  standby.last_heartbeat.mutable_load()->set_workers(1);
  standby.last_heartbeat.mutable_load()->set_free_cpu_millis(10'000);
  standby.last_heartbeat.mutable_load()->set_capacity_cpu_millis(10'000);
  return board;
}

// Guards against refusing jobs although a standby has workers, and against
// sending them to a full standby without end.
TEST_CASE("EntryStep: a job that a standby does not accept is held") {
  EntryBoard board = BoardWithStandby(kSecond);
  Step(board, EntryTimeAdvanced(), kSecond);
  uint64_t order = Step(board, MakeCallerJob(), kSecond).order;
  REQUIRE(order != 0);
  Micros now = kSecond;
  int refusals = 0;
  StepResult result;
  while (result.outcomes.empty() && refusals < 100) {
    MeshMember& standby = board.pool.mesh.members.at(kStandby);
    standby.last_received_at = now;
    standby.last_heartbeat_at = now;
    EntryMessageReceived end = MakeJobEnd(order, wire::JOB_REFUSED);
    end.message.set_from(kStandby);
    end.message.mutable_job_end()->set_try_elsewhere(true);
    result = Step(board, end, now);
    ++refusals;
    if (result.outcomes.empty()) {
      CHECK(Step(board, EntryTimeAdvanced(), now + 20 * kMillisecond).order ==
            0);
      now += 60 * kMillisecond;
      const uint64_t again = Step(board, EntryTimeAdvanced(), now).order;
      CHECK(again > order);
      order = again;
    }
  }
  CHECK(result.outcomes.at(7) == wire::JOB_REFUSED);
  CHECK(now >= 1500 * kMillisecond);
  CHECK(refusals <= 10);
}

// Guards against the last requests being served first, and all by one daemon.
TEST_CASE("EntryStep: held jobs are sent in the order of arrival") {
  EntryBoard board = BoardWithStandby(kSecond);
  Step(board, EntryTimeAdvanced(), kSecond);
  MeshMember& standby = board.pool.mesh.members.at(kStandby);
  standby.last_heartbeat.mutable_load()->set_workers(0);
  for (const int id : {1, 2, 3}) {
    CallerJob job = MakeCallerJob();
    job.token = id;
    job.job_id = std::to_string(id);
    job.held_for = id * 10 * kMillisecond;
    job.steps.emplace_back().set_tasks(1);
    job.steps.back().set_cpu_millis(1000);
    CHECK(Step(board, job, kSecond).order == 0);
  }
  standby.last_heartbeat.mutable_load()->set_workers(1);
  PoolActions actions;
  EntryStep(board, EntryTimeAdvanced(), {kSecond + 1, 0}, actions);
  std::vector<std::string> sent;
  for (const PoolAction& action : actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send != nullptr && send->message.has_job_order()) {
      sent.push_back(send->message.job_order().job_id());
    }
  }
  CHECK(sent == std::vector<std::string>{"3", "2", "1"});
  CHECK(standby.last_heartbeat.load().free_cpu_millis() == 7000);
}

// Gives the entry daemon one worker that accepts tasks.
void AddReadyWorker(PoolBoard& board, Micros now) {
  PoolWorker& worker = board.workers["worker"];
  worker.status.set_id("worker");
  worker.status.set_cpu_millis(10'000);
  worker.session = SessionState::kReady;
  worker.clock_ms = 1;
  worker.last_received_at = now;
  worker.last_answer_at = now;
  board.owned["worker"] = &worker;
}

// Guards against jobs that queue behind others here although a control daemon
// can start them, because the waiting ones do not fit into the free capacity.
TEST_CASE("EntryStep: own workers are preferred only if no task waits") {
  for (const bool waiting : {false, true}) {
    EntryBoard board = BoardWithControl(kSecond);
    board.options.features.standby_after = 250 * kMillisecond;
    wire::PoolLoad& load =
        *board.pool.mesh.members.at(kControl).last_heartbeat.mutable_load();
    load.set_free_cpu_millis(10'000);
    AddReadyWorker(board.pool, kSecond);
    PoolJob job;
    job.order.add_steps()->set_cpu_millis(20'000);
    job.steps.resize(1);
    job.steps[0].expected_run_time = kSecond;
    if (waiting) {
      board.pool.waiting[WaitingKey()] = {&job};
    }
    wire::JobOrder order;
    order.add_steps()->set_tasks(1);
    order.mutable_steps(0)->set_cpu_millis(1000);
    const auto daemon = detail::ChooseDaemon(board, order, {}, kSecond);
    CHECK(daemon == (waiting ? kControl : board.pool.mesh.options.self));
  }
}

EntryMessageReceived MakeStartRequest(uint64_t order) {
  EntryMessageReceived event;
  event.message.set_from(kControl);
  event.message.mutable_job_ask()->set_order(order);
  event.message.mutable_job_ask()->set_job_id("job");
  return event;
}

// Without a confirmation, the outcome depends on the start permission: a job
// that has it may have run, a job without it has certainly not run.
TEST_CASE(
    "EntryStep: a job whose cancellation is not confirmed ends as unknown if "
    "it may have run, else as cancelled") {
  for (const bool may_have_run : {false, true}) {
    EntryBoard board = BoardWithControl(kSecond);
    const uint64_t order = Step(board, MakeCallerJob(), kSecond).order;
    if (may_have_run) {
      CHECK(Step(board, MakeStartRequest(order), kSecond).permissions == 1);
    }
    Step(board, CancelRequested{8, "job", MakeCallerJob().queue}, kSecond);
    std::map<ReplyToken, wire::JobFate> outcomes;
    for (Micros now = kSecond; now < 2 * kSecond; now += 20 * kMillisecond) {
      outcomes.merge(Step(board, EntryTimeAdvanced(), now).outcomes);
    }
    const wire::JobFate fate =
        may_have_run ? wire::JOB_UNKNOWN : wire::JOB_CANCELLED;
    CHECK(outcomes.at(7) == fate);
    CHECK(outcomes.at(8) == fate);
  }
}

TEST_CASE("EntryStep: a cancelled or moved job gets no start permission") {
  EntryBoard board = BoardWithControl(kSecond);
  const uint64_t order = Step(board, MakeCallerJob(), kSecond).order;
  StepResult result = Step(board, MakeStartRequest(order + 1), kSecond);
  CHECK(result.permissions == 0);
  CHECK(result.cancels == 1);
  Step(board, CancelRequested{8, "job", MakeCallerJob().queue}, kSecond);
  result = Step(board, MakeStartRequest(order), kSecond);
  CHECK(result.permissions == 0);
  CHECK(result.cancels == 1);
}

TEST_CASE(
    "EntryStep: the job of a disconnected caller is cancelled until "
    "confirmed") {
  EntryBoard board = BoardWithControl(kSecond);
  const CallerJob job = MakeCallerJob();
  const uint64_t order = Step(board, job, kSecond).order;
  CHECK(Step(board, CallerDisconnected{7}, kSecond).cancels == 1);
  CHECK(Step(board, EntryTimeAdvanced(), 1250 * kMillisecond).cancels == 1);
  const StepResult result =
      Step(board, MakeJobEnd(order, wire::JOB_CANCELLED), 1300 * kMillisecond);
  CHECK(result.outcomes.empty());
  CHECK(board.pending.empty());
}

// Guards against jobs that start after their callers' timeouts: requests that
// had waited in the sockets of a paused daemon counted as new (soak seeds 302,
// 324, 326, 327).
TEST_CASE(
    "EntryStep: requests are refused right after a pause of the process") {
  EntryBoard board = BoardWithControl(kSecond);
  Step(board, EntryTimeAdvanced(), kSecond);
  const Micros resumed_at = 4 * kSecond;
  board.pool.mesh.members[kControl].last_received_at = resumed_at;
  StepResult result = Step(board, MakeCallerJob(), resumed_at);
  CHECK(result.order == 0);
  CHECK(result.outcomes.at(7) == wire::JOB_REFUSED);
  const Micros later = resumed_at + EntryOptions().refuse_after_pause;
  board.pool.mesh.members[kControl].last_received_at = later;
  CHECK(Step(board, MakeCallerJob(), later).order != 0);
}

// Guards against unlogged requests: jobs that arrived before the first
// configuration left no log line (soak seed 1).
TEST_CASE("EntryStep: a request that the edge rejected is logged and counted") {
  EntryBoard board = MakeEntryBoard(EntryOptions(), MeshOptions());
  PoolActions actions;
  EntryStep(board, RequestRejected{"5c0e7a21d94b36f8", "no_configuration"},
            {kSecond, 0}, actions);
  REQUIRE(actions.size() == 1);
  const auto* line = std::get_if<LogEvent>(&actions.front());
  REQUIRE(line != nullptr);
  CHECK(line->event == "job_refused");
  CHECK(line->level == LogLevel::kWarning);
  CHECK(line->fields.front().value == "5c0e7a21d94b36f8");
  CHECK(board.counters.received == 1);
  CHECK(board.counters.answered.at("turned_away") == 1);
}

}  // namespace
}  // namespace goldcrest
