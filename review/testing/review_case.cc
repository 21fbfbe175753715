// Plays one case of the review: review_case CASE FOLDER RECORD.
//
// Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment, the disruption is left
// out.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/testing/stand_ins.h"

namespace goldcrest::review {
namespace {

enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// Overlaps shorter than this are not counted.
constexpr Micros kSlack = 5 * kMillisecond;

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Verdict JudgeDoubleRuns(World& world) {
  return world.CountDoubleRuns(kSlack) > 0 ? kBroken : kHeld;
}

Job BackgroundJob() {
  Job job;
  job.prefix = "/peal/";
  job.cpu = 5000;
  return job;
}

// A client's time budget ends while its job runs, and the worker leaves the
// order to stop the run unanswered. The client sends the job again.
Verdict UnansweredStop(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  world.SetBackground(6, BackgroundJob());
  world.RunFor(2 * kSecond);
  Job job;
  job.id = world.NextJobId();
  job.tasks = 2;
  job.cpu = 10'000;
  job.estimate_ms = 5000;
  job.run_ms = 8000;
  job.timeout_ms = 5500;
  int unanswered = 0;
  if (HasTrouble()) {
    for (const auto& worker : world.workers) {
      worker->hold_back = [&](const WorkerOrder& order) -> Micros {
        const bool hold = order.kind == OrderKind::kStop &&
                          order.task.job_id == job.id && unanswered == 0;
        unanswered += hold ? 1 : 0;
        return hold ? 3 * kSecond : 0;
      };
    }
  }
  const uint64_t before = world.orders;
  world.SubmitWithResend(job, 0, 2);
  world.RunFor(12 * kSecond);
  world.Record(std::to_string(unanswered) + " of " +
               std::to_string(world.orders - before) +
               " orders were left unanswered");
  return JudgeDoubleRuns(world);
}

// A worker is replaced by a new boot under its id. Its call to deregister is
// held up by a cut and arrives when the new boot is at work.
Verdict LateDeregister(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  Job job;
  job.tasks = 2;
  job.estimate_ms = 900;
  job.run_ms = 900;
  job.timeout_ms = 4000;
  world.SetBackground(13, job);
  Worker& worker = *world.workers[0];
  worker.ReportDraining();
  world.RunFor(2500 * kMillisecond);
  const auto deregister = [&] {
    HttpCall call;
    call.address = world.controls[0].http_address();
    call.method = "POST";
    call.path = "/v1/Instances.Deregister/" + worker.id();
    call.timeout = kSecond;
    world.Record("the deregister of worker " + worker.id() + " arrives at " +
                 world.controls[0].name);
    world.Call(call, [&](int status, const std::string&) {
      world.Record("answer to the deregister: " + std::to_string(status));
    });
  };
  if (HasTrouble()) {
    world.Record("worker " + worker.id() +
                 " is cut off and sends its deregister");
    worker.cut_off = true;
    world.RunFor(2 * kSecond);
    worker.End();
    world.RunFor(500 * kMillisecond);
    worker.Start(1);
    world.RunFor(2 * kSecond);
    worker.cut_off = false;
    world.Record("the cut heals");
    world.RunFor(4 * kSecond, [&] { return worker.runs() > 0; });
    // The held up call is transmitted again at intervals of up to the length of
    // the cut.
    world.RunFor(200 * kMillisecond);
    deregister();
  } else {
    deregister();
    world.RunFor(200 * kMillisecond);
    worker.End();
    world.RunFor(500 * kMillisecond);
    worker.Start(1);
  }
  world.RunFor(5 * kSecond);
  return JudgeDoubleRuns(world);
}

// An idle worker crashes and starts again under its id. The control daemon to
// which it reports first is frozen. A task is started on the new boot under the
// fencing token of the earlier boot.
Verdict Reborn(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  Worker& worker = *world.workers[0];
  if (HasTrouble()) {
    world.Signal(world.controls[2], SIGSTOP);
    world.After(4 * kSecond, [&] { world.Signal(world.controls[2], SIGCONT); });
    world.RunFor(500 * kMillisecond);
  }
  // Just after the daemon has checked that it still owns the idle worker.
  world.RunFor(3 * kSecond, [&] {
    return world.now() - worker.last_order_at() < 50 * kMillisecond;
  });
  if (HasTrouble()) {
    worker.End();
    world.RunFor(300 * kMillisecond);
    worker.Start(2);
  } else {
    world.RunFor(300 * kMillisecond);
  }
  world.RunFor(300 * kMillisecond);
  Job job;
  job.id = world.NextJobId();
  job.tasks = 8;
  job.estimate_ms = 900;
  job.run_ms = 900;
  job.timeout_ms = 4000;
  world.SubmitWithResend(job, 0, 2);
  world.RunFor(6 * kSecond);
  return JudgeDoubleRuns(world);
}

// A client cancels its job at an entry daemon that is cut off from the control
// daemons.
Verdict CancelAtCutOffEntry(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  Job job;
  job.id = world.NextJobId();
  job.steps = 2;
  job.estimate_ms = 5000;
  job.run_ms = 5000;
  job.timeout_ms = 13'800;
  world.Submit(job, world.entries[0], [](int, const std::string&) {});
  world.RunFor(500 * kMillisecond);
  const Daemon& cut_off = world.entries[1];
  if (HasTrouble()) {
    world.Record(cut_off.name + " is cut off from all control daemons");
    std::map<std::string, bool> core;
    for (const Daemon& control : world.controls) {
      core[control.listen_ip] = true;
    }
    world.relays->Cut([core, ip = cut_off.listen_ip](const std::string& from,
                                                     const std::string& to) {
      return (from == ip && core.contains(to)) ||
             (to == ip && core.contains(from));
    });
    world.After(5500 * kMillisecond, [&] {
      world.Record("the cut heals");
      world.relays->Cut(
          [](const std::string&, const std::string&) { return false; });
    });
  }
  world.RunFor(800 * kMillisecond);
  Micros confirmed_at = 0;
  world.Cancel(job, cut_off, [&](int status, const std::string&) {
    confirmed_at = status / 100 == 2 || status == 410 ? world.now() : 0;
  });
  world.RunFor(13 * kSecond);
  world.CountDoubleRuns(kSlack);
  constexpr Micros kCancelTime = 3 * kSecond;
  for (const auto& run : world.runs) {
    if (confirmed_at != 0 && run->began > confirmed_at + kCancelTime) {
      world.Record("UNASKED: " + run->task + " was started " +
                   std::to_string((run->began - confirmed_at) / kMillisecond) +
                   " ms after the cancelling was confirmed");
      return kBroken;
    }
  }
  return confirmed_at == 0 && !HasTrouble() ? kCouldNotRun : kHeld;
}

// A worker whose clock is 2% slow has been idle for almost two seconds. It is
// cut off right after a task was started there.
Verdict SlowClock(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  const auto idle_for = [&] {
    Micros shortest = kMinute;
    for (const auto& worker : world.workers) {
      if (worker->zone() == "zone-0") {
        shortest = std::min(shortest, world.now() - worker->last_order_at());
      }
    }
    return shortest;
  };
  world.RunFor(10 * kSecond, [&] { return idle_for() > 1850 * kMillisecond; });
  Job job;
  job.id = world.NextJobId();
  job.tasks = 1;
  job.estimate_ms = 800;
  job.run_ms = 800;
  job.timeout_ms = 4000;
  bool cut = !HasTrouble();
  for (const auto& worker : world.workers) {
    worker->hold_back = [&, one = worker.get()](const WorkerOrder& order) {
      if (cut || order.kind != OrderKind::kStart) {
        return Micros(0);
      }
      cut = true;
      world.After(0, [&, one] {
        world.Record("worker " + one->id() + " is cut off");
        one->cut_off = true;
      });
      world.After(5 * kSecond, [one] { one->cut_off = false; });
      return Micros(1);
    };
  }
  world.SubmitWithResend(job, 0, 2);
  world.RunFor(7 * kSecond);
  return JudgeDoubleRuns(world);
}

// Another writer's report of a worker lacks fields and has a large sequence
// number. Later the worker reports that it drains.
Verdict HiddenDrain(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  Job job;
  job.tasks = 2;
  world.SetBackground(60, job);
  Worker& worker = *world.workers[0];
  if (HasTrouble()) {
    HttpCall call;
    call.address = world.controls[0].http_address();
    call.method = "POST";
    call.path = "/v1/Instances.Heartbeat/" + worker.id();
    call.body = worker.ReportOfAnotherWriter();
    call.timeout = kSecond;
    world.Record("another writer's report: " + call.body);
    world.Call(call, [&](int status, const std::string&) {
      world.Record("answer to it: " + std::to_string(status));
    });
  }
  world.RunFor(2 * kSecond);
  worker.ReportDraining();
  world.RunFor(7 * kSecond);
  world.CountDoubleRuns(kSlack);
  constexpr Micros kDrainTime = 2 * kSecond;
  const Micros confirmed_at = worker.draining_confirmed_at();
  if (confirmed_at == 0) {
    return kCouldNotRun;
  }
  for (const auto& run : world.runs) {
    if (run->worker == worker.id() + "/1" &&
        run->began > confirmed_at + kDrainTime) {
      world.Record("DRAIN: " + run->task + " was started " +
                   std::to_string((run->began - confirmed_at) / kMillisecond) +
                   " ms after the draining was confirmed");
      return kBroken;
    }
  }
  return kHeld;
}

// A report of another writer about the machine of a worker that is at work
// names a service that is in no configuration.
Verdict ForeignReport(World& world) {
  if (!world.StartAll()) {
    return kCouldNotRun;
  }
  Job job;
  job.tasks = 2;
  job.estimate_ms = 900;
  job.run_ms = 900;
  job.timeout_ms = 4000;
  world.SetBackground(13, job);
  world.RunFor(2 * kSecond);
  Worker* busy = nullptr;
  const bool found = world.RunFor(5 * kSecond, [&] {
    for (const auto& worker : world.workers) {
      busy = worker->zone() == "zone-0" && worker->runs() > 0 ? worker.get()
                                                              : busy;
    }
    return busy != nullptr;
  });
  if (!found) {
    return kCouldNotRun;
  }
  const Worker& worker = *busy;
  world.RunFor(200 * kMillisecond);
  if (HasTrouble()) {
    HttpCall call;
    call.address = world.controls[0].http_address();
    call.method = "POST";
    call.path = "/v1/Instances.Heartbeat/" + worker.id();
    call.body = worker.ReportOfAnotherService();
    call.timeout = kSecond;
    world.Record("another writer's report to " + world.controls[0].name + ": " +
                 call.path + " " + call.body);
    world.Call(call, [&](int status, const std::string&) {
      world.Record("answer to it: " + std::to_string(status));
    });
  }
  world.RunFor(5 * kSecond);
  return JudgeDoubleRuns(world);
}

int RunCase(const std::string& name,
            const std::string& folder,
            const std::string& record) {
  WorldOptions options;
  options.folder = folder;
  options.record_path = record;
  options.relay_mesh = name == "cancel_at_cut_off_entry";
  options.clock_rate = name == "slow_clock" ? 0.98 : 1.0;
  const std::map<std::string, std::function<Verdict(World&)>> cases = {
      {"unanswered_stop", UnansweredStop},
      {"late_deregister", LateDeregister},
      {"reborn", Reborn},
      {"cancel_at_cut_off_entry", CancelAtCutOffEntry},
      {"foreign_report", ForeignReport},
      {"hidden_drain", HiddenDrain},
      {"slow_clock", SlowClock}};
  const auto found = cases.find(name);
  if (found == cases.end()) {
    std::cerr << "no such case\n";
    return kCouldNotRun;
  }
  World world(options);
  Verdict verdict = kCouldNotRun;
  try {
    verdict = found->second(world);
  } catch (const std::exception& error) {
    world.Record(error.what());
  }
  world.Record(verdict == kBroken ? "the rule was broken"
               : verdict == kHeld ? "the rule held"
                                  : "the case could not run");
  world.Finish();
  // Handlers of open connections refer to parts of the world.
  std::cout.flush();
  std::_Exit(verdict);
}

}  // namespace
}  // namespace goldcrest::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review_case CASE FOLDER RECORD\n";
    return 2;
  }
  try {
    return goldcrest::review::RunCase(argv[1], argv[2], argv[3]);
  } catch (const std::exception& error) {
    std::cerr << "review_case: " << error.what() << "\n";
    return 2;
  }
}
