#pragma once

#include <cstdint>

#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Handle of one peer link. 0 is invalid; values are never reused.
using LinkId = std::uint64_t;

/// The daemon at the other end of an authenticated link.
struct LinkPeer {
  LinkId link = 0;
  HostId host;
  Incarnation incarnation;
  FailureDomainId failure_domain;
};

/// Interface to the links to other daemons, as far as calls need it.
class CallLinks {
 public:
  virtual ~CallLinks() = default;

  /// Returns a link to the host, or 0 if none is up.
  virtual LinkId Find(HostId host) const = 0;
  /// Returns the other end, or null if the link is not up.
  virtual const LinkPeer* FindPeer(LinkId link) const = 0;
  /// Starts to open a link unless one is up or being opened. Returns false if
  /// the host has no address or the last attempt failed a moment ago.
  virtual bool Connect(HostId host) = 0;
  /// Returns false, having sent nothing, if the link is down or its send queue
  /// is full.
  virtual bool SendOverLink(LinkId link, const PeerMessage& message) = 0;
  /// Adds `change` to the number of requests outstanding on a link, in both
  /// directions together. A silent link is detected faster while there are any.
  virtual void AddOutstanding(LinkId link, int change) = 0;
};

}  // namespace lentilcross
