#include "daemon/raw_peer.h"

#include <chrono>
#include <utility>

#include "daemon/fakes.h"
#include "peer_handshake.h"

namespace lentilcross::testing {

RawPeer::RawPeer(const Endpoint& endpoint) {
  PeerTransport::Hooks hooks;
  hooks.may_accept = [] { return false; };
  hooks.on_open = [this](SocketId, bool) { open_ = true; };
  hooks.on_frame = [this](SocketId, std::string_view frame) {
    if (auto message = Decode(frame)) messages_.push_back(std::move(*message));
  };
  hooks.on_closed = [this](SocketId, PeerTransport::CloseKind) {
    closed_ = true;
  };
  transport_ = std::make_unique<PeerTransport>(io_, std::move(hooks));
  socket_ = transport_->Dial(endpoint);
  transport_->SetMaxFrame(socket_, LENTILCROSS_CONFIG_MAX_PEER_MESSAGE);
  RunUntil([this] { return open_; });
}

template <typename Condition>
bool RawPeer::RunUntil(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io_.restart();
    io_.run_one_until(end);
  }
  return condition();
}

void RawPeer::RunFor(std::chrono::milliseconds time) {
  io_.restart();
  io_.run_for(time);
}

void RawPeer::Send(const std::string& frame) {
  transport_->Send(socket_, frame);
}

void RawPeer::Handshake(const std::string& key, const std::string& host) {
  Hello hello;
  hello.host = HostId::FromName(host);
  hello.incarnation = Incarnation(7);
  hello.failure_domain = FailureDomainId::FromName("domain-1");
  hello.nonce.fill(1);
  Send(Encode(hello));
  if (!WaitMessages(1)) return;
  const auto& theirs = std::get<Hello>(messages_.front());
  Send(Encode(MakeProof(key, LinkRole::kDialler, hello, theirs)));
}

bool RawPeer::WaitMessages(std::size_t count) {
  RunUntil([&] { return closed_ || messages_.size() >= count; });
  return messages_.size() >= count;
}

bool RawPeer::WaitClosed() {
  return RunUntil([this] { return closed_; });
}

}  // namespace lentilcross::testing
