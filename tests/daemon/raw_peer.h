#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lentilcross/peer_message.h"
#include "peer_transport.h"

namespace lentilcross::testing {

/// Websocket to a daemon's peer port that can send any frame.
class RawPeer {
 public:
  explicit RawPeer(const Endpoint& endpoint);

  void Send(const std::string& frame);
  /// Sends a Hello, waits for that of the daemon, and proves `key`.
  void Handshake(const std::string& key, const std::string& host);
  /// Runs until the daemon has sent this many messages or closed. False if it
  /// closed.
  bool WaitMessages(std::size_t count);
  void RunFor(std::chrono::milliseconds time);
  /// Runs until the daemon closes. False if it does not within the patience.
  bool WaitClosed();

  const std::vector<PeerMessage>& messages() const { return messages_; }

 private:
  template <typename Condition>
  bool RunUntil(Condition condition);

  boost::asio::io_context io_;
  std::unique_ptr<PeerTransport> transport_;
  SocketId socket_ = 0;
  bool open_ = false;
  bool closed_ = false;
  std::vector<PeerMessage> messages_;
};

}  // namespace lentilcross::testing
