#ifndef POOL_JOBS_JOB_CONTACT_H_
#define POOL_JOBS_JOB_CONTACT_H_

// Whether the entry daemon of a job may still wait for its outcome.
//
// An entry daemon gives a job up when it has heard nothing of the daemon that
// has the job for the full-rate timeout. It answers that the outcome is
// unknown, and the caller sends the job again kShortestResendDelay later, to
// any daemon. All runs of the job must be over by then, whichever messages are
// lost, delayed or held up between the two daemons.
//
// Each contact of an entry daemon with another daemon has a number, which rises
// when the entry daemon gives up the jobs that the other one has. Heartbeats,
// orders and start permissions carry it, so any message of the next contact
// tells the other daemon that the jobs of the earlier ones are given up. Until
// one arrives, the other daemon goes on only while the entry daemon echoes
// recent heartbeats: those sent before the jobs were given up echo none that
// is younger than the full-rate timeout was then. LongestRunAfterGivingUp()
// adds up what follows from that.

#include <cstdint>
#include <string_view>

#include "pool/pool_board.h"

namespace goldcrest {

// Callers send a job whose outcome is unknown again after this long at the
// earliest.
inline constexpr Micros kShortestResendDelay = 1300 * kMillisecond;

// Longest time until a daemon that is not delayed notices that a time has come.
inline constexpr Micros kNoticeTime = 20 * kMillisecond;

// Why the entry daemon of a job does not, or may not, wait for it any more.
enum class ContactEnd : uint8_t { kNone, kGivenUp, kNotHeard };

// Returns the reason in logs; "" for kNone.
std::string_view ToString(ContactEnd end);

// Returns whether, as far as this daemon knows, the job's entry daemon waits
// for it.
ContactEnd FindContactEnd(const PoolBoard& board,
                          const PoolJob& job,
                          Micros now);

// Returns whether the entry daemon has given up the contact with this number.
// Number 0 belongs to no known contact.
bool IsContactGivenUp(const PoolBoard& board,
                      const std::string& entry,
                      uint64_t contact);

// Returns by how long the last run of a job may outlive the moment in which its
// entry daemon gives the job up or ends, if no order to stop the run reaches
// its worker, on the slowest clock that the worker may have.
Micros LongestRunAfterGivingUp(const PoolOptions& options,
                               const HeartbeatRates& rates);

}  // namespace goldcrest

#endif  // POOL_JOBS_JOB_CONTACT_H_
