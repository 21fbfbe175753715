#ifndef EDGE_HELD_REQUESTS_H_
#define EDGE_HELD_REQUESTS_H_

// The requests that an entry daemon holds while it cannot serve them
// (pool/entry/request_hold.h), in the order of their arrival.

#include <cstddef>
#include <deque>
#include <functional>

#include "edge/http_message.h"
#include "edge/http_server.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

struct HeldRequest {
  RequestToken token = 0;
  HttpRequest request;
  Micros received_at = 0;
};

class HeldRequests {
 public:
  // Returns false if the limit on the number or the size of all held requests
  // is reached; the request is not held then.
  bool Add(HeldRequest held);

  // Removes the request, if it is held: its caller has disconnected. Returns
  // whether it was.
  bool Remove(RequestToken token);

  // Removes all requests for which `keep` returns false, and passes them to
  // `release` in the order of their arrival. `release` may add requests.
  void Release(const std::function<bool(const HeldRequest&)>& keep,
               const std::function<void(const HeldRequest&)>& release);

  size_t size() const { return held_.size(); }

 private:
  std::deque<HeldRequest> held_;
  size_t bytes_ = 0;  // of all requests, with their headers
};

}  // namespace goldcrest

#endif  // EDGE_HELD_REQUESTS_H_
