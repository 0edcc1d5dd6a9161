#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// A target that registered itself at the platform, beside the configuration.
struct RegisteredTarget {
  std::string name;  ///< Of one incarnation of the target.
  std::string service;
  std::string host;  ///< Host on which it runs.
  std::string failure_domain;
  std::string peer;  ///< "ip:port" of the daemon on its host.
  int slots = 0;     ///< Calls that it serves at once; 0: not known.
  bool draining = false;
  Instant cold_until{};         ///< Slow until then.
  std::int64_t started_ms = 0;  ///< Unix time of its start; 0: not known.
};

/// A host whose target is no longer registered and did not announce its end.
struct LapsedHost {
  std::string failure_domain;
  std::string peer;
  Instant until{};  ///< Counts as gone from then on.
};

/// Registered targets by name, at one revision of the registry.
struct Fleet {
  std::uint64_t revision = 0;
  std::map<std::string, RegisteredTarget> targets;
  std::map<std::string, LapsedHost> lapsed_hosts;  ///< As a tracker knows them.
};

/// `configuration` with the hosts and targets of `fleet` in addition to its
/// own, and its lapsed hosts. Targets of services or failure domains that it
/// does not list are left out, and of several targets of one host all but the
/// one started last.
std::shared_ptr<const Configuration> MergeFleet(
    const Configuration& configuration, const Fleet& fleet);

/// Follows the registry. While the registry cannot be reached the last known
/// targets stay. A registration that lapsed during an outage comes back soon
/// after it if the target lives; until then the target is kept.
class FleetTracker {
 public:
  struct Init {
    /// Time for lapsed registrations to come back after an outage: a few
    /// heartbeats of a target.
    Duration lapse_grace = std::chrono::milliseconds(2000);
    /// Time for which a host counts in quotas after its registration lapsed.
    /// Longer than the usual cut between a live host and the registry; the part
    /// of a host that is gone for good is unused for as long.
    Duration host_grace = std::chrono::seconds(30);
  };
  struct Stats {
    std::uint64_t added = 0;
    std::uint64_t removed = 0;
    std::uint64_t lapsed = 0;  ///< Kept after an outage without registration.
    std::uint64_t outages = 0;
  };

  explicit FleetTracker(const Init& init) : init_(init) {}

  /// The whole registry as of `fleet.revision`. Ignored if it is older than
  /// what is known. All functions return true if the fleet changed.
  bool OnSnapshot(const Fleet& fleet, Instant now);
  /// One target was registered or changed.
  bool OnRegistered(RegisteredTarget target, std::uint64_t revision,
                    Instant now);
  bool OnRemoved(const std::string& name, std::uint64_t revision, Instant now);
  /// The registry cannot be reached, or answers again.
  void OnContactLost(Instant now);
  void OnContact(Instant now);
  /// Ends the grace of lapsed registrations and hosts. Call a few times per
  /// second.
  bool Tick(Instant now);
  /// Drops the lapsed hosts whose daemon has ended.
  bool RemoveEndedHosts(const std::function<bool(HostId)>& has_ended);

  const Fleet& fleet() const { return fleet_; }
  bool known() const { return known_; }
  const Stats& stats() const { return stats_; }

 private:
  bool InGrace(Instant now) const;
  bool Remove(const std::string& name, Instant now);
  /// Keeps the host of a target that lapsed.
  void KeepHost(const RegisteredTarget& lapsed, Instant now);

  Init init_;
  Stats stats_;
  Fleet fleet_;
  bool known_ = false;
  bool lost_ = false;
  Instant grace_until_{};
  std::map<std::string, Instant> lapsed_;  ///< By name: when the grace ends.
};

}  // namespace lentilcross
