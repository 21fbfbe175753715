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

Micros WorkerClock(const FakeWorker& worker, Micros now) {
  return now + worker.clock_offset;
}

void EndRun(FakeWorkers& workers,
            FakeWorker& worker,
            const TaskName& name,
            RunEnd end) {
  const uint32_t number = worker.runs.at(name).number;
  worker.runs.erase(name);
  uint32_t& ended = worker.ended_runs[name];
  ended = std::max(ended, number);
  worker.ends.push_back({worker.next_end++, name, number, end});
  workers.tasks[name].done += end == RunEnd::kDone ? 1 : 0;
}

// Records the start of a task, and a violation if the task must not start now.
void RecordStart(FakeWorkers& workers, const TaskName& task, Micros now) {
  TaskRecord& record = workers.tasks[task];
  const std::string when = ToText(task) + " at " + std::to_string(now);
  for (const FakeWorker& other : workers.all) {
    if (other.up && other.runs.contains(task)) {
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
  const auto running = worker.runs.find(order.task);
  if (running != worker.runs.end()) {
    return running->second.number == order.run ? OrderOutcome::kDone
                                               : OrderOutcome::kStaleRun;
  }
  const auto ended = worker.ended_runs.find(order.task);
  if (ended != worker.ended_runs.end() && order.run <= ended->second) {
    return OrderOutcome::kStaleRun;
  }
  if (order.lease_until_ms * kMillisecond <= WorkerClock(worker, now)) {
    return OrderOutcome::kTooLate;
  }
  int64_t used = workers.task_cpu;
  for (const auto& [name, run] : worker.runs) {
    used += run.cpu;
  }
  if (used > worker.facts.cpu_millis()) {
    return OrderOutcome::kNoRoom;
  }
  RecordStart(workers, order.task, now);
  FakeWorker::Run run;
  run.number = order.run;
  run.begun = now;
  run.cpu = workers.task_cpu;
  run.ends = now + worker.slow_factor * SpecRunMs(order.spec) * kMillisecond;
  if (worker.fails_all) {
    run.ends = now + kTimeToFailure;
  } else if (worker.hangs) {
    run.ends = now + kMinute;
  }
  worker.runs[order.task] = run;
  return OrderOutcome::kDone;
}

void Stop(FakeWorker& worker, const WorkerOrder& order, Micros now) {
  uint32_t& ended = worker.ended_runs[order.task];
  ended = std::max(ended, order.run);
  const auto found = worker.runs.find(order.task);
  if (found != worker.runs.end() && found->second.number <= order.run) {
    found->second.ends = std::min(found->second.ends, now + kStopDuration);
    found->second.stopping = true;
  }
}

// Removes the ended attempts up to the number that the daemon has acknowledged.
void AcknowledgeEnds(FakeWorkers& workers, FakeWorker& worker, uint64_t up_to) {
  for (const EndedRow& row : worker.ends) {
    if (row.number <= up_to && row.end == RunEnd::kDone) {
      ++workers.tasks[row.task].done_acknowledged;
    }
  }
  std::erase_if(worker.ends,
                [&](const EndedRow& row) { return row.number <= up_to; });
}

void ListAttempts(const FakeWorker& worker, Micros now, WorkerAnswer& answer) {
  answer.ended = worker.ends;
  for (const auto& [name, run] : worker.runs) {
    const Micros run_time = std::max<Micros>(run.ends - run.begun, 1);
    answer.running.push_back(
        {name, run.number,
         static_cast<int>(100 * (now - run.begun) / run_time)});
  }
}

RunEnd EndOf(const FakeWorker& worker, const FakeWorker::Run& run) {
  if (run.stopping) {
    return RunEnd::kStopped;
  }
  return worker.fails_all ? RunEnd::kFailed : RunEnd::kDone;
}

}  // namespace

WorkerAnswer Execute(FakeWorkers& workers,
                     FakeWorker& worker,
                     const WorkerOrder& order,
                     Micros now) {
  WorkerAnswer answer;
  answer.order = order;
  answer.clock_ms = WorkerClock(worker, now) / kMillisecond;
  answer.born_ms = worker.facts.born_ms();
  if (!worker.up || !worker.reachable) {
    answer.outcome = OrderOutcome::kNoAnswer;
    return answer;
  }
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
      break;
    case OrderKind::kStop:
      Stop(worker, order, now);
      break;
    case OrderKind::kHold:
      AcknowledgeEnds(workers, worker, order.acknowledged_end);
      ListAttempts(worker, now, answer);
      break;
  }
  return answer;
}

void EndRuns(FakeWorkers& workers, FakeWorker& worker, Micros now) {
  std::vector<std::pair<TaskName, RunEnd>> finished;
  for (const auto& [name, run] : worker.runs) {
    if (WorkerClock(worker, now) > worker.lease_until) {
      finished.emplace_back(name, RunEnd::kLapsed);
    } else if (now >= run.ends) {
      finished.emplace_back(name, EndOf(worker, run));
    }
  }
  for (const auto& [name, end] : finished) {
    EndRun(workers, worker, name, end);
  }
}

FakeWorker* FindWorker(FakeWorkers& workers, const std::string& id) {
  for (FakeWorker& worker : workers.all) {
    if (worker.facts.id() == id) {
      return &worker;
    }
  }
  return nullptr;
}

}  // namespace goldcrest
