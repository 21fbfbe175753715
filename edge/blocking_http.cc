#include "edge/blocking_http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace goldcrest {

tl::expected<BlockingResponse, std::string> SendBlockingRequest(
    const BlockingRequest& options) {
  try {
    const Poco::Net::SocketAddress address(options.server);
    Poco::Net::HTTPClientSession session(address);
    session.setTimeout(
        Poco::Timespan(static_cast<Poco::Int64>(options.timeout_ms) * 1000));
    Poco::Net::HTTPRequest request(options.method, options.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(options.body.size()));
    if (!options.if_match.empty()) {
      request.set("If-Match", options.if_match);
    }
    session.sendRequest(request) << options.body;
    Poco::Net::HTTPResponse response;
    BlockingResponse result;
    Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                     result.body);
    result.status = static_cast<int>(response.getStatus());
    return result;
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("no response from " + options.server + ": " +
                               error.displayText());
  }
}

}  // namespace goldcrest
