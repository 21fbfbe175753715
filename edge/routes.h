#ifndef EDGE_ROUTES_H_
#define EDGE_ROUTES_H_

// Maps HTTP requests to events.
//
// A request either becomes one event, and a step of the decision code produces
// its reply, or is answered here immediately: reads of status, metrics and
// configuration, pages of the console, and malformed requests.

#include <functional>
#include <string>
#include <variant>

#include "edge/http_message.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/event.h"

namespace goldcrest {

using RouteResult = std::variant<HttpReply, Event>;

// Returns the reply to `request`, or the event that it becomes. `token`
// identifies the request in the event. `metrics_text` returns the page of
// metrics.
RouteResult Route(const HttpRequest& request,
                  ReplyToken token,
                  const Blackboard& bb,
                  const std::function<std::string()>& metrics_text,
                  StepTime now);

// Returns the reply that reports `error`, with the HTTP status of its code.
HttpReply ErrorReply(const FieldError& error);

}  // namespace goldcrest

#endif  // EDGE_ROUTES_H_
