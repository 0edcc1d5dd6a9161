#pragma once

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "daemon_stats.h"
#include "lentilcross/configuration.h"
#include "lentilcross/evacuation.h"
#include "lentilcross/fleet.h"
#include "lentilcross/peer_message.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Membership event of a host, sent to the `control` thread.
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

/// Configuration or registry message, received from or sent to a peer.
struct PeerEnvelope {
  HostId host;
  PeerMessage message;
};

using ToControl = std::variant<MemberEvent, PeerEnvelope>;

struct Readiness {
  bool ready = false;
  bool stale = false;
};

/// The configuration version was compared with the platform, in a read that
/// started at `began`.
struct PlatformContact {
  Instant began{};
};

struct HostLeaving {
  HostId host;
};

struct ControlStats {
  ConfigDistributor::Stats config_distributor;
  PlatformClientStats platform;
  Findings findings;
  std::optional<Version> refused_version;
  Duration confirmation_age{};
  FleetTracker::Stats fleet;
  EvacuationTable::Stats evacuations;
  std::vector<std::string> evacuated;
  std::uint64_t to_data_full = 0;
};

using ToData = std::variant<std::shared_ptr<const Configuration>, Readiness,
                            PeerEnvelope, PlatformContact, HostLeaving,
                            std::shared_ptr<const ControlStats>>;

}  // namespace lentilcross
