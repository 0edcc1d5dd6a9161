#pragma once

#include <memory>
#include <variant>
#include <vector>

#include "daemon_stats.h"
#include "lentilcross/configuration.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Change of what is known about a host, for the membership of the thread
/// `control`.
struct MemberEvent {
  enum class Kind : std::uint8_t {
    kHello,
    kContact,
    kLinkDead,
    kLeave,
    kSelfLeave
  };
  Kind kind = Kind::kContact;
  HostId host;
  Incarnation incarnation;
};

/// Message about the configuration, from a peer or to one.
struct PeerEnvelope {
  HostId host;
  PeerMessage message;
};

using ToControl = std::variant<MemberEvent, PeerEnvelope>;

struct Readiness {
  bool ready = false;
  bool stale = false;
};

/// The platform compared versions with this host, in a read begun at `began`.
struct PlatformContact {
  Instant began{};
};

struct HostLeaving {
  HostId host;
};

struct ControlStats {
  ConfigDistributor::Stats spread;
  PlatformClientStats platform;
  Findings findings;
  std::uint64_t to_data_full = 0;
};

using ToData = std::variant<std::shared_ptr<const Configuration>, Readiness,
                            PeerEnvelope, PlatformContact, HostLeaving,
                            std::shared_ptr<const ControlStats>>;

}  // namespace lentilcross
