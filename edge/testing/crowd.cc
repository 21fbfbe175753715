#include "edge/testing/crowd.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "edge/socket_io.h"

namespace goldcrest {
namespace {

constexpr size_t kBlockBytes = 64 * 1024;

// Returns whole repetitions of `part` of at least `bytes`.
std::string Repeat(const std::string& part, size_t bytes) {
  std::string text;
  while (!part.empty() && text.size() < bytes) {
    text += part;
  }
  return text;
}

}  // namespace

class Crowd::Client : public SocketHandler {
 public:
  Client(Crowd& crowd, const std::string& block)
      : crowd_(crowd), block_(block) {}
  ~Client() override { Close(); }

  // Opens a connection if there is none.
  void Open() {
    if (open_) {
      return;
    }
    socket_ = Poco::Net::StreamSocket();
    sent_ = 0;
    try {
      socket_.connectNB(Poco::Net::SocketAddress(crowd_.address_));
      socket_.setBlocking(false);
      socket_.setLinger(true, 0);  // leaves no port in TIME_WAIT
    } catch (const Poco::Exception&) {
      return;  // comes again in the next turn
    }
    open_ = true;
    ++crowd_.connections_opened_;
    crowd_.loop_.Add(socket_, this, true);
  }

  void OnWritable() override {
    size_t left = crowd_.script_.bytes_per_turn;
    while (open_ && left > 0 && SendPart(left)) {
    }
  }

  void OnReadable() override {
    if (!crowd_.script_.reads_replies) {
      // Reports the end of the connection only.
      if (socket_.impl()->socketError() != 0) {
        Close();
      }
      return;
    }
    char bytes[16 * 1024];
    try {
      if (socket_.receiveBytes(bytes, sizeof bytes) == 0) {
        Close();
      }
    } catch (const Poco::Exception&) {
      Close();
    }
  }

 private:
  size_t TotalBytes() const {
    return crowd_.script_.opening.size() + crowd_.script_.filler_bytes;
  }

  // Sends the next part of the script, at most `left` bytes, which it reduces.
  // Returns whether the client can go on.
  bool SendPart(size_t& left) {
    if (sent_ == TotalBytes()) {
      OnAllSent();  // a script without any bytes
      return false;
    }
    const std::string& opening = crowd_.script_.opening;
    const std::string& part = sent_ < opening.size() ? opening : block_;
    const size_t at = sent_ < opening.size()
                          ? sent_
                          : (sent_ - opening.size()) % block_.size();
    const size_t wanted =
        std::min({part.size() - at, left, TotalBytes() - sent_});
    size_t count = 0;
    try {
      count = SendSome(socket_, part.data() + at, wanted);
    } catch (const Poco::Exception&) {
      Close();
      return false;
    }
    sent_ += count;
    left -= count;
    crowd_.sent_bytes_ += count;
    if (sent_ == TotalBytes()) {
      OnAllSent();
      return false;
    }
    return count > 0;
  }

  void OnAllSent() {
    if (crowd_.script_.leaves_when_sent) {
      Close();
      return;
    }
    crowd_.loop_.Watch(socket_, crowd_.script_.reads_replies, false);
  }

  void Close() {
    if (open_) {
      open_ = false;
      crowd_.loop_.Remove(socket_);
      socket_.close();
    }
  }

  Crowd& crowd_;
  const std::string& block_;  // whole repetitions of the filler
  Poco::Net::StreamSocket socket_;
  bool open_ = false;
  size_t sent_ = 0;
};

Crowd::Crowd(SocketLoop& loop,
             std::string address,
             size_t clients,
             CrowdScript script)
    : loop_(loop), address_(std::move(address)), script_(std::move(script)) {
  block_ = Repeat(script_.filler, std::min(script_.filler_bytes, kBlockBytes));
  for (size_t i = 0; i < clients; ++i) {
    clients_.push_back(std::make_unique<Client>(*this, block_));
  }
}

Crowd::~Crowd() = default;

void Crowd::Advance() {
  for (const std::unique_ptr<Client>& client : clients_) {
    client->Open();
  }
}

}  // namespace goldcrest
