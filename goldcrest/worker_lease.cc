#include "goldcrest/worker_lease.h"

#include <algorithm>
#include <utility>

#include "goldcrest/borrowing.h"
#include "goldcrest/digest.h"
#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/task_results.h"
#include "goldcrest/worker_table.h"

namespace goldcrest {
namespace {

// Limits of the fields of an announcement.
constexpr int64_t kMaxSlots = 4096;
constexpr int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr size_t kMaxRunning = 8192;
constexpr size_t kMaxAddressBytes = 256;
constexpr IntegerRange kCounterRange = {0, INT64_MAX};

struct JsonReply {
  int status = 200;
  std::string body;
};

JsonReply ErrorReply(ResultCode code) {
  const ResultCodeRow& row = RowOf(code);
  return {row.http_status, ErrorJson({code, "", std::string(row.meaning)})};
}

// Reads the ids of the tasks that the worker reports as running.
std::vector<std::string> ReadRunning(ObjectReader& reader) {
  std::vector<std::string> running;
  if (!reader.Has("running")) {
    return running;
  }
  const Poco::JSON::Array::Ptr array = reader.Array("running", kMaxRunning);
  for (size_t i = 0; i < array->size(); ++i) {
    const Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
    if (!value.isString()) {
      reader.Fail("running", ResultCode::kOutOfRange, "expected task ids");
      break;
    }
    running.push_back(value.extract<std::string>());
  }
  return running;
}

// Returns the VM that should hold the lease of `worker`, or an empty name. If
// all VMs of this VM's own domain are unreachable or draining, that is this VM.
std::string LeaseHolderOf(const Blackboard& bb,
                          const std::string& domain,
                          const std::string& worker) {
  std::string holder;
  uint64_t best = 0;
  for (const std::string& vm : bb.deployment.VmsOf(domain)) {
    const bool is_self = vm == bb.deployment.self;
    const auto peer = bb.membership.peers.find(vm);
    const bool draining = is_self ? bb.draining : peer->second.draining;
    if (!IsReachable(bb, vm) || draining) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(worker, vm);
    if (holder.empty() || weight > best) {
      holder = vm;
      best = weight;
    }
  }
  const bool falls_back_to_self =
      holder.empty() && domain == bb.deployment.failure_domain;
  return falls_back_to_self ? bb.deployment.self : holder;
}

// Returns a lease epoch above every epoch known here and above `reported`. It
// is at least the wall time in milliseconds.
uint64_t NextEpoch(Blackboard& bb, uint64_t reported, StepTime now) {
  const uint64_t epoch =
      std::max({bb.workers.max_lease_epoch + 1, reported + 1,
                static_cast<uint64_t>(std::max<int64_t>(now.wall_ms, 0))});
  bb.workers.max_lease_epoch = epoch;
  return epoch;
}

// Returns the number of tasks reported by the worker that this VM did not
// start, less the slots of the worker that are lent to other VMs; at least 0.
int CountForeignTasks(const Blackboard& bb,
                      const Worker& worker,
                      const std::vector<std::string>& running) {
  std::set<std::string> own;
  for (const auto& [key, use] : bb.workers.slot_uses) {
    if (use.worker == worker.name) {
      own.insert(TaskKey(use.submission_id, use.index));
    }
  }
  const auto foreign =
      std::count_if(running.begin(), running.end(),
                    [&](const std::string& id) { return !own.contains(id); });
  return std::max(0, static_cast<int>(foreign) - worker.lent_total());
}

void CopyAnnouncement(Blackboard& bb,
                      const WorkerAnnouncement& announcement,
                      Worker& worker) {
  bb.workers.leased_slots +=
      static_cast<int>(announcement.slots) - worker.slots;
  worker.address = announcement.address;
  worker.rack = announcement.rack;
  worker.failure_domain = announcement.failure_domain;
  worker.slots = static_cast<int>(announcement.slots);
  worker.memory_mb = announcement.memory_mb;
  worker.incarnation = announcement.incarnation;
  worker.leaving = announcement.leaving;
}

JsonReply LeaseReply(const Blackboard& bb, const Worker& worker) {
  return {200, "{\"lease_ms\":" +
                   std::to_string(bb.tuning.worker_lease / kMillisecond) +
                   ",\"lease_epoch\":" + std::to_string(worker.lease_epoch) +
                   ",\"renew_ms\":" +
                   std::to_string(bb.tuning.worker_renew / kMillisecond) +
                   ",\"entry\":" + JsonQuote(bb.deployment.http_address) + "}"};
}

void LogLease(const Worker& worker, Actions& actions) {
  Log(actions, LogLevel::kInfo, "worker_leased",
      {{"worker", worker.name},
       {"epoch", std::to_string(worker.lease_epoch)},
       {"incarnation", std::to_string(worker.incarnation)},
       {"slots", std::to_string(worker.slots)}});
}

// Returns the worker of the announcement, and adds it if it is unknown.
Worker& FindOrAddWorker(Blackboard& bb,
                        const WorkerAnnouncement& announcement) {
  Worker* worker = FindWorker(bb, announcement.name);
  if (worker != nullptr && worker->accelerators == announcement.accelerators) {
    return *worker;
  }
  if (worker != nullptr) {
    // The index depends on the accelerators: the worker is removed from it
    // before they change.
    const bool leaving = worker->leaving;
    worker->leaving = true;
    ReindexWorker(bb, *worker);
    worker->leaving = leaving;
    worker->accelerators = announcement.accelerators;
    return *worker;
  }
  Worker added;
  added.name = announcement.name;
  added.accelerators = announcement.accelerators;
  return AddWorker(bb, std::move(added));
}

// Grants or renews the lease of a worker at this VM.
JsonReply GrantLease(Blackboard& bb,
                     const WorkerAnnouncement& announcement,
                     StepTime now,
                     Actions& actions) {
  const Worker* known = FindWorker(bb, announcement.name);
  if (known != nullptr && announcement.incarnation < known->incarnation) {
    return ErrorReply(ResultCode::kStaleIncarnation);
  }
  const bool restarted =
      known != nullptr && announcement.incarnation > known->incarnation;
  if (restarted) {
    HandleUnansweredAttempts(bb, announcement.name, now, actions);
  }
  Worker& worker = FindOrAddWorker(bb, announcement);
  const bool lease_expired = worker.lease_until <= now.mono;
  const bool new_epoch = worker.lease_epoch == 0 || lease_expired ||
                         restarted || worker.released ||
                         worker.needs_new_epoch ||
                         announcement.lease_epoch > worker.lease_epoch;
  CopyAnnouncement(bb, announcement, worker);
  // A worker renews at the VM named in the last reply, so a renewal shows that
  // it received the reply before. A worker that reports its epoch confirms that
  // one.
  worker.confirmed_epoch = announcement.lease_epoch != 0
                               ? announcement.lease_epoch
                               : worker.lease_epoch;
  if (new_epoch) {
    worker.lease_epoch = NextEpoch(bb, announcement.lease_epoch, now);
    worker.needs_new_epoch = false;
    LogLease(worker, actions);
  }
  if (restarted) {
    worker.outlier = OutlierState();
    worker.lent.clear();
  }
  worker.released = false;
  worker.lease_until = now.mono + bb.tuning.worker_lease;
  worker.reported_running = static_cast<int>(announcement.running.size());
  worker.foreign_tasks = CountForeignTasks(bb, worker, announcement.running);
  bb.workers.last_worker_seen_at = now.mono;
  ReindexWorker(bb, worker);
  return LeaseReply(bb, worker);
}

// Stops starting tasks on a worker whose lease another VM should hold, and
// recalls its lent slots.
void ReleaseWorker(Blackboard& bb, const std::string& name, Actions& actions) {
  Worker* worker = FindWorker(bb, name);
  if (worker == nullptr || worker->released) {
    return;
  }
  worker->released = true;
  ReindexWorker(bb, *worker);
  RecallSlots(bb, *worker, false, actions);
  Log(actions, LogLevel::kInfo, "worker_released", {{"worker", name}});
}

// Forwards an announcement to the lease holder.
void ForwardAnnouncement(Blackboard& bb,
                         const AnnounceRequest& request,
                         const std::string& holder,
                         StepTime now,
                         Actions& actions) {
  const uint64_t number = NextId(bb);
  bb.forwarded_announcements[number] = {request.token, request, holder};
  wire::PeerMessage message;
  message.mutable_announce_forward()->set_token(number);
  message.mutable_announce_forward()->set_announcement_json(request.json);
  SendToPeer(bb, holder, std::move(message), actions);
  bb.timers.Set(now.mono + bb.tuning.announce_timeout, TimerKind::kAnnounce,
                std::to_string(number));
}

void ReplyHolderUnreachable(ReplyToken token, Actions& actions) {
  const JsonReply reply = ErrorReply(ResultCode::kLeaseHolderUnreachable);
  actions.emplace_back(ReplyJson{token, reply.status, reply.body});
}

}  // namespace

tl::expected<WorkerAnnouncement, FieldError> ParseAnnouncement(
    const std::string& body) {
  const auto json = ParseJson(body);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  WorkerAnnouncement announcement;
  announcement.name = reader.Text("name", {1, kMaxNameBytes});
  announcement.address = reader.Text("address", {3, kMaxAddressBytes});
  announcement.failure_domain =
      reader.Text("failure_domain", {1, kMaxNameBytes});
  announcement.rack = reader.Text("rack", {0, kMaxNameBytes}, "");
  announcement.slots = reader.Integer("slots", {0, kMaxSlots});
  announcement.memory_mb =
      reader.Integer("memory_mb", {0, kMaxMemoryMb}, kMaxMemoryMb);
  announcement.accelerators = reader.Integer("accelerators", {0, 1024}, 0);
  announcement.incarnation =
      static_cast<uint64_t>(reader.Integer("incarnation", kCounterRange));
  const std::string state = reader.Text("state", {1, 16}, "serving");
  announcement.leaving = state == "leaving";
  announcement.lease_epoch =
      static_cast<uint64_t>(reader.Integer("lease_epoch", kCounterRange, 0));
  announcement.running = ReadRunning(reader);
  if (reader.Has("usage")) {
    ObjectReader usage(reader.Value("usage"), "usage", errors);
  }
  reader.Finish();
  if (state != "serving" && state != "leaving") {
    reader.Fail("state", ResultCode::kOutOfRange,
                "expected serving or leaving");
  }
  if (!announcement.name.empty() && !IsValidName(announcement.name)) {
    reader.Fail("name", ResultCode::kOutOfRange,
                "expected letters, digits, '.', '_', ':' or '-'");
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors.front());
  }
  return announcement;
}

void OnAnnounce(Blackboard& bb,
                const AnnounceRequest& request,
                StepTime now,
                Actions& actions) {
  const WorkerAnnouncement& announcement = request.announcement;
  if (bb.deployment.GroupOf(announcement.failure_domain) == nullptr) {
    const JsonReply reply = ErrorReply(ResultCode::kWorkerDomain);
    actions.emplace_back(ReplyJson{request.token, reply.status, reply.body});
    return;
  }
  const std::string holder =
      LeaseHolderOf(bb, announcement.failure_domain, announcement.name);
  if (holder == bb.deployment.self) {
    const JsonReply reply = GrantLease(bb, announcement, now, actions);
    actions.emplace_back(ReplyJson{request.token, reply.status, reply.body});
    return;
  }
  ReleaseWorker(bb, announcement.name, actions);
  if (holder.empty()) {
    const JsonReply reply = ErrorReply(ResultCode::kLeaseHolderUnreachable);
    actions.emplace_back(ReplyJson{request.token, reply.status, reply.body});
    return;
  }
  ForwardAnnouncement(bb, request, holder, now, actions);
}

// The sender determined that this VM is the holder, so the lease is granted
// even if this VM's own view differs temporarily. The epoch fences the other
// holder.
void OnAnnounceForward(Blackboard& bb,
                       const std::string& from,
                       const wire::AnnounceForward& forward,
                       StepTime now,
                       Actions& actions) {
  const auto announcement = ParseAnnouncement(forward.announcement_json());
  JsonReply reply = ErrorReply(ResultCode::kWorkerDomain);
  if (announcement &&
      announcement->failure_domain == bb.deployment.failure_domain) {
    reply = GrantLease(bb, *announcement, now, actions);
  }
  wire::PeerMessage message;
  message.mutable_announce_reply()->set_token(forward.token());
  message.mutable_announce_reply()->set_status(
      static_cast<uint32_t>(reply.status));
  message.mutable_announce_reply()->set_body_json(reply.body);
  SendToPeer(bb, from, std::move(message), actions);
}

void OnAnnounceReply(Blackboard& bb,
                     const wire::AnnounceReply& reply,
                     Actions& actions) {
  const auto found = bb.forwarded_announcements.find(reply.token());
  if (found == bb.forwarded_announcements.end()) {
    return;
  }
  actions.emplace_back(ReplyJson{found->second.token,
                                 static_cast<int>(reply.status()),
                                 reply.body_json()});
  bb.forwarded_announcements.erase(found);
}

void OnAnnounceTimer(Blackboard& bb,
                     const std::string& key,
                     StepTime now,
                     Actions& actions) {
  const auto found = bb.forwarded_announcements.find(std::stoull(key));
  if (found == bb.forwarded_announcements.end()) {
    return;
  }
  const ForwardedAnnouncement forwarded = std::move(found->second);
  bb.forwarded_announcements.erase(found);
  if (!IsReachable(bb, forwarded.holder)) {
    OnAnnounce(bb, forwarded.request, now, actions);
    return;
  }
  ReplyHolderUnreachable(forwarded.token, actions);
}

void EndForwardedAnnouncements(Blackboard& bb, Actions& actions) {
  for (const auto& [number, forwarded] : bb.forwarded_announcements) {
    ReplyHolderUnreachable(forwarded.token, actions);
  }
  bb.forwarded_announcements.clear();
}

void ExpireWorkers(Blackboard& bb, StepTime now, Actions& actions) {
  std::vector<std::string> to_remove;
  for (auto& [key, worker] : bb.workers.workers) {
    // The end of a loan only prevents new attempts. The lender notifies this VM
    // when the worker itself has failed.
    const bool expired = worker->lease_until <= now.mono && !worker->borrowed();
    if (expired || worker->released) {
      to_remove.push_back(key);
    }
  }
  for (const std::string& key : to_remove) {
    Worker* worker = FindWorker(bb, key);
    if (worker->lease_until <= now.mono && !worker->borrowed()) {
      if (!worker->released) {
        Log(actions, LogLevel::kWarning, "worker_lease_expired",
            {{"worker", key},
             {"busy", std::to_string(worker->occupied_slots)}});
        worker->released = true;
        ReindexWorker(bb, *worker);
        RecallSlots(bb, *worker, true, actions);
      }
      HandleUnansweredAttempts(bb, key, now, actions);
    }
    worker = FindWorker(bb, key);
    if (worker != nullptr && worker->occupied_slots == 0) {
      RemoveWorker(bb, key);
    }
  }
}

bool CouldEverFit(const Blackboard& bb, TaskShape shape) {
  const bool here = std::any_of(
      bb.workers.workers.begin(), bb.workers.workers.end(),
      [&](const auto& entry) {
        const Worker& worker = *entry.second;
        return worker.slots > 0 && worker.memory_mb >= shape.memory_mb &&
               worker.accelerators >= shape.accelerators;
      });
  // Heartbeats contain the maximum memory and the maximum accelerators over all
  // workers of a VM, which may belong to different workers. So a task may be
  // accepted that no worker could run.
  return here ||
         std::any_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                     [&](const auto& entry) {
                       const Peer& peer = entry.second;
                       return peer.slots > 0 &&
                              peer.max_memory_mb >= shape.memory_mb &&
                              peer.max_accelerators >= shape.accelerators;
                     });
}

bool KnowsWorkers(const Blackboard& bb) {
  return bb.workers.leased_slots > 0 ||
         std::any_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                     [](const auto& entry) {
                       return entry.second.reachable && entry.second.slots > 0;
                     });
}

}  // namespace goldcrest
