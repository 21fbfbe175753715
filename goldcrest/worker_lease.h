#ifndef GOLDCREST_WORKER_LEASE_H_
#define GOLDCREST_WORKER_LEASE_H_

// Leases of workers: which entry VM accounts for which worker's slots.
//
// A worker may announce itself to any entry VM. The holder of its lease is the
// VM of its domain that ranks first for its name among the reachable ones; any
// other VM hands the announcement on and returns the holder's reply. Each new
// lease has a greater epoch, and a worker refuses starts of older epochs, so a
// former holder that does not know better starts nothing there.
//
// A worker whose lease ran out, or that came back with a new incarnation,
// makes every start that it had count as lost.

#include <string>

#include <tl/expected.hpp>

#include "goldcrest/blackboard.h"
#include "goldcrest/json_reader.h"

namespace goldcrest {

// Reads the body of POST /v1/backend_servers.
tl::expected<WorkerAnnouncement, FieldError> ParseAnnouncement(
    const std::string& body);

// Handles an announcement at this VM's edge.
void OnAnnounce(Blackboard& bb,
                const AnnounceRequest& request,
                Now now,
                Actions& actions);

// Handles an announcement that another VM handed on.
void OnAnnounceForward(Blackboard& bb,
                       const std::string& from,
                       const wire::AnnounceForward& forward,
                       Now now,
                       Actions& actions);

// Handles the holder's reply to an announcement that was handed on.
void OnAnnounceReply(Blackboard& bb,
                     const wire::AnnounceReply& reply,
                     Actions& actions);

// Ends a handed-on announcement that nobody replied to.
void OnAnnounceTimer(Blackboard& bb,
                     const std::string& key,
                     Now now,
                     Actions& actions);

// Ends leases that ran out and drops workers that are gone.
void ExpireWorkers(Blackboard& bb, Now now, Actions& actions);

// Says whether any worker in reach could ever hold a task of `shape`.
bool CouldEverFit(const Blackboard& bb, TaskShape shape);

// Says whether this VM knows of any worker in its domain or, failing that,
// anywhere.
bool KnowsWorkers(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_LEASE_H_
