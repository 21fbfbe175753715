#include "edge/socket_io.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <Poco/Exception.h>

namespace goldcrest {

size_t SendSome(Poco::Net::StreamSocket& socket,
                const char* bytes,
                size_t count) {
  const int max_bytes = static_cast<int>(std::min<size_t>(count, INT_MAX));
  try {
    return static_cast<size_t>(std::max(socket.sendBytes(bytes, max_bytes), 0));
  } catch (const Poco::Exception& error) {
    if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) {
      return 0;
    }
    throw;
  }
}

}  // namespace goldcrest
