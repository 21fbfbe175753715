#ifndef GOLDCREST_FORWARDING_H_
#define GOLDCREST_FORWARDING_H_

// Submissions between entry VMs: forwarding, lookups and cancellations.
//
// Any entry VM takes any submission and hands it to a VM of its home domain.
// It keeps the content until the result is back, so that it can hand it to the
// next VM when the first one dies; the claim makes that safe. A home domain
// that stays out of reach is answered with "unknown": the same submission may
// have run there already.

#include <string>
#include <vector>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the VM that should own `job` now: the best placed one of its home
// domain that is reachable and not draining; an empty name when there is none.
std::string ChooseOwner(const Blackboard& bb, const Job& job);

// Hands `job` to the VM `target`, or waits for one when `target` is empty.
void ForwardJob(Blackboard& bb,
                Job& job,
                const std::string& target,
                Now now,
                Actions& actions);

// Sends a forwarded job to its target again.
void SendForward(Blackboard& bb, Job& job, Actions& actions);

void OnForwardReply(Blackboard& bb,
                    const std::string& from,
                    const wire::ForwardReply& reply,
                    Now now,
                    Actions& actions);

void OnForwardTimer(Blackboard& bb,
                    const std::string& id,
                    Now now,
                    Actions& actions);

// Handles a caller's lookup.
void OnLookup(Blackboard& bb,
              const LookupRequest& request,
              Now now,
              Actions& actions);

// Handles another VM's lookup.
void OnPeerLookup(Blackboard& bb,
                  const std::string& from,
                  const wire::Lookup& lookup,
                  Actions& actions);

void OnLookupReply(Blackboard& bb,
                   const std::string& from,
                   const wire::LookupReply& reply,
                   Actions& actions);

// Ends a lookup that not every VM answered.
void OnQueryTimer(Blackboard& bb, const std::string& key, Actions& actions);

// Handles a caller's cancellation of one submission or of many.
void OnCancel(Blackboard& bb,
              const CancelRequest& request,
              Now now,
              Actions& actions);

// Handles another VM's cancellation.
void OnPeerCancel(Blackboard& bb,
                  const wire::Cancel& cancel,
                  Now now,
                  Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_FORWARDING_H_
