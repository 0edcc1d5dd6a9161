#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "call_links.h"
#include "daemon_init.h"
#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Authenticated links to other daemons. Links are opened when needed, by
/// either side. All calls and hooks run on the thread `data`.
class PeerLinks : public CallLinks {
 public:
  struct Init {
    HostId self;
    Incarnation incarnation;
    FailureDomainId failure_domain;
    std::vector<std::string> keys;
    /// Silence after which a link is pinged, with and without requests
    /// outstanding.
    Duration heartbeat_busy = std::chrono::milliseconds(100);
    Duration heartbeat_idle = std::chrono::seconds(2);
    /// Longest time between two pings of links whose answers count as contact:
    /// those within the own failure domain, or all if none of those is up, and
    /// those that are busy.
    Duration contact_interval = std::chrono::seconds(1);
    Duration dead_busy = std::chrono::milliseconds(300);
    /// Time in which the largest message arrives on a busy link.
    Duration longest_message = std::chrono::seconds(1);
    /// A ping after `heartbeat_idle`, and time for its answer. What is pushed
    /// on a silent link is lost, so that it has to be replaced before a version
    /// would be late.
    Duration dead_idle = std::chrono::milliseconds(2700);
    /// Time in which a link that went silent may still bring the answers to
    /// calls that cannot be sent again. It takes no new calls.
    Duration silent_grace = std::chrono::seconds(2);
    Duration handshake = std::chrono::seconds(1);
    Duration backoff_min = std::chrono::milliseconds(50);
    Duration backoff_max = std::chrono::seconds(2);
    Duration close_unused_after = std::chrono::seconds(60);
    std::size_t max_unproved = 256;  ///< Links that have not proved a key yet.
    std::size_t max_pending = 16;    ///< Messages that wait for one link.
    std::uint64_t seed = 1;          ///< For jitter only.
  };
  using Peer = LinkPeer;
  enum class DownKind : std::uint8_t { kClosed, kBroken, kSilent };
  struct Hooks {
    std::function<Version()> version;
    /// False closes the link.
    std::function<bool(const Peer&)> on_up;
    std::function<void(const Peer&, PeerMessage&&)> on_message;
    /// The link went silent. It is kept for `silent_grace` if requests are
    /// still outstanding on it afterwards; `on_down` follows in any case.
    std::function<void(const Peer&)> on_silent;
    std::function<void(const Peer&, DownKind)> on_down;
    /// A link that was being opened could not be.
    std::function<void(HostId)> on_unreachable;
    LogHook log;
  };

  PeerLinks(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~PeerLinks() override;

  Result<Endpoint> Listen(const Endpoint& endpoint);
  void StopListening();
  /// Addresses of all hosts, from the configuration. Replaces earlier ones.
  void SetAddresses(std::unordered_map<HostId, Endpoint> addresses);
  /// Dials an address whose host is not known yet.
  void DialSeed(const Endpoint& endpoint);

  /// A link to the host, 0 if none is up.
  LinkId Find(HostId host) const override;
  /// The other end, null if the link is not up.
  const Peer* FindPeer(LinkId link) const override;
  /// Time of the last heartbeat that the peer answered on this link. What it
  /// sent since then was sent later than that.
  Instant ConfirmedSince(LinkId link) const;
  /// Starts to open a link unless one is up or being opened. False if the host
  /// has no address or the last attempt failed a moment ago.
  bool Connect(HostId host) override;
  /// False if the link is gone or its queue is full; nothing was sent then.
  bool SendOverLink(LinkId link, const PeerMessage& message) override;
  /// Sends, or opens a link first. Drops the message if that fails.
  void SendTo(HostId host, PeerMessage message);
  /// Sends to every peer, once.
  void Broadcast(const PeerMessage& message);
  /// Counts requests outstanding on a link, in either direction. Silence is
  /// noticed faster while there are any.
  void AddOutstanding(LinkId link, int change) override;
  /// Closes all links with a closing handshake.
  void CloseAll();

  std::vector<HostId> LinkedHosts() const;
  const PeerLinkStats& stats() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
