#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "daemon_init.h"

namespace lentilcross::testing {

/// TCP relay in front of one address. Its connections can go silent: they stay
/// open and carry no byte any more, while new ones work.
class Relay {
 public:
  explicit Relay(const Endpoint& to);
  ~Relay();

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  /// Silences all connections that are open now.
  void Silence();
  /// Holds back what comes on all connections that are open now.
  void Hold();
  /// Delivers what was held back and goes on.
  void Release();
  /// As `Silence`, but bytes of a message that is never complete keep coming.
  void Dribble();
  /// Connections accepted so far.
  int accepted() const { return accepted_; }

 private:
  struct Pair;
  void Accept();
  void DribbleOn(const std::shared_ptr<Pair>& pair);
  void Forward(const std::shared_ptr<Pair>& pair, bool back);
  void Deliver(const std::shared_ptr<Pair>& pair, bool back, std::size_t size);
  /// Runs `action` for each pair on the thread of the relay.
  void ForEachPair(
      const std::function<void(const std::shared_ptr<Pair>&)>& action);

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint to_;
  std::uint16_t port_ = 0;
  std::atomic<int> accepted_{0};
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::thread thread_;
};

}  // namespace lentilcross::testing
