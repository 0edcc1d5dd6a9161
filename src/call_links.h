#pragma once

#include <cstdint>

#include "lentilcross/peer_message.h"

namespace lentilcross {

/// Handle of one link. 0 is invalid; numbers are never reused.
using LinkId = std::uint64_t;

/// The other end of an authenticated link.
struct LinkPeer {
  LinkId link = 0;
  HostId host;
  Incarnation incarnation;
  FailureDomainId failure_domain;
};

/// What calls between daemons need of the links.
class CallLinks {
 public:
  virtual ~CallLinks() = default;

  /// A link to the host, 0 if none is up.
  virtual LinkId Find(HostId host) const = 0;
  /// The other end, null if the link is not up.
  virtual const LinkPeer* FindPeer(LinkId link) const = 0;
  /// Starts to open a link unless one is up or being opened. False if the host
  /// has no address or the last attempt failed a moment ago.
  virtual bool Connect(HostId host) = 0;
  /// False if the link is gone or its queue is full; nothing was sent then.
  virtual bool SendOverLink(LinkId link, const PeerMessage& message) = 0;
  /// Counts requests outstanding on a link, in either direction. Silence is
  /// noticed faster while there are any.
  virtual void AddOutstanding(LinkId link, int change) = 0;
};

}  // namespace lentilcross
