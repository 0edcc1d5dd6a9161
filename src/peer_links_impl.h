#pragma once

// Links, dialling and heartbeats behind `PeerLinks`. Included by peer_links.cpp
// only.

#include <openssl/rand.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "duration_text.h"
#include "peer_handshake.h"
#include "peer_links.h"
#include "peer_transport.h"

namespace lentilcross {
namespace peer_links_detail {

inline constexpr Duration kTick = std::chrono::milliseconds(50);
inline constexpr Duration kSeedInterval = std::chrono::milliseconds(500);

struct Link {
  bool inbound = false;
  bool up = false;
  bool closing = false;
  HostId dialled;  ///< Host that the address belongs to; invalid for seeds.
  Hello own;
  std::optional<Hello> hello;
  PeerLinks::Peer peer;
  Instant opened{};
  Instant heard{};
  Instant pinged{};
  Instant confirmed{};
  Instant busy_since{};
  Instant used{};
  Instant asked{};  ///< When a request was sent that is answered at once.
  int outstanding = 0;
  std::uint32_t pings = 0;
  std::optional<Instant> silent_since;  ///< Kept for answers only.
};

struct Dial {
  SocketId socket = 0;
  Duration backoff{};
  Instant not_before{};
  bool redial = false;  ///< A link that was up broke.
  std::vector<PeerMessage> pending;
};

struct Seed {
  Endpoint endpoint;
  Instant not_before{};
};

}  // namespace peer_links_detail

struct PeerLinks::Impl : std::enable_shared_from_this<Impl> {
  using Link = peer_links_detail::Link;
  using Dial = peer_links_detail::Dial;
  using Seed = peer_links_detail::Seed;
  using steady_clock = std::chrono::steady_clock;
  static constexpr Duration kTick = peer_links_detail::kTick;
  static constexpr Duration kSeedInterval = peer_links_detail::kSeedInterval;

  Impl(boost::asio::io_context& io, Init link_init, Hooks link_hooks)
      : init(std::move(link_init)),
        hooks(std::move(link_hooks)),
        timer(io),
        random(init.seed),
        transport(io, MakeTransportHooks()) {}

  PeerTransport::Hooks MakeTransportHooks() {
    PeerTransport::Hooks result;
    result.may_accept = [this] { return Unproved() < init.max_unproved; };
    result.on_open = [this](SocketId id, bool inbound) { OnOpen(id, inbound); };
    result.on_frame = [this](SocketId id, std::string_view frame) {
      OnFrame(id, frame);
    };
    result.on_closed = [this](SocketId id, PeerTransport::CloseKind kind) {
      OnClosed(id, kind);
    };
    return result;
  }

  std::size_t Unproved() const {
    return static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(),
                      [](const auto& entry) { return !entry.second.up; }));
  }

  void Log(LogLevel level, const std::string& event, const LogFields& fields) {
    if (hooks.log) hooks.log(level, event, fields);
  }

  // ----- Handshake

  Hello MakeHello() const {
    Hello hello;
    hello.host = init.self;
    hello.incarnation = init.incarnation;
    hello.failure_domain = init.failure_domain;
    hello.version = hooks.version();
    RAND_bytes(hello.nonce.data(), static_cast<int>(hello.nonce.size()));
    return hello;
  }

  void OnOpen(SocketId id, bool inbound) {
    Link& link = links[id];
    link.inbound = inbound;
    link.opened = steady_clock::now();
    link.heard = link.opened;
    link.own = MakeHello();
    if (inbound) ++stats.accepted;
    SendRaw(id, link.own);
  }

  void OnHello(SocketId id, Link& link, const Hello& hello) {
    const bool wrong_host = link.dialled.valid() && hello.host != link.dialled;
    if (link.hello || hello.host == init.self || wrong_host) {
      ++stats.refused_proof;
      Log(LogLevel::kWarn, "peer-refused", {{"cause", "unexpected identity"}});
      Drop(id, DownKind::kBroken);
      return;
    }
    link.hello = hello;
    const auto role = link.inbound ? LinkRole::kAcceptor : LinkRole::kDialler;
    SendRaw(id, MakeProof(init.keys.front(), role, link.own, hello));
  }

  void OnProof(SocketId id, Link& link, const Proof& proof) {
    const auto role = link.inbound ? LinkRole::kDialler : LinkRole::kAcceptor;
    if (!link.hello ||
        !VerifyProof(init.keys, role, *link.hello, link.own, proof)) {
      ++stats.refused_proof;
      Log(LogLevel::kWarn, "peer-refused", {{"cause", "wrong proof"}});
      Drop(id, DownKind::kBroken);
      return;
    }
    const Hello hello = *link.hello;
    link.up = true;
    link.used = steady_clock::now();
    // The proof covers the nonce that was sent after `opened`.
    link.confirmed = link.opened;
    link.peer = {id, hello.host, hello.incarnation, hello.failure_domain};
    transport.SetMaxFrame(id, LENTILCROSS_CONFIG_MAX_PEER_MESSAGE);
    ++stats.authenticated;
    by_host[hello.host].push_back(id);
    const Peer peer = link.peer;
    if (!hooks.on_up(peer)) {
      Drop(id, DownKind::kClosed);
      return;
    }
    FlushPending(hello.host, id);
  }

  void FlushPending(HostId host, SocketId id) {
    const auto it = dials.find(host);
    if (it == dials.end()) return;
    std::vector<PeerMessage> pending = std::move(it->second.pending);
    if (it->second.socket == id) it->second.socket = 0;
    it->second.pending.clear();
    it->second.backoff = {};
    it->second.redial = false;
    for (const PeerMessage& message : pending) SendUp(id, message);
  }

  // ----- Messages

  bool SendRaw(SocketId id, const PeerMessage& message) {
    const std::string bytes = Encode(message);
    const bool fits = bytes.size() <= LENTILCROSS_CONFIG_MAX_PEER_MESSAGE;
    if (!fits || !transport.Send(id, bytes)) {
      ++stats.queue_full;
      return false;
    }
    ++stats.messages_sent;
    stats.bytes_sent[message.index()] += bytes.size();
    return true;
  }

  bool SendUp(SocketId id, const PeerMessage& message) {
    const auto it = links.find(id);
    if (it == links.end() || !it->second.up || it->second.closing) return false;
    Link& link = it->second;
    const Instant now = steady_clock::now();
    link.used = now;
    // Callers wait for tokens, so the link has to answer as quickly as for a
    // call.
    if (std::holds_alternative<LoanRequest>(message) && !IsAsked(link)) {
      link.asked = now;
    }
    return SendRaw(id, message);
  }

  /// Nothing was heard since a request that is answered at once.
  static bool IsAsked(const Link& link) { return link.asked > link.heard; }

  static Instant BusySince(const Link& link) {
    if (!IsAsked(link)) return link.busy_since;
    if (link.outstanding == 0) return link.asked;
    return std::min(link.asked, link.busy_since);
  }

  void OnFrame(SocketId id, std::string_view frame) {
    const auto it = links.find(id);
    if (it == links.end()) return;
    it->second.heard = steady_clock::now();
    auto decoded = Decode(frame);
    if (!decoded) {
      ++stats.refused_messages;
      Log(LogLevel::kWarn, "peer-message-refused",
          {{"bytes", std::to_string(frame.size())}});
      if (!it->second.up) Drop(id, DownKind::kBroken);
      return;
    }
    ++stats.messages_received;
    if (it->second.up) {
      OnMessage(id, it->second, std::move(*decoded));
    } else {
      OnHandshakeMessage(id, it->second, *decoded);
    }
  }

  void OnHandshakeMessage(SocketId id, Link& link, const PeerMessage& message) {
    if (const auto* hello = std::get_if<Hello>(&message)) {
      OnHello(id, link, *hello);
    } else if (const auto* proof = std::get_if<Proof>(&message)) {
      OnProof(id, link, *proof);
    } else {
      ++stats.refused_proof;
      Log(LogLevel::kWarn, "peer-refused", {{"cause", "message before proof"}});
      Drop(id, DownKind::kBroken);
    }
  }

  void OnMessage(SocketId id, Link& link, PeerMessage message) {
    if (const auto* ping = std::get_if<Ping>(&message)) {
      SendRaw(id, Pong{ping->number});
      return;
    }
    if (const auto* pong = std::get_if<Pong>(&message)) {
      if (pong->number == link.pings) link.confirmed = link.pinged;
      return;
    }
    if (std::holds_alternative<Hello>(message) ||
        std::holds_alternative<Proof>(message)) {
      ++stats.refused_messages;
      return;
    }
    link.used = link.heard;
    const Peer peer = link.peer;
    hooks.on_message(peer, std::move(message));
  }

  // ----- Ends

  void OnClosed(SocketId id, PeerTransport::CloseKind kind) {
    if (kind == PeerTransport::CloseKind::kProtocol) ++stats.refused_messages;
    Forget(id, kind == PeerTransport::CloseKind::kClean ? DownKind::kClosed
                                                        : DownKind::kBroken);
  }

  void Drop(SocketId id, DownKind kind) {
    transport.Kill(id);
    Forget(id, kind);
  }

  void Forget(SocketId id, DownKind kind) {
    const auto it = links.find(id);
    if (it == links.end()) return;
    const Link link = it->second;
    links.erase(it);
    ++stats.closed;
    if (link.up) {
      RemoveFromHost(link.peer.host, id);
      if (kind != DownKind::kClosed) ScheduleRedial(link.peer.host);
      hooks.on_down(link.peer, kind);
    } else if (link.dialled.valid()) {
      DialFailed(link.dialled, id);
    }
  }

  // ----- Dialling

  LinkId FindUsable(HostId host) const {
    const auto it = by_host.find(host);
    if (it == by_host.end()) return 0;
    // The newest link: an older one may be the remains of an earlier process.
    for (auto id = it->second.rbegin(); id != it->second.rend(); ++id) {
      if (!links.at(*id).closing) return *id;
    }
    return 0;
  }

  bool Connect(HostId host) {
    if (FindUsable(host) != 0) return true;
    if (addresses.count(host) == 0) return false;
    Dial& dial = dials[host];
    if (dial.socket != 0) return true;
    if (steady_clock::now() < dial.not_before) return false;
    return StartDial(host, dial);
  }

  bool StartDial(HostId host, Dial& dial) {
    const SocketId id = transport.Dial(addresses.at(host));
    if (id == 0) return false;
    dial.socket = id;
    Link& link = links[id];
    link.dialled = host;
    link.opened = steady_clock::now();
    ++stats.dialled;
    return true;
  }

  void DialFailed(HostId host, SocketId id) {
    Dial& dial = dials[host];
    if (dial.socket != id) return;
    dial.socket = 0;
    dial.pending.clear();
    dial.backoff =
        std::clamp(dial.backoff * 2, init.backoff_min, init.backoff_max);
    // Half to the whole of the backoff, so that daemons do not dial in step.
    const auto half = dial.backoff / 2;
    dial.not_before =
        steady_clock::now() + half +
        Duration(static_cast<std::int64_t>(
            random() % static_cast<std::uint64_t>(half.count() + 1)));
    hooks.on_unreachable(host);
  }

  void ScheduleRedial(HostId host) {
    if (addresses.count(host) == 0 || stopping) return;
    dials[host].redial = true;
  }

  void Redial(Instant now) {
    if (stopping) return;
    for (auto& [host, dial] : dials) {
      const bool due = dial.redial && dial.socket == 0 && now > dial.not_before;
      if (due && by_host.count(host) == 0 && addresses.count(host) != 0) {
        StartDial(host, dial);
      }
    }
    if (!by_host.empty()) return;
    for (Seed& seed : seeds) {
      if (now < seed.not_before) continue;
      seed.not_before = now + kSeedInterval;
      DialSeed(seed.endpoint);
    }
  }

  void DialSeed(const Endpoint& endpoint) {
    const SocketId id = transport.Dial(endpoint);
    if (id == 0) return;
    links[id].opened = steady_clock::now();
    ++stats.dialled;
  }

  // ----- Heartbeats

  void StartTimer() {
    timer.expires_after(kTick);
    timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      auto self = weak.lock();
      if (ec || !self) return;
      self->StartTimer();
      self->OnTick();
    });
  }

  void OnTick() {
    const Instant now = steady_clock::now();
    // After a pause of this process, old times say nothing about the peers.
    const bool paused = now - last_tick > kTick + init.dead_busy / 2;
    last_tick = now;
    std::vector<SocketId> ids;
    ids.reserve(links.size());
    for (auto& [id, link] : links) {
      if (paused) link.heard = now;
      ids.push_back(id);
    }
    has_near_link =
        std::any_of(links.begin(), links.end(), [this](const auto& entry) {
          return entry.second.up && IsNear(entry.second.peer);
        });
    for (const SocketId id : ids) Check(id, now);
    Redial(now);
  }

  void Check(SocketId id, Instant now) {
    const auto it = links.find(id);
    if (it == links.end()) return;
    Link& link = it->second;
    if (!link.up) {
      if (now - link.opened > init.handshake) Drop(id, DownKind::kBroken);
      return;
    }
    if (link.silent_since) return CheckSilent(id, link, now);
    const bool busy = link.outstanding > 0 || IsAsked(link);
    if (IsSilent(id, link, busy, now)) return OnSilent(id, link, busy, now);
    if (IsPingDue(link, busy, now)) SendPing(id, link, now);
    const bool unused = !busy && now - link.used > init.close_unused_after;
    if (unused && !link.inbound && !link.closing) {
      link.closing = true;
      transport.Close(id);
    }
  }

  /// The peer may only be slow. Calls that can be repeated leave the link; for
  /// the others it is kept, as nothing else can bring their answers.
  void OnSilent(SocketId id, Link& link, bool busy, Instant now) {
    ++stats.silent;
    Log(LogLevel::kWarn, "peer-link-silent",
        {{"peer", std::to_string(link.peer.host.value())},
         {"busy", busy ? "yes" : "no"},
         {"heard_ms", MillisecondsText(now - link.heard)}});
    link.silent_since = now;
    const Peer peer = link.peer;
    RemoveFromHost(peer.host, id);
    ScheduleRedial(peer.host);
    if (hooks.on_silent) hooks.on_silent(peer);
    // The hook may have ended the link.
    const auto it = links.find(id);
    if (it != links.end() && it->second.outstanding == 0) {
      Drop(id, DownKind::kSilent);
    }
  }

  // The link is not dropped as soon as nothing is outstanding on it: a reply of
  // this side may still be on its way.
  void CheckSilent(SocketId id, Link& link, Instant now) {
    const Instant last_sign = std::max(link.heard, *link.silent_since);
    if (now - last_sign > init.silent_grace) {
      Drop(id, DownKind::kSilent);
      return;
    }
    const bool is_back = link.heard > *link.silent_since;
    if (is_back && link.outstanding == 0 && !link.closing) {
      link.closing = true;
      transport.Close(id);
    }
  }

  void RemoveFromHost(HostId host, SocketId id) {
    const auto it = by_host.find(host);
    if (it == by_host.end()) return;
    auto& ids = it->second;
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
    if (ids.empty()) by_host.erase(it);
  }

  bool IsSilent(SocketId id, const Link& link, bool busy, Instant now) const {
    if (!busy) return now - link.heard > init.dead_idle;
    const Duration silence = now - std::max(link.heard, BusySince(link));
    if (silence <= init.dead_busy) return false;
    // Bytes of a message that is not complete yet count for a while only: not
    // every system tells when the last one came, and it may never be complete.
    return silence > init.longest_message ||
           transport.SinceLastByte(id) > init.dead_busy;
  }

  bool IsNear(const Peer& peer) const {
    return peer.failure_domain == init.failure_domain;
  }

  /// Any message tells as much as an answer to a ping, but for two things: when
  /// the peer was last in contact, and whether this side is heard, too. Contact
  /// comes from links within the failure domain, or from all if there is none.
  bool IsPingDue(const Link& link, bool busy, Instant now) const {
    const bool gives_contact = IsNear(link.peer) || !has_near_link;
    if ((gives_contact || busy) && now - link.pinged >= init.contact_interval) {
      return true;
    }
    const Duration silence = busy ? init.heartbeat_busy : init.heartbeat_idle;
    return now - std::max(link.pinged, link.heard) >= silence;
  }

  void SendPing(SocketId id, Link& link, Instant now) {
    link.pinged = now;
    SendRaw(id, Ping{++link.pings});
  }

  Init init;
  Hooks hooks;
  boost::asio::steady_timer timer;
  Random random;
  std::unordered_map<SocketId, Link> links;
  std::unordered_map<HostId, std::vector<SocketId>> by_host;
  std::unordered_map<HostId, Dial> dials;
  std::unordered_map<HostId, Endpoint> addresses;
  std::vector<Seed> seeds;
  Instant last_tick = steady_clock::now();
  PeerLinkStats stats;
  bool stopping = false;
  /// A link within the failure domain is up, as of `last_tick`.
  bool has_near_link = false;
  PeerTransport transport;
};

}  // namespace lentilcross
