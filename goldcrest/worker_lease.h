#ifndef GOLDCREST_WORKER_LEASE_H_
#define GOLDCREST_WORKER_LEASE_H_

// Leases of workers: which entry VM accounts for the slots of which worker.
//
// A worker may announce itself to any entry VM. The lease holder is the
// reachable VM of the worker's domain that ranks first for the worker's name.
// Any other VM forwards the announcement to the holder and returns the holder's
// reply. Each new lease has a higher epoch, and a worker refuses to start tasks
// for older epochs, so that a former holder that does not know of the change
// starts no task there.
//
// When the lease of a worker expires, or the worker announces a new
// incarnation, all attempts on it count as failed with the worker.

#include <string>

#include <tl/expected.hpp>

#include "goldcrest/blackboard.h"
#include "goldcrest/json_reader.h"

namespace goldcrest {

// Parses the body of POST /v1/backend_servers. On failure returns the first
// error.
tl::expected<WorkerAnnouncement, FieldError> ParseAnnouncement(
    const std::string& body);

// Handles an announcement that this VM received over HTTP.
void OnAnnounce(Blackboard& bb,
                const AnnounceRequest& request,
                StepTime now,
                Actions& actions);

// Handles an announcement that another VM forwarded to this one as the holder.
void OnAnnounceForward(Blackboard& bb,
                       const std::string& from,
                       const wire::AnnounceForward& forward,
                       StepTime now,
                       Actions& actions);

// Handles the holder's reply to a forwarded announcement.
void OnAnnounceReply(Blackboard& bb,
                     const wire::AnnounceReply& reply,
                     Actions& actions);

// Ends a forwarded announcement without a reply. If the holder has become
// unreachable, the announcement is handled again; otherwise it is refused.
void OnAnnounceTimer(Blackboard& bb,
                     const std::string& key,
                     StepTime now,
                     Actions& actions);

// Replies to the workers whose announcements wait for their lease holders that
// these are unreachable.
void EndForwardedAnnouncements(Blackboard& bb, Actions& actions);

// Ends expired leases, and removes workers without a lease here once no task
// runs on them.
void ExpireWorkers(Blackboard& bb, StepTime now, Actions& actions);

// Returns whether any worker known here could run a task of `shape` if it were
// idle. May return true when no single worker could.
bool CouldEverFit(const Blackboard& bb, TaskShape shape);

// Returns whether this VM holds the lease of any worker with slots, or any
// reachable peer does.
bool KnowsWorkers(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_LEASE_H_
