// The writes of the persistent part, and the messages that wait for them.

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

// Returns the write that was requested earlier in this step, if there is one.
PersistRegister* FindRequestedWrite(PoolActions& actions) {
  for (PoolAction& action : actions) {
    if (auto* write = std::get_if<PersistRegister>(&action)) {
      return write;
    }
  }
  return nullptr;
}

void SendDurableMessages(RegisterWrites& writes, PoolActions& actions) {
  while (!writes.messages.empty() &&
         writes.messages.front().sequence <= writes.durable_sequence) {
    actions.emplace_back(std::move(writes.messages.front().send));
    writes.messages.pop_front();
  }
}

}  // namespace

namespace detail {

void Persist(Agreement& agreement, Micros now, PoolActions& actions) {
  RegisterWrites& writes = agreement.writes;
  const uint64_t sequence = ++writes.newest_sequence;
  writes.entries[sequence] = EntryIdOf(NewestEntry(agreement));
  BeginWrite(writes.times, sequence, now);
  if (PersistRegister* requested = FindRequestedWrite(actions)) {
    *requested = {agreement.stored, sequence};
    return;
  }
  actions.emplace_back(PersistRegister{agreement.stored, sequence});
}

bool IsWriting(const Agreement& agreement) {
  return agreement.writes.durable_sequence < agreement.writes.newest_sequence;
}

void SendWhenDurable(Agreement& agreement,
                     const std::string& to,
                     wire::PoolMessage message,
                     PoolActions& actions) {
  if (!IsWriting(agreement)) {
    SendTo(actions, to, std::move(message));
    return;
  }
  agreement.writes.messages.push_back(
      {agreement.writes.newest_sequence, SendMessage{to, std::move(message)}});
}

void ReviewWrites(Agreement& agreement, Micros now, PoolActions& actions) {
  RegisterWrites& writes = agreement.writes;
  if (writes.retry_at != 0 && now >= writes.retry_at) {
    writes.retry_at = now + agreement.options.write_retry_delay;
    Persist(agreement, now, actions);
  }
  const DiskSpeedChange change = ReviewDiskSpeed(writes.times, now);
  if (change == DiskSpeedChange::kNone) {
    return;
  }
  const bool became_slow = change == DiskSpeedChange::kBecameSlow;
  LogPoolEvent(actions, became_slow ? LogLevel::kWarning : LogLevel::kInfo,
               ToString(change),
               {{"write_ms", Milliseconds(WriteTimeOf(agreement, now))}});
}

}  // namespace detail

Micros WriteTimeOf(const Agreement& agreement, Micros now) {
  return ExpectedWriteTime(agreement.writes.times, now);
}

void OnRegisterStored(Agreement& agreement,
                      uint64_t sequence,
                      bool ok,
                      Micros now,
                      PoolActions& actions) {
  RegisterWrites& writes = agreement.writes;
  EndWrite(writes.times, sequence, ok, now);
  if (!ok) {
    if (writes.retry_at == 0) {
      LogPoolEvent(actions, LogLevel::kError, "disk_write_failed",
                   {{"write", std::to_string(sequence)}});
    }
    writes.retry_at = now + agreement.options.write_retry_delay;
    return;
  }
  if (sequence <= writes.durable_sequence) {
    return;
  }
  writes.durable_sequence = sequence;
  const auto written = writes.entries.find(sequence);
  if (written != writes.entries.end()) {
    writes.durable_entry = written->second;
    writes.entries.erase(writes.entries.begin(), std::next(written));
  }
  const bool all_durable = !detail::IsWriting(agreement);
  if (writes.retry_at != 0 && all_durable) {
    writes.retry_at = 0;
    LogPoolEvent(actions, LogLevel::kInfo, "disk_write_recovered", {});
  }
  SendDurableMessages(writes, actions);
  if (agreement.role == AgreementRole::kLeader) {
    detail::AdvanceCommit(agreement, actions);
  } else if (all_durable) {
    detail::OnAllDurable(agreement, now);
  }
}

}  // namespace goldcrest
