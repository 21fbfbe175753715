#ifndef EDGE_CONSOLE_H_
#define EDGE_CONSOLE_H_

// The operators' console: server-rendered HTML forms without scripts.
//
// The form edits the whole configuration document. Each form field is named
// after its JSON path, so that a validation error can be shown next to the
// field that it belongs to. Every button posts the whole form; the returned
// page shows the document built from the form, validation errors beside the
// fields, and, after "Put into force", the result of submitting the document.

#include <string>
#include <variant>

#include "edge/http_message.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/event.h"

namespace goldcrest {

// Returns the page with the configuration in force in an editable form.
HttpReply ConsolePage(const Blackboard& bb, StepTime now);

// Handles a posted form. Returns either the page to show or, when the form
// submits a valid document, the event for the configuration change; `token`
// identifies the request in that event.
std::variant<HttpReply, Event> HandleConsoleForm(const HttpRequest& request,
                                                 ReplyToken token,
                                                 const Blackboard& bb);

// Returns the page for a submitted change: the form as posted, with a banner
// for `status` and `body`, the HTTP status and body of the change's reply.
HttpReply ConsoleResultPage(const std::string& form,
                            int status,
                            const std::string& body,
                            const Blackboard& bb);

// Returns the configuration document (JSON) that is built from a posted form.
// The document is not validated.
std::string DocumentOfForm(const std::string& form);

}  // namespace goldcrest

#endif  // EDGE_CONSOLE_H_
