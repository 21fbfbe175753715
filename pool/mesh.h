#ifndef POOL_MESH_H_
#define POOL_MESH_H_

// Which daemons there are, and which of them can be reached.
//
// Every daemon sends presences to all control daemons that it knows, at the
// rates of presence_rate.h; control daemons answer those of entry daemons. A
// presence names the control daemons that its sender hears and the others that
// it knows, so that a list of seeds is enough to find all of them, and so that
// a daemon that is cut off from one control daemon can still learn from others
// that it lives.
//
// A presence carries a sequence number and the newest number received from the
// other side. An order that repeats a number says how fresh its sender's view
// was, measured on the receiver's own clock: a daemon that wakes up after a
// pause can tell orders that waited for it from fresh ones.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/pool_action.h"
#include "pool/presence_rate.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct MeshOptions {
  std::string self;  // mesh address
  uint64_t incarnation = 0;
  bool control = false;
  std::string failure_domain;
  std::string control_address;
  std::vector<std::string> seeds;  // mesh addresses of control daemons
  PresenceRates rates;
  // What others say of a control daemon counts for this long.
  Micros hearsay = 700 * kMillisecond;
  // A configuration that was asked for and has not come is asked for
  // elsewhere after this.
  Micros routing_patience = 800 * kMillisecond;
  // Control daemons that nobody has heard for this long are forgotten.
  Micros forget_after = 30 * kSecond;
};

struct MeshMember {
  std::string address;
  uint64_t incarnation = 0;
  Micros last_heard = 0;       // 0: never
  Micros presence_at = 0;      // when `presence` came; pauses count
  Micros heard_by_others = 0;  // newest time another daemon said it hears it
  // Since when an entry daemon exchanges presences with it at the full rate; 0:
  // at the far rate.
  Micros close_since = 0;
  Micros close_until = 0;     // jobs are shared with it until then at least
  Micros far_due = 0;         // the next presence at the far rate
  wire::Presence presence;    // the newest one
  bool counted_lost = false;  // was told in the log
};

struct Mesh {
  MeshOptions options;
  uint64_t sequence = 0;
  std::deque<std::pair<uint64_t, Micros>> sent;  // sequence, when
  std::map<std::string, MeshMember> members;     // by address
  Micros presence_due = 0;
  Micros far_period = 0;  // period at the far rate; 0: not known, full rate
  uint32_t entry_daemons = 0;  // as far as is known
  bool draining = false;
  uint64_t routing_version = 0;
  // The control daemon that an entry daemon asked for a newer configuration.
  // It asks one at a time: the document may be long and links are thin.
  std::string routing_source;
  Micros routing_asked_at = 0;
  bool routing_ask_due = false;
  // Entry daemons that can say whether control daemons are alive, and whether
  // they are being asked.
  std::vector<std::string> witnesses;
  bool probing = false;
  uint64_t store_id = 0;
  bool leads = false;  // this daemon leads the agreement
  wire::PoolLoad load;
};

Mesh MakeMesh(const MeshOptions& options);

// Adds control daemons to start from.
void AddSeeds(Mesh& mesh, const std::vector<std::string>& seeds);

// What a received presence changed.
enum class MemberChange : uint8_t { kNone, kAppeared, kRestarted };

// Takes in a presence, and answers it where the sender expects that.
MemberChange OnPresence(Mesh& mesh,
                        const std::string& from,
                        uint64_t incarnation,
                        const wire::Presence& presence,
                        Micros now,
                        PoolActions& actions);

// Takes in that any other message came from a known life of a daemon.
void NoteHeard(Mesh& mesh,
               const std::string& from,
               uint64_t incarnation,
               Micros now);

// Changes to the full rate with the daemon at `address`, with which an entry
// daemon shares a job.
void StayClose(Mesh& mesh,
               const std::string& address,
               Micros now,
               PoolActions& actions);

// Sends presences when they are due.
void MeshTick(Mesh& mesh, Micros now, PoolActions& actions);

// Does not count a pause of this process as silence of the others.
void ForgivePause(Mesh& mesh, Micros pause);

// Returns the silence after which the daemon at `address` counts as lost.
Micros SilenceOf(const Mesh& mesh, const std::string& address, Micros now);

// Says whether the daemon at `address` was heard of late, by the rate at which
// presences are exchanged with it.
bool IsHeard(const Mesh& mesh, const std::string& address, Micros now);

// Says whether this daemon, or one that it hears, has heard the control daemon
// at `address` of late.
bool IsAlive(const Mesh& mesh, const std::string& address, Micros now);

// Says whether what `member` last told about itself can be built upon.
bool IsFresh(const MeshMember& member, Micros now);

// Returns when the presence with `sequence` was sent; 0 when that is long ago.
Micros SentAt(const Mesh& mesh, uint64_t sequence);

// Returns the newest presence number received from `address`, 0 for none.
uint64_t NewestSequence(const Mesh& mesh, const std::string& address);

}  // namespace goldcrest

#endif  // POOL_MESH_H_
