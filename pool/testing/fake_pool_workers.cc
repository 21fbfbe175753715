// The simulated workers' side of a deployment: orders, answers and reports, and
// what may happen to them.

#include <algorithm>
#include <memory>

#include "pool/testing/fake_pool.h"

namespace goldcrest {
namespace {

constexpr Micros kReportPeriod = 1500 * kMillisecond;
// Bound of the delay of a report that arrives late.
constexpr Micros kLongestReportDelay = 4 * kSecond;
// Period of the check whether an attempt has ended for a delayed answer.
constexpr Micros kPollPeriod = 2 * kMillisecond;

WorkerAnswer Unanswered(const WorkerOrder& order,
                        OrderOutcome outcome,
                        CallFailure failure) {
  WorkerAnswer answer;
  answer.order = order;
  answer.outcome = outcome;
  answer.failure = failure;
  return answer;
}

}  // namespace

void FakePool::AnswerTo(const Sender& sender, const WorkerAnswer& answer) {
  if (sender.is_control &&
      controls_[sender.index].incarnation == sender.incarnation) {
    StepControl(sender.index, answer);
  }
  if (!sender.is_control &&
      entries_[sender.index].incarnation == sender.incarnation) {
    StepEntry(sender.index, answer);
  }
}

void FakePool::AnswerAt(Micros when,
                        const Sender& sender,
                        const WorkerAnswer& answer) {
  Schedule(when, [this, sender, answer] { AnswerTo(sender, answer); });
}

bool FakePool::Happens(double share) {
  return share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void FakePool::SendToWorker(const Sender& sender, WorkerOrder order) {
  const std::string& from = sender.is_control ? controls_[sender.index].address
                                              : entries_[sender.index].address;
  FakeWorker* worker = FindWorker(workers_, order.address);
  const bool cut = cuts_.contains({from, worker->status.failure_domain()});
  const bool late = Happens(worker->late_order_share);
  if (!cut && worker->reachable && worker->crashed && worker->behind_proxy) {
    AnswerAt(now_ + options_.message_delay, sender,
             Unanswered(order, OrderOutcome::kNoAnswer, CallFailure::kClosed));
    return;
  }
  if (!cut && worker->reachable && (worker->crashed || worker->link_refuses)) {
    AnswerAt(now_ + options_.message_delay, sender,
             Unanswered(order, OrderOutcome::kNotSent, CallFailure::kRefused));
    return;
  }
  if (!cut && worker->reachable && Happens(worker->closed_share)) {
    AnswerAt(now_ + options_.message_delay, sender,
             Unanswered(order, OrderOutcome::kNoAnswer, CallFailure::kClosed));
    return;
  }
  if (cut || !worker->reachable || !worker->up || late) {
    AnswerAt(now_ + order.timeout, sender,
             Unanswered(order, OrderOutcome::kNoAnswer, CallFailure::kTimeout));
    if (late && !cut && worker->up) {
      std::uniform_int_distribution<Micros> delay(worker->shortest_delay,
                                                  worker->longest_delay);
      Schedule(now_ + delay(random_), [this, order] {
        if (FindWorker(workers_, order.address)->up) {
          Execute(order);
        }
      });
    }
    return;
  }
  Schedule(now_ + options_.message_delay,
           [this, sender, order] { ExecuteAndAnswer(sender, order); });
}

WorkerAnswer FakePool::Execute(const WorkerOrder& order) {
  FakeWorker& worker = *FindWorker(workers_, order.address);
  if (worker.status.id() != order.worker && worker.up) {
    return Unanswered(order, OrderOutcome::kOtherIncarnation,
                      CallFailure::kNone);
  }
  return ExecuteOrder(workers_, worker, order, now_);
}

void FakePool::ExecuteAndAnswer(const Sender& sender,
                                const WorkerOrder& order) {
  FakeWorker* target = FindWorker(workers_, order.address);
  WorkerAnswer answer = Execute(order);
  if (target->up && Happens(target->duplicate_share)) {
    answer = Execute(order);
  }
  if (target->up && Happens(target->lost_answer_share)) {
    AnswerAt(now_ + order.timeout, sender,
             Unanswered(order, OrderOutcome::kNoAnswer, CallFailure::kTimeout));
    return;
  }
  const bool answer_delayed =
      order.kind == OrderKind::kRenew && order.wait_ms > 0 &&
      answer.outcome == OrderOutcome::kDone && answer.ended.empty();
  if (!answer_delayed) {
    AnswerAt(now_ + options_.message_delay, sender, answer);
    return;
  }
  const Micros until = now_ + order.wait_ms * kMillisecond;
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, order, sender, until, poll] {
    WorkerOrder query = order;
    query.lease_until_ms = 0;
    WorkerAnswer listed = Execute(query);
    listed.order = order;
    if (FindWorker(workers_, order.address)->link_refuses) {
      AnswerTo(sender, Unanswered(order, OrderOutcome::kNoAnswer,
                                  CallFailure::kClosed));
      return;
    }
    if (listed.ended.empty() && now_ < until &&
        listed.outcome == OrderOutcome::kDone) {
      Schedule(now_ + kPollPeriod, *poll);
      return;
    }
    AnswerAt(now_ + options_.message_delay, sender, listed);
  };
  Schedule(now_ + kPollPeriod, *poll);
}

void FakePool::TickWorker(FakeWorker& worker) {
  EndFinishedAttempts(workers_, worker, now_);
  if (now_ >= worker.report_due) {
    worker.report_due = now_ + kReportPeriod;
    Report(worker);
  }
}

void FakePool::Report(FakeWorker& worker) {
  worker.status.set_sequence(worker.status.sequence() + 1);
  if (!worker.reachable || worker.link_refuses) {
    return;
  }
  if (Happens(worker.lost_report_share)) {
    const auto delay = static_cast<Micros>(
        random_() % static_cast<uint64_t>(kLongestReportDelay));
    Schedule(now_ + delay,
             [this, late = worker.status] { DeliverReport(late); });
    return;
  }
  DeliverReport(worker.status);
}

// Delivers a report to a control daemon that the worker can reach: the one that
// it was told to report to comes first.
void FakePool::DeliverReport(const wire::WorkerNews& report) {
  FakeWorker& worker = *FindWorker(workers_, report.address());
  std::vector<size_t> order;
  for (size_t i = 0; i < controls_.size(); ++i) {
    order.push_back(i);
  }
  if (!options_.report_to_first_control) {
    std::shuffle(order.begin(), order.end(), random_);
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return (controls_[a].address == worker.report_to) >
           (controls_[b].address == worker.report_to);
  });
  for (const size_t i : order) {
    FakeControl& control = controls_[i];
    if (!control.running || control.paused ||
        cuts_.contains({control.address, worker.status.failure_domain()})) {
      continue;
    }
    StepControl(i, WorkerReported{report});
    if (report.leaving() && report.born_ms() == worker.status.born_ms() &&
        worker.draining_confirmed_at == 0) {
      worker.draining_confirmed_at = now_;
    }
    const auto known = control.board.workers.find(worker.status.id());
    worker.report_to = known == control.board.workers.end()
                           ? ""
                           : known->second.status.owner();
    return;
  }
}

void FakePool::TickWorkers() {
  for (FakeWorker& worker : workers_.all) {
    CrashOrRestart(workers_, worker, now_);
    if (worker.up) {
      TickWorker(worker);
    }
  }
}

void FakePool::CrashWorker(size_t worker, Micros outage) {
  FakeWorker& crashing = workers_.all[worker];
  if (crashing.up) {
    EndProcess(workers_, crashing, now_ + outage);
  }
}

void FakePool::ReplaceWorker(size_t worker, const std::string& id) {
  FakeWorker& replaced = workers_.all[worker];
  EndProcess(workers_, replaced, now_);
  replaced.status.set_id(id);
  replaced.report_to.clear();
}

void FakePool::LeaveWorker(size_t worker,
                           Micros drain,
                           Micros delay,
                           Micros outage) {
  FakeWorker& leaving = workers_.all[worker];
  if (!leaving.up || leaving.status.leaving()) {
    return;
  }
  leaving.status.set_leaving(true);
  leaving.report_due = now_;
  const int64_t born_ms = leaving.status.born_ms();
  Schedule(now_ + drain, [this, worker, delay, outage, born_ms] {
    FakeWorker& ending = workers_.all[worker];
    if (!ending.up || ending.status.born_ms() != born_ms) {
      return;
    }
    EndProcess(workers_, ending, now_ + outage);
    Schedule(now_ + delay, [this, id = ending.status.id()] {
      const size_t control = random_() % controls_.size();
      if (!controls_[control].paused) {
        StepControl(control, WorkerLeft{id});
      }
    });
  });
}

void FakePool::ReportOfOtherWriter(size_t worker, size_t control) {
  wire::WorkerNews report = workers_.all[worker].status;
  report.set_service("unknown");
  report.set_born_ms(Clock().wall_ms);
  report.set_sequence(1);
  StepControl(control, WorkerReported{report});
}

}  // namespace goldcrest
