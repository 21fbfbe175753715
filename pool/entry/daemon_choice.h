#ifndef POOL_ENTRY_DAEMON_CHOICE_H_
#define POOL_ENTRY_DAEMON_CHOICE_H_

// The choice of the daemon that gets a caller's job; internal to entry.cc.

#include <optional>
#include <set>
#include <string>

#include "pool/entry/entry.h"

namespace goldcrest::detail {

// Returns whether standbys take jobs as soon as no control daemon is heard
// (PoolFeatures::standby_after).
bool HasQuickStandby(const EntryBoard& board);

// Returns the address of the daemon to send a job to: a control daemon, or this
// daemon if it has workers and no control daemon should get the job. Daemons in
// `tried` are excluded.
std::optional<std::string> ChooseDaemon(EntryBoard& board,
                                        const wire::JobOrder& order,
                                        const std::set<std::string>& tried,
                                        Micros now);

}  // namespace goldcrest::detail

#endif  // POOL_ENTRY_DAEMON_CHOICE_H_
