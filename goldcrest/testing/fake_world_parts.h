#ifndef GOLDCREST_TESTING_FAKE_WORLD_PARTS_H_
#define GOLDCREST_TESTING_FAKE_WORLD_PARTS_H_

// The state that a FakeWorld keeps for each VM and each worker. Only the
// fake_world*.cc files include this header.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/testing/fake_world.h"

namespace goldcrest {

struct FakeWorld::Vm {
  std::string name;
  std::string domain;
  std::optional<Blackboard> board;
  uint64_t incarnation = 0;
  int64_t skew_ms = 0;
  bool has_disk = false;
  std::vector<wire::JournalRecord> disk;
  uint64_t highest_version = 0;
  // The highest configuration version that this VM confirmed to an operator.
  uint64_t acknowledged_version = 0;
  // When the most recently requested append is synced. Appends are synced in
  // the order of their requests.
  Micros disk_busy_until = 0;
  Micros sync_ends_at = 0;  // of the sync in progress; WorldOptions::sync_time
  Micros next_tick_at = 0;
};

struct FakeWorld::Worker {
  std::string name;
  std::string domain;
  std::string address;
  uint64_t incarnation = 1;
  uint64_t lease_epoch = 0;
  std::string entry_vm;
  bool up = true;
  bool leaving = false;
  Micros leave_confirmed_at = 0;
  std::map<std::string, StartTask> running;
  std::map<std::string, std::string> completed_outputs;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_FAKE_WORLD_PARTS_H_
