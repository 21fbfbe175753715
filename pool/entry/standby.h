#ifndef POOL_ENTRY_STANDBY_H_
#define POOL_ENTRY_STANDBY_H_

// Fallback: entry daemons order workers themselves while no control daemon is
// reachable.
//
// All control VMs may lose power at once while the workers and the entry VMs
// keep running. Each entry daemon therefore knows the workers of its failure
// domain. When it can reach no control daemon, it asks other entry daemons, its
// probe peers, whether they can. If at least half of the probe peers answer and
// none of them reaches a control daemon, it claims its share of its domain's
// workers, by the same claims, leases and fencing tokens as a control daemon. A
// daemon that is itself cut off reaches too few probe peers and claims nothing.
// When a control daemon has returned, it requests the workers, and each is
// handed over when idle.
//
// With PoolFeatures::standby_after, the decision follows from probes that were
// sent after the silence began, instead of from timeouts: a VM without power
// answers nothing, while a control daemon that is slow, or behind a link that
// loses messages, answers one of several probes.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Decides whether this entry daemon probes its peers for control daemons, and
// whether it orders workers as a standby.
void StandbyTick(PoolBoard& board, Micros now, PoolActions& actions);

// Returns the entry daemons that the entry daemon `to` should ask about control
// daemons: at most 8, with PoolFeatures::standby_after at most 16; those of its
// own failure domain first.
std::vector<std::string> ProbePeersFor(const Mesh& mesh,
                                       const std::string& to,
                                       Micros now);

// Returns whether this entry daemon orders workers because no control daemon
// answers its probes (PoolFeatures::standby_after). Control daemons then count
// as unreachable, although they were heard within the usual timeouts.
bool IsQuickStandby(const PoolBoard& board);

// Returns whether this daemon has heard a control daemon within
// PoolFeatures::standby_after, which must be set.
bool HearsAnyControl(const Mesh& mesh, Micros now);

// Returns whether the pool of an entry daemon has workers that accept tasks.
bool HasReadyWorkers(const PoolBoard& board);

}  // namespace goldcrest

#endif  // POOL_ENTRY_STANDBY_H_
