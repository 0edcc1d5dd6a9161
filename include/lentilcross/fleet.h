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

/// A target that registered itself in the platform's registry, rather than
/// being listed in the configuration.
struct RegisteredTarget {
  std::string name;  ///< Unique to one run of the target.
  std::string service;
  std::string host;
  std::string failure_domain;
  std::string peer;  ///< "ip:port" of the daemon on its host.
  int slots = 0;     ///< Maximum concurrent calls; 0: unknown.
  bool draining = false;
  Instant cold_until{};         ///< End of its cold start.
  std::int64_t started_ms = 0;  ///< Unix time of its start; 0: unknown.
};

/// A host whose target lost its registration without having announced its
/// shutdown (`draining`).
struct LapsedHost {
  std::string failure_domain;
  std::string peer;
  Instant until{};  ///< When the host is removed.
};

/// All registered targets, by name, at one revision of the registry.
struct Fleet {
  std::uint64_t revision = 0;
  std::map<std::string, RegisteredTarget> targets;
  std::map<std::string, LapsedHost> lapsed_hosts;  ///< Set by `FleetTracker`.
};

/// A copy of `configuration` with the targets, their hosts and the lapsed hosts
/// of `fleet` added. Skips targets whose service or failure domain the
/// configuration does not list; of several targets on one host, adds only the
/// one that was started last. Marks the failure domains in `evacuated`.
std::shared_ptr<const Configuration> MergeFleet(
    const Configuration& configuration, const Fleet& fleet,
    const std::vector<std::string>& evacuated = {});

/// Tracks the registered targets. While the registry is unreachable, keeps the
/// last known ones. Registrations lapse during an outage, and targets that are
/// alive register again soon after it; for a grace period the tracker keeps a
/// target without a registration.
class FleetTracker {
 public:
  struct Init {
    /// Time after an outage in which targets can register again: a few of
    /// their heartbeats.
    Duration lapse_grace = std::chrono::milliseconds(2000);
    /// Time for which a host keeps its share of quotas after its registration
    /// lapsed. Must exceed the usual network outage between a live host and the
    /// registry. The share of a host that failed stays unused for this long.
    Duration host_grace = std::chrono::seconds(30);
    /// Time after a restore of the registry from a backup in which its entries
    /// do not bring back targets that drained or left before. By then the
    /// entries of those that left have lapsed: a few heartbeats.
    Duration restore_grace = std::chrono::seconds(10);
    /// Time for which a target that left is remembered for that.
    Duration departed_memory = std::chrono::minutes(2);
  };
  struct Stats {
    std::uint64_t added = 0;
    std::uint64_t removed = 0;
    /// Targets kept without a registration in an outage or its grace period.
    std::uint64_t lapsed = 0;
    std::uint64_t outages = 0;
    std::uint64_t restores = 0;
    /// Entries of a restored registry that were not followed at once.
    std::uint64_t withheld = 0;
  };

  explicit FleetTracker(const Init& init) : init_(init) {}

  // The functions that return bool return true if the fleet changed.

  /// Replaces the fleet by a snapshot of the registry at `fleet.revision`.
  /// Ignores a snapshot older than the current revision.
  bool OnSnapshot(const Fleet& fleet, Instant now);
  /// A target was registered or its registration changed.
  bool OnRegistered(RegisteredTarget target, std::uint64_t revision,
                    Instant now);
  bool OnRemoved(const std::string& name, std::uint64_t revision, Instant now);
  /// Adds a lapsed host that a peer told of, unless it is known or one of the
  /// registered targets is on it.
  bool AddLapsedHost(const std::string& host, LapsedHost lapsed, Instant now);
  /// The registry became unreachable.
  void OnRegistryLost(Instant now);
  /// The registry is reachable; starts the grace period if it was lost.
  void OnRegistryReachable(Instant now);
  /// The registry was restored from a backup, which the next snapshot shows.
  /// Starts the grace period, because the latest registrations are missing.
  void OnRegistryRestored(Instant now);
  /// Removes targets and hosts whose grace period has ended. Call a few times
  /// per second.
  bool Tick(Instant now);
  /// Removes the lapsed hosts whose daemon has stopped.
  bool RemoveEndedHosts(const std::function<bool(HostId)>& has_ended);

  const Fleet& fleet() const { return fleet_; }
  /// False until the first snapshot.
  bool known() const { return known_; }
  const Stats& stats() const { return stats_; }

 private:
  struct Departed {
    std::int64_t started_ms = 0;
    Instant until{};
  };

  bool InGrace(Instant now) const;
  bool Add(RegisteredTarget target, Instant now);
  /// Whether a restored entry contradicts what was known of its target.
  bool IsOutdated(const RegisteredTarget& restored, Instant now) const;
  /// Follows the entries that were withheld.
  bool EndRestore(Instant now);
  bool Remove(const std::string& name, Instant now);
  /// Adds the host of a lapsed target to the lapsed hosts.
  void RetainHost(const RegisteredTarget& lapsed, Instant now);

  Init init_;
  Stats stats_;
  Fleet fleet_;
  bool known_ = false;
  bool lost_ = false;
  Instant grace_until_{};
  /// End of the grace period of each lapsed target, by name.
  std::map<std::string, Instant> lapsed_;
  Instant restored_until_{};  ///< End of the grace period of a restore.
  std::map<std::string, RegisteredTarget> withheld_;  ///< By name.
  std::map<std::string, Departed> departed_;          ///< By name.
};

}  // namespace lentilcross
