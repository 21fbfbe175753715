#include "edge/pool_protocol.h"

#include "edge/logging.h"

namespace goldcrest {
namespace {

constexpr int kBadRequest = 400;

}  // namespace

HttpReply RejectUndecodableRequest(const std::string& path,
                                   const std::exception& error) {
  WriteLog({LogLevel::kError,
            "request_not_decoded",
            {{"path", path.substr(0, kMaxLoggedPathBytes)},
             {"error", error.what()}}});
  HttpReply reply;
  reply.status = kBadRequest;
  reply.body = "{}";
  return reply;
}

}  // namespace goldcrest
