// TCP relay that can turn connections silent, cut them or delay them, per
// direction. Control: POST /behaviour {"scope": "open"|"new"|"all", "from": ID,
// "forward": {"mode": "pass"|"silent"|"cut", "delay_ms": N}, "backward":
// {...}}. "forward" is from the side that connects to the side that listens.
// "from" limits the change to peer links that the host with this identifier
// dialled. A connection that lost bytes is closed when it should pass again,
// because the stream cannot be continued.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "peer_hello.h"
#include "standin.h"
#include "tcp_endpoint.h"

namespace lentilcross::standin {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

enum class Mode { kPass, kSilent, kCut };

struct Behaviour {
  Mode mode = Mode::kPass;
  std::chrono::milliseconds delay{0};

  void Change(const nlohmann::json& change) {
    const std::string name = change.value("mode", "");
    if (name == "pass") mode = Mode::kPass;
    if (name == "silent") mode = Mode::kSilent;
    if (name == "cut") mode = Mode::kCut;
    delay = std::chrono::milliseconds(
        change.value("delay_ms", static_cast<int>(delay.count())));
  }
};

struct Directions {
  Behaviour forward;
  Behaviour backward;

  void Change(const nlohmann::json& change) {
    if (change.contains("forward")) forward.Change(change["forward"]);
    if (change.contains("backward")) backward.Change(change["backward"]);
  }
};

struct Counters {
  std::uint64_t connections = 0;
  std::uint64_t open = 0;
  std::uint64_t forward_bytes = 0;
  std::uint64_t backward_bytes = 0;
  std::uint64_t swallowed_bytes = 0;
};

// Behaviour of new connections that the host dialled.
using DirectionsOf = std::function<Directions(std::uint64_t)>;

class Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(Tcp::socket in, Directions directions, DirectionsOf directions_of,
       std::shared_ptr<Counters> counters)
      : directions_(directions),
        directions_of_(std::move(directions_of)),
        counters_(std::move(counters)),
        in_(std::move(in)),
        out_(in_.get_executor()),
        forward_timer_(in_.get_executor()),
        backward_timer_(in_.get_executor()) {
    ++counters_->connections;
    ++counters_->open;
  }
  ~Pair() { --counters_->open; }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  void Start(const Tcp::endpoint& to) {
    out_.async_connect(to, [self = shared_from_this()](auto code) {
      if (code) return self->Close();
      boost::system::error_code ignored;
      self->in_.set_option(Tcp::no_delay(true), ignored);
      self->out_.set_option(Tcp::no_delay(true), ignored);
      self->Copy(true);
      self->Copy(false);
    });
  }

  std::uint64_t source() const { return hello_.host(); }

  void Change(const nlohmann::json& change) {
    directions_.Change(change);
    const auto passes = [](const Behaviour& behaviour) {
      return behaviour.mode == Mode::kPass;
    };
    if (lost_ && passes(directions_.forward) && passes(directions_.backward)) {
      return Close();
    }
    CloseIfCut();
  }

 private:
  void CloseIfCut() {
    if (directions_.forward.mode == Mode::kCut ||
        directions_.backward.mode == Mode::kCut) {
      Close();
    }
  }

  void Identify(std::size_t size) {
    if (hello_.Add({forward_buffer_.data(), size})) {
      directions_ = directions_of_(hello_.host());
      CloseIfCut();
    }
    if (hello_.done()) ReleaseFrames();
  }

  // The accepting side of a peer link sends its first frames before the Hello
  // of the dialling side arrives. They are held back until it is known whether
  // they may pass; otherwise a Hello would cross a cut. Returns how many of the
  // bytes, which follow the upgrade response, may pass now.
  std::size_t HoldFrames(std::size_t size) {
    if (hello_.done()) return size;
    const std::string_view bytes(backward_buffer_.data(), size);
    if (!upgraded_) {
      const std::size_t head = bytes.find("\r\n\r\n");
      constexpr std::string_view kUpgrade = "HTTP/1.1 101";
      const bool upgrade = bytes.substr(0, kUpgrade.size()) == kUpgrade;
      if (!upgrade || head == std::string_view::npos) return size;
      upgraded_ = true;
      size = head + 4;
      held_.append(bytes.substr(size));
      return size;
    }
    held_.append(bytes);
    return 0;
  }

  void ReleaseFrames() {
    if (held_.empty()) return;
    if (directions_.backward.mode == Mode::kSilent) {
      counters_->swallowed_bytes += held_.size();
      lost_ = true;
    } else {
      counters_->backward_bytes += held_.size();
      boost::system::error_code ignored;
      asio::write(in_, asio::buffer(held_), ignored);
    }
    held_.clear();
  }

  void Copy(bool forward) {
    auto& from = forward ? in_ : out_;
    auto& buffer = forward ? forward_buffer_ : backward_buffer_;
    from.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this(), forward](auto code, std::size_t size) {
          if (code) return self->OnEnd(forward);
          if (forward) self->Identify(size);
          const std::size_t passing = forward ? size : self->HoldFrames(size);
          if (passing == 0) return self->Copy(forward);
          self->Delay(forward, passing);
        });
  }

  void Delay(bool forward, std::size_t size) {
    const Behaviour& behaviour =
        forward ? directions_.forward : directions_.backward;
    if (behaviour.mode == Mode::kSilent) {
      counters_->swallowed_bytes += size;
      lost_ = true;
      return Copy(forward);
    }
    if (behaviour.delay.count() == 0) return Write(forward, size);
    auto& timer = forward ? forward_timer_ : backward_timer_;
    timer.expires_after(behaviour.delay);
    timer.async_wait([self = shared_from_this(), forward, size](auto code) {
      if (!code) self->Write(forward, size);
    });
  }

  void Write(bool forward, std::size_t size) {
    auto& to = forward ? out_ : in_;
    auto& buffer = forward ? forward_buffer_ : backward_buffer_;
    (forward ? counters_->forward_bytes : counters_->backward_bytes) += size;
    asio::async_write(
        to, asio::buffer(buffer.data(), size),
        [self = shared_from_this(), forward](auto code, std::size_t) {
          if (code) return self->Close();
          self->Copy(forward);
        });
  }

  // On a silent path nothing tells one end that the other has closed.
  void OnEnd(bool forward) {
    const Behaviour& behaviour =
        forward ? directions_.forward : directions_.backward;
    if (behaviour.mode != Mode::kSilent) return Close();
    lost_ = true;
    boost::system::error_code ignored;
    (forward ? in_ : out_).close(ignored);
  }

  void Close() {
    boost::system::error_code ignored;
    in_.close(ignored);
    out_.close(ignored);
    forward_timer_.cancel();
    backward_timer_.cancel();
  }

  Directions directions_;
  DirectionsOf directions_of_;
  PeerHello hello_;
  bool lost_ = false;
  bool upgraded_ = false;
  std::string held_;  ///< Frames of the accepting side.
  std::shared_ptr<Counters> counters_;
  Tcp::socket in_;
  Tcp::socket out_;
  asio::steady_timer forward_timer_;
  asio::steady_timer backward_timer_;
  std::array<char, 16384> forward_buffer_{};
  std::array<char, 16384> backward_buffer_{};
};

class Relay {
 public:
  Relay(asio::io_context& context, const Tcp::endpoint& listen,
        Tcp::endpoint to)
      : acceptor_(context, listen), to_(std::move(to)) {
    Accept();
  }

  void Change(const nlohmann::json& change) {
    const std::string scope = change.value("scope", "all");
    const std::uint64_t from = change.value("from", std::uint64_t{0});
    if (scope != "open") ChangeNew(from, change);
    if (scope == "new") return;
    for (const auto& weak : pairs_) {
      const auto pair = weak.lock();
      if (!pair || (from != 0 && pair->source() != from)) continue;
      pair->Change(change);
    }
  }

  nlohmann::json ReadCounters() const {
    return {{"connections", counters_->connections},
            {"open", counters_->open},
            {"forward_bytes", counters_->forward_bytes},
            {"backward_bytes", counters_->backward_bytes},
            {"swallowed_bytes", counters_->swallowed_bytes}};
  }

 private:
  void ChangeNew(std::uint64_t from, const nlohmann::json& change) {
    if (from != 0) {
      for_new_from_.try_emplace(from, for_new_).first->second.Change(change);
      return;
    }
    for_new_.Change(change);
    for (auto& [host, directions] : for_new_from_) directions.Change(change);
  }

  Directions ForNew(std::uint64_t from) const {
    const auto it = for_new_from_.find(from);
    return it == for_new_from_.end() ? for_new_ : it->second;
  }

  void Accept() {
    acceptor_.async_accept([this](auto code, Tcp::socket socket) {
      if (!code) Add(std::move(socket));
      Accept();
    });
  }

  void Add(Tcp::socket socket) {
    if (for_new_.forward.mode == Mode::kCut ||
        for_new_.backward.mode == Mode::kCut) {
      return;
    }
    pairs_.remove_if([](const auto& weak) { return weak.expired(); });
    const auto pair = std::make_shared<Pair>(
        std::move(socket), for_new_,
        [this](std::uint64_t from) { return ForNew(from); }, counters_);
    pairs_.push_back(pair);
    pair->Start(to_);
  }

  std::shared_ptr<Counters> counters_ = std::make_shared<Counters>();
  Directions for_new_;
  std::map<std::uint64_t, Directions> for_new_from_;
  std::list<std::weak_ptr<Pair>> pairs_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint to_;
};

}  // namespace
}  // namespace lentilcross::standin

int main(int argc, char** argv) {
  using namespace lentilcross::standin;  // NOLINT(google-build-using-namespace)
  const Options options(
      argc, argv,
      "standin_relay --listen IP:PORT --to IP:PORT --control IP:PORT");
  const auto listen =
      lentilcross::web::ParseTcpEndpoint(options.required("listen"));
  const auto to = lentilcross::web::ParseTcpEndpoint(options.required("to"));
  if (!listen || !to) {
    std::cerr << "--listen and --to need ip:port\n";
    return 2;
  }
  boost::asio::io_context context;
  Relay relay(context, *listen, *to);
  const auto control =
      ListenControl(context, options.required("control"),
                    {[&relay] { return relay.ReadCounters(); },
                     [&relay](const auto& change) { relay.Change(change); },
                     {}});
  RunUntilSignal(context);
}
