#include "daemon/relay.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <utility>

namespace lentilcross::testing {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct Relay::Pair {
  explicit Pair(tcp::socket accepted, boost::asio::io_context& io)
      : from(std::move(accepted)), to(io), timer(io) {}

  tcp::socket from;
  tcp::socket to;
  boost::asio::steady_timer timer;
  std::array<std::array<char, 16384>, 2> buffers{};
  bool silent = false;
  bool held = false;
  std::array<std::size_t, 2> held_sizes{};  ///< In `buffers`.
};

Relay::Relay(const Endpoint& to)
    : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      to_(boost::asio::ip::make_address(to.ip), to.port),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

Relay::~Relay() {
  io_.stop();
  thread_.join();
}

void Relay::ForEachPair(
    const std::function<void(const std::shared_ptr<Pair>&)>& action) {
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    for (const auto& pair : pairs_) action(pair);
    done.set_value();
  });
  done.get_future().wait();
}

void Relay::Silence() {
  ForEachPair([](const auto& pair) { pair->silent = true; });
}

void Relay::Hold() {
  ForEachPair([](const auto& pair) { pair->held = true; });
}

void Relay::Release() {
  ForEachPair([this](const auto& pair) {
    if (!pair->held) return;
    pair->held = false;
    for (const bool back : {false, true}) {
      const std::size_t size =
          std::exchange(pair->held_sizes[back ? 1 : 0], std::size_t{0});
      if (size > 0) Deliver(pair, back, size);
    }
  });
}

void Relay::Dribble() {
  // Headers of websocket frames of 983,040 bytes, to a client and to a server.
  static const std::string to_client("\x82\x7f\0\0\0\0\0\x0f\0\0", 10);
  static const std::string to_server("\x82\xff\0\0\0\0\0\x0f\0\0mask", 14);
  Silence();
  boost::asio::post(io_, [this] {
    for (const auto& pair : pairs_) {
      error_code ignored;
      boost::asio::write(pair->from, boost::asio::buffer(to_client), ignored);
      boost::asio::write(pair->to, boost::asio::buffer(to_server), ignored);
      DribbleOn(pair);
    }
  });
}

void Relay::DribbleOn(const std::shared_ptr<Pair>& pair) {
  pair->timer.expires_after(std::chrono::milliseconds(50));
  pair->timer.async_wait([this, pair](error_code error) {
    if (error) return;
    static const std::array<char, 1> byte{};
    error_code failed;
    for (tcp::socket* socket : {&pair->from, &pair->to}) {
      boost::asio::write(*socket, boost::asio::buffer(byte), failed);
    }
    DribbleOn(pair);
  });
}

void Relay::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    ++accepted_;
    auto pair = std::make_shared<Pair>(std::move(socket), io_);
    error_code failed;
    pair->to.connect(to_, failed);
    if (!failed) {
      // Without this a small message waits up to 40 ms for the acknowledgement
      // of the one before.
      pair->from.set_option(tcp::no_delay(true), failed);
      pair->to.set_option(tcp::no_delay(true), failed);
      pairs_.push_back(pair);
      Forward(pair, false);
      Forward(pair, true);
    }
    Accept();
  });
}

void Relay::Forward(const std::shared_ptr<Pair>& pair, bool back) {
  tcp::socket& source = back ? pair->to : pair->from;
  source.async_read_some(
      boost::asio::buffer(pair->buffers[back ? 1 : 0]),
      [this, pair, back](error_code error, std::size_t size) {
        if (pair->silent) return;
        if (error) {
          error_code ignored;
          pair->from.close(ignored);
          pair->to.close(ignored);
          return;
        }
        if (pair->held) {
          pair->held_sizes[back ? 1 : 0] = size;
          return;
        }
        Deliver(pair, back, size);
      });
}

void Relay::Deliver(const std::shared_ptr<Pair>& pair, bool back,
                    std::size_t size) {
  tcp::socket& sink = back ? pair->from : pair->to;
  error_code failed;
  boost::asio::write(
      sink, boost::asio::buffer(pair->buffers[back ? 1 : 0], size), failed);
  if (!failed) Forward(pair, back);
}

}  // namespace lentilcross::testing
