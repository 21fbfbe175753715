#ifndef EDGE_CONSOLE_H_
#define EDGE_CONSOLE_H_

// The operators' console: plain server-rendered forms, without scripts.
//
// A form edits the whole configuration document. Each of its fields is named
// by its JSON path, so a validation error finds the field that it belongs to.
// Every button sends the whole form back; the page it returns shows the
// document that the form means, its errors beside the fields, and, after
// "Put into force", the result of submitting it.

#include <string>
#include <variant>

#include "edge/http_message.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/event.h"

namespace goldcrest {

// The page that shows what is in force, ready to be edited.
HttpReply ConsolePage(const Blackboard& bb, Now now);

// Handles a form: a page, or the change that it submits.
std::variant<HttpReply, Event> ConsoleSubmit(const HttpRequest& request,
                                             ReplyToken token,
                                             const Blackboard& bb);

// The page that follows a submitted change: its form again, with `status` and
// `body` of the change's reply.
HttpReply ConsoleResult(const std::string& form,
                        int status,
                        const std::string& body,
                        const Blackboard& bb);

// Returns the JSON document that a form means, valid or not.
std::string DocumentOfForm(const std::string& form);

}  // namespace goldcrest

#endif  // EDGE_CONSOLE_H_
