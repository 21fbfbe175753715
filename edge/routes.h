#ifndef EDGE_ROUTES_H_
#define EDGE_ROUTES_H_

// From HTTP requests to events.
//
// A request either becomes one event, whose reply follows from a step, or is
// answered here at once: reads of status, metrics and configuration, pages of
// the console, and everything malformed.

#include <variant>

#include "edge/http_message.h"
#include "edge/metrics.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/event.h"

namespace goldcrest {

using RouteResult = std::variant<HttpReply, Event>;

// Finds out what `request` asks for. `token` names it in an event.
RouteResult Route(const HttpRequest& request,
                  ReplyToken token,
                  const Blackboard& bb,
                  const Metrics& metrics,
                  Now now);

// Returns an error reply with the given code.
HttpReply ErrorReply(const FieldError& error);

}  // namespace goldcrest

#endif  // EDGE_ROUTES_H_
