// Loads that state what fits, the choice of a pool, and moves of waiting jobs.

#include <catch2/catch.hpp>

#include "pool/job_admission.h"
#include "pool/pool_balance.h"
#include "pool/pool_choice.h"
#include "pool/pool_jobs.h"
#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

wire::JobOrder OrderOf(uint32_t tasks, uint32_t cpu_millis) {
  wire::JobOrder order;
  wire::JobStep& step = *order.add_steps();
  step.set_tasks(tasks);
  step.set_cpu_millis(cpu_millis);
  step.set_estimate_ms(200);
  return order;
}

// Returns a control daemon's board with ready workers that have this much free
// CPU of 16 cores.
PoolBoard BoardWithFreeCpu(const std::vector<int64_t>& free_cpu, Micros now) {
  PoolBoard board;
  board.options.features.move_waiting_jobs = true;
  board.mesh.options.control = true;
  for (const int64_t free : free_cpu) {
    const std::string id = "w" + std::to_string(board.workers.size());
    PoolWorker& worker = board.workers[id];
    worker.status.set_id(id);
    worker.status.set_cpu_millis(16'000);
    worker.status.set_memory_mb(32'000);
    worker.session = SessionState::kReady;
    worker.clock_ms = 1;
    worker.last_received_at = now;
    worker.last_answer_at = now;
    worker.lease_expires_at = now + kSecond;
    worker.used_resources.cpu_millis = 16'000 - free;
    board.owned[id] = &worker;
  }
  return board;
}

// Adds a job that waits at the board.
PoolJob& AddWaitingJob(PoolBoard& board,
                       const wire::JobOrder& order,
                       Micros now) {
  auto job = std::make_unique<PoolJob>();
  job->order = order;
  job->order.set_permits_by_move(true);
  job->sequence = board.next_sequence++;
  job->key = "job" + std::to_string(job->sequence);
  job->order.set_job_id(job->key);
  job->received_at = now;
  job->accepted_at = now;
  job->objective_at = now + kSecond;
  job->deadline = now + 10 * kSecond;
  job->steps.resize(1);
  job->steps[0].tasks.resize(order.steps(0).tasks());
  job->steps[0].expected_run_time = 200 * kMillisecond;
  job->open_tasks = job->steps[0].open_tasks = order.steps(0).tasks();
  PoolJob& stored = *job;
  board.jobs[stored.key] = std::move(job);
  QueueUnblockedTasks(board, stored);
  return stored;
}

// The total of the free CPU hid that no worker had a hole that was large
// enough: jobs were sent to pools that could not start them.
TEST_CASE("LoadReport: free CPU that is spread over workers is no hole") {
  PoolBoard board = BoardWithFreeCpu({5000, 5000, 5000, 9000}, kSecond);
  AddWaitingJob(board, OrderOf(1, 12'000), kSecond);
  UpdateLoad(board, kSecond);
  const wire::PoolLoad& load = board.mesh.load;
  CHECK(load.free_cpu_millis() == 24'000);
  CHECK(HolesFor(load, 12'000) == 0);
  CHECK_FALSE(HoldsAtOnce(load, InitialTasksOf(OrderOf(2, 12'000))));
  RemoveJob(board, board.jobs.begin()->first);
  AddWaitingJob(board, OrderOf(1, 4500), kSecond);
  UpdateLoad(board, kSecond);
  // Five fit, of which the waiting task takes one.
  CHECK(HolesFor(board.mesh.load, 4500) == 4);
}

TEST_CASE("LoadReport: a load has few classes, whatever the sizes") {
  PoolBoard board = BoardWithFreeCpu(std::vector<int64_t>(8, 16'000), kSecond);
  for (int32_t i = 0; i < 40; ++i) {
    wire::JobOrder order = OrderOf(1, 1000 + 350 * static_cast<uint32_t>(i));
    order.set_priority(i);
    AddWaitingJob(board, order, kSecond);
  }
  UpdateLoad(board, kSecond);
  CHECK(board.mesh.load.holes_size() <= 8);
  CHECK(board.mesh.load.waits_size() <= 8);
  // It is in each heartbeat, 10 times a second to 43 daemons.
  CHECK(board.mesh.load.ByteSizeLong() <= 160);
  CHECK(ExpectedWaitMs(board.mesh.load, -1) == 0);
  CHECK(ExpectedWaitMs(board.mesh.load, 0) <
        ExpectedWaitMs(board.mesh.load, 3));
  CHECK(ExpectedWaitMs(board.mesh.load, 3) <
        ExpectedWaitMs(board.mesh.load, 100));
  board.options.features.move_waiting_jobs = false;
  UpdateLoad(board, kSecond);
  CHECK(board.mesh.load.holes_size() + board.mesh.load.waits_size() == 0);
}

MeshMember Neighbour(const std::string& address,
                     uint32_t holes,
                     int64_t wait_ms,
                     Micros now) {
  MeshMember member;
  member.address = address;
  member.last_heartbeat_at = now;
  member.last_heartbeat.set_control(true);
  wire::PoolLoad& load = *member.last_heartbeat.mutable_load();
  load.set_workers(58);
  load.set_capacity_cpu_millis(58 * 16'000);
  load.set_wait_ms(wait_ms);
  load.add_holes()->set_cpu_millis(8000);
  load.mutable_holes(0)->set_tasks(holes);
  load.add_waits()->set_wait_ms(wait_ms);
  return member;
}

// All entry daemons see the same loads, and sent all jobs of 100 ms to the same
// pool.
TEST_CASE("PoolChoice: many daemons do not choose the same pool") {
  const InitialTasks job = InitialTasksOf(OrderOf(4, 8000));
  for (const uint32_t holes : {0U, 40U}) {
    CAPTURE(holes);
    const std::vector<MeshMember> pools = {
        Neighbour("a", holes, holes == 0 ? 300 : 0, kSecond),
        Neighbour("b", holes, holes == 0 ? 310 : 0, kSecond)};
    std::vector<int> chosen(pools.size());
    for (int entry = 0; entry < 37; ++entry) {
      for (int i = 0; i < 10; ++i) {
        MeshOptions self;
        self.self = "entry" + std::to_string(entry);
        std::vector<PoolOffer> offers;
        offers.reserve(pools.size());
        for (const MeshMember& pool : pools) {
          offers.push_back(
              MakePoolOffer(pool, job, 0, self, "j" + std::to_string(i)));
        }
        ++chosen[ChoosePool(offers).value()];
      }
    }
    CHECK(chosen[0] > 130);
    CHECK(chosen[1] > 130);
  }
}

TEST_CASE("PoolChoice: a pool that can start the job comes first") {
  const InitialTasks job = InitialTasksOf(OrderOf(4, 8000));
  MeshOptions self;
  self.failure_domain = "a";
  MeshMember own = Neighbour("own", 3, 0, kSecond);
  own.last_heartbeat.set_failure_domain("a");
  const MeshMember other = Neighbour("other", 4, 0, kSecond);
  CHECK(ChoosePool({MakePoolOffer(own, job, 0, self, "job"),
                    MakePoolOffer(other, job, 0, self, "job")}) == 1);
  // What was sent since the heartbeat is taken off.
  MeshMember filled = other;
  AddJobToLoad(*filled.last_heartbeat.mutable_load(), job, 0, 1);
  CHECK(ChoosePool({MakePoolOffer(own, job, 0, self, "job"),
                    MakePoolOffer(filled, job, 0, self, "job")}) == 0);
}

// Loads of other domains are older: jobs went to pools that had become full.
TEST_CASE(
    "EntryChoices: another domain is chosen only if the own has no pool") {
  EntryOptions options;
  options.features.move_waiting_jobs = true;
  MeshOptions mesh;
  mesh.failure_domain = "a";
  EntryBoard board = MakeEntryBoard(options, mesh);
  auto& members = board.pool.mesh.members;
  members["own"] = Neighbour("own", 0, 500, kSecond);
  members["own"].last_heartbeat.set_failure_domain("a");
  members["other"] = Neighbour("other", 40, 0, kSecond);
  members["own"].last_received_at = kSecond;
  members["other"].last_received_at = kSecond;
  const wire::JobOrder order = OrderOf(2, 8000);
  CHECK(ChooseControlForOrder(board, order, kSecond) == "own");
  CHECK(ChooseControlForOrder(board, order, kSecond, {"own"}) == "other");
  // A load that is too old is used if there is no other.
  members["own"].last_heartbeat_at = kMillisecond;
  members["other"].last_heartbeat_at = kMillisecond;
  CHECK(ChooseControlForOrder(board, order, kSecond) == "own");
}

TEST_CASE("PoolBalance: no job moves that has started or moved too often") {
  PoolBoard board = BoardWithFreeCpu({0, 0}, kSecond);
  const BalanceLimits limits;
  PoolJob& job = AddWaitingJob(board, OrderOf(2, 8000), kSecond);
  const Micros now = 1500 * kMillisecond;
  CHECK(FindMovableJobs(board, limits, now).size() == 1);
  job.started = true;
  CHECK(FindMovableJobs(board, limits, now).empty());
  job.started = false;
  job.last_permission_request_at = kSecond;
  CHECK(FindMovableJobs(board, limits, now).empty());
  board.draining = true;
  CHECK(FindMovableJobs(board, limits, now).size() == 1);
  board.draining = false;
  job.last_permission_request_at = 0;
  job.order.set_permits_by_move(false);  // an entry daemon without the feature
  CHECK(FindMovableJobs(board, limits, now).empty());
  job.order.set_permits_by_move(true);
  // It was moved here, and may move once more, but not at once.
  job.order.set_moves(1);
  CHECK(FindMovableJobs(board, limits, kSecond + limits.min_stay / 2).empty());
  CHECK(FindMovableJobs(board, limits, kSecond + limits.min_stay).size() == 1);
  job.order.set_moves(limits.moves_per_job);
  CHECK(FindMovableJobs(board, limits, now).empty());
  // Moves under earlier order numbers count, too.
  job.order.set_moves(0);
  job.order.set_moves_before(limits.moves_per_job);
  CHECK(FindMovableJobs(board, limits, now).empty());
}

// A permission from before the job was moved away and back would let it start
// although its entry daemon counts it as not started.
TEST_CASE("PoolJobs: a start permission from before a move is void") {
  PoolBoard board = BoardWithFreeCpu({0, 0}, kSecond);
  PoolJob& job = AddWaitingJob(board, OrderOf(2, 8000), kSecond);
  board.job_keys[job.order.job_id()] = job.key;
  job.order.set_moves(2);
  wire::JobGo go;
  go.set_job_id(job.order.job_id());
  OnStartPermitted(board, "", go);
  CHECK_FALSE(job.start_permitted);
  go.set_moves(2);
  OnStartPermitted(board, "", go);
  CHECK(job.start_permitted);
}

// A neighbour with a queue may still have holes that hold all of a job.
TEST_CASE("PoolBalance: a job moves to a hole of a pool with a queue") {
  PoolBoard board = BoardWithFreeCpu({7000, 7000}, kSecond);
  for (int i = 0; i < 3; ++i) {
    AddWaitingJob(board, OrderOf(2, 8000), kSecond);
  }
  const BalanceLimits limits;
  for (const uint32_t holes : {0U, 2U}) {
    MeshMember other = Neighbour("other", holes, 300, kSecond);
    const auto jobs = FindMovableJobs(board, limits, 1100 * kMillisecond);
    const auto moves =
        PlanMoves(jobs, {{&other, 1}}, board.mesh.options, limits);
    CHECK(moves.size() == (holes == 0 ? 0 : 1));
  }
}

// Returns the number of tasks that five full pools move to the same idle one
// before its next heartbeat, if each assumes this many senders.
size_t TasksMovedByFivePools(uint32_t holes, int64_t senders) {
  size_t moved_tasks = 0;
  for (int sender = 0; sender < 5; ++sender) {
    PoolBoard board = BoardWithFreeCpu({0, 0, 0, 0}, kSecond);
    for (int i = 0; i < 60; ++i) {
      AddWaitingJob(board, OrderOf(2, 8000), kSecond);
    }
    MeshMember idle = Neighbour("idle", holes, 0, kSecond);
    const BalanceLimits limits;
    for (int tick = 0; tick < 20; ++tick) {
      const auto jobs = FindMovableJobs(board, limits, kSecond);
      const auto moves =
          PlanMoves(jobs, {{&idle, senders}}, board.mesh.options, limits);
      CHECK(moves.size() <= limits.moves_per_tick);
      for (const JobMove& move : moves) {
        moved_tasks += static_cast<size_t>(jobs[move.job].initial.tasks);
        RemoveJob(board, jobs[move.job].key);
      }
    }
  }
  return moved_tasks;
}

// Stale loads: five full pools see the same idle neighbour until its next
// heartbeat. Without a limit each of them fills it, and it sends most of the
// jobs on. All of their 600 tasks would be 1,034 ms of work for it.
TEST_CASE("PoolBalance: several pools together do not overfill a neighbour") {
  constexpr uint32_t kHoles = 40;
  constexpr int64_t kLongestWorkMs = 700;
  const auto work_ms = [](size_t tasks) {
    return static_cast<int64_t>(tasks) * 8000 * 200 / (58 * 16'000);
  };
  const size_t moved = TasksMovedByFivePools(kHoles, 5);
  CHECK(moved >= kHoles);
  CHECK(work_ms(moved) < kLongestWorkMs);
  CHECK(work_ms(TasksMovedByFivePools(kHoles, 1)) > kLongestWorkMs);
}

TEST_CASE("PoolBalance: a job does not move for a small gain") {
  PoolBoard board = BoardWithFreeCpu({0, 0, 0, 0}, kSecond);
  for (int i = 0; i < 8; ++i) {
    AddWaitingJob(board, OrderOf(2, 8000), kSecond);
  }
  const BalanceLimits limits;
  const auto jobs = FindMovableJobs(board, limits, kSecond);
  const int64_t longest_wait_ms = jobs.back().wait_ms;
  for (const bool outweighs : {false, true}) {
    MeshMember other =
        Neighbour("other", 0, outweighs ? 0 : longest_wait_ms / 2, kSecond);
    const auto moves =
        PlanMoves(jobs, {{&other, 1}}, board.mesh.options, limits);
    CHECK(moves.empty() != outweighs);
  }
}

// Jobs of a burst arrive between two ticks, and the wait that the tick computed
// was that of an empty queue.
TEST_CASE("JobForwarding: jobs accepted since the last tick count as waiting") {
  PoolBoard board = BoardWithFreeCpu({0, 0}, kSecond);
  board.mesh.members["other"] = Neighbour("other", 0, 0, kSecond);
  const PoolJob& job = AddWaitingJob(board, OrderOf(2, 8000), kSecond);
  UpdateLoad(board, kSecond);
  board.queue_work.by_priority.clear();
  PoolActions actions;
  CHECK_FALSE(ForwardJob(board, job.order, kSecond, actions));
  AddToQueueWork(board, job);
  CHECK(ForwardJob(board, job.order, kSecond, actions));
}

// A superseded order was confirmed, so that its entry daemon assumed that the
// job was here under that number; and a job could move again at once.
TEST_CASE("JobAdmission: an order that replaces another counts as a move") {
  PoolBoard board = BoardWithFreeCpu({0, 0}, kSecond);
  board.mesh.options.self = "entry";
  wire::JobOrder order = OrderOf(2, 8000);
  order.set_entry("entry");
  order.set_max_attempts(1);
  order.set_order(5);
  PoolJob& job = AddWaitingJob(board, order, kSecond);
  board.job_keys[job.order.job_id()] = job.key;
  order = job.order;
  order.set_forwarded(true);
  order.set_moves(1);
  const Micros later = kSecond + 300 * kMillisecond;
  for (const uint64_t number : {4U, 6U}) {
    CAPTURE(number);
    order.set_order(number);
    PoolActions actions;
    OnJobOrder(board, order, later, actions);
    int confirmed = 0;
    for (const PoolAction& action : actions) {
      const auto* sent = std::get_if<SendMessage>(&action);
      confirmed += sent != nullptr && sent->message.has_job_moved() ? 1 : 0;
    }
    CHECK(confirmed == (number == 6 ? 1 : 0));
  }
  CHECK(job.accepted_at == later);
  CHECK(job.order.moves() == 1);
}

FakePool MakePool() {
  FakePoolOptions options;
  options.features.move_waiting_jobs = true;
  FakePool pool(options);
  WaitUntilServing(pool);
  return pool;
}

// Fails if two control daemons hold the same order of a job, or if a job was
// moved too often or its times were lost.
void CheckOwners(FakePool& pool, int64_t timeout_ms) {
  std::set<std::string> owned;
  for (const FakeControl& control : pool.controls()) {
    for (const auto& [key, job] : control.board.jobs) {
      CHECK(owned.insert(key).second);
      CHECK(MovesOf(job->order) <= kMaxMoves);
      const int number = std::stoi(job->order.job_id().substr(3));
      const Micros submitted_at = pool.answers().at(number).submitted_at;
      CHECK(job->received_at - submitted_at < 15 * kMillisecond);
      CHECK(job->deadline <=
            submitted_at + timeout_ms * kMillisecond + 15 * kMillisecond);
    }
  }
}

// Fills the pool of domain a with 40 jobs of 2 tasks of 300 ms, while its
// daemons know nothing of the other pools: 3 s of work for its 8 slots.
void FillOnePool(FakePool& pool) {
  for (const char* from : {"control-b", "control-c"}) {
    pool.DropMessages(from, "control-a");
    pool.DropMessages(from, "entry-a0");
  }
  pool.Run(370 * kMillisecond);  // until the known loads are too old
  for (int i = 0; i < 40; ++i) {
    pool.Submit(0, 2, 300, 6000);
  }
  pool.Run(10 * kMillisecond);
  REQUIRE(pool.controls()[0].board.jobs.size() == 40);
  pool.EndPartitions();
}

// One pool full, its neighbours idle: the jobs waited for 3 s beside free
// workers.
TEST_CASE("PoolBalance: waiting jobs move to idle pools") {
  FakePool pool = MakePool();
  FillOnePool(pool);
  for (int i = 0; i < 160; ++i) {
    pool.Run(10 * kMillisecond);
    CheckOwners(pool, 6000);
  }
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) == 40);
  const int moved = pool.CountLogged("waiting_job_moved");
  CHECK(moved >= 15);
  // Few jobs move twice.
  CHECK(moved <= 40);
  CHECK(pool.CountLogged("job_moved") == 0);
  RequireNoViolation(pool);
}

// The order or the confirmation is lost: the entry daemon is told of the move
// by one of the two daemons only, and has to send the job elsewhere.
TEST_CASE("PoolBalance: a job survives a lost message of its move") {
  for (const bool order_lost : {true, false}) {
    CAPTURE(order_lost);
    FakePool pool = MakePool();
    FillOnePool(pool);
    pool.Run(5 * kMillisecond);
    if (order_lost) {
      pool.DropMessages("control-a", "control-b");
    } else {
      pool.DropMessages("control-b", "entry-a0");
    }
    pool.Run(300 * kMillisecond);
    pool.EndPartitions();
    pool.Run(4 * kSecond);
    CHECK(pool.CountLogged("job_moved") > 0);
    CHECK(pool.CountAnswers(wire::JOB_COMPLETED) == 40);
    RequireNoViolation(pool);
  }
}

TEST_CASE("PoolBalance: the jobs of a pool that loses half of its workers") {
  FakePool pool = MakePool();
  for (int i = 0; i < 90; ++i) {
    pool.Submit(static_cast<size_t>(i) % 3, 2, 250, 6000);
  }
  pool.Run(20 * kMillisecond);
  int lost = 0;
  for (FakeWorker& worker : pool.workers()) {
    if (worker.status.failure_domain() == "b" && lost < 2) {
      ++lost;
      worker.reachable = false;
    }
  }
  for (int i = 0; i < 60; ++i) {
    pool.Run(50 * kMillisecond);
    CheckOwners(pool, 6000);
  }
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) == 90);
  CHECK(pool.CountLogged("waiting_job_moved") > 0);
  RequireNoViolation(pool);
}

TEST_CASE("PoolBalance: a draining daemon passes on its waiting jobs") {
  FakePool pool = MakePool();
  FillOnePool(pool);
  pool.controls()[0].board.draining = true;
  pool.controls()[0].board.mesh.draining = true;
  pool.controls()[0].board.drain_started_at = pool.now();
  pool.Run(2500 * kMillisecond);
  CHECK(pool.controls()[0].board.drained);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) == 40);
  RequireNoViolation(pool);
}

}  // namespace
}  // namespace goldcrest
