#include "pool/testing/fake_worker.h"

#include <algorithm>

namespace goldcrest {
namespace {

constexpr Micros kStopDuration = 20 * kMillisecond;
constexpr Micros kTimeToFailure = 5 * kMillisecond;
constexpr Micros kLongestLease = kSecond;

int64_t SpecRunMs(const std::string& spec) {
  return std::stoll(spec);
}

int64_t SpecCpuMillis(const std::string& spec) {
  return std::stoll(spec.substr(spec.find('/') + 1));
}

bool CrashesWorker(const WorkerOrder& order) {
  const size_t last = order.spec.rfind('/');
  return order.spec.find('/') != last &&
         order.spec.substr(last + 1) == std::to_string(order.task.index);
}

// The clock starts anew with each process.
Micros WorkerClock(const FakeWorker& worker, Micros now) {
  return worker.clock_offset +
         static_cast<Micros>(worker.clock_rate *
                             static_cast<double>(now - worker.born_at));
}

void EndRun(FakeWorkers& workers,
            FakeWorker& worker,
            const TaskName& name,
            AttemptEnd end) {
  const uint32_t number = worker.attempts.at(name).number;
  worker.attempts.erase(name);
  uint32_t& ended = worker.last_ended_attempt[name];
  ended = std::max(ended, number);
  worker.unacknowledged_ends.push_back({worker.next_end++, name, number, end});
  workers.tasks[name].done += end == AttemptEnd::kDone ? 1 : 0;
  workers.tasks[name].failures += end == AttemptEnd::kFailed ? 1 : 0;
}

// Records the start of a task, and a violation if the task must not start now.
void RecordStart(FakeWorkers& workers, const TaskName& task, Micros now) {
  TaskRecord& record = workers.tasks[task];
  const std::string when = ToString(task) + " at " + std::to_string(now);
  for (const FakeWorker& other : workers.all) {
    if (other.up && other.attempts.contains(task)) {
      workers.violations.push_back("two attempts at the same time of " + when);
    }
  }
  if (record.done_acknowledged > 0) {
    workers.violations.push_back("started after its end was acknowledged: " +
                                 when);
  }
  ++record.starts;
  record.last_start = now;
}

OrderOutcome Start(FakeWorkers& workers,
                   FakeWorker& worker,
                   const WorkerOrder& order,
                   Micros now) {
  const auto running = worker.attempts.find(order.task);
  if (running != worker.attempts.end()) {
    return running->second.number == order.attempt
               ? OrderOutcome::kDone
               : OrderOutcome::kStaleAttempt;
  }
  const auto ended = worker.last_ended_attempt.find(order.task);
  if (ended != worker.last_ended_attempt.end() &&
      order.attempt <= ended->second) {
    return OrderOutcome::kStaleAttempt;
  }
  if (order.lease_until_ms * kMillisecond <= WorkerClock(worker, now)) {
    return OrderOutcome::kTooLate;
  }
  const int64_t cpu = SpecCpuMillis(order.spec);
  int64_t used = cpu;
  for (const auto& [name, run] : worker.attempts) {
    used += run.cpu;
  }
  if (used > worker.status.cpu_millis() && worker.guards_capacity) {
    return OrderOutcome::kNoCapacity;
  }
  if (used >
      std::max<int64_t>(worker.status.cpu_millis(), worker.judged_cpu_millis)) {
    workers.violations.push_back("start beyond the capacity of " +
                                 worker.status.id() + ": " +
                                 ToString(order.task));
  }
  RecordStart(workers, order.task, now);
  if (worker.draining_confirmed_at != 0) {
    worker.latest_start_draining = std::max(worker.latest_start_draining,
                                            now - worker.draining_confirmed_at);
  }
  FakeWorker::Attempt run;
  run.number = order.attempt;
  run.started_at = now;
  run.cpu = cpu;
  run.ends_at = now + worker.slow_factor * SpecRunMs(order.spec) * kMillisecond;
  if (worker.fails_all) {
    run.ends_at = now + kTimeToFailure;
  } else if (worker.hangs) {
    run.ends_at = now + kMinute;
  }
  worker.attempts[order.task] = run;
  if (CrashesWorker(order)) {
    ++workers.tasks[order.task].crashes;
    worker.crashes_at = now + worker.time_to_crash;
  }
  return OrderOutcome::kDone;
}

void Stop(FakeWorker& worker, const WorkerOrder& order, Micros now) {
  uint32_t& ended = worker.last_ended_attempt[order.task];
  ended = std::max(ended, order.attempt);
  const auto found = worker.attempts.find(order.task);
  if (found != worker.attempts.end() && found->second.number <= order.attempt) {
    found->second.ends_at =
        std::min(found->second.ends_at, now + kStopDuration);
    found->second.stopping = true;
  }
}

// Removes the ended attempts up to the number that the daemon has acknowledged.
void AcknowledgeEnds(FakeWorkers& workers, FakeWorker& worker, uint64_t up_to) {
  for (const EndedAttempt& row : worker.unacknowledged_ends) {
    if (row.number <= up_to && row.end == AttemptEnd::kDone) {
      ++workers.tasks[row.task].done_acknowledged;
    }
  }
  std::erase_if(worker.unacknowledged_ends,
                [&](const EndedAttempt& row) { return row.number <= up_to; });
}

void ListAttempts(const FakeWorker& worker, Micros now, WorkerAnswer& answer) {
  answer.worker_started_ms = worker.status.born_ms();
  answer.ended = worker.unacknowledged_ends;
  for (const auto& [name, run] : worker.attempts) {
    const Micros run_time = std::max<Micros>(run.ends_at - run.started_at, 1);
    answer.running.push_back(
        {name, run.number,
         static_cast<int>(100 * (now - run.started_at) / run_time)});
  }
}

AttemptEnd EndOf(const FakeWorker& worker, const FakeWorker::Attempt& run) {
  if (run.stopping) {
    return AttemptEnd::kStopped;
  }
  return worker.fails_all ? AttemptEnd::kFailed : AttemptEnd::kDone;
}

}  // namespace

WorkerAnswer ExecuteOrder(FakeWorkers& workers,
                          FakeWorker& worker,
                          const WorkerOrder& order,
                          Micros now) {
  WorkerAnswer answer;
  answer.order = order;
  if (!worker.up || !worker.reachable) {
    answer.outcome = OrderOutcome::kNoAnswer;
    answer.failure =
        worker.crashed ? CallFailure::kClosed : CallFailure::kTimeout;
    return answer;
  }
  answer.clock_ms = WorkerClock(worker, now) / kMillisecond;
  if (order.token < worker.highest_token) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  worker.highest_token = order.token;
  answer.outcome = OrderOutcome::kDone;
  worker.lease_until = std::max(
      worker.lease_until, std::min(order.lease_until_ms * kMillisecond,
                                   WorkerClock(worker, now) + kLongestLease));
  switch (order.kind) {
    case OrderKind::kStart:
      answer.outcome = Start(workers, worker, order, now);
      if (worker.crashes_at != 0 && worker.time_to_crash == 0) {
        EndProcess(workers, worker, now + kOutageOfCrash);
        answer.outcome = OrderOutcome::kNoAnswer;
        answer.failure = CallFailure::kClosed;
      }
      break;
    case OrderKind::kStop:
      Stop(worker, order, now);
      break;
    case OrderKind::kRenew:
      AcknowledgeEnds(workers, worker, order.acknowledged_end);
      ListAttempts(worker, now, answer);
      break;
  }
  return answer;
}

void EndProcess(FakeWorkers& workers, FakeWorker& worker, Micros back_at) {
  for (const auto& [name, run] : worker.attempts) {
    ++workers.tasks[name].lost;
  }
  worker.up = false;
  worker.crashed = true;
  worker.crashes_at = 0;
  worker.back_at = back_at;
  worker.attempts.clear();
  worker.last_ended_attempt.clear();
  worker.unacknowledged_ends.clear();
  worker.next_end = 1;
  worker.highest_token = 0;
  worker.lease_until = 0;
}

void CrashOrRestart(FakeWorkers& workers, FakeWorker& worker, Micros now) {
  if (worker.crashes_at != 0 && now >= worker.crashes_at) {
    EndProcess(workers, worker, now + kOutageOfCrash);
  } else if (worker.crashed && now >= worker.back_at) {
    worker.up = true;
    worker.crashed = false;
    worker.status.set_born_ms(worker.status.born_ms() +
                              (now - worker.born_at) / kMillisecond);
    worker.born_at = now;
    if (worker.renamed_at_start) {
      worker.status.set_id(worker.status.id() + "+");
      worker.report_to.clear();
    }
    worker.status.set_sequence(0);
    worker.status.set_leaving(false);
    worker.draining_confirmed_at = 0;
    worker.report_due = now + worker.first_report_after;
  }
}

void EndFinishedAttempts(FakeWorkers& workers, FakeWorker& worker, Micros now) {
  std::vector<std::pair<TaskName, AttemptEnd>> finished;
  for (const auto& [name, run] : worker.attempts) {
    workers.tasks[name].last_run_until = now;
    if (WorkerClock(worker, now) > worker.lease_until) {
      finished.emplace_back(name, AttemptEnd::kLeaseExpired);
    } else if (now >= run.ends_at) {
      finished.emplace_back(name, EndOf(worker, run));
    }
  }
  for (const auto& [name, end] : finished) {
    EndRun(workers, worker, name, end);
  }
}

FakeWorker* FindWorker(FakeWorkers& workers, const std::string& address) {
  for (FakeWorker& worker : workers.all) {
    if (worker.status.address() == address) {
      return &worker;
    }
  }
  return nullptr;
}

}  // namespace goldcrest
